// Package control settles the affairs of a site beside the traffic: who may send, which hosts are out for work. Core is
// the machine of one node, without I/O: what comes is handed in with the node's time, and what it does goes through Env.
// Thread runs it in the process, on a thread of its own; rehearsals run the same Core in virtual time.
//
// The node's time counts on the monotonic clock from the system's time at the start, so that it serves for leases and,
// among the council's seats, as the time stamped on commands.
package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lichenhitch/internal/choice/hostview"
	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/consensus"
	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site"
)

// Env is what a Core acts through. Its methods return at once, but for Save and Keep, which return when what they were
// given is durable; their errors stop the control of this node, never its traffic.
type Env interface {
	Save(consensus.WriteBatch) error
	Keep(sendlease.Saved) error
	Refused(why string) error                      // the store is to remember that its seat takes no part any more
	SendRaft(seat string, q *peerpb.RaftRequest)   // answered by Core.RaftReplied, or never
	SendRenew(seat string, q *peerpb.RenewRequest) // answered by Core.Renewed, or never
	// SendReplay is answered by Core.Replayed; what is not answered within a time is given up.
	SendReplay(seat string, call uint64, within time.Duration, q *peerpb.ReplayRequest)
	KeepPolicy(PolicyState) error   // durable as Keep is
	Bind(sendlease.Restrictions)    // for the loop
	GoBy(Policy)                    // for the loop
	Tell(event string, args ...any) // for the log: key and value by turns
}

// Call is an operator's call, or that of whoever does work on hosts: a command about one turn or one node.
type Call struct {
	Command turns.Command
	ID      string // of the turn that the reply tells of
}

// Reply is what became of a call.
type Reply struct {
	Turn    turns.Turn
	Effects []sitesync.Effect // of a write
}

// Report is what the loop last told, whole.
type Report struct {
	Taken   sendlease.Restrictions   // that the loop goes by
	Clear   []sendlease.ExcludedHost // hosts that nothing new of this node goes to
	Look    *hostview.Observation    // at the hosts; nil: it has not looked anew
	Under   rollout.Hash             // the policy that the loop goes by; "": the settings as they are
	Asked   rollout.Hash             // the one that GoBy asked for last, whether or not it fitted
	Retuned uint64                   // how often the settings as read have changed since the start
	Counted []PolicyCounts           // since the last report that was taken, by policy, the present one last
}

// Options is what a Core is made of.
type Options struct {
	Site    *site.Site
	Life    uint64                // of the store, for its seat; see council/store
	Boot    uint64                // the how manieth opening of the store this is
	Run     uint64                // of this process, drawn at random
	Proven  bool                  // the store is known to be as the last process left it
	Durable consensus.StoredState // what the store had of the council's log
	Saved   sendlease.Saved       // and of the node's right
	Kept    PolicyState           // and of policies
	Check   func(Policy) error    // whether one fits the node's settings; see Traffic
	Wait    time.Duration         // before the first question: an earlier process of the node may act on its right for so long
}

const (
	// proposeWithin is how long a proposal of the leader's own may be under way before another one is made.
	proposeWithin = 2 * time.Second
	// callWithin is how long a call waits until what it asked for is agreed on.
	callWithin = 4 * time.Second
	// renewals is how many times a node asks for its right within the time that one lasts.
	renewals = 4
	// stuckAfter is how long a turn may wait for a node that is cut off, in times that a right lasts, before it is called
	// back for one that can go.
	stuckAfter = 2
)

// entry is what stands in the council's log.
type entry struct {
	By    uint64         `json:"by"`  // the run that proposed it
	Seq   uint64         `json:"seq"` // counts there
	Turns *turns.Command `json:"turns,omitempty"`

	Writes   *writeEntry      `json:"writes,omitempty"`
	Policies *rollout.Command `json:"policies,omitempty"` // at the top site
	Seats    *membershipEntry `json:"seats,omitempty"`
}

// question is a node's question that waits for a quorum's word.
type question struct {
	ask  *peerpb.RenewRequest
	done func(*peerpb.RenewReply)
}

// waiter is a call that waits for its entry.
type waiter struct {
	id    string
	until time.Duration
	again bool // called once more it has no second effect: it does not wait for a leader that has gone
	done  func(Reply, error)
}

// Core is the control of one node. It is for one thread.
type Core struct {
	Options
	env    Env
	self   consensus.ReplicaID
	seat   *consensus.Replica      // nil where this node has no seat, or belongs to no council yet
	others map[string]*peerReplica // the other seats, by node
	parts  map[string]*chunkStreams
	ticks  uint64
	holder *sendlease.Holder
	table  *sendlease.Table
	book   *turns.Schedule
	membershipState
	report Report
	stop   error // why control has stopped; nil while it works

	writes    *sitesync.Site                    // nil until the site's place is agreed on
	courier   *sitesync.Forwarder               // of a leader with sites above
	teller    *sitesync.CreditScheduler         // of a leader
	callers   map[sitesync.SiteIncarnation]bool // that have called this leader
	taking    map[string]int                    // calls whose writes are being agreed on, by site
	calling   string                            // the site above that a call is out to
	calls     uint64
	callUntil time.Duration
	calledAt  time.Duration
	upAt      map[string]int // which seat of a site above is called
	offerAt   time.Duration
	agedAt    time.Duration

	policies policyControl

	leader    string // who leads, as far as is known
	leading   bool
	applied   uint64
	elected   consensus.ReplicaID      // who leads as far as this node's seat knows; 0: nobody
	firstAt   time.Duration            // no question before
	askAt     time.Duration            // when to ask for the right again
	asked     []string                 // seats that were, since the last time
	said      sendlease.LeaseRequest   // the last one
	tries     int                      // renewals since the last answer
	inflight  map[uint64]time.Duration // proposals of the leader's own: since when
	acking    map[string]turns.Ack     // the last that was proposed, by node
	asking    []question               // that no read was begun for
	reads     map[uint64][]question
	confirmed []consensus.ReadState // by a quorum, and not applied up to yet
	readSeq   uint64
	seq       uint64
	waiters   map[uint64]waiter
	hosts     sight
	stamp     time.Duration // the last one on a command
	left      func()        // to be called when this node leads no more: it is about to end; nil: it is not, or was called
	refused   string        // what another seat refused this one for last
	waits     bool          // this seat waited for other seats' word at the last look
	reach     reachability
}

// New returns the control of a node at a time. The loop is bound at once: by what the store had, with no right yet.
func New(now time.Duration, o Options, env Env) (*Core, error) {
	c := &Core{Options: o, env: env, holder: sendlease.NewHolder(o.Site.SendLease, o.Site.Node, o.Saved),
		table: sendlease.NewTable(o.Site.SendLease), book: turns.New(), inflight: map[uint64]time.Duration{},
		acking: map[string]turns.Ack{}, reads: map[uint64][]question{}, waiters: map[uint64]waiter{},
		hosts: newSight(now), others: map[string]*peerReplica{}, parts: map[string]*chunkStreams{}, firstAt: now + o.Wait, askAt: now + o.Wait,
		reach: newReachability(0)}
	if err := c.openReplica(); err != nil {
		return nil, err
	}
	if err := c.initPolicies(now); err != nil {
		return nil, err
	}
	env.Bind(c.holder.Restrictions())
	if c.seat != nil {
		switch st := c.seat.Status(); {
		case st.Err != nil:
			c.fail(st.Err)
		case st.Unconfirmed:
			c.waits = true
			env.Tell("the seat waits for other seats' word that its store is not an older one", "wanted", len(st.Voters)-len(st.Voters)/2,
				"action", "if others are down, start them: until so many have answered it takes no part")
		}
	}
	return c, nil
}

// Stopped returns why the control of this node has stopped, or nil. The traffic goes on; the right runs out.
func (c *Core) Stopped() error { return c.stop }

// Book returns the book as it is applied here, which only a seat has.
func (c *Core) Book() *turns.Schedule { return c.book }

// Leader returns who leads the council, as far as this node knows.
func (c *Core) Leader() string { return c.leader }

// Leading says whether this node leads.
func (c *Core) Leading() bool { return c.leading }

// Applied returns up to where this seat has applied the log.
func (c *Core) Applied() uint64 { return c.applied }

// Tick is called every Site.Tick.
func (c *Core) Tick(now time.Duration) {
	if c.stop != nil {
		return
	}
	c.ticks++
	if c.seat != nil && c.removedAt == 0 {
		c.seat.Tick()
	}
	c.sendHellos()
	for _, name := range c.contacts {
		if c.parts[name] != nil {
			c.sendChunk(now, name)
		}
	}
	c.drive(now)
	c.logReachability()
	c.unsettled(func(w waiter) bool { return now >= w.until })
	c.tickPolicies(now)
	if c.stop == nil && now >= c.askAt {
		c.renew(now)
	}
	c.drive(now)
}

// Raft takes messages of another seat, and returns what this one says of itself.
func (c *Core) Raft(now time.Duration, q *peerpb.RaftRequest) *peerpb.RaftReply {
	r := &peerpb.RaftReply{}
	err := c.stop
	if err == nil && !c.hasReplica() {
		err = &NoSeatError{Node: c.Site.Node}
	}
	if err == nil {
		err = c.handleHello(q.Hello)
	}
	if err == nil && c.seat != nil {
		for _, m := range c.receiveChunk(now, q, r) {
			if err == nil {
				err = c.seat.Step(m)
			}
		}
	}
	if err != nil {
		r.Refused = err.Error()
		var told Actioner
		if errors.As(err, &told) {
			r.Action = told.Action()
		}
		r.Ends = ends(err)
	}
	if c.hasReplica() {
		r.Hello = c.hello(q.Hello.GetNode())
	}
	c.drive(now)
	return r
}

// RaftReplied takes what another seat said to messages of this one.
func (c *Core) RaftReplied(now time.Duration, r *peerpb.RaftReply) {
	if c.stop != nil {
		return
	}
	err := c.handleHello(r.Hello)
	if err == nil {
		if r.Refused == "" {
			c.reach.lastReply[r.Hello.Node] = c.ticks
		}
		c.handleChunkAck(now, r)
	}
	switch {
	case r.Ends && c.seat != nil && err == nil:
		if err := c.env.Refused(r.Refused); err != nil {
			c.fail(err)
			return
		}
		c.seat.MarkRefused(r.Refused)
	case r.Refused != "" && r.Refused != c.refused:
		c.refused = r.Refused
		c.env.Tell("another seat refuses what this one says", "seat", r.GetHello().GetNode(), "why", r.Refused, "action", r.Action)
	}
	c.drive(now)
}

// ends says whether an error is the end of the seat whose words it is about.
func ends(err error) bool {
	var old *consensus.StaleStoreError
	var copied *consensus.CopiedStoreError
	var former *SupersededGroupError
	return errors.As(err, &old) || errors.As(err, &copied) || errors.As(err, &former)
}

// Loop takes the loop's report over.
func (c *Core) Loop(now time.Duration, r Report) {
	c.look(r.Look)
	r.Look = nil
	if c.stop == nil {
		c.recordCounts(now, r)
	}
	r.Counted = nil
	c.report = r
	c.holder.MarkInEffect(r.Taken)
	c.holder.MarkConfirmed(r.Clear)
	if c.stop != nil {
		return
	}
	if c.holder.HasNews(c.said) && now >= c.firstAt { // somebody waits for it
		c.renew(now)
	}
	c.drive(now) // a turn's end may wait for what was seen
}

// ---- The node's right ----

// renew asks for the right: whoever is thought to lead, and where a question was not answered another seat too, which knows of
// a leader or is a way to learn of one.
func (c *Core) renew(now time.Duration) {
	c.askAt = now + c.Site.SendLease.Duration/renewals
	c.asked = c.asked[:0]
	c.tries++
	if c.tries > 2 && c.elected == 0 {
		c.leader = "" // it does not answer
	}
	if c.leader != "" {
		c.ask(now, c.leader)
	}
	if c.leader == "" || c.tries > 1 {
		c.ask(now, c.Site.Voters[(c.tries+int(c.Run%7))%len(c.Site.Voters)])
	}
}

// ask asks a seat for the right, once between two renewals.
func (c *Core) ask(now time.Duration, to string) {
	if slices.Contains(c.asked, to) || c.stop != nil {
		return
	}
	c.asked = append(c.asked, to)
	q := c.holder.NextRequest(now)
	c.said = q
	ask := &peerpb.RenewRequest{Node: q.Node, Life: q.Incarnation, Seq: q.Seq, Acked: q.Acked, Run: c.Run,
		LastsUs: uint64(c.Site.SendLease.Duration / time.Microsecond), Census: c.tellHosts()}
	for _, o := range q.Confirmed {
		ask.Holds = append(ask.Holds, &peerpb.Out{Host: o.Host, Round: o.Round})
	}
	c.addPolicyRequest(now, ask)
	if to == c.Site.Node {
		c.Question(now, ask, func(r *peerpb.RenewReply) { c.Renewed(now, r) })
		return
	}
	c.env.SendRenew(to, ask)
}

// follow takes note of who is said to lead, unless this node's seat knows better, and asks there for the right at once.
func (c *Core) follow(now time.Duration, leader string) {
	if c.elected == 0 {
		c.leader = leader
	}
	if leader != "" && now >= c.firstAt {
		c.ask(now, leader)
	}
}

// Renewed takes an answer to a question over.
func (c *Core) Renewed(now time.Duration, r *peerpb.RenewReply) {
	if c.stop != nil {
		return
	}
	if r.Refused != "" {
		if r.Leader != "" && !c.leading {
			c.follow(now, r.Leader)
		}
		if r.Leader == "" && r.Action != "" {
			c.env.Tell("no right to send is given", "why", r.Refused, "action", r.Action)
		}
		return
	}
	if !c.acceptsLeaseFrom(r) {
		return
	}
	if r.Leader != "" {
		c.leader = r.Leader
	}
	c.tries = 0
	c.toldHosts(now, r)
	c.handlePolicyReply(r)
	a := sendlease.LeaseResponse{Seq: r.Seq, Applied: r.Applied, Recorded: r.Recorded,
		ExclusionSet: sendlease.ExclusionSet{Version: r.HorizonVersion, Hosts: r.HorizonHosts}}
	for _, o := range r.Outs {
		a.ExcludedHosts = append(a.ExcludedHosts, sendlease.ExcludedHost{Host: o.Host, Round: o.Round})
	}
	save, changed := c.holder.HandleResponse(now, a)
	if changed {
		c.env.Bind(c.holder.Restrictions())
	}
	if !save {
		return
	}
	if err := c.env.Keep(c.holder.Saved()); err != nil {
		c.fail(err)
		return
	}
	c.holder.MarkStored()
	v := c.holder.Restrictions()
	c.env.Bind(v)
	c.env.Tell("without a right, these hosts are withheld", "hosts", strings.Join(v.ExcludedAfterExpiry, " "), "horizon", v.ExclusionSetVersion,
		"recorded", c.holder.Saved().Recorded)
	c.askAt = min(c.askAt, now) // what stands is acknowledged at once
}

// Leave is called before the control of this node ends as planned: where it leads, another seat is to take over. left is called
// once, when this node leads no more, which may be never: whoever calls has a bound of its own.
func (c *Core) Leave(now time.Duration, left func()) {
	c.left = left
	if c.stop != nil || !c.leading || !c.seat.TransferLeadership() {
		c.hasLeft()
		return
	}
	c.drive(now)
}

func (c *Core) hasLeft() {
	if left := c.left; left != nil {
		c.left = nil
		left()
	}
}

// fail stops the control of this node for good: what should be durable is not. Where the store is not the one that this node
// has acknowledged by, what is to be withheld without a right is not known, and all hosts are.
func (c *Core) fail(err error) {
	stop := &StoppedError{Cause: err}
	c.stop = stop
	event := "control has stopped; the traffic goes on, and the right to send runs out"
	var refused *consensus.RefusedError
	if errors.As(err, &refused) {
		event = "control has stopped, and nothing is sent: the store does not tell what is out"
		c.env.Bind(sendlease.Restrictions{AllAfterExpiry: true})
	}
	c.env.Tell(event, "error", err, "action", stop.Action())
	for _, w := range c.waiters {
		w.done(Reply{}, c.stop)
	}
	c.waiters = map[uint64]waiter{}
	c.leading, c.leader = false, ""
	c.table.Resign()
	c.refuseAll()
}

// ---- The leader ----

// Question takes a node's question; done is called with the answer, or with why there is none.
func (c *Core) Question(now time.Duration, ask *peerpb.RenewRequest, done func(*peerpb.RenewReply)) {
	if c.stop != nil || c.seat == nil || !c.leading {
		hint := c.leader
		if hint == c.Site.Node {
			hint = ""
		}
		done(&peerpb.RenewReply{Seq: ask.Seq, Refused: "this node does not lead the council", Leader: hint})
		return
	}
	c.asking = append(c.asking, question{ask, done})
	c.drive(now)
}

// answer answers a question, now that a quorum has said that this seat leads.
func (c *Core) answer(now time.Duration, q question) {
	ask := q.ask
	r := &peerpb.RenewReply{Seq: ask.Seq, Leader: c.Site.Node}
	switch {
	case c.book.Dead(ask.Node):
		r.Refused, r.Leader = fmt.Sprintf("%s was declared dead", ask.Node), ""
		r.Action = "make sure that it runs as it should, then take it in again: POST /lichenhitch.peer.Desk/TakeIn"
	case ask.LastsUs != uint64(c.Site.SendLease.Duration/time.Microsecond):
		r.Refused, r.Leader = fmt.Sprintf("%s takes a right to last %v, the council %v", ask.Node,
			time.Duration(ask.LastsUs)*time.Microsecond, c.Site.SendLease.Duration), ""
		r.Action = "give rights.lasts_ms the same value at all nodes of the site"
	case !slices.Contains(c.book.Members(), ask.Node):
		r.Refused, r.Leader = fmt.Sprintf("%s is not among the nodes of site %s", ask.Node, c.Site.Own.Name), ""
		r.Action = "enter it in the site file of the seats"
	}
	if r.Refused != "" {
		q.done(r)
		return
	}
	r.Census = c.hearHosts(now, ask)
	holds := make([]sendlease.ExcludedHost, 0, len(ask.Holds))
	for _, o := range ask.Holds {
		holds = append(holds, sendlease.ExcludedHost{Host: o.Host, Round: o.Round})
	}
	c.table.RecordConfirmed(now, sendlease.LeaseRequest{Node: ask.Node, Incarnation: ask.Life, Seq: ask.Seq, Acked: ask.Acked, Confirmed: holds})
	c.table.RecordAnswered(now, ask.Node)
	ack := turns.Ack{Node: ask.Node, Incarnation: ask.Life, Version: ask.Acked}
	known := c.book.Acked(ask.Node)
	if (ack.Incarnation != known.Incarnation || ack.Version > known.Version) && ack != c.acking[ask.Node] {
		c.acking[ask.Node] = ack
		c.propose(now, turns.Command{Ack: &ack})
	}
	r.Applied = c.applied
	for _, o := range c.book.ExcludedHosts() {
		r.Outs = append(r.Outs, &peerpb.Out{Host: o.Host, Round: o.Round})
	}
	horizon := c.book.ExclusionSet()
	r.HorizonVersion, r.HorizonHosts = horizon.Version, horizon.Hosts
	r.Recorded = c.book.RecordedVersionIn(ask.Node, ask.Life)
	r.Told = c.recordEvidence(now, ask.Node, ask.Record)
	r.Policy = c.assignment(now, ask.Node, ask.Texts)
	r.Foundings = c.membership.BootstrapIDs
	q.done(r)
}

// drive carries out what the seat has ready, and then what a leader has to do.
func (c *Core) drive(now time.Duration) {
	for c.stop == nil && c.seat != nil {
		if c.lead(now); c.seat == nil {
			return
		}
		out, any := c.seat.Ready()
		if !any {
			return
		}
		c.carryOut(now, out)
	}
}

func (c *Core) carryOut(now time.Duration, out consensus.Output) {
	if err := c.env.Save(out.Save); err != nil {
		c.fail(err)
		return
	}
	c.sendMessages(now, out.Send)
	if out.Snapshot != nil {
		if err := c.decode(out.Snapshot); err != nil {
			c.fail(err)
			return
		}
		if out.Save.Replace && len(out.Snapshot) > 0 {
			c.env.Tell("was far behind, and has the council's whole state from its leader", "bytes", len(out.Snapshot))
		}
	}
	for _, e := range out.Apply {
		c.apply(now, e)
	}
	c.seat.Advance(out)
	st := c.seat.Status()
	c.applied = st.Applied
	c.confirmed = append(c.confirmed, out.Reads...)
	c.confirmed = slices.DeleteFunc(c.confirmed, func(read consensus.ReadState) bool {
		if read.Index > c.applied {
			return false
		}
		c.readConfirmed(read.Ctx)
		for _, q := range c.reads[read.Ctx] {
			c.answer(now, q)
		}
		delete(c.reads, read.Ctx)
		return true
	})
	if st.SnapshotDue {
		c.compact()
	}
}

// compact puts the book in the place of the log that led to it.
func (c *Core) compact() {
	raw, err := c.encode()
	if err != nil {
		c.fail(err)
		return
	}
	save, err := c.seat.Compact(c.applied, raw)
	if err == nil {
		err = c.env.Save(save)
	}
	if err != nil {
		c.fail(err)
	}
}

// apply takes one entry of the log over.
func (c *Core) apply(now time.Duration, e consensus.Entry) {
	var what entry
	if err := json.Unmarshal(e.Data, &what); err != nil || what.Turns == nil && what.Writes == nil && what.Policies == nil && what.Seats == nil {
		c.env.Tell("an entry of the council's log is of a later version, or none", "index", e.Index, "error", err)
		return
	}
	var effects []sitesync.Effect
	var refused error
	switch {
	case what.Writes != nil:
		effects, refused = c.applyWrite(e.Index, *what.Writes)
	case what.Policies != nil:
		refused = c.applyPlan(e.Index, *what.Policies)
	case what.Seats != nil:
		c.applyMembership(*what.Seats)
	default:
		refused = c.turn(e.Index, what)
	}
	if what.By != c.Run {
		return
	}
	delete(c.inflight, what.Seq)
	if w, waits := c.waiters[what.Seq]; waits {
		delete(c.waiters, what.Seq)
		turn, _ := c.book.Turn(w.id)
		w.done(Reply{Turn: turn, Effects: effects}, refused)
	}
}

// turn takes an entry about turns over, and returns why it was refused.
func (c *Core) turn(index uint64, what entry) (refused error) {
	c.stamp = max(c.stamp, what.Turns.At)
	if a := what.Turns.Alive; a != nil {
		delete(c.acking, a.Node) // what it acknowledged meanwhile was refused
	}
	for _, n := range c.book.Apply(index, *what.Turns) {
		if n.Kind == turns.NoticeRefused {
			refused = &RefusedError{ID: n.Turn, Why: n.Why}
		}
		if c.leading && (n.Kind != turns.NoticeRefused || what.By != c.Run) {
			c.env.Tell("turns", "notice", n.Kind.String(), "turn", n.Turn, "why", n.Why)
		}
	}
	return refused
}

// propose brings a command about turns before the council and returns its number, 0 where this seat does not lead.
func (c *Core) propose(now time.Duration, cmd turns.Command) uint64 {
	cmd.At = c.stamped(now)
	return c.putOwn(now, entry{Turns: &cmd})
}

// stamped returns the time of a command: never earlier than that of one before.
func (c *Core) stamped(now time.Duration) time.Duration {
	c.stamp = max(c.stamp, now)
	return c.stamp
}

// putOwn is put, and no other proposal of the leader's own is made while the entry is under way.
func (c *Core) putOwn(now time.Duration, e entry) uint64 {
	seq := c.put(e)
	if seq != 0 {
		c.inflight[seq] = now
	}
	return seq
}

// put proposes an entry and returns its number, 0 where this seat does not lead.
func (c *Core) put(e entry) uint64 {
	c.seq++
	e.By, e.Seq = c.Run, c.seq
	raw, err := json.Marshal(e)
	if err == nil {
		err = c.seat.Propose(raw)
	}
	if err != nil {
		return 0
	}
	return c.seq
}

// lead does what a leader has to: it takes note of its election, asks the quorum for the questions that wait, and proposes
// what comes next, one thing at a time.
func (c *Core) lead(now time.Duration) {
	st := c.seat.Status()
	if c.handleNotMember(st.Err) {
		return
	}
	if st.Err != nil {
		c.fail(st.Err)
		return
	}
	c.noteVoterChanges(st)
	c.logConfirmed(st)
	if st.Leader != c.elected { // a new one knows of no right, nor of what was confirmed to the last one
		c.elected = st.Leader
		c.leader = c.nodeOf(st.Leader)
		c.asked = slices.DeleteFunc(c.asked, func(seat string) bool { return seat == c.leader })
		c.askAt = max(c.firstAt, min(c.askAt, now))
	}
	switch {
	case st.Leading && !c.leading:
		c.table.BecomeLeader(now)
		c.reach = newReachability(c.ticks)
		c.acking = map[string]turns.Ack{}
		c.hosts.lead(now)
		c.inflight = map[uint64]time.Duration{}
		c.offerAt, c.agedAt = 0, now
		c.courier, c.teller, c.calling = nil, nil, ""
		c.policies.rootHeardAt, c.policies.proposedRecords, c.policies.readRounds = 0, map[string]bool{}, map[uint64]time.Duration{}
		c.env.Tell("leads the council", "site", c.Site.Own.Name, "term", st.Term)
	case !st.Leading && c.leading:
		c.table.Resign()
		c.env.Tell("leads the council no more", "site", c.Site.Own.Name)
		c.leading = false // whoever is answered calls again
		c.refuseAll()
		c.unsettled(func(w waiter) bool { return w.again })
		c.hasLeft()
	}
	c.leading = st.Leading
	if !c.leading {
		return
	}
	c.reconcileVoters(now, st)
	if len(c.asking) > 0 && len(c.reads) < 4 {
		c.readSeq++
		ctx := c.Run<<20 | c.readSeq&(1<<20-1)
		if c.seat.ReadIndex(ctx) == nil {
			c.reads[ctx], c.asking = c.asking, nil
			c.beginRead(now, ctx)
		}
	}
	c.forwardWrites(now)
	for seq, since := range c.inflight {
		if now-since > proposeWithin {
			delete(c.inflight, seq)
		}
	}
	if len(c.inflight) > 0 {
		return
	}
	if c.writes == nil {
		c.proposeWrite(now, c.firstWriteEntry(now), nil)
		c.inflight[c.seq] = now
		return
	}
	if own, others := c.writes.Waiting(); own+others+c.writes.Held() > 0 && now-c.agedAt >= ageInterval {
		c.agedAt = now
		c.proposeWrite(now, writeEntry{Command: &sitesync.Command{}}, nil)
	}
	if cmd, any := c.next(now); any {
		c.propose(now, cmd)
	} else if cmd, any := c.nextPolicyCommand(now); any {
		c.proposePolicy(now, cmd)
	}
}

// unsettled answers calls that wait: what becomes of them is not known.
func (c *Core) unsettled(which func(waiter) bool) {
	for _, seq := range slices.Sorted(maps.Keys(c.waiters)) { // in their order, so that a rehearsal plays the same again
		if w := c.waiters[seq]; which(w) {
			delete(c.waiters, seq)
			w.done(Reply{}, &UnsettledError{ID: w.id})
		}
	}
}

// refuseAll answers the questions that wait: another seat may lead by now.
func (c *Core) refuseAll() {
	waiting := c.asking
	for _, ctx := range slices.Sorted(maps.Keys(c.reads)) {
		waiting = append(waiting, c.reads[ctx]...)
	}
	c.asking, c.reads, c.confirmed = nil, map[uint64][]question{}, nil
	for _, q := range waiting {
		q.done(&peerpb.RenewReply{Seq: q.ask.Seq, Refused: "this node leads the council no more"})
	}
}

// ---- Calls ----

// Do brings an operator's call before the council. done is called once, with an *ElsewhereError where another node leads.
func (c *Core) Do(now time.Duration, call Call, done func(Reply, error)) {
	switch {
	case c.stop != nil:
		done(Reply{}, c.stop)
	case c.leading:
		if err := c.book.Check(call.Command); err != nil {
			turn, _ := c.book.Turn(call.ID)
			done(Reply{Turn: turn}, err)
			return
		}
		// Asked for once more it is the same turn, and no entry is made of it. What another leader may know by now is at worst
		// newer: a grant that was called back is found out by Begin, which does go through the log.
		if t, known := c.book.Turn(call.ID); known && call.Command.Request != nil {
			done(Reply{Turn: t}, nil)
			return
		}
		seq := c.propose(now, call.Command)
		if seq == 0 {
			done(Reply{}, &NoLeaderError{Site: c.Site.Own.Name})
			return
		}
		c.waiters[seq] = waiter{id: call.ID, until: now + callWithin, again: true, done: done}
		c.drive(now)
	default:
		done(Reply{}, c.notLeaderError())
	}
}

// TakeIn has a seat taken in anew whose store is another one than its council knows: in the place of the one that the node had
// before. It says whether there was anything to take in.
func (c *Core) TakeIn(node string) bool {
	o := c.others[node]
	if !c.leading || o == nil || !o.bootstrapped || slices.Contains(c.seat.Status().Voters, o.id) {
		return false
	}
	c.admitted = o.id
	return true
}

// Seated returns where this node's seat stands, false where it has none or belongs to no council yet.
func (c *Core) Seated() (consensus.Status, bool) {
	if c.seat == nil {
		return consensus.Status{}, false
	}
	return c.seat.Status(), true
}
