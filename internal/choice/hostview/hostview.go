// Package hostview settles what the council of a site knows of its hosts: each node tells its leader what its own list of
// hosts and its own traffic say, and the leader merges what the nodes said lately. It is pure: events and the time in,
// views out.
//
// Reporter is the node's side: it takes looks at the list and tells what has changed since what the leader has. Census is
// the leader's: soft state, empty at its election. What a node tells is a Report with each question for its right, bounded
// to what has changed; what the leader has of it comes back with the answer.
//
// The properties:
//
//	C1  What the leader holds of a node is what one look of that node had, whole, and never that of an earlier look than
//	    it held before: calls may be lost, late, repeated and overtake each other, the process and the leader may change.
//	    What is told of a look counts only while exactly that look is held.
//	C2  A node counts that is a member and was heard within Terms.Fresh. One whose list is stale (its discovery does not
//	    answer) says so: its list counts for nothing, neither what is there nor what is not; what its own traffic tells
//	    (which hosts fail, worth, groups) does count. While no node counts whose list is current, no host comes, goes,
//	    fails by the lists or comes back.
//	C3  Out-ness goes by a quorum: a host is gone or draining only if more than half of the nodes say so whose word counts,
//	    warm only if more than half of them do, and set aside for its failures only if more than half of all fresh nodes have set it aside. So no single
//	    list, the leader's included, takes a host out or keeps it out.
//	C4  The youngest start wins: what is told of a host's earlier start counts for nothing, whichever node tells it, while
//	    a current list has a later one. So late lists mislead only where they are more than half of those heard.
//	C5  A host whose turn is Returning is said to be in service, and warm, only by nodes that had looked after they knew of
//	    the Done (Report.Seen): others tell of the host before its work. Until those are more than half of the current lists, and
//	    while half of them lack it, it is not said to be back.
//	C6  A new leader takes no list for current before it has heard more than half of the members, or for Terms.Patience.
//	C7  What hardly matters makes no entry: worth moves when it has doubled or halved, the groups that stand stay while
//	    somebody names them.
//	C8  Silence takes no group from its homes: what a member named last counts until it tells otherwise or is no member, and while
//	    a member has told this leader nothing, the groups that were said before stay.
package hostview

import (
	"math"
	"slices"
	"time"
	"unicode/utf8"

	"lichenhitch/internal/choice/turns"
)

const (
	// MostGroups is how many groups a node names, and how many a host is said to be a home of: at most 8 names of 13 bytes
	// each for a host in the council's log. The names are hashes: clients choose groups as long as they like.
	MostGroups = 8
	// keptGone is how many hosts that have left a node remembers to tell of; a leader that has less is told all.
	keptGone = 256
)

// Host is a host as one node knows it.
type Host struct {
	ID, Zone, Kind string
	Start          time.Duration // as the list has it; 0: long ago
	Draining       bool          // the list has it, and it takes nothing new
	Warm           bool          // it takes new work, and has its full capacity
	Failing        bool          // the node has set it aside for its failures
	Worth          float64       // a second, of this node's connections there; a power of two, or 0
	Groups         []string      // whose home it is, sorted
}

// Same says whether two are told alike.
func (h Host) Same(o Host) bool {
	return h.ID == o.ID && h.Zone == o.Zone && h.Kind == o.Kind && h.Start == o.Start && h.Draining == o.Draining &&
		h.Warm == o.Warm && h.Failing == o.Failing && h.Worth == o.Worth && slices.Equal(h.Groups, o.Groups)
}

// Process names one of a node: the life of its store, and the how manieth opening of that it is. Later ones are greater.
type Process struct{ Life, Boot uint64 }

// before says whether a process is an earlier one.
func (p Process) before(q Process) bool {
	return p.Life < q.Life || p.Life == q.Life && p.Boot < q.Boot
}

// Report is what a node tells with a question. Since 0: it is whole.
type Report struct {
	Process Process
	Seq     uint64 // of the question, in the process
	Version uint64 // of the look that it tells of; counts in the process, from 1
	Since   uint64 // the version that it changes
	Seen    uint64 // the log's index up to which the node knew at its newest look, which found this version
	Stale   bool   // its discovery does not answer
	Hosts   []Host

	GroupsUnknown bool     // it has not looked often enough to tell which groups gather at its hosts
	Gone          []string // since then, sorted
}

// Terms are what a merge goes by.
type Terms struct {
	Fresh     time.Duration     // how long what a node told counts
	Patience  time.Duration     // how long a new leader waits for the nodes
	Members   []string          // that are alive, sorted
	Before    []turns.Host      // what was said last, sorted by id
	Returning map[string]uint64 // hosts whose work is reported done: the log's index of the Done
}

// Census is the leader's side.
type Census struct {
	since time.Duration
	nodes map[string]*view
}

// view is what is held of a node.
type view struct {
	at      time.Duration // when it last told something that is held
	process Process
	seq     uint64
	version uint64
	seen    uint64
	stale   bool
	hosts   map[string]Host

	groupsUnknown bool
}

// New returns the census of a leader that was elected at a time.
func New(now time.Duration) *Census { return &Census{since: now, nodes: map[string]*view{}} }

// Take takes a node's report over and returns the version that is held of its process, 0 for none: what is told next has to
// begin there.
func (c *Census) Take(now time.Duration, node string, r Report) (has uint64) {
	v := c.nodes[node]
	switch {
	case v != nil && r.Process.before(v.process):
		return 0
	case v == nil || v.process != r.Process:
		if r.Version == 0 || r.Since != 0 { // nothing to hold of it yet: what the process before told goes on counting
			return 0
		}
		v = &view{process: r.Process}
		c.nodes[node] = v
	case r.Seq <= v.seq: // it comes late, or once more
		return v.version
	}
	if r.Since > v.version || r.Version < v.version {
		return v.version
	}
	if r.Since == 0 {
		v.hosts = make(map[string]Host, len(r.Hosts))
	}
	for _, id := range r.Gone {
		delete(v.hosts, id)
	}
	for _, h := range r.Hosts {
		if named(h.ID) {
			v.hosts[h.ID] = sound(h)
		}
	}
	v.at, v.seq, v.version, v.seen, v.stale, v.groupsUnknown = now, r.Seq, r.Version, r.Seen, r.Stale, r.GroupsUnknown
	return v.version
}

// GroupsKnown says whether a node has told this leader which groups gather at its hosts, after enough looks to know.
func (c *Census) GroupsKnown(node string) bool {
	v := c.nodes[node]
	return v != nil && !v.groupsUnknown
}

// steady returns what a worth is said to be that was said to be another one: that one, unless it has doubled or halved, else
// the nearest power of two.
func steady(last, now float64) float64 {
	switch {
	case !(now >= least) || math.IsInf(now, 0):
		return 0
	case now > last/2 && now < 2*last:
		return last
	}
	return math.Exp2(math.Round(math.Log2(now)))
}

// least is the worth below which there is none to speak of.
const least = 1.0 / 16

// sound is a host as it can stand in the log.
func sound(h Host) Host {
	h.Start, h.Worth = max(h.Start, 0).Truncate(time.Microsecond), steady(0, h.Worth) // finer is not told by others
	if len(h.Zone) > turns.MaxText || !utf8.ValidString(h.Zone) {
		h.Zone = ""
	}
	if len(h.Kind) > turns.MaxText || !utf8.ValidString(h.Kind) {
		h.Kind = ""
	}
	h.Groups = slices.DeleteFunc(slices.Clone(h.Groups), func(g string) bool { return !named(g) })
	slices.Sort(h.Groups)
	h.Groups = slices.Compact(h.Groups)
	return h
}

func named(id string) bool { return id != "" && len(id) <= turns.MaxText && utf8.ValidString(id) }
