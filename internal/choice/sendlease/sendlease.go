// Package sendlease decides which nodes may send new work to hosts: a node needs a send lease from its site's Raft group. Holder
// is the node's side of the lease, Table is the side of the group's leader. Both are pure state machines: each call takes an
// event and a time of the caller's own monotonic clock, changes the state and returns what to do; no I/O, no clock, no
// goroutines.
//
// The properties that the two ensure together, whatever is lost, late, repeated, stopped or restarted, as long as no two clocks
// drift apart by more than Terms.Drift:
//
//	R1  While a node may send to a host (Restrictions.Excludes is false for it at the node's event loop), no Raft group
//	    considers the host free of new work from that node (Table.LeaseState with the node's acknowledged exclusion set, or a
//	    confirmation of the host's round; see turns.Schedule.Blockers).
//	R2  A node without a send lease sends to no host of any exclusion set that the Raft group may believe it has acknowledged.
//	R3  A node that never had a response (no send lease, empty store) sends to no host. The same holds for one without a send
//	    lease that does not know which exclusion set the Raft group relies on: its store is new, or was restored from an older
//	    copy.
//	R4  A send lease counts from when the node requested it, by the node's own clock, and lasts Terms.Duration. The Raft group
//	    counts it from its response, for Terms.Duration plus the drift. A new leader counts every node's lease as running for
//	    that long from when it became leader.
//	R5  New exclusions take effect before they are confirmed and before the lease that came with them is used; what is
//	    acknowledged to the Raft group is first in the node's store and in effect at its event loop.
//
// Requirements on the callers:
//
//   - The caller's clock advances while the process is stopped and while the machine sleeps.
//   - A response is delivered to the process that sent the request, never to a later process of the same node.
//   - A leader answers only once a quorum has confirmed that it leads, in a round that began after the request arrived, and from
//     a log applied at least up to the commit index of then.
//   - The exclusion set recorded for a node never goes back to an older version, only to none. Incarnations rise from one store
//     of a node to the next, so that a late request of an old incarnation has no effect (turns.Ack).
//   - The store returns what was last made durable, or nothing. A store that returns something older violates R2 until the
//     node's next response: copies of a node's store must not be restored.
//   - The event loop places no requests before it has its first Restrictions.
package sendlease

import "time"

// Terms are the terms of a site's send leases.
type Terms struct {
	Duration time.Duration // how long a lease lasts, by the clock of the requesting node
	Drift    float64       // how much faster one node's clock may run than another's, as a fraction: 0.01 is 1%
}

// CountedDuration is how long the Raft group counts a lease after its response.
func (t Terms) CountedDuration() time.Duration {
	return t.Duration + time.Duration(float64(t.Duration)*t.Drift) + time.Millisecond
}

// ExcludedHost is a host that the Raft group has taken out of service, with the round in which it did. A host that is excluded
// again after a revocation has another round.
type ExcludedHost struct {
	Host  string
	Round uint64
}

// ExclusionSet is the hosts that a node without a send lease must not use. Versions rise; 0 is none.
type ExclusionSet struct {
	Version uint64
	Hosts   []string // sorted
}

// LeaseRequest is what a node sends to its Raft group periodically.
type LeaseRequest struct {
	Node        string
	Incarnation uint64         // incarnation of the node's store; a later store of the node has a higher one
	Seq         uint64         // rises with each request of this process
	Acked       uint64         // newest exclusion set that is in the node's store and in effect at its event loop
	Confirmed   []ExcludedHost // hosts that get no new work from this node, in effect at its event loop, with their rounds
}

// LeaseResponse is the leader's complete applied state about exclusions, sent once a quorum has confirmed, after the request
// arrived, that it leads. A node that is declared dead gets none until it is admitted again.
type LeaseResponse struct {
	Seq           uint64         // of the request
	Applied       uint64         // the leader's applied index; a node accepts no response with a lower one than the last
	ExcludedHosts []ExcludedHost // sorted by host
	ExclusionSet  ExclusionSet
	Recorded      uint64 // newest exclusion set that is committed as acknowledged by this node; 0: none
}

// LeaseState is what the leader knows of a node's send lease.
type LeaseState uint8

// The states.
const (
	Running LeaseState = iota // or not known to have expired
	Expired                   // expired by any clock within the drift
)
