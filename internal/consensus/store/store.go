// Package store keeps a replica's log, hard state, snapshot and identity in one bbolt file, together with records of
// the rest of the control plane. When Save returns without an error, the batch is durable.
//
// bbolt trusts its file, so Open checks the file first and then rewrites it from the records that it read. The file
// must be as long as its newest meta page says, every record must match its own checksum, and a sum over all records,
// updated in the same transaction as they are, must match. A store that opens is therefore in a state that was
// committed as a whole. Whether it is the *latest* state cannot be told from the file alone: a copied file is
// consistent too, and if the newest meta page is damaged, bbolt falls back to the transaction before it. Both are stale
// stores, which PeerTable and Replica.Observe of package consensus detect.
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

// Identity says which node and which replica a store belongs to. Site and Node are given by the caller; the other
// fields come from the store, except for Witness.
type Identity struct {
	Site, Node  string
	Incarnation uint64 // random, chosen when the store is created
	// ReplicaIncarnation is random too, and Replica is derived from it. A store that has no snapshot yet, and that
	// no witness verifies, gets a new one at every opening: it cannot be told from a store that was restored from before
	// its replica was added, and with a new ID it is no member of the group.
	ReplicaIncarnation uint64
	OpenCount          uint64 // how often the store has been opened, from 1
	RunID              uint64 // random, chosen at this opening
	Replica            consensus.ReplicaID
	// Witness is given by the caller: a file on an in-memory file system, which no copy of a disk restores. As long as
	// the machine runs, it proves to the next process that the store is the one that the last process left; Verified is
	// then set. Empty: no witness.
	Witness  string
	Verified bool
}

// Store is open in one process at a time. Its methods must not be called concurrently.
type Store struct {
	path             string
	db               *bbolt.DB
	identity         Identity
	hardState        *raftpb.HardState // the durable hard state
	pendingHardState *raftpb.HardState // newer only in its commit index: written with the next transaction
	lastIndex        uint64            // of the log
	firstIndex       uint64
	transactions     uint64   // number of transactions since the store was created
	witness          *os.File // the witness file, or nil
	lock             *os.File
	failed           error
}

const (
	version     = 1
	lockTimeout = 200 * time.Millisecond // how long to wait for another process to release the file
	notePrefix  = "own/"                 // prefix of the buckets of Put and Get
)

var (
	bucketIdentity = []byte("identity")
	bucketState    = []byte("state")
	bucketLog      = []byte("log")
	bucketSum      = []byte("sum")

	keyIdentity = []byte("who")
	keyRefused  = []byte("refused")
	keyHard     = []byte("hard")
	keySnap     = []byte("snapshot")
	keySum      = []byte("sum")
)

// Open opens the store at path, or creates one if there is no file. It increments the open count.
func Open(path string, want Identity) (*Store, consensus.StoredState, error) {
	return open(path, want, bbolt.Options{})
}

func open(path string, want Identity, opts bbolt.Options) (_ *Store, _ consensus.StoredState, err error) {
	s := &Store{path: path}
	var state consensus.StoredState
	if s.lock, err = lock(path); err != nil {
		return nil, state, err
	}
	defer func() {
		if err != nil {
			_ = s.Close()
		}
	}()
	records, count := []record{}, uint64(0)
	if _, err := os.Stat(path); err == nil {
		// Read-only: on damaged pages, a writable bbolt would free pages that are in use, or crash.
		if err := s.readOnly(func(tx *bbolt.Tx) error {
			c, err := readAll(path, tx)
			records, count = c.records, c.transactions
			return err
		}); err != nil {
			return nil, state, err
		}
	} else if errors.Is(err, os.ErrNotExist) {
		created := Identity{Site: want.Site, Node: want.Node, Incarnation: random()}
		records = []record{{bucketIdentity, keyIdentity, created.bytes()}}
	} else {
		return nil, state, &WriteError{Path: path, Err: err}
	}
	if err := rebuild(path, records, count); err != nil {
		return nil, state, err
	}
	opts.Timeout, opts.NoFreelistSync, opts.FreelistType = lockTimeout, true, bbolt.FreelistMapType
	err = catchFaults(path, func() (err error) {
		s.db, err = bbolt.Open(path, 0o600, &opts)
		return err
	})
	if err != nil {
		return nil, state, err
	}
	err = catchFaults(path, func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			c, err := readAll(path, tx)
			if err != nil {
				return err
			}
			s.identity = c.identity
			s.hardState, state = c.state.HardState, c.state
			s.firstIndex, s.lastIndex, s.transactions = c.firstIndex, c.lastIndex, c.transactions
			return nil
		})
	})
	if err == nil && (s.identity.Site != want.Site || s.identity.Node != want.Node) {
		err = &WrongStoreError{Path: path, Has: s.identity, Want: want}
	}
	if err == nil && want.Witness != "" {
		s.identity.Witness = want.Witness
		s.witness, s.identity.Verified, err = openWitness(want.Witness, s.identity, s.transactions)
	}
	if err == nil {
		s.identity.OpenCount++
		s.identity.RunID = random()
		reset := state.Snapshot == nil && !s.identity.Verified
		if reset {
			s.identity.ReplicaIncarnation = random()
			state, s.hardState, s.firstIndex, s.lastIndex = consensus.StoredState{}, nil, 0, 0
		}
		s.identity.Replica = consensus.ReplicaIDOf(s.identity.Site+"/"+s.identity.Node, s.identity.ReplicaIncarnation)
		err = s.update(func(t *transaction) error {
			if reset {
				for _, key := range [][2][]byte{{bucketState, keyHard}, {bucketIdentity, keyRefused}} {
					if err := t.put(key[0], key[1], nil); err != nil {
						return err
					}
				}
			}
			return t.put(bucketIdentity, keyIdentity, s.identity.bytes())
		})
	}
	if err != nil {
		return nil, consensus.StoredState{}, err
	}
	return s, state, nil
}

// readOnly opens the file for reading only and calls f.
func (s *Store) readOnly(f func(tx *bbolt.Tx) error) error {
	if err := checkLength(s.path); err != nil {
		return err
	}
	return catchFaults(s.path, func() error {
		db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
		if err != nil {
			return err
		}
		tx, err := db.Begin(false)
		if err != nil {
			_ = db.Close()
			return err
		}
		// A panic must not leave the file open: its mapping would keep the lock for good.
		err = catchFaults(s.path, func() error { return f(tx) })
		_ = tx.Rollback()
		return errors.Join(err, db.Close())
	})
}

// catchFaults turns bbolt's reactions to a bad file into errors: its own errors, its panics, and memory faults on pages
// that do not exist.
func catchFaults(path string, f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &DamagedError{Path: path, Why: fmt.Sprint(p)}
		}
	}()
	err = f()
	var actionable interface{ Action() string }
	switch {
	case err == nil || errors.As(err, &actionable):
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

// checkLength checks that the file is as long as bbolt's newest valid meta page says. A page beyond the end of the file
// would cause a memory fault in the middle of a read.
func checkLength(path string) error {
	const pageHeader, checksumAt = 16, 56 // size of a page header; offset of the checksum in a meta page, which covers the bytes before it
	f, err := os.Open(path)
	if err != nil {
		return &WriteError{Path: path, Err: err}
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return &WriteError{Path: path, Err: err}
	}
	var expected, newest, pageSize uint64
	meta := func(offset int64) bool {
		var b [pageHeader + checksumAt + 8]byte
		if _, err := f.ReadAt(b[:], offset); err != nil {
			return false
		}
		m := b[pageHeader:]
		n := binary.NativeEndian
		if n.Uint32(m) != 0xED0CDAED || n.Uint64(m[checksumAt:]) != fnv1a(m[:checksumAt]) {
			return false
		}
		pageSize = uint64(n.Uint32(m[8:]))
		if tx := n.Uint64(m[48:]); tx >= newest {
			newest, expected = tx, n.Uint64(m[40:])*pageSize
		}
		return true
	}
	ok := meta(0)
	if pageSize == 0 {
		pageSize = uint64(os.Getpagesize())
	}
	if !meta(int64(pageSize)) && !ok {
		return &DamagedError{Path: path, Why: fmt.Sprintf("none of its meta pages is valid (file of %d bytes)", info.Size())}
	}
	if uint64(info.Size()) < max(expected, 2*pageSize) {
		return &DamagedError{Path: path, Why: fmt.Sprintf("file truncated: it has %d of %d bytes", info.Size(), expected)}
	}
	return nil
}

// lock locks the store through a separate file beside it, since the store file itself is replaced.
func lock(path string) (*os.File, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, &WriteError{Path: path, Err: err}
	}
	f, err := os.OpenFile(path+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, &WriteError{Path: path, Err: err}
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockTimeout / 10) {
		if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return f, nil
		}
		if time.Now().After(deadline) {
			_ = f.Close()
			return nil, &InUseError{Path: path}
		}
	}
}

// rebuild writes the records to a new file and replaces the store by it. Thus pages that are damaged, but do not affect
// the records yet, are never written to again, and the file is as small as possible.
func rebuild(path string, records []record, count uint64) error {
	temp := path + ".new"
	if err := os.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return &WriteError{Path: path, Err: err}
	}
	defer os.Remove(temp)
	err := catchFaults(temp, func() error {
		db, err := bbolt.Open(temp, 0o600, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true})
		if err != nil {
			return err
		}
		s := &Store{path: path, db: db, transactions: count - 1} // keeps the transaction count: update adds one
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

// random returns a random number other than 0.
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

// bytes encodes the identity: version, incarnation, open count, run ID, replica incarnation, then site and node with a
// zero byte between them.
func (w Identity) bytes() []byte {
	b := []byte{version}
	b = binary.BigEndian.AppendUint64(b, w.Incarnation)
	b = binary.BigEndian.AppendUint64(b, w.OpenCount)
	b = binary.BigEndian.AppendUint64(b, w.RunID)
	b = binary.BigEndian.AppendUint64(b, w.ReplicaIncarnation)
	b = append(append(append(b, w.Site...), 0), w.Node...)
	return b
}

func parseIdentity(b []byte) (Identity, error) {
	if len(b) < 34 || b[0] != version {
		return Identity{}, errors.New("its identity record is not of this release's format")
	}
	site, node, ok := bytes.Cut(b[33:], []byte{0})
	if !ok {
		return Identity{}, errors.New("its identity record names no node")
	}
	n := binary.BigEndian
	return Identity{
		Incarnation: n.Uint64(b[1:]), OpenCount: n.Uint64(b[9:]), RunID: n.Uint64(b[17:]), ReplicaIncarnation: n.Uint64(b[25:]),
		Site: string(site), Node: string(node),
	}, nil
}

// contents is everything that a store holds for its replica, and all its records.
type contents struct {
	identity              Identity
	state                 consensus.StoredState
	firstIndex, lastIndex uint64
	transactions          uint64
	records               []record
}

type record struct{ bucket, key, value []byte }

// readAll reads and checks all records of the file.
func readAll(path string, tx *bbolt.Tx) (contents, error) {
	var c contents
	damaged := func(format string, a ...any) (contents, error) {
		return c, &DamagedError{Path: path, Why: fmt.Sprintf(format, a...)}
	}
	var sum, want uint64
	remaining := tx.Size() // more records than bytes would mean that the pages form a cycle
	err := tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
		isSum := bytes.Equal(name, bucketSum)
		cursor := b.Cursor()
		for k, v := cursor.First(); k != nil; k, v = cursor.Next() {
			if remaining--; remaining < 0 {
				return errors.New("its pages form a cycle")
			}
			if isSum {
				if len(v) == 16 {
					want, c.transactions = binary.BigEndian.Uint64(v), binary.BigEndian.Uint64(v[8:])
				}
				continue
			}
			value, err := unseal(name, k, v)
			if err != nil {
				return err
			}
			sum += hash(name, k, value)
			c.records = append(c.records, record{bytes.Clone(name), bytes.Clone(k), append([]byte{}, value...)})
			if err := c.addRecord(name, k, value); err != nil {
				return fmt.Errorf("record %q of bucket %q: %w", k, name, err)
			}
		}
		return nil
	})
	if err != nil {
		return damaged("%v", err)
	}
	if sum != want {
		return damaged("the sum over its records is %x, expected %x", sum, want)
	}
	if c.identity.Incarnation == 0 {
		return damaged("it has no identity record")
	}
	c.state.Applied = c.state.Snapshot.GetMetadata().GetIndex()
	// Entries that were kept behind the snapshot are not needed after a restart.
	for len(c.state.Entries) > 0 && c.state.Entries[0].GetIndex() <= c.state.Applied {
		c.state.Entries = c.state.Entries[1:]
	}
	return c, nil
}

func (c *contents) addRecord(bucket, key, value []byte) (err error) {
	switch {
	case bytes.Equal(bucket, bucketIdentity) && bytes.Equal(key, keyIdentity):
		c.identity, err = parseIdentity(value)
	case bytes.Equal(bucket, bucketIdentity) && bytes.Equal(key, keyRefused):
		c.state.Refused = string(value)
	case bytes.Equal(bucket, bucketState) && bytes.Equal(key, keyHard):
		c.state.HardState = &raftpb.HardState{}
		err = proto.Unmarshal(value, c.state.HardState)
	case bytes.Equal(bucket, bucketState) && bytes.Equal(key, keySnap):
		c.state.Snapshot = &raftpb.Snapshot{}
		err = proto.Unmarshal(value, c.state.Snapshot)
	case bytes.Equal(bucket, bucketLog):
		e := &raftpb.Entry{}
		if err = proto.Unmarshal(value, e); err != nil {
			return err
		}
		if len(key) != 8 || binary.BigEndian.Uint64(key) != e.GetIndex() || c.lastIndex != 0 && e.GetIndex() != c.lastIndex+1 {
			return fmt.Errorf("entry %d follows entry %d", e.GetIndex(), c.lastIndex)
		}
		if c.lastIndex = e.GetIndex(); c.firstIndex == 0 {
			c.firstIndex = c.lastIndex
		}
		c.state.Entries = append(c.state.Entries, e)
	}
	return err
}

// hash returns the checksum of one record, over its bucket, key and value.
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
		return nil, fmt.Errorf("checksum mismatch in record %q of bucket %q", key, bucket)
	}
	return sealed[8:], nil
}

// openWitness opens the witness file and reports whether it verifies the store: it was last written by the process that
// last opened the store, and the store has all transactions that it counts. The witness is written after each
// transaction and before any message that depends on the transaction is sent.
func openWitness(path string, who Identity, count uint64) (*os.File, bool, error) {
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
	return f, n.Uint64(b[:]) == who.RunID && n.Uint64(b[8:]) <= count, nil
}

// writeWitness writes the witness file: run ID, transaction count, checksum.
func (s *Store) writeWitness() error {
	if s.witness == nil {
		return nil
	}
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.identity.RunID), s.transactions)
	if _, err := s.witness.WriteAt(binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)), 0); err != nil {
		return &WriteError{Path: s.identity.Witness, Err: err}
	}
	return nil
}

// transaction updates the sum over all records along with the records.
type transaction struct {
	tx  *bbolt.Tx
	sum uint64
}

func (t *transaction) remove(b *bbolt.Bucket, name, key []byte) error {
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

// put writes a record; a nil value deletes it.
func (t *transaction) put(name, key, value []byte) error {
	b, err := t.tx.CreateBucketIfNotExists(name)
	if err != nil {
		return err
	}
	if err := t.remove(b, name, key); err != nil || value == nil {
		return err
	}
	t.sum += hash(name, key, value)
	return b.Put(key, seal(name, key, value))
}

// update runs one transaction. A store that failed to write once stays failed: after a failed sync the contents of the
// disk are unknown.
func (s *Store) update(f func(t *transaction) error) error {
	if s.failed != nil {
		return s.failed
	}
	err := catchFaults(s.path, func() error {
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
			return b.Put(keySum, binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, t.sum), s.transactions+1))
		})
		if err != nil {
			return &WriteError{Path: s.path, Err: err}
		}
		s.transactions++
		return s.writeWitness()
	})
	if err != nil {
		s.failed = err
	}
	return err
}

// Save makes the batch durable in one transaction. If that fails, nothing of it is kept and the store accepts no more
// writes. If only the commit index moved, it is written with the next transaction: raft recovers it by itself.
func (s *Store) Save(batch consensus.WriteBatch) error {
	if s.failed != nil {
		return s.failed
	}
	if batch.Empty() {
		return nil
	}
	if h := batch.HardState; h != nil && batch.Snapshot == nil && len(batch.Entries) == 0 && batch.CompactTo == 0 &&
		h.GetTerm() == s.hardState.GetTerm() && h.GetVote() == s.hardState.GetVote() {
		s.pendingHardState = h
		return nil
	}
	return s.save(batch)
}

func (s *Store) save(batch consensus.WriteBatch) error {
	if batch.HardState == nil {
		batch.HardState = s.pendingHardState
	}
	first, last := s.firstIndex, s.lastIndex
	err := s.update(func(t *transaction) error {
		if batch.HardState != nil {
			if err := t.putMessage(bucketState, keyHard, batch.HardState); err != nil {
				return err
			}
		}
		if batch.Snapshot != nil {
			if err := t.putMessage(bucketState, keySnap, batch.Snapshot); err != nil {
				return err
			}
		}
		compactTo := batch.CompactTo
		if batch.Replace {
			compactTo = last
		}
		for ; first != 0 && first <= min(compactTo, last); first++ {
			if err := t.put(bucketLog, key(first), nil); err != nil {
				return err
			}
		}
		if first > last {
			first, last = 0, 0
		}
		if len(batch.Entries) == 0 {
			return nil
		}
		from := batch.Entries[0].GetIndex()
		if last != 0 && (from > last+1 || from < first) {
			return fmt.Errorf("entry %d does not follow a log of %d to %d", from, first, last)
		}
		for ; last != 0 && last >= from; last-- {
			if err := t.put(bucketLog, key(last), nil); err != nil {
				return err
			}
		}
		for _, e := range batch.Entries {
			if err := t.putMessage(bucketLog, key(e.GetIndex()), e); err != nil {
				return err
			}
		}
		last = batch.Entries[len(batch.Entries)-1].GetIndex()
		if first == 0 {
			first = from
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.firstIndex, s.lastIndex, s.pendingHardState = first, last, nil
	if batch.HardState != nil {
		s.hardState = proto.CloneOf(batch.HardState)
	}
	return nil
}

func (t *transaction) putMessage(bucket, key []byte, m proto.Message) error {
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

// MarkRefused records why the other replicas refused this store. The refusal survives restarts of the node.
func (s *Store) MarkRefused(why string) error {
	return s.update(func(t *transaction) error { return t.put(bucketIdentity, keyRefused, []byte(why)) })
}

// Identity returns the store's identity, with the open count and run ID of this opening.
func (s *Store) Identity() Identity { return s.identity }

// Put stores a record of the rest of the control plane, durable when it returns. A nil value deletes it.
func (s *Store) Put(bucket, key string, value []byte) error {
	return s.update(func(t *transaction) error { return t.put([]byte(notePrefix+bucket), []byte(key), value) })
}

// Get returns a record stored with Put, or nil.
func (s *Store) Get(bucket, key string) (value []byte, err error) {
	err = catchFaults(s.path, func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			b := tx.Bucket([]byte(notePrefix + bucket))
			if b == nil {
				return nil
			}
			sealed := b.Get([]byte(key))
			if sealed == nil {
				return nil
			}
			v, err := unseal([]byte(notePrefix+bucket), []byte(key), sealed)
			value = append([]byte{}, v...)
			if err != nil {
				return &DamagedError{Path: s.path, Why: err.Error()}
			}
			return nil
		})
	})
	return value, err
}

// Each calls f for all records of a bucket, in the order of their keys. value is valid only until f returns.
func (s *Store) Each(bucket string, f func(key string, value []byte) error) error {
	return catchFaults(s.path, func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			b := tx.Bucket([]byte(notePrefix + bucket))
			if b == nil {
				return nil
			}
			return b.ForEach(func(k, sealed []byte) error {
				v, err := unseal([]byte(notePrefix+bucket), k, sealed)
				if err != nil {
					return &DamagedError{Path: s.path, Why: err.Error()}
				}
				return f(string(k), v)
			})
		})
	})
}

// Close writes a pending commit index and closes the store.
func (s *Store) Close() error {
	var err error
	if s.pendingHardState != nil && s.failed == nil {
		err = s.save(consensus.WriteBatch{HardState: s.pendingHardState})
	}
	if s.db != nil {
		err = errors.Join(err, s.db.Close())
	}
	for _, f := range []*os.File{s.witness, s.lock} {
		if f != nil {
			err = errors.Join(err, f.Close())
		}
	}
	return err
}
