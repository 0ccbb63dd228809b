package leader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"poppypass/internal/cluster/workerlease"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/scheduler/machines"
)

// expireLeases ends the sessions of machines that nobody has answered for a lease:
// not this leader, nor a follower in its stead, which the state service and the members
// that may answer their zones tell.
func (l *Loop) expireLeases(now time.Time) {
	if l.asking || now.Before(l.nextAsk) {
		return
	}
	l.nextAsk = now.Add(tuning.Tick)
	due := l.machines.ExpiredLeases(now)
	if len(due) == 0 {
		return
	}
	byZone := map[string][]string{}
	for _, name := range due {
		zone := l.machines.Machines[name].Zone
		byZone[zone] = append(byZone[zone], name)
	}
	l.asking = true
	go func() {
		kept, err := l.possiblyRenewed(l.ended, byZone)
		l.post(func() {
			done := l.env.Clock.Now()
			l.asking, l.nextAsk = false, done.Add(tuning.RenewedReadEvery)
			if err == nil && done.Sub(now) > tuning.RenewedQueryTime {
				err = fmt.Errorf("it took %v", done.Sub(now))
			}
			if err != nil {
				l.log.Debug("kept machines unreadable", "err", err)
				return
			}
			l.applyOutcomes(l.machines.EndExpired(now, kept), done)
		})
	}()
}

// possiblyRenewed finds which machines, by zone, others may have answered within a lease
// before now: those that a record names, and those of which a member with the right for
// their zone does not say that it did not. It must not take longer than KeptAsking: all then speak of the lease before it began.
func (l *Loop) possiblyRenewed(ctx context.Context, byZone map[string][]string) (map[string]bool, error) {
	kept, rights, err := workerlease.ReadAll(ctx, l.store)
	if err != nil {
		return nil, err
	}
	asked := map[workerlease.ZoneLeaseRecord]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, r := range rights {
		names := byZone[r.Zone]
		if len(names) == 0 || asked[r] {
			continue
		}
		asked[r] = true
		wg.Go(func() {
			may := l.askFollower(ctx, r.Member, names)
			mu.Lock()
			defer mu.Unlock()
			for _, n := range may {
				kept[n] = true
			}
		})
	}
	wg.Wait()
	return kept, nil
}

// askFollower gives those of some machines of which a member does not say that it did not
// answer them: all, if it says nothing.
func (l *Loop) askFollower(ctx context.Context, member string, names []string) []string {
	ctx, stop := context.WithTimeout(ctx, tuning.RelayTimeout)
	defer stop()
	kept, sure := l.env.MayHaveRenewed(ctx, member, names)
	if !sure {
		return names
	}
	return kept
}

// silent tells whether a machine, nil if it is not known, has neither reported nor answered us for a while.
func (l *Loop) silent(m *machines.Machine, now time.Time) bool {
	return m == nil || now.Sub(m.LastSeen()) > l.maxSilence()
}

// leftCommandUnanswered tells whether a machine that still counts as heard did not answer a command since:
// it may hang, or be cut off, or dead, and what is placed on it would wait for that to end.
func leftCommandUnanswered(m *machines.Machine) bool { return m.UnansweredAt.After(m.LastHeartbeat) }

// maxSilence is for how long a machine that can be reached is silent at the most.
func (l *Loop) maxSilence() time.Duration {
	return seconds(tuning.SilentHeartbeats * l.env.Settings.Cluster.Workers.HeartbeatS)
}

// partitionedZones are the zones most of whose machines fell silent together: they are cut off
// from us, and what is rented there is of no use for now.
func (l *Loop) partitionedZones(now time.Time) map[string]bool {
	type count struct{ silent, all int }
	zones := map[string]*count{}
	for _, m := range l.machines.Machines {
		if m.Incarnation == 0 {
			continue // it never reported, nor had it a task
		}
		c := zones[m.Zone]
		if c == nil {
			c = &count{}
			zones[m.Zone] = c
		}
		c.all++
		// One that a new leader has not heard yet may only be on its way to it.
		if m.Reachability.Unreachable() || l.silent(m, now) && now.Sub(l.startedAt) > l.maxSilence() {
			c.silent++
		}
	}
	cut := map[string]bool{}
	for z, c := range zones {
		if c.silent >= tuning.SilentMany && float64(c.silent) >= tuning.CutShare*float64(c.all) {
			cut[z] = true
		}
	}
	return cut
}
