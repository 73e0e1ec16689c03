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

func TestCouncilsAreToldApartByTheirFoundings(t *testing.T) {
	for _, c := range []struct {
		own, others []uint64
		want        kin
	}{
		{nil, nil, same}, {nil, []uint64{1}, same}, {[]uint64{1}, nil, same}, {[]uint64{1}, []uint64{1}, same},
		{[]uint64{1, 2}, []uint64{1, 2}, same}, {[]uint64{1, 2}, []uint64{1}, older}, {[]uint64{1, 2}, nil, older},
		{[]uint64{1}, []uint64{1, 2}, newer}, {nil, []uint64{1, 2}, newer},
		{[]uint64{1}, []uint64{2}, foreign}, {[]uint64{1, 2}, []uint64{1, 3}, foreign}, {[]uint64{1, 2}, []uint64{3}, foreign},
	} {
		assert.Equal(t, c.want, kinOf(c.own, c.others), "%v %v", c.own, c.others)
	}
}

// TestAWordOnSeatsIsRefusedWhereItIsNotNeeded, and without what it risks, who gives it and why.
func TestAWordOnSeatsIsRefusedWhereItIsNotNeeded(t *testing.T) {
	a := start(t, 0)
	vouch := &peerpb.VouchRequest{Node: "n1", By: "desk", Why: "w", IKnowThatAnOlderStoreUndoesWhatWasAgreedOn: true}
	require.ErrorAs(t, a.core.Vouch(a.now, vouch), new(*NoReplicaError), "it belongs to none yet")
	a.advance(5 * time.Second)
	require.ErrorAs(t, a.core.Vouch(a.now, vouch), new(*NotYetError))
	a.advance(time.Minute)
	require.True(t, a.core.Leading())
	require.ErrorAs(t, a.core.Vouch(a.now, vouch), new(*NotNeededError))
	found := &peerpb.FoundRequest{Node: "n1", Lost: []string{"n2"}, By: "desk", Why: "w", IKnowThatTheLostStoresMustNeverRunAgain: true}
	require.ErrorAs(t, a.core.FoundAnew(a.now, found), new(*NotNeededError))
	found.Why = " "
	require.ErrorAs(t, a.core.FoundAnew(a.now, found), new(*ReasonError))
	found.IKnowThatTheLostStoresMustNeverRunAgain = false
	require.ErrorAs(t, a.core.FoundAnew(a.now, found), new(*SeatRiskError))
	assert.Equal(t, []string{"n1"}, a.core.Seats())
	assert.Len(t, a.core.seating.Foundings, 1)
}

// TestASeatOfTheCouncilBeforeIsRefused for good, and one that hears of a later founding refuses itself; neither is heard.
func TestASeatOfTheCouncilBeforeIsRefused(t *testing.T) {
	a := newSoleVoter(t)
	a.core.circle = append(a.core.circle, "n2")
	hello := func(foundings ...uint64) *peerpb.RaftRequest {
		id := consensus.ReplicaIDOf("s/n2", 5)
		return &peerpb.RaftRequest{Hello: &peerpb.Hello{Node: "n2", Life: 5, Founded: true, Foundings: foundings,
			Claim: &peerpb.Claim{Seat: uint64(id), Boot: 1, Run: 2, Sent: 1, Term: 1, Last: 9, Commit: 9, Seats: []uint64{uint64(id)}}}}
	}
	r := a.core.HandleRaft(a.now, hello(77))
	assert.Contains(t, r.Refused, "another council")
	assert.False(t, r.Ends)
	first := a.core.seating.Foundings[0]
	a.core.seating.Foundings = []uint64{first, 9}
	r = a.core.HandleRaft(a.now, hello(first))
	assert.True(t, r.Ends)
	assert.Contains(t, r.Refused, "before it was founded anew")
	assert.Nil(t, a.core.peers["n2"])
	require.NoError(t, a.core.StopCause())
	a.core.HandleRaft(a.now, hello(first, 9, 11))
	require.ErrorAs(t, a.core.StopCause(), new(*consensus.RefusedError))
	assert.True(t, a.restrictions.AllAfterExpiry, "it sends nowhere")
}

// TestARightOfTheCouncilBeforeIsNotTaken once one of the later council was.
func TestARightOfTheCouncilBeforeIsNotTaken(t *testing.T) {
	a := newSoleVoter(t)
	a.core.council = []uint64{1, 2}
	for _, c := range []struct {
		foundings []uint64
		taken     bool
	}{{[]uint64{1}, false}, {nil, false}, {[]uint64{1, 2}, true}, {[]uint64{1, 2, 3}, true}, {[]uint64{1, 2}, false}, {[]uint64{8}, true}} {
		a.core.leader = ""
		a.core.HandleLeaseResponse(a.now, &peerpb.RenewReply{Leader: "n2", Foundings: c.foundings})
		assert.Equal(t, c.taken, a.core.leader == "n2", "%v", c.foundings)
	}
}

// A seat that is to go may lead when a new one comes: its site file does not name it any more, and yet the new one, whose store is
// empty, has to hear from it what was agreed on. A node that is none of the site's is not heard.
func TestANewSeatHearsALeaderThatGoes(t *testing.T) {
	c, err := New(0, Options{StoreIncarnation: 1, OpenCount: 1, RunID: 7, Site: &site.Site{Node: "n3", Own: site.Definition{Name: "s"}, Voters: []string{"n1", "n2", "n3"},
		Members: []string{"n0", "n1", "n2", "n3"}, IsVoter: true, Tick: time.Second, SnapshotEvery: 1000}}, &soleVoter{t: t})
	require.NoError(t, err)
	hello := func(node string, founded bool) *peerpb.RaftReply {
		h := &peerpb.Hello{Node: node, Life: 5, Founded: founded, Seats: []string{"n0", "n1", "n2"}}
		return c.HandleRaft(0, &peerpb.RaftRequest{Hello: h})
	}
	assert.Contains(t, hello("n0", false).Refused, "has no seat", "one that belongs to no council has nothing to tell")
	assert.Empty(t, hello("n0", true).Refused)
	assert.Contains(t, c.circle, "n0", "and is answered")
	assert.Contains(t, hello("n9", true).Refused, "has no seat")
}

// A leader greets whoever its file names and the council has not yet: one that comes may not know that it leads.
func TestALeaderGreetsWhoComes(t *testing.T) {
	a := newSoleVoter(t)
	a.raftSentTo = nil
	a.advance(5 * time.Second)
	assert.Empty(t, a.raftSentTo)
	next := *a.core.Site
	next.Voters = []string{"n1", "n2"}
	a.core.Retune(&next)
	a.advance(5 * time.Second)
	assert.Contains(t, a.raftSentTo, "n2")
}

// Whether a node answers reads from its own state, by where its seat stands in its log. A seat that learnt and was taken out again hears
// nothing of that, and its state stays as it was: "b3: role=learner applied=273" with the others at 1211, and a write without a receipt for
// 400 rounds, in storm 40 with seats that change.
func TestOnlyASeatThatCountsAnswersFromItsOwnState(t *testing.T) {
	a := newSoleVoter(t)
	self, other := uint64(a.core.replicaID), uint64(consensus.ReplicaIDOf("s/n2", 5))
	seatOf := func(boot uint64, conf *raftpb.ConfState) *consensus.Replica {
		snapshot := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(9)), Term: new(uint64(2)), ConfState: conf}}
		seat, err := consensus.New(consensus.Options{Self: consensus.ReplicaID(self), OpenCount: boot, RunID: 1}, consensus.StoredState{Snapshot: snapshot, Applied: 9,
			HardState: &raftpb.HardState{Term: new(uint64(2)), Vote: new(uint64(0)), Commit: new(uint64(9))}})
		require.NoError(t, err)
		return seat
	}
	for name, c := range map[string]struct {
		seat    *consensus.Replica
		answers bool
	}{
		"counts":                 {seatOf(1, &raftpb.ConfState{Voters: []uint64{self, other}}), true},
		"learns, or did":         {seatOf(1, &raftpb.ConfState{Voters: []uint64{other}, Learners: []uint64{self}}), false},
		"was taken out":          {seatOf(1, &raftpb.ConfState{Voters: []uint64{other}}), false},
		"waits for other's word": {seatOf(2, &raftpb.ConfState{Voters: []uint64{self, other}}), false},
		"is none":                {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			a.core.replica, a.core.leading, a.core.leader = c.seat, false, "n2"
			for what, answer := range map[string]func() error{
				"read":     func() error { _, err := a.core.Read(sitesync.Work, "work/x", ""); return err },
				"policies": func() error { _, err := a.core.Policies(a.now); return err },
			} {
				if err := answer(); c.answers {
					assert.NoError(t, err, what)
				} else {
					var elsewhere *NotLeaderError
					require.ErrorAs(t, err, &elsewhere, what)
					assert.Equal(t, "n2", elsewhere.Leader)
				}
			}
		})
	}
}

// TestASeatThatWasTakenInSinceIsHeard by one that is behind and whose site file does not name it: it may lead, and nobody else tells of it.
func TestASeatThatWasTakenInSinceIsHeard(t *testing.T) {
	a := newSoleVoter(t)
	id, self := consensus.ReplicaIDOf("s/n2", 5), uint64(a.core.replicaID)
	committed := a.core.replica.Status().Committed
	refused := func(commit uint64, seats ...uint64) string {
		return a.core.HandleRaft(a.now, &peerpb.RaftRequest{Hello: &peerpb.Hello{Node: "n2", Life: 5, Founded: true,
			Foundings: a.core.seating.Foundings, Claim: &peerpb.Claim{Seat: uint64(id), Boot: 1, Run: 2, Sent: commit, Term: 1, Last: commit,
				Commit: commit, Seats: seats}}}).Refused
	}
	assert.Contains(t, refused(committed, uint64(id), self), "has no seat", "this seat's own log says more")
	assert.Contains(t, refused(committed+1, uint64(id)), "has no seat", "its council does not count this one")
	assert.Contains(t, refused(committed+1, self), "has no seat", "nor does it count itself")
	assert.Empty(t, refused(committed+1, uint64(id), self))
	assert.Contains(t, a.core.circle, "n2", "and it is answered")
}
