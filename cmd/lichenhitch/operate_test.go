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

// call makes an operator's call and returns the status.
func call(t *testing.T, addr, what string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	_, err = fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: %s\r\n\r\n", what, addr)
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	return strings.Fields(string(answer) + " - -")[1]
}

// does has a call carried out that changes what the processes of the node share. Where another one holds the lock for longer than
// a change waits, as on a machine that stands still, whoever calls is told so and calls again.
func does(t *testing.T, addr, what string) {
	t.Helper()
	status := call(t, addr, what)
	for until := time.Now().Add(patience); status == "503" && time.Now().Before(until); status = call(t, addr, what) {
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, "200", status)
}

// ping returns what the node says to PING.
func ping(t *testing.T, addr string) string {
	c := dialAt(t, addr)
	defer c.Close()
	c.say("PING")
	return c.hear()
}

// Nothing new goes to a host that is out, though the list calls it in service, and it is in use again after the call
// back. One that nobody knows is owed a no.
func TestAHostIsTakenOutAndBackByHand(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(a, b)...))
	at := n.desk.Addr()
	require.Equal(t, "404", call(t, at, "POST /v1/hosts/c/suspend"))
	require.Equal(t, "404", call(t, at, "POST /v1/hosts/c/resume"))
	for range 2 {
		does(t, at, "POST /v1/hosts/a/suspend")
	}
	for range 5 {
		c := dial(t, n)
		open(c, "")
		require.Equal(t, "UP r1", c.hear())
	}
	assert.Empty(t, a.firstLines())
	for range 2 { // the second asks for what holds already
		does(t, at, "POST /v1/hosts/a/resume")
	}
	for len(a.firstLines()) == 0 {
		c := dial(t, n)
		open(c, "")
		require.Equal(t, "UP r1", c.hear())
	}
}

// A query whose attempt is out when its host is taken out goes on, and so does one that stands, until it is moved.
func TestAHostIsTakenOutWhileAnAttemptIsOutThere(t *testing.T) {
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
	does(t, n.desk.Addr(), "POST /v1/hosts/a/suspend")
	close(release)
	require.Equal(t, "UP r1", c.hear())
	assert.Equal(t, "MOVE", c.hear())
	c.ended()
	assert.Len(t, h.firstLines(), 1)
}

// A node that drains says no at once and serves who comes all the same. Here packets pass through, so that what stands
// is carried on.
func TestANodeDrainsAndServesAgain(t *testing.T) {
	h := newHost(t, "a", echo)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	at, addr := n.desk.Addr(), n.addr
	for call(t, at, "GET /v1/readyz") != "200" {
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, "200", call(t, at, "POST /v1/node/activate"), "what it asks for holds")
	require.Equal(t, "PONG", ping(t, addr))
	c := dial(t, n)
	open(c, "")
	require.Equal(t, "UP r1", c.hear())
	for range 2 {
		does(t, at, "POST /v1/node/drain")
		require.Equal(t, "BUSY", ping(t, addr))
		require.Equal(t, "503", call(t, at, "GET /v1/readyz"))
	}
	late := dial(t, n)
	open(late, "")
	require.Equal(t, "UP r1", late.hear())
	for _, c := range []*client{c, late} {
		c.say("M 1")
		require.Equal(t, "M 1", c.hear())
	}
	does(t, at, "POST /v1/node/activate")
	require.Equal(t, "PONG", ping(t, addr))
	require.Equal(t, "200", call(t, at, "GET /v1/readyz"))
}

// Where connections end at the node, its clients are moved, all of them and also those that come up meanwhile.
func TestANodeThatDrainsMovesItsClients(t *testing.T) {
	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg.Settings.PassThrough = false
	n := startConfig(t, cfg)
	var clients []*client
	for range 6 {
		c := dial(t, n)
		open(c, "")
		require.Equal(t, "UP r1", c.hear())
		clients = append(clients, c)
	}
	does(t, n.desk.Addr(), "POST /v1/node/drain")
	late := dial(t, n)
	open(late, "")
	require.Equal(t, "UP r1", late.hear())
	for _, c := range append(clients, late) {
		assert.Equal(t, "MOVE", c.hear())
		c.ended()
	}
}

// Without any list there is nothing to serve with. With an old one, a node waits for discovery a while and is then ready
// all the same.
func TestANodeIsReadyOnceItHasAList(t *testing.T) {
	h := newHost(t, "a", echo)
	d := newDiscovery(t)
	cfg := testConfig(t, d, list(1, true, targetsOf(h)...))
	old := startConfig(t, cfg)
	cfg.Known = nil
	n := startConfig(t, cfg)
	for call(t, old.desk.Addr(), "GET /v1/readyz") != "200" {
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, "503", call(t, n.desk.Addr(), "GET /v1/readyz"))
	for range 2 { // one answer for each node's watch
		d.answers <- ok(list(1, true, targetsOf(h)...))
	}
	for call(t, n.desk.Addr(), "GET /v1/readyz") != "200" {
		time.Sleep(time.Millisecond)
	}
}

// The management address is in use: the start ends with an error that names the key, and the other address is free.
func TestAnAddressInUseIsNamed(t *testing.T) {
	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg.Management = h.Addr().String()
	_, err := start(slog.New(slog.NewTextHandler(io.Discard, nil)), cfg)
	assert.ErrorContains(t, err, "management: ")
}

// As many callers stall as there is room for, and clients keep coming: every good call is answered, and no client is
// turned away for want of a descriptor, though the node may hold few.
func TestStalledCallersTakeNothingFromClients(t *testing.T) {
	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg.Sockets = 64
	n := startConfig(t, cfg)
	for i := range 40 {
		stalled, err := net.Dial("tcp", n.desk.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { stalled.Close() })
		_, err = io.WriteString(stalled, "POST /v1/node/drain HTTP/1.1\r\n"[:i%30])
		require.NoError(t, err)
		require.Equal(t, "UP r1\r\nBYE\r\n", ask(n.addr))
		does(t, n.desk.Addr(), "POST /v1/hosts/a/resume")
	}
	var held int
	n.loop.Call(func() { held = n.loop.Conns() })
	assert.LessOrEqual(t, held, cfg.Sockets-ownSockets)
}
