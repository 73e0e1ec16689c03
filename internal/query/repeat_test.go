package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/balance"
)

// placing is a decider that places each request at once, to be sent by a time.
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

// A repeat whose connection comes up slowly is not sent once the servers may have forgotten the first attempt.
func TestARepeatIsSentWithinItsWindowOnly(t *testing.T) {
	const window = 200 * time.Millisecond
	for name, test := range map[string]struct {
		sendBy, connects time.Duration
		want             bool
	}{
		"no window":                    {connects: 900 * time.Millisecond, want: true},
		"well within":                  {sendBy: window, connects: window - sendMargin - time.Millisecond, want: true},
		"too late to arrive within it": {sendBy: window, connects: window - sendMargin},
		"after it":                     {sendBy: window, connects: window + time.Millisecond},
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
				assert.Equal(t, balance.Unsent, balancer.outcome(t), "it proves that nothing ran")
				assert.Equal(t, []bool{true}, attempts.clean, "the attempt is closed")
			}
		})
	}
}

// An attempt whose time is over before its connection came up has not run, whatever its class: it may be made elsewhere.
func TestAnAttemptThatWasNeverSentHasNotRun(t *testing.T) {
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
