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
type SeatID uint64

// Options are how a seat takes part.
type Options struct {
	Self SeatID
	// Seats found the council: the same on all of them, each with an empty store. Empty for a seat that joins, or that
	// has a store.
	Seats          []SeatID
	ElectionTicks  int                      // without a leader until a seat stands for election; 0: ElectionTicks
	HeartbeatTicks int                      // between two heartbeats of a leader; 0: 1
	SnapshotEvery  uint64                   // entries applied after which Status.Compact asks for a snapshot; 0: 1000
	Boot           uint64                   // the how manieth opening of the store this is; above 1 the seat waits for the others' word
	Run            uint64                   // random, of this process
	Proven         bool                     // the store is known to be as the last process left it: it does not wait
	Log            func(level, text string) // raft's own words; nil: none
}

// Durable is what the store had. Nothing of it is set for an empty store.
type Durable struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry // after the snapshot, without gaps
	Applied   uint64          // the snapshot's index: what follows is applied anew
	Refused   string          // why the others refused this store, if they did: it takes no part any more
}

// Save is what has to be durable, all of it or nothing, before the messages of the same Output go out.
type Save struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // replaces the former; entries up to its index are gone where Replace is set
	Entries   []*raftpb.Entry  // replace all entries from the first one's index on
	Replace   bool             // the snapshot came from a leader: no entry of before remains
	CutTo     uint64           // entries up to here may be deleted
}

// Empty says that there is nothing to save.
func (s Save) Empty() bool {
	return s.HardState == nil && s.Snapshot == nil && len(s.Entries) == 0 && s.CutTo == 0
}

// Message is for another seat. It may be lost, come twice or late.
type Message struct {
	To  SeatID
	Raw []byte
}

// Read is a question of Seat.Read that a quorum has confirmed: it may be answered once Index is applied.
type Read struct {
	Ctx   uint64
	Index uint64
}

// Output is what the driver has to do next.
type Output struct {
	Save     Save
	MustSync bool // else Save may be put off until the next one: only the commit index moved
	Send     []Message
	Snapshot []byte // not nil: the book to restore before Apply; empty for the book that nothing was written to yet
	Apply    []Entry
	Reads    []Read

	rd *raft.Ready
}

// Status is where a seat stands.
type Status struct {
	Leader    SeatID // 0: none known
	Leading   bool   // it leads, and has applied all that was agreed on before
	Term      uint64
	Applied   uint64
	Committed uint64
	Seats     []SeatID // in ascending order; of a seat that waits, as those have them that it has heard
	Learning  []SeatID // without a vote, in ascending order
	Compact   bool     // a snapshot is due: call Compact(Applied, book)
	Waiting   bool     // for the others' word that its store is not behind
	Behind    bool     // its log has not come up to theirs yet: it does not stand, and votes for no seat that is behind too
	Err       error    // why it takes no part any more
}

// Seat is one seat. It is not safe for use by more than one thread.
type Seat struct {
	o          Options
	mem        *raft.MemoryStorage
	rn         *raft.RawNode // nil while it waits
	conf       *raftpb.ConfState
	first      *Output
	out        bool // an Output is out
	applied    uint64
	appTerm    uint64
	snap       uint64 // index of the last snapshot
	changed    bool   // the seats, since then: raft brings in a new seat only by a snapshot that knows of it
	hard       *raftpb.HardState
	err        error
	register   *Register
	wait       *waiting
	floor      mark
	ticks      int
	idle       map[SeatID]int  // others that know of no leader, by the tick that they said so last; they are no better than this one
	standAt    int             // ticks before which it does not ask for votes before its time
	said       uint64          // its claims up to the last half of an election's time that is over
	saidBefore uint64          // and to the one before
	ledAt      int             // the tick that the leader was heard at last
	elects     uint64          // the last term that an election was seen in
	stuck      map[uint64]bool // seats that a snapshot was under way to at the last look
}

// ElectionTicks is how many ticks a leader may be silent, where Options say nothing else.
const ElectionTicks = 10

// Entries that stay in the log behind a snapshot, as a part of SnapshotEvery: a seat that is a little behind needs none.
const keepPart = 4

// New starts a seat. Without a store and without Seats it belongs to no council yet and takes what a leader sends.
func New(o Options, d Durable) (*Seat, error) {
	if o.Self == 0 {
		return nil, fmt.Errorf("council: a seat needs a number")
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = ElectionTicks
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = 1
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = 1000
	}
	s := &Seat{o: o, mem: raft.NewMemoryStorage(), conf: &raftpb.ConfState{}, hard: &raftpb.HardState{}, idle: map[SeatID]int{}}
	s.register = NewRegister(o.Self, o.Run)
	if d.Refused != "" {
		s.err = &RefusedError{Why: d.Refused}
	}
	founded := d.Snapshot.GetMetadata().GetIndex() > 0 || len(d.Entries) > 0
	if !founded && len(o.Seats) > 0 {
		if err := s.found(); err != nil {
			return nil, err
		}
		return s, s.start()
	}
	if d.HardState != nil {
		s.hard = proto.CloneOf(d.HardState)
	}
	if snap := d.Snapshot; snap.GetMetadata().GetIndex() > 0 {
		if err := s.mem.ApplySnapshot(snap); err != nil {
			return nil, fmt.Errorf("council: the store's snapshot: %w", err)
		}
		s.snap, s.applied, s.appTerm = snap.Metadata.GetIndex(), snap.Metadata.GetIndex(), snap.Metadata.GetTerm()
		s.conf = snap.Metadata.GetConfState()
		s.first = &Output{Snapshot: notNil(snap.Data)}
	}
	next := s.snap
	for _, e := range d.Entries {
		if next++; e.GetIndex() != next {
			return nil, fmt.Errorf("council: the store's log has entry %d where %d has to be", e.GetIndex(), next)
		}
	}
	if s.hard.GetCommit() < s.snap {
		s.hard.Commit = new(s.snap) // a snapshot is of what was agreed on
	}
	if s.hard.GetCommit() > next {
		return nil, fmt.Errorf("council: the store's log has %d to %d, and %d were agreed on", s.snap, next, s.hard.GetCommit())
	}
	if err := s.mem.Append(d.Entries); err != nil {
		return nil, fmt.Errorf("council: the store's log: %w", err)
	}
	if o.Boot > 1 && !o.Proven && s.err == nil && len(s.others()) > 0 {
		s.wait = &waiting{answers: map[SeatID]Claim{}}
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
func (s *Seat) found() error {
	ids := make([]uint64, 0, len(s.o.Seats))
	for _, id := range s.o.Seats {
		ids = append(ids, uint64(id))
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if !slices.Contains(ids, uint64(s.o.Self)) || ids[0] == 0 {
		return fmt.Errorf("council: seat %x is not one of those that found the council", uint64(s.o.Self))
	}
	s.conf = &raftpb.ConfState{Voters: ids}
	snap := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{
		Index: new(uint64(1)), Term: new(uint64(1)), ConfState: s.conf,
	}}
	if err := s.mem.ApplySnapshot(snap); err != nil {
		return err
	}
	s.hard = &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	s.snap, s.applied, s.appTerm = 1, 1, 1
	s.first = &Output{Save: Save{HardState: proto.CloneOf(s.hard), Snapshot: snap, Replace: true}, MustSync: true, Snapshot: []byte{}}
	return nil
}

func (s *Seat) start() (err error) {
	if err = s.mem.SetHardState(proto.CloneOf(s.hard)); err != nil {
		return err
	}
	s.elects = s.hard.GetTerm()
	defer s.caught(&err)
	s.rn, err = raft.NewRawNode(&raft.Config{
		ID: uint64(s.o.Self), ElectionTick: s.o.ElectionTicks, HeartbeatTick: s.o.HeartbeatTicks, Storage: s.mem,
		Applied: s.applied, MaxSizePerMsg: 256 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: 8 << 20,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: logger{s.o.Log},
	})
	return err
}

// caught turns a panic of raft into the end of this seat: raft panics where what it was told cannot be, and a seat that
// went on would be the worse thing.
func (s *Seat) caught(err *error) {
	if p := recover(); p != nil {
		s.err = &BrokenError{What: fmt.Sprint(p)}
		*err = s.err
	}
}

// Tick lets one tick pass.
func (s *Seat) Tick() {
	if s.rn == nil || s.err != nil {
		return
	}
	var err error
	defer s.caught(&err)
	s.rn.Tick()
	s.stand()
	if s.ticks++; s.ticks%s.o.ElectionTicks == 0 {
		s.unstick()
	}
}

// unstick has a snapshot sent again that was under way at the last look and still is: it may be lost.
func (s *Seat) unstick() {
	now := map[uint64]bool{}
	var again []uint64
	if s.rn.BasicStatus().RaftState == raft.StateLeader {
		s.rn.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
			if pr.State == tracker.StateSnapshot {
				now[id] = true
				if s.stuck[id] {
					again = append(again, id)
				}
			}
		})
	}
	slices.Sort(again)
	for _, id := range again {
		s.rn.ReportSnapshot(id, raft.SnapshotFailure)
		delete(now, id)
	}
	s.stuck = now
}

// Going says that a part of what was sent to a seat has arrived: a snapshot under way to it is not lost.
func (s *Seat) Going(to SeatID) { delete(s.stuck, uint64(to)) }

// Unreachable says that what was sent to a seat did not arrive.
func (s *Seat) Unreachable(to SeatID) {
	if s.rn != nil && s.err == nil {
		s.rn.ReportUnreachable(uint64(to))
	}
}

// Step takes a message from another seat: a raftpb.Message. Call Hear with its sender's claim first. Messages that come
// while the seat waits are dropped; they come again.
func (s *Seat) Step(raw []byte) (err error) {
	if s.err != nil {
		return s.err
	}
	if s.rn == nil {
		return nil
	}
	m := &raftpb.Message{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return &MessageError{Why: err.Error()}
	}
	if m.GetTo() != uint64(s.o.Self) || m.GetFrom() == 0 || raft.IsLocalMsg(m.GetType()) {
		return &MessageError{Why: fmt.Sprintf("%v from seat %x to seat %x", m.GetType(), m.GetFrom(), m.GetTo())}
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgProp, raftpb.MessageType_MsgReadIndex, raftpb.MessageType_MsgTransferLeader,
		raftpb.MessageType_MsgReadIndexResp, raftpb.MessageType_MsgForgetLeader:
		return &MessageError{Why: fmt.Sprintf("seats send no %v", m.GetType())}
	case raftpb.MessageType_MsgTimeoutNow: // only its leader hands over to a seat; one that was, late, does not
		if !s.handed(m) {
			return nil
		}
	case raftpb.MessageType_MsgVote, raftpb.MessageType_MsgPreVote:
		theirs := mark{Term: m.GetLogTerm(), Index: m.GetIndex()}
		// This seat's own log may lack the entry that took the other one in, so that only the log decides, as raft has it: a seat that
		// is behind may be needed for the majority of a council that it does not know yet.
		if !slices.Contains(s.conf.GetVoters(), m.GetFrom()) && theirs.less(s.end()) {
			return &StrangerError{Seat: SeatID(m.GetFrom())}
		}
		if s.below() && theirs.less(s.floor) {
			return nil
		}
	}
	s.register.note(m)
	defer s.caught(&err)
	if err := s.rn.Step(m); err != nil && err != raft.ErrStepPeerNotFound && err != raft.ErrProposalDropped {
		return err
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
		if s.rn.BasicStatus().Lead == m.GetFrom() {
			s.ledAt = s.ticks
		}
	}
	return nil
}

// Propose puts data up for agreement. That it was taken promises nothing: it stands when it comes back in Output.Apply,
// and may be lost with the leader. Only a seat that leads takes it.
func (s *Seat) Propose(data []byte) (err error) {
	if err := s.leads(); err != nil {
		return err
	}
	defer s.caught(&err)
	if s.rn.Propose(data) != nil {
		return &BusyError{}
	}
	return nil
}

// HandOver has another seat stand for election at once, the one that has most of the log of those that answer, and says
// whether there is one. Until that one leads, or the time of an election is over, this seat leads and takes no proposals.
func (s *Seat) HandOver() (any bool) {
	if s.leads() != nil {
		return false
	}
	var to, match uint64
	s.rn.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id != uint64(s.o.Self) && pr.RecentActive && !pr.IsLearner && (to == 0 || pr.Match > match || pr.Match == match && id < to) {
			to, match = id, pr.Match
		}
	})
	return to != 0 && s.HandOverTo(SeatID(to)) == nil
}

func (s *Seat) leads() error {
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
func (s *Seat) Read(ctx uint64) (err error) {
	if err := s.leads(); err != nil {
		return err
	}
	defer s.caught(&err)
	// raft tells questions apart by these bytes alone, in all seats and processes.
	b := binary.BigEndian.AppendUint64(nil, ctx)
	b = binary.BigEndian.AppendUint64(b, uint64(s.o.Self))
	s.rn.ReadIndex(binary.BigEndian.AppendUint64(b, s.o.Run))
	return nil
}

// Change takes one seat in or out; the other is 0. One change at a time: the next one when this one is applied.
func (s *Seat) Change(add, remove SeatID) (err error) {
	if err := s.leads(); err != nil {
		return err
	}
	cc := &raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeAddNode.Enum(), NodeId: new(uint64(add))}
	switch {
	case (add == 0) == (remove == 0):
		return fmt.Errorf("council: a change takes in one seat, or takes one out")
	case add != 0 && slices.Contains(s.conf.GetVoters(), uint64(add)):
		return nil
	case remove != 0 && !slices.Contains(s.conf.GetVoters(), uint64(remove)) && !slices.Contains(s.conf.GetLearners(), uint64(remove)):
		return nil
	case remove != 0 && len(s.conf.GetVoters()) == 1 && s.conf.GetVoters()[0] == uint64(remove):
		return fmt.Errorf("council: the last seat cannot be taken out")
	case remove != 0:
		cc = &raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: new(uint64(remove))}
	}
	defer s.caught(&err)
	if s.rn.ProposeConfChange(cc) != nil {
		return &BusyError{}
	}
	return nil
}

// Ready returns what is to be done next, and false when there is nothing. The next one comes after Done.
func (s *Seat) Ready() (o Output, ok bool) {
	if s.out {
		return Output{}, false
	}
	if s.first != nil {
		o, s.first, s.out = *s.first, nil, true
		return o, true
	}
	if s.rn == nil || s.err != nil {
		return Output{}, false
	}
	var err error
	defer func() {
		if err != nil {
			o, ok = Output{}, false
		}
	}()
	defer s.caught(&err)
	if !s.rn.HasReady() {
		return Output{}, false
	}
	rd := s.rn.Ready()
	s.out = true
	o = Output{MustSync: rd.MustSync, rd: &rd}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		o.Save.HardState = rd.HardState
	}
	o.Save.Entries = rd.Entries
	if !raft.IsEmptySnap(rd.Snapshot) {
		o.Save.Snapshot, o.Save.Replace, o.MustSync = rd.Snapshot, true, true
		o.Snapshot = notNil(rd.Snapshot.Data)
	}
	below := s.below()
	for _, m := range rd.Messages {
		if below && (m.GetType() == raftpb.MessageType_MsgVote || m.GetType() == raftpb.MessageType_MsgPreVote) {
			continue
		}
		raw, e := proto.Marshal(m)
		if e != nil {
			panic(e)
		}
		o.Send = append(o.Send, Message{To: SeatID(m.GetTo()), Raw: raw})
	}
	for _, e := range rd.CommittedEntries {
		if e.GetType() == raftpb.EntryType_EntryNormal && len(e.Data) > 0 {
			o.Apply = append(o.Apply, Entry{Index: e.GetIndex(), Term: e.GetTerm(), Data: e.Data})
		}
	}
	for _, r := range rd.ReadStates {
		if len(r.RequestCtx) == 24 && binary.BigEndian.Uint64(r.RequestCtx[8:]) == uint64(s.o.Self) &&
			binary.BigEndian.Uint64(r.RequestCtx[16:]) == s.o.Run {
			o.Reads = append(o.Reads, Read{Ctx: binary.BigEndian.Uint64(r.RequestCtx), Index: r.Index})
		}
	}
	return o, true
}

// Done says that an Output was saved, sent and applied.
func (s *Seat) Done(o Output) {
	s.out = false
	if o.rd == nil {
		return
	}
	var err error
	defer s.caught(&err)
	rd := o.rd
	if snap := rd.Snapshot; !raft.IsEmptySnap(snap) {
		must(s.mem.ApplySnapshot(snap))
		s.conf = snap.Metadata.GetConfState()
		s.snap, s.applied, s.appTerm = snap.Metadata.GetIndex(), snap.Metadata.GetIndex(), snap.Metadata.GetTerm()
		s.changed = false
	}
	must(s.mem.Append(rd.Entries))
	if o.Save.HardState != nil {
		must(s.mem.SetHardState(o.Save.HardState))
		s.hard = o.Save.HardState
	}
	for _, e := range rd.CommittedEntries {
		switch e.GetType() {
		case raftpb.EntryType_EntryConfChange:
			cc := &raftpb.ConfChange{}
			must(proto.Unmarshal(e.Data, cc))
			s.conf = s.rn.ApplyConfChange(cc)
		case raftpb.EntryType_EntryConfChangeV2:
			cc := &raftpb.ConfChangeV2{}
			must(proto.Unmarshal(e.Data, cc))
			s.conf = s.rn.ApplyConfChange(cc)
		}
		s.changed = s.changed || e.GetType() != raftpb.EntryType_EntryNormal
		s.applied, s.appTerm = e.GetIndex(), e.GetTerm()
	}
	s.rn.Advance(*rd)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Compact puts book, the state with all entries up to index applied, in the place of the log before it. index is
// Status.Applied, and no Output is out. What it returns has to be made durable.
func (s *Seat) Compact(index uint64, book []byte) (save Save, err error) {
	if s.err != nil {
		return Save{}, s.err
	}
	if index != s.applied || s.out || s.rn == nil {
		return Save{}, fmt.Errorf("council: the book is of entry %d, %d is applied", index, s.applied)
	}
	if index <= s.snap {
		return Save{}, nil
	}
	defer s.caught(&err)
	snap, err := s.mem.CreateSnapshot(index, s.conf, slices.Clone(book))
	if err != nil {
		return Save{}, fmt.Errorf("council: snapshot of entry %d: %w", index, err)
	}
	s.snap, s.changed = index, false
	cut := index - min(index, s.o.SnapshotEvery/keepPart)
	if first, _ := s.mem.FirstIndex(); cut >= first {
		must(s.mem.Compact(cut))
	}
	return Save{Snapshot: snap, CutTo: cut}, nil
}

// Status says where the seat stands.
func (s *Seat) Status() Status {
	st := Status{Term: s.hard.GetTerm(), Committed: s.hard.GetCommit(), Applied: s.applied, Err: s.err, Waiting: s.wait != nil, Behind: s.below()}
	for _, id := range s.conf.GetVoters() {
		st.Seats = append(st.Seats, SeatID(id))
	}
	if s.wait != nil && s.wait.seats != nil {
		st.Seats = slices.Clone(s.wait.seats)
	}
	slices.Sort(st.Seats)
	for _, id := range s.conf.GetLearners() {
		st.Learning = append(st.Learning, SeatID(id))
	}
	slices.Sort(st.Learning)
	if s.rn == nil || s.err != nil {
		return st
	}
	b := s.rn.BasicStatus()
	st.Leader, st.Term, st.Committed = SeatID(b.Lead), b.GetTerm(), b.GetCommit()
	st.Leading = b.RaftState == raft.StateLeader && s.appTerm == st.Term
	st.Compact = s.applied >= s.snap+s.o.SnapshotEvery || s.changed
	return st
}

// others are the seats of the council besides this one, as its log has them: also by changes not known to be agreed on.
func (s *Seat) others() []SeatID {
	var ids []SeatID
	for _, id := range s.conf.GetVoters() {
		if SeatID(id) != s.o.Self {
			ids = append(ids, SeatID(id))
		}
	}
	return ids
}

// end is the last entry of the log that is durable.
func (s *Seat) end() mark {
	last, _ := s.mem.LastIndex()
	term, _ := s.mem.Term(last)
	return mark{Term: term, Index: last}
}

// below says that the log has not come up yet to what the others had when this seat came back.
func (s *Seat) below() bool { return s.end().less(s.floor) }

// mark is a place in a log.
type mark struct{ Term, Index uint64 }

func (m mark) less(n mark) bool { return m.Term < n.Term || m.Term == n.Term && m.Index < n.Index }

type logger struct{ to func(level, text string) }

func (l logger) say(level, text string) {
	if l.to != nil {
		l.to(level, text)
	}
}

func (l logger) Debug(v ...any)            {}
func (l logger) Debugf(f string, v ...any) {}
func (l logger) Error(v ...any)            { l.say("error", fmt.Sprint(v...)) }
func (l logger) Errorf(f string, v ...any) { l.say("error", fmt.Sprintf(f, v...)) }
func (l logger) Info(v ...any)             { l.say("info", fmt.Sprint(v...)) }
func (l logger) Infof(f string, v ...any) {
	if l.to != nil {
		l.say("info", fmt.Sprintf(f, v...))
	}
}
func (l logger) Warning(v ...any)            { l.say("warn", fmt.Sprint(v...)) }
func (l logger) Warningf(f string, v ...any) { l.say("warn", fmt.Sprintf(f, v...)) }
func (l logger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l logger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l logger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l logger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
