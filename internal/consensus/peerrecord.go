package consensus

import (
	"fmt"
	"slices"
)

// This file holds what a replica remembers about another one. It relays these records to third replicas, which refuse a
// stale store on their evidence.

// relayAgainEvery is the interval, in records chosen by nextRelayed, at which an unchanged record is relayed again: it
// may have been lost.
const relayAgainEvery = 16

// PeerRecord is what a replica remembers about another one; peerpb.Remembered is its wire form. The zero value means
// that nothing is known.
type PeerRecord struct {
	Replica          ReplicaID
	OpenCount, RunID uint64 // of the latest process that reported: its store's open count and its random ID
	Term             uint64
	Vote             ReplicaID // in Term; 0: none known
	Acked            uint64    // last log index in Term, as reported by the replica or acknowledged in a raft message
	Committed        uint64
}

// PeerRecord returns what this replica remembers about another one.
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

// merge adds what another replica remembers about the same one.
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

// missingFrom compares a report from a new process of the replica with what is remembered of its earlier processes. It
// returns a *StaleStoreError that names the first thing the store has lost, or nil if nothing is missing.
func (m PeerRecord) missingFrom(report SelfReport) error {
	reason := ""
	switch {
	case report.OpenCount < m.OpenCount:
		reason = fmt.Sprintf("this is opening number %d of the store, but opening number %d was seen before", report.OpenCount, m.OpenCount)
	case report.Term < m.Term:
		reason = fmt.Sprintf("it is in term %d, and was in term %d before", report.Term, m.Term)
	case report.Term == m.Term && m.Vote != 0 && report.Vote != m.Vote:
		reason = fmt.Sprintf("its vote in term %d differs from the one it gave before", report.Term)
	case report.Term == m.Term && report.LastIndex < m.Acked:
		reason = fmt.Sprintf("its log ends at %d, but in term %d it reached %d", report.LastIndex, m.Term, m.Acked)
	case report.LastIndex < m.Committed:
		reason = fmt.Sprintf("its log ends at %d, but it knew of commit index %d", report.LastIndex, m.Committed)
	default:
		return nil
	}
	return &StaleStoreError{Replica: report.Replica, Why: reason}
}

// observeRelayed stores what another replica remembers about a third one.
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

// nextRelayed returns what is remembered about a third replica, for replica to, which may have to refuse that replica's
// store. It cycles through all third replicas. The result is the zero value if there is none, or if to was last sent
// the same record.
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
