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
type SelfReport struct {
	Replica   ReplicaID
	OpenCount uint64 // the how manieth opening of its store
	RunID     uint64 // random, of its process
	Sequence  uint64 // counts the claims of this run, from 1
	Echo      uint64 // the highest Sent heard from the one this is for, in that one's run EchoRun
	EchoRunID uint64

	Term        uint64    // from here on: what is durable
	Vote        ReplicaID // in Term
	LastTerm    uint64    // of the log's last entry
	LastIndex   uint64
	Commit      uint64
	Leader      ReplicaID // as far as it knows; 0: none
	Voters      []ReplicaID
	Unconfirmed bool // it only asks, and takes no messages yet

	Relayed PeerRecord // of who leads or knows of no leader: what it remembers of a third seat, each in its turn
}

// heard is what is remembered of one other seat.
type peerState struct {
	openCount, runID, sequence uint64
	previousRunID              uint64 // the run before this one
	firstReportAfter           uint64 // this seat's own claims from this one on were made when the run had been heard
	term                       uint64
	vote                       ReplicaID // in term; 0: none known
	acked                      uint64    // in term: its log has all up to here
	committed                  uint64    // its log has all up to here, in whichever term
	copiedErr                  *CopiedStoreError
	relayed                    PeerRecord // what others remembered of it, who may have started anew since
}

// Register is what a seat remembers of the others. The zero value is not ready for use.
type PeerTable struct {
	self        ReplicaID
	runID       uint64
	sequence    uint64
	replicas    map[ReplicaID]*peerState
	relayTurn   int                         // counts what was told on
	lastRelayed map[[2]ReplicaID]PeerRecord // what a seat was told of a third one last
}

// NewRegister returns a register that remembers nothing, of a seat in a process.
func NewPeerTable(self ReplicaID, run uint64) *PeerTable {
	return &PeerTable{self: self, runID: run, replicas: map[ReplicaID]*peerState{}, lastRelayed: map[[2]ReplicaID]PeerRecord{}}
}

// Hear takes a claim in. An error says that nothing of what came with the claim may be used, and is to be told to its
// sender: *OldStoreError, *CopiedStoreError; a *LateError need not be.
func (r *PeerTable) Observe(report SelfReport) error {
	if report.Replica == r.self {
		return &CopiedStoreError{Replica: report.Replica, RunIDs: [2]uint64{r.runID, report.RunID}}
	}
	if peer := r.replicas[report.Replica]; peer != nil && peer.copiedErr != nil {
		return peer.copiedErr
	}
	r.observeRelayed(report.Relayed)
	peer := r.replicas[report.Replica]
	if peer == nil {
		peer = &peerState{openCount: report.OpenCount, runID: report.RunID, sequence: report.Sequence, firstReportAfter: r.sequence + 1}
		r.replicas[report.Replica] = peer
		peer.observeLog(report)
		return nil
	}
	switch {
	case report.RunID == peer.runID:
		if report.Sequence <= peer.sequence {
			return nil
		}
		peer.sequence = report.Sequence
	case report.OpenCount == peer.openCount, report.RunID == peer.previousRunID && report.EchoRunID == r.runID && report.Echo >= peer.firstReportAfter:
		// Every opening counts the boot up by one; and a process before this one does not speak any more, as it does
		// where it has heard something that was said after its successor spoke.
		peer.copiedErr = &CopiedStoreError{Replica: report.Replica, RunIDs: [2]uint64{peer.runID, report.RunID}}
		return peer.copiedErr
	case report.RunID == peer.previousRunID:
		return &LateMessageError{Replica: report.Replica}
	default:
		if err := peer.record(report.Replica).missingFrom(report); err != nil {
			return err
		}
		if report.RunID != peer.relayed.RunID {
			if err := peer.relayed.missingFrom(report); err != nil {
				return err
			}
		}
		peer.previousRunID, peer.firstReportAfter = peer.runID, r.sequence+1
		peer.openCount, peer.runID, peer.sequence = report.OpenCount, report.RunID, report.Sequence
	}
	peer.observeLog(report)
	return nil
}

// remember takes in how far a seat's log is by its own word. A leader acknowledges nothing to anybody: this is all that the others have
// of it. In one term only one seat leads, so that a log whose last entry is of its term loses nothing in that term; and what is known
// to be agreed on is lost in none.
func (h *peerState) observeLog(report SelfReport) {
	h.enterTerm(report.Term)
	if report.Term == h.term && report.LastTerm == report.Term {
		h.acked = max(h.acked, report.LastIndex)
	}
	h.committed = max(h.committed, report.Commit)
}

func (h *peerState) enterTerm(term uint64) {
	if term > h.term {
		h.term, h.vote, h.acked = term, 0, 0
	}
}

// note remembers what a message promises. Those that ask or answer before a vote promise nothing: their term is one to come.
func (r *PeerTable) observeMessage(m *raftpb.Message) {
	peer := r.replicas[ReplicaID(m.GetFrom())]
	if peer == nil {
		peer = &peerState{firstReportAfter: r.sequence + 1}
		r.replicas[ReplicaID(m.GetFrom())] = peer
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgPreVote, raftpb.MessageType_MsgPreVoteResp:
		return
	}
	peer.enterTerm(m.GetTerm())
	if m.GetTerm() != peer.term || m.GetReject() {
		return
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgAppResp:
		peer.acked = max(peer.acked, m.GetIndex())
	case raftpb.MessageType_MsgVoteResp:
		peer.vote = r.self
	case raftpb.MessageType_MsgVote:
		peer.vote = ReplicaID(m.GetFrom())
	}
}

// waiting is a seat's wait for the others' word.
type confirmation struct {
	reports map[ReplicaID]SelfReport
	voters  []ReplicaID // as those that answered have them, where they know more: they are asked too
}

// Claim is what this seat says of itself to another one. Send one with every request and every reply; while Status.Waiting
// holds, and while Status.Leader is 0, send it to all of Status.Seats again and again, without messages.
func (s *Replica) SelfReport(to ReplicaID) SelfReport {
	peers := s.peers
	peers.sequence++
	report := SelfReport{
		Replica: s.opts.Self, OpenCount: s.opts.OpenCount, RunID: s.opts.RunID, Sequence: peers.sequence,
		Term: s.hardState.GetTerm(), Vote: ReplicaID(s.hardState.GetVote()), Commit: s.hardState.GetCommit(), Unconfirmed: s.confirming != nil,
	}
	if peer := peers.replicas[to]; peer != nil {
		report.Echo, report.EchoRunID = peer.sequence, peer.runID
	}
	last, status := s.lastPosition(), s.Status()
	report.LastTerm, report.LastIndex, report.Leader, report.Voters = last.Term, last.Index, status.Leader, status.Voters
	if status.Leading || status.Leader == 0 { // a follower's leader knows more
		report.Relayed = peers.nextRelayed(to)
	}
	return report
}

// Hear takes in the claim that came with a request or a reply. After an error nothing else of it may be used; tell an
// *OldStoreError or *CopiedStoreError to the sender, for which it is the end (Refuse).
func (s *Replica) Observe(report SelfReport) error {
	if s.err != nil {
		return s.err
	}
	if err := s.peers.Observe(report); err != nil {
		return err
	}
	s.observeLeaderless(report)
	if s.confirming == nil || report.EchoRunID != s.opts.RunID {
		return nil
	}
	s.confirming.reports[report.Replica] = report
	return s.finishConfirmation()
}

// leaderless takes note of another seat that knows of no leader either, and hears this one. Where it is the one that this seat
// takes for the leader, that one leads no more.
func (s *Replica) observeLeaderless(report SelfReport) {
	if report.Unconfirmed || report.Leader != 0 {
		delete(s.leaderless, report.Replica)
		return
	}
	if s.node != nil {
		if status := s.node.BasicStatus(); ReplicaID(status.Lead) == report.Replica && report.Term >= status.GetTerm() {
			s.forgetLeader()
		}
	}
	if report.EchoRunID != s.opts.RunID || report.Echo <= s.reportsSentBefore {
		delete(s.leaderless, report.Replica) // it has heard nothing of late
		return
	}
	theirs, ours := (position{Term: report.LastTerm, Index: report.LastIndex}), s.lastPosition()
	if ours.before(theirs) || ours == theirs && report.Replica < s.opts.Self {
		s.campaignFrom = s.ticks + s.opts.ElectionTicks // that one stands
		return
	}
	s.leaderless[report.Replica] = s.ticks
}

// forget has this seat know of no leader: it votes for whoever asks. A message of the leader brings it back.
func (s *Replica) forgetLeader() { _ = s.node.ForgetLeader() }

// stand has this seat ask for votes at once, not when its time is up, where a majority with it is known to have no leader: nobody
// is waited for then. The one whose log is the furthest stands, or else the first of them, so that they do not get into each
// other's way; where that one cannot win, time decides as ever. It asks before it votes for itself (PreVote), so that a seat
// which is not needed disturbs nobody. An election under way has half the time that one is given: who stands in the midst of it
// would unseat whom it brings.
func (s *Replica) campaignEarly() {
	voters, half := s.confState.GetVoters(), max(1, s.opts.ElectionTicks/2)
	if s.ticks%half == 0 {
		s.reportsSentBefore, s.reportsSent = s.reportsSent, s.peers.sequence
	}
	status := s.node.BasicStatus()
	if status.RaftState == raft.StateFollower && status.Lead != 0 && s.ticks-s.leaderSeenAt >= s.opts.ElectionTicks {
		// Silent for so long it is nobody's leader: raft lets this seat vote from here on, and stand at up to twice the time.
		s.forgetLeader()
		status = s.node.BasicStatus()
	}
	if status.GetTerm() > s.electionTerm {
		s.electionTerm, s.campaignFrom = status.GetTerm(), max(s.campaignFrom, s.ticks+half)
	}
	if status.Lead != 0 || len(s.leaderless) == 0 || s.ticks < s.campaignFrom || s.catchingUp() || !slices.Contains(voters, uint64(s.opts.Self)) {
		return
	}
	supporters := 1
	for id, at := range s.leaderless {
		if s.ticks-at <= half && slices.Contains(voters, uint64(id)) {
			supporters++
		}
	}
	if supporters > len(voters)/2 {
		s.campaignFrom = s.ticks + half
		_ = s.node.Campaign() // where it cannot, time decides
	}
}

// release ends the wait when enough of the others have answered.
func (s *Replica) finishConfirmation() error {
	var newest SelfReport // of those that answered, by what was agreed on
	var term uint64
	var last position
	answered := make([]ReplicaID, 0, len(s.confirming.reports))
	for id := range s.confirming.reports {
		answered = append(answered, id)
	}
	slices.Sort(answered)
	voters := s.Status().Voters
	for _, id := range answered {
		report := s.confirming.reports[id]
		if report.Commit > newest.Commit {
			newest = report
		}
		term = max(term, report.Term)
		if at := (position{Term: report.LastTerm, Index: report.LastIndex}); last.before(at) {
			last = at
		}
	}
	if newest.Commit > s.hardState.GetCommit() && len(newest.Voters) > 0 {
		voters = newest.Voters
		s.confirming.voters = slices.Clone(voters)
	}
	if !slices.Contains(voters, s.opts.Self) && !slices.Contains(s.confState.GetLearners(), uint64(s.opts.Self)) {
		s.err = &NotMemberError{Replica: s.opts.Self} // it was taken out while it was away
		return nil
	}
	n, confirmed := len(voters), 0
	for _, id := range voters {
		if slices.Contains(answered, id) {
			confirmed++
		}
	}
	if confirmed < min(n-n/2, n-1) { // n - (n/2+1) + 1; of one that is the only seat by now, there are no others
		return nil
	}
	for _, id := range answered {
		report := s.confirming.reports[id]
		if report.Term == term && report.Leader != 0 && report.Leader != s.opts.Self && !slices.Contains(answered, report.Leader) {
			return nil
		}
	}
	s.catchUpTo = last
	hardState := proto.CloneOf(s.hardState)
	if term > hardState.GetTerm() {
		hardState.Term, hardState.Vote = new(term), new(uint64(s.opts.Self))
	} else if hardState.GetTerm() > 0 && hardState.GetVote() == 0 {
		hardState.Vote = new(uint64(s.opts.Self)) // without standing for election: a vote that no other seat gets
	}
	return s.resume(hardState)
}

func (s *Replica) resume(hardState *raftpb.HardState) error {
	s.confirming = nil
	if !proto.Equal(hardState, s.hardState) {
		if s.initial == nil {
			s.initial = &Output{}
		}
		s.initial.Save.HardState, s.initial.MustSync = hardState, true
		s.hardState = hardState
	}
	return s.start()
}

// Vouch is an operator's word that the store is the one that this seat left when it stopped last, and not a copy put
// back: the seat waits for nobody (Status.Waiting), and for nobody's log (Status.Behind). If that is not true, what was agreed on may be lost.
func (s *Replica) ConfirmStore() error {
	if s.err != nil {
		return s.err
	}
	s.catchUpTo = position{}
	if s.confirming == nil {
		return nil
	}
	return s.resume(s.hardState)
}

// Refuse is the end of this seat: another one has refused its store. The driver has the store remember it.
func (s *Replica) MarkRefused(why string) {
	if s.err == nil {
		s.err = &RefusedError{Why: why}
	}
}

// SeatOf is the seat of a node, named with its site, whose store has that life.
func ReplicaIDOf(node string, life uint64) ReplicaID {
	return ReplicaID(max(1, xxhash.Sum64String(fmt.Sprintf("%s\x00%016x", node, life))))
}
