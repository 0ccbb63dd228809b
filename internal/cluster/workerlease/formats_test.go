package workerlease

import (
	"testing"

	"poppypass/internal/platform/golden"
	"poppypass/internal/sim/fakes"
)

func TestStoredFormats(t *testing.T) {
	golden.JSON(t, "record", golden.Fill(new(renewedRecord)))
	golden.JSON(t, "zone-right", golden.Fill(new(ZoneLeaseRecord)))
	golden.Lines(t, "keys", prefixRenewed)
}

// A ping carries what its sender claims, and the answer what the receiver remembers of it.
func TestClaimFormat(t *testing.T) {
	golden.JSON(t, "claim", golden.Fill(new(claim)))
}

func TestStoredRecordOfKeptMachines(t *testing.T) {
	harness := newFollowerHarness(t)
	if !harness.tryAcquire("n-1") {
		t.Fatal("the machine is not kept")
	}
	golden.Lines(t, "kept-machines", written(harness.state)...)
}

func TestStoredRecordOfAZone(t *testing.T) {
	harness := newZoneHarness(t)
	harness.Renew(t.Context())
	golden.Lines(t, "zone", written(harness.state)...)
}

// written gives the keys and values that were stored.
func written(state *fakes.Store) []string {
	var lines []string
	for _, txn := range state.Applied() {
		for _, change := range txn.Then {
			lines = append(lines, change.Put+" "+string(change.Value))
		}
	}
	return lines
}
