package query

import (
	"cmp"
	"slices"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/life"
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
const mostCells = 64

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
func (c *Core) Count(on bool) {
	switch {
	case !on:
		c.counter = nil
	case c.counter == nil:
		c.counter = &counter{cells: map[cell]*tally{}, setUps: map[string]rollout.SetUps{}}
	}
}

// Fired says whether a guard has fired since Recount.
func (c *Core) Fired() bool { return c.counter != nil && len(c.counter.guards) > 0 }

// Counted returns what was counted since Recount, sorted by class and tenant, and the guards that fired. worth tells what a
// served query of a class is worth; it should not be told by the policy that is counted for.
func (c *Core) Counted(worth func(class string) float64) (all []rollout.Counts, guards []string) {
	n := c.counter
	if n == nil {
		return nil, nil
	}
	for of, t := range n.cells {
		if *t != (tally{}) {
			all = append(all, rollout.Counts{Class: of.class, Tenant: of.tenant, Offered: t.offered, Served: t.served,
				Refused: t.refused, Failed: t.failed, TimedOut: t.timedOut, Breaks: t.breaks, Moves: t.moves,
				Value: float64(t.served) * worth(of.class)})
		}
	}
	for class, h := range n.setUps {
		i := slices.IndexFunc(all, func(k rollout.Counts) bool { return k.Class == class && k.Tenant == "" })
		if i < 0 {
			i = len(all)
			all = append(all, rollout.Counts{Class: class})
		}
		all[i].SetUp = h.Bytes()
	}
	slices.SortFunc(all, func(a, b rollout.Counts) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	return all, slices.Clone(n.guards)
}

// Recount begins anew. Who had nothing to count since the last time gives room to others.
func (c *Core) Recount() {
	n := c.counter
	if n == nil {
		return
	}
	for of, t := range n.cells {
		if *t == (tally{}) {
			delete(n.cells, of)
		}
		*t = tally{}
	}
	clear(n.setUps)
	n.guards = n.guards[:0]
}

// TurnedAway counts a query that the door throttled before it came here.
func (c *Core) TurnedAway(class, tenant string) {
	if c.counter != nil {
		t := c.counter.of(class, tenant)
		t.offered++
		t.refused++
	}
}

func (n *counter) of(class, tenant string) *tally {
	t := n.cells[cell{class, tenant}]
	if t == nil {
		if tenant != "" && len(n.cells) >= mostCells {
			return n.of(class, "")
		}
		t = &tally{}
		n.cells[cell{class, tenant}] = t
	}
	return t
}

func (n *counter) fired(guard string) {
	if !slices.Contains(n.guards, guard) {
		n.guards = append(n.guards, guard)
	}
}

// note takes a step of a query, from was to where it is now, before its effects are carried out.
func (n *counter) note(q *Query, was life.State, k life.Kind, todo *life.Effects, d *news) {
	switch {
	case todo.Has(life.Complain):
		n.fired(GuardImpossible)
	case q.state.Inherited:
	case was.Owed() && !q.state.Owed():
		n.answered(q, k, todo)
	case was.Phase == life.Up && q.state.Phase == life.Over:
		n.ended(q, k, d)
	}
}

// answered counts a query that is owed nothing any more.
func (n *counter) answered(q *Query, k life.Kind, todo *life.Effects) {
	a, t := &q.arrival, n.of(q.arrival.Class, q.arrival.Tenant)
	left := q.Left()
	t.offered++
	switch {
	case q.state.Phase == life.Up:
		t.served++
		n.stood(a.Class, a.TimeLeft-left)
	case todo.Has(life.AnswerServed):
		t.served++
	case k == life.ClientGone || k == life.ClientFaulty:
	case left <= 0:
		t.timedOut++
	case todo.Has(life.AnswerThrottle):
		t.refused++
	default:
		t.failed++
	}
	if k == life.Deadline && -left <= guardAfter+sweepEvery {
		n.fired(GuardOverdue)
	}
}

// stood counts a connection that stands a time after its query came.
func (n *counter) stood(class string, after time.Duration) {
	h, known := n.setUps[class]
	if !known {
		h = rollout.NewSetUps()
		n.setUps[class] = h
	}
	h.Add(after)
}

// ended counts the end of a connection that stood.
func (n *counter) ended(q *Query, k life.Kind, d *news) {
	t := n.of(q.arrival.Class, q.arrival.Tenant)
	switch {
	case k == life.ClientGone, k == life.PassOn, k == life.HostServed:
	case k == life.HostEnded && d.outcome == balance.Cancelled:
		t.moves++
	case k == life.HostEnded, k == life.Move && d.outcome == balance.Reset:
		t.breaks++
	default:
		t.moves++
	}
}
