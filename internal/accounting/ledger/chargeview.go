package ledger

import (
	"cmp"
	"slices"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

// ChargeView is a charge as it appears in answers, in JSON and CSV. Times are in UTC.
type ChargeView struct {
	Task          string         `json:"task"`
	Attempt       uint64         `json:"attempt"`
	Part          int            `json:"part"`
	Team          string         `json:"team"`
	Account       string         `json:"account,omitempty"`
	Class         string         `json:"class"`
	Type          string         `json:"type"`
	Zone          string         `json:"zone"`
	Spot          bool           `json:"spot"`
	Start         time.Time      `json:"start"`
	End           time.Time      `json:"end"`
	CoreS         float64        `json:"core_s"`
	GPUS          float64        `json:"gpu_s"`
	MemoryGBS     float64        `json:"memory_gb_s"`
	Money         float64        `json:"money"`
	Outcome       charge.Outcome `json:"how"`
	UpperBound    bool           `json:"upper_bound,omitempty"`
	ProgressSaved bool           `json:"saved,omitempty"`
	PriceUnknown  bool           `json:"price_unknown,omitempty"`
}

// ChargeViews returns the views of a pack's charges.
func ChargeViews(p *charge.Pack) []ChargeView {
	out := make([]ChargeView, 0, len(p.Charges))
	for i := range p.Charges {
		out = append(out, chargeView(p, &p.Charges[i]))
	}
	return out
}

func chargeView(p *charge.Pack, c *charge.Charge) ChargeView {
	kind, sum := p.Kinds[c.KindIndex], p.Traits.AmountsOf(c)
	return ChargeView{
		Task: wire.TaskID{Job: p.Job, Index: c.Task}.String(), Attempt: c.Attempt, Part: c.Part,
		Team: p.Traits.Team, Account: p.Traits.Account, Class: p.Traits.Class, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot,
		Start: time.UnixMilli(c.StartMS).UTC(), End: time.UnixMilli(c.EndMS()).UTC(),
		CoreS: float64(sum.Core) / 1e6, GPUS: float64(sum.GPU) / 1e6, MemoryGBS: float64(sum.Memory) / 1e6, Money: float64(c.Money) / 1e6,
		Outcome: c.Outcome, UpperBound: c.Flags&charge.UpperBound != 0, ProgressSaved: c.Flags&charge.ProgressSaved != 0, PriceUnknown: c.Flags&charge.PriceUnknown != 0,
	}
}

// sortChargeViews sorts charges of one job by task, attempt and part.
func sortChargeViews(v []ChargeView) {
	slices.SortFunc(v, func(a, b ChargeView) int {
		x, _ := wire.ParseTaskID(a.Task)
		y, _ := wire.ParseTaskID(b.Task)
		return cmp.Or(cmp.Compare(x.Index, y.Index), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Part, b.Part))
	})
}
