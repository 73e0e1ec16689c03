package consensus

import "time"

// This file splits messages that are too long for one RPC into chunks and reassembles them: raft needs a snapshot in
// one message. Each replica is sent one message at a time, one chunk at a time. A chunk is resent until the receiver
// has it or the attempts are used up; the message is then lost, as any message may be, and raft sends its content
// again. Of the long messages that arrive meanwhile only the newest is queued.

const (
	// MaxCallBytes limits the total size of the messages in one RPC, and so of a message that is not split. A peer
	// accepts 1 MiB per RPC (peer.Limits.MaxBody); a quarter of that is left for the replicas' reports.
	MaxCallBytes = 768 << 10
	// chunkBytes is the size of a chunk. It must arrive within peer.ClientLimits.ShortTimeout, 1 s, which it does above
	// 2 Mbit/s.
	chunkBytes = 256 << 10
	// maxMessageBytes is the longest message that is reassembled: a state with 3,000 records of 60 KiB, base64-encoded
	// twice, is 312 MiB.
	maxMessageBytes = 512 << 20
	// chunkResendAfter is when a chunk is resent: a little after the RPC that carried it has timed out.
	chunkResendAfter = 1500 * time.Millisecond
	// chunkAttempts is how often a chunk is sent, and how often a message is started.
	chunkAttempts = 4
	// chunkExpiry is when the receiver discards an incomplete message; by then its sender has given up.
	chunkExpiry = chunkResendAfter * (chunkAttempts + 1)
)

// Chunk is a part of a long message; peerpb.Piece is its wire form.
type Chunk struct {
	RunID     uint64 // ID of the sender's process
	MessageID uint64 // number of the message, increasing within a process
	Index     uint64 // from 0
	Count     uint64
	Data      []byte
}

// ChunkAck is the receiver's answer to a chunk: how many chunks of the message it has, counted from the first.
type ChunkAck struct{ RunID, MessageID, Received uint64 }

// ChunkSender sends long messages to one replica.
type ChunkSender struct {
	runID     uint64
	messageID uint64
	current   []byte // nil: no message is being sent
	queued    []byte // the newest message enqueued since
	index     uint64 // of the chunk to send next, or in flight
	inFlight  bool
	sentAt    time.Duration
	attempts  int // of this chunk
	starts    int // how often sending the message was started
}

// NewChunkSender returns a sender for the process with this ID.
func NewChunkSender(runID uint64) *ChunkSender { return &ChunkSender{runID: runID} }

// Enqueue adds a message to send.
func (c *ChunkSender) Enqueue(raw []byte) {
	if c.current != nil {
		c.queued = raw
		return
	}
	*c = ChunkSender{runID: c.runID, messageID: c.messageID + 1, current: raw, starts: 1}
}

func (c *ChunkSender) count() uint64 { return uint64((len(c.current) + chunkBytes - 1) / chunkBytes) }

// Next returns the chunk to send now, if any. dropped is the length of a message that was given up, or 0.
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

// Ack processes a receiver's acknowledgement and reports whether more of the message has arrived.
func (c *ChunkSender) Ack(ack ChunkAck) bool {
	switch {
	case c.current == nil || ack.RunID != c.runID || ack.MessageID != c.messageID || ack.Received > c.count():
	case ack.Received == c.count():
		c.finish()
		return true
	case ack.Received > c.index:
		c.index, c.inFlight, c.attempts = ack.Received, false, 0
		return true
	case ack.Received == 0 && c.index > 0: // the receiver has lost the chunks that it had
		c.index, c.inFlight, c.attempts = 0, false, 0
		c.starts++
	}
	return false
}

// ChunkReceiver reassembles the long messages of one replica.
type ChunkReceiver struct {
	runID, messageID uint64
	count            uint64
	received         uint64
	data             []byte
	lastAt           time.Duration // when the last chunk arrived
}

// Receive processes a chunk. whole is the complete message when its last chunk arrives, otherwise nil.
func (j *ChunkReceiver) Receive(now time.Duration, chunk Chunk) (whole []byte, ack ChunkAck) {
	ack = ChunkAck{RunID: chunk.RunID, MessageID: chunk.MessageID}
	if len(chunk.Data) == 0 || len(chunk.Data) > chunkBytes || chunk.Index >= chunk.Count || chunk.Count > maxMessageBytes/chunkBytes ||
		chunk.RunID == j.runID && chunk.MessageID < j.messageID { // a late chunk: its sender has moved on to the next message
		return nil, ack
	}
	if chunk.RunID != j.runID || chunk.MessageID != j.messageID {
		if chunk.Index > 0 { // the earlier chunks are missing
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

// Expire discards an incomplete message of which nothing has arrived for chunkExpiry.
func (j *ChunkReceiver) Expire(now time.Duration) {
	if j.data != nil && now-j.lastAt > chunkExpiry {
		*j = ChunkReceiver{}
	}
}
