package main

import (
	"bytes"
	"reflect"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/config"
	"lichenhitch/internal/control"
	"lichenhitch/internal/settings"
)

// This file is the traffic side of policies that are rolled out in stages: it applies a policy and reports what was
// counted under it. Settings are those of the configuration, as read, overlaid with the policy.

// maxUnreportedCounts is the maximum number of policies whose counts wait for a control that is behind. Control
// itself sets the policies, so that there are rarely more than two.
const maxUnreportedCounts = 4

// policyState holds the policy and the settings that the node applies. It belongs to the loop.
type policyState struct {
	settings        balance.Settings       // as they are in effect
	wanted          control.Policy         // set last, by control or after the lease of a trial expired
	requested       rollout.Hash           // the one that control requested last, whether it fitted or not
	applied         rollout.Hash           // the one that overlays the settings; "" for none
	unreported      []control.PolicyCounts // counted under earlier policies and not reported yet
	settingsChanges uint64                 // number of changes of the settings as read
	expiryScheduled bool                   // a timer for the end of a trial's lease is set
}

// traffic implements control.Traffic, the operations that control calls on the node.
type traffic struct{ *node }

var _ control.Traffic = traffic{}

// ApplyRestrictions implements control.Traffic.
func (t traffic) ApplyRestrictions(restrictions sendlease.Restrictions) {
	t.core.ApplyRestrictions(restrictions)
}

// ApplyPolicy implements control.Traffic.
func (t traffic) ApplyPolicy(p control.Policy) {
	t.policyState.requested = p.Hash
	if t.policyState.wanted.Hash == p.Hash && t.policyState.applied == p.Hash { // only the lease is extended
		t.policyState.wanted = p
		t.scheduleExpiry()
		return
	}
	if err := t.applyPolicy(p); err != nil {
		t.log.Error("the policy does not fit the settings; the node continues as before", "policy", p.Hash,
			"under", t.policyState.applied, "error", err)
		return
	}
	t.policyState.wanted = p
	t.log.Info("goes by a policy", "policy", p.Hash)
	t.scheduleExpiry()
}

// scheduleExpiry sets a timer that applies the good policy when the lease of the trial expires, whatever state
// control is in.
func (n *node) scheduleExpiry() {
	w := n.policyState.wanted
	if n.policyState.expiryScheduled || w.LeaseEnd == 0 || w.Good == nil {
		return
	}
	n.policyState.expiryScheduled = true
	n.loop.After(w.LeaseEnd-n.loop.Now(), func() {
		n.policyState.expiryScheduled = false
		if w := n.policyState.wanted; w.Good != nil && n.loop.Now() >= w.LeaseEnd {
			n.log.Info("the lease of a trial policy has expired; the good policy is applied", "policy", w.Good.Hash, "trial", w.Hash)
			n.policyState.wanted = *w.Good
			n.fallBack(w)
		}
		n.scheduleExpiry()
	})
}

// Check implements control.Traffic.
func (t traffic) Check(p control.Policy) error {
	_, err := overlay(t.latestConfig.Load(), p)
	return err
}

// overlay returns the settings as read, overlaid with a policy. An error is a *rollout.Fault.
func overlay(cfg *config.Config, p control.Policy) (balance.Settings, error) {
	if len(p.Text) == 0 || string(bytes.TrimSpace(p.Text)) == "{}" {
		return cfg.Settings, nil
	}
	policy, err := rollout.Parse(p.Text)
	if err != nil {
		return balance.Settings{}, err
	}
	raw, err := policy.ApplyTo(cfg.RawSettings)
	if err != nil {
		return balance.Settings{}, err
	}
	set, err := settings.Decode(raw)
	if err != nil {
		return set, &rollout.Fault{Fault: err.Error()} // ApplyTo has decoded the same text before
	}
	set.PassThrough = cfg.Settings.PassThrough // only a restart changes it
	return set, nil
}

// applyPolicy applies the settings as read, overlaid with a policy. On an error nothing has changed.
func (n *node) applyPolicy(p control.Policy) error {
	set, err := overlay(&n.cfg, p)
	if err != nil {
		return err
	}
	n.closeCounts()
	n.policyState.settings, n.policyState.applied = set, p.Hash
	n.core.ApplySettings(set)
	n.acceptor.ApplySettings(set)
	n.connector.SetConnectTimeout(set.ConnectTimeout)
	n.discovery.ApplySettings(set)
	return nil
}

// applyConfig applies a configuration that was read again, overlaid with the policy. If the policy does not fit the
// new settings, they apply without it, or with the good policy where it was a trial, until it fits again or control
// sets another one.
func (n *node) applyConfig(cfg config.Config) {
	if !reflect.DeepEqual(cfg.Settings, n.cfg.Settings) {
		n.policyState.settingsChanges++
	}
	n.cfg.Discovery, n.cfg.Settings, n.cfg.RawSettings, n.cfg.Keys = cfg.Discovery, cfg.Settings, cfg.RawSettings, cfg.Keys
	n.publishSettings()
	if err := n.applyPolicy(n.policyState.wanted); err != nil {
		n.log.Error("the policy does not fit the new settings; they apply without it, or with the good policy", "policy",
			n.policyState.wanted.Hash, "error", err)
		n.fallBack(n.policyState.wanted)
	}
}

// fallBack replaces a policy that can no longer be applied: by the good policy if it was a trial, or by the settings
// without a policy where there is no good policy or that does not fit either.
func (n *node) fallBack(from control.Policy) {
	good := control.Policy{}
	if from.Good != nil {
		good = *from.Good
	}
	if err := n.applyPolicy(good); err != nil {
		n.log.Error("the good policy does not fit the settings, which apply without it", "policy", good.Hash, "error", err)
		_ = n.applyPolicy(control.Policy{}) // which always fits
	}
}

// publishSettings makes the settings as read available to Check.
func (n *node) publishSettings() {
	cfg := n.cfg
	n.latestConfig.Store(&cfg)
}

// closeCounts ends the counts under the policy that has been in effect and keeps them for a report.
func (n *node) closeCounts() {
	if c, found := n.currentCounts(); found {
		if n.policyState.unreported = append(n.policyState.unreported, c); len(n.policyState.unreported) > maxUnreportedCounts {
			n.log.Warn("control is behind; the counts under a policy are lost", "policy", n.policyState.unreported[0].Policy)
			n.policyState.unreported = n.policyState.unreported[1:]
		}
		n.core.ResetCounts()
	}
}

// currentCounts returns the counts since they were last reported or closed, and whether there are any.
func (n *node) currentCounts() (c control.PolicyCounts, found bool) {
	c.Policy = n.policyState.applied
	c.Counts, c.Guards = n.core.Counts(n.classValue())
	return c, len(c.Counts)+len(c.Guards) > 0
}

// classValue returns the value of a class by the settings as read, without the policy: what a policy sets as the
// value must not count in its own favor.
func (n *node) classValue() func(class string) float64 {
	values := map[string]float64{}
	for _, c := range n.cfg.Settings.Classes {
		values[c.Name] = c.Value
	}
	return func(class string) float64 { return values[class] }
}

// addCounts adds the counts to a report, and returns the function to call once control has accepted the report. The
// counts are kept until then.
func (n *node) addCounts(r *control.Report) (accepted func()) {
	r.Counted = append(r.Counted, n.policyState.unreported...)
	if c, found := n.currentCounts(); found {
		r.Counted = append(r.Counted, c)
	}
	return func() {
		n.policyState.unreported = nil
		n.core.ResetCounts()
	}
}
