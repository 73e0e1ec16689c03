package province

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestWhereTheTimeGoes adds up what turns wait for in the worlds of TestTurnsThePlainWay with faults and without overruns: first
// with every restart that of a machine, then with every restart that of a process.
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
			assert.InDelta(t, o.FaultPhase.Seconds(), got.GroupStates.Sum("").Seconds(), 2*observeInterval.Seconds(), "the causes of the group states have to add up to the time of the site")
			var waited time.Duration
			for _, d := range got.GrantTimes {
				waited += d
			}
			assert.InDelta(t, waited.Seconds(), got.TurnWaits.Sum("").Seconds(), float64(o.TurnRequests)*observeInterval.Seconds(), "the causes of the turns have to add up to the waiting times")
			if *figures {
				t.Logf("seed %d: no quorum %v, waiting for confirmation %v, no leader %v, led %v", seed, got.GroupStates.Sum("b:"), got.GroupStates.Sum("f:"),
					got.GroupStates.Sum("a:"), got.GroupStates.Sum(led))
			}
			all.add(got)
		}
		t.Logf("stores verified at a restart %v: %d turns granted after %v (median), %v (p99); %d elections; %d periods without a "+
			"leader, %v (median), %v (p99); the consensus group in the fault phase:%s\nturns, from request to grant:%s", verified, all.Granted,
			Quantile(all.GrantTimes, 0.5), Quantile(all.GrantTimes, 0.99), all.Elections, len(all.LeaderlessTimes), Quantile(all.LeaderlessTimes, 0.5),
			Quantile(all.LeaderlessTimes, 0.99), all.GroupStates.Table(), all.TurnWaits.Table())
	}
}
