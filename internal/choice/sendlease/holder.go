package sendlease

import (
	"cmp"
	"slices"
	"time"
)

// Saved is what a node's store holds.
type Saved struct {
	Incarnation   uint64         `json:"Life"`     // set by the caller when it creates the store, higher than earlier ones; 0: no store yet
	ExclusionSets []ExclusionSet `json:"Horizons"` // that the Raft group may rely on, by version; 0: none. Empty: never had a response
	Recorded      uint64         // the newest version that the Raft group is known to have recorded
	ExcludedHosts []ExcludedHost `json:"Outs"` // sorted by host
	Applied       uint64         // log index of the response; may be lower than that of the last response if that one changed nothing
}

// hasResponse reports whether this store ever held a response of the Raft group.
func (s *Saved) hasResponse() bool { return len(s.ExclusionSets) > 0 }

// coversRecorded reports whether the store holds every exclusion set that the Raft group may rely on: the recorded one and all
// later ones.
func (s *Saved) coversRecorded() bool {
	return s.hasResponse() && s.ExclusionSets[0].Version <= s.Recorded
}

// newest returns the newest version held.
func (s *Saved) newest() uint64 {
	if !s.hasResponse() {
		return 0
	}
	return s.ExclusionSets[len(s.ExclusionSets)-1].Version
}

// equal reports whether two stores hold the same, apart from Applied. A change of Applied alone needs no write: a host that is
// excluded in the same round in two responses was excluded in between.
func (s *Saved) equal(o *Saved) bool {
	return s.Incarnation == o.Incarnation && s.Recorded == o.Recorded && slices.Equal(s.ExcludedHosts, o.ExcludedHosts) &&
		slices.EqualFunc(s.ExclusionSets, o.ExclusionSets, func(a, b ExclusionSet) bool {
			return a.Version == b.Version && slices.Equal(a.Hosts, b.Hosts)
		})
}

// clone returns a copy that shares nothing that is written to. The hosts of an exclusion set are never changed.
func (s *Saved) clone() Saved {
	c := *s
	c.ExclusionSets, c.ExcludedHosts = slices.Clone(s.ExclusionSets), slices.Clone(s.ExcludedHosts)
	return c
}

// pendingRequest is a request whose response may still bring a lease.
type pendingRequest struct {
	seq uint64
	at  time.Duration
}

// Holder is the node's side of its send lease. It is not safe for concurrent use.
//
// The contents of a response take three paths at different speeds: to the event loop at once, into the store, and from both back
// to the Raft group. Holder keeps what is durable apart from what is known. The event loop applies what is known: it contains
// every exclusion set that the Raft group may rely on, and what it has dropped was dropped by the group before. The lease that
// came with a response is used, and its contents are confirmed, only once they are durable.
type Holder struct {
	terms   Terms
	node    string
	durable Saved // contents of the store
	known   Saved // contents of the last response
	written Saved // what Saved returned last, being written to the store

	seq      uint64           // of the last request
	answered uint64           // of the last accepted response
	pending  []pendingRequest // ascending

	leaseEnd   time.Duration // end of the lease in use
	pendingEnd time.Duration // end of the lease of the last response, which is used once known is durable
	writtenEnd time.Duration // the same for written

	confirmed []ExcludedHost // the event loop sends these no new work
	inEffect  uint64         // newest exclusion set that the event loop applies once the lease has expired
}

// NewHolder returns a holder that knows the contents of the node's store and has no lease. If the store is empty, the caller sets
// an incarnation, makes it durable and passes only that.
func NewHolder(terms Terms, node string, saved Saved) *Holder {
	h := &Holder{terms: terms, node: node, durable: saved.clone()}
	h.known, h.written = saved.clone(), saved.clone()
	return h
}

// NextRequest returns the next request and records that it is sent now: a lease it brings counts from now.
func (h *Holder) NextRequest(now time.Duration) LeaseRequest {
	h.seq++
	for len(h.pending) > 0 && h.pending[0].at+h.terms.Duration <= now {
		h.pending = h.pending[1:]
	}
	h.pending = append(h.pending, pendingRequest{h.seq, now})
	return h.request()
}

// HasNews reports whether a request would acknowledge a newer exclusion set than the given one, or confirm hosts that it did not.
func (h *Holder) HasNews(before LeaseRequest) bool {
	q := h.request()
	return q.Acked > before.Acked ||
		slices.ContainsFunc(q.Confirmed, func(o ExcludedHost) bool { return !slices.Contains(before.Confirmed, o) })
}

// request returns the contents of a request sent now.
func (h *Holder) request() LeaseRequest {
	q := LeaseRequest{Node: h.node, Incarnation: h.durable.Incarnation, Seq: h.seq, Acked: min(h.durable.newest(), h.inEffect)}
	for _, o := range h.confirmed {
		if slices.Contains(h.durable.ExcludedHosts, o) && slices.Contains(h.known.ExcludedHosts, o) {
			q.Confirmed = append(q.Confirmed, o)
		}
	}
	return q
}

// HandleResponse handles a response, unless a newer request was answered already or it is from an older log index. save: Saved
// has to be made durable and MarkStored called before anything else follows. changed: Restrictions differ, and the event loop has
// to get them, even before MarkStored. The contents of a response count even if its own lease has already expired.
func (h *Holder) HandleResponse(now time.Duration, a LeaseResponse) (save, changed bool) {
	if a.Seq <= h.answered || a.Seq > h.seq || a.Applied < h.known.Applied {
		return false, false
	}
	before := h.Restrictions()
	h.answered = a.Seq
	for len(h.pending) > 0 && h.pending[0].seq <= a.Seq {
		if h.pending[0].seq == a.Seq {
			h.pendingEnd = h.pending[0].at + h.terms.Duration
		}
		h.pending = h.pending[1:]
	}
	h.known.update(&a)
	if save = !h.known.equal(&h.durable); !save {
		h.leaseEnd = h.pendingEnd
	}
	return save, !h.Restrictions().equal(before)
}

// update sets what is known from a response. An exclusion set is dropped only once a newer one is recorded: until then the Raft
// group may rely on either.
func (s *Saved) update(a *LeaseResponse) {
	s.Applied = a.Applied
	s.ExcludedHosts = slices.Clone(a.ExcludedHosts)
	slices.SortFunc(s.ExcludedHosts, func(x, y ExcludedHost) int { return cmp.Compare(x.Host, y.Host) })
	if !s.hasResponse() || a.ExclusionSet.Version > s.newest() {
		hosts := slices.Clone(a.ExclusionSet.Hosts)
		slices.Sort(hosts)
		s.ExclusionSets = append(slices.Clone(s.ExclusionSets), ExclusionSet{a.ExclusionSet.Version, hosts})
	}
	s.Recorded = max(s.Recorded, a.Recorded)
	s.ExclusionSets = slices.DeleteFunc(slices.Clone(s.ExclusionSets), func(z ExclusionSet) bool {
		return z.Version < s.Recorded
	})
}

// Saved returns what the store has to hold.
func (h *Holder) Saved() Saved {
	h.written, h.writtenEnd = h.known.clone(), h.pendingEnd
	return h.known.clone()
}

// MarkStored records that what Saved returned last is durable: it may be acknowledged in the next request, and the lease that
// came with it is used.
func (h *Holder) MarkStored() {
	h.durable = h.written.clone()
	h.leaseEnd = max(h.leaseEnd, h.writtenEnd)
}

// MarkConfirmed records that the event loop sends no new work to exactly these hosts: the ExcludedHosts of the Restrictions that
// it has applied. They are reported to the Raft group if they are in the store and still excluded in that round.
func (h *Holder) MarkConfirmed(excluded []ExcludedHost) { h.confirmed = slices.Clone(excluded) }

// MarkInEffect records that the event loop applies v and no older Restrictions: MarkConfirmed, and in addition its exclusion
// sets, which are acknowledged only from then on. An event loop that lags behind would ignore the sets of newer Restrictions once
// the lease of its older ones has expired.
func (h *Holder) MarkInEffect(v Restrictions) {
	h.MarkConfirmed(v.ExcludedHosts)
	h.inEffect = v.ExclusionSetVersion
}

// Restrictions returns the complete restrictions that the event loop has to apply.
func (h *Holder) Restrictions() Restrictions {
	v := Restrictions{ExcludedHosts: slices.Clone(h.known.ExcludedHosts), LeaseEnd: h.leaseEnd, AllAfterExpiry: !h.known.coversRecorded(),
		ExclusionSetVersion: h.known.newest()}
	for _, z := range h.known.ExclusionSets {
		v.ExcludedAfterExpiry = append(v.ExcludedAfterExpiry, z.Hosts...)
	}
	slices.Sort(v.ExcludedAfterExpiry)
	v.ExcludedAfterExpiry = slices.Compact(v.ExcludedAfterExpiry)
	return v
}

// Restrictions are what the node's event loop applies: always complete, never a difference.
type Restrictions struct {
	ExcludedHosts       []ExcludedHost // excluded regardless of the lease, sorted by host
	LeaseEnd            time.Duration  // by the node's own clock
	ExcludedAfterExpiry []string       // hosts excluded in addition after LeaseEnd, sorted
	AllAfterExpiry      bool           // every host is excluded after LeaseEnd
	ExclusionSetVersion uint64         // newest version among ExcludedAfterExpiry; see Holder.MarkInEffect
}

// Excludes reports whether no new work may be sent to a host, at a time of the node's own clock.
func (v Restrictions) Excludes(host string, now time.Duration) bool {
	if containsHost(v.ExcludedHosts, host) {
		return true
	}
	if now < v.LeaseEnd {
		return false
	}
	_, found := slices.BinarySearch(v.ExcludedAfterExpiry, host)
	return v.AllAfterExpiry || found
}

func (v Restrictions) equal(o Restrictions) bool {
	return v.LeaseEnd == o.LeaseEnd && v.AllAfterExpiry == o.AllAfterExpiry && v.ExclusionSetVersion == o.ExclusionSetVersion &&
		slices.Equal(v.ExcludedHosts, o.ExcludedHosts) &&
		slices.Equal(v.ExcludedAfterExpiry, o.ExcludedAfterExpiry)
}

// containsHost reports whether a host is among excluded hosts, which are sorted.
func containsHost(excluded []ExcludedHost, host string) bool {
	_, found := slices.BinarySearchFunc(excluded, host, func(o ExcludedHost, h string) int { return cmp.Compare(o.Host, h) })
	return found
}
