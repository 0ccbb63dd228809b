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
	it      *PendingJob
}

func newSimulation(teams map[string]*Team) *simulation {
	return &simulation{now: now, teams: teams, began: map[string]time.Duration{}, waitsBesideRoom: map[*PendingJob]time.Time{}}
}

// submit adds an array.
func (s *simulation) submit(id, team string, tasks int, cpus, runS float64, prio wire.Priority) *PendingJob {
	it := &PendingJob{
		Job:          &wire.Job{ID: id, Team: team, Kind: wire.KindArray, Priority: prio, Tasks: tasks, CPUs: cpus, EstimateS: runS},
		WaitingSince: s.now, EnqueuedAt: s.now, Waiting: tasks,
	}
	s.pending = append(s.pending, it)
	return it
}

// step advances the time by a second: tasks end, and a cycle places others.
func (s *simulation) step() {
	s.now = s.now.Add(time.Second)
	rest := s.running[:0]
	for _, e := range s.running {
		if e.endsAt.After(s.now) {
			rest = append(rest, e)
			continue
		}
		e.m.Free.Add(e.request)
		s.teams[e.team].UsedCPUs -= e.request.CPUs
		s.done += e.request.CPUs * e.it.Job.EstimateS
	}
	s.running = rest
	var waiting []*PendingJob
	for _, it := range s.pending {
		if it.Waiting > 0 {
			waiting = append(waiting, it)
		}
	}
	s.pending = waiting
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
	wanted := append([]*PendingJob{}, waiting...)
	free := make([]Resources, len(s.machines)) // placeholders take room for one cycle only
	if s.placeholders != nil {
		wanted = append(wanted, s.placeholders()...)
	}
	for i, m := range s.machines {
		free[i] = m.Free
	}
	placed := s.reservations.Schedule(s.now, wanted, s.machines, s.teams)
	for i, m := range s.machines {
		m.Free = free[i]
	}
	for _, p := range placed {
		p.Machine.Free.Sub(p.Pending.Request(), 1)
		if p.Pending.Started++; p.Pending.Started == 1 {
			s.began[p.Pending.Job.ID] = s.now.Sub(p.Pending.EnqueuedAt)
		}
		run := time.Duration(p.Pending.Job.EstimateS * float64(time.Second))
		s.running = append(s.running, runningTask{s.now.Add(run), p.Machine, p.Pending.Request(), p.Pending.Job.Team, p.Pending})
	}
	s.watch(waiting)
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
func (s *simulation) watch(waiting []*PendingJob) {
	for _, it := range waiting {
		team, request := s.teams[it.Job.Team], it.Request()
		room := it.Waiting > 0 && team.withinQuota(request) && slices.ContainsFunc(s.machines, func(m *Machine) bool {
			return m.Free.Fits(request) && it.Allows(m.Type, m.Zone, m.Spot)
		})
		if since, known := s.waitsBesideRoom[it]; !room {
			delete(s.waitsBesideRoom, it)
		} else if !known {
			s.waitsBesideRoom[it] = s.now
		} else {
			s.longestWait = max(s.longestWait, s.now.Sub(since))
		}
	}
}
