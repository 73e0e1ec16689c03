package consensus

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// raft assumes that a replica never forgets what it has promised: a vote, or an entry that it acknowledged. A store
// that is empty or was restored from a copy has forgotten. Three mechanisms protect against that.
//
// Empty stores: an empty store has a new incarnation and therefore a new replica ID. That replica neither votes nor
// counts until ChangeVoters adds it. The same holds for a store restored from before its replica was added
// (store.Identity.ReplicaIncarnation).
//
// Stale stores: every replica keeps a PeerTable with what it observed of each other replica: how often its store was
// opened, its process, its highest term, its vote in that term, how far its log reaches (as it reported, and as it
// acknowledged to this replica), and its commit index. A replica that restarts with less is refused with a
// *StaleStoreError; two processes that use the same store are refused with a *CopiedStoreError. A refused replica
// records that in its store and stops for good.
//
// The PeerTable is held in memory only. So that its contents outlive the one process that observed them, a leader, and
// any replica that knows of no leader, relays to the others what it remembers about each replica (SelfReport.Relayed).
// A stale store is refused as long as any replica still runs that observed it or received its record. If all others
// have restarted since, none can refuse it.
//
// Confirmation after a restart: therefore a replica that restarts with a store is at first unconfirmed
// (Status.Unconfirmed). It answers the reports of others from its store but processes no raft messages until n-q+1 of
// the other replicas (n voters, majority q: two of two, or three of four) have answered a report of this very process,
// among them the leader if they know one. Every majority that this replica was ever part of has a member among them.
// The replica then starts with these restrictions:
//   - It never votes in their highest term or below unless it has a recorded vote there.
//   - Until its log has caught up with the furthest of theirs, it votes only for replicas whose log has, and does not
//     campaign.
//
// So even a stale store that no other replica remembers does no harm. All replicas may restart at once: each answers
// while it is unconfirmed, and one round later all are confirmed. A process that restarts while its machine keeps running
// needs no confirmation: a witness file in memory verifies its store (Options.StoreVerified, package store). If a
// machine reboots while one of three replicas is down, its replica waits for that one, or until an operator confirms
// that the store is current (ConfirmStore).
//
// Cases that remain open:
//   - A vote or acknowledgement that was in flight when the replica stopped, and that is counted later by a replica that
//     it did not hear from after the store was restored. With three replicas, all others are asked; with five, it takes a
//     candidate or leader that none of the replicas asked knows of.
//   - Two stores restored at once in a group of three: the majority has forgotten, and no replica is left that knows.
//   - Copies of one running store: until the counting replica has heard from the second copy, both are one replica to it.
//     This is detected, not prevented.
//   - ConfirmStore trusts its operator. The witness assumes that memory and disk of a machine are not restored together,
//     as happens with a saved virtual machine state.

// SelfReport is what a replica reports about itself in every exchange, in requests and replies alike; peerpb.Claim,
// which peerpb.Hello carries, is its wire form. Create it with Replica.SelfReport.
type SelfReport struct {
	Replica   ReplicaID
	OpenCount uint64 // how often its store has been opened
	RunID     uint64 // random ID of its process
	Sequence  uint64 // numbers the reports of this process, from 1
	Echo      uint64 // the highest Sequence received from the addressee's process EchoRunID
	EchoRunID uint64

	Term        uint64    // Term to Commit: as in the durable state
	Vote        ReplicaID // in Term
	LastTerm    uint64    // of the last log entry
	LastIndex   uint64
	Commit      uint64
	Leader      ReplicaID // as far as it knows; 0: none
	Voters      []ReplicaID
	Unconfirmed bool // its store is not confirmed yet: it sends reports but processes no raft messages

	Relayed PeerRecord // from a leader, or from a replica that knows of no leader: what it remembers about a third replica, cycling through all
}

// peerState is what is remembered about one other replica.
type peerState struct {
	openCount, runID, sequence uint64
	previousRunID              uint64 // ID of the process before the current one
	firstReportAfter           uint64 // own reports from this Sequence on were sent after the current process was first heard from
	term                       uint64
	vote                       ReplicaID // in term; 0: none known
	acked                      uint64    // in term: its log has all entries up to this index
	committed                  uint64    // its log has all entries up to this index, in any term
	copiedErr                  *CopiedStoreError
	relayed                    PeerRecord // what other replicas remember about it; they may have restarted since
}

// PeerTable holds what a replica remembers about the others. Create it with NewPeerTable.
type PeerTable struct {
	self        ReplicaID
	runID       uint64
	sequence    uint64
	replicas    map[ReplicaID]*peerState
	relayTurn   int                         // counts the calls of nextRelayed that had a record to choose
	lastRelayed map[[2]ReplicaID]PeerRecord // the record last relayed, by addressee and third replica
}

// NewPeerTable returns an empty table for a replica and the ID of its process.
func NewPeerTable(self ReplicaID, runID uint64) *PeerTable {
	return &PeerTable{self: self, runID: runID, replicas: map[ReplicaID]*peerState{}, lastRelayed: map[[2]ReplicaID]PeerRecord{}}
}

// Observe processes a report. After an error, nothing that came with the report may be used. A *StaleStoreError or
// *CopiedStoreError must be returned to the sender; a *LateMessageError need not be.
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
		// Every opening of a store increments its open count, so two processes with equal counts use copies. A previous
		// process no longer sends, unless its store was copied: here it has received a report that was sent after its
		// successor was heard from.
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

// observeLog records how far a replica's log reaches by its own report. A leader acknowledges nothing to anyone, so
// this is all that the others know of its log. A term has only one leader, so a log whose last entry is of its current
// term loses nothing in that term; committed entries are never lost.
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

// observeMessage records what a raft message promises. Pre-vote messages promise nothing: their term has not begun.
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

// confirmation is the state of a replica that waits for the others to confirm its store.
type confirmation struct {
	reports map[ReplicaID]SelfReport
	voters  []ReplicaID // the voters according to replicas with a higher commit index; they are asked too
}

// SelfReport returns this replica's report for another one. Send one with every request and every reply. While
// Status.Unconfirmed is set or Status.Leader is 0, send it repeatedly to all of Status.Voters, even without messages.
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

// Observe processes the report that came with a request or reply. After an error, nothing else that came with it may be
// used. Return a *StaleStoreError or *CopiedStoreError to the sender, which then stops for good (MarkRefused).
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

// observeLeaderless records another replica that knows of no leader either and receives this one's reports. If it is
// the replica that this one takes for the leader, that one has stepped down.
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
		delete(s.leaderless, report.Replica) // it has received no recent report from this replica
		return
	}
	theirs, ours := (position{Term: report.LastTerm, Index: report.LastIndex}), s.lastPosition()
	if ours.before(theirs) || ours == theirs && report.Replica < s.opts.Self {
		s.campaignFrom = s.ticks + s.opts.ElectionTicks // that replica campaigns first
		return
	}
	s.leaderless[report.Replica] = s.ticks
}

// forgetLeader makes this replica forget its leader, so that it votes for any candidate. The next message of the leader
// restores it.
func (s *Replica) forgetLeader() { _ = s.node.ForgetLeader() }

// campaignEarly starts an election before the election timeout if a majority, including this replica, is known to have
// no leader: there is nothing to wait for then. To avoid competing candidates, the replica with the most advanced log
// campaigns, or the one with the lowest ID among equals. If it cannot win, the election timeout decides as usual. With
// PreVote it asks for votes before it raises its term, so a needless candidate causes no election. It waits half an
// election timeout after it has seen an election: a new candidate in the middle of an election would unseat its winner.
func (s *Replica) campaignEarly() {
	voters, half := s.confState.GetVoters(), max(1, s.opts.ElectionTicks/2)
	if s.ticks%half == 0 {
		s.reportsSentBefore, s.reportsSent = s.reportsSent, s.peers.sequence
	}
	status := s.node.BasicStatus()
	if status.RaftState == raft.StateFollower && status.Lead != 0 && s.ticks-s.leaderSeenAt >= s.opts.ElectionTicks {
		// A leader that has sent nothing for this long has lost its authority. raft lets this replica vote from now on, and campaign
		// after at most twice this time.
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
	for id, reportedAt := range s.leaderless {
		if s.ticks-reportedAt <= half && slices.Contains(voters, uint64(id)) {
			supporters++
		}
	}
	if supporters > len(voters)/2 {
		s.campaignFrom = s.ticks + half
		_ = s.node.Campaign() // if the replica cannot campaign, the election timeout decides
	}
}

// finishConfirmation ends the unconfirmed state once enough of the other replicas have answered.
func (s *Replica) finishConfirmation() error {
	var newest SelfReport // the report with the highest commit index
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
		if end := (position{Term: report.LastTerm, Index: report.LastIndex}); last.before(end) {
			last = end
		}
	}
	if newest.Commit > s.hardState.GetCommit() && len(newest.Voters) > 0 {
		voters = newest.Voters
		s.confirming.voters = slices.Clone(voters)
	}
	if !slices.Contains(voters, s.opts.Self) && !slices.Contains(s.confState.GetLearners(), uint64(s.opts.Self)) {
		s.err = &NotMemberError{Replica: s.opts.Self} // it was removed while it was down
		return nil
	}
	n, confirmed := len(voters), 0
	for _, id := range voters {
		if slices.Contains(answered, id) {
			confirmed++
		}
	}
	if confirmed < min(n-n/2, n-1) { // n - (n/2+1) + 1; a replica that has become the only voter has no others to ask
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
		hardState.Vote = new(uint64(s.opts.Self)) // votes for itself without campaigning, so that no other replica gets this vote
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

// ConfirmStore records an operator's confirmation that the store is the one this replica left when it last stopped, and
// not a restored copy. The replica then waits for no confirmation (Status.Unconfirmed) and for no log to catch up with
// (Status.Behind). If the confirmation is wrong, committed entries may be lost.
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

// MarkRefused stops this replica for good: another replica has refused its store. The driver must record the
// refusal in the store.
func (s *Replica) MarkRefused(why string) {
	if s.err == nil {
		s.err = &RefusedError{Why: why}
	}
}

// ReplicaIDOf returns the ID of the replica of a node (named with its site) whose store has that incarnation.
func ReplicaIDOf(node string, incarnation uint64) ReplicaID {
	return ReplicaID(max(1, xxhash.Sum64String(fmt.Sprintf("%s\x00%016x", node, incarnation))))
}
