package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// window is an observation window: the evidence of several consecutive time slices, evaluated together.
type window struct {
	Number       uint64            `json:"number"`
	Nodes        map[string]*tally `json:"nodes"`
	TaintedZones []string          `json:"spoil"` // zones with a host in maintenance at any time during the window, sorted
}

// tally is the sum of what one node reported for a window.
type tally struct {
	Policy    Hash                  `json:"policy"`
	SliceBits uint64                `json:"slices"`          // one bit for each time slice whose evidence has been added
	Unusable  bool                  `json:"unfit,omitempty"` // tainted, inconsistent, or more than one policy in the window
	Sums      map[string]*classSums `json:"sums"`            // by class and tenant
}

type classSums struct {
	Offered float64 `json:"offered"`
	Served  float64 `json:"served"`
	Broken  float64 `json:"broken"`
	SetUps  float64 `json:"set_ups"`
	Slow    float64 `json:"slow"`
}

// slowThreshold is the set-up time of a class above which a connection counts as slow: the 95th percentile of all set-ups on
// the good policy, computed once enough of them were observed.
type slowThreshold struct {
	Seconds float64 `json:"at"` // 0: not computed yet
	Sketch  []byte  `json:"sketch,omitempty"`
}

// typicalValue holds what is typical in a cell for nodes on the good policy.
type typicalValue struct {
	Level baseline `json:"level"` // of the median over the nodes in each window
	Scale float64  `json:"scale"` // median distance of a node from its baseline, exponentially weighted
}

func (u *typicalValue) level() float64 {
	if u == nil {
		return 0
	}
	return u.Level.Median
}

func (u *typicalValue) scale() float64 {
	if u == nil {
		return 0
	}
	return u.Scale
}

// sep separates the parts of a cell's key. Operators choose the names of classes and tenants and never use it; evidence with a
// name that contains it is rejected.
const sep = "\x1f"

func cellName(key string) string { return strings.ReplaceAll(strings.TrimPrefix(key, sep), sep, " ") }

const (
	maxControls    = 16      // control nodes that one treated node is compared with in a window
	maxOpenWindows = 4       // windows open at the same time
	baselineSize   = 48      // windows in a node's baseline, unless Limits.BaselineWindows is larger
	scaleWeight    = 1.0 / 8 // weight of one window in the scale; a power of two
	scaleFactor    = 3       // a scale is this multiple of the median distance from typical, about two standard deviations
)

// addEvidence adds what a node counted in one time slice. A guard that fired on a trial halts the rollout at once.
func (t *transition) addEvidence(e Evidence) {
	n := t.s.Nodes[e.Node]
	if n == nil {
		t.refuse("", "evidence from an unknown node: "+e.Node, "name the node in the site file")
		return
	}
	for _, r := range t.s.Rollouts {
		if r.Policy != e.Policy || r.Phase != Running && r.Phase != Completing {
			continue
		}
		if len(e.Guards) > 0 {
			t.halt(r, Guard, "", strings.ToValidUTF8(e.Node+": "+strings.Join(e.Guards, ", "), "?"))
		} else if e.Starts >= t.s.Limits.MaxCrashes {
			t.halt(r, Guard, "", fmt.Sprintf("%s: %d starts", e.Node, e.Starts))
		}
	}
	if len(e.Guards) > 0 && len(e.Counts) == 0 {
		return // only a guard: the counts of its time slice are reported separately
	}
	number := e.Slice / uint64(t.s.Limits.WindowSlices)
	if number < t.s.NextWindow {
		return // too late: the window has been evaluated
	}
	if number > t.windowAt(t.at)+1 {
		t.refuse("", "evidence from "+e.Node+" has a time in the future", "set the node's clock")
		return
	}
	tally := t.openWindow(number).tally(e)
	bit := uint64(1) << (e.Slice % uint64(t.s.Limits.WindowSlices))
	if tally == nil || tally.SliceBits&bit != 0 {
		return // duplicate
	}
	tally.SliceBits |= bit
	tally.Unusable = tally.Unusable || e.Tainted || e.Policy != tally.Policy
	for _, c := range e.Counts {
		if strings.Contains(c.Class+c.Tenant, sep) || !utf8.ValidString(c.Class+c.Tenant) || c.Served > c.Offered || c.Class == "" {
			tally.Unusable = true
			continue
		}
		key := c.Class + sep + c.Tenant
		if tally.Sums[key] == nil {
			tally.Sums[key] = &classSums{}
		}
		s := tally.Sums[key]
		s.Offered += float64(c.Offered)
		s.Served += float64(c.Served)
		s.Broken += float64(min(c.Breaks, c.Served))
		if len(c.SetUp) > 0 {
			t.addSetUps(tally, s, c)
		}
	}
}

// addSetUps counts the set-up times of a class, or collects them until the slow threshold can be computed.
func (t *transition) addSetUps(tally *tally, s *classSums, c Counts) {
	h, err := decodeSetUps(c.SetUp)
	if err != nil {
		tally.Unusable = true
		return
	}
	e := t.s.SlowThresholds[c.Class]
	if e == nil {
		e = &slowThreshold{}
		t.s.SlowThresholds[c.Class] = e
	}
	if e.Seconds > 0 {
		all, slow := h.countSlow(e.Seconds)
		s.SetUps += all
		s.Slow += slow
		return
	}
	if tally.Policy != t.s.Good {
		return
	}
	if len(e.Sketch) > 0 {
		before, err := decodeSetUps(e.Sketch)
		if err != nil || h.sketch.MergeWith(before.sketch) != nil {
			tally.Unusable = true
			return
		}
	}
	if at, err := h.sketch.GetValueAtQuantile(slowQuantile); err == nil && h.sketch.GetCount() >= minSetUps {
		e.Seconds, e.Sketch = max(at, 1e-6), nil
	} else {
		e.Sketch = h.Bytes()
	}
}

// openWindow returns the window with the given number. If needed it opens it, and drops the oldest window when more than
// maxOpenWindows are open; it returns nil if the dropped one is the requested one.
func (t *transition) openWindow(number uint64) *window {
	i, found := slices.BinarySearchFunc(t.s.OpenWindows, number, func(s *window, n uint64) int { return cmp.Compare(s.Number, n) })
	if !found {
		t.s.OpenWindows = slices.Insert(t.s.OpenWindows, i, &window{number, map[string]*tally{}, t.taintedZones(number)})
		if len(t.s.OpenWindows) > maxOpenWindows {
			t.s.OpenWindows = slices.Delete(t.s.OpenWindows, 0, 1)
			if i--; i < 0 {
				return nil
			}
		}
	}
	return t.s.OpenWindows[i]
}

// taintedZones returns the zones that have had a host in maintenance since the start of a window, as far as known.
func (p *Plan) taintedZones(number uint64) []string {
	begin := time.Duration(number) * p.s.Limits.Slice * time.Duration(p.s.Limits.WindowSlices)
	zones := slices.Clone(p.s.MaintenanceZones)
	for z, ended := range p.s.MaintenanceEnded {
		if ended > begin {
			zones = append(zones, z)
		}
	}
	return merged(nil, zones)
}

func (s *window) tally(e Evidence) *tally {
	if s == nil {
		return nil
	}
	if s.Nodes[e.Node] == nil {
		s.Nodes[e.Node] = &tally{Policy: e.Policy, Sums: map[string]*classSums{}}
	}
	return s.Nodes[e.Node]
}

// usableTally returns a node's tally if it is valid evidence on a policy: the node applied that policy during the whole
// window, no host of its zone was in maintenance, and its last change of policy had settled before the window began. It
// returns nil otherwise.
func (p *Plan) usableTally(w *window, name string, policy Hash) *tally {
	n, t := p.s.Nodes[name], w.Nodes[name]
	if n == nil || t == nil || t.Unusable || t.Policy != policy {
		return nil
	}
	begin := time.Duration(w.Number) * p.s.Limits.Slice * time.Duration(p.s.Limits.WindowSlices)
	_, tainted := slices.BinarySearch(w.TaintedZones, p.topology.zone[name])
	if tainted || n.Changed > 0 && n.Changed+p.s.Limits.Settle > begin {
		return nil
	}
	return t
}

// value returns a tally's value for a cell, from 0 to 1, and the number of requests or connections behind it.
func (ta *tally) value(cell string) (v, count float64) {
	i := strings.LastIndex(cell, sep)
	s := ta.Sums[cell[:max(i, 0)]]
	if s == nil {
		return 0, 0
	}
	switch cell[i+len(sep):] {
	case metricLost:
		return ratio(s.Offered-s.Served, s.Offered), s.Offered
	case metricSlow:
		return ratio(s.Slow, s.SetUps), s.SetUps
	}
	return ratio(s.Broken, s.Served), s.Served
}

func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

// cells returns the keys of the cells that a tally has data for, sorted.
func (ta *tally) cells() (list []string) {
	for _, key := range slices.Sorted(maps.Keys(ta.Sums)) {
		list = append(list, key+sep+metricBroken, key+sep+metricLost)
		if ta.Sums[key].SetUps > 0 {
			list = append(list, key+sep+metricSlow)
		}
	}
	return list
}

func (p *Plan) margin(cell string) float64 {
	if strings.HasSuffix(cell, sep+metricSlow) {
		return p.s.Limits.SlowMargin
	}
	return p.s.Limits.Margin
}

// excess returns how far a node's value of a cell exceeds its own baseline. It returns false if there were too few requests
// or too few baseline windows.
func (p *Plan) excess(t *tally, name, cell string) (float64, bool) {
	v, count := t.value(cell)
	b := p.s.Nodes[name].Baselines[cell]
	if count < float64(p.s.Limits.MinRequests) || b == nil || b.Windows < p.s.Limits.BaselineWindows {
		return 0, false
	}
	return v - b.Median - p.s.Typical[cell].level(), true
}

// closeWindows closes windows up to a number. Each is evaluated once, in order; afterwards it is dropped.
func (t *transition) closeWindows(number uint64) {
	if number < t.s.NextWindow || number > t.windowAt(t.at) {
		return
	}
	for len(t.s.OpenWindows) > 0 && t.s.OpenWindows[0].Number < number {
		t.evaluate(t.s.OpenWindows[0])
		t.s.OpenWindows = t.s.OpenWindows[1:]
	}
	if len(t.s.OpenWindows) > 0 && t.s.OpenWindows[0].Number == number {
		t.evaluate(t.s.OpenWindows[0])
		t.s.OpenWindows = t.s.OpenWindows[1:]
	} else {
		t.evaluate(&window{Number: number})
	}
	t.s.NextWindow = number + 1
}

func (t *transition) evaluate(w *window) {
	for _, r := range t.s.Rollouts {
		if r.Phase == Running || r.Phase == Completing {
			t.updateTests(r, w)
		}
	}
	t.updateBaselines(w)
}

// updateTests updates the tests of a rollout with the evidence of a window.
func (t *transition) updateTests(r *Rollout, w *window) {
	pairs, observed := map[string][]pair{}, map[string]bool{}
	for _, tr := range r.Treated {
		tally := t.usableTally(w, tr.Node, r.Policy)
		if tally == nil || t.s.Nodes[tr.Node].Rollout != r.ID {
			continue
		}
		for _, cell := range tally.cells() {
			x, ok := t.excess(tally, tr.Node, cell)
			if !ok {
				continue
			}
			controls := t.controlExcesses(w, tr.Node, cell)
			for _, y := range controls {
				pairs[cell] = append(pairs[cell], pair{x, y, 1 / float64(len(controls))})
			}
			observed[tr.Node] = observed[tr.Node] || len(controls) > 0
		}
	}
	for _, cell := range slices.Sorted(maps.Keys(pairs)) {
		m := t.margin(cell)
		inferior, nonInferior, informative := payoffs(pairs[cell], m, max(scaleFactor*t.s.Typical[cell].scale(), minScale))
		if !informative {
			continue // both treated and control nodes were in trouble
		}
		i := slices.IndexFunc(r.Cells, func(c Cell) bool { return c.Key == cell })
		if i < 0 {
			i = len(r.Cells)
			r.Cells = append(r.Cells, Cell{Key: cell})
		}
		c := &r.Cells[i]
		c.Inferior.Update(inferior)
		c.NonInferior.Update(nonInferior)
		c.LastWindow, c.LastPayoff = w.Number, inferior
	}
	r.Observed = merged(r.Observed, slices.Sorted(maps.Keys(observed)))
	if r.Missing = t.missingEvidence(r, w.Number); r.Missing == "" {
		r.HeldSince = t.at
	}
}

// controlExcesses returns the excesses of control nodes similar to a treated one: from its building and zone or, if there
// are none, from its building, its regency, or anywhere. Nodes that are treated by any rollout are not control nodes.
func (p *Plan) controlExcesses(w *window, name, cell string) (list []float64) {
	for _, level := range p.topology.nearest(name) {
		for _, other := range level {
			if n := p.s.Nodes[other]; other == name || n == nil || n.Rollout != "" {
				continue
			}
			if t := p.usableTally(w, other, p.s.Good); t != nil {
				if y, ok := p.excess(t, other, cell); ok {
					list = append(list, y)
				}
			}
			if len(list) == maxControls {
				return list
			}
		}
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// requiredCells returns the cells without which a stage does not end, sorted: those in which at least one of the treated
// nodes has enough requests in a typical window.
func (p *Plan) requiredCells(r *Rollout) []string {
	required := map[string]bool{}
	for _, tr := range r.Treated {
		if n := p.s.Nodes[tr.Node]; n != nil && !tr.RolledBack {
			for cell, b := range n.Baselines {
				if b.MeanRequests >= float64(p.s.Limits.MinRequests) {
					required[cell] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(required))
}

// missingEvidence returns what evidence a stage lacks, or "" if it is complete. Missing evidence is never taken as proof of
// health.
func (p *Plan) missingEvidence(r *Rollout, now uint64) string {
	required := p.requiredCells(r)
	if len(required) == 0 {
		return "no class of the treated has enough requests"
	}
	for _, cell := range required {
		i := slices.IndexFunc(r.Cells, func(c Cell) bool { return c.Key == cell })
		if i < 0 || r.Cells[i].Inferior.Windows == 0 || r.Cells[i].LastWindow != now {
			return "nothing to compare in the last spell: " + cellName(cell)
		}
	}
	var all, added coverage // added: of the nodes that this stage adds; without it, a stage could end on evidence of earlier ones
	observedRegencies := map[string]bool{}
	for _, names := range r.Targets[:r.Stage+1] {
		added = coverage{}
		for _, name := range names {
			n := p.s.Nodes[name]
			if n == nil || n.Rollout != "" && n.Rollout != r.ID {
				continue
			}
			_, ok := slices.BinarySearch(r.Observed, name)
			all.add(ok)
			added.add(ok)
			regency := p.topology.regency[name]
			observedRegencies[regency] = observedRegencies[regency] || ok
		}
	}
	for _, regency := range slices.Sorted(maps.Keys(observedRegencies)) {
		if !observedRegencies[regency] {
			return "no node has spoken of " + regency
		}
	}
	if !all.reaches(p.s.Limits.Coverage) {
		return all.String()
	}
	if !added.reaches(p.s.Limits.Coverage) {
		return "of those that this stage adds, " + added.String()
	}
	return ""
}

// coverage counts how many of a set of nodes have given usable evidence.
type coverage struct{ expected, observed int }

func (h *coverage) add(observed bool) {
	h.expected++
	if observed {
		h.observed++
	}
}

func (h coverage) reaches(fraction float64) bool {
	return float64(h.observed) >= float64(float64(h.expected)*fraction)
}

func (h coverage) String() string {
	return fmt.Sprintf("%d of %d nodes have spoken", h.observed, h.expected)
}

// proven reports whether a stage may end: no evidence is missing, and for each class with enough requests separately the
// treated nodes are shown not to be worse by the margin. The stage before the last ends only once all older rollouts have ended.
func (p *Plan) proven(r *Rollout) bool {
	if r.Phase != Running || r.Missing != "" {
		return false
	}
	if cause, _ := p.haltCause(r, p.s.At); cause != None {
		return false
	}
	for _, cell := range p.requiredCells(r) {
		i := slices.IndexFunc(r.Cells, func(c Cell) bool { return c.Key == cell })
		if i < 0 || !r.Cells[i].NonInferior.Rejects(p.s.Limits.Beta) {
			return false
		}
	}
	if r.Stage == PartOfProvince {
		for _, o := range p.s.Rollouts {
			if o == r {
				break
			}
			if o.Phase.Active() {
				return false
			}
		}
	}
	return true
}

// add adds the value of a window to a baseline and keeps the newest size values.
func (b *baseline) add(v float64, size int) {
	b.Recent = append(b.Recent, v)
	if len(b.Recent) > size {
		b.Recent = slices.Delete(b.Recent, 0, len(b.Recent)-size)
	}
	b.Windows = len(b.Recent)
	b.Median = median(slices.Clone(b.Recent))
}

// updateBaselines adds a window to the baselines of nodes on the good policy and to the typical values of each cell. A
// baseline is relative to the median of all control nodes in the same window, so that drift during a day does not enter
// it. While a rollout treats any node, baselines that are complete stay frozen.
func (t *transition) updateBaselines(w *window) {
	frozen := slices.ContainsFunc(t.s.Rollouts, func(r *Rollout) bool { return r.Phase.Active() && len(r.Treated) > 0 })
	minRequests := float64(t.s.Limits.MinRequests)
	values, names := map[string][]float64{}, []string{}
	for _, name := range slices.Sorted(maps.Keys(w.Nodes)) {
		tally := t.usableTally(w, name, t.s.Good)
		if tally == nil || t.s.Nodes[name].Rollout != "" {
			continue
		}
		names = append(names, name)
		for _, cell := range tally.cells() {
			if v, count := tally.value(cell); count >= minRequests {
				values[cell] = append(values[cell], v)
			}
		}
	}
	distances := map[string][]float64{}
	for _, name := range names {
		tally, baselines := w.Nodes[name], t.s.Nodes[name].Baselines
		for _, cell := range merged(tally.cells(), slices.Collect(maps.Keys(baselines))) { // MeanRequests of cells without requests decays
			v, count := tally.value(cell)
			b := baselines[cell]
			if b == nil {
				b = &baseline{}
				baselines[cell] = b
			}
			offset := 0.0
			if count >= minRequests {
				offset = v - median(values[cell])
				if b.Windows >= min(t.s.Limits.BaselineWindows, 4) {
					distances[cell] = append(distances[cell], max(offset-b.Median, b.Median-offset))
				}
			}
			if frozen && b.Windows >= t.s.Limits.BaselineWindows {
				continue
			}
			if count >= minRequests {
				b.add(offset, max(baselineSize, t.s.Limits.BaselineWindows))
			}
			if b.MeanRequests == 0 {
				b.MeanRequests = count
			}
			b.MeanRequests += (count - b.MeanRequests) / float64(b.Windows+1)
			if b.MeanRequests < 1 {
				delete(baselines, cell)
			}
		}
	}
	for _, cell := range slices.Sorted(maps.Keys(values)) {
		u := t.s.Typical[cell]
		if u == nil {
			u = &typicalValue{}
			t.s.Typical[cell] = u
		}
		if !frozen {
			u.Level.add(median(values[cell]), baselineSize)
		}
		if len(distances[cell]) > 0 {
			u.Scale += (median(distances[cell]) - u.Scale) * scaleWeight
		}
	}
}

// median sorts a list and returns its median.
func median(list []float64) float64 {
	slices.Sort(list)
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

// merged returns the sorted union of two lists without duplicates.
func merged(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}
