package backend

import (
	"errors"
	"strconv"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/line"
	"lichenhitch/internal/query"
)

// Attempt implements query.Servers.
func (c *Connector) Attempt(ref query.AttemptRef, server balance.ServerID, timeout time.Duration) query.Attempt {
	a := &attempt{connector: c, ref: ref, deadline: c.loop.Now() + timeout}
	a.conn = c.loop.Dial(c.endpoint(server), min(c.connectTimeout, timeout), a)
	return a
}

// Adopted is a connection to a host that another process of the node established. Attach must follow.
type Adopted struct{ attempt }

// Adopt returns a handler for such a connection.
func (c *Connector) Adopt(conn *evloop.Conn) *Adopted {
	return &Adopted{attempt{connector: c, conn: conn, sent: true, established: true}}
}

// Attach sets the attempt to which the connection belongs. Resume handles the input that has arrived meanwhile.
func (a *Adopted) Attach(ref query.AttemptRef) { a.ref = ref }

// Resume handles the input that has arrived, and all that follows.
func (a *Adopted) Resume() { a.conn.Resume() }

// Detach removes the connection of an attempt from the loop, to hand it to another process; see
// evloop.Conn.Detach.
func Detach(hostConn query.Attempt) (fd int, unread []byte, ok bool) {
	a := unwrap(hostConn)
	if a == nil || !a.established || a.ending != notEnding {
		return -1, nil, false
	}
	return a.conn.Detach()
}

// Idle reports whether Detach would succeed.
func Idle(hostConn query.Attempt) bool {
	a := unwrap(hostConn)
	return a != nil && a.established && a.ending == notEnding && a.conn.Idle()
}

func unwrap(hostConn query.Attempt) *attempt {
	switch a := hostConn.(type) {
	case *attempt:
		return a
	case *Adopted:
		return &a.attempt
	}
	return nil
}

// attempt is a connection to a host for one attempt of a request.
type attempt struct {
	connector   *Connector
	ref         query.AttemptRef
	conn        *evloop.Conn
	deadline    time.Duration
	sent        bool // the first line was written
	established bool
	ending      hostEnding // what the host announced about the end
	report      balance.Report
}

// hostEnding is the kind of the line with which a host announces the end of a connection.
type hostEnding int

const (
	notEnding hostEnding = iota
	endBye
	endMove
	endErr
	endBusy
)

// Opened implements evloop.Handler.
func (a *attempt) Opened() {
	if a.sent {
		return // an adopted connection
	}
	if !a.ref.AllowSend() {
		return
	}
	opener := a.ref.Client().(Opener)
	a.sent = true
	a.conn.Write(opener.OpenLine(nil, a.deadline-a.connector.loop.Now()))
}

// Received implements evloop.Handler. Lines before UP are for this node. UP and all later lines are passed on to
// the client.
func (a *attempt) Received() {
	for !a.established {
		text, n, err := line.Next(a.conn.Peek())
		if err != nil {
			a.hostFault(err)
			return
		}
		if n == 0 {
			return
		}
		wholeLine := a.conn.Peek()[:n]
		a.conn.Discard(n)
		first, rest := line.Word(text)
		switch string(first) {
		case "UP":
			a.established = true
			a.ref.Established(wholeLine)
		default:
			if !a.recordEnding(string(first), rest) {
				a.connector.log.Warn("a host answered with an unknown line", "line", string(first))
				a.ending = endErr
			}
			a.finish(wholeLine)
			return
		}
	}
	a.forwardLines()
}

// recordEnding records a line that announces the end of the connection. It returns false for any other line.
func (a *attempt) recordEnding(first string, rest []byte) bool {
	switch first {
	case "BYE":
		a.ending = endBye
	case "MOVE":
		a.ending = endMove
	case "ERR":
		a.ending = endErr
	case "BUSY":
		a.ending = endBusy
	default:
		return false
	}
	a.report = line.ParseReport(rest)
	return true
}

// forwardLines passes complete lines on to the client, and reads the load and the end of the connection from them.
func (a *attempt) forwardLines() {
	data := a.conn.Peek()
	n, err := line.Complete(data)
	for rest := data[:n]; len(rest) > 0; {
		text, size, err := line.Next(rest)
		if size == 0 || err != nil {
			break
		}
		rest = rest[size:]
		first, more := line.Word(text)
		if string(first) == "LOAD" {
			if load, err := strconv.ParseFloat(string(more), 64); err == nil {
				a.ref.LoadChanged(load)
			}
			continue
		}
		a.recordEnding(string(first), more)
	}
	if n > 0 {
		a.conn.Discard(n)
		a.ref.HostLines(data[:n])
	}
	if err != nil {
		a.hostFault(err)
	}
}

func (a *attempt) hostFault(err error) {
	a.connector.log.Warn("a host's line cannot be passed on", "error", err)
	a.ref.HostFaulty()
}

// finish closes the connection after a line that ends it before it was established.
func (a *attempt) finish(answer []byte) {
	a.conn.Close()
	a.ref.Ended(a.outcome(), true, a.report, answer)
}

func (a *attempt) outcome() balance.Outcome {
	switch a.ending {
	case endBye:
		return balance.OK
	case endMove:
		return balance.Cancelled
	case endErr:
		return balance.Errored
	case endBusy:
		return balance.Full
	}
	if !a.sent {
		return balance.Unreachable
	}
	return balance.Reset
}

// Closed implements evloop.Handler.
func (a *attempt) Closed(err error) {
	if a.established && errors.Is(err, evloop.ErrNotReading) {
		a.ref.HostNotReading()
		return
	}
	outcome := a.outcome()
	if errors.Is(err, evloop.ErrTooManyConns) {
		outcome = balance.Unsent // not a fault of the host
	}
	// After the host has announced the end, the connection has ended cleanly, even if closing it failed.
	a.ref.Ended(outcome, evloop.ClosedCleanly(err) || a.ending != notEnding, a.report, nil)
}

// Forward implements query.Attempt.
func (a *attempt) Forward(lines []byte) { a.conn.Write(lines) }

// End implements query.Attempt. If the host has established the connection, the client's last lines must reach it.
// Therefore the connection lingers: closing it while the host still sends would reset it.
func (a *attempt) End(clean bool) {
	switch {
	case !clean:
		a.conn.Abort()
	case a.established:
		a.conn.LingeringClose()
	default:
		a.conn.Close()
	}
}

// Sent implements query.Attempt.
func (a *attempt) Sent() bool { return a.sent }

// EndReceived implements query.Attempt.
func (a *attempt) EndReceived() bool { return a.established && a.ending != notEnding }
