package tuning

import "time"

// Graphs of jobs.
const (
	// GraphPartMaxBytes is the size of a part of a stored graph, in bytes. Encoded in base64, a part fits a value
	// of 16 KiB, and three parts fit a transaction.
	GraphPartMaxBytes = 10 << 10
	// GraphMaxParts is the largest number of parts of a graph. A graph of 10,000 steps with names of 40 bytes
	// has some 20 parts.
	GraphMaxParts = 64
	// GraphMinValueKiB is the smallest value size limit of the key-value store, in KiB, with which a part and a
	// run of 10,000 steps can be stored.
	GraphMinValueKiB = 14
	// GraphDefaultMaxActiveTasks is the default maximum number of steps of a graph that are submitted at a time.
	// GraphDefaultMaxActiveRuns is the default maximum number of a graph's active runs. Both are as in Airflow.
	GraphDefaultMaxActiveTasks = 16
	GraphDefaultMaxActiveRuns  = 16
	// GraphDefaultPoolSlots is the number of slots of a team's default pool, as in Airflow.
	GraphDefaultPoolSlots = 128
	// GraphRetainedRunsMax is the number of finished runs of a graph that are retained.
	GraphRetainedRunsMax = 50
	// GraphMemoryShare is the share of the memory that graphs and live runs may use. GraphStepBytes is the
	// approximate memory of one step of a graph, in bytes. RunStepBytes is that of one step of a live run.
	GraphMemoryShare = 0.15
	GraphStepBytes   = 1000
	RunStepBytes     = 200
	// GraphConfMaxBytes bounds the conf of a run, in bytes, and also the note in a user's command. Each record of
	// a run contains the conf.
	GraphConfMaxBytes = 2 << 10
	// GraphDeleteAfter is how long a stored graph may be unreferenced before it is deleted. A client registers an
	// uploaded graph within seconds.
	GraphDeleteAfter = 10 * time.Minute
	// GraphCleanUpEvery is the interval between checks for runs and graphs to delete.
	GraphCleanUpEvery = time.Minute
	// GraphRecordDelay is the longest time for which the record of a run may lack the fact that a step's job
	// began to run. Nothing depends on that fact.
	GraphRecordDelay = 5 * time.Second
	// TryBytes is the size, in bytes, of one try in the record of a run, which contains the run's newest
	// tries. TriesRecordShare is the share of the record that all these tries may fill: 400 tries if a value
	// may have 16 KiB.
	TryBytes         = 20
	TriesRecordShare = 0.5
	// The following bound the parts of a run's record in its compact form, before base64, in bytes unless the name
	// says otherwise. RunStateBits is for the state of a step, of which there are nine, and whether its instances
	// are stored, or for an instance of a mapped step. RunSubmittedBytes is for an instance whose job is not over,
	// RunOrphanBytes for the ID of a job of a cleared step, RunInlineResultBytes for a result without the result
	// itself, and RunRecordOverheadBytes for the rest.
	RunStateBits           = 5
	RunSubmittedBytes      = 20
	RunOrphanBytes         = 40
	RunInlineResultBytes   = 16
	RunRecordOverheadBytes = 80
	// RunMinSubmitted is the number of submitted steps for which the record of every accepted run has room, the
	// default of max_active_tasks.
	RunMinSubmitted = GraphDefaultMaxActiveTasks
	// DescribeBatchSteps is the number of steps that one call describes, and DescribeTimeout bounds that call.
	DescribeBatchSteps = 100
	DescribeTimeout    = 5 * time.Second
	// DescribeRetryPause is the first pause after a failed call that describes steps. The pause doubles with each
	// failure up to DescribeRetryPauseMax.
	DescribeRetryPause    = 500 * time.Millisecond
	DescribeRetryPauseMax = 30 * time.Second
	// UserCommandTimeout bounds a user's command to a subsystem. A user waits 5 s, and the command has to be
	// stored within that time.
	UserCommandTimeout = 3 * time.Second
	// MaxKeyBytes is the longest key of the key-value store, in bytes.
	MaxKeyBytes = 200
)
