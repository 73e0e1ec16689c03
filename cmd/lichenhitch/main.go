// Command lichenhitch is one node: it takes the queries that the front brings and places each on a host.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lichenhitch/balance"
	"lichenhitch/internal/clientlink"
	"lichenhitch/internal/config"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/hostgroup"
	"lichenhitch/internal/life"
	"lichenhitch/internal/management"
	"lichenhitch/internal/query"
	"lichenhitch/internal/serverlink"
)

const (
	// ownSockets are descriptors that the process itself needs: its log, its pollers, its listener, and one or two
	// more for each connection while it is handed to the loop.
	ownSockets = 24
	// probeSockets are kept free of queries, for discovery and for probes that are not connected yet.
	probeSockets = 16
	// queuedPart is the part of the memory that may hold what waits for peers to read, all connections together.
	queuedPart = 4
	// leaveLook is how often a leaving node looks whether it may stop.
	leaveLook = 20 * time.Millisecond
)

func main() {
	// First of all: a signal that nobody waits for ends the program. Each channel keeps one signal until it is
	// read, and drops more of the same, which would say nothing new.
	reload, quit := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(quit, syscall.SIGTERM, syscall.SIGINT)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log, reload, quit); err != nil {
		log.Error("stopping", "error", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger, reload, quit <-chan os.Signal) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	// The loop and the dialler wait inside system calls, each on a thread of its own. With one processor for
	// Go, a thread that wakes up would wait until the other one's is taken away from it, up to 10 ms.
	runtime.GOMAXPROCS(max(4, runtime.GOMAXPROCS(0)))
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)

	n, err := start(log.With("node", cfg.Name), cfg)
	if err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			n.reload(config.Reload(os.Getenv))
		case s := <-quit:
			n.log.Info("leaving", "signal", s.String())
			n.leave()
			return nil
		}
	}
}

// node is the program, wired.
type node struct {
	log      *slog.Logger
	cfg      config.Config
	loop     *evloop.Loop
	core     *query.Core
	group    *hostgroup.Group
	listener *evloop.Listener
	desk     *evloop.Listener // of the management address; nil where there is none
	begun    time.Duration    // the start

	// These belong to the loop.
	service life.Service
	pacing  bool          // step is going to be called
	empty   chan struct{} // closed when the node has left
}

// start wires the parts and serves.
func start(log *slog.Logger, cfg config.Config) (*node, error) {
	sockets := socketLimit(cfg.Sockets)
	links := sockets - ownSockets
	loop, err := evloop.Start(log, evloop.Limits{Links: links, Queued: cfg.MemoryMB << 20 / queuedPart / sockets})
	if err != nil {
		return nil, err
	}
	ticks := &clock{loop: loop}
	core := query.New(log, ticks, cfg.Settings, cfg.Seed)
	ticks.core = core
	n := &node{log: log, cfg: cfg, loop: loop, core: core, begun: loop.Now(), empty: make(chan struct{}),
		group: hostgroup.New(log, loop, core, cfg.Discovery),
		service: life.Service{PassThrough: cfg.Settings.PassThrough,
			Within: life.StayWithin(longestDeadline(cfg.Settings))}}
	hosts := serverlink.New(log, loop, core, connectTimeout(cfg.Settings), n.group.Endpoint)
	serving := func() bool { return n.service.Serving() }
	door := clientlink.New(log, loop, core, cfg.Settings, links-probeSockets, serving)
	loop.Call(func() {
		core.Connect(hosts, n.group)
		if cfg.Known != nil {
			n.group.Restore(*cfg.Known)
		} else {
			core.List(balance.ListSaved, nil)
		}
	})
	if n.listener, err = loop.Listen(cfg.Listen, door.Accept); err != nil {
		loop.Stop()
		return nil, fmt.Errorf("listen: %w", err)
	}
	if cfg.Management != "" {
		if n.desk, err = loop.Listen(cfg.Management, management.New(log, loop, n).Accept); err != nil {
			n.listener.Close()
			loop.Stop()
			return nil, fmt.Errorf("management: %w", err)
		}
		log.Info("open to operators", "management", n.desk.Addr())
	}
	log.Info("serving", "listen", n.listener.Addr(), "discovery", cfg.Discovery)
	return n, nil
}

// reload takes over what a new configuration changes, on SIGHUP. The file was read beside the loop. One that is
// faulty, or only half written yet, changes nothing.
func (n *node) reload(cfg config.Config, err error) {
	if err != nil {
		n.log.Error("the new configuration is faulty; the old one stays", "error", err)
		return
	}
	if fixed := cfg.Fixed(n.cfg); len(fixed) > 0 {
		n.log.Warn("what has changed besides takes a restart", "keys", fixed)
	}
	n.log.Info("configuration read again", "discovery", cfg.Discovery, "before", n.cfg.Discovery)
	n.cfg.Discovery = cfg.Discovery
	n.loop.Call(func() { n.group.Relocate(cfg.Discovery) })
}

// socketLimit is how many descriptors the node may hold: what it is told, or less where the system allows less.
func socketLimit(told int) int {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err == nil && own.Cur < uint64(told) {
		return int(own.Cur)
	}
	return told
}

// connectTimeout is the settings', or a second where they tell none.
func connectTimeout(set balance.Settings) time.Duration {
	if set.ConnectTimeout > 0 {
		return set.ConnectTimeout
	}
	return time.Second
}

// leave answers all that was taken and stops.
func (n *node) leave() {
	n.loop.Call(func() { n.ask(life.Depart) })
	<-n.empty
	n.loop.Stop()
}

// ask takes a wish for the node as a whole.
func (n *node) ask(w life.Wish) {
	n.service = n.service.Ask(w, n.loop.Now())
	if !n.pacing {
		n.step()
	}
}

// step does what life.Service orders, again and again for as long as the node does not simply serve.
func (n *node) step() {
	n.pacing = !n.service.Serving()
	if !n.pacing {
		return
	}
	var order life.Order
	var count int
	n.service, order, count = n.service.Step(n.loop.Now(), n.core.Owed(), n.core.Standing(), false)
	switch order {
	case life.Ease:
		n.core.Ease(count)
	case life.CloseDoor:
		n.listener.Close()
	case life.SendAway:
		n.core.Leave(n.service.PassThrough)
		close(n.empty)
		return
	}
	n.loop.After(leaveLook, n.step)
}

func longestDeadline(set balance.Settings) (longest time.Duration) {
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// clock adapts the loop for the core.
type clock struct {
	loop *evloop.Loop
	core *query.Core
}

func (c *clock) Now() time.Duration { return c.loop.Now() }
func (c *clock) After(d time.Duration, due query.Due) query.Timer {
	return c.loop.After(d, func() { c.core.Fire(due) })
}
