package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/config"
	"lichenhitch/internal/handover"
	"lichenhitch/internal/lifecycle"
)

// awaitReady waits until a process reports that it is ready.
func awaitReady(t *testing.T, n *node) {
	t.Helper()
	for started := time.Now(); callOperatorAPI(t, n.operatorAPI.Addr(), "GET /v1/readyz") != "200"; time.Sleep(time.Millisecond) {
		require.Less(t, time.Since(started), testTimeout)
	}
}

// successorConfig returns the configuration of another process of a node, with the same client address.
func successorConfig(n *node, cfg config.Config) config.Config {
	cfg.Listen = n.addr
	return cfg
}

// requestOnce sends one request, ends it once it is served, and returns everything that was received.
func requestOnce(addr string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "OPEN %x 7f3a c=chat,t=acme,d=15000\r\n", lastID.Add(1))
	r := bufio.NewReader(c)
	response, _ := r.ReadString('\n')
	io.WriteString(c, "end\r\n")
	rest, _ := io.ReadAll(r)
	return response + string(rest)
}

// A new process takes over while clients keep connecting: each is served, none is refused. Connections established at
// the old process continue, and so do a ban and a drain that either process was asked for.
func TestANewProcessTakesOverUnderLoad(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(a, b)...))
	old := startConfig(t, cfg)
	awaitReady(t, old)
	changeByOperator(t, old.operatorAPI.Addr(), "POST /v1/hosts/a/suspend")
	client := dial(t, old)
	open(client, "")
	require.Equal(t, "UP r1", client.receive())
	_, err := io.WriteString(client, "M ")
	require.NoError(t, err)

	var served, unanswered atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if response := requestOnce(old.addr); response == "UP r1\r\nBYE\r\n" {
				served.Add(1)
			} else if unanswered.Add(1); !assert.Empty(t, response) {
				return
			}
		}
	}()
	next := startConfig(t, successorConfig(old, cfg))
	awaitReady(t, next)
	for callOperatorAPI(t, old.operatorAPI.Addr(), "GET /v1/readyz") != "503" { // until the new process has the address
		time.Sleep(time.Millisecond)
	}
	more := served.Load() + 50
	require.Eventually(t, func() bool { return served.Load() >= more }, testTimeout, time.Millisecond)
	close(stop)
	<-stopped
	// Where the system refuses the filter that directs connections to the latest process, the kernel resets a
	// connection that arrives at the very moment in which the old process closes its socket.
	assert.LessOrEqual(t, unanswered.Load(), int64(2))
	assert.Empty(t, a.firstLines(), "the ban was carried over")
	var established int
	for established == 0 { // until the connection has been handed over, unbroken
		next.loop.Call(func() { established = next.core.Established() })
	}
	client.send("1")
	require.Equal(t, "M 1", client.receive(), "the partial line that the old process had read was handed over too")
	client.send("end")
	require.Equal(t, "BYE", client.receive())
	client.assertClosed()

	changeByOperator(t, next.operatorAPI.Addr(), "POST /v1/hosts/a/resume")
	changeByOperator(t, old.operatorAPI.Addr(), "POST /v1/hosts/b/suspend")
	for banned := 0; banned != 1; { // until the new process, which did not get the call, applies it too
		next.loop.Call(func() { banned = len(next.core.Suspended()) })
		if banned == 1 {
			next.loop.Call(func() { assert.EqualValues(t, "b", next.core.Suspended()[0]) })
		}
	}
	changeByOperator(t, old.operatorAPI.Addr(), "POST /v1/node/drain")
	for ping(t, old.addr) != "BUSY" {
		time.Sleep(time.Millisecond)
	}
	changeByOperator(t, next.operatorAPI.Addr(), "POST /v1/node/activate")
	require.Equal(t, "PONG", ping(t, old.addr))

	shutDown(old)
	require.Equal(t, "PONG", ping(t, next.addr))
}

// If a new process ends before it is ready, the old one continues to serve; if it ends afterwards, the old one takes
// the address back.
func TestOldProcessContinuesIfTheNewOneEnds(t *testing.T) {
	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	old := startConfig(t, cfg)
	awaitReady(t, old)
	cfg.Known = nil // it never gets a list
	next := startConfig(t, successorConfig(old, cfg))
	require.Equal(t, "503", callOperatorAPI(t, next.operatorAPI.Addr(), "GET /v1/readyz"))
	require.Equal(t, "200", callOperatorAPI(t, old.operatorAPI.Addr(), "GET /v1/readyz"))
	next.stop()
	require.Equal(t, "PONG", ping(t, old.addr))

	cfg = testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg.SharedDir = old.cfg.SharedDir
	next = startConfig(t, successorConfig(old, cfg))
	awaitReady(t, next)
	for callOperatorAPI(t, old.operatorAPI.Addr(), "GET /v1/readyz") == "200" {
		time.Sleep(time.Millisecond)
	}
	next.stop()
	awaitReady(t, old)
	c := dialAt(t, old.addr)
	open(c, "")
	require.Equal(t, "UP r1", c.receive())
}

// Neither the state file of a process that was killed nor an unreadable one keeps a node from starting.
func TestUnreadableStateFileIsReplaced(t *testing.T) {
	h := newHost(t, "a", echo)
	for name, text := range map[string]string{
		"cut": `{"Version":1,"Bans":{"a":1`, "empty": "", "another version": `{"Version":99,"End":true}`,
		"dead process": `{"Version":1,"Bans":{"a":1},"Processes":[{"Number":7,"Slot":3,"PID":1,"Ready":true}],"End":true}`,
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
			require.NoError(t, os.WriteFile(filepath.Join(cfg.SharedDir, "lichenhitch-n.state"), []byte(text), 0o600))
			n := startConfig(t, cfg)
			awaitReady(t, n)
			var banned int
			n.loop.Call(func() { banned = len(n.core.Suspended()) })
			assert.Equal(t, name == "dead process", banned == 1, "a ban outlives the process that set it")
			changeByOperator(t, n.operatorAPI.Addr(), "POST /v1/hosts/a/resume")
		})
	}
}

// Without a directory for shared state, a node works on its own.
func TestNodeWithoutASharedDirectoryWorksAlone(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(a, b)...))
	cfg.SharedDir = filepath.Join(cfg.SharedDir, "absent")
	n := startConfig(t, cfg)
	awaitReady(t, n)
	changeByOperator(t, n.operatorAPI.Addr(), "POST /v1/hosts/a/suspend")
	c := dial(t, n)
	open(c, "")
	require.Equal(t, "UP r1", c.receive())
	assert.Empty(t, a.firstLines())
	changeByOperator(t, n.operatorAPI.Addr(), "POST /v1/node/drain")
	require.Equal(t, "BUSY", ping(t, n.addr))
}

// A connection that fell silent before an upgrade was moved only 4 s after the client's next line at the new process: what
// the old process knew of its silence was not handed over.
func TestSilenceGoesWithAConnectionToTheNewProcess(t *testing.T) {
	h := newHost(t, "a", func(line string, c net.Conn, r *bufio.Reader) {
		if strings.Contains(line, "g=silent") {
			io.WriteString(c, "UP r1\r\n")
			hang(line, c, r)
		}
		echo(line, c, r)
	})
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	old := startConfig(t, cfg)
	awaitReady(t, old)
	next := startConfig(t, successorConfig(old, cfg)) // is ready later
	silent, sound := dial(t, old), dial(t, old)
	open(silent, ",g=silent")
	open(sound, "")
	require.Equal(t, "UP r1", silent.receive())
	require.Equal(t, "UP r1", sound.receive())
	silent.send("M 1") // its only line
	sound.send("M 1")
	require.Equal(t, "M 1", sound.receive())
	awaitReady(t, next)
	assert.Equal(t, "MOVE", silent.receive())
	sound.send("M 2")
	assert.Equal(t, "M 2", sound.receive(), "the host still answers")
}

// A version that does not report the silence would have moved the client after StuckAfter. The client's lines come every
// 2 s, and it must be moved within 7 s (PROTOCOL, Figures).
func TestSilenceOfAnEarlierVersionIsBounded(t *testing.T) {
	silence := silenceOf(handover.Passed{})
	untilMoved := lifecycle.StuckAfter - silence.Unanswered
	assert.Greater(t, untilMoved, 2*time.Second, "a connection that is answered has had a line")
	assert.Less(t, lifecycle.StuckAfter+untilMoved, 7*time.Second)
	assert.Positive(t, silence.Host, "not the host is taken for unresponsive")
	assert.Less(t, silence.Host, silence.Unanswered)
}

// After a drain a new process spread the moves of the connections that it took over from its own start on, so that some were
// held for longer than 4 s after the drain.
func TestMovesOfADrainGoOnInTheNewProcess(t *testing.T) {
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(newHost(t, "a", echo))...))
	cfg.Settings.PassThrough = false
	old := startConfig(t, cfg)
	awaitReady(t, old)
	changeByOperator(t, old.operatorAPI.Addr(), "POST /v1/node/drain")
	var began time.Duration
	old.loop.Call(func() { began = old.service.MovingSince })
	next := startConfig(t, successorConfig(old, cfg))
	next.loop.Call(func() {
		assert.True(t, next.service.Draining)
		assert.Equal(t, began, next.service.MovingSince, "the drain's begin")
	})
	changeByOperator(t, next.operatorAPI.Addr(), "POST /v1/node/activate")
	changeByOperator(t, next.operatorAPI.Addr(), "POST /v1/node/drain")
	next.loop.Call(func() { assert.Greater(t, next.service.MovingSince, began, "another drain begins anew") })
}

// During an upgrade, a client that came to the new process with the id of a request that waits in the old one was served. The old
// process is one of its own here, so that it can be killed: its ids are free then.
func TestIDThatIsOpenInTheOldProcessIsRefusedByTheNewOne(t *testing.T) {
	const established, waiting = "e1", "a1"
	h := newHost(t, "a", func(line string, c net.Conn, r *bufio.Reader) {
		if strings.Contains(line, "x=hang") {
			hang(line, c, r)
			return
		}
		echo(line, c, r)
	})
	d := newDiscovery(t)
	known := list(1, true, targetsOf(h)...)
	// Of such a class the first attempt lasts as long as the client waits.
	onceOnly := strings.Replace(testSettings, "read_like", "non_idempotent", 1)
	old := startProgramWith(t, d.Addr().String(), known, onceOnly)
	owner, waits := dialAt(t, old.listen), dialAt(t, old.listen)
	openAs(owner, established, "")
	require.Equal(t, "UP r1", owner.receive())
	waits.send("OPEN " + waiting + " 7f3a c=chat,d=86400000,x=hang")
	require.Eventually(t, func() bool { return len(h.firstLines()) == 2 }, testTimeout, time.Millisecond)

	cfg := testConfig(t, d, known)
	cfg.Listen, cfg.SharedDir = old.listen, old.sharedDir
	next := startConfig(t, cfg)
	awaitReady(t, next)
	for _, id := range []string{waiting, established} {
		other := dial(t, next)
		openAs(other, id, "")
		assert.Equal(t, "ERR the id is in use", other.receive())
		other.assertClosed()
	}
	owner.send("M 1")
	require.Equal(t, "M 1", owner.receive(), "the owner is not affected")

	require.NoError(t, old.Process.Kill())
	_ = old.Wait()
	later := dial(t, next)
	openAs(later, waiting, "")
	assert.Equal(t, "UP r1", later.receive(), "nobody holds the id any more")
}
