package placement

import (
	"fmt"
	"strings"
	"time"

	"poppypass/internal/platform/wire"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// machine returns a machine of 16 CPUs, cpus of them free.
func machine(name, zone string, spot bool, cpus float64) *Machine {
	r := Resources{CPUs: cpus, MemoryGB: 100}
	return &Machine{Name: name, Type: "g8", Zone: zone, Spot: spot, Total: Resources{CPUs: 16, MemoryGB: 100}, Free: r}
}

// pendingJob returns a job of team t with waiting tasks, which allows spot machines.
func pendingJob(id string, p wire.Priority, waited time.Duration, tasks int, cpus float64, opts ...func(*wire.Job)) *PendingJob {
	j := &wire.Job{ID: id, Team: "t", Priority: p, Tasks: tasks, CPUs: cpus, Spot: true}
	for _, o := range opts {
		o(j)
	}
	return &PendingJob{Job: j, WaitingSince: now.Add(-waited), Waiting: tasks, Zones: map[string]int{}}
}

// run places the jobs of team t under a quota, and returns "job:machine" for each
// placement.
func run(pending []*PendingJob, machines []*Machine, quota float64) string {
	var b strings.Builder
	for _, p := range Schedule(now, pending, machines, map[string]*Team{"t": {QuotaCPUs: quota}}) {
		fmt.Fprintf(&b, "%s:%s ", p.Pending.Job.ID, p.Machine.Name)
	}
	return strings.TrimSpace(b.String())
}
