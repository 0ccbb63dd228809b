package tuning

import "time"

// Jobs and their records.
const (
	// ChunkTasks is how many tasks share one progress record: a task takes up to about
	// 90 bytes, so a full record stays under 6 KiB.
	ChunkTasks = 64
	// MinValueKB is the smallest value size limit, in KiB, with which such a record can be
	// stored.
	MinValueKB = 8
	// LazyFlush is how long a change that nobody waits for (one finished task of many, a
	// lost task) stays unwritten, to share a write with others: some task of an array ends
	// every second or two. Until it is written the workers keep the exits.
	LazyFlush = 2 * time.Second
	// LazyMax is how long such a change waits for the limit on changes to have room to
	// spare; then it may use LazyShare of that limit all the same, at most LazyMin at a
	// time. When such changes had a part of every transaction, they were two fifths of all
	// changes of a backlog, and starts waited for a second.
	LazyMax   = 20 * time.Second
	LazyShare = 0.125
	LazyMin   = 4
	// WriteBatchMin is for how many changes there must be room before a transaction is
	// assembled: fewer would be many requests, more would fix their order too early.
	WriteBatchMin = 4
	// UnrecordedExits is how many ended tasks that are not yet recorded a heartbeat may
	// list before their records are written as urgent: at some 80 bytes each, a fourth of
	// the longest heartbeat.
	UnrecordedExits = 200
	// CommitBytes bounds a transaction's size in bytes, under the protocol's 64 KiB.
	CommitBytes = 48 << 10
	// TxnBytes is what a transaction's changes may take with the longest record that it
	// still includes: 64 KiB less its conditions.
	TxnBytes = 58 << 10
	// EntryBytes, ChargeBytes and RecordBytes bound what a task's entry, a charge and the
	// rest take of a progress record and of a transaction: names of machines and zones of
	// some 20 bytes, charges of up to 30 in base64, names of teams and classes.
	EntryBytes  = 140
	ChargeBytes = 44
	RecordBytes = 1200
	// DetachCharges is how many charges a progress record may hold before they are
	// detached to a record of their own: at about 25 bytes each they take up to 3 KB of
	// it.
	DetachCharges = 96
	// DetachChargesMax is how many are detached to one record at the most, some 7 KB.
	// Midnight adds one for each task that runs.
	DetachChargesMax = 192
	// EndChunks is how many progress records with new charges are written together with a
	// job's end; more are written before it, since a transaction holds 64 KiB.
	EndChunks = 4
	// BeganAfter is how long a task must run until the time when it began is written for
	// its own sake: most arrays' tasks end within a minute, and a new leader otherwise
	// counts from when the task was placed.
	BeganAfter = 10 * time.Second
	// ReconcileEvery is how often the stored jobs are compared with those that the leader
	// knows: one that it missed has to begin within minutes. A thousand jobs are two
	// calls.
	ReconcileEvery = 30 * time.Second
	// SizesRemembered is of how many jobs of a class the sizes are remembered,
	// LargestShare the quantile above which a job is among the largest, and SizesMin how
	// many sizes that takes.
	SizesRemembered = 200
	LargestShare    = 0.9
	SizesMin        = 10
	// JobWatch is how long the leader's watch for new jobs waits.
	JobWatch = 10 * time.Second
	// LoadPage is how many keys a new leader reads in one call.
	LoadPage = 500
)
