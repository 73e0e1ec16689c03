package query

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/hostview"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/lifecycle"
)

// clearWithin is how long a host that the council has taken out may keep connections of this node that stand, before the
// node calls itself clear of it all the same: it sends nothing new there, and moves them bit by bit over some 8 s.
const clearWithin = 15 * time.Second

// bound is what the site's council allows this node. Nothing is withheld where there is no council.
type bound struct {
	on      bool
	verdict sendlease.Restrictions
	since   map[balance.ServerID]time.Duration // hosts withheld, since when
	told    map[balance.ServerID]bool          // of these, those that the balancer knows of
}

// Bind takes the council's latest word over; it is whole and replaces the one before. When Bind returns, nothing new goes to
// the hosts that are out: attempts whose first line was not written yet end unsent.
func (c *Core) Bind(v sendlease.Restrictions) {
	if c.bound.since == nil {
		c.bound.since, c.bound.told = map[balance.ServerID]time.Duration{}, map[balance.ServerID]bool{}
	}
	c.bound.on, c.bound.verdict = true, v
	c.keep()
}

// Lapsed says whether this node is bound by a council and its right to send has run out.
func (c *Core) Lapsed() bool { return c.bound.on && c.clock.Now() >= c.bound.verdict.LeaseEnd }

// Untold says whether this node has never been told what is out, so that it may send nothing.
func (c *Core) Untold() bool { return c.Lapsed() && c.bound.verdict.AllAfterExpiry }

// withheld says whether the council's word, or the end of the right, forbids to send anything new to a host. It is asked
// with the clock of this moment, so that a process that was stopped does not go on with a right that has run out.
func (c *Core) withheld(server balance.ServerID) bool {
	return c.bound.on && c.bound.verdict.Excludes(string(server), c.clock.Now())
}

// keep has the balancer know what is withheld now. A node that was never told anything withholds all, which the balancer
// is not told: every host would count as just started once the first right is there. Its attempts end unsent.
func (c *Core) keep() {
	if !c.bound.on {
		return
	}
	now := c.clock.Now()
	want := map[balance.ServerID]bool{}
	for _, o := range c.bound.verdict.ExcludedHosts {
		want[balance.ServerID(o.Host)] = true
	}
	if now >= c.bound.verdict.LeaseEnd && !c.bound.verdict.AllAfterExpiry {
		for _, host := range c.bound.verdict.ExcludedAfterExpiry {
			want[balance.ServerID(host)] = true
		}
	}
	for _, server := range sorted(c.bound.told) {
		if !want[server] {
			delete(c.bound.told, server)
			delete(c.bound.since, server)
			if _, out := c.bans[server]; !out {
				c.feed(balance.Resume{Server: server})
			}
		}
	}
	for _, server := range sorted(want) {
		if !c.bound.told[server] {
			c.bound.told[server], c.bound.since[server] = true, now
			if _, out := c.bans[server]; !out {
				c.feed(balance.Suspend{Server: server})
			}
		}
	}
}

// Clear returns those of the hosts that the council has taken out that this node sends nothing new to: no attempt is out
// there, and the connections that stood are moved, or had their time.
func (c *Core) Clear() (all []sendlease.ExcludedHost) {
	if !c.bound.on || len(c.bound.verdict.ExcludedHosts) == 0 {
		return nil
	}
	trying, standing := map[balance.ServerID]bool{}, map[balance.ServerID]bool{}
	for _, q := range c.queries {
		switch q.state.Phase {
		case lifecycle.Trying:
			trying[q.server] = true
		case lifecycle.Established:
			standing[q.server] = true
		}
	}
	now := c.clock.Now()
	for _, o := range c.bound.verdict.ExcludedHosts {
		server := balance.ServerID(o.Host)
		if !trying[server] && (!standing[server] || now-c.bound.since[server] >= clearWithin) {
			all = append(all, o)
		}
	}
	return all
}

// Verdict returns the council's word that is in effect here.
func (c *Core) Verdict() sendlease.Restrictions { return c.bound.verdict }

// Look returns what this node sees of its hosts, for its council; stale says that discovery does not answer. One that drains,
// or has started less than coldFor ago, is not warm. Those that have left the list are not among them. Worth is that of the
// connections that stand.
func (c *Core) Look(coldFor time.Duration, worth func(class string) float64, stale bool) *hostview.Observation {
	l := &hostview.Observation{Hosts: make([]hostview.Host, 0, len(c.told)), Values: map[string]float64{}, Failing: c.failing(), Stale: stale}
	for _, server := range sorted(c.told) {
		if t := c.told[server]; t.here {
			l.Hosts = append(l.Hosts, hostview.Host{ID: string(server), Zone: t.zone, Kind: t.kind, Start: t.started, Draining: !t.ready,
				Warm: t.ready && c.clock.Now()-t.started >= coldFor})
		}
	}
	groups, of := map[string]float64{}, map[string]int{}
	for _, q := range c.queries {
		if q.state.Phase == lifecycle.Established {
			l.Values[string(q.server)] += worth(q.arrival.Class)
			if q.arrival.Group != "" {
				groups[q.arrival.Group] += worth(q.arrival.Class)
				of[q.arrival.Group]++
			}
		}
	}
	maps.DeleteFunc(groups, func(group string, _ float64) bool { return of[group] < 2 }) // one alone is with nobody
	l.Groups = c.gathering(groups)
	return l
}

// gathering returns the groups that are worth the most with their homes, as many as a council may be told of.
func (c *Core) gathering(worth map[string]float64) (all []hostview.Group) {
	b, tells := c.balancer.(interface {
		PreferredServers(group string) []balance.ServerID
	})
	if !tells {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(worth)) {
		all = append(all, hostview.Group{Name: name, Value: worth[name]})
	}
	slices.SortStableFunc(all, func(x, y hostview.Group) int { return cmp.Compare(y.Value, x.Value) })
	all = all[:min(len(all), 2*hostview.MaxGroups)]
	for i := range all {
		for _, server := range b.PreferredServers(all[i].Name) {
			all[i].Homes = append(all[i].Homes, string(server))
		}
	}
	return all
}

// failing returns the hosts that the balancer has set aside for their failures, sorted.
func (c *Core) failing() (all []string) {
	if b, tells := c.balancer.(interface{ Ejected() []balance.ServerID }); tells {
		for _, server := range b.Ejected() {
			all = append(all, string(server))
		}
	}
	slices.Sort(all)
	return all
}
