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

// page is one of the stored values that make up the record. It holds as many names as fit into one value. A name
// never moves to another page, so that the stored record contains it at any time, whichever pages have been
// written.
type page struct {
	version uint64
	names   map[string]bool // the names on the page; true: the stored value contains the name
	bytes   int             // size of the names in the encoded value, with quotes and commas
	changed bool            // differs from the stored value
}

// recordTTL returns how long the record remains stored after the last renewal of its lease.
func (f *FollowerLeases) recordTTL() time.Duration {
	return 2*f.workerLease + tuning.FollowerLeaseExtra
}

// outlivesLeaseFrom reports whether the record will outlive a worker's lease that begins now, with half of
// tuning.FollowerLeaseExtra to spare.
func (f *FollowerLeases) outlivesLeaseFrom(now time.Time) bool {
	return f.leaseID != 0 && now.Sub(f.leaseRequestedAt) < f.recordTTL()-f.workerLease-tuning.FollowerLeaseExtra/2
}

// isStored reports whether the stored record names a machine.
func (f *FollowerLeases) isStored(machine string) bool {
	p := f.pageOf[machine]
	return p != nil && p.names[machine]
}

// writeRecord adds the names that are on no page yet and writes the changed pages, under a new lease if there is
// none. A new name counts as stored only after the state service has confirmed the write.
func (f *FollowerLeases) writeRecord(ctx context.Context) error {
	if err := f.ensureLease(ctx); err != nil {
		return err
	}
	wasEmpty := len(f.pageOf) == 0
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
	if wasEmpty && len(f.lastRenewed) > 0 {
		level = slog.LevelInfo
	}
	f.log.Log(ctx, level, "stored the record of machines that this follower answers; renewing their workers' leases on behalf of the leader", "machines", len(f.lastRenewed))
	return nil
}

// ensureLease acquires a lease for the record if there is none.
func (f *FollowerLeases) ensureLease(ctx context.Context) error {
	if f.leaseID != 0 {
		return nil
	}
	sentAt := f.clock.Now()
	lease, err := f.store.GrantLease(ctx, f.recordTTL())
	if err != nil {
		return fmt.Errorf("acquiring a lease for the record: %w", err)
	}
	f.leaseID, f.leaseRequestedAt = lease, sentAt
	return nil
}

// writePage stores one page. If the outcome of the write is unknown, the whole record is abandoned.
func (f *FollowerLeases) writePage(ctx context.Context, index int, p *page) error {
	value, err := json.Marshal(renewalRecord{Machines: slices.Sorted(maps.Keys(p.names))})
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s/%d/%d", prefixRenewed, f.member, f.leaseID, index)
	version, err := f.store.Commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: key, Version: p.version}},
		Then: []wire.Change{{Put: key, Value: value, Lease: f.leaseID}},
	})
	if err != nil {
		if !errors.Is(err, statestore.ErrNotExecuted) {
			// The write may still be executed, and could then undo a later change of this record.
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

// addName adds a name to the first page that has room for it, or to a new page.
func (f *FollowerLeases) addName(name string) {
	size := nameBytes(name)
	capacity := int(f.maxValueKiB*1024) - len(`{"machines":[]}`)
	i := slices.IndexFunc(f.pages, func(p *page) bool { return p.bytes+size <= capacity })
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

// removeName removes a machine and deletes its name from its page.
func (f *FollowerLeases) removeName(name string) {
	delete(f.lastRenewed, name)
	if p := f.pageOf[name]; p != nil {
		delete(f.pageOf, name)
		delete(p.names, name)
		p.bytes -= nameBytes(name)
		p.changed = true
	}
}

// nameBytes returns how many bytes a name occupies in a page's value.
func nameBytes(name string) int { return len(name) + len(`"",`) }

// renewRecord renews the record's lease while there are machines to record, and removes machines whose leases have
// surely expired since their last reply.
func (f *FollowerLeases) renewRecord(ctx context.Context) {
	sentAt := f.clock.Now()
	if err := f.store.RenewLease(ctx, f.leaseID); err == nil {
		f.leaseRequestedAt = sentAt
	} else if !f.outlivesLeaseFrom(f.clock.Now()) {
		f.abandon()
		return
	}
	f.removeExpired()
	if slices.ContainsFunc(f.pages, func(p *page) bool { return p.changed }) {
		if err := f.writeRecord(ctx); err != nil {
			f.log.Debug("could not update the record of machines that this follower answers; machines whose leases expired may stay in it until the next update", "err", err)
			return
		}
	}
	if len(f.lastRenewed) == 0 {
		f.abandon()
	}
}

// removeExpired removes machines whose leases have surely expired. One call changes only as many pages, in
// rotation, as the member's share of the state service's writes allows, and at least one: with thousands of
// machines, changing every page at each renewal would exceed that share. If a name stays in the record for longer,
// the leader only concludes later that the machine's tasks have ended.
func (f *FollowerLeases) removeExpired() {
	expired := f.expiredByPage()
	remove := expired[nil]
	writesLeft := max(1, f.store.SpareWrites())
	for i, nextPage := 0, f.nextPage; i < len(f.pages) && writesLeft > 0; i++ {
		pageIndex := (nextPage + i) % len(f.pages)
		if names := expired[f.pages[pageIndex]]; len(names) > 0 {
			remove = append(remove, names...)
			writesLeft, f.nextPage = writesLeft-1, pageIndex+1
		}
	}
	for _, name := range remove {
		f.removeName(name)
	}
}

// expiredByPage returns, by page, the machines whose last reply the record no longer needs to report. Machines that
// are on no page yet are under nil.
func (f *FollowerLeases) expiredByPage() map[*page][]string {
	reportedFor := renewalReportedFor(f.workerLease)
	expired := map[*page][]string{}
	for name, renewedAt := range f.lastRenewed {
		if f.clock.Since(renewedAt) > reportedFor {
			p := f.pageOf[name]
			expired[p] = append(expired[p], name)
		}
	}
	return expired
}

// abandon stops using the record, which stays stored until its lease expires. By then, the lease of every machine that
// was answered under the record has expired. The next record gets a new key.
func (f *FollowerLeases) abandon() {
	f.leaseID, f.pages = 0, nil
	clear(f.lastRenewed)
	clear(f.pageOf)
}
