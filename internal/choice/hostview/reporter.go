package hostview

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
)

const (
	// fade is over how many looks worth is smoothed, so that one connection that comes and goes is no news.
	fade = 8
	// namedFrom and namedTo are the parts of what a node holds that a group makes from which on the node names it, and below
	// which it does so no more. So no more than MostGroups begin to be named at a time.
	namedFrom = 1.0 / MostGroups
	namedTo   = namedFrom / 2
)

// Group is what a node's traffic tells of a group of connections.
type Group struct {
	Name  string // as clients name it
	Worth float64
	Homes []string // hosts where it gathers
}

// Look is what a node sees when it looks at its hosts. A host's Failing, Worth and Groups come from the other fields.
type Look struct {
	Hosts   []Host
	Failing []string
	Worth   map[string]float64 // a second, by host
	Groups  []Group            // those worth the most, 2*MostGroups at least where there are so many
	Seen    uint64             // the log's index up to which the node knew
	Stale   bool
}

// Reporter is the node's side.
type Reporter struct {
	version uint64
	seen    uint64
	stale   bool
	hosts   map[string]told
	gone    map[string]uint64 // since which version
	floor   uint64            // of a leader that has less, it is not known what has left since
	has     uint64            // by the leader, as far as is known
	groups  map[string]*group
	sum     float64 // of the worth of all, smoothed
	looks   int     // taken so far, up to fade
}

// group is one that some connections here belong to, or did a few looks ago.
type group struct {
	level float64 // worth, smoothed
	homes []string
	named bool
}

// told is a host as it is told, since which version.
type told struct {
	Host
	since uint64
	level float64 // worth, smoothed
}

// NewReporter returns a reporter that has not looked yet.
func NewReporter() *Reporter {
	return &Reporter{hosts: map[string]told{}, gone: map[string]uint64{}, groups: map[string]*group{}}
}

// Look takes a look over. Names that cannot stand in the log are left out.
func (r *Reporter) Look(l Look) {
	r.seen, r.stale = l.Seen, l.Stale
	r.looks = min(r.looks+1, fade)
	next, changed := r.version+1, r.version == 0
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(l.Worth)) {
		sum += l.Worth[id]
	}
	if r.version == 0 {
		r.sum = sum
	}
	r.sum += (sum - r.sum) / fade
	homes, here := r.homes(l.Groups, sum), map[string]bool{}
	for _, h := range l.Hosts {
		if !named(h.ID) {
			continue
		}
		here[h.ID] = true
		old, known := r.hosts[h.ID]
		level := l.Worth[h.ID]
		if known {
			level = old.level + (level-old.level)/fade
		}
		h.Failing, h.Worth, h.Groups = slices.Contains(l.Failing, h.ID), 0, homes[h.ID]
		h = sound(h)
		h.Worth = steady(old.Worth, level)
		if known && old.Same(h) {
			old.level = level
			r.hosts[h.ID] = old
			continue
		}
		r.hosts[h.ID] = told{Host: h, since: next, level: level}
		delete(r.gone, h.ID)
		changed = true
	}
	for id := range r.hosts {
		if !here[id] {
			delete(r.hosts, id)
			r.gone[id] = next
			changed = true
		}
	}
	if changed {
		r.version = next
	}
	for len(r.gone) > keptGone {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(r.gone)), func(a, b string) int {
			if r.gone[a] != r.gone[b] {
				return int(r.gone[a]) - int(r.gone[b])
			}
			return strings.Compare(a, b)
		})
		r.floor = max(r.floor, r.gone[oldest])
		delete(r.gone, oldest)
	}
}

// homes returns the groups to be named, by host, sorted: those that have made a good part of what this node holds for some
// looks. A group begins to be named by what the node holds now (holds) too: after a start the smoothed sum is still far below it.
func (r *Reporter) homes(all []Group, holds float64) map[string][]string {
	for _, g := range r.groups {
		g.level -= g.level / fade
	}
	for _, g := range all {
		known := r.groups[g.Name]
		if known == nil {
			known = &group{}
			if r.version == 0 { // it stood before this process looked
				known.level = g.Worth * (1 - 1.0/fade)
			}
			r.groups[g.Name] = known
		}
		known.level += g.Worth / fade
		known.homes = slices.Clone(g.Homes)
	}
	maps.DeleteFunc(r.groups, func(_ string, g *group) bool { return g.level < namedTo/fade*r.sum || r.sum == 0 })
	names := slices.Sorted(maps.Keys(r.groups))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(r.groups[b].level, r.groups[a].level) })
	byHost, n := map[string][]string{}, 0
	for _, name := range names {
		g := r.groups[name]
		g.named = n < MostGroups && (g.level >= namedFrom*max(r.sum, holds) || g.named && g.level >= namedTo*r.sum)
		if !g.named {
			continue
		}
		n++
		for _, id := range g.homes {
			byHost[id] = append(byHost[id], short(name))
		}
	}
	for id := range byHost {
		slices.Sort(byHost[id])
	}
	return byHost
}

// short is a group's name in the log: clients choose theirs as long as they like.
func short(name string) string {
	h := fnv.New64a()
	h.Write([]byte(name))
	return strconv.FormatUint(h.Sum64(), 36)
}

// Told takes over which version the leader says it has, and says whether the node had better ask again at once: a new
// leader has nothing.
func (r *Reporter) Told(has uint64) (again bool) {
	again = has == 0 && r.has > 0
	r.has = has
	return again
}

// Report returns what the leader lacks, false before the first look. Process and Seq are the caller's to set.
func (r *Reporter) Report() (Report, bool) {
	since := r.has
	if since > r.version || since < r.floor {
		since = 0
	}
	p := Report{Version: r.version, Since: since, Seen: r.seen, Stale: r.stale, GroupsUnknown: r.looks < fade}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		if h := r.hosts[id]; h.since > since {
			p.Hosts = append(p.Hosts, h.Host)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.gone)) {
		if since > 0 && r.gone[id] > since {
			p.Gone = append(p.Gone, id)
		}
	}
	return p, r.version > 0
}
