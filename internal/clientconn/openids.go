package clientconn

import "time"

// idTransitTime is how long an id stays open in this process after its connection was detached, to be handed over. In this
// time the other process takes the connection and marks the id itself: 16 queued connections take up to 8 s to be sent.
const idTransitTime = 10 * time.Second

// maxRetiredIDs is how many used ids stay marked for the other processes: those of 0.1 s and more, until the shared state has
// told them.
const maxRetiredIDs = 128

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
	counts  map[string]int
	locks   IDLocks  // nil if there are no other processes
	retired []string // ids that are not open any more and still locked, oldest first
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
	if o.endUse(id) {
		o.unlock(id)
	}
}

// retire ends one use of an id that must not be used again. The other processes do not get it for a while.
func (o *openIDs) retire(id string) {
	if !o.endUse(id) {
		return
	}
	o.retired = append(o.retired, id)
	if len(o.retired) <= maxRetiredIDs {
		return
	}
	oldest := o.retired[0]
	o.retired = o.retired[1:]
	if o.counts[oldest] == 0 {
		o.unlock(oldest)
	}
}

// endUse counts the end of one use and reports whether it was the last one.
func (o *openIDs) endUse(id string) bool {
	o.counts[id]--
	if o.counts[id] > 0 {
		return false
	}
	delete(o.counts, id)
	return true
}

func (o *openIDs) unlock(id string) {
	if o.locks != nil {
		o.locks.Release(id)
	}
}
