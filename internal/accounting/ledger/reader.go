package ledger

import (
	"context"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Reader reads the ledger from the state service; any member and any command can. It is not
// safe for concurrent use.
type Reader struct {
	store *statestore.Client
	codec *charge.Codec
}

// NewReader returns a reader of a state service.
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
	// Next is where to go on; empty: there are no more. Charges of a job that has just
	// ended may come again on a later page while they are rolled up; their task, attempt
	// and part tell.
	Next string `json:"next,omitempty"`
}

// JobCharges reads charges of a job: first those that are still in its own records, then
// those in segments, some segments a page. after is the Next of the page before.
func (r *Reader) JobCharges(ctx context.Context, id, after string) (ChargesPage, error) {
	page := ChargesPage{Charges: []ChargeView{}}
	if after == "" {
		for _, prefix := range []string{jobs.PrefixProgress + id + "/", jobs.PrefixDetached + id + "/"} {
			if err := r.addFromRecords(ctx, &page, prefix); err != nil {
				return page, err
			}
		}
	}
	// A charge that was in neither moved to a segment before, so it is found there now.
	if err := r.addFromSegments(ctx, &page, id, after); err != nil {
		return page, err
	}
	sortChargeViews(page.Charges)
	return page, nil
}

// addFromRecords adds the charges in a job's records with a prefix.
func (r *Reader) addFromRecords(ctx context.Context, page *ChargesPage, prefix string) error {
	_, err := r.store.ListAll(ctx, prefix, func(items []wire.Item) error {
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
	})
	return err
}

// addFromSegments adds the job's charges in the segments after a key, until the page has
// ChargesPage of them, and sets where the next page goes on.
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
