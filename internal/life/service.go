package life

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

// Service is what a node is to its clients: it serves; or it drains, which may be taken back; or it leaves. The zero
// value but for its first two fields serves.
type Service struct {
	PassThrough bool
	Within      time.Duration // how long the node may stay once it leaves; see StayWithin
	Drained     bool
	Leaving     bool
	Since       time.Duration // of the drain
	EasedAt     time.Duration // when clients were last moved because of it
	Left        time.Duration // when the node began to leave
	Departure   Departure
}

// Ask takes a wish at a time of the node's clock.
func (s Service) Ask(w Wish, now time.Duration) Service {
	switch w {
	case Drain:
		if !s.Drained {
			s.Drained, s.Since, s.EasedAt = true, now, 0
		}
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

// Serving says whether the node wants clients: what PING and readyz ask.
func (s Service) Serving() bool { return !s.Drained && !s.Leaving }

// Step says what to do at a time, when so many queries are owed an answer and so many connections stand, and how many
// clients are to be moved for Ease. It is to be called every few milliseconds while the node does not serve. succeeded
// says that another process of this node has taken the address over.
func (s Service) Step(now time.Duration, owed, standing int, succeeded bool) (Service, Order, int) {
	if s.Leaving {
		var order Order
		s.Departure.Succeeded = succeeded
		s.Departure, order = s.Departure.Step(now-s.Left, owed, standing)
		if order != Stay {
			return s, order, 0
		}
	}
	if !s.Drained || s.PassThrough || standing == 0 || now-s.EasedAt < easeEvery {
		return s, Stay, 0
	}
	s.EasedAt = now
	rounds := max(1, int((s.Since+emptyWithin-now)/easeEvery))
	return s, Ease, (standing + rounds - 1) / rounds
}
