package evloop

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func startLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := Start(slog.New(slog.NewTextHandler(io.Discard, nil)), Limits{Conns: 1000, Queued: 1 << 16})
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	return l
}

// eventRecorder is a handler that reports the events of its connection on a channel.
type eventRecorder struct {
	name   string
	events chan string
	err    error
}

func (h *eventRecorder) Opened()   { h.events <- h.name + " opened" }
func (h *eventRecorder) Received() {}
func (h *eventRecorder) Closed(err error) {
	h.err = err
	h.events <- h.name + " closed"
}

// hangingAddr returns an address where connecting hangs, as with a host that has vanished: the accept queue of its
// listener is full, and nothing accepts.
func hangingAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }))
	require.NoError(t, err)
	for range 3 {
		fd, err := connect(ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { unix.Close(fd) })
	}
	return ln.Addr().String()
}

// A dial that hangs blocks neither the loop nor later dials, and fails at its time-out. gnet's own dial waits in a worker
// without a time-out.
func TestHangingDialBlocksNothing(t *testing.T) {
	l := startLoop(t)
	reachable, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer reachable.Close()
	vanished := hangingAddr(t)
	events := make(chan string, 10)
	dead, alive := &eventRecorder{name: "dead", events: events}, &eventRecorder{name: "alive", events: events}
	l.Call(func() {
		l.Dial(vanished, 2*time.Second, dead)
		l.Dial(reachable.Addr().String(), 20*time.Second, alive)
	})
	assert.Equal(t, "alive opened", <-events)
	assert.Equal(t, "dead closed", <-events)
	assert.ErrorIs(t, dead.err, ErrConnectTimeout)
	l.Call(func() { assert.Equal(t, 1, l.ActiveConns()) })
}

func TestClosedOrRefusedDialIsReleased(t *testing.T) {
	l := startLoop(t)
	events := make(chan string, 10)
	h := &eventRecorder{name: "refused", events: events}
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refusing.Close()
	l.Call(func() {
		l.Dial(hangingAddr(t), time.Second, &eventRecorder{name: "closed", events: events}).Close()
		l.Dial(refusing.Addr().String(), time.Second, h)
	})
	assert.Equal(t, "refused closed", <-events)
	assert.ErrorIs(t, h.err, unix.ECONNREFUSED)
	l.Call(func() {
		l.Dial("nowhere", time.Second, h)
		assert.Empty(t, events, "a handler must not be called back from inside its own call")
	})
	assert.Equal(t, "refused closed", <-events)
	l.Call(func() {
		assert.Equal(t, 0, l.ActiveConns())
		assert.Empty(t, l.dialer.dials)
		assert.Empty(t, l.timers)
	})
	assert.Empty(t, events)
}

// Output before a close must reach the peer, such as MOVE, BUSY or a passed-on line.
func TestCloseSendsQueuedOutput(t *testing.T) {
	l := startLoop(t)
	ln, err := l.Listen("127.0.0.1:0", func(k *Conn) Handler {
		k.Write([]byte("MOVE\r\n"))
		k.Close()
		return &eventRecorder{events: make(chan string, 2)}
	})
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr())
	require.NoError(t, err)
	defer c.Close()
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "MOVE\r\n", string(got))
}

// A peer that is still sending can read the last output: a close with unread input would reset the connection and
// destroy it.
func TestLingeringCloseDiscardsFurtherInput(t *testing.T) {
	l := startLoop(t)
	ln, err := l.Listen("127.0.0.1:0", func(k *Conn) Handler {
		k.Write([]byte("ERR\r\n"))
		k.LingeringClose()
		return &eventRecorder{events: make(chan string, 2)}
	})
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr())
	require.NoError(t, err)
	defer c.Close()
	for range 256 {
		_, err = c.Write(make([]byte, 1<<16))
		require.NoError(t, err)
	}
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "ERR\r\n", string(got))
	l.Call(func() { assert.Equal(t, 0, l.ActiveConns(), "a lingering connection must be evictable") })
}

// A peer that reads slowly gets all output before the end of the stream.
func TestLingeringCloseSendsAllOutputFirst(t *testing.T) {
	l := startLoop(t)
	last := append(make([]byte, 1<<15), "MOVE\r\n"...)
	queued := make(chan int, 1)
	ln, err := l.Listen("127.0.0.1:0", func(k *Conn) Handler {
		_ = k.conn.SetWriteBuffer(1 << 12)
		k.Write(last)
		queued <- k.conn.OutboundBuffered()
		k.LingeringClose()
		return &eventRecorder{events: make(chan string, 2)}
	})
	require.NoError(t, err)
	defer ln.Close()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return withFD(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 1<<12) })
	}}
	c, err := dialer.Dial("tcp", ln.Addr())
	require.NoError(t, err)
	defer c.Close()
	require.NotZero(t, <-queued)
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, last, got)
}

// Idle connections must not use up the descriptors that requests need: the oldest of them are evicted.
func TestOldestEvictableConnsAreEvicted(t *testing.T) {
	l := startLoop(t)
	l.limits.Conns = 3
	events := make(chan string, 100)
	n := 0
	ln, err := l.Listen("127.0.0.1:0", func(k *Conn) Handler {
		n++
		k.SetEvictable(n > 1) // the first one has a request
		return &eventRecorder{name: fmt.Sprint(n), events: events}
	})
	require.NoError(t, err)
	defer ln.Close()
	for i := 1; i <= 6; i++ {
		c, err := net.Dial("tcp", ln.Addr())
		require.NoError(t, err)
		defer c.Close()
		for e := range events {
			if e == fmt.Sprintf("%d opened", i) {
				break
			}
			assert.Equal(t, fmt.Sprintf("%d closed", i-3), e)
		}
	}
	assert.Equal(t, "4 closed", <-events)
	l.Call(func() {
		assert.Equal(t, 1, l.ActiveConns())
		assert.Equal(t, 3, l.conns)
		l.Dial("127.0.0.1:1", time.Second, &eventRecorder{name: "dial", events: events})
		assert.Equal(t, 3, l.conns, "a dial must evict a connection at the limit")
	})
}

// A second Stop must not close descriptor numbers again, since they may belong to another loop by then.
func TestSecondStopDoesNotAffectAnotherLoop(t *testing.T) {
	first := startLoop(t)
	first.Stop()
	second := startLoop(t)
	first.Stop()
	fired := make(chan bool, 1)
	require.True(t, second.Do(func() { second.After(time.Millisecond, func() { fired <- true }) }))
	assert.True(t, <-fired)
}

func TestTimersFireInOrderAndStop(t *testing.T) {
	l := startLoop(t)
	fired := make(chan int, 10)
	var stopped *Timer
	l.Call(func() {
		l.After(30*time.Millisecond, func() { fired <- 3 })
		l.After(10*time.Millisecond, func() {
			fired <- 1
			stopped.Stop()
			stopped.Stop()
		})
		stopped = l.After(15*time.Millisecond, func() { fired <- 0 })
		l.After(20*time.Millisecond, func() { fired <- 2 })
	})
	for want := 1; want <= 3; want++ {
		assert.Equal(t, want, <-fired)
	}
}

// The node must also start on a system without Unix sockets.
func TestLoopStartsWithoutUnixSockets(t *testing.T) {
	before := socketpair
	t.Cleanup(func() { socketpair = before })
	calls := 0
	socketpair = func() ([2]int, error) {
		calls++
		return [2]int{}, unix.EAFNOSUPPORT
	}
	l := startLoop(t)
	ln, err := l.Listen("127.0.0.1:0", greet("here"))
	require.NoError(t, err)
	t.Cleanup(ln.Close)
	c, err := net.Dial("tcp", ln.Addr())
	require.NoError(t, err)
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "here", string(got))
	assert.Equal(t, 1, calls)
}

// An operator can tell a loop that is busy from a delay elsewhere.
func TestLongestWaitForTheLoopIsRecorded(t *testing.T) {
	const held = 30 * time.Millisecond
	l := startLoop(t)
	entered, release := make(chan bool), make(chan bool)
	ln, err := l.Listen("127.0.0.1:0", func(*Conn) Handler {
		entered <- true
		<-release
		return newRecorder()
	})
	require.NoError(t, err)
	defer ln.Close()
	l.TakeLongestWait()
	c, err := net.Dial("tcp", ln.Addr())
	require.NoError(t, err)
	defer c.Close()
	<-entered
	time.Sleep(held)
	release <- true
	require.Eventually(t, func() bool { return l.TakeLongestWait() >= held }, 10*time.Second, time.Millisecond)
	assert.Zero(t, l.TakeLongestWait())
}
