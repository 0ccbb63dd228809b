package workerapi

import (
	"sync"
	"time"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// electionGrace tells since when workers want to be kept. A worker that is kept waits for a whole interval until it reports
// again, and one that is refused goes on to the next node a second later. So while leases have time to spare,
// none is kept in the first seconds: mostly one leads by then. With reports every 10 s thousands of tasks that had ended
// were seen 10 s after the next leader was there, and their machines stood idle.
type electionGrace struct {
	length time.Duration

	mu          sync.Mutex
	first, last time.Time
}

// graceLength is how long workers may be refused: a share of what a lease leaves beyond the longest pause between reports and
// the search for a node.
func graceLength(w config.Workers) time.Duration {
	spare := w.LeaseS - tuning.HeartbeatLateFactor*w.HeartbeatS - tuning.WorkerSearch.Seconds()
	return time.Duration(max(0, spare) * tuning.WorkerPatience * float64(time.Second))
}

// active tells whether a leader is likely to be there before long, so that a worker better looks for it.
func (w *electionGrace) active(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.last) > tuning.WorkerSearch {
		w.first = now
	}
	w.last = now
	return now.Sub(w.first) < w.length
}
