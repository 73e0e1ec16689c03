package province

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// ofLists are worlds whose hosts leave the lists for their work, with some lists late or dead.
func ofLists(seed uint64, l Lists, faults bool) Options {
	o := small
	l.Leave = true
	o.Seed, o.Lists, o.Faults, o.Overrun = seed, l, faults, false
	return o
}

var listWorlds = []Lists{
	{},
	{Late: 2, By: 5 * time.Second}, {Dead: 2},
	{Late: 1, By: 5 * time.Second, AtLeader: true}, {Late: 1, By: 20 * time.Second, AtLeader: true}, {Dead: 1, AtLeader: true},
}

// TestTurnsWithLateAndDeadLists: whichever lists are late or dead, the leader's too, turns end, and none before its host is
// back; go test ./rehearsal/province -run DeadLists -v -args -worlds 100 -figures
func TestTurnsWithLateAndDeadLists(t *testing.T) {
	for _, l := range listWorlds {
		for _, faults := range []bool{false, true} {
			if faults && l.Late > 1 {
				continue // nodes that are cut off leave more than half of the lists that are heard late: see C4 of package hostview
			}
			n := uint64(3)
			if *figures {
				n = uint64(*worlds)
			}
			var all Tally
			for seed := *first; seed < *first+n; seed++ {
				got := Run(ofLists(seed, l, faults), teller(t))
				assert.Empty(t, got.Broken, "%+v, faults %v, seed %d", l, faults, seed)
				assert.Zero(t, got.Undone, "%+v, faults %v, seed %d", l, faults, seed)
				all.add(got)
				all.Back, all.Whole = append(all.Back, got.Back...), append(all.Whole, got.Whole...)
			}
			t.Logf("%s: %d done, %d not, %d said to be back and not; work done to back %v (median), %v (p99); asked to back %v, %v",
				fmt.Sprintf("%+v, faults %v", l, faults), all.Done, all.Undone, len(all.Broken), Quantile(all.Back, 0.5).Round(time.Millisecond),
				Quantile(all.Back, 0.99).Round(time.Millisecond), Quantile(all.Whole, 0.5).Round(time.Millisecond), Quantile(all.Whole, 0.99).Round(time.Millisecond))
		}
	}
}
