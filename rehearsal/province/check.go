package province

import (
	"fmt"
	"strings"
	"time"

	"lichenhitch/internal/choice/sitesync"
)

// What is checked of writes. What holds at a site is what its seat with the longest log answers to a reader; which write was
// written over which, and what its writer had seen, this world knows by itself.

const (
	// settled is how long after the last fault every council has a leader and every node a right again: what was killed last
	// may be down for 14 s more, and then there is an election.
	settled = 30 * time.Second
	// known is how long after a host is out by hand at a site every answer to a node there names it: the leader looks at its
	// hosts once a second, and may have an entry under way for two.
	known = 4 * time.Second
)

// early is a write that held at a site before one that it depends on, as far as it could be seen.
type early struct {
	site   *place
	x, dep *write
	cur    *write // what held instead; nil: nothing
	at     time.Duration
}

// reader returns the seat of a site with the longest log, or nil where none of them runs.
func (w *World) reader(p *place) (s *node) {
	for _, n := range p.nodes[:len(p.group.Voters)] {
		if n.up && n.core != nil && n.core.AppliedIndex() > 0 && (s == nil || n.core.AppliedIndex() > s.core.AppliedIndex()) {
			s = n
		}
	}
	return s
}

// look reads what holds at a site, if more is applied there than was.
func (w *World) look(p *place) {
	s := w.reader(p)
	if s == nil || s.core.AppliedIndex() <= p.looked {
		return
	}
	for _, t := range w.things {
		r, err := s.core.Read(t.kind, t.thing, "")
		if err != nil {
			return
		}
		var x *write
		if r.Found {
			x = w.writes[numbered(r.Value)-1]
		}
		if x != p.shown[t] {
			p.shown[t] = x
			p.before[t] = append(p.before[t], x)
			w.say(fmt.Sprint(p.name, " holds ", x, " of ", t.kind, " ", t.thing, " at ", s.name, " from ", s.core.AppliedIndex()))
		}
		if t.kind == sitesync.Safety {
			p.hand(w, t.thing, r.Value)
		}
	}
	p.looked = s.core.AppliedIndex()
	if p.tokened {
		return
	}
	for _, t := range w.things {
		if x := p.shown[t]; x != nil {
			for _, dep := range x.saw {
				if cur := p.shown[dep.subject]; cur == nil || before(cur, dep) {
					w.early = append(w.early, early{p, x, dep, cur, w.now})
				}
			}
		}
	}
}

// hands looks at the hosts that are written out, at a seat that answers a node.
func (w *World) hands(s *node) {
	if s.core.AppliedIndex() < s.site.looked {
		return
	}
	for _, t := range w.things[:w.Hand] {
		if r, err := s.core.Read(t.kind, t.thing, ""); err == nil {
			s.site.hand(w, t.thing, r.Value)
		}
	}
}

// hand takes in what holds of a host that may be out by hand.
func (p *place) hand(w *World, thing, value string) {
	if !strings.HasPrefix(value, "out") {
		delete(p.out, thing)
	} else if _, out := p.out[thing]; !out {
		p.out[thing] = w.now
	}
}

// checkHand checks that a node that sends something to a host could not know that it is out by hand.
func (w *World) checkHand(n *node, host string) {
	thing := "host/" + host
	since, out := n.site.out[thing]
	late := w.calm && w.now > w.healed+settled && w.now > since+known+w.Lasts
	if !out || n.asked < since+known && !late {
		return
	}
	w.look(n.site)
	if again, out := n.site.out[thing]; out && again == since {
		w.broken(fmt.Sprintf("%s sent something new to %s, which is out by hand at %s since %v", n.name, host, n.site.name, since))
	}
}

// before says whether a write was written over, by another one or by one that that one was written over.
func before(x, by *write) bool {
	for y := by.over; y != nil; y = y.over {
		if y == x {
			return true
		}
	}
	return false
}

// sample reads the receipts of some of a site's writes: what was said once must not change.
func (w *World) sample(p *place) {
	s := w.reader(p)
	if s == nil || len(w.writes) == 0 {
		return
	}
	for range 5 {
		if x := w.writes[w.rng.IntN(len(w.writes))]; x.site == p && x.agreed {
			w.receipt(p, s, x)
		}
	}
}

// receipt reads what a seat says became of a write; "": nothing yet.
func (w *World) receipt(p *place, s *node, x *write) string {
	r, err := s.core.Read(x.kind, "", x.id.String())
	if err != nil || r.Receipt == "" {
		return ""
	}
	if was := p.receipt[x.id]; was != "" && was != r.Receipt {
		w.broken(fmt.Sprintf("%s says of w%d %s, and said %s", s.name, x.number, r.Receipt, was))
	}
	p.receipt[x.id] = r.Receipt
	return r.Receipt
}

// atEnd checks what has to hold once all is whole and nobody writes any more.
func (w *World) atEnd() {
	for _, p := range w.sites {
		for _, a := range p.asks {
			if !a.over {
				w.tally.Undone++
				w.say(p.name + ": not over: " + a.id)
				for _, n := range p.nodes {
					if n.core == nil || !n.core.Leading() {
						continue
					}
					t, known := n.core.Schedule().Turn(a.id)
					w.say(fmt.Sprint(n.name, " leads; known ", known, " ", t.Phase, " ", n.core.BlockerTexts(n.clock(), t)))
				}
			}
		}
	}
	if w.Plain || len(w.things) == 0 {
		return
	}
	for _, p := range w.sites {
		if w.reader(p) == nil {
			w.broken(p.name + " has no seat that runs")
			return
		}
		w.look(p)
	}
	w.fates()
	for _, p := range w.sites {
		w.checkValues(p)
		w.checkOrder(p)
	}
	for _, e := range w.early {
		if e.dep.fate == "applied" && (e.cur == nil || e.cur.fate == "applied") {
			w.broken(fmt.Sprintf("%v: %s had w%d of %s, and not w%d of %s that its writer had seen", e.at, e.site.name, e.x.number,
				e.x.thing, e.dep.number, e.dep.thing))
		}
	}
}

// fates reads what became of each write, at the top and at its own site.
func (w *World) fates() {
	names := map[sitesync.ID]*write{}
	for _, x := range w.writes {
		if !x.agreed {
			continue
		}
		if y := names[x.id]; y != nil {
			w.broken(fmt.Sprintf("w%d and w%d have one name, %s", y.number, x.number, x.id))
		}
		names[x.id] = x
		t := top(x.site)
		x.fate = w.receipt(t, w.reader(t), x)
		if x.fate == "" && x.doomed {
			w.tally.Lost++
			continue
		}
		for _, s := range x.site.nodes[:len(x.site.group.Voters)] {
			if got := w.receipt(x.site, s, x); got == "" || got != x.fate {
				w.broken(fmt.Sprintf("w%d (%s): %s has the receipt %q, the top %q", x.number, x.id, s.name, got, x.fate))
			}
		}
		w.tally.Receipts++
		if x.fate != "applied" {
			w.tally.NotTaken++
		}
	}
}

func top(p *place) *place {
	for p.up != nil {
		p = p.up
	}
	return p
}

// checkValues checks that all seats of a site hold what the top holds, and the top nothing that was written over.
func (w *World) checkValues(p *place) {
	t := top(p)
	for _, s := range w.things {
		want := t.shown[s]
		for _, n := range p.nodes[:len(p.group.Voters)] {
			r, err := n.core.Read(s.kind, s.thing, "")
			got := 0
			if err == nil && r.Found {
				got = numbered(r.Value)
			}
			if err != nil || want == nil && got != 0 || want != nil && got != want.number {
				w.broken(fmt.Sprintf("%s holds w%d of %s %s, %s holds %s", n.name, got, s.kind, s.thing, t.name, want))
			}
		}
		for _, x := range w.writes {
			if p == t && top(x.site) == t && x.subject == s && x.fate == "applied" && (want == nil || before(want, x)) {
				w.broken(fmt.Sprintf("%s holds %s of %s %s, which w%d was written over", t.name, want, s.kind, s.thing, x.number))
			}
		}
	}
}

func (x *write) String() string {
	if x == nil {
		return "nothing"
	}
	return fmt.Sprintf("w%d", x.number)
}

// checkOrder checks that nothing came back at a site that had been written over by what was taken: it would have been
// applied twice, or after what depends on it.
func (w *World) checkOrder(p *place) {
	for _, s := range w.things {
		all := p.before[s]
		for i, x := range all {
			for _, y := range all[i+1:] {
				if x != nil && x.fate == "applied" && (y == nil || before(y, x)) {
					w.broken(fmt.Sprintf("%s held %s of %s %s again after %s, which was written over it", p.name, y, s.kind, s.thing, x))
				}
			}
		}
	}
}
