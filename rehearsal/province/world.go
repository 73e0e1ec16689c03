// Package province runs the control of many nodes in virtual time: the same control.Core as in the process, with a stand-in
// for the loop, the store and the network, faults drawn from a seed, askers that take hosts out for work and writers that
// write at sites which stand above each other. Nothing a node says of itself counts for the promises on hosts: a host in work
// knows that it is, and what is sent to it then is a broken promise. What holds of a thing is read as any operator would.
//
// One world runs at a time in a process: raft draws the jitter of its elections from crypto/rand, whose reader is replaced
// by the seed's for as long as the world runs.
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

// Level is the sites of one level.
type Level struct {
	Sites    int // below each site of the level above
	Nodes    int // of each site
	Replicas int // of them, in the site's council
}

// Options is the shape of a world.
type Options struct {
	Seed           uint64
	Levels         []Level // the top first
	Hosts          int     // of each site, for work
	SharedHosts    int     // hosts that all sites send to, written out and back by hand
	TurnRequests   int     // of each site: turns that are asked for, at random times
	Writes         int     // of each site, at random times
	Rollouts       int     // policies that are started at the top, the first of them, at random times
	LeaseDuration  time.Duration
	Limits         turns.Limits
	Faults         bool // cut, stop, kill and restart nodes and sites
	Lists          Lists
	Overrun        bool // one work of ten takes much longer than was said
	FixedOrder     bool // turns the plain way: see plain.go
	VerifiedStores bool // processes are killed on machines that go on, which proves their stores (control.Options.StoreVerified)
	MeasureWaits   bool // count where the time of turns goes: see where.go
	FaultPhase     time.Duration
	QuietPhase     time.Duration // at the end, with nothing broken any more: what was asked for has to be done by then
}

// Tally is what came of a run. Times are virtual.
type Tally struct {
	Violations        []string // promises that did not hold, in the order of their times
	Sent              int
	Granted           int
	Done              int
	Unfinished        int             // turns that were asked for and are not over at the end
	CommitTimes       []time.Duration // from asked to agreed on
	GrantTimes        []time.Duration // from asked to granted
	ReturnTimes       []time.Duration // from the end of the work to the end of the turn
	TotalTimes        []time.Duration // from asked to the end of the turn
	Messages          int
	Bytes             int
	SiteMessages      int // messages from site to site, of these
	Elections         int
	MaxInWork         int             // hosts in work at one time, at one site
	Committed         int             // writes that their writer was told are agreed
	Refused           int             // writes that their writer was told are not taken
	Receipts          int             // of those that were agreed
	Rejected          int             // receipts that say refused or orphaned
	LostWrites        int             // agreed writes that had not left when their site's stores were lost
	BypassReplies     int             // answers that a site had from farther above than its parent
	TrialObservations int             // looks at a node that went by a trial
	RolloutOutcomes   []string        // how each rollout ended
	GroupStates       TimeByCause     // the time of sites while things break, by how their councils stood
	LeaderlessTimes   []time.Duration // stretches without a leader though a majority could talk
	TurnWaits         TimeByCause     // the time of turns from asked to granted, by what they waited for
}

// World is one run.
type World struct {
	Options
	rng        *mrand.Rand    // of the network and the loops
	planRNG    *mrand.Rand    // of faults, askers and writers: the same whatever the nodes do
	cryptoRand *mrand.ChaCha8 // in the place of crypto/rand
	now        time.Duration
	queue      eventQueue
	seq        int
	sites      []*siteState
	nodes      []*node
	byName     map[string]*node
	partitions map[[2]*siteState]int // how many faults keep what the first sends from the second
	tally      Tally
	quiet      bool // no more faults
	healedAt   time.Duration
	Trace      func(at time.Duration, text string)
	writes     []*write
	subjects   []subject
	suspects   []orderSuspect // may have been applied too early
	trials     []*trial
}

// event is something to come.
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

// place is one site with its hosts.
type siteState struct {
	name        string
	parent      *siteState // the site above; nil for a top
	definition  site.Definition
	nodes       []*node
	hosts       map[string]*host // those that all sites have in common too
	ids         []string         // of the hosts, sorted
	turns       []*requestedTurn
	losesStores bool     // its stores are lost some time; no turns are asked for there, since nobody would know of them
	lock        lockList // the plain way

	lastGroupState  string        // how its council stood at the last look
	leaderlessSince time.Duration // since when it has had no leader though a majority could talk; 0: it has one, or could not

	readIndex uint64                   // how far the log was applied where it was looked at last
	current   map[subject]*write       // what holds there, as last looked at
	history   map[subject][]*write     // what held there, in order; empty again after a loss
	outSince  map[string]time.Duration // since when a host is out by hand there
	receipts  map[sitesync.ID]string   // that were read there
	tokenUsed bool                     // a token was used there, or above: see sitesync's U1
}

// host knows whether it is in work.
type host struct {
	id       string
	inWork   bool
	workTurn string
	listed   []listState // to discovery, in the order of their times
}

// work is one turn as its asker sees it.
type requestedTurn struct {
	id, host     string
	duration     time.Duration // as it turns out
	requestedAt  time.Duration
	doneAt       time.Duration
	committed    bool
	granted      bool
	begun        bool
	done         bool
	ended        bool
	grantCounted bool
	callee       *node  // that its asker's call is out to
	connLost     func() // that call's link is gone
}

// base is where all clocks begin: some time in 1970, so that no time is 0.
const base = 1000 * time.Hour

// Run plays a world out.
func Run(o Options, trace func(time.Duration, string)) Tally {
	w := newWorld(o, trace)
	return w.run()
}

// build makes a world that has not begun.
func newWorld(o Options, trace func(time.Duration, string)) *World {
	w := &World{Options: o, rng: mrand.New(mrand.NewPCG(o.Seed, 1)), planRNG: mrand.New(mrand.NewPCG(o.Seed, 2)), Trace: trace,
		byName: map[string]*node{}, partitions: map[[2]*siteState]int{}}
	w.cryptoRand = mrand.NewChaCha8([32]byte{byte(o.Seed), byte(o.Seed >> 8), byte(o.Seed >> 16), byte(o.Seed >> 24)})
	w.addSubjects()
	w.addSites(nil, 0)
	return w
}

// run plays it out.
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

// begin starts all nodes.
func (w *World) startNodes() {
	for _, n := range w.nodes {
		w.start(n)
	}
}

// until plays up to a time.
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

// any is up to d, evenly; of the network's draws.
func (w *World) randomUpTo(d time.Duration) time.Duration { return randomUpTo(w.rng, d) }

func randomUpTo(r *mrand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d) + 1))
}

// below builds the sites below one, or the tops.
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

// site builds one site.
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
	for i := range w.SharedHosts {
		added.addHost(fmt.Sprintf("hand-g%02d", i))
	}
	hostOrder := w.planRNG.Perm(w.Hosts)
	for i := range w.TurnRequests {
		a := &requestedTurn{id: fmt.Sprintf("%s-t%d", name, i), host: fmt.Sprintf("%s-g%02d", name, hostOrder[i%w.Hosts]),
			duration: 2*time.Second + randomUpTo(w.planRNG, 3*time.Second)}
		if w.planRNG.IntN(10) == 0 && w.Overrun {
			a.duration += overrunTime
		}
		added.turns = append(added.turns, a)
		w.after(3*time.Second+randomUpTo(w.planRNG, w.FaultPhase/2), func() { w.requestTurn(added, a) })
	}
	return added
}

func (p *siteState) addHost(id string) {
	p.hosts[id] = &host{id: id}
	p.ids = append(p.ids, id)
	slices.Sort(p.ids)
}

// forget lets go of what was seen to hold at a site, since its stores are lost.
func (p *siteState) forgetState() {
	p.current, p.history, p.outSince = map[subject]*write{}, map[subject][]*write{}, map[string]time.Duration{}
	p.readIndex = 0
}

func (w *World) violation(text string) {
	w.log("BROKEN: " + text)
	w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("%v: %s", w.now, text))
}

// Quantile returns the value below which a part of the times lies.
func Quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(int(math.Ceil(q*float64(len(sorted)))), len(sorted))-1]
}
