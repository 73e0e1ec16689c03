package processes

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lichenhitch/internal/peer/peerpb"
)

// Sighting is what a host saw of the policy that a node goes by. The first attempt of a query is told as its time (d) twice the
// aim of its class, or all that is left where it is the only attempt. So policies with these aims are told apart without a word
// of the node, by clients that wait for TrialWait. They lie so far apart that a machine that stalls makes none of another: what
// an attempt is told shrinks by as much as its connection takes, and where connections take long it is given twice that.
type Sighting struct {
	At    time.Duration
	Aim   int           // GoodAim, TrialAim or OnlyAttempt
	Asked time.Duration // when the client sent the query, 0 where it is no client's: the node has decided on it later
}

const (
	GoodAim     = 300  // ms: that of DefaultSettings
	TrialAim    = 5000 // ms
	OnlyAttempt = -1   // a query has one attempt

	// TrialWait is how long clients wait: an attempt that is not the last is given half of it at most.
	TrialWait = 30 * time.Second
)

// connectTimeout is that of DefaultSettings: an attempt that comes to nothing without a word takes as long.
const connectTimeout = 250 * time.Millisecond

// aimOf is what the time of a first attempt tells, in ms: what lies in the middle between two is either's.
func aimOf(within int) int {
	const long = int(TrialWait / time.Millisecond)
	switch {
	case within <= GoodAim+TrialAim:
		return GoodAim
	case within <= TrialAim+long/2:
		return TrialAim
	}
	return OnlyAttempt
}

// sights are the sightings of all hosts, by node, in the order in which they were read.
type sights struct {
	mu   sync.Mutex
	seen map[string]bool // queries
	all  map[string][]Sighting
}

// take notes a first line, unless it is a later attempt or tells no time.
func (s *sights) take(l FirstLine, asked time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen == nil {
		s.seen, s.all = make(map[string]bool), make(map[string][]Sighting)
	}
	_, list, _ := strings.Cut(l.Line, ",d=")
	d, _, _ := strings.Cut(list, ",")
	ms, err := strconv.Atoi(d)
	if err != nil || s.seen[l.ID] {
		return
	}
	s.seen[l.ID] = true
	if aimOf(ms) != GoodAim && asked > 0 && l.At-asked >= connectTimeout {
		return // attempts before it may have come to nothing on a machine that stalls: the last of them is given all that is left
	}
	s.all[l.Node] = append(s.all[l.Node], Sighting{At: l.At, Aim: aimOf(ms), Asked: asked})
}

// Sightings are what hosts saw of a node since a moment.
func (w *World) Sightings(node string, since time.Duration) []Sighting {
	w.sights.mu.Lock()
	defer w.sights.mu.Unlock()
	all := w.sights.all[node]
	i := len(all)
	for i > 0 && all[i-1].At >= since {
		i--
	}
	return slices.Clone(all[i:])
}

// certain is how many sightings in a row make one of an aim: a single one may be an attempt after others that came to nothing on a
// machine that stalls.
const certain = 3

// Under are the sightings of an aim at a node since a moment, where so many came in a row.
func (w *World) Under(aim int, node string, since time.Duration) (all []Sighting) {
	row := 0
	for _, s := range w.Sightings(node, since) {
		if s.Aim != aim {
			if row < certain {
				all = all[:len(all)-row]
			}
			row = 0
			continue
		}
		all = append(all, s)
		row++
	}
	if row < certain {
		all = all[:len(all)-row]
	}
	return all
}

// AwaitAim waits until hosts have seen each of some nodes go by an aim, lately and after this call.
func (w *World) AwaitAim(aim int, nodes ...string) {
	w.t.Helper()
	begun := w.Now()
	w.Await(strings.Join(nodes, ", ")+" go by an aim of "+strconv.Itoa(aim), func() bool {
		return !slices.ContainsFunc(nodes, func(n string) bool {
			seen := w.Sightings(n, begun)
			return len(seen) < certain || slices.ContainsFunc(seen[len(seen)-certain:], func(s Sighting) bool { return s.Aim != aim })
		})
	})
}

// everUnder are the nodes that hosts ever saw go by an aim, in the order of their first sightings.
func (w *World) everUnder(aim int) (nodes []string) {
	first := map[string]time.Duration{}
	for _, n := range w.order {
		if seen := w.Under(aim, n, 0); len(seen) > 0 {
			first[n], nodes = seen[0].At, append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b string) int { return int(first[a] - first[b]) })
	return nodes
}

// change is a node that went over to a trial, at some moment from least to most.
type change struct {
	node        string
	least, most time.Duration
}

// crowds are the moments at which more nodes of one site had certainly changed within a time, and hosts were handed over, than may
// be. rollouts are their aims. A node changed after the last look that did not have it among the treated, and before hosts saw it go
// by the trial.
func (w *World) crowds(look *Lookout, rollouts map[string]int, nodes []string, may int, within time.Duration) (found []string) {
	var changes []change
	looks := look.Looks()
	for id, aim := range rollouts {
		for _, n := range w.everUnder(aim) {
			if !slices.Contains(nodes, n) {
				continue
			}
			c := change{node: n, most: w.Under(aim, n, 0)[0].At}
			for _, l := range looks {
				if p := l.rollout(id); l.Return < c.most && l.AgeMs != nil && (p == nil || !slices.Contains(p.Treated, n)) {
					c.least = max(c.least, l.Call-time.Duration(*l.AgeMs+1)*time.Millisecond)
				}
			}
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return int(a.most - b.most) })
	for i, last := range changes {
		var at []string
		for _, c := range changes[:i+1] {
			if last.most-min(c.least, last.least) < within {
				at = append(at, c.node)
			}
		}
		for _, g := range Grants(w.History.Ops()) {
			if of := w.Host(g.Host).Site; (of == "" || of == w.siteOf[last.node].Name) && g.Observed < last.least && last.most < g.EndCalled {
				at = append(at, g.Host)
			}
		}
		if len(at) > may {
			found = append(found, fmt.Sprintf("%v at %v", at, last.most))
		}
	}
	return found
}

// outlived are what hosts saw of a trial at nodes that were cut off from the top, of queries that clients sent once its lease was over.
func (w *World) outlived(cut span, lease time.Duration, aims []int, nodes []string) (out []Violation) {
	for _, n := range nodes {
		for _, aim := range aims {
			for _, s := range w.Under(aim, n, cut.from) {
				if s.Asked > cut.from+lease && s.At < cut.to {
					out = append(out, Violation{At: s.At, What: fmt.Sprintf("%s, cut off since %v, goes by a trial with a lease of %v: an aim of %d",
						n, cut.from, lease, aim)})
				}
			}
		}
	}
	return out
}

// Policy makes one of the calls StartPolicy, HaltPolicy, ResumePolicy and ForcePolicy at a node.
func (a *Requester) Policy(node, kind string, in map[string]any) (*peerpb.PolicyReply, error) {
	out := &peerpb.PolicyReply{}
	in["by"] = a.Name
	return out, a.call(Op{Node: node, Kind: kind}, in, out, nil)
}

// Policies asks a node for its site's policies.
func (a *Requester) Policies(node string) (*peerpb.PoliciesReply, error) {
	out := &peerpb.PoliciesReply{}
	return out, a.call(Op{Node: node, Kind: "Policies"}, map[string]any{}, out, nil)
}

// Look is an answer to Policies: what it tells was so at some moment from Call to Return, or, of a council that a call does not
// reach any more, before.
type Look struct {
	Node         string
	Call, Return time.Duration
	*peerpb.PoliciesReply
}

// Lookout asks nodes for their policies, again and again.
type Lookout struct {
	w     *World
	mu    sync.Mutex
	looks []Look
}

// lookPause lies between two looks at one node.
const lookPause = 100 * time.Millisecond

// Lookout begins to look at some nodes, to the end of the test.
func (w *World) Lookout(nodes ...string) *Lookout {
	l := &Lookout{w: w}
	var all sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range nodes {
		a := w.Requester("lookout at " + n)
		all.Go(func() {
			for sleep(stop, lookPause) {
				call := w.Now()
				if r, err := a.Policies(n); err == nil {
					l.mu.Lock()
					l.looks = append(l.looks, Look{Node: n, Call: call, Return: w.Now(), PoliciesReply: r})
					l.mu.Unlock()
					w.news.notify()
				}
			}
		})
	}
	w.t.Cleanup(func() { close(stop); all.Wait() })
	return l
}

// Looks are all looks so far, in the order of their answers.
func (l *Lookout) Looks() []Look {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.looks)
}

// Last is the latest look at a node, or at any with "".
func (l *Lookout) Last(node string) (Look, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.looks) - 1; i >= 0; i-- {
		if node == "" || l.looks[i].Node == node {
			return l.looks[i], true
		}
	}
	return Look{PoliciesReply: &peerpb.PoliciesReply{}}, false
}

// Rollout is a rollout as the latest look has it; nil where there is none.
func (l *Lookout) Rollout(id string) *peerpb.Rollout {
	last, _ := l.Last("")
	return last.rollout(id)
}

func (k Look) rollout(id string) *peerpb.Rollout {
	for _, r := range k.Rollouts {
		if r.Id == id {
			return r
		}
	}
	return nil
}
