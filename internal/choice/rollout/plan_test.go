package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	trialText = `{"permissions":{"max_attempts":2}}`
	hour      = time.Hour
)

// harness is a plan with a leader that never fails and nodes that apply assignments at once, in two regencies of two
// buildings each.
type harness struct {
	t        *testing.T
	p        *Plan
	index    uint64
	now      time.Duration
	countsOf func(node string, trial bool) Counts
}

func steadyCounts(string, bool) Counts { return Counts{Class: "c", Offered: 1000, Served: 990} }

func newHarness(t *testing.T, countsOf func(string, bool) Counts) *harness {
	b := &harness{t: t, p: NewPlan(), now: 1000 * hour, countsOf: countsOf}
	l := Defaults()
	l.Slice, l.WindowSlices, l.BaselineWindows, l.Settle, l.MaxHold, l.MaxDisrupted = 10*time.Minute, 3, 4, time.Minute, 4*hour, 3
	b.apply(Command{Limits: &l})
	var tree Tree
	for s := range 4 {
		site := Site{Name: fmt.Sprint("b", s), Parent: fmt.Sprint("r", s/2)}
		for n := range 3 {
			site.Nodes = append(site.Nodes, TreeNode{fmt.Sprintf("n%d%d", s, n), site.Name})
		}
		tree.Sites = append(tree.Sites, site)
	}
	b.apply(Command{Tree: &tree})
	b.run(5 * hour)
	return b
}

func (b *harness) apply(c Command) []Effect {
	b.index++
	c.At = b.now
	effects := b.p.Apply(b.index, c)
	for _, e := range effects {
		if e.Kind == Assign {
			a := b.p.Assigned(e.Node)
			b.index++
			b.p.Apply(b.index, Command{At: b.now, Status: &NodeStatus{Node: e.Node, Round: a.Round, Policy: a.Policy}})
		}
	}
	return effects
}

func (b *harness) start() *Rollout {
	b.apply(Command{Start: &Start{ID: "x", Policy: []byte(trialText), By: "desk", Why: "try"}})
	require.NotNil(b.t, b.p.Rollout("x"))
	return b.p.Rollout("x")
}

// run advances the time, slice by slice.
func (b *harness) run(duration time.Duration) {
	for end := b.now + duration; b.now < end; {
		slice := uint64(b.now / b.p.s.Limits.Slice)
		b.now += b.p.s.Limits.Slice
		for _, name := range b.p.topology.allNodes {
			a := b.p.Assigned(name)
			e := Evidence{Node: name, Policy: a.Policy, Slice: slice, Counts: []Counts{b.countsOf(name, a.Trial)}}
			b.apply(Command{Evidence: &e})
		}
		b.lead()
	}
}

func (b *harness) lead() {
	for n := 0; ; n++ {
		require.Less(b.t, n, 100, "the leader never stops proposing")
		c, ok := b.p.Next(b.now, 0)
		if !ok {
			return
		}
		b.apply(c)
		require.LessOrEqual(b.t, b.p.Disrupted(b.now), 3+12*len(b.p.s.Rollouts), "only a rollback may exceed the disruption budget")
	}
}

func TestAHarmlessPolicyBecomesTheGoodOne(t *testing.T) {
	b := newHarness(t, steadyCounts)
	r := b.start()
	b.run(60 * hour)
	require.Equal(t, Done, r.Phase, "%+v", r)
	assert.Equal(t, r.Policy, b.p.Good())
	assert.Equal(t, []byte(trialText), b.p.Text(r.Policy))
	for _, name := range b.p.topology.allNodes {
		assert.Equal(t, Assignment{Round: b.p.s.Nodes[name].Round, Policy: r.Policy, Good: r.Policy}, b.p.Assigned(name))
	}
	stages := map[Stage]int{}
	for _, tr := range r.Treated {
		stages[tr.Stage]++
	}
	assert.Equal(t, map[Stage]int{OneNode: 1, OneBuilding: 1, OneRegency: 2, All: 4, Stage(Stages): 4}, stages)
}

// Each metric halts a rollout on its own, even if the others improve.
func TestEveryMetricHalts(t *testing.T) {
	setUps := func(slow int) []byte {
		s := NewSetUps()
		for i := range 200 {
			s.Add(10*time.Millisecond + time.Duration(i%20)*time.Millisecond)
		}
		for range slow {
			s.Add(80 * time.Millisecond)
		}
		return s.Bytes()
	}
	quick, slow := setUps(0), setUps(40)
	for want, serve := range map[string]func(string, bool) Counts{
		"c  lost": func(_ string, trial bool) Counts {
			return map[bool]Counts{false: {Class: "c", Offered: 1000, Served: 990}, true: {Class: "c", Offered: 1000, Served: 930}}[trial]
		},
		"c t broken": func(_ string, trial bool) Counts {
			c := Counts{Class: "c", Tenant: "t", Offered: 1000, Served: 990}
			if trial {
				c.Served, c.Breaks = 1000, 60 // more requests are served, but more connections break
			}
			return c
		},
		"c  slow": func(_ string, trial bool) Counts {
			c := Counts{Class: "c", Offered: 1000, Served: 990, SetUp: quick}
			if trial {
				c.Served, c.SetUp = 1000, slow
			}
			return c
		},
	} {
		b := newHarness(t, serve)
		r := b.start()
		b.run(20 * hour)
		require.Equal(t, Halted, r.Phase, want)
		assert.Equal(t, Regression, r.Cause, want)
		assert.Equal(t, OneNode, r.Stage, want)
		assert.Contains(t, fmt.Sprint(r.Log), want)
		assert.NotEqual(t, r.Policy, b.p.Good())
	}
}

func TestMissingEvidenceHoldsAndIsRolledBack(t *testing.T) {
	for name, change := range map[string]func(b *harness, r *Rollout){
		"too few requests": func(b *harness, _ *Rollout) {
			b.countsOf = func(string, bool) Counts { return Counts{Class: "c", Offered: 20, Served: 20} }
		},
		"both sides in trouble": func(b *harness, _ *Rollout) {
			b.countsOf = func(string, bool) Counts { return Counts{Class: "c", Offered: 1000, Served: 400} }
		},
		"maintenance": func(b *harness, r *Rollout) {
			b.apply(Command{Maintenance: &Maintenance{Zones: []string{b.p.topology.zone[r.Targets[0][0]]}}})
		},
		"unknown class": func(b *harness, r *Rollout) {
			b.countsOf = func(string, bool) Counts { return Counts{Class: "d", Offered: 1000, Served: 1000} }
		},
	} {
		b := newHarness(t, steadyCounts)
		r := b.start()
		b.lead()
		change(b, r)
		b.run(3 * hour)
		assert.Equal(t, Running, r.Phase, name)
		assert.Equal(t, OneNode, r.Stage, name)
		assert.NotEmpty(t, r.Missing, name)
		b.run(3 * hour)
		assert.Equal(t, Halted, r.Phase, name)
		assert.Equal(t, Unproven, r.Cause, name)
	}
}

func TestAGuardHaltsAtOnceAndTheLatestStageIsRolledBackFirst(t *testing.T) {
	b := newHarness(t, steadyCounts)
	r := b.start()
	for r.Stage < OneRegency || len(r.Treated) < 4 {
		b.run(b.p.s.Limits.Slice)
	}
	last := r.Treated[len(r.Treated)-1].Node
	b.index++
	b.p.Apply(b.index, Command{At: b.now, Unreachable: &NodeName{Node: last}})
	b.apply(Command{Evidence: &Evidence{Node: r.Treated[0].Node, Policy: r.Policy, Slice: 1, Starts: b.p.s.Limits.MaxCrashes}})
	require.Equal(t, Halting, r.Phase, "even on evidence too late to be evaluated")
	assert.Equal(t, Guard, r.Cause)
	var order []Stage
	for {
		c, any := b.p.Next(b.now, 0)
		if !any {
			break
		}
		if c.RollBack != nil {
			order = append(order, c.RollBack.Stage)
		}
		b.apply(c)
	}
	assert.Equal(t, []Stage{OneRegency, OneBuilding, OneNode}, order)
	assert.Equal(t, Halted, r.Phase, "unreachable nodes do not delay the rollback")
	assert.Equal(t, b.p.Good(), b.p.Assigned(last).Policy, "an unreachable node is rolled back when it returns")
	for _, c := range []Command{{Force: &OperatorAction{ID: "x", Stage: r.Stage, By: "desk", Why: "no"}},
		{Resume: &OperatorAction{ID: "x", By: "desk", Why: "no"}},
		{Halt: &Halt{ID: "x", Cause: Operator, By: "desk", Why: "no"}},
		{Start: &Start{ID: "y", Policy: []byte(`{}`), By: "d", Why: "w"}},
		{Start: &Start{ID: "y", Policy: []byte(`{"me":1}`), By: "d", Why: "w"}},
		{Force: &OperatorAction{ID: "none", By: "desk", Why: "no"}},
		{Start: &Start{ID: "x", Policy: []byte(`{"round_us":1}`), By: "d", Why: "w"}}, {Limits: &Limits{}}} {
		e := b.apply(c)
		require.Len(t, e, 1, "%+v", c)
		require.Equal(t, Refused, e[0].Kind)
		assert.NotEmpty(t, e[0].Err.Action())
		assert.Equal(t, Halted, r.Phase)
	}
}

// A rollback waits, stage by stage, for nodes that have not confirmed it, for at most the length of a trial lease.
func TestARollbackWaitsForUnconfirmedNodes(t *testing.T) {
	b := newHarness(t, steadyCounts)
	r := b.start()
	for r.Stage < OneBuilding || len(r.Treated) < 2 {
		b.run(b.p.s.Limits.Slice)
	}
	b.apply(Command{Halt: &Halt{ID: "x", Cause: Operator, By: "desk", Why: "enough"}})
	c, _ := b.p.Next(b.now, 0)
	require.NotNil(t, c.RollBack)
	b.index++
	b.p.Apply(b.index, c) // no node confirms
	_, any := b.p.Next(b.now+b.p.s.Limits.TrialLease-1, 0)
	assert.False(t, any)
	c, any = b.p.Next(b.now+b.p.s.Limits.TrialLease, 0)
	require.True(t, any)
	assert.Equal(t, OneNode, c.RollBack.Stage)
	b.index++
	assert.Empty(t, b.p.Apply(b.index, Command{At: b.now, RollBack: &StageRef{"x", OneNode}}), "proposed too early, it changes nothing")
}

// After any sequence of commands all replicas have the same state, which survives encoding, decoding and copying.
func TestReplicasAgreeAfterAnySequenceOfCommands(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 4))
		b := newHarness(t, steadyCounts)
		other := b.p.Clone()
		nodes := append(b.p.topology.allNodes, "nobody", "")
		ids := []string{"x", "y", "", "\xff"}
		for range 400 {
			b.now += time.Duration(rng.IntN(int(20 * time.Minute)))
			id, n, st := ids[rng.IntN(len(ids))], nodes[rng.IntN(len(nodes))], Stage(rng.IntN(Stages+1))
			c, ok := b.p.Next(b.now, rng.IntN(4))
			if !ok || rng.IntN(2) == 0 {
				c = []Command{{Evidence: &Evidence{Node: n, Policy: b.p.Assigned(n).Policy,
					Slice:  uint64(b.now/b.p.s.Limits.Slice) - uint64(rng.IntN(9)),
					Counts: []Counts{{Class: "c", Offered: 900, Served: uint64(rng.IntN(1000)), SetUp: []byte("x")}}}},
					{Start: &Start{id, []byte(fmt.Sprintf(`{"round_us":%d}`, rng.IntN(3))), "d", "w"}},
					{Halt: &Halt{ID: id, Cause: Cause(rng.IntN(int(causeCount))), By: "d", Why: "w"}},
					{Force: &OperatorAction{id, st, "d", "w"}},
					{Resume: &OperatorAction{ID: id, By: "d", Why: "w"}}, {Unreachable: &NodeName{n}}, {Reachable: &NodeName{n}},
					{Close: &Close{rng.Uint64N(3000)}},
					{Treat: &Treat{id, st, []string{n}, 0}}, {Advance: &StageRef{id, st}},
					{RollBack: &StageRef{id, st}}, {Finish: &StageRef{id, st}},
					{Maintenance: &Maintenance{[]string{"b1", "b0"}[:rng.IntN(3)]}},
					{Status: &NodeStatus{n, b.p.Assigned(n).Round, b.p.Good(), Fallback(rng.IntN(3))}}}[rng.IntN(14)]
			}
			b.index++
			c.At = b.now - time.Duration(rng.IntN(int(time.Hour)))
			assert.Equal(t, fmt.Sprint(b.p.Apply(b.index, c)), fmt.Sprint(other.Apply(b.index, c)))
			assert.Nil(t, b.p.Apply(b.index, c), "a repeated index has no effect")
			if rng.IntN(20) == 0 {
				var err error
				other, err = Decode(other.Encode())
				require.NoError(t, err)
			}
			owners := map[string]string{}
			for _, r := range b.p.Rollouts() {
				for _, tr := range r.Treated {
					if !tr.RolledBack && r.Phase.Active() {
						require.Empty(t, owners[tr.Node], "two rollouts treat the same node")
						owners[tr.Node] = r.ID
					}
				}
			}
		}
		require.Equal(t, string(b.p.Encode()), string(other.Encode()))
	}
	raw := string(newHarness(t, steadyCounts).p.Encode())
	for _, bad := range []string{"", raw[:len(raw)-2], raw[1:], strings.Replace(raw, `{"applied"`, `{ "applied"`, 1),
		planHead + "{}" + endMark} {
		_, err := Decode([]byte(bad))
		var u *DecodeError
		assert.ErrorAs(t, err, &u)
	}
}

// Each replica validates the leader's proposals: one without enough evidence or budget, or for nodes that are unreachable,
// without a baseline or treated by another rollout, changes nothing.
func TestReplicasValidateTheLeadersProposals(t *testing.T) {
	b := newHarness(t, steadyCounts)
	r := b.start()
	fresh := clone(b.p.s.Tree)
	fresh.Sites[0].Nodes = append(fresh.Sites[0].Nodes, TreeNode{"new", "b0"})
	b.apply(Command{Tree: &fresh})
	first := r.Targets[OneNode][0]
	r.Targets[OneNode] = append(r.Targets[OneNode], "new", "n10", "n11", "n12") // as if all were targets of the first stage
	unchanged := func(what string, c Command) {
		t.Helper()
		index, before := b.index+1, b.p.Clone()
		b.index, c.At = index, b.now
		b.p.Apply(index, c)
		before.s.Applied = index
		require.Equal(t, string(before.Encode()), string(b.p.Encode()), what)
	}
	treat := func(out int, nodes ...string) Command { return Command{Treat: &Treat{"x", OneNode, nodes, out}} }
	unchanged("no budget", treat(3, first))
	unchanged("more than the budget", treat(0, first, "n10", "n11", "n12"))
	unchanged("no baseline", treat(0, "new"))
	unchanged("another stage", Command{Treat: &Treat{"x", OneBuilding, []string{first}, 0}})
	unchanged("not a target", treat(0, "nobody"))
	b.index++
	b.p.Apply(b.index, Command{At: b.now, Unreachable: &NodeName{first}})
	unchanged("unreachable", treat(0, first))
	b.index++
	b.p.Apply(b.index, Command{At: b.now, Reachable: &NodeName{first}})
	for _, c := range []Command{{Advance: &StageRef{"x", OneNode}}, {Halt: &Halt{ID: "x", Cause: Regression}},
		{Halt: &Halt{ID: "x", Cause: Unproven}},
		{Halt: &Halt{ID: "x"}}, {RollBack: &StageRef{"x", OneNode}}, {Finish: &StageRef{"x", OneNode}}, {Close: &Close{1 << 40}},
		{Close: &Close{1}}} {
		unchanged(fmt.Sprintf("%+v", c), c)
	}
	b.apply(treat(0, first))
	assert.Len(t, r.Treated, 1)
	unchanged("already treated", treat(0, first))
}

// Evidence has no effect if it is late, duplicate, tainted, of more than one policy, of a zone in maintenance, or of a window
// in which the policy changed.
func TestUnusableEvidence(t *testing.T) {
	b := newHarness(t, steadyCounts)
	r := b.start()
	b.lead()
	first, l := r.Treated[0].Node, b.p.s.Limits
	zone := b.p.topology.zone[first]
	number := uint64(b.now/l.Slice)/uint64(l.WindowSlices) + 1 // the first complete one under the trial
	at := func(slice uint64) time.Duration { return time.Duration(number*uint64(l.WindowSlices)+slice) * l.Slice }
	fit := func(do func(e *Evidence, p *Plan)) bool {
		p := b.p.Clone()
		send := func(c Command) { p.Apply(p.s.Applied+1, c) }
		for i := range uint64(l.WindowSlices) {
			e := Evidence{Node: first, Policy: r.Policy, Slice: number*uint64(l.WindowSlices) + i, Counts: []Counts{steadyCounts("", true)}}
			if do != nil && i == 1 {
				do(&e, p)
			}
			send(Command{At: at(i + 1), Evidence: &e})
			send(Command{At: at(i + 1), Evidence: &e}) // a duplicate
		}
		w := p.s.OpenWindows[len(p.s.OpenWindows)-1]
		tally := p.usableTally(w, first, r.Policy)
		if tally != nil {
			assert.Equal(t, 3000.0, tally.Sums["c"+sep].Offered, "each slice counts once")
		}
		return tally != nil
	}
	assert.True(t, fit(nil))
	for name, do := range map[string]func(e *Evidence, p *Plan){
		"tainted":        func(e *Evidence, _ *Plan) { e.Tainted = true },
		"two policies":   func(e *Evidence, _ *Plan) { e.Policy = "other" },
		"invalid counts": func(e *Evidence, _ *Plan) { e.Counts[0].Served = 2000 },
		"invalid text":   func(e *Evidence, _ *Plan) { e.Counts[0].Class = "\xff" },
		"in maintenance": func(_ *Evidence, p *Plan) {
			p.Apply(p.s.Applied+1, Command{At: at(1), Maintenance: &Maintenance{[]string{zone}}})
			p.Apply(p.s.Applied+1, Command{At: at(1), Maintenance: &Maintenance{}})
		},
		"policy changed": func(_ *Evidence, p *Plan) { p.s.Nodes[first].Changed = at(1) },
	} {
		if name == "in maintenance" {
			p := b.p.Clone() // maintenance that ended before the first evidence of the window arrived
			p.Apply(p.s.Applied+1, Command{At: at(0), Maintenance: &Maintenance{[]string{zone}}})
			p.Apply(p.s.Applied+1, Command{At: at(1) - 1, Maintenance: &Maintenance{}})
			assert.Contains(t, p.taintedZones(number), zone)
			assert.NotContains(t, p.taintedZones(number+1), zone)
		}
		assert.False(t, fit(do), name)
	}
	e := Evidence{Node: first, Policy: r.Policy, Slice: uint64(b.now/l.Slice) + 100, Counts: []Counts{steadyCounts("", true)}}
	assert.Equal(t, Refused, b.apply(Command{Evidence: &e})[0].Kind, "a time in the future")
	open := len(b.p.s.OpenWindows)
	e.Slice = 1
	b.apply(Command{Evidence: &e})
	assert.Len(t, b.p.s.OpenWindows, open, "evidence of a closed window has no effect")
}

func TestTheLaterRolloutWaitsAndIsSuperseded(t *testing.T) {
	b := newHarness(t, steadyCounts)
	x := b.start()
	b.run(hour)
	b.apply(Command{Start: &Start{ID: "y", Policy: []byte(`{"round_us":7}`), By: "desk", Why: "another"}})
	y := b.p.Rollout("y")
	b.apply(Command{Force: &OperatorAction{ID: "y", By: "desk", Why: "known"}})
	for x.Phase != Done {
		require.Less(t, b.now, 1100*hour)
		b.run(b.p.s.Limits.Slice)
		require.False(t, y.Phase == Running && y.Stage == All, "it waits before its last stage")
		for _, tr := range x.Treated {
			for _, o := range y.Treated {
				require.True(t, tr.Node != o.Node || o.RolledBack, "a node is treated by one rollout only")
			}
		}
	}
	b.run(hour)
	assert.Equal(t, Halted, y.Phase)
	assert.Equal(t, Superseded, y.Cause)
	for _, name := range b.p.topology.allNodes {
		assert.Equal(t, x.Policy, b.p.Assigned(name).Policy)
	}
	e := b.apply(Command{Resume: &OperatorAction{ID: "y", By: "desk", Why: "again"}})
	assert.Equal(t, Refused, e[0].Kind, "the policy that it was compared with is no longer the good one")
}

// A node that always loses requests is compared with its own baseline, and a loss common to all nodes during a rollout does not
// move any baseline.
func TestNodesThatAlwaysDifferAreNotBlamed(t *testing.T) {
	b := newHarness(t, func(name string, _ bool) Counts {
		return Counts{Class: "c", Offered: 1000, Served: 990 - 30*uint64(name[2]-'0')}
	})
	r := b.start()
	b.run(2 * hour)
	before := clone(b.p.s.Nodes)
	always := b.countsOf
	b.countsOf = func(name string, trial bool) Counts {
		c := always(name, trial)
		c.Served -= 15
		return c
	}
	b.run(2 * hour)
	for name, n := range b.p.s.Nodes {
		assert.Equal(t, before[name].Baselines, n.Baselines, "baselines are frozen during a rollout")
	}
	b.run(60 * hour)
	assert.Equal(t, Done, r.Phase, "%+v", r.Log)
}

// A stage waits for nodes without evidence, whether they are a whole regency or single nodes.
func TestAStageWaitsForNodesWithoutEvidence(t *testing.T) {
	for missing, coverage := range map[string]float64{"no node has spoken of r": 0.1, " nodes have spoken": 0.9} {
		b := newHarness(t, steadyCounts)
		l := b.p.s.Limits
		l.Coverage, l.MaxHold = coverage, 200*hour
		b.apply(Command{Limits: &l})
		r := b.start()
		withoutEvidence := map[string]bool{}
		for _, names := range r.Targets[PartOfProvince : All+1] {
			for _, name := range names {
				withoutEvidence[name] = coverage < 0.5 || len(withoutEvidence) == 0
			}
		}
		b.countsOf = func(name string, trial bool) Counts {
			if trial && withoutEvidence[name] {
				return Counts{Class: "c"}
			}
			return steadyCounts(name, trial)
		}
		b.run(80 * hour)
		assert.Equal(t, Running, r.Phase, missing)
		assert.Contains(t, r.Missing, missing)
	}
}

// The nodes that a stage adds need coverage of their own: otherwise a stage that adds few nodes could reach the coverage through
// the evidence of the nodes of earlier stages.
func TestAStageDoesNotEndOnEvidenceOfEarlierStages(t *testing.T) {
	b := newHarness(t, steadyCounts)
	l := b.p.s.Limits
	l.Coverage, l.MaxHold = 0.5, 200*hour
	b.apply(Command{Limits: &l})
	r := b.start()
	first := r.Targets[OneNode][0]
	b.countsOf = func(name string, trial bool) Counts {
		if trial && name != first {
			return Counts{Class: "c"}
		}
		return steadyCounts(name, trial)
	}
	b.run(40 * hour)
	assert.Equal(t, "running building", r.Phase.String()+" "+r.Stage.String())
	assert.Equal(t, "of those that this stage adds, 0 of 1 nodes have spoken", r.Missing)
	b.countsOf = steadyCounts
	b.run(60 * hour)
	assert.Equal(t, Done, r.Phase, "%+v", r.Log)
}

func TestOperatorActionsNeedAReason(t *testing.T) {
	b := newHarness(t, steadyCounts)
	r := b.start()
	for _, c := range []Command{{Start: &Start{ID: "y", Policy: []byte(`{"round_us":7}`), By: "desk"}},
		{Force: &OperatorAction{ID: "x", Why: "w"}},
		{Start: &Start{ID: "z", Policy: []byte(trialText), By: "desk", Why: "twice"}},
		{Force: &OperatorAction{"x", OneBuilding, "desk", "w"}},
		{Halt: &Halt{ID: "x", Cause: Operator, Why: "w"}}, {Resume: &OperatorAction{ID: "x", By: "desk", Why: "it runs"}}} {
		e := b.apply(c)
		require.Len(t, e, 1, "%+v", c)
		assert.Equal(t, Refused, e[0].Kind)
		assert.NotEmpty(t, e[0].Err.Action())
	}
	assert.Equal(t, Running, r.Phase)
	assert.Len(t, b.p.Rollouts(), 1)
}

func TestAStageThatIsUndecidedForTooLongIsRolledBack(t *testing.T) {
	b := newHarness(t, steadyCounts)
	l := b.p.s.Limits
	l.MaxStageTime = hour
	b.apply(Command{Limits: &l})
	r := b.start()
	b.run(2 * hour)
	assert.Equal(t, Unproven, r.Cause)
	assert.Contains(t, fmt.Sprint(r.Log), "undecided")
}
