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
	Tick     Op = iota // time passes
	AskRight           // a node asks for its right; where there is no room, another call of it is lost
	Receive            // a question comes to a seat
	Repeat             // it comes, and will come once more
	Unheard            // it comes, and what it acknowledges is lost on its way into the log
	Answer             // the seat answers
	Deliver            // the answer comes
	Store              // what it says stands in the store
	Take               // the loop takes the newest verdict
	Hear               // control hears of it
	Restart            // the node's process starts again
	Elect              // the other seat is elected
	Learn              // the seat that believed on learns of it
	Propose            // a seat proposes what follows from its book
	Grant              // a seat hands a host over
	AskTurn            // somebody asks for a turn
	Withdraw           // the turn is withdrawn
	Finish             // the work is begun and done, and the host is back and warm
	Fail               // a host fails by itself, or is back
	Renew              // a call goes there and back at once
	Stuck              // a seat calls a turn back that a node holds up which is cut off
	Prepare            // a seat has a host emptied that it may
	Ban                // an operator takes a host out by hand, or puts it back
	Declare            // a node is declared dead, or taken in anew
	Cut                // a node's link goes, or is mended
)

// The ways in which a process starts again.
const (
	withStore   = iota
	withWritten // what was on its way into the store got there
	withNone    // the store is lost
	withOlder   // by a planted bug: an older copy of it was put back
)

func step(o Op, node, arg int) model.Step {
	return model.Step(o)<<16 | model.Step(node)<<8 | model.Step(arg)
}

// Decode takes a step apart.
func Decode(s model.Step) (o Op, node, arg int) {
	return Op(s >> 16), int(s >> 8 & 0xff), int(s & 0xff)
}

// Steps implements model.Model.
func (m *Model) Steps(s State, yield func(model.Step, State)) {
	if m.over(&s) {
		return
	}
	if m.Steady > 0 {
		plain := yield
		yield = func(st model.Step, next State) {
			m.keep(&next)
			plain(st, next)
		}
	}
	next := s
	next.Tick++
	yield(step(Tick, 0, 0), next)
	for n := range m.Nodes - m.Steady {
		m.stepsOfNode(&s, n, yield)
	}
	for seat := range s.Seats {
		if s.Seats[seat].Believes {
			m.stepsOfSeat(&s, seat, yield)
		}
	}
	if s.Left.Changes > 0 && s.Lead == 0 {
		next := s
		next.Left.Changes--
		next.Lead = 1
		next.Seats[0].View = s.Log
		t := sendlease.NewTable(m.counted)
		t.BecomeLeader(s.seatNow() - m.plant.leadsSince)
		next.Seats[1] = Seat{Believes: true, Table: t}
		yield(step(Elect, 0, 0), next)
	}
	if s.Lead == 1 && s.Seats[0].Believes {
		next := s
		next.Seats[0] = Seat{}
		for n := range m.Nodes {
			next.Nodes[n].drop(func(c *Call) bool { return c.Stage == Held && c.Seat == 0 })
		}
		yield(step(Learn, 0, 0), next)
	}
	m.stepsOfOperators(&s, yield)
}

// keep has the nodes that are steady call until they know all there is to know, and it is known of them.
func (m *Model) keep(s *State) {
	for i := m.Nodes - m.Steady; i < m.Nodes; i++ {
		for range 2 { // what is new, and that it is in effect
			n := &s.Nodes[i]
			if s.Log.book.Dead(nodeNames[i]) || n.Loop.LeaseEnd == s.now(i)+terms.Duration && n.heard == s.Log.index &&
				n.recorded == s.Log.book.ExclusionSet().Version {
				break
			}
			*s = m.whole(s, i, Receive)
		}
	}
}

// drop takes calls away.
func (n *Node) drop(which func(*Call) bool) {
	kept := 0
	for i := range n.Calls {
		if c := n.Calls[i]; c.Stage != NoCall && !which(&c) {
			n.Calls[kept] = c
			kept++
		}
	}
	for ; kept < calls; kept++ {
		n.Calls[kept] = Call{}
	}
}

// add puts a call in, of which there is room.
func (n *Node) add(c Call) {
	for i := range n.Calls {
		if n.Calls[i].Stage == NoCall {
			n.Calls[i] = c
			return
		}
	}
}

// full says whether a node has as many calls on their way as it may.
func (m *Model) full(n *Node) bool { return n.Calls[m.Calls-1].Stage != NoCall }

// over says whether there is no turn any more, and none to come: what follows shows nothing.
func (m *Model) over(s *State) bool {
	return s.Left.Asks == 0 && s.Left.Bans == 0 && s.Log.turns == [MaxHosts]turns.Turn{} && s.Banned == [MaxHosts]bool{}
}

// offer gives the loop the newest verdict, unless it goes by it already.
func (m *Model) offer(s *State, i int) {
	n := &s.Nodes[i]
	v := m.verdict(s, i)
	n.Queue = nil
	if !bytes.Equal(v.Append(nil, s.now(i)), n.Loop.Append(nil, s.now(i))) {
		n.Queue = &v
	}
	if m.Prompt && n.Queue != nil {
		n.Loop, n.Queue = n.Queue, nil
		n.inEffect(v)
	}
}

// verdict is what a node's control says to its loop.
func (m *Model) verdict(s *State, i int) sendlease.Restrictions {
	n := &s.Nodes[i]
	v := n.Holder.Restrictions()
	if m.plant.verdict != nil {
		v = m.plant.verdict(n, v)
	}
	return v
}

// inEffect tells a holder what its loop goes by.
func (n *Node) inEffect(v sendlease.Restrictions) {
	n.Holder = n.Holder.Clone()
	n.Holder.MarkInEffect(v)
}

// start starts a node's process with a store.
func (m *Model) start(s *State, i int, store sendlease.Saved) {
	n := &s.Nodes[i]
	n.drop(func(c *Call) bool { return c.Stage != Asked })
	for c := range n.Calls {
		n.Calls[c].Gone = true
		if n.Calls[c].Stage == NoCall {
			n.Calls[c] = Call{}
		}
	}
	n.Durable, n.Writing, n.Queue, n.Word, n.Late, n.heard, n.recorded = &store, nil, nil, nil, 0, 0, 0
	n.Holder = sendlease.NewHolder(terms, nodeNames[i], store)
	v := m.verdict(s, i)
	n.Loop = &v
	n.inEffect(v)
}

func (m *Model) stepsOfNode(s *State, i int, yield func(model.Step, State)) {
	n := &s.Nodes[i]
	now := s.now(i)
	if m.Whole {
		m.stepsOfCalls(s, i, yield)
	} else if n.Writing == nil || m.plant.asksWhileWriting {
		for slot := range m.Calls {
			if n.Calls[slot].Stage == NoCall && slot > 0 && n.Calls[slot-1].Stage == NoCall || !m.full(n) && n.Calls[slot].Stage != NoCall {
				continue // one free place is as good as another
			}
			next := *s
			x := &next.Nodes[i]
			if m.full(x) {
				seq, gone := x.Calls[slot].Q.Seq, x.Calls[slot].Gone
				x.drop(func(c *Call) bool { return c.Q.Seq == seq && c.Gone == gone })
			}
			x.Holder = x.Holder.Clone()
			q := x.Holder.NextRequest(now)
			if m.plant.question != nil {
				q = m.plant.question(x, q)
			}
			x.add(Call{Stage: Asked, At: now, Q: q})
			yield(step(AskRight, i, slot), next)
		}
	}
	for slot := range n.Calls {
		switch c := &n.Calls[slot]; c.Stage {
		case Asked:
			for seat := range s.Seats {
				if !s.Seats[seat].Believes {
					continue
				}
				yield(step(Receive, i, slot<<1|seat), m.receive(s, i, slot, seat, Receive))
				if s.Left.Repeats > 0 && !m.full(n) {
					yield(step(Repeat, i, slot<<1|seat), m.receive(s, i, slot, seat, Repeat))
				}
				if s.Left.Proposals > 0 {
					yield(step(Unheard, i, slot<<1|seat), m.receive(s, i, slot, seat, Unheard))
				}
			}
		case Held:
			yield(step(Answer, i, slot), m.answer(s, i, slot))
		case Answered:
			if n.Writing == nil {
				yield(step(Deliver, i, slot), m.deliver(s, i, slot))
			}
		}
	}
	if n.Writing != nil {
		next := *s
		m.stored(&next, i)
		yield(step(Store, i, 0), next)
	}
	if n.Queue != nil && n.Word == nil {
		next := *s
		x := &next.Nodes[i]
		x.Loop, x.Queue = x.Queue, nil
		if m.LateWord {
			x.Word = x.Loop
		} else {
			x.inEffect(*x.Loop)
		}
		yield(step(Take, i, 0), next)
	}
	if n.Word != nil {
		next := *s
		next.Nodes[i].inEffect(*n.Word)
		next.Nodes[i].Word = nil
		yield(step(Hear, i, 0), next)
	}
	restart := func(how int, store sendlease.Saved) {
		next := *s
		next.Left.Restarts--
		m.start(&next, i, store)
		yield(step(Restart, i, how), next)
	}
	if s.Left.Restarts > 0 {
		restart(withStore, *n.Durable)
		if n.Writing != nil {
			restart(withWritten, *n.Writing)
		}
		if n.Older != nil {
			restart(withOlder, *n.Older)
		}
	}
	if s.Left.Losses > 0 {
		next := *s
		next.Left.Losses--
		next.Nodes[i].Told = false
		m.start(&next, i, sendlease.Saved{Incarnation: n.Durable.Incarnation + 1})
		yield(step(Restart, i, withNone), next)
	}
}

// stepsOfCalls are the steps of a node whose calls are one step each.
func (m *Model) stepsOfCalls(s *State, i int, yield func(model.Step, State)) {
	if s.Nodes[i].Cut {
		next := *s
		next.Nodes[i].Cut = false
		yield(step(Cut, i, 0), next)
		return
	}
	if s.Left.Cuts > 0 {
		next := *s
		next.Left.Cuts--
		next.Nodes[i].Cut = true
		yield(step(Cut, i, 1), next)
	}
	yield(step(Renew, i, 0), m.whole(s, i, Receive))
	if s.Left.Proposals > 0 {
		yield(step(Renew, i, 1), m.whole(s, i, Unheard))
	}
}

// whole is a call that is one step.
func (m *Model) whole(s *State, i int, how Op) State {
	next := *s
	x := &next.Nodes[i]
	x.Holder = x.Holder.Clone()
	q := x.Holder.NextRequest(s.now(i))
	if m.plant.question != nil {
		q = m.plant.question(x, q)
	}
	x.add(Call{Stage: Asked, At: s.now(i), Q: q})
	next = m.receive(&next, i, 0, int(s.Lead), how)
	if next.Nodes[i].Calls[0].Stage == Held {
		next = m.answer(&next, i, 0)
	}
	if c := &next.Nodes[i].Calls[0]; c.Stage == Answered {
		applied, recorded := c.A.Applied, c.A.Recorded
		next = m.deliver(&next, i, 0)
		next.Nodes[i].heard, next.Nodes[i].recorded = applied, recorded
	}
	if next.Nodes[i].Writing != nil {
		m.stored(&next, i)
	}
	return next
}

// stored says that what was on its way into a node's store is there.
func (m *Model) stored(next *State, i int) {
	x := &next.Nodes[i]
	if m.plant.older && !bytes.Equal(saved(*x.Durable), saved(*x.Writing)) {
		x.Older = x.Durable
	}
	x.Durable, x.Writing = x.Writing, nil
	x.Holder = x.Holder.Clone()
	x.Holder.MarkStored()
	m.offer(next, i)
}

func saved(s sendlease.Saved) []byte { return sendlease.NewHolder(terms, "", s).Append(nil, 0, nil) }

// commit puts a command into the log, whoever proposed it. It says whether that changed anything.
func (s *State) commit(name change, c turns.Command) bool {
	before := s.Log
	s.Log = before.with(name, c)
	if s.Log == before {
		return false
	}
	for h, since := range s.Since {
		if out := slices.ContainsFunc(s.Log.outs, func(o sendlease.ExcludedHost) bool { return o.Host == hostNames[h] }); !out {
			s.Since[h] = 0
		} else if since == 0 {
			s.Since[h] = s.Log.index
		}
	}
	return true
}

// receive is a question that comes to a seat that believes that it leads. A quorum confirms the one that does.
func (m *Model) receive(s *State, i, slot, seat int, how Op) State {
	next := *s
	x := &next.Nodes[i]
	c := x.Calls[slot]
	if next.view(seat).book.Dead(c.Q.Node) { // what it says counts for nothing, and it is told so
		x.drop(func(y *Call) bool { return y.Stage == Asked && y.Q.Seq == c.Q.Seq && y.Gone == c.Gone })
		return next
	}
	t := s.Seats[seat].Table.Clone()
	t.RecordConfirmed(s.seatNow(), c.Q)
	next.Seats[seat].Table = t
	ack := turns.Ack{Node: c.Q.Node, Incarnation: c.Q.Incarnation, Version: c.Q.Acked}
	once := m.plant.ackOnce && next.Seats[seat].Acking[i] == ack
	if m.plant.ackOnce {
		next.Seats[seat].Acking[i] = ack
	}
	if how == Unheard {
		next.Left.Proposals--
	} else if next.view(seat).book.RecordedVersionIn(c.Q.Node, c.Q.Incarnation) != c.Q.Acked && !once {
		next.commit(change{op: Receive, id: c.Q.Node, a: c.Q.Incarnation, b: c.Q.Acked}, turns.Command{Ack: &ack})
	}
	answers := !c.Gone && (seat == int(s.Lead) || m.plant.noQuorum)
	if how == Repeat {
		next.Left.Repeats--
		if answers {
			x.add(Call{Stage: Held, Seat: uint8(seat), At: c.At, Q: c.Q})
		}
	} else if answers {
		x.Calls[slot].Stage, x.Calls[slot].Seat = Held, uint8(seat)
	} else {
		x.drop(func(y *Call) bool { return y.Stage == Asked && y.Q.Seq == c.Q.Seq && y.Gone == c.Gone })
	}
	if next.Left.Changes == 0 && seat == int(s.Lead) {
		// Nobody else will lead, so that it does not matter whether the question is late or the answer.
		for slot := range x.Calls {
			if x.Calls[slot].Stage == Held && int(x.Calls[slot].Seat) == seat {
				next = m.answer(&next, i, slot)
			}
		}
	}
	return next
}

// answer is the answer of a seat that a quorum has confirmed, at whatever time that was.
func (m *Model) answer(s *State, i, slot int) State {
	next := *s
	c := &next.Nodes[i].Calls[slot]
	view := s.view(int(c.Seat))
	if seat := &next.Seats[c.Seat]; seat.Believes {
		seat.Table = seat.Table.Clone()
		seat.Table.RecordAnswered(s.seatNow(), c.Q.Node)
	}
	c.Stage, c.Seat = Answered, 0
	c.A = sendlease.LeaseResponse{Seq: c.Q.Seq, Applied: view.index, ExcludedHosts: view.outs, ExclusionSet: view.book.ExclusionSet(),
		Recorded: view.book.RecordedVersionIn(c.Q.Node, c.Q.Incarnation)}
	if m.plant.outs != nil {
		c.A.ExcludedHosts = m.plant.outs(view)
	}
	return next
}

// deliver is an answer that comes. What is to be saved is on its way into the store before anything else follows.
func (m *Model) deliver(s *State, i, slot int) State {
	next := *s
	x := &next.Nodes[i]
	a := x.Calls[slot].A
	x.drop(func(c *Call) bool {
		return c.Stage == Answered && c.Q.Seq == a.Seq && bytes.Equal(c.A.Append(nil), a.Append(nil))
	})
	x.Holder = x.Holder.Clone()
	if m.plant.answer != nil {
		a = m.plant.answer(&next, i, a)
	}
	save, changed := x.Holder.HandleResponse(s.now(i), a)
	x.Told = x.Told || save
	if save {
		sv := x.Holder.Saved()
		x.Writing = &sv
	}
	if changed || m.plant.verdict != nil {
		m.offer(&next, i)
	}
	x.Excused = x.Excused && next.Log.book.Dead(nodeNames[i]) // a call is one step there: this was made after it was taken in
	return next
}

func (m *Model) stepsOfSeat(s *State, seat int, yield func(model.Step, State)) {
	view := s.view(seat)
	if m.Free {
		m.stepsOfFree(s, seat, yield)
	}
	if view.next != nil && !(m.Free && view.next.Prepare != nil) {
		if next := *s; next.commit(change{op: Propose, of: view.sum}, *view.next) {
			yield(step(Propose, seat, 0), next)
		}
	}
	for h := range m.Hosts {
		t := view.turns[h]
		if t.ID == "" || t.Phase != turns.Preparing || len(m.clear(s, seat, t)) > 0 {
			continue
		}
		if next := *s; next.commit(change{op: Grant, id: t.ID, a: t.Round}, turns.Command{Grant: &turns.Ref{ID: t.ID, Round: t.Round}}) {
			yield(step(Grant, seat, h), next)
		}
	}
	if m.Whole && view.next == nil && !m.plant.noStuck {
		// Whoever waits may have lost patience: how long it has waited is left open.
		if c, any := view.book.RevokeBlocked(1, m.views(s, seat), 0); any {
			c.At = 0
			if next := *s; next.commit(change{op: Stuck, id: c.Revoke.ID + c.Revoke.Why, a: c.Revoke.Round}, c) {
				yield(step(Stuck, seat, 0), next)
			}
		}
	}
}

// stepsOfFree are those of a seat that prepares and calls back whatever its book allows.
func (m *Model) stepsOfFree(s *State, seat int, yield func(model.Step, State)) {
	for h := range m.Hosts {
		next, t := *s, s.view(seat).turns[h]
		c, what := turns.Command{Prepare: &turns.Ref{ID: t.ID}}, Prepare
		if t.Phase == turns.Preparing || t.Phase == turns.Granted {
			c, what = turns.Command{Revoke: &turns.Ref{ID: t.ID, Round: t.Round}}, Stuck
		}
		if t.ID == "" || what == Stuck && s.Left.CallBacks == 0 || !next.commit(change{op: what, id: t.ID, a: t.Round}, c) {
			continue
		}
		if what == Stuck {
			next.Left.CallBacks--
		}
		yield(step(what, seat, h), next)
	}
}

// views is what a seat knows of the nodes.
func (m *Model) views(s *State, seat int) []turns.NodeView {
	views := make([]turns.NodeView, m.Nodes)
	t := s.Seats[seat].Table
	for i := range views {
		name := nodeNames[i]
		views[i] = turns.NodeView{Node: name, LeaseExpired: t.LeaseState(s.seatNow(), name) == sendlease.Expired, Confirmed: t.Confirmed(name)}
	}
	return views
}

// clear returns what keeps a seat from handing a host over.
func (m *Model) clear(s *State, seat int, t turns.Turn) []turns.Blocker {
	views := m.views(s, seat)
	if m.plant.clear != nil {
		return m.plant.clear(s, seat, t, views)
	}
	blockers := s.view(seat).book.Blockers(t.ID, views)
	for _, v := range views {
		if m.plant.waitsForDead && v.Confirmed[t.Host] != t.Round && s.view(seat).book.Dead(v.Node) {
			blockers = append(blockers, turns.Blocker{Node: v.Node})
		}
	}
	return blockers
}

func (m *Model) stepsOfOperators(s *State, yield func(model.Step, State)) {
	if m.Settled && s.Log.next != nil {
		return
	}
	for h := range m.Hosts {
		t := s.Log.turns[h]
		ref := turns.Ref{ID: t.ID}
		next := *s
		switch {
		case t.ID == "" && s.Left.Asks > 0:
			next.Left.Asks--
			ask := turns.Request{ID: string([]byte{'t', '0' + s.Left.Asks}), Host: hostNames[h], Duration: unit}
			if next.commit(change{op: AskTurn, id: ask.ID, a: uint64(h)}, turns.Command{Request: &ask}) {
				yield(step(AskTurn, 0, h), next)
			}
		case t.ID != "" && t.Phase <= turns.Granted && s.Left.Withdrawals > 0:
			next.Left.Withdrawals--
			if next.commit(change{op: Withdraw, id: t.ID}, turns.Command{Withdraw: &ref}) {
				yield(step(Withdraw, 0, h), next)
			}
		}
		if next := *s; t.ID != "" && t.Phase == turns.Granted {
			next.commit(change{op: Finish, id: t.ID}, turns.Command{Begin: &ref})
			next.commit(change{op: Finish, id: t.ID, a: 1}, turns.Command{Done: &ref})
			m.look(&next, m.failed(s.Log.book))
			yield(step(Finish, 0, h), next)
		}
		if s.Banned[h] || s.Left.Bans > 0 {
			next := *s
			if !s.Banned[h] {
				next.Left.Bans--
			}
			next.Banned[h] = !s.Banned[h]
			m.look(&next, m.failed(s.Log.book))
			yield(step(Ban, 0, h), next)
		}
	}
	for i := range m.Nodes {
		dead := s.Log.book.Dead(nodeNames[i])
		if !dead && (s.Left.Deaths == 0 || i >= m.Nodes-m.Steady) {
			continue
		}
		next := *s
		d := turns.Declaration{Node: nodeNames[i]}
		c := turns.Command{Alive: &d}
		if !dead {
			next.Left.Deaths--
			next.Nodes[i].Excused = true
			c = turns.Command{Dead: &d}
		}
		if next.commit(change{op: Declare, a: uint64(i), b: uint64(bits(dead))}, c) {
			yield(step(Declare, i, int(bits(dead))), next)
		}
	}
	failed := m.failed(s.Log.book)
	if s.Log.turns[m.Hosts-1].ID == "" && (failed || s.Left.Failures > 0) {
		next := *s
		if !failed {
			next.Left.Failures--
		}
		if m.look(&next, !failed) {
			yield(step(Fail, 0, m.Hosts-1), next)
		}
	}
}

// look is the leader's look at the hosts, all of them warm, the last of which may have failed.
func (m *Model) look(s *State, failed bool) bool {
	f := turns.Fleet{AppliedIndex: s.Log.index, Hosts: m.fleet(failed, s.Banned)}
	if m.plant.fleet != nil {
		m.plant.fleet(s, &f)
	}
	return s.commit(change{op: Fail, of: s.Log.sum, a: uint64(bits(failed)), b: uint64(bits(s.Banned[:]...))}, turns.Command{Fleet: &f})
}

// fleet is the hosts, the last of which may have failed.
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

func (m *Model) failed(b *turns.Schedule) bool { return b.Hosts()[m.Hosts-1].Failed }
