package charge

import (
	"math"
	"time"
)

// Amounts is the sum of several charges, in the units that the package comment lists.
type Amounts struct {
	_         struct{} `cbor:",toarray"`
	Core      int64
	GPU       int64
	Memory    int64
	Money     int64
	RunMS     int64
	ByOutcome [outcomeCount]int64 // number of charges by outcome; a charge with an outcome other than Continues is the last of its attempt
}

// AmountsOf returns the amounts of one charge of a job with these traits.
func (t *JobTraits) AmountsOf(c *Charge) Amounts {
	a := Amounts{Core: t.Cores * c.RunMS, GPU: t.GPUs * c.RunMS, Memory: t.Memory * c.RunMS, Money: c.Money, RunMS: c.RunMS}
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
	a.RunMS += b.RunMS
	for i := range a.ByOutcome {
		a.ByOutcome[i] += b.ByOutcome[i]
	}
}

// Attempts returns the number of attempts that ended.
func (a *Amounts) Attempts() int64 {
	var attempts int64
	for o, n := range a.ByOutcome {
		if Outcome(o) != Continues {
			attempts += n
		}
	}
	return attempts
}

// CoreHours returns the core time in core-hours. Use it for display only: the conversion to floating point rounds.
func (a *Amounts) CoreHours() float64 { return float64(a.Core) / 1e6 / 3600 }

// Cost returns the cost of a run time, in millionths of the currency, rounded. rate is in millionths of the
// currency per hour.
func Cost(rate int64, run time.Duration) int64 {
	return int64(math.Round(float64(rate) * run.Hours()))
}
