package processes

import (
	"os"
	"syscall"

	"github.com/stretchr/testify/require"
)

// This file is about a node of more than one process, and about site files that change under a process.

// Former is a process beside which a later one of its node was started.
type Former struct {
	n *Node
	*process
}

// Upgrade starts another process of the node beside the one that runs, as for a new version: with the same name, files, store
// and temporary folder, and at the same address. From now on it is the node's process, and the other is returned. Should the
// new one end first, the other is the node's again. The log has the lines of both.
func (n *Node) Upgrade() *Former {
	n.t.Helper()
	n.mu.Lock()
	f, serving := &Former{n, n.present}, n.currentAddress(clientAddrOf)
	require.NotEmpty(n.t, serving, "%s does not serve", n.Name)
	n.formers = append(n.formers, n.present)
	n.mu.Unlock()
	n.launch(serving)
	return f
}

// Leave asks the process to stop, as Node.Leave does.
func (f *Former) Leave() { require.NoError(f.n.t, f.cmd.Process.Signal(syscall.SIGTERM)) }

// Kill ends the process at once, and returns once it is gone.
func (f *Former) Kill() {
	_ = f.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	<-f.exited
}

// Runs says whether the process runs, as far as was noticed.
func (f *Former) Runs() bool {
	select {
	case <-f.exited:
		return false
	default:
		return true
	}
}

// AwaitEnd waits until the process has ended, and returns its exit code.
func (f *Former) AwaitEnd() int {
	f.n.t.Helper()
	f.n.w.Await(f.n.Name+"'s former process ends", func() bool {
		select {
		case <-f.exited:
			return true
		default:
			return false
		}
	})
	return f.cmd.ProcessState.ExitCode()
}

// Double returns another node of the same name, which is not started yet: on another machine, with a copy of this one's store.
// It calls the same peers by the same links; what is sent to the name reaches the first one alone.
func (n *Node) Double() *Node {
	n.t.Helper()
	d := newNode(n.w, n.Name, n.path)
	d.apart = true
	Older(n.CopyStore())(d)
	return d
}

// Reload writes the node's files anew, as Plan.Tune has them now, and has its process read them.
func (n *Node) Reload() {
	n.write("")
	n.signal(syscall.SIGHUP)
}

// ReloadText has the process read a site file of this text.
func (n *Node) ReloadText(text string) {
	n.t.Helper()
	require.NoError(n.t, os.WriteFile(n.sitePath(), []byte(text), 0o600))
	n.signal(syscall.SIGHUP)
}
