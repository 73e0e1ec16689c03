package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},"known":{"rev":41,"all":true,"targets":[]},
"settings":{"me":2,"balancers":3,"my_zone":"z","registry_mode":"ask","weight_source":"nominal",
"permissions":{"max_attempts":4,"connect_timeout_us":250000},"extra":{"mode":"pass"},
"safety":{"drain_grace_us":2000000,"ask_within_us":10000000,"cold_from":0.37,"cold_us":8000000,"overload_factor":3,
"tip_after_us":1500000},
"request_classes":[{"name":"c","semantics":"read_like","aim_us":300000,"deadline_us":900000,"points":1}]}}`

func load(t *testing.T, text string, env map[string]string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(func(name string) string {
		if name == "GW_CONFIG" {
			return path
		}
		return env[name]
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, validConfig, map[string]string{"GW_NAME": "n4", "GW_LISTEN": "127.0.0.9:1"})
	require.NoError(t, err)
	assert.Equal(t, "n4", c.Name)
	assert.Equal(t, "127.0.0.9:1", c.Listen, "the environment must take precedence")
	assert.Equal(t, "127.0.0.2:8500", c.Discovery)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), c.Seed)
	assert.Equal(t, 4096, c.Sockets)
	assert.Equal(t, int64(41), c.Known.Rev)
	assert.Equal(t, 2, c.Settings.Self)

	c, err = load(t, strings.Replace(validConfig, `"limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},`, "", 1), nil)
	require.NoError(t, err)
	assert.Equal(t, defaultSockets, c.Sockets)
}

func TestFaultyKeysAreNamed(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`"127.0.0.1:7070"`, `"somewhere"`, "listen: "},
		{`"discovery":"127.0.0.2:8500",`, ``, "discovery: missing"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed: "},
		{`4096`, `"many"`, "limits.sockets: "},
		{`2048`, `0`, "limits.memory_mb: "},
		{`"rev":41,`, ``, "known.rev: "},
		{`"me":2`, `"me":"two"`, "settings.me: "},
		{`"read_like"`, `"odd"`, "settings.request_classes.0.semantics: "},
		{`300000`, `-1`, "settings.request_classes.0.aim_us: "},
		{`"settings":{`, `"set":{`, "settings: "},
		{`"name"`, `name`, "not valid JSON"},
	} {
		require.Contains(t, validConfig, tc.old)
		_, err := load(t, strings.Replace(validConfig, tc.old, tc.new, 1), nil)
		assert.ErrorContains(t, err, tc.want)
	}
	_, err := Load(func(string) string { return "" })
	assert.ErrorContains(t, err, "GW_CONFIG: ")
}
