// Package clientlink speaks the platform's lines with clients: one object for each connection that the front
// brings.
package clientlink

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
	// firstWithin is how long a connection may stand without a query. A client asks as soon as it is connected;
	// an error or a close is owed to the others within 3 s. What trickles in, and PING, does not renew it.
	firstWithin = 2 * time.Second
	// fullRetry is when a client may come again that found too many connections here.
	fullRetry = time.Second
	// tellEvery is how often the log tells of connections that were turned away.
	tellEvery = 10 * time.Second
)

// The faults of a client, besides those of its line.
var (
	errLate    = errors.New("no query has come")
	errEager   = errors.New("a client sends one line and waits for the answer")
	errClass   = errors.New("the class is unknown")
	errTenant  = errors.New("the tenant is unknown")
	errIDInUse = errors.New("the id is in use")
	errFull    = errors.New("the node holds as many connections as it may")
)

// Door makes client links of accepted connections.
type Door struct {
	log      *slog.Logger
	loop     *evloop.Loop
	core     *query.Core
	classes  map[string]balance.Class
	tenants  map[string]bool // nil where none are told
	retry    time.Duration   // the advice of a throttle for want of connections
	maxLinks int
	ids      map[string]bool // of the queries that are open
	turned   map[error]int   // connections turned away since the log last told of them, by the reason
	telling  bool
	serving  func() bool // whether the node wants clients
	resting  list.List   // of clients that have sent no request yet, in the order in which they came
}

// New returns a door. Above maxLinks connections, queries are throttled. serving tells what PING asks; whoever asks for
// more is served all the same.
func New(log *slog.Logger, loop *evloop.Loop, core *query.Core, set balance.Settings, maxLinks int,
	serving func() bool) *Door {
	d := &Door{serving: serving, log: log, loop: loop, core: core, maxLinks: maxLinks, ids: map[string]bool{},
		turned: map[error]int{}}
	d.Retune(set)
	return d
}

// Retune takes new settings up for connections whose first line comes from now on.
func (d *Door) Retune(set balance.Settings) {
	d.retry, d.classes, d.tenants = min(fullRetry, set.MaxRetryAfter), map[string]balance.Class{}, nil
	for _, c := range set.Classes {
		d.classes[c.Name] = c
	}
	if len(set.Tenants) > 0 {
		d.tenants = map[string]bool{}
	}
	for _, t := range set.Tenants {
		d.tenants[t.Name] = true
	}
}

// Limit changes above how many connections queries are throttled.
func (d *Door) Limit(maxLinks int) { d.maxLinks = maxLinks }

// Accept gives a connection its handler. Until it has a query, it is the first to go when there are too many.
func (d *Door) Accept(link *evloop.Link) evloop.Handler {
	c := &Client{door: d, link: link}
	c.rests = d.resting.PushBack(c)
	c.late = d.loop.After(firstWithin, func() { c.Reject(errLate) })
	link.LastWord(line.AppendBusy(nil, d.retry))
	link.Spare(true)
	return c
}

// Resting returns how many clients have sent no request yet. Each may do so at any moment, and is owed an answer then.
func (d *Door) Resting() int { return d.resting.Len() }

// TurnAway refuses all clients that have sent no request yet: what they send from now on is answered already.
func (d *Door) TurnAway() {
	for d.resting.Len() > 0 {
		d.resting.Front().Value.(*Client).Throttle(d.retry)
	}
}

// Adopt makes a client link of a connection that stood at another process of the node, under its id. Resume must follow.
func (d *Door) Adopt(link *evloop.Link, id string) *Client {
	d.ids[id] = true
	return &Client{door: d, link: link, open: line.Open{ID: id}, up: true}
}

// Resume gives an adopted client its query and hands on what has come.
func (c *Client) Resume(q *query.Query) {
	c.query = q
	c.link.Resume()
}

// ID returns the id that the client gave.
func (c *Client) ID() string { return c.open.ID }

// Idle says whether Detach would say yes.
func (c *Client) Idle() bool { return c.up && !c.over && c.link.Idle() }

// Detach takes the connection out of the loop for another process; see evloop.Link.Detach.
func (c *Client) Detach() (fd int, unread []byte, ok bool) {
	if fd, unread, ok = c.link.Detach(); ok {
		c.leave()
	}
	return fd, unread, ok
}

// note counts a connection that is turned away. One that comes back at once, again and again, must stay cheap: the
// log tells sums.
func (d *Door) note(reason error) {
	for _, known := range []error{line.ErrTooLong, line.ErrMalformed} {
		if errors.Is(reason, known) {
			reason = known
		}
	}
	d.turned[reason]++
	if d.telling {
		return
	}
	d.telling = true
	d.loop.After(tellEvery, func() {
		for reason, n := range d.turned {
			d.log.Warn("connections were turned away", "reason", reason, "count", n)
		}
		clear(d.turned)
		d.telling = false
	})
}

// check says why a query cannot be taken, if so.
func (d *Door) check(o line.Open) error {
	switch _, known := d.classes[o.Class]; {
	case !known:
		return errClass
	case d.tenants != nil && o.Tenant != "" && !d.tenants[o.Tenant]:
		return errTenant
	case d.ids[o.ID]:
		return errIDInUse // its owner is not disturbed
	}
	return nil
}

// Client is a client link.
type Client struct {
	door  *Door
	link  *evloop.Link
	late  *evloop.Timer // of the first line
	open  line.Open
	rests *list.Element // among the door's resting clients, until a request has come
	query *query.Query  // once a first line has come
	up    bool
	over  bool
}

// Opened implements evloop.Handler. The client speaks first.
func (c *Client) Opened() {}

// Received implements evloop.Handler.
func (c *Client) Received() {
	switch {
	case c.over:
	case c.up:
		c.pass()
	case c.query != nil:
		c.query.ClientFaulty(errEager)
	default:
		c.first()
	}
}

// first takes a line on a connection that has no query yet. What comes with it, before its answer, no host could
// make sense of.
func (c *Client) first() {
	data := c.link.Peek()
	text, n, err := line.Next(data)
	switch {
	case err != nil:
		c.Reject(err)
	case n == 0:
	case n < len(data):
		c.Reject(errEager)
	case string(text) == "PING":
		c.link.Discard(n)
		if c.door.serving() {
			c.link.Write([]byte("PONG\r\n"))
		} else {
			c.link.Write(line.AppendBusy(nil, 0))
		}
	default:
		open, err := line.ParseOpen(text)
		if err == nil {
			err = c.door.check(open)
		}
		if err != nil {
			c.Reject(err)
			return
		}
		c.link.Discard(n)
		c.arrive(open)
	}
}

// arrive brings the query to the core.
func (c *Client) arrive(open line.Open) {
	if c.door.loop.Held() >= c.door.maxLinks {
		c.door.note(errFull)
		c.door.core.TurnedAway(open.Class, open.Tenant)
		c.Throttle(c.door.retry)
		return
	}
	if !open.Told {
		open.Wait = c.door.classes[open.Class].Deadline
	}
	c.late.Stop()
	c.endRest()
	c.link.Spare(false)
	c.open = open
	c.door.ids[open.ID] = true
	c.query = c.door.core.Arrive(c, balance.Arrival{Class: open.Class, Tenant: open.Tenant, Key: open.Key,
		Group: open.Group, Load: open.Load, MidFlow: open.MidFlow, Returning: open.Again, Repeat: open.Retry},
		open.At, open.Wait)
}

// pass hands complete lines to the host.
func (c *Client) pass() {
	data := c.link.Peek()
	n, err := line.Complete(data)
	if n > 0 {
		c.query.ClientLines(data[:n])
		c.link.Discard(n)
	}
	if err != nil && !c.over {
		c.door.note(err)
		c.query.ClientFaulty(err) // its host still answers: it is moved, not merely cut off
	}
}

// Reject implements query.Client: it answers a client that cannot be served.
func (c *Client) Reject(err error) {
	c.door.note(err)
	c.finish([]byte("ERR " + err.Error() + "\r\n"))
}

// finish says a last line, unless there is none, and closes.
func (c *Client) finish(last []byte) {
	c.leave()
	c.link.Write(last)
	c.link.Finish()
}

// leave notes that the client is gone, or as good as gone.
func (c *Client) leave() {
	if c.over {
		return
	}
	c.over = true
	c.late.Stop()
	c.endRest()
	if c.open.ID != "" {
		delete(c.door.ids, c.open.ID)
	}
}

// endRest takes the client off those that have sent no request.
func (c *Client) endRest() {
	if c.rests != nil {
		c.door.resting.Remove(c.rests)
		c.rests = nil
	}
}

// Closed implements evloop.Handler.
func (c *Client) Closed(err error) {
	c.leave()
	if c.query != nil {
		c.query.ClientGone(evloop.Clean(err))
	}
}

// OpenLine appends the query's first line for a host that is to answer within a time.
func (c *Client) OpenLine(to []byte, within time.Duration) []byte { return c.open.Append(to, within) }

// Up implements query.Client.
func (c *Client) Up(answer []byte) {
	c.up = true
	c.link.Write(answer)
}

// Served implements query.Client.
func (c *Client) Served(answer []byte) { c.finish(answer) }

// Pass implements query.Client.
func (c *Client) Pass(lines []byte) { c.link.Write(lines) }

// Throttle implements query.Client.
func (c *Client) Throttle(after time.Duration) { c.finish(line.AppendBusy(nil, after)) }

// Fail implements query.Client.
func (c *Client) Fail() { c.finish([]byte("FAIL\r\n")) }

// Move implements query.Client. Only whole lines were passed on, so that MOVE stands between two.
func (c *Client) Move() { c.finish([]byte("MOVE\r\n")) }

// End implements query.Client.
func (c *Client) End(clean bool) {
	c.leave()
	if clean {
		c.link.Finish()
	} else {
		c.link.Abort()
	}
}
