package upstreammodel

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/rehearsal/model"
)

func TestScenariosHoldCompletely(t *testing.T) {
	var states, covered uint64
	for _, sc := range Scenarios() {
		m, err := New(sc.Name, "")
		require.NoError(t, err)
		res, err := model.Check[State](m, model.Options{Workers: 4})
		require.NoError(t, err)
		if res.Violation != nil {
			t.Fatalf("%s: %s\n%s", sc.Name, res.Violation.Property, FormatTrace(m, res.Violation.Trace))
		}
		assert.True(t, res.Complete, sc.Name)
		t.Logf("%s: %d states, %d steps, %d deep, %.1f s", sc.Name, res.States, res.Transitions, res.Depth, res.Seconds)
		states += res.States
		covered |= res.Covered
	}
	for i, name := range (&Model{}).CoverageGoals() {
		assert.NotZero(t, covered>>i&1, "no scenario reaches: %s", name)
	}
	t.Logf("%d states", states)
}

func TestEveryInjectedBugIsFound(t *testing.T) {
	for _, p := range InjectedBugs() {
		m, err := New(p.Scenario, p.Name)
		require.NoError(t, err)
		res, err := model.Check[State](m, model.Options{Workers: 4})
		require.NoError(t, err)
		if assert.NotNil(t, res.Violation, "%s is not found", p.Name) {
			t.Logf("%s: %s, %d steps of %d states", p.Name, res.Violation.Property, len(res.Violation.Trace.Steps), res.States)
			assert.NotEmpty(t, FormatTrace(m, res.Violation.Trace))
		}
	}
}
