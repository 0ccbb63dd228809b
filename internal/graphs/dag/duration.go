package dag

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a duration that is encoded in JSON as a number of seconds.
type Duration time.Duration

// maxDuration is the longest duration allowed in a graph.
const maxDuration = 366 * 24 * time.Hour

// MarshalJSON encodes the duration in seconds.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).Seconds()) }

// UnmarshalJSON decodes a number of seconds. A negative number, or one above maxDuration, is an error.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var seconds float64
	if err := json.Unmarshal(raw, &seconds); err != nil {
		return err
	}
	if !(seconds >= 0) || seconds > maxDuration.Seconds() {
		return fmt.Errorf("%v s is not a duration from 0 to %v", seconds, maxDuration)
	}
	*d = Duration(seconds * float64(time.Second))
	return nil
}
