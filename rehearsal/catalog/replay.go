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

// Replayed is what a replay showed.
type Replayed struct {
	Lines  []string // what happened, step by step
	Broken []string // the rules that the running code broke
}

// Replay drives the running code through a trace: the real query core, with the planted bug if the trace names one. An
// error says which step of the trace does not fit.
func Replay(t *Trace) (*Replayed, error) {
	switch t.Model {
	case "life":
		return replayLife(t)
	case "core":
		m, err := coremodel.New(t.core())
		if err != nil {
			return nil, err
		}
		return replayCore(t, m)
	case "connection":
		m, err := coremodel.NewConnections(t.core(), t.Lines, connectionsLast)
		if err != nil {
			return nil, err
		}
		return replayCore(t, m)
	}
	if slices.ContainsFunc(Entries(), func(e Entry) bool { return e.Name == t.Model }) {
		return nil, fmt.Errorf("model: traces of %q cannot be replayed: the model itself runs the real code", t.Model)
	}
	return nil, fmt.Errorf("model: traces of %q cannot be replayed", t.Model)
}

// replayLife plays a trace of the model of lives, in which the balancer decides what the trace says.
func replayLife(t *Trace) (*Replayed, error) {
	if _, err := lifemodel.New(t.Gateways, t.Clients, t.Attempts, t.Plant); err != nil {
		return nil, err
	}
	if t.Loop >= 0 {
		return nil, fmt.Errorf("loop: a run that never ends shows its break only in the model")
	}
	set := balance.Settings{MaxAttempts: t.Attempts, Tick: time.Millisecond, MaxRetryAfter: time.Second,
		Safety: balance.Safety{DrainGrace: 2 * time.Second}, Classes: []balance.Class{{Name: "safe"},
			{Name: "unsafe", Effect: balance.Unsafe}, {Name: "keyed", Effect: balance.Keyed, Window: time.Hour},
			{Name: "grouped", Effect: balance.Keyed, Group: balance.GroupZone, Window: time.Hour}}}
	w := script.New(script.Config{Hosts: t.Gateways, Settings: set, Decider: &script.Scripted{}, Wait: time.Minute,
		Classes: []string{"safe", "unsafe", "keyed", "safe", "grouped"}, Plant: t.Plant})
	rep := &Replayed{}
	w.Tell(func(l string) { rep.Lines = append(rep.Lines, "        "+l) })
	order := map[int]int{} // a client's number in the order of asking
	for i, s := range t.Steps {
		o, c, g, arg := lifemodel.Decode(s.Code)
		if c >= t.Clients || g >= t.Gateways {
			return nil, fmt.Errorf("steps[%d]: step %d is about client %d and gateway %d of %d and %d", i, s.Code, c+1, g+1,
				t.Clients, t.Gateways)
		}
		if o == lifemodel.Ask {
			order[c] = len(order)
		}
		rep.Lines = append(rep.Lines, fmt.Sprintf("%4d  %s", i+1, s.Text))
		if err := rep.do(w, lifemodel.Code(o, order[c], g, arg)); err != nil {
			return nil, fmt.Errorf("steps[%d]: %w", i, err)
		}
	}
	rep.Broken = append(rep.Broken, w.Broken()...)
	return rep, nil
}

// do takes one step and checks. A panic of the running code is a break as well.
func (r *Replayed) do(w *script.World, step model.Step) (err error) {
	defer func() {
		if p := recover(); p != nil {
			r.Broken = append(r.Broken, fmt.Sprint("panic: ", p))
		}
	}()
	if err = w.Do(step); err == nil {
		w.Check()
	}
	return err
}

// replayCore plays a trace of the running code again.
func replayCore(t *Trace, m *coremodel.Model) (*Replayed, error) {
	rep := &Replayed{}
	s, err := m.InitialState(t.Seed, t.Start)
	if err != nil {
		return nil, err
	}
	for i, step := range t.Steps {
		rep.Lines = append(rep.Lines, fmt.Sprintf("%4d  %s", i+1, m.Describe(s, step.Code, s)))
		if s, err = m.Apply(s, step.Code); err != nil {
			return nil, fmt.Errorf("steps[%d]: %w", i, err)
		}
	}
	for i, name := range m.SafetyProperties() {
		if m.Violated(s)>>i&1 == 1 {
			rep.Broken = append(rep.Broken, name)
		}
	}
	return rep, nil
}
