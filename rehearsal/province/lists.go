package province

import (
	"fmt"
	"time"

	"lichenhitch/internal/choice/hostview"
)

// Lists describes the discovery lists of a world. With the zero value every list always contains every host, warm.
type Lists struct {
	RemoveDuringWork bool          // a host is not listed during its maintenance, and returns as just started
	LateNodes        int           // nodes of each site, fewer than half, whose lists are late by Delay
	Delay            time.Duration // of the lists of LateNodes
	DeadNodes        int           // nodes of each site whose discovery stops answering at discoveryFailsAt
	AtLeader         bool          // the list of whichever node leads is late or dead, instead of those of fixed nodes
}

const (
	warmUp           = 2 * time.Second  // time for which a host is cold after its start
	staleAfter       = 6 * time.Second  // time after which a node knows that its discovery does not answer
	discoveryFailsAt = 15 * time.Second // every node has received a list by then
)

// listState is the state of a host in discovery's lists from a point in time on.
type listState struct {
	since     time.Duration
	present   bool
	startedAt time.Duration // in virtual time; 0: long ago
}

// removeFromLists makes discovery stop listing a host, when its maintenance begins.
func (h *host) removeFromLists(w *World) { h.listed = append(h.listed, listState{since: w.now}) }

// returnToLists makes discovery list a host again, as just started.
func (h *host) returnToLists(w *World) {
	h.listed = append(h.listed, listState{since: w.now, present: true, startedAt: max(w.now, 1)})
}

// asOf returns a host's state in discovery's lists at a time.
func (h *host) asOf(at time.Duration) listState {
	for i := len(h.listed) - 1; i >= 0; i-- {
		if h.listed[i].since <= at {
			return h.listed[i]
		}
	}
	return listState{present: true}
}

// listAt returns the time of which this node's list is, and whether the node knows that the list may be stale.
func (n *node) listAt() (asOf time.Duration, stale bool) {
	w := n.w
	isLate, isDead := n.index < w.Lists.LateNodes, n.index < w.Lists.DeadNodes
	if w.Lists.AtLeader {
		isLate, isDead = w.Lists.LateNodes > 0 && n.leading, w.Lists.DeadNodes > 0 && n.leading
	}
	switch from := max(discoveryFailsAt, n.leadingSince); {
	case isDead && w.now > from:
		return from, w.now > from+staleAfter
	case isLate:
		return w.now - w.Lists.Delay, false
	}
	return w.now, false
}

// observe returns what this node observes of its hosts.
func (n *node) observe() *hostview.Observation {
	observation := &hostview.Observation{}
	var asOf time.Duration
	asOf, observation.Stale = n.listAt()
	for _, id := range n.site.ids {
		if listing := n.site.hosts[id].asOf(asOf); listing.present {
			h := hostview.Host{ID: id, Kind: "m", Warm: listing.startedAt == 0 || n.clock() >= base+listing.startedAt+warmUp}
			if listing.startedAt > 0 {
				h.Start = base + listing.startedAt
			}
			observation.Hosts = append(observation.Hosts, h)
		}
	}
	return observation
}

// checkReturned checks that a host whose turn has ended is listed and warm, allowing for the difference of clocks (0.5 %).
func (w *World) checkReturned(site *siteState, turn *requestedTurn) {
	h := site.hosts[turn.host]
	s := h.asOf(w.now)
	if w.Lists.RemoveDuringWork && turn.done && (!s.present || w.now+w.now/200 < s.startedAt+warmUp) {
		w.violation(fmt.Sprintf("%s is not listed as warm, but its turn %s has ended", h.id, turn.id))
	}
	w.tally.ReturnTimes = append(w.tally.ReturnTimes, w.now-turn.doneAt)
	w.tally.TotalTimes = append(w.tally.TotalTimes, w.now-turn.requestedAt)
}
