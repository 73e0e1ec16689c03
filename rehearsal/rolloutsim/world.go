// Package rolloutsim simulates the rollout of policies in a province in virtual time: sites, nodes and their traffic
// with its noise (quiet nights, drift, retries, trouble of a node, of a zone and of links, maintenance of hosts), the
// root state of package rollout at the replicas of a consensus group whose leader dies, sites that pass policies down
// and records up (late, lost, repeated), and a NodePolicy and a Reporter at each node. A check compares the
// properties P1 to P7 of package rollout with the true state of the world. It also checks T1 (the state has each node's
// newest status and counts no request twice) and "seats" (all replicas have the same state). InjectedBugs are bugs that
// the check must find. RunByClock is the alternative without statistical evidence: stages by the clock and a fixed
// threshold.
package rolloutsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lichenhitch/internal/choice/rollout"
)

// classes are the request classes: share of the requests, and fraction lost without a regression.
var classes = []struct {
	name        string
	share, lost float64
}{{"browse", 0.6, 0.01}, {"write", 0.3, 0.03}, {"stream", 0.1, 0.05}}

// Noise is how many disturbances have other causes than the policy: events a day in a fleet of 300 nodes.
type Noise struct {
	NodeTrouble float64 // one node loses 5 to 50% more
	ZoneTrouble float64 // all nodes of one building lose 30 to 100%
	CutOff      float64 // a regency is unreachable
	Maintenance float64 // hosts of a zone are in maintenance, which costs its nodes up to 5%
}

// Ordinary is the noise of the tables.
var Ordinary = Noise{NodeTrouble: 10, ZoneTrouble: 5, CutOff: 2, Maintenance: 4}

// nodeTraffic is a node's place in the tree of sites and its traffic.
type nodeTraffic struct {
	name         string
	site         int
	regency      int
	noonRequests float64 // requests in a slice at noon
	ownLoss      float64 // the node's difference from the usual loss
	rng          *rand.Rand
	trouble      []event
	reg          int
	counters     map[string]int
}

type event struct {
	from, to time.Duration
	loss     float64
}

func (e event) activeAt(t time.Duration) bool { return t >= e.from && t < e.to }

func lossAt(events []event, t time.Duration) float64 {
	kept := 1.0
	for _, e := range events {
		if e.activeAt(t) {
			kept *= 1 - e.loss
		}
	}
	return 1 - kept
}

func anyAt(events []event, t time.Duration) bool {
	for _, e := range events {
		if e.activeAt(t) {
			return true
		}
	}
	return false
}

// world is the province.
type world struct {
	tree         rollout.Tree
	nodes        []*nodeTraffic
	siteNames    []string
	siteRegency  []int     // by site
	zoneTrouble  [][]event // by site
	maintenance  [][]event // by site
	cutOff       [][]event // by regency
	fleetTrouble []event   // trouble of the whole fleet
	startHour    float64   // hour of the day at time 0
	drift        float64
	regencies    int
}

// newWorld returns a world with the given number of regencies and total number of nodes, and with events until the
// given time. The same seed gives the same world, whatever policies are rolled out.
func newWorld(seed uint64, regencies, nodes int, noise Noise, until time.Duration) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &world{startHour: 24 * rng.Float64(), drift: 0.01 * rng.Float64(), regencies: regencies}
	for r := range regencies {
		remaining := nodes*(r+1)/regencies - nodes*r/regencies
		name := fmt.Sprintf("regency-%02d", r)
		w.tree.Sites = append(w.tree.Sites, rollout.Site{Name: name, Parent: "province"})
		for b := 0; remaining > 0; b++ {
			n := min(remaining, 2+rng.IntN(3))
			if remaining-n == 1 {
				n = remaining
			}
			s := rollout.Site{Name: fmt.Sprintf("%s/%d", name, b), Parent: name}
			for range n {
				h := &nodeTraffic{name: fmt.Sprintf("node-%03d", len(w.nodes)), site: len(w.siteNames), regency: r,
					noonRequests: 2000 * math.Exp(0.5*rng.NormFloat64()), ownLoss: 0.003 * rng.NormFloat64(),
					rng: rand.New(rand.NewPCG(seed, uint64(len(w.nodes))+2))}
				w.nodes = append(w.nodes, h)
				s.Nodes = append(s.Nodes, rollout.TreeNode{Name: h.name, Zone: s.Name})
			}
			w.tree.Sites = append(w.tree.Sites, s)
			w.siteNames = append(w.siteNames, s.Name)
			w.siteRegency = append(w.siteRegency, r)
			remaining -= n
		}
	}
	w.zoneTrouble, w.maintenance, w.cutOff = make([][]event, len(w.siteNames)), make([][]event, len(w.siteNames)), make([][]event, regencies)
	forEachEvent := func(perDay float64, maxExtra time.Duration, f func(e event)) {
		perDay *= float64(nodes) / 300
		for at := time.Duration(0); perDay > 0; {
			at += time.Duration(rng.ExpFloat64() / perDay * float64(24*time.Hour))
			if at > until {
				return
			}
			f(event{at, at + 30*time.Minute + time.Duration(rng.Float64()*float64(maxExtra)), rng.Float64()})
		}
	}
	forEachEvent(noise.NodeTrouble, 6*time.Hour, func(e event) {
		h := w.nodes[rng.IntN(nodes)]
		e.loss = 0.05 + 0.45*e.loss
		h.trouble = append(h.trouble, e)
	})
	forEachEvent(noise.ZoneTrouble, 4*time.Hour, func(e event) {
		s := rng.IntN(len(w.siteNames))
		e.loss = 0.3 + 0.7*e.loss
		w.zoneTrouble[s] = append(w.zoneTrouble[s], e)
	})
	forEachEvent(noise.CutOff, 6*time.Hour, func(e event) {
		r := rng.IntN(regencies)
		w.cutOff[r] = append(w.cutOff[r], e)
	})
	forEachEvent(noise.Maintenance, time.Hour, func(e event) {
		s := rng.IntN(len(w.siteNames))
		e.loss *= 0.05
		w.maintenance[s] = append(w.maintenance[s], e)
	})
	forEachEvent(noise.ZoneTrouble/5, time.Hour, func(e event) {
		e.loss *= 0.1
		w.fleetTrouble = append(w.fleetTrouble, e)
	})
	return w
}

// loadFactor is the load by time of day: 1 at noon, 3% in the middle of the night.
func (w *world) loadFactor(at time.Duration) float64 {
	hour := math.Mod(w.startHour+at.Hours(), 24)
	return max(0.03, 0.55-0.6*math.Cos(2*math.Pi*(hour-1)/24))
}

// counts returns the requests of a node in the slice that begins at a time. extraLoss, if not nil, is an additional
// loss by class. Every slice draws the same number of random values, so that a policy changes nothing but the losses.
func (w *world) counts(h *nodeTraffic, at time.Duration, extraLoss func(class int) float64) []rollout.Counts {
	out := make([]rollout.Counts, 0, len(classes))
	sharedLoss := 1 - (1-lossAt(h.trouble, at))*(1-lossAt(w.zoneTrouble[h.site], at))*
		(1-lossAt(w.maintenance[h.site], at))*(1-lossAt(w.fleetTrouble, at))
	drift := w.drift * (1 + math.Sin(2*math.Pi*at.Hours()/17)) / 2
	for i, c := range classes {
		sizeNoise, lossNoise, countNoise := h.rng.NormFloat64(), h.rng.NormFloat64(), h.rng.NormFloat64()
		n := math.Round(h.noonRequests * w.loadFactor(at) * c.share * math.Exp(0.1*sizeNoise))
		p := max(0, c.lost*(1+0.3*lossNoise)+h.ownLoss+drift)
		p = 1 - (1-p)*(1-sharedLoss)
		if extraLoss != nil {
			p = 1 - (1-p)*(1-extraLoss(i))
		}
		p = min(max(p, 0), 1)
		const burst = 4 // a client whose request fails retries, and fails again
		f := min(max(math.Round(n*p+math.Sqrt(n*p*(1-p)*burst)*countNoise), 0), n)
		out = append(out, rollout.Counts{Class: c.name, Offered: uint64(n), Served: uint64(n - f), Failed: uint64(f)})
	}
	return out
}
