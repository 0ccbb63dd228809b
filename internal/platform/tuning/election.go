package tuning

import "time"

// The election: the leader's lease, votes, confirmations and fencing leases.
const (
	// LeaderLeaseTTL is the time to live of the leader's lease. A shorter one replaces a dead leader sooner. A
	// longer one survives slow answers of the key-value store (occasionally several hundred ms) and a
	// process that gets little CPU time.
	LeaderLeaseTTL = 4 * time.Second
	// LeaderLeaseRenewEvery is the interval between renewals. Three renewals may fail within LeaderLeaseTTL.
	LeaderLeaseRenewEvery = 1 * time.Second
	// LeaseCallTimeout bounds a call that grants, renews or revokes a lease, so that another renewal can follow
	// an unanswered one.
	LeaseCallTimeout = 1 * time.Second
	// ElectionRetryPause is the pause after a failed step of the election.
	ElectionRetryPause = 250 * time.Millisecond
	// CampaignRetryPause is the pause of a member that may not campaign yet.
	CampaignRetryPause = 100 * time.Millisecond
	// VoteValidity is how long a vote is valid: a member that voted for the leader neither campaigns nor confirms
	// a candidate in that time. Members vote while the key-value store answers neither them nor the leader.
	// VoteValidity bounds how much later another member can become leader if the leader dies during such an
	// outage.
	VoteValidity = 1200 * time.Millisecond
	// ConfirmationValidity is how long a confirmation by another member is valid. The candidate must become
	// leader within that time. Becoming leader takes three calls to the key-value store, each of which takes at
	// worst several hundred ms.
	ConfirmationValidity = 3 * time.Second
	// FencingLeaseTTL is how long a silent member stays fenced off without a renewal. For that long, a leader
	// that has the votes of all other members continues to lead its workers through an outage of the key-value
	// store. Outages last about half a minute. FencingLeaseRenewEvery is the interval between renewals.
	FencingLeaseTTL        = 40 * time.Second
	FencingLeaseRenewEvery = 3 * time.Second
	// YieldAfterFailedRenewals is the number of renewals that must fail, after the key-value store was first
	// seen to answer another member, before the leader hands over. A single failure does not suffice, because
	// that renewal may have been sent before the store answered the other member.
	YieldAfterFailedRenewals = 2
	// CampaignAfterVacancy is how long the leader key must be vacant before a member that leaves the leadership
	// to others campaigns all the same. Another member's campaign takes three calls, and a member that has
	// just started waits for VoteValidity.
	CampaignAfterVacancy = 5 * time.Second
	// VoteEvery is the interval at which the leader asks for votes. Several attempts may fail while a vote is
	// valid.
	VoteEvery = 250 * time.Millisecond
	// VoteProbeTimeout bounds a member's probe of the key-value store before it votes. It must fit RelayTimeout.
	VoteProbeTimeout = 400 * time.Millisecond
	// LeaderWatchWait is how long one watch request of a follower waits for a change of the leader key.
	LeaderWatchWait = 10 * time.Second
	// WatchGrace is added to the wait of a watch request to give its client timeout.
	WatchGrace = 3 * time.Second
	// ClockDriftShare is the share by which two monotonic clocks may drift apart. The protocol allows 0.05 % for
	// each clock.
	ClockDriftShare = 0.001
)
