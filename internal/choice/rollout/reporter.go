package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Reporter builds the records that a node sends to its site's consensus group. It sums the traffic counts by time slice and
// publishes a new record as soon as a slice ends, a guard fires, or the node's status changes. Times are Unix time by the
// node's clock. Use NewReporter.
//
// A slice is tainted if, during it, maintenance took place in the node's zone or the policy changed; if it is the first one
// of the process, the first one after a change of the slice length, or follows a gap; and if it was counted under a trial
// whose lease then expired. A slice without any call of Count yields no evidence.
type Reporter struct {
	node, zone     string
	slice          time.Duration // 0: not known yet
	current        Evidence      // of the slice in progress; its policy is empty until the first Count
	sums           map[string]*classCounts
	record         Record     // the newest, with its slices and guards; Sequence is 0 before the first one
	previous       NodeStatus // the latest with a policy other than the present one
	earlyGuards    []earlyGuard
	dirty          bool   // there are changes that are not in the newest record
	unacknowledged bool   // the consensus group does not have the newest record yet
	raw            []byte // encoded newest record, set on the first request
}

// classCounts are the counts of a class of a tenant in the slice in progress.
type classCounts struct {
	Counts
	setUps *SetUps
}

// earlyGuard is a guard that is not in a record yet. Guards wait while the slice length or the node's status is unknown.
type earlyGuard struct {
	at     time.Duration
	policy Hash
	guard  string
}

// NewReporter returns a Reporter without any counts, for the start of a process.
func NewReporter(node, zone string) *Reporter {
	return &Reporter{node: node, zone: zone, sums: map[string]*classCounts{}, record: Record{Node: node}}
}

// Count adds what the traffic path counted under a policy since the last call ("" for the unchanged settings), and the
// guards that fired. It must also be called without counts: a slice without a call yields no evidence.
func (t *Reporter) Count(now time.Duration, policy Hash, counts []Counts, guards []string) {
	if policy == "" {
		policy = EmptyPolicy().Hash()
	}
	for _, g := range guards {
		t.earlyGuards = append(t.earlyGuards, earlyGuard{now, policy, g})
	}
	t.earlyGuards = t.earlyGuards[max(0, len(t.earlyGuards)-maxFired):]
	if t.slice > 0 {
		t.endSlice(now)
		t.current.Tainted = t.current.Tainted || t.current.Policy != "" && t.current.Policy != policy
		t.current.Policy = policy
		for _, c := range counts {
			t.add(c)
		}
	}
	t.publish(now)
}

// Tick sets the slice length of the site (0 if not known yet), the node's status, the starts of the process under its
// policy, the number of hosts out of service for maintenance at the site, and whether maintenance takes place in the node's
// zone.
func (t *Reporter) Tick(now, slice time.Duration, status NodeStatus, starts, outOfService int, maintenance bool) {
	if slice != t.slice {
		t.slice, t.record.Slices = slice, nil // slice numbers depend on the slice length
		t.beginSlice(now, true)
	}
	if slice > 0 {
		t.endSlice(now)
		t.current.Starts = starts
		t.current.Tainted = t.current.Tainted || maintenance || t.record.Status.Node != "" && t.record.Status.Policy != status.Policy
	}
	t.record.OutOfService = outOfService
	if last := t.record.Status; last != status {
		if last.Policy != status.Policy {
			t.previous = last
		}
		if status.Fallback == LeaseExpired && last.Fallback != LeaseExpired {
			t.taintTrialSlices(last.Policy)
		}
		t.record.Status, t.dirty = status, true
	}
	t.publish(now)
}

// Pending returns the newest record, or nil if the consensus group has it.
func (t *Reporter) Pending() []byte {
	if t.unacknowledged && t.raw == nil {
		t.raw = t.record.Bytes()
	}
	return t.raw
}

// HasPending reports whether the consensus group does not have the newest record yet.
func (t *Reporter) HasPending() bool { return t.unacknowledged }

// Newest returns the newest record. The caller must not modify it.
func (t *Reporter) Newest() Record { return t.record }

// Acknowledge notes that the consensus group has the record with this sequence number.
func (t *Reporter) Acknowledge(sequence uint64) {
	if sequence >= t.record.Sequence {
		t.unacknowledged, t.raw = false, nil
	}
}

// taintTrialSlices taints the slices counted under a trial whose lease expired. Otherwise a policy that cuts a node off could
// be proven by evidence that the node delivers after the lease has expired. Evidence that arrived in time stays valid.
func (t *Reporter) taintTrialSlices(trial Hash) {
	t.record.Slices = slices.Clone(t.record.Slices)
	for i := range t.record.Slices {
		if e := &t.record.Slices[i]; e.Policy == trial {
			e.Tainted = true
		}
	}
}

// beginSlice starts the slice that contains now.
func (t *Reporter) beginSlice(now time.Duration, tainted bool) {
	clear(t.sums)
	t.current = Evidence{Node: t.node, Zone: t.zone, Tainted: tainted}
	if t.slice > 0 {
		t.current.Slice = uint64(now / t.slice)
	}
}

// endSlice ends the slice in progress if it is over. After a gap or a backward step of the clock the next slice is tainted,
// since the first counts may belong to another slice.
func (t *Reporter) endSlice(now time.Duration) {
	number := uint64(now / t.slice)
	if number == t.current.Slice {
		return
	}
	if e := t.current; number > e.Slice && e.Policy != "" {
		if e.Policy != t.record.Status.Policy {
			e.Starts = 0
		}
		if e.At = now; !e.Tainted { // the counts of a tainted slice are never used
			for _, key := range slices.Sorted(maps.Keys(t.sums)) {
				c := t.sums[key]
				if c.setUps != nil {
					c.SetUp = c.setUps.Bytes()
				}
				e.Counts = append(e.Counts, c.Counts)
			}
		}
		t.record.Slices = append(slices.Clone(t.record.Slices), e)
		t.record, t.dirty = t.record.trimmed(), true // a slice that the clock steps back into ends twice but is stored once
	}
	t.beginSlice(now, number != t.current.Slice+1)
}

// add adds the counts of a class.
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
	if value := s.Value + c.Value; !math.IsNaN(value) && !math.IsInf(value, 0) {
		s.Value = value
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

// publish builds a new record if anything has changed since the last one.
func (t *Reporter) publish(now time.Duration) {
	status := t.record.Status
	if status.Node == "" {
		return
	}
	for _, g := range t.earlyGuards {
		if t.slice == 0 {
			break
		}
		f := FiredGuard{Slice: uint64(g.at / t.slice), Round: status.Round, Policy: g.policy, Guard: g.guard}
		if g.policy != status.Policy && g.policy == t.previous.Policy {
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
