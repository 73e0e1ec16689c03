package sendlease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var terms = Terms{Duration: 10 * time.Second, Drift: 0.1}

const s = time.Second

// apply makes the contents of a response durable and passes the restrictions to the event loop.
func apply(h *Holder, now time.Duration, a LeaseResponse) Restrictions {
	if save, _ := h.HandleResponse(now, a); save {
		h.Saved()
		h.MarkStored()
	}
	v := h.Restrictions()
	h.MarkInEffect(v)
	return v
}

func TestNodeWithoutResponseExcludesAll(t *testing.T) {
	h := NewHolder(terms, "n1", Saved{Incarnation: 7})
	assert.True(t, h.Restrictions().Excludes("a", 0))
	q := h.NextRequest(1 * s)
	assert.Equal(t, LeaseRequest{Node: "n1", Incarnation: 7, Seq: 1}, q)
	v := apply(h, 2*s, LeaseResponse{Seq: 1, Applied: 5, ExcludedHosts: []ExcludedHost{{"b", 4}}})
	assert.False(t, v.Excludes("a", 10*s), "the lease is in use")
	assert.True(t, v.Excludes("b", 10*s))
	assert.False(t, v.Excludes("a", 11*s), "there is no exclusion set that the Raft group could rely on")
	assert.True(t, v.Excludes("b", 11*s))
	assert.Equal(t, []ExcludedHost{{"b", 4}}, h.NextRequest(3*s).Confirmed)
}

func TestLeaseCountsFromRequestAndStartsOnceDurable(t *testing.T) {
	h := NewHolder(terms, "n1", Saved{Incarnation: 7, ExclusionSets: []ExclusionSet{{1, []string{"a"}}}, Recorded: 1, Applied: 3})
	v := h.Restrictions()
	h.MarkInEffect(v)
	assert.True(t, v.Excludes("a", 0))
	assert.False(t, v.Excludes("b", 0), "without a lease it still uses the hosts outside its exclusion set")
	h.NextRequest(1 * s)
	save, changed := h.HandleResponse(9*s, LeaseResponse{Seq: 1, Applied: 8, ExcludedHosts: []ExcludedHost{{"b", 7}},
		ExclusionSet: ExclusionSet{2, []string{"c"}}, Recorded: 1})
	assert.True(t, save)
	assert.True(t, changed)
	v = h.Restrictions()
	assert.Equal(t, Restrictions{ExcludedHosts: []ExcludedHost{{"b", 7}}, ExcludedAfterExpiry: []string{"a", "c"}, ExclusionSetVersion: 2},
		v, "more hosts excluded at once, no lease yet")
	h.MarkInEffect(v)
	q := h.NextRequest(9 * s)
	assert.Empty(t, q.Confirmed, "not durable")
	assert.EqualValues(t, 1, q.Acked)
	assert.Len(t, h.Saved().ExclusionSets, 2)
	h.MarkStored()
	v = h.Restrictions()
	assert.Equal(t, 11*s, v.LeaseEnd)
	assert.False(t, v.Excludes("a", 11*s-1))
	assert.True(t, v.Excludes("a", 11*s))
	q = h.NextRequest(9 * s)
	assert.Equal(t, []ExcludedHost{{"b", 7}}, q.Confirmed)
	assert.EqualValues(t, 2, q.Acked)

	save, changed = h.HandleResponse(30*s, LeaseResponse{Seq: 3, Applied: 8, ExcludedHosts: []ExcludedHost{{"b", 7}},
		ExclusionSet: ExclusionSet{2, []string{"c"}}, Recorded: 1})
	assert.False(t, save)
	assert.True(t, changed, "its lease has expired, but still ends later than the last one")
	save, changed = h.HandleResponse(30*s, LeaseResponse{Seq: 2, Applied: 9})
	assert.False(t, save || changed, "a newer request was answered")
	h.NextRequest(30 * s)
	save, changed = h.HandleResponse(30*s, LeaseResponse{Seq: 4, Applied: 7})
	assert.False(t, save || changed, "an older log")
	save, _ = h.HandleResponse(30*s, LeaseResponse{Seq: 5, Applied: 9})
	assert.False(t, save, "no such request was sent")
	assert.Equal(t, []string{"c"},
		apply(h, 31*s, LeaseResponse{Seq: 4, Applied: 9, ExclusionSet: ExclusionSet{2, nil}, Recorded: 2}).ExcludedAfterExpiry)
	h.NextRequest(32 * s)
	h.NextRequest(41 * s)
	save, _ = h.HandleResponse(41*s, LeaseResponse{Seq: 5, Applied: 10, ExcludedHosts: []ExcludedHost{{"d", 9}},
		ExclusionSet: ExclusionSet{2, nil}})
	assert.True(t, save, "one more excluded host")
	assert.False(t, h.Restrictions().AllAfterExpiry, "a recorded version stays recorded")
	h.Saved()
	h.MarkStored()
	assert.Equal(t, 42*s, h.Restrictions().LeaseEnd)
}

func TestLateStoreDoesNotShortenLaterLease(t *testing.T) {
	h := NewHolder(terms, "n1", Saved{Incarnation: 7, ExclusionSets: []ExclusionSet{{1, nil}}, Recorded: 1})
	h.NextRequest(0)
	h.NextRequest(5 * s)
	save, _ := h.HandleResponse(6*s, LeaseResponse{Seq: 1, Applied: 2, ExcludedHosts: []ExcludedHost{{"b", 2}},
		ExclusionSet: ExclusionSet{1, nil}, Recorded: 1})
	assert.True(t, save)
	h.Saved()
	// b is back: the same as the store holds.
	save, _ = h.HandleResponse(7*s, LeaseResponse{Seq: 2, Applied: 3, ExclusionSet: ExclusionSet{1, nil}, Recorded: 1})
	assert.False(t, save)
	h.MarkStored()
	assert.Equal(t, 15*s, h.Restrictions().LeaseEnd)
}

// TestStoreWithoutTheRecordedExclusionSet covers a store that was lost, and one that was restored from an older copy.
func TestStoreWithoutTheRecordedExclusionSet(t *testing.T) {
	for _, st := range []Saved{{Incarnation: 8}, {Incarnation: 7, ExclusionSets: []ExclusionSet{{3, []string{"a"}}}, Recorded: 3}} {
		h := NewHolder(terms, "n1", st)
		h.NextRequest(0)
		v := apply(h, 1*s, LeaseResponse{Seq: 1, Applied: 8, ExclusionSet: ExclusionSet{6, []string{"b"}}, Recorded: 5})
		assert.False(t, v.Excludes("x", 9*s))
		assert.True(t, v.Excludes("x", 10*s), "the Raft group may rely on version 5")
		h.NextRequest(20 * s)
		v = apply(h, 21*s, LeaseResponse{Seq: 2, Applied: 9, ExclusionSet: ExclusionSet{6, nil}, Recorded: 6})
		assert.False(t, v.Excludes("x", 40*s))
		assert.True(t, v.Excludes("b", 40*s))
	}
}

func TestLeaderCountsLeaseLonger(t *testing.T) {
	tab := NewTable(terms)
	assert.Equal(t, Running, tab.LeaseState(time.Hour, "n1"), "it does not lead")
	tab.RecordAnswered(time.Hour, "n1")
	tab.BecomeLeader(100 * s)
	end := 100*s + 11*s + time.Millisecond
	assert.Equal(t, Running, tab.LeaseState(end, "n1"))
	assert.Equal(t, Expired, tab.LeaseState(end+1, "n1"))
	tab.RecordAnswered(105*s, "n1")
	tab.RecordAnswered(104*s, "n1")
	assert.Equal(t, Running, tab.LeaseState(end+5*s, "n1"))
	assert.Equal(t, Expired, tab.LeaseState(end+5*s+1, "n1"))
	tab.RecordConfirmed(0, LeaseRequest{Node: "n1", Confirmed: []ExcludedHost{{"a", 4}, {"b", 6}}})
	tab.RecordConfirmed(0, LeaseRequest{Node: "n1", Confirmed: []ExcludedHost{{"a", 2}}})
	assert.Equal(t, map[string]uint64{"a": 4, "b": 6}, tab.Confirmed("n1"), "an older request removes nothing")
	tab.Resign()
	tab.RecordConfirmed(0, LeaseRequest{Node: "n1", Confirmed: []ExcludedHost{{"a", 4}}})
	assert.Empty(t, tab.Confirmed("n1"))
	tab.BecomeLeader(time.Hour)
	assert.Equal(t, Running, tab.LeaseState(time.Hour, "n1"))
	assert.Empty(t, tab.Confirmed("n1"))
}

func TestHasNews(t *testing.T) {
	h := NewHolder(terms, "n1", Saved{Incarnation: 7})
	last := h.NextRequest(1 * s)
	apply(h, 1*s, LeaseResponse{Seq: 1, Applied: 5, ExcludedHosts: []ExcludedHost{{"b", 4}}, ExclusionSet: ExclusionSet{1, []string{"b"}}})
	assert.True(t, h.HasNews(last))
	last = h.NextRequest(2 * s)
	assert.False(t, h.HasNews(last))
	apply(h, 2*s, LeaseResponse{Seq: 2, Applied: 9, ExcludedHosts: []ExcludedHost{{"c", 8}}, ExclusionSet: ExclusionSet{1, []string{"b"}}})
	assert.True(t, h.HasNews(last), "as many as before, but another host")
	last = h.NextRequest(3 * s)
	apply(h, 3*s, LeaseResponse{Seq: 3, Applied: 10, ExclusionSet: ExclusionSet{1, []string{"b"}}})
	assert.False(t, h.HasNews(last), "fewer excluded hosts are no news")
}
