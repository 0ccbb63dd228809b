package tuning

import "time"

// Graphs of jobs.
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
