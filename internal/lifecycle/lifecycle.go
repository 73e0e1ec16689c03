// Package lifecycle is the life of a query, of its attempts and of its connection as a pure state machine: Step takes a
// state and an event and returns the next state and the effects, in the order in which they are to be carried out.
// There is no clock, no I/O and no logger here. Package query carries the effects out; the models under rehearsal
// explore the same function, so that what is checked is what runs.
//
// docs/design/life.md states the states, events, transitions and properties, and where each comes from.
package lifecycle

import "strings"

// Phase is where a query stands.
type Phase uint8

// The phases. A query is Coming until its arrival is handed in; from Over nothing leads on.
const (
	Coming  Phase = iota
	Waiting       // no attempt is out, and no final answer was given
	Trying        // one attempt is out
	Up            // served by a host: the answer was given, and lines pass
	Over          // answered and done, moved, ended, or left by its client
	phases  = int(Over) + 1
)

var phaseNames = [phases]string{"coming", "waiting", "trying", "up", "over"}

func (p Phase) String() string { return phaseNames[p] }

// State is all that the next step of a query depends on. The zero value is a query that has not come yet.
type State struct {
	Phase     Phase
	Inherited bool   // it belongs to a connection that stood at one host before this node started
	Attempts  uint16 // made so far; the one that is out, or was out last, has this number
}

// Owed says whether the client waits for its final answer.
func (s State) Owed() bool { return s.Phase == Waiting || s.Phase == Trying }

// Out says whether a connection to a host is in use: an attempt that is out, or one that stands.
func (s State) Out() bool { return s.Phase == Trying || s.Phase == Up }

// Kind names an event.
type Kind uint8

// The events. Those from HostUp to AttemptLate concern one attempt and carry its number: news of any other attempt
// than the one that is out changes nothing.
const (
	Arrive       Kind = iota // the client's query has come
	ArriveAt                 // so has one whose connection stands at a host already
	Place                    // the balancer asks for an attempt
	Refuse                   // the balancer refuses: trying again is harmless
	GiveUp                   // the balancer gives up, and promises nothing
	Move                     // the client of an open connection is to come again: asked by the balancer, or the host is silent
	Retry                    // the pause between two tries at the host of an inherited connection is over
	Deadline                 // the client's time is nearly up
	Leave                    // the node must stop now
	PassOn                   // another process of the node carries the connection on from here
	Adopt                    // this process carries on a connection that stood at another one
	ClientGone               // the client has left
	ClientFaulty             // the client spoke out of turn, or said what cannot be passed on
	HostUp                   // the host says that the connection stands
	HostServed               // the host has served the query to its end and closed
	HostEnded                // the connection to the host ended otherwise, or never came up
	HostFaulty               // the host said what cannot be passed on
	HostBehind               // the host does not take what the client sends
	HostDrained              // nothing may be sent to the host any more: its drain was told too long ago
	AttemptLate              // the attempt's time is over
	kinds        = int(AttemptLate) + 1
)

var kindNames = [kinds]string{"arrive", "arrive-at", "place", "refuse", "give-up", "move", "retry", "deadline", "leave",
	"pass-on", "adopt", "client-gone", "client-faulty", "host-up", "host-served", "host-ended", "host-faulty", "host-behind", "host-drained",
	"attempt-late"}

func (k Kind) String() string { return kindNames[k] }

// ofAttempt says whether events of a kind concern one attempt.
func (k Kind) ofAttempt() bool { return k >= HostUp }

// Event is something that happened to a query.
type Event struct {
	Kind    Kind
	Attempt uint16 // which attempt the event is about, counted from 1; 0 for events that concern none
}

// Effect is one thing to carry out.
type Effect uint8

// The effects. Those that begin with Tell go to the balancer, which may answer with a further event of the same
// query; they come last in each step, so that everything else has happened by then.
const (
	Guard           Effect = iota // start the guard of the deadline
	Unguard                       // stop it
	Send                          // make an attempt and start its time-out
	Unwatch                       // stop the time-out of the attempt, or the pause before the next try
	Pause                         // start the pause before the next try at the host of an inherited connection
	CloseAttempt                  // end the connection to the host in good order
	EndAttempt                    // end it as the client ended its own
	AnswerUp                      // pass the host's word that the connection stands on
	AnswerServed                  // pass the host's word that it has served the query to its end on, and close
	AnswerThrottle                // tell the client to come again
	AnswerFail                    // tell the client that it was not served
	AnswerError                   // tell the client what is wrong with what it said
	MoveClient                    // send the client away politely, between two lines
	EndClient                     // end the client's connection as the host ended its own
	Forget                        // the query is over
	TellArrival                   // the query has come
	TellInherited                 // an inherited connection stands
	TellEstablished               // the attempt's connection stands
	TellEnded                     // the attempt is over, the query is not
	TellDeparted                  // nothing is owed to the client any more
	TellOver                      // the attempt is over and so is the query
	Complain                      // the event has no place here: an error in the program
	effects         = int(Complain) + 1
)

var effectNames = [effects]string{"guard", "unguard", "send", "unwatch", "pause", "close-attempt", "end-attempt",
	"answer-up", "answer-served", "answer-throttle", "answer-fail", "answer-error", "move-client", "end-client",
	"forget", "tell-arrival", "tell-inherited", "tell-established", "tell-ended", "tell-departed", "tell-over",
	"complain"}

func (e Effect) String() string { return effectNames[e] }

// Answers says whether an effect gives the client its final answer.
func (e Effect) Answers() bool { return e >= AnswerUp && e <= AnswerError }

// maxEffects is how many effects a step has at most.
const maxEffects = 7

// Effects are the effects of one step, in order. A small value, so that a step allocates nothing.
type Effects struct {
	n    uint8
	list [maxEffects]Effect
}

// Len returns how many there are.
func (f *Effects) Len() int { return int(f.n) }

// At returns the effect at a place, from 0.
func (f *Effects) At(i int) Effect { return f.list[i] }

// Add appends an effect. More than seven are an error in the program and panic.
func (f *Effects) Add(e Effect) {
	f.list[f.n] = e
	f.n++
}

// Has says whether an effect is among them.
func (f *Effects) Has(e Effect) bool {
	for i := range f.Len() {
		if f.list[i] == e {
			return true
		}
	}
	return false
}

func (f Effects) String() string {
	names := make([]string, f.Len())
	for i := range names {
		names[i] = f.list[i].String()
	}
	return strings.Join(names, " ")
}

// Step returns the state after an event and what is to be done, in order. It never fails: an event that has no place
// in a state changes nothing, and only those that a sound balancer never causes are complained about.
func Step(s State, e Event) (State, Effects) {
	if e.Kind.ofAttempt() && (e.Attempt != s.Attempts || !s.Out()) {
		return s, Effects{} // a late word of an attempt that is over
	}
	switch s.Phase {
	case Coming:
		return coming(s, e.Kind)
	case Waiting:
		return waiting(s, e.Kind)
	case Trying:
		return trying(s, e.Kind)
	case Up:
		return up(s, e.Kind)
	}
	return over(s, e.Kind)
}

func coming(s State, k Kind) (State, Effects) {
	switch k {
	case Arrive:
		s.Phase = Waiting
		return s, list(Guard, TellArrival)
	case ArriveAt:
		s.Phase, s.Inherited, s.Attempts = Trying, true, 1
		return s, list(Guard, Send)
	case Adopt:
		s.Phase, s.Inherited, s.Attempts = Up, true, 1
		return s, list(TellInherited)
	}
	return s, list(Complain)
}

func waiting(s State, k Kind) (State, Effects) {
	switch {
	case k == Place && !s.Inherited, k == Retry && s.Inherited:
		s.Phase = Trying
		s.Attempts++
		return s, list(Send)
	case k == Refuse && !s.Inherited:
		return s.finish(AnswerThrottle)
	case k == GiveUp && !s.Inherited:
		return s.finish(AnswerFail)
	}
	return s.leave(k)
}

func trying(s State, k Kind) (State, Effects) {
	switch k {
	case HostUp:
		s.Phase = Up
		if s.Inherited {
			return s, list(Unguard, Unwatch, AnswerUp, TellInherited)
		}
		return s, list(Unguard, Unwatch, AnswerUp, TellEstablished)
	case HostServed:
		s.Phase = Over
		if s.Inherited {
			return s, list(Unguard, Unwatch, AnswerServed, Forget)
		}
		return s, list(Unguard, Unwatch, AnswerServed, Forget, TellOver)
	case HostEnded:
		return s.again(false)
	case HostFaulty, AttemptLate:
		return s.again(true)
	case HostDrained:
		if s.Inherited { // it could only be tried there
			s.Phase = Over
			return s, list(Unguard, Unwatch, CloseAttempt, AnswerFail, Forget)
		}
		return s.again(true)
	}
	return s.leave(k)
}

// again ends an attempt that failed; another may follow. Where this node closes the connection to the host itself, it
// does so before the balancer hears of the end, so that no two attempts are out.
func (s State) again(closing bool) (State, Effects) {
	s.Phase = Waiting
	f := list(Unwatch)
	if closing {
		f.Add(CloseAttempt)
	}
	if s.Inherited {
		f.Add(Pause)
	} else {
		f.Add(TellEnded)
	}
	return s, f
}

// leave ends a query that is owed its answer and will not be served: its client has left or is at fault, its time is
// up, or the node leaves. Whoever waits for an answer gets one; it is a throttle only where no attempt was made, which
// proves that trying again is harmless.
func (s State) leave(k Kind) (State, Effects) {
	var f Effects
	if k != Deadline {
		f.Add(Unguard)
	}
	if s.Phase == Trying {
		f.Add(Unwatch)
		f.Add(CloseAttempt)
	} else if s.Inherited {
		f.Add(Unwatch)
	}
	switch {
	case k == ClientGone:
	case k == ClientFaulty:
		f.Add(AnswerError)
	case (k == Deadline || k == Leave) && s.Attempts == 0:
		f.Add(AnswerThrottle)
	case k == Deadline || k == Leave:
		f.Add(AnswerFail)
	default:
		return s, misplaced(k)
	}
	f.Add(Forget)
	if !s.Inherited { // the balancer hears of an inherited connection once it stands
		f.Add(TellDeparted)
		if s.Phase == Trying {
			f.Add(TellOver)
		}
	}
	s.Phase = Over
	return s, f
}

// finish gives the balancer's answer.
func (s State) finish(answer Effect) (State, Effects) {
	s.Phase = Over
	return s, list(Unguard, answer, Forget)
}

func up(s State, k Kind) (State, Effects) {
	switch k {
	case Move, Leave, HostFaulty, HostBehind, ClientFaulty:
		s.Phase = Over
		return s, list(MoveClient, CloseAttempt, Forget, TellOver)
	case PassOn:
		s.Phase = Over
		return s, list(Forget, TellOver)
	case HostServed, HostEnded:
		s.Phase = Over
		return s, list(EndClient, Forget, TellOver)
	case ClientGone:
		s.Phase = Over
		return s, list(EndAttempt, Forget, TellOver)
	}
	return s, misplaced(k)
}

func over(s State, k Kind) (State, Effects) { return s, misplaced(k) }

// misplaced tells what is merely late from what a sound program never does. Moves cross the end of a connection, and
// clients speak and leave whenever they like; a timer that was stopped does not fire, and a balancer does not place or
// answer what is not waiting for it.
func misplaced(k Kind) Effects {
	switch k {
	case Arrive, ArriveAt, Adopt, Place, Refuse, GiveUp, Retry, Deadline:
		return list(Complain)
	}
	return Effects{}
}

func list(effects ...Effect) (f Effects) {
	for _, e := range effects {
		f.Add(e)
	}
	return f
}
