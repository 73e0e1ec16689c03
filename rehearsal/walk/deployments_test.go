package walk

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenhitch/balance"
	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/script"
)

const ms = time.Millisecond

// deployments are the settings of two organisations that run the node; see docs/design/deployments.md.
var deployments = map[string]balance.Settings{
	"one building": {
		Balancers: 2, Zone: "z0", MaxAttempts: 4, MaxRetryAfter: 1500 * ms,
		Classes: []balance.Class{
			{Name: "job-status", LatencyTarget: 300 * ms, Deadline: 1200 * ms, MessageLatencyTarget: 250 * ms, Value: 3},
			{Name: "queue-view", LatencyTarget: 500 * ms, Deadline: 3000 * ms, MessageLatencyTarget: 60 * ms, Value: 2},
			{Name: "proof-fetch", LatencyTarget: 800 * ms, Deadline: 3200 * ms, MessageLatencyTarget: 60 * ms, Value: 3},
			{Name: "template-list", LatencyTarget: 800 * ms, Deadline: 3200 * ms, MessageLatencyTarget: 50 * ms, Value: 1},
		},
		Tenants: []balance.Tenant{{Name: "kota", Share: 0.55, Quota: 300}, {Name: "kab", Share: 0.45, Quota: 250}},
		Safety: balance.Safety{DrainGrace: 2 * time.Second, ColdCapacity: 0.37, WarmUp: 8 * time.Second, OverloadFactor: 3,
			OverloadWindow: 1500 * ms},
		Prices: balance.Prices{Probe: 0.0019, Move: 0.022},
	},
	"two centres": {
		Balancers: 3, Zone: "z1", MaxAttempts: 3,
		Classes: []balance.Class{
			{Name: "birth-lookup", LatencyTarget: 500 * ms, Deadline: 2000 * ms, MessageLatencyTarget: 100 * ms, Value: 1},
			{Name: "marriage-lookup", LatencyTarget: 500 * ms, Deadline: 3000 * ms, MessageLatencyTarget: 150 * ms, Value: 2},
			{Name: "record-update", LatencyTarget: 300 * ms, Deadline: 1800 * ms, MessageLatencyTarget: 50 * ms, Value: 2},
			{Name: "certificate-check", LatencyTarget: 300 * ms, Deadline: 1800 * ms, MessageLatencyTarget: 150 * ms, Value: 5},
		},
		Safety: balance.Safety{DrainGrace: 3 * time.Second, ColdCapacity: 0.33, WarmUp: 7100 * ms, OverloadFactor: 2.5,
			OverloadWindow: 1500 * ms},
		Prices: balance.Prices{CrossZone: 0.01, Probe: 0.002, Move: 0.016, Peer: 0.01},
	},
}

// deployedConfig returns the configuration of a world with one node and the settings that both deployments have in common.
// Zones is the number of zones that the hosts are in.
func deployedConfig(deployment balance.Settings, zones int, seed uint64) script.Config {
	deployment.Tick, deployment.ConnectTimeout, deployment.Probes, deployment.ListOnRequest, deployment.WeightsNominal =
		5*ms, 250*ms, true, true, true
	deployment.Safety.ListRefreshInterval, deployment.Safety.AnswerSlack = 10*time.Second, 20*ms
	cfg := config(0, seed)
	cfg.Settings, cfg.Classes, cfg.ClientTimeout = deployment, nil, 0
	for _, c := range deployment.Classes {
		cfg.Classes, cfg.ClientTimeout = append(cfg.Classes, c.Name), max(cfg.ClientTimeout, c.Deadline)
	}
	fleet := cfg.Fleet
	cfg.Hosts, cfg.Fleet = 6, func(i int) balance.Listing {
		listing := fleet(i)
		if zones == 1 {
			listing.Zone = "z0"
		}
		return listing
	}
	return cfg
}

// between draws a deployment whose settings lie between those of two deployments, or outside by up to half of the difference.
func between(t *rapid.T, a, b balance.Settings) balance.Settings {
	drawDuration := func(name string, a, b time.Duration) time.Duration {
		margin := (max(a, b) - min(a, b)) / 2
		return time.Duration(rapid.Int64Range(int64(min(a, b)-margin), int64(max(a, b)+margin)).Draw(t, name))
	}
	drawn := rapid.SampledFrom([]balance.Settings{a, b}).Draw(t, "the rest")
	drawn.Classes = append([]balance.Class(nil), rapid.SampledFrom([][]balance.Class{a.Classes, b.Classes}).Draw(t, "classes")...)
	for i := range drawn.Classes {
		drawn.Classes[i].Effect = rapid.SampledFrom([]balance.Effect{balance.Safe, balance.Unsafe}).Draw(t, "effect")
		drawn.Classes[i].Deadline = drawDuration("deadline", a.Classes[i].Deadline, b.Classes[i].Deadline)
	}
	drawn.MaxAttempts = rapid.IntRange(1, 5).Draw(t, "attempts")
	drawn.MaxRetryAfter = drawDuration("advice", a.MaxRetryAfter, b.MaxRetryAfter)
	drawn.Safety.DrainGrace = drawDuration("grace", a.Safety.DrainGrace, b.Safety.DrainGrace)
	drawn.Safety.WarmUp = drawDuration("cold for", a.Safety.WarmUp, b.Safety.WarmUp)
	drawn.Safety.ColdCapacity = rapid.Float64Range(0.31, 0.39).Draw(t, "cold from")
	drawn.Safety.OverloadFactor = rapid.Float64Range(2.25, 3.25).Draw(t, "factor")
	drawn.Balancers = rapid.IntRange(1, 4).Draw(t, "nodes")
	return drawn
}

// lateDial makes a host drain while a dial for an inherited connection is pending, lets the dial end after a time, and
// returns the violations.
func lateDial(t *testing.T, cfg script.Config, after time.Duration) []string {
	t.Helper()
	w := script.New(cfg)
	require.NoError(t, w.Do(lifemodel.Code(lifemodel.Ask, 0, 2, int(lifemodel.Inherited))))
	require.NoError(t, w.Do(lifemodel.Code(lifemodel.NotifyDrain, 0, 2, 0)))
	for ; after > 0; after -= script.PassUnit {
		require.NoError(t, w.Do(lifemodel.Code(script.Pass, 0, 0, 1)))
	}
	if err := w.Do(lifemodel.Code(lifemodel.Connect, 0, 2, 0)); err != nil {
		t.Log(err) // the attempt has ended by now
	}
	return w.Rules.Violations()
}

// TestRulesUnderBothDeployments takes random walks with one node of each deployment, and lets dials end from well within to
// beyond the drain grace.
func TestRulesUnderBothDeployments(t *testing.T) {
	for name, deployment := range deployments {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				cfg := deployedConfig(deployment, 1+int(seed%2), seed)
				assert.NoError(t, walk(script.New(cfg), 300, rand.New(rand.NewPCG(seed, 2)).IntN), "seed %d", seed)
			}
			for after := time.Second; after < 4*time.Second; after += 250 * ms {
				assert.Empty(t, lateDial(t, deployedConfig(deployment, 2, 1), after), "%v after the drain notice", after)
			}
		})
	}
}

// TestRulesUnderDeploymentsInBetween takes random walks under deployments with other settings in the same range.
func TestRulesUnderDeploymentsInBetween(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := between(t, deployments["one building"], deployments["two centres"])
		cfg := deployedConfig(deployment, rapid.IntRange(1, 2).Draw(t, "zones"), rapid.Uint64().Draw(t, "seed"))
		below := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if err := walk(script.New(cfg), 150, below); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSettingOfOtherDeploymentIsDetected injects a setting of one deployment into the node of the other, as a hard-coded
// constant would. The rules must report the violation there, and none under the deployment that the setting belongs to.
func TestSettingOfOtherDeploymentIsDetected(t *testing.T) {
	for name, tc := range map[string]struct {
		inject     func(*balance.Settings)
		under, own string
		want       string
	}{
		"grace": {func(s *balance.Settings) { s.Safety.DrainGrace = 3 * time.Second }, "one building", "two centres",
			"after its drain was told"},
		"attempts": {func(s *balance.Settings) { s.MaxAttempts = 4 }, "two centres", "one building", "attempt 4 of 3"},
	} {
		t.Run(name, func(t *testing.T) {
			violations := func(under string) string {
				var all []string
				for seed := range uint64(20) {
					cfg := deployedConfig(deployments[under], 2, seed)
					cfg.OverrideSettings = tc.inject
					if err := walk(script.New(cfg), 300, rand.New(rand.NewPCG(seed, 3)).IntN); err != nil {
						all = append(all, err.Error())
					}
					for after := time.Second; after < 4*time.Second; after += 250 * ms {
						all = append(all, lateDial(t, cfg, after)...)
					}
				}
				return strings.Join(all, "\n")
			}
			assert.Contains(t, violations(tc.under), tc.want)
			assert.Empty(t, violations(tc.own))
		})
	}
}
