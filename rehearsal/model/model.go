// Package model checks models whole: it visits every reachable state of a transition system, breadth first on all
// cores, and checks safety, deadlock and liveness under weak fairness. It knows nothing of what it checks: a model
// hands out its initial states and the steps that lead on from a state.
//
// docs/design/model.md tells which ideas come from TLC, SPIN, stateright and P, and which were left.
package model

import "fmt"

// Step names one step of a model, in a coding of the model's own. It must tell all steps of one state apart.
type Step uint32

// Fairness is a set of classes of steps.
type Fairness uint8

// Model is a transition system with states of type S. All methods must be pure and safe for concurrent use: the same
// state gives the same steps in the same order.
type Model[S any] interface {
	// Initial returns the states to start from.
	Initial() []S
	// Steps calls yield for every step that is enabled in s, with the state that it leads to. A state without steps is
	// an end; see Done.
	Steps(s S, yield func(step Step, next S))
	// Canonical returns the one state that stands for all states equal to s by symmetry, s itself where there is no
	// symmetry. Equal states must lead on to equal states, and Broken, Pending and Done must not tell them apart.
	Canonical(s S) S
	// Encode appends the state's bytes. States count as one when their bytes are equal.
	Encode(to []byte, s S) []byte
	// Broken returns the safety properties that do not hold in s, as bits in the order of Properties.
	Broken(s S) uint32
	// Pending returns the liveness properties whose promise is open in s, as bits in the order of Promises.
	Pending(s S) uint8
	// Done says whether s may be the end of a run.
	Done(s S) bool
	// Fair returns the weakly fair classes that a step belongs to: a class that is enabled in every state of an endless
	// run must be taken again and again.
	Fair(step Step) Fairness
	// Properties names the safety properties, 32 at most.
	Properties() []string
	// Promises names the liveness properties, 8 at most. One is broken by a fair endless run, or by an end, in which it
	// stays pending for ever.
	Promises() []string
	// Describe tells a person what a step does that leads from s to next.
	Describe(s S, step Step, next S) string
}

// Coverer is a model that tells what it has come across, so that nobody takes a model that never gets anywhere for one
// that holds.
type Coverer[S any] interface {
	// Covered returns what s shows, as bits in the order of Sights.
	Covered(s S) uint64
	// Sights names what a complete run is expected to come across.
	Sights() []string
}

// Sizer is a model whose states hold more than their own size, which counts for the bound on memory.
type Sizer[S any] interface {
	// Size returns how many bytes s holds besides itself.
	Size(s S) int
}

// Verdict is what is known of a property.
type Verdict int

// The verdicts.
const (
	Holds    Verdict = iota // in every state that was visited
	Violated                // there is a counterexample
	Unknown                 // it was not checked, or not in full
)

func (v Verdict) String() string { return [...]string{"holds", "violated", "unknown"}[v] }

// Trace is a run of a model from an initial state. Its states are not canonical: each follows from the one before.
type Trace[S any] struct {
	States []S // one more than Steps
	Steps  []Step
	Loop   int // the run goes on for ever from States[len-1], which equals States[Loop] by symmetry; -1: it ends
}

// Violation is a broken property with a run that shows it: the shortest for safety and deadlock, and a shortest way to
// a loop, which need not be the shortest loop, for liveness.
type Violation[S any] struct {
	Property string
	Trace    Trace[S]
}

// DeadlockFree names the property that only states that are Done are without steps.
const DeadlockFree = "only a finished run ends"

// Finding is a property with its verdict.
type Finding struct {
	Property string
	Verdict  Verdict
	Liveness bool
}

// Result is the outcome of a check.
type Result[S any] struct {
	States      uint64
	Transitions uint64
	Depth       int    // the longest shortest way from an initial state
	Widest      uint64 // states at one depth, at most
	Missed      float64
	PeakBytes   uint64
	Seconds     float64 // of the exploration, without the liveness check
	LiveSeconds float64
	Workers     int
	Complete    bool   // nothing was left out
	Stopped     string // why it ended early, if so
	Findings    []Finding
	Covered     uint64        // of a Coverer: the sights that some state showed
	Violation   *Violation[S] // the first one found
}

// Rate returns the distinct states visited in a second.
func (r *Result[S]) Rate() float64 {
	if r.Seconds <= 0 {
		return 0
	}
	return float64(r.States) / r.Seconds
}

// missed bounds the probability that some state was taken for another: with fingerprints of 64 bits that are as good
// as random, two of n states share one with probability below n(n-1)/2^65.
func missed(n uint64) float64 { return float64(n) * float64(max(n, 1)-1) / (1 << 32) / (1 << 33) }

// names checks and returns a model's properties.
func names[S any](m Model[S]) (safety, live []string, err error) {
	safety, live = m.Properties(), m.Promises()
	if len(safety) > 32 || len(live) > 8 {
		return nil, nil, fmt.Errorf("a model may have 32 properties and 8 promises, not %d and %d", len(safety), len(live))
	}
	return safety, live, nil
}
