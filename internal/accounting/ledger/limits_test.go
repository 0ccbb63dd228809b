package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/jobs"
)

// Guards against two failures: a job with very many tasks that cannot end because its charges do not fit into one
// transaction, and a task that fails repeatedly until its charges exceed the size limit of its record.
func TestManyChargesOfAJobFitTheStateService(t *testing.T) {
	tl := newTestLeader(t)
	tl.submit(arrayJob("job-1", 40*tuning.TasksPerChunk))
	for tl.allocate("job-1") != nil {
	}
	tl.commitAll()
	for _, a := range tl.allocations {
		tl.attempts[attemptIDOf(a)].beganAt = tl.now()
	}
	tl.heartbeat()
	tl.clock.Advance(time.Minute)
	for _, a := range tl.allocations {
		tl.attempts[attemptIDOf(a)].endedAt, tl.attempts[attemptIDOf(a)].reason = tl.now(), wire.ExitDone
	}
	tl.heartbeat()
	tl.checkAgainstTruth()
	if _, ended := tl.items[jobs.KeyFinalState("job-1")]; !ended {
		t.Fatal("the job has no final state")
	}
	tl.submit(arrayJob("job-2", 1))
	for range 3 * tuning.DetachChargesMin {
		a := tl.allocateAndRun("job-2")
		tl.clock.Advance(time.Second)
		tl.end(a, wire.ExitError, false)
	}
	tl.checkAgainstTruth()
	tl.rollUpAll()
	tl.checkAgainstTruth()
	if n := len(tl.itemsWithPrefix(jobs.PrefixDetached)); n != 0 {
		t.Errorf("%d records of detached charges are not rolled up", n)
	}
}

// Guards against a transaction that exceeds the state service's limits when many jobs with long records end at once. A
// leader whose transaction is refused as malformed steps down, and the next leader would send the same transaction.
func TestManyJobsThatEndTogetherFitTheirTransactions(t *testing.T) {
	tl := newTestLeader(t)
	tl.maxTxnChanges = 40
	tl.newTerm()
	for i := range 30 {
		j := arrayJob(fmt.Sprintf("job-%d", i), 2*tuning.TasksPerChunk)
		j.Class = strings.Repeat("a long name of a class ", 8)
		tl.submit(j)
	}
	for round := range 3 {
		for i := range 30 {
			for tl.allocate(fmt.Sprintf("job-%d", i)) != nil {
			}
		}
		tl.commitAll()
		tl.heartbeat() // forgets the allocations that were removed
		tl.clock.Advance(time.Second)
		for _, k := range tl.sortedAttempts() {
			tl.attempts[k].beganAt = tl.now()
		}
		tl.heartbeat()
		tl.clock.Advance(time.Minute)
		for _, k := range tl.sortedAttempts() {
			if tl.attempts[k].endedAt, tl.attempts[k].reason = tl.now(), wire.ExitDone; round < 2 && k.task%8 < 5 {
				tl.attempts[k].reason = wire.ExitStopped
			}
		}
		tl.heartbeat()
	}
	tl.checkAgainstTruth() // apply fails the test if a transaction or value is too long
	t.Logf("the longest transaction has %d bytes", tl.longestTxnBytes)
	if len(tl.store.Jobs) != 0 {
		t.Errorf("%d jobs have not ended", len(tl.store.Jobs))
	}
}
