package config

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/magiconair/properties"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/platform/tuning"
)

// The keys of the operators' properties. The keys of pools begin with keyPool, those of budgets with budget.Prefix.
const (
	keyIdleKeep     = "fleet.idle.keep"
	keyMaxMachines  = "fleet.machines.max"
	keyLedger       = "ledger"
	keyLedgerZone   = "ledger.zone"
	keyMetrics      = "metrics.addr"
	keyGraphs       = "graphs"
	keyDescriptions = "graphs.descriptions"
	keyPool         = "graphs.pool."
)

// OperatorSettings holds the settings of the operators' properties file.
type OperatorSettings struct {
	Tunables tuning.Tunables
	// LedgerEnabled reports whether charges are recorded.
	LedgerEnabled bool
	// Budgets is never nil. Without a ledger it contains no budget.
	Budgets *budget.Settings
	// MetricsAddr is the address at which metrics are served; empty: none are served.
	MetricsAddr string
	// GraphsEnabled reports whether graphs of jobs are served.
	GraphsEnabled bool
	// DescriptionsURL is the URL of the service to which the descriptions of graphs' steps are sent; empty: only clients
	// describe steps.
	DescriptionsURL string
	// Pools holds the number of slots of each pool.
	Pools map[Pool]int
}

// Pool identifies a pool of a team.
type Pool struct{ Team, Name string }

// LoadProperties reads the operators' settings from a file. If path is empty, it returns the defaults. The text of an error is
// one line and says what is wrong.
func LoadProperties(path string) (*OperatorSettings, error) {
	o := &OperatorSettings{Tunables: tuning.Defaults(), Budgets: &budget.Settings{}, Pools: map[Pool]int{}}
	if path == "" {
		return o, nil
	}
	l := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := l.LoadFile(path)
	if err != nil {
		return nil, fmt.Errorf("properties: %w", err)
	}
	for _, key := range p.Keys() {
		if err := o.set(key, p); err != nil {
			return nil, fmt.Errorf("properties %s: %w", path, err)
		}
	}
	if err := o.checkDependencies(); err != nil {
		return nil, fmt.Errorf("properties %s: %w", path, err)
	}
	return o, nil
}

// checkDependencies returns an error if a setting is present without the setting that it requires.
func (o *OperatorSettings) checkDependencies() error {
	if !o.GraphsEnabled && (len(o.Pools) > 0 || o.DescriptionsURL != "") {
		return fmt.Errorf("settings of graphs require %s = on", keyGraphs)
	}
	if !o.LedgerEnabled && len(o.Budgets.Budgets) > 0 {
		return fmt.Errorf("budgets require %s = on", keyLedger)
	}
	return nil
}

// set parses the property with the given key and stores its value.
func (o *OperatorSettings) set(key string, p *properties.Properties) (err error) {
	value := p.GetString(key, "")
	switch key {
	case keyIdleKeep:
		o.Tunables.IdleKeep, err = parseDuration(key, value)
	case keyMaxMachines:
		o.Tunables.MaxMachines, err = parseCount(key, p)
	case keyLedger:
		o.LedgerEnabled, err = parseSwitch(key, value)
	case keyLedgerZone:
		o.Budgets.TimeZone, err = parseTimeZone(key, value)
	case keyMetrics:
		o.MetricsAddr, err = value, checkAddr(key, value)
	case keyGraphs:
		o.GraphsEnabled, err = parseSwitch(key, value)
	case keyDescriptions:
		o.DescriptionsURL, err = value, checkURL(key, value)
	default:
		return o.setWithPrefix(key, p)
	}
	return err
}

// setWithPrefix parses a property whose key has the prefix of pools or budgets.
func (o *OperatorSettings) setWithPrefix(key string, p *properties.Properties) error {
	if rest, ok := strings.CutPrefix(key, keyPool); ok {
		return o.setPool(key, rest, p)
	}
	if strings.HasPrefix(key, budget.Prefix) {
		return o.Budgets.Set(key, p.GetString(key, ""))
	}
	return fmt.Errorf("%s: unknown key", key)
}

func (o *OperatorSettings) setPool(key, name string, p *properties.Properties) error {
	team, pool, _ := strings.Cut(name, ".")
	slots := p.GetInt(key, -1)
	if team == "" || pool == "" || slots < 1 {
		return fmt.Errorf("%s: a pool has the form %sTEAM.NAME = SLOTS, with at least 1 slot", key, keyPool)
	}
	o.Pools[Pool{team, pool}] = slots
	return nil
}

func parseDuration(key, value string) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s: %q is not a duration such as 45s", key, value)
	}
	return d, nil
}

func parseCount(key string, p *properties.Properties) (int, error) {
	n := p.GetInt(key, -1)
	if n < 1 {
		return 0, fmt.Errorf("%s: %q is not a count above 0", key, p.GetString(key, ""))
	}
	return n, nil
}

func parseSwitch(key, value string) (on bool, err error) {
	if value != "on" && value != "off" {
		return false, fmt.Errorf("%s: %q is neither on nor off", key, value)
	}
	return value == "on", nil
}

func parseTimeZone(key, value string) (*time.Location, error) {
	zone, err := time.LoadLocation(value)
	if err != nil {
		return nil, fmt.Errorf("%s: unknown time zone %q", key, value)
	}
	return zone, nil
}

func checkURL(key, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("%s: %q is not a URL such as http://10.0.0.7:8000/steps", key, value)
	}
	return nil
}

// Check returns an error, in one line, if the operators' settings do not fit the platform's settings.
func (o *OperatorSettings) Check(s *Settings) error {
	for pool := range o.Pools {
		if !s.hasTeam(pool.Team) {
			return fmt.Errorf("%s%s.%s: the settings have no such team", keyPool, pool.Team, pool.Name)
		}
	}
	if o.GraphsEnabled && s.Cluster.State.MaxValueKiB < tuning.GraphMinValueKiB {
		return fmt.Errorf("%s: field cluster.state.value_kb is below %d, the minimum for storing runs of graphs", keyGraphs, tuning.GraphMinValueKiB)
	}
	if !o.LedgerEnabled {
		return nil
	}
	if s.Cluster.State.MaxValueKiB < tuning.LedgerMinValueKiB {
		return fmt.Errorf("%s: field cluster.state.value_kb is below %d, the minimum for storing progress records with charges", keyLedger, tuning.LedgerMinValueKiB)
	}
	return o.Budgets.Check(s.hasTeam)
}
