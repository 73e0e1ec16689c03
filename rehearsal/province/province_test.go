package province

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lichenhitch/internal/choice/turns"
)

var small = Options{Seed: 1, Levels: []Level{{1, 5, 3}}, Hosts: 8, Asks: 6, Lasts: 3 * time.Second, Overrun: true,
	Limits: turns.Limits{Site: 2, Lookahead: 2, AgeStep: time.Minute}, For: 60 * time.Second, Quiet: 120 * time.Second}

func TestOneSiteGivesTurns(t *testing.T) {
	got := Run(small, nil)
	assert.Empty(t, got.Broken)
	assert.Equal(t, small.Asks, got.Done)
	assert.Equal(t, 2, got.MostOut, "as many as are allowed")
}

var (
	worlds = flag.Int("worlds", 12, "how many worlds with faults are played")
	first  = flag.Uint64("first", 0, "the seed of the first one")
	trace  = flag.Bool("trace", false, "tell what happens in each")
)

// shapes are the provinces that are played, one after the other.
var shapes = [][]Level{
	{{1, 3, 3}, {2, 3, 3}},
	{{1, 3, 1}, {2, 2, 1}, {2, 2, 1}},
	{{1, 5, 5}, {2, 3, 3}, {1, 2, 1}},
	{{1, 4, 3}, {1, 4, 3}, {2, 3, 3}},
}

// province is a world of sites above each other.
func province(seed uint64) Options {
	o := small
	o.Seed, o.Faults, o.Levels = seed, true, shapes[seed%uint64(len(shapes))]
	o.Hosts, o.Hand, o.Asks, o.Writes = 4, 2, 3, 12
	o.Limits.Site = 3
	o.For, o.Quiet = 50*time.Second, 80*time.Second
	return o
}

func teller(t *testing.T) func(time.Duration, string) {
	if !*trace {
		return nil
	}
	return func(at time.Duration, text string) { t.Log(at, text) }
}

// TestProvinceUnderFaults plays provinces from some seeds; a failure names its seed, which plays it again:
// go test ./rehearsal/province -v -run Province -args -worlds 1 -first SEED -trace
func TestProvinceUnderFaults(t *testing.T) {
	var all Tally
	for seed := *first; seed < *first+uint64(*worlds); seed++ {
		got := Run(province(seed), teller(t))
		assert.Empty(t, got.Broken, "seed %d", seed)
		assert.Zero(t, got.Undone, "seed %d", seed)
		all.add(got)
		if (seed+1)%20 == 0 {
			t.Logf("up to seed %d", seed)
		}
	}
	t.Logf("%d writes agreed, %d with their receipts, %d of those not taken, %d lost with their stores; "+
		"%d answers from farther above; %d turns done, %d elections",
		all.Written, all.Receipts, all.NotTaken, all.Lost, all.Round, all.Done, all.Elections)
}

// TestASeedPlaysTheSame, so that a failure can be looked at again.
func TestASeedPlaysTheSame(t *testing.T) {
	o := province(*first + 1)
	assert.Equal(t, Run(o, nil), Run(o, nil))
}

// TestTurnsUnderFaults plays worlds from some seeds; a failure names its seed, which plays it again:
// go test ./rehearsal/province -v -run Turns -args -worlds 1 -first SEED -trace
func TestTurnsUnderFaults(t *testing.T) {
	for seed := *first; seed < *first+uint64(*worlds); seed++ {
		o := small
		o.Seed, o.Faults = seed, true
		got := Run(o, teller(t))
		assert.Empty(t, got.Broken, "seed %d", seed)
		assert.Zero(t, got.Undone, "seed %d", seed)
	}
}

func (t *Tally) add(o Tally) {
	t.Sent, t.Granted, t.Done, t.Undone = t.Sent+o.Sent, t.Granted+o.Granted, t.Done+o.Done, t.Undone+o.Undone
	t.Elections, t.Written, t.Refused, t.Receipts = t.Elections+o.Elections, t.Written+o.Written, t.Refused+o.Refused, t.Receipts+o.Receipts
	t.Broken, t.Waited = append(t.Broken, o.Broken...), append(t.Waited, o.Waited...)
	t.NotTaken, t.Lost, t.Round = t.NotTaken+o.NotTaken, t.Lost+o.Lost, t.Round+o.Round
	t.Council.merge(o.Council)
	t.Without = append(t.Without, o.Without...)
	t.Turns.merge(o.Turns)
}

// inWork is how often something was sent to a host in work.
func (t *Tally) inWork() (n int) {
	for _, b := range t.Broken {
		if strings.Contains(b, "is in work") {
			n++
		}
	}
	return n
}

// TestWhatWasWrittenIsKnownSoonAfterALinkIsBack, whatever call was out when it was cut, and when it came back.
func TestWhatWasWrittenIsKnownSoonAfterALinkIsBack(t *testing.T) {
	var all []time.Duration
	for seed := range uint64(6) {
		o := small
		o.Levels, o.Hosts, o.Hand, o.Asks = []Level{{1, 3, 3}, {3, 3, 3}}, 2, 2, 0
		o.Seed = seed
		known, _, _ := backAtOnce(o, 3, 1)
		all = append(all, known...)
	}
	assert.Less(t, Quantile(all, 0.5), time.Second)
	assert.Less(t, Quantile(all, 1), 3*time.Second, "no call is waited for that was cut: %v", all)
}

// TestAnIdleProvinceCommitsNothing once all is known everywhere: not what a site above tells though it is known, and nothing by time.
func TestAnIdleProvinceCommitsNothing(t *testing.T) {
	o := small
	o.Levels, o.Hosts, o.Hand, o.Asks = []Level{{1, 3, 3}, {2, 3, 3}, {2, 3, 3}}, 2, 2, 0
	w := build(o, nil)
	w.begin()
	w.until(40 * time.Second)
	before := map[*place]int{}
	for _, p := range w.sites {
		before[p] = len(p.nodes[0].logged)
	}
	w.until(100 * time.Second)
	for _, p := range w.sites {
		all, bytes := p.nodes[0].logged[before[p]:], 0
		for _, n := range all {
			bytes += n
		}
		t.Logf("%s: %d entries of %d bytes in a minute", p.name, len(all), bytes)
		assert.Empty(t, all, p.name)
	}
}
