// Package turnsmodel is a model of send leases and of turns (a turn is the permission to do maintenance on one host). It runs the
// real sendlease.Holder, sendlease.Table and turns.Schedule in a world of nodes that lose their links and restart, of traffic loops
// that lag behind, of messages that are lost, delayed and duplicated, and of a former leader that still believes it leads.
// rehearsal/model explores all reachable states.
//
// The log of the consensus group is assumed to be correct: committed commands have one order, and a leader confirmed by a quorum
// has applied all that was committed before. A proposal of a former leader is forwarded, and committed.
//
// Time advances in ticks. A tick is three units on the clock of a replica and of a node, and two units on the clock of a slow node;
// the difference is the drift. A send lease lasts five units: two ticks at a node, three at a slow one. The consensus group counts
// it as valid for three.
//
// There are two kinds of worlds. In worlds with one node, a call, the write to the store, the traffic loop and its report to the
// control code are separate steps. In worlds with several nodes (AtomicCalls), a call is one step. The reductions, and why none of
// them hides a violation:
//
//   - One node represents all. T2, R1 to R4 and the second T6 are properties of each node by itself, and nodes affect each other
//     only through the log: they make the leader prepare, grant and revoke earlier or later. In "other-nodes" the leader
//     (UnrestrictedLeader) prepares and revokes whatever the schedule accepts, in any order, and waits for no other node. That
//     covers more than any number of other nodes can cause. T1 is a property of the log alone, and so is the first T6.
//   - SymmetricNodes. Nodes are sorted by their encoding: the real code only compares names for equality, and no property names
//     a node. Worlds that check liveness keep the nodes distinct, since fairness applies to each of them.
//   - AtomicCalls. A call in one step omits the states between its parts. Only the node itself can observe those: the consensus group only
//     learns what is stored and in effect in the loop, so that for all others a response that is stored or applied late is a
//     response that arrived later. The effects on the node itself are covered by the worlds with one node, as are calls that are
//     lost halfway and calls to a former leader that believes it leads. A cut link is a run in which a node makes no call.
//   - CurrentNodes call whenever there is something new, so that they never block a turn. This omits runs in which such a node is
//     late. Its own violations are found in the worlds with one node, and those of the other node in "two-nodes", in which both
//     may be late.
//   - AtomicCalls also leaves the index of the log unchanged for an acknowledgement, a grant and similar commands. The index only
//     distinguishes responses and rounds. The schedule keeps only the IDs of finished turns, and no ID is requested twice.
//   - OperatorsWait omits interleavings: operators act only when the leader has nothing to propose.
//   - Budgets limit the search and are no sound reduction: faults that need a second ban or a third revocation are not found.
//   - The time that a turn must wait before another is revoked for it is not modelled: a replica may revoke a blocked turn at any
//     time. Turns do not age; the order by age is covered by the tests of package turns (T4).
//
// Liveness properties hold under weak fairness of each node's calls while its link is up, of the leader's proposals, of work that
// ends, and of time. A turn can be granted if no other host is banned or failed, and if every node whose link is cut has the host
// in its recorded exclusion set or is declared dead.
//
// A node that is declared dead is the one exception to T2 and R1: it may send anywhere until its first response after it is
// readmitted.
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
	maxCalls = 2 // requests and responses of one node in transit, at most
)

const unit = time.Second

var (
	terms     = sendlease.Terms{Duration: 5 * unit, Drift: 0.5}
	nodeNames = [MaxNodes]string{"n1", "n2", "n3"}
	hostNames = [MaxHosts]string{"a", "b", "c"}
)

// Budget limits how often each kind of event may occur in one run.
type Budget struct {
	TurnRequests      uint8 // besides those at the start
	Withdrawals       uint8
	Failures          uint8 // of a host, which cause turns to be revoked
	LeaderChanges     uint8 // 0 or 1
	Restarts          uint8 // of nodes, with their stores
	StoreLosses       uint8 // of nodes
	DuplicateRequests uint8
	LostProposals     uint8 // acknowledgements that a replica proposes and that are lost
	Revocations       uint8 // by an unrestricted leader
	Bans              uint8 // of hosts, by an operator; lifting a ban costs nothing
	DeathDeclarations uint8 // of nodes; readmitting a node costs nothing
	LinkCuts          uint8 // of nodes, distinguished from lost calls for liveness only; restoring a link costs nothing
}

// logPrefix is the log of the consensus group up to an index. Equal prefixes are shared, and derived values are cached.
type logPrefix struct {
	pool          *pool
	schedule      *turns.Schedule
	index         uint64
	sum           sum              // of the schedule and the index
	sharedSum     sum              // the same without the data about single nodes
	nodeAcks      [MaxNodes][]byte // the data about each node
	excludedHosts []sendlease.ExcludedHost
	exclusionSets []sendlease.ExclusionSet
	turns         [MaxHosts]turns.Turn // unfinished, by host; the ID is empty if there is none
	nextCommand   *turns.Command       // that the schedule calls for; nil: none

	successors sync.Map // by commandKey: the prefix extended by that command
}

type sum [16]byte

// commandKey identifies a command among those of the model.
type commandKey struct {
	op          Op
	scheduleSum sum // of the schedule that the command follows from
	id          string
	a, b        uint64
}

// pool holds the log prefixes of a model.
type pool struct {
	atomicCalls bool // see Model.AtomicCalls
	mu          sync.Mutex
	all         map[sum]*logPrefix
}

func sumOf(raw []byte, index uint64) sum {
	all := sha256.Sum256(binary.AppendUvarint(raw, index))
	return sum(all[:len(sum{})])
}

// encoded returns the encoding of a schedule. Schedules of the model can always be encoded.
func encoded(schedule *turns.Schedule) []byte {
	raw, err := schedule.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

// splitEncoding removes from an encoded schedule the data about single nodes and the finished turns, which are never requested
// again. It also returns the exclusion sets in the encoding.
func splitEncoding(raw []byte) (rest []byte, exclusionSets []sendlease.ExclusionSet) {
	var parts map[string]json.RawMessage
	err := json.Unmarshal(raw, &parts)
	if list, found := parts["horizons"]; found && err == nil {
		err = json.Unmarshal(list, &exclusionSets)
	}
	for _, part := range [...]string{"acks", "dead", "over"} {
		delete(parts, part)
	}
	rest, marshalErr := json.Marshal(parts) // sorted by key
	if err := cmp.Or(err, marshalErr); err != nil {
		panic(err)
	}
	return rest, exclusionSets
}

// prefix returns the log prefix with a schedule. The schedule must not be changed afterwards.
func (p *pool) prefix(schedule *turns.Schedule, index uint64) *logPrefix {
	raw := encoded(schedule)
	s := sumOf(raw, index)
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.all[s]; r != nil {
		return r
	}
	rest, exclusionSets := splitEncoding(raw)
	r := &logPrefix{pool: p, schedule: schedule, index: index, sum: s, sharedSum: sumOf(rest, index),
		excludedHosts: schedule.ExcludedHosts(), exclusionSets: exclusionSets}
	for i, node := range nodeNames {
		a := schedule.Acked(node)
		r.nodeAcks[i] = binary.AppendUvarint(binary.AppendUvarint([]byte{bits(schedule.Dead(node))}, a.Incarnation), a.Version)
	}
	for _, t := range schedule.Turns() {
		if h := slices.Index(hostNames[:], t.Host); t.Phase != turns.Over {
			r.turns[h] = t
		}
	}
	if c, ok := schedule.Next(0); ok {
		r.nextCommand = &c
	}
	p.all[s] = r
	return r
}

// acknowledgedHosts returns the hosts of the exclusion set that is recorded for a node.
func (r *logPrefix) acknowledgedHosts(node string) []string {
	version := r.schedule.RecordedVersion(node)
	at := slices.IndexFunc(r.exclusionSets, func(z sendlease.ExclusionSet) bool { return z.Version == version })
	if at < 0 {
		return nil
	}
	return r.exclusionSets[at].Hosts
}

// turnOf returns the unfinished turn of a host; its ID is empty if there is none.
func (r *logPrefix) turnOf(host string) turns.Turn { return r.turns[slices.Index(hostNames[:], host)] }

// extended returns the log with one more command, or r if the schedule rejects the command or does not change.
func (r *logPrefix) extended(key commandKey, c turns.Command) *logPrefix {
	if next, known := r.successors.Load(key); known {
		return next.(*logPrefix)
	}
	next := r
	if r.schedule.Check(c) == nil {
		schedule, index := r.schedule.Clone(), r.index
		if r.pool.atomicCalls && (c.Ack != nil || c.Grant != nil || c.Begin != nil || c.Request != nil || c.Dead != nil || c.Alive != nil) {
			schedule.Apply(index, c) // no response contains it, and the schedule does not keep its index
		} else {
			index++
			schedule.Apply(index, c)
		}
		if sumOf(encoded(schedule), r.index) != r.sum {
			next = r.pool.prefix(schedule, index)
		}
	}
	r.successors.Store(key, next)
	return next
}

// Replica is a voting member of the consensus group.
type Replica struct {
	BelievesLeader bool
	Table          *sendlease.Table
	View           *logPrefix          // what it has applied; nil: the whole log
	LastAcks       [MaxNodes]turns.Ack // for the bug acksOnce: the last acknowledgement proposed for each node
}

// Stage is the progress of a call.
type Stage uint8

// The stages of a call.
const (
	NoCall            Stage = iota
	RequestInTransit        // the request is in transit
	AtReplica               // a replica has the request, and a quorum has confirmed that this replica leads
	ResponseInTransit       // the response is in transit
)

// Call is a lease request and its response.
type Call struct {
	Stage         Stage
	Replica       uint8         // that has the request, in stage AtReplica
	RequesterGone bool          // the process that sent the request has ended
	SentAt        time.Duration // by the node's clock; Encode leaves it out, since the holder's encoding contains it
	Request       sendlease.LeaseRequest
	Response      sendlease.LeaseResponse
}

// Node is a node: its control code, its store and its traffic loop. Values behind pointers are never changed.
type Node struct {
	SlowClock              bool
	WasAnswered            bool // a response has been saved since its store was created
	Holder                 *sendlease.Holder
	Stored                 *sendlease.Saved
	Writing                *sendlease.Saved        // being written to the store; nil: nothing
	OldCopy                *sendlease.Saved        // the previous content of the store, for the bug that restores it
	LoopRestrictions       *sendlease.Restrictions // that the loop applies
	QueuedRestrictions     *sendlease.Restrictions // on the way to the loop; nil: none
	UnreportedRestrictions *sendlease.Restrictions // applied by the loop, but not yet reported to the control code; nil: none
	Calls                  [maxCalls]Call          // in the order of addition; free slots come last
	LinkCut                bool                    // the node makes no calls
	responseApplied        uint64                  // log index in the last response to an atomic call; the holder has it too
	responseRecorded       uint64                  // version of the exclusion set that this response gives as recorded for the node
	Exempt                 bool                    // declared dead, and no response since it was readmitted: the node may send anywhere
	BugLeaseEnd            time.Duration           // end of the lease under an injected bug
}

// State is a state of the world. It is a value: a step copies what it changes.
type State struct {
	Tick      int16
	Leader    uint8
	Remaining Budget
	Log       *logPrefix
	Replicas  [2]Replica
	Nodes     [MaxNodes]Node

	Banned        [MaxHosts]bool   // by an operator
	ExcludedSince [MaxHosts]uint64 // log index since which the host has been excluded without interruption; 0: it is not excluded
}

// replicaNow returns the time on the clocks of the replicas.
func (s *State) replicaNow() time.Duration { return time.Duration(s.Tick) * 3 * unit }

// nodeNow returns the time on the clock of a node.
func (s *State) nodeNow(n int) time.Duration {
	if s.Nodes[n].SlowClock {
		return time.Duration(s.Tick) * 2 * unit
	}
	return time.Duration(s.Tick) * 3 * unit
}

// view returns the log that a replica has applied.
func (s *State) view(replica int) *logPrefix {
	if v := s.Replicas[replica].View; v != nil {
		return v
	}
	return s.Log
}

// Encode implements model.Model. It leaves out the absolute time: only differences to it matter. Symmetric nodes are sorted by
// their encodings: no property distinguishes them, and neither does the real code, except for their order in lists.
func (m *Model) Encode(to []byte, s State) []byte {
	remaining := &s.Remaining
	to = append(to, s.Leader, remaining.TurnRequests, remaining.Withdrawals, remaining.Failures, remaining.LeaderChanges,
		remaining.Restarts, remaining.StoreLosses, remaining.DuplicateRequests, remaining.LostProposals, remaining.Revocations,
		remaining.Bans, remaining.DeathDeclarations, remaining.LinkCuts, bits(s.Banned[:]...))
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

// appendNode appends a node, and what the log and the replicas know of it.
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
	to = append(to, bits(n.SlowClock, n.WasAnswered, n.Writing != nil, n.QueuedRestrictions != nil,
		n.UnreportedRestrictions != nil, n.OldCopy != nil, n.LinkCut, n.Exempt))
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
		case AtReplica: // from here on, only the sequence number and the node matter
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
