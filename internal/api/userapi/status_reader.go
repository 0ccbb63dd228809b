package userapi

import (
	"context"
	"sync"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// statusReader reads the states of jobs that the leader cannot tell: while nobody leads, or the leader stands still, all polls
// end here. One batch is read at a time; what comes meanwhile shares the next, and many share one listing of the live jobs. Two
// reads for each used up the limit when users asked eight times as often. Each answer was read after its poll came.
type statusReader struct {
	h *Handler

	mu      sync.Mutex
	waiting map[string][]chan statusAnswer // by job
	running bool                           // a goroutine answers batches; it ends when nobody waits
}

type statusAnswer struct {
	status wire.JobStatus
	err    error
}

func newStatusReader(h *Handler) *statusReader {
	return &statusReader{h: h, waiting: map[string][]chan statusAnswer{}}
}

// read reads a job's state with the next batch. The error is errNoSuchJob or errStatusUnknown.
func (r *statusReader) read(ctx context.Context, id string) (wire.JobStatus, error) {
	ch := make(chan statusAnswer, 1) // the one who waits may be gone
	r.mu.Lock()
	r.waiting[id] = append(r.waiting[id], ch)
	if !r.running {
		r.running = true
		go r.run()
	}
	r.mu.Unlock()
	select {
	case a := <-ch:
		return a.status, a.err
	case <-ctx.Done():
		return wire.JobStatus{}, errStatusUnknown
	}
}

// run answers batches until nobody waits. Each takes at most tuning.PollWait.
func (r *statusReader) run() {
	for {
		r.mu.Lock()
		batch := r.waiting
		r.waiting = map[string][]chan statusAnswer{}
		r.running = len(batch) > 0
		r.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		r.answerBatch(batch)
	}
}

// answerBatch reads the states of a batch's jobs: one by one, or, if there are many, the live ones by a listing.
func (r *statusReader) answerBatch(batch map[string][]chan statusAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.PollWait)
	defer cancel()
	store := r.h.store.LowPriority()
	read := r.h.storedStatus
	var live map[string]wire.JobStatus
	if len(batch) >= tuning.PollBatch {
		var err error
		if live, err = listLive(ctx, store); err != nil {
			r.h.log.Debug("live jobs unreadable", "polls", len(batch), "err", err)
			for _, chs := range batch {
				answerAll(chs, statusAnswer{err: errStatusUnknown})
			}
			return
		}
		read = r.h.storedFinalStatus // of those that are not live
	}
	var wg sync.WaitGroup
	for id, chs := range batch {
		if s, ok := live[id]; ok {
			answerAll(chs, statusAnswer{status: s})
			continue
		}
		wg.Go(func() {
			s, err := read(ctx, id, store)
			answerAll(chs, statusAnswer{s, err})
		})
	}
	wg.Wait()
}

// listLive reads the states of all jobs that are not over.
func listLive(ctx context.Context, store *statestore.Client) (map[string]wire.JobStatus, error) {
	live := map[string]wire.JobStatus{}
	_, err := store.ListAll(ctx, jobs.PrefixJob, func(items []wire.Item) error {
		for _, item := range items {
			s := liveStatus(item)
			live[s.ID] = s
		}
		return nil
	})
	return live, err
}

func answerAll(chs []chan statusAnswer, a statusAnswer) {
	for _, ch := range chs {
		ch <- a
	}
}
