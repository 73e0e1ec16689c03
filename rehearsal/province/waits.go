package province

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lichenhitch/internal/choice/turns"
)

// Measurement of what turns wait for. Every observeInterval it records the state of each site's consensus group, using what only
// the simulation knows (which links are cut, which nodes are paused), and of each turn that is requested and not granted yet.
// It draws no random numbers, so a seed gives the same run with and without it.

// observeInterval is the time between two observations.
const observeInterval = 20 * time.Millisecond

// TimeByCause is time by what it was spent on.
type TimeByCause map[string]time.Duration

func (s *TimeByCause) add(cause string, d time.Duration) {
	if *s == nil {
		*s = TimeByCause{}
	}
	(*s)[cause] += d
}

func (s *TimeByCause) merge(other TimeByCause) {
	for cause, d := range other {
		s.add(cause, d)
	}
}

// Sum returns the total time of the causes with a prefix.
func (s TimeByCause) Sum(prefix string) (sum time.Duration) {
	for cause, d := range s {
		if strings.HasPrefix(cause, prefix) {
			sum += d
		}
	}
	return sum
}

// Table returns a line for each cause, sorted by name, with its time and its share of the total.
func (s TimeByCause) Table() string {
	var b strings.Builder
	for _, cause := range slices.Sorted(maps.Keys(s)) {
		fmt.Fprintf(&b, "\n  %7.1f s %5.1f %%  %s", s[cause].Seconds(), 100*s[cause].Seconds()/max(1e-9, s.Sum("").Seconds()), cause)
	}
	return b.String()
}

// States of a consensus group. A turn at a site whose group is not led waits for the group. The letters group the causes: see
// Sum.
const (
	noQuorum             = "b: no quorum: no majority of the replicas runs with links both ways to one of them"
	awaitingConfirmation = "f: a quorum runs, but needs replicas that wait for confirmation of their stores: "
	notBootstrapped      = "f: no consensus group yet"
	leaderless           = "a: no leader, although a majority is connected: "
	led                  = "led"
)

// running reports whether the node's process runs and its control has not stopped.
func (n *node) running() bool { return n.up && !n.paused && n.core != nil && n.core.StopCause() == nil }

// connected reports whether two nodes of a site run and reach each other both ways.
func connected(a, b *node) bool {
	return a.running() && b.running() && (a == b || !a.cutTo[b.name] && !b.cutTo[a.name])
}

// canLead reports whether a replica could lead: it and the other eligible replicas connected to it are a majority.
func (p *siteState) canLead(n *node, eligible func(*node) bool) bool {
	reachable := func(m *node) bool { return m.config.IsVoter && eligible(m) && connected(n, m) }
	count := 0
	for _, m := range p.nodes {
		if reachable(m) {
			count++
		}
	}
	return reachable(n) && count > len(p.definition.Voters)/2
}

func anyReplica(*node) bool { return true }

// participating reports whether a node's replica takes part in the consensus group.
func participating(n *node) bool {
	st, ok := n.core.ReplicaStatus()
	return ok && !st.Unconfirmed && st.Err == nil
}

// groupState returns the state of a site's consensus group, and the node that leads it with a majority.
func (p *siteState) groupState() (description string, leader *node) {
	quorumRuns, quorumParticipates, claimed, claims := false, false, false, 0
	for _, n := range p.nodes {
		if !n.config.IsVoter {
			continue
		}
		quorumRuns = quorumRuns || p.canLead(n, anyReplica)
		quorumParticipates = quorumParticipates || p.canLead(n, func(m *node) bool { return m.running() && participating(m) })
		if n.up && n.core != nil && n.core.Leading() {
			claims++
			claimed = true
			if p.canLead(n, participating) {
				leader = n
			}
		}
	}
	switch {
	case !quorumRuns:
		return noQuorum, nil
	case !quorumParticipates:
		return p.confirmationState(), nil
	case leader != nil:
		return led, leader
	case claimed:
		return leaderless + "one that is cut off or paused still considers itself leader", nil
	}
	return leaderless + "no replica considers itself leader", nil
}

// confirmationState returns whether a replica that waits for confirmation of its store is connected to as many replicas as have
// to confirm it (all but a majority, plus one), directly or through others.
func (p *siteState) confirmationState() string {
	bootstrapped := false
	for _, n := range p.nodes {
		if !n.config.IsVoter || !n.running() {
			continue
		}
		st, ok := n.core.ReplicaStatus()
		bootstrapped = bootstrapped || ok
		if !ok || !st.Unconfirmed {
			continue
		}
		direct, indirect := 0, 0
		for _, m := range p.nodes {
			if !m.config.IsVoter || m == n {
				continue
			}
			if connected(n, m) {
				direct++
			} else if slices.ContainsFunc(p.nodes, func(k *node) bool { return k.config.IsVoter && connected(n, k) && connected(k, m) }) {
				indirect++
			}
		}
		voters := len(p.definition.Voters)
		switch {
		case direct >= voters-voters/2:
			return awaitingConfirmation + "one reaches enough others"
		case direct+indirect >= voters-voters/2:
			return awaitingConfirmation + "one reaches enough others indirectly"
		}
	}
	if !bootstrapped {
		return notBootstrapped
	}
	return awaitingConfirmation + "none reaches enough others"
}

// observeWaits records one observation and schedules the next.
func (w *World) observeWaits() {
	w.after(observeInterval, w.observeWaits)
	for _, site := range w.sites {
		groupState, leader := site.groupState()
		if !w.quiet {
			w.tally.GroupStates.add(groupState, observeInterval)
			w.recordLeaderless(site, groupState)
		}
		for _, turn := range site.turns {
			if turn.requestedAt > 0 && !turn.grantCounted && !turn.ended && !site.losesStores {
				cause := groupState
				if leader != nil {
					cause = w.waitReason(site, turn, leader)
				}
				w.tally.TurnWaits.add(cause, observeInterval)
			}
		}
	}
}

// recordLeaderless records each period in which a site had no leader although a majority was connected.
func (w *World) recordLeaderless(site *siteState, groupState string) {
	switch missing := strings.HasPrefix(groupState, leaderless); {
	case missing && site.leaderlessSince == 0:
		site.leaderlessSince = w.now
		w.log(site.name + " has no leader; group state before: " + site.lastGroupState + "; now: " + groupState)
	case !missing && site.leaderlessSince > 0:
		w.log(fmt.Sprint(site.name, " had no leader for ", w.now-site.leaderlessSince, "; now: ", groupState))
		w.tally.LeaderlessTimes = append(w.tally.LeaderlessTimes, w.now-site.leaderlessSince)
		site.leaderlessSince = 0
	}
	site.lastGroupState = groupState
}

// waitReason returns what a turn waits for at a site whose consensus group is led.
func (w *World) waitReason(site *siteState, turn *requestedTurn, leader *node) string {
	schedule := leader.core.Schedule()
	t, known := schedule.Turn(turn.id)
	switch {
	case !known:
		return "e: requested, not known to the leader: " + turn.callState(leader)
	case t.Phase == turns.Requested:
		return site.requestedReason(t, leader)
	case t.Phase == turns.Preparing:
		return site.preparingReason(t, leader)
	}
	return "e: granted: " + turn.callState(leader)
}

// callState returns what the pending call of a turn's requester waits for.
func (a *requestedTurn) callState(leader *node) string {
	switch {
	case a.callee == nil:
		return "its requester is between two calls"
	case !a.callee.up:
		return "its requester waits for a node that is down"
	case a.callee.paused:
		return "its requester waits for a node that is paused"
	case a.callee != leader:
		return "its requester waits for a node that does not lead"
	}
	return "the leader has its requester's call"
}

// preparingReason returns which kind of node blocks a turn in Preparing: the worst kind, where nodes that are cut off or paused
// are worse than others.
func (p *siteState) preparingReason(t turns.Turn, leader *node) string {
	blockers := leader.core.Blockers(leader.clock(), t)
	worst := "d: preparing, no node blocks it, and the grant is not committed"
	unreachable := false
	for _, b := range blockers {
		n := leader.w.byName[b.Node]
		reason := "has not confirmed"
		switch {
		case strings.Contains(b.Why, "lacks the host"), strings.Contains(b.Why, "no exclusion set"):
			reason = "has no recorded exclusion set that contains the host"
		case strings.Contains(b.Why, "has confirmed round"):
			reason = "has confirmed another round"
		}
		switch {
		case n != nil && !connected(n, leader):
			if !unreachable {
				worst, unreachable = "", true
			}
			worst = max(worst, "c: preparing, a node that is cut off or paused "+reason)
		case !unreachable:
			worst = "d: preparing, a node that is connected " + reason
		}
	}
	return worst
}

// requestedReason returns what keeps a turn in Requested: hosts that earlier turns have out of service, or only the leader.
func (p *siteState) requestedReason(t turns.Turn, leader *node) string {
	schedule := leader.core.Schedule()
	if !slices.ContainsFunc(schedule.Hosts(), func(h turns.Host) bool { return h.ID == t.Host }) {
		return "d: the group does not know the host yet"
	}
	count := map[turns.Phase]int{}
	var preparing turns.Turn
	for _, other := range schedule.Turns() {
		if other.Phase.OutOfService() {
			count[other.Phase]++
			if other.Phase == turns.Preparing {
				preparing = other
			}
		}
	}
	outOfService := count[turns.Preparing] + count[turns.Granted] + count[turns.Working] + count[turns.Returning]
	switch {
	case outOfService >= leader.w.Limits.Site && count[turns.Returning] > 0:
		return "d: the limit is reached, a returning host is not observed warm"
	case count[turns.Preparing] > 0:
		return "behind another turn: " + p.preparingReason(preparing, leader)
	case outOfService >= leader.w.Limits.Site && count[turns.Granted] > 0:
		for _, other := range schedule.Turns() {
			for _, turn := range p.turns {
				if turn.id == other.ID && other.Phase == turns.Granted {
					return "behind another turn: e: granted and not begun: " + turn.callState(leader)
				}
			}
		}
	case outOfService >= leader.w.Limits.Site:
		for _, other := range schedule.Turns() {
			for _, turn := range p.turns {
				if turn.id == other.ID && other.Phase == turns.Working && turn.done {
					return "behind another turn: e: done and not reported: " + turn.callState(leader)
				}
			}
		}
		return "behind another turn: work in progress"
	}
	return "d: the limit is not reached, and the leader has not proposed it"
}
