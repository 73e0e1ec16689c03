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

// This file is about the times that the kernel stamps on what comes, and the clock of a story.

// stamped reads from a connection and knows when the last byte of what it read had come.
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

var errNoTimestamp = errors.New("the kernel tells no time with what came")

// awaitStamps returns once the kernel stamps what comes, which it begins to do a while after a first socket has asked for it,
// and goes on with for as long as there is one: a port of the world's own, to its end.
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
		require.Less(w.t, time.Since(start), Patience, err)
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

// clock is the time that a story is told in: monotonic, from its beginning.
type clock struct{ start time.Time }

// newClock begins now.
func newClock() clock { return clock{start: time.Now()} }

// Now is the time since the beginning.
func (c clock) Now() time.Duration { return time.Since(c.start) }

// when is a time that the kernel has just told, in nanoseconds of Unix time. The two clocks are compared each time, as the
// system's can be set; the closest of a few comparisons counts, as this thread may be put aside between two looks.
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
