package workerapi

import (
	"maps"
	"sync"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// redirects remembers which workers were sent to the leader, and so tells which have lost it: one that has seen the leader's
// fencing token had found it before, and one that was sent to the leader and comes back did not find it.
type redirects struct {
	mu      sync.Mutex
	sent    recentWorkers // when a worker was sent to the leader
	renewed recentWorkers // since when a worker's lease is renewed here, without commands
}

func newRedirects() redirects {
	return redirects{
		sent:    recentWorkers{at: map[string]time.Time{}, ttl: tuning.RedirectMemory},
		renewed: recentWorkers{at: map[string]time.Time{}, ttl: tuning.LeaderRetryHint + tuning.RedirectMemory},
	}
}

// lostLeader reports whether a worker has lost the leader of a term, and notes that it is sent to it otherwise.
func (r *redirects) lostLeader(hb *wire.Heartbeat, term uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hb.FencingToken >= term {
		return true
	}
	_, again := r.sent.notedAt(hb.Machine, now)
	if !again {
		r.sent.note(hb.Machine, now)
	}
	return again
}

// retryLeader reports whether a worker whose lease was renewed here for long is to try the leader again: the partition between
// this member and the leader need not be one between the worker and the leader.
func (r *redirects) retryLeader(machine string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.renewed.notedAt(machine, now)
	if !ok {
		r.renewed.note(machine, now)
		return false
	}
	if now.Sub(since) < tuning.LeaderRetryHint {
		return false
	}
	delete(r.renewed.at, machine)
	return true
}

// recentWorkers is when something was noted of each worker. What is older than its time to live is forgotten, so it holds no
// more than come in that time, however many there are.
type recentWorkers struct {
	at      map[string]time.Time
	ttl     time.Duration
	sweepAt int // how many there must be before the old ones are dropped
}

// notedAt returns when a worker was noted; ok is false if that is too long ago, or never was.
func (w *recentWorkers) notedAt(machine string, now time.Time) (at time.Time, ok bool) {
	at, ok = w.at[machine]
	return at, ok && now.Sub(at) <= w.ttl
}

func (w *recentWorkers) note(machine string, now time.Time) {
	sweep(w.at, &w.sweepAt, func(at time.Time) bool { return now.Sub(at) > w.ttl })
	w.at[machine] = now
}

// sweep drops what is old from a map by worker, once it holds sweepAt entries; the next sweep comes when it holds twice as many
// as were left.
func sweep[V any](workers map[string]V, sweepAt *int, old func(V) bool) {
	if len(workers) < *sweepAt {
		return
	}
	maps.DeleteFunc(workers, func(_ string, v V) bool { return old(v) })
	*sweepAt = max(tuning.RedirectsMin, 2*len(workers))
}
