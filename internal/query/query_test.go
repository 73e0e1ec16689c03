package query

import (
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lichenhitch/balance"
	"lichenhitch/internal/life"
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
		Classes: []balance.Class{{Name: "chat", Aim: 300 * time.Millisecond}}}, seed)
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
	say  []balance.Action // on the next Woken
	seen []string
}

func (r *reusing) Handle(_ time.Duration, ev balance.Event) []balance.Action {
	r.out = r.out[:0]
	switch e := ev.(type) {
	case balance.Arrival:
		r.out = append(r.out, balance.Place{Request: e.Request, Server: "a", Timeout: time.Second})
	case balance.Woken:
		r.out = append(r.out, r.say...)
	case balance.Ended:
		r.seen = append(r.seen, "ended")
		r.out = append(r.out, balance.Wake{After: time.Hour, Token: 1}, balance.Wake{After: time.Hour, Token: 2})
	}
	return r.out
}

func TestActionsAreCarriedOutBeforeTheNextEventIsTold(t *testing.T) {
	w := &world{now: time.Hour}
	r := &reusing{}
	c := Build(slog.New(slog.NewTextHandler(io.Discard, nil)), w, balance.Settings{}, r, life.Step)
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
