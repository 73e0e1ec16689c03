package processes

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/stretchr/testify/require"
)

// Load describes how test clients arrive. A field that is 0 has the default named beside it.
type Load struct {
	PerSecond     float64       // new clients per second, over all nodes; 20
	MaxConcurrent int           // clients at the same time; 50. At the limit a new client is skipped
	Total         int           // clients in total; 0: clients arrive until Stop
	HoldTime      time.Duration // average time for which a client keeps its connection; 500 ms
	LineInterval  time.Duration // interval between two lines of a client; 100 ms
	Deadline      time.Duration // for the UP line; 3 s
	MaxReconnects int           // how often a client connects again after MOVE, BUSY, no answer or a failed connection; 5
	Class         string        // request class; "chat"
	Value         float64       // value of a request served within its deadline; 1
	Group         string        // group of all clients; by default they are spread over several groups
	Nodes         []string      // nodes to which they connect, in turn; all
}

// Clients are test clients that keep connecting until Stop.
type Clients struct {
	w       *World
	load    Load
	stop    chan struct{}
	once    sync.Once
	running sync.WaitGroup

	mu     sync.Mutex
	report Report
}

// Report counts what clients observed. Each request is counted as exactly one of Served, Busy, Failed and Unanswered, once
// its outcome is known.
type Report struct {
	Requests      int // OPEN lines sent in full
	Served        int // answered with UP
	Busy          int
	Failed        int // answered with any other line
	Unanswered    int // no answer: the connection ended, or nothing had arrived one second after the deadline
	ConnectFailed int // connections that could not be opened, or broke before the OPEN line was sent: no request
	Moved         int // of those served: sent MOVE by the node
	Broken        int // of those served: the connection ended without MOVE or BYE
	Completed     int // of those served: ended by the client and confirmed with BYE
	Skipped       int // clients that were not started because MaxConcurrent was reached
	Value         float64
	Latency       *ddsketch.DDSketch // from OPEN to UP, in seconds; relative accuracy 1%

	ServedByNode   map[string]int // requests served
	UnservedByNode map[string]int // requests that were busy, failed or unanswered
	Violations     []Violation
}

// lastRequestID is the number of the latest request in this test binary.
var lastRequestID atomic.Uint64

// StartClients lets clients connect to the nodes until Stop is called or the test ends.
func (w *World) StartClients(load Load) *Clients {
	w.t.Helper()
	load.PerSecond, load.MaxConcurrent = orDefault(load.PerSecond, 20), orDefault(load.MaxConcurrent, 50)
	load.HoldTime, load.LineInterval = orDefault(load.HoldTime, 500*time.Millisecond), orDefault(load.LineInterval, 100*time.Millisecond)
	load.Deadline, load.MaxReconnects, load.Class, load.Value = orDefault(load.Deadline, 3*time.Second), orDefault(load.MaxReconnects, 5),
		orDefault(load.Class, "chat"), orDefault(load.Value, 1)
	if load.Nodes == nil {
		load.Nodes = w.nodeNames
	}
	sketch, err := ddsketch.NewDefaultDDSketch(0.01)
	require.NoError(w.t, err)
	c := &Clients{w: w, load: load, stop: make(chan struct{}),
		report: Report{Latency: sketch, ServedByNode: make(map[string]int), UnservedByNode: make(map[string]int)}}
	w.mu.Lock()
	w.clients = append(w.clients, c)
	stream := uint64(len(w.clients))
	w.mu.Unlock()
	c.running.Go(func() { c.generate(rand.New(rand.NewPCG(w.Plan.Seed, stream))) })
	w.t.Cleanup(c.Stop)
	return c
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Stop ends all clients, including those that hold connections, and returns once all have ended.
func (c *Clients) Stop() {
	c.once.Do(func() { close(c.stop) })
	c.running.Wait()
}

// Report returns what was observed so far.
func (c *Clients) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Latency = c.report.Latency.Copy()
	r.Violations = append([]Violation(nil), c.report.Violations...)
	r.ServedByNode, r.UnservedByNode = maps.Clone(c.report.ServedByNode), maps.Clone(c.report.UnservedByNode)
	return r
}

func (r *Report) countUnserved(node string) {
	r.Requests++
	r.UnservedByNode[node]++
}

// LatencyQuantile returns the latency in seconds that a share q of the served requests did not exceed; 0 if none was
// served.
func (r Report) LatencyQuantile(q float64) float64 {
	v, err := r.Latency.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return v
}

func (r Report) String() string {
	return fmt.Sprintf("requests %d, served %d, busy %d, failed %d, unanswered %d, connect failed %d; "+
		"of the served moved %d, broken %d, completed %d; value %g, p50 %.1f ms, p99 %.1f ms",
		r.Requests, r.Served, r.Busy, r.Failed, r.Unanswered, r.ConnectFailed, r.Moved, r.Broken, r.Completed,
		r.Value, 1000*r.LatencyQuantile(0.5), 1000*r.LatencyQuantile(0.99))
}

// AwaitServed waits until this many more requests are served than now, at one node or, with "", at any.
func (c *Clients) AwaitServed(more int, node string) {
	c.w.t.Helper()
	served := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		if node == "" {
			return c.report.Served
		}
		return c.report.ServedByNode[node]
	}
	target := served() + more
	c.w.changes.await(c.w.t, fmt.Sprintf("%d more requests are served %s", more, node), func() bool { return served() >= target }, nil)
}

func (c *Clients) update(f func(*Report)) {
	c.mu.Lock()
	f(&c.report)
	c.mu.Unlock()
	c.w.changes.notify()
}

// generate starts clients at random intervals derived from the seed.
func (c *Clients) generate(rng *rand.Rand) {
	slots := make(chan struct{}, c.load.MaxConcurrent)
	for i := 0; c.load.Total == 0 || i < c.load.Total; i++ {
		interval := time.Duration(min(rng.ExpFloat64(), 4) / c.load.PerSecond * float64(time.Second))
		holdTime := time.Duration((0.5 + rng.Float64()) * float64(c.load.HoldTime))
		if !c.sleep(interval) {
			return
		}
		select {
		case slots <- struct{}{}:
			c.running.Go(func() {
				defer func() { <-slots }()
				c.runClient(i, holdTime)
			})
		default:
			c.update(func(r *Report) { r.Skipped++ })
		}
	}
}

// sleep waits for the duration and reports whether the clients go on.
func (c *Clients) sleep(duration time.Duration) bool {
	return waitChange(c.w.done, c.stop, duration) && c.w.ctx.Err() == nil
}

// runClient runs one client: it connects, and connects again to the next node if request says so.
func (c *Clients) runClient(number int, holdTime time.Duration) {
	for attempt := range c.load.MaxReconnects + 1 {
		node := c.load.Nodes[(number+attempt)%len(c.load.Nodes)]
		retry, delay := c.request(node, number, attempt, holdTime)
		if !retry || !c.sleep(delay) {
			return
		}
	}
}

// reconnectDelay is the minimum time before a client connects again.
const reconnectDelay = 50 * time.Millisecond

// request sends one request to a node and holds the connection that results. It reports whether the client connects again,
// and after which delay.
func (c *Clients) request(node string, number, attempt int, holdTime time.Duration) (retry bool, delay time.Duration) {
	conn, err := net.Dial("tcp4", c.w.clientLinks[node].Addr())
	if err != nil {
		c.update(func(r *Report) { r.ConnectFailed++ })
		return true, reconnectDelay
	}
	defer conn.Close()
	done := make(chan struct{})
	defer close(done)
	var stopped atomic.Bool
	go func() { // closes the connection when the clients are stopped
		select {
		case <-c.stop:
			stopped.Store(true)
			conn.Close()
		case <-done:
		}
	}()
	id := fmt.Sprintf("%016x", lastRequestID.Add(1)|c.w.Plan.Seed<<40)
	line := fmt.Sprintf("OPEN %s %x c=%s,t=acme,d=%d,g=%s", id, number%97+1, c.load.Class, c.load.Deadline.Milliseconds(),
		orDefault(c.load.Group, fmt.Sprintf("%x", number%31+1)))
	if attempt > 0 {
		line += ",again=1"
	}
	sentAt := time.Now()
	c.w.sentAt.Store(id, c.w.Now())
	if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
		c.update(func(r *Report) { r.ConnectFailed++ })
		return true, reconnectDelay
	}
	_ = conn.SetReadDeadline(sentAt.Add(c.load.Deadline + time.Second))
	r := bufio.NewReader(conn)
	response, err := r.ReadString('\n')
	latency := time.Since(sentAt)
	response = strings.TrimSuffix(response, "\r\n")
	switch {
	case stopped.Load():
		return false, 0 // an answer may have arrived just then: not counted
	case err != nil:
		c.update(func(rep *Report) { rep.Unanswered++; rep.countUnserved(node) })
		return true, reconnectDelay
	case strings.HasPrefix(response, "UP "):
		if requestID, _ := c.w.upLines.Load(response); requestID != id {
			c.reportViolation("%s sent %q to request %s, which no host has sent to it", node, response, id)
		}
		c.update(func(rep *Report) {
			rep.Requests, rep.Served = rep.Requests+1, rep.Served+1
			rep.ServedByNode[node]++
			_ = rep.Latency.Add(latency.Seconds())
			if latency <= c.load.Deadline {
				rep.Value += c.load.Value
			}
		})
		return c.holdConnection(conn, r, node, id, holdTime, &stopped)
	case response == "BUSY" || strings.HasPrefix(response, "BUSY "):
		retryMs := 0
		_, _ = fmt.Sscanf(response, "BUSY %d", &retryMs)
		c.update(func(rep *Report) { rep.Busy++; rep.countUnserved(node) })
		retry, delay = true, max(reconnectDelay, time.Duration(min(retryMs, 2000))*time.Millisecond)
	default:
		c.update(func(rep *Report) { rep.Failed++; rep.countUnserved(node) })
	}
	c.expectNoMoreLines(r, node, id, response)
	return retry, delay
}

// expectNoMoreLines records a violation if a line follows the final one.
func (c *Clients) expectNoMoreLines(r *bufio.Reader, node, id, last string) {
	if line, _ := r.ReadString('\n'); line != "" {
		c.reportViolation("%s sent %q to request %s after its final %q", node, line, id, last)
	}
}

func (c *Clients) reportViolation(format string, args ...any) {
	c.update(func(r *Report) {
		r.Violations = append(r.Violations, Violation{At: c.w.Now(), What: fmt.Sprintf(format, args...)})
	})
}

// holdConnection exchanges lines with the host at intervals until the hold time is over.
func (c *Clients) holdConnection(conn net.Conn, r *bufio.Reader, node, id string, holdTime time.Duration,
	stopped *atomic.Bool) (retry bool, delay time.Duration) {
	holdUntil := time.Now().Add(holdTime)
	for n := 0; ; n++ {
		sent := fmt.Sprintf("M %d %s", n, id)
		if !time.Now().Before(holdUntil) {
			sent = "end"
		}
		// A node has 7 s until it delivers a line of the host or moves the client; 10 s leave room for a loaded machine.
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, err := io.WriteString(conn, sent+"\r\n")
		var received string
		if err == nil || n > 0 { // lines sent to the client before the connection ended can still be read
			received, err = r.ReadString('\n')
		}
		received = strings.TrimSuffix(received, "\r\n")
		switch {
		case received == "MOVE" && err == nil:
			c.update(func(rep *Report) { rep.Moved++ })
			c.expectNoMoreLines(r, node, id, received)
			return true, reconnectDelay
		case sent == "end" && received == "BYE" && err == nil:
			c.update(func(rep *Report) { rep.Completed++ })
			c.expectNoMoreLines(r, node, id, received)
			return false, 0
		case stopped.Load():
			return false, 0
		case err != nil:
			c.update(func(rep *Report) { rep.Broken++ })
			return true, reconnectDelay
		case received != sent:
			c.reportViolation("%s passed %q to the client of request %s, which had sent %q", node, received, id, sent)
			return false, 0
		}
		if !c.sleep(min(c.load.LineInterval, max(time.Millisecond, time.Until(holdUntil)))) {
			return false, 0
		}
	}
}
