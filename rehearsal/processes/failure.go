package processes

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lichenhitch/internal/peer/peerpb"
)

// This file reports the state of every node, while the nodes still run, when a scenario fails or has waited
// too long.

const (
	// reportReserve is how long before the time-out of the test binary a scenario gives up: time to ask every
	// node for its status, to let those that do not answer dump their stacks, and to end them.
	reportReserve = 30 * time.Second
	// statusTimeout is how long a node has to report its status. It answers within milliseconds, also without
	// a leader.
	statusTimeout = 3 * time.Second
	// stackDumpTimeout is how long a process has to write its stacks after SIGQUIT.
	stackDumpTimeout = 5 * time.Second
)

// waitLimit returns how long a scenario waits for an event: longest, or less if the test binary times out
// earlier.
func waitLimit(t testing.TB, longest time.Duration) time.Duration {
	timed, ok := t.(interface{ Deadline() (time.Time, bool) })
	if !ok {
		return longest
	}
	deadline, ok := timed.Deadline()
	if !ok {
		return longest
	}
	left := time.Until(deadline)
	return max(0, min(longest, left-min(reportReserve, left/4)))
}

// reportFailure logs the status of every node if the test has failed, and keeps all logs. It runs before the
// nodes are ended.
func (w *World) reportFailure() {
	if !w.t.Failed() {
		return
	}
	w.t.Logf("%s: status of the nodes\n%s", w.Now().Round(time.Millisecond), w.status())
	w.mu.Lock()
	clients := slices.Clone(w.clients)
	w.mu.Unlock()
	for _, c := range clients {
		r := c.Report()
		w.t.Logf("clients: %s; by node %v, not served %v", r, r.ServedByNode, r.UnservedByNode)
	}
	folder, err := w.saveLogs()
	if err != nil {
		w.t.Logf("could not keep the logs: %v", err)
		return
	}
	w.t.Logf("all logs of this scenario are in %s", folder)
}

// status asks all nodes for their status at the same time and returns a paragraph for each.
func (w *World) status() string {
	statuses := make([]string, len(w.nodeNames))
	var all sync.WaitGroup
	for i, name := range w.nodeNames {
		all.Go(func() { statuses[i] = w.nodes[name].status() })
	}
	all.Wait()
	return strings.Join(statuses, "\n")
}

// status describes a node: its process and, as the node itself reports them, its replica, its send lease, the
// open turns and the policies. A process that does not answer is made to write its stacks to its log, which
// ends it.
func (n *Node) status() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: ", n.Name)
	switch {
	case !n.Runs():
		b.WriteString("no process runs")
		return b.String()
	case n.Paused():
		b.WriteString("the process is paused")
		return b.String()
	case n.OperatorAddr() == "":
		b.WriteString("the process runs and does not accept operators' calls")
		return b.String()
	}
	ctx, cancel := context.WithTimeout(n.w.ctx, statusTimeout)
	defer cancel()
	var turns peerpb.TurnsReply
	if err := n.callLocal(ctx, "Turns", &turns); err != nil {
		fmt.Fprintf(&b, "it does not answer: %v\n  %s", err, n.dumpStacks())
		return b.String()
	}
	replica := turns.GetSeat()
	fmt.Fprintf(&b, "role=%s term=%d committed=%d applied=%d leader=%q replicas=%q lease=%dms unreached=%q stopped=%q",
		replica.GetRole(), replica.GetTerm(), replica.GetCommitted(), replica.GetApplied(), turns.Leader, turns.Seats,
		replica.GetRightMs(), replica.GetUnreached(), replica.GetStopped())
	for _, t := range turns.Turns {
		if t.Phase != "over" {
			fmt.Fprintf(&b, "\n  turn %s of %s is %s, waits for %q", t.Id, t.Host, t.Phase, t.WaitsFor)
		}
	}
	var policies peerpb.PoliciesReply
	if err := n.callLocal(ctx, "Policies", &policies); err != nil {
		return b.String() // refused by a node that does not follow its group's log, such as one without a replica
	}
	for _, r := range policies.Rollouts {
		fmt.Fprintf(&b, "\n  policy %s is %s, stage %s, cause %q", r.Id, r.Phase, r.Stage, r.Cause)
	}
	return b.String()
}

// callLocal makes an operator's call that the node answers itself, because the call is marked as forwarded by
// another node.
func (n *Node) callLocal(ctx context.Context, kind string, out proto.Message) error {
	client := newOperatorClient()
	status, text, err := client.post(ctx, n.OperatorAddr(), kind, map[string]any{"forwarded": true})
	if err != nil {
		return err
	}
	return decodeReply(status, text, out)
}

// dumpStacks makes a process write the stacks of all its goroutines to its log, which ends it.
func (n *Node) dumpStacks() string {
	n.mu.Lock()
	current, mark := n.current, len(n.lines)
	n.mu.Unlock()
	_ = current.cmd.Process.Signal(syscall.SIGQUIT)
	_ = current.cmd.Process.Signal(syscall.SIGCONT) // a process that was stopped from outside handles no other signal
	select {
	case <-current.exited:
	case <-time.After(stackDumpTimeout):
		return fmt.Sprintf("the process has not ended within %s of SIGQUIT", stackDumpTimeout)
	}
	return "its stacks:\n    " + strings.Join(n.linesSince(mark), "\n    ")
}

// saveLogs writes the complete log of each node to a folder that outlives the test, and returns the folder.
func (w *World) saveLogs() (folder string, err error) {
	name := strings.NewReplacer("/", "_", " ", "_").Replace(w.t.Name())
	if folder, err = os.MkdirTemp(os.Getenv(logsFolderEnv), "lichenhitch-"+name+"-"); err != nil {
		return "", err
	}
	for _, node := range w.nodeNames {
		text := strings.Join(w.nodes[node].linesSince(0), "\n")
		if err := os.WriteFile(filepath.Join(folder, node+".log"), []byte(text), 0o600); err != nil {
			return "", err
		}
	}
	return folder, nil
}
