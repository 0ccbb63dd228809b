package config

import (
	"errors"
	"fmt"
	"math"
	"net"

	"poppypass/internal/platform/tuning"
)

// minTxnOps is the smallest limit on the operations of a transaction with which a job's end can be stored.
const minTxnOps = 4

// check returns an error that names the first field that is missing or invalid.
func (s *Settings) check() error {
	if s.Member == "" {
		return errors.New("field member is missing")
	}
	for _, check := range []func() error{s.checkAddresses, s.checkMembers, s.checkTeams, s.checkLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	for _, a := range []struct{ name, addr string }{
		{"bind", s.Bind}, {"mesh_addr", s.PeerAddr}, {"outside.cloud", s.External.Cloud}, {"outside.state", s.External.State},
	} {
		if err := checkAddr(a.name, a.addr); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkMembers() error {
	seen := map[string]bool{s.Member: true}
	for i, m := range s.Members {
		if m.Name == "" {
			return fmt.Errorf("field members[%d].member is missing", i)
		}
		if seen[m.Name] {
			return fmt.Errorf("field members[%d].member: %q is a duplicate", i, m.Name)
		}
		seen[m.Name] = true
		if err := checkAddr(fmt.Sprintf("members[%d].endpoint", i), m.Endpoint); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkTeams() error {
	seen := map[string]bool{}
	for i, t := range s.Cluster.Teams {
		if t.Name == "" || seen[t.Name] {
			return fmt.Errorf("field cluster.teams[%d].name is missing or a duplicate", i)
		}
		seen[t.Name] = true
		for _, amount := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(amount >= 0) || math.IsInf(amount, 1) {
				return fmt.Errorf("field cluster.teams[%d]: an amount is negative or not finite", i)
			}
		}
	}
	if len(seen) == 0 {
		return errors.New("field cluster.teams is missing")
	}
	return nil
}

func (s *Settings) checkLimits() error {
	workers, state, cloud := s.Cluster.Workers, s.Cluster.State, s.Cluster.Cloud
	for _, n := range []struct {
		name string
		v    float64
	}{
		{"cluster.workers.report_s", workers.HeartbeatS},
		{"cluster.workers.lease_s", workers.LeaseS},
		{"cluster.workers.cancel_s", workers.CancelS},
		{"cluster.state.rps", state.RPS},
		{"cluster.state.write_rps", state.WriteRPS},
		{"cluster.state.value_kb", state.MaxValueKiB},
		{"cluster.state.txn_ops", float64(state.MaxTxnOps)},
		{"cluster.cloud.rps", cloud.RPS},
	} {
		if !(n.v > 0) { // also true for NaN
			return fmt.Errorf("field %s is missing or not above 0", n.name)
		}
	}
	if state.MaxValueKiB < tuning.MinValueKiB {
		return fmt.Errorf("field cluster.state.value_kb is below %d, the minimum for storing a progress record", tuning.MinValueKiB)
	}
	if state.MaxTxnOps < minTxnOps {
		return fmt.Errorf("field cluster.state.txn_ops is below %d, the minimum for storing a job's end", minTxnOps)
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
