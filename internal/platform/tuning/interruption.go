package tuning

import "time"

// Spot machines that the cloud takes back.
const (
	// EstimateSpread is how far run times lie from their owners' estimates, as the standard deviation of the
	// logarithm: often wrong by half.
	EstimateSpread = 0.5
	// InterruptionStopLead is how long before a machine is taken what still runs there is stopped: for a command and its answer,
	// and what the time of the notice may be off.
	InterruptionStopLead = 2500 * time.Millisecond
)
