package tuning

import "time"

// Interruptions of spot machines by the cloud.
const (
	// EstimateSpread is how far run times lie from their owners' estimates, as the
	// standard deviation of the logarithm: often wrong by half.
	EstimateSpread = 0.5
	// InterruptionStopLead is how long before a spot machine is interrupted what still
	// runs there is stopped: for a command and its answer, and for the error of the
	// announced time.
	InterruptionStopLead = 2500 * time.Millisecond
)
