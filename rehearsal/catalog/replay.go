package catalog

import "fmt"

// Replayed is what a replay showed.
type Replayed struct {
	Lines  []string // what happened, step by step
	Broken []string // the rules that the running code broke
}

// Replay drives the running code through a trace.
func Replay(t *Trace) (*Replayed, error) {
	return nil, fmt.Errorf("model: traces of %q cannot be replayed", t.Model)
}
