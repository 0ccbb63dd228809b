package controller

import (
	"context"
	"errors"
	"sync"

	"poppypass/internal/cluster/election"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/leader"
)

// lead runs the leader's loop until the leadership is lost.
func (c *Controller) lead(ctx context.Context, t election.Leadership) {
	l := leader.New(c.env, t)
	l.Start(ctx)
	c.setCloudShare(true)
	c.leading.Store(l)
	if c.metrics != nil {
		c.metrics.SetLeading(true)
		defer c.metrics.SetLeading(false)
	}
	var wg sync.WaitGroup
	saveCtx, stopSave := context.WithCancel(ctx)
	defer func() {
		c.leading.Store(nil)
		c.setCloudShare(false)
		stopSave()
		wg.Wait()
	}()
	wg.Go(func() { c.catalog.Save(saveCtx) })
	if errors.Is(l.Run(), leader.ErrUnreachable) {
		c.elector.StandAside(tuning.YieldFor)
	}
}

// mayHaveRenewed asks a member, this one or another, which of some machines it may have answered by its zone lease. The
// error is workerlease.ErrUnsure when it cannot tell, or that of the call when it gives no answer.
func (c *Controller) mayHaveRenewed(ctx context.Context, member string, names []string) (renewed []string, err error) {
	if member == c.settings.Member {
		return c.zoneLease.MayHaveRenewed(names)
	}
	return c.peers.MayHaveRenewed(ctx, member, names)
}

// leader returns the leader's loop while this member has the right to act, nil otherwise.
func (c *Controller) leader() *leader.Loop {
	if l := c.leading.Load(); l != nil && c.elector.Valid(l.Leadership().Term) {
		return l
	}
	return nil
}

// guard returns the condition that a transaction of the leader has; leads is false when this member may not act.
func (c *Controller) guard() (guard wire.Condition, leads bool) {
	if l := c.leader(); l != nil {
		return l.Leadership().Guard, true
	}
	return wire.Condition{}, false
}
