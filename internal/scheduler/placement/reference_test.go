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
		of := slices.DeleteFunc(slices.Clone(pending), func(p *PendingJob) bool { return EffectivePriority(p, teams, now) != level })
		for _, i := range starvingIn(of, 0, len(of), now) {
			p := of[i]
			team, request := teams[p.Job.Team], p.Request()
			if m := referenceBest(p, machines, request); m != nil && team.admits(p) {
				p.assign(m, request, team)
				placed = append(placed, Placement{p, m})
				continue
			}
			if team.reservedFor == "" {
				team.reservedFor, team.reserved = p.Job.ID, request
			}
			if team.reservedFor == p.Job.ID && starving < max(1, len(machines)/tuning.StarvationReservationShare) && p.reserveMachine(machines, request) {
				starving++
			}
		}
		for _, ph := range []phase{guaranteedPhase, borrowingPhase, placeholderPhase} {
			for _, p := range pending {
				for EffectivePriority(p, teams, now) == level && p.Placeholder == (ph == placeholderPhase) && p.Waiting > 0 && !blocked[p] {
					team, request := teams[p.Job.Team], p.Request()
					if p.Placeholder {
						team = &Team{QuotaCPUs: 1e9}
					}
					if !team.admits(p) || ph == guaranteedPhase && !team.withinGuarantee(request) {
						break
					}
					m := referenceBest(p, machines, request)
					if m == nil {
						blocked[p] = true
						if !headReserved && !p.Placeholder && now.Sub(p.WaitingSince) >= tuning.HeadReservationAfter {
							headReserved = p.reserveMachine(machines, request)
						}
						break
					}
					p.assign(m, request, team)
					if !p.Placeholder {
						placed = append(placed, Placement{p, m})
					}
				}
			}
		}
	}
	return placed
}

// referenceBest looks at all machines.
func referenceBest(p *PendingJob, machines []*Machine, request Resources) (best *Machine) {
	for _, m := range machines {
		if m.Free.Fits(request) && (m.reservedFor == "" || m.reservedFor == p.Job.ID) && p.Allows(m.Type, m.Zone, m.Spot) &&
			(p.Avoid == nil || !p.Avoid(m.Name)) && (best == nil || ranksBefore(p, m, best)) {
			best = m
		}
	}
	return best
}

// ranksBefore is the ranking of machines as it is described, by the machines as
// they are.
func ranksBefore(p *PendingJob, a, b *Machine) bool {
	if a.Spot != b.Spot {
		return a.Spot
	}
	fa, fb := a.fetchS(p.Job.Image, p.Job.ImageGB), b.fetchS(p.Job.Image, p.Job.ImageGB)
	if p.LatencySensitive && fa != fb {
		return fa < fb
	}
	if a.Price != b.Price && (a.Spot || !p.Job.Spot) {
		return a.Price < b.Price
	}
	if fa != fb {
		return fa < fb
	}
	if p.Job.Spread && a.Zone != b.Zone && p.Zones[a.Zone] != p.Zones[b.Zone] {
		return p.Zones[a.Zone] < p.Zones[b.Zone]
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
				p := pendingJob(fmt.Sprintf("job-%02d", i), priorities[r.IntN(4)], time.Duration(r.IntN(200))*time.Second, 1+r.IntN(8), float64(1+r.IntN(6)),
					func(j *wire.Job) {
						j.Team, j.MemoryGB = []string{"t", "u"}[r.IntN(2)], float64(r.IntN(6))
						j.Spread, j.OneZone, j.Spot = r.IntN(4) == 0, r.IntN(4) == 0, r.IntN(2) == 0
					})
				p.LatencySensitive, p.Placeholder = r.IntN(2) == 0, r.IntN(6) == 0
				p.Job.Image = []string{"i", "ii"}[r.IntN(2)]
				if r.IntN(4) == 0 {
					p.Job.Types = [][]string{{}, {"x"}, {"x", "y"}}[r.IntN(3)]
				}
				if r.IntN(4) == 0 {
					bad := fmt.Sprintf("m-%02d", r.IntN(40))
					p.Avoid = func(machine string) bool { return machine <= bad }
				}
				if !p.Job.Spread && !p.Job.OneZone {
					p.Zones = nil
				}
				pending = append(pending, p)
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
