package soak

import (
	"slices"
	"sync"
	"time"

	"lichenhitch/rehearsal/processes"
)

// Outcome is how a request ended, as observed by its client.
type Outcome uint8

// Outcomes of requests.
const (
	Unanswered Outcome = iota // no answer came while the client waited
	Up
	Busy
	Failed           // any other line
	ClosedUnanswered // the connection was closed without an answer
	Reset            // the connection was reset without an answer
	ClientLeft       // the client closed the connection
)

func (o Outcome) String() string {
	return [...]string{"unanswered", "up", "busy", "failed", "closed without an answer", "reset without an answer", "left"}[o]
}

// Request is a first line that a client sent completely on an accepted connection.
type Request struct {
	ID, Node, Class string
	Connected       time.Duration // when its connection was established
	Sent            time.Duration // when its last byte was written
	Wait            time.Duration // how long the client waits for an answer: field d of the line
	Outcome         Outcome
	EndedAt         time.Duration // when the outcome was observed
	RetryAfter      time.Duration // time named by BUSY; 0: none
}

// Ending is how an established connection ended.
type Ending uint8

// Endings of connections.
const (
	StillOpen      Ending = iota // until the end of the run
	Moved                        // MOVE
	ByeReceived                  // BYE
	CutOff                       // closed or reset without MOVE or BYE
	ClosedByClient               // the client had finished
)

func (e Ending) String() string {
	return [...]string{"stands", "moved", "BYE", "cut off", "by its client"}[e]
}

// Connection is an established connection.
type Connection struct {
	ID, Node, Host string
	Began, Ended   time.Duration
	Ending         Ending
	SlowestEcho    time.Duration // the longest time from a line of the client to its echo
	SlowestSentAt  time.Duration // when that line was written
}

// Process is the record of one process.
type Process struct {
	Node          string
	Started       time.Duration
	Ready         time.Duration // when it answered PONG or, in a handover, logged that it serves; 0: never
	TermAt        time.Duration // first SIGTERM; 0: none
	KillAt        time.Duration // SIGKILL; 0: it ended without one, or with the run
	Crashed       bool          // it was killed without warning
	Ended         time.Duration // 0: with the run
	ExitedCleanly bool          // it exited with status 0
}

// Span is a period of time.
type Span struct{ From, To time.Duration }

// overlaps reports whether the span and the period between the two given times have a moment in common.
func (s Span) overlaps(from, to time.Duration) bool { return s.From <= to && from <= s.To }

// Usage is what a process used without clients: before the first client and after the last.
type Usage struct {
	Node                      string
	FilesBefore, FilesAfter   int
	MemoryBefore, MemoryAfter int // anonymous memory in bytes
}

// Record is what was observed in a run.
type Record struct {
	Plan            Plan
	FaultsFrom      time.Duration // beginning of the faults; all times here are on the clock of processes.World
	FaultsOver      time.Duration // the time from which no fault has an effect any more; clients keep coming
	Requests        []Request
	Connections     []Connection
	Processes       []Process
	HostLines       []processes.FirstLine
	SentStates      []processes.SentState
	Drains          map[string][]Span // by host, from the time at which discovery lists the drain
	Hangs           map[string][]Span
	Downtimes       map[string][]Span // by host, the times when it did not run
	DiscoveryFaults []Span            // times with a fault of discovery
	Usage           []Usage
	Stalls          []Span // times when this test process did not run because the machine had no processor for it
	ConnectFailed   int    // connections that could not be established
	Violations      []processes.Violation
	EventLog        []string // the faults, in the order in which they began
}

// recorder collects a Record from many goroutines.
type recorder struct {
	mu sync.Mutex
	r  Record
}

func (c *recorder) update(f func(*Record)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.r)
}

func (c *recorder) snapshot() Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r
}

// longestStall returns the longest time for which this test process did not run in the given period.
func (r *Record) longestStall(from, to time.Duration) (longest time.Duration) {
	for _, s := range r.Stalls {
		if s.overlaps(from, to) {
			longest = max(longest, s.To-s.From)
		}
	}
	return longest
}

// crashedDuring reports whether a process of a node was killed without warning in the given period: it counts from
// the signal to the end of the process.
func (r *Record) crashedDuring(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(r.Processes, func(p Process) bool {
		return p.Node == node && p.Crashed && Span{From: p.KillAt, To: p.Ended}.overlaps(from, to)
	})
}

// anyOverlaps reports whether one of the spans overlaps the given period.
func anyOverlaps(spans []Span, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(s Span) bool { return s.overlaps(from, to) })
}
