package faults_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// history is what a job's users were told, in real order. Answers only move forward: unknown, accepted, over, and once it is
// over it stays what it is.
type history struct {
	level int    // the furthest that any answer told
	final string // the state that it is over in
}

// levelOf is how far an answer tells a job to be; ok is false if it tells nothing.
func levelOf(status int, state string) (level int, ok bool) {
	switch {
	case status == http.StatusNotFound:
		return unknown, true
	case status != http.StatusOK && status != http.StatusCreated:
		return 0, false
	case state == "done" || state == "withdrawn":
		return ended, true
	}
	return accepted, true
}

// take takes in the answer to a request that began when before was known, and says what is wrong with it: a request that begins
// after any answer arrived must never get an older one.
func (h *history) take(before history, status int, state string) (broken string) {
	level, ok := levelOf(status, state)
	switch {
	case !ok:
		return ""
	case level < before.level && level == unknown:
		broken = "forgotten: unknown, and was accepted"
	case level < before.level:
		broken = fmt.Sprintf("went_back: called %s, and was %s", state, before.final)
	case level == ended && before.level == ended && state != before.final,
		level == ended && h.level == ended && state != h.final: // two that are on their way at once differ
		broken = fmt.Sprintf("went_back: called %s, and was %s", state, h.final)
	}
	if level > h.level {
		h.level = level
	}
	if level == ended && h.final == "" {
		h.final = state
	}
	return broken
}

// Guards against a checker that sees nothing.
func TestAJobsStatesOnlyMoveForward(t *testing.T) {
	type answer struct {
		before history
		status int
		state  string
	}
	was := func(level int, final string) history { return history{level, final} }
	for name, c := range map[string]struct {
		now    history
		next   answer
		broken string
	}{
		"a question that began before it was accepted": {was(accepted, ""), answer{was(unknown, ""), 404, ""}, ""},
		"unknown after it was accepted":                {was(accepted, ""), answer{was(accepted, ""), 404, ""}, "forgotten"},
		"running after it was done":                    {was(ended, "done"), answer{was(ended, "done"), 200, "running"}, "went_back"},
		"a question that began before its end":         {was(ended, "done"), answer{was(accepted, ""), 200, "running"}, ""},
		"done after it was cancelled":                  {was(ended, "withdrawn"), answer{was(ended, "withdrawn"), 200, "done"}, "went_back"},
		"both at once":                                 {was(ended, "withdrawn"), answer{was(accepted, ""), 200, "done"}, "went_back"},
		"a submission repeated after its end":          {was(ended, "done"), answer{was(ended, "done"), 201, "pending"}, "went_back"},
		"no answer":                                    {was(ended, "done"), answer{was(ended, "done"), 503, ""}, ""},
		"the same again":                               {was(ended, "done"), answer{was(ended, "done"), 200, "done"}, ""},
	} {
		h := c.now
		if broken := h.take(c.next.before, c.next.status, c.next.state); !strings.HasPrefix(broken, c.broken) || (broken == "") != (c.broken == "") {
			t.Errorf("%s: %q", name, broken)
		}
	}
}
