// Package model is an explicit-state model checker. It visits every reachable state of a transition system, breadth
// first on all cores, and checks safety, deadlock and liveness under weak fairness. It is independent of the systems
// that it checks: a model provides its initial states and the steps that are enabled in a state.
//
// docs/design/model.md lists which ideas come from TLC, SPIN, stateright and P, and which were not adopted.
package model

import "fmt"

// Step identifies one step of a model, in an encoding that the model defines. It must distinguish all steps of one
// state.
type Step uint32

// Fairness is a set of fairness classes of steps.
type Fairness uint8

// Model is a transition system with states of type S. All methods must be pure and safe for concurrent use: the same
// state gives the same steps in the same order.
type Model[S any] interface {
	// Initial returns the initial states.
	Initial() []S
	// Steps calls yield for every step that is enabled in s, with the state that the step leads to. A state without
	// steps ends a run; see Done.
	Steps(s S, yield func(step Step, next S))
	// Canonical returns the representative of all states that equal s by symmetry, or s itself if there is no symmetry.
	// Equal states must have equal successors, and Violated, Pending and Done must not distinguish them.
	Canonical(s S) S
	// Encode appends the encoding of the state. States with equal encodings count as the same state.
	Encode(to []byte, s S) []byte
	// Violated returns the safety properties that do not hold in s, as bits in the order of SafetyProperties.
	Violated(s S) uint32
	// Pending returns the liveness properties that are not yet fulfilled in s, as bits in the order of
	// LivenessProperties.
	Pending(s S) uint8
	// Done reports whether a run may end in s.
	Done(s S) bool
	// FairnessClasses returns the weakly fair classes of a step: in an infinite run, a class that is enabled in every
	// state must be taken infinitely often.
	FairnessClasses(step Step) Fairness
	// SafetyProperties returns the names of the safety properties, at most 32.
	SafetyProperties() []string
	// LivenessProperties returns the names of the liveness properties, at most 8. A property is violated by a fair
	// infinite run in which it stays pending forever, or by a run that ends while it is pending.
	LivenessProperties() []string
	// Describe returns a readable description of the step that leads from s to next.
	Describe(s S, step Step, next S) string
}

// Coverer is a model that reports its coverage. This distinguishes a model in which all properties hold from one that
// never reaches the situations of interest.
type Coverer[S any] interface {
	// Covered returns the coverage goals that s reaches, as bits in the order of CoverageGoals.
	Covered(s S) uint64
	// CoverageGoals returns the names of the situations that a complete check is expected to reach.
	CoverageGoals() []string
}

// Sizer is a model whose states refer to memory beyond their own size. This memory counts towards the memory limit.
type Sizer[S any] interface {
	// Size returns the number of bytes that s holds besides its own size.
	Size(s S) int
}

// Verdict is the result of checking a property.
type Verdict int

const (
	Holds    Verdict = iota // checked in full: no counterexample exists
	Violated                // a counterexample was found
	Unknown                 // not checked, or not in full
)

func (v Verdict) String() string { return [...]string{"holds", "violated", "unknown"}[v] }

// Trace is a run of a model from an initial state. Its states are not canonical: each is the direct successor of the
// one before.
type Trace[S any] struct {
	States []S // one more than Steps
	Steps  []Step
	Loop   int // the run continues forever from States[len-1], which equals States[Loop] by symmetry; -1: the run ends
}

// Violation is a violated property with a counterexample. For safety and deadlock it is a shortest one. For liveness it
// is a shortest path to a loop, but not always to the shortest loop.
type Violation[S any] struct {
	Property string
	Trace    Trace[S]
}

// DeadlockFree is the name of the property that every state without steps is Done.
const DeadlockFree = "only a finished run ends"

// Finding is a property with its verdict.
type Finding struct {
	Property string
	Verdict  Verdict
	Liveness bool
}

// Result is the outcome of a check.
type Result[S any] struct {
	States              uint64
	Transitions         uint64
	Depth               int    // largest distance of a state from the initial states, in steps
	MaxLevelStates      uint64 // largest number of states at one depth
	OmissionProbability float64
	PeakBytes           uint64
	Seconds             float64 // of the exploration, without the liveness check
	LivenessSeconds     float64
	Workers             int
	Complete            bool   // all reachable states were visited, and nothing was skipped
	StopReason          string // why the check stopped early; empty if it did not
	Findings            []Finding
	Covered             uint64        // coverage goals reached by some state, if the model is a Coverer
	Violation           *Violation[S] // the first one found
}

// Rate returns the number of distinct states visited per second.
func (r *Result[S]) Rate() float64 {
	if r.Seconds <= 0 {
		return 0
	}
	return float64(r.States) / r.Seconds
}

// omissionProbability is an upper bound of the probability that two distinct states had the same fingerprint, so that
// one was omitted: of n states with uniformly random 64-bit fingerprints, two collide with probability below
// n(n-1)/2^65.
func omissionProbability(n uint64) float64 {
	return float64(n) * float64(max(n, 1)-1) / (1 << 32) / (1 << 33)
}

// propertyNames returns the names of a model's properties, or an error if there are too many.
func propertyNames[S any](m Model[S]) (safety, liveness []string, err error) {
	safety, liveness = m.SafetyProperties(), m.LivenessProperties()
	if len(safety) > 32 || len(liveness) > 8 {
		return nil, nil, fmt.Errorf("a model may have 32 safety and 8 liveness properties, not %d and %d", len(safety), len(liveness))
	}
	return safety, liveness, nil
}
