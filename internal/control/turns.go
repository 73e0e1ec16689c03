package control

import (
	"slices"
	"time"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/turns"
)

// This file is what a leader proposes about turns for work, and what a turn waits for.

// next returns what the leader proposes next, the same order each time: who there is, what may be out, what the hosts are,
// then the turns. A host is taken out or handed over by what the nodes have told up to now, not by the book's last look.
func (c *Core) next(now time.Duration) (turns.Command, bool) {
	cmd, any := c.nextByBook(now)
	if !any || cmd.Prepare == nil && cmd.Grant == nil {
		return cmd, any
	}
	if fleet, changed := c.fleetNow(now); changed {
		return turns.Command{Fleet: &turns.Fleet{Hosts: fleet, AppliedIndex: c.applied}}, true
	}
	return cmd, true
}

// nextByBook is next by the hosts as the book has them.
func (c *Core) nextByBook(now time.Duration) (turns.Command, bool) {
	if c.book.Limits() != c.Site.Turns {
		limits := c.Site.Turns
		return turns.Command{Limits: &limits}, true
	}
	if members, changed := c.members(now); changed {
		return turns.Command{Members: &turns.Members{Nodes: members}}, true
	}
	if fleet, changed := c.fleet(now); changed {
		return turns.Command{Fleet: &turns.Fleet{Hosts: fleet, AppliedIndex: c.applied}}, true
	}
	stamp := max(c.stamp, now)
	if cmd, any := c.book.NextRevocation(stamp); any {
		return cmd, true
	}
	views := c.views(now)
	for _, t := range c.book.Turns() {
		if t.Phase == turns.Preparing && len(c.book.Blockers(t.ID, views)) == 0 {
			return turns.Command{Grant: &turns.Ref{ID: t.ID, Round: t.Round}}, true
		}
	}
	if cmd, any := c.book.Next(stamp); any && c.withinDisruptionLimit(now, cmd) && c.knowsHomes(now, cmd) {
		return cmd, true
	}
	return c.book.RevokeBlocked(stamp, views, stuckAfter*c.Site.SendLease.Duration)
}

// members returns the nodes that count: those on the file, and those taken off it whose right may still run.
func (c *Core) members(now time.Duration) ([]string, bool) {
	members := slices.Clone(c.Site.Members)
	for _, node := range c.book.Members() {
		if !slices.Contains(members, node) && !c.book.Dead(node) && c.table.LeaseState(now, node) != sendlease.Expired {
			members = append(members, node)
		}
	}
	slices.Sort(members)
	return members, !slices.Equal(members, c.book.Members())
}

// views returns what is known of each node.
func (c *Core) views(now time.Duration) []turns.NodeView {
	var all []turns.NodeView
	for _, node := range c.book.Members() {
		all = append(all, turns.NodeView{Node: node, LeaseExpired: c.table.LeaseState(now, node) == sendlease.Expired,
			Confirmed: c.table.Confirmed(node)})
	}
	return all
}

// Blockers says what stands in a turn's way, in words.
func (c *Core) Blockers(now time.Duration, t turns.Turn) (all []string) {
	for _, b := range c.HeldUp(now, t) {
		if b.Node == "" {
			all = append(all, b.Why)
			continue
		}
		all = append(all, b.Node+": "+b.Why)
	}
	return all
}

// HeldUp returns which nodes a turn waits for, as far as this node leads: in Preparing, and where it is asked for, also what else it waits for.
func (c *Core) HeldUp(now time.Duration, t turns.Turn) []turns.Blocker {
	switch {
	case !c.leading:
		return nil
	case t.Phase == turns.Preparing:
		return c.book.Blockers(t.ID, c.views(now))
	case t.Phase == turns.Requested:
		return c.keptBack(now, t)
	}
	return nil
}

// keptBack returns why a turn that is asked for is not prepared.
func (c *Core) keptBack(now time.Duration, t turns.Turn) []turns.Blocker {
	cmd := turns.Command{At: max(c.stamp, now), Prepare: &turns.Ref{ID: t.ID}}
	if err := c.book.Check(cmd); err != nil {
		return []turns.Blocker{{Why: err.Error()}}
	}
	if !c.withinDisruptionLimit(now, cmd) {
		return []turns.Blocker{{Why: "work and policies under way disturb as much as the site may bear"}}
	}
	if !c.book.IsOnlyHostOut(t.ID) {
		return c.unknownHomes(now)
	}
	return nil
}

// unknownHomes returns the nodes for whose word of their groups a turn waits beside another one.
func (c *Core) unknownHomes(now time.Duration) (blockers []turns.Blocker) {
	for _, node := range c.groupsUnknown(now) {
		blockers = append(blockers, turns.Blocker{Node: node,
			Why: "the node has not told yet which groups gather at its hosts: it will some seconds after its start by itself"})
	}
	return blockers
}
