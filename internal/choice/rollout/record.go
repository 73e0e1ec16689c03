package rollout

import (
	"bytes"
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// Record is what a node reports to the root site. The node sends it to its site's consensus group, which writes it as
// evidence and forwards it up the tree. Each record is cumulative, so that records may be lost, duplicated and reordered:
// Merge takes the newer status of two records of one node and the slices of both.
//
//	R1  Merging is commutative, associative and idempotent.
//	R2  A record that was merged with an older one contains everything that the newer one contains.
//	R3  No record is longer than MaxRecord: what does not fit is left out, the oldest slice first. Evidence that is
//	    missing for this reason is not taken as proof of health either.
type Record struct {
	Node         string       `json:"node"`
	Sequence     uint64       `json:"told"` // increases with each record of the node: Unix time in microseconds by its own clock
	Status       NodeStatus   `json:"seen"`
	OutOfService int          `json:"out,omitempty"`    // hosts out of service for maintenance at the node's site, as known to the node
	Fired        []FiredGuard `json:"fired,omitempty"`  // guards, sorted: the newest maxFired
	Slices       []Evidence   `json:"slices,omitempty"` // by number: the newest maxSlices
}

// FiredGuard is a guard that fired at a node. It halts the rollout, whatever the counts are.
type FiredGuard struct {
	Slice  uint64 `json:"slice"`
	Round  uint64 `json:"round"` // in which the policy was assigned: a guard does not apply to a later treatment
	Policy Hash   `json:"policy"`
	Guard  string `json:"what"`
}

const (
	// MaxRecord is the maximum length of a record in bytes: the size limit of one write, less room for its framing.
	MaxRecord     = 60 << 10
	maxSlices     = 8
	maxFired      = 8
	maxGuardBytes = 120                             // bytes of a guard's name
	maxSliceBytes = (MaxRecord - 4<<10) / maxSlices // bytes of one slice's evidence
	recordHead    = "rollout record 1 "             // prefix of an encoded record
	recordEnd     = " end"                          // suffix of an encoded record
)

// NodeKey returns the key under which a node's records are written.
func NodeKey(node string) string { return "node/" + node }

// Bytes returns the canonical encoding, cut to the bounds of R3.
func (r Record) Bytes() []byte {
	r = r.trimmed()
	text, err := json.Marshal(&r)
	if err != nil {
		panic(err) // only non-finite numbers fail to encode, and none are stored
	}
	return slices.Concat([]byte(recordHead), text, []byte(recordEnd))
}

// ParseRecord decodes the output of Bytes. An error is a *DecodeError.
func ParseRecord(raw []byte) (r Record, err error) {
	text, hasHead := bytes.CutPrefix(raw, []byte(recordHead))
	text, hasEnd := bytes.CutSuffix(text, []byte(recordEnd))
	if !hasHead || !hasEnd || len(raw) > MaxRecord {
		return r, &DecodeError{"not a record of a node, or too long"}
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, &DecodeError{err.Error()}
	}
	if r.Node == "" || r.Sequence == 0 || r.OutOfService < 0 || r.Status.Fallback >= fallbackCount ||
		r.Status.Node != r.Node || !bytes.Equal(r.Bytes(), raw) {
		return r, &DecodeError{"the record of a node is invalid or not in canonical form"}
	}
	return r, nil
}

// StripEvidence returns a record without its slices and guards, which the plan has once a RootState has ingested the record;
// the status stays. Input that is not a record is returned unchanged.
func StripEvidence(raw []byte) []byte {
	r, err := ParseRecord(raw)
	if err != nil {
		return raw
	}
	return Record{Node: r.Node, Sequence: r.Sequence, Status: r.Status, OutOfService: r.OutOfService}.Bytes()
}

// MergeRecords merges two encoded records of one node; see sitesync.Merge. An error is a *DecodeError.
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
		return nil, &DecodeError{"records of " + x.Node + " and " + y.Node + " belong to different nodes"}
	}
	return x.Merge(y).Bytes(), nil
}

// Merge returns the newer status of two records of one node, with the slices and guards of both.
func (r Record) Merge(o Record) Record {
	if cmp.Or(cmp.Compare(r.Sequence, o.Sequence), compareJSON(r.Status, o.Status), cmp.Compare(r.OutOfService, o.OutOfService)) < 0 {
		r, o = o, r
	}
	r.Slices = append(slices.Clone(r.Slices), o.Slices...)
	r.Fired = append(slices.Clone(r.Fired), o.Fired...)
	return r.trimmed()
}

// trimmed sorts a record's contents and cuts them to the bounds. Of two pieces of evidence for one slice it keeps the later.
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
		guard := &r.Fired[i].Guard
		*guard = strings.ToValidUTF8((*guard)[:min(len(*guard), maxGuardBytes)], "?")
		for len(asJSON(*guard)) > maxGuardBytes+2 { // characters that are escaped in JSON
			*guard = strings.ToValidUTF8((*guard)[:len(*guard)-1], "")
		}
	}
	slices.SortFunc(r.Fired, FiredGuard.compare)
	r.Fired = slices.Compact(r.Fired)
	r.Fired = r.Fired[max(0, len(r.Fired)-maxFired):]
	return r
}

func (f FiredGuard) compare(o FiredGuard) int {
	return cmp.Or(cmp.Compare(f.Slice, o.Slice), cmp.Compare(f.Round, o.Round), cmp.Compare(f.Policy, o.Policy),
		cmp.Compare(f.Guard, o.Guard))
}

// trimToSize drops evidence that does not fit: histograms first, then the cells with the fewest requests.
func (e Evidence) trimToSize() Evidence {
	bound := 400 + 6*(len(e.Node)+len(e.Zone)+len(e.Policy)) // upper bound of the length in JSON, since encoding is expensive
	for _, c := range e.Counts {
		bound += 400 + 6*(len(c.Class)+len(c.Tenant)) + 4*len(c.SetUp)/3
	}
	for _, g := range e.Guards {
		bound += 4 + 6*len(g)
	}
	if bound <= maxSliceBytes || len(asJSON(e)) <= maxSliceBytes {
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
		panic(err) // for the same reason as in Bytes
	}
	return text
}

func compareJSON[T any](a, b T) int {
	if reflect.DeepEqual(a, b) {
		return 0
	}
	return bytes.Compare(asJSON(a), asJSON(b))
}
