package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/config"
	"lichenhitch/internal/settings"
)

// registrySettings are those of another kind of service: other names, and classes whose requests may not simply be
// repeated.
const registrySettings = `{"balancers":1,"my_zone":"z","registry_mode":"ask","round_us":2000,"weight_source":"silent",
"permissions":{"probes":true,"max_attempts":3,"retry_after":false,"connect_timeout_us":400000},
"extra":{"mode":"proxy","message_aim_us":[0,0,0,0,0]},"parties":[{"name":"harbour-office","share":1}],
"safety":{"ask_within_us":2000000,"cold_us":1000000,"cold_from":0.2,"overload_factor":2,"tip_after_us":500000,
"drain_grace_us":300000},"tariffs":{"probe":0},
"request_classes":[
 {"name":"read-berth","aim_us":900000,"deadline_us":5000000,"semantics":"read_like","points":1},
 {"name":"pay-fee","aim_us":900000,"deadline_us":5000000,"semantics":"non_idempotent","points":4},
 {"name":"book-any","aim_us":900000,"deadline_us":5000000,"semantics":"idempotency_key","group":"all","window_us":60000000,"points":2},
 {"name":"book-cell","aim_us":900000,"deadline_us":5000000,"semantics":"idempotency_key","group":"cell","window_us":60000000,"points":2},
 {"name":"book-brief","aim_us":900000,"deadline_us":5000000,"semantics":"idempotency_key","group":"all","window_us":1000,"points":2}]}`

// failure is the behavior of the host that gets the first attempt; hosts that get later ones serve.
type failure func(c net.Conn)

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func respond(line string) failure { return func(c net.Conn) { io.WriteString(c, line) } }

// What a class allows decides what happens after an attempt that may have run, under whatever names the settings use.
func TestWhatMayHaveRunIsRepeatedOnlyAsItsClassAllows(t *testing.T) {
	const served, failed, refused = "UP r1", "FAIL", "BUSY"
	for name, c := range map[string]struct {
		class string
		first failure
		want  string
	}{
		"a read is repeated":                               {"read-berth", resetConn, served},
		"what must not run twice is not repeated":          {"pay-fee", resetConn, failed},
		"not repeated after an error":                      {"pay-fee", respond("ERR\r\n"), failed},
		"not repeated after an invalid answer":             {"pay-fee", respond("UP\x00\r\n"), failed},
		"sent to another host if it has not run":           {"pay-fee", respond("BUSY\r\n"), served},
		"repeated on any host with a key that all know":    {"book-any", resetConn, served},
		"not repeated outside the cell that knows its key": {"book-cell", resetConn, failed},
		"sent to another cell if it has not run":           {"book-cell", respond("BUSY\r\n"), served},
		"refused after its window, as that is harmless":    {"book-brief", resetConn, refused},
	} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int32
			script := func(line string, conn net.Conn, r *bufio.Reader) {
				if attempts.Add(1) == 1 {
					c.first(conn)
					return
				}
				echo(line, conn, r)
			}
			d := newDiscovery(t)
			a, b := newHost(t, "a", script), newHost(t, "b", script)
			inCell := func(h *host, cell string) string {
				return strings.Replace(target(h.uid, h.Addr().String(), "in_service"), `"pod_group":0`, `"pod_group":`+cell, 1)
			}
			cfg := testConfig(t, d, list(1, true, inCell(a, "1"), inCell(b, "2")))
			set, err := settings.Decode([]byte(registrySettings))
			require.NoError(t, err)
			require.NoError(t, settings.CheckComplete([]byte(registrySettings)))
			cfg.Settings, cfg.RawSettings = set, []byte(registrySettings)
			client := dial(t, startConfig(t, cfg))
			client.send("OPEN 5 7f3a c=" + c.class + ",t=harbour-office,d=5000")
			assert.Equal(t, c.want, client.receive())
			lines := len(a.firstLines()) + len(b.firstLines())
			if c.want == served {
				assert.Equal(t, 2, lines)
			} else {
				client.assertClosed()
				assert.Equal(t, 1, lines, "no second attempt")
			}
		})
	}
}

// registryConfig returns the configuration of a node with registrySettings and one host.
func registryConfig(t *testing.T, h *host) config.Config {
	t.Helper()
	return withSettings(t, testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...)), registrySettings)
}

// firstAnswer sends a request and returns its first answer.
func firstAnswer(t *testing.T, addr, id, class, extra string) string {
	t.Helper()
	c := dialAt(t, addr)
	defer c.Close()
	c.send("OPEN " + id + " 7f3a c=" + class + ",t=harbour-office,d=5000" + extra)
	return c.receive()
}

// leaveWhileWaiting sends a request that no host answers, and leaves once it has reached the host and the host has seen that.
func leaveWhileWaiting(t *testing.T, addr string, gone <-chan struct{}, id, class string) {
	t.Helper()
	c := dialAt(t, addr)
	c.send("OPEN " + id + " 7f3a c=" + class + ",t=harbour-office,d=5000,x=hang")
	<-gone // the host has the line
	require.NoError(t, c.Close())
	<-gone // the attempt is given up
}

// newHangingHost returns a host that answers no request with x=hang, and sends to gone when it gets one and when that is
// given up. It turns away what has x=busy.
func newHangingHost(t *testing.T) (h *host, gone <-chan struct{}) {
	events := make(chan struct{})
	return newHost(t, "a", func(line string, c net.Conn, r *bufio.Reader) {
		switch {
		case strings.Contains(line, "x=hang"):
			events <- struct{}{}
			hang(line, c, r)
			events <- struct{}{}
		case strings.Contains(line, "x=busy"):
			respond("BUSY\r\n")(c)
		default:
			echo(line, c, r)
		}
	}), events
}

const usedIDAnswer = "ERR the id was used before"

// An id that came again after its client had left was served again, and its request ran twice. What must not run again is
// refused, whether its client has left or was served; what may be repeated, or has not run, is not.
func TestIDOfARequestThatMayHaveRunIsNotServedAgain(t *testing.T) {
	const served = "UP r1"
	h, gone := newHangingHost(t)
	n := startConfig(t, registryConfig(t, h))
	for _, class := range []string{"pay-fee", "book-cell", "book-any"} {
		leaveWhileWaiting(t, n.addr, gone, class, class)
		assert.Equal(t, usedIDAnswer, firstAnswer(t, n.addr, class, class, ""), class)
		assert.Equal(t, usedIDAnswer, firstAnswer(t, n.addr, class, "read-berth", ""), "as another class")
		assert.Equal(t, served, firstAnswer(t, n.addr, class, class, ",mid=1"), "it runs nothing anew")
	}
	leaveWhileWaiting(t, n.addr, gone, "r", "read-berth")
	assert.Equal(t, served, firstAnswer(t, n.addr, "r", "read-berth", ""), "it may be repeated")
	require.Contains(t, firstAnswer(t, n.addr, "b", "pay-fee", ",x=busy"), "BUSY")
	assert.Equal(t, served, firstAnswer(t, n.addr, "b", "pay-fee", ""), "it has not run")
	require.Equal(t, served, firstAnswer(t, n.addr, "s", "pay-fee", ""))
	require.Eventually(t, func() (ended bool) {
		n.loop.Call(func() { ended = n.core.Established() == 0 })
		return ended
	}, testTimeout, time.Millisecond)
	assert.Equal(t, usedIDAnswer, firstAnswer(t, n.addr, "s", "pay-fee", ""), "it was served")
}

// awaitUsedIDs waits until a process knows of that many used ids.
func awaitUsedIDs(t *testing.T, n *node, want int) {
	t.Helper()
	require.Eventually(t, func() bool {
		var known int
		n.loop.Call(func() { known = n.acceptor.UsedIDCount() })
		return known == want
	}, testTimeout, time.Millisecond)
}

// The same at the other process of an upgrade, while both run, once the old one has ended, and after a plain restart.
func TestUsedIDsAreKnownToTheOtherProcesses(t *testing.T) {
	h, gone := newHangingHost(t)
	cfg := registryConfig(t, h)
	old := startConfig(t, cfg)
	awaitReady(t, old)
	leaveWhileWaiting(t, old.addr, gone, "early", "pay-fee")
	cfg = successorConfig(old, cfg)
	waiting := dial(t, old)
	waiting.send("OPEN late 7f3a c=pay-fee,t=harbour-office,d=86400000,x=hang")
	<-gone
	next := startConfig(t, cfg)
	awaitReady(t, next)
	for callOperatorAPI(t, old.operatorAPI.Addr(), "GET /v1/readyz") == "200" {
		time.Sleep(time.Millisecond)
	}
	// Until the shared state has told them, the ids are locked by the old process.
	assert.Contains(t, firstAnswer(t, next.addr, "early", "pay-fee", ""), "ERR the id ")
	awaitUsedIDs(t, next, 1)
	assert.Equal(t, usedIDAnswer, firstAnswer(t, next.addr, "early", "pay-fee", ""))
	require.NoError(t, waiting.Close()) // its client leaves after the new process has taken over
	<-gone
	assert.Contains(t, firstAnswer(t, next.addr, "late", "pay-fee", ""), "ERR the id ")
	old.stop()
	awaitUsedIDs(t, next, 2)
	assert.Equal(t, usedIDAnswer, firstAnswer(t, next.addr, "late", "pay-fee", ""))

	leaveWhileWaiting(t, next.addr, gone, "last", "pay-fee")
	next.stop()
	restarted := startConfig(t, cfg)
	awaitReady(t, restarted)
	assert.Equal(t, usedIDAnswer, firstAnswer(t, restarted.addr, "last", "pay-fee", ""))
	assert.Equal(t, "UP r1", firstAnswer(t, restarted.addr, "new", "pay-fee", ""))
}
