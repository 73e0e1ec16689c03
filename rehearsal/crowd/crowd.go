// Package crowd plays a large fleet in virtual time: many nodes (balance.Balancer), a few hosts for every ten, and clients
// that come again until they are served. It counts what each node alone cannot see: how much of what clients want they
// get, and how many nodes send nothing on for seconds.
//
//	got := crowd.Play(crowd.Plan{Nodes: 300, Load: 0.57, Burst: 0.4, Seed: 1})
//	fmt.Println(got)
//
// The hosts are simple: each has a capacity in connections, its load swings with its connections, every group that it holds
// any of costs one more, reports are made now and then and told late, what is asked beyond the capacity piles up, and the
// newest connection goes when too much has. One plays in about a second.
package crowd

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lichenhitch/balance"
)

// The fleet, with the figures of a site of long-lived connections.
const (
	lasts        = 23 * time.Second // a play
	step         = 50 * time.Millisecond
	begins       = 3 * time.Second // over which those come that were open before
	burstAt      = 8300 * time.Millisecond
	life         = 91 * time.Second // of a connection, on average
	reportEvery  = 1157 * time.Millisecond
	reportLate   = 420 * time.Millisecond
	changesEvery = 11 * time.Second // a connection's load
	message      = 7360 * time.Microsecond
	buffer       = 1.36 // seconds of work that may pile up
	groupSize    = 11.2
	hotPart      = 10  // one node in so many
	hotTimes     = 3.2 // gets so many times what others get
	// starvedFor and starvedOf are what the operators count: a node that turns away all that it gets, so many or more, for so
	// long, with no attempt in between.
	starvedFor = 4 * time.Second
	starvedOf  = 15
)

// Plan is what is played.
type Plan struct {
	Nodes int
	Load  float64 // of the fleet at the start, as a part of its capacity, groups aside
	Burst float64 // connections that come at once in the middle, as a part of those at the start
	Seed  uint64
}

// Outcome is what came of a play.
type Outcome struct {
	Served   float64 // worth of the seconds in which clients were served, over that of all they wanted
	Class    []float64
	Starved  int // nodes that turned away all for four seconds on end, fifteen or more
	Tries    int
	Refused  int
	Attempts int
	Probes   int
	Moves    int
	Mean     float64 // true load over capacity at the end
}

func (o Outcome) String() string {
	return fmt.Sprintf("served %.3f %.3f, %d nodes starved, %d tries, %d refused, %d attempts, %d probes, %d moves, mean %.2f",
		o.Served, o.Class, o.Starved, o.Tries, o.Refused, o.Attempts, o.Probes, o.Moves, o.Mean)
}

// kind is a class of clients.
type kind struct {
	class             balance.Class
	share, load, life float64
}

type host struct {
	id       balance.ServerID
	capacity float64
	conns    []*client // in the order of their standing
	groups   map[string]int
	load     float64
	piled    float64 // seconds of work
	told     float64 // ratio
}

func (h *host) ratio() float64 { return h.load / h.capacity }

type client struct {
	kind        int
	tenant      string
	group       string
	usual, load float64
	lasts       time.Duration
	until       time.Duration
	host        *host // nil while it is not served
	node        *node
	id          balance.RequestID
	fails       int
	again       bool
}

type node struct {
	b       *balance.Balancer
	clients map[balance.RequestID]*client
	slowAt  map[*host]time.Duration
	away    int // turned away since the last attempt
	tried   time.Duration
	starved bool
}

// world is a play under way.
type world struct {
	plan         Plan
	rng          *rand.Rand
	now          time.Duration
	due          agenda
	asked        int
	ids          balance.RequestID
	kinds        []kind
	nodes        []*node
	hosts        []*host
	byID         map[balance.ServerID]*host
	alive        []*client
	capacity     float64
	got, want    []float64 // worth by class
	out          Outcome
	served, wish float64
}

type event struct {
	at time.Duration
	no int
	do func()
}

// agenda is a heap of events, the earliest first and those of one moment in the order of their asking.
type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].no < a[j].no
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

// Play plays a day. Equal plans give equal outcomes.
func Play(p Plan) Outcome {
	w := &world{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 7)), byID: map[balance.ServerID]*host{}}
	w.fleet()
	w.traffic()
	for len(w.due) > 0 {
		e := heap.Pop(&w.due).(event)
		if w.now = e.at; w.now >= lasts {
			break
		}
		e.do()
	}
	w.out.Served = w.served / w.wish
	for i := range w.kinds {
		w.out.Class = append(w.out.Class, w.got[i]/w.want[i])
	}
	for _, n := range w.nodes {
		if n.starved {
			w.out.Starved++
		}
	}
	for _, h := range w.hosts {
		w.out.Mean += h.load / w.capacity
	}
	return w.out
}

func (w *world) in(d time.Duration, do func()) {
	w.asked++
	heap.Push(&w.due, event{w.now + d, w.asked, do})
}

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(d))
}
func (w *world) about(d time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(d))
}

// uneven returns a factor of mean one with a long tail.
func (w *world) uneven(sigma float64) float64 {
	return math.Exp(w.rng.NormFloat64()*sigma - sigma*sigma/2)
}

// fleet sets nodes and hosts up.
func (w *world) fleet() {
	const ms = time.Millisecond
	class := func(name string, worth float64, aim, deadline, message time.Duration) balance.Class {
		return balance.Class{Name: name, LatencyTarget: aim, Deadline: deadline, Streamed: true, MessageLatencyTarget: message, Value: worth}
	}
	w.kinds = []kind{
		{class("a", 3, 300*ms, 1200*ms, 250*ms), 0.31, 1, 1},
		{class("b", 2, 500*ms, 3000*ms, 60*ms), 0.30, 3.9, 0.8},
		{class("c", 3, 800*ms, 3200*ms, 60*ms), 0.25, 7, 2.7},
		{class("d", 1, 800*ms, 3200*ms, 60*ms), 0.14, 6, 0.9},
	}
	var lives, loads float64
	for _, k := range w.kinds {
		lives += k.share * k.life
		loads += k.share * k.life * k.load
	}
	set := balance.Settings{Balancers: w.plan.Nodes, Zone: "here", MaxAttempts: 4, Tick: 5 * ms, Probes: true,
		MaxRetryAfter: 1500 * ms, WeightsNominal: true, ConnectTimeout: 250 * ms,
		Safety: balance.Safety{AnswerSlack: 50 * ms, DrainGrace: 2 * time.Second, ListRefreshInterval: 10 * time.Second, ColdCapacity: 0.37,
			WarmUp: 8 * time.Second, OverloadFactor: 3, OverloadWindow: 1500 * ms},
		Prices: balance.Prices{Probe: 0.0019, Move: 0.022}}
	for i := range w.kinds {
		w.kinds[i].life /= lives // so that those open have a load of one, and live for as long as is said, on average
		w.kinds[i].load *= lives / loads
		set.Classes = append(set.Classes, w.kinds[i].class)
	}
	w.got, w.want = make([]float64, len(w.kinds)), make([]float64, len(w.kinds))
	var list []balance.Listing
	for i := range w.plan.Nodes * 3 / 10 {
		weight := 3.0
		if w.rng.Float64() < 0.38 {
			weight = 1.5
		}
		h := &host{id: balance.ServerID(fmt.Sprint("h", i)), capacity: weight * 18.7 * w.uneven(0.15), groups: map[string]int{}}
		w.capacity += h.capacity
		w.hosts = append(w.hosts, h)
		w.byID[h.id] = h
		list = append(list, balance.Listing{Server: h.id, Zone: "here", Cell: i / 6, Weight: weight, State: balance.Ready})
		w.in(w.upTo(reportEvery), func() { w.report(h) })
	}
	set.Tenants = []balance.Tenant{{Name: "k", Share: 0.55, Quota: 0.506 * w.capacity}, {Name: "l", Share: 0.45, Quota: 0.414 * w.capacity}}
	for i := range w.plan.Nodes {
		set.Self = i
		n := &node{b: balance.New(set, w.plan.Seed*1000+uint64(i)), clients: map[balance.RequestID]*client{}, slowAt: map[*host]time.Duration{}}
		w.nodes = append(w.nodes, n)
		w.tell(n, balance.ServerList{Kind: balance.ListFull, Entries: list})
	}
	w.in(0, w.pass)
}

// traffic has clients come: those that were open before, new ones all the time, and a burst.
func (w *world) traffic() {
	open := w.plan.Load * w.capacity
	for range int(open * 0.77) {
		c := w.newcomer(true)
		c.lasts = max(c.lasts, w.about(2*life))
		w.in(w.upTo(begins), func() { w.begin(c) })
	}
	var next func()
	next = func() {
		w.begin(w.newcomer(false))
		w.in(w.about(time.Duration(float64(life)/open)), next)
	}
	w.in(w.about(time.Duration(float64(life)/open)), next)
	w.in(burstAt, func() {
		for range int(w.plan.Burst * open) {
			c := w.newcomer(true)
			w.in(w.about(700*time.Millisecond), func() { w.begin(c) })
		}
	})
}

// newcomer draws a client of those that come, or of those that are open at a time.
func (w *world) newcomer(open bool) *client {
	weight := func(k kind) float64 {
		if open {
			return k.share * k.life
		}
		return k.share
	}
	total := 0.0
	for _, k := range w.kinds {
		total += weight(k)
	}
	at, chosen := w.rng.Float64()*total, 0
	for at -= weight(w.kinds[0]); at > 0 && chosen+1 < len(w.kinds); at -= weight(w.kinds[chosen]) {
		chosen++
	}
	k := w.kinds[chosen]
	c := &client{kind: chosen, tenant: "l", usual: k.load * w.uneven(1.25)}
	if w.rng.Float64() < 0.374 {
		c.tenant = "k"
	}
	groups := max(4, w.plan.Load*w.capacity/groupSize)
	c.group = fmt.Sprint("g", int(math.Pow(w.rng.Float64(), 2.5)*groups))
	c.lasts = time.Duration(float64(life) * k.life * w.uneven(1.2))
	w.swing(c)
	return c
}

// swing draws the load that a connection has now: idle, or about the usual one.
func (w *world) swing(c *client) {
	if c.load = c.usual * w.uneven(0.67) / 0.77; w.rng.Float64() < 0.24 {
		c.load = c.usual / 20
	}
}

// begin has a client come, and come again until its time is over.
func (w *world) begin(c *client) {
	c.until = w.now + c.lasts
	w.alive = append(w.alive, c)
	w.try(c)
	var change func()
	change = func() {
		if w.now >= c.until {
			return
		}
		before := c.load
		if w.swing(c); c.host != nil {
			c.host.load += c.load - before
			w.tell(c.node, balance.LoadChanged{Request: c.id, Load: c.load * 1000})
		}
		w.in(w.about(changesEvery), change)
	}
	w.in(w.about(changesEvery), change)
	w.in(c.lasts, func() {
		if c.host != nil {
			w.leave(c, balance.OK)
		}
	})
}

// try has a client come to a node: one in ten nodes gets several times what the others get.
func (w *world) try(c *client) {
	if w.now >= c.until {
		return
	}
	hot := (len(w.nodes) + hotPart - 1) / hotPart
	i := w.rng.IntN(len(w.nodes))
	if extra := (hotTimes - 1) * float64(hot); w.rng.Float64() < extra/(extra+float64(len(w.nodes))) {
		i = w.rng.IntN(hot)
	}
	w.ids++
	c.id, c.node = w.ids, w.nodes[i]
	c.node.clients[c.id] = c
	w.out.Tries++
	class := w.kinds[c.kind].class
	w.tell(c.node, balance.Arrival{Request: c.id, Class: class.Name, Tenant: c.tenant, Group: c.group, TimeLeft: class.Deadline,
		Returning: c.again})
}

// tell hands an event to a node and carries out what it answers.
func (w *world) tell(n *node, ev balance.Event) {
	for _, a := range slices.Clone(n.b.Handle(w.now+time.Second, ev)) {
		switch a := a.(type) {
		case balance.SetTimer:
			w.in(a.After, func() { w.tell(n, balance.TimerFired{Token: a.Token}) })
		case balance.Probe:
			w.out.Probes++
			h := w.byID[a.Server]
			w.in(2*time.Millisecond, func() {
				w.tell(n, balance.Probed{Server: h.id, Report: balance.Report{
					Known: balance.HasRatio | balance.HasLatency, Ratio: h.told, Latency: 3 + 1000*h.piled}})
			})
		case balance.Place:
			n.away, n.tried = 0, w.now
			w.out.Attempts++
			w.setUp(n, a)
		case balance.Refuse:
			w.turnAway(n, a.Request, a.RetryAfter)
		case balance.Fail:
			w.turnAway(n, a.Request, 500*time.Millisecond)
		case balance.Move:
			if c := n.clients[a.Request]; c != nil && c.host != nil {
				w.out.Moves++
				w.cut(c, balance.Cancelled, 73*time.Millisecond)
			}
		}
	}
}

// setUp carries an attempt out: the connection stands behind all that has piled up, or is given up.
func (w *world) setUp(n *node, p balance.Place) {
	c, h := n.clients[p.Request], w.byID[p.Server]
	takes := 15*time.Millisecond + time.Duration(h.piled*float64(time.Second))
	no := c.fails // each failed attempt is numbered
	w.in(min(takes, p.Timeout), func() {
		switch {
		case takes > p.Timeout:
			c.fails++
			w.tell(n, balance.Ended{Request: p.Request, Attempt: no, Outcome: balance.TimedOut})
			return
		case w.now >= c.until:
			delete(n.clients, p.Request)
			w.tell(n, balance.Ended{Request: p.Request, Attempt: no, Outcome: balance.OK, Final: true})
			return
		}
		c.host = h
		h.conns = append(h.conns, c)
		h.load += c.load
		if h.groups[c.group]++; h.groups[c.group] == 1 {
			h.load++
		}
		w.tell(n, balance.Established{Request: p.Request, Attempt: no})
		w.tell(n, balance.LoadChanged{Request: p.Request, Load: c.load * 1000})
	})
}

// turnAway has a client come again after a while, and counts.
func (w *world) turnAway(n *node, id balance.RequestID, wait time.Duration) {
	w.out.Refused++
	c := n.clients[id]
	delete(n.clients, id)
	c.fails, c.again = 0, true
	w.in(wait, func() { w.try(c) })
	n.away++
	n.starved = n.starved || n.away >= starvedOf && w.now-n.tried >= starvedFor
}

// leave ends a connection.
func (w *world) leave(c *client, o balance.Outcome) {
	h, n, id, no := c.host, c.node, c.id, c.fails
	c.host, c.fails = nil, 0
	h.load -= c.load
	if h.groups[c.group]--; h.groups[c.group] == 0 {
		h.load--
	}
	h.conns = slices.DeleteFunc(h.conns, func(other *client) bool { return other == c })
	w.in(0, func() {
		delete(n.clients, id)
		w.tell(n, balance.Ended{Request: id, Attempt: no, Outcome: o, Final: true})
	})
}

// cut ends a connection whose client comes again.
func (w *world) cut(c *client, o balance.Outcome, gap time.Duration) {
	w.leave(c, o)
	c.again = true
	w.in(gap, func() { w.try(c) })
}

func (w *world) report(h *host) {
	seen := h.ratio() * (1 + 0.008*w.rng.NormFloat64())
	w.in(reportLate, func() { h.told = seen })
	w.in(reportEvery, func() { w.report(h) })
}

// pass lets a step of time pass at all hosts, and counts what clients get of it.
func (w *world) pass() {
	w.in(step, w.pass)
	for _, h := range w.hosts {
		h.piled = max(0, h.piled+(h.ratio()-1)*step.Seconds())
		if h.piled > buffer && len(h.conns) > 0 {
			w.cut(h.conns[len(h.conns)-1], balance.Reset, 158*time.Millisecond)
		}
		slow := h.piled > 0.02
		for _, c := range h.conns {
			at := c.node.slowAt[h]
			if slow && w.now-at < time.Second || !slow && at == 0 {
				continue
			}
			c.node.slowAt[h] = 0
			if slow {
				c.node.slowAt[h] = w.now
			}
			took := time.Duration(h.piled * float64(time.Second))
			w.in(0, func() {
				if c.host == h {
					w.tell(c.node, balance.MessageLatency{Request: c.id, Took: took})
				}
			})
		}
	}
	w.alive = slices.DeleteFunc(w.alive, func(c *client) bool { return w.now >= c.until })
	for _, c := range w.alive {
		k := &w.kinds[c.kind]
		worth := k.class.Value * step.Seconds()
		got := 0.0
		if h := c.host; h != nil && h.piled < k.class.MessageLatencyTarget.Seconds() {
			got = worth * (1 - min(1, h.ratio())*math.Exp(-max(0, 1-h.ratio())*float64(k.class.MessageLatencyTarget)/float64(message)))
		}
		w.wish, w.want[c.kind] = w.wish+worth, w.want[c.kind]+worth
		w.served, w.got[c.kind] = w.served+got, w.got[c.kind]+got
	}
}
