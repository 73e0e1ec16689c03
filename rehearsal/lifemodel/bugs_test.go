package lifemodel

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/rehearsal/model"
)

// TestEveryInjectedBugIsFound checks that the model checker finds each injected bug in a small fleet, by the property
// that the bug violates.
func TestEveryInjectedBugIsFound(t *testing.T) {
	want := map[string]int{
		"guard-late": badAnswerTooLate, "drain-lost": badWriteAfterDrain, "drained-dial": badWriteAfterDrain,
		"fifth-attempt": badTooManyAttempts, "unsafe-repeat": badUnsafeRepeat, "unsafe-refusal": badUnsafeRefusal,
		"answer-twice": badBalancerView, "time-out-leaves-attempt": badTwoAttempts,
		"deadline-leaves-attempt": badAttemptLeftOpen, "answer-to-the-gone": badTimers, "late-words": badLateEvent,
		"served-in-silence": badAnswerTooLate, "guard-forgotten": badTimers, "guard-goes-on": badTimers,
		"time-out-goes-on": badTimers, "told-too-early": badBalancerView, "end-not-told": badBalancerView,
		"end-told-twice": badBalancerView, "cut-without-move": badUnannouncedClose,
		"end-without-word": badUnannouncedClose, "left-unanswered": badUnansweredAtStop,
		"error-is-final": badBalancerView,
	}
	for _, p := range InjectedBugs() {
		m, err := New(2, 1, 2, p.Name)
		require.NoError(t, err)
		res, err := model.Check[State](m, model.Options{Workers: 2})
		require.NoError(t, err)
		require.NotNil(t, res.Violation, "%s is not found", p.Name)
		tr := res.Violation.Trace
		t.Logf("%s: %s, %d steps of %d states", p.Name, res.Violation.Property, len(tr.Steps), res.States)
		if p.Name == "never-leaves" {
			assert.Equal(t, m.LivenessProperties()[1], res.Violation.Property)
			continue
		}
		assert.Equal(t, m.SafetyProperties()[want[p.Name]], res.Violation.Property, p.Name)
		for i, step := range tr.Steps {
			assert.NotEmpty(t, m.Describe(tr.States[i], step, tr.States[i+1]))
		}
	}
}

func TestInvalidModelIsAnError(t *testing.T) {
	for want, f := range map[string]func() (*Model, error){
		"gateways: 5 is not within 1 to 4":     func() (*Model, error) { return New(5, 1, 4, "") },
		"clients: 0 is not within 1 to 2":      func() (*Model, error) { return New(1, 0, 4, "") },
		"attempts: 8 is not within 1 to 7":     func() (*Model, error) { return New(1, 1, 8, "") },
		`no bug is named "x"; see rehearse mo`: func() (*Model, error) { return New(1, 1, 1, "x") },
	} {
		_, err := f()
		assert.ErrorContains(t, err, want)
	}
}
