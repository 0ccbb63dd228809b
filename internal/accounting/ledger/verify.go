package ledger

import (
	"context"
	"fmt"
	"maps"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

// Verification is the result of Reader.Verify.
type Verification struct {
	SegmentCount, JobCount, ChargeCount int      // numbers of segments, jobs and charges that were read
	Discrepancies                       []string // one line for each fault that was found
}

// Verify reads all segments and totals, recomputes the totals from the charges in the segments, and compares them with
// the stored totals. It also checks for duplicate charges and for gaps between the parts of an attempt. Days begin in the
// given time zone. If the ledger changes meanwhile, Verify starts again, until ctx is done.
func (r *Reader) Verify(ctx context.Context, zone *time.Location) (*Verification, error) {
	for {
		v, stable, err := r.verifyOnce(ctx, zone)
		if err != nil || stable {
			return v, err
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
}

// verifyOnce verifies the ledger once. The result is valid only if stable is true, which means that no page of totals
// changed while the segments were read. Otherwise the totals need not match the segments.
func (r *Reader) verifyOnce(ctx context.Context, zone *time.Location) (result *Verification, stable bool, err error) {
	v := newVerifier(zone)
	before, err := r.readTotals(ctx, v.addTotal)
	if err != nil {
		return nil, false, err
	}
	if _, err := r.store.ListAll(ctx, PrefixSegment, func(items []wire.Item) error {
		for _, item := range items {
			v.addSegment(r.codec, item)
		}
		return nil
	}); err != nil {
		return nil, false, err
	}
	v.checkParts()
	v.compareTotals()
	v.result.JobCount = len(v.jobs)
	after, err := r.readTotals(ctx, func(RowKey, charge.Amounts) {})
	return &v.result, maps.Equal(before, after), err
}

// readTotals calls add with each stored row of totals, and returns the versions of the pages by key.
func (r *Reader) readTotals(ctx context.Context, add func(RowKey, charge.Amounts)) (map[string]uint64, error) {
	versions := map[string]uint64{}
	_, err := r.store.ListAll(ctx, PrefixPage, func(items []wire.Item) error {
		for _, item := range items {
			versions[item.Key] = item.Version
			rows, err := ReadPage(r.codec, item)
			if err != nil {
				return err
			}
			for _, row := range rows {
				add(row.Key, row.Sum)
			}
		}
		return nil
	})
	return versions, err
}

// verifier is the state of one verification. All stored totals must be added before the first segment, because they
// determine which months are folded.
type verifier struct {
	zone         *time.Location
	result       Verification
	stored       rowSums                    // the stored totals
	foldedMonths map[string]bool            // months for which the stored totals have rows per month
	recomputed   rowSums                    // the totals computed from the charges
	parts        map[chargeID]charge.Charge // the charges in the segments
	jobs         map[string]bool            // jobs with charges, by ID
	nextSegment  int                        // the expected number of the next segment
}

// chargeID identifies a charge.
type chargeID struct {
	job     string
	task    int
	attempt uint64
	part    int
}

func newVerifier(zone *time.Location) *verifier {
	return &verifier{
		zone: zone, stored: rowSums{}, foldedMonths: map[string]bool{}, recomputed: rowSums{},
		parts: map[chargeID]charge.Charge{}, jobs: map[string]bool{},
	}
}

// report adds a discrepancy to the result.
func (v *verifier) report(format string, args ...any) {
	v.result.Discrepancies = append(v.result.Discrepancies, fmt.Sprintf(format, args...))
}

// addTotal adds a stored row of totals.
func (v *verifier) addTotal(key RowKey, sum charge.Amounts) {
	v.stored.add(key, sum)
	if key.isMonth() {
		v.foldedMonths[key.Day] = true
	}
}

// folded returns the key under which a row is compared. If some rows of a month are folded already, all its days are
// compared as one month.
func (v *verifier) folded(key RowKey) RowKey {
	if month := key.month(); v.foldedMonths[month] {
		key.Day = month
	}
	return key
}

// addSegment adds the charges of a segment, and reports it if it is not the next one in sequence.
func (v *verifier) addSegment(codec *charge.Codec, item wire.Item) {
	if number, err := recordNumber(PrefixSegment, item.Key); err != nil || number != v.nextSegment {
		v.report("segment %s is out of sequence, or its key is malformed", item.Key)
		v.nextSegment = number
	}
	v.nextSegment++
	packs, err := ReadSegment(codec, item)
	if err != nil {
		v.report("%v", err)
		return
	}
	v.result.SegmentCount++
	for i := range packs {
		v.addPack(&packs[i])
	}
}

// addPack adds the charges of a pack, and reports duplicates.
func (v *verifier) addPack(pack *charge.Pack) {
	v.jobs[pack.Job] = true
	for _, c := range pack.Charges {
		id := chargeID{pack.Job, c.Task, c.Attempt, c.Part}
		if _, duplicate := v.parts[id]; duplicate {
			v.report("%s/%d, attempt %d, part %d is charged twice", id.job, id.task, id.attempt, id.part)
		}
		v.parts[id] = c
		v.result.ChargeCount++
	}
	for key, sum := range RowsOf(pack, v.zone) {
		v.recomputed.add(v.folded(key), sum)
	}
}

// checkParts reports parts of an attempt that do not begin when the previous part ends. A previous part that is not in
// the segments is no fault: it may not be rolled up yet.
func (v *verifier) checkParts() {
	for id, c := range v.parts {
		if id.part == 0 {
			continue
		}
		earlierID := id
		earlierID.part--
		if earlierCharge, ok := v.parts[earlierID]; ok && earlierCharge.EndMS() != c.StartMS {
			v.report("%s/%d, attempt %d: parts %d and %d are not contiguous", id.job, id.task, id.attempt, earlierID.part, id.part)
		}
	}
}

// compareTotals reports each difference between the stored totals and the recomputed ones.
func (v *verifier) compareTotals() {
	stored := rowSums{}
	for key, sum := range v.stored {
		stored.add(v.folded(key), sum) // some pages may still have rows of this month's days
	}
	for key, sum := range v.recomputed {
		if storedSum := stored[key]; storedSum != sum {
			v.report("stored total of %v is %d core-us and %d money, but its charges sum to %d and %d", key, storedSum.Core, storedSum.Money, sum.Core, sum.Money)
		}
	}
	for key, sum := range stored {
		if _, ok := v.recomputed[key]; !ok && sum != (charge.Amounts{}) {
			v.report("stored total of %v has no charges", key)
		}
	}
}
