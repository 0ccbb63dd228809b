// Package placement decides which task runs on which machine. It orders the pending jobs, applies the
// teams' quotas, chooses a machine for each task, and chooses the tasks to preempt for work that found
// no room.
//
// It does no I/O. Each scheduling cycle works on the views of jobs, machines and teams that it is given,
// and changes these views as it places tasks. The only state that outlives a cycle is the time since which
// reservations exist (BackfillReservations). Nothing here is safe for concurrent use.
//
// A cycle tries the jobs in the order of their effective priority (queue.go). Within a priority, jobs that
// have waited too long for their first task go first (starvation.go). Three phases follow (cycle.go): tasks
// that fit their team's guarantee, tasks for which a team borrows beyond its guarantee, and placeholders for
// expected work. The machines are ranked per task shape (ranking.go) and stored in heaps, one per zone
// (search.go, heap.go).
package placement
