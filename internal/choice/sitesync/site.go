package sitesync

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// key names what writes are settled with one another: a thing, by kind.
type key struct {
	Kind  Kind
	Thing string
}

// item is a write with its place in the order in which this site applied it. Items are never changed once made.
type item struct {
	Seq   uint64 `json:"seq"`
	Write *Write `json:"write"`
}

// thing holds the writes on one thing that may still count, in the order of their application.
type thing struct {
	items   []*item
	changed uint64 // place in the order of changes
}

// change is an entry of the list of things by change; it is stale where the thing was changed since.
type change struct {
	at  uint64
	key key
}

// refusal is a write that the top did not take.
type refusal struct {
	At      uint64  `json:"at"` // place in this site's order of changes
	Receipt Receipt `json:"receipt"`
}

// life names one life of a site, with both of its origins.
type life struct {
	Site string `json:"site"`
	Life uint64 `json:"life"`
}

func lifeOf(o Origin) life { return life{o.Site, o.Life} }

// origin returns the name of a lane of a life.
func (l life) origin(lane int) Origin {
	return Origin{Site: l.Site, Life: l.Life, Urgent: lane == 1, Evidence: lane == 2}
}

// home is the latest life that is known of a site.
type home struct {
	Life uint64        `json:"life"`
	Born time.Duration `json:"born"`
}

// closing is a life that has ended with its store. It is closed, and its gaps with it, once every site that calls here has
// called again without showing more of it.
type closing struct {
	Since time.Duration `json:"since"`
	Waits []string      `json:"waits"` // sorted
}

// Cursor says how far the state of another site is known.
type Cursor struct {
	Life uint64 `json:"life"`
	At   uint64 `json:"at"` // place in that site's order of changes
}

// waiting is a write that came before what it depends on.
type waiting struct {
	Since time.Duration `json:"since"`
	Write *Write        `json:"write"`
}

// Site is what a site's council replicates of writes.
type Site struct {
	self    Place
	limits  Limits
	merge   Merge
	keep    func([]byte) []byte // of evidence that the top has judged; nil: all of it
	now     time.Duration
	seq     uint64
	number  [lanes]uint64 // of the last own write, by lane
	offered [lanes]uint64
	told    [lanes]vector // what the last own write named, with all before it
	known   vector        // what this site has seen, and what tokens named; evidence aside
	seen    vector
	judged  vector
	refused map[ID]*refusal
	refusal []*refusal // by place
	log     logged
	tangled bool // some write in log may stand before one that it depends on: a token named what came later
	things  map[key]*thing
	changes []change
	held    []waiting
	homes   map[string]home
	callers map[string]bool
	ending  map[life]*closing
	closed  map[life]bool
	cursors map[string]Cursor
	awaits  []Await // by sites above; replaced whole
	own     usage   // of writes of this site in log
	others  usage
}

// logged is what is not judged yet: of each origin the writes in the order of their numbers, which is that of their places too.
type logged map[Origin][]*item

// upTo returns how many writes of an origin have numbers up to one.
func (l logged) upTo(o Origin, n uint64) int {
	i, found := slices.BinarySearchFunc(l[o], n, func(it *item, n uint64) int { return cmp.Compare(it.Write.ID.Number, n) })
	if found {
		i++
	}
	return i
}

func (l logged) add(it *item) {
	o := it.Write.ID.Origin
	l[o] = slices.Insert(l[o], l.upTo(o, it.Write.ID.Number), it)
}

// cut takes out what an origin wrote up to a number.
func (l logged) cut(o Origin, n uint64) []*item {
	q, i := l[o], l.upTo(o, n)
	if l[o] = q[i:]; i == len(q) {
		delete(l, o)
	}
	gone := slices.Clone(q[:i])
	clear(q[:i]) // or they stay for as long as the rest
	return gone
}

// inOrder puts items in the order of their places.
func inOrder(list []*item) []*item {
	slices.SortFunc(list, func(a, b *item) int { return cmp.Compare(a.Seq, b.Seq) })
	return list
}

type usage struct{ number, bytes int }

func (u *usage) add(w *Write, n int) {
	u.number += n
	u.bytes += n * w.size()
}

// size is about how many bytes a write takes in the store.
func (w *Write) size() int {
	n := 96 + len(w.Thing) + len(w.Value) + len(w.By) + len(w.ID.Origin.Site)
	for _, v := range [2]Seen{w.After, w.Over} {
		for _, m := range v {
			n += 24 + len(m.Origin.Site)
		}
	}
	return n + 40*len(w.Needs)
}

// New returns the state of a site that has seen nothing. Evidence is merged by MergeSketches unless Merging sets another way.
func New(self Place, limits Limits) *Site {
	return &Site{self: self, limits: limits, merge: MergeSketches, told: [lanes]vector{{}, {}, {}}, known: vector{}, seen: vector{},
		judged: vector{}, refused: map[ID]*refusal{}, things: map[key]*thing{}, homes: map[string]home{},
		log: logged{}, callers: map[string]bool{}, ending: map[life]*closing{}, closed: map[life]bool{}, cursors: map[string]Cursor{}}
}

// Merging sets how evidence is merged: the same at all sites.
func (s *Site) Merging(m Merge) *Site {
	s.merge = m
	return s
}

// Keeping sets what the top keeps of a piece of evidence, besides the effect that hands it over whole: of the newest that each
// origin told of a thing. It has to be evidence as well, to merge with what comes. The same at all seats.
func (s *Site) Keeping(f func([]byte) []byte) *Site {
	s.keep = f
	return s
}

// Clone returns a copy that shares nothing that changes.
func (s *Site) Clone() *Site {
	c := *s
	for lane := range s.told {
		c.told[lane] = maps.Clone(s.told[lane])
	}
	c.known, c.seen, c.judged = maps.Clone(s.known), maps.Clone(s.seen), maps.Clone(s.judged)
	c.refused, c.refusal = maps.Clone(s.refused), slices.Clone(s.refusal)
	c.changes, c.held = slices.Clone(s.changes), slices.Clone(s.held)
	c.log = make(logged, len(s.log))
	for o, q := range s.log {
		c.log[o] = slices.Clone(q)
	}
	c.things = make(map[key]*thing, len(s.things))
	for k, t := range s.things {
		c.things[k] = &thing{slices.Clone(t.items), t.changed}
	}
	c.homes, c.callers, c.closed, c.cursors = maps.Clone(s.homes), maps.Clone(s.callers), maps.Clone(s.closed), maps.Clone(s.cursors)
	c.ending = make(map[life]*closing, len(s.ending))
	for l, e := range s.ending {
		c.ending[l] = &closing{e.Since, slices.Clone(e.Waits)}
	}
	return &c
}

// Self returns the place that the state was made for.
func (s *Site) Self() Place { return s.self }

// top says whether this site judges writes.
func (s *Site) top() bool { return len(s.self.Above) == 0 }

// origin returns the name of a lane of this site.
func (s *Site) origin(lane int) Origin {
	return life{s.self.Site, s.self.Life}.origin(lane)
}

// mine says whether an origin is this site in this life.
func (s *Site) mine(o Origin) bool { return o.Site == s.self.Site && o.Life == s.self.Life }

// Seen returns what has been applied here.
func (s *Site) Seen() Seen { return s.seen.list() }

// Judged returns of which writes the word of the top is known.
func (s *Site) Judged() Seen { return s.judged.list() }

// Verdict returns why a write was not taken, if that is known here.
func (s *Site) Verdict(d ID) (Receipt, bool) {
	if r := s.refused[d]; r != nil {
		return r.Receipt, true
	}
	return Receipt{}, false
}

// Token returns what this site has seen as text that a person can take to another site.
func (s *Site) Token() string { return s.known.list().Encode() }

// Waiting returns how many writes of this site, and of others, wait for the top's word.
func (s *Site) Waiting() (own, others int) { return s.own.number, s.others.number }

// Held returns how many writes wait for what they depend on.
func (s *Site) Held() int { return len(s.held) }

// Value returns what holds of a thing here, under a kind.
func (s *Site) Value(k Kind, name string) (Settled, bool) {
	t := s.things[key{k, name}]
	if t == nil || name == "" {
		return Settled{}, false
	}
	return Settle(t.writes(), s.merge)
}

func (t *thing) writes() []*Write {
	list := make([]*Write, len(t.items))
	for i, it := range t.items {
		list[i] = it.Write
	}
	return list
}

// Things returns the things of a kind that something holds of, sorted.
func (s *Site) Things(k Kind) []string {
	var names []string
	for at, t := range s.things {
		if at.Kind == k && at.Thing != "" && len(t.items) > 0 {
			names = append(names, at.Thing)
		}
	}
	slices.Sort(names)
	return names
}

// Check says why a command would be refused, before it is proposed. What it lets through, Apply takes, unless the state
// has changed in between; Apply checks once more.
func (s *Site) Check(c Command) error {
	switch {
	case c.Write != nil:
		return s.checkLocal(c.Write)
	case c.Batch != nil:
		return c.Batch.check()
	case c.Down != nil:
		return c.Down.check()
	case c.Place != nil && (c.Place.Site != s.self.Site || c.Place.Life != s.self.Life || s.top() != (len(c.Place.Above) == 0)):
		return &WriteError{"place", "a site keeps its name and its life, and does not become the top or cease to be it"}
	case c.Limits != nil && (c.Limits.Number <= 0 || c.Limits.Bytes <= 0 || c.Limits.Batch <= 0):
		return &WriteError{"limits", "number, bytes and batch must be above 0"}
	}
	return nil
}

func (s *Site) checkLocal(l *Local) error {
	if err := checkValue(l.Kind, l.Thing, l.Value, l.Closes); err != nil {
		return err
	}
	switch {
	case l.Closes && !s.top():
		return &WriteError{"closes", "a thing is closed at the top site only"}
	case l.Urgent && l.Kind == Evidence:
		return &WriteError{"urgent", "evidence is never urgent"}
	case l.Kind == Evidence && !l.Closes:
		if _, err := s.merge(l.Value, l.Value); err != nil {
			return &WriteError{"value", "it is no evidence that can be merged: " + err.Error()}
		}
	}
	if l.Token != "" {
		if _, err := ParseToken(l.Token); err != nil {
			return err
		}
	}
	for _, d := range l.Needs {
		if !s.seen.has(d) && !s.known.has(d) {
			return &WriteError{"needs", d.String() + " is not known here"}
		}
	}
	if by := s.closer(key{l.Kind, l.Thing}); by != nil {
		return &ClosedError{l.Thing, by.ID, string(by.Value)}
	}
	if s.mergeable(l) != nil || s.top() {
		return nil
	}
	room := Rules[l.Kind].Room
	e := &FullError{l.Kind, s.own.number, s.own.bytes, s.limits.Number * room / 100, s.limits.Bytes * room / 100}
	if last := s.lastOwn(key{l.Kind, l.Thing}); last != nil && len(last.Write.Needs) == 0 && !s.judged.has(last.Write.ID) {
		e.Bytes -= last.Write.size() // it is emptied once this one may leave
	}
	if e.Number >= e.MostOf || e.Bytes+len(l.Value)+len(l.Thing)+96 > e.Most {
		return e
	}
	return nil
}

// checkValue checks what a write says, wherever it comes from.
func checkValue(k Kind, name string, value []byte, closes bool) error {
	switch r := &Rules[min(k, kinds-1)]; {
	case k >= kinds:
		return &WriteError{"kind", "there is none such"}
	case name == "" || len(name) > 256:
		return &WriteError{"thing", "it must have 1 to 256 bytes"}
	case len(value) > 64<<10:
		return &WriteError{"value", "it is longer than 64 KiB"}
	case len(r.Words) > 0 && !closes && r.word(value) < 0:
		return &WriteError{"value", "it must begin with one of the kind's words"}
	}
	return nil
}

// closer returns the write that has closed a thing, or nil.
func (s *Site) closer(k key) *Write {
	if t := s.things[k]; t != nil {
		for _, it := range t.items {
			if it.Write.Closes {
				return it.Write
			}
		}
	}
	return nil
}

// mergeable returns this site's evidence on the same thing that has not left yet.
func (s *Site) mergeable(l *Local) *item {
	if l.Kind != Evidence || l.Closes || len(l.Needs) > 0 || l.Token != "" || s.top() {
		return nil
	}
	if it := s.lastOwn(key{Evidence, l.Thing}); it != nil && s.kept(it.Write.ID) {
		return it
	}
	return nil
}

// lastOwn returns this site's last evidence on a thing.
func (s *Site) lastOwn(k key) (last *item) {
	if t := s.things[k]; t != nil {
		for _, it := range t.items {
			if it.Write.ID.Origin == s.origin(2) && (last == nil || it.Write.ID.Number > last.Write.ID.Number) {
				last = it
			}
		}
	}
	return last
}

// Apply takes in one command at the time that the leader stamped, and returns what it brings, in order.
func (s *Site) Apply(at time.Duration, c Command) (f []Effect) {
	s.now = max(s.now, at)
	if err := s.Check(c); err != nil {
		if _, full := err.(*FullError); !full || !s.sweep(&f) || s.Check(c) != nil {
			return append(f, Effect{Kind: EffectRefused, Err: err})
		}
	}
	switch {
	case c.Write != nil:
		s.write(c.Write, &f)
	case c.Offer != nil:
		s.offer(c.Offer)
	case c.Batch != nil:
		s.take(c.Batch, &f)
	case c.Down != nil:
		s.join(c.Down, &f)
	case c.Place != nil:
		s.self.Level, s.self.Above = c.Place.Level, slices.Clone(c.Place.Above)
	case c.Limits != nil:
		s.limits = *c.Limits
	default:
		s.sweep(&f)
		s.end(&f)
		s.release(&f)
	}
	return f
}

// Unoffered returns what a leader has committed before it sends, or answers with, what this site wrote; nil where all of it
// may have left already.
func (s *Site) Unoffered() *Command {
	if s.top() || s.offered == s.number {
		return nil
	}
	return &Command{Offer: &Offer{s.number[0], s.number[1], s.number[2]}}
}

// offer lets writes of this site leave.
func (s *Site) offer(o *Offer) {
	was := s.offered
	for lane, n := range [lanes]uint64{o.Number, o.Urgent, o.Evidence} {
		s.offered[lane] = max(was[lane], min(n, s.number[lane]))
	}
	var left []*item
	for lane := range lanes {
		o := s.origin(lane)
		left = append(left, s.log[o][s.log.upTo(o, was[lane]):]...)
	}
	for _, it := range inOrder(left) {
		s.touch(key{it.Write.Kind, it.Write.Thing})
		s.carried(it.Write)
	}
}

// carried empties what waits of the same origin's evidence on the same thing: this one says it as well, and may leave.
func (s *Site) carried(by *Write) {
	if by.Kind != Evidence || by.Thing == "" || s.kept(by.ID) {
		return
	}
	for _, it := range slices.Clone(s.things[key{by.Kind, by.Thing}].items) {
		w := it.Write
		if w.ID.Origin == by.ID.Origin && w.ID.Number < by.ID.Number && len(w.Needs) == 0 && !s.judged.has(w.ID) {
			s.replace(it, &item{it.Seq, void(w, by.ID.Number)})
		}
	}
}

// void is what is left of evidence that was given up, or that a later one of its origin says as well.
func void(w *Write, into uint64) *Write {
	return &Write{ID: w.ID, After: w.After, Kind: Evidence, Level: w.Level, At: w.At, Born: w.Born, Into: into}
}

// kept says whether a write is one of this site's that may not leave yet.
func (s *Site) kept(d ID) bool {
	return !s.top() && s.mine(d.Origin) && d.Number > s.offered[d.Origin.lane()]
}

// write commits a write of this site.
func (s *Site) write(l *Local, f *[]Effect) {
	if it := s.mergeable(l); it != nil {
		w := *it.Write
		w.Value = merged(s.merge, w.Value, l.Value)
		s.replace(it, &item{it.Seq, &w})
		*f = append(*f, Effect{Kind: EffectMerged, Write: &w, ID: w.ID})
		return
	}
	lane := Origin{Urgent: l.Urgent, Evidence: l.Kind == Evidence}.lane()
	k := key{l.Kind, l.Thing}
	w := &Write{ID: ID{s.origin(lane), s.number[lane] + 1}, Kind: l.Kind, Level: s.self.Level, Thing: l.Thing, Value: l.Value,
		At: s.now, By: l.By, Closes: l.Closes, Needs: append([]ID(nil), l.Needs...)}
	if w.ID.Number == 1 {
		w.Born = s.self.Born
	}
	over, after := vector{}, vector{}
	if l.Token != "" {
		token, _ := ParseToken(l.Token) // checked
		after.join(token)
		if l.Kind != Evidence { // what comes later goes behind this write; others here have not read what was named
			over.join(s.ahead(token))
		}
		s.known.join(token)
	}
	if l.Kind == Evidence {
		if last := s.lastOwn(k); last != nil && !l.Closes {
			w.Value = merged(s.merge, last.Write.Value, l.Value)
		}
	} else if t := s.things[k]; t != nil {
		for _, it := range t.items {
			over.raise(it.Write.ID.Origin, it.Write.ID.Number)
			over.join(s.ahead(it.Write.Over))
		}
	}
	for _, d := range l.Needs {
		after.raise(d.Origin, d.Number)
	}
	after.join(over.list())
	if lane == 0 {
		after.join(s.known.list())
	}
	delete(after, w.ID.Origin)
	delete(over, w.ID.Origin)
	w.After, w.Over = after.beyond(s.told[lane]), over.list()
	s.told[lane].join(w.After)
	s.number[lane]++
	s.tangled = s.tangled || len(s.ahead(w.After)) > 0
	s.apply(w, false, f)
}

// ahead returns the marks of a vector that were named here and have not come.
func (s *Site) ahead(v Seen) (far Seen) {
	for _, m := range v {
		if m.Number > s.seen[m.Origin] && !s.mine(m.Origin) {
			far = append(far, m)
		}
	}
	return far
}

// replace puts an item in the place of another one of the same write.
func (s *Site) replace(old, by *item) {
	o := old.Write.ID.Origin
	if i := s.log.upTo(o, old.Write.ID.Number); i > 0 && s.log[o][i-1] == old {
		s.log[o][i-1] = by
	}
	s.usage(by.Write).add(old.Write, -1)
	s.usage(by.Write).add(by.Write, 1)
	k := key{old.Write.Kind, old.Write.Thing}
	t := s.things[k]
	i := slices.Index(t.items, old)
	if by.Write.Thing == old.Write.Thing {
		t.items[i] = by
	} else {
		t.items = slices.Delete(t.items, i, i+1)
		s.place(by)
	}
	s.touch(k)
}

func (s *Site) usage(w *Write) *usage {
	if s.mine(w.ID.Origin) {
		return &s.own
	}
	return &s.others
}

// place puts an item among those of its thing.
func (s *Site) place(it *item) {
	k := key{it.Write.Kind, it.Write.Thing}
	t := s.things[k]
	if t == nil {
		t = &thing{}
		s.things[k] = t
	}
	i, _ := slices.BinarySearchFunc(t.items, it.Seq, func(it *item, seq uint64) int { return cmp.Compare(it.Seq, seq) })
	t.items = slices.Insert(t.items, i, it)
	s.touch(k)
}

// touch notes that a thing has changed.
func (s *Site) touch(k key) {
	s.seq++
	s.things[k].changed = s.seq
	if k.Kind == Evidence {
		return // it does not come down
	}
	s.changes = append(s.changes, change{s.seq, k})
	if len(s.changes) > 64 && len(s.changes) > 2*len(s.things) {
		s.changes = slices.DeleteFunc(s.changes, func(c change) bool { return s.things[c.key].changed != c.at })
	}
}

// apply applies a write that is the next of its origin. Lacking says that what it depends on will never come.
func (s *Site) apply(w *Write, lacking bool, f *[]Effect) {
	o := w.ID.Origin
	s.seen.raise(o, w.ID.Number)
	if !o.Evidence {
		s.known.raise(o, w.ID.Number)
	}
	if s.mine(o) {
		s.older(f)
	}
	if w.Born > 0 {
		s.heard(life{o.Site, o.Life}, w.Born, f)
	}
	s.seq++
	it := &item{s.seq, w}
	if !s.top() {
		s.log.add(it)
		s.usage(w).add(w, 1)
		s.place(it)
		s.carried(w)
		*f = append(*f, Effect{Kind: EffectApplied, Write: w, ID: w.ID})
		return
	}
	outcome, why := s.judge(w, lacking)
	s.judged.raise(o, w.ID.Number)
	r := Receipt{w.ID, outcome, why, s.self.Site}
	if outcome != Applied {
		s.refuse(r)
	} else {
		if s.keep != nil && w.Kind == Evidence && w.Thing != "" && !w.Closes {
			kept := *w
			kept.Value = s.keep(w.Value)
			it = &item{it.Seq, &kept}
		}
		s.place(it)
		s.prune(key{w.Kind, w.Thing})
		*f = append(*f, Effect{Kind: EffectApplied, Write: w, ID: w.ID})
		r.Outcome = s.fate(w)
	}
	if s.mine(o) {
		*f = append(*f, Effect{Kind: EffectReceipt, ID: w.ID, Receipt: r})
	}
}

// judge says what becomes of a write at the top.
func (s *Site) judge(w *Write, lacking bool) (Outcome, string) {
	if w.Thing == "" {
		return Applied, ""
	}
	if by := s.closer(key{w.Kind, w.Thing}); by != nil {
		return Refused, "closed by " + by.ID.String() + ": " + string(by.Value)
	}
	if !falls(w) {
		return Applied, ""
	}
	for _, d := range w.Needs {
		if r := s.refused[d]; r != nil {
			return Orphaned, d.String() + " was " + r.Receipt.Outcome.String() + ": " + r.Receipt.Why
		}
	}
	if lacking {
		return Orphaned, "what it depends on was lost with its site's store"
	}
	return Applied, ""
}

// fate tells a write that was taken and goes first, or stands beside others, from one that another goes before.
func (s *Site) fate(w *Write) Outcome {
	if w.Thing == "" || Rules[w.Kind].Together {
		return Applied
	}
	v, ok := s.Value(w.Kind, w.Thing)
	if ok && slices.ContainsFunc(v.Beside, func(b Write) bool { return b.ID == w.ID }) {
		return Superseded
	}
	return Applied
}

func (s *Site) refuse(r Receipt) {
	if s.refused[r.ID] != nil {
		return
	}
	s.seq++
	x := &refusal{s.seq, r}
	s.refused[r.ID] = x
	s.refusal = append(s.refusal, x)
}

// prune forgets writes on a thing that count no more: refused, or written over by one that the top has taken, or evidence
// that is held elsewhere. Only what is judged is forgotten, so that nothing comes back.
func (s *Site) prune(k key) {
	t := s.things[k]
	if t == nil {
		return
	}
	set := t.items
	gone := func(it *item) bool {
		if !s.judged.has(it.Write.ID) {
			return false
		}
		w := it.Write
		if s.refused[w.ID] != nil || w.Thing == "" || w.Kind == Evidence && !s.top() && !s.mine(w.ID.Origin) {
			return true
		}
		return slices.ContainsFunc(set, func(by *item) bool {
			return kills(by.Write, it.Write) && s.judged.has(by.Write.ID) && s.refused[by.Write.ID] == nil
		})
	}
	var rest []*item
	for _, it := range set {
		if !gone(it) {
			rest = append(rest, it)
		}
	}
	if len(rest) < len(set) {
		t.items = rest
		s.touch(k)
	}
}

// take takes in what a site below sent.
func (s *Site) take(b *Batch, f *[]Effect) {
	if b.Probe { // what it does not show says nothing
		return
	}
	s.heard(life{b.From.Site, b.From.Life}, b.From.Born, f)
	for _, h := range b.Lives {
		s.heard(life{h.Site, h.Life}, h.Born, f)
	}
	s.callers[b.From.Site] = true
	for l, e := range s.ending {
		if i, waits := slices.BinarySearch(e.Waits, b.From.Site); waits && s.shows(b, l) {
			e.Waits = slices.Delete(e.Waits, i, i+1)
		}
	}
	for i := range b.Writes {
		one := b.Writes[i] // a copy: the call's memory is not kept
		w := &one
		switch ready, lacking := s.ready(w); {
		case s.seen.has(w.ID):
		case !s.room(w):
		case ready:
			s.apply(w, lacking, f)
		default:
			s.hold(w, f)
		}
	}
	s.end(f)
	s.release(f)
}

// News says whether a call is to be taken in though it brings no writes: it tells of a life that is not known here, or a
// life waits for it to be closed.
func (s *Site) News(b *Batch) bool {
	for _, h := range b.Lives {
		if l := (life{h.Site, h.Life}); s.homes[h.Site].Life != h.Life && s.ending[l] == nil && !s.closed[l] {
			return true
		}
	}
	for l, e := range s.ending {
		if _, waits := slices.BinarySearch(e.Waits, b.From.Site); waits && s.shows(b, l) {
			return true
		}
	}
	return false
}

// awaited says whether a site above waits for a call of this one.
func (s *Site) awaited(by string) bool {
	return slices.ContainsFunc(s.awaits, func(a Await) bool { return a.By == by && slices.Contains(a.Sites, s.self.Site) })
}

// shows says whether a call shows nothing of a life that is not known here.
func (s *Site) shows(b *Batch, l life) bool {
	for lane := range lanes {
		o := l.origin(lane)
		if b.Seen.Of(o) > s.seen[o] {
			return false
		}
	}
	return true
}

// room says whether a write of another site may be taken into the queue. Evidence leaves room for decisions.
func (s *Site) room(w *Write) bool {
	part := relayedRoom
	if w.Kind == Evidence {
		part = part * Rules[Evidence].Room / 100
	}
	return s.top() || s.others.number < s.limits.Number*part/100 && s.others.bytes+w.size() <= s.limits.Bytes*part/100
}

// Room returns how many more writes of other sites the queue takes.
func (s *Site) Room() int {
	if s.top() {
		return 1 << 30
	}
	return max(0, s.limits.Number*relayedRoom/100-s.others.number)
}

// ready says whether all that a write depends on has been applied; lacking, that some of it never will be.
func (s *Site) ready(w *Write) (ready, lacking bool) {
	if w.ID.Number != s.seen[w.ID.Origin]+1 {
		return false, false
	}
	for _, m := range w.After {
		if m.Number <= s.seen[m.Origin] {
			continue
		}
		if !s.closed[lifeOf(m.Origin)] {
			return false, false
		}
		lacking = true
	}
	return true, lacking
}

// hold keeps a write that came too early, if there is room; the sender has it in any case. Of the evidence of an origin, which
// is long, it keeps one.
func (s *Site) hold(w *Write, f *[]Effect) {
	if w.Kind == Evidence && w.ID.Number != s.seen[w.ID.Origin]+1 {
		return
	}
	if len(s.held) >= s.limits.Held || slices.ContainsFunc(s.held, func(h waiting) bool { return h.Write.ID == w.ID }) {
		return
	}
	s.held = append(s.held, waiting{s.now, w})
	*f = append(*f, Effect{Kind: EffectHeld, ID: w.ID})
}

// release applies what was held and is ready now, and lets go what has been applied or has waited for too long.
func (s *Site) release(f *[]Effect) {
	for again := true; again; {
		again = false
		for i := 0; i < len(s.held); i++ {
			h := s.held[i]
			ready, lacking := s.ready(h.Write)
			if ready && !s.room(h.Write) {
				continue
			}
			late := s.limits.Age > 0 && s.now-h.Since > s.limits.Age
			gap := s.closed[lifeOf(h.Write.ID.Origin)] && !ready
			if !ready && !late && !gap && !s.seen.has(h.Write.ID) {
				continue
			}
			s.held = slices.Delete(s.held, i, i+1)
			i--
			if ready {
				s.apply(h.Write, lacking, f)
				again = true
			}
		}
	}
}

// heard notes a life of a site. The top begins to close the one before it.
func (s *Site) heard(l life, born time.Duration, f *[]Effect) {
	was, any := s.homes[l.Site]
	switch {
	case any && was.Life == l.Life:
		return
	case any && cmp.Or(cmp.Compare(born, was.Born), cmp.Compare(l.Life, was.Life)) < 0:
		s.lost(l, f)
		return
	}
	s.homes[l.Site] = home{l.Life, born}
	delete(s.ending, l)
	delete(s.closed, l)
	if any {
		s.lost(life{l.Site, was.Life}, f)
	}
}

// lost begins to close a life that ended with its store.
func (s *Site) lost(l life, f *[]Effect) {
	if s.ending[l] != nil || s.closed[l] || l.Site == s.self.Site && l.Life == s.self.Life {
		return
	}
	e := &closing{Since: s.now}
	for site := range s.callers {
		if site != l.Site {
			e.Waits = append(e.Waits, site)
		}
	}
	slices.Sort(e.Waits)
	s.ending[l] = e
	o := Origin{Site: l.Site, Life: l.Life}
	*f = append(*f, Effect{Kind: EffectLost, ID: ID{o, s.seen[o]}})
}

// unheard begins to close the life of a mark that was never heard of while its site lives a later one. An earlier one may
// be all that is known here: then the site has yet to call.
func (s *Site) unheard(m Mark, f *[]Effect) {
	l := lifeOf(m.Origin)
	was, any := s.homes[l.Site]
	if !any || l.Life >= was.Life || m.Number <= s.seen[m.Origin] || s.ending[l] != nil || s.closed[l] {
		return
	}
	s.lost(l, f)
	if e := s.ending[l]; e != nil && s.callers[l.Site] {
		i, _ := slices.BinarySearch(e.Waits, l.Site)
		e.Waits = slices.Insert(e.Waits, i, l.Site)
	}
}

// end closes lives of which nothing more can come.
func (s *Site) end(f *[]Effect) {
	if !s.top() {
		return
	}
	for _, h := range s.held { // a life that is named and was never heard of, of a site that lives another one
		s.unheard(Mark{h.Write.ID.Origin, h.Write.ID.Number}, f)
		for _, m := range h.Write.After {
			s.unheard(m, f)
		}
	}
	for l, e := range s.ending { // the order does not show: each is judged by itself
		if len(e.Waits) == 0 || s.limits.Age > 0 && s.now-e.Since > s.limits.Age {
			delete(s.ending, l)
			s.closed[l] = true
		}
	}
}

// sweep gives up evidence that is too old and has not left. It says whether there was any.
func (s *Site) sweep(f *[]Effect) (any bool) {
	if s.limits.Age <= 0 {
		return false
	}
	for _, it := range slices.Clone(s.log[s.origin(2)]) {
		w := it.Write
		if w.Thing == "" || !s.kept(w.ID) || s.now-w.At <= s.limits.Age {
			continue
		}
		s.replace(it, &item{it.Seq, void(w, 0)})
		*f = append(*f, Effect{Kind: EffectReceipt, ID: w.ID,
			Receipt: Receipt{w.ID, Refused, "the evidence is older than " + s.limits.Age.String(), s.self.Site}})
		any = true
	}
	return any
}

// join takes in the state of a site above.
func (s *Site) join(d *Down, f *[]Effect) {
	cur := s.cursors[d.From]
	if d.To != s.self.Life {
		return // for a life that ended with its store
	}
	if d.Last && d.After > 0 && (cur.Life != d.Life || cur.At < d.After) {
		return // it goes on from what is not known here
	}
	has := map[key][]ID{}
	for _, t := range d.Things {
		has[key{t.Kind, t.Thing}] = t.Has
	}
	before := maps.Clone(s.judged)
	for _, r := range d.Refused {
		s.refuse(r)
	}
	touched := map[key]bool{}
	if d.Last {
		covers := vector{}
		covers.join(d.Seen)
		for _, h := range d.Things {
			k := key{h.Kind, h.Thing}
			if t := s.things[k]; t != nil {
				n := len(t.items)
				t.items = slices.DeleteFunc(slices.Clone(t.items), func(it *item) bool {
					return covers.has(it.Write.ID) && !slices.Contains(has[k], it.Write.ID)
				})
				if len(t.items) < n {
					s.touch(k)
				}
			}
		}
		judged := vector{}
		judged.join(d.Judged)
		writes := slices.Clone(d.Writes)
		slices.SortFunc(writes, func(a, b Placed) int { return cmp.Compare(a.Seq, b.Seq) })
		for i := range writes {
			w := &writes[i].Write
			k := key{w.Kind, w.Thing}
			if s.seen.has(w.ID) || !slices.Contains(has[k], w.ID) || slices.ContainsFunc(s.itemsOf(k), func(it *item) bool { return it.Write.ID == w.ID }) {
				continue
			}
			s.seq++
			it := &item{s.seq, w}
			s.place(it)
			touched[k] = true
			if !judged.has(w.ID) {
				s.tangled = s.tangled || d.Tangled
				s.log.add(it)
				s.usage(w).add(w, 1)
			}
			*f = append(*f, Effect{Kind: EffectApplied, Write: w, ID: w.ID})
		}
		s.seen.join(d.Seen)
		s.known.join(d.Seen)
		s.cursors[d.From] = Cursor{d.Life, max(d.Until, at(cur, d.Life))}
		s.awaits = d.Awaits
	}
	for _, h := range d.Closed {
		l := life{h.Site, h.Life}
		s.closed[l] = true
		delete(s.ending, l)
	}
	s.judged.join(d.Judged)
	for _, m := range d.Judged { // evidence that the top has judged need be neither had here nor passed on
		if m.Origin.Evidence {
			s.seen.raise(m.Origin, m.Number)
		}
	}
	s.older(f)
	s.cut(before, touched, d.From, f)
	s.release(f)
}

// brings says whether join would change anything but the cursor: from an older one the same comes again.
func (s *Site) brings(d *Down) bool {
	switch {
	case d.To != s.self.Life:
		return false
	case len(d.Things)+len(d.Writes)+len(d.Refused) > 0, !s.seen.covers(d.Seen), !s.known.covers(d.Seen), !s.judged.covers(d.Judged):
		return true
	}
	return slices.ContainsFunc(d.Closed, func(h Home) bool { return !s.closed[life{h.Site, h.Life}] }) ||
		!slices.EqualFunc(s.awaits, d.Awaits, func(a, b Await) bool { return a.By == b.By && slices.Equal(a.Sites, b.Sites) })
}

// older goes on after numbers of this life that others know of and this store does not: it was put back from a copy.
func (s *Site) older(f *[]Effect) {
	for lane := range s.number {
		if o := s.origin(lane); s.seen[o] > s.number[lane] {
			s.number[lane], s.offered[lane] = s.seen[o], s.seen[o]
			*f = append(*f, Effect{Kind: EffectOld, ID: ID{o, s.seen[o]}})
		}
	}
}

func (s *Site) itemsOf(k key) []*item {
	if t := s.things[k]; t != nil {
		return t.items
	}
	return nil
}

func at(c Cursor, life uint64) uint64 {
	if c.Life == life {
		return c.At
	}
	return 0
}

// cut takes out of the log what the top has judged since, and reads the receipts of this site's writes off.
func (s *Site) cut(before vector, touched map[key]bool, from string, f *[]Effect) {
	var gone []*item
	for o := range s.log {
		gone = append(gone, s.log.cut(o, s.judged[o])...)
	}
	var mine []*Write
	for _, it := range inOrder(gone) {
		w := it.Write
		s.usage(w).add(w, -1)
		touched[key{w.Kind, w.Thing}] = true
		if s.mine(w.ID.Origin) && !before.has(w.ID) {
			mine = append(mine, w)
		}
	}
	s.tangled = s.tangled && len(s.log) > 0
	keys := make([]key, 0, len(touched))
	for k := range touched {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Thing, b.Thing)) })
	for _, k := range keys {
		s.prune(k)
	}
	for _, w := range mine {
		r := Receipt{w.ID, Applied, "", from}
		if x := s.refused[w.ID]; x != nil {
			r = x.Receipt
		} else {
			r.Outcome = s.fate(w)
		}
		if w.Thing != "" || w.Into > 0 { // what was given up has had its receipt
			*f = append(*f, Effect{Kind: EffectReceipt, ID: w.ID, Receipt: r})
		}
	}
}
