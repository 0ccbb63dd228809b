// Package charge describes what the attempts of tasks cost: the team and account that
// are charged, the kind of machine, the start and end, and the outcome of the attempt. The
// package contains only data types, their stored forms and arithmetic.
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
	"math"
	"slices"
)

// Kind describes the kind of machine that an attempt ran on, and the rate of the task there.
type Kind struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Zone string
	Spot bool
	Rate int64 // the task's share of the machine's price at the time of the allocation, in millionths of the currency per hour
}

// JobTraits are the properties that all charges of a job share.
type JobTraits struct {
	_       struct{} `cbor:",toarray"`
	Team    string
	Account string // the account within the team that pays for the job; empty: the team itself
	Class   string
	Cores   int64 // cores of one task, in milli-cores
	GPUs    int64 // GPUs of one task, in milli-GPUs
	Memory  int64 // memory of one task, in milli-gigabytes
}

// InMilli converts an amount to thousandths, rounded.
func InMilli(v float64) int64 { return int64(math.Round(v * 1000)) }

// Charge is the cost of one attempt of a task, or of the part of the attempt
// that falls on one day. The parts of an attempt are numbered from 0, and each
// starts when the previous one ends. (Job, task, attempt, part) identifies a charge.
type Charge struct {
	_         struct{} `cbor:",toarray"`
	Task      int      // index of the task within its job
	Attempt   uint64
	Part      int   // number of the part, from 0
	KindIndex int   // index into Pack.Kinds
	StartMS   int64 // Unix time in milliseconds
	RunMS     int64 // run time in milliseconds
	Money     int64 // millionths of the currency
	Outcome   Outcome
	Flags     Flag
}

// Flag is a bit set of the flags of a charge.
type Flag uint8

// The flags of a charge.
const (
	UpperBound    Flag = 1 << iota // the run time is an upper bound, since the start or the end was not observed
	ProgressSaved                  // the task's progress was saved
	PriceUnknown                   // the machine's price was not known
)

// EndMS returns the Unix time, in milliseconds, at which the charged time ends.
func (c *Charge) EndMS() int64 { return c.StartMS + c.RunMS }

// Pack is the unit in which charges are stored: some or all of the charges of one job.
type Pack struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	Traits  JobTraits
	Kinds   []Kind
	Charges []Charge
}

// Slice returns a pack with the charges from index from to index to, which is exclusive, and with those kinds alone that
// they refer to.
func (p *Pack) Slice(from, to int) *Pack {
	out := &Pack{Job: p.Job, Traits: p.Traits, Charges: slices.Clone(p.Charges[from:to])}
	for i := range out.Charges {
		c := &out.Charges[i]
		c.KindIndex = out.KindIndex(p.Kinds[c.KindIndex])
	}
	return out
}

// KindIndex returns the index of a kind in p.Kinds. It appends the kind if p.Kinds does not contain it yet.
func (p *Pack) KindIndex(k Kind) int {
	for i := range p.Kinds {
		if p.Kinds[i] == k {
			return i
		}
	}
	p.Kinds = append(p.Kinds, k)
	return len(p.Kinds) - 1
}
