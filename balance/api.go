// Package balance decides where long-lived connections go. It implements least ratio routing: each new
// connection is placed on the ready server with the lowest ratio of load to capacity.
//
// A Balancer is driven by events and answers each with the actions to carry out. It reads no clock, starts
// no goroutine and draws all chance from its seed, so equal events give equal actions.
package balance

import "time"

// ServerID names a server. It is opaque.
type ServerID string

// RequestID names one try of a client. It is never reused.
type RequestID uint64

// Effect says what repeating a request may do.
type Effect int

// The effects of a request class.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // repeats are dropped inside a group of servers for some time
	Unsafe               // must not run twice
)

// Group says which servers drop the repeats of a keyed request.
type Group int

// The groups of a keyed class.
const (
	GroupAll  Group = iota // every server
	GroupZone              // the servers of one zone
	GroupCell              // the servers of one cell
)

// Class is a kind of request.
type Class struct {
	Name       string
	Aim        time.Duration // an answer within Aim is worth the most
	Deadline   time.Duration // how long a client waits, over all its tries
	Effect     Effect
	Group      Group         // of a keyed class
	Window     time.Duration // of a keyed class: how long its repeats are remembered
	Streamed   bool
	MessageAim time.Duration // wanted time of a message on an open connection; 0 where there is none
	Worth      float64
}

// Tenant has a share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // connections within its share, open through all balancers together; 0: not told
}

// Safety holds the figures of the rules that every balancer keeps by itself.
type Safety struct {
	AnswerSlack    time.Duration // a final answer may come this much after the deadline
	DrainGrace     time.Duration // new work must stop this long after a drain was told
	AskWithin      time.Duration // without a subscription, the list must be asked for this often
	ColdFrom       float64       // a started server has at least this part of its capacity
	ColdFor        time.Duration // and all of it after this time
	OverloadFactor float64       // sent more than this multiple of its present capacity
	TipAfter       time.Duration // for this long, a cold server falls over
}

// Prices are deducted from the value of the service, each times its rate for each first try.
type Prices struct {
	CrossZone float64
	Probe     float64
	Move      float64
	Peer      float64 // for PeerUnit bytes delivered
}

// Settings is what a balancer is told at its start. The zero value of a field means not told.
type Settings struct {
	Self           int // which of the balancers this is, from 0
	Balancers      int // how many serve the same servers
	Zone           string
	Classes        []Class
	Tenants        []Tenant
	ListOnRequest  bool // the server list comes only when subscribed to or fetched
	WeightsNominal bool // listed weights compare the servers' capacities
	Probes         bool // probing is permitted
	Peers          bool // messages to other balancers are permitted
	SecondCopies   bool // two attempts of one request may be pending at once
	MaxAttempts    int
	MaxRetryAfter  time.Duration // the longest advice that clients heed; 0 where they heed none
	Tick           time.Duration // events are handed in no more often than this
	ConnectTimeout time.Duration // a connection that is not made by then is given up
	PassThrough    bool          // packets pass through: connections outlive the balancer
	Safety         Safety
	Prices         Prices
}

// Metric is a set of the values in a report.
type Metric uint8

// The values that a report may hold.
const (
	HasRatio Metric = 1 << iota
	HasHeld
	HasBusy
	HasBacklog
	HasQueue
	HasLatency
	HasServed
	HasErrors
)

// Report is what a server said of its load. Two equal reports are one: it was not refreshed in between.
type Report struct {
	Known   Metric
	Ratio   float64 // load asked over what the server can do
	Held    float64 // connections or requests held
	Busy    float64 // part of its processor time in use
	Backlog float64 // seconds of work piled up
	Queue   float64 // requests waiting
	Latency float64 // recent service time, milliseconds
	Served  float64 // requests served a second
	Errors  float64 // errors a second
}

// State is the listed state of a server.
type State int

// The states of a server.
const (
	Ready    State = iota
	Draining       // finishes its work; nothing new
	Gone
)

// Listing is one server in a list.
type Listing struct {
	Server  ServerID
	Zone    string
	Kind    string // of machine; no decision here depends on it
	Cell    int
	Weight  float64
	Started time.Duration // clock time of its last start; 0: long ago
	State   State
}

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes. Full, Unreachable and Unsent prove that the request never ran.
const (
	OK          Outcome = iota
	Errored             // the server answered with an error
	Full                // turned away unseen
	TimedOut            // no answer in time
	Unreachable         // no connection to the server
	Reset               // the connection broke
	Cancelled           // withdrawn, or the client left
	Unsent              // never sent
)

// Event is something that happened to a balancer.
type Event interface{ event() }

// ListKind says how the entries of a list event are meant.
type ListKind int

// The kinds of list events.
const (
	ListChanges ListKind = iota // only what changed
	ListWhole                   // everything; what is missing is gone
	ListSaved                   // as this balancer last held it in an earlier life
	ListFailed                  // a call failed or a subscription broke; no entries
)

type (
	// ServerList brings news of the servers.
	ServerList struct {
		Kind    ListKind
		Entries []Listing
	}
	// Arrival is a new try of a client. One final answer is owed within TimeLeft.
	Arrival struct {
		Request   RequestID
		Class     string
		Tenant    string
		Key       string // ties related requests together; may be empty
		Group     string // connections of one group share work on a server; may be empty
		TimeLeft  time.Duration
		Load      float64 // expected load, in any one unit; 0: not told
		MidFlow   bool    // packets of a connection that some server may still hold
		Returning bool    // the client comes back after a break or a move
		Repeat    bool    // the client tries again, where clients tell
	}
	// Inherited is a connection that runs through this balancer already; nothing is owed for it.
	Inherited struct {
		Arrival
		Server ServerID
	}
	// Established says that an attempt's connection stands.
	Established struct {
		Request RequestID
		Attempt int
		Took    time.Duration
	}
	// LoadChanged tells the present load of an open connection, in microseconds of work a second.
	LoadChanged struct {
		Request RequestID
		Load    float64
	}
	// MessagesSlow tells how long a message on an open connection takes now.
	MessagesSlow struct {
		Request RequestID
		Took    time.Duration
	}
	// Ended is the one outcome of an attempt.
	Ended struct {
		Request RequestID
		Attempt int
		Outcome Outcome
		Took    time.Duration
		Final   bool // the request is over; nothing is owed
		Report  Report
	}
	// Departed says that the client is gone; nothing is owed.
	Departed struct{ Request RequestID }
	// Woken is a timer that came due.
	Woken struct{ Token uint64 }
	// Probed is the outcome of a probe.
	Probed struct {
		Server  ServerID
		Outcome Outcome
		Took    time.Duration
		Report  Report
	}
	// Suspend takes a server out by hand: nothing new goes to it until Resume, whatever the lists say and whether they
	// name it or not. Twice is once.
	Suspend struct{ Server ServerID }
	// Resume takes a Suspend back. The server counts as just started, unless a start was told meanwhile.
	Resume struct{ Server ServerID }
	// Retuned brings new settings. Requests that have come keep those they came under.
	Retuned struct{ Settings Settings }
	// Fellows tells how many other processes decide for the same proxy, as while a new one takes over from an old one.
	// What a cold server may be sent by the proxy is shared among them.
	Fellows struct{ Processes int }
	// PeerMessage is a message from another balancer.
	PeerMessage struct {
		From int
		Data string
	}
)

func (ServerList) event()   {}
func (Arrival) event()      {}
func (Inherited) event()    {}
func (Established) event()  {}
func (LoadChanged) event()  {}
func (MessagesSlow) event() {}
func (Ended) event()        {}
func (Departed) event()     {}
func (Woken) event()        {}
func (Probed) event()       {}
func (Suspend) event()      {}
func (Resume) event()       {}
func (Retuned) event()      {}
func (Fellows) event()      {}
func (PeerMessage) event()  {}

// Action is something to carry out for a balancer. Actions are carried out in order.
type Action interface{ action() }

// PeerUnit is the size of a full message to a peer, in bytes.
const PeerUnit = 256

// AllPeers addresses a Tell to every other balancer.
const AllPeers = -1

type (
	// Place makes an attempt. Attempts of a request are numbered from 0 in this order.
	Place struct {
		Request RequestID
		Server  ServerID
		Timeout time.Duration
		SendBy  time.Duration // the clock time from which it may not be sent any more; 0: none
	}
	// Refuse is a final answer: trying again is harmless.
	Refuse struct {
		Request    RequestID
		RetryAfter time.Duration // 0: no advice
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ Request RequestID }
	// Move ends an open connection politely; its client comes again.
	Move struct{ Request RequestID }
	// Wake asks for a Woken after a delay.
	Wake struct {
		After time.Duration
		Token uint64
	}
	// Probe asks a server for its report.
	Probe struct{ Server ServerID }
	// Subscribe asks for changes of the server list from now on.
	Subscribe struct{}
	// Tell sends at most PeerUnit bytes to a peer.
	Tell struct {
		Peer int
		Data string
	}
)

func (Place) action()     {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Move) action()      {}
func (Wake) action()      {}
func (Probe) action()     {}
func (Subscribe) action() {}
func (Tell) action()      {}
