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

var plantsPlayed = flag.Bool("plants", false, "play each planted bug on a copy of the module; takes minutes")

// plant is a bug that a rule of the soak is to see.
type plant struct {
	name     string
	file     string // from the module's root
	old, new string // what is taken out, which stands there once, and what is put in its place
	rule     string // that sees it
}

var plants = []plant{
	{"every request is refused", "balance/balance.go", "if left <= b.settings.Tick || len(r.attempts) >= r.settings.MaxAttempts {", "if left > 0 {",
		"a part of the requests served"},
	{"no request is tried again", "balance/balance.go", "len(r.attempts) >= r.settings.MaxAttempts", "len(r.attempts) >= 1", triedAgain},
	{"BUSY names too long a time", "internal/clientconn/acceptor.go", "min(fullRetryAfter, set.MaxRetryAfter)", "2 * set.MaxRetryAfter",
		"the time that BUSY names"},
}

const moduleRoot = "../.."

// TestPlants: what each plant takes out stands in the program, and with -plants its rule breaks the soak within three seeds.
func TestPlants(t *testing.T) {
	for _, p := range plants {
		t.Run(p.name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(moduleRoot, p.file))
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(text), p.old), "%s: %s", p.file, p.old)
			if *plantsPlayed {
				playPlant(t, p, strings.Replace(string(text), p.old, p.new, 1))
			}
		})
	}
}

// playPlant plays three seeds with a file of the program changed.
func playPlant(t *testing.T, p plant, planted string) {
	t.Helper()
	root, err := filepath.Abs(moduleRoot)
	require.NoError(t, err)
	scratch := filepath.Join(t.TempDir(), "module")
	require.NoError(t, exec.Command("git", "clone", "--quiet", root, scratch).Run())
	require.NoError(t, os.WriteFile(filepath.Join(scratch, p.file), []byte(planted), 0o600))
	cmd := exec.Command("go", "test", "-count", "1", "./rehearsal/soak", "-run", "TestSoak", "-args", "-seeds", "3", "-first", "740119", "-beside", "3")
	cmd.Dir = scratch
	out, err := cmd.CombinedOutput()
	assert.Error(t, err, "the soak is kept")
	seen := false
	for line := range strings.Lines(string(out)) {
		seen = seen || strings.Contains(line, p.rule) && strings.Contains(line, "BROKEN") || strings.Contains(line, "no request was tried again")
	}
	assert.True(t, seen, "%q does not see it", p.rule)
	for line := range strings.Lines(string(out)) {
		if strings.HasPrefix(line, "seed ") || strings.HasPrefix(line, "soak: ") {
			t.Log(strings.TrimSpace(line))
		}
	}
}
