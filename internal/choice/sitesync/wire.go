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
		From    Place    `json:"from"`             // without Above
		Seen    Seen     `json:"seen,omitempty"`   // what has been applied there: it need not be sent down
		Judged  Seen     `json:"judged,omitempty"` // of its own writes: those whose receipts it has
		Lives   []Home   `json:"lives,omitempty"`  // of the sites below that were heard of: the latest
		Asks    []Origin `json:"asks,omitempty"`   // whose writes it has to send: it wants to know how far they are known
		Cursor  Cursor   `json:"cursor"`           // how far the answering site's state is known there
		Writes  []Write  `json:"writes,omitempty"` // in an order in which they may be applied
		Waiting int      `json:"waiting"`          // writes that are not in this batch
		Urgent  int      `json:"urgent"`           // of them urgent, with what they depend on
		Probe   bool     `json:"probe,omitempty"`  // only a question whether the way is whole, and what of Asks is known: it changes nothing
	}
	// Answer answers a batch.
	Answer struct {
		From   string        `json:"from"`
		Life   uint64        `json:"life"`
		Seen   Seen          `json:"seen,omitempty"` // of what was asked for
		Credit int           `json:"credit"`         // writes that the next call may bring
		Wait   time.Duration `json:"wait"`           // before the next call
		Down   *Down         `json:"down,omitempty"`
		// To a question: writes of an earlier call of the site are being agreed on.
		Working bool `json:"working,omitempty"`
	}
	// Down is the state of a site above, as changes since a cursor. Only the last piece is joined; the word on the caller's
	// own writes counts in each.
	Down struct {
		From    string    `json:"from"`
		Life    uint64    `json:"life"`
		To      uint64    `json:"to"`    // the life that it is for: it leaves out what that life had seen
		After   uint64    `json:"after"` // the cursor that it goes on from
		Until   uint64    `json:"until"`
		Last    bool      `json:"last,omitempty"`
		Tangled bool      `json:"tangled,omitempty"` // Writes may stand before what they depend on
		Seen    Seen      `json:"seen,omitempty"`    // of the whole state; with the last piece
		Judged  Seen      `json:"judged,omitempty"`  // of the whole state with the last piece, else of the caller's writes
		Refused []Receipt `json:"refused,omitempty"`
		Closed  []Home    `json:"closed,omitempty"` // lives of which nothing more comes; with the last piece
		Awaits  []Await   `json:"awaits,omitempty"` // with the last piece
		Things  []Held    `json:"things,omitempty"`
		Writes  []Placed  `json:"writes,omitempty"`
	}
	// Await is whose call a site waits for to close lives that have ended. Who once called there and calls another one since
	// would not call there again by itself.
	Await struct {
		By    string   `json:"by"`
		Sites []string `json:"sites"` // sorted
	}
	// Home is the latest life of a site.
	Home struct {
		Site string        `json:"site"`
		Life uint64        `json:"life"`
		Born time.Duration `json:"born"`
	}
	// Held is which writes on a thing still count.
	Held struct {
		Kind  Kind   `json:"kind"`
		Thing string `json:"thing"`
		Has   []ID   `json:"has"`
	}
	// Placed is a write with its place in the order of the sender.
	Placed struct {
		Seq   uint64 `json:"seq"`
		Write Write  `json:"write"`
	}
)

// check checks a write that came from elsewhere.
func (w *Write) check() error {
	if w.ID.Origin.Site == "" || w.ID.Origin.Life == 0 || w.ID.Number == 0 {
		return &WriteError{"id", "it names no write"}
	}
	if w.ID.Origin.Evidence != (w.Kind == Evidence) || w.ID.Origin.Evidence && w.ID.Origin.Urgent {
		return &WriteError{"id", "evidence, and nothing else, counts among evidence"}
	}
	if !w.After.sound() || !w.Over.sound() {
		return &WriteError{"after", "it is not a version vector"}
	}
	if w.Thing == "" && w.Kind == Evidence && len(w.Value) == 0 {
		return nil // evidence that was given up
	}
	return checkValue(w.Kind, w.Thing, w.Value, w.Closes)
}

func (b *Batch) check() error {
	if b.From.Site == "" || b.From.Life == 0 || !b.Seen.sound() || !b.Judged.sound() {
		return &BatchError{"the sender or a vector makes no sense"}
	}
	for i := range b.Writes {
		if err := b.Writes[i].check(); err != nil {
			return &BatchError{err.Error()}
		}
	}
	return nil
}

func (d *Down) check() error {
	if d.From == "" || d.Life == 0 || !d.Seen.sound() || !d.Judged.sound() {
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
	if a.From == "" || a.Life == 0 || !a.Seen.sound() || a.Credit < 0 || a.Wait < 0 {
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
	a := &Answer{From: s.self.Site, Life: s.self.Life, Credit: credit, Wait: wait}
	if !b.Probe {
		a.Down = s.down(b, callBytes)
	}
	asked := vector{}
	for _, o := range b.Asks {
		if n := s.seen[o]; n > 0 {
			asked[o] = n
		}
	}
	a.Seen = asked.list()
	return a
}

// down returns what the caller does not have: of each thing that changed after its cursor, which writes still count, and
// those of them that it has not seen. A long list comes in pieces, each with as much as fits.
func (s *Site) down(b *Batch, room int) *Down {
	from := at(b.Cursor, s.self.Life)
	d := &Down{From: s.self.Site, Life: s.self.Life, To: b.From.Life, After: from, Until: from, Last: true}
	i, _ := slices.BinarySearchFunc(s.changes, from+1, func(c change, at uint64) int { return cmp.Compare(c.at, at) })
	j, _ := slices.BinarySearchFunc(s.refusal, from+1, func(r *refusal, at uint64) int { return cmp.Compare(r.At, at) })
	changes, refused := s.changes[i:], s.refusal[j:]
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
		t := s.things[c.key]
		if t.changed != c.at {
			continue
		}
		if len(d.Writes) >= s.limits.Batch || len(d.Things) >= 4*s.limits.Batch {
			d.Last = false
			break
		}
		h := Held{c.key.Kind, c.key.Thing, nil}
		var writes []Placed
		size := 0
		for _, it := range t.items {
			if s.kept(it.Write.ID) {
				continue
			}
			h.Has = append(h.Has, it.Write.ID)
			if !seen.has(it.Write.ID) {
				writes = append(writes, Placed{it.Seq, *it.Write})
				size += len(encoded(&writes[len(writes)-1]))
			}
		}
		if !fits(size + len(encoded(&h))) {
			break
		}
		d.Things, d.Writes, d.Until = append(d.Things, h), append(d.Writes, writes...), c.at
	}
	if d.Last {
		d.Tangled = s.tangled
		d.Until, d.Seen, d.Judged = s.seq, s.offeredSeen(), s.judged.list()
		for l := range s.closed {
			d.Closed = append(d.Closed, Home{Site: l.Site, Life: l.Life})
		}
		slices.SortFunc(d.Closed, func(a, b Home) int { return life{a.Site, a.Life}.compare(life{b.Site, b.Life}) })
		d.Awaits = s.waits()
	}
	d.word(s, b)
	return d
}

// waits returns whose calls the top waits for.
func (s *Site) waits() []Await {
	if !s.top() {
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
	return []Await{{s.self.Site, sorted(all)}}
}

// offeredSeen returns what has been applied here without what may not leave yet, and without evidence, which does not come along.
func (s *Site) offeredSeen() Seen {
	v := s.seen.list()
	for i, m := range v {
		if s.kept(ID{m.Origin, m.Number}) {
			v[i].Number = s.offered[m.Origin.lane()]
		}
	}
	return slices.DeleteFunc(v, func(m Mark) bool { return m.Number == 0 || m.Origin.Evidence })
}

// Whole returns all that this site holds, as it is joined by a site that lost its store and has none above it: after an
// operator's word that the old store is gone for good. To is the new life of that site.
func (s *Site) Whole(to uint64) *Down {
	all := *s
	all.limits.Batch = 1 << 30
	return all.down(&Batch{From: Place{Site: "-", Life: to}}, math.MaxInt)
}

// word adds the top's word on the caller's own writes.
func (d *Down) word(s *Site, b *Batch) {
	for lane := range lanes {
		o := life{b.From.Site, b.From.Life}.origin(lane)
		if !d.Last && s.judged[o] > b.Judged.Of(o) {
			d.Judged = append(d.Judged, Mark{o, s.judged[o]})
		}
		for n := b.Judged.Of(o) + 1; len(s.refusal) > 0 && n <= s.judged[o]; n++ {
			if r := s.refused[ID{o, n}]; r != nil {
				d.Refused = append(d.Refused, r.Receipt)
			}
		}
	}
}

// version and end frame an encoded state.
const (
	version = "lichenhitch writes 1\n"
	end     = "\nend\n"
)

// stored is a state as it is kept: lists in order instead of maps.
type stored struct {
	Self    Place         `json:"self"`
	Limits  Limits        `json:"limits"`
	Now     time.Duration `json:"now"`
	Seq     uint64        `json:"seq"`
	Number  [lanes]uint64 `json:"number"`
	Offered [lanes]uint64 `json:"offered"`
	Tangled bool          `json:"tangled"`
	Told    [lanes]Seen   `json:"told"`
	Known   Seen          `json:"known"`
	Seen    Seen          `json:"seen"`
	Judged  Seen          `json:"judged"`
	Refused []*refusal    `json:"refused"`
	Items   []*item       `json:"items"`
	Changes []storedAt    `json:"changes"`
	Held    []waiting     `json:"held"`
	Homes   []storedHome  `json:"homes"`
	Callers []string      `json:"callers"`
	Ending  []storedEnd   `json:"ending"`
	Closed  []life        `json:"closed"`
	Cursors []storedCur   `json:"cursors"`
	Awaits  []Await       `json:"awaits,omitempty"`
}

type (
	storedAt struct {
		At    uint64 `json:"at"`
		Kind  Kind   `json:"kind"`
		Thing string `json:"thing"`
	}
	storedHome struct {
		Site string `json:"site"`
		home
	}
	storedEnd struct {
		life
		closing
	}
	storedCur struct {
		Site string `json:"site"`
		Cursor
	}
)

// Encode returns the state as bytes: equal states give equal bytes.
func (s *Site) Encode() []byte {
	t := stored{Self: s.self, Limits: s.limits, Now: s.now, Seq: s.seq, Number: s.number, Offered: s.offered, Tangled: s.tangled,
		Told: [lanes]Seen{s.told[0].list(), s.told[1].list(), s.told[2].list()}, Known: s.known.list(), Seen: s.seen.list(), Judged: s.judged.list(),
		Refused: append([]*refusal(nil), s.refusal...), Held: append([]waiting(nil), s.held...), Awaits: s.awaits}
	for k, x := range s.things {
		t.Items = append(t.Items, x.items...)
		t.Changes = append(t.Changes, storedAt{x.changed, k.Kind, k.Thing})
	}
	slices.SortFunc(t.Items, func(a, b *item) int { return cmp.Compare(a.Seq, b.Seq) })
	slices.SortFunc(t.Changes, func(a, b storedAt) int { return cmp.Compare(a.At, b.At) })
	for _, site := range sorted(s.homes) {
		t.Homes = append(t.Homes, storedHome{site, s.homes[site]})
	}
	t.Callers = sorted(s.callers)
	for l, e := range s.ending {
		t.Ending = append(t.Ending, storedEnd{l, *e})
	}
	slices.SortFunc(t.Ending, func(a, b storedEnd) int { return a.life.compare(b.life) })
	for l := range s.closed {
		t.Closed = append(t.Closed, l)
	}
	slices.SortFunc(t.Closed, life.compare)
	for _, site := range sorted(s.cursors) {
		t.Cursors = append(t.Cursors, storedCur{site, s.cursors[site]})
	}
	return append(append([]byte(version), encoded(&t)...), end...)
}

func (l life) compare(m life) int {
	return cmp.Or(cmp.Compare(l.Site, m.Site), cmp.Compare(l.Life, m.Life))
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
	body, ok := bytes.CutPrefix(data, []byte(version))
	if !ok {
		return nil, &StateError{"it is of another version"}
	}
	if body, ok = bytes.CutSuffix(body, []byte(end)); !ok {
		return nil, &StateError{"it is cut short"}
	}
	var t stored
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, &StateError{err.Error()}
	}
	s := New(t.Self, t.Limits).Merging(merge)
	s.now, s.seq, s.number, s.offered, s.tangled = t.Now, t.Seq, t.Number, t.Offered, t.Tangled
	for _, p := range [3 + lanes]struct {
		v vector
		s Seen
	}{{s.told[0], t.Told[0]}, {s.told[1], t.Told[1]}, {s.told[2], t.Told[2]}, {s.known, t.Known}, {s.seen, t.Seen}, {s.judged, t.Judged}} {
		if !p.s.sound() {
			return nil, &StateError{"a vector makes no sense"}
		}
		p.v.join(p.s)
	}
	s.refusal, s.held, s.awaits = t.Refused, t.Held, t.Awaits
	for _, r := range t.Refused {
		s.refused[r.Receipt.ID] = r
	}
	for _, c := range t.Changes {
		k := key{c.Kind, c.Thing}
		s.things[k] = &thing{changed: c.At}
		if k.Kind == Evidence {
			continue
		}
		s.changes = append(s.changes, change{c.At, k})
	}
	for _, it := range t.Items {
		x := s.things[key{it.Write.Kind, it.Write.Thing}]
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
		s.homes[h.Site] = h.home
	}
	for _, c := range t.Callers {
		s.callers[c] = true
	}
	for _, e := range t.Ending {
		s.ending[e.life] = &closing{e.Since, e.Waits}
	}
	for _, l := range t.Closed {
		s.closed[l] = true
	}
	for _, c := range t.Cursors {
		s.cursors[c.Site] = c.Cursor
	}
	return s, nil
}
