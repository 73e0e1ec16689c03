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

// Faults of a client other than those of a line. Clients receive these texts in ERR lines, except for errFull,
// which is only logged.
var (
	errNoRequest    = errors.New("no query has come")
	errSentTooEarly = errors.New("a client sends one line and waits for the answer")
	errClass        = errors.New("the class is unknown")
	errTenant       = errors.New("the tenant is unknown")
	errIDInUse      = errors.New("the id is in use")
	errIDUsed       = errors.New("the id was used before")
	errFull         = errors.New("the node holds as many connections as it may")
)

// Conn is the connection of one client.
type Conn struct {
	acceptor        *Acceptor
	conn            *evloop.Conn
	requestTimer    *evloop.Timer // of requestTimeout
	open            line.Open
	awaitingElement *list.Element  // in Acceptor.awaiting, until a request has arrived
	request         *query.Request // nil until the first line has arrived
	established     bool
	runsOnce        bool // the request must not run again under its id
	ended           bool
}

// Resume sets the request of an adopted connection and handles the input that has arrived.
func (c *Conn) Resume(request *query.Request) {
	c.request = request
	c.conn.Resume()
}

// ID returns the id that the client gave.
func (c *Conn) ID() string { return c.open.ID }

// Idle reports whether Detach would succeed.
func (c *Conn) Idle() bool { return c.established && !c.ended && c.conn.Idle() }

// Detach removes the connection from the loop, to hand it to another process; see evloop.Conn.Detach.
func (c *Conn) Detach() (fd int, unread []byte, ok bool) {
	if fd, unread, ok = c.conn.Detach(); ok {
		id := c.open.ID
		c.open.ID = "" // still open until the other process has taken it
		c.markEnded()
		c.acceptor.loop.After(idTransitTime, func() { c.acceptor.openIDs.release(id) })
	}
	return fd, unread, ok
}

// Opened implements evloop.Handler. The client sends first.
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

// receiveRequest handles the first line of a connection. Further input before the answer is a fault of the client,
// since no host could handle it.
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

// arrive passes the request to the core.
func (c *Conn) arrive(open line.Open) {
	if c.acceptor.loop.ActiveConns() >= c.acceptor.maxConns {
		c.acceptor.recordRejection(errFull)
		c.acceptor.core.CountThrottled(open.Class, open.Tenant)
		c.Throttle(c.acceptor.retryAfter)
		return
	}
	if !c.acceptor.openIDs.claim(open.ID) {
		c.Reject(errIDInUse) // the request that has this id continues
		return
	}
	if !open.HasWait {
		open.Wait = c.acceptor.classes[open.Class].Deadline
	}
	c.requestTimer.Stop()
	c.stopAwaiting()
	c.conn.SetEvictable(false)
	c.open, c.runsOnce = open, c.acceptor.runsOnce(open.Class)
	c.request = c.acceptor.core.Arrive(c, balance.Arrival{Class: open.Class, Tenant: open.Tenant, Key: open.Key,
		Group: open.Group, Load: open.Load, MidFlow: open.MidFlow, Returning: open.Returning, Repeat: open.Retry},
		open.At, open.Wait)
}

// forwardLines passes complete lines on to the host.
func (c *Conn) forwardLines() {
	data := c.conn.Peek()
	n, err := line.Complete(data)
	if n > 0 {
		c.request.ClientLines(data[:n])
		c.conn.Discard(n)
	}
	if err != nil && !c.ended {
		c.acceptor.recordRejection(err)
		c.request.ClientFaulty(err) // the host still answers, so the client is moved and not merely cut off
	}
}

// Reject implements query.Client. It answers a client that cannot be served.
func (c *Conn) Reject(err error) {
	c.acceptor.recordRejection(err)
	c.finish([]byte("ERR " + err.Error() + "\r\n"))
}

// finish sends a last line and closes the connection.
func (c *Conn) finish(last []byte) {
	c.markEnded()
	c.conn.Write(last)
	c.conn.LingeringClose()
}

// markEnded records that the client is gone, or that its connection is being closed.
func (c *Conn) markEnded() {
	if c.ended {
		return
	}
	c.ended = true
	c.requestTimer.Stop()
	c.stopAwaiting()
	if c.open.ID == "" {
		return
	}
	if !c.runsOnce || c.request == nil || !c.request.MayHaveRun() {
		c.acceptor.openIDs.release(c.open.ID)
		return
	}
	c.acceptor.usedIDs.add(line.HashID(c.open.ID))
	c.acceptor.openIDs.retire(c.open.ID)
}

// stopAwaiting removes the client from those that have not sent a request.
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

// OpenLine implements backend.Opener. It appends the first line of the request, for a host that must answer in the
// time left.
func (c *Conn) OpenLine(to []byte, timeLeft time.Duration) []byte { return c.open.Append(to, timeLeft) }

// Established implements query.Client.
func (c *Conn) Established(answer []byte) {
	c.established = true
	c.conn.Write(answer)
}

// Served implements query.Client.
func (c *Conn) Served(answer []byte) { c.finish(answer) }

// Forward implements query.Client.
func (c *Conn) Forward(lines []byte) { c.conn.Write(lines) }

// Throttle implements query.Client.
func (c *Conn) Throttle(after time.Duration) { c.finish(line.AppendBusy(nil, after)) }

// Fail implements query.Client.
func (c *Conn) Fail() { c.finish([]byte("FAIL\r\n")) }

// Move implements query.Client. Only complete lines were passed on, so that MOVE does not split one.
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
