// Package watch decides on the timing of a node's watch on discovery: when to call, when a call that has not been answered
// counts as silent, and when to call again. It is a pure state machine: Step takes a state and an event and returns the next
// state and an order. There is no clock, no chance and no I/O here; package discovery carries the orders out.
//
// Properties, which hold from whatever moment:
//
//	W1  Once discovery can be reached and answers each call within CallWithin, the node has its list within Told.
//	W2  What a silent watch misses is there Told after it fell silent, or CallWithin after it was made, whichever is later.
//	W3  With Terms.Push, a failed call is followed by the next one within AgentRetry, and a call that does not wait is given up
//	    after half of the grace of a drain, but for every fourth in a row.
//	W4  After a move of discovery, two calls have their full time within RelocateWithin.
//	W5  Where the address has not changed, the whole list is asked for only if there is none, or if the changes told were older
//	    than the list.
//
// docs/design/discovery.md derives the figures.
package watch

import "time"

const (
	// Told is when what discovery has to tell counts as told, whatever failed: 6 s after discovery had it and could be
	// reached, and 6 s after a watch fell silent. Source: the protocol's figures.
	Told = 6 * time.Second
	// CallWithin is how long discovery lets a call wait for its turn before it fails it: 2 s. Source: the protocol, by which
	// what a call may bring counts as told 2 s after its wait.
	CallWithin = 2 * time.Second
	// Overdue is how long after its hold a watch may still be answered: 1 s. It is a choice: half of what discovery allows
	// itself, as a quiet watch has had its turn when it began.
	Overdue = time.Second
	// Spread is within which time the nodes that lose their watches together call again: 100 ms, half of the 200 ms in which
	// the protocol counts the next call as the same watch.
	Spread = 100 * time.Millisecond
	// Reserve is kept back for timers, connections and the loop's turns: 100 ms, twice what the rules on sockets allow for.
	Reserve = 100 * time.Millisecond
	// Hold is how long a watch may wait for news, 2.8 s. A watch that fell silent as it began is noticed after Hold and
	// Overdue, called anew within Spread and answered within CallWithin; with Reserve, that is Told.
	Hold = Told - CallWithin - Spread - Reserve - Overdue
	// Brief is the hold of a call that asks for changes and is not to wait: 1 ms, the shortest that can be told.
	Brief = time.Millisecond
	// BackoffLeast and BackoffMost bound the pause after a call that did not wait and failed, which doubles with each. A
	// call that hangs, the pause, and the next call with Reserve take less than Told.
	BackoffLeast = 250 * time.Millisecond
	BackoffMost  = 1500 * time.Millisecond
	// AgentRetry is the longest pause where lists are pushed: the agent is local, and what it has counts as told at once.
	AgentRetry = 100 * time.Millisecond
	// RelocateWithin is when what a new address of discovery has counts as told: 4 s after the configuration named it.
	// Source: the protocol's figures.
	RelocateWithin = 4 * time.Second
	// RelocateRetry is the longest pause after a call that failed within that time.
	RelocateRetry = 100 * time.Millisecond
	// relocateCall is how long such a call may take, so that two fit.
	relocateCall = RelocateWithin/2 - RelocateRetry
	// patientEvery is which silent call in a row is given CallWithin whatever the grace: an agent that always needs
	// longer than half of the grace is to be heard in the end.
	patientEvery = 4
)

// Terms are what the settings say of discovery.
type Terms struct {
	Push      bool          // lists are pushed: discovery is a local agent, and what it has counts as told at once
	AskWithin time.Duration // without a watch, the list has to be asked for this often; 0: not told
	Grace     time.Duration // how long after a drain was told sends must have ended
}

// Phase is what the node does.
type Phase uint8

// The phases.
const (
	Idle    Phase = iota // not started
	Calling              // a call is out
	Pausing              // the next call waits for its time
)

// Form is what a call asks for.
type Form uint8

// The forms of calls.
const (
	Whole   Form = iota // the whole list
	Changes             // what has changed since the list that is held, without a wait
	Held                // the same, and to wait for it
)

// Kind is a kind of events.
type Kind uint8

// The kinds of events.
const (
	Start    Kind = iota // the node starts
	Answered             // the call has brought a list, which is held now
	Broken               // the connection of the call failed or ended
	Refused              // the answer was a refusal, or not one at all
	Outdated             // the answer was of changes to a list that is older than the one that is held
	Due                  // the time that the last order named
	Moved                // discovery has another address
)

// Event is something that happened to the watch.
type Event struct {
	Kind   Kind
	Now    time.Duration // on the node's clock, never 0
	Chance float64       // from 0 to less than 1, drawn anew for each event
}

// Order is what to do upon an event.
type Order struct {
	Drop bool          // end the connection, so that nothing more comes of the call that was out
	Call bool          // call discovery, on the connection that there is or on a new one
	Form Form          // of that call
	Wake time.Duration // bring Due then, in place of the Due named before; 0: leave that as it is
}

// Watch is the state. The zero value with Terms and Listed set is one that has not started.
type Watch struct {
	Terms  Terms
	Listed bool // there is a list that changes can build on

	Phase    Phase
	Form     Form          // of the call that is out, or was last
	Failures int           // in a row
	Silent   int           // calls in a row that were given up unanswered
	Resume   bool          // a watch broke for the first time; the next call is to wait as it did
	MovedAt  time.Duration // when discovery moved, until it has answered there
}

// Step takes an event. One that has no place in the phase changes nothing and orders nothing: a late end of a call that was
// given up, say.
func (w Watch) Step(e Event) (Watch, Order) {
	switch e.Kind {
	case Moved:
		w.Listed, w.Failures, w.Silent, w.Resume, w.MovedAt = false, 0, 0, false, e.Now
		w, o := w.call(e.Now)
		o.Drop = true
		return w, o
	case Start:
		if w.Phase == Idle {
			return w.start(e)
		}
	case Due:
		switch w.Phase {
		case Pausing:
			return w.call(e.Now)
		case Calling:
			w.Silent++
			return w.fail(e)
		}
	case Answered:
		if w.Phase == Calling {
			w.Listed, w.Failures, w.Silent, w.Resume, w.MovedAt = true, 0, 0, false, 0
			return w.call(e.Now)
		}
	default:
		if w.Phase == Calling {
			w.Silent = 0
			return w.fail(e)
		}
	}
	return w, Order{}
}

// start makes the first call: at once to an agent, else spread, as many nodes may start together.
func (w Watch) start(e Event) (Watch, Order) {
	if w.Terms.Push {
		return w.call(e.Now)
	}
	w.Phase = Pausing
	return w, Order{Wake: e.Now + part(Spread, e.Chance)}
}

// call makes the next call.
func (w Watch) call(now time.Duration) (Watch, Order) {
	switch {
	case !w.Listed:
		w.Form = Whole
	case w.Resume || w.Phase == Calling && w.Failures == 0:
		w.Form = Held // the watch goes on
	default:
		w.Form = Changes
	}
	w.Phase = Calling
	return w, Order{Call: true, Form: w.Form, Wake: now + w.patience(now)}
}

// fail ends the call that is out.
func (w Watch) fail(e Event) (Watch, Order) {
	if e.Kind == Outdated {
		w.Listed = false
	}
	w.Failures++
	// An agent may be silent from now on, which a call that waits would notice too late.
	w.Resume = e.Kind == Broken && w.Failures == 1 && w.Form == Held && !w.Terms.Push
	w.Phase = Pausing
	return w, Order{Drop: true, Wake: e.Now + w.pause(e)}
}

// patience is how long the call that is being made may take, its connection and the last byte of its answer included.
func (w Watch) patience(now time.Duration) time.Duration {
	switch {
	case w.Form == Held:
		return Hold + Overdue
	case w.moving(now):
		return relocateCall
	case w.Terms.Push && w.Silent%patientEvery != patientEvery-1:
		return min(max(w.Terms.Grace/2, AgentRetry), CallWithin)
	}
	return CallWithin
}

// pause is how long after a failure the next call is made.
func (w Watch) pause(e Event) time.Duration {
	switch {
	case w.moving(e.Now):
		return upper(RelocateRetry, e.Chance)
	case w.Terms.Push:
		return upper(AgentRetry, e.Chance)
	case w.Form == Held:
		return part(Spread, e.Chance)
	}
	longest := min(BackoffLeast<<min(w.Failures-1, 4), BackoffMost)
	if w.Terms.AskWithin > 0 {
		longest = min(longest, max(w.Terms.AskWithin/2, AgentRetry))
	}
	return upper(longest, e.Chance)
}

// moving says whether discovery has just moved and has not answered yet.
func (w Watch) moving(now time.Duration) bool { return w.MovedAt > 0 && now < w.MovedAt+RelocateWithin }

// part returns a part of a time by chance.
func part(d time.Duration, chance float64) time.Duration { return time.Duration(chance * float64(d)) }

// upper returns a time from the upper half of d by chance.
func upper(d time.Duration, chance float64) time.Duration { return d/2 + part(d/2, chance) }
