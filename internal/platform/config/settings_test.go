package config

import (
	"math"
	"path/filepath"
	"strings"
	"testing"

	"poppypass/internal/sim/testutil"
)

const validSettings = `
member = "m0"
domain = "a"
bind = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
future_field = 3
[[members]]
member = "m1"
domain = "b"
endpoint = "127.0.0.2:8081"
[outside]
cloud = "127.0.0.3:1"
state = "127.0.0.3:2"
[[cluster.teams]]
name = "t"
cpus = 4.0
cpus_max = 8.0
[cluster.workers]
report_s = 3.0
lease_s = 18.0
cancel_s = 43.0
[cluster.state]
rps = 150.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 3.0
list_lag_s = 4.0
`

func TestValidSettingsAreLoaded(t *testing.T) {
	s, err := Load(testutil.TempFile(t, "s.toml", validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Member != "m0" || s.Members[0].Endpoint != "127.0.0.2:8081" || s.Cluster.Teams[0].CPUsMax != 8 || s.Cluster.State.MaxTxnOps != 12 {
		t.Errorf("loaded as %+v", s)
	}
}

// Guards against a team without a quota in the file whose limit is loaded as 0 instead of as no limit.
func TestTeamWithoutQuotaHasNoLimit(t *testing.T) {
	s, err := Load(testutil.TempFile(t, "s.toml", validSettings+"[[cluster.teams]]\nname = \"guest\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if guest := s.Cluster.Teams[1]; guest.CPUs != 0 || !math.IsInf(guest.CPUsMax, 1) || !math.IsInf(guest.GPUsMax, 1) {
		t.Errorf("the team without a quota was loaded as %+v", guest)
	}
}

func TestAnErrorNamesTheBadField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`member = "m0"`, ``, "member is missing"},
		{`cpus_max = 8.0`, `cpus_max = -1.0`, "negative or not finite"},
		{`cpus_max = 8.0`, `cpus_max = inf`, "negative or not finite"},
		{`cpus = 4.0`, `cpus = nan`, "negative or not finite"},
		{`bind = "127.0.0.1:8080"`, ``, "field bind is missing"},
		{`bind = "127.0.0.1:8080"`, `bind = "here"`, "field bind"},
		{`mesh_addr = "127.0.0.1:8081"`, ``, "mesh_addr"},
		{`endpoint = "127.0.0.2:8081"`, ``, "members[0].endpoint"},
		{`member = "m1"`, `member = "m0"`, "members[0].member"},
		{`cloud = "127.0.0.3:1"`, ``, "outside.cloud"},
		{`cpus = 4.0`, `cpus = -4.0`, "cluster.teams[0]"},
		{`name = "t"`, ``, "cluster.teams[0].name"},
		{`lease_s = 18.0`, ``, "cluster.workers.lease_s"},
		{`write_rps = 60.0`, `write_rps = 0.0`, "cluster.state.write_rps"},
		{`value_kb = 16.0`, `value_kb = 1.0`, "cluster.state.value_kb"},
		{`txn_ops = 12`, `txn_ops = 2`, "cluster.state.txn_ops"},
		{`txn_ops = 12`, `txn_ops = "x"`, "not valid TOML"},
		{`[outside]`, `[outside`, "not valid TOML"},
	} {
		text := strings.Replace(validSettings, c.old, c.new, 1)
		if _, err := Load(testutil.TempFile(t, "s.toml", text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q instead of %q: %v", c.new, c.old, err)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil {
		t.Error("a missing file was accepted")
	}
}
