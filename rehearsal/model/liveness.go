package model

import (
	"slices"
	"sync"
)

// bitset is a set of state numbers.
type bitset []uint64

func newBitset(n int) bitset        { return make(bitset, (n+63)/64) }
func (b bitset) has(id uint32) bool { return b[id>>6]>>(id&63)&1 == 1 }
func (b bitset) add(list []uint32) {
	for _, id := range list {
		b[id>>6] |= 1 << (id & 63)
	}
}
func (b bitset) remove(list []uint32) {
	for _, id := range list {
		b[id>>6] &^= 1 << (id & 63)
	}
}

// livenessBytes returns the memory that the liveness check takes for this number of state numbers.
func livenessBytes(states uint32, properties int) int64 {
	return int64(states) * int64(8+9*properties) // location; index, low and one bit for each property
}

// graph is the subgraph of the states in which liveness properties are pending.
type graph struct {
	store    *store
	location []uint64 // by state: its worker (upper bits) and the index of its list there, plus one; 0: it has none
	edges    []*edges
}

func (c *checker[S]) graph() *graph {
	g := &graph{store: c.store, location: make([]uint64, c.store.idBound())}
	for i, w := range c.workers {
		g.edges = append(g.edges, &w.edges)
		for j := range w.edges.from {
			g.location[w.edges.from[j].state] = uint64(i)<<40 | uint64(j+1)
		}
	}
	return g
}

// edgesOf returns the edges kept for a state and the fairness classes that are enabled there.
func (g *graph) edgesOf(id uint32) (to []uint32, class []Fairness, enabled Fairness) {
	l, e := g.list(id)
	if l == nil {
		return nil, nil, 0
	}
	return e.to[l.block][l.offset : l.offset+l.count], e.class[l.block][l.offset : l.offset+l.count], l.enabled
}

// list returns the edge list of a state, or nil if none was kept.
func (g *graph) list(id uint32) (*edgeList, *edges) {
	location := g.location[id]
	if location == 0 {
		return nil, nil
	}
	e := g.edges[location>>40]
	return &e.from[location&(1<<40-1)-1], e
}

// checkLiveness looks, for each property, for an infinite fair run in which the property stays pending, or a final state
// in which it is pending. It decides weak fairness on strongly connected components. If some class is enabled in
// all states of a component and no edge within the component is of that class, no run that stays in any part of the
// component is fair, because the class is enabled throughout that part as well. Otherwise the run that goes round the
// whole component is fair. The check is therefore exact.
func (c *checker[S]) checkLiveness() *Violation[S] {
	g := c.graph()
	traces := make([]*Trace[S], len(c.liveness))
	var wg sync.WaitGroup
	for i := range c.liveness {
		wg.Go(func() { traces[i] = c.tarjan(g, uint8(1)<<i) })
	}
	wg.Wait()
	for i, name := range c.liveness {
		if traces[i] != nil {
			return &Violation[S]{Property: name, Trace: *traces[i]}
		}
	}
	return nil
}

// tarjan finds the strongly connected components among the states in which a property is pending (Tarjan, 1972;
// iterative), and returns a run into the first one that violates the property.
func (c *checker[S]) tarjan(g *graph, bit uint8) *Trace[S] {
	n := len(g.location)
	index, low := make([]uint32, n), make([]uint32, n) // index 0: not visited; low noState: finished
	members := newBitset(n)
	var stack []uint32
	type frame struct {
		id   uint32
		next int
	}
	var calls []frame
	last := uint32(0)
	push := func(id uint32) {
		last++
		index[id], low[id] = last, last
		stack = append(stack, id)
		calls = append(calls, frame{id: id})
	}
	for root := range uint32(n) {
		if !g.store.has(root) || g.store.pending(root)&bit == 0 || index[root] != 0 {
			continue
		}
		push(root)
		for len(calls) > 0 {
			f := &calls[len(calls)-1]
			to, _, _ := g.edgesOf(f.id)
			if f.next < len(to) {
				next := to[f.next]
				f.next++
				switch {
				case g.store.pending(next)&bit == 0:
				case index[next] == 0:
					push(next)
				case low[next] != noState: // on the stack
					low[f.id] = min(low[f.id], index[next])
				}
				continue
			}
			id := f.id
			calls = calls[:len(calls)-1]
			if len(calls) > 0 {
				caller := calls[len(calls)-1].id
				low[caller] = min(low[caller], low[id])
			}
			if low[id] != index[id] {
				continue
			}
			bottom := len(stack) - 1
			for stack[bottom] != id {
				bottom--
			}
			component := stack[bottom:]
			if t := c.fairRunIn(g, component, members); t != nil {
				return t
			}
			for _, member := range component {
				low[member] = noState
			}
			stack = stack[:bottom]
		}
	}
	return nil
}

// fairRunIn returns a fair run that stays in a strongly connected component forever, if there is one, or a run that
// ends there. The bitset is empty before and after the call.
func (c *checker[S]) fairRunIn(g *graph, component []uint32, members bitset) *Trace[S] {
	if len(component) == 1 {
		if l, _ := g.list(component[0]); l != nil && l.terminal {
			t := c.trace(component[0])
			return &t
		}
		if to, _, _ := g.edgesOf(component[0]); !slices.Contains(to, component[0]) {
			return nil
		}
	}
	members.add(component)
	defer members.remove(component)
	enabledEverywhere, taken := ^Fairness(0), Fairness(0)
	for _, id := range component {
		to, class, enabled := g.edgesOf(id)
		enabledEverywhere &= enabled
		for i, next := range to {
			if members.has(next) {
				taken |= class[i]
			}
		}
	}
	if enabledEverywhere&^taken != 0 {
		return nil
	}
	return c.lasso(g, component, members, enabledEverywhere)
}

// lasso builds a run into a component and once round it that visits what makes the run fair: an edge of each class that
// is enabled in all states, and for each other class a state in which it is not enabled.
func (c *checker[S]) lasso(g *graph, component []uint32, members bitset, enabledEverywhere Fairness) *Trace[S] {
	entry, nearest := component[0], int(^uint(0)>>1)
	for _, id := range component[:min(len(component), 4096)] {
		n := 0
		for at := id; at != noState; at = c.store.parent(at) {
			n++
		}
		if n < nearest {
			entry, nearest = id, n
		}
	}
	t := c.trace(entry)
	t.Loop = len(t.States) - 1
	at := entry
	walk := func(goal func(id uint32, class Fairness) bool, allowEmpty bool) {
		path := pathWithin(g, members, at, goal, allowEmpty)
		if len(path) == 0 {
			return
		}
		fps := make([]uint64, len(path))
		for i, id := range path {
			fps[i] = c.fingerprintOf(id)
		}
		c.extendTrace(&t, fps)
		at = path[len(path)-1]
	}
	for class := Fairness(1); class != 0; class <<= 1 {
		if enabledEverywhere&class != 0 {
			walk(func(_ uint32, taken Fairness) bool { return taken&class != 0 }, false)
			continue
		}
		walk(func(id uint32, _ Fairness) bool {
			_, _, enabled := g.edgesOf(id)
			return enabled&class == 0
		}, true)
	}
	if at != entry || len(t.States) == t.Loop+1 {
		walk(func(id uint32, _ Fairness) bool { return id == entry }, false)
	}
	return &t
}

// pathWithin finds a shortest path inside a component from a state to a goal. With allowEmpty, the path may have no
// steps.
func pathWithin(g *graph, members bitset, from uint32, goal func(uint32, Fairness) bool, allowEmpty bool) []uint32 {
	if allowEmpty && goal(from, 0) {
		return nil
	}
	predecessor := map[uint32]uint32{}
	queue := []uint32{from}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		to, class, _ := g.edgesOf(at)
		for i, next := range to {
			if !members.has(next) {
				continue
			}
			if goal(next, class[i]) {
				path := []uint32{next}
				for at != from {
					path = append(path, at)
					at = predecessor[at]
				}
				slices.Reverse(path)
				return path
			}
			if _, seen := predecessor[next]; !seen && next != from {
				predecessor[next] = at
				queue = append(queue, next)
			}
		}
	}
	return nil
}
