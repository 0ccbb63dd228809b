package tuning

import "time"

// Charges, the ledger and budgets.
const (
	// ServiceReserve is what a started service replica reserves of its team's budget: it
	// never ends by itself, and nobody can forecast further than an hour.
	ServiceReserve = time.Hour
	// EstimateCorrectionMax bounds the factor by which owners' run time estimates are
	// corrected: they are often wrong by half, rarely by more.
	EstimateCorrectionMax = 4.0
	// EstimateLearningRate is the weight of one more completed task in that factor.
	EstimateLearningRate = 0.1
	// LedgerValueKB is the smallest value size limit, in KiB, with which progress records
	// with charges can be stored.
	LedgerValueKB = 14
	// RollUpAfter is how long charges stay in their jobs' records before they are rolled
	// up; sooner if there are as many as one transaction can take. A longer time lets more
	// of them share one.
	RollUpAfter = 60 * time.Second
	// RollUpChangesMin is for how many changes there must be room before charges are
	// rolled up, if so many are due: each roll-up also writes a segment and a page. On a
	// day with 13 jobs per second there were 606 roll-ups of two jobs each.
	RollUpChangesMin = 12
	// RollUpBytes bounds, in bytes, what is added to a segment in one transaction.
	RollUpBytes = 6 << 10
	// SegmentBytes is the size, in bytes, at which a segment is closed. An open one is
	// rewritten by each roll-up.
	SegmentBytes = 8 << 10
	// PageBytes bounds a page of totals, in bytes before compression.
	PageBytes = 8 << 10
	// CompactPages is how many pages of totals may be closed before rows of the same name
	// are merged.
	CompactPages = 4
	// CompactCheckEvery is how often it is checked whether to compact the totals, which
	// reads each row.
	CompactCheckEvery = time.Minute
	// TotalsLogEvery is how often the totals are logged, at debug level.
	TotalsLogEvery = 10 * time.Second
	// SegmentPage is how many segments one query for a job's charges reads: some hundred
	// KB.
	SegmentPage = 20
	// ChargesPage is the number of charges after which an answer continues on another
	// page: at some 350 bytes each it stays under half a MB.
	ChargesPage = 500
	// ChargesTimeout is how long such a query may take.
	ChargesTimeout = 4 * time.Second
	// TotalRows is how many rows one answer about totals holds: with names of 200 bytes
	// they still fit QueryResponseMax.
	TotalRows = 40
	// MonthlyTotalsAfterDays is after how many days the totals per day are merged into
	// totals per month: budgets look back over the previous month at most.
	MonthlyTotalsAfterDays = 93
	// PropertiesEvery is how often the operators' properties file is checked for changes.
	PropertiesEvery = 5 * time.Second
)
