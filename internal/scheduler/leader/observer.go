package leader

import "time"

// Observer is told what a leader's loop does, for metrics. Its methods must not wait.
type Observer interface {
	// FailoverDone: the stored records are in memory, so long after the loop began.
	FailoverDone(took time.Duration)
	// CycleDone: a scheduling cycle took so long.
	CycleDone(took time.Duration)
	// HeartbeatHandled: a heartbeat was answered, so long after it came in.
	HeartbeatHandled(took time.Duration)
	// TaskStarted: a task was allocated to a machine.
	TaskStarted(class string)
	// AttemptEnded: an attempt at a task is proven to have ended.
	AttemptEnded(class, how string)
	// RecordsWritten: a transaction of so many changes was committed.
	RecordsWritten(changes int)
	// StateSize: the live jobs and machines, waiting tasks by class, and the seconds for which the oldest job of each class waits to begin.
	StateSize(jobs, machines int, waiting map[string]int, oldest map[string]float64)
	// JobArrived: a job was accepted in this term.
	JobArrived(class, team, size string)
	// JobBegan: the first task of a job runs, so long after the job was accepted.
	JobBegan(class, team, size string, waited time.Duration)
	// MissingJobsFound: so many stored jobs were not in memory.
	MissingJobsFound(jobs int)
	// HeartbeatRejected: a heartbeat was not applied.
	HeartbeatRejected(reason string)
	// Reachability: machines that no command reaches, and live ones that have not acknowledged anything yet.
	Reachability(unreachable, unproven int)
}
