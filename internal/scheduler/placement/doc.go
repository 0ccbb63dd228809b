// Package placement decides which task runs on which machine. It orders the
// pending jobs, applies the teams' quotas, chooses a machine for each task, and
// chooses the tasks to preempt for work that found no room.
//
// It does no I/O. Each scheduling cycle works on the views of jobs, machines and
// teams that it is given, and changes them as it places tasks. The only state
// that is kept between cycles is since when something is reserved
// (BackfillReservations). Nothing here is safe for concurrent use.
//
// A cycle goes through the jobs by effective priority (queue.go). Within a
// priority come first the jobs that have waited too long for their first task
// (starvation.go), then three phases (cycle.go): what fits the teams'
// guarantees, what teams borrow beyond them, and placeholders for expected work.
// The machines are ranked per task shape (ranking.go) and kept in heaps, one per
// zone (search.go, heap.go).
package placement
