package rolloutsim

import (
	"time"

	"lichenhitch/internal/choice/rollout"
)

// The alternative without statistical evidence: each stage lasts clockStage. The rollout is halted when, in some
// class, the treated nodes have lost a larger fraction of their requests than the control nodes in the last hour, by
// more than a threshold. Once too few requests reach control nodes, the comparison is with all nodes before the
// rollout.
const clockStage = 6 * time.Hour

// RunByClock runs the same trial in the same province with the same noise, with stages that end by the clock and the
// given threshold.
func RunByClock(o Options, threshold float64) (Outcome, error) {
	s, err := newSimulation(o)
	if err != nil {
		return Outcome{}, err
	}
	slice, l := o.Limits.Slice, o.Limits
	hour := int(time.Hour / slice)
	warmUpEnd := warmUp(o)
	s.propose(rollout.Command{Start: &rollout.Start{ID: trialID, Policy: []byte(trialText), By: "desk", Why: "targets"}})
	targets := s.trial().Targets
	treated := map[string]bool{}
	type sums [2][3][2]float64 // control or treated nodes, class, offered and lost requests
	var lastHour []sums
	var baseline [3][2]float64
	for k := uint64(0); s.now < o.MaxDuration; k++ {
		s.now = time.Duration(k) * slice
		stage := rollout.Stage(max(0, s.now-warmUpEnd) / clockStage)
		if int(stage) >= rollout.Stages {
			return Outcome{Phase: rollout.Done, Stage: rollout.All, Hours: (s.now - warmUpEnd).Hours()}, nil
		}
		var now sums
		for _, n := range s.nodes {
			if s.now >= warmUpEnd && !anyAt(s.world.cutOff[n.regency], s.now) {
				treated[n.name] = treated[n.name] || isTarget(targets, stage, n.name)
			}
			var extraLoss func(int) float64
			side := 0
			if treated[n.name] {
				side, extraLoss = 1, func(class int) float64 { return o.ExtraLoss[class] }
			}
			for i, c := range s.world.counts(n.nodeTraffic, s.now, extraLoss) {
				if anyAt(s.world.cutOff[n.regency], s.now) {
					continue
				}
				now[side][i][0] += float64(c.Offered)
				now[side][i][1] += float64(c.Failed)
				if s.now < warmUpEnd {
					baseline[i][0] += float64(c.Offered)
					baseline[i][1] += float64(c.Failed)
				}
			}
		}
		if lastHour = append(lastHour, now); len(lastHour) > hour {
			lastHour = lastHour[1:]
		}
		for i := range classes {
			var treatedSum, controlSum [2]float64
			for _, at := range lastHour {
				for j := range treatedSum {
					treatedSum[j] += at[1][i][j]
					controlSum[j] += at[0][i][j]
				}
			}
			if controlSum[0] < float64(l.MinRequests) {
				controlSum = baseline[i]
			}
			if treatedSum[0] >= float64(l.MinRequests) && treatedSum[1]/treatedSum[0]-controlSum[1]/controlSum[0] > threshold {
				return Outcome{Phase: rollout.Halted, Cause: rollout.Regression, Stage: stage, Hours: (s.now - warmUpEnd).Hours()}, nil
			}
		}
	}
	return Outcome{}, nil
}

func isTarget(targets [][]string, stage rollout.Stage, name string) bool {
	last := int(stage) + 1
	if stage == rollout.All {
		last++
	}
	for _, names := range targets[:last] {
		for _, n := range names {
			if n == name {
				return true
			}
		}
	}
	return false
}
