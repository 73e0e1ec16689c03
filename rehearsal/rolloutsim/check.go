package rolloutsim

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"lichenhitch/internal/choice/rollout"
)

// Broken is a property that does not hold.
type Broken struct{ Property, What string }

func (b *Broken) Error() string { return b.Property + ": " + b.What }

// check watches the first seat's book against what the world knows. It has books of its own of who was treated when.
type check struct {
	s       *run
	broken  []error
	owner   map[string]string         // node: the rollout that has it
	stage   map[string]rollout.Stage  // node: the stage that it went over in
	changed map[string]time.Duration  // node: the last change of its policy
	log     map[string]int            // rollout: entries of its log that were looked at
	phase   map[string]rollout.Phase  // rollout: as it was
	began   map[string]time.Duration  // rollout: its stage
	clean   map[string]map[string]int // rollout: node: spells of this stage with fit evidence of it
	this    map[uint64]map[string]int // spell, while it may be open: node: fit slices
	heard   map[string]*window
	newest  map[string]rollout.Record // of each node, by its number
	out     []time.Duration           // by site: when the top was told last that work is out
	offered map[spoke]float64         // node and spell: of the first class
	local   map[string]time.Duration  // site: since when it has halted the trial
	fired   time.Duration             // when a guard fired last, or a process crashed
	resumed time.Duration             // when the trial was resumed
	last    map[string]time.Duration  // rollout: when evidence of it came last
	want    []rollout.LogEntry        // what operators did
}

// spoke is a node in a spell.
type spoke struct {
	node  string
	spell uint64
}

// window is which slices of a node came: a bit for each of the newest.
type window struct{ newest, bits uint64 }

func (w *window) take(slice uint64) (fresh bool) {
	if slice > w.newest {
		w.bits = w.bits<<(slice-w.newest) | 1
		w.newest = slice
		return true
	}
	bit := uint64(1) << (w.newest - slice)
	fresh = w.bits&bit == 0 && bit > 0
	w.bits |= bit
	return fresh
}

func newCheck(s *run) *check {
	return &check{s: s, owner: map[string]string{}, stage: map[string]rollout.Stage{}, changed: map[string]time.Duration{},
		log: map[string]int{}, phase: map[string]rollout.Phase{}, began: map[string]time.Duration{},
		clean: map[string]map[string]int{}, this: map[uint64]map[string]int{}, last: map[string]time.Duration{},
		heard: map[string]*window{}, newest: map[string]rollout.Record{}, out: make([]time.Duration, len(s.sites)),
		offered: map[spoke]float64{}, local: map[string]time.Duration{}}
}

func (c *check) err() error { return errors.Join(c.broken...) }

func (c *check) say(property, what string, args ...any) {
	if len(c.broken) < 5 {
		c.broken = append(c.broken, &Broken{property, fmt.Sprintf("%v: ", c.s.now) + fmt.Sprintf(what, args...)})
	}
}

// applied looks at what a command did.
func (c *check) applied(s *run, cmd rollout.Command, effects []rollout.Effect) {
	switch {
	case cmd.Treat != nil:
		c.treated(cmd, effects)
	case cmd.Halt != nil && cmd.Halt.Cause == rollout.Operator:
		c.want = append(c.want, rollout.LogEntry{Event: "halt", By: cmd.Halt.By, Why: cmd.Halt.Why})
	case cmd.Force != nil && c.phase[cmd.Force.ID] == rollout.Running:
		c.want = append(c.want, rollout.LogEntry{Event: "force", By: cmd.Force.By, Why: cmd.Force.Why})
	case cmd.Resume != nil:
		c.want = append(c.want, rollout.LogEntry{Event: "resume", By: cmd.Resume.By, Why: cmd.Resume.Why})
	}
	if cmd.Treat == nil {
		c.back(effects)
	}
	c.phases(cmd.Resume != nil)
}

// phases looks at where the rollouts stand.
func (c *check) phases(resumed bool) {
	b := c.s.seats[0]
	for _, r := range b.Plan().Rollouts() {
		c.entries(r)
		was, known := c.phase[r.ID]
		if known && was != r.Phase && r.Phase == rollout.Running && !resumed {
			c.say("P7", "%s runs again though nobody resumed it", r.ID)
		}
		if was != r.Phase && r.Phase == rollout.Halted {
			c.halted(r, b)
		}
		c.phase[r.ID] = r.Phase
	}
}

// treated: P6, one rollout for each node and one budget.
func (c *check) treated(cmd rollout.Command, effects []rollout.Effect) {
	for _, e := range effects {
		if e.Kind != rollout.Assign {
			continue
		}
		if o := c.owner[e.Node]; o != "" {
			c.say("P6", "%s goes over to %s while %s has it", e.Node, cmd.Treat.ID, o)
		}
		c.owner[e.Node], c.stage[e.Node], c.changed[e.Node] = cmd.Treat.ID, cmd.Treat.Stage, c.s.now
	}
	disturbed, l := 0, c.s.o.Limits
	for i, told := range c.out {
		if c.s.busyAt(i) && told > 0 && c.s.now-told <= 2*l.Slice+l.Settle {
			disturbed++
		}
	}
	for _, at := range c.changed {
		if c.s.now-at < c.s.o.Limits.Settle {
			disturbed++
		}
	}
	if len(effects) > 0 && disturbed > c.s.o.Limits.MaxDisrupted {
		c.say("P6", "%d are disturbed, %d may be", disturbed, c.s.o.Limits.MaxDisrupted)
	}
}

// back: P2, the latest stage goes back first, and no earlier one before each of its nodes said that it is back, or is
// away, or must have fallen back by itself.
func (c *check) back(effects []rollout.Effect) {
	gone := map[string]string{}
	for _, e := range effects {
		if e.Kind == rollout.Assign && c.owner[e.Node] != "" {
			gone[e.Node] = c.owner[e.Node]
			c.changed[e.Node] = c.s.now
			c.owner[e.Node] = ""
		}
	}
	for name, id := range gone {
		for other, owner := range c.owner {
			if owner == id && c.stage[other] > c.stage[name] {
				c.say("P2", "%s of stage %d goes back before %s of stage %d", name, c.stage[name], other, c.stage[other])
				return
			}
		}
	}
}

// recorded looks at a record: P2, a guard and a fall halt at once, if they are of the present treatment.
func (c *check) recorded(s *run, r rollout.Record) {
	b := s.seats[0]
	site, now := c.s.named2(r.Node).site, b.Plan().Assigned(r.Node)
	trial := b.Plan().Rollout(trialID)
	goesOn := func(round uint64, policy rollout.Hash) bool {
		return now.Trial && round == now.Round && policy == now.Policy && policy == trialHash && trial.Phase < rollout.Halting
	}
	if r.Sequence > c.newest[r.Node].Sequence {
		c.newest[r.Node] = r
		if r.OutOfService > 0 {
			c.out[site] = s.now
		}
		if r.Status.Fallback > rollout.LeaseExpired && goesOn(r.Status.Round, now.Policy) {
			c.say("P2", "%s fell back by itself (%v) and %s goes on", r.Node, r.Status.Fallback, trial.ID)
		}
	}
	for _, f := range r.Fired {
		if goesOn(f.Round, f.Policy) {
			c.say("P2", "a guard fired at %s and %s goes on", r.Node, trial.ID)
		}
	}
	if c.heard[r.Node] == nil {
		c.heard[r.Node] = &window{}
	}
	for _, e := range r.Slices {
		if c.heard[r.Node].take(e.Slice) {
			c.evidence(e, b)
		}
	}
	if len(r.Fired) > 0 || r.Status.Fallback > rollout.LeaseExpired {
		c.phases(false)
	}
}

// evidence counts what is fit to be judged.
func (c *check) evidence(e rollout.Evidence, b book) {
	n := e.Slice / uint64(c.s.o.Limits.WindowSlices)
	if len(e.Counts) > 0 && c.s.o.Nodes <= most {
		c.offered[spoke{e.Node, n}] += float64(e.Counts[0].Offered)
	}
	if c.this[n] == nil {
		c.this[n] = map[string]int{}
		delete(c.this, n-8)
	}
	h := c.s.named2(e.Node)
	begin := time.Duration(n) * time.Duration(c.s.o.Limits.WindowSlices) * c.s.o.Limits.Slice
	at, changed := c.changed[e.Node]
	work := anyAt(c.s.w.work[h.site], time.Duration(e.Slice)*c.s.o.Limits.Slice)
	l := c.s.o.Limits
	enough := slices.ContainsFunc(e.Counts, func(k rollout.Counts) bool { return k.Offered*uint64(l.WindowSlices) >= l.MinRequests/2 })
	if e.Policy != trialHash || work || !enough || changed && at > begin {
		return
	}
	c.this[n][e.Node]++
	if r := b.Plan().Rollout(trialID); r != nil {
		if c.clean[r.ID] == nil {
			c.clean[r.ID] = map[string]int{}
		}
		c.clean[r.ID][e.Node]++
		c.last[r.ID] = c.s.now
	}
}

func (s *run) named2(name string) *node {
	var i int
	for _, d := range name[len("node-"):] {
		i = 10*i + int(d-'0')
	}
	return s.nodes[i]
}

// entries: P1, P3, P4 and P7, on what a rollout did since the last look.
func (c *check) entries(r *rollout.Rollout) {
	for _, e := range r.Log[min(c.log[r.ID], len(r.Log)):] {
		switch e.Event {
		case "started", "resumed", "ended by force":
			c.stageBegins(r.ID)
		case "ended on evidence":
			c.ended(r, e)
			c.stageBegins(r.ID)
		}
		if e.Event == "halt: regression" && r.ID == trialID && !c.worse(0) {
			c.say("P1", "halted for a regression that there is not: %s", e.Why)
		}
		if e.Event == "halt: guard" && c.fired < c.resumed {
			c.say("P7", "halted by a guard that fired before an operator resumed it: %s", e.Why)
		}
		for i, w := range c.want {
			if len(e.Event) >= 4 && (e.Event[:4] == w.Event[:4] || w.Event == "force" && e.Event == "ended by force" ||
				w.Event == "resume" && e.Event == "resumed") && e.By == w.By && e.Why == w.Why {
				c.want = slices.Delete(c.want, i, i+1)
				break
			}
		}
	}
	c.log[r.ID] = len(r.Log)
	if len(c.want) > 0 && r.ID == trialID {
		c.say("P7", "%s by %s (%s) is not recorded", c.want[0].Event, c.want[0].By, c.want[0].Why)
	}
}

func (c *check) stageBegins(id string) {
	c.began[id], c.last[id] = c.s.now, c.s.now
	c.clean[id] = map[string]int{}
	l := c.s.o.Limits
	for n, nodes := range c.this { // spells that are open count in the new stage
		if id == trialID && n >= uint64((c.s.now-l.Slice)/(l.Slice*time.Duration(l.WindowSlices))) {
			for name, fit := range nodes {
				c.clean[id][name] += fit
			}
		}
	}
}

// worse says whether a class of the trial loses more than so much.
func (c *check) worse(than float64) bool {
	return slices.ContainsFunc(c.s.o.Lost[:], func(l float64) bool { return l > than })
}

// ended: a stage may end only on evidence, of each class, and of the nodes that it treats.
func (c *check) ended(r *rollout.Rollout, e rollout.LogEntry) {
	if r.ID != trialID {
		return
	}
	const fewest = 5 // spells: what wealth of 20 takes at 1.9 a spell, less rounding
	l := c.s.o.Limits
	if c.s.now-c.began[r.ID] < fewest*time.Duration(l.WindowSlices)*l.Slice {
		c.say("P1", "stage %d ends after %v", e.Stage, c.s.now-c.began[r.ID])
	}
	if c.s.o.Scenario == Deaf {
		c.say("P3", "stage %d ends, and none of the treated can be heard", e.Stage)
	}
	want, spoke := 0, 0 // of all so far, and then of those that the stage adds
	for stage, names := range r.Targets[:e.Stage+1] {
		added, heard := 0, 0
		for _, name := range names {
			if o := c.owner[name]; o == "" || o == r.ID {
				added++
				if c.clean[r.ID][name] > 0 {
					heard++
				}
			}
		}
		want, spoke = want+added, spoke+heard
		if rollout.Stage(stage) == e.Stage && float64(heard) < l.Coverage*float64(added) {
			c.say("P3", "stage %d ends, and of %d nodes that it adds %d have spoken", e.Stage, added, heard)
		}
	}
	if float64(spoke) < l.Coverage*float64(want) {
		c.say("P3", "stage %d ends, and of %d nodes %d have spoken", e.Stage, want, spoke)
	}
	if c.worse(0.1) {
		gains := slices.ContainsFunc(c.s.o.Lost[:], func(l float64) bool { return l < 0 })
		c.say(map[bool]string{false: "P1", true: "P4"}[gains], "stage %d ends though a class lost %v", e.Stage, c.s.o.Lost)
	}
}

// halted: P2, every node is on the good policy, whoever is away too, once it is heard.
func (c *check) halted(r *rollout.Rollout, b book) {
	for _, n := range c.s.nodes {
		if a := b.SitePolicies(c.s.w.site[n.site]).Assigned(n.name, nil); a.Policy == r.Policy {
			c.say("P2", "%s is halted, and %s is to go by its policy", r.ID, n.name)
			return
		}
	}
	for _, n := range c.s.nodes {
		if n.under == r.Policy && n.heard > c.changed[n.name] {
			c.say("P2", "%s is halted, and %s goes by its policy", r.ID, n.name)
			return
		}
	}
}

// slice looks at the nodes and at the holds once a slice is over.
func (c *check) slice(s *run) {
	l := s.o.Limits
	for _, n := range s.nodes {
		if n.under != trialHash {
			continue
		}
		if n.starts >= l.MaxCrashes && n.holder.Policy() == trialHash {
			c.say("P5", "%s was started %d times under the trial and stays", n.name, n.starts)
		}
		if s.now-n.heard > l.TrialLease+2*l.Slice {
			c.say("P5", "%s has heard nothing since %v and goes by the trial", n.name, n.heard)
		}
	}
	for _, site := range s.sites {
		if !site.halted[trialID] && c.local[site.name] == 0 {
			continue
		} else if c.local[site.name] == 0 {
			c.local[site.name] = s.now
		}
		for _, n := range s.nodes {
			if s.sites[n.site] == site && n.under == trialHash && s.now > c.local[site.name] {
				c.say("P7", "%s has halted the trial, and %s goes by it", site.name, n.name)
			}
		}
	}
	c.once(s)
	r := s.trial()
	if r == nil {
		return
	}
	if r.Phase == rollout.Running {
		if idle := s.now - c.last[trialID]; idle > l.MaxHold+4*time.Hour {
			c.say("P3", "no evidence for %v, and it goes on", idle)
		}
		for _, name := range r.Observed {
			if c.clean[trialID][name] == 0 {
				c.say("P6", "%s counts, whose zone is in work", name)
				break
			}
		}
	}
}

// most is how many nodes a province has whose state is looked at.
const most = 50

// once: T1, on the state itself, now and then in small provinces.
func (c *check) once(s *run) {
	if s.o.Nodes > most || uint64(s.now/s.o.Limits.Slice)%13 != 0 {
		return
	}
	text := s.seats[0].Encode()
	var state struct {
		Taken map[string]struct{ Seen rollout.NodeStatus }
		Plan  struct {
			Open []struct {
				Number uint64
				Nodes  map[string]struct {
					Sums map[string]struct{ Offered float64 }
				}
			}
		}
	}
	from, to := bytes.IndexByte(text, '{'), bytes.LastIndexByte(text, '}')
	if err := json.Unmarshal(text[from:to+1], &state); err != nil {
		c.say("T1", "%v", err)
	}
	for name, k := range state.Taken {
		if k.Seen != c.newest[name].Status {
			c.say("T1", "%s said %+v, and %+v is taken", name, c.newest[name].Status, k.Seen)
		}
	}
	for _, sp := range state.Plan.Open {
		for name, said := range sp.Nodes {
			if got, want := said.Sums[classes[0].name+"\x1f"].Offered, c.offered[spoke{name, sp.Number}]; got > want {
				c.say("T1", "%s was asked %v in spell %d, and %v is taken", name, want, sp.Number, got)
			}
		}
	}
}
