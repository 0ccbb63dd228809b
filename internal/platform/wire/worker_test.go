package wire

import (
	"encoding/json"
	"strings"
	"testing"
)

// Guards against a malformed or contradictory heartbeat that is accepted, or whose error has more than one line.
func TestHeartbeatsThatContradictThemselvesAreRefused(t *testing.T) {
	const validHeartbeat = `{"stall":"n-1","address":"a:1","build":"g8","yard":"a","shift":1,"punch":2,"baton":3,"seats":[{"seat":"job-1/0","boarding":1,"status":"running"}],"news":7}`
	for _, c := range []struct {
		from, to string
		bad      bool
	}{
		{`"news":7`, `"news":[1,{"x":2}]`, false}, // unknown fields are ignored
		{`"status":"running"`, `"status":"dreaming"`, false},
		{`}],"news"`, `},{"seat":"job-1/0","boarding":2,"status":"exited","cause":"busy"}],"news"`, false},
		{`"punch":2`, `"punch":-2`, true},
		{`"punch":2`, `"punch":18446744073709551616`, true},
		{`"shift":1`, `"shift":0`, true},
		{`"address":"a:1"`, `"address":""`, true},
		{`"job-1/0"`, `"job-1/100000"`, true},
		{`"job-1/0"`, `"job-1/-1"`, true},
		{`}],"news"`, `},{"seat":"job-1/0","boarding":1,"status":"exited","cause":"done"}],"news"`, true},
		{`"status":"running"`, `"status":"exited"`, false}, // an exit without a reason counts as not completed
	} {
		var hb Heartbeat
		err := json.Unmarshal([]byte(strings.Replace(validHeartbeat, c.from, c.to, 1)), &hb)
		if err == nil {
			err = hb.Check()
		}
		if (err != nil) != c.bad {
			t.Errorf("%s: %v", c.to, err)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: the error has more than one line", c.to)
		}
	}
}
