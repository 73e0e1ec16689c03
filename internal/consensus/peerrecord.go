package consensus

import (
	"fmt"
	"slices"
)

// This file is what a seat remembers of another one, and tells a third: an older store is refused by it.

// tellAnewEvery is how many claims come between two that tell the same once more: one may have been lost.
const relayAgainEvery = 16

// Remembered is what a seat remembers of another one. The zero value: nothing.
type PeerRecord struct {
	Replica          ReplicaID
	OpenCount, RunID uint64 // of the store's opening and of the process that was heard last
	Term             uint64
	Vote             ReplicaID // in Term; 0: none known
	Acked            uint64    // the log's end in Term, by its own word or an acknowledgement
	Committed        uint64
}

// Remembered returns what this seat remembers of another one.
func (s *Replica) PeerRecord(id ReplicaID) PeerRecord {
	peer := s.peers.replicas[id]
	if peer == nil {
		return PeerRecord{}
	}
	return peer.record(id)
}

func (h *peerState) record(id ReplicaID) PeerRecord {
	return PeerRecord{Replica: id, OpenCount: h.openCount, RunID: h.runID, Term: h.term, Vote: h.vote, Acked: h.acked, Committed: h.committed}
}

// merge takes in what another seat remembers of the same one.
func (m *PeerRecord) merge(other PeerRecord) {
	if other.OpenCount > m.OpenCount {
		m.OpenCount, m.RunID = other.OpenCount, other.RunID
	}
	if other.Term > m.Term {
		m.Term, m.Vote, m.Acked = other.Term, 0, 0
	}
	if other.Term == m.Term {
		m.Acked = max(m.Acked, other.Acked)
		if m.Vote == 0 {
			m.Vote = other.Vote
		}
	}
	m.Committed = max(m.Committed, other.Committed)
}

// lacking returns what a store lacks, by the claim of a process of it, that an earlier process of the seat is remembered to have had; nil
// where it lacks nothing.
func (m PeerRecord) missingFrom(report SelfReport) error {
	reason := ""
	switch {
	case report.OpenCount < m.OpenCount:
		reason = fmt.Sprintf("opened for the %dth time, and has been for the %dth", report.OpenCount, m.OpenCount)
	case report.Term < m.Term:
		reason = fmt.Sprintf("it stands in term %d, and stood in %d", report.Term, m.Term)
	case report.Term == m.Term && m.Vote != 0 && report.Vote != m.Vote:
		reason = fmt.Sprintf("its vote in term %d is another one", report.Term)
	case report.Term == m.Term && report.LastIndex < m.Acked:
		reason = fmt.Sprintf("its log ends at %d, and in term %d it had %d", report.LastIndex, m.Term, m.Acked)
	case report.LastIndex < m.Committed:
		reason = fmt.Sprintf("its log ends at %d, and it knew that %d were agreed on", report.LastIndex, m.Committed)
	default:
		return nil
	}
	return &StaleStoreError{Replica: report.Replica, Why: reason}
}

// hearOf takes in what another seat remembers of a third one.
func (r *PeerTable) observeRelayed(relayed PeerRecord) {
	if relayed.Replica == 0 || relayed.Replica == r.self {
		return
	}
	peer := r.replicas[relayed.Replica]
	if peer == nil {
		peer = &peerState{firstReportAfter: r.sequence + 1}
		r.replicas[relayed.Replica] = peer
	}
	peer.relayed.merge(relayed)
}

// tellOf returns what is remembered of a third seat, each in its turn, for another one that may have to refuse it: none where there is no
// third, or where it was told so last.
func (r *PeerTable) nextRelayed(to ReplicaID) PeerRecord {
	others := make([]ReplicaID, 0, len(r.replicas))
	for id, peer := range r.replicas {
		if known := peer.runID != 0 || peer.relayed.RunID != 0; known && id != to {
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return PeerRecord{}
	}
	slices.Sort(others)
	r.relayTurn++
	id := others[r.relayTurn%len(others)]
	record := r.replicas[id].record(id)
	record.merge(r.replicas[id].relayed)
	pair := [2]ReplicaID{to, id}
	if record == r.lastRelayed[pair] && r.relayTurn%relayAgainEvery != 0 {
		return PeerRecord{}
	}
	r.lastRelayed[pair] = record
	return record
}
