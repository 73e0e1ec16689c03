package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/sendlease"
)

// open has the attempt that is out ask whether its first line may go, as a backend connection does, and returns the answer.
func (w *world) open() bool { return w.last.Open() }

func TestAHostThatTheCouncilTakesOutGetsNothingFromThatMoment(t *testing.T) {
	w, c := newCore("a")
	w.arrive(c, "")
	c.Bind(sendlease.Restrictions{ExcludedHosts: []sendlease.ExcludedHost{{Host: "a", Round: 7}}, LeaseEnd: w.now + time.Hour})
	assert.Empty(t, c.Clear(), "an attempt is out there")
	assert.False(t, w.open(), "its first line was not written yet, and may not be any more")
	assert.Equal(t, []sendlease.ExcludedHost{{Host: "a", Round: 7}}, c.Clear())
	w.pass(3 * time.Second)
	assert.Equal(t, []string{"throttle"}, w.answers)
}

func TestAHostIsClearOnceWhatStoodThereIsMovedOrHadItsTime(t *testing.T) {
	w, c := newCore("a")
	w.arrive(c, "")
	w.last.Up(nil)
	c.Bind(sendlease.Restrictions{ExcludedHosts: []sendlease.ExcludedHost{{Host: "a", Round: 7}}, LeaseEnd: w.now + time.Hour})
	assert.Empty(t, c.Clear())
	w.pass(clearWithin)
	assert.Len(t, c.Clear(), 1)
	assert.Empty(t, c.Look(0, func(string) float64 { return 1 }, false).Values, "it was moved")
}

func TestARightThatHasRunOutIsNotActedOn(t *testing.T) {
	w, c := newCore("a", "b")
	c.Bind(sendlease.Restrictions{ExcludedAfterExpiry: []string{"a"}, LeaseEnd: w.now + time.Second})
	var where []balance.ServerID
	for range 20 {
		where = append(where, w.arrive(c, "").server)
	}
	assert.Contains(t, where, balance.ServerID("a"))
	var open []Try
	for _, try := range w.out {
		if try.query.server == "a" {
			open = append(open, try)
		}
	}
	w.now += 2 * time.Second // the process was stopped: no timer came due, and the first lines are still to be written
	for _, try := range open {
		assert.False(t, try.Open(), "the right has run out meanwhile")
	}
	for range 20 {
		assert.NotEqual(t, balance.ServerID("a"), w.arrive(c, "").server)
	}
	c.Bind(sendlease.Restrictions{ExcludedAfterExpiry: []string{"a"}, LeaseEnd: w.now + time.Hour})
	assert.False(t, c.Lapsed())
	assert.NotContains(t, c.bound.told, balance.ServerID("a"), "with a new right it is in use again")
}

func TestANodeThatWasNeverToldWhatIsOutSendsNothing(t *testing.T) {
	w, c := newCore("a", "b")
	c.Bind(sendlease.Restrictions{AllAfterExpiry: true})
	assert.True(t, c.Untold())
	w.arrive(c, "")
	for len(w.out) > 0 {
		assert.False(t, w.open())
	}
	w.pass(3 * time.Second)
	assert.Equal(t, []string{"throttle"}, w.answers, "nothing was sent, so that trying again is harmless")
	c.Bind(sendlease.Restrictions{AllAfterExpiry: true, LeaseEnd: w.now + time.Hour})
	w.arrive(c, "")
	assert.True(t, w.open())
}

func TestABanByHandAndATurnEndWithTheLastOfThem(t *testing.T) {
	out := sendlease.Restrictions{ExcludedHosts: []sendlease.ExcludedHost{{Host: "a", Round: 1}}, LeaseEnd: 2 * time.Hour}
	none := sendlease.Restrictions{LeaseEnd: 2 * time.Hour}
	for name, steps := range map[string][4]func(*Core, time.Duration){
		"ban, turn, back, over": {func(c *Core, now time.Duration) { c.Suspend("a", now) }, func(c *Core, _ time.Duration) { c.Bind(out) },
			func(c *Core, _ time.Duration) { c.Resume("a") }, func(c *Core, _ time.Duration) { c.Bind(none) }},
		"ban, turn, over, back": {func(c *Core, now time.Duration) { c.Suspend("a", now) }, func(c *Core, _ time.Duration) { c.Bind(out) },
			func(c *Core, _ time.Duration) { c.Bind(none) }, func(c *Core, _ time.Duration) { c.Resume("a") }},
		"turn, ban, back, over": {func(c *Core, _ time.Duration) { c.Bind(out) }, func(c *Core, now time.Duration) { c.Suspend("a", now) },
			func(c *Core, _ time.Duration) { c.Resume("a") }, func(c *Core, _ time.Duration) { c.Bind(none) }},
		"turn, ban, over, back": {func(c *Core, _ time.Duration) { c.Bind(out) }, func(c *Core, now time.Duration) { c.Suspend("a", now) },
			func(c *Core, _ time.Duration) { c.Bind(none) }, func(c *Core, _ time.Duration) { c.Resume("a") }},
	} {
		w, c := newCore("a", "b")
		for i, step := range steps {
			step(c, w.now)
			places := map[balance.ServerID]bool{}
			for range 30 {
				places[w.arrive(c, "").server] = true
				w.last.Ended(balance.OK, true, balance.Report{}, nil)
			}
			assert.Equal(t, i == 3, places["a"], "%s: after step %d", name, i+1)
		}
	}
}

func TestWhatALookAtTheHostsTells(t *testing.T) {
	w, c := newCore("a", "b", "c", "d")
	for _, group := range []string{"room", "room", "alone", ""} {
		q := c.Arrive(w, balance.Arrival{Class: "chat", Group: group}, "", 2*time.Second)
		w.out[len(w.out)-1].Up(nil)
		assert.NotEmpty(t, q.server)
	}
	c.List(balance.ListChanges, []balance.Listing{{Server: "d", State: balance.Draining, Started: w.now}})
	l := c.Look(time.Second, func(string) float64 { return 2 }, true)
	assert.True(t, l.Stale)
	assert.Len(t, l.Hosts, 4)
	assert.Equal(t, []bool{true, false}, []bool{l.Hosts[3].Draining, l.Hosts[3].Warm})
	assert.Equal(t, w.now, l.Hosts[3].Start)
	sum := 0.0
	for _, worth := range l.Values {
		sum += worth
	}
	assert.Equal(t, 8.0, sum)
	if assert.Len(t, l.Groups, 1, "one alone is with nobody") {
		assert.Equal(t, "room", l.Groups[0].Name)
		assert.Equal(t, 4.0, l.Groups[0].Value)
		assert.Len(t, l.Groups[0].Homes, 3)
	}
}
