package province

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// listOptions returns a world whose hosts leave the lists during their maintenance, with some lists late or dead.
func listOptions(seed uint64, l Lists, faults bool) Options {
	o := smallWorld
	l.RemoveDuringWork = true
	o.Seed, o.Lists, o.Faults, o.Overrun = seed, l, faults, false
	return o
}

var listCases = []Lists{
	{},
	{LateNodes: 2, Delay: 5 * time.Second}, {DeadNodes: 2},
	{LateNodes: 1, Delay: 5 * time.Second, AtLeader: true}, {LateNodes: 1, Delay: 20 * time.Second, AtLeader: true}, {DeadNodes: 1, AtLeader: true},
}

// TestTurnsWithLateAndDeadLists checks that with late or dead lists, also the leader's, every turn ends, and none before its host
// is back in service: go test ./rehearsal/province -run DeadLists -v -args -worlds 100 -figures
func TestTurnsWithLateAndDeadLists(t *testing.T) {
	for _, l := range listCases {
		for _, faults := range []bool{false, true} {
			if faults && l.LateNodes > 1 {
				continue // with some nodes cut off, more than half of the received lists would be late: see C4 of package hostview
			}
			n := uint64(3)
			if *figures {
				n = uint64(*worlds)
			}
			var all Tally
			for seed := *first; seed < *first+n; seed++ {
				got := Run(listOptions(seed, l, faults), tracer(t))
				assert.Empty(t, got.Violations, "%+v, faults %v, seed %d", l, faults, seed)
				assert.Zero(t, got.Unfinished, "%+v, faults %v, seed %d", l, faults, seed)
				all.add(got)
				all.ReturnTimes, all.TotalTimes = append(all.ReturnTimes, got.ReturnTimes...), append(all.TotalTimes, got.TotalTimes...)
			}
			t.Logf("%s: %d turns done, %d not, %d violations; end of work to end of turn %v (median), %v (p99); request to end of turn %v, %v",
				fmt.Sprintf("%+v, faults %v", l, faults), all.Done, all.Unfinished, len(all.Violations), Quantile(all.ReturnTimes, 0.5).Round(time.Millisecond),
				Quantile(all.ReturnTimes, 0.99).Round(time.Millisecond), Quantile(all.TotalTimes, 0.5).Round(time.Millisecond), Quantile(all.TotalTimes, 0.99).Round(time.Millisecond))
		}
	}
}
