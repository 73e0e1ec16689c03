package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// TransferLeadershipTo makes another replica the leader in place of this one, for example before this one is removed.
// This replica accepts no proposals until that has happened or an election timeout has passed; see Status for the
// result.
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

// fromLeader reports whether a request to campaign at once comes from the current leader. From any other replica it
// would cause a needless election.
func (s *Replica) fromLeader(m *raftpb.Message) bool {
	status := s.node.BasicStatus()
	return m.GetFrom() == status.Lead && m.GetTerm() == status.GetTerm() && !s.catchingUp()
}

// AddLearner adds a replica as a learner, without a vote, before ChangeVoters makes it a voter: so a replica with an
// empty store never counts towards a quorum. ChangeVoters also removes a learner.
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

// CaughtUp reports whether a replica had all committed entries in its store when it last responded, except for those
// still in flight. Only the leader knows; on any other replica the result is false.
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

// maxInFlightEntries is how many entries a caught-up replica may lack: it learns of committed entries one round trip
// later than the leader.
const maxInFlightEntries = 16

// UnappliedEntries returns the entries of this replica's log that have not been applied yet, committed or not, for
// Rebootstrap. No Output may be pending.
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
		return nil, fmt.Errorf("consensus: cannot read the unapplied log entries: %w", err)
	}
	var unapplied []Entry
	for _, e := range logEntries {
		if e.GetType() == raftpb.EntryType_EntryNormal && len(e.Data) > 0 {
			unapplied = append(unapplied, Entry{Index: e.GetIndex(), Term: e.GetTerm(), Data: e.Data})
		}
	}
	return unapplied, nil
}

// rebootstrapIndexGap is how far the log index jumps when a group is re-bootstrapped: above every index that the lost
// stores may have reported, so that a node that follows the newest index follows the new group.
const rebootstrapIndexGap = 1 << 32

// Rebootstrap makes this replica the only member of a new group that starts with state: its own state with all of
// UnappliedEntries applied. The returned batch must be made durable before anything else is done. If the other replicas
// of the old group ever run again with their stores, they form a separate group. raft cannot tell the two groups apart:
// the transport must keep their messages separate.
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
