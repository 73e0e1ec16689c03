// Package query holds the requests of clients, from their arrival to their single final answer. It passes what
// happens to the balancer as events and carries out the balancer's actions. The state machine of package lifecycle
// decides what each event means for a request; this package keeps the data that belongs to each state and carries
// out the effects. It handles neither sockets nor lines of the platform's protocol: clients, servers and the host
// group are connected to it through the interfaces below.
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

// Client is the client side of a request.
type Client interface {
	// Established passes on the host's answer that the connection is established.
	Established(answer []byte)
	// Served passes on the host's answer that it has served the request completely, and closes the connection.
	Served(answer []byte)
	// Forward passes on lines of the host.
	Forward(lines []byte)
	// Throttle refuses the request and says that trying again is harmless, after the given time unless it is 0.
	Throttle(after time.Duration)
	// Fail answers that the request was not served.
	Fail()
	// Reject answers that the client cannot be served because of what it sent, or did not send.
	Reject(reason error)
	// Move tells the client to reconnect, and closes its established connection.
	Move()
	// End ends the connection in the way in which the host ended its own: closed cleanly or broken.
	End(clean bool)
}

// Attempt is the connection to a host for one attempt of a request. It calls the methods of its AttemptRef until
// it has reported its end or was ended; later calls have no effect.
type Attempt interface {
	// Forward passes on lines of the client.
	Forward(lines []byte)
	// End abandons the attempt, or ends its connection in the way in which the client ended its own.
	End(clean bool)
	// EndReceived reports whether the host has sent its final line, which was passed on to the client.
	EndReceived() bool
	// Sent reports whether the host may have received any part of the request. A request that was never sent has
	// not run.
	Sent() bool
}

// Servers starts attempts and probes.
type Servers interface {
	// Attempt sends a request to a server, which must answer within the timeout. It does not call methods of ref
	// before it returns.
	Attempt(ref AttemptRef, server balance.ServerID, timeout time.Duration) Attempt
	// Probe requests a server's load report. Core.Probed receives the outcome.
	Probe(server balance.ServerID)
}

// Group is the host group. Core.List receives its changes.
type Group interface{ Subscribe() }

// Clock gives the time, which is never 0, and runs timers.
type Clock interface {
	Now() time.Duration
	// After calls Core.Fire with the event after a delay. Of two timers with the same expiry time, the one started
	// first fires first.
	After(delay time.Duration, event TimerEvent) Timer
}

// Timer is a timer that was started by Clock.After.
type Timer interface{ Stop() }

// TimerEvent is the event of a timer that fires. It is plain data without functions, so that the whole state of a
// core can be read and compared.
type TimerEvent struct {
	Kind    TimerKind
	Request balance.RequestID // of TimerDeadline, TimerAttempt and TimerRetry
	Token   uint64            // of TimerBalancer
}

// TimerKind is the kind of a timer.
type TimerKind uint8

// The kinds of timers.
const (
	TimerBalancer TimerKind = iota // a timer that the balancer has set
	TimerSweep                     // the periodic search for unresponsive hosts
	TimerDeadline                  // the client's deadline is close
	TimerAttempt                   // the time-out of an attempt
	TimerRetry                     // the end of the pause before the next attempt of an inherited connection
)

// Balancer decides on servers, retries and refusals; see balance.Balancer.
type Balancer interface {
	Handle(now time.Duration, ev balance.Event) []balance.Action
}

// StepFunc is the state machine of a request's lifecycle; see lifecycle.Step.
type StepFunc func(lifecycle.State, lifecycle.Event) (lifecycle.State, lifecycle.Effects)

const (
	// answerMargin is how long before the client's deadline its answer is due, so that the answer can travel and
	// be read in time.
	answerMargin = 10 * time.Millisecond
	// deadlineTimerDelay is how long after the answer was due the deadline timer answers a request that the
	// balancer still holds. The balancer must be able to answer first: the last attempt may run until the answer is due, and only
	// the balancer knows whether a refusal is harmless then.
	deadlineTimerDelay = answerMargin / 2
	// inheritedRetryInterval is the pause between attempts at the host of an inherited connection.
	inheritedRetryInterval = 250 * time.Millisecond
	// inheritedTimeout is how long an inherited connection may take until it is established. It is lost after 40 s
	// in any case.
	inheritedTimeout = 40 * time.Second
	// sweepInterval is the interval of the search for unresponsive hosts.
	sweepInterval = 100 * time.Millisecond
	// graceMargin is how long before the end of a drain's grace period the last line may be written to the host,
	// since writing takes a moment.
	graceMargin = 50 * time.Millisecond
	// sendMargin is how long before the end of its send window a repeated request may be sent at the latest, since
	// its bytes take a moment to arrive.
	sendMargin = 50 * time.Millisecond
	// defaultRetryAfter is when a client may try again if no decision was made on its request: the balancer held
	// it for too long, or the node stops. Settings.MaxRetryAfter limits it, since clients ignore a longer time.
	defaultRetryAfter = time.Second
)

// Core holds all requests and the balancer that decides on them. Only the event loop may use it.
type Core struct {
	log          *slog.Logger
	clock        Clock
	balancer     Balancer
	stepFunc     StepFunc
	servers      Servers
	group        Group
	drainGrace   time.Duration // how long after a host was reported as draining lines may still be written to it
	retryAfter   time.Duration // for clients that are turned away without a decision
	requests     map[balance.RequestID]*Request
	lastID       balance.RequestID
	events       []balance.Event // not yet handled by the balancer
	handling     bool
	lastReceived map[balance.ServerID]time.Duration // when a line was last received from a host with established connections
	hosts        map[balance.ServerID]hostEntry
	bans         map[balance.ServerID]time.Duration // hosts banned by an operator, and since when
	waiting      int                                // requests without a final answer
	restrictions restrictions                       // by the site's consensus group, if there is one
	counter      *counter                           // nil unless counting is on
}

// hostEntry is what discovery has reported of a host.
type hostEntry struct {
	listed        bool          // the list contains it, in any state
	ready         bool          // it accepts new work
	drainingSince time.Duration // when it was first reported as not ready
	started       time.Duration // when the host started
	zone          string
	kind          string // the machine's model
}

// New returns a core with the balancer of package balance and lifecycle.Step. Connect must follow.
func New(log *slog.Logger, clock Clock, set balance.Settings, seed uint64) *Core {
	return NewWith(log, clock, set, balance.New(set, seed), lifecycle.Step)
}

// NewWith returns a core with a given balancer and state machine, for the test kit. Connect must follow.
func NewWith(log *slog.Logger, clock Clock, set balance.Settings, balancer Balancer, stepFunc StepFunc) *Core {
	c := &Core{log: log, clock: clock, balancer: balancer, stepFunc: stepFunc,
		requests: make(map[balance.RequestID]*Request), lastReceived: make(map[balance.ServerID]time.Duration),
		hosts: make(map[balance.ServerID]hostEntry), bans: make(map[balance.ServerID]time.Duration)}
	c.storeSettings(set)
	return c
}

func (c *Core) storeSettings(set balance.Settings) {
	c.drainGrace = set.Safety.DrainGrace - graceMargin
	c.retryAfter = min(defaultRetryAfter, set.MaxRetryAfter)
}

// ApplySettings applies new settings to what arrives from now on. Requests that have already arrived keep the
// settings under which they arrived.
func (c *Core) ApplySettings(set balance.Settings) {
	c.storeSettings(set)
	c.feed(balance.SettingsChanged{Settings: set})
}

// Connect gives the core its servers and its host group, and starts the sweep for unresponsive hosts.
func (c *Core) Connect(servers Servers, group Group) {
	c.servers, c.group = servers, group
	c.clock.After(sweepInterval, TimerEvent{Kind: TimerSweep})
}

// Waiting returns the number of requests that wait for their final answer.
func (c *Core) Waiting() int { return c.waiting }

// Established returns the number of established connections.
func (c *Core) Established() int {
	n := 0
	for _, r := range c.requests {
		if r.state.Phase == lifecycle.Established {
			n++
		}
	}
	return n
}

// oldest returns the n oldest established connections.
func (c *Core) oldest(n int) (all []*Request) {
	for _, r := range c.requests {
		if r.state.Phase == lifecycle.Established {
			all = append(all, r)
		}
	}
	sortByArrival(all)
	return all[:min(n, len(all))]
}

// MoveOldest moves the clients of the n oldest established connections, while the node is being emptied.
func (c *Core) MoveOldest(n int) {
	for _, r := range c.oldest(n) {
		r.step(lifecycle.Event{Kind: lifecycle.Move}, &eventData{outcome: balance.Cancelled})
	}
}

// EstablishedConn is an established connection that one process of the node hands over to another.
type EstablishedConn struct {
	Client  Client
	Attempt Attempt
	Arrival balance.Arrival
	Server  balance.ServerID
	Silence Silence
}

// Silence is how long nothing has come back on a connection and from its host.
type Silence struct {
	Unanswered time.Duration // since the oldest line of the client that is not answered was sent; 0: all are answered
	Host       time.Duration // since a line was last received from the host on any connection; 0: unknown
}

// HandOverOldest offers the n oldest established connections to another process of the node. For each that take
// accepts, the request is finished here, and neither of its two connections is touched any more.
func (c *Core) HandOverOldest(n int, take func(EstablishedConn) bool) {
	for _, r := range c.oldest(n) {
		if take(EstablishedConn{Client: r.client, Attempt: r.attempt, Arrival: r.arrival, Server: r.server, Silence: c.silence(r)}) {
			r.step(lifecycle.Event{Kind: lifecycle.HandOver}, &eventData{outcome: balance.Cancelled})
		}
	}
}

// silence returns how long nothing has come back on the connection of a request.
func (c *Core) silence(r *Request) (s Silence) {
	now := c.clock.Now()
	if since := r.responseWatch.UnansweredSince; since > 0 {
		s.Unanswered = max(now-since, 1)
	}
	if received, known := c.lastReceived[r.server]; known {
		s.Host = max(now-received, 1)
	}
	return s
}

// Adopt takes over a connection that another process of the node had established to a server. It calls attach with
// the AttemptRef for the connection to the host.
func (c *Core) Adopt(conn EstablishedConn, attach func(AttemptRef)) *Request {
	c.lastID++
	now := c.clock.Now()
	r := &Request{core: c, client: conn.Client, arrival: conn.Arrival, inheritedHost: conn.Server, server: conn.Server,
		attempt: conn.Attempt, attemptStart: now}
	r.arrival.Request = c.lastID
	if conn.Silence.Unanswered > 0 {
		r.responseWatch.LineSent(now - conn.Silence.Unanswered)
	}
	if conn.Silence.Host > 0 {
		c.lastReceived[r.server] = max(c.lastReceived[r.server], now-conn.Silence.Host)
	}
	r.sent = true
	c.requests[r.arrival.Request] = r
	attach(AttemptRef{r, 1})
	r.step(lifecycle.Event{Kind: lifecycle.Adopt}, &eventData{})
	return r
}

// List receives a list of hosts, or changes to it, from discovery.
func (c *Core) List(kind balance.ListKind, entries []balance.Listing) {
	if kind != balance.ListFailed {
		c.updateHosts(kind, entries)
	}
	c.feed(balance.ServerList{Kind: kind, Entries: entries})
}

// updateHosts records the states of the listed hosts. Hosts that are missing from a complete list are gone.
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
	for server, entry := range c.hosts { // a host that has left the list and drained for so long is not used any more
		if !entry.listed && now-entry.drainingSince > inheritedTimeout {
			delete(c.hosts, server)
		}
	}
}

// updateHost records one entry of the list.
func (c *Core) updateHost(e balance.Listing, now time.Duration) {
	last, known := c.hosts[e.Server]
	entry := hostEntry{listed: e.State != balance.Gone, ready: e.State == balance.Ready, drainingSince: now, started: e.Started, zone: e.Zone,
		kind: e.Kind}
	if !entry.listed {
		entry.started = last.started
	}
	if known && !last.ready && !entry.ready && last.started == entry.started {
		entry.drainingSince = last.drainingSince // the same drain continues
	}
	c.hosts[e.Server] = entry
}

// KnowsHost reports whether a host is known: it is in the list, has left it recently, or is banned by an operator.
func (c *Core) KnowsHost(server balance.ServerID) bool {
	_, listed := c.hosts[server]
	_, banned := c.bans[server]
	return listed || banned
}

// Suspend applies an operator's ban on a host: until Resume the host gets no new work, and its clients are moved.
// The drain grace starts at since, the time of the operator's call. A second Suspend of the same host changes
// nothing.
func (c *Core) Suspend(server balance.ServerID, since time.Duration) {
	if _, banned := c.bans[server]; !banned {
		c.bans[server] = since
		if !c.restrictions.suspended[server] {
			c.feed(balance.Suspend{Server: server})
		}
	}
}

// Resume lifts an operator's ban. A host that the site's consensus group excludes too stays out of service.
func (c *Core) Resume(server balance.ServerID) {
	if _, banned := c.bans[server]; banned {
		delete(c.bans, server)
		if !c.restrictions.suspended[server] {
			c.feed(balance.Resume{Server: server})
		}
	}
}

// Suspended returns the hosts that are banned by an operator, sorted.
func (c *Core) Suspended() []balance.ServerID { return sortedKeys(c.bans) }

func sortedKeys[V any](set map[balance.ServerID]V) []balance.ServerID {
	return slices.Sorted(maps.Keys(set))
}

// SetSiblingProcesses sets how many other processes of this node place requests too.
func (c *Core) SetSiblingProcesses(n int) { c.feed(balance.SiblingProcesses{Processes: n}) }

// drained reports whether the drain grace of a host is over, so that nothing may be sent to it any more.
func (c *Core) drained(server balance.ServerID) bool {
	if since, banned := c.bans[server]; banned && c.clock.Now()-since >= c.drainGrace {
		return true
	}
	entry, known := c.hosts[server]
	return known && !entry.ready && c.clock.Now()-entry.drainingSince >= c.drainGrace
}

// Probed receives the outcome of a probe.
func (c *Core) Probed(server balance.ServerID, outcome balance.Outcome, took time.Duration, report balance.Report) {
	c.feed(balance.Probed{Server: server, Outcome: outcome, Took: took, Report: report})
}

// Fire handles a timer that has fired.
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

// feed passes an event to the balancer and carries out the actions that it returns. Events that arise meanwhile
// are queued, so that the balancer receives events in order and actions are carried out in order.
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
		c.log.Warn("the balancer returned an action of an unknown type", "action", a)
	}
}

// find returns the request that an action is for.
func (c *Core) find(id balance.RequestID, a balance.Action) *Request {
	r := c.requests[id]
	if r == nil {
		c.log.Warn("the balancer decided on a request that has finished", "request", id, "action", a)
	}
	return r
}

// Request is one request of a client.
type Request struct {
	core          *Core
	client        Client
	arrival       balance.Arrival
	inheritedHost balance.ServerID // the host of an inherited connection
	state         lifecycle.State
	answerDue     time.Duration // when the answer is due
	server        balance.ServerID
	attempt       Attempt
	attemptStart  time.Duration
	sendBy        time.Duration // the latest time to send the current attempt; 0: unlimited
	responseWatch lifecycle.ResponseWatch
	mayHaveRun    bool // an earlier attempt may have run
	sent          bool // the first line of the current attempt may have reached its host
	deadlineTimer Timer
	attemptTimer  Timer // the time-out of the attempt, or the pause before the next attempt
}

// eventData is the data of an event. Each kind of event uses only some of the fields.
type eventData struct {
	outcome    balance.Outcome // of the current attempt, if the event ends it
	report     balance.Report
	clean      bool             // the connection was closed cleanly
	answer     []byte           // the line with which the host answered
	reason     error            // why the client is rejected
	server     balance.ServerID // where the balancer places the attempt
	timeout    time.Duration    // the longest time that the attempt may take
	sendBy     time.Duration    // the latest time to send the attempt; 0: unlimited
	retryAfter time.Duration    // how long the client should wait before it tries again
}

// Arrive accepts a client's request. The client waits for the given time. A request with an inherited host belongs
// to a connection that was established to that host before, and is sent to no other host.
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

// Client returns the client side of the request.
func (r *Request) Client() Client { return r.client }

// TimeLeft returns how much longer the client waits for its answer.
func (r *Request) TimeLeft() time.Duration { return r.answerDue - r.core.clock.Now() }

// State returns the state of the request.
func (r *Request) State() lifecycle.State { return r.state }

// MayHaveRun reports whether a host may have run the request, or may be running it.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun || r.sent }

// attemptEnded records whether the attempt that has ended may have run.
func (r *Request) attemptEnded(outcome balance.Outcome) {
	r.mayHaveRun = r.mayHaveRun || r.sent && !outcome.ProvesNeverRan()
	r.sent = false
}

// step applies an event to the state machine and carries out the effects. The balancer is notified last, since it
// may respond with a further event of the same request.
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
			r.client.End(true) // it has received the final line
		} else {
			r.client.Move()
		}
	case lifecycle.EndClient:
		r.client.End(data.clean)
	case lifecycle.Forget:
		delete(c.requests, r.arrival.Request)
	case lifecycle.LogUnexpected:
		c.log.Warn("an event that cannot happen in this state of a request", "event", kind.String(), "phase", r.state.Phase.String(),
			"attempts", r.state.Attempts)
	default:
		r.notify(effect, data)
	}
	if effect.Answers() && kind == lifecycle.Deadline {
		c.log.Warn("a request was answered by its deadline timer", "class", r.arrival.Class, "attempts", r.state.Attempts)
	}
}

// notify passes an event of the request to the balancer.
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
		r.attemptEnded(data.outcome)
		c.feed(balance.Ended{Request: id, Attempt: r.attemptNumber(), Outcome: data.outcome, Took: c.clock.Now() - r.attemptStart,
			Final: effect == lifecycle.NotifyOver, Report: data.report})
	}
}

// attemptNumber returns the number of the current attempt as the balancer counts, from 0. To the balancer, an
// inherited connection has one attempt, however many it took to establish it.
func (r *Request) attemptNumber() int {
	if r.state.Inherited {
		return 0
	}
	return int(r.state.Attempts) - 1
}

// send starts an attempt. No other attempt is in progress: the balancer places the request again only after the
// last attempt has ended, and that connection was closed before the balancer was notified.
func (r *Request) send(data *eventData) {
	server, timeout := r.inheritedHost, r.TimeLeft()
	if r.inheritedHost == "" {
		server, timeout = data.server, min(data.timeout, timeout)
	}
	r.server, r.attemptStart, r.sendBy = server, r.core.clock.Now(), data.sendBy
	r.attemptTimer = r.core.clock.After(timeout, TimerEvent{Kind: TimerAttempt, Request: r.arrival.Request})
	r.attempt = r.core.servers.Attempt(AttemptRef{r, r.state.Attempts}, server, timeout)
}

// timerFired handles a timer of this request that has fired.
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

// timeoutOutcome returns the outcome of an attempt that has timed out. If nothing was sent, the request certainly
// has not run.
func (r *Request) timeoutOutcome() balance.Outcome {
	if r.attempt.Sent() {
		return balance.TimedOut
	}
	return balance.Unreachable
}

// AttemptRef identifies one attempt of a request. The connection to the host reports to it what happens. Reports
// on an attempt that has ended have no effect.
type AttemptRef struct {
	request *Request
	number  uint16
}

// Client returns the client side of the request.
func (ref AttemptRef) Client() Client { return ref.request.client }

func (ref AttemptRef) step(kind lifecycle.Kind, data *eventData) {
	ref.request.step(lifecycle.Event{Kind: kind, Attempt: ref.number}, data)
}

// isEstablished reports whether this attempt's connection is the established one.
func (ref AttemptRef) isEstablished() bool {
	return ref.request.state.Phase == lifecycle.Established && ref.request.state.Attempts == ref.number
}

// AllowSend reports whether the first line may still be sent to the host. It is called just before the line is
// written. If it returns false, the attempt has ended.
func (ref AttemptRef) AllowSend() bool {
	if c := ref.request.core; c.drained(ref.request.server) || c.withheld(ref.request.server) || ref.request.sendWindowOver() {
		ref.step(lifecycle.HostDrainExpired, &eventData{outcome: balance.Unsent})
		return false
	}
	ref.request.sent = true
	return true
}

// sendWindowOver reports whether a repeated request would arrive after the time within which servers recognize and
// drop the repeat.
func (r *Request) sendWindowOver() bool {
	return r.sendBy > 0 && r.core.clock.Now() >= r.sendBy-sendMargin
}

// Established reports that the connection is established. answer is the host's answer for the client.
func (ref AttemptRef) Established(answer []byte) {
	ref.step(lifecycle.HostEstablished, &eventData{answer: answer})
}

// HostLines passes lines of the host on to the client.
func (ref AttemptRef) HostLines(lines []byte) {
	if ref.isEstablished() {
		r := ref.request
		r.responseWatch.HostAnswered()
		r.core.lastReceived[r.server] = r.core.clock.Now()
		r.client.Forward(lines)
	}
}

// LoadChanged reports the load of the connection, in microseconds of work per second.
func (ref AttemptRef) LoadChanged(load float64) {
	if ref.isEstablished() {
		ref.request.core.feed(balance.LoadChanged{Request: ref.request.arrival.Request, Load: load})
	}
}

// Ended reports that the host ended the attempt or its connection, or that no connection was established. answer
// is the host's final line if it is to be passed on to the client.
func (ref AttemptRef) Ended(outcome balance.Outcome, clean bool, report balance.Report, answer []byte) {
	kind := lifecycle.HostEnded
	if outcome == balance.OK {
		kind = lifecycle.HostServed
	}
	ref.step(kind, &eventData{outcome: outcome, clean: clean, report: report, answer: answer})
}

// HostFaulty reports that the host sent something that cannot be passed on. The host still answers, so a client
// that is served is moved and not cut off.
func (ref AttemptRef) HostFaulty() {
	ref.step(lifecycle.HostFaulty, &eventData{outcome: balance.Errored})
}

// HostNotReading reports that the host reads more slowly than the client sends. The host may be healthy and still
// answer: the client is moved, and the outcome does not count against the host.
func (ref AttemptRef) HostNotReading() {
	ref.step(lifecycle.HostNotReading, &eventData{outcome: balance.Cancelled})
}

// ClientLines passes lines of the client on to the host.
func (r *Request) ClientLines(lines []byte) {
	if r.state.Phase == lifecycle.Established {
		r.responseWatch.LineSent(r.core.clock.Now())
		r.attempt.Forward(lines)
	}
}

// ClientGone reports that the client has closed its connection.
func (r *Request) ClientGone(clean bool) {
	r.step(lifecycle.Event{Kind: lifecycle.ClientGone}, &eventData{outcome: balance.Cancelled, clean: clean})
}

// ClientFaulty reports that the client sent a line at the wrong time, or one that cannot be passed on. A client
// that waits gets the reason why it is not served; one that is served is moved.
func (r *Request) ClientFaulty(reason error) {
	r.step(lifecycle.Event{Kind: lifecycle.ClientFaulty}, &eventData{outcome: balance.Cancelled, reason: reason})
}

// Shutdown ends all requests because the node stops. Clients that wait get an answer, and clients of established
// connections are moved, unless in pass-through mode, in which these connections continue elsewhere.
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

// sortByArrival sorts requests by their arrival, so that a run can be reproduced.
func sortByArrival(list []*Request) {
	slices.SortFunc(list, func(a, b *Request) int { return cmp.Compare(a.arrival.Request, b.arrival.Request) })
}

// sweep moves the clients whose host has stopped responding. It detects a host that vanished: its connections stay
// open, and the only sign is that its lines are missing.
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
