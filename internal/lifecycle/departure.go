package lifecycle

import "time"

const (
	// AcceptOn is how long a node goes on accepting after SIGTERM: the front sends new connections for up to 0.4 s
	// more (PROTOCOL, Figures).
	AcceptOn = 500 * time.Millisecond
	// longestCounted is the deadline that is counted where one is longer (PROTOCOL, Figures).
	longestCounted = 3 * time.Second
	// beyondDeadline is how much longer than that deadline a node may stay. It is killed 0.1 s later at the earliest.
	beyondDeadline = 600 * time.Millisecond
	// lastWordsWithin is how much longer the last words may take to be read: most of what is left until the kill.
	lastWordsWithin = 60 * time.Millisecond
)

// Order is what a leaving node does next.
type Order uint8

// The orders.
const (
	Stay      Order = iota // look again in a moment
	CloseDoor              // accept no more than what is queued
	SendAway               // answer what is owed, move what stands unless packets pass through, and stop
	Ease                   // move some clients
	OpenDoor               // accept again
)

var orderNames = [...]string{"stay", "close-door", "send-away", "ease", "open-door"}

func (o Order) String() string { return orderNames[o] }

// Departure is the way of a node from SIGTERM to its end. Where packets pass through, it carries open connections until
// the front has taken them to another node, or for as long as it may stay: with no other node there, they would stand
// still until this one is back.
type Departure struct {
	PassThrough bool
	Within      time.Duration // from SIGTERM; see StayWithin
	Closed      bool          // CloseDoor was given
	Gone        bool          // SendAway was given
}

// StayWithin is how long after SIGTERM a node may stay that serves classes of such a longest deadline.
func StayWithin(longest time.Duration) time.Duration {
	return min(longest, longestCounted) + beyondDeadline
}

// Step says what to do a time after SIGTERM, when so many queries are owed an answer and so many connections stand.
// Of CloseDoor and SendAway each is given once, in this order.
func (d Departure) Step(after time.Duration, owed, standing int) (Departure, Order) {
	left := owed
	if d.PassThrough {
		left += standing
	}
	switch {
	case d.Gone:
	case !d.Closed:
		if after >= AcceptOn {
			d.Closed = true
			return d, CloseDoor
		}
	case left == 0 && after >= AcceptOn || after >= d.Within:
		d.Gone = true
		return d, SendAway
	}
	return d, Stay
}

// Done says whether the process may end a time after SIGTERM, when so many clients have not taken their last words yet:
// what ends earlier resets those that still send, and destroys the answer.
func (d Departure) Done(after time.Duration, finishing int) bool {
	return d.Gone && (finishing == 0 || after >= d.Within+lastWordsWithin)
}
