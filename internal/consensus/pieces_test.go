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
func long(pieces int, mark byte) []byte {
	raw := make([]byte, pieces*pieceBytes-7)
	for i := range raw {
		raw[i] = byte(i>>8) ^ byte(i>>16) ^ mark
	}
	return raw
}

// TestLongMessagesArriveWhole over a network that loses, doubles and delays pieces and answers, to a receiver that loses
// what it has once. Each arrives at most once and none is mixed up; the last one arrives when the network is whole.
func TestLongMessagesArriveWhole(t *testing.T) {
	type under struct {
		at time.Duration
		p  *Piece
		h  *Has
	}
	arrived, lost := 0, 0
	seeded(t, 20, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 5))
		c, j := NewCutter(seed+1), &Joiner{}
		var net []under
		put := func(now time.Duration, u under, lossy bool) {
			for range 1 + btoi(lossy && rng.IntN(8) == 0) {
				u.at = now + time.Duration(1+rng.IntN(40))*time.Millisecond
				if lossy && rng.IntN(8) == 0 {
					u.at += 2 * time.Second // late: the piece has been sent again
				}
				if !lossy || rng.IntN(8) > 0 {
					net = append(net, u)
				}
			}
		}
		sent, got := 0, map[byte]int{}
		last, ended := byte(0), false
		for now := time.Duration(0); now < 200*time.Second; now += 10 * time.Millisecond {
			lossy := now < 100*time.Second
			if lossy && rng.IntN(200) == 0 || !lossy && !ended {
				ended = !lossy
				sent++
				last = byte(sent)
				c.Add(long(1+rng.IntN(6), last))
			}
			if rng.IntN(5000) == 0 && lossy {
				j = &Joiner{}
			}
			if lossy && rng.IntN(3000) == 0 { // all is cut off for longer than a message is tried
				net = nil
				for range 20 {
					now += pieceAgain
					if _, n := c.Next(now); n > 0 {
						lost++
					}
				}
			}
			j.Forget(now)
			if p, n := c.Next(now); p != nil {
				put(now, under{p: p}, lossy)
			} else if n > 0 {
				lost++
			}
			for i := 0; i < len(net); i++ {
				u := net[i]
				if u.at > now {
					continue
				}
				net = append(net[:i:i], net[i+1:]...)
				i--
				if u.h != nil {
					c.Had(*u.h)
					continue
				}
				whole, h := j.Take(now, *u.p)
				if whole != nil {
					mark := whole[0]
					require.True(t, bytes.Equal(whole, long((len(whole)+7)/pieceBytes, mark)), "it is not what was sent")
					got[mark]++
					arrived++
				}
				put(now, under{h: &h}, lossy)
			}
		}
		assert.Equal(t, 1, got[last], "the last one has not come")
		for mark, n := range got { // a receiver that forgot all may get one twice, as raft bears
			assert.LessOrEqual(t, n, 2, mark)
		}
		assert.True(t, j.parts == nil && c.under == nil)
	})
	assert.NotZero(t, lost, "none was given up")
	t.Logf("%d arrived, %d given up", arrived, lost)
}

// TestPiecesAreBounded: what makes no sense, or would be too long, takes no memory and is given up by its sender.
func TestPiecesAreBounded(t *testing.T) {
	j := &Joiner{}
	part := make([]byte, pieceBytes)
	for _, p := range []Piece{
		{Run: 1, Of: 1, Count: mostMessage/pieceBytes + 1, Part: part},
		{Run: 1, Of: 1, Count: 2, Part: append(part, 0)},
		{Run: 1, Of: 1, Number: 1, Count: 2, Part: part},
		{Run: 1, Of: 1, Number: 2, Count: 2, Part: part},
		{Run: 1, Of: 1, Count: 2},
	} {
		whole, h := j.Take(0, p)
		assert.Nil(t, whole)
		assert.Zero(t, h.Number)
		assert.Empty(t, j.parts)
	}
	j.Take(0, Piece{Run: 1, Of: 1, Count: 2, Part: part})
	assert.Len(t, j.parts, pieceBytes)
	_, h := j.Take(0, Piece{Run: 1, Of: 1, Number: 1, Count: 3, Part: part})
	assert.Equal(t, uint64(1), h.Number, "it is of another message")
	j.Forget(pieceForget + 1)
	assert.True(t, j.parts == nil)
	j.Take(0, Piece{Run: 1, Of: 2, Count: 2, Part: part})
	j.Take(0, Piece{Run: 1, Of: 1, Count: 2, Part: part})
	assert.Equal(t, uint64(2), j.of, "a late piece of the message before ends nothing")

	c := NewCutter(1)
	c.Add(long(3, 1))
	c.Add(long(2, 2))
	c.Add(long(4, 3))
	lost, pieces := 0, 0
	for now := time.Duration(0); now < time.Minute; now += pieceAgain {
		p, n := c.Next(now)
		lost += n
		if p != nil {
			pieces++
		}
	}
	assert.Equal(t, 7*pieceBytes-14, lost, "the second one was overtaken while it waited")
	assert.Equal(t, 2*pieceTries, pieces)
	c.Add(long(3, 4))
	for begun := range pieceTries { // a receiver that loses all each time
		p, _ := c.Next(0)
		require.True(t, p != nil, begun)
		assert.Zero(t, p.Number)
		c.Had(Has{1, p.Of, 1})
		c.Next(0)
		c.Had(Has{1, p.Of, 0})
	}
	p, n := c.Next(0)
	assert.True(t, p == nil, "it is begun once more")
	assert.Equal(t, 3*pieceBytes-7, n)
}

// TestASnapshotThatGoesOnIsNotBegunAnew, as one is of which nothing more was heard.
func TestASnapshotThatGoesOnIsNotBegunAnew(t *testing.T) {
	for _, going := range []bool{false, true} {
		seeded(t, 5, func(t *testing.T, seed uint64) {
			w := newNet(t, seed, 3)
			w.agree()
			w.same()
			leader := w.leader().seat
			id := w.leader().id%3 + 1
			state := func() (st tracker.StateType) {
				leader.rn.WithProgress(func(of uint64, _ raft.ProgressType, p tracker.Progress) {
					if of == uint64(id) {
						st = p.State
					}
				})
				return st
			}
			w.part(id)
			for range 50 {
				w.agree()
			}
			clear(w.cut)
			w.until(100, "a snapshot is under way", func() bool { return state() == tracker.StateSnapshot })
			w.part(id)
			w.queue = nil
			kept := true
			for range 60 {
				if going {
					leader.Going(id)
				}
				w.steps(1)
				kept = kept && state() == tracker.StateSnapshot
			}
			require.Equal(t, going, kept)
		})
	}
}
