package budget

import (
	"cmp"
	"slices"
	"time"
)

// View is the state of a budget as HTTP responses contain it. Its amounts are in the budget's unit.
type View struct {
	Team     string     `json:"team"`
	Account  string     `json:"account,omitempty"`
	Period   Period     `json:"period"`
	Unit     Unit       `json:"unit"`
	Amount   float64    `json:"amount"`
	Limit    float64    `json:"limit"`    // Amount plus what was carried over from the previous period
	Used     float64    `json:"used"`     // charged, plus what running tasks have used so far
	Reserved float64    `json:"reserved"` // what live tasks are expected to use in addition
	From     *time.Time `json:"from,omitempty"`
	To       *time.Time `json:"to,omitempty"`
	State    string     `json:"state"` // open, nearly-spent or spent
}

// Views returns the state of a team's budgets, or of all budgets if team is empty, sorted by team
// and account. The views are copies, which later calls do not change.
func (tr *Tracker) Views(team string) []View {
	out := []View{}
	for _, bal := range tr.balances {
		if team == "" || bal.Team == team {
			out = append(out, tr.view(bal))
		}
	}
	slices.SortStableFunc(out, func(a, b View) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Account, b.Account))
	})
	return out
}

func (tr *Tracker) view(bal *Balance) View {
	scale := bal.Unit.scale()
	v := View{
		Team: bal.Team, Account: bal.Account, Period: bal.Period, Unit: bal.Unit, Amount: bal.Amount,
		Limit: bal.Limit / scale, Used: bal.spent() / scale, Reserved: bal.Reserved / scale, State: tr.stateOf(bal),
	}
	if !bal.To.IsZero() {
		from, to := bal.From, bal.To // copies, since a view is used after the next Recompute
		v.From, v.To = &from, &to
	}
	return v
}

func (tr *Tracker) stateOf(bal *Balance) string {
	switch {
	case bal.spent() >= tr.admissionLimit(bal):
		return "spent"
	case tr.nearlySpent(bal):
		return "nearly-spent"
	}
	return "open"
}
