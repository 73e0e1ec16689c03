package province

import (
	"fmt"
	"time"

	"lichenhitch/internal/choice/hostview"
)

// Lists is how hosts stand in the lists of a world. The zero value: all are there and warm, whatever is done to them.
type Lists struct {
	RemoveDuringWork bool          // a host leaves the lists for its work, and comes back as one that has just started
	LateNodes        int           // nodes of each site, fewer than half, whose lists are late
	Delay            time.Duration // by so much
	DeadNodes        int           // nodes of each site whose discovery answers no more from listsBreak on
	AtLeader         bool          // not those that were drawn are so, but whoever leads
}

const (
	warmUp           = 2 * time.Second  // a host that has started is cold
	staleAfter       = 6 * time.Second  // a dead discovery is noticed
	discoveryFailsAt = 15 * time.Second // all have had a list by then
)

// state is how discovery has a host from some time on.
type listState struct {
	since     time.Duration
	present   bool
	startedAt time.Duration // of the world's clock; 0: long ago
}

// leaves and returns tell discovery of a host's work.
func (h *host) removeFromLists(w *World) { h.listed = append(h.listed, listState{since: w.now}) }
func (h *host) returnToLists(w *World) {
	h.listed = append(h.listed, listState{since: w.now, present: true, startedAt: max(w.now, 1)})
}

// asOf returns how discovery had a host at a time.
func (h *host) asOf(at time.Duration) listState {
	for i := len(h.listed) - 1; i >= 0; i-- {
		if h.listed[i].since <= at {
			return h.listed[i]
		}
	}
	return listState{present: true}
}

// listAt returns as of when this node has its list, and whether the node knows that it may be an old one.
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

// look is what this node sees of its hosts.
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

// back checks that a host which is said to be back is in service and warm, but for how clocks differ.
func (w *World) checkReturned(site *siteState, turn *requestedTurn) {
	h := site.hosts[turn.host]
	s := h.asOf(w.now)
	if w.Lists.RemoveDuringWork && turn.done && (!s.present || w.now+w.now/200 < s.startedAt+warmUp) {
		w.violation(fmt.Sprintf("%s is said to be back, by %s, and is not warm", h.id, turn.id))
	}
	w.tally.ReturnTimes = append(w.tally.ReturnTimes, w.now-turn.doneAt)
	w.tally.TotalTimes = append(w.tally.TotalTimes, w.now-turn.requestedAt)
}
