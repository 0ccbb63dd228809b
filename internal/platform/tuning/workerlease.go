package tuning

import "time"

// Followers that renew workers' leases on behalf of the leader.
const (
	// RedirectMemory is how long a follower remembers that it redirected a worker to the
	// leader: one that comes back sooner did not find it (4 s for an answer, 1 s until the
	// next node, twice).
	RedirectMemory = 15 * time.Second
	// RedirectsMin is how many workers that memory holds before it looks for those that it
	// may forget; then as soon as there are twice as many as were left.
	RedirectsMin = 1024
	// FollowerLeaseRenew is how often a follower renews the record of the machines whose
	// heartbeats it answers.
	FollowerLeaseRenew = 1 * time.Second
	// FollowerLeaseGather is how long the first of several workers waits for the others,
	// to share a write.
	FollowerLeaseGather = 100 * time.Millisecond
	// FollowerLeaseExtra is added to twice a worker's lease as that record's life.
	FollowerLeaseExtra = 10 * time.Second
	// FollowerLeaseWait is how long a heartbeat may wait for that record: a worker waits
	// 4 s, and relaying it to the leader was tried first.
	FollowerLeaseWait = 2 * time.Second
	// HeartbeatLateFactor times the workers' interval is the longest pause between their
	// heartbeats. WorkerSearch is how long they may have searched for a node, or nobody
	// was there, before they came; WorkerPatience is the share of what a lease leaves
	// beyond both for which they are redirected rather than kept.
	HeartbeatLateFactor = 1.25
	WorkerSearch        = 15 * time.Second
	WorkerPatience      = 0.25
	// RenewedQueryShare is the share of a worker's lease within which every worker that a follower keeps is asked whether it
	// is there. The rate of these questions is the number of such workers over that time, RenewedQueryRateLeast a second at
	// the least: a fixed 40 a second took 100 s for 4,000 workers, longer than their leases. Each costs about as much as
	// a report, and there are several reports in half a lease.
	RenewedQueryShare     = 0.5
	RenewedQueryRateLeast = 40.0
	// RenewedQueryAnswer is the time that a live worker takes to answer such a question at the most, so that the rate times it is
	// how many are on their way at a time: RenewedQueriesLeast at the least, and no more than the member may send commands.
	RenewedQueryAnswer  = 250 * time.Millisecond
	RenewedQueriesLeast = 32
	// LeaderRetryHint is after how long a worker that a follower answers, without
	// commands, is redirected to the leader once more; if it does not find the leader, it
	// loses about 5 s of its lease.
	LeaderRetryHint = 20 * time.Second
	// LeaderPingEvery is how often a follower pings the leader, and LeaderPingsMissed how
	// many pings in a row must have no answer for a partition: a starved process may miss
	// one.
	LeaderPingEvery   = 1 * time.Second
	LeaderPingsMissed = 2
	// IsolatedFor is how long no other member may have answered for this one to count as
	// cut off from all of them; with a key-value store that does not answer either it is
	// not healthy. A starved process misses a few pings.
	IsolatedFor = 6 * time.Second
	// ZoneLeaseTTL is how long a member that reaches neither the leader nor the key-value
	// store goes on answering the workers of its own zone: most partitions of a zone last
	// about a minute, and one of 170 s was served better with 300 s than with 120, arrays
	// too. If the member ends with its zone, machines that the cloud does not list as
	// failed count for as long.
	ZoneLeaseTTL = 300 * time.Second
	// ZoneLeaseRenew is how often that lease is renewed: a partition finds it shortened by
	// so much at the most.
	ZoneLeaseRenew = 5 * time.Second
	// MaxTTL is the longest lease that the key-value store grants.
	MaxTTL = 600 * time.Second
	// RenewedNamesBytes is what the names of one question about machines may take of a frame (PeerFrameBytes), and NameBytes what a name
	// takes beside its own length: its place in the vector, its length, its end and the alignment. All questions
	// together have RelayTimeout: 400 names in each were 15 questions for 6,000 machines, one after the other.
	RenewedNamesBytes = 64 << 10
	NameBytes         = 12
	// WorkerTry is how long a worker spends on a controller that does not answer: 4 s for
	// the answer, 1 s until the next.
	WorkerTry = 5 * time.Second
	// ProbeLeaseShare is the share of a worker's lease within which it must be back if it
	// is redirected to a leader that does not answer us.
	ProbeLeaseShare = 0.8
	// RenewedQueryTime is how long the leader may take to read these records and to ask the members, once: longer, and nothing is
	// concluded. What they tell goes back for so much more than a lease, so that all of them speak of the time at which the
	// leader began. State services that answer in half a second, and pages of records, have room in it; a dead machine
	// that a follower answered is found so much later.
	RenewedQueryTime = 3 * time.Second
	// RenewedReadEvery is the least time between two readings of these records by the leader.
	RenewedReadEvery = 500 * time.Millisecond
)
