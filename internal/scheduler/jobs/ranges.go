package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"poppypass/internal/platform/wire"
)

// encodeRanges returns the stored form of ascending indexes, for example "0-2,5,7-8".
func encodeRanges(indexes []int) string {
	var b strings.Builder
	for i := 0; i < len(indexes); {
		j := i
		for j+1 < len(indexes) && indexes[j+1] == indexes[j]+1 {
			j++
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(indexes[i]))
		if j > i {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(indexes[j]))
		}
		i = j + 1
	}
	return b.String()
}

// decodeRanges is the reverse of encodeRanges.
func decodeRanges(s string) ([]int, error) {
	var indexes []int
	if s == "" {
		return nil, nil
	}
	for part := range strings.SplitSeq(s, ",") {
		from, to, isRange := strings.Cut(part, "-")
		if !isRange {
			to = from
		}
		first, err := strconv.Atoi(from)
		if err != nil {
			return nil, err
		}
		last, err := strconv.Atoi(to)
		if err != nil {
			return nil, err
		}
		if first < 0 || last < first || last >= wire.MaxTasks {
			return nil, fmt.Errorf("invalid task range %q", part)
		}
		for i := first; i <= last; i++ {
			indexes = append(indexes, i)
		}
	}
	return indexes, nil
}
