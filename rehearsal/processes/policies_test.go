package processes

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHostsObserveWhichPolicyANodeApplies(t *testing.T) {
	t.Parallel()
	other := func(was, is string) string {
		require.Contains(t, DefaultSettings, was)
		return strings.Replace(DefaultSettings, was, is, 1)
	}
	w := New(t, Plan{Seed: 2, NoSiteFile: true, Hosts: Fleet(3), Sites: singleSite("n0", "n1", "n2"), NodeSettings: map[string]string{
		"n1": other(`"aim_us":300000`, `"aim_us":5000000`), "n2": other(`"max_attempts":4`, `"max_attempts":1`)}})
	w.Start()
	for _, h := range w.Hosts() {
		h.Refuse(0.3, "ERR")
	}
	c := w.StartClients(Load{PerSecond: 120, MaxConcurrent: 200, HoldTime: 100 * time.Millisecond, Deadline: TrialDeadline})
	for n, target := range map[string]int{"n0": GoodTarget, "n1": TrialTarget, "n2": SingleAttempt} {
		c.AwaitServed(60, n)
		w.AwaitTarget(target, n)
		assert.Len(t, w.Observations(n, 0), len(w.ObservationsOf(target, n, 0)), n)
	}
	r := c.Report()
	assert.Greater(t, 10*r.UnservedByNode["n2"], 2*r.ServedByNode["n2"], "%v", r.UnservedByNode)
	assert.Less(t, r.UnservedByNode["n0"]*r.ServedByNode["n2"], r.UnservedByNode["n2"]*r.ServedByNode["n0"], "%v", r.UnservedByNode)
	w.RequireNoViolations(Allowance{})
}
