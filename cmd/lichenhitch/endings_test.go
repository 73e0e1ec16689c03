package main

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// The stories here place bytes in the kernel's buffers while the node's loop is held, so that an end and what crosses it
// meet in a known order.

// delivered waits until the peer's kernel has all that was written to a connection.
func delivered(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		left := -1
		require.NoError(t, raw.Control(func(fd uintptr) { left, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }))
		return err == nil && left == 0
	}, patience, time.Millisecond)
}

// served returns a node, a client that it serves, and the host's end of that connection.
func served(t *testing.T) (*node, *client, net.Conn) {
	t.Helper()
	conns := make(chan net.Conn, 1)
	h := newHost(t, "a", func(_ string, c net.Conn, _ *bufio.Reader) {
		io.WriteString(c, "UP r1\r\n")
		conns <- c
		<-t.Context().Done()
	})
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	c := dial(t, n)
	open(c, "")
	require.Equal(t, "UP r1", c.hear())
	return n, c, <-conns
}

// Half a line of a host lies unread when its client is moved. A close over it would reset the host's side.
func TestMovingOverUnreadInputResetsNoHost(t *testing.T) {
	n, client, hostConn := served(t)
	n.loop.Call(func() {
		_, err := io.WriteString(hostConn, "M 1 half")
		require.NoError(t, err)
		delivered(t, hostConn)
		n.core.MoveOldest(1)
	})
	assert.Equal(t, "MOVE", client.hear())
	rest, err := io.ReadAll(hostConn)
	assert.NoError(t, err, "the host is ended in good order")
	assert.Empty(t, rest)
}

// A client's line is under way to a host that says its last word and closes over it. The word reaches the client all the
// same, and in good order.
func TestALastWordSurvivesALineThatCrossesIt(t *testing.T) {
	n, client, hostConn := served(t)
	n.loop.Call(func() {
		client.say("M 1 ab")
		delivered(t, client.Conn) // so that the loop looks at the client first
		_, err := io.WriteString(hostConn, "BYE\r\n")
		require.NoError(t, err)
		delivered(t, hostConn)
		require.NoError(t, hostConn.(*net.TCPConn).SetLinger(0))
		require.NoError(t, hostConn.Close())
	})
	got, err := io.ReadAll(client.r)
	require.NoError(t, err, "the end is in good order, as the host's")
	assert.Equal(t, "BYE\r\n", string(got))
}

// leaving has a node leave and returns what is closed once it has left.
func leaving(n *node) chan struct{} {
	left := make(chan struct{})
	go func() {
		defer close(left)
		n.leave()
	}()
	return left
}

// awaitClosedDoor waits until a node accepts no more.
func awaitClosedDoor(t *testing.T, n *node) {
	t.Helper()
	require.Eventually(t, func() bool {
		closed := false
		n.loop.Call(func() { closed = n.retired != nil && n.retired.Done() })
		return closed
	}, patience, time.Millisecond)
}

// awaitLooks waits until a node that leaves has sent all away and then looked whether it may end. Timers of one loop fire in
// the order in which they are due.
func awaitLooks(t *testing.T, n *node) {
	t.Helper()
	require.Eventually(t, func() bool {
		gone := false
		n.loop.Call(func() { gone = n.service.Shutdown.AllClosed })
		return gone
	}, patience, time.Millisecond)
	looked := make(chan struct{})
	n.loop.Call(func() { n.loop.After(2*leaveLook, func() { close(looked) }) })
	<-looked
}

// Half of a request has come when the node closes its door: the rest of it is waited for, and served.
func TestHalfARequestIsWaitedForByANodeThatLeaves(t *testing.T) {
	h := newHost(t, "a", echo)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	client := dial(t, n)
	_, err := io.WriteString(client, "OPEN 77 7f3a c=chat,")
	require.NoError(t, err)
	left := leaving(n)
	awaitClosedDoor(t, n)
	client.say("d=15000")
	assert.Equal(t, "UP r1", client.hear())
	client.say("end")
	assert.Equal(t, "BYE", client.hear())
	client.Close()
	<-left
}

// A client that has sent nothing is told when the node leaves, and what it sends just then is answered by that: it goes to
// no host, and the node does not end before the answer was taken.
func TestARequestThatCrossesTheEndOfANodeIsAnswered(t *testing.T) {
	h := newHost(t, "a", echo)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	client := dial(t, n)
	require.Eventually(t, func() bool {
		resting := 0
		n.loop.Call(func() { resting = n.acceptor.AwaitingRequest() })
		return resting == 1
	}, patience, time.Millisecond)
	n.loop.Call(func() {
		open(client, "")
		delivered(t, client.Conn)
		n.acceptor.ThrottleAwaiting()
	})
	left := leaving(n)
	awaitClosedDoor(t, n)
	assert.Equal(t, "BUSY 1000", client.hear())
	rest, err := io.ReadAll(client.r)
	require.NoError(t, err, "the answer is not followed by a reset")
	assert.Empty(t, rest)
	awaitLooks(t, n)
	select {
	case <-n.empty:
		t.Fatal("the node ended before its client had closed")
	default:
	}
	require.NoError(t, client.Close())
	<-left
	assert.Empty(t, h.firstLines())
}
