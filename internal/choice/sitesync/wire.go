package sitesync

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"
)

// callBytes bounds the encoded size of the writes and refusals in one call or answer: half of the 1 MiB that a peer
// accepts (peer.Limits.Body). The other half is for the version vectors, two in a call and up to two in each write: an
// entry takes some 90 bytes, and there are as many entries as sites times lanes. A write with the longest value takes
// 86 KiB; at least one write is always sent.
const callBytes = 512 << 10

type (
	// Batch is a call from a site to a site above it.
	Batch struct {
		From         Place             `json:"from"`             // without Ancestors
		Seen         VersionVector     `json:"seen,omitempty"`   // writes applied at the caller, which need not be sent down
		Judged       VersionVector     `json:"judged,omitempty"` // the caller's own writes whose receipts it has
		Incarnations []SiteIncarnation `json:"lives,omitempty"`  // the latest known incarnation of each other site
		Queries      []Origin          `json:"asks,omitempty"`   // origins of the writes to send; Answer.Seen is for these
		Cursor       Cursor            `json:"cursor"`           // how much of the answering site's state the caller has
		Writes       []Write           `json:"writes,omitempty"` // in an order in which they can be applied
		Waiting      int               `json:"waiting"`          // writes to send that are not in this batch
		Urgent       int               `json:"urgent"`           // how many of those are urgent or needed by urgent ones
		Probe        bool              `json:"probe,omitempty"`  // only checks the link and how far Queries are known; changes nothing
	}
	// Answer is the reply to a batch.
	Answer struct {
		From        string        `json:"from"`
		Incarnation uint64        `json:"life"`
		Seen        VersionVector `json:"seen,omitempty"` // of the origins in Queries
		Credit      int           `json:"credit"`         // writes that the next call may bring
		Wait        time.Duration `json:"wait"`           // before the next call
		Down        *StateUpdate  `json:"down,omitempty"`
		// In reply to a probe: writes of an earlier call of the site are still being committed.
		Working bool `json:"working,omitempty"`
	}
	// StateUpdate is the state of a site above, as changes since a cursor. A long one comes in several pieces and is
	// joined only once the last piece is there; the receipts for the caller's own writes count in each piece.
	StateUpdate struct {
		From        string            `json:"from"`
		Incarnation uint64            `json:"life"`
		To          uint64            `json:"to"`    // the incarnation that it is for: it leaves out what that incarnation has seen
		After       uint64            `json:"after"` // the cursor that it continues from
		Until       uint64            `json:"until"`
		Last        bool              `json:"last,omitempty"`
		OutOfOrder  bool              `json:"tangled,omitempty"` // Writes may precede what they depend on
		Seen        VersionVector     `json:"seen,omitempty"`    // of the whole state; in the last piece
		Judged      VersionVector     `json:"judged,omitempty"`  // of the whole state in the last piece, else of the caller's writes
		Refused     []Receipt         `json:"refused,omitempty"`
		Closed      []SiteIncarnation `json:"closed,omitempty"` // incarnations that are over; in the last piece
		Awaits      []AwaitedCalls    `json:"awaits,omitempty"` // in the last piece
		Subjects    []SubjectWrites   `json:"things,omitempty"`
		Writes      []SequencedWrite  `json:"writes,omitempty"`
	}
	// AwaitedCalls lists the sites whose calls a site needs before it can close ended incarnations. A site that has
	// called there before and has since changed its route would not call there again by itself.
	AwaitedCalls struct {
		By    string   `json:"by"`
		Sites []string `json:"sites"` // sorted
	}
	// SiteIncarnation is the latest incarnation of a site.
	SiteIncarnation struct {
		Site         string        `json:"site"`
		Incarnation  uint64        `json:"life"`
		StoreCreated time.Duration `json:"born"`
	}
	// SubjectWrites lists the writes on a subject that still count.
	SubjectWrites struct {
		Kind    Kind   `json:"kind"`
		Subject string `json:"thing"`
		IDs     []ID   `json:"has"`
	}
	// SequencedWrite is a write with its sequence number at the sender.
	SequencedWrite struct {
		Seq   uint64 `json:"seq"`
		Write Write  `json:"write"`
	}
)

// check validates a write from another site.
func (w *Write) check() error {
	if w.ID.Origin.Site == "" || w.ID.Origin.Incarnation == 0 || w.ID.Number == 0 {
		return &WriteError{"id", "site, incarnation and number must be set"}
	}
	if w.ID.Origin.Evidence != (w.Kind == Evidence) || w.ID.Origin.Evidence && w.ID.Origin.Urgent {
		return &WriteError{"id", "the evidence lane is for evidence only, and evidence is never urgent"}
	}
	if !w.Dependencies.valid() || !w.Overwrites.valid() {
		return &WriteError{"after", "not a valid version vector"}
	}
	if w.Subject == "" && w.Kind == Evidence && len(w.Value) == 0 {
		return nil // emptied evidence
	}
	return checkValue(w.Kind, w.Subject, w.Value, w.Closes)
}

func (b *Batch) check() error {
	if b.From.Site == "" || b.From.Incarnation == 0 || !b.Seen.valid() || !b.Judged.valid() {
		return &BatchError{"the sender is missing or a version vector is invalid"}
	}
	for i := range b.Writes {
		if err := b.Writes[i].check(); err != nil {
			return &BatchError{err.Error()}
		}
	}
	return nil
}

func (d *StateUpdate) check() error {
	if d.From == "" || d.Incarnation == 0 || !d.Seen.valid() || !d.Judged.valid() {
		return &BatchError{"the sender is missing or a version vector is invalid"}
	}
	for i := range d.Writes {
		if err := d.Writes[i].Write.check(); err != nil {
			return &BatchError{err.Error()}
		}
	}
	return nil
}

// ParseBatch decodes a call. Errors are of type *BatchError.
func ParseBatch(data []byte) (*Batch, error) {
	b := &Batch{}
	if err := json.Unmarshal(data, b); err != nil {
		return nil, &BatchError{err.Error()}
	}
	return b, b.check()
}

// ParseAnswer decodes an answer. Errors are of type *BatchError.
func ParseAnswer(data []byte) (*Answer, error) {
	a := &Answer{}
	if err := json.Unmarshal(data, a); err != nil {
		return nil, &BatchError{err.Error()}
	}
	if a.From == "" || a.Incarnation == 0 || !a.Seen.valid() || a.Credit < 0 || a.Wait < 0 {
		return nil, &BatchError{"the sender is missing, a version vector is invalid, or credit or wait is negative"}
	}
	if a.Down != nil {
		return a, a.Down.check()
	}
	return a, nil
}

// Bytes returns the encoding that ParseBatch decodes.
func (b *Batch) Bytes() []byte { return encoded(b) }

// Bytes returns the encoding that ParseAnswer decodes.
func (a *Answer) Bytes() []byte { return encoded(a) }

// encoded returns plain data as JSON, which cannot fail.
func encoded(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Answer returns the answer to a call, to be built after its batch was applied or was rejected as a whole. The answer
// to a probe has no state.
func (s *Site) Answer(b *Batch, credit int, wait time.Duration) *Answer {
	a := &Answer{From: s.self.Site, Incarnation: s.self.Incarnation, Credit: credit, Wait: wait}
	if !b.Probe {
		a.Down = s.stateUpdate(b, callBytes)
	}
	asked := vector{}
	for _, o := range b.Queries {
		if n := s.seen[o]; n > 0 {
			asked[o] = n
		}
	}
	a.Seen = asked.list()
	return a
}

// stateUpdate returns what the caller does not have: for each subject that changed after its cursor, which writes still
// count, and those of them that it has not seen. A long update is split into pieces, each as large as fits into
// bytesLeft.
func (s *Site) stateUpdate(b *Batch, bytesLeft int) *StateUpdate {
	from := cursorPosition(b.Cursor, s.self.Incarnation)
	update := &StateUpdate{From: s.self.Site, Incarnation: s.self.Incarnation, To: b.From.Incarnation, After: from, Until: from, Last: true}
	i, _ := slices.BinarySearchFunc(s.changes, from+1, func(c change, at uint64) int { return cmp.Compare(c.at, at) })
	j, _ := slices.BinarySearchFunc(s.refusalLog, from+1, func(r *refusal, at uint64) int { return cmp.Compare(r.At, at) })
	changes, refused := s.changes[i:], s.refusalLog[j:]
	seen := vector{}
	seen.join(b.Seen)
	fits := func(size int) bool {
		bytesLeft -= size
		update.Last = bytesLeft >= 0 || update.Until == from
		return update.Last
	}
	for len(changes)+len(refused) > 0 {
		if len(refused) > 0 && (len(changes) == 0 || refused[0].At < changes[0].at) {
			r := refused[0]
			if !fits(len(encoded(&r.Receipt))) {
				break
			}
			refused, update.Refused, update.Until = refused[1:], append(update.Refused, r.Receipt), r.At
			continue
		}
		c := changes[0]
		changes = changes[1:]
		subj := s.subjects[c.key]
		if subj.changed != c.at {
			continue
		}
		if len(update.Writes) >= s.limits.Batch || len(update.Subjects) >= 4*s.limits.Batch {
			update.Last = false
			break
		}
		entry := SubjectWrites{c.key.Kind, c.key.Subject, nil}
		var writes []SequencedWrite
		size := 0
		for _, it := range subj.items {
			if s.notOffered(it.Write.ID) {
				continue
			}
			entry.IDs = append(entry.IDs, it.Write.ID)
			if !seen.has(it.Write.ID) {
				writes = append(writes, SequencedWrite{it.Seq, *it.Write})
				size += len(encoded(&writes[len(writes)-1]))
			}
		}
		if !fits(size + len(encoded(&entry))) {
			break
		}
		update.Subjects, update.Writes, update.Until = append(update.Subjects, entry), append(update.Writes, writes...), c.at
	}
	if update.Last {
		update.OutOfOrder = s.outOfOrder
		update.Until, update.Seen, update.Judged = s.seq, s.sendableSeen(), s.judged.list()
		for inc := range s.closed {
			update.Closed = append(update.Closed, SiteIncarnation{Site: inc.Site, Incarnation: inc.Incarnation})
		}
		slices.SortFunc(update.Closed, func(a, b SiteIncarnation) int {
			return incarnation{a.Site, a.Incarnation}.compare(incarnation{b.Site, b.Incarnation})
		})
		update.Awaits = s.awaitedCalls()
	}
	update.addReceipts(s, b)
	return update
}

// awaitedCalls returns the sites whose calls the root site waits for.
func (s *Site) awaitedCalls() []AwaitedCalls {
	if !s.isRoot() {
		return s.awaits
	}
	all := map[string]bool{}
	for _, e := range s.ending {
		for _, site := range e.Waits {
			all[site] = true
		}
	}
	if len(all) == 0 {
		return nil
	}
	return []AwaitedCalls{{s.self.Site, sorted(all)}}
}

// sendableSeen returns the vector of what has been applied here, without own writes that are not offered yet and
// without evidence, which does not come down.
func (s *Site) sendableSeen() VersionVector {
	v := s.seen.list()
	for i, m := range v {
		if s.notOffered(ID{m.Origin, m.Number}) {
			v[i].Number = s.offered[m.Origin.lane()]
		}
	}
	return slices.DeleteFunc(v, func(m VectorEntry) bool { return m.Number == 0 || m.Origin.Evidence })
}

// FullState returns the whole state of this site, for a root site that lost its store and has no site above to restore
// it from. An operator must have confirmed that the old store is gone for good. To is the new incarnation of that site.
func (s *Site) FullState(incarnation uint64) *StateUpdate {
	all := *s
	all.limits.Batch = 1 << 30
	return all.stateUpdate(&Batch{From: Place{Site: "-", Incarnation: incarnation}}, math.MaxInt)
}

// addReceipts adds the root site's results for the caller's own writes.
func (update *StateUpdate) addReceipts(s *Site, b *Batch) {
	for lane := range lanes {
		o := incarnation{b.From.Site, b.From.Incarnation}.laneOrigin(lane)
		if !update.Last && s.judged[o] > b.Judged.Highest(o) {
			update.Judged = append(update.Judged, VectorEntry{o, s.judged[o]})
		}
		for n := b.Judged.Highest(o) + 1; len(s.refusalLog) > 0 && n <= s.judged[o]; n++ {
			if r := s.refused[ID{o, n}]; r != nil {
				update.Refused = append(update.Refused, r.Receipt)
			}
		}
	}
}

// header and trailer frame an encoded state.
const (
	header  = "lichenhitch writes 1\n"
	trailer = "\nend\n"
)

// stored is the encoded form of Site: sorted lists instead of maps.
type stored struct {
	Self       Place                `json:"self"`
	Limits     Limits               `json:"limits"`
	Now        time.Duration        `json:"now"`
	Seq        uint64               `json:"seq"`
	Number     [lanes]uint64        `json:"number"`
	Offered    [lanes]uint64        `json:"offered"`
	OutOfOrder bool                 `json:"tangled"`
	Named      [lanes]VersionVector `json:"told"`
	Known      VersionVector        `json:"known"`
	Seen       VersionVector        `json:"seen"`
	Judged     VersionVector        `json:"judged"`
	Refused    []*refusal           `json:"refused"`
	Items      []*item              `json:"items"`
	Changes    []storedChange       `json:"changes"`
	Held       []heldWrite          `json:"held"`
	Latest     []storedIncarnation  `json:"homes"` // incarnations by site
	Callers    []string             `json:"callers"`
	Ending     []storedClosing      `json:"ending"`
	Closed     []incarnation        `json:"closed"`
	Cursors    []storedCursor       `json:"cursors"`
	Awaits     []AwaitedCalls       `json:"awaits,omitempty"`
}

type (
	storedChange struct {
		At      uint64 `json:"at"`
		Kind    Kind   `json:"kind"`
		Subject string `json:"thing"`
	}
	storedIncarnation struct {
		Site string `json:"site"`
		latestIncarnation
	}
	storedClosing struct {
		incarnation
		closing
	}
	storedCursor struct {
		Site string `json:"site"`
		Cursor
	}
)

// Encode returns the state as bytes. Equal states give equal bytes.
func (s *Site) Encode() []byte {
	state := stored{Self: s.self, Limits: s.limits, Now: s.now, Seq: s.seq, Number: s.number, Offered: s.offered, OutOfOrder: s.outOfOrder,
		Named: [lanes]VersionVector{s.named[0].list(), s.named[1].list(), s.named[2].list()},
		Known: s.known.list(), Seen: s.seen.list(), Judged: s.judged.list(),
		Refused: append([]*refusal(nil), s.refusalLog...), Held: append([]heldWrite(nil), s.held...), Awaits: s.awaits}
	for k, subj := range s.subjects {
		state.Items = append(state.Items, subj.items...)
		state.Changes = append(state.Changes, storedChange{subj.changed, k.Kind, k.Subject})
	}
	slices.SortFunc(state.Items, func(a, b *item) int { return cmp.Compare(a.Seq, b.Seq) })
	slices.SortFunc(state.Changes, func(a, b storedChange) int { return cmp.Compare(a.At, b.At) })
	for _, site := range sorted(s.incarnations) {
		state.Latest = append(state.Latest, storedIncarnation{site, s.incarnations[site]})
	}
	state.Callers = sorted(s.callers)
	for inc, e := range s.ending {
		state.Ending = append(state.Ending, storedClosing{inc, *e})
	}
	slices.SortFunc(state.Ending, func(a, b storedClosing) int { return a.incarnation.compare(b.incarnation) })
	for inc := range s.closed {
		state.Closed = append(state.Closed, inc)
	}
	slices.SortFunc(state.Closed, incarnation.compare)
	for _, site := range sorted(s.cursors) {
		state.Cursors = append(state.Cursors, storedCursor{site, s.cursors[site]})
	}
	return append(append([]byte(header), encoded(&state)...), trailer...)
}

func (inc incarnation) compare(other incarnation) int {
	return cmp.Or(cmp.Compare(inc.Site, other.Site), cmp.Compare(inc.Incarnation, other.Incarnation))
}

func sorted[V any](m map[string]V) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// Decode decodes a state that Encode returned, for a site that merges evidence with merge. Errors are of type
// *StateError.
func Decode(data []byte, merge Merge) (*Site, error) {
	body, ok := bytes.CutPrefix(data, []byte(header))
	if !ok {
		return nil, &StateError{"unknown format version"}
	}
	if body, ok = bytes.CutSuffix(body, []byte(trailer)); !ok {
		return nil, &StateError{"truncated"}
	}
	var state stored
	if err := json.Unmarshal(body, &state); err != nil {
		return nil, &StateError{err.Error()}
	}
	s := New(state.Self, state.Limits).WithMerge(merge)
	s.now, s.seq, s.number, s.offered, s.outOfOrder = state.Now, state.Seq, state.Number, state.Offered, state.OutOfOrder
	for _, p := range [3 + lanes]struct {
		v vector
		s VersionVector
	}{{s.named[0], state.Named[0]}, {s.named[1], state.Named[1]}, {s.named[2], state.Named[2]},
		{s.known, state.Known}, {s.seen, state.Seen}, {s.judged, state.Judged}} {
		if !p.s.valid() {
			return nil, &StateError{"a version vector is invalid"}
		}
		p.v.join(p.s)
	}
	s.refusalLog, s.held, s.awaits = state.Refused, state.Held, state.Awaits
	for _, r := range state.Refused {
		s.refused[r.Receipt.ID] = r
	}
	for _, c := range state.Changes {
		k := subjectKey{c.Kind, c.Subject}
		s.subjects[k] = &subject{changed: c.At}
		if k.Kind == Evidence {
			continue
		}
		s.changes = append(s.changes, change{c.At, k})
	}
	for _, it := range state.Items {
		subj := s.subjects[subjectKey{it.Write.Kind, it.Write.Subject}]
		if subj == nil {
			return nil, &StateError{"a write refers to a subject that is missing"}
		}
		subj.items = append(subj.items, it)
		if !s.judged.has(it.Write.ID) {
			s.log.add(it)
			s.usage(it.Write).add(it.Write, 1)
		}
	}
	for _, h := range state.Latest {
		s.incarnations[h.Site] = h.latestIncarnation
	}
	for _, c := range state.Callers {
		s.callers[c] = true
	}
	for _, e := range state.Ending {
		s.ending[e.incarnation] = &closing{e.Since, e.Waits}
	}
	for _, inc := range state.Closed {
		s.closed[inc] = true
	}
	for _, c := range state.Cursors {
		s.cursors[c.Site] = c.Cursor
	}
	return s, nil
}
