package peerrpc

import (
	"testing"

	"poppypass/internal/platform/golden"
	"poppypass/internal/platform/wire"
)

// lengthBytes is the size in bytes of a frame's length prefix.
const lengthBytes = 4

func TestRequestFormat(t *testing.T) {
	for _, c := range []struct {
		name string
		verb Verb
	}{
		{"query", JobStatus}, {"cancel", CancelJob}, {"promise", RequestVote}, {"not-leading", ConfirmNotLeading}, {"report", Heartbeat},
		{"submit", SubmitJob}, {"vouch", ConfirmTermOver}, {"yield", EndLease}, {"show", SubsystemQuery}, {"kept", MayHaveRenewed}, {"do", SubsystemCommand}, {"reach", ProbeWorkers}, {"ping", Ping},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := Request{Verb: c.verb, Job: "job-17", Payload: []byte(`{"a":1}`), TermOrLease: 41, Names: []string{"n-1", "n-2"}}
			frame := encodeRequest(77, request)
			golden.Hex(t, "request-"+c.name, frame)
			seq, decoded, err := decodeRequest(frame[lengthBytes:])
			if err != nil || seq != 77 {
				t.Fatalf("decoded with sequence number %d, error %v", seq, err)
			}
			golden.Equal(t, c.name, decoded, request)
		})
	}
}

func TestResponseFormat(t *testing.T) {
	response := Response{
		Status: 200, Job: wire.JobStatus{State: wire.StateRunning, Done: 11, Running: 12}, // a response does not contain the job's ID
		Payload: []byte(`{"b":2}`), Leader: "m1", Term: 42, Names: []string{"n-1", "n-2"},
	}
	frame := encodeResponse(78, response)
	golden.Hex(t, "response", frame)
	seq, decoded, err := decodeResponse(frame[lengthBytes:])
	if err != nil || seq != 78 {
		t.Fatalf("decoded with sequence number %d, error %v", seq, err)
	}
	golden.Equal(t, "response", decoded, response)
}
