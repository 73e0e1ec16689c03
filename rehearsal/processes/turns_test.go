package processes

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/site/sitepb"
)

// buildingPlan is one site of four nodes, three with a replica, and six hosts, two of which may be out of
// service at once. Send leases are short, so that scenarios with nodes that are cut off take seconds.
func buildingPlan(tune func(string, *sitepb.File)) Plan {
	return Plan{Seed: 3, Hosts: Fleet(6), Sites: []Site{{Name: "b", Level: sitepb.Level_BUILDING,
		Nodes: []string{"n0", "n1", "n2", "n3"}, Replicas: 3}},
		Tune: func(name string, f *sitepb.File) {
			f.Sites[0].Level, f.Sites[0].Parent = sitepb.Level_PROVINCE, ""
			f.Rights = &sitepb.Rights{LastsMs: 1000}
			f.Council = &sitepb.Council{TickMs: 50}
			f.Turns = &sitepb.Turns{Site: 2, Horizon: 2, Failed: 2}
			if tune != nil {
				tune(name, f)
			}
		}}
}

var twoPerSite = Allowance{Site: 2}

// awaitServed waits until each of the nodes has served 5 more clients.
func awaitServed(c *Clients, nodes ...string) {
	c.w.t.Helper()
	for _, n := range nodes {
		c.AwaitServed(5, n)
	}
}

// leaderOf returns the leader that a node reports, or "".
func leaderOf(w *World, node string) string {
	r, err := w.Requester("operator").Turns(node)
	if err != nil {
		return ""
	}
	return r.Leader
}

func awaitLeader(w *World, node string, except ...string) (name string) {
	w.t.Helper()
	w.Await("the group has a leader", func() bool {
		name = leaderOf(w, node)
		return name != "" && !slices.Contains(except, name)
	})
	return name
}

// otherNodes returns the names of all nodes except some.
func otherNodes(w *World, except ...string) (names []string) {
	for _, n := range w.Names() {
		if !slices.Contains(except, n) {
			names = append(names, n)
		}
	}
	return names
}

// anyLogged reports whether the log of one of the nodes contains a text.
func anyLogged(w *World, text string, nodes ...string) bool {
	return slices.ContainsFunc(nodes, func(n string) bool {
		return slices.ContainsFunc(w.Node(n).Log(), func(line string) bool { return strings.Contains(line, text) })
	})
}

// workOn requests a turn for a host (permission to do maintenance on it) and does the work, while clients of
// the nodes are served.
func workOn(w *World, c *Clients, id, host string, nodes ...string) {
	w.t.Helper()
	require.NoError(w.t, w.Requester("staff").Work(context.Background(), id, host, 1, func() { awaitServed(c, nodes...) }))
}

func TestHostIsGrantedOnceNoNodeSendsToIt(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	start := w.Now()
	workOn(w, c, "t1", "h1", w.Names()...)
	t.Logf("request to end of the work: %v", w.Now()-start)
	w.Await("the host is used again", func() bool {
		lines := w.Host("h1").FirstLines("n3")
		return len(lines) > 0 && lines[len(lines)-1].At > w.Now()-time.Second
	})
	w.RequireNoViolations(twoPerSite)
}

// notBefore is the field of a request for a turn that may not begin before the delay has passed: by then all
// nodes know of it.
func notBefore(delay time.Duration) map[string]any {
	return map[string]any{"not_before_s": time.Now().Add(delay).Unix()}
}

// requestTurn requests a turn that may not begin before the delay has passed, until the group accepts it: the
// group may not know the hosts yet.
func requestTurn(w *World, node, id, host string, delay time.Duration) {
	w.t.Helper()
	w.Await("the group accepts "+id, func() bool {
		_, err := w.Requester("staff").Ask(node, id, host, 1, notBefore(delay))
		return err == nil
	})
}

// awaitExclusionSet waits until a node would exclude exactly these hosts once its send lease expires.
func awaitExclusionSet(w *World, node, hosts string) {
	w.t.Helper()
	w.Await(node+" excludes "+hosts+" without a send lease", func() bool {
		line := ""
		for _, more := range w.Node(node).Log() {
			if strings.Contains(more, "hosts="+hosts+" horizon=") {
				line = more
			}
		}
		// Equal: the group has recorded that the node has this exclusion set.
		return line != "" && field(line, "horizon") == field(line, "recorded")
	})
}

func TestLeaderIsKilledBetweenRequestAndGrant(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	first := awaitLeader(w, "n3")
	requestTurn(w, first, "t1", "h1", 3*time.Second)
	awaitExclusionSet(w, first, "h1")
	w.Node(first).Kill()
	killed := w.Now()
	rest := otherNodes(w, first)
	workOn(w, c, "t1", "h1", rest...)
	t.Logf("end of the leader to end of the work: %v", w.Now()-killed)
	assert.NotEqual(t, first, awaitLeader(w, rest[0], first))
	w.Node(first).Restart(KeepStore)
	awaitServed(c, w.Names()...)
	workOn(w, c, "t2", "h2", w.Names()...)
	w.RequireNoViolations(twoPerSite)
}

func TestStoppingLeaderTransfersLeadership(t *testing.T) {
	w := New(t, buildingPlan(nil))
	w.Start()
	c := w.StartClients(Load{PerSecond: 60, HoldTime: 300 * time.Millisecond})
	awaitServed(c, w.Names()...)
	first := awaitLeader(w, "n3")
	requestTurn(w, first, "t1", "h1", 3*time.Second)
	awaitExclusionSet(w, first, "h1")
	w.Node(first).Terminate()
	terminated := w.Now()
	assert.Zero(t, w.Node(first).AwaitEnd())
	ended := w.Now()
	assert.True(t, anyLogged(w, "leads the council no more", first), "another replica must have taken over before it ended")
	rest := otherNodes(w, first)
	workOn(w, c, "t1", "h1", rest...)
	t.Logf("the leader's process ended after %v; SIGTERM to end of the work: %v; end of the process to end of the work: %v",
		ended-terminated, w.Now()-terminated, w.Now()-ended)
	w.RequireNoViolations(twoPerSite)
}

func TestNodeThatIsCutOffAppliesItsExclusionSetAndOtherTurnsWait(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	staff := w.Requester("staff")
	for _, turn := range [][2]string{{"t1", "h1"}, {"t2", "h2"}} {
		requestTurn(w, "n0", turn[0], turn[1], 4*time.Second)
	}
	awaitExclusionSet(w, "n3", `"h1 h2"`)
	w.Partition(true, "n3")
	workOn(w, c, "t1", "h1", w.Names()...) // n3 continues to serve too
	// h5 is in no exclusion set that n3 has: n3 sends to it, and the turn waits.
	requestTurn(w, "n0", "t5", "h5", 0)
	var why string
	w.Await("the turn waits for the node that is cut off", func() bool {
		r, err := staff.Turns("n0")
		if err != nil {
			return false
		}
		for _, turn := range r.Turns {
			if turn.Id == "t5" && turn.Phase == "preparing" {
				why = strings.Join(turn.WaitsFor, "; ")
			}
		}
		return strings.HasPrefix(why, "n3: the node is cut off") // and for no other node
	})
	w.Heal()
	workOn(w, c, "t5", "h5", w.Names()...)
	w.RequireNoViolations(twoPerSite)
}

func TestNodeThatWasPausedDoesNotUseItsOldSendLease(t *testing.T) {
	t.Parallel()
	w := New(t, buildingPlan(nil))
	w.Start()
	c := w.StartClients(Load{PerSecond: 80, HoldTime: 300 * time.Millisecond})
	awaitServed(c, w.Names()...)
	staff := w.Requester("staff")
	requestTurn(w, "n0", "t1", "h1", 3*time.Second)
	awaitExclusionSet(w, "n3", "h1")
	w.Node("n3").Pause()
	require.NoError(t, staff.Work(context.Background(), "t1", "h1", 1, func() {
		w.Node("n3").Continue()
		awaitServed(c, w.Names()...)
	}))
	w.RequireNoViolations(twoPerSite)
}

func TestNodeThatRestartsWithNoStoreSendsNothingUntilItsLeaderAnswers(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	w.Node("n3").Kill()
	w.Partition(true, "n3")
	before := len(firstLinesFrom(w, "n3"))
	w.Node("n3").Restart(EmptyStore)
	awaitServed(c, "n0", "n1", "n2")
	assert.Len(t, firstLinesFrom(w, "n3"), before, "it must not send anything")
	w.Heal()
	awaitServed(c, "n3")
	w.RequireNoViolations(twoPerSite)
}

func TestReplicaThatLostItsStoreCountsAgainOnceItIsAdded(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	awaitLeader(w, "n3")
	w.Node("n2").Kill()
	w.Node("n2").Restart(EmptyStore)
	w.Await("the replica is not a member", func() bool { return anyLogged(w, "has to take it in", "n2") })
	workOn(w, c, "t1", "h1", w.Names()...) // the other two have a quorum, and n2 has its send lease
	w.Await("the replica is added", func() bool {
		w.Requester("operator").TakeIn(awaitLeader(w, "n3"), "n2", "its disk was replaced")
		return anyLogged(w, "a seat is taken in", "n0", "n1")
	})
	requestTurn(w, "n3", "t2", "h2", 3*time.Second)
	awaitExclusionSet(w, "n0", "h2")
	w.Node("n0").Kill()
	awaitLeader(w, "n3", "n0")
	workOn(w, c, "t2", "h2", "n1", "n2", "n3")
	w.RequireNoViolations(twoPerSite)
}

func firstLinesFrom(w *World, node string) (all []FirstLine) {
	for _, h := range w.Hosts() {
		all = append(all, h.FirstLines(node)...)
	}
	return all
}

func TestGroupWithoutQuorumGrantsNoTurnsAndTrafficContinues(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	w.Partition(false, "n0")
	w.Partition(false, "n1")
	w.Partition(false, "n2")
	w.Await("calls are refused with advice", func() bool {
		_, err := w.Requester("staff").Ask("n3", "t1", "h1", 1, nil)
		return err != nil && strings.Contains(err.Error(), "what to do")
	})
	awaitServed(c, w.Names()...)
	w.Heal()
	workOn(w, c, "t1", "h1", w.Names()...)
	w.RequireNoViolations(twoPerSite)
}

func TestNoMoreHostsAreGrantedThanAllowed(t *testing.T) {
	t.Parallel()
	w, _ := startBuilding(t, buildingPlan(nil))
	errs := make(chan error)
	for _, h := range []string{"h0", "h1", "h2", "h3"} {
		go func() {
			errs <- w.Requester("staff-"+h).Work(context.Background(), "t-"+h, h, 1, func() { w.sleep(200 * time.Millisecond) })
		}()
	}
	for range 4 {
		require.NoError(t, <-errs)
	}
	w.RequireNoViolations(twoPerSite)
}

func TestRequestForAnUnknownHostIsRefusedWithAdvice(t *testing.T) {
	t.Parallel()
	w := New(t, buildingPlan(nil))
	w.Start()
	var err error
	w.Await("the group knows the hosts", func() bool {
		_, err = w.Requester("staff").Ask("n3", "t1", "nowhere", 1, nil)
		return err != nil && strings.Contains(err.Error(), "nowhere")
	})
	assert.ErrorContains(t, err, "what to do")
	assert.ErrorContains(t, w.Requester("operator").call(Op{Node: "n0", Kind: "DeclareDead"},
		map[string]any{"node": "n3", "by": "x", "why": "y"}, nil, nil), "may be one")
}
