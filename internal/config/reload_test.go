package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const runningConfig = `{"name":"n3","listen":"127.0.0.1:7070","management":"127.0.0.1:9600","discovery":"127.0.0.2:8500",
"seed":"8c1f30d27a5be964","limits":{"memory_mb":64,"sockets":384},"known":{"rev":41,"all":true,"targets":[]},
"settings":{"me":0,"balancers":1,"permissions":{"max_attempts":4,"connect_timeout_us":250000,"probes":true},
"my_zone":"z","registry_mode":"ask","weight_source":"nominal","tariffs":{"probe":0.002},
"safety":{"drain_grace_us":2000000,"ask_within_us":10000000,"cold_from":0.37,"cold_us":8000000,"overload_factor":3,
"tip_after_us":1500000},
"parties":[{"name":"kota","share":0.5},{"name":"kab","share":0.5}],
"request_classes":[
{"name":"c","semantics":"read_like","aim_us":300000,"deadline_us":900000,"points":3},
{"name":"d","semantics":"idempotency_key","group":"zone","window_us":5,"aim_us":500000,"deadline_us":3000000,"points":1}],
"extra":{"mode":"pass","message_aim_us":[250000,60000]}}}`

// reloadConfig reads a file the way a node that runs with runningConfig does.
func reloadConfig(t *testing.T, text string) (Config, error) {
	t.Helper()
	before, err := load(t, runningConfig, map[string]string{"GW_DISCOVERY": "127.0.0.9:1"})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Reload(func(name string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.0.0.9:1"}[name]
	}, before)
}

func TestReload(t *testing.T) {
	text := strings.NewReplacer(`:8500`, `:8501`, `"max_attempts":4`, `"max_attempts":2`,
		`"name":"d"`, `"name":"e"`, `"semantics":"idempotency_key","group":"zone","window_us":5`, `"semantics":"non_idempotent"`,
		`"known":{"rev":41,"all":true,"targets":[]},`, ``).Replace(runningConfig)
	c, err := reloadConfig(t, text)
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.2:8501", c.Discovery)
	assert.Equal(t, 2, c.Settings.MaxAttempts)
	assert.Equal(t, "e", c.Settings.Classes[1].Name)
}

// An empty file, and a file truncated at any byte, must be rejected.
func TestReloadRejectsATruncatedFile(t *testing.T) {
	for i := range len(runningConfig) - 1 {
		_, err := reloadConfig(t, runningConfig[:i])
		require.ErrorContains(t, err, "GW_CONFIG: ", "truncated at byte %d", i)
	}
}

// Objects and keys of the file are removed one at a time; the error must name the missing key.
func TestReloadNamesAMissingKey(t *testing.T) {
	for removed, want := range map[string]string{
		`"seed":"8c1f30d27a5be964",`:               "seed: ",
		`"limits":{"memory_mb":64,"sockets":384},`: "limits: missing",
		`,"sockets":384`:                           "limits.sockets: missing",
		`"discovery":"127.0.0.2:8500",`:            "discovery: missing",
		`"management":"127.0.0.1:9600",`:           "management: missing",
		`"me":0,`:                                  "settings.me: missing",
		`"permissions":{"max_attempts":4,"connect_timeout_us":250000,"probes":true},`: "settings.permissions.max_attempts: missing",
		`"max_attempts":4,`:                "settings.permissions.max_attempts: missing",
		`,"probes":true`:                   "settings.permissions.probes: missing",
		`"name":"c",`:                      "settings.request_classes.0.name: missing",
		`"semantics":"read_like",`:         "settings.request_classes.0.semantics: unknown value",
		`,"deadline_us":900000`:            "settings.request_classes.0.deadline_us: missing",
		`"aim_us":500000,`:                 "settings.request_classes.1.aim_us: missing",
		`,"points":1`:                      "settings.request_classes.1.points: missing",
		`{"name":"kota","share":0.5},`:     "",
		`,"message_aim_us":[250000,60000]`: "settings.extra.message_aim_us: missing",
		`"group":"zone",`:                  "settings.request_classes.1.group: missing",
		`"window_us":5,`:                   "settings.request_classes.1.window_us: missing",
	} {
		require.Contains(t, runningConfig, removed)
		_, err := reloadConfig(t, strings.Replace(runningConfig, removed, "", 1))
		if want == "" {
			assert.NoError(t, err, removed)
		} else {
			assert.ErrorContains(t, err, want, removed)
		}
	}
}

func TestReloadNamesInvalidDeadlinesAndAttempts(t *testing.T) {
	for key, old := range map[string]string{"settings.request_classes.1.deadline_us": `"deadline_us":3000000`,
		"settings.permissions.max_attempts": `"max_attempts":4`} {
		name, _, _ := strings.Cut(old, ":")
		for _, bad := range []string{`0`, `-5`, `"many"`, `null`, `true`, `[]`, `1e400`} {
			_, err := reloadConfig(t, strings.Replace(runningConfig, old, fmt.Sprintf("%s:%s", name, bad), 1))
			assert.ErrorContains(t, err, key+": ", "%s %s", key, bad)
		}
	}
	_, err := reloadConfig(t, strings.Replace(runningConfig, `"max_attempts":4`, `"max_attempts":2.5`, 1))
	assert.ErrorContains(t, err, "settings.permissions.max_attempts: ")
	_, err = reloadConfig(t, strings.Replace(runningConfig, `"name":"d"`, `"name":"c"`, 1))
	assert.ErrorContains(t, err, `settings.request_classes.1.name: "c" is used twice`)
}

// A node must not start either with a class whose repeats it cannot judge.
func TestAStartNeedsTheGroupOfAClassWithAnIdempotencyKey(t *testing.T) {
	for removed, want := range map[string]string{`"group":"zone",`: "settings.request_classes.1.group: missing",
		`"window_us":5,`: "settings.request_classes.1.window_us: missing"} {
		_, err := load(t, strings.Replace(runningConfig, removed, "", 1), map[string]string{"GW_DISCOVERY": "127.0.0.9:1"})
		assert.ErrorContains(t, err, want)
	}
}
