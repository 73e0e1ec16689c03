// Package watch decides the timing of a node's watch on discovery: when to call, when an unanswered call is given up, and when to
// call again. It is a pure state machine: Step takes a state and an event and returns the next state and an action. It uses no
// clock, no randomness and no I/O; package discovery executes the actions.
//
// Properties, which hold from any moment on:
//
//	W1  Once discovery can be reached and answers each call within CallWithin, the node has its list within ListWithin.
//	W2  A change that an unresponsive watch misses is in the node's list ListWithin after the watch stopped responding, or
//	    CallWithin after the change was made, whichever is later.
//	W3  With Settings.Push, a failed call is followed by the next one within AgentRetry, and a call without a hold is given up
//	    after half of the drain grace period, except for every fourth in a row.
//	W4  After discovery's address has changed, two calls have their full time within RelocateWithin.
//	W5  While the address has not changed, the full list is requested only if there is none, or if the changes received were
//	    relative to an older list.
//
// docs/design/discovery.md derives the figures.
package watch

import "time"

const (
	// ListWithin is the time after which a change at discovery counts as known to the node, whatever failed: 6 s after discovery
	// had it and could be reached, and 6 s after a watch stopped responding. Source: the protocol's figures.
	ListWithin = 6 * time.Second
	// CallWithin is how long discovery queues a call before it fails it: 2 s. Source: the protocol, by which the contents of a
	// call's answer count as known 2 s after the call's hold.
	CallWithin = 2 * time.Second
	// HoldOverrun is how long after its hold a watch may still be answered: 1 s, half of what discovery allows itself, as a watch
	// without news had left the queue when it began.
	HoldOverrun = time.Second
	// Spread is the time over which nodes that lose their watches together call again: 100 ms, half of the 200 ms in which the
	// protocol counts the next call as the same watch.
	Spread = 100 * time.Millisecond
	// Reserve is kept back for timers, connections and event loop iterations: 100 ms, twice the allowance of the rules on
	// sockets.
	Reserve = 100 * time.Millisecond
	// Hold is how long a watch may wait for news, 2.8 s. A watch that stops responding as it begins is noticed after Hold and
	// HoldOverrun, called again within Spread and answered within CallWithin; with Reserve, that is ListWithin.
	Hold = ListWithin - CallWithin - Spread - Reserve - HoldOverrun
	// ShortHold is the hold of a call that asks for changes without waiting: 1 ms, the shortest that can be requested.
	ShortHold = time.Millisecond
	// BackoffMin and BackoffMax bound the pause after a failed call without a hold, which doubles with each failure. A call that
	// hangs, the pause, and the next call with Reserve take less than ListWithin.
	BackoffMin = 250 * time.Millisecond
	BackoffMax = 1500 * time.Millisecond
	// AgentRetry is the longest pause where lists are pushed: the agent is local, and what it has counts as known at once.
	AgentRetry = 100 * time.Millisecond
	// RelocateWithin is the time after which the contents of a new discovery address count as known: 4 s after the configuration
	// named it. Source: the protocol's figures.
	RelocateWithin = 4 * time.Second
	// RelocateRetry is the longest pause after a call that failed within RelocateWithin.
	RelocateRetry = 100 * time.Millisecond
	// relocateCall is the time limit of such a call; two calls fit into RelocateWithin.
	relocateCall = RelocateWithin/2 - RelocateRetry
	// patientEvery is the interval of unanswered calls in a row at which one gets CallWithin whatever the grace period: every
	// fourth, so that an agent that always needs longer than half of it still gets its answer through.
	patientEvery = 4
)

// Settings are the settings about discovery.
type Settings struct {
	Push         bool          // lists are pushed: discovery is a local agent, and what it has counts as known at once
	PollInterval time.Duration // without a watch, the list has to be requested this often; 0: not set
	Grace        time.Duration // how long after a drain was announced sends must have ended
}

// Phase is the node's current activity.
type Phase uint8

// The phases.
const (
	Idle    Phase = iota // not started
	Calling              // a call is in progress
	Pausing              // waiting for the time of the next call
)

// Form is what a call requests.
type Form uint8

// The forms of calls.
const (
	FullList Form = iota // the full list
	Changes              // changes since the list that is held, without waiting
	LongPoll             // the same, waiting for changes
)

// Kind is a kind of event.
type Kind uint8

// The kinds of events.
const (
	Start          Kind = iota // the node starts
	Answered                   // the call has returned a list, which is held now
	ConnectionLost             // the connection of the call failed or ended
	Refused                    // the answer was an error or malformed
	Outdated                   // the answer had changes relative to a list that is older than the one held
	TimerFired                 // the time set by the last action has come
	AddressChanged             // discovery has another address
)

// Event is an event of the watch.
type Event struct {
	Kind   Kind
	Now    time.Duration // on the node's clock, never 0
	Random float64       // in [0, 1), drawn for each event
}

// Action is what to do after an event.
type Action struct {
	Drop bool          // close the connection, so that nothing more arrives for the call in progress
	Call bool          // call discovery, on the existing connection or on a new one
	Form Form          // of that call
	Wake time.Duration // deliver TimerFired then, instead of at the time set before; 0: no change
}

// Watch is the state. With Settings and HasList set and all else zero it has not started.
type Watch struct {
	Settings Settings
	HasList  bool // there is a list that changes can be applied to

	Phase      Phase
	Form       Form          // of the call in progress or of the last one
	Failures   int           // in a row
	Unanswered int           // calls in a row that were given up unanswered
	Resume     bool          // a watch lost its connection for the first time; the next call waits for changes again
	MovedAt    time.Duration // when the address of discovery changed, until it has answered there
}

// Step handles an event. An event that does not apply in the phase changes nothing and gives no action, for example the late end
// of a call that was given up.
func (w Watch) Step(e Event) (Watch, Action) {
	switch e.Kind {
	case AddressChanged:
		w.HasList, w.Failures, w.Unanswered, w.Resume, w.MovedAt = false, 0, 0, false, e.Now
		w, action := w.call(e.Now)
		action.Drop = true
		return w, action
	case Start:
		if w.Phase == Idle {
			return w.start(e)
		}
	case TimerFired:
		switch w.Phase {
		case Pausing:
			return w.call(e.Now)
		case Calling:
			w.Unanswered++
			return w.fail(e)
		}
	case Answered:
		if w.Phase == Calling {
			w.HasList, w.Failures, w.Unanswered, w.Resume, w.MovedAt = true, 0, 0, false, 0
			return w.call(e.Now)
		}
	default:
		if w.Phase == Calling {
			w.Unanswered = 0
			return w.fail(e)
		}
	}
	return w, Action{}
}

// start schedules the first call: immediately to an agent, otherwise spread, as many nodes may start together.
func (w Watch) start(e Event) (Watch, Action) {
	if w.Settings.Push {
		return w.call(e.Now)
	}
	w.Phase = Pausing
	return w, Action{Wake: e.Now + scaled(Spread, e.Random)}
}

// call makes the next call.
func (w Watch) call(now time.Duration) (Watch, Action) {
	switch {
	case !w.HasList:
		w.Form = FullList
	case w.Resume || w.Phase == Calling && w.Failures == 0:
		w.Form = LongPoll // the watch continues
	default:
		w.Form = Changes
	}
	w.Phase = Calling
	return w, Action{Call: true, Form: w.Form, Wake: now + w.timeout(now)}
}

// fail ends the call in progress.
func (w Watch) fail(e Event) (Watch, Action) {
	if e.Kind == Outdated {
		w.HasList = false
	}
	w.Failures++
	// A call that waits would notice too late that the agent has stopped responding.
	w.Resume = e.Kind == ConnectionLost && w.Failures == 1 && w.Form == LongPoll && !w.Settings.Push
	w.Phase = Pausing
	return w, Action{Drop: true, Wake: e.Now + w.pause(e)}
}

// timeout is the time limit of the call being made, including its connection and the last byte of its answer.
func (w Watch) timeout(now time.Duration) time.Duration {
	switch {
	case w.Form == LongPoll:
		return Hold + HoldOverrun
	case w.relocating(now):
		return relocateCall
	case w.Settings.Push && w.Unanswered%patientEvery != patientEvery-1:
		return min(max(w.Settings.Grace/2, AgentRetry), CallWithin)
	}
	return CallWithin
}

// pause is how long after a failure the next call is made.
func (w Watch) pause(e Event) time.Duration {
	switch {
	case w.relocating(e.Now):
		return upperHalf(RelocateRetry, e.Random)
	case w.Settings.Push:
		return upperHalf(AgentRetry, e.Random)
	case w.Form == LongPoll:
		return scaled(Spread, e.Random)
	}
	longest := min(BackoffMin<<min(w.Failures-1, 4), BackoffMax)
	if w.Settings.PollInterval > 0 {
		longest = min(longest, max(w.Settings.PollInterval/2, AgentRetry))
	}
	return upperHalf(longest, e.Random)
}

// relocating reports whether the address of discovery has just changed and it has not answered yet.
func (w Watch) relocating(now time.Duration) bool {
	return w.MovedAt > 0 && now < w.MovedAt+RelocateWithin
}

// scaled returns d scaled by a random factor in [0, 1).
func scaled(d time.Duration, random float64) time.Duration { return time.Duration(random * float64(d)) }

// upperHalf returns a random time from the upper half of d.
func upperHalf(d time.Duration, random float64) time.Duration { return d/2 + scaled(d/2, random) }
