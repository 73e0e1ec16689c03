package rolloutsim

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"lichenhitch/internal/choice/rollout"
)

// Violation is a property that does not hold.
type Violation struct{ Property, What string }

func (b *Violation) Error() string { return b.Property + ": " + b.What }

// check compares the state of the first replica with the true state of the world. It keeps its own account of which
// node was treated when.
type check struct {
	s                   *simulation
	violations          []error
	owner               map[string]string         // node: the rollout that treats it
	stage               map[string]rollout.Stage  // node: the stage in which it was treated
	changed             map[string]time.Duration  // node: time of the last change of its policy
	logLength           map[string]int            // rollout: number of its log entries already checked
	phase               map[string]rollout.Phase  // rollout: its phase at the last check
	stageStart          map[string]time.Duration  // rollout: start of its stage
	usableSlices        map[string]map[string]int // rollout: node: slices of this stage with usable evidence
	openWindows         map[uint64]map[string]int // window that may still be open: node: usable slices
	received            map[string]*sliceSet
	newest              map[string]rollout.Record // node: its newest record by sequence number
	maintenanceReported []time.Duration           // by site: when the root last received a report of hosts in maintenance
	offered             map[nodeWindow]float64    // node and window: requests of the first class
	haltedSince         map[string]time.Duration  // site: since when it has halted the trial
	lastFired           time.Duration             // when a guard last fired or a process last crashed
	resumedAt           time.Duration             // when the trial was resumed
	lastEvidence        map[string]time.Duration  // rollout: when it last had usable evidence
	expectedLog         []rollout.LogEntry        // actions of operators that the log must contain
}

// nodeWindow is a node in a window.
type nodeWindow struct {
	node   string
	window uint64
}

// sliceSet records which of a node's slices were received: one bit for each of the newest 64.
type sliceSet struct{ newest, bits uint64 }

func (w *sliceSet) add(slice uint64) (isNew bool) {
	if slice > w.newest {
		w.bits = w.bits<<(slice-w.newest) | 1
		w.newest = slice
		return true
	}
	bit := uint64(1) << (w.newest - slice)
	isNew = w.bits&bit == 0 && bit > 0
	w.bits |= bit
	return isNew
}

func newCheck(s *simulation) *check {
	return &check{s: s, owner: map[string]string{}, stage: map[string]rollout.Stage{}, changed: map[string]time.Duration{},
		logLength: map[string]int{}, phase: map[string]rollout.Phase{}, stageStart: map[string]time.Duration{},
		usableSlices: map[string]map[string]int{}, openWindows: map[uint64]map[string]int{}, lastEvidence: map[string]time.Duration{},
		received: map[string]*sliceSet{}, newest: map[string]rollout.Record{}, maintenanceReported: make([]time.Duration, len(s.sites)),
		offered: map[nodeWindow]float64{}, haltedSince: map[string]time.Duration{}}
}

func (c *check) err() error { return errors.Join(c.violations...) }

func (c *check) report(property, what string, args ...any) {
	if len(c.violations) < 5 {
		c.violations = append(c.violations, &Violation{property, fmt.Sprintf("%v: ", c.s.now) + fmt.Sprintf(what, args...)})
	}
}

// checkCommand checks the effects of a command.
func (c *check) checkCommand(s *simulation, cmd rollout.Command, effects []rollout.Effect) {
	switch {
	case cmd.Treat != nil:
		c.checkTreated(cmd, effects)
	case cmd.Halt != nil && cmd.Halt.Cause == rollout.Operator:
		c.expectedLog = append(c.expectedLog, rollout.LogEntry{Event: "halt", By: cmd.Halt.By, Why: cmd.Halt.Why})
	case cmd.Force != nil && c.phase[cmd.Force.ID] == rollout.Running:
		c.expectedLog = append(c.expectedLog, rollout.LogEntry{Event: "force", By: cmd.Force.By, Why: cmd.Force.Why})
	case cmd.Resume != nil:
		c.expectedLog = append(c.expectedLog, rollout.LogEntry{Event: "resume", By: cmd.Resume.By, Why: cmd.Resume.Why})
	}
	if cmd.Treat == nil {
		c.checkRollBackOrder(effects)
	}
	c.checkPhases(cmd.Resume != nil)
}

// checkPhases checks the changes of phase of all rollouts.
func (c *check) checkPhases(resumed bool) {
	root := c.s.replicas[0]
	for _, r := range root.Plan().Rollouts() {
		c.checkLog(r)
		was, known := c.phase[r.ID]
		if known && was != r.Phase && r.Phase == rollout.Running && !resumed {
			c.report("P7", "%s runs again although no operator resumed it", r.ID)
		}
		if was != r.Phase && r.Phase == rollout.Halted {
			c.checkHalted(r, root)
		}
		c.phase[r.ID] = r.Phase
	}
}

// checkTreated checks P6: a node belongs to at most one rollout, and all rollouts share one disruption budget.
func (c *check) checkTreated(cmd rollout.Command, effects []rollout.Effect) {
	for _, e := range effects {
		if e.Kind != rollout.Assign {
			continue
		}
		if o := c.owner[e.Node]; o != "" {
			c.report("P6", "%s is treated by %s while %s treats it", e.Node, cmd.Treat.ID, o)
		}
		c.owner[e.Node], c.stage[e.Node], c.changed[e.Node] = cmd.Treat.ID, cmd.Treat.Stage, c.s.now
	}
	disrupted, l := 0, c.s.o.Limits
	for i, reportedAt := range c.maintenanceReported {
		if c.s.inMaintenance(i) && reportedAt > 0 && c.s.now-reportedAt <= 2*l.Slice+l.Settle {
			disrupted++
		}
	}
	for _, at := range c.changed {
		if c.s.now-at < c.s.o.Limits.Settle {
			disrupted++
		}
	}
	if len(effects) > 0 && disrupted > c.s.o.Limits.MaxDisrupted {
		c.report("P6", "%d nodes and hosts are disrupted, the limit is %d", disrupted, c.s.o.Limits.MaxDisrupted)
	}
}

// checkRollBackOrder checks P2: the latest stage is rolled back first, and an earlier one only after each node of the
// later one has reported that it is back, is unreachable, or must have fallen back on its own.
func (c *check) checkRollBackOrder(effects []rollout.Effect) {
	rolledBack := map[string]string{}
	for _, e := range effects {
		if e.Kind == rollout.Assign && c.owner[e.Node] != "" {
			rolledBack[e.Node] = c.owner[e.Node]
			c.changed[e.Node] = c.s.now
			c.owner[e.Node] = ""
		}
	}
	for name, id := range rolledBack {
		for other, owner := range c.owner {
			if owner == id && c.stage[other] > c.stage[name] {
				c.report("P2", "%s of stage %d is rolled back before %s of stage %d", name, c.stage[name], other, c.stage[other])
				return
			}
		}
	}
}

// checkRecord checks P2 on a record: a guard that fired or a fallback halts at once if it belongs to the current
// treatment.
func (c *check) checkRecord(s *simulation, r rollout.Record) {
	root := s.replicas[0]
	site, assigned := c.s.nodeByNumber(r.Node).site, root.Plan().Assigned(r.Node)
	trial := root.Plan().Rollout(trialID)
	trialContinues := func(round uint64, policy rollout.Hash) bool {
		return assigned.Trial && round == assigned.Round && policy == assigned.Policy && policy == trialHash && trial.Phase < rollout.Halting
	}
	if r.Sequence > c.newest[r.Node].Sequence {
		c.newest[r.Node] = r
		if r.OutOfService > 0 {
			c.maintenanceReported[site] = s.now
		}
		if r.Status.Fallback > rollout.LeaseExpired && trialContinues(r.Status.Round, assigned.Policy) {
			c.report("P2", "%s fell back on its own (%v) and %s continues", r.Node, r.Status.Fallback, trial.ID)
		}
	}
	for _, f := range r.Fired {
		if trialContinues(f.Round, f.Policy) {
			c.report("P2", "a guard fired at %s and %s continues", r.Node, trial.ID)
		}
	}
	if c.received[r.Node] == nil {
		c.received[r.Node] = &sliceSet{}
	}
	for _, e := range r.Slices {
		if c.received[r.Node].add(e.Slice) {
			c.countEvidence(e, root)
		}
	}
	if len(r.Fired) > 0 || r.Status.Fallback > rollout.LeaseExpired {
		c.checkPhases(false)
	}
}

// countEvidence counts the evidence that may be judged.
func (c *check) countEvidence(e rollout.Evidence, root rootReplica) {
	windowNumber := e.Slice / uint64(c.s.o.Limits.WindowSlices)
	if len(e.Counts) > 0 && c.s.o.Nodes <= maxInspectedNodes {
		c.offered[nodeWindow{e.Node, windowNumber}] += float64(e.Counts[0].Offered)
	}
	if c.openWindows[windowNumber] == nil {
		c.openWindows[windowNumber] = map[string]int{}
		delete(c.openWindows, windowNumber-8)
	}
	n := c.s.nodeByNumber(e.Node)
	begin := time.Duration(windowNumber) * time.Duration(c.s.o.Limits.WindowSlices) * c.s.o.Limits.Slice
	at, changed := c.changed[e.Node]
	inMaintenance := anyAt(c.s.world.maintenance[n.site], time.Duration(e.Slice)*c.s.o.Limits.Slice)
	l := c.s.o.Limits
	enough := slices.ContainsFunc(e.Counts, func(k rollout.Counts) bool { return k.Offered*uint64(l.WindowSlices) >= l.MinRequests/2 })
	if e.Policy != trialHash || inMaintenance || !enough || changed && at > begin {
		return
	}
	c.openWindows[windowNumber][e.Node]++
	if r := root.Plan().Rollout(trialID); r != nil {
		if c.usableSlices[r.ID] == nil {
			c.usableSlices[r.ID] = map[string]int{}
		}
		c.usableSlices[r.ID][e.Node]++
		c.lastEvidence[r.ID] = c.s.now
	}
}

func (s *simulation) nodeByNumber(name string) *node {
	var i int
	for _, d := range name[len("node-"):] {
		i = 10*i + int(d-'0')
	}
	return s.nodes[i]
}

// checkLog checks P1, P3, P4 and P7 on the log entries of a rollout since the last check.
func (c *check) checkLog(r *rollout.Rollout) {
	for _, e := range r.Log[min(c.logLength[r.ID], len(r.Log)):] {
		switch e.Event {
		case "started", "resumed", "ended by force":
			c.beginStage(r.ID)
		case "ended on evidence":
			c.checkStageEnd(r, e)
			c.beginStage(r.ID)
		}
		if e.Event == "halt: regression" && r.ID == trialID && !c.losesMoreThan(0) {
			c.report("P1", "halted for a regression that does not exist: %s", e.Why)
		}
		if e.Event == "halt: guard" && c.lastFired < c.resumedAt {
			c.report("P7", "halted by a guard that fired before an operator resumed it: %s", e.Why)
		}
		for i, w := range c.expectedLog {
			if len(e.Event) >= 4 && (e.Event[:4] == w.Event[:4] || w.Event == "force" && e.Event == "ended by force" ||
				w.Event == "resume" && e.Event == "resumed") && e.By == w.By && e.Why == w.Why {
				c.expectedLog = slices.Delete(c.expectedLog, i, i+1)
				break
			}
		}
	}
	c.logLength[r.ID] = len(r.Log)
	if len(c.expectedLog) > 0 && r.ID == trialID {
		c.report("P7", "%s by %s (%s) is not recorded", c.expectedLog[0].Event, c.expectedLog[0].By, c.expectedLog[0].Why)
	}
}

func (c *check) beginStage(id string) {
	c.stageStart[id], c.lastEvidence[id] = c.s.now, c.s.now
	c.usableSlices[id] = map[string]int{}
	l := c.s.o.Limits
	for n, nodes := range c.openWindows { // windows that are still open count for the new stage
		if id == trialID && n >= uint64((c.s.now-l.Slice)/(l.Slice*time.Duration(l.WindowSlices))) {
			for name, usable := range nodes {
				c.usableSlices[id][name] += usable
			}
		}
	}
}

// losesMoreThan reports whether the trial loses more than the given fraction of the requests of any class.
func (c *check) losesMoreThan(than float64) bool {
	return slices.ContainsFunc(c.s.o.ExtraLoss[:], func(l float64) bool { return l > than })
}

// checkStageEnd checks that a stage ends only on evidence about each class and about the nodes that it treats.
func (c *check) checkStageEnd(r *rollout.Rollout, e rollout.LogEntry) {
	if r.ID != trialID {
		return
	}
	const minWindows = 5 // windows that the e-process needs to reach 20 at a factor of 1.9 per window, rounded up
	l := c.s.o.Limits
	if c.s.now-c.stageStart[r.ID] < minWindows*time.Duration(l.WindowSlices)*l.Slice {
		c.report("P1", "stage %d ends after %v", e.Stage, c.s.now-c.stageStart[r.ID])
	}
	if c.s.o.Scenario == Deaf {
		c.report("P3", "stage %d ends although no treated node is reachable", e.Stage)
	}
	treated, reported := 0, 0 // totals over all stages so far
	for stage, names := range r.Targets[:e.Stage+1] {
		addedByStage, reportedOfStage := 0, 0
		for _, name := range names {
			if o := c.owner[name]; o == "" || o == r.ID {
				addedByStage++
				if c.usableSlices[r.ID][name] > 0 {
					reportedOfStage++
				}
			}
		}
		treated, reported = treated+addedByStage, reported+reportedOfStage
		if rollout.Stage(stage) == e.Stage && float64(reportedOfStage) < l.Coverage*float64(addedByStage) {
			c.report("P3", "stage %d ends, and of the %d nodes that it adds %d have reported", e.Stage, addedByStage, reportedOfStage)
		}
	}
	if float64(reported) < l.Coverage*float64(treated) {
		c.report("P3", "stage %d ends, and of %d nodes %d have reported", e.Stage, treated, reported)
	}
	if c.losesMoreThan(0.1) {
		gains := slices.ContainsFunc(c.s.o.ExtraLoss[:], func(l float64) bool { return l < 0 })
		c.report(map[bool]string{false: "P1", true: "P4"}[gains],
			"stage %d ends although the trial has additional losses by class of %v", e.Stage, c.s.o.ExtraLoss)
	}
}

// checkHalted checks P2: after a halt every node is assigned the good policy, an unreachable node too, and applies it
// once it is reachable.
func (c *check) checkHalted(r *rollout.Rollout, root rootReplica) {
	for _, n := range c.s.nodes {
		if a := root.SitePolicies(c.s.world.siteNames[n.site]).Assigned(n.name, nil); a.Policy == r.Policy {
			c.report("P2", "%s is halted, and %s is assigned its policy", r.ID, n.name)
			return
		}
	}
	for _, n := range c.s.nodes {
		if n.appliedPolicy == r.Policy && n.rootAnsweredAt > c.changed[n.name] {
			c.report("P2", "%s is halted, and %s applies its policy", r.ID, n.name)
			return
		}
	}
}

// checkSlice checks the nodes and the time without evidence at the end of a slice.
func (c *check) checkSlice(s *simulation) {
	l := s.o.Limits
	for _, n := range s.nodes {
		if n.appliedPolicy != trialHash {
			continue
		}
		if n.starts >= l.MaxCrashes && n.policy.Policy() == trialHash {
			c.report("P5", "%s was started %d times under the trial and still applies it", n.name, n.starts)
		}
		if s.now-n.rootAnsweredAt > l.TrialLease+2*l.Slice {
			c.report("P5", "%s has received nothing since %v and applies the trial", n.name, n.rootAnsweredAt)
		}
	}
	for _, site := range s.sites {
		if !site.halted[trialID] && c.haltedSince[site.name] == 0 {
			continue
		} else if c.haltedSince[site.name] == 0 {
			c.haltedSince[site.name] = s.now
		}
		for _, n := range s.nodes {
			if s.sites[n.site] == site && n.appliedPolicy == trialHash && s.now > c.haltedSince[site.name] {
				c.report("P7", "%s has halted the trial, and %s applies it", site.name, n.name)
			}
		}
	}
	c.checkState(s)
	r := s.trial()
	if r == nil {
		return
	}
	if r.Phase == rollout.Running {
		if idle := s.now - c.lastEvidence[trialID]; idle > l.MaxHold+4*time.Hour {
			c.report("P3", "no evidence for %v, and the trial continues", idle)
		}
		for _, name := range r.Observed {
			if c.usableSlices[trialID][name] == 0 {
				c.report("P6", "the evidence of %s counts although its zone is in maintenance", name)
				break
			}
		}
	}
}

// maxInspectedNodes is the largest number of nodes for which the encoded state is inspected.
const maxInspectedNodes = 50

// checkState checks T1 on the encoded state: every 13th slice, and only in small provinces.
func (c *check) checkState(s *simulation) {
	if s.o.Nodes > maxInspectedNodes || uint64(s.now/s.o.Limits.Slice)%13 != 0 {
		return
	}
	text := s.replicas[0].Encode()
	var state struct { // the field names are those of the encoded state
		Taken map[string]struct{ Seen rollout.NodeStatus }
		Plan  struct {
			Open []struct {
				Number uint64
				Nodes  map[string]struct {
					Sums map[string]struct{ Offered float64 }
				}
			}
		}
	}
	from, to := bytes.IndexByte(text, '{'), bytes.LastIndexByte(text, '}')
	if err := json.Unmarshal(text[from:to+1], &state); err != nil {
		c.report("T1", "%v", err)
	}
	for name, k := range state.Taken {
		if k.Seen != c.newest[name].Status {
			c.report("T1", "%s reported %+v, and the state has %+v", name, c.newest[name].Status, k.Seen)
		}
	}
	for _, sp := range state.Plan.Open {
		for name, sums := range sp.Nodes {
			if got, want := sums.Sums[classes[0].name+"\x1f"].Offered, c.offered[nodeWindow{name, sp.Number}]; got > want {
				c.report("T1", "%s received %v requests in window %d, and the state has %v", name, want, sp.Number, got)
			}
		}
	}
}
