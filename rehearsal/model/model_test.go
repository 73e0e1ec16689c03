package model

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// toy is a model made of functions, used to test the checker. Its states are small arrays.
type toy struct {
	initial   []state
	steps     func(s state, yield func(Step, state))
	canonical func(state) state
	violated  func(state) uint32
	pending   func(state) uint8
	done      func(state) bool
	fair      func(Step) Fairness
	safety    []string
	liveness  []string
}

type state [6]uint8

func (m toy) Initial() []state                          { return m.initial }
func (m toy) Steps(s state, yield func(Step, state))    { m.steps(s, yield) }
func (m toy) Encode(to []byte, s state) []byte          { return append(to, s[:]...) }
func (m toy) SafetyProperties() []string                { return m.safety }
func (m toy) LivenessProperties() []string              { return m.liveness }
func (m toy) Describe(s state, by Step, n state) string { return fmt.Sprint(s, by, n) }
func (m toy) Canonical(s state) state {
	if m.canonical == nil {
		return s
	}
	return m.canonical(s)
}
func (m toy) Violated(s state) uint32 {
	if m.violated == nil {
		return 0
	}
	return m.violated(s)
}
func (m toy) Pending(s state) uint8 {
	if m.pending == nil {
		return 0
	}
	return m.pending(s)
}
func (m toy) Done(s state) bool { return m.done != nil && m.done(s) }
func (m toy) FairnessClasses(by Step) Fairness {
	if m.fair == nil {
		return 0
	}
	return m.fair(by)
}

func check(t *testing.T, m toy, opt Options) *Result[state] {
	t.Helper()
	res, err := Check(m, opt)
	require.NoError(t, err)
	return res
}

// dice is a model of three dice. Each step increases one of them by one, up to 9.
func dice() toy {
	return toy{initial: []state{{}}, steps: func(s state, yield func(Step, state)) {
		for i := range 3 {
			if n := s; n[i] < 9 {
				n[i]++
				yield(Step(i), n)
			}
		}
	}, done: func(s state) bool { return s == state{9, 9, 9} }}
}

func TestEveryStateIsVisitedOnce(t *testing.T) {
	for workers := 1; workers <= 4; workers++ {
		res := check(t, dice(), Options{Workers: workers})
		assert.Equal(t, uint64(1000), res.States)
		assert.Equal(t, uint64(3*9*100), res.Transitions)
		assert.Equal(t, 27, res.Depth)
		assert.True(t, res.Complete)
		assert.Nil(t, res.Violation)
	}
}

func TestSymmetryCountsEachClassOnce(t *testing.T) {
	m := dice()
	m.canonical = func(s state) state {
		for i := range 2 {
			for j := range 2 - i {
				if s[j] > s[j+1] {
					s[j], s[j+1] = s[j+1], s[j]
				}
			}
		}
		return s
	}
	res := check(t, m, Options{})
	assert.Equal(t, uint64(220), res.States, "multisets of three out of ten")
	assert.True(t, res.Complete)
}

func TestShortestCounterexampleIsReported(t *testing.T) {
	m := dice()
	m.safety = []string{"no three", "no sum of 12"}
	m.violated = func(s state) (b uint32) {
		if s[1] == 3 {
			b |= 1
		}
		if s[0]+s[1]+s[2] == 12 {
			b |= 2
		}
		return b
	}
	for range 5 {
		res := check(t, m, Options{})
		require.NotNil(t, res.Violation)
		assert.Equal(t, "no three", res.Violation.Property)
		assert.Equal(t, []Step{1, 1, 1}, res.Violation.Trace.Steps)
		assert.Equal(t, []state{{}, {0, 1}, {0, 2}, {0, 3}}, res.Violation.Trace.States)
		assert.False(t, res.Complete)
		assert.Equal(t, Violated, res.Findings[0].Verdict)
		assert.Equal(t, Unknown, res.Findings[1].Verdict, "the deeper states were not visited")
	}
}

func TestTraceKeepsNamesUnderSymmetry(t *testing.T) {
	m := dice()
	m.canonical = func(s state) state {
		if s[0] < s[2] {
			s[0], s[2] = s[2], s[0]
		}
		return s
	}
	m.safety = []string{"not both"}
	m.violated = func(s state) uint32 {
		if min(s[0], s[2]) == 2 && max(s[0], s[2]) == 4 {
			return 1
		}
		return 0
	}
	res := check(t, m, Options{})
	require.NotNil(t, res.Violation)
	s := res.Violation.Trace.States[0]
	for i, by := range res.Violation.Trace.Steps { // each step is the index of the die that changes
		s[by]++
		assert.Equal(t, s, res.Violation.Trace.States[i+1])
	}
	assert.Len(t, res.Violation.Trace.Steps, 6)
}

// philosophers is the dining philosophers problem for three philosophers. Each takes one fork, then the other, eats,
// and puts both down. All take the left fork first; if polite is set, the last one takes the right fork first.
func philosophers(polite bool) toy {
	const n = 3
	fork := func(i int, take uint8) int { // the fork that i takes first (1) or second (2)
		if (polite && i == n-1) == (take == 1) {
			return (i + 1) % n
		}
		return i
	}
	free := func(s state, f int) bool {
		for i := range n {
			for take := uint8(1); take <= s[i]; take++ {
				if fork(i, take) == f {
					return false
				}
			}
		}
		return true
	}
	return toy{initial: []state{{}}, steps: func(s state, yield func(Step, state)) {
		for i := range n {
			next := s
			if next[i] = (s[i] + 1) % 3; next[i] == 0 || free(s, fork(i, next[i])) {
				yield(Step(i), next)
			}
		}
	}}
}

func TestDeadlockIsFound(t *testing.T) {
	res := check(t, philosophers(false), Options{})
	require.NotNil(t, res.Violation)
	assert.Equal(t, DeadlockFree, res.Violation.Property)
	assert.Len(t, res.Violation.Trace.Steps, 3)
	assert.Equal(t, state{1, 1, 1}, res.Violation.Trace.States[3])
	res = check(t, philosophers(true), Options{})
	assert.Nil(t, res.Violation)
	assert.True(t, res.Complete)
}

// lamp is a model with two independent processes: a counter that always moves (step 0), and a lamp that can be lit once
// (step 1).
func lamp(fair bool) toy {
	return toy{initial: []state{{}}, steps: func(s state, yield func(Step, state)) {
		n := s
		n[0] = (n[0] + 1) % 3
		yield(0, n)
		if s[1] == 0 {
			n = s
			n[1] = 1
			yield(1, n)
		}
	}, liveness: []string{"the lamp is lit"}, pending: func(s state) uint8 { return 1 - s[1] }, fair: func(by Step) Fairness {
		if fair && by == 1 {
			return 1
		}
		return 0
	}}
}

func TestLivenessNeedsFairness(t *testing.T) {
	res := check(t, lamp(true), Options{})
	assert.Nil(t, res.Violation)
	assert.True(t, res.Complete)
	res = check(t, lamp(false), Options{})
	require.NotNil(t, res.Violation, "the counter may move forever")
	tr := res.Violation.Trace
	assert.Equal(t, 0, tr.Loop)
	assert.Equal(t, tr.States[tr.Loop], tr.States[len(tr.States)-1])
	assert.Len(t, tr.Steps, 3)
	res = check(t, lamp(false), Options{NoLiveness: true})
	assert.Nil(t, res.Violation)
	assert.Equal(t, Unknown, res.Findings[len(res.Findings)-1].Verdict)
}

// A class that is not enabled in all states of a component does not have to be taken under weak fairness: the run that
// avoids it is fair.
func TestWeakFairnessIsExactOnComponents(t *testing.T) {
	m := lamp(true)
	m.steps = func(s state, yield func(Step, state)) {
		n := s
		n[0] = (n[0] + 1) % 3
		yield(0, n)
		if s[1] == 0 && s[0] == 2 {
			n = s
			n[1] = 1
			yield(1, n)
		}
	}
	res := check(t, m, Options{})
	require.NotNil(t, res.Violation)
	assert.Equal(t, "the lamp is lit", res.Violation.Property)
}

func TestFinalStateViolatesLiveness(t *testing.T) {
	m := dice()
	m.liveness, m.pending = []string{"a die shows 10"}, func(s state) uint8 { return 1 }
	res := check(t, m, Options{})
	require.NotNil(t, res.Violation)
	assert.Equal(t, -1, res.Violation.Trace.Loop)
	assert.Equal(t, state{9, 9, 9}, res.Violation.Trace.States[27])
}

func TestLimitsAreReported(t *testing.T) {
	endless := toy{initial: []state{{}}, steps: func(s state, yield func(Step, state)) {
		for i := range s {
			n := s
			n[i]++
			yield(Step(i), n)
		}
	}}
	for want, opt := range map[string]Options{
		"the bound of 5000 states is reached":  {MaxStates: 5000},
		"the depth of 7 is reached":            {MaxDepth: 7},
		"the memory limit of 8 MiB is reached": {MemoryLimit: 8 << 20},
		"the time limit of 20ms is reached":    {TimeLimit: 20 * time.Millisecond, ProgressInterval: time.Millisecond},
	} {
		res := check(t, endless, opt)
		assert.Equal(t, want, res.StopReason)
		assert.False(t, res.Complete)
		assert.Nil(t, res.Violation)
	}
}

func TestLivenessCheckNeedsMemory(t *testing.T) {
	m := dice()
	m.safety, m.liveness, m.pending = []string{"any"}, []string{"a die shows 10"}, func(s state) uint8 { return 1 }
	var res *Result[state]
	for memory := int64(3 << 20); ; memory += 8 << 10 { // finds the smallest limit with which all states can be visited
		if res = check(t, m, Options{Workers: 1, MemoryLimit: memory}); !strings.HasPrefix(res.StopReason, "the memory limit") {
			break
		}
	}
	assert.Contains(t, res.StopReason, "the liveness check needs")
	assert.False(t, res.Complete)
	assert.Equal(t, Holds, res.Findings[0].Verdict, "every state was visited")
	assert.Equal(t, Unknown, res.Findings[2].Verdict)
}

func TestTooManyPropertiesAreRefused(t *testing.T) {
	m := dice()
	m.liveness = make([]string, 9)
	_, err := Check(m, Options{})
	assert.ErrorContains(t, err, "not 0 and 9")
}

func TestOmissionProbability(t *testing.T) {
	assert.Zero(t, omissionProbability(1))
	assert.InEpsilon(t, 1e16/3.7e19, omissionProbability(100_000_000), 0.01)
}
