// Package clientconn speaks the platform's lines with clients: an Acceptor makes a Conn of each connection that is accepted,
// and a Conn brings its request to the core and carries the answer back.
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
	// firstWithin is how long a connection may stand without a request. A client asks as soon as it is connected;
	// an error or a close is owed to the others within 3 s. What trickles in, and PING, does not renew it.
	requestTimeout = 2 * time.Second
	// fullRetry is when a client may come again that found too many connections here.
	fullRetryAfter = time.Second
	// tellEvery is how often the log tells of connections that were turned away.
	logInterval = 10 * time.Second
)

// Acceptor makes a Conn of each accepted connection.
type Acceptor struct {
	log        *slog.Logger
	loop       *evloop.Loop
	core       *query.Core
	classes    map[string]balance.Class
	tenants    map[string]bool // nil where none are told
	retryAfter time.Duration   // when a client that is rejected for want of connections may come again
	maxConns   int
	openIDs    map[string]bool // of the requests that are open
	rejected   map[error]int   // connections turned away since the log last told of them, by the reason
	logPending bool
	serving    func() bool // whether the node wants clients
	awaiting   list.List   // of clients that have sent no request yet, in the order in which they came
}

// New returns an acceptor. Above maxLinks connections, requests are rejected. serving tells what PING asks; whoever asks for
// more is served all the same.
func New(log *slog.Logger, loop *evloop.Loop, core *query.Core, set balance.Settings, maxConns int,
	serving func() bool) *Acceptor {
	a := &Acceptor{serving: serving, log: log, loop: loop, core: core, maxConns: maxConns, openIDs: map[string]bool{},
		rejected: map[error]int{}}
	a.ApplySettings(set)
	return a
}

// Retune takes new settings up for connections whose first line comes from now on.
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

// Limit changes above how many connections requests are rejected.
func (a *Acceptor) SetMaxConns(maxConns int) { a.maxConns = maxConns }

// Accept gives a connection its handler. Until it has a request, it is the first to go when there are too many.
func (a *Acceptor) Accept(conn *evloop.Conn) evloop.Handler {
	c := &Conn{acceptor: a, conn: conn}
	c.awaitingElement = a.awaiting.PushBack(c)
	c.requestTimer = a.loop.After(requestTimeout, func() { c.Reject(errNoRequest) })
	conn.SetEvictionMessage(line.AppendBusy(nil, a.retryAfter))
	conn.SetEvictable(true)
	return c
}

// Resting returns how many clients have sent no request yet. Each may do so at any moment, and is owed an answer then.
func (a *Acceptor) AwaitingRequest() int { return a.awaiting.Len() }

// TurnAway refuses all clients that have sent no request yet: what they send from now on is answered already.
func (a *Acceptor) ThrottleAwaiting() {
	for a.awaiting.Len() > 0 {
		a.awaiting.Front().Value.(*Conn).Throttle(a.retryAfter)
	}
}

// Adopt makes a Conn of a connection that stood at another process of the node, under its id. Resume must follow.
func (a *Acceptor) Adopt(conn *evloop.Conn, id string) *Conn {
	a.openIDs[id] = true
	return &Conn{acceptor: a, conn: conn, open: line.Open{ID: id}, established: true}
}

// note counts a connection that is turned away. One that comes back at once, again and again, must stay cheap: the
// log tells sums.
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
		clear(a.rejected)
		a.logPending = false
	})
}

// check says why a request cannot be taken, if so.
func (a *Acceptor) check(o line.Open) error {
	switch _, known := a.classes[o.Class]; {
	case !known:
		return errClass
	case a.tenants != nil && o.Tenant != "" && !a.tenants[o.Tenant]:
		return errTenant
	case a.openIDs[o.ID]:
		return errIDInUse // its owner is not disturbed
	}
	return nil
}
