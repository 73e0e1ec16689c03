// Package evloop runs the node's one event loop on gnet: its connections, its dials and its timers. Everything
// that a callback touches belongs to the loop, so nothing here or above needs a lock.
package evloop

import (
	"container/list"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// Loop is the event loop. Its methods are for callbacks on the loop, but for Do, Call, Listen and Stop, which
// are for other goroutines.
type Loop struct {
	gnet.BuiltinEventEngine

	log    *slog.Logger
	client *gnet.Client
	el     gnet.EventLoop
	base   time.Time // now counts from here, on the monotonic clock

	timers   timerHeap
	timerSeq uint64
	alarm    *time.Timer
	dialer   *dialer
	stop     sync.Once

	limits Limits
	links  int       // open connections and dials under way
	spare  list.List // of links that may be ended for want of room, the oldest first
	// finishing counts the accepted connections whose last words were said and whose peers have not closed yet.
	finishing int
	scratch   [readSize]byte // of Link.pull
	depth     int
	pending   []func() // run when the callback under way is done
}

// Limits bound what the loop holds.
type Limits struct {
	Links  int // open connections and dials under way
	Queued int // bytes that wait for a peer to read; its connection is given up beyond that
}

// Start starts the loop. It is a gnet client without addresses of its own: with gnet's server, one accept that
// fails, as for want of descriptors, ends the whole engine (acceptor_unix.go), and a listener cannot be closed
// before its connections. Here Listen accepts, and enrols what it accepted.
func Start(log *slog.Logger, limits Limits) (*Loop, error) {
	l := &Loop{log: log, base: time.Now(), limits: limits}
	var err error
	if l.client, err = gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLog{log}),
		gnet.WithReadBufferCap(readSize), gnet.WithTCPNoDelay(gnet.TCPNoDelay)); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	if err := l.client.Start(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	if err := l.attach(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	if l.dialer, err = newDialer(l); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return l, nil
}

// attach learns the handle of gnet's loop, which only a connection tells: one to ourselves serves as one.
func (l *Loop) attach() error {
	conn, other, err := unixPair()
	if err != nil { // some systems have no Unix sockets
		l.log.Info("no socket pair here; a loopback connection takes its place", "error", err)
		if conn, other, err = loopbackPair(); err != nil {
			return err
		}
	}
	defer other.Close()
	c, err := l.client.EnrollContext(conn, &Link{loop: l, closed: true})
	if err != nil {
		return err
	}
	l.el = c.EventLoop()
	return nil
}

// socketpair is replaced in tests.
var socketpair = func() ([2]int, error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	return fds, os.NewSyscallError("socketpair", err)
}

func unixPair() (net.Conn, io.Closer, error) {
	fds, err := socketpair()
	if err != nil {
		return nil, nil, err
	}
	other := os.NewFile(uintptr(fds[1]), "loop")
	file := os.NewFile(uintptr(fds[0]), "loop")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		other.Close()
	}
	return conn, other, err
}

func loopbackPair() (net.Conn, io.Closer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer ln.Close()
	other, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	conn, err := ln.Accept()
	if err != nil {
		other.Close()
	}
	return conn, other, err
}

// Stop ends the loop. Connections are cut. A second call does nothing: gnet would close its descriptors again, which
// others may hold by then.
func (l *Loop) Stop() { l.stop.Do(l.end) }

func (l *Loop) end() {
	if err := l.client.Stop(); err != nil {
		l.log.Warn("event loop stopped with an error", "error", err)
	}
	l.dialer.stop()
}

// Do runs f on the loop soon. It says whether there is still a loop to run it.
func (l *Loop) Do(f func()) bool {
	run := gnet.RunnableFunc(func(context.Context) error {
		l.enter()
		defer l.leave()
		f()
		return nil
	})
	if err := l.el.Execute(context.Background(), run); err != nil {
		l.log.Debug("event loop is closed", "error", err)
		return false
	}
	return true
}

// Call runs f on the loop and waits for its end. It is for other goroutines only.
func (l *Loop) Call(f func()) {
	done := make(chan struct{})
	if l.Do(func() {
		defer close(done)
		f()
	}) {
		<-done
	}
}

// Now returns the time since the start of 1970. It goes on from the system's clock at the start, never steps,
// and compares with the Unix times that discovery gives.
func (l *Loop) Now() time.Duration {
	return time.Duration(l.base.UnixNano()) + time.Since(l.base)
}

// Held returns how many connections are open or being made, but for those that may be ended for want of room.
func (l *Loop) Held() int { return l.links - l.spare.Len() }

// Links returns how many connections are open or being made.
func (l *Loop) Links() int { return l.links }

// Limit changes how many connections there may be.
func (l *Loop) Limit(links int) {
	l.limits.Links = links
	l.makeRoom()
}

// makeRoom ends spare connections while there are too many. Descriptors that run out would fail dials and accepts.
func (l *Loop) makeRoom() {
	for l.links > l.limits.Links && l.shed() {
	}
}

// shed ends the oldest spare connection. One whose peer has sent something meanwhile is no longer idle: its handler looks
// at that first, since a close over unread input would reset the connection and leave a request without an answer.
func (l *Loop) shed() bool {
	for range l.spare.Len() {
		k := l.spare.Front().Value.(*Link)
		if k.ending != nil || k.pull() == 0 {
			k.dismiss()
			return true
		}
		l.spare.MoveToBack(k.spare)
		l.Defer(func() {
			if !k.closed {
				k.receive()
			}
		})
	}
	return false
}

// Finishing returns how many accepted connections have been told their last words by Finish and are not closed by their
// peers yet. A process that ends now would reset those that still send.
func (l *Loop) Finishing() int { return l.finishing }

// Defer runs f when the callback under way is done.
func (l *Loop) Defer(f func()) { l.pending = append(l.pending, f) }

// enter and leave enclose all that runs on the loop. Closed callbacks wait for the end of the callback under
// way, so that no object is called back from inside its own call.
func (l *Loop) enter() { l.depth++ }

func (l *Loop) leave() {
	if l.depth == 1 {
		for len(l.pending) > 0 {
			f := l.pending[0]
			l.pending = l.pending[1:]
			f()
		}
		l.pending = nil
	}
	l.depth--
}

// OnOpen implements gnet.EventHandler.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l.enter()
	defer l.leave()
	return nil, c.Context().(*Link).opened(c)
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	l.enter()
	defer l.leave()
	c.Context().(*Link).traffic(c)
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, err error) gnet.Action {
	l.enter()
	defer l.leave()
	c.Context().(*Link).ended(err)
	return gnet.None
}

// gnetLog hands gnet's log lines on. It warns of each event that waited for a connection when another one's callback
// closed it, which is nothing to warn of.
type gnetLog struct{ log *slog.Logger }

func (g gnetLog) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLog) Infof(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLog) Warnf(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLog) Errorf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
func (g gnetLog) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
