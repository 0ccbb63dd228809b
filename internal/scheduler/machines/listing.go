package machines

import (
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// ProvenGone returns the names of the machines that one page of the cloud's list proves to be gone. listed is the
// page. It covers the names after `after` (empty: from the start of the list) up to and including last (empty: to the
// end of the list).
//
// The cloud's protocol guarantees that the list is in order of creation, that a page shows the state at one point in
// time, which may be long past, and that a machine, once listed, remains listed until it is gone. So if a page lists
// a machine, each machine created earlier that ever existed is either listed too or gone. Machines created at the
// same time and rounded ages make that order uncertain, so the listed machine must have existed for tuning.ListSettledAgeS
// seconds. Nothing is concluded about the newest machines: they may be missing because the page is out of date.
//
// Every machine of the registry did exist: the machine sent a heartbeat, or an answer to a rent request or a list named
// it, or a former leader allocated tasks to it, and leaders do so only if a machine has sent a heartbeat.
func (r *Registry) ProvenGone(after, last string, listed []wire.ListedMachine) []string {
	newest := newestOldEnough(listed)
	if newest == "" {
		return nil
	}
	present := make(map[string]bool, len(listed))
	for i := range listed {
		present[listed[i].Name] = true
	}
	var gone []string
	for name := range r.Machines {
		if !present[name] && covers(after, last, name) && createdBefore(name, newest) {
			gone = append(gone, name)
		}
	}
	return gone
}

// newestOldEnough returns the name of the newest of the listed machines that have existed for at least
// tuning.ListSettledAgeS seconds; empty: there is none.
func newestOldEnough(listed []wire.ListedMachine) string {
	newest := ""
	for i := range listed {
		m := &listed[i]
		if m.AgeS >= tuning.ListSettledAgeS && (newest == "" || createdBefore(newest, m.Name)) {
			newest = m.Name
		}
	}
	return newest
}

// createdBefore reports whether the names of two machines prove that the first was created before the second. The
// cloud assigns names in order of creation. Among names of different lengths this need not be the alphabetical order,
// so those prove nothing.
func createdBefore(name, other string) bool { return len(name) == len(other) && name < other }

// covers reports whether a page of the cloud's list certainly covers a name. The page covers the names after `after`,
// up to and including last. If `after` or last is empty, the page has no bound on that side. The order of two names of
// different lengths is unknown (createdBefore), so it may be uncertain whether a name is within the bounds.
func covers(after, last, name string) bool {
	return (after == "" || createdBefore(after, name)) && (last == "" || name == last || createdBefore(name, last))
}
