package control

import (
	"slices"
	"strings"
	"time"

	"lichenhitch/internal/consensus"
	"lichenhitch/internal/peer/peerpb"
)

// The roles of a seat, as Standing tells them.
const (
	roleLeader   = "leader"
	roleFollower = "follower"
	roleLearner  = "learner" // without a vote
	roleWaiting  = "waiting" // for other seats' word that its store is not an older one
	roleBehind   = "behind"  // its log has not come up to what others had when it came back
	roleStopped  = "stopped"
	roleNone     = "none" // no seat, or of no council yet
)

// Standing tells where this node stands in its council.
func (c *Core) Standing(now time.Duration) *peerpb.SeatStatus {
	s := &peerpb.SeatStatus{Node: c.Site.Node, Role: roleNone}
	if left := c.leaseHolder.Restrictions().LeaseEnd - now; left > 0 {
		s.RightMs = left.Milliseconds()
	}
	if c.replica != nil {
		st := c.replica.Status()
		s.Role, s.Term, s.Committed, s.Applied = c.role(st), st.Term, st.Committed, st.Applied
	}
	if c.leading {
		s.Unreached = c.unreached()
	}
	if c.stopCause != nil {
		s.Role, s.Stopped = roleStopped, c.stopCause.Error()
	}
	return s
}

func (c *Core) role(st consensus.Status) string {
	switch {
	case st.Unconfirmed:
		return roleWaiting
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

// reach is which seats answer the calls of this one. A seat whose own calls come through may still be out of reach: then it hears
// nothing of what is agreed on.
type reach struct {
	answered map[string]uint64 // node to the tick of its last reply
	since    uint64            // tick from which silence counts: when this seat began to lead
	told     map[string]bool   // nodes that the log calls unreached
}

func newReach(since uint64) reach {
	return reach{answered: map[string]uint64{}, since: since, told: map[string]bool{}}
}

// unreached returns the nodes of the seats that have not answered a call of this leader for freshTicks.
func (c *Core) unreached() (nodes []string) {
	for _, id := range c.replica.Status().Voters {
		name := c.called(id)
		if id != c.replicaID && c.ticks-max(c.reachability.answered[name], c.reachability.since) >= freshTicks {
			nodes = append(nodes, name)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// tellReach logs which seats this leader has ceased to reach, and which it reaches again.
func (c *Core) tellReach() {
	if !c.leading || c.stopCause != nil {
		return
	}
	unreached := c.unreached()
	for _, name := range unreached {
		if c.reachability.told[name] {
			continue
		}
		c.reachability.told[name] = true
		heard := "no"
		if o := c.peers[name]; o != nil && c.ticks-o.at < freshTicks {
			heard = "yes"
		}
		c.env.Log("a seat does not answer its leader's calls", "seat", name, "its own calls come", heard,
			"action", "see whether its node runs; if its own calls come, whether the address that the site file gives for it leads there")
	}
	var back []string
	for name := range c.reachability.told {
		if !slices.Contains(unreached, name) {
			delete(c.reachability.told, name)
			back = append(back, name)
		}
	}
	if len(back) > 0 {
		slices.Sort(back)
		c.env.Log("seats answer their leader's calls again, or are none any more", "seats", strings.Join(back, " "))
	}
}

// tellRelease logs that the wait of this seat for other seats' word is over.
func (c *Core) tellRelease(st consensus.Status) {
	if c.wasUnconfirmed && !st.Unconfirmed {
		c.env.Log("the seat waits no more", "seat", c.Site.Node, "term", st.Term, "applied", st.Applied)
	}
	c.wasUnconfirmed = st.Unconfirmed
}
