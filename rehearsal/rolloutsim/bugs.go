package rolloutsim

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"lichenhitch/internal/choice/rollout"
)

// injectedBug is a bug in a simulation: it changes the input, the output or the state of the root, or the behavior of
// a site or node. The program has none of them. scenario sets the conditions that the bug needs to show.
type injectedBug struct {
	name, about     string
	violates        string // the property
	scenario        func(*Options)
	newReplica      func(*rollout.RootState) rootReplica
	hideMaintenance bool
	noLeaseExpiry   bool
	forgetStarts    bool
	alwaysFresh     bool // a site answers its nodes as if the root had answered it just now
	forgetHalts     bool // a site's new leader does not know what was halted at the site
}

// BugInfo describes an injected bug.
type BugInfo struct{ Name, About, Violates string }

// InjectedBugs lists the available bugs.
func InjectedBugs() (list []BugInfo) {
	for _, p := range injectedBugs {
		list = append(list, BugInfo{p.name, p.about, p.violates})
	}
	return list
}

// SmallOptions returns the options of a small province without noise, with the scenario that the named bug needs, if
// a bug is named.
func SmallOptions(bug string) Options {
	o := Options{Seed: 5, Regencies: 4, Nodes: 24, Limits: Limits(), MaxDuration: 200 * time.Hour, Replicas: 3}
	o.Limits.MaxDisrupted = 4
	for _, p := range injectedBugs {
		if p.name == bug && p.scenario != nil {
			p.scenario(&o)
		}
	}
	return o
}

// buggyRoot is the state of the root site with a bug. Each hook may be nil.
type buggyRoot struct {
	*rollout.RootState
	onCommand      func(*rollout.Command)                      // changes a command, or a part of a record in the form of a command
	onRecord       func(*rollout.Record)                       // changes a record
	onState        func(c rollout.Command, text string) string // changes the encoded state after a command
	onSitePolicies func(*rollout.SitePolicies)                 // changes the policies sent to a site
	onEffects      func(rollout.Command, []rollout.Effect)     // observes the effects of a command
	onLimits       func(*rollout.Limits)                       // changes the limits of the site file
}

func (w *buggyRoot) Apply(index uint64, c rollout.Command) []rollout.Effect {
	if w.onCommand != nil {
		w.onCommand(&c)
	}
	effects := w.RootState.Apply(index, c)
	if w.onEffects != nil {
		w.onEffects(c, effects)
	}
	if w.onState != nil {
		before := string(w.Encode())
		if after := w.onState(c, before); after != before {
			t, err := rollout.DecodeRootState([]byte(after))
			if err != nil {
				panic(fmt.Sprint("the injected bug changes the state to an invalid one: ", err))
			}
			w.RootState = t
		}
	}
	return effects
}

func (w *buggyRoot) Record(index uint64, at time.Duration, r rollout.Record) []rollout.Effect {
	if w.onRecord != nil {
		w.onRecord(&r)
	}
	if w.onCommand != nil {
		c := rollout.Command{Status: &r.Status}
		w.onCommand(&c)
		r.Status = *c.Status
		old := r
		r.Fired, r.Slices = nil, nil
		for _, f := range old.Fired {
			c := rollout.Command{Evidence: &rollout.Evidence{Guards: []string{f.Guard}}}
			if w.onCommand(&c); c.Evidence != nil && len(c.Evidence.Guards) > 0 {
				r.Fired = append(r.Fired, f)
			}
		}
		for _, e := range old.Slices {
			c := rollout.Command{Evidence: &e}
			if w.onCommand(&c); c.Evidence != nil {
				r.Slices = append(r.Slices, *c.Evidence)
			}
		}
	}
	return w.RootState.Record(index, at, r)
}

func (w *buggyRoot) SitePolicies(site string) rollout.SitePolicies {
	d := w.RootState.SitePolicies(site)
	if w.onSitePolicies != nil {
		w.onSitePolicies(&d)
	}
	return d
}

func (w *buggyRoot) Next(now time.Duration, l rollout.Limits, tree rollout.Tree) (rollout.Command, bool) {
	if w.onLimits != nil {
		w.onLimits(&l)
	}
	return w.RootState.Next(now, l, tree)
}

// changeCommands returns a root that changes commands before they are applied.
func changeCommands(f func(*rollout.Command)) func(*rollout.RootState) rootReplica {
	return func(p *rollout.RootState) rootReplica { return &buggyRoot{RootState: p, onCommand: f} }
}

// changeState returns a root that changes the encoded state after each command selected by when.
func changeState(when func(rollout.Command) bool, change func(c rollout.Command, text string) string) func(*rollout.RootState) rootReplica {
	return func(p *rollout.RootState) rootReplica {
		return &buggyRoot{RootState: p, onState: func(c rollout.Command, text string) string {
			if !when(c) {
				return text
			}
			return change(c, text)
		}}
	}
}

// changeRecords returns a root that changes records before they are applied.
func changeRecords(f func(*rollout.Record)) func(*rollout.RootState) rootReplica {
	return func(p *rollout.RootState) rootReplica { return &buggyRoot{RootState: p, onRecord: f} }
}

func isClose(c rollout.Command) bool { return c.Close != nil }

func dropGuards(c *rollout.Command) {
	if c.Evidence != nil {
		e := *c.Evidence
		e.Guards, e.Starts = nil, 0
		c.Evidence = &e
	}
}

// changeLimits returns a root that applies changed limits.
func changeLimits(f func(*rollout.Limits)) func(*rollout.RootState) rootReplica {
	return func(p *rollout.RootState) rootReplica { return &buggyRoot{RootState: p, onLimits: f} }
}

func withScenario(s Scenario) func(*Options) { return func(o *Options) { o.Scenario = s } }

func withExtraLoss(lost ...float64) func(*Options) {
	return func(o *Options) { copy(o.ExtraLoss[:], lost) }
}

var (
	missingField    = regexp.MustCompile(`"missing":"[^"]*"`)
	missingOfAdded  = regexp.MustCompile(`"missing":"of those that[^"]*"`)
	heldField       = regexp.MustCompile(`"held":\d+`)
	fineField       = regexp.MustCompile(`"fine":\{"wealth":[^,]*,"best":[^,]*`)
	fineFieldWon    = regexp.MustCompile(`"fine":\{"wealth":[^,]*,"best":(\d{2,}|[2-9]\d\.\d|\d{3,}\.)`)
	treatedField    = regexp.MustCompile(`("node":"[^"]*","stage":)(\d)`)
	trialOwnerField = regexp.MustCompile(`"trial":"trial"`)
	reasonFields    = regexp.MustCompile(`,"by":"desk","why":"known to be good"`)
	sliceBitsField  = regexp.MustCompile(`"(slices|heard)":\d+`)
	endedPhaseField = regexp.MustCompile(`("policy":"[0-9a-f]*","phase":)[23]`)
)

var injectedBugs = []injectedBug{
	{name: "guard-lost", about: "evidence loses its guards in transit", violates: "P2",
		scenario: withScenario(Guarded), newReplica: changeCommands(dropGuards)},
	{name: "guard-thrice", about: "a guard halts only when it has fired three times", violates: "P2", scenario: withScenario(Guarded),
		newReplica: func(p *rollout.RootState) rootReplica {
			fired := 0
			return &buggyRoot{RootState: p, onCommand: func(c *rollout.Command) {
				if c.Evidence != nil && len(c.Evidence.Guards) > 0 {
					if fired++; fired < 3 {
						dropGuards(c)
					}
				}
			}}
		}},
	{name: "oldest-first", about: "a halt rolls back the earliest stage first", violates: "P2", scenario: withScenario(CutHalt),
		newReplica: changeState(func(c rollout.Command) bool { return c.Halt != nil }, func(_ rollout.Command, text string) string {
			return treatedField.ReplaceAllStringFunc(text, func(s string) string {
				return s[:len(s)-1] + string('4'-s[len(s)-1]+'0')
			})
		})},
	{name: "away-kept", about: "a node that is unreachable when its stage is rolled back keeps the trial", violates: "P2",
		scenario: withScenario(CutHalt),
		newReplica: func(p *rollout.RootState) rootReplica {
			away, kept := map[string]bool{}, map[string]rollout.NodeEntry{}
			return &buggyRoot{RootState: p, onEffects: func(c rollout.Command, effects []rollout.Effect) {
				switch {
				case c.Unreachable != nil:
					away[c.Unreachable.Node] = true
				case c.Reachable != nil:
					delete(away, c.Reachable.Node)
				}
				for _, e := range effects {
					if e.Kind == rollout.Assign && e.ID == "" && away[e.Node] {
						kept[e.Node] = rollout.NodeEntry{Round: 1 << 40, Policy: trialHash, Rollout: trialID}
					}
				}
			}, onSitePolicies: func(d *rollout.SitePolicies) {
				for name := range d.Nodes {
					if k, ok := kept[name]; ok {
						d.Nodes[name], d.Texts[trialHash] = k, []byte(trialText)
					}
				}
			}}
		}},
	{name: "fall-unheard", about: "the report that a node fell back on its own is lost", violates: "P2", scenario: withScenario(Crashes),
		newReplica: changeCommands(func(c *rollout.Command) {
			if c.Status != nil {
				s := *c.Status
				s.Fallback = rollout.NoFallback
				c.Status = &s
			}
		})},
	{name: "silence-is-health",
		about: "a stage without evidence ends as if nothing were wrong", violates: "P3", scenario: withScenario(Silent),
		newReplica: changeState(isClose, func(_ rollout.Command, text string) string {
			return fineField.ReplaceAllString(missingField.ReplaceAllString(text, `"missing":""`), `"fine":{"wealth":1000,"best":1000`)
		})},
	{name: "word-of-earlier", about: "a stage ends on evidence of the nodes of earlier stages", violates: "P3",
		scenario: func(o *Options) { o.Seed, o.Scenario, o.Limits.Coverage = 6, Shy, 0.2 },
		newReplica: changeState(isClose, func(_ rollout.Command, text string) string {
			return missingOfAdded.ReplaceAllString(text, `"missing":""`)
		})},
	{name: "deaf-proven", about: "evidence counted while a node was unreachable counts for the policy that cut it off", violates: "P3",
		scenario: func(o *Options) { o.Seed, o.Scenario, o.LeaderDeaths, o.RecordLoss = 103, Deaf, 0.3, 0.4 },
		newReplica: changeRecords(func(r *rollout.Record) {
			r.Slices = slices.Clone(r.Slices)
			for i := range r.Slices {
				e := &r.Slices[i]
				e.Tainted = e.Tainted && e.Policy != trialHash
			}
		})},
	{name: "holds-for-ever", about: "the time of a hold restarts with each window", violates: "P3", scenario: withScenario(Silent),
		newReplica: changeState(isClose, func(c rollout.Command, text string) string {
			return heldField.ReplaceAllString(text, fmt.Sprintf(`"held":%d`, int64(c.At)))
		})},
	{name: "another-time", about: "treated nodes are compared with the control nodes at the start of the rollout", violates: "P1",
		scenario: withScenario(ZoneLost), newReplica: func(p *rollout.RootState) rootReplica {
			first := map[string][]rollout.Counts{}
			return &buggyRoot{RootState: p, onCommand: func(c *rollout.Command) {
				if e := c.Evidence; e != nil && e.Policy != trialHash {
					if len(first[e.Node]) == 0 {
						first[e.Node] = e.Counts
					}
					old := *e
					old.Counts = slices.Clone(e.Counts)
					for i, f := range first[e.Node][:min(len(first[e.Node]), len(old.Counts))] {
						old.Counts[i].Served = old.Counts[i].Offered * f.Served / max(f.Offered, 1)
					}
					c.Evidence = &old
				}
			}}
		}},
	{name: "margin-wide", about: "the margin is twenty-five times too large", violates: "P1",
		scenario:   withExtraLoss(0, 0.2, 0),
		newReplica: changeLimits(func(l *rollout.Limits) { l.Margin *= 25 })},
	{name: "one-for-all", about: "a stage ends once one class is proven", violates: "P1", scenario: withExtraLoss(0, 0.2, 0),
		newReplica: changeState(isClose, func(_ rollout.Command, text string) string {
			if fineFieldWon.MatchString(text) {
				return fineField.ReplaceAllString(text, `"fine":{"wealth":1000,"best":1000`)
			}
			return text
		})},
	{name: "classes-pooled", about: "all classes are compared as one", violates: "P4", scenario: withExtraLoss(-0.01, -0.03, 0.2),
		newReplica: changeCommands(func(c *rollout.Command) {
			if c.Evidence == nil {
				return
			}
			e := *c.Evidence
			e.Counts = slices.Clone(e.Counts)
			var offered, served float64
			for _, k := range e.Counts {
				offered += float64(k.Offered)
				served += float64(k.Served)
			}
			for i := range e.Counts {
				k := &e.Counts[i]
				k.Served = uint64(float64(k.Offered) * served / max(offered, 1))
			}
			c.Evidence = &e
		})},
	{name: "lease-lost", about: "the trial lease does not expire at a node that receives nothing", violates: "P5",
		scenario: withScenario(Deaf), noLeaseExpiry: true},
	{name: "starts-forgotten", about: "a start under the trial resets the count of starts", violates: "P5",
		scenario: withScenario(Crashes), forgetStarts: true},
	{name: "two-at-once", about: "a second rollout treats nodes of the first", violates: "P6",
		scenario: func(o *Options) { o.SecondRollout = true },
		newReplica: changeState(isClose, func(_ rollout.Command, text string) string {
			return trialOwnerField.ReplaceAllString(text, `"trial":""`)
		})},
	{name: "budget-alone", about: "rollouts ignore hosts out of service for maintenance", violates: "P6",
		scenario:   func(o *Options) { o.Noise.Maintenance = 200 },
		newReplica: changeRecords(func(r *rollout.Record) { r.OutOfService = 0 })},
	{name: "settled-at-once", about: "a change of policy does not count as a disruption", violates: "P6",
		newReplica: changeLimits(func(l *rollout.Limits) { l.Settle = 0 })},
	{name: "work-counts", about: "evidence counts although a host of the zone is in maintenance", violates: "P6",
		scenario: withScenario(Worked), hideMaintenance: true},
	{name: "force-over-guard", about: "force overrides a halt by a guard", violates: "P7", scenario: withScenario(Operator),
		newReplica: changeState(func(c rollout.Command) bool { return c.Force != nil }, func(_ rollout.Command, text string) string {
			return endedPhaseField.ReplaceAllString(text, "${1}0")
		})},
	{name: "reason-lost", about: "the operator and the reason of a force are not recorded", violates: "P7", scenario: withScenario(Operator),
		newReplica: changeState(func(c rollout.Command) bool { return c.Force != nil }, func(_ rollout.Command, text string) string {
			return reasonFields.ReplaceAllString(text, "")
		})},
	{name: "halt-forgotten",
		about: "a rollout that an operator halted continues after a while", violates: "P7", scenario: withScenario(Operator),
		newReplica: changeState(isClose, func(_ rollout.Command, text string) string { return endedPhaseField.ReplaceAllString(text, "${1}0") })},
	{name: "guard-of-before", about: "a guard that fired in an earlier treatment halts", violates: "P7", scenario: withScenario(Operator),
		newReplica: func(p *rollout.RootState) rootReplica {
			return &buggyRoot{RootState: p, onRecord: func(r *rollout.Record) {
				r.Fired = slices.Clone(r.Fired)
				for i := range r.Fired {
					r.Fired[i].Round = p.Plan().Assigned(r.Node).Round
				}
			}}
		}},
	{name: "slice-twice", about: "the set of slices already counted is lost", violates: "T1",
		newReplica: changeState(isClose, func(_ rollout.Command, text string) string { return sliceBitsField.ReplaceAllString(text, `"$1":0`) })},
	{name: "older-seen", about: "a node's status is taken from the record that arrived last instead of the newest one", violates: "T1",
		scenario: func(o *Options) { o.RecordLoss = 0.2 }, newReplica: func(p *rollout.RootState) rootReplica {
			newest := map[string]uint64{}
			return &buggyRoot{RootState: p, onRecord: func(r *rollout.Record) {
				r.Sequence = max(r.Sequence, newest[r.Node]+1)
				newest[r.Node] = r.Sequence
			}}
		}},
	{name: "word-of-now", about: "a site that is cut off renews the leases of its nodes", violates: "P5",
		scenario: withScenario(CutHalt), alwaysFresh: true},
	{name: "halt-below-forgotten", about: "a halt at a site is forgotten when its leader dies", violates: "P7",
		scenario: func(o *Options) { o.Scenario, o.LeaderDeaths = HaltBelow, 0.2 }, forgetHalts: true},
	{name: "seat-deaf", about: "one replica misses an entry of the log", violates: "seats",
		scenario: func(o *Options) { o.LeaderDeaths = 0.2 }, newReplica: func() func(*rollout.RootState) rootReplica {
			replica := 0
			return func(p *rollout.RootState) rootReplica {
				replica++
				if mine := replica; mine%3 != 2 {
					return p
				}
				n := 0
				return &buggyRoot{RootState: p, onCommand: func(c *rollout.Command) {
					if n++; c.Evidence != nil && n%50 == 0 {
						c.Evidence = nil
					}
				}}
			}
		}()},
}
