package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// most is the chance that makes all pauses the longest.
const most = 0.999999

// play is a watch with the clock of a test.
type play struct {
	Watch
	now  time.Duration
	last Order
}

func begin(terms Terms, listed bool) *play {
	return &play{Watch: Watch{Terms: terms, Listed: listed}, now: time.Hour}
}

// on brings an event now.
func (p *play) on(k Kind) Order {
	p.Watch, p.last = p.Step(Event{Kind: k, Now: p.now, Chance: most})
	return p.last
}

// due goes on to the time of the last order and brings Due. It returns how long that took.
func (p *play) due() time.Duration {
	from := p.now
	p.now = p.last.Wake
	p.on(Due)
	return p.now - from
}

// watching returns a watch that waits for news.
func watching(terms Terms) *play {
	p := begin(terms, true)
	if p.on(Start); !p.last.Call {
		p.due()
	}
	p.on(Answered)
	return p
}

var (
	asks   = Terms{AskWithin: 10 * time.Second, Grace: 2 * time.Second}
	pushed = Terms{Push: true, Grace: 2 * time.Second}
)

// Term 1: discovery's change counts as told 6 s after discovery had it and could be reached.
func TestTheFiguresLeaveTimeForTheWorstCase(t *testing.T) {
	assert.LessOrEqual(t, CallWithin+BackoffMost+CallWithin+Reserve, Told, "a call that hangs, the pause, the next call")
	assert.LessOrEqual(t, Hold+Overdue+Spread+CallWithin+Reserve, Told, "a watch that hangs, the spread, the next call")
	assert.LessOrEqual(t, relocateCall+RelocateRetry+relocateCall+RelocateRetry, RelocateWithin, "two calls after a move")
	assert.Less(t, Spread, 200*time.Millisecond, "the next call is the same watch")
	assert.Positive(t, Hold)
}

// Term 2: a watch that falls silent is broken and is asked anew, in time for an answer within 6 s.
func TestASilentWatchIsAskedAnew(t *testing.T) {
	p := watching(asks)
	assert.Equal(t, Order{Call: true, Form: Held, Wake: p.now + Hold + Overdue}, p.last)
	took := p.due()
	assert.True(t, p.last.Drop, "what it may still bring is not taken")
	took += p.due()
	assert.Equal(t, Changes, p.last.Form, "the next call does not wait")
	assert.LessOrEqual(t, took+CallWithin+Reserve, Told)
	p.on(Answered)
	assert.Equal(t, Held, p.last.Form, "and the watch goes on")
}

// The same for a poll that falls silent, as does each call after it: none is followed by more than BackoffMost.
func TestASilentPollIsAskedAnew(t *testing.T) {
	p := begin(asks, true)
	p.on(Start)
	p.due()
	for range 20 {
		assert.True(t, p.last.Call)
		assert.Equal(t, CallWithin, p.due(), "given up")
		pause := p.due()
		assert.LessOrEqual(t, pause, BackoffMost)
		assert.LessOrEqual(t, CallWithin+pause+CallWithin+Reserve, Told)
	}
}

// A watch that broke is called again within the spread, as a watch; from then on calls do not wait and back off.
func TestPausesAfterFailures(t *testing.T) {
	for name, c := range map[string]struct {
		kind  Kind
		forms []Form
		most  []time.Duration
	}{
		"broken": {Broken, []Form{Held, Changes, Changes, Changes, Changes},
			[]time.Duration{Spread, Spread, time.Second, BackoffMost, BackoffMost}},
		"refused": {Refused, []Form{Changes, Changes, Changes, Changes},
			[]time.Duration{Spread, 2 * BackoffLeast, 4 * BackoffLeast, BackoffMost}},
	} {
		t.Run(name, func(t *testing.T) {
			p := watching(asks)
			for i, form := range c.forms {
				p.on(c.kind)
				assert.True(t, p.last.Drop)
				assert.False(t, p.last.Call)
				pause := p.due()
				assert.LessOrEqual(t, pause, c.most[i])
				assert.Greater(t, pause, c.most[i]*9/10, "by the greatest chance")
				assert.Equal(t, form, p.last.Form)
			}
		})
	}
}

// Nodes that lose their watches together do not call together.
func TestCallsAreSpread(t *testing.T) {
	for _, p := range []*play{begin(asks, true), watching(asks)} {
		seen := map[time.Duration]bool{}
		for i := range 100 {
			kind := Refused
			if p.Phase == Idle {
				kind = Start
			}
			_, o := p.Step(Event{Kind: kind, Now: p.now, Chance: float64(i) / 100})
			seen[o.Wake-p.now] = true
			assert.Less(t, o.Wake-p.now, Spread)
		}
		assert.Len(t, seen, 100)
	}
}

// Term 3: without a watch, the list is asked for within the polling time in the settings, however short that is.
func TestTheBackoffKeepsToThePollingTime(t *testing.T) {
	for _, within := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Minute} {
		p := watching(Terms{AskWithin: within, Grace: time.Second})
		for range 20 {
			p.on(Refused)
			assert.LessOrEqual(t, p.due(), min(within, BackoffMost), "of %s", within)
		}
	}
}

// Term 4: where lists are pushed, the agent is called at the first moment and again within 100 ms of any failure.
func TestAnAgentIsCalledAtOnceAndAgainQuickly(t *testing.T) {
	p := begin(pushed, true)
	assert.Equal(t, Order{Call: true, Form: Changes, Wake: p.now + pushed.Grace/2}, p.on(Start))
	for _, k := range []Kind{Broken, Refused, Outdated, Broken, Broken, Refused, Refused, Refused} {
		p.on(k)
		pause := p.due()
		assert.LessOrEqual(t, pause, AgentRetry)
		assert.GreaterOrEqual(t, pause, AgentRetry/2, "no flood")
		assert.True(t, p.last.Call)
	}
	p.on(Answered)
	assert.Equal(t, Held, p.last.Form, "a watch is kept")
}

// While discovery is down the agent is silent. What it gets at the return counts at once, so that a call is not waited for
// longer than half of the grace, but for every fourth: an agent that always needs longer is to be heard in the end.
func TestASilentAgentIsNotWaitedForLong(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		100 * time.Millisecond: AgentRetry, time.Second: 500 * time.Millisecond, time.Minute: CallWithin,
	} {
		p := begin(Terms{Push: true, Grace: grace}, true)
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

// After SIGHUP the new address is asked at once for the whole list, and again so quickly that two calls have their time
// within 4 s, whatever was under way: a call, a pause, another move.
func TestAMoveIsFollowedAtOnce(t *testing.T) {
	for name, p := range map[string]*play{"a watch": watching(asks), "an agent": watching(pushed), "a call": begin(asks, true),
		"a pause": watching(asks), "many failures": watching(asks), "another move": watching(asks)} {
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
			case "another move":
				p.on(Moved)
				p.now += time.Second
			}
			p.now += 10 * time.Millisecond
			from := p.now
			assert.Equal(t, Order{Drop: true, Call: true, Form: Whole, Wake: p.now + relocateCall}, p.on(Moved))
			p.due()
			p.due()
			assert.Equal(t, Whole, p.last.Form)
			assert.LessOrEqual(t, p.last.Wake-from, RelocateWithin, "the second call has its time")
			for p.now-from < RelocateWithin {
				p.on(Refused)
				assert.LessOrEqual(t, p.due(), RelocateRetry)
			}
			p.on(Answered)
			assert.Equal(t, Held, p.last.Form)
		})
	}
}

// W5: only a move, an empty start and changes to an older list make a call for the whole list.
func TestTheWholeListIsAskedForOnlyWhereItMust(t *testing.T) {
	p := begin(asks, false)
	p.on(Start)
	p.due()
	assert.Equal(t, Whole, p.last.Form)
	p.on(Refused)
	p.due()
	assert.Equal(t, Whole, p.last.Form, "there is still none")
	p.on(Answered)
	for _, k := range []Kind{Broken, Refused, Due, Refused} {
		p.on(k)
		p.due()
		assert.NotEqual(t, Whole, p.last.Form)
	}
	p.on(Outdated)
	p.due()
	assert.Equal(t, Whole, p.last.Form)
}

// A late end of a call that was given up, or a second start, changes nothing.
func TestEventsOutOfPlaceChangeNothing(t *testing.T) {
	pausing := watching(asks)
	pausing.on(Refused)
	calling := watching(asks)
	for _, c := range []struct {
		w     Watch
		kinds []Kind
	}{
		{Watch{Terms: asks}, []Kind{Answered, Broken, Refused, Outdated, Due}},
		{pausing.Watch, []Kind{Start, Answered, Broken, Refused, Outdated}},
		{calling.Watch, []Kind{Start}},
	} {
		for _, k := range c.kinds {
			after, o := c.w.Step(Event{Kind: k, Now: 2 * time.Hour})
			assert.Equal(t, c.w, after)
			assert.Equal(t, Order{}, o)
		}
	}
}
