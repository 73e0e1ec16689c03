package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// RootState is the state about policies that the consensus group of the root site replicates: the plan, and which parts of
// each node's records have been ingested. It does no I/O and has no clock: the parameter at is the time with which the leader
// stamped a command.
//
//	T1  A slice's evidence and a guard count once, however often and by whichever route their record arrives, and a node's
//	    status is never replaced by an older one.
//	T2  SitePolicies depends only on the state: equal states give equal policies at each replica.
//	T3  Next depends only on the state and its arguments, changes nothing, and terminates: applying what it returns again
//	    and again at one time reaches a state with nothing more to do.
//	T4  The effect of a node's records on the plan does not depend on how many of them were lost before the newest one,
//	    except for slices that no later record contained.
//
// One entry of the Raft log may hold many commands and records (a batch of writes). The plan gets each command under an index
// of its own, entry<<16 | i, where i counts within the entry; rounds are such indices. A record of 56 kB produces about 20
// commands, so that an entry has far fewer than 1<<16.
type RootState struct {
	plan     *Plan
	entry    uint64               // the newest entry of the log
	subIndex uint64               // i of the next command in that entry
	digests  []string             // digests of the commands in that entry
	ingested map[string]*ingested // by node
}

// ingested tracks which parts of a node's records have been ingested.
type ingested struct {
	Sequence     uint64        `json:"told"`            // of the newest record
	At           time.Duration `json:"at"`              // when that record was ingested, by the clock of the consensus group
	NewestSlice  uint64        `json:"slice"`           // the newest slice whose evidence was ingested
	SliceBits    uint64        `json:"heard"`           // one bit per ingested slice, from NewestSlice (lowest bit) backwards
	Status       NodeStatus    `json:"seen"`            // the latest status passed to the plan
	OutOfService int           `json:"out,omitempty"`   // hosts out of service for maintenance at the node's site
	Fired        []FiredGuard  `json:"fired,omitempty"` // the newest maxFired guards that were ingested, sorted
}

const (
	rootHead            = "lichenhitch rollout top 1\n"
	maxPolicyBytes      = 8 << 10            // bytes of one policy's text
	maxPolicyBytesTotal = 2 * maxPolicyBytes // of the good and all active policies, which have to fit into SitePolicies
	maxIDBytes          = 40                 // bytes of a rollout's ID, which is repeated in each group of nodes in SitePolicies
	maxActiveRollouts   = 2                  // a third would have to wait for both
	indexShift          = 16
)

// NewRootState returns an empty state.
func NewRootState() *RootState { return &RootState{plan: NewPlan(), ingested: map[string]*ingested{}} }

// Sites returns the names of the sites in the order of the tree.
func (t *RootState) Sites() (names []string) {
	for _, s := range t.plan.s.Tree.Sites {
		names = append(names, s.Name)
	}
	return names
}

// Plan returns the plan. The caller must not modify it.
func (t *RootState) Plan() *Plan { return t.plan }

// encodedRoot is the encoded form of a RootState.
type encodedRoot struct {
	Index    uint64               `json:"index"`
	SubIndex uint64               `json:"next"`
	Digests  []string             `json:"done"`
	Ingested map[string]*ingested `json:"taken"`
	Plan     *state               `json:"plan"`
}

// Encode returns the canonical encoding: equal states have equal bytes.
func (t *RootState) Encode() []byte {
	return encode(rootHead, &encodedRoot{t.entry, t.subIndex, t.digests, t.ingested, &t.plan.s})
}

// DecodeRootState decodes the output of Encode. An error is a *DecodeError.
func DecodeRootState(raw []byte) (*RootState, error) {
	var s encodedRoot
	if err := decode(rootHead, raw, &s); err != nil {
		return nil, err
	}
	if s.Plan == nil || s.Ingested == nil {
		return nil, &DecodeError{"the plan or the ingested records are missing"}
	}
	if err := s.Plan.check(); err != nil {
		return nil, &DecodeError{err.Error()}
	}
	for name, in := range s.Ingested {
		if in == nil || s.Plan.Nodes[name] == nil {
			return nil, &DecodeError{fmt.Sprintf("the ingested records of %q are empty, or it is not a node", name)}
		}
	}
	return &RootState{&Plan{*s.Plan, newTopology(s.Plan.Tree)}, s.Index, s.SubIndex, s.Digests, s.Ingested}, nil
}

// Clone returns a deep copy.
func (t *RootState) Clone() *RootState {
	return &RootState{t.plan.Clone(), t.entry, t.subIndex, slices.Clone(t.digests), clone(t.ingested)}
}

// Check returns why an operator's command, limits or a tree would be refused now, or nil. It changes nothing.
func (t *RootState) Check(c Command) *Refusal {
	if r := t.plan.Check(c); r != nil {
		return r
	}
	var text []byte
	switch {
	case c.Start != nil && t.plan.Rollout(c.Start.ID) == nil:
		p, _ := Parse(c.Start.Policy) // cannot fail: the plan has checked it
		if text = p.text; len(text) > maxPolicyBytes {
			return &Refusal{fmt.Sprintf("the policy has %d bytes, %d at most", len(text), maxPolicyBytes), "change fewer keys in it"}
		}
		if len(c.Start.ID) > maxIDBytes {
			return &Refusal{fmt.Sprintf("the ID has %d bytes, %d at most", len(c.Start.ID), maxIDBytes), "choose a shorter ID"}
		}
	case c.Resume != nil:
		text = t.plan.s.Texts[t.plan.Rollout(c.Resume.ID).Policy]
	default:
		return nil
	}
	active, total := 0, len(text)+len(t.plan.s.Texts[t.plan.s.Good])
	for _, r := range t.plan.Rollouts() {
		if r.Phase.Active() {
			active++
			total += len(t.plan.s.Texts[r.Policy])
		}
	}
	if active >= maxActiveRollouts {
		return &Refusal{fmt.Sprintf("%d rollouts are active, which is the maximum", active), "wait for the end of one, or halt one"}
	}
	if total > maxPolicyBytesTotal {
		return &Refusal{
			fmt.Sprintf("the good policy and those of the active rollouts have %d bytes, %d at most", total, maxPolicyBytesTotal),
			"wait for the end of one, or change fewer keys in it"}
	}
	return nil
}

// beginEntry reports whether an entry of the log is the newest or a later one, which then becomes the newest.
func (t *RootState) beginEntry(index uint64) bool {
	if index > t.entry {
		t.entry, t.subIndex, t.digests = index, 0, nil
	}
	return index == t.entry
}

// applyToPlan applies a command to the plan under the next index.
func (t *RootState) applyToPlan(c Command) []Effect {
	t.subIndex++
	return t.plan.Apply(t.entry<<indexShift|(t.subIndex-1), c)
}

// Apply applies a command of an entry of the log. An entry earlier than the newest, or a repetition of a command in the same
// entry, has no effect.
func (t *RootState) Apply(index uint64, c Command) []Effect {
	text, err := json.Marshal(&c)
	if err != nil {
		text = []byte(err.Error()) // the command is refused below
	}
	sum := digest(text)
	if !t.beginEntry(index) || slices.Contains(t.digests, sum) {
		return nil
	}
	t.digests = append(t.digests, sum)
	if r := t.Check(c); r != nil {
		return []Effect{{Kind: Refused, ID: c.rolloutID(), Why: r.Why, Err: r}}
	}
	effects := t.applyToPlan(c)
	if c.Tree != nil {
		maps.DeleteFunc(t.ingested, func(name string, _ *ingested) bool { return t.plan.s.Nodes[name] == nil })
	}
	return effects
}

// Record ingests what is new in a node's record. A record of a node that is not in the tree is dropped; a repetition, in
// whatever entry, has no effect.
func (t *RootState) Record(index uint64, at time.Duration, r Record) (effects []Effect) {
	n := t.plan.s.Nodes[r.Node]
	if !t.beginEntry(index) || n == nil {
		return nil
	}
	apply := func(c Command) {
		c.At = at
		effects = append(effects, t.applyToPlan(c)...)
	}
	if stamped := time.Duration(min(r.Sequence, 1<<52)) * time.Microsecond; t.plan.inFuture(t.plan.windowAt(stamped), at) {
		why := "the record of " + r.Node + " has a time in the future"
		return []Effect{{Kind: Refused, Node: r.Node, Why: why, Err: &Refusal{why, "set the node's clock"}}}
	}
	in := t.ingested[r.Node]
	if in == nil {
		in = &ingested{}
		t.ingested[r.Node] = in
	}
	if r.Sequence > in.Sequence {
		in.Sequence, in.At, in.OutOfService = r.Sequence, max(at, t.plan.s.At), r.OutOfService
		if r.Status.Node = r.Node; r.Status != in.Status {
			in.Status = r.Status
			apply(Command{Status: &r.Status})
		}
	}
	for _, f := range r.Fired {
		// A guard of an earlier round says nothing about the present treatment: the earlier one was rolled back.
		if a := t.plan.Assigned(r.Node); in.markGuard(f) && a.Trial && f.Round == a.Round && f.Policy == a.Policy {
			apply(Command{Evidence: &Evidence{Node: r.Node, Policy: f.Policy, Slice: f.Slice, Guards: []string{f.Guard}, Tainted: true}})
		}
	}
	for _, e := range r.Slices {
		if l := t.plan.s.Limits; t.plan.inFuture(e.Slice/uint64(l.WindowSlices), at) || !in.markSlice(e.Slice) {
			continue
		} else if e.Node = r.Node; time.Duration(e.Slice)*l.Slice < n.Changed { // the slice may belong to another treatment
			e.Guards, e.Starts = nil, 0
		}
		apply(Command{Evidence: &e})
	}
	return effects
}

// inFuture reports whether a window lies too far in the future for the plan to accept its evidence.
func (p *Plan) inFuture(number uint64, at time.Duration) bool {
	return number > p.windowAt(max(at, p.s.At))+1
}

// markSlice marks a slice as ingested and reports whether it is new.
func (in *ingested) markSlice(slice uint64) bool {
	if slice > in.NewestSlice {
		in.SliceBits <<= min(slice-in.NewestSlice, 64)
		in.NewestSlice = slice
	}
	bit := uint64(1) << min(in.NewestSlice-slice, 64) // 0: too old for the plan to accept
	if bit == 0 || in.SliceBits&bit != 0 {
		return false
	}
	in.SliceBits |= bit
	return true
}

// markGuard marks a guard as ingested and reports whether it is new. If the list is full, a guard that sorts before all of it
// counts as ingested.
func (in *ingested) markGuard(f FiredGuard) bool {
	i, found := slices.BinarySearchFunc(in.Fired, f, FiredGuard.compare)
	if found || i == 0 && len(in.Fired) == maxFired {
		return false
	}
	in.Fired = slices.Insert(in.Fired, i, f)
	in.Fired = in.Fired[max(0, len(in.Fired)-maxFired):]
	return true
}

// Next returns what the leader has to propose now, if anything, given the limits and the tree of the site file: first these,
// where they differ and are valid; then, while a rollout is active, nodes that have become unreachable or reachable; then
// what the plan proposes.
func (t *RootState) Next(now time.Duration, limits Limits, tree Tree) (Command, bool) {
	return t.NextWithLocalCount(now, limits, tree, "", 0)
}

// NextWithLocalCount is Next for a leader that knows by itself how many hosts of its own site are out of service for
// maintenance.
func (t *RootState) NextWithLocalCount(now time.Duration, limits Limits, tree Tree, site string, localCount int) (Command, bool) {
	p := t.plan
	now = max(now, p.s.At)
	c := Command{At: now}
	if p.active() {
		limits.Slice, limits.WindowSlices = p.s.Limits.Slice, p.s.Limits.WindowSlices // cannot change during a rollout
	}
	if limits != p.s.Limits && p.checkLimits(limits) == nil {
		c.Limits = &limits
		return c, true
	}
	if !tree.same(p.s.Tree) {
		if _, r := tree.nodeNames(); r == nil && !clone(tree).same(p.s.Tree) {
			c.Tree = &tree
			return c, true
		}
	}
	recent := func(in *ingested) bool { return in != nil && now-in.At <= 2*p.s.Limits.Slice+p.s.Limits.Settle }
	outOfService := map[string]int{}
	for _, name := range p.topology.allNodes {
		in, n := t.ingested[name], p.s.Nodes[name]
		if reporting := recent(in); reporting == n.Unreachable && p.active() {
			if n.Unreachable {
				c.Reachable = &NodeName{name}
			} else {
				c.Unreachable = &NodeName{name}
			}
			return c, true
		} else if reporting {
			outOfService[p.topology.site[name]] = max(outOfService[p.topology.site[name]], in.OutOfService)
		}
	}
	total := 0
	if site != "" {
		outOfService[site] = localCount
	}
	for _, n := range outOfService {
		total += n
	}
	return p.Next(now, total)
}

func (t Tree) same(o Tree) bool {
	return slices.EqualFunc(t.Sites, o.Sites, func(a, b Site) bool {
		return a.Name == b.Name && a.Parent == b.Parent && slices.Equal(a.Nodes, b.Nodes)
	})
}
