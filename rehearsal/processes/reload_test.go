package processes

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/site/sitepb"
)

// phase is a turn's, as a node knows.
func phase(w *World, node, id string) string {
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

// A changed site file is taken whole or not at all: three turns are asked for where two hosts may be out.
func TestAChangedSiteFileIsTakenWholeOrNotAtAll(t *testing.T) {
	t.Parallel()
	var most, lasts uint32 = 2, 1000
	var leads, moved string // n3 reaches the leader at another address
	w, c := begun(t, building(func(name string, f *sitepb.File) {
		f.Turns.Site, f.Rights.LastsMs = most, lasts
		for _, p := range f.Peers {
			if name == "n3" && p.Node == leads {
				p.Address = moved
			}
		}
	}))
	seats := []string{"n0", "n1", "n2"}
	staff := w.Requester("staff")
	granted := func(ids ...string) {
		t.Helper()
		for _, id := range ids {
			w.Await(id+" is granted", func() bool { return phase(w, "n0", id) == "granted" })
		}
	}
	for _, n := range []string{"0", "1"} {
		ask(w, "n3", "t"+n, "h"+n, 0)
	}
	granted("t0", "t1")
	ask(w, "n3", "t2", "h2", 0) // after them: else the order goes by what stands at the hosts

	// refused reloads a file at all seats, which refuse it, and nothing has changed then.
	refused := func(reload func(*Node), texts ...string) {
		t.Helper()
		for _, s := range seats {
			mark := w.Node(s).Mark()
			reload(w.Node(s))
			w.Node(s).AwaitLoggedSince(mark, append(texts, "the site file is not taken over; the old one stays")...)
		}
		served(c, w.Names()...)
		var is string
		w.Await("the council answers", func() bool { is = phase(w, "n0", "t2"); return is != "" })
		assert.Equal(t, "asked", is)
	}
	refused(func(n *Node) { n.ReloadText("listen: \"127.0.0.1:0\"\nturns {\n  site: 3\n  zone: many\n}\n") },
		"site.txtpb:4:3: turns.zone: ", "what to do")
	most, lasts = 3, 2000
	refused((*Node).Reload, "rights: taken over only at a start", "put rights back and reload, or restart this node")

	lasts = 1000
	leads = awaitLeader(w, "n3")
	other := NewLink(t, "n3", leads, w.Node(leads).OperatorAddr())
	moved = other.Addr()
	for _, n := range w.Names() {
		w.Node(n).Reload()
	}
	granted("t2") // with the third host out
	w.Link("n3", leads).Refuse()
	w.Link("n3", leads).Reset()
	other.Await("n3 reaches the leader at its new address", func() bool { return other.BytesPassed(ToCaller) > 0 })
	for i := range 3 {
		id := fmt.Sprint("t", i)
		_, err := staff.Withdraw("n1", id)
		require.NoError(t, err)
	}
	w.Await("all are over", func() bool {
		return !strings.Contains(phase(w, "n1", "t0")+phase(w, "n1", "t1")+phase(w, "n1", "t2"), "granted")
	})
	work(w, c, "t3", "h3", w.Names()...)
	w.RequireSound(Allowance{Site: 3})
}
