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
	errNoRequest    = errors.New("no query has come")
	errSentTooEarly = errors.New("a client sends one line and waits for the answer")
	errClass        = errors.New("the class is unknown")
	errTenant       = errors.New("the tenant is unknown")
	errIDInUse      = errors.New("the id is in use")
	errFull         = errors.New("the node holds as many connections as it may")
)

// Conn is the connection of one client.
type Conn struct {
	acceptor        *Acceptor
	conn            *evloop.Conn
	requestTimer    *evloop.Timer // of the first line
	open            line.Open
	awaitingElement *list.Element  // among the acceptor's resting clients, until a request has come
	request         *query.Request // once a first line has come
	established     bool
	ended           bool
}

// Resume gives an adopted client its request and hands on what has come.
func (c *Conn) Resume(request *query.Request) {
	c.request = request
	c.conn.Resume()
}

// ID returns the id that the client gave.
func (c *Conn) ID() string { return c.open.ID }

// Idle says whether Detach would say yes.
func (c *Conn) Idle() bool { return c.established && !c.ended && c.conn.Idle() }

// Detach takes the connection out of the loop for another process; see evloop.Conn.Detach.
func (c *Conn) Detach() (fd int, unread []byte, ok bool) {
	if fd, unread, ok = c.conn.Detach(); ok {
		c.markEnded()
	}
	return fd, unread, ok
}

// Opened implements evloop.Handler. The client speaks first.
func (c *Conn) Opened() {}

// Received implements evloop.Handler.
func (c *Conn) Received() {
	switch {
	case c.ended:
	case c.established:
		c.forwardLines()
	case c.request != nil:
		c.request.ClientFaulty(errSentTooEarly)
	default:
		c.receiveRequest()
	}
}

// first takes a line on a connection that has no request yet. What comes with it, before its answer, no host could
// make sense of.
func (c *Conn) receiveRequest() {
	data := c.conn.Peek()
	text, n, err := line.Next(data)
	switch {
	case err != nil:
		c.Reject(err)
	case n == 0:
	case n < len(data):
		c.Reject(errSentTooEarly)
	case string(text) == "PING":
		c.conn.Discard(n)
		if c.acceptor.serving() {
			c.conn.Write([]byte("PONG\r\n"))
		} else {
			c.conn.Write(line.AppendBusy(nil, 0))
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
		c.conn.Discard(n)
		c.arrive(open)
	}
}

// arrive brings the request to the core.
func (c *Conn) arrive(open line.Open) {
	if c.acceptor.loop.ActiveConns() >= c.acceptor.maxConns {
		c.acceptor.recordRejection(errFull)
		c.acceptor.core.CountThrottled(open.Class, open.Tenant)
		c.Throttle(c.acceptor.retryAfter)
		return
	}
	if !open.HasWait {
		open.Wait = c.acceptor.classes[open.Class].Deadline
	}
	c.requestTimer.Stop()
	c.stopAwaiting()
	c.conn.SetEvictable(false)
	c.open = open
	c.acceptor.openIDs[open.ID] = true
	c.request = c.acceptor.core.Arrive(c, balance.Arrival{Class: open.Class, Tenant: open.Tenant, Key: open.Key,
		Group: open.Group, Load: open.Load, MidFlow: open.MidFlow, Returning: open.Returning, Repeat: open.Retry},
		open.At, open.Wait)
}

// pass hands complete lines to the host.
func (c *Conn) forwardLines() {
	data := c.conn.Peek()
	n, err := line.Complete(data)
	if n > 0 {
		c.request.ClientLines(data[:n])
		c.conn.Discard(n)
	}
	if err != nil && !c.ended {
		c.acceptor.recordRejection(err)
		c.request.ClientFaulty(err) // its host still answers: it is moved, not merely cut off
	}
}

// Reject implements query.Client: it answers a client that cannot be served.
func (c *Conn) Reject(err error) {
	c.acceptor.recordRejection(err)
	c.finish([]byte("ERR " + err.Error() + "\r\n"))
}

// finish says a last line, unless there is none, and closes.
func (c *Conn) finish(last []byte) {
	c.markEnded()
	c.conn.Write(last)
	c.conn.LingeringClose()
}

// leave notes that the client is gone, or as good as gone.
func (c *Conn) markEnded() {
	if c.ended {
		return
	}
	c.ended = true
	c.requestTimer.Stop()
	c.stopAwaiting()
	if c.open.ID != "" {
		delete(c.acceptor.openIDs, c.open.ID)
	}
}

// endRest takes the client off those that have sent no request.
func (c *Conn) stopAwaiting() {
	if c.awaitingElement != nil {
		c.acceptor.awaiting.Remove(c.awaitingElement)
		c.awaitingElement = nil
	}
}

// Closed implements evloop.Handler.
func (c *Conn) Closed(err error) {
	c.markEnded()
	if c.request != nil {
		c.request.ClientGone(evloop.ClosedCleanly(err))
	}
}

// OpenLine appends the query's first line for a host that is to answer within a time.
func (c *Conn) OpenLine(to []byte, timeLeft time.Duration) []byte { return c.open.Append(to, timeLeft) }

// Up implements query.Client.
func (c *Conn) Established(answer []byte) {
	c.established = true
	c.conn.Write(answer)
}

// Served implements query.Client.
func (c *Conn) Served(answer []byte) { c.finish(answer) }

// Pass implements query.Client.
func (c *Conn) Forward(lines []byte) { c.conn.Write(lines) }

// Throttle implements query.Client.
func (c *Conn) Throttle(after time.Duration) { c.finish(line.AppendBusy(nil, after)) }

// Fail implements query.Client.
func (c *Conn) Fail() { c.finish([]byte("FAIL\r\n")) }

// Move implements query.Client. Only whole lines were passed on, so that MOVE stands between two.
func (c *Conn) Move() { c.finish([]byte("MOVE\r\n")) }

// End implements query.Client.
func (c *Conn) End(clean bool) {
	c.markEnded()
	if clean {
		c.conn.LingeringClose()
	} else {
		c.conn.Abort()
	}
}
