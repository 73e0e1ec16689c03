package control

import (
	"slices"
	"time"

	"lichenhitch/internal/choice/hostview"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/peer/peerpb"
)

// This file has a node's reports on its hosts, and the leader's merging of the reports of all nodes; see package hostview.

const (
	// reportMaxAgeLeases is how long a node's report on its hosts is valid, in durations of a send lease.
	reportMaxAgeLeases = 3
	// fleetInterval is how often the leader merges the reports on the hosts.
	fleetInterval = time.Second
)

// hostViewState is what this node observes of the hosts and, on the leader, what the nodes reported.
type hostViewState struct {
	reporter           *hostview.Reporter
	zones              map[string]string // by host, from the latest observation
	leaderAppliedIndex uint64            // log index up to which the leader had applied when it sent its latest answer to this node
	lastResponse       uint64            // number of the latest lease request that was answered
	ownReports         uint64            // number of reports that this node, as the leader, took from its own reporter
	aggregator         *hostview.Aggregator
	nextMergeAt        time.Duration // when the leader merges the reports next
}

func newHostViewState(now time.Duration) hostViewState {
	return hostViewState{reporter: hostview.NewReporter(), aggregator: hostview.New(now)}
}

// reset discards what earlier terms collected, when this node becomes the leader.
func (s *hostViewState) reset(now time.Duration) {
	s.aggregator, s.nextMergeAt = hostview.New(now), 0
	s.reporter.Acknowledge(0)
}

// recordObservation records the traffic loop's observation of the hosts. The loop's reports and the leader's answers arrive
// through one queue, so the observation was made with the log known up to the index set here.
func (c *Core) recordObservation(observation *hostview.Observation) {
	if observation == nil {
		return
	}
	observation.AppliedIndex = max(c.appliedIndex, c.hostView.leaderAppliedIndex)
	c.hostView.reporter.Observe(*observation)
	c.hostView.zones = make(map[string]string, len(observation.Hosts))
	for _, h := range observation.Hosts {
		c.hostView.zones[h.ID] = h.Zone
	}
	if c.leading && c.anyHostReturning(func(string) bool { return true }) { // the end of a turn may depend on this observation
		c.hostView.nextMergeAt = 0
	}
}

// anyHostReturning reports whether some selected host had its maintenance finished and was not observed in service since.
func (c *Core) anyHostReturning(matches func(host string) bool) bool {
	return slices.ContainsFunc(c.schedule.Turns(), func(t turns.Turn) bool { return t.Phase == turns.Returning && matches(t.Host) })
}

// hostReport returns the report on the hosts that goes with a lease request, nil if there is none.
func (c *Core) hostReport() *peerpb.Census {
	p, ok := c.hostView.reporter.Report()
	if !ok {
		return nil
	}
	q := &peerpb.Census{Boot: c.OpenCount, Version: p.Version, Since: p.Since, Seen: p.AppliedIndex, Stale: p.Stale, Gone: p.Removed,
		GroupsUnknown: p.GroupsUnknown}
	for _, h := range p.Hosts {
		q.Hosts = append(q.Hosts, &peerpb.SeenHost{Id: h.ID, Zone: h.Zone, Kind: h.Kind, StartUs: uint64(h.Start / time.Microsecond),
			Draining: h.Draining, Warm: h.Warm, Failing: h.Failing, Worth: float32(h.Value), Groups: h.Groups})
	}
	return q
}

// handleHostAck processes a lease response's acknowledgement of host reports. A consensus group that was re-bootstrapped
// starts its log again, so the index of the latest answer is used even if it is lower than an earlier one.
func (c *Core) handleHostAck(now time.Duration, r *peerpb.RenewReply) {
	if r.Seq <= c.hostView.lastResponse {
		return
	}
	c.hostView.lastResponse, c.hostView.leaderAppliedIndex = r.Seq, r.Applied
	if r.Leader != c.Site.Node && c.hostView.reporter.Acknowledge(r.Census) {
		c.nextRequestAt = min(c.nextRequestAt, now)
	}
}

// recordHostReport records a node's report on its hosts, and returns which version of it this leader has.
func (c *Core) recordHostReport(now time.Duration, request *peerpb.RenewRequest) uint64 {
	q := request.Census
	if q == nil || request.Node == c.Site.Node { // mergeFleet takes this node's own report
		return 0
	}
	p := hostview.Report{Process: hostview.Process{Incarnation: request.Life, OpenCount: q.Boot}, Seq: request.Seq, Version: q.Version,
		Since: q.Since, AppliedIndex: q.Seen, Stale: q.Stale, Removed: q.Gone, GroupsUnknown: q.GroupsUnknown}
	for _, h := range q.Hosts {
		p.Hosts = append(p.Hosts, hostview.Host{ID: h.Id, Zone: h.Zone, Kind: h.Kind, Start: time.Duration(h.StartUs) * time.Microsecond,
			Draining: h.Draining, Warm: h.Warm, Failing: h.Failing, Value: float64(h.Worth), Groups: h.Groups})
	}
	if len(p.Hosts) > 0 && c.anyHostReturning(func(host string) bool {
		return slices.ContainsFunc(p.Hosts, func(h hostview.Host) bool { return h.ID == host && h.Warm })
	}) {
		c.hostView.nextMergeAt = 0 // a returning turn may wait for this report
	}
	return c.hostView.aggregator.Record(now, request.Node, p)
}

// fleetIfDue is mergeFleet limited to once per fleetInterval, or at once if the end of a turn may depend on it.
func (c *Core) fleetIfDue(now time.Duration) ([]turns.Host, bool) {
	if now < c.hostView.nextMergeAt {
		return nil, false
	}
	return c.mergeFleet(now)
}

// mergeFleet returns the hosts as the nodes' merged reports have them. It returns true if they differ from the schedule's
// hosts, or if a host whose maintenance is done was observed in service since.
func (c *Core) mergeFleet(now time.Duration) ([]turns.Host, bool) {
	state := &c.hostView
	state.nextMergeAt = now + fleetInterval
	if p, ok := state.reporter.Report(); ok {
		state.ownReports++
		p.Process, p.Seq = hostview.Process{Incarnation: c.leaseHolder.Saved().Incarnation, OpenCount: c.OpenCount}, state.ownReports
		state.reporter.Acknowledge(state.aggregator.Record(now, c.Site.Node, p))
	}
	params := hostview.MergeParams{MaxAge: reportMaxAgeLeases * c.Site.SendLease.Duration, LeaderWait: c.Site.SendLease.Duration,
		Previous: c.schedule.Hosts(), Returning: map[string]uint64{}}
	for _, node := range c.schedule.Members() {
		if !c.schedule.Dead(node) {
			params.Members = append(params.Members, node)
		}
	}
	all := c.schedule.Turns()
	for _, t := range all {
		if t.Phase == turns.Returning {
			params.Returning[t.Host] = t.DoneIndex
		}
	}
	f := state.aggregator.Merge(now, params)
	for i := range f.Hosts {
		f.Hosts[i].Banned = c.isBanned(f.Hosts[i].ID)
	}
	isUnsure := func(host string) bool { _, found := slices.BinarySearch(f.Unsure, host); return found }
	changed := !slices.EqualFunc(f.Hosts, slices.DeleteFunc(params.Previous, func(h turns.Host) bool { return h.Gone }),
		func(a, b turns.Host) bool { return equalHosts(a, b, isUnsure(a.ID)) })
	for _, h := range f.Hosts {
		changed = changed || slices.ContainsFunc(all, func(t turns.Turn) bool {
			return t.Phase == turns.Returning && t.Host == h.ID && !h.Failed && !h.Banned && (h.Warm || !t.InService)
		})
	}
	return f.Hosts, changed
}

// groupsKnownFor reports whether a command may be proposed as far as the groups of hosts are concerned: a second host is taken
// out of service only once it is known which groups prefer which hosts.
func (c *Core) groupsKnownFor(now time.Duration, cmd turns.Command) bool {
	return cmd.Prepare == nil || c.schedule.IsOnlyHostOut(cmd.Prepare.ID) || len(c.groupsUnknown(now)) == 0
}

// groupsUnknown returns the nodes that may send and have not reported to this leader yet which groups prefer their hosts.
func (c *Core) groupsUnknown(now time.Duration) (nodes []string) {
	for _, node := range c.schedule.Members() {
		expired := c.schedule.Dead(node) || c.leaseTable.LeaseState(now, node) == sendlease.Expired
		if !expired && !c.hostView.aggregator.GroupsKnown(node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// equalHosts reports whether two states of a host are equal. If no node is sure about the host, whether it is in service is
// not compared.
func equalHosts(a, b turns.Host, unsure bool) bool {
	return a.ID == b.ID && a.Zone == b.Zone && a.Kind == b.Kind && a.Value == b.Value && a.Banned == b.Banned &&
		slices.Equal(a.Groups, b.Groups) && (unsure || a.Failed == b.Failed && a.Warm == b.Warm)
}
