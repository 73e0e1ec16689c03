package hostview

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lichenhitch/internal/choice/turns"
)

// Fleet is what the nodes say of the hosts, all together.
type Fleet struct {
	Hosts  []turns.Host // sorted by id
	Unsure []string     // of these, sorted: those that are Returning and that nobody who counts has seen since (C5)
}

// Merge returns the hosts as those nodes see them that were heard lately. While too little is known, they are as they were
// said to be before, but for what nodes know by their own traffic.
func (c *Census) Merge(now time.Duration, t Terms) Fleet {
	maps.DeleteFunc(c.nodes, func(node string, _ *view) bool {
		_, member := slices.BinarySearch(t.Members, node)
		return !member
	})
	var held, fresh, current []*view
	for _, node := range slices.Sorted(maps.Keys(c.nodes)) {
		v := c.nodes[node]
		held = append(held, v)
		if now-v.at <= t.Fresh {
			fresh = append(fresh, v)
			if !v.stale {
				current = append(current, v)
			}
		}
	}
	if 2*len(fresh) <= len(t.Members) && now-c.since < t.Patience {
		current = nil
	}
	before := map[string]turns.Host{}
	for _, h := range t.Before {
		if !h.Gone {
			before[h.ID] = h
		}
	}
	allHeard := len(held) == len(t.Members)
	var f Fleet
	for _, id := range listed(current, before) {
		h := before[id]
		back, unsure := t.Returning[id]
		if len(current) > 0 {
			h, unsure = merged(id, current, back)
		}
		if unsure {
			f.Unsure = append(f.Unsure, id)
		}
		failing, worth := 0, 0.0
		for _, v := range fresh {
			worth += v.hosts[id].Worth
			if v.hosts[id].Failing {
				failing++
			}
		}
		h.Failed = h.Failed || unsure || 2*failing > len(fresh)
		h.Warm = h.Warm && !h.Failed
		if len(fresh) > 0 {
			h.Worth, h.Groups = steady(before[id].Worth, worth), groups(before[id].Groups, id, held, allHeard)
		}
		f.Hosts = append(f.Hosts, h)
	}
	return f
}

// listed returns the hosts that there are, sorted: those that no more than half of the current lists lack (C3), or those
// there were where no list is current.
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

// merged is a host as those current lists have it that have its youngest start, looked at by nodes that knew of the log up
// to back. It is unsure where there is none such, or where the host is to be back and no majority of the current lists tells of it
// so, or half of them lack it.
func merged(id string, current []*view, back uint64) (h turns.Host, unsure bool) {
	var youngest time.Duration
	for _, v := range current {
		youngest = max(youngest, v.hosts[id].Start)
	}
	zones, kinds := map[string]int{}, map[string]int{}
	counted, draining, cold, lack := 0, 0, 0, 0
	for _, v := range current {
		told, has := v.hosts[id]
		if !has {
			lack++
		}
		if !has || told.Start != youngest {
			continue
		}
		zones[told.Zone]++
		kinds[told.Kind]++
		if v.seen < back {
			continue
		}
		counted++
		if told.Draining {
			draining++
		}
		if !told.Warm {
			cold++
		}
	}
	h = turns.Host{ID: id, Zone: most(zones), Kind: most(kinds), Failed: 2*draining > counted, Warm: 2*cold < counted}
	return h, counted == 0 || back > 0 && (2*counted <= len(current) || 2*lack >= len(current))
}

// most returns what was said the most often; of those alike the first by its name.
func most(said map[string]int) (best string) {
	for i, s := range slices.Sorted(maps.Keys(said)) {
		if i == 0 || said[s] > said[best] {
			best = s
		}
	}
	return best
}

// groups returns whose home a host is: those that were said before, and that a node still names or a member that was not heard
// yet may name, come first, then those that the most nodes name, MostGroups at most.
func groups(before []string, id string, held []*view, allHeard bool) []string {
	named := map[string]int{}
	for _, v := range held {
		for _, g := range v.hosts[id].Groups {
			named[g]++
		}
	}
	for _, g := range before {
		if named[g] > 0 || !allHeard {
			named[g] += len(held)
		}
	}
	all := slices.Collect(maps.Keys(named))
	slices.SortFunc(all, func(a, b string) int {
		if named[a] != named[b] {
			return named[b] - named[a]
		}
		return strings.Compare(a, b)
	})
	all = all[:min(len(all), MostGroups)]
	slices.Sort(all)
	return all
}
