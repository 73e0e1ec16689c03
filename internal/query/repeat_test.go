package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/balance"
)

// placingBalancer places each request at once, with a latest time to send it.
type placingBalancer struct {
	sendBy time.Duration
	events []balance.Event
}

func (balancer *placingBalancer) Handle(_ time.Duration, ev balance.Event) []balance.Action {
	balancer.events = append(balancer.events, ev)
	if e, ok := ev.(balance.Arrival); ok {
		return []balance.Action{balance.Place{Request: e.Request, Server: "a", Timeout: time.Second, SendBy: balancer.sendBy}}
	}
	return nil
}

func (balancer *placingBalancer) outcome(t *testing.T) balance.Outcome {
	t.Helper()
	e, ok := balancer.events[len(balancer.events)-1].(balance.Ended)
	require.True(t, ok, "the last event is %T", balancer.events[len(balancer.events)-1])
	return e.Outcome
}

// A repeated request whose connection is established slowly must not be sent once the servers may have forgotten
// the first attempt: they would run it a second time.
func TestRepeatIsSentOnlyWithinItsWindow(t *testing.T) {
	const window = 200 * time.Millisecond
	for name, test := range map[string]struct {
		sendBy, connects time.Duration
		want             bool
	}{
		"no window":                            {connects: 900 * time.Millisecond, want: true},
		"well within the window":               {sendBy: window, connects: window - sendMargin - time.Millisecond, want: true},
		"too late to arrive within the window": {sendBy: window, connects: window - sendMargin},
		"after the window":                     {sendBy: window, connects: window + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			env, core, _, attempts := newRecorded()
			balancer := &placingBalancer{}
			if test.sendBy > 0 {
				balancer.sendBy = env.now + test.sendBy
			}
			core.balancer = balancer
			core.Arrive(env, balance.Arrival{Class: "chat"}, "", 2*time.Second)
			env.now += test.connects
			assert.Equal(t, test.want, attempts.last.AllowSend())
			if !test.want {
				assert.Equal(t, balance.Unsent, balancer.outcome(t), "nothing has run")
				assert.Equal(t, []bool{true}, attempts.clean, "the attempt is closed")
			}
		})
	}
}

// An attempt that times out before its connection is established has not run, whatever the class of the request.
// So it may be retried elsewhere.
func TestTimedOutAttemptThatWasNotSentIsUnreachable(t *testing.T) {
	for _, test := range []struct {
		unsent bool
		want   balance.Outcome
	}{{true, balance.Unreachable}, {false, balance.TimedOut}} {
		env, core := newCore("a")
		balancer := &placingBalancer{}
		env.neverConnects, core.balancer = test.unsent, balancer
		env.arrive(core, "")
		env.advance(time.Second)
		assert.Equal(t, test.want, balancer.outcome(t))
	}
}
