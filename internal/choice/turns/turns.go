// Package turns schedules maintenance work on the hosts of a site. A turn is the permission to do maintenance work on one host.
// Schedule is the state that the site's Raft group replicates: commands in, notices out, the same at every replica. It is pure:
// time is what the leader stamped on a command, never a clock.
//
// The properties:
//
//	T1  The number of hosts that are out of service (short: out) never exceeds the limits of the site, of a zone and of a
//	    kind of machine. A host counts from Prepare until its work is reported done and it is in service again and warm.
//	    Hosts that failed on their own count too.
//	T2  A host is Granted only once every node that could send it anything has confirmed that it sends it no new work in this
//	    round, or has lost its send lease after it had acknowledged an exclusion set that contains the host, or was declared
//	    dead.
//	T3  While more hosts have failed than Limits.Failed, no turn is given, and turns whose work has not begun are revoked, the
//	    latest first, until the limits hold.
//	T4  The order depends on the schedule alone: urgency, then how close the latest start for FinishBy is, then the lowest
//	    value disrupted; waiting turns gain urgency with time, so that none starves; no two preferred hosts of one
//	    group are out together.
//	T5  A turn is not forgotten: its requester may be gone, the leader may change; a host whose work
//	    overruns goes on counting, and the overrun is reported to operators.
//	T6  An operator's ban and a turn on one host, in either order, keep the host out of service until both are over.
//
// What is counted: a host is out if it has a turn from Preparing to Returning, is banned, or has failed on its own, and it counts
// once. A host whose work is under way (Working, Returning) does not count as failed on its own. T1 and T3 are checked as Prepare
// is applied, T3 also for Grant, so that competing leaders cannot exceed the limits; bans, failures and new limits can, and Next
// then revokes turns whose work has not begun.
//
// What exclusion sets guarantee: each contains all hosts that are out by a turn or a ban, and no acknowledgement is accepted of a
// set that lacks a granted host. So whichever exclusion set a node applies, it contains every host whose work may be under way.
package turns

import "time"

// Limits are the limits of a site on hosts that are out.
type Limits struct {
	Site      int           // hosts out at once
	Zone      int           // hosts of one zone out at once; 0: as many as Site
	Kind      int           // hosts of one kind of machine out at once; 0: as many as Site
	Failed    int           // hosts that may have failed on their own while turns are given
	Lookahead int           `json:"Horizon"` // how many of the next hosts a node without a send lease must not use
	AgeStep   time.Duration `json:"Age"`     // waiting this long adds one step of urgency; 0: an hour
}

// Phase is the state of a turn.
type Phase uint8

// The phases. Turns in phase Over are kept for a limited time.
const (
	Requested Phase = iota // waits to be prepared
	Preparing              // the nodes are draining the host; it counts as out
	Granted                // the work may begin
	Working                // the requester reported that the work has begun
	Returning              // the work is reported done; the host is not known to be in service and warm yet, see Turn.InService
	Over                   // finished, withdrawn or expired
)

var phaseNames = [...]string{"asked", "preparing", "granted", "working", "returning", "over"}

func (p Phase) String() string { return phaseNames[p] }

// OutOfService reports whether a turn in this phase counts against the limits.
func (p Phase) OutOfService() bool { return p >= Preparing && p <= Returning }

// Host is a host as the site's Raft group knows it.
type Host struct {
	ID     string   `json:"id"`
	Zone   string   `json:"zone,omitempty"`
	Kind   string   `json:"kind,omitempty"`
	Groups []string `json:"groups,omitempty"` // groups that prefer the host, sorted
	Value  float64  `json:"worth,omitempty"`  // value per second of the connections it holds, disrupted when it is drained
	Failed bool     `json:"failed,omitempty"` // out of service on its own
	Warm   bool     `json:"warm,omitempty"`   // in service at full capacity
	Banned bool     `json:"banned,omitempty"` // taken out of service by an operator
	Gone   bool     `json:"gone,omitempty"`   // missing from the newest fleet and kept because it has a turn; set only by the schedule
}

// Command is one entry of the Raft log about turns. At most one of the pointers is set; with none, only time passes. At is the
// leader's time, as Unix time. If it is earlier than that of a preceding command, that command's time applies.
type Command struct {
	At           time.Duration       `json:"at"`
	Limits       *Limits             `json:"limits,omitempty"`   // new limits
	Fleet        *Fleet              `json:"fleet,omitempty"`    // the complete list of hosts
	Members      *Members            `json:"members,omitempty"`  // the complete list of nodes that place requests at this site
	Request      *Request            `json:"ask,omitempty"`      // requests a turn
	Withdraw     *Ref                `json:"withdraw,omitempty"` // by the requester or an operator
	Prepare      *Ref                `json:"prepare,omitempty"`  // by the leader: the nodes have to drain the host
	Grant        *Ref                `json:"grant,omitempty"`    // by the leader: no node sends to the host
	Revoke       *Ref                `json:"call_back,omitempty"`
	Begin        *Ref                `json:"begin,omitempty"`   // by the requester
	Done         *Ref                `json:"done,omitempty"`    // by the requester
	ExclusionSet *ExclusionSetUpdate `json:"horizon,omitempty"` // by the leader: the hosts to exclude, in a new version
	Ack          *Ack                `json:"ack,omitempty"`     // by the leader: a node has stored an exclusion set
	Dead         *Declaration        `json:"dead,omitempty"`    // by an operator
	Alive        *Declaration        `json:"alive,omitempty"`   // the node is admitted again
}

type (
	// Fleet is the hosts as the leader sees them, sorted by id. A missing host that has a turn is kept. AppliedIndex is the log
	// index that the leader had applied when it looked: a host reported warm ends a turn in Returning only if AppliedIndex covers
	// its Done, because an earlier observation may be from before the work.
	Fleet struct {
		AppliedIndex uint64 `json:"seen"`
		Hosts        []Host `json:"hosts"`
	}
	// Members are the nodes, sorted. A node that is removed from the site file counts until its send lease has expired: the
	// leader proposes its removal only then.
	Members struct {
		Nodes []string `json:"nodes"`
	}
	// Request requests a turn. A repeated ID means the same turn and has no effect, also when that turn is over.
	Request struct {
		ID        string        `json:"id"`
		Host      string        `json:"host"`
		Duration  time.Duration `json:"lasts"`                // expected duration of the work
		NotBefore time.Duration `json:"not_before,omitempty"` // Unix time; 0: at once
		FinishBy  time.Duration `json:"finish_by,omitempty"`  // Unix time; 0: no deadline
		Urgency   int           `json:"urgency,omitempty"`    // higher goes first
		Requester string        `json:"by,omitempty"`         // who requests it
	}
	// Ref names a turn. In the leader's proposals it also has the round they refer to, so that a proposal from an earlier round
	// has no effect.
	Ref struct {
		ID    string `json:"id"`
		Round uint64 `json:"round,omitempty"`
		Why   string `json:"why,omitempty"`
	}
	// ExclusionSetUpdate is a new exclusion set.
	ExclusionSetUpdate struct {
		Version uint64   `json:"version"`
		Hosts   []string `json:"hosts"` // sorted
	}
	// Ack reports that a node's store of one incarnation holds an exclusion set; version 0: a new store that holds none. A
	// version older than the known one of the same incarnation has no effect, a newer incarnation replaces what is known, and an
	// older incarnation is refused.
	Ack struct {
		Node        string `json:"node"`
		Incarnation uint64 `json:"life"`
		Version     uint64 `json:"version"`
	}
	// Declaration names a node, and who declares it dead or alive and why.
	Declaration struct {
		Node string `json:"node"`
		By   string `json:"by"`
		Why  string `json:"why"`
	}
)

// Turn is one entry of the schedule.
type Turn struct {
	Request
	Phase       Phase         `json:"phase"`
	Round       uint64        `json:"round"` // log index of the last Prepare
	RequestedAt time.Duration `json:"asked_at"`
	Since       time.Duration `json:"since"`             // start of the phase
	DoneIndex   uint64        `json:"back,omitempty"`    // log index of Done
	InService   bool          `json:"serves,omitempty"`  // in Returning: in service again, and sent requests while it warms up
	Overrun     bool          `json:"overrun,omitempty"` // operators were notified that it takes longer than requested
	End         End           `json:"end,omitempty"`     // how it ended
	Why         string        `json:"why,omitempty"`     // reason of the last revocation, withdrawal or end
}

// End is how a turn ended.
type End uint8

// The ends.
const (
	NotEnded  End = iota
	Finished      // the host is back
	Withdrawn     // by the requester or an operator
	Expired       // FinishBy could not be met
)

// Notice is a report to operators.
type Notice struct {
	Turn   string // empty for commands that concern no turn
	Kind   NoticeKind
	Reason Reason // of a refusal, else Accepted
	Why    string
}

// NoticeKind is the kind of a notice.
type NoticeKind uint8

// The kinds of notices.
const (
	NoticeGranted  NoticeKind = iota // the host is granted: the work may begin
	NoticeRevoked                    // the turn was revoked: do not begin
	NoticeOverrun                    // the work takes longer than requested
	NoticeExpired                    // FinishBy cannot be met any more; the turn is over, as its work has not begun
	NoticeRefused                    // the command was refused; Why has the reason
	NoticeFinished                   // the host is back and warm
	NoticeIdle                       // the host has been granted for longer than the work was to last, and the work has not begun
)

// NodeView is what the leader knows of a node, besides the schedule.
type NodeView struct {
	Node         string
	LeaseExpired bool              // its send lease has expired, by any clock within the drift
	Confirmed    map[string]uint64 // hosts that it has confirmed to send no new work to, with their rounds
}
