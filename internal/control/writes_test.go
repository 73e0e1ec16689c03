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

func record(node string, told uint64) []byte {
	return rollout.Record{Node: node, Sequence: told, Status: rollout.NodeStatus{Node: node}}.Bytes()
}

// TestEvidenceIsMergedByItsHead, and still is once the state went through a snapshot.
func TestEvidenceIsMergedByItsHead(t *testing.T) {
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
	_, err = c.write(1, written{Place: &sitesync.Place{Site: "b", Level: 2, Incarnation: 1, Ancestors: []string{"p"}},
		Limits: sitesync.Limits{Bytes: 1 << 20, Number: 100, Batch: 9}})
	require.NoError(t, err)
	for told := range uint64(3) {
		raw, err := c.encode()
		require.NoError(t, err)
		require.NoError(t, c.decode(raw))
		l := &sitesync.LocalWrite{Kind: sitesync.Evidence, Subject: rollout.NodeKey("n"), Value: record("n", told+1)}
		_, err = c.write(1, written{Command: &sitesync.Command{Write: l}})
		require.NoError(t, err)
	}
	v, _ := c.siteSync.Value(sitesync.Evidence, rollout.NodeKey("n"))
	assert.Equal(t, string(record("n", 3)), string(v.Value))
	id, err := parseID(v.Write.ID.String())
	require.NoError(t, err)
	assert.Equal(t, v.Write.ID, id)
}

// full is the longest record of a node, or nearly.
func full(node string, told, slice uint64) []byte {
	r := rollout.Record{Node: node, Sequence: told, Status: rollout.NodeStatus{Node: node}}
	for i := range uint64(8) {
		e := rollout.Evidence{Node: node, Slice: slice + i}
		for j := range 15 {
			e.Counts = append(e.Counts, rollout.Counts{Class: fmt.Sprint("class ", j), Offered: told, Served: told, SetUp: make([]byte, 260)})
		}
		r.Slices = append(r.Slices, e)
	}
	return r.Bytes()
}

// ofNodes is the top above a site each of whose nodes has told its record so many times.
func ofNodes(nodes, times int) (*Core, error) {
	c := &Core{Options: Options{Site: &site.Site{}}, schedule: turns.New()}
	_, err := c.write(1, written{Place: &sitesync.Place{Site: "p", Incarnation: 1}, Limits: sitesync.Limits{Bytes: 16 << 20, Number: 50000, Batch: 256}})
	from := sitesync.Origin{Site: "b", Incarnation: 1, Evidence: true}
	tree := rollout.Tree{Sites: []rollout.Site{{Name: "p"}, {Name: "b", Parent: "p"}}}
	for i := range nodes {
		tree.Sites[1].Nodes = append(tree.Sites[1].Nodes, rollout.TreeNode{Name: fmt.Sprint("n", i), Zone: "z"})
	}
	c.policies.told = map[string]uint64{}
	c.tellAll(c.policies.top.Apply(2, rollout.Command{Tree: &tree}))
	number := uint64(0)
	for t := range uint64(times) {
		for _, place := range tree.Sites[1].Nodes {
			n := place.Name
			number++
			w := sitesync.Write{ID: sitesync.ID{Origin: from, Number: number}, Kind: sitesync.Evidence, Level: 1, Subject: rollout.NodeKey(n),
				Value: full(n, t+1, 4*t+1)}
			b := &sitesync.Batch{From: sitesync.Place{Site: "b", Level: 1, Incarnation: 1}, Writes: []sitesync.Write{w}}
			if _, refused := c.write(number+2, written{Command: &sitesync.Command{Batch: b}}); refused != nil {
				return nil, refused
			}
		}
	}
	return c, err
}

// TestTheTopKeepsOfARecordWhatIsStillAsked, and the plan has the rest: also after a restart, and at a seat that was far behind.
func TestTheTopKeepsOfARecordWhatIsStillAsked(t *testing.T) {
	c, err := ofNodes(3, 4)
	require.NoError(t, err)
	plan := string(c.policies.top.Encode())
	assert.Contains(t, plan, "class 14")
	raw, err := c.encode()
	require.NoError(t, err)
	other := &Core{Options: Options{Site: &site.Site{}}, schedule: turns.New()}
	require.NoError(t, other.decode(raw))
	again, err := other.encode()
	require.NoError(t, err)
	require.Equal(t, string(raw), string(again))
	for _, seat := range []*Core{c, other} {
		assert.Less(t, len(seat.siteSync.Encode()), 4096)
		assert.Equal(t, plan, string(seat.policies.top.Encode()))
		v, _ := seat.siteSync.Value(sitesync.Evidence, rollout.NodeKey("n1"))
		assert.Equal(t, string(record("n1", 4)), string(v.Value))
		assert.Equal(t, uint64(4), seat.recorded(0, "n1", nil), "a new leader knows how far the node has told")
		l := &sitesync.LocalWrite{Kind: sitesync.Evidence, Subject: rollout.NodeKey("n1"), Value: full("n1", 9, 17)} // of the top's own site
		f, refused := seat.write(99, written{Command: &sitesync.Command{Write: l}})
		require.NoError(t, refused)
		assert.Equal(t, string(full("n1", 9, 17)), string(f[0].Write.Value), "what is handed over is whole")
		assert.Equal(t, uint64(9), seat.recorded(0, "n1", nil))
	}
	assert.Equal(t, string(c.policies.top.Encode()), string(other.policies.top.Encode()))
	assert.Equal(t, string(c.siteSync.Encode()), string(other.siteSync.Encode()))
}

// BenchmarkSnapshot is the whole state of a top whose nodes have told records of some 56 KiB twice.
func BenchmarkSnapshot(b *testing.B) {
	for _, nodes := range []int{300, 3000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c, err := ofNodes(nodes, 2)
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

// TestAQuestionIsAnsweredAtOnce without a commit and without the top's age, and says whether writes of an earlier call are being
// agreed on.
func TestAQuestionIsAnsweredAtOnce(t *testing.T) {
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
	assert.Nil(t, r.AgeUs, "what holds there is not known here by it")
	assert.Equal(t, 1, got.Credit)
	w := sitesync.Write{ID: sitesync.ID{Origin: sitesync.Origin{Site: "b", Incarnation: 1}, Number: 1}, Kind: sitesync.Note, Subject: "x", Value: []byte("x")}
	call(sitesync.Batch{Writes: []sitesync.Write{w}})
	assert.Zero(t, a.core.pendingBatches["b"], "a council of one agrees at once")
	a.core.pendingBatches["b"]++
	got, _ = call(sitesync.Batch{Probe: true, Waiting: 1, Queries: []sitesync.Origin{w.ID.Origin}})
	assert.True(t, got.Working)
	assert.Zero(t, got.Credit)
	assert.Equal(t, uint64(1), got.Seen.Highest(w.ID.Origin))
}
