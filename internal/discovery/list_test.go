package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/balance"
)

func TestParseListReadsListsAndNamesInvalidKeys(t *testing.T) {
	l, err := ParseList([]byte(`{"rev":43,"all":false,"new":1,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:7",
		"az":"a","model":"m2","pod_group":3,"state":"terminating","capacity_hint":1.5,"boot_ms":1700000000123}]}`))
	require.NoError(t, err)
	assert.Equal(t, int64(43), l.Rev)
	assert.False(t, l.All)
	assert.Equal(t, []balance.Listing{{Server: "s-1", Zone: "a", Kind: "m2", Cell: 3, Weight: 1.5, State: balance.Draining,
		Started: 1700000000123 * time.Millisecond}}, l.Hosts)
	for in, want := range map[string]string{
		`{"rev":43,`:                       "not valid JSON",
		`{"all":true,"targets":[]}`:        "rev: not a number",
		`{"rev":1,"targets":[]}`:           "all: not true or false",
		`{"rev":1,"all":true}`:             "",
		`{"rev":1,"all":true,"targets":3}`: "targets: not a list",
		`{"rev":1,"all":true,"targets":[{"state":"in_service"}]}`:           "targets.0.uid: missing",
		`{"rev":1,"all":true,"targets":[{"uid":"s","state":"odd"}]}`:        "targets.0.state: unknown value",
		`{"rev":1,"all":true,"targets":[{"uid":"s","state":"in_service"}]}`: "targets.0.endpoint: missing",
	} {
		_, err := ParseList([]byte(in))
		if want == "" {
			assert.NoError(t, err, in)
		} else {
			assert.ErrorContains(t, err, want, in)
		}
	}
}

// FuzzList checks that ParseList does not panic on any input. Errors are fine.
func FuzzList(f *testing.F) {
	f.Add([]byte(`{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:7","state":"in_service"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := ParseList(data)
		if err == nil {
			require.Len(t, l.endpoints, len(l.Hosts))
		}
	})
}
