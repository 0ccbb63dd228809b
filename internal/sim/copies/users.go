package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/testcluster"
)

// Every jobsPerService-th job is a service. A service is cancelled by its user, and so is every jobsPerCancel-th array.
const (
	jobsPerService = 6
	jobsPerCancel  = 4
	serviceLife    = 10 * time.Second // time after which a service is cancelled
	arrayLife      = 2 * time.Second  // time after which an array is cancelled
)

// users submit jobs to a cluster and cancel some of them.
type users struct {
	cluster   *testcluster.Cluster
	rules     *rules
	submitted int
	cancels   sync.WaitGroup
}

func newUsers(cluster *testcluster.Cluster, rules *rules) *users {
	return &users{cluster: cluster, rules: rules}
}

// submitFor submits jobs for a while, and meanwhile kills leaders, restarts worker processes and loses machines.
func (u *users) submitFor(ctx context.Context, o options) {
	startedAt := time.Now()
	restarts, losses := newInterval(o.restartEvery), newInterval(o.loseEvery)
	for time.Since(startedAt) < o.duration && ctx.Err() == nil {
		u.submitted++
		u.submit(ctx, u.submitted)
		if restarts.due() {
			u.cluster.RestartWorker()
		}
		if losses.due() {
			u.cluster.LoseMachine()
		}
		if err := u.cluster.KillLeader(ctx, o.killEvery); err != nil {
			u.rules.violation("the leader could not be started again: %v", err)
			return
		}
		time.Sleep(submissionInterval)
	}
}

// submit submits a job whose team, kind, size and priority depend on its number, and has it cancelled later, if its user
// does that.
func (u *users) submit(ctx context.Context, number int) {
	shape, priority := "array", []string{"low", "standard", "urgent"}[number%3]
	if isService(number) {
		shape, priority = "service", "production"
	}
	body := fmt.Appendf(nil, `{"ref":%q,"lane":"c%d","desk":"team-%d","shape":%q,"urgency":%q,"seats":%d,"cpus":%d,"gpus":0,
		"mem_gb":1,"bundle":"i","image_gb":1,"same_place":false,"apart":false,"standby":true,"ride_s":6,"stub_s":%d,"stamp_s":0}`,
		jobName(number), number%2, number%teams, shape, priority, 1+number%5, cpusOf(number), 5*(number%2))
	u.cluster.Send(ctx, http.MethodPost, wire.PathJobs, body)
	switch {
	case isService(number):
		u.cancelAfter(ctx, number, serviceLife)
	case number%jobsPerCancel == 0:
		u.cancelAfter(ctx, number, arrayLife)
	}
}

// cancelAfter cancels a job after a while, and asks again until the cancellation is confirmed or the job is over.
func (u *users) cancelAfter(ctx context.Context, number int, pause time.Duration) {
	u.cancels.Go(func() {
		time.Sleep(pause)
		status, answer := u.cluster.Send(ctx, http.MethodPost, wire.PathJobs+"/"+jobName(number)+"/"+wire.PathEndCancel, nil)
		if status == http.StatusOK && bytes.Contains(answer, []byte(`"`+wire.StateCancelled+`"`)) {
			u.rules.cancelConfirmed(jobName(number))
		}
	})
}

// awaitEnd waits until all jobs are over, and reports whether some are left after endLimit.
func (u *users) awaitEnd(ctx context.Context) (left bool) {
	u.cancels.Wait()
	for deadline := time.Now().Add(endLimit); u.cluster.HasKeys("job/"); time.Sleep(endCheckInterval) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return true
		}
	}
	return false
}

// reportLeft prints each job that is not over, its state and what it waits for.
func (u *users) reportLeft(ctx context.Context) {
	for number := 1; number <= u.submitted; number++ {
		path := wire.PathJobs + "/" + jobName(number)
		_, state := u.cluster.Send(ctx, http.MethodGet, path, nil)
		if bytes.Contains(state, []byte(`"`+wire.StateCancelled+`"`)) || bytes.Contains(state, []byte(`"`+wire.StateDone+`"`)) {
			continue
		}
		_, why := u.cluster.Send(ctx, http.MethodGet, path+"/"+wire.PathEndExplain, nil)
		fmt.Printf("left: %s %s\n", state, why)
	}
}

func jobName(number int) string { return fmt.Sprintf("job-%06d", number) }

func isService(number int) bool { return number%jobsPerService == 0 }

// cpusOf returns the CPUs of each task of a job.
func cpusOf(number int) int { return 1 + number%2 }

// interval tells when something is due that happens at an interval.
type interval struct {
	every time.Duration // 0: never
	last  time.Time
}

func newInterval(every time.Duration) *interval { return &interval{every, time.Now()} }

// due reports whether the interval has passed since due last returned true.
func (i *interval) due() bool {
	if i.every <= 0 || time.Since(i.last) < i.every {
		return false
	}
	i.last = time.Now()
	return true
}
