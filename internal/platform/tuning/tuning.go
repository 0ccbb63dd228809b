// Package tuning holds every constant of the service, each with its unit and
// the reason for its value. What an operator may want to change is also a
// Knob, which the properties file can set.
package tuning

import "time"

// Tunables are the settings that operators may change.
type Tunables struct {
	// IdleKeep is how long a machine without tasks is kept before it is returned.
	IdleKeep time.Duration
	// MaxMachines bounds how many machines are rented at a time; 0: what memory allows.
	MaxMachines int
}

// Defaults gives the knobs' values when no properties are given.
func Defaults() Tunables {
	return Tunables{
		// A machine costs at least 60 s and boots for 20 s or more; work comes
		// every few seconds, so a short idle time is cheaper than a new boot.
		IdleKeep: 30 * time.Second,
	}
}
