package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/rehearsal/catalog"
)

func rehearse(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestModelThatHoldsIsComplete(t *testing.T) {
	file := filepath.Join(t.TempDir(), "out.json")
	code, out, errs := rehearse("model", "--gateways", "1", "--attempts", "2", "--quiet", "--json", file)
	assert.Equal(t, exitHolds, code, errs)
	assert.Contains(t, out, "\ncomplete\n")
	assert.Contains(t, out, "holds     never two attempts out")
	assert.Contains(t, out, "holds     every query taken is answered")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	var r catalog.Report
	require.NoError(t, json.Unmarshal(text, &r))
	assert.True(t, r.Complete)
	assert.Greater(t, r.States, uint64(1000))
	assert.Greater(t, r.PeakBytes, uint64(1<<20))
}

func TestInjectedBugIsReportedTracedAndReplayed(t *testing.T) {
	for _, model := range []string{"life", "core", "connection"} {
		file := filepath.Join(t.TempDir(), "trace.json")
		code, out, errs := rehearse("model", "--model", model, "--gateways", "1", "--clients", "1", "--attempts", "2", "--quiet",
			"--plant", "cut-without-move", "--trace", file)
		assert.Equal(t, exitViolated, code, errs)
		assert.Contains(t, out, "VIOLATED: ")
		code, out, errs = rehearse("model", "replay", file)
		assert.Equal(t, exitViolated, code, errs)
		assert.Contains(t, out, "BROKEN by the running code:")
	}
}

func TestModelsWithScenarios(t *testing.T) {
	trace := filepath.Join(t.TempDir(), "trace.json")
	for _, c := range []struct {
		code int
		args []string
		want []string
	}{
		{exitHolds, []string{"turns", "--scenario", "two-nodes"},
			[]string{"model turns, scenario two-nodes\n", "holds     T2: ", "\ncomplete\n"}},
		{exitViolated, []string{"turns", "--plant", "one-horizon-for-all"}, []string{"scenario two-nodes, planted", "VIOLATED: R1: ",
			"   1  n1 asks and is answered", "trace written to " + trace + "\n"}},
		{exitHolds, []string{"upstream", "--scenario", "pieces"}, []string{"model upstream, scenario pieces\n", "holds     U5 ", "\ncomplete\n"}},
		{exitViolated, []string{"upstream", "--plant", "token-ignored"}, []string{"scenario token, planted", "VIOLATED: U"}},
	} {
		code, out, errs := rehearse(append([]string{"model", "--quiet", "--trace", trace, "--model"}, c.args...)...)
		assert.Equal(t, c.code, code, errs)
		for _, want := range c.want {
			assert.Contains(t, out, want)
		}
		assert.NotContains(t, out, "not seen")
	}
	code, _, errs := rehearse("model", "replay", trace)
	assert.Equal(t, exitUsage, code)
	assert.Contains(t, errs, "the model itself runs the real code")
}

func TestReachedBoundGivesNoVerdict(t *testing.T) {
	code, out, _ := rehearse("model", "--states", "500", "--quiet")
	assert.Equal(t, exitPartial, code)
	assert.Contains(t, out, "NOT complete: the bound of 500 states is reached")
	assert.Contains(t, out, "unknown   never two attempts out")
}

func TestUsageErrors(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte("{\n\"model\": 3}\n"), 0o644))
	for want, args := range map[string][]string{
		`no model is named "x"; there are: life, core, connection, turns, upstream`: {"model", "--model", "x"},
		"gateways: 9 is not within 1 to 4":                                          {"model", "--gateways", "9"},
		`no bug is named "x"`:                                                       {"model", "--plant", "x"},
		`no bug of this model is named "x"`:                                         {"model", "--model", "core", "--plant", "x"},
		`no scenario is named "y"`:                                                  {"model", "--model", "turns", "--scenario", "y"},
		`no scenario is named "z"`:                                                  {"model", "--model", "upstream", "--scenario", "z"},
		"scenario: model core has none":                                             {"model", "--model", "core", "--scenario", "x"},
		"model turns takes --scenario and --plant alone":                            {"model", "--model", "turns", "--gateways", "2"},
		`no scenario is named "x"`:                                                  {"model", "--scenario", "x"},
		"--memory: 0 MiB makes no sense":                                            {"model", "--memory", "0"},
		"unknown flag: --odd":                                                       {"model", "--odd"},
		"bad.json: line 2":                                                          {"model", "replay", bad},
		"no such file":                                                              {"model", "replay", bad + "x"},
		"accepts 1 arg(s)":                                                          {"model", "replay"},
	} {
		code, _, errs := rehearse(args...)
		assert.Equal(t, exitUsage, code, args)
		assert.Contains(t, errs, want)
	}
}

func TestListNamesAllModelsBugsAndScenarios(t *testing.T) {
	code, out, _ := rehearse("model", "list")
	assert.Equal(t, exitHolds, code)
	for _, e := range catalog.Entries() {
		assert.Contains(t, out, "model "+e.Name)
		for _, p := range e.Bugs {
			assert.Contains(t, out, p.Name)
		}
		for _, s := range e.Scenarios {
			assert.Contains(t, out, s.Name)
		}
	}
}
