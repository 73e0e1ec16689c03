package sitesync

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Compare puts origins in their order.
func (o Origin) Compare(p Origin) int {
	return cmp.Or(cmp.Compare(o.Site, p.Site), cmp.Compare(o.Incarnation, p.Incarnation), cmp.Compare(o.lane(), p.lane()))
}

// lane numbers the origins of a life: ordinary writes, urgent ones, evidence.
func (o Origin) lane() int {
	switch {
	case o.Evidence:
		return 2
	case o.Urgent:
		return 1
	}
	return 0
}

// Compare puts writes' names in their order.
func (d ID) Compare(e ID) int {
	return cmp.Or(d.Origin.Compare(e.Origin), cmp.Compare(d.Number, e.Number))
}

func (d ID) String() string {
	return fmt.Sprintf("%s.%x%s/%d", d.Origin.Site, d.Origin.Incarnation, [lanes]string{"", "!", "~"}[d.Origin.lane()], d.Number)
}

// Of returns up to which number an origin's writes are in.
func (v VersionVector) Highest(o Origin) uint64 {
	if i, ok := slices.BinarySearchFunc(v, o, func(m VectorEntry, o Origin) int { return m.Origin.Compare(o) }); ok {
		return v[i].Number
	}
	return 0
}

// Has says whether a write is in.
func (v VersionVector) Has(d ID) bool { return d.Number <= v.Highest(d.Origin) }

// sound says whether a vector is sorted and names each origin once.
func (v VersionVector) valid() bool {
	for i, m := range v {
		if m.Origin.Site == "" || m.Origin.Incarnation == 0 || m.Number == 0 || i > 0 && v[i-1].Origin.Compare(m.Origin) >= 0 {
			return false
		}
	}
	return true
}

// vector is a version vector to work on.
type vector map[Origin]uint64

func (v vector) has(d ID) bool { return d.Number <= v[d.Origin] }

// raise takes a mark in and says whether it is news.
func (v vector) raise(o Origin, n uint64) bool {
	if n <= v[o] {
		return false
	}
	v[o] = n
	return true
}

func (v vector) join(s VersionVector) {
	for _, m := range s {
		v.raise(m.Origin, m.Number)
	}
}

// covers says whether all of s is in v.
func (v vector) covers(s VersionVector) bool {
	return !slices.ContainsFunc(s, func(m VectorEntry) bool { return m.Number > v[m.Origin] })
}

// list returns the vector in its order.
func (v vector) list() VersionVector {
	if len(v) == 0 {
		return nil
	}
	s := make(VersionVector, 0, len(v))
	for o, n := range v {
		s = append(s, VectorEntry{o, n})
	}
	slices.SortFunc(s, func(a, b VectorEntry) int { return a.Origin.Compare(b.Origin) })
	return s
}

// beyond returns the marks of v that base has not, in order.
func (v vector) beyond(base vector) VersionVector {
	var s VersionVector
	for o, n := range v {
		if n > base[o] {
			s = append(s, VectorEntry{o, n})
		}
	}
	slices.SortFunc(s, func(a, b VectorEntry) int { return a.Origin.Compare(b.Origin) })
	return s
}

// Encode returns a vector as a token that a person can carry: text, with a check sum.
func (v VersionVector) Encode() string {
	body, _ := json.Marshal(v) // strings and numbers: it cannot fail
	return base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint64(body, xxhash.Sum64(body)))
}

// ParseToken reads what Encode returned. Errors are of type TokenError.
func ParseToken(token string) (VersionVector, error) {
	b, err := base64.RawURLEncoding.DecodeString(token)
	switch {
	case err != nil:
		return nil, &TokenError{"it is not base64"}
	case len(b) < 8:
		return nil, &TokenError{"it is too short"}
	}
	body := b[:len(b)-8]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(b[len(b)-8:]) {
		return nil, &TokenError{"its check sum does not hold"}
	}
	var v VersionVector
	if err := json.Unmarshal(body, &v); err != nil || !v.valid() {
		return nil, &TokenError{"it is not a version vector"}
	}
	return v, nil
}
