// Package rolloutsim takes policies down a province in virtual time: sites, nodes and their traffic with its noise (quiet
// nights, drift, retries, trouble of a node, of a zone and of links, work on hosts), the top of package rollout at the seats of
// a council whose leader dies, sites that carry documents down and records up (late, lost, repeated), and a holder and a teller
// at each node. Check watches the properties P1 to P7 against what the
// world knows; Plants are bugs that it has to find. Plain is the way without evidence of one's own kind: stages by the
// clock with a fixed threshold.
package rolloutsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lichenhitch/internal/choice/rollout"
)

// The classes: their part of the requests and of those that are lost.
var classes = []struct {
	name        string
	share, lost float64
}{{"browse", 0.6, 0.01}, {"write", 0.3, 0.03}, {"stream", 0.1, 0.05}}

// Noise is how much of what is not the policy's doing there is: events a day, each of a fleet of 300 nodes.
type Noise struct {
	NodeTrouble float64 // one node loses 5 to 50% more
	ZoneTrouble float64 // all nodes of one building lose 30 to 100%
	CutOff      float64 // a regency cannot be heard
	Work        float64 // hosts of a zone are in work, which costs its nodes up to 5%
}

// Ordinary is the noise of the tables.
var Ordinary = Noise{NodeTrouble: 10, ZoneTrouble: 5, CutOff: 2, Work: 4}

// site is a building with its nodes.
type host struct {
	name     string
	site     int
	regency  int
	size     float64 // requests in a slice at noon
	own      float64 // of the loss: what this node has more than others
	rng      *rand.Rand
	trouble  []event
	reg      int
	counters map[string]int
}

type event struct {
	from, to time.Duration
	loss     float64
}

func (e event) at(t time.Duration) bool { return t >= e.from && t < e.to }

func lossAt(events []event, t time.Duration) float64 {
	kept := 1.0
	for _, e := range events {
		if e.at(t) {
			kept *= 1 - e.loss
		}
	}
	return 1 - kept
}

func anyAt(events []event, t time.Duration) bool {
	for _, e := range events {
		if e.at(t) {
			return true
		}
	}
	return false
}

// world is the province.
type world struct {
	tree     rollout.Tree
	hosts    []*host
	site     []string
	regency  []int     // by site
	zones    [][]event // trouble, by site
	work     [][]event // by site
	cut      [][]event // by regency
	all      []event   // trouble of the whole fleet
	phase    float64   // the hour at time 0
	drift    float64
	regencys int
}

// newWorld builds regencies with nodes in all, and events up to a time. The same seed is the same world, whatever policies
// come.
func newWorld(seed uint64, regencies, nodes int, noise Noise, until time.Duration) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &world{phase: 24 * rng.Float64(), drift: 0.01 * rng.Float64(), regencys: regencies}
	for r := range regencies {
		left := nodes*(r+1)/regencies - nodes*r/regencies
		name := fmt.Sprintf("regency-%02d", r)
		w.tree.Sites = append(w.tree.Sites, rollout.Site{Name: name, Parent: "province"})
		for b := 0; left > 0; b++ {
			n := min(left, 2+rng.IntN(3))
			if left-n == 1 {
				n = left
			}
			s := rollout.Site{Name: fmt.Sprintf("%s/%d", name, b), Parent: name}
			for range n {
				h := &host{name: fmt.Sprintf("node-%03d", len(w.hosts)), site: len(w.site), regency: r,
					size: 2000 * math.Exp(0.5*rng.NormFloat64()), own: 0.003 * rng.NormFloat64(),
					rng: rand.New(rand.NewPCG(seed, uint64(len(w.hosts))+2))}
				w.hosts = append(w.hosts, h)
				s.Nodes = append(s.Nodes, rollout.TreeNode{Name: h.name, Zone: s.Name})
			}
			w.tree.Sites = append(w.tree.Sites, s)
			w.site = append(w.site, s.Name)
			w.regency = append(w.regency, r)
			left -= n
		}
	}
	w.zones, w.work, w.cut = make([][]event, len(w.site)), make([][]event, len(w.site)), make([][]event, regencies)
	each := func(perDay float64, longest time.Duration, f func(e event)) {
		perDay *= float64(nodes) / 300
		for at := time.Duration(0); perDay > 0; {
			at += time.Duration(rng.ExpFloat64() / perDay * float64(24*time.Hour))
			if at > until {
				return
			}
			f(event{at, at + 30*time.Minute + time.Duration(rng.Float64()*float64(longest)), rng.Float64()})
		}
	}
	each(noise.NodeTrouble, 6*time.Hour, func(e event) {
		h := w.hosts[rng.IntN(nodes)]
		e.loss = 0.05 + 0.45*e.loss
		h.trouble = append(h.trouble, e)
	})
	each(noise.ZoneTrouble, 4*time.Hour, func(e event) {
		s := rng.IntN(len(w.site))
		e.loss = 0.3 + 0.7*e.loss
		w.zones[s] = append(w.zones[s], e)
	})
	each(noise.CutOff, 6*time.Hour, func(e event) {
		r := rng.IntN(regencies)
		w.cut[r] = append(w.cut[r], e)
	})
	each(noise.Work, time.Hour, func(e event) {
		s := rng.IntN(len(w.site))
		e.loss *= 0.05
		w.work[s] = append(w.work[s], e)
	})
	each(noise.ZoneTrouble/5, time.Hour, func(e event) {
		e.loss *= 0.1
		w.all = append(w.all, e)
	})
	return w
}

// busy is the day's curve: 1 at noon, 3% in the dead of night.
func (w *world) busy(at time.Duration) float64 {
	hour := math.Mod(w.phase+at.Hours(), 24)
	return max(0.03, 0.55-0.6*math.Cos(2*math.Pi*(hour-1)/24))
}

// counts are the requests of a node in the slice that begins at a time, with a loss more than ordinary in each class and
// times as many slow set-ups. Every slice draws as much, so that the policy changes nothing but what it is to change.
func (w *world) counts(h *host, at time.Duration, more func(class int) float64) []rollout.Counts {
	out := make([]rollout.Counts, 0, len(classes))
	common := 1 - (1-lossAt(h.trouble, at))*(1-lossAt(w.zones[h.site], at))*(1-lossAt(w.work[h.site], at))*(1-lossAt(w.all, at))
	drift := w.drift * (1 + math.Sin(2*math.Pi*at.Hours()/17)) / 2
	for i, c := range classes {
		a, b, d := h.rng.NormFloat64(), h.rng.NormFloat64(), h.rng.NormFloat64()
		n := math.Round(h.size * w.busy(at) * c.share * math.Exp(0.1*a))
		p := max(0, c.lost*(1+0.3*b)+h.own+drift)
		p = 1 - (1-p)*(1-common)
		if more != nil {
			p = 1 - (1-p)*(1-more(i))
		}
		p = min(max(p, 0), 1)
		const burst = 4 // a client that fails comes again, and fails again
		f := min(max(math.Round(n*p+math.Sqrt(n*p*(1-p)*burst)*d), 0), n)
		out = append(out, rollout.Counts{Class: c.name, Offered: uint64(n), Served: uint64(n - f), Failed: uint64(f)})
	}
	return out
}
