package sendlease

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// What model checkers of the two sides need: copies, and the state as bytes, with times relative to now and without what can no
// longer matter.

// Clone returns an independent copy.
func (h *Holder) Clone() *Holder {
	c := *h
	c.durable, c.known, c.written = h.durable.clone(), h.known.clone(), h.written.clone()
	c.pending = slices.Clone(h.pending)
	return &c
}

// Append appends the state, given that only the requests with these sequence numbers may still be answered.
func (h *Holder) Append(to []byte, now time.Duration, inFlight []uint64) []byte {
	to = h.durable.append(to)
	for _, s := range []*Saved{&h.known, &h.written} {
		if s.equal(&h.durable) && s.Applied == h.durable.Applied {
			to = append(to, 0)
		} else {
			to = s.append(append(to, 1))
		}
	}
	for _, seq := range inFlight {
		to = append(to, flag(seq <= h.answered))
		left := time.Duration(0)
		if i := slices.IndexFunc(h.pending, func(a pendingRequest) bool { return a.seq == seq }); i >= 0 {
			left = h.pending[i].at + h.terms.Duration
		}
		to = appendLeft(to, left, now)
	}
	to = appendLeft(to, h.leaseEnd, now)
	to = appendLeft(to, h.pendingEnd, now)
	if h.writtenEnd > h.leaseEnd {
		to = appendLeft(to, h.writtenEnd, now)
	} else {
		to = appendLeft(to, 0, now)
	}
	return binary.AppendUvarint(appendExcluded(to, h.confirmed), h.inEffect)
}

// Append appends what the restrictions mean from now on.
func (v Restrictions) Append(to []byte, now time.Duration) []byte {
	to = appendLeft(appendExcluded(to, v.ExcludedHosts), v.LeaseEnd, now)
	to = append(appendHosts(to, v.ExcludedAfterExpiry), flag(v.AllAfterExpiry))
	return binary.AppendUvarint(to, v.ExclusionSetVersion)
}

// Append appends a request without its node and sequence number.
func (q LeaseRequest) Append(to []byte) []byte {
	to = binary.AppendUvarint(binary.AppendUvarint(to, q.Incarnation), q.Acked)
	return appendExcluded(to, q.Confirmed)
}

// Append appends a response without its sequence number.
func (a LeaseResponse) Append(to []byte) []byte {
	to = binary.AppendUvarint(binary.AppendUvarint(to, a.Applied), a.Recorded)
	to = binary.AppendUvarint(appendExcluded(to, a.ExcludedHosts), a.ExclusionSet.Version)
	return appendHosts(to, a.ExclusionSet.Hosts)
}

func (s *Saved) append(to []byte) []byte {
	to = binary.AppendUvarint(binary.AppendUvarint(to, s.Incarnation), s.Recorded)
	to = binary.AppendUvarint(appendExcluded(to, s.ExcludedHosts), s.Applied)
	to = append(to, byte(len(s.ExclusionSets)))
	for _, z := range s.ExclusionSets {
		to = appendHosts(binary.AppendUvarint(to, z.Version), z.Hosts)
	}
	return to
}

// Clone returns an independent copy.
func (t *Table) Clone() *Table {
	c := *t
	c.answered, c.confirmed = maps.Clone(t.answered), maps.Clone(t.confirmed)
	for node, rounds := range c.confirmed {
		c.confirmed[node] = maps.Clone(rounds)
	}
	return &c
}

// Append appends the state as far as it concerns these nodes.
func (t *Table) Append(to []byte, now time.Duration, nodes []string) []byte {
	to = append(to, flag(t.leads))
	if !t.leads {
		return to
	}
	for _, node := range nodes {
		to = appendLeft(to, max(t.since, t.answered[node])+t.terms.CountedDuration()+1, now)
		rounds := t.confirmed[node]
		to = append(to, byte(len(rounds)))
		for _, host := range slices.Sorted(maps.Keys(rounds)) {
			to = appendExcluded(to, []ExcludedHost{{host, rounds[host]}})
		}
	}
	return to
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// appendLeft appends the time left until a moment, 0 if it has passed.
func appendLeft(to []byte, moment, now time.Duration) []byte {
	return binary.AppendUvarint(to, uint64(max(0, moment-now)))
}

func appendExcluded(to []byte, excluded []ExcludedHost) []byte {
	to = append(to, byte(len(excluded)))
	for _, o := range excluded {
		to = binary.AppendUvarint(append(append(to, byte(len(o.Host))), o.Host...), o.Round)
	}
	return to
}

func appendHosts(to []byte, hosts []string) []byte {
	to = append(to, byte(len(hosts)))
	for _, host := range hosts {
		to = append(append(to, byte(len(host))), host...)
	}
	return to
}
