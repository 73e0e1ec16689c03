package processes

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

// FirstLine is the first line of a request as it reached a host.
type FirstLine struct {
	Host, Node string        // Node is the node that opened the connection: each node has a port of its own at each host
	ID         string        // id of the request
	Line       string        // without the line end
	At         time.Duration // arrival of its last byte according to the kernel, on the world's clock
	Response   string        // the host's first response line; "" while there is none
	Concurrent bool          // an earlier attempt of the request was still pending when this one was read
}

// Host is a fake backend host. It answers UP or refuses a share of the requests, echoes each further line, answers "end"
// with BYE, and answers STATS and PING. It listens on one port per node.
type Host struct {
	HostPlan
	w     *World
	ports map[string]*port // by node

	handlers sync.WaitGroup // connection handlers

	mu           sync.Mutex
	conns        map[*net.TCPConn]bool
	lines        []FirstLine
	workSpans    []span // periods during which it was under maintenance
	state        string // state as discovery lists it
	running      bool
	draining     bool
	unresponsive map[string]bool // by node: sends nothing and reads nothing
	refusedShare float64         // share of the requests that it answers with refusalText
	refusalText  string
	startedAt    time.Time // time of the last start; zero: long ago
	lastReceipt  int
}

// span is a period; to is 0 while it lasts.
type span struct{ from, to time.Duration }

func newHost(w *World, p HostPlan) *Host {
	h := &Host{HostPlan: p, w: w, ports: make(map[string]*port), conns: make(map[*net.TCPConn]bool), state: "in_service",
		unresponsive: make(map[string]bool)}
	for _, n := range w.nodeNames {
		h.ports[n] = newPort(w.t)
	}
	w.t.Cleanup(h.down)
	h.up()
	return h
}

func (h *Host) up() {
	h.mu.Lock()
	h.running, h.draining, h.state = true, false, "in_service"
	h.mu.Unlock()
	for node, p := range h.ports {
		require.NoError(h.w.t, p.listen(func(c *net.TCPConn) { go h.serve(node, c) }))
	}
}

func (h *Host) down() {
	for _, p := range h.ports {
		p.close()
	}
	h.mu.Lock()
	h.running = false
	var all []*net.TCPConn
	for c := range h.conns {
		all = append(all, c)
	}
	h.mu.Unlock()
	for _, c := range all {
		reset(c)
	}
	h.w.changes.notify()
	h.handlers.Wait()
}

// Kill stops the host at once: its connections are reset and new ones refused. Discovery still lists it as before.
func (h *Host) Kill() {
	h.down()
}

// Start starts a killed host again and announces the new start time in discovery.
func (h *Host) Start() {
	h.mu.Lock()
	h.startedAt = time.Now()
	h.mu.Unlock()
	h.up()
	h.w.Discovery.publish(h)
}

// Drain makes the host refuse new requests and announces that in discovery. Established connections stay open.
func (h *Host) Drain() {
	h.mu.Lock()
	h.draining, h.state = true, "terminating"
	h.mu.Unlock()
	h.w.Discovery.publish(h)
}

// Undrain ends a drain.
func (h *Host) Undrain() {
	h.mu.Lock()
	h.draining, h.state = false, "in_service"
	h.mu.Unlock()
	h.w.Discovery.publish(h)
}

// Remove stops the host and announces in discovery that it is gone.
func (h *Host) Remove() {
	h.down()
	h.mu.Lock()
	h.state = "terminated"
	h.mu.Unlock()
	h.w.Discovery.publish(h)
}

// SetUnresponsive makes the host send nothing to one node and read nothing from it, or ends that.
func (h *Host) SetUnresponsive(node string, unresponsive bool) {
	h.mu.Lock()
	h.unresponsive[node] = unresponsive
	h.mu.Unlock()
	h.w.changes.notify()
}

// ResetConnection, as the text of Refuse, makes the host reset the connection of a request that it has read.
const ResetConnection = "-"

// Refuse makes the host answer a share of the requests with text ("BUSY", "ERR" or ResetConnection) from now on; a share of
// 0 ends that.
func (h *Host) Refuse(share float64, text string) {
	h.mu.Lock()
	h.refusedShare, h.refusalText = share, text
	h.mu.Unlock()
}

// refusalFor returns the text with which the host refuses a request, or "" if it serves the request; mu is held.
func (h *Host) refusalFor(id string) string {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, h.ID+" "+id)
	switch {
	case h.draining:
		return "BUSY"
	case float64(hash.Sum32()) < h.refusedShare*(1<<32):
		return h.refusalText
	}
	return ""
}

// BeginWork marks the start of work on the host: each first line that arrives from now until EndWork is a violation.
func (h *Host) BeginWork() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.workSpans = append(h.workSpans, span{from: h.w.Now()})
}

// EndWork marks the end of the work.
func (h *Host) EndWork() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.workSpans); n > 0 && h.workSpans[n-1].to == 0 {
		h.workSpans[n-1].to = h.w.Now()
	}
}

// InWork reports whether the host is under maintenance.
func (h *Host) InWork() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.workSpans)
	return n > 0 && h.workSpans[n-1].to == 0
}

// FirstLines returns the first lines so far, from one node or, with "", from all, in the order in which they were read.
func (h *Host) FirstLines(node string) []FirstLine {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []FirstLine
	for _, l := range h.lines {
		if node == "" || l.Node == node {
			out = append(out, l)
		}
	}
	return out
}

// OpenConns returns the number of open connections at the host, including probes.
func (h *Host) OpenConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// Violations returns a violation for each first line that arrived while the host was under maintenance.
func (h *Host) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return linesDuringWork(h.lines, h.workSpans)
}

func linesDuringWork(lines []FirstLine, spans []span) (out []Violation) {
	for _, l := range lines {
		for _, s := range spans {
			if l.At > s.from && (s.to == 0 || l.At < s.to) {
				out = append(out, Violation{At: l.At, What: fmt.Sprintf("a first line of %s reached %s, under maintenance since %s: %s",
					l.Node, l.Host, s.from, l.Line)})
			}
		}
	}
	return out
}

// endpoint returns the address at which a node reaches the host.
func (h *Host) endpoint(node string) string { return h.ports[node].addr }

// awaitResponsive waits while the host is unresponsive to a node, and reports whether the host still runs.
func (h *Host) awaitResponsive(node string) bool {
	for {
		next := h.w.changes.changed()
		h.mu.Lock()
		unresponsive, running := h.unresponsive[node], h.running
		h.mu.Unlock()
		if !unresponsive || !running {
			return running
		}
		select {
		case <-next:
		case <-h.w.done:
			return false
		}
	}
}

func (h *Host) serve(node string, c *net.TCPConn) {
	h.mu.Lock()
	if !h.running {
		h.mu.Unlock()
		reset(c)
		return
	}
	h.conns[c] = true
	h.handlers.Add(1)
	h.mu.Unlock()
	defer h.handlers.Done()
	defer func() {
		c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		h.w.changes.notify()
	}()
	stampedConn, err := newTimestampedReader(c, h.w)
	if err != nil {
		return // the connection was reset just now
	}
	r := bufio.NewReader(stampedConn)
	send := func(text string) bool {
		if !h.awaitResponsive(node) {
			return false
		}
		_, err := io.WriteString(c, text+"\r\n")
		return err == nil
	}
	for established := false; ; {
		line, err := r.ReadString('\n')
		if err != nil {
			if errors.Is(err, errNoTimestamp) {
				h.w.addViolation("%v: the checkers need the arrival times of first lines", err)
			}
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch {
		case established && line == "end":
			send("BYE")
			return
		case established:
			if !send(line) {
				return
			}
			continue
		case line == "STATS" || line == "PING":
			h.mu.Lock()
			open := len(h.conns)
			h.mu.Unlock()
			if !send(fmt.Sprintf("PONG qps=1.5,latency_ms=5,queue=0,x0=%.3f", min(1, float64(open)/100))) {
				return
			}
			continue
		}
		fields := strings.Fields(line)
		if len(fields) != 4 || fields[0] != "OPEN" {
			h.w.addViolation("%s sent %s an invalid first line: %.80q", node, h.ID, line)
			send("SYNTAX")
			return
		}
		first := FirstLine{Host: h.ID, Node: node, ID: fields[1], Line: line, At: stampedConn.lastByteAt,
			Concurrent: h.w.attempts.begin(fields[1], c)}
		h.mu.Lock()
		number := len(h.lines)
		h.lines = append(h.lines, first)
		h.lastReceipt++
		receipt, refusal := fmt.Sprintf("UP %s.%d", h.ID, h.lastReceipt), h.refusalFor(fields[1])
		h.mu.Unlock()
		if refusal == "" {
			h.w.upLines.Store(receipt, fields[1])
		}
		sentAt, _ := h.w.sentAt.Load(fields[1])
		at, _ := sentAt.(time.Duration)
		h.w.observations.record(first, at)
		h.w.changes.notify()
		if !h.awaitResponsive(node) {
			return
		}
		h.recordResponse(number, orDefault(refusal, receipt)) // before the node can receive the response
		if refusal == ResetConnection {
			reset(c)
			return
		}
		if _, err := io.WriteString(c, orDefault(refusal, receipt)+"\r\n"); err != nil || refusal != "" {
			return
		}
		established = true
	}
}

// recordResponse records the host's response to a first line.
func (h *Host) recordResponse(number int, response string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines[number].Response = response
	h.w.attempts.end(h.lines[number].ID)
}
