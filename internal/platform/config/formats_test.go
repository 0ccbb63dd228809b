package config

import (
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/platform/golden"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/sim/testutil"
)

func TestSettingsFormat(t *testing.T) {
	settings := golden.Fill(new(Settings))
	raw, err := toml.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "settings", raw)
	decoded := new(Settings)
	if err := toml.Unmarshal(raw, decoded); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "settings", decoded, settings)
}

// Guards against a changed key of the operators' properties, or a property that is read into a wrong field.
func TestPropertiesFormat(t *testing.T) {
	lines := []string{
		"fleet.idle.keep = 45s",
		"fleet.machines.max = 7",
		"ledger = on",
		"ledger.zone = UTC",
		"metrics.addr = 127.0.0.1:9090",
		"graphs = on",
		"graphs.descriptions = http://127.0.0.1:8000/steps",
		"graphs.pool.vision.gpu = 4",
		"budget.vision.month.money = 5.5",
	}
	golden.Lines(t, "properties-keys", keyIdleKeep, keyMaxMachines, keyLedger, keyLedgerZone, keyMetrics, keyGraphs, keyDescriptions, keyPool, budget.Prefix)
	operatorSettings, err := LoadProperties(testutil.TempFile(t, "operator.properties", strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "properties", operatorSettings, &OperatorSettings{
		Tunables:      tuning.Tunables{IdleKeep: 45 * time.Second, MaxMachines: 7},
		LedgerEnabled: true,
		Budgets: &budget.Settings{
			TimeZone: time.UTC,
			Budgets:  []budget.Budget{{Scope: budget.Scope{Team: "vision"}, Period: budget.Month, Unit: budget.Money, Amount: 5.5}},
		},
		MetricsAddr: "127.0.0.1:9090", GraphsEnabled: true, DescriptionsURL: "http://127.0.0.1:8000/steps", Pools: map[Pool]int{{Team: "vision", Name: "gpu"}: 4},
	})
}
