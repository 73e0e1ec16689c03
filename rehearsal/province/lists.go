package province

import (
	"fmt"
	"time"

	"lichenhitch/internal/choice/hostview"
)

// Lists is how hosts stand in the lists of a world. The zero value: all are there and warm, whatever is done to them.
type Lists struct {
	Leave    bool          // a host leaves the lists for its work, and comes back as one that has just started
	Late     int           // nodes of each site, fewer than half, whose lists are late
	By       time.Duration // by so much
	Dead     int           // nodes of each site whose discovery answers no more from listsBreak on
	AtLeader bool          // not those that were drawn are so, but whoever leads
}

const (
	coldFor    = 2 * time.Second  // a host that has started is cold
	staleAfter = 6 * time.Second  // a dead discovery is noticed
	listsBreak = 15 * time.Second // all have had a list by then
)

// state is how discovery has a host from some time on.
type state struct {
	at    time.Duration
	here  bool
	start time.Duration // of the world's clock; 0: long ago
}

// leaves and returns tell discovery of a host's work.
func (h *host) leaves(w *World) { h.told = append(h.told, state{at: w.now}) }
func (h *host) returns(w *World) {
	h.told = append(h.told, state{at: w.now, here: true, start: max(w.now, 1)})
}

// asOf returns how discovery had a host at a time.
func (h *host) asOf(at time.Duration) state {
	for i := len(h.told) - 1; i >= 0; i-- {
		if h.told[i].at <= at {
			return h.told[i]
		}
	}
	return state{here: true}
}

// listAt returns as of when this node has its list, and whether the node knows that it may be an old one.
func (n *node) listAt() (at time.Duration, stale bool) {
	w := n.w
	late, dead := n.number < w.Lists.Late, n.number < w.Lists.Dead
	if w.Lists.AtLeader {
		late, dead = w.Lists.Late > 0 && n.led, w.Lists.Dead > 0 && n.led
	}
	switch from := max(listsBreak, n.ledAt); {
	case dead && w.now > from:
		return from, w.now > from+staleAfter
	case late:
		return w.now - w.Lists.By, false
	}
	return w.now, false
}

// look is what this node sees of its hosts.
func (n *node) look() *hostview.Observation {
	l := &hostview.Observation{}
	var at time.Duration
	at, l.Stale = n.listAt()
	for _, id := range n.site.ids {
		if s := n.site.hosts[id].asOf(at); s.here {
			h := hostview.Host{ID: id, Kind: "m", Warm: s.start == 0 || n.clock() >= base+s.start+coldFor}
			if s.start > 0 {
				h.Start = base + s.start
			}
			l.Hosts = append(l.Hosts, h)
		}
	}
	return l
}

// back checks that a host which is said to be back is in service and warm, but for how clocks differ.
func (w *World) back(p *place, a *work) {
	h := p.hosts[a.host]
	s := h.asOf(w.now)
	if w.Lists.Leave && a.done && (!s.here || w.now+w.now/200 < s.start+coldFor) {
		w.broken(fmt.Sprintf("%s is said to be back, by %s, and is not warm", h.id, a.id))
	}
	w.tally.Back = append(w.tally.Back, w.now-a.doneAt)
	w.tally.Whole = append(w.tally.Whole, w.now-a.asked)
}
