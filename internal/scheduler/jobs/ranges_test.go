package jobs

import (
	"reflect"
	"testing"
)

func TestRangesRoundTripAndRejectMalformedOnes(t *testing.T) {
	for _, c := range []struct {
		idx  []int
		text string
	}{{nil, ""}, {[]int{3}, "3"}, {[]int{0, 1, 2, 5, 7, 8}, "0-2,5,7-8"}} {
		got, err := decodeRanges(c.text)
		if encodeRanges(c.idx) != c.text || err != nil || !reflect.DeepEqual(got, c.idx) {
			t.Errorf("%v is encoded as %q and decoded as %v, error %v", c.idx, encodeRanges(c.idx), got, err)
		}
	}
	for _, bad := range []string{"x", "3-1", "-1", "0-100000", "1,,2"} {
		if _, err := decodeRanges(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
