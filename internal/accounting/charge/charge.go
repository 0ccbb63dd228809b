// Package charge describes what the attempts of tasks cost: which team and account
// are charged, on what machine, from when to when, and how the attempt ended. It
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

import "math"

// Kind is the kind of machine an attempt ran on, and what the task cost there.
type Kind struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Zone string
	Spot bool
	Rate int64 // the task's share of the machine's price when it was allocated, in millionths an hour
}

// JobTraits is what the charges of a job have in common.
type JobTraits struct {
	_       struct{} `cbor:",toarray"`
	Team    string
	Account string // that the team charges for the job; empty: the team itself
	Class   string
	Cores   int64 // of one task, in milli-cores
	GPUs    int64 // in milli-GPUs
	Memory  int64 // in milli-gigabytes
}

// InMilli is an amount in thousandths, rounded.
func InMilli(v float64) int64 { return int64(math.Round(v * 1000)) }

// Charge is what one attempt of a task cost, or the part of it that lies in
// one day: the parts of an attempt are numbered from 0 and follow each other
// without a gap. (Job, task, attempt, part) is unique to a charge.
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

// Flag is a set of flags of a charge.
type Flag uint8

// The flags of a charge.
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
	Traits  JobTraits
	Kinds   []Kind
	Charges []Charge
}

// KindIndex returns the index of a kind, which it adds if it is new.
func (p *Pack) KindIndex(k Kind) int {
	for i := range p.Kinds {
		if p.Kinds[i] == k {
			return i
		}
	}
	p.Kinds = append(p.Kinds, k)
	return len(p.Kinds) - 1
}
