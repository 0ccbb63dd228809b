package workerapi

import (
	"sync"
	"time"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// electionGrace is the grace period at the beginning of the workers' search for a leader. This member renews no lease
// during that period, because a member usually leads by the end of it. A worker whose lease is renewed waits a whole
// interval until its next heartbeat; a worker that is refused tries the next controller a second later. Without the
// grace period and with heartbeats every 10 s, the next leader would learn only 10 s after its election of thousands of
// tasks that have ended, and their machines would be idle meanwhile. If leases have no time to spare, the length of the
// grace period is 0.
type electionGrace struct {
	length time.Duration

	mu                                sync.Mutex
	firstHeartbeatAt, lastHeartbeatAt time.Time // when the first and the last heartbeat of the current search arrived
}

// graceLength returns the length of the grace period, in which workers are refused. It is a share of the spare time of a
// worker's lease: the duration of the lease, less the longest pause between heartbeats, less the time for the search
// for a controller.
func graceLength(w config.Workers) time.Duration {
	spareSeconds := w.LeaseS - tuning.HeartbeatLateFactor*w.HeartbeatS - tuning.WorkerSearchTime.Seconds()
	return time.Duration(max(0, spareSeconds) * tuning.ElectionGraceShare * float64(time.Second))
}

// active reports whether the grace period still lasts: a leader is likely to be elected soon, so the worker should look
// for that leader instead of getting a renewal here. active also records that a heartbeat arrived now.
func (g *electionGrace) active(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastHeartbeatAt) > tuning.WorkerSearchTime {
		g.firstHeartbeatAt = now
	}
	g.lastHeartbeatAt = now
	return now.Sub(g.firstHeartbeatAt) < g.length
}
