// Package coremodel explores the running code: the real query.Core with the real balance.Balancer, under a stepped
// clock, in a small world of clients, gateways and notices. Each state is a run from the start that is played anew for
// every step; two runs that leave the same state behind, down to the last field of the balancer, count as one.
//
// Every step of the running code must be one that the model of lives allows, from the state that the model is in then.
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

// Config is what is explored.
type Config struct {
	Gateways int
	Clients  int
	Attempts int
	Notices  int // of discovery, in one run
	Seeds    int // of the balancer's chance: 1 to this
	Plant    string
	Decider  func(query.Balancer) query.Balancer // wraps the balancer, for planted bugs; may be nil
	Rule     query.StepFunc                      // nil: the real one
}

const (
	wait  = 400 * time.Millisecond // that a client waits
	aim   = 100 * time.Millisecond
	grace = 250 * time.Millisecond
	// inheritedTries and inheritedFor bound what is explored of an inherited connection; the rest of its 40 s passes in
	// silence.
	inheritedTries = 2
	inheritedFor   = time.Second
)

var classes = []string{"safe", "unsafe", "keyed", "safe", "grouped"} // by lifemodel.Class

// settings are those of the small fleet: short times, so that a run has few moments at which anything may happen.
func (c Config) settings() balance.Settings {
	return balance.Settings{
		Balancers: 1, Zone: "z0", MaxAttempts: c.Attempts, Tick: time.Millisecond, MaxRetryAfter: time.Second,
		Classes: []balance.Class{
			{Name: "safe", LatencyTarget: aim, Deadline: wait, Effect: balance.Safe},
			{Name: "unsafe", LatencyTarget: aim, Deadline: wait, Effect: balance.Unsafe},
			{Name: "keyed", LatencyTarget: aim, Deadline: wait, Effect: balance.Keyed, Group: balance.GroupAll, Window: time.Minute},
			{Name: "grouped", LatencyTarget: aim, Deadline: wait, Effect: balance.Keyed, Group: balance.GroupZone, Window: time.Minute},
		},
		Safety: balance.Safety{DrainGrace: grace, AnswerSlack: 50 * time.Millisecond, ListRefreshInterval: 10 * time.Second,
			ColdCapacity: 0.3, WarmUp: 8 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second},
	}
}

// State is a run, and what is known of the state that it leads to.
type State struct {
	*run
}

type run struct {
	seed    uint64
	which   int // of an initial state: which of the beginnings it is
	steps   []model.Step
	print   uint64
	broken  uint32
	pending bool
	over    bool // nothing is left to happen
	notices int
	covered uint64
	choices []model.Step
}

// Model implements model.Model and model.Coverer.
type Model struct {
	cfg  Config
	life *lifemodel.Model
	set  balance.Settings
	// lines is how many each client may send; -1 where connections that stand are of no interest.
	lines   int
	horizon time.Duration // how long connections are looked at
}

// New returns the model.
func New(c Config) (*Model, error) {
	m, err := lifemodel.New(max(c.Gateways, 1), max(c.Clients, 1), c.Attempts, "")
	if err != nil {
		return nil, err
	}
	if c.Gateways < 1 || c.Clients < 1 {
		return nil, fmt.Errorf("gateways and clients: %d and %d are not both above 0", c.Gateways, c.Clients)
	}
	if c.Notices < 0 {
		return nil, fmt.Errorf("notices: %d is negative", c.Notices)
	}
	if c.Plant != "" && c.Decider == nil && c.Rule == nil {
		if err := c.plant(); err != nil {
			return nil, err
		}
	}
	m.Unreduced, m.NoSymmetry = true, true
	return &Model{cfg: c, life: m, set: c.settings(), lines: -1}, nil
}

// The safety properties.
const (
	badRules = iota
	badRefinement
	badKept
	badGuard
	badPanic
)

// Properties implements model.Model.
func (m *Model) Properties() []string {
	return []string{
		badRules:      "the rules hold on the wire",
		badRefinement: "every step is one of the model of lives",
		badKept:       "nothing is kept of a query that is over",
		badGuard:      "the balancer answers before the guard has to",
		badPanic:      "the running code does not panic",
	}
}

// Promises implements model.Model.
func (m *Model) Promises() []string { return []string{"every query taken is answered"} }

// Fair implements model.Model: time passes.
func (m *Model) Fair(s model.Step) model.Fairness {
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
		to = append(to, byte(s.print>>(8*i)))
	}
	return to
}

// Broken implements model.Model.
func (m *Model) Broken(s State) uint32 { return s.broken }

// Pending implements model.Model.
func (m *Model) Pending(s State) uint8 {
	if s.pending {
		return 1
	}
	return 0
}

// Done implements model.Model.
func (m *Model) Done(s State) bool { return s.over }

// Size tells how many bytes a state holds besides itself.
func (m *Model) Size(s State) int { return 120 + 4*(cap(s.steps)+cap(s.choices)) }

// Sights of the running code.
const (
	sawUp = iota
	sawLast
	sawDrain
	sawHeld
	sawInherited
	sawLeaving
	sawRestart
)

// Sights implements model.Coverer.
func (m *Model) Sights() []string {
	return []string{
		sawUp:        "a client is served",
		sawLast:      "the last attempt is out",
		sawDrain:     "a notice comes while an attempt is out",
		sawHeld:      "a gateway speaks of an attempt that is over",
		sawInherited: "an inherited connection is tried again",
		sawLeaving:   "the node stops while a query waits",
		sawRestart:   "a gateway starts anew while an attempt is out there",
	}
}

// Covered implements model.Coverer.
func (m *Model) Covered(s State) uint64 { return s.covered }

// Initial implements model.Model.
func (m *Model) Initial() []State {
	var list []State
	for seed := range max(1, m.cfg.Seeds) {
		for which, start := range m.starts(uint64(seed) + 1) {
			s, _ := m.play(uint64(seed)+1, start, nil)
			s.which = which
			list = append(list, s)
		}
	}
	return list
}

// starts returns the runs that everything else follows on.
func (m *Model) starts(seed uint64) [][]model.Step {
	if m.lines < 0 {
		return [][]model.Step{nil}
	}
	return [][]model.Step{m.served(seed, false), m.served(seed, true)}
}

// Start returns the state to start from with a seed of the balancer's, counted from 1,
// and one of the beginnings, from 0: the model of connections has two.
func (m *Model) Start(seed uint64, which int) (State, error) {
	if seed < 1 || seed > uint64(max(1, m.cfg.Seeds)) {
		return State{}, fmt.Errorf("seed: %d is not within 1 to %d", seed, max(1, m.cfg.Seeds))
	}
	starts := m.starts(seed)
	if which < 0 || which >= len(starts) {
		return State{}, fmt.Errorf("start: %d is not within 0 to %d", which, len(starts)-1)
	}
	s, err := m.play(seed, starts[which], nil)
	s.which = which
	return s, err
}

// Play takes one step. An error says why it is not possible there.
func (m *Model) Play(s State, step model.Step) (State, error) { return m.play(s.seed, s.steps, &step) }

// Which returns which of the beginnings an initial state is.
func (s State) Which() int { return s.which }

// Seed returns the seed of the balancer's that a state was reached with.
func (s State) Seed() uint64 { return s.seed }

// Steps implements model.Model.
func (m *Model) Steps(s State, yield func(model.Step, State)) {
	if s.broken != 0 {
		return
	}
	for _, c := range s.choices {
		next, err := m.play(s.seed, s.steps, &c)
		if err != nil {
			panic(fmt.Sprintf("coremodel: %v after %v", err, s.steps))
		}
		yield(c, next)
	}
}

// world returns a world at the start.
func (m *Model) world(seed uint64) *script.World {
	cfg := script.Config{Hosts: m.cfg.Gateways, Settings: m.set, Seed: seed, Wait: wait, Classes: classes, Plant: m.cfg.Plant,
		Fleet: func(i int) balance.Listing { // the first and the last of three stand in one zone
			return balance.Listing{Server: balance.ServerID(fmt.Sprint("g", i+1)), Weight: 1, Zone: fmt.Sprint("z", i%2)}
		},
		Rule: m.cfg.Rule}
	if cfg.Rule == nil {
		cfg.Rule = lifecycle.Step
	}
	if m.cfg.Decider != nil {
		cfg.Decider = m.cfg.Decider(balance.New(m.set, seed))
		cfg.Strict = true
	}
	return script.New(cfg)
}

// play plays a run, with one step more if there is one, and looks at where it leads.
func (m *Model) play(seed uint64, steps []model.Step, more *model.Step) (State, error) {
	w := m.world(seed)
	f := follower{m: m.life, s: m.life.Initial()[0]}
	r := &run{seed: seed}
	all := steps
	if more != nil {
		all = append(append(make([]model.Step, 0, len(steps)+1), steps...), *more)
	}
	r.steps = all
	for _, step := range all {
		crash, err := try(w, step)
		if err != nil {
			return State{}, err
		}
		if crash != "" {
			r.broken |= 1 << badPanic
			r.print = xxhash.Sum64String(crash)
			return State{r}, nil
		}
		done := w.Done()
		f.follow(done)
		f.compare(w, m.cfg.Clients)
		r.note(w, step, done, &f.s, min(m.cfg.Attempts, m.cfg.Gateways))
	}
	w.Check()
	if len(w.Broken()) > 0 {
		r.broken |= 1 << badRules
	}
	if f.err != "" {
		r.broken |= 1 << badRefinement
	}
	if q, b := w.Kept(); !w.Stopped() && (q != w.Live() || b > w.Live()) {
		r.broken |= 1 << badKept
	}
	r.pending = w.Owed()
	r.choices = m.choices(w, r)
	r.over = len(r.choices) == 0
	r.print = xxhash.Sum64(w.Fingerprint(m.life.Encode([]byte{byte(r.notices)}, f.s)))
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

// note keeps what a step showed.
func (r *run) note(w *script.World, step model.Step, done []model.Step, s *lifemodel.State, most int) {
	o, _, _, _ := lifemodel.Decode(step)
	if o >= lifemodel.TellDrain && o <= lifemodel.TellRestart {
		r.notices++
	}
	for _, d := range done {
		o, c, g, _ := lifemodel.Decode(d)
		switch o {
		case lifemodel.Due:
			if q, _, _, _ := w.State(c); !q.Inherited { // the balancer has no part in inherited ones
				r.broken |= 1 << badGuard
			}
		case lifemodel.Again:
			r.covered |= 1 << sawInherited
		case lifemodel.TellDrain, lifemodel.TellGone, lifemodel.TellRestart:
			for i := range s.Clients {
				if s.Clients[i].Link != lifemodel.NoLink && s.Gateways[g].Out[i] {
					r.covered |= 1 << sawDrain
					if o == lifemodel.TellRestart {
						r.covered |= 1 << sawRestart
					}
				}
			}
		case lifemodel.SendOff:
			r.covered |= 1 << sawLeaving
		}
	}
	for i := range s.Clients {
		if s.Clients[i].Life.Phase == lifecycle.Established {
			r.covered |= 1 << sawUp
		}
		if q := &s.Clients[i]; q.Life.Phase == lifecycle.Trying && !q.Life.Inherited && int(q.Life.Attempts) == most {
			r.covered |= 1 << sawLast
		}
		if i < w.Clients() && w.Held(i) && s.Clients[i].Life.AwaitsAnswer() {
			r.covered |= 1 << sawHeld
		}
	}
}

// choices lists what may happen next. Once nobody waits, nothing more is of interest but the end of what stands, and the
// clock stands still.
func (m *Model) choices(w *script.World, r *run) (list []model.Step) {
	add := func(o lifemodel.Op, c, g, arg int) { list = append(list, lifemodel.Code(o, c, g, arg)) }
	if w.Stopped() {
		return nil
	}
	if m.lines >= 0 {
		return m.connections(w, r)
	}
	if n := w.Clients(); n < m.cfg.Clients {
		for _, class := range []lifemodel.Class{lifemodel.Safe, lifemodel.Unsafe, lifemodel.Keyed, lifemodel.Grouped} {
			add(lifemodel.Ask, n, 0, int(class))
		}
		for g := range m.cfg.Gateways {
			add(lifemodel.Ask, n, g, int(lifemodel.Inherited))
		}
		if n == 0 { // before the first query, time alone changes nothing
			return append(list, m.noticesOf(w, r)...)
		}
	}
	live, ticks := false, false
	for c := range w.Clients() {
		q, seen, stage, g := w.State(c)
		waits := seen == lifemodel.Asking
		if waits && q.Inherited && (q.Attempts > inheritedTries || w.Elapsed() > inheritedFor) {
			add(script.Expire, c, 0, 0)
			continue
		}
		ticks = ticks || waits
		if waits || seen == lifemodel.Served {
			live = true
			add(lifemodel.Leave, c, 0, 0)
			add(lifemodel.Interject, c, 0, 0)
		}
		switch {
		case stage == lifemodel.Dialing:
			add(lifemodel.Connect, c, g, 0)
			add(lifemodel.NoLuck, c, g, 0)
		case stage == lifemodel.Sent && q.Phase == lifecycle.Established:
			add(lifemodel.Clog, c, g, 0)
			add(lifemodel.Garble, c, g, 0)
			add(lifemodel.Break, c, g, 0)
		case stage == lifemodel.Sent:
			for o := lifemodel.SayUp; o <= lifemodel.Garble; o++ {
				add(o, c, g, 0)
			}
		}
		if w.Held(c) && waits {
			add(lifemodel.LateUp, c, 0, 0)
			add(lifemodel.LateEnd, c, 0, 0)
		}
	}
	if !live {
		return list
	}
	add(lifemodel.SendOff, 0, 0, 1)
	if !ticks {
		return list
	}
	add(script.Advance, 0, 0, 0)
	return append(list, m.noticesOf(w, r)...)
}

// noticesOf lists what discovery may tell next.
func (m *Model) noticesOf(w *script.World, r *run) (list []model.Step) {
	if r.notices >= m.cfg.Notices {
		return nil
	}
	for g := range m.cfg.Gateways {
		add := func(ops ...lifemodel.Op) {
			for _, o := range ops {
				arg := 0
				if o == lifemodel.TellGone { // told by its absence: the harder way to hear of it
					arg = script.Whole
				}
				list = append(list, lifemodel.Code(o, 0, g, arg))
			}
		}
		switch w.Told(g) {
		case balance.Ready:
			add(lifemodel.TellDrain, lifemodel.TellGone, lifemodel.TellRestart)
		case balance.Draining:
			add(lifemodel.TellReady, lifemodel.TellGone, lifemodel.TellRestart)
		case balance.Gone:
			add(lifemodel.TellBack)
		}
	}
	return list
}

// Describe implements model.Model.
func (m *Model) Describe(s State, step model.Step, _ State) string {
	lines := m.tell(s, step)
	text := ""
	for i, l := range lines {
		if i > 0 {
			text += "; "
		}
		text += l
	}
	return text
}

// tell plays a run and tells what its last step did, and what it broke.
func (m *Model) tell(s State, last model.Step) (lines []string) {
	w := m.world(s.seed)
	f := follower{m: m.life, s: m.life.Initial()[0]}
	for _, step := range s.steps {
		_ = w.Do(step)
		f.follow(w.Done())
	}
	from := w.Now()
	w.Tell(func(l string) { lines = append(lines, l) })
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
	f.follow(w.Done())
	f.compare(w, m.cfg.Clients)
	for _, b := range w.Broken() {
		lines = append(lines, "BROKEN "+b)
	}
	if f.err != "" {
		lines = append(lines, "NOT IN THE MODEL OF LIVES: "+f.err)
	}
	if len(lines) == 0 {
		lines = []string{"time passes"}
	}
	return lines
}

// follower is the model of lives, going the same way as the running code.
type follower struct {
	m   *lifemodel.Model
	s   lifemodel.State
	err string
}

// follow takes the model's steps for what the running code did. A step that the model does not allow is an error.
func (f *follower) follow(done []model.Step) {
	for _, d := range done {
		if f.err != "" {
			return
		}
		o, c, g, arg := lifemodel.Decode(d)
		if o == lifemodel.Ask && arg == script.MidFlow { // it is placed like a new one
			d = lifemodel.Code(lifemodel.Ask, c, 0, 0)
		}
		if o == lifemodel.SendOff {
			f.take(lifemodel.Code(lifemodel.Term, 0, 0, 0), "")
			_, _, _, arg := lifemodel.Decode(d)
			f.take(lifemodel.Code(lifemodel.ShutDoor, 0, 0, arg>>1), "")
			d = lifemodel.Code(lifemodel.SendOff, 0, 0, 1)
			f.leave(d)
			continue
		}
		f.take(d, fmt.Sprintf("%s, client %d, gateway %d", o, c+1, g+1))
	}
}

// leave takes the end of a departure, whether the node's time was over or not.
func (f *follower) leave(d model.Step) {
	before := *f
	if f.take(d, "send-off"); f.err != "" {
		*f = before
		f.take(lifemodel.Code(lifemodel.SendOff, 0, 0, 0), "send-off")
	}
}

func (f *follower) take(step model.Step, name string) {
	found := false
	f.m.Steps(f.s, func(s model.Step, next lifemodel.State) {
		if s == step && !found {
			found, f.s = true, next
		}
	})
	switch {
	case !found:
		f.err = name + " is not possible there"
	case f.m.Broken(f.s) != 0:
		f.err = name + " breaks a property there"
	}
}

// compare checks that the running code and the model are in the same state.
func (f *follower) compare(w *script.World, n int) {
	if f.err != "" || f.s.Stay == lifemodel.Stopped {
		return
	}
	for c := range min(n, w.Clients()) {
		q, seen, stage, g := w.State(c)
		m := &f.s.Clients[c]
		over := q.Phase == lifecycle.Finished
		tries := q.Attempts
		if q.Inherited {
			tries = min(tries, 2)
		}
		out := -1
		for i := range f.s.Gateways {
			if f.s.Gateways[i].Out[c] && m.Link != lifemodel.NoLink {
				out = i
			}
		}
		if m.Life.Phase != q.Phase || m.Seen != seen || m.Link != stage || out != g ||
			!over && (m.Life.Attempts != tries || m.Life.Inherited != q.Inherited) {
			f.err = fmt.Sprintf("client %d is at %+v, seen %d, link %d to %d; the model has %+v, seen %d, link %d to %d",
				c+1, q, seen, stage, g, m.Life, m.Seen, m.Link, out)
			return
		}
	}
}
