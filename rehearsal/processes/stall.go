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
	standingWithin = 3 * time.Second
	// stacksWithin is how long a process has to write its stacks after SIGQUIT.
	stacksWithin = 5 * time.Second
)

// patience is how long a story waits for an event: so long at most, and less where the test binary's alarm comes before.
func patience(t testing.TB, most time.Duration) time.Duration {
	timed, ok := t.(interface{ Deadline() (time.Time, bool) })
	if !ok {
		return most
	}
	deadline, ok := timed.Deadline()
	if !ok {
		return most
	}
	left := time.Until(deadline)
	return max(0, min(most, left-min(reportReserve, left/4)))
}

// reportFailure logs where every node stands, where the test has failed, and keeps all logs. It runs before the nodes are ended.
func (w *World) reportFailure() {
	if !w.t.Failed() {
		return
	}
	w.t.Logf("%s: where the nodes stand\n%s", w.Now().Round(time.Millisecond), w.standing())
	w.mu.Lock()
	clients := slices.Clone(w.clients)
	w.mu.Unlock()
	for _, c := range clients {
		r := c.Report()
		w.t.Logf("clients: %s; by node %v, not served %v", r, r.ServedByNode, r.UnservedByNode)
	}
	folder, err := w.keepLogs()
	if err != nil {
		w.t.Logf("the logs are not kept: %v", err)
		return
	}
	w.t.Logf("all logs of this story are in %s", folder)
}

// standing asks every node where it stands, all at once, and returns a paragraph for each.
func (w *World) standing() string {
	told := make([]string, len(w.order))
	var all sync.WaitGroup
	for i, name := range w.order {
		all.Go(func() { told[i] = w.nodes[name].standing() })
	}
	all.Wait()
	return strings.Join(told, "\n")
}

// standing is what is known of a node: its process, and its own word on its seat, its right, the open turns and the policies. A
// process that does not answer is made to write its stacks into its log, and ends by that.
func (n *Node) standing() string {
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
		b.WriteString("the process runs and is not open to operators")
		return b.String()
	}
	ctx, cancel := context.WithTimeout(n.w.ctx, standingWithin)
	defer cancel()
	var turns peerpb.TurnsReply
	if err := n.ownWord(ctx, "Turns", &turns); err != nil {
		fmt.Fprintf(&b, "it does not answer: %v\n  %s", err, n.stacks())
		return b.String()
	}
	s := turns.GetSeat()
	fmt.Fprintf(&b, "role=%s term=%d committed=%d applied=%d leader=%q seats=%q right=%dms unreached=%q stopped=%q",
		s.GetRole(), s.GetTerm(), s.GetCommitted(), s.GetApplied(), turns.Leader, turns.Seats, s.GetRightMs(), s.GetUnreached(), s.GetStopped())
	for _, t := range turns.Turns {
		if t.Phase != "over" {
			fmt.Fprintf(&b, "\n  turn %s of %s is %s, waits for %q", t.Id, t.Host, t.Phase, t.WaitsFor)
		}
	}
	var policies peerpb.PoliciesReply
	if err := n.ownWord(ctx, "Policies", &policies); err != nil {
		return b.String() // it goes by none, or is no node of the top
	}
	for _, r := range policies.Rollouts {
		fmt.Fprintf(&b, "\n  policy %s is %s, stage %s, cause %q", r.Id, r.Phase, r.Stage, r.Cause)
	}
	return b.String()
}

// ownWord makes an operator's call that the node answers itself: it takes it for one that another node has passed on.
func (n *Node) ownWord(ctx context.Context, kind string, out proto.Message) error {
	desks := newOperatorClient()
	status, text, err := desks.post(ctx, n.OperatorAddr(), kind, map[string]any{"forwarded": true})
	if err != nil {
		return err
	}
	return decodeReply(status, text, out)
}

// stacks has a process write the stacks of all its goroutines into its log, which ends it.
func (n *Node) stacks() string {
	n.mu.Lock()
	present, mark := n.current, len(n.lines)
	n.mu.Unlock()
	_ = present.cmd.Process.Signal(syscall.SIGQUIT)
	_ = present.cmd.Process.Signal(syscall.SIGCONT) // one that was stopped from outside takes no other signal
	select {
	case <-present.over:
	case <-time.After(stacksWithin):
		return fmt.Sprintf("no end within %s of SIGQUIT", stacksWithin)
	}
	return "its stacks:\n    " + strings.Join(n.since(mark), "\n    ")
}

// keepLogs writes the whole log of each node into a folder that outlives the test, and returns the folder.
func (w *World) keepLogs() (folder string, err error) {
	name := strings.NewReplacer("/", "_", " ", "_").Replace(w.t.Name())
	if folder, err = os.MkdirTemp(os.Getenv(logsFolderEnv), "lichenhitch-"+name+"-"); err != nil {
		return "", err
	}
	for _, node := range w.order {
		text := strings.Join(w.nodes[node].since(0), "\n")
		if err := os.WriteFile(filepath.Join(folder, node+".log"), []byte(text), 0o600); err != nil {
			return "", err
		}
	}
	return folder, nil
}
