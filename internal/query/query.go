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
	Up(answer []byte)
	// Served passes on the host's word that it has served the query to its end at once, and closes.
	Served(answer []byte)
	// Pass hands lines of the host on.
	Pass(lines []byte)
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
	Pass(lines []byte)
	// End gives the attempt up, or ends its connection as the client did.
	End(clean bool)
	// Over says whether the server has said its last word, which went on to the client.
	Over() bool
	// Sent says whether the server may have received any of the request. What was never sent has not run.
	Sent() bool
}

// Servers makes attempts and probes.
type Servers interface {
	// Attempt sends a query to a server that is to answer within a time. It does not call the try back before it has
	// returned.
	Attempt(t Try, server balance.ServerID, within time.Duration) Attempt
	// Probe asks a server for its report; the outcome comes by Core.Probed.
	Probe(server balance.ServerID)
}

// Group is the host group, whose changes come by Core.List.
type Group interface{ Subscribe() }

// Clock tells the time, which is never 0, and wakes.
type Clock interface {
	Now() time.Duration
	// After calls Core.Fire after a time. Of two calls that are due at once, the one asked for first comes first.
	After(d time.Duration, due Due) Timer
}

// Timer is a call to come.
type Timer interface{ Stop() }

// Due says what a timer is for. It is plain data, so that a core's whole state can be read and compared.
type Due struct {
	Kind    DueKind
	Request balance.RequestID // of DueGuard, DueAttempt and DueRetry
	Token   uint64            // of DueWake
}

// DueKind is a kind of timers.
type DueKind uint8

// The kinds of timers.
const (
	DueWake    DueKind = iota // the balancer asked to be woken
	DueSweep                  // time to look for silent hosts
	DueGuard                  // a client's time is nearly up
	DueAttempt                // an attempt's time is over
	DueRetry                  // the pause of an inherited connection is over
)

// Decider decides on servers, retries and refusals; see balance.Balancer.
type Decider interface {
	Handle(now time.Duration, ev balance.Event) []balance.Action
}

// Rule is the state machine of a query's life; see lifecycle.Step.
type Rule func(lifecycle.State, lifecycle.Event) (lifecycle.State, lifecycle.Effects)

const (
	// answerMargin is how long before a client's time is up its answer is due: time to travel and to be read.
	answerMargin = 10 * time.Millisecond
	// guardAfter is how long after that the guard answers what the balancer holds too long. It must leave the balancer
	// its turn: the last attempt may run until the answer is due, and only the balancer knows whether a refusal is
	// harmless then.
	guardAfter = answerMargin / 2
	// inheritedRetry is the pause between the tries at the host that holds an inherited connection.
	inheritedRetry = 250 * time.Millisecond
	// inheritedWait is how long an inherited connection may take to come up. It is lost after 40 s anyway.
	inheritedWait = 40 * time.Second
	sweepEvery    = 100 * time.Millisecond
	// graceMargin is how long before the end of a drain's grace nothing more is written: the writing takes a moment.
	graceMargin = 50 * time.Millisecond
	// sendMargin is how long before its last moment a repeat is not written any more: its bytes take a moment to arrive.
	sendMargin = 50 * time.Millisecond
	// comeBack is when a client may come again that no decision was made for: the balancer held it too long, or the
	// node stops. It is shorter where clients heed only shorter advice.
	comeBack = time.Second
)

// Core holds all queries and the balancer that decides on them. It is for the event loop only.
type Core struct {
	log      *slog.Logger
	clock    Clock
	balancer Decider
	rule     Rule
	servers  Servers
	group    Group
	grace    time.Duration // how long after a drain was told something may still be written
	comeBack time.Duration // the advice to those who are turned away without a decision
	queries  map[balance.RequestID]*Query
	last     balance.RequestID
	events   []balance.Event // that the balancer has not taken yet
	busy     bool
	heard    map[balance.ServerID]time.Duration // when a line last came from a host with open connections
	told     map[balance.ServerID]listed
	bans     map[balance.ServerID]time.Duration // hosts out by hand, since when
	owed     int                                // queries without a final answer
	bound    bound                              // what the site's council allows, where there is one
	counter  *counter                           // nil where nothing is counted
}

// listed is what discovery has told of a host.
type listed struct {
	here    bool          // it is in the list, in whatever state
	ready   bool          // it takes new work
	since   time.Duration // when it was first told that it takes none
	started time.Duration // its start
	zone    string
	kind    string // of machine
}

// New returns a core that decides by balance and lives by lifecycle.Step. Connect must follow.
func New(log *slog.Logger, clock Clock, set balance.Settings, seed uint64) *Core {
	return Build(log, clock, set, balance.New(set, seed), lifecycle.Step)
}

// Build returns a core with a decider and a rule of one's own, for rehearsals. Connect must follow.
func Build(log *slog.Logger, clock Clock, set balance.Settings, decider Decider, rule Rule) *Core {
	c := &Core{log: log, clock: clock, balancer: decider, rule: rule,
		queries: make(map[balance.RequestID]*Query), heard: make(map[balance.ServerID]time.Duration),
		told: make(map[balance.ServerID]listed), bans: make(map[balance.ServerID]time.Duration)}
	c.adopt(set)
	return c
}

func (c *Core) adopt(set balance.Settings) {
	c.grace = set.Safety.DrainGrace - graceMargin
	c.comeBack = min(comeBack, set.MaxRetryAfter)
}

// Retune takes new settings up for what comes from now on. Queries that have come keep the rules they came under.
func (c *Core) Retune(set balance.Settings) {
	c.adopt(set)
	c.feed(balance.SettingsChanged{Settings: set})
}

// Connect gives the core its servers and its host group, and starts it.
func (c *Core) Connect(servers Servers, group Group) {
	c.servers, c.group = servers, group
	c.clock.After(sweepEvery, Due{Kind: DueSweep})
}

// Owed returns how many queries wait for their final answer.
func (c *Core) Owed() int { return c.owed }

// Standing returns how many connections stand.
func (c *Core) Standing() int {
	n := 0
	for _, q := range c.queries {
		if q.state.Phase == lifecycle.Established {
			n++
		}
	}
	return n
}

// oldest returns the oldest connections that stand, so many of them.
func (c *Core) oldest(n int) (all []*Query) {
	for _, q := range c.queries {
		if q.state.Phase == lifecycle.Established {
			all = append(all, q)
		}
	}
	inOrder(all)
	return all[:min(n, len(all))]
}

// Ease moves the clients of the oldest connections that stand, so many of them: the node is to be emptied.
func (c *Core) Ease(n int) {
	for _, q := range c.oldest(n) {
		q.step(lifecycle.Event{Kind: lifecycle.Move}, &news{outcome: balance.Cancelled})
	}
}

// Carry offers the oldest connections that stand, so many of them, to another process of the node. What take says yes
// to is over here, and neither of its ends is touched any more.
func (c *Core) Carry(n int, take func(Client, Attempt, balance.Arrival, balance.ServerID) bool) {
	for _, q := range c.oldest(n) {
		if take(q.client, q.attempt, q.arrival, q.server) {
			q.step(lifecycle.Event{Kind: lifecycle.HandOver}, &news{outcome: balance.Cancelled})
		}
	}
}

// Adopt carries on a connection that stood at a server through another process of the node. attach gives the attempt
// its try.
func (c *Core) Adopt(client Client, a balance.Arrival, server balance.ServerID, attempt Attempt, attach func(Try)) *Query {
	c.last++
	a.Request = c.last
	q := &Query{core: c, client: client, arrival: a, at: server, server: server, attempt: attempt,
		sentAt: c.clock.Now()}
	c.queries[a.Request] = q
	attach(Try{q, 1})
	q.step(lifecycle.Event{Kind: lifecycle.Adopt}, &news{})
	return q
}

// List brings news of the host group.
func (c *Core) List(kind balance.ListKind, entries []balance.Listing) {
	if kind != balance.ListFailed {
		c.learn(kind, entries)
	}
	c.feed(balance.ServerList{Kind: kind, Entries: entries})
}

// learn takes note of which hosts may not be sent anything soon.
func (c *Core) learn(kind balance.ListKind, entries []balance.Listing) {
	now := c.clock.Now()
	if kind != balance.ListChanges {
		missing := make(map[balance.ServerID]bool, len(c.told))
		for server := range c.told {
			missing[server] = true
		}
		for _, e := range entries {
			delete(missing, e.Server)
		}
		for server := range missing {
			c.hear(balance.Listing{Server: server, State: balance.Gone}, now)
		}
	}
	for _, e := range entries {
		c.hear(e, now)
	}
	for server, l := range c.told { // one that has left for so long is not going to be asked for any more
		if !l.here && now-l.since > inheritedWait {
			delete(c.told, server)
		}
	}
}

// hear takes note of one entry of the list.
func (c *Core) hear(e balance.Listing, now time.Duration) {
	last, known := c.told[e.Server]
	l := listed{here: e.State != balance.Gone, ready: e.State == balance.Ready, since: now, started: e.Started, zone: e.Zone,
		kind: e.Kind}
	if !l.here {
		l.started = last.started
	}
	if known && !last.ready && !l.ready && last.started == l.started {
		l.since = last.since // still the same drain
	}
	c.told[e.Server] = l
}

// Names says whether a host is known: it is listed, was until a moment ago, or is out by hand.
func (c *Core) Names(server balance.ServerID) bool {
	_, told := c.told[server]
	_, out := c.bans[server]
	return told || out
}

// Suspend takes a host out by hand: nothing new goes there, and its clients are moved, until Resume. since is the time
// of the call, from which the grace counts. Twice is once.
func (c *Core) Suspend(server balance.ServerID, since time.Duration) {
	if _, out := c.bans[server]; !out {
		c.bans[server] = since
		if !c.bound.told[server] {
			c.feed(balance.Suspend{Server: server})
		}
	}
}

// Resume takes a Suspend back. A host that the council has out too stays out.
func (c *Core) Resume(server balance.ServerID) {
	if _, out := c.bans[server]; out {
		delete(c.bans, server)
		if !c.bound.told[server] {
			c.feed(balance.Resume{Server: server})
		}
	}
}

// Suspended returns the hosts that are out by hand.
func (c *Core) Suspended() []balance.ServerID { return sorted(c.bans) }

func sorted[V any](set map[balance.ServerID]V) []balance.ServerID {
	return slices.Sorted(maps.Keys(set))
}

// Fellows tells how many other processes of this node place queries too.
func (c *Core) Fellows(n int) { c.feed(balance.SiblingProcesses{Processes: n}) }

// drained says whether nothing may be sent to a host any more.
func (c *Core) drained(server balance.ServerID) bool {
	if since, out := c.bans[server]; out && c.clock.Now()-since >= c.grace {
		return true
	}
	l, known := c.told[server]
	return known && !l.ready && c.clock.Now()-l.since >= c.grace
}

// Probed brings the outcome of a probe.
func (c *Core) Probed(server balance.ServerID, o balance.Outcome, took time.Duration, rep balance.Report) {
	c.feed(balance.Probed{Server: server, Outcome: o, Took: took, Report: rep})
}

// Fire brings a timer that came due.
func (c *Core) Fire(d Due) {
	switch d.Kind {
	case DueWake:
		c.feed(balance.TimerFired{Token: d.Token})
	case DueSweep:
		c.sweep()
	default:
		if q := c.queries[d.Request]; q != nil {
			q.wake(d.Kind)
		}
	}
}

// feed brings an event to the balancer and carries out what it answers. Events that come up on the way wait
// their turn, so that the balancer sees them in order and actions are carried out in order.
func (c *Core) feed(ev balance.Event) {
	c.events = append(c.events, ev)
	if c.busy {
		return
	}
	c.busy = true
	for i := 0; i < len(c.events); i++ {
		ev := c.events[i]
		c.events[i] = nil
		for _, a := range c.balancer.Handle(c.clock.Now(), ev) {
			c.carryOut(a)
		}
	}
	c.events = c.events[:0]
	c.busy = false
}

func (c *Core) carryOut(a balance.Action) {
	switch a := a.(type) {
	case balance.Place:
		c.keep()
		if q := c.find(a.Request, a); q != nil {
			q.step(lifecycle.Event{Kind: lifecycle.Place}, &news{server: a.Server, within: a.Timeout, sendBy: a.SendBy})
		}
	case balance.Refuse:
		if q := c.find(a.Request, a); q != nil {
			q.step(lifecycle.Event{Kind: lifecycle.Refuse}, &news{after: a.RetryAfter})
		}
	case balance.Fail:
		if q := c.find(a.Request, a); q != nil {
			q.step(lifecycle.Event{Kind: lifecycle.GiveUp}, &news{})
		}
	case balance.Move:
		if q := c.queries[a.Request]; q != nil {
			q.step(lifecycle.Event{Kind: lifecycle.Move}, &news{outcome: balance.Cancelled})
		}
	case balance.SetTimer:
		c.clock.After(a.After, Due{Kind: DueWake, Token: a.Token})
	case balance.Probe:
		c.servers.Probe(a.Server)
	case balance.Subscribe:
		c.group.Subscribe()
	default:
		c.log.Warn("the balancer asked for what a node does not do", "action", a)
	}
}

// find returns the query that an action is for.
func (c *Core) find(id balance.RequestID, a balance.Action) *Query {
	q := c.queries[id]
	if q == nil {
		c.log.Warn("the balancer decided on a query that is over", "request", id, "action", a)
	}
	return q
}

// Query is one query of a client.
type Query struct {
	core    *Core
	client  Client
	arrival balance.Arrival
	at      balance.ServerID // the host of an inherited connection
	state   lifecycle.State
	until   time.Duration // when its answer is due
	server  balance.ServerID
	attempt Attempt
	sentAt  time.Duration
	sendBy  time.Duration // when the attempt that is out may not be sent any more; 0: at any time
	watch   lifecycle.ResponseWatch
	guard   Timer // of the deadline
	timer   Timer // of the attempt's time-out, or of the pause before the next
}

// news is what came with an event: as much of it as the event's kind has.
type news struct {
	outcome balance.Outcome // how the attempt that is out ended, if the event ends it
	report  balance.Report
	clean   bool             // a connection ended in good order
	word    []byte           // what the host answered
	reason  error            // what is wrong with the client
	server  balance.ServerID // where the balancer wants an attempt, and for how long at most
	within  time.Duration
	sendBy  time.Duration // when it may not be sent any more; 0: at any time
	after   time.Duration // the balancer's advice when to come again
}

// Arrive takes a client's query. The client waits for d; a query with a server belongs to a connection that
// was open there before, and goes nowhere else.
func (c *Core) Arrive(client Client, a balance.Arrival, at balance.ServerID, d time.Duration) *Query {
	c.last++
	a.Request = c.last
	a.TimeLeft = max(d-answerMargin, 0)
	e := lifecycle.Event{Kind: lifecycle.Arrive}
	if at != "" {
		a.TimeLeft = inheritedWait
		e.Kind = lifecycle.ArriveInherited
	}
	c.keep()
	q := &Query{core: c, client: client, arrival: a, at: at, until: c.clock.Now() + a.TimeLeft}
	c.queries[a.Request] = q
	c.owed++
	q.step(e, &news{})
	return q
}

// Client returns the client's side.
func (q *Query) Client() Client { return q.client }

// Left returns how much longer the client of a query waits.
func (q *Query) Left() time.Duration { return q.until - q.core.clock.Now() }

// State returns where the query stands.
func (q *Query) State() lifecycle.State { return q.state }

// step brings an event to the state machine and carries out what it answers. The balancer, which may answer with a
// further step of the same query, is told last.
func (q *Query) step(e lifecycle.Event, d *news) {
	was := q.state
	next, todo := q.core.rule(was, e)
	q.state = next
	if was.AwaitsAnswer() && !next.AwaitsAnswer() {
		q.core.owed--
	}
	if n := q.core.counter; n != nil {
		n.note(q, was, e.Kind, &todo, d)
	}
	for i := range todo.Len() {
		q.carryOut(todo.At(i), e.Kind, d)
	}
}

func (q *Query) carryOut(f lifecycle.Effect, k lifecycle.Kind, d *news) {
	c := q.core
	switch f {
	case lifecycle.StartDeadline:
		q.guard = c.clock.After(q.Left()+guardAfter, Due{Kind: DueGuard, Request: q.arrival.Request})
	case lifecycle.StopDeadline:
		q.guard.Stop()
	case lifecycle.SendAttempt:
		q.send(d)
	case lifecycle.StopTimer:
		q.timer.Stop()
	case lifecycle.StartRetryPause:
		q.timer = c.clock.After(inheritedRetry, Due{Kind: DueRetry, Request: q.arrival.Request})
	case lifecycle.CloseAttempt:
		q.attempt.End(true)
	case lifecycle.EndAttempt:
		q.attempt.End(d.clean)
	case lifecycle.AnswerEstablished:
		q.client.Up(d.word)
	case lifecycle.AnswerServed:
		q.client.Served(d.word)
	case lifecycle.AnswerThrottle:
		q.client.Throttle(d.after)
	case lifecycle.AnswerFail:
		q.client.Fail()
	case lifecycle.AnswerError:
		q.client.Reject(d.reason)
	case lifecycle.MoveClient:
		if q.attempt != nil && q.attempt.Over() {
			q.client.End(true) // it has its last word
		} else {
			q.client.Move()
		}
	case lifecycle.EndClient:
		q.client.End(d.clean)
	case lifecycle.Forget:
		delete(c.queries, q.arrival.Request)
	case lifecycle.LogUnexpected:
		c.log.Warn("an event without a place in a query's life", "event", k.String(), "phase", q.state.Phase.String(),
			"attempts", q.state.Attempts)
	default:
		q.tell(f, d)
	}
	if f.Answers() && k == lifecycle.Deadline {
		c.log.Warn("a query was overdue", "class", q.arrival.Class, "attempts", q.state.Attempts)
	}
}

// tell brings what the balancer is to know.
func (q *Query) tell(f lifecycle.Effect, d *news) {
	c, id := q.core, q.arrival.Request
	switch f {
	case lifecycle.NotifyArrival:
		c.feed(q.arrival)
	case lifecycle.NotifyInherited:
		c.feed(balance.Inherited{Arrival: q.arrival, Server: q.at})
	case lifecycle.NotifyEstablished:
		c.feed(balance.Established{Request: id, Attempt: q.number(), Took: c.clock.Now() - q.sentAt})
	case lifecycle.NotifyDeparted:
		c.feed(balance.Departed{Request: id})
	case lifecycle.NotifyEnded, lifecycle.NotifyOver:
		c.feed(balance.Ended{Request: id, Attempt: q.number(), Outcome: d.outcome, Took: c.clock.Now() - q.sentAt,
			Final: f == lifecycle.NotifyOver, Report: d.report})
	}
}

// number is the number of the attempt that is out, as the balancer counts: for it, an inherited connection has one
// attempt, however many tries it took to stand.
func (q *Query) number() int {
	if q.state.Inherited {
		return 0
	}
	return int(q.state.Attempts) - 1
}

// send makes an attempt. No other is out: the balancer places anew only when the last has ended, and what ended was
// closed first.
func (q *Query) send(d *news) {
	server, within := q.at, q.Left()
	if q.at == "" {
		server, within = d.server, min(d.within, within)
	}
	q.server, q.sentAt, q.sendBy = server, q.core.clock.Now(), d.sendBy
	q.timer = q.core.clock.After(within, Due{Kind: DueAttempt, Request: q.arrival.Request})
	q.attempt = q.core.servers.Attempt(Try{q, q.state.Attempts}, server, within)
}

// wake takes a timer of the query's own that came due.
func (q *Query) wake(k DueKind) {
	switch k {
	case DueGuard:
		q.step(lifecycle.Event{Kind: lifecycle.Deadline}, &news{outcome: balance.TimedOut, after: q.core.comeBack})
	case DueAttempt:
		q.step(lifecycle.Event{Kind: lifecycle.AttemptTimedOut, Attempt: q.state.Attempts}, &news{outcome: q.lateOutcome()})
	case DueRetry:
		q.step(lifecycle.Event{Kind: lifecycle.Retry}, &news{})
	}
}

// lateOutcome is how an attempt ended whose time is over. One whose connection never came up proves that nothing ran.
func (q *Query) lateOutcome() balance.Outcome {
	if q.attempt.Sent() {
		return balance.TimedOut
	}
	return balance.Unreachable
}

// Try is one attempt of a query, as its backend connection knows it. What is told of a try that is over has no effect.
type Try struct {
	query  *Query
	number uint16
}

// Client returns the client's side of the try's query.
func (t Try) Client() Client { return t.query.client }

func (t Try) step(k lifecycle.Kind, d *news) {
	t.query.step(lifecycle.Event{Kind: k, Attempt: t.number}, d)
}

// stands says whether the try is the one that stands.
func (t Try) stands() bool {
	return t.query.state.Phase == lifecycle.Established && t.query.state.Attempts == t.number
}

// Open asks, just before the first line is written, whether the host may still be sent anything. Where not, the try is
// over when Open returns.
func (t Try) Open() bool {
	if c := t.query.core; c.drained(t.query.server) || c.withheld(t.query.server) || t.query.expired() {
		t.step(lifecycle.HostDrainExpired, &news{outcome: balance.Unsent})
		return false
	}
	return true
}

// expired says whether a repeat would come after the time within which it is dropped.
func (q *Query) expired() bool {
	return q.sendBy > 0 && q.core.clock.Now() >= q.sendBy-sendMargin
}

// Up says that the connection stands, with the host's own word for the client.
func (t Try) Up(word []byte) { t.step(lifecycle.HostEstablished, &news{word: word}) }

// Lines passes lines of the host on.
func (t Try) Lines(lines []byte) {
	if t.stands() {
		q := t.query
		q.watch.HostAnswered()
		q.core.heard[q.server] = q.core.clock.Now()
		q.client.Pass(lines)
	}
}

// Load tells the load of the connection, in microseconds of work a second.
func (t Try) Load(load float64) {
	if t.stands() {
		t.query.core.feed(balance.LoadChanged{Request: t.query.arrival.Request, Load: load})
	}
}

// Ended says that the host ended the try, or that it never came up; word is what it said last, where that is for the
// client.
func (t Try) Ended(o balance.Outcome, clean bool, rep balance.Report, word []byte) {
	k := lifecycle.HostEnded
	if o == balance.OK {
		k = lifecycle.HostServed
	}
	t.step(k, &news{outcome: o, clean: clean, report: rep, word: word})
}

// Faulty says that the host sent what cannot be passed on. The host still answers, so that a client that was served is
// moved, not cut off.
func (t Try) Faulty() { t.step(lifecycle.HostFaulty, &news{outcome: balance.Errored}) }

// Behind says that the host does not take what the client sends, at the speed at which it is sent. The host may be
// sound and still answer: the client is moved, and nothing is held against the host.
func (t Try) Behind() { t.step(lifecycle.HostNotReading, &news{outcome: balance.Cancelled}) }

// ClientLines passes lines of the client on.
func (q *Query) ClientLines(lines []byte) {
	if q.state.Phase == lifecycle.Established {
		q.watch.LineSent(q.core.clock.Now())
		q.attempt.Pass(lines)
	}
}

// ClientGone says that the client has left.
func (q *Query) ClientGone(clean bool) {
	q.step(lifecycle.Event{Kind: lifecycle.ClientGone}, &news{outcome: balance.Cancelled, clean: clean})
}

// ClientFaulty says that the client spoke out of turn or sent what cannot be passed on. One that waits is told why it
// is not served; one that is served is moved.
func (q *Query) ClientFaulty(reason error) {
	q.step(lifecycle.Event{Kind: lifecycle.ClientFaulty}, &news{outcome: balance.Cancelled, reason: reason})
}

// Leave ends everything, since the node stops: whoever waits gets an answer, and the clients of open connections are
// moved, unless packets pass through and carry these connections over.
func (c *Core) Leave(passThrough bool) {
	var all []*Query
	for _, q := range c.queries {
		if q.state.AwaitsAnswer() || !passThrough {
			all = append(all, q)
		}
	}
	inOrder(all)
	for _, q := range all {
		q.step(lifecycle.Event{Kind: lifecycle.NodeStopping}, &news{outcome: balance.Cancelled, after: c.comeBack})
	}
}

// inOrder sorts queries by their arrival, so that a run can be played again.
func inOrder(list []*Query) {
	slices.SortFunc(list, func(a, b *Query) int { return cmp.Compare(a.arrival.Request, b.arrival.Request) })
}

// sweep moves the clients whose host has fallen silent. It guards against a host that vanished: its connections
// stay open, and nothing but the missing lines tells.
func (c *Core) sweep() {
	c.clock.After(sweepEvery, Due{Kind: DueSweep})
	c.keep()
	now := c.clock.Now()
	silent, held := make(map[balance.ServerID]bool), make(map[balance.ServerID]bool)
	for _, q := range c.queries {
		if q.state.Phase != lifecycle.Established {
			continue
		}
		held[q.server] = true
		if q.watch.HostUnresponsive(c.heard[q.server], now) {
			silent[q.server] = true
		}
	}
	var lost []*Query
	for _, q := range c.queries {
		if q.state.Phase == lifecycle.Established && (silent[q.server] || q.watch.Stuck(now)) {
			lost = append(lost, q)
		}
	}
	inOrder(lost)
	for _, q := range lost {
		q.step(lifecycle.Event{Kind: lifecycle.Move}, &news{outcome: balance.Reset})
	}
	for server := range silent {
		c.log.Warn("a host has fallen silent; its clients are moved", "host", server)
	}
	for server := range c.heard {
		if !held[server] {
			delete(c.heard, server)
		}
	}
}
