package workerapi

import (
	"sync"
	"time"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// electionGrace is a period at the beginning of a search for a leader in which no lease is renewed here. A worker
// whose lease is renewed waits a whole interval until its next heartbeat; one that is refused tries the next
// controller a second later. So while leases have time to spare, none is renewed in the first seconds, since a
// member usually leads by the end of them. Without the grace period and with heartbeats every 10 s, the next leader
// would learn only 10 s after its election of thousands of tasks that have ended, and their machines would be idle
// meanwhile.
type electionGrace struct {
	length time.Duration

	mu                        sync.Mutex
	firstRequest, lastRequest time.Time // when the first and the last heartbeat of the current search arrived
}

// graceLength returns for how long workers may be refused: a share of the time that a lease leaves beyond the
// longest pause between heartbeats and the search for a controller.
func graceLength(w config.Workers) time.Duration {
	spareSeconds := w.LeaseS - tuning.HeartbeatLateFactor*w.HeartbeatS - tuning.WorkerSearchTime.Seconds()
	return time.Duration(max(0, spareSeconds) * tuning.ElectionGraceShare * float64(time.Second))
}

// active reports whether the grace period lasts: a leader is likely to be elected soon, so the worker should look for
// it instead of getting a renewal here. active also records that a heartbeat arrived now.
func (g *electionGrace) active(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastRequest) > tuning.WorkerSearchTime {
		g.firstRequest = now
	}
	g.lastRequest = now
	return now.Sub(g.firstRequest) < g.length
}
