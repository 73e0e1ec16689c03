package catalog

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/rehearsal/model"
)

// TestInjectedBugsViolateRulesInRunningCode finds each injected bug in its model, writes and reads the trace, and replays it
// on the running code, which must violate a rule with the bug and keep all rules without it.
func TestInjectedBugsViolateRulesInRunningCode(t *testing.T) {
	for _, e := range Entries() {
		if !e.Replays {
			continue // the tests of its package find all its bugs
		}
		for _, p := range e.Bugs {
			job, err := Prepare(Config{Model: e.Name, Gateways: 2, Clients: 1, Attempts: 2, Notices: 2, Seeds: 1, Bug: p.Name})
			require.NoError(t, err)
			report, err := job.Check(model.Options{})
			require.NoError(t, err)
			require.NotNil(t, report.Trace, "%s, %s: not found", e.Name, p.Name)
			text, err := json.Marshal(report.Trace)
			require.NoError(t, err)
			trace, err := ParseTrace(text)
			require.NoError(t, err)
			if trace.Loop >= 0 {
				_, err = Replay(trace)
				assert.ErrorContains(t, err, "loop", p.Name)
				continue
			}
			replayed, err := Replay(trace)
			if assert.NoError(t, err, "%s, %s: %s", e.Name, p.Name, text) {
				assert.NotEmpty(t, replayed.Violations, "%s, %s: %s", e.Name, p.Name, text)
			}
			trace.Bug = ""
			// In the traces of the bugs named here, the balancer or the clock of the trace itself violates the rule.
			if withoutBug, err := Replay(trace); err == nil && p.Name != "guard-late" && p.Name != "fifth-attempt" &&
				p.Name != "unsafe-repeat" && p.Name != "unsafe-refusal" {
				assert.Empty(t, withoutBug.Violations, "%s, %s without the bug", e.Name, p.Name)
			}
		}
	}
}

func TestInvalidTraces(t *testing.T) {
	for text, want := range map[string]string{
		`{"model":"life",` + "\n" + `"steps":7}`:                                                         "line 2",
		`{"model":"life","steps":[]}`:                                                                    "steps: there are none",
		`{"model":"life","loop":5,"steps":[{"step":0}]}`:                                                 "loop: 5 is not within -1 to 1",
		`{"model":"life","odd":1,"steps":[{"step":0}]}`:                                                  `unknown field "odd"`,
		`{"model":"x","gateways":1,"clients":1,"attempts":1,"loop":-1,"steps":[{"step":0}]}`:             `traces of "x" cannot be replayed`,
		`{"model":"turns","loop":-1,"steps":[{"step":0}]}`:                                               "the model itself runs the real code",
		`{"model":"life","gateways":9,"clients":1,"attempts":1,"loop":-1,"steps":[{"step":0}]}`:          "gateways: 9 is not within 1 to 4",
		`{"model":"life","gateways":1,"clients":1,"attempts":1,"loop":-1,"steps":[{"step":7}]}`:          "steps[0]: client 1 has not asked",
		`{"model":"life","gateways":1,"clients":1,"attempts":1,"loop":-1,"steps":[{"step":4000000}]}`:    "steps[0]: ",
		`{"model":"core","gateways":1,"clients":1,"attempts":1,"seed":1,"loop":-1,"steps":[{"step":5}]}`: "steps[0]: ",
	} {
		trace, err := ParseTrace([]byte(text))
		if err == nil {
			_, err = Replay(trace)
		}
		assert.ErrorContains(t, err, want, text)
	}
}
