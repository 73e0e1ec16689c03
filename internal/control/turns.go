package control

import (
	"slices"
	"time"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/turns"
)

// This file has the leader's proposals about turns (permissions to do maintenance on a host), and what a turn waits for.

// nextTurnCommand returns what the leader proposes next, in a fixed order: limits of the hosts out of service, members, the
// hosts, then the turns. Before a host is taken out of service or granted, the reports that have arrived up to now are merged:
// the hosts in the schedule may be older.
func (c *Core) nextTurnCommand(now time.Duration) (turns.Command, bool) {
	cmd, ok := c.nextScheduleCommand(now)
	if !ok || cmd.Prepare == nil && cmd.Grant == nil {
		return cmd, ok
	}
	if fleet, changed := c.mergeFleet(now); changed {
		return turns.Command{Fleet: &turns.Fleet{Hosts: fleet, AppliedIndex: c.appliedIndex}}, true
	}
	return cmd, true
}

// nextScheduleCommand is nextTurnCommand based on the hosts as the schedule has them.
func (c *Core) nextScheduleCommand(now time.Duration) (turns.Command, bool) {
	if c.schedule.Limits() != c.Site.Turns {
		limits := c.Site.Turns
		return turns.Command{Limits: &limits}, true
	}
	if members, changed := c.members(now); changed {
		return turns.Command{Members: &turns.Members{Nodes: members}}, true
	}
	if fleet, changed := c.fleetIfDue(now); changed {
		return turns.Command{Fleet: &turns.Fleet{Hosts: fleet, AppliedIndex: c.appliedIndex}}, true
	}
	stamp := max(c.lastStamp, now)
	if cmd, ok := c.schedule.NextRevocation(stamp); ok {
		return cmd, true
	}
	views := c.nodeViews(now)
	for _, t := range c.schedule.Turns() {
		if t.Phase == turns.Preparing && len(c.schedule.Blockers(t.ID, views)) == 0 {
			return turns.Command{Grant: &turns.Ref{ID: t.ID, Round: t.Round}}, true
		}
	}
	if cmd, ok := c.schedule.Next(stamp); ok && c.withinDisruptionLimit(now, cmd) && c.groupsKnownFor(now, cmd) {
		return cmd, true
	}
	return c.schedule.RevokeBlocked(stamp, views, blockedRevokeLeases*c.Site.SendLease.Duration)
}

// members returns the nodes that count: those in the site file, and those removed from it whose send lease may still be
// valid. It also reports whether they differ from the schedule's members.
func (c *Core) members(now time.Duration) ([]string, bool) {
	members := slices.Clone(c.Site.Members)
	for _, node := range c.schedule.Members() {
		if !slices.Contains(members, node) && !c.schedule.Dead(node) && c.leaseTable.LeaseState(now, node) != sendlease.Expired {
			members = append(members, node)
		}
	}
	slices.Sort(members)
	return members, !slices.Equal(members, c.schedule.Members())
}

// nodeViews returns what is known of each node: whether its send lease has expired, and the exclusions that it confirmed.
func (c *Core) nodeViews(now time.Duration) []turns.NodeView {
	var all []turns.NodeView
	for _, node := range c.schedule.Members() {
		all = append(all, turns.NodeView{Node: node, LeaseExpired: c.leaseTable.LeaseState(now, node) == sendlease.Expired,
			Confirmed: c.leaseTable.Confirmed(node)})
	}
	return all
}

// BlockerTexts describes what a turn waits for, for operators.
func (c *Core) BlockerTexts(now time.Duration, t turns.Turn) (all []string) {
	for _, b := range c.Blockers(now, t) {
		if b.Node == "" {
			all = append(all, b.Why)
			continue
		}
		all = append(all, b.Node+": "+b.Why)
	}
	return all
}

// Blockers returns what a turn waits for, nil if this node does not lead. In phase Preparing these are nodes; in phase Requested
// also other reasons.
func (c *Core) Blockers(now time.Duration, t turns.Turn) []turns.Blocker {
	switch {
	case !c.leading:
		return nil
	case t.Phase == turns.Preparing:
		return c.schedule.Blockers(t.ID, c.nodeViews(now))
	case t.Phase == turns.Requested:
		return c.requestBlockers(now, t)
	}
	return nil
}

// requestBlockers returns why a requested turn is not prepared yet.
func (c *Core) requestBlockers(now time.Duration, t turns.Turn) []turns.Blocker {
	prepare := turns.Command{At: max(c.lastStamp, now), Prepare: &turns.Ref{ID: t.ID}}
	if err := c.schedule.Check(prepare); err != nil {
		return []turns.Blocker{{Why: err.Error()}}
	}
	if !c.withinDisruptionLimit(now, prepare) {
		return []turns.Blocker{{Why: "maintenance and policy trials in progress already use the disruption that the site allows"}}
	}
	if !c.schedule.IsOnlyHostOut(t.ID) {
		return c.unknownGroupBlockers(now)
	}
	return nil
}

// unknownGroupBlockers returns the nodes whose report on the groups of hosts a turn waits for while another host is out of
// service.
func (c *Core) unknownGroupBlockers(now time.Duration) (blockers []turns.Blocker) {
	for _, node := range c.groupsUnknown(now) {
		blockers = append(blockers, turns.Blocker{Node: node,
			Why: "the node has not reported yet which groups prefer its hosts; it does so some seconds after its start"})
	}
	return blockers
}
