// Package script is a scripted world round the real query core: it stands in for the clock, the clients, the server
// links and the host group, does one thing at a time as it is told, and has all that crosses the interfaces checked by
// package rules. Its vocabulary is that of the model of lives, so that a trace of the model can be played on the running
// code, and a run of the code be followed by the model.
package script

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/lifecycle"
	"lichenhitch/internal/query"
	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
	"lichenhitch/rehearsal/rules"
)

// The steps of a world that the model of lives has no word for.
const (
	// Advance lets time pass up to the next timer, which fires.
	Advance lifemodel.Op = iota + 64
	// AnswerProbe answers the oldest probe that is out; the argument is a percentage of the host's capacity, or one of
	// the codes below.
	AnswerProbe
	// Chat passes a line of a served client to its host, and Reply one back.
	Chat
	Reply
	// Expire lets time pass until the client's time is up, while nothing else happens.
	Expire
	// Pass lets a time pass, the argument times PassUnit, and all that is due in it.
	Pass
	// Suspend has operators take a host out, and Resume back.
	Suspend
	Resume
)

// PassUnit is the unit of Pass.
const PassUnit = 100 * time.Millisecond

// MidFlow is the argument of Ask for a connection whose packets some other node passed on so far; its class is the first.
const MidFlow = 16

// How long a connection may bring nothing back for a line of the client's: where nothing else comes from its host, and
// in any case. The sweep adds a moment.
const (
	silentFor = lifecycle.UnresponsiveAfter + 200*time.Millisecond
	stuckFor  = lifecycle.StuckAfter + 200*time.Millisecond
)

// Codes of AnswerProbe.
const (
	ProbeLost = 200 + iota
	ProbeRefused
)

// Config is what a world is made of.
type Config struct {
	Hosts    int
	Settings balance.Settings
	Seed     uint64
	Decider  query.Balancer          // nil: the real balancer
	Rule     query.StepFunc          // nil: that of the plant, the real one without a plant
	Constant func(*balance.Settings) // what the node goes by whatever its settings say: a planted bug; may be nil
	Strict   bool                    // a decider of one's own must place on ready hosts only, as the real one does
	Wait     time.Duration           // of each client
	Classes  []string                // by the argument of Ask; the last is that of inherited connections
	Plant    string                  // of the model's plants, those that concern the world's side
	Fleet    func(i int) balance.Listing
}

// World is a core with everything round it.
type World struct {
	Core     *query.Core
	Rules    *rules.Checker
	tap      *tap
	now      time.Duration
	cfg      Config
	seq      int
	timers   []*timer
	client   []*client
	links    []*link
	hosts    []*host
	probes   []balance.ServerID
	done     []model.Step                       // what was done, in the words of the model of lives
	off      bool                               // the node has stopped
	heard    map[balance.ServerID]time.Duration // when a line last came from a host
	sweeping bool
	tell     func(string) // of each thing that crosses an interface; may be nil
}

// start is the time at which worlds begin; clocks are never 0.
const start = time.Hour

type timer struct {
	w    *World
	at   time.Duration
	seq  int
	due  query.TimerEvent
	mark func() // instead of a call to the core
	off  bool
}

func (t *timer) Stop() { t.off = true }

type host struct {
	balance.Listing
	told     balance.State
	drains   int // told so far
	restarts int // that discovery has not told yet
}

// New returns a world whose hosts are all listed and ready.
func New(cfg Config) *World {
	w := &World{now: start, cfg: cfg, heard: map[balance.ServerID]time.Duration{}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	decider, rule, own := cfg.Decider, cfg.Rule, cfg.Settings
	if cfg.Constant != nil {
		cfg.Constant(&own)
	}
	if decider == nil {
		decider = balance.New(own, cfg.Seed)
	}
	if rule == nil {
		rule = lifemodel.RuleWithBug(cfg.Plant)
	}
	w.Rules = rules.New(rules.Limits{Start: start, DrainGrace: cfg.Settings.Safety.DrainGrace + 50*time.Millisecond,
		MaxAttempts: max(1, cfg.Settings.MaxAttempts), Balanced: cfg.Decider == nil || cfg.Strict}, cfg.Settings.Classes)
	w.tap = &tap{w, decider, map[balance.RequestID]*entry{}}
	w.Core = query.NewWith(log, w, own, w.tap, rule)
	w.Core.Connect(w, w)
	var all []balance.Listing
	for i := range cfg.Hosts {
		l := balance.Listing{Server: balance.ServerID(fmt.Sprint("g", i+1)), Weight: 1}
		if cfg.Fleet != nil {
			l = cfg.Fleet(i)
		}
		w.hosts = append(w.hosts, &host{Listing: l})
		all = append(all, l)
		w.Rules.Listed(w.now, l)
	}
	w.Core.List(balance.ListSaved, all)
	return w
}

// tap sees what the balancer decides.
type tap struct {
	w     *World
	inner query.Balancer
	books map[balance.RequestID]*entry
}

// entry is what the balancer has been told of a request.
type entry struct {
	placed  int
	pending bool
	parted  bool
}

// hear checks that what the balancer is told fits together: one end for each attempt, and nothing of others.
func (t *tap) hear(ev balance.Event) {
	wrong := func(id balance.RequestID, what string) {
		t.w.Rules.Note(t.w.now, fmt.Sprintf("the balancer hears of query %d %s", id, what))
	}
	switch e := ev.(type) {
	case balance.Arrival:
		if t.books[e.Request] != nil {
			wrong(e.Request, "a second time")
		}
		t.books[e.Request] = &entry{}
	case balance.Inherited:
		t.books[e.Request] = &entry{placed: 1, pending: true}
	case balance.Established:
		if b := t.books[e.Request]; b == nil || !b.pending || e.Attempt != b.placed-1 {
			wrong(e.Request, "that an attempt stands that is not pending")
		}
	case balance.Ended:
		b := t.books[e.Request]
		if b == nil || !b.pending || e.Attempt != b.placed-1 {
			wrong(e.Request, "the end of an attempt that is not pending")
			return
		}
		if t.w.client[e.Request-1].link != nil {
			wrong(e.Request, "the end of an attempt that is still open")
		}
		b.pending = false
	case balance.Departed:
		if b := t.books[e.Request]; b == nil || b.parted {
			wrong(e.Request, "that its client has left, out of place")
		} else {
			b.parted = true
		}
	}
}

// Handle implements query.Balancer.
func (t *tap) Handle(now time.Duration, ev balance.Event) []balance.Action {
	t.hear(ev)
	acts := t.inner.Handle(now, ev)
	for _, a := range acts {
		switch a := a.(type) {
		case balance.Place:
			if b := t.books[a.Request]; b != nil {
				b.placed++
				b.pending = true
			}
			t.w.note(lifemodel.Place, int(a.Request)-1, t.w.hostOf(a.Server), 0)
			t.w.say("the balancer places query %d on %s for %v", a.Request, a.Server, a.Timeout)
		case balance.Refuse:
			t.w.note(lifemodel.Refuse, int(a.Request)-1, 0, 0)
			t.w.say("the balancer refuses query %d", a.Request)
		case balance.Fail:
			t.w.note(lifemodel.GiveUp, int(a.Request)-1, 0, 0)
			t.w.say("the balancer gives query %d up", a.Request)
		case balance.Move:
			t.w.note(lifemodel.Move, int(a.Request)-1, 0, 0)
			t.w.say("the balancer moves query %d", a.Request)
		}
	}
	return acts
}

func (w *World) say(format string, args ...any) {
	if w.tell != nil {
		w.tell(fmt.Sprintf(format, args...))
	}
}

// note keeps what was done, for the model of lives to follow.
func (w *World) note(o lifemodel.Op, c, g, arg int) {
	w.done = append(w.done, lifemodel.Code(o, c, g, arg))
}

func (w *World) hostOf(s balance.ServerID) int {
	for i, h := range w.hosts {
		if h.Server == s {
			return i
		}
	}
	return -1
}

// Now implements query.Clock.
func (w *World) Now() time.Duration { return w.now }

// After implements query.Clock.
func (w *World) After(d time.Duration, due query.TimerEvent) query.Timer {
	t := &timer{w: w, at: w.now + max(d, 0), seq: w.seq, due: due}
	w.seq++
	w.timers = append(w.timers, t)
	return t
}

// mark has the world itself do something at a time, before any of the core's timers of that time.
func (w *World) mark(at time.Duration, f func()) {
	w.timers = append(w.timers, &timer{w: w, at: at, seq: -1, mark: f})
}

// next returns the place of the timer that fires next, or -1.
func (w *World) next() int {
	best := -1
	live := w.timers[:0]
	for _, t := range w.timers {
		if !t.off {
			live = append(live, t)
		}
	}
	clear(w.timers[len(live):])
	w.timers = live
	for i, t := range w.timers {
		if best < 0 || t.at < w.timers[best].at || t.at == w.timers[best].at && t.seq < w.timers[best].seq {
			best = i
		}
	}
	return best
}

// fire takes a timer off and lets it fire; the clock goes on to its time.
func (w *World) fire(i int) {
	t := w.timers[i]
	w.timers = append(w.timers[:i], w.timers[i+1:]...)
	w.now = max(w.now, t.at)
	if t.mark != nil {
		t.mark()
		return
	}
	c := int(t.due.Request) - 1
	switch t.due.Kind {
	case query.TimerDeadline:
		w.note(lifemodel.DeadlineFires, c, 0, 0)
		w.say("the guard of query %d fires", c+1)
	case query.TimerAttempt:
		w.note(lifemodel.AttemptTimeout, c, 0, 0)
		w.say("the attempt of query %d times out", c+1)
	case query.TimerRetry:
		w.note(lifemodel.RetryInherited, c, 0, 0)
	}
	if w.sweeping = t.due.Kind == query.TimerSweep; w.sweeping && w.cfg.Plant == "watch-asleep" {
		w.sweeping = false
		return
	}
	w.Core.Fire(t.due)
	w.sweeping = false
}

// hostSilent says whether some connection at a client's host has waited for a second, with nothing heard from there.
func (w *World) hostSilent(c *client) bool {
	for _, o := range w.client {
		if o.askedAt > 0 && o.server == c.server && w.now-o.askedAt >= lifecycle.UnresponsiveAfter && w.heard[o.server] < o.askedAt {
			return true
		}
	}
	return false
}

// checkSilence checks that nobody is left with a host that brings nothing back.
func (w *World) checkSilence() {
	for _, c := range w.client {
		if c.seen != lifemodel.Served || c.askedAt == 0 {
			continue
		}
		waited := w.now - c.askedAt
		if waited > stuckFor || waited > silentFor && w.heard[c.server] < c.askedAt {
			w.Rules.Note(w.now, fmt.Sprintf("client %d has had no line from its host for %v, and is not moved", c.id+1, waited))
		}
	}
}

// Probe implements query.Servers.
func (w *World) Probe(server balance.ServerID) {
	w.Rules.Probed(w.now, server)
	w.probes = append(w.probes, server)
}

// Subscribe implements query.Group.
func (w *World) Subscribe() {}

// Attempt implements query.Servers.
func (w *World) Attempt(t query.AttemptRef, server balance.ServerID, _ time.Duration) query.Attempt {
	l := &link{w: w, id: len(w.links), try: t, client: t.Client().(*client), server: server, open: true}
	w.links = append(w.links, l)
	w.Rules.Begun(w.now, l.id, l.client.id, server)
	w.say("a connection to %s is begun for query %d", server, l.client.id+1)
	l.client.link, l.client.server = l, server
	return l
}

// link is a connection to a host.
type link struct {
	w      *World
	id     int
	try    query.AttemptRef
	client *client
	server balance.ServerID
	sent   bool
	open   bool
	up     bool
	held   bool // the node has closed it, and the host may still speak
}

// Forward implements query.Attempt.
func (l *link) Forward([]byte) { l.w.Rules.Passed(l.w.now, l.id, l.client.id) }

// End implements query.Attempt.
func (l *link) End(bool) {
	if l.open {
		l.w.say("the connection of query %d to %s is closed", l.client.id+1, l.server)
		l.held = l.sent
	}
	l.shut()
	l.w.Rules.Closed(l.id)
}

// Sent implements query.Attempt.
func (l *link) Sent() bool { return l.sent }

// EndReceived implements query.Attempt. These hosts say no last word before they close.
func (l *link) EndReceived() bool { return false }

func (l *link) shut() {
	l.open = false
	if l.client.link == l {
		l.client.link = nil
	}
}

// client is a client with one query.
type client struct {
	w         *World
	id        int
	inherited bool
	query     *query.Request
	seen      lifemodel.ClientView
	server    balance.ServerID // of the last connection
	link      *link            // that is open
	chats     int              // lines sent
	askedAt   time.Duration    // of the oldest line that nothing came back for; 0: none
}

func (c *client) answer(a rules.Answer, by int) {
	c.w.say("client %d is answered %s", c.id+1, a)
	c.w.Rules.Answered(c.w.now, c.id, a, by)
	if c.seen == lifemodel.Asking {
		if c.seen = lifemodel.Finished; a == rules.Up {
			c.seen = lifemodel.Served
		}
	}
}

// Established implements query.Client.
func (c *client) Established(answer []byte) {
	by := -1
	_, _ = fmt.Sscanf(string(answer), "UP %d", &by)
	c.answer(rules.Up, by)
}

// Served implements query.Client.
func (c *client) Served([]byte) { c.answer(rules.Served, -1) }

// Throttle implements query.Client.
func (c *client) Throttle(time.Duration) { c.answer(rules.Throttled, -1) }

// Fail implements query.Client.
func (c *client) Fail() { c.answer(rules.Failed, -1) }

// Reject implements query.Client.
func (c *client) Reject(error) { c.answer(rules.Rejected, -1) }

// Forward implements query.Client.
func (c *client) Forward(line []byte) {
	by := -1
	_, _ = fmt.Sscanf(string(line), "line %d", &by)
	c.w.Rules.Passed(c.w.now, by, c.id)
}

// Move implements query.Client.
func (c *client) Move() { c.end(true) }

// End implements query.Client.
func (c *client) End(bool) { c.end(false) }

func (c *client) end(move bool) {
	if move && c.w.sweeping {
		c.w.note(lifemodel.Move, c.id, 0, 0)
		stuck := c.askedAt > 0 && c.w.now-c.askedAt >= lifecycle.StuckAfter
		if !stuck && !c.w.hostSilent(c) {
			c.w.Rules.Note(c.w.now, fmt.Sprintf("client %d is moved for silence, and its host has answered", c.id+1))
		}
	}
	c.w.say("client %d is told the end of its connection, MOVE: %v", c.id+1, move)
	c.w.Rules.Told(c.w.now, c.id, move)
	if c.seen == lifemodel.Served {
		c.seen = lifemodel.Finished
	}
}
