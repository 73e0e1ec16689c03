package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/choice/hostview"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/peer/peerpb"
)

// reportHosts sends n2's lease request with a full report on its hosts and with its confirmations.
func (a *soleVoter) reportHosts(appliedIndex uint64, confirmed []*peerpb.Out, hosts ...*peerpb.SeenHost) *peerpb.RenewReply {
	return a.requestLease(1, a.core.Schedule().ExclusionSet().Version, func(q *peerpb.RenewRequest) {
		q.Holds, q.Census = confirmed, &peerpb.Census{Version: a.seq, Seen: appliedIndex, Hosts: hosts}
	})
}

// A leader whose discovery does not answer must rely on the other nodes: its stale list neither adds nor removes hosts, and a
// turn ends on another node's observation if that was made after the maintenance.
func TestLeaderWithStaleDiscoveryUsesOtherNodesReports(t *testing.T) {
	a := newSoleVoter(t)
	warm := func(id string) *peerpb.SeenHost { return &peerpb.SeenHost{Id: id, Warm: true} }
	a.reportHosts(0, nil, warm("a"), warm("b"))
	a.advance(2 * time.Second)
	a.stale, a.hosts = true, []hostview.Host{{ID: "a", Draining: true}}
	a.advance(2 * time.Second)
	require.Equal(t, []turns.Host{{ID: "a", Warm: true, Value: 2}, {ID: "b", Warm: true}}, a.core.Schedule().Hosts())

	a.requestTurn("t", "a")
	a.reportHosts(0, nil, warm("a"), warm("b"))
	a.reportHosts(0, a.reportHosts(0, nil, warm("a"), warm("b")).Outs, warm("a"), warm("b"))
	a.advance(time.Second)
	require.Equal(t, turns.Granted, a.phase("t"))
	a.submit(turns.Command{Begin: &turns.Ref{ID: "t"}}, "t")
	a.submit(turns.Command{Done: &turns.Ref{ID: "t"}}, "t")
	back := a.turn("t").DoneIndex
	a.reportHosts(back-1, nil, warm("a"), warm("b"))
	a.advance(3 * time.Second)
	assert.Equal(t, turns.Returning, a.phase("t"), "the observation is from before the maintenance was done")
	a.reportHosts(back, nil, &peerpb.SeenHost{Id: "a", Draining: true}, warm("b"))
	a.advance(3 * time.Second)
	assert.Equal(t, turns.Returning, a.phase("t"))
	a.reportHosts(back, nil, warm("a"), warm("b"))
	a.advance(2 * time.Second)
	assert.Equal(t, turns.Over, a.phase("t"))
}

// A leader that acknowledged no report gets a full one; after that it gets only the changes.
func TestNewLeaderGetsFullHostReport(t *testing.T) {
	a := newSoleVoter(t)
	changes := func(since, version uint64, hosts ...*peerpb.SeenHost) uint64 {
		return a.requestLease(1, 0, func(q *peerpb.RenewRequest) {
			q.Census = &peerpb.Census{Since: since, Version: version, Hosts: hosts}
		}).Census
	}
	assert.Zero(t, changes(4, 5), "it does not have version 4")
	assert.Equal(t, uint64(5), changes(0, 5, &peerpb.SeenHost{Id: "a", Warm: true}))
	assert.Equal(t, uint64(5), changes(6, 7), "it does not have version 6")
	assert.Equal(t, uint64(7), changes(5, 7, &peerpb.SeenHost{Id: "b", Warm: true}))

	node := a.core
	node.loopReport.Observation = nil
	node.hostView.reporter.Acknowledge(3)
	node.nextRequestAt = a.now + time.Hour
	node.handleHostAck(a.now, &peerpb.RenewReply{Seq: 1 << 30, Leader: "n2"})
	assert.Equal(t, a.now, node.nextRequestAt, "another leader has no report: it gets a full one at once")
	assert.Zero(t, node.hostReport().Since)
}

// Two preferred hosts of one group must not be out of service together, even if the limits allow two hosts. Both nodes have
// reported the groups.
func TestPreferredHostsOfOneGroupAreNotOutTogether(t *testing.T) {
	a := newSoleVoter(t)
	s := *a.core.Site
	s.Turns.Site = 2
	a.core.ApplySiteFile(&s)
	a.hosts = append(a.hosts, hostview.Host{ID: "c", Warm: true, Zone: "z", Kind: "m", Start: time.Hour})
	a.groups = []hostview.Group{{Name: "room", Value: 3, PreferredHosts: []string{"a", "b"}}}
	a.advance(10 * time.Second)
	var preferred []string
	for _, h := range a.core.Schedule().Hosts() {
		if len(h.Groups) > 0 {
			preferred = append(preferred, h.ID)
		}
	}
	require.Equal(t, []string{"a", "b"}, preferred)
	a.core.hostView.reporter.Acknowledge(0) // as if another leader were elected
	p := a.core.hostReport()
	require.Len(t, p.Hosts, 3)
	assert.Len(t, p.Hosts[0].Groups, 1)
	assert.NotZero(t, p.Hosts[0].Worth)
	assert.Equal(t, []any{"z", "m", uint64(time.Hour / time.Microsecond)}, []any{p.Hosts[2].Zone, p.Hosts[2].Kind, p.Hosts[2].StartUs})
	entries := a.core.AppliedIndex()
	a.groups[0].Value = 2
	a.advance(10 * time.Second)
	assert.Equal(t, entries, a.core.AppliedIndex(), "a small change makes no log entry")
	for _, id := range []string{"a", "b", "c"} {
		a.requestTurn("t-"+id, id)
	}
	assert.Equal(t, []turns.Phase{turns.Preparing, turns.Requested, turns.Preparing}, []turns.Phase{a.phase("t-a"), a.phase("t-b"), a.phase("t-c")})
}

// requestTwoTurns requests two turns where two hosts may be out of service; n2 reports whether it knows its groups.
func (a *soleVoter) requestTwoTurns(unknown bool) {
	a.t.Helper()
	s := *a.core.Site
	s.Turns.Site = 2
	a.core.ApplySiteFile(&s)
	a.advance(10 * time.Second)
	a.reportGroups(nil, unknown)
	a.requestTurn("t-a", "a")
	a.requestTurn("t-b", "b")
}

// reportGroups sends n2's lease request with the groups that prefer both hosts, and with its confirmations.
func (a *soleVoter) reportGroups(confirmed []*peerpb.Out, unknown bool, groups ...string) *peerpb.RenewReply {
	return a.requestLease(1, a.core.Schedule().ExclusionSet().Version, func(q *peerpb.RenewRequest) {
		q.Holds, q.Census = confirmed, &peerpb.Census{Version: a.seq, GroupsUnknown: unknown, Hosts: []*peerpb.SeenHost{
			{Id: "a", Warm: true, Groups: groups}, {Id: "b", Warm: true, Groups: groups}}}
	})
}

// A second host must not be taken out of service before its groups are known: a node that has just started may send to it and
// has not reported its groups yet.
func TestASecondHostWaitsUntilItsGroupsAreKnown(t *testing.T) {
	a := newSoleVoter(t)
	a.requestTwoTurns(true)
	require.Equal(t, []turns.Phase{turns.Preparing, turns.Requested}, []turns.Phase{a.phase("t-a"), a.phase("t-b")})
	blockers := a.core.Blockers(a.now, a.turn("t-b"))
	require.Len(t, blockers, 1)
	assert.Equal(t, "n2", blockers[0].Node)
	a.reportGroups(nil, false)
	assert.Equal(t, turns.Preparing, a.phase("t-b"))
}

// A group that is reported together with the last confirmation keeps its second preferred host: that host's turn is revoked
// before its worker may begin.
func TestGroupReportedWithLastConfirmationKeepsSecondHost(t *testing.T) {
	a := newSoleVoter(t)
	a.requestTwoTurns(false)
	require.Equal(t, []turns.Phase{turns.Preparing, turns.Preparing}, []turns.Phase{a.phase("t-a"), a.phase("t-b")})
	outs := a.reportGroups(nil, false).Outs
	require.Len(t, outs, 2)
	a.reportGroups(nil, false) // its exclusion set is recorded
	a.reportGroups(outs, false, "room")
	assert.Equal(t, []turns.Phase{turns.Granted, turns.Requested}, []turns.Phase{a.phase("t-a"), a.phase("t-b")})
	assert.Equal(t, "another preferred host of one of its groups is out", a.turn("t-b").Why)
}
