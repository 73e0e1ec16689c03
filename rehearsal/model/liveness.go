package model

import (
	"slices"
	"sync"
)

// bitset is a set of states by their numbers.
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

// livenessBytes is what the check of promises takes for so many places of states.
func livenessBytes(places uint32, promises int) int64 {
	return int64(places) * int64(8+9*promises) // where; index, low and a bit for each promise
}

// graph is the part of the state graph in which promises are pending.
type graph struct {
	store *store
	where []uint64 // by state: its worker and its list there, plus one; 0: it has none
	edges []*edges
}

func (c *checker[S]) graph() *graph {
	g := &graph{store: c.store, where: make([]uint64, c.store.places())}
	for i, w := range c.workers {
		g.edges = append(g.edges, &w.edges)
		for j := range w.edges.from {
			g.where[w.edges.from[j].state] = uint64(i)<<40 | uint64(j+1)
		}
	}
	return g
}

// of returns a state's kept steps and the classes that are enabled there.
func (g *graph) of(id uint32) (to []uint32, class []Fairness, enabled Fairness) {
	l, e := g.list(id)
	if l == nil {
		return nil, nil, 0
	}
	return e.to[l.block][l.at : l.at+l.n], e.class[l.block][l.at : l.at+l.n], l.enabled
}

// list returns a state's steps, or nil where none were kept.
func (g *graph) list(id uint32) (*edgeList, *edges) {
	at := g.where[id]
	if at == 0 {
		return nil, nil
	}
	e := g.edges[at>>40]
	return &e.from[at&(1<<40-1)-1], e
}

// checkLiveness looks, promise by promise, for an endless fair run in which it stays pending, or an end in which it is.
// Weak fairness is judged on strongly connected parts of the graph: if some class is enabled in all states of a part
// and no step within it is of that class, no run that stays in any piece of the part is fair, for that class is
// enabled all along there as well; otherwise the run that goes round the whole part is. So the check is exact.
func (c *checker[S]) checkLiveness() *Violation[S] {
	g := c.graph()
	traces := make([]*Trace[S], len(c.live))
	var all sync.WaitGroup
	for i := range c.live {
		all.Go(func() { traces[i] = c.tarjan(g, uint8(1)<<i) })
	}
	all.Wait()
	for i, name := range c.live {
		if traces[i] != nil {
			return &Violation[S]{Property: name, Trace: *traces[i]}
		}
	}
	return nil
}

// tarjan finds the strongly connected parts among the states in which a promise is pending (Tarjan, 1972; iterative),
// and returns a run into the first that breaks the promise.
func (c *checker[S]) tarjan(g *graph, bit uint8) *Trace[S] {
	n := len(g.where)
	index, low := make([]uint32, n), make([]uint32, n) // index 0: not visited; low of a finished state: noState
	inPart := newBitset(n)
	var stack []uint32
	type frame struct {
		id   uint32
		next int
	}
	var calls []frame
	last := uint32(0)
	open := func(id uint32) {
		last++
		index[id], low[id] = last, last
		stack = append(stack, id)
		calls = append(calls, frame{id: id})
	}
	for root := range uint32(n) {
		if !g.store.has(root) || g.store.pending(root)&bit == 0 || index[root] != 0 {
			continue
		}
		open(root)
		for len(calls) > 0 {
			f := &calls[len(calls)-1]
			to, _, _ := g.of(f.id)
			if f.next < len(to) {
				next := to[f.next]
				f.next++
				switch {
				case g.store.pending(next)&bit == 0:
				case index[next] == 0:
					open(next)
				case low[next] != noState: // on the stack
					low[f.id] = min(low[f.id], index[next])
				}
				continue
			}
			id := f.id
			calls = calls[:len(calls)-1]
			if len(calls) > 0 {
				up := calls[len(calls)-1].id
				low[up] = min(low[up], low[id])
			}
			if low[id] != index[id] {
				continue
			}
			at := len(stack) - 1
			for stack[at] != id {
				at--
			}
			part := stack[at:]
			if t := c.judge(g, part, inPart); t != nil {
				return t
			}
			for _, member := range part {
				low[member] = noState
			}
			stack = stack[:at]
		}
	}
	return nil
}

// judge returns a run that stays in a strongly connected part for ever, if there is a fair one, or that ends there.
// The bitset is empty before and after.
func (c *checker[S]) judge(g *graph, part []uint32, in bitset) *Trace[S] {
	if len(part) == 1 {
		if l, _ := g.list(part[0]); l != nil && l.end {
			t := c.trace(part[0])
			return &t
		}
		if to, _, _ := g.of(part[0]); !slices.Contains(to, part[0]) {
			return nil
		}
	}
	in.add(part)
	defer in.remove(part)
	all, taken := ^Fairness(0), Fairness(0)
	for _, id := range part {
		to, class, enabled := g.of(id)
		all &= enabled
		for i, next := range to {
			if in.has(next) {
				taken |= class[i]
			}
		}
	}
	if all&^taken != 0 {
		return nil
	}
	return c.lasso(g, part, in, all)
}

// lasso builds a run into a part and once round it, past whatever makes it fair: a step of each class that is enabled
// everywhere, and for each other class a state in which it is not.
func (c *checker[S]) lasso(g *graph, part []uint32, in bitset, all Fairness) *Trace[S] {
	entry, nearest := part[0], int(^uint(0)>>1)
	for _, id := range part[:min(len(part), 4096)] {
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
	walk := func(goal func(id uint32, class Fairness) bool, stay bool) {
		path := within(g, in, at, goal, stay)
		if len(path) == 0 {
			return
		}
		fps := make([]uint64, len(path))
		for i, id := range path {
			fps[i] = c.fingerprintOf(id)
		}
		c.follow(&t, fps)
		at = path[len(path)-1]
	}
	for class := Fairness(1); class != 0; class <<= 1 {
		if all&class != 0 {
			walk(func(_ uint32, by Fairness) bool { return by&class != 0 }, false)
			continue
		}
		walk(func(id uint32, _ Fairness) bool {
			_, _, enabled := g.of(id)
			return enabled&class == 0
		}, true)
	}
	if at != entry || len(t.States) == t.Loop+1 {
		walk(func(id uint32, _ Fairness) bool { return id == entry }, false)
	}
	return &t
}

// within finds a shortest way inside a part from a state to a goal; stay allows the way of no steps.
func within(g *graph, in bitset, from uint32, goal func(uint32, Fairness) bool, stay bool) []uint32 {
	if stay && goal(from, 0) {
		return nil
	}
	came := map[uint32]uint32{}
	queue := []uint32{from}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		to, class, _ := g.of(at)
		for i, next := range to {
			if !in.has(next) {
				continue
			}
			if goal(next, class[i]) {
				path := []uint32{next}
				for at != from {
					path = append(path, at)
					at = came[at]
				}
				slices.Reverse(path)
				return path
			}
			if _, seen := came[next]; !seen && next != from {
				came[next] = at
				queue = append(queue, next)
			}
		}
	}
	return nil
}
