package tuning

import "time"

// Graphs of jobs.
const (
	// GraphPart is the size of a part of a stored graph, in bytes: in base64 it fits a
	// value of 16 KiB, and three fit a transaction.
	GraphPart = 10 << 10
	// GraphParts is how many parts a graph may have: one of 10,000 steps with names of
	// 40 bytes has some 20.
	GraphParts = 64
	// GraphValueKB is the smallest value size limit, in KiB, with which a part and a run
	// of 10,000 steps can be stored.
	GraphValueKB = 14
	// GraphTasks is how many steps of a graph are submitted at a time unless it says
	// otherwise, and GraphRuns how many of its runs are active, as in Airflow.
	GraphTasks = 16
	GraphRuns  = 16
	// GraphPool is how many slots a team's default pool has, as in Airflow.
	GraphPool = 128
	// GraphKeep is how many finished runs of a graph are kept.
	GraphKeep = 50
	// GraphShare is the share of the memory that graphs and live runs may take; a step
	// takes about GraphStepBytes of a graph, and RunStepBytes of each live run.
	GraphShare     = 0.15
	GraphStepBytes = 1000
	RunStepBytes   = 200
	// GraphConf is the longest conf of a run, in bytes: each of the run's records contains
	// it.
	GraphConf = 2 << 10
	// GraphIdle is after how long a stored graph that nothing refers to is deleted: a
	// client that uploads one registers it within seconds.
	GraphIdle = 10 * time.Minute
	// GraphCare is how often that is checked.
	GraphCare = time.Minute
	// GraphLag is how long it may stay unwritten that a step's job began to run: nothing
	// depends on that.
	GraphLag = 5 * time.Second
	// TryBytes is what one of a run's newest tries takes of its record, in bytes, and
	// TryShare the share of the record that they may take together: 400 tries with values
	// of 16 KiB.
	TryBytes = 20
	TryShare = 0.5
	// DescribeBatch is how many steps are described in one call, and DescribeTimeout how
	// long that may take.
	DescribeBatch   = 100
	DescribeTimeout = 5 * time.Second
	// DescribeRetry is the first pause after a call that failed; it doubles up to
	// DescribeRetryMax.
	DescribeRetry    = 500 * time.Millisecond
	DescribeRetryMax = 30 * time.Second
	// CommandWait bounds a user's command to a subsystem: a user waits 5 s, and the
	// command has to be stored.
	CommandWait = 3 * time.Second
	// MaxKey is the longest key of the key-value store, in bytes.
	MaxKey = 200
)
