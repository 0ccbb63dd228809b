package wire

import (
	"errors"
	"strconv"
	"strings"
)

// Paths between workers and controllers. Workers call PathHeartbeat; controllers call the other two.
const (
	PathHeartbeat       = "/agent/beat"
	PathCommands        = "/do"
	PathWorkerHeartbeat = "/show"
)

// TaskState is the state of a task on its machine.
type TaskState string

// The states of a task on a machine.
const (
	TaskFetching TaskState = "fetching"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "exited"
)

// ExitReason is the reason why a task ended.
type ExitReason string

// The reasons for which a task ends. A worker refuses a start with ExitNoRoom if the machine lacks room, with ExitBusy if another
// attempt of the task still runs there, and with ExitUnknown if it does not find the job's description (yet).
const (
	ExitDone    ExitReason = "done"
	ExitStopped ExitReason = "stopped"
	ExitError   ExitReason = "error"
	ExitNoRoom  ExitReason = "full"
	ExitBusy    ExitReason = "busy"
	ExitUnknown ExitReason = "unknown"
)

// Op is the operation that a command requests from a worker.
type Op string

// The operations of commands. OpForget acknowledges an exit, so that the worker no longer reports it.
const (
	OpStart  Op = "start"
	OpStop   Op = "halt"
	OpForget Op = "forget"
)

// Heartbeat is a worker's status: its machine, its spot interruption notice if there is one, and its tasks. Incarnation
// starts at 1 in each worker process and increases each time the worker's lease expires; all its tasks are then gone. A worker
// process that was restarted counts from 1 again. Seq grows with each heartbeat of an incarnation. FencingToken is the highest
// fencing token that the worker process has received.
type Heartbeat struct {
	Machine      string       `json:"stall"`
	Address      string       `json:"address"`
	Type         string       `json:"build"`
	Zone         string       `json:"yard"`
	Spot         bool         `json:"standby"`
	Incarnation  uint64       `json:"shift"`
	Seq          uint64       `json:"punch"`
	FencingToken uint64       `json:"baton"`
	NoticeS      *float64     `json:"warning_s"` // time until the cloud interrupts the spot machine; nil: no notice
	Tasks        []TaskStatus `json:"seats"`
}

// Check returns an error, in one line, if the heartbeat is malformed.
func (h *Heartbeat) Check() error {
	if h.Machine == "" || h.Address == "" || h.Type == "" || h.Zone == "" {
		return errors.New("a report lacks its machine, address, type or zone")
	}
	if h.Incarnation == 0 {
		return errors.New("a report lacks its session")
	}
	type attempt struct {
		task    string
		attempt uint64
	}
	seen := make(map[attempt]bool, len(h.Tasks))
	for _, t := range h.Tasks {
		if _, ok := ParseTaskID(t.Task); !ok {
			return errors.New("a report holds a malformed task")
		}
		k := attempt{t.Task, t.Attempt}
		if seen[k] {
			return errors.New("a report holds an attempt twice")
		}
		seen[k] = true
	}
	return nil
}

// Newer reports whether the heartbeat is newer than a message of the same worker process with the given incarnation and sequence
// number.
func (h *Heartbeat) Newer(incarnation, seq uint64) bool {
	return h.Incarnation > incarnation || h.Incarnation == incarnation && h.Seq > seq
}

// TaskStatus is the status of one task in a heartbeat. Saved is true if the attempt saved a checkpoint when it was stopped.
type TaskStatus struct {
	Task    string     `json:"seat"`
	Attempt uint64     `json:"boarding"`
	State   TaskState  `json:"status"`
	Reason  ExitReason `json:"cause,omitempty"`
	Saved   bool       `json:"kept,omitempty"`
}

// Command is a command to a worker about one attempt of a task.
type Command struct {
	Op      Op       `json:"call"`
	Task    string   `json:"seat"`
	Attempt uint64   `json:"boarding"`
	GraceS  *float64 `json:"boarding_s,omitempty"` // time to save a checkpoint before the task is stopped
}

// HeartbeatReply is the reply to a heartbeat. A leader's reply has its own fencing token; a follower that answers on behalf of the
// leader repeats the worker's token and sends no commands.
type HeartbeatReply struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"calls"`
}

// Redirect names the controller that is the leader.
type Redirect struct {
	ReportTo string `json:"conductor,omitempty"`
}

// DirectCommands is a request that sends commands to a worker outside the replies to its heartbeats. Incarnation is the
// incarnation of the worker for which the commands are meant.
type DirectCommands struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"calls"`
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// String returns the task's name on the wire.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses a task's name on the wire; ok is false if the name is malformed.
func ParseTaskID(s string) (id TaskID, ok bool) {
	job, num, ok := strings.Cut(s, "/")
	if !ok || !ValidJobID(job) {
		return TaskID{}, false
	}
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= MaxTasks {
		return TaskID{}, false
	}
	return TaskID{Job: job, Index: n}, true
}
