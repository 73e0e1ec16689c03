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
func (w *World) fault() {
	if w.calm {
		return
	}
	w.after(upTo(w.plan, 10*time.Second/time.Duration(len(w.nodes))), w.fault)
	n := w.nodes[w.plan.IntN(len(w.nodes))]
	what, other, both := w.plan.IntN(7), w.plan.IntN(len(n.site.nodes)), w.plan.IntN(2) == 0
	short, long := upTo(w.plan, 2*w.Lasts), upTo(w.plan, 4*w.Lasts)
	switch what {
	case 0: // cut off from all, both ways or one way
		w.say(fmt.Sprint("cut ", n.name, " both ways ", both))
		for _, m := range n.site.nodes {
			n.cut[m.name] = true
			m.cut[n.name] = m.cut[n.name] || both
		}
	case 1: // one link
		n.cut[n.site.nodes[other].name] = true
	case 2, 3:
		w.mend(n)
	case 4:
		if n.up && !n.paused {
			w.say("stop " + n.name)
			n.paused = true
			w.after(long, func() { w.goOn(n) })
		}
	case 5:
		w.restart(n, short, false)
	case 6: // the store of one that has no seat is lost
		if !n.file.IsVoter {
			w.restart(n, short, true)
		}
	}
}

// siteFault breaks something between sites, or a whole council, for a while.
func (w *World) siteFault() {
	if w.calm || len(w.Levels) < 2 {
		return
	}
	w.after(upTo(w.plan, 20*time.Second/time.Duration(len(w.sites))), w.siteFault)
	p, q := w.sites[w.plan.IntN(len(w.sites))], w.sites[w.plan.IntN(len(w.sites))]
	what, both, long := w.plan.IntN(4), w.plan.IntN(2) == 0, 2*time.Second+upTo(w.plan, 12*time.Second)
	if p == q {
		return
	}
	switch what {
	case 0, 1: // two sites, one of them below the other wherever they are
		if p.up != nil && what == 0 {
			q = p.up
		}
		w.say(fmt.Sprint("cut ", p.name, " from ", q.name, " both ways ", both))
		w.after(long, w.part(p, q, both))
	case 2: // one from all
		w.say(fmt.Sprint("cut off ", p.name, " both ways ", both))
		for _, q := range w.sites {
			if q != p {
				w.after(long, w.part(p, q, both))
			}
		}
	case 3: // its whole council
		if p.up != nil {
			for _, n := range p.nodes[:len(p.group.Voters)] {
				w.restart(n, long, false)
			}
		}
	}
}

// doom has one site, not a top, lose all its stores at some time. Nobody there remembers what the site was, so its council
// is founded anew, and its writes begin another life.
func (w *World) doom() {
	if len(w.Levels) < 2 {
		return
	}
	at := w.For/4 + upTo(w.plan, w.For/2)
	p := w.sites[w.plan.IntN(len(w.sites))]
	gone := time.Second + upTo(w.plan, 5*time.Second)
	if p.up == nil || w.plan.IntN(2) == 0 {
		return
	}
	p.doomed = true
	w.after(at, func() { w.lose(p, gone) })
}

// lose ends all nodes of a site with their stores, for a while.
func (w *World) lose(p *place, gone time.Duration) {
	w.say("all stores of " + p.name + " are lost")
	for _, n := range p.nodes {
		w.restart(n, gone, true)
	}
	p.forget()
	for _, x := range w.writes {
		x.doomed = x.doomed || x.site == p
	}
}

// restart ends a process and starts the next one after a while, with the store or with an empty one. One that is down
// already comes back when it was going to.
func (w *World) restart(n *node, after time.Duration, empty bool) {
	if empty {
		n.store, n.saved, n.kept, n.boot, n.life = consensus.StoredState{}, sendlease.Saved{}, control.PolicyState{}, 0, n.life+1
		w.say("the store of " + n.name + " is lost")
	}
	if !n.up {
		return
	}
	w.say("kill " + n.name)
	n.up, n.run, n.taken, n.told, n.knows = false, 0, sendlease.Restrictions{AllAfterExpiry: true}, nil, false
	for _, a := range n.site.asks {
		if a.at == n {
			a.lost()
		}
	}
	w.after(after, func() { w.start(n) })
}

func (w *World) goOn(n *node) {
	if !n.up || !n.paused {
		return
	}
	w.say("go on " + n.name)
	n.paused = false
	n.place() // the first thing that the loop does is what it was about to
	late := n.late
	n.late = nil
	for _, f := range late {
		if n.up {
			n.when(f)
		}
	}
}

func (w *World) mend(n *node) {
	clear(n.cut)
	for _, m := range n.site.nodes {
		delete(m.cut, n.name)
	}
}

func (w *World) heal() {
	clear(w.apart)
	for _, n := range w.nodes {
		w.mend(n)
		w.goOn(n)
	}
}
