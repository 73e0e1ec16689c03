package processes

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/peer/peerpb"
)

// waits says what a turn waits for, "" where it does not prepare.
func waits(w *World, node, id string) string {
	r, err := w.Asker("operator").Turns(node)
	if err != nil {
		return ""
	}
	for _, t := range r.Turns {
		if t.Id == id && t.Phase == "preparing" {
			return strings.Join(t.WaitsFor, "; ")
		}
	}
	return ""
}

// A node burns down, and the turn beyond what it had acknowledged waits until an operator says so, with the risk.
func TestATurnWaitsForANodeUntilItIsDeclaredDead(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	requestUpcomingTurn(w, "n3", "t1", "h1")
	w.Partition(true, "n3")
	w.Node("n3").Kill()
	rest := otherNodes(w, "n3")
	workOn(w, c, "t1", "h1", rest...)
	requestTurn(w, "n0", "t5", "h5", 0)
	w.Await("the turn waits for the node that is gone alone", func() bool {
		return strings.HasPrefix(waits(w, "n0", "t5"), "n3: the node is cut off")
	})
	err := w.Asker("operator").call(Op{Node: "n0", Kind: "DeclareDead"},
		map[string]any{"node": "n3", "by": "operator", "why": "burnt"}, &peerpb.DeclareReply{}, nil)
	var no *Refusal
	require.ErrorAs(t, err, &no)
	assert.Equal(t, "failed_precondition", no.Code)
	assert.Contains(t, no.Message, "n3 may be one")
	assert.Contains(t, no.Message, "i_know_that_it_may_still_send true")
	awaitServed(c, rest...)
	assert.Contains(t, waits(w, "n0", "t5"), "n3: the node is cut off", "the call has changed nothing")

	require.NoError(t, w.Asker("operator").DeclareDead("n0", "n3", "burnt"))
	workOn(w, c, "t5", "h5", rest...)

	w.Heal()
	w.Node("n3").Start()
	line := w.Node("n3").Logged("no right to send is given")
	assert.Contains(t, line, "was declared dead")
	assert.Contains(t, line, "TakeIn")
	require.NoError(t, w.Asker("operator").TakeIn("n0", "n3", "mended"))
	requestUpcomingTurn(w, "n3", "t2", "h2") // it is asked again, and the council goes by what it says
	require.NoError(t, w.Asker("staff").Work(context.Background(), "t2", "h2", 1, func() { awaitServed(c, w.Names()...) }))
	w.RequireNoViolations(twoPerSite)
}
