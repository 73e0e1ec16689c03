package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/sendlease"
)

// allowSend calls AllowSend of the latest attempt, as its connection does before it writes the first line.
func (env *testEnv) allowSend() bool { return env.last.AllowSend() }

func TestExcludedHostGetsNothingNewAtOnce(t *testing.T) {
	env, c := newCore("a")
	env.arrive(c, "")
	c.ApplyRestrictions(sendlease.Restrictions{ExcludedHosts: []sendlease.ExcludedHost{{Host: "a", Round: 7}}, LeaseEnd: env.now + time.Hour})
	assert.Empty(t, c.ClearedHosts(), "an attempt is in progress there")
	assert.False(t, env.allowSend(), "its first line was not yet written, and must not be written any more")
	assert.Equal(t, []sendlease.ExcludedHost{{Host: "a", Round: 7}}, c.ClearedHosts())
	env.advance(3 * time.Second)
	assert.Equal(t, []string{"throttle"}, env.answers)
}

func TestHostIsClearedOnceItsConnectionsAreMovedOrTimedOut(t *testing.T) {
	env, c := newCore("a")
	env.arrive(c, "")
	env.last.Established(nil)
	c.ApplyRestrictions(sendlease.Restrictions{ExcludedHosts: []sendlease.ExcludedHost{{Host: "a", Round: 7}}, LeaseEnd: env.now + time.Hour})
	assert.Empty(t, c.ClearedHosts())
	env.advance(clearTimeout)
	assert.Len(t, c.ClearedHosts(), 1)
	assert.Empty(t, c.ObserveHosts(0, func(string) float64 { return 1 }, false).Values, "its connection was moved")
}

func TestExpiredSendLeaseIsNotUsed(t *testing.T) {
	env, c := newCore("a", "b")
	c.ApplyRestrictions(sendlease.Restrictions{ExcludedAfterExpiry: []string{"a"}, LeaseEnd: env.now + time.Second})
	var servers []balance.ServerID
	for range 20 {
		servers = append(servers, env.arrive(c, "").server)
	}
	assert.Contains(t, servers, balance.ServerID("a"))
	var refs []AttemptRef
	for _, ref := range env.active {
		if ref.request.server == "a" {
			refs = append(refs, ref)
		}
	}
	env.now += 2 * time.Second // the process was suspended: no timer has fired, and the first lines are not yet written
	for _, ref := range refs {
		assert.False(t, ref.AllowSend(), "the send lease has expired meanwhile")
	}
	for range 20 {
		assert.NotEqual(t, balance.ServerID("a"), env.arrive(c, "").server)
	}
	c.ApplyRestrictions(sendlease.Restrictions{ExcludedAfterExpiry: []string{"a"}, LeaseEnd: env.now + time.Hour})
	assert.False(t, c.LeaseExpired())
	assert.NotContains(t, c.restrictions.suspended, balance.ServerID("a"), "with a new send lease the host is in use again")
}

func TestNodeWithoutAnExclusionSetSendsNothing(t *testing.T) {
	env, c := newCore("a", "b")
	c.ApplyRestrictions(sendlease.Restrictions{AllAfterExpiry: true})
	assert.True(t, c.LacksExclusionSet())
	env.arrive(c, "")
	for len(env.active) > 0 {
		assert.False(t, env.allowSend())
	}
	env.advance(3 * time.Second)
	assert.Equal(t, []string{"throttle"}, env.answers, "nothing was sent, so trying again is harmless")
	c.ApplyRestrictions(sendlease.Restrictions{AllAfterExpiry: true, LeaseEnd: env.now + time.Hour})
	env.arrive(c, "")
	assert.True(t, env.allowSend())
}

func TestHostReturnsOnceBothItsBanAndItsTurnHaveEnded(t *testing.T) {
	excluded := sendlease.Restrictions{ExcludedHosts: []sendlease.ExcludedHost{{Host: "a", Round: 1}}, LeaseEnd: 2 * time.Hour}
	notExcluded := sendlease.Restrictions{LeaseEnd: 2 * time.Hour}
	for name, steps := range map[string][4]func(*Core, time.Duration){
		"ban, turn, ban ends, turn ends": {
			func(c *Core, now time.Duration) { c.Suspend("a", now) }, func(c *Core, _ time.Duration) { c.ApplyRestrictions(excluded) },
			func(c *Core, _ time.Duration) { c.Resume("a") }, func(c *Core, _ time.Duration) { c.ApplyRestrictions(notExcluded) }},
		"ban, turn, turn ends, ban ends": {
			func(c *Core, now time.Duration) { c.Suspend("a", now) }, func(c *Core, _ time.Duration) { c.ApplyRestrictions(excluded) },
			func(c *Core, _ time.Duration) { c.ApplyRestrictions(notExcluded) }, func(c *Core, _ time.Duration) { c.Resume("a") }},
		"turn, ban, ban ends, turn ends": {
			func(c *Core, _ time.Duration) { c.ApplyRestrictions(excluded) }, func(c *Core, now time.Duration) { c.Suspend("a", now) },
			func(c *Core, _ time.Duration) { c.Resume("a") }, func(c *Core, _ time.Duration) { c.ApplyRestrictions(notExcluded) }},
		"turn, ban, turn ends, ban ends": {
			func(c *Core, _ time.Duration) { c.ApplyRestrictions(excluded) }, func(c *Core, now time.Duration) { c.Suspend("a", now) },
			func(c *Core, _ time.Duration) { c.ApplyRestrictions(notExcluded) }, func(c *Core, _ time.Duration) { c.Resume("a") }},
	} {
		env, c := newCore("a", "b")
		for i, step := range steps {
			step(c, env.now)
			placed := map[balance.ServerID]bool{}
			for range 30 {
				placed[env.arrive(c, "").server] = true
				env.last.Ended(balance.OK, true, balance.Report{}, nil)
			}
			assert.Equal(t, i == 3, placed["a"], "%s: after step %d", name, i+1)
		}
	}
}

func TestObserveHosts(t *testing.T) {
	env, c := newCore("a", "b", "c", "d")
	for _, group := range []string{"room", "room", "alone", ""} {
		r := c.Arrive(env, balance.Arrival{Class: "chat", Group: group}, "", 2*time.Second)
		env.active[len(env.active)-1].Established(nil)
		assert.NotEmpty(t, r.server)
	}
	c.List(balance.ListChanges, []balance.Listing{{Server: "d", State: balance.Draining, Started: env.now}})
	observation := c.ObserveHosts(time.Second, func(string) float64 { return 2 }, true)
	assert.True(t, observation.Stale)
	assert.Len(t, observation.Hosts, 4)
	assert.Equal(t, []bool{true, false}, []bool{observation.Hosts[3].Draining, observation.Hosts[3].Warm})
	assert.Equal(t, env.now, observation.Hosts[3].Start)
	sum := 0.0
	for _, value := range observation.Values {
		sum += value
	}
	assert.Equal(t, 8.0, sum)
	if assert.Len(t, observation.Groups, 1, "a group of one connection is not reported") {
		assert.Equal(t, "room", observation.Groups[0].Name)
		assert.Equal(t, 4.0, observation.Groups[0].Value)
		assert.Len(t, observation.Groups[0].PreferredHosts, 3)
	}
}
