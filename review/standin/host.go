package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// setUp is how long a host takes to set a connection up.
const setUp = 5 * time.Millisecond

// Host is the stand-in of a gateway.
type Host struct {
	UID     string
	Address string
	record  *Record
	ln      net.Listener

	mu       sync.Mutex
	draining bool
	conns    map[string]*hostConn // open connections by the id of the request
	Opens    []Opened
}

// Opened is a first line that came to a host.
type Opened struct {
	At       time.Time // of its first byte
	ID       string
	Accepted bool
}

type hostConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

// NewHost starts a host.
func NewHost(record *Record, uid string) (*Host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{UID: uid, Address: ln.Addr().String(), record: record, ln: ln, conns: map[string]*hostConn{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go h.serve(&hostConn{Conn: conn})
		}
	}()
	return h, nil
}

// Target returns the host as discovery lists it.
func (h *Host) Target() Target {
	return Target{UID: h.UID, Endpoint: h.Address, Zone: "gedung-a", Model: "c2-fast", State: "in_service", Capacity: 1}
}

// Drain makes the host turn away what is new.
func (h *Host) Drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
}

// Silence makes the host answer nothing more on the connection of a request; it stays open, and is read.
func (h *Host) Silence(id string) bool {
	h.mu.Lock()
	conn := h.conns[id]
	h.mu.Unlock()
	if conn == nil {
		return false
	}
	conn.mu.Lock()
	conn.silent = true
	conn.mu.Unlock()
	return true
}

// Holds returns how many connections the host has.
func (h *Host) Holds() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// OpensAfter returns the first lines whose first byte came after a time.
func (h *Host) OpensAfter(at time.Time) (all []Opened) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.Opens {
		if o.At.After(at) {
			all = append(all, o)
		}
	}
	return all
}

func (c *hostConn) say(text string) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if !silent {
		fmt.Fprintf(c, "%s\r\n", text)
	}
}

func (h *Host) serve(conn *hostConn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 8<<10)
	for { // probes, until a request comes
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		text, err := in.ReadString('\n')
		if err != nil || !strings.HasSuffix(text, "\r\n") {
			return
		}
		words := strings.Fields(text)
		switch {
		case len(words) == 1 && words[0] == "PING":
			conn.say("PONG")
		case len(words) == 1 && words[0] == "STATS":
			n := h.Holds()
			conn.say(fmt.Sprintf("PONG qps=%d,latency_ms=2,queue=0,x0=%.3f", n/2, float64(n)/100))
		case len(words) == 4 && words[0] == "OPEN":
			h.open(conn, in, words[1], first)
			return
		default:
			conn.say("SYNTAX")
			h.record.Log("host %s got a line that no client sent: %q", h.UID, text)
			return
		}
	}
}

func (h *Host) open(conn *hostConn, in *bufio.Reader, id string, first time.Time) {
	h.mu.Lock()
	accepted := !h.draining
	h.Opens = append(h.Opens, Opened{first, id, accepted})
	if accepted {
		h.conns[id] = conn
	}
	h.mu.Unlock()
	h.record.LogAt(first, "host %s gets OPEN %s, accepted: %v", h.UID, id, accepted)
	if !accepted {
		conn.say("BUSY")
		return
	}
	defer func() {
		h.mu.Lock()
		if h.conns[id] == conn {
			delete(h.conns, id)
		}
		h.mu.Unlock()
	}()
	time.Sleep(setUp)
	conn.say("UP r-" + id)
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			return
		}
		conn.say("RE " + strings.TrimRight(text, "\r\n"))
	}
}
