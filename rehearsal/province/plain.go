package province

import (
	"slices"
	"time"
)

// The plain way to give turns: a fixed order with a lock. One list a site, kept by its first node in a store that is never
// lost; as many hold the lock at once as may be out; a lock that is not given back in time passes on. Nodes fetch who holds
// it as often as they would ask for a right, and a holder waits for two such rounds before it begins; a node that is cut off,
// stopped or slow is not waited for. One that starts anew sends nothing before it has the list.

// lockFor is how long a lock is held at most: much longer than work is said to last.
const maxLockHold = 10 * time.Second

// lock is the list of one site.
type lockList struct {
	waiting []*requestedTurn // who waits, first come, first served
	held    []grant
}

type grant struct {
	turn    *requestedTurn
	expires time.Duration
}

// rounds is the pause between two fetches of the list.
func (n *node) fetchInterval() time.Duration { return n.w.LeaseDuration / 4 }

// listen fetches the list, and at the first node keeps it.
func (n *node) fetchLockList() time.Duration {
	first := n.site.nodes[0]
	if n == first {
		n.site.updateLocks(n.w, n)
	}
	n.send(first.name, 64, func(first *node) {
		var hosts []string
		for _, g := range first.site.lock.held {
			hosts = append(hosts, g.turn.host)
		}
		first.send(n.name, 64+16*len(hosts), func(n *node) { n.lockedHosts, n.hasLockList = hosts, true }, nil)
	}, nil)
	return n.fetchInterval()
}

// turn lets locks go that were given back or ran out, and gives them to the next.
func (p *siteState) updateLocks(w *World, n *node) {
	locks := &p.lock
	locks.held = slices.DeleteFunc(locks.held, func(g grant) bool {
		switch {
		case g.turn.done:
		case w.now > g.expires:
			w.log(g.turn.id + " holds the lock for too long: it passes on")
		default:
			return false
		}
		g.turn.ended = true
		return true
	})
	for len(locks.waiting) > 0 && len(locks.held) < w.Limits.Site {
		turn := locks.waiting[0]
		locks.waiting = locks.waiting[1:]
		locks.held = append(locks.held, grant{turn, w.now + maxLockHold})
		w.after(2*n.fetchInterval(), func() {
			w.countGrant(turn)
			w.startWork(p, turn)
		})
	}
}
