package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// pausing is a client in virtual time that pauses for a while after calls that failed. Its calls reach nobody: what becomes of them is
// noted.
type pausing struct {
	c     *Client
	begun time.Time
}

// outcome is what became of a call, and when.
type outcome struct {
	ran  bool
	kind Kind
	at   time.Duration
}

const (
	clientPause = time.Second
	callStep    = 50 * time.Millisecond
)

// inPause plays a story in virtual time.
func inPause(t *testing.T, story func(*pausing)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		p := &pausing{c: NewClient("n", "127.0.0.1:1", ClientLimits{Queue: 8}), begun: time.Now()}
		p.c.mu.Lock()
		p.c.failed, p.c.next = 1, p.begun.Add(clientPause)
		p.c.mu.Unlock()
		synctest.Wait() // the workers have nothing to do
		story(p)
		p.c.Close()
	})
}

// call brings a call that takes some time once it is made.
func (p *pausing) call(l *lane, name string, within, takes time.Duration) <-chan outcome {
	made := make(chan outcome, 2) // made, and then given up at the end
	p.c.put(l, false, &waiting{name: name, by: time.Now().Add(within), within: within, ownPauses: name == "Replay",
		run: func(ctx context.Context) error {
			made <- outcome{ran: true, at: time.Since(p.begun)}
			select {
			case <-time.After(takes):
			case <-ctx.Done():
			}
			return ctx.Err()
		},
		fail: func(e *Error) { made <- outcome{kind: e.Kind, at: time.Since(p.begun)} }})
	return made
}

// TestACallAtEachPointOfAPauseIsMadeOrToldInTime: a replay at once, another one at the end of the pause or told late at its time.
func TestACallAtEachPointOfAPauseIsMadeOrToldInTime(t *testing.T) {
	for at := time.Duration(0); at < clientPause; at += callStep {
		for within := callStep / 2; within < 2*clientPause; within += 3 * callStep {
			inPause(t, func(p *pausing) {
				time.Sleep(at)
				ask := p.call(p.c.rest, "Ask", within, 0)
				replay := p.call(p.c.rest, "Replay", within, 0)
				assert.Equal(t, outcome{ran: true, at: at}, <-replay, "it waits for no pause, also behind another call")
				want := outcome{ran: true, at: at} // the replay has reached the peer: the pause is over
				assert.Equal(t, want, <-ask)
			})
			inPause(t, func(p *pausing) {
				time.Sleep(at)
				want := outcome{ran: true, at: clientPause}
				if at+within < clientPause {
					want = outcome{kind: Late, at: at + within}
				}
				assert.Equal(t, want, <-p.call(p.c.rest, "Ask", within, 0), "at %v, within %v", at, within)
			})
		}
	}
}

// TestACallBehindALongOneIsToldLateInItsTime, not once the long one is over.
func TestACallBehindALongOneIsToldLateInItsTime(t *testing.T) {
	inPause(t, func(p *pausing) {
		p.call(p.c.rest, "Replay", time.Minute, 10*time.Second)
		assert.Equal(t, outcome{kind: Late, at: callStep}, <-p.call(p.c.rest, "Replay", callStep, 0))
	})
}

// TestAPeerThatIsReachedByOneLaneIsTriedByTheOthers, whose pause is over with it.
func TestAPeerThatIsReachedByOneLaneIsTriedByTheOthers(t *testing.T) {
	inPause(t, func(p *pausing) {
		renew := p.call(p.c.renew, "Renew", 2*clientPause, 0)
		time.Sleep(callStep)
		p.call(p.c.rest, "Replay", time.Minute, 0)
		assert.Equal(t, outcome{ran: true, at: callStep}, <-renew)
	})
}
