package turnsmodel

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/rehearsal/model"
)

// livenessProperty stands for any of the liveness properties.
const livenessProperty = -1

// TestEveryInjectedBugIsFound injects each bug into a small world and expects a violation of the property that it affects.
func TestEveryInjectedBugIsFound(t *testing.T) {
	want := map[int][]string{
		badExpiry: {"right-from-arrival", "right-without-end", "new-leader-goes-on", "counts-without-drift",
			"answers-without-quorum", "answer-of-another-question"},
		badClear: {"acks-before-stored", "acks-before-loop", "confirms-before-loop", "horizon-dropped-on-ack",
			"round-not-compared", "grants-beyond-horizon", "grants-without-node", "horizon-taken-as-lapsed",
			"older-store-put-back", "told-is-enough", "one-horizon-for-all", "one-confirmation-for-all", "dead-for-all"},
		badPlacement:     {"right-before-outs"},
		badNeverAnswered: {"empty-store-withholds-nothing"},
		badExclusionLost: {"ban-not-told"},
		badExclusionGap:  {"ban-lost-in-turn"},
		livenessProperty: {"dead-holds-up", "round-of-the-ban", "never-called-back", "acknowledged-once"},
	}
	for _, p := range InjectedBugs() {
		w, err := Named(p.World)
		require.NoError(t, err)
		m, res := check(t, w, p.Name, model.Options{})
		require.NotNil(t, res.Violation, "%s is not found", p.Name)
		trace := res.Violation.Trace
		t.Logf("%s: %s, %d steps of %d states, %.1f s", p.Name, res.Violation.Property, len(trace.Steps), res.States, res.Seconds)
		bad := slices.Index(m.SafetyProperties(), res.Violation.Property) // -1: a liveness property
		assert.Contains(t, want[bad], p.Name, res.Violation.Property)
		for i, step := range trace.Steps {
			assert.NotEmpty(t, m.Describe(trace.States[i], step, trace.States[i+1]))
		}
		if *traces {
			logTrace(t, m, res.Violation)
		}
	}
}

func TestInvalidModelIsAnError(t *testing.T) {
	for want, f := range map[string]func() (*Model, error){
		"nodes: 4 is not within 1 to 3":        func() (*Model, error) { return New(4, 1, Budget{}, "") },
		"hosts: 0 is not within 1 to 3":        func() (*Model, error) { return New(1, 0, Budget{}, "") },
		"leader changes: 2 is not 0 or 1":      func() (*Model, error) { return New(1, 1, Budget{LeaderChanges: 2}, "") },
		`no bug is named "x"; see rehearse mo`: func() (*Model, error) { return New(1, 1, Budget{}, "x") },
	} {
		_, err := f()
		assert.ErrorContains(t, err, want)
	}
}
