package balance_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lichenhitch/balance"
)

// world sends random but valid events to one balancer and checks the rules that are observable at a single balancer.
type world struct {
	t        *testing.T
	b        *balance.Balancer
	set      balance.Settings
	rng      *rand.Rand
	now      time.Duration
	listed   map[string]balance.Listing
	banned   map[string]bool // banned by an operator
	ids      []string
	requests map[balance.RequestID]*requestState
	order    []balance.RequestID
	timers   []timer
	probes   []string
	lastID   balance.RequestID
}

type timer struct {
	at    time.Duration
	token uint64
}

type requestState struct {
	class       string
	deadline    time.Duration
	answered    bool
	established bool
	over        bool
	attempts    []attemptState
}

type attemptState struct {
	server  string
	sent    time.Duration
	due     time.Duration
	pending bool
	mayRun  bool
}

func newWorld(t *testing.T, seed uint64) *world {
	set := settings()
	rng := rand.New(rand.NewPCG(seed, 1))
	set.Probes = rng.IntN(2) == 0
	set.Balancers = []int{0, 1, 7, 300}[rng.IntN(4)]
	set.ListOnRequest = rng.IntN(2) == 0
	set.MaxRetryAfter = sec
	return &world{t: t, b: balance.New(set, seed), set: set, rng: rng, now: time.Duration(rng.Int64N(int64(time.Hour))),
		listed: map[string]balance.Listing{}, banned: map[string]bool{}, requests: map[balance.RequestID]*requestState{}}
}

func (w *world) send(ev balance.Event) {
	for _, a := range w.b.Handle(w.now, ev) {
		w.check(a)
	}
}

func (w *world) check(a balance.Action) {
	switch a := a.(type) {
	case balance.Place:
		w.checkPlace(a)
	case balance.Refuse:
		r := w.answer(a.Request)
		for _, attempt := range r.attempts {
			refusable := r.class == "safe" || r.class == "keyed-all" || r.class == "keyed-short"
			if attempt.mayRun && !refusable {
				w.t.Fatalf("%s request refused though an attempt may have run", r.class)
			}
		}
	case balance.Fail:
		w.answer(a.Request)
	case balance.SetTimer:
		w.timers = append(w.timers, timer{w.now + a.After, a.Token})
	case balance.Probe:
		if !w.set.Probes {
			w.t.Fatal("probe although probes are not permitted")
		}
		if w.banned[string(a.Server)] {
			w.t.Fatalf("probe of %s, which is suspended", a.Server)
		}
		w.probes = append(w.probes, string(a.Server))
	case balance.Move:
		if r := w.requests[a.Request]; r == nil || !r.established {
			w.t.Fatal("move of a connection that is not established")
		}
	case balance.Tell:
		w.t.Fatal("message to a peer although these are not permitted")
	}
}

func (w *world) answer(id balance.RequestID) *requestState {
	r := w.requests[id]
	if r == nil || r.answered || r.over {
		w.t.Fatalf("second answer to %d", id)
	}
	if w.now > r.deadline+w.set.Safety.AnswerSlack {
		w.t.Fatalf("answer %v after the deadline", w.now-r.deadline)
	}
	r.answered, r.over = true, true
	return r
}

func (w *world) checkPlace(a balance.Place) {
	r := w.requests[a.Request]
	if r == nil || r.over {
		w.t.Fatalf("attempt for %d, which is over", a.Request)
	}
	if l, ok := w.listed[string(a.Server)]; !ok || l.State != balance.Ready {
		w.t.Fatalf("attempt on %s, which is not ready", a.Server)
	}
	if w.banned[string(a.Server)] {
		w.t.Fatalf("attempt on %s, which is suspended", a.Server)
	}
	if len(r.attempts) >= w.set.MaxAttempts {
		w.t.Fatal("too many attempts")
	}
	for _, t := range r.attempts {
		if t.pending {
			w.t.Fatal("two attempts pending")
		}
		if !t.mayRun || r.class == "safe" {
			continue
		}
		here, there := w.listed[string(a.Server)], w.listed[t.server]
		known := there.Server != ""
		switch {
		case r.class == "unsafe",
			r.class == "keyed-zone" && known && here.Zone != there.Zone,
			r.class == "keyed-cell" && known && here.Cell != there.Cell,
			r.class == "keyed-short" && w.now >= t.sent+100*ms,
			w.now >= t.sent+5*sec:
			w.t.Fatalf("%s request repeated though an attempt may have run", r.class)
		}
	}
	due := r.deadline
	if a.Timeout > 0 {
		due = min(due, w.now+a.Timeout)
	}
	r.attempts = append(r.attempts, attemptState{server: string(a.Server), sent: w.now, due: due, pending: true})
}

// step sends one random event.
func (w *world) step(choice byte) {
	w.now += time.Duration(w.rng.Int64N(int64(40 * ms)))
	w.fireDue()
	switch choice % 9 {
	case 0:
		w.changeList()
	case 1, 2, 3:
		w.arrive()
	case 4, 5:
		w.finish()
	case 6:
		w.answerProbe()
	case 7:
		w.send(balance.MessageLatency{Request: w.lastID, Took: time.Duration(w.rng.Int64N(int64(sec)))})
	case 8:
		w.toggleBan()
	}
}

// toggleBan suspends or resumes a server, whether or not it is listed or suspended.
func (w *world) toggleBan() {
	if len(w.ids) == 0 {
		return
	}
	id := w.ids[w.rng.IntN(len(w.ids))]
	if w.banned[id] = w.rng.IntN(3) == 0; w.banned[id] {
		w.send(balance.Suspend{Server: balance.ServerID(id)})
	} else {
		w.send(balance.Resume{Server: balance.ServerID(id)})
	}
}

// fireDue delivers the timers and attempt time-outs that are due, in order of time.
func (w *world) fireDue() {
	end := w.now
	for {
		next, at := -1, end
		for i, t := range w.timers {
			if t.at <= at {
				next, at = i, t.at
			}
		}
		var late *requestState
		var lateID balance.RequestID
		for _, id := range w.order {
			r := w.requests[id]
			if n := len(r.attempts); n > 0 && r.attempts[n-1].pending && !r.established && r.attempts[n-1].due <= at {
				late, lateID, at, next = r, id, r.attempts[n-1].due, -1
			}
		}
		switch {
		case late != nil:
			w.now = max(at, 0)
			w.end(lateID, late, balance.TimedOut)
		case next >= 0:
			w.now = at
			token := w.timers[next].token
			w.timers = append(w.timers[:next], w.timers[next+1:]...)
			w.send(balance.TimerFired{Token: token})
		default:
			w.now = end
			return
		}
	}
}

func (w *world) end(id balance.RequestID, r *requestState, o balance.Outcome) {
	n := len(r.attempts) - 1
	t := &r.attempts[n]
	t.pending = false
	t.mayRun = o != balance.Full && o != balance.Unreachable && o != balance.Unsent
	r.over = r.over || r.established || o == balance.OK
	r.established = false
	w.send(balance.Ended{Request: id, Attempt: n, Outcome: o, Final: r.over})
	if !r.over && w.now >= r.deadline {
		w.t.Fatalf("no answer after the time-out at the deadline")
	}
}

func (w *world) arrive() {
	w.lastID++
	left := time.Duration(w.rng.Int64N(int64(2 * sec)))
	class := []string{"safe", "unsafe", "keyed-all", "keyed-zone", "keyed-cell", "keyed-short"}[w.rng.IntN(6)]
	w.requests[w.lastID] = &requestState{class: class, deadline: w.now + left}
	w.order = append(w.order, w.lastID)
	w.send(balance.Arrival{Request: w.lastID, Class: class, TimeLeft: left, Load: w.rng.NormFloat64() * 1000,
		MidFlow: w.rng.IntN(9) == 0, Returning: w.rng.IntN(9) == 0, Group: []string{"", "g", "h"}[w.rng.IntN(3)]})
}

func (w *world) finish() {
	for _, i := range w.rng.Perm(len(w.order)) {
		id := w.order[i]
		r := w.requests[id]
		n := len(r.attempts) - 1
		if n < 0 || !r.attempts[n].pending {
			continue
		}
		if !r.established && !r.over && w.rng.IntN(2) == 0 {
			r.established = true
			w.send(balance.Established{Request: id, Attempt: n})
			return
		}
		w.end(id, r, []balance.Outcome{balance.OK, balance.Errored, balance.Full, balance.Unreachable, balance.Reset,
			balance.Cancelled, balance.Unsent}[w.rng.IntN(7)])
		return
	}
}

func (w *world) answerProbe() {
	if len(w.probes) == 0 {
		return
	}
	s := w.probes[0]
	w.probes = w.probes[1:]
	w.send(balance.Probed{Server: balance.ServerID(s), Outcome: balance.Outcome(w.rng.IntN(6)),
		Report: balance.Report{Known: balance.Metric(w.rng.IntN(256)), Ratio: w.rng.NormFloat64() + 0.5,
			Held: w.rng.NormFloat64() * 30, Busy: w.rng.Float64()}})
}

func (w *world) changeList() {
	if len(w.ids) < 12 || w.rng.IntN(6) == 0 {
		w.ids = append(w.ids, fmt.Sprint("s", len(w.ids)))
	}
	id := w.ids[w.rng.IntN(len(w.ids))]
	last := int(id[len(id)-1]) // a server keeps its zone and cell
	l := listing(id, []string{"here", "there"}[last%2], last%3)
	if old, ok := w.listed[id]; ok {
		l = old
	}
	l.State = balance.State(w.rng.IntN(3))
	if w.rng.IntN(4) == 0 {
		l.Started = w.now
	}
	if l.State == balance.Gone {
		delete(w.listed, id)
	} else {
		w.listed[id] = l
	}
	w.send(balance.ServerList{Kind: balance.ListChanges, Entries: []balance.Listing{l}})
}

// finishAll lets all timers expire: every request must have its answer.
func (w *world) finishAll() {
	for range 200 {
		w.now += 50 * ms
		w.fireDue()
	}
	for id, r := range w.requests {
		pending := len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].pending
		if !r.over && !r.established && !pending {
			w.t.Fatalf("request %d got no answer", id)
		}
	}
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		w := newWorld(t, seed)
		for range 400 {
			w.step(byte(w.rng.IntN(256)))
		}
		w.finishAll()
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x00\x00\x00\x00\x01 a seed and some choices"))
	f.Add([]byte("\x00\x00\x00\x00\x00\x00\x00\x02\x00\x01\x04\x01\x04\x00\x06\x07"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) < 8 || len(data) > 2000 {
			return
		}
		w := newWorld(t, binary.BigEndian.Uint64(data))
		for _, choice := range data[8:] {
			w.step(choice)
		}
		w.finishAll()
	})
}
