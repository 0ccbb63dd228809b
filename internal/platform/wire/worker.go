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

// ExitReason tells how a task came to its end.
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

// Op is what a command asks of a worker.
type Op string

// The commands.
const (
	OpStart  Op = "start"
	OpStop   Op = "halt"
	OpForget Op = "forget"
)

// Heartbeat is what a worker tells about itself.
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

// Check says what is malformed in a report.
func (r *Heartbeat) Check() error {
	if r.Machine == "" || r.Address == "" || r.Type == "" || r.Zone == "" {
		return errors.New("a report lacks its machine, address, type or zone")
	}
	if r.Incarnation == 0 {
		return errors.New("a report lacks its session")
	}
	type attempt struct {
		task    string
		attempt uint64
	}
	seen := make(map[attempt]bool, len(r.Tasks))
	for _, t := range r.Tasks {
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

// Newer tells whether the report is newer than a message with a session and seq of the same worker's life.
func (r *Heartbeat) Newer(session, seq uint64) bool {
	return r.Incarnation > session || r.Incarnation == session && r.Seq > seq
}

// TaskStatus is one task of a report.
type TaskStatus struct {
	Task    string     `json:"seat"`
	Attempt uint64     `json:"boarding"`
	State   TaskState  `json:"status"`
	Reason  ExitReason `json:"cause,omitempty"`
	Saved   bool       `json:"kept,omitempty"`
}

// Command is one thing that a worker shall do.
type Command struct {
	Op      Op       `json:"call"`
	Task    string   `json:"seat"`
	Attempt uint64   `json:"boarding"`
	GraceS  *float64 `json:"boarding_s,omitempty"`
}

// HeartbeatReply answers a report.
type HeartbeatReply struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"calls"`
}

// Redirect sends a worker to the controller that leads.
type Redirect struct {
	ReportTo string `json:"conductor,omitempty"`
}

// DirectCommands is a request to a worker.
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

// String gives the task's name on the wire.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads a task's name.
func ParseTaskID(s string) (TaskID, bool) {
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
