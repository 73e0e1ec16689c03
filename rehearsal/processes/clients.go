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

// Load is how clients come. Where a figure is 0, the default stands.
type Load struct {
	PerSecond float64       // new clients, over all nodes; 20
	Most      int           // clients at once; 50. Whoever would be one more does not come
	Total     int           // clients in all; 0: they come until they are told to stop
	Holds     time.Duration // how long a client wants its connection, about; 500 ms
	Every     time.Duration // between two lines of a client; 100 ms
	Deadline  time.Duration // for UP; 3 s
	Again     int           // times that a client comes again after MOVE, BUSY or a broken connection; 5
	Class     string        // "chat"
	Worth     float64       // of one served in time; 1
	Group     string        // that all belong to; some by turns
	Nodes     []string      // that they come to, in turn; all
}

// Clients keep coming until they are told to stop.
type Clients struct {
	w    *World
	load Load
	stop chan struct{}
	once sync.Once
	all  sync.WaitGroup

	mu sync.Mutex
	r  Report
}

// Report is what clients have seen. Each query asked counts under exactly one of Up, Busy, Failed and Lost, once it is over.
type Report struct {
	Asked   int // OPEN lines sent whole
	Up      int // served
	Busy    int
	Failed  int // any other line
	Lost    int // the connection ended, or nothing had come a second after the deadline, without an answer
	Unmet   int // connections that did not come up: no query
	Moved   int // of those that were up
	Broken  int // of those that were up: ended without MOVE or BYE
	Ended   int // of those that were up: as the client wished
	Stood   int // clients that did not come because there were as many as there may be
	Worth   float64
	Latency *ddsketch.DDSketch // from OPEN to UP, in seconds, within 1%

	ByNode     map[string]int // of those that were up
	Unserved   map[string]int // by node: of those that were busy, failed or lost
	Violations []Violation
}

// serial numbers the queries of a test binary.
var serial atomic.Uint64

// Come has clients come to the nodes until Stop, or the test, ends.
func (w *World) Come(l Load) *Clients {
	w.t.Helper()
	l.PerSecond, l.Most = or(l.PerSecond, 20), or(l.Most, 50)
	l.Holds, l.Every = or(l.Holds, 500*time.Millisecond), or(l.Every, 100*time.Millisecond)
	l.Deadline, l.Again, l.Class, l.Worth = or(l.Deadline, 3*time.Second), or(l.Again, 5), or(l.Class, "chat"), or(l.Worth, 1)
	if l.Nodes == nil {
		l.Nodes = w.nodeNames
	}
	sketch, err := ddsketch.NewDefaultDDSketch(0.01)
	require.NoError(w.t, err)
	c := &Clients{w: w, load: l, stop: make(chan struct{}), r: Report{Latency: sketch, ByNode: make(map[string]int), Unserved: make(map[string]int)}}
	w.mu.Lock()
	w.clients = append(w.clients, c)
	number := uint64(len(w.clients))
	w.mu.Unlock()
	c.all.Go(func() { c.come(rand.New(rand.NewPCG(w.Plan.Seed, number))) })
	w.t.Cleanup(c.Stop)
	return c
}

func or[T comparable](v, otherwise T) T {
	var none T
	if v == none {
		return otherwise
	}
	return v
}

// Stop ends all clients, those that hold connections too, and returns once they are gone.
func (c *Clients) Stop() {
	c.once.Do(func() { close(c.stop) })
	c.all.Wait()
}

// Report is what was seen so far.
func (c *Clients) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.r
	r.Latency = c.r.Latency.Copy()
	r.Violations = append([]Violation(nil), c.r.Violations...)
	r.ByNode, r.Unserved = maps.Clone(c.r.ByNode), maps.Clone(c.r.Unserved)
	return r
}

func (r *Report) unserved(node string) {
	r.Asked++
	r.Unserved[node]++
}

// Within is the latency in seconds that a part q of the served queries had at most; 0 where none was served.
func (r Report) Within(q float64) float64 {
	v, err := r.Latency.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return v
}

func (r Report) String() string {
	return fmt.Sprintf("asked %d, up %d, busy %d, failed %d, lost %d, unmet %d; of the served moved %d, broken %d, ended %d; "+
		"worth %g, p50 %.1f ms, p99 %.1f ms", r.Asked, r.Up, r.Busy, r.Failed, r.Lost, r.Unmet, r.Moved, r.Broken, r.Ended,
		r.Worth, 1000*r.Within(0.5), 1000*r.Within(0.99))
}

// AwaitUp waits until so many more queries than now were served, at one node or, with "", at any.
func (c *Clients) AwaitUp(more int, node string) {
	c.w.t.Helper()
	up := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		if node == "" {
			return c.r.Up
		}
		return c.r.ByNode[node]
	}
	least := up() + more
	c.w.changes.await(c.w.t, fmt.Sprintf("%d more clients are served %s", more, node), func() bool { return up() >= least }, nil)
}

func (c *Clients) count(f func(*Report)) {
	c.mu.Lock()
	f(&c.r)
	c.mu.Unlock()
	c.w.changes.tell()
}

// come lets clients in, at times that the seed chooses.
func (c *Clients) come(rng *rand.Rand) {
	room := make(chan struct{}, c.load.Most)
	for i := 0; c.load.Total == 0 || i < c.load.Total; i++ {
		gap := time.Duration(min(rng.ExpFloat64(), 4) / c.load.PerSecond * float64(time.Second))
		holds := time.Duration((0.5 + rng.Float64()) * float64(c.load.Holds))
		if !c.pause(gap) {
			return
		}
		select {
		case room <- struct{}{}:
			c.all.Go(func() {
				defer func() { <-room }()
				c.client(i, holds)
			})
		default:
			c.count(func(r *Report) { r.Stood++ })
		}
	}
}

// pause waits, and says whether the clients go on.
func (c *Clients) pause(long time.Duration) bool {
	return wait(c.w.done, c.stop, long) && c.w.ctx.Err() == nil
}

// client is one client: it comes, and comes again to the next node when it is sent away.
func (c *Clients) client(number int, holds time.Duration) {
	for try := range c.load.Again + 1 {
		node := c.load.Nodes[(number+try)%len(c.load.Nodes)]
		again, after := c.query(node, number, try, holds)
		if !again || !c.pause(after) {
			return
		}
	}
}

// after is how long a client waits before it comes again.
const after = 50 * time.Millisecond

// query brings one query to a node and holds what comes of it. It says whether the client comes again and after how long.
func (c *Clients) query(node string, number, try int, holds time.Duration) (again bool, pause time.Duration) {
	conn, err := net.Dial("tcp4", c.w.clientLinks[node].Addr())
	if err != nil {
		c.count(func(r *Report) { r.Unmet++ })
		return true, after
	}
	defer conn.Close()
	gone := make(chan struct{})
	defer close(gone)
	var stopped atomic.Bool
	go func() { // a client that is told to stop hangs up
		select {
		case <-c.stop:
			stopped.Store(true)
			conn.Close()
		case <-gone:
		}
	}()
	id := fmt.Sprintf("%016x", serial.Add(1)|c.w.Plan.Seed<<40)
	line := fmt.Sprintf("OPEN %s %x c=%s,t=acme,d=%d,g=%s", id, number%97+1, c.load.Class, c.load.Deadline.Milliseconds(),
		or(c.load.Group, fmt.Sprintf("%x", number%31+1)))
	if try > 0 {
		line += ",again=1"
	}
	begun := time.Now()
	c.w.sentAt.Store(id, c.w.Now())
	if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
		c.count(func(r *Report) { r.Unmet++ })
		return true, after
	}
	_ = conn.SetReadDeadline(begun.Add(c.load.Deadline + time.Second))
	r := bufio.NewReader(conn)
	text, err := r.ReadString('\n')
	took := time.Since(begun)
	text = strings.TrimSuffix(text, "\r\n")
	switch {
	case stopped.Load():
		return false, 0 // it may have been answered just then: not counted
	case err != nil:
		c.count(func(rep *Report) { rep.Lost++; rep.unserved(node) })
		return true, after
	case strings.HasPrefix(text, "UP "):
		if given, _ := c.w.upLines.Load(text); given != id {
			c.violate("%s said %q to query %s, which no host has said to it", node, text, id)
		}
		c.count(func(rep *Report) {
			rep.Asked, rep.Up = rep.Asked+1, rep.Up+1
			rep.ByNode[node]++
			_ = rep.Latency.Add(took.Seconds())
			if took <= c.load.Deadline {
				rep.Worth += c.load.Worth
			}
		})
		return c.hold(conn, r, node, id, holds, &stopped)
	case text == "BUSY" || strings.HasPrefix(text, "BUSY "):
		ms := 0
		_, _ = fmt.Sscanf(text, "BUSY %d", &ms)
		c.count(func(rep *Report) { rep.Busy++; rep.unserved(node) })
		again, pause = true, max(after, time.Duration(min(ms, 2000))*time.Millisecond)
	default:
		c.count(func(rep *Report) { rep.Failed++; rep.unserved(node) })
	}
	c.nothingMore(r, node, id, text)
	return again, pause
}

// nothingMore notes a line that came after the final one.
func (c *Clients) nothingMore(r *bufio.Reader, node, id, last string) {
	if more, _ := r.ReadString('\n'); more != "" {
		c.violate("%s said %q to query %s after its final %q", node, more, id, last)
	}
}

func (c *Clients) violate(format string, args ...any) {
	c.count(func(r *Report) {
		r.Violations = append(r.Violations, Violation{At: c.w.Now(), What: fmt.Sprintf(format, args...)})
	})
}

// hold speaks with the host now and then, until the client has had enough.
func (c *Clients) hold(conn net.Conn, r *bufio.Reader, node, id string, holds time.Duration,
	stopped *atomic.Bool) (again bool, pause time.Duration) {
	enough := time.Now().Add(holds)
	for n := 0; ; n++ {
		said := fmt.Sprintf("M %d %s", n, id)
		if !time.Now().Before(enough) {
			said = "end"
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // 7 s, and more for a loaded machine
		_, err := io.WriteString(conn, said+"\r\n")
		var heard string
		if err == nil || n > 0 { // what was said to the client before the end can be read still
			heard, err = r.ReadString('\n')
		}
		heard = strings.TrimSuffix(heard, "\r\n")
		switch {
		case heard == "MOVE" && err == nil:
			c.count(func(rep *Report) { rep.Moved++ })
			c.nothingMore(r, node, id, heard)
			return true, after
		case said == "end" && heard == "BYE" && err == nil:
			c.count(func(rep *Report) { rep.Ended++ })
			c.nothingMore(r, node, id, heard)
			return false, 0
		case stopped.Load():
			return false, 0
		case err != nil:
			c.count(func(rep *Report) { rep.Broken++ })
			return true, after
		case heard != said:
			c.violate("%s passed %q to query %s, which had said %q", node, heard, id, said)
			return false, 0
		}
		if !c.pause(min(c.load.Every, max(time.Millisecond, time.Until(enough)))) {
			return false, 0
		}
	}
}
