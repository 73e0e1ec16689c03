package lifemodel

import (
	"fmt"
	"strings"

	"lichenhitch/internal/lifecycle"
	"lichenhitch/rehearsal/model"
)

var (
	classNames = [...]string{"safe", "unsafe", "keyed", "inherited", "grouped"}
	seenNames  = [...]string{"has not asked", "waits", "is served", "has its final answer", "has left",
		"has waited in vain: its time is up"}
)

// Describe implements model.Model. It tells what happens and what comes of it.
func (m *Model) Describe(s State, step model.Step, next State) string {
	o, c, g, arg := Decode(step)
	client, gateway := fmt.Sprint("client ", c+1), fmt.Sprint("gateway ", g+1)
	attempt := fmt.Sprint("attempt ", s.Clients[c].Life.Attempts)
	if o == Ask && Class(arg) == Inherited {
		return fmt.Sprintf("%s asks for its connection that stood at %s; %s", client, gateway, m.change(&s, &next, c))
	}
	var what string
	switch o {
	case Ask:
		what = client + " asks, class " + classNames[arg]
	case Place:
		what = fmt.Sprintf("the balancer places %s on %s, attempt %d", client, gateway, next.Clients[c].Life.Attempts)
	case Refuse:
		what = "the balancer refuses " + client
	case GiveUp:
		what = "the balancer gives " + client + " up"
	case MoveAway:
		what = client + " is to be moved"
	case Connect:
		what = gateway + " accepts the connection of " + client
	case NoLuck:
		what = fmt.Sprintf("the connection of %s to %s never comes up", client, gateway)
	case SayUp:
		what = gateway + " says UP to " + client
	case SayServed:
		what = gateway + " says BYE to " + client + " at once"
	case SayFull:
		what = gateway + " says BUSY to " + client
	case SayError:
		what = gateway + " says ERR to " + client
	case Break:
		what = fmt.Sprintf("the connection of %s to %s ends", client, gateway)
	case Garble:
		what = fmt.Sprintf("%s sends %s what cannot be passed on", gateway, client)
	case Clog:
		what = fmt.Sprintf("%s does not take what %s sends", gateway, client)
	case Overdue:
		what = fmt.Sprintf("%s of %s times out", attempt, client)
	case Again:
		what = "the pause of " + client + " is over"
	case Due:
		what = "the guard of " + client + "'s deadline fires"
	case TimeUp:
		what = client + "'s own time is up"
	case Leave:
		what = client + " goes away"
	case Interject:
		what = client + " speaks out of turn"
	case LateUp:
		what = "a withdrawn attempt of " + client + " says UP"
	case LateEnd:
		what = "a withdrawn attempt of " + client + " ends"
	case FallSilent:
		what = gateway + " falls silent"
	case Heal:
		what = gateway + " is heard again"
	case Die:
		what = gateway + " dies"
	case Return:
		what = gateway + " is back, cold"
	case TellDrain:
		what = "discovery tells that " + gateway + " drains"
	case TellReady:
		what = "discovery takes the drain of " + gateway + " back"
	case TellGone:
		what = "discovery takes " + gateway + " off the list"
	case TellBack:
		what = "discovery lists " + gateway + " again"
	case TellRestart:
		what = "discovery tells a new start of " + gateway
	case Limit:
		what = "the limit for new work at " + gateway + " passes"
	case Term:
		what = "the node gets SIGTERM"
	case ShutDoor:
		what = "the node accepts no more" + [...]string{"", "; packets pass through"}[arg&1]
	case SendOff:
		what = [...]string{"the node is free to stop", "the node must stop now"}[arg&1]
	}
	var changes []string
	for i := range m.Clients {
		if ch := m.change(&s, &next, i); ch != "" {
			changes = append(changes, ch)
		}
	}
	if len(changes) == 0 {
		return what
	}
	return what + "; " + strings.Join(changes, "; ")
}

// change tells what a step did to a client and its query.
func (m *Model) change(s, next *State, c int) string {
	var all []string
	a, b := &s.Clients[c], &next.Clients[c]
	if a.Seen != b.Seen && b.Seen != Asking {
		all = append(all, fmt.Sprintf("client %d %s", c+1, seenNames[b.Seen]))
	}
	if a.Life.Phase != b.Life.Phase {
		all = append(all, fmt.Sprintf("query %s -> %s", a.Life.Phase, b.Life.Phase))
	}
	switch {
	case a.Link == NoLink && b.Link == Dialing:
		all = append(all, "a connection is begun")
	case a.Link == Dialing && b.Link == Sent:
		all = append(all, "the first line is written")
	case a.Link != NoLink && b.Link == NoLink && (b.Held || a.Link == Dialing):
		all = append(all, "the connection is closed")
	case b.Link != NoLink && b.Life.Phase == lifecycle.Finished:
		all = append(all, "the connection is left open")
	}
	return strings.Join(all, ", ")
}
