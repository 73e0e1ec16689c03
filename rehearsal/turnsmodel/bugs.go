package turnsmodel

import (
	"slices"
	"time"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/turns"
)

// injectedBug changes what a node or a replica does with the real code. The daemon has none of these bugs.
type injectedBug struct {
	name, about string
	world       string // the world that finds it

	noDrift              bool          // replicas count leases without the drift
	noQuorum             bool          // a replica that only believes it leads responds
	requestsWhileWriting bool          // a node sends requests while its store is being written
	restoresOldStore     bool          // an old copy of a node's store may be restored
	waitsForDead         bool          // nodes that are declared dead are waited for
	noRevoke             bool          // a turn that is blocked by a node which is cut off is not revoked
	acksOnce             bool          // an acknowledgement is proposed once, even if the proposal is lost
	leadershipBackdated  time.Duration // a new leader assumes that it has led for this much longer

	changeRequest      func(n *Node, q sendlease.LeaseRequest) sendlease.LeaseRequest
	changeResponse     func(s *State, node int, a sendlease.LeaseResponse) sendlease.LeaseResponse // before the node handles it
	changeRestrictions func(n *Node, v sendlease.Restrictions) sendlease.Restrictions
	excludedHosts      func(view *logPrefix) []sendlease.ExcludedHost // that a response contains
	changeFleet        func(s *State, f *turns.Fleet)                 // that the leader observes
	blockers           func(s *State, replica int, t turns.Turn, views []turns.NodeView) []turns.Blocker
}

// BugInfo describes an injected bug and names the world that finds it.
type BugInfo struct{ Name, About, World string }

// InjectedBugs lists the bugs that can be injected.
func InjectedBugs() []BugInfo {
	list := make([]BugInfo, len(injectedBugs))
	for i, p := range injectedBugs {
		list[i] = BugInfo{p.name, p.about, p.world}
	}
	return list
}

// known returns what a node's control code knows, whether stored or not.
func (n *Node) known() sendlease.Saved { return n.Holder.Clone().Saved() }

// newestExclusionSet returns the newest exclusion set of a store.
func newestExclusionSet(s sendlease.Saved) sendlease.ExclusionSet {
	if len(s.ExclusionSets) == 0 {
		return sendlease.ExclusionSet{}
	}
	return s.ExclusionSets[len(s.ExclusionSets)-1]
}

// blockersWithViews applies the real rule to changed views.
func blockersWithViews(change func(t turns.Turn, v *turns.NodeView)) func(*State, int, turns.Turn, []turns.NodeView) []turns.Blocker {
	return func(s *State, replica int, t turns.Turn, views []turns.NodeView) []turns.Blocker {
		for i := range views {
			change(t, &views[i])
		}
		return s.view(replica).schedule.Blockers(t.ID, views)
	}
}

// blockersExcept applies the real rule and removes the matching blockers, of nodes whose lease has expired or of all nodes.
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
	{name: "right-from-arrival", world: "cut-off", about: "a lease starts when its response arrives, not when it was requested",
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
	{name: "right-without-end", world: "cut-off", about: "an expired lease is still used",
		changeRestrictions: func(n *Node, v sendlease.Restrictions) sendlease.Restrictions {
			if v.LeaseEnd > 0 {
				v.LeaseEnd = time.Duration(1<<62 - 1)
			}
			return v
		}},
	{name: "new-leader-goes-on", world: "new-leader", about: "a new leader takes leases that it does not know of as expired",
		leadershipBackdated: time.Hour},
	{name: "counts-without-drift", world: "cut-off",
		about: "the consensus group counts a lease as valid for no longer than the node does", noDrift: true},
	{name: "answers-without-quorum", world: "new-leader", about: "a replica that only believes it leads responds", noQuorum: true},
	{name: "acks-before-stored", world: "cut-off", about: "an exclusion set is acknowledged before it is stored", requestsWhileWriting: true,
		changeRequest: func(n *Node, q sendlease.LeaseRequest) sendlease.LeaseRequest {
			q.Acked = newestExclusionSet(n.known()).Version
			return q
		}},
	{name: "acks-before-loop", world: "cut-off", about: "an exclusion set is acknowledged before the loop applies it",
		changeRequest: func(n *Node, q sendlease.LeaseRequest) sendlease.LeaseRequest {
			q.Acked = newestExclusionSet(*n.Stored).Version
			return q
		}},
	{name: "confirms-before-loop", world: "cut-off", about: "a host is confirmed before the loop excludes it",
		changeRequest: func(n *Node, q sendlease.LeaseRequest) sendlease.LeaseRequest {
			q.Confirmed = n.Stored.ExcludedHosts
			return q
		}},
	{name: "horizon-dropped-on-ack", world: "withdrawn",
		about: "an older exclusion set is dropped when the newer one is stored, not when it is recorded",
		changeRestrictions: func(n *Node, v sendlease.Restrictions) sendlease.Restrictions {
			v.ExcludedAfterExpiry = newestExclusionSet(n.known()).Hosts
			return v
		}},
	{name: "right-before-outs", world: "cut-off", about: "the lease is used before the hosts in the same response are excluded",
		changeRestrictions: func(n *Node, v sendlease.Restrictions) sendlease.Restrictions {
			if n.LoopRestrictions != nil && v.LeaseEnd > n.LoopRestrictions.LeaseEnd {
				v.ExcludedHosts, v.ExclusionSetVersion = n.LoopRestrictions.ExcludedHosts, n.LoopRestrictions.ExclusionSetVersion
			}
			return v
		}},
	{name: "empty-store-withholds-nothing", world: "lost-store", about: "a node that never had a response excludes nothing",
		changeRestrictions: func(_ *Node, v sendlease.Restrictions) sendlease.Restrictions {
			v.AllAfterExpiry = false
			return v
		}},
	{name: "told-is-enough", world: "lost-and-withdrawn",
		about: "the first exclusion set of a new store is taken for the one that is recorded for the node",
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
	{name: "grants-beyond-horizon", world: "cut-off", about: "a node that is cut off blocks no grant",
		blockers: func(s *State, replica int, t turns.Turn, views []turns.NodeView) []turns.Blocker {
			return slices.DeleteFunc(s.view(replica).schedule.Blockers(t.ID, views), func(b turns.Blocker) bool {
				return slices.ContainsFunc(views, func(v turns.NodeView) bool { return v.Node == b.Node && v.LeaseExpired })
			})
		}},
	{name: "grants-without-node", world: "cut-off", about: "a node with no recorded exclusion set blocks no grant",
		blockers: func(s *State, replica int, t turns.Turn, views []turns.NodeView) []turns.Blocker {
			schedule := s.view(replica).schedule
			return slices.DeleteFunc(schedule.Blockers(t.ID, views), func(b turns.Blocker) bool { return schedule.RecordedVersion(b.Node) == 0 })
		}},
	{name: "horizon-taken-as-lapsed", world: "cut-off",
		about:    "a node whose exclusion set has the host does not block its grant while the lease is valid",
		blockers: blockersWithViews(func(_ turns.Turn, v *turns.NodeView) { v.LeaseExpired = true })},
	{name: "answer-of-another-question", world: "late-calls", about: "any response is taken for the response to the last request",
		changeResponse: func(s *State, node int, a sendlease.LeaseResponse) sendlease.LeaseResponse {
			h := s.Nodes[node].Holder
			a.Seq = h.Clone().NextRequest(0).Seq - 1
			return a
		}},
	{name: "older-store-put-back", world: "restart", about: "an old copy of a node's store is restored", restoresOldStore: true},
	{name: "one-horizon-for-all", world: "two-nodes", about: "an exclusion set that one node has acknowledged counts for every node",
		blockers: blockersExcept(func(s *State, _ []turns.NodeView, b turns.Blocker, host string) bool {
			return slices.ContainsFunc(nodeNames[:], func(node string) bool {
				return slices.Contains(s.Log.acknowledgedHosts(node), host)
			})
		}, true)},
	{name: "one-confirmation-for-all", world: "two-nodes", about: "a host that one node has confirmed counts as confirmed by all",
		blockers: blockersExcept(func(_ *State, views []turns.NodeView, b turns.Blocker, host string) bool {
			return slices.ContainsFunc(views, func(v turns.NodeView) bool { return v.Node != b.Node && v.Confirmed[host] > 0 })
		}, false)},
	{name: "dead-for-all", world: "dead", about: "once a node is declared dead, no other node is waited for",
		blockers: blockersExcept(func(s *State, views []turns.NodeView, _ turns.Blocker, _ string) bool {
			return slices.ContainsFunc(views, func(v turns.NodeView) bool { return s.Log.schedule.Dead(v.Node) })
		}, false)},
	{name: "dead-holds-up", world: "promises-and-deaths", about: "a node that is declared dead is waited for", waitsForDead: true},
	{name: "ban-not-told", world: "bans", about: "responses to nodes omit a banned host",
		excludedHosts: func(view *logPrefix) []sendlease.ExcludedHost {
			return slices.DeleteFunc(slices.Clone(view.excludedHosts), func(o sendlease.ExcludedHost) bool {
				return view.turnOf(o.Host).Round != o.Round
			})
		}},
	{name: "ban-lost-in-turn", world: "bans", about: "the consensus group forgets the ban of a host that has a turn",
		changeFleet: func(s *State, f *turns.Fleet) {
			for i := range f.Hosts {
				f.Hosts[i].Banned = f.Hosts[i].Banned && s.Log.turnOf(f.Hosts[i].ID).ID == ""
			}
		}},
	{name: "round-of-the-ban", world: "promises-and-bans", about: "responses give a banned host another round than that of its turn",
		excludedHosts: func(view *logPrefix) []sendlease.ExcludedHost {
			excluded := slices.Clone(view.excludedHosts)
			for i, h := range view.schedule.Hosts() {
				if at := slices.IndexFunc(excluded, func(o sendlease.ExcludedHost) bool { return o.Host == h.ID }); h.Banned && at >= 0 {
					excluded[at].Round = uint64(i + 1) // an index at the start of the log, where no turn was prepared
				}
			}
			return excluded
		}},
	{name: "never-called-back", world: "promises",
		about:    "a turn that waits for a node which is cut off is not revoked for one that can be granted",
		noRevoke: true},
	{name: "acknowledged-once", world: "promises-and-bans",
		about: "an acknowledgement is proposed once, even if the proposal is lost", acksOnce: true},
}
