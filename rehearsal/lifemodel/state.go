// Package lifemodel models the request lifecycle (package lifecycle) in an environment of gateways, clients, discovery
// notices and the shutdown of the node. Gateways are the hosts that serve the clients. The balancer's decisions are
// nondeterministic within the rules that it must keep, and time is represented by the order in which deadlines expire.
//
// docs/design/model.md describes what the environment can do and what is left out.
package lifemodel

import (
	"lichenhitch/internal/lifecycle"
)

const (
	// MaxGateways and MaxClients bound the fleet: a state has room for this many.
	MaxGateways = 4
	MaxClients  = 2
	// MaxAttempts bounds the attempts of a request.
	MaxAttempts = 7
)

// Condition is the actual condition of a gateway, which the node does not see.
type Condition uint8

const (
	Healthy      Condition = iota // it may answer in any way
	Unresponsive                  // the machine has vanished: connections stay open and deliver nothing
	Crashed                       // the process has ended: connections are refused
)

// ListState is the state of a gateway that discovery last reported to the node.
type ListState uint8

// The reported states. The deadline after which nothing more may be sent to a gateway passes without a report.
const (
	Ready ListState = iota
	Draining
	DrainExpired // the deadline has passed
	Gone
	GoneExpired
)

// drainExpired reports whether nothing more may be written to a gateway.
func (t ListState) drainExpired() bool { return t == DrainExpired || t == GoneExpired }

type Gateway struct {
	Condition   Condition
	ListState   ListState
	Restarted   bool             // it has restarted since the start that discovery last reported
	DrainMissed bool             // only with an injected bug: the node missed the drain notice
	Tried       [MaxClients]bool // the balancer has tried the request of this client here
	HasConn     [MaxClients]bool // the connection of this client's request goes here
}

// inUse reports whether a request has a connection to the gateway, or is to be sent there again.
func (g *Gateway) inUse() bool { return g.HasConn[0] || g.HasConn[1] }

// Class says which effects a repeated attempt of a request may have, or that the request is inherited.
type Class uint8

const (
	Safe      Class = iota
	Unsafe          // must not run twice
	Keyed           // all gateways recognize and drop repeats
	Inherited       // its connection was established with one gateway before the node started
	Grouped         // only some gateways, which the balancer knows, recognize and drop repeats
)

// repeatable reports whether a retry is harmless although an attempt may have run.
func (c Class) repeatable() bool { return c == Safe || c == Keyed }

// ClientView is what a client has observed.
type ClientView uint8

const (
	Absent ClientView = iota // it has sent no request yet
	Asking
	Served         // it was notified that its connection is established
	Finished       // it got another answer, or was notified that its connection ends
	ClientLeft     // it left on its own
	ClientTimedOut // its time limit passed without an answer
)

// ConnState is the state of the connection to a gateway.
type ConnState uint8

const (
	NoConn      ConnState = iota
	Dialing               // not established yet
	RequestSent           // the request line is written
)

// BalancerView is what the balancer has been notified of about a request.
type BalancerView uint8

const (
	Untracked   BalancerView = iota
	Unplaced                 // the request has arrived, no attempt is pending
	Pending                  // an attempt is pending
	Established              // its connection is established
	Departed                 // the client has left, the attempt is still pending
)

// Client is a client with its request, including the node's state of the request.
type Client struct {
	Class         Class
	View          ClientView
	Lifecycle     lifecycle.State
	Conn          ConnState
	BalancerView  BalancerView
	MayRun        bool // an attempt that ended may have run, as far as the balancer can know
	Ran           bool // an attempt that ended may actually have run: its request line was written
	MayAnswerLate bool // some gateway has an attempt that this node has closed, and may still answer it
	DeadlineTimer bool // the timer of the request's deadline is running
	AttemptTimer  bool // the timer of the attempt, or of the pause before the next one, is running
}

// NodeState is how far the node's shutdown has come.
type NodeState uint8

const (
	Serving                 NodeState = iota
	Terminating                       // SIGTERM has arrived; the node still accepts connections
	NotAccepting                      // the node accepts no more connections
	NotAcceptingPassThrough           // as NotAccepting, where packets pass through and connections outlive the node
	Stopped
)

// State is the state of the whole model. It contains no pointers.
type State struct {
	Gateways   [MaxGateways]Gateway
	Clients    [MaxClients]Client
	NodeState  NodeState
	Violations uint16 // safety properties that a step violated, as bits
}

// connGateway returns the gateway of a client's connection, or -1.
func (s *State) connGateway(c int) int {
	for g := range s.Gateways {
		if s.Gateways[g].HasConn[c] {
			return g
		}
	}
	return -1
}

func bit[T ~uint16 | ~uint32 | ~uint64](b bool, position int) T {
	if b {
		return T(1) << position
	}
	return 0
}

// pack encodes a gateway as a number, so that gateways can be sorted. It contains all of the gateway's state.
func (g *Gateway) pack() uint16 {
	code := uint16(g.Condition) | uint16(g.ListState)<<2 | bit[uint16](g.Restarted, 5) | bit[uint16](g.DrainMissed, 6)
	for c := range MaxClients {
		code |= bit[uint16](g.Tried[c], 7+2*c) | bit[uint16](g.HasConn[c], 8+2*c)
	}
	return code
}

// pack encodes a client as a number.
func (c *Client) pack() uint32 {
	return uint32(c.Class) | uint32(c.View)<<3 | uint32(c.Lifecycle.Phase)<<6 | bit[uint32](c.Lifecycle.Inherited, 9) |
		uint32(c.Lifecycle.Attempts&15)<<10 | uint32(c.Conn)<<14 | uint32(c.BalancerView)<<16 | bit[uint32](c.MayRun, 19) |
		bit[uint32](c.MayAnswerLate, 20) | bit[uint32](c.DeadlineTimer, 21) | bit[uint32](c.AttemptTimer, 22) |
		bit[uint32](c.Ran, 23)
}

// Encode implements model.Model.
func (m *Model) Encode(to []byte, s State) []byte {
	for g := range m.Gateways {
		w := s.Gateways[g].pack()
		to = append(to, byte(w), byte(w>>8))
	}
	for c := range m.Clients {
		w := s.Clients[c].pack()
		to = append(to, byte(w), byte(w>>8), byte(w>>16))
	}
	return append(to, byte(s.NodeState), byte(s.Violations), byte(s.Violations>>8))
}

// Canonical implements model.Model: gateways are interchangeable, and so are clients. The encoding of a gateway
// contains its relations to all clients, so that sorting by it is a full normal form of the gateways; for two clients,
// both orders are tried.
//
// A gateway that no request has a connection to is reduced to Healthy and not Restarted, and keeps its reported state:
// it may lose contact, crash and restart at any time, and can do so again once a connection is begun there, so that no
// behaviour is lost.
func (m *Model) Canonical(s State) State {
	if !m.Unreduced {
		for g := range m.Gateways {
			if gw := &s.Gateways[g]; !gw.inUse() {
				gw.Condition, gw.Restarted = Healthy, false
			}
		}
	}
	if m.NoSymmetry {
		return s
	}
	m.sortGateways(&s)
	if m.Clients < 2 {
		return s
	}
	t := s
	t.Clients[0], t.Clients[1] = t.Clients[1], t.Clients[0]
	for g := range m.Gateways {
		w := &t.Gateways[g]
		w.Tried[0], w.Tried[1] = w.Tried[1], w.Tried[0]
		w.HasConn[0], w.HasConn[1] = w.HasConn[1], w.HasConn[0]
	}
	m.sortGateways(&t)
	if m.lessThan(&t, &s) {
		return t
	}
	return s
}

func (m *Model) sortGateways(s *State) {
	var codes [MaxGateways]uint16
	for g := range m.Gateways {
		codes[g] = s.Gateways[g].pack()
	}
	for i := 1; i < m.Gateways; i++ {
		for j := i; j > 0 && codes[j] < codes[j-1]; j-- {
			codes[j], codes[j-1] = codes[j-1], codes[j]
			s.Gateways[j], s.Gateways[j-1] = s.Gateways[j-1], s.Gateways[j]
		}
	}
}

func (m *Model) lessThan(a, b *State) bool {
	for c := range m.Clients {
		if x, y := a.Clients[c].pack(), b.Clients[c].pack(); x != y {
			return x < y
		}
	}
	for g := range m.Gateways {
		if x, y := a.Gateways[g].pack(), b.Gateways[g].pack(); x != y {
			return x < y
		}
	}
	return false
}
