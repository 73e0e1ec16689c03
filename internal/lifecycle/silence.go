package lifecycle

import "time"

const (
	// SilentAfter is how long a client's line may stay unanswered, with nothing else heard from its host since, before
	// the host counts as silent. A sound host sends a line back at once; a few lost packets stay below.
	SilentAfter = time.Second
	// StuckAfter is the same for one connection whose host is heard on others.
	StuckAfter = 4 * time.Second
)

// Watch watches over one connection that stands. The zero value has heard an answer to all that was asked. Times are
// those of the node's clock, and never 0.
type Watch struct {
	Asked time.Duration // when the oldest line of the client went out that nothing came back for; 0: there is none
}

// Ask notes that the client has sent a line.
func (w *Watch) Ask(now time.Duration) {
	if w.Asked == 0 {
		w.Asked = now
	}
}

// Hear notes that the host has sent something on this connection.
func (w *Watch) Hear() { w.Asked = 0 }

// HostSilent says whether this connection proves its host silent, which was last heard, on any connection, at a time.
// One line that stays unanswered while nothing at all comes from the host speaks for all connections there: the others
// need not wait for lines of their own.
func (w Watch) HostSilent(heard, now time.Duration) bool {
	return w.Asked > 0 && now-w.Asked >= SilentAfter && heard < w.Asked
}

// Stuck says whether this connection alone brings nothing, whatever its host says on others.
func (w Watch) Stuck(now time.Duration) bool { return w.Asked > 0 && now-w.Asked >= StuckAfter }
