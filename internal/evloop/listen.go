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

// retireAfter is how long a listener that retires goes on accepting: a connection whose set-up was under way when the
// other process began to listen comes up at once.
const retireAfter = 20 * time.Millisecond

// Listener accepts connections for the loop.
type Listener struct {
	loop   *Loop
	ln     *net.TCPListener
	accept func(*Link) Handler
	done   chan struct{} // closed once nothing is accepted any more
}

// Listen accepts connections at addr until the listener is closed; accept gives each its handler. Accepting has
// one goroutine of its own, since enrolling waits for the loop.
func (l *Loop) Listen(addr string, accept func(*Link) Handler) (*Listener, error) {
	return l.listen(net.ListenConfig{}, addr, accept)
}

// ListenShared is Listen for an address at which another process of this user may listen too, as long as both do so by
// ListenShared. Of two, the later gets all connections that come from then on. Unless another is expected, the address
// is asked for alone first: it is an error then if somebody listens there already.
func (l *Loop) ListenShared(addr string, expected bool, accept func(*Link) Handler) (*Listener, error) {
	if !expected {
		var err error
		if addr, err = unshared(addr); err != nil {
			return nil, err
		}
	}
	n, err := l.listen(net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return onSocket(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}, addr, accept)
	if err != nil {
		return nil, err
	}
	raw, err := n.ln.SyscallConn()
	if err == nil {
		err = onSocket(raw, dealToLatest)
	}
	if err != nil { // the kernel then deals them out evenly until the other closes
		l.log.Info("new connections cannot be kept from another process at this address", "error", err)
	}
	return n, nil
}

// unshared says whether an address is nobody else's, and returns it with a port where it left that open. The address is
// bound and not listened at: a listener that is closed again would take connections in between, with queries on them, and
// reset them.
func unshared(addr string) (string, error) {
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
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil { // of an earlier run, closed just now
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

// dealToLatest attaches a filter to the group of sockets that listen at an address: it names the socket that takes a
// connection by its place. Two at most are there, and the later is the second; the kernel deals by hash where the
// place named is empty, that is, where there is one only.
func dealToLatest(fd int) error {
	second := [1]unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	return os.NewSyscallError("setsockopt", unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: 1, Filter: &second[0]}))
}

// onSocket runs f with the descriptor of a connection.
func onSocket(raw syscall.RawConn, f func(fd int) error) error {
	var err error
	if outer := raw.Control(func(fd uintptr) { err = f(int(fd)) }); outer != nil {
		return outer
	}
	return err
}

func (l *Loop) listen(by net.ListenConfig, addr string, accept func(*Link) Handler) (*Listener, error) {
	ln, err := by.Listen(context.Background(), "tcp", addr)
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
			n.takeQueued()
			n.Close()
			return
		case err == nil:
			err = n.enrol(conn)
		}
		if err != nil { // out of descriptors, most likely: free some, and go on
			n.loop.log.Warn("accepting a connection failed", "error", err)
			n.loop.Do(func() { n.loop.shed() })
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// enrol hands a connection to the loop.
func (n *Listener) enrol(conn net.Conn) error {
	_, err := n.loop.client.EnrollContext(conn, &Link{loop: n.loop, accept: n.accept})
	return err
}

// takeQueued accepts what is still queued, and waits for nothing.
func (n *Listener) takeQueued() {
	raw, err := n.ln.SyscallConn()
	for err == nil {
		var fd int
		if err = onSocket(raw, func(ln int) (err error) {
			fd, _, err = unix.Accept4(ln, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			return err
		}); err != nil {
			break
		}
		var conn net.Conn
		if conn, err = connOf(fd); err == nil {
			err = n.enrol(conn)
		} else if errors.Is(err, syscall.ECONNRESET) {
			err = nil // its client has gone already
		}
	}
	if err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, net.ErrClosed) {
		n.loop.log.Warn("accepting what was queued failed", "error", err)
	}
}

// Addr returns the address, with the port that was given where 0 was asked for.
func (n *Listener) Addr() string { return n.ln.Addr().String() }

// Close stops accepting. Connections that were accepted stay; those that are queued are reset.
func (n *Listener) Close() { _ = n.ln.Close() }

// Wait waits until nothing is accepted any more, after Close or Retire. The loop must be running.
func (n *Listener) Wait() { <-n.done }

// Done says whether nothing is accepted any more.
func (n *Listener) Done() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Retire stops accepting in a moment, once what is queued has been accepted.
func (n *Listener) Retire() { _ = n.ln.SetDeadline(time.Now().Add(retireAfter)) }

// Adopt brings a connection that another process had into the loop, as an accepted one, with what that process received
// and did not use up. What comes is called back after Link.Resume. The descriptor is the loop's from then on. It is for
// other goroutines, and returns once accept was called, or with an error.
func (l *Loop) Adopt(fd int, unread []byte, accept func(*Link) Handler) error {
	conn, err := connOf(fd)
	if err != nil {
		return err
	}
	_, err = l.client.EnrollContext(conn, &Link{loop: l, accept: accept, in: unread, paused: true})
	return err
}
