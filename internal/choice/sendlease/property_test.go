package sendlease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var hosts = []string{"a", "b", "c"}

// entry is the council's log up to one index: what its book would say there.
type entry struct {
	outs    []Out
	horizon Horizon
	ackLife uint64
	acked   uint64 // 0: none
}

// call is a question with the process that asked it.
type call struct {
	Question
	run int
}

// seat is one of two that lead in turn. One that was stopped believes on, and its view stands still.
type seat struct {
	table    *Table
	believes bool
	view     int // index into the log
	pending  []call
}

// world is one node and its council, by true time. The node's and the seats' clocks run apart by the drift at most.
type world struct {
	*rand.Rand
	t     *testing.T
	now   time.Duration
	rate  [3]float64 // of the node's clock and the seats'
	log   []entry
	seats [2]*seat
	lead  int
	round uint64
	clear map[string]uint64 // hosts that a seat took for clear of the node, with their rounds: it may have acted on it

	h         *Holder
	durable   Saved
	writing   *Saved
	loop      Verdict
	queue     []Verdict     // latest only
	taken     []Verdict     // that the loop has taken, on their way back
	asked     time.Duration // by the node's clock, of the newest question that was answered
	sent      map[uint64]time.Duration
	questions []call
	run       int
	answers   []Answer
	news      map[uint64]Answer
	until     time.Duration // of the last verdict looked at
	again     bool
	told      bool
	seen      map[string]int
	trace     []string
}

func (w *world) node() time.Duration { return time.Duration(float64(w.now) * w.rate[0]) }
func (w *world) at(s int) time.Duration {
	return time.Duration(float64(w.now) * w.rate[1+s])
}
func (w *world) top() entry { return w.log[len(w.log)-1] }

// commit appends to the log; the seat that leads sees it.
func (w *world) commit(e entry) {
	w.log = append(w.log, e)
	w.seats[w.lead].view = len(w.log) - 1
}

func (w *world) start() {
	w.run++
	w.h = NewHolder(terms, "n", w.durable)
	w.loop, w.queue, w.taken, w.answers, w.writing = w.h.Verdict(), nil, nil, nil, nil
	w.sent, w.asked, w.until, w.news = map[uint64]time.Duration{}, -time.Hour, 0, map[uint64]Answer{}
}

func pick[T any](w *world, list *[]T, keep bool) (x T, ok bool) {
	if len(*list) == 0 {
		return x, false
	}
	i := w.IntN(len(*list))
	x = (*list)[i]
	if !keep {
		*list = slices.Delete(slices.Clone(*list), i, i+1)
	}
	return x, true
}

func (w *world) step() string {
	keep := w.IntN(5) == 0 // it comes twice
	i := w.IntN(2)
	seat := w.seats[i]
	switch k := w.IntN(40); {
	case k < 6:
		q := w.h.Ask(w.node())
		w.sent[q.Seq] = w.node()
		w.questions = append(w.questions, call{q, w.run})
		for _, o := range q.Holds {
			require.Contains(w.t, w.durable.Outs, o, "R5: confirmed, not in the store")
			require.Contains(w.t, w.h.Verdict().Outs, o, "confirmed, not out")
			require.True(w.t, has(w.loop.Outs, o.Host), "R5: confirmed, not withheld at the loop")
		}
		require.True(w.t, q.Acked == 0 || slices.ContainsFunc(w.durable.Horizons, func(z Horizon) bool { return z.Version == q.Acked }), "R5: acknowledged, not stored")
		require.LessOrEqual(w.t, q.Acked, w.loop.Horizon, "R5: acknowledged, not in effect")
		return fmt.Sprint("asks ", q)
	case k < 12: // a question comes; only a leader that a quorum confirms then may answer it
		if q, ok := pick(w, &w.questions, keep); ok {
			if seat.believes {
				seat.table.Holds(w.at(i), q.Question)
				if top := w.top(); q.Acked > top.acked || q.Acked == top.acked && q.Acked > 0 && q.Life != top.ackLife {
					top.ackLife, top.acked = q.Life, q.Acked
					w.commit(top) // a seat that believes on passes what it proposes on
				}
			}
			if i == w.lead {
				seat.pending = append(seat.pending, q)
			}
			return fmt.Sprint("question comes to ", i, q)
		}
	case k < 18: // it answers, maybe after it was stopped
		if q, ok := pick(w, &seat.pending, false); ok {
			v := w.log[seat.view]
			a := Answer{Seq: q.Seq, Applied: uint64(seat.view), Outs: v.outs, Horizon: v.horizon}
			if v.ackLife == q.Life {
				a.Recorded = v.acked
			}
			seat.table.Answered(w.at(i), "n")
			if q.run == w.run {
				w.answers = append(w.answers, a)
			}
			return fmt.Sprint("seat answers ", i, a)
		}
	case k < 24:
		if a, ok := pick(w, &w.answers, keep); ok {
			last := w.h.answered
			save, changed := w.h.Answer(w.node(), a)
			if w.h.answered != last {
				w.asked, w.told, w.news[a.Seq] = max(w.asked, w.sent[a.Seq]), true, a
			}
			if save {
				require.LessOrEqual(w.t, w.h.Verdict().Until, w.until, "R5: a right before its news is durable")
				if w.again = w.writing != nil; !w.again { // the writer is busy, or not
					sv := w.h.Saved()
					w.writing = &sv
				}
			}
			if changed {
				w.queue = []Verdict{w.h.Verdict()}
			}
			return fmt.Sprint("answer comes ", a, save, changed)
		}
	case k < 27:
		if w.writing != nil {
			w.durable, w.writing = *w.writing, nil
			w.h.Stored()
			w.queue = []Verdict{w.h.Verdict()}
			if w.again {
				sv := w.h.Saved()
				w.writing, w.again = &sv, false
			}
			return fmt.Sprint("stored ", w.durable)
		}
	case k < 30:
		if len(w.queue) > 0 {
			w.loop, w.queue = w.queue[0], nil
			w.taken = append(w.taken, w.loop)
			return fmt.Sprint("loop takes ", w.loop)
		}
	case k < 33:
		if len(w.taken) > 0 {
			w.h.InEffect(w.taken[0])
			w.taken = w.taken[1:]
			return "loop's word comes"
		}
	case k == 33: // the process starts again, in the middle of a write or not
		if w.writing != nil && w.IntN(2) == 0 {
			w.durable = *w.writing
		}
		if w.IntN(4) == 0 {
			w.durable, w.told = Saved{Life: w.durable.Life + 1}, false
		}
		w.start()
		return fmt.Sprint("node starts with ", w.durable)
	case k == 34: // leadership moves, or the seat that believes on learns that it has
		if other := w.seats[1-w.lead]; other.believes {
			other.table.Resign()
			other.believes = false
			return "old leader learns"
		}
		w.lead = 1 - w.lead
		w.seats[w.lead].believes, w.seats[w.lead].view = true, len(w.log)-1
		w.seats[w.lead].table.Lead(w.at(w.lead))
		return fmt.Sprint("leads now: ", w.lead)
	case k == 35 || k == 36: // a host is taken out, or is back
		top, host := w.top(), hosts[w.IntN(3)]
		if has(top.outs, host) {
			top.outs = slices.DeleteFunc(slices.Clone(top.outs), func(o Out) bool { return o.Host == host })
			delete(w.clear, host)
		} else {
			w.round++
			top.outs = append(slices.Clone(top.outs), Out{host, w.round})
			slices.SortFunc(top.outs, func(x, y Out) int { return int(x.Host[0]) - int(y.Host[0]) })
		}
		w.commit(top)
		return fmt.Sprint("out now: ", top.outs)
	case k == 37:
		top := w.top()
		top.horizon = Horizon{top.horizon.Version + 1, []string{hosts[w.IntN(3)]}}
		w.commit(top)
		return fmt.Sprint("horizon ", top.horizon)
	default:
		w.now += time.Duration(w.Int64N(int64(8 * s)))
		return fmt.Sprint("time ", w.now)
	}
	return ""
}

// check looks at every property.
func (w *world) check() {
	now, top := w.node(), w.top()
	if u := w.h.Verdict().Until; u != w.until {
		w.until = u
		stored := false // the news of an answer that brings this right
		for seq, a := range w.news {
			stored = stored || w.sent[seq]+terms.Lasts == u && (w.durable.Applied >= a.Applied ||
				slices.Equal(a.Outs, w.durable.Outs) && a.Horizon.Version == w.durable.newest())
		}
		require.True(w.t, stored, "R5: a right before its news is durable")
	}
	for _, v := range []Verdict{w.loop, w.h.Verdict()} {
		require.LessOrEqual(w.t, v.Until, max(0, w.asked+terms.Lasts), "R4: counts from the question")
		if !w.told {
			require.True(w.t, v.Withholds("x", now), "R3")
		}
		if now >= v.Until {
			for _, z := range w.log {
				if z.horizon.Version == top.acked && top.acked > 0 {
					for _, host := range z.horizon.Hosts {
						require.True(w.t, v.Withholds(host, now), "R2")
					}
				}
			}
		}
		if w.seats[w.lead].table.Standing(w.at(w.lead), "n") == Lapsed {
			require.GreaterOrEqual(w.t, now, v.Until, "R4: the council counts longer")
		}
	}
	for i, s := range w.seats {
		if !s.believes {
			continue
		}
		view := w.log[s.view]
		for _, o := range view.outs {
			byHorizon := s.table.Standing(w.at(i), "n") == Lapsed && view.acked > 0 && slices.ContainsFunc(w.log, func(e entry) bool {
				return e.horizon.Version == view.acked && slices.Contains(e.horizon.Hosts, o.Host)
			})
			confirmed := s.table.Confirmed("n")[o.Host] == o.Round
			if (byHorizon || confirmed) && slices.Contains(top.outs, o) {
				w.clear[o.Host] = o.Round
				w.seen[fmt.Sprint("horizon ", byHorizon, " confirmed ", confirmed, " leads ", i == w.lead)]++
			}
		}
	}
	for _, host := range hosts {
		if w.clear[host] > 0 {
			require.True(w.t, w.loop.Withholds(host, now), "R1: %s is taken for clear", host)
		}
	}
}

// TestRightsUnderRandomSchedules walks schedules of loss, delay, repetition, restarts, late loops and two leaders.
func TestRightsUnderRandomSchedules(t *testing.T) {
	seen := map[string]int{}
	var w *world
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.rate, strings.Join(w.trace[max(0, len(w.trace)-100):], "\n"))
		}
	})
	for seed := range uint64(120) {
		r := rand.New(rand.NewPCG(seed, 1))
		w = &world{Rand: r, t: t, clear: map[string]uint64{}, seen: seen, durable: Saved{Life: 1}, log: []entry{{}}}
		for i := range w.rate {
			w.rate[i] = 1 + terms.Drift*float64(r.IntN(2))
			if i < 2 {
				w.seats[i] = &seat{table: NewTable(terms)}
			}
		}
		w.seats[0].believes = true
		w.seats[0].table.Lead(0)
		w.start()
		for range 1000 {
			if told := w.step(); told != "" {
				w.trace = append(w.trace, told)
			}
			w.check()
		}
	}
	t.Log(seen)
	for _, want := range []string{"horizon true confirmed false leads true", "horizon true confirmed false leads false",
		"horizon false confirmed true leads true", "horizon false confirmed true leads false"} {
		require.Greater(t, seen[want], 100, want)
	}
}
