package charge

import "testing"

func TestOutcomeNamesRoundTrip(t *testing.T) {
	for o := range Outcome(outcomeCount + 3) { // including three that only a newer version knows
		text, err := o.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var decoded Outcome
		if err := decoded.UnmarshalText(text); err != nil || decoded != o {
			t.Errorf("%s is decoded as %s, error %v", text, decoded, err)
		}
	}
}

func TestInvalidOutcomeNamesAreRejected(t *testing.T) {
	for _, name := range []string{"", "Done", "how-", "how-256", "how--1", "12"} {
		var o Outcome
		if err := o.UnmarshalText([]byte(name)); err == nil {
			t.Errorf("%q is accepted as %s", name, o)
		}
	}
}
