package userapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against polls that use up the rate limit on reads while there is no leader: many polls share one listing,
// and each answer is read after its poll arrived.
func TestManyPollsShareAListing(t *testing.T) {
	release := make(chan struct{})
	var lists, gets atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		write := func(v any) { _ = json.NewEncoder(w).Encode(v) } // a missing answer fails the poll's check
		if r.URL.Path == wire.PathKV {
			lists.Add(1)
			var page wire.ItemPage
			for i := range 20 {
				id := fmt.Sprintf("job-%d", i)
				value, _ := json.Marshal(jobs.JobRecord{Job: wire.Job{ID: id, Tasks: 1}, Cancelled: i == 3}) // always encodable
				page.Items = append(page.Items, wire.Item{Key: jobs.KeyJob(id), Value: value, Version: 1})
			}
			write(page)
			return
		}
		gets.Add(1)
		<-release
		if strings.HasSuffix(r.URL.Path, jobs.KeyFinalState("job-over")) {
			write(wire.Item{Key: jobs.KeyFinalState("job-over"), Value: json.RawMessage(`{"state":"done"}`), Version: 1})
			return
		}
		w.WriteHeader(http.StatusNotFound)
		write(struct{}{})
	}))
	t.Cleanup(srv.Close)
	h, _ := newHandler(t, strings.TrimPrefix(srv.URL, "http://"))
	reader := h.statusReader
	var wg sync.WaitGroup
	poll := func(id string, want error, state wire.JobState) {
		wg.Go(func() {
			if s, err := reader.read(t.Context(), id); !errors.Is(err, want) || s.State != state || err == nil && s.ID != id {
				t.Errorf("%s: %v %+v", id, err, s)
			}
		})
	}
	waitForQueued := func(n int) {
		for done := false; !done; {
			reader.mu.Lock()
			done = len(reader.waiting) == n
			reader.mu.Unlock()
		}
	}
	poll("job-never", errNoSuchJob, "")
	for gets.Load() == 0 { // until the first batch is being read: later polls wait for the next batch
	}
	for i := range 20 {
		state := wire.StateQueued
		if i == 3 {
			state = wire.StateCancelled
		}
		poll(fmt.Sprintf("job-%d", i), nil, state)
	}
	poll("job-over", nil, wire.StateDone)
	waitForQueued(21)
	close(release)
	wg.Wait()
	if lists.Load() != 1 || gets.Load() != 3 {
		t.Errorf("%d listings and %d single reads for 22 polls", lists.Load(), gets.Load())
	}
}
