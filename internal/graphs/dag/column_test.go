package dag

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Property: a column is decoded to the list that it encodes, and a list without some of the numbers takes no more bytes.
func TestColumn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.SampledFrom([]int{0, 1, 7, 300, 1 << 40}).Draw(rt, "limit")
		values := rapid.SliceOfN(rapid.IntRange(0, limit), 0, 300).Draw(rt, "values")
		if rapid.Bool().Draw(rt, "sorted") {
			slices.Sort(values)
		}
		got, ok := encodeColumn(values).decode(len(values))
		if !ok || !slices.Equal(got, values) {
			rt.Fatalf("%v is decoded as %v, %v", values, got, ok)
		}
		if _, ok := encodeColumn(values).decode(len(values) + 10); ok && ColumnBytes(values) != ColumnBytes(nil) {
			rt.Errorf("%v is decoded as a longer list", values)
		}
		some := slices.DeleteFunc(slices.Clone(values), func(v int) bool { return v%3 == 1 })
		if ColumnBytes(some) > ColumnBytes(values) {
			rt.Errorf("%v takes %d bytes, and %v takes %d", some, ColumnBytes(some), values, ColumnBytes(values))
		}
	})
}
