package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenhitch/internal/site/sitepb"
	"lichenhitch/rehearsal/processes"
)

const (
	drainGrace = 2 * time.Second // drain_grace_us of the settings
	// idleTimeout is how long a node has to release what clients used: connections that it ends are closed after 3 s
	// at the latest (docs/design/endings.md), connections without a request after 2 s.
	idleTimeout = 6 * time.Second
	// warmUp is the wait before the resources of a node without clients are measured: probes and the first calls to
	// discovery are finished by then.
	warmUp             = time.Second
	pingInterval       = 100 * time.Millisecond // interval of the front end's health checks
	stallCheckInterval = 2 * time.Millisecond
	minStall           = 10 * time.Millisecond
)

// settingsOf returns the settings of a node, with one request class that may run twice and one that may not, and before
// it was dropped a third one, which no client uses.
func settingsOf(p Plan, dropped bool) string {
	mode := "proxy"
	if p.PassThrough {
		mode = "pass"
	}
	const class = `{"name":%q,"aim_us":300000,"deadline_us":%d,"semantics":%q,"streamed":true,"points":1}`
	deadline := p.LongestDeadline.Microseconds()
	unused := "," + fmt.Sprintf(class, "import", p.DroppedDeadline.Microseconds(), "read_like")
	if dropped {
		unused = ""
	}
	return fmt.Sprintf(`{"balancers":%d,"my_zone":"z","registry_mode":"ask","round_us":5000,"weight_source":"nominal",
"permissions":{"probes":true,"max_attempts":4,"retry_after":true,"max_retry_after_us":1500000,"connect_timeout_us":250000},
"extra":{"mode":%q,"message_aim_us":[250000]},
"safety":{"ask_within_us":1000000,"cold_us":4000000,"cold_from":0.4,"overload_factor":3,"tip_after_us":1500000,"drain_grace_us":%d},
"tariffs":{"probe":0},"request_classes":[`+class+","+class+"%s]}", len(p.Nodes), mode, drainGrace.Microseconds(), "chat", deadline, "read_like",
		"print", deadline, "non_idempotent", unused)
}

// runner runs one plan.
type runner struct {
	*processes.World
	t             testing.TB
	plan          Plan
	rec           *recorder
	frontEnd      *frontEnd
	faultsRunning sync.WaitGroup // the faults that have begun
	droppedMu     sync.Mutex
	dropped       map[string]bool // the nodes that have reloaded settings without the class that no client uses
}

// Run runs a plan and returns what was observed.
func Run(t testing.TB, p Plan) Record {
	t.Helper()
	w := processes.New(t, processes.Plan{Seed: p.Seed, Hosts: processes.Fleet(p.Hosts), NoSiteFile: true, Sockets: p.Sockets,
		Settings: settingsOf(p, false), Sites: []processes.Site{{Name: "b", Level: sitepb.Level_BUILDING, Nodes: p.Nodes}}})
	rec := &recorder{r: Record{Plan: p, Drains: map[string][]Span{}, Hangs: map[string][]Span{}, Downtimes: map[string][]Span{}}}
	g := &runner{World: w, t: t, plan: p, rec: rec, frontEnd: &frontEnd{nodes: p.Nodes, closed: map[string]bool{}, addr: map[string]string{}}, dropped: map[string]bool{}}
	go g.watchStalls()
	g.startAll()
	rec.update(func(r *Record) { r.FaultsFrom = w.Now() })
	c := &clientPool{world: w, plan: p, frontEnd: g.frontEnd, rec: rec, stop: make(chan struct{})}
	c.running.Go(c.generate)
	g.injectFaults(c)
	g.pause(settleTime)
	rec.update(func(r *Record) { r.FaultsOver = w.Now() })
	g.pause(faultFreeTail)
	close(c.stop)
	c.running.Wait()
	g.awaitIdle()
	g.stopAll()
	rec.update(func(r *Record) {
		r.HostLines, r.SentStates, r.Violations = w.Lines(), w.Discovery.Sent(), append(r.Violations, w.Violations(processes.Allowance{})...)
	})
	return rec.snapshot()
}

// lastPort is the port that was last assigned to a node. Ports below the system's ephemeral range are not taken by
// outgoing connections.
var lastPort atomic.Int64

// freePort returns an address with a port on which nothing listens.
func freePort(t testing.TB) string {
	const least, most = 10000, 32000
	lastPort.CompareAndSwap(0, int64(os.Getpid()*37))
	for range most - least {
		addr := fmt.Sprintf("127.0.0.1:%d", least+lastPort.Add(1)%(most-least))
		if ln, err := net.Listen("tcp4", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	require.FailNow(t, "no free port found")
	return ""
}

// startAll starts the nodes and measures the resources of each without clients.
func (g *runner) startAll() {
	for _, n := range g.plan.Nodes {
		g.frontEnd.addr[n] = freePort(g.t)
		g.start(n)
	}
	g.pause(warmUp)
	for _, n := range g.plan.Nodes {
		files, memory := resourcesOf(g.Node(n).PID())
		g.rec.update(func(r *Record) {
			r.Usage = append(r.Usage, Usage{Node: n, FilesBefore: files, MemoryBefore: memory})
		})
	}
}

// start starts a process of a node, waits until it answers PONG and opens the node to clients.
func (g *runner) start(node string) {
	process := g.recordStart(node)
	g.Node(node).StartAt(g.frontEnd.addr[node])
	g.awaitPong(node, process)
	g.frontEnd.setOpen(node, true)
}

// recordStart records the start of a process and returns its index in Record.Processes.
func (g *runner) recordStart(node string) (process int) {
	g.rec.update(func(r *Record) {
		process = len(r.Processes)
		r.Processes = append(r.Processes, Process{Node: node, Started: g.Now()})
	})
	return process
}

// updateProcess changes the record of a process.
func (g *runner) updateProcess(process int, f func(*Process)) {
	g.rec.update(func(r *Record) { f(&r.Processes[process]) })
}

// latestProcess returns the index of the latest process of a node.
func (g *runner) latestProcess(node string) (process int) {
	g.rec.update(func(r *Record) {
		for i, p := range r.Processes {
			if p.Node == node {
				process = i
			}
		}
	})
	return process
}

// awaitPong sends PING to a node, like the front end, until it answers PONG.
func (g *runner) awaitPong(node string, process int) {
	for !pong(g.frontEnd.addr[node]) {
		if !g.pause(pingInterval) || !g.Node(node).Runs() {
			return
		}
	}
	g.updateProcess(process, func(p *Process) { p.Ready = g.Now() })
}

func pong(addr string) bool {
	c, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(dialTimeout))
	if _, err = io.WriteString(c, "PING\r\n"); err != nil {
		return false
	}
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "PONG\r\n"
}

// pause waits for the given time and reports whether the test continues.
func (g *runner) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.Done():
		return false
	}
}

// injectFaults starts each fault at its time and returns once the last one has ended.
func (g *runner) injectFaults(c *clientPool) {
	start := time.Now()
	for _, e := range g.plan.Events {
		if !g.pause(time.Until(start.Add(e.At))) {
			return
		}
		g.rec.update(func(r *Record) {
			r.EventLog = append(r.EventLog, fmt.Sprintf("%s: %s", g.Now().Round(time.Millisecond), e))
		})
		g.faultsRunning.Go(func() { g.inject(c, e) })
	}
	if g.plan.IdleClients > 0 {
		g.addIdleClients(c)
	}
	g.pause(time.Until(start.Add(g.plan.Duration)))
	g.faultsRunning.Wait()
}

// addIdleClients opens idle connections until the descriptors of each node are used up.
func (g *runner) addIdleClients(c *clientPool) {
	for _, n := range g.plan.Nodes {
		for range g.plan.IdleClients {
			c.running.Go(func() { c.openIdle(g.frontEnd.addr[n]) })
		}
	}
}

// inject runs one fault from its beginning to its end.
func (g *runner) inject(c *clientPool, e Event) {
	switch e.Kind {
	case Restart:
		g.restart(c, e)
	case Crash:
		g.crash(e)
	case Upgrade:
		g.upgrade(e)
	case UpgradeFails:
		g.upgradeFails(e)
	case UpgradeCrash:
		g.upgradeCrash(e)
	case EarlyTerm:
		g.earlyTerm(e)
	case HostFails:
		h := g.Host(e.Host)
		h.Refuse(failureFraction, e.Response)
		g.pause(e.Duration)
		h.Refuse(0, "")
	case Reload:
		g.reload(e.Node)
		g.reload(e.Node)
	case Discovery:
		g.recordSpan(e, func() { g.Discovery.SetFault(e.DiscoveryFault) },
			func(r *Record, s Span) { r.DiscoveryFaults = append(r.DiscoveryFaults, s) })
		g.Discovery.SetFault(processes.DiscoveryHealthy)
	case HostDrains:
		h := g.Host(e.Host)
		g.recordSpan(e, h.Drain, func(r *Record, s Span) { r.Drains[e.Host] = append(r.Drains[e.Host], s) })
		h.Undrain()
	case HostHangs:
		g.recordSpan(e, func() { g.setUnresponsive(e.Host, true) }, func(r *Record, s Span) { r.Hangs[e.Host] = append(r.Hangs[e.Host], s) })
		g.setUnresponsive(e.Host, false)
	case HostResets:
		h := g.Host(e.Host)
		g.recordSpan(e, h.Kill, func(r *Record, s Span) { r.Downtimes[e.Host] = append(r.Downtimes[e.Host], s) })
		h.Start()
	}
}

// reload makes a node reload settings without the class that no client uses.
func (g *runner) reload(node string) {
	g.droppedMu.Lock()
	g.dropped[node] = true
	g.droppedMu.Unlock()
	g.Node(node).SetSettings(settingsOf(g.plan, true))
	g.Node(node).Reload()
}

// killDelay returns how long after SIGTERM the process of a node is killed, by the settings that the node has now.
func (g *runner) killDelay(node string) time.Duration {
	g.droppedMu.Lock()
	defer g.droppedMu.Unlock()
	return g.plan.KillDelay(g.dropped[node])
}

// recordSpan begins a fault, waits for its duration and records when it began and ended.
func (g *runner) recordSpan(e Event, begin func(), record func(*Record, Span)) {
	s := Span{From: g.Now()}
	begin()
	g.pause(e.Duration)
	s.To = g.Now()
	g.rec.update(func(r *Record) { record(r, s) })
}

func (g *runner) setUnresponsive(host string, on bool) {
	for _, n := range g.plan.Nodes {
		g.Host(host).SetUnresponsive(n, on)
	}
}

// restart does a planned restart.
func (g *runner) restart(c *clientPool, e Event) {
	n, process := g.Node(e.Node), g.latestProcess(e.Node)
	if e.Signals == HangupTerm || e.Signals == HangupInTerm {
		g.reload(e.Node)
	}
	if e.Signals == HangupTerm {
		g.pause(pingInterval)
	}
	term := g.Now()
	g.updateProcess(process, func(p *Process) { p.TermAt = term })
	n.Terminate()
	if e.Signals == TermTwice {
		g.pause(e.ClientsAfterTerm / 2)
		n.Terminate()
	}
	if e.Signals == TermHangup {
		g.pause(e.ClientsAfterTerm / 2)
		g.reload(e.Node)
	}
	g.pause(term + e.ClientsAfterTerm - g.Now())
	for range silentClients {
		c.running.Go(func() { c.openIdle(g.frontEnd.addr[e.Node]) })
	}
	g.frontEnd.setOpen(e.Node, false)
	g.awaitEndOrKill(process, term+g.killDelay(e.Node), n.Runs, n.Kill, n.AwaitEnd)
	g.start(e.Node)
}

// awaitEndOrKill waits until a process has ended, and kills it if it has not ended by the given time.
func (g *runner) awaitEndOrKill(process int, killAt time.Duration, runs func() bool, kill func(), status func() int) {
	for runs() && g.Now() < killAt && g.pause(min(stallCheckInterval, killAt-g.Now())) {
	}
	if runs() {
		g.updateProcess(process, func(p *Process) { p.KillAt = g.Now() })
		kill()
	}
	clean := status() == 0
	g.updateProcess(process, func(p *Process) { p.Ended, p.ExitedCleanly = g.Now(), clean })
}

// crash kills a process that has just accepted a client.
func (g *runner) crash(e Event) {
	n, process := g.Node(e.Node), g.latestProcess(e.Node)
	if c, err := net.DialTimeout("tcp4", g.frontEnd.addr[e.Node], dialTimeout); err == nil {
		defer c.Close()
	}
	g.kill(process, n.Kill)
	g.start(e.Node)
}

// upgrade lets a successor process take over.
func (g *runner) upgrade(e Event) {
	predecessor, process, serves := g.startSuccessor(e.Node)
	if !serves {
		return
	}
	term := g.Now()
	g.updateProcess(process, func(p *Process) { p.TermAt = term })
	predecessor.Leave()
	g.awaitEndOrKill(process, term+g.killDelay(e.Node), predecessor.IsRunning, predecessor.Kill, predecessor.AwaitEnd)
}

// startSuccessor starts a successor process of a node and waits until it serves. It returns the predecessor and the
// predecessor's index.
func (g *runner) startSuccessor(node string) (predecessor *processes.Predecessor, process int, serves bool) {
	n, process := g.Node(node), g.latestProcess(node)
	successor, mark := g.recordStart(node), n.Mark()
	predecessor = n.Upgrade()
	return predecessor, process, g.awaitServing(n, mark, successor)
}

// awaitServing waits until a successor process serves beside its predecessor.
func (g *runner) awaitServing(n *processes.Node, mark, process int) bool {
	if !g.Until(func() bool { return n.HasLogged(mark, "msg=serving") }) {
		return false
	}
	g.updateProcess(process, func(p *Process) { p.Ready = g.Now() })
	return true
}

// upgradeFails kills the successor process at some time during the handover.
func (g *runner) upgradeFails(e Event) {
	n := g.Node(e.Node)
	process := g.recordStart(e.Node)
	n.Upgrade()
	g.pause(e.ClientsAfterTerm)
	g.kill(process, n.Kill)
	g.recordStart(e.Node) // a new record for the predecessor, which continues to run
	g.updateProcess(g.latestProcess(e.Node), func(p *Process) { p.Ready = p.Started })
}

// upgradeCrash kills the predecessor during the handover.
func (g *runner) upgradeCrash(e Event) {
	predecessor, process, serves := g.startSuccessor(e.Node)
	if !serves {
		return
	}
	g.pause(e.ClientsAfterTerm / 4)
	g.kill(process, predecessor.Kill)
}

// kill kills a process without warning and records the times of the signal and of the end.
func (g *runner) kill(process int, kill func()) {
	g.updateProcess(process, func(p *Process) { p.KillAt, p.Crashed = g.Now(), true })
	kill()
	g.updateProcess(process, func(p *Process) { p.Ended = g.Now() })
}

// earlyTerm kills a process and sends SIGTERM to the next one while it starts.
func (g *runner) earlyTerm(e Event) {
	n, process := g.Node(e.Node), g.latestProcess(e.Node)
	g.kill(process, n.Kill)
	g.frontEnd.setOpen(e.Node, false)
	process = g.recordStart(e.Node)
	n.StartAt(g.frontEnd.addr[e.Node])
	g.pause(e.ClientsAfterTerm - minClientsAfterTerm) // 0 to 0.2 s: before or after the process serves
	term := g.Now()
	g.updateProcess(process, func(p *Process) { p.TermAt = term })
	n.Terminate()
	g.awaitEndOrKill(process, term+g.killDelay(e.Node), n.Runs, n.Kill, n.AwaitEnd)
	g.start(e.Node)
}

// awaitIdle waits until every node has released what clients used, or until the time for that has passed.
func (g *runner) awaitIdle() {
	for until := g.Now() + idleTimeout; ; {
		idle := true
		g.rec.update(func(r *Record) {
			for i := range r.Usage {
				u := &r.Usage[i]
				u.FilesAfter, u.MemoryAfter = resourcesOf(g.Node(u.Node).PID())
				idle = idle && u.FilesAfter <= u.FilesBefore+g.plan.Hosts
			}
		})
		if idle || g.Now() > until || !g.pause(pingInterval) {
			return
		}
	}
}

// stopAll sends SIGTERM to all nodes once no clients are left.
func (g *runner) stopAll() {
	var all sync.WaitGroup
	for _, name := range g.plan.Nodes {
		all.Go(func() {
			n, process, term := g.Node(name), g.latestProcess(name), g.Now()
			g.updateProcess(process, func(p *Process) { p.TermAt = term })
			n.Terminate()
			g.awaitEndOrKill(process, term+g.killDelay(name), n.Runs, n.Kill, n.AwaitEnd)
		})
	}
	all.Wait()
}

// resourcesOf returns the number of descriptors of a process and its anonymous memory in bytes.
func resourcesOf(pid int) (files, memory int) {
	folder := fmt.Sprintf("/proc/%d", pid)
	if all, err := os.ReadDir(filepath.Join(folder, "fd")); err == nil {
		files = len(all)
	}
	status, _ := os.ReadFile(filepath.Join(folder, "status"))
	for line := range bytes.Lines(status) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kib, _ := strconv.Atoi(string(bytes.Fields(rest)[0]))
			memory = kib << 10
		}
	}
	return files, memory
}

// watchStalls records the times during which this test process did not run although it was due.
func (g *runner) watchStalls() {
	for last := g.Now(); g.pause(stallCheckInterval); {
		now := g.Now()
		if now-last > stallCheckInterval+minStall {
			s := Span{From: last, To: now}
			g.rec.update(func(r *Record) { r.Stalls = append(r.Stalls, s) })
		}
		last = now
	}
}
