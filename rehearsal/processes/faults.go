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

// The kinds. Those of a process end with its next start, those of a link with its healing.
const (
	CutLink       FaultKind = iota // A to B, one way: Way
	SilenceLink                    // A to B, both ways held back
	RefuseLink                     // A to B: new connections refused, open ones reset
	DelayLink                      // A to B, both ways, by N milliseconds
	ThrottleLink                   // A to B, both ways, to N bytes a second
	ResetLink                      // A to B, after N more bytes of a way
	Isolate                        // A from all other nodes, bytes swallowed
	CutDiscovery                   // A from discovery
	DiscoveryDown                  // for all
	Kill                           // A; it comes back with its store
	KillOlder                      // A; it comes back with its store as it was when the plan began
	KillEmpty                      // A; it comes back with an empty store
	KillTorn                       // A; it comes back with a store whose files are cut at N bytes
	Pause                          // A
	Upgrade                        // A: a later process is started beside it, which takes over; then the former one is asked to stop
	faultKinds
	Other          FaultKind = iota // what Begin and End do; no plan of Faults has this or what follows
	UpgradeGivenUp                  // A: a later process is started beside it, and killed before it is asked to end
	Reseat                          // A's site file gives A's seat to B, at all nodes of the site; at the end A's seat is A's again
)

var faultNames = [...]string{"cut link", "silence link", "refuse link", "delay link", "throttle link", "reset link", "isolate",
	"cut discovery", "discovery down", "kill", "kill, older store", "kill, empty store", "kill, torn store", "pause", "upgrade", "", "other",
	"upgrade given up", "reseat"}

func (k FaultKind) String() string { return faultNames[k] }

// Fault is one fault of a plan.
type Fault struct {
	Kind      FaultKind
	At, Lasts time.Duration // from the beginning of the plan
	A, B      string
	Way       Way
	N         int
	// Shut, of KillOlder: no client reaches A from then on, where the copy lacks something, until an Operator has put its store aside; where
	// it lacks no promise of A's, until its leader has answered it.
	Shut bool

	Begin, End func() // of Other
}

func (f Fault) String() string {
	return fmt.Sprintf("%s for %s: %s %s %s %s %d", f.At, f.Lasts, f.Kind, f.A, f.B, f.Way, f.N)
}

// Faults is a plan of faults for so long, the same for the same seed, in the order of their beginnings. At most one process is
// killed or paused at once; faults of one link or process do not overlap; at most one store of all is lost, torn or older; and
// all are over by the end.
func Faults(seed uint64, nodes []string, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0x6c696368656e))
	busy := make(map[string]time.Duration) // until when, by what is at fault
	var out []Fault
	stores := 0
	between := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(rng.Int64N(int64(most-least)))).Truncate(time.Millisecond)
	}
	for at := between(0, duration/20+2); ; at += between(duration/200+1, duration/20+2) {
		f := Fault{Kind: FaultKind(rng.IntN(int(faultKinds))), At: at.Truncate(time.Millisecond),
			Lasts: between(duration/40+1, duration/6+2)}
		a := rng.IntN(len(nodes))
		f.A = nodes[a]
		b := nodes[(a+1+rng.IntN(max(1, len(nodes)-1)))%len(nodes)]
		f.Way, f.N = Way(rng.IntN(2)), rng.IntN(4096)
		if at >= duration {
			return out
		}
		if f.At+f.Lasts > duration {
			continue
		}
		var keys []string
		switch f.Kind {
		case CutLink, SilenceLink, RefuseLink, DelayLink, ThrottleLink, ResetLink:
			f.B = b
			keys = []string{f.A + ">" + f.B}
			if f.Kind == DelayLink {
				f.N = 5 + f.N%400
			} else if f.Kind == ThrottleLink {
				f.N = 200 + f.N
			}
		case Isolate:
			for _, n := range nodes {
				if n != f.A {
					keys = append(keys, f.A+">"+n, n+">"+f.A)
				}
			}
		case CutDiscovery:
			keys = []string{f.A + ">discovery", "discovery"}
		case DiscoveryDown:
			keys = []string{"discovery"}
			f.A = ""
		default:
			keys = []string{"process"}
		}
		loses := losesStore(f.Kind)
		linked := f.Kind < Isolate && len(nodes) < 2
		if linked || loses && stores > 0 || slices.ContainsFunc(keys, func(k string) bool { return busy[k] > f.At }) {
			continue
		}
		if loses {
			stores++
		}
		for _, k := range keys {
			busy[k] = f.At + f.Lasts + time.Millisecond
		}
		out = append(out, f)
	}
}

// Play does the faults of a plan, each at its time, and heals the world. It returns once the last one is over.
func (w *World) Play(faults []Fault) {
	w.t.Helper()
	type event struct {
		at time.Duration
		do func()
	}
	var events []event
	older := make(map[string]string)
	for _, f := range faults {
		if f.Kind == KillOlder && older[f.A] == "" {
			w.logStanding("is copied", f.A)
			older[f.A] = w.Node(f.A).CopyStore()
		}
		events = append(events, event{f.At, func() {
			w.t.Logf("%s: %s", w.Now().Round(time.Millisecond), f)
			w.inflict(f)
		}}, event{f.At + f.Lasts, func() { w.relieve(f, older[f.A]) }})
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	begun := time.Now()
	for _, e := range events {
		if !w.sleep(max(0, e.at-time.Since(begun))) {
			return
		}
		e.do()
	}
	w.Heal()
	w.upgrades.Wait()
}

// inflict begins a fault.
func (w *World) inflict(f Fault) {
	switch f.Kind {
	case CutLink:
		w.Link(f.A, f.B).Cut(f.Way)
	case SilenceLink:
		w.Link(f.A, f.B).Silence()
	case RefuseLink:
		w.Link(f.A, f.B).Refuse()
		w.Link(f.A, f.B).Reset()
	case DelayLink:
		for _, way := range []Way{Out, Back} {
			w.Link(f.A, f.B).Delay(way, time.Duration(f.N)*time.Millisecond)
		}
	case ThrottleLink:
		for _, way := range []Way{Out, Back} {
			w.Link(f.A, f.B).Throttle(way, f.N)
		}
	case ResetLink:
		w.Link(f.A, f.B).ResetAfter(f.Way, f.N)
	case Isolate:
		w.Partition(false, f.A)
	case CutDiscovery:
		w.DiscoveryLink(f.A).Cut()
	case DiscoveryDown:
		w.Discovery.Down(true)
	case Kill, KillOlder, KillEmpty, KillTorn:
		if f.Kind == KillOlder {
			w.logStanding("is killed, and comes back with the copy", f.A)
		}
		w.hand(f.A, true, w.Node(f.A).Kill)
	case Pause:
		w.hand(f.A, true, w.Node(f.A).Pause)
	case Other:
		f.Begin()
	case Upgrade, UpgradeGivenUp:
		w.hand(f.A, true, w.Node(f.A).tryUpgrade)
	case Reseat:
		w.reseat(f.A, f.B)
	}
}

// logStanding logs how far a node is when something happens to its store, as it and the others of its site tell.
func (w *World) logStanding(what, node string) {
	for _, n := range w.siteOf[node].Nodes {
		own, _, _ := strings.Cut(w.Node(n).status(), "\n")
		w.t.Logf("%s: the store of %s %s: %s", w.Now().Round(time.Millisecond), node, what, own)
	}
}

// reseat has two nodes of a site change their places in its files, and so a seat, and has all nodes of it read them that can. A node
// that is down reads the file at its start.
func (w *World) reseat(a, b string) {
	w.processMu.Lock()
	defer w.processMu.Unlock()
	s := w.siteOf[a]
	changed := slices.Clone(s.Nodes) // others go through the former ones
	i, j := slices.Index(changed, a), slices.Index(changed, b)
	changed[i], changed[j] = b, a
	s.Nodes = changed
	delete(w.newReplica, a)
	w.newReplica[b] = true
	for _, n := range changed {
		w.nodes[n].Reload()
	}
}

// hand does something to a node's process, one at a time. down says whether the process is at a fault's mercy from then on.
func (w *World) hand(node string, down bool, do func()) {
	w.processMu.Lock()
	defer w.processMu.Unlock()
	do()
	w.faulted[node] = down
}

// tryUpgrade starts a later process beside one that serves.
func (n *Node) tryUpgrade() {
	if n.Runs() && n.Listen() != "" {
		n.later = n.Upgrade()
	}
}

// endUpgrade has the former process leave once the later one takes part, and is done when it has. Should the later one have ended,
// the former serves on.
func (n *Node) endUpgrade() {
	f := n.later
	if n.later = nil; f == nil {
		return
	}
	n.w.until(func() bool {
		return n.is(f) || len(n.logged("msg=serving")) > 0 && (n.w.Plan.NoSiteFile || len(n.logged("open to peers")) > 0)
	})
	if n.is(f) {
		return
	}
	_ = f.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-f.exited:
	case <-n.w.done:
	}
}

// giveUp kills the later process of an upgrade that is under way; the former serves on.
func (n *Node) giveUp() {
	if f := n.later; f != nil && !n.is(f) {
		n.Kill()
	}
	n.later = nil
}

// until waits until cond holds or the world ends; unlike Await on any goroutine.
func (w *World) until(cond func() bool) {
	for next := w.changes.changed(); !cond(); next = w.changes.changed() {
		select {
		case <-next:
		case <-w.done:
			return
		}
	}
}

// is says whether a former process is the node's again.
func (n *Node) is(f *Former) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.present == f.process
}

// logged are the lines of the present process's log that hold a text.
func (n *Node) logged(text string) []string {
	return slices.DeleteFunc(n.Log(), func(line string) bool { return !strings.Contains(line, text) })
}

// HasLogged says whether a line after a mark holds a text.
func (n *Node) HasLogged(mark int, text string) bool {
	return slices.ContainsFunc(n.linesSince(mark), func(line string) bool { return strings.Contains(line, text) })
}

// relieve ends a fault.
func (w *World) relieve(f Fault, older string) {
	switch f.Kind {
	case Isolate:
		for _, n := range w.nodeNames {
			if n != f.A {
				w.Link(n, f.A).Heal()
				w.Link(f.A, n).Heal()
			}
		}
	case CutDiscovery:
		w.DiscoveryLink(f.A).Heal()
	case DiscoveryDown:
		w.Discovery.Down(false)
	case Kill, KillOlder, KillEmpty, KillTorn:
		store := map[FaultKind]Store{Kill: Kept, KillOlder: Older(older), KillEmpty: Empty, KillTorn: tornWhereLonger(int64(f.N))}[f.Kind]
		w.hand(f.A, false, func() {
			if losesStore(f.Kind) {
				delete(w.newReplica, f.A) // one that it had, with another store
			}
			lacks := lacksNothing
			if f.Shut {
				lacks = w.Node(f.A).lacks(older)
			}
			if lacks != lacksNothing {
				w.closedToClients[f.A] = true
				w.closedUntilLease[f.A] = lacks == lacksWord
				w.ClientLink(f.A).Refuse()
				w.ClientLink(f.A).Reset()
			}
			w.Node(f.A).Restart(store)
		})
	case Pause:
		w.hand(f.A, false, w.Node(f.A).Continue)
	case Other:
		f.End()
	case Reseat:
		w.reseat(f.B, f.A)
	case UpgradeGivenUp:
		w.hand(f.A, false, w.Node(f.A).giveUp)
	case Upgrade:
		w.upgrades.Go(func() { w.hand(f.A, false, w.Node(f.A).endUpgrade) }) // it takes longer than a plan may wait
	default:
		w.Link(f.A, f.B).Heal()
	}
}

// tornWhereLonger cuts each file of a store that is longer, and does nothing where none is.
func tornWhereLonger(at int64) Store {
	return func(n *Node) {
		for _, f := range n.Files() {
			if info, err := os.Stat(n.StoreDir() + "/" + f); err == nil && info.Mode().IsRegular() && info.Size() > at {
				Torn(f, at)(n)
			}
		}
	}
}
