package soak

import (
	"slices"
	"sync"
	"time"

	"lichenhitch/rehearsal/processes"
)

// Outcome is how a request ended, as its client saw it.
type Outcome uint8

// The outcomes.
const (
	Unanswered Outcome = iota // no answer came while the client waited
	Up
	Busy
	Failed     // any other line
	ClosedRead // the connection ended in good order, and no answer had come
	Reset      // the connection was reset, and no answer had come
	Left       // the client hung up
)

func (o Outcome) String() string {
	return [...]string{"unanswered", "up", "busy", "failed", "closed without an answer", "reset without an answer", "left"}[o]
}

// Request is a first line that a client sent whole on a connection that was accepted.
type Request struct {
	ID, Node, Class string
	Dialled         time.Duration // when its connection stood
	Sent            time.Duration // when its last byte was written
	Wait            time.Duration // its d
	Outcome         Outcome
	At              time.Duration // of the outcome
	RetryAfter      time.Duration // that BUSY named; 0: none
}

// Ending is how a connection that stood came to its end.
type Ending uint8

// The endings.
const (
	Stands   Ending = iota // to the end of the run
	Moved                  // MOVE
	Said                   // BYE
	CutOff                 // an end or a reset without a word
	ByClient               // the client had enough
)

func (e Ending) String() string {
	return [...]string{"stands", "moved", "BYE", "cut off", "by its client"}[e]
}

// Connection is one that stood.
type Connection struct {
	ID, Node, Host string
	Began, Ended   time.Duration
	Ending         Ending
	Slowest        time.Duration // from a line of the client to its echo, the longest
	SlowestAt      time.Duration // when that line was written
}

// Life is the life of one process.
type Life struct {
	Node  string
	Began time.Duration
	Ready time.Duration // PONG, or while another process serves its word that it serves; 0: never
	Term  time.Duration // first SIGTERM; 0: none
	Kill  time.Duration // SIGKILL; 0: it ended by itself, or with the run
	Crash bool          // the kill was no planned one
	Ended time.Duration // 0: with the run
	Clean bool          // it ended with status 0
}

// Span is a time in which something held.
type Span struct{ From, To time.Duration }

// overlaps says whether a span has any of the time from one moment to another in it.
func (s Span) overlaps(from, to time.Duration) bool { return s.From <= to && from <= s.To }

// Usage is what a process held at rest, before any client came and after all had gone.
type Usage struct {
	Node                     string
	FilesBefore, FilesAfter  int
	MemoryBefore, MemoryLast int // bytes, anonymous
}

// Record is what was seen in a run.
type Record struct {
	Plan        Plan
	Began       time.Duration // of the trouble, on the world's clock, as all times here
	Calm        time.Duration // from when on no trouble is left; clients go on coming
	Requests    []Request
	Connections []Connection
	Lives       []Life
	Lines       []processes.FirstLine
	Told        []processes.SentState
	Drains      map[string][]Span // of hosts, from when discovery has it
	Hangs       map[string][]Span
	Downs       map[string][]Span // hosts that did not run
	Unreachable []Span            // discovery was in trouble
	Usage       []Usage
	Stalls      []Span // this process itself did not run: each is time that the machine had no processor for it
	Unmet       int    // connections that did not come up
	Violations  []processes.Violation
	Order       []string // of events, as they were
}

// recorder collects a Record from many goroutines.
type recorder struct {
	mu sync.Mutex
	r  Record
}

func (c *recorder) note(f func(*Record)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.r)
}

func (c *recorder) record() Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r
}

// stalled is for how long of a time this process did not run, the longest in one piece.
func (r *Record) stalled(from, to time.Duration) (longest time.Duration) {
	for _, s := range r.Stalls {
		if s.overlaps(from, to) {
			longest = max(longest, s.To-s.From)
		}
	}
	return longest
}

// crashed says whether a process of a node was killed without warning in a time: between the signal and the notice of its end.
func (r *Record) crashed(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(r.Lives, func(l Life) bool {
		return l.Node == node && l.Crash && Span{From: l.Kill, To: l.Ended}.overlaps(from, to)
	})
}

// anyOverlaps says whether one of some spans overlaps a time.
func anyOverlaps(spans []Span, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.overlaps(from, to) })
}
