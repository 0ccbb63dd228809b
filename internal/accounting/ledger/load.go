package ledger

import (
	"context"

	"poppypass/internal/accounting/budget"
	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/wire"
)

// Read reads the stored totals and the last segment, which is the only one that may still be extended.
func (l *Ledger) Read(ctx context.Context, store *statestore.Client, _ func(func()) error) (func(), error) {
	var pages []wire.Item
	if _, err := store.ListAll(ctx, PrefixPage, func(items []wire.Item) error {
		pages = append(pages, items...)
		return nil
	}); err != nil {
		return nil, err
	}
	last, err := lastSegment(ctx, store)
	if err != nil {
		return nil, err
	}
	return func() {
		if err := l.load(pages, last); err != nil {
			// Nothing can be added to totals and segments that are not in memory. The charges stay in the job store's
			// records.
			l.log.Error("decoding the ledger's records failed; charges are stored but not rolled up in this term", "err", err)
		}
	}, nil
}

// lastSegment returns the segment with the highest number; nil if there is none.
func lastSegment(ctx context.Context, store *statestore.Client) (*wire.Item, error) {
	var last *wire.Item
	exists := func(n int) (bool, error) {
		item, ok, err := store.Get(ctx, keySegment(n))
		if ok && err == nil {
			last = &item
		}
		return ok, err
	}
	if _, err := lastNumber(exists); err != nil {
		return nil, err
	}
	return last, nil
}

// lastNumber returns the highest number for which exists returns true; -1 if there is none. Numbers start at 0 and have
// no gaps, so the number is found by doubling followed by a binary search, in a logarithmic number of calls. Of the calls
// of exists that return true, the last is the one with the returned number.
func lastNumber(exists func(n int) (bool, error)) (int, error) {
	if ok, err := exists(0); err != nil || !ok {
		return -1, err
	}
	low, high := 0, 1 // low exists
	for {
		ok, err := exists(high)
		if err != nil {
			return -1, err
		}
		if !ok {
			break
		}
		low, high = high, 2*high
	}
	for low+1 < high { // low exists, high does not
		mid := (low + high) / 2
		ok, err := exists(mid)
		if err != nil {
			return -1, err
		}
		if ok {
			low = mid
		} else {
			high = mid
		}
	}
	return low, nil
}

// load sets the open segment, the pages and the budgets' usage from stored records. If it returns an error, it has
// changed nothing.
func (l *Ledger) load(pages []wire.Item, last *wire.Item) error {
	closed, open, err := l.decodePages(pages)
	if err != nil {
		return err
	}
	seg, err := l.decodeLastSegment(last)
	if err != nil {
		return err
	}
	l.openSegment, l.openPage, l.closedPages, l.loaded = seg, open, closed, true
	l.visitPages(func(key RowKey, sum charge.Amounts) {
		l.budgets.AddCharge(budget.Scope{Team: key.Team, Account: key.Account}, key.Day, budget.Usage{Core: sum.Core, Money: sum.Money})
	})
	l.budgets.Recompute(l.cfg.Clock.Now())
	return nil
}

// decodePages decodes the pages of totals. The page with the highest number is the open one.
func (l *Ledger) decodePages(items []wire.Item) (closed map[int]*page, open *page, err error) {
	closed, open = map[int]*page{}, newPage(0)
	for _, item := range items {
		p, err := l.decodePage(item)
		if err != nil {
			return nil, nil, err
		}
		closed[p.number] = p
		if p.number >= open.number {
			open = p
		}
	}
	delete(closed, open.number)
	return closed, open, nil
}

func (l *Ledger) decodePage(item wire.Item) (*page, error) {
	number, err := recordNumber(PrefixPage, item.Key)
	if err != nil {
		return nil, err
	}
	rows, err := ReadPage(l.codec, item)
	if err != nil {
		return nil, err
	}
	p := newPage(number)
	p.version = item.Version
	for _, r := range rows {
		p.add(r.Key, r.Sum)
	}
	return p, nil
}

func (l *Ledger) decodeLastSegment(item *wire.Item) (segment, error) {
	if item == nil {
		return segment{}, nil
	}
	number, err := recordNumber(PrefixSegment, item.Key)
	if err != nil {
		return segment{}, err
	}
	packs, err := ReadSegment(l.codec, *item)
	if err != nil {
		return segment{}, err
	}
	return segment{number: number, version: item.Version, packs: packs, bytes: len(item.Value)}, nil
}

// visitPages calls fn with each row of the totals.
func (l *Ledger) visitPages(fn func(RowKey, charge.Amounts)) {
	for key, sum := range l.openPage.rows {
		fn(key, sum)
	}
	for _, p := range l.closedPages {
		for key, sum := range p.rows {
			fn(key, sum)
		}
	}
}
