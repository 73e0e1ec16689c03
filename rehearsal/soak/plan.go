package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lichenhitch/rehearsal/processes"
)

// Kind is a kind of fault.
type Kind uint8

// Kinds of faults.
const (
	Restart      Kind = iota // planned: Event.Signals, SIGKILL after Plan.KillDelay, and the next process starts at once
	Crash                    // SIGKILL right after an accept, and the next process starts at once
	Upgrade                  // a successor takes over; its predecessor receives SIGTERM, and SIGKILL after Plan.KillDelay
	UpgradeFails             // a successor is killed during the handover
	UpgradeCrash             // a successor takes over, and its predecessor is killed during the handover
	EarlyTerm                // SIGKILL; the next process receives SIGTERM while it starts, and SIGKILL after Plan.KillDelay
	Reload                   // SIGHUP twice
	Discovery                // the fault is Event.DiscoveryFault
	HostDrains               // discovery lists the host as draining, the host refuses requests, and is back later
	HostHangs                // the host sends nothing and reads nothing
	HostResets               // the host is killed and starts again later
	HostFails                // the host answers a part of the requests with Event.Response
	kindCount
)

func (k Kind) String() string {
	return [...]string{"restart", "crash", "upgrade", "upgrade fails", "upgrade crash", "early SIGTERM", "reload",
		"discovery", "host drains", "host hangs", "host resets", "host fails"}[k]
}

// Signals is a sequence of signals that a process receives in a planned restart.
type Signals uint8

// Sequences of signals.
const (
	Term         Signals = iota // SIGTERM
	TermTwice                   // SIGTERM, and again a while later
	HangupTerm                  // SIGHUP, and SIGTERM once the settings were probably reloaded
	HangupInTerm                // SIGTERM during a reload: right after SIGHUP
	TermHangup                  // SIGTERM, and SIGHUP a while later
	signalsCount
)

func (s Signals) String() string {
	return [...]string{"SIGTERM", "SIGTERM twice", "SIGHUP then SIGTERM", "SIGTERM in a reload", "SIGTERM then SIGHUP"}[s]
}

// Event is one fault. At counts from the beginning of the faults. For a fault of a process, Duration is the time during
// which the node has no other fault.
type Event struct {
	At, Duration     time.Duration
	Kind             Kind
	Node             string // "" for faults of hosts and discovery
	Host             string
	Signals          Signals
	ClientsAfterTerm time.Duration // for how long new connections keep coming after SIGTERM
	DiscoveryFault   processes.DiscoveryFault
	Response         string // of HostFails
}

func (e Event) String() string {
	switch e.Kind {
	case Restart:
		return fmt.Sprintf("%s %s: %s, clients for %s more", e.Kind, e.Node, e.Signals, e.ClientsAfterTerm)
	case Discovery:
		return fmt.Sprintf("%s %s for %s", e.Kind, e.DiscoveryFault, e.Duration)
	case HostFails:
		return fmt.Sprintf("%s %s with %q for %s", e.Kind, e.Host, e.Response, e.Duration)
	case HostDrains, HostHangs, HostResets:
		return fmt.Sprintf("%s %s for %s", e.Kind, e.Host, e.Duration)
	}
	return fmt.Sprintf("%s %s", e.Kind, e.Node)
}

// Plan is what one run does.
type Plan struct {
	Seed             uint64
	Nodes            []string
	Hosts            int
	ClientsPerSecond float64       // new clients at each node
	IdleClients      int           // number of idle clients that connect to each node at once; 0: none
	Sockets          int           // limit of descriptors of a node
	LongestDeadline  time.Duration // the longest deadline of the classes that clients use
	DroppedDeadline  time.Duration // the deadline of a class that no client uses, until a node reloads settings without it
	PassThrough      bool          // nodes pass packets through: a planned restart need not move established connections
	Duration         time.Duration // until the last fault has ended
	Events           []Event       // sorted by At
}

const (
	// The front end keeps sending new connections for a time between these after SIGTERM (PROTOCOL, Figures: 0.2 to 0.4 s).
	minClientsAfterTerm, maxClientsAfterTerm = 200 * time.Millisecond, 400 * time.Millisecond
	// After SIGTERM a process has the longest deadline, counted as at most countedDeadline, plus killMargin: SIGKILL comes
	// no earlier (PROTOCOL, Figures).
	killMargin      = 700 * time.Millisecond
	countedDeadline = 3 * time.Second
	// shortestLongestDeadline is below the time for which a node waits for a client without a request, so that such a client may
	// be there at the kill.
	shortestLongestDeadline = 800 * time.Millisecond
	// silentClients connect to a process that was asked to end, at the end of Event.ClientsAfterTerm, and send nothing.
	silentClients = 3
	// droppedDeadlineExcess is by how much the deadline of the class that reloads drop exceeds that of the others.
	droppedDeadlineExcess = 2500 * time.Millisecond
	// recoveryTime is how long a node has no fault after its process was started again.
	recoveryTime = time.Second

	// descriptorsPerConn: a node needs one descriptor for the client's side of a connection and one for the host's.
	descriptorsPerConn = 2

	faultDuration  = 14 * time.Second
	crowdedSockets = 192
	maxSockets     = 1024
)

// failureResponses are the responses of hosts that fail.
var failureResponses = [...]string{"ERR", "BUSY", processes.ResetConnection}

// failureFraction is the fraction of the requests that a failing host answers with Event.Response.
const failureFraction = 0.5

// KillDelay returns how long after SIGTERM a process is killed: the shortest time that the protocol page allows, before
// the class of DroppedDeadline is dropped, or since.
func (p Plan) KillDelay(dropped bool) time.Duration {
	longest := max(p.LongestDeadline, p.DroppedDeadline)
	if dropped {
		longest = p.LongestDeadline
	}
	return min(longest, countedDeadline) + killMargin
}

// MaxStayingClients returns how many clients may stay connected so that the nodes have room for them and for short
// visits while half of the nodes are stopped.
func (p Plan) MaxStayingClients() int { return len(p.Nodes) / 2 * p.Sockets / descriptorsPerConn / 2 }

// GeneratePlan returns the plan of a seed.
func GeneratePlan(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	p := Plan{Seed: seed, Hosts: 6 + rng.IntN(6), LongestDeadline: shortestLongestDeadline + time.Duration(rng.IntN(3200))*time.Millisecond,
		Sockets: maxSockets, Duration: faultDuration}
	for i := range 3 + rng.IntN(6) {
		p.Nodes = append(p.Nodes, fmt.Sprint("n", i))
	}
	p.ClientsPerSecond = 30 / float64(len(p.Nodes)) // the hosts can serve some hundreds of connections in total
	if rng.IntN(4) == 0 {
		p.Sockets = crowdedSockets
		p.IdleClients = 2 * crowdedSockets
	}
	p.DroppedDeadline = p.LongestDeadline + droppedDeadlineExcess
	p.PassThrough = rng.IntN(3) == 0
	p.Events = p.generateEvents(rng)
	return p
}

// generateEvents generates faults for the whole duration. A node, a host or discovery never has two faults at once;
// at least half of the nodes and two thirds of the hosts have no fault at any time.
func (p Plan) generateEvents(rng *rand.Rand) (events []Event) {
	busyUntil := map[string]time.Duration{} // by node, host or "discovery": the end of its latest fault
	countBusy := func(prefix byte, at time.Duration) (n int) {
		for name, until := range busyUntil {
			if name[0] == prefix && until > at {
				n++
			}
		}
		return n
	}
	randomBetween := func(shortest, longest time.Duration) time.Duration {
		return (shortest + time.Duration(rng.Int64N(int64(longest-shortest)))).Truncate(time.Millisecond)
	}
	for at := randomBetween(0, time.Second); at < p.Duration; at += randomBetween(100*time.Millisecond, 900*time.Millisecond) {
		e := Event{At: at, Kind: Kind(rng.IntN(int(kindCount))), Signals: Signals(rng.IntN(int(signalsCount))),
			ClientsAfterTerm: randomBetween(minClientsAfterTerm, maxClientsAfterTerm),
			DiscoveryFault:   processes.DiscoveryFault(1 + rng.IntN(int(processes.DiscoveryEndless))),
			Duration:         randomBetween(time.Second, 4*time.Second),
			Response:         failureResponses[rng.IntN(len(failureResponses))]}
		node, host := p.Nodes[rng.IntN(len(p.Nodes))], fmt.Sprint("h", rng.IntN(p.Hosts))
		key := node
		switch e.Kind {
		case Restart, Upgrade, EarlyTerm:
			e.Duration = p.KillDelay(false) + recoveryTime
		case Crash, UpgradeFails, UpgradeCrash, Reload:
			e.Duration = recoveryTime
		case Discovery:
			key = "discovery"
		default:
			key = host
		}
		if key == node {
			e.Node = node
		} else if key == host {
			e.Host = host
		}
		tooMany := key == node && 2*(countBusy('n', at)+1) > len(p.Nodes) || key == host && 3*(countBusy('h', at)+1) > p.Hosts
		if tooMany || busyUntil[key] > at || at+e.Duration > p.Duration {
			continue
		}
		busyUntil[key] = at + e.Duration
		events = append(events, e)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}
