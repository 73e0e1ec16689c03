// Package consensus implements one replica of a site's consensus group: etcd's raft without any I/O of its own. The
// driver passes in ticks, messages and proposals, makes Output.Save durable before it sends Output.Send, and applies
// Output.Apply. The same code runs in the node's process, over bbolt and RPCs, and in tests in virtual time.
//
// One thread drives a replica, always in this order:
//
//	for out, ok := replica.Ready(); ok; out, ok = replica.Ready() {
//		store.Save(out.Save)              // durable; after an error the control plane stops
//		send(out.Send)                    // any message may be lost
//		restore(out.Snapshot)             // if not nil: the complete state
//		apply(out.Apply)
//		replica.Advance(out)
//		answer(out.Reads)                 // those whose Index has been applied
//	}
//
// raft takes its election jitter from crypto/rand, so a seed does not determine who wins an election in virtual time.
// Options therefore has no seed, and tests check what must hold whichever replica wins.
package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Entry is a committed log entry. Entries are delivered in the order of Index.
type Entry struct {
	Index uint64
	Term  uint64 // in which the entry was proposed; a leader of another term did not propose it
	Data  []byte // as proposed; the empty entries that raft adds itself are not delivered
}

// ReplicaID is a replica's raft ID; 0 means none. It is derived from the node's name and the replica incarnation of its
// store, so a replica that comes back with another store has a new ID and must be added to the group again.
type ReplicaID uint64

// Options configure a replica.
type Options struct {
	Self ReplicaID
	// InitialVoters bootstrap the group: the same list on all of them, each with an empty store. Empty for a replica
	// that joins an existing group or that already has a store.
	InitialVoters  []ReplicaID
	ElectionTicks  int                      // without a leader, after which a replica starts an election; 0: ElectionTicks
	HeartbeatTicks int                      // between two heartbeats of a leader; 0: 1
	SnapshotEvery  uint64                   // applied entries after which Status.SnapshotDue is set; 0: 1000
	OpenCount      uint64                   // how often the store has been opened; above 1 the other replicas must confirm the store first
	RunID          uint64                   // random, identifies this process
	StoreVerified  bool                     // the store is known to be as the last process left it: no confirmation needed
	Log            func(level, text string) // receives raft's log lines; nil: none
}

// StoredState is what the store holds when a replica starts. For an empty store it is the zero value.
type StoredState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry // follow the snapshot without gaps
	Applied   uint64          // the snapshot's index; later entries are applied again
	Refused   string          // why the other replicas refused this store, if they did; the replica then stays stopped
}

// WriteBatch must be made durable atomically before the messages of the same Output are sent.
type WriteBatch struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // replaces the previous one
	Entries   []*raftpb.Entry  // replace all entries from the first one's index on
	Replace   bool             // the snapshot came from a leader: all earlier entries are deleted
	CompactTo uint64           // entries up to this index may be deleted
}

// Empty reports whether there is nothing to save.
func (s WriteBatch) Empty() bool {
	return s.HardState == nil && s.Snapshot == nil && len(s.Entries) == 0 && s.CompactTo == 0
}

// Message is addressed to another replica. It may be lost, duplicated or delayed.
type Message struct {
	To  ReplicaID
	Raw []byte
}

// ReadState is a read request (see Replica.ReadIndex) that a quorum has confirmed. It may be answered once Index has
// been applied.
type ReadState struct {
	Ctx   uint64
	Index uint64
}

// Output is what the driver must do next.
type Output struct {
	Save     WriteBatch
	MustSync bool // otherwise Save may wait for the next Output: only the commit index moved
	Send     []Message
	Snapshot []byte // if not nil, the state to restore before Apply; empty stands for the initial state, before any write
	Apply    []Entry
	Reads    []ReadState

	rd *raft.Ready
}

// Status describes the state of a replica.
type Status struct {
	Leader      ReplicaID // 0: none known
	Leading     bool      // it is the leader and has applied everything committed in earlier terms
	Term        uint64
	Applied     uint64
	Committed   uint64
	Voters      []ReplicaID // in ascending order; while Unconfirmed, as reported by replicas that know more
	Learners    []ReplicaID // without a vote, in ascending order
	SnapshotDue bool        // a snapshot is due: call Compact(Applied, state)
	Unconfirmed bool        // waiting for the other replicas to confirm that its store is not stale
	Behind      bool        // its log has not caught up with theirs yet: it does not campaign, and votes only for replicas that have caught up
	Err         error       // why the replica has stopped for good
}

// Replica is one member of the consensus group. It is not safe for concurrent use.
type Replica struct {
	opts              Options
	storage           *raft.MemoryStorage
	node              *raft.RawNode // nil while the store is unconfirmed
	confState         *raftpb.ConfState
	initial           *Output
	outputPending     bool // Ready has returned an Output and Advance has not been called yet
	applied           uint64
	appliedTerm       uint64
	snapshotIndex     uint64 // index of the last snapshot
	confChanged       bool   // the configuration changed since the last snapshot; raft adds a replica only through a snapshot that includes it
	hardState         *raftpb.HardState
	err               error
	peers             *PeerTable
	confirming        *confirmation
	catchUpTo         position
	ticks             int
	leaderless        map[ReplicaID]int // tick of the last report, of replicas that know no leader and whose log is no newer
	campaignFrom      int               // tick before which it starts no early election
	reportsSent       uint64            // sequence number of its last report at the end of the last completed half election timeout
	reportsSentBefore uint64            // the same for the half election timeout before
	leaderSeenAt      int               // tick of the leader's last message
	electionTerm      uint64            // the latest term in which it saw an election
	pendingSnapshots  map[uint64]bool   // replicas to which a snapshot was being sent at the last check
}

// ElectionTicks is the default for Options.ElectionTicks: how many ticks pass without a leader before an election.
const ElectionTicks = 10

// keepFraction sets how many log entries are kept behind a snapshot, 1/4 of SnapshotEvery: a replica that lags a little
// needs no snapshot.
const keepFraction = 4

// New starts a replica. Without a store and without InitialVoters it belongs to no group yet and accepts what a leader
// sends.
func New(opts Options, stored StoredState) (*Replica, error) {
	if opts.Self == 0 {
		return nil, fmt.Errorf("consensus: a replica needs a nonzero ID")
	}
	if opts.ElectionTicks == 0 {
		opts.ElectionTicks = ElectionTicks
	}
	if opts.HeartbeatTicks == 0 {
		opts.HeartbeatTicks = 1
	}
	if opts.SnapshotEvery == 0 {
		opts.SnapshotEvery = 1000
	}
	s := &Replica{opts: opts, storage: raft.NewMemoryStorage(), confState: &raftpb.ConfState{}, hardState: &raftpb.HardState{},
		leaderless: map[ReplicaID]int{}}
	s.peers = NewPeerTable(opts.Self, opts.RunID)
	if stored.Refused != "" {
		s.err = &RefusedError{Why: stored.Refused}
	}
	hasState := stored.Snapshot.GetMetadata().GetIndex() > 0 || len(stored.Entries) > 0
	if !hasState && len(opts.InitialVoters) > 0 {
		if err := s.bootstrap(); err != nil {
			return nil, err
		}
		return s, s.start()
	}
	if stored.HardState != nil {
		s.hardState = proto.CloneOf(stored.HardState)
	}
	if snap := stored.Snapshot; snap.GetMetadata().GetIndex() > 0 {
		if err := s.storage.ApplySnapshot(snap); err != nil {
			return nil, fmt.Errorf("consensus: cannot load the stored snapshot: %w", err)
		}
		s.snapshotIndex, s.applied, s.appliedTerm = snap.Metadata.GetIndex(), snap.Metadata.GetIndex(), snap.Metadata.GetTerm()
		s.confState = snap.Metadata.GetConfState()
		s.initial = &Output{Snapshot: notNil(snap.Data)}
	}
	next := s.snapshotIndex
	for _, e := range stored.Entries {
		if next++; e.GetIndex() != next {
			return nil, fmt.Errorf("consensus: the stored log has entry %d in place of entry %d", e.GetIndex(), next)
		}
	}
	if s.hardState.GetCommit() < s.snapshotIndex {
		s.hardState.Commit = new(s.snapshotIndex) // a snapshot holds only committed entries
	}
	if s.hardState.GetCommit() > next {
		return nil, fmt.Errorf("consensus: the stored log goes from %d to %d, but entries up to %d are committed",
			s.snapshotIndex, next, s.hardState.GetCommit())
	}
	if err := s.storage.Append(stored.Entries); err != nil {
		return nil, fmt.Errorf("consensus: cannot load the stored log: %w", err)
	}
	if opts.OpenCount > 1 && !opts.StoreVerified && s.err == nil && len(s.others()) > 0 {
		s.confirming = &confirmation{reports: map[ReplicaID]SelfReport{}}
		return s, nil
	}
	return s, s.start()
}

func notNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

// bootstrap creates the state that all initial replicas start from: an empty state at index 1 of term 1.
func (s *Replica) bootstrap() error {
	ids := make([]uint64, 0, len(s.opts.InitialVoters))
	for _, id := range s.opts.InitialVoters {
		ids = append(ids, uint64(id))
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if !slices.Contains(ids, uint64(s.opts.Self)) || ids[0] == 0 {
		return fmt.Errorf("consensus: replica %x is not among the initial voters", uint64(s.opts.Self))
	}
	s.confState = &raftpb.ConfState{Voters: ids}
	snapshot := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{
		Index: new(uint64(1)), Term: new(uint64(1)), ConfState: s.confState,
	}}
	if err := s.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	s.hardState = &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	s.snapshotIndex, s.applied, s.appliedTerm = 1, 1, 1
	s.initial = &Output{Save: WriteBatch{HardState: proto.CloneOf(s.hardState), Snapshot: snapshot, Replace: true},
		MustSync: true, Snapshot: []byte{}}
	return nil
}

func (s *Replica) start() (err error) {
	if err = s.storage.SetHardState(proto.CloneOf(s.hardState)); err != nil {
		return err
	}
	s.electionTerm = s.hardState.GetTerm()
	defer s.recoverPanic(&err)
	s.node, err = raft.NewRawNode(&raft.Config{
		ID: uint64(s.opts.Self), ElectionTick: s.opts.ElectionTicks, HeartbeatTick: s.opts.HeartbeatTicks, Storage: s.storage,
		Applied: s.applied, MaxSizePerMsg: 256 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: 8 << 20,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: logger{s.opts.Log},
	})
	return err
}

// recoverPanic turns a panic of raft into a permanent error of this replica. raft panics when its input contradicts its
// state; continuing after that would be worse than stopping.
func (s *Replica) recoverPanic(err *error) {
	if p := recover(); p != nil {
		s.err = &InvalidStateError{What: fmt.Sprint(p)}
		*err = s.err
	}
}

// Tick advances the replica's clock by one tick.
func (s *Replica) Tick() {
	if s.node == nil || s.err != nil {
		return
	}
	var err error
	defer s.recoverPanic(&err)
	s.node.Tick()
	s.campaignEarly()
	if s.ticks++; s.ticks%s.opts.ElectionTicks == 0 {
		s.retrySnapshots()
	}
}

// retrySnapshots resends each snapshot that was already being sent at the last check and still is: it may be lost.
func (s *Replica) retrySnapshots() {
	pending := map[uint64]bool{}
	var retry []uint64
	if s.node.BasicStatus().RaftState == raft.StateLeader {
		s.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
			if pr.State == tracker.StateSnapshot {
				pending[id] = true
				if s.pendingSnapshots[id] {
					retry = append(retry, id)
				}
			}
		})
	}
	slices.Sort(retry)
	for _, id := range retry {
		s.node.ReportSnapshot(id, raft.SnapshotFailure)
		delete(pending, id)
	}
	s.pendingSnapshots = pending
}

// SnapshotProgress records that part of what was sent to a replica has arrived, so that a snapshot in transit is not
// considered lost.
func (s *Replica) SnapshotProgress(to ReplicaID) { delete(s.pendingSnapshots, uint64(to)) }

// Unreachable records that a message to a replica was not delivered.
func (s *Replica) Unreachable(to ReplicaID) {
	if s.node != nil && s.err == nil {
		s.node.ReportUnreachable(uint64(to))
	}
}

// Step processes a message from another replica, a raftpb.Message. Call Observe with the sender's report first. While
// this replica's store is unconfirmed, messages are dropped; raft sends them again.
func (s *Replica) Step(raw []byte) (err error) {
	if s.err != nil {
		return s.err
	}
	if s.node == nil {
		return nil
	}
	m := &raftpb.Message{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return &MessageError{Why: err.Error()}
	}
	if m.GetTo() != uint64(s.opts.Self) || m.GetFrom() == 0 || raft.IsLocalMsg(m.GetType()) {
		return &MessageError{Why: fmt.Sprintf("%v from replica %x to replica %x", m.GetType(), m.GetFrom(), m.GetTo())}
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgProp, raftpb.MessageType_MsgReadIndex, raftpb.MessageType_MsgTransferLeader,
		raftpb.MessageType_MsgReadIndexResp, raftpb.MessageType_MsgForgetLeader:
		return &MessageError{Why: fmt.Sprintf("replicas do not send %v to each other", m.GetType())}
	case raftpb.MessageType_MsgTimeoutNow: // only the current leader may transfer leadership; a late message of a former leader is ignored
		if !s.fromLeader(m) {
			return nil
		}
	case raftpb.MessageType_MsgVote, raftpb.MessageType_MsgPreVote:
		theirs := position{Term: m.GetLogTerm(), Index: m.GetIndex()}
		// This replica's log may lack the entry that added the sender, so only the logs are compared, as raft itself
		// does: a replica that lags may be needed for the majority of a configuration that it does not know yet.
		if !slices.Contains(s.confState.GetVoters(), m.GetFrom()) && theirs.before(s.lastPosition()) {
			return &NotMemberError{Replica: ReplicaID(m.GetFrom())}
		}
		if s.catchingUp() && theirs.before(s.catchUpTo) {
			return nil
		}
	}
	s.peers.observeMessage(m)
	defer s.recoverPanic(&err)
	if err := s.node.Step(m); err != nil && err != raft.ErrStepPeerNotFound && err != raft.ErrProposalDropped {
		return err
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
		if s.node.BasicStatus().Lead == m.GetFrom() {
			s.leaderSeenAt = s.ticks
		}
	}
	return nil
}

// Propose submits data for agreement. A nil error guarantees nothing: the entry is committed when it appears in
// Output.Apply, and may be lost with the leader. Only the leader accepts proposals.
func (s *Replica) Propose(data []byte) (err error) {
	if err := s.checkLeader(); err != nil {
		return err
	}
	defer s.recoverPanic(&err)
	if s.node.Propose(data) != nil {
		return &BusyError{}
	}
	return nil
}

// TransferLeadership makes another voter campaign at once: of the recently active ones, the one with the longest
// replicated log. It reports whether there is one. Until that replica leads or an election timeout passes, this replica
// remains leader and accepts no proposals.
func (s *Replica) TransferLeadership() (found bool) {
	if s.checkLeader() != nil {
		return false
	}
	var to, match uint64
	s.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id != uint64(s.opts.Self) && pr.RecentActive && !pr.IsLearner && (to == 0 || pr.Match > match || pr.Match == match && id < to) {
			to, match = id, pr.Match
		}
	})
	return to != 0 && s.TransferLeadershipTo(ReplicaID(to)) == nil
}

func (s *Replica) checkLeader() error {
	if s.err != nil {
		return s.err
	}
	if st := s.Status(); !st.Leading {
		return &NotLeaderError{Leader: st.Leader}
	}
	return nil
}

// ReadIndex asks a quorum whether this replica is still the leader. ctx comes back in Output.Reads, or never: the
// caller discards its request when the replica is no longer the leader. A process must not reuse a ctx.
func (s *Replica) ReadIndex(ctx uint64) (err error) {
	if err := s.checkLeader(); err != nil {
		return err
	}
	defer s.recoverPanic(&err)
	// raft distinguishes read requests by these bytes alone, across all replicas and processes.
	b := binary.BigEndian.AppendUint64(nil, ctx)
	b = binary.BigEndian.AppendUint64(b, uint64(s.opts.Self))
	s.node.ReadIndex(binary.BigEndian.AppendUint64(b, s.opts.RunID))
	return nil
}

// ChangeVoters adds or removes one replica; the other argument is 0. Only one change may be in progress: propose the
// next one after this one has been applied.
func (s *Replica) ChangeVoters(add, remove ReplicaID) (err error) {
	if err := s.checkLeader(); err != nil {
		return err
	}
	cc := &raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeAddNode.Enum(), NodeId: new(uint64(add))}
	switch {
	case (add == 0) == (remove == 0):
		return fmt.Errorf("consensus: a change must add or remove exactly one replica")
	case add != 0 && slices.Contains(s.confState.GetVoters(), uint64(add)):
		return nil
	case remove != 0 && !slices.Contains(s.confState.GetVoters(), uint64(remove)) && !slices.Contains(s.confState.GetLearners(), uint64(remove)):
		return nil
	case remove != 0 && len(s.confState.GetVoters()) == 1 && s.confState.GetVoters()[0] == uint64(remove):
		return fmt.Errorf("consensus: the last voter cannot be removed")
	case remove != 0:
		cc = &raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: new(uint64(remove))}
	}
	defer s.recoverPanic(&err)
	if s.node.ProposeConfChange(cc) != nil {
		return &BusyError{}
	}
	return nil
}

// Ready returns what to do next, or false if there is nothing. It returns the next Output only after Advance.
func (s *Replica) Ready() (o Output, ok bool) {
	if s.outputPending {
		return Output{}, false
	}
	if s.initial != nil {
		o, s.initial, s.outputPending = *s.initial, nil, true
		return o, true
	}
	if s.node == nil || s.err != nil {
		return Output{}, false
	}
	var err error
	defer func() {
		if err != nil {
			o, ok = Output{}, false
		}
	}()
	defer s.recoverPanic(&err)
	if !s.node.HasReady() {
		return Output{}, false
	}
	rd := s.node.Ready()
	s.outputPending = true
	o = Output{MustSync: rd.MustSync, rd: &rd}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		o.Save.HardState = rd.HardState
	}
	o.Save.Entries = rd.Entries
	if !raft.IsEmptySnap(rd.Snapshot) {
		o.Save.Snapshot, o.Save.Replace, o.MustSync = rd.Snapshot, true, true
		o.Snapshot = notNil(rd.Snapshot.Data)
	}
	catchingUp := s.catchingUp()
	for _, m := range rd.Messages {
		if catchingUp && (m.GetType() == raftpb.MessageType_MsgVote || m.GetType() == raftpb.MessageType_MsgPreVote) {
			continue
		}
		raw, e := proto.Marshal(m)
		if e != nil {
			panic(e)
		}
		o.Send = append(o.Send, Message{To: ReplicaID(m.GetTo()), Raw: raw})
	}
	for _, e := range rd.CommittedEntries {
		if e.GetType() == raftpb.EntryType_EntryNormal && len(e.Data) > 0 {
			o.Apply = append(o.Apply, Entry{Index: e.GetIndex(), Term: e.GetTerm(), Data: e.Data})
		}
	}
	for _, r := range rd.ReadStates {
		if len(r.RequestCtx) == 24 && binary.BigEndian.Uint64(r.RequestCtx[8:]) == uint64(s.opts.Self) &&
			binary.BigEndian.Uint64(r.RequestCtx[16:]) == s.opts.RunID {
			o.Reads = append(o.Reads, ReadState{Ctx: binary.BigEndian.Uint64(r.RequestCtx), Index: r.Index})
		}
	}
	return o, true
}

// Advance reports that an Output has been saved, sent and applied.
func (s *Replica) Advance(o Output) {
	s.outputPending = false
	if o.rd == nil {
		return
	}
	var err error
	defer s.recoverPanic(&err)
	rd := o.rd
	if snap := rd.Snapshot; !raft.IsEmptySnap(snap) {
		mustSucceed(s.storage.ApplySnapshot(snap))
		s.confState = snap.Metadata.GetConfState()
		s.snapshotIndex, s.applied, s.appliedTerm = snap.Metadata.GetIndex(), snap.Metadata.GetIndex(), snap.Metadata.GetTerm()
		s.confChanged = false
	}
	mustSucceed(s.storage.Append(rd.Entries))
	if o.Save.HardState != nil {
		mustSucceed(s.storage.SetHardState(o.Save.HardState))
		s.hardState = o.Save.HardState
	}
	for _, e := range rd.CommittedEntries {
		switch e.GetType() {
		case raftpb.EntryType_EntryConfChange:
			cc := &raftpb.ConfChange{}
			mustSucceed(proto.Unmarshal(e.Data, cc))
			s.confState = s.node.ApplyConfChange(cc)
		case raftpb.EntryType_EntryConfChangeV2:
			cc := &raftpb.ConfChangeV2{}
			mustSucceed(proto.Unmarshal(e.Data, cc))
			s.confState = s.node.ApplyConfChange(cc)
		}
		s.confChanged = s.confChanged || e.GetType() != raftpb.EntryType_EntryNormal
		s.applied, s.appliedTerm = e.GetIndex(), e.GetTerm()
	}
	s.node.Advance(*rd)
}

func mustSucceed(err error) {
	if err != nil {
		panic(err)
	}
}

// Compact replaces the log up to index by state, which has all entries up to index applied. index must be
// Status.Applied, and no Output may be pending. The returned batch must be made durable.
func (s *Replica) Compact(index uint64, state []byte) (save WriteBatch, err error) {
	if s.err != nil {
		return WriteBatch{}, s.err
	}
	if index != s.applied || s.outputPending || s.node == nil {
		return WriteBatch{}, fmt.Errorf("consensus: snapshot of the state at entry %d refused: %d is applied", index, s.applied)
	}
	if index <= s.snapshotIndex {
		return WriteBatch{}, nil
	}
	defer s.recoverPanic(&err)
	snap, err := s.storage.CreateSnapshot(index, s.confState, slices.Clone(state))
	if err != nil {
		return WriteBatch{}, fmt.Errorf("consensus: snapshot at entry %d: %w", index, err)
	}
	s.snapshotIndex, s.confChanged = index, false
	compactTo := index - min(index, s.opts.SnapshotEvery/keepFraction)
	if first, _ := s.storage.FirstIndex(); compactTo >= first {
		mustSucceed(s.storage.Compact(compactTo))
	}
	return WriteBatch{Snapshot: snap, CompactTo: compactTo}, nil
}

func (s *Replica) Status() Status {
	st := Status{Term: s.hardState.GetTerm(), Committed: s.hardState.GetCommit(), Applied: s.applied, Err: s.err,
		Unconfirmed: s.confirming != nil, Behind: s.catchingUp()}
	for _, id := range s.confState.GetVoters() {
		st.Voters = append(st.Voters, ReplicaID(id))
	}
	if s.confirming != nil && s.confirming.voters != nil {
		st.Voters = slices.Clone(s.confirming.voters)
	}
	slices.Sort(st.Voters)
	for _, id := range s.confState.GetLearners() {
		st.Learners = append(st.Learners, ReplicaID(id))
	}
	slices.Sort(st.Learners)
	if s.node == nil || s.err != nil {
		return st
	}
	b := s.node.BasicStatus()
	st.Leader, st.Term, st.Committed = ReplicaID(b.Lead), b.GetTerm(), b.GetCommit()
	st.Leading = b.RaftState == raft.StateLeader && s.appliedTerm == st.Term
	st.SnapshotDue = s.applied >= s.snapshotIndex+s.opts.SnapshotEvery || s.confChanged
	return st
}

// others returns the other voters in this replica's configuration, which may include changes not known to be committed.
func (s *Replica) others() []ReplicaID {
	var ids []ReplicaID
	for _, id := range s.confState.GetVoters() {
		if ReplicaID(id) != s.opts.Self {
			ids = append(ids, ReplicaID(id))
		}
	}
	return ids
}

// lastPosition is the position of the last durable log entry.
func (s *Replica) lastPosition() position {
	last, _ := s.storage.LastIndex()
	term, _ := s.storage.Term(last)
	return position{Term: term, Index: last}
}

// catchingUp reports whether the log is still behind what the other replicas had when this replica restarted.
func (s *Replica) catchingUp() bool { return s.lastPosition().before(s.catchUpTo) }

// position is a position in the log.
type position struct{ Term, Index uint64 }

func (m position) before(n position) bool {
	return m.Term < n.Term || m.Term == n.Term && m.Index < n.Index
}

type logger struct{ log func(level, text string) }

func (l logger) write(level, text string) {
	if l.log != nil {
		l.log(level, text)
	}
}

func (l logger) Debug(v ...any)            {}
func (l logger) Debugf(f string, v ...any) {}
func (l logger) Error(v ...any)            { l.write("error", fmt.Sprint(v...)) }
func (l logger) Errorf(f string, v ...any) { l.write("error", fmt.Sprintf(f, v...)) }
func (l logger) Info(v ...any)             { l.write("info", fmt.Sprint(v...)) }
func (l logger) Infof(f string, v ...any) {
	if l.log != nil {
		l.write("info", fmt.Sprintf(f, v...))
	}
}
func (l logger) Warning(v ...any)            { l.write("warn", fmt.Sprint(v...)) }
func (l logger) Warningf(f string, v ...any) { l.write("warn", fmt.Sprintf(f, v...)) }
func (l logger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l logger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l logger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l logger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
