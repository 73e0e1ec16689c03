package turnsmodel

import (
	"fmt"
	"slices"
)

// World is a model with bounds that make one hard case reachable. Model documents the fields.
type World struct {
	Name, About        string
	Nodes              int
	Hosts              int
	MaxCalls           int
	RequestedTurns     int // at the start, one for each of the first hosts
	EqualClocks        bool
	DelayedReport      bool
	ImmediateApply     bool
	OperatorsWait      bool
	AtomicCalls        bool
	UnrestrictedLeader bool
	CurrentNodes       int
	CheckLiveness      bool
	Budget             Budget
}

// Worlds lists the worlds that are small enough to be explored completely in a test. Some have one node: T2 and R1 are properties
// of each node by itself, and other nodes can only block a turn.
func Worlds() []World {
	return []World{
		{Name: "cut-off", About: "requests and responses are lost or late, the loop is late", Nodes: 1, Hosts: 1,
			MaxCalls: 1, RequestedTurns: 1,
			EqualClocks: true, DelayedReport: true},
		{Name: "late-calls", About: "calls overtake each other", Nodes: 1, Hosts: 1, MaxCalls: 2, RequestedTurns: 1},
		{Name: "restart", About: "the process restarts", Nodes: 1, Hosts: 1, MaxCalls: 1, RequestedTurns: 1, DelayedReport: true,
			Budget: Budget{Restarts: 1, LostProposals: 1}},
		{Name: "lost-store", About: "the process restarts with an empty store", Nodes: 1, Hosts: 1, MaxCalls: 1, RequestedTurns: 1,
			Budget: Budget{StoreLosses: 1, LostProposals: 1}},
		{Name: "new-leader", About: "a former leader still believes that it leads", Nodes: 1, Hosts: 1, MaxCalls: 1, RequestedTurns: 1,
			Budget: Budget{LeaderChanges: 1}},
		{Name: "withdrawn", About: "a turn is withdrawn and requested once more", Nodes: 1, Hosts: 1, ImmediateApply: true, OperatorsWait: true,
			MaxCalls: 1, RequestedTurns: 1,
			Budget: Budget{Withdrawals: 1, TurnRequests: 1}},
		{Name: "called-back", About: "a turn is revoked", Nodes: 1, Hosts: 2, OperatorsWait: true, MaxCalls: 1, RequestedTurns: 1,
			Budget: Budget{Failures: 1}},
		{Name: "other-nodes", About: "a leader that does whatever other nodes could cause it to do", Nodes: 1, Hosts: 1, ImmediateApply: true,
			OperatorsWait: true, UnrestrictedLeader: true, MaxCalls: 1, RequestedTurns: 1, Budget: Budget{Revocations: 1}},
		{Name: "two-nodes",
			About: "two nodes that may be cut off at any time, each with its own exclusion set", Nodes: 2, Hosts: 2, AtomicCalls: true,
			RequestedTurns: 2},
		{Name: "three-nodes",
			About: "three nodes and hosts, one node that may be cut off at any time, a new leader", Nodes: 3, Hosts: 3, AtomicCalls: true,
			OperatorsWait: true, RequestedTurns: 3, CurrentNodes: 2, Budget: Budget{LeaderChanges: 1}},
		{Name: "bans", About: "hosts are banned by an operator and have turns, in either order", Nodes: 1, Hosts: 2, AtomicCalls: true,
			OperatorsWait: true, RequestedTurns: 1, Budget: Budget{Bans: 1, TurnRequests: 1}},
		{Name: "dead", About: "a node is declared dead, whatever it does, and readmitted", Nodes: 2, Hosts: 2, AtomicCalls: true,
			OperatorsWait: true, RequestedTurns: 2, Budget: Budget{DeathDeclarations: 1}},
		{Name: "promises",
			About: "links are cut: a turn that can be granted is granted, if necessary after revoking one that cannot", Nodes: 2, Hosts: 2,
			AtomicCalls: true, OperatorsWait: true, CheckLiveness: true, RequestedTurns: 2, CurrentNodes: 1,
			Budget: Budget{LinkCuts: 1, TurnRequests: 1}},
		{Name: "promises-and-deaths", About: "a node is declared dead so that turns proceed, and readmitted", Nodes: 2, Hosts: 2,
			AtomicCalls: true, CheckLiveness: true, RequestedTurns: 1, CurrentNodes: 1,
			Budget: Budget{LinkCuts: 1, DeathDeclarations: 1, TurnRequests: 1}},
		{Name: "promises-and-bans", About: "bans and lost proposals block no turn for ever", Nodes: 1, Hosts: 2,
			AtomicCalls: true, OperatorsWait: true, CheckLiveness: true, RequestedTurns: 2, Budget: Budget{Bans: 1, LostProposals: 1}},
		{Name: "two-turns", About: "a second host waits for its turn", Nodes: 1, Hosts: 2, ImmediateApply: true, OperatorsWait: true,
			MaxCalls: 1, RequestedTurns: 2},
	}
}

// Larger lists worlds that take minutes, or need more memory than most machines have.
func Larger() []World {
	return []World{
		{Name: "leader-and-restart", About: "new-leader, and the process restarts", Nodes: 1, Hosts: 1, MaxCalls: 1, RequestedTurns: 1,
			Budget: Budget{LeaderChanges: 1, Restarts: 1}},
		{Name: "leader-and-loss", About: "new-leader, and the store is lost", Nodes: 1, Hosts: 1, MaxCalls: 1, RequestedTurns: 1,
			Budget: Budget{LeaderChanges: 1, StoreLosses: 1}},
		{Name: "lost-and-withdrawn", About: "the store is lost, and a turn is withdrawn and requested once more", Nodes: 1, Hosts: 1,
			MaxCalls: 1, RequestedTurns: 1, ImmediateApply: true, OperatorsWait: true,
			Budget: Budget{StoreLosses: 1, LostProposals: 1, Withdrawals: 1, TurnRequests: 1}},
		{Name: "other-nodes-and-hosts", About: "other-nodes, with a second host", Nodes: 1, Hosts: 2, ImmediateApply: true,
			OperatorsWait: true, UnrestrictedLeader: true, MaxCalls: 1, RequestedTurns: 2},
		{Name: "leader-and-called-back", About: "a former leader still believes that it leads, and a turn is revoked", Nodes: 1, Hosts: 2,
			MaxCalls: 1, RequestedTurns: 1, ImmediateApply: true, OperatorsWait: true, Budget: Budget{LeaderChanges: 1, Failures: 1}},
		{Name: "two-nodes-in-detail", About: "two nodes that may be cut off at any time", Nodes: 2, Hosts: 1,
			MaxCalls: 1, RequestedTurns: 1},
		{Name: "all-at-once", About: "three nodes and hosts, a new leader, restarts, a lost store, revoked turns", Nodes: 3, Hosts: 3,
			MaxCalls: 2, RequestedTurns: 2, EqualClocks: true, DelayedReport: true,
			Budget: Budget{TurnRequests: 1, Withdrawals: 1, Failures: 1, LeaderChanges: 1, Restarts: 1, StoreLosses: 1, DuplicateRequests: 1,
				LostProposals: 1}},
	}
}

// Model returns the model of a world, with the bug of that name injected unless the name is empty.
func (w World) Model(bugName string) (*Model, error) {
	m, err := New(w.Nodes, w.Hosts, w.Budget, bugName)
	if err != nil {
		return nil, err
	}
	m.MaxCalls, m.RequestedTurns, m.EqualClocks, m.DelayedReport = w.MaxCalls, w.RequestedTurns, w.EqualClocks, w.DelayedReport
	m.ImmediateApply, m.OperatorsWait = w.ImmediateApply || w.AtomicCalls, w.OperatorsWait
	m.AtomicCalls, m.UnrestrictedLeader, m.CurrentNodes, m.CheckLiveness = w.AtomicCalls, w.UnrestrictedLeader, w.CurrentNodes, w.CheckLiveness
	m.pool.atomicCalls = w.AtomicCalls
	m.SymmetricNodes = w.Nodes > 1 && !w.CheckLiveness
	return m, nil
}

// Named returns the world with that name.
func Named(name string) (World, error) {
	all := append(Worlds(), Larger()...)
	if i := slices.IndexFunc(all, func(w World) bool { return w.Name == name }); i >= 0 {
		return all[i], nil
	}
	return World{}, fmt.Errorf("no scenario is named %q; see rehearse model list", name)
}
