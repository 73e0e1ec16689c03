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

// This file is what a story tells when it fails, or has waited too long: where every node stands, while the nodes still run.

const (
	// reportReserve is how long before the alarm of the test binary a story gives up: time to ask every node, to have those that do not
	// answer tell their stacks, and to end them.
	reportReserve = 30 * time.Second
	// standingWithin is how long a node has to tell where it stands. It answers calls within milliseconds, also where it leads nobody.
	statusTimeout = 3 * time.Second
	// stacksWithin is how long a process has to write its stacks after SIGQUIT.
	stackDumpTimeout = 5 * time.Second
)

// patience is how long a story waits for an event: so long at most, and less where the test binary's alarm comes before.
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

// reportFailure logs where every node stands, where the test has failed, and keeps all logs. It runs before the nodes are ended.
func (w *World) reportFailure() {
	if !w.t.Failed() {
		return
	}
	w.t.Logf("%s: where the nodes stand\n%s", w.Now().Round(time.Millisecond), w.status())
	w.mu.Lock()
	clients := slices.Clone(w.clients)
	w.mu.Unlock()
	for _, c := range clients {
		r := c.Report()
		w.t.Logf("clients: %s; by node %v, not served %v", r, r.ByNode, r.Unserved)
	}
	folder, err := w.saveLogs()
	if err != nil {
		w.t.Logf("the logs are not kept: %v", err)
		return
	}
	w.t.Logf("all logs of this story are in %s", folder)
}

// standing asks every node where it stands, all at once, and returns a paragraph for each.
func (w *World) status() string {
	statuses := make([]string, len(w.nodeNames))
	var all sync.WaitGroup
	for i, name := range w.nodeNames {
		all.Go(func() { statuses[i] = w.nodes[name].status() })
	}
	all.Wait()
	return strings.Join(statuses, "\n")
}

// standing is what is known of a node: its process, and its own word on its seat, its right, the open turns and the policies. A
// process that does not answer is made to write its stacks into its log, and ends by that.
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
	case n.Desk() == "":
		b.WriteString("the process runs and is not open to operators")
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
	fmt.Fprintf(&b, "role=%s term=%d committed=%d applied=%d leader=%q seats=%q right=%dms unreached=%q stopped=%q",
		replica.GetRole(), replica.GetTerm(), replica.GetCommitted(), replica.GetApplied(), turns.Leader, turns.Seats, replica.GetRightMs(), replica.GetUnreached(), replica.GetStopped())
	for _, t := range turns.Turns {
		if t.Phase != "over" {
			fmt.Fprintf(&b, "\n  turn %s of %s is %s, waits for %q", t.Id, t.Host, t.Phase, t.WaitsFor)
		}
	}
	var policies peerpb.PoliciesReply
	if err := n.callLocal(ctx, "Policies", &policies); err != nil {
		return b.String() // it goes by none, or is no node of the top
	}
	for _, r := range policies.Rollouts {
		fmt.Fprintf(&b, "\n  policy %s is %s, stage %s, cause %q", r.Id, r.Phase, r.Stage, r.Cause)
	}
	return b.String()
}

// ownWord makes an operator's call that the node answers itself: it takes it for one that another node has passed on.
func (n *Node) callLocal(ctx context.Context, kind string, out proto.Message) error {
	client := newDeskClient()
	status, text, err := client.exchange(ctx, n.Desk(), kind, map[string]any{"forwarded": true})
	if err != nil {
		return err
	}
	return answered(status, text, out)
}

// stacks has a process write the stacks of all its goroutines into its log, which ends it.
func (n *Node) dumpStacks() string {
	n.mu.Lock()
	present, mark := n.present, len(n.lines)
	n.mu.Unlock()
	_ = present.cmd.Process.Signal(syscall.SIGQUIT)
	_ = present.cmd.Process.Signal(syscall.SIGCONT) // one that was stopped from outside takes no other signal
	select {
	case <-present.exited:
	case <-time.After(stackDumpTimeout):
		return fmt.Sprintf("no end within %s of SIGQUIT", stackDumpTimeout)
	}
	return "its stacks:\n    " + strings.Join(n.linesSince(mark), "\n    ")
}

// keepLogs writes the whole log of each node into a folder that outlives the test, and returns the folder.
func (w *World) saveLogs() (folder string, err error) {
	name := strings.NewReplacer("/", "_", " ", "_").Replace(w.t.Name())
	if folder, err = os.MkdirTemp(os.Getenv(folderEnv), "lichenhitch-"+name+"-"); err != nil {
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
