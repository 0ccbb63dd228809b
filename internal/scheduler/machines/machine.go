package machines

import (
	"time"

	"poppypass/internal/platform/fencingtoken"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
	"poppypass/internal/scheduler/reachability"
)

// AttemptID identifies one attempt of a task.
type AttemptID struct {
	Task    wire.TaskID
	Attempt uint64
}

func attemptOf(a *jobs.Allocation) AttemptID { return AttemptID{Task: a.Task(), Attempt: a.Attempt} }

// Resources is the amount of a machine's resources, or of a team's quota, that tasks use.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// Add adds n times b.
func (a *Resources) Add(b Resources, n float64) {
	a.CPUs += n * b.CPUs
	a.GPUs += n * b.GPUs
	a.MemoryGB += n * b.MemoryGB
}

// DemandOf returns the resources that one task of a job uses.
func DemandOf(j *wire.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// Machine is what the leader knows of a rented machine. Like the Registry it belongs to the leader's loop and is not
// safe for concurrent use.
type Machine struct {
	Name, Address, Type, Zone string
	Spot                      bool
	ListedAddress             string // its address in the cloud's list of machines; empty: not listed

	Liveness
	Lifecycle
	Health
	CopyDetection
	Reachability reachability.State // whether commands and replies reach it

	Allocations   map[AttemptID]*jobs.Allocation // tasks that may be on it, until they are proven gone
	used          Resources                      // sum over Allocations, if usedValid
	usedValid     bool                           // Allocations has not changed since used was computed
	orphans       map[AttemptID]bool             // tasks that it reported and that no record allocates to it
	tokens        commandTokens                  // the fencing tokens of the commands to it
	retainedBytes int                            // bytes in its newest heartbeat of exited attempts that wait for a higher token
	images        map[string]*imageUsage         // images that it fetched for its tasks, by name
	lastReply     reply                          // the reply to its newest heartbeat
}

// Liveness is the newest known incarnation of a machine's worker, and until when it may hold its lease. A worker
// begins a new incarnation, without tasks, when its lease expires.
type Liveness struct {
	Incarnation      uint64    // the newest known one
	seq              uint64    // sequence number of the newest message of that incarnation
	EndedIncarnation uint64    // this incarnation and all earlier ones are over, with all their tasks
	FencingToken     uint64    // the highest token that the worker is known to have seen
	LastHeartbeat    time.Time // when its newest heartbeat arrived; zero: none in this term
	LeaseExpiry      time.Time // when its incarnation is over unless another heartbeat arrives; zero: no lease is known
}

// Lifecycle is the state of a machine from its rental to its return to the cloud.
type Lifecycle struct {
	AddedAt        time.Time // when it was added to the registry
	RentedAt       time.Time // when it was rented, or when it was added if that is not known
	IdleSince      time.Time // since when it has had no allocations
	InterruptionAt time.Time // when the cloud takes it back according to its spot notice; zero: no notice
	Confirmed      bool      // the cloud or a stored record names it; false: only its heartbeats do, perhaps delayed copies
	RentedThisTerm bool      // rented in this term, so no earlier leader can have returned it
	ListedRunning  bool      // the cloud lists it as running
	MissedListings int       // consecutive cloud lists without it, since it was last listed or sent a heartbeat
	Draining       bool      // it gets no new tasks while the other machines suffice, and is returned once empty
	Returning      bool      // it gets no new tasks and is being deleted
}

// Health is how reliably a machine runs tasks and answers commands.
type Health struct {
	Unhealthy           bool            // tasks of several jobs failed on it, or it is slow
	failedJobs          map[string]bool // jobs, by ID, that have run well and had a task fail on it since a task last completed on it
	UnansweredCommandAt time.Time       // when the newest command that had no answer was sent
	RefusalPauseUntil   time.Time       // until when it gets no tasks, because it refused one for lack of room
	RelativeSpeed       RelativeSpeed   // how fast it runs tasks, compared with other machines
}

// CopyDetection is the state that distinguishes a delayed copy of a heartbeat from a restart of a machine's worker
// process.
type CopyDetection struct {
	// SuspectCopy is true if a message looked like a delayed copy. Either it is one or the process was restarted, so
	// the machine is probed.
	SuspectCopy       bool
	probeIncarnation  uint64      // incarnation to which the next probe is addressed; 0: the newest known one
	lastBeforeRestart MessageMark // newest message from before its process was restarted; zero: no restart is known
	provisionalNotice bool        // its spot notice is from a heartbeat that may be a copy
}

func newMachine(name string, term uint64, now time.Time) *Machine {
	return &Machine{
		Name:        name,
		Lifecycle:   Lifecycle{AddedAt: now, IdleSince: now, RentedAt: now},
		Allocations: map[AttemptID]*jobs.Allocation{},
		orphans:     map[AttemptID]bool{},
		tokens:      newCommandTokens(term),
		images:      map[string]*imageUsage{},
	}
}

// Usable reports whether the machine can be reached well enough to get tasks now. It must have acknowledged a message
// of this term, or there must be no reason to suspect that its heartbeats are delayed copies. It must not count as
// unreachable, nor have been unreachable until shortly before. term is the leader's term. A machine with a fencing token
// above those of the term does not obey this leader: it obeys a later one, or nobody.
func (m *Machine) Usable(term uint64, now time.Time) bool {
	if m.FencingToken > fencingtoken.Last(term) {
		return false
	}
	trusted := m.RentedThisTerm || m.Confirmed && m.FencingToken >= fencingtoken.FirstOfPrevious(term)
	return m.Reachability.Usable(now, trusted)
}

// Alive reports whether the machine has been heard from in this term and its newest incarnation is not over, so that
// it can run tasks.
func (m *Machine) Alive() bool {
	return (!m.LastHeartbeat.IsZero() || m.Reachability.EverAcknowledged()) && m.Incarnation > m.EndedIncarnation
}

// LastSeen returns when the machine last sent a heartbeat or acknowledged a message; zero: never in this term.
func (m *Machine) LastSeen() time.Time {
	if at := m.Reachability.AcknowledgedAt(); at.After(m.LastHeartbeat) {
		return at
	}
	return m.LastHeartbeat
}

// HasOrphans reports whether the machine runs tasks that no record allocates to it.
func (m *Machine) HasOrphans() bool { return len(m.orphans) > 0 }

// Used returns the resources that are used by the tasks that may be on the machine.
func (m *Machine) Used() Resources {
	if !m.usedValid {
		m.used, m.usedValid = Resources{}, true
		for _, allocation := range m.Allocations {
			m.used.Add(DemandOf(&allocation.Job.Job), 1)
		}
	}
	return m.used
}

// NoteFailure records that a task of a job that has run well failed on the machine. The machine is unhealthy once
// tasks of tuning.FaultyMachineJobsMin such jobs have failed on it.
func (m *Machine) NoteFailure(job string) {
	if m.failedJobs == nil {
		m.failedJobs = map[string]bool{}
	}
	m.failedJobs[job] = true
	m.Unhealthy = m.Unhealthy || len(m.failedJobs) >= tuning.FaultyMachineJobsMin
}

// NoteCompletion records that a task completed on the machine. Earlier failures no longer count against it.
func (m *Machine) NoteCompletion() { clear(m.failedJobs) }
