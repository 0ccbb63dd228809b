package workerapi

import (
	"maps"
	"sync"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// redirects remembers which workers were redirected to the leader, to detect those that have lost it. A worker that
// has seen the leader's fencing token had found the leader before. A worker that was redirected to the leader and
// returns did not find it.
type redirects struct {
	mu           sync.Mutex
	redirected   recentWorkers // when each worker was redirected to the leader
	renewedSince recentWorkers // since when each worker's lease is renewed here, without commands
}

func newRedirects() redirects {
	return redirects{
		redirected:   recentWorkers{at: map[string]time.Time{}, ttl: tuning.RedirectMemory},
		renewedSince: recentWorkers{at: map[string]time.Time{}, ttl: tuning.LeaderRedirectAfter + tuning.RedirectMemory},
	}
}

// lostLeader reports whether a worker has lost the leader of a term. If not, it notes that the worker is redirected
// to the leader.
func (r *redirects) lostLeader(hb *wire.Heartbeat, term uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hb.FencingToken >= term {
		return true
	}
	_, recentlyRedirected := r.redirected.notedAt(hb.Machine, now)
	if !recentlyRedirected {
		r.redirected.note(hb.Machine, now)
	}
	return recentlyRedirected
}

// retryLeader reports whether a worker whose lease has been renewed here for long is to try the leader again: the
// worker may reach the leader even if a partition separates this member from the leader.
func (r *redirects) retryLeader(machine string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.renewedSince.notedAt(machine, now)
	if !ok {
		r.renewedSince.note(machine, now)
		return false
	}
	if now.Sub(since) < tuning.LeaderRedirectAfter {
		return false
	}
	delete(r.renewedSince.at, machine)
	return true
}

// recentWorkers holds when something was noted of each worker. Entries older than the time to live are dropped, so
// their number is bounded by how many workers report within that time, however many workers there are.
type recentWorkers struct {
	at      map[string]time.Time // when each worker was last noted, by machine
	ttl     time.Duration
	sweepAt int // how many entries there must be before the old ones are dropped
}

// notedAt returns when a worker was last noted. ok is false if that was longer ago than the time to live, or never.
func (w *recentWorkers) notedAt(machine string, now time.Time) (at time.Time, ok bool) {
	at, ok = w.at[machine]
	return at, ok && now.Sub(at) <= w.ttl
}

// note notes a worker now.
func (w *recentWorkers) note(machine string, now time.Time) {
	sweep(w.at, &w.sweepAt, func(at time.Time) bool { return now.Sub(at) > w.ttl })
	w.at[machine] = now
}

// sweep drops expired entries from a map by worker once it has sweepAt entries. It then sets sweepAt to twice the
// number of remaining entries, or to tuning.RedirectsSweepMin if that is more.
func sweep[V any](workers map[string]V, sweepAt *int, expired func(V) bool) {
	if len(workers) < *sweepAt {
		return
	}
	maps.DeleteFunc(workers, func(_ string, v V) bool { return expired(v) })
	*sweepAt = max(tuning.RedirectsSweepMin, 2*len(workers))
}
