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

// This file is about the processes of a node: how they start, what they tell and how they end.

// starter starts processes from one thread that never ends: the kernel kills a child when the thread that started it ends.
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

// process is one process of a node. What it told belongs to it, not to the node: while a later one is beside it, the lines and the
// ends of the two are read by different goroutines, in any order.
type process struct {
	cmd        *exec.Cmd
	exited     chan struct{} // closed once its end was noticed
	clientAddr string        // where clients connect, as it told last
	apiAddr    string        // where peers and operators call, as it told last
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// read takes a line of the process's log in, and says whether it tells of an address.
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

// told is an address as the latest process that told one has it, of those that run; "" where none has. mu is held.
func (n *Node) currentAddress(address func(*process) string) string {
	if n.ended {
		return ""
	}
	if addr := address(n.present); addr != "" {
		return addr
	}
	for _, p := range slices.Backward(n.formers) {
		if addr := address(p); addr != "" {
			return addr
		}
	}
	return ""
}

// gone notes the end of one of the node's processes; mu is held.
func (n *Node) processExited(p *process) {
	if p != n.present {
		n.formers = slices.DeleteFunc(n.formers, func(f *process) bool { return f == p })
		return
	}
	last := len(n.formers) - 1
	if last < 0 {
		n.ended = true
		return
	}
	n.present, n.formers = n.formers[last], n.formers[:last]
}

// Start starts the node's process. It has to be down.
func (n *Node) Start() {
	n.t.Helper()
	require.False(n.t, n.Runs(), "%s runs already", n.Name)
	n.launch("127.0.0.1:0")
}

// StartAt starts the node's process at an address for clients, as a machine does that starts it again. It has to be down.
func (n *Node) StartAt(listen string) {
	n.t.Helper()
	require.False(n.t, n.Runs(), "%s runs already", n.Name)
	n.launch(listen)
}

// launch starts a process that is the node's from now on.
func (n *Node) launch(listen string) {
	n.t.Helper()
	cmd := exec.Command(n.path)
	cmd.Env = n.write(listen)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	require.NoError(n.t, err)
	started := make(chan error)
	startThread() <- func() { started <- cmd.Start() }
	require.NoError(n.t, <-started)
	p := &process{cmd: cmd, exited: make(chan struct{})}
	n.mu.Lock()
	n.present, n.ended, n.paused, n.begin = p, false, false, len(n.lines)
	fileLimit := n.fileMost
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
		n.w.changes.tell()
	}()
}

// follow reads the log of a process and learns from it where the process listens.
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
			n.w.changes.tell()
		}
		if err != nil {
			return
		}
	}
}

// field is the value of a key in a line of a log, "" where it has none.
func field(line, key string) string {
	_, rest, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

// aim points the links at what the processes have told last.
func (n *Node) updateLinks() {
	if n.apart {
		return
	}
	n.aiming.Lock()
	defer n.aiming.Unlock()
	n.mu.Lock()
	clientAddr, apiAddr := n.currentAddress(clientAddrOf), n.currentAddress(apiAddrOf)
	n.mu.Unlock()
	n.w.clientLinks[n.Name].Aim(clientAddr)
	for pair, l := range n.w.peerLinks {
		if pair[1] == n.Name {
			l.Aim(apiAddr)
		}
	}
}

// Runs says whether the process runs, be it paused.
func (n *Node) Runs() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.ended
}

// signal sends a signal to the process, if it runs.
func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	present, ended := n.present, n.ended
	n.mu.Unlock()
	if ended {
		return
	}
	if err := present.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.t.Errorf("%v to %s: %v", s, n.Name, err)
	}
}

// Kill ends the process at once, and returns once it is gone.
func (n *Node) Kill() {
	n.mu.Lock()
	present := n.present
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
	if present != nil {
		<-present.exited
	}
}

// PID is the number of the present process, or of the last one.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.present.pid()
}

// Leave asks the process to stop. It goes on until what it has taken is answered and what stands has ended.
func (n *Node) Terminate() { n.signal(syscall.SIGTERM) }

// AwaitEnd waits until the process has ended, and returns its exit code: -1 after a signal.
func (n *Node) AwaitEnd() int {
	n.t.Helper()
	n.w.changes.await(n.t, n.Name+" ends", func() bool { return !n.Runs() }, nil)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.present.cmd.ProcessState.ExitCode()
}

// Stop asks the process to stop and waits for its end, which must be in good order. Clients have to have gone.
func (n *Node) Stop() {
	n.t.Helper()
	n.Terminate()
	require.Zero(n.t, n.AwaitEnd(), n.Name)
}

// Pause stops the process without its knowledge, as a machine that stalls does; its connections stay open. It returns once
// every thread of the process stands.
func (n *Node) Pause() {
	n.signal(syscall.SIGSTOP)
	n.mu.Lock()
	present, ended := n.present, n.ended
	n.paused = !ended
	n.mu.Unlock()
	if ended {
		return
	}
	var info unix.Siginfo
	for { // WNOWAIT leaves the process's end to whoever waits for it
		err := unix.Waitid(unix.P_PID, present.pid(), &info, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// Continue has a paused process go on.
func (n *Node) Continue() {
	n.mu.Lock()
	paused := n.paused
	n.paused = false
	n.mu.Unlock()
	if paused {
		n.signal(syscall.SIGCONT)
	}
}

// Paused says whether the process is stopped.
func (n *Node) Paused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused && !n.ended
}
