package ledger

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"

	"github.com/jonboulle/clockwork"
)

// Verification names what is wrong: a total that was changed, a charge that is there twice,
// a gap between parts, a segment that is missing or damaged.
func TestVerifyNamesEachDiscrepancy(t *testing.T) {
	tl := newTestLeader(t)
	tl.makeTwoSegments()
	codec := tl.ledger.codec
	if v := verifyItems(t, tl.items); len(v.Discrepancies) != 0 || v.Jobs != 60 || v.Charges < 60 {
		t.Fatalf("found %+v", v)
	}
	segment := tl.itemsWithPrefix(PrefixSegment)[0]
	// changed returns records whose first segment has other charges.
	changed := func(change func(packs []charge.Pack) []charge.Pack) map[string]wire.Item {
		packs, err := ReadSegment(codec, segment)
		if err != nil {
			t.Fatal(err)
		}
		return withValue(tl.items, segment, segmentValue(codec, change(packs)))
	}
	for _, c := range []struct {
		name, want string
		items      map[string]wire.Item
	}{
		{"a total", "total of", tl.withOtherTotal()},
		{"a charge twice", "is charged twice", changed(func(packs []charge.Pack) []charge.Pack { return append(packs, packs[0]) })},
		{"a part", "do not follow each other", changed(delaySecondParts)},
		{"a segment", "is not the one that follows", without(tl.items, segment)},
		{"a flipped bit", "damaged", withValue(tl.items, segment, flipBit(segment.Value))},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := verifyItems(t, c.items)
			if len(v.Discrepancies) == 0 || !slices.ContainsFunc(v.Discrepancies, func(s string) bool { return strings.Contains(s, c.want) }) {
				t.Errorf("found %v", v.Discrepancies)
			}
		})
	}
}

// withValue returns records of which one has another value.
func withValue(items map[string]wire.Item, item wire.Item, value []byte) map[string]wire.Item {
	out := maps.Clone(items)
	item.Value = value
	out[item.Key] = item
	return out
}

// without returns records without one.
func without(items map[string]wire.Item, item wire.Item) map[string]wire.Item {
	out := maps.Clone(items)
	delete(out, item.Key)
	return out
}

// withOtherTotal returns the stored records with another sum in one row of the totals.
func (tl *testLeader) withOtherTotal() map[string]wire.Item {
	tl.t.Helper()
	page := tl.itemsWithPrefix(PrefixPage)[0]
	rows, err := ReadPage(tl.ledger.codec, page)
	if err != nil {
		tl.t.Fatal(err)
	}
	rows[0].Sum.Money++
	return withValue(tl.items, page, pageValue(tl.ledger.codec, rows))
}

// delaySecondParts has the second part of each attempt begin a second too late.
func delaySecondParts(packs []charge.Pack) []charge.Pack {
	for i := range packs {
		for k := range packs[i].Charges {
			if packs[i].Charges[k].Part == 1 {
				packs[i].Charges[k].Start += 1000
			}
		}
	}
	return packs
}

// flipBit damages a stored value in its middle, within the alphabet of its encoding.
func flipBit(value []byte) []byte {
	value = slices.Clone(value)
	at := len(value) / 2
	if value[at]++; value[at] > 'z' || value[at] < 'A' {
		value[at] = 'A'
	}
	return value
}

// makeTwoSegments runs jobs whose charges have parts, and rolls them up into two segments
// and some pages of totals.
func (tl *testLeader) makeTwoSegments() {
	tl.t.Helper()
	for i := range 60 {
		j := jobArray(fmt.Sprintf("job-%d", i), 1)
		j.Account = fmt.Sprintf("account %d with a long name, so that there are some pages of totals", i)
		tl.submit(j)
		a := tl.allocateAndRun(j.ID)
		tl.clock.Advance(13 * time.Hour) // so that there are parts
		tl.ledger.Tick(tl.now())
		tl.end(tl.allocations[attemptIDOf(a)], wire.ExitDone, false)
		if i == 30 {
			tl.rollUpAll()
			tl.ledger.openSegment.bytes = tuning.SegmentCloseBytes // the next roll-up begins another segment
		}
	}
	tl.rollUpAll()
}

// verifyItems verifies the ledger of a state service with these records.
func verifyItems(t *testing.T, items map[string]wire.Item) *Verification {
	t.Helper()
	state := fakes.NewStore(clockwork.NewFakeClockAt(testStart))
	t.Cleanup(func() { state.Close() })
	store := statestore.New(state.Addr(), 1e6, 1e6)
	for key, item := range items {
		if _, err := store.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: key, Value: item.Value}}}); err != nil {
			t.Fatal(err)
		}
	}
	r, err := NewReader(store)
	if err != nil {
		t.Fatal(err)
	}
	v, err := r.Verify(t.Context(), time.UTC)
	if err != nil {
		t.Fatal(err)
	}
	return v
}
