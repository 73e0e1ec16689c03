package turnsmodel

import (
	"fmt"
	"strings"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/rehearsal/model"
)

// Describe implements model.Model. It tells what happens and what comes of it.
func (m *Model) Describe(s State, st model.Step, next State) string {
	o, n, arg := Decode(st)
	node, seat := "", fmt.Sprint("seat ", n+1)
	if n < m.Nodes {
		node = nodeNames[n]
	}
	var what string
	switch o {
	case Tick:
		what = fmt.Sprint("time passes: ", next.Tick)
	case AskRight:
		for _, c := range next.Nodes[n].Calls {
			if c.Stage == Asked && !c.Gone {
				what = fmt.Sprintf("%s asks, number %d: horizon %d acknowledged, holds%s", node, c.Q.Seq, c.Q.Acked, outs(c.Q.Confirmed))
			}
		}
	case Receive, Repeat, Unheard:
		c := s.Nodes[n].Calls[arg>>1]
		what = fmt.Sprintf("question %d of %s comes to seat %d", c.Q.Seq, node, arg&1+1)
		if o == Repeat {
			what += ", and will come again"
		}
		if o == Unheard {
			what += ", and what it acknowledges is lost"
		}
		if c.Gone {
			what += "; the process that asked is no more"
		}
	case Answer:
		c := s.Nodes[n].Calls[arg]
		what = fmt.Sprintf("seat %d answers question %d of %s", c.Seat+1, c.Q.Seq, node)
		a := next.Nodes[n].Calls[arg].A
		what += fmt.Sprintf(": log %d, out%s, horizon %d%v, recorded %d", a.Applied, outs(a.ExcludedHosts), a.ExclusionSet.Version, a.ExclusionSet.Hosts,
			a.Recorded)
	case Deliver:
		what = fmt.Sprintf("the answer to question %d comes to %s", s.Nodes[n].Calls[arg].Q.Seq, node)
	case Store:
		what = "it stands in the store of " + node
	case Take:
		what = "the loop of " + node + " takes the newest verdict"
	case Hear:
		what = "the control of " + node + " hears that its loop has taken it"
	case Restart:
		what = node + " starts again with " + [...]string{"its store", "its store, just written", "an empty store",
			"an older store"}[arg]
	case Elect:
		what = "seat 2 is elected; seat 1 goes on believing that it leads"
	case Learn:
		what = "seat 1 learns that it leads no more"
	case Propose:
		what = seat + " proposes what follows from its book"
	case Grant:
		what = seat + " hands host " + hostNames[arg] + " over"
	case AskTurn:
		what = "a turn is asked for host " + hostNames[arg]
	case Withdraw:
		what = "the turn of host " + hostNames[arg] + " is withdrawn"
	case Finish:
		what = "the work at host " + hostNames[arg] + " is begun and done, and it is back"
	case Renew:
		what = node + " asks and is answered" + [...]string{"", "; what it acknowledges is lost"}[arg]
	case Prepare:
		what = seat + " has host " + hostNames[arg] + " emptied"
	case Stuck:
		what = seat + " calls a turn back"
	case Ban:
		what = "host " + hostNames[arg] + " is " + [...]string{"put back", "banned"}[bits(next.Banned[arg])] + " by hand"
	case Declare:
		what = node + " is " + [...]string{"declared dead", "taken in anew"}[arg]
	case Cut:
		what = "the link of " + node + " " + [...]string{"is mended", "goes"}[arg]
	case Fail:
		what = "host " + hostNames[arg] + " fails by itself, or is back"
	}
	return what + m.changes(&s, &next)
}

// changes tells what a step did to the book and to the loops.
func (m *Model) changes(s, next *State) string {
	var b strings.Builder
	for h := range m.Hosts {
		before, after := &s.Log.turns[h], &next.Log.turns[h]
		if after.ID != "" && (before.ID == "" || before.Phase != after.Phase) {
			fmt.Fprintf(&b, "; turn of %s: %v, round %d", hostNames[h], after.Phase, after.Round)
		}
	}
	if z := next.Log.book.ExclusionSet(); z.Version != s.Log.book.ExclusionSet().Version {
		fmt.Fprintf(&b, "; horizon %d%v", z.Version, z.Hosts)
	}
	for i := range m.Nodes {
		if v, w := s.Nodes[i].Loop, next.Nodes[i].Loop; v != w {
			fmt.Fprintf(&b, "; %s withholds%s, %v more from %v on", nodeNames[i], outs(w.ExcludedHosts), w.ExcludedAfterExpiry, w.LeaseEnd)
			if w.AllAfterExpiry {
				b.WriteString(", and all others")
			}
		}
	}
	return b.String()
}

func outs(list []sendlease.ExcludedHost) string {
	var b strings.Builder
	for _, o := range list {
		fmt.Fprintf(&b, " %s of round %d", o.Host, o.Round)
	}
	if b.Len() == 0 {
		return " none"
	}
	return b.String()
}
