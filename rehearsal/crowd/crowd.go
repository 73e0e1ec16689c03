// Package crowd simulates a large fleet in virtual time: many nodes (balance.Balancer), three hosts for every ten nodes, and
// clients that return until they are served. It measures what no single node can see: the share of the clients' demand
// that is served, and the number of nodes that place no request for seconds.
//
//	got := crowd.Run(crowd.Plan{Nodes: 300, Load: 0.57, Burst: 0.4, Seed: 1})
//	fmt.Println(got)
//
// The hosts are simple. Each has a capacity in connections. Its load is the sum of the varying loads of its connections, plus
// one for each group with at least one connection there. It reports its load at intervals, and the reports arrive late.
// Load beyond the capacity builds up a backlog, and at a maximum backlog the host closes its newest connection. A run takes
// about a second.
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

// The parameters of the fleet, as in a site with long-lived connections.
const (
	duration           = 23 * time.Second // of a run
	step               = 50 * time.Millisecond
	rampUp             = 3 * time.Second // time within which the connections that are open at the start are set up
	burstAt            = 8300 * time.Millisecond
	meanLifetime       = 91 * time.Second // of a connection
	reportInterval     = 1157 * time.Millisecond
	reportDelay        = 420 * time.Millisecond
	loadChangeInterval = 11 * time.Second // mean interval between changes of a connection's load
	messageServiceTime = 7360 * time.Microsecond
	maxBacklog         = 1.36 // seconds of work
	groupSize          = 11.2 // connections per group
	hotNodeInterval    = 10   // one node in this many is hot,
	hotNodeFactor      = 3.2  // and gets this many times the requests of the others
	// Operators count a node as starved if it refuses all its requests for at least starvedDuration, and at least
	// starvedRefusals of them, without an attempt in between.
	starvedDuration = 4 * time.Second
	starvedRefusals = 15
)

// Plan is the configuration of a run.
type Plan struct {
	Nodes int
	Load  float64 // of the fleet at the start, as a fraction of its capacity, without the cost of groups
	Burst float64 // connections that arrive at once in the middle of the run, as a fraction of those at the start
	Seed  uint64
}

// Outcome is the result of a run.
type Outcome struct {
	Served        float64   // value of the seconds in which clients were served, divided by that of all seconds that they wanted
	ServedByClass []float64 // the same, by class
	Starved       int       // nodes that refused all their requests for 4 s, fifteen or more
	Requests      int       // repeated ones included
	Refused       int
	Attempts      int
	Probes        int
	Moves         int
	MeanRatio     float64 // actual load of the fleet divided by its capacity, at the end
}

func (o Outcome) String() string {
	return fmt.Sprintf("served %.3f %.3f, %d nodes starved, %d requests, %d refused, %d attempts, %d probes, %d moves, mean %.2f",
		o.Served, o.ServedByClass, o.Starved, o.Requests, o.Refused, o.Attempts, o.Probes, o.Moves, o.MeanRatio)
}

// clientClass is a class of clients: its share of the arrivals, and its mean load and lifetime relative to the average.
type clientClass struct {
	settings              balance.Class
	share, load, lifetime float64
}

type host struct {
	id            balance.ServerID
	capacity      float64
	conns         []*client // in the order in which they were established
	groups        map[string]int
	load          float64
	backlog       float64 // seconds of work
	reportedRatio float64 // load divided by capacity
}

func (h *host) ratio() float64 { return h.load / h.capacity }

type client struct {
	classIndex      int
	tenant          string
	group           string
	usualLoad, load float64
	lifetime        time.Duration
	endsAt          time.Duration
	host            *host // nil while the client is not served
	node            *node
	id              balance.RequestID
	failedAttempts  int
	returning       bool
}

type node struct {
	balancer       *balance.Balancer
	clients        map[balance.RequestID]*client
	slowReportedAt map[*host]time.Duration
	refusals       int // since the last attempt
	lastAttempt    time.Duration
	starved        bool
}

// world is the state of a run.
type world struct {
	plan                     Plan
	rng                      *rand.Rand
	now                      time.Duration
	events                   eventQueue
	eventCount               int
	lastID                   balance.RequestID
	classes                  []clientClass
	nodes                    []*node
	hosts                    []*host
	byID                     map[balance.ServerID]*host
	wanting                  []*client
	capacity                 float64
	servedValue, wantedValue []float64 // by class
	out                      Outcome
	totalServed, totalWanted float64
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events, ordered by time, and at the same time by the order in which they were scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// Run simulates a plan. Equal plans give equal outcomes.
func Run(p Plan) Outcome {
	w := &world{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 7)), byID: map[balance.ServerID]*host{}}
	w.setUpFleet()
	w.startTraffic()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if w.now = e.at; w.now >= duration {
			break
		}
		e.run()
	}
	w.out.Served = w.totalServed / w.totalWanted
	for i := range w.classes {
		w.out.ServedByClass = append(w.out.ServedByClass, w.servedValue[i]/w.wantedValue[i])
	}
	for _, n := range w.nodes {
		if n.starved {
			w.out.Starved++
		}
	}
	for _, h := range w.hosts {
		w.out.MeanRatio += h.load / w.capacity
	}
	return w.out
}

// schedule schedules an event after a delay.
func (w *world) schedule(d time.Duration, run func()) {
	w.eventCount++
	heap.Push(&w.events, event{w.now + d, w.eventCount, run})
}

// uniform returns a duration with a uniform distribution up to d.
func (w *world) uniform(d time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(d))
}

// exponential returns a duration with an exponential distribution of mean d.
func (w *world) exponential(d time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(d))
}

// logNormal returns a factor with a log-normal distribution of mean one.
func (w *world) logNormal(sigma float64) float64 {
	return math.Exp(w.rng.NormFloat64()*sigma - sigma*sigma/2)
}

// setUpFleet creates the nodes and the hosts.
func (w *world) setUpFleet() {
	const ms = time.Millisecond
	class := func(name string, value float64, latencyTarget, deadline, message time.Duration) balance.Class {
		return balance.Class{Name: name, LatencyTarget: latencyTarget, Deadline: deadline, Streamed: true,
			MessageLatencyTarget: message, Value: value}
	}
	w.classes = []clientClass{
		{class("a", 3, 300*ms, 1200*ms, 250*ms), 0.31, 1, 1},
		{class("b", 2, 500*ms, 3000*ms, 60*ms), 0.30, 3.9, 0.8},
		{class("c", 3, 800*ms, 3200*ms, 60*ms), 0.25, 7, 2.7},
		{class("d", 1, 800*ms, 3200*ms, 60*ms), 0.14, 6, 0.9},
	}
	var lifetimeSum, loadSum float64
	for _, k := range w.classes {
		lifetimeSum += k.share * k.lifetime
		loadSum += k.share * k.lifetime * k.load
	}
	settings := balance.Settings{Balancers: w.plan.Nodes, Zone: "here", MaxAttempts: 4, Tick: 5 * ms, Probes: true,
		MaxRetryAfter: 1500 * ms, WeightsNominal: true, ConnectTimeout: 250 * ms,
		Safety: balance.Safety{AnswerSlack: 50 * ms, DrainGrace: 2 * time.Second, ListRefreshInterval: 10 * time.Second, ColdCapacity: 0.37,
			WarmUp: 8 * time.Second, OverloadFactor: 3, OverloadWindow: 1500 * ms},
		Prices: balance.Prices{Probe: 0.0019, Move: 0.022}}
	for i := range w.classes {
		// Makes the mean load of the open connections one, and the mean lifetime of all connections meanLifetime.
		w.classes[i].lifetime /= lifetimeSum
		w.classes[i].load *= lifetimeSum / loadSum
		settings.Classes = append(settings.Classes, w.classes[i].settings)
	}
	w.servedValue, w.wantedValue = make([]float64, len(w.classes)), make([]float64, len(w.classes))
	var list []balance.Listing
	for i := range w.plan.Nodes * 3 / 10 {
		weight := 3.0
		if w.rng.Float64() < 0.38 {
			weight = 1.5
		}
		h := &host{id: balance.ServerID(fmt.Sprint("h", i)), capacity: weight * 18.7 * w.logNormal(0.15), groups: map[string]int{}}
		w.capacity += h.capacity
		w.hosts = append(w.hosts, h)
		w.byID[h.id] = h
		list = append(list, balance.Listing{Server: h.id, Zone: "here", Cell: i / 6, Weight: weight, State: balance.Ready})
		w.schedule(w.uniform(reportInterval), func() { w.report(h) })
	}
	settings.Tenants = []balance.Tenant{{Name: "k", Share: 0.55, Quota: 0.506 * w.capacity},
		{Name: "l", Share: 0.45, Quota: 0.414 * w.capacity}}
	for i := range w.plan.Nodes {
		settings.Self = i
		n := &node{balancer: balance.New(settings, w.plan.Seed*1000+uint64(i)), clients: map[balance.RequestID]*client{},
			slowReportedAt: map[*host]time.Duration{}}
		w.nodes = append(w.nodes, n)
		w.handle(n, balance.ServerList{Kind: balance.ListFull, Entries: list})
	}
	w.schedule(0, w.advance)
}

// startTraffic schedules the arrivals of clients: those of the start, new ones all the time, and a burst.
func (w *world) startTraffic() {
	open := w.plan.Load * w.capacity
	for range int(open * 0.77) {
		c := w.newClient(true)
		c.lifetime = max(c.lifetime, w.exponential(2*meanLifetime))
		w.schedule(w.uniform(rampUp), func() { w.startClient(c) })
	}
	var next func()
	next = func() {
		w.startClient(w.newClient(false))
		w.schedule(w.exponential(time.Duration(float64(meanLifetime)/open)), next)
	}
	w.schedule(w.exponential(time.Duration(float64(meanLifetime)/open)), next)
	w.schedule(burstAt, func() {
		for range int(w.plan.Burst * open) {
			c := w.newClient(true)
			w.schedule(w.exponential(700*time.Millisecond), func() { w.startClient(c) })
		}
	})
}

// newClient draws a client, with open set from the distribution of the open connections, otherwise from that of the arrivals.
func (w *world) newClient(open bool) *client {
	weight := func(k clientClass) float64 {
		if open {
			return k.share * k.lifetime
		}
		return k.share
	}
	total := 0.0
	for _, k := range w.classes {
		total += weight(k)
	}
	rest, chosen := w.rng.Float64()*total, 0
	for rest -= weight(w.classes[0]); rest > 0 && chosen+1 < len(w.classes); rest -= weight(w.classes[chosen]) {
		chosen++
	}
	k := w.classes[chosen]
	c := &client{classIndex: chosen, tenant: "l", usualLoad: k.load * w.logNormal(1.25)}
	if w.rng.Float64() < 0.374 {
		c.tenant = "k"
	}
	groups := max(4, w.plan.Load*w.capacity/groupSize)
	c.group = fmt.Sprint("g", int(math.Pow(w.rng.Float64(), 2.5)*groups))
	c.lifetime = time.Duration(float64(meanLifetime) * k.lifetime * w.logNormal(1.2))
	w.drawLoad(c)
	return c
}

// drawLoad draws the current load of a connection: an idle one, or one around the usual load.
func (w *world) drawLoad(c *client) {
	if c.load = c.usualLoad * w.logNormal(0.67) / 0.77; w.rng.Float64() < 0.24 {
		c.load = c.usualLoad / 20
	}
}

// startClient makes a client send its request, and schedules its changes of load and its end.
func (w *world) startClient(c *client) {
	c.endsAt = w.now + c.lifetime
	w.wanting = append(w.wanting, c)
	w.sendRequest(c)
	var change func()
	change = func() {
		if w.now >= c.endsAt {
			return
		}
		before := c.load
		if w.drawLoad(c); c.host != nil {
			c.host.load += c.load - before
			w.handle(c.node, balance.LoadChanged{Request: c.id, Load: c.load * 1000})
		}
		w.schedule(w.exponential(loadChangeInterval), change)
	}
	w.schedule(w.exponential(loadChangeInterval), change)
	w.schedule(c.lifetime, func() {
		if c.host != nil {
			w.closeConn(c, balance.OK)
		}
	})
}

// sendRequest sends a client's request to a random node. Hot nodes get several times as many as the others.
func (w *world) sendRequest(c *client) {
	if w.now >= c.endsAt {
		return
	}
	hot := (len(w.nodes) + hotNodeInterval - 1) / hotNodeInterval
	i := w.rng.IntN(len(w.nodes))
	if extra := (hotNodeFactor - 1) * float64(hot); w.rng.Float64() < extra/(extra+float64(len(w.nodes))) {
		i = w.rng.IntN(hot)
	}
	w.lastID++
	c.id, c.node = w.lastID, w.nodes[i]
	c.node.clients[c.id] = c
	w.out.Requests++
	class := w.classes[c.classIndex].settings
	w.handle(c.node, balance.Arrival{Request: c.id, Class: class.Name, Tenant: c.tenant, Group: c.group, TimeLeft: class.Deadline,
		Returning: c.returning})
}

// handle passes an event to a node and carries out the actions that it returns.
func (w *world) handle(n *node, ev balance.Event) {
	for _, a := range slices.Clone(n.balancer.Handle(w.now+time.Second, ev)) {
		switch a := a.(type) {
		case balance.SetTimer:
			w.schedule(a.After, func() { w.handle(n, balance.TimerFired{Token: a.Token}) })
		case balance.Probe:
			w.out.Probes++
			h := w.byID[a.Server]
			w.schedule(2*time.Millisecond, func() {
				w.handle(n, balance.Probed{Server: h.id, Report: balance.Report{
					Known: balance.HasRatio | balance.HasLatency, Ratio: h.reportedRatio, Latency: 3 + 1000*h.backlog}})
			})
		case balance.Place:
			n.refusals, n.lastAttempt = 0, w.now
			w.out.Attempts++
			w.setUpConn(n, a)
		case balance.Refuse:
			w.refuse(n, a.Request, a.RetryAfter)
		case balance.Fail:
			w.refuse(n, a.Request, 500*time.Millisecond)
		case balance.Move:
			if c := n.clients[a.Request]; c != nil && c.host != nil {
				w.out.Moves++
				w.disconnect(c, balance.Cancelled, 73*time.Millisecond)
			}
		}
	}
}

// setUpConn carries out an attempt: the connection is established once the host has worked off its backlog, or the attempt
// times out.
func (w *world) setUpConn(n *node, p balance.Place) {
	c, h := n.clients[p.Request], w.byID[p.Server]
	setUpTime := 15*time.Millisecond + time.Duration(h.backlog*float64(time.Second))
	attempt := c.failedAttempts // the number of the attempt is the number of failed ones before it
	w.schedule(min(setUpTime, p.Timeout), func() {
		switch {
		case setUpTime > p.Timeout:
			c.failedAttempts++
			w.handle(n, balance.Ended{Request: p.Request, Attempt: attempt, Outcome: balance.TimedOut})
			return
		case w.now >= c.endsAt:
			delete(n.clients, p.Request)
			w.handle(n, balance.Ended{Request: p.Request, Attempt: attempt, Outcome: balance.OK, Final: true})
			return
		}
		c.host = h
		h.conns = append(h.conns, c)
		h.load += c.load
		if h.groups[c.group]++; h.groups[c.group] == 1 {
			h.load++
		}
		w.handle(n, balance.Established{Request: p.Request, Attempt: attempt})
		w.handle(n, balance.LoadChanged{Request: p.Request, Load: c.load * 1000})
	})
}

// refuse makes a client return after a wait, and counts the refusal.
func (w *world) refuse(n *node, id balance.RequestID, wait time.Duration) {
	w.out.Refused++
	c := n.clients[id]
	delete(n.clients, id)
	c.failedAttempts, c.returning = 0, true
	w.schedule(wait, func() { w.sendRequest(c) })
	n.refusals++
	n.starved = n.starved || n.refusals >= starvedRefusals && w.now-n.lastAttempt >= starvedDuration
}

// closeConn ends a connection.
func (w *world) closeConn(c *client, outcome balance.Outcome) {
	h, n, id, attempt := c.host, c.node, c.id, c.failedAttempts
	c.host, c.failedAttempts = nil, 0
	h.load -= c.load
	if h.groups[c.group]--; h.groups[c.group] == 0 {
		h.load--
	}
	h.conns = slices.DeleteFunc(h.conns, func(other *client) bool { return other == c })
	w.schedule(0, func() {
		delete(n.clients, id)
		w.handle(n, balance.Ended{Request: id, Attempt: attempt, Outcome: outcome, Final: true})
	})
}

// disconnect ends a connection and makes its client return after a pause.
func (w *world) disconnect(c *client, outcome balance.Outcome, pause time.Duration) {
	w.closeConn(c, outcome)
	c.returning = true
	w.schedule(pause, func() { w.sendRequest(c) })
}

// report reports a host's ratio, with a small measurement error, and schedules the next report.
func (w *world) report(h *host) {
	ratio := h.ratio() * (1 + 0.008*w.rng.NormFloat64())
	w.schedule(reportDelay, func() { h.reportedRatio = ratio })
	w.schedule(reportInterval, func() { w.report(h) })
}

// advance simulates one time step at all hosts, and adds up the value that clients got in it.
func (w *world) advance() {
	w.schedule(step, w.advance)
	for _, h := range w.hosts {
		h.backlog = max(0, h.backlog+(h.ratio()-1)*step.Seconds())
		if h.backlog > maxBacklog && len(h.conns) > 0 {
			w.disconnect(h.conns[len(h.conns)-1], balance.Reset, 158*time.Millisecond)
		}
		slow := h.backlog > 0.02
		for _, c := range h.conns {
			reportedAt := c.node.slowReportedAt[h]
			if slow && w.now-reportedAt < time.Second || !slow && reportedAt == 0 {
				continue
			}
			c.node.slowReportedAt[h] = 0
			if slow {
				c.node.slowReportedAt[h] = w.now
			}
			took := time.Duration(h.backlog * float64(time.Second))
			w.schedule(0, func() {
				if c.host == h {
					w.handle(c.node, balance.MessageLatency{Request: c.id, Took: took})
				}
			})
		}
	}
	w.wanting = slices.DeleteFunc(w.wanting, func(c *client) bool { return w.now >= c.endsAt })
	for _, c := range w.wanting {
		class := &w.classes[c.classIndex]
		value := class.settings.Value * step.Seconds()
		served := 0.0
		if h := c.host; h != nil && h.backlog < class.settings.MessageLatencyTarget.Seconds() {
			served = value * (1 - min(1, h.ratio())*
				math.Exp(-max(0, 1-h.ratio())*float64(class.settings.MessageLatencyTarget)/float64(messageServiceTime)))
		}
		w.totalWanted, w.wantedValue[c.classIndex] = w.totalWanted+value, w.wantedValue[c.classIndex]+value
		w.totalServed, w.servedValue[c.classIndex] = w.totalServed+served, w.servedValue[c.classIndex]+served
	}
}
