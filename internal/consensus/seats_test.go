package consensus

import (
	"encoding/binary"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// towards has the leader take the next step to a set of seats, as control does: who comes learns first, a leader that goes hands
// over. It says whether the seats are those.
func (w *net) towards(want []SeatID) bool {
	p := w.leader()
	if p == nil {
		return false
	}
	st := p.seat.Status()
	for _, id := range st.Learning {
		if !slices.Contains(want, id) {
			_ = p.seat.Change(0, id)
			return false
		}
	}
	for _, id := range want {
		switch {
		case slices.Contains(st.Seats, id):
		case !slices.Contains(st.Learning, id):
			_ = p.seat.Learn(id)
			return false
		case p.seat.HasAll(id):
			_ = p.seat.Change(id, 0)
			return false
		default:
			return false
		}
	}
	for _, id := range st.Seats {
		if id != p.id && !slices.Contains(want, id) {
			_ = p.seat.Change(0, id)
			return false
		}
	}
	if !slices.Contains(want, p.id) {
		for _, id := range want {
			if p.seat.HasAll(id) {
				_ = p.seat.HandOverTo(id)
				break
			}
		}
		return false
	}
	return slices.Equal(st.Seats, want)
}

// Seats change to sets drawn at random while links are cut, processes killed and started again, and seats that do not count yet
// lose their stores. net checks that no term has two leaders and that all that was agreed on is the same everywhere and stays; here
// also that the seats become the wanted ones, and that a council goes on with them alone.
func TestSeatsChangeUnderFaults(t *testing.T) {
	seeded(t, 80, func(t *testing.T, seed uint64) {
		n := []int{1, 3, 5}[seed%3]
		w := newNet(t, seed, n)
		w.agree()
		next, gone := SeatID(n), map[SeatID]bool{}
		var want []SeatID
		for id := SeatID(1); id <= SeatID(n); id++ {
			want = append(want, id)
		}
		for range 4 {
			// One more or fewer pair, or some replaced: a majority stays wherever somebody comes.
			size := []int{1, 3, 5}[w.rng.IntN(3)]
			w.rng.Shuffle(len(want), func(i, j int) { want[i], want[j] = want[j], want[i] })
			stay := min(len(want), size)
			if size >= len(want) && len(want) > 1 && w.rng.IntN(2) == 0 {
				stay--
			}
			to := slices.Clone(want[:stay])
			for len(to) < size {
				next++
				to = append(to, next)
				w.disks[next] = &disk{}
				w.run(next, w.disks[next], nil)
			}
			slices.Sort(to)
			w.loss, w.twice, w.delay = w.rng.Float64()*0.1, w.rng.Float64()*0.1, w.rng.IntN(3)
			for range 300 {
				w.step()
				if w.now%5 == 0 {
					w.towards(to)
				}
				if p := w.leader(); p != nil && w.rng.IntN(3) == 0 {
					w.propose(p)
				}
				for _, p := range w.sorted() {
					if w.rng.IntN(8) == 0 {
						w.ask(p)
					}
				}
				w.trouble(gone)
				// A seat that has nothing yet loses its store: the node's next one is another seat.
				if i := w.rng.IntN(len(to)); w.rng.IntN(60) == 0 && w.of(to[i]) != nil && len(w.of(to[i]).seat.Status().Seats) == 0 {
					w.kill(w.of(to[i]))
					gone[to[i]] = true
					next++
					to[i] = next
					w.disks[next] = &disk{}
					w.run(next, w.disks[next], nil)
					slices.Sort(to)
				}
			}
			w.calm(gone)
			w.until(3000, "the seats are the wanted ones", func() bool {
				return w.now%5 == 0 && w.towards(to)
			})
			want = to
		}
		for _, p := range slices.Clone(w.ps) { // those that went run on until here, and disturb nobody
			if !slices.Contains(want, p.id) {
				w.kill(p)
			}
		}
		w.agree()
		w.same()
		for _, p := range w.ps {
			assert.Equal(t, want, p.seat.Status().Seats)
			assert.NoError(t, p.refused)
		}
	})
}

// trouble does one of some faults, now and then.
func (w *net) trouble(gone map[SeatID]bool) {
	ids := make([]SeatID, 0, len(w.disks))
	for id := SeatID(1); int(id) <= len(w.disks); id++ {
		ids = append(ids, id)
	}
	id := ids[w.rng.IntN(len(ids))]
	p := w.of(id)
	switch w.rng.IntN(60) {
	case 0:
		if p != nil {
			w.kill(p)
		}
	case 1:
		if l := w.leader(); l != nil {
			w.kill(l)
		}
	case 2:
		for _, q := range w.ps {
			w.cut[[2]SeatID{id, q.id}] = true
			if w.rng.IntN(2) == 0 {
				w.cut[[2]SeatID{q.id, id}] = true
			}
		}
	case 3, 4:
		clear(w.cut)
	case 5, 6, 7:
		if p == nil && !gone[id] {
			w.start(id, w.disks[id], nil, w.rng.IntN(2) == 0)
		}
	}
}

func (w *net) calm(gone map[SeatID]bool) {
	clear(w.cut)
	w.loss, w.twice, w.delay = 0, 0, 0
	for id := SeatID(1); int(id) <= len(w.disks); id++ {
		if w.of(id) == nil && !gone[id] {
			w.start(id, w.disks[id], nil, true)
		}
	}
}

// A new seat that dies before it has anything does not hold a council of one up.
func TestASeatThatLearnsDoesNotCount(t *testing.T) {
	seeded(t, 20, func(t *testing.T, seed uint64) {
		w := newNet(t, seed, 1)
		w.agree()
		w.disks[2] = &disk{}
		fresh := w.run(2, w.disks[2], nil)
		require.NoError(t, w.leader().seat.Learn(2))
		w.kill(fresh)
		for range 5 {
			w.agree()
		}
		st := w.leader().seat.Status()
		assert.Equal(t, []SeatID{1}, st.Seats)
		assert.Equal(t, []SeatID{2}, st.Learning)
		assert.False(t, w.leader().seat.HasAll(2))
		w.until(100, "it is taken out again", func() bool {
			_ = w.leader().seat.Change(0, 2)
			return len(w.leader().seat.Status().Learning) == 0
		})
	})
}

// A seat that learns cannot lead: a leader that ends does not wait for it.
func TestALeaderHandsOverToNobodyWhoLearns(t *testing.T) {
	w := newNet(t, 1, 1)
	w.agree()
	w.disks[2] = &disk{}
	w.run(2, w.disks[2], nil)
	lead := w.leader()
	require.NoError(t, lead.seat.Learn(2))
	w.until(100, "it has all", func() bool { return lead.seat.HasAll(2) })
	assert.False(t, lead.seat.HandOver())
}

func TestALeaderHandsOverToOne(t *testing.T) {
	seeded(t, 20, func(t *testing.T, seed uint64) {
		w := newNet(t, seed, 3)
		w.agree()
		w.same()
		old := w.leader()
		heir := old.id%3 + 1
		var follower *process
		for _, p := range w.ps {
			if p != old && p.id != heir {
				follower = p
			}
		}
		assert.ErrorAs(t, follower.seat.HandOverTo(heir), new(*NotLeaderError))
		assert.ErrorAs(t, old.seat.HandOverTo(9), new(*StrangerError))

		// Only who leads may have another seat stand at once.
		term := old.seat.Status().Term
		raw, err := proto.Marshal(&raftpb.Message{Type: raftpb.MessageType_MsgTimeoutNow.Enum(), Term: new(term),
			From: new(uint64(follower.id)), To: new(uint64(heir))})
		require.NoError(t, err)
		require.NoError(t, w.of(heir).seat.Step(raw))
		w.drive(w.of(heir))
		assert.Equal(t, term, w.of(heir).seat.Status().Term)

		require.NoError(t, old.seat.HandOverTo(heir))
		w.drive(old)
		took := w.until(10, "the heir leads", func() bool { return w.leader() == w.of(heir) && w.of(heir).seat.Status().Leading })
		assert.Less(t, took, 10, "sooner than an election")
		w.agree()
	})
}

// A council most of whose stores are lost is founded anew by the seat that is left, with all that its log has; the seats of before
// get nowhere among themselves when they start again.
func TestASeatFoundsTheCouncilAnew(t *testing.T) {
	for _, n := range []int{3, 5} {
		seeded(t, 30, func(t *testing.T, seed uint64) {
			w := newNet(t, seed, n)
			for range 30 {
				w.agree()
			}
			w.same()
			left := w.of(1 + SeatID(seed)%SeatID(n))
			w.propose(left) // where it leads, its log has an entry that nobody else has
			w.drive(left)
			data := left.seat.end()
			var lost []SeatID
			for _, p := range slices.Clone(w.ps) {
				if p != left && len(lost) < n/2+1 {
					lost = append(lost, p.id)
					w.kill(p)
				}
			}
			if seed%2 == 0 { // it starts again, and waits
				w.kill(left)
				left = w.start(left.id, left.disk, nil, false)
				require.True(t, left.seat.Status().Waiting)
			}
			rest, err := left.seat.Rest()
			require.NoError(t, err)
			for _, e := range rest {
				left.at, left.book = e.Index, e.Index<<8^left.book
			}
			was := left.seat.Status().Term
			left.at = data.Index + beyond
			left.book = xxhash.Sum64(binary.BigEndian.AppendUint64(nil, left.book))
			v, err := left.seat.FoundAnew(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, left.at), left.book))
			require.NoError(t, err)
			left.disk.save(v)
			w.chain[left.at] = left.book
			for _, p := range slices.Clone(w.ps) { // what came of the old council is refused by whoever carries messages
				if p != left {
					w.kill(p)
				}
			}
			w.queue = nil
			w.until(100, "it leads", func() bool { return w.leader() == left })
			st := left.seat.Status()
			assert.Equal(t, []SeatID{left.id}, st.Seats)
			assert.Greater(t, st.Term, was)
			assert.False(t, st.Waiting || st.Behind)
			assert.GreaterOrEqual(t, st.Applied, data.Index+beyond)

			// The lost ones come back after all, and do not reach it: each needs the word of as many others as they are.
			for _, id := range lost {
				w.cut[[2]SeatID{id, left.id}], w.cut[[2]SeatID{left.id, id}] = true, true
				w.run(id, w.disks[id], nil)
			}
			w.steps(300)
			for _, id := range lost {
				assert.True(t, w.of(id).seat.Status().Waiting, "seat %d of the lost %v", id, lost)
				w.kill(w.of(id))
			}

			w.kill(left) // what it has founded is in its store
			left = w.run(left.id, left.disk, nil)
			to := []SeatID{left.id}
			for i := range n - 1 {
				id := SeatID(n + 1 + i)
				to = append(to, id)
				w.disks[id] = &disk{}
				w.run(id, w.disks[id], nil)
			}
			w.until(2000, "the council has its seats again", func() bool { return w.now%5 == 0 && w.towards(to) })
			w.agree()
			w.same()
		})
	}
}

// A leader adds a seat, tells the new one and one other, and is gone: one that is left behind has a council without the new seat. Those
// three are a majority of four, and the new seat has the furthest log. The one that is behind did not vote for who is not of its own
// council, and nobody led any more, for good: "p0 ['p0' 'p1' 'p3'] committed 417, p2 ['p0' 'p1' 'p2' 'p3'] 421, p3 419", all followers of
// term 2, in storm 9 with seats that change. Raft's rule is that the log decides, as a seat's own council may be an older one.
func TestASeatThatIsBehindVotesForOneThatItDoesNotKnowYet(t *testing.T) {
	const behind, added, between = SeatID(1), SeatID(2), SeatID(3) // 4 is gone
	with := func(ids ...uint64) *raftpb.ConfState { return &raftpb.ConfState{Voters: ids} }
	entry := func(index uint64) *raftpb.Entry {
		return &raftpb.Entry{Index: new(index), Term: new(uint64(2)), Type: raftpb.EntryType_EntryNormal.Enum()}
	}
	seatOf := func(id SeatID, conf *raftpb.ConfState, snapshot uint64, more ...*raftpb.Entry) *Seat {
		s, err := New(Options{Self: id, Boot: 1, Run: uint64(id)}, Durable{Applied: snapshot, Entries: more,
			HardState: &raftpb.HardState{Term: new(uint64(2)), Vote: new(uint64(4)), Commit: new(snapshot)},
			Snapshot:  &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: new(snapshot), Term: new(uint64(2)), ConfState: conf}}})
		require.NoError(t, err)
		return s
	}
	seats := map[SeatID]*Seat{
		behind:  seatOf(behind, with(1, 3, 4), 10),
		between: seatOf(between, with(1, 2, 3, 4), 11),
		added:   seatOf(added, with(1, 2, 3, 4), 11, entry(12)),
	}
	order := []SeatID{behind, added, between}
	leader := func() SeatID {
		for _, id := range order {
			if seats[id].Status().Leading {
				return id
			}
		}
		return 0
	}
	for tick := 0; tick < 20*ElectionTicks && leader() == 0; tick++ {
		for _, id := range order {
			seats[id].Tick()
		}
		for said := true; said; {
			said = false
			for _, id := range order {
				out, any := seats[id].Ready()
				if !any {
					continue
				}
				said = true
				seats[id].Done(out)
				for _, m := range out.Send {
					if to := seats[m.To]; to != nil {
						_ = to.Step(m.Raw) // what is refused is lost
					}
				}
			}
		}
	}
	assert.Equal(t, added, leader(), "it alone has the furthest log")
	assert.Equal(t, uint64(13), seats[behind].end().Index, "it has the log by now, and what its leader began with, and knows of the seat")
	assert.Contains(t, seats[behind].Status().Seats, added)
}
