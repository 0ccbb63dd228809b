package tuning

import "time"

// Interruptions of spot machines by the cloud.
const (
	// EstimateLogStdDev is the standard deviation of the logarithm of a run time relative to its owner's
	// estimate. Estimates are often wrong by half.
	EstimateLogStdDev = 0.5
	// InterruptionStopLead is how long before the interruption of a spot machine its running tasks are
	// stopped. It covers a command, its answer, and the error of the announced time.
	InterruptionStopLead = 2500 * time.Millisecond
)
