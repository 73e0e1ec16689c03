package consensus

import "time"

// This file takes messages apart that are too long for one call, and puts them together again: raft wants a snapshot in
// one message. To each seat one message is under way, one piece of it at a time, which is sent again until the receiver
// has it or the tries are used up; then the message is lost, as any may be, and raft says anew what it said. Of further
// long messages the newest waits.

const (
	// CallBytes is what messages in one call may take together, and so one that is not cut: of the 1 MiB that a peer takes in a
	// call (peer.Limits.Body), a quarter is left for what seats say of themselves.
	MaxCallBytes = 768 << 10
	// pieceBytes is the length of a piece. It has to arrive within peer.ClientLimits.Quick, 1 s: over 2 Mbit/s it does.
	chunkBytes = 256 << 10
	// mostMessage is the longest message that is put together: a state with 3,000 records of 60 KiB, twice in base64, is 312 MiB.
	maxMessageBytes = 512 << 20
	// pieceAgain is when a piece is sent again: a little after the call with it was given up.
	chunkResendAfter = 1500 * time.Millisecond
	// pieceTries is how often a piece is sent, and how often a message is begun.
	chunkAttempts = 4
	// pieceForget is when a message of which nothing more comes is given up by its receiver: its sender has done so before.
	chunkExpiry = chunkResendAfter * (chunkAttempts + 1)
)

// Piece is a part of a message.
type Chunk struct {
	RunID     uint64 // of the sender's process
	MessageID uint64 // the message: counts up in a run
	Index     uint64 // from 0
	Count     uint64
	Data      []byte
}

// Has is what a receiver answers to a piece: how many pieces of the message it has, from the first one on.
type ChunkAck struct{ RunID, MessageID, Received uint64 }

// Cutter sends long messages to one seat.
type ChunkSender struct {
	runID     uint64
	messageID uint64
	current   []byte // nil: nothing is under way
	queued    []byte // the newest that came since
	index     uint64 // of the piece that is due or out
	inFlight  bool
	sentAt    time.Duration
	attempts  int // of this piece
	starts    int // how often the message was
}

// NewCutter returns the sender of a process.
func NewChunkSender(run uint64) *ChunkSender { return &ChunkSender{runID: run} }

// Add takes a message to send.
func (c *ChunkSender) Enqueue(raw []byte) {
	if c.current != nil {
		c.queued = raw
		return
	}
	*c = ChunkSender{runID: c.runID, messageID: c.messageID + 1, current: raw, starts: 1}
}

func (c *ChunkSender) count() uint64 { return uint64((len(c.current) + chunkBytes - 1) / chunkBytes) }

// Next returns the piece that is to be sent now, if any; lost is the length of a message that was given up.
func (c *ChunkSender) Next(now time.Duration) (chunk *Chunk, dropped int) {
	if c.current == nil || c.inFlight && now-c.sentAt < chunkResendAfter {
		return nil, 0
	}
	if c.attempts >= chunkAttempts || c.starts > chunkAttempts || len(c.current) > maxMessageBytes {
		dropped = len(c.current)
		c.finish()
		chunk, _ = c.Next(now)
		return chunk, dropped
	}
	c.inFlight, c.sentAt = true, now
	c.attempts++
	offset := c.index * chunkBytes
	return &Chunk{c.runID, c.messageID, c.index, c.count(), c.current[offset:min(offset+chunkBytes, uint64(len(c.current)))]}, 0
}

func (c *ChunkSender) finish() {
	queued := c.queued
	c.current, c.queued = nil, nil
	if queued != nil {
		c.Enqueue(queued)
	}
}

// Had takes a receiver's word in, and says whether more of the message has arrived.
func (c *ChunkSender) Ack(ack ChunkAck) bool {
	switch {
	case c.current == nil || ack.RunID != c.runID || ack.MessageID != c.messageID || ack.Received > c.count():
	case ack.Received == c.count():
		c.finish()
		return true
	case ack.Received > c.index:
		c.index, c.inFlight, c.attempts = ack.Received, false, 0
		return true
	case ack.Received == 0 && c.index > 0: // it has lost what it had
		c.index, c.inFlight, c.attempts = 0, false, 0
		c.starts++
	}
	return false
}

// Joiner puts the long messages of one seat together.
type ChunkReceiver struct {
	runID, messageID uint64
	count            uint64
	received         uint64
	data             []byte
	lastAt           time.Duration // of the last piece
}

// Take takes a piece in. Whole is not nil once, with the last piece.
func (j *ChunkReceiver) Receive(now time.Duration, chunk Chunk) (whole []byte, ack ChunkAck) {
	ack = ChunkAck{RunID: chunk.RunID, MessageID: chunk.MessageID}
	if len(chunk.Data) == 0 || len(chunk.Data) > chunkBytes || chunk.Index >= chunk.Count || chunk.Count > maxMessageBytes/chunkBytes ||
		chunk.RunID == j.runID && chunk.MessageID < j.messageID { // the last one is late: its sender has gone on
		return nil, ack
	}
	if chunk.RunID != j.runID || chunk.MessageID != j.messageID {
		if chunk.Index > 0 { // what came before it is not here
			return nil, ack
		}
		*j = ChunkReceiver{runID: chunk.RunID, messageID: chunk.MessageID, count: chunk.Count}
	}
	if chunk.Index == j.received && chunk.Count == j.count {
		j.data = append(j.data, chunk.Data...)
		j.received++
		j.lastAt = now
		if j.received == j.count {
			whole, j.data = j.data, nil
		}
	}
	ack.Received = j.received
	return whole, ack
}

// Forget gives up a message of which nothing has come for long.
func (j *ChunkReceiver) Expire(now time.Duration) {
	if j.data != nil && now-j.lastAt > chunkExpiry {
		*j = ChunkReceiver{}
	}
}
