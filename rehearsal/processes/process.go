package processes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// This file handles the processes of a node: starting them, reading their logs and ending them.

// startThread starts processes from one thread that never ends, because the kernel kills a child (Pdeathsig)
// when the thread that started it ends.
var startThread = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// process is one process of a node. The addresses that it logged belong to the process and not to the node:
// while two processes of a node run, their log lines and their ends are handled by different goroutines, in
// any order.
type process struct {
	cmd        *exec.Cmd
	exited     chan struct{} // closed once the end of the process has been handled
	clientAddr string        // address for clients, as logged last
	apiAddr    string        // address for peers and operators, as logged last
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// readLine reads a line of the process's log and reports whether it announces an address.
func (p *process) readLine(line string) bool {
	addr := field(line, "listen")
	switch {
	case addr == "":
		return false
	case strings.Contains(line, "msg=serving "):
		p.clientAddr = addr
	case strings.Contains(line, `msg="open to peers"`):
		p.apiAddr = addr
	default:
		return false
	}
	return true
}

func clientAddrOf(p *process) string { return p.clientAddr }
func apiAddrOf(p *process) string    { return p.apiAddr }

// currentAddress returns an address as the latest running process that logged one has it, or "". n.mu must be
// held.
func (n *Node) currentAddress(address func(*process) string) string {
	if n.ended {
		return ""
	}
	if addr := address(n.current); addr != "" {
		return addr
	}
	for _, p := range slices.Backward(n.predecessors) {
		if addr := address(p); addr != "" {
			return addr
		}
	}
	return ""
}

// processExited handles the end of one of the node's processes. n.mu must be held.
func (n *Node) processExited(p *process) {
	if p != n.current {
		n.predecessors = slices.DeleteFunc(n.predecessors, func(f *process) bool { return f == p })
		return
	}
	last := len(n.predecessors) - 1
	if last < 0 {
		n.ended = true
		return
	}
	n.current, n.predecessors = n.predecessors[last], n.predecessors[:last]
}

// Start starts the node's process. No process may be running.
func (n *Node) Start() {
	n.t.Helper()
	require.False(n.t, n.Runs(), "%s already runs", n.Name)
	n.launch("127.0.0.1:0")
}

// StartAt starts the node's process with a given address for clients, as after a restart of a machine. No
// process may be running.
func (n *Node) StartAt(listen string) {
	n.t.Helper()
	require.False(n.t, n.Runs(), "%s already runs", n.Name)
	n.launch(listen)
}

// launch starts a process that becomes the node's current process.
func (n *Node) launch(listen string) {
	n.t.Helper()
	cmd := exec.Command(n.path)
	cmd.Env = n.writeFiles(listen)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	require.NoError(n.t, err)
	started := make(chan error)
	startThread() <- func() { started <- cmd.Start() }
	require.NoError(n.t, <-started)
	p := &process{cmd: cmd, exited: make(chan struct{})}
	n.mu.Lock()
	n.current, n.ended, n.paused, n.logStart = p, false, false, len(n.lines)
	fileLimit := n.maxFileBytes
	n.mu.Unlock()
	if fileLimit > 0 {
		n.LimitFiles(fileLimit)
	}
	go func() {
		n.readLog(p, out)
		err := cmd.Wait()
		n.mu.Lock()
		n.lines = append(n.lines, fmt.Sprintf("-- the process has ended: %v", err))
		n.processExited(p)
		n.mu.Unlock()
		n.updateLinks()
		close(p.exited)
		n.w.changes.notify()
	}()
}

// readLog reads the log of a process and learns from it where the process listens.
func (n *Node) readLog(p *process, log io.Reader) {
	r := bufio.NewReader(log)
	for {
		line, err := r.ReadString('\n')
		if line = strings.TrimSuffix(line, "\n"); line != "" {
			n.mu.Lock()
			n.lines = append(n.lines, line)
			newAddress := p.readLine(line)
			n.mu.Unlock()
			if newAddress {
				n.updateLinks()
			}
			n.w.changes.notify()
		}
		if err != nil {
			return
		}
	}
}

// field returns the value of a key in a log line, or "".
func field(line, key string) string {
	_, rest, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

// updateLinks points the links at the addresses that the node's processes logged last.
func (n *Node) updateLinks() {
	if n.unlinked {
		return
	}
	n.linksMu.Lock()
	defer n.linksMu.Unlock()
	n.mu.Lock()
	clientAddr, apiAddr := n.currentAddress(clientAddrOf), n.currentAddress(apiAddrOf)
	n.mu.Unlock()
	n.w.clientLinks[n.Name].SetTarget(clientAddr)
	for pair, l := range n.w.peerLinks {
		if pair[1] == n.Name {
			l.SetTarget(apiAddr)
		}
	}
}

// Runs reports whether a process runs, paused or not.
func (n *Node) Runs() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.ended
}

// signal sends a signal to the current process, if one runs.
func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	current, ended := n.current, n.ended
	n.mu.Unlock()
	if ended {
		return
	}
	if err := current.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.t.Errorf("sending %v to %s: %v", s, n.Name, err)
	}
}

// Kill kills the current process with SIGKILL and returns once its end has been handled.
func (n *Node) Kill() {
	n.mu.Lock()
	current := n.current
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
	if current != nil {
		<-current.exited
	}
}

// PID returns the process ID of the current process, or of the last one.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.pid()
}

// Terminate sends SIGTERM. The process continues until it has answered the requests it accepted and its
// connections have ended.
func (n *Node) Terminate() { n.signal(syscall.SIGTERM) }

// AwaitEnd waits until the process has ended and returns its exit code, -1 after a signal.
func (n *Node) AwaitEnd() int {
	n.t.Helper()
	n.w.changes.await(n.t, n.Name+" ends", func() bool { return !n.Runs() }, nil)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.cmd.ProcessState.ExitCode()
}

// Stop terminates the process and requires that it exits with code 0. The clients must have been stopped
// before.
func (n *Node) Stop() {
	n.t.Helper()
	n.Terminate()
	require.Zero(n.t, n.AwaitEnd(), n.Name)
}

// Pause stops the process with SIGSTOP, as on a stalled machine: its connections stay open. It returns once
// all threads of the process have stopped.
func (n *Node) Pause() {
	n.signal(syscall.SIGSTOP)
	n.mu.Lock()
	current, ended := n.current, n.ended
	n.paused = !ended
	n.mu.Unlock()
	if ended {
		return
	}
	var info unix.Siginfo
	for { // WNOWAIT leaves the exit status to cmd.Wait
		err := unix.Waitid(unix.P_PID, current.pid(), &info, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// Continue resumes a paused process.
func (n *Node) Continue() {
	n.mu.Lock()
	paused := n.paused
	n.paused = false
	n.mu.Unlock()
	if paused {
		n.signal(syscall.SIGCONT)
	}
}

// Paused reports whether the process is paused.
func (n *Node) Paused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused && !n.ended
}
