package lifecycle

import "time"

const (
	// moveAllWithin is how long a draining node takes to move its clients. All must have been moved by 4 s (PROTOCOL's
	// rule on lost connections), and the last moves need a moment to complete.
	moveAllWithin = 3 * time.Second
	// moveInterval is the pause between two rounds of moves.
	moveInterval = 100 * time.Millisecond
	// movedBeforeEnd is how long before the end of its stay a node that shuts down has moved the clients that it has: two
	// rounds, for those whose connections are established during the last ones.
	movedBeforeEnd = 2 * moveInterval
)

// Operation is a request to the node as a whole. String returns the name under which traces print it.
type Operation uint8

// The operations. Each may be requested at any time and any number of times. Terminate cannot be undone.
const (
	Drain     Operation = iota // move all clients away, but keep the process running
	Activate                   // end the drain
	Terminate                  // shut down: SIGTERM
)

var operationNames = [...]string{"drain", "activate", "depart"}

func (w Operation) String() string { return operationNames[w] }

// Service is the serving state of one process of a node. The process serves; or it drains, until Activate; or it is
// superseded, which means that another process of the node has taken over the address, until that process exits; or it
// shuts down. A value of which only PassThrough is set serves.
type Service struct {
	PassThrough  bool
	Draining     bool
	Superseded   bool
	Leaving      bool          // Terminate was requested
	NotAccepting bool          // the listener is closed
	MovingSince  time.Duration // when the process began to move its clients
	MovedAt      time.Duration // the last round of moves
	LeavingSince time.Duration // when Terminate was requested
	Shutdown     Shutdown
}

// Load is what the process serves at one moment.
type Load struct {
	Waiting     int // requests, and clients without one, that wait for their final answer
	Established int // established connections
	// LongestDeadline is the longest deadline of a request class in the settings as the platform has them now. The
	// platform derives from it when it kills a process that shuts down.
	LongestDeadline time.Duration
}

// Apply performs an operation at the given time of the node's clock.
func (s Service) Apply(w Operation, now time.Duration) Service {
	switch w {
	case Drain:
		s = s.startMoving(now)
		s.Draining = true
	case Activate:
		s.Draining = false
	case Terminate:
		if !s.Leaving {
			s.Leaving, s.LeavingSince = true, now
			s.Shutdown = Shutdown{PassThrough: s.PassThrough}
		}
	}
	return s
}

// SetSuperseded records whether another process has taken over the address.
func (s Service) SetSuperseded(superseded bool, now time.Duration) Service {
	if superseded {
		s = s.startMoving(now)
	}
	s.Superseded = superseded
	return s
}

// startMoving records when the process begins to move its clients, unless it already does.
func (s Service) startMoving(now time.Duration) Service {
	if !s.Draining && !s.Superseded {
		s.MovingSince, s.MovedAt = now, 0
	}
	return s
}

// Serving reports whether the node's address takes new clients; the answer to PING depends on it. A superseded process
// that is asked answers for the process that took over.
func (s Service) Serving() bool { return !s.Draining && (!s.Leaving || s.Superseded) }

// Done reports whether a process that shuts down may exit now; see Shutdown.Done.
func (s Service) Done(now time.Duration, lingering int) bool {
	return s.Leaving && s.Shutdown.Done(now-s.LeavingSince, lingering)
}

// Idle reports whether there is nothing to do until the next call of Apply or SetSuperseded, so that Step need not be
// called.
func (s Service) Idle() bool { return !s.Draining && !s.Leaving && !s.Superseded && !s.NotAccepting }

// Step returns what to do now under the given load, and with MoveSome the number of clients to move. It must be called
// every few milliseconds while the process is not Idle.
func (s Service) Step(now time.Duration, load Load) (Service, Command, int) {
	switch {
	case s.Superseded && !s.NotAccepting:
		s.NotAccepting = true
		return s, StopAccepting, 0
	case !s.Superseded && s.NotAccepting && !s.Leaving:
		s.NotAccepting = false
		return s, ResumeAccepting, 0
	}
	if s.Leaving {
		s.Shutdown.AcceptStopped = s.Shutdown.AcceptStopped || s.NotAccepting
		s.Shutdown = s.Shutdown.LimitStay(MaxStay(load.LongestDeadline))
		var command Command
		if s.Shutdown, command = s.Shutdown.Step(now-s.LeavingSince, load.Waiting, load.Established); command != NoCommand {
			s.NotAccepting = true
			return s, command, 0
		}
	}
	if !s.moving() || load.Established == 0 || now-s.MovedAt < moveInterval {
		return s, NoCommand, 0
	}
	s.MovedAt = now
	rounds := max(1, int((s.moveDeadline()-now)/moveInterval))
	return s, MoveSome, (load.Established + rounds - 1) / rounds
}

// moving reports whether the process moves its clients in rounds. One that shuts down begins once it has stopped
// accepting, as the front sends new connections until then; requests that still wait hold back nobody else.
func (s Service) moving() bool {
	return !s.PassThrough && (s.Draining || s.Superseded || s.Leaving && s.Shutdown.AcceptStopped)
}

// moveDeadline returns when all clients must have been moved.
func (s Service) moveDeadline() time.Duration {
	end := s.LeavingSince + s.Shutdown.MaxStay - movedBeforeEnd
	switch {
	case !s.Leaving:
		return s.MovingSince + moveAllWithin
	case s.Draining || s.Superseded:
		return min(end, s.MovingSince+moveAllWithin)
	}
	return end
}
