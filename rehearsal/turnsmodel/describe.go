package turnsmodel

import (
	"fmt"
	"strings"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/rehearsal/model"
)

// Describe implements model.Model. It describes a step and its effects.
func (m *Model) Describe(s State, st model.Step, next State) string {
	op, n, arg := Decode(st)
	node, replica := "", fmt.Sprint("replica ", n+1)
	if n < m.Nodes {
		node = nodeNames[n]
	}
	var text string
	switch op {
	case Tick:
		text = fmt.Sprint("time passes: ", next.Tick)
	case RequestLease:
		for _, c := range next.Nodes[n].Calls {
			if c.Stage == RequestInTransit && !c.RequesterGone {
				text = fmt.Sprintf("%s sends request %d: exclusion set %d acknowledged, confirmed%s", node, c.Request.Seq,
					c.Request.Acked, formatExcluded(c.Request.Confirmed))
			}
		}
	case Receive, ReceiveDuplicated, ReceiveAckLost:
		c := s.Nodes[n].Calls[arg>>1]
		text = fmt.Sprintf("request %d of %s arrives at replica %d", c.Request.Seq, node, arg&1+1)
		if op == ReceiveDuplicated {
			text += ", and will arrive again"
		}
		if op == ReceiveAckLost {
			text += ", and its acknowledgement is lost"
		}
		if c.RequesterGone {
			text += "; the process that sent it has ended"
		}
	case Respond:
		c := s.Nodes[n].Calls[arg]
		text = fmt.Sprintf("replica %d responds to request %d of %s", c.Replica+1, c.Request.Seq, node)
		a := next.Nodes[n].Calls[arg].Response
		text += fmt.Sprintf(": log %d, excluded%s, exclusion set %d%v, recorded %d", a.Applied,
			formatExcluded(a.ExcludedHosts), a.ExclusionSet.Version, a.ExclusionSet.Hosts, a.Recorded)
	case Deliver:
		text = fmt.Sprintf("the response to request %d arrives at %s", s.Nodes[n].Calls[arg].Request.Seq, node)
	case Store:
		text = "the response is stored by " + node
	case ApplyRestrictions:
		text = "the loop of " + node + " applies the newest restrictions"
	case ReportInEffect:
		text = "the loop of " + node + " reports that the restrictions are in effect"
	case Restart:
		text = node + " restarts with " + [...]string{"its store", "its store, just written", "an empty store",
			"an old copy of its store"}[arg]
	case Elect:
		text = "replica 2 is elected; replica 1 still believes that it leads"
	case StepDown:
		text = "replica 1 learns that it no longer leads"
	case Propose:
		text = replica + " proposes the command that its schedule calls for"
	case Grant:
		text = replica + " grants host " + hostNames[arg] + " for its turn"
	case RequestTurn:
		text = "a turn is requested for host " + hostNames[arg]
	case Withdraw:
		text = "the turn of host " + hostNames[arg] + " is withdrawn"
	case Finish:
		text = "the work on host " + hostNames[arg] + " begins and ends, and the host is back"
	case CompleteCall:
		text = node + " asks and is answered" + [...]string{"", "; its acknowledgement is lost"}[arg]
	case Prepare:
		text = replica + " prepares host " + hostNames[arg] + " for its turn"
	case RevokeTurn:
		text = replica + " revokes a turn"
	case SwitchBan:
		text = "host " + hostNames[arg] + " is " + [...]string{"unbanned", "banned"}[bits(next.Banned[arg])] + " by an operator"
	case DeclareNode:
		text = node + " is " + [...]string{"declared dead", "readmitted"}[arg]
	case SwitchLink:
		text = "the link of " + node + " " + [...]string{"is restored", "is cut"}[arg]
	case SwitchFailure:
		text = "host " + hostNames[arg] + " fails, or recovers"
	}
	return text + m.describeChanges(&s, &next)
}

// describeChanges describes what a step changed in the schedule and at the loops.
func (m *Model) describeChanges(s, next *State) string {
	var b strings.Builder
	for h := range m.Hosts {
		before, after := &s.Log.turns[h], &next.Log.turns[h]
		if after.ID != "" && (before.ID == "" || before.Phase != after.Phase) {
			fmt.Fprintf(&b, "; turn of %s: %v, round %d", hostNames[h], after.Phase, after.Round)
		}
	}
	if set := next.Log.schedule.ExclusionSet(); set.Version != s.Log.schedule.ExclusionSet().Version {
		fmt.Fprintf(&b, "; exclusion set %d%v", set.Version, set.Hosts)
	}
	for i := range m.Nodes {
		if v, w := s.Nodes[i].LoopRestrictions, next.Nodes[i].LoopRestrictions; v != w {
			fmt.Fprintf(&b, "; %s excludes%s, and %v from %v on", nodeNames[i], formatExcluded(w.ExcludedHosts), w.ExcludedAfterExpiry, w.LeaseEnd)
			if w.AllAfterExpiry {
				b.WriteString(", then all others too")
			}
		}
	}
	return b.String()
}

func formatExcluded(list []sendlease.ExcludedHost) string {
	var b strings.Builder
	for _, o := range list {
		fmt.Fprintf(&b, " %s (round %d)", o.Host, o.Round)
	}
	if b.Len() == 0 {
		return " none"
	}
	return b.String()
}
