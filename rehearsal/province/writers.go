package province

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/control"
)

// subject is something that is written about.
type subject struct {
	kind  sitesync.Kind
	thing string
}

// write is one write as its writer sees it.
type write struct {
	number int // in this world, from 1; it stands at the end of the value
	site   *place
	subject
	local  sitesync.LocalWrite
	over   *write // what held of its thing there when it was written
	saw    []*write
	agreed bool // its writer was told so
	at     time.Duration
	id     sitesync.ID
	doomed bool   // its site's stores were lost since
	fate   string // what the top said of it, read at the end
}

// subjects are few, so that writes meet.
func (w *World) subjects() {
	for i := range w.Hand {
		w.things = append(w.things, subject{sitesync.Safety, fmt.Sprintf("host/hand-g%02d", i)})
	}
	if w.Writes == 0 {
		return
	}
	for i := range 3 {
		w.things = append(w.things, subject{sitesync.Work, fmt.Sprintf("work/%d", i)},
			subject{sitesync.Policy, fmt.Sprintf("policy/%d", i)}, subject{sitesync.Note, fmt.Sprintf("policy/%d", i)})
	}
}

// writers has every site write at random times, and looks at what holds.
func (w *World) writers() {
	for _, p := range w.sites {
		for range w.Writes {
			w.after(5*time.Second+upTo(w.plan, w.For-5*time.Second), w.writer(p))
		}
		if p.up == nil && w.Writes > 0 { // one thing is closed for good, whatever is written below
			w.after(w.For/2+upTo(w.plan, w.For/2), func() { w.closing(p) })
		}
	}
	if len(w.things) > 0 {
		w.after(time.Second, w.polls)
	}
}

// writer draws one write.
func (w *World) writer(p *place) func() {
	s, n := w.things[w.plan.IntN(len(w.things))], p.nodes[w.plan.IntN(len(p.nodes))]
	words := sitesync.Rules[s.kind].Words
	word := "seen"
	if len(words) > 0 {
		word = words[w.plan.IntN(len(words))]
	}
	urgent, token, needs := w.plan.IntN(4) == 0, w.plan.IntN(3) == 0, w.plan.IntN(6) == 0
	from := w.sites[w.plan.IntN(len(w.sites))]
	return func() {
		if !token || from == p || w.reader(from) == nil || p.up == nil && w.Seed%2 == 0 {
			from = nil // at a top in every other world only: what is below it may then hold what it names too early
		}
		w.write(p, n, s, sitesync.LocalWrite{Value: []byte(word), Urgent: urgent}, from, needs)
	}
}

// closing ends a thing for good, until the top has agreed to it.
func (w *World) closing(p *place) {
	n := p.nodes[w.rng.IntN(len(p.nodes))]
	s := subject{sitesync.Policy, "policy/0"}
	x := w.write(p, n, s, sitesync.LocalWrite{Value: []byte("halt"), Closes: true}, nil, false)
	w.after(6*time.Second, func() {
		if !x.agreed && w.now < w.For+w.Quiet/2 {
			w.closing(p)
		}
	})
}

// write hands a write in at a node, which passes it on to the leader it knows, once, as the desk does.
func (w *World) write(p *place, n *node, s subject, l sitesync.LocalWrite, from *place, needs bool) *write {
	w.look(p)
	x := &write{number: len(w.writes) + 1, site: p, subject: s, over: p.shown[s]}
	w.writes = append(w.writes, x)
	l.Kind, l.Subject, l.By = s.kind, s.thing, "staff"
	l.Value = fmt.Appendf(l.Value, " w%d", x.number)
	if !l.Urgent {
		x.sees(w, p)
	} else if x.over != nil {
		x.saw = append(x.saw, x.over)
	}
	if from != nil {
		w.look(from)
		s := w.reader(from)
		if r, err := s.core.Read(sitesync.Note, "", ""); err == nil && s.core.AppliedIndex() == from.looked { // else its log is behind
			l.Token = r.Token
			x.sees(w, from)
			for _, q := range w.sites {
				q.tokened = q.tokened || q == p || below(q, p)
			}
		}
	}
	if last := w.lastOf(p); needs && last != nil && w.seen(p, last) {
		l.Needs = []sitesync.ID{last.id}
	}
	x.local = l
	w.say(fmt.Sprintf("%s writes %s of %s at %s; urgent %v, token %v", p.name, l.Value, l.Subject, n.name, l.Urgent, from != nil))
	w.handIn(x, n, false)
	return x
}

func (x *write) sees(w *World, p *place) {
	for _, s := range w.things {
		if y := p.shown[s]; y != nil {
			x.saw = append(x.saw, y)
		}
	}
}

// lastOf returns the last write that a site's writers were told of.
func (w *World) lastOf(p *place) *write {
	for _, x := range slices.Backward(w.writes) {
		if x.site == p && x.agreed && !x.doomed {
			return x
		}
	}
	return nil
}

// seen says whether a write is known to be applied at a site.
func (w *World) seen(p *place, x *write) bool {
	return slices.ContainsFunc(w.things, func(s subject) bool { return p.shown[s] == x })
}

func (w *World) handIn(x *write, n *node, passed bool) {
	if !n.up || n.paused || n.core == nil {
		return
	}
	n.core.Write(n.clock(), x.local, func(r control.Reply, err error) {
		var elsewhere *control.NotLeaderError
		var unsettled *control.OutcomeUnknownError
		switch {
		case errors.As(err, &elsewhere) && !passed:
			w.after(2*time.Millisecond, func() { w.handIn(x, w.byName[elsewhere.Leader], true) })
		case errors.As(err, &unsettled):
			w.say(fmt.Sprintf("w%d: %v", x.number, err))
		case err != nil:
			w.tally.Refused++
			w.say(fmt.Sprintf("w%d is not taken: %v", x.number, err))
		default:
			w.agreed(x, r)
		}
	})
}

// agreed notes that a writer was told that its write is agreed on.
func (w *World) agreed(x *write, r control.Reply) {
	for _, f := range r.Effects {
		if f.Write != nil && f.Kind == sitesync.EffectApplied && f.Write.Subject == x.thing && numbered(string(f.Write.Value)) == x.number {
			x.agreed, x.at, x.id = true, w.now, f.Write.ID
		}
	}
	if !x.agreed {
		w.broken(fmt.Sprintf("w%d: agreed, and no name came with it", x.number))
		return
	}
	w.say(fmt.Sprintf("w%d is %s", x.number, x.id))
	w.tally.Written++
}

// below says whether a site is below another.
func below(p, q *place) bool {
	for a := p.up; a != nil; a = a.up {
		if a == q {
			return true
		}
	}
	return false
}

// numbered reads a write's number off its value; 0: there is none.
func numbered(value string) int {
	n, _ := strconv.Atoi(value[strings.LastIndex(value, " w")+2:])
	return n
}

// polls looks at all sites once a second, and once all is whole has what is out by hand written back at the top, so that
// turns find their allowance.
func (w *World) polls() {
	w.after(time.Second, w.polls)
	for _, p := range w.sites {
		w.look(p)
		w.sample(p)
		if p.up != nil || !w.calm || w.now < w.healed+settled/2 || w.now > w.For+w.Quiet*3/4 || int(w.now/time.Second)%5 != 0 {
			continue
		}
		for _, s := range w.things[:w.Hand] {
			if _, out := p.out[s.thing]; out {
				w.write(p, p.nodes[w.rng.IntN(len(p.nodes))], s, sitesync.LocalWrite{Value: []byte("back")}, nil, false)
			}
		}
	}
}
