package tuning

import "time"

// Reachability probing: whether machines receive the leader's commands.
const (
	// UnreachablePause is how long a machine that did not receive our commands gets no
	// work once it does again; it doubles each time up to UnreachablePauseMax, and starts
	// anew after UnreachableForget: each flap of the connection costs a lease.
	UnreachablePause    = 5 * time.Second
	UnreachablePauseMax = time.Minute
	UnreachableForget   = 15 * time.Minute
	// ProbePause is the first pause between probes of a machine that does not answer; it
	// doubles up to ProbePauseMax, so that one that is back is found within that.
	ProbePause    = 2 * time.Second
	ProbePauseMax = 30 * time.Second
	// ProbeShare is the share of the commands in flight that probes may take, at least
	// ProbeMin: commands of a scheduling cycle must not wait behind probes of hundreds of
	// dead machines, each of which takes CommandTimeout.
	ProbeShare       = 0.125
	ProbeShareMost   = 0.5
	ProbeMin         = 4
	ProbeWithinLease = 0.5
	// ProbeRate is how many probes are sent, as a share of the heartbeats that the
	// machines send in the same time, at least ProbeRateMin per second: a probe costs
	// about as much as a heartbeat.
	ProbeRate    = 0.5
	ProbeRateMin = 10.0
	// UnheardMachines is how many machines must have left commands unanswered, and
	// UnheardFor how long none of any may have been answered, for the leader to ask
	// whether others reach them: then it is the leader's own connection that is cut.
	UnheardMachines = 4
	UnheardFor      = 8 * time.Second
	// YieldFor is how long a leader that reaches no worker, though another member does,
	// leaves the leadership to others.
	YieldFor = 60 * time.Second
)
