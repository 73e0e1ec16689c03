package processes

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenhitch/internal/site/sitepb"
)

// Plan describes a world.
type Plan struct {
	Seed         uint64 // of all random choices
	Sites        []Site
	Hosts        []HostPlan
	Settings     string                     // the settings of every node, in JSON; DefaultSettings if empty
	NodeSettings map[string]string          // by node name: settings that replace Settings
	NoSiteFile   bool                       // the nodes get no site file
	Tune         func(string, *sitepb.File) // may change a node's site file before each start; may be nil
	Env          []string                   // additional environment of each node
	Sockets      int                        // file descriptors that a node may use; 0: the program's default
}

// Site is one site of a world.
type Site struct {
	Name, Parent string
	Level        sitepb.Level
	Nodes        []string
	Replicas     int // the first Replicas nodes have a replica; 0: the first three nodes, or all if there are fewer
}

// HostPlan describes a fake backend host.
type HostPlan struct {
	ID, Zone, Kind string
	Group          int
	Capacity       float64
	Site           string // site whose nodes know the host; "": all sites
}

// Fleet returns n hosts h0, h1, ... of one zone and kind.
func Fleet(n int) []HostPlan {
	var out []HostPlan
	for i := range n {
		out = append(out, HostPlan{ID: fmt.Sprint("h", i), Zone: "z", Kind: "m", Capacity: 1})
	}
	return out
}

// DefaultSettings are the nodes' settings if a plan has none.
const DefaultSettings = `{"balancers":1,"my_zone":"z","registry_mode":"ask","round_us":5000,"weight_source":"nominal",
"permissions":{"probes":true,"max_attempts":4,"retry_after":true,"max_retry_after_us":1500000,
"connect_timeout_us":250000},"extra":{"mode":"pass","message_aim_us":[250000]},
"safety":{"ask_within_us":1000000,"cold_us":8000000,"cold_from":0.4,"overload_factor":3,"tip_after_us":1500000,
"drain_grace_us":2000000},"tariffs":{"probe":0},
"request_classes":[{"name":"chat","aim_us":300000,"deadline_us":3000000,"semantics":"read_like","streamed":true,"points":1}]}`

// World holds the nodes, hosts, links, clients and requesters of one test. Everything in it ends with the
// test.
type World struct {
	clock
	Plan      Plan
	Discovery *Discovery
	History   *History // the calls of all requesters

	t              testing.TB
	ctx            context.Context
	done           <-chan struct{}
	changes        notifier // notifies waiters of changes in any part of the world
	nodeNames      []string
	nodes          map[string]*Node
	siteOf         map[string]*Site
	hosts          []*Host
	peerLinks      map[[2]string]*Link
	clientLinks    map[string]*Link
	discoveryLinks map[string]*Link
	attempts       attempts
	upLines        sync.Map           // UP lines that hosts have sent, to the ids of their requests
	observations   policyObservations // which policies hosts observed

	sentAt sync.Map // time at which clients sent each request, by id

	processMu       sync.Mutex      // held to start and end processes while a sequence of faults runs
	faulted         map[string]bool // nodes that a fault has stopped
	closedToClients map[string]bool // nodes that clients cannot reach: see Fault.BlockClients
	// closedUntilLease holds those of closedToClients whose store is not refused: they are reopened once
	// their leader has answered them.
	closedUntilLease map[string]bool
	newReplica       map[string]bool // nodes whose replica is new by the site file: see MoveReplica

	upgrades sync.WaitGroup // upgrades that are being completed

	mu         sync.Mutex
	violations []Violation
	clients    []*Clients
}

// New builds the program, once for a test binary, and creates the nodes, which do not run yet, and everything
// around them: hosts, discovery and links.
func New(t testing.TB, p Plan) *World {
	t.Helper()
	if p.Settings == "" {
		p.Settings = DefaultSettings
	}
	// Not the context of the test, which ends before Cleanup functions run: hosts and links must outlive the
	// nodes.
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &World{clock: newClock(), Plan: p, t: t, ctx: ctx, done: ctx.Done(), nodes: make(map[string]*Node),
		siteOf: make(map[string]*Site), peerLinks: make(map[[2]string]*Link), clientLinks: make(map[string]*Link),
		discoveryLinks: make(map[string]*Link), faulted: make(map[string]bool), closedToClients: make(map[string]bool),
		closedUntilLease: make(map[string]bool),
		newReplica:       make(map[string]bool)}
	awaitTimestamps(w)
	w.History = &History{w: w}
	w.Discovery = newDiscovery(w)
	for i := range p.Sites {
		s := &p.Sites[i]
		if s.Replicas == 0 {
			s.Replicas = min(len(s.Nodes), 3)
		}
		for _, n := range s.Nodes {
			require.NotContains(t, w.siteOf, n, "node names must be unique")
			w.siteOf[n] = s
			w.nodeNames = append(w.nodeNames, n)
		}
	}
	for _, hostPlan := range p.Hosts {
		h := newHost(w, hostPlan)
		w.hosts = append(w.hosts, h)
		w.Discovery.hosts = append(w.Discovery.hosts, h)
		w.Discovery.revs[h] = 1
	}
	program := Build(t)
	for _, n := range w.nodeNames {
		w.clientLinks[n] = NewLink(t, "clients", n, "")
		w.discoveryLinks[n] = NewLink(t, n, "discovery", w.Discovery.serveNode(n))
		for _, m := range w.nodeNames {
			if m != n {
				w.peerLinks[[2]string{n, m}] = NewLink(t, n, m, "")
			}
		}
	}
	for _, n := range w.nodeNames {
		w.nodes[n] = newNode(w, n, program)
	}
	t.Cleanup(w.reportFailure) // runs before the nodes are ended
	return w
}

// visibleTo reports whether the host is known at the site of a node.
func (h *Host) visibleTo(node string) bool { return h.Site == "" || h.Site == h.w.siteOf[node].Name }

// Start starts all nodes and waits until each serves.
func (w *World) Start() {
	w.t.Helper()
	for _, n := range w.nodeNames {
		w.nodes[n].Start()
	}
	for _, n := range w.nodeNames {
		w.nodes[n].AwaitServing()
	}
}

// Names returns the names of all nodes, in the plan's order.
func (w *World) Names() []string { return slices.Clone(w.nodeNames) }

// Node returns a node by its name.
func (w *World) Node(name string) *Node {
	require.Contains(w.t, w.nodes, name)
	return w.nodes[name]
}

// Host returns a host by its ID.
func (w *World) Host(id string) *Host {
	for _, h := range w.hosts {
		if h.ID == id {
			return h
		}
	}
	require.FailNow(w.t, "no such host", id)
	return nil
}

// Hosts returns all hosts, in the plan's order.
func (w *World) Hosts() []*Host { return slices.Clone(w.hosts) }

// Link returns the link through which one node calls another.
func (w *World) Link(from, to string) *Link {
	l := w.peerLinks[[2]string{from, to}]
	require.NotNil(w.t, l, "no link from %s to %s", from, to)
	return l
}

// ClientLink returns the link through which clients reach a node.
func (w *World) ClientLink(node string) *Link { return w.clientLinks[node] }

// DiscoveryLink returns the link through which a node calls discovery.
func (w *World) DiscoveryLink(node string) *Link { return w.discoveryLinks[node] }

// Partition cuts all links, in both directions, between the nodes of one side and all others. If stall is set,
// it stalls the links instead.
func (w *World) Partition(stall bool, side ...string) {
	for _, n := range w.nodeNames {
		for _, m := range w.nodeNames {
			if n != m && slices.Contains(side, n) != slices.Contains(side, m) {
				if stall {
					w.Link(n, m).Stall()
				} else {
					w.Link(n, m).Cut()
				}
			}
		}
	}
}

// Heal restores all links except those from clients to nodes that are closed to them, lets all hosts and
// discovery answer again, and continues paused nodes.
func (w *World) Heal() {
	for _, n := range w.nodeNames {
		w.nodes[n].Continue()
		w.processMu.Lock()
		if !w.closedToClients[n] {
			w.clientLinks[n].Heal()
		}
		w.processMu.Unlock()
		w.discoveryLinks[n].Heal()
		for _, m := range w.nodeNames {
			if m != n {
				w.Link(n, m).Heal()
			}
		}
		for _, h := range w.hosts {
			h.SetUnresponsive(n, false)
		}
	}
	w.Discovery.SetDown(false)
}

// Await waits until cond holds. It checks cond whenever a part of the world has changed: a request reached a
// host, a node logged a line, a client or a requester got a reply.
func (w *World) Await(what string, cond func() bool) {
	w.t.Helper()
	w.changes.await(w.t, what, cond, nil)
}

// sleep waits for the duration or until the world ends, and reports whether the world continues.
func (w *World) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.done:
		return false
	}
}

// Until waits until cond holds or the world ends, and returns false if the world has ended. Unlike Await it
// may be called on any goroutine and does not fail the test.
func (w *World) Until(cond func() bool) bool {
	w.waitUntil(cond)
	return w.ctx.Err() == nil
}

// Done returns a channel that is closed once the world has ended.
func (w *World) Done() <-chan struct{} { return w.done }

// Violation is an observation that must not occur.
type Violation struct {
	Host string // the host concerned; "" for none
	At   time.Duration
	What string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s", v.At.Round(time.Microsecond), v.What)
}

func (w *World) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, Violation{At: w.Now(), What: fmt.Sprintf(format, args...)})
}

// Lines returns the first lines that reached hosts, in the order in which their last bytes arrived.
func (w *World) Lines() []FirstLine {
	var all []FirstLine
	for _, h := range w.hosts {
		all = append(all, h.FirstLines("")...)
	}
	slices.SortStableFunc(all, func(a, b FirstLine) int { return int(a.At - b.At) })
	return all
}

// Violations returns all violations that hosts, clients and requesters have observed so far.
func (w *World) Violations(allowed Allowance) []Violation {
	w.mu.Lock()
	out := slices.Clone(w.violations)
	clients := slices.Clone(w.clients)
	w.mu.Unlock()
	for _, c := range clients {
		out = append(out, c.Report().Violations...)
	}
	for _, h := range w.hosts {
		out = append(out, h.Violations()...)
	}
	return append(out, CheckTurns(w.History.Ops(), w.Lines(), w.Plan.Hosts, allowed)...)
}

// RequireNoViolations fails the test if there are violations.
func (w *World) RequireNoViolations(allowed Allowance) {
	w.t.Helper()
	require.Empty(w.t, w.Violations(allowed))
}
