package budget

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
)

// estimates is what was learned of the tasks of each class.
type estimates struct {
	runRatio map[string]float64 // how long tasks ran, as a multiple of their owners' estimates
	lastRate map[string]int64   // the rate of the task that was placed last
}

func newEstimates() estimates {
	return estimates{runRatio: map[string]float64{}, lastRate: map[string]int64{}}
}

// learnRate notes the rate of a task that was placed.
func (e *estimates) learnRate(t *Task) {
	if t.Rate > 0 {
		e.lastRate[t.Class] = t.Rate
	}
}

// learnRun notes how long a task ran that completed. The ratio is a moving average of
// bounded values, so a single task of a class does not decide it.
func (e *estimates) learnRun(t *Task, run time.Duration) {
	if t.EstimateS <= 0 {
		return
	}
	seen := min(max(run.Seconds()/t.EstimateS, 1/tuning.EstimateCorrectionMaxFactor), tuning.EstimateCorrectionMaxFactor)
	if old, ok := e.runRatio[t.Class]; ok {
		seen = old + tuning.EstimateLearningRate*(seen-old)
	}
	e.runRatio[t.Class] = seen
}

// expected is what a task is expected to use in all.
func (e *estimates) expected(t *Task) Usage {
	run := e.expectedRun(t)
	return Usage{Core: t.MilliCores * run.Milliseconds(), Money: charge.Cost(e.expectedRate(t), run)}
}

// expectedRun is the owner's estimate, corrected by what the class was seen to take. A
// service has none; for it a fixed time is reserved.
func (e *estimates) expectedRun(t *Task) time.Duration {
	if t.EstimateS <= 0 {
		return tuning.ServiceReservedTime
	}
	ratio, ok := e.runRatio[t.Class]
	if !ok {
		ratio = 1
	}
	return time.Duration(t.EstimateS * ratio * float64(time.Second))
}

// expectedRate is the task's rate; before it is placed the last rate of its class; and
// while that is unknown too, the rate on the most expensive machine type.
func (e *estimates) expectedRate(t *Task) int64 {
	switch {
	case t.Rate != 0:
		return t.Rate
	case e.lastRate[t.Class] != 0:
		return e.lastRate[t.Class]
	}
	return t.MaxRate
}
