package tuning

import "time"

// Followers that renew workers' leases on behalf of the leader.
const (
	// RedirectMemory is how long a follower remembers that it redirected a worker to the leader. A worker
	// that returns sooner did not find the leader: it waits 4 s for an answer and 1 s until it tries the
	// next node, twice.
	RedirectMemory = 15 * time.Second
	// RedirectsMin is the number of remembered workers at which the follower first removes expired entries.
	// After that it does so whenever their number has doubled since the last removal.
	RedirectsMin = 1024
	// FollowerLeaseRenew is the interval at which a follower renews its stored record of the machines whose
	// heartbeats it answers.
	FollowerLeaseRenew = 1 * time.Second
	// FollowerLeaseGather is how long the first of several workers waits for others to share a write.
	FollowerLeaseGather = 100 * time.Millisecond
	// FollowerLeaseExtra is added to twice a worker's lease to give the time to live of that record.
	FollowerLeaseExtra = 10 * time.Second
	// FollowerLeaseWait is how long a heartbeat may wait for the record to be written. A worker waits 4 s,
	// and the follower has already tried to relay the heartbeat to the leader.
	FollowerLeaseWait = 2 * time.Second
	// HeartbeatLateFactor is the longest pause between a worker's heartbeats, as a multiple of the heartbeat
	// interval. WorkerSearch is how long a worker may have searched for a controller before its heartbeat
	// arrives, and how long no worker may have asked before a new search begins. WorkerPatience is the share
	// of what a lease leaves beyond both times, during which workers are redirected instead of having their
	// leases renewed.
	HeartbeatLateFactor = 1.25
	WorkerSearch        = 15 * time.Second
	WorkerPatience      = 0.25
	// RenewedQueryShare is the share of a worker's lease within which a follower queries every worker whose
	// lease it renews, to confirm that the worker is alive. The number of these workers over that time gives
	// the rate of queries. RenewedQueryRateLeast is the lowest rate, in queries per second: a fixed rate of
	// 40 needed 100 s for 4,000 workers, longer than their leases. A query costs about as much as a
	// heartbeat, and a worker sends several heartbeats in half a lease.
	RenewedQueryShare     = 0.5
	RenewedQueryRateLeast = 40.0
	// RenewedQueryAnswer is the longest time that a live worker takes to answer such a query. The rate times
	// this time is the number of queries in flight, but at least RenewedQueriesLeast and at most the number
	// of commands that the member may have in flight.
	RenewedQueryAnswer  = 250 * time.Millisecond
	RenewedQueriesLeast = 32
	// LeaderRetryHint is how long a follower answers a worker, without commands, before it redirects the
	// worker to the leader once more. A worker that does not find the leader loses about 5 s of its lease.
	LeaderRetryHint = 20 * time.Second
	// LeaderPingEvery is the interval at which a follower pings the leader. LeaderPingsMissed is the number
	// of consecutive unanswered pings that count as a partition: a process that gets little CPU time may
	// miss one.
	LeaderPingEvery   = 1 * time.Second
	LeaderPingsMissed = 2
	// IsolatedFor is how long no other member may have answered for this member to count as isolated. If
	// the key-value store does not answer either, the member is unhealthy. A process that gets little CPU
	// time misses a few pings.
	IsolatedFor = 6 * time.Second
	// ZoneLeaseTTL is how long a member that reaches neither the leader nor the key-value store continues
	// to answer the workers of its own zone. Most partitions of a zone last about a minute. During one of
	// 170 s, jobs fared better with 300 s than with 120 s, arrays included. If the member fails together
	// with its zone, machines that the cloud does not list as failed count as alive for as long.
	ZoneLeaseTTL = 300 * time.Second
	// ZoneLeaseRenew is the interval at which the zone lease is renewed. A partition can find the lease
	// shortened by at most this time.
	ZoneLeaseRenew = 5 * time.Second
	// MaxTTL is the longest lease that the key-value store grants.
	MaxTTL = 600 * time.Second
	// RenewedNamesBytes bounds the machine names in one query between members, in bytes; a message is
	// a little larger. NameBytes is the overhead of a name besides its own length: its vector entry,
	// length, terminator and alignment. All queries together must complete within RelayTimeout: with 400
	// names in each, 6,000 machines needed 15 queries in sequence.
	RenewedNamesBytes = 64 << 10
	NameBytes         = 12
	// WorkerTry is how long a worker spends on a controller that does not answer: 4 s for the answer and
	// 1 s until it tries the next.
	WorkerTry = 5 * time.Second
	// ProbeLeaseShare is the share of a worker's lease within which the worker must be able to return if it
	// is redirected to a leader that does not answer this member.
	ProbeLeaseShare = 0.8
	// RenewedQueryTime bounds how long the leader may take to read these records and to query the members
	// once. If it takes longer, the leader concludes nothing. The members' answers cover this time in
	// addition to a lease, so that all of them cover the whole lease before the leader began. The bound has
	// room for a key-value store that answers in half a second and for several pages of records. A dead
	// machine that a follower answered is detected later by this time.
	RenewedQueryTime = 3 * time.Second
	// RenewedReadEvery is the shortest time between two readings of these records by the leader.
	RenewedReadEvery = 500 * time.Millisecond
)
