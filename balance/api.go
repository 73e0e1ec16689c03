// Package balance chooses servers for long-lived connections. It implements least ratio routing: each new
// connection is placed on the ready server with the lowest ratio of load to capacity.
//
// A Balancer is driven by events and returns for each event the actions to carry out. It reads no clock,
// starts no goroutine and derives all randomness from its seed, so equal events give equal actions.
package balance

import "time"

// ServerID identifies a server. It is opaque.
type ServerID string

// RequestID identifies one try of a client. It is never reused.
type RequestID uint64

// Effect says whether a request may safely be repeated.
type Effect int

// The effects of a request class.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // idempotent: repeats are dropped inside a group of servers for some time
	Unsafe               // must not run twice
)

// Group is the set of servers within which repeats of a keyed request are dropped.
type Group int

// The groups of a keyed request class.
const (
	GroupAll  Group = iota // every server
	GroupZone              // the servers of one zone
	GroupCell              // the servers of one cell
)

// Class is a kind of request.
type Class struct {
	Name                 string
	LatencyTarget        time.Duration // answers within this time have the highest value
	Deadline             time.Duration // how long a client waits, over all its tries
	Effect               Effect
	Group                Group         // of a keyed class
	Window               time.Duration // of a keyed class: how long servers remember a request to drop its repeats
	Streamed             bool
	MessageLatencyTarget time.Duration // for a message on an open connection; 0 if the class has none
	Value                float64
}

// Tenant is entitled to a share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // connections within its share, open through all balancers together; 0: unknown
}

// Safety holds the parameters of the rules that every balancer enforces on its own.
type Safety struct {
	AnswerSlack         time.Duration // a final answer may come this much after the deadline
	DrainGrace          time.Duration // new work must stop within this time after the announcement of a drain
	ListRefreshInterval time.Duration // without a subscription, the server list must be fetched at least this often
	ColdCapacity        float64       // fraction of its capacity that a server has right after its start, at least
	WarmUp              time.Duration // a server has its full capacity this long after its start
	OverloadFactor      float64       // a cold server is overloaded by more than this multiple of its present capacity
	OverloadWindow      time.Duration // a cold server fails when it is overloaded for this long
}

// Prices are deducted from the value of the service, each times its rate per first try.
type Prices struct {
	CrossZone float64
	Probe     float64
	Move      float64
	Peer      float64 // for PeerUnit bytes delivered
}

// Settings configures a balancer. The zero value of a field means that it is not set.
type Settings struct {
	Self           int // index of this balancer, from 0
	Balancers      int // number of balancers that use the same servers
	Zone           string
	Classes        []Class
	Tenants        []Tenant
	ListOnRequest  bool // the server list is delivered only after a subscription or a fetch
	WeightsNominal bool // listed weights are proportional to the servers' capacities
	Probes         bool // probing is permitted
	Peers          bool // messages to other balancers are permitted
	Hedging        bool // two attempts of one request may be pending at once
	MaxAttempts    int
	MaxRetryAfter  time.Duration // longest retry-after that clients honor; 0 if they ignore it
	Tick           time.Duration // minimum interval between events
	ConnectTimeout time.Duration // a connection that is not established within this time is abandoned
	PassThrough    bool          // packets pass through: connections outlive the balancer
	Safety         Safety
	Prices         Prices
}

// Metric is a bit set of the values present in a Report.
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

// Report is the load that a server reported. Two equal reports count as one: the server did not refresh it.
type Report struct {
	Known   Metric
	Ratio   float64 // requested load over capacity
	Held    float64 // connections or requests held
	Busy    float64 // fraction of processor time in use
	Backlog float64 // seconds of queued work
	Queue   float64 // requests waiting
	Latency float64 // recent service time, milliseconds
	Served  float64 // requests served per second
	Errors  float64 // errors per second
}

// State is the state of a server in the server list.
type State int

// The states of a server.
const (
	Ready    State = iota
	Draining       // finishes its present work and accepts no new work
	Gone
)

// Listing is the entry of one server in a server list.
type Listing struct {
	Server  ServerID
	Zone    string
	Kind    string // machine type; not used for decisions
	Cell    int
	Weight  float64
	Started time.Duration // clock time of its last start; 0: long ago
	State   State
}

// Outcome is the result of an attempt or a probe.
type Outcome int

// The outcomes.
const (
	OK          Outcome = iota
	Errored             // the server answered with an error
	Full                // rejected by the server before it was processed
	TimedOut            // no answer in time
	Unreachable         // no connection to the server
	Reset               // the connection broke
	Cancelled           // withdrawn, or the client left
	Unsent              // never sent
)

// ProvesNeverRan reports whether a request certainly did not run in an attempt that ended so.
func (o Outcome) ProvesNeverRan() bool { return o == Full || o == Unreachable || o == Unsent }

// Event is an input of a balancer.
type Event interface{ event() }

// ListKind says how to interpret the entries of a ServerList.
type ListKind int

// The kinds of server lists.
const (
	ListChanges ListKind = iota // only the entries that changed
	ListFull                    // the full list; servers that are missing are gone
	ListSaved                   // the list that an earlier process of this balancer saved last
	ListFailed                  // a fetch failed or a subscription broke; no entries
)

type (
	// ServerList updates the list of servers.
	ServerList struct {
		Kind    ListKind
		Entries []Listing
	}
	// Arrival is a new try of a client. Exactly one final answer is due within TimeLeft.
	Arrival struct {
		Request   RequestID
		Class     string
		Tenant    string
		Key       string // identifies related requests; may be empty
		Group     string // connections of one group share work on a server; may be empty
		TimeLeft  time.Duration
		Load      float64 // expected load, in any unit, the same for all; 0: unknown
		MidFlow   bool    // packets of a connection that some server may still hold
		Returning bool    // the client reconnects after a broken connection or a move
		Repeat    bool    // the client retries, if clients say so
	}
	// Inherited is an open connection taken over from an earlier process; no answer is due for it.
	Inherited struct {
		Arrival
		Server ServerID
	}
	// Established says that the connection of an attempt is established.
	Established struct {
		Request RequestID
		Attempt int
		Took    time.Duration
	}
	// LoadChanged reports the present load of an open connection, in microseconds of work per second.
	LoadChanged struct {
		Request RequestID
		Load    float64
	}
	// MessageLatency reports the present latency of messages on an open connection.
	MessageLatency struct {
		Request RequestID
		Took    time.Duration
	}
	// Ended is the outcome of an attempt, reported once.
	Ended struct {
		Request RequestID
		Attempt int
		Outcome Outcome
		Took    time.Duration
		Final   bool // the request is over; no answer is due
		Report  Report
	}
	// Departed says that the client is gone; no answer is due.
	Departed struct{ Request RequestID }
	// TimerFired says that a timer set by SetTimer has expired.
	TimerFired struct{ Token uint64 }
	// Probed is the outcome of a probe.
	Probed struct {
		Server  ServerID
		Outcome Outcome
		Took    time.Duration
		Report  Report
	}
	// Suspend takes a server out of service for an operator: it gets no new work until Resume, whatever the lists say
	// and whether or not they name it. It is idempotent.
	Suspend struct{ Server ServerID }
	// Resume undoes a Suspend. The server is treated as just started, unless the list has announced a start since.
	Resume struct{ Server ServerID }
	// SettingsChanged replaces the settings. Requests that have arrived keep the settings in force at their arrival.
	SettingsChanged struct{ Settings Settings }
	// SiblingProcesses is the number of other processes that balance for the same proxy, as during a handover from an
	// old process to a new one. They share the proxy's part of the budgets of cold servers.
	SiblingProcesses struct{ Processes int }
	// PeerMessage is a message from another balancer.
	PeerMessage struct {
		From int
		Data string
	}
)

func (ServerList) event()       {}
func (Arrival) event()          {}
func (Inherited) event()        {}
func (Established) event()      {}
func (LoadChanged) event()      {}
func (MessageLatency) event()   {}
func (Ended) event()            {}
func (Departed) event()         {}
func (TimerFired) event()       {}
func (Probed) event()           {}
func (Suspend) event()          {}
func (Resume) event()           {}
func (SettingsChanged) event()  {}
func (SiblingProcesses) event() {}
func (PeerMessage) event()      {}

// Action is an output of a balancer, to be carried out by its caller. Actions are carried out in order.
type Action interface{ action() }

// PeerUnit is the size of a full message to a peer, in bytes.
const PeerUnit = 256

// AllPeers addresses a Tell to every other balancer.
const AllPeers = -1

type (
	// Place starts an attempt. Attempts of a request are numbered from 0 in the order of these actions.
	Place struct {
		Request RequestID
		Server  ServerID
		Timeout time.Duration
		SendBy  time.Duration // the clock time after which it must not be sent; 0: none
	}
	// Refuse is a final answer which says that the client may safely retry.
	Refuse struct {
		Request    RequestID
		RetryAfter time.Duration // 0: none
	}
	// Fail is a final answer which does not say whether the request has run.
	Fail struct{ Request RequestID }
	// Move closes an open connection gracefully; its client reconnects.
	Move struct{ Request RequestID }
	// SetTimer requests a TimerFired event with the same token after a delay.
	SetTimer struct {
		After time.Duration
		Token uint64
	}
	// Probe requests a load report from a server.
	Probe struct{ Server ServerID }
	// Subscribe requests updates of the server list from now on.
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
func (SetTimer) action()  {}
func (Probe) action()     {}
func (Subscribe) action() {}
func (Tell) action()      {}
