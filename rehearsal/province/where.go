package province

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lichenhitch/internal/choice/turns"
)

// Where the time goes: a few times a second each site's council is looked at from outside, with what only the world knows
// (which links are cut, who is stopped), and each turn that was asked for and not granted yet. Nothing is drawn for it, so
// that a world plays the same with it and without.

// lookEvery is the pause between two looks.
const lookEvery = 20 * time.Millisecond

// Spent is time by what it went into.
type Spent map[string]time.Duration

func (s *Spent) add(what string, d time.Duration) {
	if *s == nil {
		*s = Spent{}
	}
	(*s)[what] += d
}

func (s *Spent) merge(o Spent) {
	for what, d := range o {
		s.add(what, d)
	}
}

// Sum is the time of all that begins with these words.
func (s Spent) Sum(prefix string) (sum time.Duration) {
	for what, d := range s {
		if strings.HasPrefix(what, prefix) {
			sum += d
		}
	}
	return sum
}

// Table is one line for each, the names in their order, with the part of the whole.
func (s Spent) Table() string {
	var b strings.Builder
	for _, what := range slices.Sorted(maps.Keys(s)) {
		fmt.Fprintf(&b, "\n  %7.1f s %5.1f %%  %s", s[what].Seconds(), 100*s[what].Seconds()/max(1e-9, s.Sum("").Seconds()), what)
	}
	return b.String()
}

// What a council does, and what a turn waits for.
const (
	noQuorum   = "b: no majority of seats runs and reaches one of them both ways"
	awaitsWord = "f: one would, with seats that started anew and wait for others' word: "
	founding   = "f: nobody belongs to a council yet"
	leaderless = "a: no leader, though a majority could talk: "
	led        = "led"
)

func (n *node) runs() bool { return n.up && !n.paused && n.core != nil && n.core.StopCause() == nil }

// linked says whether two nodes of a site run and reach each other both ways.
func linked(a, b *node) bool {
	return a.runs() && b.runs() && (a == b || !a.cut[b.name] && !b.cut[a.name])
}

// carries says whether a seat could lead: it and others of a kind are a majority, each of them linked to it.
func (p *place) carries(n *node, fit func(*node) bool) bool {
	linked := func(m *node) bool { return m.file.IsVoter && fit(m) && linked(n, m) }
	count := 0
	for _, m := range p.nodes {
		if linked(m) {
			count++
		}
	}
	return linked(n) && count > len(p.group.Voters)/2
}

func anySeat(*node) bool { return true }

// seated says whether a node's seat takes part.
func seated(n *node) bool {
	st, ok := n.core.ReplicaStatus()
	return ok && !st.Unconfirmed && st.Err == nil
}

// council returns how a site's council stands, and the node that leads it with a majority.
func (p *place) council() (how string, leader *node) {
	running, taking, stale, leads := false, false, false, 0
	for _, n := range p.nodes {
		if !n.file.IsVoter {
			continue
		}
		running = running || p.carries(n, anySeat)
		taking = taking || p.carries(n, func(m *node) bool { return m.runs() && seated(m) })
		if n.up && n.core != nil && n.core.Leading() {
			leads++
			stale = true
			if p.carries(n, seated) {
				leader = n
			}
		}
	}
	switch {
	case !running:
		return noQuorum, nil
	case !taking:
		return p.word(), nil
	case leader != nil:
		return led, leader
	case stale:
		return leaderless + "one that is cut off or stopped believes on", nil
	}
	return leaderless + "none believes it leads", nil
}

// word says whether a majority of the seats could talk if one that waits for others' word had it from all that it reaches, or
// from all that they reach.
func (p *place) word() string {
	begun := false
	for _, n := range p.nodes {
		if !n.file.IsVoter || !n.runs() {
			continue
		}
		st, ok := n.core.ReplicaStatus()
		begun = begun || ok
		if !ok || !st.Unconfirmed {
			continue
		}
		reach, by := 0, 0
		for _, m := range p.nodes {
			if !m.file.IsVoter || m == n {
				continue
			}
			if linked(n, m) {
				reach++
			} else if slices.ContainsFunc(p.nodes, func(k *node) bool { return k.file.IsVoter && linked(n, k) && linked(k, m) }) {
				by++
			}
		}
		all := len(p.group.Voters)
		switch {
		case reach >= all-all/2:
			return awaitsWord + "it reaches as many as it needs"
		case reach+by >= all-all/2:
			return awaitsWord + "it reaches as many as it needs through others"
		}
	}
	if !begun {
		return founding
	}
	return awaitsWord + "it does not reach as many as it needs"
}

// where adds up one look.
func (w *World) where() {
	w.after(lookEvery, w.where)
	for _, p := range w.sites {
		how, leader := p.council()
		if !w.calm {
			w.tally.Council.add(how, lookEvery)
			w.lacks(p, how)
		}
		for _, a := range p.asks {
			if a.asked > 0 && !a.counted && !a.over && !p.doomed {
				what := how
				if leader != nil {
					what = w.waitsFor(p, a, leader)
				}
				w.tally.Turns.add(what, lookEvery)
			}
		}
	}
}

// lacks notes how long a site was without a leader at a stretch, while a majority could talk.
func (w *World) lacks(p *place, how string) {
	switch lacking := strings.HasPrefix(how, leaderless); {
	case lacking && p.without == 0:
		p.without = w.now
		w.say(p.name + " has no leader, from " + p.was + " to " + how)
	case !lacking && p.without > 0:
		w.say(fmt.Sprint(p.name, " had no leader for ", w.now-p.without, ", and now: ", how))
		w.tally.Without = append(w.tally.Without, w.now-p.without)
		p.without = 0
	}
	p.was = how
}

// waitsFor says what a turn waits for at a site whose council is led.
func (w *World) waitsFor(p *place, a *work, leader *node) string {
	book := leader.core.Schedule()
	t, known := book.Turn(a.id)
	switch {
	case !known:
		return "e: asked for: " + a.waitsOn(leader)
	case t.Phase == turns.Requested:
		return p.waitsForRoom(t, leader)
	case t.Phase == turns.Preparing:
		return p.waitsForNodes(t, leader)
	}
	return "e: granted: " + a.waitsOn(leader)
}

// waitsOn says what an asker's call that is out waits on.
func (a *work) waitsOn(leader *node) string {
	switch {
	case a.at == nil:
		return "its asker is between two calls"
	case !a.at.up:
		return "its asker waits on a node that is down"
	case a.at.paused:
		return "its asker waits on a node that is stopped"
	case a.at != leader:
		return "its asker waits on a node that does not lead any more"
	}
	return "the leader has its call"
}

// waitsForNodes says which kind of node a turn that is being prepared waits for, the worst of them.
func (p *place) waitsForNodes(t turns.Turn, leader *node) string {
	held := leader.core.Blockers(leader.clock(), t)
	worst := "d: nobody holds it up, and the grant is not agreed on"
	away := false
	for _, b := range held {
		n := leader.w.byName[b.Node]
		why := "has not confirmed"
		switch {
		case strings.Contains(b.Why, "lacks the host"), strings.Contains(b.Why, "no exclusion set"):
			why = "has no horizon recorded that has the host"
		case strings.Contains(b.Why, "has confirmed round"):
			why = "has confirmed another round"
		}
		switch {
		case n != nil && !linked(n, leader):
			if !away {
				worst, away = "", true
			}
			worst = max(worst, "c: preparing, a node that is cut off or stopped "+why)
		case !away:
			worst = "d: preparing, a node that is linked " + why
		}
	}
	return worst
}

// waitsForRoom says what keeps a turn from being prepared: the turns that are out before it, or nothing but the leader.
func (p *place) waitsForRoom(t turns.Turn, leader *node) string {
	book := leader.core.Schedule()
	if !slices.ContainsFunc(book.Hosts(), func(h turns.Host) bool { return h.ID == t.Host }) {
		return "d: the fleet is not known to the council yet"
	}
	count := map[turns.Phase]int{}
	var preparing turns.Turn
	for _, o := range book.Turns() {
		if o.Phase.OutOfService() {
			count[o.Phase]++
			if o.Phase == turns.Preparing {
				preparing = o
			}
		}
	}
	out := count[turns.Preparing] + count[turns.Granted] + count[turns.Working] + count[turns.Returning]
	switch {
	case out >= leader.w.Limits.Site && count[turns.Returning] > 0:
		return "d: no room, a host that returns is not seen warm"
	case count[turns.Preparing] > 0:
		return "behind another: " + p.waitsForNodes(preparing, leader)
	case out >= leader.w.Limits.Site && count[turns.Granted] > 0:
		for _, o := range book.Turns() {
			for _, a := range p.asks {
				if a.id == o.ID && o.Phase == turns.Granted {
					return "behind another: e: granted and not begun: " + a.waitsOn(leader)
				}
			}
		}
	case out >= leader.w.Limits.Site:
		for _, o := range book.Turns() {
			for _, a := range p.asks {
				if a.id == o.ID && o.Phase == turns.Working && a.done {
					return "behind another: e: done and not reported: " + a.waitsOn(leader)
				}
			}
		}
		return "behind another: in work"
	}
	return "d: there is room, and the leader has not proposed it"
}
