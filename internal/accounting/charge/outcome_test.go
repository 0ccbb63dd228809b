package charge

import "testing"

func TestOutcomesAreReadBackByName(t *testing.T) {
	for o := range Outcome(outcomeCount + 3) { // including three that only a newer version knows
		text, err := o.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var again Outcome
		if err := again.UnmarshalText(text); err != nil || again != o {
			t.Errorf("%s is decoded as %s, error %v", text, again, err)
		}
	}
}

func TestUnknownOutcomeNamesAreRefused(t *testing.T) {
	for _, name := range []string{"", "Done", "how-", "how-256", "how--1", "12"} {
		var o Outcome
		if err := o.UnmarshalText([]byte(name)); err == nil {
			t.Errorf("%q is accepted as %s", name, o)
		}
	}
}
