package processes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site/sitepb"
)

// siteLinePlan is a province, a regency and a building of three nodes, each site below the one before, and
// hosts that all nodes know.
func siteLinePlan() Plan {
	return Plan{Seed: 5, Hosts: Fleet(4), Sites: []Site{
		{Name: "p", Level: sitepb.Level_PROVINCE, Nodes: []string{"p0"}},
		{Name: "r", Parent: "p", Level: sitepb.Level_REGENCY, Nodes: []string{"r0"}},
		{Name: "b", Parent: "r", Level: sitepb.Level_BUILDING, Nodes: []string{"b0", "b1", "b2"}}},
		Tune: func(_ string, f *sitepb.File) {
			f.Rights = &sitepb.Rights{LastsMs: 1000}
			f.Council = &sitepb.Council{TickMs: 50}
		}}
}

var buildingNodes = []string{"b0", "b1", "b2"}

// writeTo makes a write at a node and returns the reply with the ID of the write. It retries until the node's
// site accepts the write.
func writeTo(w *World, node, kind, key, value, token string) *peerpb.WriteReply {
	w.t.Helper()
	r := &peerpb.WriteReply{}
	w.Await(node+" accepts "+value+" for "+key, func() bool {
		r.Reset()
		return w.Requester("staff").call(Op{Node: node, Kind: "Write"}, map[string]any{"kind": kind, "thing": key, "value": value,
			"by": "staff", "token": token}, r, nil) == nil && r.Id != ""
	})
	return r
}

// readFrom returns the value of a key at a node, and what became of a write.
func readFrom(w *World, node, kind, key, id string) *peerpb.ReadReply {
	r := &peerpb.ReadReply{}
	if w.Requester("staff").call(Op{Node: node, Kind: "Read"}, map[string]any{"kind": kind, "thing": key, "id": id}, r, nil) != nil {
		return &peerpb.ReadReply{}
	}
	return r
}

func awaitValue(w *World, key, value string, nodes ...string) {
	w.t.Helper()
	for _, n := range nodes {
		w.Await(fmt.Sprintf("%s is %s at %s", key, value, n), func() bool {
			r := readFrom(w, n, "safety", key, "")
			return r.Found && r.Value == value
		})
	}
}

// awaitNoTraffic waits until a host has received nothing more from each of the nodes while that node served
// other clients.
func awaitNoTraffic(w *World, c *Clients, host string, nodes ...string) {
	w.t.Helper()
	for _, n := range nodes {
		w.Await(n+" sends nothing more to "+host, func() bool {
			before := w.Now()
			awaitServed(c, n)
			lines := w.Host(host).FirstLines(n)
			return len(lines) == 0 || lines[len(lines)-1].At < before
		})
	}
}

// awaitTraffic waits until a host receives something new from each of the nodes.
func awaitTraffic(w *World, host string, nodes ...string) {
	w.t.Helper()
	for _, n := range nodes {
		before := len(w.Host(host).FirstLines(n))
		w.Await(n+" sends to "+host+" again", func() bool { return len(w.Host(host).FirstLines(n)) > before })
	}
}

// startSiteLine starts the sites of siteLinePlan and clients, in parallel with other scenarios, and waits
// until each group has a leader.
func startSiteLine(t *testing.T) (*World, *Clients) {
	t.Parallel()
	w := New(t, siteLinePlan())
	w.Start()
	c := w.StartClients(Load{PerSecond: 100, HoldTime: 200 * time.Millisecond})
	awaitServed(c, w.Names()...)
	for _, n := range []string{"p0", "r0", "b0"} {
		awaitLeader(w, n)
	}
	return w, c
}

func TestHostIsExcludedAtACutOffSiteAtOnceAndAboveAfterHealing(t *testing.T) {
	w, c := startSiteLine(t)
	w.Partition(false, buildingNodes...)
	out := writeTo(w, "b1", "safety", "host/h1", "out", "")
	awaitValue(w, "host/h1", "out", buildingNodes...)
	awaitNoTraffic(w, c, "h1", buildingNodes...)
	awaitTraffic(w, "h1", "p0", "r0") // the sites above have not received the write
	assert.Empty(t, readFrom(w, "b0", "", "", out.Id).Receipt)
	w.Heal()
	healed := w.Now()
	awaitValue(w, "host/h1", "out", "r0", "p0")
	t.Logf("known above %v after the link was healed", w.Now()-healed)
	awaitNoTraffic(w, c, "h1", "p0", "r0")
	w.Await("the receipt has come", func() bool { return readFrom(w, "b2", "", "", out.Id).Receipt == "applied" })

	writeTo(w, "p0", "safety", "host/h1", "back", "") // a decision travels down
	awaitValue(w, "host/h1", "back", buildingNodes...)
	awaitTraffic(w, "h1", w.Names()...)
	w.RequireNoViolations(Allowance{})
}

func TestWritesBypassAParentThatIsDownAndApplyOnce(t *testing.T) {
	w, _ := startSiteLine(t)
	first := writeTo(w, "b0", "work", "host/h2", "asked patch", "")
	w.Await("the first has its receipt", func() bool { return readFrom(w, "b0", "", "", first.Id).Receipt == "applied" })
	w.Node("r0").Kill()
	second := writeTo(w, "b0", "work", "host/h2", "begun patch", "")
	w.Await("the second bypasses the parent and has its receipt", func() bool {
		return readFrom(w, "b0", "", "", second.Id).Receipt == "applied"
	})
	assert.Equal(t, "begun patch", readFrom(w, "p0", "work", "host/h2", "").Value)
	w.Node("r0").Restart(KeepStore)
	third := writeTo(w, "b0", "work", "host/h2", "done patch", "")
	w.Await("the parent has all of them", func() bool { return readFrom(w, "r0", "work", "host/h2", "").Value == "done patch" })
	w.Await("no write is waiting", func() bool {
		return readFrom(w, "b0", "", "", third.Id).Receipt == "applied" && readFrom(w, "b0", "", "", "").Waiting == 0 &&
			readFrom(w, "r0", "", "", "").Waiting == 0
	})
	assert.Equal(t, "done patch", readFrom(w, "p0", "work", "host/h2", "").Value)
}

func TestOutWinsOverAConcurrentBack(t *testing.T) {
	w, c := startSiteLine(t)
	writeTo(w, "p0", "safety", "host/h1", "out", "")
	awaitValue(w, "host/h1", "out", "b0", "r0")
	w.Partition(false, buildingNodes...)
	writeTo(w, "p0", "safety", "host/h1", "back", "")
	writeTo(w, "b0", "safety", "host/h1", "out", "")
	awaitValue(w, "host/h1", "back", "r0")
	w.Heal()
	awaitValue(w, "host/h1", "out", w.Names()...)
	awaitNoTraffic(w, c, "h1", w.Names()...)
}

func TestWriteSurvivesTheLeaderThatAcceptedIt(t *testing.T) {
	w, _ := startSiteLine(t)
	w.Partition(false, buildingNodes...)
	leading := awaitLeader(w, "b0")
	out := writeTo(w, leading, "safety", "host/h3", "out", "")
	w.Node(leading).Kill()
	w.Heal()
	awaitValue(w, "host/h3", "out", "p0", "r0")
	rest := otherNodes(w, leading, "p0", "r0")
	w.Await("the receipt has come", func() bool { return readFrom(w, rest[0], "", "", out.Id).Receipt == "applied" })
}

func TestTokenCarriesCausalDependencies(t *testing.T) {
	w, _ := startSiteLine(t)
	w.Partition(false, buildingNodes...)
	out := writeTo(w, "b0", "safety", "host/h1", "out", "")
	// An operator goes from the building to the province, which has not received the write yet, and puts the
	// host back into service there.
	back := writeTo(w, "p0", "safety", "host/h1", "back", out.Token)
	w.Heal()
	w.Await("the building has the receipt of the second write", func() bool { return readFrom(w, "b0", "", "", back.Id).Receipt != "" })
	awaitValue(w, "host/h1", "back", "p0", "r0", "b0") // it depends on the other write, and is not concurrent with it
}

func TestRefusedWritesSayWhy(t *testing.T) {
	w, _ := startSiteLine(t)
	for want, in := range map[string]map[string]any{
		"kind":  {"kind": "nonsense", "thing": "host/h1", "value": "out"},
		"value": {"kind": "safety", "thing": "host/h1", "value": "perhaps"},
		"thing": {"kind": "safety", "thing": "", "value": "out"},
		"token": {"kind": "safety", "thing": "host/h1", "value": "out", "token": "torn"},
	} {
		err := w.Requester("staff").call(Op{Node: "b1", Kind: "Write"}, in, &peerpb.WriteReply{}, nil)
		require.ErrorContains(t, err, want)
		assert.ErrorContains(t, err, "what to do")
	}
}

// A replica that was away receives a state that is too large for one call. Then the group continues with that
// replica.
func TestReplicaThatWasAwayReceivesALargeState(t *testing.T) {
	const keys = 60
	t.Parallel()
	w := New(t, Plan{Seed: 6, Hosts: Fleet(1), Sites: []Site{{Name: "p", Level: sitepb.Level_PROVINCE, Nodes: []string{"p0", "p1", "p2"}}},
		Tune: func(_ string, f *sitepb.File) { f.Council = &sitepb.Council{TickMs: 50, SnapshotEvery: 48} }})
	w.Start()
	away := otherNodes(w, awaitLeader(w, "p0"))[0]
	writeTo(w, away, "note", "thing/0", "x", "")
	w.Node(away).Kill()
	rest := otherNodes(w, away)
	for i := range keys {
		writeTo(w, rest[0], "note", fmt.Sprint("thing/", i), strings.Repeat(string(rune('a'+i%26)), 60<<10), "")
	}
	back := w.Now()
	w.Node(away).Restart(KeepStore)
	line := w.Node(away).AwaitLogged("was far behind")
	t.Logf("caught up %v after the start: %s", w.Now()-back, line)
	w.Node(rest[1]).Kill()
	last := writeTo(w, away, "note", "thing/last", "x", "")
	assert.NotEmpty(t, last.Id)
	assert.Equal(t, strings.Repeat("b", 60<<10), readFrom(w, away, "note", "thing/1", "").Value)
}
