// Package script runs the real query core in a simulated environment (a world): simulated clock, clients, connections to
// hosts and discovery. The caller makes one step at a time, and package rules checks all that crosses the core's
// interfaces. The steps are those of the model of the request lifecycle (package lifemodel), so that a trace of the model
// can be replayed on the running code, and the model can follow a run of the code. Steps and their errors call a host a
// gateway, as that package does.
package script

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/lifecycle"
	"lichenhitch/internal/query"
	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
	"lichenhitch/rehearsal/rules"
)

// The steps of a world that package lifemodel does not have.
const (
	// Advance advances the clock to the next timer, which fires.
	Advance lifemodel.Op = iota + 64
	// AnswerProbe answers the oldest pending probe; the argument is the host's load as a percentage of its capacity, or
	// one of the codes below.
	AnswerProbe
	// ClientLine is a line that a served client sends to its host, and HostLine one that the host sends back.
	ClientLine
	HostLine
	// Expire advances the clock, while nothing else happens, until the client has its answer, which is due by the client's
	// time limit.
	Expire
	// Pass advances the clock by the argument times PassUnit and fires all timers that are due by then.
	Pass
	// Suspend makes operators take a host out of service, and Resume makes them put it back.
	Suspend
	Resume
)

// PassUnit is the unit of the argument of Pass.
const PassUnit = 100 * time.Millisecond

// MidFlow is the argument of Ask for a connection whose packets another node has forwarded so far. It has the first class.
const MidFlow = 16

// How long a client may wait for the response to a line: while no line at all comes from its host, and in any case. The
// node's limits are 200 ms shorter, because its sweep for unresponsive hosts runs periodically.
const (
	unresponsiveLimit = lifecycle.UnresponsiveAfter + 200*time.Millisecond
	stuckLimit        = lifecycle.StuckAfter + 200*time.Millisecond
)

// Arguments of AnswerProbe for a probe that fails.
const (
	ProbeLost = 200 + iota
	ProbeRefused
)

// Config is the configuration of a world.
type Config struct {
	Hosts    int
	Settings balance.Settings
	Seed     uint64
	Balancer query.Balancer // nil: the real balancer
	Rule     query.StepFunc // nil: the rule with the injected bug, or the real one without a bug
	// OverrideSettings injects a bug: it changes the settings that the node applies, but not those that the rules check.
	// It may be nil.
	OverrideSettings func(*balance.Settings)
	// ReadyOnly makes the rules require of a given Balancer, as of the real one, that it places requests on ready hosts only.
	ReadyOnly     bool
	ClientTimeout time.Duration               // of each client
	Classes       []string                    // by the argument of Ask; lifemodel.Inherited is that of inherited connections
	Bug           string                      // name of the injected bug; here it concerns the rule, or the world itself
	Fleet         func(i int) balance.Listing // the listing of host i; nil: hosts of weight 1
}

// World is a query core with its simulated environment.
type World struct {
	Core       *query.Core
	Rules      *rules.Checker
	tap        *balancerTap
	now        time.Duration
	config     Config
	timerSeq   int
	timers     []*timer
	clients    []*client
	conns      []*hostConn
	hosts      []*host
	probes     []balance.ServerID
	takenSteps []model.Step                       // what happened, as steps of package lifemodel
	stopped    bool                               // the node has stopped
	lastLineAt map[balance.ServerID]time.Duration // when a line last came from a host
	sweeping   bool                               // the sweep for unresponsive hosts is under way
	onEvent    func(string)                       // gets a description of each event that crosses an interface; may be nil
}

// startTime is the time at which worlds begin. The time of a query.Clock is never 0.
const startTime = time.Hour

type timer struct {
	w       *World
	at      time.Duration
	seq     int
	event   query.TimerEvent
	run     func() // an action of the world itself; nil: the timer is the core's
	stopped bool
}

func (t *timer) Stop() { t.stopped = true }

type host struct {
	balance.Listing
	listedState        balance.State
	drainCount         int // number of drains so far
	unreportedRestarts int // restarts that discovery has not reported yet
}

// New returns a world whose hosts are all listed and ready.
func New(config Config) *World {
	w := &World{now: startTime, config: config, lastLineAt: map[balance.ServerID]time.Duration{}}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	balancer, rule, nodeSettings := config.Balancer, config.Rule, config.Settings
	if config.OverrideSettings != nil {
		config.OverrideSettings(&nodeSettings)
	}
	if balancer == nil {
		balancer = balance.New(nodeSettings, config.Seed)
	}
	if rule == nil {
		rule = lifemodel.RuleWithBug(config.Bug)
	}
	w.Rules = rules.New(rules.Limits{Start: startTime, DrainGrace: config.Settings.Safety.DrainGrace + 50*time.Millisecond,
		MaxAttempts: max(1, config.Settings.MaxAttempts), ReadyOnly: config.Balancer == nil || config.ReadyOnly}, config.Settings.Classes)
	w.tap = &balancerTap{w, balancer, map[balance.RequestID]*requestRecord{}}
	w.Core = query.NewWith(logger, w, nodeSettings, w.tap, rule)
	w.Core.Connect(w, w)
	var listings []balance.Listing
	for i := range config.Hosts {
		listing := balance.Listing{Server: balance.ServerID(fmt.Sprint("g", i+1)), Weight: 1}
		if config.Fleet != nil {
			listing = config.Fleet(i)
		}
		w.hosts = append(w.hosts, &host{Listing: listing})
		listings = append(listings, listing)
		w.Rules.Listed(w.now, listing)
	}
	w.Core.List(balance.ListSaved, listings)
	return w
}

// balancerTap passes events on to a balancer, checks them, and records the balancer's decisions.
type balancerTap struct {
	w       *World
	inner   query.Balancer
	records map[balance.RequestID]*requestRecord
}

// requestRecord is what the balancer must know of a request from the events that it got.
type requestRecord struct {
	attempts int  // started so far
	pending  bool // an attempt is pending or its connection is established
	departed bool
}

// checkEvent checks that the events that the balancer gets are consistent: one end for each attempt, and no events of
// attempts that do not exist.
func (t *balancerTap) checkEvent(ev balance.Event) {
	addViolation := func(id balance.RequestID, what string) {
		t.w.Rules.AddViolation(t.w.now, fmt.Sprintf("the balancer gets an event of request %d: %s", id, what))
	}
	switch e := ev.(type) {
	case balance.Arrival:
		if t.records[e.Request] != nil {
			addViolation(e.Request, "its arrival, a second time")
		}
		t.records[e.Request] = &requestRecord{}
	case balance.Inherited:
		t.records[e.Request] = &requestRecord{attempts: 1, pending: true}
	case balance.Established:
		if record := t.records[e.Request]; record == nil || !record.pending || e.Attempt != record.attempts-1 {
			addViolation(e.Request, "the establishment of an attempt that is not pending")
		}
	case balance.Ended:
		record := t.records[e.Request]
		if record == nil || !record.pending || e.Attempt != record.attempts-1 {
			addViolation(e.Request, "the end of an attempt that is not pending")
			return
		}
		if t.w.clients[e.Request-1].conn != nil {
			addViolation(e.Request, "the end of an attempt that is still open")
		}
		record.pending = false
	case balance.Departed:
		if record := t.records[e.Request]; record == nil || record.departed {
			addViolation(e.Request, "its client's departure, for an unknown request or a second time")
		} else {
			record.departed = true
		}
	}
}

// Handle implements query.Balancer.
func (t *balancerTap) Handle(now time.Duration, ev balance.Event) []balance.Action {
	t.checkEvent(ev)
	acts := t.inner.Handle(now, ev)
	for _, a := range acts {
		switch a := a.(type) {
		case balance.Place:
			if record := t.records[a.Request]; record != nil {
				record.attempts++
				record.pending = true
			}
			t.w.record(lifemodel.Place, int(a.Request)-1, t.w.hostIndex(a.Server), 0)
			t.w.trace("the balancer places request %d on %s for %v", a.Request, a.Server, a.Timeout)
		case balance.Refuse:
			t.w.record(lifemodel.Refuse, int(a.Request)-1, 0, 0)
			t.w.trace("the balancer refuses request %d", a.Request)
		case balance.Fail:
			t.w.record(lifemodel.GiveUp, int(a.Request)-1, 0, 0)
			t.w.trace("the balancer gives request %d up", a.Request)
		case balance.Move:
			t.w.record(lifemodel.Move, int(a.Request)-1, 0, 0)
			t.w.trace("the balancer moves request %d", a.Request)
		}
	}
	return acts
}

func (w *World) trace(format string, args ...any) {
	if w.onEvent != nil {
		w.onEvent(fmt.Sprintf(format, args...))
	}
}

// record records a step for the model of the request lifecycle to follow.
func (w *World) record(o lifemodel.Op, c, g, arg int) {
	w.takenSteps = append(w.takenSteps, lifemodel.Code(o, c, g, arg))
}

func (w *World) hostIndex(server balance.ServerID) int {
	for i, h := range w.hosts {
		if h.Server == server {
			return i
		}
	}
	return -1
}

// Now implements query.Clock.
func (w *World) Now() time.Duration { return w.now }

// After implements query.Clock.
func (w *World) After(delay time.Duration, event query.TimerEvent) query.Timer {
	t := &timer{w: w, at: w.now + max(delay, 0), seq: w.timerSeq, event: event}
	w.timerSeq++
	w.timers = append(w.timers, t)
	return t
}

// schedule schedules an action of the world itself. It runs before the core's timers of the same time.
func (w *World) schedule(at time.Duration, run func()) {
	w.timers = append(w.timers, &timer{w: w, at: at, seq: -1, run: run})
}

// nextTimer removes stopped timers and returns the index of the timer that fires next, or -1.
func (w *World) nextTimer() int {
	first := -1
	running := w.timers[:0]
	for _, t := range w.timers {
		if !t.stopped {
			running = append(running, t)
		}
	}
	clear(w.timers[len(running):])
	w.timers = running
	for i, t := range w.timers {
		if first < 0 || t.at < w.timers[first].at || t.at == w.timers[first].at && t.seq < w.timers[first].seq {
			first = i
		}
	}
	return first
}

// fire removes a timer, advances the clock to its time and lets it fire.
func (w *World) fire(i int) {
	t := w.timers[i]
	w.timers = append(w.timers[:i], w.timers[i+1:]...)
	w.now = max(w.now, t.at)
	if t.run != nil {
		t.run()
		return
	}
	client := int(t.event.Request) - 1
	switch t.event.Kind {
	case query.TimerDeadline:
		w.record(lifemodel.DeadlineFires, client, 0, 0)
		w.trace("the deadline timer of request %d fires", client+1)
	case query.TimerAttempt:
		w.record(lifemodel.AttemptTimeout, client, 0, 0)
		w.trace("the attempt of request %d times out", client+1)
	case query.TimerRetry:
		w.record(lifemodel.RetryInherited, client, 0, 0)
	}
	if w.sweeping = t.event.Kind == query.TimerSweep; w.sweeping && w.config.Bug == "watch-asleep" {
		w.sweeping = false
		return
	}
	w.Core.Fire(t.event)
	w.sweeping = false
}

// hostUnresponsive says whether any client of the same host has waited for lifecycle.UnresponsiveAfter without a line from
// that host.
func (w *World) hostUnresponsive(cl *client) bool {
	for _, other := range w.clients {
		if other.unansweredSince > 0 && other.server == cl.server && w.now-other.unansweredSince >= lifecycle.UnresponsiveAfter &&
			w.lastLineAt[other.server] < other.unansweredSince {
			return true
		}
	}
	return false
}

// checkUnanswered checks that no client stays with a host that does not respond.
func (w *World) checkUnanswered() {
	for _, cl := range w.clients {
		if cl.view != lifemodel.Served || cl.unansweredSince == 0 {
			continue
		}
		waited := w.now - cl.unansweredSince
		if waited > stuckLimit || waited > unresponsiveLimit && w.lastLineAt[cl.server] < cl.unansweredSince {
			w.Rules.AddViolation(w.now, fmt.Sprintf("client %d has had no line from its host for %v, and is not moved", cl.id+1, waited))
		}
	}
}

// Probe implements query.Servers.
func (w *World) Probe(server balance.ServerID) {
	w.Rules.Probed(w.now, server)
	w.probes = append(w.probes, server)
}

// Subscribe implements query.Group.
func (w *World) Subscribe() {}

// Attempt implements query.Servers.
func (w *World) Attempt(ref query.AttemptRef, server balance.ServerID, _ time.Duration) query.Attempt {
	conn := &hostConn{w: w, id: len(w.conns), ref: ref, client: ref.Client().(*client), server: server, open: true}
	w.conns = append(w.conns, conn)
	w.Rules.AttemptStarted(w.now, conn.id, conn.client.id, server)
	w.trace("a connection to %s is opened for request %d", server, conn.client.id+1)
	conn.client.conn, conn.client.server = conn, server
	return conn
}

// hostConn is a connection to a host.
type hostConn struct {
	w             *World
	id            int
	ref           query.AttemptRef
	client        *client
	server        balance.ServerID
	sent          bool
	open          bool
	established   bool
	mayReportLate bool // the connection is closed, and the host may still report on the attempt
}

// Forward implements query.Attempt.
func (conn *hostConn) Forward([]byte) { conn.w.Rules.Forwarded(conn.w.now, conn.id, conn.client.id) }

// End implements query.Attempt.
func (conn *hostConn) End(bool) {
	if conn.open {
		conn.w.trace("the connection of request %d to %s is closed", conn.client.id+1, conn.server)
		conn.mayReportLate = conn.sent
	}
	conn.markClosed()
	conn.w.Rules.Closed(conn.id)
}

// Sent implements query.Attempt.
func (conn *hostConn) Sent() bool { return conn.sent }

// EndReceived implements query.Attempt. The simulated hosts send no final line before they close.
func (conn *hostConn) EndReceived() bool { return false }

func (conn *hostConn) markClosed() {
	conn.open = false
	if conn.client.conn == conn {
		conn.client.conn = nil
	}
}

// client is a client with one request.
type client struct {
	w               *World
	id              int
	inherited       bool
	request         *query.Request
	view            lifemodel.ClientView
	server          balance.ServerID // host of the last connection
	conn            *hostConn        // nil: no connection is open
	linesSent       int              // after the request
	unansweredSince time.Duration    // time of the oldest line without a response; 0: none
}

func (c *client) recordAnswer(answer rules.Answer, connID int) {
	c.w.trace("client %d is answered %s", c.id+1, answer)
	c.w.Rules.Answered(c.w.now, c.id, answer, connID)
	if c.view == lifemodel.Asking {
		if c.view = lifemodel.Finished; answer == rules.Up {
			c.view = lifemodel.Served
		}
	}
}

// Established implements query.Client.
func (c *client) Established(answer []byte) {
	connID := -1
	_, _ = fmt.Sscanf(string(answer), "UP %d", &connID)
	c.recordAnswer(rules.Up, connID)
}

// Served implements query.Client.
func (c *client) Served([]byte) { c.recordAnswer(rules.Served, -1) }

// Throttle implements query.Client.
func (c *client) Throttle(time.Duration) { c.recordAnswer(rules.Throttled, -1) }

// Fail implements query.Client.
func (c *client) Fail() { c.recordAnswer(rules.Failed, -1) }

// Reject implements query.Client.
func (c *client) Reject(error) { c.recordAnswer(rules.Rejected, -1) }

// Forward implements query.Client.
func (c *client) Forward(line []byte) {
	connID := -1
	_, _ = fmt.Sscanf(string(line), "line %d", &connID)
	c.w.Rules.Forwarded(c.w.now, connID, c.id)
}

// Move implements query.Client.
func (c *client) Move() { c.recordEnd(true) }

// End implements query.Client.
func (c *client) End(bool) { c.recordEnd(false) }

func (c *client) recordEnd(move bool) {
	if move && c.w.sweeping {
		c.w.record(lifemodel.Move, c.id, 0, 0)
		stuck := c.unansweredSince > 0 && c.w.now-c.unansweredSince >= lifecycle.StuckAfter
		if !stuck && !c.w.hostUnresponsive(c) {
			c.w.Rules.AddViolation(c.w.now, fmt.Sprintf("client %d is moved from an unresponsive host, but its host has responded", c.id+1))
		}
	}
	c.w.trace("client %d is notified of the end of its connection, MOVE: %v", c.id+1, move)
	c.w.Rules.ClientEnded(c.w.now, c.id, move)
	if c.view == lifemodel.Served {
		c.view = lifemodel.Finished
	}
}
