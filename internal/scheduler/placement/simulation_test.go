package placement

import (
	"math"
	"slices"
	"time"

	"poppypass/internal/platform/wire"
)

// simulation simulates a small cluster over time: jobs are submitted, cycles place their tasks, and tasks end.
type simulation struct {
	now                 time.Time
	machines            []*Machine
	teams               map[string]*Team
	pending             []*PendingJob
	running             []runningTask
	startDelays         map[string]time.Duration // by job ID: time from the submission to the first task's start
	completedCPUSeconds float64                  // of tasks that have ended
	reservations        BackfillReservations
	placeholders        func() []*PendingJob // placeholders for expected work; nil: none
	// waitingDespiteRoom stores since when a job has been waiting although a machine has room for it and its
	// team's quota admits it. longestAvoidableWait is the longest such wait so far.
	waitingDespiteRoom   map[*PendingJob]time.Time
	longestAvoidableWait time.Duration
}

// runningTask is a task that ends by itself.
type runningTask struct {
	endsAt  time.Time
	machine *Machine
	request Resources
	team    string
	job     *PendingJob
}

func newSimulation(teams map[string]*Team) *simulation {
	return &simulation{now: now, teams: teams, startDelays: map[string]time.Duration{}, waitingDespiteRoom: map[*PendingJob]time.Time{}}
}

// submit adds an array job of the given number of tasks, each of which runs for runS seconds.
func (s *simulation) submit(id, team string, tasks int, cpus, runS float64, priority wire.Priority) *PendingJob {
	p := &PendingJob{
		Job:          &wire.Job{ID: id, Team: team, Kind: wire.KindArray, Priority: priority, Tasks: tasks, CPUs: cpus, EstimateS: runS},
		WaitingSince: s.now, EnqueuedAt: s.now, Waiting: tasks,
	}
	s.pending = append(s.pending, p)
	return p
}

// step advances the time by one second: tasks end, and a cycle places others.
func (s *simulation) step() {
	s.now = s.now.Add(time.Second)
	s.endTasks()
	s.pending = slices.DeleteFunc(s.pending, func(p *PendingJob) bool { return p.Waiting == 0 })
	s.clearReservations()
	placed := s.schedule()
	for _, p := range placed {
		s.start(p)
	}
	s.recordAvoidableWaits()
}

// endTasks ends the tasks whose run time has passed, and frees their resources.
func (s *simulation) endTasks() {
	s.running = slices.DeleteFunc(s.running, func(task runningTask) bool {
		if task.endsAt.After(s.now) {
			return false
		}
		task.machine.Free.Add(task.request)
		s.teams[task.team].UsedCPUs -= task.request.CPUs
		s.completedCPUSeconds += task.request.CPUs * task.job.Job.EstimateS
		return true
	})
}

// clearReservations removes the previous cycle's reservations, since every cycle begins with fresh views.
func (s *simulation) clearReservations() {
	for _, m := range s.machines {
		m.reservedFor = ""
		m.FreeInS = func(lacking Resources) float64 {
			lacking.Add(m.Free)
			return s.freeInS(m, lacking)
		}
	}
	for _, t := range s.teams {
		t.reservedFor = ""
	}
}

// schedule runs a cycle and then restores the machines' free resources, because placeholders occupy nothing
// and start subtracts what placed tasks request.
func (s *simulation) schedule() []Placement {
	wanted := slices.Clone(s.pending)
	if s.placeholders != nil {
		wanted = append(wanted, s.placeholders()...)
	}
	free := make([]Resources, len(s.machines))
	for i, m := range s.machines {
		free[i] = m.Free
	}
	placed := s.reservations.Schedule(s.now, wanted, s.machines, s.teams)
	for i, m := range s.machines {
		m.Free = free[i]
	}
	return placed
}

// start starts a placed task.
func (s *simulation) start(placement Placement) {
	job, request := placement.Pending, placement.Pending.Request()
	placement.Machine.Free.Sub(request, 1)
	if job.Started++; job.Started == 1 {
		s.startDelays[job.Job.ID] = s.now.Sub(job.EnqueuedAt)
	}
	run := time.Duration(job.Job.EstimateS * float64(time.Second))
	s.running = append(s.running, runningTask{s.now.Add(run), placement.Machine, request, job.Job.Team, job})
}

// freeInS returns the seconds until a machine has room, by the ends of its tasks. Service replicas do not end.
func (s *simulation) freeInS(machine *Machine, request Resources) float64 {
	free := machine.Free
	var onMachine []runningTask
	for _, task := range s.running {
		if task.machine == machine {
			onMachine = append(onMachine, task)
		}
	}
	slices.SortFunc(onMachine, func(a, b runningTask) int { return a.endsAt.Compare(b.endsAt) })
	for _, task := range onMachine {
		if free.Fits(request) {
			break
		}
		if free.Add(task.request); free.Fits(request) {
			return task.endsAt.Sub(s.now).Seconds()
		}
	}
	if free.Fits(request) {
		return 0
	}
	return math.Inf(1)
}

// recordAvoidableWaits records the jobs that wait although there is room for them.
func (s *simulation) recordAvoidableWaits() {
	for _, job := range s.pending {
		team, request := s.teams[job.Job.Team], job.Request()
		room := job.Waiting > 0 && team.withinQuota(request) && slices.ContainsFunc(s.machines, func(m *Machine) bool {
			return m.Free.Fits(request) && job.Allows(m.Type, m.Zone, m.Spot)
		})
		if since, known := s.waitingDespiteRoom[job]; !room {
			delete(s.waitingDespiteRoom, job)
		} else if !known {
			s.waitingDespiteRoom[job] = s.now
		} else {
			s.longestAvoidableWait = max(s.longestAvoidableWait, s.now.Sub(since))
		}
	}
}
