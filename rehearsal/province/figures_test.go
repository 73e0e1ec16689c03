package province

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/control"
)

var figures = flag.Bool("figures", false, "measure what docs/design/affairs.md tells of many nodes; takes minutes")

// skip leaves a test out that measures.
func skip(t *testing.T) {
	if !*figures {
		t.Skip("-figures")
	}
}

// large is 35 regencies below a province: 300 nodes, and 92 hosts, 20 of them common to all.
var large = Options{Seed: 1, Levels: []Level{{1, 20, 5}, {35, 8, 3}}, Hosts: 2, Hand: 20, Lasts: 3 * time.Second,
	Limits: turns.Limits{Site: 1, Lookahead: 2, AgeStep: time.Minute}}

// TestWhatManyNodesSay counts messages and bytes, and how long turns wait, with nothing broken:
// go test ./rehearsal/province -run ManyNodes -v -args -figures
func TestWhatManyNodesSay(t *testing.T) {
	skip(t)
	levels := large
	levels.Asks = 2
	still := levels
	still.Hand = 0 // nothing is written
	levels.Writes = 10
	for _, o := range []Options{
		still, levels,
		{Levels: []Level{{35, 9, 3}}, Hosts: 3, Asks: 2},
		{Levels: []Level{{1, 300, 5}}, Hosts: 90, Asks: 20},
		{Levels: []Level{{1, 3000, 5}}, Hosts: 90, Asks: 20},
	} {
		o.Seed, o.Lasts, o.For, o.Quiet = 1, 3*time.Second, 20*time.Second, 40*time.Second
		o.Limits = turns.Limits{Site: max(1, o.Hosts/10), Lookahead: 2, AgeStep: time.Minute}
		began := time.Now()
		got := Run(o, nil)
		nodes, sites := 0, 1
		for _, l := range o.Levels {
			sites *= l.Sites
			nodes += sites * l.Nodes
		}
		n := float64(nodes) * (o.For + o.Quiet).Seconds()
		t.Logf("%v: %.1f messages and %.0f bytes a second a node, %.2f messages of them between sites; agreed in %v (p99 %v), "+
			"granted in %v (p99 %v); %d done, %d not; %d writes; %v",
			o.Levels, float64(got.Messages)/n, float64(got.Bytes)/n, float64(got.Between)/n, Quantile(got.Agreed, 0.5),
			Quantile(got.Agreed, 0.99), Quantile(got.Waited, 0.5), Quantile(got.Waited, 0.99), got.Done, got.Undone, got.Written, time.Since(began))
		assert.Empty(t, got.Broken)
	}
}

// TestBackAtOnce measures how long writes of sites that were cut off take to be known at the top, from when their links are
// back, and how long the top's own take to be agreed on before that and in the 10 s after: go test ./rehearsal/province -run BackAtOnce -v -args -figures
func TestBackAtOnce(t *testing.T) {
	skip(t)
	for _, c := range []struct{ sites, writes, worlds int }{{1, 1, 8}, {35, 1, 1}, {1, 100, 8}, {35, 100, 1}, {1, 1000, 2}, {35, 1000, 1}} {
		var all, usual, then []time.Duration
		began := time.Now()
		for seed := range uint64(c.worlds) {
			o := large
			o.Seed, o.Hand = seed, 2
			a, u, th := backAtOnce(o, c.sites, c.writes)
			all, usual, then = append(all, a...), append(usual, u...), append(then, th...)
		}
		t.Logf("%d sites with %d writes each, %d worlds: known at the top after %v (median), %v (p99), the last one after %v; "+
			"the top's own after %v (p99 of %d), and then %v (of %d); %v", c.sites, c.writes, c.worlds, Quantile(all, 0.5), Quantile(all, 0.99),
			slices.Max(all), Quantile(usual, 0.99), len(usual), Quantile(then, 0.99), len(then), time.Since(began))
		assert.Len(t, all, c.sites*c.writes*c.worlds)
	}
}

// backAtOnce cuts sites off at different times, has each write, and mends all links at once. The top writes five times a second.
func backAtOnce(o Options, sites, writes int) (all, usual, then []time.Duration) {
	w := build(o, nil)
	w.begin()
	w.until(10 * time.Second)
	top := w.sites[0]
	healed, over := time.Duration(0), false
	var own func()
	own = func() {
		if over {
			return
		}
		w.after(200*time.Millisecond, own)
		s, at, after := w.leads(top), w.now, healed > 0
		l := sitesync.LocalWrite{Kind: sitesync.Note, Subject: "note/top", Value: []byte("seen"), By: "staff"}
		s.core.Write(s.clock(), l, func(_ control.Reply, err error) {
			switch took := w.now - at; {
			case err != nil:
			case after:
				then = append(then, took)
			default:
				usual = append(usual, took)
			}
		})
	}
	w.after(2*time.Second, own)
	var mends []func()
	for _, p := range w.sites[1 : 1+sites] {
		w.after(w.any(10*time.Second), func() { mends = append(mends, w.part(p, top, true)) })
	}
	w.until(21 * time.Second)
	todo := map[*place][]*write{}
	for _, p := range w.sites[1 : 1+sites] {
		for i := range writes {
			w.after(time.Duration(i)*5*time.Millisecond, func() {
				s := w.leads(p)
				x := &write{number: len(w.writes) + 1, site: p, subject: subject{sitesync.Note, fmt.Sprintf("note/%d", i%20)}}
				w.writes = append(w.writes, x)
				x.local = sitesync.LocalWrite{Kind: x.kind, Subject: x.thing, Value: fmt.Appendf(nil, "seen w%d", x.number), By: "staff"}
				w.handIn(x, s, false)
				todo[p] = append(todo[p], x)
			})
		}
	}
	w.until(40 * time.Second)
	for _, mend := range mends {
		mend()
	}
	healed = w.now
	for left := sites * writes; left > 0 && w.now < healed+10*time.Minute; {
		w.until(w.now + 20*time.Millisecond)
		s := w.reader(top)
		for _, p := range w.sites[1 : 1+sites] {
			for len(todo[p]) > 0 && w.receipt(top, s, todo[p][0]) != "" { // in the order of their numbers
				all = append(all, w.now-healed)
				todo[p] = todo[p][1:]
				left--
			}
		}
	}
	w.until(max(w.now, healed+10*time.Second))
	over = true
	return all, usual, then
}

// leads returns the node that leads a site.
func (w *World) leads(p *place) *node {
	for _, n := range p.nodes {
		if n.up && n.core.Leading() {
			return n
		}
	}
	return p.nodes[0]
}

// TestTurnsThePlainWay plays the same worlds with turns by the council and by a fixed order with a lock:
// go test ./rehearsal/province -run PlainWay -v -args -worlds 100 -figures
func TestTurnsThePlainWay(t *testing.T) {
	cases, n := [][2]bool{{true, true}}, 2
	if *figures {
		cases, n = [][2]bool{{false, false}, {false, true}, {true, false}, {true, true}}, *worlds
	}
	for _, c := range cases {
		var sums [2]Tally
		for seed := *first; seed < *first+uint64(n); seed++ {
			for i := range sums {
				o := small
				o.Seed, o.Faults, o.Overrun, o.Asks, o.Plain = seed, c[0], c[1], 8, i == 1
				sums[i].add(Run(o, nil))
			}
		}
		for i, name := range []string{"by the council", "the plain way"} {
			s := &sums[i]
			t.Logf("faults %v, overruns %v, %s: %d lines to hosts in work, %d times too many in work, of %d lines; %d of %d done; "+
				"granted after %v (median), %v (p99)",
				c[0], c[1], name, s.inWork(), len(s.Broken)-s.inWork(), s.Sent, s.Done, n*8, Quantile(s.Waited, 0.5), Quantile(s.Waited, 0.99))
		}
		assert.Empty(t, sums[0].Broken)
		assert.Zero(t, sums[0].Undone)
		if c[0] {
			assert.NotZero(t, sums[1].inWork(), "the faults show nothing")
		}
	}
}
