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

// recorder is a handler that keeps what its connection receives.
type recorder struct {
	link     *Link
	received []byte
	closed   chan error
}

func newRecorder() *recorder { return &recorder{closed: make(chan error, 1)} }

func (h *recorder) Opened() {}
func (h *recorder) Received() {
	data := h.link.Peek()
	h.received = append(h.received, data...)
	h.link.Discard(len(data))
}
func (h *recorder) Closed(err error) { h.closed <- err }

// accepted listens and returns the first connection, with its handler, and the client's end of it.
func accepted(t *testing.T, l *Loop, prepare func(*Link)) (*recorder, *net.TCPConn) {
	t.Helper()
	h := newRecorder()
	ready := make(chan struct{})
	ln, err := l.Listen("127.0.0.1:0", func(k *Link) Handler {
		h.link = k
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

// awaitUnread waits until the kernel holds so many bytes that the loop has not read. The loop is held meanwhile.
func awaitUnread(t *testing.T, k *Link, want int) {
	t.Helper()
	require.Eventually(t, func() bool {
		n, err := unix.IoctlGetInt(k.conn.Fd(), unix.TIOCINQ)
		return err == nil && n >= want
	}, 10*time.Second, time.Millisecond)
}

// awaitState waits until the kernel's side of a connection is in a state of TCP.
func awaitState(t *testing.T, k *Link, state uint8) {
	t.Helper()
	require.Eventually(t, func() bool {
		info, err := unix.GetsockoptTCPInfo(k.conn.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
		return err == nil && info.State == state
	}, 10*time.Second, time.Millisecond)
}

const tcpClosed = 7 // TCP_CLOSE of the kernel's tcp_states.h

// A peer says its last words and resets; a write fails before the loop has read them.
func TestWhatCameBeforeAFailedWriteIsDelivered(t *testing.T) {
	l := startLoop(t)
	h, c := accepted(t, l, func(*Link) {})
	l.Call(func() { // the loop reads nothing while this runs
		_, err := io.WriteString(c, "BYE\r\n")
		require.NoError(t, err)
		awaitUnread(t, h.link, len("BYE\r\n"))
		require.NoError(t, c.SetLinger(0))
		require.NoError(t, c.Close())
		awaitState(t, h.link, tcpClosed)
		h.link.Write([]byte("M 1 ab\r\n"))
	})
	assert.Error(t, <-h.closed)
	l.Call(func() {
		assert.Equal(t, "BYE\r\n", string(h.received))
		assert.Zero(t, l.links)
	})
}

// A spare connection whose request is in the kernel's buffer when room is wanted is not closed over it.
func TestASpareConnectionWithUnreadInputIsReadFirst(t *testing.T) {
	l := startLoop(t)
	h, c := accepted(t, l, func(k *Link) { k.Spare(true) })
	l.Call(func() {
		_, err := io.WriteString(c, "OPEN\r\n")
		require.NoError(t, err)
		awaitUnread(t, h.link, len("OPEN\r\n"))
		assert.False(t, l.shed(), "there is no idle connection")
		assert.Equal(t, 1, l.spare.Len())
	})
	l.Call(func() {
		assert.Equal(t, "OPEN\r\n", string(h.received))
		assert.True(t, l.shed(), "it sent nothing since")
	})
	assert.ErrorIs(t, <-h.closed, ErrNoRoom)
}

// A client that is dismissed for want of room is told so, for a request of its may be under way.
func TestADismissedConnectionGetsItsLastWord(t *testing.T) {
	l := startLoop(t)
	h, c := accepted(t, l, func(k *Link) {
		k.LastWord([]byte("BUSY 1000\r\n"))
		k.Spare(true)
	})
	l.Call(func() { require.True(t, l.shed()) })
	assert.ErrorIs(t, <-h.closed, ErrNoRoom)
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "BUSY 1000\r\n", string(got))
}

// A finished connection counts until its peer has closed: until then the peer may not have read its last words.
func TestFinishingCountsUntilThePeerHasClosed(t *testing.T) {
	l := startLoop(t)
	h, c := accepted(t, l, func(*Link) {})
	l.Call(func() {
		h.link.Write([]byte("BUSY\r\n"))
		h.link.Finish()
		assert.Equal(t, 1, l.Finishing())
	})
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "BUSY\r\n", string(got))
	l.Call(func() { assert.Equal(t, 1, l.Finishing(), "the client has not closed") })
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool {
		finishing := -1
		l.Call(func() { finishing = l.Finishing() })
		return finishing == 0
	}, 10*time.Second, time.Millisecond)
}
