package tuning

import "time"

// Graphs of jobs.
const (
	// GraphPart is the size of a part of a stored graph, in bytes. Encoded in base64, a part fits a value
	// of 16 KiB, and three parts fit a transaction.
	GraphPart = 10 << 10
	// GraphParts is the largest number of parts of a graph. A graph of 10,000 steps with names of 40 bytes
	// has some 20.
	GraphParts = 64
	// GraphValueKB is the smallest value size limit of the key-value store, in KiB, with which a part and a
	// run of 10,000 steps can be stored.
	GraphValueKB = 14
	// GraphTasks is the default number of steps of a graph that are submitted at a time, and GraphRuns the
	// default number of its active runs, both as in Airflow.
	GraphTasks = 16
	GraphRuns  = 16
	// GraphPool is the number of slots of a team's default pool, as in Airflow.
	GraphPool = 128
	// GraphKeep is the number of finished runs of a graph that are retained.
	GraphKeep = 50
	// GraphShare is the share of the memory that graphs and live runs may use. GraphStepBytes is the
	// approximate memory of a step of a graph, in bytes, and RunStepBytes that of a step of a live run.
	GraphShare     = 0.15
	GraphStepBytes = 1000
	RunStepBytes   = 200
	// GraphConf bounds the conf of a run, and a note, in bytes. Each record of a run contains the conf.
	GraphConf = 2 << 10
	// GraphIdle is how long a stored graph may be unreferenced before it is deleted. A client registers an
	// uploaded graph within seconds.
	GraphIdle = 10 * time.Minute
	// GraphCare is the interval between checks for runs and graphs to delete.
	GraphCare = time.Minute
	// GraphLag is how long the record of a run may lack that a step's job began to run. Nothing depends on
	// that entry.
	GraphLag = 5 * time.Second
	// TryBytes is the size, in bytes, of one of a run's newest tries in the run's record. TryShare is the
	// share of the record that all of them may fill: 400 tries with values of 16 KiB.
	TryBytes = 20
	TryShare = 0.5
	// DescribeBatch is the number of steps that one call describes, and DescribeTimeout bounds that call.
	DescribeBatch   = 100
	DescribeTimeout = 5 * time.Second
	// DescribeRetry is the first pause after a failed call. It doubles up to DescribeRetryMax.
	DescribeRetry    = 500 * time.Millisecond
	DescribeRetryMax = 30 * time.Second
	// CommandWait bounds a user's command to a subsystem. A user waits 5 s, and the command has to be
	// stored within that time.
	CommandWait = 3 * time.Second
	// MaxKey is the longest key of the key-value store, in bytes.
	MaxKey = 200
)
