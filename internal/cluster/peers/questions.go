package peers

import (
	"context"
	"fmt"
	"iter"
	"net/http"

	"poppypass/internal/cluster/peerrpc"
	"poppypass/internal/cluster/workerlease"
	"poppypass/internal/platform/tuning"
)

// MayHaveRenewed asks a member which of the named machines it may have answered under its zone lease recently: within
// the duration of a worker lease plus tuning.RenewedQueryTimeout before it is asked. The error is workerlease.ErrUnsure
// if the member answers that it cannot tell, or that of the call if the member does not answer.
func (p *Peers) MayHaveRenewed(ctx context.Context, member string, machines []string) (renewed []string, err error) {
	for batch := range machineBatches(machines) {
		resp, err := p.Call(ctx, member, peerrpc.Request{Verb: peerrpc.MayHaveRenewed, Names: batch})
		if err != nil {
			return nil, fmt.Errorf("asking member %s which leases it renewed: %w", member, err)
		}
		if resp.Status != http.StatusOK {
			return nil, fmt.Errorf("asking member %s which leases it renewed: status %d: %w", member, resp.Status, workerlease.ErrUnsure)
		}
		renewed = append(renewed, resp.Names...)
	}
	return renewed, nil
}

// machineBatches divides the names of machines into batches that each fit into one request.
func machineBatches(machines []string) iter.Seq[[]string] {
	return func(yield func([]string) bool) {
		begin, size := 0, 0
		for i, machine := range machines {
			cost := len(machine) + tuning.NameOverheadBytes
			if i > begin && size+cost > tuning.RenewedNamesMaxBytes {
				if !yield(machines[begin:i]) {
					return
				}
				begin, size = i, 0
			}
			size += cost
		}
		if begin < len(machines) {
			yield(machines[begin:])
		}
	}
}

// ProbeWorkers reports whether any other member gets an answer from at least one of the workers with these
// addresses.
func (p *Peers) ProbeWorkers(ctx context.Context, addrs []string) bool {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
	defer cancel()
	return p.anyAccepts(ctx, peerrpc.Request{Verb: peerrpc.ProbeWorkers, Names: addrs})
}
