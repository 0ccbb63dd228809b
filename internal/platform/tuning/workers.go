package tuning

import "time"

// Workers: heartbeats, failures, slow machines and images.
const (
	// LeaseMargin is added to the duration of a worker's lease before the worker's tasks count as ended.
	LeaseMargin = 100 * time.Millisecond
	// HeartbeatReplyValidity is the time after the arrival of a heartbeat within which the worker may still
	// execute the commands of the reply. Workers drop replies after 4 s, but a worker's clock may run slow, so
	// this time is a little longer.
	HeartbeatReplyValidity = 4100 * time.Millisecond
	// RetainedExitBytesMax is the number of bytes in a machine's heartbeat that exited attempts may take while they wait
	// for a higher fencing token. A heartbeat has at most 64 KiB.
	RetainedExitBytesMax = 4 << 10
	// SilentHeartbeatIntervals is the number of heartbeat intervals without a heartbeat after which a machine gets
	// no new tasks.
	SilentHeartbeatIntervals = 2.5
	// FaultyMachineJobsMin is the number of jobs that must fail on a machine before the machine is avoided.
	FaultyMachineJobsMin = 2
	// SlowFactor and SlowLogLikelihoodRatio define when a machine counts as slow: when the evidence that its
	// tasks take SlowFactor times as long as on other machines, rather than equally long, reaches
	// SlowLogLikelihoodRatio. The evidence is the logarithm of a likelihood ratio. A run is compared with runs of
	// the same job on other machines only if there are at least SlowPeersMin of them. RememberedRunsMax is the
	// largest number of runs of a job that are remembered.
	SlowFactor             = 3.0
	SlowLogLikelihoodRatio = 9.0
	SlowPeersMin           = 5
	RememberedRunsMax      = 16
	// ObservedRunsMin is the number of completed tasks that a job needs before its expected run time is
	// computed from them instead of the owner's estimate. ObservedLogStdDev is the standard deviation of the
	// logarithm of the job's run times in that case.
	ObservedRunsMin   = 3
	ObservedLogStdDev = 0.25
	// FailureBackoff is the first pause of a job whose task failed. It doubles with each further wave of
	// failures (see jobs.Store.MarkFailed). Once the job has failed on FaultyJobMachinesMin machines, it doubles
	// with each further failure.
	FailureBackoff = 2 * time.Second
	// FailureBackoffMax bounds the pause of a job whose task failed.
	FailureBackoffMax = 60 * time.Second
	// FaultyJobMachinesMin is the number of machines on which a job must fail before it avoids none of them.
	FaultyJobMachinesMin = 3
	// HealthyRunAfter is how long a task must have run to prove that its job is not the cause of failures.
	// Tasks of a faulty job fail when they start.
	HealthyRunAfter = 5 * time.Second
	// RefusalPause is how long a machine that refused a task for lack of room gets no tasks.
	RefusalPause = 2 * time.Second
	// MachineImagesMax is the largest number of image names that are remembered for a machine, more than any
	// cache holds.
	MachineImagesMax = 256
	// ImagesStoreEvery is the interval at which the locations of cached images are stored, if the write rate
	// limit has room for ImagesSpareChangesMin more changes. If the next leader does not know the location of
	// an image, the image is fetched once more, which delays a start by a second or two.
	ImagesStoreEvery      = 10 * time.Second
	ImagesSpareChangesMin = 4
	// AvoidMachineFor is how long a job avoids a machine on which its task failed. AvoidMachineMaxWait is how
	// long a job with no placed task may wait while only such machines have room. After that it may use them,
	// since a machine that may fail is better than none.
	AvoidMachineFor     = 300 * time.Second
	AvoidMachineMaxWait = 60 * time.Second
)
