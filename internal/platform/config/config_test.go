package config

import (
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/sim/testutil"
)

const good = `
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

func TestLoad(t *testing.T) {
	s, err := Load(testutil.File(t, "s.toml", good))
	if err != nil {
		t.Fatal(err)
	}
	if s.Member != "m0" || s.Members[0].Endpoint != "127.0.0.2:8081" || s.Cluster.Teams[0].CPUsMax != 8 || s.Cluster.State.TxnOps != 12 {
		t.Errorf("read as %+v", s)
	}
}

// A guest team comes without amounts: it has no guarantee and no cap, rather
// than a cap of nothing.
func TestTeamWithoutAmountsHasNoCap(t *testing.T) {
	s, err := Load(testutil.File(t, "s.toml", good+"[[cluster.teams]]\nname = \"guest\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if g := s.Cluster.Teams[1]; g.CPUs != 0 || !math.IsInf(g.CPUsMax, 1) || !math.IsInf(g.GPUsMax, 1) {
		t.Errorf("the guest has %+v", g)
	}
}

func TestLoadNamesTheBadField(t *testing.T) {
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
		text := strings.Replace(good, c.old, c.new, 1)
		if _, err := Load(testutil.File(t, "s.toml", text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q instead of %q: %v", c.new, c.old, err)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil {
		t.Error("a missing file was taken")
	}
}

func TestLoadProperties(t *testing.T) {
	k, err := LoadProperties(testutil.File(t, "p.properties", "# ours\nfleet.idle.keep = 45s\nfleet.machines.max: 7\n"))
	if err != nil || k.Tunables.IdleKeep != 45*time.Second || k.Tunables.MaxMachines != 7 {
		t.Errorf("read as %+v, %v", k, err)
	}
	if k, err = LoadProperties(""); err != nil || k.Tunables != tuning.Defaults() {
		t.Errorf("without a file: %+v, %v", k, err)
	}
	own, err := LoadProperties(testutil.File(t, "p.properties", "ledger = on\nledger.zone = UTC\nbudget.t.month.money = 5\nmetrics.addr = 127.0.0.1:9\n"))
	if err != nil || !own.Ledger || len(own.Budgets.Budgets) != 1 || own.MetricsAddr != "127.0.0.1:9" {
		t.Errorf("read as %+v, %v", own, err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`name = "t"`, `name = "other"`, "unknown"}, {"value_kb = 16.0", "value_kb = 8.0", "value_kb"},
	} {
		s, err := Load(testutil.File(t, "s.toml", strings.Replace(good, c.old, c.new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if err := own.Check(s); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	for _, text := range []string{
		"ledger = yes", "ledger.zone = Nowhere/At-All", "metrics.addr = here", "budget.t.month.money = 5", "ledger = on\nbudget.t.month.money = x",
	} {
		if _, err := LoadProperties(testutil.File(t, "p.properties", text)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", text, err)
		}
	}
	for _, text := range []string{"fleet.idle.keep = soon", "fleet.idle.keep = -1s", "fleet.machines.max = 0", "fleet.machine.max = 3"} {
		if _, err := LoadProperties(testutil.File(t, "p.properties", text)); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

// Budgets change while the program runs; a file with a mistake changes nothing.
func TestChangedBudgetsAreTakenIn(t *testing.T) {
	path := testutil.File(t, "p.properties", "ledger = on\nbudget.t.month.money = 5\n")
	s, err := Load(testutil.File(t, "s.toml", good))
	if err != nil {
		t.Fatal(err)
	}
	own, err := LoadProperties(path)
	if err != nil {
		t.Fatal(err)
	}
	w := Watch(path, s, own)
	log := slog.New(slog.DiscardHandler)
	for _, c := range []struct {
		text string
		want float64
	}{
		{"ledger = on\nbudget.t.month.money = 60\n", 60}, {"ledger = on\nbudget.t.month.money = much\n", 60},
		{"ledger = on\nbudget.nobody.month.money = 700\n", 60}, {"ledger = on\nbudget.t.month.money = 80000\n", 80000},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.look(log)
		if got := w.Budgets().Budgets[0].Amount; got != c.want {
			t.Errorf("after %q: %v", c.text, got)
		}
	}
}
