package config

import (
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/sim/testutil"
)

func TestPropertiesAreReadAndChecked(t *testing.T) {
	settings, err := LoadProperties(testutil.TempFile(t, "p.properties", "# ours\nfleet.idle.keep = 45s\nfleet.machines.max: 7\n"))
	if err != nil || settings.Tunables.IdleKeep != 45*time.Second || settings.Tunables.MaxMachines != 7 {
		t.Errorf("loaded as %+v, %v", settings, err)
	}
	if settings, err = LoadProperties(""); err != nil || settings.Tunables != tuning.Defaults() {
		t.Errorf("without a file: %+v, %v", settings, err)
	}
	ledgerSettings, err := LoadProperties(testutil.TempFile(t, "p.properties", "ledger = on\nledger.zone = UTC\nbudget.t.month.money = 5\nmetrics.addr = 127.0.0.1:9\n"))
	if err != nil || !ledgerSettings.LedgerEnabled || len(ledgerSettings.Budgets.Budgets) != 1 || ledgerSettings.MetricsAddr != "127.0.0.1:9" {
		t.Errorf("loaded as %+v, %v", ledgerSettings, err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`name = "t"`, `name = "other"`, "unknown"}, {"value_kb = 16.0", "value_kb = 8.0", "value_kb"},
	} {
		s, err := Load(testutil.TempFile(t, "s.toml", strings.Replace(validSettings, c.old, c.new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if err := ledgerSettings.Check(s); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	for _, text := range []string{
		"ledger = yes", "ledger.zone = Nowhere/At-All", "metrics.addr = here", "budget.t.month.money = 5", "ledger = on\nbudget.t.month.money = x",
	} {
		if _, err := LoadProperties(testutil.TempFile(t, "p.properties", text)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", text, err)
		}
	}
	for _, text := range []string{"fleet.idle.keep = soon", "fleet.idle.keep = -1s", "fleet.machines.max = 0", "fleet.machine.max = 3"} {
		if _, err := LoadProperties(testutil.TempFile(t, "p.properties", text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

// Guards against budgets whose change in the file has no effect while the program runs, and against an invalid file that
// changes budgets.
func TestChangedBudgetsTakeEffect(t *testing.T) {
	path := testutil.TempFile(t, "p.properties", "ledger = on\nbudget.t.month.money = 5\n")
	s, err := Load(testutil.TempFile(t, "s.toml", validSettings))
	if err != nil {
		t.Fatal(err)
	}
	operatorSettings, err := LoadProperties(path)
	if err != nil {
		t.Fatal(err)
	}
	w := Watch(path, s, operatorSettings)
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
		w.reloadIfChanged(log)
		if got := w.Budgets().Budgets[0].Amount; got != c.want {
			t.Errorf("after the file changed to %q, the budget is %v", c.text, got)
		}
	}
}
