package processes

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/site/sitepb"
)

// turnPhase returns the phase of a turn as a node reports it, or "".
func turnPhase(w *World, node, id string) string {
	r, err := w.Requester("operator").Turns(node)
	if err != nil {
		return ""
	}
	for _, t := range r.Turns {
		if t.Id == id {
			return t.Phase
		}
	}
	return ""
}

// A changed site file is applied completely or not at all. Three turns are requested where two hosts may be
// out of service.
func TestReloadOfASiteFileIsAtomic(t *testing.T) {
	t.Parallel()
	var siteLimit, leaseMs uint32 = 2, 1000
	var leading, newAddr string // newAddr: address at which n3 reaches the leader
	w, c := startBuilding(t, buildingPlan(func(name string, f *sitepb.File) {
		f.Turns.Site, f.Rights.LastsMs = siteLimit, leaseMs
		for _, p := range f.Peers {
			if name == "n3" && p.Node == leading {
				p.Address = newAddr
			}
		}
	}))
	voters := []string{"n0", "n1", "n2"}
	staff := w.Requester("staff")
	granted := func(ids ...string) {
		t.Helper()
		for _, id := range ids {
			w.Await(id+" is granted", func() bool { return turnPhase(w, "n0", id) == "granted" })
		}
	}
	for _, n := range []string{"0", "1"} {
		requestTurn(w, "n3", "t"+n, "h"+n, 0)
	}
	granted("t0", "t1")
	requestTurn(w, "n3", "t2", "h2", 0) // after them: otherwise the order would depend on the connections at the hosts

	// refused reloads a file at all replicas, which must refuse it, and checks that nothing has changed.
	refused := func(reload func(*Node), texts ...string) {
		t.Helper()
		for _, s := range voters {
			mark := w.Node(s).Mark()
			reload(w.Node(s))
			w.Node(s).AwaitLoggedSince(mark, append(texts, "the site file is not taken over; the old one stays")...)
		}
		awaitServed(c, w.Names()...)
		var turn2Phase string
		w.Await("the group answers", func() bool { turn2Phase = turnPhase(w, "n0", "t2"); return turn2Phase != "" })
		assert.Equal(t, "asked", turn2Phase)
	}
	refused(func(n *Node) { n.ReloadText("listen: \"127.0.0.1:0\"\nturns {\n  site: 3\n  zone: many\n}\n") },
		"site.txtpb:4:3: turns.zone: ", "what to do")
	siteLimit, leaseMs = 3, 2000
	refused((*Node).Reload, "rights: taken over only at a start", "put rights back and reload, or restart this node")

	leaseMs = 1000
	leading = awaitLeader(w, "n3")
	other := NewLink(t, "n3", leading, w.Node(leading).OperatorAddr())
	newAddr = other.Addr()
	for _, n := range w.Names() {
		w.Node(n).Reload()
	}
	granted("t2") // with a third host out of service
	w.Link("n3", leading).Refuse()
	w.Link("n3", leading).Reset()
	other.Await("n3 reaches the leader at its new address", func() bool { return other.BytesPassed(ToCaller) > 0 })
	for i := range 3 {
		id := fmt.Sprint("t", i)
		_, err := staff.Withdraw("n1", id)
		require.NoError(t, err)
	}
	w.Await("no turn is granted any more", func() bool {
		return !strings.Contains(turnPhase(w, "n1", "t0")+turnPhase(w, "n1", "t1")+turnPhase(w, "n1", "t2"), "granted")
	})
	workOn(w, c, "t3", "h3", w.Names()...)
	w.RequireNoViolations(Allowance{Site: 3})
}
