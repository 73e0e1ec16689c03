// Package lifecycle holds the lifecycle of a request, with its attempts and its connection, and that of the node process,
// as pure state machines. Step takes a state and an event and returns the next state and the effects, in the order in
// which the caller must carry them out. The package has no clock, no I/O and no logger. Package query carries the effects
// out, and the models under rehearsal explore the same function, so that the code that is checked is the code that runs.
//
// docs/design/life.md lists the states, events, transitions and properties, with the source of each.
package lifecycle

import "strings"

// Phase is the phase of a request. String returns the name that traces and the design page use.
type Phase uint8

// The phases. A request is NotArrived until its arrival event. Finished is final.
const (
	NotArrived  Phase = iota
	Waiting           // no attempt is in progress, and no final answer was given
	Trying            // one attempt is in progress
	Established       // served by a host: the answer was given, and lines are passed on
	Finished          // answered and complete, moved, ended, or abandoned by its client
	phases      = int(Finished) + 1
)

var phaseNames = [phases]string{"coming", "waiting", "trying", "up", "over"}

func (p Phase) String() string { return phaseNames[p] }

// State is everything that the next step of a request depends on. The zero value is a request that has not arrived.
type State struct {
	Phase     Phase
	Inherited bool   // its connection was established to one host before this node started
	Attempts  uint16 // attempts so far, which is also the number of the current or latest attempt
}

// AwaitsAnswer reports whether the client waits for its final answer.
func (s State) AwaitsAnswer() bool { return s.Phase == Waiting || s.Phase == Trying }

// HasHostConn reports whether a connection to a host is in use, by an attempt in progress or an established one.
func (s State) HasHostConn() bool { return s.Phase == Trying || s.Phase == Established }

// Kind is the kind of an event. String returns the name that traces and the design page use.
type Kind uint8

// The events. Those from HostEstablished to AttemptTimedOut concern one attempt and carry its number; one for any other
// attempt than the current one changes nothing.
const (
	Arrive           Kind = iota // the client's request has arrived
	ArriveInherited              // a request has arrived whose connection is already established to a host
	Place                        // the balancer wants an attempt
	Refuse                       // the balancer refuses the request: trying again is harmless
	GiveUp                       // the balancer gives up, without promising that trying again is harmless
	Move                         // move the client elsewhere: the balancer wants it, or the host is unresponsive
	Retry                        // the pause between two attempts at the host of an inherited connection is over
	Deadline                     // the client's deadline is close
	NodeStopping                 // the node must stop now
	HandOver                     // another process of the node takes the connection over
	Adopt                        // this process takes over an established connection from another one
	ClientGone                   // the client has closed its connection
	ClientFaulty                 // the client sent a line at the wrong time, or one that cannot be passed on
	HostEstablished              // the host reports that the connection is established
	HostServed                   // the host has served the request completely and closed
	HostEnded                    // the connection to the host ended in another way, or was never established
	HostFaulty                   // the host sent something that cannot be passed on
	HostNotReading               // the host does not read what the client sends
	HostDrainExpired             // the host was reported as draining so long ago that nothing may be sent to it any more
	AttemptTimedOut              // the attempt has timed out
	kinds            = int(AttemptTimedOut) + 1
)

var kindNames = [kinds]string{"arrive", "arrive-at", "place", "refuse", "give-up", "move", "retry", "deadline", "leave",
	"pass-on", "adopt", "client-gone", "client-faulty", "host-up", "host-served", "host-ended", "host-faulty", "host-behind", "host-drained",
	"attempt-late"}

func (k Kind) String() string { return kindNames[k] }

// ofAttempt reports whether events of this kind concern one attempt.
func (k Kind) ofAttempt() bool { return k >= HostEstablished }

// Event is something that happened to a request.
type Event struct {
	Kind    Kind
	Attempt uint16 // the number of the attempt that the event concerns, from 1; 0 for the other kinds
}

// Effect is an action for the caller to carry out. String returns the name that traces and the design page use.
type Effect uint8

// The effects. Those that begin with Notify go to the balancer, which may respond with a further event of the same
// request. They come last in each step, so that all other effects are complete by then.
const (
	StartDeadline     Effect = iota // start the timer of the client's deadline
	StopDeadline                    // stop that timer
	SendAttempt                     // start an attempt and its time-out
	StopTimer                       // stop the time-out of the attempt, or the pause before the next attempt
	StartRetryPause                 // start the pause before the next attempt at the host of an inherited connection
	CloseAttempt                    // close the connection to the host cleanly
	EndAttempt                      // end the connection to the host in the way in which the client ended its own
	AnswerEstablished               // pass on the host's answer that the connection is established
	AnswerServed                    // pass on the host's answer that it has served the request, and close
	AnswerThrottle                  // tell the client to try again later
	AnswerFail                      // tell the client that it was not served
	AnswerError                     // tell the client what is wrong with its input
	MoveClient                      // tell the client to reconnect, between two lines, and close
	EndClient                       // end the client's connection in the way in which the host ended its own
	Forget                          // release the request: it is finished
	NotifyArrival                   // the request has arrived
	NotifyInherited                 // an inherited connection is established
	NotifyEstablished               // the attempt's connection is established
	NotifyEnded                     // the attempt has ended, the request has not
	NotifyDeparted                  // the client does not wait for an answer any more
	NotifyOver                      // the attempt has ended, and so has the request
	LogUnexpected                   // the event cannot happen in this state: a bug
	effects           = int(LogUnexpected) + 1
)

var effectNames = [effects]string{"guard", "unguard", "send", "unwatch", "pause", "close-attempt", "end-attempt",
	"answer-up", "answer-served", "answer-throttle", "answer-fail", "answer-error", "move-client", "end-client",
	"forget", "tell-arrival", "tell-inherited", "tell-established", "tell-ended", "tell-departed", "tell-over",
	"complain"}

func (e Effect) String() string { return effectNames[e] }

// Answers reports whether the effect gives the client its final answer.
func (e Effect) Answers() bool { return e >= AnswerEstablished && e <= AnswerError }

// maxEffects is the largest number of effects of one step.
const maxEffects = 7

// Effects holds the effects of one step, in order. It is a small value, so that a step does not allocate.
type Effects struct {
	n    uint8
	list [maxEffects]Effect
}

// Len returns the number of effects.
func (f *Effects) Len() int { return int(f.n) }

// At returns the effect at index i.
func (f *Effects) At(i int) Effect { return f.list[i] }

// Add appends an effect. It panics beyond maxEffects, which is a bug.
func (f *Effects) Add(e Effect) {
	f.list[f.n] = e
	f.n++
}

// Has reports whether the effect is among them.
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

// Step returns the state after an event and the effects to carry out, in order. It never fails: an event that cannot be
// handled in a state changes nothing, and yields LogUnexpected only if a correct balancer never causes it.
func Step(s State, e Event) (State, Effects) {
	if e.Kind.ofAttempt() && (e.Attempt != s.Attempts || !s.HasHostConn()) {
		return s, Effects{} // a late event of an attempt that has ended
	}
	switch s.Phase {
	case NotArrived:
		return notArrived(s, e.Kind)
	case Waiting:
		return waiting(s, e.Kind)
	case Trying:
		return trying(s, e.Kind)
	case Established:
		return established(s, e.Kind)
	}
	return finished(s, e.Kind)
}

func notArrived(s State, k Kind) (State, Effects) {
	switch k {
	case Arrive:
		s.Phase = Waiting
		return s, list(StartDeadline, NotifyArrival)
	case ArriveInherited:
		s.Phase, s.Inherited, s.Attempts = Trying, true, 1
		return s, list(StartDeadline, SendAttempt)
	case Adopt:
		s.Phase, s.Inherited, s.Attempts = Established, true, 1
		return s, list(NotifyInherited)
	}
	return s, list(LogUnexpected)
}

func waiting(s State, k Kind) (State, Effects) {
	switch {
	case k == Place && !s.Inherited, k == Retry && s.Inherited:
		s.Phase = Trying
		s.Attempts++
		return s, list(SendAttempt)
	case k == Refuse && !s.Inherited:
		return s.finish(AnswerThrottle)
	case k == GiveUp && !s.Inherited:
		return s.finish(AnswerFail)
	}
	return s.endUnserved(k)
}

func trying(s State, k Kind) (State, Effects) {
	switch k {
	case HostEstablished:
		s.Phase = Established
		if s.Inherited {
			return s, list(StopDeadline, StopTimer, AnswerEstablished, NotifyInherited)
		}
		return s, list(StopDeadline, StopTimer, AnswerEstablished, NotifyEstablished)
	case HostServed:
		s.Phase = Finished
		if s.Inherited {
			return s, list(StopDeadline, StopTimer, AnswerServed, Forget)
		}
		return s, list(StopDeadline, StopTimer, AnswerServed, Forget, NotifyOver)
	case HostEnded:
		return s.attemptFailed(false)
	case HostFaulty, AttemptTimedOut:
		return s.attemptFailed(true)
	case HostDrainExpired:
		if s.Inherited { // an inherited connection has no other host to try
			s.Phase = Finished
			return s, list(StopDeadline, StopTimer, CloseAttempt, AnswerFail, Forget)
		}
		return s.attemptFailed(true)
	}
	return s.endUnserved(k)
}

// attemptFailed ends an attempt that failed; another may follow. If this node has to close the connection to the host, it
// does so before it notifies the balancer, so that never two attempts are in progress.
func (s State) attemptFailed(closing bool) (State, Effects) {
	s.Phase = Waiting
	f := list(StopTimer)
	if closing {
		f.Add(CloseAttempt)
	}
	if s.Inherited {
		f.Add(StartRetryPause)
	} else {
		f.Add(NotifyEnded)
	}
	return s, f
}

// endUnserved ends a request that waits for its answer and will not be served: its client is gone or faulty, its deadline
// is close, or the node stops. A client that still waits gets an answer. That is AnswerThrottle only if no attempt was
// made, which proves that trying again is harmless.
func (s State) endUnserved(k Kind) (State, Effects) {
	var f Effects
	if k != Deadline {
		f.Add(StopDeadline)
	}
	if s.Phase == Trying {
		f.Add(StopTimer)
		f.Add(CloseAttempt)
	} else if s.Inherited {
		f.Add(StopTimer)
	}
	switch {
	case k == ClientGone:
	case k == ClientFaulty:
		f.Add(AnswerError)
	case (k == Deadline || k == NodeStopping) && s.Attempts == 0:
		f.Add(AnswerThrottle)
	case k == Deadline || k == NodeStopping:
		f.Add(AnswerFail)
	default:
		return s, unexpected(k)
	}
	f.Add(Forget)
	if !s.Inherited { // the balancer knows an inherited connection only once it is established
		f.Add(NotifyDeparted)
		if s.Phase == Trying {
			f.Add(NotifyOver)
		}
	}
	s.Phase = Finished
	return s, f
}

// finish ends a waiting request with the balancer's answer.
func (s State) finish(answer Effect) (State, Effects) {
	s.Phase = Finished
	return s, list(StopDeadline, answer, Forget)
}

func established(s State, k Kind) (State, Effects) {
	switch k {
	case Move, NodeStopping, HostFaulty, HostNotReading, ClientFaulty:
		s.Phase = Finished
		return s, list(MoveClient, CloseAttempt, Forget, NotifyOver)
	case HandOver:
		s.Phase = Finished
		return s, list(Forget, NotifyOver)
	case HostServed, HostEnded:
		s.Phase = Finished
		return s, list(EndClient, Forget, NotifyOver)
	case ClientGone:
		s.Phase = Finished
		return s, list(EndAttempt, Forget, NotifyOver)
	}
	return s, unexpected(k)
}

func finished(s State, k Kind) (State, Effects) { return s, unexpected(k) }

// unexpected returns LogUnexpected for events that only a bug can cause in the wrong phase, and nothing for events that
// are merely late. A move can cross the end of a connection, and clients send and close at any time. But a stopped timer
// does not fire, and a balancer does not place or answer a request that does not wait for it.
func unexpected(k Kind) Effects {
	switch k {
	case Arrive, ArriveInherited, Adopt, Place, Refuse, GiveUp, Retry, Deadline:
		return list(LogUnexpected)
	}
	return Effects{}
}

func list(effects ...Effect) (f Effects) {
	for _, e := range effects {
		f.Add(e)
	}
	return f
}
