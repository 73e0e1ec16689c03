package consensus

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// restart kills the process of a seat and starts another one on a disk.
func (w *net) restart(id SeatID, k *disk) *process {
	if p := w.of(id); p != nil {
		w.kill(p)
	}
	w.disks[id] = k
	return w.run(id, k, nil)
}

// part cuts a seat off from all others.
func (w *net) part(id SeatID) {
	for other := SeatID(1); other <= 5; other++ {
		w.cut[[2]SeatID{id, other}], w.cut[[2]SeatID{other, id}] = true, true
	}
}

// putBack has a seat come back with its store as it was before the last agreement, and waits until it is refused.
func putBack(t *testing.T, w *net, id SeatID) *process {
	older := w.disks[id].copy()
	w.agree()
	w.same()
	p := w.restart(id, &older)
	w.until(100, "the refusal", func() bool { return p.refused != nil })
	assert.ErrorAs(t, p.refused, new(*OldStoreError))
	w.agree()
	return p
}

func TestAnOlderStoreIsRefusedByWhoKnowsBetter(t *testing.T) {
	seeded(t, 20, func(t *testing.T, seed uint64) {
		w := newNet(t, seed, 3)
		w.agree()
		w.same()
		id := w.leader().id%3 + 1 // a follower
		p := putBack(t, w, id)
		assert.Less(t, p.at, w.agreed)
		p = w.restart(id, w.disks[id])
		assert.ErrorAs(t, p.seat.Step(nil), new(*RefusedError), "it stays refused")
	})
}

// A leader acknowledges nothing. Its older store, from after its election, is refused by what it said of its log as it led.
func TestAnOlderStoreOfALeaderIsRefused(t *testing.T) {
	seeded(t, 20, func(t *testing.T, seed uint64) {
		w := newNet(t, seed, 3)
		w.agree()
		w.same()
		putBack(t, w, w.leader().id)
	})
}

// What two of three agreed on stays agreed on when one of the two forgets it and nobody's memory outlives the night.
func TestAnOlderStoreAtAColdStart(t *testing.T) {
	seeded(t, 40, func(t *testing.T, seed uint64) {
		proven := seed%2 == 0 // of the seat that is behind: it has no floor, and may stand and vote
		w := newNet(t, seed, 3)
		w.agree()
		w.same()
		lead := w.leader().id
		forgets, behind := lead%3+1, (lead+1)%3+1
		w.part(behind)
		older := w.disks[forgets].copy()
		w.agree()
		w.agree()
		for id := SeatID(1); id <= 3; id++ {
			w.kill(w.of(id))
		}
		clear(w.cut)
		w.queue = nil
		p := w.restart(forgets, &older)
		w.start(behind, w.disks[behind], nil, proven)
		was := w.agreed
		w.steps(200)
		assert.Equal(t, was, w.agreed)
		assert.True(t, p.seat.Status().Waiting, "two of three answered nothing yet")
		w.restart(lead, w.disks[lead])
		w.until(20, "the wait is over", func() bool { return !p.seat.Status().Waiting })
		w.kill(w.of(lead))
		for range 200 {
			w.step()
			for _, p := range w.ps {
				w.propose(p) // those who could overwrite it
			}
		}
		assert.Equal(t, was, w.agreed, "neither of the two has it, and one of them helped to agree on it")
		w.restart(lead, w.disks[lead])
		w.agree()
		w.same()
	})
}

func TestAllSeatsStartAtOnce(t *testing.T) {
	seeded(t, 20, func(t *testing.T, seed uint64) {
		w := newNet(t, seed, 5)
		w.agree()
		w.same()
		for id := SeatID(1); id <= 5; id++ {
			w.restart(id, w.disks[id])
		}
		w.until(4, "the wait is over", func() bool {
			for _, p := range w.ps {
				if p.seat.Status().Waiting {
					return false
				}
			}
			return true
		})
		w.agree()
	})
}

func TestWithOneSeatDownAMachineThatStartsAnewWaits(t *testing.T) {
	seeded(t, 5, func(t *testing.T, seed uint64) {
		w := newNet(t, seed, 3)
		w.agree()
		w.same()
		id := w.leader().id%3 + 1
		w.kill(w.of((w.leader().id+1)%3 + 1))
		p := w.restart(id, w.disks[id])
		w.steps(100)
		require.True(t, p.seat.Status().Waiting)
		require.NoError(t, p.seat.Vouch())
		w.agree()
		w.kill(p)
		w.start(id, w.disks[id], nil, true)
		w.agree()
	})
}

// Whoever counts what this seat once acknowledged has to be among those that are asked.
func TestTheLeaderIsAmongThoseThatAnswer(t *testing.T) {
	seeded(t, 10, func(t *testing.T, seed uint64) {
		w := newNet(t, seed, 5)
		w.agree()
		w.same()
		lead := w.leader().id
		id := lead%5 + 1
		w.cut[[2]SeatID{lead, id}], w.cut[[2]SeatID{id, lead}] = true, true
		p := w.restart(id, w.disks[id])
		w.steps(5)
		assert.Len(t, p.seat.wait.answers, 3)
		clear(w.cut)
		w.until(5, "the wait is over", func() bool { return !p.seat.Status().Waiting })
	})
}

// A seat that has forgotten its vote does not vote in that term again.
func TestNoSecondVote(t *testing.T) {
	conf := &raftpb.ConfState{Voters: []uint64{1, 2, 3}}
	d := Durable{
		HardState: &raftpb.HardState{Term: new(uint64(3)), Commit: new(uint64(7))},
		Snapshot:  &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(7)), Term: new(uint64(3)), ConfState: conf}},
	}
	for _, try := range [][2]uint64{{3, 3}, {4, 3}, {3, 5}, {4, 5}, {5, 5}, {6, 5}} {
		term, top := try[0], try[1] // of the candidate; the highest of the others
		s, err := New(Options{Self: 1, Boot: 2, Run: 9}, d)
		require.NoError(t, err)
		for id := SeatID(2); id <= 3; id++ {
			require.True(t, s.Status().Waiting)
			require.NoError(t, s.Hear(Claim{Seat: id, Boot: 1, Run: 1, Sent: 1, Term: max(3, top*uint64(id-2)), LastTerm: 3, Last: 7, EchoRun: 9, Echo: 1}))
		}
		require.False(t, s.Status().Waiting)
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
			s.Done(o)
		}
		assert.Equal(t, term > top, granted, "term %d of %d", term, top)
	}
}

func TestACopiedStoreStartedTwice(t *testing.T) {
	for _, running := range []bool{true, false} {
		seeded(t, 20, func(t *testing.T, seed uint64) {
			w := newNet(t, seed, 3)
			w.agree()
			w.same()
			id := w.leader().id%3 + 1
			one := w.of(id)
			copied := w.disks[id].copy()
			if !running {
				again := w.disks[id].copy()
				one = w.restart(id, &again)
			}
			two := w.run(id, &copied, nil)
			w.until(200, "both are refused", func() bool { return one.refused != nil && two.refused != nil })
			assert.ErrorAs(t, one.refused, new(*CopiedStoreError))
			assert.ErrorAs(t, two.refused, new(*CopiedStoreError))
			w.agree()
		})
	}
}

// A process that is followed by another one on the same store is no copy, however late its last messages come.
func TestLateMessagesOfTheProcessBefore(t *testing.T) {
	r := NewRegister(1, 100)
	r.sent = 5
	require.NoError(t, r.Hear(Claim{Seat: 2, Boot: 3, Run: 7, Sent: 1, Echo: 4, EchoRun: 100}))
	require.NoError(t, r.Hear(Claim{Seat: 2, Boot: 4, Run: 8, Sent: 1}))
	assert.ErrorAs(t, r.Hear(Claim{Seat: 2, Boot: 3, Run: 7, Sent: 9, Echo: 5, EchoRun: 100}), new(*LateError))
	require.NoError(t, r.Hear(Claim{Seat: 2, Boot: 4, Run: 8, Sent: 2}))
	assert.ErrorAs(t, r.Hear(Claim{Seat: 2, Boot: 2, Run: 6, Sent: 9}), new(*OldStoreError))
	r.sent = 6
	assert.ErrorAs(t, r.Hear(Claim{Seat: 2, Boot: 3, Run: 7, Sent: 10, Echo: 6, EchoRun: 100}), new(*CopiedStoreError), "it heard what came after")
	assert.ErrorAs(t, r.Hear(Claim{Seat: 2, Boot: 4, Run: 8, Sent: 3}), new(*CopiedStoreError))
	assert.ErrorAs(t, r.Hear(Claim{Seat: 1, Boot: 4, Run: 8, Sent: 3}), new(*CopiedStoreError), "somebody else is this seat")
}

// Older stores among all other faults: what was agreed on stays so.
func TestFaultsWithAnOlderStore(t *testing.T) {
	refused := 0
	for _, n := range []int{3, 5} {
		seeded(t, 60, func(t *testing.T, seed uint64) {
			w := newNet(t, seed, n)
			w.loss, w.delay = w.rng.Float64()*0.1, w.rng.IntN(3)
			victim := SeatID(1 + w.rng.IntN(n))
			copied := w.disks[victim].copy()
			for i := range 400 {
				w.step()
				if p := w.leader(); p != nil && w.rng.IntN(3) == 0 {
					w.propose(p)
				}
				if i == 100 {
					copied = w.disks[victim].copy()
				}
				if i == 250 {
					w.restart(victim, &copied)
				}
				id := SeatID(1 + w.rng.IntN(n))
				switch p := w.of(id); {
				case w.rng.IntN(40) > 0:
				case p == nil:
					w.start(id, w.disks[id], nil, id != victim && seed%2 == 0)
				default:
					w.kill(p)
				}
			}
			for id := SeatID(1); id <= SeatID(n); id++ {
				if w.of(id) == nil {
					w.run(id, w.disks[id], nil)
				}
			}
			w.loss, w.delay = 0, 0
			w.steps(100)
			for _, p := range w.ps {
				st := p.seat.Status()
				if p.id != victim && (st.Waiting || st.Behind) && w.of(victim).seat.Status().Err != nil {
					_ = p.seat.Vouch() // an operator's word: the seat that is refused does not answer
				}
			}
			w.agree()
			refused += btoi(w.of(victim).seat.Status().Err != nil)
			w.ps = slices.DeleteFunc(w.ps, func(p *process) bool { return p.seat.Status().Err != nil })
			w.same()
		})
	}
	t.Logf("refused in %d of 120", refused)
}

func TestWhatASeatMustNotHaveForgotten(t *testing.T) {
	seen := Claim{Seat: 2, Boot: 3, Run: 7, Sent: 1, Term: 5, LastTerm: 5, Last: 10}
	for name, back := range map[string]struct {
		then Claim
		want any
	}{
		"all is there":       {Claim{Seat: 2, Boot: 4, Run: 8, Term: 5, Vote: 1, Last: 10}, nil},
		"a later term":       {Claim{Seat: 2, Boot: 4, Run: 8, Term: 6, Vote: 3, Last: 9}, nil},
		"the term":           {Claim{Seat: 2, Boot: 4, Run: 8, Term: 4, Vote: 1, Last: 10}, new(*OldStoreError)},
		"the vote":           {Claim{Seat: 2, Boot: 4, Run: 8, Term: 5, Last: 10}, new(*OldStoreError)},
		"another vote":       {Claim{Seat: 2, Boot: 4, Run: 8, Term: 5, Vote: 3, Last: 10}, new(*OldStoreError)},
		"an entry":           {Claim{Seat: 2, Boot: 4, Run: 8, Term: 5, Vote: 1, Last: 9}, new(*OldStoreError)},
		"an opening":         {Claim{Seat: 2, Boot: 2, Run: 8, Term: 5, Vote: 1, Last: 10}, new(*OldStoreError)},
		"the same opening":   {Claim{Seat: 2, Boot: 3, Run: 8, Term: 5, Vote: 1, Last: 10}, new(*CopiedStoreError)},
		"nothing, it is one": {Claim{Seat: 2, Boot: 3, Run: 7, Sent: 2, Term: 5}, nil},
	} {
		r := NewRegister(1, 100)
		require.NoError(t, r.Hear(seen))
		for _, m := range []*raftpb.Message{
			{Type: raftpb.MessageType_MsgVoteResp.Enum(), From: new(uint64(2)), Term: new(uint64(5))},
			{Type: raftpb.MessageType_MsgAppResp.Enum(), From: new(uint64(2)), Term: new(uint64(5)), Index: new(uint64(10))},
			{Type: raftpb.MessageType_MsgAppResp.Enum(), From: new(uint64(2)), Term: new(uint64(5)), Index: new(uint64(12)), Reject: new(true)},
			{Type: raftpb.MessageType_MsgPreVoteResp.Enum(), From: new(uint64(2)), Term: new(uint64(9))},
		} {
			r.note(m)
		}
		if err := r.Hear(back.then); back.want == nil {
			assert.NoError(t, err, name)
		} else {
			assert.ErrorAs(t, err, back.want, name)
		}
	}
}

func TestASeatThatWasTakenOutWhileItWasAway(t *testing.T) {
	seeded(t, 3, func(t *testing.T, seed uint64) {
		w := newNet(t, seed, 3)
		w.agree()
		w.same()
		id := w.leader().id%3 + 1
		w.kill(w.of(id))
		require.NoError(t, w.leader().seat.Change(0, id))
		w.until(100, "taken out", func() bool { return len(w.leader().seat.Status().Seats) == 2 })
		w.agree()
		p := w.run(id, w.disks[id], nil)
		w.until(100, "it knows", func() bool { return p.seat.Status().Err != nil })
		assert.ErrorAs(t, p.seat.Status().Err, new(*StrangerError))
		w.agree()
	})
}

func TestMessagesThatCannotBe(t *testing.T) {
	start := func() *Seat {
		s, err := New(Options{Self: 1, Seats: []SeatID{1, 2, 3}, Boot: 1, Run: 1}, Durable{})
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
		assert.ErrorAs(t, start().Step(raw(vote)), new(*StrangerError), "who is not of the council, and has less of a log, is not voted for")
		vote.LogTerm = new(uint64(9))
		assert.NoError(t, start().Step(raw(vote)), "who has more may be of a council that came later")
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
	assert.ErrorAs(t, s.Step(raw(beyond)), new(*BrokenError), "raft dies of it, the process does not")
	s.Tick()
	_, ok := s.Ready()
	assert.True(t, ok, "what was to be saved before")
	assert.ErrorAs(t, s.Status().Err, new(*BrokenError))
	assert.ErrorAs(t, s.Propose(nil), new(*BrokenError))
}
