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
	Words        []string // a value begins with one of them, the first going before the others; none: any value
	ByLevel      bool     // the higher level's goes before the lower's, whatever the word; else the level decides after the word
	Coexist      bool     // all stand together: none goes before another
	Cascades     []string // words of writes that fall with what they need; "": all of the kind
	QueuePercent int      // hundredths of the queue that may be full before the kind is refused
}

// Rules are the rules by kind. Among equals the lower origin and then the lower number goes first: an order without
// meaning, the same everywhere.
var Rules = [Kinds]Rule{
	Evidence: {Coexist: true, Cascades: []string{""}, QueuePercent: 50},
	Note:     {Coexist: true, QueuePercent: 60},
	Work:     {Words: []string{"begun", "asked", "done", "withdrawn"}, Cascades: []string{""}, QueuePercent: 75},
	Policy:   {Words: []string{"halt", "force", "resume", "begin"}, ByLevel: true, Cascades: []string{"force", "resume", "begin"}, QueuePercent: 90},
	Safety:   {Words: []string{"out", "back"}, Cascades: []string{"back"}, QueuePercent: 100},
}

// relayedRoom is how much of the queue writes of other sites may fill, in hundredths: the rest is this site's own.
const relayedPercent = 75

// word returns the place of a value's first word in a rule's list, or -1.
func (r *Rule) wordIndex(value []byte) int {
	first, _, _ := bytes.Cut(value, []byte(" "))
	return slices.Index(r.Words, string(first))
}

// falls says whether a write falls with what it needs.
func cascades(w *Write) bool {
	r := &Rules[w.Kind]
	for _, f := range r.Cascades {
		if f == "" || r.wordIndex(w.Value) == slices.Index(r.Words, f) {
			return true
		}
	}
	return false
}

// first puts two concurrent writes on one thing in order: the one that goes first is less.
func comparePrecedence(a, b *Write) int {
	if a.Closes != b.Closes {
		if a.Closes {
			return -1
		}
		return 1
	}
	r := &Rules[a.Kind]
	byWord := cmp.Compare(r.wordIndex(a.Value), r.wordIndex(b.Value))
	byLevel := cmp.Compare(a.Level, b.Level)
	if r.ByLevel {
		byWord, byLevel = byLevel, byWord
	}
	return cmp.Or(byWord, byLevel, a.ID.Compare(b.ID))
}

// kills says whether a write was written over another one on the same thing. A close is written over by no other write: a
// token may name it where it has not come yet.
func overwrites(by, w *Write) bool {
	if by.Closes != w.Closes {
		return by.Closes
	}
	if by.ID.Origin == w.ID.Origin {
		return by.ID.Number > w.ID.Number
	}
	return by.Overwrites.Has(w.ID)
}

// Settle says what holds, given writes on one thing and how evidence is merged. It depends on the set alone.
func Resolve(set []*Write, merge Merge) (s Resolved, any bool) {
	var stand []*Write
	for _, w := range set {
		if !slices.ContainsFunc(set, func(by *Write) bool { return overwrites(by, w) }) {
			stand = append(stand, w)
		}
	}
	if len(stand) == 0 {
		return s, false
	}
	slices.SortFunc(stand, comparePrecedence)
	s.Write, s.Value, s.Closed = *stand[0], stand[0].Value, stand[0].Closes
	for _, w := range stand[1:] {
		s.Concurrent = append(s.Concurrent, *w)
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
