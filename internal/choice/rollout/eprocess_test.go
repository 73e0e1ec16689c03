package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// drawPairs draws the pairs of a window. All nodes share one common disturbance, and each has independent bursts of its own.
func drawPairs(rng *rand.Rand, treatedCount, controlCount int, loss float64) (pairs []pair) {
	common := 0.02 * rng.NormFloat64()
	draw := func() float64 {
		v := common + 0.01*rng.NormFloat64()
		if rng.Float64() < 0.05 {
			v += 0.3 * rng.Float64() // a burst: skewed, as losses are
		}
		return v
	}
	controls := make([]float64, controlCount)
	for i := range controls {
		controls[i] = draw()
	}
	for range treatedCount {
		x := draw() + loss
		for _, y := range controls {
			pairs = append(pairs, pair{x, y, 1 / float64(controlCount)})
		}
	}
	return pairs
}

// TestEProcessesKeepTheirErrorRates inspects the tests after every window and measures how often each null hypothesis is rejected
// when it is true, and when it is false.
func TestEProcessesKeepTheirErrorRates(t *testing.T) {
	const runs, windows, margin, scale, alpha = 1000, 200, 0.02, 0.02, 0.05
	rate := func(treatedCount, controlCount int, loss float64, rejects func(inferior, nonInferior *EProcess) bool) float64 {
		rng := rand.New(rand.NewPCG(9, uint64(treatedCount)))
		hit := 0
		for range runs {
			var inferior, nonInferior EProcess
			for range windows {
				x, y, any := payoffs(drawPairs(rng, treatedCount, controlCount, loss), margin, scale)
				if any {
					inferior.Update(x)
					nonInferior.Update(y)
				}
			}
			if rejects(&inferior, &nonInferior) {
				hit++
			}
		}
		return float64(hit) / runs
	}
	isInferior := func(inferior, _ *EProcess) bool { return inferior.Rejects(alpha) }
	isNonInferior := func(_, nonInferior *EProcess) bool { return nonInferior.Rejects(alpha) }
	const bound = alpha + 0.02 // three standard deviations of the rate over 1000 runs
	for _, sizes := range [][2]int{{1, 1}, {1, 4}, {6, 2}} {
		falseInferior, falseNonInferior := rate(sizes[0], sizes[1], slackPart*margin, isInferior),
			rate(sizes[0], sizes[1], margin, isNonInferior)
		t.Logf("%v: Inferior sizes at the tolerated loss %.3f, NonInferior at the margin %.3f", sizes, falseInferior, falseNonInferior)
		assert.LessOrEqual(t, falseInferior, bound, sizes)
		assert.LessOrEqual(t, falseNonInferior, bound, sizes)
		assert.Greater(t, rate(sizes[0], sizes[1], margin, isInferior), 0.9, "a loss of the margin is detected: %v", sizes)
		assert.Greater(t, rate(sizes[0], sizes[1], 0, isNonInferior), 0.9, "no loss is shown to be non-inferior: %v", sizes)
	}
}

func TestThePayoffIsOddInItsPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		pairs := drawPairs(rng, 1+rng.IntN(3), 1+rng.IntN(3), 0.1*rng.Float64())
		swapped := make([]pair, len(pairs))
		for i, p := range pairs {
			swapped[i] = pair{p.control, p.treated, p.weight}
		}
		x, _, _ := payoffs(pairs, 0, 0.02)
		y, _, _ := payoffs(swapped, 0, 0.02)
		assert.InDelta(t, x, -y, 1e-12)
		assert.LessOrEqual(t, x*x, 1.0)
	}
	_, _, any := payoffs([]pair{{0.5, 0.6, 1}}, 0.02, 0.02)
	assert.False(t, any, "trouble of both nodes gives no information")
	x, _, _ := payoffs([]pair{{0.5, 0, 1}}, 0.02, 0.02)
	assert.Equal(t, 1.0, x, "trouble of the treated node alone gives the maximum payoff")
}

func TestAlphaIsNotSpentTwice(t *testing.T) {
	for known := range 5 {
		sum := 0.0
		for attempt := 1; attempt <= 40; attempt++ {
			for position := range 2000 {
				sum += float64(Stages) * alphaShare(0.01, attempt, known, position)
			}
		}
		assert.LessOrEqual(t, sum, 0.01+1e-12)
		assert.Greater(t, sum, 0.0049)
	}
}
