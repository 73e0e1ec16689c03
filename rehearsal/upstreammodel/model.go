// Package upstreammodel is a model of the writes between sites (package choice/sitesync) for the model checker. It runs the real
// code of a building, a regency and a province over a network that loses, duplicates and reorders messages, with two routes to the
// province and with the loss of a store. The truth about each write (what its writer had observed, and its content) is kept outside
// the sites, by the write's index in the scenario, and what the sites do is compared with it.
//
// In a state without messages in transit, Violated also checks convergence: in a copy, the sites call each other over working links
// until nothing changes. So convergence is checked from every such state, and needs no fairness.
//
// The package also has the reconnect storm: many sites reconnect to one province at once, in virtual time. A plain protocol serves
// for comparison.
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

var siteNames = [sites]string{"building", "regency", "province"}

// limits apply to all sites of the model. A chunk of a state holds one write.
var limits = sitesync.Limits{Bytes: 1 << 20, Number: 100, Batch: 1, Held: 2}

// writeSet is a set of writes, by their indexes in the scenario.
type writeSet uint16

func (t writeSet) has(i int) bool { return t>>i&1 == 1 }

// writeInfo is the truth about a write that was made. The sites do not see it.
type writeInfo struct {
	id         sitesync.ID
	observed   writeSet // by its writer
	mergedInto int      // index of the write that it was merged into, plus one
}

// node is a site with its encoding.
type node struct {
	site    *sitesync.Site
	encoded []byte
}

func newNode(s *sitesync.Site) node { return node{site: s} }

// withEncodings returns a state in which all sites have their encodings.
func (s State) withEncodings() State {
	for i := range s.nodes {
		if s.nodes[i].encoded == nil {
			s.nodes[i].encoded = s.nodes[i].site.Encode()
		}
	}
	return s
}

// message is a call or an answer in transit.
type message struct {
	from, to    int
	batch       []byte   // of a call
	answer      []byte   // of an answer
	senderHolds writeSet // of an answer: the writes that its sender held
	encoded     []byte
}

// State is the state of the world. Values behind pointers are never changed.
type State struct {
	nodes      [sites]node
	inTransit  []message // sorted by encoding
	known      [sites][sites][]byte
	writes     []writeInfo
	made       writeSet // by their writers
	lostWrites writeSet // lost with the store before they were sent
	sentWrites writeSet // that have left their site
	held       [sites]writeSet
	outcomes   [][]byte // by write: the outcome in its receipt
	calls      uint8
	losses     uint8
	duplicates uint8
	storeLost  bool // of the building
	violations uint32
}

// The properties.
const (
	badAppliedTwice = iota
	badOrder
	badReceipt
	badIncarnation
	badDivergence
	badNoReceipt
	badOverwrite
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

// Model is a scenario with the limits of the network.
type Model struct {
	Scenario      Scenario
	MaxCalls      int // in total
	MaxLosses     int
	MaxDuplicates int // messages that arrive twice
	bug           injectedBug
}

// New returns the model of a scenario, with the bug of that name injected unless the name is empty.
func New(scenario, bugName string) (*Model, error) {
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
	m.MaxCalls, m.MaxLosses, m.MaxDuplicates = m.Scenario.MaxCalls, m.Scenario.MaxLosses, m.Scenario.MaxDuplicates
	if bugName == "" {
		return m, nil
	}
	for _, p := range injectedBugs {
		if p.Name == bugName {
			m.bug = p
			return m, nil
		}
	}
	return nil, fmt.Errorf("no bug is named %q", bugName)
}

func place(site int, incarnation uint64) sitesync.Place {
	p := sitesync.Place{Site: siteNames[site], Level: sites - 1 - site, Incarnation: incarnation, StoreCreated: 1}
	p.Ancestors = append(p.Ancestors, siteNames[site+1:]...)
	if incarnation > 1 {
		p.StoreCreated = 2
	}
	return p
}

func newSite(p sitesync.Place) *sitesync.Site { return sitesync.New(p, limits).WithMerge(addEvidence) }

// addEvidence merges evidence, which is one byte in the model.
func addEvidence(a, b []byte) ([]byte, error) {
	if len(a) != 1 || len(b) != 1 {
		return nil, fmt.Errorf("evidence is one byte, not %d and %d", len(a), len(b))
	}
	return []byte{a[0] + b[0]}, nil
}

// Initial implements model.Model.
func (m *Model) Initial() []State {
	s := State{writes: make([]writeInfo, len(m.Scenario.Writes)), outcomes: make([][]byte, len(m.Scenario.Writes))}
	for i := range s.nodes {
		s.nodes[i] = newNode(newSite(place(i, 1)))
	}
	return []State{s.withEncodings()}
}

// The steps: the operation is in the high bits, its argument in the low ones.
const (
	opWrite model.Step = iota << 8
	opSend
	opArrive
	opDuplicate
	opLose
	opLoseStore
)

// Steps implements model.Model.
func (m *Model) Steps(s State, emit func(model.Step, State)) {
	yield := func(by model.Step, next State) { emit(by, next.withEncodings()) }
	for i, w := range m.Scenario.Writes {
		if s.made.has(i) || m.Scenario.StoreLoss && w.afterLoss != s.storeLost && w.Site == building {
			continue
		}
		if w.after > 0 && !s.made.has(w.after-1) {
			continue
		}
		if next, ok := m.makeWrite(s, i); ok {
			yield(opWrite|model.Step(i), next)
		}
	}
	if int(s.calls) < m.MaxCalls {
		for from := range province {
			for to := from + 1; to < sites; to++ {
				if m.Scenario.NoRelay && from == building && to == regency {
					continue
				}
				if next, ok := m.send(s, from, to); ok {
					yield(opSend|model.Step(from*sites+to), next)
				}
			}
		}
	}
	for i := range s.inTransit {
		if i > 0 && bytes.Equal(s.inTransit[i].encoded, s.inTransit[i-1].encoded) {
			continue
		}
		yield(opArrive|model.Step(i), m.arrive(s, i, true))
		if int(s.duplicates) < m.MaxDuplicates {
			next := m.arrive(s, i, false)
			next.duplicates++
			yield(opDuplicate|model.Step(i), next)
		}
		if int(s.losses) < m.MaxLosses {
			next := s
			next.inTransit = slices.Delete(slices.Clone(s.inTransit), i, i+1)
			next.losses++
			yield(opLose|model.Step(i), next)
		}
	}
	if m.Scenario.StoreLoss && !s.storeLost && s.made != 0 {
		yield(opLoseStore, m.loseStore(s))
	}
}

// loseStore replaces the store of the building by an empty one with a new incarnation.
func (m *Model) loseStore(s State) State {
	incarnation := uint64(2)
	if m.bug.sameIncarnation {
		incarnation = 1
	}
	p := place(building, incarnation)
	if m.bug.noCreationTime {
		p.StoreCreated = 0
	}
	s.nodes[building] = newNode(newSite(p))
	s.known[building] = [sites][]byte{}
	s.held[building] = 0
	s.storeLost = true
	for i, w := range m.Scenario.Writes {
		if w.Site == building && s.made.has(i) && !s.sentWrites.has(i) {
			s.lostWrites |= 1 << i
		}
	}
	return s
}

// makeWrite makes a write of the scenario at its site.
func (m *Model) makeWrite(s State, i int) (State, bool) {
	w := m.Scenario.Writes[i]
	l := w.Local
	l.By = fmt.Sprint(i)
	observed := s.held[w.Site] &^ m.evidenceWrites(func(Write) bool { return true })
	switch {
	case l.Urgent:
		observed = 0
	case l.Kind == sitesync.Evidence: // evidence depends on that of its own site only
		observed = s.held[w.Site] & m.evidenceWrites(func(x Write) bool { return x.Site == w.Site })
	}
	for _, needed := range w.needs {
		if !s.held[w.Site].has(needed) {
			return s, false
		}
		l.Needs = append(l.Needs, s.writes[needed].id)
		observed |= 1<<needed | s.writes[needed].observed
	}
	if w.tokenSite > 0 {
		l.Token = s.nodes[w.tokenSite-1].site.Token()
		observed |= s.held[w.tokenSite-1]
	}
	if l.Urgent {
		for j, x := range m.Scenario.Writes {
			if s.held[w.Site].has(j) && x.Local.Kind == l.Kind && x.Local.Subject == l.Subject {
				observed |= 1<<j | s.writes[j].observed
			}
		}
	}
	if m.bug.changeWrite != nil {
		m.bug.changeWrite(&l)
	}
	s.writes = slices.Clone(s.writes)
	s.writes[i] = writeInfo{observed: observed}
	s.made |= 1 << i
	effects := m.apply(&s, w.Site, sitesync.Command{Write: &l}, 0)
	for _, e := range effects {
		switch e.Kind {
		case sitesync.EffectMerged:
			for j := range s.writes {
				if s.made.has(j) && j != i && s.writes[j].id == e.ID {
					s.writes[i].mergedInto = j + 1
				}
			}
			s.writes[i].id = e.ID
		case sitesync.EffectRefused:
			return s, false
		}
	}
	s.held[w.Site] |= 1 << i
	return s, true
}

// apply applies a command at a site and compares the effects with the truth. senderHolds is what the sender of a state held.
func (m *Model) apply(s *State, at int, c sitesync.Command, senderHolds writeSet) []sitesync.Effect {
	site := s.nodes[at].site.Clone()
	if c.Down != nil && m.bug.changeState != nil {
		m.bug.changeState(at, c.Down)
	}
	effects := site.Apply(1, c)
	s.nodes[at] = newNode(site)
	// The version vector of the site shows whether the state was joined. If it was, the site now holds all that the sender held.
	if d := c.Down; d == nil || !d.Last || slices.ContainsFunc(d.Seen, func(k sitesync.VectorEntry) bool {
		return !site.Seen().Has(sitesync.ID{Origin: k.Origin, Number: k.Number})
	}) {
		senderHolds = 0 // the state was not joined
	}
	available := s.held[at] | senderHolds
	for _, e := range effects {
		switch e.Kind {
		case sitesync.EffectApplied:
			i, ok := writeIndex(e.Write)
			for j := range s.writes { // emptied evidence has no By field
				if !ok && s.made.has(j) && s.writes[j].id == e.ID {
					i, ok = j, true
				}
			}
			if !ok {
				continue
			}
			if e.Write.Kind == sitesync.Evidence && m.Scenario.Writes[i].Site > at {
				s.violations |= 1 << badDivergence
			}
			if s.made.has(i) {
				if s.writes[i].id.Number == 0 { // the write is being made
					s.writes[i].id = e.ID
				}
				if s.writes[i].id.Origin.Incarnation != e.ID.Origin.Incarnation {
					s.violations |= 1 << badIncarnation
				}
				if s.held[at].has(i) {
					s.violations |= 1 << badAppliedTwice
				}
				for j := range s.writes {
					if _, refused := site.Refusal(s.writes[j].id); refused && s.made.has(j) {
						available |= 1 << j
					}
				}
				if at == province && s.writes[i].observed&^available&^s.lostWrites != 0 {
					s.violations |= 1 << badOrder
				}
			}
			s.held[at] |= 1 << i
			for j := range s.writes { // merged writes arrive with it
				if s.made.has(j) && s.writes[j].id == e.ID {
					s.held[at] |= 1 << j
				}
			}
			available |= s.held[at]
		case sitesync.EffectReceipt:
			m.checkReceipt(s, e.Receipt)
		}
	}
	s.held[at] |= senderHolds
	return effects
}

func writeIndex(w *sitesync.Write) (int, bool) {
	var i int
	_, err := fmt.Sscan(w.By, &i)
	return i, err == nil
}

// checkReceipt compares a receipt with the outcomes at the province.
func (m *Model) checkReceipt(s *State, r sitesync.Receipt) {
	for i := range s.writes {
		info := &s.writes[i]
		if !s.made.has(i) || info.id != r.ID || info.mergedInto > 0 {
			continue
		}
		if s.outcomes[i] != nil {
			s.violations |= 1 << badReceipt
		}
		s.outcomes = slices.Clone(s.outcomes)
		s.outcomes[i] = []byte{byte(r.Outcome)}
		if !s.nodes[province].site.Judged().Has(r.ID) { // the province has not judged it
			s.violations |= 1 << badReceipt
		}
	}
}

// nextBatch returns the batch of a site's next call to a site above, given what the last answer said is known there.
func (m *Model) nextBatch(s *State, from, to int, credit int) *sitesync.Batch {
	site := s.nodes[from].site
	if offer := site.Unoffered(); offer != nil && !m.bug.noOffer {
		m.apply(s, from, *offer, 0)
		site = s.nodes[from].site
	} else if offer != nil { // by an injected bug: sent, but not committed
		site = site.Clone()
		site.Apply(1, *offer)
	}
	call := forwarderCall{site, siteNames[to]}
	b := call.batch(s.known[from][to], credit)
	if m.bug.changeBatch != nil {
		m.bug.changeBatch(b)
	}
	if m.bug.discardOnSend && len(b.Writes) > 0 {
		update := &sitesync.StateUpdate{From: siteNames[to], Incarnation: 1, To: site.Self().Incarnation}
		for _, w := range b.Writes {
			if w.ID.Origin.Site == siteNames[from] {
				update.Judged = sitesync.VersionVector{{Origin: w.ID.Origin, Number: w.ID.Number}}
			}
		}
		m.apply(s, from, sitesync.Command{Down: update}, 0)
	}
	for i, info := range s.writes {
		if s.made.has(i) && m.Scenario.Writes[i].Site == from && b.Seen.Has(info.id) {
			s.sentWrites |= 1 << i
		}
	}
	return b
}

// send starts a call.
func (m *Model) send(s State, from, to int) (State, bool) {
	b := m.nextBatch(&s, from, to, 2)
	s.calls++
	s.enqueue(message{from: from, to: to, batch: b.Bytes()})
	return s, true
}

func (s *State) enqueue(msg message) {
	msg.encoded = append([]byte{byte(msg.from), byte(msg.to), byte(msg.senderHolds), byte(msg.senderHolds >> 8), 0}, msg.batch...)
	msg.encoded = append(msg.encoded, msg.answer...)
	if msg.answer != nil {
		msg.encoded[4] = 1
	}
	inTransit := append(slices.Clone(s.inTransit), msg)
	slices.SortFunc(inTransit, func(a, b message) int { return bytes.Compare(a.encoded, b.encoded) })
	s.inTransit = inTransit
}

// arrive delivers a message. Unless this is its last arrival, it stays in transit.
func (m *Model) arrive(s State, i int, last bool) State {
	msg := s.inTransit[i]
	if last {
		s.inTransit = slices.Delete(slices.Clone(s.inTransit), i, i+1)
	}
	if msg.batch != nil {
		a, senderHolds := m.handleCall(&s, msg.to, msg.batch)
		s.enqueue(message{from: msg.to, to: msg.from, answer: a.Bytes(), senderHolds: senderHolds})
		return s
	}
	m.handleAnswer(&s, msg)
	return s
}

// handleCall handles a call and returns the answer.
func (m *Model) handleCall(s *State, at int, data []byte) (*sitesync.Answer, writeSet) {
	b, err := sitesync.ParseBatch(data)
	if err != nil {
		panic(err)
	}
	received := *b
	if m.bug.changeReceived != nil {
		m.bug.changeReceived(at, &received)
	}
	if offer := s.nodes[at].site.Unoffered(); offer != nil && !m.bug.noOffer {
		m.apply(s, at, *offer, 0)
	}
	m.apply(s, at, sitesync.Command{Batch: &received}, 0)
	site := s.nodes[at].site
	if m.bug.noOffer {
		if offer := site.Unoffered(); offer != nil {
			site = site.Clone()
			site.Apply(1, *offer)
		}
	}
	a := site.Answer(b, 2, 0)
	for i, info := range s.writes {
		if s.made.has(i) && m.Scenario.Writes[i].Site == at && a.Down.Seen.Has(info.id) {
			s.sentWrites |= 1 << i
		}
	}
	if m.bug.changeAnswer != nil {
		m.bug.changeAnswer(s, at, a)
	}
	return a, s.held[at] &^ m.evidenceWrites(func(Write) bool { return true })
}

// evidenceWrites returns the evidence writes of a scenario that match.
func (m *Model) evidenceWrites(which func(Write) bool) (t writeSet) {
	for i, w := range m.Scenario.Writes {
		if w.Local.Kind == sitesync.Evidence && which(w) {
			t |= 1 << i
		}
	}
	return t
}

// handleAnswer handles an answer: what is known above, and the state that it carries if that is complete or has judged writes.
func (m *Model) handleAnswer(s *State, msg message) {
	a, err := sitesync.ParseAnswer(msg.answer)
	if err != nil {
		panic(err)
	}
	if m.bug.anyIncarnation {
		a.Down.To = s.nodes[msg.to].site.Self().Incarnation
	}
	if a.Down.To != s.nodes[msg.to].site.Self().Incarnation {
		return // the forwarder that made the call was lost with the store
	}
	known := sitesync.VersionVector{}
	if b := s.known[msg.to][msg.from]; b != nil {
		known, _ = sitesync.ParseToken(string(b))
	}
	s.known[msg.to][msg.from] = []byte(joinVectors(known, a.Seen).Encode())
	if a.Down.Last || len(a.Down.Judged) > 0 {
		m.apply(s, msg.to, sitesync.Command{Down: a.Down}, msg.senderHolds)
	}
}

// joinVectors returns a vector that covers two others.
func joinVectors(a, b sitesync.VersionVector) sitesync.VersionVector {
	list := slices.Concat(a, b)
	slices.SortFunc(list, func(x, y sitesync.VectorEntry) int {
		if c := x.Origin.Compare(y.Origin); c != 0 {
			return c
		}
		return int(y.Number) - int(x.Number)
	})
	return slices.CompactFunc(list, func(x, y sitesync.VectorEntry) bool { return x.Origin == y.Origin })
}

// forwarderCall is one call that a site makes.
type forwarderCall struct {
	site *sitesync.Site
	to   string
}

// batch returns the batch that the site's forwarder would send, given what it knows of the other site and its credit.
func (c forwarderCall) batch(known []byte, credit int) *sitesync.Batch {
	forwarder := sitesync.NewForwarderTo(func() *sitesync.Site { return c.site }, sitesync.Timing{MaxFailures: 9}, c.to)
	if _, probe, _ := forwarder.Next(0); probe == nil {
		panic("upstreammodel: the forwarder does not probe before its first call")
	}
	a := &sitesync.Answer{From: c.to, Incarnation: 1, Credit: credit}
	if known != nil {
		a.Seen, _ = sitesync.ParseToken(string(known))
	}
	forwarder.Answered(0, a)
	_, b, _ := forwarder.Next(0)
	return b
}

// Canonical implements model.Model: the sites are not symmetric.
func (m *Model) Canonical(s State) State { return s }

// Encode implements model.Model.
func (m *Model) Encode(to []byte, s State) []byte {
	for i := range s.nodes {
		to = append(append(to, s.nodes[i].encoded...), 0)
	}
	for i := range s.inTransit {
		to = append(append(to, s.inTransit[i].encoded...), 0)
	}
	for i := range s.known {
		for j := range s.known[i] {
			to = append(append(to, s.known[i][j]...), 1)
		}
		to = binary.BigEndian.AppendUint16(to, uint16(s.held[i]))
	}
	for i := range s.writes {
		info := &s.writes[i]
		to = binary.BigEndian.AppendUint16(to, uint16(info.observed))
		to = append(to, byte(info.id.Number), byte(info.id.Origin.Incarnation), byte(info.mergedInto), byte(len(s.outcomes[i])))
		to = append(to, s.outcomes[i]...)
	}
	for _, t := range [3]writeSet{s.made, s.lostWrites, s.sentWrites} {
		to = binary.BigEndian.AppendUint16(to, uint16(t))
	}
	lost := byte(0)
	if s.storeLost {
		lost = 1
	}
	to = append(to, s.calls, s.losses, s.duplicates, lost)
	return binary.BigEndian.AppendUint32(to, s.violations)
}

// Violated implements model.Model. A state without messages in transit is also checked for convergence.
func (m *Model) Violated(s State) uint32 {
	if s.violations == 0 && len(s.inTransit) == 0 {
		return m.checkConvergence(s)
	}
	return s.violations
}

// checkConvergence lets the sites of a copy call each other over working links until nothing changes, and returns the properties
// that do not hold then.
func (m *Model) checkConvergence(s State) uint32 {
	s.writes = slices.Clone(s.writes)
	unchanged := 0
	for range 40 {
		s = s.withEncodings()
		before := s.nodes
		for from := range province {
			for to := from + 1; to < sites; to++ {
				m.exchange(&s, from, to)
			}
		}
		s = s.withEncodings()
		same := true
		for i := range s.nodes {
			same = same && bytes.Equal(before[i].encoded, s.nodes[i].encoded)
		}
		if unchanged++; !same {
			unchanged = 0
		}
		if unchanged == 2 {
			break
		}
	}
	return s.violations | m.differences(&s)
}

// exchange makes calls from one site to another until the complete state has been received.
func (m *Model) exchange(s *State, from, to int) {
	for range 8 {
		b := m.nextBatch(s, from, to, 9)
		data := b.Bytes()
		a, senderHolds := m.handleCall(s, to, data)
		known := sitesync.VersionVector{}
		if k := s.known[from][to]; k != nil {
			known, _ = sitesync.ParseToken(string(k))
		}
		s.known[from][to] = []byte(joinVectors(known, a.Seen).Encode())
		var update *sitesync.StateUpdate
		for !a.Down.Last { // the remaining chunks
			update = m.joinChunks(update, a.Down)
			next := *b
			next.Writes, next.Cursor = nil, sitesync.Cursor{Incarnation: a.Incarnation, At: update.Until}
			a, senderHolds = m.handleCall(s, to, next.Bytes())
		}
		m.apply(s, from, sitesync.Command{Down: m.joinChunks(update, a.Down)}, senderHolds)
		if len(b.Writes) == 0 {
			return
		}
	}
}

// joinChunks appends a chunk of a state to the earlier ones, as a forwarder does.
func (m *Model) joinChunks(before, chunk *sitesync.StateUpdate) *sitesync.StateUpdate {
	if before != nil {
		chunk.After = before.After
		chunk.Subjects = slices.Concat(before.Subjects, chunk.Subjects)
		chunk.Writes = slices.Concat(before.Writes, chunk.Writes)
		if !m.bug.lastChunkRefusals {
			chunk.Refused = slices.Concat(before.Refused, chunk.Refused)
		}
	}
	return chunk
}

// differences returns the properties that do not hold between sites which have called until nothing changed.
func (m *Model) differences(s *State) (bad uint32) {
	root := s.nodes[province].site
	for i := range province {
		below := s.nodes[i].site
		own, others := below.Waiting()
		if own+others+below.Held() > 0 || !slices.Equal(root.Seen(), below.Seen()) {
			bad |= 1 << badDivergence
		}
		bad |= m.checkOwnEvidence(s, i)
		for j := range s.writes { // every site knows the refused writes
			_, a := root.Refusal(s.writes[j].id)
			if _, b := below.Refusal(s.writes[j].id); a != b {
				bad |= 1 << badDivergence
			}
		}
		for k := sitesync.Note; int(k) < sitesync.Kinds; k++ {
			if !slices.Equal(root.Subjects(k), below.Subjects(k)) {
				bad |= 1 << badDivergence
				continue
			}
			for _, name := range root.Subjects(k) {
				a, _ := root.Value(k, name)
				b, _ := below.Value(k, name)
				if a.Write.ID != b.Write.ID || !bytes.Equal(a.Value, b.Value) || len(a.Concurrent) != len(b.Concurrent) {
					bad |= 1 << badDivergence
				}
			}
		}
	}
	for i := range m.Scenario.Writes {
		if !s.made.has(i) || s.writes[i].mergedInto > 0 ||
			m.Scenario.Writes[i].Site == building && s.storeLost && !m.Scenario.Writes[i].afterLoss {
			continue
		}
		if s.outcomes[i] == nil {
			bad |= 1 << badNoReceipt
		}
	}
	return bad | m.checkOverwrites(s, root) | m.checkSums(s, root)
}

// checkOwnEvidence checks that a site below the province holds the evidence it wrote in this incarnation, and no other.
func (m *Model) checkOwnEvidence(s *State, at int) (bad uint32) {
	want := map[string]byte{}
	for i, w := range m.Scenario.Writes {
		if w.Local.Kind == sitesync.Evidence && s.made.has(i) && w.Site == at && (at != building || w.afterLoss == s.storeLost) {
			want[w.Local.Subject] += w.Local.Value[0]
		}
	}
	site := s.nodes[at].site
	held := site.Subjects(sitesync.Evidence)
	for _, name := range held {
		if v, _ := site.Value(sitesync.Evidence, name); len(v.Value) != 1 || v.Value[0] != want[name] || len(v.Concurrent) > 0 {
			bad |= 1 << badDivergence
		}
	}
	if len(held) != len(want) {
		bad |= 1 << badDivergence
	}
	return bad
}

// checkOverwrites compares the outcomes with the truth: work that needs a refused or orphaned write is itself refused or
// orphaned, and no write is concurrent with one that its writer had observed.
func (m *Model) checkOverwrites(s *State, root *sitesync.Site) (bad uint32) {
	for i, w := range m.Scenario.Writes {
		for _, n := range w.needs {
			if s.outcomes[i] == nil || s.outcomes[n] == nil || w.Local.Kind != sitesync.Work {
				continue
			}
			rejected := sitesync.Outcome(s.outcomes[n][0]) >= sitesync.Refused
			if rejected && sitesync.Outcome(s.outcomes[i][0]) < sitesync.Refused {
				bad |= 1 << badOverwrite
			}
		}
	}
	for k := range sitesync.Kind(sitesync.Kinds) {
		for _, name := range root.Subjects(k) {
			v, _ := root.Value(k, name)
			current := append([]sitesync.Write{v.Write}, v.Concurrent...)
			for a := range current {
				for b := range current {
					i, ok := writeIndex(&current[a])
					j, otherOK := writeIndex(&current[b])
					if ok && otherOK && i != j && k != sitesync.Evidence && s.writes[i].observed.has(j) {
						bad |= 1 << badOverwrite
					}
				}
			}
		}
	}
	return bad
}

// checkSums checks that evidence that was not lost with a store counts exactly once.
func (m *Model) checkSums(s *State, root *sitesync.Site) (bad uint32) {
	want, atLeast := map[string]byte{}, map[string]byte{}
	for i, w := range m.Scenario.Writes {
		if w.Local.Kind != sitesync.Evidence || !s.made.has(i) {
			continue
		}
		want[w.Local.Subject] += w.Local.Value[0]
		if !(s.storeLost && w.Site == building && !w.afterLoss) {
			atLeast[w.Local.Subject] += w.Local.Value[0]
		}
	}
	for name, n := range want {
		v, _ := root.Value(sitesync.Evidence, name)
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
		return fmt.Sprintf("the %s writes %s %s: %q", siteNames[w.Site], w.Local.Kind, w.Local.Subject, w.Local.Value)
	case opSend:
		return fmt.Sprintf("the %s calls the %s", siteNames[i/sites], siteNames[i%sites])
	case opLoseStore:
		return "the building loses its store"
	}
	msg := s.inTransit[i]
	kind := "call"
	if msg.answer != nil {
		kind = "answer"
	}
	verb := map[model.Step]string{opArrive: "arrives", opDuplicate: "arrives, and will arrive again", opLose: "is lost"}[by&^255]
	return fmt.Sprintf("the %s of the %s to the %s %s", kind, siteNames[msg.from], siteNames[msg.to], verb)
}

// Expected returns the coverage goals that a complete check of one scenario must reach: none. All scenarios together reach all.
func (m *Model) Expected() uint64 { return 0 }

// Covered implements model.Coverer.
func (m *Model) Covered(s State) (b uint64) {
	for i := range s.outcomes {
		if s.outcomes[i] != nil {
			b |= 1 << (s.outcomes[i][0] - 1)
		}
	}
	for i := range s.nodes {
		if s.nodes[i].site.Held() > 0 {
			b |= 1 << 4
		}
	}
	if s.lostWrites != 0 {
		b |= 1 << 5
	}
	if len(s.inTransit) > 1 {
		b |= 1 << 6
	}
	for i := range s.writes {
		if s.writes[i].mergedInto > 0 {
			b |= 1 << 7
		}
	}
	return b
}

// CoverageGoals implements model.Coverer.
func (m *Model) CoverageGoals() []string {
	return []string{"applied", "superseded", "refused", "orphaned", "held back", "lost with a store", "two messages in transit",
		"evidence merged"}
}

// FormatTrace returns a run as text, one line per step.
func FormatTrace(m *Model, t model.Trace[State]) string {
	var b strings.Builder
	for i, step := range t.Steps {
		fmt.Fprintln(&b, m.Describe(t.States[i], step, t.States[i+1]))
	}
	return b.String()
}
