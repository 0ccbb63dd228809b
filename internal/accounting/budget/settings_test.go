package budget

import (
	"errors"
	"strings"
	"testing"
)

func TestCheckErrorIdentifiesTheSettingOfAnUnknownTeam(t *testing.T) {
	for key, want := range map[string]string{"budget.t.month.money": "", "budget.x/a.month.money": "budget of x/a", "budget.x.carry-over": "budget.x:"} {
		t.Run(key, func(t *testing.T) {
			s := newSettings(t, map[string]string{key: "1"})
			err := s.Check(func(team string) bool { return team == "t" })
			if want == "" && err != nil || want != "" && (!errors.Is(err, ErrUnknownTeam) || !strings.Contains(err.Error(), want)) {
				t.Errorf("got error %v", err)
			}
		})
	}
}

// newSettings returns the settings that result from properties.
func newSettings(t *testing.T, properties map[string]string) *Settings {
	t.Helper()
	s := &Settings{}
	for key, value := range properties {
		if err := s.Set(key, value); err != nil {
			t.Fatal(err)
		}
	}
	return s
}
