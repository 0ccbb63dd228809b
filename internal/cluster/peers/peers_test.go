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

// Guards against a member that counts as isolated since a few pings were missed, and one that never does.
func TestMemberIsIsolatedOnceNobodyAnswersForAWhile(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(&config.Settings{Members: []config.Member{{Name: "m1", Endpoint: "127.0.0.1:1"}}}, clock, slog.New(slog.DiscardHandler))
	clock.Advance(2 * tuning.IsolatedFor)
	if p.Isolated() {
		t.Error("isolated before it has asked anybody")
	}
	p.noteAnswer()
	clock.Advance(tuning.IsolatedFor)
	if p.Isolated() {
		t.Error("isolated too soon")
	}
	clock.Advance(tuning.IsolatedFor / 2)
	if !p.Isolated() {
		t.Error("not isolated")
	}
	if p.noteAnswer(); p.Isolated() {
		t.Error("isolated though a member answered")
	}
}

// Guards against a claim that is gone with the process that made it, and against memory that strangers fill.
func TestClaimOutlivesItsProcess(t *testing.T) {
	p := New(&config.Settings{Members: []config.Member{{Name: "m1", Endpoint: "127.0.0.1:1"}}}, clockwork.NewFakeClock(), slog.New(slog.DiscardHandler))
	if got := p.ExchangeClaim("m1", nil); got != nil {
		t.Errorf("%q is remembered of one that claimed nothing", got)
	}
	p.ExchangeClaim("m1", []byte("until five"))
	if got := p.ExchangeClaim("m1", nil); string(got) != "until five" {
		t.Errorf("%q is remembered for the next process", got)
	}
	if got := p.ExchangeClaim("m1", []byte("until six")); string(got) != "until six" {
		t.Errorf("%q is remembered, not what was said last", got)
	}
	if got := p.ExchangeClaim("stranger", []byte("x")); got != nil || len(p.claims.byMember) != 1 {
		t.Errorf("%q is remembered of a stranger", got)
	}
}

// Guards against a partition of a zone whose machines take more questions than there is time for: all of them together have
// RelayTimeout, and 400 machines in each were 15 for 6,000.
func TestMachinesOfAZoneTakeFewQuestions(t *testing.T) {
	for _, c := range []struct {
		name           string
		machines, size int
		most           int
	}{
		{"no machine", 0, 8, 0},
		{"one machine", 1, 8, 1},
		{"400 machines", 400, 8, 1},
		{"4,000 machines", 4000, 8, 2},
		{"6,000 machines", 6000, 8, 2},
		{"6,000 machines with names of 20 bytes", 6000, 20, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			var names, asked []string
			for i := range c.machines {
				names = append(names, fmt.Sprintf("n-%0*d", c.size-len("n-"), i))
			}
			count := 0
			for part := range questions(names) {
				size := 0
				for _, name := range part {
					size += len(name) + tuning.NameBytes
				}
				if size > tuning.RenewedNamesBytes {
					t.Errorf("a question of %d bytes", size)
				}
				asked = append(asked, part...)
				count++
			}
			if !slices.Equal(asked, names) || count > c.most {
				t.Errorf("%d names in %d questions, want %d in at most %d", len(asked), count, len(names), c.most)
			}
		})
	}
}
