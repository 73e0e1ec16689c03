package control

import (
	"fmt"
	"slices"
	"time"

	"lichenhitch/internal/consensus"
	"lichenhitch/internal/peer/peerpb"
)

// This file creates a node's replica, and exchanges hellos: what the replicas report of themselves.
//
// A consensus group is bootstrapped once, by the first of the replicas that the site file names: when all others have
// reported that they belong to no group, with the incarnations of their stores. The others join it as soon as a hello
// lists them among its voters. A replica whose store is new and that is not listed belongs to no group: an operator
// has to add it, and until then it neither votes nor counts.

// helloIntervalTicks is the time between two hellos, in ticks, of a replica that is unconfirmed or does not know all
// others.
const helloIntervalTicks = 3

// peerReplica is what is known of another replica.
type peerReplica struct {
	id           consensus.ReplicaID
	incarnation  uint64
	bootstrapped bool
	voters       []consensus.ReplicaID

	heardAt             uint64   // when its latest hello came, in ticks
	siteVoters          []string // nodes with a replica per its site file, sorted
	bootstrapIDs        []uint64 // of its group; see membership.BootstrapIDs
	lastTerm, lastIndex uint64   // of its log
	committed           uint64   // commit index that it knew
}

// openReplica creates this node's replica from its store, if that holds a log. It does so even if the site file does
// not name the node as a voter any more, since the group may still count it. A replica that was removed meanwhile
// learns so from the others' hellos.
func (c *Core) openReplica() error {
	c.preloadMembership()
	stored := c.StoredState.Snapshot.GetMetadata().GetIndex() > 0 || len(c.StoredState.Entries) > 0
	if !c.Site.IsVoter && !stored {
		return nil
	}
	c.replicaID = consensus.ReplicaIDOf(c.Site.Own.Name+"/"+c.Site.Node, c.StoreIncarnation)
	if !stored && c.StoredState.Refused == "" {
		return nil
	}
	return c.createReplica(nil)
}

// createReplica creates the replica: as one of the initial voters of a new group, or, without them, from its store.
func (c *Core) createReplica(initialVoters []consensus.ReplicaID) (err error) {
	c.replica, err = consensus.New(consensus.Options{Self: c.replicaID, InitialVoters: initialVoters, OpenCount: c.OpenCount,
		RunID: c.RunID, StoreVerified: c.StoreVerified,
		SnapshotEvery: c.Site.SnapshotEvery}, c.StoredState)
	return err
}

// bootstrap creates the replica of a node with an empty store once enough is known of the others: it joins a new
// group that lists it as a voter, waits to be added if there is a group without it, or starts the group if all voters
// of the site file have reported that they belong to none and this node is the first of them.
func (c *Core) bootstrap() {
	if c.replica != nil || c.removedWhileAway || !c.Site.IsVoter {
		return
	}
	ids, allUnbootstrapped, hasOtherGroup := []consensus.ReplicaID{c.replicaID}, true, false
	for _, name := range c.Site.Voters {
		other := c.peers[name]
		switch {
		case name == c.Site.Node:
		case other == nil:
			allUnbootstrapped = false
		case other.bootstrapped && slices.Contains(other.voters, c.replicaID):
			c.startNewGroup(other.voters)
			return
		case other.bootstrapped:
			allUnbootstrapped, hasOtherGroup = false, hasOtherGroup || len(other.voters) > 0
		default:
			ids = append(ids, other.id)
		}
	}
	if hasOtherGroup { // it accepts a leader's messages once it is added
		if err := c.createReplica(nil); err != nil {
			c.fail(err)
			return
		}
		c.env.Log("the council does not know this store and has to take it in", "seat", c.Site.Node,
			"action", "nothing if it is a new seat of the site file; if it had one before, make sure that its old store is not used any more, "+
				"then POST /lichenhitch.peer.Desk/TakeIn")
		return
	}
	if allUnbootstrapped && c.Site.Voters[0] == c.Site.Node {
		slices.Sort(ids)
		c.startNewGroup(ids)
	}
}

func (c *Core) startNewGroup(voters []consensus.ReplicaID) {
	if err := c.createReplica(voters); err != nil {
		c.fail(err)
		return
	}
	c.env.Log("joined a new consensus group", "site", c.Site.Own.Name, "seats", len(voters))
}

// hello returns what this replica reports of itself to another one.
func (c *Core) hello(to string) *peerpb.Hello {
	h := &peerpb.Hello{Node: c.Site.Node, Life: c.StoreIncarnation, Seats: c.Site.Voters}
	if c.replica == nil {
		return h
	}
	h.Founded, h.Foundings = true, c.membership.BootstrapIDs
	var id consensus.ReplicaID
	if peer := c.peers[to]; peer != nil {
		id = peer.id
	}
	report := c.replica.SelfReport(id)
	h.Claim = &peerpb.Claim{Seat: uint64(report.Replica), Boot: report.OpenCount, Run: report.RunID,
		Sent: report.Sequence, Echo: report.Echo, EchoRun: report.EchoRunID,
		Term: report.Term, Vote: uint64(report.Vote), LastTerm: report.LastTerm, Last: report.LastIndex,
		Commit: report.Commit, Leader: uint64(report.Leader),
		Waiting: report.Unconfirmed}
	for _, s := range report.Voters {
		h.Claim.Seats = append(h.Claim.Seats, uint64(s))
	}
	if relayed := report.Relayed; relayed.Replica != 0 {
		h.Claim.Of = &peerpb.Remembered{Seat: uint64(relayed.Replica), Boot: relayed.OpenCount, Run: relayed.RunID,
			Term: relayed.Term, Vote: uint64(relayed.Vote), Acked: relayed.Acked,
			Committed: relayed.Committed}
	}
	return h
}

// handleHello handles what another replica reports of itself. After an error nothing else of the same message may be
// used.
func (c *Core) handleHello(h *peerpb.Hello) error {
	if h == nil || h.Node == c.Site.Node {
		return &NoReplicaError{Node: h.GetNode()}
	}
	other := &peerReplica{id: consensus.ReplicaIDOf(c.Site.Own.Name+"/"+h.Node, h.Life), incarnation: h.Life,
		bootstrapped: h.Founded, heardAt: c.ticks, siteVoters: h.Seats, bootstrapIDs: h.Foundings,
		lastTerm: h.GetClaim().GetLastTerm(), lastIndex: h.GetClaim().GetLast(), committed: h.GetClaim().GetCommit()}
	for _, s := range h.GetClaim().GetSeats() {
		other.voters = append(other.voters, consensus.ReplicaID(s))
	}
	if !slices.Contains(c.contacts, h.Node) && !c.isUnlistedReplica(h.Node, other) {
		return &NoReplicaError{Node: h.Node}
	}
	if err := c.checkLineage(h); err != nil {
		return err
	}
	if claim := h.Claim; h.Founded && claim != nil {
		if other.id != consensus.ReplicaID(claim.Seat) {
			return &NoReplicaError{Node: h.Node}
		}
		report := consensus.SelfReport{Replica: other.id, OpenCount: claim.Boot, RunID: claim.Run, Sequence: claim.Sent,
			Echo: claim.Echo, EchoRunID: claim.EchoRun,
			Term: claim.Term, Vote: consensus.ReplicaID(claim.Vote), LastTerm: claim.LastTerm, LastIndex: claim.Last, Commit: claim.Commit,
			Leader: consensus.ReplicaID(claim.Leader), Unconfirmed: claim.Waiting, Voters: other.voters}
		if relayed := claim.Of; relayed != nil {
			report.Relayed = consensus.PeerRecord{Replica: consensus.ReplicaID(relayed.Seat), OpenCount: relayed.Boot,
				RunID: relayed.Run, Term: relayed.Term,
				Vote: consensus.ReplicaID(relayed.Vote), Acked: relayed.Acked, Committed: relayed.Committed}
		}
		if c.replica != nil {
			if err := c.handleSelfReport(h.Node, report); err != nil {
				return err
			}
			c.noteReportedRemoval(report)
		}
	}
	c.peers[h.Node] = other
	c.updateContacts()
	c.bootstrap()
	return nil
}

// handleSelfReport passes the self-report of another replica to this one. For a process that was not heard from
// before it logs how far its store is, and how far this replica remembers it to have been: a store with less is
// refused.
func (c *Core) handleSelfReport(node string, report consensus.SelfReport) error {
	previous := c.replica.PeerRecord(report.Replica)
	if err := c.replica.Observe(report); err != nil {
		return err
	}
	if previous.RunID != report.RunID {
		c.env.Log("hears a process of a seat for the first time", "seat", node, "boot", report.OpenCount, "term",
			report.Term, "last", report.LastIndex,
			"committed", report.Commit, "remembered", fmt.Sprintf("boot=%d term=%d acked=%d committed=%d",
				previous.OpenCount, previous.Term, previous.Acked, previous.Committed))
	}
	return nil
}

// isUnlistedReplica reports whether a node that neither the site file nor the committed names list as a replica is
// one nevertheless. Either this replica's group counts it; or this store is still empty, and a leader that is being
// removed may be the one to replicate the log to it; or it was added since (addedSince), and may be the only one that
// this replica can learn that from.
func (c *Core) isUnlistedReplica(node string, other *peerReplica) bool {
	if !other.bootstrapped || !slices.Contains(c.Site.Members, node) {
		return false
	}
	return c.replica == nil || !c.hasLog() || slices.Contains(c.replica.Status().Voters, other.id) || c.addedSince(other)
}

// addedSince reports whether another replica reports a group in which both vote, with a higher commit index than this
// replica's.
func (c *Core) addedSince(other *peerReplica) bool {
	return other.committed > c.replica.Status().Committed && slices.Contains(other.voters, other.id) && slices.Contains(other.voters, c.replicaID)
}

// sendHellos sends a hello to all other replicas while some of them are unknown, this replica is unconfirmed, or no
// leader is known: two replicas that learn so from each other need not wait for their timeouts. A leader sends them
// while a voter of its site file is missing, since a new replica may not know that this one leads. So does a replica
// that is behind the others: it does not stand for election, and if two processes run with its store, the leader's
// messages may all go to the other process.
func (c *Core) sendHellos() {
	if !c.hasReplica() || c.removedAt != 0 && !c.Site.IsVoter || c.ticks%helloIntervalTicks != 0 {
		return
	}
	c.bootstrap()
	if c.replica != nil {
		st := c.replica.Status()
		unknown := slices.ContainsFunc(st.Voters, func(id consensus.ReplicaID) bool {
			return id != c.replicaID && c.nodeOf(id) == ""
		})
		missing := c.leading && slices.ContainsFunc(c.Site.Voters, func(name string) bool {
			return !slices.ContainsFunc(st.Voters, func(id consensus.ReplicaID) bool { return c.replicaName(id) == name })
		})
		if !unknown && !missing && !st.Unconfirmed && !st.Behind && st.Leader != 0 && c.removedAt == 0 && slices.Contains(st.Voters, c.replicaID) {
			return
		}
	}
	for _, name := range c.contacts {
		if name != c.Site.Node {
			c.env.SendRaft(name, &peerpb.RaftRequest{Hello: c.hello(name)})
		}
	}
}

// nodeOf returns the node of a replica, or "" if it is not known yet.
func (c *Core) nodeOf(id consensus.ReplicaID) string {
	if id == c.replicaID && id != 0 {
		return c.Site.Node
	}
	for _, name := range c.contacts {
		if other := c.peers[name]; other != nil && other.id == id {
			return name
		}
	}
	return ""
}

// sendMessages sends messages to the replicas that they are for, in as many calls as needed. Messages for a replica
// that is not known yet are dropped, which raft tolerates.
func (c *Core) sendMessages(now time.Duration, messages []consensus.Message) {
	for _, name := range c.contacts {
		var batch [][]byte
		remaining := consensus.MaxCallBytes
		flush := func() {
			if len(batch) > 0 {
				c.env.SendRaft(name, &peerpb.RaftRequest{Hello: c.hello(name), Messages: batch})
			}
			batch, remaining = nil, consensus.MaxCallBytes
		}
		for _, m := range messages {
			if other := c.peers[name]; other == nil || other.id != m.To {
				continue
			}
			if len(m.Raw) > consensus.MaxCallBytes {
				c.chunksFor(name).sender.Enqueue(m.Raw)
				c.sendChunk(now, name)
				continue
			}
			if len(m.Raw) > remaining {
				flush()
			}
			batch = append(batch, m.Raw)
			remaining -= len(m.Raw)
		}
		flush()
	}
}

// chunkStreams holds the long messages that are sent to another replica in chunks, and received from it.
type chunkStreams struct {
	sender   *consensus.ChunkSender
	receiver consensus.ChunkReceiver
}

func (c *Core) chunksFor(name string) *chunkStreams {
	p := c.chunkTransfers[name]
	if p == nil {
		p = &chunkStreams{sender: consensus.NewChunkSender(c.RunID)}
		c.chunkTransfers[name] = p
	}
	return p
}

// sendChunk sends a replica the chunk that is due, if any, and gives up messages in either direction that have
// stopped making progress.
func (c *Core) sendChunk(now time.Duration, name string) {
	streams := c.chunksFor(name)
	streams.receiver.Expire(now)
	chunk, lost := streams.sender.Next(now)
	if lost > 0 {
		c.env.Log("a long message did not reach another replica, and is created again", "seat", name, "bytes", lost,
			"action", "if this is logged repeatedly, check the link to it: it must carry 256 KiB per second")
		if other := c.peers[name]; other != nil && c.replica != nil {
			c.replica.Unreachable(other.id)
		}
	}
	if chunk != nil {
		c.env.SendRaft(name, &peerpb.RaftRequest{Hello: c.hello(name), Piece: &peerpb.Piece{Run: chunk.RunID, Of: chunk.MessageID,
			Number: chunk.Index, Count: chunk.Count, Part: chunk.Data}})
	}
}

// receiveChunk returns the messages of a request. A chunk is added to its message, which is returned as well once it
// is complete; the reply gets the number of chunks received.
func (c *Core) receiveChunk(now time.Duration, q *peerpb.RaftRequest, r *peerpb.RaftReply) [][]byte {
	chunk := q.Piece
	if chunk == nil {
		return q.Messages
	}
	complete, ack := c.chunksFor(q.Hello.GetNode()).receiver.Receive(now, consensus.Chunk{RunID: chunk.Run,
		MessageID: chunk.Of, Index: chunk.Number, Count: chunk.Count, Data: chunk.Part})
	r.Has = &peerpb.Piece{Run: ack.RunID, Of: ack.MessageID, Number: ack.Received}
	if complete == nil {
		return q.Messages
	}
	return append(q.Messages, complete)
}

// handleChunkAck continues a message in chunks after another replica's reply.
func (c *Core) handleChunkAck(now time.Duration, r *peerpb.RaftReply) {
	name := r.GetHello().GetNode()
	other := c.peers[name]
	if ack := r.Has; ack != nil && other != nil && c.replica != nil {
		if c.chunksFor(name).sender.Ack(consensus.ChunkAck{RunID: ack.Run, MessageID: ack.Of, Received: ack.Number}) {
			c.replica.SnapshotProgress(other.id)
		}
		c.sendChunk(now, name)
	}
}
