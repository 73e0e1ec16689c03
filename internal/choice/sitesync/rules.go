package sitesync

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

var kindNames = [kinds]string{"evidence", "note", "work", "policy", "safety"}

func (k Kind) String() string {
	if k >= kinds {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

var outcomeNames = [...]string{"none", "applied", "superseded", "refused", "orphaned"}

func (o Outcome) String() string { return outcomeNames[o] }

// Rule is what is settled for a kind.
type Rule struct {
	Words    []string // a value begins with one of them, the first going before the others; none: any value
	ByLevel  bool     // the higher level's goes before the lower's, whatever the word; else the level decides after the word
	Together bool     // all stand together: none goes before another
	Falls    []string // words of writes that fall with what they need; "": all of the kind
	Room     int      // hundredths of the queue that may be full before the kind is refused
}

// Rules are the rules by kind. Among equals the lower origin and then the lower number goes first: an order without
// meaning, the same everywhere.
var Rules = [Kinds]Rule{
	Evidence: {Together: true, Falls: []string{""}, Room: 50},
	Note:     {Together: true, Room: 60},
	Work:     {Words: []string{"begun", "asked", "done", "withdrawn"}, Falls: []string{""}, Room: 75},
	Policy:   {Words: []string{"halt", "force", "resume", "begin"}, ByLevel: true, Falls: []string{"force", "resume", "begin"}, Room: 90},
	Safety:   {Words: []string{"out", "back"}, Falls: []string{"back"}, Room: 100},
}

// relayedRoom is how much of the queue writes of other sites may fill, in hundredths: the rest is this site's own.
const relayedRoom = 75

// word returns the place of a value's first word in a rule's list, or -1.
func (r *Rule) word(value []byte) int {
	first, _, _ := bytes.Cut(value, []byte(" "))
	return slices.Index(r.Words, string(first))
}

// falls says whether a write falls with what it needs.
func falls(w *Write) bool {
	r := &Rules[w.Kind]
	for _, f := range r.Falls {
		if f == "" || r.word(w.Value) == slices.Index(r.Words, f) {
			return true
		}
	}
	return false
}

// first puts two concurrent writes on one thing in order: the one that goes first is less.
func first(a, b *Write) int {
	if a.Closes != b.Closes {
		if a.Closes {
			return -1
		}
		return 1
	}
	r := &Rules[a.Kind]
	byWord := cmp.Compare(r.word(a.Value), r.word(b.Value))
	byLevel := cmp.Compare(a.Level, b.Level)
	if r.ByLevel {
		byWord, byLevel = byLevel, byWord
	}
	return cmp.Or(byWord, byLevel, a.ID.Compare(b.ID))
}

// kills says whether a write was written over another one on the same thing. A close is written over by no other write: a
// token may name it where it has not come yet.
func kills(by, w *Write) bool {
	if by.Closes != w.Closes {
		return by.Closes
	}
	if by.ID.Origin == w.ID.Origin {
		return by.ID.Number > w.ID.Number
	}
	return by.Over.Has(w.ID)
}

// Settle says what holds, given writes on one thing and how evidence is merged. It depends on the set alone.
func Settle(set []*Write, merge Merge) (s Settled, any bool) {
	var stand []*Write
	for _, w := range set {
		if !slices.ContainsFunc(set, func(by *Write) bool { return kills(by, w) }) {
			stand = append(stand, w)
		}
	}
	if len(stand) == 0 {
		return s, false
	}
	slices.SortFunc(stand, first)
	s.Write, s.Value, s.Closed = *stand[0], stand[0].Value, stand[0].Closes
	for _, w := range stand[1:] {
		s.Beside = append(s.Beside, *w)
		if w.Kind == Evidence && !s.Closed {
			s.Value = merged(merge, s.Value, w.Value)
		}
	}
	return s, true
}

// Merge puts two pieces of evidence together. It is commutative and associative.
type Merge func(a, b []byte) ([]byte, error)

// merged merges what was checked when it was written; what cannot be read any more adds nothing.
func merged(merge Merge, a, b []byte) []byte {
	both, err := merge(a, b)
	if err != nil {
		return a
	}
	return both
}

// MergeSketches merges encoded DDSketch histograms (github.com/DataDog/sketches-go) of one relative accuracy.
func MergeSketches(a, b []byte) ([]byte, error) {
	x, err := ddsketch.DecodeDDSketch(a, store.DenseStoreConstructor, nil)
	if err != nil {
		return nil, err
	}
	y, err := ddsketch.DecodeDDSketch(b, store.DenseStoreConstructor, nil)
	if err != nil {
		return nil, err
	}
	if err := x.MergeWith(y); err != nil {
		return nil, err
	}
	var out []byte
	x.Encode(&out, false)
	return out, nil
}
