package config

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/platform/tuning"
)

// OperatorSettingsWatcher holds the operators' settings and reloads their budgets when the properties file changes. All other
// settings keep their values from the start of the program. It is safe for concurrent use.
type OperatorSettingsWatcher struct {
	path             string
	settings         *Settings
	operatorSettings *OperatorSettings
	budgets          atomic.Pointer[budget.Settings]
	lastRead         os.FileInfo // the file's metadata when it was last read; nil: not known
}

// Watch returns a watcher for a properties file, whose settings were already loaded and checked. An empty path means that
// there is no file to read.
func Watch(path string, s *Settings, operatorSettings *OperatorSettings) *OperatorSettingsWatcher {
	w := &OperatorSettingsWatcher{path: path, settings: s, operatorSettings: operatorSettings}
	if path != "" {
		w.lastRead, _ = os.Stat(path) // if this fails, the file counts as changed once it can be read
	}
	w.budgets.Store(operatorSettings.Budgets)
	return w
}

// Tunables returns the tunables.
func (w *OperatorSettingsWatcher) Tunables() tuning.Tunables { return w.operatorSettings.Tunables }

// LedgerEnabled reports whether charges are recorded.
func (w *OperatorSettingsWatcher) LedgerEnabled() bool { return w.operatorSettings.LedgerEnabled }

// Graphs reports whether graphs are served, and returns the URL of the service that describes their steps; empty: none.
func (w *OperatorSettingsWatcher) Graphs() (enabled bool, descriptionsURL string) {
	return w.operatorSettings.GraphsEnabled, w.operatorSettings.DescriptionsURL
}

// PoolSlots returns the number of slots of a team's pool; ok is false if the settings have no such pool.
func (w *OperatorSettingsWatcher) PoolSlots(team, name string) (slots int, ok bool) {
	slots, ok = w.operatorSettings.Pools[Pool{team, name}]
	return slots, ok
}

// MetricsAddr returns the address at which metrics are served; empty: none are served.
func (w *OperatorSettingsWatcher) MetricsAddr() string { return w.operatorSettings.MetricsAddr }

// Budgets returns the budgets currently in effect.
func (w *OperatorSettingsWatcher) Budgets() *budget.Settings { return w.budgets.Load() }

// Run checks every tuning.PropertiesCheckEvery, until ctx ends, whether the file has changed. If so, it applies the file's
// budgets. An invalid file changes nothing.
func (w *OperatorSettingsWatcher) Run(ctx context.Context, clock clockwork.Clock, log *slog.Logger) {
	if w.path == "" {
		return
	}
	tick := clock.NewTicker(tuning.PropertiesCheckEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
		}
		w.reloadIfChanged(log)
	}
}

// reloadIfChanged reads the file and applies its budgets if the file's modification time or size has changed.
func (w *OperatorSettingsWatcher) reloadIfChanged(log *slog.Logger) {
	info, err := os.Stat(w.path)
	if err != nil || w.lastRead != nil && info.ModTime().Equal(w.lastRead.ModTime()) && info.Size() == w.lastRead.Size() {
		return
	}
	w.lastRead = info
	operatorSettings, err := LoadProperties(w.path)
	if err == nil {
		err = operatorSettings.Check(w.settings)
	}
	if err != nil {
		log.Error("changed properties file is invalid; ignoring it until it changes again", "err", err)
		return
	}
	if !w.operatorSettings.LedgerEnabled {
		return
	}
	// The time zone that determines the days of charges remains the one that was set when the program started.
	operatorSettings.Budgets.TimeZone = w.operatorSettings.Budgets.TimeZone
	w.budgets.Store(operatorSettings.Budgets)
	log.Info("properties file changed; its budgets are in effect, other properties take effect at the next start")
}
