package processes

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/site/sitepb"
)

// startWithFixedAddresses starts a building whose nodes keep the address for their peers during an upgrade,
// as the nodes of a real site do.
func startWithFixedAddresses(t *testing.T) (*World, *Clients) {
	addresses := map[string]string{}
	w, c := startBuilding(t, buildingPlan(func(name string, f *sitepb.File) { f.Listen = orDefault(addresses[name], f.Listen) }))
	for _, n := range w.Names() {
		addresses[n] = w.Node(n).OperatorAddr()
	}
	return w, c
}

// awaitUpgraded waits until a new process of a node is open to peers and serves clients.
func awaitUpgraded(w *World, c *Clients, node string, mark int) {
	w.t.Helper()
	w.Node(node).AwaitLoggedSince(mark, "msg=serving")
	w.Node(node).AwaitLoggedSince(mark, "open to peers")
	awaitServed(c, node)
}

// The leader is upgraded while a host is under maintenance: the new process takes over the store, nothing is
// sent to the host, and turns continue.
func TestUpgradeTakesOverTheStore(t *testing.T) {
	t.Parallel()
	w, c := startWithFixedAddresses(t)
	node := awaitLeader(w, "n3")
	n := w.Node(node)
	apiAddr, clientAddr := n.OperatorAddr(), n.ClientAddr()
	require.NoError(t, w.Requester("staff").Work(context.Background(), "t1", "h1", 1, func() {
		mark := n.Mark()
		predecessor := n.Upgrade()
		awaitUpgraded(w, c, node, mark)
		predecessor.Leave()
		assert.Zero(t, predecessor.AwaitEnd())
		awaitServed(c, w.Names()...)
	}))
	assert.Equal(t, []string{apiAddr, clientAddr}, []string{n.OperatorAddr(), n.ClientAddr()})
	workOn(w, c, "t2", "h2", w.Names()...)
	// The upgraded replica counts: without one of the others it is needed for a quorum.
	killed := follower(w)
	if killed == node {
		killed = awaitLeader(w, "n3")
	}
	requestUpcomingTurn(w, killed, "t3", "h3")
	w.Node(killed).Kill()
	workOn(w, c, "t3", "h3", otherNodes(w, killed)...)
	w.RequireNoViolations(twoPerSite)
}

// A new version that does not start properly is killed: the former process runs its replica again.
func TestUpgradeIsAborted(t *testing.T) {
	t.Parallel()
	w, c := startWithFixedAddresses(t)
	node := follower(w)
	n := w.Node(node)
	mark := n.Mark()
	n.Upgrade()
	n.AwaitLoggedSince(mark, "open to peers") // it has the store by now, and waits until the send lease of the former process has expired
	mark = n.Mark()
	n.Kill()
	require.True(t, n.Runs(), "the former process must still run")
	n.AwaitLoggedSince(mark, "open to peers")
	awaitServed(c, w.Names()...)
	workOn(w, c, "t1", "h1", w.Names()...)
	killed := awaitLeader(w, "n3")
	requestUpcomingTurn(w, killed, "t2", "h2")
	w.Node(killed).Kill()
	workOn(w, c, "t2", "h2", otherNodes(w, killed)...)
	w.RequireNoViolations(twoPerSite)
}

// After the end of the later process, the former process must read the site file again: the later process had
// read a newer version than the one from before the upgrade.
func TestProcessThatTakesControlBackReadsTheCurrentSiteFile(t *testing.T) {
	t.Parallel()
	var siteLimit uint32 = 1
	plan := buildingPlan(func(_ string, f *sitepb.File) { f.Turns.Site = siteLimit })
	plan.Sites[0].Nodes, plan.Sites[0].Replicas = []string{"n0"}, 1
	w, c := startBuilding(t, plan)
	n := w.Node("n0")
	mark := n.Mark()
	n.Upgrade()
	awaitUpgraded(w, c, "n0", mark)
	n.AwaitLoggedSince(mark, "leads the council")
	siteLimit = 2
	mark = n.Mark()
	n.Reload()
	n.AwaitLoggedSince(mark, "configuration read again")
	n.Kill()
	n.AwaitLoggedSince(mark, "open to peers")
	for _, i := range []string{"0", "1"} {
		requestTurn(w, "n0", "t"+i, "h"+i, 0)
	}
	w.Await("both are granted", func() bool { return turnPhase(w, "n0", "t0") == "granted" && turnPhase(w, "n0", "t1") == "granted" })
	w.RequireNoViolations(twoPerSite)
}
