package query

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/choice/census"
	"lichenhitch/internal/choice/rights"
	"lichenhitch/internal/lifecycle"
)

// clearWithin is how long a host that the council has taken out may keep connections of this node that stand, before the
// node calls itself clear of it all the same: it sends nothing new there, and moves them bit by bit over some 8 s.
const clearTimeout = 15 * time.Second

// bound is what the site's council allows this node. Nothing is withheld where there is no council.
type restrictions struct {
	enabled       bool
	verdict       rights.Verdict
	withheldSince map[balance.ServerID]time.Duration // hosts withheld, since when
	suspended     map[balance.ServerID]bool          // of these, those that the balancer knows of
}

// Bind takes the council's latest word over; it is whole and replaces the one before. When Bind returns, nothing new goes to
// the hosts that are out: attempts whose first line was not written yet end unsent.
func (c *Core) ApplyVerdict(v rights.Verdict) {
	if c.restrictions.withheldSince == nil {
		c.restrictions.withheldSince, c.restrictions.suspended = map[balance.ServerID]time.Duration{}, map[balance.ServerID]bool{}
	}
	c.restrictions.enabled, c.restrictions.verdict = true, v
	c.syncWithheld()
}

// Lapsed says whether this node is bound by a council and its right to send has run out.
func (c *Core) LeaseExpired() bool {
	return c.restrictions.enabled && c.clock.Now() >= c.restrictions.verdict.Until
}

// Untold says whether this node has never been told what is out, so that it may send nothing.
func (c *Core) LacksExclusionSet() bool { return c.LeaseExpired() && c.restrictions.verdict.All }

// withheld says whether the council's word, or the end of the right, forbids to send anything new to a host. It is asked
// with the clock of this moment, so that a process that was stopped does not go on with a right that has run out.
func (c *Core) withheld(server balance.ServerID) bool {
	return c.restrictions.enabled && c.restrictions.verdict.Withholds(string(server), c.clock.Now())
}

// keep has the balancer know what is withheld now. A node that was never told anything withholds all, which the balancer
// is not told: every host would count as just started once the first right is there. Its attempts end unsent.
func (c *Core) syncWithheld() {
	if !c.restrictions.enabled {
		return
	}
	now := c.clock.Now()
	withhold := map[balance.ServerID]bool{}
	for _, o := range c.restrictions.verdict.Outs {
		withhold[balance.ServerID(o.Host)] = true
	}
	if now >= c.restrictions.verdict.Until && !c.restrictions.verdict.All {
		for _, host := range c.restrictions.verdict.Lapsed {
			withhold[balance.ServerID(host)] = true
		}
	}
	for _, server := range sortedKeys(c.restrictions.suspended) {
		if !withhold[server] {
			delete(c.restrictions.suspended, server)
			delete(c.restrictions.withheldSince, server)
			if _, banned := c.bans[server]; !banned {
				c.feed(balance.Resume{Server: server})
			}
		}
	}
	for _, server := range sortedKeys(withhold) {
		if !c.restrictions.suspended[server] {
			c.restrictions.suspended[server], c.restrictions.withheldSince[server] = true, now
			if _, banned := c.bans[server]; !banned {
				c.feed(balance.Suspend{Server: server})
			}
		}
	}
}

// Clear returns those of the hosts that the council has taken out that this node sends nothing new to: no attempt is out
// there, and the connections that stood are moved, or had their time.
func (c *Core) ClearedHosts() (all []rights.Out) {
	if !c.restrictions.enabled || len(c.restrictions.verdict.Outs) == 0 {
		return nil
	}
	trying, established := map[balance.ServerID]bool{}, map[balance.ServerID]bool{}
	for _, r := range c.requests {
		switch r.state.Phase {
		case lifecycle.Trying:
			trying[r.server] = true
		case lifecycle.Established:
			established[r.server] = true
		}
	}
	now := c.clock.Now()
	for _, o := range c.restrictions.verdict.Outs {
		server := balance.ServerID(o.Host)
		if !trying[server] && (!established[server] || now-c.restrictions.withheldSince[server] >= clearTimeout) {
			all = append(all, o)
		}
	}
	return all
}

// Verdict returns the council's word that is in effect here.
func (c *Core) Verdict() rights.Verdict { return c.restrictions.verdict }

// Look returns what this node sees of its hosts, for its council; stale says that discovery does not answer. One that drains,
// or has started less than coldFor ago, is not warm. Those that have left the list are not among them. Worth is that of the
// connections that stand.
func (c *Core) ObserveHosts(coldFor time.Duration, value func(class string) float64, stale bool) *census.Look {
	look := &census.Look{Hosts: make([]census.Host, 0, len(c.hosts)), Worth: map[string]float64{}, Failing: c.ejectedHosts(), Stale: stale}
	for _, server := range sortedKeys(c.hosts) {
		if entry := c.hosts[server]; entry.listed {
			look.Hosts = append(look.Hosts, census.Host{ID: string(server), Zone: entry.zone, Kind: entry.kind, Start: entry.started, Draining: !entry.ready,
				Warm: entry.ready && c.clock.Now()-entry.started >= coldFor})
		}
	}
	groups, sizes := map[string]float64{}, map[string]int{}
	for _, r := range c.requests {
		if r.state.Phase == lifecycle.Established {
			look.Worth[string(r.server)] += value(r.arrival.Class)
			if r.arrival.Group != "" {
				groups[r.arrival.Group] += value(r.arrival.Class)
				sizes[r.arrival.Group]++
			}
		}
	}
	maps.DeleteFunc(groups, func(group string, _ float64) bool { return sizes[group] < 2 }) // one alone is with nobody
	look.Groups = c.topGroups(groups)
	return look
}

// gathering returns the groups that are worth the most with their homes, as many as a council may be told of.
func (c *Core) topGroups(values map[string]float64) (all []census.Group) {
	b, ok := c.balancer.(interface {
		PreferredServers(group string) []balance.ServerID
	})
	if !ok {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		all = append(all, census.Group{Name: name, Worth: values[name]})
	}
	slices.SortStableFunc(all, func(x, y census.Group) int { return cmp.Compare(y.Worth, x.Worth) })
	all = all[:min(len(all), 2*census.MostGroups)]
	for i := range all {
		for _, server := range b.PreferredServers(all[i].Name) {
			all[i].Homes = append(all[i].Homes, string(server))
		}
	}
	return all
}

// failing returns the hosts that the balancer has set aside for their failures, sorted.
func (c *Core) ejectedHosts() (all []string) {
	if b, ok := c.balancer.(interface{ Ejected() []balance.ServerID }); ok {
		for _, server := range b.Ejected() {
			all = append(all, string(server))
		}
	}
	slices.Sort(all)
	return all
}
