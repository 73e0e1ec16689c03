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

// Compare orders origins by site, incarnation and lane.
func (o Origin) Compare(p Origin) int {
	return cmp.Or(cmp.Compare(o.Site, p.Site), cmp.Compare(o.Incarnation, p.Incarnation), cmp.Compare(o.lane(), p.lane()))
}

// lane returns the index of the origin's lane: 0 for ordinary writes, 1 for urgent ones, 2 for evidence.
func (o Origin) lane() int {
	switch {
	case o.Evidence:
		return 2
	case o.Urgent:
		return 1
	}
	return 0
}

// Compare orders IDs by origin and number.
func (d ID) Compare(e ID) int {
	return cmp.Or(d.Origin.Compare(e.Origin), cmp.Compare(d.Number, e.Number))
}

func (d ID) String() string {
	return fmt.Sprintf("%s.%x%s/%d", d.Origin.Site, d.Origin.Incarnation, [lanes]string{"", "!", "~"}[d.Origin.lane()], d.Number)
}

// Highest returns the number up to which the vector contains an origin's writes.
func (v VersionVector) Highest(o Origin) uint64 {
	if i, ok := slices.BinarySearchFunc(v, o, func(m VectorEntry, o Origin) int { return m.Origin.Compare(o) }); ok {
		return v[i].Number
	}
	return 0
}

// Has reports whether the vector contains a write.
func (v VersionVector) Has(d ID) bool { return d.Number <= v.Highest(d.Origin) }

// valid reports whether a vector is sorted and names each origin once, without zero values.
func (v VersionVector) valid() bool {
	for i, m := range v {
		if m.Origin.Site == "" || m.Origin.Incarnation == 0 || m.Number == 0 || i > 0 && v[i-1].Origin.Compare(m.Origin) >= 0 {
			return false
		}
	}
	return true
}

// vector is a version vector in the form used for computing.
type vector map[Origin]uint64

func (v vector) has(d ID) bool { return d.Number <= v[d.Origin] }

// raise sets an origin's number if it is higher, and reports whether it was.
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

// covers reports whether v contains all of s.
func (v vector) covers(s VersionVector) bool {
	return !slices.ContainsFunc(s, func(m VectorEntry) bool { return m.Number > v[m.Origin] })
}

// list returns the vector as a sorted list.
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

// beyond returns the sorted entries of v that exceed those of base.
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

// Encode returns a vector as a text token with a checksum, which a person can carry to another site.
func (v VersionVector) Encode() string {
	body, _ := json.Marshal(v) // cannot fail: strings and numbers only
	return base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint64(body, xxhash.Sum64(body)))
}

// ParseToken parses a token that Encode returned. Errors are of type *TokenError.
func ParseToken(token string) (VersionVector, error) {
	b, err := base64.RawURLEncoding.DecodeString(token)
	switch {
	case err != nil:
		return nil, &TokenError{"not valid base64"}
	case len(b) < 8:
		return nil, &TokenError{"too short"}
	}
	body := b[:len(b)-8]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(b[len(b)-8:]) {
		return nil, &TokenError{"checksum mismatch"}
	}
	var v VersionVector
	if err := json.Unmarshal(body, &v); err != nil || !v.valid() {
		return nil, &TokenError{"not a valid version vector"}
	}
	return v, nil
}
