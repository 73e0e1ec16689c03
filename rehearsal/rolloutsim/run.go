package rolloutsim

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lichenhitch/internal/choice/rollout"
)

// Limits returns the limits of the simulated rollouts.
func Limits() rollout.Limits {
	l := rollout.Defaults()
	l.Slice, l.WindowSlices, l.BaselineWindows = 15*time.Minute, 2, 28
	l.MaxHold, l.TrialLease, l.Settle, l.MaxStageTime, l.MaxDisrupted = 14*time.Hour, 40*time.Minute, 15*time.Minute, 96*time.Hour, 20
	return l
}

// Options configure one simulation.
type Options struct {
	Seed          uint64
	Regencies     int
	Nodes         int
	Noise         Noise
	Limits        rollout.Limits
	ExtraLoss     [3]float64 // by class: additional fraction of requests that the trial loses; negative: it loses fewer
	SecondRollout bool       // another, harmless rollout begins 3 hours later
	LeaderDeaths  float64    // probability that the leader dies in a step, and that the leader of a site dies in a slice
	RecordLoss    float64    // probability that a record is lost in transit, that it is repeated, and that it also arrives late
	Replicas      int        // number of replicas of the root: 1, 3 or 5; 0: 1
	InjectedBug   string
	Scenario      Scenario
	MaxDuration   time.Duration // of the simulation, in virtual time
}

// Scenario is a special condition of a simulation.
type Scenario uint8

// Scenarios.
const (
	Calm      Scenario = iota
	Crashes            // the trial crashes a node every hour; the node reports no guard
	Guarded            // a rule's guard fires at a treated node in the second stage
	Deaf               // a node on the trial can neither receive nor send
	Silent             // no node receives requests from the start of the rollout on
	ZoneLost           // the building of the first treated node loses most of its requests for 8 hours
	Operator           // an operator halts, resumes and forces
	CutHalt            // a treated node is cut off while the rollout is halted
	Worked             // the building of the first treated node is in maintenance all the time
	HaltBelow          // an operator halts at the building of the first treated node; the root learns of it hours later
	Shy                // the nodes that the second stage adds receive no requests once they are treated
)

// Outcome is the result of a rollout.
type Outcome struct {
	Phase rollout.Phase
	Cause rollout.Cause
	Stage rollout.Stage
	Hours float64 // from the start to the halt or the end
	Why   string
}

func (o Outcome) String() string { return fmt.Sprint(o.Phase, " ", o.Cause, " ", o.Stage, " ", o.Why) }

// rootReplica is the state that each replica of the root site holds: a rollout.RootState, or one with an injected
// bug.
type rootReplica interface {
	Apply(uint64, rollout.Command) []rollout.Effect
	Record(uint64, time.Duration, rollout.Record) []rollout.Effect
	Next(time.Duration, rollout.Limits, rollout.Tree) (rollout.Command, bool)
	SitePolicies(string) rollout.SitePolicies
	Plan() *rollout.Plan
	Encode() []byte
}

const (
	trialText  = `{"permissions":{"max_attempts":2}}`
	secondText = `{"permissions":{"max_attempts":3}}`
	trialID    = "trial"
	secondID   = "second"
)

func hashOf(text string) rollout.Hash {
	p, err := rollout.Parse([]byte(text))
	if err != nil {
		panic(err) // cannot happen: the texts are constants
	}
	return p.Hash()
}

var trialHash = hashOf(trialText)

// node is a simulated node.
type node struct {
	*nodeTraffic
	policy         *rollout.NodePolicy
	stored         rollout.Stored
	reporter       *rollout.Reporter
	rootAnsweredAt time.Duration // time of the root's answer to the site on which the site's last answer to this node is based
	starts         int           // starts under its current policy, counted by the simulation
	appliedPolicy  rollout.Hash
}

// siteState is the state of a site below the root: the policies received from the root, the rollouts halted at the
// site, and the newest records of its nodes that the root has not confirmed yet. All of it is replicated, so that it
// survives the site's leader.
type siteState struct {
	name           string
	unreachable    bool
	policies       rollout.SitePolicies
	rootAnsweredAt time.Duration // when the root last answered it
	halted         map[string]bool
	pending        map[string]rollout.Record
}

// lateRecord is a record that arrives late.
type lateRecord struct {
	due time.Duration
	r   rollout.Record
}

// simulation is one run.
type simulation struct {
	o           Options
	world       *world
	nodes       []*node
	sites       []*siteState
	replicas    []rootReplica
	leader      int
	index       uint64
	now         time.Duration
	sliceStart  time.Duration // start of the current slice
	rng         *rand.Rand
	check       *check
	startedAt   time.Duration
	bug         injectedBug
	lateRecords []lateRecord
	recordCount int // records that reached the root
	err         error
	scriptStep  int // completed steps of the scenario
	stepAt      time.Duration
}

// Run simulates the rollout of a trial in the province and returns its outcome. The error is a *Violation if a
// property does not hold.
func Run(o Options) (Outcome, error) {
	s, err := newSimulation(o)
	if err != nil {
		return Outcome{}, err
	}
	slice := o.Limits.Slice
	warmUpEnd := warmUp(o)
	for k := uint64(0); s.now < o.MaxDuration; k++ {
		s.now = time.Duration(k) * slice
		s.sliceStart = s.now
		if s.startedAt == 0 && s.now >= warmUpEnd {
			s.startedAt = s.now
			s.propose(rollout.Command{Start: &rollout.Start{ID: trialID, Policy: []byte(trialText), By: "desk", Why: "fewer attempts"}})
		}
		if o.SecondRollout && s.now == warmUpEnd+3*time.Hour {
			s.propose(rollout.Command{Start: &rollout.Start{ID: secondID, Policy: []byte(secondText), By: "desk", Why: "three"}})
		}
		s.runScript()
		s.distributePolicies()
		s.deliverRecords()
		s.serveSlice(k)
		s.now = time.Duration(k+1) * slice
		for _, n := range s.nodes {
			s.reportStatus(n)
		}
		s.deliverRecords()
		s.proposeAll()
		s.check.checkSlice(s)
		if s.err = errors.Join(s.err, s.check.err()); s.err != nil {
			return s.outcome(), s.err
		}
		if r := s.trial(); r != nil && (r.Phase == rollout.Done || r.Phase == rollout.Halted && s.scriptDone()) {
			if !o.SecondRollout || s.allEnded() {
				break
			}
		}
	}
	return s.outcome(), nil
}

func newSimulation(o Options) (*simulation, error) {
	s := &simulation{o: o, world: newWorld(o.Seed, o.Regencies, o.Nodes, o.Noise, o.MaxDuration), rng: rand.New(rand.NewPCG(o.Seed, 77))}
	if o.InjectedBug != "" {
		i := slices.IndexFunc(injectedBugs, func(p injectedBug) bool { return p.name == o.InjectedBug })
		if i < 0 {
			return nil, fmt.Errorf("unknown injected bug %q", o.InjectedBug)
		}
		s.bug = injectedBugs[i]
	}
	for range max(o.Replicas, 1) {
		var replica rootReplica = rollout.NewRootState()
		if s.bug.newReplica != nil {
			replica = s.bug.newReplica(rollout.NewRootState())
		}
		s.replicas = append(s.replicas, replica)
	}
	for _, name := range s.world.siteNames {
		s.sites = append(s.sites, &siteState{name: name, halted: map[string]bool{}, pending: map[string]rollout.Record{}})
	}
	for _, h := range s.world.nodes {
		n := &node{nodeTraffic: h, stored: rollout.Stored{Good: s.replicas[0].Plan().Good()},
			reporter: rollout.NewReporter(h.name, s.world.siteNames[h.site])}
		n.policy = rollout.NewNodePolicy(n.stored, o.Limits.MaxCrashes, 0, 0)
		s.nodes = append(s.nodes, n)
	}
	s.check = newCheck(s)
	s.proposeAll() // sets the limits and the tree of sites
	return s, s.err
}

// warmUp returns how long nodes are observed before the rollout begins: more than a day, because nights have too few
// requests of rare classes.
func warmUp(o Options) time.Duration {
	return time.Duration(o.Limits.BaselineWindows*o.Limits.WindowSlices)*o.Limits.Slice*12/7 + 2*time.Hour
}

// propose appends a command to the log and applies it at all replicas.
func (s *simulation) propose(c rollout.Command) {
	c.At = s.now
	s.index++
	for i, replica := range s.replicas {
		effects := replica.Apply(s.index, c)
		if i == 0 {
			s.check.checkCommand(s, c, effects)
		}
	}
}

// applyRecord appends a node's record to the log and applies it at all replicas. Four records share a log entry.
func (s *simulation) applyRecord(r rollout.Record) {
	if s.recordCount++; s.recordCount%4 == 0 {
		s.index++
	}
	for i, replica := range s.replicas {
		replica.Record(s.index, s.now, r)
		if i == 0 {
			s.check.checkRecord(s, r)
		}
	}
}

func (s *simulation) trial() *rollout.Rollout { return s.replicas[0].Plan().Rollout(trialID) }

// runScript performs the next step of the scenario if it is due.
func (s *simulation) runScript() {
	r := s.trial()
	if r == nil {
		return
	}
	first := s.nodeNamed(r.Targets[0][0])
	slice := s.o.Limits.Slice
	runStep := func(step int, when bool, f func()) {
		if s.scriptStep == step && when {
			s.scriptStep++
			s.stepAt = s.now
			f()
		}
	}
	switch s.o.Scenario {
	case Silent:
		runStep(0, true, func() {
			for _, n := range s.nodes {
				n.noonRequests = 0
			}
		})
	case Shy:
		runStep(0, r.Stage == rollout.OneBuilding && len(r.Treated) > 1, func() {
			for _, name := range r.Targets[rollout.OneBuilding] {
				s.nodeNamed(name).noonRequests = 0
			}
		})
	case ZoneLost:
		runStep(0, r.Phase == rollout.Running && len(r.Treated) > 0, func() {
			s.world.zoneTrouble[first.site] = append(s.world.zoneTrouble[first.site], event{s.now + 4*slice, s.now + 8*time.Hour, 0.6})
		})
	case Worked:
		runStep(0, true, func() {
			s.world.maintenance[first.site] = append(s.world.maintenance[first.site], event{s.now, s.now + 1000*time.Hour, 0.01})
		})
	case CutHalt:
		runStep(0, r.Stage >= rollout.OneBuilding && len(r.Treated) > 1, func() {
			at := event{from: s.now, to: s.now + 5*time.Hour}
			s.world.cutOff[first.regency] = append(s.world.cutOff[first.regency], at)
		})
		runStep(1, s.now >= s.stepAt+2*slice, func() {
			s.propose(rollout.Command{Halt: &rollout.Halt{ID: trialID, Cause: rollout.Operator, By: "desk", Why: "enough"}})
		})
		runStep(2, s.now >= s.stepAt+8*time.Hour, func() {})
	case HaltBelow:
		runStep(0, r.Stage >= rollout.OneBuilding && len(r.Treated) > 1, func() { s.sites[first.site].halted[trialID] = true })
		runStep(1, s.now >= s.stepAt+8*slice, func() {
			s.propose(rollout.Command{Halt: &rollout.Halt{ID: trialID, Cause: rollout.Operator, By: "desk below", Why: "enough"}})
		})
	case Operator:
		runStep(0, len(r.Treated) > 0, func() {
			s.propose(rollout.Command{Force: &rollout.OperatorAction{ID: trialID, Stage: r.Stage, By: "desk", Why: "known to be good"}})
		})
		runStep(1, r.Stage == rollout.OneBuilding && s.now >= s.stepAt+4*slice, func() {
			s.propose(rollout.Command{Halt: &rollout.Halt{ID: trialID, Cause: rollout.Operator, By: "desk", Why: "a doubt"}})
			s.fireGuard(first, "too late") // reaches the root only after the rollout is resumed
			s.lateRecords = append(s.lateRecords, lateRecord{s.now + 14*slice, first.reporter.Newest()})
			first.reporter = rollout.NewReporter(first.name, s.world.siteNames[first.site])
		})
		runStep(2, r.Phase == rollout.Halted && s.now >= s.stepAt+6*slice, func() {
			s.check.resumedAt = s.now
			s.propose(rollout.Command{Resume: &rollout.OperatorAction{ID: trialID, By: "desk", Why: "the doubt is cleared"}})
		})
		runStep(3, first.appliedPolicy == trialHash && r.Attempt == 2 && s.now >= s.stepAt+12*slice, func() {
			s.fireGuard(first, "rule")
			s.applyRecord(first.reporter.Newest())
			s.propose(rollout.Command{Force: &rollout.OperatorAction{ID: trialID, Stage: r.Stage, By: "desk", Why: "in spite of it"}})
		})
	}
}

// scriptDone reports whether all steps of the scenario have been done.
func (s *simulation) scriptDone() bool {
	last := map[Scenario]int{CutHalt: 3, Operator: 4, HaltBelow: 2}[s.o.Scenario]
	return s.scriptStep >= last
}

func (s *simulation) nodeNamed(name string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })
	return s.nodes[i]
}

func (s *simulation) allEnded() bool {
	return !slices.ContainsFunc(s.replicas[0].Plan().Rollouts(), func(r *rollout.Rollout) bool { return r.Phase.Active() })
}

// inMaintenance reports whether a host of the site is in maintenance in the current slice.
func (s *simulation) inMaintenance(site int) bool {
	return anyAt(s.world.maintenance[site], s.sliceStart)
}

// distributePolicies lets each site poll the root and each node poll its site. A node's lease counts from the time at
// which the root answered the site.
func (s *simulation) distributePolicies() {
	for i, site := range s.sites {
		if s.bug.forgetHalts && s.rng.Float64() < s.o.LeaderDeaths {
			clear(site.halted)
		}
		if site.unreachable = anyAt(s.world.cutOff[s.world.siteRegency[i]], s.now); !site.unreachable &&
			(site.rootAnsweredAt == 0 || s.rng.Float64() >= s.o.RecordLoss) {
			site.policies, site.rootAnsweredAt = s.replicas[s.leader].SitePolicies(site.name), s.now
			if s.rng.IntN(256) == 0 {
				if site.policies, s.err = rollout.ParseSitePolicies(site.policies.Bytes()); s.err != nil {
					return
				}
			}
		}
	}
	for _, n := range s.nodes {
		if site := s.sites[n.site]; site.rootAnsweredAt > 0 && !s.isCutOffByTrial(n) {
			answeredAt := site.rootAnsweredAt
			if n.rootAnsweredAt = answeredAt; s.bug.alwaysFresh {
				answeredAt = s.now
			}
			a := site.policies.Assigned(n.name, func(id string) bool { return site.halted[id] })
			n.policy.HandleAssignment(a, answeredAt, func(rollout.Hash) error { return nil })
		}
		if !s.bug.noLeaseExpiry {
			n.policy.CheckLease(s.now)
		}
		n.stored = n.policy.Stored()
		if p := n.policy.Policy(); p != n.appliedPolicy {
			n.appliedPolicy, n.starts = p, 0
		}
		s.reportStatus(n)
	}
}

func (s *simulation) isCutOffByTrial(n *node) bool {
	return s.o.Scenario == Deaf && n.policy.Policy() == trialHash
}

// reportStatus updates the node's reporter, at the end of a slice and when the node's policy may have changed.
func (s *simulation) reportStatus(n *node) {
	outOfService, maintenance := 0, s.inMaintenance(n.site)
	if maintenance {
		outOfService = 1
	}
	n.reporter.Tick(s.now, s.sites[n.site].policies.Slice, n.policy.Status(n.name), n.policy.Starts(),
		outOfService, maintenance && !s.bug.hideMaintenance)
}

// fireGuard lets a guard fire at a node now.
func (s *simulation) fireGuard(n *node, what string) {
	s.check.lastFired = s.now
	n.reporter.Count(s.now, n.appliedPolicy, nil, []string{what})
}

// deliverRecords delivers the records of nodes to their sites and from there to the root. Some are lost and merged
// into a later one, some arrive twice, some late.
func (s *simulation) deliverRecords() {
	drawLoss := func() bool { return s.o.RecordLoss > 0 && s.rng.Float64() < s.o.RecordLoss }
	for i, late := range s.lateRecords {
		if s.now >= late.due {
			s.applyRecord(late.r)
			s.lateRecords[i].due = 1 << 62
		}
	}
	s.lateRecords = slices.DeleteFunc(s.lateRecords, func(late lateRecord) bool { return late.due == 1<<62 })
	for _, n := range s.nodes {
		site := s.sites[n.site]
		if r := n.reporter.Newest(); n.reporter.HasPending() && !s.isCutOffByTrial(n) {
			if s.rng.IntN(256) == 0 {
				if r, s.err = rollout.ParseRecord(n.reporter.Pending()); s.err != nil {
					return
				}
			}
			n.reporter.Acknowledge(r.Sequence)
			if earlier, found := site.pending[n.name]; found {
				r = earlier.Merge(r)
			}
			site.pending[n.name] = r
		}
		r, found := site.pending[n.name]
		if !found || site.unreachable || drawLoss() {
			continue
		}
		s.applyRecord(r)
		if drawLoss() {
			s.lateRecords = append(s.lateRecords, lateRecord{s.now + time.Duration(s.rng.IntN(40))*s.o.Limits.Slice, r})
		}
		if !drawLoss() { // otherwise the confirmation is lost, and the record is sent again
			delete(site.pending, n.name)
		}
	}
}

// serveSlice lets each node serve and count requests for one slice.
func (s *simulation) serveSlice(k uint64) {
	from := time.Duration(k) * s.o.Limits.Slice
	s.now += s.o.Limits.Slice / 2
	for _, n := range s.nodes {
		var extraLoss func(int) float64
		if n.appliedPolicy == trialHash {
			extraLoss = func(class int) float64 { return s.o.ExtraLoss[class] }
		}
		n.reporter.Count(s.now, n.appliedPolicy, s.world.counts(n.nodeTraffic, from, extraLoss), nil)
		if r := s.trial(); s.o.Scenario == Guarded && n.appliedPolicy == trialHash && r.Stage == rollout.OneBuilding {
			s.fireGuard(n, "drain")
		}
		if n.appliedPolicy == trialHash && s.o.Scenario == Crashes && k%4 == 0 {
			n.starts++
			stored := n.stored
			if s.bug.forgetStarts {
				stored.Starts = 0
			}
			n.policy = rollout.NewNodePolicy(stored, s.o.Limits.MaxCrashes, n.policy.StoredLeaseEnd(), s.now)
			n.stored = n.policy.Stored()
			n.reporter = rollout.NewReporter(n.name, s.world.siteNames[n.site])
			s.check.lastFired = s.now
		}
	}
}

// proposeAll lets the leader propose everything that is due. The leader may die in any step: its proposal is then
// lost, or applied and proposed once more. Another replica takes over, sometimes one that has just been restored from
// a snapshot.
func (s *simulation) proposeAll() {
	for range 1000 {
		if s.rng.Float64() < s.o.LeaderDeaths {
			s.leader = s.rng.IntN(len(s.replicas))
			if !bytes.Equal(s.replicas[0].Encode(), s.replicas[s.leader].Encode()) {
				s.err = &Violation{"seats", "two replicas of one log have different states"}
				return
			}
			if p, ok := s.replicas[s.leader].(*rollout.RootState); ok && s.rng.IntN(4) == 0 {
				decoded, err := rollout.DecodeRootState(p.Encode())
				if err != nil {
					s.err = err
					return
				}
				s.replicas[s.leader] = decoded
			}
		}
		c, found := s.replicas[s.leader].Next(s.now, s.o.Limits, s.world.tree)
		if !found {
			return
		}
		switch leaderDies := s.rng.Float64() < s.o.LeaderDeaths; {
		case !leaderDies:
			s.propose(c)
		case s.rng.IntN(2) == 0: // the proposal is lost
		default:
			s.propose(c)
			s.propose(c)
		}
	}
	s.err = &Violation{"end", "the leader does not stop proposing"}
}

func (s *simulation) outcome() Outcome {
	r := s.trial()
	if r == nil {
		return Outcome{}
	}
	o := Outcome{Phase: r.Phase, Cause: r.Cause, Stage: r.Stage, Hours: (s.now - s.startedAt).Hours()}
	for _, e := range r.Log {
		if r.Cause != rollout.None && e.Event == "halt: "+r.Cause.String() {
			o.Hours, o.Why = (e.At - s.startedAt).Hours(), e.Why
		}
	}
	return o
}
