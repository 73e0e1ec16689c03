package lifemodel

import (
	"time"

	"lichenhitch/internal/lifecycle"
	"lichenhitch/rehearsal/model"
)

// Op is the kind of a step.
type Op uint8

// The steps. The first group concerns a client's request, the second a gateway, the third the node.
const (
	Ask          Op = iota // a client sends a request; the argument is the class, the gateway that of an inherited connection
	Place                  // the balancer places the request on a gateway
	Refuse                 // the balancer refuses the request
	GiveUp                 // the balancer gives the request up
	Move                   // the balancer, or the watch for unresponsive hosts, has an established connection moved
	Connect                // the connection to the gateway is established
	ConnectFails           // the connection to the gateway cannot be established
	HostUp                 // the gateway answers UP
	HostServed
	HostFull
	HostError
	HostEnds    // the gateway's connection breaks or is closed
	HostGarbles // the gateway sends data that cannot be forwarded
	HostStalls  // the gateway does not read what the client sends
	AttemptTimeout
	RetryInherited // the pause before the next attempt of an inherited connection is over
	DeadlineFires  // the timer of the request's deadline fires
	ClientTimeout  // the client's own time limit passes
	ClientLeaves   // the client leaves
	ClientFaults   // the client sends data out of turn, or data that cannot be forwarded
	LateUp         // a gateway answers an attempt that is over
	LateEnd
	LoseContact
	RegainContact
	Crash
	Restart // the process runs again and is cold (slow start)
	NotifyDrain
	NotifyReady // the drain is revoked
	NotifyGone
	NotifyRelisted // the gateway is listed again
	NotifyRestart
	DrainExpires // the deadline after a drain notice passes
	Terminate
	StopAccepting
	StopNode // the node closes all connections and stops; the argument says whether it did so only at its MaxStay
	opCount  = int(StopNode) + 1
)

var opNames = [opCount]string{"ask", "place", "refuse", "give-up", "move-away", "connect", "no-luck", "say-up", "say-served",
	"say-full", "say-error", "break", "garble", "clog", "overdue", "again", "due", "time-up", "leave", "interject",
	"late-up", "late-end", "fall-silent", "heal", "die", "return", "tell-drain", "tell-ready", "tell-gone", "tell-back",
	"tell-restart", "limit", "term", "shut-door", "send-off"}

func (o Op) String() string { return opNames[o] }

// Code encodes a step: its kind, client, gateway and argument, each 0 if there is none.
func Code(o Op, client, gateway, arg int) model.Step {
	return model.Step(uint32(o) | uint32(client)<<8 | uint32(gateway)<<16 | uint32(arg)<<24)
}

// Decode is the inverse of Code.
func Decode(s model.Step) (o Op, client, gateway, arg int) {
	return Op(s & 255), int(s >> 8 & 255), int(s >> 16 & 255), int(s >> 24)
}

// The safety properties.
const (
	badSecondAnswer = iota
	badAnswerAfterLeave
	badAnswerTooLate
	badTwoAttempts
	badAttemptNotWaiting
	badAttemptLeftOpen
	badTooManyAttempts
	badUnsafeRepeat
	badUnsafeRefusal
	badWriteAfterDrain
	badLateEvent
	badUnannouncedClose
	badBalancerView
	badTimers
	badUnexpectedEvent
	badUnansweredAtStop
)

// SafetyProperties implements model.Model.
func (m *Model) SafetyProperties() []string {
	return []string{
		badSecondAnswer:      "a client gets one final answer",
		badAnswerAfterLeave:  "no answer to a client that has gone",
		badAnswerTooLate:     "the answer comes before the client's time is up",
		badTwoAttempts:       "never two attempts out",
		badAttemptNotWaiting: "no attempt for a query that is not waiting",
		badAttemptLeftOpen:   "no attempt is left out when its query is over",
		badTooManyAttempts:   "no more attempts than allowed",
		badUnsafeRepeat:      "what may have run is not repeated where that does harm",
		badUnsafeRefusal:     "a refusal only where trying again is harmless",
		badWriteAfterDrain:   "nothing is written to a drained gateway past the limit",
		badLateEvent:         "words of an attempt that is over have no effect",
		badUnannouncedClose:  "a served client is moved or told the end",
		badBalancerView:      "the balancer hears one end of each attempt, once it is closed",
		badTimers:            "timers run as long as what they watch",
		badUnexpectedEvent:   "no event without a place in a query's life",
		badUnansweredAtStop:  "a node that stops has answered everybody",
	}
}

// LivenessProperties implements model.Model.
func (m *Model) LivenessProperties() []string {
	return []string{"every query taken is answered", "a node that is to leave stops"}
}

// Pending implements model.Model.
func (m *Model) Pending(s State) (p uint8) {
	for c := range m.Clients {
		if s.Clients[c].View == Asking {
			p |= 1
		}
	}
	if s.NodeState != Serving && s.NodeState != Stopped {
		p |= 2
	}
	return p
}

// The fairness classes. Deadlines expire and the node proceeds with its shutdown. Nothing else is guaranteed to happen:
// gateways may never answer, the balancer may hold requests forever, and clients may wait.
const (
	fairDeadline model.Fairness = 1 << iota
	fairShutdown
)

// FairnessClasses implements model.Model.
func (m *Model) FairnessClasses(st model.Step) model.Fairness {
	switch o, _, _, _ := Decode(st); o {
	case DeadlineFires:
		return fairDeadline
	case StopAccepting, StopNode:
		return fairShutdown
	}
	return 0
}

// Done implements model.Model.
func (m *Model) Done(s State) bool { return s.NodeState == Stopped || m.enabledOps != nil }

// Violated implements model.Model.
func (m *Model) Violated(s State) uint32 {
	b := uint32(s.Violations)
	for c := range m.Clients {
		q := &s.Clients[c]
		finished := q.Lifecycle.Phase == lifecycle.Finished
		if finished && q.Conn != NoConn {
			b |= 1 << badAttemptLeftOpen
		}
		if finished && q.View == Served && s.NodeState != Stopped {
			b |= 1 << badUnannouncedClose
		}
		if q.DeadlineTimer != q.Lifecycle.AwaitsAnswer() || q.AttemptTimer != (q.Lifecycle.Phase == lifecycle.Trying ||
			q.Lifecycle.Phase == lifecycle.Waiting && q.Lifecycle.Inherited) {
			b |= 1 << badTimers
		}
		if q.BalancerView != q.expectedBalancerView() {
			b |= 1 << badBalancerView
		}
		if q.View == ClientTimedOut {
			b |= 1 << badAnswerTooLate
		}
		if s.NodeState == Stopped && q.View == Asking {
			b |= 1 << badUnansweredAtStop
		}
	}
	return b
}

// expectedBalancerView returns what the balancer should know about a request.
func (q *Client) expectedBalancerView() BalancerView {
	switch {
	case q.Lifecycle.Phase == lifecycle.Established:
		return Established
	case q.Lifecycle.Inherited:
		return Untracked
	case q.Lifecycle.Phase == lifecycle.Waiting:
		return Unplaced
	case q.Lifecycle.Phase == lifecycle.Trying:
		return Pending
	}
	return Untracked
}

// Initial implements model.Model.
func (m *Model) Initial() []State {
	var s State
	return []State{s}
}

// Steps implements model.Model.
func (m *Model) Steps(s State, yield func(model.Step, State)) {
	if s.NodeState == Stopped || s.Violations != 0 {
		return
	}
	if unfiltered := yield; m.enabledOps != nil {
		yield = func(step model.Step, next State) {
			if o, _, _, _ := Decode(step); m.enabledOps[o] {
				unfiltered(step, next)
			}
		}
	}
	for c := range m.Clients {
		m.requestSteps(&s, c, yield)
	}
	for g := range m.Gateways {
		m.gatewaySteps(&s, g, yield)
	}
	m.nodeSteps(&s, yield)
}

// transition is one step under construction.
type transition struct {
	m      *Model
	s      State
	c      int
	target int  // the gateway on which the balancer places the request
	late   bool // the event belongs to an attempt that is over
}

// apply applies an event to a client's request.
func (m *Model) apply(s *State, c int, k lifecycle.Kind) State {
	r := transition{m: m, s: *s, c: c, target: -1}
	r.applyEvent(k)
	return r.s
}

// applyEvent applies an event of the current attempt, or one that belongs to no attempt.
func (r *transition) applyEvent(k lifecycle.Kind) {
	r.applyAttemptEvent(k, r.s.Clients[r.c].Lifecycle.Attempts)
}

func (r *transition) applyAttemptEvent(k lifecycle.Kind, attempt uint16) {
	q := &r.s.Clients[r.c]
	e := lifecycle.Event{Kind: k, Attempt: attempt}
	next, todo := r.m.rule(q.Lifecycle, e)
	if r.late && (todo.Len() > 0 || next != q.Lifecycle) {
		r.violate(badLateEvent)
	}
	q.Lifecycle = next
	for i := range todo.Len() {
		r.applyEffect(todo.At(i), k)
	}
	r.normalize()
}

func (r *transition) violate(property int) { r.s.Violations |= 1 << property }

// normalize resets what no later step depends on, to reduce the number of states. An inherited request that still waits
// keeps its gateway.
func (r *transition) normalize() {
	q := &r.s.Clients[r.c]
	if q.Conn == NoConn && !(q.Class == Inherited && q.Lifecycle.AwaitsAnswer()) {
		for g := range r.s.Gateways {
			r.s.Gateways[g].HasConn[r.c] = false
		}
	}
	if q.Lifecycle.Inherited && q.Lifecycle.Attempts > 2 {
		q.Lifecycle.Attempts = 2 // only the distinction between the current attempt and earlier ones matters
	}
	if q.Lifecycle.Phase != lifecycle.Finished || q.Conn != NoConn {
		return
	}
	q.Lifecycle.Attempts, q.Lifecycle.Inherited, q.Class = min(q.Lifecycle.Attempts, 1), false, Safe
	q.MayRun, q.Ran = false, false
	for g := range r.s.Gateways {
		r.s.Gateways[g].Tried[r.c] = false
	}
}

func (r *transition) applyEffect(f lifecycle.Effect, k lifecycle.Kind) {
	q := &r.s.Clients[r.c]
	if f.Answers() {
		r.answer(f)
		return
	}
	switch f {
	case lifecycle.StartDeadline:
		q.DeadlineTimer = true
	case lifecycle.StopDeadline:
		q.DeadlineTimer = false
	case lifecycle.SendAttempt:
		r.send()
	case lifecycle.StopTimer:
		q.AttemptTimer = false
	case lifecycle.StartRetryPause:
		q.AttemptTimer = true
	case lifecycle.CloseAttempt, lifecycle.EndAttempt:
		r.closeConn()
	case lifecycle.MoveClient, lifecycle.EndClient:
		if q.View == Served {
			q.View = Finished
		}
	case lifecycle.LogUnexpected:
		r.violate(badUnexpectedEvent)
	case lifecycle.NotifyArrival:
		r.moveBalancerView(Unplaced, Untracked)
	case lifecycle.NotifyInherited:
		r.moveBalancerView(Established, Untracked)
	case lifecycle.NotifyEstablished:
		r.moveBalancerView(Established, Pending)
	case lifecycle.NotifyEnded:
		r.requireClosed()
		r.moveBalancerView(Unplaced, Pending)
	case lifecycle.NotifyDeparted:
		if q.BalancerView == Pending {
			q.BalancerView = Departed
		} else {
			r.moveBalancerView(Untracked, Unplaced)
		}
	case lifecycle.NotifyOver:
		r.requireClosed()
		if q.BalancerView != Departed && q.BalancerView != Established {
			r.moveBalancerView(Untracked, Pending)
		}
		q.BalancerView = Untracked
	}
}

// moveBalancerView changes what the balancer knows, and records a violation if that was not from.
func (r *transition) moveBalancerView(to, from BalancerView) {
	q := &r.s.Clients[r.c]
	if q.BalancerView != from {
		r.violate(badBalancerView)
	}
	q.BalancerView = to
}

// requireClosed checks that the balancer is notified of an end only after the attempt is closed.
func (r *transition) requireClosed() {
	if r.s.Clients[r.c].Conn != NoConn {
		r.violate(badBalancerView)
	}
}

func (r *transition) answer(f lifecycle.Effect) {
	q := &r.s.Clients[r.c]
	switch q.View {
	case Asking:
	case ClientLeft, ClientTimedOut:
		r.violate(badAnswerAfterLeave)
		return
	default:
		r.violate(badSecondAnswer)
		return
	}
	if f == lifecycle.AnswerThrottle && q.Ran && !q.Class.repeatable() && q.Class != Inherited {
		r.violate(badUnsafeRefusal)
	}
	if q.View = Finished; f == lifecycle.AnswerEstablished {
		q.View = Served
	}
}

func (r *transition) send() {
	q := &r.s.Clients[r.c]
	if q.Conn != NoConn {
		r.violate(badTwoAttempts)
	}
	if q.View != Asking {
		r.violate(badAttemptNotWaiting)
	}
	if q.Class != Inherited && int(q.Lifecycle.Attempts) > r.m.Attempts {
		r.violate(badTooManyAttempts)
	}
	if q.Ran && q.Class == Unsafe {
		r.violate(badUnsafeRepeat)
	}
	for g := range r.s.Gateways {
		r.s.Gateways[g].HasConn[r.c] = false
	}
	q.Conn, q.AttemptTimer = Dialing, true
	gw := &r.s.Gateways[r.target]
	gw.HasConn[r.c], gw.Tried[r.c] = true, q.Class != Inherited
}

// closeConn closes the connection to the gateway from the node's side.
func (r *transition) closeConn() {
	q := &r.s.Clients[r.c]
	if q.Conn == RequestSent {
		q.MayAnswerLate = true
	}
	q.Conn = NoConn
}

// requestSteps yields the steps of one client's request.
func (m *Model) requestSteps(s *State, c int, yield func(model.Step, State)) {
	q := &s.Clients[c]
	if q.View == Absent {
		m.arrivalSteps(s, c, yield)
		return
	}
	simple := func(o Op, k lifecycle.Kind) { yield(Code(o, c, 0, 0), m.apply(s, c, k)) }
	if q.Lifecycle.Phase == lifecycle.Waiting && q.BalancerView == Unplaced {
		m.balancerSteps(s, c, yield)
	}
	if q.BalancerView == Established {
		simple(Move, lifecycle.Move)
	}
	if q.Conn != NoConn {
		m.connSteps(s, c, s.connGateway(c), yield)
	}
	if q.AttemptTimer {
		switch {
		case q.Lifecycle.Phase == lifecycle.Trying:
			r := transition{m: m, s: *s, c: c}
			t := &r.s.Clients[c]
			sent := t.Conn == RequestSent // an attempt whose connection was never established has not run
			t.MayRun, t.Ran, t.AttemptTimer = t.MayRun || sent, t.Ran || sent, false
			r.applyEvent(lifecycle.AttemptTimedOut)
			yield(Code(AttemptTimeout, c, 0, 0), r.s)
		case q.Lifecycle.Inherited:
			r := transition{m: m, s: *s, c: c, target: s.connGateway(c)}
			r.s.Clients[c].AttemptTimer = false
			r.applyEvent(lifecycle.Retry)
			yield(Code(RetryInherited, c, 0, 0), r.s)
		}
	}
	if q.DeadlineTimer {
		r := transition{m: m, s: *s, c: c}
		r.s.Clients[c].DeadlineTimer = false
		r.applyEvent(lifecycle.Deadline)
		yield(Code(DeadlineFires, c, 0, 0), r.s)
	}
	// The deadline timer fires before the client's own time limit.
	if q.View == Asking && (!q.DeadlineTimer || m.bug == bugLateDeadline) {
		n := *s
		n.Clients[c].View = ClientTimedOut
		yield(Code(ClientTimeout, c, 0, 0), n)
	}
	if q.View == Asking || q.View == Served {
		n := *s
		n.Clients[c].View = ClientLeft
		yield(Code(ClientLeaves, c, 0, 0), m.apply(&n, c, lifecycle.ClientGone))
		simple(ClientFaults, lifecycle.ClientFaulty)
	}
	if q.MayAnswerLate {
		m.lateSteps(s, c, yield)
	}
}

// arrivalSteps yields the arrival of a client with a request of any class.
func (m *Model) arrivalSteps(s *State, c int, yield func(model.Step, State)) {
	if s.NodeState > Terminating {
		return
	}
	n := *s
	n.Clients[c].View = Asking
	for _, class := range [...]Class{Safe, Unsafe, Keyed, Grouped} {
		n.Clients[c].Class = class
		yield(Code(Ask, c, 0, int(class)), m.apply(&n, c, lifecycle.Arrive))
	}
	n.Clients[c].Class = Inherited
	for g := range m.Gateways {
		r := transition{m: m, s: n, c: c, target: g}
		r.applyEvent(lifecycle.ArriveInherited)
		yield(Code(Ask, c, g, int(Inherited)), r.s)
	}
}

// balancerSteps yields what a balancer may do with a waiting request; see the rules of package balance.
func (m *Model) balancerSteps(s *State, c int, yield func(model.Step, State)) {
	q := &s.Clients[c]
	if int(q.Lifecycle.Attempts) < m.Attempts+bit2int(m.bug == bugExtraAttempt) &&
		!(q.MayRun && q.Class == Unsafe && m.bug != bugUnsafeRepeat) {
		for g := range m.Gateways {
			gw := &s.Gateways[g]
			if (gw.ListState == Ready || gw.DrainMissed) && !gw.Tried[c] {
				r := transition{m: m, s: *s, c: c, target: g}
				r.s.Clients[c].BalancerView = Pending
				r.applyEvent(lifecycle.Place)
				yield(Code(Place, c, g, 0), r.s)
			}
		}
	}
	n := *s
	n.Clients[c].BalancerView = Untracked
	if harmless := !q.MayRun || q.Class.repeatable(); harmless || m.bug == bugUnsafeRefusal {
		yield(Code(Refuse, c, 0, 0), m.apply(&n, c, lifecycle.Refuse))
	} else {
		yield(Code(GiveUp, c, 0, 0), m.apply(&n, c, lifecycle.GiveUp))
	}
}

func bit2int(b bool) int {
	if b {
		return 1
	}
	return 0
}

// connSteps yields what may happen to a connection to a gateway.
func (m *Model) connSteps(s *State, c, g int, yield func(model.Step, State)) {
	q, gw := &s.Clients[c], &s.Gateways[g]
	// event yields the step in which the gateway causes an event. With ended, the gateway's side is closed afterwards;
	// with mayHaveRun, the request may have run.
	event := func(o Op, k lifecycle.Kind, ended, mayHaveRun bool) {
		r := transition{m: m, s: *s, c: c}
		t := &r.s.Clients[c]
		t.MayRun, t.Ran = t.MayRun || mayHaveRun, t.Ran || mayHaveRun
		if ended {
			t.MayAnswerLate = t.MayAnswerLate || q.Conn == RequestSent && gw.Condition == Healthy
			t.Conn = NoConn
		}
		r.applyEvent(k)
		yield(Code(o, c, g, 0), r.s)
	}
	if q.Conn == Dialing {
		if gw.Condition == Healthy {
			m.connectStep(s, c, g, yield)
		}
		if gw.Condition != Unresponsive {
			event(ConnectFails, lifecycle.HostEnded, true, false)
		}
		return
	}
	up := q.Lifecycle.Phase == lifecycle.Established
	if gw.Condition == Healthy && !up {
		event(HostUp, lifecycle.HostEstablished, false, true)
		event(HostServed, lifecycle.HostServed, true, true)
		event(HostFull, lifecycle.HostEnded, true, false)
		event(HostError, lifecycle.HostEnded, true, true)
	}
	if gw.Condition == Healthy {
		event(HostGarbles, lifecycle.HostFaulty, false, true)
	}
	if up {
		event(HostStalls, lifecycle.HostNotReading, false, true)
	}
	event(HostEnds, lifecycle.HostEnded, true, true)
}

// connectStep establishes a connection. The node then checks whether the gateway may still be written to.
func (m *Model) connectStep(s *State, c, g int, yield func(model.Step, State)) {
	r := transition{m: m, s: *s, c: c}
	gw := &r.s.Gateways[g]
	if gw.ListState.drainExpired() && !gw.DrainMissed && m.bug != bugWriteAfterDrain {
		r.applyEvent(lifecycle.HostDrainExpired)
	} else {
		if gw.ListState.drainExpired() {
			r.violate(badWriteAfterDrain)
		}
		r.s.Clients[c].Conn = RequestSent
	}
	yield(Code(Connect, c, g, 0), r.s)
}

// lateSteps yields the events of an attempt that is over.
func (m *Model) lateSteps(s *State, c int, yield func(model.Step, State)) {
	q := &s.Clients[c].Lifecycle
	number := q.Attempts
	if q.HasHostConn() {
		if number < 2 {
			return
		}
		number--
	}
	for i, k := range [...]lifecycle.Kind{lifecycle.HostEstablished, lifecycle.HostEnded} {
		r := transition{m: m, s: *s, c: c, late: true}
		r.applyAttemptEvent(k, number)
		yield(Code(LateUp+Op(i), c, 0, 0), r.s)
	}
}

// gatewaySteps yields what happens to a gateway, and what discovery reports about it.
func (m *Model) gatewaySteps(s *State, g int, yield func(model.Step, State)) {
	gw := s.Gateways[g]
	set := func(o Op, to Gateway) {
		n := *s
		n.Gateways[g] = to
		yield(Code(o, 0, g, 0), n)
	}
	setCondition := func(o Op, to Condition, restarted bool) {
		t := gw
		t.Condition, t.Restarted = to, restarted
		set(o, t)
	}
	switch {
	case !m.Unreduced && !gw.inUse(): // see Canonical
	case gw.Condition == Healthy:
		setCondition(LoseContact, Unresponsive, gw.Restarted)
		setCondition(Crash, Crashed, gw.Restarted)
	case gw.Condition == Unresponsive:
		setCondition(RegainContact, Healthy, gw.Restarted)
		setCondition(Crash, Crashed, gw.Restarted)
	case gw.Condition == Crashed:
		setCondition(Restart, Healthy, true)
	}
	list := func(o Op, to ListState, newStart bool) {
		t := gw
		t.ListState = to
		t.DrainMissed = m.bug == bugDrainLost && o == NotifyDrain && (gw.HasConn[0] || gw.HasConn[1]) ||
			gw.DrainMissed && (o == DrainExpires || o == NotifyGone)
		if newStart {
			t.Restarted = false
			t.Tried = [MaxClients]bool{} // the balancer takes the new start for another gateway
		}
		set(o, t)
	}
	switch gw.ListState {
	case Ready:
		list(NotifyDrain, Draining, false)
		list(NotifyGone, Gone, false)
	case Draining:
		list(DrainExpires, DrainExpired, false)
		list(NotifyReady, Ready, false)
		list(NotifyGone, Gone, false)
	case DrainExpired:
		list(NotifyReady, Ready, false)
		list(NotifyGone, GoneExpired, false)
	case Gone:
		list(DrainExpires, GoneExpired, false)
		list(NotifyRelisted, Ready, true)
	case GoneExpired:
		list(NotifyRelisted, Ready, true)
	}
	if (gw.Restarted || !m.Unreduced && !gw.inUse()) && gw.ListState < Gone {
		list(NotifyRestart, Ready, true)
	}
}

// nodeSteps yields the steps of the node's shutdown, by the actual shutdown rule.
func (m *Model) nodeSteps(s *State, yield func(model.Step, State)) {
	waiting, established := 0, 0
	for c := range m.Clients {
		waiting += bit2int(s.Clients[c].Lifecycle.AwaitsAnswer())
		established += bit2int(s.Clients[c].Lifecycle.Phase == lifecycle.Established)
	}
	const maxStay = 4 * lifecycle.AcceptAfterSIGTERM
	checkTimes := [...]time.Duration{lifecycle.AcceptAfterSIGTERM, maxStay}
	switch s.NodeState {
	case Serving:
		n := *s
		n.NodeState = Terminating
		yield(Code(Terminate, 0, 0, 0), n)
	case Terminating:
		for i, passThrough := range []bool{false, true} {
			d := lifecycle.Shutdown{PassThrough: passThrough, MaxStay: maxStay}
			if _, command := m.shutdown(d, lifecycle.AcceptAfterSIGTERM, waiting, established); command == lifecycle.StopAccepting {
				n := *s
				n.NodeState = NotAccepting + NodeState(i)
				yield(Code(StopAccepting, 0, 0, i), n)
			}
		}
	case NotAccepting, NotAcceptingPassThrough:
		d := lifecycle.Shutdown{PassThrough: s.NodeState == NotAcceptingPassThrough, MaxStay: maxStay, AcceptStopped: true}
		for i, after := range checkTimes {
			if _, command := m.shutdown(d, after, waiting, established); command == lifecycle.CloseAll {
				yield(Code(StopNode, 0, 0, i), m.stop(s, d.PassThrough))
				return
			}
		}
	}
}

// stop completes the shutdown.
func (m *Model) stop(s *State, passThrough bool) State {
	r := transition{m: m, s: *s}
	for c := range m.Clients {
		r.c = c
		if q := &r.s.Clients[c]; q.Lifecycle.AwaitsAnswer() || q.Lifecycle.Phase == lifecycle.Established && !passThrough {
			r.applyEvent(lifecycle.NodeStopping)
		}
	}
	for c := range m.Clients {
		if q := &r.s.Clients[c]; q.View == Served && !passThrough {
			r.violate(badUnannouncedClose)
		}
	}
	r.s.NodeState = Stopped
	return r.s
}
