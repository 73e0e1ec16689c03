// Package clientconn speaks the platform's line protocol with clients. An Acceptor creates a Conn for each
// accepted connection. A Conn passes the client's request to the core and returns the answer.
package clientconn

import (
	"container/list"
	"errors"
	"log/slog"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/line"
	"lichenhitch/internal/query"
)

const (
	// requestTimeout is how long a connection may stay open without a request. Clients send their request as soon
	// as they are connected; others must get an error or be closed within 3 s. Neither an incomplete line nor PING
	// extends the time.
	requestTimeout = 2 * time.Second
	// fullRetryAfter is when a client may try again that was throttled because there were too many connections.
	fullRetryAfter = time.Second
	// logInterval is the interval at which rejected connections are logged.
	logInterval = 10 * time.Second
)

// Acceptor creates a Conn for each accepted connection.
type Acceptor struct {
	log        *slog.Logger
	loop       *evloop.Loop
	core       *query.Core
	classes    map[string]balance.Class
	tenants    map[string]bool // nil if the settings list none
	retryAfter time.Duration   // when a client that is throttled because of too many connections may try again
	maxConns   int
	openIDs    openIDs
	usedIDs    usedIDs
	rejected   map[error]int // connections rejected since the last log line, by reason
	logPending bool
	serving    func() bool // whether the node accepts clients
	awaiting   list.List   // clients that have not sent a request yet, in the order of their arrival

	evictionMessage func() []byte // for clients that have not sent a request yet
}

// New returns an acceptor. With maxConns or more active connections, requests are throttled. serving determines
// the answer to PING; a client that sends a request is served in any case.
func New(log *slog.Logger, loop *evloop.Loop, core *query.Core, set balance.Settings, maxConns int,
	serving func() bool) *Acceptor {
	a := &Acceptor{serving: serving, log: log, loop: loop, core: core, maxConns: maxConns, openIDs: openIDs{counts: map[string]int{}},
		rejected: map[error]int{}}
	a.evictionMessage = func() []byte { return line.AppendBusy(nil, a.retryAfter) }
	a.ApplySettings(set)
	return a
}

// ApplySettings applies new settings to connections whose first line arrives from now on.
func (a *Acceptor) ApplySettings(set balance.Settings) {
	a.retryAfter, a.classes, a.tenants = min(fullRetryAfter, set.MaxRetryAfter), map[string]balance.Class{}, nil
	for _, c := range set.Classes {
		a.classes[c.Name] = c
	}
	if len(set.Tenants) > 0 {
		a.tenants = map[string]bool{}
	}
	for _, t := range set.Tenants {
		a.tenants[t.Name] = true
	}
}

// SetIDLocks sets where ids are marked as open for the other processes of the node. It must be called before the first
// connection is accepted.
func (a *Acceptor) SetIDLocks(locks IDLocks) { a.openIDs.locks = locks }

// SetMaxConns changes the number of connections from which on requests are throttled.
func (a *Acceptor) SetMaxConns(maxConns int) { a.maxConns = maxConns }

// Accept returns the handler of a connection. Until the client has sent a request, the connection is among the
// first to be evicted when there are too many.
func (a *Acceptor) Accept(conn *evloop.Conn) evloop.Handler {
	c := &Conn{acceptor: a, conn: conn}
	c.awaitingElement = a.awaiting.PushBack(c)
	c.requestTimer = a.loop.After(requestTimeout, func() { c.Reject(errNoRequest) })
	conn.SetEvictionMessage(a.evictionMessage)
	conn.SetEvictable(true)
	return c
}

// AwaitingRequest returns the number of clients that have not sent a request yet. Each may send one at any moment
// and must then be answered.
func (a *Acceptor) AwaitingRequest() int { return a.awaiting.Len() }

// ThrottleAwaiting throttles all clients that have not sent a request yet. This already answers what they send
// from now on.
func (a *Acceptor) ThrottleAwaiting() {
	for a.awaiting.Len() > 0 {
		a.awaiting.Front().Value.(*Conn).Throttle(a.retryAfter)
	}
}

// Adopt creates a Conn for a connection that another process of the node established under the given id, for a
// request of the given class. Resume must follow.
func (a *Acceptor) Adopt(conn *evloop.Conn, id, class string) *Conn {
	a.openIDs.adopt(id)
	return &Conn{acceptor: a, conn: conn, open: line.Open{ID: id}, established: true, runsOnce: a.runsOnce(class)}
}

// runsOnce reports whether a request of a class must not run again under its id. A class that the settings have no more
// counts as one.
func (a *Acceptor) runsOnce(class string) bool {
	c, known := a.classes[class]
	return !known || c.Effect != balance.Safe
}

// UsedIDCount returns how many ids have been used in all, those of other processes included.
func (a *Acceptor) UsedIDCount() int { return a.usedIDs.added }

// LatestUsedIDs returns the hashes of the latest ids, at most count, under which requests have come that may have run and
// must not run again, oldest first.
func (a *Acceptor) LatestUsedIDs(count int) []uint64 { return a.usedIDs.latest(count) }

// AddUsedIDs adds ids that another process of the node has used.
func (a *Acceptor) AddUsedIDs(hashes []uint64) {
	for _, hash := range hashes {
		a.usedIDs.add(hash)
	}
}

// recordRejection counts a rejected connection. Rejections must stay cheap, since a client may reconnect at once
// again and again. Therefore only totals are logged.
func (a *Acceptor) recordRejection(reason error) {
	for _, known := range []error{line.ErrTooLong, line.ErrMalformed} {
		if errors.Is(reason, known) {
			reason = known
		}
	}
	a.rejected[reason]++
	if a.logPending {
		return
	}
	a.logPending = true
	a.loop.After(logInterval, func() {
		for reason, n := range a.rejected {
			a.log.Warn("connections were turned away", "reason", reason, "count", n)
		}
		a.log.Info("accepted connections waited for the event loop", "longest", a.loop.TakeLongestWait())
		clear(a.rejected)
		a.logPending = false
	})
}

// check returns why a request cannot be accepted, or nil.
func (a *Acceptor) check(o line.Open) error {
	switch _, known := a.classes[o.Class]; {
	case !known:
		return errClass
	case a.tenants != nil && o.Tenant != "" && !a.tenants[o.Tenant]:
		return errTenant
	case !continuesElsewhere(o) && a.usedIDs.contains(line.HashID(o.ID)):
		return errIDUsed
	}
	return nil
}

// continuesElsewhere reports whether a request belongs to a connection that a host has already, so that it runs nothing anew.
func continuesElsewhere(o line.Open) bool { return o.MidFlow || o.At != "" }
