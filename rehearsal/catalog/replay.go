package catalog

import (
	"fmt"
	"slices"
	"time"

	"lichenhitch/balance"
	"lichenhitch/rehearsal/coremodel"
	"lichenhitch/rehearsal/lifemodel"
	"lichenhitch/rehearsal/model"
	"lichenhitch/rehearsal/script"
)

// ReplayResult is the outcome of a replay.
type ReplayResult struct {
	Lines      []string // what happened, step by step
	Violations []string // of rules by the running code
}

// Replay runs the steps of a trace on the running code: the real query core, with the injected bug if the trace names one.
// It returns an error with the index of the step if a step is not possible.
func Replay(trace *Trace) (*ReplayResult, error) {
	switch trace.Model {
	case "life":
		return replayLife(trace)
	case "core":
		m, err := coremodel.New(trace.coreConfig())
		if err != nil {
			return nil, err
		}
		return replayCore(trace, m)
	case "connection":
		m, err := coremodel.NewConnections(trace.coreConfig(), trace.Lines, connectionsDuration)
		if err != nil {
			return nil, err
		}
		return replayCore(trace, m)
	}
	if slices.ContainsFunc(Entries(), func(e Entry) bool { return e.Name == trace.Model }) {
		return nil, fmt.Errorf("model: traces of %q cannot be replayed: the model itself runs the real code", trace.Model)
	}
	return nil, fmt.Errorf("model: traces of %q cannot be replayed", trace.Model)
}

// replayLife replays a trace of package lifemodel. The trace also contains the balancer's decisions.
func replayLife(trace *Trace) (*ReplayResult, error) {
	if _, err := lifemodel.New(trace.Gateways, trace.Clients, trace.Attempts, trace.Bug); err != nil {
		return nil, err
	}
	if trace.Loop >= 0 {
		return nil, fmt.Errorf("loop: the violation of a run that never ends shows only in the model")
	}
	settings := balance.Settings{MaxAttempts: trace.Attempts, Tick: time.Millisecond, MaxRetryAfter: time.Second,
		Safety: balance.Safety{DrainGrace: 2 * time.Second}, Classes: []balance.Class{{Name: "safe"},
			{Name: "unsafe", Effect: balance.Unsafe}, {Name: "keyed", Effect: balance.Keyed, Window: time.Hour},
			{Name: "grouped", Effect: balance.Keyed, Group: balance.GroupZone, Window: time.Hour}}}
	w := script.New(script.Config{Hosts: trace.Gateways, Settings: settings, Balancer: &script.ScriptedBalancer{}, ClientTimeout: time.Minute,
		Classes: []string{"safe", "unsafe", "keyed", "safe", "grouped"}, Bug: trace.Bug})
	result := &ReplayResult{}
	w.OnEvent(func(l string) { result.Lines = append(result.Lines, "        "+l) })
	arrivalOrder := map[int]int{} // index of each client in the order in which the clients send their requests
	for i, s := range trace.Steps {
		o, c, g, arg := lifemodel.Decode(s.Code)
		if c >= trace.Clients || g >= trace.Gateways {
			return nil, fmt.Errorf("steps[%d]: step %d is about client %d and gateway %d of %d and %d", i, s.Code, c+1, g+1,
				trace.Clients, trace.Gateways)
		}
		if o == lifemodel.Ask {
			arrivalOrder[c] = len(arrivalOrder)
		}
		result.Lines = append(result.Lines, fmt.Sprintf("%4d  %s", i+1, s.Text))
		if err := result.apply(w, lifemodel.Code(o, arrivalOrder[c], g, arg)); err != nil {
			return nil, fmt.Errorf("steps[%d]: %w", i, err)
		}
	}
	result.Violations = append(result.Violations, w.Violations()...)
	return result, nil
}

// apply takes one step and checks the rules. A panic of the running code is a violation as well.
func (r *ReplayResult) apply(w *script.World, step model.Step) (err error) {
	defer func() {
		if p := recover(); p != nil {
			r.Violations = append(r.Violations, fmt.Sprint("panic: ", p))
		}
	}()
	if err = w.Do(step); err == nil {
		w.Check()
	}
	return err
}

// replayCore replays a trace of package coremodel.
func replayCore(trace *Trace, m *coremodel.Model) (*ReplayResult, error) {
	result := &ReplayResult{}
	s, err := m.InitialState(trace.Seed, trace.Start)
	if err != nil {
		return nil, err
	}
	for i, step := range trace.Steps {
		result.Lines = append(result.Lines, fmt.Sprintf("%4d  %s", i+1, m.Describe(s, step.Code, s)))
		if s, err = m.Apply(s, step.Code); err != nil {
			return nil, fmt.Errorf("steps[%d]: %w", i, err)
		}
	}
	for i, name := range m.SafetyProperties() {
		if m.Violated(s)>>i&1 == 1 {
			result.Violations = append(result.Violations, name)
		}
	}
	return result, nil
}
