package soak

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var runInjectedBugs = flag.Bool("plants", false, "run the soak test with each injected bug on a copy of the module; takes minutes")

// injectedBug is a bug that a rule of the soak test must detect.
type injectedBug struct {
	name     string
	file     string // path from the module's root
	old, new string // old occurs exactly once in the file and is replaced by new
	rule     string // the rule that detects the bug
}

var injectedBugs = []injectedBug{
	{"every request is refused", "balance/balance.go", "if left <= b.settings.Tick || len(r.attempts) >= r.settings.MaxAttempts {",
		"if left > 0 {", "a part of the requests served"},
	{"no request is tried again", "balance/balance.go", "len(r.attempts) >= r.settings.MaxAttempts", "len(r.attempts) >= 1", retriedRule},
	{"BUSY names too long a time", "internal/clientconn/acceptor.go", "min(fullRetryAfter, set.MaxRetryAfter)", "2 * set.MaxRetryAfter",
		"the time that BUSY names"},
}

const moduleRoot = "../.."

// TestPlants checks that the text that each injected bug replaces occurs exactly once in the source. With -plants it
// also checks that the soak test detects each bug within three seeds, by the bug's rule.
func TestPlants(t *testing.T) {
	for _, p := range injectedBugs {
		t.Run(p.name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(moduleRoot, p.file))
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(text), p.old), "%s: %s", p.file, p.old)
			if *runInjectedBugs {
				runInjectedBug(t, p, strings.Replace(string(text), p.old, p.new, 1))
			}
		})
	}
}

// runInjectedBug runs three seeds on a copy of the module in which one file is changed.
func runInjectedBug(t *testing.T, p injectedBug, changed string) {
	t.Helper()
	root, err := filepath.Abs(moduleRoot)
	require.NoError(t, err)
	scratch := filepath.Join(t.TempDir(), "module")
	require.NoError(t, exec.Command("git", "clone", "--quiet", root, scratch).Run())
	require.NoError(t, os.WriteFile(filepath.Join(scratch, p.file), []byte(changed), 0o600))
	cmd := exec.Command("go", "test", "-count", "1", "./rehearsal/soak", "-run", "TestSoak",
		"-args", "-seeds", "3", "-first", "740119", "-beside", "3")
	cmd.Dir = scratch
	out, err := cmd.CombinedOutput()
	assert.Error(t, err, "the soak test passes with the injected bug")
	detected := false
	for line := range strings.Lines(string(out)) {
		detected = detected || strings.Contains(line, p.rule) && strings.Contains(line, "BROKEN") ||
			strings.Contains(line, "no request was tried again")
	}
	assert.True(t, detected, "rule %q does not detect the injected bug", p.rule)
	for line := range strings.Lines(string(out)) {
		if strings.HasPrefix(line, "seed ") || strings.HasPrefix(line, "soak: ") {
			t.Log(strings.TrimSpace(line))
		}
	}
}
