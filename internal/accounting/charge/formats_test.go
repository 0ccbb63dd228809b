package charge

import (
	"testing"

	"poppypass/internal/platform/golden"
)

func fullKind() *Kind { return &Kind{Type: "large", Zone: "a", Spot: true, Rate: 3_400_000} }

func fullJobTraits() *JobTraits {
	return &JobTraits{Team: "vision", Account: "grant-7", Class: "train", Cores: 8000, GPUs: 500, Memory: 64_000}
}

func fullCharge() *Charge {
	return &Charge{
		Task: 4, Attempt: 5, Part: 6, KindIndex: 1, StartMS: 1_780_000_000_000, RunMS: 90_000, Money: 85_000, Outcome: Drained, Flags: UpperBound | PriceUnknown,
	}
}

func fullPack() *Pack {
	smallKind := Kind{Type: "small", Zone: "b", Spot: true, Rate: 200_000}
	return &Pack{Job: "job-17", Traits: *fullJobTraits(), Kinds: []Kind{smallKind, *fullKind()}, Charges: []Charge{*fullCharge()}}
}

func fullAmounts() *Amounts {
	return &Amounts{Core: 21, GPU: 22, Memory: 23, Money: 24, RunMS: 25, ByOutcome: [outcomeCount]int64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}}
}

// Packs are stored in the progress records of jobs and in the ledger's segments. Amounts are
// stored in the ledger's pages of totals.
func TestStoredFormats(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
	}{
		{"kind", fullKind()},
		{"brief", fullJobTraits()},
		{"charge", fullCharge()},
		{"pack", fullPack()},
		{"amounts", fullAmounts()},
	} {
		t.Run(c.name, func(t *testing.T) { golden.CBORRoundTrip(t, c.name, c.value) })
	}
}

func TestStoredPack(t *testing.T) {
	pack := fullPack()
	raw := EncodePack(pack)
	golden.Hex(t, "encoded-pack", raw)
	decoded, err := DecodePack(raw)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "encoded-pack", decoded, pack)
}

func TestCompressedForm(t *testing.T) {
	codec, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	packs := []Pack{*fullPack()}
	raw := codec.Encode(packs)
	golden.Hex(t, "compressed-packs", raw)
	var decoded []Pack
	if err := codec.Decode(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "compressed-packs", decoded, packs)
}

// Messages and metrics contain the names of outcomes; stored charges contain their numbers.
func TestOutcomeNumbersAndNames(t *testing.T) {
	var lines []string
	for outcome := range Outcome(outcomeCount) {
		lines = append(lines, outcome.String())
	}
	golden.Lines(t, "ends", lines...)
	golden.Hex(t, "ends-numbers", []byte{
		byte(Continues), byte(Done), byte(Failed), byte(Refused), byte(Stopped), byte(Preempted), byte(Drained), byte(Cancelled), byte(OverBudget), byte(Lost),
	})
	golden.Hex(t, "flags", []byte{byte(UpperBound), byte(ProgressSaved), byte(PriceUnknown)})
}
