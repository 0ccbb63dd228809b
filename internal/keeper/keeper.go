// Package keeper lets a follower answer workers in the leader's stead.
package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/config"
	"poppypass/internal/pause"
	"poppypass/internal/statestore"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// prefixKeep holds the names of machines that followers answer in the
// leader's stead.
const prefixKeep = "keep/"

// Keeper lets a follower answer workers that cannot reach the leader, when
// the follower cannot reach it either: two zones that are apart. The answers
// hold no commands; they only keep the workers' leases. What makes that safe:
//
//   - A machine's name is in a record of the state service before its first
//     answer, and stays there for a worker's lease after the last one, even if
//     this process dies.
//   - The leader concludes nothing from a lease before it has read these
//     records after the lease's end. A machine that is in none of them was
//     answered by nobody for a whole lease.
//
// Each process writes under a key of its own, so that a restart cannot take
// away what its former life has written. One goroutine owns the state.
type Keeper struct {
	store       *statestore.Client
	clock       clockwork.Clock
	log         *slog.Logger
	member      string
	workerLease time.Duration // a worker's lease
	valueKB     float64
	requests    chan keepRequest
	lease       uint64
	version     uint64    // of the record
	sent        time.Time // when the request was sent that gave the lease its time
	names       map[string]time.Time
	written     map[string]bool
}

type keepRequest struct {
	machine string
	kept    chan bool
}

// keepRecord names machines, or holds the right for a zone.
type keepRecord struct {
	Machines []string `json:"machines,omitempty"`
	ZoneRight
}

// New makes the keeper of a member.
func New(s *config.Settings, store *statestore.Client, clock clockwork.Clock, log *slog.Logger) *Keeper {
	return &Keeper{
		store: store, clock: clock, log: log, member: s.Member, valueKB: s.Cluster.State.ValueKB,
		workerLease: time.Duration(s.Cluster.Workers.LeaseS * float64(time.Second)), requests: make(chan keepRequest, tuning.Inbox), names: map[string]time.Time{}, written: map[string]bool{},
	}
}

// life is how long the record outlives its last renewal.
func (k *Keeper) life() time.Duration { return 2*k.workerLease + tuning.KeepExtra }

// mayAnswer tells whether the record will outlive a worker's lease that
// begins now.
func (k *Keeper) mayAnswer(now time.Time) bool {
	return k.lease != 0 && now.Sub(k.sent) < k.life()-k.workerLease-tuning.KeepExtra/2
}

// Keep asks for the right to answer a machine now.
func (k *Keeper) Keep(ctx context.Context, machine string) bool {
	r := keepRequest{machine, make(chan bool, 1)}
	select {
	case k.requests <- r:
	case <-ctx.Done():
		return false
	}
	select {
	case ok := <-r.kept:
		return ok
	case <-ctx.Done():
		return false
	}
}

// Run serves until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		var wake <-chan time.Time
		if k.lease != 0 {
			wake = k.clock.After(tuning.KeepRenew)
		}
		select {
		case <-ctx.Done():
			return
		case r := <-k.requests:
			// Workers that lose the leader come together: they share a write.
			if !k.written[r.machine] {
				pause.For(ctx, k.clock, tuning.KeepGather)
			}
			batch := []keepRequest{r}
			for len(k.requests) > 0 {
				batch = append(batch, <-k.requests)
			}
			k.serve(ctx, batch)
		case <-wake:
		}
		if k.lease != 0 && k.clock.Since(k.sent) >= tuning.KeepRenew {
			k.renew(ctx)
		}
	}
}

func (k *Keeper) serve(ctx context.Context, batch []keepRequest) {
	missing := false
	for _, r := range batch {
		k.names[r.machine] = k.clock.Now()
		missing = missing || !k.written[r.machine]
	}
	ok := !missing || k.write(ctx)
	ok = ok && k.mayAnswer(k.clock.Now())
	for _, r := range batch {
		r.kept <- ok
	}
}

// write stores the names. Until that has an answer, no new one counts.
func (k *Keeper) write(ctx context.Context) bool {
	if k.lease == 0 {
		sent := k.clock.Now()
		lease, err := k.store.Grant(ctx, k.life())
		if err != nil {
			return false
		}
		k.lease, k.sent = lease, sent
	}
	begin := len(k.written) == 0
	names := sortedKeys(k.names)
	value, err := json.Marshal(keepRecord{Machines: names})
	if err != nil || float64(len(value)) > k.valueKB*1024 {
		return false
	}
	key := fmt.Sprintf("%s%s/%d", prefixKeep, k.member, k.lease)
	version, err := k.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: key, Version: k.version}},
		Then: []wire.Change{{Put: key, Value: value, Lease: k.lease}},
	})
	if err != nil {
		k.log.Debug("machines not kept", "err", err)
		if !errors.Is(err, statestore.ErrNotExecuted) {
			// It may be applied later: a further change of this record could
			// be undone by it.
			k.abandon()
		}
		return false
	}
	k.version = version
	clear(k.written)
	for _, n := range names {
		k.written[n] = true
	}
	level := slog.LevelDebug
	if begin && len(names) > 0 {
		level = slog.LevelInfo
	}
	k.log.Log(ctx, level, "answering machines in the leader's stead", "machines", len(names))
	return true
}

// renew keeps the record while there is something to keep, and takes out the
// machines whose leases have surely run out since their last answer.
func (k *Keeper) renew(ctx context.Context) {
	sent := k.clock.Now()
	if err := k.store.Renew(ctx, k.lease); err == nil {
		k.sent = sent
	} else if !k.mayAnswer(k.clock.Now()) {
		k.abandon()
		return
	}
	over := Stretched(k.workerLease) + tuning.LeaseMargin
	changed := false
	for name, at := range k.names {
		if k.clock.Since(at) > over {
			delete(k.names, name)
			changed = true
		}
	}
	if changed && !k.write(ctx) {
		return
	}
	if len(k.names) == 0 {
		k.abandon()
	}
}

// Stretched is a time that is over on every clock when it is over on ours.
func Stretched(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + tuning.ClockDrift))
}

// abandon leaves the record to its lease's end, which is late enough for all
// that was answered; the next one gets a new key.
func (k *Keeper) abandon() {
	k.lease, k.version = 0, 0
	clear(k.names)
	clear(k.written)
}

// Read reads which machines followers answer, and the rights for zones that stand.
func Read(ctx context.Context, store *statestore.Client) (kept map[string]bool, rights []ZoneRight, err error) {
	kept = map[string]bool{}
	_, err = store.ListAll(ctx, prefixKeep, func(items []wire.Item) error {
		for _, item := range items {
			var r keepRecord
			if err := json.Unmarshal(item.Value, &r); err != nil {
				return fmt.Errorf("record %s: %w", item.Key, err)
			}
			for _, n := range r.Machines {
				kept[n] = true
			}
			if r.Zone != "" {
				rights = append(rights, r.ZoneRight)
			}
		}
		return nil
	})
	return kept, rights, err
}

func sortedKeys(m map[string]time.Time) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
