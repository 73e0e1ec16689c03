package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Command is one entry of the council's log about rollouts: one of the pointers is set. At is the leader's time, in Unix
// time, and never falls from one command to the next.
type Command struct {
	At          time.Duration   `json:"at"`
	Limits      *Limits         `json:"limits,omitempty"`
	Tree        *Tree           `json:"tree,omitempty"`      // the sites below, whole
	Maintenance *Maintenance    `json:"work,omitempty"`      // zones with a host in work, whole
	Start       *Start          `json:"start,omitempty"`     // by an operator
	Halt        *Halt           `json:"halt,omitempty"`      // by an operator, or by the leader with a cause that evidence bears out
	Resume      *OperatorAction `json:"resume,omitempty"`    // by an operator: from the first stage once more
	Force       *OperatorAction `json:"force,omitempty"`     // by an operator: the stage ends without evidence
	Evidence    *Evidence       `json:"evidence,omitempty"`  // of a node
	Status      *NodeStatus     `json:"seen,omitempty"`      // what a node goes by
	Unreachable *NodeName       `json:"away,omitempty"`      // a node cannot be heard
	Reachable   *NodeName       `json:"back,omitempty"`      // it is heard again
	Close       *Close          `json:"close,omitempty"`     // by the leader: a spell is over
	Treat       *Treat          `json:"treat,omitempty"`     // by the leader: these nodes go over to the trial
	Advance     *StageRef       `json:"advance,omitempty"`   // by the leader: the stage has its evidence
	RollBack    *StageRef       `json:"take_back,omitempty"` // by the leader: the nodes of this stage go back
	Finish      *StageRef       `json:"finish,omitempty"`    // by the leader: taken back whole, or taken over whole
}

type (
	// Tree is the sites that policies go down, sorted by name, a parent before or after its own.
	Tree struct {
		Sites []Site `json:"sites"`
	}
	// Site is a place of the tree. A site with nodes is a building, the site above it a regency.
	Site struct {
		Name   string     `json:"name"`
		Parent string     `json:"parent,omitempty"`
		Nodes  []TreeNode `json:"nodes,omitempty"` // sorted by name
	}
	// Place is a node and the zone that it stands in.
	TreeNode struct {
		Name string `json:"name"`
		Zone string `json:"zone,omitempty"`
	}
	// Work is the zones with a host in work, sorted.
	Maintenance struct {
		Zones []string `json:"zones"`
	}
	// Start begins a rollout. The same ID and policy once more is the same rollout.
	Start struct {
		ID     string          `json:"id"`
		Policy json.RawMessage `json:"policy"`
		By     string          `json:"by"`
		Why    string          `json:"why"`
	}
	// Halt takes a rollout back.
	Halt struct {
		ID    string `json:"id"`
		Cause Cause  `json:"cause"`
		By    string `json:"by,omitempty"`
		Why   string `json:"why,omitempty"`
	}
	// Note is a word of an operator on a rollout.
	OperatorAction struct {
		ID    string `json:"id"`
		Stage Stage  `json:"stage,omitempty"` // the one that is forced: no other is
		By    string `json:"by"`
		Why   string `json:"why"`
	}
	// Seen says what policy a node goes by, for which round it was told it, and, if it fell back by itself, why.
	NodeStatus struct {
		Node     string   `json:"node"`
		Round    uint64   `json:"round"`
		Policy   Hash     `json:"policy"`
		Fallback Fallback `json:"fell,omitempty"`
	}
	// Name names a node.
	NodeName struct {
		Node string `json:"node"`
	}
	// Close ends the spells up to one.
	Close struct {
		Window uint64 `json:"spell"`
	}
	// Treat names nodes that go over. Out is how many hosts and nodes work has out as the leader knows it.
	Treat struct {
		ID           string   `json:"id"`
		Stage        Stage    `json:"stage"`
		Nodes        []string `json:"nodes"`
		OutOfService int      `json:"out"`
	}
	// Step names a rollout and the stage that the leader means.
	StageRef struct {
		ID    string `json:"id"`
		Stage Stage  `json:"stage"`
	}
)

// Cause is why a rollout was halted.
type Cause uint8

// The causes.
const (
	None       Cause = iota
	Operator         // an operator said so
	Guard            // a crash, a restart loop, a rule's guard
	Regression       // the evidence of a class
	Unproven         // held for too long, or undecided for too long
	Superseded       // another rollout has ended, and its policy is the good one now
	causeCount
)

var causeNames = [causeCount]string{"none", "operator", "guard", "regression", "unproven", "overtaken"}

func (c Cause) String() string { return causeNames[c] }

// Phase is where a rollout stands.
type Phase uint8

// The phases.
const (
	Running    Phase = iota // in a stage
	Completing              // all stages have ended; the nodes that were held back for comparison go over
	Halting                 // nodes are taken back, the latest stage first
	Halted                  // every node is back
	Done                    // its policy is the good one
	phaseCount
)

var phaseNames = [phaseCount]string{"running", "filling", "halting", "halted", "done"}

func (p Phase) String() string { return phaseNames[p] }

// Active says whether a rollout may have nodes of its own.
func (p Phase) Active() bool { return p <= Halting }

// EffectKind names an effect.
type EffectKind uint8

// The effects.
const (
	Assign  EffectKind = iota // a node is to go by another policy
	Notify                    // operators are told
	Refused                   // the command was refused
)

// Effect is one thing that follows from a command.
type Effect struct {
	Kind   EffectKind
	ID     string // of a rollout
	Node   string
	Policy Hash
	Cause  Cause
	Why    string
	Err    *Refusal
}

// Plan is the state that a site's council replicates. Use NewPlan or Decode.
type Plan struct {
	s        state
	topology topology // from the tree; not encoded
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
	MaintenanceEnded map[string]time.Duration  `json:"worked"` // by zone: when its last work ended
	SlowThresholds   map[string]*slowThreshold `json:"edges"`  // by class
	Typical          map[string]*typicalValue  `json:"usual"`  // by cell
	OpenWindows      []*window                 `json:"open"`
	NextWindow       uint64                    `json:"next"` // the first spell that is not closed
	Rollouts         []*Rollout                `json:"rollouts"`
}

type node struct {
	Rollout     string               `json:"trial"` // the rollout that treats it; "": none
	Round       uint64               `json:"round"` // the log's index of the last change of its policy
	Changed     time.Duration        `json:"changed"`
	Confirmed   bool                 `json:"told"` // it has confirmed that round
	Unreachable bool                 `json:"away"`
	Baselines   map[string]*baseline `json:"base"` // by cell
}

// base is what a node was before any rollout.
type baseline struct {
	Windows      int       `json:"spells"`
	Recent       []float64 `json:"recent"` // the value in each, less the median of all nodes in it, the newest last
	Median       float64   `json:"mid"`    // their median: trouble of some hours does not move it
	MeanRequests float64   `json:"size"`   // requests in a spell, on the mean
}

// Rollout is one policy on its way.
type Rollout struct {
	ID         string        `json:"id"`
	Policy     Hash          `json:"policy"`
	Phase      Phase         `json:"phase"`
	Stage      Stage         `json:"stage"`
	Attempt    int           `json:"attempt"`
	StageBegan time.Duration `json:"begun"` // the stage
	HeldSince  time.Duration `json:"held"`  // since when something is missing, or the last time nothing was
	Missing    string        `json:"missing"`
	Cause      Cause         `json:"cause"`
	Log        []LogEntry    `json:"log"`
	Targets    [][]string    `json:"targets"` // of each stage, those that it adds; at last those held back
	Treated    []Treatment   `json:"treated"` // in the order in which they went over
	Cells      []Cell        `json:"cells"`
	KnownCells int           `json:"known"`   // how many of the cells were known when the stage began
	Observed   []string      `json:"counted"` // nodes that spoke in this stage, sorted
}

// Treatment is a node that went over, with the stage that took it.
type Treatment struct {
	Node       string        `json:"node"`
	Stage      Stage         `json:"stage"` // Stages: it was held back for comparison
	RolledBack bool          `json:"back"`
	Changed    time.Duration `json:"at"` // of the last change
}

// Entry records what was done with a rollout, by whom and why.
type LogEntry struct {
	At    time.Duration `json:"at"`
	Event string        `json:"what"`
	Stage Stage         `json:"stage"`
	By    string        `json:"by,omitempty"`
	Why   string        `json:"why,omitempty"`
}

// Cell is the two bets on a class, a tenant and a metric in the present stage.
type Cell struct {
	Key         string   `json:"key"`
	Inferior    EProcess `json:"worse"`
	NonInferior EProcess `json:"fine"`
	LastWindow  uint64   `json:"last"`  // the last spell with a bet
	LastPayoff  float64  `json:"value"` // the last x of Worse, for people
}

// NewPlan returns an empty plan: no limits but the defaults, no sites, and as the good policy the settings as they are.
func NewPlan() *Plan {
	none := EmptyPolicy()
	p := &Plan{s: state{Limits: Defaults(), Good: none.Hash(), Texts: map[Hash]json.RawMessage{none.Hash(): none.Text()},
		Nodes: map[string]*node{}, MaintenanceEnded: map[string]time.Duration{}, SlowThresholds: map[string]*slowThreshold{}, Typical: map[string]*typicalValue{}}}
	p.topology = newTopology(p.s.Tree)
	return p
}

// Good is the last good policy.
func (p *Plan) Good() Hash { return p.s.Good }

// Text is the canonical text of the good policy or of a rollout's; nil for others.
func (p *Plan) Text(h Hash) []byte { return slices.Clone(p.s.Texts[h]) }

// Applied is the log's index up to which commands were applied.
func (p *Plan) Applied() uint64 { return p.s.Applied }

// Rollouts are all, in the order of their starts. Not to be changed.
func (p *Plan) Rollouts() []*Rollout { return p.s.Rollouts }

// Rollout returns one by its ID, nil if there is none. Not to be changed.
func (p *Plan) Rollout(id string) *Rollout {
	i := slices.IndexFunc(p.s.Rollouts, func(r *Rollout) bool { return r.ID == id })
	if i < 0 {
		return nil
	}
	return p.s.Rollouts[i]
}

// Assignment is what a node is to go by. A trial lapses at the node after Lease without word; 0: it does not lapse.
type Assignment struct {
	Round  uint64
	Policy Hash
	Good   Hash // what it falls back to
	Trial  bool
	Lease  time.Duration
}

// Assigned returns what a node is to go by; nodes that are not known go by the good policy.
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

// Disturbed is how many nodes a change of policy disturbs at a time: what work has to leave room for.
func (p *Plan) Disrupted(at time.Duration) (n int) {
	for _, node := range p.s.Nodes {
		if node.Changed > 0 && at-node.Changed < p.s.Limits.Settle {
			n++
		}
	}
	return n
}

// Apply takes one entry of the log, in order. An index that was applied already changes nothing.
func (p *Plan) Apply(index uint64, c Command) []Effect {
	if index <= p.s.Applied {
		return nil
	}
	p.s.Applied = index
	p.s.At = max(p.s.At, c.At)
	if c.Evidence == nil && (c.Limits == nil || c.Limits.Check() == nil) && (c.Start == nil || json.Valid(c.Start.Policy)) {
		c = clone(c) // shares nothing with the caller, and its texts are such as Encode writes
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

// limit takes over the limits. With another slice or spell, spells have other numbers.
func (t *transition) setLimits(l Limits) {
	if l.Slice != t.s.Limits.Slice || l.WindowSlices != t.s.Limits.WindowSlices {
		t.s.OpenWindows, t.s.NextWindow, t.s.Typical = nil, 0, map[string]*typicalValue{}
		for _, n := range t.s.Nodes {
			n.Baselines = map[string]*baseline{}
		}
	}
	t.s.Limits = l
}

// turn is the work on one command.
type transition struct {
	*Plan
	logIndex uint64 // its index
	at       time.Duration
	effects  []Effect
}

func (t *transition) refuse(id, why, do string) {
	t.effects = append(t.effects, Effect{Kind: Refused, ID: id, Why: why, Err: &Refusal{why, do}})
}

func (t *transition) logEvent(r *Rollout, what, by, why string) {
	r.Log = append(r.Log, LogEntry{t.at, what, r.Stage, by, why})
	t.effects = append(t.effects, Effect{Kind: Notify, ID: r.ID, Cause: r.Cause, Why: what + " " + why})
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

// work takes over the zones that have a host in work. Spells that are open were disturbed, whatever is said later, and so
// are those that open later and began before the work ended.
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
	for _, sp := range t.s.OpenWindows {
		sp.TaintedZones = merged(sp.TaintedZones, zones)
	}
}

// names are the nodes of a tree, or why it cannot be taken.
func (t Tree) nodeNames() (map[string]bool, *Refusal) {
	seen := map[string]bool{}
	for _, s := range t.Sites {
		for _, n := range s.Nodes {
			if seen[n.Name] || n.Name == "" {
				return nil, &Refusal{fmt.Sprintf("the node %q stands in the tree twice, or has no name", n.Name), "mend the site file"}
			}
			seen[n.Name] = true
		}
	}
	return seen, nil
}

// plant takes over the tree. A node that is off it is forgotten.
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

// of is the rollout that a word of an operator is about.
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

// Check says why a command of an operator, limits or a tree would be refused now; nil: it would not be. It changes nothing.
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
		return &Refusal{"slice and spell cannot change while a rollout is under way", "halt it or wait for its end"}
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
		return &Refusal{"an ID, who starts it and why are wanted", "tell them"}
	case policy.Hash() == p.s.Good:
		return &Refusal{"this policy is the good one already", "nothing is left to do"}
	case slices.ContainsFunc(p.s.Rollouts, func(r *Rollout) bool { return r.Phase.Active() && r.Policy == policy.Hash() }):
		return &Refusal{"this policy is on its way already", "wait for that rollout, or halt it"}
	case len(p.s.Nodes) == 0:
		return &Refusal{"no node is known", "name the sites in the site file"}
	}
	return nil
}

func (t *transition) start(c Start) {
	policy, err := Parse(c.Policy)
	if err != nil || t.Rollout(c.ID) != nil {
		return // the same once more
	}
	r := &Rollout{ID: c.ID, Policy: policy.Hash(), Log: []LogEntry{}, Targets: t.targets(c.ID)}
	t.s.Texts[policy.Hash()] = policy.Text()
	t.s.Rollouts = append(t.s.Rollouts, r)
	t.prune()
	t.beginAttempt(r)
	t.logEvent(r, "started", c.By, c.Why)
}

// begin begins the first stage of an attempt.
func (t *transition) beginAttempt(r *Rollout) {
	r.Attempt++
	r.Phase, r.Stage, r.Cause, r.Treated = Running, OneNode, None, []Treatment{}
	t.beginStage(r)
}

// stage begins a stage: nothing of an earlier one counts in it.
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
		return &Refusal{"who halts it and why are wanted", "tell both"}
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
		if cause, why := t.haltCause(r, t.at); cause != None && cause == c.Cause {
			t.halt(r, cause, "", why)
		}
	}
}

// halt begins to take a rollout back.
func (t *transition) halt(r *Rollout, cause Cause, by, why string) {
	r.Phase, r.Cause = Halting, cause
	t.logEvent(r, "halt: "+cause.String(), by, why)
}

func (p *Plan) checkResume(c OperatorAction) *Refusal {
	switch r := p.Rollout(c.ID); {
	case r == nil:
		return &Refusal{"no rollout has this ID", "see the list of rollouts"}
	case c.By == "" || c.Why == "":
		return &Refusal{"who resumes it and why are wanted", "tell both"}
	case r.Phase != Halted:
		return &Refusal{"the rollout is " + r.Phase.String(), "wait until it is halted"}
	case r.Cause == Guard || r.Cause == Superseded:
		return &Refusal{"it was halted: " + r.Cause.String(), "start a rollout of a mended policy"}
	case r.Policy == p.s.Good || slices.ContainsFunc(p.s.Rollouts, func(o *Rollout) bool {
		return o != r && o.Phase.Active() && o.Policy == r.Policy
	}):
		return &Refusal{"its policy is good or on its way already", "nothing is left to do"}
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
		return &Refusal{"who forces it and why are wanted", "tell both"}
	case r.Phase != Running:
		return &Refusal{"the rollout is " + r.Phase.String(), "force ends a stage; it never overrides a halt"}
	case r.Stage != c.Stage:
		return &Refusal{"it is in another stage by now", "look where it stands, and force that stage if need be"}
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
	if r := t.Rollout(n.Rollout); want.Trial && r != nil && r.Phase < Halting && (c.Fallback == TooManyCrashes || c.Fallback == InvalidTrial) {
		t.halt(r, Guard, "", c.Node+" fell back by itself: "+c.Fallback.String())
	}
}

func (t *transition) setUnreachable(name string, away bool) {
	if n := t.s.Nodes[name]; n != nil {
		n.Unreachable = away
	}
}

// room is how many nodes more may be disturbed now, while work has out hosts and nodes out.
func (p *Plan) disruptionBudget(at time.Duration, out int) int {
	if p.s.Limits.MaxDisrupted == 0 {
		return len(p.s.Nodes)
	}
	return p.s.Limits.MaxDisrupted - out - p.Disrupted(at)
}

func (t *transition) treat(c Treat) {
	r := t.Rollout(c.ID)
	if r == nil || r.Stage != c.Stage || len(c.Nodes) > t.disruptionBudget(t.at, c.OutOfService) {
		return
	}
	may := t.treatable(r)
	if slices.ContainsFunc(c.Nodes, func(name string) bool { return !slices.Contains(may, name) }) {
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

// untreated are the nodes that a rollout may treat now, in the order of its targets.
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
				(r.Phase == Completing || p.hasBaseline(n)) { // or else it could not be compared
				list = append(list, name)
			}
		}
	}
	return list
}

// based says whether a node was watched for long enough to be compared in every cell in which it ordinarily has enough
// requests, and has such cells.
func (p *Plan) hasBaseline(n *node) bool {
	any := false
	for _, b := range n.Baselines {
		if b.MeanRequests >= float64(p.s.Limits.MinRequests) {
			if b.Windows < p.s.Limits.BaselineWindows {
				return false
			}
			any = true
		}
	}
	return any
}

// latest is the last stage of which nodes are not taken back.
func (r *Rollout) latestStage() (last Stage, any bool) {
	for _, t := range r.Treated {
		if !t.RolledBack {
			last, any = max(last, t.Stage), true
		}
	}
	return last, any
}

// settled says whether every node that was taken back is known to be back: it said so, or cannot be heard, or has heard
// nothing for so long that it fell back by itself.
func (p *Plan) rollbackConfirmed(r *Rollout, at time.Duration) bool {
	for _, tr := range r.Treated {
		n := p.s.Nodes[tr.Node]
		if tr.RolledBack && n != nil && n.Rollout == "" && !n.Confirmed && !n.Unreachable && at-tr.Changed < p.s.Limits.TrialLease {
			return false
		}
	}
	return true
}

// filled says whether every node went over and is known to go by the trial: it said so, or cannot be heard, or has had the time
// of a lease to say why it does not.
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
	if last, any := r.latestStage(); !any || last != c.Stage || !t.rollbackConfirmed(r, t.at) {
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
		if _, any := r.latestStage(); !any && t.rollbackConfirmed(r, t.at) {
			r.Phase = Halted
			t.logEvent(r, "every node is on the good policy", "", "")
		}
	case r.Phase == Completing && t.completionConfirmed(r, t.at):
		r.Phase, t.s.Good = Done, r.Policy
		for _, n := range t.s.Nodes {
			if n.Rollout == r.ID {
				n.Rollout = "" // it goes by the same policy as before
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

// mostOver is how many rollouts that are over are kept.
const maxEndedRollouts = 32

// prune forgets the oldest of the rollouts that are over, and texts that nothing needs.
func (t *transition) prune() {
	over := 0
	for _, r := range t.s.Rollouts {
		if !r.Phase.Active() {
			over++
		}
	}
	t.s.Rollouts = slices.DeleteFunc(t.s.Rollouts, func(r *Rollout) bool {
		if r.Phase.Active() || over <= maxEndedRollouts {
			return false
		}
		over--
		return true
	})
	maps.DeleteFunc(t.s.Texts, func(h Hash, _ json.RawMessage) bool {
		return h != t.s.Good && !slices.ContainsFunc(t.s.Rollouts, func(r *Rollout) bool { return r.Policy == h })
	})
}

// spellOf is the spell that a moment lies in.
func (p *Plan) windowAt(at time.Duration) uint64 {
	return uint64(at / (p.s.Limits.Slice * time.Duration(p.s.Limits.WindowSlices)))
}

// due says whether a rollout is to be halted on what is known, and why.
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

// Next is what the leader proposes now, if anything; out is how many hosts and nodes work has out. It depends on the
// plan, the time and out alone, so that a new leader goes on where the last one stopped.
func (p *Plan) Next(now time.Duration, out int) (Command, bool) {
	now = max(now, p.s.At)
	c := Command{At: now}
	for _, r := range p.s.Rollouts {
		if r.Phase != Halting || !p.rollbackConfirmed(r, now) {
			continue
		}
		if last, any := r.latestStage(); any {
			c.RollBack = &StageRef{r.ID, last}
		} else {
			c.Finish = &StageRef{r.ID, r.Stage}
		}
		return c, true
	}
	if over := p.windowAt(now - p.s.Limits.Slice); over > 0 && over > p.s.NextWindow { // a slice of grace for what is late
		c.Close = &Close{over - 1}
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
		if room := p.disruptionBudget(now, out); len(list) > 0 && room > 0 {
			c.Treat = &Treat{r.ID, r.Stage, list[:min(room, len(list))], out}
			return c, true
		}
	}
	return Command{}, false
}
