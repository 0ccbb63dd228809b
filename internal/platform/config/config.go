// Package config reads what a controller is told: the platform's settings
// file (TOML) and the operators' own settings (properties).
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"

	"poppypass/internal/platform/tuning"
)

// Settings is the platform's settings file. Unknown fields are ignored.
type Settings struct {
	Member   string   `toml:"member"`
	Zone     string   `toml:"domain"`
	Bind     string   `toml:"bind"`
	MeshAddr string   `toml:"mesh_addr"`
	Members  []Member `toml:"members"`
	Outside  Outside  `toml:"outside"`
	Cluster  Cluster  `toml:"cluster"`
}

// Member is another controller.
type Member struct {
	Name     string `toml:"member"`
	Zone     string `toml:"domain"`
	Endpoint string `toml:"endpoint"`
}

// Outside gives the addresses of the outside systems.
type Outside struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster describes the deployment.
type Cluster struct {
	InitialSize  int         `toml:"initial_size"`
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        State       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Limits       Limits      `toml:"limits"`
}

// Team has a guarantee and a cap. In the file an amount of 0, or none, means
// that there is none: no guarantee, or no cap. Load turns the latter into an
// endless cap, so that nobody else has to know.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is an aim on starting or finishing.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers tells how workers report.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// State gives the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud gives the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits are those of the controller's own machine.
type Limits struct {
	CPUShare float64 `toml:"cpu_share"`
	RAMMB    float64 `toml:"ram_mb"`
	FDLimit  int     `toml:"fd_limit"`
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var s Settings
	if err := toml.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("settings %s: not valid TOML: %w", path, err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	for i := range s.Cluster.Teams {
		t := &s.Cluster.Teams[i]
		t.CPUsMax, t.GPUsMax = unlimitedIfZero(t.CPUsMax), unlimitedIfZero(t.GPUsMax)
	}
	return &s, nil
}

// unlimitedIfZero gives a cap that was not set: a guest team that comes with neither
// guarantee nor cap had each of its jobs refused as beyond a cap of nothing.
func unlimitedIfZero(limit float64) float64 {
	if limit == 0 {
		return math.Inf(1)
	}
	return limit
}

func (s *Settings) check() error {
	if s.Member == "" {
		return errors.New("field member is missing")
	}
	for _, a := range []struct{ name, addr string }{
		{"bind", s.Bind}, {"mesh_addr", s.MeshAddr}, {"outside.cloud", s.Outside.Cloud}, {"outside.state", s.Outside.State},
	} {
		if err := checkAddr(a.name, a.addr); err != nil {
			return err
		}
	}
	seen := map[string]bool{s.Member: true}
	for i, m := range s.Members {
		if m.Name == "" {
			return fmt.Errorf("field members[%d].member is missing", i)
		}
		if seen[m.Name] {
			return fmt.Errorf("field members[%d].member: %q is named twice", i, m.Name)
		}
		seen[m.Name] = true
		if err := checkAddr(fmt.Sprintf("members[%d].endpoint", i), m.Endpoint); err != nil {
			return err
		}
	}
	teams := map[string]bool{}
	for i, t := range s.Cluster.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("field cluster.teams[%d].name is missing or doubled", i)
		}
		teams[t.Name] = true
		for _, a := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(a >= 0) || math.IsInf(a, 1) {
				return fmt.Errorf("field cluster.teams[%d]: an amount is negative or not finite", i)
			}
		}
	}
	if len(teams) == 0 {
		return errors.New("field cluster.teams is missing")
	}
	for _, n := range []struct {
		name string
		v    float64
	}{
		{"cluster.workers.report_s", s.Cluster.Workers.HeartbeatS},
		{"cluster.workers.lease_s", s.Cluster.Workers.LeaseS},
		{"cluster.workers.cancel_s", s.Cluster.Workers.CancelS},
		{"cluster.state.rps", s.Cluster.State.RPS},
		{"cluster.state.write_rps", s.Cluster.State.WriteRPS},
		{"cluster.state.value_kb", s.Cluster.State.ValueKB},
		{"cluster.state.txn_ops", float64(s.Cluster.State.TxnOps)},
		{"cluster.cloud.rps", s.Cluster.Cloud.RPS},
	} {
		if !(n.v > 0) {
			return fmt.Errorf("field %s is missing or not above 0", n.name)
		}
	}
	if s.Cluster.State.ValueKB < tuning.MinValueKB {
		return fmt.Errorf("field cluster.state.value_kb is under %d, the least that a progress record takes", tuning.MinValueKB)
	}
	if s.Cluster.State.TxnOps < 4 {
		return errors.New("field cluster.state.txn_ops is under 4, the least that one job's end takes")
	}
	return nil
}

func checkAddr(name, addr string) error {
	if addr == "" {
		return fmt.Errorf("field %s is missing", name)
	}
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		return fmt.Errorf("field %s: %q is not an address of the form host:port", name, addr)
	}
	return nil
}
