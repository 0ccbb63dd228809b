package machines

import (
	"testing"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	term  = 7
	lease = 10.0
)

func mayForget(AttemptID) bool    { return true }
func mayNotForget(AttemptID) bool { return false }

// heartbeat returns a heartbeat of machine n-1.
func heartbeat(incarnation, seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "n-1", Address: "10.0.0.9:1", Type: "g8", Zone: "a", Incarnation: incarnation, Seq: seq, FencingToken: token, Tasks: tasks}
}

func status(task string, attempt uint64, state wire.TaskState, reason wire.ExitReason) wire.TaskStatus {
	return wire.TaskStatus{Task: task, Attempt: attempt, State: state, Reason: reason}
}

// newAllocation returns a recorded allocation of task job-1/0 on machine n-1 in an incarnation.
func newAllocation(incarnation uint64) *jobs.Allocation {
	return &jobs.Allocation{
		Job:     &jobs.Job{Job: wire.Job{ID: "job-1", Team: "t", CPUs: 2, Tasks: 1, Image: "img"}},
		Attempt: 1, Machine: "n-1", Incarnation: incarnation, Zone: "a", Committed: true,
	}
}

// fixture is a registry of term 7 with helpers that fail the test.
type fixture struct {
	t *testing.T
	*Registry
}

func newFixture(t *testing.T) *fixture { return &fixture{t, New(term, lease)} }

// receive processes a heartbeat that arrives at t0 plus offset. The heartbeat must not be rejected.
func (f *fixture) receive(hb *wire.Heartbeat, offset time.Duration, forget MayForget) HeartbeatResult {
	f.t.Helper()
	result, err := f.Heartbeat(hb, t0.Add(offset), forget)
	if err != nil {
		f.t.Fatal(err)
	}
	return result
}

// expire ends the incarnations whose leases have expired at t0 plus offset, as the leader does if no follower renewed
// any lease.
func (f *fixture) expire(offset time.Duration) []Outcome {
	return f.EndExpired(t0.Add(offset), nil)
}

// ops returns the operations of commands as the protocol names them, each followed by a space.
func ops(cmds []wire.Command) string {
	out := ""
	for _, c := range cmds {
		out += string(c.Op) + " "
	}
	return out
}
