package workerlease

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/clock"
	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// ErrNotRecorded means that no record that outlives a worker's lease surely names the machine: it must not be answered now.
var ErrNotRecorded = errors.New("the machine is in no record that outlives its lease")

// FollowerLeases lets a follower answer workers that cannot reach the leader, when
// the follower cannot reach it either: two zones that are apart. The answers
// hold no commands; they only renew the workers' leases. What makes that safe:
//
//   - A machine's name is in a record of the state service before its first
//     answer, and stays there for a worker's lease and RenewedQueryTime after the last
//     one, even if this process dies.
//   - The leader concludes nothing from the expiry of a lease before it has read these
//     records after the expiry, within RenewedQueryTime of its beginning to. A machine
//     that is in none of them was answered by no follower for a whole lease before that beginning.
//
// Each process writes under a key of its own, so that a restart cannot take
// away what an earlier process has written. Run's goroutine owns the state; Acquire may be called by any.
type FollowerLeases struct {
	store       *statestore.Client
	clock       clockwork.Clock
	log         *slog.Logger
	member      string
	workerLease time.Duration // how long an answer renews a worker's lease
	valueKB     float64       // the largest value that the state service stores
	requests    chan acquireRequest

	leaseID     uint64               // the lease of our record; 0: there is no record
	leaseSent   time.Time            // when the request was sent that gave the lease its time
	lastRenewed map[string]time.Time // the machines that were asked for, and when they were last
	pages       []*page
	pageOf      map[string]*page // the page that names a machine
	turn        int              // the index of the page from which on removeExpired looks for one to shorten
}

type acquireRequest struct {
	machine string
	result  chan error // holds one: nil grants the request
}

// NewFollowerLeases makes the follower leases of a member; Run serves them.
func NewFollowerLeases(s *config.Settings, store *statestore.Client, clock clockwork.Clock, log *slog.Logger) *FollowerLeases {
	return &FollowerLeases{
		store: store, clock: clock, log: log, member: s.Member, valueKB: s.Cluster.State.ValueKB,
		workerLease: time.Duration(s.Cluster.Workers.LeaseS * float64(time.Second)), requests: make(chan acquireRequest, tuning.Inbox),
		lastRenewed: map[string]time.Time{}, pageOf: map[string]*page{},
	}
}

// Acquire returns nil if a machine may be answered now. It waits until the machine's name is
// stored, or ctx ends. The error is ErrNotRecorded, also when ctx ended first: it then wraps both.
func (f *FollowerLeases) Acquire(ctx context.Context, machine string) error {
	r := acquireRequest{machine, make(chan error, 1)}
	select {
	case f.requests <- r:
	case <-ctx.Done():
		return fmt.Errorf("asking for a record: %w: %w", ErrNotRecorded, ctx.Err())
	}
	select {
	case err := <-r.result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("waiting for a record: %w: %w", ErrNotRecorded, ctx.Err())
	}
}

// Run serves Acquire and renews the record until ctx ends.
func (f *FollowerLeases) Run(ctx context.Context) {
	for {
		var wake <-chan time.Time
		if f.leaseID != 0 {
			wake = f.clock.After(tuning.FollowerLeaseRenew)
		}
		select {
		case <-ctx.Done():
			return
		case r := <-f.requests:
			f.grantBatch(ctx, f.gatherBatch(ctx, r))
		case <-wake:
		}
		if f.leaseID != 0 && f.clock.Since(f.leaseSent) >= tuning.FollowerLeaseRenew {
			f.renewRecord(ctx)
		}
	}
}

// gatherBatch returns a request and those that wait behind it. Workers that lose the leader come together: they share a write.
func (f *FollowerLeases) gatherBatch(ctx context.Context, first acquireRequest) []acquireRequest {
	if !f.isStored(first.machine) {
		clock.Sleep(ctx, f.clock, tuning.FollowerLeaseGather)
	}
	batch := []acquireRequest{first}
	for len(f.requests) > 0 {
		batch = append(batch, <-f.requests)
	}
	return batch
}

// grantBatch stores the names that the record lacks, and then grants the requests for those that are stored.
func (f *FollowerLeases) grantBatch(ctx context.Context, batch []acquireRequest) {
	missing := false
	for _, r := range batch {
		f.lastRenewed[r.machine] = f.clock.Now()
		missing = missing || !f.isStored(r.machine)
	}
	if missing {
		if err := f.writeRecord(ctx); err != nil {
			f.log.Debug("machines not recorded", "err", err)
		}
	}
	for _, r := range batch {
		r.result <- f.checkRecorded(r.machine)
	}
}

// checkRecorded returns ErrNotRecorded unless the record names a machine and will outlive a worker's lease that begins now.
func (f *FollowerLeases) checkRecorded(machine string) error {
	if !f.isStored(machine) || !f.outlivesLeaseFrom(f.clock.Now()) {
		return ErrNotRecorded
	}
	return nil
}
