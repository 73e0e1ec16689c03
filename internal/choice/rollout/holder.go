package rollout

import "time"

// Fall is why a node went back to the good policy by itself.
type Fall uint8

// The causes of a fall.
const (
	Stays   Fall = iota // it has not fallen back
	Silence             // it heard nothing for the lease
	Crashed             // it was started again too often under the trial
	Faulty              // its own check refused the trial
	falls
)

var fallNames = [falls]string{"stays", "silence", "crashed", "faulty"}

func (f Fall) String() string { return fallNames[f] }

// Stored is what a node keeps over its starts, written before a trial is taken over and at each start.
type Stored struct {
	Good   Hash   `json:"good"`
	Trial  Hash   `json:"trial,omitempty"`
	Round  uint64 `json:"round,omitempty"`  // that the trial was told in
	Starts int    `json:"starts"`           // of the process under the trial, or Refuse after silence; a start after a stop by hand counts too
	Refuse Hash   `json:"refuse,omitempty"` // a trial that this node fell back from, in that round
	Fell   Fall   `json:"fell,omitempty"`
	Of     uint64 `json:"of,omitempty"` // the round that Refuse was told in
}

// Encode returns what Read reads.
func (s Stored) Encode() []byte { return encode(holderHead, &s) }

// Read reads what a node stored. An error is a *Unread.
func Read(raw []byte) (s Stored, err error) {
	if err = decode(holderHead, raw, &s); err == nil && s.Fell >= falls {
		err = &Unread{"it names no fall"}
	}
	return s, err
}

// Holder is a node's side: it goes by the good policy or by a trial that lapses. Times are of the node's own monotonic
// clock. After each call that returns true the node stores Stored and StoredUntil, and then goes by Policy. Use NewHolder.
type Holder struct {
	s      Stored
	asked  time.Duration // when the question was sent that the newest answer is to; before the first, the start
	until  time.Duration // the end of the trial's lease
	stored time.Duration // the end that is stored: until, or up to half a lease before it
	now    time.Duration // the newest that it was told
}

// NewHolder begins a life of the process at now, with what was stored. Under a trial this counts as one more start: from
// crashes on the node falls back by itself. The lease of a trial ends, without an answer, at until, which is the stored end by the
// clock of this process; where that has passed, the node has fallen back by silence. The caller stores Stored before it goes on.
func NewHolder(s Stored, crashes int, until, now time.Duration) *Holder {
	h := &Holder{s: s, asked: now, until: until, stored: until, now: now}
	if s.Trial == "" {
		return h
	}
	h.s.Starts++
	switch {
	case h.s.Starts >= crashes:
		h.fall(Crashed)
	case until <= now:
		h.fall(Silence)
	}
	return h
}

// Stored is what the node has to have in its store.
func (h *Holder) Stored() Stored { return h.s }

// StoredUntil is the end of the trial's lease that the node has to have in its store with it, on a clock that goes on over its starts; 0
// where there is no trial.
func (h *Holder) StoredUntil() time.Duration {
	if h.s.Trial == "" {
		return 0
	}
	return h.stored
}

// Starts is how often the process was started under the trial that the node goes by.
func (h *Holder) Starts() int {
	if h.s.Trial == "" {
		return 0
	}
	return h.s.Starts
}

// Policy is what the node is to go by.
func (h *Holder) Policy() Hash {
	if h.s.Trial != "" {
		return h.s.Trial
	}
	return h.s.Good
}

// Seen is what the node tells its council.
func (h *Holder) Seen(name string) Seen {
	s := Seen{Node: name, Round: h.s.Round, Policy: h.Policy()}
	if h.s.Refuse != "" && h.s.Of == h.s.Round {
		s.Fell = h.s.Fell
	}
	return s
}

// Answer takes an assignment that answers a question sent at asked. check is the node's own check of the policy's text
// laid over its settings; a trial that it refuses is not taken over. An assignment of an older round changes nothing, nor
// does the trial that this node fell back from in the same round, unless it fell by silence, nor a trial that has lapsed by now:
// a site that hears nothing from above goes on answering with what it was told last, which is as old as it says.
func (h *Holder) Answer(a Assignment, asked time.Duration, check func(Hash) error) (changed bool) {
	if a.Round < h.s.Round || asked < h.asked || a.Trial && asked+a.Lease <= h.now {
		return false
	}
	before, stored := h.s, h.stored
	again := a.Policy == h.s.Trial || a.Policy == h.s.Refuse && h.s.Fell == Silence
	h.asked = asked
	h.s.Round = a.Round
	if h.s.Of != a.Round {
		h.s.Refuse, h.s.Fell, h.s.Of = "", Stays, 0
	}
	if a.Good != h.s.Good && check(a.Good) == nil {
		h.s.Good = a.Good
	}
	switch {
	case !a.Trial:
		h.s.Trial, h.s.Starts = "", 0
	case a.Policy == h.s.Refuse && h.s.Fell != Silence:
	case a.Policy != h.s.Trial && check(a.Policy) != nil:
		h.s.Trial = a.Policy
		h.fall(Faulty)
	default:
		if !again {
			h.s.Starts = 0
		}
		h.s.Trial, h.s.Refuse, h.s.Fell, h.s.Of = a.Policy, "", Stays, 0
		h.extend(asked+a.Lease, a.Lease, before.Trial != a.Policy)
	}
	return h.s != before || h.stored != stored
}

// extend takes a new end of the lease, and has it stored where the trial is new, or where the stored end is later, or more than half
// a lease earlier.
func (h *Holder) extend(until, lease time.Duration, isNew bool) {
	h.until = until
	if isNew || until < h.stored || until-h.stored > lease/2 {
		h.stored = until
	}
}

// Lapse says whether the node must go back now: its trial has lapsed. Next is when to ask once more, 0: never.
func (h *Holder) Lapse(now time.Duration) (changed bool, next time.Duration) {
	h.now = max(h.now, now)
	if h.s.Trial == "" {
		return false, 0
	}
	if now < h.until {
		return false, h.until
	}
	h.fall(Silence)
	return true, 0
}

// Until is the end of the trial's lease, 0 where there is no trial.
func (h *Holder) Until() time.Duration {
	if h.s.Trial == "" {
		return 0
	}
	return h.until
}

// Unfit says that the node's settings have changed and the trial does not fit them any more. It says whether there was one.
func (h *Holder) Unfit() bool {
	if h.s.Trial == "" {
		return false
	}
	h.fall(Faulty)
	return true
}

// fall goes back to the good policy. Starts are kept over silence, since the same trial may be taken again: else one that crashes a
// node which is cut off now and then would never be known for it.
func (h *Holder) fall(why Fall) {
	h.s.Refuse, h.s.Fell, h.s.Of = h.s.Trial, why, h.s.Round
	h.s.Trial = ""
	if why != Silence {
		h.s.Starts = 0
	}
}
