package sendlease

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// What models of the two sides need: copies, and the state as bytes in which times count from now and what cannot
// matter any more is left out.

// Clone returns a copy that may change apart.
func (h *Holder) Clone() *Holder {
	c := *h
	c.durable, c.known, c.written = h.durable.clone(), h.known.clone(), h.written.clone()
	c.open = slices.Clone(h.open)
	return &c
}

// Append appends the state, where answers may still come to the questions with these numbers and to no others.
func (h *Holder) Append(to []byte, now time.Duration, flying []uint64) []byte {
	to = h.durable.append(to)
	for _, s := range []*Saved{&h.known, &h.written} {
		if s.same(&h.durable) && s.Applied == h.durable.Applied {
			to = append(to, 0)
		} else {
			to = s.append(append(to, 1))
		}
	}
	for _, seq := range flying {
		to = append(to, flag(seq <= h.answered))
		left := time.Duration(0)
		if i := slices.IndexFunc(h.open, func(a asked) bool { return a.seq == seq }); i >= 0 {
			left = h.open[i].at + h.terms.Lasts
		}
		to = appendLeft(to, left, now)
	}
	to = appendLeft(to, h.until, now)
	to = appendLeft(to, h.due, now)
	if h.writtenDue > h.until {
		to = appendLeft(to, h.writtenDue, now)
	} else {
		to = appendLeft(to, 0, now)
	}
	return binary.AppendUvarint(appendOuts(to, h.confirmed), h.inEffect)
}

// Append appends what a verdict says from now on.
func (v Verdict) Append(to []byte, now time.Duration) []byte {
	to = appendLeft(appendOuts(to, v.Outs), v.Until, now)
	to = append(appendHosts(to, v.Lapsed), flag(v.All))
	return binary.AppendUvarint(to, v.Horizon)
}

// Append appends a question without its node and number.
func (q Question) Append(to []byte) []byte {
	to = binary.AppendUvarint(binary.AppendUvarint(to, q.Life), q.Acked)
	return appendOuts(to, q.Holds)
}

// Append appends an answer without its number.
func (a Answer) Append(to []byte) []byte {
	to = binary.AppendUvarint(binary.AppendUvarint(to, a.Applied), a.Recorded)
	to = binary.AppendUvarint(appendOuts(to, a.Outs), a.Horizon.Version)
	return appendHosts(to, a.Horizon.Hosts)
}

func (s *Saved) append(to []byte) []byte {
	to = binary.AppendUvarint(binary.AppendUvarint(to, s.Life), s.Recorded)
	to = binary.AppendUvarint(appendOuts(to, s.Outs), s.Applied)
	to = append(to, byte(len(s.Horizons)))
	for _, z := range s.Horizons {
		to = appendHosts(binary.AppendUvarint(to, z.Version), z.Hosts)
	}
	return to
}

// Clone returns a copy that may change apart.
func (t *Table) Clone() *Table {
	c := *t
	c.answered, c.holds = maps.Clone(t.answered), maps.Clone(t.holds)
	for node, held := range c.holds {
		c.holds[node] = maps.Clone(held)
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
		to = appendLeft(to, max(t.since, t.answered[node])+t.terms.Counted()+1, now)
		held := t.holds[node]
		to = append(to, byte(len(held)))
		for _, host := range slices.Sorted(maps.Keys(held)) {
			to = appendOuts(to, []Out{{host, held[host]}})
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

// appendLeft appends how long it is until a moment, 0 if it has passed.
func appendLeft(to []byte, moment, now time.Duration) []byte {
	return binary.AppendUvarint(to, uint64(max(0, moment-now)))
}

func appendOuts(to []byte, outs []Out) []byte {
	to = append(to, byte(len(outs)))
	for _, o := range outs {
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
