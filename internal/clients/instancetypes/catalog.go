// Package instancetypes keeps the cloud's machine types and their prices.
package instancetypes

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/cloud"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Key holds the machine types as a leader last read them.
const Key = "cloud/types"

// Catalog holds the machine types as they were last read. It is safe for
// concurrent use.
type Catalog struct {
	Cloud   *cloud.Client
	Store   *statestore.Client
	ValueKB float64 // the longest value of the state service, in KiB
	Clock   clockwork.Clock
	Log     *slog.Logger
	// Guard gives the condition under which this member leads; ok is false when it does not.
	Guard func() (guard wire.Condition, ok bool)

	types atomic.Pointer[[]wire.MachineType]
}

// Types gives the machine types; nil while none are known.
func (c *Catalog) Types() []wire.MachineType {
	if t := c.types.Load(); t != nil {
		return *t
	}
	return nil
}

// Set takes in machine types.
func (c *Catalog) Set(types []wire.MachineType) { c.types.Store(&types) }

// Run reads the machine types again and again until ctx ends. While the cloud
// does not answer a member that was just started, it takes those that a leader
// stored: machines that are there can then be used, and jobs accepted.
func (c *Catalog) Run(ctx context.Context) {
	for ctx.Err() == nil {
		rest := tuning.TypesRefresh
		types, err := c.Cloud.Types(ctx)
		switch {
		case err == nil:
			c.Set(types)
			c.Save(ctx)
		default:
			c.Log.Debug("machine types unreadable", "err", err)
			rest = tuning.CloudRetry
			if c.Types() == nil {
				c.load(ctx)
			}
		}
		clock.Sleep(ctx, c.Clock, rest)
	}
}

// Save stores the types that are known if this member leads.
func (c *Catalog) Save(ctx context.Context) {
	types := c.Types()
	guard, leads := c.Guard()
	if !leads || types == nil {
		return
	}
	value, err := json.Marshal(types)
	if err != nil || float64(len(value)) > c.ValueKB*1024 {
		return
	}
	if _, err := c.Store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{guard},
		Then: []wire.Change{{Put: Key, Value: value}},
	}); err != nil {
		c.Log.Debug("machine types not stored", "err", err)
	}
}

func (c *Catalog) load(ctx context.Context) {
	item, ok, err := c.Store.Get(ctx, Key)
	if err != nil || !ok {
		return
	}
	var types []wire.MachineType
	if err := json.Unmarshal(item.Value, &types); err != nil || len(types) == 0 {
		c.Log.Error("stored machine types are malformed", "err", err)
		return
	}
	c.Set(types)
	c.Log.Info("machine types taken from the state service", "types", len(types))
}
