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

// Options bound a check. The zero value uses all cores and sets no limits.
type Options struct {
	Workers          int           // goroutines that expand states; 0: one for each core
	MemoryLimit      int64         // bytes that states, tables and edges may take; 0: no limit
	MaxStates        uint64        // 0: no limit
	MaxDepth         int           // number of steps from an initial state; 0: no limit
	TimeLimit        time.Duration // for the exploration; 0: no limit
	NoLiveness       bool          // skip the liveness check: its verdicts stay Unknown, and no edges are kept
	ProgressInterval time.Duration // time between two calls of Progress
	Progress         func(Progress)
}

// Progress reports how far a check has come.
type Progress struct {
	Phase       string // "exploring" or "liveness"
	States      uint64
	Transitions uint64
	Depth       int
	Unexpanded  uint64 // states of the current depth that are not expanded yet
	Frontier    uint64 // states found for the next depth
	Bytes       int64
	Elapsed     time.Duration
}

// item is a state that has not been expanded yet.
type item[S any] struct {
	state S
	id    uint32
}

// violationRecord is a state that violates a safety property, or a deadlock.
type violationRecord struct {
	id       uint32
	fp       uint64
	property string
	order    int
}

// batch is the number of states that a worker takes at a time.
const batch = 128

// checker is one run of Check.
type checker[S any] struct {
	m        Model[S]
	opt      Options
	store    *store
	safety   []string
	liveness []string
	workers  []*worker[S]
	coverer  Coverer[S] // nil if the model does not implement it
	sizer    Sizer[S]   // nil if the model does not implement it
	level    [][]item[S]
	itemSize int64 // size of one item in bytes

	start          time.Time
	states         atomic.Uint64
	transitions    atomic.Uint64
	unexpanded     atomic.Int64
	nextStates     atomic.Int64 // states found for the next depth
	auxBytes       atomic.Int64 // bytes of edges and frontiers
	stop           atomic.Bool
	mu             sync.Mutex
	stopReason     string
	peakBytes      uint64
	depth          int
	maxLevelStates uint64
}

type worker[S any] struct {
	c          *checker[S]
	next       []item[S]
	edges      edges
	buf        []byte
	violations []violationRecord
	yield      func(Step, S)
	succs      []succ[S]
	prefetched uint64
	steps      uint64
	newStates  uint64
	covered    uint64
	stateBytes int64 // bytes that the states of the next depth hold besides their own size
}

// Check visits every reachable state of a model. It returns an error only for an invalid model or invalid options. A
// check that stops early returns a result whose StopReason says why.
func Check[S any](m Model[S], opt Options) (*Result[S], error) {
	safety, liveness, err := propertyNames(m)
	if err != nil {
		return nil, err
	}
	if opt.Workers <= 0 {
		opt.Workers = runtime.GOMAXPROCS(0)
	}
	if opt.MemoryLimit > 0 {
		defer debug.SetMemoryLimit(debug.SetMemoryLimit(opt.MemoryLimit))
	} else {
		opt.MemoryLimit = 1 << 62
	}
	c := &checker[S]{m: m, opt: opt, store: newStore(opt.MemoryLimit), safety: safety, liveness: liveness, start: time.Now()}
	c.coverer, _ = m.(Coverer[S])
	c.sizer, _ = m.(Sizer[S])
	var it item[S]
	c.itemSize = int64(unsafe.Sizeof(it))
	for range opt.Workers {
		w := &worker[S]{c: c}
		w.yield = w.addSuccessor
		c.workers = append(c.workers, w)
	}
	done := make(chan struct{})
	var monitor sync.WaitGroup
	monitor.Add(1)
	go func() { defer monitor.Done(); c.monitor(done) }()
	res := c.run()
	close(done)
	monitor.Wait()
	c.samplePeakMemory()
	res.PeakBytes = c.peakBytes
	return res, nil
}

// monitor reports progress, records the peak of the memory in use and enforces the time limit.
func (c *checker[S]) monitor(done chan struct{}) {
	interval := c.opt.ProgressInterval
	if interval <= 0 {
		interval = 2 * time.Second
	}
	tick := time.NewTicker(min(interval, 250*time.Millisecond))
	defer tick.Stop()
	lastReport := time.Now()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		c.samplePeakMemory()
		if c.opt.TimeLimit > 0 && time.Since(c.start) >= c.opt.TimeLimit {
			c.stopExploring(fmt.Sprintf("the time limit of %v is reached", c.opt.TimeLimit))
		}
		if c.opt.Progress != nil && time.Since(lastReport) >= interval {
			lastReport = time.Now()
			c.opt.Progress(c.progress())
		}
	}
}

func (c *checker[S]) samplePeakMemory() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c.mu.Lock()
	c.peakBytes = max(c.peakBytes, m.Sys-m.HeapReleased)
	c.mu.Unlock()
}

func (c *checker[S]) progress() Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Progress{Phase: "exploring", States: c.states.Load(), Transitions: c.transitions.Load(), Depth: c.depth,
		Unexpanded: uint64(max(0, c.unexpanded.Load())), Frontier: uint64(c.nextStates.Load()),
		Bytes: c.store.bytes.Load() + c.auxBytes.Load(), Elapsed: time.Since(c.start)}
	if p.Unexpanded == 0 && p.Frontier == 0 {
		p.Phase = "liveness"
	}
	return p
}

// stopExploring ends the exploration. If it is called several times, the first reason is reported.
func (c *checker[S]) stopExploring(reason string) {
	c.mu.Lock()
	if c.stopReason == "" {
		c.stopReason = reason
	}
	c.mu.Unlock()
	c.stop.Store(true)
}

func (c *checker[S]) run() *Result[S] {
	res := &Result[S]{Workers: c.opt.Workers}
	first := c.workers[0]
	for _, s := range c.m.Initial() {
		first.addSuccessor(0, s)
	}
	for i := range first.succs {
		first.visit(noState, &first.succs[i])
	}
	c.states.Add(first.newStates)
	var violation *violationRecord
	for {
		n := c.advanceLevel()
		if violation = c.firstViolation(); violation != nil || n == 0 || c.stop.Load() {
			break
		}
		if c.opt.MaxDepth > 0 && c.depth >= c.opt.MaxDepth {
			c.stopExploring(fmt.Sprintf("the depth of %d is reached", c.opt.MaxDepth))
			break
		}
		c.expand()
	}
	res.States, res.Transitions, res.Depth, res.MaxLevelStates = c.states.Load(), c.transitions.Load(), c.depth,
		c.maxLevelStates
	for _, w := range c.workers {
		res.Covered |= w.covered
	}
	res.OmissionProbability = omissionProbability(res.States)
	res.Seconds = time.Since(c.start).Seconds()
	res.StopReason = c.stopReason
	res.Complete = violation == nil && c.stopReason == ""
	livenessDone := false
	if violation != nil {
		res.Violation = &Violation[S]{Property: violation.property, Trace: c.trace(violation.id)}
	} else if res.Complete && !c.opt.NoLiveness && len(c.liveness) > 0 && c.livenessFits(res) {
		livenessStart := time.Now()
		res.Violation = c.checkLiveness()
		res.LivenessSeconds = time.Since(livenessStart).Seconds()
		livenessDone = true
	}
	c.findings(res, livenessDone)
	return res
}

// livenessFits reports whether liveness can be checked within the memory limit. If not, it marks the result as
// incomplete and gives the reason there.
func (c *checker[S]) livenessFits(res *Result[S]) bool {
	c.level = nil
	need := c.store.bytes.Load() + c.auxBytes.Load() + livenessBytes(c.store.idBound(), len(c.liveness))
	if need <= c.opt.MemoryLimit {
		return true
	}
	res.Complete = false
	res.StopReason = fmt.Sprintf("all states were visited, but the liveness check needs %d MiB of %d", need>>20, c.opt.MemoryLimit>>20)
	return false
}

// advanceLevel makes the states found last the level to expand next, and returns their number.
func (c *checker[S]) advanceLevel() uint64 {
	c.level = c.level[:0]
	n, stateBytes := uint64(0), int64(0)
	for _, w := range c.workers {
		if len(w.next) > 0 {
			c.level = append(c.level, w.next)
			n += uint64(len(w.next))
		}
		w.next = nil
		stateBytes += w.stateBytes
		w.stateBytes = 0
	}
	c.mu.Lock()
	if n > 0 && c.transitions.Load() > 0 {
		c.depth++
	}
	c.maxLevelStates = max(c.maxLevelStates, n)
	c.mu.Unlock()
	c.unexpanded.Store(int64(n))
	c.nextStates.Store(0)
	bytes := int64(n)*c.itemSize + stateBytes
	for _, w := range c.workers {
		bytes += w.edges.bytes
	}
	c.auxBytes.Store(bytes)
	return n
}

// expand computes the successors of all states of the current depth.
func (c *checker[S]) expand() {
	var cursor atomic.Int64
	type span struct{ list, from, to int }
	var spans []span
	for i, l := range c.level {
		for from := 0; from < len(l); from += batch {
			spans = append(spans, span{i, from, min(from+batch, len(l))})
		}
	}
	var wg sync.WaitGroup
	for _, w := range c.workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !c.stop.Load() {
				n := int(cursor.Add(1)) - 1
				if n >= len(spans) {
					return
				}
				sp := spans[n]
				before, steps, newStates := len(w.next), w.steps, w.newStates
				capBefore := cap(w.next)
				bytesBefore := w.edges.bytes + w.stateBytes
				for i := sp.from; i < sp.to; i++ {
					w.expand(&c.level[sp.list][i])
				}
				c.unexpanded.Add(int64(sp.from - sp.to))
				c.nextStates.Add(int64(len(w.next) - before))
				c.transitions.Add(w.steps - steps)
				c.states.Add(w.newStates - newStates)
				auxBytes := c.auxBytes.Add(int64(cap(w.next)-capBefore)*c.itemSize + w.edges.bytes + w.stateBytes - bytesBefore)
				switch states := c.states.Load(); {
				case auxBytes+c.store.bytes.Load() > c.opt.MemoryLimit:
					c.stopExploring(fmt.Sprintf("the memory limit of %d MiB is reached", c.opt.MemoryLimit>>20))
				case c.opt.MaxStates > 0 && states >= c.opt.MaxStates:
					c.stopExploring(fmt.Sprintf("the bound of %d states is reached", c.opt.MaxStates))
				}
			}
		}()
	}
	wg.Wait()
}

// succ is the successor of a state, in its canonical form.
type succ[S any] struct {
	state   S
	fp      uint64
	step    Step
	pending uint8
}

// expand computes the successors of one state. It collects all of them before it looks them up: their table slots are
// then prefetched one right after the other, so that the memory latencies, which are most of the cost of a check,
// overlap.
func (w *worker[S]) expand(it *item[S]) {
	c := w.c
	w.succs = w.succs[:0]
	c.m.Steps(it.state, w.yield)
	w.steps += uint64(len(w.succs))
	w.prefetched += prefetch(c.store, w.succs)
	pending := c.m.Pending(it.state)
	live := pending != 0 && !c.opt.NoLiveness
	if live {
		w.edges.beginState(it.id, len(w.succs)).terminal = len(w.succs) == 0
	}
	for i := range w.succs {
		n := &w.succs[i]
		id, fits := w.visit(it.id, n)
		if live && fits {
			w.edges.add(id, c.m.FairnessClasses(n.step), n.pending&pending != 0)
		}
	}
	if len(w.succs) == 0 && !c.m.Done(it.state) {
		w.violations = append(w.violations, violationRecord{id: it.id, fp: w.fingerprint(it.state), property: DeadlockFree, order: 32})
	}
}

// addSuccessor adds one successor of the state that is being expanded.
func (w *worker[S]) addSuccessor(step Step, next S) {
	n := len(w.succs)
	if n < cap(w.succs) {
		w.succs = w.succs[:n+1]
	} else {
		w.succs = append(w.succs, succ[S]{})
	}
	added := &w.succs[n]
	added.state = w.c.m.Canonical(next)
	added.step, added.pending, added.fp = step, w.c.m.Pending(added.state), w.fingerprint(added.state)
}

// visit adds a state to the store. It checks a new state and queues it for the next depth. It returns false if the
// store has no room.
func (w *worker[S]) visit(parent uint32, n *succ[S]) (id uint32, fits bool) {
	c := w.c
	id, isNew, fits := c.store.add(n.fp, parent, n.pending)
	if !fits {
		c.stopExploring(fmt.Sprintf("the memory limit of %d MiB is reached", c.opt.MemoryLimit>>20))
		return noState, false
	}
	if !isNew {
		return id, true
	}
	w.newStates++
	w.next = append(w.next, item[S]{n.state, id})
	if c.coverer != nil {
		w.covered |= c.coverer.Covered(n.state)
	}
	if c.sizer != nil {
		w.stateBytes += int64(c.sizer.Size(n.state))
	}
	if b := c.m.Violated(n.state); b != 0 {
		for i, name := range c.safety {
			if b>>i&1 == 1 {
				w.violations = append(w.violations, violationRecord{id, n.fp, name, i})
			}
		}
	}
	return id, true
}

func (w *worker[S]) fingerprint(s S) uint64 {
	w.buf = w.c.m.Encode(w.buf[:0], s)
	return xxhash.Sum64(w.buf)
}

// firstViolation selects the violation to report among those found at this depth: the first in the order of the
// properties, and among its states the one with the lowest fingerprint, so that the choice does not depend on the
// timing of the workers.
func (c *checker[S]) firstViolation() *violationRecord {
	var first *violationRecord
	for _, w := range c.workers {
		for i := range w.violations {
			b := &w.violations[i]
			if first == nil || b.order < first.order || b.order == first.order && b.fp < first.fp {
				first = b
			}
		}
	}
	return first
}

// findings fills in the verdicts.
func (c *checker[S]) findings(res *Result[S], livenessDone bool) {
	verdict := func(name string, isLiveness bool) Verdict {
		switch {
		case res.Violation != nil && res.Violation.Property == name:
			return Violated
		case isLiveness && livenessDone && (res.Violation == nil || c.checkedBefore(name, res.Violation.Property)),
			!isLiveness && (res.Complete || livenessDone || c.stopReason == "" && res.Violation == nil):
			return Holds
		}
		return Unknown
	}
	for _, name := range c.safety {
		res.Findings = append(res.Findings, Finding{name, verdict(name, false), false})
	}
	res.Findings = append(res.Findings, Finding{DeadlockFree, verdict(DeadlockFree, false), false})
	for _, name := range c.liveness {
		res.Findings = append(res.Findings, Finding{name, verdict(name, true), true})
	}
}

// checkedBefore reports whether the liveness property name was checked in full before the violation of other was found.
func (c *checker[S]) checkedBefore(name, other string) bool {
	for _, n := range c.liveness {
		switch n {
		case name:
			return true
		case other:
			return false
		}
	}
	return false
}

// trace follows the parents of a state back to an initial state and replays the model along this path. The states of
// the trace are not canonical, so that each gateway keeps its name throughout.
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
		if c.hasFingerprint(s, path[0]) {
			t.States = append(t.States, s)
			break
		}
	}
	c.extendTrace(&t, path[1:])
	return t
}

// extendTrace extends a trace along a path of fingerprints of canonical states.
func (c *checker[S]) extendTrace(t *Trace[S], path []uint64) {
	for _, fp := range path {
		taken := false
		c.m.Steps(t.States[len(t.States)-1], func(step Step, next S) {
			if !taken && c.hasFingerprint(next, fp) {
				taken = true
				t.Steps, t.States = append(t.Steps, step), append(t.States, next)
			}
		})
		if !taken {
			panic("model: a trace cannot be replayed: Steps or Canonical is not a function of the state")
		}
	}
}

func (c *checker[S]) hasFingerprint(s S, fp uint64) bool {
	got := xxhash.Sum64(c.m.Encode(nil, c.m.Canonical(s)))
	return got == fp || got == 0 && fp == 1
}

// fingerprintOf returns the fingerprint of the state with this number. It is a linear search, used only for traces.
func (c *checker[S]) fingerprintOf(id uint32) uint64 {
	t := c.store.shard[id%shardCount].table.Load()
	for i, fp := range t.keys {
		if fp != 0 && t.ids[i] == id {
			return fp
		}
	}
	panic("model: state without a fingerprint")
}
