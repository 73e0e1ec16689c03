package province

import (
	"fmt"
	"time"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/consensus"
	"lichenhitch/internal/control"
)

// What breaks is drawn whole from the plan, whatever state it meets, so that a seed breaks the same things at the same times
// whichever way turns are given.

// fault breaks something at a node, or mends it.
func (w *World) injectFault() {
	if w.quiet {
		return
	}
	w.after(randomUpTo(w.planRNG, 10*time.Second/time.Duration(len(w.nodes))), w.injectFault)
	n := w.nodes[w.planRNG.IntN(len(w.nodes))]
	kind, peer, bothWays := w.planRNG.IntN(7), w.planRNG.IntN(len(n.site.nodes)), w.planRNG.IntN(2) == 0
	short, long := randomUpTo(w.planRNG, 2*w.LeaseDuration), randomUpTo(w.planRNG, 4*w.LeaseDuration)
	switch kind {
	case 0: // cut off from all, both ways or one way
		w.log(fmt.Sprint("cut ", n.name, " both ways ", bothWays))
		for _, m := range n.site.nodes {
			n.cutTo[m.name] = true
			m.cutTo[n.name] = m.cutTo[n.name] || bothWays
		}
	case 1: // one link
		n.cutTo[n.site.nodes[peer].name] = true
	case 2, 3:
		w.healLinks(n)
	case 4:
		if n.up && !n.paused {
			w.log("stop " + n.name)
			n.paused = true
			w.after(long, func() { w.resume(n) })
		}
	case 5:
		w.restart(n, short, false)
	case 6: // the store of one that has no seat is lost
		if !n.config.IsVoter {
			w.restart(n, short, true)
		}
	}
}

// siteFault breaks something between sites, or a whole council, for a while.
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
	case 0, 1: // two sites, one of them below the other wherever they are
		if site.parent != nil && kind == 0 {
			other = site.parent
		}
		w.log(fmt.Sprint("cut ", site.name, " from ", other.name, " both ways ", bothWays))
		w.after(duration, w.partition(site, other, bothWays))
	case 2: // one from all
		w.log(fmt.Sprint("cut off ", site.name, " both ways ", bothWays))
		for _, other := range w.sites {
			if other != site {
				w.after(duration, w.partition(site, other, bothWays))
			}
		}
	case 3: // its whole council
		if site.parent != nil {
			for _, n := range site.nodes[:len(site.definition.Voters)] {
				w.restart(n, duration, false)
			}
		}
	}
}

// doom has one site, not a top, lose all its stores at some time. Nobody there remembers what the site was, so its council
// is founded anew, and its writes begin another life.
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

// lose ends all nodes of a site with their stores, for a while.
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

// restart ends a process and starts the next one after a while, with the store or with an empty one. One that is down
// already comes back when it was going to.
func (w *World) restart(n *node, downtime time.Duration, empty bool) {
	if empty {
		n.store, n.savedLease, n.keptPolicies, n.openCount, n.incarnation = consensus.StoredState{}, sendlease.Saved{}, control.Kept{}, 0, n.incarnation+1
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
	w.log("go on " + n.name)
	n.paused = false
	n.sendToHost() // the first thing that the loop does is what it was about to
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		if n.up {
			n.runOrDefer(f)
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
