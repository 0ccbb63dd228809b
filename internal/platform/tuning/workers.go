package tuning

import "time"

// Workers: heartbeats, failures, slow machines and images.
const (
	// LeaseMargin is added to a worker's lease before its tasks count as ended.
	LeaseMargin = 100 * time.Millisecond
	// HeartbeatReplyLife is for how long after a heartbeat came its reply may still be
	// executed: workers drop replies after 4 s, by a clock that may run slow.
	HeartbeatReplyLife = 4100 * time.Millisecond
	// SilentHeartbeats is after how many heartbeat intervals without a heartbeat a machine
	// gets no new task.
	SilentHeartbeats = 2.5
	// FaultyMachineJobs is how many jobs must fail on a machine before it is avoided.
	FaultyMachineJobs = 2
	// SlowFactor is how many times slower a machine runs everything to be found,
	// SlowEvidence the logarithm of how much likelier that must be than that it is like
	// the others, SlowPeers with how many tasks of the same job a run is compared at the
	// least, and SlowRuns how many runs of a job are remembered.
	SlowFactor   = 3.0
	SlowEvidence = 9.0
	SlowPeers    = 5
	SlowRuns     = 16
	// SeenRuns is from how many completed tasks on a job's run times are taken from them,
	// and SeenSpread how far its tasks then lie from each other, as the standard deviation
	// of the logarithm.
	SeenRuns   = 3
	SeenSpread = 0.25
	// ErrorPause is the first pause of a job whose task failed; it doubles.
	ErrorPause = 2 * time.Second
	// ErrorPauseMax bounds the pause of a job whose task failed.
	ErrorPauseMax = 60 * time.Second
	// FaultyJobMachines is on how many machines a job must fail so that it avoids none.
	FaultyJobMachines = 3
	// HealthyRunAfter is how long a task must have run so that its job is not to blame for
	// failures: tasks of a job with a mistake fail when they start.
	HealthyRunAfter = 5 * time.Second
	// RefusalPause is how long a machine that refused a task for lack of room gets none.
	RefusalPause = 2 * time.Second
	// ImagesKnown bounds what is remembered of a machine's images, in names: more
	// than any cache holds.
	ImagesKnown = 256
	// ImagesEvery is how often it is stored which machines hold which images, if there is
	// room for ImagesRoom changes to spare: what the next leader does not know is fetched
	// once more, a second or two for a start.
	ImagesEvery = 10 * time.Second
	ImagesRoom  = 4
	// AvoidFor is how long a job avoids a machine on which its task failed, and AvoidWait
	// how long a job none of whose tasks is placed may wait beside such a machine: a
	// machine that may fail is better than none.
	AvoidFor  = 300 * time.Second
	AvoidWait = 60 * time.Second
)
