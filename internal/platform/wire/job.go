package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"unicode"
)

// Paths that users call. The constants PathEndCancel, PathEndExplain and PathEndCharges are the last path elements of requests about one job.
const (
	PathJobs       = "/v2/runs"
	PathHealth     = "/up"
	PathEndCancel  = "cancel"
	PathEndExplain = "why"     // an extension of the protocol: what a job waits for
	PathEndCharges = "charges" // an extension of the protocol: what a job's attempts used
)

// MaxBody is the largest request body that the protocol allows, in bytes.
const MaxBody = 64 << 10

// MaxTasks is the largest number of tasks in one job.
const MaxTasks = 100_000

// Kind is the kind of a job: an array of tasks that complete, or a service whose replicas run until the service is cancelled.
type Kind string

// The kinds of jobs.
const (
	KindArray   Kind = "array"
	KindService Kind = "service"
)

// Priority is the urgency of a job.
type Priority string

// The priorities, highest first.
const (
	PriorityProduction Priority = "production"
	PriorityHigh       Priority = "urgent"
	PriorityNormal     Priority = "standard"
	PriorityLow        Priority = "low"
)

// Level returns the rank of a priority; a higher level is scheduled first. The level of an unknown priority is negative.
func (p Priority) Level() int {
	switch p {
	case PriorityProduction:
		return 3
	case PriorityHigh:
		return 2
	case PriorityNormal:
		return 1
	case PriorityLow:
		return 0
	}
	return -1
}

// Job is a job as its user describes it. CPUs, GPUs and memory are those of each task.
type Job struct {
	ID          string   `json:"ref"`
	Class       string   `json:"lane"`
	Team        string   `json:"desk"`
	Kind        Kind     `json:"shape"`
	Priority    Priority `json:"urgency"`
	Tasks       int      `json:"seats"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"mem_gb"`
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"image_gb"`
	Types       []string `json:"builds"`      // machine types allowed; nil: all
	Zone        string   `json:"yard"`        // the only zone allowed; empty: any
	OneZone     bool     `json:"same_place"`  // all tasks must run in the same zone
	Spread      bool     `json:"apart"`       // at most half of the tasks, rounded up, may run in one zone
	Spot        bool     `json:"standby"`     // the tasks may run on spot machines
	EstimateS   float64  `json:"ride_s"`      // the owner's estimate of a task's run time; 0: none
	CheckpointS float64  `json:"stub_s"`      // interval between a task's checkpoints; 0: it saves none
	SaveS       float64  `json:"stamp_s"`     // time that a task needs to save a checkpoint
	DeadlineS   *float64 `json:"departure_s"` // nil: no deadline

	// Account is the account that the team bills for the job. The protocol has no such field, so it is read only if charges
	// are recorded.
	Account string `json:"account,omitempty"`
}

// jobDraft is a submission as decoded from JSON. A field that is missing or null is nil.
type jobDraft struct {
	ID          *string   `json:"ref"`
	Class       *string   `json:"lane"`
	Team        *string   `json:"desk"`
	Kind        *Kind     `json:"shape"`
	Priority    *Priority `json:"urgency"`
	Tasks       *int      `json:"seats"`
	CPUs        *float64  `json:"cpus"`
	GPUs        *float64  `json:"gpus"`
	MemoryGB    *float64  `json:"mem_gb"`
	Image       *string   `json:"bundle"`
	ImageGB     *float64  `json:"image_gb"`
	Types       []*string `json:"builds"`
	Zone        *string   `json:"yard"`
	OneZone     *bool     `json:"same_place"`
	Spread      *bool     `json:"apart"`
	Spot        *bool     `json:"standby"`
	EstimateS   *float64  `json:"ride_s"`
	CheckpointS *float64  `json:"stub_s"`
	SaveS       *float64  `json:"stamp_s"`
	DeadlineS   *float64  `json:"departure_s"`
}

// ReadAccount reads the account that pays for the job from the body of the job's submission, and sets j.Account. The protocol
// has no such field, so ReadAccount is called only if charges are recorded.
func (j *Job) ReadAccount(body []byte) error {
	var d struct {
		Account *json.RawMessage `json:"account"`
	}
	if err := json.Unmarshal(body, &d); err != nil || d.Account == nil {
		return err
	}
	err := json.Unmarshal(*d.Account, &j.Account)
	if err == nil {
		err = j.CheckAccount()
	}
	if err != nil {
		j.Account = ""
		return errInvalidAccount
	}
	return nil
}

var errInvalidAccount = errors.New(`field "account" is not a name`)

// CheckAccount returns an error if the job's account is too long for a name or has control characters.
func (j *Job) CheckAccount() error {
	if len(j.Account) > maxNameBytes || strings.ContainsFunc(j.Account, unicode.IsControl) {
		return errInvalidAccount
	}
	return nil
}

// ValidJobID reports whether id has the form of a job id: job- and 1 to 32 digits. It is called for every task of every
// heartbeat, so it has to be fast.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	if !ok || len(digits) < 1 || len(digits) > 32 {
		return false
	}
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

const maxNameBytes = 200 // length, in bytes, of the longest name (team, class, image, type, zone) in a job

// ParseJob parses and checks a submission. The text of an error is one line and says what is malformed.
func ParseJob(body []byte) (*Job, error) {
	if b := bytes.TrimSpace(body); len(b) == 0 || b[0] != '{' {
		return nil, errors.New("the body is not a JSON object")
	}
	var d jobDraft
	if err := json.Unmarshal(body, &d); err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	j, err := d.required()
	if err != nil {
		return nil, err
	}
	if j.Zone, err = d.zone(); err != nil {
		return nil, err
	}
	if j.Types, err = d.types(); err != nil {
		return nil, err
	}
	j.DeadlineS = d.DeadlineS
	return j, j.Check()
}

// required returns a job with the fields that a submission must have, or an error that names the first missing one.
func (d *jobDraft) required() (*Job, error) {
	checked := &requiredFields{}
	j := &Job{
		ID:          required(checked, "ref", d.ID),
		Class:       required(checked, "lane", d.Class),
		Team:        required(checked, "desk", d.Team),
		Kind:        required(checked, "shape", d.Kind),
		Priority:    required(checked, "urgency", d.Priority),
		Tasks:       required(checked, "seats", d.Tasks),
		CPUs:        required(checked, "cpus", d.CPUs),
		GPUs:        required(checked, "gpus", d.GPUs),
		MemoryGB:    required(checked, "mem_gb", d.MemoryGB),
		Image:       required(checked, "bundle", d.Image),
		ImageGB:     required(checked, "image_gb", d.ImageGB),
		OneZone:     required(checked, "same_place", d.OneZone),
		Spread:      required(checked, "apart", d.Spread),
		Spot:        required(checked, "standby", d.Spot),
		EstimateS:   required(checked, "ride_s", d.EstimateS),
		CheckpointS: required(checked, "stub_s", d.CheckpointS),
		SaveS:       required(checked, "stamp_s", d.SaveS),
	}
	if checked.firstMissing != "" {
		return nil, fmt.Errorf("field %q is missing", checked.firstMissing)
	}
	return j, nil
}

// zone returns the only zone allowed, or an empty string if all zones are allowed.
func (d *jobDraft) zone() (string, error) {
	if d.Zone == nil {
		return "", nil
	}
	if *d.Zone == "" || len(*d.Zone) > maxNameBytes {
		return "", errors.New(`field "yard" is invalid`)
	}
	return *d.Zone, nil
}

// types returns the machine types allowed, or nil if all types are allowed.
func (d *jobDraft) types() ([]string, error) {
	if d.Types == nil {
		return nil, nil
	}
	names := make([]string, 0, len(d.Types))
	for _, t := range d.Types {
		if t == nil || len(*t) > maxNameBytes {
			return nil, errors.New(`field "builds" is invalid`)
		}
		names = append(names, *t)
	}
	return names, nil
}

// requiredFields records the first required field that is missing.
type requiredFields struct{ firstMissing string }

// required returns a field's value. If the field is missing, it returns the zero value and records the name in checked.
func required[T any](checked *requiredFields, name string, v *T) T {
	if v == nil {
		if checked.firstMissing == "" {
			checked.firstMissing = name
		}
		var zero T
		return zero
	}
	return *v
}

// Check returns an error, in one line, if a field of the job has a value that is not allowed.
func (j *Job) Check() error {
	switch {
	case !ValidJobID(j.ID):
		return errors.New(`field "ref" is not a job id`)
	case j.Kind != KindArray && j.Kind != KindService:
		return errors.New(`field "shape" is unknown`)
	case j.Priority.Level() < 0:
		return errors.New(`field "urgency" is unknown`)
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		return fmt.Errorf(`field "seats" is not between 1 and %d`, MaxTasks)
	}
	if err := j.checkAmounts(); err != nil {
		return err
	}
	for _, n := range []struct{ name, v string }{{"lane", j.Class}, {"desk", j.Team}, {"bundle", j.Image}} {
		if n.v == "" || len(n.v) > maxNameBytes {
			return fmt.Errorf("field %q is invalid", n.name)
		}
	}
	return nil
}

// checkAmounts returns an error that names the first amount that is negative or not finite.
func (j *Job) checkAmounts() error {
	deadlineS := 0.0
	if j.DeadlineS != nil {
		deadlineS = *j.DeadlineS
	}
	for _, a := range []struct {
		name string
		v    float64
	}{
		{"cpus", j.CPUs}, {"gpus", j.GPUs}, {"mem_gb", j.MemoryGB}, {"image_gb", j.ImageGB},
		{"ride_s", j.EstimateS}, {"stub_s", j.CheckpointS}, {"stamp_s", j.SaveS}, {"departure_s", deadlineS},
	} {
		if a.v < 0 || math.IsNaN(a.v) || math.IsInf(a.v, 0) {
			return fmt.Errorf("field %q is not a valid amount", a.name)
		}
	}
	return nil
}

// JobState is the state of a job as its user sees it.
type JobState string

// The states of a job.
const (
	StateQueued    JobState = "pending"
	StateRunning   JobState = "running"
	StateDone      JobState = "done"
	StateCancelled JobState = "withdrawn"
)

// Final reports whether a job never leaves this state.
func (s JobState) Final() bool { return s == StateDone || s == StateCancelled }

// JobStatus is the answer to a user's poll of a job. Done and Running are numbers of tasks.
type JobStatus struct {
	ID      string   `json:"ref"`
	State   JobState `json:"status"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// Accepted is the answer to an accepted submission or cancellation.
type Accepted struct {
	ID    string   `json:"ref"`
	State JobState `json:"status"`
}

// Error is the body of a response that refuses a request.
type Error struct {
	Error string `json:"error"`
}

// Explanation is the answer to a user who asks what a job waits for, with the reasons as text.
type Explanation struct {
	JobStatus
	Waiting     int      `json:"waiting"` // number of tasks that wait to be placed
	NotAdmitted int      `json:"held"`    // number of the waiting tasks that may not start now even if there is room
	Reasons     []string `json:"reasons"`
}
