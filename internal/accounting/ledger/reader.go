package ledger

import (
	"context"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Reader reads the ledger's records from the state service. Any member and any command can use one. It is not safe for
// concurrent use.
type Reader struct {
	store *statestore.Client
	codec *charge.Codec
}

// NewReader returns a reader of the ledger in a state service.
func NewReader(store *statestore.Client) (*Reader, error) {
	codec, err := charge.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Reader{store: store, codec: codec}, nil
}

// ChargesPage is one page of a job's charges.
type ChargesPage struct {
	Charges []ChargeView `json:"charges"`
	// Next is the value of the parameter after that requests the next page; empty: this is the last page. Charges of a
	// job that has just ended may appear again on a later page if they are rolled up meanwhile. Duplicates have the same
	// task, attempt and part.
	Next string `json:"next,omitempty"`
}

// JobCharges returns one page of a job's charges. Each page contains the charges in some segments; the first page also
// contains those that are still in the job's own records. after is the Next of the previous page; it is empty for the
// first page.
func (r *Reader) JobCharges(ctx context.Context, id, after string) (ChargesPage, error) {
	page := ChargesPage{Charges: []ChargeView{}}
	if after == "" {
		for _, prefix := range []string{jobs.PrefixProgress + id + "/", jobs.PrefixDetached + id + "/"} {
			if err := r.addFromRecords(ctx, &page, prefix); err != nil {
				return page, err
			}
		}
	}
	// The segments are read after the job's records, so no charge is missed: a charge that was no longer in the records
	// had already been moved to a segment.
	if err := r.addFromSegments(ctx, &page, id, after); err != nil {
		return page, err
	}
	sortChargeViews(page.Charges)
	return page, nil
}

// addFromRecords adds the charges in the job's records with a key prefix.
func (r *Reader) addFromRecords(ctx context.Context, page *ChargesPage, prefix string) error {
	_, err := r.store.ListAll(ctx, prefix, func(items []wire.Item) error {
		for _, item := range items {
			pack, err := jobs.DecodeCharges(item)
			if err != nil {
				return err
			}
			if pack != nil {
				page.Charges = append(page.Charges, ChargeViews(pack)...)
			}
		}
		return nil
	})
	return err
}

// addFromSegments adds the job's charges in the segments after a key. It reads at most SegmentsPerCall segments, stops
// once the page has ChargesPerAnswer charges, and sets page.Next.
func (r *Reader) addFromSegments(ctx context.Context, page *ChargesPage, id, after string) error {
	items, err := r.store.List(ctx, PrefixSegment, after, tuning.SegmentsPerCall)
	if err != nil {
		return err
	}
	for _, item := range items.Items {
		packs, err := ReadSegment(r.codec, item)
		if err != nil {
			return err
		}
		for i := range packs {
			if packs[i].Job == id {
				page.Charges = append(page.Charges, ChargeViews(&packs[i])...)
			}
		}
		if len(page.Charges) >= tuning.ChargesPerAnswer {
			page.Next = item.Key
			break
		}
		if items.More {
			page.Next = item.Key
		}
	}
	return nil
}
