package machines

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Random histories: workers that hang, die or restart, one-way partitions either way, heartbeats whose copies are delayed by up
// to five leases, commands as late, and failovers. No task ever runs twice, and none counts as completed that did not. Once
// all faults are over each machine that lives gets work again and each task completes, within a stated time.
func TestNoTaskRunsTwiceOverRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: t0}
		job := &jobs.Job{Job: wire.Job{ID: "job-1", Team: "t", CPUs: 1, Tasks: 4, Image: "img"}}
		for i := range 4 {
			s.tasks = append(s.tasks, &simTask{id: wire.TaskID{Job: "job-1", Index: i}, job: job})
		}
		for i := range 4 {
			s.workers = append(s.workers, &simWorker{lastReply: t0, state: wire.Heartbeat{
				Machine: fmt.Sprintf("n-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Type: "g8", Zone: "a", Incarnation: 1,
			}})
		}
		s.electLeader()
		for range rapid.IntRange(10, 240).Draw(t, "steps") {
			s.step()
		}
		s.noFaults = true
		for _, w := range s.workers {
			w.hangsUntil, w.unreachableUntil, w.silentUntil = time.Time{}, time.Time{}, time.Time{}
		}
		// What is in flight arrives within five leases; a machine that was unreachable again and again waits for longest.
		for quietUntil := s.now.Add(5*simLease + tuning.UnreachablePauseMax + tuning.ProbePauseMax); s.now.Before(quietUntil); {
			s.step()
		}
		for _, w := range s.workers {
			m := s.r.Machines[w.state.Machine]
			if !w.dead && !s.r.WasReturned(w.state.Machine) && (m == nil || !m.Alive() || !m.Usable(s.term, s.now)) {
				t.Fatalf("%s lives and gets no work: %+v", w.state.Machine, m)
			}
		}
		for _, task := range s.tasks {
			if !task.completed && slices.ContainsFunc(s.workers, func(w *simWorker) bool { return !w.dead }) {
				t.Fatalf("%v is not completed: %+v; %s", task.id, task.allocation, s.describe())
			}
		}
	})
}
