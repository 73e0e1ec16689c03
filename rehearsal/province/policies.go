package province

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/control"
)

// Simulated operators start rollouts of policies at the root site, halt them at any site, resume them and force stages, while
// faults are injected. Traffic is synthetic: the counts of a node depend on the policy that its traffic loop applies. Checked:
//
//   - No traffic loop applies a policy on trial for longer than the trial lease after the root site last had it assigned to the
//     node, counted from the node's last resumption from a pause if that is later.
//   - A policy that loses a quarter of its requests does not become the good policy, unless an operator forces a stage.
//   - At the end, after the phase without faults, every rollout is over and every traffic loop applies the root site's good
//     policy.

// stageLimits are the limits of the rollouts: stages that take days in operation take seconds here.
var stageLimits = rollout.Limits{Alpha: 0.05, Beta: 0.3, Margin: 0.1, MinRequests: 10, MaxHold: 30 * time.Second, TrialLease: 8 * time.Second, MaxCrashes: 3,
	Slice: 2 * time.Second, WindowSlices: 1, BaselineWindows: 2, Settle: time.Second, MaxStageTime: 60 * time.Second, SlowMargin: 0.3, Coverage: 0.5}

// leaseSlack is how late the end of a trial lease may take effect at a node: its tick, and the delay to its traffic loop.
const leaseSlack = time.Second

// trial is one policy in a rollout.
type trial struct {
	id      string
	policy  rollout.Policy
	harmful bool // loses a quarter of all requests
	forced  bool // an operator has forced a stage
}

// trialState is the state of a node for the check of the trial lease.
type trialState struct {
	lastAssigned time.Duration // when the root site last had a trial assigned to the node
	runningSince time.Duration // when it was last observed paused
}

// setUpRollouts configures the nodes for rollouts and schedules the rollouts and the operators' actions.
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
			panic(err) // the text is fixed above
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

// startRollout makes an operator start a rollout, repeatedly until the root site's log contains it.
func (w *World) startRollout(trial *trial) {
	if root := w.rootState(); root != nil && root.Plan().Rollout(trial.id) != nil || w.quiet {
		return
	}
	w.submitCommand(w.sites[0], trial, rollout.Command{Start: &rollout.Start{ID: trial.id, Policy: trial.policy.Text(), By: "desk", Why: "a trial"}})
	w.after(3*time.Second, func() { w.startRollout(trial) })
}

// operatorAction makes an operator force a stage, halt a rollout at a site, or resume it.
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

// submitCommand makes an operator's call at a random node of a site, which forwards it to the leader at most once.
func (w *World) submitCommand(site *siteState, trial *trial, cmd rollout.Command) {
	n := site.nodes[w.rng.IntN(len(site.nodes))]
	trial.forced = trial.forced || cmd.Force != nil // it may be committed whatever the reply is
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

// rootState returns the rollout state of the root site, from the replica that has applied most of the log; nil if there is none.
func (w *World) rootState() (newest *rollout.RootState) {
	most := uint64(0)
	for _, n := range w.sites[0].nodes {
		if n.core != nil && n.core.RootState() != nil && n.core.AppliedIndex() >= most {
			most, newest = n.core.AppliedIndex(), n.core.RootState()
		}
	}
	return newest
}

// checkTrials checks five times a second that no traffic loop has applied a trial for too long.
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
			w.violation(fmt.Sprintf("%s applies a trial %v after the root site last assigned one to it", n.name, since))
		}
	}
}

// appliesTrial reports whether a node's traffic loop applies a policy on trial.
func (w *World) appliesTrial(n *node) bool {
	root := w.rootState()
	return slices.ContainsFunc(w.trials, func(x *trial) bool {
		return n.policy.Hash == x.policy.Hash() && root.Plan().Good() != x.policy.Hash() && n.policy.LeaseEnd > 0
	})
}

// counts returns synthetic counts of a node's traffic loop since its last report.
func (n *node) counts() []control.PolicyCounts {
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
	return []control.PolicyCounts{{Policy: n.policy.Hash, Counts: []rollout.Counts{c}}}
}

// checkRollouts checks at the end that every rollout is over and every node applies the good policy.
func (w *World) checkRollouts() {
	root := w.rootState()
	if w.Rollouts == 0 || root == nil {
		return
	}
	for _, r := range root.Plan().Rollouts() {
		w.tally.RolloutOutcomes = append(w.tally.RolloutOutcomes, r.Phase.String()+" "+r.Cause.String())
		if r.Phase.Active() {
			w.violation(fmt.Sprintf("%s is still %v in stage %v, missing: %s", r.ID, r.Phase, r.Stage, r.Missing))
		}
		index := slices.IndexFunc(w.trials, func(x *trial) bool { return x.id == r.ID })
		if x := w.trials[index]; x.harmful && !x.forced && r.Phase == rollout.Done {
			w.violation(r.ID + " loses a quarter of all requests and became the good policy")
		}
	}
	good := root.Plan().Good()
	for _, n := range w.nodes {
		policy := n.policy.Hash
		if policy == "" {
			policy = rollout.EmptyPolicy().Hash()
		}
		if n.up && policy != good {
			w.violation(fmt.Sprintf("%s applies policy %q, the good policy is %q", n.name, n.policy.Hash, good))
		}
	}
}
