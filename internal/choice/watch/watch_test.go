package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// maxRandom is the random value that gives the longest pauses.
const maxRandom = 0.999999

// fixture is a watch with a simulated clock.
type fixture struct {
	Watch
	now  time.Duration
	last Action
}

func begin(settings Settings, listed bool) *fixture {
	return &fixture{Watch: Watch{Settings: settings, HasList: listed}, now: time.Hour}
}

// on delivers an event now.
func (p *fixture) on(k Kind) Action {
	p.Watch, p.last = p.Step(Event{Kind: k, Now: p.now, Random: maxRandom})
	return p.last
}

// due advances the clock to the time of the last action, delivers TimerFired and returns how long that took.
func (p *fixture) due() time.Duration {
	from := p.now
	p.now = p.last.Wake
	p.on(TimerFired)
	return p.now - from
}

// watching returns a watch that waits for changes.
func watching(settings Settings) *fixture {
	p := begin(settings, true)
	if p.on(Start); !p.last.Call {
		p.due()
	}
	p.on(Answered)
	return p
}

var (
	polled = Settings{PollInterval: 10 * time.Second, Grace: 2 * time.Second}
	pushed = Settings{Push: true, Grace: 2 * time.Second}
)

// Term 1: a change at discovery counts as known 6 s after discovery had it and could be reached.
func TestTheFiguresLeaveTimeForTheWorstCase(t *testing.T) {
	assert.LessOrEqual(t, CallWithin+BackoffMax+CallWithin+Reserve, ListWithin, "a call that hangs, the pause, the next call")
	assert.LessOrEqual(t, Hold+HoldOverrun+Spread+CallWithin+Reserve, ListWithin, "a watch that hangs, the spread, the next call")
	assert.LessOrEqual(t, relocateCall+RelocateRetry+relocateCall+RelocateRetry, RelocateWithin, "two calls after a change of address")
	assert.Less(t, Spread, 200*time.Millisecond, "the next call is the same watch")
	assert.Positive(t, Hold)
}

// Term 2: an unresponsive watch is ended and called again, in time for an answer within 6 s.
func TestUnresponsiveWatchIsCalledAgain(t *testing.T) {
	p := watching(polled)
	assert.Equal(t, Action{Call: true, Form: LongPoll, Wake: p.now + Hold + HoldOverrun}, p.last)
	took := p.due()
	assert.True(t, p.last.Drop, "its late answer is dropped")
	took += p.due()
	assert.Equal(t, Changes, p.last.Form, "the next call does not wait")
	assert.LessOrEqual(t, took+CallWithin+Reserve, ListWithin)
	p.on(Answered)
	assert.Equal(t, LongPoll, p.last.Form, "and the watch continues")
}

// The same for a poll that gets no answer, as does each call after it: none is followed by a pause of more than BackoffMax.
func TestUnresponsivePollIsCalledAgain(t *testing.T) {
	p := begin(polled, true)
	p.on(Start)
	p.due()
	for range 20 {
		assert.True(t, p.last.Call)
		assert.Equal(t, CallWithin, p.due(), "given up")
		pause := p.due()
		assert.LessOrEqual(t, pause, BackoffMax)
		assert.LessOrEqual(t, CallWithin+pause+CallWithin+Reserve, ListWithin)
	}
}

// A watch that lost its connection is called again within Spread, as a watch; from then on calls do not wait and back off.
func TestPausesAfterFailures(t *testing.T) {
	for name, c := range map[string]struct {
		kind    Kind
		forms   []Form
		longest []time.Duration
	}{
		"broken": {ConnectionLost, []Form{LongPoll, Changes, Changes, Changes, Changes},
			[]time.Duration{Spread, Spread, time.Second, BackoffMax, BackoffMax}},
		"refused": {Refused, []Form{Changes, Changes, Changes, Changes},
			[]time.Duration{Spread, 2 * BackoffMin, 4 * BackoffMin, BackoffMax}},
	} {
		t.Run(name, func(t *testing.T) {
			p := watching(polled)
			for i, form := range c.forms {
				p.on(c.kind)
				assert.True(t, p.last.Drop)
				assert.False(t, p.last.Call)
				pause := p.due()
				assert.LessOrEqual(t, pause, c.longest[i])
				assert.Greater(t, pause, c.longest[i]*9/10, "with the greatest random value")
				assert.Equal(t, form, p.last.Form)
			}
		})
	}
}

// Nodes that lose their watches together do not call at the same time.
func TestCallsAreSpread(t *testing.T) {
	for _, p := range []*fixture{begin(polled, true), watching(polled)} {
		seen := map[time.Duration]bool{}
		for i := range 100 {
			kind := Refused
			if p.Phase == Idle {
				kind = Start
			}
			_, action := p.Step(Event{Kind: kind, Now: p.now, Random: float64(i) / 100})
			seen[action.Wake-p.now] = true
			assert.Less(t, action.Wake-p.now, Spread)
		}
		assert.Len(t, seen, 100)
	}
}

// Term 3: without a watch, the list is requested within the polling interval of the settings, however short it is.
func TestTheBackoffKeepsToThePollingTime(t *testing.T) {
	for _, within := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Minute} {
		p := watching(Settings{PollInterval: within, Grace: time.Second})
		for range 20 {
			p.on(Refused)
			assert.LessOrEqual(t, p.due(), min(within, BackoffMax), "of %s", within)
		}
	}
}

// Term 4: where lists are pushed, the agent is called immediately and again within 100 ms of any failure.
func TestAnAgentIsCalledAtOnceAndAgainQuickly(t *testing.T) {
	p := begin(pushed, true)
	assert.Equal(t, Action{Call: true, Form: Changes, Wake: p.now + pushed.Grace/2}, p.on(Start))
	for _, k := range []Kind{ConnectionLost, Refused, Outdated, ConnectionLost, ConnectionLost, Refused, Refused, Refused} {
		p.on(k)
		pause := p.due()
		assert.LessOrEqual(t, pause, AgentRetry)
		assert.GreaterOrEqual(t, pause, AgentRetry/2, "not in a tight loop")
		assert.True(t, p.last.Call)
	}
	p.on(Answered)
	assert.Equal(t, LongPoll, p.last.Form, "a watch is kept")
}

// While discovery is down the agent does not respond. What it gets when discovery returns counts as known at once, so a call is
// given up after half of the grace period, except for every fourth: an agent that always needs longer must get its answer through
// eventually.
func TestUnresponsiveAgentIsGivenUpSoon(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		100 * time.Millisecond: AgentRetry, time.Second: 500 * time.Millisecond, time.Minute: CallWithin,
	} {
		p := begin(Settings{Push: true, Grace: grace}, true)
		p.on(Start)
		for i := range 12 {
			took := p.due()
			if i%4 == 3 {
				assert.Equal(t, CallWithin, took, "of %s", grace)
			} else {
				assert.Equal(t, want, took, "of %s", grace)
			}
			p.due()
		}
	}
}

// After SIGHUP the full list is requested from the new address immediately, and again so soon that two calls have their time
// within 4 s, whatever was in progress: a call, a pause, another change of address.
func TestAddressChangeIsFollowedAtOnce(t *testing.T) {
	for name, p := range map[string]*fixture{"a watch": watching(polled), "an agent": watching(pushed), "a call": begin(polled, true),
		"a pause": watching(polled), "many failures": watching(polled), "another change": watching(polled)} {
		t.Run(name, func(t *testing.T) {
			switch name {
			case "a call":
				p.on(Start)
				p.due()
			case "a pause":
				p.on(Refused)
			case "many failures":
				for range 10 {
					p.on(Refused)
					p.due()
				}
			case "another change":
				p.on(AddressChanged)
				p.now += time.Second
			}
			p.now += 10 * time.Millisecond
			from := p.now
			assert.Equal(t, Action{Drop: true, Call: true, Form: FullList, Wake: p.now + relocateCall}, p.on(AddressChanged))
			p.due()
			p.due()
			assert.Equal(t, FullList, p.last.Form)
			assert.LessOrEqual(t, p.last.Wake-from, RelocateWithin, "the second call has its time")
			for p.now-from < RelocateWithin {
				p.on(Refused)
				assert.LessOrEqual(t, p.due(), RelocateRetry)
			}
			p.on(Answered)
			assert.Equal(t, LongPoll, p.last.Form)
		})
	}
}

// W5: only a change of address, a start without a list and changes relative to an older list make a call for the full list.
func TestFullListIsRequestedOnlyIfNecessary(t *testing.T) {
	p := begin(polled, false)
	p.on(Start)
	p.due()
	assert.Equal(t, FullList, p.last.Form)
	p.on(Refused)
	p.due()
	assert.Equal(t, FullList, p.last.Form, "there is still no list")
	p.on(Answered)
	for _, k := range []Kind{ConnectionLost, Refused, TimerFired, Refused} {
		p.on(k)
		p.due()
		assert.NotEqual(t, FullList, p.last.Form)
	}
	p.on(Outdated)
	p.due()
	assert.Equal(t, FullList, p.last.Form)
}

// A late end of a call that was given up, or a second start, changes nothing.
func TestEventsOutOfPlaceChangeNothing(t *testing.T) {
	pausing := watching(polled)
	pausing.on(Refused)
	calling := watching(polled)
	for _, c := range []struct {
		w     Watch
		kinds []Kind
	}{
		{Watch{Settings: polled}, []Kind{Answered, ConnectionLost, Refused, Outdated, TimerFired}},
		{pausing.Watch, []Kind{Start, Answered, ConnectionLost, Refused, Outdated}},
		{calling.Watch, []Kind{Start}},
	} {
		for _, k := range c.kinds {
			after, action := c.w.Step(Event{Kind: k, Now: 2 * time.Hour})
			assert.Equal(t, c.w, after)
			assert.Equal(t, Action{}, action)
		}
	}
}
