package tuning

import "time"

// Reachability probing: whether machines receive the leader's commands.
const (
	// UnreachablePause is how long a machine that was unreachable for commands gets no tasks after it is
	// reachable again. The pause doubles each time up to UnreachablePauseMax and is reset after
	// UnreachableForget. Each interruption of the connection can cost the tasks a lease.
	UnreachablePause    = 5 * time.Second
	UnreachablePauseMax = time.Minute
	UnreachableForget   = 15 * time.Minute
	// ProbePause is the first pause between probes of a machine that does not answer. It doubles up to
	// ProbePauseMax, which bounds how late a machine's recovery is noticed.
	ProbePause    = 2 * time.Second
	ProbePauseMax = 30 * time.Second
	// ProbeShare is the share of the commands in flight that probes may always use. The commands of a
	// scheduling cycle must not wait behind probes of hundreds of dead machines, each of which takes
	// CommandTimeout. If many machines are suspect, probes may use up to ProbeShareMost, as far as is needed
	// to probe all of them within ProbeWithinLease, a share of the workers' lease. ProbeMin is the number of
	// probes in flight that is always allowed.
	ProbeShare       = 0.125
	ProbeShareMost   = 0.5
	ProbeMin         = 4
	ProbeWithinLease = 0.5
	// ProbeRate is the number of probes for each heartbeat that the machines send in the same time. A probe
	// costs about as much as a heartbeat. ProbeRateMin is the lowest rate, in probes per second.
	ProbeRate    = 0.5
	ProbeRateMin = 10.0
	// UnheardMachines is the number of machines that must have left commands unanswered, and UnheardFor the
	// time for which no machine may have answered any, before the leader asks other members whether they
	// reach these machines. If they do, the leader's own connection is cut.
	UnheardMachines = 4
	UnheardFor      = 8 * time.Second
	// YieldFor is how long a leader that reaches no worker, although another member does, leaves the
	// leadership to others.
	YieldFor = 60 * time.Second
)
