// Billing compares the charges in the ledger with the run times that workers measured. It runs three real controllers on
// loopback, fakes of the state service and the cloud, and workers whose tasks fail, are cancelled and lose their machines,
// while the leader is killed repeatedly. For each team it prints the charged and the measured total.
//
//	go run ./internal/sim/billing --program target/poppypass --for 3m --kill-every 20s
package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/accounting/ledger"
	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
	"poppypass/internal/sim/testcluster"
)

const (
	teams              = 4
	submissionInterval = 2 * time.Second
)

// comparison compares a cluster's ledger with the run times that its workers measured.
type comparison struct {
	program      string
	duration     time.Duration // how long jobs are submitted
	killEvery    time.Duration // interval at which the leader is killed
	loseMachines bool          // whether machines are also lost
	cluster      *testcluster.Cluster

	mu            sync.Mutex
	measured      map[fakes.Attempt]fakes.MeasuredAttempt
	measuredTwice int // number of attempts that were measured more than once
	submittedJobs int // number of jobs submitted
}

func main() {
	l := &comparison{measured: map[fakes.Attempt]fakes.MeasuredAttempt{}}
	cmd := &cobra.Command{
		Use: "billing", Short: "Compare the ledger with what workers measured", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return l.run(cmd.Context()) },
	}
	cmd.Flags().StringVar(&l.program, "program", "target/poppypass", "the program to run")
	cmd.Flags().DurationVar(&l.duration, "for", 3*time.Minute, "how long jobs are submitted")
	cmd.Flags().DurationVar(&l.killEvery, "kill-every", 20*time.Second, "how often the leader is killed")
	cmd.Flags().BoolVar(&l.loseMachines, "lose", false, "also have machines die without a word")
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// planAttempt returns how long an attempt runs, how it ends and its team. The run time and the exit reason are
// pseudo-random, with the task and the attempt as the seed.
func (l *comparison) planAttempt(task string, attempt uint64) (time.Duration, wire.ExitReason, string) {
	hash := fnv.New64a()
	fmt.Fprint(hash, task, attempt)
	r := rand.New(rand.NewPCG(hash.Sum64(), 1))
	reason := wire.ExitDone
	if r.IntN(10) == 0 {
		reason = wire.ExitError
	}
	var n int
	_, _ = fmt.Sscanf(fakes.JobOf(task), "job-%d", &n) // every job has such a name: see submit
	return 20*time.Second + time.Duration(r.Int64N(int64(40*time.Second))), reason, fmt.Sprintf("team-%d", n%teams)
}

// recordAttempt records an attempt that has ended.
func (l *comparison) recordAttempt(m fakes.MeasuredAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, alreadyMeasured := l.measured[m.Attempt]; alreadyMeasured {
		l.measuredTwice++
	}
	l.measured[m.Attempt] = m
}

// run runs the cluster and compares the results.
func (l *comparison) run(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, l.duration+5*time.Minute)
	defer stop()
	l.cluster = &testcluster.Cluster{
		Program: l.program, Members: 3, Teams: teams, CPUs: 64, Machines: 24, HeartbeatEvery: 2 * time.Second, WorkerLease: 10 * time.Second,
		Type:       wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.8, SpotPrice: 0.3, BootS: 1, Zones: []string{"a", "b"}},
		Properties: "ledger = on\nfleet.idle.keep = 20s\n", AttemptPlanner: l.planAttempt, OnEnd: l.recordAttempt,
	}
	defer l.cluster.Close()
	if err := l.cluster.Start(ctx); err != nil {
		return err
	}
	startedAt := time.Now()
	for id := 1; time.Since(startedAt) < l.duration; id++ {
		l.submit(ctx, id)
		if id%9 == 0 {
			l.cluster.Send(ctx, http.MethodPost, fmt.Sprintf("%s/job-%d/%s", wire.PathJobs, id-3, wire.PathEndCancel), nil)
		}
		if l.loseMachines && id%15 == 0 {
			l.cluster.LoseMachine()
		}
		if err := l.cluster.KillLeader(ctx, l.killEvery); err != nil {
			return err
		}
		time.Sleep(submissionInterval)
	}
	// Wait until all jobs have ended.
	for l.cluster.HasKeys("job/") && ctx.Err() == nil {
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second) // meanwhile the leader stores the last final states and charges
	return l.compare(ctx)
}

// submit submits a job whose class, team, account and size depend on its number.
func (l *comparison) submit(ctx context.Context, id int) {
	l.submittedJobs++
	body := fmt.Appendf(nil, `{"ref":"job-%d","lane":"c%d","desk":"team-%d","shape":"array","urgency":"standard","seats":%d,"cpus":%d,"gpus":0,
		"mem_gb":4,"bundle":"i","image_gb":1,"same_place":false,"apart":false,"standby":true,"ride_s":12,"stub_s":5,"stamp_s":0,"account":"owner-%d"}`,
		id, id%2, id%teams, 1+id%7, 1+id%2, id%5)
	l.cluster.Send(ctx, http.MethodPost, wire.PathJobs, body)
}

// compare compares the charges of each attempt with the run time that its worker measured.
func (l *comparison) compare(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	reader, err := ledger.NewReader(statestore.New(l.cluster.State.Addr(), 1e6, 1e6))
	if err != nil {
		return err
	}
	type chargeKey struct {
		fakes.Attempt
		part int
	}
	type sums struct{ measured, charged, exactMeasured, exactCharged, attempts, upperBounds float64 }
	byTeam := map[string]*sums{}
	charged := map[fakes.Attempt]time.Duration{}
	isUpperBound := map[fakes.Attempt]bool{}
	partCounts := map[chargeKey]int{}
	for id := 1; id <= l.submittedJobs; id++ {
		for after := ""; ; {
			page, err := reader.JobCharges(ctx, fmt.Sprint("job-", id), after)
			if err != nil {
				return err
			}
			for _, c := range page.Charges {
				a := fakes.Attempt{Task: c.Task, Attempt: c.Attempt}
				if partCounts[chargeKey{a, c.Part}]++; partCounts[chargeKey{a, c.Part}] > 1 {
					fmt.Printf("%v is charged twice\n", a)
				}
				charged[a] += c.End.Sub(c.Start)
				isUpperBound[a] = isUpperBound[a] || c.UpperBound
			}
			if after = page.Next; after == "" {
				break
			}
		}
	}
	uncharged := 0
	for a, m := range l.measured {
		s := byTeam[m.Team]
		if s == nil {
			s = &sums{}
			byTeam[m.Team] = s
		}
		c, ok := charged[a]
		if !ok {
			uncharged++
		}
		s.attempts++
		s.measured += m.RunTime.Seconds()
		s.charged += c.Seconds()
		if isUpperBound[a] {
			s.upperBounds++
			continue
		}
		s.exactMeasured += m.RunTime.Seconds()
		s.exactCharged += c.Seconds()
	}
	fmt.Printf("%d jobs, %d attempts measured (%d twice), %d charged, %d measured and not charged; the leader was killed %d times\n",
		l.submittedJobs, len(l.measured), l.measuredTwice, len(charged), uncharged, l.cluster.LeaderKills)
	excessPercent := func(charged, measured float64) float64 { return 100 * (charged/measured - 1) }
	var all sums
	for k := range teams {
		team := fmt.Sprint("team-", k)
		s := byTeam[team]
		if s == nil {
			continue
		}
		fmt.Printf("%s: %.0f attempts measured %.1f s, charged %.1f s: %+.2f %%; without the %.0f upper bounds %+.2f %%\n",
			team, s.attempts, s.measured, s.charged, excessPercent(s.charged, s.measured), s.upperBounds, excessPercent(s.exactCharged, s.exactMeasured))
		all.measured, all.charged = all.measured+s.measured, all.charged+s.charged
		all.exactMeasured, all.exactCharged = all.exactMeasured+s.exactMeasured, all.exactCharged+s.exactCharged
	}
	fmt.Printf("all: measured %.1f s, charged %.1f s: %+.2f %%; without upper bounds %+.2f %%\n",
		all.measured, all.charged, excessPercent(all.charged, all.measured), excessPercent(all.exactCharged, all.exactMeasured))
	return nil
}
