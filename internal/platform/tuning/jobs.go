package tuning

import "time"

// Jobs and their records.
const (
	// TasksPerChunk is the number of tasks that share one progress record. A task needs up to about 90 bytes,
	// so a full record stays under 6 KiB.
	TasksPerChunk = 64
	// MinValueKiB is the smallest value size limit of the key-value store, in KiB, with which a progress
	// record can be stored.
	MinValueKiB = 8
	// LazyWriteDelay is how long a lazy change may stay unwritten so that it shares a write with others. A
	// change is lazy if nobody waits for it, such as one finished task of many, or a lost task. In an array
	// some task ends every second or two. Until the change is written, the workers retain the exits.
	LazyWriteDelay = 2 * time.Second
	// LazyMaxWait is how long a lazy change waits for spare room under the limit on changes. After that it is
	// written even if there is no spare room. Such writes have a rate limit of their own: LazyRateShare is its
	// rate, as a share of the limit on changes, and LazyBurstChanges is its burst, in changes. If lazy changes
	// were part of every transaction, they would be two fifths of all changes during a backlog, and starts
	// would wait for a second.
	LazyMaxWait      = 20 * time.Second
	LazyRateShare    = 0.125
	LazyBurstChanges = 4
	// WriteBatchMinChanges is the number of changes that the write rate limit must allow before a transaction is
	// assembled. A smaller number makes many requests; a larger one fixes the order of changes too early.
	WriteBatchMinChanges = 4
	// UnrecordedExitsMax is the number of ended tasks without a stored record that a heartbeat may list. If it
	// lists more, their records are written as urgent. At some 80 bytes each, that many tasks fill a fourth of
	// the largest heartbeat.
	UnrecordedExitsMax = 200
	// TxnTargetBytes is the size, in bytes, from which nothing more is added to a transaction. The protocol
	// allows 64 KiB.
	TxnTargetBytes = 48 << 10
	// TxnMaxBytes bounds the changes of a transaction, in bytes, including the longest record that is added
	// last. It is 64 KiB less the size of the transaction's conditions.
	TxnMaxBytes = 58 << 10
	// TxnChangeOverheadBytes is the encoded size of a change and its condition, in bytes, without the value and
	// without the key, which occurs in both.
	TxnChangeOverheadBytes = 64
	// TaskEntryMaxBytes, ChargeMaxBytes, KindMaxBytes and RecordOverheadBytes bound the size, in bytes, of a task's
	// entry, of a charge, of a kind of machine and of the rest of a progress record and its transaction. They
	// allow for names of machines, types and zones of some 20 bytes, charges of up to 30 bytes in base64, and
	// names of teams and classes.
	TaskEntryMaxBytes   = 140
	ChargeMaxBytes      = 44
	KindMaxBytes        = 72
	RecordOverheadBytes = 1200
	// DetachChargesMin is the number of charges in a progress record at which they are moved to a record of
	// their own. At about 25 bytes each they fill up to 3 KB of the progress record.
	DetachChargesMin = 96
	// DetachChargesMax is the largest number of charges that are moved to one record, where they take some
	// 7 KB. It exceeds DetachChargesMin because a progress record may get many charges at once: at midnight
	// each running task adds one charge.
	DetachChargesMax = 192
	// JobEndMaxChunks is the largest number of progress records with new charges that are written in the same
	// transaction as their job's end. If there are more, they are written before the end, since a transaction
	// is limited to 64 KiB.
	JobEndMaxChunks = 4
	// StartTimeStoreDelay is the time after a task's placement from which its start time alone causes a write.
	// If an earlier leader placed the task, the time is counted from the failover. The tasks of most arrays end
	// within a minute. Without a stored start time, a new leader charges the task from the time of its
	// placement.
	StartTimeStoreDelay = 10 * time.Second
	// ReconcileEvery is the interval at which the leader compares the stored jobs with those that it knows.
	// A job that the leader missed has to begin within minutes. Reading a thousand jobs takes two calls.
	ReconcileEvery = 30 * time.Second
	// RememberedJobSizesMax is the number of the last jobs of a class whose sizes are remembered.
	// LargestJobsQuantile is the quantile of these sizes above which a job is among the largest. JobSizesMin
	// is the smallest number of sizes from which the quantile is computed.
	RememberedJobSizesMax = 200
	LargestJobsQuantile   = 0.9
	JobSizesMin           = 10
	// JobWatchWait is how long one watch request of the leader waits for new jobs.
	JobWatchWait = 10 * time.Second
	// KeysPerLoadPage is the number of keys that a new leader reads in one call.
	KeysPerLoadPage = 500
)
