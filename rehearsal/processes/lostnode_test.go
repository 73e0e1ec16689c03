package processes

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/peer/peerpb"
)

// waitsFor returns what a turn waits for, or "" if it is not in phase preparing.
func waitsFor(w *World, node, id string) string {
	r, err := w.Requester("operator").Turns(node)
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

// A node is lost for good. A turn on a host beyond the exclusion set that the node has confirmed waits for the node until
// an operator declares it dead and acknowledges the risk.
func TestATurnWaitsForANodeUntilItIsDeclaredDead(t *testing.T) {
	t.Parallel()
	w, c := startBuilding(t, buildingPlan(nil))
	requestUpcomingTurn(w, "n3", "t1", "h1")
	w.Partition(true, "n3")
	w.Node("n3").Kill()
	rest := otherNodes(w, "n3")
	workOn(w, c, "t1", "h1", rest...)
	requestTurn(w, "n0", "t5", "h5", 0)
	w.Await("the turn waits only for the lost node", func() bool {
		return strings.HasPrefix(waitsFor(w, "n0", "t5"), "n3: the node is cut off")
	})
	err := w.Requester("operator").call(Op{Node: "n0", Kind: "DeclareDead"},
		map[string]any{"node": "n3", "by": "operator", "why": "burnt"}, &peerpb.DeclareReply{}, nil)
	var apiErr *APIError
	require.ErrorAs(t, err, &apiErr)
	assert.Equal(t, "failed_precondition", apiErr.Code)
	assert.Contains(t, apiErr.Message, "n3 may be one")
	assert.Contains(t, apiErr.Message, "i_know_that_it_may_still_send true")
	awaitServed(c, rest...)
	assert.Contains(t, waitsFor(w, "n0", "t5"), "n3: the node is cut off", "the refused call must change nothing")

	require.NoError(t, w.Requester("operator").DeclareDead("n0", "n3", "burnt"))
	workOn(w, c, "t5", "h5", rest...)

	w.Heal()
	w.Node("n3").Start()
	line := w.Node("n3").AwaitLogged("no right to send is given")
	assert.Contains(t, line, "was declared dead")
	assert.Contains(t, line, "TakeIn")
	require.NoError(t, w.Requester("operator").TakeIn("n0", "n3", "mended"))
	requestUpcomingTurn(w, "n3", "t2", "h2") // its confirmations count again in the consensus group
	require.NoError(t, w.Requester("staff").Work(context.Background(), "t2", "h2", 1, func() { awaitServed(c, w.Names()...) }))
	w.RequireNoViolations(twoPerSite)
}
