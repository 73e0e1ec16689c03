package main

import (
	"errors"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/handover"
	"lichenhitch/internal/management"
)

// This file implements management.Node: the operations that operators may call.

// firstListTimeout is how long a node that has an old list waits for discovery before it counts as ready all the
// same: a discovery that is down at the start must not keep the node out of service.
var firstListTimeout = 1500 * time.Millisecond

// The reasons why a node is not ready.
var (
	errDraining        = errors.New("the node is drained")
	errShuttingDown    = errors.New("the node leaves")
	errSuperseded      = errors.New("another process of the node has taken over")
	errNotListening    = errors.New("the door is not open yet")
	errUnconfirmedList = errors.New("discovery has not answered yet")
	errNoList          = errors.New("there is no list of hosts yet")
)

// Ready implements management.Node.
func (n *node) Ready() error {
	switch {
	case n.service.Leaving:
		return errShuttingDown
	case n.service.Draining:
		return errDraining
	case n.service.Superseded:
		return errSuperseded
	case !n.ready || n.listener == nil:
		if err := n.checkUsable(); err != nil {
			return err
		}
		return errNotListening
	}
	return nil
}

// checkUsable returns nil if the node has a host list to serve with.
func (n *node) checkUsable() error {
	switch {
	case !n.discovery.HasList():
		return errNoList
	case n.core.LacksExclusionSet():
		return errNoLease
	case !n.discovery.Answered() && n.loop.Now()-n.startedAt < firstListTimeout:
		return errUnconfirmedList
	}
	return nil
}

// awaitFirstList waits until discovery's agent has sent its list, in the mode in which lists are pushed: there, what
// the agent has counts as known to the node from the first moment of this process, so no request may be placed by the
// list of an earlier process. The wait is limited to firstListTimeout and to the shortest latency target of a class: an
// agent that does not respond must not keep the node out of service, and a client that connects at once and waits that
// long still gets its response at full value. It is called on the goroutine that starts the node, not on the loop.
func (n *node) awaitFirstList() {
	set := n.cfg.Settings
	if set.ListOnRequest {
		return
	}
	timeout := firstListTimeout
	for _, c := range set.Classes {
		timeout = min(timeout, c.LatencyTarget)
	}
	answered := make(chan struct{})
	n.loop.Call(func() { n.discovery.OnFirstList(timeout, func() { close(answered) }) })
	<-answered
}

// Suspend implements management.Node.
func (n *node) Suspend(host string, done func(error)) {
	if !n.core.KnowsHost(balance.ServerID(host)) {
		done(management.ErrUnknown)
		return
	}
	since := n.loop.Now()
	n.changeSharedState(func(st *handover.State) {
		if _, banned := st.Bans[host]; !banned {
			st.Bans[host] = since
		}
	}, done)
}

// Resume implements management.Node. For a host that is not banned it changes nothing.
func (n *node) Resume(host string, done func(error)) {
	if !n.core.KnowsHost(balance.ServerID(host)) {
		done(management.ErrUnknown)
		return
	}
	n.changeSharedState(func(st *handover.State) { delete(st.Bans, host) }, done)
}

// Drain implements management.Node.
func (n *node) Drain(done func(error)) {
	now := n.loop.Now()
	n.changeSharedState(func(st *handover.State) { st.Drain(now) }, done)
}

// Activate implements management.Node.
func (n *node) Activate(done func(error)) {
	n.changeSharedState((*handover.State).Activate, done)
}
