package machines

import "time"

// ExpiredLeases returns the names of the machines whose leases have expired, as far as the replies of leaders go. A follower
// may have renewed such a lease, so nothing is concluded before the followers' records are read (EndExpired). It also
// forgets the machines that were returned long ago.
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

// EndExpired ends the incarnations whose leases had expired by the time asked, at which the leader began to ask which
// machines' leases followers renew in its stead. A machine in renewed is asked about again. One that is not in it was
// answered by no follower for a whole lease before asked.
func (r *Registry) EndExpired(queryStarted time.Time, renewed map[string]bool) []Outcome {
	var outcomes []Outcome
	for _, name := range r.ExpiredLeases(queryStarted) {
		if renewed[name] {
			continue
		}
		m := r.Machines[name]
		outcomes = m.endIncarnations(m.Incarnation, outcomes)
	}
	return outcomes
}

// endIncarnations records that the machine's incarnations up to last are over, and appends the outcomes of what was started
// in them: all of it is gone.
func (m *Machine) endIncarnations(last uint64, outcomes []Outcome) []Outcome {
	m.EndedIncarnation = max(m.EndedIncarnation, last)
	for _, allocation := range m.Allocations {
		if allocation.Incarnation <= last {
			outcomes = append(outcomes, lostOutcome(allocation))
		}
	}
	clear(m.orphans)
	clear(m.unansweredStarts)
	return outcomes
}
