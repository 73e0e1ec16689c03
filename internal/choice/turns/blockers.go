package turns

import (
	"fmt"
	"slices"
	"time"
)

// Blocker is a reason why a turn cannot be granted yet.
type Blocker struct {
	Node string // empty if it is not a node
	Why  string // for operators
}

// Blockers returns what keeps a turn in Preparing from being granted. If empty, the leader may propose the grant, with the round.
//
// A member does not block the turn if it is declared dead, or if its recorded exclusion set contains the host and it has
// confirmed the round or its send lease has expired. The exclusion set is required also if the node has confirmed: a node that
// restarts while it is cut off knows only its store. No recorded set does not count as one with all hosts: the node may have
// stored one that the Raft group does not know of yet.
//
// A node with a new store that the Raft group has not heard of still has the exclusion set of an older incarnation recorded.
// Without a send lease it excludes all hosts until an answer says that its own set is recorded, so relying on the old one is
// safe. Once an Ack of the new incarnation is committed, the old one no longer counts.
func (b *Schedule) Blockers(id string, views []NodeView) []Blocker {
	t, known := b.Turn(id)
	switch {
	case !known:
		return []Blocker{{Why: fmt.Sprintf("no such turn: %q", id)}}
	case t.Phase != Preparing:
		return []Blocker{{Why: fmt.Sprintf("the turn is %v, not %v", t.Phase, Preparing)}}
	case len(b.members) == 0:
		return []Blocker{{Why: "the members of the site are not known yet"}}
	}
	var blockers []Blocker
	for _, node := range b.members {
		if why := b.blockedBy(&t, node, views); why != "" {
			blockers = append(blockers, Blocker{Node: node, Why: why})
		}
	}
	return blockers
}

// blockedBy returns why a member keeps a turn from being granted, or "".
func (b *Schedule) blockedBy(t *Turn, node string, views []NodeView) string {
	if b.Dead(node) {
		return ""
	}
	i := slices.IndexFunc(views, func(v NodeView) bool { return v.Node == node })
	if i < 0 {
		return "the leader has no information about the node"
	}
	v := views[i]
	version := b.RecordedVersion(node)
	excluded := b.contains(version, t.Host)
	round, confirmed := v.Confirmed[t.Host]
	switch {
	case excluded && (v.LeaseExpired || confirmed && round == t.Round):
		return ""
	case v.LeaseExpired && version == 0:
		return "the node is cut off and has acknowledged no exclusion set: it has to reconnect or be declared dead"
	case v.LeaseExpired:
		return fmt.Sprintf("the node is cut off, and exclusion set %d, its last, lacks the host: it has to reconnect or be declared dead",
			version)
	case confirmed && round == t.Round && version == 0:
		return "the node sends nothing new to the host, but has acknowledged no exclusion set yet: no action is needed"
	case confirmed && round == t.Round:
		return fmt.Sprintf("the node sends nothing new to the host, but exclusion set %d, its last, lacks the host: it will acknowledge a newer one without action",
			version)
	case confirmed:
		return fmt.Sprintf("the node has confirmed round %d, not %d", round, t.Round)
	}
	return "the node has not confirmed that it sends nothing new to the host"
}

// RevokeBlocked returns a revocation of a turn that has been in Preparing for longer than patience because of a node that is cut
// off and whose exclusion set lacks the host, if another turn could go instead that no such node blocks; false if there is none.
// Twice the duration of a send lease is a suitable value for patience.
func (b *Schedule) RevokeBlocked(now time.Duration, views []NodeView, patience time.Duration) (Command, bool) {
	now = max(now, b.at)
	var cutOff []uint64 // exclusion sets of the members that are cut off
	for _, v := range views {
		if _, member := slices.BinarySearch(b.members, v.Node); member && v.LeaseExpired && !b.Dead(v.Node) {
			cutOff = append(cutOff, b.RecordedVersion(v.Node))
		}
	}
	lacks := func(host string) bool {
		return slices.ContainsFunc(cutOff, func(version uint64) bool { return !b.contains(version, host) })
	}
	u := b.usage()
	if len(cutOff) == 0 || u.failed > b.limits.Failed {
		return Command{}, false
	}
	positions := b.waiting(now)
	for _, t := range b.turns {
		if t.Phase != Preparing || now-t.Since <= patience || !lacks(t.Host) {
			continue
		}
		e, _ := b.host(t.Host)
		n := 1
		if e.outWithoutTurn() {
			n = 0
		}
		u.add(e, -n)
		i := slices.IndexFunc(positions, func(p position) bool { return !lacks(p.Host) && b.fits(&u, p.Turn, now) == Accepted })
		u.add(e, n)
		if i >= 0 {
			return Command{At: now, Revoke: &Ref{ID: t.ID, Round: t.Round,
				Why: fmt.Sprintf("a node that is cut off blocks it; turn %q can go meanwhile", positions[i].ID)}}, true
		}
	}
	return Command{}, false
}
