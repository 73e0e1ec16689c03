package processes

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

// Discovery is the scripted discovery: one state, told to each node with the addresses that it reaches the hosts at. Each
// node calls it through a link of its own; see World.ToDiscovery.
type Discovery struct {
	w *World

	mu    sync.Mutex
	rev   int64
	hosts []*Host
	revs  map[*Host]int64 // of the last change
	does  Trouble
	calls map[string]int // by node
	told  []Told
}

// Trouble is what discovery does to calls.
type Trouble uint8

// The kinds of trouble. Whichever it is, it begins with calls under way too.
const (
	NoTrouble Trouble = iota
	Failing           // every call is answered 503
	Silent            // calls are taken and never answered
	Slow              // every answer comes slowAnswer later
	Endless           // an answer begins and never ends
)

func (t Trouble) String() string {
	return [...]string{"no trouble", "failing", "silent", "slow", "endless"}[t]
}

const (
	slowAnswer  = time.Second           // between half and all of the time that nodes give a call
	endlessPart = 50 * time.Millisecond // between two parts of an answer that never ends
)

// Told is what discovery has told a node of a host's state.
type Told struct {
	Node, Host, State string
	At                time.Duration // when it was written
}

// target is an entry of a list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// list is what discovery answers.
type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

func newDiscovery(w *World) *Discovery {
	return &Discovery{w: w, rev: 1, revs: make(map[*Host]int64), calls: make(map[string]int)}
}

// serve opens discovery to one node and returns the address.
func (d *Discovery) serve(node string) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(d.w.t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { d.answer(node, out, in) }),
		BaseContext: func(net.Listener) context.Context { return d.w.ctx }}
	d.w.t.Cleanup(func() { s.Close() })
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String()
}

// Down has every call fail with 503 and ends all watches, or takes that back.
func (d *Discovery) Down(down bool) {
	if down {
		d.Does(Failing)
	} else {
		d.Does(NoTrouble)
	}
}

// Does has discovery make so much trouble from now on.
func (d *Discovery) Does(t Trouble) {
	d.mu.Lock()
	d.does = t
	d.mu.Unlock()
	d.w.changes.tell()
}

// Told is what nodes were told so far, in that order.
func (d *Discovery) Told() []Told {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.told)
}

// Calls is how many calls a node has made.
func (d *Discovery) Calls(node string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[node]
}

// publish tells of a host as it is now.
func (d *Discovery) publish(h *Host) {
	d.mu.Lock()
	d.rev++
	d.revs[h] = d.rev
	d.mu.Unlock()
	d.w.changes.tell()
}

// list returns what a node is told that knows a version, and whether there is anything new; from 0 for all.
func (d *Discovery) list(node string, from int64) (list, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Rev: d.rev, All: from <= 0 || from > d.rev, Targets: []target{}}
	for _, h := range d.hosts {
		h.mu.Lock()
		if h.visibleTo(node) && (l.All && h.state != "terminated" || !l.All && d.revs[h] > from) {
			t := target{UID: h.ID, Endpoint: h.endpoint(node), Zone: h.Zone, Model: h.Kind, Group: h.Group, State: h.state,
				Capacity: h.Capacity}
			if !h.boot.IsZero() {
				t.Boot = h.boot.UnixMilli()
			}
			l.Targets = append(l.Targets, t)
		}
		h.mu.Unlock()
	}
	return l, l.All || d.rev > from
}

func (d *Discovery) answer(node string, out http.ResponseWriter, in *http.Request) {
	d.mu.Lock()
	d.calls[node]++
	d.mu.Unlock()
	d.w.changes.tell()
	if in.Method != http.MethodGet || in.URL.Path != "/v1/servers" {
		d.w.addViolation("%s asked discovery for %s %s", node, in.Method, in.URL)
		http.Error(out, "no such thing", http.StatusNotFound)
		return
	}
	q := in.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	hold, _ := strconv.ParseInt(q.Get("hold_ms"), 10, 64)
	over := time.NewTimer(time.Duration(min(max(hold, 0), 60000)) * time.Millisecond)
	defer over.Stop()
	for waits := hold > 0; ; {
		next := d.w.changes.changed()
		d.mu.Lock()
		does := d.does
		d.mu.Unlock()
		switch does {
		case Failing:
			http.Error(out, "down", http.StatusServiceUnavailable)
			return
		case Endless:
			d.endless(out, in)
			return
		}
		if l, anew := d.list(node, from); does != Silent && (anew || !waits) {
			if does == Slow && !wait(nil, in.Context().Done(), slowAnswer) {
				return
			}
			d.write(node, l, out)
			return
		}
		select {
		case <-next:
		case <-over.C:
			waits = false
		case <-in.Context().Done():
			return
		}
	}
}

// write answers a call with a list.
func (d *Discovery) write(node string, l list, out http.ResponseWriter) {
	body, err := json.Marshal(l)
	if err != nil {
		d.w.t.Errorf("discovery: %v", err)
	}
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = out.Write(body)
	at := d.w.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range l.Targets {
		d.told = append(d.told, Told{Node: node, Host: t.UID, State: t.State, At: at})
	}
}

// endless begins an answer and goes on with it until the caller gives up or the trouble is over.
func (d *Discovery) endless(out http.ResponseWriter, in *http.Request) {
	out.Header().Set("Content-Type", "application/json")
	for part := `{"rev":1,"all":true,"targets":[`; ; part = " " {
		if _, err := out.Write([]byte(part)); err != nil || http.NewResponseController(out).Flush() != nil {
			return
		}
		if !wait(nil, in.Context().Done(), endlessPart) {
			return
		}
		d.mu.Lock()
		goesOn := d.does == Endless
		d.mu.Unlock()
		if !goesOn {
			panic(http.ErrAbortHandler) // the answer is cut: it was never whole
		}
	}
}
