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
	w                *World
	site             *siteState
	config           *site.Site
	name             string
	clockRate        float64 // of its clock
	core             *control.Core
	incarnation      uint64
	openCount        uint64
	runID            uint64
	store            consensus.StoredState
	savedLease       sendlease.Saved
	keptPolicies     control.Kept
	policy           control.Policy // that its loop goes by
	up               bool
	paused           bool
	deferred         []func() // what came while it was stopped
	cutTo            map[string]bool
	restrictions     sendlease.Restrictions // by its loop
	leading          bool
	leadingSince     time.Duration // since when
	index            int           // among those of its site
	trialState       trialState
	leaseRequestedAt time.Duration // when the newest question was asked whose answer its loop goes by
	lockedHosts      []string      // the plain way: hosts that it was told to leave alone
	hasLockList      bool          // the plain way: it was told
	entrySizes       []int         // bytes of each entry that came to its store
}

func (w *World) addNode(site *siteState, name string, file *site.Site) *node {
	n := &node{w: w, site: site, config: file, name: name, index: len(site.nodes), cutTo: map[string]bool{}, incarnation: w.rng.Uint64() | 1}
	site.nodes = append(site.nodes, n)
	w.nodes = append(w.nodes, n)
	w.byName[name] = n
	return n
}

// clock is the node's own time.
func (n *node) clock() time.Duration { return base + time.Duration(float64(n.w.now)*n.clockRate) }

// start starts a process of the node.
func (w *World) start(n *node) {
	n.openCount++
	n.runID = w.rng.Uint64()
	n.up, n.paused, n.deferred, n.leading, n.leaseRequestedAt = true, false, nil, false, 0
	n.restrictions, n.policy = sendlease.Restrictions{AllAfterExpiry: true}, control.Policy{}
	n.savedLease.Incarnation = n.incarnation
	if w.FixedOrder {
		n.repeat(0, n.fetchLockList)
		n.repeat(w.randomUpTo(60*time.Millisecond), n.sendPeriodically)
		return
	}
	core, err := control.New(n.clock(), control.Options{Site: n.config, StoreIncarnation: n.incarnation, OpenCount: n.openCount, RunID: n.runID, StoreVerified: w.VerifiedStores,
		StoredState: n.store, SavedLease: n.savedLease, KeptPolicies: n.keptPolicies, CheckPolicy: func(control.Policy) error { return nil }}, n)
	if err != nil {
		w.violation(n.name + " does not start: " + err.Error())
		n.up = false
		return
	}
	n.core = core
	n.repeat(w.randomUpTo(n.config.Tick), func() time.Duration {
		n.core.Tick(n.clock())
		n.countElections()
		return time.Duration(float64(n.config.Tick) / n.clockRate)
	})
	n.repeat(w.randomUpTo(100*time.Millisecond), func() time.Duration {
		n.core.HandleLoopReport(n.clock(), n.report())
		return 100 * time.Millisecond
	})
	n.repeat(w.randomUpTo(60*time.Millisecond), n.sendPeriodically)
}

// repeat does something again and again for as long as this process lives; it says after how long.
func (n *node) repeat(first time.Duration, task func() time.Duration) {
	var run func()
	run = func() { n.later(task(), run) }
	n.later(first, run)
}

// later does something after a time if this process still lives; a stopped one does it when it goes on.
func (n *node) later(d time.Duration, task func()) {
	runID := n.runID
	n.w.after(d, func() {
		if n.runID == runID && n.up {
			n.runOrDefer(task)
		}
	})
}

// when does something now, or when the process goes on.
func (n *node) runOrDefer(task func()) {
	if n.paused {
		n.deferred = append(n.deferred, task)
		return
	}
	task()
}

// SavePolicies implements control.Env.
func (n *node) SavePolicies(k control.Kept) error {
	n.keptPolicies = k
	return nil
}

// ApplyPolicy implements control.Env: the loop takes the policy a moment later.
func (n *node) ApplyPolicy(p control.Policy) {
	n.later(n.w.randomUpTo(5*time.Millisecond), func() { n.policy = p })
}

// watch notes elections.
func (n *node) countElections() {
	if leads := n.core.Leading(); leads != n.leading {
		n.leading = leads
		if n.leadingSince = 0; leads {
			n.leadingSince = n.w.now
			n.w.tally.Elections++
		}
	}
}

// report is what a loop tells. A stand-in has no attempts under way: what it has taken is in effect.
func (n *node) report() control.Report {
	r := control.Report{Restrictions: n.restrictions, ClearedHosts: n.restrictions.ExcludedHosts, Policy: n.policy.Hash, RequestedPolicy: n.policy.Hash}
	if len(n.w.trials) > 0 {
		r.Counted = n.counts()
	}
	r.Observation = n.observe()
	return r
}

func (n *node) sendPeriodically() time.Duration {
	n.sendToHost()
	return 20*time.Millisecond + n.w.randomUpTo(60*time.Millisecond)
}

// place sends something new to a host that the loop's verdict allows now.
func (n *node) sendToHost() {
	var open []string
	now := n.clock()
	for _, id := range n.site.ids {
		if n.w.FixedOrder && n.hasLockList && !slices.Contains(n.lockedHosts, id) || !n.w.FixedOrder && !n.restrictions.Excludes(id, now) {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	h := n.site.hosts[open[n.w.rng.IntN(len(open))]]
	n.w.tally.Sent++
	if h.inWork {
		n.w.violation(fmt.Sprintf("%s sent something new to %s, which is in work by %s", n.name, h.id, h.workTurn))
	}
	n.w.checkOutOfService(n, h.id)
}

// Save implements control.Env over memory.
func (n *node) Save(batch consensus.WriteBatch) error {
	stored := &n.store
	if batch.HardState != nil {
		stored.HardState = proto.CloneOf(batch.HardState)
	}
	if batch.Snapshot != nil {
		stored.Snapshot, stored.Applied = proto.CloneOf(batch.Snapshot), batch.Snapshot.Metadata.GetIndex()
		if batch.Replace {
			stored.Entries = nil
		}
	}
	for _, e := range batch.Entries {
		if len(e.GetData()) > 0 {
			n.entrySizes = append(n.entrySizes, len(e.GetData()))
		}
		stored.Entries = slices.DeleteFunc(stored.Entries, func(old *raftpb.Entry) bool { return old.GetIndex() >= e.GetIndex() })
		stored.Entries = append(stored.Entries, proto.CloneOf(e))
	}
	compactTo := max(batch.CompactTo, 0)
	if batch.Snapshot != nil { // the store keeps what follows the snapshot
		compactTo = max(compactTo, stored.Applied)
	}
	stored.Entries = slices.DeleteFunc(stored.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= compactTo })
	return nil
}

// SaveLease implements control.Env.
func (n *node) SaveLease(s sendlease.Saved) error {
	n.savedLease = s
	return nil
}

// MarkRefused implements control.Env.
func (n *node) MarkRefused(why string) error {
	n.store.Refused = why
	n.w.log(n.name + " is refused: " + why)
	return nil
}

// ApplyRestrictions implements control.Env: the loop takes the verdict a moment later.
func (n *node) ApplyRestrictions(v sendlease.Restrictions) {
	n.later(n.w.randomUpTo(maxApplyDelay), func() { n.restrictions = v })
}

// binding is the longest that a loop takes to have a verdict.
const maxApplyDelay = 5 * time.Millisecond

// Log implements control.Env.
func (n *node) Log(event string, args ...any) {
	if n.w.Trace != nil {
		n.w.log(fmt.Sprintln(n.name, event, args))
	}
}
