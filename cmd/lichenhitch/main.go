// Command lichenhitch runs one node: it accepts client requests and places each of them on a host.
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
	// reservedSockets are descriptors that the process itself needs: its log, its pollers, its listener, and one or
	// two more for each connection that is being passed to the event loop.
	reservedSockets = 24
	// probeSockets are kept free of client requests, for discovery and for probes that are not connected yet.
	probeSockets = 16
	// minTrafficSockets is how many descriptors are left to traffic beside site control, as far as the limit allows:
	// what the smallest permitted limits.sockets (64) leaves to a node without site control.
	minTrafficSockets = 64 - reservedSockets
	// queuedMemoryDivisor sets the part of the memory limit (1/4) that may hold data queued for peers to read, over
	// all connections.
	queuedMemoryDivisor = 4
)

func main() {
	// Before anything else: a signal without a registered channel ends the program. Each channel holds one signal
	// until it is read and drops further ones, which would add nothing.
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
	// The loop and the dialer block in system calls, each on a thread of its own. With a single P (Go's
	// GOMAXPROCS=1), a thread that returns from a system call would wait until the P is taken from the other one, up
	// to 10 ms.
	runtime.GOMAXPROCS(max(4, runtime.GOMAXPROCS(0)))
	debug.SetMemoryLimit(memoryLimit(cfg.MemoryMB))

	n, err := start(log.With("node", cfg.Name), cfg)
	if err != nil {
		return err
	}
	n.handleSignals(reload, quit)
	return nil
}

// handleSignals handles signals until the node has shut down. A configuration may also change while it shuts down.
func (n *node) handleSignals(reload, quit <-chan os.Signal) {
	for {
		select {
		case <-reload:
			n.reloadAll()
		case s := <-quit:
			quit = nil // a further signal changes nothing
			select {
			case <-reload: // came before, or at the same time
				n.reloadAll()
			default:
			}
			n.log.Info("leaving", "signal", s.String())
			n.beginShutdown()
		case <-n.shutdownComplete:
			n.stop()
			return
		}
	}
}

// node holds the parts of the program, connected to each other.
type node struct {
	log           *slog.Logger
	cfg           config.Config
	sockets       int // descriptors that all processes of the node together may hold
	loop          *evloop.Loop
	core          *query.Core
	discovery     *discovery.Client
	acceptor      *clientconn.Acceptor
	connector     *backend.Connector
	operatorAPI   *evloop.Listener              // of the management address; nil without one
	store         *handover.Store               // nil where no state can be shared with other processes
	processNumber int                           // of this process, as assigned by the store
	startedAt     time.Duration                 // loop time of the start
	latestConfig  atomic.Pointer[config.Config] // the settings as read from the configuration; for any goroutine

	// The following fields belong to the loop.
	addr                   string           // where clients connect
	listener               *evloop.Listener // nil while the node does not accept clients
	drainingListener       *evloop.Listener // the previous listener; connections queued on it may still arrive
	sharedState            handover.State   // as this process has applied it last
	service                lifecycle.Service
	stepping               bool               // a call of step is scheduled
	ready                  bool               // it accepts clients and has a host list, and the shared state says so
	connSender             *connSender        // hands connections over to a successor; nil without one
	receiver               *handover.Receiver // of connections from an earlier process
	controlThread          *control.Thread    // nil without a site file, or while an earlier process has the store
	site                   *site.Site
	controlReleased        bool // control was released to a later process
	reporting              bool // a call of report is scheduled
	reportCount            int
	policyState            policyState
	budgetedSiblings       int // sibling processes, and the descriptors that they hold, as updateLimits applied them last
	budgetedSiblingSockets int
	controlSockets         int // descriptors that controlThread may hold
	allControlSockets      int // the same for all control threads that have not ended, and as updateLimits applied it last
	budgetedControlSockets int
	publishedUsedIDs       int           // as counted by the acceptor when the shared state was last told
	shutdownComplete       chan struct{} // closed when nothing is left to do but to stop
}

// start connects the parts and begins to serve. While an earlier process of the node serves, this one starts to
// accept clients later; see announceReady.
func start(log *slog.Logger, cfg config.Config) (*node, error) {
	n := &node{log: log, cfg: cfg, addr: cfg.Listen, sockets: socketLimit(cfg.Sockets), shutdownComplete: make(chan struct{}),
		service:     lifecycle.Service{PassThrough: cfg.Settings.PassThrough},
		policyState: policyState{settings: cfg.Settings}}
	n.publishSettings()
	maxConns := n.sockets - reservedSockets
	var err error
	n.loop, err = evloop.Start(log, evloop.Limits{Conns: maxConns, Queued: cfg.MemoryMB << 20 / queuedMemoryDivisor / n.sockets})
	if err != nil {
		return nil, err
	}
	n.startedAt = n.loop.Now()
	coreClock := &clock{loop: n.loop}
	n.core = query.New(log, coreClock, cfg.Settings, cfg.Seed)
	coreClock.core = n.core
	n.discovery = discovery.New(log, n.loop, n.core, cfg.Discovery, cfg.Settings, cfg.Seed)
	n.connector = backend.New(log, n.loop, n.core, cfg.Settings.ConnectTimeout, n.discovery.Endpoint)
	n.acceptor = clientconn.New(log, n.loop, n.core, cfg.Settings, maxConns-probeSockets,
		func() bool { return n.service.Serving() })
	n.joinProcesses()
	n.loop.Call(func() {
		n.core.Connect(n.connector, n.discovery)
		n.applySharedState(n.sharedState)
		if cfg.Known != nil {
			n.discovery.Restore(*cfg.Known)
		} else {
			n.core.List(balance.ListSaved, nil)
		}
		n.discovery.Start()
	})
	if err := n.startSiteControl(); err != nil { // may take as long as the disk does
		n.stop()
		return nil, err
	}
	n.awaitFirstList()
	n.loop.Call(func() {
		if n.sharedState.HasEarlier(n.processNumber) {
			n.startReceiving()
			log.Info("an earlier process serves; the door opens once there is a list", "listen", cfg.Listen)
		} else if err = n.startListening(); err != nil {
			return
		}
		if cfg.Management != "" {
			if n.operatorAPI, err = n.loop.Listen(cfg.Management, management.New(log, n.loop, n).Accept); err != nil {
				err = fmt.Errorf("management: %w", err)
				return
			}
			log.Info("operator API listening", "management", n.operatorAPI.Addr())
		}
		n.announceReady()
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

// stop ends everything at once, without waiting for open requests.
func (n *node) stop() {
	var listeners []*evloop.Listener
	var thread *control.Thread
	n.loop.Call(func() {
		if n.listener != nil {
			n.listener.Close()
		}
		if n.operatorAPI != nil {
			n.operatorAPI.Close()
		}
		thread, n.controlThread = n.controlThread, nil
		for _, l := range []*evloop.Listener{n.listener, n.drainingListener, n.operatorAPI} {
			if l != nil {
				listeners = append(listeners, l)
			}
		}
	})
	for _, l := range listeners {
		l.Wait()
	}
	n.finishHandover()
	if thread != nil {
		thread.Stop()
	}
	var usedIDs []uint64
	n.loop.Call(func() { usedIDs = n.acceptor.LatestUsedIDs(handover.MaxUsedIDs) })
	n.loop.Stop()
	if n.store != nil {
		n.store.LeaveAfter(func(st *handover.State) { st.AddUsedIDs(usedIDs) })
	}
}

// startListening begins to accept clients.
func (n *node) startListening() error {
	listener, err := n.loop.ListenShared(n.addr, n.sharedState.HasEarlier(n.processNumber), n.acceptor.Accept)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if n.listener = listener; n.addr != listener.Addr() {
		n.addr = listener.Addr() // the system chose the port
	}
	n.log.Info("serving", "listen", listener.Addr(), "discovery", n.cfg.Discovery)
	return nil
}

// reloadAll reads the configuration and the site file again, on SIGHUP.
func (n *node) reloadAll() {
	n.reload(config.Reload(os.Getenv, n.cfg))
	n.reloadSite()
}

// reload applies a new configuration on SIGHUP. The file was read and checked outside the loop. A faulty or partly
// written file changes nothing.
func (n *node) reload(cfg config.Config, err error) {
	if err != nil {
		var keyErr *settings.KeyError
		if errors.As(err, &keyErr) {
			n.log.Error("the new configuration is faulty; the old one stays", "error", err, "action", keyErr.Action())
		} else {
			n.log.Error("the new configuration is faulty; the old one stays", "error", err)
		}
		return
	}
	if restartKeys := cfg.RestartKeys(n.cfg); len(restartKeys) > 0 {
		n.log.Warn("what has changed besides takes a restart", "keys", restartKeys)
	}
	cfg.Settings.PassThrough = n.cfg.Settings.PassThrough
	n.log.Info("configuration read again", "discovery", cfg.Discovery, "before", n.cfg.Discovery,
		"settings changed", !reflect.DeepEqual(cfg.Settings, n.cfg.Settings))
	n.loop.Call(func() {
		n.applyConfig(cfg)
		n.discovery.Relocate(cfg.Discovery)
	})
}

// socketLimit returns how many descriptors the node may hold: the configured number, or the system's limit where that
// is lower.
func socketLimit(configured int) int {
	var rlimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &rlimit); err == nil && rlimit.Cur < uint64(configured) {
		return int(rlimit.Cur)
	}
	return configured
}

// memoryLimit returns the limit, in bytes, for the memory that the Go runtime manages: 3/4 of the configured limit.
// The rest is for what the process needs outside of it.
func memoryLimit(configuredMB int) int64 { return int64(configuredMB) << 20 * 3 / 4 }

// clock adapts the loop to the interface query.Clock of the core.
type clock struct {
	loop *evloop.Loop
	core *query.Core
}

func (c *clock) Now() time.Duration { return c.loop.Now() }
func (c *clock) After(d time.Duration, event query.TimerEvent) query.Timer {
	return c.loop.After(d, func() { c.core.Fire(event) })
}
