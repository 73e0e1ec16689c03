package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/balance"
)

// The settings of two deployments, with all required keys.
const (
	buildingSettings = `{"areas":["g"],"my_zone":"g","balancers":2,"registry_mode":"ask","weight_source":"nominal",
"permissions":{"connect_timeout_us":250000,"max_attempts":4,"max_retry_after_us":1500000,"probes":true,"retry_after":true},
"safety":{"ask_within_us":10000000,"cold_from":0.37,"cold_us":8000000,"drain_grace_us":2000000,"overload_factor":3,
"tip_after_us":1500000},"tariffs":{"cross_zone":0,"moves":0.022,"peer":0,"probe":0.0019},
"extra":{"mode":"pass","message_aim_us":[250000]},
"request_classes":[{"name":"c","semantics":"idempotency_key","group":"cell","window_us":5000000,"aim_us":300000,
"deadline_us":1200000,"points":3}]}`
	twoCentreSettings = `{"areas":["e","w"],"my_zone":"w","balancers":4,"registry_mode":"ask","weight_source":"nominal",
"permissions":{"connect_timeout_us":250000,"max_attempts":3,"max_retry_after_us":1500000,"probes":true,"retry_after":false},
"safety":{"ask_within_us":10000000,"cold_from":0.33,"cold_us":7100000,"drain_grace_us":3000000,"overload_factor":2.5,
"tip_after_us":1500000},"tariffs":{"cross_zone":0.01,"moves":0.016,"peer":0.01,"probe":0.002},
"extra":{"mode":"pass","message_aim_us":[100000]},
"request_classes":[{"name":"c","semantics":"read_like","group":"all","window_us":5000000,"aim_us":500000,"deadline_us":2000000,
"points":1}]}`
)

// replaced returns a JSON object with the value at a path replaced or removed.
func replaced(t *testing.T, text, path string, value any, remove bool) []byte {
	t.Helper()
	var root any
	require.NoError(t, json.Unmarshal([]byte(text), &root))
	node, parts := root, strings.Split(path, ".")
	for i, part := range parts {
		if list, isList := node.([]any); isList {
			if node = list[0]; i == len(parts)-1 {
				list[0] = value
			}
			continue
		}
		object := node.(map[string]any)
		require.Contains(t, object, part)
		switch {
		case i < len(parts)-1:
			node = object[part]
		case remove:
			delete(object, part)
		default:
			object[part] = value
		}
	}
	raw, err := json.Marshal(root)
	require.NoError(t, err)
	return raw
}

// Each required key is removed, and set out of range, in the settings of both deployments. The fault: missing keys had defaults
// that suited one deployment: the drain grace was two seconds, and without the keys for cold hosts no host was ever cold.
func TestMissingAndOutOfRangeKeysAreNamed(t *testing.T) {
	assertNamed := func(raw []byte, key string, missing bool) {
		t.Helper()
		var e *KeyError
		require.ErrorAs(t, CheckComplete(raw), &e, key)
		assert.Equal(t, key, e.Key)
		assert.Contains(t, e.Action(), "settings."+key)
		if missing {
			assert.NoError(t, CheckRanges(raw), key)
		} else {
			assert.Error(t, CheckRanges(raw), key)
		}
	}
	all := append([]bound{{key: "extra.message_aim_us.0", max: longestTime}}, bounds...)
	for _, b := range classBounds {
		b.key = "request_classes.0." + b.key
		all = append(all, b)
	}
	for _, text := range []string{buildingSettings, twoCentreSettings} {
		require.NoError(t, CheckComplete([]byte(text)))
		set, err := Decode([]byte(text))
		require.NoError(t, err)
		require.NoError(t, Check(set))
		for _, b := range all {
			for _, invalid := range []any{b.min - 1, b.max * 1.01, "many", true} {
				assertNamed(replaced(t, text, b.key, invalid, false), b.key, false)
			}
			for _, valid := range []any{b.min, b.max} {
				assert.NoError(t, CheckComplete(replaced(t, text, b.key, valid, false)), b.key)
			}
		}
		for _, w := range enums {
			assertNamed(replaced(t, text, w.key, "odd", false), w.key, false)
			assertNamed(replaced(t, text, w.key, "", true), w.key, true)
		}
		for _, key := range []string{"balancers", "my_zone", "permissions.max_attempts", "permissions.connect_timeout_us",
			"safety.drain_grace_us", "safety.ask_within_us", "safety.cold_from", "safety.cold_us", "safety.overload_factor",
			"safety.tip_after_us", "tariffs.probe", "request_classes.0.points", "request_classes.0.aim_us"} {
			assertNamed(replaced(t, text, key, nil, true), key, true)
		}
		assertNamed(replaced(t, text, "my_zone", "elsewhere", false), "my_zone", false)
	}
	assertNamed(replaced(t, buildingSettings, "permissions.max_retry_after_us", nil, true), "permissions.max_retry_after_us", true)
	assertNamed(replaced(t, twoCentreSettings, "tariffs.cross_zone", nil, true), "tariffs.cross_zone", true)
	for _, key := range []string{"permissions.max_retry_after_us", "tariffs.moves", "extra.message_aim_us"} {
		assert.NoError(t, CheckComplete(replaced(t, twoCentreSettings, key, nil, true)), "%s is not required there", key)
	}
	assert.NoError(t, CheckComplete(replaced(t, buildingSettings, "tariffs.cross_zone", nil, true)), "there is only one zone")
}

// A file without the group of a class with an idempotency key was accepted, and the group read as that of all hosts: a request
// ran in two cells. Which keys a class needs depends on its semantics.
func TestAClassWithAnIdempotencyKeyNeedsItsGroupAndWindow(t *testing.T) {
	const group, window = "request_classes.0.group", "request_classes.0.window_us"
	for _, key := range []string{group, window} {
		var e *KeyError
		for name, raw := range map[string][]byte{"absent": replaced(t, buildingSettings, key, nil, true),
			"null": replaced(t, buildingSettings, key, nil, false), "empty": replaced(t, buildingSettings, key, "", false)} {
			require.ErrorAs(t, CheckComplete(raw), &e, "%s %s", key, name)
			assert.Equal(t, key, e.Key, name)
		}
		for _, semantics := range []string{"read_like", "non_idempotent"} {
			other := replaced(t, twoCentreSettings, "request_classes.0.semantics", semantics, false)
			assert.NoError(t, CheckComplete(replaced(t, string(other), key, nil, true)), "%s without %s", semantics, key)
		}
	}
	// Where completeness is not demanded, an absent group is the narrowest.
	set, err := Decode(replaced(t, buildingSettings, group, nil, true))
	require.NoError(t, err)
	assert.Equal(t, balance.GroupCell, set.Classes[0].Group)
}
