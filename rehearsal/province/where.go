package province

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lichenhitch/internal/choice/turns"
)

// Where the time goes: a few times a second each site's council is looked at from outside, with what only the world knows
// (which links are cut, who is stopped), and each turn that was asked for and not granted yet. Nothing is drawn for it, so
// that a world plays the same with it and without.

// lookEvery is the pause between two looks.
const observeInterval = 20 * time.Millisecond

// Spent is time by what it went into.
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

// Sum is the time of all that begins with these words.
func (s TimeByCause) Sum(prefix string) (sum time.Duration) {
	for cause, d := range s {
		if strings.HasPrefix(cause, prefix) {
			sum += d
		}
	}
	return sum
}

// Table is one line for each, the names in their order, with the part of the whole.
func (s TimeByCause) Table() string {
	var b strings.Builder
	for _, cause := range slices.Sorted(maps.Keys(s)) {
		fmt.Fprintf(&b, "\n  %7.1f s %5.1f %%  %s", s[cause].Seconds(), 100*s[cause].Seconds()/max(1e-9, s.Sum("").Seconds()), cause)
	}
	return b.String()
}

// What a council does, and what a turn waits for.
const (
	noQuorum             = "b: no majority of seats runs and reaches one of them both ways"
	awaitingConfirmation = "f: one would, with seats that started anew and wait for others' word: "
	notBootstrapped      = "f: nobody belongs to a council yet"
	leaderless           = "a: no leader, though a majority could talk: "
	led                  = "led"
)

func (n *node) running() bool { return n.up && !n.paused && n.core != nil && n.core.StopCause() == nil }

// linked says whether two nodes of a site run and reach each other both ways.
func connected(a, b *node) bool {
	return a.running() && b.running() && (a == b || !a.cutTo[b.name] && !b.cutTo[a.name])
}

// carries says whether a seat could lead: it and others of a kind are a majority, each of them linked to it.
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

// seated says whether a node's seat takes part.
func participating(n *node) bool {
	st, ok := n.core.ReplicaStatus()
	return ok && !st.Unconfirmed && st.Err == nil
}

// council returns how a site's council stands, and the node that leads it with a majority.
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
		return leaderless + "one that is cut off or stopped believes on", nil
	}
	return leaderless + "none believes it leads", nil
}

// word says whether a majority of the seats could talk if one that waits for others' word had it from all that it reaches, or
// from all that they reach.
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
			return awaitingConfirmation + "it reaches as many as it needs"
		case direct+indirect >= voters-voters/2:
			return awaitingConfirmation + "it reaches as many as it needs through others"
		}
	}
	if !bootstrapped {
		return notBootstrapped
	}
	return awaitingConfirmation + "it does not reach as many as it needs"
}

// where adds up one look.
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

// lacks notes how long a site was without a leader at a stretch, while a majority could talk.
func (w *World) recordLeaderless(site *siteState, groupState string) {
	switch leaderless := strings.HasPrefix(groupState, leaderless); {
	case leaderless && site.leaderlessSince == 0:
		site.leaderlessSince = w.now
		w.log(site.name + " has no leader, from " + site.lastGroupState + " to " + groupState)
	case !leaderless && site.leaderlessSince > 0:
		w.log(fmt.Sprint(site.name, " had no leader for ", w.now-site.leaderlessSince, ", and now: ", groupState))
		w.tally.LeaderlessTimes = append(w.tally.LeaderlessTimes, w.now-site.leaderlessSince)
		site.leaderlessSince = 0
	}
	site.lastGroupState = groupState
}

// waitsFor says what a turn waits for at a site whose council is led.
func (w *World) waitReason(site *siteState, turn *requestedTurn, leader *node) string {
	schedule := leader.core.Schedule()
	t, known := schedule.Turn(turn.id)
	switch {
	case !known:
		return "e: asked for: " + turn.callState(leader)
	case t.Phase == turns.Requested:
		return site.requestedReason(t, leader)
	case t.Phase == turns.Preparing:
		return site.preparingReason(t, leader)
	}
	return "e: granted: " + turn.callState(leader)
}

// waitsOn says what an asker's call that is out waits on.
func (a *requestedTurn) callState(leader *node) string {
	switch {
	case a.callee == nil:
		return "its asker is between two calls"
	case !a.callee.up:
		return "its asker waits on a node that is down"
	case a.callee.paused:
		return "its asker waits on a node that is stopped"
	case a.callee != leader:
		return "its asker waits on a node that does not lead any more"
	}
	return "the leader has its call"
}

// waitsForNodes says which kind of node a turn that is being prepared waits for, the worst of them.
func (p *siteState) preparingReason(t turns.Turn, leader *node) string {
	blockers := leader.core.Blockers(leader.clock(), t)
	worst := "d: nobody holds it up, and the grant is not agreed on"
	unreachable := false
	for _, b := range blockers {
		n := leader.w.byName[b.Node]
		reason := "has not confirmed"
		switch {
		case strings.Contains(b.Why, "lacks the host"), strings.Contains(b.Why, "no exclusion set"):
			reason = "has no horizon recorded that has the host"
		case strings.Contains(b.Why, "has confirmed round"):
			reason = "has confirmed another round"
		}
		switch {
		case n != nil && !connected(n, leader):
			if !unreachable {
				worst, unreachable = "", true
			}
			worst = max(worst, "c: preparing, a node that is cut off or stopped "+reason)
		case !unreachable:
			worst = "d: preparing, a node that is linked " + reason
		}
	}
	return worst
}

// waitsForRoom says what keeps a turn from being prepared: the turns that are out before it, or nothing but the leader.
func (p *siteState) requestedReason(t turns.Turn, leader *node) string {
	schedule := leader.core.Schedule()
	if !slices.ContainsFunc(schedule.Hosts(), func(h turns.Host) bool { return h.ID == t.Host }) {
		return "d: the fleet is not known to the council yet"
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
		return "d: no room, a host that returns is not seen warm"
	case count[turns.Preparing] > 0:
		return "behind another: " + p.preparingReason(preparing, leader)
	case outOfService >= leader.w.Limits.Site && count[turns.Granted] > 0:
		for _, other := range schedule.Turns() {
			for _, turn := range p.turns {
				if turn.id == other.ID && other.Phase == turns.Granted {
					return "behind another: e: granted and not begun: " + turn.callState(leader)
				}
			}
		}
	case outOfService >= leader.w.Limits.Site:
		for _, other := range schedule.Turns() {
			for _, turn := range p.turns {
				if turn.id == other.ID && other.Phase == turns.Working && turn.done {
					return "behind another: e: done and not reported: " + turn.callState(leader)
				}
			}
		}
		return "behind another: in work"
	}
	return "d: there is room, and the leader has not proposed it"
}
