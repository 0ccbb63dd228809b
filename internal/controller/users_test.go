package controller

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
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
	if _, _, _, ok := l.c.relaySubmission(ctx, []byte("{}")); ok {
		t.Error("an answer, though no member gave one")
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("%d members were asked, want the one that was asked in time", n)
	}
}
