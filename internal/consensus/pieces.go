package consensus

import "time"

// This file takes messages apart that are too long for one call, and puts them together again: raft wants a snapshot in
// one message. To each seat one message is under way, one piece of it at a time, which is sent again until the receiver
// has it or the tries are used up; then the message is lost, as any may be, and raft says anew what it said. Of further
// long messages the newest waits.

const (
	// CallBytes is what messages in one call may take together, and so one that is not cut: of the 1 MiB that a peer takes in a
	// call (peer.Limits.Body), a quarter is left for what seats say of themselves.
	CallBytes = 768 << 10
	// pieceBytes is the length of a piece. It has to arrive within peer.ClientLimits.Quick, 1 s: over 2 Mbit/s it does.
	pieceBytes = 256 << 10
	// mostMessage is the longest message that is put together: a state with 3,000 records of 60 KiB, twice in base64, is 312 MiB.
	mostMessage = 512 << 20
	// pieceAgain is when a piece is sent again: a little after the call with it was given up.
	pieceAgain = 1500 * time.Millisecond
	// pieceTries is how often a piece is sent, and how often a message is begun.
	pieceTries = 4
	// pieceForget is when a message of which nothing more comes is given up by its receiver: its sender has done so before.
	pieceForget = pieceAgain * (pieceTries + 1)
)

// Piece is a part of a message.
type Piece struct {
	Run    uint64 // of the sender's process
	Of     uint64 // the message: counts up in a run
	Number uint64 // from 0
	Count  uint64
	Part   []byte
}

// Has is what a receiver answers to a piece: how many pieces of the message it has, from the first one on.
type Has struct{ Run, Of, Number uint64 }

// Cutter sends long messages to one seat.
type Cutter struct {
	run    uint64
	of     uint64
	under  []byte // nil: nothing is under way
	wait   []byte // the newest that came since
	number uint64 // of the piece that is due or out
	out    bool
	since  time.Duration
	tries  int // of this piece
	begun  int // how often the message was
}

// NewCutter returns the sender of a process.
func NewCutter(run uint64) *Cutter { return &Cutter{run: run} }

// Add takes a message to send.
func (c *Cutter) Add(raw []byte) {
	if c.under != nil {
		c.wait = raw
		return
	}
	*c = Cutter{run: c.run, of: c.of + 1, under: raw, begun: 1}
}

func (c *Cutter) count() uint64 { return uint64((len(c.under) + pieceBytes - 1) / pieceBytes) }

// Next returns the piece that is to be sent now, if any; lost is the length of a message that was given up.
func (c *Cutter) Next(now time.Duration) (p *Piece, lost int) {
	if c.under == nil || c.out && now-c.since < pieceAgain {
		return nil, 0
	}
	if c.tries >= pieceTries || c.begun > pieceTries || len(c.under) > mostMessage {
		lost = len(c.under)
		c.over()
		p, _ = c.Next(now)
		return p, lost
	}
	c.out, c.since = true, now
	c.tries++
	from := c.number * pieceBytes
	return &Piece{c.run, c.of, c.number, c.count(), c.under[from:min(from+pieceBytes, uint64(len(c.under)))]}, 0
}

func (c *Cutter) over() {
	raw := c.wait
	c.under, c.wait = nil, nil
	if raw != nil {
		c.Add(raw)
	}
}

// Had takes a receiver's word in, and says whether more of the message has arrived.
func (c *Cutter) Had(h Has) bool {
	switch {
	case c.under == nil || h.Run != c.run || h.Of != c.of || h.Number > c.count():
	case h.Number == c.count():
		c.over()
		return true
	case h.Number > c.number:
		c.number, c.out, c.tries = h.Number, false, 0
		return true
	case h.Number == 0 && c.number > 0: // it has lost what it had
		c.number, c.out, c.tries = 0, false, 0
		c.begun++
	}
	return false
}

// Joiner puts the long messages of one seat together.
type Joiner struct {
	run, of uint64
	count   uint64
	has     uint64
	parts   []byte
	at      time.Duration // of the last piece
}

// Take takes a piece in. Whole is not nil once, with the last piece.
func (j *Joiner) Take(now time.Duration, p Piece) (whole []byte, h Has) {
	h = Has{Run: p.Run, Of: p.Of}
	if len(p.Part) == 0 || len(p.Part) > pieceBytes || p.Number >= p.Count || p.Count > mostMessage/pieceBytes ||
		p.Run == j.run && p.Of < j.of { // the last one is late: its sender has gone on
		return nil, h
	}
	if p.Run != j.run || p.Of != j.of {
		if p.Number > 0 { // what came before it is not here
			return nil, h
		}
		*j = Joiner{run: p.Run, of: p.Of, count: p.Count}
	}
	if p.Number == j.has && p.Count == j.count {
		j.parts = append(j.parts, p.Part...)
		j.has++
		j.at = now
		if j.has == j.count {
			whole, j.parts = j.parts, nil
		}
	}
	h.Number = j.has
	return whole, h
}

// Forget gives up a message of which nothing has come for long.
func (j *Joiner) Forget(now time.Duration) {
	if j.parts != nil && now-j.at > pieceForget {
		*j = Joiner{}
	}
}
