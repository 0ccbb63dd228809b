// Package tuning holds the constants of the service, one file per subject. Each constant's comment gives
// its unit and the reason for its value. Settings that operators may change are in Tunables instead, which
// the properties file sets.
package tuning

import "time"

// Tunables are the settings that operators may change.
type Tunables struct {
	// IdleKeep is how long a machine may be without tasks before it is returned.
	IdleKeep time.Duration
	// MaxMachines bounds how many machines are rented at a time; 0: as many as memory allows.
	MaxMachines int
}

// Defaults returns the values that apply when no properties are given.
func Defaults() Tunables {
	return Tunables{
		// A rented machine is charged for at least 60 s, and its boot takes 20 s or more. Jobs arrive every few
		// seconds, so a short idle time costs less than a new boot.
		IdleKeep: 30 * time.Second,
	}
}
