package faults_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// history is the progress of a job as its users were told, in the real order of the answers. A job's state only
// moves forward, from unknown to accepted to ended, and its final state never changes.
type history struct {
	level int    // the highest level in any answer
	final string // its final state; empty: not ended
}

// levelOf returns the level that an answer shows; ok is false if the answer shows none, such as an error.
func levelOf(status int, state string) (level int, ok bool) {
	switch {
	case status == http.StatusNotFound:
		return levelUnknown, true
	case status != http.StatusOK && status != http.StatusCreated:
		return 0, false
	case state == "done" || state == "withdrawn":
		return levelEnded, true
	}
	return levelAccepted, true
}

// observe records an answer. The argument before is the history when the request was sent. A request that is sent
// after an answer arrived must never get an older state; observe describes such a violation, and returns "" if
// there is none.
func (h *history) observe(before history, status int, state string) (violation string) {
	level, ok := levelOf(status, state)
	switch {
	case !ok:
		return ""
	case level < before.level && level == levelUnknown:
		violation = "job lost: answered as unknown after it was accepted"
	case level < before.level:
		violation = fmt.Sprintf("state regressed: answered as %s after it was %s", state, before.final)
	case level == levelEnded && before.level == levelEnded && state != before.final,
		level == levelEnded && h.level == levelEnded && state != h.final: // concurrent requests got different final states
		violation = fmt.Sprintf("state regressed: answered as %s after it was %s", state, h.final)
	}
	if level > h.level {
		h.level = level
	}
	if level == levelEnded && h.final == "" {
		h.final = state
	}
	return violation
}

// Guards against a checker that misses violations: it must detect answers that show an older or different state.
func TestHistoryDetectsRegressions(t *testing.T) {
	type answer struct {
		before history
		status int
		state  string
	}
	at := func(level int, final string) history { return history{level, final} }
	for name, c := range map[string]struct {
		now        history
		next       answer
		wantPrefix string
	}{
		"a poll sent before it was accepted":             {at(levelAccepted, ""), answer{at(levelUnknown, ""), 404, ""}, ""},
		"unknown after it was accepted":                  {at(levelAccepted, ""), answer{at(levelAccepted, ""), 404, ""}, "job lost"},
		"running after it was done":                      {at(levelEnded, "done"), answer{at(levelEnded, "done"), 200, "running"}, "state regressed"},
		"a poll sent before its end":                     {at(levelEnded, "done"), answer{at(levelAccepted, ""), 200, "running"}, ""},
		"done after it was cancelled":                    {at(levelEnded, "withdrawn"), answer{at(levelEnded, "withdrawn"), 200, "done"}, "state regressed"},
		"concurrent answers with different final states": {at(levelEnded, "withdrawn"), answer{at(levelAccepted, ""), 200, "done"}, "state regressed"},
		"a submission repeated after its end":            {at(levelEnded, "done"), answer{at(levelEnded, "done"), 201, "pending"}, "state regressed"},
		"no answer":                                      {at(levelEnded, "done"), answer{at(levelEnded, "done"), 503, ""}, ""},
		"the same state again":                           {at(levelEnded, "done"), answer{at(levelEnded, "done"), 200, "done"}, ""},
	} {
		h := c.now
		if violation := h.observe(c.next.before, c.next.status, c.next.state); !strings.HasPrefix(violation, c.wantPrefix) || (violation == "") != (c.wantPrefix == "") {
			t.Errorf("%s: observe returned %q", name, violation)
		}
	}
}
