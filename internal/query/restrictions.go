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

// clearTimeout is how long an excluded host may keep established connections of this node before the node reports
// it as cleared in any case. The node sends nothing new to the host, and moves its connections gradually within
// about 8 s.
const clearTimeout = 15 * time.Second

// restrictions is what the site's consensus group allows this node to send. Without a consensus group nothing is
// withheld.
type restrictions struct {
	enabled       bool
	current       sendlease.Restrictions
	withheldSince map[balance.ServerID]time.Duration // since when each host is withheld
	suspended     map[balance.ServerID]bool          // the hosts that are withheld, of which the balancer was notified
}

// ApplyRestrictions applies the latest restrictions of the site's consensus group. They are complete and replace the
// previous ones. From its return on, nothing new is sent to excluded hosts: attempts whose first line was not yet
// written end unsent.
func (c *Core) ApplyRestrictions(v sendlease.Restrictions) {
	if c.restrictions.withheldSince == nil {
		c.restrictions.withheldSince, c.restrictions.suspended = map[balance.ServerID]time.Duration{}, map[balance.ServerID]bool{}
	}
	c.restrictions.enabled, c.restrictions.current = true, v
	c.syncWithheld()
}

// LeaseExpired reports whether this node needs a send lease of a consensus group, and its lease has expired.
func (c *Core) LeaseExpired() bool {
	return c.restrictions.enabled && c.clock.Now() >= c.restrictions.current.LeaseEnd
}

// LacksExclusionSet reports whether this node has no send lease and has never received an exclusion set, so that
// it may send nothing.
func (c *Core) LacksExclusionSet() bool {
	return c.LeaseExpired() && c.restrictions.current.AllAfterExpiry
}

// withheld reports whether the restrictions, or the expiry of the send lease, forbid to send anything new to a host.
// It reads the clock itself, so that a process that was suspended does not continue on a lease that has expired.
func (c *Core) withheld(server balance.ServerID) bool {
	return c.restrictions.enabled && c.restrictions.current.Excludes(string(server), c.clock.Now())
}

// syncWithheld notifies the balancer of the hosts that are withheld now. A node that has never received an
// exclusion set withholds all hosts without notifying the balancer: otherwise every host would count as just
// started once the first send lease arrives. Its attempts end unsent.
func (c *Core) syncWithheld() {
	if !c.restrictions.enabled {
		return
	}
	now := c.clock.Now()
	withhold := map[balance.ServerID]bool{}
	for _, o := range c.restrictions.current.ExcludedHosts {
		withhold[balance.ServerID(o.Host)] = true
	}
	if now >= c.restrictions.current.LeaseEnd && !c.restrictions.current.AllAfterExpiry {
		for _, host := range c.restrictions.current.ExcludedAfterExpiry {
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

// ClearedHosts returns the excluded hosts to which this node sends nothing new: no attempt is in progress there,
// and the established connections were moved, or had clearTimeout to be moved.
func (c *Core) ClearedHosts() (all []sendlease.ExcludedHost) {
	if !c.restrictions.enabled || len(c.restrictions.current.ExcludedHosts) == 0 {
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
	for _, o := range c.restrictions.current.ExcludedHosts {
		server := balance.ServerID(o.Host)
		if !trying[server] && (!established[server] || now-c.restrictions.withheldSince[server] >= clearTimeout) {
			all = append(all, o)
		}
	}
	return all
}

// Restrictions returns the restrictions that are in effect.
func (c *Core) Restrictions() sendlease.Restrictions { return c.restrictions.current }

// ObserveHosts returns what this node observes of the hosts in the list, for the site's consensus group. stale
// says that discovery does not answer. A host that drains, or that started less than warmUp ago, is not warm.
// Values has the sum of the values of the established connections for each host.
func (c *Core) ObserveHosts(warmUp time.Duration, value func(class string) float64, stale bool) *hostview.Observation {
	observation := &hostview.Observation{Hosts: make([]hostview.Host, 0, len(c.hosts)), Values: map[string]float64{},
		Failing: c.ejectedHosts(), Stale: stale}
	for _, server := range sortedKeys(c.hosts) {
		if entry := c.hosts[server]; entry.listed {
			observation.Hosts = append(observation.Hosts, hostview.Host{ID: string(server), Zone: entry.zone, Kind: entry.kind,
				Start: entry.started, Draining: !entry.ready, Warm: entry.ready && c.clock.Now()-entry.started >= warmUp})
		}
	}
	groups, sizes := map[string]float64{}, map[string]int{}
	for _, r := range c.requests {
		if r.state.Phase == lifecycle.Established {
			observation.Values[string(r.server)] += value(r.arrival.Class)
			if r.arrival.Group != "" {
				groups[r.arrival.Group] += value(r.arrival.Class)
				sizes[r.arrival.Group]++
			}
		}
	}
	maps.DeleteFunc(groups, func(group string, _ float64) bool { return sizes[group] < 2 }) // a group of one connection needs no common host
	observation.Groups = c.topGroups(groups)
	return observation
}

// topGroups returns the groups of the highest value with their preferred hosts, at most twice hostview.MaxGroups.
func (c *Core) topGroups(values map[string]float64) (all []hostview.Group) {
	chooser, ok := c.balancer.(interface {
		PreferredServers(group string) []balance.ServerID
	})
	if !ok {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		all = append(all, hostview.Group{Name: name, Value: values[name]})
	}
	slices.SortStableFunc(all, func(a, b hostview.Group) int { return cmp.Compare(b.Value, a.Value) })
	all = all[:min(len(all), 2*hostview.MaxGroups)]
	for i := range all {
		for _, server := range chooser.PreferredServers(all[i].Name) {
			all[i].PreferredHosts = append(all[i].PreferredHosts, string(server))
		}
	}
	return all
}

// ejectedHosts returns the hosts that the balancer has ejected for their failures, sorted.
func (c *Core) ejectedHosts() (all []string) {
	if b, ok := c.balancer.(interface{ Ejected() []balance.ServerID }); ok {
		for _, server := range b.Ejected() {
			all = append(all, string(server))
		}
	}
	slices.Sort(all)
	return all
}
