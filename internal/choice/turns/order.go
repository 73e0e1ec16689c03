package turns

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	defaultAge = time.Hour
	nearness   = time.Hour // latest starts within one of these count as equal
)

// The steps of worth: powers of two, so that noise seldom changes the order, and a worth has to leave its step by a third
// before it counts in another one.
const (
	lowStep, highStep = -4, 40
	slack             = 4.0 / 3
)

// stepOf returns the step of a worth: the largest s with 2^s no more than it, within bounds.
func stepOf(worth float64) int {
	if worth <= 0 {
		return lowStep
	}
	_, exp := math.Frexp(worth)
	return min(max(exp-1, lowStep), highStep)
}

// moveStep returns the step of a host's worth when the last one is known.
func moveStep(last int, worth float64) int {
	low, high := math.Ldexp(1/slack, last), math.Ldexp(2*slack, last)
	if (worth >= low || last == lowStep) && (worth < high || last == highStep) {
		return last
	}
	return stepOf(worth)
}

// place is a turn that waits, with what its place in the order depends on.
type place struct {
	*Turn
	ready bool          // NotBefore has come
	aged  int           // steps of urgency that it has gained by waiting
	start time.Duration // the latest, in steps of nearness
	step  int           // of its host's worth
}

// waiting returns the turns that wait, in their order: those whose time has come first, by urgency with age, the latest
// possible start, the least worth disturbed, when they were asked for and their names; then the others by NotBefore.
func (b *Book) waiting(now time.Duration) []place {
	age := cmp.Or(b.limits.Age, defaultAge)
	places := make([]place, 0, len(b.turns))
	for _, t := range b.turns {
		if t.Phase != Asked {
			continue
		}
		h, _ := b.host(t.Host)
		p := place{Turn: t, ready: t.NotBefore <= now, start: math.MaxInt64, step: h.Step}
		if t.FinishBy != 0 {
			p.start = (t.FinishBy - t.Lasts) / nearness
		}
		if p.ready {
			p.aged = int(max(0, now-t.ripe()) / age)
		}
		places = append(places, p)
	}
	slices.SortFunc(places, func(x, y place) int {
		switch {
		case x.ready != y.ready:
			if x.ready {
				return -1
			}
			return 1
		case !x.ready && x.NotBefore != y.NotBefore:
			return cmp.Compare(x.NotBefore, y.NotBefore)
		}
		return cmp.Or(cmp.Compare(y.Urgency+y.aged, x.Urgency+x.aged), cmp.Compare(x.start, y.start), cmp.Compare(x.step, y.step),
			cmp.Compare(x.AskedAt, y.AskedAt), strings.Compare(x.ID, y.ID))
	})
	return places
}

// ripe is since when a turn could have gone: waiting counts from there.
func (t *Turn) ripe() time.Duration { return max(t.AskedAt, t.NotBefore) }

// Order returns the names of the turns that wait, the first first.
func (b *Book) Order(now time.Duration) []string {
	places := b.waiting(now)
	ids := make([]string, len(places))
	for i, p := range places {
		ids[i] = p.ID
	}
	return ids
}

// use is how much of the allowances is taken. A host that is out for several reasons counts once.
type use struct {
	site   int
	zone   map[string]int
	kind   map[string]int
	group  map[string]int // homes of the group that are out
	failed int            // by themselves: work that is under way is none
}

// use counts the hosts that are out: by a turn, by hand or by themselves.
func (b *Book) use() use { return b.useOf(true) }

// useOf leaves the turns out of it where it is not with them.
func (b *Book) useOf(turns bool) use {
	u := use{zone: map[string]int{}, kind: map[string]int{}, group: map[string]int{}}
	out := map[string]Phase{}
	for _, t := range b.turns {
		if t.Phase.Out() {
			out[t.Host] = t.Phase
		}
	}
	for _, e := range b.hosts {
		phase, has := out[e.ID]
		if e.Failed && phase < Working {
			u.failed++
		}
		if has && turns || e.Failed && phase < Working || e.Banned {
			u.add(e, 1)
		}
	}
	return u
}

// add counts a host, or takes it off with -1.
func (u *use) add(e entry, n int) {
	u.site += n
	u.addApart(e, n)
}

// addApart counts a host in all but the site.
func (u *use) addApart(e entry, n int) {
	u.zone[e.Zone] += n
	u.kind[e.Kind] += n
	for _, g := range e.Groups {
		u.group[g] += n
	}
}

// over says whether a host stands where more are out than the allowances.
func (l Limits) over(u *use, e entry) bool {
	return u.site > l.Site || u.zone[e.Zone] > cmp.Or(l.Zone, l.Site) || u.kind[e.Kind] > cmp.Or(l.Kind, l.Site)
}

// counts says whether a host is out by itself or by hand, whatever its turn.
func (e entry) counts() bool { return e.Failed || e.Banned }

// fits says whether a turn that waits may be prepared besides what is out, but for T3.
func (b *Book) fits(u *use, t *Turn, at time.Duration) Reason {
	e, known := b.host(t.Host)
	switch {
	case !known || e.Gone:
		return UnknownHost
	case t.NotBefore > at:
		return TooEarly
	}
	n := 1
	if e.counts() {
		n = 0
	}
	u.add(e, n)
	reason := Accepted
	if b.limits.over(u, e) {
		reason = NoRoom
	} else if slices.ContainsFunc(e.Groups, func(g string) bool { return u.group[g] > 1 }) {
		reason = GroupOut
	}
	u.add(e, -n)
	return reason
}

// Next returns what the leader should propose next, as far as it depends on the book alone; false if nothing. In this
// order: time that has to pass, turns to call back, the next horizon, the next turn.
func (b *Book) Next(now time.Duration) (Command, bool) {
	now = max(now, b.at)
	if b.due(now) {
		return Command{At: now}, true
	}
	if cmd, any := b.CallBack(now); any {
		return cmd, true
	}
	u := b.use()
	places := b.waiting(now)
	if last, hosts := b.Horizon(), b.nextHosts(places); !slices.Equal(last.Hosts, hosts) {
		return Command{At: now, Horizon: &Widen{Version: last.Version + 1, Hosts: hosts}}, true
	}
	if u.failed <= b.limits.Failed {
		if t := b.nextTurn(places, u, now); t != nil {
			return Command{At: now, Prepare: &Ref{ID: t.ID, Round: t.Round}}, true
		}
	}
	return Command{}, false
}

// CallBack returns the call back that is due, false if none: of what has not begun and does not fit any more beside what is out.
func (b *Book) CallBack(now time.Duration) (Command, bool) {
	u := b.use()
	ref, due := b.tooMany(&u)
	if !due {
		return Command{}, false
	}
	return Command{At: max(now, b.at), CallBack: &ref}, true
}

// Alone says whether no host is out but that of a turn: by a turn, by hand or by itself.
func (b *Book) Alone(id string) bool {
	t, known := b.Turn(id)
	if !known {
		return false
	}
	u := b.use()
	if e, _ := b.host(t.Host); e.counts() || t.Phase.Out() {
		return u.site == 1
	}
	return u.site == 0
}

// tooMany returns the latest turn that has to be called back: any while too many hosts have failed, else one that would
// free what too many hosts are out of.
func (b *Book) tooMany(u *use) (Ref, bool) {
	var latest *Turn
	why := ""
	for _, t := range b.turns {
		if t.Phase != Preparing && t.Phase != Granted || latest != nil && t.Round < latest.Round {
			continue
		}
		e, _ := b.host(t.Host)
		switch {
		case u.failed > b.limits.Failed:
			latest, why = t, fmt.Sprintf("%d hosts have failed, with %d allowed", u.failed, b.limits.Failed)
		case !e.counts() && b.limits.over(u, e):
			latest, why = t, "more hosts are out than the allowances"
		case !e.counts() && slices.ContainsFunc(e.Groups, func(g string) bool { return u.group[g] > 1 }):
			latest, why = t, "another home of one of its groups is out"
		}
	}
	if latest == nil {
		return Ref{}, false
	}
	return Ref{ID: latest.ID, Round: latest.Round, Why: why}, true
}

// nextHosts returns what the horizon should be: the hosts that are out and those of the next turns, sorted.
func (b *Book) nextHosts(places []place) []string {
	outs := b.Outs()
	hosts := make([]string, 0, len(outs)+b.limits.Horizon)
	for _, out := range outs {
		hosts = append(hosts, out.Host)
	}
	left := b.limits.Horizon
	for _, p := range places {
		if left == 0 {
			break
		}
		if e, _ := b.host(p.Host); e.Gone {
			continue
		}
		if _, out := searchOut(outs, p.Host); !out {
			hosts = append(hosts, p.Host)
			left--
		}
	}
	slices.Sort(hosts)
	return hosts
}

// nextTurn returns the turn to prepare, or nil: the first that fits, of those whose hosts no node's older horizon lacks;
// else the first that fits at all, unless one such is being prepared already: a node that is cut off may hold it up for
// long.
//
// Nobody starves: the first that has waited for Age and is kept back by other turns alone has its place in its zone, its
// kind and its groups kept free, so that it goes as soon as those that keep it back have returned.
func (b *Book) nextTurn(places []place, u use, now time.Duration) *Turn {
	var beyond *Turn
	reserved := false
	known := b.knownToAll()
	for _, p := range places {
		switch b.fits(&u, p.Turn, now) {
		case Accepted:
			if known(p.Host) {
				return p.Turn
			}
			if beyond == nil {
				beyond = p.Turn
			}
		case NoRoom, GroupOut:
			if !reserved && p.aged > 0 {
				if alone := b.useOf(false); b.fits(&alone, p.Turn, now) == Accepted {
					e, _ := b.host(p.Host)
					u.addApart(e, 1)
					reserved = true
				}
			}
		}
	}
	if beyond != nil && slices.ContainsFunc(b.turns, func(t *Turn) bool { return t.Phase == Preparing && !known(t.Host) }) {
		return nil
	}
	return beyond
}

// knownToAll returns a function that says whether a host stands in the horizon of every living member that has not
// acknowledged the last one and may be cut off. One that has acknowledged the last is taken for connected, and one that has
// acknowledged none holds all hosts up alike.
func (b *Book) knownToAll() func(host string) bool {
	last := b.Horizon().Version
	versions := make([]uint64, 0, len(b.acks))
	for _, a := range b.acks {
		if a.Version != 0 && a.Version != last && !b.Dead(a.Node) {
			versions = append(versions, a.Version)
		}
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	return func(host string) bool {
		return !slices.ContainsFunc(versions, func(v uint64) bool { return !b.within(v, host) })
	}
}

// within says whether a horizon has a host.
func (b *Book) within(version uint64, host string) bool {
	h, _ := b.horizon(version)
	_, found := slices.BinarySearch(h.Hosts, host)
	return found
}

// Due returns the next moment after now at which Next, the order or a notice could change by time alone.
func (b *Book) Due(now time.Duration) (due time.Duration, ok bool) {
	age := cmp.Or(b.limits.Age, defaultAge)
	at := func(moment time.Duration) {
		if moment > now && (!ok || moment < due) {
			due, ok = moment, true
		}
	}
	for _, t := range b.turns {
		if t.Phase <= Granted && t.FinishBy != 0 {
			at(t.FinishBy - t.Lasts + 1)
		}
		switch {
		case t.Phase == Asked && t.NotBefore > now:
			at(t.NotBefore)
		case t.Phase == Asked:
			at(t.ripe() + (max(0, now-t.ripe())/age+1)*age)
		case (t.Phase == Granted || t.Phase == Working) && !t.Overrun:
			at(t.Since + t.Lasts + 1)
		}
	}
	return due, ok
}
