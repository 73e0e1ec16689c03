package processes

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// Way is a direction on a link.
type Way uint8

// The ways: Out from who calls to who is called, Back the other one.
const (
	Out Way = iota
	Back
)

func (w Way) String() string { return [...]string{"out", "back"}[w] }

const (
	pieceBytes   = 4096 // read at once
	piecesQueued = 64   // of one way of a connection, while they are delayed or throttled
)

// Link is a proxy that one peer calls another through. It owns a port for the whole of the test, and learns where the other
// one listens when that is known. A connection needs both ways to come up: while one is cut or silent, new ones are taken
// and stay silent (a process on loopback cannot lose the first packet of a connection).
type Link struct {
	From, To string
	t        testing.TB
	port     *port
	news     news

	settling sync.Mutex // before mu

	mu      sync.Mutex
	target  string // "" while the other side does not run
	refuses bool
	ways    [2]way
	pairs   map[*pair]bool
	closed  bool
}

// way is what one direction does to what passes.
type way struct {
	cut, silent bool
	delay       time.Duration
	rate        int // bytes a second; 0: no bound
	resetAfter  int // bytes more, and the connection on which they end is reset; -1: never
	passed      int64
	swallowed   int64
}

// pair is one connection: what came in, and what was made for it.
type pair struct {
	in, out *net.TCPConn // out is nil while it waits for a link that carries
	lost    bool         // something was swallowed: it cannot go on
	once    sync.Once
	over    chan struct{}
}

// reset ends a connection on both sides.
func (l *Link) reset(p *pair) {
	l.mu.Lock()
	out := p.out
	l.mu.Unlock()
	p.once.Do(func() {
		close(p.over)
		reset(p.in)
		reset(out)
	})
}

// NewLink returns a sound link that leads to target; "" where that is not known yet.
func NewLink(t testing.TB, from, to, target string) *Link {
	t.Helper()
	l := &Link{From: from, To: to, t: t, port: newPort(t), target: target, pairs: make(map[*pair]bool)}
	for w := range l.ways {
		l.ways[w].resetAfter = -1
	}
	t.Cleanup(l.close)
	l.settle()
	return l
}

// Addr is where to call.
func (l *Link) Addr() string { return l.port.addr }

// Aim tells where the other side listens from now on; "" while it does not. Open connections stay as they are.
func (l *Link) Aim(target string) {
	l.change(func() { l.target = target })
	l.settle()
}

// Cut swallows what goes these ways, all where none is named; open connections stay open and hear nothing. Heal resets those
// that have lost something.
func (l *Link) Cut(ways ...Way) { l.each(ways, func(w *way) { w.cut = true }) }

// Silence holds back what goes these ways, all where none is named, without an end to any connection; Heal lets it go on.
func (l *Link) Silence(ways ...Way) { l.each(ways, func(w *way) { w.silent = true }) }

// Delay has each byte of a way come so much later.
func (l *Link) Delay(w Way, by time.Duration) { l.each([]Way{w}, func(s *way) { s.delay = by }) }

// Throttle bounds a way of each connection to so many bytes a second.
func (l *Link) Throttle(w Way, bytes int) { l.each([]Way{w}, func(s *way) { s.rate = bytes }) }

// ResetAfter resets the connection on which the next n bytes of a way end, once they have passed: inside a message, where
// that is longer. It happens once.
func (l *Link) ResetAfter(w Way, n int) { l.each([]Way{w}, func(s *way) { s.resetAfter = n }) }

// Refuse refuses new connections; open ones stay.
func (l *Link) Refuse() {
	l.change(func() { l.refuses = true })
	l.settle()
}

// Reset resets all open connections.
func (l *Link) Reset() {
	for _, p := range l.open() {
		l.reset(p)
	}
}

// Heal makes the link sound.
func (l *Link) Heal() {
	var lost []*pair
	l.change(func() {
		for w := range l.ways {
			s := &l.ways[w]
			*s = way{resetAfter: -1, passed: s.passed, swallowed: s.swallowed}
		}
		l.refuses = false
		for p := range l.pairs {
			if p.lost || p.out == nil {
				lost = append(lost, p)
			}
		}
	})
	for _, p := range lost {
		l.reset(p)
	}
	l.settle()
}

// Passed is how many bytes have passed a way so far, on all connections.
func (l *Link) Passed(w Way) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ways[w].passed
}

// Swallowed is how many bytes of a way were lost so far, on all connections.
func (l *Link) Swallowed(w Way) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ways[w].swallowed
}

// Await waits until cond holds, which is looked at whenever something has passed, was lost or has changed.
func (l *Link) Await(what string, cond func() bool) {
	l.t.Helper()
	l.news.await(l.t, what, cond, nil)
}

// Open is how many connections are open.
func (l *Link) Open() int { return len(l.open()) }

func (l *Link) open() []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*pair
	for p := range l.pairs {
		all = append(all, p)
	}
	return all
}

func (l *Link) each(ways []Way, set func(*way)) {
	if len(ways) == 0 {
		ways = []Way{Out, Back}
	}
	l.change(func() {
		for _, w := range ways {
			set(&l.ways[w])
		}
	})
	l.settle()
}

func (l *Link) change(set func()) {
	l.mu.Lock()
	set()
	l.mu.Unlock()
	l.news.tell()
}

func (l *Link) close() {
	l.change(func() { l.closed = true })
	l.settle()
	l.Reset()
}

// settle listens or refuses, as things stand: where nobody runs behind a link that carries, it refuses.
func (l *Link) settle() {
	l.settling.Lock()
	defer l.settling.Unlock()
	l.mu.Lock()
	open := !l.closed && !l.refuses && (l.target != "" || l.dead())
	l.mu.Unlock()
	if !open {
		l.port.close()
	} else if err := l.port.listen(l.take); err != nil {
		l.t.Errorf("the port of %s to %s: %v", l.From, l.To, err)
	}
}

// dead says whether no connection can come up; mu is held.
func (l *Link) dead() bool {
	return l.ways[Out].cut || l.ways[Back].cut || l.ways[Out].silent || l.ways[Back].silent
}

// take takes a connection and makes its other half.
func (l *Link) take(in *net.TCPConn) {
	p := &pair{in: in, over: make(chan struct{})}
	l.mu.Lock()
	target, dead := l.target, l.dead()
	if l.closed || l.refuses || target == "" && !dead {
		l.mu.Unlock()
		reset(in)
		return
	}
	l.pairs[p] = true
	l.mu.Unlock()
	l.news.tell()
	go func() {
		defer l.change(func() { delete(l.pairs, p) })
		if dead {
			l.stranded(p)
			return
		}
		c, err := net.DialTimeout("tcp4", target, Patience)
		if err == nil && c.LocalAddr().String() == c.RemoteAddr().String() {
			c.Close() // nobody listened, and the system joined the socket to itself
			err = errors.New("nobody listens")
		}
		if err != nil {
			l.reset(p)
			return
		}
		l.change(func() { p.out = c.(*net.TCPConn) })
		select {
		case <-p.over: // reset meanwhile, without the second half
			reset(p.out) // once more does no harm
			return
		default:
		}
		var both sync.WaitGroup
		for w, ends := range [2][2]*net.TCPConn{{p.in, p.out}, {p.out, p.in}} {
			both.Go(func() { l.carry(p, Way(w), ends[0], ends[1]) })
		}
		both.Wait()
		l.reset(p)
	}()
}

// stranded keeps a connection that cannot come up until its caller gives up or the link is healed.
func (l *Link) stranded(p *pair) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := p.in.Read(buf)
		l.change(func() { l.ways[Out].swallowed += int64(n) })
		if err != nil {
			l.reset(p)
			return
		}
	}
}

// piece is what was read at once; nil bytes: the end.
type piece struct {
	bytes []byte
	at    time.Time
}

// carry takes one way of a connection from one socket to the other, until it has ended or the pair is reset.
func (l *Link) carry(p *pair, w Way, from, to *net.TCPConn) {
	queue := make(chan piece, piecesQueued)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, pieceBytes)
			n, err := from.Read(buf)
			pc := piece{bytes: buf[:n], at: time.Now()}
			if err != nil && n == 0 {
				if !errors.Is(err, io.EOF) {
					l.broken(p, w)
					return
				}
				pc.bytes = nil
			}
			select {
			case queue <- pc:
			case <-p.over:
				return
			}
			if pc.bytes == nil {
				return
			}
		}
	}()
	for pc := range queue {
		if !l.pass(p, w, pc, to) {
			return
		}
	}
}

// broken hands a reset on, unless it cannot get there.
func (l *Link) broken(p *pair, w Way) {
	l.mu.Lock()
	cut := l.ways[w].cut || l.ways[w].silent
	p.lost = p.lost || cut
	l.mu.Unlock()
	if !cut {
		l.reset(p)
	}
	l.news.tell()
}

// pass hands one piece on, and says whether the connection goes on.
func (l *Link) pass(p *pair, w Way, pc piece, to *net.TCPConn) bool {
	rest, ended := pc.bytes, pc.bytes == nil
	for ended || len(rest) > 0 {
		next := l.news.changed()
		l.mu.Lock()
		s := &l.ways[w]
		switch {
		case s.cut:
			s.swallowed += int64(len(rest))
			p.lost = true
			l.mu.Unlock()
			l.news.tell()
			return !ended // the other side is not told of the end either
		case s.silent:
			l.mu.Unlock()
			if !wait(next, p.over, 0) {
				return false
			}
			continue
		}
		if due := time.Until(pc.at.Add(s.delay)); due > 0 {
			l.mu.Unlock()
			if !wait(next, p.over, due) {
				return false
			}
			continue
		}
		if ended {
			l.mu.Unlock()
			return to.CloseWrite() == nil
		}
		n := len(rest)
		if s.rate > 0 {
			n = min(n, max(1, s.rate/20))
		}
		ends := s.resetAfter >= 0 && s.resetAfter <= n
		if ends {
			n = s.resetAfter
			s.resetAfter = -1
		} else if s.resetAfter > 0 {
			s.resetAfter -= n
		}
		rate := s.rate
		l.mu.Unlock()
		if _, err := to.Write(rest[:n]); err != nil {
			l.reset(p)
			return false
		}
		l.change(func() { l.ways[w].passed += int64(n) })
		if ends {
			l.reset(p)
			return false
		}
		if rest = rest[n:]; rate > 0 && !pace(p.over, time.Duration(n)*time.Second/time.Duration(rate)) {
			return false
		}
	}
	return true
}

// wait waits for a change, or for so long where that is above 0, and says whether the connection is still there.
func wait(change, over <-chan struct{}, long time.Duration) bool {
	var due <-chan time.Time
	if long > 0 {
		timer := time.NewTimer(long)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-change:
	case <-due:
	case <-over:
		return false
	}
	return true
}

// pace waits for so long, whatever changes, and says whether the connection is still there.
func pace(over <-chan struct{}, long time.Duration) bool { return wait(nil, over, long) }
