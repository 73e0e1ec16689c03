// Package evloop runs the node's single event loop on gnet, with its connections, dials and timers. All state that
// callbacks touch belongs to the loop, so that neither this package nor its callers need locks.
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
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// Loop is the event loop. Its methods are for callbacks on the loop, except for Do, Call, Adopt, Listen, ListenShared and
// Stop, which are for other goroutines.
type Loop struct {
	gnet.BuiltinEventEngine

	log    *slog.Logger
	client *gnet.Client
	el     gnet.EventLoop
	start  time.Time // Now counts from here, on the monotonic clock

	timers      timerHeap
	timerSeq    uint64
	systemTimer *time.Timer
	dialer      *dialer
	stop        sync.Once

	limits    Limits
	conns     int       // open connections and pending dials
	evictable list.List // connections that may be closed when there are too many, oldest first
	// lingering counts the accepted connections in LingeringClose whose peers have not closed yet.
	lingering     int
	drainer       drainer
	scratch       [readSize]byte // for Conn.readUnread and the drainer
	longestWait   atomic.Int64   // of accepted connections for the loop since TakeLongestWait, in nanoseconds
	callbackDepth int
	deferred      []func() // run when the current callback returns
}

// Limits are the resource limits of a loop.
type Limits struct {
	Conns  int // open connections and pending dials
	Queued int // output bytes that may wait for one peer; beyond that its connection is closed
}

// Start starts the loop. It is a gnet client, without listeners: in gnet's server one failed accept, such as for lack of
// descriptors, stops the whole engine (acceptor_unix.go), and a listener cannot be closed before its connections. Listen
// accepts connections instead and enrols them in the client.
func Start(log *slog.Logger, limits Limits) (*Loop, error) {
	l := &Loop{log: log, start: time.Now(), limits: limits}
	l.drainer.loop = l
	var err error
	if l.client, err = gnet.NewClient(l, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{log}),
		gnet.WithReadBufferCap(readSize), gnet.WithTCPNoDelay(gnet.TCPNoDelay)); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	if err := l.client.Start(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	if err := l.learnEventLoop(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	if l.dialer, err = newDialer(l); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return l, nil
}

// learnEventLoop obtains the handle of gnet's event loop. gnet exposes it only through a connection, so that this opens
// one to the process itself.
func (l *Loop) learnEventLoop() error {
	conn, other, err := unixPair()
	if err != nil { // some systems do not support Unix sockets
		l.log.Info("cannot create a Unix socket pair; using a loopback connection instead", "error", err)
		if conn, other, err = loopbackPair(); err != nil {
			return err
		}
	}
	defer other.Close()
	c, err := l.client.EnrollContext(conn, &Conn{loop: l, closed: true})
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

// Stop stops the loop and closes its connections. A second call does nothing: gnet would close its descriptor numbers
// again, which may belong to other files by then.
func (l *Loop) Stop() { l.stop.Do(l.shutdown) }

func (l *Loop) shutdown() {
	if err := l.client.Stop(); err != nil {
		l.log.Warn("stopping the event loop failed", "error", err)
	}
	l.dialer.stop()
	l.drainer.closeAll()
}

// Do schedules f on the loop. It returns false if the loop has stopped.
func (l *Loop) Do(f func()) bool {
	run := gnet.RunnableFunc(func(context.Context) error {
		l.enter()
		defer l.leave()
		f()
		return nil
	})
	if err := l.el.Execute(context.Background(), run); err != nil {
		l.log.Debug("cannot schedule a call; the event loop has stopped", "error", err)
		return false
	}
	return true
}

// Call runs f on the loop and waits until it returns. It is for other goroutines only.
func (l *Loop) Call(f func()) {
	done := make(chan struct{})
	if l.Do(func() {
		defer close(done)
		f()
	}) {
		<-done
	}
}

// Now returns the time since the Unix epoch (1970). It is the system time at the start plus the monotonic time since, so that it
// never steps and can be compared with the Unix times that discovery gives.
func (l *Loop) Now() time.Duration {
	return time.Duration(l.start.UnixNano()) + time.Since(l.start)
}

// ActiveConns returns the number of open connections and pending dials, without the evictable ones.
func (l *Loop) ActiveConns() int { return l.conns - l.evictable.Len() }

// Conns returns the number of open connections and pending dials.
func (l *Loop) Conns() int { return l.conns }

// SetMaxConns changes the limit on the number of connections.
func (l *Loop) SetMaxConns(conns int) {
	l.limits.Conns = conns
	l.enforceLimit()
}

// enforceLimit evicts connections while there are too many. Without descriptors, dials and accepts would fail.
func (l *Loop) enforceLimit() {
	for l.conns > l.limits.Conns && l.evictOldest() {
	}
}

// evictOldest closes the oldest evictable connection and returns false if there is none. A connection with unread input is
// not idle: its handler receives that input instead, since a close would reset the connection and leave a request
// unanswered.
func (l *Loop) evictOldest() bool {
	for range l.evictable.Len() {
		k := l.evictable.Front().Value.(*Conn)
		if k.isLingering() || !k.hasUnread() {
			k.evict()
			return true
		}
		l.evictable.MoveToBack(k.evictable)
		l.Defer(k.receiveUnread)
	}
	return false
}

// recordWait records how long an accepted connection has waited for the loop. It may be called from any goroutine.
func (l *Loop) recordWait(wait time.Duration) {
	for longest := l.longestWait.Load(); int64(wait) > longest; longest = l.longestWait.Load() {
		if l.longestWait.CompareAndSwap(longest, int64(wait)) {
			return
		}
	}
}

// TakeLongestWait returns the longest time that a connection has waited for the loop after it was accepted, since the last call.
// Clients that wait for much longer wait for something else: the kernel, or the machine.
func (l *Loop) TakeLongestWait() time.Duration { return time.Duration(l.longestWait.Swap(0)) }

// Lingering returns the number of accepted connections in LingeringClose whose peers have not closed yet. A process that
// exits now would reset those whose peers still send.
func (l *Loop) Lingering() int { return l.lingering }

// Defer runs f when the current callback returns.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// enter and leave enclose everything that runs on the loop. Deferred calls, such as Closed callbacks, wait until the
// current callback returns, so that no object is called back from inside its own call.
func (l *Loop) enter() { l.callbackDepth++ }

func (l *Loop) leave() {
	if l.callbackDepth == 1 {
		for len(l.deferred) > 0 {
			f := l.deferred[0]
			l.deferred = l.deferred[1:]
			f()
		}
		l.deferred = nil
	}
	l.callbackDepth--
}

// OnOpen implements gnet.EventHandler.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l.enter()
	defer l.leave()
	return nil, c.Context().(*Conn).onOpen(c)
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	l.enter()
	defer l.leave()
	c.Context().(*Conn).onTraffic(c)
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, err error) gnet.Action {
	l.enter()
	defer l.leave()
	c.Context().(*Conn).onClose(err)
	return gnet.None
}

// gnetLogger passes on gnet's log lines. Warnings become debug lines: gnet warns of every event that was pending for a
// connection when another connection's callback closed it, which is normal.
type gnetLogger struct{ log *slog.Logger }

func (g gnetLogger) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Infof(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Warnf(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
