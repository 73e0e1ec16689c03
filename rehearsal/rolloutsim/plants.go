package rolloutsim

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"lichenhitch/internal/choice/rollout"
)

// planted is a bug: a change of what goes into the plan or comes out of it, of its state, or of a node. The daemon has
// none of them. scenario is what it takes to come across it.
type planted struct {
	name, about  string
	breaks       string // the property
	scenario     func(*Options)
	book         func(*rollout.RootState) book
	deafToWork   bool
	noLapse      bool
	forgetStarts bool
	freshWord    bool // a site answers as if the top had answered it just now
	forgetHalts  bool // a site's new leader knows of no halt at the site
}

// Plant tells of a planted bug.
type Plant struct{ Name, About, Breaks string }

// Plants lists the bugs that can be planted.
func Plants() (list []Plant) {
	for _, p := range plants {
		list = append(list, Plant{p.name, p.about, p.breaks})
	}
	return list
}

// Small is the options of a small province without noise, in the scenario that a plant asks for, if one is named.
func Small(plant string) Options {
	o := Options{Seed: 5, Regencies: 4, Nodes: 24, Limits: Limits(), Longest: 200 * time.Hour, Seats: 3}
	o.Limits.MaxDisrupted = 4
	for _, p := range plants {
		if p.name == plant && p.scenario != nil {
			p.scenario(&o)
		}
	}
	return o
}

// twisted is a top with a bug: each hook may be nil.
type twisted struct {
	*rollout.RootState
	come   func(*rollout.Command)                      // commands, and what is in a record, as the commands that it makes
	record func(*rollout.Record)                       // a record
	state  func(c rollout.Command, text string) string // the state after a command, in its encoded form
	doc    func(*rollout.SitePolicies)                 // on its way down
	told   func(rollout.Command, []rollout.Effect)     // what came of a command
	limits func(*rollout.Limits)                       // of the site file
}

func (w *twisted) Apply(index uint64, c rollout.Command) []rollout.Effect {
	if w.come != nil {
		w.come(&c)
	}
	effects := w.RootState.Apply(index, c)
	if w.told != nil {
		w.told(c, effects)
	}
	if w.state != nil {
		before := string(w.Encode())
		if after := w.state(c, before); after != before {
			t, err := rollout.DecodeRootState([]byte(after))
			if err != nil {
				panic(fmt.Sprint("the plant is faulty: ", err))
			}
			w.RootState = t
		}
	}
	return effects
}

func (w *twisted) Record(index uint64, at time.Duration, r rollout.Record) []rollout.Effect {
	if w.record != nil {
		w.record(&r)
	}
	if w.come != nil {
		c := rollout.Command{Status: &r.Status}
		w.come(&c)
		r.Status = *c.Status
		old := r
		r.Fired, r.Slices = nil, nil
		for _, f := range old.Fired {
			c := rollout.Command{Evidence: &rollout.Evidence{Guards: []string{f.Guard}}}
			if w.come(&c); c.Evidence != nil && len(c.Evidence.Guards) > 0 {
				r.Fired = append(r.Fired, f)
			}
		}
		for _, e := range old.Slices {
			c := rollout.Command{Evidence: &e}
			if w.come(&c); c.Evidence != nil {
				r.Slices = append(r.Slices, *c.Evidence)
			}
		}
	}
	return w.RootState.Record(index, at, r)
}

func (w *twisted) SitePolicies(site string) rollout.SitePolicies {
	d := w.RootState.SitePolicies(site)
	if w.doc != nil {
		w.doc(&d)
	}
	return d
}

func (w *twisted) Next(now time.Duration, l rollout.Limits, tree rollout.Tree) (rollout.Command, bool) {
	if w.limits != nil {
		w.limits(&l)
	}
	return w.RootState.Next(now, l, tree)
}

// coming changes commands on their way in.
func coming(f func(*rollout.Command)) func(*rollout.RootState) book {
	return func(p *rollout.RootState) book { return &twisted{RootState: p, come: f} }
}

// stated changes the state after each command that is picked, by its text.
func stated(when func(rollout.Command) bool, change func(c rollout.Command, text string) string) func(*rollout.RootState) book {
	return func(p *rollout.RootState) book {
		return &twisted{RootState: p, state: func(c rollout.Command, text string) string {
			if !when(c) {
				return text
			}
			return change(c, text)
		}}
	}
}

// recorded changes records on their way in.
func recorded(f func(*rollout.Record)) func(*rollout.RootState) book {
	return func(p *rollout.RootState) book { return &twisted{RootState: p, record: f} }
}

func closes(c rollout.Command) bool { return c.Close != nil }

func guardless(c *rollout.Command) {
	if c.Evidence != nil {
		e := *c.Evidence
		e.Guards, e.Starts = nil, 0
		c.Evidence = &e
	}
}

// limited changes the limits that the top goes by.
func limited(f func(*rollout.Limits)) func(*rollout.RootState) book {
	return func(p *rollout.RootState) book { return &twisted{RootState: p, limits: f} }
}

func scene(s Scenario) func(*Options) { return func(o *Options) { o.Scenario = s } }

func losing(lost ...float64) func(*Options) {
	return func(o *Options) { copy(o.Lost[:], lost) }
}

var (
	missing  = regexp.MustCompile(`"missing":"[^"]*"`)
	unadded  = regexp.MustCompile(`"missing":"of those that[^"]*"`)
	held     = regexp.MustCompile(`"held":\d+`)
	fine     = regexp.MustCompile(`"fine":\{"wealth":[^,]*,"best":[^,]*`)
	fineWon  = regexp.MustCompile(`"fine":\{"wealth":[^,]*,"best":(\d{2,}|[2-9]\d\.\d|\d{3,}\.)`)
	treated  = regexp.MustCompile(`("node":"[^"]*","stage":)(\d)`)
	anyOwner = regexp.MustCompile(`"trial":"trial"`)
	signed   = regexp.MustCompile(`,"by":"desk","why":"known to be good"`)
	bits     = regexp.MustCompile(`"(slices|heard)":\d+`)
	ended    = regexp.MustCompile(`("policy":"[0-9a-f]*","phase":)[23]`)
)

var plants = []planted{
	{name: "guard-lost", about: "evidence loses its guards on the way", breaks: "P2",
		scenario: scene(Guarded), book: coming(guardless)},
	{name: "guard-thrice", about: "a guard halts only when it has fired three times", breaks: "P2", scenario: scene(Guarded),
		book: func(p *rollout.RootState) book {
			fired := 0
			return &twisted{RootState: p, come: func(c *rollout.Command) {
				if c.Evidence != nil && len(c.Evidence.Guards) > 0 {
					if fired++; fired < 3 {
						guardless(c)
					}
				}
			}}
		}},
	{name: "oldest-first", about: "a halt takes the earliest stage back first", breaks: "P2", scenario: scene(CutHalt),
		book: stated(func(c rollout.Command) bool { return c.Halt != nil }, func(_ rollout.Command, text string) string {
			return treated.ReplaceAllStringFunc(text, func(s string) string {
				return s[:len(s)-1] + string('4'-s[len(s)-1]+'0')
			})
		})},
	{name: "away-kept", about: "a node that is away when its stage goes back keeps the trial", breaks: "P2",
		scenario: scene(CutHalt),
		book: func(p *rollout.RootState) book {
			away, kept := map[string]bool{}, map[string]rollout.NodeEntry{}
			return &twisted{RootState: p, told: func(c rollout.Command, effects []rollout.Effect) {
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
			}, doc: func(d *rollout.SitePolicies) {
				for name := range d.Nodes {
					if k, ok := kept[name]; ok {
						d.Nodes[name], d.Texts[trialHash] = k, []byte(trialText)
					}
				}
			}}
		}},
	{name: "fall-unheard", about: "that a node fell back by itself reaches nobody", breaks: "P2", scenario: scene(Crashes),
		book: coming(func(c *rollout.Command) {
			if c.Status != nil {
				s := *c.Status
				s.Fallback = rollout.NoFallback
				c.Status = &s
			}
		})},
	{name: "silence-is-health", about: "a stage that hears nothing ends as if all were well", breaks: "P3", scenario: scene(Silent),
		book: stated(closes, func(_ rollout.Command, text string) string {
			return fine.ReplaceAllString(missing.ReplaceAllString(text, `"missing":""`), `"fine":{"wealth":1000,"best":1000`)
		})},
	{name: "word-of-earlier", about: "a stage ends on the word of those that earlier stages took", breaks: "P3",
		scenario: func(o *Options) { o.Seed, o.Scenario, o.Limits.Coverage = 6, Shy, 0.2 },
		book: stated(closes, func(_ rollout.Command, text string) string {
			return unadded.ReplaceAllString(text, `"missing":""`)
		})},
	{name: "deaf-proven", about: "what a node counted while it could not be heard proves the policy that cut it off", breaks: "P3",
		scenario: func(o *Options) { o.Seed, o.Scenario, o.Deaths, o.Lossy = 103, Deaf, 0.3, 0.4 },
		book: recorded(func(r *rollout.Record) {
			r.Slices = slices.Clone(r.Slices)
			for i := range r.Slices {
				e := &r.Slices[i]
				e.Tainted = e.Tainted && e.Policy != trialHash
			}
		})},
	{name: "holds-for-ever", about: "a hold begins anew with each spell", breaks: "P3", scenario: scene(Silent),
		book: stated(closes, func(c rollout.Command, text string) string {
			return held.ReplaceAllString(text, fmt.Sprintf(`"held":%d`, int64(c.At)))
		})},
	{name: "another-time", about: "the treated are compared with the others as they were at the start", breaks: "P1",
		scenario: scene(ZoneLost), book: func(p *rollout.RootState) book {
			first := map[string][]rollout.Counts{}
			return &twisted{RootState: p, come: func(c *rollout.Command) {
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
	{name: "margin-wide", about: "the margin is taken for a part of itself twenty-five times as large", breaks: "P1",
		scenario: losing(0, 0.2, 0),
		book:     limited(func(l *rollout.Limits) { l.Margin *= 25 })},
	{name: "one-for-all", about: "a stage ends once one class is fine", breaks: "P1", scenario: losing(0, 0.2, 0),
		book: stated(closes, func(_ rollout.Command, text string) string {
			if fineWon.MatchString(text) {
				return fine.ReplaceAllString(text, `"fine":{"wealth":1000,"best":1000`)
			}
			return text
		})},
	{name: "classes-pooled", about: "all classes are judged as one", breaks: "P4", scenario: losing(-0.01, -0.03, 0.2),
		book: coming(func(c *rollout.Command) {
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
	{name: "lease-lost", about: "a trial does not lapse at a node that hears nothing", breaks: "P5",
		scenario: scene(Deaf), noLapse: true},
	{name: "starts-forgotten", about: "a start under the trial forgets those before", breaks: "P5",
		scenario: scene(Crashes), forgetStarts: true},
	{name: "two-at-once", about: "a second rollout takes nodes of the first", breaks: "P6",
		scenario: func(o *Options) { o.Second = true },
		book: stated(closes, func(_ rollout.Command, text string) string {
			return anyOwner.ReplaceAllString(text, `"trial":""`)
		})},
	{name: "budget-alone", about: "rollouts do not see what work has out", breaks: "P6",
		scenario: func(o *Options) { o.Noise.Work = 200 },
		book:     recorded(func(r *rollout.Record) { r.OutOfService = 0 })},
	{name: "settled-at-once", about: "a change of policy is taken for no disturbance", breaks: "P6",
		book: limited(func(l *rollout.Limits) { l.Settle = 0 })},
	{name: "work-counts", about: "evidence counts though a host of the zone is in work", breaks: "P6",
		scenario: scene(Worked), deafToWork: true},
	{name: "force-over-guard", about: "force takes a guard's halt away", breaks: "P7", scenario: scene(Operator),
		book: stated(func(c rollout.Command) bool { return c.Force != nil }, func(_ rollout.Command, text string) string {
			return ended.ReplaceAllString(text, "${1}0")
		})},
	{name: "reason-lost", about: "who forced a stage and why is not recorded", breaks: "P7", scenario: scene(Operator),
		book: stated(func(c rollout.Command) bool { return c.Force != nil }, func(_ rollout.Command, text string) string {
			return signed.ReplaceAllString(text, "")
		})},
	{name: "halt-forgotten", about: "what an operator halted goes on after a while", breaks: "P7", scenario: scene(Operator),
		book: stated(closes, func(_ rollout.Command, text string) string { return ended.ReplaceAllString(text, "${1}0") })},
	{name: "guard-of-before", about: "a guard halts whatever treatment it fired in", breaks: "P7", scenario: scene(Operator),
		book: func(p *rollout.RootState) book {
			return &twisted{RootState: p, record: func(r *rollout.Record) {
				r.Fired = slices.Clone(r.Fired)
				for i := range r.Fired {
					r.Fired[i].Round = p.Plan().Assigned(r.Node).Round
				}
			}}
		}},
	{name: "slice-twice", about: "it is forgotten which slices were taken", breaks: "T1",
		book: stated(closes, func(_ rollout.Command, text string) string { return bits.ReplaceAllString(text, `"$1":0`) })},
	{name: "older-seen", about: "what a node goes by is taken from whichever record came last", breaks: "T1",
		scenario: func(o *Options) { o.Lossy = 0.2 }, book: func(p *rollout.RootState) book {
			newest := map[string]uint64{}
			return &twisted{RootState: p, record: func(r *rollout.Record) {
				r.Sequence = max(r.Sequence, newest[r.Node]+1)
				newest[r.Node] = r.Sequence
			}}
		}},
	{name: "word-of-now", about: "a site that is cut off renews the leases of its nodes", breaks: "P5",
		scenario: scene(CutHalt), freshWord: true},
	{name: "halt-below-forgotten", about: "a halt at a site is forgotten when its leader dies", breaks: "P7",
		scenario: func(o *Options) { o.Scenario, o.Deaths = HaltBelow, 0.2 }, forgetHalts: true},
	{name: "seat-deaf", about: "one seat misses an entry of the log", breaks: "seats",
		scenario: func(o *Options) { o.Deaths = 0.2 }, book: func() func(*rollout.RootState) book {
			seat := 0
			return func(p *rollout.RootState) book {
				seat++
				if mine := seat; mine%3 != 2 {
					return p
				}
				n := 0
				return &twisted{RootState: p, come: func(c *rollout.Command) {
					if n++; c.Evidence != nil && n%50 == 0 {
						c.Evidence = nil
					}
				}}
			}
		}()},
}
