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

const leaseDuration = 10 * time.Second

// soleVoter is the control of n1, which has the only replica of its consensus group; the tests send lease requests on behalf of
// n2. Messages that n1 sends to itself arrive at once.
type soleVoter struct {
	t            *testing.T
	core         *Core
	now          time.Duration
	calls        []string
	restrictions sendlease.Restrictions
	raftSentTo   []string
	policy       Policy
	storeErr     error // returned by the store
	hosts        []hostview.Host
	groups       []hostview.Group
	stale        bool
	seq          uint64
}

func (a *soleVoter) Save(consensus.WriteBatch) error { return nil }
func (a *soleVoter) SaveLease(sendlease.Saved) error {
	a.calls = append(a.calls, "save lease")
	return a.storeErr
}
func (a *soleVoter) MarkRefused(string) error { return nil }
func (a *soleVoter) SendRaft(to string, _ *peerpb.RaftRequest) {
	a.raftSentTo = append(a.raftSentTo, to)
}
func (a *soleVoter) SendRenew(string, *peerpb.RenewRequest)                          {}
func (a *soleVoter) SendReplay(string, uint64, time.Duration, *peerpb.ReplayRequest) {}
func (a *soleVoter) Log(string, ...any)                                              {}
func (a *soleVoter) SavePolicies(PolicyState) error                                  { return a.storeErr }
func (a *soleVoter) ApplyPolicy(p Policy)                                            { a.policy = p }
func (a *soleVoter) ApplyRestrictions(v sendlease.Restrictions) {
	a.calls = append(a.calls, "apply restrictions")
	a.restrictions = v
}

// newSoleVoter returns a control that leads and has requested its first send lease.
func newSoleVoter(t *testing.T) *soleVoter {
	a := start(t, 0)
	a.advance(45 * time.Second) // an election, and the time that the new leader waits for earlier send leases
	require.True(t, a.core.Leading())
	return a
}

// start starts the node, which waits before its first lease request.
func start(t *testing.T, wait time.Duration) *soleVoter {
	a := &soleVoter{t: t, now: 1000 * time.Hour, hosts: []hostview.Host{{ID: "a", Warm: true}, {ID: "b", Warm: true}}}
	o := Options{LeaseWait: wait, StoreIncarnation: 1, OpenCount: 1, RunID: 7, SavedLease: sendlease.Saved{Incarnation: 1}, Site: &site.Site{
		Node: "n1", Own: site.Definition{Name: "s"}, Voters: []string{"n1"}, Members: []string{"n1", "n2"}, IsVoter: true, SendLease: sendlease.Terms{Duration: leaseDuration, Drift: 0.1},
		Turns: turns.Limits{Site: 1, Lookahead: 2}, Tick: time.Second, SnapshotEvery: 1000,
		SiteSync: sitesync.Limits{Number: 100, Bytes: 1 << 20, Batch: 10, Held: 10, Age: time.Hour}}}
	var err error
	a.core, err = New(a.now, o, a)
	require.NoError(t, err)
	return a
}

// advance lets time pass, with a traffic loop that applies all restrictions at once.
func (a *soleVoter) advance(long time.Duration) {
	for end := a.now + long; a.now < end; {
		a.now += time.Second
		a.core.Tick(a.now)
		a.reportLoop()
	}
}

func (a *soleVoter) reportLoop() {
	a.core.HandleLoopReport(a.now, Report{Restrictions: a.restrictions, ClearedHosts: a.restrictions.ExcludedHosts,
		Observation: &hostview.Observation{Hosts: a.hosts, Groups: a.groups, Stale: a.stale, Values: map[string]float64{"a": 2, "b": 2}}})
}

// requestLease requests a send lease for n2.
func (a *soleVoter) requestLease(incarnation, acked uint64, change ...func(*peerpb.RenewRequest)) (r *peerpb.RenewReply) {
	a.t.Helper()
	a.seq++
	q := &peerpb.RenewRequest{Node: "n2", Life: incarnation, Seq: a.seq, Acked: acked, Run: 8, LastsUs: uint64(leaseDuration / time.Microsecond)}
	for _, f := range change {
		f(q)
	}
	a.core.HandleLeaseRequest(a.now, q, func(reply *peerpb.RenewReply) { r = reply })
	require.NotNil(a.t, r, "a consensus group of one answers at once")
	return r
}

// submit proposes a command, which must be accepted.
func (a *soleVoter) submit(c turns.Command, id string) (r Reply) {
	a.t.Helper()
	var failed error
	a.core.Submit(a.now, Call{Command: c, ID: id}, func(reply Reply, err error) { r, failed = reply, err })
	require.NoError(a.t, failed)
	a.advance(5 * time.Second)
	return r
}

func (a *soleVoter) requestTurn(id, host string) {
	a.submit(turns.Command{Request: &turns.Request{ID: id, Host: host, Duration: time.Hour}}, id)
}

func (a *soleVoter) phase(id string) turns.Phase {
	t, known := a.core.Schedule().Turn(id)
	require.True(a.t, known)
	return t.Phase
}

func TestLeaderAnswersOnlyEligibleNodes(t *testing.T) {
	a := newSoleVoter(t)
	assert.Empty(t, a.requestLease(1, 0).Refused)
	for _, c := range []struct {
		want   string
		change func(*peerpb.RenewRequest)
	}{
		{"n3 is not among the nodes", func(q *peerpb.RenewRequest) { q.Node = "n3" }},
		{"expects a send lease of 5s", func(q *peerpb.RenewRequest) { q.LastsUs /= 2 }},
		{"expects a send lease of 20s", func(q *peerpb.RenewRequest) { q.LastsUs *= 2 }},
	} {
		r := a.requestLease(1, 0, c.change)
		assert.Contains(t, r.Refused, c.want)
		assert.NotEmpty(t, r.Action)
		assert.Empty(t, r.Leader, "no other node would answer differently")
	}
	a.submit(turns.Command{Dead: &turns.Declaration{Node: "n2", By: "desk"}}, "")
	r := a.requestLease(1, 0)
	assert.Contains(t, r.Refused, "declared dead")
	assert.Contains(t, r.Action, "TakeIn")
	a.submit(turns.Command{Alive: &turns.Declaration{Node: "n2", By: "desk"}}, "")
	assert.Empty(t, a.requestLease(1, 0).Refused)
}

// An acknowledgement counts only for the store incarnation that it came from. It is proposed again if it was refused because
// the node was declared dead at that moment.
func TestAcknowledgementsCountForOneStoreIncarnation(t *testing.T) {
	a := newSoleVoter(t)
	a.requestTurn("t", "a")
	version := a.requestLease(1, 0).HorizonVersion
	require.NotZero(t, version)
	assert.Zero(t, a.requestLease(1, 0).Recorded)
	a.requestLease(1, version)
	assert.Equal(t, version, a.requestLease(1, version).Recorded)
	assert.Zero(t, a.requestLease(2, 0).Recorded, "another store of the node has recorded nothing")
	a.advance(time.Second)
	assert.Zero(t, a.core.Schedule().RecordedVersion("n2"))

	a.core.proposedAcks["n2"] = turns.Ack{Node: "n2", Incarnation: 2, Version: version} // it was proposed, and is refused
	a.submit(turns.Command{Dead: &turns.Declaration{Node: "n2", By: "desk"}}, "")
	a.submit(turns.Command{Alive: &turns.Declaration{Node: "n2", By: "desk"}}, "")
	a.requestLease(2, version)
	a.advance(time.Second)
	assert.Equal(t, version, a.core.Schedule().RecordedVersion("n2"))
}

func TestTurnWaitsUntilEverySendLeaseHasExpired(t *testing.T) {
	a := newSoleVoter(t)
	a.requestTurn("t", "a")
	r := a.requestLease(1, 0)
	a.requestLease(1, r.HorizonVersion)
	answered := a.now
	for a.now < answered+leaseDuration+time.Second { // n1's lease duration plus clock drift
		require.Equal(t, turns.Preparing, a.phase("t"))
		require.Contains(t, a.core.BlockerTexts(a.now, a.turn("t")), "n2: the node has not confirmed that it sends nothing new to the host")
		a.advance(time.Second)
	}
	a.advance(2 * time.Second)
	assert.Equal(t, turns.Granted, a.phase("t"), "its exclusion set contains the host")
}

func (a *soleVoter) turn(id string) turns.Turn {
	t, _ := a.core.Schedule().Turn(id)
	return t
}

func TestConfirmationGrantsTurn(t *testing.T) {
	a := newSoleVoter(t)
	a.requestTurn("t", "a")
	r := a.requestLease(1, 0)
	require.Len(t, r.Outs, 1)
	a.requestLease(1, r.HorizonVersion)
	a.requestLease(1, r.HorizonVersion, func(q *peerpb.RenewRequest) { q.Holds = r.Outs })
	a.advance(time.Second)
	assert.Equal(t, turns.Granted, a.phase("t"))
	again := a.submit(turns.Command{Request: &turns.Request{ID: "t", Host: "a", Duration: time.Hour}}, "t")
	assert.Equal(t, turns.Granted, again.Turn.Phase, "a repeated request returns the same turn")

	// After Done the leader merges the reports once more, whatever the state of the hosts was before.
	a.submit(turns.Command{Begin: &turns.Ref{ID: "t"}}, "t")
	a.submit(turns.Command{Done: &turns.Ref{ID: "t"}}, "t")
	assert.Equal(t, turns.Over, a.phase("t"))
}

func TestResponseIsStoredBeforeLeaseIsUsed(t *testing.T) {
	a := newSoleVoter(t)
	a.calls = nil
	a.requestTurn("t", "a")
	require.GreaterOrEqual(t, len(a.calls), 3)
	first := a.calls[:3]
	assert.Equal(t, []string{"apply restrictions", "save lease", "apply restrictions"}, first,
		"the exclusion set in the loop, then in the store, then the send lease")
	a.storeErr = errors.New("no space")
	before := a.core.leaseHolder.Restrictions().LeaseEnd
	a.requestTurn("u", "b") // changes the exclusion set
	require.Error(t, a.core.StopCause())
	assert.Equal(t, before, a.core.leaseHolder.Restrictions().LeaseEnd, "a send lease is not used unless its exclusion set is stored")
	assert.Equal(t, before, a.restrictions.LeaseEnd)
}

func TestLeaderDecidesWhichHostsHaveFailed(t *testing.T) {
	a := newSoleVoter(t)
	hasFailed := func() bool { a.advance(3 * time.Second); return a.core.Schedule().Hosts()[1].Failed }
	reporting := func(b *peerpb.SeenHost) func(*peerpb.RenewRequest) {
		return func(q *peerpb.RenewRequest) {
			q.Census = &peerpb.Census{Version: a.seq, Hosts: []*peerpb.SeenHost{{Id: "a", Warm: true}, b}}
		}
	}
	a.requestLease(1, 0, reporting(&peerpb.SeenHost{Id: "b", Warm: true, Failing: true}))
	assert.False(t, hasFailed(), "only one of two nodes reports it")
	a.requestLease(1, 0, reporting(&peerpb.SeenHost{Id: "b", Draining: true}))
	assert.False(t, hasFailed(), "only one of two nodes reports it")
	a.advance(reportMaxAgeLeases*leaseDuration + time.Second)
	a.hosts[0].Draining, a.hosts[0].Warm = true, false
	a.advance(2 * time.Second)
	hosts := a.core.Schedule().Hosts()
	assert.Equal(t, []bool{true, false, false, true}, []bool{hosts[0].Failed, hosts[0].Warm, hosts[1].Failed, hosts[1].Warm})
	a.hosts[0].Draining, a.hosts[1].Warm = false, false
	a.advance(2 * time.Second)
	assert.False(t, a.core.Schedule().Hosts()[1].Warm)
}

func TestRemovedNodeCountsUntilItsLeaseExpires(t *testing.T) {
	a := newSoleVoter(t)
	a.requestLease(1, 0)
	s := *a.core.Site
	s.Members = []string{"n1"}
	a.core.ApplySiteFile(&s)
	a.advance(leaseDuration)
	assert.Equal(t, []string{"n1", "n2"}, a.core.Schedule().Members())
	a.advance(3 * time.Second)
	assert.Equal(t, []string{"n1"}, a.core.Schedule().Members())
}

func TestNewLeaderAssumesEveryLeaseIsValid(t *testing.T) {
	a := start(t, 25*time.Second)
	for !a.core.Leading() {
		var refused string
		a.core.HandleLeaseRequest(a.now, &peerpb.RenewRequest{Node: "n2"}, func(r *peerpb.RenewReply) { refused = r.Refused })
		require.Contains(t, refused, "does not lead")
		a.advance(time.Second)
	}
	expired := func(after time.Duration) bool {
		return a.core.leaseTable.LeaseState(a.now+after, "n2") == sendlease.Expired
	}
	assert.False(t, expired(leaseDuration+time.Second))
	assert.True(t, expired(leaseDuration+2*time.Second))
	a.advance(1000*time.Hour + 24*time.Second - a.now)
	assert.Zero(t, a.restrictions.LeaseEnd, "an earlier process may still use its send lease")
	a.advance(5 * time.Second)
	assert.NotZero(t, a.restrictions.LeaseEnd)
}

func TestLoopReportIsForwardedAtOnce(t *testing.T) {
	a := newSoleVoter(t)
	a.calls = nil
	a.core.Submit(a.now, Call{Command: turns.Command{Request: &turns.Request{ID: "t", Host: "a", Duration: time.Hour}}, ID: "t"}, func(Reply, error) {})
	for len(a.restrictions.ExcludedHosts) == 0 {
		a.now += time.Second
		a.core.Tick(a.now)
		a.core.HandleLoopReport(a.now, Report{Restrictions: a.restrictions}) // attempts to the host are still in progress
	}
	assert.Equal(t, a.core.Schedule().ExclusionSet().Version, a.core.Schedule().RecordedVersion("n1"), "stored, and applied by the loop")
	assert.Empty(t, a.core.leaseTable.Confirmed("n1"))
	a.reportLoop()
	assert.Equal(t, a.turn("t").Round, a.core.leaseTable.Confirmed("n1")["a"], "the leader waits for the confirmation")
}

func TestTurnEndsOnlyOnLaterObservations(t *testing.T) {
	a := newSoleVoter(t)
	a.requestTurn("t", "a")
	r := a.requestLease(1, 0)
	a.requestLease(1, r.HorizonVersion, func(q *peerpb.RenewRequest) { q.Holds = r.Outs })
	a.advance(time.Second)
	require.Equal(t, turns.Granted, a.phase("t"))
	for _, c := range []turns.Command{{Begin: &turns.Ref{ID: "t"}}, {Done: &turns.Ref{ID: "t"}}} {
		a.core.Submit(a.now, Call{Command: c, ID: "t"}, func(_ Reply, err error) { require.NoError(t, err) })
	}
	for range 5 { // the loop does not report meanwhile
		a.now += time.Second
		a.requestLease(1, r.HorizonVersion, func(q *peerpb.RenewRequest) {
			q.Census = &peerpb.Census{Version: a.seq, Hosts: []*peerpb.SeenHost{{Id: "a", Warm: true}, {Id: "b", Warm: true, Worth: float32(int(1) << a.seq)}}}
		})
		a.core.Tick(a.now) // other changes of the hosts were observed before the maintenance
	}
	assert.Equal(t, turns.Returning, a.phase("t"))
	a.reportLoop()
	assert.Equal(t, turns.Returning, a.phase("t"), "one of two nodes, whose list may be older")
	a.requestLease(1, r.HorizonVersion, func(q *peerpb.RenewRequest) {
		q.Census = &peerpb.Census{Version: a.seq, Seen: a.core.AppliedIndex(), Hosts: []*peerpb.SeenHost{{Id: "a", Warm: true}, {Id: "b", Warm: true}}}
	})
	a.core.Tick(a.now)
	assert.Equal(t, turns.Over, a.phase("t"), "the reports were merged less than a second ago, but the end of the turn depends on this one")
}

func TestBanComesFromSiteWrites(t *testing.T) {
	a := newSoleVoter(t)
	for _, value := range []string{"out smoke", "back"} {
		a.core.Write(a.now, sitesync.LocalWrite{Kind: sitesync.Safety, Subject: "host/b", Value: []byte(value)}, func(_ Reply, err error) {
			require.NoError(t, err)
		})
		a.advance(3 * time.Second)
		assert.Equal(t, value != "back", a.core.Schedule().Hosts()[1].Banned, value)
	}
}

func TestBlockedTurnIsRevokedForAnother(t *testing.T) {
	a := newSoleVoter(t)
	s := *a.core.Site
	s.Turns.Lookahead = 1
	a.core.ApplySiteFile(&s)
	a.requestTurn("t", "a")
	a.requestLease(1, a.requestLease(1, 0).HorizonVersion) // n2 has a in its exclusion set, and is unreachable from here on
	a.submit(turns.Command{Withdraw: &turns.Ref{ID: "t"}}, "t")
	a.requestTurn("u", "b")
	a.requestTurn("v", "a")
	require.Equal(t, []turns.Phase{turns.Preparing, turns.Requested}, []turns.Phase{a.phase("u"), a.phase("v")})
	a.advance(3 * leaseDuration)
	assert.Equal(t, []turns.Phase{turns.Requested, turns.Granted}, []turns.Phase{a.phase("u"), a.phase("v")})
}

func TestHostReportsExpire(t *testing.T) {
	a := newSoleVoter(t)
	a.requestLease(1, 0, func(q *peerpb.RenewRequest) {
		q.Census = &peerpb.Census{Version: 1, Hosts: []*peerpb.SeenHost{{Id: "a", Warm: true}, {Id: "b", Warm: true}}}
	})
	report := func() bool {
		a.now += time.Second
		a.core.Tick(a.now)
		a.core.HandleLoopReport(a.now, Report{Restrictions: a.restrictions, Observation: &hostview.Observation{Hosts: a.hosts, Failing: []string{"b"}}})
		return a.core.Schedule().Hosts()[1].Failed
	}
	for range 10 {
		require.False(t, report(), "only one of two nodes reports it")
	}
	for range 30 {
		report()
	}
	assert.True(t, report(), "the other node's report has expired")
}

func TestLeaseResponseWaitsForAppliedIndex(t *testing.T) {
	a := newSoleVoter(t)
	answers := 0
	q := &peerpb.RenewRequest{Node: "n2", Life: 1, Seq: 1, Run: 8, LastsUs: uint64(leaseDuration / time.Microsecond)}
	a.core.readRequests[5] = []pendingRequest{{q, func(*peerpb.RenewReply) { answers++ }}}
	a.core.confirmedReads = append(a.core.confirmedReads, consensus.ReadState{Ctx: 5, Index: a.core.appliedIndex + 2})
	a.core.applyOutput(a.now, consensus.Output{})
	require.Zero(t, answers, "a quorum has committed more than is applied here")
	a.requestTurn("t", "a")
	assert.Equal(t, 1, answers)
}
