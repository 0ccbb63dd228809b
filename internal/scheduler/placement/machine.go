package placement

import "math"

// Machine is the view of a machine on which tasks may be placed.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Price            float64 // of the whole machine, per hour
	Total, Free      Resources
	// FetchS returns the seconds until the machine has an image of gb gigabytes; nil: every image is available
	// at once. The results must not change during a cycle.
	FetchS func(image string, gb float64) float64
	// FreeInS estimates the seconds until tasks that end by themselves have freed the lacking resources.
	// +Inf means never; nil means that no estimate is known.
	FreeInS func(lacking Resources) float64
	// Victims are the tasks on the machine that may be preempted.
	Victims []Victim
	// Unacknowledged is set until the machine has acknowledged a message of this leader, which proves that
	// the machine receives the leader's messages.
	Unacknowledged bool

	reservedFor string // ID of the job for which the machine is reserved, or a mark of a dry run; empty: none
}

// fetchS returns the time until the machine has the image, rounded to whole seconds.
func (m *Machine) fetchS(image string, gb float64) float64 {
	if m.FetchS == nil {
		return 0
	}
	return math.Round(m.FetchS(image, gb))
}

// freeInS returns the estimated seconds until the machine has room for a task: +Inf if it never will, 0 if
// there is no estimate.
func (m *Machine) freeInS(request Resources) float64 {
	if m.FreeInS == nil {
		return 0
	}
	lacking := request
	lacking.Sub(m.Free, 1)
	return m.FreeInS(lacking)
}

// machinesWithRoom returns the machines with room for the smallest of the requests. In a large cluster most
// machines are full; without this filter every ranking would examine all of them.
func machinesWithRoom(machines []*Machine, pending []*PendingJob) []*Machine {
	if len(pending) == 0 {
		return nil
	}
	least := MinRequest(pending)
	out := make([]*Machine, 0, len(machines))
	for _, m := range machines {
		if m.Free.Fits(least) {
			out = append(out, m)
		}
	}
	return out
}
