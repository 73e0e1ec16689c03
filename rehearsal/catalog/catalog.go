// Package catalog lists the models that can be checked, and checks them by name.
//
// The models of requests (life, core, connection) have a fleet with a configured number of gateways, clients and attempts.
// The models of a site's coordination (turns, upstream) have scenarios, each with its own nodes, hosts and sites. They run
// the real code, so their traces need no replay.
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

// Config selects the model to check, and its bounds.
type Config struct {
	Model      string `json:"model"`
	Gateways   int    `json:"gateways"`
	Clients    int    `json:"clients"`
	Attempts   int    `json:"attempts"`
	Notices    int    `json:"notices,omitempty"` // of discovery in one run; core and connection only
	Seeds      int    `json:"seeds,omitempty"`   // number of seeds of the balancer's random choices; core and connection only
	Lines      int    `json:"lines,omitempty"`   // that a client may send in one run; connection only
	Scenario   string `json:"scenario,omitempty"`
	Bug        string `json:"plant,omitempty"`
	NoSymmetry bool   `json:"no_symmetry,omitempty"`
}

// Named is a name with a description.
type Named struct{ Name, About string }

// InjectedBug is a bug that can be injected into a model.
type InjectedBug struct {
	Named
	Scenario string // the scenario that finds it; empty: the model without a scenario finds it
}

// Entry is a model of the catalog.
type Entry struct {
	Named
	Scenarios []Named
	Bugs      []InjectedBug
	Replays   bool // its traces can be replayed on the running code
	defaults  Config
	prepare   func(Config) (Job, error)
}

// Job is a model that is ready to be checked.
type Job interface {
	Title() string
	Check(model.Options) (*Report, error)
}

// Report is the outcome of a check, as it is printed and written to a file.
type Report struct {
	Config              Config     `json:"config"`
	States              uint64     `json:"states"`
	Transitions         uint64     `json:"transitions"`
	Depth               int        `json:"depth"`
	Widest              uint64     `json:"widest"` // number of states at the depth that has most
	Seconds             float64    `json:"seconds"`
	LivenessSeconds     float64    `json:"liveness_seconds"`
	StatesPerSecond     float64    `json:"states_per_second"`
	PeakBytes           uint64     `json:"peak_bytes"`
	OmissionProbability float64    `json:"missed_state_probability"`
	Workers             int        `json:"workers"`
	Complete            bool       `json:"complete"`
	StopReason          string     `json:"stopped,omitempty"`
	Properties          []Property `json:"properties"`
	Covered             []string   `json:"seen"`
	NotCovered          []string   `json:"not_seen"`
	Trace               *Trace     `json:"trace,omitempty"`
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
	Seed     uint64 `json:"seed,omitempty"`  // of the balancer; core and connection only
	Start    int    `json:"start,omitempty"` // index of the initial run (see coremodel.Model.InitialState)
	Loop     int    `json:"loop"`            // number of steps before the part that repeats forever, or -1
	Steps    []Step `json:"steps"`
}

// Step is a step of a trace: its code in the model, and its description.
type Step struct {
	Code model.Step `json:"step"`
	Text string     `json:"text"`
}

// Entries lists the models.
func Entries() []Entry {
	return []Entry{lifeEntry(), coreEntry(), connectionEntry(), turnsEntry(), upstreamEntry()}
}

// Replays reports whether a model's traces can be replayed on the running code.
func Replays(name string) bool {
	return slices.ContainsFunc(Entries(), func(e Entry) bool { return e.Name == name && e.Replays })
}

// Prepare returns a model that is ready to be checked. Numbers that are 0 get the model's defaults.
func Prepare(c Config) (Job, error) {
	var known []string
	for _, e := range Entries() {
		if e.Name != c.Model {
			known = append(known, e.Name)
			continue
		}
		if err := e.chooseScenario(&c); err != nil {
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
		return e.prepare(c)
	}
	return nil, fmt.Errorf("no model is named %q; there are: %s", c.Model, strings.Join(known, ", "))
}

// chooseScenario sets the scenario of a model that has only scenarios: the one that finds the injected bug, or the default.
func (e *Entry) chooseScenario(c *Config) error {
	switch {
	case c.Scenario != "" && len(e.Scenarios) == 0:
		return fmt.Errorf("scenario: model %s has none", e.Name)
	case e.defaults.Scenario == "":
		return nil
	case c.Gateways+c.Clients+c.Attempts+c.Notices+c.Seeds+c.Lines > 0 || c.NoSymmetry:
		return fmt.Errorf("model %s takes --scenario and --plant alone: its scenarios have their own bounds", e.Name)
	}
	for _, p := range e.Bugs {
		if p.Name == c.Bug {
			c.Scenario = cmp.Or(c.Scenario, p.Scenario)
		}
	}
	c.Scenario = cmp.Or(c.Scenario, e.defaults.Scenario)
	return nil
}

func turnsEntry() Entry {
	e := Entry{Named: Named{"turns",
		"send leases and turns (permissions to do maintenance on a host), the real code of nodes and replicas, by scenarios"},
		defaults: Config{Scenario: "three-nodes"}, prepare: func(c Config) (Job, error) {
			w, err := turnsmodel.Named(c.Scenario)
			if err != nil {
				return nil, err
			}
			m, err := w.Model(c.Bug)
			if err != nil {
				return nil, err
			}
			return &job[turnsmodel.State]{c, m}, nil
		}}
	for _, w := range append(turnsmodel.Worlds(), turnsmodel.Larger()...) {
		e.Scenarios = append(e.Scenarios, Named{w.Name, w.About})
	}
	for _, p := range turnsmodel.InjectedBugs() {
		e.Bugs = append(e.Bugs, InjectedBug{Named{p.Name, p.About}, p.World})
	}
	return e
}

func upstreamEntry() Entry {
	e := Entry{Named: Named{"upstream", "writes sent up to parent sites and decisions sent down, the real code of three sites, by scenarios"},
		defaults: Config{Scenario: "two-routes"}, prepare: func(c Config) (Job, error) {
			m, err := upstreammodel.New(c.Scenario, c.Bug)
			if err != nil {
				return nil, err
			}
			return &job[upstreammodel.State]{c, m}, nil
		}}
	for _, s := range upstreammodel.Scenarios() {
		e.Scenarios = append(e.Scenarios, Named{s.Name, s.About})
	}
	for _, p := range upstreammodel.InjectedBugs() {
		e.Bugs = append(e.Bugs, InjectedBug{Named{p.Name, p.About}, p.Scenario})
	}
	return e
}

func lifeEntry() Entry {
	e := Entry{Named: Named{"life", "the lifecycle of requests in an environment of gateways, clients and notices"},
		Replays: true, defaults: Config{Gateways: 3, Clients: 1, Attempts: 4}, prepare: prepareLife}
	for _, p := range lifemodel.InjectedBugs() {
		e.Bugs = append(e.Bugs, InjectedBug{Named: Named(p)})
	}
	for _, s := range lifemodel.Scenarios() {
		e.Scenarios = append(e.Scenarios, Named{s.Name, s.About})
	}
	return e
}

func prepareLife(c Config) (Job, error) {
	m, err := lifemodel.New(c.Gateways, c.Clients, c.Attempts, c.Bug)
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
	e := Entry{Named: Named{"core", "the running code, the real core and balancer, with a simulated clock"},
		Replays: true, defaults: Config{Gateways: 3, Clients: 1, Attempts: 4, Notices: 1, Seeds: 2}, prepare: prepareCore}
	for _, p := range coremodel.InjectedBugs() {
		e.Bugs = append(e.Bugs, InjectedBug{Named: Named(p)})
	}
	return e
}

func (config Config) coreConfig() coremodel.Config {
	return coremodel.Config{Gateways: config.Gateways, Clients: config.Clients, Attempts: config.Attempts, Notices: config.Notices,
		Seeds: config.Seeds, Bug: config.Bug}
}

// connectionsDuration is the simulated time for which the connection model explores connections.
const connectionsDuration = 6 * time.Second

func connectionEntry() Entry {
	e := Entry{Named: Named{"connection",
		"the running code with established connections: lines, unresponsive hosts, drains, moves, both sides closing"},
		Replays: true, defaults: Config{Gateways: 1, Clients: 2, Attempts: 2, Seeds: 1, Lines: 1}, prepare: prepareConnection}
	for _, p := range coremodel.ConnectionBugs() {
		e.Bugs = append(e.Bugs, InjectedBug{Named: Named(p)})
	}
	return e
}

func prepareConnection(c Config) (Job, error) {
	m, err := coremodel.NewConnections(c.coreConfig(), c.Lines, connectionsDuration)
	if err != nil {
		return nil, err
	}
	return &job[coremodel.State]{c, m}, nil
}

func prepareCore(c Config) (Job, error) {
	m, err := coremodel.New(c.coreConfig())
	if err != nil {
		return nil, err
	}
	return &job[coremodel.State]{c, m}, nil
}

// job is a model with states of any type.
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
	if j.config.Bug != "" {
		t += ", planted: " + j.config.Bug
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
		Widest: res.MaxLevelStates, Seconds: res.Seconds, LivenessSeconds: res.LivenessSeconds, StatesPerSecond: res.Rate(),
		PeakBytes: res.PeakBytes, OmissionProbability: res.OmissionProbability, Workers: res.Workers, Complete: res.Complete,
		StopReason: res.StopReason, Covered: []string{}, NotCovered: []string{}}
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
				r.Covered = append(r.Covered, name)
			} else if expected>>i&1 == 1 {
				r.NotCovered = append(r.NotCovered, name)
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

// ParseTrace reads a trace. Errors name the faulty line or field.
func ParseTrace(text []byte) (*Trace, error) {
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	var trace Trace
	if err := decoder.Decode(&trace); err != nil {
		offset := int(decoder.InputOffset())
		return nil, fmt.Errorf("line %d: %w", 1+strings.Count(string(text[:min(offset, len(text))]), "\n"), err)
	}
	if len(trace.Steps) == 0 {
		return nil, fmt.Errorf("steps: there are none")
	}
	if trace.Loop < -1 || trace.Loop > len(trace.Steps) {
		return nil, fmt.Errorf("loop: %d is not within -1 to %d, the number of steps", trace.Loop, len(trace.Steps))
	}
	return &trace, nil
}
