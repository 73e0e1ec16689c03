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
	defaultAgeStep = time.Hour
	startStep      = time.Hour // latest starts within the same step count as equal
)

// The steps of a value: powers of two, so that noise seldom changes the order. A value has to leave its step by a third before it
// counts in another one.
const (
	minStep, maxStep = -4, 40
	stepHysteresis   = 4.0 / 3
)

// stepOf returns the step of a value: the largest s with 2^s <= value, within bounds.
func stepOf(value float64) int {
	if value <= 0 {
		return minStep
	}
	_, exp := math.Frexp(value)
	return min(max(exp-1, minStep), maxStep)
}

// moveStep returns the step of a host's value, given its last step.
func moveStep(last int, value float64) int {
	low, high := math.Ldexp(1/stepHysteresis, last), math.Ldexp(2*stepHysteresis, last)
	if (value >= low || last == minStep) && (value < high || last == maxStep) {
		return last
	}
	return stepOf(value)
}

// position is a waiting turn with the sort keys of its position in the order.
type position struct {
	*Turn
	ready    bool          // NotBefore has passed
	ageSteps int           // steps of urgency gained by waiting
	start    time.Duration // latest possible start, in units of startStep
	step     int           // of its host's value
}

// waiting returns the waiting turns in their order: first those whose NotBefore has passed, by urgency including age, latest
// possible start, lowest value disrupted, time of the request and ID; then the others by NotBefore.
func (b *Schedule) waiting(now time.Duration) []position {
	ageStep := cmp.Or(b.limits.AgeStep, defaultAgeStep)
	positions := make([]position, 0, len(b.turns))
	for _, t := range b.turns {
		if t.Phase != Requested {
			continue
		}
		h, _ := b.host(t.Host)
		p := position{Turn: t, ready: t.NotBefore <= now, start: math.MaxInt64, step: h.Step}
		if t.FinishBy != 0 {
			p.start = (t.FinishBy - t.Duration) / startStep
		}
		if p.ready {
			p.ageSteps = int(max(0, now-t.eligibleSince()) / ageStep)
		}
		positions = append(positions, p)
	}
	slices.SortFunc(positions, func(x, y position) int {
		switch {
		case x.ready != y.ready:
			if x.ready {
				return -1
			}
			return 1
		case !x.ready && x.NotBefore != y.NotBefore:
			return cmp.Compare(x.NotBefore, y.NotBefore)
		}
		return cmp.Or(cmp.Compare(y.Urgency+y.ageSteps, x.Urgency+x.ageSteps), cmp.Compare(x.start, y.start), cmp.Compare(x.step, y.step),
			cmp.Compare(x.RequestedAt, y.RequestedAt), strings.Compare(x.ID, y.ID))
	})
	return positions
}

// eligibleSince returns when a turn could first have gone: waiting counts from there.
func (t *Turn) eligibleSince() time.Duration { return max(t.RequestedAt, t.NotBefore) }

// Order returns the IDs of the waiting turns in their order.
func (b *Schedule) Order(now time.Duration) []string {
	positions := b.waiting(now)
	ids := make([]string, len(positions))
	for i, p := range positions {
		ids[i] = p.ID
	}
	return ids
}

// usage is how much of the limits is used. A host that is out for several reasons counts once.
type usage struct {
	site   int
	zone   map[string]int
	kind   map[string]int
	group  map[string]int // preferred hosts of each group that are out
	failed int            // hosts that failed on their own: not those whose work is under way
}

// usage counts the hosts that are out by a turn, by a ban or by a failure of their own.
func (b *Schedule) usage() usage { return b.usageOf(true) }

// usageOf leaves out the hosts that are out only by a turn if turns is false.
func (b *Schedule) usageOf(turns bool) usage {
	u := usage{zone: map[string]int{}, kind: map[string]int{}, group: map[string]int{}}
	out := map[string]Phase{}
	for _, t := range b.turns {
		if t.Phase.OutOfService() {
			out[t.Host] = t.Phase
		}
	}
	for _, e := range b.hosts {
		phase, hasTurn := out[e.ID]
		if e.Failed && phase < Working {
			u.failed++
		}
		if hasTurn && turns || e.Failed && phase < Working || e.Banned {
			u.add(e, 1)
		}
	}
	return u
}

// add counts a host, or subtracts it with n = -1.
func (u *usage) add(e entry, n int) {
	u.site += n
	u.addExceptSite(e, n)
}

// addExceptSite counts a host in everything but the site.
func (u *usage) addExceptSite(e entry, n int) {
	u.zone[e.Zone] += n
	u.kind[e.Kind] += n
	for _, g := range e.Groups {
		u.group[g] += n
	}
}

// exceeded reports whether more hosts are out than the site, the host's zone or its kind allows.
func (l Limits) exceeded(u *usage, e entry) bool {
	return u.site > l.Site || u.zone[e.Zone] > cmp.Or(l.Zone, l.Site) || u.kind[e.Kind] > cmp.Or(l.Kind, l.Site)
}

// outWithoutTurn reports whether a host is out by a failure or a ban, whatever its turn.
func (e entry) outWithoutTurn() bool { return e.Failed || e.Banned }

// fits returns Accepted if a waiting turn may be prepared in addition to the hosts that are out, else why not; it does not check
// T3.
func (b *Schedule) fits(u *usage, t *Turn, at time.Duration) Reason {
	e, known := b.host(t.Host)
	switch {
	case !known || e.Gone:
		return UnknownHost
	case t.NotBefore > at:
		return TooEarly
	}
	n := 1
	if e.outWithoutTurn() {
		n = 0
	}
	u.add(e, n)
	reason := Accepted
	if b.limits.exceeded(u, e) {
		reason = NoRoom
	} else if slices.ContainsFunc(e.Groups, func(g string) bool { return u.group[g] > 1 }) {
		reason = PreferredHostOut
	}
	u.add(e, -n)
	return reason
}

// Next returns what the leader should propose next, as far as it depends on the schedule alone; false if nothing. In this order:
// time that has to pass, turns to revoke, the next exclusion set, the next turn.
func (b *Schedule) Next(now time.Duration) (Command, bool) {
	now = max(now, b.at)
	if b.due(now) {
		return Command{At: now}, true
	}
	if cmd, any := b.NextRevocation(now); any {
		return cmd, true
	}
	u := b.usage()
	positions := b.waiting(now)
	if last, hosts := b.ExclusionSet(), b.nextExcluded(positions); !slices.Equal(last.Hosts, hosts) {
		return Command{At: now, ExclusionSet: &ExclusionSetUpdate{Version: last.Version + 1, Hosts: hosts}}, true
	}
	if u.failed <= b.limits.Failed {
		if t := b.nextTurn(positions, u, now); t != nil {
			return Command{At: now, Prepare: &Ref{ID: t.ID, Round: t.Round}}, true
		}
	}
	return Command{}, false
}

// NextRevocation returns the revocation that is due, false if none: of a turn that has not begun and does not fit any more
// besides the hosts that are out.
func (b *Schedule) NextRevocation(now time.Duration) (Command, bool) {
	u := b.usage()
	ref, due := b.turnToRevoke(&u)
	if !due {
		return Command{}, false
	}
	return Command{At: max(now, b.at), Revoke: &ref}, true
}

// IsOnlyHostOut reports whether no host is out except the host of a turn: by a turn, a ban or a failure.
func (b *Schedule) IsOnlyHostOut(id string) bool {
	t, known := b.Turn(id)
	if !known {
		return false
	}
	u := b.usage()
	if e, _ := b.host(t.Host); e.outWithoutTurn() || t.Phase.OutOfService() {
		return u.site == 1
	}
	return u.site == 0
}

// turnToRevoke returns the latest turn that has to be revoked: any while too many hosts have failed, else one whose revocation
// relieves an exceeded limit, or a group of which several preferred hosts are out.
func (b *Schedule) turnToRevoke(u *usage) (Ref, bool) {
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
		case !e.outWithoutTurn() && b.limits.exceeded(u, e):
			latest, why = t, "more hosts are out than the limits allow"
		case !e.outWithoutTurn() && slices.ContainsFunc(e.Groups, func(g string) bool { return u.group[g] > 1 }):
			latest, why = t, "another preferred host of one of its groups is out"
		}
	}
	if latest == nil {
		return Ref{}, false
	}
	return Ref{ID: latest.ID, Round: latest.Round, Why: why}, true
}

// nextExcluded returns the hosts for the next exclusion set: those that are out and those of the next turns, sorted.
func (b *Schedule) nextExcluded(positions []position) []string {
	excluded := b.ExcludedHosts()
	hosts := make([]string, 0, len(excluded)+b.limits.Lookahead)
	for _, out := range excluded {
		hosts = append(hosts, out.Host)
	}
	left := b.limits.Lookahead
	for _, p := range positions {
		if left == 0 {
			break
		}
		if e, _ := b.host(p.Host); e.Gone {
			continue
		}
		if _, out := searchExcluded(excluded, p.Host); !out {
			hosts = append(hosts, p.Host)
			left--
		}
	}
	slices.Sort(hosts)
	return hosts
}

// nextTurn returns the turn to prepare, or nil: the first that fits, of those whose hosts are in every older exclusion set that a
// node may still apply; else the first that fits at all, unless one such turn is being prepared already: a node that is cut off
// may block it for long.
//
// No turn starves: for the first turn that has waited for AgeStep and is blocked only by other turns, capacity is reserved in its
// zone, its kind and its groups, so that it goes as soon as those that block it have returned.
func (b *Schedule) nextTurn(positions []position, u usage, now time.Duration) *Turn {
	var fallback *Turn
	reserved := false
	known := b.excludedByAll()
	for _, p := range positions {
		switch b.fits(&u, p.Turn, now) {
		case Accepted:
			if known(p.Host) {
				return p.Turn
			}
			if fallback == nil {
				fallback = p.Turn
			}
		case NoRoom, PreferredHostOut:
			if !reserved && p.ageSteps > 0 {
				if withoutTurns := b.usageOf(false); b.fits(&withoutTurns, p.Turn, now) == Accepted {
					e, _ := b.host(p.Host)
					u.addExceptSite(e, 1)
					reserved = true
				}
			}
		}
	}
	if fallback != nil && slices.ContainsFunc(b.turns, func(t *Turn) bool { return t.Phase == Preparing && !known(t.Host) }) {
		return nil
	}
	return fallback
}

// excludedByAll returns a function that reports whether a host is in the exclusion set of every living member that has not
// acknowledged the last one and may be cut off. A member that has acknowledged the last one is taken for connected, and one that
// has acknowledged none blocks all hosts alike.
func (b *Schedule) excludedByAll() func(host string) bool {
	last := b.ExclusionSet().Version
	versions := make([]uint64, 0, len(b.acks))
	for _, a := range b.acks {
		if a.Version != 0 && a.Version != last && !b.Dead(a.Node) {
			versions = append(versions, a.Version)
		}
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	return func(host string) bool {
		return !slices.ContainsFunc(versions, func(v uint64) bool { return !b.contains(v, host) })
	}
}

// contains reports whether an exclusion set has a host.
func (b *Schedule) contains(version uint64, host string) bool {
	h, _ := b.exclusionSet(version)
	_, found := slices.BinarySearch(h.Hosts, host)
	return found
}

// NextChange returns the next moment after now at which Next, the order or a notice could change by time alone.
func (b *Schedule) NextChange(now time.Duration) (due time.Duration, ok bool) {
	ageStep := cmp.Or(b.limits.AgeStep, defaultAgeStep)
	consider := func(moment time.Duration) {
		if moment > now && (!ok || moment < due) {
			due, ok = moment, true
		}
	}
	for _, t := range b.turns {
		if t.Phase <= Granted && t.FinishBy != 0 {
			consider(t.FinishBy - t.Duration + 1)
		}
		switch {
		case t.Phase == Requested && t.NotBefore > now:
			consider(t.NotBefore)
		case t.Phase == Requested:
			consider(t.eligibleSince() + (max(0, now-t.eligibleSince())/ageStep+1)*ageStep)
		case (t.Phase == Granted || t.Phase == Working) && !t.Overrun:
			consider(t.Since + t.Duration + 1)
		}
	}
	return due, ok
}
