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

// tells has n2 ask with what it sees of its hosts, whole, and with what it confirms.
func (a *alone) tells(seen uint64, holds []*peerpb.Out, hosts ...*peerpb.SeenHost) *peerpb.RenewReply {
	return a.asks(1, a.core.Book().ExclusionSet().Version, func(q *peerpb.RenewRequest) {
		q.Holds, q.Census = holds, &peerpb.Census{Version: a.seq, Seen: seen, Hosts: hosts}
	})
}

// TestALeaderWithoutDiscoveryGoesByTheOthers: its stale list says neither that a host is there nor that it is not, and a turn
// ends on what another node saw, if that was after the work.
func TestALeaderWithoutDiscoveryGoesByTheOthers(t *testing.T) {
	a := newAlone(t)
	warm := func(id string) *peerpb.SeenHost { return &peerpb.SeenHost{Id: id, Warm: true} }
	a.tells(0, nil, warm("a"), warm("b"))
	a.pass(2 * time.Second)
	a.stale, a.hosts = true, []hostview.Host{{ID: "a", Draining: true}}
	a.pass(2 * time.Second)
	require.Equal(t, []turns.Host{{ID: "a", Warm: true, Value: 2}, {ID: "b", Warm: true}}, a.core.Book().Hosts())

	a.ask("t", "a")
	a.tells(0, nil, warm("a"), warm("b"))
	a.tells(0, a.tells(0, nil, warm("a"), warm("b")).Outs, warm("a"), warm("b"))
	a.pass(time.Second)
	require.Equal(t, turns.Granted, a.phase("t"))
	a.do(turns.Command{Begin: &turns.Ref{ID: "t"}}, "t")
	a.do(turns.Command{Done: &turns.Ref{ID: "t"}}, "t")
	back := a.turn("t").DoneIndex
	a.tells(back-1, nil, warm("a"), warm("b"))
	a.pass(3 * time.Second)
	assert.Equal(t, turns.Returning, a.phase("t"), "it was seen before the work was done")
	a.tells(back, nil, &peerpb.SeenHost{Id: "a", Draining: true}, warm("b"))
	a.pass(3 * time.Second)
	assert.Equal(t, turns.Returning, a.phase("t"))
	a.tells(back, nil, warm("a"), warm("b"))
	a.pass(2 * time.Second)
	assert.Equal(t, turns.Over, a.phase("t"))
}

// TestANewLeaderIsToldAll, once it has said that it has nothing; from then on it is told what has changed.
func TestANewLeaderIsToldAll(t *testing.T) {
	a := newAlone(t)
	changes := func(since, version uint64, hosts ...*peerpb.SeenHost) uint64 {
		return a.asks(1, 0, func(q *peerpb.RenewRequest) {
			q.Census = &peerpb.Census{Since: since, Version: version, Hosts: hosts}
		}).Census
	}
	assert.Zero(t, changes(4, 5), "it has no 4")
	assert.Equal(t, uint64(5), changes(0, 5, &peerpb.SeenHost{Id: "a", Warm: true}))
	assert.Equal(t, uint64(5), changes(6, 7), "it has no 6")
	assert.Equal(t, uint64(7), changes(5, 7, &peerpb.SeenHost{Id: "b", Warm: true}))

	node := a.core
	node.report.Look = nil
	node.hosts.reporter.Acknowledge(3)
	node.askAt = a.now + time.Hour
	node.toldHosts(a.now, &peerpb.RenewReply{Seq: 1 << 30, Leader: "n2"})
	assert.Equal(t, a.now, node.askAt, "another leader has nothing: it is told all at once")
	assert.Zero(t, node.tellHosts().Since)
}

// TestHomesOfOneGroupAreNotOutTogether, though the allowance has room: which homes there are both nodes told.
func TestHomesOfOneGroupAreNotOutTogether(t *testing.T) {
	a := newAlone(t)
	s := *a.core.Site
	s.Turns.Site = 2
	a.core.ApplySiteFile(&s)
	a.hosts = append(a.hosts, hostview.Host{ID: "c", Warm: true, Zone: "z", Kind: "m", Start: time.Hour})
	a.groups = []hostview.Group{{Name: "room", Value: 3, Homes: []string{"a", "b"}}}
	a.pass(10 * time.Second)
	var homes []string
	for _, h := range a.core.Book().Hosts() {
		if len(h.Groups) > 0 {
			homes = append(homes, h.ID)
		}
	}
	require.Equal(t, []string{"a", "b"}, homes)
	a.core.hosts.reporter.Acknowledge(0) // as to another leader
	p := a.core.tellHosts()
	require.Len(t, p.Hosts, 3)
	assert.Len(t, p.Hosts[0].Groups, 1)
	assert.NotZero(t, p.Hosts[0].Worth)
	assert.Equal(t, []any{"z", "m", uint64(time.Hour / time.Microsecond)}, []any{p.Hosts[2].Zone, p.Hosts[2].Kind, p.Hosts[2].StartUs})
	entries := a.core.Applied()
	a.groups[0].Value = 2
	a.pass(10 * time.Second)
	assert.Equal(t, entries, a.core.Applied(), "what hardly changes makes no entry")
	for _, id := range []string{"a", "b", "c"} {
		a.ask("t-"+id, id)
	}
	assert.Equal(t, []turns.Phase{turns.Preparing, turns.Requested, turns.Preparing}, []turns.Phase{a.phase("t-a"), a.phase("t-b"), a.phase("t-c")})
}

// besides has two turns asked for where two hosts may be out, and n2 tell whether it knows its groups.
func (a *alone) besides(unknown bool) {
	a.t.Helper()
	s := *a.core.Site
	s.Turns.Site = 2
	a.core.ApplySiteFile(&s)
	a.pass(10 * time.Second)
	a.tellsGroups(nil, unknown)
	a.ask("t-a", "a")
	a.ask("t-b", "b")
}

// tellsGroups has n2 tell which groups gather at both hosts, and confirm what it is told.
func (a *alone) tellsGroups(holds []*peerpb.Out, unknown bool, groups ...string) *peerpb.RenewReply {
	return a.asks(1, a.core.Book().ExclusionSet().Version, func(q *peerpb.RenewRequest) {
		q.Holds, q.Census = holds, &peerpb.Census{Version: a.seq, GroupsUnknown: unknown, Hosts: []*peerpb.SeenHost{
			{Id: "a", Warm: true, Groups: groups}, {Id: "b", Warm: true, Groups: groups}}}
	})
}

// TestASecondHostWaitsUntilItsGroupsAreKnown: a node that has just started may send to it and has not told yet.
func TestASecondHostWaitsUntilItsGroupsAreKnown(t *testing.T) {
	a := newAlone(t)
	a.besides(true)
	require.Equal(t, []turns.Phase{turns.Preparing, turns.Requested}, []turns.Phase{a.phase("t-a"), a.phase("t-b")})
	blockers := a.core.HeldUp(a.now, a.turn("t-b"))
	require.Len(t, blockers, 1)
	assert.Equal(t, "n2", blockers[0].Node)
	a.tellsGroups(nil, false)
	assert.Equal(t, turns.Preparing, a.phase("t-b"))
}

// TestAGroupThatIsToldWithTheLastConfirmationKeepsItsSecondHome: it is called back before anybody is told to begin.
func TestAGroupThatIsToldWithTheLastConfirmationKeepsItsSecondHome(t *testing.T) {
	a := newAlone(t)
	a.besides(false)
	require.Equal(t, []turns.Phase{turns.Preparing, turns.Preparing}, []turns.Phase{a.phase("t-a"), a.phase("t-b")})
	outs := a.tellsGroups(nil, false).Outs
	require.Len(t, outs, 2)
	a.tellsGroups(nil, false) // its horizon is recorded
	a.tellsGroups(outs, false, "room")
	assert.Equal(t, []turns.Phase{turns.Granted, turns.Requested}, []turns.Phase{a.phase("t-a"), a.phase("t-b")})
	assert.Equal(t, "another home of one of its groups is out", a.turn("t-b").Why)
}
