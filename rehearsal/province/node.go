package province

import (
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/consensus"
	"lichenhitch/internal/control"
	"lichenhitch/internal/site"
)

// node is one process with its store. It is its Core's control.Env: here and in network.go.
type node struct {
	w       *World
	site    *place
	file    *site.Site
	name    string
	rate    float64 // of its clock
	core    *control.Core
	life    uint64
	boot    uint64
	run     uint64
	store   consensus.StoredState
	saved   sendlease.Saved
	kept    control.PolicyState
	goes    control.Policy // that its loop goes by
	up      bool
	paused  bool
	late    []func() // what came while it was stopped
	cut     map[string]bool
	taken   sendlease.Restrictions // by its loop
	led     bool
	ledAt   time.Duration // since when
	number  int           // among those of its site
	treated treated
	asked   time.Duration // when the newest question was asked whose answer its loop goes by
	told    []string      // the plain way: hosts that it was told to leave alone
	knows   bool          // the plain way: it was told
	logged  []int         // bytes of each entry that came to its store
}

func (w *World) add(p *place, name string, file *site.Site) *node {
	n := &node{w: w, site: p, file: file, name: name, number: len(p.nodes), cut: map[string]bool{}, life: w.rng.Uint64() | 1}
	p.nodes = append(p.nodes, n)
	w.nodes = append(w.nodes, n)
	w.byName[name] = n
	return n
}

// clock is the node's own time.
func (n *node) clock() time.Duration { return base + time.Duration(float64(n.w.now)*n.rate) }

// start starts a process of the node.
func (w *World) start(n *node) {
	n.boot++
	n.run = w.rng.Uint64()
	n.up, n.paused, n.late, n.led, n.asked = true, false, nil, false, 0
	n.taken, n.goes = sendlease.Restrictions{AllAfterExpiry: true}, control.Policy{}
	n.saved.Incarnation = n.life
	if w.Plain {
		n.repeat(0, n.listen)
		n.repeat(w.any(60*time.Millisecond), n.placing)
		return
	}
	core, err := control.New(n.clock(), control.Options{Site: n.file, StoreIncarnation: n.life, OpenCount: n.boot, RunID: n.run, StoreVerified: w.Witness,
		StoredState: n.store, SavedLease: n.saved, KeptPolicies: n.kept, CheckPolicy: func(control.Policy) error { return nil }}, n)
	if err != nil {
		w.broken(n.name + " does not start: " + err.Error())
		n.up = false
		return
	}
	n.core = core
	n.repeat(w.any(n.file.Tick), func() time.Duration {
		n.core.Tick(n.clock())
		n.watch()
		return time.Duration(float64(n.file.Tick) / n.rate)
	})
	n.repeat(w.any(100*time.Millisecond), func() time.Duration {
		n.core.HandleLoopReport(n.clock(), n.report())
		return 100 * time.Millisecond
	})
	n.repeat(w.any(60*time.Millisecond), n.placing)
}

// repeat does something again and again for as long as this process lives; it says after how long.
func (n *node) repeat(first time.Duration, do func() time.Duration) {
	var once func()
	once = func() { n.later(do(), once) }
	n.later(first, once)
}

// later does something after a time if this process still lives; a stopped one does it when it goes on.
func (n *node) later(d time.Duration, do func()) {
	run := n.run
	n.w.after(d, func() {
		if n.run == run && n.up {
			n.when(do)
		}
	})
}

// when does something now, or when the process goes on.
func (n *node) when(f func()) {
	if n.paused {
		n.late = append(n.late, f)
		return
	}
	f()
}

// SavePolicies implements control.Env.
func (n *node) SavePolicies(k control.PolicyState) error {
	n.kept = k
	return nil
}

// ApplyPolicy implements control.Env: the loop takes the policy a moment later.
func (n *node) ApplyPolicy(p control.Policy) {
	n.later(n.w.any(5*time.Millisecond), func() { n.goes = p })
}

// watch notes elections.
func (n *node) watch() {
	if leads := n.core.Leading(); leads != n.led {
		n.led = leads
		if n.ledAt = 0; leads {
			n.ledAt = n.w.now
			n.w.tally.Elections++
		}
	}
}

// report is what a loop tells. A stand-in has no attempts under way: what it has taken is in effect.
func (n *node) report() control.Report {
	r := control.Report{Restrictions: n.taken, ClearedHosts: n.taken.ExcludedHosts, Policy: n.goes.Hash, RequestedPolicy: n.goes.Hash}
	if len(n.w.trials) > 0 {
		r.Counted = n.count()
	}
	r.Observation = n.look()
	return r
}

func (n *node) placing() time.Duration {
	n.place()
	return 20*time.Millisecond + n.w.any(60*time.Millisecond)
}

// place sends something new to a host that the loop's verdict allows now.
func (n *node) place() {
	var open []string
	now := n.clock()
	for _, id := range n.site.ids {
		if n.w.Plain && n.knows && !slices.Contains(n.told, id) || !n.w.Plain && !n.taken.Excludes(id, now) {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	h := n.site.hosts[open[n.w.rng.IntN(len(open))]]
	n.w.tally.Sent++
	if h.inWork {
		n.w.broken(fmt.Sprintf("%s sent something new to %s, which is in work by %s", n.name, h.id, h.by))
	}
	n.w.checkHand(n, h.id)
}

// Save implements control.Env over memory.
func (n *node) Save(s consensus.WriteBatch) error {
	d := &n.store
	if s.HardState != nil {
		d.HardState = proto.CloneOf(s.HardState)
	}
	if s.Snapshot != nil {
		d.Snapshot, d.Applied = proto.CloneOf(s.Snapshot), s.Snapshot.Metadata.GetIndex()
		if s.Replace {
			d.Entries = nil
		}
	}
	for _, e := range s.Entries {
		if len(e.GetData()) > 0 {
			n.logged = append(n.logged, len(e.GetData()))
		}
		d.Entries = slices.DeleteFunc(d.Entries, func(old *raftpb.Entry) bool { return old.GetIndex() >= e.GetIndex() })
		d.Entries = append(d.Entries, proto.CloneOf(e))
	}
	cut := max(s.CompactTo, 0)
	if s.Snapshot != nil { // the store keeps what follows the snapshot
		cut = max(cut, d.Applied)
	}
	d.Entries = slices.DeleteFunc(d.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= cut })
	return nil
}

// SaveLease implements control.Env.
func (n *node) SaveLease(s sendlease.Saved) error {
	n.saved = s
	return nil
}

// MarkRefused implements control.Env.
func (n *node) MarkRefused(why string) error {
	n.store.Refused = why
	n.w.say(n.name + " is refused: " + why)
	return nil
}

// ApplyRestrictions implements control.Env: the loop takes the verdict a moment later.
func (n *node) ApplyRestrictions(v sendlease.Restrictions) {
	n.later(n.w.any(binding), func() { n.taken = v })
}

// binding is the longest that a loop takes to have a verdict.
const binding = 5 * time.Millisecond

// Log implements control.Env.
func (n *node) Log(event string, args ...any) {
	if n.w.Trace != nil {
		n.w.say(fmt.Sprintln(n.name, event, args))
	}
}
