package control

import (
	"slices"
	"time"

	"lichenhitch/internal/choice/hostview"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/peer/peerpb"
)

// This file is what a node tells of its hosts, and what its leader makes of what all nodes tell; see package hostview.

const (
	// freshFor is how long what a node reported of its hosts counts, in times that a right lasts.
	freshFor = 3
	// fleetEvery is the pause between two looks at the hosts by the leader.
	fleetEvery = time.Second
)

// sight is what this node sees of the hosts, and as a leader what the nodes told it.
type sight struct {
	reporter *hostview.Reporter
	zones    map[string]string // by host, as the last look had them
	known    uint64            // the log's index up to which the leader had applied at its newest answer to this node
	answer   uint64            // the newest question that was answered
	own      uint64            // counts what a leader told itself
	census   *hostview.Aggregator
	at       time.Duration // when the leader looks next
}

func newSight(now time.Duration) sight {
	return sight{reporter: hostview.NewReporter(), census: hostview.New(now)}
}

// lead begins anew, at an election.
func (s *sight) lead(now time.Duration) {
	s.census, s.at = hostview.New(now), 0
	s.reporter.Acknowledge(0)
}

// look takes the loop's look over. What the node knew by then is what it had heard before: the loop's reports and the answers
// come in one queue.
func (c *Core) look(l *hostview.Observation) {
	if l == nil {
		return
	}
	l.AppliedIndex = max(c.applied, c.hosts.known)
	c.hosts.reporter.Observe(*l)
	c.hosts.zones = make(map[string]string, len(l.Hosts))
	for _, h := range l.Hosts {
		c.hosts.zones[h.ID] = h.Zone
	}
	if c.leading && c.returns(func(string) bool { return true }) { // a turn's end may wait for what was seen
		c.hosts.at = 0
	}
}

// returns says whether some host that was worked on is to be seen in service yet.
func (c *Core) returns(which func(host string) bool) bool {
	return slices.ContainsFunc(c.book.Turns(), func(t turns.Turn) bool { return t.Phase == turns.Returning && which(t.Host) })
}

// tellHosts returns what goes with a question.
func (c *Core) tellHosts() *peerpb.Census {
	p, any := c.hosts.reporter.Report()
	if !any {
		return nil
	}
	q := &peerpb.Census{Boot: c.Boot, Version: p.Version, Since: p.Since, Seen: p.AppliedIndex, Stale: p.Stale, Gone: p.Removed,
		GroupsUnknown: p.GroupsUnknown}
	for _, h := range p.Hosts {
		q.Hosts = append(q.Hosts, &peerpb.SeenHost{Id: h.ID, Zone: h.Zone, Kind: h.Kind, StartUs: uint64(h.Start / time.Microsecond),
			Draining: h.Draining, Warm: h.Warm, Failing: h.Failing, Worth: float32(h.Value), Groups: h.Groups})
	}
	return q
}

// toldHosts takes over what an answer says of them. A council that was founded anew counts from the beginning, so the newest
// answer counts, whatever was heard before.
func (c *Core) toldHosts(now time.Duration, r *peerpb.RenewReply) {
	if r.Seq <= c.hosts.answer {
		return
	}
	c.hosts.answer, c.hosts.known = r.Seq, r.Applied
	if r.Leader != c.Site.Node && c.hosts.reporter.Acknowledge(r.Census) {
		c.askAt = min(c.askAt, now)
	}
}

// hearHosts takes over what a node told, and returns which version of it this leader has.
func (c *Core) hearHosts(now time.Duration, ask *peerpb.RenewRequest) uint64 {
	q := ask.Census
	if q == nil || ask.Node == c.Site.Node { // its own is taken whenever it looks
		return 0
	}
	p := hostview.Report{Process: hostview.Process{Incarnation: ask.Life, OpenCount: q.Boot}, Seq: ask.Seq, Version: q.Version, Since: q.Since,
		AppliedIndex: q.Seen, Stale: q.Stale, Removed: q.Gone, GroupsUnknown: q.GroupsUnknown}
	for _, h := range q.Hosts {
		p.Hosts = append(p.Hosts, hostview.Host{ID: h.Id, Zone: h.Zone, Kind: h.Kind, Start: time.Duration(h.StartUs) * time.Microsecond,
			Draining: h.Draining, Warm: h.Warm, Failing: h.Failing, Value: float64(h.Worth), Groups: h.Groups})
	}
	if len(p.Hosts) > 0 && c.returns(func(host string) bool {
		return slices.ContainsFunc(p.Hosts, func(h hostview.Host) bool { return h.ID == host && h.Warm })
	}) {
		c.hosts.at = 0 // it may be the word that is waited for
	}
	return c.hosts.census.Record(now, ask.Node, p)
}

// fleet is fleetNow once a second, and where a turn's end may wait for it.
func (c *Core) fleet(now time.Duration) ([]turns.Host, bool) {
	if now < c.hosts.at {
		return nil, false
	}
	return c.fleetNow(now)
}

// fleetNow returns the hosts as the nodes see them, all together; true where that is news to the book, or where a turn is reported
// done whose host was seen in service since.
func (c *Core) fleetNow(now time.Duration) ([]turns.Host, bool) {
	s := &c.hosts
	s.at = now + fleetEvery
	if p, any := s.reporter.Report(); any {
		s.own++
		p.Process, p.Seq = hostview.Process{Incarnation: c.holder.Saved().Incarnation, OpenCount: c.Boot}, s.own
		s.reporter.Acknowledge(s.census.Record(now, c.Site.Node, p))
	}
	terms := hostview.MergeParams{MaxAge: freshFor * c.Site.SendLease.Duration, LeaderWait: c.Site.SendLease.Duration, Previous: c.book.Hosts(),
		Returning: map[string]uint64{}}
	for _, node := range c.book.Members() {
		if !c.book.Dead(node) {
			terms.Members = append(terms.Members, node)
		}
	}
	all := c.book.Turns()
	for _, t := range all {
		if t.Phase == turns.Returning {
			terms.Returning[t.Host] = t.DoneIndex
		}
	}
	f := s.census.Merge(now, terms)
	for i := range f.Hosts {
		f.Hosts[i].Banned = c.isBanned(f.Hosts[i].ID)
	}
	unsure := func(host string) bool { _, is := slices.BinarySearch(f.Unsure, host); return is }
	news := !slices.EqualFunc(f.Hosts, slices.DeleteFunc(terms.Previous, func(h turns.Host) bool { return h.Gone }),
		func(a, b turns.Host) bool { return equalHosts(a, b, unsure(a.ID)) })
	for _, h := range f.Hosts {
		news = news || slices.ContainsFunc(all, func(t turns.Turn) bool {
			return t.Phase == turns.Returning && t.Host == h.ID && !h.Failed && !h.Banned && (h.Warm || !t.InService)
		})
	}
	return f.Hosts, news
}

// knowsHomes says whether a command takes no host out beside another one before it is known which groups gather at them.
func (c *Core) knowsHomes(now time.Duration, cmd turns.Command) bool {
	return cmd.Prepare == nil || c.book.IsOnlyHostOut(cmd.Prepare.ID) || len(c.groupsUnknown(now)) == 0
}

// groupsUnknown returns the nodes that may send and have not told this leader yet which groups gather at their hosts.
func (c *Core) groupsUnknown(now time.Duration) (nodes []string) {
	for _, node := range c.book.Members() {
		lapsed := c.book.Dead(node) || c.table.LeaseState(now, node) == sendlease.Expired
		if !lapsed && !c.hosts.census.GroupsKnown(node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// equalHosts says whether nothing is news of a host; of one that nobody is sure of, whether it is in service is none.
func equalHosts(a, b turns.Host, unsure bool) bool {
	return a.ID == b.ID && a.Zone == b.Zone && a.Kind == b.Kind && a.Value == b.Value && a.Banned == b.Banned &&
		slices.Equal(a.Groups, b.Groups) && (unsure || a.Failed == b.Failed && a.Warm == b.Warm)
}
