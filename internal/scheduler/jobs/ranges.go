package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"poppypass/internal/platform/wire"
)

// encodeRanges is the stored form of ascending indexes, for example "0-2,5,7-8".
func encodeRanges(idx []int) string {
	var b strings.Builder
	for i := 0; i < len(idx); {
		j := i
		for j+1 < len(idx) && idx[j+1] == idx[j]+1 {
			j++
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(idx[i]))
		if j > i {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(idx[j]))
		}
		i = j + 1
	}
	return b.String()
}

// decodeRanges is the reverse of encodeRanges.
func decodeRanges(s string) ([]int, error) {
	var idx []int
	if s == "" {
		return nil, nil
	}
	for part := range strings.SplitSeq(s, ",") {
		from, to, isRange := strings.Cut(part, "-")
		if !isRange {
			to = from
		}
		a, err := strconv.Atoi(from)
		if err != nil {
			return nil, err
		}
		b, err := strconv.Atoi(to)
		if err != nil {
			return nil, err
		}
		if a < 0 || b < a || b >= wire.MaxTasks {
			return nil, fmt.Errorf("range %q", part)
		}
		for i := a; i <= b; i++ {
			idx = append(idx, i)
		}
	}
	return idx, nil
}
