package lifemodel

import (
	"fmt"
	"strings"

	"lichenhitch/internal/lifecycle"
	"lichenhitch/rehearsal/model"
)

var (
	classNames = [...]string{"safe", "unsafe", "keyed", "inherited", "grouped"}
	viewNames  = [...]string{"has sent no request", "waits", "is served", "has its final answer", "has left",
		"has reached its time limit without an answer"}
)

// Describe implements model.Model. It names the step and its effects on the clients and their requests.
func (m *Model) Describe(s State, step model.Step, next State) string {
	o, c, g, arg := Decode(step)
	client, gateway := fmt.Sprint("client ", c+1), fmt.Sprint("gateway ", g+1)
	attempt := fmt.Sprint("attempt ", s.Clients[c].Lifecycle.Attempts)
	if o == Ask && Class(arg) == Inherited {
		return fmt.Sprintf("%s asks to resume its connection that was established with %s; %s", client, gateway, m.describeChange(&s, &next, c))
	}
	var what string
	switch o {
	case Ask:
		what = client + " sends a request, class " + classNames[arg]
	case Place:
		what = fmt.Sprintf("the balancer places %s on %s, attempt %d", client, gateway, next.Clients[c].Lifecycle.Attempts)
	case Refuse:
		what = "the balancer refuses " + client
	case GiveUp:
		what = "the balancer gives up " + client + "'s request"
	case Move:
		what = client + "'s connection is moved"
	case Connect:
		what = gateway + " accepts the connection of " + client
	case ConnectFails:
		what = fmt.Sprintf("the connection of %s to %s cannot be established", client, gateway)
	case HostUp:
		what = gateway + " answers UP to " + client
	case HostServed:
		what = gateway + " answers BYE to " + client + " immediately"
	case HostFull:
		what = gateway + " answers BUSY to " + client
	case HostError:
		what = gateway + " answers ERR to " + client
	case HostEnds:
		what = fmt.Sprintf("the connection of %s to %s ends", client, gateway)
	case HostGarbles:
		what = fmt.Sprintf("%s sends %s data that cannot be forwarded", gateway, client)
	case HostStalls:
		what = fmt.Sprintf("%s does not read what %s sends", gateway, client)
	case AttemptTimeout:
		what = fmt.Sprintf("%s of %s times out", attempt, client)
	case RetryInherited:
		what = "the retry pause of " + client + " is over"
	case DeadlineFires:
		what = "the deadline timer of " + client + " fires"
	case ClientTimeout:
		what = client + "'s own time limit passes"
	case ClientLeaves:
		what = client + " leaves"
	case ClientFaults:
		what = client + " sends data out of turn"
	case LateUp:
		what = "a closed attempt of " + client + " answers UP"
	case LateEnd:
		what = "a closed attempt of " + client + " ends"
	case LoseContact:
		what = gateway + " stops responding"
	case RegainContact:
		what = gateway + " responds again"
	case Crash:
		what = gateway + " crashes"
	case Restart:
		what = gateway + " has restarted and is cold"
	case NotifyDrain:
		what = "discovery reports that " + gateway + " drains"
	case NotifyReady:
		what = "discovery reports the drain of " + gateway + " as revoked"
	case NotifyGone:
		what = "discovery removes " + gateway + " from the list"
	case NotifyRelisted:
		what = "discovery lists " + gateway + " again"
	case NotifyRestart:
		what = "discovery reports a new start of " + gateway
	case DrainExpires:
		what = "the deadline for new work at " + gateway + " passes"
	case Terminate:
		what = "the node gets SIGTERM"
	case StopAccepting:
		what = "the node accepts no more connections" + [...]string{"", "; packets pass through"}[arg&1]
	case StopNode:
		what = [...]string{"the node may stop", "the node must stop now"}[arg&1]
	}
	var changes []string
	for i := range m.Clients {
		if ch := m.describeChange(&s, &next, i); ch != "" {
			changes = append(changes, ch)
		}
	}
	if len(changes) == 0 {
		return what
	}
	return what + "; " + strings.Join(changes, "; ")
}

// describeChange describes what a step changed for a client and its request.
func (m *Model) describeChange(s, next *State, c int) string {
	var all []string
	a, b := &s.Clients[c], &next.Clients[c]
	if a.View != b.View && b.View != Asking {
		all = append(all, fmt.Sprintf("client %d %s", c+1, viewNames[b.View]))
	}
	if a.Lifecycle.Phase != b.Lifecycle.Phase {
		all = append(all, fmt.Sprintf("request %s -> %s", a.Lifecycle.Phase, b.Lifecycle.Phase))
	}
	switch {
	case a.Conn == NoConn && b.Conn == Dialing:
		all = append(all, "a connection is opened")
	case a.Conn == Dialing && b.Conn == RequestSent:
		all = append(all, "the request line is written")
	case a.Conn != NoConn && b.Conn == NoConn && (b.MayAnswerLate || a.Conn == Dialing):
		all = append(all, "the connection is closed")
	case b.Conn != NoConn && b.Lifecycle.Phase == lifecycle.Finished:
		all = append(all, "the connection is left open")
	}
	return strings.Join(all, ", ")
}
