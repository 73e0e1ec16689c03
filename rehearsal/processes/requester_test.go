package processes

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/peer/peerpb/peerpbconnect"
	"lichenhitch/internal/site/sitepb"
)

// fakeOperatorAPI is a fake operator API with one turn. Each call advances the turn by one phase; every third call is
// refused.
type fakeOperatorAPI struct {
	peerpbconnect.UnimplementedDeskHandler
	mu    sync.Mutex
	calls int
	turn  peerpb.Turn
}

func (d *fakeOperatorAPI) advance(from, to string) (*connect.Response[peerpb.TurnReply], error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls++; d.calls%3 == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no leader"))
	}
	if d.turn.Phase == from {
		d.turn.Phase = to
	}
	return connect.NewResponse(&peerpb.TurnReply{Turn: &peerpb.Turn{Id: d.turn.Id, Host: d.turn.Host, Phase: d.turn.Phase,
		Round: 3, SinceMs: 1 << 50, WaitsFor: []string{"n1"}}}), nil
}

func (d *fakeOperatorAPI) Ask(_ context.Context, in *connect.Request[peerpb.AskRequest]) (*connect.Response[peerpb.TurnReply], error) {
	if in.Msg.Id != "t" || in.Msg.Minutes != 5 || in.Msg.By != "night shift" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the request has unexpected fields"))
	}
	d.mu.Lock()
	d.turn.Id, d.turn.Host = in.Msg.Id, in.Msg.Host
	next := map[string]string{"": "asked", "asked": "preparing", "preparing": "granted"}[d.turn.Phase]
	from := d.turn.Phase
	d.mu.Unlock()
	return d.advance(from, orDefault(next, from))
}

func (d *fakeOperatorAPI) Begin(context.Context, *connect.Request[peerpb.TurnRequest]) (*connect.Response[peerpb.TurnReply], error) {
	return d.advance("granted", "working")
}

func (d *fakeOperatorAPI) Done(context.Context, *connect.Request[peerpb.TurnRequest]) (*connect.Response[peerpb.TurnReply], error) {
	return d.advance("working", "returning")
}

// Work completes a turn in plain JSON although every third call is refused, and the history contains the grant.
func TestARequesterWorksThroughATurn(t *testing.T) {
	t.Parallel()
	w := New(t, threeNodePlan())
	_, handler := peerpbconnect.NewDeskHandler(&fakeOperatorAPI{})
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	a := w.Requester("night shift")
	_, err := a.Ask("n0", "t", "h0", 5, nil)
	require.ErrorContains(t, err, "not open", "a node without a site file has no operator API")
	n1 := w.Node("n1")
	n1.mu.Lock()
	n1.current, n1.ended = &process{apiAddr: strings.TrimPrefix(s.URL, "http://")}, false
	n1.mu.Unlock()
	t.Cleanup(func() { n1.ended = true }) // there is no process to kill at cleanup
	h, worked := w.Host("h0"), false
	require.NoError(t, a.Work(t.Context(), "t", "h0", 5, func() { worked = h.InWork() }))
	assert.True(t, worked, "the host must be marked as under maintenance")
	assert.False(t, h.InWork())
	grants := Grants(w.History.Ops())
	require.Len(t, grants, 1)
	g := grants[0]
	assert.Equal(t, Grant{ID: "t", Host: "h0", Round: 3, Requested: g.Requested, Observed: g.Observed, EndCalled: g.EndCalled,
		EndConfirmed: g.EndConfirmed}, g)
	assert.True(t, g.Requested < g.Observed && g.Observed < g.EndCalled && g.EndCalled < g.EndConfirmed && g.EndConfirmed < forever, "%+v", g)
	var apiErr *APIError
	_, err = a.Turns("n1")
	require.ErrorAs(t, err, &apiErr)
	assert.Equal(t, "unimplemented", apiErr.Code)
	w.RequireNoViolations(Allowance{Site: 1})
}

// The site file lists all sites, which nodes have a replica, and the peers at the addresses of this node's own links. A
// node knows only the hosts of its own site.
func TestASiteFileNamesSitesReplicasAndPeers(t *testing.T) {
	hosts := Fleet(2)
	hosts[0].Site, hosts[1].Site = "a", "b"
	w := New(t, Plan{Seed: 7, Hosts: hosts, Sites: []Site{
		{Name: "p", Level: sitepb.Level_PROVINCE, Nodes: []string{"n0"}},
		{Name: "a", Level: sitepb.Level_REGENCY, Parent: "p", Nodes: []string{"n1", "n2", "n3", "n4"}},
		{Name: "b", Level: sitepb.Level_BUILDING, Parent: "a", Nodes: []string{"n5"}}},
		Tune: func(node string, f *sitepb.File) { f.Turns = &sitepb.Turns{Site: 2} }})
	env := strings.Join(w.Node("n1").writeFiles("127.0.0.1:0"), "\n")
	assert.Contains(t, env, "GW_SITE=")
	f := w.Node("n1").readSiteFile()
	require.Len(t, f.Sites, 3)
	assert.Equal(t, "p", f.Sites[1].Parent)
	var replicas []bool
	for _, n := range f.Sites[1].Nodes {
		replicas = append(replicas, n.Seat)
	}
	assert.Equal(t, []bool{true, true, true, false}, replicas)
	require.Len(t, f.Peers, 5)
	assert.Equal(t, w.Link("n1", "n5").Addr(), f.Peers[4].Address)
	assert.NotEqual(t, w.Link("n5", "n1").Addr(), f.Peers[4].Address)
	assert.EqualValues(t, 2, f.Turns.Site)
	for node, id := range map[string]string{"n1": "h0", "n5": "h1"} {
		l, _ := w.Discovery.list(node, 0)
		require.Len(t, l.Targets, 1)
		assert.Equal(t, id, l.Targets[0].UID)
		assert.Equal(t, w.Host(id).endpoint(node), l.Targets[0].Endpoint)
	}
}
