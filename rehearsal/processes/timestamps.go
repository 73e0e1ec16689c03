package processes

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// This file handles the kernel's receive timestamps and the clock of a scenario.

// timestampedReader reads from a connection and knows when the last byte that it read was received.
type timestampedReader struct {
	raw interface {
		Read(func(uintptr) bool) error
	}
	w          *World
	lastByteAt time.Duration
}

func newTimestampedReader(c *net.TCPConn, w *World) (*timestampedReader, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &timestampedReader{raw: raw, w: w}, nil
}

var errNoTimestamp = errors.New("received data without a kernel timestamp")

// awaitTimestamps returns once the kernel timestamps received data. The kernel begins to do so some time
// after a socket first requests it, and continues while such a socket exists: a port of the world, until its
// end.
func awaitTimestamps(w *World) {
	p, results := newPort(w.t), make(chan error)
	require.NoError(w.t, p.listen(func(c *net.TCPConn) {
		s, err := newTimestampedReader(c, w)
		if err == nil {
			_, err = s.Read(make([]byte, 1))
		}
		c.Close()
		results <- err
	}))
	for start := time.Now(); ; {
		c, err := net.Dial("tcp4", p.addr)
		require.NoError(w.t, err)
		_, err = c.Write([]byte("x"))
		require.NoError(w.t, err)
		err = <-results
		c.Close()
		if err == nil {
			return
		}
		require.ErrorIs(w.t, err, errNoTimestamp)
		require.Less(w.t, time.Since(start), EventTimeout, err)
	}
}

// Read implements io.Reader.
func (s *timestampedReader) Read(buf []byte) (int, error) {
	var n, oobn int
	var recvErr error
	oob := make([]byte, 128)
	err := s.raw.Read(func(fd uintptr) bool {
		for {
			n, oobn, _, _, recvErr = unix.Recvmsg(int(fd), buf, oob, 0)
			if !errors.Is(recvErr, unix.EINTR) {
				return !errors.Is(recvErr, unix.EAGAIN)
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case recvErr != nil:
		return 0, recvErr
	case n == 0:
		return 0, io.EOF
	}
	messages, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil {
		return 0, err
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SCM_TIMESTAMPNS && len(m.Data) >= 16 {
			unixNano := int64(binary.NativeEndian.Uint64(m.Data))*int64(time.Second) + int64(binary.NativeEndian.Uint64(m.Data[8:]))
			s.lastByteAt = s.w.fromUnixNano(unixNano)
			return n, nil
		}
	}
	return 0, errNoTimestamp
}

// clock measures the time of a scenario: monotonic, from its start.
type clock struct{ start time.Time }

// newClock returns a clock that starts now.
func newClock() clock { return clock{start: time.Now()} }

// Now returns the time since the start.
func (c clock) Now() time.Duration { return time.Since(c.start) }

// fromUnixNano converts a recent kernel timestamp, in nanoseconds of Unix time. The two clocks are compared
// at each call, because the system clock can be set. Of a few comparisons the closest counts, because this
// thread may be descheduled between two readings.
func (c clock) fromUnixNano(unixNano int64) (at time.Duration) {
	for i, closest := 0, time.Duration(1<<62); i < 5; i++ {
		var wall unix.Timespec
		before := time.Since(c.start)
		_ = unix.ClockGettime(unix.CLOCK_REALTIME, &wall)
		if after := time.Since(c.start); after-before < closest {
			closest = after - before
			at = before + closest/2 - time.Duration(wall.Nano()-unixNano)
		}
	}
	return at
}
