package machines

import (
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/reachability"
)

// AttemptID names one attempt of a task.
type AttemptID struct {
	Task    wire.TaskID
	Attempt uint64
}

func attemptOf(a *jobs.Allocation) AttemptID { return AttemptID{Task: a.Task(), Attempt: a.Attempt} }

// Resources is what tasks take of a machine or of a team's quota.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// Add adds n times another amount.
func (a *Resources) Add(b Resources, n float64) {
	a.CPUs += n * b.CPUs
	a.GPUs += n * b.GPUs
	a.MemoryGB += n * b.MemoryGB
}

// DemandOf returns what one task of a job takes.
func DemandOf(j *wire.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// Machine is a rented machine, as far as it is known. Like the Registry it belongs to the leader's loop.
type Machine struct {
	Name, Address, Type, Zone string
	Spot                      bool
	ListedAddress             string // its address by the cloud's list; empty: not listed

	Liveness
	Lifecycle
	Health
	CopyDetection
	Reachability reachability.State // whether commands and replies get to it

	Allocations      map[AttemptID]*jobs.Allocation
	used             Resources              // what they take, if usedValid
	usedValid        bool                   // no allocation came or went since used was summed up
	orphans          map[AttemptID]bool     // reported tasks that no record places here
	unansweredStarts map[AttemptID]int      // starts in direct commands that had no answer (yet)
	images           map[string]*imageUsage // images that its tasks had it fetch, by name
	lastReply        reply                  // to its newest heartbeat
}

// Liveness is which incarnation of a machine's worker is known, and until when it holds its lease.
type Liveness struct {
	Incarnation      uint64    // the newest one known
	seq              uint64    // of the newest message of that incarnation
	EndedIncarnation uint64    // this incarnation and the earlier ones are over, with all their tasks
	FencingToken     uint64    // the highest token that the worker is known to have seen
	LastHeartbeat    time.Time // when its newest heartbeat came; zero: none has come in this term
	LeaseExpiry      time.Time // by then its incarnation is over unless another heartbeat comes; zero: not counted
}

// Lifecycle is a machine's way from its rental to its return.
type Lifecycle struct {
	AddedAt        time.Time // when the registry learned of it
	RentedAt       time.Time // when it was rented, as far as known
	IdleSince      time.Time // since when it has no allocations
	InterruptionAt time.Time // when the cloud takes it, by its spot notice; zero: no notice
	Known          bool      // the cloud or a record names it; else only its own heartbeats do, which may be delayed copies
	RentedThisTerm bool      // rented in this term, so that no leader before can have returned it
	ListedRunning  bool      // the cloud lists it as running
	MissedListings int       // consecutive lists that lacked it, since it was last listed or sent a heartbeat
	Draining       bool      // it gets no more tasks while the others suffice, and is returned once empty
	Returning      bool      // it gets no more tasks and is being deleted
}

// Health is how well a machine does what it is told.
type Health struct {
	Unhealthy     bool            // tasks of several jobs failed on it
	failedJobs    map[string]bool // jobs that work elsewhere and had a task fail here since one completed here
	UnansweredAt  time.Time       // when the newest command was sent to it that had no answer
	RefusedAt     time.Time       // when it refused a task for lack of room
	RelativeSpeed RelativeSpeed   // how fast it runs tasks, compared with other machines
}

// CopyDetection is what tells a delayed copy of a heartbeat from a restart of a machine's worker process.
type CopyDetection struct {
	SuspectCopy       bool        // a heartbeat came that looks older than one before: a copy, or the process restarted
	probeIncarnation  uint64      // the incarnation to which the next probe is addressed; 0: the newest known
	lastBeforeRestart MessageMark // the newest message from before its process restarted; zero: it did not
	provisionalNotice bool        // its spot notice comes from a heartbeat that may be a copy
}

func newMachine(name string, now time.Time) *Machine {
	return &Machine{
		Name:             name,
		Lifecycle:        Lifecycle{AddedAt: now, IdleSince: now, RentedAt: now},
		Allocations:      map[AttemptID]*jobs.Allocation{},
		orphans:          map[AttemptID]bool{},
		unansweredStarts: map[AttemptID]int{},
		images:           map[string]*imageUsage{},
	}
}

// Usable reports whether the machine may be given work now, as far as reaching it goes: it has acknowledged a message of
// this term, or there is no reason to think that its heartbeats are copies, and it is not found unreachable. term is the
// leader's. A machine that holds a higher token obeys a later leader, or nobody.
func (m *Machine) Usable(term uint64, now time.Time) bool {
	if m.FencingToken > term {
		return false
	}
	trusted := m.RentedThisTerm || m.Known && m.FencingToken+1 >= term
	return m.Reachability.Usable(now, trusted)
}

// Alive reports whether the machine's present incarnation can run tasks.
func (m *Machine) Alive() bool {
	return (!m.LastHeartbeat.IsZero() || m.Reachability.EverAcknowledged()) && m.Incarnation > m.EndedIncarnation
}

// LastSeen returns when the machine last sent a heartbeat or answered the leader.
func (m *Machine) LastSeen() time.Time {
	if at := m.Reachability.AcknowledgedAt(); at.After(m.LastHeartbeat) {
		return at
	}
	return m.LastHeartbeat
}

// HasOrphans reports whether tasks run there that no record places there.
func (m *Machine) HasOrphans() bool { return len(m.orphans) > 0 }

// Used returns what the tasks that may be on the machine take.
func (m *Machine) Used() Resources {
	if !m.usedValid {
		m.used, m.usedValid = Resources{}, true
		for _, allocation := range m.Allocations {
			m.used.Add(DemandOf(&allocation.Job.Job), 1)
		}
	}
	return m.used
}

// NoteFailure counts a failed task of a job that works elsewhere. The machine is unhealthy once several such jobs failed
// on it (tuning.FaultyMachineJobs).
func (m *Machine) NoteFailure(job string) {
	if m.failedJobs == nil {
		m.failedJobs = map[string]bool{}
	}
	m.failedJobs[job] = true
	m.Unhealthy = m.Unhealthy || len(m.failedJobs) >= tuning.FaultyMachineJobs
}

// NoteCompletion records that a task completed on the machine: what failed there before no longer counts against it.
func (m *Machine) NoteCompletion() { clear(m.failedJobs) }
