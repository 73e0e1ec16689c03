package processes

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/site/sitepb"
)

// phaseOf returns the phase of a turn, or "" if it is unknown.
func phaseOf(w *World, node, id string) string {
	r, err := w.Requester("operator").Turns(node)
	if err != nil {
		return ""
	}
	for _, t := range r.Turns {
		if t.Id == id {
			return t.Phase
		}
	}
	return ""
}

// shortWarmUpSettings returns settings with a slow start of 0.5 s for hosts.
func shortWarmUpSettings() string {
	return strings.Replace(DefaultSettings, `"cold_us":8000000`, `"cold_us":500000`, 1)
}

// The leader's own host list shows only that the host was removed for its work; then the leader's discovery stops
// responding. That the host is back it learns only from the other nodes. The turn must complete nevertheless.
func TestATurnCompletesWhileTheLeadersDiscoveryIsUnresponsive(t *testing.T) {
	p := buildingPlan(func(_ string, f *sitepb.File) { f.Council.TickMs = 200 }) // no new election after a short delay
	p.Settings = shortWarmUpSettings()
	w := New(t, p)
	w.Start()
	c := w.StartClients(Load{PerSecond: 60, HoldTime: 300 * time.Millisecond})
	awaitServed(c, w.Names()...)
	leaderNode := awaitLeader(w, "n3")
	require.NoError(t, w.Requester("staff").Work(context.Background(), "t1", "h1", 1, func() {
		calls := w.Discovery.Calls(leaderNode)
		w.Host("h1").Remove()
		w.Await("the leader's list shows the host as removed", func() bool { return w.Discovery.Calls(leaderNode) > calls })
		c.AwaitServed(120, "") // about 2 s: nodes observe the hosts once a second
		w.DiscoveryLink(leaderNode).Stall()
		w.Await("the leader notices that discovery does not answer", func() bool { return anyLogged(w, "discovery did not answer", leaderNode) })
		w.Host("h1").Start()
	}))
	w.Await("the turn is over", func() bool { return phaseOf(w, "n3", "t1") == "over" })
	t.Logf("%s led when its discovery became unresponsive, %s leads now", leaderNode, leaderOf(w, "n3"))
	workOn(w, c, "t2", "h2", w.Names()...) // the host lists have not changed since
	w.Await("the next turn is over too", func() bool { return phaseOf(w, "n3", "t2") == "over" })
	w.RequireNoViolations(twoPerSite)
}

// Two preferred hosts of a group are never under maintenance at the same time, though the allowance permits it: with three hosts each
// one is a preferred host.
func TestTwoPreferredHostsOfAGroupAreNeverInWorkAtOnce(t *testing.T) {
	p := buildingPlan(nil)
	p.Hosts = Fleet(3)
	w := New(t, p)
	w.Start()
	c := w.StartClients(Load{PerSecond: 60, HoldTime: 300 * time.Millisecond, Group: "room"})
	// About 3 s, for the leader to learn the preferred hosts: nodes observe the hosts once a second
	// and report them with the next lease request.
	c.AwaitServed(200, "")
	errs := make(chan error)
	for _, h := range []string{"h0", "h1"} {
		go func() {
			errs <- w.Requester("staff-"+h).Work(context.Background(), "t-"+h, h, 1, func() { c.AwaitServed(60, "") })
		}()
	}
	for range 2 {
		require.NoError(t, <-errs)
	}
	w.Await("both turns are over", func() bool { return phaseOf(w, "n3", "t-h0") == "over" && phaseOf(w, "n3", "t-h1") == "over" })
	w.RequireNoViolations(Allowance{Site: 1})
	assert.Positive(t, slices.IndexFunc(w.History.Ops(), func(o Op) bool { return o.Kind == "Begin" && o.Error == "" }))
}
