package province

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/control"
)

// This file has operators start policies at the top, halt them anywhere, resume and force them, while all that breaks breaks.
// Traffic is made up: what a node counts depends on the policy that its loop goes by. The promises:
//
//   - no loop goes by a trial that the top has not assigned to its node for longer than the lease, counted from the node's
//     last start if that is later;
//   - a policy that loses a quarter of its requests does not become the good one, unless somebody forces a stage;
//   - at the end, with nothing broken any more, every rollout is over and every loop goes by the top's good policy.

// stages are the limits of the rollouts here: what takes days takes seconds.
var stages = rollout.Limits{Alpha: 0.05, Beta: 0.3, Margin: 0.1, MinRequests: 10, MaxHold: 30 * time.Second, TrialLease: 8 * time.Second, MaxCrashes: 3,
	Slice: 2 * time.Second, WindowSlices: 1, BaselineWindows: 2, Settle: time.Second, MaxStageTime: 60 * time.Second, SlowMargin: 0.3, Coverage: 0.5}

// slack is what the end of a lease may be late at a node: its tick, and the way to its loop.
const slack = time.Second

// trial is one policy on its way.
type trial struct {
	id     string
	policy rollout.Policy
	bad    bool // it loses a quarter of all requests
	forced bool
}

// treated is what is known of a node for the first promise.
type treated struct {
	assigned time.Duration // when the top last had it go by a trial, as its log says
	awake    time.Duration // since when it is not stopped
}

func (w *World) rollouts() {
	if w.Rollouts == 0 {
		return
	}
	for _, n := range w.nodes {
		n.file.Rollout = stages
		if n.site.up != nil {
			continue
		}
		for _, p := range w.sites {
			if below(p, n.site) {
				n.file.Descendants = append(n.file.Descendants, p.group)
			}
		}
	}
	for i := range w.Rollouts {
		text := fmt.Sprintf(`{"permissions":{"max_attempts":%d}}`, i+2)
		policy, err := rollout.Parse([]byte(text))
		if err != nil {
			panic(err) // the text is made here
		}
		x := &trial{id: fmt.Sprint("r", i), policy: policy, bad: w.plan.IntN(2) == 0}
		w.trials = append(w.trials, x)
		w.after(12*time.Second+upTo(w.plan, w.For/3), func() { w.starts(x) })
		for range w.plan.IntN(3) {
			what, p := w.plan.IntN(3), w.sites[w.plan.IntN(len(w.sites))]
			w.after(20*time.Second+upTo(w.plan, w.For-20*time.Second), func() { w.meddle(x, what, p) })
		}
	}
	w.after(time.Second, w.polled)
}

// starts has an operator start a rollout, again and again until it stands in the log.
func (w *World) starts(x *trial) {
	if top := w.newest(); top != nil && top.Plan().Rollout(x.id) != nil || w.calm {
		return
	}
	w.operate(w.sites[0], x, rollout.Command{Start: &rollout.Start{ID: x.id, Policy: x.policy.Text(), By: "desk", Why: "a trial"}})
	w.after(3*time.Second, func() { w.starts(x) })
}

// meddle has an operator force a stage, halt a rollout at a site, or resume it.
func (w *World) meddle(x *trial, what int, p *place) {
	top := w.newest()
	r := (*rollout.Rollout)(nil)
	if top != nil {
		r = top.Plan().Rollout(x.id)
	}
	switch {
	case r == nil:
	case what == 0:
		w.operate(w.sites[0], x, rollout.Command{Force: &rollout.OperatorAction{ID: x.id, Stage: r.Stage, By: "desk", Why: "known"}})
	case what == 1:
		w.operate(p, x, rollout.Command{Halt: &rollout.Halt{ID: x.id, Cause: rollout.Operator, By: "desk", Why: "a doubt"}})
	default:
		w.operate(w.sites[0], x, rollout.Command{Resume: &rollout.OperatorAction{ID: x.id, By: "desk", Why: "no doubt"}})
	}
}

// operate brings an operator's call before a site's council through any of its nodes, which passes it on once.
func (w *World) operate(p *place, x *trial, cmd rollout.Command) {
	n := p.nodes[w.rng.IntN(len(p.nodes))]
	x.forced = x.forced || cmd.Force != nil // it may be agreed whatever is answered
	var call func(n *node, passed bool)
	call = func(n *node, passed bool) {
		if !n.up || n.paused || n.core == nil {
			return
		}
		done := func(_ control.Reply, err error) {
			var elsewhere *control.NotLeaderError
			if errors.As(err, &elsewhere) && !passed {
				w.after(time.Millisecond, func() { call(w.byName[elsewhere.Leader], true) })
				return
			}
			w.say(fmt.Sprint("at ", n.name, " ", describe(cmd), " ", x.id, ": ", err))
		}
		if h := cmd.Halt; h != nil {
			n.core.Halt(n.clock(), h.ID, h.By, h.Why, done)
		} else {
			n.core.Plan(n.clock(), x.id, cmd, done)
		}
	}
	call(n, false)
}

func describe(cmd rollout.Command) string {
	switch {
	case cmd.Start != nil:
		return "start"
	case cmd.Force != nil:
		return "force " + cmd.Force.Stage.String()
	case cmd.Halt != nil:
		return "halt"
	}
	return "resume"
}

// newest is what the top's log says, at the seat that has applied most of it.
func (w *World) newest() (top *rollout.RootState) {
	most := uint64(0)
	for _, n := range w.sites[0].nodes {
		if n.core != nil && n.core.RootState() != nil && n.core.AppliedIndex() >= most {
			most, top = n.core.AppliedIndex(), n.core.RootState()
		}
	}
	return top
}

// polled looks several times a second whether any loop goes by a trial for too long.
func (w *World) polled() {
	w.after(200*time.Millisecond, w.polled)
	top := w.newest()
	if top == nil {
		return
	}
	for _, n := range w.nodes {
		k := &n.treated
		if top.Plan().Assigned(n.name).Trial {
			k.assigned = w.now
		}
		if !n.up {
			continue
		}
		if n.paused {
			k.awake = w.now
			continue
		}
		if !w.tries(n) {
			continue
		}
		w.tally.Tried++
		if since := w.now - max(k.assigned, k.awake); since > stages.TrialLease+stages.TrialLease/50+slack {
			w.broken(fmt.Sprintf("%s goes by a trial %v after the top had it do so", n.name, since))
		}
	}
}

// tries says whether a node's loop goes by a trial.
func (w *World) tries(n *node) bool {
	top := w.newest()
	return slices.ContainsFunc(w.trials, func(x *trial) bool {
		return n.goes.Hash == x.policy.Hash() && top.Plan().Good() != x.policy.Hash() && n.goes.LeaseEnd > 0
	})
}

// count makes up what a node's loop has counted since its last report.
func (n *node) count() []control.PolicyCounts {
	c := rollout.Counts{Class: "chat", Offered: 10}
	for range c.Offered {
		if n.w.rng.IntN(50) > 0 {
			c.Served++
		}
	}
	for _, x := range n.w.trials {
		if x.bad && n.goes.Hash == x.policy.Hash() {
			c.Served -= min(c.Served, c.Offered/4)
		}
	}
	return []control.PolicyCounts{{Policy: n.goes.Hash, Counts: []rollout.Counts{c}}}
}

// settled looks at the end whether all is over.
func (w *World) settled() {
	top := w.newest()
	if w.Rollouts == 0 || top == nil {
		return
	}
	for _, r := range top.Plan().Rollouts() {
		w.tally.Over = append(w.tally.Over, r.Phase.String()+" "+r.Cause.String())
		if r.Phase.Active() {
			w.broken(fmt.Sprintf("%s is still %v in stage %v: %s", r.ID, r.Phase, r.Stage, r.Missing))
		}
		i := slices.IndexFunc(w.trials, func(x *trial) bool { return x.id == r.ID })
		if x := w.trials[i]; x.bad && !x.forced && r.Phase == rollout.Done {
			w.broken(r.ID + " loses a quarter of all requests and is good")
		}
	}
	good := top.Plan().Good()
	for _, n := range w.nodes {
		goes := n.goes.Hash
		if goes == "" {
			goes = rollout.EmptyPolicy().Hash()
		}
		if n.up && goes != good {
			w.broken(fmt.Sprintf("%s goes by %q, the good policy is %q", n.name, n.goes.Hash, good))
		}
	}
}
