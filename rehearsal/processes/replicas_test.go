package processes

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site/sitepb"
)

// A group of five replicas survives the loss of two. Without three it grants no turns, and traffic continues.
// A replica that comes back needs the confirmation of three others, since its store may be stale; the second
// replica to return completes it.
func TestGroupOfFiveSurvivesTwoLostReplicas(t *testing.T) {
	t.Parallel()
	p := buildingPlan(nil)
	p.Sites[0].Nodes, p.Sites[0].Replicas = []string{"n0", "n1", "n2", "n3", "n4", "n5"}, 5
	w, c := startBuilding(t, p)
	noReplica := "n5"
	killed := []string{awaitLeader(w, noReplica)}
	killed = append(killed, otherNodes(w, killed[0], noReplica)[:2]...)
	for id, host := range map[string]string{"t1": "h1", "t2": "h2"} {
		requestTurn(w, killed[0], id, host, 4*time.Second)
	}
	for _, n := range killed {
		awaitExclusionSet(w, n, `"h1 h2"`)
	}
	for _, n := range killed[:2] {
		w.Node(n).Kill()
	}
	workOn(w, c, "t1", "h1", otherNodes(w, killed[:2]...)...)

	w.Node(killed[2]).Kill()
	rest := otherNodes(w, killed...)
	w.Await("calls are refused with advice", func() bool {
		_, err := w.Requester("staff").Ask(rest[0], "t3", "h3", 1, nil)
		return err != nil && strings.Contains(err.Error(), "what to do")
	})
	awaitServed(c, rest...)

	w.Node(killed[2]).Restart(KeepStore)
	w.Node(killed[2]).AwaitLogged("the seat waits", "wanted=3", "start them")
	c.AwaitServed(20, killed[2])
	_, err := w.Requester("staff").Ask(killed[2], "t3", "h3", 1, nil)
	require.ErrorContains(t, err, "what to do")
	w.Node(killed[1]).Restart(KeepStore)
	workOn(w, c, "t2", "h2", otherNodes(w, killed[0])...)
	w.Node(killed[0]).Restart(KeepStore)
	workOn(w, c, "t4", "h4", w.Names()...)
	w.RequireNoViolations(twoPerSite)
}

// changeReplicas makes these nodes the replicas in the site files of all nodes, and running nodes reload
// their files.
func changeReplicas(w *World, voters ...string) {
	w.t.Helper()
	s := &w.Plan.Sites[0]
	s.Replicas = len(voters)
	s.Nodes = append(slices.Clone(voters), otherNodes(w, voters...)...)
	for _, n := range w.Names() {
		if w.Node(n).Runs() {
			w.Node(n).Reload()
		}
	}
}

// awaitVoters waits until a node reports these voters of its group.
func awaitVoters(w *World, node string, voters ...string) {
	w.t.Helper()
	w.Await("the voters are "+strings.Join(voters, " "), func() bool {
		r, err := w.Requester("operator").Turns(node)
		return err == nil && slices.Equal(r.Seats, voters)
	})
}

// A replica is replaced by a changed site file and SIGHUP, while hosts are under maintenance and clients
// connect. The leader is killed as soon as it has begun with the change.
func TestReplicaIsReplacedBySIGHUPThoughTheLeaderIsKilled(t *testing.T) {
	t.Parallel()
	p := buildingPlan(nil)
	p.Sites[0].Nodes = []string{"n0", "n1", "n2", "n3", "n4"}
	w, c := startBuilding(t, p)
	first := awaitLeader(w, "n4")
	removed := otherNodes(w, first, "n3", "n4")[0]
	kept := otherNodes(w, first, removed, "n3", "n4")[0]
	voters := []string{first, kept, "n3"}
	slices.Sort(voters)

	// A changed file at a minority of the replicas has no effect.
	w.Plan.Sites[0].Nodes = append(slices.Clone(voters), removed, "n4")
	w.Node(first).Reload()
	w.Node(first).AwaitLogged("the seats are not as the site file has them yet", "differ", removed, "have them reload")
	workOn(w, c, "t0", "h0", w.Names()...)
	oldVoters := []string{"n0", "n1", "n2"}
	awaitVoters(w, "n4", oldVoters...)

	requestUpcomingTurn(w, first, "t1", "h1")
	changeReplicas(w, voters...)
	w.Node(first).AwaitLogged("a seat learns what was agreed on", "seat=n3")
	w.Node(first).Kill()
	workOn(w, c, "t1", "h1", otherNodes(w, first)...)
	w.Node(first).Restart(KeepStore)
	awaitVoters(w, "n4", voters...)
	w.Node(removed).AwaitLogged("has taken this node's seat out")
	awaitServed(c, w.Names()...)

	// The new replicas have a quorum without the removed one and the killed one.
	requestTurn(w, "n4", "t2", "h2", 4*time.Second)
	for _, n := range []string{removed, first} {
		awaitExclusionSet(w, n, "h2")
	}
	w.Node(removed).Kill()
	w.Node(first).Kill()
	rest := otherNodes(w, first, removed)
	workOn(w, c, "t2", "h2", rest...)
	assert.Contains(t, []string{"n3", kept}, awaitLeader(w, "n4", first, removed))
	w.Node(first).Restart(KeepStore)
	w.Node(removed).Restart(KeepStore)
	workOn(w, c, "t3", "h3", w.Names()...)
	w.RequireNoViolations(twoPerSite)
}

// A group of one replica grows to three while the link to a new replica is cut, and then survives the loss of
// its first replica.
func TestGroupOfOneGrowsToThreeAcrossACutLink(t *testing.T) {
	t.Parallel()
	p := buildingPlan(nil)
	p.Sites[0].Replicas = 1
	w, c := startBuilding(t, p)
	awaitVoters(w, "n3", "n0")
	requestUpcomingTurn(w, "n1", "t1", "h1")
	w.Link("n0", "n1").Cut()
	w.Link("n1", "n0").Cut()
	changeReplicas(w, "n0", "n1", "n2")
	awaitReplicasDiffer(w, "n0", "n1 is to get a seat")
	workOn(w, c, "t1", "h1", w.Names()...) // a node that does not answer delays nothing
	w.Link("n0", "n1").Heal()
	w.Link("n1", "n0").Heal()
	awaitVoters(w, "n3", "n0", "n1", "n2")
	requestUpcomingTurn(w, "n0", "t2", "h2")
	w.Node("n0").Kill()
	workOn(w, c, "t2", "h2", "n1", "n2", "n3")
	w.Node("n0").Restart(KeepStore)
	workOn(w, c, "t3", "h3", w.Names()...)
	w.RequireNoViolations(twoPerSite)
}

// awaitReplicasDiffer waits until a node has logged why the replicas differ from the site file.
func awaitReplicasDiffer(w *World, node, why string) {
	w.t.Helper()
	w.Node(node).AwaitLogged("the seats are not as the site file has them yet", why)
}

// The replica of the leader is removed: the leader transfers leadership first, learns of its removal, and
// runs on without a replica. A second removed node still has the old site file.
func TestReplicaOfTheLeaderIsRemoved(t *testing.T) {
	t.Parallel()
	p := buildingPlan(nil)
	p.Sites[0].Nodes, p.Sites[0].Replicas = []string{"n0", "n1", "n2", "n3", "n4", "n5"}, 5
	w, c := startBuilding(t, p)
	leading := awaitLeader(w, "n5")
	removed := otherNodes(w, leading, "n5")[0]
	remaining := otherNodes(w, leading, removed, "n5")
	s := &w.Plan.Sites[0]
	s.Nodes, s.Replicas = append(slices.Clone(remaining), leading, removed, "n5"), 3
	w.Partition(false, removed)                // it cannot be notified of its removal, and learns of it later from the other replicas
	for _, n := range otherNodes(w, removed) { // its own file stays as it is
		w.Node(n).Reload()
	}
	w.Node(leading).AwaitLogged("this seat goes, and hands over before")
	assert.Contains(t, w.Node(leading).AwaitLogged("has taken this node's seat out"), "its site file does not name it either")
	awaitVoters(w, "n5", remaining...)
	resignedAt, removedAt := -1, -1
	for i, line := range w.Node(leading).Log() {
		if strings.Contains(line, "leads the council no more") {
			resignedAt = i
		} else if strings.Contains(line, "a seat is taken out") && strings.Contains(line, "seat="+leading) {
			removedAt = i
		}
	}
	assert.True(t, resignedAt >= 0 && (removedAt < 0 || resignedAt < removedAt), "it must have resigned before its replica is removed")
	w.Heal()
	assert.Contains(t, w.Node(removed).AwaitLogged("has taken this node's seat out"), "compare the site files")
	before := awaitLeader(w, "n5", leading, removed)
	workOn(w, c, "t1", "h1", w.Names()...)
	assert.Equal(t, before, leaderOf(w, "n5"), "the removed replicas must not cause an election")

	w.Node(removed).Restart(KeepStore) // with the new file
	awaitServed(c, removed)
	requestTurn(w, "n5", "t2", "h2", 4*time.Second)
	for _, n := range []string{leading, remaining[0]} {
		awaitExclusionSet(w, n, "h2")
	}
	w.Node(leading).Kill()
	w.Node(remaining[0]).Kill()
	workOn(w, c, "t2", "h2", otherNodes(w, leading, remaining[0])...)
	w.RequireNoViolations(twoPerSite)
}

// The site file moves the replica of a node to another node, and the node runs on. It does not receive what
// is written afterwards: its state stays as it was when its replica was removed. It used to answer from that
// state for as long as its process ran, and clients that had written there waited for a receipt forever
// ("b.661b282726c251d/10 has no receipt" for 400 rounds, in seeds 3 and 5 of the fault sequences with replica
// changes). It must ask the leader, as a node without a replica does.
func TestNodeWhoseReplicaWasRemovedReportsLaterWrites(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	removed := "n0"
	changeReplicas(w, "n1", "n2", "n3")
	awaitVoters(w, "n1", "n1", "n2", "n3")
	w.Node(removed).AwaitLogged("has taken this node's seat out")
	id := writeTo(w, removed, "safety", "host/h1", "out", "").Id
	w.Await("the node that accepted the write has the receipt", func() bool { return readFrom(w, removed, "", "", id).Receipt == "applied" })
	awaitValue(w, "host/h1", "out", w.Names()...)
	w.Await("it reports the policies as the others do", func() bool {
		r, err := w.Requester("operator").Policies(removed)
		return err == nil && r.Leader != "" && r.Leader != removed
	})
	awaitServed(c, w.Names()...)
	w.RequireNoViolations(twoPerSite)
}

// The site file moves the replica of n0 to n3, which is cut off, so that the group continues with n0. A
// process of n0 that starts then reads a file without a replica for n0. It used to run none: the group that
// counted it was one replica short and, with another one away, had no leader any more, for good ("b has the
// seats [], not [b0 b1 b2]", seed 2 of the fault sequences with replica changes: four replicas, of which b1
// had lost its store and b3, which was to be removed, was being upgraded). It must run the replica of its
// store until the group has removed it.
func TestReplicaToBeRemovedRunsAgainAfterARestart(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	requestUpcomingTurn(w, "n3", "t1", "h1")
	w.Partition(true, "n3")
	changeReplicas(w, "n1", "n2", "n3")
	w.Node(awaitLeader(w, "n2")).AwaitLogged("the seats are not as the site file has them yet", "n3")
	w.Node("n0").Restart(KeepStore)
	w.Node("n0").AwaitLogged("the seat waits no more")
	w.Node("n1").Kill()
	workOn(w, c, "t1", "h1", "n0", "n2")

	w.Heal()
	w.Node("n1").Restart(KeepStore)
	awaitVoters(w, "n2", "n1", "n2", "n3")
	w.Node("n0").AwaitLogged("has taken this node's seat out")
	w.Node("n0").Restart(KeepStore) // its store holds a replica that the group has removed
	w.Node("n0").AwaitLogged("has taken this node's seat out", "its site file does not name it either")
	workOn(w, c, "t2", "h2", w.Names()...)

	// When the site file names it again, it logs what is needed, because its store holds a removed replica.
	changeReplicas(w, "n0", "n1", "n2")
	w.Node("n0").AwaitLogged("has taken this node's seat out while it was away", "put its store aside and start it with an empty one")
	w.Node("n0").Restart(EmptyStore)
	awaitVoters(w, "n3", "n0", "n1", "n2")
	w.RequireNoViolations(twoPerSite)
}

// confirmStore calls Vouch for a node with some of the fields: an operator confirms that the node's store is
// current.
func confirmStore(w *World, node string, fields map[string]any) error {
	fields["node"] = node
	return w.Requester("operator").call(Op{Node: "n3", Kind: "Vouch"}, fields, &peerpb.SeatReply{}, nil)
}

// One of three replicas has lost its store and another one restarts: it waits until an operator confirms that
// its store is current.
func TestOperatorConfirmsTheStoreOfAWaitingReplica(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	lost, restarted, running := "n0", "n1", "n2"
	requestUpcomingTurn(w, running, "t1", "h1")
	const riskField = "i_know_that_an_older_store_undoes_what_was_agreed_on"
	w.Await("the confirmation is refused as unnecessary", func() bool {
		err := confirmStore(w, restarted, map[string]any{"by": "operator", "why": "w", riskField: true})
		return err != nil && strings.Contains(err.Error(), "it is not needed: its seat does not wait")
	})
	w.Node(lost).Kill()
	w.Node(restarted).Kill()
	w.Node(lost).Restart(EmptyStore)
	w.Node(restarted).Restart(KeepStore)
	w.Node(restarted).AwaitLogged("the seat waits", "wanted=2")
	w.Node(lost).AwaitLogged("has to take it in")
	awaitServed(c, "n3")

	fields := map[string]any{"by": "operator", "why": "n0's disk is gone, this one's is as it was"}
	require.ErrorContains(t, confirmStore(w, restarted, fields), "votes as if it had not voted")
	fields[riskField] = true
	require.ErrorContains(t, confirmStore(w, restarted, map[string]any{riskField: true}), "give by and why")
	w.Await("the store is confirmed", func() bool { return confirmStore(w, restarted, fields) == nil })
	assert.Contains(t, w.Node(restarted).AwaitLogged("an operator vouches"), "this one's is as it was")
	addReplica(w, lost)
	workOn(w, c, "t1", "h1", w.Names()...)
	requestUpcomingTurn(w, running, "t2", "h2")
	w.Node(running).Kill()
	workOn(w, c, "t2", "h2", otherNodes(w, running)...)
	w.RequireNoViolations(twoPerSite)
}

// rebootstrap calls FoundAnew at one node for another.
func rebootstrap(w *World, contact, node string, lost ...string) error {
	return w.Requester("operator").call(Op{Node: contact, Kind: "FoundAnew"}, map[string]any{"node": node, "lost": lost, "by": "operator",
		"why": "fire", "i_know_that_the_lost_stores_must_never_run_again": true}, &peerpb.SeatReply{}, nil)
}

// Three of five replicas are lost. The two that remain have no quorum. One of them bootstraps the group
// again, with its schedule of turns, and the other one and new ones join. A lost replica that comes back with
// its store is refused for good and sends nothing.
func TestGroupThatLostMostOfItsStoresIsRebootstrapped(t *testing.T) {
	t.Parallel()
	p := buildingPlan(nil)
	p.Sites[0].Nodes, p.Sites[0].Replicas = []string{"n0", "n1", "n2", "n3", "n4", "n5"}, 5
	w, c := startBuilding(t, p)
	for id, host := range map[string]string{"t1": "h1", "t2": "h2"} {
		requestTurn(w, "n5", id, host, 8*time.Second)
	}
	for _, n := range w.Names() {
		awaitExclusionSet(w, n, `"h1 h2"`)
	}
	lost := []string{"n0", "n1", "n2"}
	var copies []string
	for _, n := range lost {
		copies = append(copies, w.Node(n).CopyStore())
	}
	require.ErrorContains(t, rebootstrap(w, "n3", "n3", "n0", "n1"), "it is not needed: ")
	for _, n := range lost {
		w.Node(n).Kill()
	}
	var survivor string
	w.Await("one of the two has bootstrapped the group again", func() bool {
		for _, n := range []string{"n3", "n4"} {
			if survivor == "" && rebootstrap(w, "n5", n, lost...) == nil {
				survivor = n
			}
		}
		return survivor != ""
	})
	other := otherNodes(w, append(lost, survivor, "n5")...)[0]
	w.Node(survivor).AwaitLogged("has founded the council anew", "n0 n1 n2", "by=operator", "why=fire")
	assert.Contains(t, w.Node(other).AwaitLogged("control has stopped, and nothing is sent"), "before it was founded anew")

	// The disk of one replica was not lost: that replica is refused, and the excluded hosts are not reported to it.
	w.Node("n0").Restart(StaleStore(copies[0]))
	assert.Contains(t, w.Node("n0").AwaitLogged("control has stopped, and nothing is sent"), "put its store aside")
	before := len(firstLinesFrom(w, "n0"))
	workOn(w, c, "t1", "h1", survivor, "n5")
	assert.Len(t, firstLinesFrom(w, "n0"), before)
	awaitVoters(w, "n5", survivor)

	for _, n := range append(lost, other) {
		w.Node(n).Restart(EmptyStore)
	}
	awaitVoters(w, "n5", "n0", "n1", "n2", "n3", "n4")
	workOn(w, c, "t2", "h2", w.Names()...)
	requestTurn(w, "n5", "t4", "h4", 4*time.Second)
	for _, n := range []string{survivor, "n0"} {
		awaitExclusionSet(w, n, "h4")
	}
	w.Node(survivor).Kill()
	w.Node("n0").Kill()
	workOn(w, c, "t4", "h4", otherNodes(w, survivor, "n0")...)
	w.RequireNoViolations(twoPerSite)
}

// Two of three replicas are lost and come back with their stores while the third cannot reach them. They must
// wait, so that there are no two groups, and are refused once they are reachable.
func TestLostReplicasThatComeBackFormNoGroup(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	requestUpcomingTurn(w, "n2", "t1", "h1")
	awaitExclusionSet(w, "n0", "h1")
	awaitExclusionSet(w, "n1", "h1")
	w.Node("n0").Kill()
	w.Node("n1").Kill()
	w.Partition(true, "n2", "n3")
	w.Node("n2").Restart(KeepStore)
	w.Node("n2").AwaitLogged("the seat waits")
	w.Await("the last replica has bootstrapped the group again", func() bool {
		err := rebootstrap(w, "n2", "n2", "n0", "n1")
		return err == nil
	})
	for _, n := range []string{"n0", "n1"} {
		w.Node(n).Restart(KeepStore)
		w.Node(n).AwaitLogged("the seat waits")
	}
	workOn(w, c, "t1", "h1", "n2", "n3")
	c.AwaitServed(100, "n0") // several seconds: far longer than an election takes
	for _, n := range []string{"n0", "n1"} {
		assert.False(t, anyLogged(w, "leads the council", n), n)
		assert.False(t, anyLogged(w, "control has stopped", n), n)
	}
	w.Heal()
	for _, n := range []string{"n0", "n1"} {
		w.Node(n).AwaitLogged("control has stopped, and nothing is sent")
		w.Node(n).Restart(EmptyStore)
	}
	awaitVoters(w, "n3", "n0", "n1", "n2")
	workOn(w, c, "t2", "h2", w.Names()...)
	w.RequireNoViolations(twoPerSite)
}

// A replica whose site file names a witness file, which verifies the store, does not wait for others after a
// restart, even with another replica down.
func TestReplicaWithAWitnessFileDoesNotWait(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("/dev/shm", "lichenhitch-witness-")
	require.NoError(t, err)
	t.Cleanup(func() { os.RemoveAll(dir) })
	w, c := startBuilding(t, buildingPlan(func(name string, f *sitepb.File) { f.Witness = filepath.Join(dir, name) }))
	requestUpcomingTurn(w, "n0", "t1", "h1")
	w.Node("n0").Kill()
	w.Node("n1").Restart(KeepStore)
	workOn(w, c, "t1", "h1", "n1", "n2", "n3")
	assert.False(t, anyLogged(w, "the seat waits", "n1"))
	w.RequireNoViolations(twoPerSite)
}
