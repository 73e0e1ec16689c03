package store

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"lichenhitch/internal/consensus"
)

// BenchmarkCommit commits entries of 100 bytes one after the other on three replicas with stores, with compaction.
func BenchmarkCommit(b *testing.B) {
	dir := b.TempDir()
	var stores []*Store
	var ids []consensus.ReplicaID
	for _, name := range []string{"a", "b", "c"} {
		s, _, err := Open(filepath.Join(dir, name), Identity{Site: "s", Node: name})
		require.NoError(b, err)
		defer s.Close()
		stores, ids = append(stores, s), append(ids, s.Identity().Replica)
	}
	replicas := map[consensus.ReplicaID]*consensus.Replica{}
	for _, id := range ids {
		s, err := consensus.New(consensus.Options{Self: id, InitialVoters: ids, OpenCount: 1, RunID: 1, SnapshotEvery: 1000}, consensus.StoredState{})
		require.NoError(b, err)
		replicas[id] = s
	}
	applied, bytes := 0, 0
	settle := func() {
		for again := true; again; {
			again = false
			for i, id := range ids {
				s := replicas[id]
				for o, ok := s.Ready(); ok; o, ok = s.Ready() {
					again = true
					require.NoError(b, stores[i].Save(o.Save))
					for _, m := range o.Send {
						bytes += len(m.Raw)
						require.NoError(b, replicas[m.To].Step(m.Raw))
					}
					applied += len(o.Apply)
					s.Advance(o)
				}
				if st := s.Status(); st.SnapshotDue {
					v, err := s.Compact(st.Applied, make([]byte, 10_000))
					require.NoError(b, err)
					require.NoError(b, stores[i].Save(v))
				}
			}
		}
	}
	settle()
	leader := replicas[ids[0]]
	for !leader.Status().Leading {
		leader.Tick()
		settle()
	}
	count := func() (n uint64) {
		for _, s := range stores {
			n += s.transactions
		}
		return n
	}
	applied, bytes = 0, 0
	before := count()
	data := make([]byte, 100)
	for b.Loop() {
		require.NoError(b, leader.Propose(data))
		settle()
	}
	require.Equal(b, 3*b.N, applied)
	info, err := os.Stat(stores[0].path)
	require.NoError(b, err)
	b.ReportMetric(float64(bytes)/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(count()-before)/float64(b.N), "transactions/op")
	b.ReportMetric(float64(info.Size()), "file-B")
}
