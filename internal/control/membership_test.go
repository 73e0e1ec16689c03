package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"

	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/consensus"
	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site"
)

func TestCompareLineage(t *testing.T) {
	for _, c := range []struct {
		own, others []uint64
		want        lineage
	}{
		{nil, nil, sameLineage}, {nil, []uint64{1}, sameLineage}, {[]uint64{1}, nil, sameLineage}, {[]uint64{1}, []uint64{1}, sameLineage},
		{[]uint64{1, 2}, []uint64{1, 2}, sameLineage}, {[]uint64{1, 2}, []uint64{1}, olderLineage}, {[]uint64{1, 2}, nil, olderLineage},
		{[]uint64{1}, []uint64{1, 2}, newerLineage}, {nil, []uint64{1, 2}, newerLineage},
		{[]uint64{1}, []uint64{2}, foreignLineage}, {[]uint64{1, 2}, []uint64{1, 3}, foreignLineage}, {[]uint64{1, 2}, []uint64{3}, foreignLineage},
	} {
		assert.Equal(t, c.want, compareLineage(c.own, c.others), "%v %v", c.own, c.others)
	}
}

// An operator's command about replicas is refused if it is not needed, or comes without accepting its risk, the
// operator's name or a reason.
func TestOperatorCommandsOnReplicasAreRefusedWhereNotNeeded(t *testing.T) {
	a := start(t, 0)
	confirm := &peerpb.VouchRequest{Node: "n1", By: "desk", Why: "w", IKnowThatAnOlderStoreUndoesWhatWasAgreedOn: true}
	require.ErrorAs(t, a.core.ConfirmStore(a.now, confirm), new(*NoReplicaError), "it belongs to no group yet")
	a.advance(5 * time.Second)
	require.ErrorAs(t, a.core.ConfirmStore(a.now, confirm), new(*TooEarlyError))
	a.advance(time.Minute)
	require.True(t, a.core.Leading())
	require.ErrorAs(t, a.core.ConfirmStore(a.now, confirm), new(*NotNeededError))
	rebootstrap := &peerpb.FoundRequest{Node: "n1", Lost: []string{"n2"}, By: "desk", Why: "w", IKnowThatTheLostStoresMustNeverRunAgain: true}
	require.ErrorAs(t, a.core.Rebootstrap(a.now, rebootstrap), new(*NotNeededError))
	rebootstrap.Why = " "
	require.ErrorAs(t, a.core.Rebootstrap(a.now, rebootstrap), new(*MissingReasonError))
	rebootstrap.IKnowThatTheLostStoresMustNeverRunAgain = false
	require.ErrorAs(t, a.core.Rebootstrap(a.now, rebootstrap), new(*ReplicaRiskError))
	assert.Equal(t, []string{"n1"}, a.core.Voters())
	assert.Len(t, a.core.membership.BootstrapIDs, 1)
}

// A replica of a superseded group is refused for good, and a replica that learns of a later bootstrap refuses itself;
// neither one's state is used.
func TestReplicaOfSupersededGroupIsRefused(t *testing.T) {
	a := newSoleVoter(t)
	a.core.contacts = append(a.core.contacts, "n2")
	hello := func(bootstrapIDs ...uint64) *peerpb.RaftRequest {
		id := consensus.ReplicaIDOf("s/n2", 5)
		return &peerpb.RaftRequest{Hello: &peerpb.Hello{Node: "n2", Life: 5, Founded: true, Foundings: bootstrapIDs,
			Claim: &peerpb.Claim{Seat: uint64(id), Boot: 1, Run: 2, Sent: 1, Term: 1, Last: 9, Commit: 9, Seats: []uint64{uint64(id)}}}}
	}
	r := a.core.HandleRaft(a.now, hello(77))
	assert.Contains(t, r.Refused, "another consensus group")
	assert.False(t, r.Ends)
	first := a.core.membership.BootstrapIDs[0]
	a.core.membership.BootstrapIDs = []uint64{first, 9}
	r = a.core.HandleRaft(a.now, hello(first))
	assert.True(t, r.Ends)
	assert.Contains(t, r.Refused, "before it was founded anew")
	assert.Nil(t, a.core.peers["n2"])
	require.NoError(t, a.core.StopCause())
	a.core.HandleRaft(a.now, hello(first, 9, 11))
	require.ErrorAs(t, a.core.StopCause(), new(*consensus.RefusedError))
	assert.True(t, a.restrictions.AllAfterExpiry, "it must not send anywhere")
}

// A send lease of a superseded group is not accepted once one of the later group was.
func TestLeaseOfSupersededGroupIsNotAccepted(t *testing.T) {
	a := newSoleVoter(t)
	a.core.leaseBootstrapIDs = []uint64{1, 2}
	for _, c := range []struct {
		bootstrapIDs []uint64
		accepted     bool
	}{{[]uint64{1}, false}, {nil, false}, {[]uint64{1, 2}, true}, {[]uint64{1, 2, 3}, true}, {[]uint64{1, 2}, false}, {[]uint64{8}, true}} {
		a.core.leader = ""
		a.core.HandleLeaseResponse(a.now, &peerpb.RenewReply{Leader: "n2", Foundings: c.bootstrapIDs})
		assert.Equal(t, c.accepted, a.core.leader == "n2", "%v", c.bootstrapIDs)
	}
}

// A replica that is being removed may lead when a new one is added: its site file does not name it any more, and yet
// the new one, whose store is empty, has to receive the log from it. A node that is not in the site file is refused.
func TestNewReplicaAcceptsHelloOfLeaderBeingRemoved(t *testing.T) {
	c, err := New(0, Options{StoreIncarnation: 1, OpenCount: 1, RunID: 7, Site: &site.Site{Node: "n3", Own: site.Definition{Name: "s"},
		Voters: []string{"n1", "n2", "n3"}, Members: []string{"n0", "n1", "n2", "n3"}, IsVoter: true, Tick: time.Second, SnapshotEvery: 1000}}, &soleVoter{t: t})
	require.NoError(t, err)
	hello := func(node string, founded bool) *peerpb.RaftReply {
		h := &peerpb.Hello{Node: node, Life: 5, Founded: founded, Seats: []string{"n0", "n1", "n2"}}
		return c.HandleRaft(0, &peerpb.RaftRequest{Hello: h})
	}
	assert.Contains(t, hello("n0", false).Refused, "has no seat", "a replica without a group has nothing to report")
	assert.Empty(t, hello("n0", true).Refused)
	assert.Contains(t, c.contacts, "n0", "and hellos are sent to it")
	assert.Contains(t, hello("n9", true).Refused, "has no seat")
}

// A leader sends hellos to a voter of its site file that the group lacks: a new replica may not know that this node
// leads.
func TestLeaderSendsHelloToMissingVoter(t *testing.T) {
	a := newSoleVoter(t)
	a.raftSentTo = nil
	a.advance(5 * time.Second)
	assert.Empty(t, a.raftSentTo)
	next := *a.core.Site
	next.Voters = []string{"n1", "n2"}
	a.core.ApplySiteFile(&next)
	a.advance(5 * time.Second)
	assert.Contains(t, a.raftSentTo, "n2")
}

// Whether a node answers reads from its own state depends on whether its replica votes, per its log. A replica that
// was a learner and was removed again does not learn of that, and its state stays as it was: "b3: role=learner
// applied=273" with the others at 1211, and a write without a receipt for 400 rounds, in fault sequence 40 with
// replicas that change.
func TestOnlyAVoterAnswersFromItsOwnState(t *testing.T) {
	a := newSoleVoter(t)
	self, other := uint64(a.core.replicaID), uint64(consensus.ReplicaIDOf("s/n2", 5))
	replicaOf := func(openCount uint64, conf *raftpb.ConfState) *consensus.Replica {
		snapshot := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(9)), Term: new(uint64(2)), ConfState: conf}}
		replica, err := consensus.New(consensus.Options{Self: consensus.ReplicaID(self), OpenCount: openCount, RunID: 1},
			consensus.StoredState{Snapshot: snapshot, Applied: 9,
				HardState: &raftpb.HardState{Term: new(uint64(2)), Vote: new(uint64(0)), Commit: new(uint64(9))}})
		require.NoError(t, err)
		return replica
	}
	for name, c := range map[string]struct {
		replica *consensus.Replica
		answers bool
	}{
		"votes":               {replicaOf(1, &raftpb.ConfState{Voters: []uint64{self, other}}), true},
		"is or was a learner": {replicaOf(1, &raftpb.ConfState{Voters: []uint64{other}, Learners: []uint64{self}}), false},
		"was removed":         {replicaOf(1, &raftpb.ConfState{Voters: []uint64{other}}), false},
		"is unconfirmed":      {replicaOf(2, &raftpb.ConfState{Voters: []uint64{self, other}}), false},
		"has no replica":      {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			a.core.replica, a.core.leading, a.core.leader = c.replica, false, "n2"
			for what, answer := range map[string]func() error{
				"read":     func() error { _, err := a.core.Read(sitesync.Work, "work/x", ""); return err },
				"policies": func() error { _, err := a.core.Policies(a.now); return err },
			} {
				if err := answer(); c.answers {
					assert.NoError(t, err, what)
				} else {
					var notLeader *NotLeaderError
					require.ErrorAs(t, err, &notLeader, what)
					assert.Equal(t, "n2", notLeader.Leader)
				}
			}
		})
	}
}

// A replica that is behind accepts the hello of one that was added since and that its site file does not name: the added
// one may lead, and no other one reports it.
func TestReplicaAddedSinceIsHeard(t *testing.T) {
	a := newSoleVoter(t)
	id, self := consensus.ReplicaIDOf("s/n2", 5), uint64(a.core.replicaID)
	committed := a.core.replica.Status().Committed
	refused := func(commit uint64, voters ...uint64) string {
		return a.core.HandleRaft(a.now, &peerpb.RaftRequest{Hello: &peerpb.Hello{Node: "n2", Life: 5, Founded: true,
			Foundings: a.core.membership.BootstrapIDs, Claim: &peerpb.Claim{Seat: uint64(id), Boot: 1, Run: 2, Sent: commit, Term: 1, Last: commit,
				Commit: commit, Seats: voters}}}).Refused
	}
	assert.Contains(t, refused(committed, uint64(id), self), "has no seat", "this replica's own log has as much")
	assert.Contains(t, refused(committed+1, uint64(id)), "has no seat", "its group does not list this replica")
	assert.Contains(t, refused(committed+1, self), "has no seat", "nor does it list itself")
	assert.Empty(t, refused(committed+1, uint64(id), self))
	assert.Contains(t, a.core.contacts, "n2", "and hellos are sent to it")
}
