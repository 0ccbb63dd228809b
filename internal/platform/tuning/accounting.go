package tuning

import "time"

// Charges, the ledger and budgets.
const (
	// ServiceReserve is what a started replica reserves of its team's budget: it ends
	// by itself never, and an hour is as far as anybody can expect.
	ServiceReserve = time.Hour
	// EstimateCorrectionMax bounds the factor by which owners' estimates are corrected: they
	// are often wrong by half, rarely by more.
	EstimateCorrectionMax = 4.0
	// EstimateLearningRate is how much one more completed task counts in that factor.
	EstimateLearningRate = 0.1
	// LedgerValueKB is the least size of a value, in KiB, that progress records with charges need.
	LedgerValueKB = 14
	// RollUpAfter is how long charges lie in their jobs' records before they are
	// rolled up; sooner if there are as many as one transaction can take. Longer lets
	// more of them share one.
	RollUpAfter = 60 * time.Second
	// RollUpChangesMin is for how many changes there must be room before charges are rolled
	// up, if so many are due: each roll-up also writes a segment and a page. On a day with
	// 13 jobs a second there were 606 roll-ups of two jobs each.
	RollUpChangesMin = 12
	// RollUpBytes bounds, in bytes, what is added to a segment in one transaction.
	RollUpBytes = 6 << 10
	// SegmentBytes is the size, in bytes, at which a segment is closed. One that is open is
	// rewritten with each roll-up.
	SegmentBytes = 8 << 10
	// PageBytes bounds a page of totals, in bytes before compression.
	PageBytes = 8 << 10
	// CompactPages is how many pages of totals may be closed before rows of the same
	// name are brought together.
	CompactPages = 4
	// CompactCheckEvery is how often the totals are looked at for that: it costs a look at each row.
	CompactCheckEvery = time.Minute
	// TotalsLogEvery is how often the totals go to the log, at debug level.
	TotalsLogEvery = 10 * time.Second
	// SegmentPage is how many segments one question for a job's charges reads: some
	// hundred KB.
	SegmentPage = 20
	// ChargesPage is after how many charges an answer goes on at another question: at
	// some 350 bytes each it stays under half a MB.
	ChargesPage = 500
	// ChargesTimeout is how long such a question may take.
	ChargesTimeout = 4 * time.Second
	// TotalRows is how many rows one answer on totals holds: with names of 200 bytes
	// they still fit QueryResponseMax.
	TotalRows = 40
	// MonthlyTotalsAfterDays is after how many days the totals of days are brought together
	// to months: budgets look back over the month before at most.
	MonthlyTotalsAfterDays = 93
	// PropertiesEvery is how often the operators' file is looked at for changes.
	PropertiesEvery = 5 * time.Second
)
