package query

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/rollout"
)

func worth(string) float64 { return 2.5 }

// scene is a core that counts, with a balancer that says what it is told to.
type scene struct {
	w *world
	c *Core
	d *told
	e *endings
}

func newScene() scene {
	w, c, d, e := newTold()
	c.Count(true)
	return scene{w, c, d, e}
}

func (s scene) arrive(at balance.ServerID) *Query {
	return s.c.Arrive(s.w, balance.Arrival{Class: "chat", Tenant: "kota"}, at, 2*time.Second)
}

func (s scene) up() *Query {
	q := s.arrive("")
	s.e.last.Up(nil)
	return q
}

func (s scene) ends(o balance.Outcome, clean bool) { s.e.last.Ended(o, clean, balance.Report{}, nil) }

func (s scene) says(a ...balance.Action) {
	s.d.say = a
	s.c.Fire(Due{Kind: DueWake})
}

func TestWhatBecameOfAQueryIsCounted(t *testing.T) {
	served, left := rollout.Counts{Offered: 1, Served: 1, Value: 2.5}, rollout.Counts{Offered: 1}
	broken, moved, refused, failed, late := served, served, left, left, left
	broken.Breaks, moved.Moves, refused.Refused, failed.Failed, late.TimedOut = 1, 1, 1, 1, 1
	for name, is := range map[string]struct {
		live  func(scene)
		want  rollout.Counts
		guard string
	}{
		"served to the end":        {live: func(s scene) { s.up(); s.ends(balance.OK, true) }, want: served},
		"served at once":           {live: func(s scene) { s.arrive(""); s.ends(balance.OK, true) }, want: served},
		"stands":                   {live: func(s scene) { s.up() }, want: served},
		"served until it leaves":   {live: func(s scene) { s.up().ClientGone(false) }, want: served},
		"carried on elsewhere":     {live: func(s scene) { s.up(); s.c.Carry(1, yes) }, want: served},
		"broken by its host":       {live: func(s scene) { s.up(); s.ends(balance.Reset, false) }, want: broken},
		"ended without a word":     {live: func(s scene) { s.up(); s.ends(balance.Reset, true) }, want: broken},
		"ended by a host's fault":  {live: func(s scene) { s.up(); s.ends(balance.Errored, true) }, want: broken},
		"host silent":              {live: func(s scene) { s.up().ClientLines(nil); s.w.pass(2 * time.Second) }, want: broken},
		"moved by its host":        {live: func(s scene) { s.up(); s.ends(balance.Cancelled, true) }, want: moved},
		"moved by the balancer":    {live: func(s scene) { s.up(); s.says(balance.Move{Request: 1}) }, want: moved},
		"moved by an operator":     {live: func(s scene) { s.up(); s.c.Ease(1) }, want: moved},
		"moved as the node leaves": {live: func(s scene) { s.up(); s.c.Leave(false) }, want: moved},
		"moved for a host's line":  {live: func(s scene) { s.up(); s.e.last.Faulty() }, want: moved},
		"moved for its flood":      {live: func(s scene) { s.up(); s.e.last.Behind() }, want: moved},
		"moved for its own line":   {live: func(s scene) { s.up().ClientFaulty(nil) }, want: moved},
		"refused": {live: func(s scene) { s.arrive(""); s.ends(balance.Full, true); s.says(balance.Refuse{Request: 1}) },
			want: refused},
		"refused at the door": {live: func(s scene) { s.c.TurnedAway("chat", "kota") }, want: refused},
		"refused as the node leaves": {live: func(s scene) { s.c.balancer = silence{}; s.arrive(""); s.c.Leave(true) },
			want: refused},
		"failed": {live: func(s scene) { s.arrive(""); s.ends(balance.Reset, false); s.says(balance.Fail{Request: 1}) }, want: failed},
		"given up when its time was up": {live: func(s scene) {
			s.arrive("")
			s.w.pass(1990 * time.Millisecond)
			s.says(balance.Refuse{Request: 1})
		}, want: late},
		"held too long": {live: func(s scene) { s.arrive(""); s.w.pass(3 * time.Second) }, want: late, guard: GuardOverdue},
		"the process stood still": {live: func(s scene) {
			s.arrive("")
			s.w.now += 2*time.Second + sweepEvery
			s.w.pass(0)
		}, want: late},
		"left before its answer": {live: func(s scene) { s.arrive("").ClientGone(true) }, want: left},
		"at fault before it":     {live: func(s scene) { s.arrive("").ClientFaulty(nil) }, want: left},
		"waits":                  {live: func(s scene) { s.arrive("") }},
		"inherited, and broken":  {live: func(s scene) { s.arrive("a"); s.e.last.Up(nil); s.ends(balance.Reset, false) }},
		"inherited, and lost":    {live: func(s scene) { s.arrive("a"); s.w.pass(time.Minute) }},
		"adopted, and broken": {live: func(s scene) {
			s.c.Adopt(s.w, balance.Arrival{}, "a", s.e, func(t Try) { s.e.last = t })
			s.ends(balance.Reset, false)
		}},
		"what has no place there": {live: func(s scene) { s.up(); s.says(balance.Fail{Request: 1}) }, want: served,
			guard: GuardImpossible},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene()
			is.live(s)
			counts, guards := s.c.Counted(worth)
			counts = slices.DeleteFunc(counts, func(k rollout.Counts) bool { return k.Tenant == "" && k.Offered == 0 })
			if is.want.Offered == 0 {
				assert.Empty(t, counts)
			} else if assert.Len(t, counts, 1) {
				is.want.Class, is.want.Tenant = "chat", "kota"
				assert.Equal(t, is.want, counts[0])
			}
			assert.Equal(t, is.guard != "", s.c.Fired())
			if is.guard != "" {
				assert.Equal(t, []string{is.guard}, guards)
			}
			s.c.Recount()
			counts, guards = s.c.Counted(worth)
			assert.Empty(t, counts)
			assert.Empty(t, guards)
		})
	}
}

func yes(Client, Attempt, balance.Arrival, balance.ServerID) bool { return true }

func TestASetUpIsTimedFromTheArrivalWithAllAttempts(t *testing.T) {
	s, want := newScene(), rollout.NewSetUps()
	s.c.balancer = &again{s.d}
	for _, took := range []time.Duration{30 * time.Millisecond, 400 * time.Millisecond} {
		s.arrive("")
		s.w.now += 10 * time.Millisecond
		s.ends(balance.Full, true)
		s.w.now += took
		s.e.last.Up(nil)
		want.Add(10*time.Millisecond + took)
	}
	s.arrive("")
	s.ends(balance.OK, true) // did not stand
	counts, _ := s.c.Counted(worth)
	require.Len(t, counts, 2)
	assert.Equal(t, rollout.Counts{Class: "chat", SetUp: want.Bytes()}, counts[0])
	assert.Equal(t, rollout.Counts{Class: "chat", Tenant: "kota", Offered: 3, Served: 3, Value: 7.5}, counts[1])
}

// again is told, and places anew what has failed.
type again struct{ *told }

func (d *again) Handle(now time.Duration, ev balance.Event) []balance.Action {
	if e, ok := ev.(balance.Ended); ok && !e.Final {
		return []balance.Action{balance.Place{Request: e.Request, Server: "a", Timeout: time.Second}}
	}
	return d.told.Handle(now, ev)
}

func TestSoManyTenantsAreToldApart(t *testing.T) {
	s := newScene()
	come := func(from, to int) (own int, rest uint64) {
		for i := from; i < to; i++ {
			s.c.TurnedAway("chat", fmt.Sprint("t", i))
		}
		counts, _ := s.c.Counted(worth)
		for _, k := range counts {
			if k.Tenant == "" {
				rest = k.Offered
			} else {
				own++
				assert.Equal(t, uint64(1), k.Offered)
			}
		}
		s.c.Recount()
		return own, rest
	}
	own, rest := come(0, 100)
	assert.Equal(t, mostCells, own)
	assert.Equal(t, uint64(100-mostCells), rest)
	own, rest = come(0, mostCells/2)
	assert.Equal(t, mostCells/2, own)
	assert.Zero(t, rest)
	own, _ = come(200, 210)
	assert.Equal(t, 10, own, "those who did not come any more gave room")
}

func TestNothingIsCountedUntilItIsAskedFor(t *testing.T) {
	w, c, _, e := newTold()
	w.arrive(c, "")
	e.last.Up(nil)
	c.TurnedAway("chat", "")
	c.Recount()
	counts, guards := c.Counted(worth)
	assert.Nil(t, counts)
	assert.Nil(t, guards)
	assert.False(t, c.Fired())
}

// party is a client of a walk, who counts for himself.
type party struct {
	walk      *walk
	query     *Query
	class     string
	inherited bool
	came      time.Duration
	up, over  bool
}

// walk plays queries at random and counts what their clients hear.
type walk struct {
	*world
	seen    rollout.Counts
	left    uint64
	setUps  map[string]rollout.SetUps
	silence bool // what moves now is silence
	parties []*party
}

func (p *party) final(count *uint64) {
	if p.over = true; p.inherited {
		return
	}
	p.walk.seen.Offered++
	if count != &p.walk.seen.Served && p.walk.now >= p.came+2*time.Second-answerMargin && count != &p.walk.left {
		count = &p.walk.seen.TimedOut
	}
	*count++
}

func (p *party) Up([]byte) {
	p.final(&p.walk.seen.Served)
	if p.up, p.over = true, false; !p.inherited {
		if _, known := p.walk.setUps[p.class]; !known {
			p.walk.setUps[p.class] = rollout.NewSetUps()
		}
		p.walk.setUps[p.class].Add(p.walk.now - p.came)
	}
}
func (p *party) Served([]byte)          { p.final(&p.walk.seen.Served) }
func (p *party) Throttle(time.Duration) { p.final(&p.walk.seen.Refused) }
func (p *party) Fail()                  { p.final(&p.walk.seen.Failed) }
func (p *party) Reject(error)           { p.final(&p.walk.left) }
func (p *party) Pass([]byte)            {}
func (p *party) End(bool)               { p.over = true }
func (p *party) Move() {
	p.over = true
	switch {
	case p.inherited:
	case p.walk.silence:
		p.walk.seen.Breaks++
	default:
		p.walk.seen.Moves++
	}
}

// leaves has the client go, whether or not it was answered.
func (p *party) leaves() {
	if !p.up {
		p.final(&p.walk.left)
	}
	p.over = true
	p.query.ClientGone(true)
}

// ends has the host of a party end its attempt, or what stands.
func (p *party) ends(o balance.Outcome) {
	if p.up && !p.inherited {
		switch o {
		case balance.OK:
		case balance.Cancelled:
			p.walk.seen.Moves++
		default:
			p.walk.seen.Breaks++
		}
	}
	Try{p.query, p.query.state.Attempts}.Ended(o, o != balance.Reset, balance.Report{}, nil)
}

// TestTheSumsAreWhatTheClientsSaw plays queries with the real balancer, at random and for hours. Its guards stay silent.
func TestTheSumsAreWhatTheClientsSaw(t *testing.T) {
	var all rollout.Counts
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 7))
		base, c := newCore("a", "b", "c", "d", "e")
		c.Retune(balance.Settings{MaxAttempts: 4, Tick: time.Millisecond, Classes: []balance.Class{
			{Name: "chat", LatencyTarget: 300 * time.Millisecond}, {Name: "once", LatencyTarget: 300 * time.Millisecond, Effect: balance.Unsafe}}})
		c.Count(true)
		w := &walk{world: base, setUps: map[string]rollout.SetUps{}}
		var sum rollout.Counts
		for range 2000 {
			w.parties = slices.DeleteFunc(w.parties, func(p *party) bool { return p.over })
			var p *party
			if len(w.parties) > 0 {
				p = w.parties[r.IntN(len(w.parties))]
			}
			switch n := r.IntN(20); {
			case n < 6 || p == nil:
				p = &party{walk: w, came: w.now, class: []string{"chat", "once"}[r.IntN(2)], inherited: r.IntN(8) == 0}
				at := balance.ServerID("")
				if p.inherited {
					at = "c"
				}
				w.parties = append(w.parties, p)
				p.query = c.Arrive(p, balance.Arrival{Class: p.class, Tenant: fmt.Sprint(r.IntN(3)), MidFlow: r.IntN(5) == 0},
					at, 2*time.Second)
			case n < 10:
				w.silence = true
				w.pass(time.Duration(r.IntN(700)) * time.Millisecond)
				w.silence = false
			case n < 13:
				Try{p.query, p.query.state.Attempts}.Up(nil)
			case n < 16 && p.query.state.Out():
				p.ends([]balance.Outcome{balance.OK, balance.Reset, balance.Full, balance.Errored, balance.Cancelled}[r.IntN(5)])
			case n == 16:
				p.leaves()
			case n == 17 && r.IntN(3) == 0:
				p.query.ClientFaulty(nil)
			case n == 18:
				p.query.ClientLines(nil)
			case n == 19 && r.IntN(9) == 0:
				c.Ease(1)
			}
			if r.IntN(50) == 0 {
				w.tally(t, &sum)
			}
		}
		w.tally(t, &sum)
		require.Equal(t, w.seen, sum, "seed %d", seed)
		require.Equal(t, sum.Offered, sum.Served+sum.Refused+sum.Failed+sum.TimedOut+w.left, "seed %d", seed)
		plus(&all, sum)
	}
	t.Logf("in all %+v", all)
	for _, n := range []uint64{all.Served, all.Refused, all.Failed, all.TimedOut, all.Breaks, all.Moves} {
		assert.NotZero(t, n, "each of them was played")
	}
}

// tally takes what was counted over, and compares the set-ups.
func (w *walk) tally(t *testing.T, sum *rollout.Counts) {
	t.Helper()
	counts, guards := w.core.Counted(worth)
	assert.Empty(t, guards)
	for _, k := range counts {
		assert.LessOrEqual(t, k.Served, k.Offered)
		plus(sum, k)
		if k.SetUp != nil {
			require.Contains(t, w.setUps, k.Class)
			assert.Equal(t, w.setUps[k.Class].Bytes(), k.SetUp)
			delete(w.setUps, k.Class)
		}
	}
	assert.Empty(t, w.setUps)
	w.core.Recount()
}

func plus(sum *rollout.Counts, k rollout.Counts) {
	for _, f := range []struct {
		to *uint64
		n  uint64
	}{{&sum.Offered, k.Offered}, {&sum.Served, k.Served}, {&sum.Refused, k.Refused}, {&sum.Failed, k.Failed},
		{&sum.TimedOut, k.TimedOut}, {&sum.Breaks, k.Breaks}, {&sum.Moves, k.Moves}} {
		*f.to += f.n
	}
}
