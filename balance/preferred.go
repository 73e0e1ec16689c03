package balance

import (
	"cmp"
	"slices"
)

// PreferredServers returns the servers of the balancer's zone that connections of a group prefer, the first choice
// first: the result of preferredServers if all listed servers were ready. It serves planned maintenance: a server that is
// suspended or draining remains preferred, and does not make the next one in the order preferred.
func (b *Balancer) PreferredServers(group string) []ServerID {
	key, preferred := hashOf(group), make([]*server, 0, len(b.servers))
	for _, s := range b.servers {
		if s.listed && s.asListed.Zone == b.settings.Zone {
			preferred = append(preferred, s)
		}
	}
	slices.SortFunc(preferred, func(s, t *server) int { return cmp.Compare(mix(key+s.hash), mix(key+t.hash)) })
	ids := make([]ServerID, min(len(preferred), max(minPreferredServers, len(preferred)/preferredServersDivisor)))
	for i := range ids {
		ids[i] = preferred[i].asListed.Server
	}
	return ids
}
