package placement

import (
	"math"
	"slices"
	"time"

	"poppypass/internal/platform/wire"
)

// simulation is a small cluster in time: jobs are submitted, cycles place their
// tasks, tasks end.
type simulation struct {
	now          time.Time
	machines     []*Machine
	teams        map[string]*Team
	pending      []*PendingJob
	running      []runningTask
	began        map[string]time.Duration // after its submission
	done         float64                  // CPU seconds of tasks that ended
	reservations BackfillReservations
	placeholders func() []*PendingJob // work that is expected; nil: none
	// waitsBesideRoom is since when a job waits though a machine that fits has room
	// and its team is within its quota, and longestWait for how long any did.
	waitsBesideRoom map[*PendingJob]time.Time
	longestWait     time.Duration
}

// runningTask is a task that ends by itself.
type runningTask struct {
	endsAt  time.Time
	m       *Machine
	request Resources
	team    string
	job     *PendingJob
}

func newSimulation(teams map[string]*Team) *simulation {
	return &simulation{now: now, teams: teams, began: map[string]time.Duration{}, waitsBesideRoom: map[*PendingJob]time.Time{}}
}

// submit adds an array.
func (s *simulation) submit(id, team string, tasks int, cpus, runS float64, prio wire.Priority) *PendingJob {
	p := &PendingJob{
		Job:          &wire.Job{ID: id, Team: team, Kind: wire.KindArray, Priority: prio, Tasks: tasks, CPUs: cpus, EstimateS: runS},
		WaitingSince: s.now, EnqueuedAt: s.now, Waiting: tasks,
	}
	s.pending = append(s.pending, p)
	return p
}

// step advances the time by a second: tasks end, and a cycle places others.
func (s *simulation) step() {
	s.now = s.now.Add(time.Second)
	s.endTasks()
	s.pending = slices.DeleteFunc(s.pending, func(p *PendingJob) bool { return p.Waiting == 0 })
	s.forgetReservations()
	placed := s.schedule()
	for _, p := range placed {
		s.start(p)
	}
	s.watch()
}

// endTasks ends the tasks whose time is up, and returns their room.
func (s *simulation) endTasks() {
	s.running = slices.DeleteFunc(s.running, func(e runningTask) bool {
		if e.endsAt.After(s.now) {
			return false
		}
		e.m.Free.Add(e.request)
		s.teams[e.team].UsedCPUs -= e.request.CPUs
		s.done += e.request.CPUs * e.job.Job.EstimateS
		return true
	})
}

// forgetReservations makes views that are new for a cycle.
func (s *simulation) forgetReservations() {
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

// schedule runs a cycle. What placeholders took of the machines is free again after
// it, and so is what placed tasks took: start takes that.
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

// start runs a placed task.
func (s *simulation) start(p Placement) {
	job, request := p.Pending, p.Pending.Request()
	p.Machine.Free.Sub(request, 1)
	if job.Started++; job.Started == 1 {
		s.began[job.Job.ID] = s.now.Sub(job.EnqueuedAt)
	}
	run := time.Duration(job.Job.EstimateS * float64(time.Second))
	s.running = append(s.running, runningTask{s.now.Add(run), p.Machine, request, job.Job.Team, job})
}

// freeInS returns after how many seconds a machine has room, by the tasks that run
// there; service replicas stay.
func (s *simulation) freeInS(m *Machine, request Resources) float64 {
	free := m.Free
	var here []runningTask
	for _, e := range s.running {
		if e.m == m {
			here = append(here, e)
		}
	}
	slices.SortFunc(here, func(a, b runningTask) int { return a.endsAt.Compare(b.endsAt) })
	for _, e := range here {
		if free.Fits(request) {
			break
		}
		if free.Add(e.request); free.Fits(request) {
			return e.endsAt.Sub(s.now).Seconds()
		}
	}
	if free.Fits(request) {
		return 0
	}
	return math.Inf(1)
}

// watch notes the jobs that wait beside room.
func (s *simulation) watch() {
	for _, p := range s.pending {
		team, request := s.teams[p.Job.Team], p.Request()
		room := p.Waiting > 0 && team.withinQuota(request) && slices.ContainsFunc(s.machines, func(m *Machine) bool {
			return m.Free.Fits(request) && p.Allows(m.Type, m.Zone, m.Spot)
		})
		if since, known := s.waitsBesideRoom[p]; !room {
			delete(s.waitsBesideRoom, p)
		} else if !known {
			s.waitsBesideRoom[p] = s.now
		} else {
			s.longestWait = max(s.longestWait, s.now.Sub(since))
		}
	}
}
