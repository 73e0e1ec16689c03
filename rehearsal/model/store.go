package model

import (
	"sync"
	"sync/atomic"
)

const (
	shardBits = 8
	shards    = 1 << shardBits
	// firstSlots is the size of a shard's table at the start; it doubles at a load of three quarters.
	firstSlots = 1 << 10
	maxLocal   = 1<<(32-shardBits) - 2
	noState    = ^uint32(0)
)

// store is the set of visited states: of each, its fingerprint, and by its number the parent and what the liveness
// check needs. Numbers are dense: the place within a shard, then the shard.
//
// Most steps lead to a state that is there already, so looking up takes no lock: a slot's number is written before its
// key, and a table that grows is replaced as a whole, the old one staying as it was.
type store struct {
	shard [shards]shard
	bytes atomic.Int64 // held by tables and lists
	limit int64
}

type shard struct {
	sync.Mutex // for additions
	table      atomic.Pointer[table]
	parents    []uint32 // from here on by the place within the shard
	pending    []uint8
	_          [64]byte // keeps the locks of two shards apart
}

type table struct {
	keys []uint64 // fingerprints, 0 for an empty slot; read and written atomically
	ids  []uint32 // the number of each
}

func newTable(slots int) *table { return &table{make([]uint64, slots), make([]uint32, slots)} }

func newStore(limit int64) *store {
	s := &store{limit: limit}
	for i := range s.shard {
		s.shard[i].table.Store(newTable(firstSlots))
	}
	s.bytes.Store(shards * firstSlots * 12)
	return s
}

// add puts a state in, unless it is there. It returns its number, whether it is new, and false for lack of room.
func (s *store) add(fp uint64, parent uint32, pending uint8) (id uint32, fresh, room bool) {
	fp = max(fp, 1)
	n := uint32(fp >> (64 - shardBits))
	h := &s.shard[n]
	t := h.table.Load()
	if at, found := t.find(fp); found {
		return t.ids[at], false, true
	}
	h.Lock()
	defer h.Unlock()
	t = h.table.Load()
	at, found := t.find(fp)
	if found {
		return t.ids[at], false, true
	}
	if len(h.parents)*4 >= len(t.keys)*3 {
		if t = s.grow(h, t); t == nil {
			return 0, false, false
		}
		at, _ = t.find(fp)
	}
	if len(h.parents) >= maxLocal {
		return 0, false, false
	}
	id = uint32(len(h.parents))<<shardBits | n
	before := cap(h.parents)
	h.parents, h.pending = append(h.parents, parent), append(h.pending, pending)
	if more := cap(h.parents) - before; more > 0 {
		s.bytes.Add(int64(more) * 5)
	}
	atomic.StoreUint32(&t.ids[at], id)
	atomic.StoreUint64(&t.keys[at], fp)
	return id, true, true
}

// touch reads the first place of each state in the tables. What it returns has no meaning, but keeps the reads.
func touch[S any](s *store, list []succ[S]) (sum uint64) {
	for i := range list {
		fp := max(list[i].fp, 1)
		t := s.shard[fp>>(64-shardBits)].table.Load()
		at := slot(fp) & uint64(len(t.keys)-1)
		sum += atomic.LoadUint64(&t.keys[at]) + uint64(atomic.LoadUint32(&t.ids[at]))
	}
	return sum
}

// slot is where a fingerprint belongs, less the size of the table. The low bits choose, spread by a multiplication: a
// model's coding must not matter.
func slot(fp uint64) uint64 { return fp * 0x9e3779b97f4a7c15 >> 20 }

// find returns the slot of a fingerprint, or the empty one where it belongs.
func (t *table) find(fp uint64) (at int, found bool) {
	mask := uint64(len(t.keys) - 1)
	for i := slot(fp) & mask; ; i = (i + 1) & mask {
		switch atomic.LoadUint64(&t.keys[i]) {
		case fp:
			return int(i), true
		case 0:
			return int(i), false
		}
	}
}

// grow doubles a shard's table, unless that would exceed the memory allowed.
func (s *store) grow(h *shard, old *table) *table {
	size := len(old.keys) * 2
	more := int64(size-len(old.keys)) * 12
	if s.bytes.Load()+more > s.limit {
		return nil
	}
	s.bytes.Add(more)
	t := newTable(size)
	for i, fp := range old.keys {
		if fp != 0 {
			at, _ := t.find(fp)
			t.keys[at], t.ids[at] = fp, old.ids[i]
		}
	}
	h.table.Store(t)
	return t
}

func (s *store) parent(id uint32) uint32 { return s.shard[id%shards].parents[id>>shardBits] }
func (s *store) pending(id uint32) uint8 { return s.shard[id%shards].pending[id>>shardBits] }

// places is one more than the highest number.
func (s *store) places() uint32 {
	most := 0
	for i := range s.shard {
		most = max(most, len(s.shard[i].parents))
	}
	return uint32(most) << shardBits
}

func (s *store) has(id uint32) bool {
	return int(id>>shardBits) < len(s.shard[id%shards].parents)
}

// edges keeps, for one worker, the steps between pending states that the liveness check walks. They stand in blocks,
// so that nothing is copied as they grow.
type edges struct {
	from  []edgeList
	to    [][]uint32
	class [][]Fairness
	bytes int64
}

type edgeList struct {
	state   uint32
	block   uint32
	at      uint32
	n       uint32
	enabled Fairness // classes of all steps of the state, also of those that are not kept
	end     bool     // the state has no steps at all
}

const edgeBlock = 1 << 16

// begin opens the list of a state that has at most n steps.
func (e *edges) begin(state uint32, n int) *edgeList {
	last := len(e.to) - 1
	if last < 0 || cap(e.to[last])-len(e.to[last]) < n {
		size := max(edgeBlock, n)
		e.to, e.class = append(e.to, make([]uint32, 0, size)), append(e.class, make([]Fairness, 0, size))
		e.bytes += int64(size) * 5
		last++
	}
	before := cap(e.from)
	e.from = append(e.from, edgeList{state: state, block: uint32(last), at: uint32(len(e.to[last]))})
	e.bytes += int64(cap(e.from)-before) * 20
	return &e.from[len(e.from)-1]
}

func (e *edges) add(to uint32, class Fairness, keep bool) {
	l := &e.from[len(e.from)-1]
	l.enabled |= class
	if keep {
		e.to[l.block], e.class[l.block] = append(e.to[l.block], to), append(e.class[l.block], class)
		l.n++
	}
}
