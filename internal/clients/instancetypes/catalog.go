// Package instancetypes holds the cloud's machine types and their prices, as they were last
// read.
package instancetypes

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/cloud"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Key is the key of the machine types as a leader last read them. Only the leader writes it.
const Key = "cloud/types"

// Catalog holds the machine types as they were last read. It is safe for
// concurrent use.
type Catalog struct {
	Cloud   *cloud.Client
	Store   *statestore.Client
	ValueKB float64 // the longest value of the state service, in KiB
	Clock   clockwork.Clock
	Log     *slog.Logger
	// Guard returns the condition under which this member leads; ok is false when it does not.
	Guard func() (guard wire.Condition, ok bool)

	types atomic.Pointer[[]wire.MachineType]
}

// Types returns the machine types; nil while none are known. They must not be changed.
func (c *Catalog) Types() []wire.MachineType {
	if t := c.types.Load(); t != nil {
		return *t
	}
	return nil
}

// Set replaces the machine types.
func (c *Catalog) Set(types []wire.MachineType) { c.types.Store(&types) }

// Run reads the machine types again and again until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, c.Clock, c.refresh(ctx))
	}
}

// refresh reads the machine types and returns the pause until they are to be read again. While
// the cloud does not answer a member that was just started, those that a leader stored are
// used: machines that are there can then be used, and jobs accepted.
func (c *Catalog) refresh(ctx context.Context) (pause time.Duration) {
	types, err := c.Cloud.Types(ctx)
	if err != nil {
		c.Log.Debug("machine types unreadable", "err", err)
		if c.Types() == nil {
			c.load(ctx)
		}
		return tuning.CloudRetryPause
	}
	c.Set(types)
	c.Save(ctx)
	return tuning.TypesRefreshEvery
}

// Save stores the types that are known if this member leads and they fit one value.
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

// load uses the types that a leader stored, if there are any.
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
