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

// adopted returns a connection that was adopted and not resumed yet, with its handler, and the peer's side.
func adopted(t *testing.T, l *Loop) (*recorder, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	conn, err := ln.Accept()
	require.NoError(t, err)
	defer conn.Close()
	file, err := conn.(*net.TCPConn).File()
	require.NoError(t, err)
	defer file.Close()
	fd, err := unix.Dup(int(file.Fd()))
	require.NoError(t, err)
	require.NoError(t, unix.SetNonblock(fd, true))
	h := newRecorder()
	require.NoError(t, l.Adopt(fd, []byte("M 1\r\n"), func(k *Conn) Handler {
		h.conn = k
		return h
	}))
	return h, peer.(*net.TCPConn)
}

// failWrite makes a write to a paused connection fail, after the peer has sent a last line. It runs on the loop.
func failWrite(t *testing.T, h *recorder, peer *net.TCPConn) {
	_, err := io.WriteString(peer, "BYE\r\n")
	require.NoError(t, err)
	awaitUnread(t, h.conn, len("BYE\r\n"))
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	awaitState(t, h.conn, tcpClosed)
	h.conn.Write([]byte("M 2\r\n"))
	require.ErrorIs(t, h.conn.pausedErr, unix.ECONNRESET)
}

// A process that adopted a connection ended with a nil pointer dereference when a write to it failed before Resume: Resume
// handled the failed write once more.
func TestWriteThatFailsBeforeResumeEndsTheConnection(t *testing.T) {
	l := startLoop(t)
	h, peer := adopted(t, l)
	l.Call(func() {
		failWrite(t, h, peer)
		h.conn.Resume()
	})
	require.ErrorIs(t, <-h.closed, unix.ECONNRESET)
	l.Call(func() {
		assert.Equal(t, "M 1\r\nBYE\r\n", string(h.received))
		assert.Zero(t, l.conns)
	})
}

// Whatever a handler does with a connection that ended before Resume, it is ended once, and the handler is not called back
// after it has closed the connection.
func TestConnThatEndedBeforeResumeCanBeUsed(t *testing.T) {
	for name, use := range map[string]struct {
		method func(*Conn)
		closes bool
	}{
		"write":             {method: func(k *Conn) { k.Write([]byte("M 3\r\n")) }},
		"detach":            {method: func(k *Conn) { k.Detach() }},
		"idle":              {method: func(k *Conn) { k.Idle() }},
		"close":             {method: (*Conn).Close, closes: true},
		"abort":             {method: (*Conn).Abort, closes: true},
		"lingering close":   {method: (*Conn).LingeringClose, closes: true},
		"evict":             {method: func(k *Conn) { k.SetEvictable(true); k.loop.evictOldest() }, closes: true},
		"limit":             {method: func(k *Conn) { k.SetEvictable(true); k.loop.SetMaxConns(0) }, closes: true},
		"evictable, resume": {method: func(k *Conn) { k.SetEvictable(true) }},
	} {
		t.Run(name, func(t *testing.T) {
			l := startLoop(t)
			h, peer := adopted(t, l)
			l.Call(func() {
				failWrite(t, h, peer)
				use.method(h.conn)
				assert.Equal(t, use.closes, h.conn.closed)
				h.conn.Resume()
				assert.True(t, h.conn.closed)
				assert.Zero(t, l.conns)
				assert.Zero(t, l.evictable.Len())
			})
			if !use.closes {
				assert.ErrorIs(t, <-h.closed, unix.ECONNRESET)
				assert.Equal(t, "M 1\r\nBYE\r\n", string(h.received))
			}
		})
	}
}

// The peer of a paused connection that lingers resets it while output is queued: the timer that waits for the output must not
// use it any more.
func TestLingeringConnEndsBeforeResume(t *testing.T) {
	l := startLoop(t)
	h, peer := adopted(t, l)
	l.Call(func() {
		h.conn.loop.limits.Queued = 64 << 20
		h.conn.Write(make([]byte, 16<<20)) // more than the kernel buffers
		require.Positive(t, h.conn.conn.OutboundBuffered())
		h.conn.LingeringClose()
	})
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	require.Eventually(t, func() (over bool) {
		l.Call(func() { over = l.conns == 0 })
		return over
	}, 10*time.Second, time.Millisecond)
	l.Call(h.conn.Resume)
	assert.Empty(t, h.closed, "the handler closed the connection itself")
}
