package peer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// lane is a queue of calls with one worker. Each call leaves it once: it is taken by the worker, or told that its time is over, that it
// made way for a newer one, or that the client is closed.
type lane struct {
	mu     sync.Mutex
	queue  []*waiting
	closed bool
	wake   chan struct{} // holds one: what the worker waits for may have come
}

// waiting is a call in a queue. One of run and fail is called, once.
type waiting struct {
	name      string
	by        time.Time
	within    time.Duration
	ownPauses bool                        // whoever calls makes pauses itself: the call waits for none of the client's
	late      *time.Timer                 // tells that its time is over while it is in the queue
	run       func(context.Context) error // calls the peer, and done where that went well
	fail      func(*Error)                // calls done
}

func newLane() *lane { return &lane{wake: make(chan struct{}, 1)} }

// put takes a call into the queue, from where expire is called once its time is over. Where there are most calls already, the oldest
// makes way, or the call comes to nothing.
func (l *lane) put(w *waiting, most int, oldestGoes bool, expire func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		go w.fail(closed(w.name))
		return
	case len(l.queue) < most:
	case oldestGoes:
		go l.remove(0).fail(&Error{Kind: Dropped, What: fmt.Sprintf("%d newer ones wait", most), Do: doLook})
	default:
		go w.fail(&Error{Kind: Busy, What: fmt.Sprintf("%d calls wait already", most), Do: doLook})
		return
	}
	w.late = time.AfterFunc(w.within, expire)
	l.queue = append(l.queue, w)
	l.notify()
}

// take returns the call that is to be made next, or nil. During a pause that is the first that does not wait for it.
func (l *lane) take(pausing bool) *waiting {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.queue, func(w *waiting) bool { return w.ownPauses || !pausing })
	if i < 0 {
		return nil
	}
	return l.remove(i)
}

// drop takes a call out of the queue, and says whether it was still there.
func (l *lane) drop(w *waiting) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.queue, w)
	if i < 0 {
		return false
	}
	l.remove(i)
	return true
}

// close refuses what comes from now on, and returns the calls that wait.
func (l *lane) close() []*waiting {
	l.mu.Lock()
	defer l.mu.Unlock()
	rest := l.queue
	l.queue, l.closed = nil, true
	for _, w := range rest {
		w.late.Stop()
	}
	return rest
}

// remove takes a call out of the queue; the caller holds the lock.
func (l *lane) remove(i int) *waiting {
	w := l.queue[i]
	w.late.Stop()
	l.queue = slices.Delete(l.queue, i, i+1)
	return w
}

// notify wakes the worker, or has it look again before it waits.
func (l *lane) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
