// Package rules checks whether one node keeps the platform's rules. It sees only what crosses the node's interfaces: the
// requests of clients and their answers, the opening, writing and closing of connections to hosts, and the lists of
// discovery. It knows nothing about how the node decides. The caller reports each event with its time, and the checker
// collects a description of every violation.
package rules

import (
	"fmt"
	"time"

	"lichenhitch/balance"
)

// Limits are the parameters of the rules.
type Limits struct {
	DrainGrace  time.Duration // after a drain notice or a suspension, requests may be sent to the host only for this long
	MaxAttempts int           // per request; inherited ones have no such limit
	Start       time.Duration // subtracted from the times in descriptions of violations
	ReadyOnly   bool          // attempts must be placed on ready hosts only
}

// Answer is the kind of a final answer to a client.
type Answer int

// The answers.
const (
	Up Answer = iota
	Served
	Throttled
	Failed
	Rejected
)

var answerNames = [...]string{"UP", "BYE", "BUSY", "FAIL", "ERR"}

func (a Answer) String() string { return answerNames[a] }

// AttemptEnd says how the host or the network ended an attempt, as far as the node can see.
type AttemptEnd int

// The ends of attempts. Busy and NoConnection prove that the host did not run the request.
const (
	Busy AttemptEnd = iota
	NoConnection
	OtherEnd
)

// Checker records the events of one node and checks them. The zero value is not usable; see New.
type Checker struct {
	limits     Limits
	classes    map[string]balance.Class
	requests   map[int]*request
	conns      map[int]*conn
	hosts      map[balance.ServerID]*host
	violations []string
}

type request struct {
	class           balance.Class
	inherited       bool
	deadline        time.Duration // when the client's time limit ends
	answered        bool
	served          bool
	ended           bool // the served client was notified that its connection ends
	clientLeft      bool
	timedOut        bool
	attempts        int
	firstMayHaveRun int // connection of the first attempt that may have run on its host, or -1
	openConn        int // -1: none
}

type conn struct {
	request     int
	host        balance.ServerID
	begunAt     time.Duration
	sent        bool
	open        bool
	notRun      bool // its end proved that the host did not run the request
	established bool // the host answered UP
	endedByHost bool // by the host or the network
	zone        string
	cell        int
}

type host struct {
	listing     balance.Listing
	listed      bool
	drainedAt   time.Duration // when discovery first listed its current process as not ready; -1: it is ready
	suspendedAt time.Duration // when operators took it out of service; -1: it is in service
}

// New returns a checker for a node with these limits and request classes.
func New(limits Limits, classes []balance.Class) *Checker {
	c := &Checker{limits: limits, classes: map[string]balance.Class{}, requests: map[int]*request{}, conns: map[int]*conn{},
		hosts: map[balance.ServerID]*host{}}
	for _, class := range classes {
		c.classes[class.Name] = class
	}
	return c
}

// Violations returns descriptions of the violations so far, in order.
func (c *Checker) Violations() []string { return c.violations }

func (c *Checker) report(now time.Duration, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("after %v: ", now-c.limits.Start)+fmt.Sprintf(format, args...))
}

// Fingerprint appends bytes that differ between checkers whose recorded requests could lead to different verdicts. The
// first attempt that may have run is left out once its request was answered or its client has left.
func (c *Checker) Fingerprint(to []byte) []byte {
	for id := range len(c.requests) {
		req := c.requests[id]
		if req == nil {
			continue
		}
		to = fmt.Appendf(to, "%s %v %v %v %v %v %v %d %v,", req.class.Name, req.inherited, req.deadline, req.answered, req.served, req.ended,
			req.clientLeft, req.attempts, req.timedOut)
		if req.firstMayHaveRun >= 0 && !req.answered && !req.clientLeft {
			first := c.conns[req.firstMayHaveRun]
			to = fmt.Appendf(to, "%v %s %d", first.begunAt, first.zone, first.cell)
		}
		to = append(to, ';')
	}
	return to
}

// AddViolation adds a violation that the caller has found.
func (c *Checker) AddViolation(now time.Duration, what string) { c.report(now, "%s", what) }

// Arrived records that a client has sent a request and waits for its answer until the timeout has passed.
func (c *Checker) Arrived(now time.Duration, id int, class string, inherited bool, timeout time.Duration) {
	c.requests[id] = &request{class: c.classes[class], inherited: inherited, deadline: now + timeout, firstMayHaveRun: -1, openConn: -1}
}

// Answered records that a client got a final answer. For Up, connID is the connection whose host answered UP.
func (c *Checker) Answered(now time.Duration, id int, answer Answer, connID int) {
	req := c.requests[id]
	switch {
	case req.clientLeft:
		c.report(now, "request %d is answered %s after its client has left", id+1, answer)
	case req.answered:
		c.report(now, "request %d is answered a second time: %s", id+1, answer)
	case now > req.deadline || req.timedOut:
		c.report(now, "request %d is answered %s %v after its client's time limit", id+1, answer, now-req.deadline)
	}
	req.answered = true
	req.served = answer == Up
	switch answer {
	case Up:
		if answering := c.conns[connID]; answering == nil || answering.request != id || !answering.open || !answering.established {
			c.report(now, "request %d is answered UP although its host did not answer UP", id+1)
		}
	case Throttled:
		if req.firstMayHaveRun >= 0 && (req.class.Effect == balance.Unsafe || req.class.Effect == balance.Keyed &&
			req.class.Group != balance.GroupAll) {
			c.report(now, "request %d, class %s, is refused although an attempt may have run", id+1, req.class.Name)
		}
	}
}

// ClientTimedOut records that a client's time limit has passed.
func (c *Checker) ClientTimedOut(now time.Duration, id int) {
	if req := c.requests[id]; !req.answered && !req.clientLeft {
		req.timedOut = true
		c.report(now, "request %d has no answer at its client's time limit", id+1)
	}
}

// ClientLeft records that a client has left.
func (c *Checker) ClientLeft(id int) { c.requests[id].clientLeft = true }

// ClientEnded records that a served client is notified of the end of its connection. With move, the node moves the client;
// otherwise the connection must have been ended by the host.
func (c *Checker) ClientEnded(now time.Duration, id int, move bool) {
	req := c.requests[id]
	switch {
	case !req.served:
		c.report(now, "request %d is moved or ended without having been served", id+1)
	case req.ended:
		c.report(now, "the client of request %d is notified of the end twice", id+1)
	case !move && req.openConn >= 0 && !c.conns[req.openConn].endedByHost:
		c.report(now, "request %d is disconnected without MOVE although its host has not ended the connection", id+1)
	}
	req.ended = true
}

// AttemptStarted records that the node opens a connection to a host for a request.
func (c *Checker) AttemptStarted(now time.Duration, connID, id int, server balance.ServerID) {
	req, host := c.requests[id], c.hosts[server]
	started := &conn{request: id, host: server, begunAt: now, open: true}
	if host != nil {
		started.zone, started.cell = host.listing.Zone, host.listing.Cell
	}
	c.conns[connID] = started
	if req.openConn >= 0 {
		c.report(now, "request %d has two pending attempts, at %s and %s", id+1, c.conns[req.openConn].host, server)
	}
	if req.answered || req.clientLeft || req.timedOut {
		c.report(now, "an attempt at %s for request %d, which is finished", server, id+1)
	}
	req.openConn = connID
	if req.inherited {
		return
	}
	if req.attempts++; req.attempts > c.limits.MaxAttempts {
		c.report(now, "request %d has attempt %d of %d", id+1, req.attempts, c.limits.MaxAttempts)
	}
	if c.limits.ReadyOnly && (host == nil || !host.listed || host.listing.State != balance.Ready) {
		c.report(now, "request %d is placed on %s, which is not ready", id+1, server)
	}
	if host != nil && host.suspendedAt >= 0 && c.limits.ReadyOnly {
		c.report(now, "request %d is placed on %s, which is out by hand", id+1, server)
	}
	c.checkRepeat(now, id, req, started)
}

// checkRepeat checks whether the class of a request permits a repeated attempt after one that may have run.
func (c *Checker) checkRepeat(now time.Duration, id int, req *request, repeated *conn) {
	if req.firstMayHaveRun < 0 || req.class.Effect == balance.Safe {
		return
	}
	first := c.conns[req.firstMayHaveRun]
	switch {
	case req.class.Effect == balance.Unsafe:
		c.report(now, "request %d, class %s, is repeated although an attempt may have run", id+1, req.class.Name)
	case req.class.Group == balance.GroupZone && repeated.zone != first.zone,
		req.class.Group == balance.GroupCell && repeated.cell != first.cell:
		c.report(now, "request %d, class %s, is repeated outside the group of its first attempt", id+1, req.class.Name)
	case now > first.begunAt+req.class.Window:
		c.report(now, "request %d, class %s, is repeated after its window", id+1, req.class.Name)
	}
}

// Sent records that the first byte of a request is written to a host.
func (c *Checker) Sent(now time.Duration, connID int) {
	sending := c.conns[connID]
	sending.sent = true
	host := c.hosts[sending.host]
	if host != nil && host.drainedAt >= 0 && now > host.drainedAt+c.limits.DrainGrace {
		c.report(now, "%s is sent request %d %v after its drain was told", sending.host, sending.request+1, now-host.drainedAt)
	}
	if host != nil && host.suspendedAt >= 0 && now > host.suspendedAt+c.limits.DrainGrace {
		c.report(now, "%s is sent request %d %v after it was taken out by hand", sending.host, sending.request+1, now-host.suspendedAt)
	}
	if !sending.open {
		c.report(now, "a request is written to a closed connection to %s", sending.host)
	}
}

// HostEstablished records that a host answers UP on a connection.
func (c *Checker) HostEstablished(connID int) { c.conns[connID].established = true }

// HostEnded records that the host or the network ends a connection.
func (c *Checker) HostEnded(connID int, end AttemptEnd) {
	ended := c.conns[connID]
	ended.endedByHost = true
	c.closeConn(connID, ended, end != OtherEnd)
}

// Closed records that the node closes a connection.
func (c *Checker) Closed(connID int) {
	if closed := c.conns[connID]; closed.open {
		c.closeConn(connID, closed, false)
	}
}

func (c *Checker) closeConn(connID int, closed *conn, notRun bool) {
	closed.open, closed.notRun = false, notRun
	req := c.requests[closed.request]
	if !notRun && closed.sent && req.firstMayHaveRun < 0 {
		req.firstMayHaveRun = connID
	}
	if req.openConn == connID {
		req.openConn = -1
	}
}

// Forwarded records that lines are forwarded between a client and a host, in either direction.
func (c *Checker) Forwarded(now time.Duration, connID, id int) {
	if forwarding := c.conns[connID]; forwarding == nil || forwarding.request != id || !c.requests[id].served {
		c.report(now, "lines are forwarded between request %d and a host that does not serve it", id+1)
	}
}

// Listed records an entry that the node got from discovery. An entry that is Gone may name a host that was never listed.
func (c *Checker) Listed(now time.Duration, listing balance.Listing) {
	known := c.hosts[listing.Server]
	if known == nil {
		known = &host{drainedAt: -1, suspendedAt: -1}
		c.hosts[listing.Server] = known
	}
	restarted := listing.State != balance.Gone && known.listing.Started != listing.Started
	started := known.listing.Started
	if known.listing, known.listed = listing, listing.State != balance.Gone; !known.listed {
		known.listing.Started = started
	}
	switch {
	case listing.State == balance.Ready:
		known.drainedAt = -1
	case known.drainedAt < 0 || restarted:
		known.drainedAt = now
	}
}

// Suspended records that operators take a host out of service, or put it back with suspended false. It applies whatever
// discovery reports.
func (c *Checker) Suspended(now time.Duration, server balance.ServerID, suspended bool) {
	switch host := c.hosts[server]; {
	case !suspended:
		host.suspendedAt = -1
	case host.suspendedAt < 0:
		host.suspendedAt = now
	}
}

// Probed records that the node probes a host.
func (c *Checker) Probed(now time.Duration, server balance.ServerID) {
	if host := c.hosts[server]; host != nil && host.suspendedAt >= 0 {
		c.report(now, "%s is probed, which is out by hand", server)
	}
}

// CheckFinished checks that no connection to a host stays open for a request that is finished, which it is when its client
// was answered and not served, has left, or was notified of the end. It also checks that a served client whose connection
// to the host is closed was notified.
func (c *Checker) CheckFinished(now time.Duration) {
	for id, req := range c.requests {
		finished := req.clientLeft || req.ended || req.answered && !req.served
		if finished && req.openConn >= 0 {
			c.report(now, "request %d is finished, and its connection to %s is left open", id+1, c.conns[req.openConn].host)
		}
		if req.served && !finished && req.openConn < 0 {
			c.report(now, "request %d was served, its connection to the host is closed, and its client is not notified", id+1)
		}
	}
}

// Stopped checks that a node that stops has answered every client, and, unless packets pass through, has sent MOVE to those
// that it served.
func (c *Checker) Stopped(now time.Duration, passThrough bool) {
	for id, req := range c.requests {
		switch {
		case req.clientLeft:
		case !req.answered:
			c.report(now, "request %d has no answer when the node stops", id+1)
		case req.served && !req.ended && !passThrough:
			c.report(now, "request %d is disconnected without MOVE when the node stops", id+1)
		}
	}
}
