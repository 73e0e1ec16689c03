package rollout

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each test in this file guards a line of the package that could be broken without any other test of the package failing.

func TestStartsAreResetForANewTrial(t *testing.T) {
	h := NewNodePolicy(Stored{Good: "g", Trial: "t", Round: 4, Starts: 1}, 3, time.Minute, 0)
	require.Equal(t, 2, h.Stored().Starts)
	trial := Assignment{Round: 5, Policy: "u", Good: "g", Trial: true, Lease: 2 * time.Minute}
	require.True(t, h.HandleAssignment(trial, time.Second, acceptAny))
	assert.Zero(t, h.Stored().Starts, "the starts counted before were of another trial")
	_, next := h.CheckLease(90 * time.Second)
	assert.Equal(t, 121*time.Second, next, "the lease is that of the newest answer")
	trial.Round = 6
	trial.Policy = "v"
	h.HandleAssignment(trial, 2*time.Second, func(Hash) error { return errors.New("faulty") })
	assert.False(t, h.HandleAssignment(trial, 3*time.Second, acceptAny), "an invalid trial is not tried again in its round")
	h = NewNodePolicy(Stored{Good: "g", Trial: "t", Round: 4, Starts: 1}, 3, time.Minute, 0)
	h.HandleAssignment(Assignment{Round: 5, Policy: "g", Good: "g"}, time.Second, acceptAny)
	assert.Equal(t, Stored{Good: "g", Round: 5}, h.Stored())
}

// newTreatedHarness returns a harness with a running rollout that has at least two treated nodes.
func newTreatedHarness(t *testing.T) (*harness, *Rollout) {
	b := newHarness(t, steadyCounts)
	r := b.start()
	for r.Stage < OneBuilding || len(r.Treated) < 2 {
		b.run(b.p.s.Limits.Slice)
	}
	return b, r
}

// applyOnly applies a command without the confirmations that nodes would send.
func (b *harness) applyOnly(c Command) []Effect {
	b.index++
	c.At = b.now
	return b.p.Apply(b.index, c)
}

func TestRollbackIsConfirmedOnlyByMatchingRoundAndPolicy(t *testing.T) {
	b, r := newTreatedHarness(t)
	last := r.Treated[len(r.Treated)-1].Node
	trial := b.p.Assigned(last)
	b.applyOnly(Command{Halt: &Halt{ID: "x", Cause: Operator, By: "desk", Why: "enough"}})
	force := &OperatorAction{ID: "x", Stage: r.Stage, By: "desk", Why: "no"}
	require.Equal(t, Refused, b.applyOnly(Command{Force: force})[0].Kind, "force never overrides a halt")
	rollBack, _ := b.p.Next(b.now, 0)
	b.applyOnly(rollBack)
	assigned := b.p.Assigned(last)
	for _, s := range []NodeStatus{{Node: last, Round: trial.Round, Policy: assigned.Policy},
		{Node: last, Round: assigned.Round, Policy: trial.Policy}} {
		b.applyOnly(Command{Status: &s})
		_, any := b.p.Next(b.now, 0)
		assert.False(t, any, "%+v", s)
	}
	b.applyOnly(Command{Status: &NodeStatus{Node: last, Round: assigned.Round, Policy: assigned.Policy}})
	rollBack, _ = b.p.Next(b.now, 0)
	require.Equal(t, OneNode, rollBack.RollBack.Stage)
	b.p.s.Nodes[r.Treated[0].Node].Rollout = "y" // the node left the tree, came back, and belongs to another rollout now
	b.applyOnly(rollBack)
	assert.Equal(t, "y", b.p.s.Nodes[r.Treated[0].Node].Rollout)
	b.p.s.Nodes[r.Treated[0].Node].Rollout, b.p.s.Nodes[r.Treated[0].Node].Confirmed = "", false
	b.applyOnly(Command{Finish: &StageRef{"x", r.Stage}})
	assert.Equal(t, Halting, r.Phase, "one node has not confirmed the rollback")
}

func TestCausesOfAHalt(t *testing.T) {
	for name, test := range map[string]struct {
		do   func(b *harness, node string) Command
		want Cause
	}{
		"a guard": {func(b *harness, node string) Command {
			return Command{Evidence: &Evidence{Node: node, Policy: b.p.Rollout("x").Policy, Slice: 1, Guards: []string{"memory"}}}
		}, Guard},
		"an invalid trial": {func(b *harness, node string) Command {
			a := b.p.Assigned(node)
			return Command{Status: &NodeStatus{Node: node, Round: a.Round, Policy: a.Good, Fallback: InvalidTrial}}
		}, Guard},
		"an expired lease": {func(b *harness, node string) Command {
			a := b.p.Assigned(node)
			return Command{Status: &NodeStatus{Node: node, Round: a.Round, Policy: a.Good, Fallback: LeaseExpired}}
		}, None},
	} {
		b, r := newTreatedHarness(t)
		b.applyOnly(test.do(b, r.Treated[0].Node))
		assert.Equal(t, test.want, r.Cause, name)
		if test.want == Guard {
			b.applyOnly(Command{Halt: &Halt{ID: "x", Cause: Operator, By: "desk", Why: "too"}})
			assert.Equal(t, Guard, r.Cause, "an operator's halt does not replace the cause of a halt by a guard")
			r.Cause = Regression
			b.applyOnly(Command{Halt: &Halt{ID: "x", Cause: Operator, By: "desk", Why: "too"}})
			assert.Equal(t, Operator, r.Cause)
		}
	}
}

func TestForceAppliesOnlyToTheNamedStage(t *testing.T) {
	b, r := newTreatedHarness(t)
	assert.Equal(t, Refused, b.applyOnly(Command{Force: &OperatorAction{"x", OneNode, "desk", "the last one"}})[0].Kind)
	for r.Phase == Running {
		b.applyOnly(Command{Force: &OperatorAction{"x", r.Stage, "desk", "known"}})
	}
	require.Equal(t, Completing, r.Phase)
	b.applyOnly(Command{Finish: &StageRef{"x", r.Stage}})
	assert.Equal(t, Completing, r.Phase, "nodes held back as controls have not switched")
	assert.Equal(t, Refused, b.applyOnly(Command{Force: &OperatorAction{"x", r.Stage, "desk", "on"}})[0].Kind)
}

func TestALaterAttemptSpendsItsOwnAlpha(t *testing.T) {
	b := newHarness(t, steadyCounts)
	r := b.start()
	first := alphaShare(b.p.s.Limits.Alpha, 1, r.KnownCells, 0)
	r.Cells[0].Inferior.MaxWealth = 1 / first
	cause, _ := b.p.haltCause(r, b.now)
	assert.Equal(t, Regression, cause)
	r.Attempt = 2
	cause, _ = b.p.haltCause(r, b.now)
	assert.Equal(t, None, cause)
}

func TestWindowsAreClosedWithASliceOfGrace(t *testing.T) {
	b := newHarness(t, steadyCounts)
	l := b.p.s.Limits
	for b.now%(l.Slice*time.Duration(l.WindowSlices)) != 0 {
		b.run(l.Slice)
	}
	_, any := b.p.Next(b.now, 0)
	assert.False(t, any, "late evidence may still arrive")
	c, _ := b.p.Next(b.now+l.Slice, 0)
	require.NotNil(t, c.Close)
	b.now += l.Slice
	b.applyOnly(c)
	open := len(b.p.s.OpenWindows)
	e := Evidence{Node: "n00", Policy: b.p.Good(), Slice: b.p.s.NextWindow*uint64(l.WindowSlices) - 1,
		Counts: []Counts{steadyCounts("", false)}}
	b.applyOnly(Command{Evidence: &e})
	assert.Len(t, b.p.s.OpenWindows, open, "of the window evaluated last")
	e.Slice = (uint64(b.now/l.Slice)/uint64(l.WindowSlices) + 2) * uint64(l.WindowSlices)
	assert.Equal(t, Refused, b.applyOnly(Command{Evidence: &e})[0].Kind, "of the window after the next one")
	l.WindowSlices *= 2
	b.applyOnly(Command{Limits: &l})
	b.run(4 * hour)
	assert.NotZero(t, b.p.s.Nodes["n00"].Baselines["c"+sep+sep+metricLost].Windows, "windows are numbered differently, and are evaluated")
}

func TestUsableEvidence(t *testing.T) {
	b, r := newTreatedHarness(t)
	v, count := (&tally{Sums: map[string]*classSums{"c" + sep: {Offered: 100}}}).value("c" + sep + sep + metricLost)
	assert.Equal(t, []float64{1, 100}, []float64{v, count}, "a node that served nothing still gives evidence")
	assert.Contains(t, b.p.missingEvidence(&Rollout{Targets: r.Targets}, 0), "no class of the treated")

	node := r.Treated[0].Node
	w := &window{Number: b.p.s.NextWindow, Nodes: map[string]*tally{node: {Policy: r.Policy}}}
	begin := time.Duration(w.Number) * b.p.s.Limits.Slice * time.Duration(b.p.s.Limits.WindowSlices)
	for _, n := range b.p.s.Nodes {
		n.Changed = 0
	}
	b.p.s.Nodes[node].Changed = begin - b.p.s.Limits.Settle
	assert.NotNil(t, b.p.usableTally(w, node, r.Policy))
	assert.Equal(t, 1, b.p.Disrupted(begin-1), "until it has settled")
	b.p.s.Nodes[node].Changed++
	assert.Nil(t, b.p.usableTally(w, node, r.Policy), "the change had not settled when the window began")

	for r.Missing != "" {
		b.run(b.p.s.Limits.Slice)
	}
	b.countsOf = func(name string, trial bool) Counts {
		if trial {
			return Counts{Class: "c"}
		}
		return steadyCounts(name, trial)
	}
	b.run(hour)
	assert.Contains(t, r.Missing, "nothing to compare in the last spell")
}

func TestTreatedNodesAreNotControls(t *testing.T) {
	b, r := newTreatedHarness(t)
	cell := "c" + sep + sep + metricLost
	node, other := r.Treated[0].Node, ""
	w := &window{Number: b.p.s.NextWindow, Nodes: map[string]*tally{}}
	for _, name := range b.p.topology.nearest(node)[0] {
		if b.p.s.Nodes[name].Rollout == "" {
			other = name
		}
	}
	require.NotEmpty(t, other)
	w.Nodes[other] = &tally{Policy: b.p.Good(), Sums: map[string]*classSums{"c" + sep: {Offered: 1000, Served: 990}}}
	require.Len(t, b.p.controlExcesses(w, node, cell), 1)
	b.p.s.Nodes[other].Rollout = "y" // as if it had fallen back on its own
	assert.Empty(t, b.p.controlExcesses(w, node, cell))
	tr := transition{Plan: b.p, at: b.now}
	b.p.s.Nodes[other].Baselines[cell] = &baseline{Windows: 1, Recent: []float64{0}, MeanRequests: 1000}
	tr.updateBaselines(w)
	assert.Equal(t, 1, b.p.s.Nodes[other].Baselines[cell].Windows)

	h := NewSetUps()
	h.Add(time.Second)
	tr.addSetUps(&tally{Policy: r.Policy}, &classSums{}, Counts{Class: "d", SetUp: h.Bytes()})
	assert.Empty(t, b.p.s.SlowThresholds["d"].Sketch, "the slow threshold is computed from the good policy only")
}
