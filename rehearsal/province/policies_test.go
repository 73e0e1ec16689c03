package province

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// policies is a province in which two policies are on their way.
func policyOptions(seed uint64) Options {
	o := provinceOptions(seed)
	o.TurnRequests, o.Writes, o.Rollouts = 1, 2, 2
	o.FaultPhase, o.QuietPhase = 110*time.Second, 140*time.Second
	return o
}

// TestPoliciesUnderFaults plays provinces from some seeds; a failure names its seed, which plays it again:
// go test ./rehearsal/province -v -run Policies -args -worlds 1 -first SEED -trace
func TestPoliciesUnderFaults(t *testing.T) {
	var observations int
	outcomes := map[string]int{}
	for seed := *first; seed < *first+uint64(*worlds+4)/5; seed++ { // each takes as long as several of the others
		got := Run(policyOptions(seed), tracer(t))
		assert.Empty(t, got.Violations, "seed %d", seed)
		observations += got.TrialObservations
		for _, outcome := range got.RolloutOutcomes {
			outcomes[outcome]++
		}
	}
	t.Logf("%d looks at nodes under a trial; rollouts: %v", observations, outcomes)
	assert.Positive(t, observations)
}
