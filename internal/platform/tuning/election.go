package tuning

import "time"

// The election: the leader's lease, votes, confirmations and fencing leases.
const (
	// LeaseTTL is the life of the leader's lease. A shorter one replaces a dead leader
	// sooner; a longer one survives slow answers of the key-value store (now and then
	// several hundred ms) and a starved processor.
	LeaseTTL = 4 * time.Second
	// RenewEvery is the time between renewals: three may fail within LeaseTTL.
	RenewEvery = 1 * time.Second
	// RenewTimeout ends a renewal that gets no answer, so that another can follow.
	RenewTimeout = 1 * time.Second
	// RetryLeader is the pause after a failed step of the election.
	RetryLeader = 250 * time.Millisecond
	// RetryCampaign is the pause of a member that may not campaign yet.
	RetryCampaign = 100 * time.Millisecond
	// VoteFor is how long a member's vote binds it not to campaign while the key-value
	// store answers neither it nor the leader. It bounds how much later another member can
	// lead when the leader dies in an outage.
	VoteFor = 1200 * time.Millisecond
	// ConfirmationFor is how long a member may take from asking another to confirm it
	// until it leads: three calls to the key-value store, some hundred ms each at the
	// worst.
	ConfirmationFor = 3 * time.Second
	// FencingLeaseTTL is how long a silent member stays fenced off without a renewal: for
	// as long a leader with the votes of all others keeps the workers in an outage.
	// Observed outages last half a minute. FencingLeaseRenew is how often it is renewed.
	FencingLeaseTTL   = 40 * time.Second
	FencingLeaseRenew = 3 * time.Second
	// YieldAfter is how many more renewals must fail before the leader hands over to a
	// member that the key-value store was seen to answer: one renewal may have been on its
	// way.
	YieldAfter = 2
	// YieldVacantAfter is how long the leader key must be vacant before a member that
	// yields campaigns: another's campaign takes three calls, and one that has just
	// started waits for VoteFor.
	YieldVacantAfter = 5 * time.Second
	// VoteEvery is how often the leader asks for votes: several rounds may fail.
	VoteEvery = 250 * time.Millisecond
	// ProbeTimeout ends the probe of the key-value store before a vote; it must fit
	// RelayTimeout.
	ProbeTimeout = 400 * time.Millisecond
	// LeaderWatch is how long a follower's watch of the leader key waits.
	LeaderWatch = 10 * time.Second
	// WatchGrace is added to a watch's own wait before it is given up.
	WatchGrace = 3 * time.Second
	// ClockDrift is the share by which two monotonic clocks may drift apart: the
	// protocol's 0.05 % on each side.
	ClockDrift = 0.001
)
