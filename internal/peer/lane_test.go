package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// backoffClient is a client in virtual time, in backoff after a failed call. Its calls are not sent; their outcomes are
// recorded.
type backoffClient struct {
	c     *Client
	start time.Time
}

// outcome is the result of a call, and its time since the start.
type outcome struct {
	ran  bool
	kind Kind
	at   time.Duration
}

const (
	testBackoff = time.Second
	step        = 50 * time.Millisecond
)

// duringBackoff runs a scenario in virtual time on a client that has just begun a backoff of testBackoff.
func duringBackoff(t *testing.T, scenario func(*backoffClient)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		p := &backoffClient{c: NewClient("n", "127.0.0.1:1", ClientLimits{QueueLength: 8}), start: time.Now()}
		p.c.mu.Lock()
		p.c.failures, p.c.nextTry = 1, p.start.Add(testBackoff)
		p.c.mu.Unlock()
		synctest.Wait() // until the workers are idle
		scenario(p)
		p.c.Close()
	})
}

// call queues a call that takes the given duration once it is made.
func (p *backoffClient) call(l *lane, name string, timeout, duration time.Duration) <-chan outcome {
	outcomes := make(chan outcome, 2) // up to two: the call is made, and then cancelled at the end
	p.c.enqueue(l, false, &queuedCall{name: name, deadline: time.Now().Add(timeout), timeout: timeout, skipsBackoff: name == "Replay",
		run: func(ctx context.Context) error {
			outcomes <- outcome{ran: true, at: time.Since(p.start)}
			select {
			case <-time.After(duration):
			case <-ctx.Done():
			}
			return ctx.Err()
		},
		fail: func(e *Error) { outcomes <- outcome{kind: e.Kind, at: time.Since(p.start)} }})
	return outcomes
}

// During a backoff, a Replay must be made at once. Another call must be made when the backoff ends, or time out at its deadline
// if that is earlier.
func TestCallsDuringBackoffAreMadeOrTimeOut(t *testing.T) {
	for at := time.Duration(0); at < testBackoff; at += step {
		for timeout := step / 2; timeout < 2*testBackoff; timeout += 3 * step {
			duringBackoff(t, func(p *backoffClient) {
				time.Sleep(at)
				ask := p.call(p.c.general, "Ask", timeout, 0)
				replay := p.call(p.c.general, "Replay", timeout, 0)
				assert.Equal(t, outcome{ran: true, at: at}, <-replay, "a replay must skip the backoff, even behind another call")
				want := outcome{ran: true, at: at} // the replay has reached the peer, which ends the backoff
				assert.Equal(t, want, <-ask)
			})
			duringBackoff(t, func(p *backoffClient) {
				time.Sleep(at)
				want := outcome{ran: true, at: testBackoff}
				if at+timeout < testBackoff {
					want = outcome{kind: TimedOut, at: at + timeout}
				}
				assert.Equal(t, want, <-p.call(p.c.general, "Ask", timeout, 0), "at %v, within %v", at, timeout)
			})
		}
	}
}

// A queued call must time out at its own deadline, not when the long call before it ends.
func TestCallQueuedBehindALongCallTimesOutOnTime(t *testing.T) {
	duringBackoff(t, func(p *backoffClient) {
		p.call(p.c.general, "Replay", time.Minute, 10*time.Second)
		assert.Equal(t, outcome{kind: TimedOut, at: step}, <-p.call(p.c.general, "Replay", step, 0))
	})
}

// A call that reaches the peer on one lane must end the backoff of the other lanes.
func TestReachingThePeerOnOneLaneEndsBackoffOfTheOthers(t *testing.T) {
	duringBackoff(t, func(p *backoffClient) {
		renew := p.call(p.c.renew, "Renew", 2*testBackoff, 0)
		time.Sleep(step)
		p.call(p.c.general, "Replay", time.Minute, 0)
		assert.Equal(t, outcome{ran: true, at: step}, <-renew)
	})
}
