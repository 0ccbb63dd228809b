// Package workerlease lets a follower answer workers in the leader's stead.
package workerlease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// prefixRenewed holds the names of machines that followers answer in the
// leader's stead.
const prefixRenewed = "keep/"

// FollowerLeases lets a follower answer workers that cannot reach the leader, when
// the follower cannot reach it either: two zones that are apart. The answers
// hold no commands; they only keep the workers' leases. What makes that safe:
//
//   - A machine's name is in a record of the state service before its first
//     answer, and stays there for a worker's lease and RenewedQueryTime after the last
//     one, even if this process dies.
//   - The leader concludes nothing from a lease before it has read these
//     records after the lease's end, within RenewedQueryTime of its beginning to. A machine
//     that is in none of them was answered by no keeper for a whole lease before that beginning.
//
// Each process writes under a key of its own, so that a restart cannot take
// away what its former life has written. One goroutine owns the state.
type FollowerLeases struct {
	store       *statestore.Client
	clock       clockwork.Clock
	log         *slog.Logger
	member      string
	workerLease time.Duration // a worker's lease
	valueKB     float64
	requests    chan acquireRequest

	leaseID     uint64
	leaseSent   time.Time            // when the request was sent that gave the lease its time
	lastRenewed map[string]time.Time // the machines that were asked for, and when they were last
	pages       []*page
	pageOf      map[string]*page // the page that names a machine
	turn        int              // the index of the page from which on renew looks for one to shorten
}

// page is one of the record's values: as many names as one holds. A name stays on its
// page, so that it is on one at any time, whichever are written.
type page struct {
	version uint64
	names   map[string]bool // true: stored
	bytes   int             // of the names, with their quotes and commas
	changed bool
}

type acquireRequest struct {
	machine string
	granted chan bool
}

// renewedRecord names machines, or holds the right for a zone.
type renewedRecord struct {
	Machines []string `json:"machines,omitempty"`
	ZoneLeaseRecord
}

// NewFollowerLeases makes the keeper of a member.
func NewFollowerLeases(s *config.Settings, store *statestore.Client, clock clockwork.Clock, log *slog.Logger) *FollowerLeases {
	return &FollowerLeases{
		store: store, clock: clock, log: log, member: s.Member, valueKB: s.Cluster.State.ValueKB,
		workerLease: time.Duration(s.Cluster.Workers.LeaseS * float64(time.Second)), requests: make(chan acquireRequest, tuning.Inbox),
		lastRenewed: map[string]time.Time{}, pageOf: map[string]*page{},
	}
}

// recordTTL is how long the record outlives its last renewal.
func (k *FollowerLeases) recordTTL() time.Duration {
	return 2*k.workerLease + tuning.FollowerLeaseExtra
}

// outlivesLeaseFrom tells whether the record will outlive a worker's lease that
// begins now.
func (k *FollowerLeases) outlivesLeaseFrom(now time.Time) bool {
	return k.leaseID != 0 && now.Sub(k.leaseSent) < k.recordTTL()-k.workerLease-tuning.FollowerLeaseExtra/2
}

// Acquire asks for the right to answer a machine now.
func (k *FollowerLeases) Acquire(ctx context.Context, machine string) bool {
	r := acquireRequest{machine, make(chan bool, 1)}
	select {
	case k.requests <- r:
	case <-ctx.Done():
		return false
	}
	select {
	case ok := <-r.granted:
		return ok
	case <-ctx.Done():
		return false
	}
}

// Run serves until ctx ends.
func (k *FollowerLeases) Run(ctx context.Context) {
	for {
		var wake <-chan time.Time
		if k.leaseID != 0 {
			wake = k.clock.After(tuning.FollowerLeaseRenew)
		}
		select {
		case <-ctx.Done():
			return
		case r := <-k.requests:
			// Workers that lose the leader come together: they share a write.
			if !k.isStored(r.machine) {
				clock.Sleep(ctx, k.clock, tuning.FollowerLeaseGather)
			}
			batch := []acquireRequest{r}
			for len(k.requests) > 0 {
				batch = append(batch, <-k.requests)
			}
			k.grantBatch(ctx, batch)
		case <-wake:
		}
		if k.leaseID != 0 && k.clock.Since(k.leaseSent) >= tuning.FollowerLeaseRenew {
			k.renewRecord(ctx)
		}
	}
}

// isStored tells whether the record names a machine.
func (k *FollowerLeases) isStored(machine string) bool {
	p := k.pageOf[machine]
	return p != nil && p.names[machine]
}

func (k *FollowerLeases) grantBatch(ctx context.Context, batch []acquireRequest) {
	missing := false
	for _, r := range batch {
		k.lastRenewed[r.machine] = k.clock.Now()
		missing = missing || !k.isStored(r.machine)
	}
	if missing {
		k.writeRecord(ctx)
	}
	for _, r := range batch {
		r.granted <- k.isStored(r.machine) && k.outlivesLeaseFrom(k.clock.Now())
	}
}

// writeRecord stores the names. Until that has an answer, no new one counts.
func (k *FollowerLeases) writeRecord(ctx context.Context) bool {
	if k.leaseID == 0 {
		sent := k.clock.Now()
		lease, err := k.store.GrantLease(ctx, k.recordTTL())
		if err != nil {
			return false
		}
		k.leaseID, k.leaseSent = lease, sent
	}
	begin := len(k.pageOf) == 0
	for _, name := range slices.Sorted(maps.Keys(k.lastRenewed)) {
		if k.pageOf[name] == nil {
			k.addName(name)
		}
	}
	for i, p := range k.pages {
		if p.changed && !k.writePage(ctx, i, p) {
			return false
		}
	}
	level := slog.LevelDebug
	if begin && len(k.lastRenewed) > 0 {
		level = slog.LevelInfo
	}
	k.log.Log(ctx, level, "answering machines in the leader's stead", "machines", len(k.lastRenewed))
	return true
}

// addName puts a name on the first page that has room for it.
func (k *FollowerLeases) addName(name string) {
	size := len(name) + len(`"",`)
	room := int(k.valueKB*1024) - len(`{"machines":[]}`)
	i := slices.IndexFunc(k.pages, func(p *page) bool { return p.bytes+size <= room })
	if i < 0 {
		i = len(k.pages)
		k.pages = append(k.pages, &page{names: map[string]bool{}})
	}
	p := k.pages[i]
	p.names[name] = false
	p.bytes += size
	p.changed = true
	k.pageOf[name] = p
}

// removeName takes a name off its page.
func (k *FollowerLeases) removeName(name string) {
	delete(k.lastRenewed, name)
	if p := k.pageOf[name]; p != nil {
		delete(k.pageOf, name)
		delete(p.names, name)
		p.bytes -= len(name) + len(`"",`)
		p.changed = true
	}
}

func (k *FollowerLeases) writePage(ctx context.Context, i int, p *page) bool {
	value, err := json.Marshal(renewedRecord{Machines: slices.Sorted(maps.Keys(p.names))})
	if err != nil {
		return false
	}
	key := fmt.Sprintf("%s%s/%d/%d", prefixRenewed, k.member, k.leaseID, i)
	version, err := k.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: key, Version: p.version}},
		Then: []wire.Change{{Put: key, Value: value, Lease: k.leaseID}},
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
	p.version, p.changed = version, false
	for n := range p.names {
		p.names[n] = true
	}
	return true
}

// renewRecord keeps the record while there is something to keep, and takes out
// machines whose leases have surely run out since their last answer.
func (k *FollowerLeases) renewRecord(ctx context.Context) {
	sent := k.clock.Now()
	if err := k.store.RenewLease(ctx, k.leaseID); err == nil {
		k.leaseSent = sent
	} else if !k.outlivesLeaseFrom(k.clock.Now()) {
		k.abandon()
		return
	}
	k.removeExpired()
	if slices.ContainsFunc(k.pages, func(p *page) bool { return p.changed }) && !k.writeRecord(ctx) {
		return
	}
	if len(k.lastRenewed) == 0 {
		k.abandon()
	}
}

// removeExpired takes the machines whose leases have surely run out off as many pages, in turn, as the member's share of
// the changes has room for, and off one in any case: with thousands of machines a change of each page at each renewal
// was more than that share. A name that stands longer only has the leader conclude later that the machine's tasks
// are gone.
func (k *FollowerLeases) removeExpired() {
	over := renewalReportedFor(k.workerLease)
	expired := map[*page][]string{} // nil: not on any page yet
	for name, at := range k.lastRenewed {
		if k.clock.Since(at) > over {
			p := k.pageOf[name]
			expired[p] = append(expired[p], name)
		}
	}
	remove := expired[nil]
	room := max(1, k.store.SpareWrites())
	for i, turn := 0, k.turn; i < len(k.pages) && room > 0; i++ {
		at := (turn + i) % len(k.pages)
		if names := expired[k.pages[at]]; len(names) > 0 {
			remove = append(remove, names...)
			room, k.turn = room-1, at+1
		}
	}
	for _, name := range remove {
		k.removeName(name)
	}
}

// expiredAfter is how long after an answer a worker's lease has run out on every clock.
func expiredAfter(lease time.Duration) time.Duration { return WithDrift(lease) + tuning.LeaseMargin }

// renewalReportedFor is for how long after an answer the record, or the member's word, must tell of it. Whoever asks began at most RenewedQueryTime
// before: each tells of the lease before that beginning. With a lease before each was asked, two that answered a machine one
// after the other both denied it, and its tasks counted as gone while they ran.
func renewalReportedFor(lease time.Duration) time.Duration {
	return expiredAfter(lease) + tuning.RenewedQueryTime
}

// WithDrift is a time that is over on every clock when it is over on ours.
func WithDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + tuning.ClockDrift))
}

// abandon leaves the record to its lease's end, which is late enough for all
// that was answered; the next one gets a new key.
func (k *FollowerLeases) abandon() {
	k.leaseID, k.pages = 0, nil
	clear(k.lastRenewed)
	clear(k.pageOf)
}

// ReadAll reads which machines followers answer, and the rights for zones that stand.
func ReadAll(ctx context.Context, store *statestore.Client) (kept map[string]bool, rights []ZoneLeaseRecord, err error) {
	kept = map[string]bool{}
	_, err = store.ListAll(ctx, prefixRenewed, func(items []wire.Item) error {
		for _, item := range items {
			var r renewedRecord
			if err := json.Unmarshal(item.Value, &r); err != nil {
				return fmt.Errorf("record %s: %w", item.Key, err)
			}
			for _, n := range r.Machines {
				kept[n] = true
			}
			if r.Zone != "" {
				rights = append(rights, r.ZoneLeaseRecord)
			}
		}
		return nil
	})
	return kept, rights, err
}
