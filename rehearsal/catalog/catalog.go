// Package catalog lists the models that can be checked, and checks them by name.
//
// The models of queries are of a fleet: so many gateways, clients and attempts. Those of a site's affairs (turns, upstream)
// are of scenarios, which have nodes, hosts and sites of their own; they run the real code, so that nothing is left to be
// replayed.
package catalog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"lichenhitch/rehearsal/coremodel"
	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
	"lichenhitch/rehearsal/turnsmodel"
	"lichenhitch/rehearsal/upstreammodel"
)

// Config says which model to check, and for what fleet.
type Config struct {
	Model      string `json:"model"`
	Gateways   int    `json:"gateways"`
	Clients    int    `json:"clients"`
	Attempts   int    `json:"attempts"`
	Notices    int    `json:"notices,omitempty"` // of discovery in one run; core only
	Seeds      int    `json:"seeds,omitempty"`   // of the balancer's chance; core only
	Lines      int    `json:"lines,omitempty"`   // that a client may send in one run; connection only
	Scenario   string `json:"scenario,omitempty"`
	Plant      string `json:"plant,omitempty"`
	NoSymmetry bool   `json:"no_symmetry,omitempty"`
}

// Named is a thing with a name that tells what it is about.
type Named struct{ Name, About string }

// Plant is a bug that can be planted.
type Plant struct {
	Named
	Scenario string // that finds it; empty: the whole model does
}

// Entry is a model of the catalog.
type Entry struct {
	Named
	Scenarios []Named
	Plants    []Plant
	Replays   bool // its traces can be shown on the running code
	defaults  Config
	find      func(Config) (Job, error)
}

// Job is a model that is ready to be checked.
type Job interface {
	Title() string
	Check(model.Options) (*Report, error)
}

// Report is the outcome of a check, as it is printed and written.
type Report struct {
	Config          Config     `json:"config"`
	States          uint64     `json:"states"`
	Transitions     uint64     `json:"transitions"`
	Depth           int        `json:"depth"`
	Widest          uint64     `json:"widest"`
	Seconds         float64    `json:"seconds"`
	LiveSeconds     float64    `json:"liveness_seconds"`
	StatesPerSecond float64    `json:"states_per_second"`
	PeakBytes       uint64     `json:"peak_bytes"`
	Missed          float64    `json:"missed_state_probability"`
	Workers         int        `json:"workers"`
	Complete        bool       `json:"complete"`
	Stopped         string     `json:"stopped,omitempty"`
	Properties      []Property `json:"properties"`
	Seen            []string   `json:"seen"`
	NotSeen         []string   `json:"not_seen"`
	Trace           *Trace     `json:"trace,omitempty"`
}

// Property is a property with its verdict: holds, violated or unknown.
type Property struct {
	Name     string `json:"name"`
	Liveness bool   `json:"liveness"`
	Verdict  string `json:"verdict"`
}

// Trace is a counterexample.
type Trace struct {
	Config
	Property string `json:"property"`
	Seed     uint64 `json:"seed,omitempty"`  // of the balancer's in this run; core and connection
	Start    int    `json:"start,omitempty"` // which of the model's beginnings
	Loop     int    `json:"loop"`            // how many steps come before the part that goes on for ever, or -1
	Steps    []Step `json:"steps"`
}

// Step is a step of a trace: its code in the model, and what it means.
type Step struct {
	Code model.Step `json:"step"`
	Text string     `json:"text"`
}

// Entries lists the models.
func Entries() []Entry {
	return []Entry{lifeEntry(), coreEntry(), connectionEntry(), turnsEntry(), upstreamEntry()}
}

// Replays says whether a model's traces can be shown on the running code.
func Replays(name string) bool {
	return slices.ContainsFunc(Entries(), func(e Entry) bool { return e.Name == name && e.Replays })
}

// Find makes a model ready. Figures that are 0 are the model's own choice.
func Find(c Config) (Job, error) {
	var known []string
	for _, e := range Entries() {
		if e.Name != c.Model {
			known = append(known, e.Name)
			continue
		}
		if err := e.settle(&c); err != nil {
			return nil, err
		}
		if c.Gateways == 0 {
			c.Gateways = e.defaults.Gateways
		}
		if c.Clients == 0 {
			c.Clients = e.defaults.Clients
		}
		if c.Attempts == 0 {
			c.Attempts = e.defaults.Attempts
		}
		if c.Notices == 0 {
			c.Notices = e.defaults.Notices
		}
		if c.Lines == 0 {
			c.Lines = e.defaults.Lines
		}
		if c.Seeds == 0 {
			c.Seeds = e.defaults.Seeds
		}
		return e.find(c)
	}
	return nil, fmt.Errorf("no model is named %q; there are: %s", c.Model, strings.Join(known, ", "))
}

// settle chooses the scenario of a model that is of nothing else: the one that finds the planted bug, or the first.
func (e *Entry) settle(c *Config) error {
	switch {
	case c.Scenario != "" && len(e.Scenarios) == 0:
		return fmt.Errorf("scenario: model %s has none", e.Name)
	case e.defaults.Scenario == "":
		return nil
	case c.Gateways+c.Clients+c.Attempts+c.Notices+c.Seeds+c.Lines > 0 || c.NoSymmetry:
		return fmt.Errorf("model %s takes --scenario and --plant alone: its scenarios have their own bounds", e.Name)
	}
	for _, p := range e.Plants {
		if p.Name == c.Plant {
			c.Scenario = cmp.Or(c.Scenario, p.Scenario)
		}
	}
	c.Scenario = cmp.Or(c.Scenario, e.defaults.Scenario)
	return nil
}

func turnsEntry() Entry {
	e := Entry{Named: Named{"turns", "rights to send and turns for work, the real code of nodes and seats, by scenarios"},
		defaults: Config{Scenario: "three-nodes"}, find: func(c Config) (Job, error) {
			w, err := turnsmodel.Named(c.Scenario)
			if err != nil {
				return nil, err
			}
			m, err := w.Model(c.Plant)
			if err != nil {
				return nil, err
			}
			return &job[turnsmodel.State]{c, m}, nil
		}}
	for _, w := range append(turnsmodel.Worlds(), turnsmodel.Larger()...) {
		e.Scenarios = append(e.Scenarios, Named{w.Name, w.About})
	}
	for _, p := range turnsmodel.InjectedBugs() {
		e.Plants = append(e.Plants, Plant{Named{p.Name, p.About}, p.World})
	}
	return e
}

func upstreamEntry() Entry {
	e := Entry{Named: Named{"upstream", "writes that travel up and decisions that come down, the real code of three sites, by scenarios"},
		defaults: Config{Scenario: "two-routes"}, find: func(c Config) (Job, error) {
			m, err := upstreammodel.New(c.Scenario, c.Plant)
			if err != nil {
				return nil, err
			}
			return &job[upstreammodel.State]{c, m}, nil
		}}
	for _, s := range upstreammodel.Scenarios() {
		e.Scenarios = append(e.Scenarios, Named{s.Name, s.About})
	}
	for _, p := range upstreammodel.InjectedBugs() {
		e.Plants = append(e.Plants, Plant{Named{p.Name, p.About}, p.Scenario})
	}
	return e
}

func lifeEntry() Entry {
	e := Entry{Named: Named{"life", "the life of queries in a world of gateways, clients and notices"},
		Replays: true, defaults: Config{Gateways: 3, Clients: 1, Attempts: 4}, find: findLife}
	for _, p := range lifemodel.InjectedBugs() {
		e.Plants = append(e.Plants, Plant{Named: Named(p)})
	}
	for _, s := range lifemodel.Scenarios() {
		e.Scenarios = append(e.Scenarios, Named{s.Name, s.About})
	}
	return e
}

func findLife(c Config) (Job, error) {
	m, err := lifemodel.New(c.Gateways, c.Clients, c.Attempts, c.Plant)
	if err != nil {
		return nil, err
	}
	m.NoSymmetry = c.NoSymmetry
	if c.Scenario != "" {
		if err := m.RestrictTo(c.Scenario); err != nil {
			return nil, err
		}
	}
	return &job[lifemodel.State]{c, m}, nil
}

func coreEntry() Entry {
	e := Entry{Named: Named{"core", "the running code, the real core and balancer, under a stepped clock"},
		Replays: true, defaults: Config{Gateways: 3, Clients: 1, Attempts: 4, Notices: 1, Seeds: 2}, find: findCore}
	for _, p := range coremodel.InjectedBugs() {
		e.Plants = append(e.Plants, Plant{Named: Named(p)})
	}
	return e
}

func (c Config) core() coremodel.Config {
	return coremodel.Config{Gateways: c.Gateways, Clients: c.Clients, Attempts: c.Attempts, Notices: c.Notices,
		Seeds: c.Seeds, Bug: c.Plant}
}

// connectionsLast is how long connections are looked at.
const connectionsLast = 6 * time.Second

func connectionEntry() Entry {
	e := Entry{Named: Named{"connection", "the running code once connections stand: lines, silence, drains, moves, both ends"},
		Replays: true, defaults: Config{Gateways: 1, Clients: 2, Attempts: 2, Seeds: 1, Lines: 1}, find: findConnection}
	for _, p := range coremodel.ConnectionBugs() {
		e.Plants = append(e.Plants, Plant{Named: Named(p)})
	}
	return e
}

func findConnection(c Config) (Job, error) {
	m, err := coremodel.NewConnections(c.core(), c.Lines, connectionsLast)
	if err != nil {
		return nil, err
	}
	return &job[coremodel.State]{c, m}, nil
}

func findCore(c Config) (Job, error) {
	m, err := coremodel.New(c.core())
	if err != nil {
		return nil, err
	}
	return &job[coremodel.State]{c, m}, nil
}

// job checks a model of any kind of states.
type job[S any] struct {
	config Config
	m      model.Model[S]
}

// Title implements Job.
func (j *job[S]) Title() string {
	t := "model " + j.config.Model
	if j.config.Gateways > 0 {
		t += fmt.Sprintf(": %d gateways, %d clients, %d attempts", j.config.Gateways, j.config.Clients, j.config.Attempts)
	}
	if j.config.Seeds > 0 {
		t += fmt.Sprintf(", %d notices, %d seeds", j.config.Notices, j.config.Seeds)
	}
	if j.config.Lines > 0 {
		t += fmt.Sprintf(", %d lines each", j.config.Lines)
	}
	if j.config.Scenario != "" {
		t += ", scenario " + j.config.Scenario
	}
	if j.config.Plant != "" {
		t += ", planted: " + j.config.Plant
	}
	return t
}

// Check implements Job.
func (j *job[S]) Check(opt model.Options) (*Report, error) {
	res, err := model.Check(j.m, opt)
	if err != nil {
		return nil, err
	}
	r := &Report{Config: j.config, States: res.States, Transitions: res.Transitions, Depth: res.Depth,
		Widest: res.MaxLevelStates, Seconds: res.Seconds, LiveSeconds: res.LivenessSeconds, StatesPerSecond: res.Rate(),
		PeakBytes: res.PeakBytes, Missed: res.OmissionProbability, Workers: res.Workers, Complete: res.Complete,
		Stopped: res.StopReason, Seen: []string{}, NotSeen: []string{}}
	for _, f := range res.Findings {
		r.Properties = append(r.Properties, Property{f.Property, f.Liveness, f.Verdict.String()})
	}
	if m, ok := j.m.(model.Coverer[S]); ok {
		expected := ^uint64(0)
		if e, ok := j.m.(interface{ Expected() uint64 }); ok {
			expected = e.Expected()
		}
		for i, name := range m.CoverageGoals() {
			if res.Covered>>i&1 == 1 {
				r.Seen = append(r.Seen, name)
			} else if expected>>i&1 == 1 {
				r.NotSeen = append(r.NotSeen, name)
			}
		}
	}
	if v := res.Violation; v != nil {
		r.Trace = &Trace{Config: j.config, Property: v.Property, Loop: v.Trace.Loop, Steps: []Step{}}
		if s, ok := any(v.Trace.States[0]).(coremodel.State); ok {
			r.Trace.Seed, r.Trace.Start = s.Seed(), s.StartIndex()
		}
		for i, s := range v.Trace.Steps {
			r.Trace.Steps = append(r.Trace.Steps, Step{s, j.m.Describe(v.Trace.States[i], s, v.Trace.States[i+1])})
		}
	}
	return r, nil
}

// ParseTrace reads a trace. Errors name the place at fault.
func ParseTrace(text []byte) (*Trace, error) {
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	var t Trace
	if err := d.Decode(&t); err != nil {
		at := int(d.InputOffset())
		return nil, fmt.Errorf("line %d: %w", 1+strings.Count(string(text[:min(at, len(text))]), "\n"), err)
	}
	if len(t.Steps) == 0 {
		return nil, fmt.Errorf("steps: there are none")
	}
	if t.Loop < -1 || t.Loop > len(t.Steps) {
		return nil, fmt.Errorf("loop: %d is not within -1 to %d, the number of steps", t.Loop, len(t.Steps))
	}
	return &t, nil
}
