package lifemodel

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/rehearsal/model"
)

// TestEveryPlantIsFound plants each bug into a small fleet and expects the property that it breaks.
func TestEveryPlantIsFound(t *testing.T) {
	want := map[string]int{
		"guard-late": badLate, "drain-lost": badDrain, "drained-dial": badDrain, "fifth-attempt": badMany,
		"unsafe-repeat": badRepeat, "unsafe-refusal": badRefusal, "answer-twice": badBook,
		"time-out-leaves-attempt": badTwo, "deadline-leaves-attempt": badLeftOut, "answer-to-the-gone": badTimer,
		"late-words": badGhost, "served-in-silence": badLate, "guard-forgotten": badTimer, "guard-goes-on": badTimer,
		"time-out-goes-on": badTimer, "told-too-early": badBook, "end-not-told": badBook, "end-told-twice": badBook,
		"cut-without-move": badCut, "end-without-word": badCut, "left-unanswered": badOrphan, "error-is-final": badBook,
	}
	for _, p := range Plants() {
		m, err := New(2, 1, 2, p.Name)
		require.NoError(t, err)
		res, err := model.Check[State](m, model.Options{Workers: 2})
		require.NoError(t, err)
		require.NotNil(t, res.Violation, "%s is not found", p.Name)
		tr := res.Violation.Trace
		t.Logf("%s: %s, %d steps of %d states", p.Name, res.Violation.Property, len(tr.Steps), res.States)
		if p.Name == "never-leaves" {
			assert.Equal(t, m.Promises()[1], res.Violation.Property)
			continue
		}
		assert.Equal(t, m.Properties()[want[p.Name]], res.Violation.Property, p.Name)
		for i, step := range tr.Steps {
			assert.NotEmpty(t, m.Describe(tr.States[i], step, tr.States[i+1]))
		}
	}
}

func TestAskingForAFaultyModelIsAnError(t *testing.T) {
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
