package workerlease

import (
	"testing"

	"poppypass/internal/platform/golden"
	"poppypass/internal/sim/fakes"
)

func TestStoredFormats(t *testing.T) {
	golden.JSONRoundTrip(t, "record", golden.Fill(new(renewalRecord)))
	golden.JSONRoundTrip(t, "zone-right", golden.Fill(new(ZoneLeaseRecord)))
	golden.Lines(t, "keys", prefixRenewed)
}

// A ping carries the sender's claim, and its answer carries what the receiver remembers of that claim.
func TestClaimFormat(t *testing.T) {
	golden.JSONRoundTrip(t, "claim", golden.Fill(new(claim)))
}

func TestStoredRecordOfRenewedMachines(t *testing.T) {
	harness := newFollowerHarness(t)
	if !harness.tryAcquire("n-1") {
		t.Fatal("the machine is not recorded")
	}
	golden.Lines(t, "kept-machines", written(harness.state)...)
}

func TestStoredRecordOfAZone(t *testing.T) {
	harness := newZoneHarness(t)
	harness.Renew(t.Context())
	golden.Lines(t, "zone", written(harness.state)...)
}

// written returns the keys and values that were stored.
func written(state *fakes.Store) []string {
	var lines []string
	for _, txn := range state.Applied() {
		for _, change := range txn.Then {
			lines = append(lines, change.Put+" "+string(change.Value))
		}
	}
	return lines
}
