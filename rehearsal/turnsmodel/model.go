package turnsmodel

import (
	"bytes"
	"fmt"
	"slices"

	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/rehearsal/model"
)

// Model is the model of rights and turns. It implements model.Model and model.Coverer.
type Model struct {
	Nodes, Hosts int
	Budget       Budget
	Calls        int  // questions and answers of one node on their way, 1 or 2
	Asked        int  // turns asked for at the start, one for each of the first hosts
	Horizon      int  // how many of the next hosts stand in the horizon
	LateWord     bool // control hears of what the loop has taken later than it is taken
	Even         bool // start also with nodes that are not slow
	Prompt       bool // loops take verdicts at once
	Settled      bool // operators do something only when the leader has nothing to propose
	Whole        bool // a call goes there and back at once, and what it brings is stored and taken at once; or it is lost
	Steady       int  // how many nodes, the last ones, call whenever something is new
	Free         bool // the leader prepares and calls back whatever the book allows, in any order
	Alike        bool // nodes are told apart by what they are in, not by their names
	Promised     bool // the promises are checked
	plant        planted
	counted      sendlease.Terms // of the seats
	pool         *pool
}

// New returns the model of a world, with a planted bug if one is named.
func New(nodes, hosts int, budget Budget, plantName string) (*Model, error) {
	switch {
	case nodes < 1 || nodes > MaxNodes:
		return nil, fmt.Errorf("nodes: %d is not within 1 to %d", nodes, MaxNodes)
	case hosts < 1 || hosts > MaxHosts:
		return nil, fmt.Errorf("hosts: %d is not within 1 to %d", hosts, MaxHosts)
	case budget.Changes > 1:
		return nil, fmt.Errorf("changes of leaders: %d is not 0 or 1", budget.Changes)
	}
	m := &Model{Nodes: nodes, Hosts: hosts, Budget: budget, Calls: 1, Asked: 1, Horizon: 1, counted: terms, pool: &pool{all: map[sum]*record{}}}
	if plantName == "" {
		return m, nil
	}
	i := slices.IndexFunc(plants, func(p planted) bool { return p.name == plantName })
	if i < 0 {
		return nil, fmt.Errorf("no bug is named %q; see rehearse model list", plantName)
	}
	m.plant = plants[i]
	if m.plant.noDrift {
		m.counted.Drift = 0
	}
	return m, nil
}

// Initial implements model.Model: seat 1 leads, somebody has asked for a turn on the first host, and the nodes have empty
// stores.
func (m *Model) Initial() []State {
	b := turns.New()
	for i, c := range []turns.Command{
		{Limits: &turns.Limits{Site: 1, Lookahead: m.Horizon}},
		{Fleet: &turns.Fleet{Hosts: m.fleet(false, [MaxHosts]bool{})}},
		{Members: &turns.Members{Nodes: nodeNames[:m.Nodes]}},
	} {
		b.Apply(uint64(i+1), c)
	}
	for h := range m.Asked {
		b.Apply(uint64(h+4), turns.Command{Request: &turns.Request{ID: "first-" + hostNames[h], Host: hostNames[h], Duration: unit}})
	}
	var all []State
	for _, slow := range [...]bool{true, false} {
		if !slow && !m.Even {
			continue
		}
		s := State{Left: m.Budget, Log: m.pool.record(b, uint64(3+m.Asked))}
		t := sendlease.NewTable(m.counted)
		t.BecomeLeader(0)
		s.Seats[0] = Seat{Believes: true, Table: t}
		for i := range m.Nodes {
			s.Nodes[i].Slow = slow
			m.start(&s, i, sendlease.Saved{Incarnation: 1})
		}
		m.keep(&s)
		all = append(all, s)
	}
	return all
}

// Canonical implements model.Model. A verdict on its way that says what the loop goes by already, now that its right has run
// out, is as good as none.
func (m *Model) Canonical(s State) State {
	for i := range m.Nodes {
		if n := &s.Nodes[i]; n.Queue != nil && bytes.Equal(n.Queue.Append(nil, s.now(i)), n.Loop.Append(nil, s.now(i))) {
			n.Queue = nil
		}
	}
	return s
}

// Done implements model.Model: time always passes.
func (m *Model) Done(State) bool { return true }

// The classes of steps that are weakly fair, for each node and in all.
const (
	fairCall   model.Fairness = 1 // of the first node; the next ones follow
	fairLead   model.Fairness = 1 << MaxNodes
	fairFinish                = fairLead << 1 // work that was handed over ends
	fairTime                  = fairLead << 2
)

// FairnessClasses implements model.Model. A call that comes through is fair, one that is lost is not; links that are cut need not be
// mended, nor bans lifted, nor dead nodes taken in.
func (m *Model) FairnessClasses(st model.Step) model.Fairness {
	switch o, n, arg := Decode(st); {
	case o == Renew && arg == 0:
		return fairCall << n
	case o == Propose || o == Grant || o == Stuck:
		return fairLead
	case o == Finish:
		return fairFinish
	case o == Tick:
		return fairTime
	}
	return 0
}

// Pending implements model.Model: a host's turn waits that can be given. It cannot while another host is out by hand or by
// itself, or while a node is cut off that has to come back or be declared dead.
func (m *Model) Pending(s State) (b uint8) {
	if !m.Promised {
		return 0
	}
	for h := range m.Hosts {
		if t := s.Log.turns[h]; t.ID != "" && t.Phase <= turns.Preparing && m.possible(&s, h) {
			b |= 1 << h
		}
	}
	return b
}

func (m *Model) possible(s *State, h int) bool {
	book := s.Log.book
	for i := range m.Nodes {
		if s.Nodes[i].Cut && !book.Dead(nodeNames[i]) && !slices.Contains(s.Log.acknowledged(nodeNames[i]), hostNames[h]) {
			return false
		}
	}
	for other := range m.Hosts {
		if s.Banned[other] && other != h {
			return false
		}
	}
	return !m.failed(book)
}

// LivenessProperties implements model.Model.
func (m *Model) LivenessProperties() []string {
	if !m.Promised {
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
	badPlaced = iota
	badClear
	badAllowance
	badLapsed
	badUntold
	badBan
	badForgotten
)

// SafetyProperties implements model.Model.
func (m *Model) SafetyProperties() []string {
	return []string{
		badPlaced:    "T2: nothing is placed on a host that is handed over",
		badClear:     "R1: nothing is placed on a host that a seat takes for clear of the node",
		badAllowance: "T1: no more hosts are out than the allowances",
		badLapsed:    "R4: the leader takes no right for lapsed that runs",
		badUntold:    "R3: a node that was never told anything withholds all hosts",
		badBan:       "T6: a host is out for as long as it is banned or its work lasts",
		badForgotten: "T6: a node that knows a host as out withholds it until it is out no more",
	}
}

// Violated implements model.Model.
func (m *Model) Violated(s State) (b uint32) {
	out := 0
	for h := range m.Hosts {
		t := &s.Log.turns[h]
		if s.Since[h] == 0 && (s.Banned[h] || t.Phase == turns.Granted || t.Phase == turns.Working) {
			b |= 1 << badBan
		}
		if !t.Phase.OutOfService() {
			continue
		}
		out++
		for i := range m.Nodes {
			if s.Nodes[i].Excused || s.Nodes[i].Loop.Excludes(t.Host, s.now(i)) {
				continue
			}
			if t.Phase == turns.Granted || t.Phase == turns.Working {
				b |= 1 << badPlaced
			}
			for seat := range s.Seats {
				if s.Seats[seat].Believes && m.takesForClear(&s, seat, i, h) {
					b |= 1 << badClear
				}
			}
		}
	}
	if out > s.Log.book.Limits().Site {
		b |= 1 << badAllowance
	}
	lead := s.Seats[s.Lead].Table
	for i := range m.Nodes {
		n, now := &s.Nodes[i], s.now(i)
		runs := now < n.Loop.LeaseEnd || n.Queue != nil && now < n.Queue.LeaseEnd
		if runs && lead.LeaseState(s.seatNow(), nodeNames[i]) == sendlease.Expired {
			b |= 1 << badLapsed
		}
		if m.Whole && s.Since != [MaxHosts]uint64{} {
			for h, since := range s.Since[:m.Hosts] {
				if since > 0 && n.heard >= since && !n.Loop.Excludes(hostNames[h], now) {
					b |= 1 << badForgotten
				}
			}
		}
		if !n.Told && !n.Loop.Excludes(hostNames[0], now) {
			b |= 1 << badUntold
		}
	}
	return b
}

// takesForClear says whether a seat takes a node for clear of a host in the round that the log has it out in.
func (m *Model) takesForClear(s *State, seat, node, host int) bool {
	seen, is := s.view(seat).turns[host], &s.Log.turns[host]
	if seen.ID != is.ID || seen.Round != is.Round || seen.Phase != turns.Preparing {
		return false
	}
	return !slices.ContainsFunc(m.clear(s, seat, seen), func(b turns.Blocker) bool { return b.Node == nodeNames[node] })
}

// What a complete run comes across; see CoverageGoals.
const (
	sawConfirmed = iota
	sawBeyond
	sawStaleClear
	sawSecondRound
	sawOldRound
	sawTwoHorizons
	sawLapsedNews
	sawUncovered
	sawLostHolds
	sawLateLoop
	sawCutWriting
	sawRoundOver
	sawSecondHost
	sawBannedGranted
	sawBannedLater
	sawDeadSends
	sawTakenIn
	sawCalledBack
	sawApart
)

// CoverageGoals implements model.Coverer.
func (m *Model) CoverageGoals() []string {
	return []string{
		sawConfirmed:   "a host is handed over that a node with a right has confirmed",
		sawBeyond:      "a host is handed over while a node is cut off that has it in its horizon",
		sawStaleClear:  "a seat that leads no more takes a host for clear",
		sawSecondRound: "a turn that was called back or withdrawn is granted in a later round",
		sawOldRound:    "the leader has a node's confirmation of an earlier round only",
		sawTwoHorizons: "a node keeps an older horizon until a newer one is recorded",
		sawLapsedNews:  "an answer comes after its own right has run out",
		sawUncovered:   "a node that was told, with no right, withholds all: the council may go by what its store lacks",
		sawLostHolds:   "a node with a new store has its old one's confirmation counted",
		sawLateLoop:    "a right runs out at a loop that is behind its control",
		sawCutWriting:  "a host is handed over while a node's store is behind",
		sawRoundOver:   "a node withholds a host whose turn is over",
		sawSecondHost:  "a second host is handed over",

		sawBannedGranted: "a host that is banned is handed over",
		sawBannedLater:   "a host stays out by hand when its turn is over",
		sawDeadSends:     "a node that is declared dead sends to a host that is handed over: the one exception",
		sawTakenIn:       "a node that is taken in anew keeps a host back that was handed over without it",
		sawCalledBack:    "a turn is called back for one that can go while a node is cut off",
		sawApart:         "a host is handed over while two nodes are cut off whose horizons differ",
	}
}

// Expected says that no world by itself has to show anything: the worlds of Worlds do together.
func (m *Model) Expected() uint64 { return 0 }

// Covered implements model.Coverer.
func (m *Model) Covered(s State) (b uint64) {
	saw := func(cond bool, what int) {
		if cond {
			b |= 1 << what
		}
	}
	lead := s.Seats[s.Lead].Table
	for h := range m.Hosts {
		t := &s.Log.turns[h]
		out := t.Phase.OutOfService()
		granted := out && t.Phase == turns.Granted
		saw(granted && h > 0, sawSecondHost)
		saw(granted && s.Banned[h], sawBannedGranted)
		saw(t.ID == "" && s.Since[h] > 0 && len(s.Log.book.Turns()) > 0, sawBannedLater)
		saw(t.ID != "" && t.Why != "" && m.Budget.Withdrawals+m.Budget.Failures+m.Budget.Bans == 0, sawCalledBack)
		apart := map[uint64]bool{}
		saw(granted && s.Left.Withdrawals+s.Left.Failures < m.Budget.Withdrawals+m.Budget.Failures && h == 0, sawSecondRound)
		for i := range m.Nodes {
			n, now := &s.Nodes[i], s.now(i)
			lapsed := lead.LeaseState(s.seatNow(), nodeNames[i]) == sendlease.Expired
			round := lead.Confirmed(nodeNames[i])[hostNames[h]]
			holds := slices.Contains(n.Loop.ExcludedHosts, sendlease.ExcludedHost{Host: t.Host, Round: t.Round})
			saw(granted && !lapsed && now < n.Loop.LeaseEnd && holds, sawConfirmed)
			saw(granted && lapsed && !holds, sawBeyond)
			saw(granted && n.Excused && !n.Loop.Excludes(t.Host, now), sawDeadSends)
			saw(granted && m.Budget.Deaths > s.Left.Deaths && !n.Excused && holds && s.Log.book.RecordedVersion(nodeNames[i]) > 0 &&
				!slices.Contains(s.Log.acknowledged(nodeNames[i]), t.Host), sawTakenIn)
			if lapsed {
				apart[s.Log.book.RecordedVersion(nodeNames[i])] = true
			}
			saw(granted && n.Writing != nil, sawCutWriting)
			saw(granted && s.Log.book.RecordedVersion(nodeNames[i]) > 0 && n.Durable.Incarnation > 1 && !n.Told && round == t.Round, sawLostHolds)
			saw(out && round != 0 && round != t.Round, sawOldRound)
			saw(!out && n.Loop.Excludes(hostNames[h], now) && now < n.Loop.LeaseEnd, sawRoundOver)
		}
		saw(granted && len(apart) > 1, sawApart)
	}
	for i := range m.Nodes {
		n, now := &s.Nodes[i], s.now(i)
		saw(len(n.Durable.ExclusionSets) > 1, sawTwoHorizons)
		saw(n.Told && n.Loop.AllAfterExpiry && now >= n.Loop.LeaseEnd && len(n.Durable.ExclusionSets) > 0, sawUncovered)
		saw(now >= n.Loop.LeaseEnd && n.Loop.LeaseEnd > 0 && n.Queue != nil && now < n.Queue.LeaseEnd, sawLateLoop)
		for _, c := range n.Calls {
			saw(c.Stage == Answered && now >= c.At+terms.Duration, sawLapsedNews)
		}
	}
	old := 1 - s.Lead
	if s.Seats[old].Believes {
		if t := s.view(int(old)).turns[0]; t.Phase == turns.Preparing {
			saw(len(m.clear(&s, int(old), t)) == 0, sawStaleClear)
		}
	}
	return b
}
