package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Command is one entry about rollouts in the Raft log. Exactly one of the pointers is set. At is the leader's Unix time and
// never decreases from one command to the next.
type Command struct {
	At          time.Duration   `json:"at"`
	Limits      *Limits         `json:"limits,omitempty"`
	Tree        *Tree           `json:"tree,omitempty"`      // the complete tree of sites below
	Maintenance *Maintenance    `json:"work,omitempty"`      // all zones with a host in maintenance
	Start       *Start          `json:"start,omitempty"`     // by an operator
	Halt        *Halt           `json:"halt,omitempty"`      // by an operator, or by the leader with a cause that the evidence confirms
	Resume      *OperatorAction `json:"resume,omitempty"`    // by an operator: run again from the first stage
	Force       *OperatorAction `json:"force,omitempty"`     // by an operator: end the stage without evidence
	Evidence    *Evidence       `json:"evidence,omitempty"`  // from a node
	Status      *NodeStatus     `json:"seen,omitempty"`      // the policy that a node applies
	Unreachable *NodeName       `json:"away,omitempty"`      // a node has stopped reporting
	Reachable   *NodeName       `json:"back,omitempty"`      // the node reports again
	Close       *Close          `json:"close,omitempty"`     // by the leader: an observation window is over
	Treat       *Treat          `json:"treat,omitempty"`     // by the leader: these nodes switch to the trial
	Advance     *StageRef       `json:"advance,omitempty"`   // by the leader: the stage has the evidence it needs
	RollBack    *StageRef       `json:"take_back,omitempty"` // by the leader: the nodes of this stage return to the good policy
	Finish      *StageRef       `json:"finish,omitempty"`    // by the leader: completely rolled back, or applied by all nodes
}

type (
	// Tree is the tree of sites that policies are rolled out to, sorted by name; parents and children come in any order.
	Tree struct {
		Sites []Site `json:"sites"`
	}
	// Site is a site of the tree. A site with nodes is a building, the site above it a regency.
	Site struct {
		Name   string     `json:"name"`
		Parent string     `json:"parent,omitempty"`
		Nodes  []TreeNode `json:"nodes,omitempty"` // sorted by name
	}
	// TreeNode is a node and its zone.
	TreeNode struct {
		Name string `json:"name"`
		Zone string `json:"zone,omitempty"`
	}
	// Maintenance lists the zones with a host in maintenance, sorted.
	Maintenance struct {
		Zones []string `json:"zones"`
	}
	// Start starts a rollout. Repeating it with the same ID and policy has no effect.
	Start struct {
		ID     string          `json:"id"`
		Policy json.RawMessage `json:"policy"`
		By     string          `json:"by"`
		Why    string          `json:"why"`
	}
	// Halt halts a rollout, which is then rolled back.
	Halt struct {
		ID    string `json:"id"`
		Cause Cause  `json:"cause"`
		By    string `json:"by,omitempty"`
		Why   string `json:"why,omitempty"`
	}
	// OperatorAction is an action of an operator on a rollout, with its reason.
	OperatorAction struct {
		ID    string `json:"id"`
		Stage Stage  `json:"stage,omitempty"` // the stage to force; the action is refused in any other stage
		By    string `json:"by"`
		Why   string `json:"why"`
	}
	// NodeStatus says which policy a node applies, the round in which the policy was assigned and, if the node fell back on its
	// own, why.
	NodeStatus struct {
		Node     string   `json:"node"`
		Round    uint64   `json:"round"`
		Policy   Hash     `json:"policy"`
		Fallback Fallback `json:"fell,omitempty"`
	}
	// NodeName names a node.
	NodeName struct {
		Node string `json:"node"`
	}
	// Close closes the windows up to one.
	Close struct {
		Window uint64 `json:"spell"`
	}
	// Treat names the nodes that switch to the trial. OutOfService is the number of hosts and nodes out of service for
	// maintenance, as known to the leader.
	Treat struct {
		ID           string   `json:"id"`
		Stage        Stage    `json:"stage"`
		Nodes        []string `json:"nodes"`
		OutOfService int      `json:"out"`
	}
	// StageRef identifies the rollout and the stage that a command of the leader applies to.
	StageRef struct {
		ID    string `json:"id"`
		Stage Stage  `json:"stage"`
	}
)

// Cause is the reason why a rollout was halted.
type Cause uint8

// The causes.
const (
	None       Cause = iota
	Operator         // by an operator
	Guard            // a crash, a crash loop, or a guard of a rule
	Regression       // the evidence of a class
	Unproven         // held for too long, or undecided for too long
	Superseded       // another rollout has completed, and its policy is now the good one
	causeCount
)

var causeNames = [causeCount]string{"none", "operator", "guard", "regression", "unproven", "overtaken"}

func (c Cause) String() string { return causeNames[c] }

// Phase is the phase of a rollout.
type Phase uint8

// The phases.
const (
	Running    Phase = iota // in a stage
	Completing              // all stages have ended; the nodes held back as controls switch to the policy
	Halting                 // nodes are rolled back, the latest stage first
	Halted                  // all nodes are rolled back
	Done                    // its policy is the good one
	phaseCount
)

var phaseNames = [phaseCount]string{"running", "filling", "halting", "halted", "done"}

func (p Phase) String() string { return phaseNames[p] }

// Active reports whether the rollout may have treated nodes.
func (p Phase) Active() bool { return p <= Halting }

// EffectKind is the kind of an effect.
type EffectKind uint8

// The kinds of effects.
const (
	Assign  EffectKind = iota // a node has to apply another policy
	Notify                    // operators are notified
	Refused                   // the command was refused
)

// Effect is a consequence of a command.
type Effect struct {
	Kind   EffectKind
	ID     string // of the rollout
	Node   string
	Policy Hash
	Cause  Cause
	Why    string
	Err    *Refusal
}

// Plan is the replicated state machine of the rollouts. Use NewPlan or Decode.
type Plan struct {
	s        state
	topology topology // derived from the tree; not encoded
}

type state struct {
	Applied          uint64                    `json:"applied"`
	At               time.Duration             `json:"at"`
	Limits           Limits                    `json:"limits"`
	Tree             Tree                      `json:"tree"`
	Good             Hash                      `json:"good"`
	Texts            map[Hash]json.RawMessage  `json:"texts"`
	Nodes            map[string]*node          `json:"nodes"`
	MaintenanceZones []string                  `json:"work"`
	MaintenanceEnded map[string]time.Duration  `json:"worked"` // end of the latest maintenance, by zone
	SlowThresholds   map[string]*slowThreshold `json:"edges"`  // by class
	Typical          map[string]*typicalValue  `json:"usual"`  // by cell
	OpenWindows      []*window                 `json:"open"`
	NextWindow       uint64                    `json:"next"` // the first window that is not closed
	Rollouts         []*Rollout                `json:"rollouts"`
}

type node struct {
	Rollout     string               `json:"trial"` // the rollout that treats the node, "" for none
	Round       uint64               `json:"round"` // log index of the last change of its policy
	Changed     time.Duration        `json:"changed"`
	Confirmed   bool                 `json:"told"` // the node has confirmed that round
	Unreachable bool                 `json:"away"`
	Baselines   map[string]*baseline `json:"base"` // by cell
}

// baseline is the value of a node in a cell before it is treated.
type baseline struct {
	Windows      int       `json:"spells"`
	Recent       []float64 `json:"recent"` // values of the windows, oldest first, each less the median over all nodes in that window
	Median       float64   `json:"mid"`    // of Recent; a disturbance of a few hours does not move it
	MeanRequests float64   `json:"size"`   // mean number of requests in a window
}

// Rollout is the rollout of one policy.
type Rollout struct {
	ID         string        `json:"id"`
	Policy     Hash          `json:"policy"`
	Phase      Phase         `json:"phase"`
	Stage      Stage         `json:"stage"`
	Attempt    int           `json:"attempt"`
	StageBegan time.Duration `json:"begun"` // start of the present stage
	HeldSince  time.Duration `json:"held"`  // start of a hold: the last time that no evidence was missing, the stage began or nodes switched
	Missing    string        `json:"missing"`
	Cause      Cause         `json:"cause"`
	Log        []LogEntry    `json:"log"`
	Targets    [][]string    `json:"targets"` // the nodes added by each stage; as the last element, those held back as controls
	Treated    []Treatment   `json:"treated"` // in the order in which the nodes switched
	Cells      []Cell        `json:"cells"`
	KnownCells int           `json:"known"`   // number of cells known when the stage began
	Observed   []string      `json:"counted"` // nodes with usable evidence in this stage, sorted
}

// Treatment is a node that switched to the trial, with the stage that added it.
type Treatment struct {
	Node       string        `json:"node"`
	Stage      Stage         `json:"stage"` // equal to Stages for a node that was held back as a control
	RolledBack bool          `json:"back"`
	Changed    time.Duration `json:"at"` // time of the last change
}

// LogEntry records an event of a rollout, who caused it and why.
type LogEntry struct {
	At    time.Duration `json:"at"`
	Event string        `json:"what"`
	Stage Stage         `json:"stage"`
	By    string        `json:"by,omitempty"`
	Why   string        `json:"why,omitempty"`
}

// Cell holds the two tests of a class, a tenant and a metric in the present stage.
type Cell struct {
	Key         string   `json:"key"`
	Inferior    EProcess `json:"worse"`
	NonInferior EProcess `json:"fine"`
	LastWindow  uint64   `json:"last"`  // the last window with a payoff
	LastPayoff  float64  `json:"value"` // last payoff of Inferior, for display
}

// NewPlan returns an empty plan: default limits, no sites, and the empty policy as the good one.
func NewPlan() *Plan {
	none := EmptyPolicy()
	p := &Plan{s: state{Limits: Defaults(), Good: none.Hash(), Texts: map[Hash]json.RawMessage{none.Hash(): none.Text()},
		Nodes: map[string]*node{}, MaintenanceEnded: map[string]time.Duration{},
		SlowThresholds: map[string]*slowThreshold{}, Typical: map[string]*typicalValue{}}}
	p.topology = newTopology(p.s.Tree)
	return p
}

// Good returns the hash of the good policy.
func (p *Plan) Good() Hash { return p.s.Good }

// Text returns the canonical text of the good policy or of a rollout's policy, or nil.
func (p *Plan) Text(h Hash) []byte { return slices.Clone(p.s.Texts[h]) }

// Applied returns the log index up to which commands have been applied.
func (p *Plan) Applied() uint64 { return p.s.Applied }

// Rollouts returns all rollouts in the order in which they started. The caller must not modify them.
func (p *Plan) Rollouts() []*Rollout { return p.s.Rollouts }

// Rollout returns the rollout with an ID, or nil. The caller must not modify it.
func (p *Plan) Rollout(id string) *Rollout {
	i := slices.IndexFunc(p.s.Rollouts, func(r *Rollout) bool { return r.ID == id })
	if i < 0 {
		return nil
	}
	return p.s.Rollouts[i]
}

// Assignment is the policy that a node has to apply. The node falls back from a trial when it receives no renewal for Lease;
// 0 means that there is no lease.
type Assignment struct {
	Round  uint64
	Policy Hash
	Good   Hash // the policy to fall back to
	Trial  bool
	Lease  time.Duration
}

// Assigned returns the assignment of a node. Unknown nodes get the good policy.
func (p *Plan) Assigned(name string) Assignment {
	a := Assignment{Policy: p.s.Good, Good: p.s.Good}
	n := p.s.Nodes[name]
	if n == nil {
		return a
	}
	a.Round = n.Round
	if r := p.Rollout(n.Rollout); n.Rollout != "" && r != nil {
		a.Policy, a.Trial, a.Lease = r.Policy, true, p.s.Limits.TrialLease
	}
	return a
}

// Disrupted returns how many nodes are disrupted at a time by a recent change of policy; maintenance has to leave room for
// them in the disruption budget.
func (p *Plan) Disrupted(at time.Duration) (n int) {
	for _, node := range p.s.Nodes {
		if node.Changed > 0 && at-node.Changed < p.s.Limits.Settle {
			n++
		}
	}
	return n
}

// Apply applies one entry of the log. Entries come in order; an index that was applied already has no effect.
func (p *Plan) Apply(index uint64, c Command) []Effect {
	if index <= p.s.Applied {
		return nil
	}
	p.s.Applied = index
	p.s.At = max(p.s.At, c.At)
	if c.Evidence == nil && (c.Limits == nil || c.Limits.Check() == nil) && (c.Start == nil || json.Valid(c.Start.Policy)) {
		c = clone(c) // shares nothing with the caller, and its JSON texts are in the form that Encode writes
	}
	t := transition{Plan: p, logIndex: index, at: p.s.At}
	if r := p.Check(c); r != nil {
		t.effects = append(t.effects, Effect{Kind: Refused, ID: c.rolloutID(), Why: r.Why, Err: r})
		return t.effects
	}
	switch {
	case c.Limits != nil:
		t.setLimits(*c.Limits)
	case c.Tree != nil:
		t.setTree(*c.Tree)
	case c.Maintenance != nil:
		t.setMaintenance(merged(nil, c.Maintenance.Zones))
	case c.Start != nil:
		t.start(*c.Start)
	case c.Halt != nil:
		t.haltCommand(*c.Halt)
	case c.Resume != nil:
		t.resume(*c.Resume)
	case c.Force != nil:
		t.force(*c.Force)
	case c.Evidence != nil:
		t.addEvidence(*c.Evidence)
	case c.Status != nil:
		t.updateStatus(*c.Status)
	case c.Unreachable != nil:
		t.setUnreachable(c.Unreachable.Node, true)
	case c.Reachable != nil:
		t.setUnreachable(c.Reachable.Node, false)
	case c.Close != nil:
		t.closeWindows(c.Close.Window)
	case c.Treat != nil:
		t.treat(*c.Treat)
	case c.Advance != nil:
		if r := p.Rollout(c.Advance.ID); r != nil && r.Phase == Running && r.Stage == c.Advance.Stage && p.proven(r) {
			t.advance(r, "ended on evidence", "", "")
		}
	case c.RollBack != nil:
		t.rollBack(*c.RollBack)
	case c.Finish != nil:
		t.finish(*c.Finish)
	}
	return t.effects
}

// setLimits sets the limits. If the slice or window length changes, windows are numbered differently, so that open windows and
// all baselines are dropped.
func (t *transition) setLimits(l Limits) {
	if l.Slice != t.s.Limits.Slice || l.WindowSlices != t.s.Limits.WindowSlices {
		t.s.OpenWindows, t.s.NextWindow, t.s.Typical = nil, 0, map[string]*typicalValue{}
		for _, n := range t.s.Nodes {
			n.Baselines = map[string]*baseline{}
		}
	}
	t.s.Limits = l
}

// transition is the application of one command.
type transition struct {
	*Plan
	logIndex uint64 // of the command
	at       time.Duration
	effects  []Effect
}

func (t *transition) refuse(id, why, do string) {
	t.effects = append(t.effects, Effect{Kind: Refused, ID: id, Why: why, Err: &Refusal{why, do}})
}

func (t *transition) logEvent(r *Rollout, event, by, why string) {
	r.Log = append(r.Log, LogEntry{t.at, event, r.Stage, by, why})
	t.effects = append(t.effects, Effect{Kind: Notify, ID: r.ID, Cause: r.Cause, Why: event + " " + why})
}

// assign changes a node's policy.
func (t *transition) assign(name, trial string) {
	n := t.s.Nodes[name]
	n.Rollout, n.Round, n.Changed, n.Confirmed = trial, t.logIndex, t.at, false
	t.effects = append(t.effects, Effect{Kind: Assign, ID: trial, Node: name, Policy: t.Assigned(name).Policy})
}

func (p *Plan) active() bool {
	return slices.ContainsFunc(p.s.Rollouts, func(r *Rollout) bool { return r.Phase.Active() })
}

// setMaintenance sets the zones that have a host in maintenance. It taints the windows that are open now, even if the end of
// the maintenance is reported later, and those that are opened later but began before the maintenance ended.
func (t *transition) setMaintenance(zones []string) {
	maps.DeleteFunc(t.s.MaintenanceEnded, func(_ string, ended time.Duration) bool {
		return t.windowAt(ended)+maxOpenWindows < t.s.NextWindow
	})
	for _, z := range t.s.MaintenanceZones {
		if _, still := slices.BinarySearch(zones, z); !still {
			t.s.MaintenanceEnded[z] = t.at
		}
	}
	t.s.MaintenanceZones = zones
	for _, w := range t.s.OpenWindows {
		w.TaintedZones = merged(w.TaintedZones, zones)
	}
}

// nodeNames returns the names of all nodes of a tree, or why the tree is invalid.
func (t Tree) nodeNames() (map[string]bool, *Refusal) {
	seen := map[string]bool{}
	for _, s := range t.Sites {
		for _, n := range s.Nodes {
			if seen[n.Name] || n.Name == "" {
				return nil, &Refusal{fmt.Sprintf("the node %q is in the tree twice or has no name", n.Name), "correct the site file"}
			}
			seen[n.Name] = true
		}
	}
	return seen, nil
}

// setTree sets the tree. Nodes that are no longer in it are forgotten.
func (t *transition) setTree(tree Tree) {
	seen, _ := tree.nodeNames()
	t.s.Tree = tree
	t.topology = newTopology(t.s.Tree)
	for name := range seen {
		if t.s.Nodes[name] == nil {
			t.s.Nodes[name] = &node{Baselines: map[string]*baseline{}}
		}
	}
	maps.DeleteFunc(t.s.Nodes, func(name string, _ *node) bool { return !seen[name] })
}

// rolloutID returns the ID of the rollout that an operator's command applies to, "" for other commands.
func (c Command) rolloutID() string {
	switch {
	case c.Start != nil:
		return c.Start.ID
	case c.Halt != nil:
		return c.Halt.ID
	case c.Resume != nil:
		return c.Resume.ID
	case c.Force != nil:
		return c.Force.ID
	}
	return ""
}

// Check returns why an operator's command, limits or a tree would be refused now, or nil. It changes nothing.
func (p *Plan) Check(c Command) *Refusal {
	switch {
	case c.Limits != nil:
		return p.checkLimits(*c.Limits)
	case c.Tree != nil:
		_, r := c.Tree.nodeNames()
		return r
	case c.Start != nil:
		return p.checkStart(*c.Start)
	case c.Halt != nil:
		return p.checkHalt(*c.Halt)
	case c.Resume != nil:
		return p.checkResume(*c.Resume)
	case c.Force != nil:
		return p.checkForce(*c.Force)
	}
	return nil
}

func (p *Plan) checkLimits(l Limits) *Refusal {
	if err := l.Check(); err != nil {
		return err.(*Refusal)
	}
	if p.active() && (l.Slice != p.s.Limits.Slice || l.WindowSlices != p.s.Limits.WindowSlices) {
		return &Refusal{"slice and spell cannot change while a rollout is active", "halt it or wait for its end"}
	}
	return nil
}

func (p *Plan) checkStart(c Start) *Refusal {
	policy, err := Parse(c.Policy)
	switch r := p.Rollout(c.ID); {
	case err != nil:
		return &Refusal{err.Error(), err.(*Fault).Action()}
	case r != nil && r.Policy == policy.Hash():
	case r != nil:
		return &Refusal{"another rollout has this ID", "choose another ID"}
	case c.ID == "" || c.By == "" || c.Why == "":
		return &Refusal{"an ID, the operator and a reason are required", "give all three"}
	case policy.Hash() == p.s.Good:
		return &Refusal{"this policy is already the good one", "nothing is left to do"}
	case slices.ContainsFunc(p.s.Rollouts, func(r *Rollout) bool { return r.Phase.Active() && r.Policy == policy.Hash() }):
		return &Refusal{"an active rollout already has this policy", "wait for that rollout, or halt it"}
	case len(p.s.Nodes) == 0:
		return &Refusal{"no node is known", "name the sites in the site file"}
	}
	return nil
}

func (t *transition) start(c Start) {
	policy, err := Parse(c.Policy)
	if err != nil || t.Rollout(c.ID) != nil {
		return // a repetition
	}
	r := &Rollout{ID: c.ID, Policy: policy.Hash(), Log: []LogEntry{}, Targets: t.targets(c.ID)}
	t.s.Texts[policy.Hash()] = policy.Text()
	t.s.Rollouts = append(t.s.Rollouts, r)
	t.prune()
	t.beginAttempt(r)
	t.logEvent(r, "started", c.By, c.Why)
}

// beginAttempt starts the first stage of a new attempt.
func (t *transition) beginAttempt(r *Rollout) {
	r.Attempt++
	r.Phase, r.Stage, r.Cause, r.Treated = Running, OneNode, None, []Treatment{}
	t.beginStage(r)
}

// beginStage starts a stage. No evidence of earlier stages counts in it.
func (t *transition) beginStage(r *Rollout) {
	r.StageBegan, r.HeldSince, r.Missing, r.Observed, r.Cells = t.at, t.at, "it has just begun", []string{}, []Cell{}
	known := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(t.s.Nodes)) {
		for cell, b := range t.s.Nodes[name].Baselines {
			if b.Windows >= t.s.Limits.BaselineWindows {
				known[cell] = true
			}
		}
	}
	for _, cell := range slices.Sorted(maps.Keys(known)) {
		r.Cells = append(r.Cells, Cell{Key: cell})
	}
	r.KnownCells = len(r.Cells)
}

// advance ends a stage.
func (t *transition) advance(r *Rollout, what, by, why string) {
	t.logEvent(r, what, by, why)
	if r.Stage < All {
		r.Stage++
	} else {
		r.Phase = Completing
	}
	t.beginStage(r)
}

func (p *Plan) checkHalt(c Halt) *Refusal {
	switch r := p.Rollout(c.ID); {
	case r == nil:
		return &Refusal{"no rollout has this ID", "see the list of rollouts"}
	case !r.Phase.Active():
		return &Refusal{"the rollout is " + r.Phase.String(), "nothing is left to halt"}
	case c.Cause == Operator && (c.By == "" || c.Why == ""):
		return &Refusal{"the operator and a reason for the halt are required", "give both"}
	}
	return nil
}

func (t *transition) haltCommand(c Halt) {
	switch r := t.Rollout(c.ID); {
	case c.Cause == Operator && r.Phase == Halting:
		t.logEvent(r, "halt by operator, while it is taken back", c.By, c.Why)
		if r.Cause != Guard {
			r.Cause = Operator
		}
	case c.Cause == Operator:
		t.halt(r, Operator, c.By, c.Why)
	case r.Phase == Halting:
	default:
		if cause, reason := t.haltCause(r, t.at); cause != None && cause == c.Cause {
			t.halt(r, cause, "", reason)
		}
	}
}

// halt starts to roll back a rollout.
func (t *transition) halt(r *Rollout, cause Cause, by, why string) {
	r.Phase, r.Cause = Halting, cause
	t.logEvent(r, "halt: "+cause.String(), by, why)
}

func (p *Plan) checkResume(c OperatorAction) *Refusal {
	switch r := p.Rollout(c.ID); {
	case r == nil:
		return &Refusal{"no rollout has this ID", "see the list of rollouts"}
	case c.By == "" || c.Why == "":
		return &Refusal{"the operator and a reason for the resume are required", "give both"}
	case r.Phase != Halted:
		return &Refusal{"the rollout is " + r.Phase.String(), "wait until it is halted"}
	case r.Cause == Guard || r.Cause == Superseded:
		return &Refusal{"it was halted: " + r.Cause.String(), "start a rollout of a corrected policy"}
	case r.Policy == p.s.Good || slices.ContainsFunc(p.s.Rollouts, func(o *Rollout) bool {
		return o != r && o.Phase.Active() && o.Policy == r.Policy
	}):
		return &Refusal{"its policy is already the good one or in an active rollout", "nothing is left to do"}
	}
	return nil
}

func (t *transition) resume(c OperatorAction) {
	r := t.Rollout(c.ID)
	r.Targets = t.targets(r.ID)
	t.beginAttempt(r)
	t.logEvent(r, "resumed", c.By, c.Why)
}

func (p *Plan) checkForce(c OperatorAction) *Refusal {
	switch r := p.Rollout(c.ID); {
	case r == nil:
		return &Refusal{"no rollout has this ID", "see the list of rollouts"}
	case c.By == "" || c.Why == "":
		return &Refusal{"the operator and a reason for the force are required", "give both"}
	case r.Phase != Running:
		return &Refusal{"the rollout is " + r.Phase.String(), "force ends a stage; it never overrides a halt"}
	case r.Stage != c.Stage:
		return &Refusal{"the rollout is in another stage by now", "look up its stage, and force that one if needed"}
	}
	return nil
}

func (t *transition) force(c OperatorAction) {
	t.advance(t.Rollout(c.ID), "ended by force", c.By, c.Why)
}

func (t *transition) updateStatus(c NodeStatus) {
	n := t.s.Nodes[c.Node]
	if n == nil || c.Round != n.Round {
		return
	}
	want := t.Assigned(c.Node)
	n.Confirmed = n.Confirmed || c.Policy == want.Policy
	if r := t.Rollout(n.Rollout); want.Trial && r != nil && r.Phase < Halting &&
		(c.Fallback == TooManyCrashes || c.Fallback == InvalidTrial) {
		t.halt(r, Guard, "", c.Node+" fell back by itself: "+c.Fallback.String())
	}
}

func (t *transition) setUnreachable(name string, unreachable bool) {
	if n := t.s.Nodes[name]; n != nil {
		n.Unreachable = unreachable
	}
}

// disruptionBudget returns how many more nodes may be disrupted now, if outOfService hosts and nodes are out of service for
// maintenance.
func (p *Plan) disruptionBudget(at time.Duration, outOfService int) int {
	if p.s.Limits.MaxDisrupted == 0 {
		return len(p.s.Nodes)
	}
	return p.s.Limits.MaxDisrupted - outOfService - p.Disrupted(at)
}

func (t *transition) treat(c Treat) {
	r := t.Rollout(c.ID)
	if r == nil || r.Stage != c.Stage || len(c.Nodes) > t.disruptionBudget(t.at, c.OutOfService) {
		return
	}
	allowed := t.treatable(r)
	if slices.ContainsFunc(c.Nodes, func(name string) bool { return !slices.Contains(allowed, name) }) {
		return
	}
	stage := r.Stage
	if r.Phase == Completing {
		stage = Stage(Stages)
	}
	for _, name := range c.Nodes {
		t.assign(name, r.ID)
		r.Treated = append(r.Treated, Treatment{Node: name, Stage: stage, Changed: t.at})
	}
	r.HeldSince = t.at
}

// treatable returns the nodes that a rollout may treat now, in the order of its targets.
func (p *Plan) treatable(r *Rollout) (list []string) {
	var upTo int
	switch {
	case r.Phase == Running:
		upTo = int(r.Stage) + 1
	case r.Phase == Completing:
		upTo = Stages + 1
	}
	for _, names := range r.Targets[:upTo] {
		for _, name := range names {
			if n := p.s.Nodes[name]; n != nil && n.Rollout == "" && !n.Unreachable &&
				(r.Phase == Completing || p.hasBaseline(n)) { // without a baseline the node could not be compared
				list = append(list, name)
			}
		}
	}
	return list
}

// hasBaseline reports whether a node has a complete baseline in every cell in which it typically has enough requests, and has
// at least one such cell.
func (p *Plan) hasBaseline(n *node) bool {
	found := false
	for _, b := range n.Baselines {
		if b.MeanRequests >= float64(p.s.Limits.MinRequests) {
			if b.Windows < p.s.Limits.BaselineWindows {
				return false
			}
			found = true
		}
	}
	return found
}

// latestStage returns the last stage that has nodes not rolled back yet.
func (r *Rollout) latestStage() (last Stage, ok bool) {
	for _, t := range r.Treated {
		if !t.RolledBack {
			last, ok = max(last, t.Stage), true
		}
	}
	return last, ok
}

// rollbackConfirmed reports whether every node that was rolled back is taken to apply the good policy: it has confirmed this, it
// is unreachable, or a trial lease has expired since the rollback.
func (p *Plan) rollbackConfirmed(r *Rollout, at time.Duration) bool {
	for _, tr := range r.Treated {
		n := p.s.Nodes[tr.Node]
		if tr.RolledBack && n != nil && n.Rollout == "" && !n.Confirmed && !n.Unreachable && at-tr.Changed < p.s.Limits.TrialLease {
			return false
		}
	}
	return true
}

// completionConfirmed reports whether every node has switched and is taken to apply the trial: it has confirmed this, it is
// unreachable, or it had the time of a lease to report why it does not.
func (p *Plan) completionConfirmed(r *Rollout, at time.Duration) bool {
	for _, tr := range r.Treated {
		n := p.s.Nodes[tr.Node]
		if n != nil && n.Rollout == r.ID && !n.Confirmed && !n.Unreachable && at-tr.Changed < p.s.Limits.TrialLease {
			return false
		}
	}
	return len(p.treatable(r)) == 0
}

func (t *transition) rollBack(c StageRef) {
	r := t.Rollout(c.ID)
	if r == nil || r.Phase != Halting {
		return
	}
	if last, ok := r.latestStage(); !ok || last != c.Stage || !t.rollbackConfirmed(r, t.at) {
		return
	}
	for i := range r.Treated {
		if tr := &r.Treated[i]; !tr.RolledBack && tr.Stage == c.Stage {
			tr.RolledBack, tr.Changed = true, t.at
			if n := t.s.Nodes[tr.Node]; n != nil && n.Rollout == r.ID {
				t.assign(tr.Node, "")
			}
		}
	}
	r.Log = append(r.Log, LogEntry{t.at, "taken back", c.Stage, "", ""})
}

func (t *transition) finish(c StageRef) {
	r := t.Rollout(c.ID)
	switch {
	case r == nil:
	case r.Phase == Halting:
		if _, ok := r.latestStage(); !ok && t.rollbackConfirmed(r, t.at) {
			r.Phase = Halted
			t.logEvent(r, "every node is on the good policy", "", "")
		}
	case r.Phase == Completing && t.completionConfirmed(r, t.at):
		r.Phase, t.s.Good = Done, r.Policy
		for _, n := range t.s.Nodes {
			if n.Rollout == r.ID {
				n.Rollout = "" // the node applies the same policy as before, now as the good one
				n.Round, n.Confirmed = t.logIndex, false
			}
		}
		t.logEvent(r, "done: its policy is the good one", "", "")
		for _, o := range t.s.Rollouts {
			if o.Phase.Active() && o.Phase != Halting {
				t.halt(o, Superseded, "", "by "+r.ID)
			}
		}
	}
}

// maxEndedRollouts is how many rollouts are kept after their end.
const maxEndedRollouts = 32

// prune removes the oldest rollouts that have ended, and texts that are no longer referenced.
func (t *transition) prune() {
	ended := 0
	for _, r := range t.s.Rollouts {
		if !r.Phase.Active() {
			ended++
		}
	}
	t.s.Rollouts = slices.DeleteFunc(t.s.Rollouts, func(r *Rollout) bool {
		if r.Phase.Active() || ended <= maxEndedRollouts {
			return false
		}
		ended--
		return true
	})
	maps.DeleteFunc(t.s.Texts, func(h Hash, _ json.RawMessage) bool {
		return h != t.s.Good && !slices.ContainsFunc(t.s.Rollouts, func(r *Rollout) bool { return r.Policy == h })
	})
}

// windowAt returns the number of the window that contains a point in time.
func (p *Plan) windowAt(at time.Duration) uint64 {
	return uint64(at / (p.s.Limits.Slice * time.Duration(p.s.Limits.WindowSlices)))
}

// haltCause returns whether and why a rollout has to be halted on the present evidence.
func (p *Plan) haltCause(r *Rollout, at time.Duration) (Cause, string) {
	if r.Phase != Running && r.Phase != Completing {
		return None, ""
	}
	for i, c := range r.Cells {
		if c.Inferior.Rejects(alphaShare(p.s.Limits.Alpha, r.Attempt, r.KnownCells, i)) {
			return Regression, "the treated are worse: " + cellName(c.Key)
		}
	}
	if r.Phase == Running && at-r.HeldSince > p.s.Limits.MaxHold {
		return Unproven, "held for too long: " + r.Missing
	}
	if r.Phase == Running && p.s.Limits.MaxStageTime > 0 && at-r.StageBegan > p.s.Limits.MaxStageTime {
		return Unproven, "undecided for too long: " + r.Missing
	}
	return None, ""
}

// Next returns what the leader has to propose now, if anything. outOfService is the number of hosts and nodes out of service for
// maintenance. The result depends only on the plan and the arguments, so that a new leader continues where the last one
// stopped.
func (p *Plan) Next(now time.Duration, outOfService int) (Command, bool) {
	now = max(now, p.s.At)
	c := Command{At: now}
	for _, r := range p.s.Rollouts {
		if r.Phase != Halting || !p.rollbackConfirmed(r, now) {
			continue
		}
		if last, ok := r.latestStage(); ok {
			c.RollBack = &StageRef{r.ID, last}
		} else {
			c.Finish = &StageRef{r.ID, r.Stage}
		}
		return c, true
	}
	if current := p.windowAt(now - p.s.Limits.Slice); current > 0 && current > p.s.NextWindow { // one slice of grace for late evidence
		c.Close = &Close{current - 1}
		return c, true
	}
	for _, r := range p.s.Rollouts {
		if cause, _ := p.haltCause(r, now); cause != None {
			c.Halt = &Halt{ID: r.ID, Cause: cause}
			return c, true
		}
		if r.Phase == Running && p.proven(r) {
			c.Advance = &StageRef{r.ID, r.Stage}
			return c, true
		}
	}
	for _, r := range p.s.Rollouts {
		list := p.treatable(r)
		if r.Phase == Completing && p.completionConfirmed(r, now) {
			c.Finish = &StageRef{r.ID, r.Stage}
			return c, true
		}
		if budget := p.disruptionBudget(now, outOfService); len(list) > 0 && budget > 0 {
			c.Treat = &Treat{r.ID, r.Stage, list[:min(budget, len(list))], outOfService}
			return c, true
		}
	}
	return Command{}, false
}
