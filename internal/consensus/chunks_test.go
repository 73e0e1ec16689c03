package consensus

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// longMessage returns a message of this many chunks that differs from messages with another mark.
func longMessage(chunks int, mark byte) []byte {
	raw := make([]byte, chunks*chunkBytes-7)
	for i := range raw {
		raw[i] = byte(i>>8) ^ byte(i>>16) ^ mark
	}
	return raw
}

// Long messages are sent over a network that loses, duplicates and delays chunks and acknowledgements, to a receiver
// that sometimes loses its state. Each message must arrive unmixed and at most once, except after a loss of the
// receiver's state; the last one must arrive once the network is reliable.
func TestLongMessagesArriveWhole(t *testing.T) {
	type inTransit struct {
		at    time.Duration
		chunk *Chunk
		ack   *ChunkAck
	}
	arrived, dropped := 0, 0
	forEachSeed(t, 20, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 5))
		sender, receiver := NewChunkSender(seed+1), &ChunkReceiver{}
		var network []inTransit
		transmit := func(now time.Duration, packet inTransit, lossy bool) {
			for range 1 + btoi(lossy && rng.IntN(8) == 0) {
				packet.at = now + time.Duration(1+rng.IntN(40))*time.Millisecond
				if lossy && rng.IntN(8) == 0 {
					packet.at += 2 * time.Second // late: the chunk has been resent
				}
				if !lossy || rng.IntN(8) > 0 {
					network = append(network, packet)
				}
			}
		}
		sent, received := 0, map[byte]int{}
		last, ended := byte(0), false
		for now := time.Duration(0); now < 200*time.Second; now += 10 * time.Millisecond {
			lossy := now < 100*time.Second
			if lossy && rng.IntN(200) == 0 || !lossy && !ended {
				ended = !lossy
				sent++
				last = byte(sent)
				sender.Enqueue(longMessage(1+rng.IntN(6), last))
			}
			if rng.IntN(5000) == 0 && lossy {
				receiver = &ChunkReceiver{}
			}
			if lossy && rng.IntN(3000) == 0 { // everything is cut off for longer than a message is retried
				network = nil
				for range 20 {
					now += chunkResendAfter
					if _, n := sender.Next(now); n > 0 {
						dropped++
					}
				}
			}
			receiver.Expire(now)
			if p, n := sender.Next(now); p != nil {
				transmit(now, inTransit{chunk: p}, lossy)
			} else if n > 0 {
				dropped++
			}
			for i := 0; i < len(network); i++ {
				packet := network[i]
				if packet.at > now {
					continue
				}
				network = append(network[:i:i], network[i+1:]...)
				i--
				if packet.ack != nil {
					sender.Ack(*packet.ack)
					continue
				}
				whole, ack := receiver.Receive(now, *packet.chunk)
				if whole != nil {
					mark := whole[0]
					require.True(t, bytes.Equal(whole, longMessage((len(whole)+7)/chunkBytes, mark)), "the reassembled message differs from what was sent")
					received[mark]++
					arrived++
				}
				transmit(now, inTransit{ack: &ack}, lossy)
			}
		}
		assert.Equal(t, 1, received[last], "the last message has not arrived exactly once")
		for mark, n := range received { // a receiver that lost its state may get a message twice, which raft tolerates
			assert.LessOrEqual(t, n, 2, mark)
		}
		assert.True(t, receiver.data == nil && sender.current == nil)
	})
	assert.NotZero(t, dropped, "no message was given up")
	t.Logf("%d messages arrived, %d were given up", arrived, dropped)
}

// Chunks that are invalid, or whose message would be too long, take no memory, and their sender gives up.
func TestChunksAreBounded(t *testing.T) {
	receiver := &ChunkReceiver{}
	part := make([]byte, chunkBytes)
	for _, p := range []Chunk{
		{RunID: 1, MessageID: 1, Count: maxMessageBytes/chunkBytes + 1, Data: part},
		{RunID: 1, MessageID: 1, Count: 2, Data: append(part, 0)},
		{RunID: 1, MessageID: 1, Index: 1, Count: 2, Data: part},
		{RunID: 1, MessageID: 1, Index: 2, Count: 2, Data: part},
		{RunID: 1, MessageID: 1, Count: 2},
	} {
		whole, ack := receiver.Receive(0, p)
		assert.Nil(t, whole)
		assert.Zero(t, ack.Received)
		assert.Empty(t, receiver.data)
	}
	receiver.Receive(0, Chunk{RunID: 1, MessageID: 1, Count: 2, Data: part})
	assert.Len(t, receiver.data, chunkBytes)
	_, ack := receiver.Receive(0, Chunk{RunID: 1, MessageID: 1, Index: 1, Count: 3, Data: part})
	assert.Equal(t, uint64(1), ack.Received, "a chunk with another count is of another message")
	receiver.Expire(chunkExpiry + 1)
	assert.True(t, receiver.data == nil)
	receiver.Receive(0, Chunk{RunID: 1, MessageID: 2, Count: 2, Data: part})
	receiver.Receive(0, Chunk{RunID: 1, MessageID: 1, Count: 2, Data: part})
	assert.Equal(t, uint64(2), receiver.messageID, "a late chunk of the previous message does not end the current one")

	sender := NewChunkSender(1)
	sender.Enqueue(longMessage(3, 1))
	sender.Enqueue(longMessage(2, 2))
	sender.Enqueue(longMessage(4, 3))
	dropped, chunks := 0, 0
	for now := time.Duration(0); now < time.Minute; now += chunkResendAfter {
		p, n := sender.Next(now)
		dropped += n
		if p != nil {
			chunks++
		}
	}
	assert.Equal(t, 7*chunkBytes-14, dropped, "the second message was replaced by a newer one in the queue")
	assert.Equal(t, 2*chunkAttempts, chunks)
	sender.Enqueue(longMessage(3, 4))
	for begun := range chunkAttempts { // a receiver that loses its state each time
		p, _ := sender.Next(0)
		require.True(t, p != nil, begun)
		assert.Zero(t, p.Index)
		sender.Ack(ChunkAck{1, p.MessageID, 1})
		sender.Next(0)
		sender.Ack(ChunkAck{1, p.MessageID, 0})
	}
	p, n := sender.Next(0)
	assert.True(t, p == nil, "the message was started once more than allowed")
	assert.Equal(t, 3*chunkBytes-7, n)
}

// A snapshot transfer of which no progress is reported is restarted, but not one that progresses.
func TestASnapshotInProgressIsNotRestarted(t *testing.T) {
	for _, progressing := range []bool{false, true} {
		forEachSeed(t, 5, func(t *testing.T, seed uint64) {
			cl := newCluster(t, seed, 3)
			cl.commitEntry()
			cl.awaitConverged()
			leader := cl.leader().replica
			id := cl.leader().id%3 + 1
			state := func() (st tracker.StateType) {
				leader.node.WithProgress(func(of uint64, _ raft.ProgressType, p tracker.Progress) {
					if of == uint64(id) {
						st = p.State
					}
				})
				return st
			}
			cl.isolate(id)
			for range 50 {
				cl.commitEntry()
			}
			clear(cl.cut)
			cl.runUntil(100, "a snapshot is being sent", func() bool { return state() == tracker.StateSnapshot })
			cl.isolate(id)
			cl.queue = nil
			stillSending := true
			for range 60 {
				if progressing {
					leader.SnapshotProgress(id)
				}
				cl.ticks(1)
				stillSending = stillSending && state() == tracker.StateSnapshot
			}
			require.Equal(t, progressing, stillSending)
		})
	}
}
