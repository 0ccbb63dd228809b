package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Keys of the state service.
const (
	// PrefixJob holds accepted jobs until they are over; any controller may
	// add one, only the leader changes or drops it.
	PrefixJob = "job/"
	// PrefixProgress holds the progress of live jobs, in chunks of tasks; only the leader writes it.
	PrefixProgress = "run/"
	// PrefixFinalState holds the final states of jobs, for ever.
	PrefixFinalState = "end/"
)

// KeyJob is the key of an accepted job.
func KeyJob(id string) string { return PrefixJob + id }

// KeyFinalState is the key of a job's final state.
func KeyFinalState(id string) string { return PrefixFinalState + id }

func keyProgress(id string, chunk int) string {
	return fmt.Sprintf("%s%s/%04d", PrefixProgress, id, chunk)
}

func parseProgressKey(key string) (id string, chunk int, ok bool) {
	id, num, found := strings.Cut(strings.TrimPrefix(key, PrefixProgress), "/")
	chunk, err := strconv.Atoi(num)
	return id, chunk, found && err == nil && chunk >= 0 && chunk <= wire.MaxTasks/tuning.ChunkTasks
}

// JobRecord is an accepted job as it is stored.
type JobRecord struct {
	Job       wire.Job `json:"job"`
	AtMS      int64    `json:"at_ms"` // time of day when it was accepted
	Cancelled bool     `json:"cancelled,omitempty"`
}

// FinalState is the final state of a job as it is stored.
type FinalState struct {
	State wire.JobState `json:"state"`
	Done  int           `json:"done"`
}

// Status is the answer to a user that the record gives.
func (e FinalState) Status(id string) wire.JobStatus {
	return wire.JobStatus{ID: id, State: e.State, Done: e.Done}
}

// progressRecord is the progress of ChunkTasks tasks of a job. Done tasks are
// ranges; every other task that was ever placed has an entry, so that no
// attempt is used twice.
type progressRecord struct {
	Done  string      `json:"d,omitempty"`
	Tasks []taskEntry `json:"t,omitempty"`
	Tries int         `json:"f,omitempty"` // of the whole job, in vain; in its first chunk

	Base    int64  `json:"b,omitempty"` // time of day in ms from which the entries' times count
	Charges []byte `json:"c,omitempty"` // an encoded charge.Pack
}

type taskEntry struct {
	Index   int    `json:"i"`
	Attempt uint64 `json:"a"`
	Machine string `json:"m,omitempty"` // where it may be; empty: nowhere
	Session uint64 `json:"s,omitempty"`
	Zone    string `json:"z,omitempty"`

	Placed int64 `json:"p,omitempty"` // when it was placed, in ms from the record's base
	Began  int64 `json:"r,omitempty"` // when it was seen to run
	Part   int   `json:"q,omitempty"` // parts that are charged
	Kind   int   `json:"k,omitempty"` // one more than the index of its kind in the pack
}

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
