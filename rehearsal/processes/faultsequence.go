package processes

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lichenhitch/internal/peer/peerpb"
)

// This file holds the parts of a fault sequence other than the random faults: an operator, a policy that
// breaks the links of a node, writers, readers that check what was written, and the faults of stores and
// replicas.

// Operator follows the nodes' logs. It does what docs/operate and the log lines themselves advise after the
// loss of a store, and nothing else.
type Operator struct {
	w          *World
	requesters map[string]*Requester // by site
	marks      map[string]int        // for each process whose replica is to be added: the length of the other nodes' logs at that time
	mu         sync.Mutex            // held during a round
	Actions    []string
}

// NewOperator returns an operator that has done nothing yet.
func (w *World) NewOperator() *Operator {
	o := &Operator{w: w, requesters: map[string]*Requester{}, marks: map[string]int{}}
	for _, s := range w.Plan.Sites {
		o.requesters[s.Name] = w.Requester("operator of " + s.Name)
		o.requesters[s.Name].Nodes = s.Nodes
	}
	return o
}

// replaceStoreTexts are the log texts after which a node is to be stopped, its store moved away, and the node
// started with an empty one.
var replaceStoreTexts = []string{"is damaged", "control has stopped, and nothing is sent",
	"this site's writes are older than what it told before",
	"stop it, put its store aside and start it with an empty one"}

// Round checks each node once, except those that a fault has stopped.
func (o *Operator) Round() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.w.nodeNames {
		o.w.processMu.Lock()
		mustAdd := !o.w.faulted[n] && o.check(o.w.nodes[n])
		o.w.processMu.Unlock()
		if mustAdd {
			o.addReplica(n)
		}
	}
}

// check checks a node that no fault has stopped, and reports whether the group must add its replica.
func (o *Operator) check(n *Node) bool {
	for _, text := range replaceStoreTexts {
		if lines := n.linesWith(text); len(lines) > 0 {
			o.Actions = append(o.Actions, fmt.Sprintf("%s got an empty store because of: %s", n.Name, text))
			n.Restart(EmptyStore)
			delete(o.w.newReplica, n.Name)
			o.reopen(n)
			return false
		}
	}
	if o.w.closedUntilLease[n.Name] && n.hasSendLease() {
		o.reopen(n)
	}
	if !n.Runs() {
		o.w.addViolation("the process of %s has ended unexpectedly", n.Name)
		n.Start()
		return false
	}
	// A replica that is new by the site file needs no operator, as its log line says.
	return len(n.linesWith("has to take it in")) > 0 && !o.w.newReplica[n.Name]
}

// reopen lets clients connect to a node again.
func (o *Operator) reopen(n *Node) {
	if o.w.closedToClients[n.Name] {
		delete(o.w.closedToClients, n.Name)
		delete(o.w.closedUntilLease, n.Name)
		o.w.ClientLink(n.Name).Heal()
	}
}

// addReplica makes the group add the new replica of a node, unless the group has added it since the node's
// current process started.
func (o *Operator) addReplica(name string) {
	o.w.processMu.Lock()
	site := *o.w.siteOf[name]
	o.w.processMu.Unlock()
	for _, m := range site.Nodes {
		if m == name {
			continue
		}
		n := o.w.nodes[m]
		key := fmt.Sprint(name, " ", o.w.nodes[name].currentLogStart(), " ", m) // one mark for each of its processes
		if _, seen := o.marks[key]; !seen {
			o.marks[key] = n.Mark()
		}
		for _, line := range n.linesSince(o.marks[key]) {
			if strings.Contains(line, "a seat is taken in") && field(line, "seat") == name {
				return
			}
		}
	}
	requester := o.requesters[site.Name]
	contact := requester.randomNode()
	if contact == "" {
		return
	}
	if r, err := requester.Turns(contact); err == nil && r.Leader != "" && r.Leader != name {
		if requester.TakeIn(r.Leader, name, "its store was put aside") == nil {
			if action := fmt.Sprint(name, " was added, through ", r.Leader); !slices.Contains(o.Actions, action) {
				o.Actions = append(o.Actions, action)
			}
		}
	}
}

// linesSince returns the lines of all of a node's logs from a mark on; see Mark.
func (n *Node) linesSince(mark int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.lines[min(mark, len(n.lines)):])
}

// LinkBreaker has the effect of a policy that breaks the links of a node: a node at which the policy is
// observed has no link to any other node until another policy is observed at it.
type LinkBreaker struct {
	w             *World
	LatencyTarget int

	mu          sync.Mutex
	partitioned []string        // nodes that a fault cuts off from the others meanwhile
	broken      map[string]bool // nodes at which the policy is observed
	cut         map[[2]string]bool
	BreakCount  int
}

// NewLinkBreaker returns a LinkBreaker for the policy with a latency target; 0 for none.
func (w *World) NewLinkBreaker(target int) *LinkBreaker {
	return &LinkBreaker{w: w, LatencyTarget: target, broken: map[string]bool{}, cut: map[[2]string]bool{}}
}

// Update applies the latest observations of the hosts.
func (b *LinkBreaker) Update() {
	if b.LatencyTarget == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.w.nodeNames {
		observed := b.w.Observations(n, 0)
		if len(observed) < minConsecutive {
			continue
		}
		applies := func(s PolicyObservation) bool { return s.LatencyTarget == b.LatencyTarget }
		latest := observed[len(observed)-minConsecutive:]
		switch {
		case !slices.ContainsFunc(latest, func(s PolicyObservation) bool { return !applies(s) }):
			if !b.broken[n] {
				b.BreakCount++
			}
			b.broken[n] = true
		case !slices.ContainsFunc(latest, applies):
			delete(b.broken, n)
		}
	}
	b.apply()
}

// Partition cuts a group of nodes off from the others; without nodes it undoes that.
func (b *LinkBreaker) Partition(side ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.partitioned = side
	b.apply()
}

// apply cuts and heals the links whose state has changed. b.mu must be held.
func (b *LinkBreaker) apply() {
	for _, n := range b.w.nodeNames {
		for _, m := range b.w.nodeNames {
			pair := [2]string{n, m}
			shouldCut := n != m && (b.broken[n] || b.broken[m] || slices.Contains(b.partitioned, n) != slices.Contains(b.partitioned, m))
			switch {
			case shouldCut && !b.cut[pair]:
				b.w.Link(n, m).Cut()
			case !shouldCut && b.cut[pair]:
				b.w.Link(n, m).Heal()
			}
			b.cut[pair] = shouldCut
		}
	}
}

// ChainWriter writes a causal chain, one write after the other: a step and, once the step is accepted, its
// confirmation.
type ChainWriter struct {
	w         *World
	Name      string
	requester *Requester
	step      int

	mu       sync.Mutex
	accepted []string // IDs of the accepted writes
	lastStep int      // the number of the last step that was accepted
}

// NewChainWriter returns a ChainWriter that writes at the nodes of a site.
func (w *World) NewChainWriter(site Site) *ChainWriter {
	requester := w.Requester("writer of " + site.Name)
	requester.Nodes = site.Nodes
	return &ChainWriter{w: w, Name: site.Name, requester: requester}
}

func stepValue(step int) string { return fmt.Sprintf("done %08d", step) }

func stepOf(value string) int {
	n, _ := strconv.Atoi(strings.TrimLeft(strings.TrimPrefix(value, "done "), "0"))
	return n
}

// Write writes the next step and its confirmation. A write without a reply is not repeated, because it may
// have been accepted.
func (c *ChainWriter) Write() {
	c.step++
	for _, prefix := range []string{"step/", "stands/"} {
		node, r := c.requester.randomNode(), &peerpb.WriteReply{}
		if node == "" || c.requester.call(Op{Node: node, Kind: "Write"}, map[string]any{"kind": "work", "thing": prefix + c.Name,
			"value": stepValue(c.step), "by": c.requester.Name}, r, nil) != nil {
			return
		}
		c.mu.Lock()
		c.accepted = append(c.accepted, r.Id)
		if prefix == "step/" {
			c.lastStep = c.step
		}
		c.mu.Unlock()
	}
}

// Accepted returns the writes that were accepted so far, and the number of the last step among them.
func (c *ChainWriter) Accepted() (writes []string, last int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.accepted), c.lastStep
}

// ChainReader reads what a ChainWriter has written from the applied state of one replica. As long as one
// process runs, no number may decrease, and no step may be missing whose confirmation is there.
type ChainReader struct {
	w               *World
	chain           *ChainWriter
	requester       *Requester
	node            string
	logStart        int // where the log of the process begins
	step, confirmed int
	Reads           int
}

// NewChainReader returns a ChainReader for a node.
func (w *World) NewChainReader(c *ChainWriter, node string) *ChainReader {
	return &ChainReader{w: w, chain: c, requester: w.Requester("reader at " + node), node: node}
}

// Read reads and checks the two values once.
func (r *ChainReader) Read() {
	n := r.w.nodes[r.node]
	logStart := n.currentLogStart()
	confirmed, step := r.readStep("stands/"), r.readStep("step/")
	if confirmed < 0 || step < 0 || n.currentLogStart() != logStart {
		return
	}
	r.Reads++
	if logStart != r.logStart {
		r.logStart, r.step, r.confirmed = logStart, 0, 0
	}
	if step < r.step || confirmed < r.confirmed || step < confirmed {
		r.w.addViolation("%s reports step %d with step %d confirmed of %s, after steps %d and %d",
			r.node, step, confirmed, r.chain.Name, r.step, r.confirmed)
	}
	r.step, r.confirmed = max(step, r.step), max(confirmed, r.confirmed)
}

// readStep reads a number, or returns -1 without a reply. The request is marked as forwarded, because a
// replica that cannot answer from its own state would otherwise ask the leader, and a later answer from its
// own state may be behind the leader's.
func (r *ChainReader) readStep(prefix string) int {
	out := &peerpb.ReadReply{}
	if r.requester.call(Op{Node: r.node, Kind: "Read"}, map[string]any{"kind": "work", "thing": prefix + r.chain.Name,
		"forwarded": true}, out, nil) != nil {
		return -1
	}
	if !out.Found {
		return 0
	}
	return stepOf(out.Value)
}

// currentLogStart returns where the log of the current process begins.
func (n *Node) currentLogStart() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logStart
}

// storeFaults replaces the store faults of a sequence by its own: one of one replica of one site or, with each
// third seed, one at each of both sites, in different parts of the sequence. It leaves out what a group cannot
// recover from unless an operator confirms a store, which the Operator of these tests does not do: a
// restarted replica waits for the confirmation of the others, so that of three replicas none may restart
// while the store of another one is lost and that replica has not been added yet. Restarts of the other
// replicas of that site therefore become pauses, earlier ones too, because it is not known how long a replica
// waits. A store must not be replaced by a stale copy (docs/design/affairs.md): at a node without a replica
// nothing corrects that, and a replica applies its old exclusion set until another one refuses it. So clients
// do not reach a node with a stale copy.
func storeFaults(faults []Fault, seed uint64, sites []Site, duration time.Duration) (out []Fault) {
	for _, f := range faults {
		if losesStore(f.Kind) {
			f.Kind = Kill
		}
		out = append(out, f)
	}
	kinds := []FaultKind{KillStaleStore, KillTornStore, KillEmptyStore}
	share := duration / time.Duration(len(sites))
	for i := range sites {
		s := sites[(i+int(seed))%len(sites)]
		if i == 0 && seed%3 != 0 {
			continue
		}
		voters := s.Nodes[:s.Replicas]
		f := Fault{Kind: kinds[(int(seed)+i)%len(kinds)], Node: voters[(int(seed)/len(kinds)+i)%len(voters)], Amount: 3000,
			At: share*time.Duration(i) + share/10, Duration: share / 8}
		f.BlockClients = f.Kind == KillStaleStore
		out = slices.DeleteFunc(out, func(o Fault) bool {
			return o.Kind >= Kill && o.At < f.At+f.Duration && f.At < o.At+o.Duration
		})
		for j, o := range out {
			if (o.Kind == Kill || o.Kind == Upgrade) && o.Node != f.Node && slices.Contains(voters, o.Node) {
				out[j].Kind = Pause
			}
		}
		out = append(out, f)
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}

// replicaChanges adds faults that change the replicas to a sequence: every second upgrade is aborted,
// and at each site a replica moves for a while to the node without one. It is not the replica of a node that
// loses its store: no other node has recorded the state of the store of a node without a replica, so that a
// stale one is not refused (docs/design/affairs.md). Where a store is lost at a site, the replicas of that
// site change before or after that.
func replicaChanges(faults []Fault, seed uint64, sites []Site, duration time.Duration) (out []Fault) {
	upgrades := 0
	for _, f := range faults {
		if f.Kind == Upgrade {
			if upgrades++; upgrades%2 == 0 {
				f.Kind = AbortedUpgrade
			}
		}
		out = append(out, f)
	}
	for i, s := range sites {
		at, storeLost := duration/20, ""
		for _, f := range out {
			if losesStore(f.Kind) && slices.Contains(s.Nodes, f.Node) {
				storeLost = f.Node
				if f.At < duration/2 {
					at = duration / 2
				}
			}
		}
		candidates := slices.DeleteFunc(slices.Clone(s.Nodes[:s.Replicas]), func(n string) bool { return n == storeLost })
		out = append(out, Fault{Kind: MoveReplica, Node: candidates[(int(seed)+i)%len(candidates)], Peer: s.Nodes[len(s.Nodes)-1],
			At: at, Duration: duration * 3 / 10})
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}

// losesStore reports whether a node comes back with less than its store had.
func losesStore(k FaultKind) bool {
	return k == KillStaleStore || k == KillEmptyStore || k == KillTornStore
}

// withoutLinkFaultsDuring leaves out the faults whose end would heal the cut between the sites while it
// lasts.
func withoutLinkFaultsDuring(faults []Fault, cut span, siteOf map[string]*Site) []Fault {
	return slices.DeleteFunc(faults, func(f Fault) bool {
		crosses := f.Kind == Isolate || f.Kind < Isolate && siteOf[f.Node] != siteOf[f.Peer]
		return crosses && f.At < cut.to && cut.from < f.At+f.Duration
	})
}
