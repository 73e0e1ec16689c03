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
	Sites int // below each site of the level above
	Nodes int // of each site
	Seats int // of them, in the site's council
}

// Options is the shape of a world.
type Options struct {
	Seed     uint64
	Levels   []Level // the top first
	Hosts    int     // of each site, for work
	Hand     int     // hosts that all sites send to, written out and back by hand
	Asks     int     // of each site: turns that are asked for, at random times
	Writes   int     // of each site, at random times
	Rollouts int     // policies that are started at the top, the first of them, at random times
	Lasts    time.Duration
	Limits   turns.Limits
	Faults   bool // cut, stop, kill and restart nodes and sites
	Lists    Lists
	Overrun  bool // one work of ten takes much longer than was said
	Plain    bool // turns the plain way: see plain.go
	Witness  bool // processes are killed on machines that go on, which proves their stores (control.Options.StoreVerified)
	Where    bool // count where the time of turns goes: see where.go
	For      time.Duration
	Quiet    time.Duration // at the end, with nothing broken any more: what was asked for has to be done by then
}

// Tally is what came of a run. Times are virtual.
type Tally struct {
	Broken    []string // promises that did not hold, in the order of their times
	Sent      int
	Granted   int
	Done      int
	Undone    int             // turns that were asked for and are not over at the end
	Agreed    []time.Duration // from asked to agreed on
	Waited    []time.Duration // from asked to granted
	Back      []time.Duration // from the end of the work to the end of the turn
	Whole     []time.Duration // from asked to the end of the turn
	Messages  int
	Bytes     int
	Between   int // messages from site to site, of these
	Elections int
	MostOut   int             // hosts in work at one time, at one site
	Written   int             // writes that their writer was told are agreed
	Refused   int             // writes that their writer was told are not taken
	Receipts  int             // of those that were agreed
	NotTaken  int             // receipts that say refused or orphaned
	Lost      int             // agreed writes that had not left when their site's stores were lost
	Round     int             // answers that a site had from farther above than its parent
	Tried     int             // looks at a node that went by a trial
	Over      []string        // how each rollout ended
	Council   Spent           // the time of sites while things break, by how their councils stood
	Without   []time.Duration // stretches without a leader though a majority could talk
	Turns     Spent           // the time of turns from asked to granted, by what they waited for
}

// World is one run.
type World struct {
	Options
	rng    *mrand.Rand    // of the network and the loops
	plan   *mrand.Rand    // of faults, askers and writers: the same whatever the nodes do
	chance *mrand.ChaCha8 // in the place of crypto/rand
	now    time.Duration
	queue  events
	seq    int
	sites  []*place
	nodes  []*node
	byName map[string]*node
	apart  map[[2]*place]int // how many faults keep what the first sends from the second
	tally  Tally
	calm   bool // no more faults
	healed time.Duration
	Trace  func(at time.Duration, text string)
	writes []*write
	things []subject
	early  []early // may have been applied too early
	trials []*trial
}

// event is something to come.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// place is one site with its hosts.
type place struct {
	name   string
	up     *place // the site above; nil for a top
	group  site.Definition
	nodes  []*node
	hosts  map[string]*host // those that all sites have in common too
	ids    []string         // of the hosts, sorted
	asks   []*work
	doomed bool // its stores are lost some time; no turns are asked for there, since nobody would know of them
	lock   lock // the plain way

	was     string        // how its council stood at the last look
	without time.Duration // since when it has had no leader though a majority could talk; 0: it has one, or could not

	looked  uint64                   // how far the log was applied where it was looked at last
	shown   map[subject]*write       // what holds there, as last looked at
	before  map[subject][]*write     // what held there, in order; empty again after a loss
	out     map[string]time.Duration // since when a host is out by hand there
	receipt map[sitesync.ID]string   // that were read there
	tokened bool                     // a token was used there, or above: see sitesync's U1
}

// host knows whether it is in work.
type host struct {
	id     string
	inWork bool
	by     string
	told   []state // to discovery, in the order of their times
}

// work is one turn as its asker sees it.
type work struct {
	id, host string
	lasts    time.Duration // as it turns out
	asked    time.Duration
	doneAt   time.Duration
	agreed   bool
	granted  bool
	begun    bool
	done     bool
	over     bool
	counted  bool
	at       *node  // that its asker's call is out to
	lost     func() // that call's link is gone
}

// base is where all clocks begin: some time in 1970, so that no time is 0.
const base = 1000 * time.Hour

// Run plays a world out.
func Run(o Options, trace func(time.Duration, string)) Tally {
	w := build(o, trace)
	return w.run()
}

// build makes a world that has not begun.
func build(o Options, trace func(time.Duration, string)) *World {
	w := &World{Options: o, rng: mrand.New(mrand.NewPCG(o.Seed, 1)), plan: mrand.New(mrand.NewPCG(o.Seed, 2)), Trace: trace,
		byName: map[string]*node{}, apart: map[[2]*place]int{}}
	w.chance = mrand.NewChaCha8([32]byte{byte(o.Seed), byte(o.Seed >> 8), byte(o.Seed >> 16), byte(o.Seed >> 24)})
	w.subjects()
	w.below(nil, 0)
	return w
}

// run plays it out.
func (w *World) run() Tally {
	o := w.Options
	w.begin()
	if o.Where {
		w.after(lookEvery, w.where)
	}
	if o.Faults {
		w.after(2*time.Second, w.fault)
		w.after(2*time.Second, w.siteFault)
		w.doom()
	}
	w.writers()
	w.rollouts()
	w.after(o.For, func() {
		w.calm, w.healed = true, w.now
		w.heal()
	})
	w.until(o.For + o.Quiet)
	w.atEnd()
	w.settled()
	return w.tally
}

// begin starts all nodes.
func (w *World) begin() {
	for _, n := range w.nodes {
		w.start(n)
	}
}

// until plays up to a time.
func (w *World) until(end time.Duration) {
	before := rand.Reader
	rand.Reader = w.chance
	defer func() { rand.Reader = before }()
	for len(w.queue) > 0 && w.queue[0].at < end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *World) say(text string) {
	if w.Trace != nil {
		w.Trace(w.now, text)
	}
}

func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

// any is up to d, evenly; of the network's draws.
func (w *World) any(d time.Duration) time.Duration { return upTo(w.rng, d) }

func upTo(r *mrand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d) + 1)) }

// below builds the sites below one, or the tops.
func (w *World) below(up *place, level int) {
	if level == len(w.Levels) {
		return
	}
	for i := range w.Levels[level].Sites {
		name := fmt.Sprintf("site%02d", i)
		if up != nil {
			name = fmt.Sprintf("%s.%d", up.name, i)
		}
		w.below(w.site(name, up, level), level+1)
	}
}

// site builds one site.
func (w *World) site(name string, up *place, level int) *place {
	p := &place{name: name, up: up, hosts: map[string]*host{}, receipt: map[sitesync.ID]string{}}
	p.forget()
	w.sites = append(w.sites, p)
	l := w.Levels[level]
	p.group = site.Definition{Name: name, Level: level}
	if up != nil {
		p.group.Parent = up.name
	}
	for i := range l.Nodes {
		node := fmt.Sprintf("%s-n%d", name, i)
		p.group.Nodes = append(p.group.Nodes, node)
		if i < l.Seats {
			p.group.Voters = append(p.group.Voters, node)
		}
	}
	var above []site.Definition
	for a := up; a != nil; a = a.up {
		above = append(above, a.group)
	}
	terms := sendlease.Terms{Duration: w.Lasts, Drift: 0.01}
	for i, node := range p.group.Nodes {
		n := w.add(p, node, &site.Site{Node: node, Own: p.group, Ancestors: above, Voters: p.group.Voters, Members: p.group.Nodes,
			IsVoter: i < l.Seats, SendLease: terms, Turns: w.Limits, Tick: 100 * time.Millisecond, SnapshotEvery: 64,
			SiteSync: sitesync.Limits{Bytes: 16 << 20, Number: 50000, Age: time.Hour, Batch: 256}})
		n.rate = 1 + (w.rng.Float64()-0.5)*0.009
	}
	for i := range w.Hosts {
		p.host(fmt.Sprintf("%s-g%02d", name, i))
	}
	for i := range w.Hand {
		p.host(fmt.Sprintf("hand-g%02d", i))
	}
	order := w.plan.Perm(w.Hosts)
	for i := range w.Asks {
		a := &work{id: fmt.Sprintf("%s-t%d", name, i), host: fmt.Sprintf("%s-g%02d", name, order[i%w.Hosts]),
			lasts: 2*time.Second + upTo(w.plan, 3*time.Second)}
		if w.plan.IntN(10) == 0 && w.Overrun {
			a.lasts += overrun
		}
		p.asks = append(p.asks, a)
		w.after(3*time.Second+upTo(w.plan, w.For/2), func() { w.ask(p, a) })
	}
	return p
}

func (p *place) host(id string) {
	p.hosts[id] = &host{id: id}
	p.ids = append(p.ids, id)
	slices.Sort(p.ids)
}

// forget lets go of what was seen to hold at a site, since its stores are lost.
func (p *place) forget() {
	p.shown, p.before, p.out = map[subject]*write{}, map[subject][]*write{}, map[string]time.Duration{}
	p.looked = 0
}

func (w *World) broken(text string) {
	w.say("BROKEN: " + text)
	w.tally.Broken = append(w.tally.Broken, fmt.Sprintf("%v: %s", w.now, text))
}

// Quantile returns the value below which a part of the times lies.
func Quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(int(math.Ceil(q*float64(len(sorted)))), len(sorted))-1]
}
