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
var starter = sync.OnceValue(func() chan<- func() {
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
	cmd     *exec.Cmd
	over    chan struct{} // closed once its end was noticed
	serving string        // where clients connect, as it told last
	desk    string        // where peers and operators call, as it told last
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// read takes a line of the process's log in, and says whether it tells of an address.
func (p *process) read(line string) bool {
	at := field(line, "listen")
	switch {
	case at == "":
		return false
	case strings.Contains(line, "msg=serving "):
		p.serving = at
	case strings.Contains(line, `msg="open to peers"`):
		p.desk = at
	default:
		return false
	}
	return true
}

func servingOf(p *process) string { return p.serving }
func deskOf(p *process) string    { return p.desk }

// told is an address as the latest process that told one has it, of those that run; "" where none has. mu is held.
func (n *Node) told(address func(*process) string) string {
	if n.ended {
		return ""
	}
	if at := address(n.current); at != "" {
		return at
	}
	for _, p := range slices.Backward(n.predecessors) {
		if at := address(p); at != "" {
			return at
		}
	}
	return ""
}

// gone notes the end of one of the node's processes; mu is held.
func (n *Node) gone(p *process) {
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
	cmd.Env = n.writeFiles(listen)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	require.NoError(n.t, err)
	started := make(chan error)
	starter() <- func() { started <- cmd.Start() }
	require.NoError(n.t, <-started)
	p := &process{cmd: cmd, over: make(chan struct{})}
	n.mu.Lock()
	n.current, n.ended, n.paused, n.logStart = p, false, false, len(n.lines)
	most := n.maxFileBytes
	n.mu.Unlock()
	if most > 0 {
		n.LimitFiles(most)
	}
	go func() {
		n.follow(p, out)
		err := cmd.Wait()
		n.mu.Lock()
		n.lines = append(n.lines, fmt.Sprintf("-- the process has ended: %v", err))
		n.gone(p)
		n.mu.Unlock()
		n.aim()
		close(p.over)
		n.w.news.notify()
	}()
}

// follow reads the log of a process and learns from it where the process listens.
func (n *Node) follow(p *process, log io.Reader) {
	r := bufio.NewReader(log)
	for {
		line, err := r.ReadString('\n')
		if line = strings.TrimSuffix(line, "\n"); line != "" {
			n.mu.Lock()
			n.lines = append(n.lines, line)
			news := p.read(line)
			n.mu.Unlock()
			if news {
				n.aim()
			}
			n.w.news.notify()
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
func (n *Node) aim() {
	if n.unlinked {
		return
	}
	n.linksMu.Lock()
	defer n.linksMu.Unlock()
	n.mu.Lock()
	serving, desk := n.told(servingOf), n.told(deskOf)
	n.mu.Unlock()
	n.w.fronts[n.Name].SetTarget(serving)
	for pair, l := range n.w.peers {
		if pair[1] == n.Name {
			l.SetTarget(desk)
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
	present, ended := n.current, n.ended
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
	present := n.current
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
	if present != nil {
		<-present.over
	}
}

// PID is the number of the present process, or of the last one.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.pid()
}

// Leave asks the process to stop. It goes on until what it has taken is answered and what stands has ended.
func (n *Node) Leave() { n.signal(syscall.SIGTERM) }

// AwaitEnd waits until the process has ended, and returns its exit code: -1 after a signal.
func (n *Node) AwaitEnd() int {
	n.t.Helper()
	n.w.news.await(n.t, n.Name+" ends", func() bool { return !n.Runs() }, nil)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.cmd.ProcessState.ExitCode()
}

// Stop asks the process to stop and waits for its end, which must be in good order. Clients have to have gone.
func (n *Node) Stop() {
	n.t.Helper()
	n.Leave()
	require.Zero(n.t, n.AwaitEnd(), n.Name)
}

// Pause stops the process without its knowledge, as a machine that stalls does; its connections stay open. It returns once
// every thread of the process stands.
func (n *Node) Pause() {
	n.signal(syscall.SIGSTOP)
	n.mu.Lock()
	present, ended := n.current, n.ended
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
