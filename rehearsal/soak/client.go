package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"lichenhitch/rehearsal/processes"
)

// behavior is what a client does with its connection.
type behavior uint8

const (
	staysConnected behavior = iota // keeps its connection open until the end of the run
	visitsBriefly                  // exchanges a few lines and leaves
	hangsUpEarly                   // closes the connection while it waits for the response
	sendsLate                      // sends its first line only some time after it has connected
)

// behaviorMix is the distribution from which client behaviors are drawn.
var behaviorMix = [...]behavior{staysConnected, staysConnected, staysConnected, visitsBriefly, visitsBriefly, hangsUpEarly, sendsLate}

const (
	lineInterval   = 500 * time.Millisecond // between two lines of a client; clients of the protocol pages send one every 2 s
	maxVisit       = time.Second
	maxHangUpDelay = 60 * time.Millisecond
	// maxSendDelay is less than the 2 s after which a node may close a connection without a request.
	maxSendDelay = 1500 * time.Millisecond
	// reconnectDelay is how long a client waits after MOVE or a refusal before it connects again.
	reconnectDelay = 50 * time.Millisecond
	// lateAnswerWait is how much longer than its response timeout a client reads: an answer up to half a second after
	// the timeout counts as late, a later one as none (STANDING). Nothing read after that changes the result.
	lateAnswerWait     = 1500 * time.Millisecond
	dialTimeout        = time.Second
	minResponseTimeout = 300 * time.Millisecond // shortest response timeout of a client
	// maxHostSilence is the time within which a running host must respond, or else its client must be moved (PROTOCOL,
	// Figures: 7 s).
	maxHostSilence = 7 * time.Second
)

// frontEnd simulates the front end of the protocol pages: it distributes clients over the nodes that are open to them.
type frontEnd struct {
	mu     sync.Mutex
	nodes  []string
	closed map[string]bool
	addr   map[string]string
}

// pick returns an open node and its listen address, or "" if no node is open.
func (f *frontEnd) pick(n int) (node, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var open []string
	for _, name := range f.nodes {
		if !f.closed[name] {
			open = append(open, name)
		}
	}
	if len(open) == 0 {
		return "", ""
	}
	node = open[n%len(open)]
	return node, f.addr[node]
}

func (f *frontEnd) setOpen(node string, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[node] = !open
}

// clientPool holds all clients of a run.
type clientPool struct {
	world    *processes.World
	plan     Plan
	frontEnd *frontEnd
	rec      *recorder
	stop     chan struct{} // closed at the end: no new clients start, and all close their connections
	running  sync.WaitGroup
}

// classes are the request classes of the settings, weighted: six of ten clients are of class chat, four of class
// print.
var classes = [...]string{"chat", "chat", "chat", "chat", "chat", "chat", "print", "print", "print", "print"}

// generate starts clients at random intervals until stop is closed.
func (c *clientPool) generate() {
	rng := rand.New(rand.NewPCG(c.plan.Seed, 0x636f6d65))
	rate, staying := c.plan.ClientsPerSecond*float64(len(c.plan.Nodes)), 0
	for number := 0; ; number++ {
		gap := time.Duration(min(rng.ExpFloat64(), 4) / rate * float64(time.Second))
		client := client{clientPool: c, number: number, behavior: behaviorMix[rng.IntN(len(behaviorMix))],
			class: classes[rng.IntN(len(classes))], fraction: rng.Float64(), seed: rng.Uint64()}
		if client.behavior == staysConnected {
			if staying++; staying > c.plan.MaxStayingClients() {
				client.behavior = visitsBriefly
			}
		}
		if !c.pause(gap) {
			return
		}
		c.running.Go(client.run)
	}
}

// pause waits for the given time and reports whether the clients continue.
func (c *clientPool) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.stop:
		return false
	case <-c.world.Done():
		return false
	}
}

// openIdle opens a connection to a node and sends nothing until the node closes it or the run ends.
func (c *clientPool) openIdle(addr string) {
	conn, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-ended:
	case <-c.stop:
		conn.Close()
		<-ended
	}
}

// client is one client, which may connect several times.
type client struct {
	*clientPool
	number   int
	behavior behavior
	class    string
	fraction float64
	seed     uint64
}

func (c client) run() {
	rng := rand.New(rand.NewPCG(c.seed, 1))
	for attempt := 0; ; attempt++ {
		node, addr := c.frontEnd.pick(rng.IntN(1 << 16))
		if addr == "" || !c.connectOnce(node, addr, attempt) || !c.pause(reconnectDelay) {
			return
		}
	}
}

// responseTimeout returns how long the client waits for an answer.
func (c client) responseTimeout() time.Duration {
	return max(minResponseTimeout, time.Duration(c.fraction*float64(c.plan.LongestDeadline))).Truncate(time.Millisecond)
}

// connectOnce connects to a node once and reports whether the client should connect again.
func (c client) connectOnce(node, addr string, attempt int) (again bool) {
	conn, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		c.rec.update(func(r *Record) { r.ConnectFailed++ })
		return true
	}
	defer conn.Close()
	connected := c.world.Now()
	if c.behavior == sendsLate && !c.pause(time.Duration(c.fraction*float64(maxSendDelay))) {
		return false
	}
	q := Request{ID: fmt.Sprintf("%08x%08x", uint32(c.seed), c.number<<8|attempt), Node: node, Class: c.class,
		Connected: connected, Wait: c.responseTimeout()}
	line := fmt.Sprintf("OPEN %s %x c=%s,t=acme,d=%d,g=%x\r\n", q.ID, c.number+1, q.Class, q.Wait.Milliseconds(), c.number%31+1)
	if attempt > 0 {
		line = strings.Replace(line, "\r\n", ",again=1\r\n", 1)
	}
	if _, err := io.WriteString(conn, line); err != nil {
		c.rec.update(func(r *Record) { r.ConnectFailed++ }) // the node closed the connection before the request was written
		return true
	}
	q.Sent = c.world.Now()
	if c.behavior == hangsUpEarly && attempt == 0 {
		if c.pause(time.Duration(c.fraction * float64(maxHangUpDelay))) {
			conn.Close()
			q.Outcome, q.EndedAt = ClientLeft, c.world.Now()
			c.rec.update(func(r *Record) { r.Requests = append(r.Requests, q) })
		}
		return false
	}
	return c.awaitResponse(conn, q)
}

// awaitResponse waits for the answer to the request and, after UP, uses the connection.
func (c client) awaitResponse(conn net.Conn, q Request) (again bool) {
	_ = conn.SetReadDeadline(time.Now().Add(q.Wait + lateAnswerWait))
	r := bufio.NewReader(conn)
	text, err := r.ReadString('\n')
	q.EndedAt = c.world.Now()
	var timeout net.Error
	switch {
	case err == nil && strings.HasPrefix(text, "UP "):
		q.Outcome = Up
	case err == nil && (text == "BUSY\r\n" || strings.HasPrefix(text, "BUSY ")):
		q.Outcome = Busy
		ms := 0
		_, _ = fmt.Sscanf(text, "BUSY %d", &ms)
		q.RetryAfter = time.Duration(ms) * time.Millisecond
	case err == nil:
		q.Outcome = Failed
	case errors.As(err, &timeout) && timeout.Timeout():
		q.Outcome = Unanswered
	case errors.Is(err, io.EOF):
		q.Outcome = ClosedUnanswered
	default:
		q.Outcome = Reset
	}
	c.rec.update(func(r *Record) { r.Requests = append(r.Requests, q) })
	if q.Outcome != Up {
		return c.behavior == staysConnected
	}
	host, _, _ := strings.Cut(strings.TrimPrefix(text, "UP "), ".")
	return c.exchangeLines(conn, r, Connection{ID: q.ID, Node: q.Node, Host: host, Began: q.EndedAt})
}

// exchangeLines exchanges lines with the host until the client leaves or the connection ends.
func (c client) exchangeLines(conn net.Conn, r *bufio.Reader, s Connection) (again bool) {
	leaveAt := time.Now().Add(time.Duration(c.fraction * float64(maxVisit)))
	finish := func(e Ending) {
		s.Ending, s.Ended = e, c.world.Now()
		c.rec.update(func(r *Record) { r.Connections = append(r.Connections, s) })
	}
	for n := 0; ; n++ {
		sent, sentAt := fmt.Sprintf("M %d %s", n, s.ID), c.world.Now()
		_ = conn.SetDeadline(time.Now().Add(maxHostSilence + maxHostSilence))
		_, err := io.WriteString(conn, sent+"\r\n")
		var received string
		if err == nil || n > 0 { // what the node sent before it closed the connection can still be read
			received, err = r.ReadString('\n')
		}
		switch received = strings.TrimSuffix(received, "\r\n"); {
		case err == nil && received == "MOVE":
			finish(Moved)
			return c.behavior == staysConnected
		case err == nil && received == "BYE":
			finish(ByeReceived)
			return c.behavior == staysConnected
		case err != nil:
			finish(CutOff)
			return c.behavior == staysConnected
		case received != sent:
			c.rec.update(func(r *Record) {
				r.Violations = append(r.Violations, processes.Violation{Host: s.Host, At: c.world.Now(),
					What: fmt.Sprintf("%s sent %q to client %s, which had sent %q", s.Node, received, s.ID, sent)})
			})
			return false
		}
		if took := c.world.Now() - sentAt; took > s.SlowestEcho {
			s.SlowestEcho, s.SlowestSentAt = took, sentAt
		}
		if c.behavior != staysConnected && time.Now().After(leaveAt) {
			finish(ClosedByClient)
			return false
		}
		if ended := c.awaitNextLine(conn, r, &s, finish); ended {
			return c.behavior == staysConnected
		}
		select {
		case <-c.stop:
			finish(ClosedByClient)
			return false
		default:
		}
	}
}

// awaitNextLine waits until the client's next line is due and reads what the node sends in the meantime, so that a
// MOVE is read when it arrives and not after the next line.
func (c client) awaitNextLine(conn net.Conn, r *bufio.Reader, s *Connection, finish func(Ending)) (ended bool) {
	_ = conn.SetReadDeadline(time.Now().Add(lineInterval))
	received, err := r.ReadString('\n')
	var timeout net.Error
	switch {
	case err != nil && errors.As(err, &timeout) && timeout.Timeout():
		return false
	case err == nil && received == "MOVE\r\n":
		finish(Moved)
	case err == nil && received == "BYE\r\n":
		finish(ByeReceived)
	case err != nil:
		finish(CutOff)
	default:
		c.rec.update(func(rec *Record) {
			rec.Violations = append(rec.Violations, processes.Violation{Host: s.Host, At: c.world.Now(),
				What: fmt.Sprintf("%s sent %q to client %s, which had sent nothing", s.Node, received, s.ID)})
		})
		finish(CutOff)
	}
	return true
}
