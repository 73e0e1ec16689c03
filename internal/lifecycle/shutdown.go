package lifecycle

import "time"

const (
	// AcceptAfterSIGTERM is how long a node keeps accepting connections after SIGTERM. The front load balancer sends new
	// connections for up to 0.4 s more (PROTOCOL, Figures).
	AcceptAfterSIGTERM = 500 * time.Millisecond
	// deadlineCap limits the class deadline from which the maximum stay is computed (PROTOCOL, Figures).
	deadlineCap = 3 * time.Second
	// stayBeyondDeadline is how much longer than that deadline a node may stay. The node is killed 0.1 s later at the
	// earliest.
	stayBeyondDeadline = 600 * time.Millisecond
	// finalAnswerGrace is the additional time that clients get to read their final answers. It takes up most of the time
	// that is left until the kill.
	finalAnswerGrace = 60 * time.Millisecond
)

// Command is what Shutdown.Step and Service.Step tell the process to do next. String returns the name under which
// traces print it.
type Command uint8

// The commands.
const (
	NoCommand       Command = iota // nothing yet; call Step again shortly
	StopAccepting                  // accept the connections that are queued, and no others
	CloseAll                       // answer all waiting requests, move all clients unless packets pass through, and stop
	MoveSome                       // move some of the clients
	ResumeAccepting                // accept connections again
)

var commandNames = [...]string{"stay", "close-door", "send-away", "ease", "open-door"}

func (o Command) String() string { return commandNames[o] }

// Shutdown is the state of a node from SIGTERM to its exit. In pass-through mode, where established connections can
// continue on another node, this one keeps serving them until the front load balancer has moved them there, or until
// MaxStay. If there is no other node, they would stall from its exit until it is back.
type Shutdown struct {
	PassThrough   bool
	MaxStay       time.Duration // after SIGTERM; see LimitStay. 0: not known yet
	AcceptStopped bool          // StopAccepting was returned
	AllClosed     bool          // CloseAll was returned
}

// MaxStay returns how long after SIGTERM a node may stay whose classes have the given longest deadline.
func MaxStay(longest time.Duration) time.Duration {
	return min(longest, deadlineCap) + stayBeyondDeadline
}

// LimitStay limits the stay to the given time after SIGTERM. It never extends the stay: if the settings change after
// SIGTERM, the platform may kill the process by those of either time, so the shorter stay holds.
func (d Shutdown) LimitStay(stay time.Duration) Shutdown {
	if d.MaxStay == 0 || stay < d.MaxStay {
		d.MaxStay = stay
	}
	return d
}

// Step returns what to do at the given time after SIGTERM, for the given numbers of requests that wait for their final
// answer and of established connections. It returns StopAccepting once, and later CloseAll once.
func (d Shutdown) Step(after time.Duration, waiting, established int) (Shutdown, Command) {
	left := waiting
	if d.PassThrough {
		left += established
	}
	switch {
	case d.AllClosed:
	case !d.AcceptStopped:
		if after >= AcceptAfterSIGTERM {
			d.AcceptStopped = true
			return d, StopAccepting
		}
	case left == 0 && after >= AcceptAfterSIGTERM || after >= d.MaxStay:
		d.AllClosed = true
		return d, CloseAll
	}
	return d, NoCommand
}

// Done reports whether the process may exit at the given time after SIGTERM, while lingering connections wait for
// their clients to read the final answer and close. Exiting earlier would reset connections whose clients still send,
// and a reset can destroy the answer before the client has read it.
func (d Shutdown) Done(after time.Duration, lingering int) bool {
	return d.AllClosed && (lingering == 0 || after >= d.MaxStay+finalAnswerGrace)
}
