package turnsmodel

import (
	"fmt"
	"strings"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/rehearsal/model"
)

// Describe implements model.Model. It tells what happens and what comes of it.
func (m *Model) Describe(s State, st model.Step, next State) string {
	op, n, arg := Decode(st)
	node, replica := "", fmt.Sprint("seat ", n+1)
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
				text = fmt.Sprintf("%s asks, number %d: horizon %d acknowledged, holds%s", node, c.Request.Seq, c.Request.Acked, formatExcluded(c.Request.Confirmed))
			}
		}
	case Receive, ReceiveDuplicated, ReceiveAckLost:
		c := s.Nodes[n].Calls[arg>>1]
		text = fmt.Sprintf("question %d of %s comes to seat %d", c.Request.Seq, node, arg&1+1)
		if op == ReceiveDuplicated {
			text += ", and will come again"
		}
		if op == ReceiveAckLost {
			text += ", and what it acknowledges is lost"
		}
		if c.RequesterGone {
			text += "; the process that asked is no more"
		}
	case Respond:
		c := s.Nodes[n].Calls[arg]
		text = fmt.Sprintf("seat %d answers question %d of %s", c.Replica+1, c.Request.Seq, node)
		a := next.Nodes[n].Calls[arg].Response
		text += fmt.Sprintf(": log %d, out%s, horizon %d%v, recorded %d", a.Applied, formatExcluded(a.ExcludedHosts), a.ExclusionSet.Version, a.ExclusionSet.Hosts,
			a.Recorded)
	case Deliver:
		text = fmt.Sprintf("the answer to question %d comes to %s", s.Nodes[n].Calls[arg].Request.Seq, node)
	case Store:
		text = "it stands in the store of " + node
	case ApplyRestrictions:
		text = "the loop of " + node + " takes the newest verdict"
	case ReportInEffect:
		text = "the control of " + node + " hears that its loop has taken it"
	case Restart:
		text = node + " starts again with " + [...]string{"its store", "its store, just written", "an empty store",
			"an older store"}[arg]
	case Elect:
		text = "seat 2 is elected; seat 1 goes on believing that it leads"
	case StepDown:
		text = "seat 1 learns that it leads no more"
	case Propose:
		text = replica + " proposes what follows from its book"
	case Grant:
		text = replica + " hands host " + hostNames[arg] + " over"
	case RequestTurn:
		text = "a turn is asked for host " + hostNames[arg]
	case Withdraw:
		text = "the turn of host " + hostNames[arg] + " is withdrawn"
	case Finish:
		text = "the work at host " + hostNames[arg] + " is begun and done, and it is back"
	case CompleteCall:
		text = node + " asks and is answered" + [...]string{"", "; what it acknowledges is lost"}[arg]
	case Prepare:
		text = replica + " has host " + hostNames[arg] + " emptied"
	case RevokeTurn:
		text = replica + " calls a turn back"
	case SwitchBan:
		text = "host " + hostNames[arg] + " is " + [...]string{"put back", "banned"}[bits(next.Banned[arg])] + " by hand"
	case DeclareNode:
		text = node + " is " + [...]string{"declared dead", "taken in anew"}[arg]
	case SwitchLink:
		text = "the link of " + node + " " + [...]string{"is mended", "goes"}[arg]
	case SwitchFailure:
		text = "host " + hostNames[arg] + " fails by itself, or is back"
	}
	return text + m.describeChanges(&s, &next)
}

// changes tells what a step did to the book and to the loops.
func (m *Model) describeChanges(s, next *State) string {
	var b strings.Builder
	for h := range m.Hosts {
		before, after := &s.Log.turns[h], &next.Log.turns[h]
		if after.ID != "" && (before.ID == "" || before.Phase != after.Phase) {
			fmt.Fprintf(&b, "; turn of %s: %v, round %d", hostNames[h], after.Phase, after.Round)
		}
	}
	if set := next.Log.schedule.ExclusionSet(); set.Version != s.Log.schedule.ExclusionSet().Version {
		fmt.Fprintf(&b, "; horizon %d%v", set.Version, set.Hosts)
	}
	for i := range m.Nodes {
		if v, w := s.Nodes[i].LoopRestrictions, next.Nodes[i].LoopRestrictions; v != w {
			fmt.Fprintf(&b, "; %s withholds%s, %v more from %v on", nodeNames[i], formatExcluded(w.ExcludedHosts), w.ExcludedAfterExpiry, w.LeaseEnd)
			if w.AllAfterExpiry {
				b.WriteString(", and all others")
			}
		}
	}
	return b.String()
}

func formatExcluded(list []sendlease.ExcludedHost) string {
	var b strings.Builder
	for _, o := range list {
		fmt.Fprintf(&b, " %s of round %d", o.Host, o.Round)
	}
	if b.Len() == 0 {
		return " none"
	}
	return b.String()
}
