package standin2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is a host in discovery's form.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`

	rev int64 // of the last change
}

type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// told is an answer of discovery that named a host with a state.
type told struct {
	uid, state string
	at         time.Time
}

// discovery is a stand-in for discovery, on one address: whole lists, and watches.
type discovery struct {
	rec  *recorder
	name string
	addr string

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool
	rev     int64
	targets []target
	changed chan struct{} // closed at the next change
	tolds   []told
	calls   int
	slow    time.Duration // how long each answer takes besides
}

func newDiscovery(rec *recorder, name string, rev int64, targets []target) (*discovery, error) {
	d := &discovery{rec: rec, name: name, addr: "127.0.0.1:0", rev: rev, targets: append([]target(nil), targets...), changed: make(chan struct{})}
	for i := range d.targets {
		d.targets[i].rev = rev
	}
	return d, d.up()
}

// up begins to listen.
func (d *discovery) up() error {
	ln, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.ln, d.addr, d.conns = ln, ln.Addr().String(), map[net.Conn]bool{}
	d.mu.Unlock()
	d.rec.add("discovery %s is up at %s", d.name, d.addr)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[conn] = true
			d.mu.Unlock()
			go d.serve(conn)
		}
	}()
	return nil
}

// shut takes no new connection from now on; the open ones stay.
func (d *discovery) shut() error {
	d.rec.add("discovery %s takes no new connection", d.name)
	d.ln.Close()
	_, _, err := reserve(d.addr)
	return err
}

// end closes the open connections.
func (d *discovery) end() {
	d.rec.add("discovery %s closes its connections", d.name)
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		conn.Close()
	}
}

// set changes the state of a host.
func (d *discovery) set(uid, state string) {
	d.change(uid, func(t *target) { t.State = state })
}

// change changes the entry of a host.
func (d *discovery) change(uid string, apply func(*target)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for i := range d.targets {
		if t := &d.targets[i]; t.UID == uid {
			apply(t)
			t.rev = d.rev
			d.rec.add("discovery %s: %s is %s, boot_ms %d", d.name, uid, t.State, t.Boot)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// delay makes each answer take longer from now on.
func (d *discovery) delay(by time.Duration) {
	d.rec.add("discovery %s takes %v for each answer", d.name, by)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = by
}

// toldOf returns when discovery first wrote that a host has a state, and whether it has.
func (d *discovery) toldOf(uid, state string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.tolds {
		if t.uid == uid && t.state == state {
			return t.at, true
		}
	}
	return time.Time{}, false
}

func (d *discovery) called() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

func (d *discovery) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		d.mu.Lock()
		delete(d.conns, conn)
		d.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.calls++
		d.mu.Unlock()
		from, watch := int64(-1), false
		if text := request.URL.Query().Get("from"); text != "" {
			from, _ = strconv.ParseInt(text, 10, 64)
			watch = true
		}
		hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
		d.mu.Lock()
		slow := d.slow
		d.mu.Unlock()
		time.Sleep(slow)
		l := d.answer(from, watch, time.Duration(hold)*time.Millisecond)
		body, _ := json.Marshal(l)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
		at := time.Now()
		d.mu.Lock()
		for _, t := range l.Targets {
			d.tolds = append(d.tolds, told{t.UID, t.State, at})
		}
		d.mu.Unlock()
		if len(l.Targets) > 0 {
			d.rec.addAt(at, "discovery %s writes rev %d, all %v, %d entries", d.name, l.Rev, l.All, len(l.Targets))
		}
	}
}

// answer waits for news, at most for the hold of a watch, and returns what there is.
func (d *discovery) answer(from int64, watch bool, hold time.Duration) list {
	until := time.Now().Add(min(hold, time.Minute))
	for {
		d.mu.Lock()
		rev, changed := d.rev, d.changed
		l := list{Rev: rev, All: !watch || from > rev, Targets: []target{}}
		for _, t := range d.targets {
			if l.All && t.State != "terminated" || !l.All && t.rev > from {
				l.Targets = append(l.Targets, t)
			}
		}
		d.mu.Unlock()
		left := time.Until(until)
		if l.All || len(l.Targets) > 0 || left <= 0 {
			return l
		}
		select {
		case <-changed:
		case <-time.After(left):
		}
	}
}
