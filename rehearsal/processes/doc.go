// Package processes runs integration tests with real processes of the program on loopback: the nodes of one site, or of two
// or three levels of sites, with fake backend hosts, a fake discovery service, test clients that keep connecting, and
// requesters of turns (a turn is the permission to do maintenance work on one host). Each ordered pair of nodes is
// connected through a proxy of this package (Link) that can drop, stall, delay, throttle and reset connections. The
// checkers rely on what hosts, clients and requesters observed, never on what a node reports about itself.
//
//	w := processes.New(t, processes.Plan{Seed: 1, Hosts: processes.Fleet(4), Sites: []processes.Site{
//		{Name: "b", Level: sitepb.Level_BUILDING, Nodes: []string{"n0", "n1", "n2"}, Replicas: 3}}})
//	w.Start()
//	clients := w.StartClients(processes.Load{PerSecond: 40, MaxConcurrent: 60, HoldTime: 300 * time.Millisecond})
//	requester := w.Requester("night shift")
//	w.Link("n0", "n1").Cut(processes.ToTarget)
//	w.Node("n2").Kill()
//	requester.Work(ctx, "t1", "h0", 5, func() { ... })
//	w.Heal()
//	clients.Stop()
//	w.RequireNoViolations(processes.Allowance{Site: 1})
//
// A fault sequence (TestTurnsWritesAndPoliciesUnderFaultsFromASeed, flags -storms and -storm) runs turns, writes and policy
// rollouts at the same time under faults derived from a seed, with an Operator that follows the procedures in docs/operate.
//
// The policy that a node applies is read from the first lines that reach hosts (PolicyObservation); PolicyPoller reports
// what the sites' consensus groups say about it.
package processes
