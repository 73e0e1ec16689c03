package main

import (
	"runtime/debug"
	"slices"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/handover"
	"lichenhitch/internal/lifecycle"
)

// This file is what this process shares with another one of the same node, while a new version takes over from an old
// one.

const (
	// arriveLook is how often a process that is not ready yet looks whether it is.
	arriveLook = 10 * time.Millisecond
	// tellLinks is how often a process that is not alone tells how many descriptors it holds.
	tellLinks = 100 * time.Millisecond
	// fewestLinks are left to a process whatever the other one holds.
	fewestLinks = 16
)

// join enters this process among those of the node.
func (n *node) join() {
	store, shared, err := handover.Join(n.log, n.cfg.SharedDir, n.cfg.Name, func(st handover.State) {
		n.loop.Do(func() { n.take(st) })
	})
	if err != nil {
		n.log.Warn("nothing can be shared with another process of this node", "folder", n.cfg.SharedDir, "error", err)
		return
	}
	n.store, n.shared, n.number = store, shared, store.Number()
	if shared.Draining || len(shared.Bans) > 0 {
		n.log.Info("carried over", "drained", shared.Draining, "hosts out", len(shared.Bans))
	}
}

// take has the shared state hold in this process. What holds already stays as it is.
func (n *node) take(st handover.State) {
	for host, since := range st.Bans {
		n.core.Suspend(balance.ServerID(host), since)
	}
	for _, host := range n.core.Suspended() {
		if _, out := st.Bans[string(host)]; !out {
			n.core.Resume(host)
		}
	}
	n.shared = st
	if n.receiver != nil && !st.HasEarlier(n.number) { // nobody is left to hand anything over
		n.receiver.DrainAndClose()
		n.receiver = nil
	}
	if st.HasLater(n.number) {
		n.retire()
	} else {
		n.resume()
	}
	if st.Draining != n.service.Draining {
		wish := lifecycle.Activate
		if st.Draining {
			wish = lifecycle.Drain
		}
		n.service = n.service.Apply(wish, n.loop.Now())
	}
	if succeeded := st.Superseded(n.number); succeeded != n.service.Superseded {
		n.log.Info("another process has the address", "yes", succeeded)
		n.service = n.service.SetSuperseded(succeeded, n.loop.Now())
	}
	n.budget()
	n.pace()
}

// change has the shared state changed. done is called once that stands in the file and in this process.
func (n *node) change(apply func(*handover.State), done func(error)) {
	if n.store == nil {
		st := n.shared.Clone()
		apply(&st)
		n.take(st)
		done(nil)
		return
	}
	n.store.Change(apply, func(st handover.State, err error) {
		n.loop.Do(func() {
			if err == nil {
				n.take(st)
			}
			done(err)
		})
	})
}

// arrive looks whether this process may call itself ready. While an earlier one serves, the door waits for a list: until
// then that one serves better.
func (n *node) arrive() {
	if n.service.Leaving {
		return
	}
	usable := n.usable() == nil
	if n.listener == nil && !n.service.NotAccepting && (usable || !n.shared.HasEarlier(n.number)) {
		if err := n.openDoor(); err != nil {
			n.log.Error("the door stays closed", "error", err)
		}
	}
	switch {
	case n.listener == nil || !usable:
		n.loop.After(arriveLook, n.arrive)
	case n.store == nil:
		n.ready = true
	default:
		n.store.ChangeOwn(func(p *handover.Process) { p.Ready = true }, func(_ handover.State, err error) {
			n.loop.Do(func() {
				if n.ready = err == nil; !n.ready {
					n.loop.After(arriveLook, n.arrive)
				}
			})
		})
	}
}

// budget keeps what the processes of the node hold together within what one may hold.
func (n *node) budget() {
	others, held := n.shared.Others(n.number)
	if others == n.others && held == n.held && n.governs == n.governed {
		return
	}
	links := max(n.sockets-ownSockets-held-n.governs, fewestLinks)
	n.loop.SetMaxConns(links)
	n.acceptor.SetMaxConns(max(links-probeSockets, fewestLinks))
	if others != n.others {
		debug.SetMemoryLimit(memoryLimit(n.cfg.MemoryMB) / int64(others+1))
		n.core.SetSiblingProcesses(others)
		if n.others == 0 {
			n.tellLinks()
		}
	}
	n.others, n.held, n.governed = others, held, n.governs
}

// tellLinks tells the other processes, as long as there are any, how many descriptors this one holds.
func (n *node) tellLinks() {
	if others, _ := n.shared.Others(n.number); others > 0 {
		n.publish()
		n.loop.After(tellLinks, n.tellLinks)
	}
}

// publish tells how many descriptors this process holds, unless that is known.
func (n *node) publish() {
	mine := n.loop.Conns() + ownSockets + n.governs
	i := slices.IndexFunc(n.shared.Processes, func(p handover.Process) bool { return p.Number == n.number })
	if i >= 0 && n.shared.Processes[i].Descriptors != mine {
		n.store.ChangeOwn(func(p *handover.Process) { p.Descriptors = mine }, func(handover.State, error) {})
	}
}
