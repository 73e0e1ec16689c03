package sendlease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var terms = Terms{Lasts: 10 * time.Second, Drift: 0.1}

const s = time.Second

// taken makes what an answer brought durable and hands the verdict to the loop.
func taken(h *Holder, now time.Duration, a Answer) Verdict {
	if save, _ := h.Answer(now, a); save {
		h.Saved()
		h.Stored()
	}
	v := h.Verdict()
	h.InEffect(v)
	return v
}

func TestANodeThatWasNeverToldWithholdsAll(t *testing.T) {
	h := NewHolder(terms, "n1", Saved{Life: 7})
	assert.True(t, h.Verdict().Withholds("a", 0))
	q := h.Ask(1 * s)
	assert.Equal(t, Question{Node: "n1", Life: 7, Seq: 1}, q)
	v := taken(h, 2*s, Answer{Seq: 1, Applied: 5, Outs: []Out{{"b", 4}}})
	assert.False(t, v.Withholds("a", 10*s), "the right has come")
	assert.True(t, v.Withholds("b", 10*s))
	assert.False(t, v.Withholds("a", 11*s), "there is no horizon that the council could go by")
	assert.True(t, v.Withholds("b", 11*s))
	assert.Equal(t, []Out{{"b", 4}}, h.Ask(3*s).Holds)
}

func TestARightCountsFromTheQuestionAndIsTakenWithItsNewsDurable(t *testing.T) {
	h := NewHolder(terms, "n1", Saved{Life: 7, Horizons: []Horizon{{1, []string{"a"}}}, Recorded: 1, Applied: 3})
	v := h.Verdict()
	h.InEffect(v)
	assert.True(t, v.Withholds("a", 0))
	assert.False(t, v.Withholds("b", 0), "it goes on without its council, less what may be in work")
	h.Ask(1 * s)
	save, changed := h.Answer(9*s, Answer{Seq: 1, Applied: 8, Outs: []Out{{"b", 7}}, Horizon: Horizon{2, []string{"c"}}, Recorded: 1})
	assert.True(t, save)
	assert.True(t, changed)
	v = h.Verdict()
	assert.Equal(t, Verdict{Outs: []Out{{"b", 7}}, Lapsed: []string{"a", "c"}, Horizon: 2}, v, "wider at once, no right yet")
	h.InEffect(v)
	q := h.Ask(9 * s)
	assert.Empty(t, q.Holds, "not durable")
	assert.EqualValues(t, 1, q.Acked)
	assert.Len(t, h.Saved().Horizons, 2)
	h.Stored()
	v = h.Verdict()
	assert.Equal(t, 11*s, v.Until)
	assert.False(t, v.Withholds("a", 11*s-1))
	assert.True(t, v.Withholds("a", 11*s))
	q = h.Ask(9 * s)
	assert.Equal(t, []Out{{"b", 7}}, q.Holds)
	assert.EqualValues(t, 2, q.Acked)

	save, changed = h.Answer(30*s, Answer{Seq: 3, Applied: 8, Outs: []Out{{"b", 7}}, Horizon: Horizon{2, []string{"c"}}, Recorded: 1})
	assert.False(t, save)
	assert.True(t, changed, "its right has run out, and is longer than the last all the same")
	save, changed = h.Answer(30*s, Answer{Seq: 2, Applied: 9})
	assert.False(t, save || changed, "a newer question was answered")
	h.Ask(30 * s)
	save, changed = h.Answer(30*s, Answer{Seq: 4, Applied: 7})
	assert.False(t, save || changed, "an older log")
	save, _ = h.Answer(30*s, Answer{Seq: 5, Applied: 9})
	assert.False(t, save, "nobody asked")
	assert.Equal(t, []string{"c"}, taken(h, 31*s, Answer{Seq: 4, Applied: 9, Horizon: Horizon{2, nil}, Recorded: 2}).Lapsed)
	h.Ask(32 * s)
	h.Ask(41 * s)
	save, _ = h.Answer(41*s, Answer{Seq: 5, Applied: 10, Outs: []Out{{"d", 9}}, Horizon: Horizon{2, nil}})
	assert.True(t, save, "a host more that is out")
	assert.False(t, h.Verdict().All, "what was recorded once stays so")
	h.Saved()
	h.Stored()
	assert.Equal(t, 42*s, h.Verdict().Until)
}

func TestALaterRightIsNotShortenedByWhatIsStoredLate(t *testing.T) {
	h := NewHolder(terms, "n1", Saved{Life: 7, Horizons: []Horizon{{1, nil}}, Recorded: 1})
	h.Ask(0)
	h.Ask(5 * s)
	save, _ := h.Answer(6*s, Answer{Seq: 1, Applied: 2, Outs: []Out{{"b", 2}}, Horizon: Horizon{1, nil}, Recorded: 1})
	assert.True(t, save)
	h.Saved()
	save, _ = h.Answer(7*s, Answer{Seq: 2, Applied: 3, Horizon: Horizon{1, nil}, Recorded: 1}) // b is back: as the store has it
	assert.False(t, save)
	h.Stored()
	assert.Equal(t, 15*s, h.Verdict().Until)
}

// TestAStoreThatDoesNotHoldWhatTheCouncilGoesBy covers a store that was lost, and one that was put back.
func TestAStoreThatDoesNotHoldWhatTheCouncilGoesBy(t *testing.T) {
	for _, st := range []Saved{{Life: 8}, {Life: 7, Horizons: []Horizon{{3, []string{"a"}}}, Recorded: 3}} {
		h := NewHolder(terms, "n1", st)
		h.Ask(0)
		v := taken(h, 1*s, Answer{Seq: 1, Applied: 8, Horizon: Horizon{6, []string{"b"}}, Recorded: 5})
		assert.False(t, v.Withholds("x", 9*s))
		assert.True(t, v.Withholds("x", 10*s), "it may go by 5")
		h.Ask(20 * s)
		v = taken(h, 21*s, Answer{Seq: 2, Applied: 9, Horizon: Horizon{6, nil}, Recorded: 6})
		assert.False(t, v.Withholds("x", 40*s))
		assert.True(t, v.Withholds("b", 40*s))
	}
}

func TestALeaderCountsLonger(t *testing.T) {
	tab := NewTable(terms)
	assert.Equal(t, Running, tab.Standing(time.Hour, "n1"), "it does not lead")
	tab.Answered(time.Hour, "n1")
	tab.Lead(100 * s)
	end := 100*s + 11*s + time.Millisecond
	assert.Equal(t, Running, tab.Standing(end, "n1"))
	assert.Equal(t, Lapsed, tab.Standing(end+1, "n1"))
	tab.Answered(105*s, "n1")
	tab.Answered(104*s, "n1")
	assert.Equal(t, Running, tab.Standing(end+5*s, "n1"))
	assert.Equal(t, Lapsed, tab.Standing(end+5*s+1, "n1"))
	tab.Holds(0, Question{Node: "n1", Holds: []Out{{"a", 4}, {"b", 6}}})
	tab.Holds(0, Question{Node: "n1", Holds: []Out{{"a", 2}}})
	assert.Equal(t, map[string]uint64{"a": 4, "b": 6}, tab.Confirmed("n1"), "an older question takes nothing back")
	tab.Resign()
	tab.Holds(0, Question{Node: "n1", Holds: []Out{{"a", 4}}})
	assert.Empty(t, tab.Confirmed("n1"))
	tab.Lead(time.Hour)
	assert.Equal(t, Running, tab.Standing(time.Hour, "n1"))
	assert.Empty(t, tab.Confirmed("n1"))
}

func TestWhatTheNextQuestionTellsThatTheLastOneDidNot(t *testing.T) {
	h := NewHolder(terms, "n1", Saved{Life: 7})
	last := h.Ask(1 * s)
	taken(h, 1*s, Answer{Seq: 1, Applied: 5, Outs: []Out{{"b", 4}}, Horizon: Horizon{1, []string{"b"}}})
	assert.True(t, h.Tells(last))
	last = h.Ask(2 * s)
	assert.False(t, h.Tells(last))
	taken(h, 2*s, Answer{Seq: 2, Applied: 9, Outs: []Out{{"c", 8}}, Horizon: Horizon{1, []string{"b"}}})
	assert.True(t, h.Tells(last), "as many as before, and another one")
	last = h.Ask(3 * s)
	taken(h, 3*s, Answer{Seq: 3, Applied: 10, Horizon: Horizon{1, []string{"b"}}})
	assert.False(t, h.Tells(last), "nobody waits for less")
}
