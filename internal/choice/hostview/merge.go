package hostview

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lichenhitch/internal/choice/turns"
)

// Fleet is the merged view of the hosts.
type Fleet struct {
	Hosts  []turns.Host // sorted by id
	Unsure []string     // sorted subset: those that are Returning and not yet observed since by enough nodes that count (C5)
}

// Merge returns the hosts as seen by the nodes that reported recently. While too little is known, they are as recorded before, except for
// what nodes know from their own traffic.
func (c *Aggregator) Merge(now time.Duration, t MergeParams) Fleet {
	maps.DeleteFunc(c.nodes, func(node string, _ *view) bool {
		_, member := slices.BinarySearch(t.Members, node)
		return !member
	})
	var views, fresh, current []*view
	for _, node := range slices.Sorted(maps.Keys(c.nodes)) {
		v := c.nodes[node]
		views = append(views, v)
		if now-v.at <= t.MaxAge {
			fresh = append(fresh, v)
			if !v.stale {
				current = append(current, v)
			}
		}
	}
	if 2*len(fresh) <= len(t.Members) && now-c.since < t.LeaderWait {
		current = nil
	}
	before := map[string]turns.Host{}
	for _, h := range t.Previous {
		if !h.Gone {
			before[h.ID] = h
		}
	}
	allReported := len(views) == len(t.Members)
	var f Fleet
	for _, id := range listed(current, before) {
		h := before[id]
		doneIndex, unsure := t.Returning[id]
		if len(current) > 0 {
			h, unsure = merged(id, current, doneIndex)
		}
		if unsure {
			f.Unsure = append(f.Unsure, id)
		}
		failing, value := 0, 0.0
		for _, v := range fresh {
			value += v.hosts[id].Value
			if v.hosts[id].Failing {
				failing++
			}
		}
		h.Failed = h.Failed || unsure || 2*failing > len(fresh)
		h.Warm = h.Warm && !h.Failed
		if len(fresh) > 0 {
			h.Value, h.Groups = stableValue(before[id].Value, value), groups(before[id].Groups, id, views, allReported)
		}
		f.Hosts = append(f.Hosts, h)
	}
	return f
}

// listed returns the IDs of the hosts that exist, sorted: those that at most half of the current lists lack (C3), or the previous
// ones if no list is current.
func listed(current []*view, before map[string]turns.Host) []string {
	if len(current) == 0 {
		return slices.Sorted(maps.Keys(before))
	}
	have := map[string]int{}
	for _, v := range current {
		for id := range v.hosts {
			have[id]++
		}
	}
	maps.DeleteFunc(have, func(_ string, n int) bool { return 2*(len(current)-n) > len(current) })
	return slices.Sorted(maps.Keys(have))
}

// merged returns a host from the current lists that have its latest start and belong to nodes that knew the log up to doneIndex
// when they observed it. It is unsure if there are none, or if the host is Returning and no majority of the current lists reports
// it so, or half of them lack it.
func merged(id string, current []*view, doneIndex uint64) (h turns.Host, unsure bool) {
	var latestStart time.Duration
	for _, v := range current {
		latestStart = max(latestStart, v.hosts[id].Start)
	}
	zones, kinds := map[string]int{}, map[string]int{}
	counted, draining, cold, lack := 0, 0, 0, 0
	for _, v := range current {
		reported, found := v.hosts[id]
		if !found {
			lack++
		}
		if !found || reported.Start != latestStart {
			continue
		}
		zones[reported.Zone]++
		kinds[reported.Kind]++
		if v.appliedIndex < doneIndex {
			continue
		}
		counted++
		if reported.Draining {
			draining++
		}
		if !reported.Warm {
			cold++
		}
	}
	h = turns.Host{ID: id, Zone: mostFrequent(zones), Kind: mostFrequent(kinds), Failed: 2*draining > counted, Warm: 2*cold < counted}
	return h, counted == 0 || doneIndex > 0 && (2*counted <= len(current) || 2*lack >= len(current))
}

// mostFrequent returns the most frequent string, of equally frequent ones the first in alphabetical order.
func mostFrequent(counts map[string]int) (best string) {
	for i, s := range slices.Sorted(maps.Keys(counts)) {
		if i == 0 || counts[s] > counts[best] {
			best = s
		}
	}
	return best
}

// groups returns the groups that prefer a host: first those recorded before that a node still names, or that a member which has
// not reported yet may name, then those that the most nodes name; at most MaxGroups.
func groups(before []string, id string, views []*view, allReported bool) []string {
	named := map[string]int{}
	for _, v := range views {
		for _, g := range v.hosts[id].Groups {
			named[g]++
		}
	}
	for _, g := range before {
		if named[g] > 0 || !allReported {
			named[g] += len(views)
		}
	}
	all := slices.Collect(maps.Keys(named))
	slices.SortFunc(all, func(a, b string) int {
		if named[a] != named[b] {
			return named[b] - named[a]
		}
		return strings.Compare(a, b)
	})
	all = all[:min(len(all), MaxGroups)]
	slices.Sort(all)
	return all
}
