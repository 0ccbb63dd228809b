package workerapi

import (
	"sync"
	"time"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// electionGrace is a time at the beginning of a search for a leader in which no lease is renewed here. A worker whose lease is
// renewed waits for a whole interval until its next heartbeat, and one that is refused goes on to the next controller a second
// later. So while leases have time to spare, none is renewed in the first seconds: mostly a member leads by then. With
// heartbeats every 10 s thousands of tasks that had ended were seen 10 s after the next leader was there, and their machines
// stood idle.
type electionGrace struct {
	length time.Duration

	mu          sync.Mutex
	first, last time.Time // the first and the last request of the search that is going on
}

// graceLength is how long workers may be refused: a share of what a lease leaves beyond the longest pause between heartbeats
// and the search for a controller.
func graceLength(w config.Workers) time.Duration {
	spare := w.LeaseS - tuning.HeartbeatLateFactor*w.HeartbeatS - tuning.WorkerSearch.Seconds()
	return time.Duration(max(0, spare) * tuning.WorkerPatience * float64(time.Second))
}

// active reports whether a leader is likely to be there before long, so that a worker had better look for it. It notes that a
// worker asked.
func (g *electionGrace) active(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.last) > tuning.WorkerSearch {
		g.first = now
	}
	g.last = now
	return now.Sub(g.first) < g.length
}
