package tuning

import "time"

// Followers that renew workers' leases on behalf of the leader.
const (
	// RedirectMemory is how long a follower remembers that it redirected a worker to the leader. A worker that
	// returns sooner did not find the leader. It returns after trying two controllers: for each of them it
	// waits 4 s for an answer and 1 s until it tries the next.
	RedirectMemory = 15 * time.Second
	// RedirectsSweepMin is the number of remembered workers at which the follower first removes expired entries.
	// After that it does so whenever their number has doubled since the last removal.
	RedirectsSweepMin = 1024
	// FollowerLeaseRenewEvery is the interval at which a follower renews its stored record of the machines whose
	// heartbeats it answers.
	FollowerLeaseRenewEvery = 1 * time.Second
	// FollowerLeaseBatchDelay is how long the first of several workers waits, so that one write of the record
	// covers them all.
	FollowerLeaseBatchDelay = 100 * time.Millisecond
	// FollowerLeaseExtra is added to twice the duration of a worker's lease to give the time to live of a
	// follower's stored record. It is also a part of the time to live of a stored zone lease.
	FollowerLeaseExtra = 10 * time.Second
	// FollowerLeaseTimeout is how long a heartbeat may wait for the follower's record to be written. A worker
	// waits 4 s, and the follower has already tried to relay the heartbeat to the leader.
	FollowerLeaseTimeout = 2 * time.Second
	// HeartbeatLateFactor is the longest pause between a worker's heartbeats, as a multiple of the heartbeat
	// interval. WorkerSearchTime is how long a worker may have searched for a controller before its heartbeat
	// arrives. After WorkerSearchTime without a request of any worker, the next request begins a new search. If a
	// worker's lease lasts longer than the longest pause and the search together, ElectionGraceShare is the
	// share of the remaining time during which workers are redirected instead of having their leases renewed.
	HeartbeatLateFactor = 1.25
	WorkerSearchTime    = 15 * time.Second
	ElectionGraceShare  = 0.25
	// RenewedQueryLeaseShare is the share of the duration of a worker's lease within which a follower queries
	// every worker whose lease it renews, to confirm that the worker is alive. The rate of queries is the number
	// of these workers, divided by that time. RenewedQueriesPerSecondMin is the lowest rate, in queries per
	// second. At a fixed rate of 40 per second, querying 4,000 workers would take 100 s, longer than their
	// leases last. A query costs about as much as a heartbeat, and a worker sends several heartbeats within half
	// the duration of its lease.
	RenewedQueryLeaseShare     = 0.5
	RenewedQueriesPerSecondMin = 40.0
	// RenewedQueryAnswerTime is the longest time that a live worker takes to answer such a query. The number
	// of queries in flight is the rate multiplied by this time, but at least RenewedQueriesInFlightMin and at
	// most the number of commands that the member may have in flight.
	RenewedQueryAnswerTime    = 250 * time.Millisecond
	RenewedQueriesInFlightMin = 32
	// LeaderRedirectAfter is how long a follower answers a worker, without commands, before it redirects the
	// worker to the leader once more. A worker that does not find the leader loses about 5 s of its lease.
	LeaderRedirectAfter = 20 * time.Second
	// LeaderPingEvery is the interval at which a follower pings the leader. LeaderPingsMissedMin is the number
	// of consecutive unanswered pings that count as a partition: a process that gets little CPU time may
	// miss one.
	LeaderPingEvery      = 1 * time.Second
	LeaderPingsMissedMin = 2
	// IsolatedAfter is how long no other member may have answered for this member to count as isolated. If
	// the key-value store does not answer either, the member is unhealthy. A process that gets little CPU
	// time misses a few pings.
	IsolatedAfter = 6 * time.Second
	// ZoneLeaseTTL is how long a member that reaches neither the leader nor the key-value store continues to
	// answer the workers of its own zone. Most partitions of a zone last about a minute, but some take longer.
	// In a partition of 170 s, a member with a time to live of 120 s stops answering before the partition ends;
	// with 300 s it does not, which is better for jobs of all kinds, including arrays. If the member fails
	// together with its zone, however, the zone's machines count as alive for this time, except those that the
	// cloud lists as failed.
	ZoneLeaseTTL = 300 * time.Second
	// ZoneLeaseRenewEvery is the interval at which the zone lease is renewed. At the beginning of a partition,
	// at most this much of the lease's time to live has elapsed.
	ZoneLeaseRenewEvery = 5 * time.Second
	// StateLeaseMaxTTL is the longest lease that the key-value store grants.
	StateLeaseMaxTTL = 600 * time.Second
	// RenewedNamesMaxBytes bounds the machine names in one query between members, in bytes. The message is a
	// little larger. NameOverheadBytes is the overhead of a name besides its own length: its vector entry,
	// length, terminator and alignment. All queries together must complete within RelayTimeout. With 400 names
	// in each query, 6,000 machines would need 15 queries in sequence.
	RenewedNamesMaxBytes = 64 << 10
	NameOverheadBytes    = 12
	// WorkerTryTime is how long a worker spends on a controller that does not answer: 4 s for the answer and
	// 1 s until it tries the next.
	WorkerTryTime = 5 * time.Second
	// RedirectLeaseShare is the share of the duration of a worker's lease within which the worker must be able
	// to return if it is redirected to a leader that does not answer this member.
	RedirectLeaseShare = 0.8
	// RenewedQueryTimeout bounds one query by the leader for leases that other members renewed. In this query
	// the leader reads the stored records of followers and of zone leases, and asks the members that hold zone
	// leases. If the query takes longer, the leader concludes nothing from it. The records and the members
	// report renewals for the duration of a worker's lease plus RenewedQueryTimeout, so that each report covers
	// at least the duration of a lease before the query began. RenewedQueryTimeout is long enough for a
	// key-value store that answers in half a second, and for several pages of records. It is also the additional
	// time after which a dead machine that a follower answered is detected.
	RenewedQueryTimeout = 3 * time.Second
	// RenewedReadMinInterval is the shortest time between two queries by the leader for renewed leases.
	RenewedReadMinInterval = 500 * time.Millisecond
)
