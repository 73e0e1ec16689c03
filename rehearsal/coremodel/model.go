// Package coremodel explores the running code: the actual query.Core with the actual balance.Balancer, with a simulated
// clock, in a small environment of clients, gateways and notices. A state is a run from the start, which is replayed
// for every step. Two runs that lead to the same state, down to the last field of the balancer, count as one.
//
// Every step of the running code must be one that the model of the request lifecycle (package lifemodel) allows in the
// corresponding state.
package coremodel

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"lichenhitch/balance"
	"lichenhitch/internal/lifecycle"
	"lichenhitch/internal/query"
	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
	"lichenhitch/rehearsal/script"
)

// Config selects what is explored.
type Config struct {
	Gateways     int
	Clients      int
	Attempts     int
	Notices      int // of discovery, in one run
	Seeds        int // of the balancer's random choices: 1 to this
	Bug          string
	WrapBalancer func(query.Balancer) query.Balancer // wraps the balancer, to inject bugs; may be nil
	Rule         query.StepFunc                      // nil: the actual rule
}

const (
	clientTimeout = 400 * time.Millisecond // how long a client waits
	latencyTarget = 100 * time.Millisecond
	drainGrace    = 250 * time.Millisecond
	// maxInheritedAttempts and maxInheritedTime bound what is explored of an inherited connection. The rest of its 40 s
	// passes without further events.
	maxInheritedAttempts = 2
	maxInheritedTime     = time.Second
)

var classes = []string{"safe", "unsafe", "keyed", "safe", "grouped"} // by lifemodel.Class

// settings returns the settings of the small fleet. Its times are short, so that a run has few moments at which an
// event may happen.
func (c Config) settings() balance.Settings {
	return balance.Settings{
		Balancers: 1, Zone: "z0", MaxAttempts: c.Attempts, Tick: time.Millisecond, MaxRetryAfter: time.Second,
		Classes: []balance.Class{
			{Name: "safe", LatencyTarget: latencyTarget, Deadline: clientTimeout, Effect: balance.Safe},
			{Name: "unsafe", LatencyTarget: latencyTarget, Deadline: clientTimeout, Effect: balance.Unsafe},
			{Name: "keyed", LatencyTarget: latencyTarget, Deadline: clientTimeout, Effect: balance.Keyed,
				Group: balance.GroupAll, Window: time.Minute},
			{Name: "grouped", LatencyTarget: latencyTarget, Deadline: clientTimeout, Effect: balance.Keyed,
				Group: balance.GroupZone, Window: time.Minute},
		},
		Safety: balance.Safety{DrainGrace: drainGrace, AnswerSlack: 50 * time.Millisecond, ListRefreshInterval: 10 * time.Second,
			ColdCapacity: 0.3, WarmUp: 8 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second},
	}
}

// State is a run with the properties of the state that it leads to.
type State struct {
	*run
}

type run struct {
	seed        uint64
	startIndex  int // of an initial state: the index of its initial run
	steps       []model.Step
	fingerprint uint64
	violated    uint32
	pending     bool
	ended       bool // no further step is possible
	notices     int
	covered     uint64
	choices     []model.Step
}

// Model implements model.Model and model.Coverer.
type Model struct {
	cfg            Config
	lifecycleModel *lifemodel.Model
	settings       balance.Settings
	// maxLines is the number of lines that each client may send; -1 in the model without established connections.
	maxLines    int
	maxDuration time.Duration // how long connections are explored
}

func New(c Config) (*Model, error) {
	m, err := lifemodel.New(max(c.Gateways, 1), max(c.Clients, 1), c.Attempts, "")
	if err != nil {
		return nil, err
	}
	if c.Gateways < 1 || c.Clients < 1 {
		return nil, fmt.Errorf("gateways and clients: %d and %d are not both positive", c.Gateways, c.Clients)
	}
	if c.Notices < 0 {
		return nil, fmt.Errorf("notices: %d is negative", c.Notices)
	}
	if c.Bug != "" && c.WrapBalancer == nil && c.Rule == nil {
		if err := c.injectBug(); err != nil {
			return nil, err
		}
	}
	m.Unreduced, m.NoSymmetry = true, true
	return &Model{cfg: c, lifecycleModel: m, settings: c.settings(), maxLines: -1}, nil
}

// The safety properties.
const (
	badWireRules = iota
	badRefinement
	badLeak
	badDeadlineFired
	badPanic
)

// SafetyProperties implements model.Model.
func (m *Model) SafetyProperties() []string {
	return []string{
		badWireRules:     "the rules hold on the wire",
		badRefinement:    "every step is one of the model of lives",
		badLeak:          "nothing is kept of a query that is over",
		badDeadlineFired: "the balancer answers before the guard has to",
		badPanic:         "the running code does not panic",
	}
}

// LivenessProperties implements model.Model.
func (m *Model) LivenessProperties() []string { return []string{"every query taken is answered"} }

// FairnessClasses implements model.Model: time advances.
func (m *Model) FairnessClasses(s model.Step) model.Fairness {
	switch o, _, _, _ := lifemodel.Decode(s); o {
	case script.Advance, script.Expire, script.Pass:
		return 1
	}
	return 0
}

// Canonical implements model.Model.
func (m *Model) Canonical(s State) State { return s }

// Encode implements model.Model.
func (m *Model) Encode(to []byte, s State) []byte {
	for i := range 8 {
		to = append(to, byte(s.fingerprint>>(8*i)))
	}
	return to
}

// Violated implements model.Model.
func (m *Model) Violated(s State) uint32 { return s.violated }

// Pending implements model.Model.
func (m *Model) Pending(s State) uint8 {
	if s.pending {
		return 1
	}
	return 0
}

// Done implements model.Model.
func (m *Model) Done(s State) bool { return s.ended }

// Size implements model.Sizer.
func (m *Model) Size(s State) int { return 120 + 4*(cap(s.steps)+cap(s.choices)) }

// The coverage goals.
const (
	coverServed = iota
	coverLastAttempt
	coverNoticeDuringAttempt
	coverLateAnswer
	coverInheritedRetry
	coverStopWhileWaiting
	coverRestartDuringAttempt
)

// CoverageGoals implements model.Coverer.
func (m *Model) CoverageGoals() []string {
	return []string{
		coverServed:               "a client is served",
		coverLastAttempt:          "the last possible attempt is pending",
		coverNoticeDuringAttempt:  "a notice arrives about a gateway with an open connection",
		coverLateAnswer:           "a gateway may still report on an attempt that is over while the request awaits its answer",
		coverInheritedRetry:       "an inherited connection has a further attempt",
		coverStopWhileWaiting:     "the node stops while a client waits or is served",
		coverRestartDuringAttempt: "a restart is reported of a gateway with an open connection",
	}
}

// Covered implements model.Coverer.
func (m *Model) Covered(s State) uint64 { return s.covered }

// Initial implements model.Model.
func (m *Model) Initial() []State {
	var list []State
	for seed := range max(1, m.cfg.Seeds) {
		for startIndex, start := range m.initialRuns(uint64(seed) + 1) {
			s, _ := m.replay(uint64(seed)+1, start, nil)
			s.startIndex = startIndex
			list = append(list, s)
		}
	}
	return list
}

// initialRuns returns the runs that lead to the initial states.
func (m *Model) initialRuns(seed uint64) [][]model.Step {
	if m.maxLines < 0 {
		return [][]model.Step{nil}
	}
	return [][]model.Step{m.setUpConnections(seed, false), m.setUpConnections(seed, true)}
}

// InitialState returns the initial state for a seed of the balancer, counted from 1, and for an initial run, counted
// from 0. The model of connections has two initial runs.
func (m *Model) InitialState(seed uint64, startIndex int) (State, error) {
	if seed < 1 || seed > uint64(max(1, m.cfg.Seeds)) {
		return State{}, fmt.Errorf("seed: %d is not within 1 to %d", seed, max(1, m.cfg.Seeds))
	}
	starts := m.initialRuns(seed)
	if startIndex < 0 || startIndex >= len(starts) {
		return State{}, fmt.Errorf("start: %d is not within 0 to %d", startIndex, len(starts)-1)
	}
	s, err := m.replay(seed, starts[startIndex], nil)
	s.startIndex = startIndex
	return s, err
}

// Apply takes one step. It returns an error if the step is not possible there.
func (m *Model) Apply(s State, step model.Step) (State, error) {
	return m.replay(s.seed, s.steps, &step)
}

// StartIndex returns the index of the initial run of an initial state.
func (s State) StartIndex() int { return s.startIndex }

// Seed returns the balancer's seed with which the state was reached.
func (s State) Seed() uint64 { return s.seed }

// Steps implements model.Model.
func (m *Model) Steps(s State, yield func(model.Step, State)) {
	if s.violated != 0 {
		return
	}
	for _, c := range s.choices {
		next, err := m.replay(s.seed, s.steps, &c)
		if err != nil {
			panic(fmt.Sprintf("coremodel: %v after %v", err, s.steps))
		}
		yield(c, next)
	}
}

// world returns a new environment.
func (m *Model) world(seed uint64) *script.World {
	cfg := script.Config{Hosts: m.cfg.Gateways, Settings: m.settings, Seed: seed, ClientTimeout: clientTimeout, Classes: classes,
		Bug: m.cfg.Bug,
		Fleet: func(i int) balance.Listing { // the first and the last of three are in the same zone
			return balance.Listing{Server: balance.ServerID(fmt.Sprint("g", i+1)), Weight: 1, Zone: fmt.Sprint("z", i%2)}
		},
		Rule: m.cfg.Rule}
	if cfg.Rule == nil {
		cfg.Rule = lifecycle.Step
	}
	if m.cfg.WrapBalancer != nil {
		cfg.Balancer = m.cfg.WrapBalancer(balance.New(m.settings, seed))
		cfg.ReadyOnly = true
	}
	return script.New(cfg)
}

// replay replays a run, with one more step if last is set, and evaluates the state that it leads to.
func (m *Model) replay(seed uint64, steps []model.Step, last *model.Step) (State, error) {
	w := m.world(seed)
	follower := modelFollower{model: m.lifecycleModel, state: m.lifecycleModel.Initial()[0]}
	r := &run{seed: seed}
	all := steps
	if last != nil {
		all = append(append(make([]model.Step, 0, len(steps)+1), steps...), *last)
	}
	r.steps = all
	for _, step := range all {
		crash, err := try(w, step)
		if err != nil {
			return State{}, err
		}
		if crash != "" {
			r.violated |= 1 << badPanic
			r.fingerprint = xxhash.Sum64String(crash)
			return State{r}, nil
		}
		done := w.TakenSteps()
		follower.follow(done)
		follower.compare(w, m.cfg.Clients)
		r.record(w, step, done, &follower.state, min(m.cfg.Attempts, m.cfg.Gateways))
	}
	w.Check()
	if len(w.Violations()) > 0 {
		r.violated |= 1 << badWireRules
	}
	if follower.err != "" {
		r.violated |= 1 << badRefinement
	}
	if q, b := w.Retained(); !w.Stopped() && (q != w.LiveRequests() || b > w.LiveRequests()) {
		r.violated |= 1 << badLeak
	}
	r.pending = w.AnyWaiting()
	r.choices = m.choices(w, r)
	r.ended = len(r.choices) == 0
	r.fingerprint = xxhash.Sum64(w.Fingerprint(m.lifecycleModel.Encode([]byte{byte(r.notices)}, follower.state)))
	return State{r}, nil
}

// try takes a step and catches a panic of the running code.
func try(w *script.World, step model.Step) (crash string, err error) {
	defer func() {
		if p := recover(); p != nil {
			crash = fmt.Sprint("panic: ", p)
		}
	}()
	return "", w.Do(step)
}

// record notes what a step showed.
func (r *run) record(w *script.World, step model.Step, done []model.Step, modelState *lifemodel.State, maxAttempts int) {
	o, _, _, _ := lifemodel.Decode(step)
	if o >= lifemodel.NotifyDrain && o <= lifemodel.NotifyRestart {
		r.notices++
	}
	for _, d := range done {
		o, c, g, _ := lifemodel.Decode(d)
		switch o {
		case lifemodel.DeadlineFires:
			if q, _, _, _ := w.State(c); !q.Inherited { // the balancer does not place inherited requests
				r.violated |= 1 << badDeadlineFired
			}
		case lifemodel.RetryInherited:
			r.covered |= 1 << coverInheritedRetry
		case lifemodel.NotifyDrain, lifemodel.NotifyGone, lifemodel.NotifyRestart:
			for i := range modelState.Clients {
				if modelState.Clients[i].Conn != lifemodel.NoConn && modelState.Gateways[g].HasConn[i] {
					r.covered |= 1 << coverNoticeDuringAttempt
					if o == lifemodel.NotifyRestart {
						r.covered |= 1 << coverRestartDuringAttempt
					}
				}
			}
		case lifemodel.StopNode:
			r.covered |= 1 << coverStopWhileWaiting
		}
	}
	for i := range modelState.Clients {
		if modelState.Clients[i].Lifecycle.Phase == lifecycle.Established {
			r.covered |= 1 << coverServed
		}
		if q := &modelState.Clients[i]; q.Lifecycle.Phase == lifecycle.Trying && !q.Lifecycle.Inherited &&
			int(q.Lifecycle.Attempts) == maxAttempts {
			r.covered |= 1 << coverLastAttempt
		}
		if i < w.Clients() && w.HasLateAttempt(i) && modelState.Clients[i].Lifecycle.AwaitsAnswer() {
			r.covered |= 1 << coverLateAnswer
		}
	}
}

// choices returns the steps that are possible next. Once no client waits, the model explores only the end of the
// established connections, and the clock does not advance.
func (m *Model) choices(w *script.World, r *run) (list []model.Step) {
	add := func(o lifemodel.Op, c, g, arg int) { list = append(list, lifemodel.Code(o, c, g, arg)) }
	if w.Stopped() {
		return nil
	}
	if m.maxLines >= 0 {
		return m.connectionChoices(w, r)
	}
	if n := w.Clients(); n < m.cfg.Clients {
		for _, class := range []lifemodel.Class{lifemodel.Safe, lifemodel.Unsafe, lifemodel.Keyed, lifemodel.Grouped} {
			add(lifemodel.Ask, n, 0, int(class))
		}
		for g := range m.cfg.Gateways {
			add(lifemodel.Ask, n, g, int(lifemodel.Inherited))
		}
		if n == 0 { // before the first request, the passing of time alone changes nothing
			return append(list, m.noticeChoices(w, r)...)
		}
	}
	live, ticks := false, false
	for c := range w.Clients() {
		q, view, conn, g := w.State(c)
		waits := view == lifemodel.Asking
		if waits && q.Inherited && (q.Attempts > maxInheritedAttempts || w.Elapsed() > maxInheritedTime) {
			add(script.Expire, c, 0, 0)
			continue
		}
		ticks = ticks || waits
		if waits || view == lifemodel.Served {
			live = true
			add(lifemodel.ClientLeaves, c, 0, 0)
			add(lifemodel.ClientFaults, c, 0, 0)
		}
		switch {
		case conn == lifemodel.Dialing:
			add(lifemodel.Connect, c, g, 0)
			add(lifemodel.ConnectFails, c, g, 0)
		case conn == lifemodel.RequestSent && q.Phase == lifecycle.Established:
			add(lifemodel.HostStalls, c, g, 0)
			add(lifemodel.HostGarbles, c, g, 0)
			add(lifemodel.HostEnds, c, g, 0)
		case conn == lifemodel.RequestSent:
			for o := lifemodel.HostUp; o <= lifemodel.HostGarbles; o++ {
				add(o, c, g, 0)
			}
		}
		if w.HasLateAttempt(c) && waits {
			add(lifemodel.LateUp, c, 0, 0)
			add(lifemodel.LateEnd, c, 0, 0)
		}
	}
	if !live {
		return list
	}
	add(lifemodel.StopNode, 0, 0, 1)
	if !ticks {
		return list
	}
	add(script.Advance, 0, 0, 0)
	return append(list, m.noticeChoices(w, r)...)
}

// noticeChoices returns the notices that discovery may send next.
func (m *Model) noticeChoices(w *script.World, r *run) (list []model.Step) {
	if r.notices >= m.cfg.Notices {
		return nil
	}
	for g := range m.cfg.Gateways {
		add := func(ops ...lifemodel.Op) {
			for _, o := range ops {
				arg := 0
				if o == lifemodel.NotifyGone { // reported by its absence from a full list, the harder way to notice it
					arg = script.FullList
				}
				list = append(list, lifemodel.Code(o, 0, g, arg))
			}
		}
		switch w.ListedState(g) {
		case balance.Ready:
			add(lifemodel.NotifyDrain, lifemodel.NotifyGone, lifemodel.NotifyRestart)
		case balance.Draining:
			add(lifemodel.NotifyReady, lifemodel.NotifyGone, lifemodel.NotifyRestart)
		case balance.Gone:
			add(lifemodel.NotifyRelisted)
		}
	}
	return list
}

// Describe implements model.Model.
func (m *Model) Describe(s State, step model.Step, _ State) string {
	lines := m.describeLastStep(s, step)
	text := ""
	for i, l := range lines {
		if i > 0 {
			text += "; "
		}
		text += l
	}
	return text
}

// describeLastStep replays a run and describes what its last step did and which rules it violated.
func (m *Model) describeLastStep(s State, last model.Step) (lines []string) {
	w := m.world(s.seed)
	follower := modelFollower{model: m.lifecycleModel, state: m.lifecycleModel.Initial()[0]}
	for _, step := range s.steps {
		_ = w.Do(step)
		follower.follow(w.TakenSteps())
	}
	from := w.Now()
	w.OnEvent(func(l string) { lines = append(lines, l) })
	crash, err := try(w, last)
	if err != nil {
		return []string{err.Error()}
	}
	if crash != "" {
		return append(lines, crash)
	}
	w.Check()
	if d := w.Now() - from; d > 0 {
		lines = append([]string{fmt.Sprintf("%v later", d)}, lines...)
	}
	follower.follow(w.TakenSteps())
	follower.compare(w, m.cfg.Clients)
	for _, b := range w.Violations() {
		lines = append(lines, "BROKEN "+b)
	}
	if follower.err != "" {
		lines = append(lines, "NOT ALLOWED BY THE LIFECYCLE MODEL: "+follower.err)
	}
	if len(lines) == 0 {
		lines = []string{"time passes"}
	}
	return lines
}

// modelFollower is the model of the request lifecycle, following the steps of the running code.
type modelFollower struct {
	model *lifemodel.Model
	state lifemodel.State
	err   string
}

// follow takes the steps of the model that correspond to what the running code did. A step that the model does not
// allow is an error.
func (f *modelFollower) follow(done []model.Step) {
	for _, d := range done {
		if f.err != "" {
			return
		}
		o, c, g, arg := lifemodel.Decode(d)
		if o == lifemodel.Ask && arg == script.MidFlow { // it is placed like a new one
			d = lifemodel.Code(lifemodel.Ask, c, 0, 0)
		}
		if o == lifemodel.StopNode {
			f.take(lifemodel.Code(lifemodel.Terminate, 0, 0, 0), "")
			_, _, _, arg := lifemodel.Decode(d)
			f.take(lifemodel.Code(lifemodel.StopAccepting, 0, 0, arg>>1), "")
			d = lifemodel.Code(lifemodel.StopNode, 0, 0, 1)
			f.takeStopNode(d)
			continue
		}
		f.take(d, fmt.Sprintf("%s, client %d, gateway %d", o, c+1, g+1))
	}
}

// takeStopNode takes the last step of the shutdown, whether or not the node's maximum stay was reached.
func (f *modelFollower) takeStopNode(d model.Step) {
	before := *f
	if f.take(d, "send-off"); f.err != "" {
		*f = before
		f.take(lifemodel.Code(lifemodel.StopNode, 0, 0, 0), "send-off")
	}
}

func (f *modelFollower) take(step model.Step, name string) {
	found := false
	f.model.Steps(f.state, func(s model.Step, next lifemodel.State) {
		if s == step && !found {
			found, f.state = true, next
		}
	})
	switch {
	case !found:
		f.err = name + " is not possible in this state"
	case f.model.Violated(f.state) != 0:
		f.err = name + " violates a property in this state"
	}
}

// compare checks that the running code and the model are in the same state.
func (f *modelFollower) compare(w *script.World, clients int) {
	if f.err != "" || f.state.NodeState == lifemodel.Stopped {
		return
	}
	for c := range min(clients, w.Clients()) {
		state, view, conn, g := w.State(c)
		modelClient := &f.state.Clients[c]
		finished := state.Phase == lifecycle.Finished
		attempts := state.Attempts
		if state.Inherited {
			attempts = min(attempts, 2)
		}
		modelGateway := -1
		for i := range f.state.Gateways {
			if f.state.Gateways[i].HasConn[c] && modelClient.Conn != lifemodel.NoConn {
				modelGateway = i
			}
		}
		if modelClient.Lifecycle.Phase != state.Phase || modelClient.View != view || modelClient.Conn != conn || modelGateway != g ||
			!finished && (modelClient.Lifecycle.Attempts != attempts || modelClient.Lifecycle.Inherited != state.Inherited) {
			f.err = fmt.Sprintf("client %d: request %+v, client view %d, connection state %d, gateway index %d; the model has %+v, %d, %d, %d",
				c+1, state, view, conn, g, modelClient.Lifecycle, modelClient.View, modelClient.Conn, modelGateway)
			return
		}
	}
}
