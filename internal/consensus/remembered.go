package consensus

import (
	"fmt"
	"slices"
)

// This file is what a seat remembers of another one, and tells a third: an older store is refused by it.

// tellAnewEvery is how many claims come between two that tell the same once more: one may have been lost.
const tellAnewEvery = 16

// Remembered is what a seat remembers of another one. The zero value: nothing.
type Remembered struct {
	Seat      SeatID
	Boot, Run uint64 // of the store's opening and of the process that was heard last
	Term      uint64
	Vote      SeatID // in Term; 0: none known
	Acked     uint64 // the log's end in Term, by its own word or an acknowledgement
	Committed uint64
}

// Remembered returns what this seat remembers of another one.
func (s *Seat) Remembered(id SeatID) Remembered {
	h := s.register.seats[id]
	if h == nil {
		return Remembered{}
	}
	return h.remembered(id)
}

func (h *heard) remembered(id SeatID) Remembered {
	return Remembered{Seat: id, Boot: h.boot, Run: h.run, Term: h.term, Vote: h.vote, Acked: h.acked, Committed: h.committed}
}

// merge takes in what another seat remembers of the same one.
func (m *Remembered) merge(o Remembered) {
	if o.Boot > m.Boot {
		m.Boot, m.Run = o.Boot, o.Run
	}
	if o.Term > m.Term {
		m.Term, m.Vote, m.Acked = o.Term, 0, 0
	}
	if o.Term == m.Term {
		m.Acked = max(m.Acked, o.Acked)
		if m.Vote == 0 {
			m.Vote = o.Vote
		}
	}
	m.Committed = max(m.Committed, o.Committed)
}

// lacking returns what a store lacks, by the claim of a process of it, that an earlier process of the seat is remembered to have had; nil
// where it lacks nothing.
func (m Remembered) lacking(c Claim) error {
	why := ""
	switch {
	case c.Boot < m.Boot:
		why = fmt.Sprintf("opened for the %dth time, and has been for the %dth", c.Boot, m.Boot)
	case c.Term < m.Term:
		why = fmt.Sprintf("it stands in term %d, and stood in %d", c.Term, m.Term)
	case c.Term == m.Term && m.Vote != 0 && c.Vote != m.Vote:
		why = fmt.Sprintf("its vote in term %d is another one", c.Term)
	case c.Term == m.Term && c.Last < m.Acked:
		why = fmt.Sprintf("its log ends at %d, and in term %d it had %d", c.Last, m.Term, m.Acked)
	case c.Last < m.Committed:
		why = fmt.Sprintf("its log ends at %d, and it knew that %d were agreed on", c.Last, m.Committed)
	default:
		return nil
	}
	return &OldStoreError{Seat: c.Seat, Why: why}
}

// hearOf takes in what another seat remembers of a third one.
func (r *Register) hearOf(o Remembered) {
	if o.Seat == 0 || o.Seat == r.self {
		return
	}
	h := r.seats[o.Seat]
	if h == nil {
		h = &heard{since: r.sent + 1}
		r.seats[o.Seat] = h
	}
	h.told.merge(o)
}

// tellOf returns what is remembered of a third seat, each in its turn, for another one that may have to refuse it: none where there is no
// third, or where it was told so last.
func (r *Register) tellOf(to SeatID) Remembered {
	thirds := make([]SeatID, 0, len(r.seats))
	for id, h := range r.seats {
		if known := h.run != 0 || h.told.Run != 0; known && id != to {
			thirds = append(thirds, id)
		}
	}
	if len(thirds) == 0 {
		return Remembered{}
	}
	slices.Sort(thirds)
	r.turn++
	id := thirds[r.turn%len(thirds)]
	all := r.seats[id].remembered(id)
	all.merge(r.seats[id].told)
	pair := [2]SeatID{to, id}
	if all == r.on[pair] && r.turn%tellAnewEvery != 0 {
		return Remembered{}
	}
	r.on[pair] = all
	return all
}
