package ledger

import (
	"context"
	"fmt"
	"maps"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/wire"
)

// Verification is the result of a verification.
type Verification struct {
	Segments, Jobs, Charges int
	Discrepancies           []string // what is wrong, a line each
}

// Verify reads the whole ledger, works out the totals anew from the charges in the segments
// and compares them with the stored ones. It also looks for charges that are there twice,
// and for gaps between the parts of an attempt. Days begin in the given time zone. If the
// ledger changes meanwhile, it begins again, until ctx is done.
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

// verifyOnce verifies the ledger. Totals and segments of different times do not match, so
// the result counts only if it is stable: if no page of totals changed while it was read.
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
	v.result.Jobs = len(v.jobs)
	after, err := r.readTotals(ctx, func(RowKey, charge.Amounts) {})
	return &v.result, maps.Equal(before, after), err
}

// readTotals calls add with each stored row of totals, and returns the versions of their
// pages by key.
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

// verifier is the work of one verification. All totals are added before the first segment.
type verifier struct {
	zone        *time.Location
	result      Verification
	stored      rowSums         // totals, as they are stored
	foldedMonth map[string]bool // months that stand in stored totals in place of their days
	recomputed  rowSums         // totals, from the charges
	parts       map[chargeID]charge.Charge
	jobs        map[string]bool
	nextSegment int
}

// chargeID names a charge.
type chargeID struct {
	job     string
	task    int
	attempt uint64
	part    int
}

func newVerifier(zone *time.Location) *verifier {
	return &verifier{
		zone: zone, stored: rowSums{}, foldedMonth: map[string]bool{}, recomputed: rowSums{},
		parts: map[chargeID]charge.Charge{}, jobs: map[string]bool{},
	}
}

func (v *verifier) report(format string, args ...any) {
	v.result.Discrepancies = append(v.result.Discrepancies, fmt.Sprintf(format, args...))
}

func (v *verifier) addTotal(key RowKey, sum charge.Amounts) {
	v.stored.add(key, sum)
	if key.isMonth() {
		v.foldedMonth[key.Day] = true
	}
}

// folded returns a key by which totals can be compared: days of a month of which some are
// folded already count as the month.
func (v *verifier) folded(key RowKey) RowKey {
	if month := key.month(); v.foldedMonth[month] {
		key.Day = month
	}
	return key
}

// addSegment adds the charges of a segment, which must be the one that follows.
func (v *verifier) addSegment(codec *charge.Codec, item wire.Item) {
	if n, err := recordNumber(PrefixSegment, item.Key); err != nil || n != v.nextSegment {
		v.report("segment %s is not the one that follows", item.Key)
		v.nextSegment = n
	}
	v.nextSegment++
	packs, err := ReadSegment(codec, item)
	if err != nil {
		v.report("%v", err)
		return
	}
	v.result.Segments++
	for i := range packs {
		v.addPack(&packs[i])
	}
}

func (v *verifier) addPack(p *charge.Pack) {
	v.jobs[p.Job] = true
	for _, c := range p.Charges {
		id := chargeID{p.Job, c.Task, c.Attempt, c.Part}
		if _, twice := v.parts[id]; twice {
			v.report("%s/%d, attempt %d, part %d is charged twice", id.job, id.task, id.attempt, id.part)
		}
		v.parts[id] = c
		v.result.Charges++
	}
	for key, sum := range RowsOf(p, v.zone) {
		v.recomputed.add(v.folded(key), sum)
	}
}

// checkParts reports parts of an attempt that do not begin when the part before ends. That
// part may not be rolled up yet.
func (v *verifier) checkParts() {
	for id, c := range v.parts {
		if id.part == 0 {
			continue
		}
		earlier := id
		earlier.part--
		if e, ok := v.parts[earlier]; ok && e.End() != c.Start {
			v.report("%s/%d, attempt %d: parts %d and %d do not follow each other", id.job, id.task, id.attempt, earlier.part, id.part)
		}
	}
}

// compareTotals reports each difference between the stored totals and the recomputed ones.
func (v *verifier) compareTotals() {
	stored := rowSums{}
	for key, sum := range v.stored {
		stored.add(v.folded(key), sum) // a page of its month may not be folded yet
	}
	for key, sum := range v.recomputed {
		if s := stored[key]; s != sum {
			v.report("total of %v is %d core-us and %d money; the charges make %d and %d", key, s.Core, s.Money, sum.Core, sum.Money)
		}
	}
	for key, sum := range stored {
		if _, ok := v.recomputed[key]; !ok && sum != (charge.Amounts{}) {
			v.report("total of %v is kept, and no charge makes it up", key)
		}
	}
}
