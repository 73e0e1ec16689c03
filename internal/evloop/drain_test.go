package evloop

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// refuseAll returns the address of a listener that answers each connection with a last line, and its connections.
func refuseAll(t *testing.T, l *Loop) (addr string, conns func() []*Conn) {
	t.Helper()
	var all []*Conn // belongs to the loop
	ln, err := l.Listen("127.0.0.1:0", func(k *Conn) Handler {
		all = append(all, k)
		k.Write([]byte("ERR\r\n"))
		k.LingeringClose()
		return newRecorder()
	})
	require.NoError(t, err)
	t.Cleanup(ln.Close)
	return ln.Addr(), func() []*Conn { return all }
}

// With 300 clients that sent 60 MB each without the end of a line, another client waited for 1.4 s: the loop discarded whatever
// they sent as fast as it came. What they send is left to the kernel, and read in rounds of limited size.
func TestWhatLingeringPeersSendIsReadInLimitedRounds(t *testing.T) {
	const peers, sent = 16, 512 << 10
	l := startLoop(t)
	addr, conns := refuseAll(t, l)
	var all sync.WaitGroup
	failures := make(chan error, peers)
	for range peers {
		all.Go(func() {
			got, err := sendThenRead(addr, sent)
			if err != nil || got != "ERR\r\n" {
				failures <- fmt.Errorf("got %q, %v", got, err)
			}
		})
	}
	all.Wait()
	assert.Empty(t, failures, "a peer that is still sending reads the last output")
	l.Call(func() {
		assert.Len(t, conns(), peers)
		for _, k := range conns() {
			assert.LessOrEqual(t, k.linger.dropped, drainAfter+readSize, "read at once by the loop")
		}
	})
	require.Eventually(t, func() (over bool) {
		l.Call(func() { over = l.Conns() == 0 && l.Lingering() == 0 && len(l.drainer.queue) == 0 })
		return over
	}, 10*time.Second, time.Millisecond)
	l.Call(func() { assert.Positive(t, l.drainer.discarded) })
}

// sendThenRead sends bytes without reading, and then returns all that comes.
func sendThenRead(addr string, size int) (string, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if _, err := c.Write(make([]byte, size)); err != nil {
		return "", err
	}
	got, err := io.ReadAll(c)
	return string(got), err
}

// However many peers send, a round reads a limited number of bytes, and each connection has its turn.
func TestRoundOfTheDrainerIsLimitedAndFair(t *testing.T) {
	const peers = drainReads / 4
	l := startLoop(t)
	addr, conns := refuseAll(t, l)
	for range peers {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		go func() {
			for err := error(nil); err == nil; {
				_, err = c.Write(make([]byte, 1<<16))
			}
		}()
	}
	require.Eventually(t, func() (draining bool) {
		l.Call(func() { draining = len(l.drainer.queue) == peers })
		return draining
	}, 10*time.Second, time.Millisecond)
	l.Call(func() {
		before := l.drainer.discarded
		l.drainer.round()
		assert.LessOrEqual(t, l.drainer.discarded-before, drainReads*drainReadSize)
		assert.Len(t, l.drainer.queue, peers)
		for _, k := range conns() {
			k.evict()
		}
		assert.Zero(t, l.Conns())
	})
}
