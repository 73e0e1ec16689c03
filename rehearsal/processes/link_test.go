package processes

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	code := m.Run()
	Unbuild()
	os.Exit(code)
}

// startEcho starts a peer that echoes everything and reports the size of each read.
func startEcho(t *testing.T) (addr string, received chan int) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	received = make(chan int, 10000)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				for {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					received <- n
					if _, err = c.Write(buf[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), received
}

// testConn is a connection through a link.
type testConn struct {
	t *testing.T
	net.Conn
}

func dial(t *testing.T, l *Link) testConn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(EventTimeout)))
	return testConn{t, c}
}

func (c testConn) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

func (c testConn) expect(text string) {
	c.t.Helper()
	buf := make([]byte, len(text))
	_, err := io.ReadFull(c, buf)
	require.NoError(c.t, err)
	require.Equal(c.t, text, string(buf))
}

func healthyLink(t *testing.T) (*Link, chan int, testConn) {
	t.Helper()
	addr, received := startEcho(t)
	l := NewLink(t, "a", "b", addr)
	c := dial(t, l)
	c.send("hello")
	c.expect("hello")
	require.Equal(t, 5, <-received)
	l.Await("bytes are counted in both directions", func() bool { return l.BytesPassed(ToTarget) == 5 && l.BytesPassed(ToCaller) == 5 })
	return l, received, c
}

func TestACutDropsOneDirectionOnly(t *testing.T) {
	for _, direction := range []Direction{ToTarget, ToCaller} {
		t.Run(direction.String(), func(t *testing.T) {
			l, received, c := healthyLink(t)
			l.Cut(direction)
			c.send("lost")
			l.Await("the bytes are dropped", func() bool { return l.BytesDropped(direction) == 4 })
			if direction == ToCaller {
				assert.Equal(t, 4, <-received, "the other direction still works")
			}
			assert.Empty(t, received)
			assert.EqualValues(t, 5, l.BytesPassed(ToCaller))
			late := dial(t, l)
			late.send("too late")
			l.Await("the bytes of a new connection are dropped", func() bool { return l.BytesDropped(ToTarget) >= 8 })
			assert.Equal(t, 2, l.OpenConns())
			l.Heal()
			for _, c := range []testConn{c, late} {
				_, err := c.Read(make([]byte, 1))
				assert.ErrorIs(t, err, syscall.ECONNRESET, "a connection that has lost bytes is reset")
			}
			again := dial(t, l)
			again.send("again")
			again.expect("again")
		})
	}
}

// While the link is cut, the end of a connection is not forwarded either.
func TestACutHidesTheEndOfAConnection(t *testing.T) {
	l, _, c := healthyLink(t)
	broken := dial(t, l)
	broken.send("x")
	broken.expect("x")
	l.Cut()
	require.NoError(t, c.Close())
	reset(broken.Conn.(*net.TCPConn))
	conns := l.openConns()
	lost := func() (n int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range conns {
			if p.lostBytes {
				n++
			}
		}
		return n
	}
	l.Await("the link has noticed both ends", func() bool { return lost() == 2 })
	for _, p := range conns {
		select {
		case <-p.done:
			require.Fail(t, "an end was forwarded over a cut link")
		default:
		}
	}
	require.Equal(t, 2, l.OpenConns())
	l.Heal()
	l.Await("healing ends the connections", func() bool { return l.OpenConns() == 0 })
}

func TestAStallHoldsBackBytesUntilHealed(t *testing.T) {
	l, received, c := healthyLink(t)
	l.Stall()
	c.send("later")
	stalled := dial(t, l)
	l.Await("the connection is accepted", func() bool { return l.OpenConns() == 2 })
	assert.EqualValues(t, 5, l.BytesPassed(ToTarget))
	assert.Empty(t, received)
	l.Heal()
	c.expect("later")
	assert.Zero(t, l.BytesDropped(ToTarget))
	_, err := stalled.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET, "the connection was never set up")
}

func TestADelayAppliesToEachDirection(t *testing.T) {
	l, received, c := healthyLink(t)
	const delay = 200 * time.Millisecond
	l.Delay(ToTarget, delay)
	l.Delay(ToCaller, delay)
	start := time.Now()
	c.send("slow")
	<-received
	assert.GreaterOrEqual(t, time.Since(start), delay)
	c.expect("slow")
	assert.GreaterOrEqual(t, time.Since(start), 2*delay)
}

func TestAThrottleLimitsBytesPerSecond(t *testing.T) {
	l, _, c := healthyLink(t)
	l.Throttle(ToTarget, 10000)
	text := string(bytes.Repeat([]byte("x"), 5000))
	start := time.Now()
	c.send(text)
	c.expect(text)
	assert.GreaterOrEqual(t, time.Since(start), 400*time.Millisecond)
}

func TestAResetComesInsideAMessage(t *testing.T) {
	l, received, c := healthyLink(t)
	l.ResetAfter(ToTarget, 7)
	c.send("0123456789")
	_, err := c.Read(make([]byte, 1))
	for err == nil { // bytes that the peer had echoed before
		_, err = c.Read(make([]byte, 1))
	}
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.EqualValues(t, 5+7, l.BytesPassed(ToTarget))
	assert.LessOrEqual(t, len(received), 1)
	again := dial(t, l)
	again.send("0123456789")
	again.expect("0123456789")
}

func TestALinkRefusesAndHasNoTarget(t *testing.T) {
	l, _, c := healthyLink(t)
	addr := l.target
	refused := func() {
		t.Helper()
		_, err := net.Dial("tcp4", l.Addr())
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	l.Refuse()
	refused()
	c.send("stays")
	c.expect("stays")
	l.Heal()
	dial(t, l).send("x")
	l.SetTarget("")
	refused()
	l.SetTarget(addr)
	again := dial(t, l)
	again.send("y")
	again.expect("y")
	l.Reset()
	_, err := again.Read(make([]byte, 1))
	assert.True(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// A half-close of one side reaches the other, which may still send.
func TestAHalfCloseIsForwarded(t *testing.T) {
	l, _, c := healthyLink(t)
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	l.Await("both directions have ended", func() bool { return l.OpenConns() == 0 })
}
