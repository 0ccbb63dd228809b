package charge

import (
	"math"
	"time"
)

// Amounts is the sum of some charges.
type Amounts struct {
	_         struct{} `cbor:",toarray"`
	Core      int64
	GPU       int64
	Memory    int64
	Money     int64
	Run       int64
	ByOutcome [outcomeCount]int64 // numbers of charges; attempts are all but Continues
}

// AmountsOf is what a charge of the job amounts to.
func (t *JobTraits) AmountsOf(c *Charge) Amounts {
	a := Amounts{Core: t.Cores * c.Run, GPU: t.GPUs * c.Run, Memory: t.Memory * c.Run, Money: c.Money, Run: c.Run}
	if c.Outcome < outcomeCount {
		a.ByOutcome[c.Outcome] = 1
	}
	return a
}

// Add adds b to the amounts.
func (a *Amounts) Add(b Amounts) {
	a.Core += b.Core
	a.GPU += b.GPU
	a.Memory += b.Memory
	a.Money += b.Money
	a.Run += b.Run
	for i := range a.ByOutcome {
		a.ByOutcome[i] += b.ByOutcome[i]
	}
}

// Attempts is how many attempts came to an end.
func (a *Amounts) Attempts() int64 {
	var attempts int64
	for o, n := range a.ByOutcome {
		if Outcome(o) != Continues {
			attempts += n
		}
	}
	return attempts
}

// CoreHours is the core time in core-hours, rounded by floating point: for display only.
func (a *Amounts) CoreHours() float64 { return float64(a.Core) / 1e6 / 3600 }

// Cost is what a rate, in millionths an hour, comes to over a run time, rounded.
func Cost(rate int64, run time.Duration) int64 {
	return int64(math.Round(float64(rate) * run.Hours()))
}
