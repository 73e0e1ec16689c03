package hostview

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/choice/turns"
)

// walk has nodes whose lists are late, stale or current, a leader that changes, and calls that are lost, late, repeated and
// overtaken, checked against what each node really observed.
type walk struct {
	r           *rand.Rand
	bug         string
	now         time.Duration
	index       uint64
	c           *Aggregator
	nodes       []*simulatedNode
	hosts       map[string][]Host // as discovery had them, the newest last; one without an id: not there
	doneIndexes map[string]uint64
	calls       []func()
	merged      []turns.Host
	wrong       string
	ended       int
}

type simulatedNode struct {
	name         string
	p            Process
	seq          uint64
	r            *Reporter
	late         int // newest changes of each host that its list lacks
	known        uint64
	observations map[held]observed
	held         held // at the leader
}

// held identifies an observation.
type held struct {
	Process
	version, appliedIndex uint64
}

type observed struct {
	hosts map[string]reportedHost
	heads map[[2]any]bool // AppliedIndex and Stale of the observations that had this version
}

func (w *walk) observe(n *simulatedNode) {
	l := Observation{AppliedIndex: n.known, Stale: n.late > 1, Values: map[string]float64{}}
	for _, id := range []string{"a", "b", "c"} {
		all := w.hosts[id]
		if h := all[max(0, len(all)-1-n.late)]; h.ID != "" {
			l.Hosts = append(l.Hosts, h)
			l.Values[id] = float64(w.r.IntN(50))
		}
	}
	n.r.Observe(l)
	key := held{n.p, n.r.version, 0}
	if _, known := n.observations[key]; !known {
		n.observations[key] = observed{map[string]reportedHost{}, map[[2]any]bool{}}
	}
	for id, h := range n.r.hosts {
		n.observations[key].hosts[id] = h
	}
	n.observations[key].heads[[2]any{l.AppliedIndex, l.Stale}] = true
}

func (w *walk) report(n *simulatedNode) {
	p, any := n.r.Report()
	if !any {
		return
	}
	n.seq++
	p.Process, p.Seq = n.p, n.seq
	call := func() {
		v := w.c.nodes[n.name]
		switch w.bug {
		case "late":
			if v != nil {
				p.Seq = v.seq + 1
			}
		case "gap":
			if v != nil && p.Since > 0 {
				p.Since = min(p.Since, v.version)
			}
		case "runs":
			if v != nil && p.Process.before(v.process) {
				delete(w.c.nodes, n.name)
			}
		}
		version, process, index := w.c.Record(w.now, n.name, p), n.p, w.index
		if w.bug == "head" && v != nil {
			v.appliedIndex, v.stale = p.AppliedIndex, p.Stale
		}
		w.check(n)
		w.send(func() {
			if n.p == process {
				n.known = max(n.known, index)
				n.r.Acknowledge(version)
			}
		})
	}
	w.send(call)
	if w.r.IntN(10) == 0 {
		w.send(call)
	}
}

func (w *walk) send(f func()) {
	if w.r.IntN(8) > 0 {
		w.calls = append(w.calls, f)
	}
}

func (w *walk) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
	}
}

// check verifies C1.
func (w *walk) check(n *simulatedNode) {
	v := w.c.nodes[n.name]
	if v == nil {
		return
	}
	was, known := n.observations[held{v.process, v.version, 0}]
	switch {
	case !known || !was.heads[[2]any{v.appliedIndex, v.stale}]:
		w.fail("%s never observed version %d of %v like this", n.name, v.version, v.process)
	case v.process.before(n.held.Process) ||
		v.process == n.held.Process && (v.version < n.held.version || v.appliedIndex < n.held.appliedIndex):
		w.fail("%s: an earlier observation is held again", n.name)
	case len(was.hosts) != len(v.hosts):
		w.fail("%s: %d hosts held, %d observed", n.name, len(v.hosts), len(was.hosts))
	}
	for id, h := range was.hosts {
		if !v.hosts[id].Equal(h.Host) {
			w.fail("%s: %s is held as %+v, was %+v", n.name, id, v.hosts[id], h.Host)
		}
	}
	n.held = held{v.process, v.version, v.appliedIndex}
}

// merge merges at the leader and checks C2 to C6 against the nodes' held observations.
func (w *walk) merge() {
	t := MergeParams{MaxAge: 20 * time.Second, LeaderWait: 5 * time.Second, Members: []string{"n0", "n1", "n2", "n3", "n4"},
		Previous: w.merged, Returning: w.doneIndexes}
	c, buggy := w.c, &Aggregator{since: w.c.since, nodes: map[string]*view{}}
	if w.bug != "" {
		for name, v := range w.c.nodes {
			u := *v
			u.stale = u.stale && w.bug != "stale"
			u.hosts = map[string]Host{}
			for id, h := range v.hosts {
				if w.bug == "start" {
					h.Start = 1
				}
				u.hosts[id] = h
			}
			if name == "n0" || w.bug != "own" {
				buggy.nodes[name] = &u
			}
		}
		c = buggy
		switch w.bug {
		case "returning":
			t.Returning = nil
		case "patience":
			t.LeaderWait = 0
		case "fresh":
			t.MaxAge = time.Hour
		}
	}
	f := c.Merge(w.now, t)
	var current []*view
	fresh := 0
	for _, n := range w.nodes {
		if v := w.c.nodes[n.name]; v != nil && w.now-v.at <= 20*time.Second {
			if fresh++; !v.stale {
				current = append(current, v)
			}
		}
	}
	quiet := len(current) == 0 || 2*fresh <= len(w.nodes) && w.now-w.c.since < 5*time.Second
	lacks, latestStart := map[string]int{}, map[string]time.Duration{}
	for _, id := range []string{"a", "b", "c"} {
		for _, v := range current {
			if h, found := v.hosts[id]; !found {
				lacks[id]++
			} else {
				latestStart[id] = max(latestStart[id], h.Start)
			}
		}
		in := func(all []turns.Host) bool {
			return slices.ContainsFunc(all, func(h turns.Host) bool { return h.ID == id })
		}
		if quiet && in(f.Hosts) != in(w.merged) || !quiet && in(f.Hosts) != (2*lacks[id] <= len(current)) {
			w.fail("%s: listed %v, previously %v, %d of %d lists lack it", id, in(f.Hosts), in(w.merged), lacks[id], len(current))
		}
	}
	for _, h := range f.Hosts {
		doneIndex, returning := w.doneIndexes[h.ID]
		if h.Failed || !returning {
			continue
		}
		knowing, confirmed := 0, false // nodes that observed it since, and whether one of them reports this state
		for _, v := range current {
			if seen, found := v.hosts[h.ID]; found && v.appliedIndex >= doneIndex && seen.Start == latestStart[h.ID] {
				knowing++
				confirmed = confirmed || !seen.Draining && (seen.Warm || !h.Warm)
			}
		}
		if quiet || !confirmed || 2*knowing <= len(current) {
			w.fail("%s is reported back, but only %d of %d current lists observed it since its work", h.ID, knowing, len(current))
		}
		if h.Warm {
			delete(w.doneIndexes, h.ID)
			w.ended++
		}
	}
	w.merged = f.Hosts
}

// step performs a random event.
func (w *walk) step() {
	w.now += time.Duration(w.r.IntN(800)) * time.Millisecond
	n := w.nodes[w.r.IntN(len(w.nodes))]
	id := []string{"a", "b", "c"}[w.r.IntN(3)]
	switch k := w.r.IntN(40); {
	case k == 0: // a new leader
		w.c = New(w.now)
		for _, n := range w.nodes {
			n.held = held{}
		}
	case k == 1: // the node restarts
		if n.p.OpenCount++; w.r.IntN(3) == 0 { // with a new store
			n.p = Process{n.p.Incarnation + 1, 1}
		}
		n.seq, n.r, n.known = 0, NewReporter(), 0
	case k == 2:
		n.late = w.r.IntN(3)
	case k < 5: // a host goes, comes back, drains, or becomes warm
		all := w.hosts[id]
		h := all[len(all)-1]
		switch {
		case h.ID == "" || w.r.IntN(4) == 0: // it has restarted
			h = Host{ID: id, Start: w.now}
			w.index++
			w.doneIndexes[id] = w.index // its work is reported done
		case w.r.IntN(3) == 0:
			h = Host{}
			delete(w.doneIndexes, id)
		case w.r.IntN(3) == 0:
			h.Draining, h.Warm = !h.Draining, false
		default:
			h.Warm = !h.Draining
		}
		w.hosts[id] = append(all, h)
	case k < 8:
		w.merge()
	case k < 16:
		w.observe(n)
	case k < 26:
		w.report(n)
	case len(w.calls) > 0: // sometimes out of order
		i := min(w.r.IntN(len(w.calls)), w.r.IntN(4)*w.r.IntN(8))
		f := w.calls[i]
		w.calls = slices.Delete(w.calls, i, i+1)
		f()
	}
}

func walks(bug string, seeds uint64) (wrong string, ended int) {
	for seed := range seeds {
		w := &walk{r: rand.New(rand.NewPCG(seed, 1)), bug: bug, c: New(0), hosts: map[string][]Host{}, doneIndexes: map[string]uint64{}}
		for _, id := range []string{"a", "b", "c"} {
			w.hosts[id] = []Host{{ID: id, Start: 1, Warm: true}}
		}
		for i := range 5 {
			w.nodes = append(w.nodes, &simulatedNode{name: fmt.Sprint("n", i), p: Process{1, 1}, r: NewReporter(),
				observations: map[held]observed{}})
		}
		for i := 0; i < 4000 && w.wrong == ""; i++ {
			w.step()
		}
		if ended += w.ended; w.wrong != "" {
			return fmt.Sprintf("seed %d: %s", seed, w.wrong), ended
		}
	}
	return "", ended
}

func TestHeldViewsWereObserved(t *testing.T) {
	wrong, ended := walks("", 40)
	assert.Empty(t, wrong)
	assert.Greater(t, ended, 50, "hosts come back")
}

func TestInjectedBugsAreFound(t *testing.T) {
	for _, bug := range []string{"late", "gap", "runs", "head", "stale", "start", "own", "returning", "patience", "fresh"} {
		wrong, _ := walks(bug, 40)
		assert.NotEmpty(t, wrong, bug)
	}
}

func TestSmallChangesAreNotReported(t *testing.T) {
	r := NewReporter()
	observe := func(value float64, groups ...Group) uint64 {
		r.Observe(Observation{Hosts: []Host{{ID: "a", Warm: true}, {ID: "\xff"}}, Values: map[string]float64{"a": value}, Groups: groups})
		return r.version
	}
	g := func(value float64) Group { return Group{Name: "g", Value: value, PreferredHosts: []string{"a"}} }
	first := observe(100, g(13))
	p, any := r.Report()
	require.True(t, any)
	require.Len(t, p.Hosts, 1, "an invalid name is left out")
	assert.Len(t, p.Hosts[0].Groups, 1, "an eighth")
	for _, w := range []float64{101, 0, 130, 90, 100} {
		assert.Equal(t, first, observe(w, g(10)), "values that come and go, and a group with a slightly smaller share")
	}
	for range 40 {
		observe(100, g(2))
	}
	p, _ = r.Report()
	assert.Empty(t, p.Hosts[0].Groups)

	r.Acknowledge(r.version)
	for i := range keptRemoved + 10 { // hosts come and go
		r.Observe(Observation{Hosts: []Host{{ID: fmt.Sprint("h", i)}}})
	}
	p, _ = r.Report()
	assert.Zero(t, p.Since, "the removals since then are not known any more")
}

// TestChancePairAfterStartIsNoGroup replays the first observations of a node that has just started, from a trace, with one chance
// pair among them.
func TestChancePairAfterStartIsNoGroup(t *testing.T) {
	r := NewReporter()
	held, pair := []float64{0, 7, 6, 4, 5, 6, 4, 4, 5}, 2
	for i, sum := range held {
		l := Observation{Hosts: []Host{{ID: "a", Warm: true}}, Values: map[string]float64{"a": sum}}
		if i == pair {
			l.Groups = []Group{{Name: "g", Value: 2, PreferredHosts: []string{"a"}}}
		}
		r.Observe(l)
		p, _ := r.Report()
		assert.Empty(t, p.Hosts[0].Groups, "observation %d", i)
		assert.Equal(t, i+1 < window, p.GroupsUnknown, "observation %d", i)
	}
}

// TestStableGroupIsNamedSoonAfterStart: the group is a third of what the node holds.
func TestStableGroupIsNamedSoonAfterStart(t *testing.T) {
	r := NewReporter()
	for range window {
		r.Observe(Observation{Hosts: []Host{{ID: "a", Warm: true}}, Values: map[string]float64{"a": 6},
			Groups: []Group{{Name: "g", Value: 2, PreferredHosts: []string{"a"}}}})
	}
	p, _ := r.Report()
	assert.Len(t, p.Hosts[0].Groups, 1)
	assert.False(t, p.GroupsUnknown)
}

// TestGroupStaysWhileItsNodeIsNotHeard covers a new leader, and a node that was cut off.
func TestGroupStaysWhileItsNodeIsNotHeard(t *testing.T) {
	params := MergeParams{MaxAge: time.Second, Members: []string{"n0", "n1"}, Previous: []turns.Host{{ID: "a", Groups: []string{"g"}}}}
	report := func(groups ...string) Report {
		return Report{Process: Process{1, 1}, Version: 1, Hosts: []Host{{ID: "a", Groups: groups}}}
	}
	groups := func(c *Aggregator, now time.Duration) []string { return c.Merge(now, params).Hosts[0].Groups }
	c := New(0)
	c.Record(0, "n0", report())
	assert.Equal(t, []string{"g"}, groups(c, 0), "n1 may still name it")
	c.Record(0, "n1", report("g"))
	again := report()
	again.Seq = 1
	c.Record(time.Minute, "n0", again)
	assert.Equal(t, []string{"g"}, groups(c, time.Minute), "n1 was cut off with its connections")
	changed := report()
	changed.Seq = 1
	c.Record(time.Minute, "n1", changed)
	assert.Empty(t, groups(c, time.Minute))
}
