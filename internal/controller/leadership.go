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

// lead runs the leader's loop until the leadership ends. If the loop ends because no worker answers this member,
// although workers answer another one, this member leaves the leadership to others for tuning.YieldFor.
func (c *Controller) lead(ctx context.Context, leadership election.Leadership) {
	loop := leader.New(c.env, leadership)
	loop.Start(ctx)
	c.setCloudShare(true)
	c.activeLoop.Store(loop)
	if c.metrics != nil {
		c.metrics.SetLeading(true)
		defer c.metrics.SetLeading(false)
	}
	var wg sync.WaitGroup
	saveCtx, stopSave := context.WithCancel(ctx)
	defer func() {
		c.activeLoop.Store(nil)
		c.setCloudShare(false)
		stopSave()
		wg.Wait()
	}()
	wg.Go(func() { c.catalog.Save(saveCtx) })
	if errors.Is(loop.Run(), leader.ErrUnreachable) {
		c.elector.DeferCampaign(tuning.YieldFor)
	}
}

// mayHaveRenewed asks a member, this one or another, which of the named machines it may have answered under its zone
// lease. Such an answer renews the lease of the machine's worker. The error is workerlease.ErrUnsure if the member
// cannot tell, or that of the call if the member gives no answer.
func (c *Controller) mayHaveRenewed(ctx context.Context, member string, names []string) (renewed []string, err error) {
	if member == c.settings.Member {
		return c.zoneLease.MayHaveRenewed(names)
	}
	return c.peers.MayHaveRenewed(ctx, member, names)
}

// leader returns the leader's loop while this member may act as the leader of that loop's term, nil otherwise.
func (c *Controller) leader() *leader.Loop {
	if l := c.activeLoop.Load(); l != nil && c.elector.MayAct(l.Leadership().Term) {
		return l
	}
	return nil
}

// guard returns the condition that each transaction of the leader carries. leads is false while this member may not
// act as the leader.
func (c *Controller) guard() (guard wire.Condition, leads bool) {
	if l := c.leader(); l != nil {
		return l.Leadership().Guard, true
	}
	return wire.Condition{}, false
}
