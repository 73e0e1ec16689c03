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

// long returns a message of so many pieces that differs from others.
func longMessage(pieces int, mark byte) []byte {
	raw := make([]byte, pieces*chunkBytes-7)
	for i := range raw {
		raw[i] = byte(i>>8) ^ byte(i>>16) ^ mark
	}
	return raw
}

// TestLongMessagesArriveWhole over a network that loses, doubles and delays pieces and answers, to a receiver that loses
// what it has once. Each arrives at most once and none is mixed up; the last one arrives when the network is whole.
func TestLongMessagesArriveWhole(t *testing.T) {
	type inTransit struct {
		at time.Duration
		p  *Chunk
		h  *ChunkAck
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
					packet.at += 2 * time.Second // late: the piece has been sent again
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
			if lossy && rng.IntN(3000) == 0 { // all is cut off for longer than a message is tried
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
				transmit(now, inTransit{p: p}, lossy)
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
				if packet.h != nil {
					sender.Ack(*packet.h)
					continue
				}
				whole, ack := receiver.Receive(now, *packet.p)
				if whole != nil {
					mark := whole[0]
					require.True(t, bytes.Equal(whole, longMessage((len(whole)+7)/chunkBytes, mark)), "it is not what was sent")
					received[mark]++
					arrived++
				}
				transmit(now, inTransit{h: &ack}, lossy)
			}
		}
		assert.Equal(t, 1, received[last], "the last one has not come")
		for mark, n := range received { // a receiver that forgot all may get one twice, as raft bears
			assert.LessOrEqual(t, n, 2, mark)
		}
		assert.True(t, receiver.data == nil && sender.current == nil)
	})
	assert.NotZero(t, dropped, "none was given up")
	t.Logf("%d arrived, %d given up", arrived, dropped)
}

// TestPiecesAreBounded: what makes no sense, or would be too long, takes no memory and is given up by its sender.
func TestPiecesAreBounded(t *testing.T) {
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
	assert.Equal(t, uint64(1), ack.Received, "it is of another message")
	receiver.Expire(chunkExpiry + 1)
	assert.True(t, receiver.data == nil)
	receiver.Receive(0, Chunk{RunID: 1, MessageID: 2, Count: 2, Data: part})
	receiver.Receive(0, Chunk{RunID: 1, MessageID: 1, Count: 2, Data: part})
	assert.Equal(t, uint64(2), receiver.messageID, "a late piece of the message before ends nothing")

	sender := NewChunkSender(1)
	sender.Enqueue(longMessage(3, 1))
	sender.Enqueue(longMessage(2, 2))
	sender.Enqueue(longMessage(4, 3))
	dropped, pieces := 0, 0
	for now := time.Duration(0); now < time.Minute; now += chunkResendAfter {
		p, n := sender.Next(now)
		dropped += n
		if p != nil {
			pieces++
		}
	}
	assert.Equal(t, 7*chunkBytes-14, dropped, "the second one was overtaken while it waited")
	assert.Equal(t, 2*chunkAttempts, pieces)
	sender.Enqueue(longMessage(3, 4))
	for begun := range chunkAttempts { // a receiver that loses all each time
		p, _ := sender.Next(0)
		require.True(t, p != nil, begun)
		assert.Zero(t, p.Index)
		sender.Ack(ChunkAck{1, p.MessageID, 1})
		sender.Next(0)
		sender.Ack(ChunkAck{1, p.MessageID, 0})
	}
	p, n := sender.Next(0)
	assert.True(t, p == nil, "it is begun once more")
	assert.Equal(t, 3*chunkBytes-7, n)
}

// TestASnapshotThatGoesOnIsNotBegunAnew, as one is of which nothing more was heard.
func TestASnapshotThatGoesOnIsNotBegunAnew(t *testing.T) {
	for _, progressing := range []bool{false, true} {
		forEachSeed(t, 5, func(t *testing.T, seed uint64) {
			cl := newNet(t, seed, 3)
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
			cl.runUntil(100, "a snapshot is under way", func() bool { return state() == tracker.StateSnapshot })
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
