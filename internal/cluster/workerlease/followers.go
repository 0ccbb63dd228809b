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

// ErrNotRecorded means that no record that outlives a worker's lease is known to name the machine. The machine must
// not be answered now.
var ErrNotRecorded = errors.New("the machine is in no record that outlives its lease")

// FollowerLeases lets a follower answer workers that cannot reach the leader while the follower cannot reach it
// either, as when two zones are partitioned from each other. The replies contain no commands; they only renew the
// workers' leases. This is safe for two reasons:
//
//   - A machine's name is stored in a record of the state service before the first reply to the machine. The name
//     stays there for the duration of a worker lease plus tuning.RenewedQueryTimeout after the last reply, even if
//     this process dies.
//   - The leader concludes nothing from the expiry of a lease before it has read these records. It reads them after
//     the expiry and within tuning.RenewedQueryTimeout of the beginning of its query. If no record names a machine,
//     no follower answered the machine within the duration of a worker lease before that beginning.
//
// Each process writes under keys of its own, so that a restarted process cannot remove what an earlier process has
// written. The goroutine of Run owns the state; any goroutine may call Acquire.
type FollowerLeases struct {
	store       *statestore.Client
	clock       clockwork.Clock
	log         *slog.Logger
	member      string
	workerLease time.Duration // how long a worker's lease lasts after a reply
	maxValueKiB float64       // the largest value that the state service stores, in KiB
	requests    chan acquireRequest

	leaseID          uint64               // the lease of this process's record; 0: there is no record
	leaseRequestedAt time.Time            // when the last successful grant or renewal of that lease was sent
	lastRenewed      map[string]time.Time // by machine: when a call of Acquire for it was last handled, whether granted or not
	pages            []*page
	pageOf           map[string]*page // the page that names each machine
	nextPage         int              // the index of the page at which the next removeExpired starts
}

// acquireRequest is a call of Acquire that Run is to answer.
type acquireRequest struct {
	machine string
	result  chan error // buffers one result: nil grants the request
}

// NewFollowerLeases makes the follower leases of a member. Run must be called to serve them.
func NewFollowerLeases(s *config.Settings, store *statestore.Client, clock clockwork.Clock, log *slog.Logger) *FollowerLeases {
	return &FollowerLeases{
		store: store, clock: clock, log: log, member: s.Member, maxValueKiB: s.Cluster.State.MaxValueKiB,
		workerLease: time.Duration(s.Cluster.Workers.LeaseS * float64(time.Second)), requests: make(chan acquireRequest, tuning.InboxCapacity),
		lastRenewed: map[string]time.Time{}, pageOf: map[string]*page{},
	}
}

// Acquire returns nil if a machine may be answered now. It waits until the machine's name is stored, or ctx ends.
// The error is ErrNotRecorded; if ctx ended first, it also wraps the error of ctx.
func (f *FollowerLeases) Acquire(ctx context.Context, machine string) error {
	r := acquireRequest{machine, make(chan error, 1)}
	select {
	case f.requests <- r:
	case <-ctx.Done():
		return fmt.Errorf("handing over the request to record the machine: %w: %w", ErrNotRecorded, ctx.Err())
	}
	select {
	case err := <-r.result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("waiting until the machine is recorded: %w: %w", ErrNotRecorded, ctx.Err())
	}
}

// Run serves Acquire and renews the record until ctx ends.
func (f *FollowerLeases) Run(ctx context.Context) {
	for {
		var wake <-chan time.Time
		if f.leaseID != 0 {
			wake = f.clock.After(tuning.FollowerLeaseRenewEvery)
		}
		select {
		case <-ctx.Done():
			return
		case r := <-f.requests:
			f.grantBatch(ctx, f.gatherBatch(ctx, r))
		case <-wake:
		}
		if f.leaseID != 0 && f.clock.Since(f.leaseRequestedAt) >= tuning.FollowerLeaseRenewEvery {
			f.renewRecord(ctx)
		}
	}
}

// gatherBatch returns a request and those that are queued behind it. Workers that lose the leader all report here
// at about the same time, and their names share a write.
func (f *FollowerLeases) gatherBatch(ctx context.Context, first acquireRequest) []acquireRequest {
	if !f.isStored(first.machine) {
		clock.Sleep(ctx, f.clock, tuning.FollowerLeaseBatchDelay)
	}
	batch := []acquireRequest{first}
	for len(f.requests) > 0 {
		batch = append(batch, <-f.requests)
	}
	return batch
}

// grantBatch stores the names that the record lacks, and then grants the requests for machines whose names are
// stored.
func (f *FollowerLeases) grantBatch(ctx context.Context, batch []acquireRequest) {
	missing := false
	for _, r := range batch {
		f.lastRenewed[r.machine] = f.clock.Now()
		missing = missing || !f.isStored(r.machine)
	}
	if missing {
		if err := f.writeRecord(ctx); err != nil {
			f.log.Debug("new machines not recorded; their workers' leases are not renewed", "err", err)
		}
	}
	for _, r := range batch {
		r.result <- f.checkRecorded(r.machine)
	}
}

// checkRecorded returns ErrNotRecorded unless the stored record names a machine and will outlive a worker's lease
// that begins now.
func (f *FollowerLeases) checkRecorded(machine string) error {
	if !f.isStored(machine) || !f.outlivesLeaseFrom(f.clock.Now()) {
		return ErrNotRecorded
	}
	return nil
}
