// Copies shows whether late copies of direct commands that were executed and answered break a rule. It runs three real
// controllers on loopback, fakes of the state service and the cloud, and workers to which copies of answered requests
// arrive, from a fraction of a second to several leases late. Attempts fail and are tried again elsewhere, tasks are
// preempted and moved, jobs are cancelled, worker processes are restarted, machines are lost, and the leader is killed and
// back at once. It exits with status 1 if a task runs twice at a time, a team's quota is exceeded, a task starts after its
// cancellation was confirmed, or a job is left at the end.
//
//	go run ./internal/sim/copies --program target/poppypass --for 2m
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/testcluster"
)

const (
	teams              = 4
	quotaCPUs          = 48 // of each team; a quarter of it is guaranteed
	machines           = 16
	workerLease        = 6 * time.Second
	submissionInterval = 200 * time.Millisecond
	copyDelayMin       = 50 * time.Millisecond  // how late a copy is at the least
	copyDelayMax       = 4 * workerLease        // how late a copy is at the most
	endLimit           = 3 * time.Minute        // time within which all jobs must be over after the last submission
	endCheckInterval   = 500 * time.Millisecond // interval at which that is checked
)

// options are the settings of a run.
type options struct {
	program      string
	lastProgram  string        // program of the last controller; empty: program
	copied       int           // percent of the answered direct requests of which a copy arrives
	duration     time.Duration // how long jobs are submitted
	killEvery    time.Duration // interval at which the leader is killed
	restartEvery time.Duration // interval at which a worker process is restarted; 0: none is
	loseEvery    time.Duration // interval at which a machine is lost; 0: none is
	seed         uint64
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use: "copies", Short: "Look for broken rules while copies of direct commands arrive late", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), o) },
	}
	cmd.Flags().StringVar(&o.program, "program", "target/poppypass", "the program to run")
	cmd.Flags().StringVar(&o.lastProgram, "last-program", "", "the program of the last controller, such as an earlier build; empty: the same")
	cmd.Flags().IntVar(&o.copied, "copied", 50, "percent of the answered direct requests of which a copy arrives")
	cmd.Flags().DurationVar(&o.duration, "for", 2*time.Minute, "how long jobs are submitted")
	cmd.Flags().DurationVar(&o.killEvery, "kill-every", 5*time.Second, "how often the leader is killed; it is back at once")
	cmd.Flags().DurationVar(&o.restartEvery, "restart-every", 3*time.Second, "how often a worker process is restarted; 0: never")
	cmd.Flags().DurationVar(&o.loseEvery, "lose-every", 20*time.Second, "how often a machine is lost; 0: never")
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the jobs and of the copies")
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// run runs the cluster and reports what the workers observed.
func run(ctx context.Context, o options) error {
	ctx, stop := context.WithTimeout(ctx, o.duration+2*endLimit)
	defer stop()
	rules := newRules(o.seed, o.copied)
	cluster := &testcluster.Cluster{
		Program: o.program, LastProgram: o.lastProgram, Members: 3, Teams: teams, CPUs: quotaCPUs, Machines: machines, HeartbeatEvery: time.Second, WorkerLease: workerLease,
		Type:       wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 64, Price: 0.8, SpotPrice: 0.3, BootS: 1, Zones: []string{"a", "b"}},
		Properties: "fleet.idle.keep = 10s\n", AttemptPlanner: rules.attemptStarted, OnEnd: rules.attemptEnded,
		CopyDelay: rules.copyDelay, OnExposure: rules.copyDropped,
	}
	defer cluster.Close()
	if err := cluster.Start(ctx); err != nil {
		return err
	}
	users := newUsers(cluster, rules)
	users.submitFor(ctx, o)
	left := users.awaitEnd(ctx)
	rules.report(cluster, users.submitted)
	if left {
		users.reportLeft(ctx)
		rules.violation("jobs are left %v after the last submission", endLimit)
	}
	if n := rules.violations(); n > 0 {
		return fmt.Errorf("%d rules broken", n)
	}
	return nil
}
