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

// These stories are about what a node does with a discovery that holds, breaks off, trickles or never ends. The test writes
// each answer itself, so that crossings are forced. The times of the terms are asserted in virtual time, in package watch;
// here it is that the watch is what decides.

// soon is far beyond what the watch allows between two calls, and far below what the polling time of these settings, ten
// minutes, would make of it.
const soon = 30 * time.Second

// heldCall is a call that a discovery has got, with the connection that it came on.
type heldCall struct {
	net.Conn
	path string
	at   time.Time
}

// manualDiscovery hands every call to its test.
type manualDiscovery struct {
	net.Listener
	t     *testing.T
	calls chan *heldCall
}

func newManualDiscovery(t *testing.T) *manualDiscovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &manualDiscovery{Listener: ln, t: t, calls: make(chan *heldCall, 1000)}
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
			d.calls <- &heldCall{c, strings.Fields(path)[0], time.Now()}
		}
	}
}

// next waits for the next call.
func (d *manualDiscovery) next() *heldCall {
	d.t.Helper()
	select {
	case c := <-d.calls:
		return c
	case <-time.After(patience):
		require.Fail(d.t, "discovery is not called")
		return nil
	}
}

// say writes to the connection of a call. That the node has ended it is for the test to see by what it does.
func (c *heldCall) say(text string) { _, _ = io.WriteString(c, text) }

// over waits until the node has ended the connection of a call, while bytes go on coming.
func (c *heldCall) over(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, err := io.WriteString(c, " ")
		return err != nil
	}, patience, 10*time.Millisecond)
}

const unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// configOf is the configuration of a node with some of the settings replaced.
func configOf(t *testing.T, d net.Listener, known string, replace ...string) config.Config {
	t.Helper()
	cfg := testConfig(t, newDiscovery(t), known)
	cfg.Discovery = d.Addr().String()
	cfg.RawSettings = []byte(strings.NewReplacer(replace...).Replace(testSettings))
	var err error
	cfg.Settings, err = settings.Decode(cfg.RawSettings)
	require.NoError(t, err)
	return cfg
}

// startWatching starts a node at a manual discovery, which has told version 42, and returns its watch.
func startWatching(t *testing.T, hosts ...*host) (*node, *manualDiscovery, *heldCall) {
	t.Helper()
	d := newManualDiscovery(t)
	n := startConfig(t, configOf(t, d, list(41, true, targetsOf(hosts...)...),
		`"ask_within_us":1000000`, `"ask_within_us":600000000`))
	d.next().say(ok(list(42, false)))
	c := d.next()
	require.Contains(t, c.path, "from=42&hold_ms=")
	return n, d, c
}

// A watch that falls silent is asked anew. What the silent one brings later has no effect.
func TestASilentWatchIsAskedAnew(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	n, d, silent := startWatching(t, a)
	again := d.next()
	assert.Less(t, again.at.Sub(silent.at), soon)
	assert.Contains(t, again.path, "from=42", "what it missed is asked for, not the whole list")
	silent.say(ok(list(43, false, target("a", a.Addr().String(), "terminated"))))
	silent.over(t)
	again.say(ok(list(44, false, target("a", a.Addr().String(), "terminating"), targetsOf(b)[0])))
	assert.Contains(t, d.next().path, "from=44")
	c := dial(t, n)
	open(c, "")
	require.Equal(t, "UP r1", c.hear())
	assert.Empty(t, a.firstLines())
}

// An answer that trickles, or never ends, is given up as one that does not come: its bytes renew nothing.
func TestAnAnswerThatNeverEndsIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ head, piece string }{
		"a body that trickles":        {"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{", " "},
		"chunks without end":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n"},
		"a head that trickles":        {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"trailers without end":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"a chunk's size that goes on": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, d, slow := startWatching(t)
			go func() {
				for err := error(nil); err == nil; time.Sleep(10 * time.Millisecond) {
					_, err = io.WriteString(slow, c.head)
					c.head = c.piece
				}
			}()
			assert.Less(t, d.next().at.Sub(slow.at), soon)
		})
	}
}

// However long an outage lasts, calls go on coming: what discovery has at its return is not waited for.
func TestCallsThatFailAreMadeAgainSoon(t *testing.T) {
	_, d, last := startWatching(t)
	for range 6 {
		last.say(unavailable)
		next := d.next()
		assert.Contains(t, next.path, "from=42")
		assert.Less(t, next.at.Sub(last.at), soon)
		last = next
	}
}

// Changes to a list that is older than the one that is held are not taken: the whole list is asked for.
func TestChangesToAnOlderListAreNotTaken(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	n, d, c := startWatching(t, a)
	c.say(ok(list(45, false, target("a", a.Addr().String(), "terminating"), targetsOf(b)[0])))
	d.next().say(ok(list(44, false, targetsOf(a)[0], target("b", b.Addr().String(), "terminating"))))
	whole := d.next()
	assert.Equal(t, "/v1/servers", whole.path)
	one := dial(t, n)
	open(one, "")
	require.Equal(t, "UP r1", one.hear())
	assert.Empty(t, a.firstLines())
	whole.say(ok(list(46, true, targetsOf(a, b)...)))
	assert.Contains(t, d.next().path, "from=46")
}

// What comes behind an answer was not asked for, and is not taken for the next one.
func TestASecondAnswerIsNotTakenForTheNext(t *testing.T) {
	_, d, c := startWatching(t)
	c.say(ok(list(43, false)) + ok(list(50, false)))
	next := d.next()
	assert.Contains(t, next.path, "from=43")
	next.say(ok(list(44, false)))
	assert.Contains(t, d.next().path, "from=44")
}

// A large list is taken indented, in chunks and in pieces.
func TestALargeIndentedListInPiecesIsTaken(t *testing.T) {
	const hosts = 2000
	_, d, c := startWatching(t)
	var all []string
	for i := range hosts {
		all = append(all, target(fmt.Sprintf("s-%d", i), "127.0.0.1:1", "in_service"))
	}
	var body bytes.Buffer
	require.NoError(t, json.Indent(&body, []byte(list(43, true, all...)), "", "        "))
	c.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for body.Len() > 0 {
		piece := body.Next(10_000)
		c.say(fmt.Sprintf("%x\r\n%s", len(piece), piece[:len(piece)/2]))
		c.say(string(piece[len(piece)/2:]) + "\r\n")
	}
	c.say("0\r\n\r\n")
	assert.Contains(t, d.next().path, "from=43")
}

// Discovery moves while a call is out, while one is about to be made again, twice in a row and back. Each time the whole
// list is asked for at once, and only the last address counts.
func TestDiscoveryMovesAtAnyMoment(t *testing.T) {
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
	move(second) // while the watch is out
	out := second.next()
	assert.Equal(t, "/v1/servers", out.path)
	out.say(unavailable)
	out.over(t)
	move(third, second, third) // while the next call waits, and while a connection is being made
	last := third.next()
	assert.Equal(t, "/v1/servers", last.path)
	move(first) // back, while a call is out
	back := first.next()
	assert.Equal(t, "/v1/servers", back.path, "its versions may count differently by now")
	gone := ok(list(99, true))
	for _, c := range []*heldCall{watch, last} {
		c.say(gone)
		c.over(t)
	}
	back.say(ok(list(7, true, targetsOf(b)...)))
	assert.Contains(t, first.next().path, "from=7")
	c := dial(t, n)
	open(c, "")
	require.Equal(t, "UP r1", c.hear())
	assert.Empty(t, a.firstLines())
}

const push, asked = `"registry_mode":"push"`, `"registry_mode":"ask"`

// Where lists are pushed, what the agent has counts as told from the first moment of the process: nobody is served by the
// list of an earlier process before the agent has told its own, and from then on there is a watch.
func TestAnAgentIsHeardBeforeAnyoneIsServed(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	d := newManualDiscovery(t)
	cfg := configOf(t, d, list(41, true, targetsOf(a)...), asked, push, `"aim_us":300000`, fmt.Sprintf(`"aim_us":%d`, patience.Microseconds()))
	before := knownEnough
	knownEnough = patience // however slow the machine is
	t.Cleanup(func() { knownEnough = before })
	started := make(chan *node)
	go func() {
		n, err := start(slog.New(slog.NewTextHandler(io.Discard, nil)), cfg)
		if assert.NoError(t, err) {
			t.Cleanup(n.stop)
		}
		started <- n
	}()
	c := d.next()
	assert.Contains(t, c.path, "from=41")
	select {
	case <-started:
		t.Fatal("the node serves, and the agent has not answered")
	case <-time.After(200 * time.Millisecond): // an agent that takes a moment
	}
	c.say(ok(list(42, false, target("a", a.Addr().String(), "terminating"), targetsOf(b)[0])))
	n := <-started
	for range 5 {
		c := dial(t, n)
		open(c, "")
		require.Equal(t, "UP r1", c.hear())
	}
	assert.Empty(t, a.firstLines(), "the earlier process had it in service")
	d.next().say(ok(list(43, false, target("b", b.Addr().String(), "terminating"), targetsOf(a)[0])))
	assert.Contains(t, d.next().path, "from=43", "the watch goes on")
	later := dial(t, n)
	open(later, "")
	require.Equal(t, "UP r1", later.hear())
	assert.Len(t, a.firstLines(), 1)
}

// An agent that says nothing does not keep the node out, and is called again and again; so is one that ends connections or
// refuses. What it has at last is taken.
func TestAnAgentIsCalledAgainQuickly(t *testing.T) {
	a := newHost(t, "a", echo)
	d := newManualDiscovery(t)
	n := startConfig(t, configOf(t, d, list(41, true, targetsOf(a)...), asked, push))
	c := dial(t, n)
	open(c, "")
	require.Equal(t, "UP r1", c.hear())
	d.next() // which is not answered
	for i := range 20 {
		if c := d.next(); i%2 == 0 {
			c.say(unavailable)
		} else {
			c.Close()
		}
	}
	d.next().say(ok(list(42, false)))
	assert.Contains(t, d.next().path, "from=42")
}
