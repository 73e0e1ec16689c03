// Package sitesync carries what is written at a site to the sites above it, and decisions down again. Site is the state
// that a site's council replicates: commands in, effects out, the same at each seat, no I/O and no clock; the time is
// the one that the council's leader stamped.
//
// The properties:
//
//	U1  A write is applied at most once at each site, by whatever route and however often it comes, and only after all
//	    that it depends on (causal order). One exception: where a token names what has not come yet, the write holds at once
//	    at its origin and at the sites below that take the origin's state; what was named goes behind it when it comes.
//	U2  Once links heal and nobody writes any more, every site of a line has applied the same writes and holds the same
//	    value of every thing, in whatever order they came. Evidence goes up and does not come down: the top holds that of
//	    all (what Keeping keeps of it), and every other site holds what it wrote itself.
//	U3  No write is dropped without a receipt that reaches its origin: applied, or refused with the cause.
//	U4  What depends on a refused write is judged by its kind's rule (Rules), the same at all sites.
//	U5  A store that was lost starts a new life of its origin: numbers of the two lives are never taken for one another.
//	U6  The queue keeps its limits of bytes, number and age: evidence is merged first, then new writes are refused by
//	    kind, the safety of a host last. A burst does not starve an urgent write; an urgent one does not overtake what it
//	    depends on.
//	U7  A parent takes no more than it gave credit for; its own writes go first.
//
// How it works. Every site keeps every write that the top of the line has not judged yet, in the order in which it applied
// them, and can therefore replay any of them to any site above, whoever wrote it: what the other has is left out. The top
// judges a write when it applies it. Its word is a vector of what is judged and a list of what was not taken; both come
// down, and are the receipts: an origin reads them off once, as the vector passes its own numbers.
//
// Evidence counts by itself and stands outside the causal order: nothing waits for it, unless it names it as needed, and so
// a site can go without that of others. A site between the origin and the top keeps it until the top has judged it. What a
// later one of its origin says as well is emptied while it still waits (Into): of each thing only the newest is carried.
//
// Down comes state and not a log: of each thing the writes that still count. A write that counts no more is forgotten
// only when what was written over it is judged and taken, so that two states are joined by their vectors alone: what one
// side has not and its vector covers is over.
package sitesync

import "time"

// Origin is one life of one site: whoever loses its store begins another. Urgent writes count by themselves, or the number
// would put them behind all that their site wrote before; and so does evidence, or others would stand behind it.
type Origin struct {
	Site        string `json:"site"`
	Incarnation uint64 `json:"life"` // of the store, above those before it; never 0
	Urgent      bool   `json:"urgent,omitempty"`
	Evidence    bool   `json:"evidence,omitempty"`
}

// lanes is how many origins each life of a site has: see Origin.lane.
const lanes = 3

// Place is a site with the sites above it.
type Place struct {
	Site         string        `json:"site"`
	Level        int           `json:"level"`           // 0 is the province
	Incarnation  uint64        `json:"life"`            // of the store, above those before it; never 0
	StoreCreated time.Duration `json:"born"`            // Unix time when the store was made: the later of two lives is the one that lives
	Ancestors    []string      `json:"above,omitempty"` // the parent first; none at the top
}

// ID names a write: the number counts up from 1 within its origin, without gaps.
type ID struct {
	Origin Origin `json:"origin"`
	Number uint64 `json:"number"`
}

// Seen is a version vector: of each origin, up to which number its writes have been applied. Sorted by site and life.
type VersionVector []VectorEntry

// Mark is one entry of a vector.
type VectorEntry struct {
	Origin Origin `json:"origin"`
	Number uint64 `json:"number"`
}

// Kind is what a write is about, which decides how two concurrent ones are settled and which is refused first.
type Kind uint8

// The kinds, the first to be refused first.
const (
	Evidence Kind = iota // counts under a policy: mergeable; merged in the queue before anything is refused
	Note                 // on a policy
	Work                 // work asked for, or done, on a host
	Policy               // a policy begun, halted, resumed or forced: the higher level's goes before the lower's
	Safety               // a host out or back by hand: out goes before back
	kinds
)

// Kinds is how many there are.
const Kinds = int(kinds)

// Write is something written at a site.
type Write struct {
	ID           ID            `json:"id"`
	Dependencies VersionVector `json:"after,omitempty"` // what its writer had seen: applied before it; without what the origin's write before it named
	Overwrites   VersionVector `json:"over,omitempty"`  // of After, what it was written over: the writes on this thing up to these
	Needs        []ID          `json:"needs,omitempty"` // writes that it falls with, by its kind's rule
	Kind         Kind          `json:"kind"`
	Level        int           `json:"level"` // of the origin: 0 is the province
	Subject      string        `json:"thing"` // what it is about: "host/g12", "policy/<hash>"; concurrent writes on one thing are settled
	Value        []byte        `json:"value,omitempty"`
	At           time.Duration `json:"at"` // Unix time, for people and for age; never for order
	By           string        `json:"by,omitempty"`
	Closes       bool          `json:"closes,omitempty"` // ends the thing for good: what did not see it is refused
	StoreCreated time.Duration `json:"born,omitempty"`   // of the origin's first write: when its life began
	MergedInto   uint64        `json:"into,omitempty"`   // of evidence without thing and value: the later one of its origin that says it too
}

// Outcome is what became of a write at the top of its way.
type Outcome uint8

// The outcomes.
const (
	Applied    Outcome = iota + 1
	Superseded         // applied, and settled against a concurrent one that goes before it
	Refused            // not valid any more; Why says it
	Orphaned           // it depended on a refused one, and its kind's rule is that it falls with it
)

// Receipt comes back to the origin of a write. Evidence that a later one says as well is applied with that one.
type Receipt struct {
	ID      ID      `json:"id"`
	Outcome Outcome `json:"outcome"`
	Why     string  `json:"why,omitempty"`
	Site    string  `json:"site"` // who says so
}

// Limits bound the queue of what the parent has not acknowledged.
type Limits struct {
	Bytes  int
	Number int
	Age    time.Duration // evidence older than this is merged into its successor or dropped with a receipt
	Batch  int           // writes in one call
	Held   int           // writes that came before what they depend on and are kept; the others are asked for again
}

// Local is a write as it is handed in at its own site.
type LocalWrite struct {
	Kind    Kind   `json:"kind"`
	Subject string `json:"thing"`
	Value   []byte `json:"value,omitempty"`
	By      string `json:"by,omitempty"`
	Urgent  bool   `json:"urgent,omitempty"` // it goes before what it does not depend on: its thing, Needs and Token
	Closes  bool   `json:"closes,omitempty"` // at the top only
	Needs   []ID   `json:"needs,omitempty"`
	Token   string `json:"token,omitempty"` // of another site: see Site.Token
}

// Command is one entry of the council's log about writes: one of the pointers is set, none for the time alone.
type Command struct {
	Write  *LocalWrite  `json:"write,omitempty"`
	Offer  *Offer       `json:"offer,omitempty"` // by the leader, before writes leave the site
	Batch  *Batch       `json:"batch,omitempty"` // from below
	Down   *StateUpdate `json:"down,omitempty"`  // from above
	Limits *Limits      `json:"limits,omitempty"`
	Place  *Place       `json:"place,omitempty"` // other sites above, or another level
}

// Offer says that the site's own writes up to these numbers may be known elsewhere: they are not merged any more.
type Offer struct {
	Number   uint64 `json:"number"`
	Urgent   uint64 `json:"urgent"`
	Evidence uint64 `json:"evidence"`
}

// EffectKind names an effect.
type EffectKind uint8

// The effects.
const (
	EffectApplied          EffectKind = iota // Write is applied here
	EffectMerged                             // evidence was merged into the write of ID, which had not left yet
	EffectReceipt                            // of a write of this site
	EffectRefused                            // a command was refused; Err says it
	EffectHeld                               // the write of ID waits for what it depends on
	EffectIncarnationEnded                   // a life of a site has ended with its store; ID is the last write of it that is known
	EffectStaleStore                         // this store is older than what it has told before: ID is what is known of it above
)

// Effect is something that an application of a command brings.
type Effect struct {
	Kind    EffectKind
	Write   *Write
	ID      ID
	Receipt Receipt
	Err     error
}

// Settled is what holds of a thing.
type Resolved struct {
	Write      Write   // the one that goes first
	Value      []byte  // its value; of evidence, all merged
	Concurrent []Write // concurrent ones that it was settled against; of notes, those that stand as well
	Closed     bool
}
