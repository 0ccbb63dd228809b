// Package charge says what the attempts of tasks took: which team and account
// has to bear it, on what machine, from when to when, and how it ended. It
// holds data and arithmetic only.
//
// All amounts are integers, so that sums are exact in any order:
//
//	Core    milli-cores x milliseconds       (1e-6 core-seconds)
//	GPU     milli-GPUs x milliseconds        (1e-6 GPU-seconds)
//	Memory  milli-gigabytes x milliseconds   (1e-6 GB-seconds)
//	Money   millionths of the currency in which the cloud's prices are given
//	Run     milliseconds
package charge

import (
	"fmt"
	"math"
	"time"
)

// Outcome tells how an attempt came to its end.
type Outcome uint8

// The ends of attempts.
const (
	Continues  Outcome = iota // a part of an attempt that runs on: its day is over
	Done                      // completed
	Failed                    // ended by itself with an error
	Refused                   // the worker did not take it: it never ran
	Stopped                   // stopped for a reason that is no longer known
	Preempted                 // stopped to make room for others
	Drained                   // stopped since its machine is taken or emptied
	Cancelled                 // its job was cancelled
	OverBudget                // stopped since its team's budget is spent
	Lost                      // its machine was lost: the charge is an upper bound

	outcomeCount = iota
)

var outcomeNames = [outcomeCount]string{"continues", "done", "failed", "refused", "stopped", "preempted", "drained", "cancelled", "over-spent", "lost"}

// String gives the end's name, as programs and people see it.
func (h Outcome) String() string {
	if h >= outcomeCount {
		return fmt.Sprintf("how-%d", uint8(h))
	}
	return outcomeNames[h]
}

// MarshalText gives the end's name.
func (h Outcome) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// Kind is the kind of machine an attempt ran on, and what it cost there.
type Kind struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Zone string
	Spot bool
	Rate int64 // what the task took of the machine's price when it was placed, in millionths an hour
}

// Brief is what the charges of a job have in common.
type Brief struct {
	_       struct{} `cbor:",toarray"`
	Team    string
	Account string // whom the team bills for the job; empty: the team itself
	Class   string
	Cores   int64 // of one task, in milli-cores
	GPUs    int64 // in milli-GPUs
	Memory  int64 // in milli-gigabytes
}

// InMilli is an amount in thousandths, rounded.
func InMilli(v float64) int64 { return int64(math.Round(v * 1000)) }

// Charge is what one attempt of a task took, or a part of that which lies in
// one day: the parts of an attempt are numbered from 0 and follow each other
// without a gap. (Job, task, attempt, part) names a charge; no two have the same.
type Charge struct {
	_       struct{} `cbor:",toarray"`
	Task    int
	Attempt uint64
	Part    int
	Kind    int   // index into the pack's kinds
	Start   int64 // time of day in milliseconds
	Run     int64 // milliseconds from then on
	Money   int64
	Outcome Outcome
	Flags   Flag
}

// Flag is a set of remarks on a charge.
type Flag uint8

// The remarks.
const (
	UpperBound    Flag = 1 << iota // its time is an upper bound: its start or its end was not seen
	ProgressSaved                  // its progress was saved
	PriceUnknown                   // the machine's price was not known
)

// End is the time of day, in milliseconds, up to which the charge counts.
func (c *Charge) End() int64 { return c.Start + c.Run }

// Pack is some of the charges of one job, as they are stored.
type Pack struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	Brief   Brief
	Kinds   []Kind
	Charges []Charge
}

// KindIndex gives the index of a kind, which is added if it is new.
func (p *Pack) KindIndex(k Kind) int {
	for i := range p.Kinds {
		if p.Kinds[i] == k {
			return i
		}
	}
	p.Kinds = append(p.Kinds, k)
	return len(p.Kinds) - 1
}

// Amounts is what some charges took together.
type Amounts struct {
	_         struct{} `cbor:",toarray"`
	Core      int64
	GPU       int64
	Memory    int64
	Money     int64
	Run       int64
	ByOutcome [outcomeCount]int64 // charges by how they ended; attempts are all but Continues
}

// AmountsOf is what a charge of a job took.
func (b *Brief) AmountsOf(c *Charge) Amounts {
	a := Amounts{Core: b.Cores * c.Run, GPU: b.GPUs * c.Run, Memory: b.Memory * c.Run, Money: c.Money, Run: c.Run}
	if c.Outcome < outcomeCount {
		a.ByOutcome[c.Outcome] = 1
	}
	return a
}

// Add adds other amounts.
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
	var n int64
	for h, v := range a.ByOutcome {
		if Outcome(h) != Continues {
			n += v
		}
	}
	return n
}

// CoreHours is the core time in hours, for people.
func (a *Amounts) CoreHours() float64 { return float64(a.Core) / 1e6 / 3600 }

// Cost is what a rate, in millionths an hour, comes to over a time.
func Cost(rate int64, run time.Duration) int64 {
	return int64(math.Round(float64(rate) * run.Hours()))
}

// DayOf names the day of a time in a place.
func DayOf(ms int64, where *time.Location) string {
	return time.UnixMilli(ms).In(where).Format(time.DateOnly)
}

// NextDay is when the day after that of a time begins, in milliseconds.
func NextDay(ms int64, where *time.Location) int64 {
	t := time.UnixMilli(ms).In(where)
	return time.Date(t.Year(), t.Month(), t.Day()+1, 0, 0, 0, 0, where).UnixMilli()
}

// SplitByDay cuts a charge at the turns of days, so that each part lies in one day.
// Its time and money are shared out without a rest.
func SplitByDay(c Charge, where *time.Location) []Charge {
	var out []Charge
	for {
		turn := NextDay(c.Start, where)
		if c.End() <= turn {
			return append(out, c)
		}
		part := c
		part.Run = turn - c.Start
		part.Money = int64(math.Round(float64(c.Money) * float64(part.Run) / float64(c.Run)))
		part.Outcome, part.Flags = Continues, c.Flags&^ProgressSaved
		out = append(out, part)
		c.Start, c.Run, c.Money, c.Part = turn, c.Run-part.Run, c.Money-part.Money, c.Part+1
	}
}
