package tuning

import "time"

// Reachability probing: whether machines receive the leader's commands.
const (
	// UnreachablePause is how long a machine that was unreachable for commands gets no tasks after it is
	// reachable again. The pause doubles each time the machine becomes unreachable again, up to
	// UnreachablePauseMax. If the machine becomes unreachable more than UnreachableForgetAfter after the last
	// pause ended, the next pause is UnreachablePause again. There is a pause because each interruption of the
	// connection can cost the worker its lease, and with it the machine's tasks.
	UnreachablePause       = 5 * time.Second
	UnreachablePauseMax    = time.Minute
	UnreachableForgetAfter = 15 * time.Minute
	// ProbePause is the first pause between probes of a machine that does not answer. It doubles up to
	// ProbePauseMax, which bounds how late a machine's recovery is noticed.
	ProbePause    = 2 * time.Second
	ProbePauseMax = 30 * time.Second
	// ProbeCommandShare is the share of the allowed commands in flight that probes may always use. The
	// commands of a scheduling cycle must not wait behind probes of hundreds of dead machines, each of which
	// takes CommandTimeout. If many machines are suspect, probes may use up to ProbeCommandShareMax, as far as
	// is needed to probe all of them within ProbeAllLeaseShare, a share of the duration of a worker's lease.
	// ProbesInFlightMin is the number of probes in flight that is always allowed.
	ProbeCommandShare    = 0.125
	ProbeCommandShareMax = 0.5
	ProbesInFlightMin    = 4
	ProbeAllLeaseShare   = 0.5
	// ProbesPerHeartbeat is the number of probes for each heartbeat that the machines send in the same time. A probe
	// costs about as much as a heartbeat. ProbesPerSecondMin is the lowest rate, in probes per second.
	ProbesPerHeartbeat = 0.5
	ProbesPerSecondMin = 10.0
	// UnansweredMachinesMin and UnansweredFor decide when the leader asks other members whether they reach the
	// machines that do not answer it. At least UnansweredMachinesMin machines must have left commands
	// unanswered, and no machine may have answered a command for UnansweredFor. If other members reach these
	// machines, the leader's own connection is cut.
	UnansweredMachinesMin = 4
	UnansweredFor         = 8 * time.Second
	// YieldFor is how long a leader that reaches no worker, although another member does, leaves the
	// leadership to others.
	YieldFor = 60 * time.Second
)
