package lifecycle

import "time"

const (
	// emptyWithin is how long a node that drains takes to move its clients: by 4 s all must have been (PROTOCOL's rule
	// on lost connections), and the last ones need a moment.
	emptyWithin = 3 * time.Second
	// easeEvery is the pause between two rounds of moves.
	easeEvery = 100 * time.Millisecond
)

// Wish is what the node itself is asked for.
type Wish uint8

// The wishes. Each may come at any moment and any number of times; a node that leaves goes on leaving.
const (
	Drain    Wish = iota // empty the node, but stay
	Activate             // the drain is over
	Depart               // leave for good: SIGTERM
)

var wishNames = [...]string{"drain", "activate", "depart"}

func (w Wish) String() string { return wishNames[w] }

// Service is what a process of a node is to its clients: it serves; or it drains, which may be taken back; or another
// process of the node has taken the address over, which ends where that process does; or it leaves. The zero value but
// for its first two fields serves.
type Service struct {
	PassThrough bool
	Within      time.Duration // how long the process may stay once it leaves; see StayWithin
	Drained     bool
	Succeeded   bool
	Leaving     bool
	Shut        bool          // the door is closed
	Since       time.Duration // when the clients began to be moved
	EasedAt     time.Duration // when some last were
	Left        time.Duration // when the process began to leave
	Departure   Departure
}

// Ask takes a wish at a time of the node's clock.
func (s Service) Ask(w Wish, now time.Duration) Service {
	switch w {
	case Drain:
		s = s.empties(now)
		s.Drained = true
	case Activate:
		s.Drained = false
	case Depart:
		if !s.Leaving {
			s.Leaving, s.Left = true, now
			s.Departure = Departure{PassThrough: s.PassThrough, Within: s.Within}
		}
	}
	return s
}

// Succeed takes the news whether another process has taken the address over.
func (s Service) Succeed(succeeded bool, now time.Duration) Service {
	if succeeded {
		s = s.empties(now)
	}
	s.Succeeded = succeeded
	return s
}

// empties notes when the clients begin to be moved.
func (s Service) empties(now time.Duration) Service {
	if !s.Drained && !s.Succeeded {
		s.Since, s.EasedAt = now, 0
	}
	return s
}

// Serving says whether clients that come to the node's address are wanted there: what PING asks. A process that was
// succeeded answers for the other one, should it still be asked.
func (s Service) Serving() bool { return !s.Drained && (!s.Leaving || s.Succeeded) }

// Done says whether a process that leaves may end now; see Departure.Done.
func (s Service) Done(now time.Duration, finishing int) bool {
	return s.Leaving && s.Departure.Done(now-s.Left, finishing)
}

// Quiet says whether nothing is to be done until the next wish or news: Step need not be called.
func (s Service) Quiet() bool { return !s.Drained && !s.Leaving && !s.Succeeded && !s.Shut }

// Step says what to do at a time, when so many queries are owed an answer and so many connections stand, and how many
// clients are to be moved for Ease. It is to be called every few milliseconds while the process is not Quiet.
func (s Service) Step(now time.Duration, owed, standing int) (Service, Order, int) {
	switch {
	case s.Succeeded && !s.Shut:
		s.Shut = true
		return s, CloseDoor, 0
	case !s.Succeeded && s.Shut && !s.Leaving:
		s.Shut = false
		return s, OpenDoor, 0
	}
	if s.Leaving {
		s.Departure.Closed = s.Departure.Closed || s.Shut
		var order Order
		if s.Departure, order = s.Departure.Step(now-s.Left, owed, standing); order != Stay {
			s.Shut = true
			return s, order, 0
		}
	}
	if !s.Drained && !s.Succeeded || s.PassThrough || standing == 0 || now-s.EasedAt < easeEvery {
		return s, Stay, 0
	}
	s.EasedAt = now
	rounds := max(1, int((s.Since+emptyWithin-now)/easeEvery))
	return s, Ease, (standing + rounds - 1) / rounds
}
