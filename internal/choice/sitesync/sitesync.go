// Package sitesync replicates the writes of a site to the sites above it, and brings the decisions of the root site back
// down. Site is the state machine that a site's consensus group replicates: commands in, effects out, the same on every
// replica, without I/O and without a clock. The time is the one that the group's leader stamped on the command.
//
// Terms: the sites of a line (building, regency, province) each have a parent, up to the root site, which has none. A
// write is about a subject, such as a host. A site that loses its store starts a new incarnation. The root site judges
// each write: it accepts or refuses it.
//
// The properties:
//
//	U1  A write is applied at most once at each site, whichever route it takes and however often it arrives, and only
//	    after everything that it depends on (causal order). One exception: a write whose token names writes that have not
//	    arrived takes effect at once at its origin, and at the sites below that receive the origin's state; the named
//	    writes rank behind it when they arrive.
//	U2  Once links heal and writing stops, every site of a line has applied the same writes and holds the same value of
//	    every subject, whatever the order of arrival. Evidence goes up and does not come down: the root site holds that of
//	    all sites (as much of it as WithRetention keeps), and every other site holds its own.
//	U3  No write is dropped without a receipt that reaches its origin: applied, or refused with the cause.
//	U4  A write that depends on a refused one is judged by the rule of its kind (Rules), the same at all sites.
//	U5  A site whose store was lost starts a new incarnation: the write numbers of two incarnations are never confused.
//	U6  The queue keeps its limits of bytes, number and age: evidence is merged first, then new writes are refused by
//	    kind, those about the safety of a host last. A burst does not starve an urgent write; an urgent write does not
//	    overtake what it depends on.
//	U7  A parent accepts no more writes than it granted credit for; its own writes go first.
//
// How it works. Every site keeps every write that the root site has not judged yet, in the order in which it applied them,
// and can therefore send any of them to any site above, whoever wrote it; writes that the other site has are left out.
// The root site judges a write when it applies it. The result is a version vector of the judged writes and a list of the
// refused ones. Both come down and serve as the receipts: an origin issues each receipt once, when the vector passes the
// write's number.
//
// Evidence has its own numbering and is outside the causal order: nothing waits for it unless a write names it as needed,
// so a site can do without the evidence of others. A site between the origin and the root site keeps it until the root
// site has judged it. Waiting evidence that a later piece of the same origin covers is emptied (Write.MergedInto): of each
// subject only the newest is carried.
//
// What comes down is state, not a log: for each subject the writes that still count. A write that no longer counts is
// dropped only when the write that overwrote it is judged and accepted. Two states can therefore be joined by their
// vectors alone: a write that one side does not hold although its vector covers it is obsolete.
package sitesync

import "time"

// Origin identifies one incarnation of one site's store and one of its lanes. Each lane numbers its writes separately:
// with a single sequence an urgent write would have to follow everything that its site wrote before, and other writes
// would have to follow evidence.
type Origin struct {
	Site        string `json:"site"`
	Incarnation uint64 `json:"life"` // of the store; higher than all earlier ones, never 0
	Urgent      bool   `json:"urgent,omitempty"`
	Evidence    bool   `json:"evidence,omitempty"`
}

// lanes is the number of lanes of an incarnation; see Origin.lane.
const lanes = 3

// Place is a site with the sites above it.
type Place struct {
	Site         string        `json:"site"`
	Level        int           `json:"level"`           // 0 is the province
	Incarnation  uint64        `json:"life"`            // of the store; higher than all earlier ones, never 0
	StoreCreated time.Duration `json:"born"`            // Unix time at which the store was made: the later of two incarnations is current
	Ancestors    []string      `json:"above,omitempty"` // the parent first; empty at the root site
}

// ID identifies a write. Numbers count up from 1 within an origin, without gaps.
type ID struct {
	Origin Origin `json:"origin"`
	Number uint64 `json:"number"`
}

// VersionVector holds for each origin the number up to which its writes have been applied. It is sorted by
// Origin.Compare.
type VersionVector []VectorEntry

// VectorEntry is one entry of a version vector.
type VectorEntry struct {
	Origin Origin `json:"origin"`
	Number uint64 `json:"number"`
}

// Kind is the type of a write. It decides how concurrent writes on a subject are resolved and which writes are refused
// first.
type Kind uint8

// The kinds, in the order in which they are refused when the queue fills up.
const (
	Evidence Kind = iota // measurements under a policy; mergeable, and merged in the queue before anything is refused
	Note                 // a remark on a policy
	Work                 // work requested, or done, on a host
	Policy               // a policy begun, halted, resumed or forced: a higher level takes precedence over a lower one
	Safety               // a host taken out of service, or put back, by an operator: out takes precedence over back
	kinds
)

// Kinds is the number of kinds.
const Kinds = int(kinds)

// Write is a write made at a site.
type Write struct {
	ID ID `json:"id"`
	// Dependencies are the writes to apply before this one, without those that an earlier write of the origin names.
	Dependencies VersionVector `json:"after,omitempty"`
	// Overwrites is the part of Dependencies that this write overwrites: the writes on its subject up to these numbers.
	Overwrites   VersionVector `json:"over,omitempty"`
	Needs        []ID          `json:"needs,omitempty"` // writes whose refusal this write shares, if its kind's rule says so
	Kind         Kind          `json:"kind"`
	Level        int           `json:"level"` // of the origin: 0 is the province
	Subject      string        `json:"thing"` // for example "host/g12" or "policy/<hash>"; concurrent writes on one subject are resolved
	Value        []byte        `json:"value,omitempty"`
	At           time.Duration `json:"at"` // Unix time, for display and for age limits; never for ordering
	By           string        `json:"by,omitempty"`
	Closes       bool          `json:"closes,omitempty"` // closes the subject for good: a write that had not seen it is refused
	StoreCreated time.Duration `json:"born,omitempty"`   // in the first write of an origin: when its store was made
	MergedInto   uint64        `json:"into,omitempty"`   // in emptied evidence: the number of the later piece of its origin that covers it
}

// Outcome is the root site's result for a write.
type Outcome uint8

// The outcomes.
const (
	Applied    Outcome = iota + 1
	Superseded         // applied, but a concurrent write takes precedence
	Refused            // not valid any more; Receipt.Why has the reason
	Orphaned           // depended on a refused write, and its kind's rule refuses it too
)

// Receipt reports the outcome of a write to its origin. Evidence that a later piece covers is applied together with
// that piece.
type Receipt struct {
	ID      ID      `json:"id"`
	Outcome Outcome `json:"outcome"`
	Why     string  `json:"why,omitempty"`
	Site    string  `json:"site"` // the site that issued it
}

// Limits bounds the queue of writes that the root site has not judged yet.
type Limits struct {
	Bytes  int
	Number int
	// Age is the age beyond which unsent evidence is dropped with a receipt. It also limits the wait for dependencies and for
	// ended incarnations.
	Age   time.Duration
	Batch int // writes in one call
	Held  int // writes kept although they arrived before their dependencies; the sender sends the others again
}

// LocalWrite is a write as submitted at its own site.
type LocalWrite struct {
	Kind    Kind   `json:"kind"`
	Subject string `json:"thing"`
	Value   []byte `json:"value,omitempty"`
	By      string `json:"by,omitempty"`
	Urgent  bool   `json:"urgent,omitempty"` // sent before all that it does not depend on; it depends on its subject, Needs and Token
	Closes  bool   `json:"closes,omitempty"` // accepted at the root site only
	Needs   []ID   `json:"needs,omitempty"`
	Token   string `json:"token,omitempty"` // from another site: see Site.Token
}

// Command is one entry about writes in the consensus group's log. At most one of the pointers is set; with none,
// the time advances and what is due by it is done: expiry, closing of incarnations and release of held writes.
type Command struct {
	Write  *LocalWrite  `json:"write,omitempty"`
	Offer  *Offer       `json:"offer,omitempty"` // proposed by the leader before writes leave the site
	Batch  *Batch       `json:"batch,omitempty"` // from a site below
	Down   *StateUpdate `json:"down,omitempty"`  // from a site above
	Limits *Limits      `json:"limits,omitempty"`
	Place  *Place       `json:"place,omitempty"` // changes the sites above, or the level
}

// Offer states that the site's own writes up to these numbers may be known elsewhere: they are not merged any more.
type Offer struct {
	Number   uint64 `json:"number"`
	Urgent   uint64 `json:"urgent"`
	Evidence uint64 `json:"evidence"`
}

// EffectKind is the type of an effect.
type EffectKind uint8

// The effects.
const (
	EffectApplied          EffectKind = iota // Write was applied here
	EffectMerged                             // evidence was merged into the write with this ID, which had not been sent yet
	EffectReceipt                            // Receipt is for a write of this site
	EffectRefused                            // a command was refused; Err has the reason
	EffectHeld                               // the write with this ID waits for its dependencies
	EffectIncarnationEnded                   // an incarnation of a site ended with its store; ID is its last known ordinary write
	EffectStaleStore                         // this store is older than what other sites know of it; ID is the last write that they know
)

// Effect is a consequence of applying a command.
type Effect struct {
	Kind    EffectKind
	Write   *Write
	ID      ID
	Receipt Receipt
	Err     error
}

// Resolved is the current value of a subject.
type Resolved struct {
	Write      Write   // the one that takes precedence
	Value      []byte  // its value; for evidence, all pieces merged
	Concurrent []Write // concurrent writes that Write takes precedence over; for kinds that coexist, all others in force
	Closed     bool
}
