package clientconn

import (
	"container/list"
	"errors"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/line"
	"lichenhitch/internal/query"
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

// Conn is the connection of one client.
type Conn struct {
	acceptor *Acceptor
	link     *evloop.Conn
	late     *evloop.Timer // of the first line
	open     line.Open
	rests    *list.Element // among the acceptor's resting clients, until a request has come
	query    *query.Query  // once a first line has come
	up       bool
	over     bool
}

// Resume gives an adopted client its request and hands on what has come.
func (c *Conn) Resume(q *query.Query) {
	c.query = q
	c.link.Resume()
}

// ID returns the id that the client gave.
func (c *Conn) ID() string { return c.open.ID }

// Idle says whether Detach would say yes.
func (c *Conn) Idle() bool { return c.up && !c.over && c.link.Idle() }

// Detach takes the connection out of the loop for another process; see evloop.Conn.Detach.
func (c *Conn) Detach() (fd int, unread []byte, ok bool) {
	if fd, unread, ok = c.link.Detach(); ok {
		c.leave()
	}
	return fd, unread, ok
}

// Opened implements evloop.Handler. The client speaks first.
func (c *Conn) Opened() {}

// Received implements evloop.Handler.
func (c *Conn) Received() {
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

// first takes a line on a connection that has no request yet. What comes with it, before its answer, no host could
// make sense of.
func (c *Conn) first() {
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
		if c.acceptor.serving() {
			c.link.Write([]byte("PONG\r\n"))
		} else {
			c.link.Write(line.AppendBusy(nil, 0))
		}
	default:
		open, err := line.ParseOpen(text)
		if err == nil {
			err = c.acceptor.check(open)
		}
		if err != nil {
			c.Reject(err)
			return
		}
		c.link.Discard(n)
		c.arrive(open)
	}
}

// arrive brings the request to the core.
func (c *Conn) arrive(open line.Open) {
	if c.acceptor.loop.ActiveConns() >= c.acceptor.maxLinks {
		c.acceptor.note(errFull)
		c.acceptor.core.TurnedAway(open.Class, open.Tenant)
		c.Throttle(c.acceptor.retry)
		return
	}
	if !open.HasWait {
		open.Wait = c.acceptor.classes[open.Class].Deadline
	}
	c.late.Stop()
	c.endRest()
	c.link.SetEvictable(false)
	c.open = open
	c.acceptor.ids[open.ID] = true
	c.query = c.acceptor.core.Arrive(c, balance.Arrival{Class: open.Class, Tenant: open.Tenant, Key: open.Key,
		Group: open.Group, Load: open.Load, MidFlow: open.MidFlow, Returning: open.Returning, Repeat: open.Retry},
		open.At, open.Wait)
}

// pass hands complete lines to the host.
func (c *Conn) pass() {
	data := c.link.Peek()
	n, err := line.Complete(data)
	if n > 0 {
		c.query.ClientLines(data[:n])
		c.link.Discard(n)
	}
	if err != nil && !c.over {
		c.acceptor.note(err)
		c.query.ClientFaulty(err) // its host still answers: it is moved, not merely cut off
	}
}

// Reject implements query.Client: it answers a client that cannot be served.
func (c *Conn) Reject(err error) {
	c.acceptor.note(err)
	c.finish([]byte("ERR " + err.Error() + "\r\n"))
}

// finish says a last line, unless there is none, and closes.
func (c *Conn) finish(last []byte) {
	c.leave()
	c.link.Write(last)
	c.link.LingeringClose()
}

// leave notes that the client is gone, or as good as gone.
func (c *Conn) leave() {
	if c.over {
		return
	}
	c.over = true
	c.late.Stop()
	c.endRest()
	if c.open.ID != "" {
		delete(c.acceptor.ids, c.open.ID)
	}
}

// endRest takes the client off those that have sent no request.
func (c *Conn) endRest() {
	if c.rests != nil {
		c.acceptor.resting.Remove(c.rests)
		c.rests = nil
	}
}

// Closed implements evloop.Handler.
func (c *Conn) Closed(err error) {
	c.leave()
	if c.query != nil {
		c.query.ClientGone(evloop.ClosedCleanly(err))
	}
}

// OpenLine appends the query's first line for a host that is to answer within a time.
func (c *Conn) OpenLine(to []byte, within time.Duration) []byte { return c.open.Append(to, within) }

// Up implements query.Client.
func (c *Conn) Up(answer []byte) {
	c.up = true
	c.link.Write(answer)
}

// Served implements query.Client.
func (c *Conn) Served(answer []byte) { c.finish(answer) }

// Pass implements query.Client.
func (c *Conn) Pass(lines []byte) { c.link.Write(lines) }

// Throttle implements query.Client.
func (c *Conn) Throttle(after time.Duration) { c.finish(line.AppendBusy(nil, after)) }

// Fail implements query.Client.
func (c *Conn) Fail() { c.finish([]byte("FAIL\r\n")) }

// Move implements query.Client. Only whole lines were passed on, so that MOVE stands between two.
func (c *Conn) Move() { c.finish([]byte("MOVE\r\n")) }

// End implements query.Client.
func (c *Conn) End(clean bool) {
	c.leave()
	if clean {
		c.link.LingeringClose()
	} else {
		c.link.Abort()
	}
}
