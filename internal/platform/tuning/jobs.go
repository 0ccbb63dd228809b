package tuning

import "time"

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
	// room to spare; then it may use LazyShare of that limit all the same, at most LazyMin at a time. They once
	// had a part of every transaction: two fifths of all changes of a backlog, and starts waited a second.
	LazyMax   = 20 * time.Second
	LazyShare = 0.125
	LazyMin   = 4
	// WriteBatchMin is for how many changes there must be room before a transaction is put
	// together: fewer would be many requests, more would be put in order too early.
	WriteBatchMin = 4
	// UnrecordedExits is how many ended tasks a report may list that cannot be forgotten yet, before their records are
	// hurried: at some 80 bytes each, a fourth of the longest report.
	UnrecordedExits = 200
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
	// DetachCharges is how many charges may lie in a progress record before they are
	// moved to one of their own: at about 25 bytes each they take up to 3 KB of it.
	DetachCharges = 96
	// DetachChargesMax is how many are moved to one record at the most, some 7 KB. The turn of a
	// day adds one for each task that runs.
	DetachChargesMax = 192
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
	// among the largest, and SizesMin how many there must be to tell.
	SizesRemembered = 200
	LargestShare    = 0.9
	SizesMin        = 10
	// JobWatch is how long the leader's watch for new jobs waits.
	JobWatch = 10 * time.Second
	// LoadPage is how many keys a new leader reads in one call.
	LoadPage = 500
)
