package leader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"poppypass/internal/cluster/workerlease"
	"poppypass/internal/platform/tuning"
)

// leaseQuery is the question, asked of the state service and of other members, whether machines whose leases ran out
// here were answered by a follower.
type leaseQuery struct {
	inFlight bool
	next     time.Time
}

// expireLeases ends the incarnations of machines that nobody has answered for a lease:
// not this leader, nor a follower in its stead, which the state service and the members
// that may hold a lease of their zones tell.
func (l *Loop) expireLeases(now time.Time) {
	if l.leases.inFlight || now.Before(l.leases.next) {
		return
	}
	l.leases.next = now.Add(tuning.Tick)
	byZone := l.expiredByZone(now)
	if len(byZone) == 0 {
		return
	}
	l.leases.inFlight = true
	go func() {
		renewed, err := l.possiblyRenewed(l.ended, byZone)
		l.post(func() { l.leaseQueryDone(now, renewed, err) })
	}()
}

// expiredByZone are the machines whose leases ran out, as far as this leader knows.
func (l *Loop) expiredByZone(now time.Time) map[string][]string {
	byZone := map[string][]string{}
	for _, name := range l.machines.ExpiredLeases(now) {
		zone := l.machines.Machines[name].Zone
		byZone[zone] = append(byZone[zone], name)
	}
	return byZone
}

// leaseQueryDone ends what ran on machines that nobody may have renewed within a lease before asked. A query that took longer
// than those who were asked remember concludes nothing.
func (l *Loop) leaseQueryDone(asked time.Time, renewed map[string]bool, err error) {
	now := l.env.Clock.Now()
	l.leases.inFlight, l.leases.next = false, now.Add(tuning.RenewedReadEvery)
	if took := now.Sub(asked); err == nil && took > tuning.RenewedQueryTime {
		err = fmt.Errorf("it took %v", took)
	}
	if err != nil {
		l.log.Debug("renewals by followers unreadable", "err", err)
		return
	}
	l.applyOutcomes(l.machines.EndExpired(asked, renewed), now)
}

// possiblyRenewed finds which machines, by zone, others may have answered within a lease
// before now: those that a record names, and those of which a member with a lease of
// their zone does not say that it did not. It must not take longer than RenewedQueryTime: all then speak of the lease before it began.
func (l *Loop) possiblyRenewed(ctx context.Context, byZone map[string][]string) (map[string]bool, error) {
	renewed, zoneLeases, err := workerlease.ReadAll(ctx, l.store)
	if err != nil {
		return nil, err
	}
	asked := map[workerlease.ZoneLeaseRecord]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, z := range zoneLeases {
		names := byZone[z.Zone]
		if len(names) == 0 || asked[z] {
			continue
		}
		asked[z] = true
		wg.Go(func() {
			may := l.askFollower(ctx, z.Member, names)
			mu.Lock()
			defer mu.Unlock()
			for _, n := range may {
				renewed[n] = true
			}
		})
	}
	wg.Wait()
	return renewed, nil
}

// askFollower gives those of some machines of which a member does not say that it did not
// answer them: all, if it says nothing.
func (l *Loop) askFollower(ctx context.Context, member string, names []string) []string {
	ctx, stop := context.WithTimeout(ctx, tuning.RelayTimeout)
	defer stop()
	renewed, err := l.env.MayHaveRenewed(ctx, member, names)
	if err != nil {
		return names
	}
	return renewed
}
