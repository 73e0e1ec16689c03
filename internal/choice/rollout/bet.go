package rollout

import "math"

// The test. A cell is a class of a tenant and a metric: the part of the requests that was not served, the part of the
// connections that took longer than the edge to stand, the part that broke. One observation is the value of a node in a
// spell of some slices, less what the same node had before the rollout: a node is one cluster, however many requests it
// had and however they hang together. In each spell the treated are paired with their own kind on the old policy, and
//
//	x = mean over pairs of clip((treated - untreated - shift) / scale), in [-1, 1]
//
// is one bet. clip is odd, so that where the two of a pair could be exchanged but for a difference of at most shift, the
// mean of x given all earlier spells is at most 0, whatever hits both alike and however pairs hang together. Wealth that
// starts at 1 and is multiplied by 1 + part*x, with a part in [0, 0.9] that is fixed before the spell, is then a
// supermartingale that is never negative; by Ville's inequality it ever reaches 1/a with a probability of at most a, at
// whatever moments somebody looks. That is testing by betting, as Shafer and Vovk, and for bounded means Waudby-Smith
// and Ramdas, describe it; the part bet follows their approximate growth rule. The scale comes from earlier spells.
//
// Two bets run for each cell. Worse bets that the treated lose more than half of the margin: it halts at the part of
// Alpha that the cell has in its stage. Fine bets that they lose less than the margin: it is what ends a stage, at Beta.
// A stage ends only when all cells are fine, so that Beta is not divided: the cell that lost the margin is one of them.

// The metrics.
const (
	metricLost   = "lost"   // of the requests offered, those not served
	metricSlow   = "slow"   // of the connections that stand, those that took longer than the edge
	metricBroken = "broken" // of the requests served, those that broke
)

const (
	slackPart      = 0.5   // of the margin: so much worse is not taken for a regression; covers the error of the base
	maxBetFraction = 0.9   // the largest part of the wealth that is bet
	decay          = 0.95  // of the sums behind the part to bet, from one spell to the next
	minScale       = 0.002 // the smallest scale
)

// Bet is wealth against one hypothesis. The zero value has not begun.
type EProcess struct {
	Wealth     float64 `json:"wealth"`
	MaxWealth  float64 `json:"best"` // the most that it ever was: what is compared with 1/a
	Sum        float64 `json:"sum"`
	SumSquares float64 `json:"square"`
	Windows    int     `json:"spells"`
}

// Take settles the bet of one spell. x lies in [-1, 1] and has, if the hypothesis holds, a mean of at most 0 given all
// before. Only +, *, / with each result rounded: the same at each seat.
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

// Reached says whether the wealth was ever 1/a.
func (b *EProcess) Rejects(alpha float64) bool { return alpha > 0 && b.MaxWealth*alpha >= 1 }

func clip(x float64) float64 {
	if math.IsNaN(x) {
		return 0
	}
	return min(max(x, -1), 1)
}

// pair is a treated node and one of its kind, each with what its value is above its own base.
type pair struct{ treated, control, weight float64 }

// bets returns the two bets of a spell and whether there are any.
func payoffs(pairs []pair, margin, scale float64) (inferior, nonInferior float64, ok bool) {
	trouble := max(2*margin, 2*scale)
	inferior, okInferior := meanPayoff(pairs, float64(slackPart*margin), scale, trouble)
	nonInferior, okNonInferior := meanPayoff(pairs, margin, scale, trouble)
	return inferior, -nonInferior, okInferior && okNonInferior
}

// mean is the mean over pairs of how far the treated lies above the other, but for a shift. A pair of which both are in
// trouble but for the shift says nothing: exchanging the two leaves that as it is, so that the mean is not moved by it.
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

// share is the part of Alpha that a cell has in a stage: equal parts for the stages; half of each to the cells that were
// known at the start, the other half to those that came later, in their order, by 1/(k(k+1)). The n-th attempt has 2^-n.
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
