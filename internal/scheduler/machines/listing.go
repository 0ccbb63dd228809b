package machines

import (
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// ProvenGone returns the names of the machines that one page of the cloud's list proves to be gone. listed is the page. It
// covers the names after `after` (empty: from the list's begin) up to and including last (empty: to its end), all as they
// were at one time.
//
// The protocol says that the list is in the order of creation, that a page tells of one time, however late, and that a
// machine, once listed, remains listed until it is gone. So where a machine is listed that was created later, each earlier
// one that ever existed is either listed too or gone. Ties and rounded ages are kept apart by tuning.ListNewer. Of the
// newest machines nothing is concluded: they may be missing because the list is late.
//
// The machines of the registry did exist: a heartbeat of theirs came, an answer to a rental or a list named them, or a former
// leader placed tasks on them, which it does only on machines that sent a heartbeat.
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

// newestOldEnough returns the last name, in the order of creation, of those listed that have existed for tuning.ListNewer
// seconds; empty: there is none.
func newestOldEnough(listed []wire.ListedMachine) string {
	newest := ""
	for i := range listed {
		m := &listed[i]
		if m.AgeS >= tuning.ListNewer && (newest == "" || createdBefore(newest, m.Name)) {
			newest = m.Name
		}
	}
	return newest
}

// createdBefore reports whether a machine was surely created before another one, by their names. Names come in the order of
// creation; those of different lengths may stand elsewhere in it than by their letters.
func createdBefore(name, other string) bool { return len(name) == len(other) && name < other }

// covers reports whether a page with the names after `after` up to and including last would surely have a name.
func covers(after, last, name string) bool {
	return (after == "" || createdBefore(after, name)) && (last == "" || name == last || createdBefore(name, last))
}
