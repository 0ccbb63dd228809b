package tuning

import "time"

// Charges, the ledger and budgets.
const (
	// ServiceReservedTime is the running time whose cost a started service replica reserves from its team's
	// budget. A service has no end, and its cost cannot be forecast further ahead than an hour.
	ServiceReservedTime = time.Hour
	// EstimateCorrectionMaxFactor bounds the factor by which owners' run time estimates are corrected. The
	// estimates are often wrong by half, rarely by more.
	EstimateCorrectionMaxFactor = 4.0
	// EstimateLearningRate is the weight, between 0 and 1, of one more completed task in the factor by which
	// owners' run time estimates are corrected.
	EstimateLearningRate = 0.1
	// LedgerMinValueKiB is the smallest value size limit of the key-value store, in KiB, with which progress
	// records that contain charges can be stored.
	LedgerMinValueKiB = 14
	// RollUpAfter is how long records of detached charges wait before they are rolled up. They are rolled up
	// earlier if there are enough of them to fill one transaction. A longer wait lets more charges share a
	// transaction.
	RollUpAfter = 60 * time.Second
	// RollUpMinChanges is the number of changes that the write rate limit must allow before a roll-up starts.
	// If all due charges can be rolled up with fewer changes, or if a transaction cannot hold that many, a smaller
	// number suffices. Each roll-up also writes a segment and a page, so small roll-ups are expensive. Without
	// this minimum, at 13 jobs per second, a roll-up covers only two jobs.
	RollUpMinChanges = 12
	// RollUpMaxBytes bounds the bytes that one transaction adds to a segment.
	RollUpMaxBytes = 6 << 10
	// SegmentCloseBytes is the size, in bytes, at which a segment is closed. Each roll-up rewrites the open
	// segment.
	SegmentCloseBytes = 8 << 10
	// TotalsPageMaxBytes bounds a page of totals, in bytes before compression.
	TotalsPageMaxBytes = 8 << 10
	// CompactAfterPages is the number of closed pages of totals at which rows of the same name are merged.
	CompactAfterPages = 4
	// CompactCheckEvery is the interval between checks whether to compact the totals. A check reads every
	// row.
	CompactCheckEvery = time.Minute
	// TotalsLogEvery is the interval at which the totals are logged, at debug level.
	TotalsLogEvery = 10 * time.Second
	// SegmentsPerCall is the number of segments that a query for a job's charges reads in one call. Together
	// they have a few hundred KB.
	SegmentsPerCall = 20
	// ChargesPerAnswer is the number of charges in one answer. The rest follows on the next page. At some 350
	// bytes for each charge, an answer stays under half a MB.
	ChargesPerAnswer = 500
	// ChargesTimeout bounds a query for charges.
	ChargesTimeout = 4 * time.Second
	// TotalRowsPerAnswer is the number of rows in one answer about totals. With names of 200 bytes the answer
	// still fits QueryResponseMaxBytes.
	TotalRowsPerAnswer = 40
	// MonthlyTotalsAfterDays is the age, in days, at which totals per day are merged into totals per month.
	// Budgets read the previous month at most.
	MonthlyTotalsAfterDays = 93
	// PropertiesCheckEvery is the interval at which the operators' properties file is checked for changes.
	PropertiesCheckEvery = 5 * time.Second
)
