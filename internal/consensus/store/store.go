// Package store keeps a seat's log, hard state, snapshot and identity in one bbolt file, and the notes of the rest of
// control beside them. What Save returned for is durable.
//
// bbolt trusts its file. So Open looks first, and then writes a file anew from what it read: the file has to be as long as its newest meta page says, every record
// carries a checksum of its own, and a sum over all records, changed in the same transaction as they are, has to come out
// right. What opens is a state that was committed as a whole. That it is the *last* one cannot be told from the file
// alone: a file from a copy is sound too, and if the newest meta page is damaged bbolt takes the transaction before it.
// Both are old stores, which package council's Register and Seat.Hear are there for.
package store

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"lichenhitch/internal/consensus"
)

// Identity is whose store it is. Site and Node are given; the rest comes from the store.
type Identity struct {
	Site, Node string
	Life       uint64 // random, of this store
	// SeatLife is random too, and Seat is derived from it. A store that has no snapshot yet is given another one with every
	// opening: nothing tells it from one put back from before its seat was taken in, and this way it is a stranger.
	SeatLife uint64
	Boot     uint64 // the how manieth opening this is, from 1
	Run      uint64 // random, of this opening
	Seat     consensus.SeatID
	// Witness is given: a file on a file system in memory, which no copy of a disk brings back. While the machine runs it
	// proves to the next process that the store is the one that the last process left, and Proven is set. Empty: none.
	Witness string
	Proven  bool
}

// Store is open in one process at a time. Its methods may be called from one thread at a time.
type Store struct {
	path   string
	db     *bbolt.DB
	who    Identity
	put    *raftpb.HardState // the durable one
	held   *raftpb.HardState // newer by its commit index alone: goes with the next transaction
	last   uint64            // of the log
	first  uint64
	count  uint64   // of transactions, since the store was made
	seen   *os.File // the witness, or nil
	lock   *os.File
	failed error
}

const (
	version    = 1
	lockWithin = 200 * time.Millisecond // what another process is given to let go of the file
	own        = "own/"                 // prefix of the buckets of Put and Get
)

var (
	bucketWho   = []byte("identity")
	bucketState = []byte("state")
	bucketLog   = []byte("log")
	bucketSum   = []byte("sum")

	keyWho     = []byte("who")
	keyRefused = []byte("refused")
	keyHard    = []byte("hard")
	keySnap    = []byte("snapshot")
	keySum     = []byte("sum")
)

// Open opens the store at path, and makes a new one where there is no file. It counts the opening.
func Open(path string, who Identity) (*Store, consensus.Durable, error) {
	return open(path, who, bbolt.Options{})
}

func open(path string, who Identity, opts bbolt.Options) (_ *Store, _ consensus.Durable, err error) {
	s := &Store{path: path}
	var d consensus.Durable
	if s.lock, err = lock(path); err != nil {
		return nil, d, err
	}
	defer func() {
		if err != nil {
			_ = s.Close()
		}
	}()
	records, count := []record{}, uint64(0)
	if _, err := os.Stat(path); err == nil {
		// A look without the right to write: of damaged pages bbolt would free some that are in use, or die of them.
		if err := s.look(func(tx *bbolt.Tx) error {
			c, err := read(path, tx)
			records, count = c.records, c.count
			return err
		}); err != nil {
			return nil, d, err
		}
	} else if errors.Is(err, os.ErrNotExist) {
		made := Identity{Site: who.Site, Node: who.Node, Life: random()}
		records = []record{{bucketWho, keyWho, made.bytes()}}
	} else {
		return nil, d, &WriteError{Path: path, Err: err}
	}
	if err := build(path, records, count); err != nil {
		return nil, d, err
	}
	opts.Timeout, opts.NoFreelistSync, opts.FreelistType = lockWithin, true, bbolt.FreelistMapType
	err = guarded(path, func() (err error) {
		s.db, err = bbolt.Open(path, 0o600, &opts)
		return err
	})
	if err != nil {
		return nil, d, err
	}
	err = guarded(path, func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			c, err := read(path, tx)
			if err != nil {
				return err
			}
			s.who = c.who
			s.put, d = c.d.HardState, c.d
			s.first, s.last, s.count = c.first, c.last, c.count
			return nil
		})
	})
	if err == nil && (s.who.Site != who.Site || s.who.Node != who.Node) {
		err = &WrongStoreError{Path: path, Has: s.who, Want: who}
	}
	if err == nil && who.Witness != "" {
		s.who.Witness = who.Witness
		s.seen, s.who.Proven, err = witness(who.Witness, s.who, s.count)
	}
	if err == nil {
		s.who.Boot++
		s.who.Run = random()
		fresh := d.Snapshot == nil && !s.who.Proven
		if fresh {
			s.who.SeatLife = random()
			d, s.put, s.first, s.last = consensus.Durable{}, nil, 0, 0
		}
		s.who.Seat = consensus.SeatOf(s.who.Site+"/"+s.who.Node, s.who.SeatLife)
		err = s.update(func(t *transaction) error {
			if fresh {
				for _, gone := range [][2][]byte{{bucketState, keyHard}, {bucketWho, keyRefused}} {
					if err := t.put(gone[0], gone[1], nil); err != nil {
						return err
					}
				}
			}
			return t.put(bucketWho, keyWho, s.who.bytes())
		})
	}
	if err != nil {
		return nil, consensus.Durable{}, err
	}
	return s, d, nil
}

// look opens the file for reading alone and calls f.
func (s *Store) look(f func(tx *bbolt.Tx) error) error {
	if err := whole(s.path); err != nil {
		return err
	}
	return guarded(s.path, func() error {
		db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockWithin})
		if err != nil {
			return err
		}
		tx, err := db.Begin(false)
		if err != nil {
			_ = db.Close()
			return err
		}
		// A panic must not leave the file open: its map would keep the lock for good.
		err = guarded(s.path, func() error { return f(tx) })
		_ = tx.Rollback()
		return errors.Join(err, db.Close())
	})
}

// guarded turns what bbolt does about a bad file into errors: its own, its panics and faults on pages that are not there.
func guarded(path string, f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &DamagedError{Path: path, Why: fmt.Sprint(p)}
		}
	}()
	err = f()
	var known interface{ Action() string }
	switch {
	case err == nil || errors.As(err, &known):
		return err
	case errors.Is(err, berrors.ErrTimeout):
		return &InUseError{Path: path}
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch):
		return &DamagedError{Path: path, Why: err.Error()}
	}
	var perr *os.PathError
	if errors.As(err, &perr) {
		return &WriteError{Path: path, Err: err}
	}
	return &DamagedError{Path: path, Why: err.Error()}
}

// whole says whether the file is as long as bbolt's newest sound meta page has it. A page beyond the end of the file would
// be a fault in the middle of a read.
func whole(path string) error {
	const head, sumAt = 16, 56 // of a page; of the checksum in a meta page: what is before it is summed up
	f, err := os.Open(path)
	if err != nil {
		return &WriteError{Path: path, Err: err}
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return &WriteError{Path: path, Err: err}
	}
	var need, newest, pageSize uint64
	meta := func(at int64) bool {
		var b [head + sumAt + 8]byte
		if _, err := f.ReadAt(b[:], at); err != nil {
			return false
		}
		m := b[head:]
		n := binary.NativeEndian
		if n.Uint32(m) != 0xED0CDAED || n.Uint64(m[sumAt:]) != fnv1a(m[:sumAt]) {
			return false
		}
		pageSize = uint64(n.Uint32(m[8:]))
		if tx := n.Uint64(m[48:]); tx >= newest {
			newest, need = tx, n.Uint64(m[40:])*pageSize
		}
		return true
	}
	ok := meta(0)
	if pageSize == 0 {
		pageSize = uint64(os.Getpagesize())
	}
	if !meta(int64(pageSize)) && !ok {
		return &DamagedError{Path: path, Why: fmt.Sprintf("no sound meta page in its %d bytes", info.Size())}
	}
	if uint64(info.Size()) < max(need, 2*pageSize) {
		return &DamagedError{Path: path, Why: fmt.Sprintf("it has %d bytes of %d", info.Size(), need)}
	}
	return nil
}

// lock takes the lock of the store, which is on a file beside it: the store itself is replaced.
func lock(path string) (*os.File, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, &WriteError{Path: path, Err: err}
	}
	f, err := os.OpenFile(path+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, &WriteError{Path: path, Err: err}
	}
	for until := time.Now().Add(lockWithin); ; time.Sleep(lockWithin / 10) {
		if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return f, nil
		}
		if time.Now().After(until) {
			_ = f.Close()
			return nil, &InUseError{Path: path}
		}
	}
}

// build writes a file of these records under another name and puts it in the place of the store: pages that were damaged,
// and do no harm to the records yet, are not written to any more, and the file is as small as it can be.
func build(path string, records []record, count uint64) error {
	temp := path + ".new"
	if err := os.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return &WriteError{Path: path, Err: err}
	}
	defer os.Remove(temp)
	err := guarded(temp, func() error {
		db, err := bbolt.Open(temp, 0o600, &bbolt.Options{Timeout: lockWithin, NoFreelistSync: true})
		if err != nil {
			return err
		}
		s := &Store{path: path, db: db, count: count - 1} // the same transactions, counted: update adds one
		err = s.update(func(t *transaction) error {
			for _, r := range records {
				if err := t.put(r.bucket, r.key, r.value); err != nil {
					return err
				}
			}
			return nil
		})
		return errors.Join(err, db.Close())
	})
	if err != nil {
		return err
	}
	if err := os.Rename(temp, path); err != nil {
		return &WriteError{Path: path, Err: err}
	}
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return &WriteError{Path: path, Err: err}
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return &WriteError{Path: path, Err: err}
	}
	return nil
}

// random is never 0.
func random() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return max(binary.LittleEndian.Uint64(b[:]), 1)
}

func fnv1a(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}

// bytes are version, life, boot, run, the seat's life, then site and node with a zero byte between.
func (w Identity) bytes() []byte {
	b := []byte{version}
	b = binary.BigEndian.AppendUint64(b, w.Life)
	b = binary.BigEndian.AppendUint64(b, w.Boot)
	b = binary.BigEndian.AppendUint64(b, w.Run)
	b = binary.BigEndian.AppendUint64(b, w.SeatLife)
	b = append(append(append(b, w.Site...), 0), w.Node...)
	return b
}

func identity(b []byte) (Identity, error) {
	if len(b) < 34 || b[0] != version {
		return Identity{}, errors.New("its identity is none of this release's")
	}
	site, node, ok := bytes.Cut(b[33:], []byte{0})
	if !ok {
		return Identity{}, errors.New("its identity names no node")
	}
	n := binary.BigEndian
	return Identity{
		Life: n.Uint64(b[1:]), Boot: n.Uint64(b[9:]), Run: n.Uint64(b[17:]), SeatLife: n.Uint64(b[25:]),
		Site: string(site), Node: string(node),
	}, nil
}

// content is all that a store has for the seat.
type content struct {
	who         Identity
	d           consensus.Durable
	first, last uint64
	count       uint64
	records     []record
}

type record struct{ bucket, key, value []byte }

// read goes through all records of the file, checks them, and returns those of the seat.
func read(path string, tx *bbolt.Tx) (content, error) {
	var c content
	bad := func(format string, a ...any) (content, error) {
		return c, &DamagedError{Path: path, Why: fmt.Sprintf(format, a...)}
	}
	var sum, want uint64
	most := tx.Size() // more records than bytes: the pages go round in a circle
	err := tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
		isSum := bytes.Equal(name, bucketSum)
		cur := b.Cursor()
		for k, v := cur.First(); k != nil; k, v = cur.Next() {
			if most--; most < 0 {
				return errors.New("its pages go round in a circle")
			}
			if isSum {
				if len(v) == 16 {
					want, c.count = binary.BigEndian.Uint64(v), binary.BigEndian.Uint64(v[8:])
				}
				continue
			}
			value, err := unseal(name, k, v)
			if err != nil {
				return err
			}
			sum += hash(name, k, value)
			c.records = append(c.records, record{bytes.Clone(name), bytes.Clone(k), append([]byte{}, value...)})
			if err := c.take(name, k, value); err != nil {
				return fmt.Errorf("record %q of %q: %w", k, name, err)
			}
		}
		return nil
	})
	if err != nil {
		return bad("%v", err)
	}
	if sum != want {
		return bad("the sum over its records is %x and has to be %x", sum, want)
	}
	if c.who.Life == 0 {
		return bad("it has no identity")
	}
	c.d.Applied = c.d.Snapshot.GetMetadata().GetIndex()
	// Entries that were kept behind the snapshot are of no use any more.
	for len(c.d.Entries) > 0 && c.d.Entries[0].GetIndex() <= c.d.Applied {
		c.d.Entries = c.d.Entries[1:]
	}
	return c, nil
}

func (c *content) take(bucket, key, value []byte) (err error) {
	switch {
	case bytes.Equal(bucket, bucketWho) && bytes.Equal(key, keyWho):
		c.who, err = identity(value)
	case bytes.Equal(bucket, bucketWho) && bytes.Equal(key, keyRefused):
		c.d.Refused = string(value)
	case bytes.Equal(bucket, bucketState) && bytes.Equal(key, keyHard):
		c.d.HardState = &raftpb.HardState{}
		err = proto.Unmarshal(value, c.d.HardState)
	case bytes.Equal(bucket, bucketState) && bytes.Equal(key, keySnap):
		c.d.Snapshot = &raftpb.Snapshot{}
		err = proto.Unmarshal(value, c.d.Snapshot)
	case bytes.Equal(bucket, bucketLog):
		e := &raftpb.Entry{}
		if err = proto.Unmarshal(value, e); err != nil {
			return err
		}
		if len(key) != 8 || binary.BigEndian.Uint64(key) != e.GetIndex() || c.last != 0 && e.GetIndex() != c.last+1 {
			return fmt.Errorf("entry %d follows entry %d", e.GetIndex(), c.last)
		}
		if c.last = e.GetIndex(); c.first == 0 {
			c.first = c.last
		}
		c.d.Entries = append(c.d.Entries, e)
	}
	return err
}

// hash is of one record: where it is and what it says.
func hash(bucket, key, value []byte) uint64 {
	var n [8]byte
	h := xxhash.New()
	for _, part := range [][]byte{bucket, key, value} {
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

func seal(bucket, key, value []byte) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(value)), hash(bucket, key, value)), value...)
}

func unseal(bucket, key, sealed []byte) ([]byte, error) {
	if len(sealed) < 8 || binary.BigEndian.Uint64(sealed) != hash(bucket, key, sealed[8:]) {
		return nil, fmt.Errorf("record %q of %q has another checksum", key, bucket)
	}
	return sealed[8:], nil
}

// witness opens the witness, and says whether it proves the store: it was written last by the process that opened the store
// last, and the store has all transactions that it tells of. The witness is written after each transaction and before
// anything that rests on it is sent.
func witness(path string, who Identity, count uint64) (*os.File, bool, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, false, &WriteError{Path: path, Err: err}
	}
	var fs unix.Statfs_t
	if err := unix.Fstatfs(int(f.Fd()), &fs); err != nil {
		_ = f.Close()
		return nil, false, &WriteError{Path: path, Err: err}
	}
	if fs.Type != unix.TMPFS_MAGIC {
		_ = f.Close()
		return nil, false, &WitnessError{Path: path}
	}
	var b [24]byte
	n := binary.BigEndian
	if _, err := f.ReadAt(b[:], 0); err != nil || n.Uint64(b[16:]) != xxhash.Sum64(b[:16]) {
		return f, false, nil
	}
	return f, n.Uint64(b[:]) == who.Run && n.Uint64(b[8:]) <= count, nil
}

// testify writes the witness: run, transactions, checksum.
func (s *Store) testify() error {
	if s.seen == nil {
		return nil
	}
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.who.Run), s.count)
	if _, err := s.seen.WriteAt(binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)), 0); err != nil {
		return &WriteError{Path: s.who.Witness, Err: err}
	}
	return nil
}

// transaction keeps the sum over all records up with what it changes.
type transaction struct {
	tx  *bbolt.Tx
	sum uint64
}

func (t *transaction) drop(b *bbolt.Bucket, name, key []byte) error {
	old := b.Get(key)
	if old == nil {
		return nil
	}
	value, err := unseal(name, key, old)
	if err != nil {
		return err
	}
	t.sum -= hash(name, key, value)
	return b.Delete(key)
}

// put writes a record; a value of nil deletes it.
func (t *transaction) put(name, key, value []byte) error {
	b, err := t.tx.CreateBucketIfNotExists(name)
	if err != nil {
		return err
	}
	if err := t.drop(b, name, key); err != nil || value == nil {
		return err
	}
	t.sum += hash(name, key, value)
	return b.Put(key, seal(name, key, value))
}

// update runs one transaction. A store that once failed to write stays failed: after a failed sync nobody knows what is
// on the disk.
func (s *Store) update(f func(t *transaction) error) error {
	if s.failed != nil {
		return s.failed
	}
	err := guarded(s.path, func() error {
		err := s.db.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists(bucketSum)
			if err != nil {
				return err
			}
			t := &transaction{tx: tx}
			if old := b.Get(keySum); len(old) == 16 {
				t.sum = binary.BigEndian.Uint64(old)
			}
			if err := f(t); err != nil {
				return err
			}
			return b.Put(keySum, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, t.sum), s.count+1))
		})
		if err != nil {
			return &WriteError{Path: s.path, Err: err}
		}
		s.count++
		return s.testify()
	})
	if err != nil {
		s.failed = err
	}
	return err
}

// Save makes all of v durable, in one transaction; nothing of it stands where it fails, and the store takes no more then.
// Where only the commit index moved it is kept for the next transaction: raft finds it again by itself.
func (s *Store) Save(v consensus.Save) error {
	if s.failed != nil {
		return s.failed
	}
	if v.Empty() {
		return nil
	}
	if h := v.HardState; h != nil && v.Snapshot == nil && len(v.Entries) == 0 && v.CutTo == 0 &&
		h.GetTerm() == s.put.GetTerm() && h.GetVote() == s.put.GetVote() {
		s.held = h
		return nil
	}
	return s.save(v)
}

func (s *Store) save(v consensus.Save) error {
	if v.HardState == nil {
		v.HardState = s.held
	}
	first, last := s.first, s.last
	err := s.update(func(t *transaction) error {
		if v.HardState != nil {
			if err := t.message(bucketState, keyHard, v.HardState); err != nil {
				return err
			}
		}
		if v.Snapshot != nil {
			if err := t.message(bucketState, keySnap, v.Snapshot); err != nil {
				return err
			}
		}
		cut := v.CutTo
		if v.Replace {
			cut = last
		}
		for ; first != 0 && first <= min(cut, last); first++ {
			if err := t.put(bucketLog, key(first), nil); err != nil {
				return err
			}
		}
		if first > last {
			first, last = 0, 0
		}
		if len(v.Entries) == 0 {
			return nil
		}
		from := v.Entries[0].GetIndex()
		if last != 0 && (from > last+1 || from < first) {
			return fmt.Errorf("entry %d does not follow a log of %d to %d", from, first, last)
		}
		for ; last != 0 && last >= from; last-- {
			if err := t.put(bucketLog, key(last), nil); err != nil {
				return err
			}
		}
		for _, e := range v.Entries {
			if err := t.message(bucketLog, key(e.GetIndex()), e); err != nil {
				return err
			}
		}
		last = v.Entries[len(v.Entries)-1].GetIndex()
		if first == 0 {
			first = from
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.first, s.last, s.held = first, last, nil
	if v.HardState != nil {
		s.put = proto.CloneOf(v.HardState)
	}
	return nil
}

func (t *transaction) message(bucket, key []byte, m proto.Message) error {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return err
	}
	if b == nil {
		b = []byte{}
	}
	return t.put(bucket, key, b)
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Refuse keeps why the others refused this store: the seat takes no part any more, also when the node starts anew.
func (s *Store) Refuse(why string) error {
	return s.update(func(t *transaction) error { return t.put(bucketWho, keyRefused, []byte(why)) })
}

// Identity is whose store it is, with this opening's boot and run.
func (s *Store) Identity() Identity { return s.who }

// Put keeps a note of the rest of control, durable when it returns. A value of nil deletes it.
func (s *Store) Put(bucket, key string, value []byte) error {
	return s.update(func(t *transaction) error { return t.put([]byte(own+bucket), []byte(key), value) })
}

// Get returns a note, or nil.
func (s *Store) Get(bucket, key string) (value []byte, err error) {
	err = guarded(s.path, func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			b := tx.Bucket([]byte(own + bucket))
			if b == nil {
				return nil
			}
			sealed := b.Get([]byte(key))
			if sealed == nil {
				return nil
			}
			v, err := unseal([]byte(own+bucket), []byte(key), sealed)
			value = append([]byte{}, v...)
			if err != nil {
				return &DamagedError{Path: s.path, Why: err.Error()}
			}
			return nil
		})
	})
	return value, err
}

// Each calls f with all notes of a bucket, in the order of their keys. value is f's only until it returns.
func (s *Store) Each(bucket string, f func(key string, value []byte) error) error {
	return guarded(s.path, func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			b := tx.Bucket([]byte(own + bucket))
			if b == nil {
				return nil
			}
			return b.ForEach(func(k, sealed []byte) error {
				v, err := unseal([]byte(own+bucket), k, sealed)
				if err != nil {
					return &DamagedError{Path: s.path, Why: err.Error()}
				}
				return f(string(k), v)
			})
		})
	})
}

// Close lets go of the store.
func (s *Store) Close() error {
	var err error
	if s.held != nil && s.failed == nil {
		err = s.save(consensus.Save{HardState: s.held})
	}
	if s.db != nil {
		err = errors.Join(err, s.db.Close())
	}
	for _, f := range []*os.File{s.seen, s.lock} {
		if f != nil {
			err = errors.Join(err, f.Close())
		}
	}
	return err
}
