package config

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/magiconair/properties"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/platform/tuning"
)

// The keys of the operators' properties.
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

// OperatorSettings are the operators' own settings.
type OperatorSettings struct {
	Tunables tuning.Tunables
	// Ledger tells that charges are kept.
	Ledger bool
	// Budgets is never nil. Without a ledger it holds none.
	Budgets *budget.Settings
	// MetricsAddr is where metrics are served; empty: nowhere.
	MetricsAddr string
	// Graphs tells that graphs of jobs are served.
	Graphs bool
	// Descriptions is the URL at which steps are described; empty: only clients do that.
	Descriptions string
	// Pools holds how many slots each team's pools have.
	Pools map[Pool]int
}

// Pool names a team's pool.
type Pool struct{ Team, Name string }

// LoadProperties reads the operators' settings; an empty path gives the defaults.
func LoadProperties(path string) (*OperatorSettings, error) {
	own := &OperatorSettings{Tunables: tuning.Defaults(), Budgets: &budget.Settings{}, Pools: map[Pool]int{}}
	if path == "" {
		return own, nil
	}
	l := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := l.LoadFile(path)
	if err != nil {
		return nil, fmt.Errorf("properties: %w", err)
	}
	for _, key := range p.Keys() {
		if err := own.set(key, p); err != nil {
			return nil, fmt.Errorf("properties %s: %w", path, err)
		}
	}
	if !own.Graphs && (len(own.Pools) > 0 || own.Descriptions != "") {
		return nil, fmt.Errorf("properties %s: there are settings of graphs, but %s is not on", path, keyGraphs)
	}
	if !own.Ledger && len(own.Budgets.Budgets) > 0 {
		return nil, fmt.Errorf("properties %s: there are budgets, but %s is not on", path, keyLedger)
	}
	return own, nil
}

func (o *OperatorSettings) set(key string, p *properties.Properties) error {
	value := p.GetString(key, "")
	switch key {
	case keyIdleKeep:
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return fmt.Errorf("%s: %q is not a duration such as 45s", key, value)
		}
		o.Tunables.IdleKeep = d
	case keyMaxMachines:
		n := p.GetInt(key, -1)
		if n < 1 {
			return fmt.Errorf("%s: %q is not a count above 0", key, value)
		}
		o.Tunables.MaxMachines = n
	case keyLedger:
		if value != "on" && value != "off" {
			return fmt.Errorf("%s: %q is neither on nor off", key, value)
		}
		o.Ledger = value == "on"
	case keyLedgerZone:
		zone, err := time.LoadLocation(value)
		if err != nil {
			return fmt.Errorf("%s: %q is not a time zone known here", key, value)
		}
		o.Budgets.Zone = zone
	case keyMetrics:
		if err := checkAddr(key, value); err != nil {
			return err
		}
		o.MetricsAddr = value
	case keyGraphs:
		if value != "on" && value != "off" {
			return fmt.Errorf("%s: %q is neither on nor off", key, value)
		}
		o.Graphs = value == "on"
	case keyDescriptions:
		if u, err := url.Parse(value); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return fmt.Errorf("%s: %q is no URL such as http://10.0.0.7:8000/steps", key, value)
		}
		o.Descriptions = value
	default:
		if rest, ok := strings.CutPrefix(key, keyPool); ok {
			team, name, _ := strings.Cut(rest, ".")
			n := p.GetInt(key, -1)
			if team == "" || name == "" || n < 1 {
				return fmt.Errorf("%s: a pool is %sTEAM.NAME, and a count of slots above 0", key, keyPool)
			}
			o.Pools[Pool{team, name}] = n
			return nil
		}
		if strings.HasPrefix(key, budget.Prefix) {
			return o.Budgets.Set(key, value)
		}
		return fmt.Errorf("%s: unknown key", key)
	}
	return nil
}

// Check says what does not fit the platform's settings, in one line.
func (o *OperatorSettings) Check(s *Settings) error {
	for pool := range o.Pools {
		if !s.hasTeam(pool.Team) {
			return fmt.Errorf("%s%s.%s: no team has that name", keyPool, pool.Team, pool.Name)
		}
	}
	if o.Graphs && s.Cluster.State.ValueKB < tuning.GraphValueKB {
		return fmt.Errorf("%s: field cluster.state.value_kb is under %d, the least that runs of graphs take", keyGraphs, tuning.GraphValueKB)
	}
	if !o.Ledger {
		return nil
	}
	if s.Cluster.State.ValueKB < tuning.LedgerValueKB {
		return fmt.Errorf("%s: field cluster.state.value_kb is under %d, the least that progress records with charges take", keyLedger, tuning.LedgerValueKB)
	}
	return o.Budgets.Check(s.hasTeam)
}

func (s *Settings) hasTeam(name string) bool {
	return slices.ContainsFunc(s.Cluster.Teams, func(t Team) bool { return t.Name == name })
}
