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

// errTaskUnreachable tells that a task of a cancelled job is on a machine that no command reaches now.
var errTaskUnreachable = errors.New("a task runs out of reach")

// Status answers a user from memory; ok is false when the job is not known
// here, its end is on its way to the state service, or the right to act ended meanwhile.
func (l *Loop) Status(ctx context.Context, id string) (status wire.JobStatus, ok bool) {
	type result struct {
		status wire.JobStatus
		ok     bool
	}
	r, err := ask(ctx, l, func(answer func(result)) {
		if j := l.jobs.Jobs[id]; j != nil && l.loading.done && !l.finalStateMayBeStored(j) {
			answer(result{j.Status(), true})
			return
		}
		answer(result{})
	})
	return r.status, err == nil && r.ok && l.env.Valid(l.leadership.Term)
}

// finalStateMayBeStored reports whether a job's final state may be stored without our knowing. What is stored has to be read
// then: another member may have read it and told its user, and what is in memory would be older.
func (l *Loop) finalStateMayBeStored(j *jobs.Job) bool { return j.EndSent() && l.writer.inDoubt.Load() }

// Cancel cancels a job and gives its final state once that is stored; known
// is false when the job is not known here. Nothing more of it is started, its tasks are
// stopped, and the cancellation is stored once all are proven gone: a task in a partitioned zone
// may live on for longer than a user who was told may wait for its end. While one
// is unreachable the error is errTaskUnreachable; its end is then asked for again.
func (l *Loop) Cancel(ctx context.Context, id string) (state wire.JobState, known bool, err error) {
	type result struct {
		state wire.JobState
		known bool
		err   error
	}
	ctx, stop := context.WithTimeout(ctx, tuning.CancelWait)
	defer stop()
	r, err := ask(ctx, l, func(answer func(result)) {
		j := l.jobs.Jobs[id]
		if j == nil || !l.loading.done {
			answer(result{})
			return
		}
		l.jobs.Cancel(j, func(s wire.JobState) { answer(result{state: s, known: true}) })
		stopped := j.StopAll(charge.Cancelled)
		l.sendCommands(stopped)
		if l.anyUnreachable(stopped) {
			answer(result{known: true, err: errTaskUnreachable})
		}
	})
	if err == nil {
		err = r.err
	}
	return r.state, r.known, err
}

// anyUnreachable reports whether one of some allocations is on a machine that no command is likely to reach.
func (l *Loop) anyUnreachable(allocations []*jobs.Allocation) bool {
	now := l.env.Clock.Now()
	return slices.ContainsFunc(allocations, func(a *jobs.Allocation) bool { return l.unreachable(l.machines.Machines[a.Machine], now) })
}
