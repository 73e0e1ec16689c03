package processes

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// EventTimeout is the longest time that a test waits for an event: far longer than an event takes even on a loaded machine.
// See waitLimit.
const EventTimeout = 5 * time.Minute

// notifier wakes all goroutines that wait for a change.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// changed returns a channel that is closed at the next change.
func (n *notifier) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}

// await waits until cond holds, checked after each change. It fails the test after the time limit, or as soon as failure
// returns a reason.
func (n *notifier) await(t testing.TB, what string, cond func() bool, failure func() string) {
	t.Helper()
	limit := waitLimit(t, EventTimeout)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		next := n.changed()
		if cond() {
			return
		}
		if failure != nil {
			if reason := failure(); reason != "" {
				require.FailNow(t, what, reason)
			}
		}
		select {
		case <-next:
		case <-timer.C:
			require.FailNow(t, what, "not in %s", limit)
		}
	}
}
