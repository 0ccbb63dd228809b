// Package config reads a controller's configuration: the platform's settings file (TOML) and the operators' settings file
// (properties).
package config

import (
	"fmt"
	"math"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the content of the platform's settings file. Unknown fields are ignored.
type Settings struct {
	Member   string            `toml:"member"`    // name of this controller
	Zone     string            `toml:"domain"`    // zone in which this controller runs
	Bind     string            `toml:"bind"`      // address that serves users and workers
	PeerAddr string            `toml:"mesh_addr"` // address that serves the other controllers
	Members  []Member          `toml:"members"`   // the other controllers
	External ExternalAddresses `toml:"outside"`
	Cluster  Cluster           `toml:"cluster"`
}

// Member is another controller.
type Member struct {
	Name     string `toml:"member"`
	Zone     string `toml:"domain"`
	Endpoint string `toml:"endpoint"`
}

// ExternalAddresses holds the addresses of the cloud and the state service.
type ExternalAddresses struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster describes the deployment.
type Cluster struct {
	InitialSize  int              `toml:"initial_size"`
	Zones        []string         `toml:"zones"`
	ClockErrorMS float64          `toml:"clock_error_ms"` // largest error of a time of day, in milliseconds
	Teams        []Team           `toml:"teams"`
	Objectives   []Objective      `toml:"objectives"`
	Workers      Workers          `toml:"workers"`
	State        StateLimits      `toml:"state"`
	Cloud        CloudLimits      `toml:"cloud"`
	Limits       ControllerLimits `toml:"limits"`
}

// Team is a team and its quota: a guarantee (CPUs, GPUs) and a limit (CPUsMax, GPUsMax). In the file, a guarantee that is 0 or
// missing means no guarantee, and a limit that is 0 or missing means no limit. Load replaces a limit of 0 by infinity, so no
// other code has to handle that case.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective: the share of a class's jobs that must start or finish within a time, in seconds.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers holds the times of workers, in seconds: the heartbeat interval, the duration of a lease, and the time allowed for a
// cancellation. The last one is only checked, not used.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// StateLimits holds the limits of the state service: calls and changes per second, the largest size of a value in KiB, and the
// largest number of operations in a transaction.
type StateLimits struct {
	RPS         float64 `toml:"rps"`
	WriteRPS    float64 `toml:"write_rps"`
	MaxValueKiB float64 `toml:"value_kb"`
	MaxTxnOps   int     `toml:"txn_ops"`
}

// CloudLimits holds the limits of the cloud: calls per second, and by how many seconds the cloud's list of machines may be out
// of date.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// ControllerLimits holds the limits of the controller's own machine: its share of the CPU, its memory in MiB, and its number of
// file descriptors.
type ControllerLimits struct {
	CPUShare  float64 `toml:"cpu_share"`
	MemoryMiB float64 `toml:"ram_mb"`
	FDLimit   int     `toml:"fd_limit"`
}

// Load reads and checks a settings file. The text of an error is one line and says what is wrong.
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

// unlimitedIfZero returns limit, or infinity if limit is 0. Without this replacement, every job of a team without a
// limit in the file would be refused as exceeding a limit of 0.
func unlimitedIfZero(limit float64) float64 {
	if limit == 0 {
		return math.Inf(1)
	}
	return limit
}

func (s *Settings) hasTeam(name string) bool {
	return slices.ContainsFunc(s.Cluster.Teams, func(t Team) bool { return t.Name == name })
}
