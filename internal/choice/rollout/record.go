package rollout

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// Record is what the top is told of a node: by the node to its site's council, which writes it as evidence, and from there
// upwards. It is whole, so that records may be lost, repeated and overtaken: of two of one node, Merge takes the newer word
// and the slices of both.
//
//	R1  Merging is commutative, associative and idempotent.
//	R2  A record that was merged with an older one says all that the newer one says.
//	R3  No record is longer than MaxRecord: what does not fit is left out, the oldest slice first, and missing evidence is
//	    no health.
type Record struct {
	Node         string       `json:"node"`
	Sequence     uint64       `json:"told"` // rises with each that the node tells: Unix time in microseconds by its own clock
	Status       NodeStatus   `json:"seen"`
	OutOfService int          `json:"out,omitempty"`    // hosts out for work at the node's site, as the node was told
	Fired        []FiredGuard `json:"fired,omitempty"`  // guards, sorted: the newest mostFired
	Slices       []Evidence   `json:"slices,omitempty"` // by number: the newest mostSlices
}

// Fired is a guard that fired at a node: it halts, whatever was counted.
type FiredGuard struct {
	Slice  uint64 `json:"slice"`
	Round  uint64 `json:"round"` // that the policy was told in: a guard is no word on a later treatment
	Policy Hash   `json:"policy"`
	Guard  string `json:"what"`
}

const (
	// MaxRecord is the longest record in bytes: what the value of one write may have, less room for its frame.
	MaxRecord     = 60 << 10
	maxSlices     = 8
	maxFired      = 8
	maxGuardBytes = 120                             // bytes of a guard's name
	maxSliceBytes = (MaxRecord - 4<<10) / maxSlices // bytes of one slice's evidence
	recordHead    = "rollout record 1 "             // what a record begins with
	recordEnd     = " end"                          // and ends with
)

// Thing is what a node's records are written about.
func NodeKey(node string) string { return "node/" + node }

// Bytes returns the record in its one form, cut to the bounds of R3.
func (r Record) Bytes() []byte {
	r = r.trimmed()
	text, err := json.Marshal(&r)
	if err != nil {
		panic(err) // numbers that are not finite: none is kept
	}
	return slices.Concat([]byte(recordHead), text, []byte(recordEnd))
}

// ParseRecord reads what Bytes wrote. An error is an *Unread.
func ParseRecord(raw []byte) (r Record, err error) {
	text, head := bytes.CutPrefix(raw, []byte(recordHead))
	text, end := bytes.CutSuffix(text, []byte(recordEnd))
	if !head || !end || len(raw) > MaxRecord {
		return r, &DecodeError{"no record of a node, or too long a one"}
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, &DecodeError{err.Error()}
	}
	if r.Node == "" || r.Sequence == 0 || r.OutOfService < 0 || r.Status.Fallback >= fallbackCount || r.Status.Node != r.Node || !bytes.Equal(r.Bytes(), raw) {
		return r, &DecodeError{"the record of a node is not in its one form"}
	}
	return r, nil
}

// Brief returns what is left of a node's record once a Top has taken it in: the newest word, without the slices and guards, which
// the plan has. It is a record, and what is no record is returned as it is.
func StripEvidence(raw []byte) []byte {
	r, err := ParseRecord(raw)
	if err != nil {
		return raw
	}
	return Record{Node: r.Node, Sequence: r.Sequence, Status: r.Status, OutOfService: r.OutOfService}.Bytes()
}

// MergeRecords merges two records of one node, in their bytes: see upstream.Merge. An error is an *Unread.
func MergeRecords(a, b []byte) ([]byte, error) {
	x, err := ParseRecord(a)
	if err != nil {
		return nil, err
	}
	y, err := ParseRecord(b)
	if err != nil {
		return nil, err
	}
	if x.Node != y.Node {
		return nil, &DecodeError{"records of " + x.Node + " and " + y.Node + " are not one"}
	}
	return x.Merge(y).Bytes(), nil
}

// Merge takes the newer word of two records of one node, and the slices and guards of both.
func (r Record) Merge(o Record) Record {
	if cmp.Or(cmp.Compare(r.Sequence, o.Sequence), compareJSON(r.Status, o.Status), cmp.Compare(r.OutOfService, o.OutOfService)) < 0 {
		r, o = o, r
	}
	r.Slices = append(slices.Clone(r.Slices), o.Slices...)
	r.Fired = append(slices.Clone(r.Fired), o.Fired...)
	return r.trimmed()
}

// trimmed sorts what a record has and keeps to its bounds. Of two pieces of evidence of one slice the later counts.
func (r Record) trimmed() Record {
	r.Slices = slices.Clone(r.Slices)
	for i := range r.Slices {
		r.Slices[i] = r.Slices[i].trimToSize()
	}
	slices.SortFunc(r.Slices, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Slice, b.Slice), cmp.Compare(b.At, a.At), compareJSON(b, a))
	})
	r.Slices = slices.CompactFunc(r.Slices, func(a, b Evidence) bool { return a.Slice == b.Slice })
	r.Slices = r.Slices[max(0, len(r.Slices)-maxSlices):]
	r.Fired = slices.Clone(r.Fired)
	for i := range r.Fired {
		what := &r.Fired[i].Guard
		*what = strings.ToValidUTF8((*what)[:min(len(*what), maxGuardBytes)], "?")
		for len(asJSON(*what)) > maxGuardBytes+2 { // signs that take more bytes there
			*what = strings.ToValidUTF8((*what)[:len(*what)-1], "")
		}
	}
	slices.SortFunc(r.Fired, FiredGuard.compare)
	r.Fired = slices.Compact(r.Fired)
	r.Fired = r.Fired[max(0, len(r.Fired)-maxFired):]
	return r
}

func (f FiredGuard) compare(o FiredGuard) int {
	return cmp.Or(cmp.Compare(f.Slice, o.Slice), cmp.Compare(f.Round, o.Round), cmp.Compare(f.Policy, o.Policy), cmp.Compare(f.Guard, o.Guard))
}

// fitting leaves out of a slice's evidence what does not fit: histograms first, then the cells with the fewest requests.
func (e Evidence) trimToSize() Evidence {
	most := 400 + 6*(len(e.Node)+len(e.Zone)+len(e.Policy)) // at most so long in JSON, which is dear to make
	for _, c := range e.Counts {
		most += 400 + 6*(len(c.Class)+len(c.Tenant)) + 4*len(c.SetUp)/3
	}
	for _, g := range e.Guards {
		most += 4 + 6*len(g)
	}
	if most <= maxSliceBytes || len(asJSON(e)) <= maxSliceBytes {
		return e
	}
	e.Counts = slices.Clone(e.Counts)
	for i := range e.Counts {
		e.Counts[i].SetUp = nil
	}
	slices.SortStableFunc(e.Counts, func(a, b Counts) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	for len(e.Counts) > 0 && len(asJSON(e)) > maxSliceBytes {
		e.Counts = e.Counts[:len(e.Counts)-1-len(e.Counts)/16]
	}
	return e
}

func asJSON(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // as in Bytes
	}
	return text
}

func compareJSON[T any](a, b T) int {
	if reflect.DeepEqual(a, b) {
		return 0
	}
	return bytes.Compare(asJSON(a), asJSON(b))
}
