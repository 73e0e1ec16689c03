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

var errOutOfTurn = errors.New("a client sends one line and waits for the answer")

// Do takes one step. It returns an error, and leaves the world unchanged, if the step is not possible now. Here and below,
// o is the kind of the step, c the client and g the gateway, both counted from 0.
func (w *World) Do(step model.Step) error {
	o, c, g, arg := lifemodel.Decode(step)
	if w.stopped {
		return fmt.Errorf("the node has stopped")
	}
	if o == Pass {
		w.passTime(time.Duration(arg) * PassUnit)
		return nil
	}
	if o == Suspend || o == Resume {
		return w.setSuspended(o == Suspend, g)
	}
	if o < lifemodel.LoseContact || o >= ClientLine {
		return w.doRequest(o, c, g, arg)
	}
	switch o {
	case Advance:
		return w.fireNext()
	case AnswerProbe:
		return w.answerProbe(arg)
	case lifemodel.Terminate, lifemodel.StopAccepting:
		w.record(o, c, g, arg)
		if arg == 1 {
			w.config.Settings.PassThrough = true
		}
		return nil
	case lifemodel.StopNode:
		w.record(o, c, g, arg|1)
		pass := w.config.Settings.PassThrough || arg>>1 == 1
		w.trace("the node closes all connections and stops")
		w.Core.Shutdown(pass)
		w.stopped = true
		w.Rules.Stopped(w.now, pass)
		return nil
	}
	if g >= len(w.hosts) {
		return fmt.Errorf("there is no gateway %d", g+1)
	}
	return w.doHost(o, g, arg)
}

// doRequest takes a step of one client's request.
func (w *World) doRequest(o lifemodel.Op, c, g, arg int) error {
	if o >= lifemodel.Place && o <= lifemodel.Move {
		return w.decide(o, c, g)
	}
	if o == lifemodel.Ask {
		return w.sendRequest(c, g, arg)
	}
	if c >= len(w.clients) {
		return fmt.Errorf("client %d has not asked", c+1)
	}
	cl := w.clients[c]
	conn := cl.conn
	switch o {
	case lifemodel.AttemptTimeout:
		return w.fireTimer(query.TimerAttempt, c)
	case lifemodel.RetryInherited:
		return w.fireTimer(query.TimerRetry, c)
	case lifemodel.DeadlineFires:
		return w.fireTimer(query.TimerDeadline, c)
	case lifemodel.ClientTimeout:
		w.now = max(w.now, startTime+w.config.ClientTimeout)
		w.record(o, c, 0, 0)
		w.Rules.ClientTimedOut(w.now, c)
		return nil
	case lifemodel.ClientLeaves:
		w.record(o, c, 0, 0)
		w.trace("client %d leaves", c+1)
		cl.view = lifemodel.ClientLeft
		w.Rules.ClientLeft(c)
		cl.request.ClientGone(true)
		return nil
	case lifemodel.ClientFaults:
		w.record(o, c, 0, 0)
		w.trace("client %d sends data out of turn", c+1)
		cl.request.ClientFaulty(errOutOfTurn)
		return nil
	case lifemodel.LateUp, lifemodel.LateEnd:
		return w.reportLate(o, c)
	case Expire:
		for cl.view == lifemodel.Asking {
			w.fire(w.nextTimer())
		}
		return nil
	case ClientLine:
		w.trace("client %d sends a line", c+1)
		cl.linesSent++
		if cl.unansweredSince == 0 && cl.view == lifemodel.Served {
			cl.unansweredSince = w.now
		}
		cl.request.ClientLines([]byte("line\r\n"))
		return nil
	}
	if conn == nil {
		return fmt.Errorf("client %d has no connection to a gateway", c+1)
	}
	if g != w.hostIndex(conn.server) {
		return fmt.Errorf("the connection of client %d goes to %s", c+1, conn.server)
	}
	return w.doConn(o, conn, c, g)
}

// doConn takes a step of the host or the network on a connection.
func (w *World) doConn(o lifemodel.Op, conn *hostConn, c, g int) error {
	if dialing := o == lifemodel.Connect || o == lifemodel.ConnectFails; dialing == conn.sent {
		return fmt.Errorf("%s does not fit the state of the connection of client %d", o, c+1)
	}
	if o < lifemodel.HostGarbles && o != lifemodel.HostEnds && conn.established {
		return fmt.Errorf("the connection of client %d is established already", c+1)
	}
	if o != HostLine {
		w.record(o, c, g, 0)
		w.trace("%s, request %d: %s", conn.server, c+1, o)
	}
	ended := func(outcome balance.Outcome, clean bool, end rules.AttemptEnd, line string) {
		conn.mayReportLate = conn.sent // the host may still report on the attempt
		conn.markClosed()
		w.Rules.HostEnded(conn.id, end)
		conn.ref.Ended(outcome, clean, balance.Report{}, []byte(line))
	}
	switch o {
	case lifemodel.Connect:
		if w.config.Bug == "drained-dial" || conn.ref.AllowSend() {
			conn.sent = true
			w.Rules.Sent(w.now, conn.id)
		}
	case lifemodel.ConnectFails:
		ended(balance.Unreachable, false, rules.NoConnection, "")
	case lifemodel.HostUp:
		conn.established = true
		w.Rules.HostEstablished(conn.id)
		conn.ref.Established(fmt.Appendf(nil, "UP %d\r\n", conn.id))
	case lifemodel.HostServed:
		ended(balance.OK, true, rules.OtherEnd, "BYE\r\n")
	case lifemodel.HostFull:
		ended(balance.Full, true, rules.Busy, "")
	case lifemodel.HostError:
		ended(balance.Errored, true, rules.OtherEnd, "")
	case lifemodel.HostEnds:
		ended(balance.Reset, false, rules.OtherEnd, "")
	case lifemodel.HostGarbles:
		conn.ref.HostFaulty()
	case lifemodel.HostStalls:
		conn.ref.HostNotReading()
	case HostLine:
		w.trace("%s sends client %d a line", conn.server, c+1)
		conn.client.unansweredSince = 0
		w.lastLineAt[conn.server] = w.now
		if w.config.Bug == "reply-unheard" {
			return nil
		}
		conn.ref.HostLines(fmt.Appendf(nil, "line %d\r\n", conn.id))
	default:
		return fmt.Errorf("unknown step in a world: %s", o)
	}
	return nil
}

// sendRequest adds a client that sends a request.
func (w *World) sendRequest(c, g, class int) error {
	midFlow := class == MidFlow
	if midFlow {
		class = 0
	}
	if c != len(w.clients) || class >= len(w.config.Classes) {
		return fmt.Errorf("client %d cannot send a request now, or its class %d is unknown", c+1, class)
	}
	var inheritedFrom balance.ServerID
	if class == int(lifemodel.Inherited) {
		if g >= len(w.hosts) {
			return fmt.Errorf("there is no gateway %d", g+1)
		}
		inheritedFrom = w.hosts[g].Server
	}
	cl := &client{w: w, id: c, inherited: inheritedFrom != "", view: lifemodel.Asking}
	w.clients = append(w.clients, cl)
	timeout := w.config.ClientTimeout
	if inheritedFrom != "" {
		timeout = 40*time.Second + 10*time.Millisecond
	}
	w.record(lifemodel.Ask, c, g, class)
	w.trace("client %d sends a request, class %s %s", c+1, w.config.Classes[class], inheritedFrom)
	w.Rules.Arrived(w.now, c, w.config.Classes[class], inheritedFrom != "", timeout)
	w.schedule(w.now+timeout, func() {
		if cl.view == lifemodel.Asking {
			w.record(lifemodel.ClientTimeout, c, 0, 0)
			w.Rules.ClientTimedOut(w.now, c)
		}
	})
	cl.request = w.Core.Arrive(cl, balance.Arrival{Class: w.config.Classes[class], MidFlow: midFlow}, inheritedFrom, timeout)
	return nil
}

// passTime advances the clock and fires all timers that are due by then.
func (w *World) passTime(duration time.Duration) {
	until := w.now + duration
	for i := w.nextTimer(); i >= 0 && w.timers[i].at <= until; i = w.nextTimer() {
		w.fire(i)
	}
	w.now = until
	w.checkUnanswered()
}

// LinesSent returns how many lines a client has sent after its request.
func (w *World) LinesSent(c int) int { return w.clients[c].linesSent }

// AwaitsLine says whether a line of a client has no response yet.
func (w *World) AwaitsLine(c int) bool { return w.clients[c].unansweredSince > 0 }

// fireNext fires the next timer. Sweeps for unresponsive hosts have no effect while no client is served; then the timer
// after them fires too.
func (w *World) fireNext() error {
	for {
		i := w.nextTimer()
		if i < 0 {
			return fmt.Errorf("no timer is running")
		}
		t := w.timers[i]
		w.fire(i)
		if t.run != nil { // everything that the world itself does at one time is one step
			for i = w.nextTimer(); i >= 0 && w.timers[i].run != nil && w.timers[i].at == t.at; i = w.nextTimer() {
				w.fire(i)
			}
			return nil
		}
		if t.event.Kind != query.TimerSweep || w.anyServed() {
			return nil
		}
	}
}

func (w *World) anyServed() bool {
	for _, cl := range w.clients {
		if cl.view == lifemodel.Served {
			return true
		}
	}
	return false
}

// ScriptedBalancer is a balancer that takes the decisions that the script dictates.
type ScriptedBalancer struct{ actions []balance.Action }

// Handle implements query.Balancer.
func (s *ScriptedBalancer) Handle(time.Duration, balance.Event) []balance.Action {
	acts := s.actions
	s.actions = nil
	return acts
}

// decide makes the scripted balancer take a decision.
func (w *World) decide(o lifemodel.Op, client, g int) error {
	balancer, ok := w.config.Balancer.(*ScriptedBalancer)
	if !ok {
		return fmt.Errorf("%s: this world has no scripted balancer", o)
	}
	if client >= len(w.clients) || g >= len(w.hosts) {
		return fmt.Errorf("there is no client %d, or no gateway %d", client+1, g+1)
	}
	id := balance.RequestID(client + 1)
	switch o {
	case lifemodel.Place:
		balancer.actions = []balance.Action{balance.Place{Request: id, Server: w.hosts[g].Server, Timeout: w.config.ClientTimeout}}
	case lifemodel.Refuse:
		balancer.actions = []balance.Action{balance.Refuse{Request: id}}
	case lifemodel.GiveUp:
		balancer.actions = []balance.Action{balance.Fail{Request: id}}
	case lifemodel.Move:
		balancer.actions = []balance.Action{balance.Move{Request: id}}
	}
	w.Core.Fire(query.TimerEvent{Kind: query.TimerBalancer})
	return nil
}

// fireTimer fires a timer of a request even if others are due earlier: the traces of a model may have timers fire in any
// order.
func (w *World) fireTimer(kind query.TimerKind, c int) error {
	w.nextTimer()
	for i, t := range w.timers {
		if t.run == nil && t.event.Kind == kind && int(t.event.Request) == c+1 {
			w.fire(i)
			return nil
		}
	}
	return fmt.Errorf("client %d has no such timer running", c+1)
}

// reportLate makes a host report on an attempt that the node has already closed.
func (w *World) reportLate(o lifemodel.Op, c int) error {
	for _, conn := range w.conns {
		if conn.mayReportLate && conn.client.id == c {
			w.record(o, c, 0, 0)
			w.trace("%s speaks of an attempt of request %d that is closed", conn.server, c+1)
			if o == lifemodel.LateUp {
				conn.ref.Established(fmt.Appendf(nil, "UP %d\r\n", conn.id))
			} else {
				conn.ref.Ended(balance.Reset, false, balance.Report{}, nil)
			}
			return nil
		}
	}
	return fmt.Errorf("client %d has no closed attempt at a gateway", c+1)
}

func (w *World) answerProbe(arg int) error {
	if len(w.probes) == 0 {
		return fmt.Errorf("no probe is pending")
	}
	server := w.probes[0]
	w.probes = w.probes[1:]
	switch arg {
	case ProbeLost:
		w.Core.Probed(server, balance.TimedOut, 0, balance.Report{})
	case ProbeRefused:
		w.Core.Probed(server, balance.Unreachable, 0, balance.Report{})
	default:
		ratio := float64(arg) / 100
		w.Core.Probed(server, balance.OK, 0, balance.Report{Known: balance.HasRatio | balance.HasHeld, Ratio: ratio,
			Held: 20 * ratio})
	}
	return nil
}

// FullList is the argument of a notice that discovery sends as a full list rather than as a change.
const FullList = 1

// doHost takes a step of a host. Notices of discovery are passed to the node. A fault of the host itself is only recorded:
// the node sees its effects through the steps of the host's connections.
func (w *World) doHost(o lifemodel.Op, g, arg int) error {
	host := w.hosts[g]
	oldState := host.listedState
	restarted := false
	switch o {
	case lifemodel.LoseContact, lifemodel.RegainContact, lifemodel.Crash:
		w.record(o, 0, g, 0)
		return nil
	case lifemodel.Restart:
		host.unreportedRestarts++
		w.record(o, 0, g, 0)
		return nil
	case lifemodel.DrainExpires:
		w.now += w.config.Settings.Safety.DrainGrace + 100*time.Millisecond
		w.record(o, 0, g, 0)
		return nil
	case lifemodel.NotifyDrain:
		host.listedState = balance.Draining
	case lifemodel.NotifyReady:
		host.listedState = balance.Ready
	case lifemodel.NotifyGone:
		host.listedState = balance.Gone
	case lifemodel.NotifyRelisted:
		host.listedState = balance.Ready
		restarted = host.unreportedRestarts > 0
	case lifemodel.NotifyRestart:
		host.listedState, restarted = balance.Ready, true
	default:
		return fmt.Errorf("unknown step in a world: %s", o)
	}
	if o == lifemodel.NotifyRestart && host.unreportedRestarts == 0 { // the restart itself was not a step
		w.record(lifemodel.Crash, 0, g, 0)
		w.record(lifemodel.Restart, 0, g, 0)
	}
	if restarted {
		host.Started, host.unreportedRestarts = w.now, 0
	}
	host.State = host.listedState
	w.record(o, 0, g, 0)
	w.trace("discovery: %s, %s", host.Server, o)
	w.Rules.Listed(w.now, host.Listing)
	if oldState == balance.Ready && host.listedState != balance.Ready {
		w.startDrainLimit(g)
	}
	if w.config.Bug == "drain-lost" && o == lifemodel.NotifyDrain && w.hasConn(host.Server) {
		return nil
	}
	if arg == FullList {
		w.Core.List(balance.ListFull, w.fullList())
	} else {
		w.Core.List(balance.ListChanges, []balance.Listing{host.Listing})
	}
	return nil
}

// setSuspended makes operators take a host out of service or put it back.
func (w *World) setSuspended(suspended bool, g int) error {
	if g >= len(w.hosts) {
		return fmt.Errorf("there is no gateway %d", g+1)
	}
	server := w.hosts[g].Server
	w.trace("operators: %s is out: %v", server, suspended)
	w.Rules.Suspended(w.now, server, suspended)
	if suspended {
		w.Core.Suspend(server, w.now)
	} else {
		w.Core.Resume(server)
	}
	return nil
}

// fullList returns discovery's full list, which leaves out hosts that are gone.
func (w *World) fullList() (list []balance.Listing) {
	for _, host := range w.hosts {
		if host.listedState != balance.Gone {
			list = append(list, host.Listing)
		}
	}
	return list
}

func (w *World) hasConn(server balance.ServerID) bool {
	for _, conn := range w.conns {
		if conn.open && conn.server == server {
			return true
		}
	}
	return false
}

// startDrainLimit schedules the time from which the node must not send requests to a host any more, 50 ms before the drain
// grace ends.
func (w *World) startDrainLimit(g int) {
	host := w.hosts[g]
	host.drainCount++
	drainNumber := host.drainCount
	w.schedule(w.now+w.config.Settings.Safety.DrainGrace-50*time.Millisecond, func() {
		if host.listedState != balance.Ready && host.drainCount == drainNumber {
			w.record(lifemodel.DrainExpires, 0, g, 0)
			w.trace("the limit of %s has passed", host.Server)
		}
	})
}

// AnyWaiting says whether any client waits for its answer.
func (w *World) AnyWaiting() bool {
	for _, cl := range w.clients {
		if cl.view == lifemodel.Asking {
			return true
		}
	}
	return false
}

// Check checks what must hold between two steps.
func (w *World) Check() {
	w.Rules.CheckFinished(w.now)
	running := make([]map[query.TimerKind]bool, len(w.clients))
	for i := range running {
		running[i] = map[query.TimerKind]bool{}
	}
	for _, t := range w.timers {
		if !t.stopped && t.run == nil && t.event.Request > 0 {
			running[t.event.Request-1][t.event.Kind] = true
		}
	}
	for i, cl := range w.clients {
		if cl.request != nil && !w.stopped {
			w.checkClient(cl, running[i])
		}
	}
}

// checkClient checks that the state of a request, its timers, its connection and the events that the balancer got agree.
func (w *World) checkClient(cl *client, running map[query.TimerKind]bool) {
	state := cl.request.State()
	for _, check := range []struct {
		is, should bool
		yes, no    string // appended to the violation if "is" is true, and if it is false
	}{
		{cl.view == lifemodel.Asking, state.AwaitsAnswer(), "its client waits for an answer", "its client does not wait for an answer"},
		{cl.view == lifemodel.Served, state.Phase == lifecycle.Established, "its client is served", "its client is not served"},
		{cl.conn != nil, state.HasHostConn(), "a connection to a host is open", "no connection to a host is open"},
		{running[query.TimerDeadline], state.AwaitsAnswer(), "its deadline timer runs", "its deadline timer does not run"},
		{running[query.TimerAttempt], state.Phase == lifecycle.Trying, "a time-out of an attempt runs", "no time-out of its attempt runs"},
		{running[query.TimerRetry], state.Phase == lifecycle.Waiting && state.Inherited, "a pause between two attempts runs",
			"no pause between two attempts runs"},
	} {
		if check.is != check.should {
			w.Rules.AddViolation(w.now, fmt.Sprintf("request %d is %s, and %s", cl.id+1, state.Phase,
				map[bool]string{true: check.yes, false: check.no}[check.is]))
		}
	}
	if record := w.tap.records[balance.RequestID(cl.id+1)]; record != nil && record.pending != state.HasHostConn() {
		w.Rules.AddViolation(w.now, fmt.Sprintf("request %d is %s, and for the balancer an attempt is pending: %v", cl.id+1, state.Phase,
			record.pending))
	}
}

// Violations returns descriptions of the violations so far, in order.
func (w *World) Violations() []string { return w.Rules.Violations() }

// OnEvent sets a function that gets a description of each event that crosses an interface.
func (w *World) OnEvent(onEvent func(string)) { w.onEvent = onEvent }

// TakenSteps returns what happened since the last call, as steps of the model of the request lifecycle.
func (w *World) TakenSteps() []model.Step {
	taken := w.takenSteps
	w.takenSteps = nil
	return taken
}

// State returns the lifecycle state of a client's request, what the client has seen of it, the state of its connection to
// a host, and the index of that host, -1 for none.
func (w *World) State(c int) (lifecycle.State, lifemodel.ClientView, lifemodel.ConnState, int) {
	cl := w.clients[c]
	switch {
	case cl.conn == nil:
		return cl.request.State(), cl.view, lifemodel.NoConn, -1
	case cl.conn.sent:
		return cl.request.State(), cl.view, lifemodel.RequestSent, w.hostIndex(cl.conn.server)
	}
	return cl.request.State(), cl.view, lifemodel.Dialing, w.hostIndex(cl.conn.server)
}

// Clients returns how many clients have sent their requests.
func (w *World) Clients() int { return len(w.clients) }

// Elapsed returns how long the world has been running.
func (w *World) Elapsed() time.Duration { return w.now - startTime }

// Stopped says whether the node has stopped.
func (w *World) Stopped() bool { return w.stopped }

// ListedState returns the state of a host as discovery last reported it.
func (w *World) ListedState(g int) balance.State { return w.hosts[g].listedState }

// HasLateAttempt says whether a host may still report on an attempt of the client that the node has closed.
func (w *World) HasLateAttempt(c int) bool {
	for _, conn := range w.conns {
		if conn.mayReportLate && conn.client.id == c {
			return true
		}
	}
	return false
}
