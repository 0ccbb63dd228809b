package leader

import (
	"encoding/json"
	"maps"
	"reflect"
	"time"

	"poppypass/internal/clients/statestore"
)

type conflictError = statestore.ConflictError

var (
	errUnknown     = statestore.ErrOutcomeUnknown
	errNotExecuted = statestore.ErrNotExecuted
	errCompacted   = statestore.ErrCompacted
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sameJSON tells whether two values are the same, however they are written.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

func cloneCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	maps.Copy(out, m)
	return out
}
