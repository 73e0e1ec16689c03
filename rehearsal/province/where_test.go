package province

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestWhereTheTimeGoes adds up what turns wait for in the worlds of TestTurnsThePlainWay with faults and no overruns: where every
// restart is that of a machine, and where it is that of a process.
// go test ./rehearsal/province -run WhereTheTime -v -args -worlds 30 -first 0 -figures
func TestWhereTheTimeGoes(t *testing.T) {
	seeds := 1
	if *figures {
		seeds = *worlds
	}
	for _, verified := range []bool{false, true} {
		var all Tally
		for seed := *first; seed < *first+uint64(seeds); seed++ {
			o := smallWorld
			o.Seed, o.Faults, o.Overrun, o.TurnRequests, o.MeasureWaits, o.VerifiedStores = seed, true, false, 8, true, verified
			got := Run(o, tracer(t))
			assert.Empty(t, got.Violations, "seed %d", seed)
			assert.Zero(t, got.Unfinished, "seed %d", seed)
			assert.InDelta(t, o.FaultPhase.Seconds(), got.GroupStates.Sum("").Seconds(), 2*observeInterval.Seconds(), "all of the time is accounted for")
			var waited time.Duration
			for _, d := range got.GrantTimes {
				waited += d
			}
			assert.InDelta(t, waited.Seconds(), got.TurnWaits.Sum("").Seconds(), float64(o.TurnRequests)*observeInterval.Seconds(), "and all that turns waited")
			if *figures {
				t.Logf("seed %d: no quorum %v, waiting for word %v, no leader %v, led %v", seed, got.GroupStates.Sum("b:"), got.GroupStates.Sum("f:"),
					got.GroupStates.Sum("a:"), got.GroupStates.Sum(led))
			}
			all.add(got)
		}
		t.Logf("processes prove their stores %v: %d turns granted after %v (median), %v (p99); %d elections; %d stretches without a "+
			"leader, %v (median), %v (p99); the council, while things break:%s\nturns, from asked to granted:%s", verified, all.Granted,
			Quantile(all.GrantTimes, 0.5), Quantile(all.GrantTimes, 0.99), all.Elections, len(all.LeaderlessTimes), Quantile(all.LeaderlessTimes, 0.5),
			Quantile(all.LeaderlessTimes, 0.99), all.GroupStates.Table(), all.TurnWaits.Table())
	}
}
