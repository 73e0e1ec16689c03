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

// node is one simulated process with its store. It implements control.Env for its Core, here and in network.go.
type node struct {
	w                *World
	site             *siteState
	config           *site.Site
	name             string
	clockRate        float64 // of its clock, relative to virtual time
	core             *control.Core
	incarnation      uint64 // of its store
	openCount        uint64 // of its store
	runID            uint64 // of its process; 0: it is down
	store            consensus.StoredState
	savedLease       sendlease.Saved
	keptPolicies     control.PolicyState
	policy           control.Policy // that its traffic loop applies
	up               bool
	paused           bool
	deferred         []func()               // events that arrived while it was paused
	cutTo            map[string]bool        // nodes of its site that its messages do not reach
	restrictions     sendlease.Restrictions // that its traffic loop applies
	leading          bool                   // as last observed
	leadingSince     time.Duration          // 0: it does not lead
	index            int                    // among the nodes of its site
	trialState       trialState
	leaseRequestedAt time.Duration // when the newest lease request was sent whose response the traffic loop applies
	lockedHosts      []string      // with Options.FixedOrder: hosts to which it sends nothing
	hasLockList      bool          // with Options.FixedOrder: lockedHosts has been received
	entrySizes       []int         // bytes of each entry saved in its store, in order
}

func (w *World) addNode(site *siteState, name string, config *site.Site) *node {
	n := &node{w: w, site: site, config: config, name: name, index: len(site.nodes), cutTo: map[string]bool{}, incarnation: w.rng.Uint64() | 1}
	site.nodes = append(site.nodes, n)
	w.nodes = append(w.nodes, n)
	w.byName[name] = n
	return n
}

// clock returns the time of the node's own clock.
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

// repeat runs a task repeatedly while this process lives. The task returns the delay until its next run.
func (n *node) repeat(first time.Duration, task func() time.Duration) {
	var run func()
	run = func() { n.later(task(), run) }
	n.later(first, run)
}

// later runs a task after a delay if this process still lives; a paused process runs it when it resumes.
func (n *node) later(d time.Duration, task func()) {
	runID := n.runID
	n.w.after(d, func() {
		if n.runID == runID && n.up {
			n.runOrDefer(task)
		}
	})
}

// runOrDefer runs a task now, or when the process resumes if it is paused.
func (n *node) runOrDefer(task func()) {
	if n.paused {
		n.deferred = append(n.deferred, task)
		return
	}
	task()
}

// SavePolicies implements control.Env.
func (n *node) SavePolicies(k control.PolicyState) error {
	n.keptPolicies = k
	return nil
}

// ApplyPolicy implements control.Env. The traffic loop applies the policy after a short delay.
func (n *node) ApplyPolicy(p control.Policy) {
	n.later(n.w.randomUpTo(5*time.Millisecond), func() { n.policy = p })
}

// countElections counts the transitions of this node to leader.
func (n *node) countElections() {
	if leads := n.core.Leading(); leads != n.leading {
		n.leading = leads
		if n.leadingSince = 0; leads {
			n.leadingSince = n.w.now
			n.w.tally.Elections++
		}
	}
}

// report returns the traffic loop's report. The simulated loop has no attempts in flight, so its restrictions take effect
// immediately and every excluded host is clear.
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

// sendToHost sends new work to a random host that the traffic loop's restrictions allow now.
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
		n.w.violation(fmt.Sprintf("%s sent new work to %s, which is in work for turn %s", n.name, h.id, h.workTurn))
	}
	n.w.checkOutOfService(n, h.id)
}

// Save implements control.Env in memory.
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
	if batch.Snapshot != nil { // entries after the snapshot are kept
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
	n.w.log(n.name + ": the replica is refused: " + why)
	return nil
}

// ApplyRestrictions implements control.Env. The traffic loop applies the restrictions after a short delay.
func (n *node) ApplyRestrictions(v sendlease.Restrictions) {
	n.later(n.w.randomUpTo(maxApplyDelay), func() { n.restrictions = v })
}

// maxApplyDelay is the longest delay until the traffic loop applies restrictions.
const maxApplyDelay = 5 * time.Millisecond

// Log implements control.Env.
func (n *node) Log(event string, args ...any) {
	if n.w.Trace != nil {
		n.w.log(fmt.Sprintln(n.name, event, args))
	}
}
