package script

import (
	"errors"
	"fmt"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/lifecycle"
	"lichenhitch/internal/query"
	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
	"lichenhitch/rehearsal/rules"
)

var errTurn = errors.New("a client sends one line and waits for the answer")

// Do takes one step. An error says that the step makes no sense now; the world is unchanged then.
func (w *World) Do(step model.Step) error {
	o, c, g, arg := lifemodel.Decode(step)
	if w.off {
		return fmt.Errorf("the node has stopped")
	}
	if o == Pass {
		w.pass(time.Duration(arg) * PassUnit)
		return nil
	}
	if o == Suspend || o == Resume {
		return w.byHand(o == Suspend, g)
	}
	if o < lifemodel.LoseContact || o >= Chat {
		return w.doQuery(o, c, g, arg)
	}
	switch o {
	case Advance:
		return w.advance()
	case AnswerProbe:
		return w.answerProbe(arg)
	case lifemodel.Terminate, lifemodel.StopAccepting:
		w.note(o, c, g, arg)
		if arg == 1 {
			w.cfg.Settings.PassThrough = true
		}
		return nil
	case lifemodel.StopNode:
		w.note(o, c, g, arg|1)
		pass := w.cfg.Settings.PassThrough || arg>>1 == 1
		w.say("the node sends everybody away and stops")
		w.Core.Shutdown(pass)
		w.off = true
		w.Rules.Stopped(w.now, pass)
		return nil
	}
	if g >= len(w.hosts) {
		return fmt.Errorf("there is no gateway %d", g+1)
	}
	return w.doHost(o, g, arg)
}

// doQuery takes a step about one client's query.
func (w *World) doQuery(o lifemodel.Op, c, g, arg int) error {
	if o >= lifemodel.Place && o <= lifemodel.Move {
		return w.decide(o, c, g)
	}
	if o == lifemodel.Ask {
		return w.ask(c, g, arg)
	}
	if c >= len(w.client) {
		return fmt.Errorf("client %d has not asked", c+1)
	}
	q := w.client[c]
	l := q.link
	switch o {
	case lifemodel.AttemptTimeout:
		return w.fireKind(query.TimerAttempt, c)
	case lifemodel.RetryInherited:
		return w.fireKind(query.TimerRetry, c)
	case lifemodel.DeadlineFires:
		return w.fireKind(query.TimerDeadline, c)
	case lifemodel.ClientTimeout:
		w.now = max(w.now, start+w.cfg.Wait)
		w.note(o, c, 0, 0)
		w.Rules.TimeUp(w.now, c)
		return nil
	case lifemodel.ClientLeaves:
		w.note(o, c, 0, 0)
		w.say("client %d leaves", c+1)
		q.seen = lifemodel.ClientLeft
		w.Rules.Gone(c)
		q.query.ClientGone(true)
		return nil
	case lifemodel.ClientFaults:
		w.note(o, c, 0, 0)
		w.say("client %d speaks out of turn", c+1)
		q.query.ClientFaulty(errTurn)
		return nil
	case lifemodel.LateUp, lifemodel.LateEnd:
		return w.lateWord(o, c)
	case Expire:
		for q.seen == lifemodel.Asking {
			w.fire(w.next())
		}
		return nil
	case Chat:
		w.say("client %d sends a line", c+1)
		q.chats++
		if q.askedAt == 0 && q.seen == lifemodel.Served {
			q.askedAt = w.now
		}
		q.query.ClientLines([]byte("line\r\n"))
		return nil
	}
	if l == nil {
		return fmt.Errorf("client %d has no connection to a gateway", c+1)
	}
	if g != w.hostOf(l.server) {
		return fmt.Errorf("the connection of client %d goes to %s", c+1, l.server)
	}
	return w.doLink(o, l, c, g)
}

// doLink takes a step of the host's, or the network's, on a connection.
func (w *World) doLink(o lifemodel.Op, l *link, c, g int) error {
	if dialing := o == lifemodel.Connect || o == lifemodel.ConnectFails; dialing == l.sent {
		return fmt.Errorf("%s does not fit the state of the connection of client %d", o, c+1)
	}
	if o < lifemodel.HostGarbles && o != lifemodel.HostEnds && l.up {
		return fmt.Errorf("the connection of client %d stands already", c+1)
	}
	if o != Reply {
		w.note(o, c, g, 0)
		w.say("%s, query %d: %s", l.server, c+1, o)
	}
	ended := func(out balance.Outcome, clean bool, seen rules.Word, word string) {
		l.held = l.sent // it may say more than it should
		l.shut()
		w.Rules.HostEnded(l.id, seen)
		l.try.Ended(out, clean, balance.Report{}, []byte(word))
	}
	switch o {
	case lifemodel.Connect:
		if w.cfg.Plant == "drained-dial" || l.try.AllowSend() {
			l.sent = true
			w.Rules.Sent(w.now, l.id)
		}
	case lifemodel.ConnectFails:
		ended(balance.Unreachable, false, rules.NoConnection, "")
	case lifemodel.HostUp:
		l.up = true
		w.Rules.HostUp(l.id)
		l.try.Established(fmt.Appendf(nil, "UP %d\r\n", l.id))
	case lifemodel.HostServed:
		ended(balance.OK, true, rules.Other, "BYE\r\n")
	case lifemodel.HostFull:
		ended(balance.Full, true, rules.Busy, "")
	case lifemodel.HostError:
		ended(balance.Errored, true, rules.Other, "")
	case lifemodel.HostEnds:
		ended(balance.Reset, false, rules.Other, "")
	case lifemodel.HostGarbles:
		l.try.HostFaulty()
	case lifemodel.HostStalls:
		l.try.HostNotReading()
	case Reply:
		w.say("%s sends client %d a line", l.server, c+1)
		l.client.askedAt = 0
		w.heard[l.server] = w.now
		if w.cfg.Plant == "reply-unheard" {
			return nil
		}
		l.try.HostLines(fmt.Appendf(nil, "line %d\r\n", l.id))
	default:
		return fmt.Errorf("a world does not know %s", o)
	}
	return nil
}

// ask lets a client come.
func (w *World) ask(c, g, class int) error {
	mid := class == MidFlow
	if mid {
		class = 0
	}
	if c != len(w.client) || class >= len(w.cfg.Classes) {
		return fmt.Errorf("client %d cannot ask now, or its class %d is unknown", c+1, class)
	}
	var at balance.ServerID
	if class == int(lifemodel.Inherited) {
		if g >= len(w.hosts) {
			return fmt.Errorf("there is no gateway %d", g+1)
		}
		at = w.hosts[g].Server
	}
	q := &client{w: w, id: c, inherited: at != "", seen: lifemodel.Asking}
	w.client = append(w.client, q)
	wait := w.cfg.Wait
	if at != "" {
		wait = 40*time.Second + 10*time.Millisecond
	}
	w.note(lifemodel.Ask, c, g, class)
	w.say("client %d asks, class %s %s", c+1, w.cfg.Classes[class], at)
	w.Rules.Asked(w.now, c, w.cfg.Classes[class], at != "", wait)
	w.mark(w.now+wait, func() {
		if q.seen == lifemodel.Asking {
			w.note(lifemodel.ClientTimeout, c, 0, 0)
			w.Rules.TimeUp(w.now, c)
		}
	})
	q.query = w.Core.Arrive(q, balance.Arrival{Class: w.cfg.Classes[class], MidFlow: mid}, at, wait)
	return nil
}

// pass lets a time pass.
func (w *World) pass(d time.Duration) {
	until := w.now + d
	for i := w.next(); i >= 0 && w.timers[i].at <= until; i = w.next() {
		w.fire(i)
	}
	w.now = until
	w.checkSilence()
}

// Chats returns how many lines a client has sent, and Waits whether one of them waits for an answer.
func (w *World) Chats(c int) int  { return w.client[c].chats }
func (w *World) Waits(c int) bool { return w.client[c].askedAt > 0 }

// advance fires the next timer. Looks for silent hosts have no effect while nobody is served, and are passed over then.
func (w *World) advance() error {
	for {
		i := w.next()
		if i < 0 {
			return fmt.Errorf("no timer is running")
		}
		t := w.timers[i]
		w.fire(i)
		if t.mark != nil { // what the world does at one moment, it does at once
			for i = w.next(); i >= 0 && w.timers[i].mark != nil && w.timers[i].at == t.at; i = w.next() {
				w.fire(i)
			}
			return nil
		}
		if t.due.Kind != query.TimerSweep || w.serving() {
			return nil
		}
	}
}

func (w *World) serving() bool {
	for _, c := range w.client {
		if c.seen == lifemodel.Served {
			return true
		}
	}
	return false
}

// Scripted is a decider that decides what the script says.
type Scripted struct{ next []balance.Action }

// Handle implements query.Balancer.
func (s *Scripted) Handle(time.Duration, balance.Event) []balance.Action {
	acts := s.next
	s.next = nil
	return acts
}

// decide has a scripted balancer decide.
func (w *World) decide(o lifemodel.Op, c, g int) error {
	s, ok := w.cfg.Decider.(*Scripted)
	if !ok {
		return fmt.Errorf("%s: the balancer here decides by itself", o)
	}
	if c >= len(w.client) || g >= len(w.hosts) {
		return fmt.Errorf("there is no client %d, or no gateway %d", c+1, g+1)
	}
	id := balance.RequestID(c + 1)
	switch o {
	case lifemodel.Place:
		s.next = []balance.Action{balance.Place{Request: id, Server: w.hosts[g].Server, Timeout: w.cfg.Wait}}
	case lifemodel.Refuse:
		s.next = []balance.Action{balance.Refuse{Request: id}}
	case lifemodel.GiveUp:
		s.next = []balance.Action{balance.Fail{Request: id}}
	case lifemodel.Move:
		s.next = []balance.Action{balance.Move{Request: id}}
	}
	w.Core.Fire(query.TimerEvent{Kind: query.TimerBalancer})
	return nil
}

// fireKind fires a query's timer, whatever else is due before: a model's trace orders deadlines as it likes.
func (w *World) fireKind(k query.TimerKind, c int) error {
	w.next()
	for i, t := range w.timers {
		if t.mark == nil && t.due.Kind == k && int(t.due.Request) == c+1 {
			w.fire(i)
			return nil
		}
	}
	return fmt.Errorf("client %d has no such timer running", c+1)
}

// lateWord has a host speak of an attempt that the node is done with.
func (w *World) lateWord(o lifemodel.Op, c int) error {
	for _, l := range w.links {
		if l.held && l.client.id == c {
			w.note(o, c, 0, 0)
			w.say("%s speaks of an attempt of query %d that is over", l.server, c+1)
			if o == lifemodel.LateUp {
				l.try.Established(fmt.Appendf(nil, "UP %d\r\n", l.id))
			} else {
				l.try.Ended(balance.Reset, false, balance.Report{}, nil)
			}
			return nil
		}
	}
	return fmt.Errorf("client %d has no attempt that is over at a gateway", c+1)
}

func (w *World) answerProbe(arg int) error {
	if len(w.probes) == 0 {
		return fmt.Errorf("no probe is out")
	}
	s := w.probes[0]
	w.probes = w.probes[1:]
	switch arg {
	case ProbeLost:
		w.Core.Probed(s, balance.TimedOut, 0, balance.Report{})
	case ProbeRefused:
		w.Core.Probed(s, balance.Unreachable, 0, balance.Report{})
	default:
		ratio := float64(arg) / 100
		w.Core.Probed(s, balance.OK, 0, balance.Report{Known: balance.HasRatio | balance.HasHeld, Ratio: ratio,
			Held: 20 * ratio})
	}
	return nil
}

// Whole is the argument of a notice that comes as the whole list rather than as a change.
const Whole = 1

// doHost takes a step about a host: what discovery tells. What befalls the host itself shows on its connections only.
func (w *World) doHost(o lifemodel.Op, g, arg int) error {
	h := w.hosts[g]
	old := h.told
	anew := false
	switch o {
	case lifemodel.LoseContact, lifemodel.RegainContact, lifemodel.Crash:
		w.note(o, 0, g, 0)
		return nil
	case lifemodel.Restart:
		h.restarts++
		w.note(o, 0, g, 0)
		return nil
	case lifemodel.DrainExpires:
		w.now += w.cfg.Settings.Safety.DrainGrace + 100*time.Millisecond
		w.note(o, 0, g, 0)
		return nil
	case lifemodel.NotifyDrain:
		h.told = balance.Draining
	case lifemodel.NotifyReady:
		h.told = balance.Ready
	case lifemodel.NotifyGone:
		h.told = balance.Gone
	case lifemodel.NotifyRelisted:
		h.told = balance.Ready
		anew = h.restarts > 0
	case lifemodel.NotifyRestart:
		h.told, anew = balance.Ready, true
	default:
		return fmt.Errorf("a world does not know %s", o)
	}
	if o == lifemodel.NotifyRestart && h.restarts == 0 { // it was not told so far that it died
		w.note(lifemodel.Crash, 0, g, 0)
		w.note(lifemodel.Restart, 0, g, 0)
	}
	if anew {
		h.Started, h.restarts = w.now, 0
	}
	h.State = h.told
	w.note(o, 0, g, 0)
	w.say("discovery: %s, %s", h.Server, o)
	w.Rules.Listed(w.now, h.Listing)
	if old == balance.Ready && h.told != balance.Ready {
		w.limit(g)
	}
	if w.cfg.Plant == "drain-lost" && o == lifemodel.NotifyDrain && w.linked(h.Server) {
		return nil
	}
	if arg == Whole {
		w.Core.List(balance.ListFull, w.whole())
	} else {
		w.Core.List(balance.ListChanges, []balance.Listing{h.Listing})
	}
	return nil
}

// byHand has operators take a host out or back.
func (w *World) byHand(out bool, g int) error {
	if g >= len(w.hosts) {
		return fmt.Errorf("there is no gateway %d", g+1)
	}
	server := w.hosts[g].Server
	w.say("operators: %s is out: %v", server, out)
	w.Rules.Suspended(w.now, server, out)
	if out {
		w.Core.Suspend(server, w.now)
	} else {
		w.Core.Resume(server)
	}
	return nil
}

// whole is discovery's whole list; a host that is gone is not in it.
func (w *World) whole() (list []balance.Listing) {
	for _, h := range w.hosts {
		if h.told != balance.Gone {
			list = append(list, h.Listing)
		}
	}
	return list
}

func (w *World) linked(s balance.ServerID) bool {
	for _, l := range w.links {
		if l.open && l.server == s {
			return true
		}
	}
	return false
}

// limit marks the moment from which the node must not write to a host any more.
func (w *World) limit(g int) {
	h := w.hosts[g]
	h.drains++
	drain := h.drains
	w.mark(w.now+w.cfg.Settings.Safety.DrainGrace-50*time.Millisecond, func() {
		if h.told != balance.Ready && h.drains == drain {
			w.note(lifemodel.DrainExpires, 0, g, 0)
			w.say("the limit of %s has passed", h.Server)
		}
	})
}

// Owed says whether some client waits for its answer.
func (w *World) Owed() bool {
	for _, c := range w.client {
		if c.seen == lifemodel.Asking {
			return true
		}
	}
	return false
}

// Check looks at what must hold between two steps.
func (w *World) Check() {
	w.Rules.Settled(w.now)
	running := make([]map[query.TimerKind]bool, len(w.client))
	for i := range running {
		running[i] = map[query.TimerKind]bool{}
	}
	for _, t := range w.timers {
		if !t.off && t.mark == nil && t.due.Request > 0 {
			running[t.due.Request-1][t.due.Kind] = true
		}
	}
	for i, c := range w.client {
		if c.query != nil && !w.off {
			w.checkClient(c, running[i])
		}
	}
}

// checkClient checks that a query's state, its timers, its connection and the balancer's books fit together.
func (w *World) checkClient(c *client, running map[query.TimerKind]bool) {
	q := c.query.State()
	for _, fit := range []struct {
		is, should bool
		yes, no    string // what is wrong when it is so, and when it is not
	}{
		{c.seen == lifemodel.Asking, q.AwaitsAnswer(), "its client waits for an answer", "its client does not wait for an answer"},
		{c.seen == lifemodel.Served, q.Phase == lifecycle.Established, "its client is served", "its client is not served"},
		{c.link != nil, q.HasHostConn(), "a connection to a host is open", "no connection to a host is open"},
		{running[query.TimerDeadline], q.AwaitsAnswer(), "the guard of its deadline runs", "no guard of its deadline runs"},
		{running[query.TimerAttempt], q.Phase == lifecycle.Trying, "the time-out of an attempt runs", "no time-out of its attempt runs"},
		{running[query.TimerRetry], q.Phase == lifecycle.Waiting && q.Inherited, "the pause between two tries runs",
			"no pause between two tries runs"},
	} {
		if fit.is != fit.should {
			w.Rules.Note(w.now, fmt.Sprintf("query %d is %s, and %s", c.id+1, q.Phase, map[bool]string{true: fit.yes, false: fit.no}[fit.is]))
		}
	}
	if b := w.tap.books[balance.RequestID(c.id+1)]; b != nil && b.pending != q.HasHostConn() {
		w.Rules.Note(w.now, fmt.Sprintf("query %d is %s, and for the balancer an attempt is pending: %v", c.id+1, q.Phase, b.pending))
	}
}

// Broken returns what was broken so far.
func (w *World) Broken() []string { return w.Rules.Broken() }

// Tell has all that crosses an interface told in words.
func (w *World) Tell(f func(string)) { w.tell = f }

// Done returns what was done since the last call, in the words of the model of lives.
func (w *World) Done() []model.Step {
	d := w.done
	w.done = nil
	return d
}

// State returns where a client's query stands, what its client has seen and where its connection goes: its stage and
// its host, -1 for none.
func (w *World) State(c int) (lifecycle.State, lifemodel.ClientView, lifemodel.ConnState, int) {
	q := w.client[c]
	switch {
	case q.link == nil:
		return q.query.State(), q.seen, lifemodel.NoConn, -1
	case q.link.sent:
		return q.query.State(), q.seen, lifemodel.RequestSent, w.hostOf(q.link.server)
	}
	return q.query.State(), q.seen, lifemodel.Dialing, w.hostOf(q.link.server)
}

// Clients returns how many clients have asked.
func (w *World) Clients() int { return len(w.client) }

// Elapsed returns how long the world has been running.
func (w *World) Elapsed() time.Duration { return w.now - start }

// Stopped says whether the node has stopped.
func (w *World) Stopped() bool { return w.off }

// Told returns what discovery last told of a host.
func (w *World) Told(g int) balance.State { return w.hosts[g].told }

// Held says whether some host may still speak of an attempt of a client that is over.
func (w *World) Held(c int) bool {
	for _, l := range w.links {
		if l.held && l.client.id == c {
			return true
		}
	}
	return false
}
