// Package council is one seat of a site's council: etcd's raft as a machine without I/O. Whoever drives it hands in
// ticks, messages and proposals, makes what Output.Save holds durable before it sends what Output.Send holds, and
// applies what Output.Apply holds. The same seat runs in the process, over bbolt and calls, and in virtual time.
//
// One thread drives a seat. Its order is always the same:
//
//	for out, ok := seat.Ready(); ok; out, ok = seat.Ready() {
//		store.Save(out.Save)              // durable; an error is the end of control
//		send(out.Send)                    // any of it may be lost
//		restore(out.Snapshot)             // where it is not nil: the whole book
//		apply(out.Apply)
//		seat.Done(out)
//		answer(out.Reads)                 // those whose Index is applied
//	}
//
// raft takes the jitter of elections from crypto/rand: who wins an election in virtual time is not settled by a seed,
// what holds whoever wins is. Options has no seed for that reason.
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

// Entry is something that the council has agreed on, in the order of Index.
type Entry struct {
	Index uint64
	Term  uint64 // in which it was proposed: a leader of another term did not propose it
	Data  []byte // as proposed; empty entries of raft's own are not handed out
}

// SeatID is a seat's number in raft; 0 is none. It is derived from the node's name and the life of its store, so that a
// seat that comes back with another store is another one until it is taken in anew.
type ReplicaID uint64

// Options are how a seat takes part.
type Options struct {
	Self ReplicaID
	// Seats found the council: the same on all of them, each with an empty store. Empty for a seat that joins, or that
	// has a store.
	InitialVoters  []ReplicaID
	ElectionTicks  int                      // without a leader until a seat stands for election; 0: ElectionTicks
	HeartbeatTicks int                      // between two heartbeats of a leader; 0: 1
	SnapshotEvery  uint64                   // entries applied after which Status.Compact asks for a snapshot; 0: 1000
	OpenCount      uint64                   // the how manieth opening of the store this is; above 1 the seat waits for the others' word
	RunID          uint64                   // random, of this process
	StoreVerified  bool                     // the store is known to be as the last process left it: it does not wait
	Log            func(level, text string) // raft's own words; nil: none
}

// Durable is what the store had. Nothing of it is set for an empty store.
type StoredState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry // after the snapshot, without gaps
	Applied   uint64          // the snapshot's index: what follows is applied anew
	Refused   string          // why the others refused this store, if they did: it takes no part any more
}

// Save is what has to be durable, all of it or nothing, before the messages of the same Output go out.
type WriteBatch struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // replaces the former; entries up to its index are gone where Replace is set
	Entries   []*raftpb.Entry  // replace all entries from the first one's index on
	Replace   bool             // the snapshot came from a leader: no entry of before remains
	CompactTo uint64           // entries up to here may be deleted
}

// Empty says that there is nothing to save.
func (s WriteBatch) Empty() bool {
	return s.HardState == nil && s.Snapshot == nil && len(s.Entries) == 0 && s.CompactTo == 0
}

// Message is for another seat. It may be lost, come twice or late.
type Message struct {
	To  ReplicaID
	Raw []byte
}

// Read is a question of Seat.Read that a quorum has confirmed: it may be answered once Index is applied.
type ReadState struct {
	Ctx   uint64
	Index uint64
}

// Output is what the driver has to do next.
type Output struct {
	Save     WriteBatch
	MustSync bool // else Save may be put off until the next one: only the commit index moved
	Send     []Message
	Snapshot []byte // not nil: the book to restore before Apply; empty for the book that nothing was written to yet
	Apply    []Entry
	Reads    []ReadState

	rd *raft.Ready
}

// Status is where a seat stands.
type Status struct {
	Leader      ReplicaID // 0: none known
	Leading     bool      // it leads, and has applied all that was agreed on before
	Term        uint64
	Applied     uint64
	Committed   uint64
	Voters      []ReplicaID // in ascending order; of a seat that waits, as those have them that it has heard
	Learners    []ReplicaID // without a vote, in ascending order
	SnapshotDue bool        // a snapshot is due: call Compact(Applied, book)
	Unconfirmed bool        // for the others' word that its store is not behind
	Behind      bool        // its log has not come up to theirs yet: it does not stand, and votes for no seat that is behind too
	Err         error       // why it takes no part any more
}

// Seat is one seat. It is not safe for use by more than one thread.
type Replica struct {
	opts              Options
	storage           *raft.MemoryStorage
	node              *raft.RawNode // nil while it waits
	confState         *raftpb.ConfState
	initial           *Output
	outputPending     bool // an Output is out
	applied           uint64
	appliedTerm       uint64
	snapshotIndex     uint64 // index of the last snapshot
	confChanged       bool   // the seats, since then: raft brings in a new seat only by a snapshot that knows of it
	hardState         *raftpb.HardState
	err               error
	peers             *PeerTable
	confirming        *confirmation
	catchUpTo         position
	ticks             int
	leaderless        map[ReplicaID]int // others that know of no leader, by the tick that they said so last; they are no better than this one
	campaignFrom      int               // ticks before which it does not ask for votes before its time
	reportsSent       uint64            // its claims up to the last half of an election's time that is over
	reportsSentBefore uint64            // and to the one before
	leaderSeenAt      int               // the tick that the leader was heard at last
	electionTerm      uint64            // the last term that an election was seen in
	pendingSnapshots  map[uint64]bool   // seats that a snapshot was under way to at the last look
}

// ElectionTicks is how many ticks a leader may be silent, where Options say nothing else.
const ElectionTicks = 10

// Entries that stay in the log behind a snapshot, as a part of SnapshotEvery: a seat that is a little behind needs none.
const keepFraction = 4

// New starts a seat. Without a store and without Seats it belongs to no council yet and takes what a leader sends.
func New(opts Options, stored StoredState) (*Replica, error) {
	if opts.Self == 0 {
		return nil, fmt.Errorf("council: a seat needs a number")
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
	s := &Replica{opts: opts, storage: raft.NewMemoryStorage(), confState: &raftpb.ConfState{}, hardState: &raftpb.HardState{}, leaderless: map[ReplicaID]int{}}
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
			return nil, fmt.Errorf("council: the store's snapshot: %w", err)
		}
		s.snapshotIndex, s.applied, s.appliedTerm = snap.Metadata.GetIndex(), snap.Metadata.GetIndex(), snap.Metadata.GetTerm()
		s.confState = snap.Metadata.GetConfState()
		s.initial = &Output{Snapshot: notNil(snap.Data)}
	}
	next := s.snapshotIndex
	for _, e := range stored.Entries {
		if next++; e.GetIndex() != next {
			return nil, fmt.Errorf("council: the store's log has entry %d where %d has to be", e.GetIndex(), next)
		}
	}
	if s.hardState.GetCommit() < s.snapshotIndex {
		s.hardState.Commit = new(s.snapshotIndex) // a snapshot is of what was agreed on
	}
	if s.hardState.GetCommit() > next {
		return nil, fmt.Errorf("council: the store's log has %d to %d, and %d were agreed on", s.snapshotIndex, next, s.hardState.GetCommit())
	}
	if err := s.storage.Append(stored.Entries); err != nil {
		return nil, fmt.Errorf("council: the store's log: %w", err)
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

// found makes the state that all founding seats begin with: an empty book at index 1 of term 1.
func (s *Replica) bootstrap() error {
	ids := make([]uint64, 0, len(s.opts.InitialVoters))
	for _, id := range s.opts.InitialVoters {
		ids = append(ids, uint64(id))
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if !slices.Contains(ids, uint64(s.opts.Self)) || ids[0] == 0 {
		return fmt.Errorf("council: seat %x is not one of those that found the council", uint64(s.opts.Self))
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
	s.initial = &Output{Save: WriteBatch{HardState: proto.CloneOf(s.hardState), Snapshot: snapshot, Replace: true}, MustSync: true, Snapshot: []byte{}}
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

// caught turns a panic of raft into the end of this seat: raft panics where what it was told cannot be, and a seat that
// went on would be the worse thing.
func (s *Replica) recoverPanic(err *error) {
	if p := recover(); p != nil {
		s.err = &InvalidStateError{What: fmt.Sprint(p)}
		*err = s.err
	}
}

// Tick lets one tick pass.
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

// unstick has a snapshot sent again that was under way at the last look and still is: it may be lost.
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

// Going says that a part of what was sent to a seat has arrived: a snapshot under way to it is not lost.
func (s *Replica) SnapshotProgress(to ReplicaID) { delete(s.pendingSnapshots, uint64(to)) }

// Unreachable says that what was sent to a seat did not arrive.
func (s *Replica) Unreachable(to ReplicaID) {
	if s.node != nil && s.err == nil {
		s.node.ReportUnreachable(uint64(to))
	}
}

// Step takes a message from another seat: a raftpb.Message. Call Hear with its sender's claim first. Messages that come
// while the seat waits are dropped; they come again.
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
		return &MessageError{Why: fmt.Sprintf("%v from seat %x to seat %x", m.GetType(), m.GetFrom(), m.GetTo())}
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgProp, raftpb.MessageType_MsgReadIndex, raftpb.MessageType_MsgTransferLeader,
		raftpb.MessageType_MsgReadIndexResp, raftpb.MessageType_MsgForgetLeader:
		return &MessageError{Why: fmt.Sprintf("seats send no %v", m.GetType())}
	case raftpb.MessageType_MsgTimeoutNow: // only its leader hands over to a seat; one that was, late, does not
		if !s.fromLeader(m) {
			return nil
		}
	case raftpb.MessageType_MsgVote, raftpb.MessageType_MsgPreVote:
		theirs := position{Term: m.GetLogTerm(), Index: m.GetIndex()}
		// This seat's own log may lack the entry that took the other one in, so that only the log decides, as raft has it: a seat that
		// is behind may be needed for the majority of a council that it does not know yet.
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

// Propose puts data up for agreement. That it was taken promises nothing: it stands when it comes back in Output.Apply,
// and may be lost with the leader. Only a seat that leads takes it.
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

// HandOver has another seat stand for election at once, the one that has most of the log of those that answer, and says
// whether there is one. Until that one leads, or the time of an election is over, this seat leads and takes no proposals.
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

// Read asks a quorum whether this seat still leads; ctx comes back in Output.Reads, or never: whoever asks forgets it
// when the seat does not lead any more. No ctx is used twice by a process.
func (s *Replica) ReadIndex(ctx uint64) (err error) {
	if err := s.checkLeader(); err != nil {
		return err
	}
	defer s.recoverPanic(&err)
	// raft tells questions apart by these bytes alone, in all seats and processes.
	b := binary.BigEndian.AppendUint64(nil, ctx)
	b = binary.BigEndian.AppendUint64(b, uint64(s.opts.Self))
	s.node.ReadIndex(binary.BigEndian.AppendUint64(b, s.opts.RunID))
	return nil
}

// Change takes one seat in or out; the other is 0. One change at a time: the next one when this one is applied.
func (s *Replica) ChangeVoters(add, remove ReplicaID) (err error) {
	if err := s.checkLeader(); err != nil {
		return err
	}
	cc := &raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeAddNode.Enum(), NodeId: new(uint64(add))}
	switch {
	case (add == 0) == (remove == 0):
		return fmt.Errorf("council: a change takes in one seat, or takes one out")
	case add != 0 && slices.Contains(s.confState.GetVoters(), uint64(add)):
		return nil
	case remove != 0 && !slices.Contains(s.confState.GetVoters(), uint64(remove)) && !slices.Contains(s.confState.GetLearners(), uint64(remove)):
		return nil
	case remove != 0 && len(s.confState.GetVoters()) == 1 && s.confState.GetVoters()[0] == uint64(remove):
		return fmt.Errorf("council: the last seat cannot be taken out")
	case remove != 0:
		cc = &raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: new(uint64(remove))}
	}
	defer s.recoverPanic(&err)
	if s.node.ProposeConfChange(cc) != nil {
		return &BusyError{}
	}
	return nil
}

// Ready returns what is to be done next, and false when there is nothing. The next one comes after Done.
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

// Done says that an Output was saved, sent and applied.
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

// Compact puts book, the state with all entries up to index applied, in the place of the log before it. index is
// Status.Applied, and no Output is out. What it returns has to be made durable.
func (s *Replica) Compact(index uint64, state []byte) (save WriteBatch, err error) {
	if s.err != nil {
		return WriteBatch{}, s.err
	}
	if index != s.applied || s.outputPending || s.node == nil {
		return WriteBatch{}, fmt.Errorf("council: the book is of entry %d, %d is applied", index, s.applied)
	}
	if index <= s.snapshotIndex {
		return WriteBatch{}, nil
	}
	defer s.recoverPanic(&err)
	snap, err := s.storage.CreateSnapshot(index, s.confState, slices.Clone(state))
	if err != nil {
		return WriteBatch{}, fmt.Errorf("council: snapshot of entry %d: %w", index, err)
	}
	s.snapshotIndex, s.confChanged = index, false
	compactTo := index - min(index, s.opts.SnapshotEvery/keepFraction)
	if first, _ := s.storage.FirstIndex(); compactTo >= first {
		mustSucceed(s.storage.Compact(compactTo))
	}
	return WriteBatch{Snapshot: snap, CompactTo: compactTo}, nil
}

// Status says where the seat stands.
func (s *Replica) Status() Status {
	st := Status{Term: s.hardState.GetTerm(), Committed: s.hardState.GetCommit(), Applied: s.applied, Err: s.err, Unconfirmed: s.confirming != nil, Behind: s.catchingUp()}
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

// others are the seats of the council besides this one, as its log has them: also by changes not known to be agreed on.
func (s *Replica) others() []ReplicaID {
	var ids []ReplicaID
	for _, id := range s.confState.GetVoters() {
		if ReplicaID(id) != s.opts.Self {
			ids = append(ids, ReplicaID(id))
		}
	}
	return ids
}

// end is the last entry of the log that is durable.
func (s *Replica) lastPosition() position {
	last, _ := s.storage.LastIndex()
	term, _ := s.storage.Term(last)
	return position{Term: term, Index: last}
}

// below says that the log has not come up yet to what the others had when this seat came back.
func (s *Replica) catchingUp() bool { return s.lastPosition().before(s.catchUpTo) }

// mark is a place in a log.
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
