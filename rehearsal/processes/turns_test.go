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

// building is one site of four nodes, three with a seat, and six hosts, two of which may be out at once. Rights are short,
// so that stories of nodes that are cut off take seconds.
func building(tune func(string, *sitepb.File)) Plan {
	return Plan{Seed: 3, Hosts: Fleet(6), Sites: []Site{{Name: "b", Level: sitepb.Level_BUILDING,
		Nodes: []string{"n0", "n1", "n2", "n3"}, Seats: 3}},
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

var two = Allowance{Site: 2}

// served waits until every node that is named has served some more clients.
func served(c *Clients, nodes ...string) {
	c.w.t.Helper()
	for _, n := range nodes {
		c.AwaitServed(5, n)
	}
}

// leader returns who leads, as the node that is asked knows.
func leader(w *World, at string) string {
	r, err := w.Requester("operator").Turns(at)
	if err != nil {
		return ""
	}
	return r.Leader
}

func awaitLeader(w *World, at string, but ...string) (name string) {
	w.t.Helper()
	w.Await("somebody leads the council", func() bool {
		name = leader(w, at)
		return name != "" && !slices.Contains(but, name)
	})
	return name
}

// others are the names of all nodes but some.
func others(w *World, but ...string) (names []string) {
	for _, n := range w.Names() {
		if !slices.Contains(but, n) {
			names = append(names, n)
		}
	}
	return names
}

// said says whether one of some nodes has a text in its log by now.
func said(w *World, text string, nodes ...string) bool {
	return slices.ContainsFunc(nodes, func(n string) bool {
		return slices.ContainsFunc(w.Node(n).Log(), func(line string) bool { return strings.Contains(line, text) })
	})
}

// work has a host worked at while clients of some nodes are served.
func work(w *World, c *Clients, id, host string, nodes ...string) {
	w.t.Helper()
	require.NoError(w.t, w.Requester("staff").Work(context.Background(), id, host, 1, func() { served(c, nodes...) }))
}

func TestAHostIsHandedOverOnceNobodySendsItAnything(t *testing.T) {
	t.Parallel()
	w, c := begun(t, building(nil))
	begun := w.Now()
	work(w, c, "t1", "h1", w.Names()...)
	t.Logf("asked to done in %v", w.Now()-begun)
	w.Await("the host is in use again", func() bool {
		lines := w.Host("h1").FirstLines("n3")
		return len(lines) > 0 && lines[len(lines)-1].At > w.Now()-time.Second
	})
	w.RequireSound(two)
}

// soon is for turns that are asked for and may not begin before some time has passed: all nodes know of them by then.
func soon(d time.Duration) map[string]any {
	return map[string]any{"not_before_s": time.Now().Add(d).Unix()}
}

// ask asks for a turn that may not begin before some time has passed, until the council takes it: it may not know the hosts yet.
func ask(w *World, node, id, host string, in time.Duration) {
	w.t.Helper()
	w.Await("the council takes "+id, func() bool {
		_, err := w.Requester("staff").Ask(node, id, host, 1, soon(in))
		return err == nil
	})
}

// awaitHorizon waits until a node withholds some hosts, and no others, once it has no right.
func awaitHorizon(w *World, node, hosts string) {
	w.t.Helper()
	w.Await(node+" does without "+hosts+" once it has no right", func() bool {
		line := ""
		for _, more := range w.Node(node).Log() {
			if strings.Contains(more, "hosts="+hosts+" horizon=") {
				line = more
			}
		}
		return line != "" && field(line, "horizon") == field(line, "recorded") // the council goes by it
	})
}

func TestALeaderIsKilledBetweenAskingAndGranting(t *testing.T) {
	t.Parallel()
	w, c := begun(t, building(nil))
	first := awaitLeader(w, "n3")
	ask(w, first, "t1", "h1", 3*time.Second)
	awaitHorizon(w, first, "h1")
	w.Node(first).Kill()
	killed := w.Now()
	rest := others(w, first)
	work(w, c, "t1", "h1", rest...)
	t.Logf("from the leader's end to the work's in %v", w.Now()-killed)
	assert.NotEqual(t, first, awaitLeader(w, rest[0], first))
	w.Node(first).Restart(KeepStore)
	served(c, w.Names()...)
	work(w, c, "t2", "h2", w.Names()...)
	w.RequireSound(two)
}

func TestALeaderThatLeavesHandsOver(t *testing.T) {
	w := New(t, building(nil))
	w.Start()
	c := w.StartClients(Load{PerSecond: 60, HoldTime: 300 * time.Millisecond})
	served(c, w.Names()...)
	first := awaitLeader(w, "n3")
	ask(w, first, "t1", "h1", 3*time.Second)
	awaitHorizon(w, first, "h1")
	w.Node(first).Leave()
	left := w.Now()
	assert.Zero(t, w.Node(first).AwaitEnd())
	ended := w.Now()
	assert.True(t, said(w, "leads the council no more", first), "another one had taken over when it ended")
	rest := others(w, first)
	work(w, c, "t1", "h1", rest...)
	t.Logf("the leader's process ended after %v; from SIGTERM to the work's end in %v, from the process's end in %v", ended-left, w.Now()-left, w.Now()-ended)
	w.RequireSound(two)
}

func TestANodeThatIsCutOffDoesWithoutTheHorizonAndTheOrderWaitsBeyondIt(t *testing.T) {
	t.Parallel()
	w, c := begun(t, building(nil))
	staff := w.Requester("staff")
	for _, turn := range [][2]string{{"t1", "h1"}, {"t2", "h2"}} {
		ask(w, "n0", turn[0], turn[1], 4*time.Second)
	}
	awaitHorizon(w, "n3", `"h1 h2"`)
	w.Part(true, "n3")
	work(w, c, "t1", "h1", w.Names()...) // also n3 goes on serving
	// h5 is in no horizon that n3 knows of: it sends there, and the order waits.
	ask(w, "n0", "t5", "h5", 0)
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
		return strings.HasPrefix(why, "n3: the node is cut off") // and for no other
	})
	w.Heal()
	work(w, c, "t5", "h5", w.Names()...)
	w.RequireSound(two)
}

func TestANodeThatWasStoppedDoesNotActOnItsOldRight(t *testing.T) {
	t.Parallel()
	w := New(t, building(nil))
	w.Start()
	c := w.StartClients(Load{PerSecond: 80, HoldTime: 300 * time.Millisecond})
	served(c, w.Names()...)
	staff := w.Requester("staff")
	ask(w, "n0", "t1", "h1", 3*time.Second)
	awaitHorizon(w, "n3", "h1")
	w.Node("n3").Pause()
	require.NoError(t, staff.Work(context.Background(), "t1", "h1", 1, func() {
		w.Node("n3").Continue()
		served(c, w.Names()...)
	}))
	w.RequireSound(two)
}

func TestANodeThatRestartsWithNoStoreSendsNothingUntilItIsTold(t *testing.T) {
	t.Parallel()
	w, c := begun(t, building(nil))
	w.Node("n3").Kill()
	w.Part(true, "n3")
	before := len(linesOf(w, "n3"))
	w.Node("n3").Restart(EmptyStore)
	served(c, "n0", "n1", "n2")
	assert.Len(t, linesOf(w, "n3"), before, "nothing was sent")
	w.Heal()
	served(c, "n3")
	w.RequireSound(two)
}

func TestASeatThatLostItsStoreCountsAgainOnceItIsTakenIn(t *testing.T) {
	t.Parallel()
	w, c := begun(t, building(nil))
	awaitLeader(w, "n3")
	w.Node("n2").Kill()
	w.Node("n2").Restart(EmptyStore)
	w.Await("the seat is a stranger", func() bool { return said(w, "has to take it in", "n2") })
	work(w, c, "t1", "h1", w.Names()...) // the other two agree by themselves, and n2 has its right
	w.Await("it is taken in", func() bool {
		w.Requester("operator").TakeIn(awaitLeader(w, "n3"), "n2", "its disk was replaced")
		return said(w, "a seat is taken in", "n0", "n1")
	})
	ask(w, "n3", "t2", "h2", 3*time.Second)
	awaitHorizon(w, "n0", "h2")
	w.Node("n0").Kill()
	awaitLeader(w, "n3", "n0")
	work(w, c, "t2", "h2", "n1", "n2", "n3")
	w.RequireSound(two)
}

func linesOf(w *World, node string) (all []FirstLine) {
	for _, h := range w.Hosts() {
		all = append(all, h.FirstLines(node)...)
	}
	return all
}

func TestACutCouncilGivesNoTurnsAndTheTrafficGoesOn(t *testing.T) {
	t.Parallel()
	w, c := begun(t, building(nil))
	w.Part(false, "n0")
	w.Part(false, "n1")
	w.Part(false, "n2")
	w.Await("calls are refused, and say what to do", func() bool {
		_, err := w.Requester("staff").Ask("n3", "t1", "h1", 1, nil)
		return err != nil && strings.Contains(err.Error(), "what to do")
	})
	served(c, w.Names()...)
	w.Heal()
	work(w, c, "t1", "h1", w.Names()...)
	w.RequireSound(two)
}

func TestNeverMoreAreOutThanTheAllowance(t *testing.T) {
	t.Parallel()
	w, _ := begun(t, building(nil))
	errs := make(chan error)
	for _, h := range []string{"h0", "h1", "h2", "h3"} {
		go func() {
			errs <- w.Requester("staff-"+h).Work(context.Background(), "t-"+h, h, 1, func() { w.pause(200 * time.Millisecond) })
		}()
	}
	for range 4 {
		require.NoError(t, <-errs)
	}
	w.RequireSound(two)
}

func TestACallThatNamesNoHostIsRefusedWithWhatToDo(t *testing.T) {
	t.Parallel()
	w := New(t, building(nil))
	w.Start()
	var err error
	w.Await("the council knows the hosts", func() bool {
		_, err = w.Requester("staff").Ask("n3", "t1", "nowhere", 1, nil)
		return err != nil && strings.Contains(err.Error(), "nowhere")
	})
	assert.ErrorContains(t, err, "what to do")
	assert.ErrorContains(t, w.Requester("operator").call(Op{Node: "n0", Kind: "DeclareDead"},
		map[string]any{"node": "n3", "by": "x", "why": "y"}, nil, nil), "may be one")
}
