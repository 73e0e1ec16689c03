package lifemodel

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/rehearsal/model"
)

func check(t *testing.T, gateways, clients, attempts int, bugName string) *model.Result[State] {
	t.Helper()
	m, err := New(gateways, clients, attempts, bugName)
	require.NoError(t, err)
	res, err := model.Check[State](m, model.Options{})
	require.NoError(t, err)
	return res
}

func TestRequestLifecycleHolds(t *testing.T) {
	res := check(t, 2, 1, 3, "")
	require.Nil(t, res.Violation)
	assert.True(t, res.Complete)
	m := &Model{}
	for i, name := range m.CoverageGoals() {
		assert.NotZero(t, res.Covered>>i&1, "not reached: %s", name)
	}
	t.Logf("%d states, %d steps, depth %d", res.States, res.Transitions, res.Depth)
}

// reachable returns all reachable states of m, in the canonical form of the model by.
func reachable(m, by *Model) map[State]bool {
	seen, all := map[State]bool{}, map[State]bool{}
	queue := m.Initial()
	for len(queue) > 0 {
		s := m.Canonical(queue[len(queue)-1])
		queue = queue[:len(queue)-1]
		if seen[s] {
			continue
		}
		seen[s] = true
		all[by.Canonical(s)] = true
		m.Steps(s, func(_ model.Step, next State) { queue = append(queue, next) })
	}
	return all
}

// TestReductionsOmitNoState compares the states of the reduced model with those of the full one: neither symmetry
// reduction nor the reduction of gateways without connections may hide any state.
func TestReductionsOmitNoState(t *testing.T) {
	reduced, err := New(2, 1, 1, "")
	require.NoError(t, err)
	full := *reduced
	full.Unreduced = true
	asymmetric := *reduced
	asymmetric.NoSymmetry = true
	want := reachable(reduced, reduced)
	assert.Greater(t, len(want), 5000)
	assert.Equal(t, want, reachable(&full, reduced))
	assert.Equal(t, want, reachable(&asymmetric, reduced))

	pair, err := New(1, 2, 1, "")
	require.NoError(t, err)
	single := *pair
	single.NoSymmetry = true
	assert.Equal(t, reachable(pair, pair), reachable(&single, pair), "two clients")
}

func TestScenariosHoldAndReachTheirGoals(t *testing.T) {
	for _, sc := range Scenarios() {
		m, err := New(2, 1, 2, "")
		require.NoError(t, err)
		require.NoError(t, m.RestrictTo(sc.Name))
		res, err := model.Check[State](m, model.Options{})
		require.NoError(t, err)
		require.Nil(t, res.Violation, sc.Name)
		assert.True(t, res.Complete, sc.Name)
		for i, name := range m.CoverageGoals() {
			if m.Expected()>>i&1 == 1 {
				assert.NotZero(t, res.Covered>>i&1, "%s: not reached: %s", sc.Name, name)
			}
		}
	}
	m := &Model{}
	assert.ErrorContains(t, m.RestrictTo("x"), `no scenario is named "x"`)
}
