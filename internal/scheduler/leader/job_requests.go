package leader

import (
	"context"
	"errors"
	"slices"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Why the loop does not tell a job's state. Besides these, the error of a request is ErrLeadershipOver or that of its context.
var (
	// ErrUnknownJob means that the job is neither live nor known to be over.
	ErrUnknownJob = errors.New("no such live job")
	// ErrLoading means that the records are still being read: the job may be among them.
	ErrLoading = errors.New("the records are being read")
	// ErrEndInDoubt means that the job's final state may be stored without our knowing.
	ErrEndInDoubt = errors.New("the job's end may be stored")
	// ErrTaskUnreachable means that a task of a cancelled job is on a machine that no command reaches now.
	ErrTaskUnreachable = errors.New("a task runs out of reach")
)

// Status answers a user from memory. The error is ErrUnknownJob, ErrLoading, ErrEndInDoubt, ErrLeadershipOver or ctx's; whoever
// asks has to read the state service then.
func (l *Loop) Status(ctx context.Context, id string) (wire.JobStatus, error) {
	type result struct {
		status wire.JobStatus
		err    error
	}
	r, err := ask(ctx, l, func(answer func(result)) {
		status, err := l.statusInMemory(id)
		answer(result{status, err})
	})
	switch {
	case err != nil:
		return wire.JobStatus{}, err
	case r.err != nil:
		return wire.JobStatus{}, r.err
	case !l.env.Valid(l.leadership.Term): // the right to act ended meanwhile
		return wire.JobStatus{}, ErrLeadershipOver
	}
	return r.status, nil
}

// statusInMemory is what the user of a live job may be told. The error is ErrUnknownJob, ErrLoading or ErrEndInDoubt.
func (l *Loop) statusInMemory(id string) (wire.JobStatus, error) {
	j, err := l.liveJob(id)
	switch {
	case err != nil:
		return wire.JobStatus{}, err
	case l.finalStateMayBeStored(j):
		return wire.JobStatus{}, ErrEndInDoubt
	}
	return j.Status(), nil
}

// liveJob returns a job that is not over. The error is ErrUnknownJob or ErrLoading.
func (l *Loop) liveJob(id string) (*jobs.Job, error) {
	if !l.loading.done {
		return nil, ErrLoading
	}
	j := l.jobs.Jobs[id]
	if j == nil {
		return nil, ErrUnknownJob
	}
	return j, nil
}

// finalStateMayBeStored reports whether a job's final state may be stored without our knowing. What is stored has to be read
// then: another member may have read it and told its user, and what is in memory would be older.
func (l *Loop) finalStateMayBeStored(j *jobs.Job) bool { return j.EndSent() && l.writer.inDoubt.Load() }

// Cancel cancels a job and returns its final state once that is stored. Nothing more of it is started, its tasks are
// stopped, and the cancellation is stored once all are proven gone: a task in a partitioned zone
// may live on for longer than a user who was told may wait for its end. While one
// is unreachable the error is ErrTaskUnreachable; its end is then asked for again. Otherwise it is ErrUnknownJob, ErrLoading,
// ErrLeadershipOver or ctx's, which also ends after tuning.CancelWait.
func (l *Loop) Cancel(ctx context.Context, id string) (wire.JobState, error) {
	type result struct {
		state wire.JobState
		err   error
	}
	ctx, stop := context.WithTimeout(ctx, tuning.CancelWait)
	defer stop()
	r, err := ask(ctx, l, func(answer func(result)) {
		j, err := l.liveJob(id)
		if err != nil {
			answer(result{err: err})
			return
		}
		l.jobs.Cancel(j, func(s wire.JobState) { answer(result{state: s}) })
		stopped := j.StopAll(charge.Cancelled)
		l.sendCommands(stopped)
		if l.anyUnreachable(stopped) {
			answer(result{err: ErrTaskUnreachable})
		}
	})
	if err != nil {
		return "", err
	}
	return r.state, r.err
}

// anyUnreachable reports whether one of some allocations is on a machine that no command is likely to reach.
func (l *Loop) anyUnreachable(allocations []*jobs.Allocation) bool {
	now := l.env.Clock.Now()
	return slices.ContainsFunc(allocations, func(a *jobs.Allocation) bool { return l.unreachable(l.machines.Machines[a.Machine], now) })
}
