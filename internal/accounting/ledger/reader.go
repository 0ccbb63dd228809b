package ledger

import (
	"context"
	"fmt"
	"maps"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Reader reads the ledger from the state service; any member and any command can.
// It is not safe for concurrent use.
type Reader struct {
	store *statestore.Client
	codec *charge.Codec
}

// NewReader makes a reader of a state service.
func NewReader(store *statestore.Client) (*Reader, error) {
	codec, err := charge.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Reader{store: store, codec: codec}, nil
}

// ChargesPage is a part of a job's charges.
type ChargesPage struct {
	Charges []ChargeView `json:"charges"`
	// Next is where to go on; empty: there are no more. Charges of a job that has
	// just ended may come again on a later page while they are rolled up; their task,
	// attempt and part tell.
	Next string `json:"next,omitempty"`
}

// JobCharges reads the charges of a job: first those that lie in its own records, then
// those in segments, some segments a page. after is the Next of the page before.
func (r *Reader) JobCharges(ctx context.Context, id, after string) (ChargesPage, error) {
	page := ChargesPage{Charges: []ChargeView{}}
	if after == "" {
		for _, prefix := range []string{jobs.PrefixProgress + id + "/", jobs.PrefixDetached + id + "/"} {
			if _, err := r.store.ListAll(ctx, prefix, func(items []wire.Item) error {
				for _, item := range items {
					p, err := jobs.DecodeCharges(item)
					if err != nil {
						return err
					}
					if p != nil {
						page.Charges = append(page.Charges, ChargeViews(p)...)
					}
				}
				return nil
			}); err != nil {
				return page, err
			}
		}
	}
	// A charge that was in neither moved to a segment before, so it is found there now.
	items, err := r.store.List(ctx, PrefixSegment, after, tuning.SegmentPage)
	if err != nil {
		return page, err
	}
	for _, item := range items.Items {
		packs, err := ReadSegment(r.codec, item)
		if err != nil {
			return page, err
		}
		for i := range packs {
			if packs[i].Job == id {
				page.Charges = append(page.Charges, ChargeViews(&packs[i])...)
			}
		}
		if len(page.Charges) >= tuning.ChargesPage {
			page.Next = item.Key
			break
		}
		if items.More {
			page.Next = item.Key
		}
	}
	sortChargeViews(page.Charges)
	return page, nil
}

// pages reads the totals, and the versions of their pages.
func (r *Reader) pages(ctx context.Context, add func(RowKey, charge.Amounts)) (map[string]uint64, error) {
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

// Verification is what a verification found.
type Verification struct {
	Segments, Jobs, Charges int
	Discrepancies           []string // what is wrong, a line each
}

// Verify reads the whole ledger, works out the totals anew from the charges in the
// segments and compares them with those that are kept; it looks for charges that
// are there twice, and for gaps between the parts of an attempt. where is the place in
// which days begin.
func (r *Reader) Verify(ctx context.Context, where *time.Location) (*Verification, error) {
	for {
		f, stable, err := r.verify(ctx, where)
		if err != nil || stable {
			return f, err
		}
		// It changed meanwhile; totals and segments of different times do not match.
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
}

func (r *Reader) verify(ctx context.Context, where *time.Location) (f *Verification, stable bool, err error) {
	f = &Verification{}
	fault := func(format string, args ...any) {
		f.Discrepancies = append(f.Discrepancies, fmt.Sprintf(format, args...))
	}
	kept := map[RowKey]charge.Amounts{}
	months := map[string]bool{} // whose days are folded
	before, err := r.pages(ctx, func(n RowKey, a charge.Amounts) {
		sum := kept[n]
		sum.Add(a)
		kept[n] = sum
		if len(n.Day) < len(time.DateOnly) {
			months[n.Day] = true
		}
	})
	if err != nil {
		return nil, false, err
	}
	type part struct {
		job     string
		task    int
		attempt uint64
		part    int
	}
	seen := map[part]charge.Charge{}
	known := map[string]bool{}
	again := map[RowKey]charge.Amounts{}
	next := 0
	if _, err := r.store.ListAll(ctx, PrefixSegment, func(items []wire.Item) error {
		for _, item := range items {
			if n, err := recordNumber(PrefixSegment, item.Key); err != nil || n != next {
				fault("segment %s is not the one that follows", item.Key)
				next = n
			}
			next++
			packs, err := ReadSegment(r.codec, item)
			if err != nil {
				fault("%v", err)
				continue
			}
			f.Segments++
			for i := range packs {
				p := &packs[i]
				known[p.Job] = true
				for k := range p.Charges {
					c := p.Charges[k]
					name := part{p.Job, c.Task, c.Attempt, c.Part}
					if _, twice := seen[name]; twice {
						fault("%s/%d, attempt %d, part %d is charged twice", p.Job, c.Task, c.Attempt, c.Part)
					}
					seen[name] = c
					f.Charges++
				}
				for n, a := range RowsOf(p, where) {
					if months[n.Day[:7]] {
						n.Day = n.Day[:7]
					}
					sum := again[n]
					sum.Add(a)
					again[n] = sum
				}
			}
		}
		return nil
	}); err != nil {
		return nil, false, err
	}
	for name, c := range seen {
		if name.part == 0 {
			continue
		}
		name.part--
		if earlier, ok := seen[name]; ok && earlier.End() != c.Start {
			fault("%s/%d, attempt %d: parts %d and %d do not follow each other", name.job, name.task, name.attempt, name.part, name.part+1)
		}
	}
	f.Jobs = len(known)
	for n, a := range kept {
		if len(n.Day) == len(time.DateOnly) && months[n.Day[:7]] {
			// Its page is not folded yet.
			delete(kept, n)
			n.Day = n.Day[:7]
			sum := kept[n]
			sum.Add(a)
			kept[n] = sum
		}
	}
	for n, a := range again {
		if kept[n] != a {
			fault("total of %v is %d core-us and %d money; the charges make %d and %d", n, kept[n].Core, kept[n].Money, a.Core, a.Money)
		}
	}
	for n, a := range kept {
		if _, ok := again[n]; !ok && a != (charge.Amounts{}) {
			fault("total of %v is kept, and no charge makes it up", n)
		}
	}
	after, err := r.pages(ctx, func(RowKey, charge.Amounts) {})
	return f, maps.Equal(before, after), err
}
