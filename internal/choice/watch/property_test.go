package watch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// mode is what a call meets while discovery cannot be reached.
type mode int

const (
	refuses   mode = iota // the connection is refused at once
	swallows              // the connection does not come up; it is given up after a second
	resets                // the connection is reset while the call waits
	fails                 // 503 after the call has waited for its turn
	keepsMum              // nothing comes
	modeCount = int(keepsMum) + 1
)

// dialTimeout is when the client gives a connection up that does not come up.
const dialTimeout = time.Second

// outage is a time in which discovery cannot be reached.
type outage struct {
	from, to time.Duration
	mode     mode
	silently bool // watches that are open stay open and bring nothing, and are not reset
}

// world is discovery as one watch meets it, in virtual time.
type world struct {
	rng     *rand.Rand
	watch   Watch
	now     time.Duration
	out     outage
	changes []time.Duration // when discovery had each
	known   []time.Duration // when the node had it; 0: not yet
	wake    time.Duration
	slowest time.Duration // answer
	end     time.Duration // when that call ends; 0: never by itself
	kind    Kind          // how
	patient bool          // the last call that met an outage is one that is given all of CallWithin
	calls   int
}

const never = 1000 * time.Hour

// latency is how long discovery takes for a call that it serves.
func (w *world) latency() time.Duration {
	if w.rng.IntN(4) == 0 {
		return w.slowest
	}
	return time.Duration(w.rng.Int64N(int64(w.slowest)))
}

func (w *world) reachable(at time.Duration) bool { return at < w.out.from || at >= w.out.to }

// news returns when discovery has news that the node does not have.
func (w *world) news() time.Duration {
	for i, at := range w.changes {
		if w.known[i] == 0 {
			return at
		}
	}
	return never
}

// made decides how a call that is made now is going to end.
func (w *world) made(form Form) {
	w.calls++
	if !w.reachable(w.now) {
		w.patient = w.watch.Silent%patientEvery == patientEvery-1
		w.meets()
		return
	}
	w.kind, w.end = Answered, w.now+w.latency()
	if news := w.news(); form == Held && news > w.now {
		w.end = min(w.now+Hold, news) + min(w.latency(), Overdue/2)
	}
	if w.end > w.out.from && w.now < w.out.from { // discovery goes down under the call
		w.kind, w.end = Broken, w.out.from
		if w.out.silently {
			w.end = never
		}
	}
}

// meets decides how a call ends that discovery cannot take.
func (w *world) meets() {
	switch w.out.mode {
	case refuses:
		w.kind, w.end = Broken, w.now+time.Millisecond
	case swallows:
		w.kind, w.end = Broken, w.now+dialTimeout
	case resets:
		w.kind, w.end = Broken, w.now+time.Duration(w.rng.Int64N(int64(CallWithin)))
	case fails:
		w.kind, w.end = Refused, w.now+time.Duration(w.rng.Int64N(int64(CallWithin)))
	default:
		w.end = never
	}
}

// step brings an event and carries the order out.
func (w *world) step(k Kind) {
	if k == Answered {
		for i, at := range w.changes {
			if w.known[i] == 0 && at <= w.now {
				w.known[i] = w.now
			}
		}
	}
	chance := w.rng.Float64()
	if w.rng.IntN(3) == 0 {
		chance = most
	}
	var o Order
	w.watch, o = w.watch.Step(Event{Kind: k, Now: w.now, Chance: chance})
	if o.Wake > 0 {
		w.wake, w.end = o.Wake, never
	}
	if o.Call {
		w.made(o.Form)
	}
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	w.step(Start)
	for {
		next := min(w.wake, w.end)
		if next > until {
			return
		}
		w.now = next
		if w.end <= w.wake {
			w.step(w.kind)
		} else {
			w.step(Due)
		}
	}
}

func newWorld(seed uint64, terms Terms) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0)), watch: Watch{Terms: terms, Listed: true}, now: time.Second, end: never,
		wake: never, slowest: CallWithin - 2*time.Millisecond} // the slowest that is still served
	from := 5*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	w.out = outage{from: from, to: from + time.Duration(w.rng.Int64N(int64(12*time.Second))), mode: mode(w.rng.IntN(modeCount)),
		silently: w.rng.IntN(2) == 0}
	return w
}

func (w *world) change(at time.Duration) {
	w.changes, w.known = append(w.changes, at), append(w.known, 0)
}

const seeds = 20000

// Term 1, W1: from whatever moment discovery can be reached again, however it was lost and whatever call, pause or watch was
// under way, the node has its list within Told. A term of 6 s with Reserve kept back is what is asserted.
func TestTheListIsThereWithinSixSecondsOfTheReturn(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(seeds) {
		terms := asks
		if seed%3 == 0 {
			terms = pushed
			terms.Grace = 4 * time.Second // discovery is as slow as it may be here, other than an agent
		}
		w := newWorld(seed, terms)
		w.change(w.out.from + time.Duration(w.rng.Float64()*float64(w.out.to-w.out.from)))
		w.run(w.out.to + 20*time.Second)
		require.NotZero(t, w.known[0], "seed %d: never: %+v", seed, w.out)
		took := w.known[0] - w.out.to
		worst = max(worst, took)
		require.LessOrEqual(t, took, Told-Reserve, "seed %d: %+v", seed, w.out)
	}
	t.Logf("worst of %d: %s", seeds, worst)
	assert.Greater(t, worst, Told-Reserve-Spread, "the worst case is among them")
}

// Term 2, W2: what a silent watch misses is there 6 s after it fell silent, or 2 s after it was made if that is later.
func TestWhatASilentWatchMissesIsThereWithinSixSeconds(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(seed, asks)
		w.out = outage{from: w.out.from, to: w.out.from, silently: true} // only what is open is hit
		w.change(w.out.from + time.Duration(w.rng.Int64N(int64(8*time.Second))))
		w.run(w.out.to + 20*time.Second)
		require.NotZero(t, w.known[0], "seed %d", seed)
		require.LessOrEqual(t, w.known[0], max(w.out.from+Told-Reserve, w.changes[0]+CallWithin), "seed %d", seed)
	}
}

// Term 4, W3: what an agent gets at the return of discovery, which counts at once, is there well within the grace. An agent is
// local and answers within milliseconds; while discovery is down it says nothing, or its address refuses.
func TestWhatAnAgentGetsIsThereWithinTheGrace(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(seed, pushed)
		if w.out.mode != refuses {
			w.out.mode = keepsMum
		}
		w.change(w.out.to)
		w.slowest = agentTakes
		w.run(w.out.to + 20*time.Second)
		require.NotZero(t, w.known[0], "seed %d: %+v", seed, w.out)
		within := AgentRetry + agentTakes
		switch {
		case w.out.silently: // W2: there is one clock for silence
			within = Told - Reserve
		case w.patient && w.out.mode == keepsMum:
			within += CallWithin
		case w.out.mode == keepsMum:
			within += pushed.Grace / 2
		}
		require.LessOrEqual(t, w.known[0]-w.out.to, within, "seed %d: %+v", seed, w.out)
	}
}

// agentTakes is how long a local agent takes for an answer, at most.
const agentTakes = 20 * time.Millisecond

// Three hundred nodes whose watches are lost together call discovery no more than four times a second each while it is down,
// and less than once a second in the long run.
func TestTheCallsOfManyNodesStayBearable(t *testing.T) {
	const nodes, down = 300, 20 * time.Second
	inSecond, all := map[time.Duration]int{}, 0
	for seed := range uint64(nodes) {
		w := newWorld(seed, asks)
		w.out = outage{from: 5 * time.Second, to: 5*time.Second + down, mode: refuses}
		w.step(Start)
		for before := w.calls; w.now < w.out.to; before = w.calls {
			w.now = min(w.wake, w.end)
			if w.end <= w.wake {
				w.step(w.kind)
			} else {
				w.step(Due)
			}
			if w.calls > before && !w.reachable(w.now) {
				inSecond[w.now/time.Second]++
				all++
			}
		}
	}
	for second, calls := range inSecond {
		assert.LessOrEqual(t, calls, 4*nodes, "second %d", second)
	}
	assert.LessOrEqual(t, all, nodes*int(down/time.Second)*11/10)
	t.Logf("%.2f calls a second and node", float64(all)/nodes/down.Seconds())
}
