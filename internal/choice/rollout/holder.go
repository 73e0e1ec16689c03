package rollout

import "time"

// Fall is why a node went back to the good policy by itself.
type Fallback uint8

// The causes of a fall.
const (
	NoFallback     Fallback = iota // it has not fallen back
	LeaseExpired                   // it heard nothing for the lease
	TooManyCrashes                 // it was started again too often under the trial
	InvalidTrial                   // its own check refused the trial
	fallbackCount
)

var fallbackNames = [fallbackCount]string{"stays", "silence", "crashed", "faulty"}

func (f Fallback) String() string { return fallbackNames[f] }

// Stored is what a node keeps over its starts, written before a trial is taken over and at each start.
type Stored struct {
	Good          Hash     `json:"good"`
	Trial         Hash     `json:"trial,omitempty"`
	Round         uint64   `json:"round,omitempty"`  // that the trial was told in
	Starts        int      `json:"starts"`           // of the process under the trial, or Refuse after silence; a start after a stop by hand counts too
	RejectedTrial Hash     `json:"refuse,omitempty"` // a trial that this node fell back from, in that round
	Fallback      Fallback `json:"fell,omitempty"`
	RejectedRound uint64   `json:"of,omitempty"` // the round that Refuse was told in
}

// Encode returns what Read reads.
func (s Stored) Encode() []byte { return encode(storedHead, &s) }

// Read reads what a node stored. An error is a *Unread.
func ReadStored(raw []byte) (s Stored, err error) {
	if err = decode(storedHead, raw, &s); err == nil && s.Fallback >= fallbackCount {
		err = &DecodeError{"it names no fall"}
	}
	return s, err
}

// Holder is a node's side: it goes by the good policy or by a trial that lapses. Times are of the node's own monotonic
// clock. After each call that returns true the node stores Stored and StoredUntil, and then goes by Policy. Use NewHolder.
type NodePolicy struct {
	s              Stored
	newestAsked    time.Duration // when the question was sent that the newest answer is to; before the first, the start
	leaseEnd       time.Duration // the end of the trial's lease
	storedLeaseEnd time.Duration // the end that is stored: until, or up to half a lease before it
	latest         time.Duration // the newest that it was told
}

// NewHolder begins a life of the process at now, with what was stored. Under a trial this counts as one more start: from
// crashes on the node falls back by itself. The lease of a trial ends, without an answer, at until, which is the stored end by the
// clock of this process; where that has passed, the node has fallen back by silence. The caller stores Stored before it goes on.
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

// Stored is what the node has to have in its store.
func (h *NodePolicy) Stored() Stored { return h.s }

// StoredUntil is the end of the trial's lease that the node has to have in its store with it, on a clock that goes on over its starts; 0
// where there is no trial.
func (h *NodePolicy) StoredLeaseEnd() time.Duration {
	if h.s.Trial == "" {
		return 0
	}
	return h.storedLeaseEnd
}

// Starts is how often the process was started under the trial that the node goes by.
func (h *NodePolicy) Starts() int {
	if h.s.Trial == "" {
		return 0
	}
	return h.s.Starts
}

// Policy is what the node is to go by.
func (h *NodePolicy) Policy() Hash {
	if h.s.Trial != "" {
		return h.s.Trial
	}
	return h.s.Good
}

// Seen is what the node tells its council.
func (h *NodePolicy) Status(name string) NodeStatus {
	s := NodeStatus{Node: name, Round: h.s.Round, Policy: h.Policy()}
	if h.s.RejectedTrial != "" && h.s.RejectedRound == h.s.Round {
		s.Fallback = h.s.Fallback
	}
	return s
}

// Answer takes an assignment that answers a question sent at asked. check is the node's own check of the policy's text
// laid over its settings; a trial that it refuses is not taken over. An assignment of an older round changes nothing, nor
// does the trial that this node fell back from in the same round, unless it fell by silence, nor a trial that has lapsed by now:
// a site that hears nothing from above goes on answering with what it was told last, which is as old as it says.
func (h *NodePolicy) HandleAssignment(a Assignment, asked time.Duration, check func(Hash) error) (changed bool) {
	if a.Round < h.s.Round || asked < h.newestAsked || a.Trial && asked+a.Lease <= h.latest {
		return false
	}
	before, stored := h.s, h.storedLeaseEnd
	again := a.Policy == h.s.Trial || a.Policy == h.s.RejectedTrial && h.s.Fallback == LeaseExpired
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
		if !again {
			h.s.Starts = 0
		}
		h.s.Trial, h.s.RejectedTrial, h.s.Fallback, h.s.RejectedRound = a.Policy, "", NoFallback, 0
		h.extend(asked+a.Lease, a.Lease, before.Trial != a.Policy)
	}
	return h.s != before || h.storedLeaseEnd != stored
}

// extend takes a new end of the lease, and has it stored where the trial is new, or where the stored end is later, or more than half
// a lease earlier.
func (h *NodePolicy) extend(until, lease time.Duration, isNew bool) {
	h.leaseEnd = until
	if isNew || until < h.storedLeaseEnd || until-h.storedLeaseEnd > lease/2 {
		h.storedLeaseEnd = until
	}
}

// Lapse says whether the node must go back now: its trial has lapsed. Next is when to ask once more, 0: never.
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

// Until is the end of the trial's lease, 0 where there is no trial.
func (h *NodePolicy) LeaseEnd() time.Duration {
	if h.s.Trial == "" {
		return 0
	}
	return h.leaseEnd
}

// Unfit says that the node's settings have changed and the trial does not fit them any more. It says whether there was one.
func (h *NodePolicy) DropTrial() bool {
	if h.s.Trial == "" {
		return false
	}
	h.fallBack(InvalidTrial)
	return true
}

// fall goes back to the good policy. Starts are kept over silence, since the same trial may be taken again: else one that crashes a
// node which is cut off now and then would never be known for it.
func (h *NodePolicy) fallBack(why Fallback) {
	h.s.RejectedTrial, h.s.Fallback, h.s.RejectedRound = h.s.Trial, why, h.s.Round
	h.s.Trial = ""
	if why != LeaseExpired {
		h.s.Starts = 0
	}
}
