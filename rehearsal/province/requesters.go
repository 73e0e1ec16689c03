package province

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/control"
)

// requestTurn requests a turn and follows it to its end, by calls to random nodes of the site.
func (w *World) requestTurn(site *siteState, turn *requestedTurn) {
	turn.requestedAt = w.now
	if site.losesStores {
		turn.ended = true
		return
	}
	if w.FixedOrder {
		site.lock.waiting = append(site.lock.waiting, turn)
		return
	}
	w.call(site, turn, turns.Command{Request: &turns.Request{ID: turn.id, Host: turn.host, Duration: 2 * time.Second, Requester: "staff"}})
}

// call submits a command through a random node of the site. The next step follows after its reply or its timeout.
func (w *World) call(site *siteState, turn *requestedTurn, cmd turns.Command) {
	if !turn.ended {
		w.callAt(site, turn, cmd, site.nodes[w.rng.IntN(len(site.nodes))])
	}
}

// callAt submits a command through one node, and follows a redirect to the leader.
func (w *World) callAt(site *siteState, turn *requestedTurn, cmd turns.Command, n *node) {
	answered := false
	turn.callee = n
	proceed := func(delay time.Duration) {
		if !answered {
			answered, turn.callee = true, nil
			w.after(delay, func() { w.nextStep(site, turn) })
		}
	}
	w.after(5*time.Second, func() { proceed(0) })
	if !n.up { // connection refused: the call fails at once, and the next attempt follows after the usual pause
		proceed(100 * time.Millisecond)
		return
	}
	turn.connLost = func() { proceed(100 * time.Millisecond) }
	if n.paused || n.core == nil {
		return
	}
	n.core.Submit(n.clock(), control.Call{Command: cmd, ID: turn.id}, func(reply control.Reply, err error) {
		if answered {
			return
		}
		var notLeader *control.NotLeaderError
		if errors.As(err, &notLeader) {
			answered = true
			i := slices.IndexFunc(site.nodes, func(m *node) bool { return m.name == notLeader.Leader })
			w.after(2*time.Millisecond, func() { w.callAt(site, turn, cmd, site.nodes[i]) })
			return
		}
		if err == nil || reply.Turn.ID != "" {
			w.handleReply(site, turn, cmd, reply.Turn, err)
		}
		proceed(100 * time.Millisecond)
	})
}

// handleReply records the state of a turn that a reply reports to its requester. Only replies to its own calls count.
func (w *World) handleReply(site *siteState, turn *requestedTurn, cmd turns.Command, status turns.Turn, err error) {
	if !turn.committed {
		turn.committed = true
		w.tally.CommitTimes = append(w.tally.CommitTimes, w.now-turn.requestedAt)
	}
	if status.Phase == turns.Granted {
		turn.granted = true
		w.countGrant(turn)
	}
	if status.Phase == turns.Working && !turn.begun { // only this requester begins it
		w.startWork(site, turn)
	}
	if status.Phase == turns.Over && !turn.ended {
		turn.ended = true
		if turn.done {
			w.tally.Done++
			w.checkReturned(site, turn)
		}
	}
}

// countGrant counts a turn at its first grant.
func (w *World) countGrant(turn *requestedTurn) {
	if !turn.grantCounted {
		turn.grantCounted = true
		w.tally.Granted++
		w.tally.GrantTimes = append(w.tally.GrantTimes, w.now-turn.requestedAt)
	}
}

// overrunTime is by how much maintenance with an overrun takes longer.
const overrunTime = 10 * time.Second

// startWork begins the maintenance of a turn and schedules its end.
func (w *World) startWork(site *siteState, turn *requestedTurn) {
	host := site.hosts[turn.host]
	turn.begun, host.inWork, host.workTurn = true, true, turn.id
	w.log(turn.id + ": work begins at " + host.id)
	if w.Lists.RemoveDuringWork {
		host.removeFromLists(w)
	}
	inWork := 0
	for _, host := range site.hosts {
		if host.inWork {
			inWork++
		}
	}
	w.tally.MaxInWork = max(w.tally.MaxInWork, inWork)
	if inWork > w.Limits.Site {
		w.violation(fmt.Sprintf("%d hosts of %s are in work at the same time, %d allowed", inWork, site.name, w.Limits.Site))
	}
	w.after(turn.duration, func() {
		turn.done, turn.doneAt, host.inWork = true, w.now, false
		if w.Lists.RemoveDuringWork {
			host.returnToLists(w)
		}
		if w.FixedOrder {
			w.tally.Done++
		}
		w.log(turn.id + ": work is done at " + host.id)
	})
}

// nextStep makes a requester's next call: it reports work that is done, begins a turn that is granted, and otherwise repeats
// its request, which has no second effect and returns the state of the turn.
func (w *World) nextStep(site *siteState, turn *requestedTurn) {
	switch {
	case turn.done:
		w.call(site, turn, turns.Command{Done: &turns.Ref{ID: turn.id}})
	case turn.begun:
		w.after(200*time.Millisecond, func() { w.nextStep(site, turn) })
	case turn.granted:
		turn.granted = false // the turn may be revoked before the work begins
		w.call(site, turn, turns.Command{Begin: &turns.Ref{ID: turn.id}})
	default:
		w.call(site, turn, turns.Command{Request: &turns.Request{ID: turn.id, Host: turn.host, Duration: 2 * time.Second, Requester: "staff"}})
	}
}
