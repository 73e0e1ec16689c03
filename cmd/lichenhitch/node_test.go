package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lichenhitch/internal/config"
	"lichenhitch/internal/discovery"
	"lichenhitch/internal/settings"
)

// These tests run the whole node over loopback sockets against scripted peers. They wait for events, with time limits
// far above the expected time, and assert what arrived, not when.
const testTimeout = 2 * time.Minute

// runAsProgramEnv is the environment variable that makes the test binary run as the program itself.
const runAsProgramEnv = "LICHENHITCH_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const testSettings = `{"balancers":1,"my_zone":"z","registry_mode":"ask","round_us":5000,"weight_source":"nominal",
"permissions":{"probes":true,"max_attempts":4,"retry_after":true,"max_retry_after_us":1500000,
"connect_timeout_us":250000},"extra":{"mode":"pass","message_aim_us":[250000]},
"safety":{"ask_within_us":1000000,"cold_us":8000000,"cold_from":0.4,"overload_factor":3,"tip_after_us":1500000,
"drain_grace_us":2000000},"tariffs":{"probe":0},
"request_classes":[{"name":"chat","aim_us":300000,"deadline_us":3000000,"semantics":"read_like","streamed":true,"points":1}]}`

// host is a scripted host. It answers probes itself; the script gets every other first line and the connection.
type host struct {
	net.Listener
	uid string

	mu    sync.Mutex
	lines []string // the first lines received
}

func newHost(t *testing.T, uid string, script func(line string, c net.Conn, r *bufio.Reader)) *host {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &host{Listener: ln, uid: uid}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go h.serve(c, script)
		}
	}()
	return h
}

func (h *host) serve(c net.Conn, script func(string, net.Conn, *bufio.Reader)) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if line == "STATS\r\n" {
			io.WriteString(c, "PONG qps=1.5,latency_ms=5,queue=0,x0=0.25\r\n")
			continue
		}
		h.mu.Lock()
		h.lines = append(h.lines, strings.TrimRight(line, "\r\n"))
		h.mu.Unlock()
		script(line, c, r)
		return
	}
}

func (h *host) firstLines() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.lines...)
}

// echo is the script of a healthy host.
func echo(_ string, c net.Conn, r *bufio.Reader) {
	io.WriteString(c, "UP r1\r\n")
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "end\r\n" {
			io.WriteString(c, "BYE\r\n")
			return
		}
		io.WriteString(c, line)
	}
}

// hang is the script of a host that sends nothing until its peer closes.
func hang(_ string, _ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }

func target(uid, endpoint, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"z","model":"m","pod_group":0,"state":%q,"capacity_hint":1,"boot_ms":0}`,
		uid, endpoint, state)
}

func list(rev int, all bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(targets, ","))
}

func targetsOf(hosts ...*host) []string {
	var targets []string
	for _, h := range hosts {
		targets = append(targets, target(h.uid, h.Addr().String(), "in_service"))
	}
	return targets
}

// scriptedDiscovery answers each call with the next of its responses, and holds the call while there is none.
type scriptedDiscovery struct {
	net.Listener
	requests  chan string // the path of each call
	responses chan string
}

func newDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &scriptedDiscovery{Listener: ln, requests: make(chan string, 100), responses: make(chan string, 100)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

func (d *scriptedDiscovery) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if path, ok := strings.CutPrefix(line, "GET "); ok {
			d.requests <- strings.Fields(path)[0]
		}
		if line == "\r\n" {
			response := <-d.responses
			if response == "" {
				return // a reset or a crash
			}
			io.WriteString(c, response)
		}
	}
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// startNode starts a node that knows some hosts.
func startNode(t *testing.T, d *scriptedDiscovery, known string) *node {
	t.Helper()
	return startConfig(t, testConfig(t, d, known))
}

func testConfig(t *testing.T, d *scriptedDiscovery, known string) config.Config {
	t.Helper()
	set, err := settings.Decode([]byte(testSettings))
	require.NoError(t, err)
	l, err := discovery.ParseList([]byte(known))
	require.NoError(t, err)
	return config.Config{Name: "n", Listen: "127.0.0.1:0", Management: "127.0.0.1:0", Discovery: d.Addr().String(),
		Seed: 1, Sockets: 1024, MemoryMB: 192, Known: &l, Settings: set, RawSettings: []byte(testSettings), SharedDir: t.TempDir()}
}

func startConfig(t *testing.T, cfg config.Config) *node {
	t.Helper()
	n, err := start(slog.New(slog.NewTextHandler(io.Discard, nil)), cfg)
	require.NoError(t, err)
	t.Cleanup(n.stop)
	return n
}

// program is the node as a process of its own, started with its environment variables and a configuration file.
type program struct {
	*exec.Cmd
	t            *testing.T
	path, listen string
	sharedDir    string // TMPDIR
	log          *bufio.Scanner
}

func startProgram(t *testing.T, discovery, known string) *program {
	t.Helper()
	return startProgramWith(t, discovery, known, testSettings)
}

func startProgramWith(t *testing.T, discovery, known, settingsText string) *program {
	t.Helper()
	p := &program{t: t, path: filepath.Join(t.TempDir(), "config.json"), sharedDir: t.TempDir()}
	p.writeSettings(discovery, known, settingsText)
	p.Cmd = exec.Command(os.Args[0])
	p.Env = append(os.Environ(), runAsProgramEnv+"=1", "GW_CONFIG="+p.path, "GW_DISCOVERY="+discovery, "GW_LISTEN=127.0.0.1:0",
		"TMPDIR="+p.sharedDir)
	out, err := p.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, p.Start())
	t.Cleanup(func() { p.Process.Kill() })
	p.log = bufio.NewScanner(out)
	_, rest, _ := strings.Cut(p.awaitLogged("msg=serving"), "listen=")
	p.listen, _, _ = strings.Cut(rest, " ")
	return p
}

func (p *program) writeConfig(discovery, known string) {
	p.writeSettings(discovery, known, testSettings)
}

func (p *program) writeSettings(discovery, known, settingsText string) {
	text := fmt.Sprintf(`{"name":"n","seed":"1","discovery":%q,"known":%s,"settings":%s}`, discovery, known, settingsText)
	require.NoError(p.t, os.WriteFile(p.path, []byte(text), 0o600))
}

// awaitLogged waits for a log line that contains a text.
func (p *program) awaitLogged(text string) string {
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return p.log.Text()
		}
	}
	require.Fail(p.t, "not logged", text)
	return ""
}

// client is a scripted client.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, n *node) *client {
	t.Helper()
	return dialAt(t, n.addr)
}

func dialAt(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(line string) {
	c.t.Helper()
	_, err := io.WriteString(c, line+"\r\n")
	require.NoError(c.t, err)
}

func (c *client) receive() string {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	require.NoError(c.t, err)
	return strings.TrimSuffix(line, "\r\n")
}

// assertClosed asserts that nothing more arrives and the connection is closed.
func (c *client) assertClosed() {
	c.t.Helper()
	rest, _ := io.ReadAll(c.r)
	assert.Empty(c.t, string(rest))
}

const openSuffix = ",g=5c0f,x9=new"

var lastID atomic.Int64

func open(c *client, extra string) { openAs(c, fmt.Sprintf("%x", lastID.Add(1)), extra) }

func openAs(c *client, id, extra string) {
	c.send("OPEN " + id + " 7f3a c=chat,t=acme,d=15000" + openSuffix + extra)
}

func TestRequestIsServedAndLinesAreForwardedUnchanged(t *testing.T) {
	h := newHost(t, "a", echo)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	c := dial(t, n)
	c.send("PING")
	require.Equal(t, "PONG", c.receive())
	open(c, "")
	require.Equal(t, "UP r1", c.receive())
	for _, line := range []string{"M 1 ab", "", "  spaced \t out ", strings.Repeat("x", 4000)} {
		c.send(line)
		require.Equal(t, line, c.receive())
	}
	c.send("end")
	require.Equal(t, "BYE", c.receive())
	c.assertClosed()

	require.Len(t, h.firstLines(), 1)
	var left int
	before, after, found := strings.Cut(h.firstLines()[0], "d=")
	require.True(t, found)
	assert.Regexp(t, "^OPEN [0-9a-f]+ 7f3a c=chat,t=acme,$", before)
	rest := after[strings.Index(after, ","):]
	_, err := fmt.Sscan(strings.TrimSuffix(after, rest), &left)
	require.NoError(t, err)
	assert.Equal(t, openSuffix, rest)
	assert.Greater(t, left, 0)
	assert.Less(t, left, 15000, "d is the time that is left")
}

// closedByPeer reports whether the node has closed a connection, by the state in the kernel: the host's goroutine may
// notice it much later. A FIN or RST sent before a later connection was opened has arrived by then, or arrives within
// moments.
func closedByPeer(t *testing.T, c net.Conn) bool {
	t.Helper()
	const (
		established = 1 // TCP_ESTABLISHED of the kernel's tcp_states.h
		within      = 100 * time.Millisecond
	)
	raw, err := c.(*net.TCPConn).SyscallConn()
	if !assert.NoError(t, err) {
		return false
	}
	for started := time.Now(); time.Since(started) < within; time.Sleep(time.Millisecond) {
		open := false
		err := raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			open = err == nil && info.State == established
		})
		if err != nil || !open {
			return true
		}
	}
	return false
}

// A host that refuses, one that never answers and one that is full each cost an attempt; the next host is tried, and
// no two attempts are open at the same time.
func TestFailedAttemptsContinueAtTheNextHost(t *testing.T) {
	var mu sync.Mutex
	active := map[net.Conn]bool{} // attempts that their hosts have not ended
	started, overlapping := 0, 0
	tracked := func(script func(string, net.Conn, *bufio.Reader)) func(string, net.Conn, *bufio.Reader) {
		return func(line string, c net.Conn, r *bufio.Reader) {
			mu.Lock()
			for earlier := range active {
				if !closedByPeer(t, earlier) {
					overlapping++
				}
			}
			active[c] = true
			started++
			mu.Unlock()
			script(line, c, r)
			mu.Lock()
			delete(active, c)
			mu.Unlock()
		}
	}
	closed := newHost(t, "gone", echo)
	closed.Close()
	unresponsive := newHost(t, "silent", tracked(hang))
	full := newHost(t, "full", tracked(func(_ string, c net.Conn, _ *bufio.Reader) { io.WriteString(c, "BUSY inflight=7\r\n") }))
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(closed, unresponsive, full)...))
	c := dial(t, n)
	open(c, "")
	assert.Regexp(t, `^BUSY( \d+)?$`, c.receive(), "every host has failed")
	c.assertClosed()
	assert.Len(t, unresponsive.firstLines(), 1)
	assert.Len(t, full.firstLines(), 1)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, 2, started)
	assert.Zero(t, overlapping, "attempts started while another one was open")
}

// A host that vanishes leaves its connections open without sending anything; only the missing lines show it.
func TestClientsOfASilentHostAreMoved(t *testing.T) {
	stop := make(chan struct{})
	h := newHost(t, "a", func(_ string, c net.Conn, r *bufio.Reader) {
		io.WriteString(c, "UP r1\r\n")
		<-stop
	})
	defer close(stop)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	active, idle := dial(t, n), dial(t, n)
	for _, c := range []*client{active, idle} {
		open(c, "")
		require.Equal(t, "UP r1", c.receive())
	}
	active.send("M 1 ab")
	assert.Equal(t, "MOVE", active.receive())
	assert.Equal(t, "MOVE", idle.receive(), "one unresponsive connection shows that the host is unresponsive")
	active.assertClosed()
	idle.assertClosed()
}

func TestHostThatClosesOrResetsClosesItsClient(t *testing.T) {
	for name, script := range map[string]func(string, net.Conn, *bufio.Reader){
		"moved": func(_ string, c net.Conn, _ *bufio.Reader) { io.WriteString(c, "UP r1\r\nMOVE\r\n") },
		"reset": func(_ string, c net.Conn, r *bufio.Reader) {
			io.WriteString(c, "UP r1\r\n")
			_, _ = r.ReadString('\n')
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, newDiscovery(t), list(1, true, targetsOf(newHost(t, "a", script))...))
			c := dial(t, n)
			open(c, "")
			require.Equal(t, "UP r1", c.receive())
			if name == "moved" {
				assert.Equal(t, "MOVE", c.receive())
			} else {
				c.send("M 1")
			}
			c.assertClosed()
		})
	}
}

// A host that has sent BYE and then vanishes has sent the client's last line: no MOVE follows it.
func TestClientThatHasItsLastLineIsNotMoved(t *testing.T) {
	stop := make(chan struct{})
	h := newHost(t, "a", func(_ string, c net.Conn, r *bufio.Reader) {
		io.WriteString(c, "UP r1\r\n")
		if line, _ := r.ReadString('\n'); line == "end\r\n" {
			io.WriteString(c, "BYE\r\n")
		}
		<-stop
	})
	defer close(stop)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	finished, active := dial(t, n), dial(t, n)
	for _, c := range []*client{finished, active} {
		open(c, "")
		require.Equal(t, "UP r1", c.receive())
	}
	finished.send("end")
	require.Equal(t, "BYE", finished.receive())
	active.send("M 1 ab")
	assert.Equal(t, "MOVE", active.receive(), "the host is unresponsive")
	finished.assertClosed()
}

// The end of a host's connection is forwarded however it arrives: in the middle of a line, with the host still
// reading, and on connections that were established before the node started.
func TestAHostsEndReachesItsClient(t *testing.T) {
	for name, c := range map[string]struct {
		extra string
		say   string // what the host sends once it is asked to end
		want  string // what the client receives
	}{
		"in the middle of a line":      {say: "M 1\r\nM 2", want: "M 1\r\n"},
		"after its last line":          {say: "BYE\r\n", want: "BYE\r\n"},
		"established before this node": {extra: ",at=a", say: "MOVE\r\n", want: "MOVE\r\n"},
		"packets pass through":         {extra: ",mid=1", say: "MOVE\r\n", want: "MOVE\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, "a", func(_ string, peer net.Conn, r *bufio.Reader) {
				io.WriteString(peer, "UP r1\r\n")
				_, _ = r.ReadString('\n')
				io.WriteString(peer, c.say)
				_ = peer.(*net.TCPConn).CloseWrite()
				<-t.Context().Done() // its receiving side stays open
			})
			n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
			cl := dial(t, n)
			open(cl, c.extra)
			require.Equal(t, "UP r1", cl.receive())
			cl.send("end")
			got, err := io.ReadAll(cl.r)
			require.NoError(t, err, "the connection ends in good order, as the host's side did")
			assert.Equal(t, c.want, string(got))
		})
	}
}

// The end of a client's connection reaches its host in the same manner: as an orderly close or as a reset.
func TestAClientsEndReachesItsHost(t *testing.T) {
	for name, c := range map[string]struct {
		reset bool
		want  error
	}{"in good order": {}, "reset": {reset: true, want: syscall.ECONNRESET}} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			h := newHost(t, "a", func(_ string, peer net.Conn, r *bufio.Reader) {
				io.WriteString(peer, "UP r1\r\n")
				_, err := io.Copy(io.Discard, r)
				ended <- err
			})
			n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
			cl := dial(t, n)
			open(cl, "")
			require.Equal(t, "UP r1", cl.receive())
			if c.reset {
				require.NoError(t, cl.Conn.(*net.TCPConn).SetLinger(0))
			}
			require.NoError(t, cl.Close())
			select {
			case err := <-ended:
				assert.ErrorIs(t, err, c.want)
			case <-time.After(testTimeout):
				t.Fatal("the host does not see that its client has closed")
			}
		})
	}
}

// A host ends all its connections at the same moment, while some of the clients close by themselves. Every client is
// closed, and events for a descriptor that was closed meanwhile do not affect the connection that has reused its
// number.
func TestAHostThatEndsAllAtOnceEndsAllItsClients(t *testing.T) {
	const clients, rounds = 40, 3
	for range rounds {
		end := make(chan struct{})
		h := newHost(t, "a", func(_ string, peer net.Conn, r *bufio.Reader) {
			io.WriteString(peer, "UP r1\r\n")
			<-end
			io.WriteString(peer, "MOVE\r\n")
		})
		n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
		all := make([]*client, clients)
		for i := range all {
			all[i] = dial(t, n)
			open(all[i], ",at=a")
			require.Equal(t, "UP r1", all[i].receive())
		}
		close(end)
		for i, c := range all {
			if i%4 == 0 {
				c.Close()
				all[i] = dial(t, n) // a client that connects meanwhile is answered
				all[i].send("PING")
			}
		}
		for i, c := range all {
			if i%4 == 0 {
				assert.Equal(t, "PONG", c.receive())
				continue
			}
			assert.Equal(t, "MOVE", c.receive())
			c.assertClosed()
		}
	}
}

// A line over 4 KiB, from either side, cannot be forwarded; while the host responds, its client is moved.
func TestTooLongLineMovesTheClient(t *testing.T) {
	long := strings.Repeat("x", 5000)
	h := newHost(t, "a", func(_ string, c net.Conn, r *bufio.Reader) {
		io.WriteString(c, "UP r1\r\n")
		if line, _ := r.ReadString('\n'); line == "go\r\n" {
			io.WriteString(c, long)
		}
		_, _ = io.Copy(io.Discard, r)
	})
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	for _, sent := range []string{"go\r\n", long} {
		c := dial(t, n)
		open(c, "")
		require.Equal(t, "UP r1", c.receive())
		_, err := io.WriteString(c, sent)
		require.NoError(t, err)
		assert.Equal(t, "MOVE", c.receive())
		c.assertClosed()
	}
}

func TestChangesOfTheHostListAreApplied(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	d := newDiscovery(t)
	n := startNode(t, d, list(41, true, targetsOf(a)...))
	assert.Contains(t, <-d.requests, "/v1/servers?from=41&hold_ms=")
	d.responses <- "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	assert.Contains(t, <-d.requests, "from=41", "called again after a failure")
	d.responses <- ok(`{"rev":42,"all":false,"targets":[{"uid":`)
	assert.Contains(t, <-d.requests, "from=41", "called again after a broken list")
	d.responses <- "" // the connection breaks
	for path := range d.requests {
		if assert.Contains(t, path, "from=41") {
			break
		}
	}
	body := list(43, false, target("a", a.Addr().String(), "terminating"), targetsOf(b)[0])
	d.responses <- fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		9, body[:9], len(body)-9, body[9:])
	for path := range d.requests {
		if strings.Contains(path, "from=43") { // the next watch continues from the update
			break
		}
	}
	for range 5 {
		c := dial(t, n)
		open(c, "")
		require.Equal(t, "UP r1", c.receive())
	}
	assert.Empty(t, a.firstLines(), "no new request goes to a draining host")
	assert.Len(t, b.firstLines(), 5)
}

// A new configuration changes the discovery address, though the environment still names the old one. Connections and
// hosts are kept meanwhile, a faulty file changes nothing, and SIGHUP in any number does not end the program, even
// during the shutdown that SIGTERM starts.
func TestAProgramTakesOverANewConfiguration(t *testing.T) {
	a, b := newHost(t, "a", echo), newHost(t, "b", echo)
	before, after := newDiscovery(t), newDiscovery(t)
	known := list(41, true, targetsOf(a)...)
	p := startProgram(t, before.Addr().String(), known)
	reload := func() { require.NoError(t, p.Process.Signal(syscall.SIGHUP)) }
	assert.Contains(t, <-before.requests, "from=41")
	established := dialAt(t, p.listen)
	open(established, "")
	require.Equal(t, "UP r1", established.receive())

	reload() // the same address
	p.awaitLogged("configuration read again")
	require.NoError(t, os.WriteFile(p.path, []byte(`{"name":"n","discovery":`), 0o600))
	reload()
	assert.Contains(t, p.awaitLogged("level=ERROR"), "GW_CONFIG")
	p.writeConfig("nowhere", known)
	reload()
	assert.Contains(t, p.awaitLogged("level=ERROR"), "discovery: ")
	p.writeConfig(after.Addr().String(), known)
	text, err := os.ReadFile(p.path)
	require.NoError(t, err)
	text = bytes.Replace(text, []byte(`"drain_grace_us":2000000`), []byte(`"drain_grace_us":0`), 1)
	require.NoError(t, os.WriteFile(p.path, text, 0o600))
	reload()
	refused := p.awaitLogged("level=ERROR")
	assert.Contains(t, refused, "settings.safety.drain_grace_us: 0 is out of range")
	assert.Contains(t, refused, "action=\"correct settings.safety.drain_grace_us")
	assert.Empty(t, after.requests, "nothing was applied, not even the address")
	assert.Empty(t, before.requests, "the watch at the same address was not interrupted")
	p.writeConfig(after.Addr().String(), known)
	for range 50 {
		reload()
	}
	assert.Equal(t, "/v1/servers", <-after.requests, "the full list is requested at once")
	after.responses <- "" // the first attempts fail
	assert.Equal(t, "/v1/servers", <-after.requests)
	after.responses <- "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	assert.Equal(t, "/v1/servers", <-after.requests)
	meanwhile := dialAt(t, p.listen)
	open(meanwhile, "")
	require.Equal(t, "UP r1", meanwhile.receive(), "the hosts known so far are kept")
	after.responses <- ok(list(7, true, targetsOf(b)...))
	assert.Contains(t, <-after.requests, "from=7")
	later := dialAt(t, p.listen)
	open(later, "")
	require.Equal(t, "UP r1", later.receive())
	assert.Len(t, a.firstLines(), 2)
	assert.Len(t, b.firstLines(), 1)
	for _, c := range []*client{established, meanwhile} {
		c.send("M 1")
		assert.Equal(t, "M 1", c.receive(), "open connections are kept")
	}
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	for range 20 {
		_ = p.Process.Signal(syscall.SIGHUP)
	}
	assert.NoError(t, p.Wait(), "it shuts down without an error")
}

func TestInheritedConnectionGoesToItsHostOnly(t *testing.T) {
	var attempts sync.Map
	other := newHost(t, "other", echo)
	holder := newHost(t, "holder", func(line string, c net.Conn, r *bufio.Reader) {
		if _, again := attempts.LoadOrStore("first", true); again {
			echo(line, c, r)
		} // the first attempt breaks
	})
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(other, holder)...))
	c := dial(t, n)
	open(c, ",at=holder")
	require.Equal(t, "UP r1", c.receive())
	assert.Empty(t, other.firstLines())
	assert.Len(t, holder.firstLines(), 2)
}

// A connection that was established before has no deadline: its d is the longest time that fits 32 bits of
// microseconds.
func TestConnectionWithoutADeadlineIsAccepted(t *testing.T) {
	h := newHost(t, "a", echo)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	for _, extra := range []string{"", ",at=a"} {
		c := dial(t, n)
		c.send(fmt.Sprintf("OPEN %x", lastID.Add(1)) + " 7f3a c=chat,t=acme,d=4294967,g=0000000000000000" + extra)
		assert.Equal(t, "UP r1", c.receive(), "%q", extra)
	}
}

// A client that sends nothing, part of a line or single bytes slowly gets an error, and so does one that sends more
// while it waits for the response; its request is canceled. An ID that is in use is refused, and its owner's
// connection is unaffected.
func TestClientsThatDoNotKeepToTheOrderAreTurnedAway(t *testing.T) {
	taken := make(chan struct{})
	left := make(chan struct{})
	h := newHost(t, "a", func(line string, c net.Conn, r *bufio.Reader) {
		if strings.Contains(line, "x=slow") {
			close(taken)
			hang(line, c, r)
			close(left)
			return
		}
		echo(line, c, r)
	})
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	owner := dial(t, n)
	openAs(owner, "9b1f", "")
	require.Equal(t, "UP r1", owner.receive())
	again := dial(t, n)
	openAs(again, "9b1f", "")
	assert.Equal(t, "ERR the id is in use", again.receive())
	again.assertClosed()
	owner.send("M 1 ab")
	assert.Equal(t, "M 1 ab", owner.receive())

	eager := dial(t, n)
	eager.send("OPEN e 7f3a c=chat,d=15000,x=slow")
	<-taken
	eager.send("M 1 ab")
	assert.Contains(t, eager.receive(), "ERR a client sends one line")
	eager.assertClosed()
	<-left

	silent, half, trickle := dial(t, n), dial(t, n), dial(t, n)
	_, err := io.WriteString(half, "OPEN 9b1f 7f3a c=ch")
	require.NoError(t, err)
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			if _, err := io.WriteString(trickle, "O"); err != nil {
				return
			}
		}
	}()
	for _, c := range []*client{silent, half, trickle} {
		assert.Equal(t, "ERR no query has come", c.receive())
		c.assertClosed()
	}
	owner.send("end")
	assert.Equal(t, "BYE", owner.receive())
	owner.assertClosed()
	later := dial(t, n)
	openAs(later, "9b1f", "")
	assert.Equal(t, "UP r1", later.receive(), "the id is free")
}

func TestBadInputGetsAnAnswerAndReachesNoHost(t *testing.T) {
	h := newHost(t, "a", echo)
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	for _, in := range []string{
		"HELLO\r\n", "\r\n", "OPEN\r\n", "OPEN 1 2\r\n", "OPEN 1 2 3 4\r\n", "OPEN 1 2 c\r\n", "OPEN 1 2 t=acme\r\n",
		"OPEN 1 2 c=nosuch,d=100\r\n", "OPEN 1 2 c=chat,d=-1\r\n", "OPEN 1 2 c=chat,d=1e9\r\n", "OPEN 1 2 c=chat,h=NaN\r\n",
		"OPEN 1 2 c=chat,d=100\n", strings.Repeat("x", 5000), "\x00\xff\r\n",
		"OPEN 1 2 c=chat,d=4294967295\r\n", "OPEN 1 2 c=chat,d=18446744073709551617\r\n", "OPEN 1 2 c=chat,x=\xff\r\n",
		"OPEN 1 2 c=chat,d=100,x=a\rb\r\n", "OPEN 1 2 c=chat,d=100,x=\x00\r\n",
		"OPEN 1 2 c=chat,d=100\r\nM 1 ab\r\n", strings.Repeat("OPEN 1 2 c=chat,d=100\r\n", 300),
		strings.Repeat("PING\r\n", 300), "OPEN 1 2 c=chat,d=100\r\nOPEN", strings.Repeat("x", 8<<20),
	} {
		c := dial(t, n)
		_, err := io.WriteString(c, in)
		require.NoError(t, err)
		assert.Contains(t, c.receive(), "ERR ", "%.40q", in)
		c.assertClosed()
	}
	half := dial(t, n)
	_, err := io.WriteString(half, "OPEN 1 2 c=chat,d=1")
	require.NoError(t, err)
	half.Close()
	c := dial(t, n)
	open(c, "")
	assert.Equal(t, "UP r1", c.receive(), "the node continues to serve")
	assert.Len(t, h.firstLines(), 1)
}

// On SIGTERM, requests that were accepted are answered, and connections that arrive shortly after are accepted too.
// Established connections continue after the node has stopped accepting; the node stops once the last of them is
// closed.
func TestLeavingAnswersAllThatWasTaken(t *testing.T) {
	release := make(chan struct{})
	h := newHost(t, "a", func(line string, c net.Conn, r *bufio.Reader) {
		<-release
		echo(line, c, r)
	})
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	early, late := dial(t, n), dial(t, n)
	open(early, "")
	left := make(chan struct{})
	go func() {
		shutDown(n)
		close(left)
	}()
	open(late, "")
	close(release)
	assert.Equal(t, "UP r1", early.receive())
	assert.Equal(t, "UP r1", late.receive())
	for { // until it has stopped accepting
		c, err := net.Dial("tcp", n.addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		if err != nil {
			require.ErrorIs(t, err, syscall.ECONNRESET, "it was waiting to be accepted")
			continue
		}
		require.NoError(t, c.(*net.TCPConn).SetLinger(0))
		c.Close()
	}
	for range 100 {
		early.send("M 1 ab")
		require.Equal(t, "M 1 ab", early.receive())
	}
	early.Close()
	late.Close()
	<-left
}

// A client that sends without end is moved; its host is healthy and gets the next request.
func TestAFloodFromAClientIsNotHeldAgainstItsHost(t *testing.T) {
	h := newHost(t, "a", func(line string, c net.Conn, r *bufio.Reader) {
		if strings.Contains(line, "x=flood") {
			io.WriteString(c, "UP r1\r\n")
			<-t.Context().Done() // it reads nothing more
			return
		}
		echo(line, c, r)
	})
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	flood := dial(t, n)
	open(flood, ",x=flood")
	require.Equal(t, "UP r1", flood.receive())
	go func() {
		lines := bytes.Repeat([]byte("M 1 0123456789abcdef\r\n"), 1000)
		for err := error(nil); err == nil; {
			_, err = flood.Write(lines)
		}
	}()
	assert.Equal(t, "MOVE", flood.receive())
	c := dial(t, n)
	open(c, "")
	assert.Equal(t, "UP r1", c.receive())
}

func TestAFloodFromAHostDoesNotGrowTheNode(t *testing.T) {
	blocked := make(chan struct{})
	h := newHost(t, "a", func(_ string, c net.Conn, _ *bufio.Reader) {
		defer close(blocked)
		io.WriteString(c, "UP r1\r\n")
		flood := bytes.Repeat([]byte("M 1 0123456789abcdef\r\n"), 1000)
		for {
			if _, err := c.Write(flood); err != nil {
				return // the node has closed the connection
			}
		}
	})
	n := startNode(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	c := dial(t, n)
	open(c, "") // the client never reads
	select {
	case <-blocked:
	case <-time.After(testTimeout):
		t.Fatal("the node reads everything that the host sends although its client reads nothing")
	}
}
