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
	// window is the number of observations over which values are smoothed, so that one connection that comes and goes changes
	// nothing.
	window = 8
	// nameShare is the share of the value that a node holds from which it names a group, and keepShare the share below which it
	// stops. So no more than MaxGroups start to be named at a time.
	nameShare = 1.0 / MaxGroups
	keepShare = nameShare / 2
)

// Group is what a node's traffic shows of a group of connections.
type Group struct {
	Name           string // as named by clients
	Value          float64
	PreferredHosts []string // hosts on which its connections are concentrated
}

// Observation is what a node sees of its hosts. Failing, Value and Groups of a host come from the other fields.
type Observation struct {
	Hosts        []Host
	Failing      []string
	Values       map[string]float64 // per second, by host
	Groups       []Group            // those with the highest value, at least 2*MaxGroups if there are that many
	AppliedIndex uint64             // log index up to which the node knew
	Stale        bool
}

// Reporter is the node's side.
type Reporter struct {
	version      uint64
	appliedIndex uint64
	stale        bool
	hosts        map[string]reportedHost
	removed      map[string]uint64 // by host: the version that removed it
	removedFloor uint64            // removals since versions below this one are not known any more
	leaderHas    uint64            // version the leader has, as far as is known
	groups       map[string]*group
	total        float64 // smoothed sum of all values
	observations int     // observations so far, up to window
}

// group is a group that has connections here, or had some a few observations ago.
type group struct {
	smoothed  float64 // value averaged over about window observations
	preferred []string
	named     bool
}

// reportedHost is a host as reported, and since which version.
type reportedHost struct {
	Host
	since    uint64
	smoothed float64 // value averaged over about window observations
}

// NewReporter returns a reporter without observations.
func NewReporter() *Reporter {
	return &Reporter{hosts: map[string]reportedHost{}, removed: map[string]uint64{}, groups: map[string]*group{}}
}

// Observe records an observation. Hosts with invalid names are left out.
func (r *Reporter) Observe(l Observation) {
	r.appliedIndex, r.stale = l.AppliedIndex, l.Stale
	r.observations = min(r.observations+1, window)
	next, changed := r.version+1, r.version == 0
	total := 0.0
	for _, id := range slices.Sorted(maps.Keys(l.Values)) {
		total += l.Values[id]
	}
	if r.version == 0 {
		r.total = total
	}
	r.total += (total - r.total) / window
	groupsByHost, here := r.groupsByHost(l.Groups, total), map[string]bool{}
	for _, h := range l.Hosts {
		if !validName(h.ID) {
			continue
		}
		here[h.ID] = true
		old, known := r.hosts[h.ID]
		smoothed := l.Values[h.ID]
		if known {
			smoothed = old.smoothed + (smoothed-old.smoothed)/window
		}
		h.Failing, h.Value, h.Groups = slices.Contains(l.Failing, h.ID), 0, groupsByHost[h.ID]
		h = sanitized(h)
		h.Value = stableValue(old.Value, smoothed)
		if known && old.Equal(h) {
			old.smoothed = smoothed
			r.hosts[h.ID] = old
			continue
		}
		r.hosts[h.ID] = reportedHost{Host: h, since: next, smoothed: smoothed}
		delete(r.removed, h.ID)
		changed = true
	}
	for id := range r.hosts {
		if !here[id] {
			delete(r.hosts, id)
			r.removed[id] = next
			changed = true
		}
	}
	if changed {
		r.version = next
	}
	for len(r.removed) > keptRemoved {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(r.removed)), func(a, b string) int {
			if r.removed[a] != r.removed[b] {
				return int(r.removed[a]) - int(r.removed[b])
			}
			return strings.Compare(a, b)
		})
		r.removedFloor = max(r.removedFloor, r.removed[oldest])
		delete(r.removed, oldest)
	}
}

// groupsByHost returns the groups to name, by host, sorted: those that have had a large share of what this node holds for some
// observations. A group that is not named yet needs that share of the current total too: after a start the smoothed total is
// still far below it.
func (r *Reporter) groupsByHost(all []Group, current float64) map[string][]string {
	for _, g := range r.groups {
		g.smoothed -= g.smoothed / window
	}
	for _, g := range all {
		known := r.groups[g.Name]
		if known == nil {
			known = &group{}
			if r.version == 0 { // it existed before this process observed anything
				known.smoothed = g.Value * (1 - 1.0/window)
			}
			r.groups[g.Name] = known
		}
		known.smoothed += g.Value / window
		known.preferred = slices.Clone(g.PreferredHosts)
	}
	maps.DeleteFunc(r.groups, func(_ string, g *group) bool { return g.smoothed < keepShare/window*r.total || r.total == 0 })
	names := slices.Sorted(maps.Keys(r.groups))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(r.groups[b].smoothed, r.groups[a].smoothed) })
	byHost, n := map[string][]string{}, 0
	for _, name := range names {
		g := r.groups[name]
		g.named = n < MaxGroups && (g.smoothed >= nameShare*max(r.total, current) || g.named && g.smoothed >= keepShare*r.total)
		if !g.named {
			continue
		}
		n++
		for _, id := range g.preferred {
			byHost[id] = append(byHost[id], shortName(name))
		}
	}
	for id := range byHost {
		slices.Sort(byHost[id])
	}
	return byHost
}

// shortName is a group's name in the log: clients may choose names of any length.
func shortName(name string) string {
	h := fnv.New64a()
	h.Write([]byte(name))
	return strconv.FormatUint(h.Sum64(), 36)
}

// Acknowledge records the version that the leader reports to hold, and returns whether the node should send another request at
// once: a new leader holds nothing of the node.
func (r *Reporter) Acknowledge(held uint64) (again bool) {
	again = held == 0 && r.leaderHas > 0
	r.leaderHas = held
	return again
}

// Report returns what the leader lacks, false before the first observation. The caller sets Process and Seq.
func (r *Reporter) Report() (Report, bool) {
	since := r.leaderHas
	if since > r.version || since < r.removedFloor {
		since = 0
	}
	p := Report{Version: r.version, Since: since, AppliedIndex: r.appliedIndex, Stale: r.stale, GroupsUnknown: r.observations < window}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		if h := r.hosts[id]; h.since > since {
			p.Hosts = append(p.Hosts, h.Host)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.removed)) {
		if since > 0 && r.removed[id] > since {
			p.Removed = append(p.Removed, id)
		}
	}
	return p, r.version > 0
}
