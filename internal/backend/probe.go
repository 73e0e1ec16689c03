package backend

import (
	"bytes"
	"errors"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/line"
)

// probeWithin is how long a host may take to answer a probe.
const probeWithin = 500 * time.Millisecond

// probe is the lasting connection on which a host is asked for its report.
type probe struct {
	connector *Connector
	server    balance.ServerID
	endpoint  string
	link      *evloop.Conn
	open      bool
	asking    bool
	fresh     bool // nothing was answered yet on this connection
	askedAt   time.Duration
	timer     *evloop.Timer
}

// Probe implements query.Servers.
func (h *Connector) Probe(server balance.ServerID) {
	p := h.probes[server]
	at := h.endpoint(server)
	if p != nil && p.endpoint != at { // it started anew elsewhere
		p.end(balance.Cancelled)
		p = nil
	}
	if p == nil {
		p = &probe{connector: h, server: server, endpoint: at, fresh: true}
		h.probes[server] = p
	}
	p.ask()
}

func (p *probe) ask() {
	if p.asking {
		return
	}
	p.asking = true
	p.askedAt = p.connector.loop.Now()
	p.timer = p.connector.loop.After(probeWithin, func() { p.end(balance.TimedOut) })
	switch {
	case p.link == nil:
		p.link = p.connector.loop.Dial(p.endpoint, min(p.connector.timeout, probeWithin), p)
	case p.open:
		p.link.Write([]byte("STATS\r\n"))
	}
}

// Opened implements evloop.Handler.
func (p *probe) Opened() {
	p.open = true
	p.link.Write([]byte("STATS\r\n"))
}

// Received implements evloop.Handler.
func (p *probe) Received() {
	for {
		text, n, err := line.Next(p.link.Peek())
		if err != nil {
			p.end(balance.Errored)
			return
		}
		if n == 0 {
			return
		}
		p.link.Discard(n)
		first, rest := line.Word(text)
		switch {
		case string(first) == "PONG":
			p.fresh = false
			p.answer(balance.OK, line.ParseReport(bytes.TrimSpace(rest)))
		default:
			p.end(balance.Errored)
			return
		}
	}
}

func (p *probe) answer(o balance.Outcome, rep balance.Report) {
	if !p.asking {
		return
	}
	p.asking = false
	p.timer.Stop()
	p.connector.core.Probed(p.server, o, p.connector.loop.Now()-p.askedAt, rep)
}

// end drops the connection; the next probe makes a new one.
func (p *probe) end(o balance.Outcome) {
	p.drop()
	p.answer(o, balance.Report{})
}

func (p *probe) drop() {
	if p.connector.probes[p.server] == p {
		delete(p.connector.probes, p.server)
	}
	p.link.Close()
}

// Closed implements evloop.Handler. A connection that idled may be closed by the host just as it is asked.
func (p *probe) Closed(err error) {
	switch {
	case errors.Is(err, evloop.ErrTooManyConns):
		p.end(balance.Unsent)
	case !p.asking:
		p.drop()
	case p.open && !p.fresh:
		p.link, p.open, p.fresh = nil, false, true
		p.link = p.connector.loop.Dial(p.endpoint, min(p.connector.timeout, probeWithin), p)
	case p.open:
		p.end(balance.Reset)
	default:
		p.end(balance.Unreachable)
	}
}
