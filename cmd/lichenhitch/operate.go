package main

import (
	"errors"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/handover"
	"lichenhitch/internal/management"
)

// This file is what operators may call for: the node as management.Node.

// knownEnough is how long a node with an old list waits for discovery before it counts as ready all the same: one that
// is down at the start must not keep the node out.
var knownEnough = 1500 * time.Millisecond

// The reasons why a node is not ready.
var (
	errDrained   = errors.New("the node is drained")
	errLeaving   = errors.New("the node leaves")
	errSucceeded = errors.New("another process of the node has taken over")
	errDoor      = errors.New("the door is not open yet")
	errOldList   = errors.New("discovery has not answered yet")
	errNoList    = errors.New("there is no list of hosts yet")
)

// Ready implements management.Node.
func (n *node) Ready() error {
	switch {
	case n.service.Leaving:
		return errLeaving
	case n.service.Draining:
		return errDrained
	case n.service.Superseded:
		return errSucceeded
	case !n.ready || n.listener == nil:
		if err := n.usable(); err != nil {
			return err
		}
		return errDoor
	}
	return nil
}

// usable returns nil where there is a list to serve with.
func (n *node) usable() error {
	switch {
	case !n.discovery.HasList():
		return errNoList
	case n.core.LacksExclusionSet():
		return errNoRight
	case !n.discovery.Answered() && n.loop.Now()-n.begun < knownEnough:
		return errOldList
	}
	return nil
}

// awaitAgent waits until discovery's agent has told its list, where lists are pushed: what it has counts as told from the
// first moment of this process, so that nothing may go by the list of an earlier one. It waits no longer than the shortest aim:
// an agent that is silent must not keep the node out, and a client that comes at once and waits that long still gets what it
// came for at its worth. It is for the goroutine that starts the node.
func (n *node) awaitAgent() {
	set := n.cfg.Settings
	if set.ListOnRequest {
		return
	}
	within := knownEnough
	for _, c := range set.Classes {
		within = min(within, c.LatencyTarget)
	}
	told := make(chan struct{})
	n.loop.Call(func() { n.discovery.OnFirstList(within, func() { close(told) }) })
	<-told
}

// Suspend implements management.Node.
func (n *node) Suspend(host string, done func(error)) {
	if !n.core.KnowsHost(balance.ServerID(host)) {
		done(management.ErrUnknown)
		return
	}
	since := n.loop.Now()
	n.change(func(st *handover.State) {
		if _, out := st.Bans[host]; !out {
			st.Bans[host] = since
		}
	}, done)
}

// Resume implements management.Node. One that is not out is in use already.
func (n *node) Resume(host string, done func(error)) {
	if !n.core.KnowsHost(balance.ServerID(host)) {
		done(management.ErrUnknown)
		return
	}
	n.change(func(st *handover.State) { delete(st.Bans, host) }, done)
}

// Drain implements management.Node.
func (n *node) Drain(done func(error)) {
	n.change(func(st *handover.State) { st.Draining = true }, done)
}

// Activate implements management.Node.
func (n *node) Activate(done func(error)) {
	n.change(func(st *handover.State) { st.Draining = false }, done)
}
