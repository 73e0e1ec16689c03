package coremodel

import (
	"lichenhitch/rehearsal/model"
	"testing"
	"time"
)

func TestTry(t *testing.T) {
	for _, c := range []Config{{3, 1, 4, 1, 1, "", nil, nil}, {3, 1, 4, 2, 1, "", nil, nil}, {3, 1, 4, 3, 1, "", nil, nil}, {2, 2, 2, 0, 1, "", nil, nil}} {
		_, res := check(t, c, model.Options{Within: 12 * time.Second})
		t.Logf("%d %d %d %d: %d states, %d steps, %d deep, %.1f s %v %v", c.Gateways, c.Clients, c.Attempts, c.Notices, res.States, res.Transitions, res.Depth, res.Seconds, res.Complete, res.Violation != nil)
	}
}
