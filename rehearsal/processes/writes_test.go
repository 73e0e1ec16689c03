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

// line is a province, a regency and a building of three nodes, and hosts that all of them know.
func line() Plan {
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

// write has something written at a node, and returns the write's name. It tries until the node's site agrees.
func write(w *World, node, kind, thing, value, token string) *peerpb.WriteReply {
	w.t.Helper()
	r := &peerpb.WriteReply{}
	w.Await(node+" takes "+value+" for "+thing, func() bool {
		r.Reset()
		return w.Requester("staff").call(Op{Node: node, Kind: "Write"}, map[string]any{"kind": kind, "thing": thing, "value": value,
			"by": "staff", "token": token}, r, nil) == nil && r.Id != ""
	})
	return r
}

// read returns what holds of a thing at a node, and what became of a write.
func read(w *World, node, kind, thing, id string) *peerpb.ReadReply {
	r := &peerpb.ReadReply{}
	if w.Requester("staff").call(Op{Node: node, Kind: "Read"}, map[string]any{"kind": kind, "thing": thing, "id": id}, r, nil) != nil {
		return &peerpb.ReadReply{}
	}
	return r
}

func awaitValue(w *World, thing, value string, nodes ...string) {
	w.t.Helper()
	for _, n := range nodes {
		w.Await(fmt.Sprintf("%s is %s at %s", thing, value, n), func() bool {
			r := read(w, n, "safety", thing, "")
			return r.Found && r.Value == value
		})
	}
}

// awaitNone waits until nothing new has come to a host from some nodes for a while in which they served others.
func awaitNone(w *World, c *Clients, host string, nodes ...string) {
	w.t.Helper()
	for _, n := range nodes {
		w.Await(n+" sends nothing more to "+host, func() bool {
			before := w.Now()
			served(c, n)
			lines := w.Host(host).FirstLines(n)
			return len(lines) == 0 || lines[len(lines)-1].At < before
		})
	}
}

// awaitSome waits until a host gets something new from some nodes.
func awaitSome(w *World, host string, nodes ...string) {
	w.t.Helper()
	for _, n := range nodes {
		before := len(w.Host(host).FirstLines(n))
		w.Await(n+" sends to "+host+" again", func() bool { return len(w.Host(host).FirstLines(n)) > before })
	}
}

// started starts a line and clients, and waits until each council is led. The story is told beside others.
func started(t *testing.T) (*World, *Clients) {
	t.Parallel()
	w := New(t, line())
	w.Start()
	c := w.StartClients(Load{PerSecond: 100, HoldTime: 200 * time.Millisecond})
	served(c, w.Names()...)
	for _, n := range []string{"p0", "r0", "b0"} {
		awaitLeader(w, n)
	}
	return w, c
}

func TestAHostIsOutAtACutOffSiteAtOnceAndAboveOnceTheLinkIsBack(t *testing.T) {
	w, c := started(t)
	w.Part(false, buildingNodes...)
	out := write(w, "b1", "safety", "host/h1", "out", "")
	awaitValue(w, "host/h1", "out", buildingNodes...)
	awaitNone(w, c, "h1", buildingNodes...)
	awaitSome(w, "h1", "p0", "r0") // nobody above knows of it
	assert.Empty(t, read(w, "b0", "", "", out.Id).Receipt)
	w.Heal()
	healed := w.Now()
	awaitValue(w, "host/h1", "out", "r0", "p0")
	t.Logf("known above %v after the link was back", w.Now()-healed)
	awaitNone(w, c, "h1", "p0", "r0")
	w.Await("the receipt has come", func() bool { return read(w, "b2", "", "", out.Id).Receipt == "applied" })

	write(w, "p0", "safety", "host/h1", "back", "") // a decision comes down
	awaitValue(w, "host/h1", "back", buildingNodes...)
	awaitSome(w, "h1", w.Names()...)
	w.RequireSound(Allowance{})
}

func TestWritesGoRoundAParentThatIsDownAndCountOnce(t *testing.T) {
	w, _ := started(t)
	first := write(w, "b0", "work", "host/h2", "asked patch", "")
	w.Await("the first has its receipt", func() bool { return read(w, "b0", "", "", first.Id).Receipt == "applied" })
	w.Node("r0").Kill()
	second := write(w, "b0", "work", "host/h2", "begun patch", "")
	w.Await("it has come to the top by itself", func() bool { return read(w, "b0", "", "", second.Id).Receipt == "applied" })
	assert.Equal(t, "begun patch", read(w, "p0", "work", "host/h2", "").Value)
	w.Node("r0").Restart(KeepStore)
	third := write(w, "b0", "work", "host/h2", "done patch", "")
	w.Await("the parent knows all of it", func() bool { return read(w, "r0", "work", "host/h2", "").Value == "done patch" })
	w.Await("nothing waits any more", func() bool {
		return read(w, "b0", "", "", third.Id).Receipt == "applied" && read(w, "b0", "", "", "").Waiting == 0 &&
			read(w, "r0", "", "", "").Waiting == 0
	})
	assert.Equal(t, "done patch", read(w, "p0", "work", "host/h2", "").Value)
}

func TestOutGoesBeforeBackWhereBothWereWrittenWithoutEachOther(t *testing.T) {
	w, c := started(t)
	write(w, "p0", "safety", "host/h1", "out", "")
	awaitValue(w, "host/h1", "out", "b0", "r0")
	w.Part(false, buildingNodes...)
	write(w, "p0", "safety", "host/h1", "back", "")
	write(w, "b0", "safety", "host/h1", "out", "")
	awaitValue(w, "host/h1", "back", "r0")
	w.Heal()
	awaitValue(w, "host/h1", "out", w.Names()...)
	awaitNone(w, c, "h1", w.Names()...)
}

func TestAWriteOutlivesTheLeaderThatTookIt(t *testing.T) {
	w, _ := started(t)
	w.Part(false, buildingNodes...)
	leads := awaitLeader(w, "b0")
	out := write(w, leads, "safety", "host/h3", "out", "")
	w.Node(leads).Kill()
	w.Heal()
	awaitValue(w, "host/h3", "out", "p0", "r0")
	rest := others(w, leads, "p0", "r0")
	w.Await("the receipt has come", func() bool { return read(w, rest[0], "", "", out.Id).Receipt == "applied" })
}

func TestATokenCarriesWhatItsBearerHasSeen(t *testing.T) {
	w, _ := started(t)
	w.Part(false, buildingNodes...)
	out := write(w, "b0", "safety", "host/h1", "out", "")
	// Somebody goes from the building to the province, which has not heard of it, and takes the host back there.
	back := write(w, "p0", "safety", "host/h1", "back", out.Token)
	w.Heal()
	w.Await("both are known below", func() bool { return read(w, "b0", "", "", back.Id).Receipt != "" })
	awaitValue(w, "host/h1", "back", "p0", "r0", "b0") // written after the other, and not beside it
}

func TestWritesThatCannotBeTakenSayWhy(t *testing.T) {
	w, _ := started(t)
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

// TestASeatThatWasAwayGetsALargeState: one that no call takes as a whole. Then the council goes on with that seat.
func TestASeatThatWasAwayGetsALargeState(t *testing.T) {
	const things = 60
	t.Parallel()
	w := New(t, Plan{Seed: 6, Hosts: Fleet(1), Sites: []Site{{Name: "p", Level: sitepb.Level_PROVINCE, Nodes: []string{"p0", "p1", "p2"}}},
		Tune: func(_ string, f *sitepb.File) { f.Council = &sitepb.Council{TickMs: 50, SnapshotEvery: 48} }})
	w.Start()
	away := others(w, awaitLeader(w, "p0"))[0]
	write(w, away, "note", "thing/0", "x", "")
	w.Node(away).Kill()
	rest := others(w, away)
	for i := range things {
		write(w, rest[0], "note", fmt.Sprint("thing/", i), strings.Repeat(string(rune('a'+i%26)), 60<<10), "")
	}
	back := w.Now()
	w.Node(away).Restart(KeepStore)
	line := w.Node(away).AwaitLogged("was far behind")
	t.Logf("%v after the start: %s", w.Now()-back, line)
	w.Node(rest[1]).Kill()
	last := write(w, away, "note", "thing/last", "x", "")
	assert.NotEmpty(t, last.Id)
	assert.Equal(t, strings.Repeat("b", 60<<10), read(w, away, "note", "thing/1", "").Value)
}
