package wire

import (
	"errors"
	"strconv"
	"strings"
)

// Paths between workers and controllers.
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

// ExitReason is how a task came to its end.
type ExitReason string

// The ends of a task.
const (
	ExitDone    ExitReason = "done"
	ExitStopped ExitReason = "stopped"
	ExitError   ExitReason = "error"
	ExitNoRoom  ExitReason = "full"
	ExitBusy    ExitReason = "busy"
	ExitUnknown ExitReason = "unknown"
)

// Op is the operation that a command asks of a worker.
type Op string

// The commands.
const (
	OpStart  Op = "start"
	OpStop   Op = "halt"
	OpForget Op = "forget"
)

// Heartbeat is a worker's status: itself, its spot interruption notice if there is one, and its tasks. Incarnation is the epoch
// of the worker's process; Seq grows with each heartbeat of an incarnation.
type Heartbeat struct {
	Machine      string       `json:"stall"`
	Address      string       `json:"address"`
	Type         string       `json:"build"`
	Zone         string       `json:"yard"`
	Spot         bool         `json:"standby"`
	Incarnation  uint64       `json:"shift"`
	Seq          uint64       `json:"punch"`
	FencingToken uint64       `json:"baton"`
	NoticeS      *float64     `json:"warning_s"`
	Tasks        []TaskStatus `json:"seats"`
}

// Check says what is malformed in a heartbeat, in one line.
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

// Newer reports whether the heartbeat is newer than a message of an incarnation and sequence number of the same machine.
func (h *Heartbeat) Newer(incarnation, seq uint64) bool {
	return h.Incarnation > incarnation || h.Incarnation == incarnation && h.Seq > seq
}

// TaskStatus is one task of a heartbeat. Saved is true if the attempt left a checkpoint as it was stopped.
type TaskStatus struct {
	Task    string     `json:"seat"`
	Attempt uint64     `json:"boarding"`
	State   TaskState  `json:"status"`
	Reason  ExitReason `json:"cause,omitempty"`
	Saved   bool       `json:"kept,omitempty"`
}

// Command is one thing that a worker is to do.
type Command struct {
	Op      Op       `json:"call"`
	Task    string   `json:"seat"`
	Attempt uint64   `json:"boarding"`
	GraceS  *float64 `json:"boarding_s,omitempty"`
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"calls"`
}

// Redirect sends a worker to the controller that leads.
type Redirect struct {
	ReportTo string `json:"conductor,omitempty"`
}

// DirectCommands is a request to a worker beside the replies to its heartbeats.
type DirectCommands struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"calls"`
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// String returns the task's name on the wire.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads a task's name; ok is false if it is malformed.
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
