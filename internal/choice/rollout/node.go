package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Teller is what a node tells its council: it gathers what the traffic counted by slices and makes a record of it, as soon as
// a slice is over, a guard fires, or what the node goes by changes. Times are Unix time by the node's clock. Use NewTeller.
//
// A slice is spoilt when work is out in the node's zone in it, when the policy changed in it, and when it is the first one of
// the process, or the first of another length, and when the node heard nothing in it until the trial lapsed. Of a slice in which the traffic told nothing there is no evidence.
type Reporter struct {
	node, zone     string
	slice          time.Duration // 0: the site was told nothing yet
	current        Evidence      // of the slice that is not over; without a policy until the traffic tells one
	sums           map[string]*classCounts
	record         Record     // the newest, its slices and guards; Told is 0 before the first
	previous       NodeStatus // the last that named another policy than the present one
	earlyGuards    []earlyGuard
	dirty          bool   // there is more to tell than in the newest record
	unacknowledged bool   // the council does not have the newest record
	raw            []byte // the newest record, once somebody has asked
}

// counted is a class of a tenant in the slice that is open.
type classCounts struct {
	Counts
	setUps *SetUps
}

// early is a guard that fired before the number of a slice, or of a round, was known.
type earlyGuard struct {
	at     time.Duration
	policy Hash
	guard  string
}

// NewTeller begins with nothing, at the start of the process.
func NewReporter(node, zone string) *Reporter {
	return &Reporter{node: node, zone: zone, sums: map[string]*classCounts{}, record: Record{Node: node}}
}

// Count takes what the traffic counted under a policy since it told last ("": the settings as they are), and the guards that
// fired. It is called with no counts too, or else the slice is one in which nothing was told.
func (t *Reporter) Count(now time.Duration, under Hash, counts []Counts, guards []string) {
	if under == "" {
		under = EmptyPolicy().Hash()
	}
	for _, g := range guards {
		t.earlyGuards = append(t.earlyGuards, earlyGuard{now, under, g})
	}
	t.earlyGuards = t.earlyGuards[max(0, len(t.earlyGuards)-maxFired):]
	if t.slice > 0 {
		t.endSlice(now)
		t.current.Tainted = t.current.Tainted || t.current.Policy != "" && t.current.Policy != under
		t.current.Policy = under
		for _, c := range counts {
			t.add(c)
		}
	}
	t.publish(now)
}

// Tick takes the length of slices that the site was told (0: none yet), what the node goes by, the starts of the process
// under it, how many hosts are out for work at the site, and whether work is out in the node's zone.
func (t *Reporter) Tick(now, slice time.Duration, seen NodeStatus, starts, out int, work bool) {
	if slice != t.slice {
		t.slice, t.record.Slices = slice, nil // slices have other numbers now
		t.beginSlice(now, true)
	}
	if slice > 0 {
		t.endSlice(now)
		t.current.Starts = starts
		t.current.Tainted = t.current.Tainted || work || t.record.Status.Node != "" && t.record.Status.Policy != seen.Policy
	}
	t.record.OutOfService = out
	if last := t.record.Status; last != seen {
		if last.Policy != seen.Policy {
			t.previous = last
		}
		if seen.Fallback == LeaseExpired && last.Fallback != LeaseExpired {
			t.taintTrialSlices(last.Policy)
		}
		t.record.Status, t.dirty = seen, true
	}
	t.publish(now)
}

// Pending is the newest record, nil if the council has it.
func (t *Reporter) Pending() []byte {
	if t.unacknowledged && t.raw == nil {
		t.raw = t.record.Bytes()
	}
	return t.raw
}

// Waiting says whether the council does not have the newest record yet.
func (t *Reporter) HasPending() bool { return t.unacknowledged }

// Newest is the newest record. Not to be changed.
func (t *Reporter) Newest() Record { return t.record }

// Recorded is called when the council has the record with a number.
func (t *Reporter) Acknowledge(told uint64) {
	if told >= t.record.Sequence {
		t.unacknowledged, t.raw = false, nil
	}
}

// spoil spoils what was kept under a trial that fell by silence: else a policy that cuts a node off would be proven by what
// the node tells when the trial has lapsed. What was heard in time stays as it is.
func (t *Reporter) taintTrialSlices(trial Hash) {
	t.record.Slices = slices.Clone(t.record.Slices)
	for i := range t.record.Slices {
		if e := &t.record.Slices[i]; e.Policy == trial {
			e.Tainted = true
		}
	}
}

// begin begins the slice of a moment.
func (t *Reporter) beginSlice(now time.Duration, spoilt bool) {
	clear(t.sums)
	t.current = Evidence{Node: t.node, Zone: t.zone, Tainted: spoilt}
	if t.slice > 0 {
		t.current.Slice = uint64(now / t.slice)
	}
}

// turn ends the slice that is open if it is over. After a gap, or a step back of the clock, what comes first may be of
// another slice.
func (t *Reporter) endSlice(now time.Duration) {
	number := uint64(now / t.slice)
	if number == t.current.Slice {
		return
	}
	if e := t.current; number > e.Slice && e.Policy != "" {
		if e.Policy != t.record.Status.Policy {
			e.Starts = 0
		}
		if e.At = now; !e.Tainted { // or else nobody looks at the counts
			for _, key := range slices.Sorted(maps.Keys(t.sums)) {
				c := t.sums[key]
				if c.setUps != nil {
					c.SetUp = c.setUps.Bytes()
				}
				e.Counts = append(e.Counts, c.Counts)
			}
		}
		t.record.Slices = append(slices.Clone(t.record.Slices), e)
		t.record, t.dirty = t.record.trimmed(), true // a slice that a clock stepped back into ends twice and stands there once
	}
	t.beginSlice(now, number != t.current.Slice+1)
}

// add adds up what was counted of a class.
func (t *Reporter) add(c Counts) {
	key := c.Class + sep + c.Tenant
	s := t.sums[key]
	if s == nil {
		s = &classCounts{Counts: Counts{Class: c.Class, Tenant: c.Tenant}}
		t.sums[key] = s
	}
	s.Offered += c.Offered
	s.Served += c.Served
	s.Refused += c.Refused
	s.Failed += c.Failed
	s.TimedOut += c.TimedOut
	s.Breaks += c.Breaks
	s.Moves += c.Moves
	if worth := s.Value + c.Value; !math.IsNaN(worth) && !math.IsInf(worth, 0) {
		s.Value = worth
	}
	if len(c.SetUp) == 0 {
		return
	}
	h, err := decodeSetUps(c.SetUp)
	if err == nil && s.setUps != nil {
		err = s.setUps.sketch.MergeWith(h.sketch)
	} else if err == nil {
		s.setUps = &h
	}
	t.current.Tainted = t.current.Tainted || err != nil
}

// tell makes a record of all that is known, if there is more than in the last one.
func (t *Reporter) publish(now time.Duration) {
	seen := t.record.Status
	if seen.Node == "" {
		return
	}
	for _, g := range t.earlyGuards {
		if t.slice == 0 {
			break
		}
		f := FiredGuard{Slice: uint64(g.at / t.slice), Round: seen.Round, Policy: g.policy, Guard: g.guard}
		if g.policy != seen.Policy && g.policy == t.previous.Policy {
			f.Round = t.previous.Round
		}
		t.record.Fired, t.dirty = append(t.record.Fired, f), true
		t.record = t.record.trimmed()
	}
	if t.slice > 0 {
		t.earlyGuards = nil
	}
	if t.dirty {
		t.dirty, t.unacknowledged, t.raw = false, true, nil
		t.record.Sequence = max(t.record.Sequence+1, uint64(now/time.Microsecond))
	}
}
