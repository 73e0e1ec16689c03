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

// Discovery is the fake discovery service: one list of hosts, served to each node with the addresses at which that node
// reaches the hosts. Each node calls it over its own link; see World.DiscoveryLink.
type Discovery struct {
	w *World

	mu    sync.Mutex
	rev   int64
	hosts []*Host
	revs  map[*Host]int64 // revision of the last change of a host
	fault DiscoveryFault
	calls map[string]int // number of calls by node
	sent  []SentState
}

// DiscoveryFault is what discovery does to calls.
type DiscoveryFault uint8

// The kinds of fault. Each applies also to calls that are already pending.
const (
	DiscoveryHealthy      DiscoveryFault = iota
	DiscoveryFailing                     // every call is answered with 503
	DiscoveryUnresponsive                // calls are accepted and never answered
	DiscoverySlow                        // every answer is delayed by slowResponseDelay
	DiscoveryEndless                     // an answer begins and never ends
)

func (f DiscoveryFault) String() string {
	return [...]string{"no trouble", "failing", "silent", "slow", "endless"}[f]
}

const (
	slowResponseDelay   = time.Second           // between half and all of the time after which nodes give up a call
	endlessPartInterval = 50 * time.Millisecond // between two parts of an endless answer
)

// SentState is the state of a host that discovery sent to a node.
type SentState struct {
	Node, Host, State string
	At                time.Duration // when it was sent
}

// hostEntry is an entry of a hostList.
type hostEntry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// hostList is the response of discovery.
type hostList struct {
	Rev     int64       `json:"rev"`
	All     bool        `json:"all"`
	Targets []hostEntry `json:"targets"`
}

func newDiscovery(w *World) *Discovery {
	return &Discovery{w: w, rev: 1, revs: make(map[*Host]int64), calls: make(map[string]int)}
}

// serveNode starts a listener for one node and returns its address.
func (d *Discovery) serveNode(node string) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(d.w.t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(resp http.ResponseWriter, req *http.Request) { d.handle(node, resp, req) }),
		BaseContext: func(net.Listener) context.Context { return d.w.ctx }}
	d.w.t.Cleanup(func() { s.Close() })
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String()
}

// SetDown makes every call fail with 503 and ends all long polls, or ends that fault.
func (d *Discovery) SetDown(down bool) {
	if down {
		d.SetFault(DiscoveryFailing)
	} else {
		d.SetFault(DiscoveryHealthy)
	}
}

// SetFault sets the fault from now on.
func (d *Discovery) SetFault(fault DiscoveryFault) {
	d.mu.Lock()
	d.fault = fault
	d.mu.Unlock()
	d.w.changes.notify()
}

// Sent returns all host states sent to nodes so far, in that order.
func (d *Discovery) Sent() []SentState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.sent)
}

// Calls returns the number of calls that a node has made.
func (d *Discovery) Calls(node string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[node]
}

// publish announces the current state of a host.
func (d *Discovery) publish(h *Host) {
	d.mu.Lock()
	d.rev++
	d.revs[h] = d.rev
	d.mu.Unlock()
	d.w.changes.notify()
}

// list returns the response for a node that knows revision from (0: none), and whether there is anything new in it.
func (d *Discovery) list(node string, from int64) (hostList, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := hostList{Rev: d.rev, All: from <= 0 || from > d.rev, Targets: []hostEntry{}}
	for _, h := range d.hosts {
		h.mu.Lock()
		if h.visibleTo(node) && (l.All && h.state != "terminated" || !l.All && d.revs[h] > from) {
			t := hostEntry{UID: h.ID, Endpoint: h.endpoint(node), Zone: h.Zone, Model: h.Kind, Group: h.Group, State: h.state,
				Capacity: h.Capacity}
			if !h.startedAt.IsZero() {
				t.Boot = h.startedAt.UnixMilli()
			}
			l.Targets = append(l.Targets, t)
		}
		h.mu.Unlock()
	}
	return l, l.All || d.rev > from
}

func (d *Discovery) handle(node string, resp http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	d.calls[node]++
	d.mu.Unlock()
	d.w.changes.notify()
	if req.Method != http.MethodGet || req.URL.Path != "/v1/servers" {
		d.w.addViolation("%s sent discovery an unexpected request %s %s", node, req.Method, req.URL)
		http.Error(resp, "unknown path", http.StatusNotFound)
		return
	}
	q := req.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	hold, _ := strconv.ParseInt(q.Get("hold_ms"), 10, 64)
	holdTimer := time.NewTimer(time.Duration(min(max(hold, 0), 60000)) * time.Millisecond)
	defer holdTimer.Stop()
	for holding := hold > 0; ; {
		next := d.w.changes.changed()
		d.mu.Lock()
		fault := d.fault
		d.mu.Unlock()
		switch fault {
		case DiscoveryFailing:
			http.Error(resp, "down", http.StatusServiceUnavailable)
			return
		case DiscoveryEndless:
			d.writeEndless(resp, req)
			return
		}
		if l, changed := d.list(node, from); fault != DiscoveryUnresponsive && (changed || !holding) {
			if fault == DiscoverySlow && !waitChange(nil, req.Context().Done(), slowResponseDelay) {
				return
			}
			d.writeList(node, l, resp)
			return
		}
		select {
		case <-next:
		case <-holdTimer.C:
			holding = false
		case <-req.Context().Done():
			return
		}
	}
}

// writeList answers a call with a list.
func (d *Discovery) writeList(node string, l hostList, resp http.ResponseWriter) {
	body, err := json.Marshal(l)
	if err != nil {
		d.w.t.Errorf("discovery: %v", err)
	}
	resp.Header().Set("Content-Type", "application/json")
	resp.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = resp.Write(body)
	at := d.w.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range l.Targets {
		d.sent = append(d.sent, SentState{Node: node, Host: t.UID, State: t.State, At: at})
	}
}

// writeEndless begins an answer and continues it until the caller gives up or the fault ends.
func (d *Discovery) writeEndless(resp http.ResponseWriter, req *http.Request) {
	resp.Header().Set("Content-Type", "application/json")
	for part := `{"rev":1,"all":true,"targets":[`; ; part = " " {
		if _, err := resp.Write([]byte(part)); err != nil || http.NewResponseController(resp).Flush() != nil {
			return
		}
		if !waitChange(nil, req.Context().Done(), endlessPartInterval) {
			return
		}
		d.mu.Lock()
		endless := d.fault == DiscoveryEndless
		d.mu.Unlock()
		if !endless {
			panic(http.ErrAbortHandler) // aborts the answer, which was never complete
		}
	}
}
