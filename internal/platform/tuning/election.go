package tuning

import "time"

// The election: the leader's lease, votes, confirmations and fencing leases.
const (
	// LeaseTTL is the life of the leader's lease. Shorter ends a dead
	// leader's reign sooner; longer survives slow answers of the state service
	// (now and then several hundred ms) and a starved processor.
	LeaseTTL = 4 * time.Second
	// RenewEvery is the time between renewals: three may fail within a TTL.
	RenewEvery = 1 * time.Second
	// RenewTimeout ends a renewal that gets no answer, so that another can follow.
	RenewTimeout = 1 * time.Second
	// RetryLeader is the pause after a failed step of the leadership.
	RetryLeader = 250 * time.Millisecond
	// RetryCampaign is the pause of a member that may not campaign yet.
	RetryCampaign = 100 * time.Millisecond
	// VoteFor is how long a member promises not to campaign while the
	// state service answers neither it nor the leader. It bounds how much later
	// another can lead when the leader dies in an outage.
	VoteFor = 1200 * time.Millisecond
	// ConfirmationFor is how long a member may take from asking another to vouch for it
	// until it leads: three calls to the state service, some hundred ms each at the worst.
	ConfirmationFor = 3 * time.Second
	// FencingLeaseTTL is how long a silent member stays fenced off without a renewal: for
	// as long a leader with the promises of all others keeps the workers in an
	// outage. Those seen last half a minute. FencingLeaseRenew is how often it is renewed.
	FencingLeaseTTL   = 40 * time.Second
	FencingLeaseRenew = 3 * time.Second
	// YieldAfter is how many more renewals must fail before the leader hands over to
	// a member that was seen to be served: one may have been on its way.
	YieldAfter = 2
	// YieldVacantAfter is how long the leader key must be vacant for a member to campaign that stands aside: another's campaign
	// takes three calls, and one that was just started waits for VoteFor.
	YieldVacantAfter = 5 * time.Second
	// VoteEvery is how often the leader asks for promises: several rounds may fail.
	VoteEvery = 250 * time.Millisecond
	// ProbeTimeout ends the look at the state service before a promise; it
	// must fit RelayTimeout.
	ProbeTimeout = 400 * time.Millisecond
	// LeaderWatch is how long a follower's watch of the leader key waits.
	LeaderWatch = 10 * time.Second
	// WatchGrace is added to a watch's own wait before it is given up.
	WatchGrace = 3 * time.Second
	// ClockDrift is the share by which two steady clocks may drift apart: the
	// protocol's 0.05 % on each side.
	ClockDrift = 0.001
)
