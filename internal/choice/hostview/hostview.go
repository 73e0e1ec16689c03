// Package hostview determines what a site's Raft group knows of its hosts: each node reports to the leader what its own host list
// and its own traffic show, and the leader merges the recent reports. It is pure: events and the time in, views out.
//
// Reporter is the node's side: it observes the list and reports what has changed since the version that the leader has.
// Aggregator is the leader's side: soft state, empty at its election. A node sends a Report with each request for its send lease,
// limited to what has changed; the answer names the version that the leader has.
//
// The properties:
//
//	C1  What the leader holds of a node is one complete observation of that node, and never an earlier one than it held
//	    before: calls may be lost, late, repeated and overtake each other, the process and the leader may change. Changes
//	    relative to an observation apply only while exactly that observation is held.
//	C2  A node counts if it is a member and its last report is at most MergeParams.MaxAge old. A node whose list is stale (its discovery
//	    does not answer) reports so: its list counts for nothing, neither the hosts in it nor those missing; what its own
//	    traffic shows (failing hosts, value, groups) does count. While no counted node has a current list, no host comes,
//	    goes, fails by the lists or comes back.
//	C3  Leaving service takes a majority: a host is gone or draining only if more than half of the counted nodes report so,
//	    warm only if more than half of them do, and failed only if more than half of all nodes with a recent report have
//	    ejected it for its failures. So no single list, the leader's included, takes a host out of service or keeps it out.
//	C4  The latest start wins: reports of an earlier start of a host are ignored, whichever node sends them, while a current
//	    list has a later one. So late lists mislead only where they are more than half of the current ones.
//	C5  A host whose turn is Returning is reported in service, and warm, only by nodes that observed it after they knew of the
//	    Done (Report.AppliedIndex): the others report its state before the work. Until those are more than half of the current
//	    lists, and while half of the lists lack the host, it is not considered back.
//	C6  A new leader treats no list as current before more than half of the members have reported to it, or
//	    MergeParams.LeaderWait has passed.
//	C7  Insignificant changes make no log entry: a value changes when it has doubled or halved, the recorded groups stay while
//	    any node names them.
//	C8  A node that does not report takes no group from its preferred hosts: what a member named last counts until it reports
//	    otherwise or is no longer a member, and while a member has reported nothing to this leader, the groups recorded before stay.
package hostview

import (
	"math"
	"slices"
	"time"
	"unicode/utf8"

	"lichenhitch/internal/choice/turns"
)

const (
	// MaxGroups is how many groups a node names, and how many are recorded as preferring a host: at most 8 names of 13 bytes
	// each for a host in the Raft log. The names are hashes: clients may choose group names of any length.
	MaxGroups = 8
	// keptRemoved is how many removed hosts a node remembers for its reports; a leader with an older version gets a full report.
	keptRemoved = 256
)

// Host is a host as one node knows it.
type Host struct {
	ID, Zone, Kind string
	Start          time.Duration // from the list; 0: long ago
	Draining       bool          // in the list, but takes no new requests
	Warm           bool          // takes new requests at full capacity
	Failing        bool          // the node has ejected it for its failures
	Value          float64       // value per second of this node's connections there; a power of two, or 0
	Groups         []string      // groups that prefer the host, sorted
}

// Equal reports whether two hosts are reported alike.
func (h Host) Equal(o Host) bool {
	return h.ID == o.ID && h.Zone == o.Zone && h.Kind == o.Kind && h.Start == o.Start && h.Draining == o.Draining &&
		h.Warm == o.Warm && h.Failing == o.Failing && h.Value == o.Value && slices.Equal(h.Groups, o.Groups)
}

// Process identifies a process of a node: the incarnation of its store, and the open count of that store. Later ones are greater.
type Process struct{ Incarnation, OpenCount uint64 }

// before reports whether p is an earlier process than q.
func (p Process) before(q Process) bool {
	return p.Incarnation < q.Incarnation || p.Incarnation == q.Incarnation && p.OpenCount < q.OpenCount
}

// Report is what a node reports with a lease request. With Since 0 it is complete.
type Report struct {
	Process      Process
	Seq          uint64 // of the request, in the process
	Version      uint64 // of the observation reported; counted in the process, from 1
	Since        uint64 // the version that the changes are relative to
	AppliedIndex uint64 // log index up to which the node knew at its newest observation, which had this version
	Stale        bool   // discovery does not answer
	Hosts        []Host

	GroupsUnknown bool     // too few observations to know which groups prefer the hosts here
	Removed       []string // since that version, sorted
}

// MergeParams are the parameters of a merge.
type MergeParams struct {
	MaxAge     time.Duration     // how long a report counts
	LeaderWait time.Duration     // how long a new leader waits for the nodes
	Members    []string          // living members, sorted
	Previous   []turns.Host      // the last recorded hosts, sorted by id
	Returning  map[string]uint64 // hosts whose work is reported done: the log index of the Done
}

// Aggregator is the leader's side.
type Aggregator struct {
	since time.Duration
	nodes map[string]*view
}

// view is what is held of a node.
type view struct {
	at           time.Duration // of the last report that was accepted
	process      Process
	seq          uint64
	version      uint64
	appliedIndex uint64
	stale        bool
	hosts        map[string]Host

	groupsUnknown bool
}

// New returns the aggregator of a leader that was elected at the given time.
func New(now time.Duration) *Aggregator { return &Aggregator{since: now, nodes: map[string]*view{}} }

// Record records a node's report and returns the version that is held of its process, 0 for none: the next report has to be
// relative to that.
func (c *Aggregator) Record(now time.Duration, node string, r Report) (held uint64) {
	v := c.nodes[node]
	switch {
	case v != nil && r.Process.before(v.process):
		return 0
	case v == nil || v.process != r.Process:
		if r.Version == 0 || r.Since != 0 { // nothing to apply it to yet: the reports of the previous process still count
			return 0
		}
		v = &view{process: r.Process}
		c.nodes[node] = v
	case r.Seq <= v.seq: // late or repeated
		return v.version
	}
	if r.Since > v.version || r.Version < v.version {
		return v.version
	}
	if r.Since == 0 {
		v.hosts = make(map[string]Host, len(r.Hosts))
	}
	for _, id := range r.Removed {
		delete(v.hosts, id)
	}
	for _, h := range r.Hosts {
		if validName(h.ID) {
			v.hosts[h.ID] = sanitized(h)
		}
	}
	v.at, v.seq, v.version, v.appliedIndex, v.stale, v.groupsUnknown = now, r.Seq, r.Version, r.AppliedIndex, r.Stale, r.GroupsUnknown
	return v.version
}

// GroupsKnown reports whether a node has reported to this leader which groups prefer its hosts, after enough observations to
// know.
func (c *Aggregator) GroupsKnown(node string) bool {
	v := c.nodes[node]
	return v != nil && !v.groupsUnknown
}

// stableValue returns the value to record after the last recorded one: that one, unless it has doubled or halved, else the
// nearest power of two.
func stableValue(last, now float64) float64 {
	switch {
	case !(now >= minValue) || math.IsInf(now, 0):
		return 0
	case now > last/2 && now < 2*last:
		return last
	}
	return math.Exp2(math.Round(math.Log2(now)))
}

// minValue is the value below which 0 is recorded.
const minValue = 1.0 / 16

// sanitized returns a host as it may be stored in the log.
func sanitized(h Host) Host {
	h.Start, h.Value = max(h.Start, 0).Truncate(time.Microsecond), stableValue(0, h.Value) // other nodes do not report finer times
	if len(h.Zone) > turns.MaxText || !utf8.ValidString(h.Zone) {
		h.Zone = ""
	}
	if len(h.Kind) > turns.MaxText || !utf8.ValidString(h.Kind) {
		h.Kind = ""
	}
	h.Groups = slices.DeleteFunc(slices.Clone(h.Groups), func(g string) bool { return !validName(g) })
	slices.Sort(h.Groups)
	h.Groups = slices.Compact(h.Groups)
	return h
}

func validName(id string) bool { return id != "" && len(id) <= turns.MaxText && utf8.ValidString(id) }
