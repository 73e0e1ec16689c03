package consensus

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// What raft takes for granted is that a seat never forgets what it has promised: a vote, an entry that it acknowledged. A
// store that is empty, or was put back from a copy, has forgotten. Three things stand against it.
//
// An empty store has another life, and so is another seat: it neither votes nor counts until Change takes it in. So is one
// put back from before its seat was taken in (store.Identity.SeatLife).
//
// Every seat keeps a Register of what it heard from each of the others: the number of its store's openings (boot), the
// process (run), its highest term, whom it voted for there, how far its log is by its own word and what it acknowledged to this
// seat, and what it knew to be agreed on. A seat that comes back
// with less is refused with an *OldStoreError; two processes with one store with a *CopiedStoreError. Who is refused keeps
// that in its store and takes no part any more.
//
// The Register is soft: it goes with its process. So that it does not go with the one process that heard the most, a leader tells the others
// what it remembers of each seat, and so does whoever knows of no leader (Claim.Of): an older store is refused while any seat runs on
// that heard of it so. Where all others have started anew since, nobody can refuse it. So a seat that comes back with a store first waits (Status.Waiting). It
// answers others' claims from its store, but takes no message of raft, until n-q+1 of the others (of n seats, with
// majority q: two of two, three of four) have answered a claim of this very process, among them the leader, if they know
// one. Each majority that this seat was ever part of has a member among them. Then it begins above what they had:
//   - it never votes in their highest term or below, where it has no vote on record;
//   - until its log has come up to the furthest of theirs, it votes only for seats whose log has, and does not stand.
//
// So even a store that nobody remembers the last state of does no harm. All seats may start at once: each answers while it
// waits, and one round later all take part. A process that starts anew while its machine runs need not wait: its store has a
// witness in memory (Options.Proven, package store). When a machine starts anew while one seat of three is down, its seat
// waits for that one, or for an operator's word (Vouch) that its store is the one it left.
//
// What is not closed:
//   - A vote or acknowledgement that was on its way when the seat stopped, and that is counted after the seat was restored
//     and has heard from the others, by one that was not among them: with three seats all others are asked; with five it
//     takes a candidate or a leader that nobody asked knows of.
//   - Two stores put back at once, in a council of three: the majority has forgotten, and nobody is left who knows.
//   - Copies of one running store: until the second one has been heard by the one who counts, both are one seat. It is
//     noticed, not prevented.
//   - Vouch trusts its operator, and the witness that memory and disk of a machine are not put back together, as with the
//     saved state of a virtual machine.

// Claim is what a seat says of itself with every exchange, requests and replies alike. Build it by Seat.Claim.
type Claim struct {
	Seat    SeatID
	Boot    uint64 // the how manieth opening of its store
	Run     uint64 // random, of its process
	Sent    uint64 // counts the claims of this run, from 1
	Echo    uint64 // the highest Sent heard from the one this is for, in that one's run EchoRun
	EchoRun uint64

	Term     uint64 // from here on: what is durable
	Vote     SeatID // in Term
	LastTerm uint64 // of the log's last entry
	Last     uint64
	Commit   uint64
	Leader   SeatID // as far as it knows; 0: none
	Seats    []SeatID
	Waiting  bool // it only asks, and takes no messages yet

	Of Remembered // of who leads or knows of no leader: what it remembers of a third seat, each in its turn
}

// heard is what is remembered of one other seat.
type heard struct {
	boot, run, sent uint64
	before          uint64 // the run before this one
	since           uint64 // this seat's own claims from this one on were made when the run had been heard
	term            uint64
	vote            SeatID // in term; 0: none known
	acked           uint64 // in term: its log has all up to here
	committed       uint64 // its log has all up to here, in whichever term
	copied          *CopiedStoreError
	told            Remembered // what others remembered of it, who may have started anew since
}

// Register is what a seat remembers of the others. The zero value is not ready for use.
type Register struct {
	self  SeatID
	run   uint64
	sent  uint64
	seats map[SeatID]*heard
	turn  int                      // counts what was told on
	on    map[[2]SeatID]Remembered // what a seat was told of a third one last
}

// NewRegister returns a register that remembers nothing, of a seat in a process.
func NewRegister(self SeatID, run uint64) *Register {
	return &Register{self: self, run: run, seats: map[SeatID]*heard{}, on: map[[2]SeatID]Remembered{}}
}

// Hear takes a claim in. An error says that nothing of what came with the claim may be used, and is to be told to its
// sender: *OldStoreError, *CopiedStoreError; a *LateError need not be.
func (r *Register) Hear(c Claim) error {
	if c.Seat == r.self {
		return &CopiedStoreError{Seat: c.Seat, Runs: [2]uint64{r.run, c.Run}}
	}
	if h := r.seats[c.Seat]; h != nil && h.copied != nil {
		return h.copied
	}
	r.hearOf(c.Of)
	h := r.seats[c.Seat]
	if h == nil {
		h = &heard{boot: c.Boot, run: c.Run, sent: c.Sent, since: r.sent + 1}
		r.seats[c.Seat] = h
		h.remember(c)
		return nil
	}
	switch {
	case c.Run == h.run:
		if c.Sent <= h.sent {
			return nil
		}
		h.sent = c.Sent
	case c.Boot == h.boot, c.Run == h.before && c.EchoRun == r.run && c.Echo >= h.since:
		// Every opening counts the boot up by one; and a process before this one does not speak any more, as it does
		// where it has heard something that was said after its successor spoke.
		h.copied = &CopiedStoreError{Seat: c.Seat, Runs: [2]uint64{h.run, c.Run}}
		return h.copied
	case c.Run == h.before:
		return &LateError{Seat: c.Seat}
	default:
		if err := h.remembered(c.Seat).lacking(c); err != nil {
			return err
		}
		if c.Run != h.told.Run {
			if err := h.told.lacking(c); err != nil {
				return err
			}
		}
		h.before, h.since = h.run, r.sent+1
		h.boot, h.run, h.sent = c.Boot, c.Run, c.Sent
	}
	h.remember(c)
	return nil
}

// remember takes in how far a seat's log is by its own word. A leader acknowledges nothing to anybody: this is all that the others have
// of it. In one term only one seat leads, so that a log whose last entry is of its term loses nothing in that term; and what is known
// to be agreed on is lost in none.
func (h *heard) remember(c Claim) {
	h.at(c.Term)
	if c.Term == h.term && c.LastTerm == c.Term {
		h.acked = max(h.acked, c.Last)
	}
	h.committed = max(h.committed, c.Commit)
}

func (h *heard) at(term uint64) {
	if term > h.term {
		h.term, h.vote, h.acked = term, 0, 0
	}
}

// note remembers what a message promises. Those that ask or answer before a vote promise nothing: their term is one to come.
func (r *Register) note(m *raftpb.Message) {
	h := r.seats[SeatID(m.GetFrom())]
	if h == nil {
		h = &heard{since: r.sent + 1}
		r.seats[SeatID(m.GetFrom())] = h
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgPreVote, raftpb.MessageType_MsgPreVoteResp:
		return
	}
	h.at(m.GetTerm())
	if m.GetTerm() != h.term || m.GetReject() {
		return
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgAppResp:
		h.acked = max(h.acked, m.GetIndex())
	case raftpb.MessageType_MsgVoteResp:
		h.vote = r.self
	case raftpb.MessageType_MsgVote:
		h.vote = SeatID(m.GetFrom())
	}
}

// waiting is a seat's wait for the others' word.
type waiting struct {
	answers map[SeatID]Claim
	seats   []SeatID // as those that answered have them, where they know more: they are asked too
}

// Claim is what this seat says of itself to another one. Send one with every request and every reply; while Status.Waiting
// holds, and while Status.Leader is 0, send it to all of Status.Seats again and again, without messages.
func (s *Seat) Claim(to SeatID) Claim {
	r := s.register
	r.sent++
	c := Claim{
		Seat: s.o.Self, Boot: s.o.Boot, Run: s.o.Run, Sent: r.sent,
		Term: s.hard.GetTerm(), Vote: SeatID(s.hard.GetVote()), Commit: s.hard.GetCommit(), Waiting: s.wait != nil,
	}
	if h := r.seats[to]; h != nil {
		c.Echo, c.EchoRun = h.sent, h.run
	}
	end, st := s.end(), s.Status()
	c.LastTerm, c.Last, c.Leader, c.Seats = end.Term, end.Index, st.Leader, st.Seats
	if st.Leading || st.Leader == 0 { // a follower's leader knows more
		c.Of = r.tellOf(to)
	}
	return c
}

// Hear takes in the claim that came with a request or a reply. After an error nothing else of it may be used; tell an
// *OldStoreError or *CopiedStoreError to the sender, for which it is the end (Refuse).
func (s *Seat) Hear(c Claim) error {
	if s.err != nil {
		return s.err
	}
	if err := s.register.Hear(c); err != nil {
		return err
	}
	s.leaderless(c)
	if s.wait == nil || c.EchoRun != s.o.Run {
		return nil
	}
	s.wait.answers[c.Seat] = c
	return s.release()
}

// leaderless takes note of another seat that knows of no leader either, and hears this one. Where it is the one that this seat
// takes for the leader, that one leads no more.
func (s *Seat) leaderless(c Claim) {
	if c.Waiting || c.Leader != 0 {
		delete(s.idle, c.Seat)
		return
	}
	if s.rn != nil {
		if b := s.rn.BasicStatus(); SeatID(b.Lead) == c.Seat && c.Term >= b.GetTerm() {
			s.forget()
		}
	}
	if c.EchoRun != s.o.Run || c.Echo <= s.saidBefore {
		delete(s.idle, c.Seat) // it has heard nothing of late
		return
	}
	theirs, own := (mark{Term: c.LastTerm, Index: c.Last}), s.end()
	if own.less(theirs) || own == theirs && c.Seat < s.o.Self {
		s.standAt = s.ticks + s.o.ElectionTicks // that one stands
		return
	}
	s.idle[c.Seat] = s.ticks
}

// forget has this seat know of no leader: it votes for whoever asks. A message of the leader brings it back.
func (s *Seat) forget() { _ = s.rn.ForgetLeader() }

// stand has this seat ask for votes at once, not when its time is up, where a majority with it is known to have no leader: nobody
// is waited for then. The one whose log is the furthest stands, or else the first of them, so that they do not get into each
// other's way; where that one cannot win, time decides as ever. It asks before it votes for itself (PreVote), so that a seat
// which is not needed disturbs nobody. An election under way has half the time that one is given: who stands in the midst of it
// would unseat whom it brings.
func (s *Seat) stand() {
	voters, half := s.conf.GetVoters(), max(1, s.o.ElectionTicks/2)
	if s.ticks%half == 0 {
		s.saidBefore, s.said = s.said, s.register.sent
	}
	b := s.rn.BasicStatus()
	if b.RaftState == raft.StateFollower && b.Lead != 0 && s.ticks-s.ledAt >= s.o.ElectionTicks {
		// Silent for so long it is nobody's leader: raft lets this seat vote from here on, and stand at up to twice the time.
		s.forget()
		b = s.rn.BasicStatus()
	}
	if b.GetTerm() > s.elects {
		s.elects, s.standAt = b.GetTerm(), max(s.standAt, s.ticks+half)
	}
	if b.Lead != 0 || len(s.idle) == 0 || s.ticks < s.standAt || s.below() || !slices.Contains(voters, uint64(s.o.Self)) {
		return
	}
	with := 1
	for id, at := range s.idle {
		if s.ticks-at <= half && slices.Contains(voters, uint64(id)) {
			with++
		}
	}
	if with > len(voters)/2 {
		s.standAt = s.ticks + half
		_ = s.rn.Campaign() // where it cannot, time decides
	}
}

// release ends the wait when enough of the others have answered.
func (s *Seat) release() error {
	var newest Claim // of those that answered, by what was agreed on
	var term uint64
	var end mark
	heard := make([]SeatID, 0, len(s.wait.answers))
	for id := range s.wait.answers {
		heard = append(heard, id)
	}
	slices.Sort(heard)
	seats := s.Status().Seats
	for _, id := range heard {
		a := s.wait.answers[id]
		if a.Commit > newest.Commit {
			newest = a
		}
		term = max(term, a.Term)
		if m := (mark{Term: a.LastTerm, Index: a.Last}); end.less(m) {
			end = m
		}
	}
	if newest.Commit > s.hard.GetCommit() && len(newest.Seats) > 0 {
		seats = newest.Seats
		s.wait.seats = slices.Clone(seats)
	}
	if !slices.Contains(seats, s.o.Self) && !slices.Contains(s.conf.GetLearners(), uint64(s.o.Self)) {
		s.err = &StrangerError{Seat: s.o.Self} // it was taken out while it was away
		return nil
	}
	n, got := len(seats), 0
	for _, id := range seats {
		if slices.Contains(heard, id) {
			got++
		}
	}
	if got < min(n-n/2, n-1) { // n - (n/2+1) + 1; of one that is the only seat by now, there are no others
		return nil
	}
	for _, id := range heard {
		a := s.wait.answers[id]
		if a.Term == term && a.Leader != 0 && a.Leader != s.o.Self && !slices.Contains(heard, a.Leader) {
			return nil
		}
	}
	s.floor = end
	hard := proto.CloneOf(s.hard)
	if term > hard.GetTerm() {
		hard.Term, hard.Vote = new(term), new(uint64(s.o.Self))
	} else if hard.GetTerm() > 0 && hard.GetVote() == 0 {
		hard.Vote = new(uint64(s.o.Self)) // without standing for election: a vote that no other seat gets
	}
	return s.resume(hard)
}

func (s *Seat) resume(hard *raftpb.HardState) error {
	s.wait = nil
	if !proto.Equal(hard, s.hard) {
		if s.first == nil {
			s.first = &Output{}
		}
		s.first.Save.HardState, s.first.MustSync = hard, true
		s.hard = hard
	}
	return s.start()
}

// Vouch is an operator's word that the store is the one that this seat left when it stopped last, and not a copy put
// back: the seat waits for nobody (Status.Waiting), and for nobody's log (Status.Behind). If that is not true, what was agreed on may be lost.
func (s *Seat) Vouch() error {
	if s.err != nil {
		return s.err
	}
	s.floor = mark{}
	if s.wait == nil {
		return nil
	}
	return s.resume(s.hard)
}

// Refuse is the end of this seat: another one has refused its store. The driver has the store remember it.
func (s *Seat) Refuse(why string) {
	if s.err == nil {
		s.err = &RefusedError{Why: why}
	}
}

// SeatOf is the seat of a node, named with its site, whose store has that life.
func SeatOf(node string, life uint64) SeatID {
	return SeatID(max(1, xxhash.Sum64String(fmt.Sprintf("%s\x00%016x", node, life))))
}
