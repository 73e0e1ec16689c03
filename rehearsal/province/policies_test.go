package province

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// policyOptions returns a province with two rollouts.
func policyOptions(seed uint64) Options {
	o := provinceOptions(seed)
	o.TurnRequests, o.Writes, o.Rollouts = 1, 2, 2
	o.FaultPhase, o.QuietPhase = 110*time.Second, 140*time.Second
	return o
}

// TestPoliciesUnderFaults runs provinces from several seeds. A failure names its seed, which reproduces it:
// go test ./rehearsal/province -v -run Policies -args -worlds 1 -first SEED -trace
func TestPoliciesUnderFaults(t *testing.T) {
	var observations int
	outcomes := map[string]int{}
	for seed := *first; seed < *first+uint64(*worlds+4)/5; seed++ { // fewer seeds, because a run takes several times as long as that of other tests
		got := Run(policyOptions(seed), tracer(t))
		assert.Empty(t, got.Violations, "seed %d", seed)
		observations += got.TrialObservations
		for _, outcome := range got.RolloutOutcomes {
			outcomes[outcome]++
		}
	}
	t.Logf("%d observations of nodes that apply a trial; rollouts: %v", observations, outcomes)
	assert.Positive(t, observations)
}
