package processes

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// startBuilding starts a building and clients, and waits until its group has a leader.
func startBuilding(t *testing.T, p Plan) (*World, *Clients) {
	w := New(t, p)
	w.Start()
	c := w.StartClients(Load{PerSecond: 60, HoldTime: 300 * time.Millisecond})
	awaitServed(c, w.Names()...)
	awaitLeader(w, w.Names()[len(w.Names())-1])
	return w, c
}

// follower returns a replica that is not the leader.
func follower(w *World) string {
	leading := awaitLeader(w, "n3")
	for _, n := range []string{"n2", "n1"} {
		if n != leading {
			return n
		}
	}
	return ""
}

// requestUpcomingTurn requests a turn that may begin in 3 s, and waits until the node would exclude the host
// on its own once its send lease expires.
func requestUpcomingTurn(w *World, node, id, host string) {
	w.t.Helper()
	requestTurn(w, "n3", id, host, 3*time.Second)
	awaitExclusionSet(w, node, host)
}

// addReplica waits until the group has added the replica of a node whose store is now empty.
func addReplica(w *World, node string) {
	w.t.Helper()
	rest := otherNodes(w, node)
	marks := map[string]int{}
	for _, n := range rest {
		marks[n] = w.Node(n).Mark()
	}
	w.Node(node).AwaitLogged("has to take it in")
	w.Await(node+" is added", func() bool {
		w.Requester("operator").TakeIn(awaitLeader(w, "n3"), node, "its store was put aside")
		for _, n := range rest {
			for _, line := range w.Node(n).Log() {
				if strings.Contains(line, "a seat is taken in") && strings.Contains(line, "seat="+node) {
					return true
				}
			}
		}
		return false
	})
}

// replaceStore does what an operator is advised to do after the loss of a store, and checks that the node
// serves and a turn is granted again.
func replaceStore(w *World, c *Clients, node string) {
	w.t.Helper()
	w.Node(node).Restart(EmptyStore)
	addReplica(w, node)
	awaitServed(c, node)
	workOn(w, c, "t2", "h2", w.Names()...)
	w.RequireNoViolations(twoPerSite)
}

// A stale store: since the copy was made, the replica has voted and acknowledged entries, and the copy lacks
// a host that is to be out of service. The replica's calls do not reach the leader, and another replica
// refuses it, so that it learns about the host from neither.
func TestReplicaWithAStaleStoreIsRefusedAndSendsNothing(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	node := follower(w)
	stale := w.Node(node).CopyStore()
	for range 2 { // the other replicas know of later openings of the store than the copy does
		w.Node(node).Restart(KeepStore)
		awaitServed(c, node)
	}
	requestUpcomingTurn(w, node, "t1", "h1")
	w.Link(node, awaitLeader(w, "n3")).Cut()
	w.Node(node).Restart(StaleStore(stale))
	refused := func() {
		t.Helper()
		line := w.Node(node).AwaitLogged("control has stopped")
		assert.Contains(t, line, "older one")
		assert.Contains(t, line, "put its store aside")
	}
	refused()
	workOn(w, c, "t1", "h1", otherNodes(w, node)...)
	w.RequireNoViolations(twoPerSite)

	w.Heal()
	before := len(firstLinesFrom(w, node))
	w.Node(node).Restart(KeepStore) // it stays refused
	refused()
	awaitServed(c, otherNodes(w, node)...)
	assert.Len(t, firstLinesFrom(w, node), before)
	replaceStore(w, c, node)
}

// Two processes run with the same store: the one with the copy is refused. It does not count as a replica, and
// sends nothing.
func TestCopyOfAStoreIsRefusedWhileTheOriginalRuns(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	node := follower(w)
	requestUpcomingTurn(w, node, "t1", "h1")
	duplicate := w.Node(node).Duplicate()
	duplicate.Start()
	// As a stale store, or as one of two processes with the same store; in that case the other one is refused
	// too.
	assert.Contains(t, duplicate.AwaitLogged("control has stopped, and nothing is sent"), "put its store aside")
	w.ClientLink(node).SetTarget(duplicate.ClientAddr())
	workOn(w, c, "t1", "h1", otherNodes(w, node)...)
	before := len(firstLinesFrom(w, node))
	c.AwaitServed(20, "")
	assert.Len(t, firstLinesFrom(w, node), before, "the copy must not send")

	duplicate.Stop()
	replaceStore(w, c, node)
}

// A truncated store is not read: the process logs the reason and exits, and the other replicas continue.
func TestReplicaWithATruncatedStoreDoesNotStart(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	node := awaitLeader(w, "n3")
	requestUpcomingTurn(w, node, "t1", "h1")
	w.Node(node).Restart(TornStore("council.db", 20000))
	assert.Equal(t, 1, w.Node(node).AwaitEnd())
	assert.True(t, anyLogged(w, "council.db is damaged", node))
	assert.True(t, anyLogged(w, "do not put an older copy in its place", node))
	workOn(w, c, "t1", "h1", otherNodes(w, node)...)
	replaceStore(w, c, node)
}

// The disk of the leader is full: another replica becomes leader, the node continues to serve, and its
// control works again after a restart, once there is room.
func TestLeaderWhoseDiskIsFullStopsOnlyItsControl(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	node := awaitLeader(w, "n3")
	requestUpcomingTurn(w, node, "t1", "h1")
	w.Node(node).LimitFiles(1)
	workOn(w, c, "t1", "h1", w.Names()...)
	line := w.Node(node).AwaitLogged("control has stopped; the traffic goes on")
	assert.Contains(t, line, "file too large")
	assert.Contains(t, line, "check that the disk has free space")
	assert.NotEqual(t, node, awaitLeader(w, "n3", node))
	assert.Empty(t, leaderOf(w, node), "it must not report itself as leader")
	err := w.Requester("operator").TakeIn(node, "n1", "why")
	assert.ErrorContains(t, err, "control of this node has stopped")
	assert.ErrorContains(t, err, "check that the disk has free space")

	w.Node(node).LimitFiles(0)
	w.Node(node).Restart(KeepStore)
	awaitServed(c, w.Names()...)
	rest := otherNodes(w, node, "n3")
	requestUpcomingTurn(w, rest[0], "t2", "h2")
	w.Node(rest[0]).Kill() // so that the restarted replica is needed for a quorum
	workOn(w, c, "t2", "h2", otherNodes(w, rest[0])...)
	w.RequireNoViolations(twoPerSite)
}

// The store of the leader is replaced by a copy that was made after its election. The copy has the term and
// the vote, and a leader acknowledges nothing to other replicas, so that none of them had recorded more about it.
// It was not refused and continued as a replica with the exclusion set of a send lease that the group had
// long superseded: "open to peers ... boot=2" and no refusal in three of seventeen runs of fault sequence 2,
// those in which b1 was leader when the copy was made. Now the others record at every exchange what a replica
// reports about its log.
func TestLeaderWithAStaleStoreIsRefused(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	node := awaitLeader(w, "n3")
	stale := w.Node(node).CopyStore()
	requestUpcomingTurn(w, node, "t1", "h1")
	w.Node(node).Restart(StaleStore(stale))
	line := w.Node(node).AwaitLogged("control has stopped, and nothing is sent")
	assert.Contains(t, line, "older one")
	assert.Contains(t, line, "put its store aside")
	workOn(w, c, "t1", "h1", otherNodes(w, node)...)
	replaceStore(w, c, node)
}

// A replica that was cut off since before the copy was made has reported nothing to the others since then, and
// none of them refuses the copy. It is accepted, and follows the group.
func TestCopyThatLacksNothingIsAccepted(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	name := follower(w)
	n := w.Node(name)
	w.Partition(false, name)
	w.Await("its send lease has expired", func() bool { return strings.Contains(n.status(), "lease=0ms") })
	stale := n.CopyStore()
	awaitServed(c, otherNodes(w, name)...)
	n.Kill()
	assert.Equal(t, missingNothing, n.missingInCopy(stale))
	n.Restart(StaleStore(stale))
	w.Heal()
	awaitServed(c, name)
	workOn(w, c, "t1", "h1", w.Names()...)
	assert.Empty(t, n.linesWith("nothing is sent"))
	w.RequireNoViolations(twoPerSite)
}
