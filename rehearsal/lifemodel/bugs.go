package lifemodel

import (
	"slices"
	"time"

	"lichenhitch/internal/lifecycle"
)

// bug is the index of an injected bug in bugSpecs. Injected bugs change only the model's copy of a rule; the node's own
// code contains none.
type bug int

// The bugs that change how the model treats its environment or the balancer. All others wrap lifecycle.Step or
// lifecycle.Shutdown.Step.
const (
	bugNone bug = iota
	bugLateDeadline
	bugDrainLost
	bugWriteAfterDrain
	bugExtraAttempt
	bugUnsafeRepeat
	bugUnsafeRefusal
)

type rule = func(lifecycle.State, lifecycle.Event) (lifecycle.State, lifecycle.Effects)

// bugSpec describes an injected bug.
type bugSpec struct {
	name     string
	about    string
	rule     rule
	shutdown func(lifecycle.Shutdown, time.Duration, int, int) (lifecycle.Shutdown, lifecycle.Command)
}

// InjectedBug is the name and the description of an injected bug.
type InjectedBug struct{ Name, About string }

// InjectedBugs returns the bugs that can be injected.
func InjectedBugs() []InjectedBug {
	var list []InjectedBug
	for _, p := range bugSpecs[1:] {
		list = append(list, InjectedBug{p.name, p.about})
	}
	return list
}

// RuleWithBug returns the copy of lifecycle.Step that contains the named bug, or lifecycle.Step itself if the bug is
// elsewhere.
func RuleWithBug(name string) func(lifecycle.State, lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
	for _, p := range bugSpecs {
		if p.name == name && p.rule != nil {
			return p.rule
		}
	}
	return lifecycle.Step
}

// BugIsInRule reports whether a bug changes the rule of the request lifecycle, which the running code uses as well.
func BugIsInRule(name string) bool {
	for _, p := range bugSpecs {
		if p.name == name {
			return p.rule != nil
		}
	}
	return false
}

// ruleWithoutEffect returns the rule without one effect in the steps of some events, or of all events if none are
// named.
func ruleWithoutEffect(f lifecycle.Effect, kinds ...lifecycle.Kind) rule {
	return func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
		next, todo := lifecycle.Step(s, e)
		if len(kinds) == 0 || slices.Contains(kinds, e.Kind) {
			todo = removeEffect(todo, f)
		}
		return next, todo
	}
}

// removeEffect returns the effects without one kind.
func removeEffect(f lifecycle.Effects, drop lifecycle.Effect) (rest lifecycle.Effects) {
	for i := range f.Len() {
		if f.At(i) != drop {
			rest.Add(f.At(i))
		}
	}
	return rest
}

// rulePhaseUnchanged returns the rule in which an event fails to change a phase.
func rulePhaseUnchanged(in lifecycle.Phase, k lifecycle.Kind) rule {
	return func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
		next, todo := lifecycle.Step(s, e)
		if s.Phase == in && e.Kind == k {
			next.Phase = in
		}
		return next, todo
	}
}

var bugSpecs = []bugSpec{
	bugNone: {},
	bugLateDeadline: {name: "guard-late",
		about: "the deadline timer fires too late by its margin: the client's time limit passes first"},
	bugDrainLost: {name: "drain-lost",
		about: "a drain notice that arrives while an attempt is pending at the gateway is lost"},
	bugWriteAfterDrain: {name: "drained-dial",
		about: "a connection that is established after the drain deadline still writes its request line"},
	bugExtraAttempt: {name: "fifth-attempt", about: "one attempt more than allowed"},
	bugUnsafeRepeat: {name: "unsafe-repeat",
		about: "an attempt that may have run is repeated in a class that must not run twice"},
	bugUnsafeRefusal: {name: "unsafe-refusal",
		about: "a request is refused after an attempt that may have run, in a class in which trying again does harm"},
	{name: "answer-twice", about: "a refused request keeps waiting, and is answered again",
		rule: rulePhaseUnchanged(lifecycle.Waiting, lifecycle.Refuse)},
	{name: "time-out-leaves-attempt", about: "the time-out does not close the attempt",
		rule: ruleWithoutEffect(lifecycle.CloseAttempt, lifecycle.AttemptTimedOut)},
	{name: "deadline-leaves-attempt", about: "the deadline timer answers the request and does not close the attempt",
		rule: ruleWithoutEffect(lifecycle.CloseAttempt, lifecycle.Deadline)},
	{name: "answer-to-the-gone", about: "a client that leaves while its attempt is pending is not recorded as gone",
		rule: rulePhaseUnchanged(lifecycle.Trying, lifecycle.ClientGone)},
	{name: "late-words", about: "events of an attempt that is over are taken for those of the current one",
		rule: func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
			if e.Kind >= lifecycle.HostEstablished {
				e.Attempt = s.Attempts
			}
			return lifecycle.Step(s, e)
		}},
	{name: "served-in-silence", about: "a request that is served to its end immediately gets no answer line",
		rule: ruleWithoutEffect(lifecycle.AnswerServed)},
	{name: "guard-forgotten", about: "the deadline timer is not started", rule: ruleWithoutEffect(lifecycle.StartDeadline)},
	{name: "guard-goes-on", about: "the deadline timer is not stopped by the answer",
		rule: ruleWithoutEffect(lifecycle.StopDeadline, lifecycle.HostEstablished)},
	{name: "time-out-goes-on", about: "the time-out of an attempt is not stopped when the host is up",
		rule: ruleWithoutEffect(lifecycle.StopTimer, lifecycle.HostEstablished)},
	{name: "told-too-early", about: "the balancer is notified of the time-out before the attempt is closed",
		rule: func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
			next, todo := lifecycle.Step(s, e)
			if e.Kind == lifecycle.AttemptTimedOut && todo.Has(lifecycle.NotifyEnded) {
				todo = removeEffect(todo, lifecycle.CloseAttempt)
				todo.Add(lifecycle.CloseAttempt)
			}
			return next, todo
		}},
	{name: "end-not-told", about: "the balancer is not notified that an attempt timed out",
		rule: ruleWithoutEffect(lifecycle.NotifyEnded, lifecycle.AttemptTimedOut)},
	{name: "end-told-twice", about: "the balancer is notified twice that a connection ended",
		rule: func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
			next, todo := lifecycle.Step(s, e)
			if s.Phase == lifecycle.Established && e.Kind == lifecycle.HostEnded && todo.Len() > 0 {
				todo.Add(lifecycle.NotifyOver)
			}
			return next, todo
		}},
	{name: "cut-without-move", about: "a client is disconnected without MOVE when its host does not read its data",
		rule: ruleWithoutEffect(lifecycle.MoveClient, lifecycle.HostNotReading)},
	{name: "end-without-word", about: "the client is not notified that the host has ended the connection",
		rule: ruleWithoutEffect(lifecycle.EndClient)},
	{name: "left-unanswered", about: "a node that stops leaves a waiting client without an answer",
		rule: ruleWithoutEffect(lifecycle.AnswerFail, lifecycle.NodeStopping)},
	{name: "never-leaves", about: "a node that shuts down waits for the last connection forever",
		shutdown: func(d lifecycle.Shutdown, after time.Duration, waiting, established int) (lifecycle.Shutdown, lifecycle.Command) {
			if waiting+established > 0 {
				after = min(after, lifecycle.AcceptAfterSIGTERM)
			}
			return d.Step(after, waiting+established, established)
		}},
	{name: "error-is-final", about: "a host's error ends the request without an answer",
		rule: func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
			next, todo := lifecycle.Step(s, e)
			if s.Phase == lifecycle.Trying && e.Kind == lifecycle.HostEnded && next.Phase == lifecycle.Waiting {
				next.Phase = lifecycle.Finished
				todo = removeEffect(todo, lifecycle.NotifyEnded)
				todo.Add(lifecycle.StopDeadline)
				todo.Add(lifecycle.NotifyOver)
			}
			return next, todo
		}},
}
