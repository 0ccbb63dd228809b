package placement

import "math"

// Machine is the view of a machine on which tasks can be placed.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Price            float64 // per hour, of the whole machine
	Total, Free      Resources
	// FetchS returns after how many seconds the machine would have an image of gb
	// gigabytes; nil: at once. It must return the same for the length of a cycle.
	FetchS func(image string, gb float64) float64
	// FreeInS returns after how many seconds the tasks that end by themselves have
	// freed the resources that are lacking; +Inf: never; nil: it is not known.
	FreeInS func(lacking Resources) float64
	// Victims are the tasks on the machine that may be preempted.
	Victims []Victim
	// Unacknowledged says that the machine has not yet proved that it receives this
	// leader's commands.
	Unacknowledged bool

	reservedFor string // ID of the job for which it is reserved, or a mark of a dry run
}

// fetchS returns the time until the machine has the image, rounded to seconds.
func (m *Machine) fetchS(image string, gb float64) float64 {
	if m.FetchS == nil {
		return 0
	}
	return math.Round(m.FetchS(image, gb))
}

// freeInS returns after how many seconds the machine has room for a task; +Inf:
// never; 0 if it is not known.
func (m *Machine) freeInS(request Resources) float64 {
	if m.FreeInS == nil {
		return 0
	}
	lacking := request
	lacking.Sub(m.Free, 1)
	return m.FreeInS(lacking)
}

// machinesWithRoom returns the machines with room for the smallest of the requests. In
// a large cluster most machines are full, and every search would look at each.
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
