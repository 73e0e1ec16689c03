// Package lifemodel is the life of queries (package lifecycle) in a world of gateways, clients, discovery's notices and the
// node's own end, as a model for the checker. What the balancer decides is left open within the rules it must keep, and
// time is the order in which deadlines pass.
//
// docs/design/model.md tells what the world can do and what is left out.
package lifemodel

import (
	"lichenhitch/internal/lifecycle"
)

const (
	// MaxGateways and MaxClients are how many a state has room for.
	MaxGateways = 4
	MaxClients  = 2
	// MaxAttempts bounds the attempts of a query.
	MaxAttempts = 7
)

// Cond is how a gateway fares in truth.
type Cond uint8

// The conditions.
const (
	Sound  Cond = iota // it answers, with whatever it likes
	Silent             // the machine has vanished: connections stay open and bring nothing
	Dead               // the process is gone: connections are refused
)

// Told is what discovery last told the node of a gateway.
type Told uint8

// What is told. The limit after which nothing may be sent any more passes by itself.
const (
	Ready Told = iota
	Draining
	DrainingPast // the limit has passed
	Gone
	GonePast
)

// past says whether nothing may be written to a gateway any more.
func (t Told) past() bool { return t == DrainingPast || t == GonePast }

// Gateway is one gateway.
type Gateway struct {
	Cond   Cond
	Told   Told
	Stale  bool             // it has started again since the start that was told
	Unseen bool             // only with a planted bug: the node missed the drain
	Tried  [MaxClients]bool // the balancer has tried the query of this client here
	Out    [MaxClients]bool // the connection of this client's query goes here
}

// touched says whether a query has a connection to the gateway, or means to go there again.
func (g *Gateway) touched() bool { return g.Out[0] || g.Out[1] }

// Class is what repeating a query may do, or that it is inherited.
type Class uint8

// The classes.
const (
	Safe      Class = iota
	Unsafe          // must not run twice
	Keyed           // repeats are dropped by all gateways alike
	Inherited       // its connection stood at one gateway before the node started
	Grouped         // repeats are dropped by some gateways only, which the balancer knows
)

// refusable says whether trying again is harmless although an attempt may have run.
func (c Class) refusable() bool { return c == Safe || c == Keyed }

// Seen is what a client has seen.
type Seen uint8

// What clients see.
const (
	Absent Seen = iota // it has not asked yet
	Asking
	Served   // it was told that its connection stands
	Finished // answered otherwise, or told that its connection ends
	Left     // it went away by itself
	Late     // its time was up, and no answer had come
)

// Stage is how far the connection to a gateway is.
type Stage uint8

// The stages.
const (
	NoLink  Stage = iota
	Dialing       // it does not stand yet
	Sent          // the first line is written
)

// Book is what the balancer has been told of a query.
type Book uint8

// The balancer's book.
const (
	NoEntry  Book = iota
	Open          // the query has come, no attempt is pending
	Pending       // an attempt is
	Standing      // its connection stands
	Parted        // the client is gone, the attempt still pending
)

// Client is a client with its query, the node's state of it included.
type Client struct {
	Class  Class
	Seen   Seen
	Life   lifecycle.State
	Link   Stage
	Book   Book
	MayRun bool // an attempt that ended may have run, as the balancer has to take it
	Ran    bool // an attempt that ended may have run in truth: its first line was written
	Held   bool // some gateway holds an attempt that this node is done with, and may still speak of it
	Guard  bool // the guard of the deadline is running
	Timer  bool // the time-out of the attempt, or the pause before the next, is running
}

// Stay is how far the node has come on its way out.
type Stay uint8

// The node's way out.
const (
	Serving   Stay = iota
	Leaving        // SIGTERM has come; it still accepts
	DoorShut       // it does not accept any more
	DoorShut2      // the same where packets pass through
	Stopped
)

// State is the whole world. It holds no pointers.
type State struct {
	Gateways [MaxGateways]Gateway
	Clients  [MaxClients]Client
	Stay     Stay
	Bad      uint16 // safety properties that a step broke
}

// link returns where a client's connection goes, or -1.
func (s *State) link(c int) int {
	for g := range s.Gateways {
		if s.Gateways[g].Out[c] {
			return g
		}
	}
	return -1
}

func bit[T ~uint16 | ~uint32 | ~uint64](b bool, at int) T {
	if b {
		return T(1) << at
	}
	return 0
}

// word packs a gateway, so that gateways can be put in an order. All that tells one from another is in it.
func (g *Gateway) word() uint16 {
	w := uint16(g.Cond) | uint16(g.Told)<<2 | bit[uint16](g.Stale, 5) | bit[uint16](g.Unseen, 6)
	for c := range MaxClients {
		w |= bit[uint16](g.Tried[c], 7+2*c) | bit[uint16](g.Out[c], 8+2*c)
	}
	return w
}

// word packs a client.
func (c *Client) word() uint32 {
	return uint32(c.Class) | uint32(c.Seen)<<3 | uint32(c.Life.Phase)<<6 | bit[uint32](c.Life.Inherited, 9) |
		uint32(c.Life.Attempts&15)<<10 | uint32(c.Link)<<14 | uint32(c.Book)<<16 | bit[uint32](c.MayRun, 19) |
		bit[uint32](c.Held, 20) | bit[uint32](c.Guard, 21) | bit[uint32](c.Timer, 22) | bit[uint32](c.Ran, 23)
}

// Encode implements model.Model.
func (m *Model) Encode(to []byte, s State) []byte {
	for g := range m.Gateways {
		w := s.Gateways[g].word()
		to = append(to, byte(w), byte(w>>8))
	}
	for c := range m.Clients {
		w := s.Clients[c].word()
		to = append(to, byte(w), byte(w>>8), byte(w>>16))
	}
	return append(to, byte(s.Stay), byte(s.Bad), byte(s.Bad>>8))
}

// Canonical implements model.Model: gateways have no names, and clients neither. A gateway's word holds all its ties to
// clients, so that sorting the words is a full normal form; of two clients, both orders are tried.
//
// A gateway that no query has a connection to is taken for sound and for what it was told to be: it may fall silent, die
// and come back at any time, and does so anew once a connection is begun there, so that nothing is missed.
func (m *Model) Canonical(s State) State {
	if !m.Unreduced {
		for g := range m.Gateways {
			if gw := &s.Gateways[g]; !gw.touched() {
				gw.Cond, gw.Stale = Sound, false
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
		w.Out[0], w.Out[1] = w.Out[1], w.Out[0]
	}
	m.sortGateways(&t)
	if m.less(&t, &s) {
		return t
	}
	return s
}

func (m *Model) sortGateways(s *State) {
	var words [MaxGateways]uint16
	for g := range m.Gateways {
		words[g] = s.Gateways[g].word()
	}
	for i := 1; i < m.Gateways; i++ {
		for j := i; j > 0 && words[j] < words[j-1]; j-- {
			words[j], words[j-1] = words[j-1], words[j]
			s.Gateways[j], s.Gateways[j-1] = s.Gateways[j-1], s.Gateways[j]
		}
	}
}

func (m *Model) less(a, b *State) bool {
	for c := range m.Clients {
		if x, y := a.Clients[c].word(), b.Clients[c].word(); x != y {
			return x < y
		}
	}
	for g := range m.Gateways {
		if x, y := a.Gateways[g].word(), b.Gateways[g].word(); x != y {
			return x < y
		}
	}
	return false
}
