package processes

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Patience is how long a story waits for an event: far beyond what is expected on a loaded machine. See patience.
const Patience = 5 * time.Minute

// news wakes all who wait for a change.
type news struct {
	mu sync.Mutex
	ch chan struct{}
}

// changed returns a channel that is closed at the next change.
func (n *news) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

func (n *news) tell() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}

// await waits until cond holds, which is looked at after each change. It fails the test when patience is over, or with
// what hopeless says when that is not "".
func (n *news) await(t testing.TB, what string, cond func() bool, hopeless func() string) {
	t.Helper()
	most := waitLimit(t, Patience)
	limit := time.NewTimer(most)
	defer limit.Stop()
	for {
		next := n.changed()
		if cond() {
			return
		}
		if hopeless != nil {
			if why := hopeless(); why != "" {
				require.FailNow(t, what, why)
			}
		}
		select {
		case <-next:
		case <-limit.C:
			require.FailNow(t, what, "not in %s", most)
		}
	}
}
