package standin2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// class is a class of requests as the settings have it.
type class struct {
	name      string
	semantics string
	aim, wait time.Duration
	window    time.Duration
	points    float64
	share     float64
}

// request is one request of a client and what came of it.
type request struct {
	id     string
	class  string
	sent   time.Time // when its last byte was written; zero: never
	answer string    // the first line that came back; "" for none
	at     time.Time // when it came, or the connection ended, or the client gave up
	end    string    // how an established connection ended
}

// clients are the usual clients of a node, behind its front.
type clients struct {
	rec     *recorder
	addr    string
	classes []class
	life    time.Duration // mean life of a connection
	tenants []string

	rng     *rand.Rand
	rngMu   sync.Mutex
	mu      sync.Mutex
	all     []*request
	stop    chan struct{}
	stopped atomic.Bool
	wait    sync.WaitGroup
}

func newClients(rec *recorder, addr string, classes []class, life time.Duration, seed uint64) *clients {
	return &clients{rec: rec, addr: addr, classes: classes, life: life, rng: rand.New(rand.NewPCG(seed, seed)), stop: make(chan struct{})}
}

func (c *clients) float() float64 {
	c.rngMu.Lock()
	defer c.rngMu.Unlock()
	return c.rng.Float64()
}

func (c *clients) exp(mean time.Duration) time.Duration {
	c.rngMu.Lock()
	defer c.rngMu.Unlock()
	return time.Duration(c.rng.ExpFloat64() * float64(mean))
}

func (c *clients) newID() string {
	c.rngMu.Lock()
	defer c.rngMu.Unlock()
	return fmt.Sprintf("%016x", c.rng.Uint64())
}

// arrive begins a new client perSecond times a second until end is called.
func (c *clients) arrive(perSecond float64) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(c.exp(time.Duration(float64(time.Second) / perSecond))):
			}
			c.start(c.pick(), "")
		}
	}()
}

func (c *clients) pick() class {
	draw := c.float()
	for _, k := range c.classes {
		if draw -= k.share; draw < 0 {
			return k
		}
	}
	return c.classes[len(c.classes)-1]
}

// start begins one client, which comes again after a break or a move.
func (c *clients) start(k class, more string) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		for again := more; !c.stopped.Load(); again = more + ",again=1" {
			if !c.connect(k, again) {
				return
			}
			time.Sleep(80*time.Millisecond + time.Duration(c.float()*float64(830*time.Millisecond)))
		}
	}()
}

// end stops all clients.
func (c *clients) end() {
	c.stopped.Store(true)
	close(c.stop)
	c.wait.Wait()
}

// requests returns all requests so far.
func (c *clients) requests() []request {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]request, len(c.all))
	for i, r := range c.all {
		all[i] = *r
	}
	return all
}

// connect makes one request and uses its connection. It returns true if the client comes again.
func (c *clients) connect(k class, more string) (again bool) {
	r := &request{id: c.newID(), class: k.name}
	c.mu.Lock()
	c.all = append(c.all, r)
	c.mu.Unlock()
	set := func(f func()) {
		c.mu.Lock()
		defer c.mu.Unlock()
		f()
	}
	conn, err := net.DialTimeout("tcp", c.addr, k.wait)
	if err != nil {
		set(func() { r.end = "refused" })
		c.rec.add("client %s is not connected: %v", r.id, err)
		return false
	}
	defer conn.Close()
	tenant := ""
	if len(c.tenants) > 0 {
		tenant = ",t=" + c.tenants[int(c.float()*float64(len(c.tenants)))]
	}
	key := c.newID()
	if _, err := fmt.Fprintf(conn, "OPEN %s %s c=%s%s,d=%d%s\r\n", r.id, key, k.name, tenant, k.wait.Milliseconds(), more); err != nil {
		set(func() { r.end = "not written" })
		c.rec.add("client %s could not write: %v", r.id, err)
		return false
	}
	sent := time.Now()
	set(func() { r.sent = sent })
	c.rec.addAt(sent, "client %s sends OPEN c=%s", r.id, k.name)
	in := bufio.NewReaderSize(conn, 8<<10)
	// The client waits half a second longer, to see a late answer as such.
	_ = conn.SetReadDeadline(sent.Add(k.wait + 600*time.Millisecond))
	answer, err := in.ReadString('\n')
	at := time.Now()
	answer = strings.TrimRight(answer, "\r\n")
	set(func() { r.answer, r.at = answer, at })
	if err != nil {
		c.rec.addAt(at, "client %s has no answer after %v: %v", r.id, at.Sub(sent).Round(time.Millisecond), err)
		return false
	}
	c.rec.addAt(at, "client %s gets %s", r.id, answer)
	if !strings.HasPrefix(answer, "UP ") {
		return false
	}
	end := c.use(conn, in)
	set(func() { r.end = end })
	c.rec.add("client %s ends: %s", r.id, end)
	return end == "moved" || end == "broken"
}

// use sends a line every two seconds and reads what comes back, to the end of the connection.
func (c *clients) use(conn net.Conn, in *bufio.Reader) string {
	life := time.NewTimer(c.exp(c.life))
	defer life.Stop()
	ended := make(chan string, 1)
	_ = conn.SetReadDeadline(time.Time{})
	go func() {
		for {
			text, err := in.ReadString('\n')
			switch text = strings.TrimRight(text, "\r\n"); {
			case errors.Is(err, io.EOF):
				ended <- "ended"
				return
			case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
				ended <- "left"
				return
			case err != nil:
				ended <- "broken"
				return
			case text == "MOVE":
				ended <- "moved"
				return
			case text == "BYE":
				ended <- "served"
				return
			}
		}
	}()
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for n := 1; ; n++ {
		if _, err := fmt.Fprintf(conn, "LINE %d\r\n", n); err != nil {
			return <-ended
		}
		select {
		case why := <-ended:
			return why
		case <-c.stop:
			return "left"
		case <-life.C:
			return "left"
		case <-tick.C:
		}
	}
}
