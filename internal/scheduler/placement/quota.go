package placement

import "math"

// Team is a team's quotas and use. A cycle adds the tasks that it places.
type Team struct {
	// UsedCPUs and UsedGPUs are taken by all tasks that may be running somewhere.
	UsedCPUs, UsedGPUs float64
	// QuotaCPUs and QuotaGPUs are the limit of the team's use; +Inf: none.
	QuotaCPUs, QuotaGPUs float64
	// GuaranteedCPUs and GuaranteedGPUs are the team's guarantee. What it uses
	// beyond them is borrowed, and other teams may take it back by preemption.
	GuaranteedCPUs, GuaranteedGPUs float64
	// PermanentUse is the part of the use that does not end by itself.
	PermanentUse Resources
	// FairShareCPUs is how many CPUs one job of a team without a quota may have had
	// before other jobs may begin ahead of its next tasks; 0: any number.
	FairShareCPUs float64

	reservedFor string    // ID of the starving job for which a part of the quota is reserved
	reserved    Resources // that part
}

// unlimitedTeam returns a team without a quota.
func unlimitedTeam() *Team { return &Team{QuotaCPUs: math.Inf(1), QuotaGPUs: math.Inf(1)} }

// use adds what a task requests to the team's use.
func (t *Team) use(r Resources) { t.UsedCPUs += r.CPUs; t.UsedGPUs += r.GPUs }

// release subtracts what a task requested from the team's use.
func (t *Team) release(r Resources) { t.UsedCPUs -= r.CPUs; t.UsedGPUs -= r.GPUs }

// withinQuota reports whether the team stays within its quota with r more.
func (t *Team) withinQuota(r Resources) bool {
	return t.UsedCPUs+r.CPUs <= t.QuotaCPUs+slack && t.UsedGPUs+r.GPUs <= t.QuotaGPUs+slack
}

// withinGuarantee reports whether the team stays within its guarantee with r more.
func (t *Team) withinGuarantee(r Resources) bool {
	return t.UsedCPUs+r.CPUs <= t.GuaranteedCPUs+slack && t.UsedGPUs+r.GPUs <= t.GuaranteedGPUs+slack
}

// borrows reports whether the team uses more than its guarantee.
func (t *Team) borrows() bool {
	return t.UsedCPUs > t.GuaranteedCPUs+slack || t.UsedGPUs > t.GuaranteedGPUs+slack
}

// everFits reports whether a task fits the quota beside the use that does not
// end by itself.
func (t *Team) everFits(r Resources) bool {
	return t.PermanentUse.CPUs+r.CPUs <= t.QuotaCPUs+slack && t.PermanentUse.GPUs+r.GPUs <= t.QuotaGPUs+slack
}

// admits reports whether one task of a job fits the quota beside what is
// reserved for the first task of another job.
func (t *Team) admits(p *PendingJob) bool {
	r := p.Request()
	if t.reservedFor != "" && t.reservedFor != p.Job.ID {
		r.CPUs += t.reserved.CPUs
		r.GPUs += t.reserved.GPUs
	}
	return t.withinQuota(r)
}

// TasksWithinQuota returns how many of a job's waiting tasks its team's quota
// admits; 0 if the team is not known.
func TasksWithinQuota(p *PendingJob, teams map[string]*Team) int {
	t := teams[p.Job.Team]
	if t == nil {
		return 0
	}
	request := p.Request()
	n := float64(p.Waiting)
	if request.CPUs > 0 {
		n = min(n, math.Floor((t.QuotaCPUs-t.UsedCPUs+slack)/request.CPUs))
	}
	if request.GPUs > 0 {
		n = min(n, math.Floor((t.QuotaGPUs-t.UsedGPUs+slack)/request.GPUs))
	}
	return int(max(0, n))
}
