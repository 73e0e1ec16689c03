package processes

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHostsTellWhatANodeGoesBy(t *testing.T) {
	t.Parallel()
	other := func(was, is string) string {
		require.Contains(t, DefaultSettings, was)
		return strings.Replace(DefaultSettings, was, is, 1)
	}
	w := New(t, Plan{Seed: 2, Alone: true, Hosts: Fleet(3), Sites: single("n0", "n1", "n2"), Own: map[string]string{
		"n1": other(`"aim_us":300000`, `"aim_us":5000000`), "n2": other(`"max_attempts":4`, `"max_attempts":1`)}})
	w.Start()
	for _, h := range w.Hosts() {
		h.Refuse(0.3, "ERR")
	}
	c := w.StartClients(Load{PerSecond: 120, MaxConcurrent: 200, HoldTime: 100 * time.Millisecond, Deadline: TrialWait})
	for n, aim := range map[string]int{"n0": GoodAim, "n1": TrialAim, "n2": OnlyAttempt} {
		c.AwaitServed(60, n)
		w.AwaitAim(aim, n)
		assert.Len(t, w.Sightings(n, 0), len(w.Under(aim, n, 0)), n)
	}
	r := c.Report()
	assert.Greater(t, 10*r.UnservedByNode["n2"], 2*r.ServedByNode["n2"], "%v", r.UnservedByNode)
	assert.Less(t, r.UnservedByNode["n0"]*r.ServedByNode["n2"], r.UnservedByNode["n2"]*r.ServedByNode["n0"], "%v", r.UnservedByNode)
	w.RequireSound(Allowance{})
}
