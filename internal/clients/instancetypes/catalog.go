// Package instancetypes caches the cloud's machine types and their prices.
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

// Key is the key under which the leader stores the machine types that it last read. Only the leader writes it.
const Key = "cloud/types"

// Catalog caches the machine types that were last read from the cloud. It is safe for concurrent use.
type Catalog struct {
	Cloud       *cloud.Client
	Store       *statestore.Client
	MaxValueKiB float64 // largest value that the state service stores, in KiB
	Clock       clockwork.Clock
	Log         *slog.Logger
	// Guard returns the condition that makes a transaction fail unless this member leads. ok is false if it does not
	// lead.
	Guard func() (guard wire.Condition, ok bool)

	types atomic.Pointer[[]wire.MachineType]
}

// Types returns the machine types, or nil while none are known. Callers must not modify them.
func (c *Catalog) Types() []wire.MachineType {
	if t := c.types.Load(); t != nil {
		return *t
	}
	return nil
}

// Set replaces the machine types.
func (c *Catalog) Set(types []wire.MachineType) { c.types.Store(&types) }

// Run refreshes the machine types periodically until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, c.Clock, c.refresh(ctx))
	}
}

// refresh reads the machine types from the cloud and returns the pause before the next refresh. If a member that was
// just started gets no answer from the cloud, it uses the types that a leader stored. It can then accept jobs and use
// the machines that exist.
func (c *Catalog) refresh(ctx context.Context) (pause time.Duration) {
	types, err := c.Cloud.Types(ctx)
	if err != nil {
		c.Log.Debug("reading machine types from the cloud failed; retrying", "err", err)
		if c.Types() == nil {
			c.load(ctx)
		}
		return tuning.CloudRetryPause
	}
	c.Set(types)
	c.Save(ctx)
	return tuning.TypesRefreshEvery
}

// Save stores the known machine types if this member leads and they fit into one value of the state service.
func (c *Catalog) Save(ctx context.Context) {
	types := c.Types()
	guard, leads := c.Guard()
	if !leads || types == nil {
		return
	}
	value, err := json.Marshal(types)
	if err != nil || float64(len(value)) > c.MaxValueKiB*1024 {
		return
	}
	if _, err := c.Store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{guard},
		Then: []wire.Change{{Put: Key, Value: value}},
	}); err != nil {
		c.Log.Debug("storing machine types failed; retrying at the next refresh", "err", err)
	}
}

// load sets the machine types to those that a leader stored, if there are any.
func (c *Catalog) load(ctx context.Context) {
	item, ok, err := c.Store.Get(ctx, Key)
	if err != nil || !ok {
		return
	}
	var types []wire.MachineType
	if err := json.Unmarshal(item.Value, &types); err != nil || len(types) == 0 {
		c.Log.Error("stored machine types cannot be decoded; ignoring them", "err", err)
		return
	}
	c.Set(types)
	c.Log.Info("machine types not available from the cloud; using those that a leader stored", "types", len(types))
}
