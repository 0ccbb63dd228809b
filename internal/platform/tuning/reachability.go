package tuning

import "time"

// Whether machines hear the leader.
const (
	// UnreachablePause is how long a machine that did not hear us gets no work once it does again; it doubles each time up to
	// UnreachablePauseMax, and counts anew after UnreachableForget: a way that flaps costs a lease each time.
	UnreachablePause    = 5 * time.Second
	UnreachablePauseMax = time.Minute
	UnreachableForget   = 15 * time.Minute
	// ProbePause is the first pause between questions to a machine that does not answer; it doubles up to ProbePauseMax, so
	// that one that is back is found within that.
	ProbePause    = 2 * time.Second
	ProbePauseMax = 30 * time.Second
	// ProbeShare is the share of the commands on their way that questions may take, at least ProbeMin: commands of a pass
	// must not wait behind questions to hundreds of dead machines, each of which takes CommandTimeout. It grows up to
	// ProbeShareMost where that many are needed to ask all doubtful machines within ProbeWithinLease, as a share of a lease: at
	// one round of questions each SubsystemTick an eighth of 400 commands took 60 s for 6,000 machines.
	ProbeShare       = 0.125
	ProbeShareMost   = 0.5
	ProbeMin         = 4
	ProbeWithinLease = 0.5
	// ProbeRate is how many questions are sent a second, as a share of the reports that the machines send in one, at least
	// ProbeRateMin: a question costs about as much as a report.
	ProbeRate    = 0.5
	ProbeRateMin = 10.0
	// UnheardMachines is how many machines must have left commands unanswered, and UnheardFor how long none of any may
	// have been answered, for the leader to ask whether others reach them: then it is the leader's own way that is cut.
	UnheardMachines = 4
	UnheardFor      = 8 * time.Second
	// YieldFor is how long a leader that reaches no worker, though another member does, leaves the leadership to others.
	YieldFor = 60 * time.Second
)
