package hostgroup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/balance"
)

func TestListsAreReadOrNamedFaulty(t *testing.T) {
	l, err := ParseList([]byte(`{"rev":43,"all":false,"new":1,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:7",
		"az":"a","model":"m2","pod_group":3,"state":"terminating","capacity_hint":1.5,"boot_ms":1700000000123}]}`))
	require.NoError(t, err)
	assert.Equal(t, int64(43), l.Rev)
	assert.False(t, l.All)
	assert.Equal(t, []balance.Listing{{Server: "s-1", Zone: "a", Cell: 3, Weight: 1.5, State: balance.Draining,
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

func TestAnswersAreReadOnceComplete(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nConnection: close\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	} {
		for i := range whole {
			a, err := parseAnswer([]byte(whole[:i]))
			require.NoError(t, err)
			require.Zero(t, a.size, "%q is not complete", whole[:i])
		}
		a, err := parseAnswer([]byte(whole + "HTTP/1.1"))
		require.NoError(t, err)
		assert.Equal(t, answer{status: 200, body: []byte("hello"), size: len(whole), close: true}, a)
	}
	for _, broken := range []string{
		"HTTP/1.1 OK\r\n\r\n", "SMTP 200\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		_, err := parseAnswer([]byte(broken))
		assert.Error(t, err, broken)
	}
}

// FuzzAnswer feeds both parsers: an error is fine, a panic or a size beyond the data is not.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n{\"rev\":1,\"all\":true,\"targets\":[]}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := parseAnswer(data)
		if err != nil || a.size == 0 {
			return
		}
		require.LessOrEqual(t, a.size, len(data))
		_, _ = ParseList(a.body)
	})
}
