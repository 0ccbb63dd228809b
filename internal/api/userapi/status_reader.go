package userapi

import (
	"context"
	"sync"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// statusReader reads jobs' states from the state service for polls that the leader does not answer: for all polls while
// there is no leader or the leader hangs. statusReader reads one batch of polls at a time; the polls that arrive
// meanwhile form the next batch. A large batch shares one listing of the live jobs. Without the listing, each poll would
// need two reads, and users that poll eight times as often as usual would use up the rate limit. Each answer is read
// after its poll arrived, so it is never older than the poll.
type statusReader struct {
	h *Handler

	mu      sync.Mutex
	waiting map[string][]chan statusAnswer // the polls of the next batch, by job ID
	running bool                           // whether the goroutine of run is active; it ends when no poll waits
}

// statusAnswer is the answer to one poll.
type statusAnswer struct {
	status wire.JobStatus
	err    error
}

func newStatusReader(h *Handler) *statusReader {
	return &statusReader{h: h, waiting: map[string][]chan statusAnswer{}}
}

// read reads a job's state with the next batch. The error is errNoSuchJob or errStatusUnknown, the latter also if ctx
// ends before the batch is read.
func (r *statusReader) read(ctx context.Context, id string) (wire.JobStatus, error) {
	ch := make(chan statusAnswer, 1) // buffered: the caller may no longer receive
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

// run answers batches until no poll waits. Each batch takes at most tuning.PollTimeout.
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

// answerBatch reads the states of a batch's jobs and answers their polls. For a batch of at least
// tuning.PollBatchMinJobs jobs it reads the live jobs by one listing, and the final states of the others one by one.
// For a smaller batch it reads every job by itself.
func (r *statusReader) answerBatch(batch map[string][]chan statusAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.PollTimeout)
	defer cancel()
	store := r.h.store.LowPriority()
	read := r.h.storedStatus
	var live map[string]wire.JobStatus
	if len(batch) >= tuning.PollBatchMinJobs {
		var err error
		if live, err = listLive(ctx, store); err != nil {
			r.h.log.Debug("listing of live jobs failed; the states of the polled jobs stay unknown", "polls", len(batch), "err", err)
			for _, waiters := range batch {
				answerAll(waiters, statusAnswer{err: errStatusUnknown})
			}
			return
		}
		read = r.h.storedFinalStatus // the listing has shown that a job that is not in live has no job record
	}
	var wg sync.WaitGroup
	for id, waiters := range batch {
		if s, ok := live[id]; ok {
			answerAll(waiters, statusAnswer{status: s})
			continue
		}
		wg.Go(func() {
			s, err := read(ctx, id, store)
			answerAll(waiters, statusAnswer{s, err})
		})
	}
	wg.Wait()
}

// listLive reads the states of all jobs that have a job record, by job ID.
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

// answerAll sends an answer to all polls of one job.
func answerAll(waiters []chan statusAnswer, a statusAnswer) {
	for _, ch := range waiters {
		ch <- a
	}
}
