package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"poppypass/internal/mesh"
	"poppypass/internal/statestore"
	"poppypass/internal/tuning"
	"poppypass/internal/wire"
)

// Guards against answers that come after the user has given up: members that
// do not answer were asked one after the other, each for its own time, and
// with five of them that took longer than the 5 s that a user waits.
func TestASubmissionAsksNobodyPastItsDeadline(t *testing.T) {
	l, _ := leaderWith(t)
	ctx, deadline := context.WithCancel(t.Context())
	defer deadline()
	var asked atomic.Int32
	for i := range 8 {
		peer, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { peer.Close() })
		l.c.endpoint[fmt.Sprintf("m%d", i)] = peer.Addr().String()
		go func() {
			for {
				conn, err := peer.Accept() // and never answers
				if err != nil {
					return
				}
				t.Cleanup(func() { conn.Close() })
				asked.Add(1)
				deadline()
			}
		}()
	}
	body, err := json.Marshal(job("job-7", 1))
	if err != nil {
		t.Fatal(err)
	}
	if l.c.relaySubmission(ctx, body).decided() {
		t.Error("an answer, though no member gave one")
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("%d members were asked, want the one that was asked in time", n)
	}
}

// Guards against submissions that wait for a state service which does not
// answer this member, while another member could store them at once.
func TestASubmissionThatTakesLongIsTriedElsewhere(t *testing.T) {
	l, clock := leaderWith(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	l.c.settings.Cluster.State.ValueKB = 16
	l.c.store = statestore.New(silent.Addr().String(), 1e6, 1e6)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go mesh.Serve(ctx, peer, func(_ context.Context, r mesh.Request) mesh.Response {
		return mesh.Response{Status: http.StatusCreated, Job: wire.JobStatus{State: wire.StateQueued}}
	}, slog.New(slog.DiscardHandler))
	l.c.endpoint["m1"] = peer.Addr().String()
	body, err := json.Marshal(job("job-7", 1))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan int, 1)
	go func() { done <- l.c.accept(ctx, body).status }()
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(tuning.SubmitHedge)
	if status := <-done; status != http.StatusCreated {
		t.Errorf("answered %d", status)
	}
}
