// Package tuning holds the constants of the service, one file per subject, each
// constant with its unit and the reason for its value. What operators may change is
// in Tunables instead, which the properties file sets.
package tuning

import "time"

// Tunables are the settings that operators may change.
type Tunables struct {
	// IdleKeep is how long a machine without tasks is kept before it is returned.
	IdleKeep time.Duration
	// MaxMachines bounds how many machines are rented at a time; 0: as many as memory allows.
	MaxMachines int
}

// Defaults returns the values that apply when no properties are given.
func Defaults() Tunables {
	return Tunables{
		// A machine costs at least 60 s and boots for 20 s or more; work comes
		// every few seconds, so a short idle time is cheaper than a new boot.
		IdleKeep: 30 * time.Second,
	}
}
