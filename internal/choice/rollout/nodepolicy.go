package rollout

import "time"

// Fallback is the reason why a node returned to the good policy on its own.
type Fallback uint8

// The reasons for a fallback.
const (
	NoFallback     Fallback = iota // the node has not fallen back
	LeaseExpired                   // the trial lease expired without a renewal
	TooManyCrashes                 // the process was started too often under the trial
	InvalidTrial                   // the node's own check rejected the trial
	fallbackCount
)

var fallbackNames = [fallbackCount]string{"stays", "silence", "crashed", "faulty"}

func (f Fallback) String() string { return fallbackNames[f] }

// Stored is the part of a NodePolicy that the node persists: before it applies a trial and at each start of the process.
type Stored struct {
	Good  Hash   `json:"good"`
	Trial Hash   `json:"trial,omitempty"`
	Round uint64 `json:"round,omitempty"` // round in which the trial was assigned
	// Starts counts the starts of the process under the trial, restarts by operators included. After a lease expiry the count is
	// kept for RejectedTrial.
	Starts        int      `json:"starts"`
	RejectedTrial Hash     `json:"refuse,omitempty"` // the trial that this node fell back from in RejectedRound
	Fallback      Fallback `json:"fell,omitempty"`
	RejectedRound uint64   `json:"of,omitempty"` // round in which RejectedTrial was assigned
}

// Encode returns the encoding that ReadStored decodes.
func (s Stored) Encode() []byte { return encode(storedHead, &s) }

// ReadStored decodes what a node persisted. An error is a *DecodeError.
func ReadStored(raw []byte) (s Stored, err error) {
	if err = decode(storedHead, raw, &s); err == nil && s.Fallback >= fallbackCount {
		err = &DecodeError{"unknown cause of a fallback"}
	}
	return s, err
}

// NodePolicy tracks which policy one node applies: the good policy, or a trial under a lease. Times are of the node's own
// monotonic clock. After each call that returns true, the node persists Stored and StoredLeaseEnd and then applies Policy.
// Use NewNodePolicy.
type NodePolicy struct {
	s              Stored
	newestAsked    time.Duration // send time of the request that the newest accepted assignment answers; initially the start time
	leaseEnd       time.Duration // end of the trial lease
	storedLeaseEnd time.Duration // persisted end of the lease: leaseEnd, or up to half a lease earlier
	latest         time.Duration // latest time passed to CheckLease
}

// NewNodePolicy resumes from the persisted state at the start of a process, at time now. Under a trial this counts as one
// more start; at the given number of crashes the node falls back. until is the persisted lease end, converted to the clock
// of this process: without an answer the lease ends then, and if that time has passed, the node falls back with
// LeaseExpired. The caller must persist Stored before it continues.
func NewNodePolicy(s Stored, crashes int, until, now time.Duration) *NodePolicy {
	h := &NodePolicy{s: s, newestAsked: now, leaseEnd: until, storedLeaseEnd: until, latest: now}
	if s.Trial == "" {
		return h
	}
	h.s.Starts++
	switch {
	case h.s.Starts >= crashes:
		h.fallBack(TooManyCrashes)
	case until <= now:
		h.fallBack(LeaseExpired)
	}
	return h
}

// Stored returns the state that the node must persist.
func (h *NodePolicy) Stored() Stored { return h.s }

// StoredLeaseEnd returns the end of the trial lease that the node must persist with Stored, on a clock that keeps running
// across restarts of the process. It is 0 without a trial.
func (h *NodePolicy) StoredLeaseEnd() time.Duration {
	if h.s.Trial == "" {
		return 0
	}
	return h.storedLeaseEnd
}

// Starts returns how often the process was started under the current trial.
func (h *NodePolicy) Starts() int {
	if h.s.Trial == "" {
		return 0
	}
	return h.s.Starts
}

// Policy returns the policy that the node has to apply.
func (h *NodePolicy) Policy() Hash {
	if h.s.Trial != "" {
		return h.s.Trial
	}
	return h.s.Good
}

// Status returns what the node reports to its site's consensus group.
func (h *NodePolicy) Status(name string) NodeStatus {
	s := NodeStatus{Node: name, Round: h.s.Round, Policy: h.Policy()}
	if h.s.RejectedTrial != "" && h.s.RejectedRound == h.s.Round {
		s.Fallback = h.s.Fallback
	}
	return s
}

// HandleAssignment applies an assignment that answers a request sent at the time asked. check validates the policy's text
// merged into the node's settings; a trial that it rejects is not applied. Four kinds of assignment change nothing:
// one of an older round, one that answers an older request than the newest answered one, the trial that this node fell back
// from in the same round (unless its lease expired), and a trial whose lease has already expired. The last happens at a site
// that is cut off from its parents: it keeps answering with the last assignment that it received, which is as old as the
// answer says.
func (h *NodePolicy) HandleAssignment(a Assignment, asked time.Duration, check func(Hash) error) (changed bool) {
	if a.Round < h.s.Round || asked < h.newestAsked || a.Trial && asked+a.Lease <= h.latest {
		return false
	}
	before, stored := h.s, h.storedLeaseEnd
	reapplied := a.Policy == h.s.Trial || a.Policy == h.s.RejectedTrial && h.s.Fallback == LeaseExpired
	h.newestAsked = asked
	h.s.Round = a.Round
	if h.s.RejectedRound != a.Round {
		h.s.RejectedTrial, h.s.Fallback, h.s.RejectedRound = "", NoFallback, 0
	}
	if a.Good != h.s.Good && check(a.Good) == nil {
		h.s.Good = a.Good
	}
	switch {
	case !a.Trial:
		h.s.Trial, h.s.Starts = "", 0
	case a.Policy == h.s.RejectedTrial && h.s.Fallback != LeaseExpired:
	case a.Policy != h.s.Trial && check(a.Policy) != nil:
		h.s.Trial = a.Policy
		h.fallBack(InvalidTrial)
	default:
		if !reapplied {
			h.s.Starts = 0
		}
		h.s.Trial, h.s.RejectedTrial, h.s.Fallback, h.s.RejectedRound = a.Policy, "", NoFallback, 0
		h.extend(asked+a.Lease, a.Lease, before.Trial != a.Policy)
	}
	return h.s != before || h.storedLeaseEnd != stored
}

// extend sets a new lease end. It is persisted if the trial is new, or if the persisted end is later than the new one or more
// than half a lease earlier.
func (h *NodePolicy) extend(until, lease time.Duration, isNew bool) {
	h.leaseEnd = until
	if isNew || until < h.storedLeaseEnd || until-h.storedLeaseEnd > lease/2 {
		h.storedLeaseEnd = until
	}
}

// CheckLease falls back if the trial lease has expired, and reports whether it did. next is when to check again, 0 for never.
func (h *NodePolicy) CheckLease(now time.Duration) (changed bool, next time.Duration) {
	h.latest = max(h.latest, now)
	if h.s.Trial == "" {
		return false, 0
	}
	if now < h.leaseEnd {
		return false, h.leaseEnd
	}
	h.fallBack(LeaseExpired)
	return true, 0
}

// LeaseEnd returns the end of the trial lease, 0 without a trial.
func (h *NodePolicy) LeaseEnd() time.Duration {
	if h.s.Trial == "" {
		return 0
	}
	return h.leaseEnd
}

// DropTrial falls back because the trial is no longer valid with the node's changed settings. It reports whether there was a
// trial.
func (h *NodePolicy) DropTrial() bool {
	if h.s.Trial == "" {
		return false
	}
	h.fallBack(InvalidTrial)
	return true
}

// fallBack returns to the good policy. Starts are kept when the lease expired, since the same trial may be applied again:
// otherwise a trial that crashes a node with intermittent connectivity would never be detected.
func (h *NodePolicy) fallBack(why Fallback) {
	h.s.RejectedTrial, h.s.Fallback, h.s.RejectedRound = h.s.Trial, why, h.s.Round
	h.s.Trial = ""
	if why != LeaseExpired {
		h.s.Starts = 0
	}
}
