package turns

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// walk has leaders that know an earlier state of the schedule, nodes that are cut off at times, requesters and operators; any of
// them may be wrong.
type walk struct {
	*fixture
	r              *rand.Rand
	twin           *Schedule // applies the same commands, and is encoded and decoded at times
	past           []*Schedule
	ids            int
	leaseExpired   map[string]bool
	exempt         map[string]bool // by turn and node: the node was dead while the turn was under way
	accepted, over int             // commands that were accepted, turns that ended
}

// command returns a random proposal.
func (w *walk) command() (c Command) {
	old, n := w.past[max(0, len(w.past)-1-w.r.IntN(6))], fmt.Sprint("n", 1+w.r.IntN(4))
	ref := func() *Ref {
		turns := append(old.Turns(), Turn{Request: Request{ID: "none"}})
		t := turns[min(w.r.IntN(len(turns)), w.r.IntN(30))]
		return &Ref{ID: t.ID, Round: t.Round * uint64(min(1, w.r.IntN(3)))}
	}
	views := make([]NodeView, 0, 4)
	for _, n := range old.Members() {
		v := NodeView{Node: n, LeaseExpired: w.leaseExpired[n], Confirmed: map[string]uint64{}}
		for _, out := range old.ExcludedHosts() {
			if !v.LeaseExpired && w.r.IntN(8) > 0 {
				v.Confirmed[out.Host] = out.Round
			}
		}
		views = append(views, v)
	}
	minutes := func(n int) time.Duration { return time.Duration(w.r.IntN(n)) * time.Minute }
	grant := func() {
		for _, t := range old.Turns() {
			if t.Phase == Preparing && len(old.Blockers(t.ID, views)) == 0 {
				c.Grant = &Ref{ID: t.ID, Round: t.Round}
			}
		}
	}
	request := func() {
		w.ids++
		c.Request = &Request{ID: fmt.Sprint("t", w.ids-w.r.IntN(2)), Host: w.hosts[w.r.IntN(len(w.hosts))].ID, Urgency: w.r.IntN(3),
			Duration: minutes(120), NotBefore: w.now + minutes(60) - 30*time.Minute}
		if w.r.IntN(3) == 0 {
			c.Request.FinishBy = w.now + minutes(400)
		}
	}
	fleet := func() {
		h := &w.hosts[w.r.IntN(len(w.hosts))]
		h.Failed, h.Banned, h.Warm, h.Value = w.r.IntN(6) == 0, w.r.IntN(8) == 0, w.r.IntN(4) > 0, w.r.Float64()*100
		hosts := slices.DeleteFunc(slices.Clone(w.hosts), func(Host) bool { return w.r.IntN(40) == 0 })
		c.Fleet = &Fleet{AppliedIndex: w.index - uint64(w.r.IntN(6)), Hosts: hosts}
	}
	acked := func() {
		a, _ := old.ack(n)
		c = ack(n, a.Incarnation, old.ExclusionSet().Version)
		if w.r.IntN(20) == 0 {
			c = ack(n, a.Incarnation+1, c.Ack.Version-min(c.Ack.Version, uint64(w.r.IntN(4))))
		}
	}
	limits := func() {
		c.Limits = &Limits{Site: 1 + w.r.IntN(5), Zone: w.r.IntN(3), Kind: w.r.IntN(4), Failed: w.r.IntN(4), Lookahead: w.r.IntN(4)}
	}
	nodes := slices.DeleteFunc([]string{"n1", "n2", "n3", "n4"}, func(string) bool { return w.r.IntN(5) == 0 })
	k := w.r.IntN(100)
	for _, kind := range []struct {
		weight int
		do     func()
	}{
		{30, func() { c, _ = old.Next(w.now) }}, {15, grant}, {2, func() { c, _ = old.RevokeBlocked(w.now, views, time.Minute) }},
		{8, request}, {8, fleet}, {7, func() { c.Begin = ref() }}, {7, func() { c.Done = ref() }}, {1, func() { c.Withdraw = ref() }},
		{1, func() { c.Prepare = ref() }}, {1, func() { c.Revoke = ref() }}, {1, limits}, {1, func() { c = members(nodes...) }},
		{1, func() { c = dead(n) }}, {2, func() { c = alive(n) }}, {11, acked},
		{1, func() { c = exclusionSet(w.b.ExclusionSet().Version+uint64(w.r.IntN(3)), []string{"h1", "h2"}) }},
		{3, func() { w.leaseExpired[n] = !w.leaseExpired[n] }},
	} {
		if k >= 0 && k < kind.weight {
			kind.do()
		}
		k -= kind.weight
	}
	c.At = w.now + time.Duration(w.r.IntN(11)-5)*time.Second // the leaders' clocks differ
	return c
}

// step applies one command and checks the properties against the schedule before it.
func (w *walk) step() {
	t, c, before := w.t, w.command(), w.b.Clone()
	w.index++
	was, check, notices := bytesOf(t, before), w.b.Check(c), w.b.Apply(w.index, c)
	require.Equal(t, was, bytesOf(t, before), "a clone changed with the schedule")
	require.Equal(t, notices, w.twin.Apply(w.index, c))
	now := bytesOf(t, w.b)
	require.Equal(t, now, bytesOf(t, w.twin))
	if w.r.IntN(20) == 0 {
		var err error
		w.twin, err = Decode([]byte(now))
		require.NoError(t, err)
	}
	refused := len(notices) == 1 && notices[0].Kind == NoticeRefused
	require.Equal(t, check != nil, refused)
	if refused {
		require.Equal(t, was, now, "a refused command changed the schedule")
		return
	}
	text, _ := json.Marshal(c)
	w.allowed(c, string(text))
	w.kept(before, c, string(text))
	w.accepted, w.past = w.accepted+1, append(w.past, w.b.Clone())[max(0, len(w.past)-8):]
}

// allowed checks T1, T3 and the preferred hosts of T4 when a turn is prepared or granted, independently of how the schedule counts.
func (w *walk) allowed(c Command, text string) {
	if c.Prepare == nil && c.Grant == nil {
		return
	}
	phase, l, failed, all := map[string]Phase{}, w.b.Limits(), 0, []Host{}
	for _, t := range w.b.Turns() {
		phase[t.Host] = max(phase[t.Host], t.Phase%Over)
	}
	for _, h := range w.b.Hosts() {
		if h.Failed && phase[h.ID] < Working {
			failed++
		}
		if h.Failed || h.Banned || phase[h.ID] > Requested {
			all = append(all, h)
		}
	}
	require.LessOrEqual(w.t, failed, l.Failed, "T3 %s", text)
	if c.Prepare == nil {
		return
	}
	count := func(matches func(h Host) bool) (n int) {
		return len(slices.DeleteFunc(slices.Clone(all), func(h Host) bool { return !matches(h) }))
	}
	mine, _ := w.b.host(w.turn(c.Prepare.ID).Host)
	require.LessOrEqual(w.t, len(all), l.Site, "T1 %s", text)
	require.True(w.t, l.Zone == 0 || count(func(h Host) bool { return h.Zone == mine.Zone }) <= l.Zone, "T1 %s", text)
	require.True(w.t, l.Kind == 0 || count(func(h Host) bool { return h.Kind == mine.Kind }) <= l.Kind, "T1 %s", text)
	for _, g := range mine.Groups {
		require.Equal(w.t, 1, count(func(h Host) bool { return slices.Contains(h.Groups, g) }), "T4 %s", text)
	}
}

// kept checks T2, T5 and T6.
func (w *walk) kept(before *Schedule, c Command, text string) {
	t, excluded := w.t, w.b.ExcludedHosts()
	for _, turn := range w.b.Turns() {
		_, out := searchExcluded(excluded, turn.Host)
		require.False(t, turn.Phase.OutOfService() && !turn.InService && !out, "T6 %s", text)
		for _, n := range w.b.Members() {
			granted := turn.Phase.OutOfService() && turn.Phase != Preparing && !turn.InService
			w.exempt[turn.ID+n] = w.b.Dead(n) || granted && w.exempt[turn.ID+n]
			if granted && !w.exempt[turn.ID+n] && w.b.RecordedVersion(n) != 0 {
				require.True(t, w.b.contains(w.b.RecordedVersion(n), turn.Host), "T2 %s: %s may send to %s", text, n, turn.Host)
			}
		}
	}
	for _, h := range w.b.Hosts() {
		_, out := searchExcluded(excluded, h.ID)
		require.False(t, h.Banned && !out, "T6 %s", text)
	}
	for _, old := range before.Turns() {
		if old.Phase == Over {
			continue
		}
		turn := w.turn(old.ID)
		switch h, _ := w.b.host(turn.Host); {
		case turn.Phase == old.Phase:
		case old.Phase == Working:
			require.True(t, c.Done != nil && turn.Phase == Returning, "T5 %s", text)
		case old.Phase == Returning && turn.End == Finished:
			require.True(t, c.Fleet != nil && c.Fleet.AppliedIndex >= old.DoneIndex && h.Warm && !h.Failed && !h.Banned, "T6 %s", text)
		case turn.Phase == Working:
			require.True(t, old.Phase == Granted && c.Begin != nil, "T5 %s", text)
		case turn.Phase == Granted:
			require.True(t, old.Phase == Preparing && c.Grant.Round == old.Round, "T2 %s", text)
		}
		if turn.Phase == Over {
			w.over++
		}
	}
}

// TestWalk: the properties hold whatever leaders with an older schedule propose, in any order.
func TestWalk(t *testing.T) {
	var accepted, over int
	for seed := range uint64(24) {
		w := &walk{fixture: newFixture(t, Limits{Site: 3, Failed: 2, Lookahead: 2}), r: rand.New(rand.NewPCG(seed, 1)),
			leaseExpired: map[string]bool{}, exempt: map[string]bool{}}
		for i := 4; i < 9; i++ {
			w.hosts = append(w.hosts,
				Host{ID: fmt.Sprint("h", i), Zone: "c", Kind: "k", Groups: []string{fmt.Sprint("g", i/2)}, Warm: true})
		}
		w.fleet()
		w.twin, w.past, w.index = w.b.Clone(), []*Schedule{w.b.Clone()}, 10
		for range 500 {
			w.now += time.Duration(w.r.IntN(300)) * time.Second
			w.step()
		}
		accepted, over = accepted+w.accepted, over+w.over
	}
	require.Greater(t, accepted, 4000, "too few commands were accepted")
	require.Greater(t, over, 120, "too few turns end")
}

// TestEveryRequestIsPrepared: among hosts of crossing zones, kinds and groups, with requests arriving all the time, each turn is
// prepared within a bound, as every host comes back.
func TestEveryRequestIsPrepared(t *testing.T) {
	for seed := range uint64(5) {
		r := rand.New(rand.NewPCG(seed, 2))
		c := newFixture(t, Limits{Site: 3, Zone: 1, Kind: 1, Lookahead: 3, AgeStep: time.Hour})
		c.hosts = nil
		for i := range 24 {
			c.hosts = append(c.hosts, Host{ID: fmt.Sprintf("h%02d", i), Zone: fmt.Sprint("z", i%3), Kind: fmt.Sprint("k", i%4),
				Groups: []string{fmt.Sprint("g", i%5)}, Value: r.Float64() * 100, Warm: true})
		}
		c.fleet()
		next, longest := 0, time.Duration(0)
		for range 1500 {
			c.now += 10 * time.Minute
			if h := c.hosts[r.IntN(len(c.hosts))]; c.b.ofHost(h.ID) == nil {
				c.request(fmt.Sprint("t", next), h.ID, func(a *Request) { a.Urgency, a.Duration = r.IntN(4), 20*time.Minute })
				next++
			}
			for _, turn := range c.b.Turns() {
				switch {
				case turn.Phase == Requested:
					longest = max(longest, c.now-turn.RequestedAt)
				case turn.Phase == Preparing:
					c.grant(turn.ID)
					c.do(begin(turn.ID))
				case turn.Phase == Working && c.now-turn.Since >= turn.Duration:
					c.do(done(turn.ID))
				}
			}
			c.fleet()
			c.settle()
		}
		require.Greater(t, next, 200)
		require.Less(t, longest, 12*time.Hour, "seed %d", seed) // 24 hosts, about 3 in each 40 minutes, and 3 steps of urgency
	}
}

// BenchmarkSchedule: 30 nodes; turns wait for 90 of 90 hosts and for 300 of 900, and 6 are out.
func BenchmarkSchedule(bench *testing.B) {
	for _, size := range [][2]int{{90, 90}, {900, 300}} {
		c := &fixture{t: &testing.T{}, b: New(), now: time.Hour}
		var nodes []string
		for i := range size[0] {
			c.hosts = append(c.hosts, Host{ID: fmt.Sprintf("h%04d", i), Zone: fmt.Sprint("z", i%3), Kind: fmt.Sprint("k", i%5),
				Groups: []string{fmt.Sprintf("g%03d", i%50)}, Value: float64(i % 97), Warm: true})
		}
		for i := range 30 {
			nodes = append(nodes, fmt.Sprintf("n%02d", i))
		}
		c.do(Command{Limits: &Limits{Site: 6, Zone: 3, Failed: 3, Lookahead: 12}}, members(nodes...))
		c.fleet()
		for i := range size[1] {
			c.request(fmt.Sprint("t", i), c.hosts[i].ID)
		}
		c.settle()
		require.Len(bench, c.b.ExcludedHosts(), 6)
		last := c.b.Order(c.now)[size[1]-7]
		for name, run := range map[string]func(){
			"next": func() { c.b.Next(c.now) }, "order": func() { c.b.Order(c.now) },
			"outs": func() { c.b.ExcludedHosts() }, "due": func() { c.b.NextChange(c.now) },
			"clone": func() { c.b.Clone() }, "encode": func() { _, _ = c.b.Encode() }, "fleet": func() { c.fleet() },
			"ack": func() { c.apply(ack("n07", 1, c.b.ExclusionSet().Version)) },
			"request and withdraw": func() {
				host := c.turn(last).Host
				c.apply(withdraw(last))
				last = fmt.Sprint("x", c.index)
				c.request(last, host)
			},
			"prepare, refused": func() { c.apply(prepare(last)) },
		} {
			bench.Run(fmt.Sprintf("%s/%d hosts %d turns", name, size[0], size[1]), func(bench *testing.B) {
				bench.ReportAllocs()
				for bench.Loop() {
					run()
				}
			})
		}
	}
}
