package rollout

import "math"

// The statistical test. A cell is a class of a tenant and a metric: the fraction of requests that were not served, the
// fraction of connections that took longer than the slow threshold to establish, or the fraction of served requests that
// broke. One observation is the value of a node in an observation window (several time slices) minus the baseline of the
// same node from before the rollout. A node is one cluster in the statistical sense, however many requests it had and
// however they are correlated. In each window the treated nodes are paired with similar control nodes, which apply the good
// policy, and
//
//	x = mean over pairs of clip((treated - control - shift) / scale), in [-1, 1]
//
// is the payoff of one bet. clip is an odd function. Hence, where the two nodes of a pair are exchangeable except for a
// difference of at most shift, the mean of x given all earlier windows is at most 0, whatever affects both nodes alike and
// however pairs are correlated. Wealth that starts at 1 and is multiplied by 1 + fraction*x, with a fraction in [0, 0.9]
// that is fixed before the window, is then a non-negative supermartingale; by Ville's inequality the probability that it
// ever reaches 1/a is at most a, so the test may be inspected at any time. This is testing by betting as described by Shafer
// and Vovk and, for bounded means, by Waudby-Smith and Ramdas; the fraction follows their approximate growth-rate-optimal
// rule. The scale is computed from earlier windows.
//
// Each cell has two e-processes. Inferior bets that the treated nodes are worse by more than half of the margin; it halts
// the rollout at the share of Alpha that the cell has in its stage. NonInferior bets that they are worse by less than the
// margin; it ends a stage, at level Beta. A stage ends only when NonInferior rejects for all cells (an intersection-union
// test), so Beta is not divided: if any cell is worse by the margin, its own test bounds the error.

// The metrics of a cell.
const (
	metricLost   = "lost"   // fraction of offered requests that were not served
	metricSlow   = "slow"   // fraction of established connections that took longer than the slow threshold
	metricBroken = "broken" // fraction of served requests that broke
)

const (
	slackPart      = 0.5   // fraction of the margin that is not counted as a regression; covers the error of the baseline
	maxBetFraction = 0.9   // largest fraction of the wealth that is bet
	decay          = 0.95  // factor per window for the sums behind the bet fraction
	minScale       = 0.002 // smallest scale of a payoff
)

// EProcess is the wealth of a betting test against one null hypothesis. In the zero value no window has been observed yet.
type EProcess struct {
	Wealth     float64 `json:"wealth"`
	MaxWealth  float64 `json:"best"` // maximum of Wealth so far, which is compared with 1/alpha
	Sum        float64 `json:"sum"`
	SumSquares float64 `json:"square"`
	Windows    int     `json:"spells"`
}

// Update applies the payoff x of one window. x lies in [-1, 1]; under the null hypothesis its mean given all earlier windows
// is at most 0. It uses only +, *, / and rounds each result explicitly, so that every replica computes the same value.
func (b *EProcess) Update(x float64) {
	if b.Windows == 0 {
		b.Wealth, b.MaxWealth = 1, 1
	}
	x = clip(x)
	fraction := min(max((b.Sum+0.5)/(b.SumSquares+1), 0), maxBetFraction)
	b.Wealth = min(float64(b.Wealth*float64(1+float64(fraction*x))), 1e100)
	b.MaxWealth = max(b.MaxWealth, b.Wealth)
	b.Sum = float64(b.Sum*decay) + x
	b.SumSquares = float64(b.SumSquares*decay) + float64(x*x)
	b.Windows++
}

// Rejects reports whether the wealth has ever reached 1/alpha.
func (b *EProcess) Rejects(alpha float64) bool { return alpha > 0 && b.MaxWealth*alpha >= 1 }

func clip(x float64) float64 {
	if math.IsNaN(x) {
		return 0
	}
	return min(max(x, -1), 1)
}

// pair is a treated node and a control node, each with the excess of its value over its own baseline.
type pair struct{ treated, control, weight float64 }

// payoffs returns the payoffs of both tests of a cell for one window. ok is false if no pair gives information.
func payoffs(pairs []pair, margin, scale float64) (inferior, nonInferior float64, ok bool) {
	trouble := max(2*margin, 2*scale)
	inferior, okInferior := meanPayoff(pairs, float64(slackPart*margin), scale, trouble)
	nonInferior, okNonInferior := meanPayoff(pairs, margin, scale, trouble)
	return inferior, -nonInferior, okInferior && okNonInferior
}

// meanPayoff returns the weighted mean over pairs of the clipped difference between treated and control, less shift. A pair
// in which both nodes, after the shift, exceed the trouble threshold is left out: swapping the two leaves that condition
// unchanged, so leaving the pair out does not bias the mean.
func meanPayoff(pairs []pair, shift, scale, trouble float64) (x float64, ok bool) {
	weight := 0.0
	for _, p := range pairs {
		if treated := p.treated - shift; min(treated, p.control) <= trouble {
			x += float64(p.weight * clip((treated-p.control)/scale))
			weight += p.weight
		}
	}
	if weight == 0 {
		return 0, false
	}
	return x / weight, true
}

// alphaShare returns the share of Alpha for one cell in one stage. Stages get equal shares. Within a stage one half is
// divided equally among the cells known at its start; the other half goes to cells that appear later, in order of
// appearance, by 1/(k(k+1)). The n-th attempt gets a factor of 2^-n.
func alphaShare(alpha float64, attempt, known, position int) float64 {
	part := alpha / float64(Stages) / 2
	for range attempt {
		part /= 2
	}
	if position < known {
		return part / float64(known)
	}
	k := float64(position - known + 1)
	return part / (k * (k + 1))
}
