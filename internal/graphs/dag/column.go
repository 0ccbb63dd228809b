package dag

import (
	"math/bits"

	"github.com/fxamacker/cbor/v2"
)

// column is the stored form of a list of numbers that are not negative, in whichever of two forms is shorter: runs of
// equal numbers, or numbers of a fixed width in bits. A list without some of the numbers is never longer.
type column struct {
	_      struct{} `cbor:",toarray"`
	Runs   []int    // pairs of a number and how often it follows
	Width  int      // bits of a number in Packed
	Packed []byte   // lowest bits first
}

// encodeColumn returns the shorter form of a list. An empty column stands for a list of zeros.
func encodeColumn(values []int) column {
	width := 0
	var runs []int
	for i, v := range values {
		width = max(width, bits.Len(uint(v)))
		if i > 0 && v == values[i-1] {
			runs[len(runs)-1]++
		} else {
			runs = append(runs, v, 1)
		}
	}
	if width == 0 {
		return column{}
	}
	byRuns, packed := column{Runs: runs}, column{Width: width, Packed: packBits(values, width)}
	if byRuns.bytes() <= packed.bytes() {
		return byRuns
	}
	return packed
}

// bytes returns the encoded size of the column.
func (c column) bytes() int { return len(mustMarshal(c)) }

// decode returns the list of n numbers. ok is false if the column does not have that many.
func (c column) decode(n int) (values []int, ok bool) {
	switch {
	case c.Width > 0:
		return unpackBits(c.Packed, c.Width, n)
	case len(c.Runs) == 0:
		return make([]int, n), true
	}
	values = make([]int, 0, n)
	for i := 0; i+1 < len(c.Runs); i += 2 {
		if c.Runs[i] < 0 || c.Runs[i+1] > n-len(values) {
			return nil, false
		}
		for range c.Runs[i+1] {
			values = append(values, c.Runs[i])
		}
	}
	return values, len(values) == n
}

// packBits returns numbers with width bits each.
func packBits(values []int, width int) []byte {
	packed := make([]byte, (len(values)*width+7)/8)
	for i, v := range values {
		for b := range width {
			if v&(1<<b) != 0 {
				position := i*width + b
				packed[position/8] |= 1 << (position % 8)
			}
		}
	}
	return packed
}

// unpackBits is the inverse of packBits for n numbers. ok is false if there are not as many.
func unpackBits(packed []byte, width, n int) (values []int, ok bool) {
	if width < 0 || width > bits.UintSize-1 || len(packed) != (n*width+7)/8 {
		return nil, false
	}
	values = make([]int, n)
	for i := range values {
		for b := range width {
			if position := i*width + b; packed[position/8]&(1<<(position%8)) != 0 {
				values[i] |= 1 << b
			}
		}
	}
	return values, true
}

// ColumnBytes returns how many bytes a list of numbers takes in the compact form of a run. A list without some of the
// numbers takes no more.
func ColumnBytes(values []int) int { return encodeColumn(values).bytes() }

// stateWidth is the number of bits of a state in the compact form.
const stateWidth = 4

// packStates returns states with stateWidth bits each.
func packStates(states []State) []byte {
	values := make([]int, len(states))
	for i, s := range states {
		values[i] = int(s)
	}
	return packBits(values, stateWidth)
}

// unpackStates is the inverse of packStates for n states. It returns a byte for each, which may be no known state.
func unpackStates(packed []byte, n int) (states []byte, ok bool) {
	values, ok := unpackBits(packed, stateWidth, n)
	states = make([]byte, len(values))
	for i, v := range values {
		states[i] = byte(v)
	}
	return states, ok
}

// mustMarshal encodes the stored form of a run as CBOR. It panics on an error, which its types make impossible.
func mustMarshal(stored any) []byte {
	raw, err := cbor.Marshal(stored)
	if err != nil {
		panic("encoding a run as CBOR failed: " + err.Error())
	}
	return raw
}
