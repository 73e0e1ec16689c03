package processes

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/site/sitepb"
)

// stands returns where a turn stands, "" while nobody knows.
func stands(w *World, node, id string) string {
	r, err := w.Asker("operator").Turns(node)
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

// warmSoon are the settings with hosts that are warm soon after their start.
func warmSoon() string {
	return strings.Replace(DefaultSettings, `"cold_us":8000000`, `"cold_us":500000`, 1)
}

// TestTheLeadersDiscoveryIsSilentWhileATurnGoesThrough: all that the leader's own list tells is that the host has gone for its
// work. That it is back the other nodes tell.
func TestTheLeadersDiscoveryIsSilentWhileATurnGoesThrough(t *testing.T) {
	p := buildingPlan(func(_ string, f *sitepb.File) { f.Council.TickMs = 200 }) // no new leader for a moment's delay
	p.Settings = warmSoon()
	w := New(t, p)
	w.Start()
	c := w.Come(Load{PerSecond: 60, Holds: 300 * time.Millisecond})
	awaitServed(c, w.Names()...)
	lead := awaitLeader(w, "n3")
	require.NoError(t, w.Asker("staff").Work(context.Background(), "t1", "h1", 1, func() {
		calls := w.Discovery.Calls(lead)
		w.Host("h1").Remove()
		w.Await("the leader's list has it gone", func() bool { return w.Discovery.Calls(lead) > calls })
		c.AwaitUp(120, "") // a look a second
		w.DiscoveryLink(lead).Silence()
		w.Await("the leader sees that it is told nothing", func() bool { return anyLogged(w, "discovery did not answer", lead) })
		w.Host("h1").Start()
	}))
	w.Await("the turn is over", func() bool { return stands(w, "n3", "t1") == "over" })
	t.Logf("%s led when its discovery fell silent, %s leads now", lead, leaderOf(w, "n3"))
	workOn(w, c, "t2", "h2", w.Names()...) // the lists are what they were
	w.Await("and the next one", func() bool { return stands(w, "n3", "t2") == "over" })
	w.RequireNoViolations(twoPerSite)
}

// TestTwoHomesOfAGroupAreNeverOutAtOnce, though the allowance has room for both: with three hosts each is a home.
func TestTwoHomesOfAGroupAreNeverOutAtOnce(t *testing.T) {
	p := buildingPlan(nil)
	p.Hosts = Fleet(3)
	w := New(t, p)
	w.Start()
	c := w.Come(Load{PerSecond: 60, Holds: 300 * time.Millisecond, Group: "room"})
	c.AwaitUp(200, "") // a look a second, and a question after it
	errs := make(chan error)
	for _, h := range []string{"h0", "h1"} {
		go func() {
			errs <- w.Asker("staff-"+h).Work(context.Background(), "t-"+h, h, 1, func() { c.AwaitUp(60, "") })
		}()
	}
	for range 2 {
		require.NoError(t, <-errs)
	}
	w.Await("both turns are over", func() bool { return stands(w, "n3", "t-h0") == "over" && stands(w, "n3", "t-h1") == "over" })
	w.RequireNoViolations(Allowance{Site: 1})
	assert.Positive(t, slices.IndexFunc(w.History.Ops(), func(o Op) bool { return o.Kind == "Begin" && o.Refused == "" }))
}
