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

// walk is nodes whose lists are late, stale or current, a leader that changes, and calls that are lost, late, repeated and
// overtaken, against what each node truly looked at.
type walk struct {
	r     *rand.Rand
	plant string
	now   time.Duration
	index uint64
	c     *Census
	nodes []*walker
	hosts map[string][]Host // as discovery had them, the newest last; one without an id: not there
	back  map[string]uint64
	calls []func()
	said  []turns.Host
	wrong string
	ended int
}

type walker struct {
	name  string
	p     Process
	seq   uint64
	r     *Reporter
	late  int // changes of each host that its list lacks
	known uint64
	looks map[held]looked
	held  held // at the leader
}

// held names a look.
type held struct {
	Process
	version, seen uint64
}

type looked struct {
	hosts map[string]told
	heads map[[2]any]bool // Seen and Stale, as looks had them that found this version

}

func (w *walk) look(n *walker) {
	l := Look{Seen: n.known, Stale: n.late > 1, Worth: map[string]float64{}}

	for _, id := range []string{"a", "b", "c"} {
		all := w.hosts[id]
		if h := all[max(0, len(all)-1-n.late)]; h.ID != "" {
			l.Hosts = append(l.Hosts, h)
			l.Worth[id] = float64(w.r.IntN(50))

		}
	}
	n.r.Look(l)
	key := held{n.p, n.r.version, 0}
	if _, known := n.looks[key]; !known {
		n.looks[key] = looked{map[string]told{}, map[[2]any]bool{}}
	}
	for id, h := range n.r.hosts {
		n.looks[key].hosts[id] = h
	}
	n.looks[key].heads[[2]any{l.Seen, l.Stale}] = true
}

func (w *walk) ask(n *walker) {
	p, any := n.r.Report()
	if !any {
		return
	}
	n.seq++
	p.Process, p.Seq = n.p, n.seq
	call := func() {
		v := w.c.nodes[n.name]
		switch w.plant {
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
		has, process, index := w.c.Take(w.now, n.name, p), n.p, w.index
		if w.plant == "head" && v != nil {
			v.seen, v.stale = p.Seen, p.Stale
		}
		w.check(n)
		w.send(func() {
			if n.p == process {
				n.known = max(n.known, index)
				n.r.Told(has)
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

// check is C1.
func (w *walk) check(n *walker) {
	v := w.c.nodes[n.name]
	if v == nil {
		return
	}
	was, known := n.looks[held{v.process, v.version, 0}]
	switch {
	case !known || !was.heads[[2]any{v.seen, v.stale}]:
		w.fail("%s never looked at version %d of %v so", n.name, v.version, v.process)
	case v.process.before(n.held.Process) || v.process == n.held.Process && (v.version < n.held.version || v.seen < n.held.seen):
		w.fail("%s: an earlier look is held again", n.name)
	case len(was.hosts) != len(v.hosts):
		w.fail("%s: %d hosts held, %d looked at", n.name, len(v.hosts), len(was.hosts))
	}
	for id, h := range was.hosts {
		if !v.hosts[id].Same(h.Host) {
			w.fail("%s: %s is held as %+v, was %+v", n.name, id, v.hosts[id], h.Host)
		}
	}
	n.held = held{v.process, v.version, v.seen}
}

// merge has the leader look, and checks C2 to C6 against what the nodes' held looks had.
func (w *walk) merge() {
	t := Terms{Fresh: 20 * time.Second, Patience: 5 * time.Second, Members: []string{"n0", "n1", "n2", "n3", "n4"}, Before: w.said,
		Returning: w.back}
	c, planted := w.c, &Census{since: w.c.since, nodes: map[string]*view{}}
	if w.plant != "" {
		for name, v := range w.c.nodes {
			u := *v
			u.stale = u.stale && w.plant != "stale"
			u.hosts = map[string]Host{}
			for id, h := range v.hosts {
				if w.plant == "start" {
					h.Start = 1
				}
				u.hosts[id] = h
			}
			if name == "n0" || w.plant != "own" {
				planted.nodes[name] = &u
			}
		}
		c = planted
		switch w.plant {
		case "returning":
			t.Returning = nil
		case "patience":
			t.Patience = 0
		case "fresh":
			t.Fresh = time.Hour
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
	lacks, youngest := map[string]int{}, map[string]time.Duration{}
	for _, id := range []string{"a", "b", "c"} {
		for _, v := range current {
			if h, has := v.hosts[id]; !has {
				lacks[id]++
			} else {
				youngest[id] = max(youngest[id], h.Start)
			}
		}
		in := func(all []turns.Host) bool {
			return slices.ContainsFunc(all, func(h turns.Host) bool { return h.ID == id })
		}
		if quiet && in(f.Hosts) != in(w.said) || !quiet && in(f.Hosts) != (2*lacks[id] <= len(current)) {
			w.fail("%s: listed %v, said before %v, %d of %d lists lack it", id, in(f.Hosts), in(w.said), lacks[id], len(current))
		}
	}
	for _, h := range f.Hosts {
		back, returning := w.back[h.ID]
		if h.Failed || !returning {
			continue
		}
		knows, so := 0, false // those who looked since, and whether one of them has it so
		for _, v := range current {
			if seen, has := v.hosts[h.ID]; has && v.seen >= back && seen.Start == youngest[h.ID] {
				knows++
				so = so || !seen.Draining && (seen.Warm || !h.Warm)
			}
		}
		if quiet || !so || 2*knows <= len(current) {
			w.fail("%s is said to be back, and %d of %d know", h.ID, knows, len(current))
		}
		if h.Warm {
			delete(w.back, h.ID)
			w.ended++
		}
	}
	w.said = f.Hosts
}

// step is something that happens.
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
	case k == 1: // the node starts again
		if n.p.Boot++; w.r.IntN(3) == 0 { // with another store
			n.p = Process{n.p.Life + 1, 1}
		}
		n.seq, n.r, n.known = 0, NewReporter(), 0
	case k == 2:
		n.late = w.r.IntN(3)
	case k < 5: // a host goes, comes back, drains, or is warm
		all := w.hosts[id]
		h := all[len(all)-1]
		switch {
		case h.ID == "" || w.r.IntN(4) == 0: // it has started again
			h = Host{ID: id, Start: w.now}
			w.index++
			w.back[id] = w.index // its work is reported done
		case w.r.IntN(3) == 0:
			h = Host{}
			delete(w.back, id)
		case w.r.IntN(3) == 0:
			h.Draining, h.Warm = !h.Draining, false
		default:
			h.Warm = !h.Draining
		}
		w.hosts[id] = append(all, h)
	case k < 8:
		w.merge()
	case k < 16:
		w.look(n)
	case k < 26:
		w.ask(n)
	case len(w.calls) > 0: // now and then not the first one
		i := min(w.r.IntN(len(w.calls)), w.r.IntN(4)*w.r.IntN(8))
		f := w.calls[i]
		w.calls = slices.Delete(w.calls, i, i+1)
		f()
	}
}

func walks(plant string, seeds uint64) (wrong string, ended int) {
	for seed := range seeds {
		w := &walk{r: rand.New(rand.NewPCG(seed, 1)), plant: plant, c: New(0), hosts: map[string][]Host{}, back: map[string]uint64{}}
		for _, id := range []string{"a", "b", "c"} {
			w.hosts[id] = []Host{{ID: id, Start: 1, Warm: true}}
		}
		for i := range 5 {
			w.nodes = append(w.nodes, &walker{name: fmt.Sprint("n", i), p: Process{1, 1}, r: NewReporter(), looks: map[held]looked{}})
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

func TestWhatIsHeldWasLookedAt(t *testing.T) {
	wrong, ended := walks("", 40)
	assert.Empty(t, wrong)
	assert.Greater(t, ended, 50, "hosts come back")
}

func TestPlantedBugsAreFound(t *testing.T) {
	for _, plant := range []string{"late", "gap", "runs", "head", "stale", "start", "own", "returning", "patience", "fresh"} {
		wrong, _ := walks(plant, 40)
		assert.NotEmpty(t, wrong, plant)
	}
}

func TestSmallChangesAreNoNews(t *testing.T) {
	r := NewReporter()
	look := func(worth float64, groups ...Group) uint64 {
		r.Look(Look{Hosts: []Host{{ID: "a", Warm: true}, {ID: "\xff"}}, Worth: map[string]float64{"a": worth}, Groups: groups})
		return r.version
	}
	g := func(worth float64) Group { return Group{Name: "g", Worth: worth, Homes: []string{"a"}} }
	first := look(100, g(13))
	p, any := r.Report()
	require.True(t, any)
	require.Len(t, p.Hosts, 1, "a name that cannot stand in the log is left out")
	assert.Len(t, p.Hosts[0].Groups, 1, "an eighth")
	for _, w := range []float64{101, 0, 130, 90, 100} {
		assert.Equal(t, first, look(w, g(10)), "worth that comes and goes, and a group that makes a little less")
	}
	for range 40 {
		look(100, g(2))
	}
	p, _ = r.Report()
	assert.Empty(t, p.Hosts[0].Groups)

	r.Told(r.version)
	for i := range keptGone + 10 { // hosts come and go
		r.Look(Look{Hosts: []Host{{ID: fmt.Sprint("h", i)}}})
	}
	p, _ = r.Report()
	assert.Zero(t, p.Since, "it is not known any more what has left since")
}

// TestAPairSeenOnceAfterAStartIsNoGroup: the looks of a node that has just started, as traced, with one chance pair among them.
func TestAPairSeenOnceAfterAStartIsNoGroup(t *testing.T) {
	r := NewReporter()
	held, pair := []float64{0, 7, 6, 4, 5, 6, 4, 4, 5}, 2
	for i, sum := range held {
		l := Look{Hosts: []Host{{ID: "a", Warm: true}}, Worth: map[string]float64{"a": sum}}
		if i == pair {
			l.Groups = []Group{{Name: "g", Worth: 2, Homes: []string{"a"}}}
		}
		r.Look(l)
		p, _ := r.Report()
		assert.Empty(t, p.Hosts[0].Groups, "look %d", i)
		assert.Equal(t, i+1 < fade, p.GroupsUnknown, "look %d", i)
	}
}

// TestAGroupIsNamedSoonAfterAStart where it stays: a third of what the node holds.
func TestAGroupIsNamedSoonAfterAStart(t *testing.T) {
	r := NewReporter()
	for range fade {
		r.Look(Look{Hosts: []Host{{ID: "a", Warm: true}}, Worth: map[string]float64{"a": 6},
			Groups: []Group{{Name: "g", Worth: 2, Homes: []string{"a"}}}})
	}
	p, _ := r.Report()
	assert.Len(t, p.Hosts[0].Groups, 1)
	assert.False(t, p.GroupsUnknown)
}

// TestAGroupStaysWhileWhoNamesItIsNotHeard: at a new leader, and after the node was cut off.
func TestAGroupStaysWhileWhoNamesItIsNotHeard(t *testing.T) {
	terms := Terms{Fresh: time.Second, Members: []string{"n0", "n1"}, Before: []turns.Host{{ID: "a", Groups: []string{"g"}}}}
	report := func(groups ...string) Report {
		return Report{Process: Process{1, 1}, Version: 1, Hosts: []Host{{ID: "a", Groups: groups}}}
	}
	groups := func(c *Census, now time.Duration) []string { return c.Merge(now, terms).Hosts[0].Groups }
	c := New(0)
	c.Take(0, "n0", report())
	assert.Equal(t, []string{"g"}, groups(c, 0), "n1 may name it")
	c.Take(0, "n1", report("g"))
	again := report()
	again.Seq = 1
	c.Take(time.Minute, "n0", again)
	assert.Equal(t, []string{"g"}, groups(c, time.Minute), "n1 was cut off with its connections")
	told := report()
	told.Seq = 1
	c.Take(time.Minute, "n1", told)
	assert.Empty(t, groups(c, time.Minute))
}
