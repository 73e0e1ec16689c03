package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/settings"
)

const baseSettings = `{"me":3,"my_zone":"z","round_us":50,"permissions":{"max_attempts":4,"probes":true},
"parties":[{"name":"kota","share":0.5},{"name":"kab","share":0.5}],"request_classes":[
{"name":"c","semantics":"read_like","aim_us":300000,"deadline_us":900000,"points":3},
{"name":"d","semantics":"non_idempotent","aim_us":500000,"deadline_us":3000000,"points":1}],"extra":{"mode":"pass"}}`

func TestAPolicyIsMergedIntoTheSettings(t *testing.T) {
	p, err := Parse([]byte(`{"request_classes":{"d":{"aim_us":2.5e5}},"permissions":{"max_attempts":2},
		"extra":{"message_aim_us":{"d":60000},"tenant_quota_connections":{"kab":7}},"safety":{"cold_from":0.25}}`))
	require.NoError(t, err)
	out, err := p.ApplyTo([]byte(baseSettings))
	require.NoError(t, err)
	set, err := settings.Decode(out)
	require.NoError(t, err)
	want, err := settings.Decode([]byte(baseSettings))
	require.NoError(t, err)
	want.MaxAttempts, want.Safety.ColdCapacity, want.Tenants[1].Quota = 2, 0.25, 7
	want.Classes[1].LatencyTarget, want.Classes[1].MessageLatencyTarget = 250*time.Millisecond, 60*time.Millisecond
	assert.Equal(t, want, set)
}

func TestAPolicyIsIdentifiedByItsContent(t *testing.T) {
	a, err := Parse([]byte(`{"tariffs":{"probe":1000,"peer":-0}, "permissions":{"probes":true}}`))
	require.NoError(t, err)
	b, err := Parse([]byte(`{"permissions":{"probes":true},"tariffs":{"peer":0.0,"probe":1e3}}`))
	require.NoError(t, err)
	c, err := Parse([]byte(`{"permissions":{"probes":true},"tariffs":{"peer":0,"probe":1001}}`))
	require.NoError(t, err)
	assert.Equal(t, a.Hash(), b.Hash())
	assert.NotEqual(t, a.Hash(), c.Hash())
	again, err := Parse(a.Text())
	require.NoError(t, err)
	assert.Equal(t, a, again)
}

func TestEveryFaultNamesItsKey(t *testing.T) {
	for text, want := range map[string]string{
		`[]`: "", `{`: "", `{"me":1}`: "me", `{"extra":{"mode":"pass"}}`: "extra.mode", `{"nonsense":1}`: "nonsense",
		`{"request_classes":{"c":{"semantics":"read_like"}}}`: "request_classes.c.semantics",
		`{"request_classes":[{"aim_us":1}]}`:                  "request_classes",
		`{"request_classes":{"c":{"aim_us":-1}}}`:             "request_classes.c.aim_us",
		`{"request_classes":{"c":{"group":"x"}}}`:             "request_classes.c.group",
		`{"permissions":{"max_attempts":1.5}}`:                "permissions.max_attempts",
		`{"permissions":{"probes":1}}`:                        "permissions.probes",
		`{"safety":{"cold_us":1,"cold_us":2}}`:                "safety.cold_us",
		`{"tariffs":{"moves":null}}`:                          "tariffs.moves",
		`{"extra":{"message_aim_us":{"c":"x"}}}`:              "extra.message_aim_us.c",
	} {
		_, err := Parse([]byte(text))
		var f *Fault
		require.ErrorAs(t, err, &f, text)
		assert.Equal(t, want, f.Key, text)
		assert.NotEmpty(t, f.Action())
	}
	_, err := Parse([]byte(`{"my_zone":"z"}`))
	assert.ErrorContains(t, err, "my_zone: not allowed in a policy: it describes one node")
	for text, want := range map[string]string{
		`{"request_classes":{"x":{"aim_us":1}}}`: "request_classes.x: ",
		`{"parties":{"desa":{"share":1}}}`:       "parties.desa: ",
		`{"permissions":{"max_attempts":0}}`:     "permissions.max_attempts: ",
	} {
		p, err := Parse([]byte(text))
		require.NoError(t, err, text)
		_, err = p.ApplyTo([]byte(baseSettings))
		assert.ErrorContains(t, err, want)
	}
}
