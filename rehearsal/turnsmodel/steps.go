package turnsmodel

import (
	"bytes"
	"slices"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/rehearsal/model"
)

// Op is a kind of step.
type Op uint8

// The kinds of steps.
const (
	Tick              Op = iota // time passes
	RequestLease                // a node requests its send lease; if all slots for calls are in use, another call of it is lost
	Receive                     // a request arrives at a replica
	ReceiveDuplicated           // a request arrives, and will arrive once more
	ReceiveAckLost              // a request arrives, and the acknowledgement in it is lost on its way into the log
	Respond                     // a replica responds
	Deliver                     // a response arrives
	Store                       // the content of the response is stored
	ApplyRestrictions           // the loop applies the newest restrictions
	ReportInEffect              // the loop reports to the control code that they are in effect
	Restart                     // the node's process restarts
	Elect                       // the other replica is elected
	StepDown                    // the former leader learns that it no longer leads
	Propose                     // a replica proposes the command that its schedule calls for
	Grant                       // a replica grants a turn
	RequestTurn                 // a turn is requested
	Withdraw                    // a turn is withdrawn
	Finish                      // the work begins and ends, and the host is back and warm
	SwitchFailure               // a host fails, or recovers
	CompleteCall                // a call is sent and answered in one step
	RevokeTurn                  // a replica revokes a turn that is blocked by a node whose link is cut
	Prepare                     // a replica starts to prepare a turn that may be prepared
	SwitchBan                   // an operator bans a host, or lifts the ban
	DeclareNode                 // a node is declared dead, or readmitted
	SwitchLink                  // a node's link is cut, or restored
)

// The stores with which a process restarts.
const (
	withStore   = iota
	withWritten // with the write that was in progress
	withNone    // the store is lost
	withOldCopy // by an injected bug: an old copy of the store is restored
)

func step(op Op, node, arg int) model.Step {
	return model.Step(op)<<16 | model.Step(node)<<8 | model.Step(arg)
}

// Decode splits a step into its parts.
func Decode(s model.Step) (op Op, node, arg int) {
	return Op(s >> 16), int(s >> 8 & 0xff), int(s & 0xff)
}

// Steps implements model.Model.
func (m *Model) Steps(s State, yield func(model.Step, State)) {
	if m.finished(&s) {
		return
	}
	if m.CurrentNodes > 0 {
		yieldPlain := yield
		yield = func(st model.Step, next State) {
			m.refreshCurrentNodes(&next)
			yieldPlain(st, next)
		}
	}
	next := s
	next.Tick++
	yield(step(Tick, 0, 0), next)
	for n := range m.Nodes - m.CurrentNodes {
		m.nodeSteps(&s, n, yield)
	}
	for replica := range s.Replicas {
		if s.Replicas[replica].BelievesLeader {
			m.replicaSteps(&s, replica, yield)
		}
	}
	if s.Remaining.LeaderChanges > 0 && s.Leader == 0 {
		next := s
		next.Remaining.LeaderChanges--
		next.Leader = 1
		next.Replicas[0].View = s.Log
		t := sendlease.NewTable(m.countedTerms)
		t.BecomeLeader(s.replicaNow() - m.bug.leadershipBackdated)
		next.Replicas[1] = Replica{BelievesLeader: true, Table: t}
		yield(step(Elect, 0, 0), next)
	}
	if s.Leader == 1 && s.Replicas[0].BelievesLeader {
		next := s
		next.Replicas[0] = Replica{}
		for n := range m.Nodes {
			next.Nodes[n].dropCalls(func(c *Call) bool { return c.Stage == AtReplica && c.Replica == 0 })
		}
		yield(step(StepDown, 0, 0), next)
	}
	m.operatorSteps(&s, yield)
}

// refreshCurrentNodes lets the nodes that are always current call until they know all that is new, and until the replicas know
// that they do.
func (m *Model) refreshCurrentNodes(s *State) {
	for i := m.Nodes - m.CurrentNodes; i < m.Nodes; i++ {
		for range 2 { // the first call fetches what is new, the second reports that it is in effect
			n := &s.Nodes[i]
			if s.Log.schedule.Dead(nodeNames[i]) || n.LoopRestrictions.LeaseEnd == s.nodeNow(i)+terms.Duration && n.responseApplied == s.Log.index &&
				n.responseRecorded == s.Log.schedule.ExclusionSet().Version {
				break
			}
			*s = m.atomicCall(s, i, Receive)
		}
	}
}

// dropCalls removes the calls that match.
func (n *Node) dropCalls(which func(*Call) bool) {
	kept := 0
	for i := range n.Calls {
		if c := n.Calls[i]; c.Stage != NoCall && !which(&c) {
			n.Calls[kept] = c
			kept++
		}
	}
	for ; kept < maxCalls; kept++ {
		n.Calls[kept] = Call{}
	}
}

// addCall adds a call in a free slot, of which there must be one.
func (n *Node) addCall(c Call) {
	for i := range n.Calls {
		if n.Calls[i].Stage == NoCall {
			n.Calls[i] = c
			return
		}
	}
}

// callsFull reports whether a node has the maximum number of calls in transit.
func (m *Model) callsFull(n *Node) bool { return n.Calls[m.MaxCalls-1].Stage != NoCall }

// finished reports whether no turn exists and none can follow: later states show nothing new.
func (m *Model) finished(s *State) bool {
	return s.Remaining.TurnRequests == 0 && s.Remaining.Bans == 0 && s.Log.turns == [MaxHosts]turns.Turn{} && s.Banned == [MaxHosts]bool{}
}

// queueRestrictions sends the newest restrictions to the loop, unless the loop already applies them.
func (m *Model) queueRestrictions(s *State, i int) {
	n := &s.Nodes[i]
	v := m.restrictions(s, i)
	n.QueuedRestrictions = nil
	if !bytes.Equal(v.Append(nil, s.nodeNow(i)), n.LoopRestrictions.Append(nil, s.nodeNow(i))) {
		n.QueuedRestrictions = &v
	}
	if m.ImmediateApply && n.QueuedRestrictions != nil {
		n.LoopRestrictions, n.QueuedRestrictions = n.QueuedRestrictions, nil
		n.markInEffect(v)
	}
}

// restrictions returns what a node's control code tells its loop not to use.
func (m *Model) restrictions(s *State, i int) sendlease.Restrictions {
	n := &s.Nodes[i]
	v := n.Holder.Restrictions()
	if m.bug.changeRestrictions != nil {
		v = m.bug.changeRestrictions(n, v)
	}
	return v
}

// markInEffect reports to a holder which restrictions its loop applies.
func (n *Node) markInEffect(v sendlease.Restrictions) {
	n.Holder = n.Holder.Clone()
	n.Holder.MarkInEffect(v)
}

// startNode starts a node's process with a store.
func (m *Model) startNode(s *State, i int, store sendlease.Saved) {
	n := &s.Nodes[i]
	n.dropCalls(func(c *Call) bool { return c.Stage != RequestInTransit })
	for c := range n.Calls {
		n.Calls[c].RequesterGone = true
		if n.Calls[c].Stage == NoCall {
			n.Calls[c] = Call{}
		}
	}
	n.Stored, n.Writing, n.QueuedRestrictions, n.UnreportedRestrictions, n.BugLeaseEnd, n.responseApplied, n.responseRecorded =
		&store, nil, nil, nil, 0, 0, 0
	n.Holder = sendlease.NewHolder(terms, nodeNames[i], store)
	v := m.restrictions(s, i)
	n.LoopRestrictions = &v
	n.markInEffect(v)
}

func (m *Model) nodeSteps(s *State, i int, yield func(model.Step, State)) {
	n := &s.Nodes[i]
	now := s.nodeNow(i)
	if m.AtomicCalls {
		m.atomicCallSteps(s, i, yield)
	} else if n.Writing == nil || m.bug.requestsWhileWriting {
		for slot := range m.MaxCalls {
			if n.Calls[slot].Stage == NoCall && slot > 0 && n.Calls[slot-1].Stage == NoCall || !m.callsFull(n) && n.Calls[slot].Stage != NoCall {
				continue // all free slots are equivalent
			}
			next := *s
			nextNode := &next.Nodes[i]
			if m.callsFull(nextNode) {
				seq, gone := nextNode.Calls[slot].Request.Seq, nextNode.Calls[slot].RequesterGone
				nextNode.dropCalls(func(c *Call) bool { return c.Request.Seq == seq && c.RequesterGone == gone })
			}
			nextNode.Holder = nextNode.Holder.Clone()
			request := nextNode.Holder.NextRequest(now)
			if m.bug.changeRequest != nil {
				request = m.bug.changeRequest(nextNode, request)
			}
			nextNode.addCall(Call{Stage: RequestInTransit, SentAt: now, Request: request})
			yield(step(RequestLease, i, slot), next)
		}
	}
	for slot := range n.Calls {
		switch c := &n.Calls[slot]; c.Stage {
		case RequestInTransit:
			for replica := range s.Replicas {
				if !s.Replicas[replica].BelievesLeader {
					continue
				}
				yield(step(Receive, i, slot<<1|replica), m.receive(s, i, slot, replica, Receive))
				if s.Remaining.DuplicateRequests > 0 && !m.callsFull(n) {
					yield(step(ReceiveDuplicated, i, slot<<1|replica), m.receive(s, i, slot, replica, ReceiveDuplicated))
				}
				if s.Remaining.LostProposals > 0 {
					yield(step(ReceiveAckLost, i, slot<<1|replica), m.receive(s, i, slot, replica, ReceiveAckLost))
				}
			}
		case AtReplica:
			yield(step(Respond, i, slot), m.respond(s, i, slot))
		case ResponseInTransit:
			if n.Writing == nil {
				yield(step(Deliver, i, slot), m.deliver(s, i, slot))
			}
		}
	}
	if n.Writing != nil {
		next := *s
		m.completeWrite(&next, i)
		yield(step(Store, i, 0), next)
	}
	if n.QueuedRestrictions != nil && n.UnreportedRestrictions == nil {
		next := *s
		nextNode := &next.Nodes[i]
		nextNode.LoopRestrictions, nextNode.QueuedRestrictions = nextNode.QueuedRestrictions, nil
		if m.DelayedReport {
			nextNode.UnreportedRestrictions = nextNode.LoopRestrictions
		} else {
			nextNode.markInEffect(*nextNode.LoopRestrictions)
		}
		yield(step(ApplyRestrictions, i, 0), next)
	}
	if n.UnreportedRestrictions != nil {
		next := *s
		next.Nodes[i].markInEffect(*n.UnreportedRestrictions)
		next.Nodes[i].UnreportedRestrictions = nil
		yield(step(ReportInEffect, i, 0), next)
	}
	restart := func(how int, store sendlease.Saved) {
		next := *s
		next.Remaining.Restarts--
		m.startNode(&next, i, store)
		yield(step(Restart, i, how), next)
	}
	if s.Remaining.Restarts > 0 {
		restart(withStore, *n.Stored)
		if n.Writing != nil {
			restart(withWritten, *n.Writing)
		}
		if n.OldCopy != nil {
			restart(withOldCopy, *n.OldCopy)
		}
	}
	if s.Remaining.StoreLosses > 0 {
		next := *s
		next.Remaining.StoreLosses--
		next.Nodes[i].WasAnswered = false
		m.startNode(&next, i, sendlease.Saved{Incarnation: n.Stored.Incarnation + 1})
		yield(step(Restart, i, withNone), next)
	}
}

// atomicCallSteps yields the steps of a node whose calls are one step each.
func (m *Model) atomicCallSteps(s *State, i int, yield func(model.Step, State)) {
	if s.Nodes[i].LinkCut {
		next := *s
		next.Nodes[i].LinkCut = false
		yield(step(SwitchLink, i, 0), next)
		return
	}
	if s.Remaining.LinkCuts > 0 {
		next := *s
		next.Remaining.LinkCuts--
		next.Nodes[i].LinkCut = true
		yield(step(SwitchLink, i, 1), next)
	}
	yield(step(CompleteCall, i, 0), m.atomicCall(s, i, Receive))
	if s.Remaining.LostProposals > 0 {
		yield(step(CompleteCall, i, 1), m.atomicCall(s, i, ReceiveAckLost))
	}
}

// atomicCall makes a call in one step.
func (m *Model) atomicCall(s *State, i int, how Op) State {
	next := *s
	nextNode := &next.Nodes[i]
	nextNode.Holder = nextNode.Holder.Clone()
	request := nextNode.Holder.NextRequest(s.nodeNow(i))
	if m.bug.changeRequest != nil {
		request = m.bug.changeRequest(nextNode, request)
	}
	nextNode.addCall(Call{Stage: RequestInTransit, SentAt: s.nodeNow(i), Request: request})
	next = m.receive(&next, i, 0, int(s.Leader), how)
	if next.Nodes[i].Calls[0].Stage == AtReplica {
		next = m.respond(&next, i, 0)
	}
	if c := &next.Nodes[i].Calls[0]; c.Stage == ResponseInTransit {
		applied, recorded := c.Response.Applied, c.Response.Recorded
		next = m.deliver(&next, i, 0)
		next.Nodes[i].responseApplied, next.Nodes[i].responseRecorded = applied, recorded
	}
	if next.Nodes[i].Writing != nil {
		m.completeWrite(&next, i)
	}
	return next
}

// completeWrite completes the write to a node's store that is in progress.
func (m *Model) completeWrite(next *State, i int) {
	nextNode := &next.Nodes[i]
	if m.bug.restoresOldStore && !bytes.Equal(encodeSaved(*nextNode.Stored), encodeSaved(*nextNode.Writing)) {
		nextNode.OldCopy = nextNode.Stored
	}
	nextNode.Stored, nextNode.Writing = nextNode.Writing, nil
	nextNode.Holder = nextNode.Holder.Clone()
	nextNode.Holder.MarkStored()
	m.queueRestrictions(next, i)
}

func encodeSaved(s sendlease.Saved) []byte {
	return sendlease.NewHolder(terms, "", s).Append(nil, 0, nil)
}

// commit appends a command to the log, from a leader or a former leader, and reports whether that changed the schedule.
func (s *State) commit(key commandKey, c turns.Command) bool {
	before := s.Log
	s.Log = before.extended(key, c)
	if s.Log == before {
		return false
	}
	for h, since := range s.ExcludedSince {
		if excluded := slices.ContainsFunc(s.Log.excludedHosts, func(o sendlease.ExcludedHost) bool {
			return o.Host == hostNames[h]
		}); !excluded {
			s.ExcludedSince[h] = 0
		} else if since == 0 {
			s.ExcludedSince[h] = s.Log.index
		}
	}
	return true
}

// receive handles a request that arrives at a replica which believes it leads. A quorum confirms only the replica that does lead.
func (m *Model) receive(s *State, i, slot, replica int, how Op) State {
	next := *s
	nextNode := &next.Nodes[i]
	c := nextNode.Calls[slot]
	if next.view(replica).schedule.Dead(c.Request.Node) { // the replica refuses the request; the model drops the call
		nextNode.dropCalls(func(call *Call) bool {
			return call.Stage == RequestInTransit && call.Request.Seq == c.Request.Seq && call.RequesterGone == c.RequesterGone
		})
		return next
	}
	t := s.Replicas[replica].Table.Clone()
	t.RecordConfirmed(s.replicaNow(), c.Request)
	next.Replicas[replica].Table = t
	ack := turns.Ack{Node: c.Request.Node, Incarnation: c.Request.Incarnation, Version: c.Request.Acked}
	alreadyProposed := m.bug.acksOnce && next.Replicas[replica].LastAcks[i] == ack
	if m.bug.acksOnce {
		next.Replicas[replica].LastAcks[i] = ack
	}
	if how == ReceiveAckLost {
		next.Remaining.LostProposals--
	} else if next.view(replica).schedule.RecordedVersionIn(c.Request.Node, c.Request.Incarnation) != c.Request.Acked && !alreadyProposed {
		next.commit(commandKey{op: Receive, id: c.Request.Node, a: c.Request.Incarnation, b: c.Request.Acked}, turns.Command{Ack: &ack})
	}
	answers := !c.RequesterGone && (replica == int(s.Leader) || m.bug.noQuorum)
	if how == ReceiveDuplicated {
		next.Remaining.DuplicateRequests--
		if answers {
			nextNode.addCall(Call{Stage: AtReplica, Replica: uint8(replica), SentAt: c.SentAt, Request: c.Request})
		}
	} else if answers {
		nextNode.Calls[slot].Stage, nextNode.Calls[slot].Replica = AtReplica, uint8(replica)
	} else {
		nextNode.dropCalls(func(call *Call) bool {
			return call.Stage == RequestInTransit && call.Request.Seq == c.Request.Seq && call.RequesterGone == c.RequesterGone
		})
	}
	if next.Remaining.LeaderChanges == 0 && replica == int(s.Leader) {
		// No other replica can become leader, so that a late request and a late response are equivalent.
		for slot := range nextNode.Calls {
			if nextNode.Calls[slot].Stage == AtReplica && int(nextNode.Calls[slot].Replica) == replica {
				next = m.respond(&next, i, slot)
			}
		}
	}
	return next
}

// respond sends the response of a replica that a quorum has confirmed as leader at some time before.
func (m *Model) respond(s *State, i, slot int) State {
	next := *s
	c := &next.Nodes[i].Calls[slot]
	view := s.view(int(c.Replica))
	if replica := &next.Replicas[c.Replica]; replica.BelievesLeader {
		replica.Table = replica.Table.Clone()
		replica.Table.RecordAnswered(s.replicaNow(), c.Request.Node)
	}
	c.Stage, c.Replica = ResponseInTransit, 0
	c.Response = sendlease.LeaseResponse{Seq: c.Request.Seq, Applied: view.index, ExcludedHosts: view.excludedHosts,
		ExclusionSet: view.schedule.ExclusionSet(), Recorded: view.schedule.RecordedVersionIn(c.Request.Node, c.Request.Incarnation)}
	if m.bug.excludedHosts != nil {
		c.Response.ExcludedHosts = m.bug.excludedHosts(view)
	}
	return next
}

// deliver handles a response that arrives. What must be saved is being written to the store before anything else follows.
func (m *Model) deliver(s *State, i, slot int) State {
	next := *s
	nextNode := &next.Nodes[i]
	response := nextNode.Calls[slot].Response
	nextNode.dropCalls(func(c *Call) bool {
		return c.Stage == ResponseInTransit && c.Request.Seq == response.Seq && bytes.Equal(c.Response.Append(nil), response.Append(nil))
	})
	nextNode.Holder = nextNode.Holder.Clone()
	if m.bug.changeResponse != nil {
		response = m.bug.changeResponse(&next, i, response)
	}
	save, changed := nextNode.Holder.HandleResponse(s.nodeNow(i), response)
	nextNode.WasAnswered = nextNode.WasAnswered || save
	if save {
		sv := nextNode.Holder.Saved()
		nextNode.Writing = &sv
	}
	if changed || m.bug.changeRestrictions != nil {
		m.queueRestrictions(&next, i)
	}
	// Nodes are declared dead only in worlds with AtomicCalls, so that this call was made after the node was readmitted.
	nextNode.Exempt = nextNode.Exempt && next.Log.schedule.Dead(nodeNames[i])
	return next
}

func (m *Model) replicaSteps(s *State, replica int, yield func(model.Step, State)) {
	view := s.view(replica)
	if m.UnrestrictedLeader {
		m.unrestrictedSteps(s, replica, yield)
	}
	if view.nextCommand != nil && !(m.UnrestrictedLeader && view.nextCommand.Prepare != nil) {
		if next := *s; next.commit(commandKey{op: Propose, scheduleSum: view.sum}, *view.nextCommand) {
			yield(step(Propose, replica, 0), next)
		}
	}
	for h := range m.Hosts {
		t := view.turns[h]
		if t.ID == "" || t.Phase != turns.Preparing || len(m.blockers(s, replica, t)) > 0 {
			continue
		}
		if next := *s; next.commit(commandKey{op: Grant, id: t.ID, a: t.Round}, turns.Command{Grant: &turns.Ref{ID: t.ID, Round: t.Round}}) {
			yield(step(Grant, replica, h), next)
		}
	}
	if m.AtomicCalls && view.nextCommand == nil && !m.bug.noRevoke {
		// The waiting time is not modelled: the turn may have waited long enough.
		if c, found := view.schedule.RevokeBlocked(1, m.nodeViews(s, replica), 0); found {
			c.At = 0
			if next := *s; next.commit(commandKey{op: RevokeTurn, id: c.Revoke.ID + c.Revoke.Why, a: c.Revoke.Round}, c) {
				yield(step(RevokeTurn, replica, 0), next)
			}
		}
	}
}

// unrestrictedSteps yields the steps of a replica that prepares and revokes whatever its schedule accepts.
func (m *Model) unrestrictedSteps(s *State, replica int, yield func(model.Step, State)) {
	for h := range m.Hosts {
		next, t := *s, s.view(replica).turns[h]
		c, op := turns.Command{Prepare: &turns.Ref{ID: t.ID}}, Prepare
		if t.Phase == turns.Preparing || t.Phase == turns.Granted {
			c, op = turns.Command{Revoke: &turns.Ref{ID: t.ID, Round: t.Round}}, RevokeTurn
		}
		if t.ID == "" || op == RevokeTurn && s.Remaining.Revocations == 0 || !next.commit(commandKey{op: op, id: t.ID, a: t.Round}, c) {
			continue
		}
		if op == RevokeTurn {
			next.Remaining.Revocations--
		}
		yield(step(op, replica, h), next)
	}
}

// nodeViews returns what a replica knows of the nodes.
func (m *Model) nodeViews(s *State, replica int) []turns.NodeView {
	views := make([]turns.NodeView, m.Nodes)
	t := s.Replicas[replica].Table
	for i := range views {
		name := nodeNames[i]
		views[i] = turns.NodeView{Node: name, LeaseExpired: t.LeaseState(s.replicaNow(), name) == sendlease.Expired, Confirmed: t.Confirmed(name)}
	}
	return views
}

// blockers returns what prevents a replica from granting a turn.
func (m *Model) blockers(s *State, replica int, t turns.Turn) []turns.Blocker {
	views := m.nodeViews(s, replica)
	if m.bug.blockers != nil {
		return m.bug.blockers(s, replica, t, views)
	}
	blockers := s.view(replica).schedule.Blockers(t.ID, views)
	for _, v := range views {
		if m.bug.waitsForDead && v.Confirmed[t.Host] != t.Round && s.view(replica).schedule.Dead(v.Node) {
			blockers = append(blockers, turns.Blocker{Node: v.Node})
		}
	}
	return blockers
}

func (m *Model) operatorSteps(s *State, yield func(model.Step, State)) {
	if m.OperatorsWait && s.Log.nextCommand != nil {
		return
	}
	for h := range m.Hosts {
		t := s.Log.turns[h]
		ref := turns.Ref{ID: t.ID}
		next := *s
		switch {
		case t.ID == "" && s.Remaining.TurnRequests > 0:
			next.Remaining.TurnRequests--
			request := turns.Request{ID: string([]byte{'t', '0' + s.Remaining.TurnRequests}), Host: hostNames[h], Duration: unit}
			if next.commit(commandKey{op: RequestTurn, id: request.ID, a: uint64(h)}, turns.Command{Request: &request}) {
				yield(step(RequestTurn, 0, h), next)
			}
		case t.ID != "" && t.Phase <= turns.Granted && s.Remaining.Withdrawals > 0:
			next.Remaining.Withdrawals--
			if next.commit(commandKey{op: Withdraw, id: t.ID}, turns.Command{Withdraw: &ref}) {
				yield(step(Withdraw, 0, h), next)
			}
		}
		if next := *s; t.ID != "" && t.Phase == turns.Granted {
			next.commit(commandKey{op: Finish, id: t.ID}, turns.Command{Begin: &ref})
			next.commit(commandKey{op: Finish, id: t.ID, a: 1}, turns.Command{Done: &ref})
			m.updateFleet(&next, m.lastHostFailed(s.Log.schedule))
			yield(step(Finish, 0, h), next)
		}
		if s.Banned[h] || s.Remaining.Bans > 0 {
			next := *s
			if !s.Banned[h] {
				next.Remaining.Bans--
			}
			next.Banned[h] = !s.Banned[h]
			m.updateFleet(&next, m.lastHostFailed(s.Log.schedule))
			yield(step(SwitchBan, 0, h), next)
		}
	}
	for i := range m.Nodes {
		dead := s.Log.schedule.Dead(nodeNames[i])
		if !dead && (s.Remaining.DeathDeclarations == 0 || i >= m.Nodes-m.CurrentNodes) {
			continue
		}
		next := *s
		declaration := turns.Declaration{Node: nodeNames[i]}
		c := turns.Command{Alive: &declaration}
		if !dead {
			next.Remaining.DeathDeclarations--
			next.Nodes[i].Exempt = true
			c = turns.Command{Dead: &declaration}
		}
		if next.commit(commandKey{op: DeclareNode, a: uint64(i), b: uint64(bits(dead))}, c) {
			yield(step(DeclareNode, i, int(bits(dead))), next)
		}
	}
	failed := m.lastHostFailed(s.Log.schedule)
	if s.Log.turns[m.Hosts-1].ID == "" && (failed || s.Remaining.Failures > 0) {
		next := *s
		if !failed {
			next.Remaining.Failures--
		}
		if m.updateFleet(&next, !failed) {
			yield(step(SwitchFailure, 0, m.Hosts-1), next)
		}
	}
}

// updateFleet commits the leader's observation of the hosts: all are warm, except that the last one may have failed.
func (m *Model) updateFleet(s *State, failed bool) bool {
	f := turns.Fleet{AppliedIndex: s.Log.index, Hosts: m.fleet(failed, s.Banned)}
	if m.bug.changeFleet != nil {
		m.bug.changeFleet(s, &f)
	}
	return s.commit(commandKey{op: SwitchFailure, scheduleSum: s.Log.sum, a: uint64(bits(failed)), b: uint64(bits(s.Banned[:]...))},
		turns.Command{Fleet: &f})
}

// fleet returns the hosts, the last of which may have failed.
func (m *Model) fleet(failed bool, banned [MaxHosts]bool) []turns.Host {
	hosts := make([]turns.Host, m.Hosts)
	for h := range hosts {
		hosts[h] = turns.Host{ID: hostNames[h], Warm: true, Banned: banned[h]}
	}
	if failed {
		hosts[m.Hosts-1].Warm, hosts[m.Hosts-1].Failed = false, true
	}
	return hosts
}

func (m *Model) lastHostFailed(schedule *turns.Schedule) bool {
	return schedule.Hosts()[m.Hosts-1].Failed
}
