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
func (h *Connector) Attempt(t query.Try, server balance.ServerID, within time.Duration) query.Attempt {
	a := &attempt{connector: h, try: t, until: h.loop.Now() + within}
	a.link = h.loop.Dial(h.endpoint(server), min(h.timeout, within), a)
	return a
}

// Adopted is a connection to a host that stood at another process of the node, until Attach says which try it is.
type Adopted struct{ attempt }

// Adopt makes a handler of such a connection.
func (h *Connector) Adopt(link *evloop.Conn) *Adopted {
	return &Adopted{attempt{connector: h, link: link, sent: true, up: true}}
}

// Attach says which try it is. What came meanwhile is handed on by Resume.
func (a *Adopted) Attach(t query.Try) { a.try = t }

// Resume hands on what has come.
func (a *Adopted) Resume() { a.link.Resume() }

// Detach takes the connection of an attempt out of the loop for another process; see evloop.Conn.Detach.
func Detach(q query.Attempt) (fd int, unread []byte, ok bool) {
	a := of(q)
	if a == nil || !a.up || a.last != none {
		return -1, nil, false
	}
	return a.link.Detach()
}

// Idle says whether Detach would say yes.
func Idle(q query.Attempt) bool {
	a := of(q)
	return a != nil && a.up && a.last == none && a.link.Idle()
}

func of(q query.Attempt) *attempt {
	switch a := q.(type) {
	case *attempt:
		return a
	case *Adopted:
		return &a.attempt
	}
	return nil
}

// attempt is a query's connection to a host.
type attempt struct {
	connector *Connector
	try       query.Try
	link      *evloop.Conn
	until     time.Duration
	sent      bool // the first line is written
	up        bool
	last      word // what the host said of the end
	said      balance.Report
}

type word int

const (
	none word = iota
	bye
	moved
	failed
	full
)

// Opened implements evloop.Handler.
func (a *attempt) Opened() {
	if a.sent {
		return // an adopted one
	}
	if !a.try.Open() {
		return
	}
	opener := a.try.Client().(Opener)
	a.sent = true
	a.link.Write(opener.OpenLine(nil, a.until-a.connector.loop.Now()))
}

// Received implements evloop.Handler. Before UP, the lines are for the node; from then on they are the client's.
func (a *attempt) Received() {
	for !a.up {
		text, n, err := line.Next(a.link.Peek())
		if err != nil {
			a.fault(err)
			return
		}
		if n == 0 {
			return
		}
		whole := a.link.Peek()[:n]
		a.link.Discard(n)
		first, rest := line.Word(text)
		switch string(first) {
		case "UP":
			a.up = true
			a.try.Up(whole)
		default:
			if !a.ending(string(first), rest) {
				a.connector.log.Warn("a host answered with an unknown line", "line", string(first))
				a.last = failed
			}
			a.finish(whole)
			return
		}
	}
	a.pass()
}

// ending notes a line that ends the connection.
func (a *attempt) ending(first string, rest []byte) bool {
	switch first {
	case "BYE":
		a.last = bye
	case "MOVE":
		a.last = moved
	case "ERR":
		a.last = failed
	case "BUSY":
		a.last = full
	default:
		return false
	}
	a.said = line.ParseReport(rest)
	return true
}

// pass hands complete lines to the client and takes note of what they say.
func (a *attempt) pass() {
	data := a.link.Peek()
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
				a.try.Load(load)
			}
			continue
		}
		a.ending(string(first), more)
	}
	if n > 0 {
		a.link.Discard(n)
		a.try.Lines(data[:n])
	}
	if err != nil {
		a.fault(err)
	}
}

func (a *attempt) fault(err error) {
	a.connector.log.Warn("a host's line cannot be passed on", "error", err)
	a.try.Faulty()
}

// finish closes the connection after a line that ends it, before anything was passed on.
func (a *attempt) finish(word []byte) {
	a.link.Close()
	a.try.Ended(a.outcome(), true, a.said, word)
}

func (a *attempt) outcome() balance.Outcome {
	switch a.last {
	case bye:
		return balance.OK
	case moved:
		return balance.Cancelled
	case failed:
		return balance.Errored
	case full:
		return balance.Full
	}
	if !a.sent {
		return balance.Unreachable
	}
	return balance.Reset
}

// Closed implements evloop.Handler.
func (a *attempt) Closed(err error) {
	if a.up && errors.Is(err, evloop.ErrNotReading) {
		a.try.Behind()
		return
	}
	o := a.outcome()
	if errors.Is(err, evloop.ErrTooManyConns) {
		o = balance.Unsent // no fault of the host's
	}
	// A host that has said its last word has ended in good order, whatever broke on the way.
	a.try.Ended(o, evloop.ClosedCleanly(err) || a.last != none, a.said, nil)
}

// Pass implements query.Attempt.
func (a *attempt) Pass(lines []byte) { a.link.Write(lines) }

// End implements query.Attempt. What the client sent last has to reach the host that holds its connection, so that this is
// not closed over what the host still says: that would reset it.
func (a *attempt) End(clean bool) {
	switch {
	case !clean:
		a.link.Abort()
	case a.up:
		a.link.LingeringClose()
	default:
		a.link.Close()
	}
}

// Sent implements query.Attempt.
func (a *attempt) Sent() bool { return a.sent }

// Over implements query.Attempt.
func (a *attempt) Over() bool { return a.up && a.last != none }
