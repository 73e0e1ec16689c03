// Package query holds the queries of clients from their arrival to their one final answer. It brings what happens to
// the balancer as events and carries the balancer's actions out. What each event means for a query is decided by the
// state machine of package lifecycle; this package keeps the data beside each state and carries the effects out. It knows
// neither sockets nor the platform's lines: clients, servers and the host group reach it, and are reached, through
// the interfaces here.
package query

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/lifecycle"
)

// Client is the client's side of a query.
type Client interface {
	// Up passes on the host's word that the connection stands.
	Established(answer []byte)
	// Served passes on the host's word that it has served the query to its end at once, and closes.
	Served(answer []byte)
	// Pass hands lines of the host on.
	Forward(lines []byte)
	// Throttle refuses: trying again is harmless, after a time if one is given.
	Throttle(after time.Duration)
	// Fail answers that the query was not served.
	Fail()
	// Reject answers that the client cannot be served as it speaks.
	Reject(reason error)
	// Move ends an open connection politely.
	Move()
	// End ends the connection as the host did: in good order or broken.
	End(clean bool)
}

// Attempt is the connection to a host that a try was given. It calls the try back until it has told its end or is
// closed. What it calls back later is without effect.
type Attempt interface {
	// Pass hands lines of the client on.
	Forward(lines []byte)
	// End gives the attempt up, or ends its connection as the client did.
	End(clean bool)
	// Over says whether the server has said its last word, which went on to the client.
	EndReceived() bool
	// Sent says whether the server may have received any of the request. What was never sent has not run.
	Sent() bool
}

// Servers makes attempts and probes.
type Servers interface {
	// Attempt sends a query to a server that is to answer within a time. It does not call the try back before it has
	// returned.
	Attempt(ref AttemptRef, server balance.ServerID, timeout time.Duration) Attempt
	// Probe asks a server for its report; the outcome comes by Core.Probed.
	Probe(server balance.ServerID)
}

// Group is the host group, whose changes come by Core.List.
type Group interface{ Subscribe() }

// Clock tells the time, which is never 0, and wakes.
type Clock interface {
	Now() time.Duration
	// After calls Core.Fire after a time. Of two calls that are due at once, the one asked for first comes first.
	After(delay time.Duration, event TimerEvent) Timer
}

// Timer is a call to come.
type Timer interface{ Stop() }

// Due says what a timer is for. It is plain data, so that a core's whole state can be read and compared.
type TimerEvent struct {
	Kind    TimerKind
	Request balance.RequestID // of DueGuard, DueAttempt and DueRetry
	Token   uint64            // of DueWake
}

// DueKind is a kind of timers.
type TimerKind uint8

// The kinds of timers.
const (
	TimerBalancer TimerKind = iota // the balancer asked to be woken
	TimerSweep                     // time to look for silent hosts
	TimerDeadline                  // a client's time is nearly up
	TimerAttempt                   // an attempt's time is over
	TimerRetry                     // the pause of an inherited connection is over
)

// Decider decides on servers, retries and refusals; see balance.Balancer.
type Balancer interface {
	Handle(now time.Duration, ev balance.Event) []balance.Action
}

// Rule is the state machine of a query's life; see lifecycle.Step.
type StepFunc func(lifecycle.State, lifecycle.Event) (lifecycle.State, lifecycle.Effects)

const (
	// answerMargin is how long before a client's time is up its answer is due: time to travel and to be read.
	answerMargin = 10 * time.Millisecond
	// guardAfter is how long after that the guard answers what the balancer holds too long. It must leave the balancer
	// its turn: the last attempt may run until the answer is due, and only the balancer knows whether a refusal is
	// harmless then.
	deadlineTimerDelay = answerMargin / 2
	// inheritedRetry is the pause between the tries at the host that holds an inherited connection.
	inheritedRetryInterval = 250 * time.Millisecond
	// inheritedWait is how long an inherited connection may take to come up. It is lost after 40 s anyway.
	inheritedTimeout = 40 * time.Second
	sweepInterval    = 100 * time.Millisecond
	// graceMargin is how long before the end of a drain's grace nothing more is written: the writing takes a moment.
	graceMargin = 50 * time.Millisecond
	// sendMargin is how long before its last moment a repeat is not written any more: its bytes take a moment to arrive.
	sendMargin = 50 * time.Millisecond
	// comeBack is when a client may come again that no decision was made for: the balancer held it too long, or the
	// node stops. It is shorter where clients heed only shorter advice.
	defaultRetryAfter = time.Second
)

// Core holds all queries and the balancer that decides on them. It is for the event loop only.
type Core struct {
	log          *slog.Logger
	clock        Clock
	balancer     Balancer
	stepFunc     StepFunc
	servers      Servers
	group        Group
	drainGrace   time.Duration // how long after a drain was told something may still be written
	retryAfter   time.Duration // the advice to those who are turned away without a decision
	requests     map[balance.RequestID]*Request
	lastID       balance.RequestID
	events       []balance.Event // that the balancer has not taken yet
	handling     bool
	lastReceived map[balance.ServerID]time.Duration // when a line last came from a host with open connections
	hosts        map[balance.ServerID]hostEntry
	bans         map[balance.ServerID]time.Duration // hosts out by hand, since when
	waiting      int                                // queries without a final answer
	restrictions restrictions                       // what the site's council allows, where there is one
	counter      *counter                           // nil where nothing is counted
}

// listed is what discovery has told of a host.
type hostEntry struct {
	listed        bool          // it is in the list, in whatever state
	ready         bool          // it takes new work
	drainingSince time.Duration // when it was first told that it takes none
	started       time.Duration // its start
	zone          string
	kind          string // of machine
}

// New returns a core that decides by balance and lives by lifecycle.Step. Connect must follow.
func New(log *slog.Logger, clock Clock, set balance.Settings, seed uint64) *Core {
	return NewWith(log, clock, set, balance.New(set, seed), lifecycle.Step)
}

// Build returns a core with a decider and a rule of one's own, for rehearsals. Connect must follow.
func NewWith(log *slog.Logger, clock Clock, set balance.Settings, balancer Balancer, stepFunc StepFunc) *Core {
	c := &Core{log: log, clock: clock, balancer: balancer, stepFunc: stepFunc,
		requests: make(map[balance.RequestID]*Request), lastReceived: make(map[balance.ServerID]time.Duration),
		hosts: make(map[balance.ServerID]hostEntry), bans: make(map[balance.ServerID]time.Duration)}
	c.applySettings(set)
	return c
}

func (c *Core) applySettings(set balance.Settings) {
	c.drainGrace = set.Safety.DrainGrace - graceMargin
	c.retryAfter = min(defaultRetryAfter, set.MaxRetryAfter)
}

// Retune takes new settings up for what comes from now on. Queries that have come keep the rules they came under.
func (c *Core) ApplySettings(set balance.Settings) {
	c.applySettings(set)
	c.feed(balance.SettingsChanged{Settings: set})
}

// Connect gives the core its servers and its host group, and starts it.
func (c *Core) Connect(servers Servers, group Group) {
	c.servers, c.group = servers, group
	c.clock.After(sweepInterval, TimerEvent{Kind: TimerSweep})
}

// Owed returns how many queries wait for their final answer.
func (c *Core) Waiting() int { return c.waiting }

// Standing returns how many connections stand.
func (c *Core) Established() int {
	n := 0
	for _, r := range c.requests {
		if r.state.Phase == lifecycle.Established {
			n++
		}
	}
	return n
}

// oldest returns the oldest connections that stand, so many of them.
func (c *Core) oldest(n int) (all []*Request) {
	for _, r := range c.requests {
		if r.state.Phase == lifecycle.Established {
			all = append(all, r)
		}
	}
	sortByArrival(all)
	return all[:min(n, len(all))]
}

// Ease moves the clients of the oldest connections that stand, so many of them: the node is to be emptied.
func (c *Core) MoveOldest(n int) {
	for _, r := range c.oldest(n) {
		r.step(lifecycle.Event{Kind: lifecycle.Move}, &eventData{outcome: balance.Cancelled})
	}
}

// Carry offers the oldest connections that stand, so many of them, to another process of the node. What take says yes
// to is over here, and neither of its ends is touched any more.
func (c *Core) HandOverOldest(n int, take func(Client, Attempt, balance.Arrival, balance.ServerID) bool) {
	for _, r := range c.oldest(n) {
		if take(r.client, r.attempt, r.arrival, r.server) {
			r.step(lifecycle.Event{Kind: lifecycle.HandOver}, &eventData{outcome: balance.Cancelled})
		}
	}
}

// Adopt carries on a connection that stood at a server through another process of the node. attach gives the attempt
// its try.
func (c *Core) Adopt(client Client, a balance.Arrival, server balance.ServerID, attempt Attempt, attach func(AttemptRef)) *Request {
	c.lastID++
	a.Request = c.lastID
	r := &Request{core: c, client: client, arrival: a, inheritedHost: server, server: server, attempt: attempt,
		attemptStart: c.clock.Now()}
	c.requests[a.Request] = r
	attach(AttemptRef{r, 1})
	r.step(lifecycle.Event{Kind: lifecycle.Adopt}, &eventData{})
	return r
}

// List brings news of the host group.
func (c *Core) List(kind balance.ListKind, entries []balance.Listing) {
	if kind != balance.ListFailed {
		c.updateHosts(kind, entries)
	}
	c.feed(balance.ServerList{Kind: kind, Entries: entries})
}

// learn takes note of which hosts may not be sent anything soon.
func (c *Core) updateHosts(kind balance.ListKind, entries []balance.Listing) {
	now := c.clock.Now()
	if kind != balance.ListChanges {
		missing := make(map[balance.ServerID]bool, len(c.hosts))
		for server := range c.hosts {
			missing[server] = true
		}
		for _, e := range entries {
			delete(missing, e.Server)
		}
		for server := range missing {
			c.updateHost(balance.Listing{Server: server, State: balance.Gone}, now)
		}
	}
	for _, e := range entries {
		c.updateHost(e, now)
	}
	for server, entry := range c.hosts { // one that has left for so long is not going to be asked for any more
		if !entry.listed && now-entry.drainingSince > inheritedTimeout {
			delete(c.hosts, server)
		}
	}
}

// hear takes note of one entry of the list.
func (c *Core) updateHost(e balance.Listing, now time.Duration) {
	last, known := c.hosts[e.Server]
	entry := hostEntry{listed: e.State != balance.Gone, ready: e.State == balance.Ready, drainingSince: now, started: e.Started, zone: e.Zone,
		kind: e.Kind}
	if !entry.listed {
		entry.started = last.started
	}
	if known && !last.ready && !entry.ready && last.started == entry.started {
		entry.drainingSince = last.drainingSince // still the same drain
	}
	c.hosts[e.Server] = entry
}

// Names says whether a host is known: it is listed, was until a moment ago, or is out by hand.
func (c *Core) KnowsHost(server balance.ServerID) bool {
	_, listed := c.hosts[server]
	_, banned := c.bans[server]
	return listed || banned
}

// Suspend takes a host out by hand: nothing new goes there, and its clients are moved, until Resume. since is the time
// of the call, from which the grace counts. Twice is once.
func (c *Core) Suspend(server balance.ServerID, since time.Duration) {
	if _, banned := c.bans[server]; !banned {
		c.bans[server] = since
		if !c.restrictions.suspended[server] {
			c.feed(balance.Suspend{Server: server})
		}
	}
}

// Resume takes a Suspend back. A host that the council has out too stays out.
func (c *Core) Resume(server balance.ServerID) {
	if _, banned := c.bans[server]; banned {
		delete(c.bans, server)
		if !c.restrictions.suspended[server] {
			c.feed(balance.Resume{Server: server})
		}
	}
}

// Suspended returns the hosts that are out by hand.
func (c *Core) Suspended() []balance.ServerID { return sortedKeys(c.bans) }

func sortedKeys[V any](set map[balance.ServerID]V) []balance.ServerID {
	return slices.Sorted(maps.Keys(set))
}

// Fellows tells how many other processes of this node place queries too.
func (c *Core) SetSiblingProcesses(n int) { c.feed(balance.SiblingProcesses{Processes: n}) }

// drained says whether nothing may be sent to a host any more.
func (c *Core) drained(server balance.ServerID) bool {
	if since, banned := c.bans[server]; banned && c.clock.Now()-since >= c.drainGrace {
		return true
	}
	entry, known := c.hosts[server]
	return known && !entry.ready && c.clock.Now()-entry.drainingSince >= c.drainGrace
}

// Probed brings the outcome of a probe.
func (c *Core) Probed(server balance.ServerID, outcome balance.Outcome, took time.Duration, report balance.Report) {
	c.feed(balance.Probed{Server: server, Outcome: outcome, Took: took, Report: report})
}

// Fire brings a timer that came due.
func (c *Core) Fire(event TimerEvent) {
	switch event.Kind {
	case TimerBalancer:
		c.feed(balance.TimerFired{Token: event.Token})
	case TimerSweep:
		c.sweep()
	default:
		if r := c.requests[event.Request]; r != nil {
			r.timerFired(event.Kind)
		}
	}
}

// feed brings an event to the balancer and carries out what it answers. Events that come up on the way wait
// their turn, so that the balancer sees them in order and actions are carried out in order.
func (c *Core) feed(ev balance.Event) {
	c.events = append(c.events, ev)
	if c.handling {
		return
	}
	c.handling = true
	for i := 0; i < len(c.events); i++ {
		ev := c.events[i]
		c.events[i] = nil
		for _, a := range c.balancer.Handle(c.clock.Now(), ev) {
			c.carryOut(a)
		}
	}
	c.events = c.events[:0]
	c.handling = false
}

func (c *Core) carryOut(a balance.Action) {
	switch a := a.(type) {
	case balance.Place:
		c.syncWithheld()
		if r := c.find(a.Request, a); r != nil {
			r.step(lifecycle.Event{Kind: lifecycle.Place}, &eventData{server: a.Server, timeout: a.Timeout, sendBy: a.SendBy})
		}
	case balance.Refuse:
		if r := c.find(a.Request, a); r != nil {
			r.step(lifecycle.Event{Kind: lifecycle.Refuse}, &eventData{retryAfter: a.RetryAfter})
		}
	case balance.Fail:
		if r := c.find(a.Request, a); r != nil {
			r.step(lifecycle.Event{Kind: lifecycle.GiveUp}, &eventData{})
		}
	case balance.Move:
		if r := c.requests[a.Request]; r != nil {
			r.step(lifecycle.Event{Kind: lifecycle.Move}, &eventData{outcome: balance.Cancelled})
		}
	case balance.SetTimer:
		c.clock.After(a.After, TimerEvent{Kind: TimerBalancer, Token: a.Token})
	case balance.Probe:
		c.servers.Probe(a.Server)
	case balance.Subscribe:
		c.group.Subscribe()
	default:
		c.log.Warn("the balancer asked for what a node does not do", "action", a)
	}
}

// find returns the query that an action is for.
func (c *Core) find(id balance.RequestID, a balance.Action) *Request {
	r := c.requests[id]
	if r == nil {
		c.log.Warn("the balancer decided on a query that is over", "request", id, "action", a)
	}
	return r
}

// Query is one query of a client.
type Request struct {
	core          *Core
	client        Client
	arrival       balance.Arrival
	inheritedHost balance.ServerID // the host of an inherited connection
	state         lifecycle.State
	answerDue     time.Duration // when its answer is due
	server        balance.ServerID
	attempt       Attempt
	attemptStart  time.Duration
	sendBy        time.Duration // when the attempt that is out may not be sent any more; 0: at any time
	responseWatch lifecycle.ResponseWatch
	deadlineTimer Timer // of the deadline
	attemptTimer  Timer // of the attempt's time-out, or of the pause before the next
}

// news is what came with an event: as much of it as the event's kind has.
type eventData struct {
	outcome    balance.Outcome // how the attempt that is out ended, if the event ends it
	report     balance.Report
	clean      bool             // a connection ended in good order
	answer     []byte           // what the host answered
	reason     error            // what is wrong with the client
	server     balance.ServerID // where the balancer wants an attempt, and for how long at most
	timeout    time.Duration
	sendBy     time.Duration // when it may not be sent any more; 0: at any time
	retryAfter time.Duration // the balancer's advice when to come again
}

// Arrive takes a client's query. The client waits for d; a query with a server belongs to a connection that
// was open there before, and goes nowhere else.
func (c *Core) Arrive(client Client, a balance.Arrival, inheritedHost balance.ServerID, wait time.Duration) *Request {
	c.lastID++
	a.Request = c.lastID
	a.TimeLeft = max(wait-answerMargin, 0)
	e := lifecycle.Event{Kind: lifecycle.Arrive}
	if inheritedHost != "" {
		a.TimeLeft = inheritedTimeout
		e.Kind = lifecycle.ArriveInherited
	}
	c.syncWithheld()
	r := &Request{core: c, client: client, arrival: a, inheritedHost: inheritedHost, answerDue: c.clock.Now() + a.TimeLeft}
	c.requests[a.Request] = r
	c.waiting++
	r.step(e, &eventData{})
	return r
}

// Client returns the client's side.
func (r *Request) Client() Client { return r.client }

// Left returns how much longer the client of a query waits.
func (r *Request) TimeLeft() time.Duration { return r.answerDue - r.core.clock.Now() }

// State returns where the query stands.
func (r *Request) State() lifecycle.State { return r.state }

// step brings an event to the state machine and carries out what it answers. The balancer, which may answer with a
// further step of the same query, is told last.
func (r *Request) step(e lifecycle.Event, data *eventData) {
	prev := r.state
	next, effects := r.core.stepFunc(prev, e)
	r.state = next
	if prev.AwaitsAnswer() && !next.AwaitsAnswer() {
		r.core.waiting--
	}
	if n := r.core.counter; n != nil {
		n.recordStep(r, prev, e.Kind, &effects, data)
	}
	for i := range effects.Len() {
		r.carryOut(effects.At(i), e.Kind, data)
	}
}

func (r *Request) carryOut(effect lifecycle.Effect, kind lifecycle.Kind, data *eventData) {
	c := r.core
	switch effect {
	case lifecycle.StartDeadline:
		r.deadlineTimer = c.clock.After(r.TimeLeft()+deadlineTimerDelay, TimerEvent{Kind: TimerDeadline, Request: r.arrival.Request})
	case lifecycle.StopDeadline:
		r.deadlineTimer.Stop()
	case lifecycle.SendAttempt:
		r.send(data)
	case lifecycle.StopTimer:
		r.attemptTimer.Stop()
	case lifecycle.StartRetryPause:
		r.attemptTimer = c.clock.After(inheritedRetryInterval, TimerEvent{Kind: TimerRetry, Request: r.arrival.Request})
	case lifecycle.CloseAttempt:
		r.attempt.End(true)
	case lifecycle.EndAttempt:
		r.attempt.End(data.clean)
	case lifecycle.AnswerEstablished:
		r.client.Established(data.answer)
	case lifecycle.AnswerServed:
		r.client.Served(data.answer)
	case lifecycle.AnswerThrottle:
		r.client.Throttle(data.retryAfter)
	case lifecycle.AnswerFail:
		r.client.Fail()
	case lifecycle.AnswerError:
		r.client.Reject(data.reason)
	case lifecycle.MoveClient:
		if r.attempt != nil && r.attempt.EndReceived() {
			r.client.End(true) // it has its last word
		} else {
			r.client.Move()
		}
	case lifecycle.EndClient:
		r.client.End(data.clean)
	case lifecycle.Forget:
		delete(c.requests, r.arrival.Request)
	case lifecycle.LogUnexpected:
		c.log.Warn("an event without a place in a query's life", "event", kind.String(), "phase", r.state.Phase.String(),
			"attempts", r.state.Attempts)
	default:
		r.notify(effect, data)
	}
	if effect.Answers() && kind == lifecycle.Deadline {
		c.log.Warn("a query was overdue", "class", r.arrival.Class, "attempts", r.state.Attempts)
	}
}

// tell brings what the balancer is to know.
func (r *Request) notify(effect lifecycle.Effect, data *eventData) {
	c, id := r.core, r.arrival.Request
	switch effect {
	case lifecycle.NotifyArrival:
		c.feed(r.arrival)
	case lifecycle.NotifyInherited:
		c.feed(balance.Inherited{Arrival: r.arrival, Server: r.inheritedHost})
	case lifecycle.NotifyEstablished:
		c.feed(balance.Established{Request: id, Attempt: r.attemptNumber(), Took: c.clock.Now() - r.attemptStart})
	case lifecycle.NotifyDeparted:
		c.feed(balance.Departed{Request: id})
	case lifecycle.NotifyEnded, lifecycle.NotifyOver:
		c.feed(balance.Ended{Request: id, Attempt: r.attemptNumber(), Outcome: data.outcome, Took: c.clock.Now() - r.attemptStart,
			Final: effect == lifecycle.NotifyOver, Report: data.report})
	}
}

// number is the number of the attempt that is out, as the balancer counts: for it, an inherited connection has one
// attempt, however many tries it took to stand.
func (r *Request) attemptNumber() int {
	if r.state.Inherited {
		return 0
	}
	return int(r.state.Attempts) - 1
}

// send makes an attempt. No other is out: the balancer places anew only when the last has ended, and what ended was
// closed first.
func (r *Request) send(data *eventData) {
	server, timeout := r.inheritedHost, r.TimeLeft()
	if r.inheritedHost == "" {
		server, timeout = data.server, min(data.timeout, timeout)
	}
	r.server, r.attemptStart, r.sendBy = server, r.core.clock.Now(), data.sendBy
	r.attemptTimer = r.core.clock.After(timeout, TimerEvent{Kind: TimerAttempt, Request: r.arrival.Request})
	r.attempt = r.core.servers.Attempt(AttemptRef{r, r.state.Attempts}, server, timeout)
}

// wake takes a timer of the query's own that came due.
func (r *Request) timerFired(kind TimerKind) {
	switch kind {
	case TimerDeadline:
		r.step(lifecycle.Event{Kind: lifecycle.Deadline}, &eventData{outcome: balance.TimedOut, retryAfter: r.core.retryAfter})
	case TimerAttempt:
		r.step(lifecycle.Event{Kind: lifecycle.AttemptTimedOut, Attempt: r.state.Attempts}, &eventData{outcome: r.timeoutOutcome()})
	case TimerRetry:
		r.step(lifecycle.Event{Kind: lifecycle.Retry}, &eventData{})
	}
}

// lateOutcome is how an attempt ended whose time is over. One whose connection never came up proves that nothing ran.
func (r *Request) timeoutOutcome() balance.Outcome {
	if r.attempt.Sent() {
		return balance.TimedOut
	}
	return balance.Unreachable
}

// Try is one attempt of a query, as its backend connection knows it. What is told of a try that is over has no effect.
type AttemptRef struct {
	request *Request
	number  uint16
}

// Client returns the client's side of the try's query.
func (t AttemptRef) Client() Client { return t.request.client }

func (t AttemptRef) step(kind lifecycle.Kind, data *eventData) {
	t.request.step(lifecycle.Event{Kind: kind, Attempt: t.number}, data)
}

// stands says whether the try is the one that stands.
func (t AttemptRef) isEstablished() bool {
	return t.request.state.Phase == lifecycle.Established && t.request.state.Attempts == t.number
}

// Open asks, just before the first line is written, whether the host may still be sent anything. Where not, the try is
// over when Open returns.
func (t AttemptRef) AllowSend() bool {
	if c := t.request.core; c.drained(t.request.server) || c.withheld(t.request.server) || t.request.sendWindowOver() {
		t.step(lifecycle.HostDrainExpired, &eventData{outcome: balance.Unsent})
		return false
	}
	return true
}

// expired says whether a repeat would come after the time within which it is dropped.
func (r *Request) sendWindowOver() bool {
	return r.sendBy > 0 && r.core.clock.Now() >= r.sendBy-sendMargin
}

// Up says that the connection stands, with the host's own word for the client.
func (t AttemptRef) Established(answer []byte) {
	t.step(lifecycle.HostEstablished, &eventData{answer: answer})
}

// Lines passes lines of the host on.
func (t AttemptRef) HostLines(lines []byte) {
	if t.isEstablished() {
		r := t.request
		r.responseWatch.HostAnswered()
		r.core.lastReceived[r.server] = r.core.clock.Now()
		r.client.Forward(lines)
	}
}

// Load tells the load of the connection, in microseconds of work a second.
func (t AttemptRef) LoadChanged(load float64) {
	if t.isEstablished() {
		t.request.core.feed(balance.LoadChanged{Request: t.request.arrival.Request, Load: load})
	}
}

// Ended says that the host ended the try, or that it never came up; word is what it said last, where that is for the
// client.
func (t AttemptRef) Ended(outcome balance.Outcome, clean bool, report balance.Report, answer []byte) {
	kind := lifecycle.HostEnded
	if outcome == balance.OK {
		kind = lifecycle.HostServed
	}
	t.step(kind, &eventData{outcome: outcome, clean: clean, report: report, answer: answer})
}

// Faulty says that the host sent what cannot be passed on. The host still answers, so that a client that was served is
// moved, not cut off.
func (t AttemptRef) HostFaulty() { t.step(lifecycle.HostFaulty, &eventData{outcome: balance.Errored}) }

// Behind says that the host does not take what the client sends, at the speed at which it is sent. The host may be
// sound and still answer: the client is moved, and nothing is held against the host.
func (t AttemptRef) HostNotReading() {
	t.step(lifecycle.HostNotReading, &eventData{outcome: balance.Cancelled})
}

// ClientLines passes lines of the client on.
func (r *Request) ClientLines(lines []byte) {
	if r.state.Phase == lifecycle.Established {
		r.responseWatch.LineSent(r.core.clock.Now())
		r.attempt.Forward(lines)
	}
}

// ClientGone says that the client has left.
func (r *Request) ClientGone(clean bool) {
	r.step(lifecycle.Event{Kind: lifecycle.ClientGone}, &eventData{outcome: balance.Cancelled, clean: clean})
}

// ClientFaulty says that the client spoke out of turn or sent what cannot be passed on. One that waits is told why it
// is not served; one that is served is moved.
func (r *Request) ClientFaulty(reason error) {
	r.step(lifecycle.Event{Kind: lifecycle.ClientFaulty}, &eventData{outcome: balance.Cancelled, reason: reason})
}

// Leave ends everything, since the node stops: whoever waits gets an answer, and the clients of open connections are
// moved, unless packets pass through and carry these connections over.
func (c *Core) Shutdown(passThrough bool) {
	var all []*Request
	for _, r := range c.requests {
		if r.state.AwaitsAnswer() || !passThrough {
			all = append(all, r)
		}
	}
	sortByArrival(all)
	for _, r := range all {
		r.step(lifecycle.Event{Kind: lifecycle.NodeStopping}, &eventData{outcome: balance.Cancelled, retryAfter: c.retryAfter})
	}
}

// inOrder sorts queries by their arrival, so that a run can be played again.
func sortByArrival(list []*Request) {
	slices.SortFunc(list, func(a, b *Request) int { return cmp.Compare(a.arrival.Request, b.arrival.Request) })
}

// sweep moves the clients whose host has fallen silent. It guards against a host that vanished: its connections
// stay open, and nothing but the missing lines tells.
func (c *Core) sweep() {
	c.clock.After(sweepInterval, TimerEvent{Kind: TimerSweep})
	c.syncWithheld()
	now := c.clock.Now()
	unresponsive, inUse := make(map[balance.ServerID]bool), make(map[balance.ServerID]bool)
	for _, r := range c.requests {
		if r.state.Phase != lifecycle.Established {
			continue
		}
		inUse[r.server] = true
		if r.responseWatch.HostUnresponsive(c.lastReceived[r.server], now) {
			unresponsive[r.server] = true
		}
	}
	var toMove []*Request
	for _, r := range c.requests {
		if r.state.Phase == lifecycle.Established && (unresponsive[r.server] || r.responseWatch.Stuck(now)) {
			toMove = append(toMove, r)
		}
	}
	sortByArrival(toMove)
	for _, r := range toMove {
		r.step(lifecycle.Event{Kind: lifecycle.Move}, &eventData{outcome: balance.Reset})
	}
	for server := range unresponsive {
		c.log.Warn("a host has fallen silent; its clients are moved", "host", server)
	}
	for server := range c.lastReceived {
		if !inUse[server] {
			delete(c.lastReceived, server)
		}
	}
}
