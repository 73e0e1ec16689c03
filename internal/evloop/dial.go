package evloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// ErrConnectTimeout is the error of a connection that was not established within its time-out.
var ErrConnectTimeout = errors.New("connection was not established within the time-out")

// dialer opens connections without blocking the loop. gnet's own dial waits in a worker, without a time-out, until the
// connection is established: a host that has vanished would occupy a worker for minutes. Here the sockets connect in the
// background, and one goroutine waits for all of them. It only notifies the loop; the sockets belong to the loop.
type dialer struct {
	loop      *Loop
	epollFD   int
	wakeFD    int // eventfd that ends wait
	dials     map[uint64]*pendingDial
	lastToken uint64
}

// pendingDial is a connection that is being established.
type pendingDial struct {
	dialer *dialer
	conn   *Conn
	token  uint64
	fd     int // -1 after it was passed to gnet or closed
	timer  *Timer
}

func newDialer(l *Loop) (*dialer, error) {
	d := &dialer{loop: l, dials: make(map[uint64]*pendingDial)}
	var err error
	if d.epollFD, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if d.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return nil, os.NewSyscallError("eventfd", err)
	}
	if err = d.watch(d.wakeFD, 0, unix.EPOLLIN); err != nil {
		return nil, err
	}
	go d.wait()
	return d, nil
}

func (d *dialer) stop() {
	one := [8]byte{1}
	_, _ = unix.Write(d.wakeFD, one[:])
}

func (d *dialer) watch(fd int, token uint64, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(token), Pad: int32(token >> 32)}
	return os.NewSyscallError("epoll_ctl", unix.EpollCtl(d.epollFD, unix.EPOLL_CTL_ADD, fd, &event))
}

// wait notifies the loop of sockets whose connection is established or has failed. It identifies them by token: the
// descriptor number may belong to another socket by the time the loop runs the notification.
func (d *dialer) wait() {
	events := make([]unix.EpollEvent, 64)
	for {
		n, err := unix.EpollWait(d.epollFD, events, -1)
		if err != nil && !errors.Is(err, unix.EINTR) {
			d.loop.log.Error("epoll_wait for outgoing connections failed; no further dial completes", "error", err)
			return
		}
		for _, e := range events[:max(n, 0)] {
			token := uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32
			if token == 0 {
				return
			}
			d.loop.Do(func() { d.finishDial(token) })
		}
	}
}

// Dial opens a connection to addr and calls h back. If it is not established within the time-out, h.Closed is called
// with ErrConnectTimeout.
func (l *Loop) Dial(addr string, timeout time.Duration, h Handler) *Conn {
	k := &Conn{loop: l, handler: h}
	l.conns++
	l.enforceLimit()
	fd, err := connect(addr)
	if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) {
		err = ErrTooManyConns
	}
	if err != nil {
		k.fail(err)
		return k
	}
	l.dialer.lastToken++
	c := &pendingDial{dialer: l.dialer, conn: k, token: l.dialer.lastToken, fd: fd}
	l.dialer.dials[c.token] = c
	k.dial = c
	c.timer = l.After(timeout, func() { k.fail(ErrConnectTimeout) })
	if err := l.dialer.watch(fd, c.token, unix.EPOLLOUT|unix.EPOLLONESHOT); err != nil {
		k.fail(err)
	}
	return k
}

// connect opens a non-blocking socket and starts its connection.
func connect(addr string) (int, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return -1, fmt.Errorf("address: %w", err)
	}
	family, to := sockaddr(ap)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	if err := unix.Connect(fd, to); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		_ = unix.Close(fd)
		return -1, os.NewSyscallError("connect", err)
	}
	return fd, nil
}

// sockaddr converts an address for the system calls and returns its family.
func sockaddr(ap netip.AddrPort) (int, unix.Sockaddr) {
	if ip := ap.Addr().Unmap(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ip.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}
}

// finishDial passes a socket to gnet once it is connected.
func (d *dialer) finishDial(token uint64) {
	c := d.dials[token]
	if c == nil {
		return // cancelled in the meantime
	}
	status, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && status != 0 {
		err = syscall.Errno(status)
	}
	if err != nil {
		c.conn.fail(os.NewSyscallError("connect", err))
		return
	}
	delete(d.dials, token)
	_ = unix.EpollCtl(d.epollFD, unix.EPOLL_CTL_DEL, c.fd, nil)
	conn, err := connFromFD(c.fd)
	if c.fd = -1; err == nil {
		// The timer runs until the connection is enrolled, since gnet does not report an enrolment that fails later.
		_, err = d.loop.el.Enroll(gnet.NewContext(context.Background(), c.conn), conn)
	}
	if err != nil {
		c.conn.fail(err)
	}
}

// connFromFD returns the connection of a descriptor and takes ownership of the descriptor. It returns an error for a
// connection that was reset in the meantime: that has no remote address, and gnet, which asks for one, would panic.
func connFromFD(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "connection")
	conn, err := net.FileConn(file)
	_ = file.Close()
	if err == nil && conn.RemoteAddr() == nil {
		_ = conn.Close()
		return nil, syscall.ECONNRESET
	}
	return conn, err
}

// cancel stops the dial and closes its socket.
func (c *pendingDial) cancel() {
	c.timer.Stop()
	if c.fd >= 0 {
		delete(c.dialer.dials, c.token)
		_ = unix.Close(c.fd) // also removes it from the epoll set
		c.fd = -1
	}
	c.conn.dial = nil
}
