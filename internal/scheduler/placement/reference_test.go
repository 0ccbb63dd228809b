package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// referenceSchedule is a direct implementation of the cycle's rules, without any optimisation: each phase
// examines all jobs and all machines.
func referenceSchedule(pending []*PendingJob, machines []*Machine, teams map[string]*Team) (placed []Placement) {
	Sort(pending, teams, now)
	headReserved, starvingMachines, blocked := false, 0, map[*PendingJob]bool{}
	for level := 4; level >= 0; level-- {
		atLevel := slices.DeleteFunc(slices.Clone(pending), func(job *PendingJob) bool { return EffectivePriority(job, teams, now) != level })
		for _, i := range starvingIn(atLevel, 0, len(atLevel), now) {
			job := atLevel[i]
			team, request := teams[job.Job.Team], job.Request()
			if m := referenceBest(job, machines, request); m != nil && team.admits(job) {
				job.assign(m, request, team)
				placed = append(placed, Placement{job, m})
				continue
			}
			if team.reservedFor == "" {
				team.reservedFor, team.reserved = job.Job.ID, request
			}
			if team.reservedFor == job.Job.ID && starvingMachines < max(1, len(machines)/tuning.StarvationReservationDivisor) && job.reserveMachine(machines, request) {
				starvingMachines++
			}
		}
		for _, ph := range []phase{guaranteedPhase, borrowingPhase, placeholderPhase} {
			for _, job := range pending {
				for EffectivePriority(job, teams, now) == level && job.Placeholder == (ph == placeholderPhase) && job.Waiting > 0 && !blocked[job] {
					team, request := teams[job.Job.Team], job.Request()
					if job.Placeholder {
						team = &Team{QuotaCPUs: 1e9}
					}
					if !team.admits(job) || ph == guaranteedPhase && !team.withinGuarantee(request) {
						break
					}
					m := referenceBest(job, machines, request)
					if m == nil {
						blocked[job] = true
						if !headReserved && !job.Placeholder && now.Sub(job.WaitingSince) >= tuning.HeadReservationAfter {
							headReserved = job.reserveMachine(machines, request)
						}
						break
					}
					job.assign(m, request, team)
					if !job.Placeholder {
						placed = append(placed, Placement{job, m})
					}
				}
			}
		}
	}
	return placed
}

// referenceBest examines all machines.
func referenceBest(job *PendingJob, machines []*Machine, request Resources) (best *Machine) {
	for _, m := range machines {
		if m.Free.Fits(request) && (m.reservedFor == "" || m.reservedFor == job.Job.ID) && job.Allows(m.Type, m.Zone, m.Spot) &&
			(job.Avoid == nil || !job.Avoid(m.Name)) && (best == nil || ranksBefore(job, m, best)) {
			best = m
		}
	}
	return best
}

// ranksBefore is a direct implementation of the order of machines, by their present free resources.
func ranksBefore(job *PendingJob, a, b *Machine) bool {
	if a.Spot != b.Spot {
		return a.Spot
	}
	fetchA, fetchB := a.fetchS(job.Job.Image, job.Job.ImageGB), b.fetchS(job.Job.Image, job.Job.ImageGB)
	if job.LatencySensitive && fetchA != fetchB {
		return fetchA < fetchB
	}
	if a.Price != b.Price && (a.Spot || !job.Job.Spot) {
		return a.Price < b.Price
	}
	if fetchA != fetchB {
		return fetchA < fetchB
	}
	if job.Job.Spread && a.Zone != b.Zone && job.Zones[a.Zone] != job.Zones[b.Zone] {
		return job.Zones[a.Zone] < job.Zones[b.Zone]
	}
	if a.Unacknowledged != b.Unacknowledged {
		return b.Unacknowledged
	}
	if a.Free.CPUs != b.Free.CPUs {
		return a.Free.CPUs > b.Free.CPUs
	}
	if a.Free.MemoryGB != b.Free.MemoryGB {
		return a.Free.MemoryGB > b.Free.MemoryGB
	}
	return a.Name < b.Name
}

// Guards against optimisations of the cycle that change its decisions.
func TestScheduleMatchesReference(t *testing.T) {
	priorities := []wire.Priority{wire.PriorityProduction, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}
	for seed := range uint64(3000) {
		// cluster is called twice per seed, since a cycle changes the cluster that it is given.
		cluster := func() (pending []*PendingJob, machines []*Machine, teams map[string]*Team) {
			r := rand.New(rand.NewPCG(seed, 1))
			for i := range 1 + r.IntN(40) {
				m := machine(fmt.Sprintf("m-%02d", i), []string{"a", "b"}[r.IntN(2)], r.IntN(2) == 0, float64(r.IntN(17)))
				m.Free.MemoryGB, m.Price = float64(r.IntN(20)), float64(r.IntN(3))
				fetch := float64(r.IntN(4))
				m.Unacknowledged = r.IntN(4) == 0
				m.Type = []string{"x", "y"}[r.IntN(2)]
				m.FetchS = func(image string, _ float64) float64 { return fetch * float64(len(image)) }
				machines = append(machines, m)
			}
			for i := range 1 + r.IntN(15) {
				job := pendingJob(fmt.Sprintf("job-%02d", i), priorities[r.IntN(4)], time.Duration(r.IntN(200))*time.Second, 1+r.IntN(8), float64(1+r.IntN(6)),
					func(j *wire.Job) {
						j.Team, j.MemoryGB = []string{"t", "u"}[r.IntN(2)], float64(r.IntN(6))
						j.Spread, j.OneZone, j.Spot = r.IntN(4) == 0, r.IntN(4) == 0, r.IntN(2) == 0
					})
				job.LatencySensitive, job.Placeholder = r.IntN(2) == 0, r.IntN(6) == 0
				job.Job.Image = []string{"i", "ii"}[r.IntN(2)]
				if r.IntN(4) == 0 {
					job.Job.Types = [][]string{{}, {"x"}, {"x", "y"}}[r.IntN(3)]
				}
				if r.IntN(4) == 0 {
					lastAvoided := fmt.Sprintf("m-%02d", r.IntN(40))
					job.Avoid = func(machine string) bool { return machine <= lastAvoided }
				}
				if !job.Job.Spread && !job.Job.OneZone {
					job.Zones = nil
				}
				pending = append(pending, job)
			}
			return pending, machines, map[string]*Team{"t": {GuaranteedCPUs: 10, QuotaCPUs: 30}, "u": {GuaranteedCPUs: 40, QuotaCPUs: 60}}
		}
		format := func(placed []Placement) string {
			var b strings.Builder
			for _, placement := range placed {
				fmt.Fprintf(&b, "%s:%s ", placement.Pending.Job.ID, placement.Machine.Name)
			}
			return b.String()
		}
		pending, machines, teams := cluster()
		got := format(Schedule(now, pending, machines, teams))
		pending, machines, teams = cluster()
		if want := format(referenceSchedule(pending, machines, teams)); got != want {
			t.Fatalf("seed %d: placed %s\nwant %s", seed, got, want)
		}
	}
}
