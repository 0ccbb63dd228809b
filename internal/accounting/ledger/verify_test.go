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

// Verify must report each kind of fault: a changed total, a duplicate charge, a gap between parts, a missing segment, a
// damaged segment.
func TestVerifyNamesEachDiscrepancy(t *testing.T) {
	tl := newTestLeader(t)
	tl.makeTwoSegments()
	codec := tl.ledger.codec
	if v := verifyItems(t, tl.items); len(v.Discrepancies) != 0 || v.JobCount != 60 || v.ChargeCount < 60 {
		t.Fatalf("verifying the intact ledger gave %+v, want no discrepancies, 60 jobs and at least 60 charges", v)
	}
	segment := tl.itemsWithPrefix(PrefixSegment)[0]
	// changed returns a copy of the records in which the packs of the first segment are changed.
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
		{"changed total", "total of", tl.withOtherTotal()},
		{"duplicate charge", "is charged twice", changed(func(packs []charge.Pack) []charge.Pack { return append(packs, packs[0]) })},
		{"gap between parts", "are not contiguous", changed(delaySecondParts)},
		{"missing segment", "is out of sequence", withoutItem(tl.items, segment)},
		{"damaged segment", "damaged", withValue(tl.items, segment, corruptByte(segment.Value))},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := verifyItems(t, c.items)
			if len(v.Discrepancies) == 0 || !slices.ContainsFunc(v.Discrepancies, func(s string) bool { return strings.Contains(s, c.want) }) {
				t.Errorf("the fault is not among the discrepancies: %v", v.Discrepancies)
			}
		})
	}
}

// withValue returns a copy of the records in which one has another value.
func withValue(items map[string]wire.Item, item wire.Item, value []byte) map[string]wire.Item {
	out := maps.Clone(items)
	item.Value = value
	out[item.Key] = item
	return out
}

// withoutItem returns a copy of the records without one of them.
func withoutItem(items map[string]wire.Item, item wire.Item) map[string]wire.Item {
	out := maps.Clone(items)
	delete(out, item.Key)
	return out
}

// withOtherTotal returns a copy of the stored records in which one row of totals has another sum.
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

// delaySecondParts changes the second part of each attempt to begin one second late.
func delaySecondParts(packs []charge.Pack) []charge.Pack {
	for i := range packs {
		for k := range packs[i].Charges {
			if packs[i].Charges[k].Part == 1 {
				packs[i].Charges[k].StartMS += 1000
			}
		}
	}
	return packs
}

// corruptByte returns a copy of a stored value with one changed byte in the middle. The byte stays within the
// alphabet of the value's encoding, base64 in JSON.
func corruptByte(value []byte) []byte {
	value = slices.Clone(value)
	middle := len(value) / 2
	if value[middle]++; value[middle] > 'z' || value[middle] < 'A' {
		value[middle] = 'A'
	}
	return value
}

// makeTwoSegments runs jobs whose charges have several parts, and rolls them up into two segments and several pages of
// totals.
func (tl *testLeader) makeTwoSegments() {
	tl.t.Helper()
	for i := range 60 {
		j := arrayJob(fmt.Sprintf("job-%d", i), 1)
		j.Account = fmt.Sprintf("account %d with a long name, so that there are some pages of totals", i)
		tl.submit(j)
		a := tl.allocateAndRun(j.ID)
		tl.clock.Advance(13 * time.Hour) // past midnight, so that the charge has two parts
		tl.ledger.Tick(tl.now())
		tl.end(tl.allocations[attemptIDOf(a)], wire.ExitDone, false)
		if i == 30 {
			tl.rollUpAll()
			tl.ledger.openSegment.bytes = tuning.SegmentCloseBytes // the next roll-up begins another segment
		}
	}
	tl.rollUpAll()
}

// verifyItems returns the result of verifying the ledger in a state service that contains the given records.
func verifyItems(t *testing.T, items map[string]wire.Item) *Verification {
	t.Helper()
	service := fakes.NewStore(clockwork.NewFakeClockAt(testStart))
	t.Cleanup(func() { service.Close() })
	client := statestore.New(service.Addr(), 1e6, 1e6)
	for key, item := range items {
		if _, err := client.Commit(t.Context(), wire.Txn{Then: []wire.Change{{Put: key, Value: item.Value}}}); err != nil {
			t.Fatal(err)
		}
	}
	reader, err := NewReader(client)
	if err != nil {
		t.Fatal(err)
	}
	v, err := reader.Verify(t.Context(), time.UTC)
	if err != nil {
		t.Fatal(err)
	}
	return v
}
