package sitesync

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"
)

// callBytes bounds what the writes and refusals of one call or answer take, encoded: half of the 1 MiB that a peer takes in one
// (peer.Limits.Body). The other half is for the vectors, of which a call has two and a write one: a mark is some 90 bytes, and
// there are as many as sites times lanes. A write whose value is the longest takes 86 KiB; one always goes.
const callBytes = 512 << 10

type (
	// Batch is a call of a site to one above it.
	Batch struct {
		From         Place             `json:"from"`             // without Above
		Seen         VersionVector     `json:"seen,omitempty"`   // what has been applied there: it need not be sent down
		Judged       VersionVector     `json:"judged,omitempty"` // of its own writes: those whose receipts it has
		Incarnations []SiteIncarnation `json:"lives,omitempty"`  // of the sites below that were heard of: the latest
		Queries      []Origin          `json:"asks,omitempty"`   // whose writes it has to send: it wants to know how far they are known
		Cursor       Cursor            `json:"cursor"`           // how far the answering site's state is known there
		Writes       []Write           `json:"writes,omitempty"` // in an order in which they may be applied
		Waiting      int               `json:"waiting"`          // writes that are not in this batch
		Urgent       int               `json:"urgent"`           // of them urgent, with what they depend on
		Probe        bool              `json:"probe,omitempty"`  // only a question whether the way is whole, and what of Asks is known: it changes nothing
	}
	// Answer answers a batch.
	Answer struct {
		From        string        `json:"from"`
		Incarnation uint64        `json:"life"`
		Seen        VersionVector `json:"seen,omitempty"` // of what was asked for
		Credit      int           `json:"credit"`         // writes that the next call may bring
		Wait        time.Duration `json:"wait"`           // before the next call
		Down        *StateUpdate  `json:"down,omitempty"`
		// To a question: writes of an earlier call of the site are being agreed on.
		Working bool `json:"working,omitempty"`
	}
	// Down is the state of a site above, as changes since a cursor. Only the last piece is joined; the word on the caller's
	// own writes counts in each.
	StateUpdate struct {
		From        string            `json:"from"`
		Incarnation uint64            `json:"life"`
		To          uint64            `json:"to"`    // the life that it is for: it leaves out what that life had seen
		After       uint64            `json:"after"` // the cursor that it goes on from
		Until       uint64            `json:"until"`
		Last        bool              `json:"last,omitempty"`
		OutOfOrder  bool              `json:"tangled,omitempty"` // Writes may stand before what they depend on
		Seen        VersionVector     `json:"seen,omitempty"`    // of the whole state; with the last piece
		Judged      VersionVector     `json:"judged,omitempty"`  // of the whole state with the last piece, else of the caller's writes
		Refused     []Receipt         `json:"refused,omitempty"`
		Closed      []SiteIncarnation `json:"closed,omitempty"` // lives of which nothing more comes; with the last piece
		Awaits      []AwaitedCalls    `json:"awaits,omitempty"` // with the last piece
		Subjects    []SubjectWrites   `json:"things,omitempty"`
		Writes      []SequencedWrite  `json:"writes,omitempty"`
	}
	// Await is whose call a site waits for to close lives that have ended. Who once called there and calls another one since
	// would not call there again by itself.
	AwaitedCalls struct {
		By    string   `json:"by"`
		Sites []string `json:"sites"` // sorted
	}
	// Home is the latest life of a site.
	SiteIncarnation struct {
		Site         string        `json:"site"`
		Incarnation  uint64        `json:"life"`
		StoreCreated time.Duration `json:"born"`
	}
	// Held is which writes on a thing still count.
	SubjectWrites struct {
		Kind    Kind   `json:"kind"`
		Subject string `json:"thing"`
		IDs     []ID   `json:"has"`
	}
	// Placed is a write with its place in the order of the sender.
	SequencedWrite struct {
		Seq   uint64 `json:"seq"`
		Write Write  `json:"write"`
	}
)

// check checks a write that came from elsewhere.
func (w *Write) check() error {
	if w.ID.Origin.Site == "" || w.ID.Origin.Incarnation == 0 || w.ID.Number == 0 {
		return &WriteError{"id", "it names no write"}
	}
	if w.ID.Origin.Evidence != (w.Kind == Evidence) || w.ID.Origin.Evidence && w.ID.Origin.Urgent {
		return &WriteError{"id", "evidence, and nothing else, counts among evidence"}
	}
	if !w.Dependencies.valid() || !w.Overwrites.valid() {
		return &WriteError{"after", "it is not a version vector"}
	}
	if w.Subject == "" && w.Kind == Evidence && len(w.Value) == 0 {
		return nil // evidence that was given up
	}
	return checkValue(w.Kind, w.Subject, w.Value, w.Closes)
}

func (b *Batch) check() error {
	if b.From.Site == "" || b.From.Incarnation == 0 || !b.Seen.valid() || !b.Judged.valid() {
		return &BatchError{"the sender or a vector makes no sense"}
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
		return &BatchError{"the sender or a vector makes no sense"}
	}
	for i := range d.Writes {
		if err := d.Writes[i].Write.check(); err != nil {
			return &BatchError{err.Error()}
		}
	}
	return nil
}

// ParseBatch reads a call. Errors are of type BatchError.
func ParseBatch(data []byte) (*Batch, error) {
	b := &Batch{}
	if err := json.Unmarshal(data, b); err != nil {
		return nil, &BatchError{err.Error()}
	}
	return b, b.check()
}

// ParseAnswer reads an answer. Errors are of type BatchError.
func ParseAnswer(data []byte) (*Answer, error) {
	a := &Answer{}
	if err := json.Unmarshal(data, a); err != nil {
		return nil, &BatchError{err.Error()}
	}
	if a.From == "" || a.Incarnation == 0 || !a.Seen.valid() || a.Credit < 0 || a.Wait < 0 {
		return nil, &BatchError{"the answer makes no sense"}
	}
	if a.Down != nil {
		return a, a.Down.check()
	}
	return a, nil
}

// Bytes returns what ParseBatch reads.
func (b *Batch) Bytes() []byte { return encoded(b) }

// Bytes returns what ParseAnswer reads.
func (a *Answer) Bytes() []byte { return encoded(a) }

// encoded encodes plain data, which cannot fail.
func encoded(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Answer answers a call once its batch was applied, or with nothing taken in where it was not; a question without the state.
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

// down returns what the caller does not have: of each thing that changed after its cursor, which writes still count, and
// those of them that it has not seen. A long list comes in pieces, each with as much as fits.
func (s *Site) stateUpdate(b *Batch, room int) *StateUpdate {
	from := cursorPosition(b.Cursor, s.self.Incarnation)
	d := &StateUpdate{From: s.self.Site, Incarnation: s.self.Incarnation, To: b.From.Incarnation, After: from, Until: from, Last: true}
	i, _ := slices.BinarySearchFunc(s.changes, from+1, func(c change, at uint64) int { return cmp.Compare(c.at, at) })
	j, _ := slices.BinarySearchFunc(s.refusalLog, from+1, func(r *refusal, at uint64) int { return cmp.Compare(r.At, at) })
	changes, refused := s.changes[i:], s.refusalLog[j:]
	seen := vector{}
	seen.join(b.Seen)
	fits := func(size int) bool {
		room -= size
		d.Last = room >= 0 || d.Until == from
		return d.Last
	}
	for len(changes)+len(refused) > 0 {
		if len(refused) > 0 && (len(changes) == 0 || refused[0].At < changes[0].at) {
			r := refused[0]
			if !fits(len(encoded(&r.Receipt))) {
				break
			}
			refused, d.Refused, d.Until = refused[1:], append(d.Refused, r.Receipt), r.At
			continue
		}
		c := changes[0]
		changes = changes[1:]
		t := s.subjects[c.key]
		if t.changed != c.at {
			continue
		}
		if len(d.Writes) >= s.limits.Batch || len(d.Subjects) >= 4*s.limits.Batch {
			d.Last = false
			break
		}
		h := SubjectWrites{c.key.Kind, c.key.Subject, nil}
		var writes []SequencedWrite
		size := 0
		for _, it := range t.items {
			if s.notOffered(it.Write.ID) {
				continue
			}
			h.IDs = append(h.IDs, it.Write.ID)
			if !seen.has(it.Write.ID) {
				writes = append(writes, SequencedWrite{it.Seq, *it.Write})
				size += len(encoded(&writes[len(writes)-1]))
			}
		}
		if !fits(size + len(encoded(&h))) {
			break
		}
		d.Subjects, d.Writes, d.Until = append(d.Subjects, h), append(d.Writes, writes...), c.at
	}
	if d.Last {
		d.OutOfOrder = s.outOfOrder
		d.Until, d.Seen, d.Judged = s.seq, s.sendableSeen(), s.judged.list()
		for l := range s.closed {
			d.Closed = append(d.Closed, SiteIncarnation{Site: l.Site, Incarnation: l.Incarnation})
		}
		slices.SortFunc(d.Closed, func(a, b SiteIncarnation) int {
			return incarnation{a.Site, a.Incarnation}.compare(incarnation{b.Site, b.Incarnation})
		})
		d.Awaits = s.awaitedCalls()
	}
	d.addReceipts(s, b)
	return d
}

// waits returns whose calls the top waits for.
func (s *Site) awaitedCalls() []AwaitedCalls {
	if !s.isTop() {
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

// offeredSeen returns what has been applied here without what may not leave yet, and without evidence, which does not come along.
func (s *Site) sendableSeen() VersionVector {
	v := s.seen.list()
	for i, m := range v {
		if s.notOffered(ID{m.Origin, m.Number}) {
			v[i].Number = s.offered[m.Origin.lane()]
		}
	}
	return slices.DeleteFunc(v, func(m VectorEntry) bool { return m.Number == 0 || m.Origin.Evidence })
}

// Whole returns all that this site holds, as it is joined by a site that lost its store and has none above it: after an
// operator's word that the old store is gone for good. To is the new life of that site.
func (s *Site) FullState(to uint64) *StateUpdate {
	all := *s
	all.limits.Batch = 1 << 30
	return all.stateUpdate(&Batch{From: Place{Site: "-", Incarnation: to}}, math.MaxInt)
}

// word adds the top's word on the caller's own writes.
func (d *StateUpdate) addReceipts(s *Site, b *Batch) {
	for lane := range lanes {
		o := incarnation{b.From.Site, b.From.Incarnation}.laneOrigin(lane)
		if !d.Last && s.judged[o] > b.Judged.Highest(o) {
			d.Judged = append(d.Judged, VectorEntry{o, s.judged[o]})
		}
		for n := b.Judged.Highest(o) + 1; len(s.refusalLog) > 0 && n <= s.judged[o]; n++ {
			if r := s.refused[ID{o, n}]; r != nil {
				d.Refused = append(d.Refused, r.Receipt)
			}
		}
	}
}

// version and end frame an encoded state.
const (
	header  = "lichenhitch writes 1\n"
	trailer = "\nend\n"
)

// stored is a state as it is kept: lists in order instead of maps.
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
	Homes      []storedIncarnation  `json:"homes"`
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

// Encode returns the state as bytes: equal states give equal bytes.
func (s *Site) Encode() []byte {
	t := stored{Self: s.self, Limits: s.limits, Now: s.now, Seq: s.seq, Number: s.number, Offered: s.offered, OutOfOrder: s.outOfOrder,
		Named: [lanes]VersionVector{s.named[0].list(), s.named[1].list(), s.named[2].list()}, Known: s.known.list(), Seen: s.seen.list(), Judged: s.judged.list(),
		Refused: append([]*refusal(nil), s.refusalLog...), Held: append([]heldWrite(nil), s.held...), Awaits: s.awaits}
	for k, x := range s.subjects {
		t.Items = append(t.Items, x.items...)
		t.Changes = append(t.Changes, storedChange{x.changed, k.Kind, k.Subject})
	}
	slices.SortFunc(t.Items, func(a, b *item) int { return cmp.Compare(a.Seq, b.Seq) })
	slices.SortFunc(t.Changes, func(a, b storedChange) int { return cmp.Compare(a.At, b.At) })
	for _, site := range sorted(s.incarnations) {
		t.Homes = append(t.Homes, storedIncarnation{site, s.incarnations[site]})
	}
	t.Callers = sorted(s.callers)
	for l, e := range s.ending {
		t.Ending = append(t.Ending, storedClosing{l, *e})
	}
	slices.SortFunc(t.Ending, func(a, b storedClosing) int { return a.incarnation.compare(b.incarnation) })
	for l := range s.closed {
		t.Closed = append(t.Closed, l)
	}
	slices.SortFunc(t.Closed, incarnation.compare)
	for _, site := range sorted(s.cursors) {
		t.Cursors = append(t.Cursors, storedCursor{site, s.cursors[site]})
	}
	return append(append([]byte(header), encoded(&t)...), trailer...)
}

func (l incarnation) compare(m incarnation) int {
	return cmp.Or(cmp.Compare(l.Site, m.Site), cmp.Compare(l.Incarnation, m.Incarnation))
}

func sorted[V any](m map[string]V) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// Decode reads what Encode returned of a site that merges evidence so. Errors are of type StateError.
func Decode(data []byte, merge Merge) (*Site, error) {
	body, ok := bytes.CutPrefix(data, []byte(header))
	if !ok {
		return nil, &StateError{"it is of another version"}
	}
	if body, ok = bytes.CutSuffix(body, []byte(trailer)); !ok {
		return nil, &StateError{"it is cut short"}
	}
	var t stored
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, &StateError{err.Error()}
	}
	s := New(t.Self, t.Limits).WithMerge(merge)
	s.now, s.seq, s.number, s.offered, s.outOfOrder = t.Now, t.Seq, t.Number, t.Offered, t.OutOfOrder
	for _, p := range [3 + lanes]struct {
		v vector
		s VersionVector
	}{{s.named[0], t.Named[0]}, {s.named[1], t.Named[1]}, {s.named[2], t.Named[2]}, {s.known, t.Known}, {s.seen, t.Seen}, {s.judged, t.Judged}} {
		if !p.s.valid() {
			return nil, &StateError{"a vector makes no sense"}
		}
		p.v.join(p.s)
	}
	s.refusalLog, s.held, s.awaits = t.Refused, t.Held, t.Awaits
	for _, r := range t.Refused {
		s.refused[r.Receipt.ID] = r
	}
	for _, c := range t.Changes {
		k := subjectKey{c.Kind, c.Subject}
		s.subjects[k] = &subject{changed: c.At}
		if k.Kind == Evidence {
			continue
		}
		s.changes = append(s.changes, change{c.At, k})
	}
	for _, it := range t.Items {
		x := s.subjects[subjectKey{it.Write.Kind, it.Write.Subject}]
		if x == nil {
			return nil, &StateError{"a write on a thing that is not there"}
		}
		x.items = append(x.items, it)
		if !s.judged.has(it.Write.ID) {
			s.log.add(it)
			s.usage(it.Write).add(it.Write, 1)
		}
	}
	for _, h := range t.Homes {
		s.incarnations[h.Site] = h.latestIncarnation
	}
	for _, c := range t.Callers {
		s.callers[c] = true
	}
	for _, e := range t.Ending {
		s.ending[e.incarnation] = &closing{e.Since, e.Waits}
	}
	for _, l := range t.Closed {
		s.closed[l] = true
	}
	for _, c := range t.Cursors {
		s.cursors[c.Site] = c.Cursor
	}
	return s, nil
}
