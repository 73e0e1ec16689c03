package processes

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// Direction is a direction on a link.
type Direction uint8

// The directions: ToTarget from the caller to the called peer, ToCaller back.
const (
	ToTarget Direction = iota
	ToCaller
)

func (d Direction) String() string { return [...]string{"out", "back"}[d] }

const (
	chunkBytes      = 4096 // maximum bytes of one read
	maxQueuedChunks = 64   // queued per direction of a connection while it is delayed or throttled
)

// Link is a proxy through which one peer calls another. It owns a port for the whole test, and learns the address of the
// target once that is known. A connection can only be set up while both directions work: while one is cut or stalled, new
// connections are accepted and get no response (a process on loopback cannot lose the first packet of a connection).
type Link struct {
	From, To string
	t        testing.TB
	port     *port
	changes  notifier

	listenMu sync.Mutex // locked before mu

	mu         sync.Mutex
	target     string // "" while the target does not run
	refuses    bool
	directions [2]directionState
	conns      map[*proxiedConn]bool
	closed     bool
}

// directionState is the state of one direction.
type directionState struct {
	cut, stalled bool
	delay        time.Duration
	rate         int // bytes per second and connection; 0: unlimited
	resetAfter   int // reset the connection after this many more bytes; -1: never
	passed       int64
	dropped      int64
}

// proxiedConn is a connection from a caller and the one made for it to the target.
type proxiedConn struct {
	in, out   *net.TCPConn // out is nil until the target is connected
	lostBytes bool         // bytes were dropped: the connection cannot continue
	once      sync.Once
	done      chan struct{}
}

// resetConn resets a connection on both sides.
func (l *Link) resetConn(p *proxiedConn) {
	l.mu.Lock()
	out := p.out
	l.mu.Unlock()
	p.once.Do(func() {
		close(p.done)
		reset(p.in)
		reset(out)
	})
}

// NewLink returns a healthy link to target, which is "" if it is not known yet.
func NewLink(t testing.TB, from, to, target string) *Link {
	t.Helper()
	l := &Link{From: from, To: to, t: t, port: newPort(t), target: target, conns: make(map[*proxiedConn]bool)}
	for d := range l.directions {
		l.directions[d].resetAfter = -1
	}
	t.Cleanup(l.close)
	l.updateListener()
	return l
}

// Addr returns the address to call.
func (l *Link) Addr() string { return l.port.addr }

// SetTarget sets the address of the target from now on; "" while it does not listen. Open connections stay as they are.
func (l *Link) SetTarget(target string) {
	l.update(func() { l.target = target })
	l.updateListener()
}

// Cut drops all bytes in these directions, or in both if none is given; open connections stay open and receive nothing.
// Heal resets those that have lost bytes.
func (l *Link) Cut(directions ...Direction) {
	l.updateDirections(directions, func(state *directionState) { state.cut = true })
}

// Stall holds back all bytes in these directions, or in both if none is given, without closing any connection; Heal
// delivers them, and resets connections that were opened during the stall.
func (l *Link) Stall(directions ...Direction) {
	l.updateDirections(directions, func(state *directionState) { state.stalled = true })
}

// Delay delays each byte of a direction.
func (l *Link) Delay(direction Direction, delay time.Duration) {
	l.updateDirections([]Direction{direction}, func(state *directionState) { state.delay = delay })
}

// Throttle limits a direction of each connection to this many bytes per second.
func (l *Link) Throttle(direction Direction, bytesPerSecond int) {
	l.updateDirections([]Direction{direction}, func(state *directionState) { state.rate = bytesPerSecond })
}

// ResetAfter resets, once, the connection on which the next n bytes of a direction end, after they have passed. That is in
// the middle of a message if the message is longer.
func (l *Link) ResetAfter(direction Direction, n int) {
	l.updateDirections([]Direction{direction}, func(state *directionState) { state.resetAfter = n })
}

// Refuse refuses new connections; open ones stay open.
func (l *Link) Refuse() {
	l.update(func() { l.refuses = true })
	l.updateListener()
}

// Reset resets all open connections.
func (l *Link) Reset() {
	for _, p := range l.openConns() {
		l.resetConn(p)
	}
}

// Heal ends all faults of the link.
func (l *Link) Heal() {
	var unusable []*proxiedConn
	l.update(func() {
		for direction := range l.directions {
			state := &l.directions[direction]
			*state = directionState{resetAfter: -1, passed: state.passed, dropped: state.dropped}
		}
		l.refuses = false
		for p := range l.conns {
			if p.lostBytes || p.out == nil {
				unusable = append(unusable, p)
			}
		}
	})
	for _, p := range unusable {
		l.resetConn(p)
	}
	l.updateListener()
}

// BytesPassed returns the number of bytes delivered in a direction so far, over all connections.
func (l *Link) BytesPassed(direction Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directions[direction].passed
}

// BytesDropped returns the number of bytes dropped in a direction so far, over all connections.
func (l *Link) BytesDropped(direction Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directions[direction].dropped
}

// Await waits until cond holds. It is checked whenever bytes were delivered or dropped, or the link has changed.
func (l *Link) Await(what string, cond func() bool) {
	l.t.Helper()
	l.changes.await(l.t, what, cond, nil)
}

// OpenConns returns the number of open connections.
func (l *Link) OpenConns() int { return len(l.openConns()) }

func (l *Link) openConns() []*proxiedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*proxiedConn
	for p := range l.conns {
		all = append(all, p)
	}
	return all
}

func (l *Link) updateDirections(directions []Direction, set func(*directionState)) {
	if len(directions) == 0 {
		directions = []Direction{ToTarget, ToCaller}
	}
	l.update(func() {
		for _, direction := range directions {
			set(&l.directions[direction])
		}
	})
	l.updateListener()
}

func (l *Link) update(set func()) {
	l.mu.Lock()
	set()
	l.mu.Unlock()
	l.changes.notify()
}

func (l *Link) close() {
	l.update(func() { l.closed = true })
	l.updateListener()
	l.Reset()
}

// updateListener starts or stops listening to match the state of the link: without a target it refuses connections, unless
// a direction is blocked.
func (l *Link) updateListener() {
	l.listenMu.Lock()
	defer l.listenMu.Unlock()
	l.mu.Lock()
	open := !l.closed && !l.refuses && (l.target != "" || l.blocked())
	l.mu.Unlock()
	if !open {
		l.port.close()
	} else if err := l.port.listen(l.accept); err != nil {
		l.t.Errorf("listen for the link from %s to %s: %v", l.From, l.To, err)
	}
}

// blocked reports whether no connection can be set up; mu is held.
func (l *Link) blocked() bool {
	return l.directions[ToTarget].cut || l.directions[ToCaller].cut || l.directions[ToTarget].stalled || l.directions[ToCaller].stalled
}

// accept handles a new connection and connects it to the target.
func (l *Link) accept(in *net.TCPConn) {
	p := &proxiedConn{in: in, done: make(chan struct{})}
	l.mu.Lock()
	target, blocked := l.target, l.blocked()
	if l.closed || l.refuses || target == "" && !blocked {
		l.mu.Unlock()
		reset(in)
		return
	}
	l.conns[p] = true
	l.mu.Unlock()
	l.changes.notify()
	go func() {
		defer l.update(func() { delete(l.conns, p) })
		if blocked {
			l.drainBlocked(p)
			return
		}
		c, err := net.DialTimeout("tcp4", target, EventTimeout)
		if err == nil && c.LocalAddr().String() == c.RemoteAddr().String() {
			c.Close() // no process listened, and the system connected the socket to itself
			err = errors.New("no process listens at the target")
		}
		if err != nil {
			l.resetConn(p)
			return
		}
		l.update(func() { p.out = c.(*net.TCPConn) })
		select {
		case <-p.done: // reset meanwhile, before out was set
			reset(p.out) // a second reset does no harm
			return
		default:
		}
		var both sync.WaitGroup
		for direction, ends := range [2][2]*net.TCPConn{{p.in, p.out}, {p.out, p.in}} {
			both.Go(func() { l.copyDirection(p, Direction(direction), ends[0], ends[1]) })
		}
		both.Wait()
		l.resetConn(p)
	}()
}

// drainBlocked holds a connection that cannot be set up until its caller gives up or the link is healed.
func (l *Link) drainBlocked(p *proxiedConn) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := p.in.Read(buf)
		l.update(func() { l.directions[ToTarget].dropped += int64(n) })
		if err != nil {
			l.resetConn(p)
			return
		}
	}
}

// chunk is the result of one read; nil bytes mean the end of the stream.
type chunk struct {
	bytes []byte
	at    time.Time
}

// copyDirection copies one direction of a connection from one socket to the other until it ends or the connection is reset.
func (l *Link) copyDirection(p *proxiedConn, direction Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			c := chunk{bytes: buf[:n], at: time.Now()}
			if err != nil && n == 0 {
				if !errors.Is(err, io.EOF) {
					l.handleReset(p, direction)
					return
				}
				c.bytes = nil
			}
			select {
			case queue <- c:
			case <-p.done:
				return
			}
			if c.bytes == nil {
				return
			}
		}
	}()
	for c := range queue {
		if !l.forward(p, direction, c, to) {
			return
		}
	}
}

// handleReset forwards a reset, unless the direction is cut or stalled.
func (l *Link) handleReset(p *proxiedConn, direction Direction) {
	l.mu.Lock()
	blocked := l.directions[direction].cut || l.directions[direction].stalled
	p.lostBytes = p.lostBytes || blocked
	l.mu.Unlock()
	if !blocked {
		l.resetConn(p)
	}
	l.changes.notify()
}

// forward delivers one chunk, and reports whether the connection continues.
func (l *Link) forward(p *proxiedConn, direction Direction, c chunk, to *net.TCPConn) bool {
	rest, ended := c.bytes, c.bytes == nil
	for ended || len(rest) > 0 {
		next := l.changes.changed()
		l.mu.Lock()
		state := &l.directions[direction]
		switch {
		case state.cut:
			state.dropped += int64(len(rest))
			p.lostBytes = true
			l.mu.Unlock()
			l.changes.notify()
			return !ended // the end of the stream is not forwarded either
		case state.stalled:
			l.mu.Unlock()
			if !waitChange(next, p.done, 0) {
				return false
			}
			continue
		}
		if due := time.Until(c.at.Add(state.delay)); due > 0 {
			l.mu.Unlock()
			if !waitChange(next, p.done, due) {
				return false
			}
			continue
		}
		if ended {
			l.mu.Unlock()
			return to.CloseWrite() == nil
		}
		n := len(rest)
		if state.rate > 0 {
			n = min(n, max(1, state.rate/20))
		}
		resets := state.resetAfter >= 0 && state.resetAfter <= n
		if resets {
			n = state.resetAfter
			state.resetAfter = -1
		} else if state.resetAfter > 0 {
			state.resetAfter -= n
		}
		rate := state.rate
		l.mu.Unlock()
		if _, err := to.Write(rest[:n]); err != nil {
			l.resetConn(p)
			return false
		}
		l.update(func() { l.directions[direction].passed += int64(n) })
		if resets {
			l.resetConn(p)
			return false
		}
		if rest = rest[n:]; rate > 0 && !sleep(p.done, time.Duration(n)*time.Second/time.Duration(rate)) {
			return false
		}
	}
	return true
}

// waitChange waits for a change, or for the timeout if it is above 0. It returns false if done is closed first.
func waitChange(change, done <-chan struct{}, timeout time.Duration) bool {
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-change:
	case <-expired:
	case <-done:
		return false
	}
	return true
}

// sleep waits for the duration regardless of changes. It returns false if done is closed first.
func sleep(done <-chan struct{}, duration time.Duration) bool { return waitChange(nil, done, duration) }
