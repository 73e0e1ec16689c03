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
	drainGrace = 2 * time.Second // of the settings
	// restWithin is how long a node has to give back what clients took: what it ends is closed after 3 s at the latest
	// (docs/design/endings.md), and a connection without a request after 2 s.
	restWithin = 6 * time.Second
	// calmBefore is how long nodes rest before what they hold is looked at: probes and the first calls to discovery are over.
	calmBefore = time.Second
	pingEvery  = 100 * time.Millisecond // the front's
	stallLook  = 2 * time.Millisecond
	stallLeast = 10 * time.Millisecond
)

// settingsOf are the settings of all nodes: a class that may run twice and one that may not.
func settingsOf(p Plan) string {
	mode := "proxy"
	if p.Pass {
		mode = "pass"
	}
	const class = `{"name":%q,"aim_us":300000,"deadline_us":%d,"semantics":%q,"streamed":true,"points":1}`
	deadline := p.Longest.Microseconds()
	return fmt.Sprintf(`{"balancers":%d,"my_zone":"z","registry_mode":"ask","round_us":5000,"weight_source":"nominal",
"permissions":{"probes":true,"max_attempts":4,"retry_after":true,"max_retry_after_us":1500000,"connect_timeout_us":250000},
"extra":{"mode":%q,"message_aim_us":[250000]},
"safety":{"ask_within_us":1000000,"cold_us":4000000,"cold_from":0.4,"overload_factor":3,"tip_after_us":1500000,"drain_grace_us":%d},
"tariffs":{"probe":0},"request_classes":[`+class+","+class+"]}", len(p.Nodes), mode, drainGrace.Microseconds(), "chat", deadline, "read_like",
		"print", deadline, "non_idempotent")
}

// player plays one plan.
type player struct {
	*processes.World
	t     testing.TB
	plan  Plan
	rec   *recorder
	front *front
	over  sync.WaitGroup // of the trouble
}

// Play plays a plan and returns what was seen.
func Play(t testing.TB, p Plan) Record {
	t.Helper()
	w := processes.New(t, processes.Plan{Seed: p.Seed, Hosts: processes.Fleet(p.Hosts), NoSiteFile: true, Sockets: p.Sockets,
		Settings: settingsOf(p), Sites: []processes.Site{{Name: "b", Level: sitepb.Level_BUILDING, Nodes: p.Nodes}}})
	rec := &recorder{r: Record{Plan: p, Drains: map[string][]Span{}, Hangs: map[string][]Span{}, Downs: map[string][]Span{}}}
	g := &player{World: w, t: t, plan: p, rec: rec, front: &front{nodes: p.Nodes, shut: map[string]bool{}, addr: map[string]string{}}}
	go g.watchStalls()
	g.startAll()
	rec.note(func(r *Record) { r.Began = w.Now() })
	c := &crowd{w: w, plan: p, front: g.front, rec: rec, stop: make(chan struct{})}
	c.all.Go(c.come)
	g.play(c)
	g.pause(longestWait)
	rec.note(func(r *Record) { r.Calm = w.Now() })
	g.pause(calmTail)
	close(c.stop)
	c.all.Wait()
	g.awaitRest()
	g.stopAll()
	rec.note(func(r *Record) {
		r.Lines, r.Told, r.Violations = w.Lines(), w.Discovery.Sent(), append(r.Violations, w.Violations(processes.Allowance{})...)
	})
	return rec.record()
}

// lastPort is the port that was given to a node last; ports below the system's own range are not taken by connections.
var lastPort atomic.Int64

// freePort returns an address whose port nobody listens at.
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
	require.FailNow(t, "no free port")
	return ""
}

// startAll starts the nodes and looks at what each holds at rest.
func (g *player) startAll() {
	for _, n := range g.plan.Nodes {
		g.front.addr[n] = freePort(g.t)
		g.start(n)
	}
	g.pause(calmBefore)
	for _, n := range g.plan.Nodes {
		files, memory := held(g.Node(n).PID())
		g.rec.note(func(r *Record) {
			r.Usage = append(r.Usage, Usage{Node: n, FilesBefore: files, MemoryBefore: memory})
		})
	}
}

// start starts a node's process, has the front take it in once it has answered PONG, and returns the number of its life.
func (g *player) start(node string) {
	life := g.begins(node)
	g.Node(node).StartAt(g.front.addr[node])
	g.awaitPong(node, life)
	g.front.set(node, true)
}

// begins notes the begin of a process, and returns the number of its life.
func (g *player) begins(node string) (life int) {
	g.rec.note(func(r *Record) {
		life = len(r.Lives)
		r.Lives = append(r.Lives, Life{Node: node, Began: g.Now()})
	})
	return life
}

// life changes the record of a process's life.
func (g *player) life(number int, f func(*Life)) { g.rec.note(func(r *Record) { f(&r.Lives[number]) }) }

// present is the number of the latest life of a node.
func (g *player) present(node string) (number int) {
	g.rec.note(func(r *Record) {
		for i, l := range r.Lives {
			if l.Node == node {
				number = i
			}
		}
	})
	return number
}

// awaitPong asks a node as the front does until it answers PONG.
func (g *player) awaitPong(node string, life int) {
	for !pong(g.front.addr[node]) {
		if !g.pause(pingEvery) || !g.Node(node).Runs() {
			return
		}
	}
	g.life(life, func(l *Life) { l.Ready = g.Now() })
}

func pong(addr string) bool {
	c, err := net.DialTimeout("tcp4", addr, dialWithin)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(dialWithin))
	if _, err = io.WriteString(c, "PING\r\n"); err != nil {
		return false
	}
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "PONG\r\n"
}

// pause waits, and says whether the world goes on.
func (g *player) pause(long time.Duration) bool {
	timer := time.NewTimer(long)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.Done():
		return false
	}
}

// play has each trouble come at its time, and returns once the last one is over.
func (g *player) play(c *crowd) {
	begun := time.Now()
	for _, e := range g.plan.Events {
		if !g.pause(time.Until(begun.Add(e.At))) {
			return
		}
		g.rec.note(func(r *Record) { r.Order = append(r.Order, fmt.Sprintf("%s: %s", g.Now().Round(time.Millisecond), e)) })
		g.over.Go(func() { g.befall(c, e) })
	}
	if g.plan.Crowd > 0 {
		g.gather(c)
	}
	g.pause(time.Until(begun.Add(g.plan.Lasts)))
	g.over.Wait()
}

// gather has idle clients fill each node's descriptors.
func (g *player) gather(c *crowd) {
	for _, n := range g.plan.Nodes {
		for range g.plan.Crowd {
			c.all.Go(func() { c.idle(g.front.addr[n]) })
		}
	}
}

// befall plays one piece of trouble from its beginning to its end.
func (g *player) befall(c *crowd, e Event) {
	switch e.Kind {
	case Restart:
		g.restart(e)
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
		h.Refuse(failingPart, e.Answer)
		g.pause(e.Lasts)
		h.Refuse(0, "")
	case Reload:
		g.Node(e.Node).Reload()
		g.Node(e.Node).Reload()
	case Discovery:
		g.span(e, func() { g.Discovery.SetFault(e.Trouble) }, func(r *Record, s Span) { r.Unreachable = append(r.Unreachable, s) })
		g.Discovery.SetFault(processes.DiscoveryHealthy)
	case HostDrains:
		h := g.Host(e.Host)
		g.span(e, h.Drain, func(r *Record, s Span) { r.Drains[e.Host] = append(r.Drains[e.Host], s) })
		h.Undrain()
	case HostHangs:
		g.span(e, func() { g.hang(e.Host, true) }, func(r *Record, s Span) { r.Hangs[e.Host] = append(r.Hangs[e.Host], s) })
		g.hang(e.Host, false)
	case HostResets:
		h := g.Host(e.Host)
		g.span(e, h.Kill, func(r *Record, s Span) { r.Downs[e.Host] = append(r.Downs[e.Host], s) })
		h.Start()
	}
}

// span has a trouble begin, waits for as long as it lasts, and notes from when to when it did.
func (g *player) span(e Event, begin func(), note func(*Record, Span)) {
	s := Span{From: g.Now()}
	begin()
	g.pause(e.Lasts)
	s.To = g.Now()
	g.rec.note(func(r *Record) { note(r, s) })
}

func (g *player) hang(host string, on bool) {
	for _, n := range g.plan.Nodes {
		g.Host(host).SetUnresponsive(n, on)
	}
}

// restart is a planned one.
func (g *player) restart(e Event) {
	n, life := g.Node(e.Node), g.present(e.Node)
	if e.Signals == HangupTerm || e.Signals == HangupInTerm {
		n.Reload()
	}
	if e.Signals == HangupTerm {
		g.pause(pingEvery)
	}
	term := g.Now()
	g.life(life, func(l *Life) { l.Term = term })
	n.Terminate()
	if e.Signals == TermTwice {
		g.pause(e.FrontOn / 2)
		n.Terminate()
	}
	if e.Signals == TermHangup {
		g.pause(e.FrontOn / 2)
		n.Reload()
	}
	g.pause(term + e.FrontOn - g.Now())
	g.front.set(e.Node, false)
	g.endBy(life, term+g.plan.Kill(), n.Runs, n.Kill, n.AwaitEnd)
	g.start(e.Node)
}

// endBy waits until a process has ended, and kills it where it has not by a time.
func (g *player) endBy(life int, at time.Duration, runs func() bool, kill func(), status func() int) {
	for runs() && g.Now() < at && g.pause(min(stallLook, at-g.Now())) {
	}
	if runs() {
		g.life(life, func(l *Life) { l.Kill = g.Now() })
		kill()
	}
	clean := status() == 0
	g.life(life, func(l *Life) { l.Ended, l.Clean = g.Now(), clean })
}

// crash kills a process that has just accepted a client.
func (g *player) crash(e Event) {
	n, life := g.Node(e.Node), g.present(e.Node)
	if c, err := net.DialTimeout("tcp4", g.front.addr[e.Node], dialWithin); err == nil {
		defer c.Close()
	}
	g.crashed(life, n.Kill)
	g.start(e.Node)
}

// upgrade has a later process take over.
func (g *player) upgrade(e Event) {
	former, life, serves := g.succeed(e.Node)
	if !serves {
		return
	}
	term := g.Now()
	g.life(life, func(l *Life) { l.Term = term })
	former.Leave()
	g.endBy(life, term+g.plan.Kill(), former.IsRunning, former.Kill, former.AwaitEnd)
}

// succeed starts a later process of a node and waits until it serves. It returns the former one and the number of its life.
func (g *player) succeed(node string) (former *processes.Predecessor, life int, serves bool) {
	n, life := g.Node(node), g.present(node)
	later, mark := g.begins(node), n.Mark()
	former = n.Upgrade()
	return former, life, g.awaitServing(n, mark, later)
}

// awaitServing waits until a later process serves beside the former one.
func (g *player) awaitServing(n *processes.Node, mark, life int) bool {
	if !g.Until(func() bool { return n.HasLogged(mark, "msg=serving") }) {
		return false
	}
	g.life(life, func(l *Life) { l.Ready = g.Now() })
	return true
}

// upgradeFails kills the later process while it takes over, sooner or later.
func (g *player) upgradeFails(e Event) {
	n := g.Node(e.Node)
	life := g.begins(e.Node)
	n.Upgrade()
	g.pause(e.FrontOn)
	g.crashed(life, n.Kill)
	g.begins(e.Node) // the former process's life goes on
	g.life(g.present(e.Node), func(l *Life) { l.Ready = l.Began })
}

// upgradeCrash kills the former process while it hands over.
func (g *player) upgradeCrash(e Event) {
	former, life, serves := g.succeed(e.Node)
	if !serves {
		return
	}
	g.pause(e.FrontOn / 4)
	g.crashed(life, former.Kill)
}

// crashed kills a process without warning, and notes from when to when.
func (g *player) crashed(life int, kill func()) {
	g.life(life, func(l *Life) { l.Kill, l.Crash = g.Now(), true })
	kill()
	g.life(life, func(l *Life) { l.Ended = g.Now() })
}

// earlyTerm kills a process, and asks the next one to end while it starts.
func (g *player) earlyTerm(e Event) {
	n, life := g.Node(e.Node), g.present(e.Node)
	g.crashed(life, n.Kill)
	g.front.set(e.Node, false)
	life = g.begins(e.Node)
	n.StartAt(g.front.addr[e.Node])
	g.pause(e.FrontOn - frontLeast) // up to 0.2 s: before or after it serves
	term := g.Now()
	g.life(life, func(l *Life) { l.Term = term })
	n.Terminate()
	g.endBy(life, term+g.plan.Kill(), n.Runs, n.Kill, n.AwaitEnd)
	g.start(e.Node)
}

// awaitRest waits until every node holds no more than before any client came, or has had the time for it.
func (g *player) awaitRest() {
	for until := g.Now() + restWithin; ; {
		rests := true
		g.rec.note(func(r *Record) {
			for i := range r.Usage {
				u := &r.Usage[i]
				u.FilesAfter, u.MemoryLast = held(g.Node(u.Node).PID())
				rests = rests && u.FilesAfter <= u.FilesBefore+g.plan.Hosts
			}
		})
		if rests || g.Now() > until || !g.pause(pingEvery) {
			return
		}
	}
}

// stopAll asks all nodes to end, with no client left.
func (g *player) stopAll() {
	var all sync.WaitGroup
	for _, name := range g.plan.Nodes {
		all.Go(func() {
			n, life, term := g.Node(name), g.present(name), g.Now()
			g.life(life, func(l *Life) { l.Term = term })
			n.Terminate()
			g.endBy(life, term+g.plan.Kill(), n.Runs, n.Kill, n.AwaitEnd)
		})
	}
	all.Wait()
}

// held is how many descriptors a process holds, and how many bytes of memory that belong to no file.
func held(pid int) (files, memory int) {
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

// watchStalls notes when this process itself did not run, though its time had come.
func (g *player) watchStalls() {
	for last := g.Now(); g.pause(stallLook); {
		now := g.Now()
		if now-last > stallLook+stallLeast {
			s := Span{From: last, To: now}
			g.rec.note(func(r *Record) { r.Stalls = append(r.Stalls, s) })
		}
		last = now
	}
}
