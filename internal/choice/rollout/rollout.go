// Package rollout distributes a policy to the nodes of a hierarchy of sites in stages. Each stage ends when there is
// statistical evidence that the policy does no harm, and a rollout halts automatically otherwise. Plan is the state machine
// that a consensus group replicates: commands in, effects out, no I/O and no clock; the time is the one with which the
// leader stamped the command.
//
// The nodes on trial of a policy are the treated nodes (the treatment group of an experiment); similar nodes on the last
// good policy are the control nodes that they are compared with. Properties:
//
//	P1  A stage ends only when, for every class with enough requests, the treated nodes were compared with similar control
//	    nodes at the same time and are not worse by more than the margin, by an anytime-valid test (it may be inspected at
//	    any moment) with the stated error rates.
//	P2  A guard (crash, crash loop, or a guard of a rule) halts at once. A halt rolls back the latest stage first and ends
//	    with every node on the last good policy; a node that was unreachable is rolled back when it returns.
//	P3  Missing evidence is not proof of health: too few requests, sites that are cut off and nights with little traffic
//	    hold the stage, and so does trouble that affects treated and control nodes alike. A rollout that is held
//	    longer than Limits.MaxHold is rolled back as unproven.
//	P4  A loss in one class is not offset by a gain in another.
//	P5  A trial policy has a lease: a node that receives no renewal for Limits.TrialLease, or crashes Limits.MaxCrashes
//	    times under the trial, falls back on its own.
//	P6  Two rollouts never treat the same node at once. Disruption by rollouts and by maintenance shares one budget. A
//	    node's evidence does not count while a host of its zone is in maintenance.
//	P7  An operator's halt, resume or force takes effect and is recorded with its reason; force ends a stage but never
//	    overrides a halt by a guard.
package rollout

import (
	"slices"
	"time"
)

// Limits are the limits of a site's rollouts.
type Limits struct {
	Alpha        float64       // probability of a halt without a regression, over a whole rollout
	Beta         float64       // probability that a stage ends although one class is worse by Margin
	Margin       float64       // decrease in the fraction of served requests that has to be detected
	MinRequests  uint64        `json:"Least"`   // requests of a class that a node needs in a window to be compared
	MaxHold      time.Duration `json:"Hold"`    // longest time for which missing evidence may hold a stage
	TrialLease   time.Duration `json:"Lease"`   // lease of a trial policy at a node
	MaxCrashes   int           `json:"Crashes"` // crashes under a trial policy after which a node falls back on its own
	MaxDisrupted int           `json:"Disturb"` // nodes and hosts that rollouts and maintenance may disrupt at once; 0: no limit

	Slice           time.Duration // length of the time slices in which evidence is counted
	WindowSlices    int           `json:"Spell"` // time slices per window: about as long as a disturbance of one node lasts
	BaselineWindows int           `json:"Watch"` // windows of a node on the good policy before it is compared
	Settle          time.Duration // how long a change of policy disrupts a node
	MaxStageTime    time.Duration `json:"Longest"` // longest stage, after which an undecided one is halted as unproven; 0: no limit
	SlowMargin      float64       `json:"Slow"`    // like Margin, for the fraction of connections above the slow threshold
	Coverage        float64       `json:"Cover"`   // fraction of a stage's nodes that must have given usable evidence before it ends
}

// Defaults returns the limits of a site that configures none.
func Defaults() Limits {
	return Limits{Alpha: 0.01, Beta: 0.05, Margin: 0.02, MinRequests: 100, MaxHold: 2 * time.Hour, TrialLease: 5 * time.Minute,
		MaxCrashes: 3, Slice: 5 * time.Minute, WindowSlices: 6, BaselineWindows: 12, Settle: time.Minute, MaxStageTime: 72 * time.Hour,
		SlowMargin: 0.05, Coverage: 0.9}
}

// Check returns a *Refusal that names the first limit that is out of range.
func (l Limits) Check() error {
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"alpha", l.Alpha > 0 && l.Alpha < 1}, {"beta", l.Beta > 0 && l.Beta < 1}, {"margin", l.Margin > 0 && l.Margin < 1},
		{"slow", l.SlowMargin > 0 && l.SlowMargin < 1}, {"cover", l.Coverage > 0 && l.Coverage <= 1}, {"least", l.MinRequests > 0},
		{"hold", l.MaxHold > 0}, {"lease", l.TrialLease > 0}, {"crashes", l.MaxCrashes > 0}, {"disturb", l.MaxDisrupted >= 0},
		{"slice", l.Slice > 0}, {"spell", l.WindowSlices > 0 && l.WindowSlices <= 64}, {"watch", l.BaselineWindows > 0},
		{"settle", l.Settle >= 0}, {"longest", l.MaxStageTime >= 0},
	} {
		if !f.ok {
			return &Refusal{"the limit " + f.name + " is out of range", "set rollout." + f.name + " in the site file"}
		}
	}
	return nil
}

// Refusal says why a command was refused, and what to do.
type Refusal struct{ Why, Do string }

func (r *Refusal) Error() string { return r.Why }

// Action returns what an operator can do.
func (r *Refusal) Action() string { return r.Do }

// Stage is a stage of a rollout, each with more of the hierarchy than the one before.
type Stage uint8

// The stages.
const (
	OneNode Stage = iota
	OneBuilding
	OneRegency
	PartOfProvince
	All
	stageCount
)

// Stages is the number of stages.
const Stages = int(stageCount)

var stageNames = [stageCount]string{"one-node", "building", "regency", "part", "all"}

// String returns the name that operators use. The nodes held back as controls to the end have no stage name of their own.
func (s Stage) String() string {
	if s < stageCount {
		return stageNames[s]
	}
	return "held-back"
}

// StageOf returns the stage with a name.
func StageOf(name string) (Stage, bool) {
	i := slices.Index(stageNames[:], name)
	return Stage(max(i, 0)), i >= 0
}

// Hash identifies a policy by a hash of its content.
type Hash string

// Counts are a node's counts of the requests of one class (and tenant) under one policy in one time slice.
type Counts struct {
	Class    string  `json:"class"`
	Tenant   string  `json:"tenant,omitempty"`
	Offered  uint64  `json:"offered"`
	Served   uint64  `json:"served"`
	Refused  uint64  `json:"refused,omitempty"`
	Failed   uint64  `json:"failed,omitempty"`
	TimedOut uint64  `json:"timed_out,omitempty"`
	Breaks   uint64  `json:"breaks,omitempty"`
	Moves    uint64  `json:"moves,omitempty"`
	Value    float64 `json:"worth,omitempty"`
	SetUp    []byte  `json:"set_up,omitempty"` // a mergeable histogram of set-up times
}

// Evidence is what a node counted in one time slice.
type Evidence struct {
	Node    string        `json:"node"`
	Zone    string        `json:"zone,omitempty"`
	Policy  Hash          `json:"policy"`
	Slice   uint64        `json:"slice"` // number of the slice since 1970, the same at every node
	Counts  []Counts      `json:"counts"`
	Guards  []string      `json:"guards,omitempty"` // guards that fired
	Starts  int           `json:"starts,omitempty"` // starts of the process under this policy
	Tainted bool          `json:"spoilt,omitempty"` // disrupted by maintenance or by a change of policy
	At      time.Duration `json:"at"`
}
