package processes

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind uint8

// The kinds. Faults of a process end when it is started again or continued, faults of a link when the link is healed.
const (
	CutLink        FaultKind = iota // Node to Peer, in one Direction: bytes dropped
	StallLink                       // Node to Peer, both directions: bytes held back
	RefuseLink                      // Node to Peer: new connections refused, open ones reset
	DelayLink                       // Node to Peer, both directions, by Amount milliseconds
	ThrottleLink                    // Node to Peer, both directions, to Amount bytes per second
	ResetLink                       // Node to Peer, after Amount more bytes in Direction
	Isolate                         // Node from all other nodes: bytes dropped
	CutDiscovery                    // Node from discovery
	DiscoveryDown                   // for all nodes
	Kill                            // Node; it restarts with its store
	KillStaleStore                  // Node; it restarts with its store as it was when the fault sequence began
	KillEmptyStore                  // Node; it restarts with an empty store
	KillTornStore                   // Node; it restarts with a store whose files are truncated at Amount bytes
	Pause                           // Node
	Upgrade                         // Node: a newer process takes over from the running one, which is then asked to stop
	numFaultKinds
	CustomFault    FaultKind = iota // calls Begin and End; RandomFaults generates neither this nor the kinds below
	AbortedUpgrade                  // Node: a newer process is started, and killed before the running one is asked to stop
	MoveReplica                     // the site file moves Node's replica to Peer, at all nodes of the site; at the end it moves back
)

var faultNames = [...]string{"cut link", "silence link", "refuse link", "delay link", "throttle link", "reset link", "isolate",
	"cut discovery", "discovery down", "kill", "kill, older store", "kill, empty store", "kill, torn store", "pause", "upgrade", "", "other",
	"upgrade given up", "reseat"}

func (k FaultKind) String() string { return faultNames[k] }

// Fault is one fault of a sequence.
type Fault struct {
	Kind         FaultKind
	At, Duration time.Duration // At is relative to the start of the sequence
	Node, Peer   string
	Direction    Direction
	Amount       int
	// BlockClients, for KillStaleStore: if the copy of the store lacks anything, clients cannot reach Node from its restart
	// until an Operator has replaced the store by an empty one or, if no promise is missing, until the node has a send lease
	// again.
	BlockClients bool

	Begin, End func() // for CustomFault
}

func (f Fault) String() string {
	return fmt.Sprintf("%s for %s: %s %s %s %s %d", f.At, f.Duration, f.Kind, f.Node, f.Peer, f.Direction, f.Amount)
}

// RandomFaults returns a sequence of faults for a duration, the same for the same seed, in the order of their starts. At
// most one process is killed, paused or upgraded at a time; faults of one link or process do not overlap; at most one store is
// emptied, torn or replaced by an older copy; and all faults end within the duration.
func RandomFaults(seed uint64, nodes []string, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0x6c696368656e))
	busyUntil := make(map[string]time.Duration) // end of the current fault, by the part that it affects
	var out []Fault
	storeFaults := 0
	between := func(shortest, longest time.Duration) time.Duration {
		return (shortest + time.Duration(rng.Int64N(int64(longest-shortest)))).Truncate(time.Millisecond)
	}
	for start := between(0, duration/20+2); ; start += between(duration/200+1, duration/20+2) {
		f := Fault{Kind: FaultKind(rng.IntN(int(numFaultKinds))), At: start.Truncate(time.Millisecond),
			Duration: between(duration/40+1, duration/6+2)}
		nodeIndex := rng.IntN(len(nodes))
		f.Node = nodes[nodeIndex]
		peer := nodes[(nodeIndex+1+rng.IntN(max(1, len(nodes)-1)))%len(nodes)]
		f.Direction, f.Amount = Direction(rng.IntN(2)), rng.IntN(4096)
		if start >= duration {
			return out
		}
		if f.At+f.Duration > duration {
			continue
		}
		var keys []string
		switch f.Kind {
		case CutLink, StallLink, RefuseLink, DelayLink, ThrottleLink, ResetLink:
			f.Peer = peer
			keys = []string{f.Node + ">" + f.Peer}
			if f.Kind == DelayLink {
				f.Amount = 5 + f.Amount%400
			} else if f.Kind == ThrottleLink {
				f.Amount = 200 + f.Amount
			}
		case Isolate:
			for _, n := range nodes {
				if n != f.Node {
					keys = append(keys, f.Node+">"+n, n+">"+f.Node)
				}
			}
		case CutDiscovery:
			keys = []string{f.Node + ">discovery", "discovery"}
		case DiscoveryDown:
			keys = []string{"discovery"}
			f.Node = ""
		default:
			keys = []string{"process"}
		}
		lossOfStore := losesStore(f.Kind)
		needsPeer := f.Kind < Isolate && len(nodes) < 2
		if needsPeer || lossOfStore && storeFaults > 0 || slices.ContainsFunc(keys, func(k string) bool { return busyUntil[k] > f.At }) {
			continue
		}
		if lossOfStore {
			storeFaults++
		}
		for _, k := range keys {
			busyUntil[k] = f.At + f.Duration + time.Millisecond
		}
		out = append(out, f)
	}
}

// RunFaults begins and ends each fault at its time, then heals the world. It returns once the last fault has ended.
func (w *World) RunFaults(faults []Fault) {
	w.t.Helper()
	type event struct {
		at  time.Duration
		run func()
	}
	var events []event
	staleStores := make(map[string]string)
	for _, f := range faults {
		if f.Kind == KillStaleStore && staleStores[f.Node] == "" {
			w.logStates("is copied", f.Node)
			staleStores[f.Node] = w.Node(f.Node).CopyStore()
		}
		events = append(events, event{f.At, func() {
			w.t.Logf("%s: %s", w.Now().Round(time.Millisecond), f)
			w.beginFault(f)
		}}, event{f.At + f.Duration, func() { w.endFault(f, staleStores[f.Node]) }})
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	startedAt := time.Now()
	for _, e := range events {
		if !w.sleep(max(0, e.at-time.Since(startedAt))) {
			return
		}
		e.run()
	}
	w.Heal()
	w.upgrades.Wait()
}

// beginFault begins a fault.
func (w *World) beginFault(f Fault) {
	switch f.Kind {
	case CutLink:
		w.Link(f.Node, f.Peer).Cut(f.Direction)
	case StallLink:
		w.Link(f.Node, f.Peer).Stall()
	case RefuseLink:
		w.Link(f.Node, f.Peer).Refuse()
		w.Link(f.Node, f.Peer).Reset()
	case DelayLink:
		for _, direction := range []Direction{ToTarget, ToCaller} {
			w.Link(f.Node, f.Peer).Delay(direction, time.Duration(f.Amount)*time.Millisecond)
		}
	case ThrottleLink:
		for _, direction := range []Direction{ToTarget, ToCaller} {
			w.Link(f.Node, f.Peer).Throttle(direction, f.Amount)
		}
	case ResetLink:
		w.Link(f.Node, f.Peer).ResetAfter(f.Direction, f.Amount)
	case Isolate:
		w.Partition(false, f.Node)
	case CutDiscovery:
		w.DiscoveryLink(f.Node).Cut()
	case DiscoveryDown:
		w.Discovery.SetDown(true)
	case Kill, KillStaleStore, KillEmptyStore, KillTornStore:
		if f.Kind == KillStaleStore {
			w.logStates("is replaced by the copy after a kill", f.Node)
		}
		w.withProcess(f.Node, true, w.Node(f.Node).Kill)
	case Pause:
		w.withProcess(f.Node, true, w.Node(f.Node).Pause)
	case CustomFault:
		f.Begin()
	case Upgrade, AbortedUpgrade:
		w.withProcess(f.Node, true, w.Node(f.Node).beginUpgrade)
	case MoveReplica:
		w.moveReplica(f.Node, f.Peer)
	}
}

// logStates logs the state that each node of a site reports when something happens to the store of one of them.
func (w *World) logStates(what, node string) {
	for _, n := range w.siteOf[node].Nodes {
		state, _, _ := strings.Cut(w.Node(n).status(), "\n")
		w.t.Logf("%s: the store of %s %s: %s", w.Now().Round(time.Millisecond), node, what, state)
	}
}

// moveReplica exchanges two nodes of a site in the site files, and with that moves the replica of one to the other, and
// makes all running nodes of the site reload the files. A node that is down reads its file when it starts.
func (w *World) moveReplica(from, to string) {
	w.processMu.Lock()
	defer w.processMu.Unlock()
	s := w.siteOf[from]
	changed := slices.Clone(s.Nodes) // other goroutines may iterate over the previous slice
	i, j := slices.Index(changed, from), slices.Index(changed, to)
	changed[i], changed[j] = to, from
	s.Nodes = changed
	delete(w.newReplica, from)
	w.newReplica[to] = true
	for _, n := range changed {
		w.nodes[n].Reload()
	}
}

// withProcess acts on a node's process while it holds processMu. down says whether a fault has stopped the process from
// then on.
func (w *World) withProcess(node string, down bool, action func()) {
	w.processMu.Lock()
	defer w.processMu.Unlock()
	action()
	w.faulted[node] = down
}

// beginUpgrade starts a newer process of the node if one serves.
func (n *Node) beginUpgrade() {
	if n.Runs() && n.ClientAddr() != "" {
		n.upgradedFrom = n.Upgrade()
	}
}

// completeUpgrade asks the previous process to stop once the newer one serves and is open to peers, and returns once the
// previous one has ended. If the newer one has ended, the previous one continues to serve.
func (n *Node) completeUpgrade() {
	predecessor := n.upgradedFrom
	if n.upgradedFrom = nil; predecessor == nil {
		return
	}
	n.w.waitUntil(func() bool {
		return n.isCurrent(predecessor) || len(n.linesWith("msg=serving")) > 0 && (n.w.Plan.NoSiteFile || len(n.linesWith("open to peers")) > 0)
	})
	if n.isCurrent(predecessor) {
		return
	}
	_ = predecessor.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-predecessor.exited:
	case <-n.w.done:
	}
}

// abortUpgrade kills the newer process of a pending upgrade; the previous one continues to serve.
func (n *Node) abortUpgrade() {
	if predecessor := n.upgradedFrom; predecessor != nil && !n.isCurrent(predecessor) {
		n.Kill()
	}
	n.upgradedFrom = nil
}

// waitUntil waits until cond holds or the world ends. Unlike Await it may be called on any goroutine.
func (w *World) waitUntil(cond func() bool) {
	for next := w.changes.changed(); !cond(); next = w.changes.changed() {
		select {
		case <-next:
		case <-w.done:
			return
		}
	}
}

// isCurrent reports whether a previous process is the node's current process again.
func (n *Node) isCurrent(p *Predecessor) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current == p.process
}

// linesWith returns the lines of the current process's log that contain a text.
func (n *Node) linesWith(text string) []string {
	return slices.DeleteFunc(n.Log(), func(line string) bool { return !strings.Contains(line, text) })
}

// HasLogged reports whether a line after a mark contains a text.
func (n *Node) HasLogged(mark int, text string) bool {
	return slices.ContainsFunc(n.linesSince(mark), func(line string) bool { return strings.Contains(line, text) })
}

// endFault ends a fault.
func (w *World) endFault(f Fault, staleStore string) {
	switch f.Kind {
	case Isolate:
		for _, n := range w.nodeNames {
			if n != f.Node {
				w.Link(n, f.Node).Heal()
				w.Link(f.Node, n).Heal()
			}
		}
	case CutDiscovery:
		w.DiscoveryLink(f.Node).Heal()
	case DiscoveryDown:
		w.Discovery.SetDown(false)
	case Kill, KillStaleStore, KillEmptyStore, KillTornStore:
		store := map[FaultKind]StoreChange{Kill: KeepStore, KillStaleStore: StaleStore(staleStore), KillEmptyStore: EmptyStore,
			KillTornStore: truncateLongerFiles(int64(f.Amount))}[f.Kind]
		w.withProcess(f.Node, false, func() {
			if losesStore(f.Kind) {
				delete(w.newReplica, f.Node) // a replica that it had, now with another store
			}
			missing := missingNothing
			if f.BlockClients {
				missing = w.Node(f.Node).missingInCopy(staleStore)
			}
			if missing != missingNothing {
				w.closedToClients[f.Node] = true
				w.closedUntilLease[f.Node] = missing == missingConfirmation
				w.ClientLink(f.Node).Refuse()
				w.ClientLink(f.Node).Reset()
			}
			w.Node(f.Node).Restart(store)
		})
	case Pause:
		w.withProcess(f.Node, false, w.Node(f.Node).Continue)
	case CustomFault:
		f.End()
	case MoveReplica:
		w.moveReplica(f.Peer, f.Node)
	case AbortedUpgrade:
		w.withProcess(f.Node, false, w.Node(f.Node).abortUpgrade)
	case Upgrade:
		// Runs in the background: it takes longer than the sequence may wait.
		w.upgrades.Go(func() { w.withProcess(f.Node, false, w.Node(f.Node).completeUpgrade) })
	default:
		w.Link(f.Node, f.Peer).Heal()
	}
}

// truncateLongerFiles truncates each file of a store that is longer than this many bytes, and does nothing if none is.
func truncateLongerFiles(at int64) StoreChange {
	return func(n *Node) {
		for _, f := range n.StoreFiles() {
			if info, err := os.Stat(n.StoreDir() + "/" + f); err == nil && info.Mode().IsRegular() && info.Size() > at {
				TornStore(f, at)(n)
			}
		}
	}
}
