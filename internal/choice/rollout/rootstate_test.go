package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// rootHarness is a RootState with nodes that fetch assignments and report records, in four buildings of two regencies.
type rootHarness struct {
	t      require.TestingT
	root   *RootState
	index  uint64
	now    time.Duration
	limits Limits
	tree   Tree
	nodes  []*harnessNode
	sent   []Record // all records that nodes ever sent, in order
}

type harnessNode struct {
	name, site string
	policy     *NodePolicy
	reporter   *Reporter
}

func newRootHarness(t require.TestingT) *rootHarness {
	f := &rootHarness{t: t, root: NewRootState(), now: 1000 * hour, limits: Defaults()}
	f.limits.Slice, f.limits.WindowSlices, f.limits.BaselineWindows, f.limits.Settle = 10*time.Minute, 1, 1, time.Minute
	f.limits.MaxHold, f.limits.TrialLease, f.limits.MaxDisrupted = 40*hour, hour, 2
	for s := range 4 {
		site := Site{Name: fmt.Sprint("b", s), Parent: fmt.Sprint("r", s/2)}
		for n := range 2 {
			name := fmt.Sprintf("n%d%d", s, n)
			site.Nodes = append(site.Nodes, TreeNode{name, site.Name})
			f.nodes = append(f.nodes, &harnessNode{name, site.Name,
				NewNodePolicy(Stored{Good: EmptyPolicy().Hash()}, 3, 0, f.now), NewReporter(name, site.Name)})
		}
		f.tree.Sites = append(f.tree.Sites, site)
	}
	f.lead()
	return f
}

func (f *rootHarness) apply(c Command) []Effect {
	f.index++
	c.At = f.now
	return f.root.Apply(f.index, c)
}

func (f *rootHarness) record(r Record) {
	f.index++
	f.root.Record(f.index, f.now, r)
}

// lead applies what the leader proposes until there is nothing left: T3.
func (f *rootHarness) lead() {
	for n := 0; ; n++ {
		require.Less(f.t, n, 100, "the leader never stops proposing")
		before := f.root.Encode()
		c, ok := f.root.Next(f.now, f.limits, f.tree)
		again, _ := f.root.Next(f.now, f.limits, f.tree)
		require.Equal(f.t, c, again)
		require.Equal(f.t, string(before), string(f.root.Encode()), "Next changes nothing")
		if !ok {
			return
		}
		f.apply(c)
	}
}

// passSlice lets a slice pass: nodes fetch their assignments and send records, of which those of the nodes selected by arrives arrive.
func (f *rootHarness) passSlice(arrives func(name string) bool, guardAt string) {
	f.now += f.limits.Slice / 2
	f.report(arrives, guardAt)
	f.now += f.limits.Slice / 2
	f.report(arrives, "")
}

func (f *rootHarness) report(arrives func(name string) bool, guardAt string) {
	for _, n := range f.nodes {
		d, err := ParseSitePolicies(f.root.SitePolicies(n.site).Bytes())
		require.NoError(f.t, err)
		require.Equal(f.t, f.root.SitePolicies(n.site), d)
		n.policy.HandleAssignment(d.Assigned(n.name, nil), f.now, acceptAny)
		n.reporter.Tick(f.now, d.Slice, n.policy.Status(n.name), n.policy.Starts(), 0, false)
		var guards []string
		if n.name == guardAt {
			guards = []string{"drain"}
		}
		n.reporter.Count(f.now, n.policy.Policy(), []Counts{{Class: "c", Offered: 1000, Served: 990}}, guards)
		if raw := n.reporter.Pending(); raw != nil {
			r, err := ParseRecord(raw)
			require.NoError(f.t, err)
			n.reporter.Acknowledge(r.Sequence)
			f.sent = append(f.sent, r)
			if arrives(n.name) {
				f.record(r)
			}
		}
	}
}

func everyNode(string) bool { return true }

func (f *rootHarness) startRollout(id, text string) *Rollout {
	for range 4 {
		f.passSlice(everyNode, "")
		f.lead()
	}
	require.Empty(f.t, f.apply(Command{Start: &Start{id, []byte(text), "desk", "try"}})[1:], "only a notification")
	f.lead()
	f.passSlice(everyNode, "")
	return f.root.Plan().Rollout(id)
}

// T1 to T3, under any sequence of events: late, lost and repeated records, any number of them in an entry, operators' commands,
// and replicas that restore snapshots.
func TestRootStateUnderAnySequenceOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newRootHarness(rt)
		newest := map[string]Record{}
		take := func(r Record) {
			f.record(r)
			if r.Sequence > newest[r.Node].Sequence {
				newest[r.Node] = r
			}
		}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			id := rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "id")
			text := map[string]string{"x": trialText, "y": `{"round_us":7}`}[id]
			var c Command
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 1, 2, 3:
				lost := rapid.IntRange(0, 3).Draw(rt, "lost")
				fires := rapid.SampledFrom([]string{"", "", "", "n00", "n10"}).Draw(rt, "fires")
				at := len(f.sent)
				f.passSlice(func(string) bool { return false }, fires)
				for i, r := range f.sent[at:] {
					if lost == 0 || i%4 != lost {
						take(r)
					}
				}
				f.lead()
				continue
			case 4, 5:
				if len(f.sent) > 0 {
					r := rapid.SampledFrom(f.sent).Draw(rt, "again")
					take(r)
					before := f.root.Encode()
					f.root.Record(f.index, f.now, r)
					require.Equal(rt, string(before), string(f.root.Encode()), "a repetition in the same entry has no effect")
					applied := f.root.Plan().Applied()
					f.record(r)
					require.Equal(rt, applied, f.root.Plan().Applied(), "a repetition in another entry has no effect")
				}
				continue
			case 6:
				c.Start = &Start{id, []byte(text), "desk", "try"}
			case 7:
				c.Halt = &Halt{ID: id, Cause: Operator, By: "desk", Why: "enough"}
			case 8:
				c.Resume = &OperatorAction{ID: id, By: "desk", Why: "again"}
			case 9:
				c.Force = &OperatorAction{ID: id, Stage: Stage(rapid.IntRange(0, 2).Draw(rt, "stage")), By: "desk", Why: "known"}
			}
			before := string(f.root.Encode())
			why := f.root.Check(c)
			require.Equal(rt, before, string(f.root.Encode()), "a check changes nothing")
			effects := f.apply(c)
			require.Equal(rt, why != nil, len(effects) == 1 && effects[0].Kind == Refused, "%+v %v", c, why)
			once := string(f.root.Encode())
			c.At = f.now
			require.Empty(rt, f.root.Apply(f.index, c))
			require.Equal(rt, once, string(f.root.Encode()), "a repetition in the same entry has no effect")
			replica, err := DecodeRootState(f.root.Clone().Encode())
			require.NoError(rt, err)
			require.Equal(rt, once, string(replica.Encode()))
			for _, s := range f.tree.Sites {
				require.Equal(rt, string(f.root.SitePolicies(s.Name).Bytes()), string(replica.SitePolicies(s.Name).Bytes()), "T2")
			}
			f.root = replica
			f.lead()
		}
		for name, r := range newest {
			require.Equal(rt, r.Status, f.root.ingested[name].Status, "T1: a status is never replaced by an older one")
		}
	})
}

// T4: with and without the records before the newest, and in reverse order. Each node's process restarts in between and has no
// memory of the slices before.
func TestLostRecordsBeforeTheNewestHaveNoEffect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newRootHarness(rt)
		r := f.startRollout("x", trialText)
		fires := ""
		if rapid.Bool().Draw(rt, "fires") {
			fires = r.Treated[0].Node
		}
		lossy, backwards, at := f.root.Clone(), f.root.Clone(), len(f.sent)
		first := uint64(f.now / f.limits.Slice)
		f.passSlice(everyNode, fires)
		f.passSlice(everyNode, "")
		started, last := len(f.sent), map[string]int{}
		for _, n := range f.nodes {
			n.reporter = NewReporter(n.name, n.site)
		}
		f.passSlice(everyNode, "")
		f.passSlice(everyNode, "")
		for i, r := range f.sent[at:] {
			last[fmt.Sprint(r.Node, at+i < started)] = i
		}
		for i, r := range f.sent[at:] {
			if i == last[fmt.Sprint(r.Node, at+i < started)] || rapid.Bool().Draw(rt, "kept") {
				lossy.Record(f.index+uint64(i), f.now, r)
			}
			backwards.Record(f.index+uint64(i), f.now, f.sent[len(f.sent)-1-i])
		}
		full := f.root.Clone()
		for _, p := range []*Plan{full.plan, lossy.plan, backwards.plan} {
			p.s.Applied, p.s.At = 0, f.now
			for _, r := range p.s.Rollouts { // the same events were logged at different times
				for i := range r.Log {
					r.Log[i].At = 0
				}
			}
		}
		require.Equal(rt, string(full.plan.Encode()), string(lossy.plan.Encode()))
		require.Equal(rt, string(full.plan.Encode()), string(backwards.plan.Encode()))
		require.Equal(rt, fires != "", lossy.plan.Rollout("x").Cause == Guard)
		i := slices.IndexFunc(full.plan.s.OpenWindows, func(w *window) bool { return w.Number == first })
		require.GreaterOrEqual(rt, i, 0)
		require.Len(rt, full.plan.s.OpenWindows[i].Nodes, len(f.nodes))
		for name, ta := range full.plan.s.OpenWindows[i].Nodes {
			require.True(rt, !ta.Unusable && ta.Sums["c"+sep].Offered == 2000, name)
		}
	})
}

// A guard halts the rollout whenever its record arrives, unless a later treatment than the one in which it fired is under way.
func TestAGuardOfAnEarlierTreatmentHasNoEffect(t *testing.T) {
	f := newRootHarness(t)
	r := f.startRollout("x", trialText)
	first := r.Treated[0].Node
	f.apply(Command{Halt: &Halt{ID: "x", Cause: Operator, By: "desk", Why: "a doubt"}})
	f.passSlice(func(n string) bool { return n != first }, "")
	at := len(f.sent)
	f.now += time.Second
	n := f.nodes[slices.IndexFunc(f.nodes, func(n *harnessNode) bool { return n.name == first })]
	n.reporter.Count(f.now, r.Policy, nil, []string{"drain"}) // counted by the traffic loop and reported late
	late, err := ParseRecord(n.reporter.Pending())
	require.NoError(t, err)
	n.reporter = NewReporter(n.name, n.site) // a restart: no later record repeats the guard
	for r.Phase != Halted {
		f.lead()
		f.passSlice(everyNode, "")
	}
	f.apply(Command{Resume: &OperatorAction{ID: "x", By: "desk", Why: "cleared"}})
	f.lead()
	f.passSlice(everyNode, "")
	f.record(late)
	for _, r := range f.sent[at:] {
		f.record(r)
	}
	require.Equal(t, Running, r.Phase, "%v", r.Log)
	require.Equal(t, 2, r.Attempt)
	starts := func(slice uint64) {
		last := f.sent[len(f.sent)-1]
		last.Node, last.Slices = first, []Evidence{{Policy: r.Policy, Slice: slice, Starts: 3}}
		f.record(last)
	}
	starts(uint64(f.now/f.limits.Slice) - 30)
	require.Equal(t, Running, r.Phase, "%v", r.Log)
	other := f.root.Clone()
	f.passSlice(everyNode, r.Treated[0].Node)
	require.Equal(t, Guard, r.Cause, "%v", r.Log)
	f.root = other
	starts(uint64(f.now / f.limits.Slice))
	require.Equal(t, Guard, f.root.Plan().Rollout("x").Cause)
}

func TestNodesThatStopReportingAreUnreachable(t *testing.T) {
	f := newRootHarness(t)
	r := f.startRollout("x", trialText)
	arrives := func(n string) bool { return n != "n00" }
	for range 4 {
		f.passSlice(arrives, "")
		f.lead()
	}
	assert.True(t, f.root.plan.s.Nodes["n00"].Unreachable)
	f.passSlice(everyNode, "")
	f.lead()
	assert.False(t, f.root.plan.s.Nodes["n00"].Unreachable)
	late := f.sent[len(f.sent)-1]
	late.Sequence += uint64(48 * hour / time.Microsecond)
	f.index++
	assert.Equal(t, Refused, f.root.Record(f.index, f.now, late)[0].Kind, "a time in the future")
	assert.Equal(t, Running, r.Phase, "%v", r.Log)
	late.Node, late.Sequence = "nobody", 1
	f.record(late)
	assert.NotContains(t, f.root.ingested, "nobody")
	f.tree = Tree{Sites: f.tree.Sites[:3]}
	f.lead()
	assert.NotContains(t, f.root.ingested, "n30")
	f.limits.Slice, f.limits.TrialLease = hour, 2*hour
	f.tree.Sites[0].Nodes = append(f.tree.Sites[0].Nodes, f.tree.Sites[0].Nodes[0])
	f.lead()
	assert.Equal(t, 10*time.Minute, f.root.SitePolicies("b0").Slice, "not changed during a rollout")
	assert.Equal(t, 2*hour, f.root.SitePolicies("b0").TrialLease)
	assert.Len(t, f.root.plan.s.Tree.Sites[0].Nodes, 2, "a tree that names a node twice is not proposed")
}

func TestSitePoliciesFitIntoAWriteAndATrialCanBeWithheld(t *testing.T) {
	f := newRootHarness(t)
	huge := fmt.Sprintf(`{"extra":{"message_aim_us":{%q:1}}}`, strings.Repeat("c", maxPolicyBytes))
	for what, c := range map[string]Command{"bytes": {Start: &Start{"x", []byte(huge), "desk", "try"}},
		"the ID": {Start: &Start{strings.Repeat("x", 41), []byte(trialText), "desk", "try"}},
		"JSON":   {Start: &Start{"x", []byte(`{`), "desk", "try"}}} {
		require.ErrorContains(t, f.root.Check(c), what)
		require.Equal(t, Refused, f.apply(c)[0].Kind)
	}
	f.startRollout("x", trialText)
	good := f.root.plan.s.Good
	f.root.plan.s.Texts[good] = []byte(huge[:40] + huge[60:])
	large := Command{Start: &Start{"z", []byte(huge[:40] + huge[80:]), "desk", "try"}}
	require.ErrorContains(t, f.root.Check(large), "the good policy and those of the active rollouts")
	f.root.plan.s.Texts[good] = EmptyPolicy().Text()
	require.Nil(t, f.root.Check(large))
	f.startRollout("y", `{"round_us":7}`)
	require.ErrorContains(t, f.root.Check(Command{Start: &Start{"z", []byte(`{"round_us":8}`), "desk", "try"}}), "rollouts are active")
	x := f.root.Plan().Rollout("x")
	node, d := x.Treated[0].Node, f.root.SitePolicies(f.root.plan.topology.site[x.Treated[0].Node])
	assigned := d.Assigned(node, nil)
	assert.Equal(t, f.root.Plan().Assigned(node), assigned)
	assert.JSONEq(t, trialText, string(d.Text(assigned.Policy)))
	withheld := d.Assigned(node, func(id string) bool { return id == "x" })
	assert.Equal(t, Assignment{Round: assigned.Round, Policy: d.Good, Good: d.Good}, withheld)
	assert.Equal(t, Assignment{Policy: d.Good, Good: d.Good}, d.Assigned("nobody", nil))
	changed := d.Nodes[node].Changed
	assert.Equal(t, []int{1, 0}, []int{d.Disrupted(changed), d.Disrupted(changed + d.Settle)})

	for i := range 300 { // each node switched alone
		d.Nodes[fmt.Sprintf("regency-07/building-%03d", i)] = NodeEntry{uint64(i+1)<<28 + 1, assigned.Policy,
			strings.Repeat("x", maxIDBytes), 2000000*hour + time.Duration(i)}
	}
	assert.Less(t, len(d.Bytes())+maxPolicyBytesTotal, 60<<10, "including the texts")
	assert.Equal(t, string(d.Bytes()), string(d.Bytes()))
	encoded := string(f.root.SitePolicies("b0").Bytes())
	for _, bad := range []string{"", encoded[1:], encoded[:len(encoded)-1], strings.Replace(encoded, `{"site"`, `{ "site"`, 1),
		strings.Replace(encoded, `{}`, `{"round_us":1}`, 1), sitePoliciesHead + "{}" + recordEnd, sitePoliciesHead + "{" + recordEnd} {
		_, err := ParseSitePolicies([]byte(bad))
		var u *DecodeError
		require.ErrorAs(t, err, &u, bad)
	}
	for _, bad := range []string{"", rootHead + "{}" + endMark, rootHead + "x" + endMark} {
		_, err := DecodeRootState([]byte(bad))
		var u *DecodeError
		require.ErrorAs(t, err, &u, bad)
	}
}

func TestStagesAreNamed(t *testing.T) {
	for s := range stageCount {
		got, ok := StageOf(s.String())
		assert.True(t, ok)
		assert.Equal(t, s, got)
	}
	_, ok := StageOf(stageCount.String())
	assert.False(t, ok)
}
