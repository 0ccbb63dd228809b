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

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// page is one of the record's values: as many names as one holds. A name stays on its
// page, so that it is on one at any time, whichever are written.
type page struct {
	version uint64
	names   map[string]bool // true: stored
	bytes   int             // of the names, with their quotes and commas
	changed bool
}

// recordTTL is how long the record outlives its last renewal.
func (f *FollowerLeases) recordTTL() time.Duration {
	return 2*f.workerLease + tuning.FollowerLeaseExtra
}

// outlivesLeaseFrom reports whether the record will outlive a worker's lease that
// begins now.
func (f *FollowerLeases) outlivesLeaseFrom(now time.Time) bool {
	return f.leaseID != 0 && now.Sub(f.leaseSent) < f.recordTTL()-f.workerLease-tuning.FollowerLeaseExtra/2
}

// isStored reports whether the record names a machine.
func (f *FollowerLeases) isStored(machine string) bool {
	p := f.pageOf[machine]
	return p != nil && p.names[machine]
}

// writeRecord stores the names, under a new lease if there is none. Until that has an answer, no new name counts.
func (f *FollowerLeases) writeRecord(ctx context.Context) error {
	if err := f.ensureLease(ctx); err != nil {
		return err
	}
	first := len(f.pageOf) == 0
	for _, name := range slices.Sorted(maps.Keys(f.lastRenewed)) {
		if f.pageOf[name] == nil {
			f.addName(name)
		}
	}
	for i, p := range f.pages {
		if !p.changed {
			continue
		}
		if err := f.writePage(ctx, i, p); err != nil {
			return err
		}
	}
	level := slog.LevelDebug
	if first && len(f.lastRenewed) > 0 {
		level = slog.LevelInfo
	}
	f.log.Log(ctx, level, "renewing workers' leases on behalf of the leader", "machines", len(f.lastRenewed))
	return nil
}

func (f *FollowerLeases) ensureLease(ctx context.Context) error {
	if f.leaseID != 0 {
		return nil
	}
	sent := f.clock.Now()
	lease, err := f.store.GrantLease(ctx, f.recordTTL())
	if err != nil {
		return fmt.Errorf("a lease for the record: %w", err)
	}
	f.leaseID, f.leaseSent = lease, sent
	return nil
}

// writePage stores one page. When the outcome of that is unknown, the whole record is abandoned.
func (f *FollowerLeases) writePage(ctx context.Context, i int, p *page) error {
	value, err := json.Marshal(renewedRecord{Machines: slices.Sorted(maps.Keys(p.names))})
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s/%d/%d", prefixRenewed, f.member, f.leaseID, i)
	version, err := f.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: key, Version: p.version}},
		Then: []wire.Change{{Put: key, Value: value, Lease: f.leaseID}},
	})
	if err != nil {
		if !errors.Is(err, statestore.ErrNotExecuted) {
			// It may be applied later: a further change of this record could
			// be undone by it.
			f.abandon()
		}
		return fmt.Errorf("storing %s: %w", key, err)
	}
	p.version, p.changed = version, false
	for n := range p.names {
		p.names[n] = true
	}
	return nil
}

// addName puts a name on the first page that has room for it.
func (f *FollowerLeases) addName(name string) {
	size := nameBytes(name)
	room := int(f.valueKB*1024) - len(`{"machines":[]}`)
	i := slices.IndexFunc(f.pages, func(p *page) bool { return p.bytes+size <= room })
	if i < 0 {
		i = len(f.pages)
		f.pages = append(f.pages, &page{names: map[string]bool{}})
	}
	p := f.pages[i]
	p.names[name] = false
	p.bytes += size
	p.changed = true
	f.pageOf[name] = p
}

// removeName takes a name off its page.
func (f *FollowerLeases) removeName(name string) {
	delete(f.lastRenewed, name)
	if p := f.pageOf[name]; p != nil {
		delete(f.pageOf, name)
		delete(p.names, name)
		p.bytes -= nameBytes(name)
		p.changed = true
	}
}

// nameBytes is what a name takes of a page's value.
func nameBytes(name string) int { return len(name) + len(`"",`) }

// renewRecord renews the record's lease while there is something to record, and takes out
// machines whose leases have surely expired since their last answer.
func (f *FollowerLeases) renewRecord(ctx context.Context) {
	sent := f.clock.Now()
	if err := f.store.RenewLease(ctx, f.leaseID); err == nil {
		f.leaseSent = sent
	} else if !f.outlivesLeaseFrom(f.clock.Now()) {
		f.abandon()
		return
	}
	f.removeExpired()
	if slices.ContainsFunc(f.pages, func(p *page) bool { return p.changed }) {
		if err := f.writeRecord(ctx); err != nil {
			f.log.Debug("machines not recorded", "err", err)
			return
		}
	}
	if len(f.lastRenewed) == 0 {
		f.abandon()
	}
}

// removeExpired takes the machines whose leases have surely expired off as many pages, in turn, as the member's share of
// the changes has room for, and off one in any case: with thousands of machines a change of each page at each renewal
// was more than that share. A name that stands longer only has the leader conclude later that the machine's tasks
// are gone.
func (f *FollowerLeases) removeExpired() {
	expired := f.expiredByPage()
	remove := expired[nil]
	room := max(1, f.store.SpareWrites())
	for i, turn := 0, f.turn; i < len(f.pages) && room > 0; i++ {
		at := (turn + i) % len(f.pages)
		if names := expired[f.pages[at]]; len(names) > 0 {
			remove = append(remove, names...)
			room, f.turn = room-1, at+1
		}
	}
	for _, name := range remove {
		f.removeName(name)
	}
}

// expiredByPage returns the machines of whose last answer the record need not tell any more; under nil those that are on no page yet.
func (f *FollowerLeases) expiredByPage() map[*page][]string {
	reported := renewalReportedFor(f.workerLease)
	expired := map[*page][]string{}
	for name, at := range f.lastRenewed {
		if f.clock.Since(at) > reported {
			p := f.pageOf[name]
			expired[p] = append(expired[p], name)
		}
	}
	return expired
}

// abandon leaves the record to the end of its lease, which is late enough for all
// that was answered; the next record gets a new key.
func (f *FollowerLeases) abandon() {
	f.leaseID, f.pages = 0, nil
	clear(f.lastRenewed)
	clear(f.pageOf)
}
