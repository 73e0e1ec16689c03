package main

import (
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/lifecycle"
)

// This file carries out the commands of lifecycle.Service, which decides when the process accepts clients, moves them
// and exits.

// stepInterval is the interval of the steps of a process that does not just serve, and of the batches in which it hands
// connections over.
const stepInterval = 20 * time.Millisecond

// beginShutdown begins to shut down. Once all requests that were accepted are answered, shutdownComplete is closed, and
// stop may be called.
func (n *node) beginShutdown() {
	n.loop.Call(func() { n.applyOperation(lifecycle.Terminate) })
}

// applyOperation applies an operation on the node as a whole, such as Terminate.
func (n *node) applyOperation(operation lifecycle.Operation) {
	n.service = n.service.Apply(operation, n.loop.Now())
	n.ensureStepping()
}

// ensureStepping starts the calls of step, unless they are under way.
func (n *node) ensureStepping() {
	if !n.stepping {
		n.step()
	}
}

// step carries out the commands of lifecycle.Service. It schedules itself until the service is idle, that is, until
// the process just serves.
func (n *node) step() {
	n.stepping = !n.service.Idle()
	if !n.stepping {
		return
	}
	if n.service.Done(n.loop.Now(), n.loop.Lingering()) {
		close(n.shutdownComplete)
		return
	}
	n.handOverConns()
	var command lifecycle.Command
	var count int
	n.service, command, count = n.service.Step(n.loop.Now(), n.load())
	n.carryOut(command, count)
	n.loop.After(stepInterval, n.step)
}

// carryOut carries out a command; count is the number of clients to move.
func (n *node) carryOut(command lifecycle.Command, count int) {
	switch command {
	case lifecycle.MoveSome:
		n.core.MoveOldest(count)
	case lifecycle.StopAccepting:
		n.stopAccepting()
	case lifecycle.ResumeAccepting:
		if err := n.startListening(); err != nil {
			n.log.Error("the door stays closed", "error", err)
			n.service.NotAccepting = true // so that it is tried again
		}
	case lifecycle.CloseAll:
		n.core.Shutdown(n.service.PassThrough)
		n.acceptor.ThrottleAwaiting()
	}
}

// stopAccepting closes the listener. Connections that are queued on it are still accepted.
func (n *node) stopAccepting() {
	if n.listener != nil {
		n.listener.DrainAndClose()
		n.drainingListener, n.listener = n.listener, nil
	}
}

// load returns what the process serves now.
func (n *node) load() lifecycle.Load {
	return lifecycle.Load{
		Waiting:         n.pendingResponses(),
		Established:     n.core.Established(),
		LongestDeadline: n.platformDeadline(),
	}
}

// platformDeadline returns the longest deadline that the platform may go by when it kills this process: that of the
// settings as read, since the platform knows of no policy, or that of a later process if it is shorter, since that
// process was started with newer settings.
func (n *node) platformDeadline() time.Duration {
	deadline := longestDeadline(n.cfg.Settings)
	if later := n.sharedState.LaterDeadline(n.processNumber); later > 0 {
		deadline = min(deadline, later)
	}
	return deadline
}

// pendingResponses returns how many responses are outstanding: to requests, to clients that have not sent their
// request yet, and one more while connections may be queued on a listener that is being closed.
func (n *node) pendingResponses() int {
	pending := n.core.Waiting() + n.acceptor.AwaitingRequest()
	if n.drainingListener != nil && !n.drainingListener.Done() {
		pending++
	}
	return pending
}

func longestDeadline(set balance.Settings) (longest time.Duration) {
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}
