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

// Rule is how writes of a kind are ranked, refused and limited.
type Rule struct {
	Words        []string // a value begins with one of them, in order of precedence; empty: any value
	ByLevel      bool     // the level decides before the word; else the word decides before the level
	Coexist      bool     // concurrent writes are all in force: none supersedes another
	Cascades     []string // words of the writes that are refused if a write that they need was refused; "": all of the kind
	QueuePercent int      // percentage of the queue that may be full before the kind is refused
}

// Rules holds the rules by kind. Ties are broken by the lower origin, then the lower number: an arbitrary order, but
// the same at every site.
var Rules = [Kinds]Rule{
	Evidence: {Coexist: true, Cascades: []string{""}, QueuePercent: 50},
	Note:     {Coexist: true, QueuePercent: 60},
	Work:     {Words: []string{"begun", "asked", "done", "withdrawn"}, Cascades: []string{""}, QueuePercent: 75},
	Policy: {Words: []string{"halt", "force", "resume", "begin"}, ByLevel: true, Cascades: []string{"force", "resume", "begin"},
		QueuePercent: 90},
	Safety: {Words: []string{"out", "back"}, Cascades: []string{"back"}, QueuePercent: 100},
}

// relayedPercent is the percentage of the queue that writes of other sites may fill: the rest is for the site's own
// writes.
const relayedPercent = 75

// wordIndex returns the index of a value's first word in Words, or -1.
func (r *Rule) wordIndex(value []byte) int {
	first, _, _ := bytes.Cut(value, []byte(" "))
	return slices.Index(r.Words, string(first))
}

// cascades reports whether a write is refused together with a write that it needs.
func cascades(w *Write) bool {
	rule := &Rules[w.Kind]
	for _, word := range rule.Cascades {
		if word == "" || rule.wordIndex(w.Value) == slices.Index(rule.Words, word) {
			return true
		}
	}
	return false
}

// comparePrecedence orders two concurrent writes on one subject: the one that takes precedence is less.
func comparePrecedence(a, b *Write) int {
	if a.Closes != b.Closes {
		if a.Closes {
			return -1
		}
		return 1
	}
	rule := &Rules[a.Kind]
	byWord := cmp.Compare(rule.wordIndex(a.Value), rule.wordIndex(b.Value))
	byLevel := cmp.Compare(a.Level, b.Level)
	if rule.ByLevel {
		byWord, byLevel = byLevel, byWord
	}
	return cmp.Or(byWord, byLevel, a.ID.Compare(b.ID))
}

// overwrites reports whether by replaces w, both being on the same subject. A write that closes the subject is never
// replaced by one that does not, even if that one's token names it before it has arrived.
func overwrites(by, w *Write) bool {
	if by.Closes != w.Closes {
		return by.Closes
	}
	if by.ID.Origin == w.ID.Origin {
		return by.ID.Number > w.ID.Number
	}
	return by.Overwrites.Has(w.ID)
}

// Resolve returns the current value of a subject, given the writes on it and how evidence is merged. The result depends
// on the set of writes alone, not on their order.
func Resolve(writes []*Write, merge Merge) (s Resolved, found bool) {
	var remaining []*Write
	for _, w := range writes {
		if !slices.ContainsFunc(writes, func(by *Write) bool { return overwrites(by, w) }) {
			remaining = append(remaining, w)
		}
	}
	if len(remaining) == 0 {
		return s, false
	}
	slices.SortFunc(remaining, comparePrecedence)
	s.Write, s.Value, s.Closed = *remaining[0], remaining[0].Value, remaining[0].Closes
	for _, w := range remaining[1:] {
		s.Concurrent = append(s.Concurrent, *w)
		if w.Kind == Evidence && !s.Closed {
			s.Value = merged(merge, s.Value, w.Value)
		}
	}
	return s, true
}

// Merge combines two pieces of evidence. It must be commutative and associative.
type Merge func(a, b []byte) ([]byte, error)

// merged merges evidence that was checked when it was written; a piece that cannot be read any more adds nothing.
func merged(merge Merge, a, b []byte) []byte {
	both, err := merge(a, b)
	if err != nil {
		return a
	}
	return both
}

// MergeSketches merges two encoded DDSketch histograms (github.com/DataDog/sketches-go) of the same relative accuracy.
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
