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

// These errors say why the loop cannot answer a request about a job. The other errors of such requests are
// ErrLeadershipOver and that of the context.
var (
	// ErrUnknownJob means that the job is neither live nor known to be finished.
	ErrUnknownJob = errors.New("no such live job")
	// ErrLoading means that the stored records are still being loaded: the job may be among them.
	ErrLoading = errors.New("the records are being read")
	// ErrEndInDoubt means that the job's final state may be stored, but this leader does not know that yet.
	ErrEndInDoubt = errors.New("the final state of the job may already be stored")
	// ErrTaskUnreachable means that a task of a cancelled job is on a machine that commands are unlikely to reach now.
	ErrTaskUnreachable = errors.New("a task of the job is on an unreachable machine")
)

// Status returns the status of a live job from memory. The error is ErrUnknownJob, ErrLoading, ErrEndInDoubt,
// ErrLeadershipOver or that of ctx; the caller then has to read the state service.
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
	case !l.env.MayAct(l.leadership.Term): // the right to act ended while the loop answered
		return wire.JobStatus{}, ErrLeadershipOver
	}
	return r.status, nil
}

// statusInMemory returns the status of a live job, if it is safe to give it to the job's user. The error is
// ErrUnknownJob, ErrLoading or ErrEndInDoubt.
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

// liveJob returns a job that is not finished. The error is ErrUnknownJob or ErrLoading.
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

// finalStateMayBeStored reports whether a job's final state may be stored without this leader knowing it yet. The
// request then has to be answered from the state service: another member may have read the final state there and
// reported it to the user, and the status in memory would be older.
func (l *Loop) finalStateMayBeStored(j *jobs.Job) bool { return j.EndSent() && l.writer.inDoubt.Load() }

// Cancel cancels a job and returns its final state once that is stored. No further task of the job is started, and
// its running tasks are stopped. The cancellation is stored only when all tasks are proven to be gone. The reason is that
// the tasks have to end within a limited time after a user learns that the job is cancelled, and a task in a partitioned
// zone may run for longer than that time.
//
// While a task is unreachable, the error is ErrTaskUnreachable, and the user has to ask again. The other errors are
// ErrUnknownJob, ErrLoading, ErrLeadershipOver and that of ctx, which ends after tuning.CancelTimeout at the latest.
func (l *Loop) Cancel(ctx context.Context, id string) (wire.JobState, error) {
	type result struct {
		state wire.JobState
		err   error
	}
	ctx, stop := context.WithTimeout(ctx, tuning.CancelTimeout)
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
		if l.anySilentOrUnreachable(stopped) {
			answer(result{err: ErrTaskUnreachable})
		}
	})
	if err != nil {
		return "", err
	}
	return r.state, r.err
}

// anySilentOrUnreachable reports whether a command is unlikely to reach the machine of any of the allocations.
func (l *Loop) anySilentOrUnreachable(allocations []*jobs.Allocation) bool {
	now := l.env.Clock.Now()
	return slices.ContainsFunc(allocations, func(a *jobs.Allocation) bool { return l.silentOrUnreachable(l.machines.Machines[a.Machine], now) })
}
