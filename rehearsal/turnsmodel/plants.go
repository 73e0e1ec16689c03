package turnsmodel

import (
	"slices"
	"time"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/turns"
)

// planted is a planted bug: a changed copy of what a node or a seat does with the real parts. The daemon has none.
type injectedBug struct {
	name, about string
	world       string // that finds it

	noDrift              bool          // seats count rights without the drift
	noQuorum             bool          // a seat answers that only believes that it leads
	requestsWhileWriting bool          // a node asks while its store is being written
	restoresOldStore     bool          // an older copy of a node's store may be put back
	waitsForDead         bool          // nodes that are declared dead are waited for
	noRevoke             bool          // no turn is called back that a node holds up which is cut off
	acksOnce             bool          // an acknowledgement is proposed once, whatever became of it
	leadershipBackdated  time.Duration // a new leader counts from so much earlier

	changeRequest      func(n *Node, q sendlease.LeaseRequest) sendlease.LeaseRequest
	changeResponse     func(s *State, node int, a sendlease.LeaseResponse) sendlease.LeaseResponse // before it is taken in
	changeRestrictions func(n *Node, v sendlease.Restrictions) sendlease.Restrictions
	excludedHosts      func(view *logPrefix) []sendlease.ExcludedHost // that an answer tells
	changeFleet        func(s *State, f *turns.Fleet)                 // that the leader looks at
	blockers           func(s *State, replica int, t turns.Turn, views []turns.NodeView) []turns.Blocker
}

// Plant tells of a planted bug, and which world finds it.
type BugInfo struct{ Name, About, World string }

// Plants lists the bugs that can be planted.
func InjectedBugs() []BugInfo {
	list := make([]BugInfo, len(injectedBugs))
	for i, p := range injectedBugs {
		list[i] = BugInfo{p.name, p.about, p.world}
	}
	return list
}

// known is what a node's control knows, durable or not.
func (n *Node) known() sendlease.Saved { return n.Holder.Clone().Saved() }

// newest returns the newest horizon of a store.
func newestExclusionSet(s sendlease.Saved) sendlease.ExclusionSet {
	if len(s.ExclusionSets) == 0 {
		return sendlease.ExclusionSet{}
	}
	return s.ExclusionSets[len(s.ExclusionSets)-1]
}

// holding is the real rule with views that are changed first.
func blockersWithViews(change func(t turns.Turn, v *turns.NodeView)) func(*State, int, turns.Turn, []turns.NodeView) []turns.Blocker {
	return func(s *State, replica int, t turns.Turn, views []turns.NodeView) []turns.Blocker {
		for i := range views {
			change(t, &views[i])
		}
		return s.view(replica).schedule.Blockers(t.ID, views)
	}
}

// without is the real rule with some blockers left out, for nodes whose right has run out or for all.
func blockersExcept(which func(*State, []turns.NodeView, turns.Blocker, string) bool,
	expiredOnly bool) func(*State, int, turns.Turn, []turns.NodeView) []turns.Blocker {
	return func(s *State, replica int, t turns.Turn, views []turns.NodeView) []turns.Blocker {
		return slices.DeleteFunc(s.view(replica).schedule.Blockers(t.ID, views), func(b turns.Blocker) bool {
			i := slices.IndexFunc(views, func(v turns.NodeView) bool { return v.Node == b.Node })
			return i >= 0 && (!expiredOnly || views[i].LeaseExpired) && which(s, views, b, t.Host)
		})
	}
}

var injectedBugs = []injectedBug{
	{name: "right-from-arrival", world: "cut-off", about: "a right counts from when its answer came",
		changeResponse: func(s *State, node int, a sendlease.LeaseResponse) sendlease.LeaseResponse {
			if now := s.nodeNow(node); a.Applied >= s.Nodes[node].known().Applied {
				s.Nodes[node].BugLeaseEnd = now + terms.Duration
			}
			return a
		},
		changeRestrictions: func(n *Node, v sendlease.Restrictions) sendlease.Restrictions {
			if n.Writing == nil {
				v.LeaseEnd = max(v.LeaseEnd, n.BugLeaseEnd)
			}
			return v
		}},
	{name: "right-without-end", world: "cut-off", about: "a right that has run out is gone by",
		changeRestrictions: func(n *Node, v sendlease.Restrictions) sendlease.Restrictions {
			if v.LeaseEnd > 0 {
				v.LeaseEnd = time.Duration(1<<62 - 1)
			}
			return v
		}},
	{name: "new-leader-goes-on", world: "new-leader", about: "a new leader takes the rights that it knows nothing of for lapsed",
		leadershipBackdated: time.Hour},
	{name: "counts-without-drift", world: "cut-off", about: "the council counts a right no longer than the node", noDrift: true},
	{name: "answers-without-quorum", world: "new-leader", about: "a seat answers that only believes that it leads", noQuorum: true},
	{name: "acks-before-stored", world: "cut-off", about: "a horizon is acknowledged before it stands in the store", requestsWhileWriting: true,
		changeRequest: func(n *Node, q sendlease.LeaseRequest) sendlease.LeaseRequest {
			q.Acked = newestExclusionSet(n.known()).Version
			return q
		}},
	{name: "acks-before-loop", world: "cut-off", about: "a horizon is acknowledged before the loop goes by it",
		changeRequest: func(n *Node, q sendlease.LeaseRequest) sendlease.LeaseRequest {
			q.Acked = newestExclusionSet(*n.Stored).Version
			return q
		}},
	{name: "confirms-before-loop", world: "cut-off", about: "a host is confirmed before the loop withholds it",
		changeRequest: func(n *Node, q sendlease.LeaseRequest) sendlease.LeaseRequest {
			q.Confirmed = n.Stored.ExcludedHosts
			return q
		}},
	{name: "horizon-dropped-on-ack", world: "withdrawn", about: "an older horizon is dropped when the newer one is stored, not when it is recorded",
		changeRestrictions: func(n *Node, v sendlease.Restrictions) sendlease.Restrictions {
			v.ExcludedAfterExpiry = newestExclusionSet(n.known()).Hosts
			return v
		}},
	{name: "right-before-outs", world: "cut-off", about: "the right is taken before the hosts that came with it are withheld",
		changeRestrictions: func(n *Node, v sendlease.Restrictions) sendlease.Restrictions {
			if n.LoopRestrictions != nil && v.LeaseEnd > n.LoopRestrictions.LeaseEnd {
				v.ExcludedHosts, v.ExclusionSetVersion = n.LoopRestrictions.ExcludedHosts, n.LoopRestrictions.ExclusionSetVersion
			}
			return v
		}},
	{name: "empty-store-withholds-nothing", world: "lost-store", about: "a node that was never told anything withholds nothing",
		changeRestrictions: func(_ *Node, v sendlease.Restrictions) sendlease.Restrictions {
			v.AllAfterExpiry = false
			return v
		}},
	{name: "told-is-enough", world: "lost-and-withdrawn", about: "a new store's first horizon is taken for the one that the council goes by",
		changeRestrictions: func(n *Node, v sendlease.Restrictions) sendlease.Restrictions {
			v.AllAfterExpiry = v.AllAfterExpiry && len(n.known().ExclusionSets) == 0
			return v
		}},
	{name: "round-not-compared", world: "withdrawn", about: "a confirmation of an earlier round counts",
		blockers: blockersWithViews(func(t turns.Turn, v *turns.NodeView) {
			if _, confirmed := v.Confirmed[t.Host]; confirmed {
				v.Confirmed[t.Host] = t.Round
			}
		})},
	{name: "grants-beyond-horizon", world: "cut-off", about: "a node that is cut off is taken for clear of any host",
		blockers: func(s *State, replica int, t turns.Turn, views []turns.NodeView) []turns.Blocker {
			return slices.DeleteFunc(s.view(replica).schedule.Blockers(t.ID, views), func(b turns.Blocker) bool {
				return slices.ContainsFunc(views, func(v turns.NodeView) bool { return v.Node == b.Node && v.LeaseExpired })
			})
		}},
	{name: "grants-without-node", world: "cut-off", about: "a node with no recorded horizon is left out",
		blockers: func(s *State, replica int, t turns.Turn, views []turns.NodeView) []turns.Blocker {
			schedule := s.view(replica).schedule
			return slices.DeleteFunc(schedule.Blockers(t.ID, views), func(b turns.Blocker) bool { return schedule.RecordedVersion(b.Node) == 0 })
		}},
	{name: "horizon-taken-as-lapsed", world: "cut-off", about: "a node whose horizon has the host is taken for clear while its right runs",
		blockers: blockersWithViews(func(_ turns.Turn, v *turns.NodeView) { v.LeaseExpired = true })},
	{name: "answer-of-another-question", world: "late-calls", about: "an answer is taken for that to the last question",
		changeResponse: func(s *State, node int, a sendlease.LeaseResponse) sendlease.LeaseResponse {
			h := s.Nodes[node].Holder
			a.Seq = h.Clone().NextRequest(0).Seq - 1
			return a
		}},
	{name: "older-store-put-back", world: "restart", about: "an older copy of a node's store is put back", restoresOldStore: true},
	{name: "one-horizon-for-all", world: "two-nodes", about: "a horizon that one node has acknowledged is taken for every node's",
		blockers: blockersExcept(func(s *State, _ []turns.NodeView, b turns.Blocker, host string) bool {
			return slices.ContainsFunc(nodeNames[:], func(node string) bool {
				return slices.Contains(s.Log.acknowledgedHosts(node), host)
			})
		}, true)},
	{name: "one-confirmation-for-all", world: "two-nodes", about: "a host that one node has confirmed is taken for confirmed by all",
		blockers: blockersExcept(func(_ *State, views []turns.NodeView, b turns.Blocker, host string) bool {
			return slices.ContainsFunc(views, func(v turns.NodeView) bool { return v.Node != b.Node && v.Confirmed[host] > 0 })
		}, false)},
	{name: "dead-for-all", world: "dead", about: "once a node is declared dead, no other one is waited for",
		blockers: blockersExcept(func(s *State, views []turns.NodeView, _ turns.Blocker, _ string) bool {
			return slices.ContainsFunc(views, func(v turns.NodeView) bool { return s.Log.schedule.Dead(v.Node) })
		}, false)},
	{name: "dead-holds-up", world: "promises-and-deaths", about: "a node that is declared dead is waited for", waitsForDead: true},
	{name: "ban-not-told", world: "bans", about: "nodes are not told of a host that is out by hand",
		excludedHosts: func(view *logPrefix) []sendlease.ExcludedHost {
			return slices.DeleteFunc(slices.Clone(view.excludedHosts), func(o sendlease.ExcludedHost) bool { return view.turnOf(o.Host).Round != o.Round })
		}},
	{name: "ban-lost-in-turn", world: "bans", about: "the council forgets the ban of a host that has a turn",
		changeFleet: func(s *State, f *turns.Fleet) {
			for i := range f.Hosts {
				f.Hosts[i].Banned = f.Hosts[i].Banned && s.Log.turnOf(f.Hosts[i].ID).ID == ""
			}
		}},
	{name: "round-of-the-ban", world: "promises-and-bans", about: "a host that is banned is told with another round than that of its turn",
		excludedHosts: func(view *logPrefix) []sendlease.ExcludedHost {
			excluded := slices.Clone(view.excludedHosts)
			for i, h := range view.schedule.Hosts() {
				if at := slices.IndexFunc(excluded, func(o sendlease.ExcludedHost) bool { return o.Host == h.ID }); h.Banned && at >= 0 {
					excluded[at].Round = uint64(i + 1) // of the log's beginning, where no turn was prepared
				}
			}
			return excluded
		}},
	{name: "never-called-back", world: "promises", about: "a turn that waits for a node that is cut off is not called back for one that can go",
		noRevoke: true},
	{name: "acknowledged-once", world: "promises-and-bans", about: "an acknowledgement is proposed once, whatever becomes of it", acksOnce: true},
}
