// Package control implements the control plane of a site, separate from the traffic: which nodes hold a send lease, and
// which hosts are out of service for maintenance. Core is the state machine of one node and does no I/O: events are
// passed in with the node's time, and its actions go through Env. Thread runs it in the process, on a thread of its own;
// the simulations under rehearsal/ run the same Core in virtual time.
//
// The node's time starts at the system time of the process's start and advances with the monotonic clock. It serves for
// leases and, among the replicas of the consensus group, as the time stamp of commands.
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

// Env is the environment of a Core: its store, its network, the traffic loop and the log. Its methods return at once,
// except Save, SaveLease and SavePolicies, which return once their argument is durable. An error of the store stops the
// control of this node, never its traffic.
type Env interface {
	Save(consensus.WriteBatch) error
	SaveLease(sendlease.Saved) error
	MarkRefused(why string) error                  // records in the store that its replica was refused for good
	SendRaft(node string, q *peerpb.RaftRequest)   // answered by Core.HandleRaftReply, or never
	SendRenew(node string, q *peerpb.RenewRequest) // answered by Core.HandleLeaseResponse, or never
	// SendReplay is answered by Core.HandleReplayReply. A call without an answer within the given time is abandoned.
	SendReplay(node string, call uint64, timeout time.Duration, q *peerpb.ReplayRequest)
	SavePolicies(PolicyState) error           // returns once they are durable
	ApplyRestrictions(sendlease.Restrictions) // of the traffic loop
	ApplyPolicy(Policy)                       // to the traffic loop
	Log(message string, args ...any)          // args are alternating keys and values
}

// Call is a call of an operator, or of a worker that maintains hosts: a command about one node or one turn (permission
// to do maintenance work on a host).
type Call struct {
	Command turns.Command
	ID      string // of the turn that the reply describes
}

// Reply is the result of a call.
type Reply struct {
	Turn    turns.Turn
	Effects []sitesync.Effect // of a write
}

// Report is a complete report of the traffic loop to control.
type Report struct {
	Restrictions    sendlease.Restrictions   // that the loop applies
	ClearedHosts    []sendlease.ExcludedHost // excluded hosts to which this node sends nothing new
	Observation     *hostview.Observation    // of the hosts; nil: none since the last report
	Policy          rollout.Hash             // the policy that the loop applies; "": the plain settings
	RequestedPolicy rollout.Hash             // the last one passed to ApplyPolicy, whether or not it was valid
	SettingsChanges uint64                   // number of changes of the configured settings since the start
	Counted         []PolicyCounts           // since the last report that control accepted, by policy, the current one last
}

// Options are the inputs of New.
type Options struct {
	Site             *site.Site
	StoreIncarnation uint64                // of the store, for its replica; see consensus/store
	OpenCount        uint64                // how often the store was opened, this time included
	RunID            uint64                // random number of this process
	StoreVerified    bool                  // the store is known to be in the state in which the last process left it
	StoredState      consensus.StoredState // state of the consensus group's log in the store
	SavedLease       sendlease.Saved       // state of the node's send lease in the store
	KeptPolicies     PolicyState           // state of the node's policies in the store
	CheckPolicy      func(Policy) error    // whether a policy is valid with the node's settings; see Traffic
	LeaseWait        time.Duration         // before the first lease request; for as long, an earlier process of the node may use its lease
}

const (
	// proposalTimeout is how long a proposal that the leader made by itself may be pending before it makes another one.
	proposalTimeout = 2 * time.Second
	// callTimeout is how long a call waits for its entry to be committed.
	callTimeout = 4 * time.Second
	// renewalsPerLease is how often a node renews its send lease within the duration of one lease.
	renewalsPerLease = 4
	// blockedRevokeLeases is how long a turn may wait for an unreachable node, in durations of a send lease, before it is
	// revoked in favour of a turn that can proceed.
	blockedRevokeLeases = 2
)

// entry is an entry of the consensus group's log.
type entry struct {
	RunID uint64         `json:"by"`  // process that proposed it
	Seq   uint64         `json:"seq"` // number within that process
	Turns *turns.Command `json:"turns,omitempty"`

	Writes   *writeEntry      `json:"writes,omitempty"`
	Policies *rollout.Command `json:"policies,omitempty"` // at the root site
	Replicas *membershipEntry `json:"seats,omitempty"`
}

// pendingRequest is a lease request that waits until a quorum confirms that this replica leads.
type pendingRequest struct {
	request *peerpb.RenewRequest
	done    func(*peerpb.RenewReply)
}

// pendingCall is a call that waits for its entry to be applied.
type pendingCall struct {
	id         string
	deadline   time.Duration
	idempotent bool // a repetition has no second effect, so it fails at once when this node loses the leadership
	done       func(Reply, error)
}

// Core is the control plane of one node. It is not safe for concurrent use.
type Core struct {
	Options
	env            Env
	replicaID      consensus.ReplicaID
	replica        *consensus.Replica      // nil if this node has none, or belongs to no consensus group yet
	peers          map[string]*peerReplica // what is known of the other replicas, by node
	chunkTransfers map[string]*chunkStreams
	ticks          uint64
	leaseHolder    *sendlease.Holder
	leaseTable     *sendlease.Table
	schedule       *turns.Schedule
	membershipState
	loopReport Report
	stopCause  error // why control has stopped; nil while it runs

	siteSync        *sitesync.Site                    // nil until the entry with the site's place is applied
	forwarder       *sitesync.Forwarder               // of a leader whose site has ancestors
	creditScheduler *sitesync.CreditScheduler         // of a leader
	knownCallers    map[sitesync.SiteIncarnation]bool // sites that have called this leader
	pendingBatches  map[string]int                    // calls whose writes are being committed, by site
	callTarget      string                            // ancestor site to which a call is pending; "": none
	callNumber      uint64
	callDeadline    time.Duration
	callStartedAt   time.Duration
	ancestorReplica map[string]int // index of the voter that is called, by ancestor site
	nextOfferAt     time.Duration
	lastAgedAt      time.Duration

	policies policyControl

	leader           string // node that leads, as far as is known; "": unknown
	leading          bool
	appliedIndex     uint64
	leaderID         consensus.ReplicaID      // leader as this node's replica knows it; 0: none
	firstRequestAt   time.Duration            // no lease request is sent before
	nextRequestAt    time.Duration            // when to request the send lease again
	requestedFrom    []string                 // nodes to which the request of this round was sent
	lastRequest      sendlease.LeaseRequest   // the last one sent
	attempts         int                      // rounds of requests since the last answer
	pendingProposals map[uint64]time.Duration // when each proposal was made that the leader made by itself
	proposedAcks     map[string]turns.Ack     // the last acknowledgement proposed, by node
	queuedRequests   []pendingRequest         // for which no quorum read was started yet
	readRequests     map[uint64][]pendingRequest
	confirmedReads   []consensus.ReadState // confirmed by a quorum; their index is not applied here yet
	readNumber       uint64
	entryNumber      uint64
	pendingCalls     map[uint64]pendingCall
	hostView         hostViewState
	lastStamp        time.Duration // time stamp of the latest command
	onLeadershipLost func()        // called once this node no longer leads, before it shuts down; nil: no shutdown, or already called
	lastRefusal      string        // the last reason for which another replica, or an ancestor site, refused this node's messages
	wasUnconfirmed   bool          // at the last check this replica waited for the other replicas to confirm its store
	reachability     reachability
}

// New returns the control plane of a node. Restrictions are applied to the traffic loop at once: those from the store,
// without a send lease.
func New(now time.Duration, o Options, env Env) (*Core, error) {
	c := &Core{Options: o, env: env, leaseHolder: sendlease.NewHolder(o.Site.SendLease, o.Site.Node, o.SavedLease),
		leaseTable: sendlease.NewTable(o.Site.SendLease), schedule: turns.New(), pendingProposals: map[uint64]time.Duration{},
		proposedAcks: map[string]turns.Ack{}, readRequests: map[uint64][]pendingRequest{}, pendingCalls: map[uint64]pendingCall{},
		hostView: newHostViewState(now), peers: map[string]*peerReplica{}, chunkTransfers: map[string]*chunkStreams{},
		firstRequestAt: now + o.LeaseWait, nextRequestAt: now + o.LeaseWait,
		reachability: newReachability(0)}
	if err := c.openReplica(); err != nil {
		return nil, err
	}
	if err := c.initPolicies(now); err != nil {
		return nil, err
	}
	env.ApplyRestrictions(c.leaseHolder.Restrictions())
	if c.replica != nil {
		switch st := c.replica.Status(); {
		case st.Err != nil:
			c.fail(st.Err)
		case st.Unconfirmed:
			c.wasUnconfirmed = true
			env.Log("the seat waits until other seats have confirmed that its store is not a stale one",
				"wanted", len(st.Voters)-len(st.Voters)/2, "action",
				"if other nodes are down, start them: this replica stays inactive until so many have answered")
		}
	}
	return c, nil
}

// StopCause returns why the control of this node has stopped, or nil while it runs. When it stops, traffic continues and
// the send lease expires.
func (c *Core) StopCause() error { return c.stopCause }

// Schedule returns the schedule of turns as applied on this node. Only a node with a replica has one.
func (c *Core) Schedule() *turns.Schedule { return c.schedule }

// Leader returns the node that leads the consensus group, as far as this node knows, or "".
func (c *Core) Leader() string { return c.leader }

// Leading reports whether this node leads.
func (c *Core) Leading() bool { return c.leading }

// AppliedIndex returns the index up to which this replica has applied the log.
func (c *Core) AppliedIndex() uint64 { return c.appliedIndex }

// Tick advances timers. It must be called every Site.Tick.
func (c *Core) Tick(now time.Duration) {
	if c.stopCause != nil {
		return
	}
	c.ticks++
	if c.replica != nil && c.removedAt == 0 {
		c.replica.Tick()
	}
	c.sendHellos()
	for _, name := range c.contacts {
		if c.chunkTransfers[name] != nil {
			c.sendChunk(now, name)
		}
	}
	c.processReady(now)
	c.logReachability()
	c.failPendingCalls(func(w pendingCall) bool { return now >= w.deadline })
	c.tickPolicies(now)
	if c.stopCause == nil && now >= c.nextRequestAt {
		c.renewLease(now)
	}
	c.processReady(now)
}

// HandleRaft processes Raft messages of another replica, and returns this replica's report on itself.
func (c *Core) HandleRaft(now time.Duration, q *peerpb.RaftRequest) *peerpb.RaftReply {
	r := &peerpb.RaftReply{}
	err := c.stopCause
	if err == nil && !c.hasReplica() {
		err = &NoReplicaError{Node: c.Site.Node}
	}
	if err == nil {
		err = c.handleHello(q.Hello)
	}
	if err == nil && c.replica != nil {
		for _, m := range c.receiveChunk(now, q, r) {
			if err == nil {
				err = c.replica.Step(m)
			}
		}
	}
	if err != nil {
		r.Refused = err.Error()
		var actioner Actioner
		if errors.As(err, &actioner) {
			r.Action = actioner.Action()
		}
		r.Ends = endsReplica(err)
	}
	if c.hasReplica() {
		r.Hello = c.hello(q.Hello.GetNode())
	}
	c.processReady(now)
	return r
}

// HandleRaftReply processes another replica's reply to messages of this one.
func (c *Core) HandleRaftReply(now time.Duration, r *peerpb.RaftReply) {
	if c.stopCause != nil {
		return
	}
	err := c.handleHello(r.Hello)
	if err == nil {
		if r.Refused == "" {
			c.reachability.lastReply[r.Hello.Node] = c.ticks
		}
		c.handleChunkAck(now, r)
	}
	switch {
	case r.Ends && c.replica != nil && err == nil:
		if err := c.env.MarkRefused(r.Refused); err != nil {
			c.fail(err)
			return
		}
		c.replica.MarkRefused(r.Refused)
	case r.Refused != "" && r.Refused != c.lastRefusal:
		c.lastRefusal = r.Refused
		c.env.Log("another replica refuses this replica's messages", "seat", r.GetHello().GetNode(), "why", r.Refused, "action", r.Action)
	}
	c.processReady(now)
}

// endsReplica reports whether an error means that the replica whose messages were refused must stay inactive for good.
func endsReplica(err error) bool {
	var stale *consensus.StaleStoreError
	var copied *consensus.CopiedStoreError
	var replaced *SupersededGroupError
	return errors.As(err, &stale) || errors.As(err, &copied) || errors.As(err, &replaced)
}

// HandleLoopReport processes a report of the traffic loop.
func (c *Core) HandleLoopReport(now time.Duration, r Report) {
	c.recordObservation(r.Observation)
	r.Observation = nil
	if c.stopCause == nil {
		c.recordCounts(now, r)
	}
	r.Counted = nil
	c.loopReport = r
	c.leaseHolder.MarkInEffect(r.Restrictions)
	c.leaseHolder.MarkConfirmed(r.ClearedHosts)
	if c.stopCause != nil {
		return
	}
	if c.leaseHolder.HasNews(c.lastRequest) && now >= c.firstRequestAt { // the leader waits for this news
		c.renewLease(now)
	}
	c.processReady(now) // the end of a turn may depend on the observation
}

// ---- The node's send lease ----

// renewLease requests the send lease from the presumed leader. If the last request was not answered, it asks another
// replica as well, which can name the leader.
func (c *Core) renewLease(now time.Duration) {
	c.nextRequestAt = now + c.Site.SendLease.Duration/renewalsPerLease
	c.requestedFrom = c.requestedFrom[:0]
	c.attempts++
	if c.attempts > 2 && c.leaderID == 0 {
		c.leader = "" // it does not answer
	}
	if c.leader != "" {
		c.sendLeaseRequest(now, c.leader)
	}
	if c.leader == "" || c.attempts > 1 {
		c.sendLeaseRequest(now, c.Site.Voters[(c.attempts+int(c.RunID%7))%len(c.Site.Voters)])
	}
}

// sendLeaseRequest requests the send lease from a replica, at most once per renewal.
func (c *Core) sendLeaseRequest(now time.Duration, to string) {
	if slices.Contains(c.requestedFrom, to) || c.stopCause != nil {
		return
	}
	c.requestedFrom = append(c.requestedFrom, to)
	next := c.leaseHolder.NextRequest(now)
	c.lastRequest = next
	request := &peerpb.RenewRequest{Node: next.Node, Life: next.Incarnation, Seq: next.Seq, Acked: next.Acked, Run: c.RunID,
		LastsUs: uint64(c.Site.SendLease.Duration / time.Microsecond), Census: c.hostReport()}
	for _, o := range next.Confirmed {
		request.Holds = append(request.Holds, &peerpb.Out{Host: o.Host, Round: o.Round})
	}
	c.addPolicyRequest(now, request)
	if to == c.Site.Node {
		c.HandleLeaseRequest(now, request, func(r *peerpb.RenewReply) { c.HandleLeaseResponse(now, r) })
		return
	}
	c.env.SendRenew(to, request)
}

// noteLeader records the leader that another node named, unless this node's own replica knows the leader, and requests the
// send lease there at once.
func (c *Core) noteLeader(now time.Duration, leader string) {
	if c.leaderID == 0 {
		c.leader = leader
	}
	if leader != "" && now >= c.firstRequestAt {
		c.sendLeaseRequest(now, leader)
	}
}

// HandleLeaseResponse processes the answer to a lease request.
func (c *Core) HandleLeaseResponse(now time.Duration, r *peerpb.RenewReply) {
	if c.stopCause != nil {
		return
	}
	if r.Refused != "" {
		if r.Leader != "" && !c.leading {
			c.noteLeader(now, r.Leader)
		}
		if r.Leader == "" && r.Action != "" {
			c.env.Log("no right to send is given", "why", r.Refused, "action", r.Action)
		}
		return
	}
	if !c.acceptsLeaseFrom(r) {
		return
	}
	if r.Leader != "" {
		c.leader = r.Leader
	}
	c.attempts = 0
	c.handleHostAck(now, r)
	c.handlePolicyReply(r)
	response := sendlease.LeaseResponse{Seq: r.Seq, Applied: r.Applied, Recorded: r.Recorded,
		ExclusionSet: sendlease.ExclusionSet{Version: r.HorizonVersion, Hosts: r.HorizonHosts}}
	for _, o := range r.Outs {
		response.ExcludedHosts = append(response.ExcludedHosts, sendlease.ExcludedHost{Host: o.Host, Round: o.Round})
	}
	save, changed := c.leaseHolder.HandleResponse(now, response)
	if changed {
		c.env.ApplyRestrictions(c.leaseHolder.Restrictions())
	}
	if !save {
		return
	}
	if err := c.env.SaveLease(c.leaseHolder.Saved()); err != nil {
		c.fail(err)
		return
	}
	c.leaseHolder.MarkStored()
	restrictions := c.leaseHolder.Restrictions()
	c.env.ApplyRestrictions(restrictions)
	c.env.Log("stored the hosts that are excluded without a send lease", "hosts", strings.Join(restrictions.ExcludedAfterExpiry, " "),
		"horizon", restrictions.ExclusionSetVersion, "recorded", c.leaseHolder.Saved().Recorded)
	c.nextRequestAt = min(c.nextRequestAt, now) // acknowledges the stored exclusion set at once
}

// TransferLeadership is called before a planned shutdown of this node's control: if it leads, another replica is to take
// over. transferred is called once this node no longer leads. That may never happen, so the caller needs a time-out.
func (c *Core) TransferLeadership(now time.Duration, transferred func()) {
	c.onLeadershipLost = transferred
	if c.stopCause != nil || !c.leading || !c.replica.TransferLeadership() {
		c.notifyLeadershipLost()
		return
	}
	c.processReady(now)
}

func (c *Core) notifyLeadershipLost() {
	if notify := c.onLeadershipLost; notify != nil {
		c.onLeadershipLost = nil
		notify()
	}
}

// fail stops the control of this node for good, since state that must be durable is not. If the store was refused,
// it may not be the one whose content this node acknowledged: the hosts to exclude without a send lease are then unknown,
// so all hosts are excluded.
func (c *Core) fail(err error) {
	stopped := &StoppedError{Cause: err}
	c.stopCause = stopped
	message := "control has stopped; the traffic goes on, and the send lease expires"
	var refused *consensus.RefusedError
	if errors.As(err, &refused) {
		message = "control has stopped, and nothing is sent: the store may lack hosts that are to be excluded"
		c.env.ApplyRestrictions(sendlease.Restrictions{AllAfterExpiry: true})
	}
	c.env.Log(message, "error", err, "action", stopped.Action())
	for _, w := range c.pendingCalls {
		w.done(Reply{}, c.stopCause)
	}
	c.pendingCalls = map[uint64]pendingCall{}
	c.leading, c.leader = false, ""
	c.leaseTable.Resign()
	c.refuseLeaseRequests()
}

// ---- The leader ----

// HandleLeaseRequest processes a node's lease request. done is called with the answer, or with the reason for a refusal.
func (c *Core) HandleLeaseRequest(now time.Duration, request *peerpb.RenewRequest, done func(*peerpb.RenewReply)) {
	if c.stopCause != nil || c.replica == nil || !c.leading {
		leader := c.leader
		if leader == c.Site.Node {
			leader = ""
		}
		done(&peerpb.RenewReply{Seq: request.Seq, Refused: "this node does not lead the site's consensus group", Leader: leader})
		return
	}
	c.queuedRequests = append(c.queuedRequests, pendingRequest{request, done})
	c.processReady(now)
}

// answerLeaseRequest answers a lease request after a quorum has confirmed that this replica leads.
func (c *Core) answerLeaseRequest(now time.Duration, q pendingRequest) {
	request := q.request
	r := &peerpb.RenewReply{Seq: request.Seq, Leader: c.Site.Node}
	switch {
	case c.schedule.Dead(request.Node):
		r.Refused, r.Leader = fmt.Sprintf("%s was declared dead", request.Node), ""
		r.Action = "make sure that it runs correctly, then readmit it: POST /lichenhitch.peer.Desk/TakeIn"
	case request.LastsUs != uint64(c.Site.SendLease.Duration/time.Microsecond):
		r.Refused, r.Leader = fmt.Sprintf("%s expects a send lease of %v, its consensus group grants %v", request.Node,
			time.Duration(request.LastsUs)*time.Microsecond, c.Site.SendLease.Duration), ""
		r.Action = "set rights.lasts_ms to the same value on all nodes of the site"
	case !slices.Contains(c.schedule.Members(), request.Node):
		r.Refused, r.Leader = fmt.Sprintf("%s is not among the nodes of site %s", request.Node, c.Site.Own.Name), ""
		r.Action = "add it to the site file of the nodes with a seat"
	}
	if r.Refused != "" {
		q.done(r)
		return
	}
	r.Census = c.recordHostReport(now, request)
	confirmed := make([]sendlease.ExcludedHost, 0, len(request.Holds))
	for _, o := range request.Holds {
		confirmed = append(confirmed, sendlease.ExcludedHost{Host: o.Host, Round: o.Round})
	}
	c.leaseTable.RecordConfirmed(now, sendlease.LeaseRequest{Node: request.Node, Incarnation: request.Life, Seq: request.Seq,
		Acked: request.Acked, Confirmed: confirmed})
	c.leaseTable.RecordAnswered(now, request.Node)
	ack := turns.Ack{Node: request.Node, Incarnation: request.Life, Version: request.Acked}
	previous := c.schedule.Acked(request.Node)
	if (ack.Incarnation != previous.Incarnation || ack.Version > previous.Version) && ack != c.proposedAcks[request.Node] {
		c.proposedAcks[request.Node] = ack
		c.proposeTurnCommand(now, turns.Command{Ack: &ack})
	}
	r.Applied = c.appliedIndex
	for _, o := range c.schedule.ExcludedHosts() {
		r.Outs = append(r.Outs, &peerpb.Out{Host: o.Host, Round: o.Round})
	}
	exclusionSet := c.schedule.ExclusionSet()
	r.HorizonVersion, r.HorizonHosts = exclusionSet.Version, exclusionSet.Hosts
	r.Recorded = c.schedule.RecordedVersionIn(request.Node, request.Life)
	r.Told = c.recordEvidence(now, request.Node, request.Record)
	r.Policy = c.assignment(now, request.Node, request.Texts)
	r.Foundings = c.membership.BootstrapIDs
	q.done(r)
}

// processReady updates the leader role and carries out what the replica has ready, until nothing is left.
func (c *Core) processReady(now time.Duration) {
	for c.stopCause == nil && c.replica != nil {
		if c.updateRole(now); c.replica == nil {
			return
		}
		output, ready := c.replica.Ready()
		if !ready {
			return
		}
		c.applyOutput(now, output)
	}
}

func (c *Core) applyOutput(now time.Duration, output consensus.Output) {
	if err := c.env.Save(output.Save); err != nil {
		c.fail(err)
		return
	}
	c.sendMessages(now, output.Send)
	if output.Snapshot != nil {
		if err := c.decode(output.Snapshot); err != nil {
			c.fail(err)
			return
		}
		if output.Save.Replace && len(output.Snapshot) > 0 {
			c.env.Log("was far behind, and has received the group's whole state from its leader", "bytes", len(output.Snapshot))
		}
	}
	for _, e := range output.Apply {
		c.applyEntry(now, e)
	}
	c.replica.Advance(output)
	st := c.replica.Status()
	c.appliedIndex = st.Applied
	c.confirmedReads = append(c.confirmedReads, output.Reads...)
	c.confirmedReads = slices.DeleteFunc(c.confirmedReads, func(read consensus.ReadState) bool {
		if read.Index > c.appliedIndex {
			return false
		}
		c.readConfirmed(read.Ctx)
		for _, q := range c.readRequests[read.Ctx] {
			c.answerLeaseRequest(now, q)
		}
		delete(c.readRequests, read.Ctx)
		return true
	})
	if st.SnapshotDue {
		c.compact()
	}
}

// compact replaces the applied part of the log by a snapshot of the state.
func (c *Core) compact() {
	raw, err := c.encode()
	if err != nil {
		c.fail(err)
		return
	}
	save, err := c.replica.Compact(c.appliedIndex, raw)
	if err == nil {
		err = c.env.Save(save)
	}
	if err != nil {
		c.fail(err)
	}
}

// applyEntry applies one entry of the log.
func (c *Core) applyEntry(now time.Duration, e consensus.Entry) {
	var decoded entry
	if err := json.Unmarshal(e.Data, &decoded); err != nil ||
		decoded.Turns == nil && decoded.Writes == nil && decoded.Policies == nil && decoded.Replicas == nil {
		c.env.Log("log entry skipped: it is of a later version, or invalid", "index", e.Index, "error", err)
		return
	}
	var effects []sitesync.Effect
	var refused error
	switch {
	case decoded.Writes != nil:
		effects, refused = c.applyWrite(e.Index, *decoded.Writes)
	case decoded.Policies != nil:
		refused = c.applyPlan(e.Index, *decoded.Policies)
	case decoded.Replicas != nil:
		c.applyMembership(*decoded.Replicas)
	default:
		refused = c.applyTurnEntry(e.Index, decoded)
	}
	if decoded.RunID != c.RunID {
		return
	}
	delete(c.pendingProposals, decoded.Seq)
	if call, found := c.pendingCalls[decoded.Seq]; found {
		delete(c.pendingCalls, decoded.Seq)
		turn, _ := c.schedule.Turn(call.id)
		call.done(Reply{Turn: turn, Effects: effects}, refused)
	}
}

// applyTurnEntry applies an entry about turns, and returns why it was refused, or nil.
func (c *Core) applyTurnEntry(index uint64, command entry) (refused error) {
	c.lastStamp = max(c.lastStamp, command.Turns.At)
	if a := command.Turns.Alive; a != nil {
		delete(c.proposedAcks, a.Node) // acknowledgements proposed while it was declared dead were refused
	}
	for _, n := range c.schedule.Apply(index, *command.Turns) {
		if n.Kind == turns.NoticeRefused {
			refused = &RefusedError{ID: n.Turn, Why: n.Why}
		}
		if c.leading && (n.Kind != turns.NoticeRefused || command.RunID != c.RunID) {
			c.env.Log("turns", "notice", n.Kind.String(), "turn", n.Turn, "why", n.Why)
		}
	}
	return refused
}

// proposeTurnCommand proposes a command about turns and returns its number, 0 if this replica does not lead.
func (c *Core) proposeTurnCommand(now time.Duration, cmd turns.Command) uint64 {
	cmd.At = c.nextStamp(now)
	return c.proposeTracked(now, entry{Turns: &cmd})
}

// nextStamp returns the time stamp of the next command, never earlier than that of a previous one.
func (c *Core) nextStamp(now time.Duration) time.Duration {
	c.lastStamp = max(c.lastStamp, now)
	return c.lastStamp
}

// proposeTracked is proposeEntry for proposals that the leader makes by itself: it makes no other one while the entry is
// pending.
func (c *Core) proposeTracked(now time.Duration, e entry) uint64 {
	seq := c.proposeEntry(e)
	if seq != 0 {
		c.pendingProposals[seq] = now
	}
	return seq
}

// proposeEntry proposes an entry and returns its number, 0 if this replica does not lead.
func (c *Core) proposeEntry(e entry) uint64 {
	c.entryNumber++
	e.RunID, e.Seq = c.RunID, c.entryNumber
	raw, err := json.Marshal(e)
	if err == nil {
		err = c.replica.Propose(raw)
	}
	if err != nil {
		return 0
	}
	return c.entryNumber
}

// updateRole handles changes of the leader. On the leader it also starts quorum reads for queued lease requests, and
// proposes what is due, one entry at a time.
func (c *Core) updateRole(now time.Duration) {
	st := c.replica.Status()
	if c.handleNotMember(st.Err) {
		return
	}
	if st.Err != nil {
		c.fail(st.Err)
		return
	}
	c.noteVoterChanges(st)
	c.logConfirmed(st)
	if st.Leader != c.leaderID { // a new leader knows neither the leases nor the confirmations that the last one received
		c.leaderID = st.Leader
		c.leader = c.nodeOf(st.Leader)
		c.requestedFrom = slices.DeleteFunc(c.requestedFrom, func(node string) bool { return node == c.leader })
		c.nextRequestAt = max(c.firstRequestAt, min(c.nextRequestAt, now))
	}
	switch {
	case st.Leading && !c.leading:
		c.leaseTable.BecomeLeader(now)
		c.reachability = newReachability(c.ticks)
		c.proposedAcks = map[string]turns.Ack{}
		c.hostView.reset(now)
		c.pendingProposals = map[uint64]time.Duration{}
		c.nextOfferAt, c.lastAgedAt = 0, now
		c.forwarder, c.creditScheduler, c.callTarget = nil, nil, ""
		c.policies.rootHeardAt, c.policies.proposedRecords, c.policies.readRounds = 0, map[string]bool{}, map[uint64]time.Duration{}
		c.env.Log("leads the council", "site", c.Site.Own.Name, "term", st.Term)
	case !st.Leading && c.leading:
		c.leaseTable.Resign()
		c.env.Log("leads the council no more", "site", c.Site.Own.Name)
		c.leading = false // the requesters that get an answer below may call again at once
		c.refuseLeaseRequests()
		c.failPendingCalls(func(w pendingCall) bool { return w.idempotent })
		c.notifyLeadershipLost()
	}
	c.leading = st.Leading
	if !c.leading {
		return
	}
	c.reconcileVoters(now, st)
	if len(c.queuedRequests) > 0 && len(c.readRequests) < 4 {
		c.readNumber++
		ctx := c.RunID<<20 | c.readNumber&(1<<20-1)
		if c.replica.ReadIndex(ctx) == nil {
			c.readRequests[ctx], c.queuedRequests = c.queuedRequests, nil
			c.beginRead(now, ctx)
		}
	}
	c.forwardWrites(now)
	for seq, proposedAt := range c.pendingProposals {
		if now-proposedAt > proposalTimeout {
			delete(c.pendingProposals, seq)
		}
	}
	if len(c.pendingProposals) > 0 {
		return
	}
	if c.siteSync == nil {
		c.proposeWrite(now, c.firstWriteEntry(now), nil)
		c.pendingProposals[c.entryNumber] = now
		return
	}
	if own, others := c.siteSync.Waiting(); own+others+c.siteSync.Held() > 0 && now-c.lastAgedAt >= ageInterval {
		c.lastAgedAt = now
		c.proposeWrite(now, writeEntry{Command: &sitesync.Command{}}, nil)
	}
	if cmd, ok := c.nextTurnCommand(now); ok {
		c.proposeTurnCommand(now, cmd)
	} else if cmd, ok := c.nextPolicyCommand(now); ok {
		c.proposePolicy(now, cmd)
	}
}

// failPendingCalls answers the selected pending calls with an error that says that their outcome is unknown.
func (c *Core) failPendingCalls(matches func(pendingCall) bool) {
	for _, seq := range slices.Sorted(maps.Keys(c.pendingCalls)) { // in a fixed order, so that simulations are reproducible
		if w := c.pendingCalls[seq]; matches(w) {
			delete(c.pendingCalls, seq)
			w.done(Reply{}, &OutcomeUnknownError{ID: w.id})
		}
	}
}

// refuseLeaseRequests refuses all pending lease requests, since another replica may lead by now.
func (c *Core) refuseLeaseRequests() {
	waiting := c.queuedRequests
	for _, ctx := range slices.Sorted(maps.Keys(c.readRequests)) {
		waiting = append(waiting, c.readRequests[ctx]...)
	}
	c.queuedRequests, c.readRequests, c.confirmedReads = nil, map[uint64][]pendingRequest{}, nil
	for _, q := range waiting {
		q.done(&peerpb.RenewReply{Seq: q.request.Seq, Refused: "this node no longer leads the site's consensus group"})
	}
}

// ---- Calls ----

// Submit proposes an operator's call. done is called once, with a *NotLeaderError if another node leads.
func (c *Core) Submit(now time.Duration, call Call, done func(Reply, error)) {
	switch {
	case c.stopCause != nil:
		done(Reply{}, c.stopCause)
	case c.leading:
		if err := c.schedule.Check(call.Command); err != nil {
			turn, _ := c.schedule.Turn(call.ID)
			done(Reply{Turn: turn}, err)
			return
		}
		// A repeated request returns the existing turn without a log entry. Another leader may have newer state by now, for
		// example a revoked grant: the worker learns of it from Begin, which does go through the log.
		if t, known := c.schedule.Turn(call.ID); known && call.Command.Request != nil {
			done(Reply{Turn: t}, nil)
			return
		}
		seq := c.proposeTurnCommand(now, call.Command)
		if seq == 0 {
			done(Reply{}, &NoLeaderError{Site: c.Site.Own.Name})
			return
		}
		c.pendingCalls[seq] = pendingCall{id: call.ID, deadline: now + callTimeout, idempotent: true, done: done}
		c.processReady(now)
	default:
		done(Reply{}, c.notLeaderError())
	}
}

// AdmitReplica admits a node's replica whose store is not the one that the consensus group knows, in place of the node's
// previous replica. It reports whether there is such a replica.
func (c *Core) AdmitReplica(node string) bool {
	candidate := c.peers[node]
	if !c.leading || candidate == nil || !candidate.bootstrapped || slices.Contains(c.replica.Status().Voters, candidate.id) {
		return false
	}
	c.admitted = candidate.id
	return true
}

// ReplicaStatus returns the status of this node's replica, false if the node has none or belongs to no consensus group yet.
func (c *Core) ReplicaStatus() (consensus.Status, bool) {
	if c.replica == nil {
		return consensus.Status{}, false
	}
	return c.replica.Status(), true
}
