package turnsmodel

import (
	"bytes"
	"fmt"
	"slices"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/rehearsal/model"
)

// Model is the model of send leases and turns. It implements model.Model and model.Coverer.
type Model struct {
	Nodes, Hosts       int
	Budget             Budget
	MaxCalls           int  // requests and responses of one node in transit, 1 or 2
	RequestedTurns     int  // at the start, one for each of the first hosts
	Lookahead          int  // how many of the next hosts the exclusion set contains; see turns.Limits
	DelayedReport      bool // the loop's report that restrictions are in effect reaches the control code in a later step
	EqualClocks        bool // start also from states in which no clock is slow
	ImmediateApply     bool // loops apply restrictions at once
	OperatorsWait      bool // operators act only when the leader has nothing to propose
	AtomicCalls        bool // a call is one step, up to the storing and applying of its response; or it is lost
	CurrentNodes       int  // how many nodes, counted from the last, call whenever there is something new
	UnrestrictedLeader bool // the leader prepares and revokes whatever the schedule allows, in any order
	SymmetricNodes     bool // nodes are distinguished by their states, not by their names
	CheckLiveness      bool // check the liveness properties
	bug                injectedBug
	countedTerms       sendlease.Terms // of the replicas
	pool               *pool
}

// New returns a model with the bug of that name injected, unless the name is empty.
func New(nodes, hosts int, budget Budget, bugName string) (*Model, error) {
	switch {
	case nodes < 1 || nodes > MaxNodes:
		return nil, fmt.Errorf("nodes: %d is not within 1 to %d", nodes, MaxNodes)
	case hosts < 1 || hosts > MaxHosts:
		return nil, fmt.Errorf("hosts: %d is not within 1 to %d", hosts, MaxHosts)
	case budget.LeaderChanges > 1:
		return nil, fmt.Errorf("leader changes: %d is not 0 or 1", budget.LeaderChanges)
	}
	m := &Model{Nodes: nodes, Hosts: hosts, Budget: budget, MaxCalls: 1, RequestedTurns: 1, Lookahead: 1, countedTerms: terms,
		pool: &pool{all: map[sum]*logPrefix{}}}
	if bugName == "" {
		return m, nil
	}
	i := slices.IndexFunc(injectedBugs, func(p injectedBug) bool { return p.name == bugName })
	if i < 0 {
		return nil, fmt.Errorf("no bug is named %q; see rehearse model list", bugName)
	}
	m.bug = injectedBugs[i]
	if m.bug.noDrift {
		m.countedTerms.Drift = 0
	}
	return m, nil
}

// Initial implements model.Model: replica 1 leads, a turn has been requested for each of the first hosts, and the stores of the
// nodes are empty.
func (m *Model) Initial() []State {
	schedule := turns.New()
	for i, c := range []turns.Command{
		{Limits: &turns.Limits{Site: 1, Lookahead: m.Lookahead}},
		{Fleet: &turns.Fleet{Hosts: m.fleet(false, [MaxHosts]bool{})}},
		{Members: &turns.Members{Nodes: nodeNames[:m.Nodes]}},
	} {
		schedule.Apply(uint64(i+1), c)
	}
	for h := range m.RequestedTurns {
		schedule.Apply(uint64(h+4), turns.Command{Request: &turns.Request{ID: "first-" + hostNames[h], Host: hostNames[h], Duration: unit}})
	}
	var all []State
	for _, slow := range [...]bool{true, false} {
		if !slow && !m.EqualClocks {
			continue
		}
		s := State{Remaining: m.Budget, Log: m.pool.prefix(schedule, uint64(3+m.RequestedTurns))}
		t := sendlease.NewTable(m.countedTerms)
		t.BecomeLeader(0)
		s.Replicas[0] = Replica{BelievesLeader: true, Table: t}
		for i := range m.Nodes {
			s.Nodes[i].SlowClock = slow
			m.startNode(&s, i, sendlease.Saved{Incarnation: 1})
		}
		m.refreshCurrentNodes(&s)
		all = append(all, s)
	}
	return all
}

// Canonical implements model.Model. It drops queued restrictions that have become equal to what the loop applies because their
// lease has expired.
func (m *Model) Canonical(s State) State {
	for i := range m.Nodes {
		if n := &s.Nodes[i]; n.QueuedRestrictions != nil &&
			bytes.Equal(n.QueuedRestrictions.Append(nil, s.nodeNow(i)), n.LoopRestrictions.Append(nil, s.nodeNow(i))) {
			n.QueuedRestrictions = nil
		}
	}
	return s
}

// Done implements model.Model: time can always pass.
func (m *Model) Done(State) bool { return true }

// The weakly fair classes of steps: calls of each node, and three for the whole world.
const (
	fairCall   model.Fairness = 1 // of the first node; the classes of the other nodes follow
	fairLeader model.Fairness = 1 << MaxNodes
	fairFinish                = fairLeader << 1 // work that was granted ends
	fairTime                  = fairLeader << 2
)

// FairnessClasses implements model.Model. A call that succeeds is fair, one that is lost is not. Cut links need not be restored,
// bans need not be lifted, and dead nodes need not be readmitted.
func (m *Model) FairnessClasses(st model.Step) model.Fairness {
	switch o, n, arg := Decode(st); {
	case o == CompleteCall && arg == 0:
		return fairCall << n
	case o == Propose || o == Grant || o == RevokeTurn:
		return fairLeader
	case o == Finish:
		return fairFinish
	case o == Tick:
		return fairTime
	}
	return 0
}

// Pending implements model.Model: a host's turn waits and can be granted. It cannot be granted while another host is banned or
// any host has failed, or while a node is cut off that must reconnect or be declared dead first.
func (m *Model) Pending(s State) (b uint8) {
	if !m.CheckLiveness {
		return 0
	}
	for h := range m.Hosts {
		if t := s.Log.turns[h]; t.ID != "" && t.Phase <= turns.Preparing && m.grantPossible(&s, h) {
			b |= 1 << h
		}
	}
	return b
}

func (m *Model) grantPossible(s *State, h int) bool {
	schedule := s.Log.schedule
	for i := range m.Nodes {
		if s.Nodes[i].LinkCut && !schedule.Dead(nodeNames[i]) && !slices.Contains(s.Log.acknowledgedHosts(nodeNames[i]), hostNames[h]) {
			return false
		}
	}
	for other := range m.Hosts {
		if s.Banned[other] && other != h {
			return false
		}
	}
	return !m.lastHostFailed(schedule)
}

// LivenessProperties implements model.Model.
func (m *Model) LivenessProperties() []string {
	if !m.CheckLiveness {
		return nil
	}
	var all []string
	for h := range m.Hosts {
		all = append(all, "L: a turn on host "+hostNames[h]+" that can be given is given in the end")
	}
	return all
}

// The safety properties.
const (
	badPlacement = iota
	badClear
	badAllowance
	badExpiry
	badNeverAnswered
	badExclusionGap
	badExclusionLost
)

// SafetyProperties implements model.Model.
func (m *Model) SafetyProperties() []string {
	return []string{
		badPlacement:     "T2: nothing is placed on a host that is handed over",
		badClear:         "R1: nothing is placed on a host that a seat takes for clear of the node",
		badAllowance:     "T1: no more hosts are out than the allowances",
		badExpiry:        "R4: the leader takes no right for lapsed that runs",
		badNeverAnswered: "R3: a node that was never told anything withholds all hosts",
		badExclusionGap:  "T6: a host is out for as long as it is banned or its work lasts",
		badExclusionLost: "T6: a node that knows a host as out withholds it until it is out no more",
	}
}

// Violated implements model.Model.
func (m *Model) Violated(s State) (b uint32) {
	outOfService := 0
	for h := range m.Hosts {
		t := &s.Log.turns[h]
		if s.ExcludedSince[h] == 0 && (s.Banned[h] || t.Phase == turns.Granted || t.Phase == turns.Working) {
			b |= 1 << badExclusionGap
		}
		if !t.Phase.OutOfService() {
			continue
		}
		outOfService++
		for i := range m.Nodes {
			if s.Nodes[i].Exempt || s.Nodes[i].LoopRestrictions.Excludes(t.Host, s.nodeNow(i)) {
				continue
			}
			if t.Phase == turns.Granted || t.Phase == turns.Working {
				b |= 1 << badPlacement
			}
			for replica := range s.Replicas {
				if s.Replicas[replica].BelievesLeader && m.considersClear(&s, replica, i, h) {
					b |= 1 << badClear
				}
			}
		}
	}
	if outOfService > s.Log.schedule.Limits().Site {
		b |= 1 << badAllowance
	}
	leaderTable := s.Replicas[s.Leader].Table
	for i := range m.Nodes {
		n, now := &s.Nodes[i], s.nodeNow(i)
		leaseValid := now < n.LoopRestrictions.LeaseEnd || n.QueuedRestrictions != nil && now < n.QueuedRestrictions.LeaseEnd
		if leaseValid && leaderTable.LeaseState(s.replicaNow(), nodeNames[i]) == sendlease.Expired {
			b |= 1 << badExpiry
		}
		if m.AtomicCalls && s.ExcludedSince != [MaxHosts]uint64{} {
			for h, since := range s.ExcludedSince[:m.Hosts] {
				if since > 0 && n.responseApplied >= since && !n.LoopRestrictions.Excludes(hostNames[h], now) {
					b |= 1 << badExclusionLost
				}
			}
		}
		if !n.WasAnswered && !n.LoopRestrictions.Excludes(hostNames[0], now) {
			b |= 1 << badNeverAnswered
		}
	}
	return b
}

// considersClear reports whether a replica takes a node to be clear of a host, that is to send no new work there, in the round
// that is committed for the host.
func (m *Model) considersClear(s *State, replica, node, host int) bool {
	known, committed := s.view(replica).turns[host], &s.Log.turns[host]
	if known.ID != committed.ID || known.Round != committed.Round || known.Phase != turns.Preparing {
		return false
	}
	return !slices.ContainsFunc(m.blockers(s, replica, known), func(b turns.Blocker) bool { return b.Node == nodeNames[node] })
}

// The situations that the checks of all worlds together cover; see CoverageGoals.
const (
	sawConfirmed = iota
	sawGrantWhileCutOff
	sawStaleClear
	sawSecondRound
	sawOldRound
	sawTwoExclusionSets
	sawExpiredResponse
	sawRecordedAheadOfStore
	sawLostStoreConfirmation
	sawExpiryBehindControl
	sawGrantWhileWriting
	sawExclusionAfterTurn
	sawSecondHost
	sawBannedGranted
	sawBanAfterTurn
	sawDeadNodeSends
	sawReadmittedExcludes
	sawRevoked
	sawDifferentExclusionSets
)

// CoverageGoals implements model.Coverer.
func (m *Model) CoverageGoals() []string {
	return []string{
		sawConfirmed:             "a host is granted that a node with a send lease has confirmed",
		sawGrantWhileCutOff:      "a host is granted while a node is cut off that has it in its exclusion set",
		sawStaleClear:            "a former leader finds no node that blocks a grant",
		sawSecondRound:           "a turn that was revoked or withdrawn is granted in a later round",
		sawOldRound:              "the leader has a node's confirmation of an earlier round only",
		sawTwoExclusionSets:      "a node keeps an older exclusion set until a newer one is recorded",
		sawExpiredResponse:       "a response arrives after its own lease has expired",
		sawRecordedAheadOfStore:  "a node that was answered excludes all hosts after its lease expired: the recorded exclusion set may be missing from its store",
		sawLostStoreConfirmation: "a confirmation from the lost store of a node still counts",
		sawExpiryBehindControl:   "a lease expires in a loop that lags behind the control code",
		sawGrantWhileWriting:     "a host is granted while a node's store is being written",
		sawExclusionAfterTurn:    "a node excludes a host whose turn is over",
		sawSecondHost:            "a second host is granted",

		sawBannedGranted:          "a banned host is granted",
		sawBanAfterTurn:           "a host stays banned when its turn is over",
		sawDeadNodeSends:          "a node that is declared dead sends to a granted host: the one exception",
		sawReadmittedExcludes:     "a readmitted node excludes a host that was granted without waiting for it",
		sawRevoked:                "a turn is revoked for one that can be granted while a node is cut off",
		sawDifferentExclusionSets: "a host is granted while two nodes are cut off whose exclusion sets differ",
	}
}

// Expected returns the coverage goals that a complete check of one world must reach: none. The worlds of Worlds together reach
// all.
func (m *Model) Expected() uint64 { return 0 }

// Covered implements model.Coverer.
func (m *Model) Covered(s State) (b uint64) {
	saw := func(reached bool, goal int) {
		if reached {
			b |= 1 << goal
		}
	}
	leaderTable := s.Replicas[s.Leader].Table
	for h := range m.Hosts {
		t := &s.Log.turns[h]
		outOfService := t.Phase.OutOfService()
		granted := outOfService && t.Phase == turns.Granted
		saw(granted && h > 0, sawSecondHost)
		saw(granted && s.Banned[h], sawBannedGranted)
		saw(t.ID == "" && s.ExcludedSince[h] > 0 && len(s.Log.schedule.Turns()) > 0, sawBanAfterTurn)
		saw(t.ID != "" && t.Why != "" && m.Budget.Withdrawals+m.Budget.Failures+m.Budget.Bans == 0, sawRevoked)
		versions := map[uint64]bool{}
		saw(granted && s.Remaining.Withdrawals+s.Remaining.Failures < m.Budget.Withdrawals+m.Budget.Failures && h == 0, sawSecondRound)
		for i := range m.Nodes {
			n, now := &s.Nodes[i], s.nodeNow(i)
			expired := leaderTable.LeaseState(s.replicaNow(), nodeNames[i]) == sendlease.Expired
			round := leaderTable.Confirmed(nodeNames[i])[hostNames[h]]
			excludes := slices.Contains(n.LoopRestrictions.ExcludedHosts, sendlease.ExcludedHost{Host: t.Host, Round: t.Round})
			saw(granted && !expired && now < n.LoopRestrictions.LeaseEnd && excludes, sawConfirmed)
			saw(granted && expired && !excludes, sawGrantWhileCutOff)
			saw(granted && n.Exempt && !n.LoopRestrictions.Excludes(t.Host, now), sawDeadNodeSends)
			saw(granted && m.Budget.DeathDeclarations > s.Remaining.DeathDeclarations && !n.Exempt && excludes &&
				s.Log.schedule.RecordedVersion(nodeNames[i]) > 0 && !slices.Contains(s.Log.acknowledgedHosts(nodeNames[i]), t.Host),
				sawReadmittedExcludes)
			if expired {
				versions[s.Log.schedule.RecordedVersion(nodeNames[i])] = true
			}
			saw(granted && n.Writing != nil, sawGrantWhileWriting)
			saw(granted && s.Log.schedule.RecordedVersion(nodeNames[i]) > 0 && n.Stored.Incarnation > 1 && !n.WasAnswered && round == t.Round,
				sawLostStoreConfirmation)
			saw(outOfService && round != 0 && round != t.Round, sawOldRound)
			saw(!outOfService && n.LoopRestrictions.Excludes(hostNames[h], now) && now < n.LoopRestrictions.LeaseEnd, sawExclusionAfterTurn)
		}
		saw(granted && len(versions) > 1, sawDifferentExclusionSets)
	}
	for i := range m.Nodes {
		n, now := &s.Nodes[i], s.nodeNow(i)
		saw(len(n.Stored.ExclusionSets) > 1, sawTwoExclusionSets)
		saw(n.WasAnswered && n.LoopRestrictions.AllAfterExpiry && now >= n.LoopRestrictions.LeaseEnd && len(n.Stored.ExclusionSets) > 0,
			sawRecordedAheadOfStore)
		saw(now >= n.LoopRestrictions.LeaseEnd && n.LoopRestrictions.LeaseEnd > 0 &&
			n.QueuedRestrictions != nil && now < n.QueuedRestrictions.LeaseEnd, sawExpiryBehindControl)
		for _, c := range n.Calls {
			saw(c.Stage == ResponseInTransit && now >= c.SentAt+terms.Duration, sawExpiredResponse)
		}
	}
	former := 1 - s.Leader
	if s.Replicas[former].BelievesLeader {
		if t := s.view(int(former)).turns[0]; t.Phase == turns.Preparing {
			saw(len(m.blockers(&s, int(former), t)) == 0, sawStaleClear)
		}
	}
	return b
}
