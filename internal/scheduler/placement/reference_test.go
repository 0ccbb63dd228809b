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

// referenceSchedule is the cycle as it is described, without anything to make it
// fast: each phase looks at all jobs and all machines.
func referenceSchedule(pending []*PendingJob, machines []*Machine, teams map[string]*Team) (placed []Placement) {
	Sort(pending, teams, now)
	headReserved, starving, blocked := false, 0, map[*PendingJob]bool{}
	for level := 4; level >= 0; level-- {
		of := slices.DeleteFunc(slices.Clone(pending), func(it *PendingJob) bool { return EffectivePriority(it, teams, now) != level })
		for _, i := range starvingIn(of, 0, len(of), now) {
			it := of[i]
			team, request := teams[it.Job.Team], it.Request()
			if m := referenceBest(it, machines, request); m != nil && team.admits(it) {
				it.assign(m, request, team)
				placed = append(placed, Placement{it, m})
				continue
			}
			if team.reservedFor == "" {
				team.reservedFor, team.reserved = it.Job.ID, request
			}
			if team.reservedFor == it.Job.ID && starving < max(1, len(machines)/tuning.StarvationReservationShare) && it.reserveMachine(machines, request) {
				starving++
			}
		}
		for _, ph := range phases {
			for _, it := range pending {
				for EffectivePriority(it, teams, now) == level && it.Placeholder == (ph == placeholderPhase) && it.Waiting > 0 && !blocked[it] {
					team, request := teams[it.Job.Team], it.Request()
					if it.Placeholder {
						team = &Team{QuotaCPUs: 1e9}
					}
					if !team.admits(it) || ph == guaranteedPhase && !team.withinGuarantee(request) {
						break
					}
					m := referenceBest(it, machines, request)
					if m == nil {
						blocked[it] = true
						if !headReserved && !it.Placeholder && now.Sub(it.WaitingSince) >= tuning.HeadReservationAfter {
							headReserved = it.reserveMachine(machines, request)
						}
						break
					}
					it.assign(m, request, team)
					if !it.Placeholder {
						placed = append(placed, Placement{it, m})
					}
				}
			}
		}
	}
	return placed
}

// referenceBest looks at all machines.
func referenceBest(it *PendingJob, machines []*Machine, request Resources) (best *Machine) {
	for _, m := range machines {
		if m.Free.Fits(request) && (m.reservedFor == "" || m.reservedFor == it.Job.ID) && it.Allows(m.Type, m.Zone, m.Spot) &&
			(it.Avoid == nil || !it.Avoid(m.Name)) && (best == nil || ranksBefore(it, m, best)) {
			best = m
		}
	}
	return best
}

// ranksBefore is the ranking of machines as it is described, by the machines as
// they are.
func ranksBefore(it *PendingJob, a, b *Machine) bool {
	if a.Spot != b.Spot {
		return a.Spot
	}
	fa, fb := a.fetchS(it.Job.Image, it.Job.ImageGB), b.fetchS(it.Job.Image, it.Job.ImageGB)
	if it.LatencySensitive && fa != fb {
		return fa < fb
	}
	if a.Price != b.Price && (a.Spot || !it.Job.Spot) {
		return a.Price < b.Price
	}
	if fa != fb {
		return fa < fb
	}
	if it.Job.Spread && a.Zone != b.Zone && it.Zones[a.Zone] != it.Zones[b.Zone] {
		return it.Zones[a.Zone] < it.Zones[b.Zone]
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

// Guards against a cycle that is fast and decides otherwise.
func TestScheduleMatchesReference(t *testing.T) {
	priorities := []wire.Priority{wire.PriorityProduction, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}
	for seed := range uint64(3000) {
		// The same cluster twice, since a cycle changes what it is given.
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
				it := pendingJob(fmt.Sprintf("job-%02d", i), priorities[r.IntN(4)], time.Duration(r.IntN(200))*time.Second, 1+r.IntN(8), float64(1+r.IntN(6)),
					func(j *wire.Job) {
						j.Team, j.MemoryGB = []string{"t", "u"}[r.IntN(2)], float64(r.IntN(6))
						j.Spread, j.OneZone, j.Spot = r.IntN(4) == 0, r.IntN(4) == 0, r.IntN(2) == 0
					})
				it.LatencySensitive, it.Placeholder = r.IntN(2) == 0, r.IntN(6) == 0
				it.Job.Image = []string{"i", "ii"}[r.IntN(2)]
				if r.IntN(4) == 0 {
					it.Job.Types = [][]string{{}, {"x"}, {"x", "y"}}[r.IntN(3)]
				}
				if r.IntN(4) == 0 {
					bad := fmt.Sprintf("m-%02d", r.IntN(40))
					it.Avoid = func(machine string) bool { return machine <= bad }
				}
				if !it.Job.Spread && !it.Job.OneZone {
					it.Zones = nil
				}
				pending = append(pending, it)
			}
			return pending, machines, map[string]*Team{"t": {GuaranteedCPUs: 10, QuotaCPUs: 30}, "u": {GuaranteedCPUs: 40, QuotaCPUs: 60}}
		}
		show := func(placed []Placement) string {
			var b strings.Builder
			for _, p := range placed {
				fmt.Fprintf(&b, "%s:%s ", p.Pending.Job.ID, p.Machine.Name)
			}
			return b.String()
		}
		pending, machines, teams := cluster()
		got := show(Schedule(now, pending, machines, teams))
		pending, machines, teams = cluster()
		if want := show(referenceSchedule(pending, machines, teams)); got != want {
			t.Fatalf("seed %d: placed %s\nwant %s", seed, got, want)
		}
	}
}
