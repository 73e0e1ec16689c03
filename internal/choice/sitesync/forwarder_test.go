package sitesync

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// assertJitterOf asserts that a wait lies between half of a duration and the whole.
func assertJitterOf(t *testing.T, wait, whole time.Duration) {
	t.Helper()
	assert.True(t, wait >= whole/2 && wait <= whole, "%v of %v", wait, whole)
}

func TestForwarderUsesNearestReachableSite(t *testing.T) {
	s := New(Place{Site: "b", Level: 2, Incarnation: 1, Ancestors: []string{"r", "p"}}, testLimits)
	c := NewForwarder(func() *Site { return s }, Timing{PollInterval: time.Second, RetryDelay: time.Second,
		MaxRetryDelay: 8 * time.Second, MaxFailures: 2, ReturnInterval: time.Minute})
	now := time.Duration(0)
	next := func() string {
		to, _, wait := c.Next(now)
		if to == "" {
			now += wait
			to, _, _ = c.Next(now)
		}
		return to
	}
	wait := func() time.Duration { _, _, w := c.Next(now); return w }
	require.Equal(t, "r", next())
	c.Failed(now)
	assertJitterOf(t, wait(), time.Second)
	require.Equal(t, "r", next())
	c.Failed(now)
	require.Equal(t, "p", next(), "two calls in a row have failed")
	c.Answered(now, &Answer{From: "p", Incarnation: 1, Credit: 1})
	require.Equal(t, "p", next())
	c.Answered(now, &Answer{From: "p", Incarnation: 1, Credit: 1})
	now += time.Minute
	require.Equal(t, "r", next(), "a nearer site is tried at intervals")
	c.Answered(now, &Answer{From: "r", Incarnation: 1, Credit: 1})
	require.Equal(t, "r", next(), "and is used once it answers")
	c.Failed(now)

	alone := NewForwarderTo(func() *Site { return s },
		Timing{RetryDelay: time.Second, MaxRetryDelay: 8 * time.Second, MaxFailures: 20}, "p")
	for _, whole := range []time.Duration{1, 2, 4, 8, 8, 8} {
		to, _, _ := alone.Next(now)
		require.Equal(t, "p", to)
		alone.Failed(now)
		_, _, w := alone.Next(now)
		assertJitterOf(t, w, whole*time.Second)
		now += w
	}
	assert.NotEqual(t, Jitter(time.Second, "a", 1), Jitter(time.Second, "b", 1), "sites come back at different times")
	assert.NotEqual(t, Jitter(time.Second, "a", 1), Jitter(time.Second, "a", 2))
}

func TestForwarderKeepsToItsCredit(t *testing.T) {
	s := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	for i := range 5 {
		s.Apply(0, Command{Write: &LocalWrite{Kind: Note, Subject: fmt.Sprint(i), Value: []byte("x")}})
	}
	c := NewForwarder(func() *Site { return s }, Timing{MaxFailures: 9})
	answer := func(a Answer) []Write {
		a.From = "p"
		c.Answered(0, &a)
		_, b, _ := c.Next(0)
		return b.Writes
	}
	c.Next(0)
	assert.Empty(t, answer(Answer{Incarnation: 1, Credit: 2}), "nothing was offered")
	s.Apply(0, *s.Unoffered())
	assert.Len(t, answer(Answer{Incarnation: 1, Credit: 2}), 2)
	c.Failed(0)
	_, b, _ := c.Next(time.Hour)
	assert.Empty(t, b.Writes, "the credit may have been used")
	assert.Len(t, answer(Answer{Incarnation: 1, Credit: 9, Seen: VersionVector{{s.ownOrigin(0), 5}}}), 0, "all writes are known there")
	assert.Len(t, answer(Answer{Incarnation: 2, Credit: 9}), 5, "a new incarnation has none of the writes of the one before")
}

// TestForwarderProbesAfterLostCall: after a lost call on a cut link only probes are sent, within their own short
// timeout. On a slow link each lost call doubles the timeout of the next one.
func TestForwarderProbesAfterLostCall(t *testing.T) {
	const ms = time.Millisecond
	s := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	s.Apply(0, Command{Write: &LocalWrite{Kind: Note, Subject: "x", Value: []byte("x")}})
	s.Apply(0, *s.Unoffered())
	c := NewForwarder(func() *Site { return s }, Timing{PollInterval: time.Second, RetryDelay: 200 * ms,
		MaxRetryDelay: time.Second, MaxFailures: 3, MinTimeout: 100 * ms, InitialTimeout: time.Second, MaxTimeout: 8 * time.Second})
	now := time.Duration(0)
	next := func() *Batch {
		to, b, wait := c.Next(now)
		if to == "" {
			now += wait
			_, b, _ = c.Next(now)
		}
		return b
	}
	answered := func(took time.Duration, a Answer) {
		now += took
		a.From, a.Incarnation, a.Credit = "p", 1, 9
		c.Answered(now, &a)
	}
	lost := func() {
		now += c.CallTimeout()
		c.Failed(now)
	}
	next()
	assert.Equal(t, time.Second, c.CallTimeout(), "nothing is measured")
	answered(400*ms, Answer{})
	require.Len(t, next().Writes, 1)
	assert.Equal(t, 1200*ms, c.CallTimeout(), "the mean and four times the deviation")
	lost()
	for range 30 {
		b := next()
		assert.True(t, b.Probe)
		assert.Empty(t, b.Writes)
		assert.Equal(t, 1, b.Waiting)
		assert.Equal(t, time.Second, c.CallTimeout(), "no probe was answered")
		lost()
	}
	next()
	answered(20*ms, Answer{Working: true})
	assert.True(t, next().Probe, "the call arrived: nothing is sent twice while it is being committed")
	assert.Equal(t, 100*ms, c.CallTimeout())
	answered(20*ms, Answer{})
	b := next()
	assert.Len(t, b.Writes, 1, "the credit came with the answer")
	assert.False(t, b.Probe)
	for want := 2400 * ms; want < 8*time.Second; want *= 2 {
		assert.Equal(t, want, c.CallTimeout())
		lost()
		next()
		answered(20*ms, Answer{})
		next()
	}
	assert.Equal(t, 8*time.Second, c.CallTimeout())
	answered(1600*ms, Answer{Seen: VersionVector{{s.ownOrigin(0), 1}}})
	require.False(t, next().Probe)
	assert.Equal(t, 550*ms+4*450*ms, c.CallTimeout(), "based on the answer times of calls, the last one included")

	c.Redirected(now)
	_, b, _ = c.Next(now)
	require.NotNil(t, b, "the leader is called at once")
	c.Redirected(now)
	_, b, _ = c.Next(now)
	assert.Nil(t, b, "a second redirection counts as a failure")
	assert.True(t, next().Probe)
}

// TestForwarderAdaptsToSlowLink: calls get through again although answers take longer than the timeout measured before.
func TestForwarderAdaptsToSlowLink(t *testing.T) {
	const ms = time.Millisecond
	for took, most := range map[time.Duration]time.Duration{700 * ms: 10 * time.Second, 3 * time.Second: 2 * time.Minute} {
		s := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
		c := NewForwarder(func() *Site { return s }, Timing{PollInterval: time.Second, RetryDelay: 200 * ms,
			MaxRetryDelay: time.Second, MaxFailures: 3, MinTimeout: 100 * ms, InitialTimeout: time.Second, MaxTimeout: 8 * time.Second})
		now := time.Duration(0)
		call := func(took time.Duration) int {
			_, b, wait := c.Next(now)
			if b == nil {
				now += wait
				_, b, _ = c.Next(now)
			}
			if timeout := c.CallTimeout(); timeout < took {
				now += timeout
				c.Failed(now)
				return 0
			}
			now += took
			c.Answered(now, &Answer{From: "p", Incarnation: 1, Credit: 9})
			return len(b.Writes)
		}
		for range 20 {
			call(20 * ms)
		}
		s.Apply(0, Command{Write: &LocalWrite{Kind: Note, Subject: "x", Value: []byte("x")}})
		s.Apply(0, *s.Unoffered())
		slowSince := now
		for call(took) == 0 && now < slowSince+time.Hour {
		}
		assert.Less(t, now-slowSince, most, "answers take %v", took)
	}
}

// TestProbeChangesNothing: a probe carries no vector, which must not be taken as proof that its site has seen nothing.
func TestProbeChangesNothing(t *testing.T) {
	p := New(Place{Site: "p", Incarnation: 1}, testLimits)
	for _, place := range []Place{{Site: "a", Incarnation: 1, StoreCreated: 1}, {Site: "b", Incarnation: 1, StoreCreated: 1},
		{Site: "a", Incarnation: 2, StoreCreated: 2}} {
		p.Apply(0, Command{Batch: &Batch{From: place}})
	}
	lost := incarnation{"a", 1}
	require.NotNil(t, p.ending[lost])
	before := p.Encode()
	q := &Batch{From: Place{Site: "b", Incarnation: 1, StoreCreated: 1}, Probe: true}
	p.Apply(0, Command{Batch: q})
	assert.Equal(t, string(before), string(p.Encode()))
	assert.Nil(t, p.Answer(q, 1, 0).Down)
	q.Probe = false
	p.Apply(0, Command{Batch: q})
	assert.True(t, p.closed[lost])
}

func TestCreditSchedulerEnforcesCredit(t *testing.T) {
	scheduler := NewCreditScheduler(Budget{Rate: 100, Batch: 10, MaxAhead: time.Second, UrgentBatch: 2, LocalCost: 5})
	b := func(waiting, urgent, writes int) *Batch {
		return &Batch{From: Place{Site: "b", Incarnation: 1}, Waiting: waiting, Urgent: urgent, Writes: make([]Write, writes)}
	}
	scheduler.CountLocalWrite(0)
	credit, wait := scheduler.Grant(0, b(3, 0, 0), 100)
	assert.Equal(t, 3, credit)
	assert.Equal(t, 50*time.Millisecond, wait, "the site's own write goes first")
	var ce *CreditError
	assert.ErrorAs(t, scheduler.Admit(b(0, 0, 4)), &ce)
	credit, wait = scheduler.Grant(0, b(9, 5, 0), 100)
	assert.Equal(t, []any{2, time.Duration(0)}, []any{credit, wait}, "a few urgent writes go out of turn")
	credit, _ = scheduler.Grant(0, b(9, 0, 0), 0)
	assert.Zero(t, credit, "no room")
}

func TestIncarnationIsClosedOnceAllHaveCalled(t *testing.T) {
	p := New(Place{Site: "p", Incarnation: 1}, testLimits)
	call := func(site string, incarnation uint64, seen VersionVector, after ...VectorEntry) {
		batch := &Batch{From: Place{Site: site, Level: 1, Incarnation: incarnation, StoreCreated: time.Duration(incarnation)}, Seen: seen}
		if len(after) > 0 {
			batch.Writes = []Write{{ID: ID{Origin{Site: site, Incarnation: incarnation}, 1}, Kind: Note, Subject: "x", Dependencies: after}}
		}
		p.Apply(1, Command{Batch: batch})
	}
	lost := Origin{Site: "a", Incarnation: 1}
	call("a", 1, nil)
	call("b", 1, VersionVector{{lost, 1}}, VectorEntry{lost, 1}) // b has seen a write that a had not sent
	require.Equal(t, 1, p.Held())
	call("a", 2, nil)
	assert.Equal(t, 1, p.Held(), "b may still send it")
	call("b", 1, VersionVector{{lost, 1}})
	assert.Equal(t, 1, p.Held(), "b shows more of the lost incarnation than is known")
	call("b", 1, nil)
	assert.Zero(t, p.Held())
	r, _ := p.Refusal(ID{Origin{Site: "b", Incarnation: 1}, 1})
	assert.Equal(t, Outcome(0), r.Outcome, "a note is never refused for its dependencies")
	assert.True(t, p.closed[incarnationOf(lost)])
}

// TestClosedSubjectRefusesWrites of any kind and any word.
func TestClosedSubjectRefusesWrites(t *testing.T) {
	p := New(Place{Site: "p", Incarnation: 1}, testLimits)
	from := Place{Site: "b", Level: 1, Incarnation: 1}
	for i, k := range []Kind{Note, Safety} {
		p.Apply(0, Command{Write: &LocalWrite{Kind: k, Subject: "h", Value: []byte("gone"), Closes: true}})
		w := Write{ID: ID{Origin{Site: "b", Incarnation: 1}, uint64(i + 1)}, Kind: k, Level: 1, Subject: "h", Value: []byte("out")}
		p.Apply(0, Command{Batch: &Batch{From: from, Writes: []Write{w}}})
		r, _ := p.Refusal(w.ID)
		assert.Equal(t, Refused, r.Outcome, "%v", k)
		v, _ := p.Value(k, "h")
		assert.True(t, v.Closed)
	}
}

func TestPrecedenceAndCascades(t *testing.T) {
	w := func(site string, number uint64, value string, closes bool) *Write {
		return &Write{ID: ID{Origin{Site: site, Incarnation: 1}, number}, Kind: Work, Subject: "h", Value: []byte(value), Closes: closes}
	}
	for want, set := range map[string][]*Write{
		"done":      {w("a", 1, "begun", false), w("a", 2, "done", false)}, // overwritten by its own site
		"taken off": {w("a", 1, "begun", false), w("p", 1, "taken off", true)},
	} {
		got, _ := Resolve(set, mergeOneByte)
		assert.Equal(t, want, string(got.Value))
		assert.Empty(t, got.Concurrent, want)
	}
	for text, want := range map[string]bool{"halt": false, "begin 5": true, "resume": true, "force": true} {
		assert.Equal(t, want, cascades(&Write{Kind: Policy, Value: []byte(text)}), text)
	}
	assert.False(t, cascades(&Write{Kind: Safety, Value: []byte("out")}))
	assert.True(t, cascades(&Write{Kind: Safety, Value: []byte("back")}))
}

func TestStateUpdateContinuesFromCursor(t *testing.T) {
	b := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	down := func(incarnation, after, until uint64) Cursor {
		b.Apply(0, Command{Down: &StateUpdate{From: "p", Incarnation: incarnation, To: 1, After: after, Until: until, Last: true}})
		return b.cursors["p"]
	}
	assert.Equal(t, Cursor{1, 5}, down(1, 0, 5))
	assert.Equal(t, Cursor{1, 5}, down(1, 7, 9), "the changes between are missing")
	assert.Equal(t, Cursor{1, 5}, down(1, 0, 3), "an older update does not move the cursor back")
	assert.Equal(t, Cursor{1, 8}, down(1, 4, 8))
	assert.Equal(t, Cursor{2, 2}, down(2, 0, 2), "another incarnation has its own cursor")

	c := NewForwarder(func() *Site { return b }, Timing{MaxFailures: 9})
	piece := func(after, until uint64, last bool) *Command {
		c.Next(0)
		return c.Answered(0, &Answer{From: "p", Incarnation: 2, Down: &StateUpdate{From: "p", Incarnation: 2, To: 1, After: after,
			Until: until, Last: last, Seen: VersionVector{{Origin{Site: "p", Incarnation: 1}, until}}}})
	}
	cursor := func() Cursor {
		_, call, _ := c.Next(0)
		c.Answered(0, &Answer{From: "p", Incarnation: 2})
		return call.Cursor
	}
	piece(4, 6, false)
	assert.Equal(t, Cursor{2, 2}, cursor(), "a piece whose predecessors are missing")
	piece(2, 6, false)
	assert.Equal(t, Cursor{2, 6}, cursor())
	assert.Equal(t, uint64(7), piece(7, 9, true).Down.After, "it does not continue the collected pieces")
}

// TestDependenciesPerLane: dependencies are tracked per lane: one that an urgent write named must still be named by an
// ordinary write.
func TestDependenciesPerLane(t *testing.T) {
	r := New(Place{Site: "r", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	b := New(Place{Site: "b", Level: 2, Incarnation: 1, Ancestors: []string{"r", "p"}}, testLimits)
	safety := func(s *Site, host string, urgent bool, needs ...ID) *Write {
		f := s.Apply(1, Command{Write: &LocalWrite{Kind: Safety, Subject: host, Value: []byte("out"), Urgent: urgent, Needs: needs}})
		require.Equal(t, EffectApplied, f[0].Kind)
		return f[0].Write
	}
	first, second := safety(r, "1", false).ID, safety(r, "2", false).ID
	r.Apply(1, *r.Unoffered())
	b.Apply(1, Command{Down: r.Answer(&Batch{From: b.Self()}, 0, 0).Down})
	assert.True(t, safety(b, "1", true).Dependencies.Has(first))
	dependent := safety(b, "4", true, second)
	assert.True(t, dependent.Dependencies.Has(second), "it depends on the write that it needs")
	assert.True(t, safety(b, "3", false).Dependencies.Has(second))

	q := New(Place{Site: "q", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	q.Apply(1, Command{Batch: &Batch{From: b.Self(), Writes: []Write{*dependent}}})
	require.Equal(t, 1, q.Held())
	q.Apply(1+testLimits.Age, Command{})
	assert.Equal(t, 1, q.Held())
	q.Apply(2+testLimits.Age, Command{})
	assert.Zero(t, q.Held(), "dropped after the age limit; its sender still has it")
}

// TestWritesWithUnknownDependenciesAreSentLast: a write that depends on one unknown here would only be held at the site
// above, and take the place of a write that can be applied.
func TestWritesWithUnknownDependenciesAreSentLast(t *testing.T) {
	s := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	unknown := VersionVector{{Origin{Site: "r", Incarnation: 1}, 9}}
	s.Apply(0, Command{Write: &LocalWrite{Kind: Note, Subject: "x", Value: []byte("x"), Token: unknown.Encode()}})
	s.Apply(0, Command{Write: &LocalWrite{Kind: Note, Subject: "y", Value: []byte("y")}})
	other := Write{ID: ID{Origin{Site: "c", Incarnation: 1}, 1}, Kind: Note, Level: 2, Subject: "z", Value: []byte("z")}
	s.Apply(0, Command{Batch: &Batch{From: Place{Site: "c", Level: 2, Incarnation: 1}, Writes: []Write{other}}})
	s.Apply(0, *s.Unoffered())
	c := NewForwarder(func() *Site { return s }, Timing{MaxFailures: 9})
	for credit, want := range [][]string{{}, {"c.1/1"}, {"c.1/1", "b.1/1"}, {"c.1/1", "b.1/1", "b.1/2"}} {
		c.Next(0)
		c.Answered(0, &Answer{From: "p", Incarnation: 1, Credit: credit})
		got := []string{}
		for _, w := range c.batch("p").Writes {
			got = append(got, w.ID.String())
		}
		assert.Equal(t, want, got)
	}
}

// TestOverwrittenWriteNamedByTokenDoesNotComeBack: a write names by a token one that has not arrived, is itself
// overwritten, and is then orphaned. The last write overwrites the named one too, which its writer knew only through
// the orphaned write.
func TestOverwrittenWriteNamedByTokenDoesNotComeBack(t *testing.T) {
	p := New(Place{Site: "p", Incarnation: 1}, testLimits)
	r := New(Place{Site: "r", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	b := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	write := func(s *Site, l LocalWrite) ID {
		f := s.Apply(1, Command{Write: &l})
		require.Equal(t, EffectApplied, f[0].Kind)
		return f[0].Write.ID
	}
	send := func(s *Site) {
		s.Apply(1, *s.Unoffered())
		d := s.FullState(1)
		batch := &Batch{From: s.Self()}
		for _, w := range d.Writes {
			batch.Writes = append(batch.Writes, w.Write)
		}
		slices.SortFunc(batch.Writes, func(v, w Write) int { return cmp.Compare(v.ID.Number, w.ID.Number) })
		p.Apply(1, Command{Batch: batch})
	}
	write(p, LocalWrite{Kind: Safety, Subject: "host/1", Value: []byte("gone"), Closes: true})
	write(r, LocalWrite{Kind: Work, Subject: "x", Value: []byte("begun")})
	refused := write(b, LocalWrite{Kind: Safety, Subject: "host/1", Value: []byte("out")})
	orphaned := write(b, LocalWrite{Kind: Work, Subject: "x", Value: []byte("done"), Needs: []ID{refused}, Token: r.Token()})
	latest := write(b, LocalWrite{Kind: Work, Subject: "x", Value: []byte("asked")})
	send(r)
	send(b)
	require.Zero(t, p.Held())
	v, _ := p.Refusal(orphaned)
	require.Equal(t, Orphaned, v.Outcome)
	for _, s := range []*Site{p, b} {
		if s == b {
			b.Apply(1, Command{Down: p.FullState(1)})
		}
		x, _ := s.Value(Work, "x")
		assert.Equal(t, latest, x.Write.ID, s.Self().Site)
		assert.Empty(t, x.Concurrent, s.Self().Site)
	}
}
