package rolloutsim

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lichenhitch/internal/choice/rollout"
)

// Limits are those of the simulated rollouts.
func Limits() rollout.Limits {
	l := rollout.Defaults()
	l.Slice, l.WindowSlices, l.BaselineWindows = 15*time.Minute, 2, 28
	l.MaxHold, l.TrialLease, l.Settle, l.MaxStageTime, l.MaxDisrupted = 14*time.Hour, 40*time.Minute, 15*time.Minute, 96*time.Hour, 20
	return l
}

// Options are what one run is about.
type Options struct {
	Seed      uint64
	Regencies int
	Nodes     int
	Noise     Noise
	Limits    rollout.Limits
	Lost      [3]float64 // by class: what the trial loses more, as a part; less than 0: it gains
	Second    bool       // another, harmless rollout begins some hours later
	Deaths    float64    // odds that a leader dies in a step, and that one of a site dies in a slice
	Lossy     float64    // odds that a record is lost on its way, that it is repeated, that an old one comes late
	Seats     int        // 1, 3 or 5; 0: 1
	Plant     string
	Scenario  Scenario
	Longest   time.Duration // of the run
}

// Scenario is a trouble of its own.
type Scenario uint8

// The scenarios.
const (
	Calm      Scenario = iota
	Crashes            // the trial crashes a node every hour; the node tells of no guard
	Guarded            // a rule's guard fires at a treated node in the second stage
	Deaf               // under the trial a node neither hears nor is heard
	Silent             // nobody asks anything from the start of the rollout on
	ZoneLost           // the building of the first treated node loses most of what it is asked, for 8 hours
	Operator           // an operator halts, resumes and forces
	CutHalt            // a treated node is cut off while the rollout is halted
	Worked             // the building of the first treated node is in work all the time
	HaltBelow          // an operator halts at the building of the first treated node; the top hears of it hours later
	Shy                // nobody asks anything of those that the second stage adds, once they have gone over
)

// Outcome is what became of a rollout.
type Outcome struct {
	Phase rollout.Phase
	Cause rollout.Cause
	Stage rollout.Stage
	Hours float64 // from the start to the halt, or to the end
	Why   string
}

func (o Outcome) String() string { return fmt.Sprint(o.Phase, " ", o.Cause, " ", o.Stage, " ", o.Why) }

// book is what a seat replicates: a top, or one with a planted bug.
type book interface {
	Apply(uint64, rollout.Command) []rollout.Effect
	Record(uint64, time.Duration, rollout.Record) []rollout.Effect
	Next(time.Duration, rollout.Limits, rollout.Tree) (rollout.Command, bool)
	SitePolicies(string) rollout.SitePolicies
	Plan() *rollout.Plan
	Encode() []byte
}

const (
	trialText  = `{"permissions":{"max_attempts":2}}`
	secondText = `{"permissions":{"max_attempts":3}}`
	trialID    = "trial"
	secondID   = "second"
)

func hashOf(text string) rollout.Hash {
	p, err := rollout.Parse([]byte(text))
	if err != nil {
		panic(err) // the texts are constants
	}
	return p.Hash()
}

var trialHash = hashOf(trialText)

// node is the side of one node.
type node struct {
	*host
	holder *rollout.NodePolicy
	stored rollout.Stored
	teller *rollout.Reporter
	heard  time.Duration // the top's word that it was answered with last
	starts int           // of its present trial, as the world counts them
	under  rollout.Hash
}

// council is the side of a site: what the top told it, what was halted at it, and the newest word of its nodes that the top
// has not confirmed yet. All of it is replicated, so that it outlives its leader.
type council struct {
	name    string
	cut     bool
	doc     rollout.SitePolicies
	asked   time.Duration // when the top answered it last
	halted  map[string]bool
	waiting map[string]rollout.Record
}

// stray is a record that comes late.
type stray struct {
	due time.Duration
	r   rollout.Record
}

// run is one simulation.
type run struct {
	o       Options
	w       *world
	nodes   []*node
	sites   []*council
	seats   []book
	leader  int
	index   uint64
	now     time.Duration
	slice   time.Duration // when the present one began
	rng     *rand.Rand
	check   *check
	begun   time.Duration
	plant   planted
	strays  []stray
	sent    int // records that came to the top
	err     error
	scripts int // how far the scenario has come
	since   time.Duration
}

// Run takes a trial down the province and returns what became of it. The error is a *Broken where a property does not hold.
func Run(o Options) (Outcome, error) {
	s, err := newRun(o)
	if err != nil {
		return Outcome{}, err
	}
	slice := o.Limits.Slice
	warm := warmUp(o)
	for k := uint64(0); s.now < o.Longest; k++ {
		s.now = time.Duration(k) * slice
		s.slice = s.now
		if s.begun == 0 && s.now >= warm {
			s.begun = s.now
			s.propose(rollout.Command{Start: &rollout.Start{ID: trialID, Policy: []byte(trialText), By: "desk", Why: "fewer attempts"}})
		}
		if o.Second && s.now == warm+3*time.Hour {
			s.propose(rollout.Command{Start: &rollout.Start{ID: secondID, Policy: []byte(secondText), By: "desk", Why: "three"}})
		}
		s.script()
		s.ask()
		s.deliver()
		s.serve(k)
		s.now = time.Duration(k+1) * slice
		for _, n := range s.nodes {
			s.tick(n)
		}
		s.deliver()
		s.lead()
		s.check.slice(s)
		if s.err = errors.Join(s.err, s.check.err()); s.err != nil {
			return s.outcome(), s.err
		}
		if r := s.trial(); r != nil && (r.Phase == rollout.Done || r.Phase == rollout.Halted && s.scripted()) {
			if !o.Second || s.over() {
				break
			}
		}
	}
	return s.outcome(), nil
}

func newRun(o Options) (*run, error) {
	s := &run{o: o, w: newWorld(o.Seed, o.Regencies, o.Nodes, o.Noise, o.Longest), rng: rand.New(rand.NewPCG(o.Seed, 77))}
	if o.Plant != "" {
		i := slices.IndexFunc(plants, func(p planted) bool { return p.name == o.Plant })
		if i < 0 {
			return nil, fmt.Errorf("no bug is named %q", o.Plant)
		}
		s.plant = plants[i]
	}
	for range max(o.Seats, 1) {
		var b book = rollout.NewRootState()
		if s.plant.book != nil {
			b = s.plant.book(rollout.NewRootState())
		}
		s.seats = append(s.seats, b)
	}
	for _, name := range s.w.site {
		s.sites = append(s.sites, &council{name: name, halted: map[string]bool{}, waiting: map[string]rollout.Record{}})
	}
	for _, h := range s.w.hosts {
		n := &node{host: h, stored: rollout.Stored{Good: s.seats[0].Plan().Good()}, teller: rollout.NewReporter(h.name, s.w.site[h.site])}
		n.holder = rollout.NewNodePolicy(n.stored, o.Limits.MaxCrashes, 0, 0)
		s.nodes = append(s.nodes, n)
	}
	s.check = newCheck(s)
	s.lead() // the limits and the tree
	return s, s.err
}

// warmUp is how long nodes are watched before anything begins: a day and some, since nights say little of rare classes.
func warmUp(o Options) time.Duration {
	return time.Duration(o.Limits.BaselineWindows*o.Limits.WindowSlices)*o.Limits.Slice*12/7 + 2*time.Hour
}

// propose brings a command into the log, at all seats.
func (s *run) propose(c rollout.Command) {
	c.At = s.now
	s.index++
	for i, b := range s.seats {
		effects := b.Apply(s.index, c)
		if i == 0 {
			s.check.applied(s, c, effects)
		}
	}
}

// record brings a node's record into the log, at all seats. Some records share an entry.
func (s *run) record(r rollout.Record) {
	if s.sent++; s.sent%4 == 0 {
		s.index++
	}
	for i, b := range s.seats {
		b.Record(s.index, s.now, r)
		if i == 0 {
			s.check.recorded(s, r)
		}
	}
}

func (s *run) trial() *rollout.Rollout { return s.seats[0].Plan().Rollout(trialID) }

// script does what the scenario is about.
func (s *run) script() {
	r := s.trial()
	if r == nil {
		return
	}
	first := s.named(r.Targets[0][0])
	slice := s.o.Limits.Slice
	do := func(step int, when bool, f func()) {
		if s.scripts == step && when {
			s.scripts++
			s.since = s.now
			f()
		}
	}
	switch s.o.Scenario {
	case Silent:
		do(0, true, func() {
			for _, n := range s.nodes {
				n.size = 0
			}
		})
	case Shy:
		do(0, r.Stage == rollout.OneBuilding && len(r.Treated) > 1, func() {
			for _, name := range r.Targets[rollout.OneBuilding] {
				s.named(name).size = 0
			}
		})
	case ZoneLost:
		do(0, r.Phase == rollout.Running && len(r.Treated) > 0, func() {
			s.w.zones[first.site] = append(s.w.zones[first.site], event{s.now + 4*slice, s.now + 8*time.Hour, 0.6})
		})
	case Worked:
		do(0, true, func() {
			s.w.work[first.site] = append(s.w.work[first.site], event{s.now, s.now + 1000*time.Hour, 0.01})
		})
	case CutHalt:
		do(0, r.Stage >= rollout.OneBuilding && len(r.Treated) > 1, func() {
			at := event{from: s.now, to: s.now + 5*time.Hour}
			s.w.cut[first.regency] = append(s.w.cut[first.regency], at)
		})
		do(1, s.now >= s.since+2*slice, func() {
			s.propose(rollout.Command{Halt: &rollout.Halt{ID: trialID, Cause: rollout.Operator, By: "desk", Why: "enough"}})
		})
		do(2, s.now >= s.since+8*time.Hour, func() {})
	case HaltBelow:
		do(0, r.Stage >= rollout.OneBuilding && len(r.Treated) > 1, func() { s.sites[first.site].halted[trialID] = true })
		do(1, s.now >= s.since+8*slice, func() {
			s.propose(rollout.Command{Halt: &rollout.Halt{ID: trialID, Cause: rollout.Operator, By: "desk below", Why: "enough"}})
		})
	case Operator:
		do(0, len(r.Treated) > 0, func() {
			s.propose(rollout.Command{Force: &rollout.OperatorAction{ID: trialID, Stage: r.Stage, By: "desk", Why: "known to be good"}})
		})
		do(1, r.Stage == rollout.OneBuilding && s.now >= s.since+4*slice, func() {
			s.propose(rollout.Command{Halt: &rollout.Halt{ID: trialID, Cause: rollout.Operator, By: "desk", Why: "a doubt"}})
			s.fire(first, "too late") // nobody hears of it before the rollout is resumed
			s.strays = append(s.strays, stray{s.now + 14*slice, first.teller.Newest()})
			first.teller = rollout.NewReporter(first.name, s.w.site[first.site])
		})
		do(2, r.Phase == rollout.Halted && s.now >= s.since+6*slice, func() {
			s.check.resumed = s.now
			s.propose(rollout.Command{Resume: &rollout.OperatorAction{ID: trialID, By: "desk", Why: "the doubt is cleared"}})
		})
		do(3, first.under == trialHash && r.Attempt == 2 && s.now >= s.since+12*slice, func() {
			s.fire(first, "rule")
			s.record(first.teller.Newest())
			s.propose(rollout.Command{Force: &rollout.OperatorAction{ID: trialID, Stage: r.Stage, By: "desk", Why: "in spite of it"}})
		})
	}
}

// scripted says whether nothing more is to come.
func (s *run) scripted() bool {
	last := map[Scenario]int{CutHalt: 3, Operator: 4, HaltBelow: 2}[s.o.Scenario]
	return s.scripts >= last
}

func (s *run) named(name string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })
	return s.nodes[i]
}

func (s *run) over() bool {
	return !slices.ContainsFunc(s.seats[0].Plan().Rollouts(), func(r *rollout.Rollout) bool { return r.Phase.Active() })
}

// busyAt says whether a host of a site is in work in the present slice.
func (s *run) busyAt(site int) bool { return anyAt(s.w.work[site], s.slice) }

// ask lets each site ask the top and each node its site, as the node's lease counts: from when the top answered the site.
func (s *run) ask() {
	for i, c := range s.sites {
		if s.plant.forgetHalts && s.rng.Float64() < s.o.Deaths {
			clear(c.halted)
		}
		if c.cut = anyAt(s.w.cut[s.w.regency[i]], s.now); !c.cut && (c.asked == 0 || s.rng.Float64() >= s.o.Lossy) {
			c.doc, c.asked = s.seats[s.leader].SitePolicies(c.name), s.now
			if s.rng.IntN(256) == 0 {
				if c.doc, s.err = rollout.ParseSitePolicies(c.doc.Bytes()); s.err != nil {
					return
				}
			}
		}
	}
	for _, n := range s.nodes {
		if c := s.sites[n.site]; c.asked > 0 && !s.deaf(n) {
			asked := c.asked
			if n.heard = asked; s.plant.freshWord {
				asked = s.now
			}
			a := c.doc.Assigned(n.name, func(id string) bool { return c.halted[id] })
			n.holder.HandleAssignment(a, asked, func(rollout.Hash) error { return nil })
		}
		if !s.plant.noLapse {
			n.holder.CheckLease(s.now)
		}
		n.stored = n.holder.Stored()
		if p := n.holder.Policy(); p != n.under {
			n.under, n.starts = p, 0
		}
		s.tick(n)
	}
}

func (s *run) deaf(n *node) bool { return s.o.Scenario == Deaf && n.holder.Policy() == trialHash }

// tick is the end of a slice, or the node's look at what it goes by.
func (s *run) tick(n *node) {
	out, work := 0, s.busyAt(n.site)
	if work {
		out = 1
	}
	n.teller.Tick(s.now, s.sites[n.site].doc.Slice, n.holder.Status(n.name), n.holder.Starts(), out, work && !s.plant.deafToWork)
}

// fire lets a guard fire at a node now.
func (s *run) fire(n *node, what string) {
	s.check.fired = s.now
	n.teller.Count(s.now, n.under, nil, []string{what})
}

// deliver takes the records of nodes to their sites and from there to the top: some are lost and come with a later one, some
// come twice, some late.
func (s *run) deliver() {
	odds := func() bool { return s.o.Lossy > 0 && s.rng.Float64() < s.o.Lossy }
	for i, st := range s.strays {
		if s.now >= st.due {
			s.record(st.r)
			s.strays[i].due = 1 << 62
		}
	}
	s.strays = slices.DeleteFunc(s.strays, func(st stray) bool { return st.due == 1<<62 })
	for _, n := range s.nodes {
		c := s.sites[n.site]
		if r := n.teller.Newest(); n.teller.HasPending() && !s.deaf(n) {
			if s.rng.IntN(256) == 0 {
				if r, s.err = rollout.ParseRecord(n.teller.Pending()); s.err != nil {
					return
				}
			}
			n.teller.Acknowledge(r.Sequence)
			if old, there := c.waiting[n.name]; there {
				r = old.Merge(r)
			}
			c.waiting[n.name] = r
		}
		r, there := c.waiting[n.name]
		if !there || c.cut || odds() {
			continue
		}
		s.record(r)
		if odds() {
			s.strays = append(s.strays, stray{s.now + time.Duration(s.rng.IntN(40))*s.o.Limits.Slice, r})
		}
		if !odds() { // or else it is not confirmed, and comes once more
			delete(c.waiting, n.name)
		}
	}
}

// serve lets each node serve for a slice and count.
func (s *run) serve(k uint64) {
	from := time.Duration(k) * s.o.Limits.Slice
	s.now += s.o.Limits.Slice / 2
	for _, n := range s.nodes {
		var more func(int) float64
		if n.under == trialHash {
			more = func(class int) float64 { return s.o.Lost[class] }
		}
		n.teller.Count(s.now, n.under, s.w.counts(n.host, from, more), nil)
		if r := s.trial(); s.o.Scenario == Guarded && n.under == trialHash && r.Stage == rollout.OneBuilding {
			s.fire(n, "drain")
		}
		if n.under == trialHash && s.o.Scenario == Crashes && k%4 == 0 {
			n.starts++
			stored := n.stored
			if s.plant.forgetStarts {
				stored.Starts = 0
			}
			n.holder = rollout.NewNodePolicy(stored, s.o.Limits.MaxCrashes, n.holder.StoredLeaseEnd(), s.now)
			n.stored = n.holder.Stored()
			n.teller = rollout.NewReporter(n.name, s.w.site[n.site])
			s.check.fired = s.now
		}
	}
}

// lead lets the leader propose all that there is to propose. It may die in any step: its proposal is lost, or taken and
// then proposed once more; another seat, now and then one that has just read its snapshot, goes on.
func (s *run) lead() {
	for range 1000 {
		if s.rng.Float64() < s.o.Deaths {
			s.leader = s.rng.IntN(len(s.seats))
			if !bytes.Equal(s.seats[0].Encode(), s.seats[s.leader].Encode()) {
				s.err = &Broken{"seats", "two seats of one log differ"}
				return
			}
			if p, ok := s.seats[s.leader].(*rollout.RootState); ok && s.rng.IntN(4) == 0 {
				again, err := rollout.DecodeRootState(p.Encode())
				if err != nil {
					s.err = err
					return
				}
				s.seats[s.leader] = again
			}
		}
		c, any := s.seats[s.leader].Next(s.now, s.o.Limits, s.w.tree)
		if !any {
			return
		}
		switch dies := s.rng.Float64() < s.o.Deaths; {
		case !dies:
			s.propose(c)
		case s.rng.IntN(2) == 0: // lost
		default:
			s.propose(c)
			s.propose(c)
		}
	}
	s.err = &Broken{"end", "the leader proposes without end"}
}

func (s *run) outcome() Outcome {
	r := s.trial()
	if r == nil {
		return Outcome{}
	}
	o := Outcome{Phase: r.Phase, Cause: r.Cause, Stage: r.Stage, Hours: (s.now - s.begun).Hours()}
	for _, e := range r.Log {
		if r.Cause != rollout.None && e.Event == "halt: "+r.Cause.String() {
			o.Hours, o.Why = (e.At - s.begun).Hours(), e.Why
		}
	}
	return o
}
