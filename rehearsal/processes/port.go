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

// port is a loopback port that stays reserved for this process from newPort to the end of the test, listening
// or not: while closed it refuses connections, and no other process can get it.
type port struct {
	addr       string
	reservedFD int // bound and never listening

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

// listen listens and passes each accepted connection to handle. It does nothing if the port listens already.
func (p *port) listen(handle func(*net.TCPConn)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		return nil
	}
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if controlErr := c.Control(func(fd uintptr) {
			// Accepted connections inherit SO_TIMESTAMPNS from the listener, so that the kernel timestamps
			// data from the first packet on.
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

// close stops listening: new connections are refused, and connections that were not accepted yet are reset.
func (p *port) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
	}
}

// reset closes a connection immediately with a TCP reset.
func reset(c *net.TCPConn) {
	if c != nil {
		_ = c.SetLinger(0)
		c.Close()
	}
}
