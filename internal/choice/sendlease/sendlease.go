// Package sendlease decides who may send what: a node's right to send is a lease from its site's council. Holder is the
// node's side of it, Table that of the council's leader. Both are pure: a time of the caller's own monotonic clock and
// an event in, a new state and what to do out; no I/O, no clock, nothing started.
//
// The property that the two keep together, whatever is lost, late, repeated, stopped or restarted, as long as no two
// clocks drift apart by more than Terms.Drift:
//
//	R1  While a node may send to a host (Verdict.Withholds is false for it at the node's loop), no council takes the host
//	    for clear of that node (Table.Standing with the node's acknowledged horizon, or a confirmation of the host's
//	    round; see turns.Book.Clear).
//	R2  A node with no right withholds every host of every horizon that the council may believe it has acknowledged.
//	R3  A node that has never been told anything (no right, empty store) withholds every host. So does one with no right
//	    that does not know which horizon the council goes by: its store is a new one, or an older one was put back.
//	R4  A right counts from when it was asked for, by the node's own clock, and lasts Terms.Lasts. The council counts it
//	    from when it answered, Terms.Lasts and the drift longer. A new leader counts every node's right as running for
//	    that long from when it became leader.
//	R5  What a node withholds is widened before the news of it is confirmed and before the right that came with it is
//	    taken; what is acknowledged to the council stands in the node's store and is in effect at its loop first.
//
// What the two need of those around them:
//
//   - The caller's clock goes on while the process is stopped and while the machine sleeps.
//   - An answer is handed to the process that asked, never to a later one of the same node.
//   - A leader answers only once a quorum has confirmed, by a round that began after the question came, that it leads, and
//     from a log applied at least up to where it was committed then.
//   - A horizon that is recorded for a node never goes back to an older version, but to none. Lives rise from one store of
//     a node to the next, so that a late question of an old life changes nothing (turns.Ack).
//   - The store gives back what was last made durable, or nothing. One that gives back something older breaks R2 until the
//     node's next answer: copies of a node's store are not to be put back.
//   - The loop places nothing before it has its first verdict.
package sendlease

import "time"

// Terms are those of the rights of a site.
type Terms struct {
	Lasts time.Duration // how long a right lasts, by the clock of the node that asked
	Drift float64       // how much faster one node's clock may run than another's, as a part: 0.01 is 1%
}

// Counted is how long the council counts a right after it answered.
func (t Terms) Counted() time.Duration {
	return t.Lasts + time.Duration(float64(t.Lasts)*t.Drift) + time.Millisecond
}

// Out is a host that the council has taken out, with the round that it was taken out in. A host that is called back and
// taken out once more has another round.
type Out struct {
	Host  string
	Round uint64
}

// Horizon is the hosts that may be given a turn while a node is cut off. Versions rise; 0 is none.
type Horizon struct {
	Version uint64
	Hosts   []string // sorted
}

// Question is what a node asks its council for again and again.
type Question struct {
	Node  string
	Life  uint64 // of the node's store; a later store of the node has a higher one
	Seq   uint64 // rises with each question of this process
	Acked uint64 // the newest horizon that stands in the node's store and is in effect at its loop
	Holds []Out  // hosts that nothing new of this node goes to, in effect at its loop, with their rounds
}

// Answer is what the council's leader says to a question once a quorum has confirmed, after the question came, that it
// leads: what is applied there, whole. A node that is declared dead gets none before it is taken in anew.
type Answer struct {
	Seq      uint64 // of the question
	Applied  uint64 // the leader's log, up to where; a node takes no answer older than the last
	Outs     []Out  // sorted by host
	Horizon  Horizon
	Recorded uint64 // the newest horizon that is committed as acknowledged by this node; 0: none
}

// Standing is what the council's leader knows of a node's right.
type Standing uint8

// The standings.
const (
	Running Standing = iota // or not known to have run out
	Lapsed                  // it has run out, by any clock within the drift
)
