package control

import (
	"fmt"
	"slices"
	"time"

	"lichenhitch/internal/consensus"
	"lichenhitch/internal/peer/peerpb"
)

// This file is how a node comes to its seat, and what the seats say of themselves.
//
// A council is founded once, by the first of the seats that the site file names: when all others have told it that they
// belong to none, with the lives of their stores. The others belong to it as soon as they hear that it counts them in. A
// seat whose store is new and that is not counted in belongs to no council: it is taken in by an operator's word, and
// neither votes nor counts until then.

// greetEvery is the pause between two greetings, in ticks, of a seat that waits for others or does not know them all.
const greetEvery = 3

// other is what is known of another seat.
type other struct {
	id      consensus.ReplicaID
	life    uint64
	founded bool
	seats   []consensus.ReplicaID

	at             uint64   // when it was heard last, in ticks
	names          []string // nodes with a seat by its site file, sorted
	foundings      []uint64 // of its council
	lastTerm, last uint64   // of its log
	committed      uint64   // that it knew to be agreed on
}

// sit takes this node's seat, as far as its store tells of one: also where the site file gives the node none any more, since the council
// may still count it. Others' words tell a seat that was taken out meanwhile.
func (c *Core) sit() error {
	c.foretold()
	stored := c.StoredState.Snapshot.GetMetadata().GetIndex() > 0 || len(c.StoredState.Entries) > 0
	if !c.Site.IsVoter && !stored {
		return nil
	}
	c.replicaID = consensus.ReplicaIDOf(c.Site.Own.Name+"/"+c.Site.Node, c.StoreIncarnation)
	if !stored && c.StoredState.Refused == "" {
		return nil
	}
	return c.take(nil)
}

// take makes the seat: founding a council with others, or with what the store has.
func (c *Core) take(founders []consensus.ReplicaID) (err error) {
	c.replica, err = consensus.New(consensus.Options{Self: c.replicaID, InitialVoters: founders, OpenCount: c.OpenCount, RunID: c.RunID, StoreVerified: c.StoreVerified,
		SnapshotEvery: c.Site.SnapshotEvery}, c.StoredState)
	return err
}

// found founds the council, or joins it, once enough is known of the others.
func (c *Core) found() {
	if c.replica != nil || c.gone || !c.Site.IsVoter {
		return
	}
	ids, all, stranger := []consensus.ReplicaID{c.replicaID}, true, false
	for _, name := range c.Site.Voters {
		o := c.peers[name]
		switch {
		case name == c.Site.Node:
		case o == nil:
			all = false
		case o.founded && slices.Contains(o.seats, c.replicaID):
			c.settle(o.seats)
			return
		case o.founded:
			all, stranger = false, stranger || len(o.seats) > 0
		default:
			ids = append(ids, o.id)
		}
	}
	if stranger { // it takes what a leader sends, once it is taken in
		if err := c.take(nil); err != nil {
			c.fail(err)
			return
		}
		c.env.Log("the council does not know this store and has to take it in", "seat", c.Site.Node,
			"action", "nothing if it is a new seat of the site file; if it had one before, make sure that its old store is not used any more, "+
				"then POST /lichenhitch.peer.Desk/TakeIn")
		return
	}
	if all && c.Site.Voters[0] == c.Site.Node {
		slices.Sort(ids)
		c.settle(ids)
	}
}

func (c *Core) settle(seats []consensus.ReplicaID) {
	if err := c.take(seats); err != nil {
		c.fail(err)
		return
	}
	c.env.Log("takes its seat in a new council", "site", c.Site.Own.Name, "seats", len(seats))
}

// hello is what this seat says of itself to another one.
func (c *Core) hello(to string) *peerpb.Hello {
	h := &peerpb.Hello{Node: c.Site.Node, Life: c.StoreIncarnation, Seats: c.Site.Voters}
	if c.replica == nil {
		return h
	}
	h.Founded, h.Foundings = true, c.seating.Foundings
	var id consensus.ReplicaID
	if o := c.peers[to]; o != nil {
		id = o.id
	}
	k := c.replica.SelfReport(id)
	h.Claim = &peerpb.Claim{Seat: uint64(k.Replica), Boot: k.OpenCount, Run: k.RunID, Sent: k.Sequence, Echo: k.Echo, EchoRun: k.EchoRunID,
		Term: k.Term, Vote: uint64(k.Vote), LastTerm: k.LastTerm, Last: k.LastIndex, Commit: k.Commit, Leader: uint64(k.Leader),
		Waiting: k.Unconfirmed}
	for _, s := range k.Voters {
		h.Claim.Seats = append(h.Claim.Seats, uint64(s))
	}
	if o := k.Relayed; o.Replica != 0 {
		h.Claim.Of = &peerpb.Remembered{Seat: uint64(o.Replica), Boot: o.OpenCount, Run: o.RunID, Term: o.Term, Vote: uint64(o.Vote), Acked: o.Acked,
			Committed: o.Committed}
	}
	return h
}

// hear takes in what another seat says of itself. After an error nothing else that came with it may be used.
func (c *Core) hear(h *peerpb.Hello) error {
	if h == nil || h.Node == c.Site.Node {
		return &NoReplicaError{Node: h.GetNode()}
	}
	o := &other{id: consensus.ReplicaIDOf(c.Site.Own.Name+"/"+h.Node, h.Life), life: h.Life, founded: h.Founded, at: c.ticks,
		names: h.Seats, foundings: h.Foundings, lastTerm: h.GetClaim().GetLastTerm(), last: h.GetClaim().GetLast(),
		committed: h.GetClaim().GetCommit()}
	for _, s := range h.GetClaim().GetSeats() {
		o.seats = append(o.seats, consensus.ReplicaID(s))
	}
	if !slices.Contains(c.circle, h.Node) && !c.counts(h.Node, o) {
		return &NoReplicaError{Node: h.Node}
	}
	if err := c.related(h); err != nil {
		return err
	}
	if k := h.Claim; h.Founded && k != nil {
		if o.id != consensus.ReplicaID(k.Seat) {
			return &NoReplicaError{Node: h.Node}
		}
		claim := consensus.SelfReport{Replica: o.id, OpenCount: k.Boot, RunID: k.Run, Sequence: k.Sent, Echo: k.Echo, EchoRunID: k.EchoRun,
			Term: k.Term, Vote: consensus.ReplicaID(k.Vote), LastTerm: k.LastTerm, LastIndex: k.Last, Commit: k.Commit,
			Leader: consensus.ReplicaID(k.Leader), Unconfirmed: k.Waiting, Voters: o.seats}
		if of := k.Of; of != nil {
			claim.Relayed = consensus.PeerRecord{Replica: consensus.ReplicaID(of.Seat), OpenCount: of.Boot, RunID: of.Run, Term: of.Term,
				Vote: consensus.ReplicaID(of.Vote), Acked: of.Acked, Committed: of.Committed}
		}
		if c.replica != nil {
			if err := c.hearClaim(h.Node, claim); err != nil {
				return err
			}
			c.heardOut(claim)
		}
	}
	c.peers[h.Node] = o
	c.known()
	c.found()
	return nil
}

// hearClaim takes in what another seat says of itself. Of a process that was not heard before the log tells how far its store is, and how far
// this seat remembers it to have been: one with less is refused.
func (c *Core) hearClaim(node string, claim consensus.SelfReport) error {
	was := c.replica.PeerRecord(claim.Replica)
	if err := c.replica.Observe(claim); err != nil {
		return err
	}
	if was.RunID != claim.RunID {
		c.env.Log("hears a process of a seat for the first time", "seat", node, "boot", claim.OpenCount, "term", claim.Term, "last", claim.LastIndex,
			"committed", claim.Commit, "remembered", fmt.Sprintf("boot=%d term=%d acked=%d committed=%d", was.OpenCount, was.Term, was.Acked, was.Committed))
	}
	return nil
}

// counts says whether a node that the site file gives no seat, and that no name in the log is known of, has one all the same: this
// store's council counts it, or this store has nothing yet, and one that is to go may lead and tell what was agreed on; or it was taken in
// since, and may be the only one that this seat can hear that from.
func (c *Core) counts(node string, o *other) bool {
	if !o.founded || !slices.Contains(c.Site.Members, node) {
		return false
	}
	return c.replica == nil || !c.hasLog() || slices.Contains(c.replica.Status().Voters, o.id) || c.takenInSince(o)
}

// takenInSince says whether another seat tells of a council in which both count, as agreed on further than this seat's log.
func (c *Core) takenInSince(o *other) bool {
	return o.committed > c.replica.Status().Committed && slices.Contains(o.seats, o.id) && slices.Contains(o.seats, c.replicaID)
}

// greet says hello to all other seats, while some of them are not known, this seat waits for their word or nobody leads: two
// that hear that of each other need not wait for their time to be up. A leader does while a seat of its file is missing: whoever comes may
// not know that it is one. So does one that is behind them: it does not stand for
// election, and if it runs twice the leader's messages may all go to the other process.
func (c *Core) greet() {
	if !c.sits() || c.out != 0 && !c.Site.IsVoter || c.ticks%greetEvery != 0 {
		return
	}
	c.found()
	if c.replica != nil {
		st := c.replica.Status()
		unknown := slices.ContainsFunc(st.Voters, func(id consensus.ReplicaID) bool {
			return id != c.replicaID && c.nameOf(id) == ""
		})
		missing := c.leading && slices.ContainsFunc(c.Site.Voters, func(name string) bool {
			return !slices.ContainsFunc(st.Voters, func(id consensus.ReplicaID) bool { return c.called(id) == name })
		})
		if !unknown && !missing && !st.Unconfirmed && !st.Behind && st.Leader != 0 && c.out == 0 && slices.Contains(st.Voters, c.replicaID) {
			return
		}
	}
	for _, name := range c.circle {
		if name != c.Site.Node {
			c.env.SendRaft(name, &peerpb.RaftRequest{Hello: c.hello(name)})
		}
	}
}

// nameOf returns the node of a seat, or "" where it is not known yet.
func (c *Core) nameOf(id consensus.ReplicaID) string {
	if id == c.replicaID && id != 0 {
		return c.Site.Node
	}
	for _, name := range c.circle {
		if o := c.peers[name]; o != nil && o.id == id {
			return name
		}
	}
	return ""
}

// send hands messages to the seats that they are for, as many in a call as it takes. Those for a seat that is not known yet are
// lost, as raft bears.
func (c *Core) send(now time.Duration, messages []consensus.Message) {
	for _, name := range c.circle {
		var raw [][]byte
		room := consensus.MaxCallBytes
		flush := func() {
			if len(raw) > 0 {
				c.env.SendRaft(name, &peerpb.RaftRequest{Hello: c.hello(name), Messages: raw})
			}
			raw, room = nil, consensus.MaxCallBytes
		}
		for _, m := range messages {
			if o := c.peers[name]; o == nil || o.id != m.To {
				continue
			}
			if len(m.Raw) > consensus.MaxCallBytes {
				c.partly(name).out.Enqueue(m.Raw)
				c.pieces(now, name)
				continue
			}
			if len(m.Raw) > room {
				flush()
			}
			raw = append(raw, m.Raw)
			room -= len(m.Raw)
		}
		flush()
	}
}

// partly is what goes in pieces to another seat, and comes from it.
type partly struct {
	out *consensus.ChunkSender
	in  consensus.ChunkReceiver
}

func (c *Core) partly(name string) *partly {
	p := c.chunkTransfers[name]
	if p == nil {
		p = &partly{out: consensus.NewChunkSender(c.RunID)}
		c.chunkTransfers[name] = p
	}
	return p
}

// pieces sends a seat the piece that is due, if any, and forgets what it began to send and did not go on with.
func (c *Core) pieces(now time.Duration, name string) {
	p := c.partly(name)
	p.in.Expire(now)
	piece, lost := p.out.Next(now)
	if lost > 0 {
		c.env.Log("a long message did not reach another seat, and is made anew", "seat", name, "bytes", lost,
			"action", "look at the link to it if this is told again and again: it has to carry 256 KiB in a second")
		if o := c.peers[name]; o != nil && c.replica != nil {
			c.replica.Unreachable(o.id)
		}
	}
	if piece != nil {
		c.env.SendRaft(name, &peerpb.RaftRequest{Hello: c.hello(name), Piece: &peerpb.Piece{Run: piece.RunID, Of: piece.MessageID,
			Number: piece.Index, Count: piece.Count, Part: piece.Data}})
	}
}

// joined takes a piece in, says in the answer how many there are, and returns the message once it is whole.
func (c *Core) joined(now time.Duration, q *peerpb.RaftRequest, r *peerpb.RaftReply) [][]byte {
	p := q.Piece
	if p == nil {
		return q.Messages
	}
	whole, has := c.partly(q.Hello.GetNode()).in.Receive(now, consensus.Chunk{RunID: p.Run, MessageID: p.Of, Index: p.Number, Count: p.Count, Data: p.Part})
	r.Has = &peerpb.Piece{Run: has.RunID, Of: has.MessageID, Number: has.Received}
	if whole == nil {
		return q.Messages
	}
	return append(q.Messages, whole)
}

// had goes on with a message in pieces after another seat's answer.
func (c *Core) had(now time.Duration, r *peerpb.RaftReply) {
	name := r.GetHello().GetNode()
	o := c.peers[name]
	if h := r.Has; h != nil && o != nil && c.replica != nil {
		if c.partly(name).out.Ack(consensus.ChunkAck{RunID: h.Run, MessageID: h.Of, Received: h.Number}) {
			c.replica.SnapshotProgress(o.id)
		}
		c.pieces(now, name)
	}
}
