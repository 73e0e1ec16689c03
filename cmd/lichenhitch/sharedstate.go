package main

import (
	"runtime/debug"
	"slices"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/handover"
	"lichenhitch/internal/lifecycle"
)

// This file is about the state that this process shares with another process of the same node, while a new version
// takes over from an old one.

const (
	// readyPollInterval is how often a process that is not ready yet checks whether it is.
	readyPollInterval = 10 * time.Millisecond
	// publishInterval is how often a process that is not the only one publishes its own entry in the shared state.
	publishInterval = 100 * time.Millisecond
	// minConns is left to a process whatever the other one holds.
	minConns = 16
)

// joinProcesses registers this process among those of the node.
func (n *node) joinProcesses() {
	store, shared, err := handover.Join(n.log, n.cfg.SharedDir, n.cfg.Name, func(st handover.State) {
		n.loop.Do(func() { n.applySharedState(st) })
	})
	if err != nil {
		n.log.Warn("nothing can be shared with another process of this node", "folder", n.cfg.SharedDir, "error", err)
		return
	}
	n.store, n.sharedState, n.processNumber = store, shared, store.Number()
	n.acceptor.SetIDLocks(store.IDLocks())
	if shared.Draining || len(shared.Bans) > 0 {
		n.log.Info("carried over", "drained", shared.Draining, "hosts out", len(shared.Bans))
	}
}

// applySharedState applies the shared state to this process. What is unchanged keeps its state.
func (n *node) applySharedState(st handover.State) {
	for host, since := range st.Bans {
		n.core.Suspend(balance.ServerID(host), since)
	}
	for _, host := range n.core.Suspended() {
		if _, banned := st.Bans[string(host)]; !banned {
			n.core.Resume(host)
		}
	}
	n.sharedState = st
	n.acceptor.AddUsedIDs(st.UsedIDs)
	if n.receiver != nil && !st.HasEarlier(n.processNumber) { // no process is left that could hand connections over
		n.receiver.DrainAndClose()
		n.receiver = nil
	}
	if st.HasLater(n.processNumber) {
		n.releaseControl()
	} else {
		n.reclaimControl()
	}
	switch now := n.loop.Now(); {
	case st.Draining && !n.service.Draining:
		n.service = n.service.Apply(lifecycle.Drain, st.DrainBegan(now))
	case !st.Draining && n.service.Draining:
		n.service = n.service.Apply(lifecycle.Activate, now)
	}
	if superseded := st.Superseded(n.processNumber); superseded != n.service.Superseded {
		n.log.Info("another process has the address", "yes", superseded)
		n.service = n.service.SetSuperseded(superseded, n.loop.Now())
	}
	n.updateLimits()
	n.ensureStepping()
}

// changeSharedState applies a change to the shared state. done is called once the change is stored and applied in
// this process, or has failed.
func (n *node) changeSharedState(apply func(*handover.State), done func(error)) {
	if n.store == nil {
		st := n.sharedState.Clone()
		apply(&st)
		n.applySharedState(st)
		done(nil)
		return
	}
	n.store.Change(apply, func(st handover.State, err error) {
		n.loop.Do(func() {
			if err == nil {
				n.applySharedState(st)
			}
			done(err)
		})
	})
}

// announceReady checks whether this process can report itself ready, and repeats that until it has. While an earlier
// process serves, this one does not accept clients before it has a host list: until then the earlier one serves
// better.
func (n *node) announceReady() {
	if n.service.Leaving {
		return
	}
	listUsable := n.checkUsable() == nil
	if n.listener == nil && !n.service.NotAccepting && (listUsable || !n.sharedState.HasEarlier(n.processNumber)) {
		if err := n.startListening(); err != nil {
			n.log.Error("the door stays closed", "error", err)
		}
	}
	switch {
	case n.listener == nil || !listUsable:
		n.loop.After(readyPollInterval, n.announceReady)
	case n.store == nil:
		n.ready = true
	default:
		deadline := longestDeadline(n.cfg.Settings)
		n.store.ChangeOwn(func(p *handover.Process) { p.Ready, p.LongestDeadline = true, deadline }, func(_ handover.State, err error) {
			n.loop.Do(func() {
				if n.ready = err == nil; !n.ready {
					n.loop.After(readyPollInterval, n.announceReady)
				}
			})
		})
	}
}

// updateLimits keeps the descriptors and the memory of all processes of the node together within the limits of the
// node.
func (n *node) updateLimits() {
	siblings, siblingSockets := n.sharedState.Others(n.processNumber)
	if siblings == n.budgetedSiblings && siblingSockets == n.budgetedSiblingSockets && n.allControlSockets == n.budgetedControlSockets {
		return
	}
	maxConns := max(n.sockets-reservedSockets-siblingSockets-n.allControlSockets, minConns)
	n.loop.SetMaxConns(maxConns)
	n.acceptor.SetMaxConns(max(maxConns-probeSockets, minConns))
	if siblings != n.budgetedSiblings {
		debug.SetMemoryLimit(memoryLimit(n.cfg.MemoryMB) / int64(siblings+1))
		n.core.SetSiblingProcesses(siblings)
		if n.budgetedSiblings == 0 {
			n.publishPeriodically()
		}
	}
	n.budgetedSiblings, n.budgetedSiblingSockets, n.budgetedControlSockets = siblings, siblingSockets, n.allControlSockets
}

// publishPeriodically publishes this process's own entry, for as long as there are other processes.
func (n *node) publishPeriodically() {
	if siblings, _ := n.sharedState.Others(n.processNumber); siblings > 0 {
		n.publishOwnEntry()
		n.publishUsedIDs()
		n.loop.After(publishInterval, n.publishPeriodically)
	}
}

// publishOwnEntry publishes how many descriptors this process holds, and the longest deadline of its settings, if either
// has changed.
func (n *node) publishOwnEntry() {
	descriptors := n.loop.Conns() + reservedSockets + n.allControlSockets
	deadline := longestDeadline(n.cfg.Settings)
	i := slices.IndexFunc(n.sharedState.Processes, func(p handover.Process) bool { return p.Number == n.processNumber })
	if i < 0 {
		return
	}
	if p := n.sharedState.Processes[i]; p.Descriptors == descriptors && p.LongestDeadline == deadline {
		return
	}
	n.store.ChangeOwn(func(p *handover.Process) { p.Descriptors, p.LongestDeadline = descriptors, deadline },
		func(handover.State, error) {})
}

// publishUsedIDs publishes the ids that have been used since the last call.
func (n *node) publishUsedIDs() {
	if added := n.acceptor.UsedIDCount(); added != n.publishedUsedIDs {
		n.publishedUsedIDs = added
		latest := n.acceptor.LatestUsedIDs(handover.MaxUsedIDs)
		n.store.Change(func(st *handover.State) { st.AddUsedIDs(latest) }, func(handover.State, error) {})
	}
}
