package processes

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site/sitepb"
)

var (
	faultSeeds     = flag.Int("storms", 2, "number of fault sequences with turns, writes and policies to run")
	firstFaultSeed = flag.Uint64("storm", 1, "first of these seeds")

	replicaSeeds     = flag.Int("councils", 1, "number of fault sequences to run with replica changes and aborted upgrades")
	firstReplicaSeed = flag.Uint64("council", 1, "first of these seeds")
)

const (
	faultDuration    = 12 * time.Second // how long each fault sequence lasts
	trialLease       = 2 * time.Second  // trial lease of a node
	settleTime       = 3 * time.Second  // how long a change of policy counts as a disruption
	disruptionBudget = 4                // nodes and hosts that may be disrupted at once

	// maxSettleRounds is how many rounds the system may take to settle after the last fault. In a round an
	// operator checks every node, and ten more of 160 clients a second are served, so that 400 rounds take at
	// least 25 s. The longest chain of waits that the settings allow is 23 s: a call of a requester to a
	// process that was stopped (callTimeout, 8 s), one more that a leader without a quorum answers late
	// (peer.Limits.CallTimeout, 5 s), an election of twice ten ticks (1 s), the former send leases, which a new
	// leader must assume to be valid (1 s), and a host that counts as out of service until it is warm
	// (cold_us, 8 s). Some 30 rounds are usual.
	maxSettleRounds = 400
)

// faultPlan is a province and one of its buildings, each with three replicas, one node without a replica, and
// its own hosts.
func faultPlan(seed uint64) Plan {
	p := Plan{Seed: seed, Sites: []Site{
		{Name: "p", Level: sitepb.Level_PROVINCE, Nodes: []string{"p0", "p1", "p2", "p3"}},
		{Name: "b", Parent: "p", Level: sitepb.Level_BUILDING, Nodes: []string{"b0", "b1", "b2", "b3"}}},
		Tune: func(_ string, f *sitepb.File) {
			f.Rights = &sitepb.Rights{LastsMs: 1000}
			f.Council = &sitepb.Council{TickMs: 50}
			f.Turns = &sitepb.Turns{Site: 2, Horizon: 2, Failed: 3}
			f.Rollout = &sitepb.Rollout{Alpha: 0.49, Beta: 0.3, Margin: 0.2, Slow: 0.49, Cover: 0.5, Least: 3, HoldS: 600,
				LeaseS: uint32(trialLease / time.Second), SliceS: 1, Spell: 1, Watch: 2,
				SettleS: uint32(settleTime / time.Second), Disturb: disruptionBudget}
		}}
	for i, h := range Fleet(12) {
		h.Site = p.Sites[i/6].Name
		p.Hosts = append(p.Hosts, h)
	}
	return p
}

// Turns, writes and policies at the same time under faults: turns whose requesters come and go, writes at
// sites that are cut off, and two staged policies, one of which is harmless while the other loses clients or,
// with an odd seed, the links. No violation may be observed, and once the faults are over everything must
// settle within maxSettleRounds.
func TestTurnsWritesAndPoliciesUnderFaultsFromASeed(t *testing.T) {
	t.Parallel()
	runSeeds(t, *firstFaultSeed, *faultSeeds, false)
}

// As TestTurnsWritesAndPoliciesUnderFaultsFromASeed, while the site files also move replicas and every second
// upgrade is aborted: replicas change while stores are lost or leaders are killed. Once the faults are over,
// the replicas must also be those of the files.
func TestSeatsChangeUnderFaultsFromASeed(t *testing.T) {
	t.Parallel()
	runSeeds(t, *firstReplicaSeed, *replicaSeeds, true)
}

// runSeeds runs the fault sequences of the seeds, each as a subtest.
func runSeeds(t *testing.T, first uint64, seeds int, withReplicaChanges bool) {
	for seed := first; seed < first+uint64(seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runFaultSequence(t, seed, withReplicaChanges)
		})
	}
}

// faultRun is a fault sequence while it runs.
type faultRun struct {
	*World
	t                            *testing.T
	seed                         uint64
	provinceNodes, buildingNodes []string
	faultsDone                   chan struct{} // closed once the faults are over
	results                      []chan error  // one for each participant, which sends its result when it ends
	poller                       *PolicyPoller
	policyOperator               *Requester
	operator                     *Operator
	breaker                      *LinkBreaker
	rng                          *rand.Rand // used by driveRollouts only
	workDone                     []int
	writers                      []*ChainWriter
	readers                      []*ChainReader
}

// trialTargets are the latency targets by which hosts recognize the two policies.
var trialTargets = map[string]int{"p1": TrialTarget, "p2": SingleAttempt}

// spawn starts a participant.
func (g *faultRun) spawn(run func() error) {
	ended := make(chan error, 1)
	g.results = append(g.results, ended)
	go func() { ended <- run() }()
}

// running waits and then reports whether the fault sequence still runs.
func (g *faultRun) running(wait time.Duration) bool {
	select {
	case <-g.faultsDone:
		return false
	default:
		return g.sleep(wait)
	}
}

// runStaff does one maintenance job after the other. Every third turn is requested by a requester that then
// goes away: a second one does the work or withdraws the turn.
func (g *faultRun) runStaff(i int) {
	nodes, hosts := g.provinceNodes, []string{"h0", "h1", "h2", "h3", "h4"}
	if i >= 3 {
		nodes, hosts = g.buildingNodes, []string{"h6", "h7", "h8", "h9", "h10"}
	}
	present, leaving := g.Requester(fmt.Sprint("staff", i)), g.Requester(fmt.Sprint("gone", i))
	present.Nodes, leaving.Nodes = nodes, nodes
	g.spawn(func() error {
		for n := 0; g.running(pollInterval); n++ {
			id, host := fmt.Sprint("t", i, "-", n), hosts[min(i%3*2+n%2, 4)]
			if n%3 == 1 {
				for accepted := false; !accepted && g.running(pollInterval); {
					if node := leaving.randomNode(); node != "" {
						_, err := leaving.Ask(node, id, host, 1, nil)
						accepted = err == nil
					}
				}
			}
			if n%6 == 1 {
				// Continues once the fault sequence is over, because a forgotten turn keeps its place in the schedule.
				for withdrawn := false; !withdrawn && g.sleep(pollInterval); {
					if node := present.randomNode(); node != "" {
						_, _ = leaving.Ask(node, id, host, 1, nil) // it may be unknown whether the request was accepted
						_, err := present.Withdraw(node, id)
						withdrawn = err == nil
					}
				}
				continue
			}
			if err := present.Work(context.Background(), id, host, 1, func() { g.sleep(250 * time.Millisecond) }); err != nil {
				return err
			}
			g.workDone[i]++
		}
		return nil
	})
}

// callPolicy makes a call about a policy at a node. The reply is discarded, and a failed call is made again.
func (g *faultRun) callPolicy(node, kind, id string, more map[string]any) error {
	in := map[string]any{"id": id, "why": "a fault sequence"}
	for k, v := range more {
		in[k] = v
	}
	_, err := g.policyOperator.CallPolicy(node, kind, in)
	return err
}

// driveRollouts starts the two policies and moves them on, by force where evidence takes too long. The bad
// one is halted before it is everywhere. With each third seed the harmless one is halted at the building,
// whose link may be cut.
func (g *faultRun) driveRollouts() {
	forced := map[string]int{} // size of the treatment group when a stage was last ended by force
	for step := 0; g.running(200 * time.Millisecond); step++ {
		node := g.policyOperator.randomNode()
		if node == "" {
			continue
		}
		p1, p2 := g.poller.Rollout("p1"), g.poller.Rollout("p2")
		// p2 starts first, and the harmless p1 only once hosts have observed p2 at a node: otherwise p1 might
		// end first and p2 be halted as superseded (cause "overtaken").
		if p2 == nil {
			_ = g.callPolicy(node, "StartPolicy", "p2", map[string]any{"policy": `{"permissions":{"max_attempts":1}}`})
			continue
		}
		if p1 == nil && (p2.Phase != "running" || len(g.everObserved(SingleAttempt)) > 0) {
			_ = g.callPolicy(node, "StartPolicy", "p1", map[string]any{"policy": harmlessPolicy})
			continue
		}
		for _, p := range []*peerpb.Rollout{p1, p2} {
			switch {
			case p == nil:
			case p.Phase == "running" && (len(p.Treated) > forced[p.Id] || len(p.Treated) > 0 && g.rng.IntN(20) == 0) &&
				(p == p1 || p.Stage == "one-node" || p.Stage == "building"):
				if g.callPolicy(node, "ForcePolicy", p.Id, map[string]any{"stage": p.Stage}) == nil {
					forced[p.Id] = len(p.Treated)
				}
			case p == p1 && g.seed%3 == 0 && p.Phase == "running" && p.Stage == "part":
				_ = g.callPolicy(g.buildingNodes[g.rng.IntN(4)], "HaltPolicy", p.Id, nil)
			case p == p2 && p.Phase == "running" && p.Stage == "regency" && g.rng.IntN(20) == 0:
				_ = g.callPolicy(node, "HaltPolicy", p.Id, nil)
			}
		}
	}
}

// runWriters starts two writers of a site, one that writes a causal chain (ChainWriter) and one that writes in
// turns that a host is out of service and back, and the readers of the chain.
func (g *faultRun) runWriters(i int, site Site) {
	writer, chain := g.Requester(fmt.Sprint("staff of h", 5+6*i)), g.NewChainWriter(site)
	writer.Nodes = site.Nodes
	g.writers = append(g.writers, chain)
	g.spawn(func() error {
		for g.running(pollInterval) {
			chain.Write()
		}
		return nil
	})
	g.spawn(func() error {
		for n := 0; g.running(200 * time.Millisecond); n++ {
			if node := writer.randomNode(); node != "" {
				_ = writer.call(Op{Node: node, Kind: "Write"}, map[string]any{"kind": "safety", "thing": fmt.Sprint("host/h", 5+6*i),
					"value": []string{"out", "back"}[n%2], "by": writer.Name}, &peerpb.WriteReply{}, nil)
			}
		}
		return nil
	})
	for _, s := range g.Plan.Sites {
		for _, node := range s.Nodes[:s.Replicas] {
			r := g.NewChainReader(chain, node)
			g.readers = append(g.readers, r)
			g.spawn(func() error {
				for g.running(200 * time.Millisecond) {
					r.Read()
				}
				return nil
			})
		}
	}
}

// runFaultSequence runs the fault sequence of a seed, with or without replica changes.
func runFaultSequence(t *testing.T, seed uint64, withReplicaChanges bool) {
	worldSlots <- struct{}{}
	t.Cleanup(func() { <-worldSlots })
	w := New(t, faultPlan(seed))
	run := &faultRun{World: w, t: t, seed: seed, provinceNodes: w.Plan.Sites[0].Nodes, buildingNodes: w.Plan.Sites[1].Nodes,
		faultsDone:     make(chan struct{}),
		policyOperator: w.Requester("chief"), operator: w.NewOperator(), breaker: w.NewLinkBreaker([]int{0, SingleAttempt}[seed%2]),
		rng: rand.New(rand.NewPCG(seed, 7)), workDone: make([]int, 6)}
	run.policyOperator.Nodes = run.provinceNodes
	w.Start()
	for _, h := range w.Hosts() {
		h.Refuse(0.3, "ERR")
	}
	// A rollout begins where most clients connect: at the building, which will be cut off.
	clients := w.StartClients(Load{PerSecond: 160, MaxConcurrent: 800, Total: 1 << 20, HoldTime: 100 * time.Millisecond,
		Deadline: TrialDeadline, Nodes: slices.Concat(run.provinceNodes, run.buildingNodes, run.buildingNodes)})
	awaitServed(clients, w.Names()...)
	awaitLeader(w, "p3")
	awaitLeader(w, "b3")
	for _, n := range run.buildingNodes {
		clients.AwaitServed(60, n) // by then the root site has received data of them too
	}
	run.poller = w.PollPolicies(run.provinceNodes...)
	run.spawn(func() error {
		for run.running(50 * time.Millisecond) {
			run.breaker.Update()
		}
		return nil
	})
	run.spawn(func() error { run.driveRollouts(); return nil })
	w.Await("both trial policies are observed", func() bool {
		return len(w.everObserved(TrialTarget)) > 0 && len(w.everObserved(SingleAttempt)) > 0
	})
	for i := range run.workDone {
		run.runStaff(i)
	}
	for i, s := range w.Plan.Sites {
		run.runWriters(i, s)
	}
	run.spawn(func() error {
		for run.running(200 * time.Millisecond) {
			run.operator.Round()
		}
		return nil
	})

	// The building is cut off for half of the time, in addition to all other faults.
	cutPlan := span{from: faultDuration * 3 / 10, to: faultDuration * 8 / 10}
	var cut span
	faults := withoutLinkFaultsDuring(
		storeFaults(RandomFaults(seed, w.Names(), faultDuration), seed, w.Plan.Sites, faultDuration), cutPlan, w.siteOf)
	if withReplicaChanges {
		faults = replicaChanges(faults, seed, w.Plan.Sites, faultDuration)
	}
	t.Logf("%s: the faults begin", w.Now().Round(time.Millisecond))
	w.RunFaults(append(faults, Fault{Kind: CustomFault, At: cutPlan.from, Duration: cutPlan.to - cutPlan.from, Node: "the building",
		Begin: func() {
			run.breaker.Partition(run.buildingNodes...)
			cut.from = w.Now()
		}, End: func() {
			cut.to = w.Now()
			run.breaker.Partition()
		}}))
	close(run.faultsDone)
	t.Logf("%s: the faults are over", w.Now().Round(time.Millisecond))

	targets := []int{TrialTarget, SingleAttempt}
	rounds := run.awaitSettled(clients)
	settledAt := w.Now()
	awaitServed(clients, w.Names()...)
	awaitServed(clients, w.Names()...)
	outcomes := ""
	for _, id := range []string{"p1", "p2"} {
		p := run.poller.Rollout(id)
		outcomes += fmt.Sprintf("%s %s %s %s; ", id, p.GetPhase(), p.GetStage(), p.GetCause())
		if p.GetPhase() != "done" {
			for _, n := range w.Names() {
				assert.Empty(t, w.ObservationsOf(trialTargets[id], n, settledAt), "%s applies %s after its halt", n, id)
			}
		}
	}
	_, provinceStep := run.writers[0].Accepted()
	_, buildingStep := run.writers[1].Accepted()
	totalReads := 0
	for _, r := range run.readers {
		totalReads += r.Reads
	}
	t.Logf("seed %d: maintenance jobs %v, steps %d and %d, %d reads; %s observed at %v and %v, links broken %d times; operator %q; settled in %d rounds; clients %s",
		seed, run.workDone, provinceStep, buildingStep, totalReads, outcomes, w.everObserved(TrialTarget), w.everObserved(SingleAttempt),
		run.breaker.BreakCount, run.operator.Actions, rounds, clients.Report())
	fmt.Printf("fault sequence of seed %d, replica changes %t: settled in %d rounds of %d\n",
		seed, withReplicaChanges, rounds, maxSettleRounds)
	for i, n := range run.workDone {
		assert.Positive(t, n, "staff%d must have finished a job", i)
	}
	assert.Empty(t, w.usedAfterLease(cut, trialLease, targets, run.buildingNodes))
	assert.Empty(t, w.budgetExceeded(run.poller, trialTargets, run.provinceNodes, disruptionBudget, settleTime-2*time.Second),
		"disruption budget of the root site exceeded")
	w.RequireNoViolations(twoPerSite)
}

// awaitSettled runs rounds until everything has settled, and returns how many it took.
func (g *faultRun) awaitSettled(c *Clients) int {
	g.t.Helper()
	start, servedBefore := g.Now(), c.Report().ServedByNode
	unfinished := slices.Clone(g.results)
	pending := map[string]string{} // accepted writes of both sites without a receipt, to the node where the receipt is read
	for i, chain := range g.writers {
		accepted, _ := chain.Accepted()
		for _, id := range accepted {
			pending[id] = []string{g.provinceNodes[3], g.buildingNodes[3]}[i]
		}
	}
	var missing []string
	for round := 1; round <= maxSettleRounds; round++ {
		missing = nil
		g.operator.Round()
		g.breaker.Update()
		unfinished = slices.DeleteFunc(unfinished, func(ended chan error) bool {
			select {
			case err := <-ended:
				require.NoError(g.t, err, "seed %d", g.seed)
				return true
			default:
				return false
			}
		})
		if len(unfinished) > 0 {
			missing = append(missing, fmt.Sprintf("%d participants are not done", len(unfinished)))
		}
		served := c.Report().ServedByNode
		for _, n := range g.Names() {
			if served[n] < servedBefore[n]+10 {
				missing = append(missing, n+" serves too few clients")
			}
		}
		missing = append(append(append(missing, g.unsettledPolicies(start)...), g.unsettledWrites(pending)...), g.unsettledReplicas()...)
		if len(missing) == 0 {
			return round
		}
		if round%20 == 0 {
			g.t.Logf("%s: round %d: %v", g.Now().Round(time.Millisecond), round, missing)
		}
		c.AwaitServed(10, "")
	}
	assert.Empty(g.t, missing, "seed %d: not settled in %d rounds", g.seed, maxSettleRounds)
	return maxSettleRounds
}

// unsettledPolicies halts running rollouts, and returns what is not over or which nodes do not apply the good
// policy.
func (g *faultRun) unsettledPolicies(since time.Duration) (missing []string) {
	good := GoodTarget
	for _, id := range []string{"p1", "p2"} {
		p := g.poller.Rollout(id)
		switch {
		case p == nil:
		case p.Phase == "done":
			good = trialTargets[id]
		case p.Phase != "halted":
			missing = append(missing, id+" is "+p.Phase)
			if at := g.policyOperator.randomNode(); at != "" && p.Phase != "halting" {
				_ = g.callPolicy(at, "HaltPolicy", id, nil)
			}
		}
	}
	if len(missing) > 0 {
		return missing
	}
	for _, n := range g.Names() {
		observed := g.Observations(n, since)
		if len(observed) < minConsecutive ||
			slices.ContainsFunc(observed[len(observed)-minConsecutive:], func(s PolicyObservation) bool { return s.LatencyTarget != good }) {
			missing = append(missing, n+" does not apply the good policy")
		}
	}
	return missing
}

// unsettledReplicas returns the sites whose replicas, as their leaders report them, differ from their files.
func (g *faultRun) unsettledReplicas() (missing []string) {
	for _, s := range g.Plan.Sites {
		want := slices.Sorted(slices.Values(s.Nodes[:s.Replicas]))
		r, err := g.operator.requesters[s.Name].Turns(s.Nodes[s.Replicas])
		if err != nil || !slices.Equal(r.Seats, want) {
			missing = append(missing, fmt.Sprintf("%s has the replicas %v instead of %v", s.Name, r.GetSeats(), want))
		}
	}
	return missing
}

// unsettledWrites returns the accepted writes that have no receipt at their site, and the nodes that do not
// have the last step. A receipt other than "applied" fails the test.
func (g *faultRun) unsettledWrites(pending map[string]string) (missing []string) {
	for id, node := range pending {
		r := readFrom(g.World, node, "", "", id)
		if r.Receipt == "" {
			missing = append(missing, id+" has no receipt")
			if len(missing) > 3 {
				return missing
			}
			continue
		}
		require.Equal(g.t, "applied", r.Receipt, "%s: %s", id, r.Why)
		delete(pending, id)
	}
	for _, chain := range g.writers {
		_, newest := chain.Accepted()
		for _, n := range g.Names() {
			r := readFrom(g.World, n, "work", "step/"+chain.Name, "")
			last := stepOf(r.Value)
			if newest = max(newest, last); last < newest {
				missing = append(missing, fmt.Sprintf("%s has step %d of %s instead of %d", n, last, chain.Name, newest))
			}
		}
	}
	return missing
}
