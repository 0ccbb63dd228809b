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

// Paths that users call.
const (
	PathJobs   = "/v2/runs"
	PathHealth = "/up"
	EndCancel  = "cancel"
	EndExplain = "why"     // beside the protocol: what a job waits for
	EndCharges = "charges" // beside the protocol: what a job's attempts took
)

// MaxBody is the largest request body that the protocol allows, in bytes.
const MaxBody = 64 << 10

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 100_000

// Kind is how the tasks of a job run.
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

// Level orders priorities: a larger one goes first. That of an unknown one is negative.
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

// Job is a job as its user describes it.
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
	Types       []string `json:"builds"`
	Zone        string   `json:"yard"`
	OneZone     bool     `json:"same_place"`
	Spread      bool     `json:"apart"`
	Spot        bool     `json:"standby"`
	EstimateS   float64  `json:"ride_s"`
	CheckpointS float64  `json:"stub_s"`
	SaveS       float64  `json:"stamp_s"`
	DeadlineS   *float64 `json:"departure_s"`

	// Account is whom the team bills for the job. The protocol has no such field, so
	// it is only read where charges are kept.
	Account string `json:"account,omitempty"`
}

// jobDraft finds out which fields a submission has: a field that is missing
// or null is nil.
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

// ReadAccount reads whom a job is billed to from its submission. The protocol has no
// such field, so it is asked for only where charges are kept.
func (j *Job) ReadAccount(body []byte) error {
	var d struct {
		Account *json.RawMessage `json:"account"`
	}
	if err := json.Unmarshal(body, &d); err != nil || d.Account == nil {
		return err
	}
	if err := json.Unmarshal(*d.Account, &j.Account); err != nil || len(j.Account) > maxName || strings.ContainsFunc(j.Account, unicode.IsControl) {
		j.Account = ""
		return errors.New(`field "account" is not a name`)
	}
	return nil
}

// ValidJobID reports whether id has the form of a job id: job- and up to 32 digits. Every task of every heartbeat is looked at,
// so it takes little time.
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

const maxName = 200 // bytes: the longest name (team, class, image, type, zone) that a job may carry

// ParseJob reads a submission. An error says in one line what is malformed.
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

// required makes a job of the fields that a submission must have.
func (d *jobDraft) required() (*Job, error) {
	f := &requiredFields{}
	j := &Job{
		ID:          required(f, "ref", d.ID),
		Class:       required(f, "lane", d.Class),
		Team:        required(f, "desk", d.Team),
		Kind:        required(f, "shape", d.Kind),
		Priority:    required(f, "urgency", d.Priority),
		Tasks:       required(f, "seats", d.Tasks),
		CPUs:        required(f, "cpus", d.CPUs),
		GPUs:        required(f, "gpus", d.GPUs),
		MemoryGB:    required(f, "mem_gb", d.MemoryGB),
		Image:       required(f, "bundle", d.Image),
		ImageGB:     required(f, "image_gb", d.ImageGB),
		OneZone:     required(f, "same_place", d.OneZone),
		Spread:      required(f, "apart", d.Spread),
		Spot:        required(f, "standby", d.Spot),
		EstimateS:   required(f, "ride_s", d.EstimateS),
		CheckpointS: required(f, "stub_s", d.CheckpointS),
		SaveS:       required(f, "stamp_s", d.SaveS),
	}
	if f.missing != "" {
		return nil, fmt.Errorf("field %q is missing", f.missing)
	}
	return j, nil
}

// zone returns the only zone allowed; empty: any.
func (d *jobDraft) zone() (string, error) {
	if d.Zone == nil {
		return "", nil
	}
	if *d.Zone == "" || len(*d.Zone) > maxName {
		return "", errors.New(`field "yard" is invalid`)
	}
	return *d.Zone, nil
}

// types returns the machine types allowed; nil: all.
func (d *jobDraft) types() ([]string, error) {
	if d.Types == nil {
		return nil, nil
	}
	names := make([]string, 0, len(d.Types))
	for _, t := range d.Types {
		if t == nil || len(*t) > maxName {
			return nil, errors.New(`field "builds" is invalid`)
		}
		names = append(names, *t)
	}
	return names, nil
}

// requiredFields remembers the first field that is missing.
type requiredFields struct{ missing string }

// required returns a field's value; the zero value, and a note in f, if it is missing.
func required[T any](f *requiredFields, name string, v *T) T {
	if v == nil {
		if f.missing == "" {
			f.missing = name
		}
		var zero T
		return zero
	}
	return *v
}

// Check says what no job may say, in one line.
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
		if n.v == "" || len(n.v) > maxName {
			return fmt.Errorf("field %q is invalid", n.name)
		}
	}
	return nil
}

// checkAmounts says which amount is negative or not finite.
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

// Final reports whether a job in this state stays in it.
func (s JobState) Final() bool { return s == StateDone || s == StateCancelled }

// JobStatus answers a user about a job.
type JobStatus struct {
	ID      string   `json:"ref"`
	State   JobState `json:"status"`
	Done    int      `json:"done"`
	Running int      `json:"running"`
}

// Accepted answers a submission or a cancellation.
type Accepted struct {
	ID    string   `json:"ref"`
	State JobState `json:"status"`
}

// Error is the body of an answer that refuses a request.
type Error struct {
	Error string `json:"error"`
}

// Explanation says what a job waits for.
type Explanation struct {
	JobStatus
	Waiting int      `json:"waiting"` // tasks that wait to be placed
	Held    int      `json:"held"`    // of these, tasks that may not start now even if there is room
	Reasons []string `json:"reasons"`
}
