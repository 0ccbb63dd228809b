// Package tuning holds every constant of the service, each with its unit and
// the reason for its value. What an operator may want to change is also a
// Knob, which the properties file can set.
package tuning

import "time"

// Leadership.
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
	// StandAsideVacant is how long the leader key must be vacant for a member to campaign that stands aside: another's campaign
	// takes three calls, and one that was just started waits for VoteFor.
	StandAsideVacant = 5 * time.Second
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

// Calls to outside systems.
const (
	// StateTimeout ends a call to the state service: most take 10 ms, a few
	// some hundred, and a user waits 2 to 5 s for the answer behind it.
	StateTimeout = 1500 * time.Millisecond
	// StateRetry is the first pause before a call is repeated; it doubles.
	StateRetry = 100 * time.Millisecond
	// StateRetryMax bounds that doubling.
	StateRetryMax = 1 * time.Second
	// CloudTimeout ends a call to the cloud. A rental may take long.
	CloudTimeout = 5 * time.Second
	// CloudRetry is the pause after a failed call to the cloud.
	CloudRetry = 1 * time.Second
	// CommandTimeout ends a direct command to a worker; the next report repeats it anyway.
	CommandTimeout = 2 * time.Second
	// RelayTimeout ends a request to the leader through the mesh: a user waits 2 s for a poll.
	RelayTimeout = 800 * time.Millisecond
	// MeshIdle closes a mesh connection that was silent for so long.
	MeshIdle = 30 * time.Second
	// MeshFrame is the largest mesh message in bytes: a relayed body of 64 KiB and what is around it.
	MeshFrame = 72 << 10
	// MaxShow bounds the answer to an operator's question, in bytes: it must fit that.
	MaxShow = 64 << 10
	// MaxResponse is the largest response body read from outside, in bytes:
	// a watch has no limit of its own, a list page is 512 KiB.
	MaxResponse = 4 << 20
	// LeaderShare is the share of the state service's limits that the leader's
	// loop may use in any case. All members, the leading one too, divide the rest
	// for what users ask of them: a submission must not wait behind hundreds of
	// starts. Each may use more while the service refuses nothing.
	LeaderShare = 0.6
	// PaceRecover is how long our own limit takes to grow from its share to the
	// whole of the published limit: the refusals in between tell where the others are.
	PaceRecover = 4 * time.Second
	// PaceBurst times a second's share may be used at once.
	PaceBurst = 2.0
	// BusyPause is about how long a refused transaction waits before its next turn.
	BusyPause = 60 * time.Millisecond
	// CloudLeaderShare is the same for the cloud, of which followers only ask
	// the machine types, once a minute.
	CloudLeaderShare = 0.85
	// LimitMargin keeps our own rate below the published limit, since its
	// window and ours do not start together.
	LimitMargin = 0.9
	// TypesRefresh is how often the machine types (and spot prices) are read again.
	TypesRefresh = 60 * time.Second
)

// Users.
const (
	// RetryAfterS is the Retry-After, in seconds, of an answer that cannot be given now.
	RetryAfterS = 1
	// HeaderTimeout ends a client that does not send its request.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout ends a client that does not finish its request, head and body.
	BodyTimeout = 10 * time.Second
	// AnswerTimeout ends an answer that its client does not read; users wait 5 s at most.
	AnswerTimeout = 15 * time.Second
	// MaxHeader is the largest request head in bytes.
	MaxHeader = 16 << 10
	// MaxHeartbeat is the largest report of a worker in bytes: the protocol
	// bounds a request body, reports included.
	MaxHeartbeat = 64 << 10
	// CancelWait is how long a cancellation may wait to be stored: a user waits 5 s.
	// It fits a few tries of one transaction; after that the user is told to ask again.
	CancelWait = 1500 * time.Millisecond
	// SubmitWait bounds how long a member tries to store a submission, our own
	// rate limit included; then a peer is asked, or the user told to come back.
	SubmitWait = 2 * time.Second
	// SubmitHedge is how long a submission is tried here before another member is
	// asked as well: the strictest aim on submissions is 300 ms, and the state
	// service answers in 10 ms, or 100 when it is slow.
	SubmitHedge = 150 * time.Millisecond
	// SubmitTotal bounds a submission with all members that are asked in turn: a
	// user waits 5 s, and is to be told when to come back.
	SubmitTotal = 4 * time.Second
	// PollWait bounds the search for an answer to a poll: a user waits 2 s.
	PollWait = 1800 * time.Millisecond
	// PollBatch is how many polls at a time share one listing of the live jobs: it
	// costs as much as a few single reads.
	PollBatch = 8
	// IdleTimeout closes a connection on which nothing is asked. Users poll
	// every 5 s and workers report every few seconds.
	IdleTimeout = 60 * time.Second
	// ConnShare is the share of the socket limit that incoming connections may take.
	ConnShare = 0.75
	// CrowdShare is the share of those above which each answer closes its connection, so that
	// more workers than sockets take turns.
	CrowdShare = 0.92
	// IdleShare is the share of the socket limit that idle connections to workers may take, and
	// SendShare that of commands on their way to them, at least SendLeast: a pass after a cut
	// places on every machine at once.
	IdleShare = 0.06
	SendShare = 0.08
	SendLeast = 16
	// FinalCache is how many final states of jobs are kept in memory at the least, and
	// FinalsOfMB how many for each MiB that the machine has: at some 200 bytes a hundredth of it.
	FinalCache = 4096
	FinalsOfMB = 50
)

// Jobs and their records.
const (
	// ChunkTasks is how many tasks share one progress record: a task takes up
	// to about 90 bytes, so a full record stays under 6 KiB.
	ChunkTasks = 64
	// MinValueKB is the least size of a value, in KiB, that such a record needs.
	MinValueKB = 8
	// LazyFlush is how long a change that nobody waits for (one finished task
	// of many, a lost task) stays unwritten, to share a write with others: of an array some task
	// ends every second or two. Until it is written the workers hold the ends.
	LazyFlush = 2 * time.Second
	// LazyMax is how long such a change waits for the limit on changes to have
	// room to spare; then it may use LazyShare of that limit all the same, at most LazyLeast at a time. They once
	// had a part of every transaction: two fifths of all changes of a backlog, and starts waited a second.
	LazyMax   = 20 * time.Second
	LazyShare = 0.125
	LazyLeast = 4
	// WriteLeast is for how many changes there must be room before a transaction is put
	// together: fewer would be many requests, more would be put in order too early.
	WriteLeast = 4
	// HeldExits is how many ended tasks a report may list that cannot be forgotten yet, before their records are
	// hurried: at some 80 bytes each, a fourth of the longest report.
	HeldExits = 200
	// CommitBytes bounds a transaction's size in bytes, under the protocol's 64 KiB.
	CommitBytes = 48 << 10
	// TxnBytes is what a transaction's changes may take with the longest record that it
	// still takes up: 64 KiB less its conditions.
	TxnBytes = 58 << 10
	// EntryBytes, ChargeBytes and RecordBytes bound what a task's entry, a charge and the
	// rest take of a progress record and its place in a transaction: names of machines and
	// zones of some 20 bytes, charges of up to 30 in base64, names of teams and classes.
	EntryBytes  = 140
	ChargeBytes = 44
	RecordBytes = 1200
	// SealCharges is how many charges may lie in a progress record before they are
	// moved to one of their own: at about 25 bytes each they take up to 3 KB of it.
	SealCharges = 96
	// SealMax is how many are moved to one record at the most, some 7 KB. The turn of a
	// day adds one for each task that runs.
	SealMax = 192
	// EndChunks is how many progress records with new charges go with a job's end;
	// more are written before it, since a transaction holds 64 KiB.
	EndChunks = 4
	// BeganAfter is how long a task must run until the time when it began is written
	// for its own sake: most arrays' tasks end within a minute, and a new leader
	// otherwise counts from when the task was placed.
	BeganAfter = 10 * time.Second
	// ReconcileEvery is how often the stored jobs are compared with those that the leader knows: one that it missed has to
	// begin within minutes. A thousand jobs are two calls.
	ReconcileEvery = 30 * time.Second
	// SizesRemembered is of how many jobs of a class the sizes are remembered, LargestShare from which share of them on one is
	// among the largest, and SizesLeast how many there must be to tell.
	SizesRemembered = 200
	LargestShare    = 0.9
	SizesLeast      = 10
	// JobWatch is how long the leader's watch for new jobs waits.
	JobWatch = 10 * time.Second
	// LoadPage is how many keys a new leader reads in one call.
	LoadPage = 500
)

// Workers.
const (
	// LeaseMargin is added to a worker's lease before its tasks count as gone.
	LeaseMargin = 100 * time.Millisecond
	// AnswerLife is for how long after a report came its answer may still be executed: workers drop answers after 4 s, by
	// a clock that may run slow.
	AnswerLife = 4100 * time.Millisecond
	// SilentReports is after how many report intervals without a report a
	// machine gets no new task.
	SilentReports = 2.5
	// BadMachineJobs is how many jobs must fail on a machine before it is avoided.
	BadMachineJobs = 2
	// SlowFactor is by how much a machine runs everything slower that is to be found, SlowEvidence the logarithm of how
	// much likelier that must be than that it is like the others, SlowPeers with how many tasks of the same job a run
	// is compared at the least, and SlowRuns how many of a job's are remembered.
	SlowFactor   = 3.0
	SlowEvidence = 9.0
	SlowPeers    = 5
	SlowRuns     = 16
	// SeenRuns is from how many completed tasks on a job's run times are taken from them, and SeenSpread how far its tasks
	// lie from each other then, as the standard deviation of the logarithm.
	SeenRuns   = 3
	SeenSpread = 0.25
	// ErrorPause is the first pause of a job whose task failed; it doubles.
	ErrorPause = 2 * time.Second
	// ErrorPauseMax bounds it.
	ErrorPauseMax = 60 * time.Second
	// BadJobMachines is on how many machines a job must fail so that it avoids none.
	BadJobMachines = 3
	// WorksAfter is how long a task must have run so that its job is not to blame
	// for failures: tasks of a job with a mistake fail when they start.
	WorksAfter = 5 * time.Second
	// NoRoomPause is how long a machine that refused a task for room gets none.
	NoRoomPause = 2 * time.Second
	// ImagesKnown bounds what is remembered of a machine's images, in names: more
	// than any cache holds.
	ImagesKnown = 256
	// ImagesEvery is how often it is stored which machines hold which images, if there is room for ImagesRoom
	// changes to spare: what the next leader does not know is fetched once more, a second or two for a start.
	ImagesEvery = 10 * time.Second
	ImagesRoom  = 4
	// AvoidFor is how long a job avoids a machine on which its task failed, and AvoidWait for how long one none of whose tasks is
	// placed may wait beside such a machine: a place that may fail is better than none.
	AvoidFor  = 300 * time.Second
	AvoidWait = 60 * time.Second
)

// Machines that the cloud takes back.
const (
	// EstimateSpread is how far run times lie from their owners' estimates, as the standard deviation of the
	// logarithm: often wrong by half.
	EstimateSpread = 0.5
	// LastCall is how long before a machine is taken what still runs there is stopped: for a command and its answer,
	// and what the time of the notice may be off.
	LastCall = 2500 * time.Millisecond
)

// The way to machines.
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
	// ProbeShare is the share of the commands on their way that questions may take, at least ProbeLeast: commands of a pass
	// must not wait behind questions to hundreds of dead machines, each of which takes CommandTimeout.
	ProbeShare = 0.125
	ProbeLeast = 4
	// ProbeRate is how many questions are sent a second, as a share of the reports that the machines send in one, at least
	// ProbeRateLeast: a question costs about as much as a report.
	ProbeRate      = 0.5
	ProbeRateLeast = 10.0
	// UnheardMachines is how many machines must have left commands unanswered, and UnheardFor how long none of any may
	// have been answered, for the leader to ask whether others reach them: then it is the leader's own way that is cut.
	UnheardMachines = 4
	UnheardFor      = 8 * time.Second
	// StandAside is how long a leader that reaches no worker, though another member does, leaves the leadership to others.
	StandAside = 60 * time.Second
)

// Followers that help workers.
const (
	// RedirectMemory is how long a follower remembers that it sent a worker to
	// the leader: one that comes back sooner did not find it (4 s for an
	// answer, 1 s until the next node, twice).
	RedirectMemory = 15 * time.Second
	// RedirectsLeast is how many workers that memory holds before it looks for those that it
	// may forget; then as soon as there are twice as many as were left.
	RedirectsLeast = 1024
	// FollowerLeaseRenew is how often a follower renews the record of the machines that it answers.
	FollowerLeaseRenew = 1 * time.Second
	// FollowerLeaseGather is how long the first of several workers waits for the others, to share a write.
	FollowerLeaseGather = 100 * time.Millisecond
	// FollowerLeaseExtra is added to twice a worker's lease as that record's life.
	FollowerLeaseExtra = 10 * time.Second
	// FollowerLeaseWait is how long a report may wait for that record: a worker waits 4 s, and the mesh was tried first.
	FollowerLeaseWait = 2 * time.Second
	// ReportLate times the workers' interval is the longest pause between their reports. WorkerSearch is how long they
	// may have searched for a node, or nobody was there, before they came; WorkerPatience is the share of what a lease leaves
	// beyond both for which they are sent on rather than kept.
	ReportLate     = 1.25
	WorkerSearch   = 15 * time.Second
	WorkerPatience = 0.25
	// RenewedQueries is how many workers that are kept are asked at a time whether they are there, and RenewedQueryRate how many a
	// second: each costs about as much as a report.
	RenewedQueries   = 32
	RenewedQueryRate = 40.0
	// LeaderRetryHint is after how long a worker kept without commands is sent to
	// the leader once more; if it does not find it, it loses about 5 s of its lease.
	LeaderRetryHint = 20 * time.Second
	// ReachEvery is how often a follower looks whether it reaches the leader, and
	// ReachMissed how many pings in a row must have no answer for a cut: one may
	// miss a starved process.
	ReachEvery  = 1 * time.Second
	ReachMissed = 2
	// IsolatedFor is how long no other member may have answered for this one to count as cut off from all of them; with a
	// state service that does not answer either it is not healthy. A starved process misses a few pings.
	IsolatedFor = 6 * time.Second
	// ZoneLeaseTTL is how long a member that reaches neither the leader nor the state service
	// goes on answering the workers of its own zone: most cuts of a zone last about a minute, and one
	// of 170 s was served better with 300 s than with 120, arrays too. If the member ends with its
	// zone, machines that the cloud does not list as failed count for as long.
	ZoneLeaseTTL = 300 * time.Second
	// ZoneLeaseRenew is how often that right is renewed: a cut finds it at most so much shorter.
	ZoneLeaseRenew = 5 * time.Second
	// MaxTTL is the longest lease that the state service grants.
	MaxTTL = 600 * time.Second
	// RenewedNames is how many machines one question about them names: it must fit MeshFrame.
	RenewedNames = 400
	// WorkerTry is how long a worker takes for a controller that does not answer:
	// 4 s for the answer, 1 s until the next.
	WorkerTry = 5 * time.Second
	// ProbeLeaseShare is the share of a worker's lease within which it must be
	// back if it is sent to a leader that does not answer us.
	ProbeLeaseShare = 0.8
	// RenewedQueryTime is how long the leader may take to read these records and to ask the members, once: longer, and nothing is
	// concluded. What they tell goes back for so much more than a lease, so that all of them speak of the time at which the
	// leader began. State services that answer in half a second, and pages of records, have room in it; a dead machine
	// that a follower answered is found so much later.
	RenewedQueryTime = 3 * time.Second
	// RenewedReadEvery is the least time between two readings of these records by the leader.
	RenewedReadEvery = 500 * time.Millisecond
)

// Placement.
const (
	// AgeStep is the wait after which a job rises one step of priority.
	AgeStep = 120 * time.Second
	// FillShare is the share of the fleet's CPUs that one job of a team without a
	// cap has had before its later tasks go behind the first of others.
	FillShare = 0.25
	// FillSteps is in how many steps a job's fill, what its team's limit allows at
	// a time, is counted: those that had fewer go first.
	FillSteps = 4
	// BeginBound is how long a job may wait for its first task before that goes before all else of its priority: users
	// expect the largest jobs to begin within four minutes, and a machine or a share of a team's limit that is kept
	// for one gets free as what runs ends, within two minutes mostly. BeginReservationShare is the share of the machines with
	// room, as a divisor, that may be held for such jobs at a time, one at the least.
	BeginBound            = 60 * time.Second
	BeginReservationShare = 8
	// SearchShapes is for how many shapes of tasks a pass keeps the machines in order: with 40
	// bytes for each machine and shape, 16 MB at the most with 10,000 machines, until the pass ends.
	SearchShapes = 40
	// ReservationMax is for how long machines and parts of limits are held for those that need more than there is, before one pass
	// holds nothing: users expect that no job waits for 90 s while a machine that fits has room, and a pass may be PassWaitMax away.
	ReservationMax = 70 * time.Second
	// HeadReservationAfter is the wait after which the queue's head holds a machine against those behind.
	HeadReservationAfter = 30 * time.Second
	// PassWaitMin and PassWaitMax bound the pause between passes that place
	// nothing: the design's 1 s doubling to 10 s. Any change wakes the loop early.
	PassWaitMin = 1 * time.Second
	PassWaitMax = 10 * time.Second
	// RestFactor times a pass's duration is how long the leader does other things
	// before the next, so that passes take a seventeenth of its processor at the most, and
	// plans for the fleet as much: with a backlog, each of hundreds of changes a second asks for
	// one. A pass over 1,200 machines takes a millisecond or two of a share of a core, and the
	// strictest aim on starts is a second.
	RestFactor = 16
	// RestLeast and PlanRest are the least such rests after passes and plans for the fleet: a seventeenth of a core
	// is a fifth of a share of 0.3, and a start waits for a second or more, a machine boots for 20.
	RestLeast = 20 * time.Millisecond
	PlanRest  = 200 * time.Millisecond
	// PreemptShare is the share of the wait allowed to a class (by its own aim
	// or the guarantee's) after which others may be stopped for it.
	PreemptShare = 0.5
	// PreemptAfter is how long a new leader stops nothing for others: workers
	// find it within that time.
	PreemptAfter = 10 * time.Second
	// PreemptAtOnce is how many tasks of one job may have others stopped in one pass.
	PreemptAtOnce = 8
	// PreemptAgain is how long a job waits for what was stopped for it, before more is.
	PreemptAgain = 2 * time.Second
	// FreshCost is what stopping a task within PreemptSettle costs beyond its work, in seconds: its start does not count.
	FreshCost = 30.0
	// PriorityCost is what stopping a task costs for each step of its priority,
	// in seconds of work: what is borrowed is taken back from patient work first.
	PriorityCost = 30.0
	// PreemptSettle is how long a task must have run before it may be stopped
	// for others: a start that is stopped within 30 s does not count.
	PreemptSettle = 31 * time.Second
	// GraceExtra is added to a task's own saving time when it is asked to save.
	GraceExtra = 1 * time.Second
)

// Fleet.
const (
	// FleetEvery is how often the wanted machines are compared with the rented ones.
	FleetEvery = 1 * time.Second
	// ArrivalWindow is how far back arrivals tell what is to come.
	ArrivalWindow = 120 * time.Second
	// ArrivalLeast is the least time over which arrivals are counted as a rate.
	ArrivalLeast = 30 * time.Second
	// BeginRush is how long after the service's very first begin jobs come that
	// waited for it: users ask again after a second or more.
	BeginRush = 5 * time.Second
	// RushShare is one in how many of them counts as a guide to those to come: with
	// none, the services of the first minute found no room.
	RushShare = 8
	// PromptWait and PromptGuarantee say how much of the work expected within a boot has
	// room kept for it: for classes that are to start sooner than a machine
	// boots, and for all others where a guarantee is to be met sooner than that.
	PromptWait      = 1.0
	PromptGuarantee = 0.25
	// ReserveFor is how far ahead room is reserved for prompt work against work
	// of lower priority that waits: what ends meanwhile makes room for the rest.
	ReserveFor = 10 * time.Second
	// FetchExtra is added to the boot time as the horizon of what is expected: the first report and a rental take some seconds.
	FetchExtra = 5 * time.Second
	// ThriftyFor is how long patient work that may run on spot machines waits
	// for one, before an ordinary machine at several times the price is rented for it.
	ThriftyFor = 12 * time.Second
	// RentAtOnce is how many rentals may be on their way: enough to use the
	// cloud's rate, few enough that none waits long for its turn.
	RentAtOnce = 3
	// RentSettle is how long a new leader waits before it rents: the machines
	// that it took over report within that time.
	RentSettle = 4 * time.Second
	// MoveEvery is how often it is looked which machines could be emptied, and
	// replicas are moved off those.
	MoveEvery = 2 * time.Second
	// MoveCandidates is how many machines are looked at for that at the least,
	// and one in MoveCandidateShare of those in use: a large fleet has to shrink
	// as fast as a small one, and each look tries all other machines.
	MoveCandidates     = 3
	MoveCandidateShare = 16
	// MoveAtOnce is how many replicas are moved at a time at the least, and one
	// in MoveAtOnceShare of all: those on their way wait longer if the leader dies.
	MoveAtOnce      = 2
	MoveAtOnceShare = 100
	// MoveDown is how long a moved replica is down beside the fetch of its image.
	MoveDown = 300 * time.Millisecond
	// MoveDownShare is the share of all replicas' time that moves may cost: the
	// strictest aims on replicas miss 0.1 to 0.2 %.
	MoveDownShare = 0.003
	// MoveBudgetMax is how much of that can be saved up at the least: one move with a long
	// fetch. With thousands of replicas it is what they grant between two looks.
	MoveBudgetMax = 10 * time.Second
	// ListEvery is how often the cloud's list is read.
	ListEvery = 5 * time.Second
	// RefusedFor is how long a type, zone and kind is not asked again after "no capacity".
	RefusedFor = 10 * time.Second
	// BootFactor times the nominal boot time is when a machine counts as
	// late and is replaced; most are up after 1.5 times.
	BootFactor = 2.0
	// BootGiveUp times the nominal boot time is when a booting machine is deleted.
	BootGiveUp = 3.0
	// BootExtra is added to both, for the list's lag and the first report.
	BootExtra = 5 * time.Second
	// BootUnknown is the boot time allowed a machine of a type no longer known.
	BootUnknown = 120 * time.Second
	// AdoptWait is how long a new leader waits for the first report of a
	// machine found in the list, before it can count as never up.
	AdoptWait = 15 * time.Second
	// SilentRelease is how long a machine may be silent after its lease ran
	// out before it is returned.
	SilentRelease = 20 * time.Second
	// SilentReleaseMany is the same while at least SilentMany machines and
	// SilentManyShare of all are silent: a cut, which rarely lasts a minute.
	SilentReleaseMany = 90 * time.Second
	SilentMany        = 3
	SilentManyShare   = 0.05
	// CutShare is the share of a zone's machines that must have fallen silent together for
	// the zone to count as cut off: fewer are machines' own troubles.
	CutShare = 0.6
	// ForgetReleased is how long the name of a returned machine is remembered, against late messages.
	ForgetReleased = 15 * time.Minute
	// ListNewer is for how many seconds a listed machine must have been there for those created before it that
	// are not listed to be gone: several are created at once, and ages are rounded.
	ListNewer = 2.0
	// UnlistedLists is how many lists in a row must lack a silent machine before it counts as taken.
	UnlistedLists = 3
)

// Controller.
const (
	// Tick is the leader's own clock for expiries and timed work.
	Tick = 100 * time.Millisecond
	// SubsystemTick is how often the subsystems that joined the leader's loop are asked
	// what is due: budgets are looked at and charges rolled up that often.
	SubsystemTick = 500 * time.Millisecond
	// Inbox is how many messages may wait for the leader's loop.
	Inbox = 1024
	// MemoryShare is the share of the machine's memory that the Go runtime aims to stay under.
	MemoryShare = 0.65
	// MemoryFull is the share above which no more jobs are accepted: the runtime holds more than
	// it aims at only if what lives needs it. MemoryEvery is how often that is looked at.
	MemoryFull  = 0.85
	MemoryEvery = 250 * time.Millisecond
	// ProcessMB is what of that a leader takes beside its machines, in MiB: the program, its
	// libraries, and a book of some thousand jobs.
	ProcessMB = 24
	// MachineKB is what a machine takes of it at the most, in KiB: its tasks, its place in the
	// views of a pass, its worker's connection and ours to it. Measured: 47 at 600 to 1,200 machines.
	MachineKB = 64
)

// Charges and budgets.
const (
	// ServiceReserve is what a started replica reserves of its team's budget: it ends
	// by itself never, and an hour is as far as anybody can expect.
	ServiceReserve = time.Hour
	// EstimateTrust bounds the factor by which owners' estimates are corrected: they
	// are often wrong by half, rarely by more.
	EstimateTrust = 4.0
	// EstimateLearn is how much one more completed task counts in that factor.
	EstimateLearn = 0.1
	// LedgerValueKB is the least size of a value, in KiB, that progress records with charges need.
	LedgerValueKB = 14
	// RollAfter is how long charges lie in their jobs' records before they are
	// rolled up; sooner if there are as many as one transaction can take. Longer lets
	// more of them share one.
	RollAfter = 60 * time.Second
	// RollLeast is for how many changes there must be room before charges are rolled
	// up, if so many are due: each roll-up also writes a segment and a page. On a day with
	// 13 jobs a second there were 606 roll-ups of two jobs each.
	RollLeast = 12
	// RollBytes bounds, in bytes, what is added to a segment in one transaction.
	RollBytes = 6 << 10
	// SegmentBytes is the size, in bytes, at which a segment is closed. One that is open is
	// rewritten with each roll-up.
	SegmentBytes = 8 << 10
	// PageBytes bounds a page of totals, in bytes before compression.
	PageBytes = 8 << 10
	// CompactPages is how many pages of totals may be closed before rows of the same
	// name are brought together.
	CompactPages = 4
	// CareEvery is how often the totals are looked at for that: it costs a look at each row.
	CareEvery = time.Minute
	// TellEvery is how often the totals go to the log, at debug level.
	TellEvery = 10 * time.Second
	// SegmentPage is how many segments one question for a job's charges reads: some
	// hundred KB.
	SegmentPage = 20
	// ChargesPage is after how many charges an answer goes on at another question: at
	// some 350 bytes each it stays under half a MB.
	ChargesPage = 500
	// ChargesWait is how long such a question may take.
	ChargesWait = 4 * time.Second
	// TotalRows is how many rows one answer on totals holds: with names of 200 bytes
	// they still fit MaxShow.
	TotalRows = 40
	// FoldAfter is after how many days the totals of days are brought together
	// to months: budgets look back over the month before at most.
	FoldAfter = 93
	// PropertiesEvery is how often the operators' file is looked at for changes.
	PropertiesEvery = 5 * time.Second
)

// Graphs.
const (
	// GraphPart is the size of a part of a stored graph, in bytes: with its base64 form it
	// fits a value of 16 KiB, and three fit a transaction.
	GraphPart = 10 << 10
	// GraphParts is how many parts a graph may have: one of 10,000 steps with names of 40 bytes
	// has some 20.
	GraphParts = 64
	// GraphValueKB is the least size of a value, in KiB, that a part and a run of 10,000 steps need.
	GraphValueKB = 14
	// GraphTasks is how many steps of a graph are submitted at a time unless it says
	// otherwise, and GraphRuns how many of its runs go on, as in Airflow.
	GraphTasks = 16
	GraphRuns  = 16
	// GraphPool is how many slots a team's default pool has, as in Airflow.
	GraphPool = 128
	// GraphKeep is how many runs of a graph that are over are kept.
	GraphKeep = 50
	// GraphShare is the share of the memory that graphs and live runs may take; a step takes
	// about GraphStepBytes of a graph, and RunStepBytes of each live run.
	GraphShare     = 0.15
	GraphStepBytes = 1000
	RunStepBytes   = 200
	// GraphConf is the longest conf of a run, in bytes: it rides in each of its records.
	GraphConf = 2 << 10
	// GraphIdle is after how long a stored graph that nothing refers to is dropped: a
	// client that uploads one registers it within seconds.
	GraphIdle = 10 * time.Minute
	// GraphCare is how often that is looked at.
	GraphCare = time.Minute
	// GraphLag is how long it may go unwritten that a step's job began to run: nothing
	// follows from that.
	GraphLag = 5 * time.Second
	// TryBytes is the share of a run's record that its newest tries may take, each at some 20
	// bytes: 400 of them with values of 16 KiB.
	TryBytes = 20
	TryShare = 0.5
	// DescribeBatch is how many steps are described in one call, and DescribeTimeout how long that may take.
	DescribeBatch   = 100
	DescribeTimeout = 5 * time.Second
	// DescribeRetry is the first pause after a call that failed; it doubles up to DescribeRetryMax.
	DescribeRetry    = 500 * time.Millisecond
	DescribeRetryMax = 30 * time.Second
	// CommandWait bounds a command of a user to a subsystem: a user waits 5 s, and it has
	// to be stored.
	CommandWait = 3 * time.Second
	// MaxKey is the longest key of the state service, in bytes.
	MaxKey = 200
)

// Tunables are the settings that operators may change.
type Tunables struct {
	// IdleKeep is how long a machine without tasks is kept before it is returned.
	IdleKeep time.Duration
	// MaxMachines bounds how many machines are rented at a time; 0: what memory allows.
	MaxMachines int
}

// Defaults gives the knobs' values when no properties are given.
func Defaults() Tunables {
	return Tunables{
		// A machine costs at least 60 s and boots for 20 s or more; work comes
		// every few seconds, so a short idle time is cheaper than a new boot.
		IdleKeep: 30 * time.Second,
	}
}
