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

var figures = flag.Bool("figures", false, "run the measurements behind docs/design/affairs.md; takes minutes")

// requireFigures skips a measurement unless -figures is set.
func requireFigures(t *testing.T) {
	if !*figures {
		t.Skip("a measurement: needs -figures")
	}
}

// largeWorld is a province with 35 regencies: 300 nodes and 92 hosts, 20 of them shared by all sites.
var largeWorld = Options{Seed: 1, Levels: []Level{{1, 20, 5}, {35, 8, 3}}, Hosts: 2, SharedHosts: 20, LeaseDuration: 3 * time.Second,
	Limits: turns.Limits{Site: 1, Lookahead: 2, AgeStep: time.Minute}}

// TestControlTrafficOfManyNodes measures messages, bytes and the waiting times of turns, without faults:
// go test ./rehearsal/province -run ManyNodes -v -args -figures
func TestControlTrafficOfManyNodes(t *testing.T) {
	requireFigures(t)
	withWrites := largeWorld
	withWrites.TurnRequests = 2
	noWrites := withWrites
	noWrites.SharedHosts = 0 // without shared hosts, and without writes
	withWrites.Writes = 10
	for _, o := range []Options{
		noWrites, withWrites,
		{Levels: []Level{{35, 9, 3}}, Hosts: 3, TurnRequests: 2},
		{Levels: []Level{{1, 300, 5}}, Hosts: 90, TurnRequests: 20},
		{Levels: []Level{{1, 3000, 5}}, Hosts: 90, TurnRequests: 20},
	} {
		o.Seed, o.LeaseDuration, o.FaultPhase, o.QuietPhase = 1, 3*time.Second, 20*time.Second, 40*time.Second
		o.Limits = turns.Limits{Site: max(1, o.Hosts/10), Lookahead: 2, AgeStep: time.Minute}
		began := time.Now()
		got := Run(o, nil)
		nodes, sites := 0, 1
		for _, l := range o.Levels {
			sites *= l.Sites
			nodes += sites * l.Nodes
		}
		nodeSeconds := float64(nodes) * (o.FaultPhase + o.QuietPhase).Seconds()
		t.Logf("%v: %.1f messages and %.0f bytes per second and node, %.2f of the messages between sites; requests committed in %v (p99 %v), "+
			"granted in %v (p99 %v); %d turns done, %d not; %d writes; run time %v",
			o.Levels, float64(got.Messages)/nodeSeconds, float64(got.Bytes)/nodeSeconds, float64(got.SiteMessages)/nodeSeconds, Quantile(got.CommitTimes, 0.5),
			Quantile(got.CommitTimes, 0.99), Quantile(got.GrantTimes, 0.5), Quantile(got.GrantTimes, 0.99), got.Done, got.Unfinished, got.Committed, time.Since(began))
		assert.Empty(t, got.Violations)
	}
}

// TestBackAtOnce measures how long the writes of sites that were cut off take to reach the root site once all links are restored
// at the same time, and how long the root site's own writes take to commit before that and in the 10 s after:
// go test ./rehearsal/province -run BackAtOnce -v -args -figures
func TestBackAtOnce(t *testing.T) {
	requireFigures(t)
	for _, c := range []struct{ sites, writes, worlds int }{{1, 1, 8}, {35, 1, 1}, {1, 100, 8}, {35, 100, 1}, {1, 1000, 2}, {35, 1000, 1}} {
		var times, before, after []time.Duration
		began := time.Now()
		for seed := range uint64(c.worlds) {
			o := largeWorld
			o.Seed, o.SharedHosts = seed, 2
			a, u, th := reconnectTimes(o, c.sites, c.writes)
			times, before, after = append(times, a...), append(before, u...), append(after, th...)
		}
		t.Logf("%d sites with %d writes each, %d worlds: judged at the root site after %v (median), %v (p99), the last one after %v; "+
			"its own writes committed after %v (p99 of %d) before, %v (of %d) after the links are restored; run time %v", c.sites, c.writes, c.worlds, Quantile(times, 0.5), Quantile(times, 0.99),
			slices.Max(times), Quantile(before, 0.99), len(before), Quantile(after, 0.99), len(after), time.Since(began))
		assert.Len(t, times, c.sites*c.writes*c.worlds)
	}
}

// reconnectTimes cuts sites off at different times, lets each write, and restores all links at once. The root site writes five
// times a second. It returns the times until the sites' writes have a receipt at the root site, from when the links were restored,
// and the commit times of the root site's own writes before and after that.
func reconnectTimes(o Options, sites, writes int) (times, before, after []time.Duration) {
	w := newWorld(o, nil)
	w.startNodes()
	w.runUntil(10 * time.Second)
	root := w.sites[0]
	healedAt, done := time.Duration(0), false
	var writeAtRoot func()
	writeAtRoot = func() {
		if done {
			return
		}
		w.after(200*time.Millisecond, writeAtRoot)
		replica, writtenAt, healed := w.leaderOf(root), w.now, healedAt > 0
		localWrite := sitesync.LocalWrite{Kind: sitesync.Note, Subject: "note/top", Value: []byte("seen"), By: "staff"}
		replica.core.Write(replica.clock(), localWrite, func(_ control.Reply, err error) {
			switch took := w.now - writtenAt; {
			case err != nil:
			case healed:
				after = append(after, took)
			default:
				before = append(before, took)
			}
		})
	}
	w.after(2*time.Second, writeAtRoot)
	var heals []func()
	for _, site := range w.sites[1 : 1+sites] {
		w.after(w.randomUpTo(10*time.Second), func() { heals = append(heals, w.partition(site, root, true)) })
	}
	w.runUntil(21 * time.Second)
	pending := map[*siteState][]*write{}
	for _, site := range w.sites[1 : 1+sites] {
		for i := range writes {
			w.after(time.Duration(i)*5*time.Millisecond, func() {
				replica := w.leaderOf(site)
				write := &write{number: len(w.writes) + 1, site: site, subject: subject{sitesync.Note, fmt.Sprintf("note/%d", i%20)}}
				w.writes = append(w.writes, write)
				write.localWrite = sitesync.LocalWrite{Kind: write.kind, Subject: write.name, Value: fmt.Appendf(nil, "seen w%d", write.number), By: "staff"}
				w.submitWrite(write, replica, false)
				pending[site] = append(pending[site], write)
			})
		}
	}
	w.runUntil(40 * time.Second)
	for _, heal := range heals {
		heal()
	}
	healedAt = w.now
	for remaining := sites * writes; remaining > 0 && w.now < healedAt+10*time.Minute; {
		w.runUntil(w.now + 20*time.Millisecond)
		replica := w.reader(root)
		for _, site := range w.sites[1 : 1+sites] {
			for len(pending[site]) > 0 && w.readReceipt(root, replica, pending[site][0]) != "" { // a site's writes get their receipts in order
				times = append(times, w.now-healedAt)
				pending[site] = pending[site][1:]
				remaining--
			}
		}
	}
	w.runUntil(max(w.now, healedAt+10*time.Second))
	done = true
	return times, before, after
}

// leaderOf returns the node that leads a site, or the first node if none does.
func (w *World) leaderOf(site *siteState) *node {
	for _, n := range site.nodes {
		if n.up && n.core.Leading() {
			return n
		}
	}
	return site.nodes[0]
}

// TestTurnsThePlainWay runs the same worlds with turns granted by the consensus group and by a fixed order with a lock
// (Options.FixedOrder):
// go test ./rehearsal/province -run PlainWay -v -args -worlds 100 -figures
func TestTurnsThePlainWay(t *testing.T) {
	faultCases, seeds := [][2]bool{{true, true}}, 2
	if *figures {
		faultCases, seeds = [][2]bool{{false, false}, {false, true}, {true, false}, {true, true}}, *worlds
	}
	for _, faultCase := range faultCases {
		var sums [2]Tally
		for seed := *first; seed < *first+uint64(seeds); seed++ {
			for i := range sums {
				o := smallWorld
				o.Seed, o.Faults, o.Overrun, o.TurnRequests, o.FixedOrder = seed, faultCase[0], faultCase[1], 8, i == 1
				sums[i].add(Run(o, nil))
			}
		}
		for i, name := range []string{"consensus group", "fixed order with a lock"} {
			s := &sums[i]
			t.Logf("faults %v, overruns %v, %s: %d sends to hosts in work, %d times too many hosts in work, %d sends in total; %d of %d turns done; "+
				"granted after %v (median), %v (p99)",
				faultCase[0], faultCase[1], name, s.sentToHostsInWork(), len(s.Violations)-s.sentToHostsInWork(), s.Sent, s.Done, seeds*8, Quantile(s.GrantTimes, 0.5), Quantile(s.GrantTimes, 0.99))
		}
		assert.Empty(t, sums[0].Violations)
		assert.Zero(t, sums[0].Unfinished)
		if faultCase[0] {
			assert.NotZero(t, sums[1].sentToHostsInWork(), "the faults cause no violation with the fixed order, so the comparison shows nothing")
		}
	}
}
