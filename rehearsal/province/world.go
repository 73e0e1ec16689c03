// Package province simulates the control planes of many nodes in virtual time: the same control.Core as in the process, with
// a simulated traffic loop, store and network, faults drawn from a seed, requesters that take hosts out of service for
// maintenance, and writers at sites of up to three levels. The checks on hosts use nothing that a node reports of itself: a
// simulated host records whether maintenance on it is in progress, and new work sent to it then is a violation. The values of
// subjects are read through the interface that operators use.
//
// Only one world may run at a time in a process: raft draws the jitter of its elections from crypto/rand, whose reader is
// replaced by a seeded one while the world runs.
package province

import (
	"container/heap"
	"crypto/rand"
	"fmt"
	"math"
	mrand "math/rand/v2"
	"slices"
	"time"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/site"
)

// Level describes the sites of one level.
type Level struct {
	Sites    int // below each site of the level above
	Nodes    int // of each site
	Replicas int // nodes among these with a replica of the site's consensus group
}

// Options describes a world.
type Options struct {
	Seed           uint64
	Levels         []Level // from the top level down
	Hosts          int     // of each site, to do maintenance on
	SharedHosts    int     // hosts that all sites send to, taken out of service and back by operators' writes
	TurnRequests   int     // turns (permissions to do maintenance on a host) requested at each site, at random times
	Writes         int     // at each site, at random times
	Rollouts       int     // policies started at the first root site, at random times
	LeaseDuration  time.Duration
	Limits         turns.Limits
	Faults         bool // cut links between nodes and between sites, pause nodes, kill and restart them, lose stores
	Lists          Lists
	Overrun        bool // one maintenance in ten takes much longer than announced
	FixedOrder     bool // grant turns by a fixed order with a lock: see fixedorder.go
	VerifiedStores bool // a restart is that of a process on a machine that keeps running, which verifies its store (control.Options.StoreVerified)
	MeasureWaits   bool // measure what turns wait for: see waits.go
	FaultPhase     time.Duration
	QuietPhase     time.Duration // follows FaultPhase, without faults; every requested turn must end within it
}

// Tally is the result of a run. Times are virtual.
type Tally struct {
	Violations        []string // violated properties, in order of time
	Sent              int
	Granted           int
	Done              int
	Unfinished        int             // turns that were requested and have not ended at the end of the run
	CommitTimes       []time.Duration // of turns, from request to commit
	GrantTimes        []time.Duration // from request to grant
	ReturnTimes       []time.Duration // from the end of the maintenance to the end of the turn
	TotalTimes        []time.Duration // from request to the end of the turn
	Messages          int
	Bytes             int
	SiteMessages      int // messages among these from one site to another
	Elections         int
	MaxInWork         int             // most hosts of one site under maintenance at the same time
	Committed         int             // writes reported to their writer as committed
	Refused           int             // writes reported to their writer as refused
	Receipts          int             // committed writes with a receipt
	Rejected          int             // receipts that are not "applied"
	LostWrites        int             // committed writes that had not left their site when its stores were lost
	BypassReplies     int             // answers that a site received from a site above its parent
	TrialObservations int             // observations of a node that applied a policy on trial
	RolloutOutcomes   []string        // phase and cause of each rollout at the end
	GroupStates       TimeByCause     // time of sites in the fault phase, by the state of their consensus group
	LeaderlessTimes   []time.Duration // periods without a leader although a majority was connected
	TurnWaits         TimeByCause     // time of turns from request to grant, by what they waited for
}

// World is one simulation run.
type World struct {
	Options
	rng        *mrand.Rand    // for the network and the traffic loops
	planRNG    *mrand.Rand    // for faults, requesters and writers: draws the same values whatever the nodes do
	cryptoRand *mrand.ChaCha8 // replaces crypto/rand
	now        time.Duration
	queue      eventQueue
	seq        int
	sites      []*siteState
	nodes      []*node
	byName     map[string]*node
	partitions map[[2]*siteState]int // number of faults that block messages from the first site to the second
	tally      Tally
	quiet      bool // no more faults are injected
	healedAt   time.Duration
	Trace      func(at time.Duration, text string)
	writes     []*write
	subjects   []subject
	suspects   []orderSuspect // writes that may have been applied before one they depend on
	trials     []*trial
}

// event is a scheduled call.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// siteState is one simulated site with its hosts.
type siteState struct {
	name        string
	parent      *siteState // nil for a root site
	definition  site.Definition
	nodes       []*node
	hosts       map[string]*host // by ID; includes the shared hosts
	ids         []string         // IDs of the hosts, sorted
	turns       []*requestedTurn
	losesStores bool     // all its stores are lost during the run; no turns are requested here, since no node would remember them
	lock        lockList // used if Options.FixedOrder

	lastGroupState  string        // at the last observation
	leaderlessSince time.Duration // start of the period without a leader although a majority is connected; 0: no such period

	readIndex uint64                   // applied index of the replica that was read last
	current   map[subject]*write       // the write that holds the value of each subject, as last read
	history   map[subject][]*write     // values of current over time, in order; emptied when the stores are lost
	outSince  map[string]time.Duration // start of the period in which an operator has a host out of service here
	receipts  map[sitesync.ID]string   // as read here, by write
	tokenUsed bool                     // a write here or at a site above carried a token: see U1 of package sitesync
}

// host is one simulated host, which records whether maintenance on it is in progress.
type host struct {
	id       string
	inWork   bool
	workTurn string      // ID of the turn of that maintenance
	listed   []listState // its states in discovery's lists, in order of time
}

// requestedTurn is one turn as its requester knows it.
type requestedTurn struct {
	id, host     string
	duration     time.Duration // actual duration of the maintenance
	requestedAt  time.Duration
	doneAt       time.Duration
	committed    bool
	granted      bool
	begun        bool
	done         bool
	ended        bool
	grantCounted bool
	callee       *node  // node with a pending call of the requester; nil: none
	connLost     func() // reports the loss of that call's connection
}

// base is the time at which all clocks start: in 1970 but not 0, because a time of 0 means unset.
const base = 1000 * time.Hour

// Run simulates a world to its end and returns its tally.
func Run(o Options, trace func(time.Duration, string)) Tally {
	w := newWorld(o, trace)
	return w.run()
}

// newWorld returns a world whose nodes have not been started.
func newWorld(o Options, trace func(time.Duration, string)) *World {
	w := &World{Options: o, rng: mrand.New(mrand.NewPCG(o.Seed, 1)), planRNG: mrand.New(mrand.NewPCG(o.Seed, 2)), Trace: trace,
		byName: map[string]*node{}, partitions: map[[2]*siteState]int{}}
	w.cryptoRand = mrand.NewChaCha8([32]byte{byte(o.Seed), byte(o.Seed >> 8), byte(o.Seed >> 16), byte(o.Seed >> 24)})
	w.addSubjects()
	w.addSites(nil, 0)
	return w
}

// run simulates the world to its end.
func (w *World) run() Tally {
	o := w.Options
	w.startNodes()
	if o.MeasureWaits {
		w.after(observeInterval, w.observeWaits)
	}
	if o.Faults {
		w.after(2*time.Second, w.injectFault)
		w.after(2*time.Second, w.injectSiteFault)
		w.scheduleStoreLoss()
	}
	w.scheduleWriters()
	w.setUpRollouts()
	w.after(o.FaultPhase, func() {
		w.quiet, w.healedAt = true, w.now
		w.healAll()
	})
	w.runUntil(o.FaultPhase + o.QuietPhase)
	w.checkAtEnd()
	w.checkRollouts()
	return w.tally
}

func (w *World) startNodes() {
	for _, n := range w.nodes {
		w.start(n)
	}
}

// runUntil runs all events before a time.
func (w *World) runUntil(end time.Duration) {
	before := rand.Reader
	rand.Reader = w.cryptoRand
	defer func() { rand.Reader = before }()
	for len(w.queue) > 0 && w.queue[0].at < end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *World) log(text string) {
	if w.Trace != nil {
		w.Trace(w.now, text)
	}
}

func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

// randomUpTo returns a duration of at most d, uniformly distributed, drawn from w.rng.
func (w *World) randomUpTo(d time.Duration) time.Duration { return randomUpTo(w.rng, d) }

func randomUpTo(r *mrand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d) + 1))
}

// addSites adds the sites below parent, down to the lowest level, or all sites if parent is nil.
func (w *World) addSites(parent *siteState, level int) {
	if level == len(w.Levels) {
		return
	}
	for i := range w.Levels[level].Sites {
		name := fmt.Sprintf("site%02d", i)
		if parent != nil {
			name = fmt.Sprintf("%s.%d", parent.name, i)
		}
		w.addSites(w.addSite(name, parent, level), level+1)
	}
}

// addSite adds one site with its nodes and hosts, and schedules its requests for turns.
func (w *World) addSite(name string, parent *siteState, level int) *siteState {
	added := &siteState{name: name, parent: parent, hosts: map[string]*host{}, receipts: map[sitesync.ID]string{}}
	added.forgetState()
	w.sites = append(w.sites, added)
	shape := w.Levels[level]
	added.definition = site.Definition{Name: name, Level: level}
	if parent != nil {
		added.definition.Parent = parent.name
	}
	for i := range shape.Nodes {
		node := fmt.Sprintf("%s-n%d", name, i)
		added.definition.Nodes = append(added.definition.Nodes, node)
		if i < shape.Replicas {
			added.definition.Voters = append(added.definition.Voters, node)
		}
	}
	var above []site.Definition
	for a := parent; a != nil; a = a.parent {
		above = append(above, a.definition)
	}
	leaseTerms := sendlease.Terms{Duration: w.LeaseDuration, Drift: 0.01}
	for i, node := range added.definition.Nodes {
		n := w.addNode(added, node, &site.Site{Node: node, Own: added.definition, Ancestors: above, Voters: added.definition.Voters, Members: added.definition.Nodes,
			IsVoter: i < shape.Replicas, SendLease: leaseTerms, Turns: w.Limits, Tick: 100 * time.Millisecond, SnapshotEvery: 64,
			SiteSync: sitesync.Limits{Bytes: 16 << 20, Number: 50000, Age: time.Hour, Batch: 256}})
		n.clockRate = 1 + (w.rng.Float64()-0.5)*0.009
	}
	for i := range w.Hosts {
		added.addHost(fmt.Sprintf("%s-g%02d", name, i))
	}
	for i := range w.SharedHosts { // "hand": taken out of service by hand, by an operator
		added.addHost(fmt.Sprintf("hand-g%02d", i))
	}
	hostOrder := w.planRNG.Perm(w.Hosts)
	for i := range w.TurnRequests {
		turn := &requestedTurn{id: fmt.Sprintf("%s-t%d", name, i), host: fmt.Sprintf("%s-g%02d", name, hostOrder[i%w.Hosts]),
			duration: 2*time.Second + randomUpTo(w.planRNG, 3*time.Second)}
		if w.planRNG.IntN(10) == 0 && w.Overrun {
			turn.duration += overrunTime
		}
		added.turns = append(added.turns, turn)
		w.after(3*time.Second+randomUpTo(w.planRNG, w.FaultPhase/2), func() { w.requestTurn(added, turn) })
	}
	return added
}

func (p *siteState) addHost(id string) {
	p.hosts[id] = &host{id: id}
	p.ids = append(p.ids, id)
	slices.Sort(p.ids)
}

// forgetState drops what was read at a site, when its stores are lost.
func (p *siteState) forgetState() {
	p.current, p.history, p.outSince = map[subject]*write{}, map[subject][]*write{}, map[string]time.Duration{}
	p.readIndex = 0
}

func (w *World) violation(text string) {
	w.log("BROKEN: " + text)
	w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("%v: %s", w.now, text))
}

// Quantile returns the q-quantile of the times, 0 if there are none.
func Quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(int(math.Ceil(q*float64(len(sorted)))), len(sorted))-1]
}
