package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/balance"
)

// placing is a decider that places each request at once, to be sent by a time.
type placing struct {
	sendBy time.Duration
	heard  []balance.Event
}

func (d *placing) Handle(_ time.Duration, ev balance.Event) []balance.Action {
	d.heard = append(d.heard, ev)
	if e, ok := ev.(balance.Arrival); ok {
		return []balance.Action{balance.Place{Request: e.Request, Server: "a", Timeout: time.Second, SendBy: d.sendBy}}
	}
	return nil
}

func (d *placing) outcome(t *testing.T) balance.Outcome {
	t.Helper()
	e, ok := d.heard[len(d.heard)-1].(balance.Ended)
	require.True(t, ok, "the last event is %T", d.heard[len(d.heard)-1])
	return e.Outcome
}

// A repeat whose connection comes up slowly is not sent once the servers may have forgotten the first attempt.
func TestARepeatIsSentWithinItsWindowOnly(t *testing.T) {
	const window = 200 * time.Millisecond
	for name, c := range map[string]struct {
		sendBy, connects time.Duration
		want             bool
	}{
		"no window":                    {connects: 900 * time.Millisecond, want: true},
		"well within":                  {sendBy: window, connects: window - sendMargin - time.Millisecond, want: true},
		"too late to arrive within it": {sendBy: window, connects: window - sendMargin},
		"after it":                     {sendBy: window, connects: window + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w, c2, _, e := newTold()
			d := &placing{}
			if c.sendBy > 0 {
				d.sendBy = w.now + c.sendBy
			}
			c2.balancer = d
			c2.Arrive(w, balance.Arrival{Class: "chat"}, "", 2*time.Second)
			w.now += c.connects
			assert.Equal(t, c.want, e.last.Open())
			if !c.want {
				assert.Equal(t, balance.Unsent, d.outcome(t), "it proves that nothing ran")
				assert.Equal(t, []bool{true}, e.clean, "the attempt is closed")
			}
		})
	}
}

// An attempt whose time is over before its connection came up has not run, whatever its class: it may be made elsewhere.
func TestAnAttemptThatWasNeverSentHasNotRun(t *testing.T) {
	for _, c := range []struct {
		unsent bool
		want   balance.Outcome
	}{{true, balance.Unreachable}, {false, balance.TimedOut}} {
		w, core := newCore("a")
		d := &placing{}
		w.unsent, core.balancer = c.unsent, d
		w.arrive(core, "")
		w.pass(time.Second)
		assert.Equal(t, c.want, d.outcome(t))
	}
}
