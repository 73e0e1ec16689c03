package province

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/choice/sitesync"
)

// TestLostStoreBlocksNoWrite: a store is lost with a write that had not left its site, and a write at another site names that
// write by a token. The second write is judged once all sites have synced again.
func TestLostStoreBlocksNoWrite(t *testing.T) {
	for seed := range uint64(4) { // incarnations are random numbers: the later one may be the lower
		testLostStore(t, seed, []Level{{1, 1, 1}, {2, 1, 1}}, lossCase{})
	}
}

// TestIdleSiteBlocksNoWrite: the same with a third site that has nothing to send.
func TestIdleSiteBlocksNoWrite(t *testing.T) {
	testLostStore(t, 1, []Level{{1, 1, 1}, {3, 1, 1}}, lossCase{})
}

// TestSiteThatBypassedItsParentReportsAgain: the same with a building that synced with the province directly while its regency
// was cut off, and has synced with the regency since.
func TestSiteThatBypassedItsParentReportsAgain(t *testing.T) {
	testLostStore(t, 1, []Level{{1, 1, 1}, {2, 1, 1}, {1, 1, 1}}, lossCase{bypassed: true})
}

// TestLostIncarnationThatNeverSynced: the store is lost before its site has synced with any other, so that only a token names
// its incarnation. Nothing is written at the site afterwards.
func TestLostIncarnationThatNeverSynced(t *testing.T) {
	testLostStore(t, 1, []Level{{1, 1, 1}, {2, 1, 1}, {1, 1, 1}}, lossCase{neverSynced: true})
}

// lossCase is a variant of testLostStore.
type lossCase struct {
	bypassed    bool // before the loss, a building synced with the province directly, past its regency
	neverSynced bool // the lost store is that of a building that never synced
}

// testLostStore loses the store of a site with a write that no other site has, but that a write at another site names by a
// token, and requires that the second write is judged.
func testLostStore(t *testing.T, seed uint64, levels []Level, scenario lossCase) {
	o := smallWorld
	o.Seed, o.Levels, o.SharedHosts, o.Writes, o.TurnRequests = seed, levels, 1, 1, 0
	w := newWorld(o, tracer(t))
	w.startNodes()
	var regencies []*siteState
	for _, site := range w.sites {
		if site.parent == w.sites[0] {
			regencies = append(regencies, site)
		}
	}
	lost, other := regencies[0], regencies[1]
	var heals []func()
	cut := func(from, to *siteState) { heals = append(heals, w.partition(from, to, true)) }
	if scenario.neverSynced {
		lost = w.sites[2]
		cut(lost, w.sites[0])
		cut(lost, lost.parent)
	}
	writeAt := func(site, from *siteState) *write {
		return w.write(site, site.nodes[0], subject{sitesync.Work, "work/0"}, sitesync.LocalWrite{Value: []byte("done")}, from, false)
	}
	w.runUntil(5 * time.Second)
	if scenario.bypassed {
		heal := w.partition(w.sites[len(w.sites)-1], other, true)
		w.runUntil(45 * time.Second)
		require.NotZero(t, w.tally.BypassReplies)
		heal()
		w.runUntil(55 * time.Second)
	}
	started := w.now
	cut(lost, w.sites[0])
	for _, site := range w.sites {
		if site.parent == lost { // otherwise it would receive the write too
			cut(site, lost)
		}
	}
	writeAt(lost, nil)
	w.runUntil(started + time.Second)
	x := writeAt(other, lost)
	w.runUntil(started + 2*time.Second)
	w.loseStores(lost, time.Second)
	w.runUntil(started + 5*time.Second)
	for _, heal := range heals {
		heal()
	}
	w.runUntil(started + 45*time.Second)
	require.True(t, x.committed)
	assert.NotEmpty(t, w.readReceipt(other, w.reader(other), x), "seed %d", seed)
}
