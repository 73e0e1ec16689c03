package processes

import (
	"os"
	"syscall"

	"github.com/stretchr/testify/require"
)

// This file handles nodes with more than one process, and site files that change while a process runs.

// Predecessor is a process of a node that still ran when a newer process of the same node was started.
type Predecessor struct {
	node *Node
	*process
}

// Upgrade starts a second process of the node while the first one runs, as for a new version: with the same name, files,
// store and temporary folder, and at the same address. The new process becomes the node's current process, and the previous
// one is returned. If the new one ends first, the previous one becomes current again. The log contains the lines of both.
func (n *Node) Upgrade() *Predecessor {
	n.t.Helper()
	n.mu.Lock()
	predecessor, serving := &Predecessor{n, n.current}, n.currentAddress(clientAddrOf)
	require.NotEmpty(n.t, serving, "%s does not serve clients", n.Name)
	n.predecessors = append(n.predecessors, n.current)
	n.mu.Unlock()
	n.launch(serving)
	return predecessor
}

// Leave asks the process to stop, as Node.Terminate does.
func (p *Predecessor) Leave() { require.NoError(p.node.t, p.cmd.Process.Signal(syscall.SIGTERM)) }

// Kill kills the process and returns once it has ended.
func (p *Predecessor) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended already
	<-p.exited
}

// IsRunning reports whether the process runs; its end may not have been noticed yet.
func (p *Predecessor) IsRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// AwaitEnd waits until the process has ended and returns its exit code.
func (p *Predecessor) AwaitEnd() int {
	p.node.t.Helper()
	p.node.w.Await(p.node.Name+"'s previous process ends", func() bool {
		select {
		case <-p.exited:
			return true
		default:
			return false
		}
	})
	return p.cmd.ProcessState.ExitCode()
}

// Duplicate returns another node of the same name that is not started yet, as on another machine with a copy of this node's
// store. It calls the same peers over the same links; what is sent to the name reaches only the original node.
func (n *Node) Duplicate() *Node {
	n.t.Helper()
	duplicate := newNode(n.w, n.Name, n.path)
	duplicate.unlinked = true
	StaleStore(n.CopyStore())(duplicate)
	return duplicate
}

// Reload rewrites the node's files, as Plan.Tune now has them, and makes its process reload them.
func (n *Node) Reload() {
	n.writeFiles("")
	n.signal(syscall.SIGHUP)
}

// ReloadText makes the process reload a site file with this text.
func (n *Node) ReloadText(text string) {
	n.t.Helper()
	require.NoError(n.t, os.WriteFile(n.sitePath(), []byte(text), 0o600))
	n.signal(syscall.SIGHUP)
}
