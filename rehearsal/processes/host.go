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

// FirstLine is a query that reached a host.
type FirstLine struct {
	Host, Node string        // Node is whose connection it came on: each node has a port of its own at each host
	ID         string        // of the query
	Line       string        // without its end
	At         time.Duration // when its last byte came, by the kernel, on the world's clock
	Answer     string        // the host's first word to it; "" while there is none
	Copy       bool          // an earlier attempt of the query was still out when this one was read
}

// Host is a scripted host. It answers UP, or refuses a part of the queries, sends each line back, says BYE at "end" and answers STATS and PING. It listens on
// a port for each node.
type Host struct {
	HostPlan
	w     *World
	ports map[string]*port // by node

	serving sync.WaitGroup // of connections

	mu      sync.Mutex
	conns   map[*net.TCPConn]bool
	lines   []FirstLine
	works   []span // that it was told of
	state   string // as discovery calls it
	running bool
	drains  bool
	silent  map[string]bool // by node
	refuses float64         // the part of the queries that it says answer to
	answer  string
	boot    time.Time // of the last start; zero: long ago
	receipt int
}

// span is a time from which to which something held; to is 0 while it does.
type span struct{ from, to time.Duration }

func newHost(w *World, p HostPlan) *Host {
	h := &Host{HostPlan: p, w: w, ports: make(map[string]*port), conns: make(map[*net.TCPConn]bool), state: "in_service",
		silent: make(map[string]bool)}
	for _, n := range w.nodeNames {
		h.ports[n] = newPort(w.t)
	}
	w.t.Cleanup(h.down)
	h.up()
	return h
}

func (h *Host) up() {
	h.mu.Lock()
	h.running, h.drains, h.state = true, false, "in_service"
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
	h.w.changes.tell()
	h.serving.Wait()
}

// Kill ends the host at once: its connections are reset and new ones refused. Discovery is told nothing of it.
func (h *Host) Kill() {
	h.down()
}

// Start has a killed host run again, started just now, and discovery tell of it.
func (h *Host) Start() {
	h.mu.Lock()
	h.boot = time.Now()
	h.mu.Unlock()
	h.up()
	h.w.Discovery.publish(h)
}

// Drain has the host refuse new queries, and discovery tell of it. What stands stays.
func (h *Host) Drain() {
	h.mu.Lock()
	h.drains, h.state = true, "terminating"
	h.mu.Unlock()
	h.w.Discovery.publish(h)
}

// Undrain takes a drain back.
func (h *Host) Undrain() {
	h.mu.Lock()
	h.drains, h.state = false, "in_service"
	h.mu.Unlock()
	h.w.Discovery.publish(h)
}

// Remove has discovery say that the host is gone, and ends it.
func (h *Host) Remove() {
	h.down()
	h.mu.Lock()
	h.state = "terminated"
	h.mu.Unlock()
	h.w.Discovery.publish(h)
}

// Silence has the host say nothing more to one node, and read nothing of it, or as before.
func (h *Host) Silence(node string, on bool) {
	h.mu.Lock()
	h.silent[node] = on
	h.mu.Unlock()
	h.w.changes.tell()
}

// Breaks, as an answer of Refuse, has the host reset the connection of a query that it has read.
const Breaks = "-"

// Refuse has the host say answer ("BUSY", "ERR" or Breaks) to a part of the queries from now on; 0: to none.
func (h *Host) Refuse(part float64, answer string) {
	h.mu.Lock()
	h.refuses, h.answer = part, answer
	h.mu.Unlock()
}

// refusal is what the host says to a query that it does not serve, "" to others; mu is held.
func (h *Host) refusal(id string) string {
	lot := fnv.New32a()
	_, _ = io.WriteString(lot, h.ID+" "+id)
	switch {
	case h.drains:
		return "BUSY"
	case float64(lot.Sum32()) < h.refuses*(1<<32):
		return h.answer
	}
	return ""
}

// Begin tells the host that it is in work from now on: each first line that comes from here to Finish is a violation.
func (h *Host) Begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.works = append(h.works, span{from: h.w.Now()})
}

// Finish tells the host that the work is over.
func (h *Host) Finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.works); n > 0 && h.works[n-1].to == 0 {
		h.works[n-1].to = h.w.Now()
	}
}

// InWork says whether it is in work.
func (h *Host) InWork() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.works)
	return n > 0 && h.works[n-1].to == 0
}

// Lines are the first lines that came so far, from one node or, with "", from all; in the order in which they were read.
func (h *Host) Lines(node string) []FirstLine {
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

// Standing is how many connections are open at the host, probes among them.
func (h *Host) Standing() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// Violations are the first lines that came while it was in work.
func (h *Host) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return inWork(h.lines, h.works)
}

func inWork(lines []FirstLine, works []span) (out []Violation) {
	for _, l := range lines {
		for _, s := range works {
			if l.At > s.from && (s.to == 0 || l.At < s.to) {
				out = append(out, Violation{At: l.At, What: fmt.Sprintf("a first line of %s reached %s in work since %s: %s",
					l.Node, l.Host, s.from, l.Line)})
			}
		}
	}
	return out
}

// endpoint is where a node reaches the host.
func (h *Host) endpoint(node string) string { return h.ports[node].addr }

// hushed waits while the host says nothing to a node, and says whether it goes on.
func (h *Host) hushed(node string) bool {
	for {
		next := h.w.changes.changed()
		h.mu.Lock()
		silent, running := h.silent[node], h.running
		h.mu.Unlock()
		if !silent || !running {
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
	h.serving.Add(1)
	h.mu.Unlock()
	defer h.serving.Done()
	defer func() {
		c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		h.w.changes.tell()
	}()
	from, err := newTimestampedReader(c, h.w)
	if err != nil {
		return // it was reset just now
	}
	r := bufio.NewReader(from)
	say := func(text string) bool {
		if !h.hushed(node) {
			return false
		}
		_, err := io.WriteString(c, text+"\r\n")
		return err == nil
	}
	for begun := false; ; {
		line, err := r.ReadString('\n')
		if err != nil {
			if errors.Is(err, errNoTimestamp) {
				h.w.addViolation("%v: the checkers cannot judge", err)
			}
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch {
		case begun && line == "end":
			say("BYE")
			return
		case begun:
			if !say(line) {
				return
			}
			continue
		case line == "STATS" || line == "PING":
			h.mu.Lock()
			standing := len(h.conns)
			h.mu.Unlock()
			if !say(fmt.Sprintf("PONG qps=1.5,latency_ms=5,queue=0,x0=%.3f", min(1, float64(standing)/100))) {
				return
			}
			continue
		}
		words := strings.Fields(line)
		if len(words) != 4 || words[0] != "OPEN" {
			h.w.addViolation("%s sent %s what is no first line: %.80q", node, h.ID, line)
			say("SYNTAX")
			return
		}
		first := FirstLine{Host: h.ID, Node: node, ID: words[1], Line: line, At: from.lastByteAt, Copy: h.w.attempts.begin(words[1], c)}
		h.mu.Lock()
		number := len(h.lines)
		h.lines = append(h.lines, first)
		h.receipt++
		up, no := fmt.Sprintf("UP %s.%d", h.ID, h.receipt), h.refusal(words[1])
		h.mu.Unlock()
		if no == "" {
			h.w.upLines.Store(up, words[1])
		}
		asked, _ := h.w.sentAt.Load(words[1])
		at, _ := asked.(time.Duration)
		h.w.observations.record(first, at)
		h.w.changes.tell()
		if !h.hushed(node) {
			return
		}
		h.answered(number, or(no, up)) // before it can be heard
		if no == Breaks {
			reset(c)
			return
		}
		if _, err := io.WriteString(c, or(no, up)+"\r\n"); err != nil || no != "" {
			return
		}
		begun = true
	}
}

// answered notes the host's first word to a first line.
func (h *Host) answered(number int, word string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines[number].Answer = word
	h.w.attempts.end(h.lines[number].ID)
}
