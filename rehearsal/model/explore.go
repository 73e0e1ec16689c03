package model

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// Options bound a check. The zero value uses all cores and bounds nothing.
type Options struct {
	Workers    int           // goroutines that expand states; 0: one for each core
	Memory     int64         // bytes that states, tables and edges may take; 0: no bound
	MaxStates  uint64        // 0: no bound
	MaxDepth   int           // steps from an initial state; 0: no bound
	Within     time.Duration // of the exploration; 0: no bound
	NoLiveness bool          // promises stay unknown, and no edges are kept
	Every      time.Duration // between two calls of Progress
	Progress   func(Progress)
}

// Progress is how far a check has come.
type Progress struct {
	Phase       string // "exploring" or "liveness"
	States      uint64
	Transitions uint64
	Depth       int
	Left        uint64 // states of this depth that were not expanded yet
	Frontier    uint64 // states found for the next depth
	Bytes       int64
	Elapsed     time.Duration
}

// item is a state whose steps are still to be taken.
type item[S any] struct {
	state S
	id    uint32
}

// broken is a safety property that does not hold in a state, or an end that is none.
type broken struct {
	id       uint32
	fp       uint64
	property string
	order    int
}

// batch is how many states a worker takes at a time.
const batch = 128

// checker is one run of Check.
type checker[S any] struct {
	m       Model[S]
	opt     Options
	store   *store
	safety  []string
	live    []string
	workers []*worker[S]
	coverer Coverer[S] // nil where the model is none
	sizer   Sizer[S]   // the same
	level   [][]item[S]
	sizes   int64 // bytes of one item

	begun       time.Time
	states      atomic.Uint64
	transitions atomic.Uint64
	left        atomic.Int64
	found       atomic.Int64 // states of the next depth
	extra       atomic.Int64 // bytes of edges and frontiers
	stop        atomic.Bool
	mu          sync.Mutex
	reason      string
	peak        uint64
	depth       int
	widest      uint64
}

type worker[S any] struct {
	c       *checker[S]
	next    []item[S]
	edges   edges
	buf     []byte
	broken  []broken
	yield   func(Step, S)
	succs   []succ[S]
	touched uint64
	steps   uint64
	fresh   uint64
	covered uint64
	beyond  int64 // bytes that the states of the next depth hold besides themselves
}

// Check visits every reachable state of a model. It returns an error only for a model or options that make no sense;
// what it could not finish is told in the result.
func Check[S any](m Model[S], opt Options) (*Result[S], error) {
	safety, live, err := names(m)
	if err != nil {
		return nil, err
	}
	if opt.Workers <= 0 {
		opt.Workers = runtime.GOMAXPROCS(0)
	}
	if opt.Memory > 0 {
		defer debug.SetMemoryLimit(debug.SetMemoryLimit(opt.Memory))
	} else {
		opt.Memory = 1 << 62
	}
	c := &checker[S]{m: m, opt: opt, store: newStore(opt.Memory), safety: safety, live: live, begun: time.Now()}
	c.coverer, _ = m.(Coverer[S])
	c.sizer, _ = m.(Sizer[S])
	var it item[S]
	c.sizes = int64(unsafe.Sizeof(it))
	for range opt.Workers {
		w := &worker[S]{c: c}
		w.yield = w.take
		c.workers = append(c.workers, w)
	}
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Add(1)
	go func() { defer watch.Done(); c.watch(done) }()
	res := c.run()
	close(done)
	watch.Wait()
	c.measure()
	res.PeakBytes = c.peak
	return res, nil
}

// watch reports progress, notes the memory held and keeps the time bound.
func (c *checker[S]) watch(done chan struct{}) {
	every := c.opt.Every
	if every <= 0 {
		every = 2 * time.Second
	}
	tick := time.NewTicker(min(every, 250*time.Millisecond))
	defer tick.Stop()
	told := time.Now()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		c.measure()
		if c.opt.Within > 0 && time.Since(c.begun) >= c.opt.Within {
			c.halt(fmt.Sprintf("the time of %v is over", c.opt.Within))
		}
		if c.opt.Progress != nil && time.Since(told) >= every {
			told = time.Now()
			c.opt.Progress(c.progress())
		}
	}
}

func (c *checker[S]) measure() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c.mu.Lock()
	c.peak = max(c.peak, m.Sys-m.HeapReleased)
	c.mu.Unlock()
}

func (c *checker[S]) progress() Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Progress{Phase: "exploring", States: c.states.Load(), Transitions: c.transitions.Load(), Depth: c.depth,
		Left: uint64(max(0, c.left.Load())), Frontier: uint64(c.found.Load()),
		Bytes: c.store.bytes.Load() + c.extra.Load(), Elapsed: time.Since(c.begun)}
	if p.Left == 0 && p.Frontier == 0 {
		p.Phase = "liveness"
	}
	return p
}

// halt ends the exploration; the first reason counts.
func (c *checker[S]) halt(reason string) {
	c.mu.Lock()
	if c.reason == "" {
		c.reason = reason
	}
	c.mu.Unlock()
	c.stop.Store(true)
}

func (c *checker[S]) run() *Result[S] {
	res := &Result[S]{Workers: c.opt.Workers}
	first := c.workers[0]
	for _, s := range c.m.Initial() {
		first.take(0, s)
	}
	for i := range first.succs {
		first.put(noState, &first.succs[i])
	}
	c.states.Add(first.fresh)
	var worst *broken
	for {
		n := c.turn()
		if worst = c.worst(); worst != nil || n == 0 || c.stop.Load() {
			break
		}
		if c.opt.MaxDepth > 0 && c.depth >= c.opt.MaxDepth {
			c.halt(fmt.Sprintf("the depth of %d is reached", c.opt.MaxDepth))
			break
		}
		c.expand()
	}
	res.States, res.Transitions, res.Depth, res.Widest = c.states.Load(), c.transitions.Load(), c.depth, c.widest
	for _, w := range c.workers {
		res.Covered |= w.covered
	}
	res.Missed = missed(res.States)
	res.Seconds = time.Since(c.begun).Seconds()
	res.Stopped = c.reason
	res.Complete = worst == nil && c.reason == ""
	liveDone := false
	if worst != nil {
		res.Violation = &Violation[S]{Property: worst.property, Trace: c.trace(worst.id)}
	} else if res.Complete && !c.opt.NoLiveness && len(c.live) > 0 && c.roomForLiveness(res) {
		begun := time.Now()
		res.Violation = c.checkLiveness()
		res.LiveSeconds = time.Since(begun).Seconds()
		liveDone = true
	}
	c.findings(res, liveDone)
	return res
}

// roomForLiveness says whether the promises can be checked within the memory allowed. Where not, the result says so.
func (c *checker[S]) roomForLiveness(res *Result[S]) bool {
	c.level = nil
	need := c.store.bytes.Load() + c.extra.Load() + livenessBytes(c.store.places(), len(c.live))
	if need <= c.opt.Memory {
		return true
	}
	res.Complete = false
	res.Stopped = fmt.Sprintf("all states were visited, and the promises need %d MiB of %d", need>>20, c.opt.Memory>>20)
	return false
}

// turn makes what was found the depth to be expanded next, and returns how many states that is.
func (c *checker[S]) turn() uint64 {
	c.level = c.level[:0]
	n, beyond := uint64(0), int64(0)
	for _, w := range c.workers {
		if len(w.next) > 0 {
			c.level = append(c.level, w.next)
			n += uint64(len(w.next))
		}
		w.next = nil
		beyond += w.beyond
		w.beyond = 0
	}
	c.mu.Lock()
	if n > 0 && c.transitions.Load() > 0 {
		c.depth++
	}
	c.widest = max(c.widest, n)
	c.mu.Unlock()
	c.left.Store(int64(n))
	c.found.Store(0)
	bytes := int64(n)*c.sizes + beyond
	for _, w := range c.workers {
		bytes += w.edges.bytes
	}
	c.extra.Store(bytes)
	return n
}

// expand takes all steps of the states of this depth.
func (c *checker[S]) expand() {
	var cursor atomic.Int64
	type span struct{ list, from, to int }
	var spans []span
	for i, l := range c.level {
		for from := 0; from < len(l); from += batch {
			spans = append(spans, span{i, from, min(from+batch, len(l))})
		}
	}
	var all sync.WaitGroup
	for _, w := range c.workers {
		all.Add(1)
		go func() {
			defer all.Done()
			for !c.stop.Load() {
				n := int(cursor.Add(1)) - 1
				if n >= len(spans) {
					return
				}
				sp := spans[n]
				before, steps, fresh := len(w.next), w.steps, w.fresh
				grown := cap(w.next)
				held := w.edges.bytes + w.beyond
				for i := sp.from; i < sp.to; i++ {
					w.expand(&c.level[sp.list][i])
				}
				c.left.Add(int64(sp.from - sp.to))
				c.found.Add(int64(len(w.next) - before))
				c.transitions.Add(w.steps - steps)
				c.states.Add(w.fresh - fresh)
				more := c.extra.Add(int64(cap(w.next)-grown)*c.sizes + w.edges.bytes + w.beyond - held)
				switch states := c.states.Load(); {
				case more+c.store.bytes.Load() > c.opt.Memory:
					c.halt(fmt.Sprintf("the memory of %d MiB is full", c.opt.Memory>>20))
				case c.opt.MaxStates > 0 && states >= c.opt.MaxStates:
					c.halt(fmt.Sprintf("the bound of %d states is reached", c.opt.MaxStates))
				}
			}
		}()
	}
	all.Wait()
}

// succ is a state that a step leads to, in its canonical form.
type succ[S any] struct {
	state   S
	fp      uint64
	step    Step
	pending uint8
}

// expand takes all steps of one state. They are collected before they are looked up: the places in the table are
// touched one right after the other, so that the waits for memory overlap, which is most of what a check does.
func (w *worker[S]) expand(it *item[S]) {
	c := w.c
	w.succs = w.succs[:0]
	c.m.Steps(it.state, w.yield)
	w.steps += uint64(len(w.succs))
	w.touched += touch(c.store, w.succs)
	pending := c.m.Pending(it.state)
	live := pending != 0 && !c.opt.NoLiveness
	if live {
		w.edges.begin(it.id, len(w.succs)).end = len(w.succs) == 0
	}
	for i := range w.succs {
		n := &w.succs[i]
		id, room := w.put(it.id, n)
		if live && room {
			w.edges.add(id, c.m.Fair(n.step), n.pending&pending != 0)
		}
	}
	if len(w.succs) == 0 && !c.m.Done(it.state) {
		w.broken = append(w.broken, broken{id: it.id, fp: w.fingerprint(it.state), property: DeadlockFree, order: 32})
	}
}

// take is one step of the state being expanded.
func (w *worker[S]) take(step Step, next S) {
	n := len(w.succs)
	if n < cap(w.succs) {
		w.succs = w.succs[:n+1]
	} else {
		w.succs = append(w.succs, succ[S]{})
	}
	x := &w.succs[n]
	x.state = w.c.m.Canonical(next)
	x.step, x.pending, x.fp = step, w.c.m.Pending(x.state), w.fingerprint(x.state)
}

// put puts a state in. A new one is checked and kept for the next depth. It says whether there was room.
func (w *worker[S]) put(parent uint32, n *succ[S]) (id uint32, room bool) {
	c := w.c
	id, fresh, room := c.store.add(n.fp, parent, n.pending)
	if !room {
		c.halt(fmt.Sprintf("the memory of %d MiB is full", c.opt.Memory>>20))
		return noState, false
	}
	if !fresh {
		return id, true
	}
	w.fresh++
	w.next = append(w.next, item[S]{n.state, id})
	if c.coverer != nil {
		w.covered |= c.coverer.Covered(n.state)
	}
	if c.sizer != nil {
		w.beyond += int64(c.sizer.Size(n.state))
	}
	if b := c.m.Broken(n.state); b != 0 {
		for i, name := range c.safety {
			if b>>i&1 == 1 {
				w.broken = append(w.broken, broken{id, n.fp, name, i})
			}
		}
	}
	return id, true
}

func (w *worker[S]) fingerprint(s S) uint64 {
	w.buf = w.c.m.Encode(w.buf[:0], s)
	return xxhash.Sum64(w.buf)
}

// worst returns the violation that is told, of those found at this depth: the first in the order of the properties,
// and of its states the one with the lowest fingerprint, so that it does not depend on the workers' pace.
func (c *checker[S]) worst() *broken {
	var worst *broken
	for _, w := range c.workers {
		for i := range w.broken {
			b := &w.broken[i]
			if worst == nil || b.order < worst.order || b.order == worst.order && b.fp < worst.fp {
				worst = b
			}
		}
	}
	return worst
}

// findings fills in the verdicts.
func (c *checker[S]) findings(res *Result[S], liveDone bool) {
	verdict := func(name string, live bool) Verdict {
		switch {
		case res.Violation != nil && res.Violation.Property == name:
			return Violated
		case live && liveDone && (res.Violation == nil || c.before(name, res.Violation.Property)),
			!live && (res.Complete || liveDone || c.reason == "" && res.Violation == nil):
			return Holds
		}
		return Unknown
	}
	for _, name := range c.safety {
		res.Findings = append(res.Findings, Finding{name, verdict(name, false), false})
	}
	res.Findings = append(res.Findings, Finding{DeadlockFree, verdict(DeadlockFree, false), false})
	for _, name := range c.live {
		res.Findings = append(res.Findings, Finding{name, verdict(name, true), true})
	}
}

// before says whether a promise was checked in full before another one turned out broken.
func (c *checker[S]) before(name, other string) bool {
	for _, n := range c.live {
		switch n {
		case name:
			return true
		case other:
			return false
		}
	}
	return false
}

// trace follows the parents of a state back and runs the model forward along them. The states are not canonical, so
// that one gateway keeps its name all along.
func (c *checker[S]) trace(id uint32) Trace[S] {
	var ids []uint32
	for at := id; at != noState; at = c.store.parent(at) {
		ids = append(ids, at)
	}
	path := make([]uint64, len(ids))
	for i, at := range ids {
		path[len(ids)-1-i] = c.fingerprintOf(at)
	}
	t := Trace[S]{Loop: -1}
	for _, s := range c.m.Initial() {
		if c.same(s, path[0]) {
			t.States = append(t.States, s)
			break
		}
	}
	c.follow(&t, path[1:])
	return t
}

// follow extends a trace along fingerprints of canonical states.
func (c *checker[S]) follow(t *Trace[S], path []uint64) {
	for _, fp := range path {
		taken := false
		c.m.Steps(t.States[len(t.States)-1], func(step Step, next S) {
			if !taken && c.same(next, fp) {
				taken = true
				t.Steps, t.States = append(t.Steps, step), append(t.States, next)
			}
		})
		if !taken {
			panic("model: a trace cannot be run again: Steps or Canonical is not a function of the state")
		}
	}
}

func (c *checker[S]) same(s S, fp uint64) bool {
	got := xxhash.Sum64(c.m.Encode(nil, c.m.Canonical(s)))
	return got == fp || got == 0 && fp == 1
}

// fingerprintOf finds a state's fingerprint by its number. Slow: it is for traces.
func (c *checker[S]) fingerprintOf(id uint32) uint64 {
	t := c.store.shard[id%shards].table.Load()
	for i, fp := range t.keys {
		if fp != 0 && t.ids[i] == id {
			return fp
		}
	}
	panic("model: a state without a fingerprint")
}
