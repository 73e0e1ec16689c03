package turnsmodel

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/rehearsal/model"
)

var (
	larger = flag.Duration("larger", 0, "time limit for each of the larger worlds; 0 skips them")
	traces = flag.Bool("traces", false, "print the trace that exposes each injected bug")
)

func check(t *testing.T, w World, bugName string, opt model.Options) (*Model, *model.Result[State]) {
	t.Helper()
	m, err := w.Model(bugName)
	require.NoError(t, err)
	res, err := model.Check[State](m, opt)
	require.NoError(t, err)
	return m, res
}

func logTrace(t *testing.T, m *Model, v *model.Violation[State]) {
	t.Log(v.Property)
	for i, step := range v.Trace.Steps {
		t.Logf("%3d  %s", i+1, m.Describe(v.Trace.States[i], step, v.Trace.States[i+1]))
	}
}

func TestLeasesAndTurnsHoldInAllWorlds(t *testing.T) {
	var covered uint64
	for _, w := range Worlds() {
		m, res := check(t, w, "", model.Options{})
		if res.Violation != nil {
			logTrace(t, m, res.Violation)
		}
		require.Nil(t, res.Violation, w.Name)
		assert.True(t, res.Complete, w.Name)
		covered |= res.Covered
		t.Logf("%s: %d states, %d steps, %d deep, %.1f s", w.Name, res.States, res.Transitions, res.Depth, res.Seconds)
	}
	for i, name := range (&Model{}).CoverageGoals() {
		assert.NotZero(t, covered>>i&1, "no world reaches: %s", name)
	}
}

func TestLargerWorlds(t *testing.T) {
	if *larger == 0 {
		t.Skip("takes minutes: -args -larger 2m")
	}
	for _, w := range Larger() {
		m, res := check(t, w, "", model.Options{TimeLimit: *larger, MemoryLimit: 8 << 30, NoLiveness: true})
		if res.Violation != nil {
			logTrace(t, m, res.Violation)
		}
		assert.Nil(t, res.Violation, w.Name)
		t.Logf("%s: %d states, %d steps, %d deep, %.1f s, complete: %v %s", w.Name, res.States, res.Transitions, res.Depth, res.Seconds,
			res.Complete, res.StopReason)
	}
}
