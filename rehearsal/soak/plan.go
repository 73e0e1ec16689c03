package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lichenhitch/rehearsal/processes"
)

// Kind is a kind of trouble.
type Kind uint8

// The kinds.
const (
	Restart      Kind = iota // signals, the kill at the page's earliest, and the next process at once
	Crash                    // SIGKILL right after an accept, and the next process at once
	Upgrade                  // a later process takes over; the former one is asked to end, and killed at the page's earliest
	UpgradeFails             // a later process is killed during the handover
	UpgradeCrash             // a later process takes over, and the former one is killed during the handover
	EarlyTerm                // SIGKILL, and a next process that is asked to end while it starts, and killed at the earliest
	Reload                   // SIGHUP twice
	Discovery                // Event.Trouble
	HostDrains               // discovery tells, the host refuses, and is back later
	HostHangs                // it says nothing and reads nothing
	HostResets               // it ends, and starts again later
	HostFails                // it answers a part of the requests with Event.Answer
	kinds
)

func (k Kind) String() string {
	return [...]string{"restart", "crash", "upgrade", "upgrade fails", "upgrade crash", "early SIGTERM", "reload",
		"discovery", "host drains", "host hangs", "host resets", "host fails"}[k]
}

// Signals are what a process gets at a planned restart.
type Signals uint8

// The series of signals.
const (
	Term         Signals = iota // SIGTERM
	TermTwice                   // SIGTERM, and again a while later
	HangupTerm                  // SIGHUP, and SIGTERM once the file was likely read
	HangupInTerm                // SIGTERM while a reload is under way: right after SIGHUP
	TermHangup                  // SIGTERM, and SIGHUP a while later
	signals
)

func (s Signals) String() string {
	return [...]string{"SIGTERM", "SIGTERM twice", "SIGHUP then SIGTERM", "SIGTERM in a reload", "SIGTERM then SIGHUP"}[s]
}

// Event is one piece of trouble.
type Event struct {
	At, Lasts time.Duration // from the beginning; Lasts of a process's trouble is how long nothing else befalls that node
	Kind      Kind
	Node      string // "" for hosts and discovery
	Host      string
	Signals   Signals
	FrontOn   time.Duration // for how long after SIGTERM new connections go on coming
	Trouble   processes.DiscoveryFault
	Answer    string // of HostFails
}

func (e Event) String() string {
	switch e.Kind {
	case Restart:
		return fmt.Sprintf("%s %s: %s, clients for %s more", e.Kind, e.Node, e.Signals, e.FrontOn)
	case Discovery:
		return fmt.Sprintf("%s %s for %s", e.Kind, e.Trouble, e.Lasts)
	case HostFails:
		return fmt.Sprintf("%s %s with %q for %s", e.Kind, e.Host, e.Answer, e.Lasts)
	case HostDrains, HostHangs, HostResets:
		return fmt.Sprintf("%s %s for %s", e.Kind, e.Host, e.Lasts)
	}
	return fmt.Sprintf("%s %s", e.Kind, e.Node)
}

// Plan is what one run plays.
type Plan struct {
	Seed      uint64
	Nodes     []string
	Hosts     int
	PerSecond float64       // new clients at each node
	Crowd     int           // idle clients at each node that come at once; 0: none
	Sockets   int           // descriptors that a node may hold
	Longest   time.Duration // the longest deadline of the settings
	Pass      bool          // packets pass through the nodes: what stands at a planned restart need not be moved
	Lasts     time.Duration // until the last trouble is over
	Events    []Event       // in the order of their beginnings
}

const (
	// The front goes on sending for so long after SIGTERM (PROTOCOL, Figures: 0.2 to 0.4 s).
	frontLeast, frontMost = 200 * time.Millisecond, 400 * time.Millisecond
	// killBeyond is how much later than the longest deadline, counted as longestCounted where it is longer, SIGKILL comes at the
	// earliest after SIGTERM (PROTOCOL, Figures).
	killBeyond     = 700 * time.Millisecond
	longestCounted = 3 * time.Second
	// restPart is how long a node is left alone after it was started again.
	restPart = time.Second

	// descriptorsOfOne is how many a connection takes at a node: the client's and the host's.
	descriptorsOfOne = 2

	troubleLasts = 14 * time.Second
	crowdSockets = 192
	mostSockets  = 1024
)

// answers are those of hosts that fail.
var answers = [...]string{"ERR", "BUSY", processes.ResetConnection}

// failingPart is the part of the requests that a host which fails answers so.
const failingPart = 0.5

// Kill is how long after SIGTERM a process is killed.
func (p Plan) Kill() time.Duration { return min(p.Longest, longestCounted) + killBeyond }

// Keepers is how many clients may keep their connections, so that nodes have room for them and for those that visit while half of the nodes
// are down.
func (p Plan) Keepers() int { return len(p.Nodes) / 2 * p.Sockets / descriptorsOfOne / 2 }

// Draw returns the plan of a seed.
func Draw(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	p := Plan{Seed: seed, Hosts: 6 + rng.IntN(6), Longest: time.Duration(1500+rng.IntN(2500)) * time.Millisecond, Sockets: mostSockets,
		Lasts: troubleLasts}
	for i := range 3 + rng.IntN(6) {
		p.Nodes = append(p.Nodes, fmt.Sprint("n", i))
	}
	p.PerSecond = 30 / float64(len(p.Nodes)) // hosts bear some hundreds of connections in all
	if rng.IntN(4) == 0 {
		p.Sockets = crowdSockets
		p.Crowd = 2 * crowdSockets
	}
	p.Pass = rng.IntN(3) == 0
	p.Events = p.drawEvents(rng)
	return p
}

// drawEvents draws trouble for the whole time. No two befall one node, one host or discovery at once; at least half of the nodes and
// two thirds of the hosts are left alone at any time.
func (p Plan) drawEvents(rng *rand.Rand) (events []Event) {
	busy := map[string]time.Duration{} // until when
	count := func(prefix byte, at time.Duration) (n int) {
		for name, until := range busy {
			if name[0] == prefix && until > at {
				n++
			}
		}
		return n
	}
	between := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(rng.Int64N(int64(most-least)))).Truncate(time.Millisecond)
	}
	for at := between(0, time.Second); at < p.Lasts; at += between(100*time.Millisecond, 900*time.Millisecond) {
		e := Event{At: at, Kind: Kind(rng.IntN(int(kinds))), Signals: Signals(rng.IntN(int(signals))), FrontOn: between(frontLeast, frontMost),
			Trouble: processes.DiscoveryFault(1 + rng.IntN(int(processes.DiscoveryEndless))), Lasts: between(time.Second, 4*time.Second),
			Answer: answers[rng.IntN(len(answers))]}
		node, host := p.Nodes[rng.IntN(len(p.Nodes))], fmt.Sprint("h", rng.IntN(p.Hosts))
		key := node
		switch e.Kind {
		case Restart, Upgrade, EarlyTerm:
			e.Lasts = p.Kill() + restPart
		case Crash, UpgradeFails, UpgradeCrash, Reload:
			e.Lasts = restPart
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
		crowded := key == node && 2*(count('n', at)+1) > len(p.Nodes) || key == host && 3*(count('h', at)+1) > p.Hosts
		if crowded || busy[key] > at || at+e.Lasts > p.Lasts {
			continue
		}
		busy[key] = at + e.Lasts
		events = append(events, e)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}
