package store

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"lichenhitch/internal/consensus"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // makes verdicts reproducible
	m.Run()
}

var testNode = Identity{Site: "s", Node: "n1"}

func entry(term, index uint64, size int) *raftpb.Entry {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(index)
	}
	return &raftpb.Entry{Term: new(term), Index: new(index), Data: data, Type: raftpb.EntryType_EntryNormal.Enum()}
}

func hardState(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: new(term), Vote: new(vote), Commit: new(commit)}
}

func snapshot(term, index uint64, state string) *raftpb.Snapshot {
	return &raftpb.Snapshot{Data: []byte(state), Metadata: &raftpb.SnapshotMetadata{
		Index: new(index), Term: new(term), ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}},
	}}
}

func reopen(t testing.TB, path string) (*Store, consensus.StoredState) {
	t.Helper()
	s, d, err := Open(path, testNode)
	require.NoError(t, err)
	return s, d
}

// describe returns the state that a replica would start from, as text.
func describe(d consensus.StoredState) string {
	out := fmt.Sprintf("%v %v", d.HardState, d.Snapshot)
	for _, e := range d.Entries {
		out += fmt.Sprintf(" %d/%d/%x", e.GetTerm(), e.GetIndex(), e.Data)
	}
	return out
}

// The store returns what a plain in-memory model holds, over any sequence of saves and openings.
func TestStoreMatchesModel(t *testing.T) {
	dir := t.TempDir()
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		path := filepath.Join(dir, fmt.Sprint(runs))
		s, _, err := Open(path, testNode)
		require.NoError(t, err)
		defer func() { _ = s.Close() }()
		var log []*raftpb.Entry
		hard, snap, state := hardState(1, 0, 1), uint64(1), snapshot(1, 1, "")
		require.NoError(t, s.Save(consensus.WriteBatch{HardState: hard, Snapshot: state, Replace: true}))
		term, openCount := uint64(1), uint64(1)
		last := func() uint64 { return snap + uint64(len(log)) }
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			batch := consensus.WriteBatch{}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1: // append at any index after the snapshot
				term++
				from := rapid.Uint64Range(snap+1, last()+1).Draw(t, "from")
				log = log[:from-snap-1]
				for i := range rapid.Uint64Range(1, 5).Draw(t, "n") {
					batch.Entries = append(batch.Entries, entry(term, from+i, 20))
				}
				log = append(log, batch.Entries...)
				hard = hardState(term, 1, snap)
				batch.HardState = hard
			case 2: // only the commit index moves
				hard = hardState(term, hard.GetVote(), last())
				batch.HardState = hard
			case 3: // compaction
				if len(log) > 0 {
					at := rapid.Uint64Range(snap+1, last()).Draw(t, "at")
					log, snap, state = log[at-snap:], at, snapshot(term, at, fmt.Sprint(at))
					batch.Snapshot, batch.CompactTo = state, at-min(at, 2)
				}
			case 4: // snapshot from a leader
				snap = last() + 3
				log, state, hard = nil, snapshot(term, snap, "leader's"), hardState(term, 2, snap)
				batch = consensus.WriteBatch{HardState: hard, Snapshot: state, Replace: true}
			}
			require.NoError(t, s.Save(batch))
			if rapid.Bool().Draw(t, "reopen") {
				require.NoError(t, s.Close())
				var d consensus.StoredState
				s, d, err = Open(path, testNode)
				require.NoError(t, err)
				openCount++
				require.Equal(t, describe(consensus.StoredState{HardState: hard, Snapshot: state, Entries: log}), describe(d))
				require.Equal(t, openCount, s.Identity().OpenCount)
			}
		}
	})
}

func TestStoreIdentity(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a", "council.db")
	s, _ := reopen(t, path)
	original := s.Identity()
	require.NoError(t, os.WriteFile(path+".new", []byte("left by an interrupted start"), 0o600))
	_, _, err := Open(path, testNode)
	assert.ErrorAs(t, err, new(*InUseError))
	require.NoError(t, s.Save(consensus.WriteBatch{Snapshot: snapshot(1, 1, "")}))
	require.NoError(t, s.Put("rights", "k", []byte("v")))
	require.NoError(t, s.Put("rights", "gone", []byte("v")))
	require.NoError(t, s.Put("rights", "gone", nil))
	require.NoError(t, s.MarkRefused("old"))
	require.NoError(t, s.Close())

	_, _, err = Open(path, Identity{Site: "s", Node: "n2"})
	assert.ErrorAs(t, err, new(*WrongStoreError))
	s, d := reopen(t, path)
	assert.Equal(t, "old", d.Refused)
	assert.Equal(t, original.Replica, s.Identity().Replica)
	assert.Equal(t, original.OpenCount+1, s.Identity().OpenCount)
	assert.NotEqual(t, original.RunID, s.Identity().RunID)
	v, err := s.Get("rights", "k")
	require.NoError(t, err)
	assert.Equal(t, "v", string(v))
	n := 0
	require.NoError(t, s.Each("rights", func(string, []byte) error { n++; return nil }))
	assert.Equal(t, 1, n)
	require.NoError(t, s.Close())

	require.NoError(t, os.Remove(path))
	s, _ = reopen(t, path)
	empty := s.Identity()
	require.NoError(t, s.Save(consensus.WriteBatch{HardState: hardState(3, 2, 0)}))
	require.NoError(t, s.Close())
	s, d = reopen(t, path)
	assert.Equal(t, empty.Incarnation, s.Identity().Incarnation)
	assert.NotEqual(t, empty.Replica, s.Identity().Replica, "a store without a snapshot may have been restored from before its replica was added")
	assert.Equal(t, consensus.StoredState{}, d)
	assert.NotEqual(t, original.Replica, s.Identity().Replica, "an empty store is another replica")
	require.NoError(t, s.Close())
}

func copyFile(t testing.TB, from, to string) {
	t.Helper()
	b, err := os.ReadFile(from)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(to, b, 0o600))
}

func TestWitnessVerifiesTheLatestStore(t *testing.T) {
	dir := t.TempDir()
	tmpfs, err := os.MkdirTemp("/dev/shm", "council")
	if err != nil {
		t.Skip("no in-memory file system")
	}
	defer os.RemoveAll(tmpfs)
	path, withWitness := filepath.Join(dir, "db"), testNode
	withWitness.Witness = filepath.Join(tmpfs, "witness")
	run := func(term uint64) bool {
		s, _, err := Open(path, withWitness)
		require.NoError(t, err)
		require.NoError(t, s.Save(consensus.WriteBatch{HardState: hardState(term, 1, 1), Snapshot: snapshot(1, 1, "")}))
		copyFile(t, path, path+".copy") // while the store is open
		require.NoError(t, s.Save(consensus.WriteBatch{HardState: hardState(term+1, 1, 0)}))
		require.NoError(t, s.Close())
		return s.Identity().Verified
	}
	assert.False(t, run(1), "there is no witness yet")
	assert.True(t, run(3))
	require.NoError(t, os.Rename(path+".copy", path))
	assert.False(t, run(5), "a stale copy")
	assert.True(t, run(7))
	oldFile, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.True(t, run(9))
	require.NoError(t, os.WriteFile(path, oldFile, 0o600))
	assert.False(t, run(11), "a stale copy of a closed store")
	copyFile(t, path, path+".copy")
	assert.True(t, run(12))
	require.NoError(t, os.Rename(path+".copy", path))
	withoutWitness := withWitness
	withoutWitness.Witness = ""
	for range 20 {
		s, _, err := Open(path, withoutWitness)
		require.NoError(t, err)
		require.NoError(t, s.Close())
	}
	assert.False(t, run(12), "a copy that diverged and has more transactions")
	require.NoError(t, os.Remove(withWitness.Witness))
	assert.False(t, run(13), "the machine has rebooted")
	withWitness.Witness = filepath.Join(dir, "witness")
	_, _, err = Open(path, withWitness)
	assert.ErrorAs(t, err, new(*WitnessError), "a copy of the folder would contain the witness")
}

// filledStore creates a store with some history, and returns its path and contents.
func filledStore(t testing.TB) (path, contents string) {
	path = filepath.Join(t.TempDir(), "db")
	s, _ := reopen(t, path)
	require.NoError(t, s.Put("rights", "k", []byte("v")))
	for i := uint64(1); i <= 60; i++ {
		require.NoError(t, s.Save(consensus.WriteBatch{HardState: hardState(i, 1, i-1), Entries: []*raftpb.Entry{entry(i, i, 300)}}))
		if i%20 == 0 {
			require.NoError(t, s.Save(consensus.WriteBatch{Snapshot: snapshot(i, i, "book"), CompactTo: i - 5}))
		}
	}
	require.NoError(t, s.Save(consensus.WriteBatch{HardState: hardState(61, 1, 60), Entries: []*raftpb.Entry{entry(61, 61, 9000), entry(61, 62, 10)}}))
	require.NoError(t, s.Close())
	s, d := reopen(t, path)
	require.NoError(t, s.Close())
	return path, fmt.Sprint(s.Identity().OpenCount+1, describe(d))
}

// openDamaged returns what a damaged file opens as: its contents, or an error that an operator can act on.
func openDamaged(t testing.TB, path string) (string, error) {
	t.Helper()
	s, d, err := Open(path, testNode)
	if err != nil {
		var actionable interface{ Action() string }
		require.ErrorAs(t, err, &actionable)
		require.NotErrorAs(t, err, new(*InUseError))
		return "", err
	}
	defer s.Close()
	v, err := s.Get("rights", "k")
	require.NoError(t, err)
	require.Equal(t, "v", string(v))
	return fmt.Sprint(s.Identity().OpenCount, describe(d)), nil
}

func TestTruncatedFile(t *testing.T) {
	path, contents := filledStore(t)
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	truncated := filepath.Join(t.TempDir(), "cut")
	opened := 0
	for n := 0; n < len(b); n += 512 {
		require.NoError(t, os.WriteFile(truncated, b[:n], 0o600))
		if got, err := openDamaged(t, truncated); err == nil {
			opened++
			require.Equal(t, contents, got, "truncated to %d of %d bytes", n, len(b))
		}
	}
	t.Logf("%d bytes, truncated at %d places: %d open, with all contents", len(b), len(b)/512, opened)
}

// A torn write leaves a sector of zeros, of older data, or of noise. Whatever opens must be a state that was committed
// as a whole.
func TestTornSector(t *testing.T) {
	path, contents := filledStore(t)
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	torn := filepath.Join(t.TempDir(), "torn")
	opened, rolledBack := 0, 0
	for n := 0; n+512 <= len(b); n += 512 {
		for kind := range 3 {
			c := append([]byte{}, b...)
			for i := range 512 {
				switch kind {
				case 0:
					c[n+i] = 0
				case 1:
					c[n+i] = b[(n+i+4096)%len(b)]
				case 2:
					c[n+i] ^= byte(i*31 + 7)
				}
			}
			require.NoError(t, os.WriteFile(torn, c, 0o600))
			got, err := openDamaged(t, torn)
			if err != nil {
				continue
			}
			opened++
			if got != contents {
				rolledBack++
				require.Less(t, n, 2*os.Getpagesize(), "only the loss of a meta page may roll the file back by one transaction")
			}
		}
	}
	t.Logf("%d places, 3 kinds of damage: %d open, %d of them one transaction older", len(b)/512, opened, rolledBack)
}

// A page write that never reached the disk leaves an older page in its place, which is valid by itself, as are its
// records.
func TestStalePage(t *testing.T) {
	dir := t.TempDir()
	path, mixed := filepath.Join(dir, "db"), filepath.Join(dir, "mixed")
	var contents []string
	var files [][]byte
	for i := uint64(1); i <= 12; i++ {
		s, _ := reopen(t, path)
		require.NoError(t, s.Put("rights", "k", []byte("v")))
		for j := range uint64(3) {
			require.NoError(t, s.Save(consensus.WriteBatch{HardState: hardState(i, j, 1), Entries: []*raftpb.Entry{entry(i, 3*i+j, 900)}}))
		}
		if i%4 == 1 {
			require.NoError(t, s.Save(consensus.WriteBatch{Snapshot: snapshot(i, 3*i+1, "book"), CompactTo: 3 * i}))
		}
		require.NoError(t, s.Close())
		b, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(mixed, b, 0o600))
		s, d := reopen(t, mixed)
		require.NoError(t, s.Close())
		contents, files = append(contents, fmt.Sprint(i+1, describe(d))), append(files, b)
	}
	page := os.Getpagesize()
	opened, refused := 0, 0
	for i := 1; i < len(files); i++ {
		for at := 2 * page; at+page <= min(len(files[i-1]), len(files[i])); at += page {
			c := append([]byte{}, files[i]...)
			copy(c[at:at+page], files[i-1][at:])
			require.NoError(t, os.WriteFile(mixed, c, 0o600))
			got, err := openDamaged(t, mixed)
			if err != nil {
				refused++
				continue
			}
			opened++
			require.Equal(t, contents[i], got, "file %d with page %d of the previous file", i, at/page)
		}
	}
	t.Logf("%d open with all contents, %d refused", opened, refused)
	assert.Positive(t, refused)
}

// Flips bits outside the records, in branch pages and in page headers. Whatever opens must be complete and stay so.
func TestFlippedBitOutsideTheRecords(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "db")
	s, _ := reopen(t, path)
	require.NoError(t, s.Put("rights", "k", []byte("v")))
	require.NoError(t, s.Save(consensus.WriteBatch{HardState: hardState(1, 1, 1), Snapshot: snapshot(1, 1, "")}))
	batch := consensus.WriteBatch{}
	for i := uint64(2); i < 100; i++ {
		batch.Entries = append(batch.Entries, entry(1, i, 300))
	}
	require.NoError(t, s.Save(batch))
	require.NoError(t, s.Close())
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	page, bad := os.Getpagesize(), filepath.Join(dir, "bad")
	opened, refused := 0, 0
	for at := 2 * page; at < len(b); at += page {
		end := 16         // the page header
		if b[at+8] == 1 { // a branch page of bbolt
			end = 16 + 16*11 + 8*11
		}
		if b[at+8] == 0 {
			continue
		}
		for n := range end {
			c := append([]byte{}, b...)
			c[at+n] ^= 4
			require.NoError(t, os.WriteFile(bad, c, 0o600))
			s, d, err := Open(bad, testNode)
			if err != nil {
				require.ErrorAs(t, err, new(*DamagedError))
				refused++
				continue
			}
			opened++
			require.Len(t, d.Entries, 98)
			require.NoError(t, s.Save(consensus.WriteBatch{CompactTo: 98}))
			require.NoError(t, s.Close())
			s, d = reopen(t, bad)
			require.Len(t, d.Entries, 1, "byte %d of page %d", n, at/page)
			require.NoError(t, s.Close())
		}
	}
	t.Logf("%d open and stay usable, %d refused", opened, refused)
	assert.Positive(t, refused)
}

func TestFailedWriteStopsTheStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "db")
	s, _ := reopen(t, path)
	require.NoError(t, s.Save(consensus.WriteBatch{HardState: hardState(1, 1, 1), Snapshot: snapshot(1, 1, "")}))
	require.NoError(t, s.Close())
	s, _, err := open(path, testNode, bbolt.Options{MaxSize: 64 << 10})
	require.NoError(t, err)
	i := uint64(2)
	for ; err == nil; i++ {
		err = s.Save(consensus.WriteBatch{Entries: []*raftpb.Entry{entry(1, i, 8000)}})
	}
	var full *WriteError
	require.ErrorAs(t, err, &full)
	assert.ErrorAs(t, s.Save(consensus.WriteBatch{Entries: []*raftpb.Entry{entry(1, i-1, 1)}}), &full, "the store accepts no more writes")
	assert.ErrorAs(t, s.Put("a", "b", []byte("c")), &full)
	require.NoError(t, s.Close())
	_, d := reopen(t, path)
	assert.Len(t, d.Entries, int(i-3), "exactly the entries whose save succeeded")
}

// The operating system refuses to let the file grow. Runs in a separate process, since it sets a resource limit.
func TestFullDisk(t *testing.T) {
	if path := os.Getenv("COUNCIL_STORE_FULL"); path != "" {
		signal.Ignore(syscall.SIGXFSZ)
		s, _, err := Open(path, testNode)
		require.NoError(t, err)
		require.NoError(t, s.Save(consensus.WriteBatch{Snapshot: snapshot(1, 1, "")}))
		require.NoError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 100 << 10, Max: 100 << 10}))
		i := uint64(2)
		for ; err == nil; i++ {
			err = s.Save(consensus.WriteBatch{Entries: []*raftpb.Entry{entry(1, i, 5000)}})
		}
		require.ErrorAs(t, err, new(*WriteError))
		require.ErrorContains(t, err, syscall.EFBIG.Error()) // bbolt does not wrap the error
		fmt.Printf("saved=%d\n", i-3)
		return
	}
	path := filepath.Join(t.TempDir(), "db")
	c := exec.Command(os.Args[0], "-test.run=^TestFullDisk$")
	c.Env = append(os.Environ(), "COUNCIL_STORE_FULL="+path)
	out, err := c.CombinedOutput()
	require.NoError(t, err, string(out))
	var saved int
	_, err = fmt.Sscanf(string(out), "saved=%d", &saved)
	require.NoError(t, err, string(out))
	assert.Positive(t, saved)
	_, d := reopen(t, path)
	assert.Len(t, d.Entries, saved)
}

func TestSizeStaysBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "db")
	s, _, err := open(path, testNode, bbolt.Options{NoSync: true})
	require.NoError(t, err)
	var at10k int64
	for i := uint64(1); i <= 30000; i += 10 {
		batch := consensus.WriteBatch{HardState: hardState(1, 1, i-1)}
		for j := range uint64(10) {
			batch.Entries = append(batch.Entries, entry(1, i+j, 200))
		}
		require.NoError(t, s.Save(batch))
		if (i+9)%1000 == 0 {
			require.NoError(t, s.Save(consensus.WriteBatch{Snapshot: snapshot(1, i+9, string(make([]byte, 10000))), CompactTo: i + 9 - 250}))
		}
		if i+9 == 10000 {
			info, err := os.Stat(path)
			require.NoError(t, err)
			at10k = info.Size()
		}
	}
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.LessOrEqual(t, info.Size(), at10k)
	require.NoError(t, s.Close())
	s, d := reopen(t, path)
	defer s.Close()
	assert.Empty(t, d.Entries)
	assert.Equal(t, uint64(30000), d.Snapshot.Metadata.GetIndex())
	assert.True(t, proto.Equal(hardState(1, 1, 29990), d.HardState), d.HardState)
}
