package crowd_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"lichenhitch/rehearsal/crowd"
)

var figures = flag.Bool("figures", false, "run several fleet sizes and loads, ten seeds each")

// TestFewNodesRefuseAllRequestsInFullFleet guards against nodes that refuse all their requests, fifteen or more, for 4 s. A
// burst fills the fleet, and the clients that are refused return until they are served. With that fault, half of three
// hundred nodes (149, the mean of 24 seeds) refused all. At most one in ten may; the test permits one in fifty.
func TestFewNodesRefuseAllRequestsInFullFleet(t *testing.T) {
	for seed := range uint64(3) {
		got := crowd.Run(crowd.Plan{Nodes: 300, Load: 0.57, Burst: 0.4, Seed: seed})
		t.Log(got)
		require.LessOrEqual(t, got.Starved, 300/50, "nodes that refused all their requests")
		require.Greater(t, float64(got.Refused), 0.4*float64(got.Requests), "the fleet is not full")
		require.Greater(t, got.Served, 0.4)
	}
}

// TestFewClientsAreRefusedWithSpareCapacity also checks that equal plans give equal outcomes.
func TestFewClientsAreRefusedWithSpareCapacity(t *testing.T) {
	got := crowd.Run(crowd.Plan{Nodes: 60, Load: 0.3, Seed: 1})
	t.Log(got)
	require.Less(t, float64(got.Refused), 0.05*float64(got.Requests))
	require.Greater(t, got.Served, 0.9)
	require.Equal(t, got, crowd.Run(crowd.Plan{Nodes: 60, Load: 0.3, Seed: 1}), "equal plans")
}

// TestFigures prints the table of docs/design/fleet.md.
func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("prints figures only; run it with -figures")
	}
	for _, nodes := range []int{60, 150, 300} {
		for _, load := range []float64{0.45, 0.5, 0.54, 0.57, 0.62} {
			served, starved := 0.0, 0
			for seed := range uint64(10) {
				got := crowd.Run(crowd.Plan{Nodes: nodes, Load: load, Burst: 0.4, Seed: seed})
				served, starved = served+got.Served/10, starved+got.Starved
			}
			t.Logf("%d nodes, load %.2f: served %.3f, %.1f nodes starved", nodes, load, served, float64(starved)/10)
		}
	}
}
