package control

import (
	"slices"
	"strings"
	"time"

	"lichenhitch/internal/consensus"
	"lichenhitch/internal/peer/peerpb"
)

// The roles of a replica in a StatusReport.
const (
	roleLeader      = "leader"
	roleFollower    = "follower"
	roleLearner     = "learner" // without a vote
	roleUnconfirmed = "waiting" // until others have confirmed that its store is not a stale one
	roleBehind      = "behind"  // its log lacks entries that others had when it came back
	roleStopped     = "stopped"
	roleNone        = "none" // no replica, or no group yet
)

// StatusReport returns the state of this node's replica and send lease.
func (c *Core) StatusReport(now time.Duration) *peerpb.SeatStatus {
	s := &peerpb.SeatStatus{Node: c.Site.Node, Role: roleNone}
	if left := c.leaseHolder.Restrictions().LeaseEnd - now; left > 0 {
		s.RightMs = left.Milliseconds()
	}
	if c.replica != nil {
		st := c.replica.Status()
		s.Role, s.Term, s.Committed, s.Applied = c.role(st), st.Term, st.Committed, st.Applied
	}
	if c.leading {
		s.Unreached = c.unreachable()
	}
	if c.stopCause != nil {
		s.Role, s.Stopped = roleStopped, c.stopCause.Error()
	}
	return s
}

func (c *Core) role(st consensus.Status) string {
	switch {
	case st.Unconfirmed:
		return roleUnconfirmed
	case c.leading:
		return roleLeader
	case st.Behind:
		return roleBehind
	case slices.Contains(st.Learners, c.replicaID):
		return roleLearner
	case !slices.Contains(st.Voters, c.replicaID):
		return roleNone
	}
	return roleFollower
}

// reachability records which replicas respond to this one's calls. A replica whose own calls arrive may still be
// unreachable: then it does not receive the log.
type reachability struct {
	lastReply map[string]uint64 // tick of the last reply, by node
	since     uint64            // tick from which missing replies count: when this replica began to lead
	logged    map[string]bool   // nodes that were logged as unreachable
}

func newReachability(since uint64) reachability {
	return reachability{lastReply: map[string]uint64{}, since: since, logged: map[string]bool{}}
}

// unreachable returns the nodes of the voters that have not responded to a call of this leader for reportTTLTicks.
func (c *Core) unreachable() (nodes []string) {
	for _, id := range c.replica.Status().Voters {
		name := c.replicaName(id)
		if id != c.replicaID && c.ticks-max(c.reachability.lastReply[name], c.reachability.since) >= reportTTLTicks {
			nodes = append(nodes, name)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// logReachability logs which replicas this leader does not reach any more, and which it reaches again.
func (c *Core) logReachability() {
	if !c.leading || c.stopCause != nil {
		return
	}
	unreachable := c.unreachable()
	for _, name := range unreachable {
		if c.reachability.logged[name] {
			continue
		}
		c.reachability.logged[name] = true
		reports := "no"
		if other := c.peers[name]; other != nil && c.ticks-other.heardAt < reportTTLTicks {
			reports = "yes"
		}
		c.env.Log("a seat does not answer its leader's calls", "seat", name, "its own calls come", reports,
			"action", "check that its node runs; if its own calls arrive, check that the address that the site file gives for it leads there")
	}
	var restored []string
	for name := range c.reachability.logged {
		if !slices.Contains(unreachable, name) {
			delete(c.reachability.logged, name)
			restored = append(restored, name)
		}
	}
	if len(restored) > 0 {
		slices.Sort(restored)
		c.env.Log("seats answer their leader's calls again, or are none any more", "seats", strings.Join(restored, " "))
	}
}

// logConfirmed logs that this replica no longer waits for others to confirm its store.
func (c *Core) logConfirmed(st consensus.Status) {
	if c.wasUnconfirmed && !st.Unconfirmed {
		c.env.Log("the seat waits no more", "seat", c.Site.Node, "term", st.Term, "applied", st.Applied)
	}
	c.wasUnconfirmed = st.Unconfirmed
}
