package query

import (
	"cmp"
	"slices"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/lifecycle"
)

// This file counts the outcomes of requests, as evidence for or against a policy. The counting does not depend on the
// settings, so that counts under different policies differ only by what the policies do to the clients. There are three
// exceptions: clients that were refused or failed come back, here or at another node, and are offered again; connections
// that are served for longer have more time to break; and connections that were established before a policy came into
// effect may break under it.
//
// A request is counted once, when its client no longer waits for an answer, so that in each set of counts
//
//	Offered = Served + Refused + Failed + TimedOut + those whose client left, or was at fault, before its answer.
//
// Not counted are connections that this process inherited or adopted: another process placed them, they can go to one host
// only, and they arrive when that process ends. Nor are requests that the acceptor rejects for what the client sent, since
// no policy changes that.
//
//	Offered   requests that got their final answer or were abandoned by their client, including those of clients that come
//	          back, try again or hold packets of an earlier connection, and those that the acceptor throttled because
//	          there were too many connections.
//	Served    those whose connection was established, or that a host served completely at once.
//	TimedOut  those not served that were answered when their answer was due or later, whatever the answer was.
//	Refused   those throttled before that.
//	Failed    those answered before that with a failure.
//	Breaks    connections counted as served, at any time, that did not end well: the host ended them without BYE or MOVE,
//	          or stopped responding. Counted when that happens, so they may be counted as served in an earlier set.
//	Moves     connections counted as served, at any time, whose client was told to reconnect: by the host, by the
//	          balancer, by an operator, because the node stops, or because of a line that cannot be passed on.
//	SetUp     of established connections, the time from the arrival of the request to the answer, including all attempts.
//
// A connection that another process of the node takes over, or that its client ends, counts neither as a break nor as a
// move.

// maxCells is the number of combinations of class and tenant that are counted separately. Further tenants are
// counted under their class without a tenant, which adds at most one cell for each class in the settings.
const maxCells = 64

// The guards that may fire, as a sign that a policy misbehaves.
const (
	// GuardOverdue fires when the balancer held a request for so long that its deadline timer answered it, on
	// time. If the process itself was suspended, the timer fires late, and that is not a fault of the policy.
	GuardOverdue = "overdue"
	// GuardImpossible fires on an event that cannot happen in the state of its request.
	GuardImpossible = "impossible"
)

// counter counts the outcomes of requests. Core.counter is nil unless counting is on.
type counter struct {
	cells  map[cell]*tally
	setUps map[string]rollout.SetUps // by class
	guards []string                  // that have fired, each once
}

type cell struct{ class, tenant string }

type tally struct{ offered, served, refused, failed, timedOut, breaks, moves uint64 }

// SetCounting starts counting, or stops it and discards the counts.
func (c *Core) SetCounting(on bool) {
	switch {
	case !on:
		c.counter = nil
	case c.counter == nil:
		c.counter = &counter{cells: map[cell]*tally{}, setUps: map[string]rollout.SetUps{}}
	}
}

// GuardFired reports whether a guard has fired since ResetCounts.
func (c *Core) GuardFired() bool { return c.counter != nil && len(c.counter.guards) > 0 }

// Counts returns the counts since ResetCounts, sorted by class and tenant, and the guards that have fired. value
// gives the value of a served request of a class; it should not depend on the policy under evaluation.
func (c *Core) Counts(value func(class string) float64) (all []rollout.Counts, guards []string) {
	n := c.counter
	if n == nil {
		return nil, nil
	}
	for key, t := range n.cells {
		if *t != (tally{}) {
			all = append(all, rollout.Counts{Class: key.class, Tenant: key.tenant, Offered: t.offered, Served: t.served,
				Refused: t.refused, Failed: t.failed, TimedOut: t.timedOut, Breaks: t.breaks, Moves: t.moves,
				Value: float64(t.served) * value(key.class)})
		}
	}
	for class, setUps := range n.setUps {
		i := slices.IndexFunc(all, func(counts rollout.Counts) bool { return counts.Class == class && counts.Tenant == "" })
		if i < 0 {
			i = len(all)
			all = append(all, rollout.Counts{Class: class})
		}
		all[i].SetUp = setUps.Bytes()
	}
	slices.SortFunc(all, func(a, b rollout.Counts) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	return all, slices.Clone(n.guards)
}

// ResetCounts sets all counts to zero. Cells without a count since the last reset are removed, to make room for
// others.
func (c *Core) ResetCounts() {
	n := c.counter
	if n == nil {
		return
	}
	for key, t := range n.cells {
		if *t == (tally{}) {
			delete(n.cells, key)
		}
		*t = tally{}
	}
	clear(n.setUps)
	n.guards = n.guards[:0]
}

// CountThrottled counts a request that the acceptor throttled before it reached the core.
func (c *Core) CountThrottled(class, tenant string) {
	if c.counter != nil {
		t := c.counter.tallyOf(class, tenant)
		t.offered++
		t.refused++
	}
}

func (n *counter) tallyOf(class, tenant string) *tally {
	t := n.cells[cell{class, tenant}]
	if t == nil {
		if tenant != "" && len(n.cells) >= maxCells {
			return n.tallyOf(class, "")
		}
		t = &tally{}
		n.cells[cell{class, tenant}] = t
	}
	return t
}

func (n *counter) recordGuard(guard string) {
	if !slices.Contains(n.guards, guard) {
		n.guards = append(n.guards, guard)
	}
}

// recordStep records a step of a request from the state prev to its present state, before the effects are carried
// out.
func (n *counter) recordStep(r *Request, prev lifecycle.State, kind lifecycle.Kind, effects *lifecycle.Effects, data *eventData) {
	switch {
	case effects.Has(lifecycle.LogUnexpected):
		n.recordGuard(GuardImpossible)
	case r.state.Inherited:
	case prev.AwaitsAnswer() && !r.state.AwaitsAnswer():
		n.recordAnswer(r, kind, effects)
	case prev.Phase == lifecycle.Established && r.state.Phase == lifecycle.Finished:
		n.recordEnd(r, kind, data)
	}
}

// recordAnswer counts a request whose client no longer waits for an answer.
func (n *counter) recordAnswer(r *Request, kind lifecycle.Kind, effects *lifecycle.Effects) {
	a, t := &r.arrival, n.tallyOf(r.arrival.Class, r.arrival.Tenant)
	left := r.TimeLeft()
	t.offered++
	switch {
	case r.state.Phase == lifecycle.Established:
		t.served++
		n.recordSetUp(a.Class, a.TimeLeft-left)
	case effects.Has(lifecycle.AnswerServed):
		t.served++
	case kind == lifecycle.ClientGone || kind == lifecycle.ClientFaulty:
	case left <= 0:
		t.timedOut++
	case effects.Has(lifecycle.AnswerThrottle):
		t.refused++
	default:
		t.failed++
	}
	if kind == lifecycle.Deadline && -left <= deadlineTimerDelay+sweepInterval {
		n.recordGuard(GuardOverdue)
	}
}

// recordSetUp records that a connection was established at the given time after its request arrived.
func (n *counter) recordSetUp(class string, after time.Duration) {
	setUps, known := n.setUps[class]
	if !known {
		setUps = rollout.NewSetUps()
		n.setUps[class] = setUps
	}
	setUps.Add(after)
}

// recordEnd counts the end of an established connection.
func (n *counter) recordEnd(r *Request, kind lifecycle.Kind, data *eventData) {
	t := n.tallyOf(r.arrival.Class, r.arrival.Tenant)
	switch {
	case kind == lifecycle.ClientGone, kind == lifecycle.HandOver, kind == lifecycle.HostServed:
	case kind == lifecycle.HostEnded && data.outcome == balance.Cancelled:
		t.moves++
	case kind == lifecycle.HostEnded, kind == lifecycle.Move && data.outcome == balance.Reset:
		t.breaks++
	default:
		t.moves++
	}
}
