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

// Sighting is what a host saw of the policy that a node goes by. The first attempt of a query is told as its time (d) twice the
// aim of its class, or all that is left where it is the only attempt. So policies with these aims are told apart without a word
// of the node, by clients that wait for TrialWait. They lie so far apart that a machine that stalls makes none of another: what
// an attempt is told shrinks by as much as its connection takes, and where connections take long it is given twice that.
type PolicyObservation struct {
	At            time.Duration
	LatencyTarget int           // GoodAim, TrialAim or OnlyAttempt
	SentAt        time.Duration // when the client sent the query, 0 where it is no client's: the node has decided on it later
}

const (
	GoodTarget    = 300  // ms: that of DefaultSettings
	TrialTarget   = 5000 // ms
	SingleAttempt = -1   // a query has one attempt

	// TrialWait is how long clients wait: an attempt that is not the last is given half of it at most.
	TrialDeadline = 30 * time.Second
)

// connectTimeout is that of DefaultSettings: an attempt that comes to nothing without a word takes as long.
const connectTimeout = 250 * time.Millisecond

// aimOf is what the time of a first attempt tells, in ms: what lies in the middle between two is either's.
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

// sights are the sightings of all hosts, by node, in the order in which they were read.
type policyObservations struct {
	mu       sync.Mutex
	recorded map[string]bool // queries
	byNode   map[string][]PolicyObservation
}

// take notes a first line, unless it is a later attempt or tells no time.
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
		return // attempts before it may have come to nothing on a machine that stalls: the last of them is given all that is left
	}
	s.byNode[line.Node] = append(s.byNode[line.Node], PolicyObservation{At: line.At, LatencyTarget: targetOf(ms), SentAt: sentAt})
}

// Sightings are what hosts saw of a node since a moment.
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

// certain is how many sightings in a row make one of an aim: a single one may be an attempt after others that came to nothing on a
// machine that stalls.
const minConsecutive = 3

// Under are the sightings of an aim at a node since a moment, where so many came in a row.
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

// AwaitAim waits until hosts have seen each of some nodes go by an aim, lately and after this call.
func (w *World) AwaitTarget(target int, nodes ...string) {
	w.t.Helper()
	start := w.Now()
	w.Await(strings.Join(nodes, ", ")+" go by an aim of "+strconv.Itoa(target), func() bool {
		return !slices.ContainsFunc(nodes, func(n string) bool {
			observed := w.Observations(n, start)
			return len(observed) < minConsecutive || slices.ContainsFunc(observed[len(observed)-minConsecutive:], func(s PolicyObservation) bool { return s.LatencyTarget != target })
		})
	})
}

// everUnder are the nodes that hosts ever saw go by an aim, in the order of their first sightings.
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

// change is a node that went over to a trial, at some moment from least to most.
type change struct {
	node             string
	earliest, latest time.Duration
}

// crowds are the moments at which more nodes of one site had certainly changed within a time, and hosts were handed over, than may
// be. rollouts are their aims. A node changed after the last look that did not have it among the treated, and before hosts saw it go
// by the trial.
func (w *World) budgetExceeded(poller *PolicyPoller, targets map[string]int, nodes []string, budget int, within time.Duration) (found []string) {
	var changes []change
	snapshots := poller.Snapshots()
	for id, target := range targets {
		for _, n := range w.everObserved(target) {
			if !slices.Contains(nodes, n) {
				continue
			}
			c := change{node: n, latest: w.ObservationsOf(target, n, 0)[0].At}
			for _, l := range snapshots {
				if p := l.rollout(id); l.Return < c.latest && l.AgeMs != nil && (p == nil || !slices.Contains(p.Treated, n)) {
					c.earliest = max(c.earliest, l.Call-time.Duration(*l.AgeMs+1)*time.Millisecond)
				}
			}
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return int(a.latest - b.latest) })
	for i, last := range changes {
		var disrupted []string
		for _, c := range changes[:i+1] {
			if last.latest-min(c.earliest, last.earliest) < within {
				disrupted = append(disrupted, c.node)
			}
		}
		for _, g := range Grants(w.History.Ops()) {
			if site := w.Host(g.Host).Site; (site == "" || site == w.siteOf[last.node].Name) && g.Seen < last.earliest && last.latest < g.Over {
				disrupted = append(disrupted, g.Host)
			}
		}
		if len(disrupted) > budget {
			found = append(found, fmt.Sprintf("%v at %v", disrupted, last.latest))
		}
	}
	return found
}

// outlived are what hosts saw of a trial at nodes that were cut off from the top, of queries that clients sent once its lease was over.
func (w *World) usedAfterLease(cut span, lease time.Duration, targets []int, nodes []string) (out []Violation) {
	for _, n := range nodes {
		for _, target := range targets {
			for _, s := range w.ObservationsOf(target, n, cut.from) {
				if s.SentAt > cut.from+lease && s.At < cut.to {
					out = append(out, Violation{At: s.At, What: fmt.Sprintf("%s, cut off since %v, goes by a trial with a lease of %v: an aim of %d",
						n, cut.from, lease, target)})
				}
			}
		}
	}
	return out
}

// Policy makes one of the calls StartPolicy, HaltPolicy, ResumePolicy and ForcePolicy at a node.
func (a *Asker) CallPolicy(node, kind string, in map[string]any) (*peerpb.PolicyReply, error) {
	out := &peerpb.PolicyReply{}
	in["by"] = a.Name
	return out, a.call(Op{Node: node, Kind: kind}, in, out, nil)
}

// Policies asks a node for its site's policies.
func (a *Asker) Policies(node string) (*peerpb.PoliciesReply, error) {
	out := &peerpb.PoliciesReply{}
	return out, a.call(Op{Node: node, Kind: "Policies"}, map[string]any{}, out, nil)
}

// Look is an answer to Policies: what it tells was so at some moment from Call to Return, or, of a council that a call does not
// reach any more, before.
type PolicySnapshot struct {
	Node         string
	Call, Return time.Duration
	*peerpb.PoliciesReply
}

// Lookout asks nodes for their policies, again and again.
type PolicyPoller struct {
	w         *World
	mu        sync.Mutex
	snapshots []PolicySnapshot
}

// lookPause lies between two looks at one node.
const pollInterval = 100 * time.Millisecond

// Lookout begins to look at some nodes, to the end of the test.
func (w *World) PollPolicies(nodes ...string) *PolicyPoller {
	poller := &PolicyPoller{w: w}
	var pollers sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range nodes {
		requester := w.Asker("lookout at " + n)
		pollers.Go(func() {
			for pace(stop, pollInterval) {
				call := w.Now()
				if r, err := requester.Policies(n); err == nil {
					poller.mu.Lock()
					poller.snapshots = append(poller.snapshots, PolicySnapshot{Node: n, Call: call, Return: w.Now(), PoliciesReply: r})
					poller.mu.Unlock()
					w.changes.tell()
				}
			}
		})
	}
	w.t.Cleanup(func() { close(stop); pollers.Wait() })
	return poller
}

// Looks are all looks so far, in the order of their answers.
func (l *PolicyPoller) Snapshots() []PolicySnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.snapshots)
}

// Last is the latest look at a node, or at any with "".
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

// Rollout is a rollout as the latest look has it; nil where there is none.
func (l *PolicyPoller) Rollout(id string) *peerpb.Rollout {
	latest, _ := l.Latest("")
	return latest.rollout(id)
}

func (k PolicySnapshot) rollout(id string) *peerpb.Rollout {
	for _, r := range k.Rollouts {
		if r.Id == id {
			return r
		}
	}
	return nil
}
