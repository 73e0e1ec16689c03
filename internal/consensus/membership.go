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
func (s *Replica) TransferLeadershipTo(to ReplicaID) (err error) {
	if err := s.checkLeader(); err != nil {
		return err
	}
	if to == s.opts.Self || !slices.Contains(s.confState.GetVoters(), uint64(to)) {
		return &NotMemberError{Replica: to}
	}
	defer s.recoverPanic(&err)
	s.node.TransferLeader(uint64(to))
	return nil
}

// handed says whether a leader's word to stand for election at once is from who leads: anybody else's would be an election for
// nothing.
func (s *Replica) fromLeader(m *raftpb.Message) bool {
	status := s.node.BasicStatus()
	return m.GetFrom() == status.Lead && m.GetTerm() == status.GetTerm() && !s.catchingUp()
}

// Learn has a seat learn what was agreed on, without a vote: before Change takes it in, so that at no time a seat counts whose store
// has nothing. Taken out again by Change.
func (s *Replica) AddLearner(id ReplicaID) (err error) {
	if err := s.checkLeader(); err != nil {
		return err
	}
	if id == 0 || slices.Contains(s.confState.GetVoters(), uint64(id)) || slices.Contains(s.confState.GetLearners(), uint64(id)) {
		return nil
	}
	defer s.recoverPanic(&err)
	cc := &raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeAddLearnerNode.Enum(), NodeId: new(uint64(id))}
	if s.node.ProposeConfChange(cc) != nil {
		return &BusyError{}
	}
	return nil
}

// HasAll says whether a seat is known to have in its store all that was agreed on when it was heard last, give or take what is
// under way. Only a seat that leads knows.
func (s *Replica) CaughtUp(id ReplicaID) (caughtUp bool) {
	if s.checkLeader() != nil {
		return false
	}
	s.node.WithProgress(func(progressOf uint64, _ raft.ProgressType, pr tracker.Progress) {
		if progressOf == uint64(id) {
			caughtUp = pr.State == tracker.StateReplicate && pr.RecentActive && pr.Match+maxInFlightEntries >= s.hardState.GetCommit()
		}
	})
	return caughtUp
}

// underWay is how many entries a seat may lack that has all, since it gets them one round later than they are agreed on.
const maxInFlightEntries = 16

// Rest are the entries of this seat's log that are not applied yet, whether or not they were agreed on: for FoundAnew. No Output
// is out.
func (s *Replica) UnappliedEntries() ([]Entry, error) {
	if s.err != nil {
		return nil, s.err
	}
	if s.outputPending || s.initial != nil {
		return nil, &BusyError{}
	}
	last, _ := s.storage.LastIndex()
	if s.applied >= last {
		return nil, nil
	}
	logEntries, err := s.storage.Entries(s.applied+1, last+1, 1<<62)
	if err != nil {
		return nil, fmt.Errorf("council: the rest of the log: %w", err)
	}
	var unapplied []Entry
	for _, e := range logEntries {
		if e.GetType() == raftpb.EntryType_EntryNormal && len(e.Data) > 0 {
			unapplied = append(unapplied, Entry{Index: e.GetIndex(), Term: e.GetTerm(), Data: e.Data})
		}
	}
	return unapplied, nil
}

// beyond is by how much the log of a council that is founded anew begins later: above all places that the lost stores may have
// told of, so that whoever goes by the newest goes by the new council.
const rebootstrapIndexGap = 1 << 32

// FoundAnew makes this seat the only one of a council that begins with book: its own state with all of Rest applied. What it
// returns has to be durable before anything else is done. The other seats of the council of before, if they ever run again with
// their stores, are another council, and raft does not tell the two apart: whoever carries messages has to.
func (s *Replica) Rebootstrap(state []byte) (WriteBatch, error) {
	if _, err := s.UnappliedEntries(); err != nil {
		return WriteBatch{}, err
	}
	last := s.lastPosition()
	index, term := last.Index+rebootstrapIndexGap, max(s.hardState.GetTerm(), last.Term)+1
	confState := &raftpb.ConfState{Voters: []uint64{uint64(s.opts.Self)}}
	snap := &raftpb.Snapshot{Data: slices.Clone(state), Metadata: &raftpb.SnapshotMetadata{
		Index: new(index), Term: new(term), ConfState: confState,
	}}
	storage := raft.NewMemoryStorage()
	if err := storage.ApplySnapshot(snap); err != nil {
		return WriteBatch{}, err
	}
	s.storage, s.confState, s.node = storage, confState, nil
	s.hardState = &raftpb.HardState{Term: new(term), Vote: new(uint64(0)), Commit: new(index)}
	s.snapshotIndex, s.applied, s.appliedTerm, s.confChanged = index, index, term, false
	s.confirming, s.catchUpTo, s.pendingSnapshots, s.leaderless = nil, position{}, nil, map[ReplicaID]int{}
	s.peers.replicas = map[ReplicaID]*peerState{}
	return WriteBatch{HardState: proto.CloneOf(s.hardState), Snapshot: snap, Replace: true}, s.start()
}
