package controller

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"

	"poppypass/internal/accounting/ledger"
	"poppypass/internal/graphs/airflow"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/metrics"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// addSubsystems adds the subsystems that are enabled in the operators' settings.
func (c *Controller) addSubsystems() error {
	if c.operatorSettings.MetricsAddr() != "" {
		c.metrics = metrics.New(c.settings.Cluster.State.WriteRPS)
		c.env.Observer = c.metrics
	}
	if enabled, descriptionsURL := c.operatorSettings.Graphs(); enabled {
		c.addGraphs(descriptionsURL)
	}
	if c.operatorSettings.LedgerEnabled() {
		return c.addLedger()
	}
	return nil
}

// addLedger adds the ledger: charges are recorded and served.
func (c *Controller) addLedger() error {
	state := c.settings.Cluster.State
	cfg := ledger.Config{
		Clock:         c.clock,
		MaxTxnChanges: state.MaxTxnOps - 1, // the leader's guard condition counts as an operation too
		MaxValueKiB:   state.MaxValueKiB,
		MachineTypes:  c.catalog.Types,
		Budgets:       c.operatorSettings.Budgets,
	}
	if c.metrics != nil {
		cfg.OnCharge = c.metrics.Charged
	}
	reader, err := ledger.NewReader(c.store.LowPriority())
	if err != nil {
		return err
	}
	c.ledger = &ledger.Handler{Reader: reader, QueryLeader: c.queryLeader}
	c.env.AccountsEnabled = true
	c.env.Subsystems = append(c.env.Subsystems, func(log *slog.Logger) (leader.Subsystem, error) { return ledger.New(cfg, log) })
	return nil
}

// addGraphs adds the graphs subsystem, which runs graphs of jobs, and the API for graphs. descriptionsURL is the URL to
// which the descriptions of steps are sent; if it is empty, the subsystem sends none.
func (c *Controller) addGraphs(descriptionsURL string) {
	cluster := c.settings.Cluster
	cfg := runner.Config{
		Clock:            c.clock,
		MaxTxnChanges:    cluster.State.MaxTxnOps - 1, // the leader's guard condition counts as an operation too
		MaxValueKiB:      cluster.State.MaxValueKiB,
		MaxMemoryBytes:   int(cluster.Limits.MemoryMiB * tuning.GraphMemoryShare * (1 << 20)),
		ImpossibleReason: func(j *wire.Job) string { return c.userAPI.InfeasibleReason(j) },
		Jitter:           rand.Float64,
		Pools:            c.operatorSettings.PoolSlots,
	}
	if descriptionsURL != "" {
		cfg.DescriptionSource = &runner.HTTPDescriptionSource{URL: descriptionsURL, Client: httpjson.NewClient(1, 1, 1, tuning.DescribeTimeout)}
	}
	c.graphs = &airflow.Handler{
		Reader: runner.NewReader(c.store.LowPriority()), Clock: c.clock, Log: c.log, SendCommand: c.commandLeader, SendQuery: c.queryLeader,
	}
	c.env.Subsystems = append(c.env.Subsystems, func(log *slog.Logger) (leader.Subsystem, error) { return runner.New(cfg, log) })
}

// queryLeader has the leader's subsystems answer a query. It reads c.userAPI at each call, since the user API is
// created after the subsystems.
func (c *Controller) queryLeader(ctx context.Context, uri string) (status int, body json.RawMessage) {
	return c.userAPI.Query(ctx, uri)
}

// commandLeader has the leader's subsystems execute a command.
func (c *Controller) commandLeader(ctx context.Context, cmd leader.Command) (status int, body json.RawMessage) {
	return c.userAPI.Command(ctx, cmd)
}
