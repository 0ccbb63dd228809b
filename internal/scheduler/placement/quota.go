package placement

import "math"

// Team is the view of a team's quota, guarantee and use. A cycle adds the tasks that it places to the use.
type Team struct {
	// UsedCPUs and UsedGPUs are the team's use: the CPUs and GPUs of all its tasks that may be running on any
	// machine.
	UsedCPUs, UsedGPUs float64
	// QuotaCPUs and QuotaGPUs are the upper limit of the team's use; +Inf: no limit.
	QuotaCPUs, QuotaGPUs float64
	// GuaranteedCPUs and GuaranteedGPUs are the team's guarantee. Use beyond them is borrowed: other teams may
	// take it back by preemption.
	GuaranteedCPUs, GuaranteedGPUs float64
	// PermanentUse is the part of the use that does not end by itself: the use of service replicas.
	PermanentUse Resources
	// FairShareCPUs is how many CPUs one job of a team without a quota may use before other jobs go ahead of
	// its next tasks; 0: any number.
	FairShareCPUs float64

	reservedFor string    // ID of the starving job for which a part of the quota is reserved; empty: none
	reserved    Resources // the part of the quota that is reserved for that job
}

// unlimitedTeam returns a team without a quota.
func unlimitedTeam() *Team { return &Team{QuotaCPUs: math.Inf(1), QuotaGPUs: math.Inf(1)} }

// use adds what a task requests to the team's use.
func (t *Team) use(r Resources) { t.UsedCPUs += r.CPUs; t.UsedGPUs += r.GPUs }

// release subtracts what a task requested from the team's use.
func (t *Team) release(r Resources) { t.UsedCPUs -= r.CPUs; t.UsedGPUs -= r.GPUs }

// withinQuota reports whether the team's use stays within its quota if r is added.
func (t *Team) withinQuota(r Resources) bool {
	return t.UsedCPUs+r.CPUs <= t.QuotaCPUs+roundingTolerance && t.UsedGPUs+r.GPUs <= t.QuotaGPUs+roundingTolerance
}

// withinGuarantee reports whether the team's use stays within its guarantee if r is added.
func (t *Team) withinGuarantee(r Resources) bool {
	return t.UsedCPUs+r.CPUs <= t.GuaranteedCPUs+roundingTolerance && t.UsedGPUs+r.GPUs <= t.GuaranteedGPUs+roundingTolerance
}

// borrows reports whether the team uses more than its guarantee.
func (t *Team) borrows() bool {
	return t.UsedCPUs > t.GuaranteedCPUs+roundingTolerance || t.UsedGPUs > t.GuaranteedGPUs+roundingTolerance
}

// everFits reports whether a task that requests r will fit the quota once all use but the permanent use has
// ended.
func (t *Team) everFits(r Resources) bool {
	return t.PermanentUse.CPUs+r.CPUs <= t.QuotaCPUs+roundingTolerance && t.PermanentUse.GPUs+r.GPUs <= t.QuotaGPUs+roundingTolerance
}

// admits reports whether one more task of a job fits the quota, without the part that is reserved for the
// first task of another job.
func (t *Team) admits(job *PendingJob) bool {
	request := job.Request()
	if t.reservedFor != "" && t.reservedFor != job.Job.ID {
		request.CPUs += t.reserved.CPUs
		request.GPUs += t.reserved.GPUs
	}
	return t.withinQuota(request)
}

// TasksWithinQuota returns how many of a job's waiting tasks fit its team's quota. It is 0 if the team is not
// known.
func TasksWithinQuota(job *PendingJob, teams map[string]*Team) int {
	team := teams[job.Job.Team]
	if team == nil {
		return 0
	}
	request := job.Request()
	tasks := float64(job.Waiting)
	if request.CPUs > 0 {
		tasks = min(tasks, math.Floor((team.QuotaCPUs-team.UsedCPUs+roundingTolerance)/request.CPUs))
	}
	if request.GPUs > 0 {
		tasks = min(tasks, math.Floor((team.QuotaGPUs-team.UsedGPUs+roundingTolerance)/request.GPUs))
	}
	return int(max(0, tasks))
}
