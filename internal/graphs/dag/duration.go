package dag

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a duration that JSON gives in seconds.
type Duration time.Duration

// maxDuration bounds any duration of a graph.
const maxDuration = 366 * 24 * time.Hour

// MarshalJSON returns the duration in seconds.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).Seconds()) }

// UnmarshalJSON reads seconds. Negative numbers and those beyond a year are errors.
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
