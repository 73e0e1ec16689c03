package processes

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// port is a port of loopback that stays this process's own from New to the end of the test, whether or not anybody listens:
// a closed one refuses, and nobody else gets it meanwhile.
type port struct {
	addr       string
	reservedFD int // bound, never listens

	mu sync.Mutex
	ln *net.TCPListener
}

func newPort(t testing.TB) *port {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	p := &port{reservedFD: fd}
	t.Cleanup(func() {
		p.close()
		unix.Close(fd)
	})
	require.NoError(t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1))
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(fd)
	require.NoError(t, err)
	p.addr = (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*unix.SockaddrInet4).Port}).String()
	return p
}

// open listens and gives each connection to take. Nothing changes where it listens already.
func (p *port) listen(handle func(*net.TCPConn)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		return nil
	}
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if controlErr := c.Control(func(fd uintptr) {
			// What comes is stamped from the very first packet of a connection: connections have this of their listener.
			err = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1))
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	ln, err := shared.Listen(context.Background(), "tcp4", p.addr)
	if err != nil {
		return err
	}
	p.ln = ln.(*net.TCPListener)
	go func(ln *net.TCPListener) {
		for {
			c, err := ln.AcceptTCP()
			if err != nil {
				return
			}
			handle(c)
		}
	}(p.ln)
	return nil
}

// close refuses from now on. What has come and was not taken is reset.
func (p *port) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
	}
}

// reset ends a connection at once, with a reset.
func reset(c *net.TCPConn) {
	if c != nil {
		_ = c.SetLinger(0)
		c.Close()
	}
}
