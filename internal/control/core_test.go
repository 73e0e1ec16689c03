package control

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/choice/hostview"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/consensus"
	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site"
)

const lasts = 10 * time.Second

// alone is the control of n1, which has the only seat of its council; n2 is asked for by hand. Nothing is under way: what it
// sends itself comes at once.
type alone struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	did     []string
	verdict sendlease.Restrictions
	greeted []string
	goes    Policy
	full    error // of the store
	hosts   []hostview.Host
	groups  []hostview.Group
	stale   bool
	seq     uint64
}

func (a *alone) Save(consensus.WriteBatch) error { return nil }
func (a *alone) Keep(sendlease.Saved) error {
	a.did = append(a.did, "kept")
	return a.full
}
func (a *alone) Refused(string) error                                            { return nil }
func (a *alone) SendRaft(to string, _ *peerpb.RaftRequest)                       { a.greeted = append(a.greeted, to) }
func (a *alone) SendRenew(string, *peerpb.RenewRequest)                          {}
func (a *alone) SendReplay(string, uint64, time.Duration, *peerpb.ReplayRequest) {}
func (a *alone) Tell(string, ...any)                                             {}
func (a *alone) KeepPolicy(PolicyState) error                                    { return a.full }
func (a *alone) GoBy(p Policy)                                                   { a.goes = p }
func (a *alone) Bind(v sendlease.Restrictions) {
	a.did = append(a.did, "bound")
	a.verdict = v
}

// newAlone leads, and its first right has been asked for.
func newAlone(t *testing.T) *alone {
	a := start(t, 0)
	a.pass(45 * time.Second) // an election, and the patience of its leader
	require.True(t, a.core.Leading())
	return a
}

// start starts the node; it waits before it asks for its right.
func start(t *testing.T, wait time.Duration) *alone {
	a := &alone{t: t, now: 1000 * time.Hour, hosts: []hostview.Host{{ID: "a", Warm: true}, {ID: "b", Warm: true}}}
	o := Options{Wait: wait, Life: 1, Boot: 1, Run: 7, Saved: sendlease.Saved{Incarnation: 1}, Site: &site.Site{Node: "n1", Own: site.Definition{Name: "s"},
		Voters: []string{"n1"}, Members: []string{"n1", "n2"}, IsVoter: true, SendLease: sendlease.Terms{Duration: lasts, Drift: 0.1},
		Turns: turns.Limits{Site: 1, Lookahead: 2}, Tick: time.Second, SnapshotEvery: 1000,
		SiteSync: sitesync.Limits{Number: 100, Bytes: 1 << 20, Batch: 10, Held: 10, Age: time.Hour}}}
	var err error
	a.core, err = New(a.now, o, a)
	require.NoError(t, err)
	return a
}

// pass lets time pass, with a loop that takes every verdict at once.
func (a *alone) pass(long time.Duration) {
	for end := a.now + long; a.now < end; {
		a.now += time.Second
		a.core.Tick(a.now)
		a.loop()
	}
}

func (a *alone) loop() {
	a.core.Loop(a.now, Report{Taken: a.verdict, Clear: a.verdict.ExcludedHosts, Look: &hostview.Observation{Hosts: a.hosts, Groups: a.groups, Stale: a.stale,
		Values: map[string]float64{"a": 2, "b": 2}}})
}

// asks has n2 ask for its right.
func (a *alone) asks(life, acked uint64, change ...func(*peerpb.RenewRequest)) (r *peerpb.RenewReply) {
	a.t.Helper()
	a.seq++
	q := &peerpb.RenewRequest{Node: "n2", Life: life, Seq: a.seq, Acked: acked, Run: 8, LastsUs: uint64(lasts / time.Microsecond)}
	for _, f := range change {
		f(q)
	}
	a.core.Question(a.now, q, func(reply *peerpb.RenewReply) { r = reply })
	require.NotNil(a.t, r, "a council of one answers at once")
	return r
}

// do brings a command before the council, which takes it.
func (a *alone) do(c turns.Command, id string) (r Reply) {
	a.t.Helper()
	var failed error
	a.core.Do(a.now, Call{Command: c, ID: id}, func(reply Reply, err error) { r, failed = reply, err })
	require.NoError(a.t, failed)
	a.pass(5 * time.Second)
	return r
}

func (a *alone) ask(id, host string) {
	a.do(turns.Command{Request: &turns.Request{ID: id, Host: host, Duration: time.Hour}}, id)
}

func (a *alone) phase(id string) turns.Phase {
	t, known := a.core.Book().Turn(id)
	require.True(a.t, known)
	return t.Phase
}

func TestALeaderAnswersWhoItMay(t *testing.T) {
	a := newAlone(t)
	assert.Empty(t, a.asks(1, 0).Refused)
	for _, c := range []struct {
		want   string
		change func(*peerpb.RenewRequest)
	}{
		{"n3 is not among the nodes", func(q *peerpb.RenewRequest) { q.Node = "n3" }},
		{"takes a right to last 5s", func(q *peerpb.RenewRequest) { q.LastsUs /= 2 }},
		{"takes a right to last 20s", func(q *peerpb.RenewRequest) { q.LastsUs *= 2 }},
	} {
		r := a.asks(1, 0, c.change)
		assert.Contains(t, r.Refused, c.want)
		assert.NotEmpty(t, r.Action)
		assert.Empty(t, r.Leader, "no other one would answer")
	}
	a.do(turns.Command{Dead: &turns.Declaration{Node: "n2", By: "desk"}}, "")
	r := a.asks(1, 0)
	assert.Contains(t, r.Refused, "declared dead")
	assert.Contains(t, r.Action, "TakeIn")
	a.do(turns.Command{Alive: &turns.Declaration{Node: "n2", By: "desk"}}, "")
	assert.Empty(t, a.asks(1, 0).Refused)
}

// TestAcknowledgementsAreOfOneStore, and are brought before the council once more where it refused them for a node that was
// declared dead just then.
func TestAcknowledgementsAreOfOneStore(t *testing.T) {
	a := newAlone(t)
	a.ask("t", "a")
	version := a.asks(1, 0).HorizonVersion
	require.NotZero(t, version)
	assert.Zero(t, a.asks(1, 0).Recorded)
	a.asks(1, version)
	assert.Equal(t, version, a.asks(1, version).Recorded)
	assert.Zero(t, a.asks(2, 0).Recorded, "of another store of the node")
	a.pass(time.Second)
	assert.Zero(t, a.core.Book().RecordedVersion("n2"))

	a.core.acking["n2"] = turns.Ack{Node: "n2", Incarnation: 2, Version: version} // it was proposed, and refused
	a.do(turns.Command{Dead: &turns.Declaration{Node: "n2", By: "desk"}}, "")
	a.do(turns.Command{Alive: &turns.Declaration{Node: "n2", By: "desk"}}, "")
	a.asks(2, version)
	a.pass(time.Second)
	assert.Equal(t, version, a.core.Book().RecordedVersion("n2"))
}

func TestATurnWaitsForTheLastRightThatMayRun(t *testing.T) {
	a := newAlone(t)
	a.ask("t", "a")
	r := a.asks(1, 0)
	a.asks(1, r.HorizonVersion)
	answered := a.now
	for a.now < answered+lasts+time.Second { // what n1 counts, and the drift
		require.Equal(t, turns.Preparing, a.phase("t"))
		require.Contains(t, a.core.Blockers(a.now, a.turn("t")), "n2: the node has not confirmed that it sends nothing new to the host")
		a.pass(time.Second)
	}
	a.pass(2 * time.Second)
	assert.Equal(t, turns.Granted, a.phase("t"), "its horizon has the host")
}

func (a *alone) turn(id string) turns.Turn {
	t, _ := a.core.Book().Turn(id)
	return t
}

func TestAConfirmationLetsATurnGo(t *testing.T) {
	a := newAlone(t)
	a.ask("t", "a")
	r := a.asks(1, 0)
	require.Len(t, r.Outs, 1)
	a.asks(1, r.HorizonVersion)
	a.asks(1, r.HorizonVersion, func(q *peerpb.RenewRequest) { q.Holds = r.Outs })
	a.pass(time.Second)
	assert.Equal(t, turns.Granted, a.phase("t"))
	again := a.do(turns.Command{Request: &turns.Request{ID: "t", Host: "a", Duration: time.Hour}}, "t")
	assert.Equal(t, turns.Granted, again.Turn.Phase, "asked for once more it is the same")

	// The end: the leader looks once more after Done, however the hosts stood before.
	a.do(turns.Command{Begin: &turns.Ref{ID: "t"}}, "t")
	a.do(turns.Command{Done: &turns.Ref{ID: "t"}}, "t")
	assert.Equal(t, turns.Over, a.phase("t"))
}

func TestNewsIsKeptBeforeItIsGoneBy(t *testing.T) {
	a := newAlone(t)
	a.did = nil
	a.ask("t", "a")
	require.GreaterOrEqual(t, len(a.did), 3)
	first := a.did[:3]
	assert.Equal(t, []string{"bound", "kept", "bound"}, first, "wider at the loop, then in the store, then the right")
	a.full = errors.New("no room")
	before := a.core.holder.Restrictions().LeaseEnd
	a.ask("u", "b") // the horizon has it: news
	require.Error(t, a.core.Stopped())
	assert.Equal(t, before, a.core.holder.Restrictions().LeaseEnd, "no right is taken whose news is not kept")
	assert.Equal(t, before, a.verdict.LeaseEnd)
}

func TestWhatTheLeaderTakesForFailed(t *testing.T) {
	a := newAlone(t)
	failed := func() bool { a.pass(3 * time.Second); return a.core.Book().Hosts()[1].Failed }
	sees := func(b *peerpb.SeenHost) func(*peerpb.RenewRequest) {
		return func(q *peerpb.RenewRequest) {
			q.Census = &peerpb.Census{Version: a.seq, Hosts: []*peerpb.SeenHost{{Id: "a", Warm: true}, b}}
		}
	}
	a.asks(1, 0, sees(&peerpb.SeenHost{Id: "b", Warm: true, Failing: true}))
	assert.False(t, failed(), "one of two")
	a.asks(1, 0, sees(&peerpb.SeenHost{Id: "b", Draining: true}))
	assert.False(t, failed(), "one of two")
	a.pass(freshFor*lasts + time.Second)
	a.hosts[0].Draining, a.hosts[0].Warm = true, false
	a.pass(2 * time.Second)
	hosts := a.core.Book().Hosts()
	assert.Equal(t, []bool{true, false, false, true}, []bool{hosts[0].Failed, hosts[0].Warm, hosts[1].Failed, hosts[1].Warm})
	a.hosts[0].Draining, a.hosts[1].Warm = false, false
	a.pass(2 * time.Second)
	assert.False(t, a.core.Book().Hosts()[1].Warm)
}

func TestWhoIsTakenOffTheFileCountsUntilItsRightHasRunOut(t *testing.T) {
	a := newAlone(t)
	a.asks(1, 0)
	s := *a.core.Site
	s.Members = []string{"n1"}
	a.core.ApplySiteFile(&s)
	a.pass(lasts)
	assert.Equal(t, []string{"n1", "n2"}, a.core.Book().Members())
	a.pass(3 * time.Second)
	assert.Equal(t, []string{"n1"}, a.core.Book().Members())
}

func TestALeaderBeginsWithEveryRightRunning(t *testing.T) {
	a := start(t, 25*time.Second)
	for !a.core.Leading() {
		var refused string
		a.core.Question(a.now, &peerpb.RenewRequest{Node: "n2"}, func(r *peerpb.RenewReply) { refused = r.Refused })
		require.Contains(t, refused, "does not lead")
		a.pass(time.Second)
	}
	lapsed := func(after time.Duration) bool { return a.core.table.LeaseState(a.now+after, "n2") == sendlease.Expired }
	assert.False(t, lapsed(lasts+time.Second))
	assert.True(t, lapsed(lasts+2*time.Second))
	a.pass(1000*time.Hour + 24*time.Second - a.now)
	assert.Zero(t, a.verdict.LeaseEnd, "an earlier process may still act on its right")
	a.pass(5 * time.Second)
	assert.NotZero(t, a.verdict.LeaseEnd)
}

func TestWhatTheLoopSaysGoesOnAtOnce(t *testing.T) {
	a := newAlone(t)
	a.did = nil
	a.core.Do(a.now, Call{Command: turns.Command{Request: &turns.Request{ID: "t", Host: "a", Duration: time.Hour}}, ID: "t"}, func(Reply, error) {})
	for len(a.verdict.ExcludedHosts) == 0 {
		a.now += time.Second
		a.core.Tick(a.now)
		a.core.Loop(a.now, Report{Taken: a.verdict}) // clients are still being sent to the host
	}
	assert.Equal(t, a.core.Book().ExclusionSet().Version, a.core.Book().RecordedVersion("n1"), "what stands in the store and the loop goes by")
	assert.Empty(t, a.core.table.Confirmed("n1"))
	a.loop()
	assert.Equal(t, a.turn("t").Round, a.core.table.Confirmed("n1")["a"], "somebody waits for it")
}

func TestATurnEndsOnWhatWasSeenAfterIt(t *testing.T) {
	a := newAlone(t)
	a.ask("t", "a")
	r := a.asks(1, 0)
	a.asks(1, r.HorizonVersion, func(q *peerpb.RenewRequest) { q.Holds = r.Outs })
	a.pass(time.Second)
	require.Equal(t, turns.Granted, a.phase("t"))
	for _, c := range []turns.Command{{Begin: &turns.Ref{ID: "t"}}, {Done: &turns.Ref{ID: "t"}}} {
		a.core.Do(a.now, Call{Command: c, ID: "t"}, func(_ Reply, err error) { require.NoError(t, err) })
	}
	for range 5 { // a loop that is late
		a.now += time.Second
		a.asks(1, r.HorizonVersion, func(q *peerpb.RenewRequest) {
			q.Census = &peerpb.Census{Version: a.seq, Hosts: []*peerpb.SeenHost{{Id: "a", Warm: true}, {Id: "b", Warm: true, Worth: float32(int(1) << a.seq)}}}
		})
		a.core.Tick(a.now) // other news of the hosts is from before the work
	}
	assert.Equal(t, turns.Returning, a.phase("t"))
	a.loop()
	assert.Equal(t, turns.Returning, a.phase("t"), "one of two, whose list may be an old one")
	a.asks(1, r.HorizonVersion, func(q *peerpb.RenewRequest) {
		q.Census = &peerpb.Census{Version: a.seq, Seen: a.core.Applied(), Hosts: []*peerpb.SeenHost{{Id: "a", Warm: true}, {Id: "b", Warm: true}}}
	})
	a.core.Tick(a.now)
	assert.Equal(t, turns.Over, a.phase("t"), "it was looked at this second, and a turn waits for what was seen now")
}

func TestABanComesFromWhatWasWritten(t *testing.T) {
	a := newAlone(t)
	for _, value := range []string{"out smoke", "back"} {
		a.core.Write(a.now, sitesync.LocalWrite{Kind: sitesync.Safety, Subject: "host/b", Value: []byte(value)}, func(_ Reply, err error) {
			require.NoError(t, err)
		})
		a.pass(3 * time.Second)
		assert.Equal(t, value != "back", a.core.Book().Hosts()[1].Banned, value)
	}
}

func TestATurnThatANodeHoldsUpGivesWay(t *testing.T) {
	a := newAlone(t)
	s := *a.core.Site
	s.Turns.Lookahead = 1
	a.core.ApplySiteFile(&s)
	a.ask("t", "a")
	a.asks(1, a.asks(1, 0).HorizonVersion) // n2 knows of a, and is cut off from here on
	a.do(turns.Command{Withdraw: &turns.Ref{ID: "t"}}, "t")
	a.ask("u", "b")
	a.ask("v", "a")
	require.Equal(t, []turns.Phase{turns.Preparing, turns.Requested}, []turns.Phase{a.phase("u"), a.phase("v")})
	a.pass(3 * lasts)
	assert.Equal(t, []turns.Phase{turns.Requested, turns.Granted}, []turns.Phase{a.phase("u"), a.phase("v")})
}

func TestReportsGoStale(t *testing.T) {
	a := newAlone(t)
	a.asks(1, 0, func(q *peerpb.RenewRequest) {
		q.Census = &peerpb.Census{Version: 1, Hosts: []*peerpb.SeenHost{{Id: "a", Warm: true}, {Id: "b", Warm: true}}}
	})
	report := func() bool {
		a.now += time.Second
		a.core.Tick(a.now)
		a.core.Loop(a.now, Report{Taken: a.verdict, Look: &hostview.Observation{Hosts: a.hosts, Failing: []string{"b"}}})
		return a.core.Book().Hosts()[1].Failed
	}
	for range 10 {
		require.False(t, report(), "one of two")
	}
	for range 30 {
		report()
	}
	assert.True(t, report(), "the other one was not heard for long")
}

func TestAnAnswerWaitsUntilTheLogIsAppliedSoFar(t *testing.T) {
	a := newAlone(t)
	answers := 0
	q := &peerpb.RenewRequest{Node: "n2", Life: 1, Seq: 1, Run: 8, LastsUs: uint64(lasts / time.Microsecond)}
	a.core.reads[5] = []question{{q, func(*peerpb.RenewReply) { answers++ }}}
	a.core.confirmed = append(a.core.confirmed, consensus.ReadState{Ctx: 5, Index: a.core.applied + 2})
	a.core.carryOut(a.now, consensus.Output{})
	require.Zero(t, answers, "a quorum has committed more than is applied here")
	a.ask("t", "a")
	assert.Equal(t, 1, answers)
}
