// Package turnsmodel is a model of the rights to send and of the turns for work: the real sendlease.Holder, sendlease.Table and
// turns.Schedule in a world of nodes that are cut off, stopped and started again, of loops that are late, of messages that are
// lost, late and repeated, and of a leader that goes on believing that it leads. rehearsal/model visits all of it.
//
// The council's log is taken for granted: what is committed is committed in one order, and a leader that a quorum has
// confirmed has applied all that was committed before. What a seat proposes that leads no more is passed on, and committed.
//
// Time goes in ticks, three units of a seat's clock and of a node's; two of a slow node's, which is the drift. A right
// lasts five units: two ticks at a node, three at a slow one. A council counts it as running for three.
//
// There are worlds of two kinds. In those of one node a call, the store, the loop and its word go step by step. In those of
// several nodes (Whole) a call is one step. What is taken for one, and why no property is lost by it:
//
//   - One node stands for all. T2, R1 to R4 and the second T6 are promises about each node by itself, and nodes touch each
//     other only through the log: they let the leader prepare, grant and call back earlier or later. In "other-nodes" the leader
//     (Free) prepares and calls back whatever the book takes, in any order, and waits for no other node. That is more than any
//     number of other nodes brings about. T1 is a promise about the log alone, and so is the first T6.
//   - Alike. Nodes are sorted by their bytes: the real code tells names apart only by equality, and no property names a node.
//     Where promises are checked nodes are kept apart, since fairness is to each of them.
//   - Whole. A call that is one step leaves out what comes between its parts. At the node nobody else sees it: the council hears
//     only of what stands in the store and is in effect at the loop, so that to all others an answer that is slow to be stored
//     or taken is one that came later. What it may do to the node itself is in the worlds of one node; calls that are lost
//     halfway, and those to a leader that believes on, are too. Links that are cut are runs in which a node does not call.
//   - Steady nodes call whenever something is new, so that they never hold a turn up. This leaves runs out: a node that is
//     late. Whether that breaks something at that node is answered by one node that stands for all, and at the other by
//     "two-nodes", in which both are late at will.
//   - Whole, once more: an acknowledgement, a grant and the like do not move the log's index, which only tells answers and
//     rounds apart; of turns that are over the book keeps names alone, and nobody asks for one twice.
//   - Settled leaves orders out: operators act only when the leader has nothing to propose.
//   - Counts (Budget) are bounds and no reductions: what takes a second ban, or a third call back, is not seen.
//   - Patience and age are left open or out: a seat may call back what is stuck at any time, nobody grows old. The order by age
//     is for the tests of turns (T4).
//
// Promises hold under weak fairness: of each node's calls, if its link is there, of what the leader proposes, of work that
// ends, and of time. A turn can be given where no other host is out by hand or by itself, and every node whose link is cut has
// the host in its recorded horizon or is declared dead.
//
// Declared dead is the one exception to T2 and R1: such a node may send anywhere until its first answer after it is taken in.
package turnsmodel

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/turns"
)

// The bounds of a world.
const (
	MaxNodes = 3
	MaxHosts = 3
	maxCalls = 2 // questions and answers of one node on their way, at most
)

const unit = time.Second

var (
	terms     = sendlease.Terms{Duration: 5 * unit, Drift: 0.5}
	nodeNames = [MaxNodes]string{"n1", "n2", "n3"}
	hostNames = [MaxHosts]string{"a", "b", "c"}
)

// Budget is how often something may happen in one run.
type Budget struct {
	TurnRequests      uint8 // for turns, besides the one at the start
	Withdrawals       uint8
	Failures          uint8 // of a host, which calls turns back
	LeaderChanges     uint8 // of leaders: 0 or 1
	Restarts          uint8 // of nodes, with their stores
	StoreLosses       uint8 // of nodes' stores
	DuplicateRequests uint8 // of questions
	LostProposals     uint8 // acknowledgements that a seat proposes and that are lost
	Revocations       uint8 // by a leader that is free
	Bans              uint8 // of hosts, by hand; lifting one costs nothing
	DeathDeclarations uint8 // declared of nodes; taking one in anew costs nothing
	LinkCuts          uint8 // of nodes' links, told apart from lost calls for the promises alone; mending one costs nothing
}

// record is the council's log up to an index. Equal ones are one; what was asked of it once is kept.
type logPrefix struct {
	pool          *pool
	schedule      *turns.Schedule
	index         uint64
	sum           sum              // of the book and the index
	sharedSum     sum              // the same without what is known of single nodes
	nodeAcks      [MaxNodes][]byte // what is known of each node
	excludedHosts []sendlease.ExcludedHost
	exclusionSets []sendlease.ExclusionSet
	turns         [MaxHosts]turns.Turn // not over, by host; without a name: none
	nextCommand   *turns.Command       // what follows from the book; nil: nothing

	successors sync.Map // by change: the record with that command more
}

type sum [16]byte

// change names a command among those that the model has.
type commandKey struct {
	op          Op
	scheduleSum sum // the book that it follows from
	id          string
	a, b        uint64
}

// pool is the records of a model.
type pool struct {
	atomicCalls bool // see Model.Whole
	mu          sync.Mutex
	all         map[sum]*logPrefix
}

func sumOf(raw []byte, index uint64) sum {
	all := sha256.Sum256(binary.AppendUvarint(raw, index))
	return sum(all[:len(sum{})])
}

// encoded returns a book's bytes, which a book of the model always has.
func encoded(b *turns.Schedule) []byte {
	raw, err := b.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

// apart takes what is known of single nodes out of a book's bytes, and what is over, of which nobody asks again; it returns
// the horizons that are there.
func splitEncoding(raw []byte) (rest []byte, exclusionSets []sendlease.ExclusionSet) {
	var parts map[string]json.RawMessage
	err := json.Unmarshal(raw, &parts)
	if list, found := parts["horizons"]; found && err == nil {
		err = json.Unmarshal(list, &exclusionSets)
	}
	for _, part := range [...]string{"acks", "dead", "over"} {
		delete(parts, part)
	}
	rest, marshalErr := json.Marshal(parts) // sorted by name
	if err := cmp.Or(err, marshalErr); err != nil {
		panic(err)
	}
	return rest, exclusionSets
}

// record returns the record of a book, which is not changed any more.
func (p *pool) prefix(b *turns.Schedule, index uint64) *logPrefix {
	raw := encoded(b)
	s := sumOf(raw, index)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.all[s]; r != nil {
		return r
	}
	rest, exclusionSets := splitEncoding(raw)
	r := &logPrefix{pool: p, schedule: b, index: index, sum: s, sharedSum: sumOf(rest, index), excludedHosts: b.ExcludedHosts(), exclusionSets: exclusionSets}
	for i, node := range nodeNames {
		a := b.Acked(node)
		r.nodeAcks[i] = binary.AppendUvarint(binary.AppendUvarint([]byte{bits(b.Dead(node))}, a.Incarnation), a.Version)
	}
	for _, t := range b.Turns() {
		if h := slices.Index(hostNames[:], t.Host); t.Phase != turns.Over {
			r.turns[h] = t
		}
	}
	if c, ok := b.Next(0); ok {
		r.nextCommand = &c
	}
	p.all[s] = r
	return r
}

// acknowledged returns the hosts of the horizon that is recorded for a node.
func (r *logPrefix) acknowledgedHosts(node string) []string {
	version := r.schedule.RecordedVersion(node)
	at := slices.IndexFunc(r.exclusionSets, func(z sendlease.ExclusionSet) bool { return z.Version == version })
	if at < 0 {
		return nil
	}
	return r.exclusionSets[at].Hosts
}

// turnOf returns a host's turn that is not over; one without a name if there is none.
func (r *logPrefix) turnOf(host string) turns.Turn { return r.turns[slices.Index(hostNames[:], host)] }

// with returns the log with a command more, itself where the book refuses it or it changes nothing.
func (r *logPrefix) extended(key commandKey, c turns.Command) *logPrefix {
	if next, known := r.successors.Load(key); known {
		return next.(*logPrefix)
	}
	next := r
	if r.schedule.Check(c) == nil {
		b, index := r.schedule.Clone(), r.index
		if r.pool.atomicCalls && (c.Ack != nil || c.Grant != nil || c.Begin != nil || c.Request != nil || c.Dead != nil || c.Alive != nil) {
			b.Apply(index, c) // no answer tells of it, and the book keeps no index of it
		} else {
			index++
			b.Apply(index, c)
		}
		if sumOf(encoded(b), r.index) != r.sum {
			next = r.pool.prefix(b, index)
		}
	}
	r.successors.Store(key, next)
	return next
}

// Seat is a seat of the council.
type Replica struct {
	BelievesLeader bool // that it leads
	Table          *sendlease.Table
	View           *logPrefix          // what it has applied; nil: all
	LastAcks       [MaxNodes]turns.Ack // by a planted bug: the last that it proposed
}

// Stage is how far a question has come.
type Stage uint8

// The stages of a call.
const (
	NoCall            Stage = iota
	RequestInTransit        // the question is on its way
	AtReplica               // a seat has it, and a quorum has confirmed that the seat leads
	ResponseInTransit       // the answer is on its way
)

// Call is a question and its answer.
type Call struct {
	Stage         Stage
	Replica       uint8         // where it is Held
	RequesterGone bool          // the process that asked is no more
	SentAt        time.Duration // when it was asked, by the node's clock; not told apart by Encode, which has it from the holder
	Request       sendlease.LeaseRequest
	Response      sendlease.LeaseResponse
}

// Node is a node: its control, its store and its loop. What pointers lead to is never changed.
type Node struct {
	SlowClock              bool // its clock
	WasAnswered            bool // it was answered since its store is there
	Holder                 *sendlease.Holder
	Stored                 *sendlease.Saved
	Writing                *sendlease.Saved        // on its way into the store; nil: nothing
	OldCopy                *sendlease.Saved        // what stood in the store before, for the bug that puts it back
	LoopRestrictions       *sendlease.Restrictions // that the loop goes by
	QueuedRestrictions     *sendlease.Restrictions // for the loop; nil: none
	UnreportedRestrictions *sendlease.Restrictions // that the loop has taken, not heard of by control; nil: none
	Calls                  [maxCalls]Call          // by their numbers; the first free ones last
	LinkCut                bool                    // it calls nobody
	responseApplied        uint64                  // up to where the last answer of a call that is one step told, which the holder knows too
	responseRecorded       uint64                  // and what it said of the node's horizon
	Exempt                 bool                    // it was declared dead, and was not answered since it was taken in: it may send anywhere
	BugLeaseEnd            time.Duration           // end of the right by a planted bug
}

// State is a state of the world. It is a value: a step copies what it changes.
type State struct {
	Tick      int16
	Leader    uint8
	Remaining Budget
	Log       *logPrefix
	Replicas  [2]Replica
	Nodes     [MaxNodes]Node

	Banned        [MaxHosts]bool   // as an operator has said
	ExcludedSince [MaxHosts]uint64 // the log's index since which the host is out without a break; 0: it is not out
}

// seatNow is the time by the seats' clocks.
func (s *State) replicaNow() time.Duration { return time.Duration(s.Tick) * 3 * unit }

// now is the time by a node's clock.
func (s *State) nodeNow(n int) time.Duration {
	if s.Nodes[n].SlowClock {
		return time.Duration(s.Tick) * 2 * unit
	}
	return time.Duration(s.Tick) * 3 * unit
}

// view is what a seat has applied.
func (s *State) view(replica int) *logPrefix {
	if v := s.Replicas[replica].View; v != nil {
		return v
	}
	return s.Log
}

// Encode implements model.Model. The moment itself is left out: only how far others are from it matters. Nodes are put in
// the order of their bytes where they are alike: no property tells one from another, and no part of the real code does, but
// for the order in which lists name them.
func (m *Model) Encode(to []byte, s State) []byte {
	remaining := &s.Remaining
	to = append(to, s.Leader, remaining.TurnRequests, remaining.Withdrawals, remaining.Failures, remaining.LeaderChanges, remaining.Restarts, remaining.StoreLosses, remaining.DuplicateRequests, remaining.LostProposals, remaining.Revocations, remaining.Bans,
		remaining.DeathDeclarations, remaining.LinkCuts, bits(s.Banned[:]...))
	to = append(to, s.Log.sharedSum[:]...)
	for _, since := range s.ExcludedSince[:m.Hosts] {
		to = binary.AppendUvarint(to, since)
	}
	for i := range s.Replicas {
		replica := &s.Replicas[i]
		to = append(to, bits(replica.BelievesLeader, replica.View != nil))
		if replica.BelievesLeader && replica.View != nil {
			to = append(to, replica.View.sharedSum[:]...)
		}
	}
	if !m.SymmetricNodes {
		for i := range m.Nodes {
			to = m.appendNode(to, &s, i)
		}
		return to
	}
	var parts [MaxNodes][]byte
	at := len(to)
	for i := range m.Nodes {
		from := len(to)
		to = m.appendNode(to, &s, i)
		parts[i] = slices.Clone(to[from:])
	}
	slices.SortFunc(parts[:m.Nodes], bytes.Compare)
	to = to[:at]
	for _, part := range parts[:m.Nodes] {
		to = append(to, part...)
	}
	return to
}

// appendNode appends a node, and what the log and the seats know of it.
func (m *Model) appendNode(to []byte, s *State, i int) []byte {
	to = append(to, s.Log.nodeAcks[i]...)
	for k := range s.Replicas {
		replica := &s.Replicas[k]
		if !replica.BelievesLeader {
			continue
		}
		if replica.View != nil {
			to = append(to, replica.View.nodeAcks[i]...)
		}
		to = replica.Table.Append(to, s.replicaNow(), nodeNames[i:i+1])
		to = binary.AppendUvarint(binary.AppendUvarint(to, replica.LastAcks[i].Incarnation), replica.LastAcks[i].Version)
	}
	return s.appendNode(to, i)
}

func (s *State) appendNode(to []byte, i int) []byte {
	n, now := &s.Nodes[i], s.nodeNow(i)
	to = append(to, bits(n.SlowClock, n.WasAnswered, n.Writing != nil, n.QueuedRestrictions != nil, n.UnreportedRestrictions != nil, n.OldCopy != nil, n.LinkCut, n.Exempt))
	var inTransit [maxCalls]uint64
	count := 0
	for _, c := range n.Calls {
		to = append(to, byte(c.Stage))
		if c.Stage == NoCall {
			continue
		}
		to = append(to, c.Replica, bits(c.RequesterGone))
		switch c.Stage {
		case RequestInTransit:
			to = c.Request.Append(to)
		case AtReplica: // only its number and whose it is matters from here
		case ResponseInTransit:
			to = c.Response.Append(to)
		}
		if !c.RequesterGone {
			inTransit[count] = c.Request.Seq
			count++
		}
	}
	to = n.Holder.Append(to, now, inTransit[:count])
	to = binary.AppendUvarint(to, uint64(max(0, n.BugLeaseEnd-now)))
	to = n.LoopRestrictions.Append(to, now)
	for _, v := range []*sendlease.Restrictions{n.QueuedRestrictions, n.UnreportedRestrictions} {
		if v != nil {
			to = v.Append(to, now)
		}
	}
	for _, v := range []*sendlease.Saved{n.OldCopy} {
		if v != nil {
			h := sendlease.NewHolder(terms, "", *v)
			to = h.Append(to, 0, nil)
		}
	}
	return to
}

func bits(list ...bool) (b byte) {
	for i, set := range list {
		if set {
			b |= 1 << i
		}
	}
	return b
}
