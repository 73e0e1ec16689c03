// Package query holds the queries of clients from their arrival to their one final answer. It brings what
// happens to the balancer as events and carries the balancer's actions out. It knows neither sockets nor the
// platform's lines: clients, servers and the host group reach it, and are reached, through the interfaces here.
package query

import (
	"log/slog"
	"time"

	"lichenhitch/balance"
)

// Client is the client's side of a query.
type Client interface {
	// Up passes on the host's word that the connection stands.
	Up(answer []byte)
	// Pass hands lines of the host on.
	Pass(lines []byte)
	// Throttle refuses: trying again is harmless, after a time if one is given.
	Throttle(after time.Duration)
	// Fail answers that the query was not served.
	Fail()
	// Move ends an open connection politely.
	Move()
	// End ends the connection as the host did: in good order or broken.
	End(clean bool)
}

// Attempt is the server's side of a query: one try at one host. It calls the query back until it has told its
// end or is closed.
type Attempt interface {
	// Pass hands lines of the client on.
	Pass(lines []byte)
	// End gives the attempt up, or ends its connection as the client did.
	End(clean bool)
}

// Servers makes attempts and probes.
type Servers interface {
	// Attempt sends a query to a server that is to answer within a time.
	Attempt(q *Query, server balance.ServerID, within time.Duration) Attempt
	// Probe asks a server for its report; the outcome comes by Core.Probed.
	Probe(server balance.ServerID)
}

// Group is the host group, whose changes come by Core.List.
type Group interface{ Subscribe() }

// Clock tells the time and wakes.
type Clock interface {
	Now() time.Duration
	After(d time.Duration, f func()) (stop func())
}

const (
	// answerMargin is how long before a client's time is up its answer is sent: time to travel and to be read.
	answerMargin = 10 * time.Millisecond
	// inheritedRetry is the pause between the tries at the host that holds an inherited connection.
	inheritedRetry = 250 * time.Millisecond
	// inheritedWait is how long an inherited connection may take to come up. It is lost after 40 s anyway.
	inheritedWait = 40 * time.Second
	// silentAfter is how long a client's line may stay unanswered, with nothing else heard from its host since,
	// before the host counts as silent. A sound host sends a line back at once; a few lost packets stay below.
	silentAfter = time.Second
	// stuckAfter is the same for one connection whose host is heard on others.
	stuckAfter = 4 * time.Second
	sweepEvery = 100 * time.Millisecond
)

// Core holds all queries and the balancer that decides on them. It is for the event loop only.
type Core struct {
	log      *slog.Logger
	clock    Clock
	balancer *balance.Balancer
	servers  Servers
	group    Group
	queries  map[balance.RequestID]*Query
	last     balance.RequestID
	events   []balance.Event // that the balancer has not taken yet
	busy     bool
	heard    map[balance.ServerID]time.Duration // when a line last came from a host with open connections
	owed     int                                // queries without a final answer
}

// New returns a core. Connect must follow.
func New(log *slog.Logger, clock Clock, set balance.Settings, seed uint64) *Core {
	return &Core{log: log, clock: clock, balancer: balance.New(set, seed),
		queries: make(map[balance.RequestID]*Query), heard: make(map[balance.ServerID]time.Duration)}
}

// Connect gives the core its servers and its host group, and starts it.
func (c *Core) Connect(servers Servers, group Group) {
	c.servers, c.group = servers, group
	c.clock.After(sweepEvery, c.sweep)
}

// Owed returns how many queries wait for their final answer.
func (c *Core) Owed() int { return c.owed }

// Standing returns how many connections stand.
func (c *Core) Standing() int {
	n := 0
	for _, q := range c.queries {
		if q.state == up {
			n++
		}
	}
	return n
}

// List brings news of the host group.
func (c *Core) List(kind balance.ListKind, entries []balance.Listing) {
	c.feed(balance.ServerList{Kind: kind, Entries: entries})
}

// Probed brings the outcome of a probe.
func (c *Core) Probed(server balance.ServerID, o balance.Outcome, took time.Duration, rep balance.Report) {
	c.feed(balance.Probed{Server: server, Outcome: o, Took: took, Report: rep})
}

// feed brings an event to the balancer and carries out what it answers. Events that come up on the way wait
// their turn, so that the balancer sees them in order and actions are carried out in order.
func (c *Core) feed(ev balance.Event) {
	c.events = append(c.events, ev)
	if c.busy {
		return
	}
	c.busy = true
	for len(c.events) > 0 {
		ev := c.events[0]
		c.events = c.events[1:]
		for _, a := range c.balancer.Handle(c.clock.Now(), ev) {
			c.carryOut(a)
		}
	}
	c.events = nil
	c.busy = false
}

func (c *Core) carryOut(a balance.Action) {
	switch a := a.(type) {
	case balance.Place:
		c.queries[a.Request].place(c, a)
	case balance.Refuse:
		if q := c.queries[a.Request]; q.answer() {
			q.client.Throttle(a.RetryAfter)
			q.forget()
		}
	case balance.Fail:
		if q := c.queries[a.Request]; q.answer() {
			q.client.Fail()
			q.forget()
		}
	case balance.Move:
		if q := c.queries[a.Request]; q != nil && q.state == up {
			q.move(balance.Cancelled)
		}
	case balance.Wake:
		c.clock.After(a.After, func() { c.feed(balance.Woken{Token: a.Token}) })
	case balance.Probe:
		c.servers.Probe(a.Server)
	case balance.Subscribe:
		c.group.Subscribe()
	default:
		c.log.Warn("the balancer asked for what a node does not do", "action", a)
	}
}

type state int

const (
	waiting state = iota // no attempt is out
	trying               // an attempt is out
	up                   // served by a host
	over                 // answered, ended or left by its client
)

// Query is one query of a client.
type Query struct {
	core     *Core
	client   Client
	arrival  balance.Arrival
	at       balance.ServerID // the host of an inherited connection
	state    state
	answered bool
	deadline time.Duration // when an answer is too late
	server   balance.ServerID
	attempt  Attempt
	tries    int // attempts made
	sentAt   time.Duration
	stop     func()        // of the attempt's time-out, or of the next try of an inherited one
	guard    func()        // of the deadline
	askedAt  time.Duration // of the oldest line of the client that nothing came back for; 0: none
}

// Arrive takes a client's query. The client waits for d; a query with a server belongs to a connection that
// was open there before, and goes nowhere else.
func (c *Core) Arrive(client Client, a balance.Arrival, at balance.ServerID, d time.Duration) *Query {
	c.last++
	a.Request = c.last
	a.TimeLeft = max(d-answerMargin, 0)
	q := &Query{core: c, client: client, arrival: a, at: at}
	if at != "" {
		a.TimeLeft = inheritedWait
	}
	q.deadline = c.clock.Now() + a.TimeLeft
	c.queries[a.Request] = q
	c.owed++
	// The balancer answers by its own timers. The guard covers what it may hold too long.
	q.guard = c.clock.After(a.TimeLeft, q.overdue)
	if at != "" {
		q.inherit()
		return q
	}
	q.arrival = a
	c.feed(a)
	return q
}

// Client returns the client's side.
func (q *Query) Client() Client { return q.client }

// Left returns how much longer the client of a query waits.
func (q *Query) Left() time.Duration { return q.deadline - q.core.clock.Now() }

// answer notes the final answer, of which there is one. It says whether it is still to be given.
func (q *Query) answer() bool {
	if q == nil || q.answered {
		return false
	}
	q.answered = true
	q.core.owed--
	q.guard()
	return true
}

// forget ends a query.
func (q *Query) forget() {
	q.state = over
	if q.stop != nil {
		q.stop()
	}
	delete(q.core.queries, q.arrival.Request)
}

func (q *Query) overdue() {
	if q.state == over || !q.answer() {
		return
	}
	q.core.log.Warn("a query was overdue", "class", q.arrival.Class, "attempts", q.tries)
	q.client.Fail() // not a throttle: an attempt may have run
	q.core.feed(balance.Departed{Request: q.arrival.Request})
	q.withdraw(balance.TimedOut)
	q.forget()
}

// withdraw closes the attempt that is out and tells its end.
func (q *Query) withdraw(o balance.Outcome) {
	if q.state != trying && q.state != up {
		return
	}
	q.stop()
	q.attempt.End(true)
	q.ended(o, balance.Report{}, true)
}

// ended tells the balancer how the attempt that was out ended.
func (q *Query) ended(o balance.Outcome, rep balance.Report, final bool) {
	if q.at != "" && q.state != up {
		return // the balancer has not heard of it
	}
	q.core.feed(balance.Ended{Request: q.arrival.Request, Attempt: q.tries - 1, Outcome: o,
		Took: q.core.clock.Now() - q.sentAt, Final: final, Report: rep})
}

// place makes an attempt. No other is out: the balancer places anew only when the last has ended, and what
// ended was closed first.
func (q *Query) place(c *Core, a balance.Place) {
	if q == nil || q.answered || q.state != waiting {
		c.log.Warn("an attempt for a query that takes none", "request", a.Request)
		if q == nil {
			c.feed(balance.Ended{Request: a.Request, Outcome: balance.Unsent, Final: true})
		}
		return
	}
	q.send(a.Server, min(a.Timeout, q.Left()))
}

func (q *Query) send(server balance.ServerID, within time.Duration) {
	q.state = trying
	q.server = server
	q.tries++
	q.sentAt = q.core.clock.Now()
	q.stop = q.core.clock.After(within, func() {
		q.attempt.End(true)
		q.HostEnded(balance.TimedOut, true, balance.Report{})
	})
	q.attempt = q.core.servers.Attempt(q, server, within)
}

// inherit goes to the host that holds the connection.
func (q *Query) inherit() { q.send(q.at, q.Left()) }

// HostUp says that the connection stands, with the host's own word for the client.
func (q *Query) HostUp(answer []byte) {
	if q.state != trying || !q.answer() {
		return
	}
	q.stop()
	q.state = up
	if q.at != "" {
		q.tries = 1
		q.core.feed(balance.Inherited{Arrival: q.arrival, Server: q.at})
	} else {
		q.core.feed(balance.Established{Request: q.arrival.Request, Attempt: q.tries - 1,
			Took: q.core.clock.Now() - q.sentAt})
	}
	q.client.Up(answer)
}

// HostLines passes lines of the host on.
func (q *Query) HostLines(lines []byte) {
	if q.state == up {
		q.askedAt = 0
		q.core.heard[q.server] = q.core.clock.Now()
		q.client.Pass(lines)
	}
}

// HostLoad tells the load of the connection, in microseconds of work a second.
func (q *Query) HostLoad(load float64) {
	if q.state == up {
		q.core.feed(balance.LoadChanged{Request: q.arrival.Request, Load: load})
	}
}

// HostEnded says that the host ended the attempt, or that it never came up. An attempt ends once.
func (q *Query) HostEnded(o balance.Outcome, clean bool, rep balance.Report) {
	switch q.state {
	case up:
		q.client.End(clean)
		q.ended(o, rep, true)
		q.forget()
	case trying:
		q.stop()
		if o == balance.OK && q.answer() { // served to its end at once
			q.client.End(clean)
			q.ended(o, rep, true)
			q.forget()
			return
		}
		q.state = waiting
		if q.at != "" {
			q.stop = q.core.clock.After(inheritedRetry, q.inherit)
			return
		}
		q.ended(o, rep, false)
	}
}

// HostFaulty says that the host sent what cannot be passed on. The host still answers, so that a client that was
// served is moved, not cut off.
func (q *Query) HostFaulty() {
	if q.state == up {
		q.move(balance.Errored)
		return
	}
	q.attempt.End(true)
	q.HostEnded(balance.Errored, true, balance.Report{})
}

// HostBehind says that the host does not take what the client sends, at the speed at which it is sent. The host may
// be sound and still answer: the client is moved, and nothing is held against the host.
func (q *Query) HostBehind() {
	if q.state == up {
		q.move(balance.Cancelled)
	}
}

// ClientLines passes lines of the client on.
func (q *Query) ClientLines(lines []byte) {
	if q.state != up {
		return
	}
	if q.askedAt == 0 {
		q.askedAt = q.core.clock.Now()
	}
	q.attempt.Pass(lines)
}

// ClientGone says that the client has left.
func (q *Query) ClientGone(clean bool) {
	switch q.state {
	case over:
		return
	case up:
		q.attempt.End(clean)
		q.ended(balance.Cancelled, balance.Report{}, true)
	default:
		q.answer()
		if q.at == "" {
			q.core.feed(balance.Departed{Request: q.arrival.Request})
		}
		q.withdraw(balance.Cancelled)
	}
	q.forget()
}

// move sends the client away politely.
func (q *Query) move(o balance.Outcome) {
	q.client.Move()
	q.attempt.End(true)
	q.ended(o, balance.Report{}, true)
	q.forget()
}

// MoveAll moves the clients of all open connections.
func (c *Core) MoveAll() {
	for _, q := range c.queries {
		if q.state == up {
			q.move(balance.Cancelled)
		}
	}
}

// sweep moves the clients whose host has fallen silent. It guards against a host that vanished: its connections
// stay open, and nothing but the missing lines tells. One line that stays unanswered while nothing at all comes
// from the host speaks for all connections there: the others need not wait for lines of their own.
func (c *Core) sweep() {
	c.clock.After(sweepEvery, c.sweep)
	now := c.clock.Now()
	silent, held := make(map[balance.ServerID]bool), make(map[balance.ServerID]bool)
	for _, q := range c.queries {
		if q.state != up {
			continue
		}
		held[q.server] = true
		if q.askedAt > 0 && now-q.askedAt >= silentAfter && c.heard[q.server] < q.askedAt {
			silent[q.server] = true
		}
	}
	for _, q := range c.queries {
		if q.state == up && (silent[q.server] || q.askedAt > 0 && now-q.askedAt >= stuckAfter) {
			q.move(balance.Reset)
		}
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
