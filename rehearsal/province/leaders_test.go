package province

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/control"
	"lichenhitch/internal/peer/peerpb"
)

// oneSite returns a world of one site that has a leader, without faults other than those of the test.
func oneSite(t *testing.T, seed uint64) (w *World, site *siteState) {
	o := smallWorld
	o.Seed, o.TurnRequests = seed, 0
	w = newWorld(o, tracer(t))
	w.startNodes()
	w.runUntil(5 * time.Second)
	site = w.sites[0]
	require.True(t, w.leaderOf(site).core.Leading())
	return w, site
}

// cutAllLinks cuts all links of a node, both ways.
func (w *World) cutAllLinks(n *node) {
	for _, m := range n.site.nodes {
		n.cutTo[m.name], m.cutTo[n.name] = true, true
	}
}

// waitFor runs the world until a condition holds, for less than limit, and returns how long that took.
func (w *World) waitFor(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	from := w.now
	for !condition() {
		require.Less(t, w.now-from, limit, what)
		w.runUntil(w.now + time.Millisecond)
	}
	return w.now - from
}

func turnRequest(i int) control.Call {
	id := fmt.Sprintf("t%d", i)
	return control.Call{ID: id, Command: turns.Command{Request: &turns.Request{ID: id, Host: fmt.Sprintf("site00-g%02d", i), Duration: time.Second}}}
}

// A call that a leader has accepted, but can no longer commit, fails when that leader steps down. Without that answer its caller
// would not know that it has to call another node.
func TestPendingCallFailsWhenItsLeaderStepsDown(t *testing.T) {
	for seed := range uint64(5) {
		w, site := oneSite(t, seed)
		old := w.leaderOf(site)
		w.cutAllLinks(old)
		var err error
		old.core.Submit(old.clock(), turnRequest(0), func(_ control.Reply, e error) { err = e })
		require.NoError(t, err)
		w.waitFor(t, 5*time.Second, "the cut-off leader steps down", func() bool { return !old.core.Leading() })
		assert.ErrorAs(t, err, new(*control.OutcomeUnknownError))
	}
}

// hasLease reports whether the node's traffic loop has a send lease that has not expired.
func (n *node) hasLease() bool { return n.clock() < n.restrictions.LeaseEnd }

// A node that was cut off until its send lease expired gets a new one with the first request that arrives: whichever replica
// receives it knows the leader.
func TestReconnectedNodeRenewsItsLeaseWithTheNextRequest(t *testing.T) {
	for seed := range uint64(10) {
		w, site := oneSite(t, seed)
		n := site.nodes[len(site.nodes)-1]
		w.cutAllLinks(n)
		w.runUntil(w.now + 4*w.LeaseDuration + w.randomUpTo(w.LeaseDuration))
		require.False(t, n.hasLease())
		w.healLinks(n)
		w.waitFor(t, w.LeaseDuration/4+2*n.config.Tick, "a send lease, by the next request", n.hasLease)
	}
}

// Replicas without a leader that are connected again elect one as soon as they have exchanged greetings, without waiting for an
// election timeout.
func TestReconnectedReplicasElectALeaderAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		w, site := oneSite(t, seed)
		for _, n := range site.nodes[:3] {
			w.cutAllLinks(n)
		}
		w.waitFor(t, 10*time.Second, "no replica has a leader", func() bool {
			return !slices.ContainsFunc(site.nodes[:3], func(n *node) bool {
				st, _ := n.core.ReplicaStatus()
				return st.Leader != 0
			})
		})
		w.runUntil(w.now + w.randomUpTo(w.LeaseDuration))
		w.healAll()
		w.waitFor(t, 6*site.nodes[0].config.Tick, "a leader within a greeting interval of three ticks, a tick and some round trips", func() bool {
			state, _ := site.groupState()
			return state == led
		})
	}
}

// electionTime is the time without messages from the leader after which a replica may vote for another one (10 ticks), and some
// more ticks for the rest: a greeting every third tick, one tick to become a candidate, and round trips.
func (n *node) electionTime(more int) time.Duration { return time.Duration(10+more) * n.config.Tick }

func TestNewLeaderWithinAnElectionTimeout(t *testing.T) {
	for seed := range uint64(10) {
		w, site := oneSite(t, seed)
		old := w.leaderOf(site)
		w.restart(old, time.Hour, false)
		w.waitFor(t, old.electionTime(7), "the next leader", func() bool {
			state, _ := site.groupState()
			return state == led
		})
	}
}

// A leader whose messages arrive but that receives none leads until it notices, which takes up to two election timeouts. Its
// followers do not wait for a further timeout then.
func TestLeaderThatReceivesNothingStepsDown(t *testing.T) {
	for seed := range uint64(10) {
		w, site := oneSite(t, seed)
		old := w.leaderOf(site)
		for _, m := range site.nodes {
			m.cutTo[old.name] = true
		}
		w.waitFor(t, 3*time.Second, "the leader steps down", func() bool { return !old.core.Leading() })
		w.waitFor(t, 7*old.config.Tick, "the next leader", func() bool {
			state, _ := site.groupState()
			return state == led
		})
	}
}

// endProcess ends a node's process, by a kill or as planned: after its leadership is transferred, or an election timeout at the
// latest.
func (w *World) endProcess(n *node, planned bool) {
	end := func() { w.restart(n, time.Hour, false) }
	if !planned {
		end()
		return
	}
	runID := n.runID
	endOnce := func() {
		if n.runID == runID {
			end()
		}
	}
	w.after(n.electionTime(0), endOnce)
	n.core.TransferLeadership(n.clock(), func() { w.after(0, endOnce) })
}

func TestPlannedShutdownTransfersLeadership(t *testing.T) {
	for seed := range uint64(10) {
		w, site := oneSite(t, seed)
		old := w.leaderOf(site)
		w.endProcess(old, true)
		w.waitFor(t, old.config.Tick, "the next leader, after some round trips", func() bool {
			state, leader := site.groupState()
			return state == led && leader != old
		})
		assert.True(t, !old.up || !old.core.Leading())
	}
}

// TestFromALeadersEndToTheNextWork measures the time from the end of a leader's process to the next leader and to the next
// granted turn, with kills and with planned ends, without other faults:
// go test ./rehearsal/province -run LeadersEnd -v -args -worlds 100 -figures
func TestFromALeadersEndToTheNextWork(t *testing.T) {
	requireFigures(t)
	for _, planned := range []bool{false, true} {
		var leaderTimes, grantTimes []time.Duration
		for seed := *first; seed < *first+uint64(*worlds); seed++ {
			w, site := oneSite(t, seed)
			old := w.leaderOf(site)
			call := turnRequest(0) // all nodes know of it before the leader ends, the leader too
			call.Command.Request.NotBefore = old.clock() + w.LeaseDuration
			old.core.Submit(old.clock(), call, func(_ control.Reply, err error) { require.NoError(t, err) })
			w.runUntil(w.now + w.LeaseDuration - w.randomUpTo(w.LeaseDuration/4))
			ended := w.now
			w.endProcess(old, planned)
			w.waitFor(t, time.Minute, "the next leader", func() bool {
				state, leader := site.groupState()
				return state == led && leader != old
			})
			leaderTimes = append(leaderTimes, w.now-ended)
			w.waitFor(t, time.Minute, "the next grant", func() bool {
				turn, _ := w.leaderOf(site).core.Schedule().Turn(call.ID)
				return turn.Phase == turns.Granted
			})
			grantTimes = append(grantTimes, w.now-ended)
		}
		t.Logf("planned %v: the next leader after %v (median), %v (p99); the next grant after %v, %v", planned, Quantile(leaderTimes, 0.5),
			Quantile(leaderTimes, 0.99), Quantile(grantTimes, 0.5), Quantile(grantTimes, 0.99))
	}
}

// A replica learns the leader from Raft; the leader that another replica reports may be outdated. Nodes without a replica have
// only such reports.
func TestReplicaTakesTheLeaderFromRaft(t *testing.T) {
	w, site := oneSite(t, 1)
	leader := w.leaderOf(site)
	for _, n := range site.nodes {
		old := site.nodes[0].name
		if leader == site.nodes[0] {
			old = site.nodes[1].name
		}
		if n == leader || n.name == old {
			continue
		}
		n.core.HandleLeaseResponse(n.clock(), &peerpb.RenewReply{Refused: "this node does not lead the site's consensus group", Leader: old})
		if n.config.IsVoter {
			assert.Equal(t, leader.name, n.core.Leader())
		} else {
			assert.Equal(t, old, n.core.Leader())
		}
		w.runUntil(w.now + w.LeaseDuration)
		assert.Equal(t, leader.name, n.core.Leader())
	}
}
