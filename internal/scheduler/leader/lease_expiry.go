package leader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"poppypass/internal/cluster/workerlease"
	"poppypass/internal/platform/tuning"
)

// leaseQuery is the state of the query that finds out whether followers renewed worker leases. The query covers the
// machines whose leases have expired unless a follower renewed them. It reads the records in the key-value store and asks
// the members that hold zone leases.
type leaseQuery struct {
	inFlight bool
	next     time.Time // no query begins before this time
}

// expireLeases ends the incarnations of machines whose heartbeats nobody has answered for the duration of a lease:
// neither this leader nor a follower in its place. The records in the key-value store, and the members that may hold
// zone leases of the machines' zones, show whether a follower answered.
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
		renewed, err := l.findPossiblyRenewed(l.termCtx, byZone)
		l.post(func() { l.leaseQueryDone(now, renewed, err) })
	}()
}

// expiredByZone returns, by zone, the names of the machines whose leases have expired unless a follower renewed them.
func (l *Loop) expiredByZone(now time.Time) map[string][]string {
	byZone := map[string][]string{}
	for _, name := range l.machines.ExpiredLeases(now) {
		zone := l.machines.Machines[name].Zone
		byZone[zone] = append(byZone[zone], name)
	}
	return byZone
}

// leaseQueryDone ends the incarnations of the machines whose leases nobody can have renewed within the duration of a
// lease before queryStarted, when the query began. A query that took longer than tuning.RenewedQueryTimeout has no
// effect: the records and the members report renewals only for the duration of a lease plus that timeout. After a longer
// query, they may no longer report all renewals within the duration of a lease before the query began.
func (l *Loop) leaseQueryDone(queryStarted time.Time, renewed map[string]bool, err error) {
	now := l.env.Clock.Now()
	l.leases.inFlight, l.leases.next = false, now.Add(tuning.RenewedReadMinInterval)
	if took := now.Sub(queryStarted); err == nil && took > tuning.RenewedQueryTimeout {
		err = fmt.Errorf("query took too long to be conclusive: %v", took)
	}
	if err != nil {
		l.log.Debug("query for leases renewed by followers failed; treating no lease as expired until a retry succeeds", "err", err)
		return
	}
	l.applyOutcomes(l.machines.EndExpired(queryStarted, renewed), now)
}

// findPossiblyRenewed returns the machines whose leases other members may have renewed within the duration of a lease
// before now. byZone holds the names of the machines in question, by zone. The result holds all machines that a record in
// the key-value store names. It also holds the machines in question for which a member with a lease of their zone does
// not deny a renewal. The query must not take longer than tuning.RenewedQueryTimeout: only then do the records and all
// answers cover the whole duration of a lease before the query began.
func (l *Loop) findPossiblyRenewed(ctx context.Context, byZone map[string][]string) (map[string]bool, error) {
	renewed, zoneLeases, err := workerlease.ReadAll(ctx, l.store)
	if err != nil {
		return nil, err
	}
	asked := map[workerlease.ZoneLeaseRecord]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, zoneLease := range zoneLeases {
		names := byZone[zoneLease.Zone]
		if len(names) == 0 || asked[zoneLease] {
			continue
		}
		asked[zoneLease] = true
		wg.Go(func() {
			fromMember := l.askFollower(ctx, zoneLease.Member, names)
			mu.Lock()
			defer mu.Unlock()
			for _, n := range fromMember {
				renewed[n] = true
			}
		})
	}
	wg.Wait()
	return renewed, nil
}

// askFollower asks a member about some machines and returns those whose leases the member may have renewed. If the
// member does not answer, all of them are returned.
func (l *Loop) askFollower(ctx context.Context, member string, names []string) []string {
	ctx, cancel := context.WithTimeout(ctx, tuning.RelayTimeout)
	defer cancel()
	renewed, err := l.env.MayHaveRenewed(ctx, member, names)
	if err != nil {
		return names
	}
	return renewed
}
