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

// disk is what a store would hold, in memory.
type disk struct {
	d    Durable
	boot uint64
}

func (k disk) copy() disk {
	k.d.Entries = slices.Clone(k.d.Entries)
	return k
}

func (k *disk) save(v Save) {
	if v.HardState != nil {
		k.d.HardState = proto.CloneOf(v.HardState)
	}
	if v.Snapshot != nil {
		k.d.Snapshot = v.Snapshot
		k.d.Applied = v.Snapshot.Metadata.GetIndex()
		k.d.Entries = slices.DeleteFunc(slices.Clone(k.d.Entries), func(e *raftpb.Entry) bool {
			return v.Replace || e.GetIndex() <= k.d.Applied
		})
	}
	if len(v.Entries) > 0 {
		from := v.Entries[0].GetIndex()
		k.d.Entries = append(slices.DeleteFunc(slices.Clone(k.d.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() >= from }), v.Entries...)
	}
}

// process is a seat that runs.
type process struct {
	id      SeatID
	seat    *Seat
	disk    *disk
	book    uint64 // a chain over all that was applied
	at      uint64 // index of the last applied
	paused  bool
	reads   map[uint64]uint64 // ctx -> what was agreed on when it was asked
	refused error
}

type envelope struct {
	to    *process // nil: whoever runs as this seat when it arrives
	seat  SeatID
	claim Claim
	raws  [][]byte
	reply bool
	err   error
	due   int
}

// net is a council in virtual time, with faults, and what must hold in it.
type net struct {
	t       testing.TB
	rng     *rand.Rand
	now     int
	runs    uint64
	ps      []*process
	disks   map[SeatID]*disk
	queue   []envelope
	loss    float64
	twice   float64
	delay   int
	cut     map[[2]SeatID]bool
	chain   map[uint64]uint64 // index -> book after it
	data    map[uint64]string
	agreed  uint64 // the highest index that any seat applied
	leaders map[uint64]SeatID
	lastOf  map[uint64]uint64 // term -> the last entry of it that was agreed on
	done    int               // reads that came back
	ctx     uint64
	every   uint64
	bytes   int
	syncs   int
	sent    int
}

func newNet(t testing.TB, seed uint64, n int) *net {
	w := &net{t: t, rng: rand.New(rand.NewPCG(seed, 1)), disks: map[SeatID]*disk{}, cut: map[[2]SeatID]bool{},
		chain: map[uint64]uint64{}, data: map[uint64]string{}, leaders: map[uint64]SeatID{}, lastOf: map[uint64]uint64{}, every: 20}
	var ids []SeatID
	for i := range n {
		ids = append(ids, SeatID(i+1))
	}
	for _, id := range ids {
		w.disks[id] = &disk{}
		w.run(id, w.disks[id], ids)
	}
	return w
}

// run starts a process on a disk.
func (w *net) run(id SeatID, k *disk, founders []SeatID) *process {
	return w.start(id, k, founders, false)
}

func (w *net) start(id SeatID, k *disk, founders []SeatID, proven bool) *process {
	w.runs++
	k.boot++
	s, err := New(Options{Self: id, Seats: founders, SnapshotEvery: w.every, Boot: k.boot, Run: w.runs, Proven: proven}, k.d)
	require.NoError(w.t, err)
	p := &process{id: id, seat: s, disk: k, reads: map[uint64]uint64{}}
	w.ps = append(w.ps, p)
	w.drive(p)
	return p
}

func (w *net) kill(p *process) {
	w.ps = slices.DeleteFunc(w.ps, func(q *process) bool { return p == q })
}

func (w *net) of(id SeatID) *process {
	for _, p := range w.ps {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (w *net) send(e envelope) {
	if w.cut[[2]SeatID{e.claim.Seat, e.seat}] || w.rng.Float64() < w.loss {
		return
	}
	for range 1 + btoi(w.rng.Float64() < w.twice) {
		e.due = w.now + 1 + w.rng.IntN(w.delay+1)
		w.queue = append(w.queue, e)
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (w *net) drive(p *process) {
	for o, ok := p.seat.Ready(); ok; o, ok = p.seat.Ready() {
		if !o.Save.Empty() {
			p.disk.save(o.Save)
			w.syncs += btoi(o.MustSync)
		}
		for i, m := range o.Send {
			w.bytes += len(m.Raw)
			if slices.ContainsFunc(o.Send[:i], func(n Message) bool { return n.To == m.To }) {
				continue
			}
			e := envelope{seat: m.To, claim: p.seat.Claim(m.To)}
			for _, n := range o.Send[i:] {
				if n.To == m.To {
					e.raws = append(e.raws, n.Raw)
				}
			}
			w.sent++
			w.send(e)
		}
		if o.Snapshot != nil {
			p.book, p.at = 0, 1
			if len(o.Snapshot) > 0 {
				p.at, p.book = binary.BigEndian.Uint64(o.Snapshot), binary.BigEndian.Uint64(o.Snapshot[8:])
				require.Equal(w.t, w.chain[p.at], p.book, "seat %d: the snapshot's book", p.id)
			}
		}
		for _, e := range o.Apply {
			if e.Index <= p.at {
				require.Greater(w.t, e.Index, p.at)
			}
			p.at, p.book = e.Index, xxhash.Sum64(fmt.Appendf(nil, "%x %d %d %s", p.book, e.Index, e.Term, e.Data))
			if got, ok := w.chain[e.Index]; ok && got != p.book {
				require.Equal(w.t, got, p.book, "seat %d: entry %d", p.id, e.Index)
			}
			w.chain[e.Index], w.data[e.Index] = p.book, string(e.Data)
			w.agreed, w.lastOf[e.Term] = max(w.agreed, e.Index), max(w.lastOf[e.Term], e.Index)
		}
		p.seat.Done(o)
		for _, r := range o.Reads {
			was, ok := p.reads[r.Ctx]
			require.True(w.t, ok)
			require.GreaterOrEqual(w.t, r.Index, was, "seat %d: a question answered from the past", p.id)
			delete(p.reads, r.Ctx)
			w.done++
		}
	}
	st := p.seat.Status()
	if st.Err != nil {
		require.NotErrorAs(w.t, st.Err, new(*BrokenError))
	}
	if st.Leader == p.id && !st.Waiting && st.Err == nil {
		if was, ok := w.leaders[st.Term]; ok && was != p.id {
			require.Equal(w.t, was, p.id, "leaders of term %d", st.Term)
		}
		w.leaders[st.Term] = p.id
	}
	if st.Leading {
		for term, last := range w.lastOf {
			if term < st.Term && last > st.Applied {
				require.Failf(w.t, "leading too soon", "seat %d in term %d at %d: entry %d of term %d", p.id, st.Term, st.Applied, last, term)
			}
		}
	}
	if st.Compact {
		v, err := p.seat.Compact(st.Applied, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, p.at), p.book))
		require.NoError(w.t, err)
		p.disk.save(v)
	}
}

// step lets a tick pass for all that run.
func (w *net) step() {
	w.now++
	for _, p := range slices.Clone(w.ps) {
		if p.paused {
			continue
		}
		p.seat.Tick()
		w.drive(p)
		if st := p.seat.Status(); st.Waiting || st.Leader == 0 && w.now%3 == 0 {
			for _, id := range st.Seats {
				if id != p.id {
					w.send(envelope{seat: id, claim: p.seat.Claim(id)})
				}
			}
		}
	}
	var later []envelope
	due := w.queue
	w.queue = nil
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, e := range due {
		if e.due > w.now {
			later = append(later, e)
			continue
		}
		for _, p := range slices.Clone(w.ps) {
			if p.id != e.seat || e.to != nil && e.to != p {
				continue
			}
			if p.paused {
				if w.rng.IntN(10) > 0 { // it comes when the process goes on, if it is not too much
					later = append(later, e)
				}
				continue
			}
			w.take(p, e)
		}
	}
	w.queue = append(w.queue, later...)
}

func (w *net) take(p *process, e envelope) {
	if e.err != nil {
		p.refused = e.err
		p.seat.Refuse(e.err.Error())
		p.disk.d.Refused = e.err.Error()
		return
	}
	err := p.seat.Hear(e.claim)
	for _, raw := range e.raws {
		if err == nil {
			err = p.seat.Step(raw)
		}
	}
	if !e.reply {
		r := envelope{seat: e.claim.Seat, claim: p.seat.Claim(e.claim.Seat), reply: true}
		switch err.(type) {
		case *OldStoreError, *CopiedStoreError:
			r.err = err
		}
		for _, q := range w.ps {
			if q.seat.o.Run == e.claim.Run {
				r.to = q // a reply goes to the process that asked
				w.send(r)
			}
		}
	}
	w.drive(p)
}

func (w *net) steps(n int) {
	for range n {
		w.step()
	}
}

// until steps until it holds; it fails where it does not within n.
func (w *net) until(n int, what string, holds func() bool) int {
	w.t.Helper()
	for i := range n {
		if holds() {
			return i
		}
		w.step()
	}
	for _, p := range w.ps {
		w.t.Logf("seat %d: %+v, end %v, floor %v", p.id, p.seat.Status(), p.seat.end(), p.seat.floor)
	}
	require.FailNow(w.t, "not within "+fmt.Sprint(n)+" ticks", what)
	return n
}

func (w *net) leader() *process {
	var best *process
	for _, p := range w.ps {
		if st := p.seat.Status(); st.Leading && !p.paused && (best == nil || st.Term > best.seat.Status().Term) {
			best = p
		}
	}
	return best
}

func (w *net) propose(p *process) bool {
	w.ctx++
	return p.seat.Propose(fmt.Appendf(nil, "entry %d of seat %d", w.ctx, p.id)) == nil
}

func (w *net) ask(p *process) bool {
	w.ctx++
	if p.seat.Read(w.ctx) != nil {
		return false
	}
	p.reads[w.ctx] = w.agreed
	return true
}

// agree has one more entry agreed on.
func (w *net) agree() {
	w.t.Helper()
	was := w.agreed
	w.until(3000, "one more entry", func() bool {
		if p := w.leader(); p != nil && w.now%10 == 0 {
			w.propose(p)
		}
		return w.agreed > was
	})
}

// same waits until all that run have applied the same.
func (w *net) same() {
	w.t.Helper()
	w.until(5000, "all seats at one index", func() bool {
		return !slices.ContainsFunc(w.ps, func(p *process) bool { return p.at != w.agreed || p.seat.Status().Waiting })
	})
}

func (w *net) sorted() []*process {
	return slices.SortedFunc(slices.Values(w.ps), func(a, b *process) int { return cmp.Compare(a.id, b.id) })
}

func seeded(t *testing.T, n int, f func(t *testing.T, seed uint64)) {
	if racing {
		n = (n + 9) / 10 // one thread: there is little to find, and it takes ten times as long
	}
	for seed := range uint64(n) {
		if !t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, seed) // raft's jitter
			f(t, seed)
		}) {
			return
		}
	}
}
