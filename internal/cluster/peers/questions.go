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

// MayHaveRenewed asks a member which of some machines it may have answered by its zone lease
// within a worker's lease and tuning.RenewedQueryTime before. The error is workerlease.ErrUnsure if it answers that it cannot tell, or
// that of the call if it does not answer.
func (p *Peers) MayHaveRenewed(ctx context.Context, name string, names []string) (renewed []string, err error) {
	for part := range questions(names) {
		r, err := p.Call(ctx, name, peerrpc.Request{Verb: peerrpc.MayHaveRenewed, Names: part})
		if err != nil {
			return nil, fmt.Errorf("asking %s for its renewals: %w", name, err)
		}
		if r.Status != http.StatusOK {
			return nil, fmt.Errorf("asking %s for its renewals: status %d: %w", name, r.Status, workerlease.ErrUnsure)
		}
		renewed = append(renewed, r.Names...)
	}
	return renewed, nil
}

// questions divides the names of machines into those that one question each can hold.
func questions(names []string) iter.Seq[[]string] {
	return func(yield func([]string) bool) {
		begin, size := 0, 0
		for i, name := range names {
			cost := len(name) + tuning.NameBytes
			if i > begin && size+cost > tuning.RenewedNamesBytes {
				if !yield(names[begin:i]) {
					return
				}
				begin, size = i, 0
			}
			size += cost
		}
		if begin < len(names) {
			yield(names[begin:])
		}
	}
}

// ProbeWorkers asks the other members whether one of them gets an answer from one of some workers, by their addresses.
func (p *Peers) ProbeWorkers(ctx context.Context, addrs []string) bool {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommandTimeout)
	defer cancel()
	return p.anyAccepts(ctx, peerrpc.Request{Verb: peerrpc.ProbeWorkers, Names: addrs})
}
