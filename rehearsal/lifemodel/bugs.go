package lifemodel

import (
	"slices"
	"time"

	"lichenhitch/internal/lifecycle"
)

// plant is a planted bug, by its place in plants. Plants are changes of the model's copy of a rule; the daemon has none.
type plant int

// The plants that change the world's side of a rule. All others wrap lifecycle.Step or lifecycle.Shutdown.Step.
const (
	plantNone plant = iota
	plantGuardLate
	plantDrainLost
	plantDrainedDial
	plantMany
	plantRepeat
	plantRefusal
)

type rule = func(lifecycle.State, lifecycle.Event) (lifecycle.State, lifecycle.Effects)

// planted is the description of a plant.
type planted struct {
	name   string
	about  string
	rule   rule
	depart func(lifecycle.Shutdown, time.Duration, int, int) (lifecycle.Shutdown, lifecycle.Command)
}

// Plant tells of a planted bug.
type Plant struct{ Name, About string }

// Plants lists the bugs that can be planted.
func Plants() []Plant {
	var list []Plant
	for _, p := range plants[1:] {
		list = append(list, Plant{p.name, p.about})
	}
	return list
}

// Rule returns the planted copy of lifecycle.Step, or lifecycle.Step itself where the bug is planted elsewhere.
func Rule(name string) func(lifecycle.State, lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
	for _, p := range plants {
		if p.name == name && p.rule != nil {
			return p.rule
		}
	}
	return lifecycle.Step
}

// InRule says whether a bug is planted in the rule of lives, which the running code shares.
func InRule(name string) bool {
	for _, p := range plants {
		if p.name == name {
			return p.rule != nil
		}
	}
	return false
}

// dropping returns the rule without an effect in the steps of some events, all if none are named.
func dropping(f lifecycle.Effect, of ...lifecycle.Kind) rule {
	return func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
		next, todo := lifecycle.Step(s, e)
		if len(of) == 0 || slices.Contains(of, e.Kind) {
			todo = without(todo, f)
		}
		return next, todo
	}
}

// without returns effects less one kind.
func without(f lifecycle.Effects, drop lifecycle.Effect) (rest lifecycle.Effects) {
	for i := range f.Len() {
		if f.At(i) != drop {
			rest.Add(f.At(i))
		}
	}
	return rest
}

// staying returns the rule with a phase that an event fails to change.
func staying(in lifecycle.Phase, k lifecycle.Kind) rule {
	return func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
		next, todo := lifecycle.Step(s, e)
		if s.Phase == in && e.Kind == k {
			next.Phase = in
		}
		return next, todo
	}
}

var plants = []planted{
	plantNone:        {},
	plantGuardLate:   {name: "guard-late", about: "the guard of the deadline is off by the margin: the client's time is up first"},
	plantDrainLost:   {name: "drain-lost", about: "a drain notice is lost that comes while an attempt is out at the gateway"},
	plantDrainedDial: {name: "drained-dial", about: "a dial that comes up past the limit writes its line all the same"},
	plantMany:        {name: "fifth-attempt", about: "one attempt more than allowed"},
	plantRepeat:      {name: "unsafe-repeat", about: "an attempt that may have run is repeated in a class that must not run twice"},
	plantRefusal:     {name: "unsafe-refusal", about: "a refusal after an attempt that may have run, in such a class"},
	{name: "answer-twice", about: "a refused query goes on waiting, and is answered again",
		rule: staying(lifecycle.Waiting, lifecycle.Refuse)},
	{name: "time-out-leaves-attempt", about: "the time-out does not close the attempt",
		rule: dropping(lifecycle.CloseAttempt, lifecycle.AttemptTimedOut)},
	{name: "deadline-leaves-attempt", about: "the guard answers and leaves the attempt out",
		rule: dropping(lifecycle.CloseAttempt, lifecycle.Deadline)},
	{name: "answer-to-the-gone", about: "a client that leaves while its attempt is out is not noted as gone",
		rule: staying(lifecycle.Trying, lifecycle.ClientGone)},
	{name: "late-words", about: "words of an attempt that is over are taken for the present one's",
		rule: func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
			if e.Kind >= lifecycle.HostEstablished {
				e.Attempt = s.Attempts
			}
			return lifecycle.Step(s, e)
		}},
	{name: "served-in-silence", about: "a query that is served to its end at once gets no line",
		rule: dropping(lifecycle.AnswerServed)},
	{name: "guard-forgotten", about: "the guard of the deadline is not started", rule: dropping(lifecycle.StartDeadline)},
	{name: "guard-goes-on", about: "the guard is not stopped by the answer", rule: dropping(lifecycle.StopDeadline, lifecycle.HostEstablished)},
	{name: "time-out-goes-on", about: "the time-out of an attempt is not stopped when the host is up",
		rule: dropping(lifecycle.StopTimer, lifecycle.HostEstablished)},
	{name: "told-too-early", about: "the balancer hears of the time-out before the attempt is closed",
		rule: func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
			next, todo := lifecycle.Step(s, e)
			if e.Kind == lifecycle.AttemptTimedOut && todo.Has(lifecycle.NotifyEnded) {
				todo = without(todo, lifecycle.CloseAttempt)
				todo.Add(lifecycle.CloseAttempt)
			}
			return next, todo
		}},
	{name: "end-not-told", about: "the balancer does not hear that an attempt timed out",
		rule: dropping(lifecycle.NotifyEnded, lifecycle.AttemptTimedOut)},
	{name: "end-told-twice", about: "the balancer hears twice that a connection ended",
		rule: func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
			next, todo := lifecycle.Step(s, e)
			if s.Phase == lifecycle.Established && e.Kind == lifecycle.HostEnded && todo.Len() > 0 {
				todo.Add(lifecycle.NotifyOver)
			}
			return next, todo
		}},
	{name: "cut-without-move", about: "a client is cut off without MOVE when its host does not keep up",
		rule: dropping(lifecycle.MoveClient, lifecycle.HostNotReading)},
	{name: "end-without-word", about: "the host's end of a connection does not reach the client",
		rule: dropping(lifecycle.EndClient)},
	{name: "left-unanswered", about: "a node that stops leaves a waiting client without an answer",
		rule: dropping(lifecycle.AnswerFail, lifecycle.NodeStopping)},
	{name: "never-leaves", about: "a leaving node waits for the last connection for ever",
		depart: func(d lifecycle.Shutdown, after time.Duration, owed, standing int) (lifecycle.Shutdown, lifecycle.Command) {
			if owed+standing > 0 {
				after = min(after, lifecycle.AcceptAfterSIGTERM)
			}
			return d.Step(after, owed+standing, standing)
		}},
	{name: "error-is-final", about: "a host's error ends the query without an answer",
		rule: func(s lifecycle.State, e lifecycle.Event) (lifecycle.State, lifecycle.Effects) {
			next, todo := lifecycle.Step(s, e)
			if s.Phase == lifecycle.Trying && e.Kind == lifecycle.HostEnded && next.Phase == lifecycle.Waiting {
				next.Phase = lifecycle.Finished
				todo = without(todo, lifecycle.NotifyEnded)
				todo.Add(lifecycle.StopDeadline)
				todo.Add(lifecycle.NotifyOver)
			}
			return next, todo
		}},
}
