package config

import (
	"fmt"
	"time"

	"github.com/magiconair/properties"

	"poppypass/internal/tuning"
)

// The keys of the operators' properties.
const (
	keyIdleKeep    = "fleet.idle.keep"
	keyMaxMachines = "fleet.machines.max"
)

// LoadProperties reads the operators' settings; an empty path gives the defaults.
func LoadProperties(path string) (tuning.Knobs, error) {
	k := tuning.Defaults()
	if path == "" {
		return k, nil
	}
	p, err := properties.LoadFile(path, properties.UTF8)
	if err != nil {
		return k, fmt.Errorf("properties: %w", err)
	}
	for _, key := range p.Keys() {
		if err := setKnob(&k, key, p); err != nil {
			return k, fmt.Errorf("properties %s: %w", path, err)
		}
	}
	return k, nil
}

func setKnob(k *tuning.Knobs, key string, p *properties.Properties) error {
	switch key {
	case keyIdleKeep:
		d, err := time.ParseDuration(p.MustGetString(key))
		if err != nil || d < 0 {
			return fmt.Errorf("%s: %q is not a duration such as 45s", key, p.MustGetString(key))
		}
		k.IdleKeep = d
	case keyMaxMachines:
		n := p.GetInt(key, -1)
		if n < 1 {
			return fmt.Errorf("%s: %q is not a count above 0", key, p.MustGetString(key))
		}
		k.MaxMachines = n
	default:
		return fmt.Errorf("%s: unknown key", key)
	}
	return nil
}
