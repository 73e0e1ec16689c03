package consensus

import (
	"runtime/debug"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Runs faults of all kinds, then none: logs must agree, no term may have two leaders, no read may return an old state,
// and the group must make progress in the end.
func TestFaults(t *testing.T) {
	for _, n := range []int{3, 5} {
		forEachSeed(t, 120, func(t *testing.T, seed uint64) { runFaults(t, seed, n) })
	}
}

func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	m.Run()
}

func runFaults(t *testing.T, seed uint64, n int) {
	cl := newCluster(t, seed, n)
	cl.loss, cl.duplication, cl.delay = cl.rng.Float64()*0.2, cl.rng.Float64()*0.2, cl.rng.IntN(4)
	for range 400 {
		cl.tick()
		if p := cl.leader(); p != nil {
			if cl.rng.IntN(3) == 0 {
				cl.propose(p)
			}
		}
		for _, p := range cl.sorted() {
			if cl.rng.IntN(4) == 0 {
				cl.read(p)
			}
		}
		id := ReplicaID(1 + cl.rng.IntN(n))
		p := cl.processOf(id)
		switch cl.rng.IntN(50) {
		case 0:
			if p != nil {
				cl.kill(p)
			}
		case 1:
			if p != nil {
				p.paused = true
			}
		case 2:
			for _, q := range cl.processes {
				cl.cut[[2]ReplicaID{id, q.id}] = true
				if cl.rng.IntN(2) == 0 {
					cl.cut[[2]ReplicaID{q.id, id}] = true
				}
			}
		case 3, 4:
			clear(cl.cut)
		case 5, 6, 7:
			if p == nil {
				cl.start(id, cl.stores[id], nil, seed%2 == 0)
			} else {
				p.paused = false
			}
		}
	}
	clear(cl.cut)
	cl.loss, cl.duplication, cl.delay = 0, 0, 0
	for id := ReplicaID(1); id <= ReplicaID(n); id++ {
		if p := cl.processOf(id); p == nil {
			cl.run(id, cl.stores[id], nil)
		} else {
			p.paused = false
		}
	}
	cl.commitEntry()
	cl.awaitConverged()
	for _, p := range cl.processes {
		assert.NoError(t, p.refused)
	}
	read := cl.readsDone
	cl.runUntil(1000, "a read answered", func() bool {
		if p := cl.leader(); p != nil {
			cl.read(p)
		}
		return cl.readsDone > read
	})
}

func TestAStoppedLeaderAnswersNothing(t *testing.T) {
	forEachSeed(t, 50, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 3)
		cl.commitEntry()
		old := cl.leader()
		require.True(t, cl.read(old), "the read was accepted, and the leader stopped before any other replica received it")
		old.paused = true
		committed := cl.committed
		cl.runUntil(1000, "a new leader with a committed entry", func() bool {
			if p := cl.leader(); p != nil {
				cl.propose(p)
			}
			return cl.committed > committed
		})
		done := cl.readsDone
		old.paused = false
		cl.read(old)
		cl.runUntil(1000, "the old leader follows", func() bool { return old.replica.Status().Leader != old.id && old.applied == cl.committed })
		cl.ticks(50)
		assert.Equal(t, done, cl.readsDone)
		assert.Len(t, old.reads, 2)
		assert.ErrorAs(t, old.replica.Propose([]byte("x")), new(*NotLeaderError))
	})
}

func TestVotersAreAddedAndRemoved(t *testing.T) {
	forEachSeed(t, 20, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 3)
		for range 60 {
			cl.commitEntry()
		}
		failed := cl.processOf(3)
		cl.kill(failed)
		cl.stores[4] = &memoryStore{}
		added := cl.run(4, cl.stores[4], nil) // the node of replica 3, with an empty store
		cl.commitEntry()
		cl.ticks(100)
		assert.Zero(t, added.applied, "a replica that is not a member receives no entries")
		assert.Empty(t, added.replica.Status().Voters)
		cl.runUntil(1000, "replica 4 added", func() bool {
			if p := cl.leader(); p != nil {
				_ = p.replica.ChangeVoters(4, 0)
			}
			return len(added.replica.Status().Voters) == 4
		})
		cl.runUntil(1000, "replica 3 removed", func() bool {
			if p := cl.leader(); p != nil {
				_ = p.replica.ChangeVoters(0, 3)
			}
			return len(added.replica.Status().Voters) == 3
		})
		cl.awaitConverged()
		cl.kill(cl.processOf(1))
		cl.commitEntry()
		assert.Equal(t, []ReplicaID{1, 2, 4}, added.replica.Status().Voters)
	})
}

// A replica that lags far behind gets a snapshot, even if the first ones are lost.
func TestALaggingReplicaGetsASnapshot(t *testing.T) {
	forEachSeed(t, 20, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 3)
		cl.commitEntry()
		cl.awaitConverged()
		id := cl.leader().id%3 + 1
		cl.isolate(id)
		for range 50 {
			cl.commitEntry()
		}
		clear(cl.cut)
		cl.loss = 0.7
		cl.ticks(30)
		cl.loss = 0
		cl.runUntil(100, "the replica has caught up", func() bool { return cl.processOf(id).applied == cl.committed })
	})
}

// Measures how long a group is without a leader after its leader is killed, in ticks, with 10 ticks to an election
// timeout.
func TestTimeToNextLeader(t *testing.T) {
	for _, n := range []int{3, 5} {
		var ticks []int
		forEachSeed(t, 200, func(t *testing.T, seed uint64) {
			cl := newCluster(t, seed, n)
			cl.delay = 1
			cl.commitEntry()
			cl.awaitConverged()
			cl.kill(cl.leader())
			ticks = append(ticks, cl.runUntil(200, "a new leader", func() bool { return cl.leader() != nil }))
		})
		slices.Sort(ticks)
		t.Logf("%d replicas: ticks from a killed leader to the next: minimum %d, median %d, 99th percentile %d, maximum %d", n, ticks[0],
			ticks[len(ticks)/2], ticks[len(ticks)*99/100], ticks[len(ticks)-1])
		assert.LessOrEqual(t, ticks[len(ticks)/2], 25)
		assert.LessOrEqual(t, ticks[len(ticks)*99/100], 45, "two candidates must not keep splitting the vote")
	}
}

// Measures what one entry costs in messages and synced writes if the next one is proposed when it is committed.
func TestCostOfAnEntry(t *testing.T) {
	forEachSeed(t, 1, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 3)
		cl.snapshotEvery = 1000
		cl.commitEntry()
		cl.awaitConverged()
		for _, batch := range []int{1, 10} {
			bytes, sent, syncs, from := cl.bytes, cl.sent, cl.syncs, cl.now
			for range 200 {
				for range batch {
					require.NoError(t, cl.leader().replica.Propose(make([]byte, 100)))
				}
				target := cl.committed + uint64(batch)
				cl.runUntil(20, "the batch is committed", func() bool { return cl.committed == target })
			}
			cl.awaitConverged()
			n := 200 * batch
			t.Logf("three replicas, entries of 100 bytes, %d at a time: for each entry %.1f requests with %.0f bytes of messages "+
				"(heartbeats among them), %.2f syncs on all replicas, %.1f ticks", batch, float64(cl.sent-sent)/float64(n),
				float64(cl.bytes-bytes)/float64(n), float64(cl.syncs-syncs)/float64(n), float64(cl.now-from)/float64(n))
			assert.LessOrEqual(t, cl.syncs-syncs, 3*200+10, "one sync on each replica, however many entries")
		}
	})
}

// A leader that is about to stop transfers its leadership: the next one leads after a few messages, and committed
// entries are kept.
func TestALeaderTransfersLeadership(t *testing.T) {
	forEachSeed(t, 50, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 3+2*int(seed%2))
		cl.commitEntry()
		cl.awaitConverged()
		old := cl.leader()
		cl.ticks(2)
		require.True(t, old.replica.TransferLeadership())
		cl.drive(old)
		assert.ErrorAs(t, old.replica.Propose([]byte("x")), new(*BusyError), "no proposals during a leadership transfer")
		cl.runUntil(9, "another replica leads, in less than an election timeout", func() bool {
			p := cl.leader()
			return p != nil && p != old
		})
		cl.kill(old)
		cl.commitEntry()
		for _, p := range cl.processes {
			assert.Equal(t, p == cl.leader(), p.replica.TransferLeadership(), "only the leader transfers leadership")
		}
	})
}

// A replica campaigns at once only if its current leader asks for it.
func TestOnlyTheLeaderTransfersLeadership(t *testing.T) {
	forEachSeed(t, 10, func(t *testing.T, seed uint64) {
		cl := newCluster(t, seed, 3)
		cl.commitEntry()
		cl.awaitConverged()
		lead := cl.leader()
		to, other := cl.processOf(lead.id%3+1), cl.processOf((lead.id+1)%3+1)
		term := lead.replica.Status().Term
		for _, m := range []*raftpb.Message{
			{From: new(uint64(other.id)), Term: new(term)},
			{From: new(uint64(lead.id)), Term: new(term + 1)},
			{From: new(uint64(lead.id)), Term: new(term - 1)},
		} {
			m.To, m.Type = new(uint64(to.id)), raftpb.MessageType_MsgTimeoutNow.Enum()
			raw, err := proto.Marshal(m)
			require.NoError(t, err)
			require.NoError(t, to.replica.Step(raw))
			cl.drive(to)
		}
		cl.ticks(5)
		assert.Equal(t, term, lead.replica.Status().Term)
		assert.True(t, lead.replica.Status().Leading)
	})
}
