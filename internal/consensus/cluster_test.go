package consensus

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/cryptotest"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// memoryStore keeps in memory what a store holds.
type memoryStore struct {
	state     StoredState
	openCount uint64
}

func (m memoryStore) copy() memoryStore {
	m.state.Entries = slices.Clone(m.state.Entries)
	return m
}

func (m *memoryStore) save(batch WriteBatch) {
	if batch.HardState != nil {
		m.state.HardState = proto.CloneOf(batch.HardState)
	}
	if batch.Snapshot != nil {
		m.state.Snapshot = batch.Snapshot
		m.state.Applied = batch.Snapshot.Metadata.GetIndex()
		m.state.Entries = slices.DeleteFunc(slices.Clone(m.state.Entries), func(e *raftpb.Entry) bool {
			return batch.Replace || e.GetIndex() <= m.state.Applied
		})
	}
	if len(batch.Entries) > 0 {
		from := batch.Entries[0].GetIndex()
		m.state.Entries = append(slices.DeleteFunc(slices.Clone(m.state.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() >= from }), batch.Entries...)
	}
}

// process is a running replica.
type process struct {
	id        ReplicaID
	replica   *Replica
	store     *memoryStore
	chainHash uint64 // hash chain over all applied entries
	applied   uint64 // index of the last applied entry
	paused    bool
	reads     map[uint64]uint64 // ctx -> commit index when the read was requested
	refused   error
}

type envelope struct {
	to       *process // nil: the process that runs this replica when the envelope arrives
	replica  ReplicaID
	report   SelfReport
	messages [][]byte
	reply    bool
	err      error
	due      int
}

// cluster is a consensus group in virtual time, with faults, and checks of what must always hold in it.
type cluster struct {
	t             testing.TB
	rng           *rand.Rand
	now           int
	runs          uint64
	processes     []*process
	stores        map[ReplicaID]*memoryStore
	queue         []envelope
	loss          float64
	duplication   float64
	delay         int
	cut           map[[2]ReplicaID]bool
	chainHashes   map[uint64]uint64 // index -> chain hash after it
	data          map[uint64]string
	committed     uint64 // the highest index that any replica applied
	leaders       map[uint64]ReplicaID
	lastCommitted map[uint64]uint64 // term -> its last committed entry
	readsDone     int               // reads that were confirmed
	nextID        uint64
	snapshotEvery uint64
	bytes         int
	syncs         int
	sent          int
}

func newCluster(t testing.TB, seed uint64, n int) *cluster {
	cl := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 1)), stores: map[ReplicaID]*memoryStore{}, cut: map[[2]ReplicaID]bool{},
		chainHashes: map[uint64]uint64{}, data: map[uint64]string{}, leaders: map[uint64]ReplicaID{}, lastCommitted: map[uint64]uint64{}, snapshotEvery: 20}
	var ids []ReplicaID
	for i := range n {
		ids = append(ids, ReplicaID(i+1))
	}
	for _, id := range ids {
		cl.stores[id] = &memoryStore{}
		cl.run(id, cl.stores[id], ids)
	}
	return cl
}

// run starts a process on a store, which is not verified.
func (cl *cluster) run(id ReplicaID, store *memoryStore, initialVoters []ReplicaID) *process {
	return cl.start(id, store, initialVoters, false)
}

func (cl *cluster) start(id ReplicaID, store *memoryStore, initialVoters []ReplicaID, verified bool) *process {
	cl.runs++
	store.openCount++
	s, err := New(Options{Self: id, InitialVoters: initialVoters, SnapshotEvery: cl.snapshotEvery, OpenCount: store.openCount,
		RunID: cl.runs, StoreVerified: verified}, store.state)
	require.NoError(cl.t, err)
	p := &process{id: id, replica: s, store: store, reads: map[uint64]uint64{}}
	cl.processes = append(cl.processes, p)
	cl.drive(p)
	return p
}

func (cl *cluster) kill(p *process) {
	cl.processes = slices.DeleteFunc(cl.processes, func(q *process) bool { return p == q })
}

func (cl *cluster) processOf(id ReplicaID) *process {
	for _, p := range cl.processes {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (cl *cluster) send(e envelope) {
	if cl.cut[[2]ReplicaID{e.report.Replica, e.replica}] || cl.rng.Float64() < cl.loss {
		return
	}
	for range 1 + btoi(cl.rng.Float64() < cl.duplication) {
		e.due = cl.now + 1 + cl.rng.IntN(cl.delay+1)
		cl.queue = append(cl.queue, e)
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (cl *cluster) drive(p *process) {
	for o, ok := p.replica.Ready(); ok; o, ok = p.replica.Ready() {
		if !o.Save.Empty() {
			p.store.save(o.Save)
			cl.syncs += btoi(o.MustSync)
		}
		for i, m := range o.Send {
			cl.bytes += len(m.Raw)
			if slices.ContainsFunc(o.Send[:i], func(n Message) bool { return n.To == m.To }) {
				continue
			}
			e := envelope{replica: m.To, report: p.replica.SelfReport(m.To)}
			for _, n := range o.Send[i:] {
				if n.To == m.To {
					e.messages = append(e.messages, n.Raw)
				}
			}
			cl.sent++
			cl.send(e)
		}
		if o.Snapshot != nil {
			p.chainHash, p.applied = 0, 1
			if len(o.Snapshot) > 0 {
				p.applied, p.chainHash = binary.BigEndian.Uint64(o.Snapshot), binary.BigEndian.Uint64(o.Snapshot[8:])
				require.Equal(cl.t, cl.chainHashes[p.applied], p.chainHash, "replica %d: state of the snapshot", p.id)
			}
		}
		for _, e := range o.Apply {
			if e.Index <= p.applied {
				require.Greater(cl.t, e.Index, p.applied)
			}
			p.applied, p.chainHash = e.Index, xxhash.Sum64(fmt.Appendf(nil, "%x %d %d %s", p.chainHash, e.Index, e.Term, e.Data))
			if got, ok := cl.chainHashes[e.Index]; ok && got != p.chainHash {
				require.Equal(cl.t, got, p.chainHash, "replica %d: entry %d", p.id, e.Index)
			}
			cl.chainHashes[e.Index], cl.data[e.Index] = p.chainHash, string(e.Data)
			cl.committed, cl.lastCommitted[e.Term] = max(cl.committed, e.Index), max(cl.lastCommitted[e.Term], e.Index)
		}
		p.replica.Advance(o)
		for _, r := range o.Reads {
			was, ok := p.reads[r.Ctx]
			require.True(cl.t, ok)
			require.GreaterOrEqual(cl.t, r.Index, was, "replica %d: a read returned an old state", p.id)
			delete(p.reads, r.Ctx)
			cl.readsDone++
		}
	}
	st := p.replica.Status()
	if st.Err != nil {
		require.NotErrorAs(cl.t, st.Err, new(*InvalidStateError))
	}
	if st.Leader == p.id && !st.Unconfirmed && st.Err == nil {
		if was, ok := cl.leaders[st.Term]; ok && was != p.id {
			require.Equal(cl.t, was, p.id, "leaders of term %d", st.Term)
		}
		cl.leaders[st.Term] = p.id
	}
	if st.Leading {
		for term, last := range cl.lastCommitted {
			if term < st.Term && last > st.Applied {
				require.Failf(cl.t, "leader before it applied all earlier entries",
					"replica %d leads term %d with %d applied: entry %d of term %d is committed", p.id, st.Term, st.Applied, last, term)
			}
		}
	}
	if st.SnapshotDue {
		batch, err := p.replica.Compact(st.Applied, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, p.applied), p.chainHash))
		require.NoError(cl.t, err)
		p.store.save(batch)
	}
}

// tick advances all running processes by one tick and delivers the messages that are due.
func (cl *cluster) tick() {
	cl.now++
	for _, p := range slices.Clone(cl.processes) {
		if p.paused {
			continue
		}
		p.replica.Tick()
		cl.drive(p)
		if st := p.replica.Status(); st.Unconfirmed || st.Leader == 0 && cl.now%3 == 0 {
			for _, id := range st.Voters {
				if id != p.id {
					cl.send(envelope{replica: id, report: p.replica.SelfReport(id)})
				}
			}
		}
	}
	var later []envelope
	due := cl.queue
	cl.queue = nil
	cl.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, e := range due {
		if e.due > cl.now {
			later = append(later, e)
			continue
		}
		for _, p := range slices.Clone(cl.processes) {
			if p.id != e.replica || e.to != nil && e.to != p {
				continue
			}
			if p.paused {
				if cl.rng.IntN(10) > 0 { // usually arrives when the process resumes, as from a limited buffer
					later = append(later, e)
				}
				continue
			}
			cl.deliver(p, e)
		}
	}
	cl.queue = append(cl.queue, later...)
}

func (cl *cluster) deliver(p *process, e envelope) {
	if e.err != nil {
		p.refused = e.err
		p.replica.MarkRefused(e.err.Error())
		p.store.state.Refused = e.err.Error()
		return
	}
	err := p.replica.Observe(e.report)
	for _, raw := range e.messages {
		if err == nil {
			err = p.replica.Step(raw)
		}
	}
	if !e.reply {
		r := envelope{replica: e.report.Replica, report: p.replica.SelfReport(e.report.Replica), reply: true}
		switch err.(type) {
		case *StaleStoreError, *CopiedStoreError:
			r.err = err
		}
		for _, q := range cl.processes {
			if q.replica.opts.RunID == e.report.RunID {
				r.to = q // a reply goes to the process that sent the request
				cl.send(r)
			}
		}
	}
	cl.drive(p)
}

func (cl *cluster) ticks(n int) {
	for range n {
		cl.tick()
	}
}

// runUntil ticks until the condition holds, and fails the test if it does not within n ticks. It returns the number of
// ticks.
func (cl *cluster) runUntil(n int, what string, condition func() bool) int {
	cl.t.Helper()
	for i := range n {
		if condition() {
			return i
		}
		cl.tick()
	}
	for _, p := range cl.processes {
		cl.t.Logf("replica %d: %+v, last position %v, catch up to %v", p.id, p.replica.Status(), p.replica.lastPosition(), p.replica.catchUpTo)
	}
	require.FailNow(cl.t, "not within "+fmt.Sprint(n)+" ticks", what)
	return n
}

func (cl *cluster) leader() *process {
	var best *process
	for _, p := range cl.processes {
		if st := p.replica.Status(); st.Leading && !p.paused && (best == nil || st.Term > best.replica.Status().Term) {
			best = p
		}
	}
	return best
}

func (cl *cluster) propose(p *process) bool {
	cl.nextID++
	return p.replica.Propose(fmt.Appendf(nil, "entry %d of replica %d", cl.nextID, p.id)) == nil
}

func (cl *cluster) read(p *process) bool {
	cl.nextID++
	if p.replica.ReadIndex(cl.nextID) != nil {
		return false
	}
	p.reads[cl.nextID] = cl.committed
	return true
}

// commitEntry proposes until one more entry is committed.
func (cl *cluster) commitEntry() {
	cl.t.Helper()
	was := cl.committed
	cl.runUntil(3000, "one more entry", func() bool {
		if p := cl.leader(); p != nil && cl.now%10 == 0 {
			cl.propose(p)
		}
		return cl.committed > was
	})
}

// awaitConverged waits until all running processes have applied the same entries.
func (cl *cluster) awaitConverged() {
	cl.t.Helper()
	cl.runUntil(5000, "all replicas at one index", func() bool {
		return !slices.ContainsFunc(cl.processes, func(p *process) bool { return p.applied != cl.committed || p.replica.Status().Unconfirmed })
	})
}

func (cl *cluster) sorted() []*process {
	return slices.SortedFunc(slices.Values(cl.processes), func(a, b *process) int { return cmp.Compare(a.id, b.id) })
}

func forEachSeed(t *testing.T, n int, f func(t *testing.T, seed uint64)) {
	if raceEnabled {
		n = (n + 9) / 10 // the code is single-threaded, so the race detector finds little and takes ten times as long
	}
	for seed := range uint64(n) {
		if !t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, seed) // makes raft's election jitter reproducible
			f(t, seed)
		}) {
			return
		}
	}
}
