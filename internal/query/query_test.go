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

// world stands in for the clock, the servers, the host group and one client.
type world struct {
	now     time.Duration
	timers  []*timer
	core    *Core
	out     []Try // attempts that are out
	last    Try
	most    int
	answers []string
	unsent  bool // no connection to a server comes up
}

type timer struct {
	at  time.Duration
	due Due
	off bool
}

func (t *timer) Stop() { t.off = true }

func (w *world) Now() time.Duration { return w.now }
func (w *world) After(d time.Duration, due Due) Timer {
	t := &timer{at: w.now + d, due: due}
	w.timers = append(w.timers, t)
	return t
}

// pass lets time go by, timer by timer.
func (w *world) pass(d time.Duration) {
	for until := w.now + d; ; {
		i := -1
		for j, t := range w.timers {
			if t.at <= until && (i < 0 || t.at < w.timers[i].at) {
				i = j
			}
		}
		if i < 0 {
			w.now = until
			return
		}
		t := w.timers[i]
		w.timers = slices.Delete(w.timers, i, i+1)
		w.now = max(w.now, t.at)
		if !t.off {
			w.core.Fire(t.due)
		}
	}
}

type attempt struct {
	w *world
	t Try
}

func (a attempt) Pass([]byte) {}
func (a attempt) Over() bool  { return false }
func (a attempt) Sent() bool  { return !a.w.unsent }
func (a attempt) End(bool) {
	a.w.out = slices.DeleteFunc(a.w.out, func(t Try) bool { return t == a.t })
}

func (w *world) Attempt(t Try, _ balance.ServerID, _ time.Duration) Attempt {
	w.out, w.last = append(w.out, t), t
	w.most = max(w.most, len(w.out))
	return attempt{w, t}
}
func (w *world) Probe(balance.ServerID) {}
func (w *world) Subscribe()             {}

func (w *world) Up([]byte)              { w.answers = append(w.answers, "up") }
func (w *world) Pass([]byte)            {}
func (w *world) Throttle(time.Duration) { w.answers = append(w.answers, "throttle") }
func (w *world) Fail()                  { w.answers = append(w.answers, "fail") }
func (w *world) Served([]byte)          { w.answers = append(w.answers, "served") }
func (w *world) Reject(error)           { w.answers = append(w.answers, "error") }
func (w *world) Move()                  { w.answers = append(w.answers, "move") }
func (w *world) End(bool)               { w.answers = append(w.answers, "end") }

// With this seed the balancer, which turns away part of what comes while most attempts fail, tries again.
const seed = 4

func newCore(hosts ...balance.ServerID) (*world, *Core) {
	w := &world{now: time.Hour}
	c := New(slog.New(slog.NewTextHandler(io.Discard, nil)), w, balance.Settings{MaxAttempts: 4, Tick: time.Millisecond,
		Classes: []balance.Class{{Name: "chat", LatencyTarget: 300 * time.Millisecond}}}, seed)
	w.core = c
	c.Connect(w, w)
	var entries []balance.Listing
	for _, h := range hosts {
		entries = append(entries, balance.Listing{Server: h, Weight: 1})
	}
	c.List(balance.ListSaved, entries)
	return w, c
}

func (w *world) arrive(c *Core, at balance.ServerID) *Query {
	return c.Arrive(w, balance.Arrival{Class: "chat"}, at, 2*time.Second)
}

func TestAHeldQueryIsAnsweredOnceAndBeforeItsTimeIsUp(t *testing.T) {
	w, c := newCore() // no hosts at all
	w.arrive(c, "")
	w.pass(2*time.Second - time.Millisecond)
	assert.Equal(t, []string{"throttle"}, w.answers)
	w.pass(time.Minute)
	assert.Len(t, w.answers, 1)
	assert.Zero(t, c.Owed())
}

func TestSilentHostsCostOneAttemptAfterTheOther(t *testing.T) {
	w, c := newCore("a", "b", "c", "d", "e")
	q := w.arrive(c, "")
	w.pass(2 * time.Second)
	assert.Equal(t, 1, w.most, "attempts out at once")
	assert.Empty(t, w.out)
	assert.Greater(t, q.state.Attempts, uint16(1))
	assert.Equal(t, []string{"throttle"}, w.answers)
	w.last.Up(nil) // a word that comes too late changes nothing
	w.last.Ended(balance.Reset, true, balance.Report{}, nil)
	assert.Len(t, w.answers, 1)
}

func TestAClientThatLeavesTakesItsAttemptAlong(t *testing.T) {
	w, c := newCore("a", "b")
	q := w.arrive(c, "")
	q.ClientGone(true)
	assert.Empty(t, w.out)
	w.pass(time.Minute)
	assert.Equal(t, uint16(1), q.state.Attempts, "nothing is sent for a client that left")
	assert.Empty(t, w.answers)
	assert.Empty(t, c.queries)
	assert.Zero(t, c.Owed())
}

func TestAnInheritedQueryIsTriedAgainAtItsHostUntilItIsLost(t *testing.T) {
	w, c := newCore("a")
	q := w.arrive(c, "b")
	for range 3 {
		q.attempt.End(true)
		w.last.Ended(balance.Unreachable, false, balance.Report{}, nil)
		w.pass(inheritedRetry)
	}
	assert.Equal(t, balance.ServerID("b"), q.server)
	assert.Equal(t, uint16(4), q.state.Attempts)
	w.pass(inheritedWait)
	assert.Equal(t, []string{"fail"}, w.answers)
	assert.Empty(t, c.queries)
}

// reusing is a decider that, as the real one, answers in one buffer, which the next call overwrites.
type reusing struct {
	out  []balance.Action
	say  []balance.Action // on the next TimerFired
	seen []string
}

func (r *reusing) Handle(_ time.Duration, ev balance.Event) []balance.Action {
	r.out = r.out[:0]
	switch e := ev.(type) {
	case balance.Arrival:
		r.out = append(r.out, balance.Place{Request: e.Request, Server: "a", Timeout: time.Second})
	case balance.TimerFired:
		r.out = append(r.out, r.say...)
	case balance.Ended:
		r.seen = append(r.seen, "ended")
		r.out = append(r.out, balance.SetTimer{After: time.Hour, Token: 1}, balance.SetTimer{After: time.Hour, Token: 2})
	}
	return r.out
}

func TestActionsAreCarriedOutBeforeTheNextEventIsTold(t *testing.T) {
	w := &world{now: time.Hour}
	r := &reusing{}
	c := Build(slog.New(slog.NewTextHandler(io.Discard, nil)), w, balance.Settings{}, r, lifecycle.Step)
	w.core = c
	c.Connect(w, w)
	for range 3 {
		w.arrive(c, "")
		w.last.Up(nil)
	}
	w.answers = nil
	r.say = []balance.Action{balance.Move{Request: 1}, balance.Move{Request: 2}, balance.Move{Request: 3}}
	c.Fire(Due{Kind: DueWake})
	assert.Equal(t, []string{"move", "move", "move"}, w.answers)
	assert.Len(t, r.seen, 3, "each end is told once")
	assert.Zero(t, c.Standing())
}

// told is a decider that keeps what it hears and says what it is told to on the next TimerFired.
type told struct {
	heard []balance.Event
	say   []balance.Action
}

func (d *told) Handle(_ time.Duration, ev balance.Event) []balance.Action {
	d.heard = append(d.heard, ev)
	if e, ok := ev.(balance.Arrival); ok {
		return []balance.Action{balance.Place{Request: e.Request, Server: "a", Timeout: time.Second}}
	}
	if _, ok := ev.(balance.TimerFired); ok {
		return d.say
	}
	return nil
}

// last returns what was heard last.
func (d *told) last() balance.Event { return d.heard[len(d.heard)-1] }

// noting is a client that keeps how it was treated.
type noting struct {
	world
	after  time.Duration
	clean  []bool
	reason error
}

func (n *noting) Throttle(after time.Duration) { n.after = after }
func (n *noting) End(clean bool)               { n.clean = append(n.clean, clean) }
func (n *noting) Reject(reason error)          { n.reason = reason }

// endings is a server side whose attempts keep how they were ended.
type endings struct {
	world
	clean []bool
	lines int
}

func (e *endings) Over() bool { return false }
func (e *endings) Sent() bool { return true }
func (e *endings) Attempt(t Try, _ balance.ServerID, _ time.Duration) Attempt {
	e.last = t
	return e
}
func (e *endings) Pass([]byte)    { e.lines++ }
func (e *endings) End(clean bool) { e.clean = append(e.clean, clean) }

func newTold() (*world, *Core, *told, *endings) {
	w, d, e := &world{now: time.Hour}, &told{}, &endings{}
	c := Build(slog.New(slog.NewTextHandler(io.Discard, nil)), w, balance.Settings{MaxRetryAfter: 400 * time.Millisecond},
		d, lifecycle.Step)
	w.core = c
	c.Connect(e, w)
	return w, c, d, e
}

func TestWhatComesWithAnEventGoesOn(t *testing.T) {
	w, c, d, e := newTold()
	n := &noting{}
	arrive := func() *Query { return c.Arrive(n, balance.Arrival{Class: "chat"}, "", 2*time.Second) }
	arrival := func() balance.Arrival { return d.last().(balance.Arrival) }

	q := arrive()
	assert.Equal(t, 1990*time.Millisecond, arrival().TimeLeft, "10 ms are for the answer's way")
	e.last.Load(7)
	assert.IsType(t, balance.Arrival{}, d.last(), "no load before it is up")
	w.now += 30 * time.Millisecond
	e.last.Up([]byte("UP"))
	assert.Equal(t, balance.Established{Request: 1, Took: 30 * time.Millisecond}, d.last())
	e.last.Load(7)
	assert.Equal(t, balance.LoadChanged{Request: 1, Load: 7}, d.last())
	q.ClientLines([]byte("x"))
	assert.Equal(t, 1, e.lines)
	w.now += 5 * time.Millisecond
	q.ClientGone(false)
	assert.Equal(t, []bool{false}, e.clean, "broken, as the client's side was")
	assert.Equal(t, balance.Ended{Request: 1, Outcome: balance.Cancelled, Took: 35 * time.Millisecond, Final: true}, d.last())

	arrive()
	e.last.Up(nil)
	report := balance.Report{Known: balance.HasRatio, Ratio: 0.5}
	e.last.Ended(balance.Reset, false, report, nil)
	assert.Equal(t, []bool{false}, n.clean, "broken, as the host's side was")
	assert.Equal(t, balance.Ended{Request: 2, Outcome: balance.Reset, Final: true, Report: report}, d.last())

	arrive()
	e.last.Ended(balance.Full, true, report, nil)
	assert.Equal(t, balance.Ended{Request: 3, Outcome: balance.Full, Report: report}, d.last())
	d.say = []balance.Action{balance.Refuse{Request: 3, RetryAfter: 70 * time.Millisecond}}
	c.Fire(Due{Kind: DueWake})
	assert.Equal(t, 70*time.Millisecond, n.after)

	q = arrive()
	q.ClientFaulty(io.ErrUnexpectedEOF)
	assert.Equal(t, io.ErrUnexpectedEOF, n.reason)

	c.Probed("a", balance.OK, time.Second, report)
	assert.Equal(t, balance.Probed{Server: "a", Outcome: balance.OK, Took: time.Second, Report: report}, d.last())
}

// One whose time runs out unheard is told when to come back, and no later than clients heed.
func TestTheGuardSaysWhenToComeBack(t *testing.T) {
	w, c, _, _ := newTold()
	n := &noting{}
	c.balancer = silence{}
	c.Arrive(n, balance.Arrival{Class: "chat"}, "", 2*time.Second)
	w.pass(1994 * time.Millisecond)
	assert.Zero(t, n.after)
	w.pass(time.Millisecond)
	assert.Equal(t, 400*time.Millisecond, n.after)
}

type silence struct{}

func (silence) Handle(time.Duration, balance.Event) []balance.Action { return nil }

// The grace is the settings' own, which differs from one deployment to another, less a moment for the writing.
func TestAHostIsDrainedFromTheFirstNoticeOn(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 3 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) { drainedFromTheFirstNoticeOn(t, grace) })
	}
}

func drainedFromTheFirstNoticeOn(t *testing.T, grace time.Duration) {
	w, c, _, _ := newTold()
	c.adopt(balance.Settings{Safety: balance.Safety{DrainGrace: grace}})
	entry := func(s balance.State, started time.Duration) balance.Listing {
		return balance.Listing{Server: "a", State: s, Started: started}
	}
	change := func(l balance.Listing) { c.List(balance.ListChanges, []balance.Listing{l}) }
	change(entry(balance.Ready, 0))
	assert.False(t, c.drained("a"))
	change(entry(balance.Draining, 0))
	w.now += time.Second
	change(entry(balance.Draining, 0)) // told again
	w.now += grace - 1051*time.Millisecond
	assert.False(t, c.drained("a"))
	w.now += time.Millisecond
	assert.True(t, c.drained("a"))
	c.List(balance.ListFailed, nil)
	assert.True(t, c.drained("a"), "a call that failed tells nothing")
	change(entry(balance.Ready, 0))
	assert.False(t, c.drained("a"), "taken back")
	c.List(balance.ListFull, nil) // it is missing
	w.now += grace
	assert.True(t, c.drained("a"))
	change(entry(balance.Draining, 5)) // another life of it
	assert.False(t, c.drained("a"))
	assert.False(t, c.drained("unheard of"))
}
