package province

import (
	"slices"
	"time"
)

// A simple way to grant turns, for comparison: a fixed order with a lock. Each site has one list, kept by its first node in a
// store that is never lost. As many turns hold a lock at the same time as hosts may be out of service, and a lock that is not
// released in time expires. Nodes fetch the list of locked hosts as often as they would renew a send lease, and a holder waits
// for two such intervals before it begins; it does not wait for a node that is cut off, paused or slow. A node that restarts
// sends nothing before it has the list.

// maxLockHold is the longest time for which a lock is held: much longer than the announced duration of a maintenance.
const maxLockHold = 10 * time.Second

// lockList is the list of one site.
type lockList struct {
	waiting []*requestedTurn // in order of arrival
	held    []grant
}

type grant struct {
	turn    *requestedTurn
	expires time.Duration
}

// fetchInterval is the time between two fetches of the list.
func (n *node) fetchInterval() time.Duration { return n.w.LeaseDuration / 4 }

// fetchLockList fetches the list. At the first node, which keeps it, it also updates the list first. It returns the delay until
// the next fetch.
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

// updateLocks removes locks that were released or have expired, and grants free ones to the waiting turns in order.
func (p *siteState) updateLocks(w *World, n *node) {
	locks := &p.lock
	locks.held = slices.DeleteFunc(locks.held, func(g grant) bool {
		switch {
		case g.turn.done:
		case w.now > g.expires:
			w.log(g.turn.id + " held its lock for too long: the lock expires")
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
