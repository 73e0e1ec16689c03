package query

import (
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lichenhitch/balance"
	"lichenhitch/internal/lifecycle"
)

// testEnv implements the clock, the servers, the host group and one client.
type testEnv struct {
	now           time.Duration
	timers        []*timer
	core          *Core
	active        []AttemptRef // attempts in progress
	last          AttemptRef
	maxActive     int
	answers       []string
	neverConnects bool // no connection to a server is established
}

type timer struct {
	at      time.Duration
	event   TimerEvent
	stopped bool
}

func (t *timer) Stop() { t.stopped = true }

func (env *testEnv) Now() time.Duration { return env.now }
func (env *testEnv) After(d time.Duration, event TimerEvent) Timer {
	t := &timer{at: env.now + d, event: event}
	env.timers = append(env.timers, t)
	return t
}

// advance advances the time and fires the timers that expire, in order.
func (env *testEnv) advance(d time.Duration) {
	for until := env.now + d; ; {
		i := -1
		for j, t := range env.timers {
			if t.at <= until && (i < 0 || t.at < env.timers[i].at) {
				i = j
			}
		}
		if i < 0 {
			env.now = until
			return
		}
		t := env.timers[i]
		env.timers = slices.Delete(env.timers, i, i+1)
		env.now = max(env.now, t.at)
		if !t.stopped {
			env.core.Fire(t.event)
		}
	}
}

type attempt struct {
	env *testEnv
	ref AttemptRef
}

func (a attempt) Forward([]byte)    {}
func (a attempt) EndReceived() bool { return false }
func (a attempt) Sent() bool        { return !a.env.neverConnects }
func (a attempt) End(bool) {
	a.env.active = slices.DeleteFunc(a.env.active, func(ref AttemptRef) bool { return ref == a.ref })
}

func (env *testEnv) Attempt(ref AttemptRef, _ balance.ServerID, _ time.Duration) Attempt {
	env.active, env.last = append(env.active, ref), ref
	env.maxActive = max(env.maxActive, len(env.active))
	return attempt{env, ref}
}
func (env *testEnv) Probe(balance.ServerID) {}
func (env *testEnv) Subscribe()             {}

func (env *testEnv) Established([]byte)     { env.answers = append(env.answers, "up") }
func (env *testEnv) Forward([]byte)         {}
func (env *testEnv) Throttle(time.Duration) { env.answers = append(env.answers, "throttle") }
func (env *testEnv) Fail()                  { env.answers = append(env.answers, "fail") }
func (env *testEnv) Served([]byte)          { env.answers = append(env.answers, "served") }
func (env *testEnv) Reject(error)           { env.answers = append(env.answers, "error") }
func (env *testEnv) Move()                  { env.answers = append(env.answers, "move") }
func (env *testEnv) End(bool)               { env.answers = append(env.answers, "end") }

// With this seed the balancer retries. It refuses part of the requests while most attempts fail.
const seed = 4

func newCore(hosts ...balance.ServerID) (*testEnv, *Core) {
	env := &testEnv{now: time.Hour}
	c := New(slog.New(slog.NewTextHandler(io.Discard, nil)), env, balance.Settings{MaxAttempts: 4, Tick: time.Millisecond,
		Classes: []balance.Class{{Name: "chat", LatencyTarget: 300 * time.Millisecond}}}, seed)
	env.core = c
	c.Connect(env, env)
	var entries []balance.Listing
	for _, h := range hosts {
		entries = append(entries, balance.Listing{Server: h, Weight: 1})
	}
	c.List(balance.ListSaved, entries)
	return env, c
}

func (env *testEnv) arrive(c *Core, inheritedHost balance.ServerID) *Request {
	return c.Arrive(env, balance.Arrival{Class: "chat"}, inheritedHost, 2*time.Second)
}

func TestHeldRequestIsAnsweredOnceAndBeforeItsDeadline(t *testing.T) {
	env, c := newCore() // no hosts at all
	env.arrive(c, "")
	env.advance(2*time.Second - time.Millisecond)
	assert.Equal(t, []string{"throttle"}, env.answers)
	env.advance(time.Minute)
	assert.Len(t, env.answers, 1)
	assert.Zero(t, c.Waiting())
}

func TestUnresponsiveHostsAreTriedOneAtATime(t *testing.T) {
	env, c := newCore("a", "b", "c", "d", "e")
	r := env.arrive(c, "")
	env.advance(2 * time.Second)
	assert.Equal(t, 1, env.maxActive, "attempts in progress at once")
	assert.Empty(t, env.active)
	assert.Greater(t, r.state.Attempts, uint16(1))
	assert.Equal(t, []string{"throttle"}, env.answers)
	env.last.Established(nil) // a late event changes nothing
	env.last.Ended(balance.Reset, true, balance.Report{}, nil)
	assert.Len(t, env.answers, 1)
}

func TestAttemptEndsWhenItsClientLeaves(t *testing.T) {
	env, c := newCore("a", "b")
	r := env.arrive(c, "")
	r.ClientGone(true)
	assert.Empty(t, env.active)
	env.advance(time.Minute)
	assert.Equal(t, uint16(1), r.state.Attempts, "nothing is sent for a client that left")
	assert.Empty(t, env.answers)
	assert.Empty(t, c.requests)
	assert.Zero(t, c.Waiting())
}

func TestInheritedRequestIsRetriedAtItsHostUntilItTimesOut(t *testing.T) {
	env, c := newCore("a")
	r := env.arrive(c, "b")
	for range 3 {
		r.attempt.End(true)
		env.last.Ended(balance.Unreachable, false, balance.Report{}, nil)
		env.advance(inheritedRetryInterval)
	}
	assert.Equal(t, balance.ServerID("b"), r.server)
	assert.Equal(t, uint16(4), r.state.Attempts)
	env.advance(inheritedTimeout)
	assert.Equal(t, []string{"fail"}, env.answers)
	assert.Empty(t, c.requests)
}

// reusingBalancer is a balancer that returns its actions in one buffer, as the real one does. The next call
// overwrites the buffer.
type reusingBalancer struct {
	buffer  []balance.Action
	actions []balance.Action // on the next TimerFired
	ended   []string
}

func (balancer *reusingBalancer) Handle(_ time.Duration, ev balance.Event) []balance.Action {
	balancer.buffer = balancer.buffer[:0]
	switch e := ev.(type) {
	case balance.Arrival:
		balancer.buffer = append(balancer.buffer, balance.Place{Request: e.Request, Server: "a", Timeout: time.Second})
	case balance.TimerFired:
		balancer.buffer = append(balancer.buffer, balancer.actions...)
	case balance.Ended:
		balancer.ended = append(balancer.ended, "ended")
		balancer.buffer = append(balancer.buffer, balance.SetTimer{After: time.Hour, Token: 1}, balance.SetTimer{After: time.Hour, Token: 2})
	}
	return balancer.buffer
}

func TestActionsAreCarriedOutBeforeTheNextEventIsHandled(t *testing.T) {
	env := &testEnv{now: time.Hour}
	balancer := &reusingBalancer{}
	c := NewWith(slog.New(slog.NewTextHandler(io.Discard, nil)), env, balance.Settings{}, balancer, lifecycle.Step)
	env.core = c
	c.Connect(env, env)
	for range 3 {
		env.arrive(c, "")
		env.last.Established(nil)
	}
	env.answers = nil
	balancer.actions = []balance.Action{balance.Move{Request: 1}, balance.Move{Request: 2}, balance.Move{Request: 3}}
	c.Fire(TimerEvent{Kind: TimerBalancer})
	assert.Equal(t, []string{"move", "move", "move"}, env.answers)
	assert.Len(t, balancer.ended, 3, "the balancer is notified of each end once")
	assert.Zero(t, c.Established())
}

// recordingBalancer is a balancer that records its events, and returns the given actions on the next TimerFired.
type recordingBalancer struct {
	events  []balance.Event
	actions []balance.Action
}

func (balancer *recordingBalancer) Handle(_ time.Duration, ev balance.Event) []balance.Action {
	balancer.events = append(balancer.events, ev)
	if e, ok := ev.(balance.Arrival); ok {
		return []balance.Action{balance.Place{Request: e.Request, Server: "a", Timeout: time.Second}}
	}
	if _, ok := ev.(balance.TimerFired); ok {
		return balancer.actions
	}
	return nil
}

// lastEvent returns the latest event.
func (balancer *recordingBalancer) lastEvent() balance.Event {
	return balancer.events[len(balancer.events)-1]
}

// recordingClient is a client that records how it was answered.
type recordingClient struct {
	testEnv
	after  time.Duration
	clean  []bool
	reason error
}

func (client *recordingClient) Throttle(after time.Duration) { client.after = after }
func (client *recordingClient) End(clean bool)               { client.clean = append(client.clean, clean) }
func (client *recordingClient) Reject(reason error)          { client.reason = reason }

// recordingAttempts implements Servers with attempts that record how they were ended.
type recordingAttempts struct {
	testEnv
	clean []bool
	lines int
}

func (attempts *recordingAttempts) EndReceived() bool { return false }
func (attempts *recordingAttempts) Sent() bool        { return true }
func (attempts *recordingAttempts) Attempt(ref AttemptRef, _ balance.ServerID, _ time.Duration) Attempt {
	attempts.last = ref
	return attempts
}
func (attempts *recordingAttempts) Forward([]byte) { attempts.lines++ }
func (attempts *recordingAttempts) End(clean bool) { attempts.clean = append(attempts.clean, clean) }

func newRecorded() (*testEnv, *Core, *recordingBalancer, *recordingAttempts) {
	env, balancer, attempts := &testEnv{now: time.Hour}, &recordingBalancer{}, &recordingAttempts{}
	c := NewWith(slog.New(slog.NewTextHandler(io.Discard, nil)), env, balance.Settings{MaxRetryAfter: 400 * time.Millisecond},
		balancer, lifecycle.Step)
	env.core = c
	c.Connect(attempts, env)
	return env, c, balancer, attempts
}

func TestEventDataIsPassedOn(t *testing.T) {
	env, c, balancer, attempts := newRecorded()
	client := &recordingClient{}
	arrive := func() *Request { return c.Arrive(client, balance.Arrival{Class: "chat"}, "", 2*time.Second) }
	arrival := func() balance.Arrival { return balancer.lastEvent().(balance.Arrival) }

	r := arrive()
	assert.Equal(t, 1990*time.Millisecond, arrival().TimeLeft, "10 ms are reserved for the answer to travel")
	attempts.last.LoadChanged(7)
	assert.IsType(t, balance.Arrival{}, balancer.lastEvent(), "no load is reported before the connection is established")
	env.now += 30 * time.Millisecond
	attempts.last.Established([]byte("UP"))
	assert.Equal(t, balance.Established{Request: 1, Took: 30 * time.Millisecond}, balancer.lastEvent())
	attempts.last.LoadChanged(7)
	assert.Equal(t, balance.LoadChanged{Request: 1, Load: 7}, balancer.lastEvent())
	r.ClientLines([]byte("x"))
	assert.Equal(t, 1, attempts.lines)
	env.now += 5 * time.Millisecond
	r.ClientGone(false)
	assert.Equal(t, []bool{false}, attempts.clean, "broken, as the client's connection was")
	assert.Equal(t, balance.Ended{Request: 1, Outcome: balance.Cancelled, Took: 35 * time.Millisecond, Final: true}, balancer.lastEvent())

	arrive()
	attempts.last.Established(nil)
	report := balance.Report{Known: balance.HasRatio, Ratio: 0.5}
	attempts.last.Ended(balance.Reset, false, report, nil)
	assert.Equal(t, []bool{false}, client.clean, "broken, as the host's connection was")
	assert.Equal(t, balance.Ended{Request: 2, Outcome: balance.Reset, Final: true, Report: report}, balancer.lastEvent())

	arrive()
	attempts.last.Ended(balance.Full, true, report, nil)
	assert.Equal(t, balance.Ended{Request: 3, Outcome: balance.Full, Report: report}, balancer.lastEvent())
	balancer.actions = []balance.Action{balance.Refuse{Request: 3, RetryAfter: 70 * time.Millisecond}}
	c.Fire(TimerEvent{Kind: TimerBalancer})
	assert.Equal(t, 70*time.Millisecond, client.after)

	r = arrive()
	r.ClientFaulty(io.ErrUnexpectedEOF)
	assert.Equal(t, io.ErrUnexpectedEOF, client.reason)

	c.Probed("a", balance.OK, time.Second, report)
	assert.Equal(t, balance.Probed{Server: "a", Outcome: balance.OK, Took: time.Second, Report: report}, balancer.lastEvent())
}

// A client whose request the balancer leaves unanswered until the deadline gets the time after which to try again. It
// must not exceed Settings.MaxRetryAfter, since clients ignore a longer one.
func TestDeadlineTimerSaysWhenToTryAgain(t *testing.T) {
	env, c, _, _ := newRecorded()
	client := &recordingClient{}
	c.balancer = passiveBalancer{}
	c.Arrive(client, balance.Arrival{Class: "chat"}, "", 2*time.Second)
	env.advance(1994 * time.Millisecond)
	assert.Zero(t, client.after)
	env.advance(time.Millisecond)
	assert.Equal(t, 400*time.Millisecond, client.after)
}

// passiveBalancer is a balancer that decides nothing.
type passiveBalancer struct{}

func (passiveBalancer) Handle(time.Duration, balance.Event) []balance.Action { return nil }

// The drain grace comes from the settings, which differ between deployments, less graceMargin. It starts when the
// drain is first reported.
func TestDrainGraceStartsWithTheFirstReport(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 3 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) { testDrainGrace(t, grace) })
	}
}

func testDrainGrace(t *testing.T, grace time.Duration) {
	env, c, _, _ := newRecorded()
	c.storeSettings(balance.Settings{Safety: balance.Safety{DrainGrace: grace}})
	entry := func(s balance.State, started time.Duration) balance.Listing {
		return balance.Listing{Server: "a", State: s, Started: started}
	}
	change := func(l balance.Listing) { c.List(balance.ListChanges, []balance.Listing{l}) }
	change(entry(balance.Ready, 0))
	assert.False(t, c.drained("a"))
	change(entry(balance.Draining, 0))
	env.now += time.Second
	change(entry(balance.Draining, 0)) // reported again
	env.now += grace - 1051*time.Millisecond
	assert.False(t, c.drained("a"))
	env.now += time.Millisecond
	assert.True(t, c.drained("a"))
	c.List(balance.ListFailed, nil)
	assert.True(t, c.drained("a"), "a failed call changes nothing")
	change(entry(balance.Ready, 0))
	assert.False(t, c.drained("a"), "the drain was cancelled")
	c.List(balance.ListFull, nil) // the host is missing from the list
	env.now += grace
	assert.True(t, c.drained("a"))
	change(entry(balance.Draining, 5)) // the host has restarted
	assert.False(t, c.drained("a"))
	assert.False(t, c.drained("unknown"))
}
