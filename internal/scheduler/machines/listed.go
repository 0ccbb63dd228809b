package machines

import (
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// ProvenGone gives those machines that one answer of the cloud's list proves to be gone: the machines with names behind
// after, up to and with last (empty: to the end of the list), as they were at one time. The protocol says that the
// list is in the order of creation, that it tells of one time, however late, and that a machine, once listed, remains so
// until it is gone. So where a machine is listed that was created later, each earlier one that existed at all either
// is listed too or is gone. Ties and rounded ages are kept apart by ListNewer. Of the newest machines nothing is
// concluded: they may be missing because the list is late.
//
// The machines of the roster are such that existed: they reported, were named by an answer to a rental or by a list, or
// a former leader placed tasks on them, which it does only on machines that reported.
func (r *Registry) ProvenGone(after, last string, listed []wire.ListedMachine) []string {
	newest := "" // the last name that was there for long enough
	there := make(map[string]bool, len(listed))
	for i := range listed {
		m := &listed[i]
		there[m.Name] = true
		if m.AgeS >= tuning.ListNewer && (newest == "" || len(m.Name) == len(newest) && m.Name > newest) {
			newest = m.Name
		}
	}
	if newest == "" {
		return nil
	}
	var gone []string
	for name := range r.Machines {
		if !there[name] && covers(after, last, name) && len(name) == len(newest) && name < newest {
			gone = append(gone, name)
		}
	}
	return gone
}

// covers tells whether an answer from behind after up to last would have a name. Names come in the order of their
// creation; those of other lengths may stand elsewhere in that than by their letters.
func covers(after, last, name string) bool {
	return (after == "" || len(name) == len(after) && name > after) && (last == "" || len(name) == len(last) && name <= last)
}
