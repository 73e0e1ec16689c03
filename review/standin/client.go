package standin

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	lineInterval = 2 * time.Second // PROTOCOL, Figures
	// answerWithin is how long after its time a request may still be answered, and only earns nothing: STANDING and the 50 ms
	// of PROTOCOL.
	answerWithin = 550 * time.Millisecond
)

// Class is a class of requests.
type Class struct {
	Name     string
	Deadline time.Duration
}

// Clients is the front with its clients.
type Clients struct {
	Record  *Record
	Node    string // the address of the node
	Classes []Class

	mu   sync.Mutex
	list []*Client
	stop bool
}

// Client is one client; after a move or a break it comes again as a new one.
type Client struct {
	ID      string
	Receipt string

	mu       sync.Mutex
	Came     time.Time
	Answer   string    // "" while there is none
	LineSent time.Time // the oldest line without an answer; zero: none
	NextLine time.Time // when it sends its next line
	Moved    time.Time // MOVE has come
	Ended    time.Time // the connection has ended
	Wrong    string    // what came that it never asked for
	onLine   func()
	conn     net.Conn
}

// Snapshot is the state of a client at one moment.
type Snapshot struct {
	ID, Answer, Wrong                      string
	Came, LineSent, NextLine, Moved, Ended time.Time
}

// State returns the state of a client.
func (c *Client) State() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Snapshot{c.ID, c.Answer, c.Wrong, c.Came, c.LineSent, c.NextLine, c.Moved, c.Ended}
}

// BeforeNextLine calls f once, just before the client sends its next line.
func (c *Client) BeforeNextLine(f func()) {
	c.mu.Lock()
	c.onLine = f
	c.mu.Unlock()
}

// All returns all clients so far.
func (cs *Clients) All() []*Client {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return append([]*Client{}, cs.list...)
}

// Stop ends the arrival of clients that come again, and all connections.
func (cs *Clients) Stop() {
	cs.mu.Lock()
	cs.stop = true
	list := append([]*Client{}, cs.list...)
	cs.mu.Unlock()
	for _, c := range list {
		if c.conn != nil {
			c.conn.Close()
		}
	}
}

// SetClasses changes the classes that clients use from now on.
func (cs *Clients) SetClasses(classes []Class) {
	cs.mu.Lock()
	cs.Classes = classes
	cs.mu.Unlock()
}

// Arrive brings clients at a rate a second, for a time.
func (cs *Clients) Arrive(rate float64, length time.Duration) {
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(time.Duration(float64(time.Second) / rate)) {
		go cs.come(false)
	}
}

func (cs *Clients) come(again bool) {
	cs.mu.Lock()
	if cs.stop {
		cs.mu.Unlock()
		return
	}
	class := cs.Classes[rand.IntN(len(cs.Classes))]
	c := &Client{ID: fmt.Sprintf("%016x", rand.Uint64()), Came: time.Now()}
	cs.list = append(cs.list, c)
	cs.mu.Unlock()
	tenant := "kota-semarang"
	if rand.Float64() < 0.45 {
		tenant = "kab-blora"
	}
	more := ""
	if again {
		more = ",again=1"
	}
	first := fmt.Sprintf("OPEN %s %016x c=%s,t=%s,d=%d,g=%016x%s", c.ID, rand.Uint64(), class.Name, tenant, class.Deadline.Milliseconds(),
		rand.Uint64N(40), more)
	back := c.run(cs.Record, cs.Node, first, class.Deadline)
	if back {
		time.Sleep(80*time.Millisecond + rand.N(830*time.Millisecond))
		cs.come(true)
	}
}

func (c *Client) end(record *Record, what string) {
	c.mu.Lock()
	c.Ended = time.Now()
	c.mu.Unlock()
	record.Log("client %s: %s", c.ID, what)
}

// run sends the request and holds its connection. It returns whether the client comes again.
func (c *Client) run(record *Record, node, first string, deadline time.Duration) bool {
	conn, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		c.mu.Lock()
		c.Answer = "not connected"
		c.mu.Unlock()
		c.end(record, "not connected: "+err.Error())
		return true
	}
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	defer conn.Close()
	record.Log("client %s sends %s", c.ID, first)
	fmt.Fprintf(conn, "%s\r\n", first)
	in := bufio.NewReaderSize(conn, 8<<10)
	_ = conn.SetReadDeadline(time.Now().Add(deadline + answerWithin))
	answer, err := in.ReadString('\n')
	answer = strings.TrimRight(answer, "\r\n")
	if err != nil {
		answer = "none: " + err.Error()
	}
	c.mu.Lock()
	c.Answer = answer
	c.mu.Unlock()
	record.Log("client %s is answered %q", c.ID, answer)
	if answer != "UP r-"+c.ID {
		c.end(record, "is not served")
		return strings.HasPrefix(answer, "BUSY")
	}
	_ = conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go c.talk(conn, done)
	moved := false
	for !moved {
		text, err := in.ReadString('\n')
		if err != nil {
			break
		}
		switch text = strings.TrimRight(text, "\r\n"); {
		case text == "MOVE":
			moved = true
			c.mu.Lock()
			c.Moved = time.Now()
			c.mu.Unlock()
		case strings.HasPrefix(text, "RE LINE "+c.ID):
			c.mu.Lock()
			c.LineSent = time.Time{}
			c.mu.Unlock()
		default:
			c.mu.Lock()
			c.Wrong = text
			c.mu.Unlock()
		}
	}
	close(done)
	if moved {
		c.end(record, "is moved")
	} else {
		c.end(record, "its connection has ended")
	}
	return true
}

// talk sends a line every 2 s.
func (c *Client) talk(conn net.Conn, done chan struct{}) {
	for n := 0; ; n++ {
		c.mu.Lock()
		c.NextLine = time.Now().Add(lineInterval)
		c.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(lineInterval):
		}
		c.mu.Lock()
		f := c.onLine
		c.onLine = nil
		c.mu.Unlock()
		if f != nil {
			f()
		}
		c.mu.Lock()
		if c.LineSent.IsZero() {
			c.LineSent = time.Now()
		}
		c.mu.Unlock()
		if _, err := fmt.Fprintf(conn, "LINE %s %d\r\n", c.ID, n); err != nil {
			return
		}
	}
}
