package lifemodel

import (
	"time"

	"lichenhitch/internal/lifecycle"
	"lichenhitch/rehearsal/model"
)

// Op is what a step does.
type Op uint8

// The steps. Those of the first group are about a client's query, the second about a gateway, the third about the node.
const (
	Ask      Op = iota // the client asks; the argument is the class, the gateway that of an inherited connection
	Place              // the balancer places the query on a gateway
	Refuse             // it refuses it
	GiveUp             // it gives it up
	MoveAway           // it, or the watch over silence, has an open connection moved
	Connect            // the connection to the gateway stands
	NoLuck             // it never comes up
	SayUp              // the gateway says UP
	SayServed
	SayFull
	SayError
	Break  // the gateway's connection breaks or ends
	Garble // the gateway says what cannot be passed on
	Clog   // the gateway does not take what the client sends
	Overdue
	Again     // the pause of an inherited connection is over
	Due       // the guard of the deadline fires
	TimeUp    // the client's own time is up
	Leave     // the client leaves
	Interject // the client speaks out of turn, or what cannot be passed on
	LateUp    // a gateway speaks of an attempt that is over
	LateEnd
	FallSilent
	Heal
	Die
	Return // the process is back, cold
	TellDrain
	TellReady // the drain is taken back
	TellGone
	TellBack // it is listed again
	TellRestart
	Limit // the limit after a drain has passed
	Term
	ShutDoor
	SendOff // the node sends everybody away and stops; the argument says whether its time was over
	ops     = int(SendOff) + 1
)

var opNames = [ops]string{"ask", "place", "refuse", "give-up", "move-away", "connect", "no-luck", "say-up", "say-served",
	"say-full", "say-error", "break", "garble", "clog", "overdue", "again", "due", "time-up", "leave", "interject",
	"late-up", "late-end", "fall-silent", "heal", "die", "return", "tell-drain", "tell-ready", "tell-gone", "tell-back",
	"tell-restart", "limit", "term", "shut-door", "send-off"}

func (o Op) String() string { return opNames[o] }

// Code makes the model's step of an operation: its client, its gateway and an argument, each 0 where there is none.
func Code(o Op, client, gateway, arg int) model.Step {
	return model.Step(uint32(o) | uint32(client)<<8 | uint32(gateway)<<16 | uint32(arg)<<24)
}

// Decode is the reverse of Code.
func Decode(s model.Step) (o Op, client, gateway, arg int) {
	return Op(s & 255), int(s >> 8 & 255), int(s >> 16 & 255), int(s >> 24)
}

// The safety properties.
const (
	badSecond = iota
	badGone
	badLate
	badTwo
	badIdle
	badLeftOut
	badMany
	badRepeat
	badRefusal
	badDrain
	badGhost
	badCut
	badBook
	badTimer
	badPlace
	badOrphan
)

// Properties implements model.Model.
func (m *Model) Properties() []string {
	return []string{
		badSecond:  "a client gets one final answer",
		badGone:    "no answer to a client that has gone",
		badLate:    "the answer comes before the client's time is up",
		badTwo:     "never two attempts out",
		badIdle:    "no attempt for a query that is not waiting",
		badLeftOut: "no attempt is left out when its query is over",
		badMany:    "no more attempts than allowed",
		badRepeat:  "what may have run is not repeated where that does harm",
		badRefusal: "a refusal only where trying again is harmless",
		badDrain:   "nothing is written to a drained gateway past the limit",
		badGhost:   "words of an attempt that is over have no effect",
		badCut:     "a served client is moved or told the end",
		badBook:    "the balancer hears one end of each attempt, once it is closed",
		badTimer:   "timers run as long as what they watch",
		badPlace:   "no event without a place in a query's life",
		badOrphan:  "a node that stops has answered everybody",
	}
}

// Promises implements model.Model.
func (m *Model) Promises() []string {
	return []string{"every query taken is answered", "a node that is to leave stops"}
}

// Pending implements model.Model.
func (m *Model) Pending(s State) (p uint8) {
	for c := range m.Clients {
		if s.Clients[c].Seen == Asking {
			p |= 1
		}
	}
	if s.Stay != Serving && s.Stay != Stopped {
		p |= 2
	}
	return p
}

// Fairness: time passes and the node looks after itself. Nothing else need ever happen: gateways may answer nothing,
// the balancer may hold for ever, clients may wait.
const (
	fairGuard model.Fairness = 1 << iota
	fairLeave
)

// Fair implements model.Model.
func (m *Model) Fair(st model.Step) model.Fairness {
	switch o, _, _, _ := Decode(st); o {
	case Due:
		return fairGuard
	case ShutDoor, SendOff:
		return fairLeave
	}
	return 0
}

// Done implements model.Model.
func (m *Model) Done(s State) bool { return s.Stay == Stopped || m.only != nil }

// Broken implements model.Model.
func (m *Model) Broken(s State) uint32 {
	b := uint32(s.Bad)
	for c := range m.Clients {
		q := &s.Clients[c]
		over := q.Life.Phase == lifecycle.Finished
		if over && q.Link != NoLink {
			b |= 1 << badLeftOut
		}
		if over && q.Seen == Served && s.Stay != Stopped {
			b |= 1 << badCut
		}
		if q.Guard != q.Life.AwaitsAnswer() || q.Timer != (q.Life.Phase == lifecycle.Trying ||
			q.Life.Phase == lifecycle.Waiting && q.Life.Inherited) {
			b |= 1 << badTimer
		}
		if q.Book != q.expected() {
			b |= 1 << badBook
		}
		if q.Seen == Late {
			b |= 1 << badLate
		}
		if s.Stay == Stopped && q.Seen == Asking {
			b |= 1 << badOrphan
		}
	}
	return b
}

// expected is what the balancer should know of a query.
func (q *Client) expected() Book {
	switch {
	case q.Life.Phase == lifecycle.Established:
		return Standing
	case q.Life.Inherited:
		return NoEntry
	case q.Life.Phase == lifecycle.Waiting:
		return Open
	case q.Life.Phase == lifecycle.Trying:
		return Pending
	}
	return NoEntry
}

// Initial implements model.Model.
func (m *Model) Initial() []State {
	var s State
	return []State{s}
}

// Steps implements model.Model.
func (m *Model) Steps(s State, yield func(model.Step, State)) {
	if s.Stay == Stopped || s.Bad != 0 {
		return
	}
	if all := yield; m.only != nil {
		yield = func(step model.Step, next State) {
			if o, _, _, _ := Decode(step); m.only[o] {
				all(step, next)
			}
		}
	}
	for c := range m.Clients {
		m.querySteps(&s, c, yield)
	}
	for g := range m.Gateways {
		m.gatewaySteps(&s, g, yield)
	}
	m.nodeSteps(&s, yield)
}

// run is one step in the making.
type run struct {
	m    *Model
	s    State
	c    int
	to   int  // where the balancer places
	late bool // the event is a word of an attempt that is over
}

// do brings an event to a client's query.
func (m *Model) do(s *State, c int, k lifecycle.Kind) State {
	r := run{m: m, s: *s, c: c, to: -1}
	r.event(k)
	return r.s
}

// event brings an event of the attempt that is out, or of none.
func (r *run) event(k lifecycle.Kind) { r.numbered(k, r.s.Clients[r.c].Life.Attempts) }

func (r *run) numbered(k lifecycle.Kind, attempt uint16) {
	q := &r.s.Clients[r.c]
	e := lifecycle.Event{Kind: k, Attempt: attempt}
	next, todo := r.m.rule(q.Life, e)
	if r.late && (todo.Len() > 0 || next != q.Life) {
		r.bad(badGhost)
	}
	q.Life = next
	for i := range todo.Len() {
		r.effect(todo.At(i), k)
	}
	r.settle()
}

func (r *run) bad(property int) { r.s.Bad |= 1 << property }

// settle forgets what nothing depends on any more, so that fewer states differ. An inherited query that still waits
// keeps its gateway in mind.
func (r *run) settle() {
	q := &r.s.Clients[r.c]
	if q.Link == NoLink && !(q.Class == Inherited && q.Life.AwaitsAnswer()) {
		for g := range r.s.Gateways {
			r.s.Gateways[g].Out[r.c] = false
		}
	}
	if q.Life.Inherited && q.Life.Attempts > 2 {
		q.Life.Attempts = 2 // only which is the one that is out matters
	}
	if q.Life.Phase != lifecycle.Finished || q.Link != NoLink {
		return
	}
	q.Life.Attempts, q.Life.Inherited, q.Class = min(q.Life.Attempts, 1), false, Safe
	q.MayRun, q.Ran = false, false
	for g := range r.s.Gateways {
		r.s.Gateways[g].Tried[r.c] = false
	}
}

func (r *run) effect(f lifecycle.Effect, k lifecycle.Kind) {
	q := &r.s.Clients[r.c]
	if f.Answers() {
		r.answer(f)
		return
	}
	switch f {
	case lifecycle.StartDeadline:
		q.Guard = true
	case lifecycle.StopDeadline:
		q.Guard = false
	case lifecycle.SendAttempt:
		r.send()
	case lifecycle.StopTimer:
		q.Timer = false
	case lifecycle.StartRetryPause:
		q.Timer = true
	case lifecycle.CloseAttempt, lifecycle.EndAttempt:
		r.hangUp()
	case lifecycle.MoveClient, lifecycle.EndClient:
		if q.Seen == Served {
			q.Seen = Finished
		}
	case lifecycle.LogUnexpected:
		r.bad(badPlace)
	case lifecycle.NotifyArrival:
		r.book(Open, NoEntry)
	case lifecycle.NotifyInherited:
		r.book(Standing, NoEntry)
	case lifecycle.NotifyEstablished:
		r.book(Standing, Pending)
	case lifecycle.NotifyEnded:
		r.closed()
		r.book(Open, Pending)
	case lifecycle.NotifyDeparted:
		if q.Book == Pending {
			q.Book = Parted
		} else {
			r.book(NoEntry, Open)
		}
	case lifecycle.NotifyOver:
		r.closed()
		if q.Book != Parted && q.Book != Standing {
			r.book(NoEntry, Pending)
		}
		q.Book = NoEntry
	}
}

// book changes what the balancer knows, which must stand at from.
func (r *run) book(to, from Book) {
	q := &r.s.Clients[r.c]
	if q.Book != from {
		r.bad(badBook)
	}
	q.Book = to
}

// closed checks that the balancer hears of an end only once the attempt is closed.
func (r *run) closed() {
	if r.s.Clients[r.c].Link != NoLink {
		r.bad(badBook)
	}
}

func (r *run) answer(f lifecycle.Effect) {
	q := &r.s.Clients[r.c]
	switch q.Seen {
	case Asking:
	case Left, Late:
		r.bad(badGone)
		return
	default:
		r.bad(badSecond)
		return
	}
	if f == lifecycle.AnswerThrottle && q.Ran && !q.Class.refusable() && q.Class != Inherited {
		r.bad(badRefusal)
	}
	if q.Seen = Finished; f == lifecycle.AnswerEstablished {
		q.Seen = Served
	}
}

func (r *run) send() {
	q := &r.s.Clients[r.c]
	if q.Link != NoLink {
		r.bad(badTwo)
	}
	if q.Seen != Asking {
		r.bad(badIdle)
	}
	if q.Class != Inherited && int(q.Life.Attempts) > r.m.Attempts {
		r.bad(badMany)
	}
	if q.Ran && q.Class == Unsafe {
		r.bad(badRepeat)
	}
	for g := range r.s.Gateways {
		r.s.Gateways[g].Out[r.c] = false
	}
	q.Link, q.Timer = Dialing, true
	gw := &r.s.Gateways[r.to]
	gw.Out[r.c], gw.Tried[r.c] = true, q.Class != Inherited
}

// hangUp closes the connection to the gateway from this side.
func (r *run) hangUp() {
	q := &r.s.Clients[r.c]
	if q.Link == Sent {
		q.Held = true
	}
	q.Link = NoLink
}

// querySteps are the steps about one client's query.
func (m *Model) querySteps(s *State, c int, yield func(model.Step, State)) {
	q := &s.Clients[c]
	if q.Seen == Absent {
		m.ask(s, c, yield)
		return
	}
	plain := func(o Op, k lifecycle.Kind) { yield(Code(o, c, 0, 0), m.do(s, c, k)) }
	if q.Life.Phase == lifecycle.Waiting && q.Book == Open {
		m.decide(s, c, yield)
	}
	if q.Book == Standing {
		plain(MoveAway, lifecycle.Move)
	}
	if q.Link != NoLink {
		m.linkSteps(s, c, s.link(c), yield)
	}
	if q.Timer {
		switch {
		case q.Life.Phase == lifecycle.Trying:
			r := run{m: m, s: *s, c: c}
			t := &r.s.Clients[c]
			sent := t.Link == Sent // an attempt whose connection never came up has not run
			t.MayRun, t.Ran, t.Timer = t.MayRun || sent, t.Ran || sent, false
			r.event(lifecycle.AttemptTimedOut)
			yield(Code(Overdue, c, 0, 0), r.s)
		case q.Life.Inherited:
			r := run{m: m, s: *s, c: c, to: s.link(c)}
			r.s.Clients[c].Timer = false
			r.event(lifecycle.Retry)
			yield(Code(Again, c, 0, 0), r.s)
		}
	}
	if q.Guard {
		r := run{m: m, s: *s, c: c}
		r.s.Clients[c].Guard = false
		r.event(lifecycle.Deadline)
		yield(Code(Due, c, 0, 0), r.s)
	}
	if q.Seen == Asking && (!q.Guard || m.plant == plantGuardLate) { // the guard comes before the client's own time
		n := *s
		n.Clients[c].Seen = Late
		yield(Code(TimeUp, c, 0, 0), n)
	}
	if q.Seen == Asking || q.Seen == Served {
		n := *s
		n.Clients[c].Seen = Left
		yield(Code(Leave, c, 0, 0), m.do(&n, c, lifecycle.ClientGone))
		plain(Interject, lifecycle.ClientFaulty)
	}
	if q.Held {
		m.lateWords(s, c, yield)
	}
}

// ask lets a client come, with a query of any class.
func (m *Model) ask(s *State, c int, yield func(model.Step, State)) {
	if s.Stay > Leaving {
		return
	}
	n := *s
	n.Clients[c].Seen = Asking
	for _, class := range [...]Class{Safe, Unsafe, Keyed, Grouped} {
		n.Clients[c].Class = class
		yield(Code(Ask, c, 0, int(class)), m.do(&n, c, lifecycle.Arrive))
	}
	n.Clients[c].Class = Inherited
	for g := range m.Gateways {
		r := run{m: m, s: n, c: c, to: g}
		r.event(lifecycle.ArriveInherited)
		yield(Code(Ask, c, g, int(Inherited)), r.s)
	}
}

// decide is what a balancer may do with a waiting query; see the rules of package balance.
func (m *Model) decide(s *State, c int, yield func(model.Step, State)) {
	q := &s.Clients[c]
	if int(q.Life.Attempts) < m.Attempts+bit2int(m.plant == plantMany) &&
		!(q.MayRun && q.Class == Unsafe && m.plant != plantRepeat) {
		for g := range m.Gateways {
			gw := &s.Gateways[g]
			if (gw.Told == Ready || gw.Unseen) && !gw.Tried[c] {
				r := run{m: m, s: *s, c: c, to: g}
				r.s.Clients[c].Book = Pending
				r.event(lifecycle.Place)
				yield(Code(Place, c, g, 0), r.s)
			}
		}
	}
	n := *s
	n.Clients[c].Book = NoEntry
	if harmless := !q.MayRun || q.Class.refusable(); harmless || m.plant == plantRefusal {
		yield(Code(Refuse, c, 0, 0), m.do(&n, c, lifecycle.Refuse))
	} else {
		yield(Code(GiveUp, c, 0, 0), m.do(&n, c, lifecycle.GiveUp))
	}
}

func bit2int(b bool) int {
	if b {
		return 1
	}
	return 0
}

// linkSteps are what may come of a connection to a gateway.
func (m *Model) linkSteps(s *State, c, g int, yield func(model.Step, State)) {
	q, gw := &s.Clients[c], &s.Gateways[g]
	// said brings a word of the gateway; ended says that its side is closed then, and ran that the query may have run.
	said := func(o Op, k lifecycle.Kind, ended, ran bool) {
		r := run{m: m, s: *s, c: c}
		t := &r.s.Clients[c]
		t.MayRun, t.Ran = t.MayRun || ran, t.Ran || ran
		if ended {
			t.Held = t.Held || q.Link == Sent && gw.Cond == Sound
			t.Link = NoLink
		}
		r.event(k)
		yield(Code(o, c, g, 0), r.s)
	}
	if q.Link == Dialing {
		if gw.Cond == Sound {
			m.connect(s, c, g, yield)
		}
		if gw.Cond != Silent {
			said(NoLuck, lifecycle.HostEnded, true, false)
		}
		return
	}
	up := q.Life.Phase == lifecycle.Established
	if gw.Cond == Sound && !up {
		said(SayUp, lifecycle.HostEstablished, false, true)
		said(SayServed, lifecycle.HostServed, true, true)
		said(SayFull, lifecycle.HostEnded, true, false)
		said(SayError, lifecycle.HostEnded, true, true)
	}
	if gw.Cond == Sound {
		said(Garble, lifecycle.HostFaulty, false, true)
	}
	if up {
		said(Clog, lifecycle.HostNotReading, false, true)
	}
	said(Break, lifecycle.HostEnded, true, true)
}

// connect lets a connection come up. The node asks then whether the gateway may still be written to.
func (m *Model) connect(s *State, c, g int, yield func(model.Step, State)) {
	r := run{m: m, s: *s, c: c}
	gw := &r.s.Gateways[g]
	if gw.Told.past() && !gw.Unseen && m.plant != plantDrainedDial {
		r.event(lifecycle.HostDrainExpired)
	} else {
		if gw.Told.past() {
			r.bad(badDrain)
		}
		r.s.Clients[c].Link = Sent
	}
	yield(Code(Connect, c, g, 0), r.s)
}

// lateWords are those of an attempt that is over.
func (m *Model) lateWords(s *State, c int, yield func(model.Step, State)) {
	q := &s.Clients[c].Life
	number := q.Attempts
	if q.HasHostConn() {
		if number < 2 {
			return
		}
		number--
	}
	for i, k := range [...]lifecycle.Kind{lifecycle.HostEstablished, lifecycle.HostEnded} {
		r := run{m: m, s: *s, c: c, late: true}
		r.numbered(k, number)
		yield(Code(LateUp+Op(i), c, 0, 0), r.s)
	}
}

// gatewaySteps are what happens to a gateway, and what discovery tells of it.
func (m *Model) gatewaySteps(s *State, g int, yield func(model.Step, State)) {
	gw := s.Gateways[g]
	set := func(o Op, to Gateway) {
		n := *s
		n.Gateways[g] = to
		yield(Code(o, 0, g, 0), n)
	}
	cond := func(o Op, to Cond, stale bool) {
		t := gw
		t.Cond, t.Stale = to, stale
		set(o, t)
	}
	switch {
	case !m.Unreduced && !gw.touched(): // see Canonical
	case gw.Cond == Sound:
		cond(FallSilent, Silent, gw.Stale)
		cond(Die, Dead, gw.Stale)
	case gw.Cond == Silent:
		cond(Heal, Sound, gw.Stale)
		cond(Die, Dead, gw.Stale)
	case gw.Cond == Dead:
		cond(Return, Sound, true)
	}
	told := func(o Op, to Told, anew bool) {
		t := gw
		t.Told = to
		t.Unseen = m.plant == plantDrainLost && o == TellDrain && (gw.Out[0] || gw.Out[1]) ||
			gw.Unseen && (o == Limit || o == TellGone)
		if anew {
			t.Stale = false
			t.Tried = [MaxClients]bool{} // to the balancer it is another gateway
		}
		set(o, t)
	}
	switch gw.Told {
	case Ready:
		told(TellDrain, Draining, false)
		told(TellGone, Gone, false)
	case Draining:
		told(Limit, DrainingPast, false)
		told(TellReady, Ready, false)
		told(TellGone, Gone, false)
	case DrainingPast:
		told(TellReady, Ready, false)
		told(TellGone, GonePast, false)
	case Gone:
		told(Limit, GonePast, false)
		told(TellBack, Ready, true)
	case GonePast:
		told(TellBack, Ready, true)
	}
	if (gw.Stale || !m.Unreduced && !gw.touched()) && gw.Told < Gone {
		told(TellRestart, Ready, true)
	}
}

// nodeSteps are the node's way out, by the real rule of departure.
func (m *Model) nodeSteps(s *State, yield func(model.Step, State)) {
	owed, standing := 0, 0
	for c := range m.Clients {
		owed += bit2int(s.Clients[c].Life.AwaitsAnswer())
		standing += bit2int(s.Clients[c].Life.Phase == lifecycle.Established)
	}
	const within = 4 * lifecycle.AcceptAfterSIGTERM
	looks := [...]time.Duration{lifecycle.AcceptAfterSIGTERM, within}
	switch s.Stay {
	case Serving:
		n := *s
		n.Stay = Leaving
		yield(Code(Term, 0, 0, 0), n)
	case Leaving:
		for i, pass := range []bool{false, true} {
			d := lifecycle.Shutdown{PassThrough: pass, MaxStay: within}
			if _, order := m.depart(d, lifecycle.AcceptAfterSIGTERM, owed, standing); order == lifecycle.StopAccepting {
				n := *s
				n.Stay = DoorShut + Stay(i)
				yield(Code(ShutDoor, 0, 0, i), n)
			}
		}
	case DoorShut, DoorShut2:
		d := lifecycle.Shutdown{PassThrough: s.Stay == DoorShut2, MaxStay: within, AcceptStopped: true}
		for i, after := range looks {
			if _, order := m.depart(d, after, owed, standing); order == lifecycle.CloseAll {
				yield(Code(SendOff, 0, 0, i), m.sendOff(s, d.PassThrough))
				return
			}
		}
	}
}

// sendOff is the end of a departure.
func (m *Model) sendOff(s *State, pass bool) State {
	r := run{m: m, s: *s}
	for c := range m.Clients {
		r.c = c
		if q := &r.s.Clients[c]; q.Life.AwaitsAnswer() || q.Life.Phase == lifecycle.Established && !pass {
			r.event(lifecycle.NodeStopping)
		}
	}
	for c := range m.Clients {
		if q := &r.s.Clients[c]; q.Seen == Served && !pass {
			r.bad(badCut)
		}
	}
	r.s.Stay = Stopped
	return r.s
}
