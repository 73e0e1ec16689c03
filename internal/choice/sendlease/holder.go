package sendlease

import (
	"cmp"
	"slices"
	"time"
)

// Saved is what stands in a node's store.
type Saved struct {
	Life     uint64    // of the store, set by the caller when it makes it, above those before; 0: there is none yet
	Horizons []Horizon // that the council may go by, ascending by version; 0 stands for none. Empty: never told anything
	Recorded uint64    // the newest that the council is known to have recorded
	Outs     []Out     // sorted by host
	Applied  uint64    // the log up to where they were told; may be older than the last answer where that changed nothing
}

// told says whether the council ever answered this store.
func (s *Saved) told() bool { return len(s.Horizons) > 0 }

// covers says whether the store holds every horizon that the council may go by: the one that it has recorded, and all
// since.
func (s *Saved) covers() bool { return s.told() && s.Horizons[0].Version <= s.Recorded }

// newest returns the newest version held.
func (s *Saved) newest() uint64 {
	if !s.told() {
		return 0
	}
	return s.Horizons[len(s.Horizons)-1].Version
}

// same says whether two stores withhold the same. Applied alone is no reason to write: a host that is out in the same
// round in two answers was out between them.
func (s *Saved) same(o *Saved) bool {
	return s.Life == o.Life && s.Recorded == o.Recorded && slices.Equal(s.Outs, o.Outs) &&
		slices.EqualFunc(s.Horizons, o.Horizons, func(a, b Horizon) bool {
			return a.Version == b.Version && slices.Equal(a.Hosts, b.Hosts)
		})
}

// clone returns a copy that shares nothing that is written to. The hosts of a horizon are never changed.
func (s *Saved) clone() Saved {
	c := *s
	c.Horizons, c.Outs = slices.Clone(s.Horizons), slices.Clone(s.Outs)
	return c
}

// asked is a question that may still bring a right.
type asked struct {
	seq uint64
	at  time.Duration
}

// Holder is the node's side of its right. It is not safe for concurrent use.
//
// News goes three ways at three paces: to the loop at once, into the store, and from both of them back to the council.
// Holder keeps what is durable and what is known apart. The loop goes by what is known: it names all that the council
// may go by, and what it has dropped the council has dropped before. The right that came with news is taken, and the
// news confirmed, once it is durable.
type Holder struct {
	terms   Terms
	node    string
	durable Saved // what stands in the store
	known   Saved // what the last answer said
	written Saved // what Saved returned last, on its way into the store

	seq      uint64  // of the last question
	answered uint64  // of the last answer taken
	open     []asked // ascending

	until      time.Duration // end of the right taken
	due        time.Duration // end of the right that the last answer brings, once what is known is durable
	writtenDue time.Duration // the same for what is written

	confirmed []Out  // nothing new goes to these at the loop
	inEffect  uint64 // the newest horizon that the loop goes by when the right has run out
}

// NewHolder returns a node's side that knows what its store holds and has no right. Where the store is empty the caller
// sets a life, makes it durable and hands in no more than that.
func NewHolder(terms Terms, node string, saved Saved) *Holder {
	h := &Holder{terms: terms, node: node, durable: saved.clone()}
	h.known, h.written = saved.clone(), saved.clone()
	return h
}

// Ask returns the next question, and notes that it is sent now: a right that comes of it counts from here.
func (h *Holder) Ask(now time.Duration) Question {
	h.seq++
	for len(h.open) > 0 && h.open[0].at+h.terms.Lasts <= now {
		h.open = h.open[1:]
	}
	h.open = append(h.open, asked{h.seq, now})
	return h.says()
}

// Tells says whether a question would acknowledge a newer horizon than one before, or confirm what that did not.
func (h *Holder) Tells(before Question) bool {
	q := h.says()
	return q.Acked > before.Acked || slices.ContainsFunc(q.Holds, func(o Out) bool { return !slices.Contains(before.Holds, o) })
}

// says is what a question tells now.
func (h *Holder) says() Question {
	q := Question{Node: h.node, Life: h.durable.Life, Seq: h.seq, Acked: min(h.durable.newest(), h.inEffect)}
	for _, o := range h.confirmed {
		if slices.Contains(h.durable.Outs, o) && slices.Contains(h.known.Outs, o) {
			q.Holds = append(q.Holds, o)
		}
	}
	return q
}

// Answer takes an answer in, unless a newer question was answered already or it tells of an older log. save: Saved is to
// be made durable, then Stored called, before anything else follows. changed: Verdict differs, and the loop is to have
// it, before Stored too. An answer that comes after its own right has run out is news like any other.
func (h *Holder) Answer(now time.Duration, a Answer) (save, changed bool) {
	if a.Seq <= h.answered || a.Seq > h.seq || a.Applied < h.known.Applied {
		return false, false
	}
	before := h.Verdict()
	h.answered = a.Seq
	for len(h.open) > 0 && h.open[0].seq <= a.Seq {
		if h.open[0].seq == a.Seq {
			h.due = h.open[0].at + h.terms.Lasts
		}
		h.open = h.open[1:]
	}
	h.known.take(&a)
	if save = !h.known.same(&h.durable); !save {
		h.until = h.due
	}
	return save, !h.Verdict().equal(before)
}

// take makes the news of an answer what is known. A horizon goes only once a newer one is recorded: until then the
// council may go by either.
func (s *Saved) take(a *Answer) {
	s.Applied = a.Applied
	s.Outs = slices.Clone(a.Outs)
	slices.SortFunc(s.Outs, func(x, y Out) int { return cmp.Compare(x.Host, y.Host) })
	if !s.told() || a.Horizon.Version > s.newest() {
		hosts := slices.Clone(a.Horizon.Hosts)
		slices.Sort(hosts)
		s.Horizons = append(slices.Clone(s.Horizons), Horizon{a.Horizon.Version, hosts})
	}
	s.Recorded = max(s.Recorded, a.Recorded)
	s.Horizons = slices.DeleteFunc(slices.Clone(s.Horizons), func(z Horizon) bool {
		return z.Version < s.Recorded
	})
}

// Saved returns what is to stand in the store.
func (h *Holder) Saved() Saved {
	h.written, h.writtenDue = h.known.clone(), h.due
	return h.known.clone()
}

// Stored says that what Saved returned last is durable: it may be acknowledged in the next question, and the right that
// came with it is taken.
func (h *Holder) Stored() {
	h.durable = h.written.clone()
	h.until = max(h.until, h.writtenDue)
}

// Confirmed says that at the loop nothing new goes to these hosts, whole: the Outs of a verdict that it has taken. The
// council is told of those that stand in the store and are still out in that round.
func (h *Holder) Confirmed(holds []Out) { h.confirmed = slices.Clone(holds) }

// InEffect says that the loop goes by a verdict, and by none before it any more: Confirmed, and besides that its
// horizons, which the council is not told of sooner. A loop that is late would do without those of an older verdict
// once that one's right has run out.
func (h *Holder) InEffect(v Verdict) {
	h.Confirmed(v.Outs)
	h.inEffect = v.Horizon
}

// Verdict returns what the loop is to go by, whole.
func (h *Holder) Verdict() Verdict {
	v := Verdict{Outs: slices.Clone(h.known.Outs), Until: h.until, All: !h.known.covers(), Horizon: h.known.newest()}
	for _, z := range h.known.Horizons {
		v.Lapsed = append(v.Lapsed, z.Hosts...)
	}
	slices.Sort(v.Lapsed)
	v.Lapsed = slices.Compact(v.Lapsed)
	return v
}

// Verdict is what the node's loop goes by: never a change, always whole.
type Verdict struct {
	Outs    []Out         // withheld, sorted by host
	Until   time.Duration // the right's end, by the node's own clock
	Lapsed  []string      // hosts withheld too once it has passed, sorted
	All     bool          // every host is withheld once it has passed
	Horizon uint64        // the newest that is among Lapsed; see Holder.InEffect
}

// Withholds says whether nothing new may be sent to a host, at a time of the node's own clock.
func (v Verdict) Withholds(host string, now time.Duration) bool {
	if has(v.Outs, host) {
		return true
	}
	if now < v.Until {
		return false
	}
	_, found := slices.BinarySearch(v.Lapsed, host)
	return v.All || found
}

func (v Verdict) equal(o Verdict) bool {
	return v.Until == o.Until && v.All == o.All && v.Horizon == o.Horizon && slices.Equal(v.Outs, o.Outs) &&
		slices.Equal(v.Lapsed, o.Lapsed)
}

// has says whether a host is among sorted outs.
func has(outs []Out, host string) bool {
	_, found := slices.BinarySearchFunc(outs, host, func(o Out, h string) int { return cmp.Compare(o.Host, h) })
	return found
}
