// Package rollout takes a policy down the hierarchy in stages, each of which ends on evidence, and halts by itself. Plan
// is the state that a site's council replicates: commands in, effects out, no I/O and no clock; the time is the one that
// the council's leader stamped.
//
// The properties:
//
//	P1  A stage ends only when, for every class with enough requests, the treated were compared with their own kind on the
//	    old policy at the same time and are not worse by more than the margin, by a test that may be looked at at any
//	    moment with the stated error rates.
//	P2  A guard (crash, restart loop, a rule's guard fired) halts at once. A halt takes the latest stage back first and
//	    ends with every node on the last good policy; a node that was away takes the halt when it returns.
//	P3  No evidence is no health: too few requests, cut-off sites and quiet nights hold the stage; trouble that hits
//	    treated and untreated alike holds it too. A hold that lasts longer than Limits.Hold is taken back as unproven.
//	P4  A loss in one class is not paid for by a gain in another.
//	P5  A trial policy has a lease: a node that hears nothing for Limits.Lease, or crashes Limits.Crashes times under it,
//	    falls back by itself.
//	P6  Two rollouts never treat one node at once, and what rollouts disturb and what is out for work together keep one
//	    budget; evidence of a node is not counted while a host of its zone is in work.
//	P7  An operator's halt, resume or force holds, with its reason recorded; force ends a stage, never a guard's halt.
package rollout

import (
	"slices"
	"time"
)

// Limits are those of the rollouts of a site.
type Limits struct {
	Alpha        float64       // probability of a halt without a regression, over a whole rollout
	Beta         float64       // probability of a stage that ends though one class lost Margin
	Margin       float64       // the loss of served requests, as a part, that must be found
	MinRequests  uint64        `json:"Least"`   // requests of a class on each side before it says anything
	MaxHold      time.Duration `json:"Hold"`    // the longest hold
	TrialLease   time.Duration `json:"Lease"`   // of a trial policy at a node
	MaxCrashes   int           `json:"Crashes"` // of one node under a trial policy, before it falls back by itself
	MaxDisrupted int           `json:"Disturb"` // nodes and hosts that rollouts and work may disturb at once; 0: no bound of their own

	Slice           time.Duration // what evidence is counted by
	WindowSlices    int           `json:"Spell"` // slices that are one observation: about as long as a node's own trouble lasts
	BaselineWindows int           `json:"Watch"` // spells of a node on the old policy before it is compared
	Settle          time.Duration // how long a change of its policy disturbs a node
	MaxStageTime    time.Duration `json:"Longest"` // the longest stage: undecided for so long is unproven; 0: no bound
	SlowMargin      float64       `json:"Slow"`    // as Margin, of the part of connections that takes longer than the edge to stand
	Coverage        float64       `json:"Cover"`   // the part of a stage's nodes that must have spoken before it ends
}

// Defaults are limits for a site that tells none.
func Defaults() Limits {
	return Limits{Alpha: 0.01, Beta: 0.05, Margin: 0.02, MinRequests: 100, MaxHold: 2 * time.Hour, TrialLease: 5 * time.Minute, MaxCrashes: 3,
		Slice: 5 * time.Minute, WindowSlices: 6, BaselineWindows: 12, Settle: time.Minute, MaxStageTime: 72 * time.Hour, SlowMargin: 0.05, Coverage: 0.9}
}

// Check returns a *Refusal that names the first limit that no rollout can go by.
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

// Refusal is why a command was not taken, and what can be done.
type Refusal struct{ Why, Do string }

func (r *Refusal) Error() string { return r.Why }

// Action says what an operator can do.
func (r *Refusal) Action() string { return r.Do }

// Stage is a step down the hierarchy.
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

// Stages is how many there are.
const Stages = int(stageCount)

var stageNames = [stageCount]string{"one-node", "building", "regency", "part", "all"}

// String is the name that operators write; what is held back for comparison to the end has none of its own.
func (s Stage) String() string {
	if s < stageCount {
		return stageNames[s]
	}
	return "held-back"
}

// StageOf is the stage with a name.
func StageOf(name string) (Stage, bool) {
	i := slices.Index(stageNames[:], name)
	return Stage(max(i, 0)), i >= 0
}

// Hash names a policy: the hash of its content.
type Hash string

// Counts is what a node did with the requests of one class (and tenant) under one policy in one slice of time.
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

// Evidence is what a node counted in one slice of time.
type Evidence struct {
	Node    string        `json:"node"`
	Zone    string        `json:"zone,omitempty"`
	Policy  Hash          `json:"policy"`
	Slice   uint64        `json:"slice"` // the slice's number since 1970, the same at every node
	Counts  []Counts      `json:"counts"`
	Guards  []string      `json:"guards,omitempty"` // those that fired
	Starts  int           `json:"starts,omitempty"` // of the process under this policy
	Tainted bool          `json:"spoilt,omitempty"` // work in progress disturbed it
	At      time.Duration `json:"at"`
}
