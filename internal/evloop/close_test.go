package evloop

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// recorder is a handler that records what its connection receives.
type recorder struct {
	conn     *Conn
	received []byte
	closed   chan error
}

func newRecorder() *recorder { return &recorder{closed: make(chan error, 1)} }

func (h *recorder) Opened() {}
func (h *recorder) Received() {
	data := h.conn.Peek()
	h.received = append(h.received, data...)
	h.conn.Discard(len(data))
}
func (h *recorder) Closed(err error) { h.closed <- err }

// accepted opens a connection to a new listener and returns the handler of the accepted side and the client's side.
func accepted(t *testing.T, l *Loop, prepare func(*Conn)) (*recorder, *net.TCPConn) {
	t.Helper()
	h := newRecorder()
	ready := make(chan struct{})
	ln, err := l.Listen("127.0.0.1:0", func(k *Conn) Handler {
		h.conn = k
		prepare(k)
		close(ready)
		return h
	})
	require.NoError(t, err)
	t.Cleanup(ln.Close)
	c, err := net.Dial("tcp", ln.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	<-ready
	return h, c.(*net.TCPConn)
}

// awaitUnread waits until the kernel has buffered at least want bytes. It runs on the loop, which reads nothing meanwhile.
func awaitUnread(t *testing.T, k *Conn, want int) {
	t.Helper()
	require.Eventually(t, func() bool {
		n, err := unix.IoctlGetInt(k.conn.Fd(), unix.TIOCINQ)
		return err == nil && n >= want
	}, 10*time.Second, time.Millisecond)
}

// awaitState waits until a connection is in the given TCP state.
func awaitState(t *testing.T, k *Conn, state uint8) {
	t.Helper()
	require.Eventually(t, func() bool {
		info, err := unix.GetsockoptTCPInfo(k.conn.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
		return err == nil && info.State == state
	}, 10*time.Second, time.Millisecond)
}

const tcpClosed = 7 // TCP_CLOSE in the kernel's tcp_states.h

// The peer sends a last line and resets the connection, and a write fails before the loop has read that line.
func TestInputBeforeAFailedWriteIsDelivered(t *testing.T) {
	l := startLoop(t)
	h, c := accepted(t, l, func(*Conn) {})
	l.Call(func() { // the loop reads nothing while this runs
		_, err := io.WriteString(c, "BYE\r\n")
		require.NoError(t, err)
		awaitUnread(t, h.conn, len("BYE\r\n"))
		require.NoError(t, c.SetLinger(0))
		require.NoError(t, c.Close())
		awaitState(t, h.conn, tcpClosed)
		h.conn.Write([]byte("M 1 ab\r\n"))
	})
	assert.Error(t, <-h.closed)
	l.Call(func() {
		assert.Equal(t, "BYE\r\n", string(h.received))
		assert.Zero(t, l.conns)
	})
}

// An evictable connection whose request is still in the kernel's buffer is read before it may be evicted.
func TestEvictableConnWithUnreadInputIsReadFirst(t *testing.T) {
	l := startLoop(t)
	h, c := accepted(t, l, func(k *Conn) { k.SetEvictable(true) })
	l.Call(func() {
		_, err := io.WriteString(c, "OPEN\r\n")
		require.NoError(t, err)
		awaitUnread(t, h.conn, len("OPEN\r\n"))
		assert.False(t, l.evictOldest(), "evicted a connection that is not idle")
		assert.Equal(t, 1, l.evictable.Len())
	})
	l.Call(func() {
		assert.Equal(t, "OPEN\r\n", string(h.received))
		assert.True(t, l.evictOldest(), "did not evict a connection that has sent nothing since")
	})
	assert.ErrorIs(t, <-h.closed, ErrTooManyConns)
}

// Where all connections that may be evicted had sent much, an eviction read up to 1 MiB of each into memory before any of their
// handlers ran. It must only look whether there is input; each handler is then given its own, one after the other.
func TestEvictionReadsOneConnAtATime(t *testing.T) {
	const conns, sent = 50, 256 << 10
	l := startLoop(t)
	var handlers []*recorder
	var peers []*net.TCPConn
	for range conns {
		h, c := accepted(t, l, func(k *Conn) { k.SetEvictable(true) })
		handlers, peers = append(handlers, h), append(peers, c)
	}
	l.Call(func() { // the loop reads nothing while this runs
		for i, c := range peers {
			require.NoError(t, c.SetWriteBuffer(sent))
			go c.Write(make([]byte, sent))
			awaitUnread(t, handlers[i].conn, 32<<10)
		}
		assert.False(t, l.evictOldest(), "no connection is idle")
		buffered := 0
		for _, h := range handlers {
			buffered += len(h.conn.inbuf)
		}
		assert.Zero(t, buffered, "bytes that were read before their handlers ran")
	})
	l.Call(func() {
		for _, h := range handlers {
			assert.NotEmpty(t, h.received)
		}
	})
}

// An evicted client gets the eviction message, since it may have sent a request just before.
func TestEvictedConnGetsItsMessage(t *testing.T) {
	l := startLoop(t)
	h, c := accepted(t, l, func(k *Conn) {
		k.SetEvictionMessage(func() []byte { return []byte("BUSY 1000\r\n") })
		k.SetEvictable(true)
	})
	l.Call(func() { require.True(t, l.evictOldest()) })
	assert.ErrorIs(t, <-h.closed, ErrTooManyConns)
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "BUSY 1000\r\n", string(got))
}

// A lingering connection counts until its peer has closed: until then the peer may not have read the last output.
func TestLingeringCountsUntilThePeerHasClosed(t *testing.T) {
	l := startLoop(t)
	h, c := accepted(t, l, func(*Conn) {})
	l.Call(func() {
		h.conn.Write([]byte("BUSY\r\n"))
		h.conn.LingeringClose()
		assert.Equal(t, 1, l.Lingering())
	})
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "BUSY\r\n", string(got))
	l.Call(func() { assert.Equal(t, 1, l.Lingering(), "the client has not closed yet") })
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool {
		lingering := -1
		l.Call(func() { lingering = l.Lingering() })
		return lingering == 0
	}, 10*time.Second, time.Millisecond)
}
