package dag

import "time"

// Retry says how often a failed step is retried, and how long the delay before each retry is.
type Retry struct {
	Retries     int      `json:"retries,omitempty"`
	Delay       Duration `json:"retry_delay,omitempty"` // default: 300 s
	Exponential bool     `json:"retry_exponential_backoff,omitempty"`
	MaxDelay    Duration `json:"max_retry_delay,omitempty"`
}

// DefaultRetryDelay is the delay before a retry of a step that sets none. It is the same as in Airflow.
const DefaultRetryDelay = Duration(5 * time.Minute)

// maxRetryDelay is the upper bound of exponential delays.
const maxRetryDelay = 24 * time.Hour

// DelayBefore returns the delay before a retry. Retries are numbered from 1. An exponential delay doubles
// with each retry, up to MaxDelay and maxRetryDelay. jitter, from 0 to 1, spreads the exponential delays of
// different steps between half of the delay and all of it.
func (r *Retry) DelayBefore(retry int, jitter float64) time.Duration {
	delay := time.Duration(r.Delay)
	if delay <= 0 {
		delay = time.Duration(DefaultRetryDelay)
	}
	if !r.Exponential {
		return delay
	}
	for i := 1; i < retry && delay < maxRetryDelay; i++ {
		delay *= 2
	}
	if limit := time.Duration(r.MaxDelay); limit > 0 {
		delay = min(delay, limit)
	}
	delay = min(delay, maxRetryDelay)
	return delay/2 + time.Duration(float64(delay/2)*jitter)
}
