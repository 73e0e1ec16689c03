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
	firstWithin = 2 * time.Second
	// fullRetry is when a client may come again that found too many connections here.
	fullRetry = time.Second
	// tellEvery is how often the log tells of connections that were turned away.
	tellEvery = 10 * time.Second
)

// Acceptor makes a Conn of each accepted connection.
type Acceptor struct {
	log      *slog.Logger
	loop     *evloop.Loop
	core     *query.Core
	classes  map[string]balance.Class
	tenants  map[string]bool // nil where none are told
	retry    time.Duration   // when a client that is rejected for want of connections may come again
	maxLinks int
	ids      map[string]bool // of the requests that are open
	turned   map[error]int   // connections turned away since the log last told of them, by the reason
	telling  bool
	serving  func() bool // whether the node wants clients
	resting  list.List   // of clients that have sent no request yet, in the order in which they came
}

// New returns an acceptor. Above maxLinks connections, requests are rejected. serving tells what PING asks; whoever asks for
// more is served all the same.
func New(log *slog.Logger, loop *evloop.Loop, core *query.Core, set balance.Settings, maxLinks int,
	serving func() bool) *Acceptor {
	a := &Acceptor{serving: serving, log: log, loop: loop, core: core, maxLinks: maxLinks, ids: map[string]bool{},
		turned: map[error]int{}}
	a.Retune(set)
	return a
}

// Retune takes new settings up for connections whose first line comes from now on.
func (a *Acceptor) Retune(set balance.Settings) {
	a.retry, a.classes, a.tenants = min(fullRetry, set.MaxRetryAfter), map[string]balance.Class{}, nil
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
func (a *Acceptor) Limit(maxLinks int) { a.maxLinks = maxLinks }

// Accept gives a connection its handler. Until it has a request, it is the first to go when there are too many.
func (a *Acceptor) Accept(link *evloop.Conn) evloop.Handler {
	c := &Conn{acceptor: a, link: link}
	c.rests = a.resting.PushBack(c)
	c.late = a.loop.After(firstWithin, func() { c.Reject(errLate) })
	link.SetEvictionMessage(line.AppendBusy(nil, a.retry))
	link.SetEvictable(true)
	return c
}

// Resting returns how many clients have sent no request yet. Each may do so at any moment, and is owed an answer then.
func (a *Acceptor) Resting() int { return a.resting.Len() }

// TurnAway refuses all clients that have sent no request yet: what they send from now on is answered already.
func (a *Acceptor) TurnAway() {
	for a.resting.Len() > 0 {
		a.resting.Front().Value.(*Conn).Throttle(a.retry)
	}
}

// Adopt makes a Conn of a connection that stood at another process of the node, under its id. Resume must follow.
func (a *Acceptor) Adopt(link *evloop.Conn, id string) *Conn {
	a.ids[id] = true
	return &Conn{acceptor: a, link: link, open: line.Open{ID: id}, up: true}
}

// note counts a connection that is turned away. One that comes back at once, again and again, must stay cheap: the
// log tells sums.
func (a *Acceptor) note(reason error) {
	for _, known := range []error{line.ErrTooLong, line.ErrMalformed} {
		if errors.Is(reason, known) {
			reason = known
		}
	}
	a.turned[reason]++
	if a.telling {
		return
	}
	a.telling = true
	a.loop.After(tellEvery, func() {
		for reason, n := range a.turned {
			a.log.Warn("connections were turned away", "reason", reason, "count", n)
		}
		clear(a.turned)
		a.telling = false
	})
}

// check says why a request cannot be taken, if so.
func (a *Acceptor) check(o line.Open) error {
	switch _, known := a.classes[o.Class]; {
	case !known:
		return errClass
	case a.tenants != nil && o.Tenant != "" && !a.tenants[o.Tenant]:
		return errTenant
	case a.ids[o.ID]:
		return errIDInUse // its owner is not disturbed
	}
	return nil
}
