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

// manner is what a client means to do.
type manner uint8

const (
	keeps     manner = iota // its connection, until the run is over
	visits                  // for a moment
	hurries                 // hangs up while it waits
	hesitates               // sends nothing for a while after it has connected
)

// mannersDrawn are the manners that clients are drawn from.
var mannersDrawn = [...]manner{keeps, keeps, keeps, visits, visits, hurries, hesitates}

const (
	lineEvery = 500 * time.Millisecond // a client's lines; the page's clients send one every 2 s
	visitMost = time.Second
	hurryMost = 60 * time.Millisecond
	// hesitateMost is within the 2 s after which a connection without a request may be ended.
	hesitateMost = 1500 * time.Millisecond
	// comesAgain is how long a client waits after MOVE or a refusal.
	comesAgain = 50 * time.Millisecond
	// waitsBeyond is how much longer than its time a client listens: an answer up to half a second late is late, a later one is none
	// (STANDING). What is heard after that changes nothing.
	waitsBeyond = 1500 * time.Millisecond
	dialWithin  = time.Second
	leastWait   = 300 * time.Millisecond // of a client for its answer
	// longestSilence is within what a running host has to be heard, or its client moved (PROTOCOL, Figures: 7 s).
	longestSilence = 7 * time.Second
)

// front deals clients out to the nodes that are open to them.
type front struct {
	mu    sync.Mutex
	nodes []string
	shut  map[string]bool
	addr  map[string]string
}

// pick returns a node that is open and where it listens, "" where none is.
func (f *front) pick(n int) (node, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var open []string
	for _, name := range f.nodes {
		if !f.shut[name] {
			open = append(open, name)
		}
	}
	if len(open) == 0 {
		return "", ""
	}
	node = open[n%len(open)]
	return node, f.addr[node]
}

func (f *front) set(node string, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shut[node] = !open
}

// crowd is all clients of a run.
type crowd struct {
	w     *processes.World
	plan  Plan
	front *front
	rec   *recorder
	stop  chan struct{} // closed when no client comes any more, and those that keep their connections end them
	all   sync.WaitGroup
}

// classes are those of the settings, with how many of ten clients are of each.
var classes = [...]string{"chat", "chat", "chat", "chat", "chat", "chat", "print", "print", "print", "print"}

// come has clients come until the crowd is told to stop.
func (c *crowd) come() {
	rng := rand.New(rand.NewPCG(c.plan.Seed, 0x636f6d65))
	rate, kept := c.plan.PerSecond*float64(len(c.plan.Nodes)), 0
	for number := 0; ; number++ {
		gap := time.Duration(min(rng.ExpFloat64(), 4) / rate * float64(time.Second))
		client := client{crowd: c, number: number, manner: mannersDrawn[rng.IntN(len(mannersDrawn))],
			class: classes[rng.IntN(len(classes))], draw: rng.Float64(), seed: rng.Uint64()}
		if client.manner == keeps {
			if kept++; kept > c.plan.Keepers() {
				client.manner = visits
			}
		}
		if !c.pause(gap) {
			return
		}
		c.all.Go(client.live)
	}
}

// pause waits, and says whether the clients go on.
func (c *crowd) pause(long time.Duration) bool {
	timer := time.NewTimer(long)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.stop:
		return false
	case <-c.w.Done():
		return false
	}
}

// idle opens a connection at a node and says nothing until the node ends it or the run is over.
func (c *crowd) idle(addr string) {
	conn, err := net.DialTimeout("tcp4", addr, dialWithin)
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

// client is one client, which may come several times.
type client struct {
	*crowd
	number int
	manner manner
	class  string
	draw   float64
	seed   uint64
}

func (c client) live() {
	rng := rand.New(rand.NewPCG(c.seed, 1))
	for try := 0; ; try++ {
		node, addr := c.front.pick(rng.IntN(1 << 16))
		if addr == "" || !c.visit(node, addr, try) || !c.pause(comesAgain) {
			return
		}
	}
}

// wait is how long the client waits for an answer.
func (c client) wait() time.Duration {
	return max(leastWait, time.Duration(c.draw*float64(c.plan.Longest))).Truncate(time.Millisecond)
}

// visit comes to a node once and says whether the client comes again.
func (c client) visit(node, addr string, try int) (again bool) {
	conn, err := net.DialTimeout("tcp4", addr, dialWithin)
	if err != nil {
		c.rec.note(func(r *Record) { r.Unmet++ })
		return true
	}
	defer conn.Close()
	dialled := c.w.Now()
	if c.manner == hesitates && !c.pause(time.Duration(c.draw*float64(hesitateMost))) {
		return false
	}
	q := Request{ID: fmt.Sprintf("%08x%08x", uint32(c.seed), c.number<<8|try), Node: node, Class: c.class, Dialled: dialled, Wait: c.wait()}
	line := fmt.Sprintf("OPEN %s %x c=%s,t=acme,d=%d,g=%x\r\n", q.ID, c.number+1, q.Class, q.Wait.Milliseconds(), c.number%31+1)
	if try > 0 {
		line = strings.Replace(line, "\r\n", ",again=1\r\n", 1)
	}
	if _, err := io.WriteString(conn, line); err != nil {
		c.rec.note(func(r *Record) { r.Unmet++ }) // it was ended before anything was said
		return true
	}
	q.Sent = c.w.Now()
	if c.manner == hurries && try == 0 {
		if c.pause(time.Duration(c.draw * float64(hurryMost))) {
			conn.Close()
			q.Outcome, q.At = Left, c.w.Now()
			c.rec.note(func(r *Record) { r.Requests = append(r.Requests, q) })
		}
		return false
	}
	return c.listen(conn, q)
}

// listen waits for the answer, and holds what comes of it.
func (c client) listen(conn net.Conn, q Request) (again bool) {
	_ = conn.SetReadDeadline(time.Now().Add(q.Wait + waitsBeyond))
	r := bufio.NewReader(conn)
	text, err := r.ReadString('\n')
	q.At = c.w.Now()
	var late net.Error
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
	case errors.As(err, &late) && late.Timeout():
		q.Outcome = Unanswered
	case errors.Is(err, io.EOF):
		q.Outcome = ClosedRead
	default:
		q.Outcome = Reset
	}
	c.rec.note(func(r *Record) { r.Requests = append(r.Requests, q) })
	if q.Outcome != Up {
		return c.manner == keeps
	}
	host, _, _ := strings.Cut(strings.TrimPrefix(text, "UP "), ".")
	return c.hold(conn, r, Connection{ID: q.ID, Node: q.Node, Host: host, Began: q.At})
}

// hold speaks with the host until the client has had enough or the connection has ended.
func (c client) hold(conn net.Conn, r *bufio.Reader, s Connection) (again bool) {
	enough := time.Now().Add(time.Duration(c.draw * float64(visitMost)))
	over := func(e Ending) {
		s.Ending, s.Ended = e, c.w.Now()
		c.rec.note(func(r *Record) { r.Connections = append(r.Connections, s) })
	}
	for n := 0; ; n++ {
		said, begun := fmt.Sprintf("M %d %s", n, s.ID), c.w.Now()
		_ = conn.SetDeadline(time.Now().Add(longestSilence + longestSilence))
		_, err := io.WriteString(conn, said+"\r\n")
		var heard string
		if err == nil || n > 0 { // what was said before the end can be read still
			heard, err = r.ReadString('\n')
		}
		switch heard = strings.TrimSuffix(heard, "\r\n"); {
		case err == nil && heard == "MOVE":
			over(Moved)
			return c.manner == keeps
		case err == nil && heard == "BYE":
			over(Said)
			return c.manner == keeps
		case err != nil:
			over(CutOff)
			return c.manner == keeps
		case heard != said:
			c.rec.note(func(r *Record) {
				r.Violations = append(r.Violations, processes.Violation{Host: s.Host, At: c.w.Now(),
					What: fmt.Sprintf("%s passed %q to %s, which had said %q", s.Node, heard, s.ID, said)})
			})
			return false
		}
		if took := c.w.Now() - begun; took > s.Slowest {
			s.Slowest, s.SlowestAt = took, begun
		}
		if c.manner != keeps && time.Now().After(enough) {
			over(ByClient)
			return false
		}
		if ended := c.rest(conn, r, &s, over); ended {
			return c.manner == keeps
		}
		select {
		case <-c.stop:
			over(ByClient)
			return false
		default:
		}
	}
}

// rest waits until the next line is due, and takes what the node says meanwhile: a MOVE is read when it comes, not at the next line.
func (c client) rest(conn net.Conn, r *bufio.Reader, s *Connection, over func(Ending)) (ended bool) {
	_ = conn.SetReadDeadline(time.Now().Add(lineEvery))
	heard, err := r.ReadString('\n')
	var late net.Error
	switch {
	case err != nil && errors.As(err, &late) && late.Timeout():
		return false
	case err == nil && heard == "MOVE\r\n":
		over(Moved)
	case err == nil && heard == "BYE\r\n":
		over(Said)
	case err != nil:
		over(CutOff)
	default:
		c.rec.note(func(rec *Record) {
			rec.Violations = append(rec.Violations, processes.Violation{Host: s.Host, At: c.w.Now(),
				What: fmt.Sprintf("%s said %q to %s, which had said nothing", s.Node, heard, s.ID)})
		})
		over(CutOff)
	}
	return true
}
