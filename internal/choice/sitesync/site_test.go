package sitesync

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testLimits = Limits{Bytes: 1 << 20, Number: 400, Age: time.Hour, Batch: 5, Held: 4}

// seeds is the number of random runs that each property is tested with.
const seeds = 20

// mergeOneByte merges evidence that is a single byte by adding.
func mergeOneByte(a, b []byte) ([]byte, error) {
	if len(a) != 1 || len(b) != 1 {
		return nil, fmt.Errorf("not one byte")
	}
	return []byte{a[0] + b[0]}, nil
}

// topology is two buildings, a regency and a province, with a record of what happened at each.
type topology struct {
	t            *testing.T
	seed         uint64
	rand         *rand.Rand
	now          time.Duration
	sites        map[string]*Site
	names        []string
	forwarders   map[string]*Forwarder
	applied      map[string]map[ID]bool
	receipts     map[ID][]Receipt
	written      []ID
	evidenceSums map[string]map[string]byte // of the evidence that a site wrote in its current incarnation, by subject
	lostSums     map[string]byte            // of the incarnation that was lost
	comparedSums int                        // sums compared at the root site
	delayedCalls []delayedCall
	emptyAnswers int // answers that gave nothing to commit
}

// delayedCall is a call that timed out at the sender and is still in transit.
type delayedCall struct {
	to string
	b  *Batch
}

func newTopology(t *testing.T, seed uint64) *topology {
	l := &topology{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), sites: map[string]*Site{}, forwarders: map[string]*Forwarder{},
		applied: map[string]map[ID]bool{}, receipts: map[ID][]Receipt{}, evidenceSums: map[string]map[string]byte{},
		names: []string{"a", "b", "r", "p"}}
	for _, n := range l.names {
		l.start(n, 1)
	}
	return l
}

func (l *topology) start(name string, incarnation uint64) {
	place := Place{Site: name, Incarnation: incarnation, StoreCreated: time.Duration(incarnation)}
	switch name {
	case "a", "b":
		place.Level, place.Ancestors = 2, []string{"r", "p"}
	case "r":
		place.Level, place.Ancestors = 1, []string{"p"}
	}
	l.sites[name] = New(place, testLimits).WithMerge(mergeOneByte)
	l.forwarders[name] = NewForwarder(func() *Site { return l.sites[name] }, Timing{MaxFailures: 2, ReturnInterval: 3000})
	l.applied[name] = map[ID]bool{}
	l.lostSums = l.evidenceSums[name]
	l.evidenceSums[name] = map[string]byte{}
}

// apply applies a command and checks its effects. At random it encodes and decodes the state first, or checks that a
// clone is independent.
func (l *topology) apply(name string, c Command) []Effect {
	l.now++
	if l.rand.IntN(8) == 0 {
		s, err := Decode(l.sites[name].Encode(), mergeOneByte)
		require.NoError(l.t, err)
		require.Equal(l.t, string(l.sites[name].Encode()), string(s.Encode()))
		l.sites[name] = s
	}
	if l.rand.IntN(8) == 0 {
		before := l.sites[name].Encode()
		l.sites[name].Clone().Apply(l.now, c)
		require.Equal(l.t, string(before), string(l.sites[name].Encode()), "a clone shares mutable data")
	}
	f := l.sites[name].Apply(l.now, c)
	require.LessOrEqual(l.t, l.sites[name].Held(), testLimits.Held)
	for _, e := range f {
		switch e.Kind {
		case EffectApplied:
			require.False(l.t, l.applied[name][e.ID], "%s applies %s twice", name, e.ID)
			for _, m := range e.Write.Dependencies {
				lost := l.sites["a"].self.Incarnation == 2 && m.Origin.Site == "a" && m.Origin.Incarnation == 1
				require.False(l.t, name == "p" && e.ID.Origin.Site != "p" && !lost && m.Number > l.sites["p"].seen[m.Origin],
					"%s is applied before %v", e.ID, m)
			}
			l.applied[name][e.ID] = true
		case EffectReceipt:
			l.receipts[e.ID] = append(l.receipts[e.ID], e.Receipt)
		}
	}
	return f
}

// call makes one call. If lossy, the call or its answer may be lost, or the call may arrive twice or late.
func (l *topology) call(name string, lossy bool) {
	c := l.forwarders[name]
	if o := c.Offer(); o != nil {
		l.apply(name, *o)
	}
	to, b, _ := c.Next(l.now)
	if b == nil {
		return
	}
	b, err := ParseBatch(b.Bytes())
	require.NoError(l.t, err)
	fate := 9
	if lossy {
		fate = l.rand.IntN(8)
	}
	if fate == 0 {
		c.Failed(l.now)
		if l.rand.IntN(2) == 0 {
			l.delayedCalls = append(l.delayedCalls, delayedCall{to, b})
		}
		return
	}
	if n := len(l.delayedCalls); lossy && n > 0 && l.rand.IntN(6) == 0 {
		i := l.rand.IntN(n)
		l.apply(l.delayedCalls[i].to, Command{Batch: l.delayedCalls[i].b})
		l.delayedCalls = slices.Delete(l.delayedCalls, i, i+1)
	}
	l.apply(to, Command{Batch: b})
	if u := l.sites[to].Unoffered(); u != nil {
		l.apply(to, *u)
	}
	if fate == 1 {
		l.apply(to, Command{Batch: b})
	}
	if fate == 2 {
		c.Failed(l.now)
		return
	}
	a, err := ParseAnswer(l.sites[to].Answer(b, 1+l.rand.IntN(8), 0).Bytes())
	require.NoError(l.t, err)
	pieces := c.routes[to].pieces
	switch cmd := c.Answered(l.now, a); {
	case cmd != nil:
		l.apply(name, *cmd)
	case a.Down != nil && a.Down.Last && pieces == nil: // an update that gives nothing to commit must change nothing but the cursor
		s := l.sites[name].Clone()
		require.Empty(l.t, s.Apply(s.now, Command{Down: a.Down}))
		s.cursors = l.sites[name].cursors
		require.Equal(l.t, string(l.sites[name].Encode()), string(s.Encode()))
		l.emptyAnswers++
	}
}

// heal makes all sites call until nothing changes any more.
func (l *topology) heal() {
	for i := range 50 {
		l.now += 1000
		if i == 25 { // a site that called once and now uses another route is awaited for that long
			l.now += 2 * testLimits.Age
			for _, n := range l.names {
				l.apply(n, Command{})
			}
		}
		for _, n := range l.names {
			l.call(n, false)
		}
	}
}

var words = [Kinds][]string{Evidence: {"\x01", "\x02"}, Note: {"x", "y"}, Work: {"asked", "begun", "done", "withdrawn"},
	Policy: {"begin", "halt", "resume", "force"}, Safety: {"out", "back"}}

func (l *topology) write(name string) {
	kind := Kind(l.rand.IntN(Kinds))
	w := &LocalWrite{Kind: kind, Subject: fmt.Sprint("t", l.rand.IntN(3)), Value: []byte(words[kind][l.rand.IntN(len(words[kind]))]),
		Urgent: kind != Evidence && l.rand.IntN(3) == 0, Closes: name == "p" && l.rand.IntN(6) == 0}
	if l.rand.IntN(5) == 0 {
		w.Token = l.sites[l.names[l.rand.IntN(4)]].Token()
	}
	for i := len(l.written) - 1; i >= 0 && len(w.Needs) == 0; i-- { // at random, the last write that is known there
		if s := l.sites[name]; s.seen.has(l.written[i]) && l.rand.IntN(3) == 0 {
			w.Needs = []ID{l.written[i]}
		}
	}
	for _, e := range l.apply(name, Command{Write: w}) {
		if e.Kind == EffectApplied && e.Write.ID.Origin.Site == name {
			l.written = append(l.written, e.ID)
		}
		if (e.Kind == EffectApplied || e.Kind == EffectMerged) && kind == Evidence {
			l.evidenceSums[name][w.Subject] += w.Value[0]
		}
	}
}

// dump logs the writes that the sites wait for.
func (l *topology) dump() {
	for _, n := range l.names {
		s := l.sites[n]
		l.t.Logf("%s seen %v closed %v ending %v incarnations %v callers %v", n, s.seen, s.closed, s.ending, s.incarnations, s.callers)
		for _, h := range s.held {
			l.t.Logf("  held %v after %v", h.Write.ID, h.Write.Dependencies)
		}
		for _, q := range s.log {
			for _, it := range q {
				l.t.Logf("  log %v after %v", it.Write.ID, it.Write.Dependencies)
			}
		}
	}
}

// requireConverged checks that all sites hold the same state.
func (l *topology) requireConverged() {
	root := l.sites["p"]
	defer func() {
		if l.t.Failed() {
			l.dump()
		}
	}()
	for _, n := range l.names {
		s := l.sites[n]
		require.Equal(l.t, root.Seen(), s.Seen(), "%s has seen other writes than the root site", n)
		require.Equal(l.t, root.Judged(), s.Judged(), n)
		own, others := s.Waiting()
		require.Zero(l.t, own+others+s.Held(), "%s still has writes queued or held", n)
		for k := range Kind(Kinds) {
			if k == Evidence {
				continue
			}
			require.Equal(l.t, root.Subjects(k), s.Subjects(k), "%s %s %d", n, k, l.seed)
			for _, name := range root.Subjects(k) {
				want, _ := root.Value(k, name)
				got, _ := s.Value(k, name)
				require.Equal(l.t, want, got, "%s has another value of %s %s than the root site", n, k, name)
			}
		}
	}
}

// requireEvidence checks that every site but the root holds its own evidence only, the newest piece of each subject, and
// that the root site has the sum of all.
func (l *topology) requireEvidence() {
	refused := map[string]bool{} // sites with evidence that the root site refused
	for _, id := range l.written {
		for _, r := range l.receipts[id] {
			refused[id.Origin.Site] = refused[id.Origin.Site] || id.Origin.Evidence && r.Outcome >= Refused
		}
	}
	root := l.sites["p"]
	for _, subject := range []string{"t0", "t1", "t2"} {
		sum, maxLost := byte(0), l.lostSums[subject]
		complete := true
		for _, n := range l.names {
			sum += l.evidenceSums[n][subject]
			complete = complete && !refused[n]
			if n == "p" || refused[n] {
				continue
			}
			v, any := l.sites[n].Value(Evidence, subject)
			require.Equal(l.t, l.evidenceSums[n][subject] > 0, any, "%s %s", n, subject)
			if any {
				require.Equal(l.t, []byte{l.evidenceSums[n][subject]}, v.Value, "%s %s", n, subject)
				require.Empty(l.t, v.Concurrent, n)
				require.Equal(l.t, n, v.Write.ID.Origin.Site)
			}
		}
		v, any := root.Value(Evidence, subject)
		if !complete || v.Closed || !any {
			continue
		}
		l.comparedSums++
		require.GreaterOrEqual(l.t, v.Value[0], sum, subject)
		require.LessOrEqual(l.t, v.Value[0], sum+maxLost, subject)
		if l.lostSums == nil {
			require.Equal(l.t, sum, v.Value[0], subject)
		}
	}
	for _, n := range l.names {
		for k, t := range l.sites[n].subjects {
			require.True(l.t, k.Kind != Evidence || len(t.items) <= 1 || n == "p", "%s keeps old evidence of %q", n, k.Subject)
			require.True(l.t, k.Kind != Evidence || len(t.items) <= 5, "the root site keeps old evidence of %q", k.Subject)
		}
	}
}

// TestAllSitesConverge checks U1 to U3 with random writes, routes, losses and duplicates.
func TestAllSitesConverge(t *testing.T) {
	seen := map[Outcome]int{}
	counted, idle := 0, 0
	for seed := range uint64(seeds) {
		l := newTopology(t, seed)
		for range 120 {
			name := l.names[l.rand.IntN(4)]
			l.forwarders[name].current = l.rand.IntN(max(1, len(l.forwarders[name].ancestors))) // any route
			if l.rand.IntN(2) == 0 {
				l.write(name)
			} else {
				l.call(name, true)
			}
		}
		l.heal()
		l.requireConverged()
		l.requireEvidence()
		counted += l.comparedSums
		idle += l.emptyAnswers
		for _, id := range l.written {
			require.Len(t, l.receipts[id], 1, "receipts of %s with seed %d", id, seed)
			seen[l.receipts[id][0].Outcome]++
		}
	}
	for o := Applied; o <= Orphaned; o++ {
		assert.NotZero(t, seen[o], "outcome never seen: %s", o)
	}
	assert.NotZero(t, counted, "no evidence sum was compared")
	assert.NotZero(t, idle, "every answer gave something to commit")
}

// TestLostStoreBlocksNoOtherSite checks U5: writes of the lost incarnation that were sent in time are kept, and writes
// that depend on the others are judged.
func TestLostStoreBlocksNoOtherSite(t *testing.T) {
	orphans := 0
	for seed := range uint64(seeds) {
		l := newTopology(t, 100+seed)
		for step := range 120 {
			name := l.names[l.rand.IntN(4)]
			l.forwarders[name].current = l.rand.IntN(max(1, len(l.forwarders[name].ancestors)))
			switch {
			case step == 60:
				l.start("a", 2)
			case l.rand.IntN(2) == 0:
				l.write(name)
			default:
				l.call(name, true)
			}
		}
		l.heal()
		l.requireConverged()
		l.requireEvidence()
		for _, id := range l.written {
			if id.Origin.Site == "a" && id.Origin.Incarnation == 1 {
				assert.LessOrEqual(t, len(l.receipts[id]), 1)
				continue
			}
			require.Len(t, l.receipts[id], 1, "receipts of %s with seed %d", id, seed)
			if l.receipts[id][0].Why == "what it depends on was lost with its site's store" {
				orphans++
			}
		}
	}
	assert.NotZero(t, orphans)
}

func TestResolveDependsOnTheSetAlone(t *testing.T) {
	w := func(site string, level int, k Kind, value string) *Write {
		return &Write{ID: ID{Origin{Site: site, Incarnation: 1}, 1}, Kind: k, Level: level, Subject: "x", Value: []byte(value)}
	}
	for _, c := range []struct {
		name string
		set  []*Write
		want string
	}{
		{"out takes precedence over back at any level", []*Write{w("a", 2, Safety, "out smoke"), w("p", 0, Safety, "back")}, "out smoke"},
		{"a policy write of a higher level takes precedence", []*Write{w("a", 2, Policy, "halt"), w("p", 0, Policy, "resume")}, "resume"},
		{"on one level a halt takes precedence",
			[]*Write{w("a", 2, Policy, "begin"), w("b", 2, Policy, "halt"), w("c", 2, Policy, "force")}, "halt"},
		{"work that has begun takes precedence",
			[]*Write{w("a", 2, Work, "done"), w("b", 2, Work, "begun"), w("p", 0, Work, "asked")}, "begun"},
		{"evidence adds up", []*Write{w("a", 2, Evidence, "\x01"), w("b", 2, Evidence, "\x02"), w("c", 2, Evidence, "\x04")}, "\x07"},
	} {
		for i := range 2 * len(c.set) {
			j := (i + 1) % len(c.set)
			c.set[i%len(c.set)], c.set[j] = c.set[j], c.set[i%len(c.set)]
			got, ok := Resolve(c.set, mergeOneByte)
			require.True(t, ok)
			assert.Equal(t, c.want, string(got.Value), c.name)
			assert.Len(t, got.Concurrent, len(c.set)-1)
		}
	}
}

func TestQueueRefusesByKindAndMergesEvidence(t *testing.T) {
	s := New(Place{Site: "a", Level: 2, Incarnation: 1, Ancestors: []string{"p"}},
		Limits{Bytes: 1 << 20, Number: 20, Batch: 4, Age: time.Minute})
	s.WithMerge(mergeOneByte)
	accepted := [Kinds]int{}
	for _, k := range []Kind{Evidence, Note, Work, Policy, Safety} {
		for i := range 30 {
			f := s.Apply(0, Command{Write: &LocalWrite{Kind: k, Subject: fmt.Sprint(i), Value: []byte(words[k][0])}})
			var full *QueueFullError
			if f[0].Kind == EffectRefused {
				require.ErrorAs(t, f[0].Err, &full)
				assert.NotEmpty(t, full.Action())
				continue
			}
			accepted[k]++
		}
	}
	assert.Equal(t, [Kinds]int{10, 2, 3, 3, 2}, accepted)
	f := s.Apply(0, Command{Write: &LocalWrite{Kind: Evidence, Subject: "3", Value: []byte{5}}})
	require.Equal(t, EffectMerged, f[0].Kind, "evidence is merged even if the queue is full")
	v, _ := s.Value(Evidence, "3")
	assert.Equal(t, []byte{6}, v.Value)
	s.Apply(0, Command{Offer: &Offer{Evidence: 2}})
	large := bytes.Repeat([]byte{1}, 60<<10)
	small := New(Place{Site: "a", Incarnation: 1, Ancestors: []string{"p"}}, Limits{Bytes: 600 << 10, Number: 200, Batch: 4})
	small.WithMerge(func(_, b []byte) ([]byte, error) { return b, nil })
	for i := range 20 { // four fit into half of the queue
		f := small.Apply(0, Command{Write: &LocalWrite{Kind: Evidence, Subject: fmt.Sprint(i % 5), Value: large}})
		assert.Equal(t, i%5 == 4, f[0].Kind == EffectRefused, "newer evidence takes the room of the older: %d", i)
		small.Apply(0, *cmp.Or(small.Unoffered(), &Command{}))
	}
	f = s.Apply(2*time.Minute, Command{})
	assert.Len(t, f, 8, "evidence that is too old and was not sent is dropped with a receipt")
	assert.Equal(t, Refused, f[0].Receipt.Outcome)
}

func TestSketchesAreMerged(t *testing.T) {
	var parts [2][]byte
	for i := range parts {
		sk, err := ddsketch.NewDefaultDDSketch(0.01)
		require.NoError(t, err)
		for j := range 100 {
			require.NoError(t, sk.Add(float64(1+i*100+j)))
		}
		sk.Encode(&parts[i], false)
	}
	ab, err := MergeSketches(parts[0], parts[1])
	require.NoError(t, err)
	ba, err := MergeSketches(parts[1], parts[0])
	require.NoError(t, err)
	assert.Equal(t, ab, ba)
	_, err = MergeSketches(parts[0], []byte("x"))
	assert.Error(t, err)
	s := New(Place{Site: "a", Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	assert.Error(t, s.Check(Command{Write: &LocalWrite{Kind: Evidence, Subject: "x", Value: []byte("x")}}))
	assert.NoError(t, s.Check(Command{Write: &LocalWrite{Kind: Evidence, Subject: "x", Value: ab}}))
}

func TestInvalidBytesAreRefusedAndChangeNothing(t *testing.T) {
	s := New(Place{Site: "a", Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	s.Apply(1, Command{Write: &LocalWrite{Kind: Safety, Subject: "host/1", Value: []byte("out")}})
	token, data := s.Token(), s.Encode()
	for i := range token {
		other := []byte(token)
		other[i] ^= 1
		_, err := ParseToken(string(other))
		var te *TokenError
		require.ErrorAs(t, err, &te, "%d", i)
	}
	for i := range data {
		_, err := Decode(data[:i], mergeOneByte)
		var se *StateError
		require.ErrorAs(t, err, &se)
	}
	for _, bad := range []string{"", "{}", `{"from":{"site":"a","life":1},"writes":[{}]}`, `{"from":{"site":"a","life":1},"seen":[{},{}]}`} {
		_, err := ParseBatch([]byte(bad))
		var be *BatchError
		require.ErrorAs(t, err, &be, bad)
		_, err = ParseAnswer([]byte(bad))
		require.ErrorAs(t, err, &be, bad)
	}
	f := s.Apply(2, Command{Batch: &Batch{From: Place{Site: "x", Incarnation: 1}, Writes: []Write{{}}}})
	require.Equal(t, EffectRefused, f[0].Kind)
	assert.Equal(t, string(data), string(withNow(s, 1).Encode()))
}

func withNow(s *Site, now time.Duration) *Site {
	c := s.Clone()
	c.now = now
	return c
}

func TestUrgentWritesGoFirstWithTheirDependencies(t *testing.T) {
	s := New(Place{Site: "a", Level: 2, Incarnation: 1, Ancestors: []string{"p"}}, Limits{Bytes: 1 << 20, Number: 200, Batch: 3})
	for i := range 50 {
		s.Apply(0, Command{Write: &LocalWrite{Kind: Note, Subject: fmt.Sprint(i), Value: []byte("x")}})
	}
	c := NewForwarder(func() *Site { return s }, Timing{MaxFailures: 3})
	s.Apply(0, Command{Write: &LocalWrite{Kind: Safety, Subject: "h", Value: []byte("out"), Urgent: true}})
	s.Apply(0, Command{Write: &LocalWrite{Kind: Note, Subject: "1", Value: []byte("y"), Urgent: true}})
	require.Nil(t, c.Offer(), "nothing is offered before a call is answered")
	s.Apply(0, *s.Unoffered())
	to, b, _ := c.Next(0)
	require.Empty(t, b.Writes, "no credit yet")
	assert.Equal(t, 4, b.Urgent)
	require.Nil(t, c.Answered(0, &Answer{From: to, Incarnation: 1, Credit: 9}))
	_, b, _ = c.Next(0)
	var got []string
	for _, w := range b.Writes {
		got = append(got, w.ID.String())
	}
	assert.Equal(t, []string{"a.1!/1", "a.1/1", "a.1/2"}, got, "an urgent write does not wait for the dependencies of another")
	assert.Equal(t, 1, b.Urgent)
	p := New(Place{Site: "p", Incarnation: 1}, testLimits)
	p.Apply(0, Command{Batch: b})
	assert.Equal(t, VersionVector{{s.ownOrigin(0), 2}, {s.ownOrigin(1), 1}}, p.Seen())
}

// TestCallsCanBeAppliedInOrder: with two origins mixed, and tokens that name writes which arrived later, each call can
// be applied in full once all calls before it were. The counts that accompany a call are correct.
func TestCallsCanBeAppliedInOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	r := New(Place{Site: "r", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	b := New(Place{Site: "b", Level: 2, Incarnation: 1, Ancestors: []string{"r", "p"}}, testLimits)
	write := func(s *Site, token string) {
		k := []Kind{Note, Safety}[rng.IntN(2)]
		l := &LocalWrite{Kind: k, Subject: fmt.Sprint(rng.IntN(6)), Value: []byte("out"), Urgent: rng.IntN(8) == 0, Token: token}
		s.Apply(0, Command{Write: l})
	}
	var token string
	for i := range 120 {
		if write(r, ""); i%20 == 10 {
			token = r.Token()
		}
		write(b, token)
		token = ""
	}
	for _, s := range []*Site{r, b} {
		s.Apply(0, *s.Unoffered())
	}
	b.Apply(0, Command{Down: r.FullState(1)})
	require.True(t, b.outOfOrder)
	p := New(Place{Site: "p", Incarnation: 1}, testLimits)
	c := NewForwarderTo(func() *Site { return b }, Timing{MaxFailures: 9}, "p")
	c.Next(0)
	c.Answered(0, &Answer{From: "p", Incarnation: 1, Credit: 9})
	sent, urgent := 0, 0
	for left := -1; left != 0; {
		_, call, _ := c.Next(time.Hour)
		if left >= 0 {
			require.Equal(t, left, call.Waiting+len(call.Writes))
		}
		left, sent = call.Waiting, sent+len(call.Writes)
		for _, w := range call.Writes {
			if w.ID.Origin.Urgent {
				urgent++
			}
		}
		if call.Urgent > 0 {
			require.Len(t, call.Writes, testLimits.Batch)
		}
		p.Apply(0, Command{Batch: call})
		require.Zero(t, p.Held(), "%v", call.Writes)
		a := p.Answer(call, 9, 0)
		a.Down = nil
		c.Answered(0, a)
	}
	assert.Equal(t, len(b.log[r.ownOrigin(0)])+len(b.log[r.ownOrigin(1)])+len(b.log[b.ownOrigin(0)])+len(b.log[b.ownOrigin(1)]), sent)
	assert.NotZero(t, urgent)
	assert.Equal(t, b.Seen(), p.Seen())
}

func TestCreditSchedulerGivesTimeSlots(t *testing.T) {
	scheduler := NewCreditScheduler(Budget{Rate: 100, Batch: 10, MaxAhead: time.Second, UrgentBatch: 2, LocalCost: 5})
	call := func(site string, n, urgent int) (int, time.Duration) {
		return scheduler.Grant(0, &Batch{From: Place{Site: site, Incarnation: 1}, Waiting: n, Urgent: urgent}, 1000)
	}
	for i := range 11 {
		credit, wait := call(fmt.Sprint(i), 50, 0)
		assert.Equal(t, 10, credit)
		assert.Equal(t, time.Duration(i)*100*time.Millisecond, wait)
	}
	credit, wait := call("late", 50, 0)
	assert.Zero(t, credit)
	assert.True(t, wait >= time.Second/2 && wait <= time.Second)
	credit, wait = call("urgent", 50, 1)
	assert.Equal(t, 1, credit)
	assert.Zero(t, wait)
	b := &Batch{From: Place{Site: "urgent", Incarnation: 1}, Writes: make([]Write, 1)}
	assert.NoError(t, scheduler.Admit(b))
	var ce *CreditError
	assert.ErrorAs(t, scheduler.Admit(b), &ce, "credit is used once")
}

// TestRestoredStoreNeverReusesANumber: after a store was restored from a copy, the writes of this incarnation that
// other sites know count as written.
func TestRestoredStoreNeverReusesANumber(t *testing.T) {
	note := func(subject string) Command {
		return Command{Write: &LocalWrite{Kind: Note, Subject: subject, Value: []byte("x")}}
	}
	r := New(Place{Site: "r", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	r.Apply(1, note("1"))
	backup := r.Encode()
	r.Apply(2, note("2"))
	r.Apply(3, *r.Unoffered())
	b := New(Place{Site: "b", Level: 2, Incarnation: 1, Ancestors: []string{"r"}}, testLimits)
	b.Apply(4, Command{Down: r.Answer(&Batch{From: b.Self()}, 0, 0).Down})
	old, err := Decode(backup, mergeOneByte)
	require.NoError(t, err)
	c := NewForwarder(func() *Site { return b }, Timing{MaxFailures: 2})
	to, _, _ := c.Next(0)
	c.Answered(0, &Answer{From: to, Incarnation: 1, Credit: 9, Seen: VersionVector{{Origin{Site: "r", Incarnation: 1}, 1}}})
	_, call, _ := c.Next(0)
	f := old.Apply(5, Command{Batch: call})
	assert.Contains(t, f, Effect{Kind: EffectStaleStore, ID: ID{Origin{Site: "r", Incarnation: 1}, 2}})
	assert.Nil(t, old.Unoffered(), "writes that others know count as sent")
	f = old.Apply(6, note("3"))
	assert.Equal(t, uint64(3), f[0].ID.Number)
	var we *WriteError
	assert.ErrorAs(t, old.Check(Command{Place: &Place{Site: "r", Incarnation: 1}}), &we, "it would become the root site")
	assert.NoError(t, old.Check(Command{Place: &Place{Site: "r", Incarnation: 1, Ancestors: []string{"q", "p"}}}))
}

// TestRelayedWritesLeaveRoom: a quarter of the queue is reserved for the site's own writes.
func TestRelayedWritesLeaveRoom(t *testing.T) {
	r := New(Place{Site: "r", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, Limits{Bytes: 1 << 20, Number: 20, Batch: 50, Held: 2})
	b := New(Place{Site: "b", Level: 2, Incarnation: 1, Ancestors: []string{"r"}}, testLimits)
	call := &Batch{From: b.Self(), Queries: []Origin{{Site: "b", Incarnation: 1}}}
	for i := range 30 {
		f := b.Apply(0, Command{Write: &LocalWrite{Kind: Note, Subject: fmt.Sprint(i), Value: []byte("x")}})
		call.Writes = append(call.Writes, *f[0].Write)
	}
	r.Apply(0, Command{Batch: call})
	_, others := r.Waiting()
	assert.Equal(t, 15, others)
	assert.Zero(t, r.Room())
	assert.Equal(t, uint64(15), r.Answer(call, 0, 0).Seen.Highest(call.Queries[0]), "the caller keeps the rest")

	r = New(r.Self(), r.limits).WithMerge(mergeOneByte)
	b.WithMerge(mergeOneByte)
	call.Writes = nil
	for i := range 10 {
		f := b.Apply(0, Command{Write: &LocalWrite{Kind: Evidence, Subject: fmt.Sprint(i), Value: []byte{1}}})
		call.Writes = append(call.Writes, *f[0].Write)
	}
	r.Apply(0, Command{Batch: &Batch{From: b.Self(), Writes: call.Writes[5:6]}})
	assert.Zero(t, r.Held(), "evidence that arrived too early is sent again")
	r.Apply(0, Command{Batch: call})
	_, others = r.Waiting()
	assert.Equal(t, 7, others, "evidence leaves room for the other kinds")
}

// TestStateUpdateFromUnknownCursorIsIgnored: the changes between the known cursor and the update's are missing.
func TestStateUpdateFromUnknownCursorIsIgnored(t *testing.T) {
	p := New(Place{Site: "p", Incarnation: 1}, testLimits)
	b := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	write := func(subject string) *StateUpdate {
		p.Apply(0, Command{Write: &LocalWrite{Kind: Note, Subject: subject, Value: []byte("x")}})
		return p.Answer(&Batch{From: b.Self(), Cursor: Cursor{1, p.seq - 1}}, 0, 0).Down
	}
	write("1")
	late := write("2")
	assert.Empty(t, b.Apply(0, Command{Down: late}))
	assert.Empty(t, b.Seen())
	late.After = 0
	late.To = 2
	assert.Empty(t, b.Apply(0, Command{Down: late}), "it is for another incarnation")
	assert.Empty(t, b.Seen())
}

// TestWriteNamedByTokenIsSentFirst, although it arrived after the write that presented the token.
func TestWriteNamedByTokenIsSentFirst(t *testing.T) {
	note := func(subject, token string) Command {
		return Command{Write: &LocalWrite{Kind: Note, Subject: subject, Value: []byte("x"), Token: token}}
	}
	r := New(Place{Site: "r", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	r.Apply(0, note("1", ""))
	r.Apply(0, *r.Unoffered())
	b := New(Place{Site: "b", Level: 2, Incarnation: 1, Ancestors: []string{"r", "p"}}, testLimits)
	b.Apply(0, note("2", r.Token()))
	b.Apply(0, *b.Unoffered())
	b.Apply(0, Command{Down: r.Answer(&Batch{From: b.Self()}, 0, 0).Down})
	c := NewForwarderTo(func() *Site { return b }, Timing{}, "p")
	c.Next(0)
	c.Answered(0, &Answer{From: "p", Incarnation: 1, Credit: 1})
	_, call, _ := c.Next(0)
	require.Len(t, call.Writes, 1)
	assert.Equal(t, "r", call.Writes[0].ID.Origin.Site)
}

// TestStatePiecesAreAssembled, even if an answer between them is lost.
func TestStatePiecesAreAssembled(t *testing.T) {
	b := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	c := NewForwarder(func() *Site { return b }, Timing{MaxFailures: 9})
	piece := func(after, until uint64, last bool) *Answer {
		id := ID{Origin{Site: "a", Incarnation: 1}, until}
		return &Answer{From: "p", Incarnation: 1, Down: &StateUpdate{From: "p", Incarnation: 1, To: 1, After: after, Until: until,
			Last: last, Refused: []Receipt{{ID: id, Outcome: Refused}}, Subjects: []SubjectWrites{{Kind: Note, Subject: id.String()}}}}
	}
	c.Next(0)
	require.Nil(t, c.Answered(0, piece(0, 3, false)))
	_, call, _ := c.Next(0)
	assert.Equal(t, Cursor{1, 3}, call.Cursor)
	c.Failed(0)
	_, call, _ = c.Next(time.Hour)
	assert.Equal(t, Cursor{1, 3}, call.Cursor)
	cmd := c.Answered(0, piece(3, 5, true))
	require.NotNil(t, cmd)
	assert.Zero(t, cmd.Down.After)
	assert.Len(t, cmd.Down.Refused, 2)
	assert.Len(t, cmd.Down.Subjects, 2)
}

// TestOnlyNewestEvidenceIsQueued, at its site and at the one above it, while the root site is unreachable; no other site
// receives it.
func TestOnlyNewestEvidenceIsQueued(t *testing.T) {
	site := func(name string, level int, ancestors ...string) *Site {
		return New(Place{Site: name, Level: level, Incarnation: 1, Ancestors: ancestors}, testLimits).WithMerge(mergeOneByte)
	}
	b, other, r, p := site("b", 2, "r", "p"), site("c", 2, "r", "p"), site("r", 1, "p"), site("p", 0)
	own := Origin{Site: "b", Incarnation: 1, Evidence: true}
	nonEmpty := func(s *Site) (n int) {
		for _, it := range s.log[own] {
			if it.Write.Subject != "" {
				n++
			}
		}
		return n
	}
	send := func(from, to *Site, c *Forwarder) []Effect {
		var call *Batch
		for range 3 { // the first call has no credit; one of the others may bring the state only
			_, call, _ = c.Next(time.Hour)
			to.Apply(0, Command{Batch: call})
			if cmd := c.Answered(0, to.Answer(call, 9, 0)); cmd != nil {
				if f := from.Apply(0, *cmd); len(f) > 0 {
					return f
				}
			}
		}
		return nil
	}
	up := NewForwarderTo(func() *Site { return b }, Timing{MaxFailures: 9}, "r")
	for i := range 5 {
		b.Apply(0, Command{Write: &LocalWrite{Kind: Evidence, Subject: "node/1", Value: []byte{1}}})
		require.Equal(t, min(i+1, 2), nonEmpty(b), "evidence that was not offered does not cover evidence that was sent")
		b.Apply(0, *b.Unoffered())
		send(b, r, up)
		require.Equal(t, uint64(i+1), r.seen[own])
		require.Equal(t, [2]int{1, 1}, [2]int{nonEmpty(b), nonEmpty(r)})
	}
	send(other, r, NewForwarderTo(func() *Site { return other }, Timing{MaxFailures: 9}, "r"))
	assert.Zero(t, other.seen[own])
	send(r, p, NewForwarder(func() *Site { return r }, Timing{MaxFailures: 9}))
	assert.Empty(t, r.Subjects(Evidence), "the root site has it")
	receipts := 0
	for _, e := range send(b, p, NewForwarderTo(func() *Site { return b }, Timing{MaxFailures: 9}, "p")) {
		if e.Kind == EffectReceipt && e.Receipt.Outcome == Applied {
			receipts++
		}
	}
	assert.Equal(t, 5, receipts)
	for _, s := range []*Site{b, p} {
		v, _ := s.Value(Evidence, "node/1")
		assert.Equal(t, []byte{5}, v.Value)
		assert.Len(t, s.itemsOf(subjectKey{Evidence, "node/1"}), 1)
	}
}

// TestCallsAreBoundedInBytes: with writes of the longest size, a call holds as many as a peer accepts in one message,
// and at least one.
func TestCallsAreBoundedInBytes(t *testing.T) {
	const maxBytes = 1 << 20 // peer.Limits.Body
	large := func(n byte) []byte { return bytes.Repeat([]byte{n + 1}, 64<<10) }
	limits := Limits{Bytes: 64 << 20, Number: 4000, Batch: 256, Held: 4}
	keepLast := func(a, b []byte) ([]byte, error) { return b, nil }
	p := New(Place{Site: "p", Incarnation: 1}, limits).WithMerge(keepLast)
	b := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, limits).WithMerge(keepLast)
	for i := range byte(40) {
		b.Apply(0, Command{Write: &LocalWrite{Kind: Evidence, Subject: fmt.Sprint(i), Value: large(i)}})
		p.Apply(0, Command{Write: &LocalWrite{Kind: Note, Subject: fmt.Sprint(i), Value: large(i)}})
	}
	for i := range 9000 { // a long list of refusals, as after a long absence of a site
		p.refuse(Receipt{ID: ID{Origin{Site: "gone", Incarnation: 1}, uint64(i + 1)}, Outcome: Refused, Why: "closed by p.1/1: taken off"})
	}
	b.Apply(0, *b.Unoffered())
	c := NewForwarder(func() *Site { return b }, Timing{MaxFailures: 9})
	for calls := 0; len(p.Subjects(Evidence)) < 40 || len(b.Subjects(Note)) < 40; calls++ {
		require.Less(t, calls, 60)
		_, call, _ := c.Next(time.Hour)
		require.Less(t, len(call.Bytes()), maxBytes)
		p.Apply(0, Command{Batch: call})
		a := p.Answer(call, 256, 0)
		require.Less(t, len(a.Bytes()), maxBytes)
		if cmd := c.Answered(0, a); cmd != nil {
			b.Apply(0, *cmd)
		}
	}
	_, others := b.Waiting()
	assert.Zero(t, others)
	assert.Equal(t, p.Seen().Highest(Origin{Site: "p", Incarnation: 1}), b.Seen().Highest(Origin{Site: "p", Incarnation: 1}))
	assert.Len(t, b.refused, 9000)
}

// TestClosingWriteIsNotOverwritten, not even by a write whose token names it, at a site that it has not reached.
func TestClosingWriteIsNotOverwritten(t *testing.T) {
	p := New(Place{Site: "p", Incarnation: 1}, testLimits)
	b := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}}, testLimits)
	write := func(value, token string, closes bool) Command {
		return Command{Write: &LocalWrite{Kind: Policy, Subject: "1", Value: []byte(value), Token: token, Closes: closes}}
	}
	p.Apply(0, write("halt", "", true))
	b.Apply(0, write("resume", p.Token(), false))
	b.Apply(0, Command{Down: p.Answer(&Batch{From: b.Self()}, 0, 0).Down})
	v, any := b.Value(Policy, "1")
	assert.True(t, any && v.Closed, "the subject is closed before the receipt of the overwriting write has come")
}

// TestIncarnationThatHasYetToCallIsNotClosed: a token names a building's new incarnation while the root site knows only
// the old one.
func TestIncarnationThatHasYetToCallIsNotClosed(t *testing.T) {
	place := func(site string, incarnation uint64) *Site {
		return New(Place{Site: site, Level: 1, Incarnation: incarnation, StoreCreated: time.Duration(incarnation),
			Ancestors: []string{"p"}}, testLimits)
	}
	p, a := New(Place{Site: "p", Incarnation: 1}, testLimits), place("a", 1)
	call := func(s *Site, f []Effect) {
		b := &Batch{From: s.Self(), Seen: s.Seen()}
		for _, e := range f {
			b.Writes = append(b.Writes, *e.Write)
		}
		p.Apply(0, Command{Batch: b})
	}
	write := func(s *Site, token string) []Effect {
		return s.Apply(0, Command{Write: &LocalWrite{Kind: Work, Subject: "1", Value: []byte("done"), Token: token}})
	}
	r := place("r", 1)
	p.Apply(0, Command{Batch: &Batch{From: r.Self(), Incarnations: []SiteIncarnation{{"b", 1, 1}}}}) // it knows of no later one
	b := place("b", 2)
	named := write(b, "")
	naming := write(a, b.Token())
	call(a, naming)
	call(r, nil)
	call(a, nil)
	assert.False(t, p.Judged().Has(naming[0].ID), "it waits for its dependency")
	call(r, named)
	assert.True(t, p.Judged().Has(naming[0].ID))
	_, refused := p.Refusal(naming[0].ID)
	assert.False(t, refused, "nothing was lost")
}
