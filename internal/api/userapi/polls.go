package userapi

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// statusReader reads the states of jobs that the leader cannot tell: while nobody
// leads, or the leader stands still, all polls end here. One batch is read at a
// time; what comes meanwhile shares the next, and many share one listing of the
// live jobs. Two reads for each used up the limit when users asked eight times
// as often. Each answer was read after its poll came.
type statusReader struct {
	d *Handler

	mu      sync.Mutex
	waiting map[string][]chan statusAnswer
	running bool
}

type statusAnswer struct {
	code   int
	status wire.JobStatus
}

func newStatusReader(d *Handler) *statusReader {
	return &statusReader{d: d, waiting: map[string][]chan statusAnswer{}}
}

// read reads a job's state with the next batch.
func (p *statusReader) read(ctx context.Context, id string) (int, wire.JobStatus) {
	ch := make(chan statusAnswer, 1)
	p.mu.Lock()
	p.waiting[id] = append(p.waiting[id], ch)
	if !p.running {
		p.running = true
		go p.run()
	}
	p.mu.Unlock()
	select {
	case a := <-ch:
		return a.code, a.status
	case <-ctx.Done():
		return http.StatusServiceUnavailable, wire.JobStatus{ID: id}
	}
}

func (p *statusReader) run() {
	for {
		p.mu.Lock()
		batch := p.waiting
		p.waiting = map[string][]chan statusAnswer{}
		p.running = len(batch) > 0
		p.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		p.answerBatch(batch)
	}
}

// answerBatch answers a batch.
func (p *statusReader) answerBatch(batch map[string][]chan statusAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.PollWait)
	defer cancel()
	store := p.d.store.LowPriority()
	live := map[string]wire.JobStatus{}
	listed := len(batch) >= tuning.PollBatch
	if listed {
		if _, err := store.ListAll(ctx, jobs.PrefixJob, func(items []wire.Item) error {
			for _, item := range items {
				s := liveStatus(item)
				live[s.ID] = s
			}
			return nil
		}); err != nil {
			p.d.log.Debug("live jobs unreadable", "polls", len(batch), "err", err)
			for id, chs := range batch {
				answerAll(chs, statusAnswer{http.StatusServiceUnavailable, wire.JobStatus{ID: id}})
			}
			return
		}
	}
	var wg sync.WaitGroup
	for id, chs := range batch {
		if s, ok := live[id]; ok {
			answerAll(chs, statusAnswer{http.StatusOK, s})
			continue
		}
		wg.Go(func() {
			var a statusAnswer
			if listed {
				a.code, a.status = p.d.storedFinalStatus(ctx, id, store)
			} else {
				a.code, a.status = p.d.storedStatus(ctx, id, store)
			}
			answerAll(chs, a)
		})
	}
	wg.Wait()
}

func answerAll(chs []chan statusAnswer, a statusAnswer) {
	for _, ch := range chs {
		ch <- a
	}
}

// liveStatus is what a stored job's record tells its user.
func liveStatus(item wire.Item) wire.JobStatus {
	s := wire.JobStatus{ID: item.Key[len(jobs.PrefixJob):], State: wire.StateQueued}
	var rec jobs.JobRecord
	if err := json.Unmarshal(item.Value, &rec); err == nil && rec.Cancelled {
		s.State = wire.StateCancelled
	}
	return s
}
