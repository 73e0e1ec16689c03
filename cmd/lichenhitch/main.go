// Command lichenhitch is one node: it takes the queries that the front brings and places each on a host.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lichenhitch/balance"
	"lichenhitch/internal/backend"
	"lichenhitch/internal/clientconn"
	"lichenhitch/internal/config"
	"lichenhitch/internal/control"
	"lichenhitch/internal/discovery"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/handover"
	"lichenhitch/internal/lifecycle"
	"lichenhitch/internal/management"
	"lichenhitch/internal/query"
	"lichenhitch/internal/settings"
	"lichenhitch/internal/site"
)

const (
	// ownSockets are descriptors that the process itself needs: its log, its pollers, its listener, and one or two
	// more for each connection while it is handed to the loop.
	ownSockets = 24
	// probeSockets are kept free of queries, for discovery and for probes that are not connected yet.
	probeSockets = 16
	// leastTraffic is how many descriptors are left to traffic beside the affairs of a site, if there is any room: what the
	// least that may be told in limits.sockets leaves without them.
	leastTraffic = 64 - ownSockets
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
	debug.SetMemoryLimit(memoryLimit(cfg.MemoryMB))

	n, err := start(log.With("node", cfg.Name), cfg)
	if err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			n.reload(config.Reload(os.Getenv, n.cfg))
			n.reseat()
		case s := <-quit:
			n.log.Info("leaving", "signal", s.String())
			n.leave()
			return nil
		}
	}
}

// node is the program, wired.
type node struct {
	log       *slog.Logger
	cfg       config.Config
	sockets   int // descriptors that all processes of the node together may hold
	loop      *evloop.Loop
	core      *query.Core
	discovery *discovery.Client
	acceptor  *clientconn.Acceptor
	connector *backend.Connector
	desk      *evloop.Listener              // of the management address; nil where there is none
	store     *handover.Store               // nil where nothing can be shared with another process
	number    int                           // of this process, as the store counts
	begun     time.Duration                 // the start
	read      atomic.Pointer[config.Config] // the settings as read, for any thread

	// These belong to the loop.
	addr     string           // where clients connect
	listener *evloop.Listener // nil while the door is closed
	retired  *evloop.Listener // the last one; what is queued there may still come
	shared   handover.State   // as this process has taken it over
	service  lifecycle.Service
	pacing   bool               // step is going to be called
	ready    bool               // the others know that the door is open and there is a list
	passing  *passing           // connections on their way to a successor; nil where there are none
	receiver *handover.Receiver // of connections from an earlier process
	affairs  *control.Thread    // nil where no site file is named, or an earlier process has the store
	site     *site.Site
	gaveUp   bool // the affairs, to a later process
	telling  bool // report is going to be called
	reports  int
	tuning   tuning
	others   int // processes, and descriptors that they hold, as budget knows
	held     int
	share    int // descriptors that affairs may hold
	governs  int // and all control that has not ended, and as budget knows
	governed int
	empty    chan struct{} // closed when the node has left
}

// start wires the parts and serves. Where an earlier process of the node serves, the door opens later; see arrive.
func start(log *slog.Logger, cfg config.Config) (*node, error) {
	n := &node{log: log, cfg: cfg, addr: cfg.Listen, sockets: socketLimit(cfg.Sockets), empty: make(chan struct{}),
		service: lifecycle.Service{PassThrough: cfg.Settings.PassThrough,
			MaxStay: lifecycle.MaxStay(longestDeadline(cfg.Settings))},
		tuning: tuning{set: cfg.Settings}}
	n.publishSettings()
	links := n.sockets - ownSockets
	var err error
	n.loop, err = evloop.Start(log, evloop.Limits{Conns: links, Queued: cfg.MemoryMB << 20 / queuedPart / n.sockets})
	if err != nil {
		return nil, err
	}
	n.begun = n.loop.Now()
	ticks := &clock{loop: n.loop}
	n.core = query.New(log, ticks, cfg.Settings, cfg.Seed)
	ticks.core = n.core
	n.discovery = discovery.New(log, n.loop, n.core, cfg.Discovery, cfg.Settings, cfg.Seed)
	n.connector = backend.New(log, n.loop, n.core, cfg.Settings.ConnectTimeout, n.discovery.Endpoint)
	n.acceptor = clientconn.New(log, n.loop, n.core, cfg.Settings, links-probeSockets,
		func() bool { return n.service.Serving() })
	n.join()
	n.loop.Call(func() {
		n.core.Connect(n.connector, n.discovery)
		n.take(n.shared)
		if cfg.Known != nil {
			n.discovery.Restore(*cfg.Known)
		} else {
			n.core.List(balance.ListSaved, nil)
		}
		n.discovery.Start()
	})
	if err := n.settle(); err != nil { // may take as long as the disk does
		n.stop()
		return nil, err
	}
	n.awaitAgent()
	n.loop.Call(func() {
		if n.shared.HasEarlier(n.number) {
			n.receive()
			log.Info("an earlier process serves; the door opens once there is a list", "listen", cfg.Listen)
		} else if err = n.openDoor(); err != nil {
			return
		}
		if cfg.Management != "" {
			if n.desk, err = n.loop.Listen(cfg.Management, management.New(log, n.loop, n).Accept); err != nil {
				err = fmt.Errorf("management: %w", err)
				return
			}
			log.Info("open to operators", "management", n.desk.Addr())
		}
		n.arrive()
	})
	if err != nil {
		n.stop()
		return nil, err
	}
	if n.store != nil {
		n.store.Watch()
	}
	return n, nil
}

// stop ends everything at once.
func (n *node) stop() {
	var ending []*evloop.Listener
	var settled *control.Thread
	n.loop.Call(func() {
		if n.listener != nil {
			n.listener.Close()
		}
		if n.desk != nil {
			n.desk.Close()
		}
		settled, n.affairs = n.affairs, nil
		for _, l := range []*evloop.Listener{n.listener, n.retired, n.desk} {
			if l != nil {
				ending = append(ending, l)
			}
		}
	})
	for _, l := range ending {
		l.Wait()
	}
	n.endPassing()
	if settled != nil {
		settled.Stop()
	}
	n.loop.Stop()
	if n.store != nil {
		n.store.Leave()
	}
}

// openDoor begins to take clients.
func (n *node) openDoor() error {
	listener, err := n.loop.ListenShared(n.addr, n.shared.HasEarlier(n.number), n.acceptor.Accept)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if n.listener = listener; n.addr != listener.Addr() {
		n.addr = listener.Addr() // the port was left to the system
	}
	n.log.Info("serving", "listen", listener.Addr(), "discovery", n.cfg.Discovery)
	return nil
}

// reload takes over what a new configuration changes, on SIGHUP. The file was read and checked beside the loop. One that
// is faulty, or only half written yet, changes nothing.
func (n *node) reload(cfg config.Config, err error) {
	if err != nil {
		var faulty *settings.KeyError
		if errors.As(err, &faulty) {
			n.log.Error("the new configuration is faulty; the old one stays", "error", err, "action", faulty.Action())
		} else {
			n.log.Error("the new configuration is faulty; the old one stays", "error", err)
		}
		return
	}
	if fixed := cfg.RestartKeys(n.cfg); len(fixed) > 0 {
		n.log.Warn("what has changed besides takes a restart", "keys", fixed)
	}
	cfg.Settings.PassThrough = n.cfg.Settings.PassThrough
	n.log.Info("configuration read again", "discovery", cfg.Discovery, "before", n.cfg.Discovery,
		"settings changed", !reflect.DeepEqual(cfg.Settings, n.cfg.Settings))
	n.loop.Call(func() {
		n.resettle(cfg)
		n.discovery.Relocate(cfg.Discovery)
	})
}

// socketLimit is how many descriptors the node may hold: what it is told, or less where the system allows less.
func socketLimit(told int) int {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err == nil && own.Cur < uint64(told) {
		return int(own.Cur)
	}
	return told
}

// memoryLimit is the limit, in bytes, that Go keeps its memory under: what else the process needs is left.
func memoryLimit(told int) int64 { return int64(told) << 20 * 3 / 4 }

// leave answers all that was taken and stops.
func (n *node) leave() {
	n.loop.Call(func() { n.ask(lifecycle.Terminate) })
	<-n.empty
	n.stop()
}

// ask takes a wish for the node as a whole.
func (n *node) ask(w lifecycle.Operation) {
	n.service = n.service.Apply(w, n.loop.Now())
	n.pace()
}

// pace begins to step, unless that is under way.
func (n *node) pace() {
	if !n.pacing {
		n.step()
	}
}

// step does what lifecycle.Service orders, again and again for as long as the process does not simply serve.
func (n *node) step() {
	n.pacing = !n.service.Idle()
	if !n.pacing {
		return
	}
	if n.service.Done(n.loop.Now(), n.loop.Lingering()) {
		close(n.empty)
		return
	}
	n.pass()
	var order lifecycle.Command
	var count int
	n.service, order, count = n.service.Step(n.loop.Now(), n.owed(), n.core.Established())
	switch order {
	case lifecycle.MoveSome:
		n.core.MoveOldest(count)
	case lifecycle.StopAccepting:
		if n.listener != nil {
			n.listener.DrainAndClose()
			n.retired, n.listener = n.listener, nil
		}
	case lifecycle.ResumeAccepting:
		if err := n.openDoor(); err != nil {
			n.log.Error("the door stays closed", "error", err)
			n.service.NotAccepting = true // so that it is tried again
		}
	case lifecycle.CloseAll:
		n.core.Shutdown(n.service.PassThrough)
		n.acceptor.ThrottleAwaiting()
	}
	n.loop.After(leaveLook, n.step)
}

// owed returns how many answers are owed or may be at any moment: to requests, to clients that have not sent theirs yet,
// and to what is queued at a door that is just being closed.
func (n *node) owed() int {
	owed := n.core.Waiting() + n.acceptor.AwaitingRequest()
	if n.retired != nil && !n.retired.Done() {
		owed++
	}
	return owed
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
func (c *clock) After(d time.Duration, due query.TimerEvent) query.Timer {
	return c.loop.After(d, func() { c.core.Fire(due) })
}
