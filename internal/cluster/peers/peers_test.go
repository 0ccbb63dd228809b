package peers

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// Guards against a member that counts as isolated after a few missed pings, and against one that never does.
func TestMemberIsIsolatedOnceNobodyAnswersForAWhile(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(&config.Settings{Members: []config.Member{{Name: "m1", Endpoint: "127.0.0.1:1"}}}, clock, slog.New(slog.DiscardHandler))
	clock.Advance(2 * tuning.IsolatedAfter)
	if p.Isolated() {
		t.Error("isolated before it has asked anybody")
	}
	p.noteAnswer()
	clock.Advance(tuning.IsolatedAfter)
	if p.Isolated() {
		t.Error("isolated too soon")
	}
	clock.Advance(tuning.IsolatedAfter / 2)
	if !p.Isolated() {
		t.Error("not isolated")
	}
	if p.noteAnswer(); p.Isolated() {
		t.Error("isolated though a member answered")
	}
}

// Guards against a claim that is lost with the process that made it, and against claims of unknown members that use
// up memory.
func TestClaimOutlivesItsProcess(t *testing.T) {
	p := New(&config.Settings{Members: []config.Member{{Name: "m1", Endpoint: "127.0.0.1:1"}}}, clockwork.NewFakeClock(), slog.New(slog.DiscardHandler))
	if got := p.ExchangeClaim("m1", nil); got != nil {
		t.Errorf("%q is remembered of a member that claimed nothing", got)
	}
	p.ExchangeClaim("m1", []byte("until five"))
	if got := p.ExchangeClaim("m1", nil); string(got) != "until five" {
		t.Errorf("%q is remembered for the next process", got)
	}
	if got := p.ExchangeClaim("m1", []byte("until six")); string(got) != "until six" {
		t.Errorf("%q is remembered, not the last claim", got)
	}
	if got := p.ExchangeClaim("stranger", []byte("x")); got != nil || len(p.claims.byMember) != 1 {
		t.Errorf("%q is remembered of an unknown member", got)
	}
}

// Guards against more requests than there is time for when a member is asked about the machines of a partitioned zone.
// All requests together must finish within tuning.RelayTimeout. With only 400 machines in a request, 6,000 machines
// would need 15 requests.
func TestMachinesOfAZoneNeedFewRequests(t *testing.T) {
	for _, c := range []struct {
		name           string
		machines, size int
		maxBatches     int
	}{
		{"no machine", 0, 8, 0},
		{"one machine", 1, 8, 1},
		{"400 machines", 400, 8, 1},
		{"4,000 machines", 4000, 8, 2},
		{"6,000 machines", 6000, 8, 2},
		{"6,000 machines with names of 20 bytes", 6000, 20, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			var names, collected []string
			for i := range c.machines {
				names = append(names, fmt.Sprintf("n-%0*d", c.size-len("n-"), i))
			}
			count := 0
			for batch := range machineBatches(names) {
				size := 0
				for _, name := range batch {
					size += len(name) + tuning.NameOverheadBytes
				}
				if size > tuning.RenewedNamesMaxBytes {
					t.Errorf("a request of %d bytes", size)
				}
				collected = append(collected, batch...)
				count++
			}
			if !slices.Equal(collected, names) || count > c.maxBatches {
				t.Errorf("%d names in %d requests, want %d in at most %d", len(collected), count, len(names), c.maxBatches)
			}
		})
	}
}
