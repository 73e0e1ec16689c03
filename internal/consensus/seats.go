package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// HandOverTo has another seat lead in the place of this one: before this one is taken out. It takes no proposals until that has
// happened or an election's time has passed; what became of it, Status tells.
func (s *Seat) HandOverTo(to SeatID) (err error) {
	if err := s.leads(); err != nil {
		return err
	}
	if to == s.o.Self || !slices.Contains(s.conf.GetVoters(), uint64(to)) {
		return &StrangerError{Seat: to}
	}
	defer s.caught(&err)
	s.rn.TransferLeader(uint64(to))
	return nil
}

// handed says whether a leader's word to stand for election at once is from who leads: anybody else's would be an election for
// nothing.
func (s *Seat) handed(m *raftpb.Message) bool {
	b := s.rn.BasicStatus()
	return m.GetFrom() == b.Lead && m.GetTerm() == b.GetTerm() && !s.below()
}

// Learn has a seat learn what was agreed on, without a vote: before Change takes it in, so that at no time a seat counts whose store
// has nothing. Taken out again by Change.
func (s *Seat) Learn(id SeatID) (err error) {
	if err := s.leads(); err != nil {
		return err
	}
	if id == 0 || slices.Contains(s.conf.GetVoters(), uint64(id)) || slices.Contains(s.conf.GetLearners(), uint64(id)) {
		return nil
	}
	defer s.caught(&err)
	cc := &raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeAddLearnerNode.Enum(), NodeId: new(uint64(id))}
	if s.rn.ProposeConfChange(cc) != nil {
		return &BusyError{}
	}
	return nil
}

// HasAll says whether a seat is known to have in its store all that was agreed on when it was heard last, give or take what is
// under way. Only a seat that leads knows.
func (s *Seat) HasAll(id SeatID) (all bool) {
	if s.leads() != nil {
		return false
	}
	s.rn.WithProgress(func(of uint64, _ raft.ProgressType, pr tracker.Progress) {
		if of == uint64(id) {
			all = pr.State == tracker.StateReplicate && pr.RecentActive && pr.Match+underWay >= s.hard.GetCommit()
		}
	})
	return all
}

// underWay is how many entries a seat may lack that has all, since it gets them one round later than they are agreed on.
const underWay = 16

// Rest are the entries of this seat's log that are not applied yet, whether or not they were agreed on: for FoundAnew. No Output
// is out.
func (s *Seat) Rest() ([]Entry, error) {
	if s.err != nil {
		return nil, s.err
	}
	if s.out || s.first != nil {
		return nil, &BusyError{}
	}
	last, _ := s.mem.LastIndex()
	if s.applied >= last {
		return nil, nil
	}
	raw, err := s.mem.Entries(s.applied+1, last+1, 1<<62)
	if err != nil {
		return nil, fmt.Errorf("council: the rest of the log: %w", err)
	}
	var rest []Entry
	for _, e := range raw {
		if e.GetType() == raftpb.EntryType_EntryNormal && len(e.Data) > 0 {
			rest = append(rest, Entry{Index: e.GetIndex(), Term: e.GetTerm(), Data: e.Data})
		}
	}
	return rest, nil
}

// beyond is by how much the log of a council that is founded anew begins later: above all places that the lost stores may have
// told of, so that whoever goes by the newest goes by the new council.
const beyond = 1 << 32

// FoundAnew makes this seat the only one of a council that begins with book: its own state with all of Rest applied. What it
// returns has to be durable before anything else is done. The other seats of the council of before, if they ever run again with
// their stores, are another council, and raft does not tell the two apart: whoever carries messages has to.
func (s *Seat) FoundAnew(book []byte) (Save, error) {
	if _, err := s.Rest(); err != nil {
		return Save{}, err
	}
	end := s.end()
	index, term := end.Index+beyond, max(s.hard.GetTerm(), end.Term)+1
	conf := &raftpb.ConfState{Voters: []uint64{uint64(s.o.Self)}}
	snap := &raftpb.Snapshot{Data: slices.Clone(book), Metadata: &raftpb.SnapshotMetadata{
		Index: new(index), Term: new(term), ConfState: conf,
	}}
	mem := raft.NewMemoryStorage()
	if err := mem.ApplySnapshot(snap); err != nil {
		return Save{}, err
	}
	s.mem, s.conf, s.rn = mem, conf, nil
	s.hard = &raftpb.HardState{Term: new(term), Vote: new(uint64(0)), Commit: new(index)}
	s.snap, s.applied, s.appTerm, s.changed = index, index, term, false
	s.wait, s.floor, s.stuck, s.idle = nil, mark{}, nil, map[SeatID]int{}
	s.register.seats = map[SeatID]*heard{}
	return Save{HardState: proto.CloneOf(s.hard), Snapshot: snap, Replace: true}, s.start()
}
