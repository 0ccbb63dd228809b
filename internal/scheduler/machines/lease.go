package machines

import "time"

// ExpiredLeases returns the names of the machines whose leases have expired as far as this leader knows. A follower
// may have renewed such a lease on behalf of the leader, so the leader must query the followers before it ends an
// incarnation (EndExpired). ExpiredLeases also forgets the machines that were returned long ago.
func (r *Registry) ExpiredLeases(now time.Time) []string {
	var expired []string
	for _, m := range r.Machines {
		if !m.LeaseExpiry.IsZero() && !now.Before(m.LeaseExpiry) && m.Incarnation > m.EndedIncarnation {
			expired = append(expired, m.Name)
		}
	}
	r.forgetReturned(now)
	return expired
}

// EndExpired ends the incarnations whose leases had expired by queryStartedAt, and returns the outcomes of their
// allocations. queryStartedAt is when the leader began to query which machines' leases followers renew on its behalf.
// renewed holds the machines whose leases followers may have renewed; the leader queries these again later. For any
// other machine, no follower answered a heartbeat for a full lease duration before queryStartedAt, so nobody can have
// renewed its lease.
func (r *Registry) EndExpired(queryStartedAt time.Time, renewed map[string]bool) []Outcome {
	var outcomes []Outcome
	for _, name := range r.ExpiredLeases(queryStartedAt) {
		if renewed[name] {
			continue
		}
		m := r.Machines[name]
		outcomes = r.endIncarnations(m, m.Incarnation, outcomes)
	}
	return outcomes
}

// endIncarnations records that a machine's incarnations up to last are over, and appends the outcomes of the
// allocations in them: all their tasks are gone. The worker refuses their direct starts by the incarnation. A restarted
// worker process counts incarnations anew, so the next message to the machine has a higher token than these starts.
func (r *Registry) endIncarnations(m *Machine, last uint64, outcomes []Outcome) []Outcome {
	m.EndedIncarnation = max(m.EndedIncarnation, last)
	for _, allocation := range m.Allocations {
		if allocation.Incarnation <= last {
			outcomes = append(outcomes, lostOutcome(allocation))
		}
	}
	clear(m.orphans)
	r.raiseToken(m)
	return outcomes
}
