package rolloutsim

import (
	"time"

	"lichenhitch/internal/choice/rollout"
)

// The plain way: a stage lasts stageLasts by the clock. It is halted when a class of the treated has lost more of its
// requests than the untreated in the last hour, by the threshold; once nobody is untreated, than all in the hours before.
const stageLasts = 6 * time.Hour

// Plain takes the same trial down the same province, with the same noise, the plain way, with a threshold.
func Plain(o Options, threshold float64) (Outcome, error) {
	s, err := newRun(o)
	if err != nil {
		return Outcome{}, err
	}
	slice, l := o.Limits.Slice, o.Limits
	hour := int(time.Hour / slice)
	warm := warmUp(o)
	s.propose(rollout.Command{Start: &rollout.Start{ID: trialID, Policy: []byte(trialText), By: "desk", Why: "targets"}})
	targets := s.trial().Targets
	treated := map[string]bool{}
	type sums [2][3][2]float64 // treated or not, class, offered and lost
	var last []sums
	var before [3][2]float64
	for k := uint64(0); s.now < o.Longest; k++ {
		s.now = time.Duration(k) * slice
		stage := rollout.Stage(max(0, s.now-warm) / stageLasts)
		if int(stage) >= rollout.Stages {
			return Outcome{Phase: rollout.Done, Stage: rollout.All, Hours: (s.now - warm).Hours()}, nil
		}
		var now sums
		for _, n := range s.nodes {
			if s.now >= warm && !anyAt(s.w.cut[n.regency], s.now) {
				treated[n.name] = treated[n.name] || within(targets, stage, n.name)
			}
			var more func(int) float64
			side := 0
			if treated[n.name] {
				side, more = 1, func(class int) float64 { return o.Lost[class] }
			}
			for i, c := range s.w.counts(n.host, s.now, more) {
				if anyAt(s.w.cut[n.regency], s.now) {
					continue
				}
				now[side][i][0] += float64(c.Offered)
				now[side][i][1] += float64(c.Failed)
				if s.now < warm {
					before[i][0] += float64(c.Offered)
					before[i][1] += float64(c.Failed)
				}
			}
		}
		if last = append(last, now); len(last) > hour {
			last = last[1:]
		}
		for i := range classes {
			var t, u [2]float64
			for _, at := range last {
				for j := range t {
					t[j] += at[1][i][j]
					u[j] += at[0][i][j]
				}
			}
			if u[0] < float64(l.MinRequests) {
				u = before[i]
			}
			if t[0] >= float64(l.MinRequests) && t[1]/t[0]-u[1]/u[0] > threshold {
				return Outcome{Phase: rollout.Halted, Cause: rollout.Regression, Stage: stage, Hours: (s.now - warm).Hours()}, nil
			}
		}
	}
	return Outcome{}, nil
}

func within(targets [][]string, stage rollout.Stage, name string) bool {
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
