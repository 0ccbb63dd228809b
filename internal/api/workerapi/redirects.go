package workerapi

import (
	"maps"
	"sync"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// redirects remembers which workers were redirected to the leader, to detect workers that cannot reach the leader any
// more. A worker that has seen the leader's fencing token had reached the leader before. A worker that was redirected
// to the leader and returns did not reach it.
type redirects struct {
	mu           sync.Mutex
	redirected   recentWorkers // when each worker was redirected to the leader
	renewedSince recentWorkers // since when each worker's lease is renewed here, without commands
}

func newRedirects() redirects {
	return redirects{
		redirected:   recentWorkers{lastNoted: map[string]time.Time{}, ttl: tuning.RedirectMemory},
		renewedSince: recentWorkers{lastNoted: map[string]time.Time{}, ttl: tuning.LeaderRedirectAfter + tuning.RedirectMemory},
	}
}

// lostLeader reports whether a worker cannot reach the leader of a term any more. That is so if the worker has seen
// the leader's fencing token, or was redirected to the leader recently, and sends its heartbeat here nevertheless.
// Otherwise lostLeader records that the worker is redirected to the leader now.
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

// retryLeader reports whether a worker is to try the leader again because its lease has been renewed here for at
// least tuning.LeaderRedirectAfter: the worker may reach the leader even if a partition separates this member from
// the leader. The first call for a worker records the beginning of that time.
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
	delete(r.renewedSince.lastNoted, machine)
	return true
}

// recentWorkers records when each worker was last noted. Entries older than ttl are dropped, so their number depends
// on how many workers report within that time, not on how many workers there are.
type recentWorkers struct {
	lastNoted map[string]time.Time // when each worker was last noted, by machine
	ttl       time.Duration
	sweepSize int // number of entries at which the next note drops the expired ones
}

// notedAt returns when a worker was last noted. ok is false if that was longer ago than ttl, or never.
func (w *recentWorkers) notedAt(machine string, now time.Time) (at time.Time, ok bool) {
	at, ok = w.lastNoted[machine]
	return at, ok && now.Sub(at) <= w.ttl
}

// note sets the time at which a worker was last noted to now. If there are at least sweepSize entries, it first drops
// the expired ones.
func (w *recentWorkers) note(machine string, now time.Time) {
	sweep(w.lastNoted, &w.sweepSize, func(at time.Time) bool { return now.Sub(at) > w.ttl })
	w.lastNoted[machine] = now
}

// sweep deletes the expired entries of a map whose keys are the names of the workers' machines. It does nothing while
// the map has fewer than sweepSize entries. After deleting, it sets sweepSize to twice the number of remaining entries,
// or to tuning.RedirectsSweepMin if that is more.
func sweep[V any](workers map[string]V, sweepSize *int, expired func(V) bool) {
	if len(workers) < *sweepSize {
		return
	}
	maps.DeleteFunc(workers, func(_ string, v V) bool { return expired(v) })
	*sweepSize = max(tuning.RedirectsSweepMin, 2*len(workers))
}
