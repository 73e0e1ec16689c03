package peer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// lane is a queue of calls with one worker. Each call leaves it exactly once: it is dequeued by the worker, or it fails because
// it timed out, was dropped for a newer call, or the client was closed.
type lane struct {
	mu     sync.Mutex
	queue  []*queuedCall
	closed bool
	wake   chan struct{} // capacity 1; signals the worker to check the queue and the backoff again
}

// queuedCall is a call in a queue. Either run or fail is called, once.
type queuedCall struct {
	name         string
	deadline     time.Time
	timeout      time.Duration
	skipsBackoff bool                        // the caller does its own backoff: the call does not wait for the client's
	expiry       *time.Timer                 // fails the call at its deadline while it is queued
	run          func(context.Context) error // calls the peer, and on success the done callback
	fail         func(*Error)                // calls the done callback with an error
}

func newLane() *lane { return &lane{wake: make(chan struct{}, 1)} }

// enqueue adds a call to the queue; expire is called at its deadline if it is still queued. If the queue already holds capacity
// calls, the oldest is dropped if dropOldest is set, and the new call fails otherwise.
func (l *lane) enqueue(w *queuedCall, capacity int, dropOldest bool, expire func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		go w.fail(closedError(w.name))
		return
	case len(l.queue) < capacity:
	case dropOldest:
		go l.remove(0).fail(&Error{Kind: Dropped, Message: fmt.Sprintf("dropped from the full queue: %d newer calls are queued", capacity),
			Remedy: remedyCheckNode})
	default:
		go w.fail(&Error{Kind: Busy, Message: fmt.Sprintf("%d calls are queued already", capacity), Remedy: remedyCheckNode})
		return
	}
	w.expiry = time.AfterFunc(w.timeout, expire)
	l.queue = append(l.queue, w)
	l.notify()
}

// dequeue removes and returns the next call to make, or returns nil. During a backoff that is the first call that skips it.
func (l *lane) dequeue(backingOff bool) *queuedCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.queue, func(w *queuedCall) bool { return w.skipsBackoff || !backingOff })
	if i < 0 {
		return nil
	}
	return l.remove(i)
}

// cancel removes a call from the queue and reports whether it was still queued.
func (l *lane) cancel(w *queuedCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.queue, w)
	if i < 0 {
		return false
	}
	l.remove(i)
	return true
}

// close makes the lane reject further calls and returns the queued ones.
func (l *lane) close() []*queuedCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	queued := l.queue
	l.queue, l.closed = nil, true
	for _, w := range queued {
		w.expiry.Stop()
	}
	return queued
}

// remove removes a call from the queue; the caller holds the lock.
func (l *lane) remove(i int) *queuedCall {
	w := l.queue[i]
	w.expiry.Stop()
	l.queue = slices.Delete(l.queue, i, i+1)
	return w
}

// notify wakes the worker, or makes it check once more before it waits.
func (l *lane) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
