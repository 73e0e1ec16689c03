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

// Adopted is a connection to a host that stood at another process of the node, until Attach says which try it is.
type Adopted struct{ attempt }

// Adopt makes a handler of such a connection.
func (c *Connector) Adopt(conn *evloop.Conn) *Adopted {
	return &Adopted{attempt{connector: c, conn: conn, sent: true, established: true}}
}

// Attach says which try it is. What came meanwhile is handed on by Resume.
func (a *Adopted) Attach(ref query.AttemptRef) { a.ref = ref }

// Resume hands on what has come.
func (a *Adopted) Resume() { a.conn.Resume() }

// Detach takes the connection of an attempt out of the loop for another process; see evloop.Conn.Detach.
func Detach(hostConn query.Attempt) (fd int, unread []byte, ok bool) {
	a := unwrap(hostConn)
	if a == nil || !a.established || a.ending != notEnding {
		return -1, nil, false
	}
	return a.conn.Detach()
}

// Idle says whether Detach would say yes.
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

// attempt is a query's connection to a host.
type attempt struct {
	connector   *Connector
	ref         query.AttemptRef
	conn        *evloop.Conn
	deadline    time.Duration
	sent        bool // the first line is written
	established bool
	ending      hostEnding // what the host said of the end
	report      balance.Report
}

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
		return // an adopted one
	}
	if !a.ref.AllowSend() {
		return
	}
	opener := a.ref.Client().(Opener)
	a.sent = true
	a.conn.Write(opener.OpenLine(nil, a.deadline-a.connector.loop.Now()))
}

// Received implements evloop.Handler. Before UP, the lines are for the node; from then on they are the client's.
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

// ending notes a line that ends the connection.
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

// pass hands complete lines to the client and takes note of what they say.
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

// finish closes the connection after a line that ends it, before anything was passed on.
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
		outcome = balance.Unsent // no fault of the host's
	}
	// A host that has said its last word has ended in good order, whatever broke on the way.
	a.ref.Ended(outcome, evloop.ClosedCleanly(err) || a.ending != notEnding, a.report, nil)
}

// Pass implements query.Attempt.
func (a *attempt) Forward(lines []byte) { a.conn.Write(lines) }

// End implements query.Attempt. What the client sent last has to reach the host that holds its connection, so that this is
// not closed over what the host still says: that would reset it.
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

// Over implements query.Attempt.
func (a *attempt) EndReceived() bool { return a.established && a.ending != notEnding }
