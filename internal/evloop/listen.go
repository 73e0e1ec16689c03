package evloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// drainTime is how long DrainAndClose keeps accepting. A connection whose handshake was in progress when the other process
// started to listen is established within that time.
const drainTime = 20 * time.Millisecond

// Listener accepts connections for the loop.
type Listener struct {
	loop   *Loop
	ln     *net.TCPListener
	accept func(*Conn) Handler
	done   chan struct{} // closed when no more connections are accepted
}

// Listen accepts connections at addr until the listener is closed; accept returns the handler of each. Accepting runs in
// a goroutine of its own, since enrolling a connection waits for the loop.
func (l *Loop) Listen(addr string, accept func(*Conn) Handler) (*Listener, error) {
	return l.listen(net.ListenConfig{}, addr, accept)
}

// ListenShared is like Listen, but another process of this user may listen at the same address if both use ListenShared.
// The process that listens later gets all new connections. If otherExpected is false, it is an error if the address is
// already in use.
func (l *Loop) ListenShared(addr string, otherExpected bool, accept func(*Conn) Handler) (*Listener, error) {
	if !otherExpected {
		var err error
		if addr, err = exclusiveAddr(addr); err != nil {
			return nil, err
		}
	}
	n, err := l.listen(net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return withFD(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}, addr, accept)
	if err != nil {
		return nil, err
	}
	raw, err := n.ln.SyscallConn()
	if err == nil {
		err = withFD(raw, steerToLatest)
	}
	if err != nil { // the kernel then spreads new connections over both listeners until the other one closes
		l.log.Info("cannot steer new connections away from another process at this address", "error", err)
	}
	return n, nil
}

// exclusiveAddr returns an error if the address is in use, and otherwise the address with its port, which the kernel
// chooses for port 0. It binds a socket without listening: a listener that is closed again would accept connections in
// between and then reset them, with the requests on them.
func exclusiveAddr(addr string) (string, error) {
	tcp, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return "", err
	}
	family, to := sockaddr(tcp.AddrPort())
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", os.NewSyscallError("socket", err)
	}
	defer unix.Close(fd)
	// Connections of an earlier run that has just closed may still be in TIME_WAIT.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return "", os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(fd, to); err != nil {
		return "", fmt.Errorf("%s: %w", addr, os.NewSyscallError("bind", err))
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return "", os.NewSyscallError("getsockname", err)
	}
	switch b := bound.(type) {
	case *unix.SockaddrInet4:
		tcp.Port = b.Port
	case *unix.SockaddrInet6:
		tcp.Port = b.Port
	}
	return tcp.String(), nil
}

// steerToLatest attaches a filter to the SO_REUSEPORT group of an address that selects the socket at index 1 for every new
// connection. The group has two sockets at most, and the later one has index 1. If there is only one socket, index 1 is
// empty, and the kernel selects by hash.
func steerToLatest(fd int) error {
	second := [1]unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	return os.NewSyscallError("setsockopt", unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: 1, Filter: &second[0]}))
}

// withFD runs f with the descriptor of a socket.
func withFD(raw syscall.RawConn, f func(fd int) error) error {
	var err error
	if outer := raw.Control(func(fd uintptr) { err = f(int(fd)) }); outer != nil {
		return outer
	}
	return err
}

func (l *Loop) listen(config net.ListenConfig, addr string, accept func(*Conn) Handler) (*Listener, error) {
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	n := &Listener{loop: l, ln: ln.(*net.TCPListener), accept: accept, done: make(chan struct{})}
	go n.run()
	return n, nil
}

func (n *Listener) run() {
	defer close(n.done)
	for {
		conn, err := n.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			n.acceptQueued()
			n.Close()
			return
		case err == nil:
			err = n.enroll(conn)
		}
		if err != nil { // most likely out of descriptors: free one and continue
			n.loop.log.Warn("accept failed; closing the oldest evictable connection, if there is one", "error", err)
			n.loop.Do(func() { n.loop.evictOldest() })
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// enroll passes a connection to the loop and waits until the loop has it.
func (n *Listener) enroll(conn net.Conn) error {
	began := time.Now()
	_, err := n.loop.client.EnrollContext(conn, &Conn{loop: n.loop, accept: n.accept})
	n.loop.recordWait(time.Since(began))
	return err
}

// acceptQueued accepts the connections that are queued at the listener, without waiting for more.
func (n *Listener) acceptQueued() {
	raw, err := n.ln.SyscallConn()
	for err == nil {
		var fd int
		if err = withFD(raw, func(ln int) (err error) {
			fd, _, err = unix.Accept4(ln, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			return err
		}); err != nil {
			break
		}
		var conn net.Conn
		if conn, err = connFromFD(fd); err == nil {
			err = n.enroll(conn)
		} else if errors.Is(err, syscall.ECONNRESET) {
			err = nil // its client has closed it already
		}
	}
	if err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, net.ErrClosed) {
		n.loop.log.Warn("accepting the queued connections failed", "error", err)
	}
}

// Addr returns the address, with the port that the kernel chose for port 0.
func (n *Listener) Addr() string { return n.ln.Addr().String() }

// Close stops accepting. Accepted connections stay open; queued ones are reset.
func (n *Listener) Close() { _ = n.ln.Close() }

// Wait waits until no more connections are accepted, after Close or DrainAndClose. The loop must be running.
func (n *Listener) Wait() { <-n.done }

// Done reports whether the listener has stopped accepting.
func (n *Listener) Done() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// DrainAndClose closes the listener after drainTime, once the queued connections have been accepted. It does not wait.
func (n *Listener) DrainAndClose() { _ = n.ln.SetDeadline(time.Now().Add(drainTime)) }

// Adopt adds a connection of another process to the loop, as an accepted one. unread is what that process received and did
// not discard. The handler is called back only after Conn.Resume. The loop owns the descriptor from then on. Adopt is for
// other goroutines; it returns after accept was called, or with an error.
func (l *Loop) Adopt(fd int, unread []byte, accept func(*Conn) Handler) error {
	conn, err := connFromFD(fd)
	if err != nil {
		return err
	}
	_, err = l.client.EnrollContext(conn, &Conn{loop: l, accept: accept, inbuf: unread, paused: true})
	return err
}
