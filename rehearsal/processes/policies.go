package processes

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lichenhitch/internal/peer/peerpb"
)

// PolicyObservation is what a host observed of the policy that a node applies. The first attempt of a request
// carries as its allowed time (d=) twice the latency target of the request's class, or all of the remaining
// time if it is the only attempt. So, with clients whose deadline is TrialDeadline, the policies with the
// targets below are distinguished without asking the node. The targets lie so far apart that a stalled machine
// does not make one look like another: the allowed time shrinks by the set-up time of the connection, and
// where connections are slow to set up it is at least twice the expected set-up time.
type PolicyObservation struct {
	At            time.Duration
	LatencyTarget int           // GoodTarget, TrialTarget or SingleAttempt
	SentAt        time.Duration // when the client sent the request (the node decides later); 0 if it was not sent by a test client
}

const (
	GoodTarget    = 300  // ms, as in DefaultSettings
	TrialTarget   = 5000 // ms
	SingleAttempt = -1   // requests have one attempt

	// TrialDeadline is the deadline of the clients. An attempt other than the last gets at most half of it.
	TrialDeadline = 30 * time.Second
)

// connectTimeout is the one of DefaultSettings: an attempt whose connection gets no answer takes this long.
const connectTimeout = 250 * time.Millisecond

// targetOf returns the latency target in ms that the allowed time of a first attempt indicates. Values in
// between count for the nearer target.
func targetOf(allowed int) int {
	const longest = int(TrialDeadline / time.Millisecond)
	switch {
	case allowed <= GoodTarget+TrialTarget:
		return GoodTarget
	case allowed <= TrialTarget+longest/2:
		return TrialTarget
	}
	return SingleAttempt
}

// policyObservations holds the observations of all hosts, by node, in the order in which they were read.
type policyObservations struct {
	mu       sync.Mutex
	recorded map[string]bool // requests whose first attempt was handled
	byNode   map[string][]PolicyObservation
}

// record records a first line, unless it belongs to a later attempt or carries no allowed time.
func (s *policyObservations) record(line FirstLine, sentAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorded == nil {
		s.recorded, s.byNode = make(map[string]bool), make(map[string][]PolicyObservation)
	}
	_, list, _ := strings.Cut(line.Line, ",d=")
	allowed, _, _ := strings.Cut(list, ",")
	ms, err := strconv.Atoi(allowed)
	if err != nil || s.recorded[line.ID] {
		return
	}
	s.recorded[line.ID] = true
	if targetOf(ms) != GoodTarget && sentAt > 0 && line.At-sentAt >= connectTimeout {
		return // earlier attempts may have failed on a stalled machine, and the last attempt gets all of the remaining time
	}
	s.byNode[line.Node] = append(s.byNode[line.Node], PolicyObservation{At: line.At, LatencyTarget: targetOf(ms), SentAt: sentAt})
}

// Observations returns what hosts observed of a node since a point in time.
func (w *World) Observations(node string, since time.Duration) []PolicyObservation {
	w.observations.mu.Lock()
	defer w.observations.mu.Unlock()
	observations := w.observations.byNode[node]
	i := len(observations)
	for i > 0 && observations[i-1].At >= since {
		i--
	}
	return slices.Clone(observations[i:])
}

// minConsecutive is how many observations in a row establish a target. A single one may be an attempt that
// followed failed ones on a stalled machine.
const minConsecutive = 3

// ObservationsOf returns the observations of a target at a node since a point in time that came in runs of at
// least minConsecutive.
func (w *World) ObservationsOf(target int, node string, since time.Duration) (found []PolicyObservation) {
	run := 0
	for _, s := range w.Observations(node, since) {
		if s.LatencyTarget != target {
			if run < minConsecutive {
				found = found[:len(found)-run]
			}
			run = 0
			continue
		}
		found = append(found, s)
		run++
	}
	if run < minConsecutive {
		found = found[:len(found)-run]
	}
	return found
}

// AwaitTarget waits until hosts have observed, after this call, that the latest requests of each of the nodes
// have this target.
func (w *World) AwaitTarget(target int, nodes ...string) {
	w.t.Helper()
	start := w.Now()
	w.Await(strings.Join(nodes, ", ")+" apply a latency target in ms of "+strconv.Itoa(target), func() bool {
		return !slices.ContainsFunc(nodes, func(n string) bool {
			observed := w.Observations(n, start)
			return len(observed) < minConsecutive ||
				slices.ContainsFunc(observed[len(observed)-minConsecutive:], func(s PolicyObservation) bool { return s.LatencyTarget != target })
		})
	})
}

// everObserved returns the nodes at which hosts ever observed a target, in the order of their first
// observations.
func (w *World) everObserved(target int) (nodes []string) {
	first := map[string]time.Duration{}
	for _, n := range w.nodeNames {
		if observed := w.ObservationsOf(target, n, 0); len(observed) > 0 {
			first[n], nodes = observed[0].At, append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b string) int { return int(first[a] - first[b]) })
	return nodes
}

// policySwitch is the switch of a node to a trial policy, at a time between earliest and latest.
type policySwitch struct {
	node             string
	earliest, latest time.Duration
}

// budgetExceeded returns the times at which the nodes of one site that had certainly switched to a trial
// within the period, together with the hosts that were granted, exceeded the budget. targets maps each rollout to its latency
// target. A node switched after the last snapshot that did not list it in the treatment group, and before
// hosts observed the trial at it.
func (w *World) budgetExceeded(poller *PolicyPoller, targets map[string]int, nodes []string, budget int,
	within time.Duration) (found []string) {
	var switches []policySwitch
	snapshots := poller.Snapshots()
	for id, target := range targets {
		for _, n := range w.everObserved(target) {
			if !slices.Contains(nodes, n) {
				continue
			}
			c := policySwitch{node: n, latest: w.ObservationsOf(target, n, 0)[0].At}
			for _, l := range snapshots {
				if p := l.rolloutByID(id); l.Return < c.latest && l.AgeMs != nil && (p == nil || !slices.Contains(p.Treated, n)) {
					c.earliest = max(c.earliest, l.Call-time.Duration(*l.AgeMs+1)*time.Millisecond)
				}
			}
			switches = append(switches, c)
		}
	}
	slices.SortFunc(switches, func(a, b policySwitch) int { return int(a.latest - b.latest) })
	for i, last := range switches {
		var disrupted []string
		for _, c := range switches[:i+1] {
			if last.latest-min(c.earliest, last.earliest) < within {
				disrupted = append(disrupted, c.node)
			}
		}
		for _, g := range Grants(w.History.Ops()) {
			if site := w.Host(g.Host).Site; (site == "" || site == w.siteOf[last.node].Name) &&
				g.Observed < last.earliest && last.latest < g.EndCalled {
				disrupted = append(disrupted, g.Host)
			}
		}
		if len(disrupted) > budget {
			found = append(found, fmt.Sprintf("%v at %v", disrupted, last.latest))
		}
	}
	return found
}

// usedAfterLease returns the observations of a trial at nodes that were cut off from the root site, for
// requests that clients sent after the trial lease had expired.
func (w *World) usedAfterLease(cut span, lease time.Duration, targets []int, nodes []string) (out []Violation) {
	for _, n := range nodes {
		for _, target := range targets {
			for _, s := range w.ObservationsOf(target, n, cut.from) {
				if s.SentAt > cut.from+lease && s.At < cut.to {
					out = append(out, Violation{At: s.At, What: fmt.Sprintf(
						"%s, cut off since %v, applies a trial policy with a lease of %v: latency target %d ms", n, cut.from, lease, target)})
				}
			}
		}
	}
	return out
}

// CallPolicy makes one of the calls StartPolicy, HaltPolicy, ResumePolicy and ForcePolicy at a node.
func (a *Requester) CallPolicy(node, kind string, in map[string]any) (*peerpb.PolicyReply, error) {
	out := &peerpb.PolicyReply{}
	in["by"] = a.Name
	return out, a.call(Op{Node: node, Kind: kind}, in, out, nil)
}

// Policies asks a node for the policies of its site.
func (a *Requester) Policies(node string) (*peerpb.PoliciesReply, error) {
	out := &peerpb.PoliciesReply{}
	return out, a.call(Op{Node: node, Kind: "Policies"}, map[string]any{}, out, nil)
}

// PolicySnapshot is a reply to Policies. Its content was true at some time between Call and Return or, if the
// call did not reach the consensus group, earlier.
type PolicySnapshot struct {
	Node         string
	Call, Return time.Duration
	*peerpb.PoliciesReply
}

// PolicyPoller polls nodes for their policies.
type PolicyPoller struct {
	w         *World
	mu        sync.Mutex
	snapshots []PolicySnapshot
}

// policyPollInterval is the pause between two polls of one node.
const policyPollInterval = 100 * time.Millisecond

// PollPolicies starts to poll the nodes and stops at the end of the test.
func (w *World) PollPolicies(nodes ...string) *PolicyPoller {
	poller := &PolicyPoller{w: w}
	var pollers sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range nodes {
		requester := w.Requester("lookout at " + n)
		pollers.Go(func() {
			for sleep(stop, policyPollInterval) {
				call := w.Now()
				if r, err := requester.Policies(n); err == nil {
					poller.mu.Lock()
					poller.snapshots = append(poller.snapshots, PolicySnapshot{Node: n, Call: call, Return: w.Now(), PoliciesReply: r})
					poller.mu.Unlock()
					w.changes.notify()
				}
			}
		})
	}
	w.t.Cleanup(func() { close(stop); pollers.Wait() })
	return poller
}

// Snapshots returns all snapshots so far, in the order in which the replies came.
func (l *PolicyPoller) Snapshots() []PolicySnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.snapshots)
}

// Latest returns the latest snapshot of a node, or of any node with "".
func (l *PolicyPoller) Latest(node string) (PolicySnapshot, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.snapshots) - 1; i >= 0; i-- {
		if node == "" || l.snapshots[i].Node == node {
			return l.snapshots[i], true
		}
	}
	return PolicySnapshot{PoliciesReply: &peerpb.PoliciesReply{}}, false
}

// Rollout returns a rollout as the latest snapshot has it, or nil.
func (l *PolicyPoller) Rollout(id string) *peerpb.Rollout {
	latest, _ := l.Latest("")
	return latest.rolloutByID(id)
}

func (k PolicySnapshot) rolloutByID(id string) *peerpb.Rollout {
	for _, r := range k.Rollouts {
		if r.Id == id {
			return r
		}
	}
	return nil
}
