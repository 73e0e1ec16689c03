package rollout

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // deterministic results
	m.Run()
}

// drawRecord draws a record of one node from a small set of values, so that ties occur.
func drawRecord(t *rapid.T, label string) Record {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	r := Record{Node: "n", Sequence: uint64(1 + pick(3)), OutOfService: pick(2), Status: NodeStatus{Node: "n", Round: uint64(pick(2))}}
	for range pick(12) {
		e := Evidence{Node: "n", Policy: "p", Slice: uint64(pick(14)), At: time.Duration(pick(2)), Starts: pick(2)}
		for range pick(3) {
			length := []int{1, 2, maxSliceBytes - 200, maxSliceBytes}[pick(4)]
			e.Counts = append(e.Counts, Counts{Class: strings.Repeat("c", length), Offered: uint64(pick(3)), SetUp: make([]byte, 20)})
		}
		r.Slices = append(r.Slices, e)
	}
	for range pick(12) {
		r.Fired = append(r.Fired, FiredGuard{uint64(pick(9)), uint64(pick(2)), "p", strings.Repeat("<<\xff", pick(3)*40)})
	}
	return r
}

// R1 and R3.
func TestRecordsMerge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b, c := drawRecord(rt, "a"), drawRecord(rt, "b"), drawRecord(rt, "c")
		one := func(r Record) string {
			raw := r.Bytes()
			require.LessOrEqual(rt, len(raw), MaxRecord)
			_, err := ParseRecord(raw)
			require.NoError(rt, err)
			return string(raw)
		}
		require.Equal(rt, one(a), one(a.Merge(a)), "idempotent")
		require.Equal(rt, one(a.Merge(b)), one(b.Merge(a)), "commutative")
		require.Equal(rt, one(a.Merge(b).Merge(c)), one(a.Merge(b.Merge(c))), "associative")
	})
	full := Record{Node: "n", Sequence: 1, Status: NodeStatus{Node: "n"}}
	for i := range uint64(maxSlices) {
		full.Slices = append(full.Slices, Evidence{Slice: i, Counts: []Counts{{Class: strings.Repeat("c", maxSliceBytes-120)}}})
		full.Fired = append(full.Fired, FiredGuard{Slice: i, Policy: EmptyPolicy().Hash(), Guard: strings.Repeat("<", 200)})
	}
	require.Greater(t, len(full.Bytes()), MaxRecord-4<<10)
	require.LessOrEqual(t, len(full.Bytes()), MaxRecord)
	for _, bad := range []string{"", recordHead + "{}" + recordEnd, recordHead + "x" + recordEnd} {
		_, err := MergeRecords([]byte(bad), []byte(bad))
		var u *DecodeError
		require.ErrorAs(t, err, &u)
	}
	_, err := MergeRecords(Record{Node: "a", Sequence: 1, Status: NodeStatus{Node: "a"}}.Bytes(),
		Record{Node: "b", Sequence: 1, Status: NodeStatus{Node: "b"}}.Bytes())
	require.ErrorContains(t, err, "belong to different nodes")
}

// reporterHarness is a node whose site has slices of a minute.
type reporterHarness struct {
	*Reporter
	now         time.Duration
	status      NodeStatus
	maintenance bool
}

func newReporterHarness(now time.Duration) *reporterHarness {
	return &reporterHarness{Reporter: NewReporter("n", "z"), now: now, status: NodeStatus{Node: "n", Policy: "p", Round: 1}}
}

func (n *reporterHarness) tick(step time.Duration, policy Hash, counts []Counts, guards ...string) {
	n.now += step
	n.Tick(n.now, time.Minute, n.status, 2, 3, n.maintenance)
	n.Count(n.now, policy, counts, guards)
}

func (n *reporterHarness) newest(t require.TestingT) Record {
	require.NotNil(t, n.Pending())
	r, err := ParseRecord(n.Pending())
	require.NoError(t, err)
	return r
}

// R2: the newest record of a node contains everything that the earlier ones contained, within the bounds of R3, whatever was
// lost, and sequence numbers increase.
func TestTheNewestRecordContainsAllEarlierOnes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newReporterHarness(1000 * time.Hour)
		var all [][]byte
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			step := time.Duration(rapid.IntRange(-5, 40).Draw(rt, "seconds")) * time.Second
			n.status.Round = max(n.status.Round, uint64(rapid.IntRange(0, 30).Draw(rt, "round")))
			var guards []string
			if rapid.IntRange(0, 5).Draw(rt, "fires") == 0 {
				guards = []string{"drain"}
			}
			n.tick(step, "p", []Counts{{Class: "c", Offered: 1}}, guards...)
			if raw := n.Pending(); len(all) == 0 || string(all[len(all)-1]) != string(raw) {
				all = append(all, raw)
			}
		}
		last := n.newest(rt)
		for _, raw := range all[:len(all)-1] {
			r, err := ParseRecord(raw)
			require.NoError(rt, err)
			require.Less(rt, r.Sequence, last.Sequence)
			merged, err := MergeRecords(raw, n.Pending())
			require.NoError(rt, err)
			require.Equal(rt, string(n.Pending()), string(merged))
		}
	})
}

// R2, when the clock steps back over the end of a slice: that slice ends twice but takes only one of the eight places.
func TestASliceThatEndsTwiceIsStoredOnce(t *testing.T) {
	n := newReporterHarness(1000 * time.Hour)
	add := []Counts{{Class: "c", Offered: 1}}
	var before []byte
	for i := range maxSlices + 2 {
		n.tick(time.Minute, "p", add)
		if i == maxSlices/2 {
			n.tick(-10*time.Second, "p", add)
			n.tick(10*time.Second, "p", add)
		}
		before = n.Pending()
	}
	n.tick(time.Second, "p", add, "drain")
	require.Len(t, n.newest(t).Slices, maxSlices)
	merged, err := MergeRecords(before, n.Pending())
	require.NoError(t, err)
	assert.Equal(t, string(n.Pending()), string(merged))
}

func TestAReporterPublishesItsSlices(t *testing.T) {
	n := newReporterHarness(1000*time.Hour + 10*time.Second)
	n.Count(n.now, "p", []Counts{{Class: "c", Offered: 9}}, nil)
	n.Tick(n.now, 0, n.status, 0, 0, false)
	assert.NotNil(t, n.Pending(), "the status is published before any slice")
	h := NewSetUps()
	h.Add(time.Millisecond)
	add := []Counts{{Class: "c", Offered: 5, Served: 4, Failed: 1, SetUp: h.Bytes()}, {Class: "c", Tenant: "t", Offered: 1, Value: 2}}
	for range 6 {
		n.tick(20*time.Second, "p", add)
	}
	r := n.newest(t)
	require.Len(t, r.Slices, 2)
	assert.True(t, r.Slices[0].Tainted, "the first slice of the process")
	assert.Equal(t, 3, r.OutOfService)
	e := r.Slices[1]
	assert.Equal(t, Evidence{Node: "n", Zone: "z", Policy: "p", Slice: 60001, Starts: 2, At: e.At, Counts: []Counts{
		{Class: "c", Offered: 15, Served: 12, Failed: 3, SetUp: e.Counts[0].SetUp}, {Class: "c", Tenant: "t", Offered: 3, Value: 6}}}, e)
	sum, err := decodeSetUps(e.Counts[0].SetUp)
	require.NoError(t, err)
	all, _ := sum.countSlow(1)
	assert.Equal(t, 3.0, all, "histograms are merged")
	n.Acknowledge(n.Newest().Sequence)
	assert.Nil(t, n.Pending())
	n.tick(time.Second, "p", nil)
	assert.Nil(t, n.Pending(), "nothing new")

	tainted := func(what string, do func()) {
		t.Helper()
		n.tick(time.Minute-n.now%time.Minute, n.status.Policy, add)
		do()
		n.tick(time.Minute-n.now%time.Minute, n.status.Policy, add)
		r := n.newest(t)
		assert.Equal(t, what != "", r.Slices[len(r.Slices)-1].Tainted, what)
		n.tick(time.Minute, n.status.Policy, add) // a slice without a cause of tainting
	}
	tainted("", func() { n.tick(time.Second, "p", add) })
	tainted("maintenance", func() { n.maintenance = true; n.tick(time.Second, "p", add); n.maintenance = false })
	tainted("another policy was counted", func() { n.tick(time.Second, "q", add) })
	tainted("another policy was assigned", func() { n.status.Policy, n.status.Round = "q", 7; n.tick(time.Second, "q", add) })
	tainted("invalid histogram", func() { n.tick(time.Second, "q", []Counts{{Class: "c", SetUp: []byte("x")}}) })
	n.Acknowledge(n.Newest().Sequence)
	n.tick(time.Second, "p", nil, "late")
	n.tick(time.Second, "q", nil, "drain")
	slice := uint64(n.now / time.Minute)
	assert.Equal(t, []FiredGuard{{slice, 1, "p", "late"}, {slice, 7, "q", "drain"}}, n.newest(t).Fired,
		"published at once, with the round of the policy")
	n.tick(time.Minute, "q", add)
	n.tick(time.Minute, "q", add)
	before := n.newest(t)
	require.False(t, before.Slices[maxSlices-1].Tainted)
	n.status.Policy, n.status.Fallback = "p", LeaseExpired
	n.tick(time.Second, "q", add)
	require.True(t, n.newest(t).Slices[maxSlices-1].Tainted, "its record was not delivered before the trial lease expired")
	n.now -= time.Hour
	n.tick(0, "q", nil, "again")
	assert.Greater(t, n.newest(t).Sequence, before.Sequence, "although the clock went back")
	n.Tick(n.now, time.Hour, n.status, 0, 0, false)
	n.Count(n.now+time.Hour, "", nil, nil)
	n.Count(n.now+2*time.Hour, "", nil, nil)
	r = n.newest(t)
	require.Len(t, r.Slices, 1, "slices of another length have other numbers")
	assert.Equal(t, EmptyPolicy().Hash(), r.Slices[0].Policy)
}
