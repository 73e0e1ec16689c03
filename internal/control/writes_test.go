package control

import (
	"fmt"
	"testing"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/site"
)

func record(node string, sequence uint64) []byte {
	return rollout.Record{Node: node, Sequence: sequence, Status: rollout.NodeStatus{Node: node}}.Bytes()
}

// Evidence is merged by its prefix, also after the state went through a snapshot.
func TestEvidenceIsMergedByItsPrefix(t *testing.T) {
	sketch, err := ddsketch.NewDefaultDDSketch(0.01)
	require.NoError(t, err)
	require.NoError(t, sketch.Add(1))
	var counts []byte
	sketch.Encode(&counts, false)
	for _, c := range []struct {
		a, b []byte
		ok   bool
	}{{record("n", 1), record("n", 2), true}, {counts, counts, true}, {record("n", 1), counts, false}, {counts, record("n", 1), false},
		{record("n", 1), record("m", 2), false}} {
		_, err := MergeEvidence(c.a, c.b)
		assert.Equal(t, c.ok, err == nil, "%q %q: %v", c.a, c.b, err)
	}
	c := &Core{Options: Options{Site: &site.Site{}}, schedule: turns.New()}
	_, err = c.applyWrite(1, writeEntry{Place: &sitesync.Place{Site: "b", Level: 2, Incarnation: 1, Ancestors: []string{"p"}},
		Limits: sitesync.Limits{Bytes: 1 << 20, Number: 100, Batch: 9}})
	require.NoError(t, err)
	for sequence := range uint64(3) {
		raw, err := c.encode()
		require.NoError(t, err)
		require.NoError(t, c.decode(raw))
		l := &sitesync.LocalWrite{Kind: sitesync.Evidence, Subject: rollout.NodeKey("n"), Value: record("n", sequence+1)}
		_, err = c.applyWrite(1, writeEntry{Command: &sitesync.Command{Write: l}})
		require.NoError(t, err)
	}
	v, _ := c.siteSync.Value(sitesync.Evidence, rollout.NodeKey("n"))
	assert.Equal(t, string(record("n", 3)), string(v.Value))
	id, err := parseID(v.Write.ID.String())
	require.NoError(t, err)
	assert.Equal(t, v.Write.ID, id)
}

// fullRecord returns a record of about the maximum length.
func fullRecord(node string, sequence, slice uint64) []byte {
	result := rollout.Record{Node: node, Sequence: sequence, Status: rollout.NodeStatus{Node: node}}
	for i := range uint64(8) {
		evidence := rollout.Evidence{Node: node, Slice: slice + i}
		for j := range 15 {
			evidence.Counts = append(evidence.Counts, rollout.Counts{Class: fmt.Sprint("class ", j), Offered: sequence,
				Served: sequence, SetUp: make([]byte, 260)})
		}
		result.Slices = append(result.Slices, evidence)
	}
	return result.Bytes()
}

// rootWithRecords returns the root site above a site whose nodes have each sent that many records.
func rootWithRecords(nodes, times int) (*Core, error) {
	c := &Core{Options: Options{Site: &site.Site{}}, schedule: turns.New()}
	_, err := c.applyWrite(1, writeEntry{Place: &sitesync.Place{Site: "p", Incarnation: 1},
		Limits: sitesync.Limits{Bytes: 16 << 20, Number: 50000, Batch: 256}})
	from := sitesync.Origin{Site: "b", Incarnation: 1, Evidence: true}
	tree := rollout.Tree{Sites: []rollout.Site{{Name: "p"}, {Name: "b", Parent: "p"}}}
	for i := range nodes {
		tree.Sites[1].Nodes = append(tree.Sites[1].Nodes, rollout.TreeNode{Name: fmt.Sprint("n", i), Zone: "z"})
	}
	c.policies.recordSeq = map[string]uint64{}
	c.reportEffects(c.policies.root.Apply(2, rollout.Command{Tree: &tree}))
	number := uint64(0)
	for round := range uint64(times) {
		for _, node := range tree.Sites[1].Nodes {
			n := node.Name
			number++
			w := sitesync.Write{ID: sitesync.ID{Origin: from, Number: number}, Kind: sitesync.Evidence, Level: 1, Subject: rollout.NodeKey(n),
				Value: fullRecord(n, round+1, 4*round+1)}
			b := &sitesync.Batch{From: sitesync.Place{Site: "b", Level: 1, Incarnation: 1}, Writes: []sitesync.Write{w}}
			if _, refused := c.applyWrite(number+2, writeEntry{Command: &sitesync.Command{Batch: b}}); refused != nil {
				return nil, refused
			}
		}
	}
	return c, err
}

// The root site keeps of a stored record only what is still requested, and the plan has the rest: also after a
// restart, and on a replica that was far behind and got a snapshot.
func TestRootStripsEvidenceFromStoredRecords(t *testing.T) {
	c, err := rootWithRecords(3, 4)
	require.NoError(t, err)
	plan := string(c.policies.root.Encode())
	assert.Contains(t, plan, "class 14")
	raw, err := c.encode()
	require.NoError(t, err)
	other := &Core{Options: Options{Site: &site.Site{}}, schedule: turns.New()}
	require.NoError(t, other.decode(raw))
	again, err := other.encode()
	require.NoError(t, err)
	require.Equal(t, string(raw), string(again))
	for _, core := range []*Core{c, other} {
		assert.Less(t, len(core.siteSync.Encode()), 4096)
		assert.Equal(t, plan, string(core.policies.root.Encode()))
		v, _ := core.siteSync.Value(sitesync.Evidence, rollout.NodeKey("n1"))
		assert.Equal(t, string(record("n1", 4)), string(v.Value))
		assert.Equal(t, uint64(4), core.recordEvidence(0, "n1", nil), "a new leader knows the sequence number of the node's record")
		l := &sitesync.LocalWrite{Kind: sitesync.Evidence, Subject: rollout.NodeKey("n1"), Value: fullRecord("n1", 9, 17)} // of the root's own site
		effects, refused := core.applyWrite(99, writeEntry{Command: &sitesync.Command{Write: l}})
		require.NoError(t, refused)
		assert.Equal(t, string(fullRecord("n1", 9, 17)), string(effects[0].Write.Value), "the effect has the whole record")
		assert.Equal(t, uint64(9), core.recordEvidence(0, "n1", nil))
	}
	assert.Equal(t, string(c.policies.root.Encode()), string(other.policies.root.Encode()))
	assert.Equal(t, string(c.siteSync.Encode()), string(other.siteSync.Encode()))
}

// BenchmarkSnapshot encodes the whole state of a root site whose nodes have sent records of some 56 KiB twice.
func BenchmarkSnapshot(b *testing.B) {
	for _, nodes := range []int{300, 3000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c, err := rootWithRecords(nodes, 2)
			require.NoError(b, err)
			bytes := 0
			for b.Loop() {
				raw, err := c.encode()
				require.NoError(b, err)
				bytes = len(raw)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}

// A probe is answered without a commit and without the root's age; the answer says whether writes of an earlier call
// are being committed.
func TestProbeIsAnsweredWithoutCommit(t *testing.T) {
	a := newSoleVoter(t)
	call := func(b sitesync.Batch) (got *sitesync.Answer, r *peerpb.ReplayReply) {
		b.From = sitesync.Place{Site: "b", Level: 1, Incarnation: 1}
		a.core.Replay(a.now, &peerpb.ReplayRequest{Site: "b", Batch: b.Bytes()}, func(reply *peerpb.ReplayReply) { r = reply })
		require.NotNil(t, r)
		got, err := sitesync.ParseAnswer(r.Answer)
		require.NoError(t, err)
		return got, r
	}
	call(sitesync.Batch{})
	applied := a.core.AppliedIndex()
	got, r := call(sitesync.Batch{Probe: true, Waiting: 1})
	assert.Equal(t, applied, a.core.AppliedIndex())
	assert.Nil(t, got.Down)
	assert.Nil(t, r.AgeUs, "the answer to a probe does not carry the root's state")
	assert.Equal(t, 1, got.Credit)
	w := sitesync.Write{ID: sitesync.ID{Origin: sitesync.Origin{Site: "b", Incarnation: 1}, Number: 1}, Kind: sitesync.Note, Subject: "x", Value: []byte("x")}
	call(sitesync.Batch{Writes: []sitesync.Write{w}})
	assert.Zero(t, a.core.pendingBatches["b"], "a group of one commits at once")
	a.core.pendingBatches["b"]++
	got, _ = call(sitesync.Batch{Probe: true, Waiting: 1, Queries: []sitesync.Origin{w.ID.Origin}})
	assert.True(t, got.Working)
	assert.Zero(t, got.Credit)
	assert.Equal(t, uint64(1), got.Seen.Highest(w.ID.Origin))
}
