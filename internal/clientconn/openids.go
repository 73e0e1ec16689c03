package clientconn

import "time"

// idTransitTime is how long an id stays open in this process after its connection was detached, to be handed over. In this
// time the other process takes the connection and marks the id itself: 16 queued connections take up to 8 s to be sent.
const idTransitTime = 10 * time.Second

// IDLocks marks ids as open for the other processes of the node; see handover.IDLocks.
type IDLocks interface {
	// Claim reports whether no other process has the id, and marks it for this one.
	Claim(id string) bool
	// Share marks an id that another process may still have.
	Share(id string)
	Release(id string)
}

// openIDs are the ids of the open requests of this process. An id may be open more than once: that of a connection from another
// process may be taken over while it is open here.
type openIDs struct {
	counts map[string]int
	locks  IDLocks // nil if there are no other processes
}

// claim marks the id of a request that has arrived. It returns false if the id is open in any process of the node.
func (o *openIDs) claim(id string) bool {
	if o.counts[id] > 0 || o.locks != nil && !o.locks.Claim(id) {
		return false
	}
	o.counts[id] = 1
	return true
}

// adopt marks the id of a connection that another process hands over.
func (o *openIDs) adopt(id string) {
	if o.counts[id]++; o.counts[id] == 1 && o.locks != nil {
		o.locks.Share(id)
	}
}

// release ends one use of an id.
func (o *openIDs) release(id string) {
	if o.counts[id]--; o.counts[id] > 0 {
		return
	}
	delete(o.counts, id)
	if o.locks != nil {
		o.locks.Release(id)
	}
}
