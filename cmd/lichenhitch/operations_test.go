package main

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// callOperatorAPI calls the operator API and returns the status code.
func callOperatorAPI(t *testing.T, addr, operation string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: %s\r\n\r\n", operation, addr)
	require.NoError(t, err)
	response, err := io.ReadAll(c)
	require.NoError(t, err)
	return strings.Fields(string(response) + " - -")[1]
}

// changeByOperator calls an operation that changes the state shared by the processes of the node. If another process
// holds the lock for longer than a change waits, as on an overloaded machine, the status is 503 and the call is
// repeated.
func changeByOperator(t *testing.T, addr, operation string) {
	t.Helper()
	status := callOperatorAPI(t, addr, operation)
	for until := time.Now().Add(testTimeout); status == "503" && time.Now().Before(until); status = callOperatorAPI(t, addr, operation) {
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, "200", status)
}

// ping returns the node's response to PING.
func ping(t *testing.T, addr string) string {
	c := dialAt(t, addr)
	defer c.Close()
	c.send("PING")
	return c.receive()
}

// No new request goes to a banned host, though the list has it in service, and it is used again after the ban is
// lifted. An unknown host gives 404.
func TestOperatorBansAHostAndLiftsTheBan(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(a, b)...))
	operatorAddr := n.operatorAPI.Addr()
	require.Equal(t, "404", callOperatorAPI(t, operatorAddr, "POST /v1/hosts/c/suspend"))
	require.Equal(t, "404", callOperatorAPI(t, operatorAddr, "POST /v1/hosts/c/resume"))
	for range 2 {
		changeByOperator(t, operatorAddr, "POST /v1/hosts/a/suspend")
	}
	for range 5 {
		c := dial(t, n)
		open(c, "")
		require.Equal(t, "UP r1", c.receive())
	}
	assert.Empty(t, a.firstLines())
	for range 2 { // the second call changes nothing
		changeByOperator(t, operatorAddr, "POST /v1/hosts/a/resume")
	}
	for len(a.firstLines()) == 0 {
		c := dial(t, n)
		open(c, "")
		require.Equal(t, "UP r1", c.receive())
	}
}

// A request with a pending attempt at the time its host is banned continues, and so does an established connection,
// until it is moved.
func TestBanWhileAnAttemptIsPending(t *testing.T) {
	release := make(chan struct{})
	h := newHost(t, "a", func(line string, c net.Conn, r *bufio.Reader) {
		<-release
		echo(line, c, r)
	})
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	c := dial(t, n)
	open(c, "")
	for len(h.firstLines()) == 0 {
		time.Sleep(time.Millisecond)
	}
	changeByOperator(t, n.operatorAPI.Addr(), "POST /v1/hosts/a/suspend")
	close(release)
	require.Equal(t, "UP r1", c.receive())
	assert.Equal(t, "MOVE", c.receive())
	c.assertClosed()
	assert.Len(t, h.firstLines(), 1)
}

// A draining node answers PING with BUSY at once and still serves clients that connect. In this mode packets pass
// through, so that established connections continue elsewhere.
func TestNodeDrainsAndServesAgain(t *testing.T) {
	h := newHost(t, "a", echo)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	operatorAddr, addr := n.operatorAPI.Addr(), n.addr
	for callOperatorAPI(t, operatorAddr, "GET /v1/readyz") != "200" {
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, "200", callOperatorAPI(t, operatorAddr, "POST /v1/node/activate"), "the state is already as requested")
	require.Equal(t, "PONG", ping(t, addr))
	c := dial(t, n)
	open(c, "")
	require.Equal(t, "UP r1", c.receive())
	for range 2 {
		changeByOperator(t, operatorAddr, "POST /v1/node/drain")
		require.Equal(t, "BUSY", ping(t, addr))
		require.Equal(t, "503", callOperatorAPI(t, operatorAddr, "GET /v1/readyz"))
	}
	late := dial(t, n)
	open(late, "")
	require.Equal(t, "UP r1", late.receive())
	for _, c := range []*client{c, late} {
		c.send("M 1")
		require.Equal(t, "M 1", c.receive())
	}
	changeByOperator(t, operatorAddr, "POST /v1/node/activate")
	require.Equal(t, "PONG", ping(t, addr))
	require.Equal(t, "200", callOperatorAPI(t, operatorAddr, "GET /v1/readyz"))
}

// Where connections end at the node, all its clients are moved, including those that are established meanwhile.
func TestDrainingNodeMovesItsClients(t *testing.T) {
	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg.Settings.PassThrough = false
	n := startConfig(t, cfg)
	var clients []*client
	for range 6 {
		c := dial(t, n)
		open(c, "")
		require.Equal(t, "UP r1", c.receive())
		clients = append(clients, c)
	}
	changeByOperator(t, n.operatorAPI.Addr(), "POST /v1/node/drain")
	late := dial(t, n)
	open(late, "")
	require.Equal(t, "UP r1", late.receive())
	for _, c := range append(clients, late) {
		assert.Equal(t, "MOVE", c.receive())
		c.assertClosed()
	}
}

// Without a host list a node is not ready. With an old one, it waits a while for discovery and is then ready all the
// same.
func TestNodeIsReadyOnceItHasAList(t *testing.T) {
	h := newHost(t, "a", echo)
	d := newDiscovery(t)
	cfg := testConfig(t, d, list(1, true, targetsOf(h)...))
	old := startConfig(t, cfg)
	cfg.Known = nil
	n := startConfig(t, cfg)
	for callOperatorAPI(t, old.operatorAPI.Addr(), "GET /v1/readyz") != "200" {
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, "503", callOperatorAPI(t, n.operatorAPI.Addr(), "GET /v1/readyz"))
	for range 2 { // one response for each node's watch
		d.responses <- ok(list(1, true, targetsOf(h)...))
	}
	for callOperatorAPI(t, n.operatorAPI.Addr(), "GET /v1/readyz") != "200" {
		time.Sleep(time.Millisecond)
	}
}

// If the management address is in use, the start fails with an error that names the key.
func TestManagementAddressInUseIsReported(t *testing.T) {
	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg.Management = h.Addr().String()
	_, err := start(slog.New(slog.NewTextHandler(io.Discard, nil)), cfg)
	assert.ErrorContains(t, err, "management: ")
}

// As many operator connections stall as there is room for, and clients keep connecting: every valid call is answered,
// and no client is refused for lack of a descriptor, though the node may hold few.
func TestStalledOperatorCallsTakeNoDescriptorsFromClients(t *testing.T) {
	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg.Sockets = 64
	n := startConfig(t, cfg)
	for i := range 40 {
		stalled, err := net.Dial("tcp", n.operatorAPI.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { stalled.Close() })
		_, err = io.WriteString(stalled, "POST /v1/node/drain HTTP/1.1\r\n"[:i%30])
		require.NoError(t, err)
		require.Equal(t, "UP r1\r\nBYE\r\n", requestOnce(n.addr))
		changeByOperator(t, n.operatorAPI.Addr(), "POST /v1/hosts/a/resume")
	}
	var held int
	n.loop.Call(func() { held = n.loop.Conns() })
	assert.LessOrEqual(t, held, cfg.Sockets-reservedSockets)
}
