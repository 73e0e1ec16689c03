package management

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/evloop"
)

// scripted is a node that knows one host and records its calls.
type scripted struct {
	loop       *evloop.Loop
	asked      chan string
	holdResume bool // Resume does not call done
}

func (n *scripted) Ready() error { return errors.New("the list is \"old\"") }
func (n *scripted) Suspend(host string, done func(error)) {
	n.asked <- "suspend " + host
	if host != "s-1" {
		done(fmt.Errorf("%w: %s", ErrUnknown, host))
		return
	}
	n.loop.After(time.Millisecond, func() { done(nil) })
}
func (n *scripted) Resume(host string, done func(error)) {
	n.asked <- "resume " + host
	if !n.holdResume {
		done(nil)
	}
}
func (n *scripted) Drain(done func(error))    { n.asked <- "drain"; done(nil) }
func (n *scripted) Activate(done func(error)) { n.asked <- "activate"; done(errors.New("no")) }

func startAPI(t *testing.T) (*scripted, string) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	loop, err := evloop.Start(log, evloop.Limits{Conns: 100, Queued: 1 << 16})
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	n := &scripted{loop: loop, asked: make(chan string, 1000)}
	ln, err := loop.Listen("127.0.0.1:0", New(log, loop, n).Accept)
	require.NoError(t, err)
	return n, ln.Addr()
}

func connect(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

// call sends a request and returns the status and the body that are received before the connection is closed.
func call(t *testing.T, addr, text string) (string, string) {
	t.Helper()
	c := connect(t, addr)
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	all, err := io.ReadAll(c)
	require.NoError(t, err)
	head, body, _ := strings.Cut(string(all), "\r\n\r\n")
	require.Contains(t, head, "Content-Length: "+fmt.Sprint(len(body)))
	return strings.Fields(head + " - -")[1], body
}

func TestCallsReachTheNodeAndAreAnswered(t *testing.T) {
	n, addr := startAPI(t)
	for _, tc := range []struct{ call, status, body, asked string }{
		{"GET /v1/readyz", "503", `{"error":"not ready: the list is \"old\""}`, ""},
		{"POST /v1/hosts/s-1/suspend", "200", `{"done":"hosts/s-1/suspend"}`, "suspend s-1"},
		{"POST /v1/hosts/s%2D1/suspend", "200", `{"done":"hosts/s-1/suspend"}`, "suspend s-1"},
		{"POST /v1/hosts/a/b/resume", "200", `{"done":"hosts/a/b/resume"}`, "resume a/b"},
		{"POST /v1/hosts/s-9/suspend", "404", `{"error":"no host with this id is known: s-9"}`, "suspend s-9"},
		{"POST /v1/node/drain", "200", `{"done":"node/drain"}`, "drain"},
		{"POST /v1/node/activate", "503", `{"error":"no"}`, "activate"},
		{"GET /v1/node/drain", "405", `{"error":"this path takes POST"}`, ""},
		{"POST /v1/readyz", "405", `{"error":"this path takes GET"}`, ""},
		{"POST /v1/hosts//suspend", "404", `{"error":"no such path: /v1/hosts//suspend"}`, ""},
		{"POST /v1/hosts/s-1", "404", `{"error":"no such path: /v1/hosts/s-1"}`, ""},
		{"POST /v1/hosts/s-1/kill", "404", `{"error":"no such path: /v1/hosts/s-1/kill"}`, ""},
	} {
		status, body := call(t, addr, tc.call+" HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.Equal(t, tc.status, status, tc.call)
		assert.Equal(t, tc.body+"\n", body, tc.call)
		if tc.asked != "" {
			assert.Equal(t, tc.asked, <-n.asked)
		}
	}
	assert.Empty(t, n.asked)
}

// An unexpected request body or a second call on the same connection must have no effect and must not prevent the answer.
func TestInvalidCallsAreAnsweredWithoutEffect(t *testing.T) {
	n, addr := startAPI(t)
	for text, want := range map[string]string{
		"POST /v1/node/drain HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000): "200",
		"POST /v1/node/drain HTTP/1.1\r\n\r\nPOST /v1/hosts/s-1/suspend HTTP/1.1\r\n\r\n":            "200",
		"garbage\r\n\r\n": "400",
		"POST /v1/node/drain HTTP/1.1\r\nContent-Length: -1\r\n\r\n": "400",
		"POST /" + strings.Repeat("x", 20000):                        "431",
	} {
		status, _ := call(t, addr, text)
		assert.Equal(t, want, status, "%.40q", text)
	}
	assert.Len(t, n.asked, 2)
	assert.Equal(t, "drain", <-n.asked)
	assert.Equal(t, "drain", <-n.asked)
}

func TestCallArrivesByteByByteAndItsCallerMayDisconnect(t *testing.T) {
	n, addr := startAPI(t)
	c := connect(t, addr)
	for _, b := range []byte("POST /v1/node/drain HTTP/1.1\r\nHost: x\r\n\r\n") {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	assert.Equal(t, "drain", <-n.asked)

	c = connect(t, addr)
	_, err := io.WriteString(c, "POST /v1/hosts/s-1/suspend HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	assert.Equal(t, "suspend s-1", <-n.asked)
	status, _ := call(t, addr, "GET /v1/readyz HTTP/1.1\r\n\r\n")
	assert.Equal(t, "503", status, "the API must still answer")
}

// Callers send nothing or part of a request and stay connected. The oldest of them must be closed, the latest must get status
// 408, and complete calls must still be answered.
func TestStalledCallersAreEvicted(t *testing.T) {
	n, addr := startAPI(t)
	var stalled []net.Conn
	for i := range 5 * maxConns {
		c := connect(t, addr)
		_, err := io.WriteString(c, "POST /v1/node/drain HTTP/1.1\r\nHo"[:i%30])
		require.NoError(t, err)
		stalled = append(stalled, c)
		status, _ := call(t, addr, "POST /v1/hosts/s-1/suspend HTTP/1.1\r\n\r\n")
		require.Equal(t, "200", status)
		require.Equal(t, "suspend s-1", <-n.asked)
	}
	var held int
	n.loop.Call(func() { held = n.loop.ActiveConns() })
	assert.Zero(t, held, "all of them must be evictable when clients need connections")
	_, err := stalled[0].Read(make([]byte, 1))
	require.Error(t, err, "the oldest connection must be closed")
	all, err := io.ReadAll(stalled[len(stalled)-1])
	require.NoError(t, err)
	assert.Contains(t, string(all), "408 Request Timeout")
	assert.Empty(t, n.asked)
}

// A call that does not take effect must still be answered on time, and its connection must not be evicted for others.
func TestSlowCallIsAnsweredOnTime(t *testing.T) {
	n, addr := startAPI(t)
	n.loop.Call(func() { n.holdResume = true })
	answered := make(chan string)
	go func() {
		status, _ := call(t, addr, "POST /v1/hosts/s-1/resume HTTP/1.1\r\n\r\n")
		answered <- status
	}()
	assert.Equal(t, "resume s-1", <-n.asked)
	for range 3 * maxConns {
		connect(t, addr)
	}
	assert.Equal(t, "503", <-answered)
}
