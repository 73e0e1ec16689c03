package standin2

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// openLine is a first line that a host has read.
type openLine struct {
	host   string
	id     string
	class  string
	at     time.Time // when its first byte had come
	answer string
}

// host is a stand-in for a host: it answers the first line, returns a line for each line, and answers probes. A host that drains turns new
// connections away and keeps those that it has.
type host struct {
	rec  *recorder
	name string
	ln   net.Listener
	boot int64 // of its start, in Unix milliseconds; 0: long ago

	mu       sync.Mutex
	draining bool
	conns    map[net.Conn]bool
	held     int
	opens    []openLine
	onOpen   func(openLine) string // returns another answer than UP, RESET or SILENT; "" for UP
}

func newHost(rec *recorder, name string) (*host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{rec: rec, name: name, ln: ln, conns: map[net.Conn]bool{}}
	go h.accept(ln)
	return h, nil
}

func (h *host) addr() string { return h.ln.Addr().String() }

func (h *host) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[conn] = true
		h.mu.Unlock()
		go h.serve(conn)
	}
}

// setDraining makes the host turn new connections away.
func (h *host) setDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// received returns the first lines that the host has read.
func (h *host) received() []openLine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]openLine(nil), h.opens...)
}

func (h *host) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		h.mu.Lock()
		delete(h.conns, conn)
		h.mu.Unlock()
	}()
	in := bufio.NewReaderSize(conn, 8<<10)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		text, err := in.ReadString('\n')
		if err != nil {
			return
		}
		switch word, rest, _ := strings.Cut(strings.TrimRight(text, "\r\n"), " "); word {
		case "PING":
			fmt.Fprint(conn, "PONG\r\n")
		case "STATS":
			h.mu.Lock()
			held := h.held
			h.mu.Unlock()
			fmt.Fprintf(conn, "PONG qps=%d,latency_ms=2,queue=0,x0=%.3f\r\n", held, float64(held)/hostRoom)
		case "OPEN":
			if h.open(conn, in, rest, at) {
				return
			}
		default:
			fmt.Fprint(conn, "SYNTAX\r\n")
			return
		}
	}
}

// open answers a first line and serves the connection to its end.
func (h *host) open(conn net.Conn, in *bufio.Reader, rest string, at time.Time) bool {
	fields := strings.SplitN(rest, " ", 3)
	if len(fields) < 3 {
		fmt.Fprint(conn, "SYNTAX\r\n")
		return true
	}
	o := openLine{host: h.name, id: fields[0], class: value(fields[2], "c"), at: at, answer: "UP r" + fields[0]}
	h.mu.Lock()
	if h.draining {
		o.answer = "BUSY"
	} else if h.onOpen != nil {
		if other := h.onOpen(o); other != "" {
			o.answer = other
		}
	}
	h.opens = append(h.opens, o)
	up := strings.HasPrefix(o.answer, "UP ")
	if up {
		h.held++
	}
	h.mu.Unlock()
	h.rec.addAt(at, "host %s reads OPEN %s c=%s, answers %s", h.name, o.id, o.class, o.answer)
	if tcp, ok := conn.(*net.TCPConn); ok && o.answer == "RESET" {
		_ = tcp.SetLinger(0) // and no answer: the connection is reset
		return true
	}
	if o.answer == "SILENT" {
		_, _ = in.ReadByte() // until the node gives up
		return true
	}
	fmt.Fprintf(conn, "%s\r\n", o.answer)
	if !up {
		return true
	}
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			break
		}
		if _, err := fmt.Fprintf(conn, "RE %s", text); err != nil {
			break
		}
	}
	h.mu.Lock()
	h.held--
	h.mu.Unlock()
	return true
}

// value returns the value of a name in a list of names and values.
func value(list, name string) string {
	for _, pair := range strings.Split(list, ",") {
		if n, v, _ := strings.Cut(pair, "="); n == name {
			return v
		}
	}
	return ""
}

// hostRoom is how many connections fill a host.
var hostRoom = 60.0
