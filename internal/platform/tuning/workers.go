package tuning

import "time"

// Workers: heartbeats, failures, slow machines and images.
const (
	// LeaseMargin is added to a worker's lease before its tasks count as ended.
	LeaseMargin = 100 * time.Millisecond
	// HeartbeatReplyLife is how long after a heartbeat arrived a worker may still execute its reply. Workers
	// drop replies after 4 s, by a clock that may run slow.
	HeartbeatReplyLife = 4100 * time.Millisecond
	// SilentHeartbeats is the number of heartbeat intervals without a heartbeat after which a machine gets
	// no new tasks.
	SilentHeartbeats = 2.5
	// FaultyMachineJobs is the number of jobs that must fail on a machine before the machine is avoided.
	FaultyMachineJobs = 2
	// SlowFactor is the slowdown that the detection of slow machines tests for, as a multiple of the run
	// time on other machines. SlowEvidence is the log-likelihood ratio, for that slowdown against none, at
	// which a machine counts as slow. SlowPeers is the smallest number of tasks of the same job with which a
	// run is compared, and SlowRuns the number of runs of a job that are remembered.
	SlowFactor   = 3.0
	SlowEvidence = 9.0
	SlowPeers    = 5
	SlowRuns     = 16
	// SeenRuns is the number of completed tasks from which a job's expected run time is computed from them
	// instead of the owner's estimate. SeenSpread is the standard deviation of the logarithm of the job's
	// run times in that case.
	SeenRuns   = 3
	SeenSpread = 0.25
	// ErrorPause is the first pause of a job whose task failed. It doubles with each further failure.
	ErrorPause = 2 * time.Second
	// ErrorPauseMax bounds the pause of a job whose task failed.
	ErrorPauseMax = 60 * time.Second
	// FaultyJobMachines is the number of machines on which a job must fail before it avoids none of them.
	FaultyJobMachines = 3
	// HealthyRunAfter is how long a task must have run for its job not to be blamed for failures. Tasks of a
	// faulty job fail when they start.
	HealthyRunAfter = 5 * time.Second
	// RefusalPause is how long a machine that refused a task for lack of room gets no tasks.
	RefusalPause = 2 * time.Second
	// ImagesKnown is the largest number of image names that are remembered for a machine, more than any
	// cache holds.
	ImagesKnown = 256
	// ImagesEvery is the interval at which the locations of cached images are stored, if the write rate
	// limit has room for ImagesRoom more changes. An image whose location the next leader does not know is
	// fetched once more, which delays a start by a second or two.
	ImagesEvery = 10 * time.Second
	ImagesRoom  = 4
	// AvoidFor is how long a job avoids a machine on which its task failed. AvoidWait is how long a job with
	// no placed task may wait while only such machines have room: a machine that may fail is better than
	// none.
	AvoidFor  = 300 * time.Second
	AvoidWait = 60 * time.Second
)
