package peerrpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

func listen(t *testing.T, handler Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Serve(ctx, listener, handler, slog.New(slog.DiscardHandler))
	}()
	t.Cleanup(func() { stop(); <-done })
	return listener.Addr().String()
}

func TestRequestsAndAnswersArriveUnchanged(t *testing.T) {
	addr := listen(t, func(_ context.Context, r Request) Response {
		return Response{Status: 200 + int(r.Verb), Job: wire.JobStatus{State: wire.JobState(r.Job), Done: 3, Running: 70_000}, Payload: r.Payload, Leader: r.Job, Term: r.TermOrLease}
	})
	client := NewClient()
	for _, r := range []Request{{Verb: JobStatus, Job: "job-1"}, {Verb: CancelJob, Job: "job-2"}, {Verb: EndLease, TermOrLease: 1 << 40}, {Verb: Heartbeat, Payload: []byte(`{"x":1}`)}, {}} {
		got, err := client.Call(t.Context(), addr, r)
		want := Response{Status: 200 + int(r.Verb), Job: wire.JobStatus{State: wire.JobState(r.Job), Done: 3, Running: 70_000}}
		if err != nil || got.Status != want.Status || got.Job != want.Job || string(got.Payload) != string(r.Payload) || got.Leader != r.Job || got.Term != r.TermOrLease {
			t.Errorf("request %v got the response %+v, error %v", r, got, err)
		}
	}
	if _, err := client.Call(t.Context(), "127.0.0.1:1", Request{}); err == nil {
		t.Error("a call to an address without a peer succeeded")
	}
}

// Guards against a crash by bytes that are not a message: the server closes the connection and continues to serve
// others.
func TestMalformedFrameEndsTheConnectionOnly(t *testing.T) {
	addr := listen(t, func(context.Context, Request) Response { return Response{Status: 200} })
	malformed := [][]byte{
		binary.BigEndian.AppendUint32(nil, 0),
		binary.BigEndian.AppendUint32(nil, tuning.PeerFrameMaxBytes+1),
		append(binary.BigEndian.AppendUint32(nil, 8), 0xff, 0xff, 0xff, 0xff, 1, 2, 3, 4),
		append(binary.BigEndian.AppendUint32(nil, 2), 1, 2),
	}
	for _, frame := range malformed {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(frame); err != nil {
			t.Fatal(err)
		}
		if rest, _ := io.ReadAll(conn); len(rest) != 0 {
			t.Errorf("malformed frame %v was answered", frame)
		}
		conn.Close()
	}
	if r, err := NewClient().Call(t.Context(), addr, Request{Job: "job-1"}); err != nil || r.Status != 200 {
		t.Errorf("call after the malformed frames: response %+v, error %v", r, err)
	}
}

// Guards against polls and heartbeats that each wait for the timeout because a
// member hangs: after the first ping or heartbeat that times out, calls to it fail at once, until
// it answers a ping again.
func TestSilentPeerIsNotWaitedForTwice(t *testing.T) {
	answering := make(chan struct{})
	var heartbeats atomic.Int32
	addr := listen(t, func(ctx context.Context, r Request) Response {
		if r.Verb == Heartbeat {
			heartbeats.Add(1)
		}
		select {
		case <-answering:
		case <-ctx.Done():
		}
		return Response{Status: 200}
	})
	client := NewClient()
	client.timeout = 10 * time.Millisecond
	call := func(v Verb) error {
		_, err := client.Call(t.Context(), addr, Request{Verb: v})
		return err
	}
	if err := call(SubmitJob); err == nil || errors.Is(err, ErrSilent) {
		t.Errorf("timed-out call of a verb whose answer may wait for the state service: %v, want an error other than ErrSilent", err)
	}
	if err := call(Ping); !errors.Is(err, ErrSilent) {
		t.Errorf("ping without an answer: %v, want ErrSilent", err)
	}
	for range 10 {
		if err := call(Heartbeat); !errors.Is(err, ErrSilent) {
			t.Errorf("call to a silent peer: %v, want ErrSilent", err)
		}
	}
	close(answering)
	client.timeout = time.Minute
	if err := call(Ping); err != nil {
		t.Errorf("ping that the peer answers again: %v", err)
	}
	if err := call(Heartbeat); err != nil {
		t.Errorf("heartbeat after the answered ping: %v", err)
	}
	if n := heartbeats.Load(); n != 1 {
		t.Errorf("%d heartbeats were sent, want 1: none while the peer was silent", n)
	}
}

// Guards against a request or response with names that exceeds the peer's frame limit: a name occupies at most
// tuning.NameOverheadBytes in addition to its own length.
func TestMaximumOfNamesFitsAFrame(t *testing.T) {
	for _, length := range []int{1, 2, 3, 4, 8, 20, 63, 200} {
		var names []string
		for size := length + tuning.NameOverheadBytes; size <= tuning.RenewedNamesMaxBytes; size += length + tuning.NameOverheadBytes {
			names = append(names, strings.Repeat("n", length))
		}
		for kind, frame := range map[string][]byte{
			"request":  encodeRequest(1<<60, Request{Verb: MayHaveRenewed, Names: names}),
			"response": encodeResponse(1<<60, Response{Status: 200, Names: names}),
		} {
			if _, err := readFrame(bytes.NewReader(frame)); err != nil {
				t.Errorf("%s with %d names of %d bytes has %d bytes: %v", kind, len(names), length, len(frame), err)
			}
		}
	}
}
