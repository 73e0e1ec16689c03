package province

import (
	"fmt"
	"time"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/consensus"
	"lichenhitch/internal/control"
)

// Faults are drawn entirely from planRNG, whatever state they meet, so that a seed gives the same faults at the same times
// however turns are granted.

// injectFault injects a random fault at a random node, or heals its links, and schedules the next one.
func (w *World) injectFault() {
	if w.quiet {
		return
	}
	w.after(randomUpTo(w.planRNG, 10*time.Second/time.Duration(len(w.nodes))), w.injectFault)
	n := w.nodes[w.planRNG.IntN(len(w.nodes))]
	kind, peer, bothWays := w.planRNG.IntN(7), w.planRNG.IntN(len(n.site.nodes)), w.planRNG.IntN(2) == 0
	short, long := randomUpTo(w.planRNG, 2*w.LeaseDuration), randomUpTo(w.planRNG, 4*w.LeaseDuration)
	switch kind {
	case 0: // cut off from all nodes of the site, both ways or one way
		w.log(fmt.Sprint("cut ", n.name, " both ways ", bothWays))
		for _, m := range n.site.nodes {
			n.cutTo[m.name] = true
			m.cutTo[n.name] = m.cutTo[n.name] || bothWays
		}
	case 1: // one link, one way
		n.cutTo[n.site.nodes[peer].name] = true
	case 2, 3:
		w.healLinks(n)
	case 4:
		if n.up && !n.paused {
			w.log("pause " + n.name)
			n.paused = true
			w.after(long, func() { w.resume(n) })
		}
	case 5:
		w.restart(n, short, false)
	case 6: // a node without a replica loses its store
		if !n.config.IsVoter {
			w.restart(n, short, true)
		}
	}
}

// injectSiteFault injects a random fault between sites, or stops all replicas of a site, for a time, and schedules the next.
func (w *World) injectSiteFault() {
	if w.quiet || len(w.Levels) < 2 {
		return
	}
	w.after(randomUpTo(w.planRNG, 20*time.Second/time.Duration(len(w.sites))), w.injectSiteFault)
	site, other := w.sites[w.planRNG.IntN(len(w.sites))], w.sites[w.planRNG.IntN(len(w.sites))]
	kind, bothWays, duration := w.planRNG.IntN(4), w.planRNG.IntN(2) == 0, 2*time.Second+randomUpTo(w.planRNG, 12*time.Second)
	if site == other {
		return
	}
	switch kind {
	case 0, 1: // between two sites: a site and its parent (0), or any two
		if site.parent != nil && kind == 0 {
			other = site.parent
		}
		w.log(fmt.Sprint("cut ", site.name, " from ", other.name, " both ways ", bothWays))
		w.after(duration, w.partition(site, other, bothWays))
	case 2: // one site from all others
		w.log(fmt.Sprint("cut off ", site.name, " both ways ", bothWays))
		for _, other := range w.sites {
			if other != site {
				w.after(duration, w.partition(site, other, bothWays))
			}
		}
	case 3: // all replicas of the site
		if site.parent != nil {
			for _, n := range site.nodes[:len(site.definition.Voters)] {
				w.restart(n, duration, false)
			}
		}
	}
}

// scheduleStoreLoss may schedule the loss of all stores of one site that is not a root site. No node there remembers the
// site's state, so its consensus group is bootstrapped again and its writes start a new incarnation.
func (w *World) scheduleStoreLoss() {
	if len(w.Levels) < 2 {
		return
	}
	at := w.FaultPhase/4 + randomUpTo(w.planRNG, w.FaultPhase/2)
	site := w.sites[w.planRNG.IntN(len(w.sites))]
	downtime := time.Second + randomUpTo(w.planRNG, 5*time.Second)
	if site.parent == nil || w.planRNG.IntN(2) == 0 {
		return
	}
	site.losesStores = true
	w.after(at, func() { w.loseStores(site, downtime) })
}

// loseStores kills all nodes of a site and restarts them later with empty stores.
func (w *World) loseStores(site *siteState, downtime time.Duration) {
	w.log("all stores of " + site.name + " are lost")
	for _, n := range site.nodes {
		w.restart(n, downtime, true)
	}
	site.forgetState()
	for _, x := range w.writes {
		x.lostWithStores = x.lostWithStores || x.site == site
	}
}

// restart kills a process and starts the next one after downtime, with its store or with an empty one. A node that is
// already down starts at the time scheduled before.
func (w *World) restart(n *node, downtime time.Duration, empty bool) {
	if empty {
		n.store, n.savedLease, n.keptPolicies, n.openCount, n.incarnation = consensus.StoredState{}, sendlease.Saved{}, control.PolicyState{}, 0, n.incarnation+1
		w.log("the store of " + n.name + " is lost")
	}
	if !n.up {
		return
	}
	w.log("kill " + n.name)
	n.up, n.runID, n.restrictions, n.lockedHosts, n.hasLockList = false, 0, sendlease.Restrictions{AllAfterExpiry: true}, nil, false
	for _, turn := range n.site.turns {
		if turn.callee == n {
			turn.connLost()
		}
	}
	w.after(downtime, func() { w.start(n) })
}

func (w *World) resume(n *node) {
	if !n.up || !n.paused {
		return
	}
	w.log("resume " + n.name)
	n.paused = false
	n.sendToHost() // the traffic loop first finishes the send that the pause interrupted, with the restrictions from before it
	deferred := n.deferred
	n.deferred = nil
	for _, task := range deferred {
		if n.up {
			n.runOrDefer(task)
		}
	}
}

func (w *World) healLinks(n *node) {
	clear(n.cutTo)
	for _, m := range n.site.nodes {
		delete(m.cutTo, n.name)
	}
}

func (w *World) healAll() {
	clear(w.partitions)
	for _, n := range w.nodes {
		w.healLinks(n)
		w.resume(n)
	}
}
