package processes

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/site/sitepb"
)

// lasting starts a building whose nodes keep the address for their peers over an upgrade, as a site's nodes do.
func lasting(t *testing.T) (*World, *Clients) {
	addresses := map[string]string{}
	w, c := begun(t, building(func(name string, f *sitepb.File) { f.Listen = orDefault(addresses[name], f.Listen) }))
	for _, n := range w.Names() {
		addresses[n] = w.Node(n).OperatorAddr()
	}
	return w, c
}

// upgraded waits until a new process of a node takes part in the affairs of its site and serves clients.
func upgraded(w *World, c *Clients, node string, mark int) {
	w.t.Helper()
	w.Node(node).AwaitLoggedSince(mark, "msg=serving")
	w.Node(node).AwaitLoggedSince(mark, "open to peers")
	served(c, node)
}

// An upgrade of the leader while a host is in work: the store goes over, nothing reaches the host, and turns go on.
func TestAnUpgradeTakesTheStoreOver(t *testing.T) {
	t.Parallel()
	w, c := lasting(t)
	seat := awaitLeader(w, "n3")
	n := w.Node(seat)
	desk, serving := n.OperatorAddr(), n.ClientAddr()
	require.NoError(t, w.Requester("staff").Work(context.Background(), "t1", "h1", 1, func() {
		mark := n.Mark()
		former := n.Upgrade()
		upgraded(w, c, seat, mark)
		former.Leave()
		assert.Zero(t, former.AwaitEnd())
		served(c, w.Names()...)
	}))
	assert.Equal(t, []string{desk, serving}, []string{n.OperatorAddr(), n.ClientAddr()})
	work(w, c, "t2", "h2", w.Names()...)
	// The upgraded seat counts: without one of the others it is needed.
	gone := follower(w)
	if gone == seat {
		gone = awaitLeader(w, "n3")
	}
	coming(w, gone, "t3", "h3")
	w.Node(gone).Kill()
	work(w, c, "t3", "h3", others(w, gone)...)
	w.RequireSound(two)
}

// A new version that does not come up is ended: the former process takes its seat again.
func TestAnUpgradeIsGivenUp(t *testing.T) {
	t.Parallel()
	w, c := lasting(t)
	seat := follower(w)
	n := w.Node(seat)
	mark := n.Mark()
	n.Upgrade()
	n.AwaitLoggedSince(mark, "open to peers") // it has the store by now, and waits until the former one's right is over
	mark = n.Mark()
	n.Kill()
	require.True(t, n.Runs(), "the former one does")
	n.AwaitLoggedSince(mark, "open to peers")
	served(c, w.Names()...)
	work(w, c, "t1", "h1", w.Names()...)
	gone := awaitLeader(w, "n3")
	coming(w, gone, "t2", "h2")
	w.Node(gone).Kill()
	work(w, c, "t2", "h2", others(w, gone)...)
	w.RequireSound(two)
}

// TestAProcessThatTakesControlBackGoesByTheSiteFileAsItIsNow, not as it was before the upgrade: the later process read it, and is gone.
func TestAProcessThatTakesControlBackGoesByTheSiteFileAsItIsNow(t *testing.T) {
	t.Parallel()
	var most uint32 = 1
	plan := building(func(_ string, f *sitepb.File) { f.Turns.Site = most })
	plan.Sites[0].Nodes, plan.Sites[0].Seats = []string{"n0"}, 1
	w, c := begun(t, plan)
	n := w.Node("n0")
	mark := n.Mark()
	n.Upgrade()
	upgraded(w, c, "n0", mark)
	n.AwaitLoggedSince(mark, "leads the council")
	most = 2
	mark = n.Mark()
	n.Reload()
	n.AwaitLoggedSince(mark, "configuration read again")
	n.Kill()
	n.AwaitLoggedSince(mark, "open to peers")
	for _, i := range []string{"0", "1"} {
		ask(w, "n0", "t"+i, "h"+i, 0)
	}
	w.Await("both are granted", func() bool { return phase(w, "n0", "t0") == "granted" && phase(w, "n0", "t1") == "granted" })
	w.RequireSound(two)
}
