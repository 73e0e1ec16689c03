package main

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fewSockets is a limit under which some forty connections fit.
const fewSockets = 64

// crowd holds idle clients open until the test is over, more than a node may hold.
func crowd(t *testing.T, n *node, count int) {
	t.Helper()
	for range count {
		c, err := net.Dial("tcp", n.addr)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
	}
}

// Idle clients fill the descriptors while discovery is down. Requests, attempts and probes get theirs all the same, and so
// does discovery once it is back.
func TestIdleClientsTakeNothingFromRequestsOrDiscovery(t *testing.T) {
	first, second := newHost(t, "a", echo), newHost(t, "b", echo)
	d := newDiscovery(t)
	cfg := testConfig(t, d, list(1, true, targetsOf(first)...))
	cfg.Sockets = fewSockets
	n := startConfig(t, cfg)
	<-d.asked
	d.answers <- "" // it breaks the first call off
	crowd(t, n, 3*fewSockets)
	for range 5 {
		c := dial(t, n)
		open(c, "")
		assert.Equal(t, "UP r1", c.hear())
	}
	crowd(t, n, 3*fewSockets)
	<-d.asked // it is asked again beside the crowd
	d.answers <- ok(list(2, true, target("a", first.Addr().String(), "terminating"), target("b", second.Addr().String(), "in_service")))
	<-d.asked
	for range 5 {
		c := dial(t, n)
		open(c, "")
		assert.Equal(t, "UP r1", c.hear())
	}
	assert.Len(t, second.firstLines(), 5)
	n.loop.Call(func() { assert.LessOrEqual(t, n.loop.Conns(), fewSockets-ownSockets) })
}

// All nodes start at once, and discovery takes its time for each call: they are ready without it.
func TestNodesThatStartAtOnceAreReadyWhileDiscoveryIsSlow(t *testing.T) {
	const nodes = 12
	d := newDiscovery(t) // it answers nobody before the end
	h := newHost(t, "a", echo)
	for range nodes {
		n := startConfig(t, testConfig(t, d, list(1, true, targetsOf(h)...)))
		assert.Equal(t, "PONG", ping(t, n.addr))
		c := dial(t, n)
		open(c, "")
		assert.Equal(t, "UP r1", c.hear(), "it serves by the hosts that it knew")
	}
}
