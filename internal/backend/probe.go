package backend

import (
	"bytes"
	"errors"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/line"
)

// probeTimeout is how long a host may take to answer a probe.
const probeTimeout = 500 * time.Millisecond

// probe is the persistent connection on which a host is asked for its load report.
type probe struct {
	connector  *Connector
	server     balance.ServerID
	endpoint   string
	conn       *evloop.Conn
	open       bool
	pending    bool
	unanswered bool // no probe was answered on this connection yet
	sentAt     time.Duration
	timer      *evloop.Timer
}

// Probe implements query.Servers.
func (c *Connector) Probe(server balance.ServerID) {
	p := c.probes[server]
	endpoint := c.endpoint(server)
	if p != nil && p.endpoint != endpoint { // the host has restarted with another address
		p.end(balance.Cancelled)
		p = nil
	}
	if p == nil {
		p = &probe{connector: c, server: server, endpoint: endpoint, unanswered: true}
		c.probes[server] = p
	}
	p.send()
}

func (p *probe) send() {
	if p.pending {
		return
	}
	p.pending = true
	p.sentAt = p.connector.loop.Now()
	p.timer = p.connector.loop.After(probeTimeout, func() { p.end(balance.TimedOut) })
	switch {
	case p.conn == nil:
		p.conn = p.connector.loop.Dial(p.endpoint, min(p.connector.connectTimeout, probeTimeout), p)
	case p.open:
		p.conn.Write([]byte("STATS\r\n"))
	}
}

// Opened implements evloop.Handler.
func (p *probe) Opened() {
	p.open = true
	p.conn.Write([]byte("STATS\r\n"))
}

// Received implements evloop.Handler.
func (p *probe) Received() {
	for {
		text, n, err := line.Next(p.conn.Peek())
		if err != nil {
			p.end(balance.Errored)
			return
		}
		if n == 0 {
			return
		}
		p.conn.Discard(n)
		first, rest := line.Word(text)
		switch {
		case string(first) == "PONG":
			p.unanswered = false
			p.report(balance.OK, line.ParseReport(bytes.TrimSpace(rest)))
		default:
			p.end(balance.Errored)
			return
		}
	}
}

func (p *probe) report(outcome balance.Outcome, report balance.Report) {
	if !p.pending {
		return
	}
	p.pending = false
	p.timer.Stop()
	p.connector.core.Probed(p.server, outcome, p.connector.loop.Now()-p.sentAt, report)
}

// end closes the connection and reports the outcome. The next probe opens a new connection.
func (p *probe) end(outcome balance.Outcome) {
	p.drop()
	p.report(outcome, balance.Report{})
}

func (p *probe) drop() {
	if p.connector.probes[p.server] == p {
		delete(p.connector.probes, p.server)
	}
	p.conn.Close()
}

// Closed implements evloop.Handler. A host may close an idle connection just when a probe is sent on it. Such a
// probe is sent again on a new connection.
func (p *probe) Closed(err error) {
	switch {
	case errors.Is(err, evloop.ErrTooManyConns):
		p.end(balance.Unsent)
	case !p.pending:
		p.drop()
	case p.open && !p.unanswered:
		p.conn, p.open, p.unanswered = nil, false, true
		p.conn = p.connector.loop.Dial(p.endpoint, min(p.connector.connectTimeout, probeTimeout), p)
	case p.open:
		p.end(balance.Reset)
	default:
		p.end(balance.Unreachable)
	}
}
