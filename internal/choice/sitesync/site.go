package sitesync

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// subjectKey identifies a subject: its name within a kind. Writes with the same key are resolved against each other.
type subjectKey struct {
	Kind    Kind
	Subject string
}

// item is a write with its position in the order in which this site applied it. Items are immutable.
type item struct {
	Seq   uint64 `json:"seq"`
	Write *Write `json:"write"`
}

// subject holds the writes on one subject that may still count, in the order of application.
type subject struct {
	items   []*item
	changed uint64 // sequence number of the last change
}

// change is an entry in the list of changed subjects. It is stale if the subject has changed since.
type change struct {
	at  uint64
	key subjectKey
}

// refusal is a write that the root site did not accept.
type refusal struct {
	At      uint64  `json:"at"` // sequence number of the refusal at this site
	Receipt Receipt `json:"receipt"`
}

// incarnation identifies one incarnation of a site, with the origins of all its lanes.
type incarnation struct {
	Site        string `json:"site"`
	Incarnation uint64 `json:"life"`
}

func incarnationOf(o Origin) incarnation { return incarnation{o.Site, o.Incarnation} }

// laneOrigin returns the origin of one lane of the incarnation.
func (inc incarnation) laneOrigin(lane int) Origin {
	return Origin{Site: inc.Site, Incarnation: inc.Incarnation, Urgent: lane == 1, Evidence: lane == 2}
}

// latestIncarnation is the latest known incarnation of a site.
type latestIncarnation struct {
	Incarnation  uint64        `json:"life"`
	StoreCreated time.Duration `json:"born"`
}

// closing is an incarnation that has ended with its store. It is closed, together with the gaps in its numbers, once
// every site that calls here has called again without showing more of it.
type closing struct {
	Since time.Duration `json:"since"`
	Waits []string      `json:"waits"` // sites that have yet to call; sorted
}

// Cursor is a position up to which the state of another site is known.
type Cursor struct {
	Incarnation uint64 `json:"life"`
	At          uint64 `json:"at"` // sequence number in that site's order of changes
}

// heldWrite is a write that arrived before its dependencies.
type heldWrite struct {
	Since time.Duration `json:"since"`
	Write *Write        `json:"write"`
}

// Site is the replicated state of a site's writes.
type Site struct {
	self         Place
	limits       Limits
	merge        Merge
	retain       func([]byte) []byte // the part of judged evidence that the root site keeps; nil: all of it
	now          time.Duration
	seq          uint64
	number       [lanes]uint64 // number of the last own write, by lane
	offered      [lanes]uint64
	named        [lanes]vector // dependencies that the own writes of a lane have named so far
	known        vector        // writes seen here or named by tokens; without evidence
	seen         vector
	judged       vector
	refused      map[ID]*refusal
	refusalLog   []*refusal // in order of sequence numbers
	log          pendingLog
	outOfOrder   bool // a write in log may precede one that it depends on: a token named a write that arrived later
	subjects     map[subjectKey]*subject
	changes      []change
	held         []heldWrite
	incarnations map[string]latestIncarnation
	callers      map[string]bool
	ending       map[incarnation]*closing
	closed       map[incarnation]bool
	cursors      map[string]Cursor
	awaits       []AwaitedCalls // reported by a site above; replaced as a whole
	own          usage          // by writes of this site in log
	others       usage
}

// pendingLog holds the writes that are not judged yet: for each origin in order of their numbers, which is also the
// order of their sequence numbers.
type pendingLog map[Origin][]*item

// countUpTo returns how many writes of an origin have numbers up to n.
func (l pendingLog) countUpTo(o Origin, n uint64) int {
	i, found := slices.BinarySearchFunc(l[o], n, func(it *item, n uint64) int { return cmp.Compare(it.Write.ID.Number, n) })
	if found {
		i++
	}
	return i
}

func (l pendingLog) add(it *item) {
	o := it.Write.ID.Origin
	l[o] = slices.Insert(l[o], l.countUpTo(o, it.Write.ID.Number), it)
}

// removeUpTo removes and returns an origin's writes up to a number.
func (l pendingLog) removeUpTo(o Origin, n uint64) []*item {
	q, i := l[o], l.countUpTo(o, n)
	if l[o] = q[i:]; i == len(q) {
		delete(l, o)
	}
	removed := slices.Clone(q[:i])
	clear(q[:i]) // lets the garbage collector free them before the rest
	return removed
}

// inOrder sorts items by sequence number.
func inOrder(list []*item) []*item {
	slices.SortFunc(list, func(a, b *item) int { return cmp.Compare(a.Seq, b.Seq) })
	return list
}

type usage struct{ number, bytes int }

func (u *usage) add(w *Write, n int) {
	u.number += n
	u.bytes += n * w.size()
}

// size returns the approximate number of bytes that a write takes in the store.
func (w *Write) size() int {
	n := 96 + len(w.Subject) + len(w.Value) + len(w.By) + len(w.ID.Origin.Site)
	for _, v := range [2]VersionVector{w.Dependencies, w.Overwrites} {
		for _, m := range v {
			n += 24 + len(m.Origin.Site)
		}
	}
	return n + 40*len(w.Needs)
}

// New returns an empty state. Evidence is merged by MergeSketches unless WithMerge sets another function.
func New(self Place, limits Limits) *Site {
	return &Site{self: self, limits: limits, merge: MergeSketches, named: [lanes]vector{{}, {}, {}}, known: vector{}, seen: vector{},
		judged: vector{}, refused: map[ID]*refusal{}, subjects: map[subjectKey]*subject{}, incarnations: map[string]latestIncarnation{},
		log: pendingLog{}, callers: map[string]bool{}, ending: map[incarnation]*closing{}, closed: map[incarnation]bool{},
		cursors: map[string]Cursor{}}
}

// WithMerge sets how evidence is merged. It must be the same at all sites.
func (s *Site) WithMerge(m Merge) *Site {
	s.merge = m
	return s
}

// WithRetention sets which part of a piece of evidence the root site stores, of the newest that each origin wrote on a
// subject; the effect still has the whole piece. The result must itself be evidence, since it is merged with later
// pieces. It must be the same on all replicas.
func (s *Site) WithRetention(retain func([]byte) []byte) *Site {
	s.retain = retain
	return s
}

// Clone returns a copy that shares no mutable data.
func (s *Site) Clone() *Site {
	c := *s
	for lane := range s.named {
		c.named[lane] = maps.Clone(s.named[lane])
	}
	c.known, c.seen, c.judged = maps.Clone(s.known), maps.Clone(s.seen), maps.Clone(s.judged)
	c.refused, c.refusalLog = maps.Clone(s.refused), slices.Clone(s.refusalLog)
	c.changes, c.held = slices.Clone(s.changes), slices.Clone(s.held)
	c.log = make(pendingLog, len(s.log))
	for o, q := range s.log {
		c.log[o] = slices.Clone(q)
	}
	c.subjects = make(map[subjectKey]*subject, len(s.subjects))
	for k, t := range s.subjects {
		c.subjects[k] = &subject{slices.Clone(t.items), t.changed}
	}
	c.incarnations, c.callers, c.closed, c.cursors =
		maps.Clone(s.incarnations), maps.Clone(s.callers), maps.Clone(s.closed), maps.Clone(s.cursors)
	c.ending = make(map[incarnation]*closing, len(s.ending))
	for inc, e := range s.ending {
		c.ending[inc] = &closing{e.Since, slices.Clone(e.Waits)}
	}
	return &c
}

// Self returns the site's place.
func (s *Site) Self() Place { return s.self }

// isRoot reports whether this site judges writes.
func (s *Site) isRoot() bool { return len(s.self.Ancestors) == 0 }

// ownOrigin returns the origin of a lane of this site.
func (s *Site) ownOrigin(lane int) Origin {
	return incarnation{s.self.Site, s.self.Incarnation}.laneOrigin(lane)
}

// isOwn reports whether an origin is this site in this incarnation.
func (s *Site) isOwn(o Origin) bool {
	return o.Site == s.self.Site && o.Incarnation == s.self.Incarnation
}

// Seen returns the vector of the writes applied here.
func (s *Site) Seen() VersionVector { return s.seen.list() }

// Judged returns the vector of the writes that are known here to be judged by the root site.
func (s *Site) Judged() VersionVector { return s.judged.list() }

// Refusal returns the receipt of a write that was not accepted, if it is known here.
func (s *Site) Refusal(d ID) (Receipt, bool) {
	if r := s.refused[d]; r != nil {
		return r.Receipt, true
	}
	return Receipt{}, false
}

// Token returns the writes known to this site as a text that a person can take to another site.
func (s *Site) Token() string { return s.known.list().Encode() }

// Waiting returns how many writes of this site, and of others, wait to be judged by the root site.
func (s *Site) Waiting() (own, others int) { return s.own.number, s.others.number }

// Held returns how many writes wait for their dependencies.
func (s *Site) Held() int { return len(s.held) }

// Value returns the value of a subject at this site.
func (s *Site) Value(k Kind, name string) (Resolved, bool) {
	t := s.subjects[subjectKey{k, name}]
	if t == nil || name == "" {
		return Resolved{}, false
	}
	return Resolve(t.writes(), s.merge)
}

func (t *subject) writes() []*Write {
	list := make([]*Write, len(t.items))
	for i, it := range t.items {
		list[i] = it.Write
	}
	return list
}

// Subjects returns the sorted names of the subjects of a kind that have writes.
func (s *Site) Subjects(k Kind) []string {
	var names []string
	for at, t := range s.subjects {
		if at.Kind == k && at.Subject != "" && len(t.items) > 0 {
			names = append(names, at.Subject)
		}
	}
	slices.Sort(names)
	return names
}

// Check returns the reason for which a command would be refused, before it is proposed. Apply accepts what passes,
// unless the state has changed in between; Apply checks again.
func (s *Site) Check(c Command) error {
	switch {
	case c.Write != nil:
		return s.checkLocal(c.Write)
	case c.Batch != nil:
		return c.Batch.check()
	case c.Down != nil:
		return c.Down.check()
	case c.Place != nil && (c.Place.Site != s.self.Site || c.Place.Incarnation != s.self.Incarnation ||
		s.isRoot() != (len(c.Place.Ancestors) == 0)):
		return &WriteError{"place", "a site's name and incarnation cannot change, nor whether it is the root site"}
	case c.Limits != nil && (c.Limits.Number <= 0 || c.Limits.Bytes <= 0 || c.Limits.Batch <= 0):
		return &WriteError{"limits", "number, bytes and batch must be above 0"}
	}
	return nil
}

func (s *Site) checkLocal(local *LocalWrite) error {
	if err := checkValue(local.Kind, local.Subject, local.Value, local.Closes); err != nil {
		return err
	}
	switch {
	case local.Closes && !s.isRoot():
		return &WriteError{"closes", "a subject can only be closed at the root site"}
	case local.Urgent && local.Kind == Evidence:
		return &WriteError{"urgent", "evidence cannot be urgent"}
	case local.Kind == Evidence && !local.Closes:
		if _, err := s.merge(local.Value, local.Value); err != nil {
			return &WriteError{"value", "not mergeable evidence: " + err.Error()}
		}
	}
	if local.Token != "" {
		if _, err := ParseToken(local.Token); err != nil {
			return err
		}
	}
	for _, d := range local.Needs {
		if !s.seen.has(d) && !s.known.has(d) {
			return &WriteError{"needs", d.String() + " is not known here"}
		}
	}
	if closedBy := s.closingWrite(subjectKey{local.Kind, local.Subject}); closedBy != nil {
		return &ClosedError{local.Subject, closedBy.ID, string(closedBy.Value)}
	}
	if s.mergeable(local) != nil || s.isRoot() {
		return nil
	}
	room := Rules[local.Kind].QueuePercent
	full := &QueueFullError{local.Kind, s.own.number, s.own.bytes, s.limits.Number * room / 100, s.limits.Bytes * room / 100}
	if last := s.lastOwn(subjectKey{local.Kind, local.Subject}); last != nil && len(last.Write.Needs) == 0 && !s.judged.has(last.Write.ID) {
		full.Bytes -= last.Write.size() // it is emptied once the new one is offered
	}
	if full.Number >= full.MaxNumber || full.Bytes+len(local.Value)+len(local.Subject)+96 > full.MaxBytes {
		return full
	}
	return nil
}

// checkValue validates the content of a write from any source.
func checkValue(k Kind, name string, value []byte, closes bool) error {
	switch r := &Rules[min(k, kinds-1)]; {
	case k >= kinds:
		return &WriteError{"kind", "unknown kind"}
	case name == "" || len(name) > 256:
		return &WriteError{"thing", "must have 1 to 256 bytes"}
	case len(value) > 64<<10:
		return &WriteError{"value", "longer than 64 KiB"}
	case len(r.Words) > 0 && !closes && r.wordIndex(value) < 0:
		return &WriteError{"value", "must begin with one of the kind's words"}
	}
	return nil
}

// closingWrite returns the write that closed a subject, or nil.
func (s *Site) closingWrite(key subjectKey) *Write {
	if t := s.subjects[key]; t != nil {
		for _, it := range t.items {
			if it.Write.Closes {
				return it.Write
			}
		}
	}
	return nil
}

// mergeable returns this site's evidence on the same subject if it has not been offered yet.
func (s *Site) mergeable(local *LocalWrite) *item {
	if local.Kind != Evidence || local.Closes || len(local.Needs) > 0 || local.Token != "" || s.isRoot() {
		return nil
	}
	if it := s.lastOwn(subjectKey{Evidence, local.Subject}); it != nil && s.notOffered(it.Write.ID) {
		return it
	}
	return nil
}

// lastOwn returns this site's last evidence on a subject.
func (s *Site) lastOwn(key subjectKey) (last *item) {
	if t := s.subjects[key]; t != nil {
		for _, it := range t.items {
			if it.Write.ID.Origin == s.ownOrigin(2) && (last == nil || it.Write.ID.Number > last.Write.ID.Number) {
				last = it
			}
		}
	}
	return last
}

// Apply applies one command at the time that the leader stamped, and returns its effects in order.
func (s *Site) Apply(at time.Duration, c Command) (effects []Effect) {
	s.now = max(s.now, at)
	if err := s.Check(c); err != nil {
		if _, full := err.(*QueueFullError); !full || !s.dropExpired(&effects) || s.Check(c) != nil {
			return append(effects, Effect{Kind: EffectRefused, Err: err})
		}
	}
	switch {
	case c.Write != nil:
		s.write(c.Write, &effects)
	case c.Offer != nil:
		s.offer(c.Offer)
	case c.Batch != nil:
		s.applyBatch(c.Batch, &effects)
	case c.Down != nil:
		s.joinState(c.Down, &effects)
	case c.Place != nil:
		s.self.Level, s.self.Ancestors = c.Place.Level, slices.Clone(c.Place.Ancestors)
	case c.Limits != nil:
		s.limits = *c.Limits
	default:
		s.dropExpired(&effects)
		s.finishClosings(&effects)
		s.release(&effects)
	}
	return effects
}

// Unoffered returns the command that a leader commits before it sends this site's writes up, or shows them in an
// answer. It is nil if all of them may have left already.
func (s *Site) Unoffered() *Command {
	if s.isRoot() || s.offered == s.number {
		return nil
	}
	return &Command{Offer: &Offer{s.number[0], s.number[1], s.number[2]}}
}

// offer allows writes of this site to be sent.
func (s *Site) offer(o *Offer) {
	offeredBefore := s.offered
	for lane, n := range [lanes]uint64{o.Number, o.Urgent, o.Evidence} {
		s.offered[lane] = max(offeredBefore[lane], min(n, s.number[lane]))
	}
	var newlyOffered []*item
	for lane := range lanes {
		o := s.ownOrigin(lane)
		newlyOffered = append(newlyOffered, s.log[o][s.log.countUpTo(o, offeredBefore[lane]):]...)
	}
	for _, it := range inOrder(newlyOffered) {
		s.markChanged(subjectKey{it.Write.Kind, it.Write.Subject})
		s.emptyCovered(it.Write)
	}
}

// emptyCovered empties the waiting earlier evidence of the same origin on the same subject, which a newer piece covers,
// once that piece may be sent.
func (s *Site) emptyCovered(newer *Write) {
	if newer.Kind != Evidence || newer.Subject == "" || s.notOffered(newer.ID) {
		return
	}
	for _, it := range slices.Clone(s.subjects[subjectKey{newer.Kind, newer.Subject}].items) {
		w := it.Write
		if w.ID.Origin == newer.ID.Origin && w.ID.Number < newer.ID.Number && len(w.Needs) == 0 && !s.judged.has(w.ID) {
			s.replace(it, &item{it.Seq, emptied(w, newer.ID.Number)})
		}
	}
}

// emptied returns what remains of evidence that was dropped, or that a later piece of its origin covers.
func emptied(w *Write, into uint64) *Write {
	return &Write{ID: w.ID, Dependencies: w.Dependencies, Kind: Evidence, Level: w.Level, At: w.At, StoreCreated: w.StoreCreated,
		MergedInto: into}
}

// notOffered reports whether a write is one of this site's that may not be sent yet.
func (s *Site) notOffered(d ID) bool {
	return !s.isRoot() && s.isOwn(d.Origin) && d.Number > s.offered[d.Origin.lane()]
}

// write applies a write submitted at this site.
func (s *Site) write(local *LocalWrite, effects *[]Effect) {
	if it := s.mergeable(local); it != nil {
		w := *it.Write
		w.Value = merged(s.merge, w.Value, local.Value)
		s.replace(it, &item{it.Seq, &w})
		*effects = append(*effects, Effect{Kind: EffectMerged, Write: &w, ID: w.ID})
		return
	}
	lane := Origin{Urgent: local.Urgent, Evidence: local.Kind == Evidence}.lane()
	key := subjectKey{local.Kind, local.Subject}
	w := &Write{ID: ID{s.ownOrigin(lane), s.number[lane] + 1}, Kind: local.Kind, Level: s.self.Level, Subject: local.Subject,
		Value: local.Value, At: s.now, By: local.By, Closes: local.Closes, Needs: append([]ID(nil), local.Needs...)}
	if w.ID.Number == 1 {
		w.StoreCreated = s.self.StoreCreated
	}
	over, after := vector{}, vector{}
	if local.Token != "" {
		token, _ := ParseToken(local.Token) // checked
		after.join(token)
		if local.Kind != Evidence { // the named writes rank behind this one when they arrive; other writes at this site have not seen them
			over.join(s.notYetApplied(token))
		}
		s.known.join(token)
	}
	if local.Kind == Evidence {
		if last := s.lastOwn(key); last != nil && !local.Closes {
			w.Value = merged(s.merge, last.Write.Value, local.Value)
		}
	} else if t := s.subjects[key]; t != nil {
		for _, it := range t.items {
			over.raise(it.Write.ID.Origin, it.Write.ID.Number)
			over.join(s.notYetApplied(it.Write.Overwrites))
		}
	}
	for _, d := range local.Needs {
		after.raise(d.Origin, d.Number)
	}
	after.join(over.list())
	if lane == 0 {
		after.join(s.known.list())
	}
	delete(after, w.ID.Origin)
	delete(over, w.ID.Origin)
	w.Dependencies, w.Overwrites = after.beyond(s.named[lane]), over.list()
	s.named[lane].join(w.Dependencies)
	s.number[lane]++
	s.outOfOrder = s.outOfOrder || len(s.notYetApplied(w.Dependencies)) > 0
	s.apply(w, false, effects)
}

// notYetApplied returns the entries of a vector that were named here and have not arrived.
func (s *Site) notYetApplied(v VersionVector) (missing VersionVector) {
	for _, m := range v {
		if m.Number > s.seen[m.Origin] && !s.isOwn(m.Origin) {
			missing = append(missing, m)
		}
	}
	return missing
}

// replace puts an item in the position of another one of the same write.
func (s *Site) replace(old, replacement *item) {
	o := old.Write.ID.Origin
	if i := s.log.countUpTo(o, old.Write.ID.Number); i > 0 && s.log[o][i-1] == old {
		s.log[o][i-1] = replacement
	}
	s.usage(replacement.Write).add(old.Write, -1)
	s.usage(replacement.Write).add(replacement.Write, 1)
	k := subjectKey{old.Write.Kind, old.Write.Subject}
	t := s.subjects[k]
	i := slices.Index(t.items, old)
	if replacement.Write.Subject == old.Write.Subject {
		t.items[i] = replacement
	} else {
		t.items = slices.Delete(t.items, i, i+1)
		s.place(replacement)
	}
	s.markChanged(k)
}

func (s *Site) usage(w *Write) *usage {
	if s.isOwn(w.ID.Origin) {
		return &s.own
	}
	return &s.others
}

// place inserts an item into its subject.
func (s *Site) place(it *item) {
	k := subjectKey{it.Write.Kind, it.Write.Subject}
	t := s.subjects[k]
	if t == nil {
		t = &subject{}
		s.subjects[k] = t
	}
	i, _ := slices.BinarySearchFunc(t.items, it.Seq, func(it *item, seq uint64) int { return cmp.Compare(it.Seq, seq) })
	t.items = slices.Insert(t.items, i, it)
	s.markChanged(k)
}

// markChanged records that a subject has changed.
func (s *Site) markChanged(key subjectKey) {
	s.seq++
	s.subjects[key].changed = s.seq
	if key.Kind == Evidence {
		return // evidence does not come down
	}
	s.changes = append(s.changes, change{s.seq, key})
	if len(s.changes) > 64 && len(s.changes) > 2*len(s.subjects) {
		s.changes = slices.DeleteFunc(s.changes, func(c change) bool { return s.subjects[c.key].changed != c.at })
	}
}

// apply applies the next write of its origin; lacking means that some of its dependencies will never arrive.
func (s *Site) apply(w *Write, lacking bool, effects *[]Effect) {
	o := w.ID.Origin
	s.seen.raise(o, w.ID.Number)
	if !o.Evidence {
		s.known.raise(o, w.ID.Number)
	}
	if s.isOwn(o) {
		s.skipUsedNumbers(effects)
	}
	if w.StoreCreated > 0 {
		s.noteIncarnation(incarnation{o.Site, o.Incarnation}, w.StoreCreated, effects)
	}
	s.seq++
	it := &item{s.seq, w}
	if !s.isRoot() {
		s.log.add(it)
		s.usage(w).add(w, 1)
		s.place(it)
		s.emptyCovered(w)
		*effects = append(*effects, Effect{Kind: EffectApplied, Write: w, ID: w.ID})
		return
	}
	outcome, why := s.judge(w, lacking)
	s.judged.raise(o, w.ID.Number)
	r := Receipt{w.ID, outcome, why, s.self.Site}
	if outcome != Applied {
		s.refuse(r)
	} else {
		if s.retain != nil && w.Kind == Evidence && w.Subject != "" && !w.Closes {
			kept := *w
			kept.Value = s.retain(w.Value)
			it = &item{it.Seq, &kept}
		}
		s.place(it)
		s.prune(subjectKey{w.Kind, w.Subject})
		*effects = append(*effects, Effect{Kind: EffectApplied, Write: w, ID: w.ID})
		r.Outcome = s.appliedOutcome(w)
	}
	if s.isOwn(o) {
		*effects = append(*effects, Effect{Kind: EffectReceipt, ID: w.ID, Receipt: r})
	}
}

// judge decides on a write at the root site.
func (s *Site) judge(w *Write, lacking bool) (Outcome, string) {
	if w.Subject == "" {
		return Applied, ""
	}
	if closedBy := s.closingWrite(subjectKey{w.Kind, w.Subject}); closedBy != nil {
		return Refused, "closed by " + closedBy.ID.String() + ": " + string(closedBy.Value)
	}
	if !cascades(w) {
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

// appliedOutcome returns Superseded for an accepted write that a concurrent one takes precedence over, else Applied.
func (s *Site) appliedOutcome(w *Write) Outcome {
	if w.Subject == "" || Rules[w.Kind].Coexist {
		return Applied
	}
	v, ok := s.Value(w.Kind, w.Subject)
	if ok && slices.ContainsFunc(v.Concurrent, func(b Write) bool { return b.ID == w.ID }) {
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
	s.refusalLog = append(s.refusalLog, x)
}

// prune drops writes on a subject that no longer count: refused ones, those overwritten by an accepted one, and
// evidence that is held elsewhere. Only judged writes are dropped, so that none comes back.
func (s *Site) prune(key subjectKey) {
	t := s.subjects[key]
	if t == nil {
		return
	}
	items := t.items
	obsolete := func(it *item) bool {
		if !s.judged.has(it.Write.ID) {
			return false
		}
		w := it.Write
		if s.refused[w.ID] != nil || w.Subject == "" || w.Kind == Evidence && !s.isRoot() && !s.isOwn(w.ID.Origin) {
			return true
		}
		return slices.ContainsFunc(items, func(by *item) bool {
			return overwrites(by.Write, it.Write) && s.judged.has(by.Write.ID) && s.refused[by.Write.ID] == nil
		})
	}
	var rest []*item
	for _, it := range items {
		if !obsolete(it) {
			rest = append(rest, it)
		}
	}
	if len(rest) < len(items) {
		t.items = rest
		s.markChanged(key)
	}
}

// applyBatch applies the call of a site below.
func (s *Site) applyBatch(b *Batch, effects *[]Effect) {
	if b.Probe { // a probe carries no vectors, so their absence shows nothing
		return
	}
	s.noteIncarnation(incarnation{b.From.Site, b.From.Incarnation}, b.From.StoreCreated, effects)
	for _, h := range b.Incarnations {
		s.noteIncarnation(incarnation{h.Site, h.Incarnation}, h.StoreCreated, effects)
	}
	s.callers[b.From.Site] = true
	for inc, e := range s.ending {
		if i, waits := slices.BinarySearch(e.Waits, b.From.Site); waits && s.showsNothingNew(b, inc) {
			e.Waits = slices.Delete(e.Waits, i, i+1)
		}
	}
	for i := range b.Writes {
		one := b.Writes[i] // a copy, so that the memory of the call is not retained
		w := &one
		switch ready, lacking := s.ready(w); {
		case s.seen.has(w.ID):
		case !s.hasRoom(w):
		case ready:
			s.apply(w, lacking, effects)
		default:
			s.hold(w, effects)
		}
	}
	s.finishClosings(effects)
	s.release(effects)
}

// HasNews reports whether a call must be committed even if it brings no writes: it names an incarnation that is not known
// here, or an ended incarnation waits for this call to be closed.
func (s *Site) HasNews(b *Batch) bool {
	for _, h := range b.Incarnations {
		if inc := (incarnation{h.Site, h.Incarnation}); s.incarnations[h.Site].Incarnation != h.Incarnation &&
			s.ending[inc] == nil && !s.closed[inc] {
			return true
		}
	}
	for inc, e := range s.ending {
		if _, waits := slices.BinarySearch(e.Waits, b.From.Site); waits && s.showsNothingNew(b, inc) {
			return true
		}
	}
	return false
}

// awaitedBy reports whether the given site above waits for a call of this site.
func (s *Site) awaitedBy(by string) bool {
	return slices.ContainsFunc(s.awaits, func(a AwaitedCalls) bool { return a.By == by && slices.Contains(a.Sites, s.self.Site) })
}

// showsNothingNew reports whether a call shows no writes of an incarnation beyond those known here.
func (s *Site) showsNothingNew(b *Batch, inc incarnation) bool {
	for lane := range lanes {
		o := inc.laneOrigin(lane)
		if b.Seen.Highest(o) > s.seen[o] {
			return false
		}
	}
	return true
}

// hasRoom reports whether a write of another site fits into the queue. Evidence leaves room for the other kinds.
func (s *Site) hasRoom(w *Write) bool {
	percent := relayedPercent
	if w.Kind == Evidence {
		percent = percent * Rules[Evidence].QueuePercent / 100
	}
	return s.isRoot() || s.others.number < s.limits.Number*percent/100 && s.others.bytes+w.size() <= s.limits.Bytes*percent/100
}

// Room returns how many more writes of other sites fit into the queue.
func (s *Site) Room() int {
	if s.isRoot() {
		return 1 << 30
	}
	return max(0, s.limits.Number*relayedPercent/100-s.others.number)
}

// ready reports whether all dependencies of a write have been applied or will never arrive; lacking reports the latter
// for some of them.
func (s *Site) ready(w *Write) (ready, lacking bool) {
	if w.ID.Number != s.seen[w.ID.Origin]+1 {
		return false, false
	}
	for _, m := range w.Dependencies {
		if m.Number <= s.seen[m.Origin] {
			continue
		}
		if !s.closed[incarnationOf(m.Origin)] {
			return false, false
		}
		lacking = true
	}
	return true, lacking
}

// hold keeps a write that arrived too early, if there is room; the sender has it in any case. Of an origin's evidence,
// which is large, only the next piece is kept.
func (s *Site) hold(w *Write, effects *[]Effect) {
	if w.Kind == Evidence && w.ID.Number != s.seen[w.ID.Origin]+1 {
		return
	}
	if len(s.held) >= s.limits.Held || slices.ContainsFunc(s.held, func(h heldWrite) bool { return h.Write.ID == w.ID }) {
		return
	}
	s.held = append(s.held, heldWrite{s.now, w})
	*effects = append(*effects, Effect{Kind: EffectHeld, ID: w.ID})
}

// release applies held writes that are ready now. It drops those that were applied already, have waited too long, or follow a
// gap of a closed incarnation.
func (s *Site) release(effects *[]Effect) {
	for again := true; again; {
		again = false
		for i := 0; i < len(s.held); i++ {
			h := s.held[i]
			ready, lacking := s.ready(h.Write)
			if ready && !s.hasRoom(h.Write) {
				continue
			}
			expired := s.limits.Age > 0 && s.now-h.Since > s.limits.Age
			gap := s.closed[incarnationOf(h.Write.ID.Origin)] && !ready
			if !ready && !expired && !gap && !s.seen.has(h.Write.ID) {
				continue
			}
			s.held = slices.Delete(s.held, i, i+1)
			i--
			if ready {
				s.apply(h.Write, lacking, effects)
				again = true
			}
		}
	}
}

// noteIncarnation records an incarnation of a site, and begins to close the one before it.
func (s *Site) noteIncarnation(inc incarnation, storeCreated time.Duration, effects *[]Effect) {
	latest, known := s.incarnations[inc.Site]
	switch {
	case known && latest.Incarnation == inc.Incarnation:
		return
	case known && cmp.Or(cmp.Compare(storeCreated, latest.StoreCreated), cmp.Compare(inc.Incarnation, latest.Incarnation)) < 0:
		s.startClosing(inc, effects)
		return
	}
	s.incarnations[inc.Site] = latestIncarnation{inc.Incarnation, storeCreated}
	delete(s.ending, inc)
	delete(s.closed, inc)
	if known {
		s.startClosing(incarnation{inc.Site, latest.Incarnation}, effects)
	}
}

// startClosing begins to close an incarnation that ended with its store.
func (s *Site) startClosing(inc incarnation, effects *[]Effect) {
	if s.ending[inc] != nil || s.closed[inc] || inc.Site == s.self.Site && inc.Incarnation == s.self.Incarnation {
		return
	}
	entry := &closing{Since: s.now}
	for site := range s.callers {
		if site != inc.Site {
			entry.Waits = append(entry.Waits, site)
		}
	}
	slices.Sort(entry.Waits)
	s.ending[inc] = entry
	o := Origin{Site: inc.Site, Incarnation: inc.Incarnation}
	*effects = append(*effects, Effect{Kind: EffectIncarnationEnded, ID: ID{o, s.seen[o]}})
}

// closeIfNeverSeen begins to close the incarnation of a vector entry if none of its writes came and its site has a
// later one. An earlier incarnation may be all that is known here: then the site has yet to call.
func (s *Site) closeIfNeverSeen(entry VectorEntry, effects *[]Effect) {
	inc := incarnationOf(entry.Origin)
	latest, known := s.incarnations[inc.Site]
	if !known || inc.Incarnation >= latest.Incarnation || entry.Number <= s.seen[entry.Origin] || s.ending[inc] != nil || s.closed[inc] {
		return
	}
	s.startClosing(inc, effects)
	if e := s.ending[inc]; e != nil && s.callers[inc.Site] {
		i, _ := slices.BinarySearch(e.Waits, inc.Site)
		e.Waits = slices.Insert(e.Waits, i, inc.Site)
	}
}

// finishClosings closes incarnations from which nothing more can arrive.
func (s *Site) finishClosings(effects *[]Effect) {
	if !s.isRoot() {
		return
	}
	for _, h := range s.held { // may name an incarnation that was never seen, of a site that has a later one
		s.closeIfNeverSeen(VectorEntry{h.Write.ID.Origin, h.Write.ID.Number}, effects)
		for _, m := range h.Write.Dependencies {
			s.closeIfNeverSeen(m, effects)
		}
	}
	for inc, entry := range s.ending { // the iteration order has no effect: each is decided by itself
		if len(entry.Waits) == 0 || s.limits.Age > 0 && s.now-entry.Since > s.limits.Age {
			delete(s.ending, inc)
			s.closed[inc] = true
		}
	}
}

// dropExpired drops evidence that is too old and has not been offered, and reports whether there was any.
func (s *Site) dropExpired(effects *[]Effect) (dropped bool) {
	if s.limits.Age <= 0 {
		return false
	}
	for _, it := range slices.Clone(s.log[s.ownOrigin(2)]) {
		w := it.Write
		if w.Subject == "" || !s.notOffered(w.ID) || s.now-w.At <= s.limits.Age {
			continue
		}
		s.replace(it, &item{it.Seq, emptied(w, 0)})
		*effects = append(*effects, Effect{Kind: EffectReceipt, ID: w.ID,
			Receipt: Receipt{w.ID, Refused, "the evidence is older than " + s.limits.Age.String(), s.self.Site}})
		dropped = true
	}
	return dropped
}

// joinState joins the state of a site above into this one.
func (s *Site) joinState(update *StateUpdate, effects *[]Effect) {
	cursor := s.cursors[update.From]
	if update.To != s.self.Incarnation {
		return // meant for an earlier incarnation, which ended with its store
	}
	if update.Last && update.After > 0 && (cursor.Incarnation != update.Incarnation || cursor.At < update.After) {
		return // continues from a state that is not known here
	}
	counting := map[subjectKey][]ID{}
	for _, t := range update.Subjects {
		counting[subjectKey{t.Kind, t.Subject}] = t.IDs
	}
	judgedBefore := maps.Clone(s.judged)
	for _, r := range update.Refused {
		s.refuse(r)
	}
	touched := map[subjectKey]bool{}
	if update.Last {
		covers := vector{}
		covers.join(update.Seen)
		for _, h := range update.Subjects {
			k := subjectKey{h.Kind, h.Subject}
			if t := s.subjects[k]; t != nil {
				n := len(t.items)
				t.items = slices.DeleteFunc(slices.Clone(t.items), func(it *item) bool {
					return covers.has(it.Write.ID) && !slices.Contains(counting[k], it.Write.ID)
				})
				if len(t.items) < n {
					s.markChanged(k)
				}
			}
		}
		judged := vector{}
		judged.join(update.Judged)
		writes := slices.Clone(update.Writes)
		slices.SortFunc(writes, func(a, b SequencedWrite) int { return cmp.Compare(a.Seq, b.Seq) })
		for i := range writes {
			w := &writes[i].Write
			k := subjectKey{w.Kind, w.Subject}
			if s.seen.has(w.ID) || !slices.Contains(counting[k], w.ID) ||
				slices.ContainsFunc(s.itemsOf(k), func(it *item) bool { return it.Write.ID == w.ID }) {
				continue
			}
			s.seq++
			it := &item{s.seq, w}
			s.place(it)
			touched[k] = true
			if !judged.has(w.ID) {
				s.outOfOrder = s.outOfOrder || update.OutOfOrder
				s.log.add(it)
				s.usage(w).add(w, 1)
			}
			*effects = append(*effects, Effect{Kind: EffectApplied, Write: w, ID: w.ID})
		}
		s.seen.join(update.Seen)
		s.known.join(update.Seen)
		s.cursors[update.From] = Cursor{update.Incarnation, max(update.Until, cursorPosition(cursor, update.Incarnation))}
		s.awaits = update.Awaits
	}
	for _, h := range update.Closed {
		inc := incarnation{h.Site, h.Incarnation}
		s.closed[inc] = true
		delete(s.ending, inc)
	}
	s.judged.join(update.Judged)
	for _, m := range update.Judged { // judged evidence need not be held here or passed on
		if m.Origin.Evidence {
			s.seen.raise(m.Origin, m.Number)
		}
	}
	s.skipUsedNumbers(effects)
	s.removeJudged(judgedBefore, touched, update.From, effects)
	s.release(effects)
}

// wouldChange reports whether joinState would change more than the cursor. If not, the same comes again from the older
// cursor.
func (s *Site) wouldChange(update *StateUpdate) bool {
	switch {
	case update.To != s.self.Incarnation:
		return false
	case len(update.Subjects)+len(update.Writes)+len(update.Refused) > 0,
		!s.seen.covers(update.Seen), !s.known.covers(update.Seen), !s.judged.covers(update.Judged):
		return true
	}
	return slices.ContainsFunc(update.Closed, func(h SiteIncarnation) bool { return !s.closed[incarnation{h.Site, h.Incarnation}] }) ||
		!slices.EqualFunc(s.awaits, update.Awaits, func(a, b AwaitedCalls) bool { return a.By == b.By && slices.Equal(a.Sites, b.Sites) })
}

// skipUsedNumbers continues after those numbers of this incarnation that others know and this store does not: the store
// was restored from a copy.
func (s *Site) skipUsedNumbers(effects *[]Effect) {
	for lane := range s.number {
		if o := s.ownOrigin(lane); s.seen[o] > s.number[lane] {
			s.number[lane], s.offered[lane] = s.seen[o], s.seen[o]
			*effects = append(*effects, Effect{Kind: EffectStaleStore, ID: ID{o, s.seen[o]}})
		}
	}
}

func (s *Site) itemsOf(key subjectKey) []*item {
	if t := s.subjects[key]; t != nil {
		return t.items
	}
	return nil
}

func cursorPosition(c Cursor, inc uint64) uint64 {
	if c.Incarnation == inc {
		return c.At
	}
	return 0
}

// removeJudged removes from the log the writes that were judged since, and issues the receipts of this site's writes.
func (s *Site) removeJudged(judgedBefore vector, touched map[subjectKey]bool, from string, effects *[]Effect) {
	var removed []*item
	for o := range s.log {
		removed = append(removed, s.log.removeUpTo(o, s.judged[o])...)
	}
	var own []*Write
	for _, it := range inOrder(removed) {
		w := it.Write
		s.usage(w).add(w, -1)
		touched[subjectKey{w.Kind, w.Subject}] = true
		if s.isOwn(w.ID.Origin) && !judgedBefore.has(w.ID) {
			own = append(own, w)
		}
	}
	s.outOfOrder = s.outOfOrder && len(s.log) > 0
	keys := make([]subjectKey, 0, len(touched))
	for k := range touched {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b subjectKey) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	for _, k := range keys {
		s.prune(k)
	}
	for _, w := range own {
		r := Receipt{w.ID, Applied, "", from}
		if x := s.refused[w.ID]; x != nil {
			r = x.Receipt
		} else {
			r.Outcome = s.appliedOutcome(w)
		}
		if w.Subject != "" || w.MergedInto > 0 { // dropped evidence has had its receipt
			*effects = append(*effects, Effect{Kind: EffectReceipt, ID: w.ID, Receipt: r})
		}
	}
}
