package lifecycle

import "time"

const (
	// UnresponsiveAfter is how long a client's line may stay unanswered, with nothing received from its host on any
	// connection since, before the host counts as unresponsive. A working host answers a line at once, and the delay of
	// a few lost packets stays below this limit.
	UnresponsiveAfter = time.Second
	// StuckAfter is the same limit for one connection whose host still sends on other connections.
	StuckAfter = 4 * time.Second
)

// ResponseWatch tracks whether the host answers the client's lines on one established connection. In the zero value no
// line is unanswered. Times are those of the node's clock and never 0.
type ResponseWatch struct {
	UnansweredSince time.Duration // when the oldest unanswered line of the client was sent; 0: all are answered
}

// LineSent records that the client has sent a line.
func (w *ResponseWatch) LineSent(now time.Duration) {
	if w.UnansweredSince == 0 {
		w.UnansweredSince = now
	}
}

// HostAnswered records that the host has sent something on this connection.
func (w *ResponseWatch) HostAnswered() { w.UnansweredSince = 0 }

// HostUnresponsive reports whether this connection shows that its host is unresponsive, where lastReceived is the time
// of the last input from the host on any connection. One unanswered line is enough for all connections to that host if
// the host has sent nothing at all since: the others need not wait for lines of their own.
func (w ResponseWatch) HostUnresponsive(lastReceived, now time.Duration) bool {
	return w.UnansweredSince > 0 && now-w.UnansweredSince >= UnresponsiveAfter && lastReceived < w.UnansweredSince
}

// Stuck reports whether this connection is stuck, even if its host still sends on others.
func (w ResponseWatch) Stuck(now time.Duration) bool {
	return w.UnansweredSince > 0 && now-w.UnansweredSince >= StuckAfter
}
