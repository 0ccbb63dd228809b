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

// OperatorSettingsWatcher holds the operators' settings, of which budgets take effect while the program runs; the others stay as
// they were when it began. It is safe for concurrent use.
type OperatorSettingsWatcher struct {
	path     string
	settings *Settings
	operator *OperatorSettings
	budgets  atomic.Pointer[budget.Settings]
	seen     os.FileInfo
}

// Watch makes the watcher of a properties file that was loaded and checked; an empty path is never read.
func Watch(path string, s *Settings, operator *OperatorSettings) *OperatorSettingsWatcher {
	w := &OperatorSettingsWatcher{path: path, settings: s, operator: operator}
	if path != "" {
		w.seen, _ = os.Stat(path) // a file that is gone meanwhile has changed
	}
	w.budgets.Store(operator.Budgets)
	return w
}

// Tunables returns the tunables.
func (w *OperatorSettingsWatcher) Tunables() tuning.Tunables { return w.operator.Tunables }

// Ledger reports whether charges are kept.
func (w *OperatorSettingsWatcher) Ledger() bool { return w.operator.Ledger }

// Graphs reports whether graphs are served, and returns the URL at which their steps are described, empty if nowhere.
func (w *OperatorSettingsWatcher) Graphs() (on bool, descriptions string) {
	return w.operator.Graphs, w.operator.Descriptions
}

// PoolSlots returns the slots of a team's pool.
func (w *OperatorSettingsWatcher) PoolSlots(team, name string) (slots int, ok bool) {
	slots, ok = w.operator.Pools[Pool{team, name}]
	return slots, ok
}

// MetricsAddr returns where metrics are served; empty: nowhere.
func (w *OperatorSettingsWatcher) MetricsAddr() string { return w.operator.MetricsAddr }

// Budgets returns the budgets that are in force.
func (w *OperatorSettingsWatcher) Budgets() *budget.Settings { return w.budgets.Load() }

// Run looks at the file every tuning.PropertiesEvery until ctx ends, and has its budgets take effect when it has changed. A file
// with a mistake changes nothing.
func (w *OperatorSettingsWatcher) Run(ctx context.Context, clock clockwork.Clock, log *slog.Logger) {
	if w.path == "" {
		return
	}
	tick := clock.NewTicker(tuning.PropertiesEvery)
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

// reloadIfChanged reads the file if its time or size changed.
func (w *OperatorSettingsWatcher) reloadIfChanged(log *slog.Logger) {
	now, err := os.Stat(w.path)
	if err != nil || w.seen != nil && now.ModTime().Equal(w.seen.ModTime()) && now.Size() == w.seen.Size() {
		return
	}
	w.seen = now
	operator, err := LoadProperties(w.path)
	if err == nil {
		err = operator.Check(w.settings)
	}
	if err != nil {
		log.Error("the changed properties are not used", "err", err)
		return
	}
	if !w.operator.Ledger {
		return
	}
	// Days of charges are named as they were when the program began.
	operator.Budgets.Zone = w.operator.Budgets.Zone
	w.budgets.Store(operator.Budgets)
	log.Info("changed budgets taken in; other properties take effect at the next start")
}
