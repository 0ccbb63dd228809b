package placement

import (
	"fmt"
	"strings"
	"time"

	"poppypass/internal/platform/wire"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// machine returns a machine of 16 CPUs, of which freeCPUs are free.
func machine(name, zone string, spot bool, freeCPUs float64) *Machine {
	free := Resources{CPUs: freeCPUs, MemoryGB: 100}
	return &Machine{Name: name, Type: "g8", Zone: zone, Spot: spot, Total: Resources{CPUs: 16, MemoryGB: 100}, Free: free}
}

// pendingJob returns a job of team t that allows spot machines and whose tasks are all waiting.
func pendingJob(id string, priority wire.Priority, waited time.Duration, tasks int, cpus float64, opts ...func(*wire.Job)) *PendingJob {
	job := &wire.Job{ID: id, Team: "t", Priority: priority, Tasks: tasks, CPUs: cpus, Spot: true}
	for _, o := range opts {
		o(job)
	}
	return &PendingJob{Job: job, WaitingSince: now.Add(-waited), Waiting: tasks, Zones: map[string]int{}}
}

// placements runs a cycle over jobs of team t with the given CPU quota. It returns "job:machine" for each
// placement.
func placements(pending []*PendingJob, machines []*Machine, quota float64) string {
	var b strings.Builder
	for _, p := range Schedule(now, pending, machines, map[string]*Team{"t": {QuotaCPUs: quota}}) {
		fmt.Fprintf(&b, "%s:%s ", p.Pending.Job.ID, p.Machine.Name)
	}
	return strings.TrimSpace(b.String())
}
