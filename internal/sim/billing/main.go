// Billing compares the ledger with what workers measured themselves: three real
// controllers on loopback, stand-ins of the state service and the cloud, and workers
// whose tasks fail, are cancelled and lose their machines, while the leader is killed
// again and again. It prints the totals of each team both ways.
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
	teams   = 4
	between = 2 * time.Second // submissions
)

type comparison struct {
	program      string
	length       time.Duration
	killEvery    time.Duration
	loseMachines bool
	cluster      *testcluster.Cluster

	mu       sync.Mutex
	measured map[fakes.Attempt]fakes.MeasuredAttempt
	twice    int
	submits  int
}

func main() {
	l := &comparison{measured: map[fakes.Attempt]fakes.MeasuredAttempt{}}
	cmd := &cobra.Command{
		Use: "billing", Short: "Compare the ledger with what workers measured", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return l.run(cmd.Context()) },
	}
	cmd.Flags().StringVar(&l.program, "program", "target/poppypass", "the program to run")
	cmd.Flags().DurationVar(&l.length, "for", 3*time.Minute, "how long jobs are submitted")
	cmd.Flags().DurationVar(&l.killEvery, "kill-every", 20*time.Second, "how often the leader is killed")
	cmd.Flags().BoolVar(&l.loseMachines, "lose", false, "also have machines die without a word")
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// task draws a task's length and end from its name, so that each attempt has its own.
func (l *comparison) task(task string, attempt uint64) (time.Duration, wire.ExitReason, string) {
	h := fnv.New64a()
	fmt.Fprint(h, task, attempt)
	r := rand.New(rand.NewPCG(h.Sum64(), 1))
	why := wire.ExitDone
	if r.IntN(10) == 0 {
		why = wire.ExitError
	}
	var n int
	_, _ = fmt.Sscanf(fakes.JobOf(task), "job-%d", &n) // a name of ours
	return 20*time.Second + time.Duration(r.Int64N(int64(40*time.Second))), why, fmt.Sprintf("team-%d", n%teams)
}

func (l *comparison) record(m fakes.MeasuredAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, again := l.measured[m.Attempt]; again {
		l.twice++
	}
	l.measured[m.Attempt] = m
}

func (l *comparison) run(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, l.length+5*time.Minute)
	defer stop()
	l.cluster = &testcluster.Cluster{
		Program: l.program, Members: 3, Teams: teams, CPUs: 64, Machines: 24, HeartbeatEvery: 2 * time.Second, WorkerLease: 10 * time.Second,
		Type:       wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 32, Price: 0.8, SpotPrice: 0.3, BootS: 1, Zones: []string{"a", "b"}},
		Properties: "ledger = on\nfleet.idle.keep = 20s\n", Task: l.task, OnEnd: l.record,
	}
	defer l.cluster.Close()
	if err := l.cluster.Start(ctx); err != nil {
		return err
	}
	begun := time.Now()
	for id := 1; time.Since(begun) < l.length; id++ {
		l.submit(ctx, id)
		if id%9 == 0 {
			l.cluster.Send(ctx, http.MethodPost, fmt.Sprintf("%s/job-%d/%s", wire.PathJobs, id-3, wire.EndCancel), nil)
		}
		if l.loseMachines && id%15 == 0 {
			l.cluster.LoseMachine()
		}
		if err := l.cluster.KillLeader(ctx, l.killEvery); err != nil {
			return err
		}
		time.Sleep(between)
	}
	// All that is left runs to its end.
	for l.cluster.HasKeys("job/") && ctx.Err() == nil {
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second) // the last ends are stored
	return l.compare(ctx)
}

func (l *comparison) submit(ctx context.Context, id int) {
	l.submits++
	body := fmt.Appendf(nil, `{"ref":"job-%d","lane":"c%d","desk":"team-%d","shape":"array","urgency":"standard","seats":%d,"cpus":%d,"gpus":0,
		"mem_gb":4,"bundle":"i","image_gb":1,"same_place":false,"apart":false,"standby":true,"ride_s":12,"stub_s":5,"stamp_s":0,"account":"owner-%d"}`,
		id, id%2, id%teams, 1+id%7, 1+id%2, id%5)
	l.cluster.Send(ctx, http.MethodPost, wire.PathJobs, body)
}

// compare sets the charges of each attempt against what its worker measured.
func (l *comparison) compare(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	reader, err := ledger.NewReader(statestore.New(l.cluster.State.Addr(), 1e6, 1e6))
	if err != nil {
		return err
	}
	type key struct {
		fakes.Attempt
		part int
	}
	type sums struct{ measured, charged, seenMeasured, seenCharged, n, bounds float64 }
	byTeam := map[string]*sums{}
	charged := map[fakes.Attempt]time.Duration{}
	bound := map[fakes.Attempt]bool{}
	parts := map[key]int{}
	for id := 1; id <= l.submits; id++ {
		for after := ""; ; {
			page, err := reader.JobCharges(ctx, fmt.Sprint("job-", id), after)
			if err != nil {
				return err
			}
			for _, c := range page.Charges {
				a := fakes.Attempt{Task: c.Task, Attempt: c.Attempt}
				if parts[key{a, c.Part}]++; parts[key{a, c.Part}] > 1 {
					fmt.Printf("%v is charged twice\n", a)
				}
				charged[a] += c.End.Sub(c.Start)
				bound[a] = bound[a] || c.UpperBound
			}
			if after = page.Next; after == "" {
				break
			}
		}
	}
	missing := 0
	for a, m := range l.measured {
		s := byTeam[m.Team]
		if s == nil {
			s = &sums{}
			byTeam[m.Team] = s
		}
		c, ok := charged[a]
		if !ok {
			missing++
		}
		s.n++
		s.measured += m.Run.Seconds()
		s.charged += c.Seconds()
		if bound[a] {
			s.bounds++
			continue
		}
		s.seenMeasured += m.Run.Seconds()
		s.seenCharged += c.Seconds()
	}
	fmt.Printf("%d jobs, %d attempts measured (%d twice), %d charged, %d measured and not charged; the leader was killed %d times\n",
		l.submits, len(l.measured), l.twice, len(charged), missing, l.cluster.Kills)
	over := func(charged, measured float64) float64 { return 100 * (charged/measured - 1) }
	var all sums
	for k := range teams {
		team := fmt.Sprint("team-", k)
		s := byTeam[team]
		if s == nil {
			continue
		}
		fmt.Printf("%s: %.0f attempts measured %.1f s, charged %.1f s: %+.2f %%; without the %.0f upper bounds %+.2f %%\n",
			team, s.n, s.measured, s.charged, over(s.charged, s.measured), s.bounds, over(s.seenCharged, s.seenMeasured))
		all.measured, all.charged = all.measured+s.measured, all.charged+s.charged
		all.seenMeasured, all.seenCharged = all.seenMeasured+s.seenMeasured, all.seenCharged+s.seenCharged
	}
	fmt.Printf("all: measured %.1f s, charged %.1f s: %+.2f %%; without upper bounds %+.2f %%\n",
		all.measured, all.charged, over(all.charged, all.measured), over(all.seenCharged, all.seenMeasured))
	return nil
}
