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
var stageLimits = rollout.Limits{Alpha: 0.05, Beta: 0.3, Margin: 0.1, MinRequests: 10, MaxHold: 30 * time.Second, TrialLease: 8 * time.Second, MaxCrashes: 3,
	Slice: 2 * time.Second, WindowSlices: 1, BaselineWindows: 2, Settle: time.Second, MaxStageTime: 60 * time.Second, SlowMargin: 0.3, Coverage: 0.5}

// slack is what the end of a lease may be late at a node: its tick, and the way to its loop.
const leaseSlack = time.Second

// trial is one policy on its way.
type trial struct {
	id      string
	policy  rollout.Policy
	harmful bool // it loses a quarter of all requests
	forced  bool
}

// treated is what is known of a node for the first promise.
type trialState struct {
	lastAssigned time.Duration // when the top last had it go by a trial, as its log says
	runningSince time.Duration // since when it is not stopped
}

func (w *World) setUpRollouts() {
	if w.Rollouts == 0 {
		return
	}
	for _, n := range w.nodes {
		n.config.Rollout = stageLimits
		if n.site.parent != nil {
			continue
		}
		for _, site := range w.sites {
			if isBelow(site, n.site) {
				n.config.Descendants = append(n.config.Descendants, site.definition)
			}
		}
	}
	for i := range w.Rollouts {
		text := fmt.Sprintf(`{"permissions":{"max_attempts":%d}}`, i+2)
		policy, err := rollout.Parse([]byte(text))
		if err != nil {
			panic(err) // the text is made here
		}
		trial := &trial{id: fmt.Sprint("r", i), policy: policy, harmful: w.planRNG.IntN(2) == 0}
		w.trials = append(w.trials, trial)
		w.after(12*time.Second+randomUpTo(w.planRNG, w.FaultPhase/3), func() { w.startRollout(trial) })
		for range w.planRNG.IntN(3) {
			action, site := w.planRNG.IntN(3), w.sites[w.planRNG.IntN(len(w.sites))]
			w.after(20*time.Second+randomUpTo(w.planRNG, w.FaultPhase-20*time.Second), func() { w.operatorAction(trial, action, site) })
		}
	}
	w.after(time.Second, w.checkTrials)
}

// starts has an operator start a rollout, again and again until it stands in the log.
func (w *World) startRollout(trial *trial) {
	if root := w.rootState(); root != nil && root.Plan().Rollout(trial.id) != nil || w.quiet {
		return
	}
	w.submitCommand(w.sites[0], trial, rollout.Command{Start: &rollout.Start{ID: trial.id, Policy: trial.policy.Text(), By: "desk", Why: "a trial"}})
	w.after(3*time.Second, func() { w.startRollout(trial) })
}

// meddle has an operator force a stage, halt a rollout at a site, or resume it.
func (w *World) operatorAction(trial *trial, action int, site *siteState) {
	root := w.rootState()
	started := (*rollout.Rollout)(nil)
	if root != nil {
		started = root.Plan().Rollout(trial.id)
	}
	switch {
	case started == nil:
	case action == 0:
		w.submitCommand(w.sites[0], trial, rollout.Command{Force: &rollout.OperatorAction{ID: trial.id, Stage: started.Stage, By: "desk", Why: "known"}})
	case action == 1:
		w.submitCommand(site, trial, rollout.Command{Halt: &rollout.Halt{ID: trial.id, Cause: rollout.Operator, By: "desk", Why: "a doubt"}})
	default:
		w.submitCommand(w.sites[0], trial, rollout.Command{Resume: &rollout.OperatorAction{ID: trial.id, By: "desk", Why: "no doubt"}})
	}
}

// operate brings an operator's call before a site's council through any of its nodes, which passes it on once.
func (w *World) submitCommand(site *siteState, trial *trial, cmd rollout.Command) {
	n := site.nodes[w.rng.IntN(len(site.nodes))]
	trial.forced = trial.forced || cmd.Force != nil // it may be agreed whatever is answered
	var call func(n *node, forwarded bool)
	call = func(n *node, forwarded bool) {
		if !n.up || n.paused || n.core == nil {
			return
		}
		done := func(_ control.Reply, err error) {
			var notLeader *control.NotLeaderError
			if errors.As(err, &notLeader) && !forwarded {
				w.after(time.Millisecond, func() { call(w.byName[notLeader.Leader], true) })
				return
			}
			w.log(fmt.Sprint("at ", n.name, " ", describe(cmd), " ", trial.id, ": ", err))
		}
		if h := cmd.Halt; h != nil {
			n.core.Halt(n.clock(), h.ID, h.By, h.Why, done)
		} else {
			n.core.Plan(n.clock(), trial.id, cmd, done)
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
func (w *World) rootState() (newest *rollout.RootState) {
	most := uint64(0)
	for _, n := range w.sites[0].nodes {
		if n.core != nil && n.core.Top() != nil && n.core.AppliedIndex() >= most {
			most, newest = n.core.AppliedIndex(), n.core.Top()
		}
	}
	return newest
}

// polled looks several times a second whether any loop goes by a trial for too long.
func (w *World) checkTrials() {
	w.after(200*time.Millisecond, w.checkTrials)
	root := w.rootState()
	if root == nil {
		return
	}
	for _, n := range w.nodes {
		state := &n.trialState
		if root.Plan().Assigned(n.name).Trial {
			state.lastAssigned = w.now
		}
		if !n.up {
			continue
		}
		if n.paused {
			state.runningSince = w.now
			continue
		}
		if !w.appliesTrial(n) {
			continue
		}
		w.tally.TrialObservations++
		if since := w.now - max(state.lastAssigned, state.runningSince); since > stageLimits.TrialLease+stageLimits.TrialLease/50+leaseSlack {
			w.violation(fmt.Sprintf("%s goes by a trial %v after the top had it do so", n.name, since))
		}
	}
}

// tries says whether a node's loop goes by a trial.
func (w *World) appliesTrial(n *node) bool {
	root := w.rootState()
	return slices.ContainsFunc(w.trials, func(x *trial) bool {
		return n.policy.Hash == x.policy.Hash() && root.Plan().Good() != x.policy.Hash() && n.policy.Until > 0
	})
}

// count makes up what a node's loop has counted since its last report.
func (n *node) counts() []control.Counted {
	c := rollout.Counts{Class: "chat", Offered: 10}
	for range c.Offered {
		if n.w.rng.IntN(50) > 0 {
			c.Served++
		}
	}
	for _, x := range n.w.trials {
		if x.harmful && n.policy.Hash == x.policy.Hash() {
			c.Served -= min(c.Served, c.Offered/4)
		}
	}
	return []control.Counted{{Under: n.policy.Hash, Counts: []rollout.Counts{c}}}
}

// settled looks at the end whether all is over.
func (w *World) checkRollouts() {
	root := w.rootState()
	if w.Rollouts == 0 || root == nil {
		return
	}
	for _, r := range root.Plan().Rollouts() {
		w.tally.RolloutOutcomes = append(w.tally.RolloutOutcomes, r.Phase.String()+" "+r.Cause.String())
		if r.Phase.Active() {
			w.violation(fmt.Sprintf("%s is still %v in stage %v: %s", r.ID, r.Phase, r.Stage, r.Missing))
		}
		index := slices.IndexFunc(w.trials, func(x *trial) bool { return x.id == r.ID })
		if x := w.trials[index]; x.harmful && !x.forced && r.Phase == rollout.Done {
			w.violation(r.ID + " loses a quarter of all requests and is good")
		}
	}
	good := root.Plan().Good()
	for _, n := range w.nodes {
		policy := n.policy.Hash
		if policy == "" {
			policy = rollout.EmptyPolicy().Hash()
		}
		if n.up && policy != good {
			w.violation(fmt.Sprintf("%s goes by %q, the good policy is %q", n.name, n.policy.Hash, good))
		}
	}
}
