// Package upstreammodel is writes that travel upstream (package choice/upstream) as a model for the checker: a building, a
// regency and a province with the real state of each, a network that loses, repeats and reorders, two routes, and a store
// that is lost. What is true of a write (what its writer had seen, what it says) is kept beside the sites, by tags, and what
// the sites do is held against it.
//
// A state in which nothing is under way is also asked whether the sites come to hold the same once links are whole: a copy
// is let call until nothing changes any more. So convergence is checked from every such state, and not by fairness.
//
// The same package has the storm: many sites that come back to one province at once, in virtual time, with the plain way
// beside it for comparison.
package upstreammodel

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/rehearsal/model"
)

// The sites.
const (
	building = iota
	regency
	province
	sites
)

var names = [sites]string{"building", "regency", "province"}

// limits are those of all sites of the model. Pieces of a state are of one write.
var limits = sitesync.Limits{Bytes: 1 << 20, Number: 100, Batch: 1, Held: 2}

// tags is a set of writes, by their numbers in the scenario.
type tags uint16

func (t tags) has(i int) bool { return t>>i&1 == 1 }

// truth is what is known of a write that was made: beside the sites, which do not see it.
type truth struct {
	id     sitesync.ID
	past   tags // what its writer had seen
	merged int  // the tag of the write that it was merged into, plus one
}

// node is a site with its bytes.
type node struct {
	site *sitesync.Site
	enc  []byte
}

func nodeOf(s *sitesync.Site) node { return node{site: s} }

// sealed returns a state with the bytes of its sites made.
func (s State) sealed() State {
	for i := range s.nodes {
		if s.nodes[i].enc == nil {
			s.nodes[i].enc = s.nodes[i].site.Encode()
		}
	}
	return s
}

// message is a call or an answer under way.
type message struct {
	from, to int
	call     []byte // of a call: the batch
	answer   []byte // of an answer
	holds    tags   // of an answer: what its sender held
	enc      []byte
}

// State is the whole world. What it points to is never changed.
type State struct {
	nodes  [sites]node
	net    []message // sorted by bytes
	known  [sites][sites][]byte
	truths []truth
	made   tags // writes that were made
	gone   tags // writes that ended with the lost store, before they left it
	out    tags // writes that have left their site
	held   [sites]tags
	judged [][]byte // by tag: the outcome of its receipt
	sent   uint8
	losses uint8
	twice  uint8
	lost   bool // the building's store
	bad    uint32
}

// The properties.
const (
	badTwice = iota
	badOrder
	badReceipt
	badLives
	badSame
	badNoReceipt
	badOverruled
	badSum
)

var properties = []string{
	"U1 a write is applied at most once at each site",
	"U1 a write is applied only after all that its writer had seen",
	"U3 a write has one receipt at most, and what it says is true",
	"U5 numbers of two lives are never taken for one another",
	"U2 once links are whole, all sites hold the same, and of evidence their own",
	"U3 once links are whole, every write has had its receipt",
	"U4 what falls with a refused write is judged so, and what was seen and written over does not come back",
	"U2 evidence is counted once",
}

// Model is a scenario with the bounds of the network.
type Model struct {
	Scenario Scenario
	Sends    int // calls in all
	Losses   int
	Twice    int // messages that come twice
	plant    plant
}

// New returns the model of a scenario, with a planted bug unless its name is empty.
func New(scenario, bug string) (*Model, error) {
	m := &Model{}
	found := false
	for _, sc := range scenarios {
		if sc.Name == scenario {
			m.Scenario, found = sc, true
		}
	}
	if !found {
		return nil, fmt.Errorf("no scenario is named %q", scenario)
	}
	m.Sends, m.Losses, m.Twice = m.Scenario.Sends, m.Scenario.Losses, m.Scenario.Twice
	if bug == "" {
		return m, nil
	}
	for _, p := range plants {
		if p.Name == bug {
			m.plant = p
			return m, nil
		}
	}
	return nil, fmt.Errorf("no bug is named %q", bug)
}

func place(site int, life uint64) sitesync.Place {
	p := sitesync.Place{Site: names[site], Level: sites - 1 - site, Incarnation: life, StoreCreated: 1}
	p.Ancestors = append(p.Ancestors, names[site+1:]...)
	if life > 1 {
		p.StoreCreated = 2
	}
	return p
}

func fresh(p sitesync.Place) *sitesync.Site { return sitesync.New(p, limits).WithMerge(addUp) }

// addUp merges evidence that is one byte.
func addUp(a, b []byte) ([]byte, error) {
	if len(a) != 1 || len(b) != 1 {
		return nil, fmt.Errorf("evidence is one byte, not %d and %d", len(a), len(b))
	}
	return []byte{a[0] + b[0]}, nil
}

// Initial implements model.Model.
func (m *Model) Initial() []State {
	s := State{truths: make([]truth, len(m.Scenario.Writes)), judged: make([][]byte, len(m.Scenario.Writes))}
	for i := range s.nodes {
		s.nodes[i] = nodeOf(fresh(place(i, 1)))
	}
	return []State{s.sealed()}
}

// The steps: an operation in the high bits, and what it is about.
const (
	opWrite model.Step = iota << 8
	opSend
	opArrive
	opTwice
	opLose
	opLostStore
)

// Steps implements model.Model.
func (m *Model) Steps(s State, put func(model.Step, State)) {
	yield := func(by model.Step, n State) { put(by, n.sealed()) }
	for i, w := range m.Scenario.Writes {
		if s.made.has(i) || m.Scenario.Lost && w.afterLoss != s.lost && w.Site == building {
			continue
		}
		if w.after > 0 && !s.made.has(w.after-1) {
			continue
		}
		if n, ok := m.write(s, i); ok {
			yield(opWrite|model.Step(i), n)
		}
	}
	if int(s.sent) < m.Sends {
		for from := range province {
			for to := from + 1; to < sites; to++ {
				if m.Scenario.NoRelay && from == building && to == regency {
					continue
				}
				if n, ok := m.send(s, from, to); ok {
					yield(opSend|model.Step(from*sites+to), n)
				}
			}
		}
	}
	for i := range s.net {
		if i > 0 && bytes.Equal(s.net[i].enc, s.net[i-1].enc) {
			continue
		}
		yield(opArrive|model.Step(i), m.arrive(s, i, true))
		if int(s.twice) < m.Twice {
			n := m.arrive(s, i, false)
			n.twice++
			yield(opTwice|model.Step(i), n)
		}
		if int(s.losses) < m.Losses {
			n := s
			n.net = slices.Delete(slices.Clone(s.net), i, i+1)
			n.losses++
			yield(opLose|model.Step(i), n)
		}
	}
	if m.Scenario.Lost && !s.lost && s.made != 0 {
		yield(opLostStore, m.loseStore(s))
	}
}

// loseStore begins a new life of the building.
func (m *Model) loseStore(s State) State {
	life := uint64(2)
	if m.plant.sameLife {
		life = 1
	}
	p := place(building, life)
	if m.plant.unborn {
		p.StoreCreated = 0
	}
	s.nodes[building] = nodeOf(fresh(p))
	s.known[building] = [sites][]byte{}
	s.held[building] = 0
	s.lost = true
	for i, w := range m.Scenario.Writes {
		if w.Site == building && s.made.has(i) && !s.out.has(i) {
			s.gone |= 1 << i
		}
	}
	return s
}

// write makes a write of the scenario at its site.
func (m *Model) write(s State, i int) (State, bool) {
	w := m.Scenario.Writes[i]
	l := w.Local
	l.By = fmt.Sprint(i)
	past := s.held[w.Site] &^ m.evidence(func(Write) bool { return true })
	switch {
	case l.Urgent:
		past = 0
	case l.Kind == sitesync.Evidence: // it waits for that of its own site alone
		past = s.held[w.Site] & m.evidence(func(x Write) bool { return x.Site == w.Site })
	}
	for _, t := range w.needs {
		if !s.held[w.Site].has(t) {
			return s, false
		}
		l.Needs = append(l.Needs, s.truths[t].id)
		past |= 1<<t | s.truths[t].past
	}
	if w.token > 0 {
		l.Token = s.nodes[w.token-1].site.Token()
		past |= s.held[w.token-1]
	}
	if l.Urgent {
		for j, x := range m.Scenario.Writes {
			if s.held[w.Site].has(j) && x.Local.Kind == l.Kind && x.Local.Subject == l.Subject {
				past |= 1<<j | s.truths[j].past
			}
		}
	}
	if m.plant.local != nil {
		m.plant.local(&l)
	}
	s.truths = slices.Clone(s.truths)
	s.truths[i] = truth{past: past}
	s.made |= 1 << i
	f := m.apply(&s, w.Site, sitesync.Command{Write: &l}, 0)
	for _, e := range f {
		switch e.Kind {
		case sitesync.EffectMerged:
			for j := range s.truths {
				if s.made.has(j) && j != i && s.truths[j].id == e.ID {
					s.truths[i].merged = j + 1
				}
			}
			s.truths[i].id = e.ID
		case sitesync.EffectRefused:
			return s, false
		}
	}
	s.held[w.Site] |= 1 << i
	return s, true
}

// apply applies a command at a site and holds what it brings against the truth. Holds is what the sender of a state held.
func (m *Model) apply(s *State, at int, c sitesync.Command, holds tags) []sitesync.Effect {
	site := s.nodes[at].site.Clone()
	if c.Down != nil && m.plant.down != nil {
		m.plant.down(at, c.Down)
	}
	f := site.Apply(1, c)
	s.nodes[at] = nodeOf(site)
	// What a site held is told from what it had seen; what came through a state is covered at once.
	if d := c.Down; d == nil || !d.Last || slices.ContainsFunc(d.Seen, func(k sitesync.VectorEntry) bool {
		return !site.Seen().Has(sitesync.ID{Origin: k.Origin, Number: k.Number})
	}) {
		holds = 0 // it was not joined
	}
	had := s.held[at] | holds
	for _, e := range f {
		switch e.Kind {
		case sitesync.EffectApplied:
			i, ok := tagOf(e.Write)
			for j := range s.truths { // evidence that is emptied names nobody
				if !ok && s.made.has(j) && s.truths[j].id == e.ID {
					i, ok = j, true
				}
			}
			if !ok {
				continue
			}
			if e.Write.Kind == sitesync.Evidence && m.Scenario.Writes[i].Site > at {
				s.bad |= 1 << badSame
			}
			if s.made.has(i) {
				if s.truths[i].id.Number == 0 { // it is being made
					s.truths[i].id = e.ID
				}
				if s.truths[i].id.Origin.Incarnation != e.ID.Origin.Incarnation {
					s.bad |= 1 << badLives
				}
				if s.held[at].has(i) {
					s.bad |= 1 << badTwice
				}
				for j := range s.truths {
					if _, refused := site.Refusal(s.truths[j].id); refused && s.made.has(j) {
						had |= 1 << j
					}
				}
				if at == province && s.truths[i].past&^had&^s.gone != 0 {
					s.bad |= 1 << badOrder
				}
			}
			s.held[at] |= 1 << i
			for j := range s.truths { // what was merged into it comes with it
				if s.made.has(j) && s.truths[j].id == e.ID {
					s.held[at] |= 1 << j
				}
			}
			had |= s.held[at]
		case sitesync.EffectReceipt:
			m.receipt(s, e.Receipt)
		}
	}
	s.held[at] |= holds
	return f
}

func tagOf(w *sitesync.Write) (int, bool) {
	var i int
	_, err := fmt.Sscan(w.By, &i)
	return i, err == nil
}

// receipt holds a receipt against what the province says.
func (m *Model) receipt(s *State, r sitesync.Receipt) {
	for i := range s.truths {
		t := &s.truths[i]
		if !s.made.has(i) || t.id != r.ID || t.merged > 0 {
			continue
		}
		if s.judged[i] != nil {
			s.bad |= 1 << badReceipt
		}
		s.judged = slices.Clone(s.judged)
		s.judged[i] = []byte{byte(r.Outcome)}
		if !s.nodes[province].site.Judged().Has(r.ID) { // nobody above has it
			s.bad |= 1 << badReceipt
		}
	}
}

// courier returns a site's courier for one call to a site above, with what the last answer said is known there.
func (m *Model) courier(s *State, from, to int, credit int) *sitesync.Batch {
	site := s.nodes[from].site
	if u := site.Unoffered(); u != nil && !m.plant.noOffer {
		m.apply(s, from, *u, 0)
		site = s.nodes[from].site
	} else if u != nil { // sent all the same, and not committed
		site = site.Clone()
		site.Apply(1, *u)
	}
	one := reach{site, names[to]}
	b := one.call(s.known[from][to], credit)
	if m.plant.batch != nil {
		m.plant.batch(b)
	}
	if m.plant.cutOnSend && len(b.Writes) > 0 {
		d := &sitesync.StateUpdate{From: names[to], Incarnation: 1, To: site.Self().Incarnation}
		for _, w := range b.Writes {
			if w.ID.Origin.Site == names[from] {
				d.Judged = sitesync.VersionVector{{Origin: w.ID.Origin, Number: w.ID.Number}}
			}
		}
		m.apply(s, from, sitesync.Command{Down: d}, 0)
	}
	for i, t := range s.truths {
		if s.made.has(i) && m.Scenario.Writes[i].Site == from && b.Seen.Has(t.id) {
			s.out |= 1 << i
		}
	}
	return b
}

// send puts a call on its way.
func (m *Model) send(s State, from, to int) (State, bool) {
	b := m.courier(&s, from, to, 2)
	s.sent++
	s.put(message{from: from, to: to, call: b.Bytes()})
	return s, true
}

func (s *State) put(msg message) {
	msg.enc = append([]byte{byte(msg.from), byte(msg.to), byte(msg.holds), byte(msg.holds >> 8), 0}, msg.call...)
	msg.enc = append(msg.enc, msg.answer...)
	if msg.answer != nil {
		msg.enc[4] = 1
	}
	net := append(slices.Clone(s.net), msg)
	slices.SortFunc(net, func(a, b message) int { return bytes.Compare(a.enc, b.enc) })
	s.net = net
}

// arrive lets a message arrive; it stays under way if it is to come twice.
func (m *Model) arrive(s State, i int, last bool) State {
	msg := s.net[i]
	if last {
		s.net = slices.Delete(slices.Clone(s.net), i, i+1)
	}
	if msg.call != nil {
		a, holds := m.called(&s, msg.to, msg.call)
		s.put(message{from: msg.to, to: msg.from, answer: a.Bytes(), holds: holds})
		return s
	}
	m.answered(&s, msg)
	return s
}

// called takes a call in and answers it.
func (m *Model) called(s *State, at int, call []byte) (*sitesync.Answer, tags) {
	b, err := sitesync.ParseBatch(call)
	if err != nil {
		panic(err)
	}
	taken := *b
	if m.plant.taken != nil {
		m.plant.taken(at, &taken)
	}
	if u := s.nodes[at].site.Unoffered(); u != nil && !m.plant.noOffer {
		m.apply(s, at, *u, 0)
	}
	m.apply(s, at, sitesync.Command{Batch: &taken}, 0)
	site := s.nodes[at].site
	if m.plant.noOffer {
		if u := site.Unoffered(); u != nil {
			site = site.Clone()
			site.Apply(1, *u)
		}
	}
	a := site.Answer(b, 2, 0)
	for i, t := range s.truths {
		if s.made.has(i) && m.Scenario.Writes[i].Site == at && a.Down.Seen.Has(t.id) {
			s.out |= 1 << i
		}
	}
	if m.plant.answer != nil {
		m.plant.answer(s, at, a)
	}
	return a, s.held[at] &^ m.evidence(func(Write) bool { return true })
}

// evidence returns the evidence of a scenario that has a property.
func (m *Model) evidence(which func(Write) bool) (t tags) {
	for i, w := range m.Scenario.Writes {
		if w.Local.Kind == sitesync.Evidence && which(w) {
			t |= 1 << i
		}
	}
	return t
}

// answered takes an answer in: what is known above, and its state, if it is whole.
func (m *Model) answered(s *State, msg message) {
	a, err := sitesync.ParseAnswer(msg.answer)
	if err != nil {
		panic(err)
	}
	if m.plant.anyLife {
		a.Down.To = s.nodes[msg.to].site.Self().Incarnation
	}
	if a.Down.To != s.nodes[msg.to].site.Self().Incarnation {
		return // the courier that called is gone with the store
	}
	known := sitesync.VersionVector{}
	if b := s.known[msg.to][msg.from]; b != nil {
		known, _ = sitesync.ParseToken(string(b))
	}
	s.known[msg.to][msg.from] = []byte(joined(known, a.Seen).Encode())
	if a.Down.Last || len(a.Down.Judged) > 0 {
		m.apply(s, msg.to, sitesync.Command{Down: a.Down}, msg.holds)
	}
}

// joined returns a vector with all of two.
func joined(a, b sitesync.VersionVector) sitesync.VersionVector {
	list := slices.Concat(a, b)
	slices.SortFunc(list, func(x, y sitesync.VectorEntry) int {
		if c := x.Origin.Compare(y.Origin); c != 0 {
			return c
		}
		return int(y.Number) - int(x.Number)
	})
	return slices.CompactFunc(list, func(x, y sitesync.VectorEntry) bool { return x.Origin == y.Origin })
}

// reach is a site for one call.
type reach struct {
	site *sitesync.Site
	to   string
}

// call makes the call that the site's courier would, given what it knows of the other site and has credit for.
func (r reach) call(known []byte, credit int) *sitesync.Batch {
	c := sitesync.NewForwarderTo(func() *sitesync.Site { return r.site }, sitesync.Timing{MaxFailures: 9}, r.to)
	if _, hello, _ := c.Next(0); hello == nil {
		panic("upstreammodel: a courier makes no first call")
	}
	a := &sitesync.Answer{From: r.to, Incarnation: 1, Credit: credit}
	if known != nil {
		a.Seen, _ = sitesync.ParseToken(string(known))
	}
	c.Answered(0, a)
	_, b, _ := c.Next(0)
	return b
}

// Canonical implements model.Model: the sites are not alike.
func (m *Model) Canonical(s State) State { return s }

// Encode implements model.Model.
func (m *Model) Encode(to []byte, s State) []byte {
	for i := range s.nodes {
		to = append(append(to, s.nodes[i].enc...), 0)
	}
	for i := range s.net {
		to = append(append(to, s.net[i].enc...), 0)
	}
	for i := range s.known {
		for j := range s.known[i] {
			to = append(append(to, s.known[i][j]...), 1)
		}
		to = binary.BigEndian.AppendUint16(to, uint16(s.held[i]))
	}
	for i := range s.truths {
		t := &s.truths[i]
		to = binary.BigEndian.AppendUint16(to, uint16(t.past))
		to = append(to, byte(t.id.Number), byte(t.id.Origin.Incarnation), byte(t.merged), byte(len(s.judged[i])))
		to = append(to, s.judged[i]...)
	}
	for _, t := range [3]tags{s.made, s.gone, s.out} {
		to = binary.BigEndian.AppendUint16(to, uint16(t))
	}
	lost := byte(0)
	if s.lost {
		lost = 1
	}
	to = append(to, s.sent, s.losses, s.twice, lost)
	return binary.BigEndian.AppendUint32(to, s.bad)
}

// Violated implements model.Model. A state in which nothing is under way is healed in a copy.
func (m *Model) Violated(s State) uint32 {
	if s.bad == 0 && len(s.net) == 0 {
		return m.healed(s)
	}
	return s.bad
}

// healed lets a copy of the sites call, the links whole, until nothing changes any more, and says what does not hold then.
func (m *Model) healed(s State) uint32 {
	s.truths = slices.Clone(s.truths)
	quiet := 0
	for range 40 {
		s = s.sealed()
		was := s.nodes
		for from := range province {
			for to := from + 1; to < sites; to++ {
				m.whole(&s, from, to)
			}
		}
		s = s.sealed()
		same := true
		for i := range s.nodes {
			same = same && bytes.Equal(was[i].enc, s.nodes[i].enc)
		}
		if quiet++; !same {
			quiet = 0
		}
		if quiet == 2 {
			break
		}
	}
	return s.bad | m.differ(&s)
}

// whole makes calls from one site to another until the whole state has come down.
func (m *Model) whole(s *State, from, to int) {
	for range 8 {
		b := m.courier(s, from, to, 9)
		call := b.Bytes()
		a, holds := m.called(s, to, call)
		known := sitesync.VersionVector{}
		if k := s.known[from][to]; k != nil {
			known, _ = sitesync.ParseToken(string(k))
		}
		s.known[from][to] = []byte(joined(known, a.Seen).Encode())
		var down *sitesync.StateUpdate
		for !a.Down.Last { // the further pieces
			down = m.pieces(down, a.Down)
			more := *b
			more.Writes, more.Cursor = nil, sitesync.Cursor{Incarnation: a.Incarnation, At: down.Until}
			a, holds = m.called(s, to, more.Bytes())
		}
		m.apply(s, from, sitesync.Command{Down: m.pieces(down, a.Down)}, holds)
		if len(b.Writes) == 0 {
			return
		}
	}
}

// pieces puts a piece of a state behind those before it, as a courier does.
func (m *Model) pieces(before, d *sitesync.StateUpdate) *sitesync.StateUpdate {
	if before != nil {
		d.After = before.After
		d.Subjects = slices.Concat(before.Subjects, d.Subjects)
		d.Writes = slices.Concat(before.Writes, d.Writes)
		if !m.plant.pieces {
			d.Refused = slices.Concat(before.Refused, d.Refused)
		}
	}
	return d
}

// differ says what does not hold of sites that have called until nothing changed.
func (m *Model) differ(s *State) (bad uint32) {
	top := s.nodes[province].site
	for i := range province {
		x := s.nodes[i].site
		own, others := x.Waiting()
		if own+others+x.Held() > 0 || !slices.Equal(top.Seen(), x.Seen()) {
			bad |= 1 << badSame
		}
		bad |= m.ownEvidence(s, i)
		for t := range s.truths { // what was not taken is known everywhere
			_, a := top.Refusal(s.truths[t].id)
			if _, b := x.Refusal(s.truths[t].id); a != b {
				bad |= 1 << badSame
			}
		}
		for k := sitesync.Note; int(k) < sitesync.Kinds; k++ {
			if !slices.Equal(top.Subjects(k), x.Subjects(k)) {
				bad |= 1 << badSame
				continue
			}
			for _, name := range top.Subjects(k) {
				a, _ := top.Value(k, name)
				b, _ := x.Value(k, name)
				if a.Write.ID != b.Write.ID || !bytes.Equal(a.Value, b.Value) || len(a.Concurrent) != len(b.Concurrent) {
					bad |= 1 << badSame
				}
			}
		}
	}
	for i := range m.Scenario.Writes {
		if !s.made.has(i) || s.truths[i].merged > 0 || m.Scenario.Writes[i].Site == building && s.lost && !m.Scenario.Writes[i].afterLoss {
			continue
		}
		if s.judged[i] == nil {
			bad |= 1 << badNoReceipt
		}
	}
	return bad | m.overruled(s, top) | m.sums(s, top)
}

// ownEvidence checks that a site below the top holds what it wrote itself in this life, and nothing else.
func (m *Model) ownEvidence(s *State, at int) (bad uint32) {
	want := map[string]byte{}
	for i, w := range m.Scenario.Writes {
		if w.Local.Kind == sitesync.Evidence && s.made.has(i) && w.Site == at && (at != building || w.afterLoss == s.lost) {
			want[w.Local.Subject] += w.Local.Value[0]
		}
	}
	site := s.nodes[at].site
	held := site.Subjects(sitesync.Evidence)
	for _, name := range held {
		if v, _ := site.Value(sitesync.Evidence, name); len(v.Value) != 1 || v.Value[0] != want[name] || len(v.Concurrent) > 0 {
			bad |= 1 << badSame
		}
	}
	if len(held) != len(want) {
		bad |= 1 << badSame
	}
	return bad
}

// overruled checks the outcomes against the truth: a write that needs a refused one and falls with it is orphaned, and no
// write stands beside one whose writer had seen it.
func (m *Model) overruled(s *State, top *sitesync.Site) (bad uint32) {
	for i, w := range m.Scenario.Writes {
		for _, n := range w.needs {
			if s.judged[i] == nil || s.judged[n] == nil || w.Local.Kind != sitesync.Work {
				continue
			}
			fell := sitesync.Outcome(s.judged[n][0]) >= sitesync.Refused
			if fell && sitesync.Outcome(s.judged[i][0]) < sitesync.Refused {
				bad |= 1 << badOverruled
			}
		}
	}
	for k := range sitesync.Kind(sitesync.Kinds) {
		for _, name := range top.Subjects(k) {
			v, _ := top.Value(k, name)
			stand := append([]sitesync.Write{v.Write}, v.Concurrent...)
			for a := range stand {
				for b := range stand {
					i, ok := tagOf(&stand[a])
					j, fine := tagOf(&stand[b])
					if ok && fine && i != j && k != sitesync.Evidence && s.truths[i].past.has(j) {
						bad |= 1 << badOverruled
					}
				}
			}
		}
	}
	return bad
}

// sums checks that evidence that was not lost with a store counts once.
func (m *Model) sums(s *State, top *sitesync.Site) (bad uint32) {
	want, atLeast := map[string]byte{}, map[string]byte{}
	for i, w := range m.Scenario.Writes {
		if w.Local.Kind != sitesync.Evidence || !s.made.has(i) {
			continue
		}
		want[w.Local.Subject] += w.Local.Value[0]
		if !(s.lost && w.Site == building && !w.afterLoss) {
			atLeast[w.Local.Subject] += w.Local.Value[0]
		}
	}
	for name, n := range want {
		v, _ := top.Value(sitesync.Evidence, name)
		if len(v.Value) > 0 && v.Value[0] > n || atLeast[name] > 0 && (len(v.Value) == 0 || v.Value[0] < atLeast[name]) {
			bad |= 1 << badSum
		}
	}
	return bad
}

// Pending implements model.Model: convergence is checked in Violated.
func (m *Model) Pending(State) uint8 { return 0 }

// Done implements model.Model.
func (m *Model) Done(State) bool { return true }

// FairnessClasses implements model.Model.
func (m *Model) FairnessClasses(model.Step) model.Fairness { return 0 }

// SafetyProperties implements model.Model.
func (m *Model) SafetyProperties() []string { return properties }

// LivenessProperties implements model.Model.
func (m *Model) LivenessProperties() []string { return nil }

// Describe implements model.Model.
func (m *Model) Describe(s State, by model.Step, _ State) string {
	i := int(by & 255)
	switch by &^ 255 {
	case opWrite:
		w := m.Scenario.Writes[i]
		return fmt.Sprintf("the %s writes %s %s: %q", names[w.Site], w.Local.Kind, w.Local.Subject, w.Local.Value)
	case opSend:
		return fmt.Sprintf("the %s calls the %s", names[i/sites], names[i%sites])
	case opLostStore:
		return "the building loses its store"
	}
	msg := s.net[i]
	what := "call"
	if msg.answer != nil {
		what = "answer"
	}
	verb := map[model.Step]string{opArrive: "arrives", opTwice: "arrives, and will again", opLose: "is lost"}[by&^255]
	return fmt.Sprintf("the %s of the %s to the %s %s", what, names[msg.from], names[msg.to], verb)
}

// Expected says that no scenario by itself has to show anything: all of them do together.
func (m *Model) Expected() uint64 { return 0 }

// Covered implements model.Coverer.
func (m *Model) Covered(s State) (b uint64) {
	for i := range s.judged {
		if s.judged[i] != nil {
			b |= 1 << (s.judged[i][0] - 1)
		}
	}
	for i := range s.nodes {
		if s.nodes[i].site.Held() > 0 {
			b |= 1 << 4
		}
	}
	if s.gone != 0 {
		b |= 1 << 5
	}
	if len(s.net) > 1 {
		b |= 1 << 6
	}
	for i := range s.truths {
		if s.truths[i].merged > 0 {
			b |= 1 << 7
		}
	}
	return b
}

// CoverageGoals implements model.Coverer.
func (m *Model) CoverageGoals() []string {
	return []string{"applied", "superseded", "refused", "orphaned", "held back", "lost with a store", "two messages under way", "evidence merged"}
}

// Tell returns a run as text.
func Tell(m *Model, t model.Trace[State]) string {
	var b strings.Builder
	for i, step := range t.Steps {
		fmt.Fprintln(&b, m.Describe(t.States[i], step, t.States[i+1]))
	}
	return b.String()
}
