package main

import (
	"bytes"
	"reflect"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/config"
	"lichenhitch/internal/control"
	"lichenhitch/internal/lifecycle"
	"lichenhitch/internal/settings"
)

// This file is what policies in stages ask of the traffic: to go by one, and to tell what was counted under which. Settings are
// those of the configuration, as read, with the policy laid over them.

// mostTold is how many policies' counts wait at most for a control that is behind. It is what sets policies, so that there
// are hardly two.
const mostTold = 4

// tuning is what the node goes by. It belongs to the loop.
type tuning struct {
	set      balance.Settings       // as they are in effect
	wanted   control.Policy         // that control has set last
	asked    rollout.Hash           // of the one that control has asked for last
	under    rollout.Hash           // of the one that is laid over the settings; "": none
	told     []control.PolicyCounts // under earlier ones, not told yet
	changes  uint64                 // of the settings as read
	expiring bool                   // a timer looks at the end of a trial's lease
}

// traffic is the node as control has it do things.
type traffic struct{ *node }

var _ control.Traffic = traffic{}

// ApplyRestrictions implements control.Traffic.
func (t traffic) ApplyRestrictions(v sendlease.Restrictions) { t.core.ApplyVerdict(v) }

// ApplyPolicy implements control.Traffic.
func (t traffic) ApplyPolicy(p control.Policy) {
	t.tuning.asked = p.Hash
	if t.tuning.wanted.Hash == p.Hash && t.tuning.under == p.Hash { // no more than a longer lease
		t.tuning.wanted = p
		t.expire()
		return
	}
	if err := t.goBy(p); err != nil {
		t.log.Error("the policy does not fit the settings; the node goes on as before", "policy", p.Hash, "under", t.tuning.under,
			"error", err)
		return
	}
	t.tuning.wanted = p
	t.log.Info("goes by a policy", "policy", p.Hash)
	t.expire()
}

// expire has the good policy hold once the lease of the trial is over, whatever control does meanwhile.
func (n *node) expire() {
	w := n.tuning.wanted
	if n.tuning.expiring || w.LeaseEnd == 0 || w.Good == nil {
		return
	}
	n.tuning.expiring = true
	n.loop.After(w.LeaseEnd-n.loop.Now(), func() {
		n.tuning.expiring = false
		if w := n.tuning.wanted; w.Good != nil && n.loop.Now() >= w.LeaseEnd {
			n.log.Info("the lease of a trial policy is over; goes by the good one", "policy", w.Good.Hash, "trial", w.Hash)
			n.tuning.wanted = *w.Good
			n.fallBack(w)
		}
		n.expire()
	})
}

// Check implements control.Traffic.
func (t traffic) Check(p control.Policy) error {
	_, err := laid(t.read.Load(), p)
	return err
}

// laid returns settings as read with a policy laid over them. An error is a *rollout.Fault.
func laid(cfg *config.Config, p control.Policy) (balance.Settings, error) {
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
		return set, &rollout.Fault{Fault: err.Error()} // Over has decoded it before
	}
	set.PassThrough = cfg.Settings.PassThrough // only a start takes it over
	return set, nil
}

// goBy goes by the settings as read with a policy laid over them from now on. If that fails nothing has changed.
func (n *node) goBy(p control.Policy) error {
	set, err := laid(&n.cfg, p)
	if err != nil {
		return err
	}
	n.putAside()
	longest := max(longestDeadline(set), longestDeadline(n.tuning.set)) // of queries that are open, too
	n.tuning.set, n.tuning.under = set, p.Hash
	n.core.ApplySettings(set)
	n.acceptor.ApplySettings(set)
	n.connector.SetConnectTimeout(set.ConnectTimeout)
	n.discovery.ApplySettings(set)
	n.service.MaxStay = lifecycle.MaxStay(longest)
	return nil
}

// resettle goes by a configuration that was read again, with the policy over it. Where that does not fit any more, the
// settings hold without it, and with the good policy where it was a trial, until it fits again or control sets another.
func (n *node) resettle(cfg config.Config) {
	if !reflect.DeepEqual(cfg.Settings, n.cfg.Settings) {
		n.tuning.changes++
	}
	n.cfg.Discovery, n.cfg.Settings, n.cfg.RawSettings, n.cfg.Keys = cfg.Discovery, cfg.Settings, cfg.RawSettings, cfg.Keys
	n.publishSettings()
	if err := n.goBy(n.tuning.wanted); err != nil {
		n.log.Error("the policy does not fit the new settings; they hold without it, or with the good one", "policy",
			n.tuning.wanted.Hash, "error", err)
		n.fallBack(n.tuning.wanted)
	}
}

// fallBack leaves a policy: the good one holds in place of a trial, or, where there is none or it does not fit either, the
// settings without any.
func (n *node) fallBack(from control.Policy) {
	good := control.Policy{}
	if from.Good != nil {
		good = *from.Good
	}
	if err := n.goBy(good); err != nil {
		n.log.Error("the good policy does not fit the settings, which hold without it", "policy", good.Hash, "error", err)
		_ = n.goBy(control.Policy{}) // which fits always
	}
}

// publishSettings lets Check know of the settings as read.
func (n *node) publishSettings() {
	cfg := n.cfg
	n.read.Store(&cfg)
}

// putAside ends what was counted up to now under the policy that was in effect.
func (n *node) putAside() {
	if c, any := n.counted(); any {
		if n.tuning.told = append(n.tuning.told, c); len(n.tuning.told) > mostTold {
			n.log.Warn("control is behind: what was counted under a policy is lost", "policy", n.tuning.told[0].Policy)
			n.tuning.told = n.tuning.told[1:]
		}
		n.core.ResetCounts()
	}
}

// counted returns what was counted since it was last told or put aside, if anything was.
func (n *node) counted() (c control.PolicyCounts, any bool) {
	c.Policy = n.tuning.under
	c.Counts, c.Guards = n.core.Counts(n.worth())
	return c, len(c.Counts)+len(c.Guards) > 0
}

// worth tells what a class is worth by the settings as read: what a policy says of it must not count for the policy.
func (n *node) worth() func(class string) float64 {
	worth := map[string]float64{}
	for _, c := range n.cfg.Settings.Classes {
		worth[c.Name] = c.Value
	}
	return func(class string) float64 { return worth[class] }
}

// evidence adds to a report what was counted, and returns what to do once control has the report. What was counted stays
// until then.
func (n *node) evidence(r *control.Report) (taken func()) {
	r.Counted = append(r.Counted, n.tuning.told...)
	if c, any := n.counted(); any {
		r.Counted = append(r.Counted, c)
	}
	return func() {
		n.tuning.told = nil
		n.core.ResetCounts()
	}
}
