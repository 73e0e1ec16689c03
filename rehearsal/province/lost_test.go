package province

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/choice/sitesync"
)

// TestALostStoreHoldsNobodyBack: a store is lost with a write that had not left, and a write elsewhere names it by a token.
// That one is judged once all sites have called again.
func TestALostStoreHoldsNobodyBack(t *testing.T) {
	for seed := range uint64(4) { // lives are drawn: the later one may be the lower
		lostStore(t, seed, []Level{{1, 1, 1}, {2, 1, 1}}, story{})
	}
}

// TestAnIdleSiteIsNotWaitedFor, though there is nothing that it has to send.
func TestAnIdleSiteIsNotWaitedFor(t *testing.T) {
	lostStore(t, 1, []Level{{1, 1, 1}, {3, 1, 1}}, story{})
}

// TestWhoWentRoundCallsOnceMore: a building called the province while its regency was cut off, and calls the regency since.
func TestWhoWentRoundCallsOnceMore(t *testing.T) {
	lostStore(t, 1, []Level{{1, 1, 1}, {2, 1, 1}, {1, 1, 1}}, story{round: true})
}

// TestALifeThatNobodyHeardOf: the store was lost before its site had called anybody, and only a token names it. Nothing is
// written there since.
func TestALifeThatNobodyHeardOf(t *testing.T) {
	lostStore(t, 1, []Level{{1, 1, 1}, {2, 1, 1}, {1, 1, 1}}, story{unheard: true})
}

// story is what is special about a lost store.
type story struct {
	round   bool // a building went round its regency before
	unheard bool // it is a building's, which never called
}

func lostStore(t *testing.T, seed uint64, levels []Level, s story) {
	o := small
	o.Seed, o.Levels, o.Hand, o.Writes, o.Asks = seed, levels, 1, 1, 0
	w := build(o, teller(t))
	w.begin()
	var regencies []*place
	for _, p := range w.sites {
		if p.up == w.sites[0] {
			regencies = append(regencies, p)
		}
	}
	lost, other := regencies[0], regencies[1]
	var mends []func()
	cut := func(p, q *place) { mends = append(mends, w.part(p, q, true)) }
	if s.unheard {
		lost = w.sites[2]
		cut(lost, w.sites[0])
		cut(lost, lost.up)
	}
	writes := func(p, from *place) *write {
		return w.write(p, p.nodes[0], subject{sitesync.Work, "work/0"}, sitesync.LocalWrite{Value: []byte("done")}, from, false)
	}
	w.until(5 * time.Second)
	if s.round {
		mend := w.part(w.sites[len(w.sites)-1], other, true)
		w.until(45 * time.Second)
		require.NotZero(t, w.tally.Round)
		mend()
		w.until(55 * time.Second)
	}
	begun := w.now
	cut(lost, w.sites[0])
	for _, p := range w.sites {
		if p.up == lost { // it would have the write as well
			cut(p, lost)
		}
	}
	writes(lost, nil)
	w.until(begun + time.Second)
	x := writes(other, lost)
	w.until(begun + 2*time.Second)
	w.lose(lost, time.Second)
	w.until(begun + 5*time.Second)
	for _, mend := range mends {
		mend()
	}
	w.until(begun + 45*time.Second)
	require.True(t, x.agreed)
	assert.NotEmpty(t, w.receipt(other, w.reader(other), x), "seed %d", seed)
}
