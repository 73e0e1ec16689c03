package query

import (
	"cmp"
	"slices"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/lifecycle"
)

// This file counts what became of the queries, as evidence of a policy. What is counted is meant to be the same under any
// policy but for what the policy does to the clients: nothing here goes by the settings. Three things depend on the policy all
// the same: clients that were refused or failed come again, here or elsewhere, and are offered once more; connections that
// are served longer have more time to break; and what stood when a policy came may break under it.
//
// A query is counted once, when its client is no longer owed an answer, so that in each sum
//
//	Offered = Served + Refused + Failed + TimedOut + those whose client left, or was at fault, before its answer.
//
// Not counted are connections that this process inherited or adopted: they were placed by another process, can go to one host
// only, and come when that other one ends; and what the door turns away as it speaks, which no policy changes.
//
//	Offered   queries that came to their final answer or were left by their client, with those that come back, try again or
//	          hold packets of an earlier connection, and those that the door throttled for want of connections.
//	Served    those whose connection stood, or that a host served to the end at once.
//	TimedOut  those not served that were answered when their answer was due or later, whatever the answer was.
//	Refused   those throttled before that.
//	Failed    those told before that that they were not served.
//	Breaks    connections counted as served, at whatever time, that ended otherwise than well: the host ended them without
//	          BYE or MOVE, or fell silent. Counted when that happens, so that they may be of an earlier sum.
//	Moves     connections counted as served, at whatever time, whose client was sent away politely: by the host, by the
//	          balancer, by an operator, since the node leaves, or for a line that cannot be passed on.
//	SetUp     of connections that stand, the time from the query's arrival to the answer, with all attempts before.
//
// What another process of the node carries on, and what its client ended, broke as little as it moved.

// mostCells is how many classes and tenants are told apart. What is beyond is counted for the class without a tenant, of
// which there are as many more as the settings name.
const maxCells = 64

// The guards that may fire.
const (
	// GuardOverdue is that the balancer held a query until its time was up and the guard of its deadline answered it, at its
	// time: where the process itself stood still, the guard fires late and that is no fault of a policy.
	GuardOverdue = "overdue"
	// GuardImpossible is that an event came that has no place in a query's life.
	GuardImpossible = "impossible"
)

// counter counts. There is none where nothing is counted.
type counter struct {
	cells  map[cell]*tally
	setUps map[string]rollout.SetUps // by class
	guards []string                  // that fired, each once
}

type cell struct{ class, tenant string }

type tally struct{ offered, served, refused, failed, timedOut, breaks, moves uint64 }

// Count begins to count, or ends it and forgets what was counted.
func (c *Core) SetCounting(on bool) {
	switch {
	case !on:
		c.counter = nil
	case c.counter == nil:
		c.counter = &counter{cells: map[cell]*tally{}, setUps: map[string]rollout.SetUps{}}
	}
}

// Fired says whether a guard has fired since Recount.
func (c *Core) GuardFired() bool { return c.counter != nil && len(c.counter.guards) > 0 }

// Counted returns what was counted since Recount, sorted by class and tenant, and the guards that fired. worth tells what a
// served query of a class is worth; it should not be told by the policy that is counted for.
func (c *Core) Counts(value func(class string) float64) (all []rollout.Counts, guards []string) {
	n := c.counter
	if n == nil {
		return nil, nil
	}
	for key, t := range n.cells {
		if *t != (tally{}) {
			all = append(all, rollout.Counts{Class: key.class, Tenant: key.tenant, Offered: t.offered, Served: t.served,
				Refused: t.refused, Failed: t.failed, TimedOut: t.timedOut, Breaks: t.breaks, Moves: t.moves,
				Worth: float64(t.served) * value(key.class)})
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

// Recount begins anew. Who had nothing to count since the last time gives room to others.
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

// TurnedAway counts a query that the door throttled before it came here.
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

// note takes a step of a query, from was to where it is now, before its effects are carried out.
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

// answered counts a query that is owed nothing any more.
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

// stood counts a connection that stands a time after its query came.
func (n *counter) recordSetUp(class string, after time.Duration) {
	setUps, known := n.setUps[class]
	if !known {
		setUps = rollout.NewSetUps()
		n.setUps[class] = setUps
	}
	setUps.Add(after)
}

// ended counts the end of a connection that stood.
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
