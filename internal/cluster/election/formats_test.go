package election

import (
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/golden"
	"poppypass/internal/sim/fakes"
)

func TestStoredFormats(t *testing.T) {
	golden.JSONRoundTrip(t, "term", golden.Fill(new(termRecord)))
	golden.JSONRoundTrip(t, "holder", golden.Fill(new(holder)))
	golden.Lines(t, "keys", keyHolder, keyTerm, prefixFencing)
}

// The golden file holds what a member writes that wins a campaign and then fences off a silent member.
func TestStoredRecordsOfALeader(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fakes.NewStore(clock)
	t.Cleanup(state.Close)
	elector := New(statestore.New(state.Addr(), 1e6, 1e6), unreachablePeers, "m1", clock, slog.New(slog.DiscardHandler))
	eligibility, _ := elector.checkEligibility(t.Context(), 0)
	leadership, ok := elector.campaign(t.Context(), 0, 0, eligibility)
	if !ok {
		t.Fatal("the campaign failed")
	}
	elector.acquireFencing(t.Context(), leadership, "m2")
	var lines []string
	for _, txn := range state.Applied() {
		for _, change := range txn.Then {
			lines = append(lines, change.Put+" "+string(change.Value))
		}
	}
	golden.Lines(t, "leader", lines...)
}
