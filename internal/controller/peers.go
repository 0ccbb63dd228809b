package controller

import (
	"context"
	"net/http"

	"poppypass/internal/mesh"
)

func yesOrNo(yes bool) mesh.Response {
	if yes {
		return mesh.Response{Status: http.StatusOK}
	}
	return mesh.Response{Status: http.StatusConflict}
}

// all asks every other member; it is true only if each answered 200.
func (c *Controller) all(ctx context.Context, verb mesh.Verb) bool {
	answers := make(chan bool, len(c.endpoint))
	for _, addr := range c.endpoint {
		go func() {
			r, err := c.peers.Call(ctx, addr, mesh.Request{Verb: verb})
			answers <- err == nil && r.Status == http.StatusOK
		}()
	}
	for range c.endpoint {
		if !<-answers {
			return false
		}
	}
	return true
}

// Promise asks all other members not to campaign for a while.
func (c *Controller) Promise(ctx context.Context) bool { return c.all(ctx, mesh.Promise) }

// NobodyLeads asks all other members whether they do not lead.
func (c *Controller) NobodyLeads(ctx context.Context) bool { return c.all(ctx, mesh.NotLeading) }
