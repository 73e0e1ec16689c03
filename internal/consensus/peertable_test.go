package consensus

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// restart kills the process of a replica, if any, and starts another one on a store.
func (cl *cluster) restart(id ReplicaID, store *memoryStore) *process {
	if p := cl.processOf(id); p != nil {
		cl.kill(p)
	}
	cl.stores[id] = store
	return cl.run(id, store, nil)
}

// isolate cuts the links between a replica and all others.
func (cl *cluster) isolate(id ReplicaID) {
	for other := ReplicaID(1); other <= 5; other++ {
		cl.cut[[2]ReplicaID{id, other}], cl.cut[[2]ReplicaID{other, id}] = true, true
	}
}

// restoreOldStore restarts a replica with its store as it was before the last committed entry, and waits until it is
// refused.
func restoreOldStore(t *testing.T, cl *cluster, id ReplicaID) *process {
	oldStore := cl.stores[id].copy()
	cl.commitEntry()
	cl.awaitConverged()
	p := cl.restart(id, &oldStore)
	cl.runUntil(100, "the store is refused", func() bool { return p.refused != nil })
	assert.ErrorAs(t, p.refused, new(*StaleStoreError))
	cl.commitEntry()
	return p
}

func TestAStaleStoreIsRefusedByAReplicaThatKnowsMore(t *testing.T) {
	forEachSeed(t, 20, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 3)
		cl.commitEntry()
		cl.awaitConverged()
		id := cl.leader().id%3 + 1 // a follower
		p := restoreOldStore(t, cl, id)
		assert.Less(t, p.applied, cl.committed)
		p = cl.restart(id, cl.stores[id])
		assert.ErrorAs(t, p.replica.Step(nil), new(*RefusedError), "the refusal survives a restart")
	})
}

// A leader acknowledges nothing. A stale store of it, copied after its election, is refused because of what it reported
// of its log while it was the leader.
func TestAStaleStoreOfALeaderIsRefused(t *testing.T) {
	forEachSeed(t, 20, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 3)
		cl.commitEntry()
		cl.awaitConverged()
		restoreOldStore(t, cl, cl.leader().id)
	})
}

// What two of three replicas committed stays committed if one of the two loses it and all processes restart, so that no
// peer table is left.
func TestAStaleStoreAtAColdStart(t *testing.T) {
	forEachSeed(t, 40, func(t *testing.T, seed uint64) {
		verified := seed%2 == 0 // of the lagging replica: if verified, it has no position to catch up to, and may campaign and vote
		cl := newCluster(t, seed, 3)
		cl.commitEntry()
		cl.awaitConverged()
		lead := cl.leader().id
		stale, lagging := lead%3+1, (lead+1)%3+1
		cl.isolate(lagging)
		oldStore := cl.stores[stale].copy()
		cl.commitEntry()
		cl.commitEntry()
		for id := ReplicaID(1); id <= 3; id++ {
			cl.kill(cl.processOf(id))
		}
		clear(cl.cut)
		cl.queue = nil
		p := cl.restart(stale, &oldStore)
		cl.start(lagging, cl.stores[lagging], nil, verified)
		committed := cl.committed
		cl.ticks(200)
		assert.Equal(t, committed, cl.committed)
		assert.True(t, p.replica.Status().Unconfirmed, "the third replica, whose answer is needed, is down")
		cl.restart(lead, cl.stores[lead])
		cl.runUntil(20, "the stores are confirmed", func() bool { return !p.replica.Status().Unconfirmed })
		cl.kill(cl.processOf(lead))
		for range 200 {
			cl.tick()
			for _, p := range cl.processes {
				cl.propose(p) // they could overwrite it
			}
		}
		assert.Equal(t, committed, cl.committed, "no entry may be committed: neither of the two has the last one, and one of them helped to commit it")
		cl.restart(lead, cl.stores[lead])
		cl.commitEntry()
		cl.awaitConverged()
	})
}

func TestAllReplicasStartAtOnce(t *testing.T) {
	forEachSeed(t, 20, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 5)
		cl.commitEntry()
		cl.awaitConverged()
		for id := ReplicaID(1); id <= 5; id++ {
			cl.restart(id, cl.stores[id])
		}
		cl.runUntil(4, "the stores are confirmed", func() bool {
			for _, p := range cl.processes {
				if p.replica.Status().Unconfirmed {
					return false
				}
			}
			return true
		})
		cl.commitEntry()
	})
}

func TestWithOneReplicaDownARebootedMachineWaits(t *testing.T) {
	forEachSeed(t, 5, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 3)
		cl.commitEntry()
		cl.awaitConverged()
		id := cl.leader().id%3 + 1
		cl.kill(cl.processOf((cl.leader().id+1)%3 + 1))
		p := cl.restart(id, cl.stores[id])
		cl.ticks(100)
		require.True(t, p.replica.Status().Unconfirmed)
		require.NoError(t, p.replica.ConfirmStore())
		cl.commitEntry()
		cl.kill(p)
		cl.start(id, cl.stores[id], nil, true)
		cl.commitEntry()
	})
}

// The leader, which may count what this replica once acknowledged, must be among the replicas that are asked.
func TestTheLeaderIsAmongThoseThatAnswer(t *testing.T) {
	forEachSeed(t, 10, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 5)
		cl.commitEntry()
		cl.awaitConverged()
		lead := cl.leader().id
		id := lead%5 + 1
		cl.cut[[2]ReplicaID{lead, id}], cl.cut[[2]ReplicaID{id, lead}] = true, true
		p := cl.restart(id, cl.stores[id])
		cl.ticks(5)
		assert.Len(t, p.replica.confirming.reports, 3)
		clear(cl.cut)
		cl.runUntil(5, "the stores are confirmed", func() bool { return !p.replica.Status().Unconfirmed })
	})
}

// A replica that may have forgotten its vote does not vote in that term again.
func TestNoSecondVote(t *testing.T) {
	conf := &raftpb.ConfState{Voters: []uint64{1, 2, 3}}
	d := StoredState{
		HardState: &raftpb.HardState{Term: new(uint64(3)), Commit: new(uint64(7))},
		Snapshot:  &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(7)), Term: new(uint64(3)), ConfState: conf}},
	}
	for _, try := range [][2]uint64{{3, 3}, {4, 3}, {3, 5}, {4, 5}, {5, 5}, {6, 5}} {
		term, highest := try[0], try[1] // of the candidate; the highest of the other replicas
		s, err := New(Options{Self: 1, OpenCount: 2, RunID: 9}, d)
		require.NoError(t, err)
		for id := ReplicaID(2); id <= 3; id++ {
			require.True(t, s.Status().Unconfirmed)
			require.NoError(t, s.Observe(SelfReport{Replica: id, OpenCount: 1, RunID: 1, Sequence: 1,
				Term: max(3, highest*uint64(id-2)), LastTerm: 3, LastIndex: 7, EchoRunID: 9, Echo: 1}))
		}
		require.False(t, s.Status().Unconfirmed)
		vote, err := proto.Marshal(&raftpb.Message{Type: raftpb.MessageType_MsgVote.Enum(), To: new(uint64(1)), From: new(uint64(3)),
			Term: new(term), LogTerm: new(uint64(3)), Index: new(uint64(7)), Context: []byte("CampaignTransfer")})
		require.NoError(t, err)
		require.NoError(t, s.Step(vote))
		granted := false
		for o, ok := s.Ready(); ok; o, ok = s.Ready() {
			for _, m := range o.Send {
				got := &raftpb.Message{}
				require.NoError(t, proto.Unmarshal(m.Raw, got))
				granted = granted || got.GetType() == raftpb.MessageType_MsgVoteResp && !got.GetReject()
			}
			s.Advance(o)
		}
		assert.Equal(t, term > highest, granted, "term %d of %d", term, highest)
	}
}

func TestACopiedStoreStartedTwice(t *testing.T) {
	for _, running := range []bool{true, false} {
		forEachSeed(t, 20, func(t *testing.T, seed uint64) {
			cl := newCluster(t, seed, 3)
			cl.commitEntry()
			cl.awaitConverged()
			id := cl.leader().id%3 + 1
			original := cl.processOf(id)
			copied := cl.stores[id].copy()
			if !running {
				again := cl.stores[id].copy()
				original = cl.restart(id, &again)
			}
			copyProcess := cl.run(id, &copied, nil)
			cl.runUntil(200, "both are refused", func() bool { return original.refused != nil && copyProcess.refused != nil })
			assert.ErrorAs(t, original.refused, new(*CopiedStoreError))
			assert.ErrorAs(t, copyProcess.refused, new(*CopiedStoreError))
			cl.commitEntry()
		})
	}
}

// A process whose successor runs on the same store is no copy, however late its last messages arrive.
func TestLateMessagesOfThePreviousProcess(t *testing.T) {
	r := NewPeerTable(1, 100)
	r.sequence = 5
	require.NoError(t, r.Observe(SelfReport{Replica: 2, OpenCount: 3, RunID: 7, Sequence: 1, Echo: 4, EchoRunID: 100}))
	require.NoError(t, r.Observe(SelfReport{Replica: 2, OpenCount: 4, RunID: 8, Sequence: 1}))
	assert.ErrorAs(t, r.Observe(SelfReport{Replica: 2, OpenCount: 3, RunID: 7, Sequence: 9, Echo: 5, EchoRunID: 100}), new(*LateMessageError))
	require.NoError(t, r.Observe(SelfReport{Replica: 2, OpenCount: 4, RunID: 8, Sequence: 2}))
	assert.ErrorAs(t, r.Observe(SelfReport{Replica: 2, OpenCount: 2, RunID: 6, Sequence: 9}), new(*StaleStoreError))
	r.sequence = 6
	assert.ErrorAs(t, r.Observe(SelfReport{Replica: 2, OpenCount: 3, RunID: 7, Sequence: 10, Echo: 6, EchoRunID: 100}), new(*CopiedStoreError),
		"it received a report sent after its successor was heard from")
	assert.ErrorAs(t, r.Observe(SelfReport{Replica: 2, OpenCount: 4, RunID: 8, Sequence: 3}), new(*CopiedStoreError))
	assert.ErrorAs(t, r.Observe(SelfReport{Replica: 1, OpenCount: 4, RunID: 8, Sequence: 3}), new(*CopiedStoreError), "another process reports as this replica")
}

// Runs stale stores among all other faults: committed entries stay committed.
func TestFaultsWithAStaleStore(t *testing.T) {
	refused := 0
	for _, n := range []int{3, 5} {
		forEachSeed(t, 60, func(t *testing.T, seed uint64) {
			cl := newCluster(t, seed, n)
			cl.loss, cl.delay = cl.rng.Float64()*0.1, cl.rng.IntN(3)
			victim := ReplicaID(1 + cl.rng.IntN(n))
			copied := cl.stores[victim].copy()
			for i := range 400 {
				cl.tick()
				if p := cl.leader(); p != nil && cl.rng.IntN(3) == 0 {
					cl.propose(p)
				}
				if i == 100 {
					copied = cl.stores[victim].copy()
				}
				if i == 250 {
					cl.restart(victim, &copied)
				}
				id := ReplicaID(1 + cl.rng.IntN(n))
				switch p := cl.processOf(id); {
				case cl.rng.IntN(40) > 0:
				case p == nil:
					cl.start(id, cl.stores[id], nil, id != victim && seed%2 == 0)
				default:
					cl.kill(p)
				}
			}
			for id := ReplicaID(1); id <= ReplicaID(n); id++ {
				if cl.processOf(id) == nil {
					cl.run(id, cl.stores[id], nil)
				}
			}
			cl.loss, cl.delay = 0, 0
			cl.ticks(100)
			for _, p := range cl.processes {
				st := p.replica.Status()
				if p.id != victim && (st.Unconfirmed || st.Behind) && cl.processOf(victim).replica.Status().Err != nil {
					_ = p.replica.ConfirmStore() // an operator confirms the store, since the refused replica does not answer
				}
			}
			cl.commitEntry()
			refused += btoi(cl.processOf(victim).replica.Status().Err != nil)
			cl.processes = slices.DeleteFunc(cl.processes, func(p *process) bool { return p.replica.Status().Err != nil })
			cl.awaitConverged()
		})
	}
	t.Logf("stale store refused in %d of 120 runs", refused)
}

func TestWhatAReplicaMustNotHaveForgotten(t *testing.T) {
	earlier := SelfReport{Replica: 2, OpenCount: 3, RunID: 7, Sequence: 1, Term: 5, LastTerm: 5, LastIndex: 10}
	for name, tc := range map[string]struct {
		then SelfReport
		want any
	}{
		"nothing is missing":     {SelfReport{Replica: 2, OpenCount: 4, RunID: 8, Term: 5, Vote: 1, LastIndex: 10}, nil},
		"a later term":           {SelfReport{Replica: 2, OpenCount: 4, RunID: 8, Term: 6, Vote: 3, LastIndex: 9}, nil},
		"the term":               {SelfReport{Replica: 2, OpenCount: 4, RunID: 8, Term: 4, Vote: 1, LastIndex: 10}, new(*StaleStoreError)},
		"the vote":               {SelfReport{Replica: 2, OpenCount: 4, RunID: 8, Term: 5, LastIndex: 10}, new(*StaleStoreError)},
		"another vote":           {SelfReport{Replica: 2, OpenCount: 4, RunID: 8, Term: 5, Vote: 3, LastIndex: 10}, new(*StaleStoreError)},
		"an entry":               {SelfReport{Replica: 2, OpenCount: 4, RunID: 8, Term: 5, Vote: 1, LastIndex: 9}, new(*StaleStoreError)},
		"an opening":             {SelfReport{Replica: 2, OpenCount: 2, RunID: 8, Term: 5, Vote: 1, LastIndex: 10}, new(*StaleStoreError)},
		"the same opening":       {SelfReport{Replica: 2, OpenCount: 3, RunID: 8, Term: 5, Vote: 1, LastIndex: 10}, new(*CopiedStoreError)},
		"same process, no check": {SelfReport{Replica: 2, OpenCount: 3, RunID: 7, Sequence: 2, Term: 5}, nil},
	} {
		r := NewPeerTable(1, 100)
		require.NoError(t, r.Observe(earlier))
		for _, m := range []*raftpb.Message{
			{Type: raftpb.MessageType_MsgVoteResp.Enum(), From: new(uint64(2)), Term: new(uint64(5))},
			{Type: raftpb.MessageType_MsgAppResp.Enum(), From: new(uint64(2)), Term: new(uint64(5)), Index: new(uint64(10))},
			{Type: raftpb.MessageType_MsgAppResp.Enum(), From: new(uint64(2)), Term: new(uint64(5)), Index: new(uint64(12)), Reject: new(true)},
			{Type: raftpb.MessageType_MsgPreVoteResp.Enum(), From: new(uint64(2)), Term: new(uint64(9))},
		} {
			r.observeMessage(m)
		}
		if err := r.Observe(tc.then); tc.want == nil {
			assert.NoError(t, err, name)
		} else {
			assert.ErrorAs(t, err, tc.want, name)
		}
	}
}

func TestAReplicaRemovedWhileItWasDown(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 3)
		cl.commitEntry()
		cl.awaitConverged()
		id := cl.leader().id%3 + 1
		cl.kill(cl.processOf(id))
		require.NoError(t, cl.leader().replica.ChangeVoters(0, id))
		cl.runUntil(100, "replica removed", func() bool { return len(cl.leader().replica.Status().Voters) == 2 })
		cl.commitEntry()
		p := cl.run(id, cl.stores[id], nil)
		cl.runUntil(100, "the removed replica notices", func() bool { return p.replica.Status().Err != nil })
		assert.ErrorAs(t, p.replica.Status().Err, new(*NotMemberError))
		cl.commitEntry()
	})
}

func TestInvalidMessages(t *testing.T) {
	start := func() *Replica {
		s, err := New(Options{Self: 1, InitialVoters: []ReplicaID{1, 2, 3}, OpenCount: 1, RunID: 1}, StoredState{})
		require.NoError(t, err)
		return s
	}
	raw := func(m *raftpb.Message) []byte {
		m.To = new(uint64(1))
		b, err := proto.Marshal(m)
		require.NoError(t, err)
		return b
	}
	for _, kind := range []raftpb.MessageType{raftpb.MessageType_MsgVote, raftpb.MessageType_MsgPreVote} {
		vote := &raftpb.Message{Type: kind.Enum(), From: new(uint64(4)), Term: new(uint64(9)), LogTerm: new(uint64(0)), Index: new(uint64(9))}
		assert.ErrorAs(t, start().Step(raw(vote)), new(*NotMemberError), "no vote for a candidate that is not a member and has a shorter log")
		vote.LogTerm = new(uint64(9))
		assert.NoError(t, start().Step(raw(vote)), "a candidate with a longer log may be of a later configuration")
	}
	for _, m := range []*raftpb.Message{
		{Type: raftpb.MessageType_MsgProp.Enum(), From: new(uint64(2)), Entries: []*raftpb.Entry{{Data: []byte("x")}}},
		{Type: raftpb.MessageType_MsgHup.Enum(), From: new(uint64(2))},
		{Type: raftpb.MessageType_MsgApp.Enum()},
	} {
		assert.ErrorAs(t, start().Step(raw(m)), new(*MessageError), "%v", m)
	}
	assert.ErrorAs(t, start().Step([]byte("noise")), new(*MessageError))

	s := start()
	beyond := &raftpb.Message{Type: raftpb.MessageType_MsgHeartbeat.Enum(), From: new(uint64(2)), Term: new(uint64(2)), Commit: new(uint64(99))}
	assert.ErrorAs(t, s.Step(raw(beyond)), new(*InvalidStateError), "raft panics on it, the process does not")
	s.Tick()
	_, ok := s.Ready()
	assert.True(t, ok, "the initial state that is still to be saved")
	assert.ErrorAs(t, s.Status().Err, new(*InvalidStateError))
	assert.ErrorAs(t, s.Propose(nil), new(*InvalidStateError))
}
