package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/config"
	"lichenhitch/internal/settings"
)

// These tests cover a node's reaction to a discovery that holds calls, breaks them off, sends slowly or never ends an
// answer. Each test writes every answer itself, so that crossings are forced. Package watch tests the exact times in
// virtual time; these tests show that the node applies them.

// maxRetryDelay is far above what the watch allows between two calls, and far below the poll interval of these
// settings, ten minutes.
const maxRetryDelay = 30 * time.Second

// discoveryCall is a call that discovery has received, with its connection.
type discoveryCall struct {
	net.Conn
	path string
	at   time.Time
}

// manualDiscovery passes every call to its test.
type manualDiscovery struct {
	net.Listener
	t     *testing.T
	calls chan *discoveryCall
}

func newManualDiscovery(t *testing.T) *manualDiscovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &manualDiscovery{Listener: ln, t: t, calls: make(chan *discoveryCall, 1000)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go d.read(c)
		}
	}()
	return d
}

func (d *manualDiscovery) read(c net.Conn) {
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if path, ok := strings.CutPrefix(line, "GET "); ok {
			d.calls <- &discoveryCall{c, strings.Fields(path)[0], time.Now()}
		}
	}
}

// nextCall waits for the next call.
func (d *manualDiscovery) nextCall() *discoveryCall {
	d.t.Helper()
	select {
	case c := <-d.calls:
		return c
	case <-time.After(testTimeout):
		require.Fail(d.t, "discovery is not called")
		return nil
	}
}

// send writes to the connection of a call. A write error is ignored: a test sees by the node's behavior whether the
// node has closed it.
func (c *discoveryCall) send(text string) { _, _ = io.WriteString(c, text) }

// awaitClosed waits until the node has closed the connection of a call, while it sends further bytes.
func (c *discoveryCall) awaitClosed(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, err := io.WriteString(c, " ")
		return err != nil
	}, testTimeout, 10*time.Millisecond)
}

const unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// configWith returns the configuration of a node with some of the settings replaced.
func configWith(t *testing.T, d net.Listener, known string, replace ...string) config.Config {
	t.Helper()
	cfg := testConfig(t, newDiscovery(t), known)
	cfg.Discovery = d.Addr().String()
	cfg.RawSettings = []byte(strings.NewReplacer(replace...).Replace(testSettings))
	var err error
	cfg.Settings, err = settings.Decode(cfg.RawSettings)
	require.NoError(t, err)
	return cfg
}

// startWatching starts a node with a manual discovery that has sent version 42, and returns the node's watch call.
func startWatching(t *testing.T, hosts ...*host) (*node, *manualDiscovery, *discoveryCall) {
	t.Helper()
	d := newManualDiscovery(t)
	n := startConfig(t, configWith(t, d, list(41, true, targetsOf(hosts...)...),
		`"ask_within_us":1000000`, `"ask_within_us":600000000`))
	d.nextCall().send(ok(list(42, false)))
	c := d.nextCall()
	require.Contains(t, c.path, "from=42&hold_ms=")
	return n, d, c
}

// A watch that stops responding is called again. What the unresponsive call returns later has no effect.
func TestUnresponsiveWatchIsCalledAgain(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	n, d, unresponsive := startWatching(t, a)
	retry := d.nextCall()
	assert.Less(t, retry.at.Sub(unresponsive.at), maxRetryDelay)
	assert.Contains(t, retry.path, "from=42", "the missed changes are requested, not the full list")
	unresponsive.send(ok(list(43, false, target("a", a.Addr().String(), "terminated"))))
	unresponsive.awaitClosed(t)
	retry.send(ok(list(44, false, target("a", a.Addr().String(), "terminating"), targetsOf(b)[0])))
	assert.Contains(t, d.nextCall().path, "from=44")
	c := dial(t, n)
	open(c, "")
	require.Equal(t, "UP r1", c.receive())
	assert.Empty(t, a.firstLines())
}

// An answer that arrives slowly, or never ends, is given up like one that does not arrive: its bytes do not extend
// the time limit.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ head, piece string }{
		"a slow body":                {"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{", " "},
		"chunks without end":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n"},
		"a slow header":              {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"trailers without end":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"a chunk's size without end": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, d, call := startWatching(t)
			go func() {
				for err := error(nil); err == nil; time.Sleep(10 * time.Millisecond) {
					_, err = io.WriteString(call, c.head)
					c.head = c.piece
				}
			}()
			assert.Less(t, d.nextCall().at.Sub(call.at), maxRetryDelay)
		})
	}
}

// However long an outage lasts, calls are repeated soon, so that an update is received as soon as discovery is back.
func TestFailedCallsAreRepeatedSoon(t *testing.T) {
	_, d, last := startWatching(t)
	for range 6 {
		last.send(unavailable)
		next := d.nextCall()
		assert.Contains(t, next.path, "from=42")
		assert.Less(t, next.at.Sub(last.at), maxRetryDelay)
		last = next
	}
}

// Changes with a lower version than the node's list are not applied: the node requests the full list.
func TestChangesToAnOlderListAreNotApplied(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	n, d, c := startWatching(t, a)
	c.send(ok(list(45, false, target("a", a.Addr().String(), "terminating"), targetsOf(b)[0])))
	d.nextCall().send(ok(list(44, false, targetsOf(a)[0], target("b", b.Addr().String(), "terminating"))))
	fullList := d.nextCall()
	assert.Equal(t, "/v1/servers", fullList.path)
	cl := dial(t, n)
	open(cl, "")
	require.Equal(t, "UP r1", cl.receive())
	assert.Empty(t, a.firstLines())
	fullList.send(ok(list(46, true, targetsOf(a, b)...)))
	assert.Contains(t, d.nextCall().path, "from=46")
}

// Data after the end of an answer was not requested and is not taken as the answer to the next call.
func TestDataAfterAnAnswerIsNotTheNextAnswer(t *testing.T) {
	_, d, c := startWatching(t)
	c.send(ok(list(43, false)) + ok(list(50, false)))
	next := d.nextCall()
	assert.Contains(t, next.path, "from=43")
	next.send(ok(list(44, false)))
	assert.Contains(t, d.nextCall().path, "from=44")
}

// A large list is accepted with indentation, in chunks and in partial writes.
func TestLargeIndentedListInPiecesIsAccepted(t *testing.T) {
	const hosts = 2000
	_, d, c := startWatching(t)
	var all []string
	for i := range hosts {
		all = append(all, target(fmt.Sprintf("s-%d", i), "127.0.0.1:1", "in_service"))
	}
	var body bytes.Buffer
	require.NoError(t, json.Indent(&body, []byte(list(43, true, all...)), "", "        "))
	c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for body.Len() > 0 {
		piece := body.Next(10_000)
		c.send(fmt.Sprintf("%x\r\n%s", len(piece), piece[:len(piece)/2]))
		c.send(string(piece[len(piece)/2:]) + "\r\n")
	}
	c.send("0\r\n\r\n")
	assert.Contains(t, d.nextCall().path, "from=43")
}

// The discovery address changes while a call is pending, while one is about to be repeated, twice in a row and back.
// Each time the full list is requested at once, and only the last address counts.
func TestDiscoveryAddressChangesAtAnyTime(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	n, first, watch := startWatching(t, a)
	second, third := newManualDiscovery(t), newManualDiscovery(t)
	move := func(d ...*manualDiscovery) {
		n.loop.Call(func() {
			for _, d := range d {
				n.discovery.Relocate(d.Addr().String())
			}
		})
	}
	move(second) // while the watch is pending
	pending := second.nextCall()
	assert.Equal(t, "/v1/servers", pending.path)
	pending.send(unavailable)
	pending.awaitClosed(t)
	move(third, second, third) // while the next call waits, and while a connection is being established
	last := third.nextCall()
	assert.Equal(t, "/v1/servers", last.path)
	move(first) // back, while a call is pending
	back := first.nextCall()
	assert.Equal(t, "/v1/servers", back.path, "its versions may count differently by now")
	stale := ok(list(99, true))
	for _, c := range []*discoveryCall{watch, last} {
		c.send(stale)
		c.awaitClosed(t)
	}
	back.send(ok(list(7, true, targetsOf(b)...)))
	assert.Contains(t, first.nextCall().path, "from=7")
	c := dial(t, n)
	open(c, "")
	require.Equal(t, "UP r1", c.receive())
	assert.Empty(t, a.firstLines())
}

const pushMode, askMode = `"registry_mode":"push"`, `"registry_mode":"ask"`

// Where lists are pushed, what the agent has counts as known to the node from the first moment of the process: no
// client is served by the list of an earlier process before the agent has sent its own, and from then on there is a
// watch.
func TestAgentsListIsAwaitedBeforeClientsAreServed(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	d := newManualDiscovery(t)
	cfg := configWith(t, d, list(41, true, targetsOf(a)...), askMode, pushMode, `"aim_us":300000`, fmt.Sprintf(`"aim_us":%d`, testTimeout.Microseconds()))
	before := firstListTimeout
	firstListTimeout = testTimeout // however slow the machine is
	t.Cleanup(func() { firstListTimeout = before })
	started := make(chan *node)
	go func() {
		n, err := start(slog.New(slog.NewTextHandler(io.Discard, nil)), cfg)
		if assert.NoError(t, err) {
			t.Cleanup(n.stop)
		}
		started <- n
	}()
	c := d.nextCall()
	assert.Contains(t, c.path, "from=41")
	select {
	case <-started:
		t.Fatal("the node serves before the agent has answered")
	case <-time.After(200 * time.Millisecond): // an agent that is somewhat slow
	}
	c.send(ok(list(42, false, target("a", a.Addr().String(), "terminating"), targetsOf(b)[0])))
	n := <-started
	for range 5 {
		c := dial(t, n)
		open(c, "")
		require.Equal(t, "UP r1", c.receive())
	}
	assert.Empty(t, a.firstLines(), "the earlier process had it in service")
	d.nextCall().send(ok(list(43, false, target("b", b.Addr().String(), "terminating"), targetsOf(a)[0])))
	assert.Contains(t, d.nextCall().path, "from=43", "the watch continues")
	later := dial(t, n)
	open(later, "")
	require.Equal(t, "UP r1", later.receive())
	assert.Len(t, a.firstLines(), 1)
}

// An agent that does not respond does not keep the node from serving and is called again and again, and so is one
// that closes connections or refuses. Its list is applied once it arrives.
func TestUnresponsiveAgentIsCalledAgainQuickly(t *testing.T) {
	a := newHost(t, "a", echo)
	d := newManualDiscovery(t)
	n := startConfig(t, configWith(t, d, list(41, true, targetsOf(a)...), askMode, pushMode))
	c := dial(t, n)
	open(c, "")
	require.Equal(t, "UP r1", c.receive())
	d.nextCall() // not answered
	for i := range 20 {
		if c := d.nextCall(); i%2 == 0 {
			c.send(unavailable)
		} else {
			c.Close()
		}
	}
	d.nextCall().send(ok(list(42, false)))
	assert.Contains(t, d.nextCall().path, "from=42")
}
