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

// OperatorSettingsWatcher are the operators' settings, of which budgets take effect while the
// program runs. It is safe for concurrent use.
type OperatorSettingsWatcher struct {
	path     string
	settings *Settings
	operator *OperatorSettings
	budgets  atomic.Pointer[budget.Settings]
	seen     os.FileInfo
}

// Watch begins to look after a properties file that was loaded and checked.
func Watch(path string, s *Settings, own *OperatorSettings) *OperatorSettingsWatcher {
	w := &OperatorSettingsWatcher{path: path, settings: s, operator: own}
	if path != "" {
		w.seen, _ = os.Stat(path) // a file that is gone meanwhile has changed
	}
	w.budgets.Store(own.Budgets)
	return w
}

// Tunables gives the knobs as the program began with them.
func (w *OperatorSettingsWatcher) Tunables() tuning.Tunables { return w.operator.Tunables }

// Ledger tells whether charges are kept.
func (w *OperatorSettingsWatcher) Ledger() bool { return w.operator.Ledger }

// Graphs tells whether graphs are served, and where their steps are described, if anywhere.
func (w *OperatorSettingsWatcher) Graphs() (on bool, descriptions string) {
	return w.operator.Graphs, w.operator.Descriptions
}

// PoolSlots gives the slots of a team's pool, as they were when the process started.
func (w *OperatorSettingsWatcher) PoolSlots(team, name string) (slots int, ok bool) {
	slots, ok = w.operator.Pools[Pool{team, name}]
	return slots, ok
}

// MetricsAddr is where metrics are served; empty: nowhere.
func (w *OperatorSettingsWatcher) MetricsAddr() string { return w.operator.MetricsAddr }

// Budgets gives the budgets that are in force.
func (w *OperatorSettingsWatcher) Budgets() *budget.Settings { return w.budgets.Load() }

// Run looks at the file now and then until ctx ends, and takes in its budgets when
// it has changed. A file with a mistake changes nothing.
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
		w.look(log)
	}
}

func (w *OperatorSettingsWatcher) look(log *slog.Logger) {
	now, err := os.Stat(w.path)
	if err != nil || w.seen != nil && now.ModTime().Equal(w.seen.ModTime()) && now.Size() == w.seen.Size() {
		return
	}
	w.seen = now
	own, err := LoadProperties(w.path)
	if err == nil {
		err = own.Check(w.settings)
	}
	if err != nil {
		log.Error("the changed properties are not used", "err", err)
		return
	}
	if !w.operator.Ledger {
		return
	}
	// Days of charges are named as they were when the program began.
	own.Budgets.Zone = w.operator.Budgets.Zone
	w.budgets.Store(own.Budgets)
	log.Info("changed budgets taken in; other properties take effect at the next start")
}

// WatchDefaults are the operators' settings of one who gave none.
func WatchDefaults() *OperatorSettingsWatcher {
	own, _ := LoadProperties("") // without a file there is nothing to go wrong
	return Watch("", nil, own)
}
