package budget

import (
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
)

// estimates contains run times and rates learned from earlier tasks, by job class.
type estimates struct {
	runRatio map[string]float64 // run time of completed tasks, as a multiple of their owners' estimates
	lastRate map[string]int64   // rate of the most recently placed task, in millionths of the currency per hour
}

func newEstimates() estimates {
	return estimates{runRatio: map[string]float64{}, lastRate: map[string]int64{}}
}

// learnRate records the rate of a placed task.
func (e *estimates) learnRate(t *Task) {
	if t.Rate > 0 {
		e.lastRate[t.Class] = t.Rate
	}
}

// learnRun records the run time of a completed task. The ratio is a moving average of bounded
// values, so that a single task does not determine it.
func (e *estimates) learnRun(t *Task, run time.Duration) {
	if t.EstimateS <= 0 {
		return
	}
	ratio := min(max(run.Seconds()/t.EstimateS, 1/tuning.EstimateCorrectionMaxFactor), tuning.EstimateCorrectionMaxFactor)
	if previous, ok := e.runRatio[t.Class]; ok {
		ratio = previous + tuning.EstimateLearningRate*(ratio-previous)
	}
	e.runRatio[t.Class] = ratio
}

// expected returns the total expected usage of a task.
func (e *estimates) expected(t *Task) Usage {
	run := e.expectedRun(t)
	return Usage{Core: t.MilliCores * run.Milliseconds(), Money: charge.Cost(e.expectedRate(t), run)}
}

// expectedRun returns the owner's estimate of the run time, multiplied by the ratio learned for
// the class. A service has no estimate; a fixed time is reserved for it.
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

// expectedRate returns the task's rate. Before the task is placed, that is the last rate of its
// class or, if there is none yet, the rate on the most expensive machine type.
func (e *estimates) expectedRate(t *Task) int64 {
	switch {
	case t.Rate != 0:
		return t.Rate
	case e.lastRate[t.Class] != 0:
		return e.lastRate[t.Class]
	}
	return t.MaxRate
}
