package ledger

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

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
	for _, c := range []struct {
		name, want string
		change     func(map[string]wire.Item)
	}{
		{"a total", "total of", func(items map[string]wire.Item) {
			item := tl.itemsWithPrefix(PrefixPage)[0]
			rows, err := ReadPage(codec, item)
			if err != nil {
				t.Fatal(err)
			}
			rows[0].Sum.Money++
			item.Value = pageValue(codec, rows)
			items[item.Key] = item
		}},
		{"a charge twice", "is charged twice", func(items map[string]wire.Item) {
			packs, err := ReadSegment(codec, segment)
			if err != nil {
				t.Fatal(err)
			}
			item := segment
			item.Value = segmentValue(codec, append(packs, packs[0]))
			items[item.Key] = item
		}},
		{"a part", "do not follow each other", func(items map[string]wire.Item) {
			packs, err := ReadSegment(codec, segment)
			if err != nil {
				t.Fatal(err)
			}
			for i := range packs {
				for k := range packs[i].Charges {
					if packs[i].Charges[k].Part == 1 {
						packs[i].Charges[k].Start += 1000
					}
				}
			}
			item := segment
			item.Value = segmentValue(codec, packs)
			items[item.Key] = item
		}},
		{"a segment", "is not the one that follows", func(items map[string]wire.Item) { delete(items, segment.Key) }},
		{"a flipped bit", "damaged", func(items map[string]wire.Item) {
			item := segment
			item.Value = slices.Clone(item.Value)
			at := len(item.Value) / 2
			if item.Value[at]++; item.Value[at] > 'z' || item.Value[at] < 'A' {
				item.Value[at] = 'A'
			}
			items[item.Key] = item
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			items := maps.Clone(tl.items)
			c.change(items)
			v := verifyItems(t, items)
			if len(v.Discrepancies) == 0 || !slices.ContainsFunc(v.Discrepancies, func(s string) bool { return strings.Contains(s, c.want) }) {
				t.Errorf("found %v", v.Discrepancies)
			}
		})
	}
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
			tl.ledger.openSegment.bytes = tuning.SegmentBytes // the next roll-up begins another segment
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
