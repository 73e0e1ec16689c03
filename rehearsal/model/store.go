package model

import (
	"sync"
	"sync/atomic"
)

const (
	shardBits  = 8
	shardCount = 1 << shardBits
	// initialSlots is the initial size of a shard's table. The table doubles when it is three quarters full.
	initialSlots   = 1 << 10
	maxShardStates = 1<<(32-shardBits) - 2
	noState        = ^uint32(0)
)

// store is the set of visited states. It holds the fingerprint of each state and, by state number, its parent and what
// the liveness check needs. A number consists of the index within a shard and the shard, so that the numbers of a shard
// are dense.
//
// Most steps lead to a state that is already present, so lookups take no lock: the number of a slot is written before
// its key, and a table that grows is replaced as a whole while the old one stays unchanged.
type store struct {
	shard [shardCount]shard
	bytes atomic.Int64 // allocated for tables and lists
	limit int64
}

type shard struct {
	sync.Mutex // for additions
	table      atomic.Pointer[table]
	parents    []uint32 // this and the following lists: by index within the shard
	pending    []uint8
	_          [64]byte // puts the locks of two shards on different cache lines
}

type table struct {
	keys []uint64 // fingerprints, 0 for an empty slot; read and written atomically
	ids  []uint32 // state numbers
}

func newTable(slots int) *table { return &table{make([]uint64, slots), make([]uint32, slots)} }

func newStore(limit int64) *store {
	s := &store{limit: limit}
	for i := range s.shard {
		s.shard[i].table.Store(newTable(initialSlots))
	}
	s.bytes.Store(shardCount * initialSlots * 12)
	return s
}

// add adds a state unless it is already present. It returns the state's number, whether the state is new, and false if
// there is no room.
func (s *store) add(fp uint64, parent uint32, pending uint8) (id uint32, isNew, fits bool) {
	fp = max(fp, 1)
	shardIndex := uint32(fp >> (64 - shardBits))
	sh := &s.shard[shardIndex]
	t := sh.table.Load()
	if index, found := t.find(fp); found {
		return t.ids[index], false, true
	}
	sh.Lock()
	defer sh.Unlock()
	t = sh.table.Load()
	index, found := t.find(fp)
	if found {
		return t.ids[index], false, true
	}
	if len(sh.parents)*4 >= len(t.keys)*3 {
		if t = s.grow(sh, t); t == nil {
			return 0, false, false
		}
		index, _ = t.find(fp)
	}
	if len(sh.parents) >= maxShardStates {
		return 0, false, false
	}
	id = uint32(len(sh.parents))<<shardBits | shardIndex
	before := cap(sh.parents)
	sh.parents, sh.pending = append(sh.parents, parent), append(sh.pending, pending)
	if more := cap(sh.parents) - before; more > 0 {
		s.bytes.Add(int64(more) * 5)
	}
	atomic.StoreUint32(&t.ids[index], id)
	atomic.StoreUint64(&t.keys[index], fp)
	return id, true, true
}

// prefetch reads the first slot of each state in the tables, to load it into the cache. The result has no meaning; it
// only keeps the compiler from removing the reads.
func prefetch[S any](s *store, list []succ[S]) (sum uint64) {
	for i := range list {
		fp := max(list[i].fp, 1)
		t := s.shard[fp>>(64-shardBits)].table.Load()
		slot := homeSlot(fp) & uint64(len(t.keys)-1)
		sum += atomic.LoadUint64(&t.keys[slot]) + uint64(atomic.LoadUint32(&t.ids[slot]))
	}
	return sum
}

// homeSlot returns the slot of a fingerprint before it is reduced to the size of the table. The multiplication spreads
// the fingerprint, so that the encoding of a model does not matter.
func homeSlot(fp uint64) uint64 { return fp * 0x9e3779b97f4a7c15 >> 20 }

// find returns the slot of a fingerprint, or the empty slot where it belongs.
func (t *table) find(fp uint64) (slot int, found bool) {
	mask := uint64(len(t.keys) - 1)
	for i := homeSlot(fp) & mask; ; i = (i + 1) & mask {
		switch atomic.LoadUint64(&t.keys[i]) {
		case fp:
			return int(i), true
		case 0:
			return int(i), false
		}
	}
}

// grow doubles a shard's table. It returns nil if that would exceed the memory limit.
func (s *store) grow(sh *shard, old *table) *table {
	size := len(old.keys) * 2
	more := int64(size-len(old.keys)) * 12
	if s.bytes.Load()+more > s.limit {
		return nil
	}
	s.bytes.Add(more)
	t := newTable(size)
	for i, fp := range old.keys {
		if fp != 0 {
			index, _ := t.find(fp)
			t.keys[index], t.ids[index] = fp, old.ids[i]
		}
	}
	sh.table.Store(t)
	return t
}

func (s *store) parent(id uint32) uint32 { return s.shard[id%shardCount].parents[id>>shardBits] }
func (s *store) pending(id uint32) uint8 { return s.shard[id%shardCount].pending[id>>shardBits] }

// idBound returns an exclusive upper bound of the state numbers.
func (s *store) idBound() uint32 {
	maxLen := 0
	for i := range s.shard {
		maxLen = max(maxLen, len(s.shard[i].parents))
	}
	return uint32(maxLen) << shardBits
}

func (s *store) has(id uint32) bool {
	return int(id>>shardBits) < len(s.shard[id%shardCount].parents)
}

// edges holds, for one worker, the edges between pending states, for the liveness check. They are stored in blocks, so
// that nothing is copied as the list grows.
type edges struct {
	from  []edgeList
	to    [][]uint32
	class [][]Fairness
	bytes int64
}

type edgeList struct {
	state    uint32
	block    uint32
	offset   uint32
	count    uint32
	enabled  Fairness // classes of all steps of the state, including those that are not kept
	terminal bool     // the state has no steps
}

const edgeBlock = 1 << 16

// beginState starts the edge list of a state that has at most n steps.
func (e *edges) beginState(state uint32, n int) *edgeList {
	last := len(e.to) - 1
	if last < 0 || cap(e.to[last])-len(e.to[last]) < n {
		size := max(edgeBlock, n)
		e.to, e.class = append(e.to, make([]uint32, 0, size)), append(e.class, make([]Fairness, 0, size))
		e.bytes += int64(size) * 5
		last++
	}
	before := cap(e.from)
	e.from = append(e.from, edgeList{state: state, block: uint32(last), offset: uint32(len(e.to[last]))})
	e.bytes += int64(cap(e.from)-before) * 20
	return &e.from[len(e.from)-1]
}

func (e *edges) add(to uint32, class Fairness, keep bool) {
	l := &e.from[len(e.from)-1]
	l.enabled |= class
	if keep {
		e.to[l.block], e.class[l.block] = append(e.to[l.block], to), append(e.class[l.block], class)
		l.count++
	}
}
