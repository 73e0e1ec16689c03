package province

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lichenhitch/internal/choice/turns"
)

var smallWorld = Options{Seed: 1, Levels: []Level{{1, 5, 3}}, Hosts: 8, TurnRequests: 6, LeaseDuration: 3 * time.Second, Overrun: true,
	Limits: turns.Limits{Site: 2, Lookahead: 2, AgeStep: time.Minute}, FaultPhase: 60 * time.Second, QuietPhase: 120 * time.Second}

func TestOneSiteGrantsTurns(t *testing.T) {
	got := Run(smallWorld, nil)
	assert.Empty(t, got.Violations)
	assert.Equal(t, smallWorld.TurnRequests, got.Done)
	assert.Equal(t, 2, got.MaxInWork, "hosts in work at the same time: the limit is used and not exceeded")
}

var (
	worlds = flag.Int("worlds", 12, "number of worlds with faults to run")
	first  = flag.Uint64("first", 0, "seed of the first world")
	trace  = flag.Bool("trace", false, "log the events of each world")
)

// provinceShapes are the provinces that are run, in turn.
var provinceShapes = [][]Level{
	{{1, 3, 3}, {2, 3, 3}},
	{{1, 3, 1}, {2, 2, 1}, {2, 2, 1}},
	{{1, 5, 5}, {2, 3, 3}, {1, 2, 1}},
	{{1, 4, 3}, {1, 4, 3}, {2, 3, 3}},
}

// provinceOptions returns a world with sites of several levels.
func provinceOptions(seed uint64) Options {
	o := smallWorld
	o.Seed, o.Faults, o.Levels = seed, true, provinceShapes[seed%uint64(len(provinceShapes))]
	o.Hosts, o.SharedHosts, o.TurnRequests, o.Writes = 4, 2, 3, 12
	o.Limits.Site = 3
	o.FaultPhase, o.QuietPhase = 50*time.Second, 80*time.Second
	return o
}

// tracer returns a function that logs events of a world, nil without -trace.
func tracer(t *testing.T) func(time.Duration, string) {
	if !*trace {
		return nil
	}
	return func(at time.Duration, text string) { t.Log(at, text) }
}

// TestProvinceUnderFaults runs provinces from several seeds. A failure names its seed, which reproduces it:
// go test ./rehearsal/province -v -run Province -args -worlds 1 -first SEED -trace
func TestProvinceUnderFaults(t *testing.T) {
	var all Tally
	for seed := *first; seed < *first+uint64(*worlds); seed++ {
		got := Run(provinceOptions(seed), tracer(t))
		assert.Empty(t, got.Violations, "seed %d", seed)
		assert.Zero(t, got.Unfinished, "seed %d", seed)
		all.add(got)
		if (seed+1)%20 == 0 {
			t.Logf("up to seed %d", seed)
		}
	}
	t.Logf("%d writes committed, %d with their receipts, %d of those rejected, %d lost with their stores; "+
		"%d answers from sites above the parent; %d turns done, %d elections",
		all.Committed, all.Receipts, all.Rejected, all.LostWrites, all.BypassReplies, all.Done, all.Elections)
}

// TestSeedIsReproducible checks that a seed gives the same run again, so that a failure can be reproduced.
func TestSeedIsReproducible(t *testing.T) {
	o := provinceOptions(*first + 1)
	assert.Equal(t, Run(o, nil), Run(o, nil))
}

// TestTurnsUnderFaults runs worlds of one site from several seeds. A failure names its seed, which reproduces it:
// go test ./rehearsal/province -v -run Turns -args -worlds 1 -first SEED -trace
func TestTurnsUnderFaults(t *testing.T) {
	for seed := *first; seed < *first+uint64(*worlds); seed++ {
		o := smallWorld
		o.Seed, o.Faults = seed, true
		got := Run(o, tracer(t))
		assert.Empty(t, got.Violations, "seed %d", seed)
		assert.Zero(t, got.Unfinished, "seed %d", seed)
	}
}

func (t *Tally) add(o Tally) {
	t.Sent, t.Granted, t.Done, t.Unfinished = t.Sent+o.Sent, t.Granted+o.Granted, t.Done+o.Done, t.Unfinished+o.Unfinished
	t.Elections, t.Committed, t.Refused, t.Receipts = t.Elections+o.Elections, t.Committed+o.Committed, t.Refused+o.Refused, t.Receipts+o.Receipts
	t.Violations, t.GrantTimes = append(t.Violations, o.Violations...), append(t.GrantTimes, o.GrantTimes...)
	t.Rejected, t.LostWrites, t.BypassReplies = t.Rejected+o.Rejected, t.LostWrites+o.LostWrites, t.BypassReplies+o.BypassReplies
	t.GroupStates.merge(o.GroupStates)
	t.LeaderlessTimes = append(t.LeaderlessTimes, o.LeaderlessTimes...)
	t.TurnWaits.merge(o.TurnWaits)
}

// sentToHostsInWork returns how often new work was sent to a host in work.
func (t *Tally) sentToHostsInWork() (n int) {
	for _, b := range t.Violations {
		if strings.Contains(b, "is in work") {
			n++
		}
	}
	return n
}

// TestWritesReachTheRootSoonAfterReconnect checks that a site's writes reach the root site soon after its link is restored,
// whatever call was pending when the link was cut and when it was restored.
func TestWritesReachTheRootSoonAfterReconnect(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(6) {
		o := smallWorld
		o.Levels, o.Hosts, o.SharedHosts, o.TurnRequests = []Level{{1, 3, 3}, {3, 3, 3}}, 2, 2, 0
		o.Seed = seed
		reconnects, _, _ := reconnectTimes(o, 3, 1)
		times = append(times, reconnects...)
	}
	assert.Less(t, Quantile(times, 0.5), time.Second)
	assert.Less(t, Quantile(times, 1), 3*time.Second, "a call that was cut must not delay the next one: %v", times)
}

// TestAnIdleProvinceCommitsNothing checks that sites commit nothing once all of them know everything: neither repeated state from
// the site above, nor anything at intervals.
func TestAnIdleProvinceCommitsNothing(t *testing.T) {
	o := smallWorld
	o.Levels, o.Hosts, o.SharedHosts, o.TurnRequests = []Level{{1, 3, 3}, {2, 3, 3}, {2, 3, 3}}, 2, 2, 0
	w := newWorld(o, nil)
	w.startNodes()
	w.runUntil(40 * time.Second)
	before := map[*siteState]int{}
	for _, site := range w.sites {
		before[site] = len(site.nodes[0].entrySizes)
	}
	w.runUntil(100 * time.Second)
	for _, site := range w.sites {
		all, bytes := site.nodes[0].entrySizes[before[site]:], 0
		for _, n := range all {
			bytes += n
		}
		t.Logf("%s: %d entries with %d bytes in a minute", site.name, len(all), bytes)
		assert.Empty(t, all, site.name)
	}
}
